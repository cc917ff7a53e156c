//! Time that goes on while the machine is suspended.
//!
//! The steady clock, and the runtime's timers with it, stand still meanwhile: what a box believed before would look as
//! fresh when it wakes as if no time had gone by.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;
use tokio::sync::watch;
use tokio::time::Instant;

/// The clocks differ by this much without a suspension: they are read one after the other, by a thread that may have to
/// wait between.
const SUSPENDED_MIN: Duration = Duration::from_millis(50);

/// Where time comes from.
pub trait TimeSource: Send + Sync {
    /// Time since some moment, suspended time included.
    fn now(&self) -> Duration;
}

/// The time since the machine's start.
#[derive(Clone, Copy, Debug)]
pub struct SinceBoot;

impl TimeSource for SinceBoot {
    fn now(&self) -> Duration {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME);
        // Every Linux since 2.6.39 has both.
        let now = now.or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
        now.map(Duration::from).unwrap_or_default()
    }
}

/// The clock of a process.
pub struct Clock {
    source: Box<dyn TimeSource>,
    epoch: Duration,
    /// Sent to when the machine has been suspended.
    woken: watch::Sender<()>,
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock").field("epoch", &self.epoch).finish_non_exhaustive()
    }
}

impl Clock {
    /// A clock that begins now.
    pub fn new(source: Box<dyn TimeSource>) -> Arc<Clock> {
        let epoch = source.now();
        Arc::new(Clock { source, epoch, woken: watch::Sender::new(()) })
    }

    /// Time since the clock began.
    pub fn now(&self) -> Duration {
        self.source.now().saturating_sub(self.epoch)
    }

    /// Waits until a time by this clock. The runtime's timers don't count suspended time, so who waits is woken to look
    /// again by [`Clock::wake`].
    pub async fn sleep_until(self: Arc<Clock>, until: Duration) {
        let mut woken = self.woken.subscribe();
        loop {
            let left = until.saturating_sub(self.now());
            if left.is_zero() {
                return;
            }
            // Whichever comes first. The sender is this clock's.
            let _ = tokio::time::timeout(left, woken.changed()).await;
        }
    }

    /// Has all who wait look at the time again.
    pub fn wake(&self) {
        self.woken.send_replace(());
    }
}

/// Finds out how long the machine was suspended.
#[derive(Debug)]
pub struct SuspensionMeter {
    clock: Arc<Clock>,
    at: (Instant, Duration),
}

impl SuspensionMeter {
    /// Begins now.
    pub fn new(clock: Arc<Clock>) -> SuspensionMeter {
        let at = (Instant::now(), clock.now());
        SuspensionMeter { clock, at }
    }

    /// How long the machine was suspended since the last call, if it was.
    pub fn suspended(&mut self) -> Option<Duration> {
        let (then, before) = std::mem::replace(&mut self.at, (Instant::now(), self.clock.now()));
        let (steady, now) = self.at;
        let suspended = now.saturating_sub(before).saturating_sub(steady - then);
        (SUSPENDED_MIN < suspended).then_some(suspended)
    }
}
