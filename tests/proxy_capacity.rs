//! When a box counts as overloaded.

use std::time::Duration;

use frostdyke::proxy::lag::Lag;

#[test]
fn one_late_timer_is_no_overload() {
    let mut lag = Lag::default();
    assert!(!lag.note(Duration::from_millis(200)));
    assert!((0..50).all(|_| !lag.note(Duration::from_millis(2))));
}

#[test]
fn a_box_that_stays_behind_is_overloaded_until_it_has_caught_up() {
    let mut lag = Lag::default();
    let ticks = (0..20).take_while(|_| !lag.note(Duration::from_millis(100))).count();
    assert!((1..6).contains(&ticks), "{ticks}");
    assert!(lag.note(Duration::from_millis(20)));
    let ticks = (0..50).take_while(|_| lag.note(Duration::from_millis(1))).count();
    assert!((3..25).contains(&ticks), "{ticks}");
}
