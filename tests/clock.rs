//! Time on a box that is suspended; the async runtime's clock and timers stand still meanwhile.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use frostdyke::clock::Clock;
use frostdyke::clock::SinceBoot;
use frostdyke::clock::SuspensionMeter;
use frostdyke::clock::TimeSource;
use tokio::time::Instant;

/// The runtime's clock plus the time for which the box was suspended.
#[derive(Clone)]
struct SuspendableClock {
    started_at: Instant,
    suspended_ms: Arc<AtomicU64>,
}

impl SuspendableClock {
    fn new() -> SuspendableClock {
        SuspendableClock { started_at: Instant::now(), suspended_ms: Arc::default() }
    }

    fn suspend(&self, time: Duration) {
        self.suspended_ms.fetch_add(time.as_millis() as u64, Ordering::Relaxed);
    }
}

impl TimeSource for SuspendableClock {
    fn now(&self) -> Duration {
        self.started_at.elapsed() + Duration::from_millis(self.suspended_ms.load(Ordering::Relaxed))
    }
}

const SECOND: Duration = Duration::from_secs(1);

/// Guards against state that looks fresh after a suspension because the time of it wasn't counted.
#[tokio::test(start_paused = true)]
async fn suspended_time_counts_and_is_reported() {
    let time_source = SuspendableClock::new();
    let clock = Clock::new(Box::new(time_source.clone()));
    let mut meter = SuspensionMeter::new(clock.clone());
    tokio::time::advance(SECOND).await;
    assert_eq!((clock.now(), meter.suspended()), (SECOND, None));
    time_source.suspend(5 * SECOND);
    assert_eq!((clock.now(), meter.suspended()), (6 * SECOND, Some(5 * SECOND)));
    assert_eq!(meter.suspended(), None);
    // Two suspensions between two readings add up.
    time_source.suspend(SECOND);
    time_source.suspend(SECOND);
    tokio::time::advance(SECOND).await;
    assert_eq!((clock.now(), meter.suspended()), (9 * SECOND, Some(2 * SECOND)));
}

/// Guards against a timer that runs for its full remaining time after a suspension past its
/// deadline.
#[tokio::test(start_paused = true)]
async fn a_deadline_that_passes_during_a_suspension_fires_on_wake() {
    let time_source = SuspendableClock::new();
    let clock = Clock::new(Box::new(time_source.clone()));
    let waiting = tokio::spawn(clock.clone().sleep_until(10 * SECOND));
    tokio::time::sleep(SECOND).await;
    time_source.suspend(12 * SECOND);
    clock.wake();
    tokio::task::yield_now().await;
    tokio::task::yield_now().await;
    assert!(waiting.is_finished());
    assert_eq!(time_source.started_at.elapsed(), SECOND);
}

/// Guards against a deadline that is late by the time of a suspension.
#[tokio::test(start_paused = true)]
async fn a_suspension_shortens_the_wait_for_a_later_deadline() {
    let time_source = SuspendableClock::new();
    let clock = Clock::new(Box::new(time_source.clone()));
    let waiting = tokio::spawn(clock.clone().sleep_until(10 * SECOND));
    tokio::time::sleep(SECOND).await;
    time_source.suspend(5 * SECOND);
    clock.wake();
    waiting.await.expect("no panic");
    assert_eq!(time_source.started_at.elapsed(), 5 * SECOND);
}

#[test]
fn the_boot_time_clock_advances() {
    let clock = Clock::new(Box::new(SinceBoot));
    let before = clock.now();
    std::thread::sleep(Duration::from_millis(2));
    assert!(before < clock.now());
}
