//! Quality of placement, and the messages between boxes that it takes, by which boxes receive them.
//!
//! Load: 300 boxes of which a few have most of the callers, 320 engines of uneven speed with twelve
//! slots each, and prompts that are mostly shared; 2,200 requests a second, which take two thirds
//! of the engines' time for prefill. No network: messages arrive at once, or a tenth of a second
//! later.

use std::collections::BTreeMap;
use std::time::Duration;

use frostdyke::fleet::owners::Candidate;
use frostdyke::fleet::owners::OwnerTable;
use frostdyke::fleet::rollout::VersionFilter;
use frostdyke::names::ServiceName;
use frostdyke::names::UpstreamName;
use frostdyke::names::VersionName;
use frostdyke::names::ZoneName;
use frostdyke::placement::admit;
use frostdyke::placement::admit::PlacementQuery;
use frostdyke::placement::admit::Purpose;
use frostdyke::placement::cache::PrefixCache;
use frostdyke::placement::choice::Choice;
use frostdyke::placement::cold::Role;
use frostdyke::placement::registry::UpstreamRegistry;
use frostdyke::placement::share::Shares;
use frostdyke::placement::tuning::Tuning;
use frostdyke::proxy::adapter::Prompt;
use frostdyke::proxy::adapter::PromptPart;
use frostdyke::proxy::adapter::UpstreamListing;
use frostdyke::proxy::message::Message;
use frostdyke::proxy::message::PlacementRequest;
use frostdyke::proxy::message::PlacementResponse;
use frostdyke::proxy::routing_table::EngineLimits;
use frostdyke::proxy::routing_table::Rank;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const BOXES: usize = 300;
const ENGINES: usize = 320;
const LIMITS: EngineLimits =
    EngineLimits { slots: 12, memory_tokens: 470_000, copied_per_s: 400_000, cold: None };

/// Requests a second, and seconds simulated.
const REQUESTS_PER_S: f64 = 2_200.0;
const DURATION_S: f64 = 6.0;

/// Target seconds for the first token.
const LATENCY_TARGET_S: f64 = 0.9;

/// Number of distinct shared parts.
const SHARED_PARTS: u64 = 1_700;

/// Seconds from the first token to the end of a stream.
const STREAM_S: f64 = 0.6;

/// The actual state of an engine, whatever the registry estimates.
struct EngineState {
    cache: PrefixCache,
    /// When it has prefilled all that it was sent.
    free_at: f64,
    /// Prefill time relative to the average engine.
    factor: f64,
}

/// Result of a policy.
#[derive(Debug, Default)]
struct Outcome {
    in_time: usize,
    requests: usize,
    prefilled_again: u64,
    /// Datagrams sent, by box.
    sent: Vec<usize>,
    bytes: usize,
}

impl Outcome {
    fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.requests as f64
    }
}

enum Event {
    First { engine: usize, request: u64, took: f64, sender_box: usize },
    End { engine: usize, request: u64, sender_box: usize },
}

fn name(n: usize) -> UpstreamName {
    UpstreamName::from(&*format!("engine-{n}"))
}

fn registry() -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::new(ZoneName::from("zone-0"), Tuning::default());
    for n in 0..ENGINES {
        let listed = UpstreamListing {
            name: name(n),
            service: ServiceName::from("llm"),
            addr: ([10, 9, (n / 256) as u8, (n % 256) as u8], 80).into(),
            zone: ZoneName::from(&*format!("zone-{}", n % 5)),
            version: VersionName::from("v1"),
            slots: 12,
            started_at_ms: None,
            leaving: false,
            cold_for: None,
        };
        registry.upsert(listed, Some(LIMITS));
    }
    registry
}

fn owners() -> (Vec<Candidate>, OwnerTable) {
    let candidate = |n: usize| Candidate {
        ip: [10, 0, (n / 256) as u8, (n % 256) as u8].into(),
        zone: ZoneName::from(&*format!("zone-{}", n % 5)),
        cores: if (n / 5).is_multiple_of(20) { 0.5 } else { 0.12 },
    };
    let boxes: Vec<Candidate> = (0..BOXES).map(candidate).collect();
    let owners = OwnerTable::new(&boxes, ENGINES);
    (boxes, owners)
}

/// Simulates the load. With `has_owners` each request is placed by the owner of its engines,
/// otherwise by a box that receives every message at once.
fn simulate(has_owners: bool) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut registry = registry();
    let mut shares = Shares::new(Duration::from_secs(4));
    let (boxes, owners) = owners();
    let number: BTreeMap<_, _> = boxes.iter().enumerate().map(|(n, b)| (b.ip, n)).collect();
    let index: BTreeMap<_, _> = (0..ENGINES).map(|n| (name(n), n)).collect();
    let mut states: Vec<EngineState> = (0..ENGINES)
        .map(|_| EngineState {
            cache: PrefixCache::new(LIMITS.memory_tokens),
            free_at: 0.0,
            factor: rng.random_range(0.8..1.3),
        })
        .collect();
    let mut due: BTreeMap<(u64, u64), Event> = BTreeMap::new();
    let mut outcome = Outcome { sent: vec![0; BOXES], ..Outcome::default() };
    let micros = |t: f64| (t * 1e6) as u64;
    let (mut t, mut request) = (1.0, 0u64);
    while t < 1.0 + DURATION_S {
        t += -rng.random_range(f64::MIN_POSITIVE..1.0f64).ln() / REQUESTS_PER_S;
        while let Some(((at, _), event)) = due.pop_first_if(micros(t)) {
            let now = Duration::from_micros(at);
            let (sender_box, engine, message) = match event {
                Event::First { engine, request, took, sender_box } => {
                    let took = Duration::from_secs_f64(took);
                    registry.record_first_token(&name(engine), request, Some(took), now);
                    let took_ms = took.as_millis() as u32;
                    (
                        sender_box,
                        engine,
                        Message::FirstToken { upstream: name(engine), request, took_ms },
                    )
                }
                Event::End { engine, request, sender_box } => {
                    registry.remove_request(&name(engine), request);
                    (sender_box, engine, Message::Ended { upstream: name(engine), request })
                }
            };
            if has_owners {
                let hash = frostdyke::placement::upstream::name_hash(&name(engine));
                let receivers = owners.owners_of_hash(hash).expect("an owner").boxes().count();
                outcome.count_message(sender_box, receivers, &message);
            } else {
                outcome.count_message(sender_box, BOXES - 1, &message);
            }
        }
        // One box in ten has half of the callers.
        let sender_box = if rng.random_bool(0.5) {
            rng.random_range(0..BOXES / 10)
        } else {
            rng.random_range(0..BOXES)
        };
        request += 1;
        outcome.requests += 1;
        let shared = rng.random_range(0..SHARED_PARTS);
        let own = rng.random_range(200..5_000);
        let parts = vec![
            PromptPart { id: shared, tokens: 9_000 },
            PromptPart { id: 1_000_000 + request, tokens: own },
        ];
        let prompt = Prompt { tokens: 9_000 + own, output_tokens_max: 120, parts };
        let now = Duration::from_secs_f64(t);
        let mut group = None;
        let mut source = None;
        let mut placed = None;
        // The home group of engines, and another one if that is busy.
        for is_last_group in [false, true] {
            let home = registry
                .home("llm", &prompt, VersionFilter::Any, group)
                .expect("there are engines");
            group = has_owners.then(|| owners.group(home));
            let query = PlacementQuery {
                request,
                service: "llm",
                prompt: &prompt,
                workspace: None,
                rank: Rank::default(),
                excluded: &[],
                version_filter: VersionFilter::Any,
                target_latency: Duration::from_secs_f64(LATENCY_TARGET_S),
                waited: Duration::ZERO,
                group,
                zone: None,
                sender: None,
                source,
                connected: &[],
                purpose: Purpose::Place,
                is_last_group: is_last_group || !has_owners,
                role: Role::Owner,
                is_repeatable: true,
            };
            let result = admit::admit(&mut registry, &mut shares, query, now);
            let placement_request = placement_request(&query, &boxes[sender_box]);
            if let Some(owned) = group.and_then(|group| owners.owners_of(group)) {
                let owner = number[&owned.owner];
                outcome.count_message(sender_box, 1, &placement_request);
                outcome.count_message(
                    owner,
                    1,
                    &Message::PlacementResponse(PlacementResponse {
                        request,
                        result: result.clone(),
                        recorded_by: owned.standby.into_iter().filter(|_| result.is_ok()).collect(),
                    }),
                );
                // The standby receives a copy of the request.
                outcome.count_message(owner, 1, &placement_request);
            } else {
                outcome.count_message(sender_box, BOXES - 1, &placement_request);
            }
            let may_try_other_groups =
                result.as_ref().is_err_and(|denied| denied.may_try_other_groups);
            source = result.as_ref().err().and_then(|denied| denied.source);
            placed = Some(result);
            if !may_try_other_groups {
                break;
            }
        }
        let Some(placed) = placed else { continue };
        let Ok(choice) = placed else { continue };
        let engine = index[&choice.upstream];
        let first = run(&mut states, &index, engine, &prompt, &choice, t, &mut outcome);
        outcome.in_time += usize::from(first - t <= LATENCY_TARGET_S);
        due.insert(
            (micros(first), 2 * request),
            Event::First { engine, request, took: first - t, sender_box },
        );
        due.insert(
            (micros(first + STREAM_S), 2 * request + 1),
            Event::End { engine, request, sender_box },
        );
    }
    outcome
}

/// Runs a request on an engine; returns the time of the first token.
fn run(
    states: &mut [EngineState],
    index: &BTreeMap<UpstreamName, usize>,
    engine: usize,
    prompt: &Prompt,
    choice: &Choice,
    t: f64,
    outcome: &mut Outcome,
) -> f64 {
    let from = choice.copy_from.and_then(|addr| {
        index.values().find(|n| {
            std::net::SocketAddr::from(([10, 9, (**n / 256) as u8, (**n % 256) as u8], 80)) == addr
        })
    });
    let copied = from.map_or(0, |n| states[*n].cache.cached_tokens(&prompt.parts));
    let engine = &mut states[engine];
    let cached = engine.cache.cached_tokens(&prompt.parts).max(copied);
    let prefill_tokens = prompt.tokens - cached;
    let own = prompt.parts[1].tokens;
    outcome.prefilled_again += u64::from(prefill_tokens.saturating_sub(own));
    let begin = engine.free_at.max(t + f64::from(copied) / 400_000.0);
    let prefill_tokens = f64::from(prefill_tokens);
    let pairs = prefill_tokens * (f64::from(cached) + prefill_tokens / 2.0) / 1e6;
    engine.free_at =
        begin + engine.factor * (prefill_tokens / 51_100.0 + pairs * 0.000_323 + 0.006);
    engine.cache.insert(&prompt.parts);
    engine.free_at + 0.05
}

fn placement_request(query: &PlacementQuery<'_>, sender_box: &Candidate) -> Message {
    Message::PlacementRequest(PlacementRequest {
        request: query.request,
        group: query.group.unwrap_or_default(),
        service: ServiceName::from(query.service),
        prompt: query.prompt.into(),
        workspace: None,
        rank: Rank::default(),
        zone: sender_box.zone.clone(),
        excluded: Vec::new(),
        version_filter: VersionFilter::Any,
        latency_target_ms: 900,
        waited_ms: 1,
        source: None,
        purpose: query.purpose,
        is_last_group: query.is_last_group,
        is_repeatable: query.is_repeatable,
        connected: Vec::new(),
    })
}

impl Outcome {
    fn count_message(&mut self, from: usize, to: usize, message: &Message) {
        self.sent[from] += to;
        self.bytes += to * postcard::to_stdvec(message).expect("it can be encoded").len();
    }
}

/// `BTreeMap::pop_first`, if it is due.
trait PopFirstIf {
    fn pop_first_if(&mut self, until: u64) -> Option<((u64, u64), Event)>;
}

impl PopFirstIf for BTreeMap<(u64, u64), Event> {
    fn pop_first_if(&mut self, until: u64) -> Option<((u64, u64), Event)> {
        let (at, _) = *self.first_key_value()?.0;
        if until < at {
            return None;
        }
        self.pop_first()
    }
}

/// The owner of a group of engines places nearly as well as a box that receives every message, for
/// a hundredth of the datagrams: what a box sends grows only with its own requests and its share of
/// the engines.
#[test]
fn owners_place_as_well_as_a_box_with_full_knowledge() {
    let (all, owned) = (simulate(false), simulate(true));
    println!(
        "all: {:.4} in time, {} prefilled again, {} datagrams, {} MB",
        all.in_time_share(),
        all.prefilled_again,
        all.sent.iter().sum::<usize>(),
        all.bytes / 1_000_000
    );
    println!(
        "owners: {:.4} in time, {} prefilled again, {} datagrams, {} MB",
        owned.in_time_share(),
        owned.prefilled_again,
        owned.sent.iter().sum::<usize>(),
        owned.bytes / 1_000_000
    );
    assert!(
        all.in_time_share() - 0.01 <= owned.in_time_share(),
        "{} {}",
        all.in_time_share(),
        owned.in_time_share()
    );
    let datagrams = |o: &Outcome| o.sent.iter().sum::<usize>();
    assert!(datagrams(&owned) * 100 < datagrams(&all), "{} {}", datagrams(&owned), datagrams(&all));
    let most = owned.sent.iter().max().copied().unwrap_or_default() as f64 / DURATION_S;
    assert!(most < 1_000.0, "{most} datagrams a second at the busiest box");
}
