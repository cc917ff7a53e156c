//! An upstream's own notice that it drains takes precedence over what the store and other boxes
//! list later.

use std::time::Duration;

use frostdyke::fleet::draining::DrainNotice;
use frostdyke::fleet::revision::Revision;
use frostdyke::names::ServiceName;
use frostdyke::names::UpstreamName;
use frostdyke::names::VersionName;
use frostdyke::names::ZoneName;
use frostdyke::placement::registry::UpstreamRegistry;
use frostdyke::placement::tuning::Tuning;
use frostdyke::proxy::adapter::UpstreamListing;
use frostdyke::proxy::view::Snapshot;
use frostdyke::proxy::view::View;

/// When `a` was started and when it answered that it drains, in milliseconds since 1970.
const STARTED_AT_MS: u64 = 1_000_000;
const ANSWERED_AT_MS: u64 = 2_000_000;

const NOW: Duration = Duration::from_secs(100);

const SECOND: Duration = Duration::from_secs(1);

fn upstream(name: &str, started_at_ms: u64) -> UpstreamListing {
    UpstreamListing {
        name: UpstreamName::from(name),
        service: ServiceName::from("s"),
        addr: ([127, 0, 0, 1], 80).into(),
        zone: ZoneName::from("z"),
        version: VersionName::from("v1"),
        slots: 1,
        started_at_ms: Some(started_at_ms),
        leaving: false,
        cold_for: None,
    }
}

fn all() -> Vec<UpstreamListing> {
    vec![upstream("a", STARTED_AT_MS), upstream("b", STARTED_AT_MS)]
}

fn notice(started_at_ms: Option<u64>) -> DrainNotice {
    DrainNotice { upstream: UpstreamName::from("a"), started_at_ms, answered_at_ms: ANSWERED_AT_MS }
}

/// A view with access to the store, after `a` has answered that it drains.
fn view() -> View {
    let mut view = View::new(UpstreamRegistry::new(ZoneName::from("z"), Tuning::default()));
    view.store_regained(Duration::ZERO);
    view.set_upstreams(all(), Duration::ZERO);
    assert!(view.apply_draining(&notice(Some(STARTED_AT_MS)), NOW));
    view.take_changes();
    view
}

fn is_open(view: &View) -> bool {
    let name = UpstreamName::from("a");
    let is_open = view.registry().is_open(&name);
    assert!(!is_open || !view.is_barred(&name));
    is_open
}

/// A slow store keeps listing the upstream as ready.
#[test]
fn a_listing_of_the_same_instance_does_not_reopen_it() {
    let mut view = view();
    view.set_upstream(upstream("a", STARTED_AT_MS), NOW + SECOND);
    view.set_upstreams(all(), NOW + SECOND);
    assert!(!is_open(&view));
    assert!(view.take_changes().is_empty());
}

/// Entries lapse while the store is unavailable and are written again afterwards.
#[test]
fn an_entry_that_lapsed_and_returned_does_not_reopen_it() {
    let mut view = view();
    view.entry_removed(&UpstreamName::from("a"), None, NOW + SECOND);
    assert!(view.is_barred(&UpstreamName::from("a")));
    view.expire(NOW + 12 * SECOND);
    view.set_upstream(upstream("a", STARTED_AT_MS), NOW + 12 * SECOND);
    assert!(!is_open(&view));
}

/// The copy was taken before the upstream began to drain.
#[test]
fn a_store_restored_from_an_older_copy_does_not_reopen_it() {
    let mut view = view();
    view.enter_era(1, NOW + SECOND);
    view.set_upstreams(all(), NOW + SECOND);
    view.expire(NOW + 10 * SECOND);
    assert!(!is_open(&view));
}

/// A box without the notice, because its zone was cut off or it has just started, sends outdated
/// listings.
#[test]
fn listings_of_other_boxes_do_not_reopen_it() {
    let mut view = view();
    view.store_lost();
    let revision = Revision::new(1, 5);
    let snapshot =
        Snapshot { upstreams: all(), revision, is_complete: true, ..Snapshot::default() };
    view.apply_snapshot(snapshot, NOW + SECOND);
    view.reported_listed(upstream("a", STARTED_AT_MS), None, NOW + SECOND);
    assert!(!is_open(&view));
}

/// A notice is about one instance; a restarted upstream takes requests again.
#[test]
fn an_instance_started_after_the_notice_is_open() {
    let mut view = view();
    view.set_upstream(upstream("a", ANSWERED_AT_MS + 1), NOW + SECOND);
    assert!(is_open(&view));
    assert!(
        !view.apply_draining(&notice(Some(STARTED_AT_MS)), NOW + SECOND),
        "a late notice of the earlier instance"
    );
    assert!(is_open(&view));
}

/// The listed instance may be the one that answered or, as clocks differ, a later one. It opens
/// when the draining one must have ended.
#[test]
fn an_instance_of_uncertain_order_opens_once_the_draining_one_must_have_ended() {
    let mut view = view();
    view.set_upstream(upstream("a", ANSWERED_AT_MS - 1), NOW + SECOND);
    view.expire(NOW + 20 * SECOND);
    assert!(!is_open(&view));
    view.expire(NOW + 31 * SECOND);
    assert!(is_open(&view));
}

/// The notice may arrive after the restart that it precedes.
#[test]
fn a_late_notice_of_an_earlier_instance_does_not_close_a_listed_one() {
    let mut view = View::new(UpstreamRegistry::new(ZoneName::from("z"), Tuning::default()));
    view.store_regained(Duration::ZERO);
    view.set_upstreams(vec![upstream("a", ANSWERED_AT_MS + 1)], Duration::ZERO);
    assert!(!view.apply_draining(&notice(Some(STARTED_AT_MS)), NOW));
    assert!(is_open(&view));
}

/// Each box that reads a notice broadcasts it if it is new; only the first is worth a message.
#[test]
fn a_repeated_notice_is_not_new() {
    let mut view = view();
    assert!(!view.apply_draining(&notice(Some(STARTED_AT_MS)), NOW + SECOND));
    assert!(!view.apply_draining(&notice(None), NOW + SECOND));
}

/// All boxes have it from the store, so it needs no broadcast.
#[test]
fn a_notice_that_the_store_lists_is_not_new() {
    let mut view = View::new(UpstreamRegistry::new(ZoneName::from("z"), Tuning::default()));
    view.store_regained(Duration::ZERO);
    view.set_upstreams(
        vec![UpstreamListing { leaving: true, ..upstream("a", STARTED_AT_MS) }],
        Duration::ZERO,
    );
    assert!(!view.apply_draining(&notice(Some(STARTED_AT_MS)), NOW));
    view.set_upstream(upstream("a", STARTED_AT_MS), NOW + SECOND);
    assert!(!is_open(&view));
}

/// An owner may choose an upstream of which this box has only the notice.
#[test]
fn an_unlisted_upstream_is_barred_by_its_notice() {
    let mut view = View::new(UpstreamRegistry::new(ZoneName::from("z"), Tuning::default()));
    assert!(view.apply_draining(&notice(None), NOW));
    assert!(view.is_barred(&UpstreamName::from("a")));
    view.store_regained(NOW);
    view.set_upstreams(all(), NOW);
    assert!(!is_open(&view));
}

/// A box that has just started lists what the store has, and receives the notices from another box.
#[test]
fn a_starting_box_receives_the_notices() {
    let learned = view().learned(None);
    let mut started = View::new(UpstreamRegistry::new(ZoneName::from("z"), Tuning::default()));
    started.store_regained(NOW);
    started.set_upstreams(all(), NOW);
    learned.draining.iter().for_each(|draining| _ = started.apply_draining(draining, NOW));
    assert!(!is_open(&started));
}

/// Otherwise the notices of removed upstreams would accumulate.
#[test]
fn notices_of_removed_upstreams_expire() {
    let mut view = view();
    view.entry_removed(&UpstreamName::from("a"), None, NOW);
    view.expire(NOW + 5 * SECOND);
    assert_eq!(view.draining().iter().count(), 1);
    view.expire(NOW + 60 * SECOND);
    assert_eq!(view.draining().iter().count(), 0);
}
