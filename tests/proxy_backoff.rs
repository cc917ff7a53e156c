//! Backoff and slow start: an upstream rejects requests and asks a box to back off, while more
//! requests wait than the upstream can take once the backoff ends.

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

/// When the upstream asked for it, in milliseconds since 1970.
const ASKED_AT_MS: u64 = 1_000_000;

const MILLISECOND: Duration = Duration::from_millis(1);

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

/// Acquires as many slow-start slots as there are.
fn acquire_all(registry: &mut UpstreamRegistry, now: Duration) -> Vec<SlowStartSlot> {
    let acquire = || registry.acquire_slow_start_slot(&name("a"), now);
    std::iter::from_fn(acquire).take(100).collect()
}

/// An overloaded upstream must not receive requests before its backoff has ended.
#[test]
fn no_request_is_sent_during_a_backoff() {
    let mut registry = registry();
    assert!(registry.back_off(&name("a"), BACKOFF, ASKED_AT_MS, Duration::ZERO));
    for now in [Duration::ZERO, BACKOFF / 2, BACKOFF - MILLISECOND] {
        assert_eq!(registry.backing_off("s", now), [name("a")]);
        let slow_start_slot = registry.acquire_slow_start_slot(&name("a"), now);
        assert!(!registry.may_send(&name("a"), slow_start_slot, now));
        assert!(registry.may_send(&name("b"), None, now));
    }
    assert!(registry.backing_off("s", BACKOFF).is_empty());
}

/// The response to a request that was already in progress may ask for a shorter backoff.
#[test]
fn a_shorter_backoff_does_not_replace_a_longer_one() {
    let mut registry = registry();
    registry.back_off(&name("a"), BACKOFF, ASKED_AT_MS, Duration::ZERO);
    assert!(!registry.back_off(&name("a"), MILLISECOND, ASKED_AT_MS, MILLISECOND));
    assert!(registry.is_backing_off(&name("a"), BACKOFF - MILLISECOND));
    assert!(!registry.back_off(&name("a"), BACKOFF, ASKED_AT_MS, MILLISECOND));
    assert!(registry.is_backing_off(&name("a"), BACKOFF));
    assert!(!registry.is_backing_off(&name("a"), BACKOFF + MILLISECOND));
}

/// All waiting requests at once would overload the upstream again as its backoff ends.
#[test]
fn slow_start_admits_one_then_two_then_four_requests() {
    let mut registry = registry();
    registry.back_off(&name("a"), BACKOFF, ASKED_AT_MS, Duration::ZERO);
    for limit in [1, 2, 4] {
        let slots = acquire_all(&mut registry, BACKOFF);
        assert_eq!(slots.len(), limit);
        assert!(slots.iter().all(|slow_start_slot| registry.may_send(
            &name("a"),
            Some(*slow_start_slot),
            BACKOFF
        )));
        assert!(
            !registry.may_send(&name("a"), None, BACKOFF),
            "a request without a slow-start slot"
        );
        assert!(registry.is_backing_off(&name("a"), BACKOFF));
        let (first, others) = slots.split_first().expect("one slot is available");
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

/// Streams that began before the backoff may run on for long and end at any time.
#[test]
fn requests_sent_before_a_backoff_do_not_count_in_its_slow_start() {
    let mut registry = registry();
    registry.back_off(&name("a"), BACKOFF, ASKED_AT_MS, Duration::ZERO);
    let before = acquire_all(&mut registry, BACKOFF);
    assert_eq!(before.len(), 1);
    registry.back_off(&name("a"), BACKOFF, ASKED_AT_MS, BACKOFF);
    assert!(!registry.may_send(&name("a"), Some(before[0]), 2 * BACKOFF));
    assert!(!registry.slow_start_accepted(&name("a"), Some(before[0])));
    assert_eq!(acquire_all(&mut registry, 2 * BACKOFF).len(), 1);
    registry.release_slow_start_slot(&name("a"), Some(before[0]));
    assert!(acquire_all(&mut registry, 2 * BACKOFF).is_empty());
}

/// The earlier slow start has completed by then, so its state is gone and a late response must not
/// advance the later one.
#[test]
fn a_slot_of_an_earlier_slow_start_does_not_count_in_a_later_one() {
    let mut registry = registry();
    registry.back_off(&name("a"), BACKOFF, ASKED_AT_MS, MILLISECOND);
    let first = acquire_all(&mut registry, MILLISECOND + BACKOFF);
    registry.upsert(UpstreamListing { slots: 1, ..upstream("a") }, None);
    assert!(registry.slow_start_accepted(&name("a"), Some(first[0])));
    registry.back_off(&name("a"), BACKOFF, ASKED_AT_MS, 2 * BACKOFF);
    assert!(!registry.slow_start_accepted(&name("a"), Some(first[0])));
    assert!(!registry.may_send(&name("a"), Some(first[0]), 3 * BACKOFF));
    assert_eq!(acquire_all(&mut registry, 3 * BACKOFF).len(), 1);
    registry.release_slow_start_slot(&name("a"), Some(first[0]));
    assert!(acquire_all(&mut registry, 3 * BACKOFF).is_empty());
}

/// `Retry-After` states when the first of all upstreams may be sent to, and only if none may be
/// now.
#[test]
fn a_service_resumes_with_its_first_upstream() {
    let mut registry = registry();
    registry.back_off(&name("a"), BACKOFF, ASKED_AT_MS, Duration::ZERO);
    assert_eq!(registry.min_backoff_remaining("s", MILLISECOND), None);
    registry.back_off(&name("b"), 2 * BACKOFF, ASKED_AT_MS, Duration::ZERO);
    assert_eq!(registry.min_backoff_remaining("s", MILLISECOND), Some(BACKOFF - MILLISECOND));
    registry.upsert(UpstreamListing { leaving: true, ..upstream("a") }, None);
    assert_eq!(registry.min_backoff_remaining("s", MILLISECOND), Some(2 * BACKOFF - MILLISECOND));
    assert_eq!(registry.min_backoff_remaining("another", MILLISECOND), None);
}

/// The store's entry of the upstream lapses and returns within the backoff, which stays in force.
#[test]
fn a_backoff_survives_a_lapsed_store_entry() {
    let mut registry = registry();
    registry.back_off(&name("a"), BACKOFF, ASKED_AT_MS, Duration::ZERO);
    registry.remove(&name("a"));
    registry.expire(MILLISECOND);
    registry.upsert(upstream("a"), None);
    assert!(registry.is_backing_off(&name("a"), BACKOFF - MILLISECOND));
}

/// Otherwise the backoffs of removed upstreams would accumulate.
#[test]
fn a_removed_upstream_is_dropped_after_its_backoff() {
    let mut registry = registry();
    registry.back_off(&name("a"), BACKOFF, ASKED_AT_MS, Duration::ZERO);
    registry.remove(&name("a"));
    registry.expire(BACKOFF);
    assert_eq!(registry.backoff_count(), 0);
}

/// The entry of a restarted upstream may come later than its first responses.
#[test]
fn only_an_instance_that_started_after_the_request_for_a_backoff_ends_it() {
    let mut registry = registry();
    registry.back_off(&name("a"), BACKOFF, ASKED_AT_MS, Duration::ZERO);
    for started_at_ms in [ASKED_AT_MS - 1, ASKED_AT_MS] {
        registry.remove_earlier_backoff(&name("a"), started_at_ms);
        assert!(registry.is_backing_off(&name("a"), MILLISECOND));
    }
    // The same instance, or a newer one, asks again.
    registry.back_off(&name("a"), MILLISECOND, ASKED_AT_MS + 5, MILLISECOND);
    registry.remove_earlier_backoff(&name("a"), ASKED_AT_MS + 1);
    assert!(registry.is_backing_off(&name("a"), MILLISECOND));
    registry.remove_earlier_backoff(&name("a"), ASKED_AT_MS + 6);
    assert!(!registry.is_backing_off(&name("a"), MILLISECOND));
}
