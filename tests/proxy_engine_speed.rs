//! Engines of different speeds: the level and the recent deviation of each, handed on and learned
//! anew, and the first tokens that come in time with them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use frostdyke::fleet::rollout::VersionFilter;
use frostdyke::names::ServiceName;
use frostdyke::names::UpstreamName;
use frostdyke::names::VersionName;
use frostdyke::names::ZoneName;
use frostdyke::placement::admit;
use frostdyke::placement::admit::PlacementQuery;
use frostdyke::placement::admit::Purpose;
use frostdyke::placement::choice::SelectionCriteria;
use frostdyke::placement::cold::Role;
use frostdyke::placement::engine::Placement;
use frostdyke::placement::engine_speed::CommonError;
use frostdyke::placement::engine_speed::EngineSpeed;
use frostdyke::placement::engine_speed::LevelReport;
use frostdyke::placement::engine_speed::Measurement;
use frostdyke::placement::registry::UpstreamRegistry;
use frostdyke::placement::registry::own_speed::AdoptedSpeeds;
use frostdyke::placement::registry::own_speed::OwnSpeedReport;
use frostdyke::placement::share::Shares;
use frostdyke::placement::speed::Work;
use frostdyke::placement::tuning::SmallBatch;
use frostdyke::placement::tuning::Tuning;
use frostdyke::proxy::adapter::Prompt;
use frostdyke::proxy::adapter::PromptPart;
use frostdyke::proxy::adapter::UpstreamListing;
use frostdyke::proxy::routing_table::EngineLimits;
use frostdyke::proxy::routing_table::Limits;
use frostdyke::proxy::routing_table::Rank;
use frostdyke::proxy::routing_table::RoutingTable;
use frostdyke::proxy::routing_table::Service;
use frostdyke::proxy::view::View;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const LIMITS: EngineLimits =
    EngineLimits { slots: 16, memory_tokens: 450_000, copied_per_s: 400_000, cold: None };

/// Engines among which a request is placed: two groups.
const ENGINES: usize = 20;

/// Prompt tokens that an engine of average speed prefills in a millisecond.
const TOKENS_PER_MS: f64 = 50.0;

/// Speeds of the engines, by turns: a quarter is about half as fast as the others.
const TWO_SPEEDS: [f64; 4] = [0.55, 1.2, 1.2, 1.2];
const ONE_SPEED: [f64; 4] = [1.0; 4];

/// An engine is slowed down in this share of the periods, by this factor.
const NOISE_SHARE: f64 = 0.15;
const NOISE_FACTOR: f64 = 2.5;
const NOISE_PERIOD_S: f64 = 0.6;

/// Target seconds for the first token.
const LATENCY_TARGET_S: f64 = 1.0;

/// Seconds from the end of prefill to the first token.
const FIRST_STEP_S: f64 = 0.03;

const START: Duration = Duration::from_secs(1);

fn name(n: usize) -> UpstreamName {
    UpstreamName::from(&*format!("engine-{n}"))
}

fn listing(n: usize) -> UpstreamListing {
    UpstreamListing {
        name: name(n),
        service: ServiceName::from("llm"),
        addr: ([10, 9, 0, n as u8], 80).into(),
        zone: ZoneName::from("zone-0"),
        version: VersionName::from("v1"),
        slots: LIMITS.slots,
        started_at_ms: Some(1_000),
        leaving: false,
        cold_for: None,
    }
}

fn tuning(own_speed: bool) -> Tuning {
    let small_batch = SmallBatch { slots_max: 16, own_speed, ..SmallBatch::default() };
    Tuning { tokens_per_ms: TOKENS_PER_MS, small_batch, ..Tuning::default() }
}

fn registry(own_speed: bool) -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::new(ZoneName::from("zone-0"), tuning(own_speed));
    (0..ENGINES).for_each(|n| registry.upsert(listing(n), Some(LIMITS)));
    registry
}

fn is_slow(n: usize) -> bool {
    TWO_SPEEDS[n % TWO_SPEEDS.len()] < 1.0
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Whether an engine is slowed down in the period of a time.
fn noise(seed: u64, engine: usize, at_s: f64) -> f64 {
    let period = (at_s / NOISE_PERIOD_S) as u64;
    let mut rng = SmallRng::seed_from_u64(seed ^ (engine as u64) << 40 ^ period << 8);
    if rng.random_bool(NOISE_SHARE) { NOISE_FACTOR } else { 1.0 }
}

enum Event {
    FirstToken { engine: usize, request: u64, took: f64 },
    End { engine: usize, request: u64 },
}

/// Engines that prefill one prompt after the other, and the box that owns them.
struct Simulation {
    seed: u64,
    /// Speeds of the engines, by turns.
    speeds: [f64; 4],
    /// One first token in so many isn't reported; zero for none.
    lost_one_in: u32,
    /// Whether requests may only go to slow engines.
    only_slow: bool,
    rng: SmallRng,
    registry: UpstreamRegistry,
    shares: Shares,
    now_s: f64,
    free_at_s: [f64; ENGINES],
    events: BTreeMap<(u64, u64), Event>,
    request: u64,
    requests: usize,
    in_time: usize,
}

impl Simulation {
    fn new(seed: u64, speeds: [f64; 4], own_speed: bool) -> Simulation {
        Simulation {
            seed,
            speeds,
            lost_one_in: 0,
            only_slow: false,
            rng: SmallRng::seed_from_u64(seed),
            registry: registry(own_speed),
            shares: Shares::new(Duration::from_secs(4)),
            now_s: START.as_secs_f64(),
            free_at_s: [0.0; ENGINES],
            events: BTreeMap::new(),
            request: 0,
            requests: 0,
            in_time: 0,
        }
    }

    /// Sends requests for some seconds that take this share of the engines' summed speed.
    fn run(&mut self, for_s: f64, load: f64) {
        (self.requests, self.in_time) = (0, 0);
        let prefill_s: f64 = (0..1_000).map(|_| f64::from(self.tokens())).sum::<f64>() / 1e6;
        let summed_speed: f64 = (0..ENGINES).map(|n| self.speed_of(n)).sum();
        let per_s = load * summed_speed * TOKENS_PER_MS / prefill_s;
        let end_s = self.now_s + for_s;
        while self.now_s < end_s {
            self.now_s += -self.rng.random_range(f64::MIN_POSITIVE..1.0f64).ln() / per_s;
            self.deliver();
            self.send();
        }
    }

    fn pause(&mut self, for_s: f64) {
        self.now_s += for_s;
        self.deliver();
    }

    fn speed_of(&self, engine: usize) -> f64 {
        self.speeds[engine % self.speeds.len()]
    }

    /// Most prompts are short, a few very long.
    fn tokens(&mut self) -> u32 {
        if self.rng.random_bool(0.1) {
            self.rng.random_range(10_000..30_000)
        } else {
            self.rng.random_range(500..6_000)
        }
    }

    fn deliver(&mut self) {
        let until = (self.now_s * 1e6) as u64;
        while self.events.first_key_value().is_some_and(|((at, _), _)| *at <= until) {
            let Some(((at, _), event)) = self.events.pop_first() else { break };
            let now = Duration::from_micros(at);
            match event {
                Event::FirstToken { engine, request, took } => {
                    self.registry.record_first_token(
                        &name(engine),
                        request,
                        Some(seconds(took)),
                        now,
                    );
                }
                Event::End { engine, request } => {
                    self.registry.remove_request(&name(engine), request);
                }
            }
        }
    }

    fn send(&mut self) {
        self.request += 1;
        self.requests += 1;
        let (request, tokens) = (self.request, self.tokens());
        let parts = vec![PromptPart { id: request, tokens }];
        let excluded: Vec<UpstreamName> =
            (0..ENGINES).filter(|n| self.only_slow && !is_slow(*n)).map(name).collect();
        let prompt = Prompt { tokens, output_tokens_max: 200, parts };
        let query = PlacementQuery {
            connected: &[],
            rank: Rank::default(),
            is_repeatable: true,
            request,
            service: "llm",
            prompt: &prompt,
            workspace: None,
            excluded: &excluded,
            target_latency: seconds(LATENCY_TARGET_S),
            waited: Duration::ZERO,
            group: None,
            version_filter: VersionFilter::Any,
            zone: None,
            sender: None,
            source: None,
            purpose: Purpose::Place,
            is_last_group: true,
            role: Role::Owner,
        };
        let now = seconds(self.now_s);
        let Ok(choice) = admit::admit(&mut self.registry, &mut self.shares, query, now) else {
            return;
        };
        let engine = (0..ENGINES).find(|n| name(*n) == choice.upstream).expect("it is listed");
        let took = self.prefill(engine, tokens) + FIRST_STEP_S;
        self.in_time += usize::from(took <= LATENCY_TARGET_S);
        let at = |s: f64| (s * 1e6) as u64;
        let first_token_at = self.now_s + took;
        let stream_s = self.rng.random_range(0.2..2.0);
        let first_token = Event::FirstToken { engine, request, took };
        let is_lost = self.lost_one_in != 0 && self.rng.random_ratio(1, self.lost_one_in);
        if !is_lost {
            self.events.insert((at(first_token_at), 2 * request), first_token);
        }
        let end = Event::End { engine, request };
        self.events.insert((at(first_token_at + stream_s), 2 * request + 1), end);
    }

    /// Adds a prompt to the engine's queue. Returns the seconds until it is prefilled.
    fn prefill(&mut self, engine: usize, tokens: u32) -> f64 {
        let mut at_s = self.free_at_s[engine].max(self.now_s);
        let mut left_s = f64::from(tokens) / (TOKENS_PER_MS * self.speed_of(engine)) / 1e3;
        while 0.0 < left_s {
            let factor = noise(self.seed, engine, at_s);
            let period_end_s = ((at_s / NOISE_PERIOD_S).floor() + 1.0) * NOISE_PERIOD_S + 1e-9;
            let done_s = left_s.min((period_end_s - at_s) / factor);
            at_s += done_s * factor;
            left_s -= done_s;
        }
        self.free_at_s[engine] = at_s;
        at_s - self.now_s
    }

    fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.requests as f64
    }

    fn own_speed(&self, engine: usize) -> EngineSpeed {
        own_speed(&self.registry, engine)
    }

    /// The mean factor of the levels of engines.
    fn mean_factor(&self, of: impl Fn(usize) -> bool) -> f64 {
        let factors: Vec<f64> =
            (0..ENGINES).filter(|n| of(*n)).map(|n| self.own_speed(n).level_factor()).collect();
        factors.iter().sum::<f64>() / factors.len() as f64
    }
}

fn own_speed(registry: &UpstreamRegistry, engine: usize) -> EngineSpeed {
    let wanted = name(engine);
    let found = registry.engine_speeds(None).find(|(name, _)| **name == wanted);
    *found.expect("its speed is estimated").1
}

/// Engines that are slow for moments would get fewer requests than they can serve.
#[test]
fn noise_is_not_taken_for_slowness() {
    for seed in 0..6 {
        let mut simulation = Simulation::new(seed, ONE_SPEED, true);
        simulation.run(10.0, 0.5);
        for _ in 0..10 {
            simulation.run(2.0, 0.5);
            for engine in 0..ENGINES {
                let own = simulation.own_speed(engine);
                assert!(!own.is_slow(), "seed {seed}, engine {engine}: {own:?}");
                assert!((0.7..1.4).contains(&own.level_factor()), "seed {seed}: {own:?}");
            }
        }
        let changes = simulation.registry.take_slow_changes(START);
        assert_eq!(changes, Vec::new(), "seed {seed}");
    }
}

/// A slow engine would be taken for a normal one after each pause of its requests.
#[test]
fn half_speed_is_learned_within_seconds_and_stays_known() {
    for seed in 0..6 {
        let mut simulation = Simulation::new(seed, TWO_SPEEDS, true);
        simulation.run(4.0, 0.6);
        let ratio = simulation.mean_factor(is_slow) / simulation.mean_factor(|n| !is_slow(n));
        assert!(1.6 < ratio, "seed {seed}: slow engines are known as {ratio} times as slow");

        simulation.pause(1.0);
        let now = seconds(simulation.now_s);
        for engine in (0..ENGINES).filter(|n| is_slow(*n)) {
            let own = simulation.own_speed(engine);
            assert!(1.25 < own.level_factor(), "seed {seed}, engine {engine}: {own:?}");
            assert!(1.25 < own.factor(now), "seed {seed}, engine {engine}: {own:?}");
        }
        let spread = simulation.own_speed(0).level_spread(now);
        let much_later = now + Duration::from_secs(600);
        assert!(spread < simulation.own_speed(0).level_spread(much_later));

        simulation.run(10.0, 0.6);
        for engine in 0..ENGINES {
            let own = simulation.own_speed(engine);
            assert_eq!(own.is_slow(), is_slow(engine), "seed {seed}, engine {engine}: {own:?}");
        }
        let changes = simulation.registry.take_slow_changes(seconds(simulation.now_s));
        assert_eq!(changes.iter().filter(|c| c.is_slow).count(), ENGINES / 4, "{changes:?}");
        assert_eq!(simulation.registry.take_slow_changes(now), Vec::new());
    }
}

/// Lost datagrams must not make an engine look slow or fast.
#[test]
fn lost_first_tokens_change_no_level() {
    for seed in 0..4 {
        let mut simulation = Simulation::new(seed, TWO_SPEEDS, true);
        simulation.lost_one_in = 10;
        simulation.run(20.0, 0.45);
        let ratio = simulation.mean_factor(is_slow) / simulation.mean_factor(|n| !is_slow(n));
        assert!((1.6..2.6).contains(&ratio), "seed {seed}: {ratio}");
    }
}

/// Requests that happen to go to slow engines would make all others look slow.
#[test]
fn slow_engines_do_not_change_the_estimate_of_the_service() {
    for seed in 0..6 {
        let mut simulation = Simulation::new(seed, TWO_SPEEDS, true);
        simulation.run(12.0, 0.5);
        let work = Work::prefill(0, 4_000);
        let before = simulation.registry.speed("llm").prefill_seconds(work);
        simulation.only_slow = true;
        simulation.run(5.0, 0.06);
        let after = simulation.registry.speed("llm").prefill_seconds(work);
        let ratio = after / before;
        assert!((0.75..1.35).contains(&ratio), "seed {seed}: {before} s, then {after} s");
    }
}

/// The service's estimate follows a mean and the levels a robust centre: if each made up for the
/// other's error, both would leave their bounds.
#[test]
fn levels_and_service_do_not_drift_apart() {
    let mut simulation = Simulation::new(3, TWO_SPEEDS, true);
    let work = Work::prefill(0, 4_000);
    simulation.run(20.0, 0.5);
    let before = simulation.registry.speed("llm").prefill_seconds(work);
    simulation.run(150.0, 0.5);
    let after = simulation.registry.speed("llm").prefill_seconds(work);
    let mean = simulation.mean_factor(|_| true);
    assert!((0.85..1.25).contains(&mean), "mean factor {mean}");
    assert!((0.8..1.25).contains(&(after / before)), "{before} s, then {after} s");
}

/// A deviation that lasts until the next measurement would keep requests, and so measurements, away.
#[test]
fn a_deviation_fades_without_measurements() {
    let (mut own, mut common) = (EngineSpeed::default(), CommonError::default());
    let mut measure = |own: &mut EngineSpeed, ratio: f64, at_s: f64| {
        let measured = Measurement::new(0.2, 0.2 * ratio).expect("it is finite");
        own.update(measured, &mut common, seconds(at_s));
    };
    (0..100).for_each(|n| measure(&mut own, 1.0, f64::from(n) * 0.2));
    let level = own.level_factor();
    (0..4).for_each(|n| measure(&mut own, 2.5, 20.0 + f64::from(n) * 0.15));
    let last = seconds(20.45);
    assert!(1.5 < own.factor(last), "{own:?}");
    assert!(own.level_factor() < level * 1.2, "{own:?}");
    let after_s = |s| own.factor(last + seconds(s));
    assert!(after_s(1.0) < own.factor(last) && after_s(2.0) < after_s(1.0), "{own:?}");
    assert!((after_s(5.0) / own.level_factor() - 1.0).abs() < 0.05, "{own:?}");
}

/// A new owner would begin with engines of equal speed.
#[test]
fn levels_are_handed_on_to_a_new_owner() {
    let mut simulation = Simulation::new(1, TWO_SPEEDS, true);
    simulation.run(15.0, 0.5);
    let now = seconds(simulation.now_s);
    let reports = simulation.registry.own_speeds(None, now);
    let bytes = postcard::to_stdvec(&reports).expect("it can be encoded");
    let reports: Vec<OwnSpeedReport> = postcard::from_bytes(&bytes).expect("it can be decoded");

    let mut new = registry(true);
    let adopted = AdoptedSpeeds { adopted: ENGINES as u64, ..AdoptedSpeeds::default() };
    assert_eq!(new.adopt_own_speeds(&reports, now), adopted);
    let by_configured = |r: &UpstreamRegistry, n| {
        own_speed(r, n).level_factor() * r.speed("llm").by_configured_ln().exp()
    };
    for engine in 0..ENGINES {
        let [old, new] = [&simulation.registry, &new].map(|r| by_configured(r, engine));
        assert!((new / old - 1.0).abs() < 0.01, "engine {engine}: {old}, then {new}");
    }
    assert_eq!(new.take_slow_changes(now), Vec::new());

    // The old owner, which knows them better, keeps its own.
    let before: Vec<_> = (0..ENGINES).map(|n| simulation.own_speed(n)).collect();
    let kept = AdoptedSpeeds { kept: ENGINES as u64, ..AdoptedSpeeds::default() };
    assert_eq!(simulation.registry.adopt_own_speeds(&new.own_speeds(None, now), now), kept);
    let after: Vec<_> = (0..ENGINES).map(|n| simulation.own_speed(n)).collect();
    assert_eq!(before, after);
}

/// Another instance or version may run on other hardware, or with other weights.
#[test]
fn another_instance_or_version_is_learned_anew() {
    let mut simulation = Simulation::new(2, TWO_SPEEDS, true);
    simulation.run(10.0, 0.5);
    let now = seconds(simulation.now_s);
    let reports = simulation.registry.own_speeds(None, now);
    let registry = &mut simulation.registry;
    registry.upsert(UpstreamListing { leaving: true, ..listing(4) }, Some(LIMITS));
    assert_ne!(own_speed(registry, 4), EngineSpeed::default());

    registry.upsert(UpstreamListing { started_at_ms: Some(2_000), ..listing(0) }, Some(LIMITS));
    let version = VersionName::from("v2");
    registry.upsert(UpstreamListing { version, ..listing(1) }, Some(LIMITS));
    registry.remove(&name(2));
    registry.upsert(listing(2), Some(LIMITS));
    registry.remove(&name(3));
    for engine in 0..3 {
        assert_eq!(own_speed(registry, engine), EngineSpeed::default(), "engine {engine}");
    }
    let counts = registry.adopt_own_speeds(&reports[..], now);
    let expected = AdoptedSpeeds {
        adopted: 1,
        kept: ENGINES as u64 - 4,
        other_instance: 3,
        ..AdoptedSpeeds::default()
    };
    assert_eq!(counts, expected);
    for engine in 0..2 {
        assert_eq!(own_speed(registry, engine), EngineSpeed::default(), "engine {engine}");
    }
}

/// A restart that the store shows must reset the level; a change of the configuration must not.
#[test]
fn a_view_resets_the_level_at_a_restart_only() {
    let mut view = View::new(UpstreamRegistry::new(ZoneName::from("zone-0"), tuning(true)));
    let table = |version| {
        let service =
            Service { max_connections: 10, probe_path: String::new(), engine: Some(LIMITS) };
        let services = HashMap::from([(ServiceName::from("llm"), service)]);
        Arc::new(RoutingTable::new(version, Vec::new(), services, None, Limits::default()))
    };
    view.store_regained(START);
    view.configure(table(1), START);
    view.set_upstreams(vec![listing(0), listing(1)], START);
    let (started_at_ms, version) = (Some(1_000), VersionName::from("v1"));
    let level = LevelReport { level: 0.7, variance: 0.01 };
    let reports = [0, 1].map(|n| {
        let version = version.clone();
        OwnSpeedReport { upstream: name(n), started_at_ms, version, level }
    });
    assert_eq!(view.registry_mut().adopt_own_speeds(&reports, START).adopted, 2);

    view.configure(table(2), START);
    view.set_upstream(listing(1), START);
    view.set_upstream(UpstreamListing { started_at_ms: Some(2_000), ..listing(0) }, START);
    assert_eq!(own_speed(view.registry(), 0), EngineSpeed::default());
    assert!(1.9 < own_speed(view.registry(), 1).level_factor());
    assert_eq!(view.registry_mut().adopt_own_speeds(&reports, START).other_instance, 1);
}

/// A faulty box would make others avoid or flood an engine.
#[test]
fn impossible_levels_are_refused() {
    let mut registry = registry(true);
    let report = |level, variance| OwnSpeedReport {
        upstream: name(0),
        started_at_ms: Some(1_000),
        version: VersionName::from("v1"),
        level: LevelReport { level, variance },
    };
    let bad_levels = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e300, -40.0];
    let bad_variances = [f64::NAN, f64::INFINITY, 0.0, -0.1, 4e9];
    let mut bad: Vec<_> = bad_levels.iter().map(|level| report(*level, 0.01)).collect();
    bad.extend(bad_variances.iter().map(|variance| report(0.5, *variance)));
    let expected = AdoptedSpeeds { out_of_bounds: bad.len() as u64, ..AdoptedSpeeds::default() };
    assert_eq!(registry.adopt_own_speeds(&bad, START), expected);
    assert_eq!(own_speed(&registry, 0), EngineSpeed::default());

    assert_eq!(registry.adopt_own_speeds(&[report(0.5, 0.01)], START).adopted, 1);
    for (expected, took) in [(0.0, 1.0), (f64::NAN, 1.0), (1.0, f64::INFINITY), (-1.0, 1.0)] {
        assert_eq!(Measurement::new(expected, took), None, "{expected} s, {took} s");
    }
}

/// Deployments that don't ask for it must be served as before.
#[test]
fn without_the_setting_nothing_is_estimated() {
    let other = registry(true).own_speeds(None, START);
    let mut registry = registry(false);
    assert_eq!(registry.own_speeds(None, START), Vec::new());
    assert_eq!(registry.adopt_own_speeds(&other, START), AdoptedSpeeds::default());
    assert_eq!(registry.engine_speeds(None).count(), 0);
}

/// What the prompts of [`two_engines`] share.
const SHARED: PromptPart = PromptPart { id: 7, tokens: 9_000 };

fn prompt(own: u32, id: u64) -> Prompt {
    Prompt {
        tokens: SHARED.tokens + own,
        output_tokens_max: 100,
        parts: vec![SHARED, PromptPart { id, tokens: own }],
    }
}

fn place(
    registry: &mut UpstreamRegistry,
    engine: usize,
    request: u64,
    prompt: &Prompt,
    prefill_tokens: u32,
) {
    let placement = Placement {
        request,
        prompt,
        prefill_tokens,
        copied_tokens: 0,
        sender: None,
        decided_by: None,
    };
    registry.place(&name(engine), placement, START);
}

/// A slow engine, which has the shared part cached, and another one.
fn two_engines() -> UpstreamRegistry {
    let mut registry = registry(true);
    (2..ENGINES).for_each(|n| registry.remove(&name(n)));
    let level = LevelReport { level: 2.2f64.ln(), variance: 0.001 };
    let (started_at_ms, version) = (Some(1_000), VersionName::from("v1"));
    let report = OwnSpeedReport { upstream: name(0), started_at_ms, version, level };
    assert_eq!(registry.adopt_own_speeds(&[report], START).adopted, 1);
    place(&mut registry, 0, 1, &prompt(10, 1), 0);
    registry.remove_request(&name(0), 1);
    registry
}

/// A long prompt would be sent to a slow engine that has part of it cached, and miss its target
/// there while others would have met it.
#[test]
fn an_engine_that_would_be_late_is_chosen_only_if_no_other_is_sooner() {
    let registry = two_engines();
    let choose = |own, target: Option<f64>, excluded: &[UpstreamName]| {
        let prompt = prompt(own, 100 + u64::from(own));
        let any = SelectionCriteria::any("llm", Some(&prompt), excluded, Duration::MAX);
        let first_token_target = target.map(seconds);
        let criteria = SelectionCriteria { first_token_target, ..any };
        registry.choose(criteria, START).expect("there is an engine").upstream
    };
    // What the slow engine has cached outweighs its speed.
    assert_eq!(choose(6_000, None, &[]), name(0));
    assert_eq!(choose(6_000, Some(1.0), &[]), name(0));
    assert_eq!(choose(6_000, Some(0.3), &[]), name(1));
    assert_eq!(choose(6_000, Some(0.3), &[name(1)]), name(0));
    // No engine meets the target; the sooner one is chosen.
    assert_eq!(choose(30_000, Some(0.3), &[]), name(1));
}

/// A workspace near its share was refused because a faster engine, which would have been in time, was
/// busy for too long, though the wait at the cheapest one was acceptable.
#[test]
fn an_engine_with_an_acceptable_wait_is_not_refused_beside_a_faster_busy_one() {
    let mut registry = two_engines();
    // It has nothing of the shared part.
    let parts = vec![PromptPart { id: 8, tokens: 2_500 }];
    let other = Prompt { tokens: 2_500, output_tokens_max: 100, parts };
    place(&mut registry, 1, 2, &other, 2_500);
    let prompt = prompt(6_000, 100);
    let choose = |any: SelectionCriteria<'_>| {
        let criteria = SelectionCriteria { first_token_target: Some(seconds(0.3)), ..any };
        registry.choose(criteria, START).expect("there is an engine")
    };
    let any = SelectionCriteria::any("llm", Some(&prompt), &[], Duration::MAX);
    let fast = choose(any);
    assert_eq!(fast.upstream, name(1), "it is preferred where its wait is acceptable");
    let wait_max = Duration::from_millis(20);
    assert!(fast.first_token <= seconds(0.3) && wait_max < fast.wait, "{fast:?}");
    let near_share =
        SelectionCriteria { any_engine: false, wait_max, wait_max_idle: wait_max, ..any };
    let chosen = choose(near_share);
    assert_eq!(chosen.upstream, name(0));
    assert!(chosen.wait <= wait_max && seconds(0.3) < chosen.first_token, "{chosen:?}");
}

/// A slow engine was passed over for as long as nothing measured it, though it had recovered.
#[test]
fn a_slow_engine_that_was_not_measured_lately_may_be_chosen() {
    let mut registry = two_engines();
    let prompt = prompt(6_000, 100);
    let any = SelectionCriteria::any("llm", Some(&prompt), &[], Duration::MAX);
    let criteria = SelectionCriteria { first_token_target: Some(seconds(0.3)), ..any };
    let choose = |registry: &UpstreamRegistry, after_ms| {
        let now = START + Duration::from_millis(after_ms);
        registry.choose(criteria, now).expect("there is an engine").upstream
    };
    assert_eq!([0, 999, 1_001].map(|ms| choose(&registry, ms)), [name(1), name(1), name(0)]);
    // It returns a token, of a prompt that adds little to what it has cached.
    let short = self::prompt(10, 3);
    place(&mut registry, 0, 3, &short, 0);
    let at = START + Duration::from_millis(1_100);
    registry.record_first_token(&name(0), 3, None, at);
    registry.remove_request(&name(0), 3);
    assert_eq!([1_100, 2_099, 2_101].map(|ms| choose(&registry, ms)), [name(1), name(1), name(0)]);
}

/// Engines of two speeds: with a factor that forgets an engine's speed with each pause, requests are
/// refused or late at slow engines while fast ones have time left.
#[test]
fn engines_of_two_speeds_serve_what_their_summed_speed_bears() {
    const SEEDS: u64 = 6;
    let in_time = |own_speed| {
        let share = |seed| {
            let mut simulation = Simulation::new(seed, TWO_SPEEDS, own_speed);
            simulation.run(4.0, 0.5);
            simulation.run(15.0, 0.65);
            simulation.in_time_share()
        };
        (0..SEEDS).map(share).sum::<f64>() / SEEDS as f64
    };
    let (without, with) = (in_time(false), in_time(true));
    println!("in time: {without:.3} without own speeds, {with:.3} with them");
    assert!(0.95 <= with, "{with} in time");
    assert!(1.0 - with <= 0.6 * (1.0 - without), "{with} in time, {without} without own speeds");
}
