//! Synchronization of boxes that don't watch the platform's store, simulated without a network.
//!
//! Load: a roll-out with 300 boxes and 3,000 upstreams. 43 upstreams are replaced each second, one
//! by one. The three boxes of a zone that watch the store receive each change at different times,
//! up to a second late, and forward it in datagrams, some of which are lost.

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

/// Upstreams that are replaced per second.
const REPLACED_PER_S: u64 = 43;

/// Length of a simulation step, and number of steps.
const STEP: Duration = Duration::from_millis(100);
const STEPS: u64 = 300;

/// Steps between two reads of the store by a watcher, two reports of a watcher, two checks of the
/// box's sync state, and two of its requests for changes.
const STORE_READ_STEPS: u64 = 10;
const REPORT_STEPS: u64 = 4;
const CHECK_STEPS: u64 = 3;
const FETCH_STEPS: u64 = 10;

/// Successive checks that must find the box diverged before it requests all differences.
const DIVERGED_CHECKS: u64 = 7;

/// Share of the datagrams that is lost.
const LOSS_RATE: f64 = 0.02;

/// How the box detects missing changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SyncMethod {
    /// By the digests of the lists alone, ignoring revisions.
    Digests,
    /// By the revision up to which the lists are complete.
    Revisions,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Bytes of requests and responses.
    bytes: usize,
    /// Upstreams that the box listed, removed although the store still listed them, and listed
    /// again.
    flaps: usize,
    /// Steps, summed over upstreams, at which the box listed one that the store had removed three
    /// seconds before.
    stale: usize,
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

/// A box that watches the store, and its last report.
struct Watcher {
    view: View,
    /// Changes of the store received so far; each makes a revision.
    received: u64,
    phase: u64,
    report: UpstreamListReport,
}

impl Watcher {
    fn new(phase: u64) -> Watcher {
        let addr = ([127, 0, 0, 1 + phase as u8], 80).into();
        let report = UpstreamListReport {
            addr,
            reaches_store: true,
            revision: Revision::default(),
            upstreams_digest: 0,
            age: Duration::ZERO,
        };
        Watcher { view: view(), received: 0, phase, report }
    }

    /// Receives all changes up to number `changes`; returns those to forward to other boxes.
    fn receive_changes(&mut self, changes: u64, now: Duration) -> Vec<Change> {
        for n in self.received..changes {
            let [written, removed] =
                [1, 2].map(|step| Some(Revision::new(1, UPSTREAMS + 2 * n + step)));
            self.view.set_written_upstream(listed(UPSTREAMS + n), written, now);
            self.view.entry_removed(&name(n), removed, now);
        }
        self.received = changes;
        self.view.complete_up_to(Revision::new(1, UPSTREAMS + 2 * changes));
        self.view.take_changes()
    }

    fn update_report(&mut self) {
        let (revision, upstreams_digest) = (self.view.revision(), self.view.digest());
        self.report =
            UpstreamListReport { revision, upstreams_digest, age: Duration::ZERO, ..self.report };
    }
}

/// Applies a change that a watcher forwarded, without its revision where digests alone are
/// compared.
fn apply_change(view: &mut View, change: Change, method: SyncMethod, now: Duration) {
    let has_revisions = method == SyncMethod::Revisions;
    match change {
        Change::Upstream(listed, written) => {
            view.reported_listed(listed, written.filter(|_| has_revisions), now)
        }
        Change::Gone(name, revision) => {
            view.reported_gone(&name, revision.filter(|_| has_revisions), now)
        }
        other => panic!("{other:?}"),
    }
}

/// Fetches changes, or all differences if `full`, from a watcher and applies them. Returns the
/// bytes transferred.
fn fetch(view: &mut View, watcher: &View, full: bool, now: Duration) -> usize {
    let version = view.version();
    let (request, response) = if full {
        let digests = view.digests(now);
        (digests.to_string().len(), Some(watcher.difference(version, &digests, now)))
    } else {
        (0, watcher.changes_since(version, view.revision(), now))
    };
    let Some(response) = response else { return request + fetch(view, watcher, true, now) };
    let encoded = postcard::to_stdvec(&response).expect("it can be encoded");
    let response: Snapshot = postcard::from_bytes(&encoded).expect("it can be decoded");
    view.apply_snapshot(response, now);
    request + encoded.len()
}

fn run(method: SyncMethod, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut watchers = [Watcher::new(0), Watcher::new(3), Watcher::new(7)];
    let mut box_ = view();
    box_.store_left_to_others();
    let mut outcome = Outcome::default();
    let (mut diverged_checks, mut fetched_at) = (0, 0);
    let mut changes = 0;
    for step in 1..=STEPS {
        let now = STEP * step as u32;
        // A watcher receives everything up to the latest change at once.
        changes = REPLACED_PER_S * step / 10;
        for watcher in watchers.iter_mut() {
            watcher.report.age += STEP;
            if step % STORE_READ_STEPS == watcher.phase {
                for change in watcher.receive_changes(changes, now) {
                    if !rng.random_bool(LOSS_RATE) {
                        apply_change(&mut box_, change, method, now);
                    }
                }
            }
            if (step + watcher.phase) % REPORT_STEPS == 0 && !rng.random_bool(LOSS_RATE) {
                watcher.update_report();
            }
        }
        box_.expire(now);
        if step % CHECK_STEPS != 0 {
            continue;
        }
        let reports = watchers.iter().map(|w| UpstreamListReport {
            revision: if method == SyncMethod::Digests {
                Revision::default()
            } else {
                w.report.revision
            },
            ..w.report
        });
        let revision =
            if method == SyncMethod::Digests { Revision::default() } else { box_.revision() };
        let state = sync_state::evaluate(revision, box_.digest(), reports);
        diverged_checks =
            if matches!(state, SyncState::Diverged(_)) { diverged_checks + 1 } else { 0 };
        let diverged_checks_min = if method == SyncMethod::Digests { 2 } else { DIVERGED_CHECKS };
        let by_addr = |addr| watchers.iter().find(|w| w.report.addr == addr).expect("one of them");
        match state {
            SyncState::Diverged(addr) if diverged_checks_min <= diverged_checks => {
                outcome.bytes += fetch(&mut box_, &by_addr(addr).view, true, now);
            }
            SyncState::Behind(all) if fetched_at + FETCH_STEPS <= step => {
                fetched_at = step;
                let addr = all[rng.random_range(0..all.len())];
                outcome.bytes += fetch(&mut box_, &by_addr(addr).view, false, now);
            }
            _ => {}
        }
        for change in box_.take_changes() {
            if let Change::Gone(gone, _) = change
                && (changes..UPSTREAMS + changes).any(|n| name(n) == gone)
            {
                outcome.flaps += 1;
            }
        }
        let old = REPLACED_PER_S * step.saturating_sub(30) / 10;
        let is_stale = |n: u64| box_.registry().is_open(&name(n));
        outcome.stale += (old.saturating_sub(100)..old).filter(|n| is_stale(*n)).count();
    }
    // Once changes stop, both must list the same upstreams.
    for watcher in &mut watchers {
        watcher.receive_changes(changes, STEP * STEPS as u32);
    }
    let now = STEP * (STEPS + 1) as u32;
    fetch(&mut box_, &watchers[0].view, method == SyncMethod::Digests, now);
    assert_eq!(box_.digest(), watchers[0].view.digest(), "{method:?}");
    outcome
}

/// With digests alone a box can't tell that it merely lags behind: it fetches all that differs,
/// more than ten times the data, and may remove upstreams that are still listed.
#[test]
fn a_lagging_box_fetches_changes_and_removes_no_listed_upstream() {
    let seconds = STEPS as usize / 10;
    for seed in 0..2 {
        let (digests, revisions) =
            (run(SyncMethod::Digests, seed), run(SyncMethod::Revisions, seed));
        println!("{digests:?} {revisions:?}");
        assert!(revisions.bytes < 10_000 * seconds, "{revisions:?}");
        assert!(10 * revisions.bytes < digests.bytes, "{revisions:?} {digests:?}");
        assert_eq!((revisions.flaps, revisions.stale), (0, 0));
    }
}
