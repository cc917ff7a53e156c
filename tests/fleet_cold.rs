//! What engines get that have just started. Load: 300 boxes, owners of two minds, boxes that are cut off, and
//! more requests for one engine than all could send. An engine that starts bears 6.1 requests a second and
//! must not get more than 14.15 in any one second, whoever sends them; a request may be on its way for up to
//! 0.4 s, the time that connecting may take. No network: each box has its own model and hears what it is told
//! a moment later, or never.

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
const TOO_MANY: f64 = 14.15;

/// How long the engine stays cold.
const LASTS: Duration = Duration::from_secs(3);

/// Time between two requests that all of them have for the engine.
const STEP: usize = 20;

/// The longest time from a decision to the arrival at the engine.
const ON_THE_WAY: f64 = 0.4;

fn limits() -> EngineLimits {
    let cold = ColdLimits { duration: LASTS, min_interval: Duration::from_secs_f64(1.0 / 6.1) };
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

/// A box that decides by a role of its own.
struct Decider {
    registry: UpstreamRegistry,
    role: Role,
    hears: bool,
}

impl Decider {
    fn new(role: Role, hears: bool) -> Decider {
        let bound = ColdBound { overage: 1.5, slack: 5.0 };
        let tuning = Tuning { cold: bound, ..Tuning::default() };
        let mut registry = UpstreamRegistry::new(ZoneName::from("a"), tuning);
        registry.upsert(listed(None), Some(limits()));
        registry.mark_cold(&engine(), None, Duration::ZERO);
        Decider { registry, role, hears }
    }

    /// Whether it sends a request to the engine.
    fn sends(&mut self, n: u64, now: Duration) -> bool {
        let prompt = prompt(n);
        let any = SelectionCriteria::any("llm", Some(&prompt), &[], Duration::MAX);
        let chosen = self.registry.choose(SelectionCriteria { role: self.role, ..any }, now);
        if chosen.is_ok() {
            self.note(n, Some(self.role), now);
        }
        chosen.is_ok()
    }

    fn note(&mut self, n: u64, decided: Option<Role>, now: Duration) {
        let prompt = prompt(n);
        let (prefill_tokens, copied_tokens, sender) = (100, 0, None);
        let placement = Placement {
            request: n,
            prompt: &prompt,
            prefill_tokens,
            copied_tokens,
            sender,
            decided_by: decided,
        };
        self.registry.place(&engine(), placement, now);
        self.registry.remove_request(&engine(), n);
    }
}

/// Boxes of which each decides by itself and hears nothing.
fn peers(boxes: usize, seed: u64) -> Vec<Decider> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let peer = |_| Decider::new(Role::Peer { boxes, draw: rng.random() }, false);
    (0..boxes).map(peer).collect()
}

/// What the engine gets from `deciders`, each asked at every step, until it is warm.
fn arrivals(mut deciders: Vec<Decider>, seed: u64) -> Vec<f64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for ms in (0..LASTS.as_millis() as u64).step_by(STEP) {
        let now = Duration::from_millis(ms);
        let first = rng.random_range(0..deciders.len());
        for k in 0..deciders.len() {
            let n = (first + k) % deciders.len();
            let request = ms * 1_000 + n as u64;
            if !deciders[n].sends(request, now) {
                continue;
            }
            arrivals.push(now.as_secs_f64() + rng.random_range(0.0..ON_THE_WAY));
            let others = deciders.iter_mut().enumerate().filter(|(m, d)| *m != n && d.hears);
            others.for_each(|(_, d)| d.note(request, None, now));
        }
    }
    arrivals.sort_by(f64::total_cmp);
    arrivals
}

/// The most in any one second.
fn most(arrivals: &[f64]) -> usize {
    let within =
        |from: &f64| arrivals.iter().filter(|at| *from <= **at && **at < from + 1.0).count();
    arrivals.iter().map(within).max().unwrap_or_default()
}

fn check(what: &str, deciders: impl Fn(u64) -> Vec<Decider>) {
    for seed in 0..50 {
        let most = most(&arrivals(deciders(seed), seed));
        assert!((most as f64) < TOO_MANY, "{what}, seed {seed}: {most} in a second");
    }
}

#[test]
fn an_owner_sends_a_cold_engine_what_it_bears() {
    let arrivals = arrivals(vec![Decider::new(Role::Owner, true)], 1);
    assert!((12..20).contains(&arrivals.len()), "{}", arrivals.len());
    check("an owner", |_| vec![Decider::new(Role::Owner, true)]);
}

#[test]
fn owner_and_standby_that_hear_nothing_of_each_other_stay_below_the_bound() {
    let two = |_| vec![Decider::new(Role::Owner, false), Decider::new(Role::Standby, false)];
    check("an owner and a standby", two);
}

/// After boxes have died or come, two may believe to own for some seconds.
#[test]
fn two_owners_stay_below_the_bound() {
    check("two owners", |_| {
        vec![Decider::new(Role::Owner, false), Decider::new(Role::Owner, false)]
    });
}

/// A third of the boxes is cut off from the others, but not from the engines; a small fleet, too, decides
/// in this way.
#[test]
fn boxes_that_are_cut_off_stay_below_the_bound_beside_an_owner() {
    for boxes in [9, 16, 64, 300] {
        check("boxes that are cut off", |seed| {
            let cut_off = peers(boxes, seed).into_iter().take(boxes / 3);
            cut_off.chain([Decider::new(Role::Owner, false)]).collect()
        });
    }
}

/// Nobody hears of anybody.
#[test]
fn peers_that_hear_nothing_of_each_other_stay_below_the_bound() {
    for boxes in [2, 9, 16, 64, 300] {
        check("peers", |seed| peers(boxes, seed));
    }
}

#[test]
fn who_decides_without_those_who_keep_the_model_sends_a_cold_engine_nothing() {
    assert!(arrivals(vec![Decider::new(Role::Unassigned, true)], 1).is_empty());
}

/// Whoever comes to keep the model doesn't know what others have just sent.
#[test]
fn a_new_owner_waits_for_as_long_as_the_bound_looks_back() {
    let mut owner = Decider::new(Role::Owner, true);
    let all = frostdyke::fleet::owners::EngineGroup::default();
    owner.registry.hold_cold_engines(all, Duration::from_secs(1));
    assert!(!owner.sends(1, Duration::from_millis(700)));
    assert!(owner.sends(2, Duration::from_millis(1_000)));
}

/// The most careful word counts: of the entry, of the engine itself, of what was seen.
#[test]
fn an_engine_stays_cold_for_the_longest_that_is_said() {
    let mut owner = Decider::new(Role::Owner, true);
    let now = Duration::from_secs(1);
    assert!(!owner.registry.mark_cold(&engine(), Some(Duration::ZERO), now));
    let told = |registry: &UpstreamRegistry| registry.listings(now)[0].cold_for;
    assert_eq!(told(&owner.registry), Some(Duration::from_secs(2)));
    assert!(
        owner.registry.mark_cold(&engine(), Some(Duration::from_secs(5)), now),
        "it is cold again"
    );
    assert_eq!(told(&owner.registry), Some(Duration::from_secs(5)));
}
