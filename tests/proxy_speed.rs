//! How fast engines are, learned from the times to first tokens, whatever the settings say.

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

/// An engine as it is: reads one prompt after the other.
#[derive(Clone, Copy, Debug)]
struct Truth {
    tokens_per_ms: f64,
    pairs_ms: f64,
    first_ms: f64,
}

impl Truth {
    fn reading(&self, tokens: u32) -> f64 {
        let tokens = f64::from(tokens);
        let pairs = tokens * tokens / 2e6 * self.pairs_ms;
        (tokens / self.tokens_per_ms + pairs) / 1e3
    }
}

/// A registry with one engine, and the requests in progress there.
struct Scene {
    registry: UpstreamRegistry,
    rng: StdRng,
    now: f64,
    free_at: f64,
    /// Requests in the order of their first tokens: when, which, how long it took.
    under_way: Vec<(f64, u64, f64)>,
    next: u64,
    /// Real by expected times to first tokens.
    ratios: Vec<f64>,
}

fn tuning(tokens_per_ms: f64) -> Tuning {
    Tuning { tokens_per_ms, ..Tuning::default() }
}

impl Scene {
    fn new(seed: u64, tokens_per_ms: f64) -> Scene {
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
        let (under_way, ratios) = (Vec::new(), Vec::new());
        Scene { registry, rng, now: 0.0, free_at: 0.0, under_way, next: 1, ratios }
    }

    /// Sends requests that keep an engine busy for about half of the time. One answer in
    /// `late_one_in` is held up on its way by a second; zero for none.
    fn play(&mut self, truth: Truth, requests: usize, late_one_in: u32) {
        self.ratios.clear();
        for _ in 0..requests {
            let tokens = self.rng.random_range(200..6_000);
            self.now += truth.reading(tokens) * self.rng.random_range(0.0..4.0);
            self.hear();
            self.send(truth, tokens, late_one_in);
        }
    }

    fn hear(&mut self) {
        self.under_way.sort_by(|a, b| a.0.total_cmp(&b.0));
        let due = self.under_way.iter().take_while(|(at, ..)| *at <= self.now).count();
        for (at, request, took) in self.under_way.drain(..due) {
            let name = UpstreamName::from("e1");
            let (took, at) = (Duration::from_secs_f64(took), Duration::from_secs_f64(at));
            self.registry.record_first_token(&name, request, Some(took), at);
            self.registry.remove_request(&name, request);
        }
    }

    fn send(&mut self, truth: Truth, tokens: u32, late_one_in: u32) {
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
        self.free_at = self.free_at.max(self.now) + truth.reading(tokens);
        let took = self.free_at + truth.first_ms / 1e3 - self.now;
        let is_late = late_one_in != 0 && self.rng.random_ratio(1, late_one_in);
        let late = f64::from(u8::from(is_late));
        self.under_way.push((self.now + took + late, request, took + late));
        if !is_late {
            self.ratios.push(took / choice.first_token.as_secs_f64());
        }
    }

    fn choose(&self, prompt: &Prompt, now: Duration) -> Choice {
        let (prompt, excluded) = (Some(prompt), &[][..]);
        let wait_max = Duration::MAX;
        let wanted = SelectionCriteria::any("llm", prompt, excluded, wait_max);
        self.registry.choose(wanted, now).expect("there is an engine")
    }

    /// The errors that half and nine in ten of the expected times stay below.
    fn errors(&self) -> (f64, f64) {
        let mut errors: Vec<f64> = self.ratios.iter().map(|r| (r - 1.0).abs()).collect();
        errors.sort_by(f64::total_cmp);
        (errors[errors.len() / 2], errors[errors.len() * 9 / 10])
    }

    fn assert_right(&self, what: &str) {
        let (half, nine) = self.errors();
        assert!(half < 0.15, "{what}: half of the errors reach {half}");
        assert!(nine < 0.4, "{what}: one error in ten is over {nine}");
    }
}

fn truths() -> impl Iterator<Item = Truth> {
    [10.0, 25.0, 50.0, 110.0, 400.0].into_iter().flat_map(|tokens_per_ms| {
        [(0.05, 10.0), (0.3, 50.0), (0.6, 120.0)].map(|(pairs_ms, first_ms)| Truth {
            tokens_per_ms,
            pairs_ms,
            first_ms,
        })
    })
}

#[test]
fn engines_of_any_speed_are_known_after_some_answers() {
    for (seed, truth) in truths().enumerate() {
        for settings in [25.0, 50.0, 100.0] {
            let mut scene = Scene::new(seed as u64, settings);
            scene.play(truth, 150, 0);
            scene.play(truth, 300, 0);
            scene.assert_right(&format!("{truth:?}, settings {settings}"));
        }
    }
}

#[test]
fn an_engine_that_turns_slow_or_well_is_noticed() {
    for seed in 0..20 {
        let well = Truth { tokens_per_ms: 100.0, pairs_ms: 0.2, first_ms: 50.0 };
        let slow = Truth { tokens_per_ms: 30.0, pairs_ms: 0.6, first_ms: 50.0 };
        let mut scene = Scene::new(seed, 50.0);
        for (what, truth) in [("well", well), ("slow", slow), ("well again", well)] {
            scene.play(truth, 150, 0);
            scene.play(truth, 150, 0);
            scene.assert_right(&format!("seed {seed}, {what}"));
        }
    }
}

#[test]
fn answers_held_up_on_their_way_tell_little() {
    for seed in 0..20 {
        let truth = Truth { tokens_per_ms: 80.0, pairs_ms: 0.2, first_ms: 50.0 };
        let mut scene = Scene::new(seed, 50.0);
        scene.play(truth, 150, 30);
        scene.play(truth, 300, 30);
        let (half, _) = scene.errors();
        assert!(half < 0.15, "seed {seed}: half of the errors reach {half}");
    }
}

#[test]
fn silence_changes_nothing() {
    let truth = Truth { tokens_per_ms: 80.0, pairs_ms: 0.2, first_ms: 50.0 };
    let mut scene = Scene::new(1, 50.0);
    scene.play(truth, 300, 0);
    scene.now += 600.0;
    scene.hear();
    scene.play(truth, 20, 0);
    scene.assert_right("after ten minutes");
}

#[test]
fn a_box_that_starts_takes_over_what_another_has_learned() {
    let truth = Truth { tokens_per_ms: 150.0, pairs_ms: 0.1, first_ms: 30.0 };
    let mut scene = Scene::new(1, 50.0);
    scene.play(truth, 300, 0);
    let learned = scene.registry.speed("llm").clone();
    let mut fresh = Speed::new(&tuning(50.0));
    fresh.adopt(&learned);
    assert_eq!(fresh.samples(), learned.samples());
    assert_eq!(fresh.fixed_seconds(), learned.fixed_seconds());
    let mut wiser = learned.clone();
    wiser.adopt(&Speed::new(&tuning(50.0)));
    assert_eq!(wiser, learned);
}

#[test]
fn what_cant_be_a_speed_is_not_taken_over() {
    let known = Speed::new(&tuning(50.0));
    for value in [1e300, -1.0, 0.0] {
        let mut told = serde_json::to_value(&known).expect("it can be written");
        told["seconds_per_unit"][0] = value.into();
        told["samples"] = 1_000.into();
        let told: Speed = serde_json::from_value(told).expect("it can be read");
        let mut speed = known.clone();
        speed.adopt(&told);
        assert_eq!(speed, known, "{value}");
    }
}
