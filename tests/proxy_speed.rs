//! Learning the speed of engines from the times to first tokens, whatever the settings say.

use std::time::Duration;

use frostdyke::names::ServiceName;
use frostdyke::names::UpstreamName;
use frostdyke::names::VersionName;
use frostdyke::names::ZoneName;
use frostdyke::placement::choice::Choice;
use frostdyke::placement::choice::SelectionCriteria;
use frostdyke::placement::engine::Placement;
use frostdyke::placement::registry::UpstreamRegistry;
use frostdyke::placement::speed::Speed;
use frostdyke::placement::tuning::Tuning;
use frostdyke::proxy::adapter::Prompt;
use frostdyke::proxy::adapter::PromptPart;
use frostdyke::proxy::adapter::UpstreamListing;
use frostdyke::proxy::routing_table::EngineLimits;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const LIMITS: EngineLimits =
    EngineLimits { slots: 64, memory_tokens: 500_000, copied_per_s: 400_000, cold: None };

/// The actual speed of an engine, which prefills one prompt after the other.
#[derive(Clone, Copy, Debug)]
struct ActualSpeed {
    tokens_per_ms: f64,
    per_million_pairs_ms: f64,
    fixed_ms: f64,
}

impl ActualSpeed {
    fn prefill_s(&self, tokens: u32) -> f64 {
        let tokens = f64::from(tokens);
        let pairs = tokens * tokens / 2e6 * self.per_million_pairs_ms;
        (tokens / self.tokens_per_ms + pairs) / 1e3
    }
}

/// One engine, and its requests in progress.
struct Simulation {
    registry: UpstreamRegistry,
    rng: StdRng,
    now: f64,
    free_at: f64,
    /// Requests in the order of their first tokens: when, which, how long it took.
    in_progress: Vec<(f64, u64, f64)>,
    next: u64,
    /// Actual by expected times to first tokens.
    ratios: Vec<f64>,
}

fn tuning(tokens_per_ms: f64) -> Tuning {
    Tuning { tokens_per_ms, ..Tuning::default() }
}

impl Simulation {
    fn new(seed: u64, tokens_per_ms: f64) -> Simulation {
        let mut registry = UpstreamRegistry::new(ZoneName::from("a"), tuning(tokens_per_ms));
        let listed = UpstreamListing {
            name: UpstreamName::from("e1"),
            service: ServiceName::from("llm"),
            addr: ([127, 0, 0, 1], 80).into(),
            zone: ZoneName::from("a"),
            version: VersionName::from("v1"),
            slots: 64,
            started_at_ms: None,
            leaving: false,
            cold_for: None,
        };
        registry.upsert(listed, Some(LIMITS));
        let rng = StdRng::seed_from_u64(seed);
        let (in_progress, ratios) = (Vec::new(), Vec::new());
        Simulation { registry, rng, now: 0.0, free_at: 0.0, in_progress, next: 1, ratios }
    }

    /// Sends requests that keep the engine busy for about half of the time. One response in
    /// `late_one_in` is delayed by a second on its way; zero for none.
    fn run(&mut self, actual_speed: ActualSpeed, requests: usize, late_one_in: u32) {
        self.ratios.clear();
        for _ in 0..requests {
            let tokens = self.rng.random_range(200..6_000);
            self.now += actual_speed.prefill_s(tokens) * self.rng.random_range(0.0..4.0);
            self.deliver_first_tokens();
            self.send(actual_speed, tokens, late_one_in);
        }
    }

    fn deliver_first_tokens(&mut self) {
        self.in_progress.sort_by(|a, b| a.0.total_cmp(&b.0));
        let due = self.in_progress.iter().take_while(|(at, ..)| *at <= self.now).count();
        for (at, request, took) in self.in_progress.drain(..due) {
            let name = UpstreamName::from("e1");
            let (took, at) = (Duration::from_secs_f64(took), Duration::from_secs_f64(at));
            self.registry.record_first_token(&name, request, Some(took), at);
            self.registry.remove_request(&name, request);
        }
    }

    fn send(&mut self, actual_speed: ActualSpeed, tokens: u32, late_one_in: u32) {
        let (request, now) = (self.next, Duration::from_secs_f64(self.now));
        self.next += 1;
        let parts = vec![PromptPart { id: request, tokens }];
        let prompt = Prompt { tokens, output_tokens_max: 100, parts };
        let choice = self.choose(&prompt, now);
        let placement = Placement {
            request,
            prompt: &prompt,
            prefill_tokens: choice.prefill_tokens,
            copied_tokens: choice.copied_tokens,
            sender: None,
            decided_by: None,
        };
        self.registry.place(&choice.upstream, placement, now);
        self.free_at = self.free_at.max(self.now) + actual_speed.prefill_s(tokens);
        let took = self.free_at + actual_speed.fixed_ms / 1e3 - self.now;
        let is_late = late_one_in != 0 && self.rng.random_ratio(1, late_one_in);
        let late = f64::from(u8::from(is_late));
        self.in_progress.push((self.now + took + late, request, took + late));
        if !is_late {
            self.ratios.push(took / choice.first_token.as_secs_f64());
        }
    }

    fn choose(&self, prompt: &Prompt, now: Duration) -> Choice {
        let (prompt, excluded) = (Some(prompt), &[][..]);
        let wait_max = Duration::MAX;
        let criteria = SelectionCriteria::any("llm", prompt, excluded, wait_max);
        self.registry.choose(criteria, now).expect("there is an engine")
    }

    /// The median and the 90th percentile of the relative errors of the expected times.
    fn errors(&self) -> (f64, f64) {
        let mut errors: Vec<f64> = self.ratios.iter().map(|r| (r - 1.0).abs()).collect();
        errors.sort_by(f64::total_cmp);
        (errors[errors.len() / 2], errors[errors.len() * 9 / 10])
    }

    fn assert_accurate(&self, what: &str) {
        let (median, p90) = self.errors();
        assert!(median < 0.15, "{what}: half of the errors reach {median}");
        assert!(p90 < 0.4, "{what}: one error in ten is over {p90}");
    }
}

fn actual_speeds() -> impl Iterator<Item = ActualSpeed> {
    [10.0, 25.0, 50.0, 110.0, 400.0].into_iter().flat_map(|tokens_per_ms| {
        [(0.05, 10.0), (0.3, 50.0), (0.6, 120.0)].map(|(per_million_pairs_ms, fixed_ms)| {
            ActualSpeed { tokens_per_ms, per_million_pairs_ms, fixed_ms }
        })
    })
}

/// Wrong settings would make every expected time to a first token wrong.
#[test]
fn the_speed_of_any_engine_is_learned() {
    for (seed, actual_speed) in actual_speeds().enumerate() {
        for settings in [25.0, 50.0, 100.0] {
            let mut simulation = Simulation::new(seed as u64, settings);
            simulation.run(actual_speed, 150, 0);
            simulation.run(actual_speed, 300, 0);
            simulation.assert_accurate(&format!("{actual_speed:?}, settings {settings}"));
        }
    }
}

/// Engines slow down under load and recover.
#[test]
fn a_change_of_speed_is_learned() {
    for seed in 0..20 {
        let fast = ActualSpeed { tokens_per_ms: 100.0, per_million_pairs_ms: 0.2, fixed_ms: 50.0 };
        let slow = ActualSpeed { tokens_per_ms: 30.0, per_million_pairs_ms: 0.6, fixed_ms: 50.0 };
        let mut simulation = Simulation::new(seed, 50.0);
        for (what, actual_speed) in [("fast", fast), ("slow", slow), ("fast again", fast)] {
            simulation.run(actual_speed, 150, 0);
            simulation.run(actual_speed, 150, 0);
            simulation.assert_accurate(&format!("seed {seed}, {what}"));
        }
    }
}

/// A response delayed by the network says nothing about the engine.
#[test]
fn delayed_responses_have_little_weight() {
    for seed in 0..20 {
        let actual_speed =
            ActualSpeed { tokens_per_ms: 80.0, per_million_pairs_ms: 0.2, fixed_ms: 50.0 };
        let mut simulation = Simulation::new(seed, 50.0);
        simulation.run(actual_speed, 150, 30);
        simulation.run(actual_speed, 300, 30);
        let (median, _) = simulation.errors();
        assert!(median < 0.15, "seed {seed}: half of the errors reach {median}");
    }
}

/// Estimates drift with time; after ten idle minutes they must still hold.
#[test]
fn an_idle_period_keeps_the_estimate() {
    let actual_speed =
        ActualSpeed { tokens_per_ms: 80.0, per_million_pairs_ms: 0.2, fixed_ms: 50.0 };
    let mut simulation = Simulation::new(1, 50.0);
    simulation.run(actual_speed, 300, 0);
    simulation.now += 600.0;
    simulation.deliver_first_tokens();
    simulation.run(actual_speed, 20, 0);
    simulation.assert_accurate("after ten minutes");
}

/// A starting box would otherwise use the settings, which may be wrong. A box with more samples
/// keeps its own estimate.
#[test]
fn a_starting_box_adopts_the_estimate_of_another() {
    let actual_speed =
        ActualSpeed { tokens_per_ms: 150.0, per_million_pairs_ms: 0.1, fixed_ms: 30.0 };
    let mut simulation = Simulation::new(1, 50.0);
    simulation.run(actual_speed, 300, 0);
    let learned = simulation.registry.speed("llm").clone();
    let mut fresh = Speed::new(&tuning(50.0));
    fresh.adopt(&learned);
    assert_eq!(fresh.samples(), learned.samples());
    assert_eq!(fresh.fixed_seconds(), learned.fixed_seconds());
    let mut experienced = learned.clone();
    experienced.adopt(&Speed::new(&tuning(50.0)));
    assert_eq!(experienced, learned);
}

/// A faulty estimate of one box must not spread to others.
#[test]
fn an_impossible_speed_is_not_adopted() {
    let original = Speed::new(&tuning(50.0));
    for value in [1e300, -1.0, 0.0] {
        let mut reported = serde_json::to_value(&original).expect("it can be written");
        reported["seconds_per_unit"][0] = value.into();
        reported["samples"] = 1_000.into();
        let reported: Speed = serde_json::from_value(reported).expect("it can be read");
        let mut speed = original.clone();
        speed.adopt(&reported);
        assert_eq!(speed, original, "{value}");
    }
}
