//! How boxes that don't watch the platform's store keep up with it, without network.
//!
//! Load: a release at 300 boxes before 3,000 upstreams. 43 upstreams are replaced each second, one by one; the three
//! watchers of a zone hear of that at times of their own, up to a second late, and tell by datagrams, of which some
//! are lost.

use std::time::Duration;

use frostdyke::fleet::revision::Revision;
use frostdyke::fleet::sync_state;
use frostdyke::fleet::sync_state::SyncState;
use frostdyke::fleet::sync_state::UpstreamListReport;
use frostdyke::names::ServiceName;
use frostdyke::names::UpstreamName;
use frostdyke::names::VersionName;
use frostdyke::names::ZoneName;
use frostdyke::placement::registry::UpstreamRegistry;
use frostdyke::placement::tuning::Tuning;
use frostdyke::proxy::adapter::UpstreamListing;
use frostdyke::proxy::view::Change;
use frostdyke::proxy::view::Snapshot;
use frostdyke::proxy::view::View;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const UPSTREAMS: u64 = 3_000;

/// Upstreams that come and go, a second.
const REPLACED_PER_S: u64 = 43;

/// A step of the model, and how many there are.
const STEP: Duration = Duration::from_millis(100);
const STEPS: u64 = 300;

/// Steps between two looks of a watcher at the store, between two words of a watcher, between two looks of the box at
/// its standing, and between two of its questions for changes.
const GATHER: u64 = 10;
const BEAT: u64 = 4;
const LOOK: u64 = 3;
const BEHIND_EVERY: u64 = 10;

/// Looks at which the box must have been apart from others before it asks them for all that differs.
const APART_FOR: u64 = 7;

/// Of the datagrams so many are lost.
const LOST: f64 = 0.02;

/// How the box finds out what it misses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// By the digests of the lists alone, whatever the revision.
    Digests,
    /// By the revision up to which the lists are whole.
    Revisions,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Bytes of questions and answers.
    bytes: usize,
    /// Upstreams that the box listed, gave up though the store still listed them, and listed again.
    flaps: usize,
    /// Steps at which the box listed an upstream that the store had listed no more for three seconds.
    late: usize,
}

fn name(n: u64) -> UpstreamName {
    UpstreamName::from(&*format!("i-{n:010x}"))
}

fn listed(n: u64) -> UpstreamListing {
    UpstreamListing {
        name: name(n),
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

fn view() -> View {
    let mut view = View::new(UpstreamRegistry::new(ZoneName::from("a"), Tuning::default()));
    view.store_regained(Duration::ZERO);
    view.set_upstreams((0..UPSTREAMS).map(listed).collect(), Duration::ZERO);
    view.complete_up_to(Revision::new(1, UPSTREAMS));
    view.take_changes();
    view
}

/// A box that watches the store, and what it said of itself last.
struct Watcher {
    view: View,
    /// Changes of the store that it has heard of; each makes a revision.
    heard: u64,
    phase: u64,
    word: UpstreamListReport,
}

impl Watcher {
    fn new(phase: u64) -> Watcher {
        let addr = ([127, 0, 0, 1 + phase as u8], 80).into();
        let word = UpstreamListReport {
            addr,
            reaches_store: true,
            revision: Revision::default(),
            upstreams_digest: 0,
            age: Duration::ZERO,
        };
        Watcher { view: view(), heard: 0, phase, word }
    }

    /// Hears of all changes up to the one of this number; gives what it tells of that.
    fn hear(&mut self, changes: u64, now: Duration) -> Vec<Change> {
        for n in self.heard..changes {
            self.view.set_upstream(listed(UPSTREAMS + n), now);
            self.view.entry_removed(&name(n), now);
        }
        self.heard = changes;
        self.view.complete_up_to(Revision::new(1, UPSTREAMS + 2 * changes));
        self.view.take_changes()
    }

    fn speak(&mut self) {
        let (revision, upstreams_digest) = (self.view.revision(), self.view.digest());
        self.word =
            UpstreamListReport { revision, upstreams_digest, age: Duration::ZERO, ..self.word };
    }
}

/// Takes in what a watcher tells.
fn take_in(view: &mut View, change: Change, now: Duration) {
    match change {
        Change::Upstream(listed) => view.reported_listed(listed, now),
        Change::Gone(name) => view.reported_gone(&name, now),
        other => panic!("{other:?}"),
    }
}

/// What a box asks a watcher, and takes over.
fn ask(view: &mut View, watcher: &View, whole: bool, now: Duration) -> usize {
    let version = view.version();
    let (question, told) = if whole {
        let digests = view.digests(now);
        (digests.to_string().len(), Some(watcher.difference(version, &digests, now)))
    } else {
        (0, watcher.changes_since(version, view.revision(), now))
    };
    let Some(told) = told else { return question + ask(view, watcher, true, now) };
    let packed = postcard::to_stdvec(&told).expect("it can be packed");
    let told: Snapshot = postcard::from_bytes(&packed).expect("it can be read");
    view.apply_snapshot(told, now);
    question + packed.len()
}

fn run(way: Way, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut watchers = [Watcher::new(0), Watcher::new(3), Watcher::new(7)];
    let mut box_ = view();
    box_.store_left_to_others();
    let mut outcome = Outcome::default();
    let (mut apart, mut asked_at) = (0, 0);
    let mut changes = 0;
    for step in 1..=STEPS {
        let now = STEP * step as u32;
        // A watcher hears of the latest change, whenever that was.
        changes = REPLACED_PER_S * step / 10;
        for watcher in watchers.iter_mut() {
            watcher.word.age += STEP;
            if step % GATHER == watcher.phase {
                for change in watcher.hear(changes, now) {
                    if !rng.random_bool(LOST) {
                        take_in(&mut box_, change, now);
                    }
                }
            }
            if (step + watcher.phase) % BEAT == 0 && !rng.random_bool(LOST) {
                watcher.speak();
            }
        }
        box_.expire(now);
        if step % LOOK != 0 {
            continue;
        }
        let words = watchers.iter().map(|w| UpstreamListReport {
            revision: if way == Way::Digests { Revision::default() } else { w.word.revision },
            ..w.word
        });
        let revision = if way == Way::Digests { Revision::default() } else { box_.revision() };
        let standing = sync_state::evaluate(revision, box_.digest(), words);
        apart = if matches!(standing, SyncState::Diverged(_)) { apart + 1 } else { 0 };
        let apart_for = if way == Way::Digests { 2 } else { APART_FOR };
        let by_addr = |addr| watchers.iter().find(|w| w.word.addr == addr).expect("one of them");
        match standing {
            SyncState::Diverged(addr) if apart_for <= apart => {
                outcome.bytes += ask(&mut box_, &by_addr(addr).view, true, now);
            }
            SyncState::Behind(all) if asked_at + BEHIND_EVERY <= step => {
                asked_at = step;
                let addr = all[rng.random_range(0..all.len())];
                outcome.bytes += ask(&mut box_, &by_addr(addr).view, false, now);
            }
            _ => {}
        }
        for change in box_.take_changes() {
            if let Change::Gone(gone) = change
                && (changes..UPSTREAMS + changes).any(|n| name(n) == gone)
            {
                outcome.flaps += 1;
            }
        }
        let old = REPLACED_PER_S * step.saturating_sub(30) / 10;
        let is_late = |n: u64| box_.registry().is_open(&name(n));
        outcome.late += (old.saturating_sub(100)..old).filter(|n| is_late(*n)).count();
    }
    // When all is quiet both list the same.
    for watcher in &mut watchers {
        watcher.hear(changes, STEP * STEPS as u32);
    }
    let now = STEP * (STEPS + 1) as u32;
    ask(&mut box_, &watchers[0].view, way == Way::Digests, now);
    assert_eq!(box_.digest(), watchers[0].view.digest(), "{way:?}");
    outcome
}

#[test]
fn who_is_behind_asks_for_changes_and_gives_up_nothing() {
    let seconds = STEPS as usize / 10;
    for seed in 0..2 {
        let (digests, revisions) = (run(Way::Digests, seed), run(Way::Revisions, seed));
        println!("{digests:?} {revisions:?}");
        assert!(revisions.bytes < 10_000 * seconds, "{revisions:?}");
        assert!(10 * revisions.bytes < digests.bytes, "{revisions:?} {digests:?}");
        assert_eq!((revisions.flaps, revisions.late), (0, 0));
    }
}
