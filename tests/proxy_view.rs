//! A box's view of the upstreams while the store fails, lags or returns.

use std::collections::BTreeSet;
use std::time::Duration;

use frostdyke::fleet::evacuated::EvacuatedZones;
use frostdyke::fleet::revision::Revision;
use frostdyke::names::ServiceName;
use frostdyke::names::UpstreamName;
use frostdyke::names::VersionName;
use frostdyke::names::ZoneName;
use frostdyke::placement::registry::UpstreamRegistry;
use frostdyke::placement::tuning::Tuning;
use frostdyke::proxy::adapter::UpstreamListing;
use frostdyke::proxy::digests;
use frostdyke::proxy::digests::Digests;
use frostdyke::proxy::view::Change;
use frostdyke::proxy::view::Snapshot;
use frostdyke::proxy::view::View;
use proptest::collection;
use proptest::prelude::*;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn upstream(name: &str) -> UpstreamListing {
    UpstreamListing {
        name: UpstreamName::from(name),
        service: ServiceName::from("s"),
        addr: ([127, 0, 0, 1], 80).into(),
        zone: ZoneName::from("a"),
        version: VersionName::from("v1"),
        slots: 1,
        started_at_ms: None,
        leaving: false,
        cold_for: None,
    }
}

/// A view with access to the store, which lists `a` and `b`.
fn view() -> View {
    let mut view = View::new(UpstreamRegistry::new(ZoneName::from("a"), Tuning::default()));
    view.store_regained(millis(0));
    view.set_upstreams(vec![upstream("a"), upstream("b")], millis(0));
    view.take_changes();
    view
}

fn is_open(view: &View, name: &str) -> bool {
    view.registry().is_open(&UpstreamName::from(name))
}

/// Load: boxes with 3,000 upstreams restart one after the other. Each watches the store until it
/// knows the other boxes, and forwards changes to the hundred of its zone. Forwarding the whole
/// first list cost 24 MB per restart.
#[test]
fn a_starting_box_does_not_broadcast_the_list_it_reads() {
    let mut view = View::new(UpstreamRegistry::new(ZoneName::from("a"), Tuning::default()));
    view.store_regained(millis(0));
    let leaving = UpstreamListing { leaving: true, ..upstream("c") };
    view.set_upstreams(vec![upstream("a"), upstream("b"), leaving], millis(0));
    let changes = [Change::Leaving(UpstreamName::from("c")), Change::Listed(3)];
    assert_eq!(view.take_changes(), changes);
    view.set_upstreams(vec![upstream("a"), upstream("b"), upstream("d")], millis(1_000));
    let changes =
        [Change::Upstream(upstream("d"), None), Change::Gone(UpstreamName::from("c"), None)];
    assert_eq!(view.take_changes(), changes);
}

/// A watcher learns by datagram that an upstream leaves, before the store delivers it, and a box of
/// its zone loses all datagrams. Asked for changes, the watcher must include that one.
#[test]
fn changes_known_to_a_watcher_before_the_store_are_sent_on_request() {
    let now = millis(1_000);
    let (mut watcher, mut box_) = (view(), view());
    watcher.complete_up_to(Revision::new(1, 5));
    box_.complete_up_to(Revision::new(1, 5));
    box_.store_left_to_others();
    watcher.reported_leaving(&UpstreamName::from("a"), now);
    watcher.set_upstream(UpstreamListing { leaving: true, ..upstream("a") }, now);
    watcher.complete_up_to(Revision::new(1, 6));
    let changes = watcher.changes_since(0, box_.revision(), now).expect("they are known");
    box_.apply_snapshot(changes, now);
    assert!(!is_open(&box_, "a"));
    assert!(is_open(&box_, "b"));
    assert_eq!(box_.revision(), Revision::new(1, 6));
}

/// An upstream leaves and is removed while one of three watchers is cut off. Once back, that
/// watcher receives the past changes: the upstream changed, and its entry is missing, which after
/// an outage of the store may only mean that it lapsed.
#[test]
fn a_watcher_that_was_cut_off_does_not_restore_removed_upstreams() {
    let now = millis(20_000);
    let (mut watcher, mut box_, mut cut_off) = (view(), view(), view());
    watcher.complete_up_to(Revision::new(1, 5));
    box_.complete_up_to(Revision::new(1, 5));
    cut_off.complete_up_to(Revision::new(1, 5));
    box_.store_left_to_others();
    watcher.entry_removed(&UpstreamName::from("a"), None, now);
    watcher.complete_up_to(Revision::new(1, 7));
    box_.apply_snapshot(
        watcher.changes_since(0, Revision::new(1, 5), now).expect("it is known"),
        now,
    );
    assert!(!is_open(&box_, "a"));
    cut_off.store_lost();
    cut_off.store_regained(now);
    cut_off.set_upstream(UpstreamListing { slots: 2, ..upstream("a") }, now);
    cut_off.entry_removed(&UpstreamName::from("a"), None, now);
    cut_off.complete_up_to(Revision::new(1, 8));
    let response = cut_off.changes_since(0, box_.revision(), now).expect("it is known");
    assert_eq!(
        response.upstreams,
        [],
        "a missing entry is reported neither as listed nor as removed"
    );
    box_.apply_snapshot(response, now);
    assert!(!is_open(&box_, "a"));
    let (version, digests) = (box_.version(), box_.digests(now));
    box_.apply_snapshot(cut_off.difference(version, &digests, now), now);
    assert!(!is_open(&box_, "a"), "nor by a difference");
    // A watcher that lists it again doesn't restore it either.
    cut_off.set_upstream(UpstreamListing { slots: 2, ..upstream("a") }, now);
    cut_off.complete_up_to(Revision::new(1, 9));
    box_.apply_snapshot(cut_off.changes_since(0, box_.revision(), now).expect("it is known"), now);
    assert!(!is_open(&box_, "a"));
}

/// All entries lapse for a second; a watcher reports them removed, and lists them again. Boxes of a
/// zone that had received the first report used none of the upstreams for ten seconds.
#[test]
fn an_upstream_reported_removed_and_listed_again_is_open() {
    let now = millis(20_000);
    let (watcher, mut box_) = (view(), view());
    box_.store_left_to_others();
    box_.reported_gone(&UpstreamName::from("a"), None, now);
    assert!(!is_open(&box_, "a"));
    let response = watcher.difference(box_.version(), &box_.digests(now), now);
    box_.apply_snapshot(response, now);
    assert!(is_open(&box_, "a"));
    box_.expire(now + millis(11_000));
    assert!(is_open(&box_, "a"), "it isn't dropped later either");
}

/// A watcher restarts and is asked for the difference when it has only received the configuration
/// from its store.
#[test]
fn a_watcher_without_a_list_removes_no_upstreams() {
    let now = millis(1_000);
    let mut watcher = View::new(UpstreamRegistry::new(ZoneName::from("a"), Tuning::default()));
    watcher.store_regained(millis(0));
    let mut box_ = view();
    box_.store_left_to_others();
    box_.apply_snapshot(watcher.difference(0, &box_.digests(now), now), now);
    assert_eq!(names(&box_).len(), 2);
}

/// The removal is certain then; a delay would send requests to an upstream that has stopped.
#[test]
fn an_entry_removed_from_a_working_store_closes_the_upstream_at_once() {
    let mut view = view();
    view.entry_removed(&UpstreamName::from("a"), None, millis(10_000));
    assert!(!is_open(&view, "a"));
    assert!(is_open(&view, "b"));
}

/// Upstreams can't renew their entries during an outage, so a missing entry doesn't mean that the
/// upstream is gone.
#[test]
fn an_entry_that_lapsed_during_an_outage_has_time_to_return() {
    let mut view = view();
    view.store_lost();
    view.store_regained(millis(10_000));
    view.set_upstreams(vec![upstream("b")], millis(10_000));
    view.expire(millis(11_900));
    assert!(is_open(&view, "a"));
    view.set_upstream(upstream("a"), millis(11_900));
    view.expire(millis(13_000));
    assert!(is_open(&view, "a"));
}

/// The grace period after an outage must end, or requests go to upstreams that have stopped.
#[test]
fn an_entry_still_missing_after_an_outage_is_removed() {
    let mut view = view();
    view.store_lost();
    view.store_regained(millis(10_000));
    view.set_upstreams(vec![upstream("b")], millis(10_000));
    view.expire(millis(12_300));
    assert!(!is_open(&view, "a"));
    assert!(view.take_changes().contains(&Change::Gone(UpstreamName::from("a"), None)));
}

/// The grace period began when the entry was removed, 3 s after the store's return, so that a
/// leaving upstream received requests for 2.2 s (journal 97833dee, trouble-1 --seed 59906455252).
#[test]
fn an_entry_removed_some_time_after_an_outage_closes_the_upstream_at_once() {
    let mut view = view();
    view.store_lost();
    view.store_regained(millis(10_000));
    view.set_upstreams(vec![upstream("a"), upstream("b")], millis(10_000));
    view.entry_removed(&UpstreamName::from("a"), None, millis(13_000));
    assert!(!is_open(&view, "a"));
}

/// Entries lapse during an outage although their upstreams run.
#[test]
fn no_upstream_is_removed_during_an_outage() {
    let mut view = view();
    view.store_lost();
    view.entry_removed(&UpstreamName::from("a"), None, millis(10_000));
    view.expire(millis(60_000));
    assert!(is_open(&view, "a"));
}

/// A box with access to the store knows better than a box that may lag behind.
#[test]
fn removals_reported_by_other_boxes_apply_only_without_the_store() {
    let mut view = view();
    view.reported_gone(&UpstreamName::from("a"), None, millis(10_000));
    assert!(is_open(&view, "a"));
    view.store_lost();
    view.reported_gone(&UpstreamName::from("a"), None, millis(10_000));
    assert!(!is_open(&view, "a"));
    // A closed upstream stays closed, whatever another box still lists.
    let upstreams = vec![upstream("a"), upstream("b"), upstream("c")];
    view.apply_snapshot(Snapshot { upstreams, ..Snapshot::default() }, millis(10_000));
    assert!(!is_open(&view, "a"));
    assert!(is_open(&view, "c"));
}

/// A watch may hang for seconds before its box detects that the store no longer serves it. An entry
/// may lapse and return, but an upstream that leaves never does.
#[test]
fn reports_that_an_upstream_leaves_apply_at_once() {
    let mut view = view();
    assert!(view.reaches_store());
    view.take_changes();
    view.reported_leaving(&UpstreamName::from("a"), millis(10_000));
    assert!(!is_open(&view, "a"));
    let expected = vec![Change::ReportedLeaving(UpstreamName::from("a"))];
    assert_eq!(
        view.take_changes(),
        expected,
        "a box that received the report doesn't forward it as its own"
    );
    view.reported_leaving(&UpstreamName::from("a"), millis(10_000));
    assert_eq!(view.take_changes(), []);
}

/// An upstream is removed; a box that was cut off returns, still lists it, and reports so.
#[test]
fn a_lagging_box_does_not_restore_a_removed_upstream() {
    let mut view = view();
    view.entry_removed(&UpstreamName::from("a"), None, millis(13_000));
    assert!(view.is_barred(&UpstreamName::from("a")));
    view.store_left_to_others();
    view.reported_listed(upstream("a"), None, millis(14_000));
    let upstreams = vec![upstream("a"), upstream("b")];
    view.apply_snapshot(Snapshot { upstreams, ..Snapshot::default() }, millis(14_000));
    assert!(!is_open(&view, "a"));
    assert!(is_open(&view, "b"));
    // The store takes precedence: an entry that lapsed for long may return.
    view.store_regained(millis(15_000));
    view.set_upstream(upstream("a"), millis(15_000));
    assert!(is_open(&view, "a") && !view.is_barred(&UpstreamName::from("a")));
}

/// Boxes exchange snapshots in this encoding: it must preserve the content, in less than half the
/// bytes of JSON.
#[test]
fn a_snapshot_survives_binary_encoding() {
    let mut view = view();
    let cold_for = Some(millis(2_500));
    for n in 0..300 {
        let listed = UpstreamListing { cold_for, ..upstream(&format!("i-{n:010x}")) };
        view.set_upstream(listed, millis(1_000));
    }
    let snapshot = view.snapshot(millis(1_000));
    let encoded = postcard::to_stdvec(&snapshot).expect("it can be encoded");
    let decoded: Snapshot = postcard::from_bytes(&encoded).expect("it can be decoded");
    assert_eq!(decoded.upstreams, snapshot.upstreams);
    assert_eq!(decoded.table.map(|t| t.version), snapshot.table.as_ref().map(|t| t.version));
    let text = serde_json::to_vec(&snapshot).expect("it can be written");
    assert!(2 * encoded.len() < text.len(), "{} of {}", encoded.len(), text.len());
}

fn names(view: &View) -> Vec<&UpstreamName> {
    view.registry().listed().filter(|l| !l.leaving).map(|l| &l.name).collect()
}

/// Load: 3,000 upstreams, one new and one removed, which a box that doesn't watch the store has
/// missed. This happens to some box several times a second while engines are replaced.
#[test]
fn missed_changes_are_sent_without_the_full_list() {
    let now = millis(1_000);
    let listed = |n: u32| upstream(&format!("i-{n:010x}"));
    let (mut watcher, mut box_) = (view(), view());
    (0..3_000).for_each(|n| box_.set_upstream(listed(n), now));
    (1..3_001).for_each(|n| watcher.set_upstream(listed(n), now));
    box_.store_left_to_others();
    let request = box_.digests(now);
    assert!(request.to_string().len() <= 1024);
    assert_eq!(request.to_string().parse(), Ok(request));
    let response = watcher.difference(box_.version(), &request, now);
    let encoded = postcard::to_stdvec(&response).expect("it can be encoded").len();
    let full = postcard::to_stdvec(&watcher.snapshot(now)).expect("it can be encoded").len();
    assert!(20 * encoded < full, "{encoded} of {full}");
    box_.apply_snapshot(response, now);
    assert_eq!(names(&box_), names(&watcher));
    assert_eq!(box_.digest(), watcher.digest());
    assert_eq!(watcher.difference(0, &box_.digests(now), now).upstreams, []);
}

/// A box may miss that an engine has become cold again, as it may miss any other change.
#[test]
fn digests_cover_cold_engines_and_ignore_leaving_ones() {
    let digests = |all: &[UpstreamListing]| Digests::of(all.iter());
    let cold = UpstreamListing { cold_for: Some(millis(3_000)), ..upstream("a") };
    let leaving = UpstreamListing { leaving: true, ..upstream("c") };
    // A warm engine is listed as cold for no time.
    let warm = UpstreamListing { cold_for: Some(Duration::ZERO), ..upstream("a") };
    let warm = digests(&[warm, upstream("b")]);
    let differing = warm.differing(&digests(&[upstream("b"), cold.clone()]));
    assert_eq!(differing, BTreeSet::from([digests::bucket(&cold.name)]));
    assert_eq!(warm, digests(&[upstream("b"), leaving, upstream("a")]));
}

/// A box that has just started may have received each upstream in a datagram before it requests the
/// list.
#[test]
fn an_empty_difference_completes_the_list_of_a_starting_box() {
    let now = millis(1_000);
    let watcher = view();
    let mut box_ = View::new(UpstreamRegistry::new(ZoneName::from("a"), Tuning::default()));
    ["a", "b"].iter().for_each(|name| box_.reported_listed(upstream(name), None, now));
    let response = watcher.difference(0, &box_.digests(now), now);
    assert_eq!(response.upstreams, []);
    box_.apply_snapshot(response, now);
    assert_eq!(names(&box_), names(&watcher));
    assert!(box_.has_upstream_list());
}

proptest! {
    /// Whatever a box lists: once it has applied the difference to a box with access to the store,
    /// it lists the same.
    #[test]
    fn a_difference_makes_the_lists_equal(
        there in collection::btree_set(0u32..500, 0..100),
        here in collection::btree_set(0u32..500, 0..100),
    ) {
        let now = millis(1_000);
        let (mut watcher, mut box_) = (view(), view());
        there.iter().for_each(|n| watcher.set_upstream(upstream(&format!("u{n}")), now));
        here.iter().for_each(|n| box_.set_upstream(upstream(&format!("u{n}")), now));
        box_.store_left_to_others();
        let response = watcher.difference(0, &box_.digests(now), now);
        box_.apply_snapshot(response, now);
        prop_assert_eq!(names(&box_), names(&watcher));
    }

    /// Arbitrary text is no digest, or is one that is written the same way again.
    #[test]
    fn digests_are_parsed_or_rejected(text in ".{0,64}|[0-9a-f]{1020,1028}") {
        if let Ok(digests) = text.parse::<Digests>() {
            prop_assert_eq!(digests.to_string(), text);
        }
    }
}

fn started_at(name: &str, started_at: u64) -> UpstreamListing {
    UpstreamListing { started_at_ms: Some(started_at), ..upstream(name) }
}

/// The store was restored from a copy that doesn't list `b` yet and still lists `c`, which has been
/// removed.
#[test]
fn a_restored_store_neither_removes_nor_adds_upstreams_at_once() {
    let mut view = view();
    view.enter_era(1, millis(0));
    view.set_upstream(upstream("c"), millis(10_000));
    view.entry_removed(&UpstreamName::from("c"), None, millis(10_100));
    view.complete_up_to(Revision::new(1, 9));
    view.enter_era(2, millis(12_000));
    view.set_upstreams(vec![upstream("a"), upstream("c")], millis(12_000));
    view.complete_up_to(Revision::new(2, 5));
    for ms in [12_000, 14_000] {
        view.expire(millis(ms));
        assert_eq!(
            [is_open(&view, "a"), is_open(&view, "b"), is_open(&view, "c")],
            [true, true, false],
            "{ms}"
        );
    }
    // `b` has not been written again, and `c` has not been removed again.
    view.expire(millis(14_300));
    assert!(!is_open(&view, "b"));
    view.expire(millis(16_600));
    assert!(is_open(&view, "c"));
    assert_eq!(view.revision(), Revision::new(2, 5));
}

/// After a restore, a listed upstream that was removed shortly before stays closed until its own
/// entry proves that it runs.
#[test]
fn a_running_upstream_opens_as_soon_as_its_entry_is_written_again() {
    let mut view = view();
    view.enter_era(1, millis(0));
    view.entry_removed(&UpstreamName::from("b"), None, millis(10_000));
    view.enter_era(2, millis(12_000));
    view.set_upstreams(vec![upstream("a"), upstream("b")], millis(12_000));
    assert!(!is_open(&view, "b"));
    view.set_upstream(upstream("b"), millis(12_400));
    assert!(is_open(&view, "b"));
    view.entry_removed(&UpstreamName::from("b"), None, millis(20_000));
    view.expire(millis(21_000));
    assert!(!is_open(&view, "b"));
}

/// A box without access to the store, and one that learns of a restore late.
#[test]
fn reports_of_an_earlier_era_are_outdated() {
    let mut watcher = view();
    watcher.complete_up_to(Revision::new(1, 90));
    let outdated = watcher.snapshot(millis(100));
    let mut other = View::new(UpstreamRegistry::new(ZoneName::from("a"), Tuning::default()));
    other.apply_snapshot(outdated.clone(), millis(200));
    assert_eq!(other.revision(), Revision::new(1, 90));
    watcher.enter_era(2, millis(300));
    watcher.set_upstreams(vec![upstream("a"), upstream("b"), upstream("c")], millis(300));
    watcher.complete_up_to(Revision::new(2, 40));
    // Changes aren't known across a restore; differences are.
    assert!(watcher.changes_since(0, other.revision(), millis(400)).is_none());
    other.apply_snapshot(
        watcher.difference(0, &other.digests(millis(400)), millis(400)),
        millis(400),
    );
    assert!(is_open(&other, "c"));
    assert_eq!(other.revision(), Revision::new(2, 40));
    other.apply_snapshot(outdated, millis(500));
    assert!(is_open(&other, "c"));
    assert_eq!(other.revision(), Revision::new(2, 40));
}

/// Each box reports a new era to others; a repeated or earlier one must not be reported again.
#[test]
fn a_restore_is_reported_once_and_successive_ones_together() {
    let mut view = view();
    view.enter_era(4, millis(0));
    view.enter_era(5, millis(10));
    view.enter_era(7, millis(20));
    view.enter_era(7, millis(30));
    view.enter_era(6, millis(40));
    assert_eq!(view.take_changes(), [4, 5, 7].map(Change::StoreRestored));
    let mut fresh = View::new(UpstreamRegistry::new(ZoneName::from("a"), Tuning::default()));
    fresh.enter_era(7, millis(0));
    fresh.set_upstreams(vec![upstream("a")], millis(0));
    assert_eq!(fresh.take_changes(), [Change::Listed(1)]);
}

/// A restore from an older copy would otherwise open an evacuated zone.
#[test]
fn an_evacuation_missing_after_a_restore_is_kept_until_it_could_be_rewritten() {
    let mut view = view();
    let zones = BTreeSet::from([ZoneName::from("a")]);
    view.evacuate(&EvacuatedZones { revision: Revision::new(1, 8), zones }, millis(0));
    view.evacuate(
        &EvacuatedZones { revision: Revision::new(2, 3), ..EvacuatedZones::default() },
        millis(5_000),
    );
    view.expire(millis(7_000));
    assert!(view.is_barred(&UpstreamName::from("a")));
    // An order from before the restore, received late.
    view.evacuate(
        &EvacuatedZones { revision: Revision::new(1, 9), ..EvacuatedZones::default() },
        millis(7_100),
    );
    assert!(view.is_barred(&UpstreamName::from("a")));
    view.expire(millis(7_300));
    assert!(!view.is_barred(&UpstreamName::from("a")));
}

/// A restarted upstream must not inherit that its previous instance was leaving, nor may late
/// reports of that instance apply to it.
#[test]
fn a_new_instance_under_a_name_is_a_new_upstream() {
    let mut view = view();
    let name = UpstreamName::from("c");
    view.set_upstream(started_at("c", 100), millis(0));
    view.set_upstream(UpstreamListing { leaving: true, ..started_at("c", 100) }, millis(10));
    view.set_upstream(started_at("c", 100), millis(20));
    assert!(!is_open(&view, "c"), "an instance that leaves never returns");
    view.take_changes();
    view.set_upstream(started_at("c", 200), millis(30));
    assert!(is_open(&view, "c"));
    let addr = upstream("c").addr;
    let restarted = Change::Restarted(name.clone(), addr, 200);
    assert_eq!(view.take_changes(), [restarted, Change::Upstream(started_at("c", 200), None)]);
    view.set_upstream(started_at("c", 100), millis(40));
    view.reported_listed(started_at("c", 100), None, millis(40));
    assert_eq!(view.take_changes(), []);
    // Removed, and listed again by another box as a later instance.
    view.entry_removed(&name, None, millis(5_000));
    view.store_lost();
    view.reported_listed(started_at("c", 200), None, millis(5_100));
    assert!(!is_open(&view, "c"));
    view.reported_listed(started_at("c", 300), None, millis(5_200));
    assert!(is_open(&view, "c"));
}

/// Delivered again without a change, an unreadable entry must not be logged again.
#[test]
fn an_unreadable_entry_is_reported_once_per_change() {
    let mut view = view();
    let name = UpstreamName::from("a");
    assert!(view.mark_unreadable(&name, "one", millis(0)));
    assert!(!view.mark_unreadable(&name, "one", millis(1)));
    assert!(view.mark_unreadable(&name, "another", millis(2)));
    assert!(!is_open(&view, "a") && is_open(&view, "b"));
    view.set_upstream(upstream("a"), millis(3));
    assert!(is_open(&view, "a"));
    assert!(view.mark_unreadable(&name, "one", millis(4)));
}

/// A box without access to the store receives the removal of an upstream that it doesn't list, and
/// then its listing.
#[test]
fn an_upstream_reported_removed_before_it_was_listed_stays_open() {
    let mut view = view();
    view.store_lost();
    view.reported_gone(&UpstreamName::from("c"), None, millis(0));
    view.reported_listed(upstream("c"), None, millis(100));
    assert!(is_open(&view, "c"));
    view.expire(millis(11_000));
    assert!(is_open(&view, "c"));
}

/// A zone is cut off from the store and returns: the entries of its upstreams expire and are
/// written again. Boxes that don't watch the store were told of each, but kept from the upstreams
/// until they compared their lists, up to four seconds later.
#[test]
fn an_upstream_whose_entry_was_written_again_returns_with_the_first_report() {
    let [removed, written] = [20, 30].map(|number| Some(Revision::new(1, number)));
    for is_reported in [true, false] {
        let mut view = view();
        view.store_left_to_others();
        if is_reported {
            view.reported_gone(&UpstreamName::from("a"), removed, millis(0));
        } else {
            let revision = Revision::new(1, 20);
            let upstreams = vec![upstream("b")];
            let list = Snapshot { upstreams, revision, is_complete: true, ..Snapshot::default() };
            view.apply_snapshot(list, millis(0));
        }
        assert!(!is_open(&view, "a"));
        view.reported_listed(upstream("a"), written, millis(500));
        assert!(is_open(&view, "a") && !view.is_barred(&UpstreamName::from("a")));
        view.expire(millis(20_000));
        assert!(is_open(&view, "a"));
    }
}

/// A watcher that was cut off reports what the store listed before the removal.
#[test]
fn a_report_from_before_the_removal_restores_no_upstream() {
    let mut view = view();
    view.store_left_to_others();
    let name = UpstreamName::from("a");
    view.reported_gone(&name, Some(Revision::new(1, 20)), millis(0));
    for written in [None, Some(Revision::new(1, 10)), Some(Revision::new(0, 30))] {
        view.reported_listed(upstream("a"), written, millis(500));
        assert!(view.is_barred(&name), "{written:?}");
    }
    view.expire(millis(11_000));
    view.reported_listed(upstream("a"), Some(Revision::new(1, 10)), millis(12_000));
    assert!(view.is_barred(&name));
}

/// An upstream that announced its end and was removed isn't used again without a new instance,
/// whatever is written under its name.
#[test]
fn a_removed_upstream_that_was_leaving_is_not_restored_by_a_report() {
    let mut view = view();
    view.store_left_to_others();
    let name = UpstreamName::from("a");
    view.reported_leaving(&name, millis(0));
    view.reported_gone(&name, Some(Revision::new(1, 20)), millis(100));
    for now in [500, 12_000] {
        view.reported_listed(upstream("a"), Some(Revision::new(1, 30)), millis(now));
        assert!(view.is_barred(&name), "at {now} ms");
        view.expire(millis(now));
    }
}

/// An earlier instance asked for the backoff. Its entry may have been removed before the next one
/// is listed.
#[test]
fn only_a_listing_of_a_later_instance_ends_a_backoff() {
    for is_removed_first in [false, true] {
        let (mut view, name) = (view(), UpstreamName::from("c"));
        view.set_upstream(started_at("c", 1_000), millis(0));
        view.registry_mut().back_off(&name, millis(3_000), 2_000, millis(0));
        if is_removed_first {
            view.entry_removed(&name, None, millis(1));
            assert!(!is_open(&view, "c"));
        }
        // It started before the request for a backoff, so it may have made it.
        view.set_upstream(started_at("c", 1_500), millis(2));
        assert!(is_open(&view, "c") && view.registry().is_backing_off(&name, millis(2)));
        view.set_upstream(started_at("c", 2_001), millis(3));
        assert!(is_open(&view, "c") && !view.registry().is_backing_off(&name, millis(3)));
    }
}
