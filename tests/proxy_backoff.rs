//! Load: an upstream turns requests away and asks a box to back off, while more requests wait than it can take at its end.

use std::time::Duration;

use frostdyke::names::ServiceName;
use frostdyke::names::UpstreamName;
use frostdyke::names::VersionName;
use frostdyke::names::ZoneName;
use frostdyke::placement::backoff::SlowStartSlot;
use frostdyke::placement::registry::UpstreamRegistry;
use frostdyke::placement::tuning::Tuning;
use frostdyke::proxy::adapter::UpstreamListing;

const SLOTS: u32 = 8;

const BACKOFF: Duration = Duration::from_secs(3);

const MOMENT: Duration = Duration::from_millis(1);

fn name(name: &str) -> UpstreamName {
    UpstreamName::from(name)
}

fn upstream(upstream: &str) -> UpstreamListing {
    UpstreamListing {
        name: name(upstream),
        service: ServiceName::from("s"),
        addr: ([127, 0, 0, 1], 80).into(),
        zone: ZoneName::from("z"),
        version: VersionName::from("v1"),
        slots: SLOTS,
        started_at_ms: None,
        leaving: false,
        cold_for: None,
    }
}

fn registry() -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::new(ZoneName::from("z"), Tuning::default());
    ["a", "b"].into_iter().for_each(|name| registry.upsert(upstream(name), None));
    registry
}

/// Enters as many requests as may be sent.
fn enter_all(registry: &mut UpstreamRegistry, now: Duration) -> Vec<SlowStartSlot> {
    let enter = || registry.acquire_slow_start_slot(&name("a"), now);
    std::iter::from_fn(enter).take(100).collect()
}

#[test]
fn nothing_is_sent_in_a_backoff() {
    let mut registry = registry();
    assert!(registry.back_off(&name("a"), BACKOFF, Duration::ZERO));
    for now in [Duration::ZERO, BACKOFF / 2, BACKOFF - MOMENT] {
        assert_eq!(registry.backing_off("s", now), [name("a")]);
        let slow_start_slot = registry.acquire_slow_start_slot(&name("a"), now);
        assert!(!registry.may_send(&name("a"), slow_start_slot, now));
        assert!(registry.may_send(&name("b"), None, now));
    }
    assert!(registry.backing_off("s", BACKOFF).is_empty());
}

/// An answer to a request that was under way asks for less.
#[test]
fn a_shorter_backoff_ends_no_longer_one() {
    let mut registry = registry();
    registry.back_off(&name("a"), BACKOFF, Duration::ZERO);
    assert!(!registry.back_off(&name("a"), MOMENT, MOMENT));
    assert!(registry.is_backing_off(&name("a"), BACKOFF - MOMENT));
    assert!(!registry.back_off(&name("a"), BACKOFF, MOMENT));
    assert!(registry.is_backing_off(&name("a"), BACKOFF));
    assert!(!registry.is_backing_off(&name("a"), BACKOFF + MOMENT));
}

#[test]
fn requests_come_back_one_then_two_then_four() {
    let mut registry = registry();
    registry.back_off(&name("a"), BACKOFF, Duration::ZERO);
    for limit in [1, 2, 4] {
        let trials = enter_all(&mut registry, BACKOFF);
        assert_eq!(trials.len(), limit);
        assert!(trials.iter().all(|slow_start_slot| registry.may_send(
            &name("a"),
            Some(*slow_start_slot),
            BACKOFF
        )));
        assert!(!registry.may_send(&name("a"), None, BACKOFF), "one that is not counted");
        assert!(registry.is_backing_off(&name("a"), BACKOFF));
        let (first, others) = trials.split_first().expect("one may try");
        let is_over = registry.slow_start_accepted(&name("a"), Some(*first));
        assert_eq!(is_over, limit == 4);
        registry.release_slow_start_slot(&name("a"), Some(*first));
        others.iter().for_each(|slow_start_slot| {
            registry.release_slow_start_slot(&name("a"), Some(*slow_start_slot))
        });
    }
    assert!(registry.may_send(&name("a"), None, BACKOFF));
    assert_eq!(registry.backoff_count(), 0);
}

/// Streams of before the backoff go on for long after it, and end at any time.
#[test]
fn requests_of_before_a_backoff_dont_count_in_its_slow_start() {
    let mut registry = registry();
    registry.back_off(&name("a"), BACKOFF, Duration::ZERO);
    let before = enter_all(&mut registry, BACKOFF);
    assert_eq!(before.len(), 1);
    registry.back_off(&name("a"), BACKOFF, BACKOFF);
    assert!(!registry.may_send(&name("a"), Some(before[0]), 2 * BACKOFF));
    assert!(!registry.slow_start_accepted(&name("a"), Some(before[0])));
    assert_eq!(enter_all(&mut registry, 2 * BACKOFF).len(), 1);
    registry.release_slow_start_slot(&name("a"), Some(before[0]));
    assert!(enter_all(&mut registry, 2 * BACKOFF).is_empty());
}

/// The slow start before is over by then, and nothing is left of it.
#[test]
fn a_trial_of_an_earlier_slow_start_doesnt_count_in_a_later_one() {
    let mut registry = registry();
    registry.back_off(&name("a"), BACKOFF, MOMENT);
    let first = enter_all(&mut registry, MOMENT + BACKOFF);
    registry.upsert(UpstreamListing { slots: 1, ..upstream("a") }, None);
    assert!(registry.slow_start_accepted(&name("a"), Some(first[0])));
    registry.back_off(&name("a"), BACKOFF, 2 * BACKOFF);
    assert!(!registry.slow_start_accepted(&name("a"), Some(first[0])));
    assert!(!registry.may_send(&name("a"), Some(first[0]), 3 * BACKOFF));
    assert_eq!(enter_all(&mut registry, 3 * BACKOFF).len(), 1);
    registry.release_slow_start_slot(&name("a"), Some(first[0]));
    assert!(enter_all(&mut registry, 3 * BACKOFF).is_empty());
}

/// Retry-After names when the first of all may be sent to, and only where none may be now.
#[test]
fn a_service_resumes_when_its_first_upstream_does() {
    let mut registry = registry();
    registry.back_off(&name("a"), BACKOFF, Duration::ZERO);
    assert_eq!(registry.min_backoff_remaining("s", MOMENT), None);
    registry.back_off(&name("b"), 2 * BACKOFF, Duration::ZERO);
    assert_eq!(registry.min_backoff_remaining("s", MOMENT), Some(BACKOFF - MOMENT));
    registry.upsert(UpstreamListing { leaving: true, ..upstream("a") }, None);
    assert_eq!(registry.min_backoff_remaining("s", MOMENT), Some(2 * BACKOFF - MOMENT));
    assert_eq!(registry.min_backoff_remaining("another", MOMENT), None);
}

/// The store's list is of no weight here: an entry lapses and is back within a backoff.
#[test]
fn a_backoff_outlasts_an_entry() {
    let mut registry = registry();
    registry.back_off(&name("a"), BACKOFF, Duration::ZERO);
    registry.remove(&name("a"));
    registry.expire(MOMENT);
    registry.upsert(upstream("a"), None);
    assert!(registry.is_backing_off(&name("a"), BACKOFF - MOMENT));
}

#[test]
fn what_is_gone_is_forgotten_after_its_backoff() {
    let mut registry = registry();
    registry.back_off(&name("a"), BACKOFF, Duration::ZERO);
    registry.remove(&name("a"));
    registry.expire(BACKOFF);
    assert_eq!(registry.backoff_count(), 0);
}
