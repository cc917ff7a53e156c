//! A clock that includes the time for which the machine is suspended.
//!
//! The monotonic clock and the runtime's timers stop during a suspension. Measured by them, state
//! from before the suspension would look current on resume.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;
use tokio::sync::watch;
use tokio::time::Instant;

/// Shortest difference between the clocks that counts as a suspension. They are read one after the
/// other, and the thread may be descheduled in between.
const SUSPENSION_MIN: Duration = Duration::from_millis(50);

/// A source of time.
pub trait TimeSource: Send + Sync {
    /// Time since a fixed moment, including time suspended.
    fn now(&self) -> Duration;
}

/// The time since boot, including time suspended.
#[derive(Clone, Copy, Debug)]
pub struct SinceBoot;

impl TimeSource for SinceBoot {
    fn now(&self) -> Duration {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME);
        // Linux has both clocks since 2.6.39.
        let now = now.or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
        now.map(Duration::from).unwrap_or_default()
    }
}

/// A clock that starts at zero when it is made.
pub struct Clock {
    source: Box<dyn TimeSource>,
    epoch: Duration,
    /// Wakes all sleeps, to check the time again.
    wake_sender: watch::Sender<()>,
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock").field("epoch", &self.epoch).finish_non_exhaustive()
    }
}

impl Clock {
    /// Starts a clock at zero.
    pub fn new(source: Box<dyn TimeSource>) -> Arc<Clock> {
        let epoch = source.now();
        Arc::new(Clock { source, epoch, wake_sender: watch::Sender::new(()) })
    }

    /// Time since the clock was started.
    pub fn now(&self) -> Duration {
        self.source.now().saturating_sub(self.epoch)
    }

    /// Sleeps until a time of this clock. The runtime's timers don't count suspended time, so
    /// [`Clock::wake`] makes each sleep check the time again.
    pub async fn sleep_until(self: Arc<Clock>, until: Duration) {
        let mut wake = self.wake_sender.subscribe();
        loop {
            let remaining = until.saturating_sub(self.now());
            if remaining.is_zero() {
                return;
            }
            // Either result leads to another check; `changed` can't fail while `self` owns the
            // sender.
            let _ = tokio::time::timeout(remaining, wake.changed()).await;
        }
    }

    /// Makes all sleeps check the time again, after a suspension.
    pub fn wake(&self) {
        self.wake_sender.send_replace(());
    }
}

/// Measures how long the machine was suspended.
#[derive(Debug)]
pub struct SuspensionMeter {
    clock: Arc<Clock>,
    /// Both clocks at the last measurement.
    last: (Instant, Duration),
}

impl SuspensionMeter {
    /// Starts to measure now.
    pub fn new(clock: Arc<Clock>) -> SuspensionMeter {
        let last = (Instant::now(), clock.now());
        SuspensionMeter { clock, last }
    }

    /// Returns how long the machine was suspended since the last call, if it was.
    pub fn suspended(&mut self) -> Option<Duration> {
        let (monotonic_before, before) =
            std::mem::replace(&mut self.last, (Instant::now(), self.clock.now()));
        let (monotonic, now) = self.last;
        let suspended = now.saturating_sub(before).saturating_sub(monotonic - monotonic_before);
        (SUSPENSION_MIN < suspended).then_some(suspended)
    }
}
