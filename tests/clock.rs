//! A machine that is suspended: the runtime's clock and its timers stand still meanwhile.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use frostdyke::clock::Clock;
use frostdyke::clock::SinceBoot;
use frostdyke::clock::SuspensionMeter;
use frostdyke::clock::TimeSource;
use tokio::time::Instant;

/// The runtime's clock and the time for which the machine was suspended, in milliseconds.
#[derive(Clone)]
struct Machine {
    began: Instant,
    suspended: Arc<AtomicU64>,
}

impl Machine {
    fn new() -> Machine {
        Machine { began: Instant::now(), suspended: Arc::default() }
    }

    fn suspend(&self, time: Duration) {
        self.suspended.fetch_add(time.as_millis() as u64, Ordering::Relaxed);
    }
}

impl TimeSource for Machine {
    fn now(&self) -> Duration {
        self.began.elapsed() + Duration::from_millis(self.suspended.load(Ordering::Relaxed))
    }
}

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn suspended_time_counts_and_is_told() {
    let machine = Machine::new();
    let clock = Clock::new(Box::new(machine.clone()));
    let mut meter = SuspensionMeter::new(clock.clone());
    tokio::time::advance(SECOND).await;
    assert_eq!((clock.now(), meter.suspended()), (SECOND, None));
    machine.suspend(5 * SECOND);
    assert_eq!((clock.now(), meter.suspended()), (6 * SECOND, Some(5 * SECOND)));
    assert_eq!(meter.suspended(), None);
    // Twice in a row, and once while it stood still besides.
    machine.suspend(SECOND);
    machine.suspend(SECOND);
    tokio::time::advance(SECOND).await;
    assert_eq!((clock.now(), meter.suspended()), (9 * SECOND, Some(2 * SECOND)));
}

#[tokio::test(start_paused = true)]
async fn a_deadline_that_went_by_meanwhile_is_over_at_waking() {
    let machine = Machine::new();
    let clock = Clock::new(Box::new(machine.clone()));
    let waiting = tokio::spawn(clock.clone().sleep_until(10 * SECOND));
    tokio::time::sleep(SECOND).await;
    machine.suspend(12 * SECOND);
    clock.wake();
    tokio::task::yield_now().await;
    tokio::task::yield_now().await;
    assert!(waiting.is_finished());
    assert_eq!(machine.began.elapsed(), SECOND);
}

#[tokio::test(start_paused = true)]
async fn a_deadline_that_is_nearer_by_then_is_waited_for_as_long_as_is_left() {
    let machine = Machine::new();
    let clock = Clock::new(Box::new(machine.clone()));
    let waiting = tokio::spawn(clock.clone().sleep_until(10 * SECOND));
    tokio::time::sleep(SECOND).await;
    machine.suspend(5 * SECOND);
    clock.wake();
    waiting.await.expect("no panic");
    assert_eq!(machine.began.elapsed(), 5 * SECOND);
}

#[test]
fn the_machine_has_such_a_clock() {
    let clock = Clock::new(Box::new(SinceBoot));
    let before = clock.now();
    std::thread::sleep(Duration::from_millis(2));
    assert!(before < clock.now());
}
