//! The retry budget of a box, as its part of a bound for the whole fleet.

use std::time::Duration;

use frostdyke::names::ServiceName;
use frostdyke::proxy::retry_budget::RetryBounds;
use frostdyke::proxy::retry_budget::RetryBudget;

const BOUNDS: RetryBounds =
    RetryBounds { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn take_retries(budget: &mut RetryBudget, service: &ServiceName, boxes: usize, ms: u64) -> usize {
    (0..1_000).take_while(|_| budget.try_take(service, boxes, millis(ms))).count()
}

/// Callers may all use one box; it may not spend the whole fleet's budget.
#[test]
fn one_box_stays_within_its_part_of_the_fleets_bound() {
    let service = ServiceName::from("s");
    let mut budget = RetryBudget::new(BOUNDS);
    (0..100).for_each(|ms| budget.record_request(&service, millis(ms)));
    // Two fifths of 0.2 x 100 + 50 / 10.
    assert_eq!(take_retries(&mut budget, &service, 10, 100), 10);
    assert_eq!(take_retries(&mut budget, &service, 10, 5_000), 0);
}

/// Retries must be possible again once earlier ones have left the window.
#[test]
fn the_budget_is_restored_after_the_window() {
    let service = ServiceName::from("s");
    let mut budget = RetryBudget::new(BOUNDS);
    assert_eq!(take_retries(&mut budget, &service, 2, 0), 10);
    assert_eq!(take_retries(&mut budget, &service, 2, 10_001), 10);
}

/// Boxes don't coordinate retries, so their parts must add up to no more than the bound.
#[test]
fn retries_of_ten_boxes_stay_below_the_bound() {
    let service = ServiceName::from("s");
    let sum: usize = (0..10)
        .map(|_| {
            let mut budget = RetryBudget::new(BOUNDS);
            (0..30).for_each(|ms| budget.record_request(&service, millis(ms)));
            take_retries(&mut budget, &service, 10, 100)
        })
        .sum();
    assert!((sum as f64) < 0.2 * 300.0 + 50.0);
}
