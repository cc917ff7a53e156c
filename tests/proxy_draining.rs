//! The notice of an upstream that it drains, against what the store and other boxes list later.

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

/// When `a` was started, and when it says that it drains, in milliseconds since 1970.
const BORN: u64 = 1_000_000;
const SAID_AT: u64 = 2_000_000;

const NOW: Duration = Duration::from_secs(100);

const SECOND: Duration = Duration::from_secs(1);

fn upstream(name: &str, born: u64) -> UpstreamListing {
    UpstreamListing {
        name: UpstreamName::from(name),
        service: ServiceName::from("s"),
        addr: ([127, 0, 0, 1], 80).into(),
        zone: ZoneName::from("z"),
        version: VersionName::from("v1"),
        slots: 1,
        started_at_ms: Some(born),
        leaving: false,
        cold_for: None,
    }
}

fn all() -> Vec<UpstreamListing> {
    vec![upstream("a", BORN), upstream("b", BORN)]
}

fn notice(born: Option<u64>) -> DrainNotice {
    DrainNotice { upstream: UpstreamName::from("a"), started_at_ms: born, answered_at_ms: SAID_AT }
}

/// A view that sees the store, and to which `a` has said that it drains.
fn view() -> View {
    let mut view = View::new(UpstreamRegistry::new(ZoneName::from("z"), Tuning::default()));
    view.store_regained(Duration::ZERO);
    view.set_upstreams(all(), Duration::ZERO);
    assert!(view.apply_draining(&notice(Some(BORN)), NOW));
    view.take_changes();
    view
}

fn is_open(view: &View) -> bool {
    let name = UpstreamName::from("a");
    let is_open = view.registry().is_open(&name);
    assert!(!is_open || !view.is_barred(&name));
    is_open
}

/// A store that is slow lists it as ready on and on.
#[test]
fn a_listing_of_the_same_incarnation_opens_nothing() {
    let mut view = view();
    view.set_upstream(upstream("a", BORN), NOW + SECOND);
    view.set_upstreams(all(), NOW + SECOND);
    assert!(!is_open(&view));
    assert!(view.take_changes().is_empty());
}

/// Entries lapse while the store is away, and are written again.
#[test]
fn an_entry_that_lapsed_and_is_back_opens_nothing() {
    let mut view = view();
    view.entry_removed(&UpstreamName::from("a"), NOW + SECOND);
    assert!(view.is_barred(&UpstreamName::from("a")));
    view.expire(NOW + 12 * SECOND);
    view.set_upstream(upstream("a", BORN), NOW + 12 * SECOND);
    assert!(!is_open(&view));
}

#[test]
fn a_store_that_comes_back_from_an_older_copy_opens_nothing() {
    let mut view = view();
    view.enter_era(1, NOW + SECOND);
    view.set_upstreams(all(), NOW + SECOND);
    view.expire(NOW + 10 * SECOND);
    assert!(!is_open(&view));
}

/// A box without the notice, since its zone was cut off or it has just started, sends what it believes.
#[test]
fn what_other_boxes_list_opens_nothing() {
    let mut view = view();
    view.store_lost();
    let revision = Revision::new(1, 5);
    let snapshot =
        Snapshot { upstreams: all(), revision, is_complete: true, ..Snapshot::default() };
    view.apply_snapshot(snapshot, NOW + SECOND);
    view.reported_listed(upstream("a", BORN), NOW + SECOND);
    assert!(!is_open(&view));
}

#[test]
fn an_incarnation_after_the_notice_is_open() {
    let mut view = view();
    view.set_upstream(upstream("a", SAID_AT + 1), NOW + SECOND);
    assert!(is_open(&view));
    assert!(
        !view.apply_draining(&notice(Some(BORN)), NOW + SECOND),
        "of the earlier incarnation, late"
    );
    assert!(is_open(&view));
}

/// It may be the incarnation that answered, or a later one by clocks that differ. Which one shows when the one that
/// drains must have ended.
#[test]
fn an_uncertain_incarnation_is_open_once_the_other_one_has_ended() {
    let mut view = view();
    view.set_upstream(upstream("a", SAID_AT - 1), NOW + SECOND);
    view.expire(NOW + 20 * SECOND);
    assert!(!is_open(&view));
    view.expire(NOW + 31 * SECOND);
    assert!(is_open(&view));
}

#[test]
fn a_listed_incarnation_stays_open_when_the_notice_of_an_earlier_one_comes() {
    let mut view = View::new(UpstreamRegistry::new(ZoneName::from("z"), Tuning::default()));
    view.store_regained(Duration::ZERO);
    view.set_upstreams(vec![upstream("a", SAID_AT + 1)], Duration::ZERO);
    assert!(!view.apply_draining(&notice(Some(BORN)), NOW));
    assert!(is_open(&view));
}

/// Each box that reads it would broadcast it; only the first time is worth a message.
#[test]
fn a_notice_is_new_once() {
    let mut view = view();
    assert!(!view.apply_draining(&notice(Some(BORN)), NOW + SECOND));
    assert!(!view.apply_draining(&notice(None), NOW + SECOND));
}

/// All boxes have it from the store.
#[test]
fn a_notice_that_the_store_lists_is_not_new() {
    let mut view = View::new(UpstreamRegistry::new(ZoneName::from("z"), Tuning::default()));
    view.store_regained(Duration::ZERO);
    view.set_upstreams(
        vec![UpstreamListing { leaving: true, ..upstream("a", BORN) }],
        Duration::ZERO,
    );
    assert!(!view.apply_draining(&notice(Some(BORN)), NOW));
    view.set_upstream(upstream("a", BORN), NOW + SECOND);
    assert!(!is_open(&view));
}

/// An owner may choose an upstream of which this box has no more than the notice.
#[test]
fn an_upstream_that_isnt_listed_is_barred_by_its_notice() {
    let mut view = View::new(UpstreamRegistry::new(ZoneName::from("z"), Tuning::default()));
    assert!(view.apply_draining(&notice(None), NOW));
    assert!(view.is_barred(&UpstreamName::from("a")));
    view.store_regained(NOW);
    view.set_upstreams(all(), NOW);
    assert!(!is_open(&view));
}

/// A box that has just started lists what the store has, and gets the notices from another one.
#[test]
fn a_box_that_starts_gets_the_notices() {
    let learned = view().learned(None);
    let mut started = View::new(UpstreamRegistry::new(ZoneName::from("z"), Tuning::default()));
    started.store_regained(NOW);
    started.set_upstreams(all(), NOW);
    learned.draining.iter().for_each(|draining| _ = started.apply_draining(draining, NOW));
    assert!(!is_open(&started));
}

#[test]
fn what_is_long_gone_is_forgotten() {
    let mut view = view();
    view.entry_removed(&UpstreamName::from("a"), NOW);
    view.expire(NOW + 5 * SECOND);
    assert_eq!(view.draining().iter().count(), 1);
    view.expire(NOW + 60 * SECOND);
    assert_eq!(view.draining().iter().count(), 0);
}
