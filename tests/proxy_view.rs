//! What a box believes of the upstreams when the store fails, lags or returns.

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

/// A view that sees the store, which lists `a` and `b`.
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

/// Load: boxes before 3,000 upstreams restart one after the other, each watches the store until it knows the others,
/// and tells the hundred of its zone what it hears: 24 MB a restart, while all of it was news to it.
#[test]
fn a_box_that_starts_tells_nobody_what_all_know() {
    let mut view = View::new(UpstreamRegistry::new(ZoneName::from("a"), Tuning::default()));
    view.store_regained(millis(0));
    let leaving = UpstreamListing { leaving: true, ..upstream("c") };
    view.set_upstreams(vec![upstream("a"), upstream("b"), leaving], millis(0));
    let changes = [Change::Leaving(UpstreamName::from("c")), Change::Listed(3)];
    assert_eq!(view.take_changes(), changes);
    view.set_upstreams(vec![upstream("a"), upstream("b"), upstream("d")], millis(1_000));
    let changes = [Change::Upstream(upstream("d")), Change::Gone(UpstreamName::from("c"))];
    assert_eq!(view.take_changes(), changes);
}

/// Load: an upstream leaves; a watcher hears of it by datagram before the store tells it, and a box of its zone loses
/// all that it is told. Asked for changes, the watcher must tell of that one.
#[test]
fn what_a_watcher_was_told_first_is_told_to_who_asks_it() {
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

/// Load: an upstream leaves and is gone while one of three watchers is cut off. That one is told the past when it comes
/// back: the upstream changed, and is gone, which near trouble with the store may only have lapsed.
#[test]
fn a_watcher_that_was_cut_off_brings_back_nothing_that_is_gone() {
    let now = millis(20_000);
    let (mut watcher, mut box_, mut late) = (view(), view(), view());
    watcher.complete_up_to(Revision::new(1, 5));
    box_.complete_up_to(Revision::new(1, 5));
    late.complete_up_to(Revision::new(1, 5));
    box_.store_left_to_others();
    watcher.entry_removed(&UpstreamName::from("a"), now);
    watcher.complete_up_to(Revision::new(1, 7));
    box_.apply_snapshot(
        watcher.changes_since(0, Revision::new(1, 5), now).expect("it is known"),
        now,
    );
    assert!(!is_open(&box_, "a"));
    late.store_lost();
    late.store_regained(now);
    late.set_upstream(UpstreamListing { slots: 2, ..upstream("a") }, now);
    late.entry_removed(&UpstreamName::from("a"), now);
    late.complete_up_to(Revision::new(1, 8));
    let told = late.changes_since(0, box_.revision(), now).expect("it is known");
    assert_eq!(told.upstreams, [], "an entry that is missing is told of neither way");
    box_.apply_snapshot(told, now);
    assert!(!is_open(&box_, "a"));
    let (version, digests) = (box_.version(), box_.digests(now));
    box_.apply_snapshot(late.difference(version, &digests, now), now);
    assert!(!is_open(&box_, "a"), "nor by what differs");
    // One that lists it again doesn't bring it back either.
    late.set_upstream(UpstreamListing { slots: 2, ..upstream("a") }, now);
    late.complete_up_to(Revision::new(1, 9));
    box_.apply_snapshot(late.changes_since(0, box_.revision(), now).expect("it is known"), now);
    assert!(!is_open(&box_, "a"));
}

/// Load: all entries lapse for a second; a watcher says that they are gone, and lists them again. A zone whose boxes had
/// heard the first kept from all of them for ten seconds.
#[test]
fn what_was_said_to_be_gone_and_is_listed_again_is_back() {
    let now = millis(20_000);
    let (watcher, mut box_) = (view(), view());
    box_.store_left_to_others();
    box_.reported_gone(&UpstreamName::from("a"), now);
    assert!(!is_open(&box_, "a"));
    let told = watcher.difference(box_.version(), &box_.digests(now), now);
    box_.apply_snapshot(told, now);
    assert!(is_open(&box_, "a"));
    box_.expire(now + millis(11_000));
    assert!(is_open(&box_, "a"), "nor is it forgotten later");
}

/// Load: a watcher restarts, and is asked as soon as its store has told it the configuration.
#[test]
fn a_box_without_a_list_takes_no_upstreams_away() {
    let now = millis(1_000);
    let mut watcher = View::new(UpstreamRegistry::new(ZoneName::from("a"), Tuning::default()));
    watcher.store_regained(millis(0));
    let mut box_ = view();
    box_.store_left_to_others();
    box_.apply_snapshot(watcher.difference(0, &box_.digests(now), now), now);
    assert_eq!(names(&box_).len(), 2);
}

#[test]
fn an_entry_that_vanishes_while_all_is_well_is_gone_at_once() {
    let mut view = view();
    view.entry_removed(&UpstreamName::from("a"), millis(10_000));
    assert!(!is_open(&view, "a"));
    assert!(is_open(&view, "b"));
}

#[test]
fn an_entry_that_lapsed_while_the_store_was_away_may_come_back() {
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

#[test]
fn an_entry_that_stays_missing_is_gone_soon_after_the_store_is_back() {
    let mut view = view();
    view.store_lost();
    view.store_regained(millis(10_000));
    view.set_upstreams(vec![upstream("b")], millis(10_000));
    view.expire(millis(12_300));
    assert!(!is_open(&view, "a"));
    assert!(view.take_changes().contains(&Change::Gone(UpstreamName::from("a"))));
}

/// Found by a hunt (journal 97833dee, trouble-1 --seed 59906455252): the grace began when the entry
/// vanished, 3 s after the store's return, so that a leaving upstream got work for 2.2 s.
#[test]
fn an_entry_that_vanishes_later_after_the_stores_return_is_gone_at_once() {
    let mut view = view();
    view.store_lost();
    view.store_regained(millis(10_000));
    view.set_upstreams(vec![upstream("a"), upstream("b")], millis(10_000));
    view.entry_removed(&UpstreamName::from("a"), millis(13_000));
    assert!(!is_open(&view, "a"));
}

#[test]
fn nothing_is_given_up_while_the_store_is_away() {
    let mut view = view();
    view.store_lost();
    view.entry_removed(&UpstreamName::from("a"), millis(10_000));
    view.expire(millis(60_000));
    assert!(is_open(&view, "a"));
}

#[test]
fn that_an_upstream_is_gone_is_believed_of_others_only_while_the_store_is_away() {
    let mut view = view();
    view.reported_gone(&UpstreamName::from("a"), millis(10_000));
    assert!(is_open(&view, "a"));
    view.store_lost();
    view.reported_gone(&UpstreamName::from("a"), millis(10_000));
    assert!(!is_open(&view, "a"));
    // An upstream that leaves stays so, whatever another box still believes.
    let upstreams = vec![upstream("a"), upstream("b"), upstream("c")];
    view.apply_snapshot(Snapshot { upstreams, ..Snapshot::default() }, millis(10_000));
    assert!(!is_open(&view, "a"));
    assert!(is_open(&view, "c"));
}

/// A watch may hang for seconds before its box knows that the store doesn't serve it any more. An
/// entry may lapse, but one that leaves never comes back.
#[test]
fn that_an_upstream_leaves_is_believed_of_others_at_once() {
    let mut view = view();
    assert!(view.reaches_store());
    view.take_changes();
    view.reported_leaving(&UpstreamName::from("a"), millis(10_000));
    assert!(!is_open(&view, "a"));
    let told = vec![Change::ReportedLeaving(UpstreamName::from("a"))];
    assert_eq!(view.take_changes(), told, "it is not told again by each box that hears it");
    view.reported_leaving(&UpstreamName::from("a"), millis(10_000));
    assert_eq!(view.take_changes(), []);
}

/// Load: an upstream is gone; a box that was cut off comes back, still believes in it, and tells.
#[test]
fn a_box_that_is_behind_doesnt_bring_back_what_is_gone() {
    let mut view = view();
    view.entry_removed(&UpstreamName::from("a"), millis(13_000));
    assert!(view.is_barred(&UpstreamName::from("a")));
    view.store_left_to_others();
    view.reported_listed(upstream("a"), millis(14_000));
    let upstreams = vec![upstream("a"), upstream("b")];
    view.apply_snapshot(Snapshot { upstreams, ..Snapshot::default() }, millis(14_000));
    assert!(!is_open(&view, "a"));
    assert!(is_open(&view, "b"));
    // The store's own word goes before: an entry that lapsed for long may come back after all.
    view.store_regained(millis(15_000));
    view.set_upstream(upstream("a"), millis(15_000));
    assert!(is_open(&view, "a") && !view.is_barred(&UpstreamName::from("a")));
}

/// What boxes ask each other for: packed it must say the same, and be less than half as long as for people.
#[test]
fn a_snapshot_can_be_packed() {
    let mut view = view();
    let cold_for = Some(millis(2_500));
    for n in 0..300 {
        let listed = UpstreamListing { cold_for, ..upstream(&format!("i-{n:010x}")) };
        view.set_upstream(listed, millis(1_000));
    }
    let snapshot = view.snapshot(millis(1_000));
    let packed = postcard::to_stdvec(&snapshot).expect("it can be packed");
    let again: Snapshot = postcard::from_bytes(&packed).expect("it can be read");
    assert_eq!(again.upstreams, snapshot.upstreams);
    assert_eq!(again.table.map(|t| t.version), snapshot.table.as_ref().map(|t| t.version));
    let text = serde_json::to_vec(&snapshot).expect("it can be written");
    assert!(2 * packed.len() < text.len(), "{} of {}", packed.len(), text.len());
}

fn names(view: &View) -> Vec<&UpstreamName> {
    view.registry().listed().filter(|l| !l.leaving).map(|l| &l.name).collect()
}

/// Load: 3,000 upstreams of which one is new and another gone, which a box that doesn't watch the store has missed, as
/// some box does several times a second while engines are replaced.
#[test]
fn what_a_box_misses_is_told_without_the_whole_list() {
    let now = millis(1_000);
    let listed = |n: u32| upstream(&format!("i-{n:010x}"));
    let (mut watcher, mut box_) = (view(), view());
    (0..3_000).for_each(|n| box_.set_upstream(listed(n), now));
    (1..3_001).for_each(|n| watcher.set_upstream(listed(n), now));
    box_.store_left_to_others();
    let question = box_.digests(now);
    assert!(question.to_string().len() <= 1024);
    assert_eq!(question.to_string().parse(), Ok(question));
    let told = watcher.difference(box_.version(), &question, now);
    let packed = postcard::to_stdvec(&told).expect("it can be packed").len();
    let whole = postcard::to_stdvec(&watcher.snapshot(now)).expect("it can be packed").len();
    assert!(20 * packed < whole, "{packed} of {whole}");
    box_.apply_snapshot(told, now);
    assert_eq!(names(&box_), names(&watcher));
    assert_eq!(box_.digest(), watcher.digest());
    assert_eq!(watcher.difference(0, &box_.digests(now), now).upstreams, []);
}

/// That an engine has turned cold again is missed by a box like anything else.
#[test]
fn digests_tell_which_engines_are_cold_and_nothing_of_those_that_leave() {
    let digests = |all: &[UpstreamListing]| Digests::of(all.iter());
    let cold = UpstreamListing { cold_for: Some(millis(3_000)), ..upstream("a") };
    let leaving = UpstreamListing { leaving: true, ..upstream("c") };
    // Of an engine that is warm a box tells that it is cold for no time.
    let warm = UpstreamListing { cold_for: Some(Duration::ZERO), ..upstream("a") };
    let warm = digests(&[warm, upstream("b")]);
    let differing = warm.differing(&digests(&[upstream("b"), cold.clone()]));
    assert_eq!(differing, BTreeSet::from([digests::bucket(&cold.name)]));
    assert_eq!(warm, digests(&[upstream("b"), leaving, upstream("a")]));
}

/// A box that has just started may have been told of each upstream by itself before it asks for the list.
#[test]
fn a_box_that_was_told_all_there_is_is_as_good_as_one_that_has_asked() {
    let now = millis(1_000);
    let watcher = view();
    let mut box_ = View::new(UpstreamRegistry::new(ZoneName::from("a"), Tuning::default()));
    ["a", "b"].iter().for_each(|name| box_.reported_listed(upstream(name), now));
    let told = watcher.difference(0, &box_.digests(now), now);
    assert_eq!(told.upstreams, []);
    box_.apply_snapshot(told, now);
    assert_eq!(names(&box_), names(&watcher));
    assert!(box_.has_upstream_list());
}

proptest! {
    /// Whatever a box lists: once it has taken over what one that sees the store has told, it lists the same.
    #[test]
    fn what_is_told_makes_lists_the_same(
        there in collection::btree_set(0u32..500, 0..100),
        here in collection::btree_set(0u32..500, 0..100),
    ) {
        let now = millis(1_000);
        let (mut watcher, mut box_) = (view(), view());
        there.iter().for_each(|n| watcher.set_upstream(upstream(&format!("u{n}")), now));
        here.iter().for_each(|n| box_.set_upstream(upstream(&format!("u{n}")), now));
        box_.store_left_to_others();
        let told = watcher.difference(0, &box_.digests(now), now);
        box_.apply_snapshot(told, now);
        prop_assert_eq!(names(&box_), names(&watcher));
    }

    /// Bytes of strangers are no digests, or are told back as they came.
    #[test]
    fn digests_are_read_or_refused(text in ".{0,64}|[0-9a-f]{1020,1028}") {
        if let Ok(digests) = text.parse::<Digests>() {
            prop_assert_eq!(digests.to_string(), text);
        }
    }
}

fn born(name: &str, born: u64) -> UpstreamListing {
    UpstreamListing { started_at_ms: Some(born), ..upstream(name) }
}

/// The store has come back from a copy in which `b` isn't listed yet and `c`, which is gone, still is.
#[test]
fn a_copy_of_the_store_neither_takes_away_nor_brings_back_at_once() {
    let mut view = view();
    view.enter_era(1, millis(0));
    view.set_upstream(upstream("c"), millis(10_000));
    view.entry_removed(&UpstreamName::from("c"), millis(10_100));
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
    // Nobody has written `b` again; nobody has taken `c` away.
    view.expire(millis(14_300));
    assert!(!is_open(&view, "b"));
    view.expire(millis(16_600));
    assert!(is_open(&view, "c"));
    assert_eq!(view.revision(), Revision::new(2, 5));
}

#[test]
fn what_lives_is_back_as_soon_as_it_is_written_again() {
    let mut view = view();
    view.enter_era(1, millis(0));
    view.entry_removed(&UpstreamName::from("b"), millis(10_000));
    view.enter_era(2, millis(12_000));
    view.set_upstreams(vec![upstream("a"), upstream("b")], millis(12_000));
    assert!(!is_open(&view, "b"));
    view.set_upstream(upstream("b"), millis(12_400));
    assert!(is_open(&view, "b"));
    view.entry_removed(&UpstreamName::from("b"), millis(20_000));
    view.expire(millis(21_000));
    assert!(!is_open(&view, "b"));
}

/// A box that doesn't see the store, and one that hears of an era late.
#[test]
fn what_is_told_of_an_earlier_era_is_behind() {
    let mut watcher = view();
    watcher.complete_up_to(Revision::new(1, 90));
    let stale = watcher.snapshot(millis(100));
    let mut other = View::new(UpstreamRegistry::new(ZoneName::from("a"), Tuning::default()));
    other.apply_snapshot(stale.clone(), millis(200));
    assert_eq!(other.revision(), Revision::new(1, 90));
    watcher.enter_era(2, millis(300));
    watcher.set_upstreams(vec![upstream("a"), upstream("b"), upstream("c")], millis(300));
    watcher.complete_up_to(Revision::new(2, 40));
    // What changed since isn't known over a return; what differs is.
    assert!(watcher.changes_since(0, other.revision(), millis(400)).is_none());
    other.apply_snapshot(
        watcher.difference(0, &other.digests(millis(400)), millis(400)),
        millis(400),
    );
    assert!(is_open(&other, "c"));
    assert_eq!(other.revision(), Revision::new(2, 40));
    other.apply_snapshot(stale, millis(500));
    assert!(is_open(&other, "c"));
    assert_eq!(other.revision(), Revision::new(2, 40));
}

#[test]
fn an_era_is_news_once_and_two_in_succession_are_one() {
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

#[test]
fn an_evacuation_that_a_copy_lacks_is_kept_until_it_would_be_written_again() {
    let mut view = view();
    let zones = BTreeSet::from([ZoneName::from("a")]);
    view.evacuate(&EvacuatedZones { revision: Revision::new(1, 8), zones }, millis(0));
    view.evacuate(
        &EvacuatedZones { revision: Revision::new(2, 3), ..EvacuatedZones::default() },
        millis(5_000),
    );
    view.expire(millis(7_000));
    assert!(view.is_barred(&UpstreamName::from("a")));
    // One that was heard late, of before.
    view.evacuate(
        &EvacuatedZones { revision: Revision::new(1, 9), ..EvacuatedZones::default() },
        millis(7_100),
    );
    assert!(view.is_barred(&UpstreamName::from("a")));
    view.expire(millis(7_300));
    assert!(!view.is_barred(&UpstreamName::from("a")));
}

#[test]
fn another_start_of_a_name_is_another_upstream() {
    let mut view = view();
    let name = UpstreamName::from("c");
    view.set_upstream(born("c", 100), millis(0));
    view.set_upstream(UpstreamListing { leaving: true, ..born("c", 100) }, millis(10));
    view.set_upstream(born("c", 100), millis(20));
    assert!(!is_open(&view, "c"), "no start returns from leaving");
    view.take_changes();
    view.set_upstream(born("c", 200), millis(30));
    assert!(is_open(&view, "c"));
    let addr = upstream("c").addr;
    let restarted = Change::Restarted(name.clone(), addr, 200);
    assert_eq!(view.take_changes(), [restarted, Change::Upstream(born("c", 200))]);
    view.set_upstream(born("c", 100), millis(40));
    view.reported_listed(born("c", 100), millis(40));
    assert_eq!(view.take_changes(), []);
    // Gone, and back by another start that another box tells of.
    view.entry_removed(&name, millis(5_000));
    view.store_lost();
    view.reported_listed(born("c", 200), millis(5_100));
    assert!(!is_open(&view, "c"));
    view.reported_listed(born("c", 300), millis(5_200));
    assert!(is_open(&view, "c"));
}

#[test]
fn an_entry_that_cant_be_read_is_news_once_a_change() {
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

/// A box that doesn't see the store hears that an upstream is gone which it doesn't list, and then that it is there.
#[test]
fn one_that_was_said_to_be_gone_before_it_was_known_stays() {
    let mut view = view();
    view.store_lost();
    view.reported_gone(&UpstreamName::from("c"), millis(0));
    view.reported_listed(upstream("c"), millis(100));
    assert!(is_open(&view, "c"));
    view.expire(millis(11_000));
    assert!(is_open(&view, "c"));
}
