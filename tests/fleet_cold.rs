//! Requests to engines that have just started ("cold" engines).
//!
//! Load: 300 boxes, boxes that disagree on the owner, boxes that are cut off, and more requests for
//! one engine than all could send. A cold engine can serve 6.1 requests a second and must not
//! receive more than 14.15 in any one second, from all boxes together. A request may be on its way
//! for up to 0.4 s, the longest time for connecting. No network: each box has its own state and
//! receives the others' decisions a moment later, or never.

use std::time::Duration;

use frostdyke::names::ServiceName;
use frostdyke::names::UpstreamName;
use frostdyke::names::VersionName;
use frostdyke::names::ZoneName;
use frostdyke::placement::choice::SelectionCriteria;
use frostdyke::placement::cold::ColdBound;
use frostdyke::placement::cold::ColdLimits;
use frostdyke::placement::cold::Role;
use frostdyke::placement::engine::Placement;
use frostdyke::placement::registry::UpstreamRegistry;
use frostdyke::placement::tuning::Tuning;
use frostdyke::proxy::adapter::Prompt;
use frostdyke::proxy::adapter::PromptPart;
use frostdyke::proxy::adapter::UpstreamListing;
use frostdyke::proxy::routing_table::EngineLimits;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Requests in any one second that are too many.
const REQUESTS_PER_S_LIMIT: f64 = 14.15;

/// How long the engine stays cold.
const COLD_DURATION: Duration = Duration::from_secs(3);

/// Interval in ms at which each box has a request for the engine.
const STEP_MS: usize = 20;

/// The longest time from a decision to the arrival at the engine.
const DELIVERY_S_MAX: f64 = 0.4;

fn limits() -> EngineLimits {
    let cold =
        ColdLimits { duration: COLD_DURATION, min_interval: Duration::from_secs_f64(1.0 / 6.1) };
    EngineLimits { slots: 32, memory_tokens: 490_000, copied_per_s: 400_000, cold: Some(cold) }
}

fn engine() -> UpstreamName {
    UpstreamName::from("engine")
}

fn listed(cold_for: Option<Duration>) -> UpstreamListing {
    UpstreamListing {
        name: engine(),
        service: ServiceName::from("llm"),
        addr: ([127, 0, 0, 1], 80).into(),
        zone: ZoneName::from("a"),
        version: VersionName::from("v1"),
        slots: 32,
        started_at_ms: None,
        leaving: false,
        cold_for,
    }
}

fn prompt(n: u64) -> Prompt {
    Prompt { tokens: 100, output_tokens_max: 10, parts: vec![PromptPart { id: n, tokens: 100 }] }
}

/// A box that decides in a given role.
struct Decider {
    registry: UpstreamRegistry,
    role: Role,
    receives_decisions: bool,
}

impl Decider {
    fn new(role: Role, receives_decisions: bool) -> Decider {
        let bound = ColdBound { overage: 1.5, slack: 5.0 };
        let tuning = Tuning { cold: bound, ..Tuning::default() };
        let mut registry = UpstreamRegistry::new(ZoneName::from("a"), tuning);
        registry.upsert(listed(None), Some(limits()));
        registry.mark_cold(&engine(), None, Duration::ZERO);
        Decider { registry, role, receives_decisions }
    }

    /// Sends a request to the engine if admitted; returns whether it did.
    fn try_send(&mut self, n: u64, now: Duration) -> bool {
        let prompt = prompt(n);
        let any = SelectionCriteria::any("llm", Some(&prompt), &[], Duration::MAX);
        let chosen = self.registry.choose(SelectionCriteria { role: self.role, ..any }, now);
        if chosen.is_ok() {
            self.record_placement(n, Some(self.role), now);
        }
        chosen.is_ok()
    }

    fn record_placement(&mut self, n: u64, decided_by: Option<Role>, now: Duration) {
        let prompt = prompt(n);
        let (prefill_tokens, copied_tokens, sender) = (100, 0, None);
        let placement = Placement {
            request: n,
            prompt: &prompt,
            prefill_tokens,
            copied_tokens,
            sender,
            decided_by,
        };
        self.registry.place(&engine(), placement, now);
        self.registry.remove_request(&engine(), n);
    }
}

/// Boxes each of which decides by itself and receives no decisions of others.
fn peers(boxes: usize, seed: u64) -> Vec<Decider> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let peer = |_| Decider::new(Role::Peer { boxes, draw: rng.random() }, false);
    (0..boxes).map(peer).collect()
}

/// Arrival times at the engine, from `deciders` that are each tried at every step, until it is
/// warm.
fn arrivals(mut deciders: Vec<Decider>, seed: u64) -> Vec<f64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for ms in (0..COLD_DURATION.as_millis() as u64).step_by(STEP_MS) {
        let now = Duration::from_millis(ms);
        let first = rng.random_range(0..deciders.len());
        for k in 0..deciders.len() {
            let n = (first + k) % deciders.len();
            let request = ms * 1_000 + n as u64;
            if !deciders[n].try_send(request, now) {
                continue;
            }
            arrivals.push(now.as_secs_f64() + rng.random_range(0.0..DELIVERY_S_MAX));
            let others =
                deciders.iter_mut().enumerate().filter(|(m, d)| *m != n && d.receives_decisions);
            others.for_each(|(_, d)| d.record_placement(request, None, now));
        }
    }
    arrivals.sort_by(f64::total_cmp);
    arrivals
}

/// The largest number of arrivals in any one second.
fn max_per_second(arrivals: &[f64]) -> usize {
    let within =
        |from: &f64| arrivals.iter().filter(|at| *from <= **at && **at < from + 1.0).count();
    arrivals.iter().map(within).max().unwrap_or_default()
}

fn check(what: &str, deciders: impl Fn(u64) -> Vec<Decider>) {
    for seed in 0..50 {
        let max_per_second = max_per_second(&arrivals(deciders(seed), seed));
        assert!(
            (max_per_second as f64) < REQUESTS_PER_S_LIMIT,
            "{what}, seed {seed}: {max_per_second} in a second"
        );
    }
}

/// Neither more than a cold engine can serve, nor so little that it stays idle.
#[test]
fn an_owner_sends_a_cold_engine_what_it_can_serve() {
    let arrivals = arrivals(vec![Decider::new(Role::Owner, true)], 1);
    assert!((12..20).contains(&arrivals.len()), "{}", arrivals.len());
    check("an owner", |_| vec![Decider::new(Role::Owner, true)]);
}

/// While messages between them are lost, each decides without knowing the requests of the other.
#[test]
fn an_owner_and_a_standby_without_contact_stay_below_the_limit() {
    let two = |_| vec![Decider::new(Role::Owner, false), Decider::new(Role::Standby, false)];
    check("an owner and a standby", two);
}

/// After boxes were lost or added, two boxes may believe they are the owner for some seconds.
#[test]
fn two_owners_stay_below_the_limit() {
    check("two owners", |_| {
        vec![Decider::new(Role::Owner, false), Decider::new(Role::Owner, false)]
    });
}

/// A third of the boxes is cut off from the others, but not from the engines. Small fleets decide
/// in this way, too.
#[test]
fn boxes_that_are_cut_off_stay_below_the_limit_beside_an_owner() {
    for boxes in [9, 16, 64, 300] {
        check("boxes that are cut off", |seed| {
            let cut_off = peers(boxes, seed).into_iter().take(boxes / 3);
            cut_off.chain([Decider::new(Role::Owner, false)]).collect()
        });
    }
}

/// No box receives the decisions of another, so each may use only its part of the limit.
#[test]
fn peers_without_contact_stay_below_the_limit() {
    for boxes in [2, 9, 16, 64, 300] {
        check("peers", |seed| peers(boxes, seed));
    }
}

/// A box that neither owns the engine nor stands by, and gets no response of those that do, doesn't
/// know what they send.
#[test]
fn an_unassigned_box_sends_a_cold_engine_nothing() {
    assert!(arrivals(vec![Decider::new(Role::Unassigned, true)], 1).is_empty());
}

/// A box that becomes owner doesn't know what others have just sent.
#[test]
fn a_new_owner_waits_for_the_length_of_the_rate_window() {
    let mut owner = Decider::new(Role::Owner, true);
    let all = frostdyke::fleet::owners::EngineGroup::default();
    owner.registry.hold_cold_engines(all, Duration::from_secs(1));
    assert!(!owner.try_send(1, Duration::from_millis(700)));
    assert!(owner.try_send(2, Duration::from_millis(1_000)));
}

/// The store entry, the engine itself and what was observed may differ; the longest time counts.
#[test]
fn an_engine_stays_cold_for_the_longest_time_reported() {
    let mut owner = Decider::new(Role::Owner, true);
    let now = Duration::from_secs(1);
    assert!(!owner.registry.mark_cold(&engine(), Some(Duration::ZERO), now));
    let cold_for = |registry: &UpstreamRegistry| registry.listings(now)[0].cold_for;
    assert_eq!(cold_for(&owner.registry), Some(Duration::from_secs(2)));
    assert!(
        owner.registry.mark_cold(&engine(), Some(Duration::from_secs(5)), now),
        "it is cold again"
    );
    assert_eq!(cold_for(&owner.registry), Some(Duration::from_secs(5)));
}

/// Guards against a panic, which would poison the registry for all requests of a box, by a cold time
/// beyond the range of the clock.
#[test]
fn a_cold_time_beyond_the_range_of_the_clock_does_not_panic() {
    let mut owner = Decider::new(Role::Owner, true);
    let now = Duration::from_secs(1);
    assert!(owner.registry.mark_cold(&engine(), Some(Duration::MAX), now));
    assert!(Some(Duration::from_secs(3600)) < owner.registry.listings(now)[0].cold_for);
}
