//! Tasks that look at something now and then, all at the same moments: an idle process wakes once for all of them.

use std::sync::LazyLock;
use std::time::Duration;

use tokio::time::Instant;

/// All moments are whole multiples of a task's interval from here on.
static BEGAN: LazyLock<Instant> = LazyLock::new(Instant::now);

/// The next moment for a task that looks every `interval`.
pub fn next_tick(interval: Duration) -> Instant {
    let passed = BEGAN.elapsed().as_micros() / interval.as_micros().max(1);
    let count = u32::try_from(passed + 1).unwrap_or(u32::MAX);
    *BEGAN + interval * count
}

/// Waits for it.
pub async fn wait_for_tick(interval: Duration) {
    tokio::time::sleep_until(next_tick(interval)).await;
}
