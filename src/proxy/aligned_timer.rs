//! Ticks of periodic tasks, aligned to each other so that an idle process wakes up once for all of
//! them.

use std::sync::LazyLock;
use std::time::Duration;

use tokio::time::Instant;

/// Ticks are multiples of a task's interval after this instant.
static EPOCH: LazyLock<Instant> = LazyLock::new(Instant::now);

/// The next tick of a task with this interval.
pub fn next_tick(interval: Duration) -> Instant {
    let elapsed_ticks = EPOCH.elapsed().as_micros() / interval.as_micros().max(1);
    let tick = u32::try_from(elapsed_ticks + 1).unwrap_or(u32::MAX);
    *EPOCH + interval * tick
}

/// Waits until [`next_tick`].
pub async fn wait_for_tick(interval: Duration) {
    tokio::time::sleep_until(next_tick(interval)).await;
}
