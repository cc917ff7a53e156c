//! How well requests are placed, and what boxes tell each other for it, by who hears of what. Load: 300
//! boxes of which a few have most of the callers, 320 engines of uneven speed with twelve slots each,
//! and prompts of which most is shared; 2,200 requests a second, which take two thirds of the engines'
//! time for reading. No network: what is told arrives at once, or a tenth of a second later.

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
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const BOXES: usize = 300;
const ENGINES: usize = 320;
const LIMITS: EngineLimits =
    EngineLimits { slots: 12, memory_tokens: 470_000, copied_per_s: 400_000, cold: None };

/// Requests a second, and for how long.
const RATE: f64 = 2_200.0;
const SPAN: f64 = 6.0;

/// The aim for the first token.
const AIM: f64 = 0.9;

/// Parts that prompts share.
const SHARED: u64 = 1_700;

/// Time from a first token to the end of a stream.
const STREAM: f64 = 0.6;

/// An engine as it is, whatever is believed of it.
struct Real {
    cache: PrefixCache,
    /// When it has read what it was sent.
    free_at: f64,
    /// How much slower than others.
    factor: f64,
}

/// How a policy did.
#[derive(Debug, Default)]
struct Outcome {
    in_aim: usize,
    asked: usize,
    read_again: u64,
    /// Datagrams that each box sent.
    sent: Vec<usize>,
    bytes: usize,
}

impl Outcome {
    fn served(&self) -> f64 {
        self.in_aim as f64 / self.asked as f64
    }
}

enum Event {
    First { engine: usize, request: u64, took: f64, asker: usize },
    End { engine: usize, request: u64, asker: usize },
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

/// Plays the load; `has_owners`: whether each request is placed by the owner of its engines, or by
/// somebody who hears of everything at once.
fn play(has_owners: bool) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut registry = registry();
    let mut shares = Shares::new(Duration::from_secs(4));
    let (boxes, owners) = owners();
    let number: BTreeMap<_, _> = boxes.iter().enumerate().map(|(n, b)| (b.ip, n)).collect();
    let index: BTreeMap<_, _> = (0..ENGINES).map(|n| (name(n), n)).collect();
    let mut real: Vec<Real> = (0..ENGINES)
        .map(|_| Real {
            cache: PrefixCache::new(LIMITS.memory_tokens),
            free_at: 0.0,
            factor: rng.random_range(0.8..1.3),
        })
        .collect();
    let mut due: BTreeMap<(u64, u64), Event> = BTreeMap::new();
    let mut outcome = Outcome { sent: vec![0; BOXES], ..Outcome::default() };
    let micros = |t: f64| (t * 1e6) as u64;
    let (mut t, mut request) = (1.0, 0u64);
    while t < 1.0 + SPAN {
        t += -rng.random_range(f64::MIN_POSITIVE..1.0f64).ln() / RATE;
        while let Some(((at, _), event)) = due.pop_first_if(micros(t)) {
            let now = Duration::from_micros(at);
            let (asker, engine, message) = match event {
                Event::First { engine, request, took, asker } => {
                    let took = Duration::from_secs_f64(took);
                    registry.record_first_token(&name(engine), request, Some(took), now);
                    let took_ms = took.as_millis() as u32;
                    (
                        asker,
                        engine,
                        Message::FirstToken { upstream: name(engine), request, took_ms },
                    )
                }
                Event::End { engine, request, asker } => {
                    registry.remove_request(&name(engine), request);
                    (asker, engine, Message::Ended { upstream: name(engine), request })
                }
            };
            if has_owners {
                let hash = frostdyke::placement::upstream::name_hash(&name(engine));
                let keepers = owners.owners_of_hash(hash).expect("an owner").boxes().count();
                outcome.tell(asker, keepers, &message);
            } else {
                outcome.tell(asker, BOXES - 1, &message);
            }
        }
        // One box in ten has half of the callers.
        let asker = if rng.random_bool(0.5) {
            rng.random_range(0..BOXES / 10)
        } else {
            rng.random_range(0..BOXES)
        };
        request += 1;
        outcome.asked += 1;
        let shared = rng.random_range(0..SHARED);
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
        // Its own group of engines, and another one where that is busy.
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
                excluded: &[],
                version_filter: VersionFilter::Any,
                target_latency: Duration::from_secs_f64(AIM),
                waited: Duration::ZERO,
                group,
                zone: None,
                sender: None,
                source,
                purpose: Purpose::Place,
                is_last_group: is_last_group || !has_owners,
                role: Role::Owner,
            };
            let result = admit::admit(&mut registry, &mut shares, query, now);
            let ask = ask(&query, &boxes[asker]);
            if let Some(owned) = group.and_then(|group| owners.owners_of(group)) {
                let owner = number[&owned.owner];
                outcome.tell(asker, 1, &ask);
                outcome.tell(
                    owner,
                    1,
                    &Message::PlacementResponse(PlacementResponse {
                        request,
                        result: result.clone(),
                    }),
                );
                // The standby hears of it, too.
                outcome.tell(owner, 1, &ask);
            } else {
                outcome.tell(asker, BOXES - 1, &ask);
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
        let first = run(&mut real, &index, engine, &prompt, &choice, t, &mut outcome);
        outcome.in_aim += usize::from(first - t <= AIM);
        due.insert(
            (micros(first), 2 * request),
            Event::First { engine, request, took: first - t, asker },
        );
        due.insert(
            (micros(first + STREAM), 2 * request + 1),
            Event::End { engine, request, asker },
        );
    }
    outcome
}

/// What an engine does with a request: when it gives the first token.
fn run(
    real: &mut [Real],
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
    let copied = from.map_or(0, |n| real[*n].cache.cached_tokens(&prompt.parts));
    let engine = &mut real[engine];
    let kept = engine.cache.cached_tokens(&prompt.parts).max(copied);
    let unread = prompt.tokens - kept;
    let own = prompt.parts[1].tokens;
    outcome.read_again += u64::from(unread.saturating_sub(own));
    let begin = engine.free_at.max(t + f64::from(copied) / 400_000.0);
    let unread = f64::from(unread);
    let pairs = unread * (f64::from(kept) + unread / 2.0) / 1e6;
    engine.free_at = begin + engine.factor * (unread / 51_100.0 + pairs * 0.000_323 + 0.006);
    engine.cache.insert(&prompt.parts);
    engine.free_at + 0.05
}

fn ask(query: &PlacementQuery<'_>, asker: &Candidate) -> Message {
    Message::PlacementRequest(PlacementRequest {
        request: query.request,
        group: query.group.unwrap_or_default(),
        service: ServiceName::from(query.service),
        prompt: query.prompt.into(),
        workspace: None,
        zone: asker.zone.clone(),
        excluded: Vec::new(),
        version_filter: VersionFilter::Any,
        latency_target_ms: 900,
        waited_ms: 1,
        source: None,
        purpose: query.purpose,
        is_last_group: query.is_last_group,
    })
}

impl Outcome {
    fn tell(&mut self, from: usize, to: usize, message: &Message) {
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

/// The owner of a group of engines places nearly as well as who hears of everything, for a hundredth of
/// the datagrams: what a box sends grows with its own requests and with its part of the engines only.
#[test]
fn owners_place_as_well_as_who_hears_of_everything() {
    let (all, owned) = (play(false), play(true));
    println!(
        "all: {:.4} in aim, {} read again, {} datagrams, {} MB",
        all.served(),
        all.read_again,
        all.sent.iter().sum::<usize>(),
        all.bytes / 1_000_000
    );
    println!(
        "owners: {:.4} in aim, {} read again, {} datagrams, {} MB",
        owned.served(),
        owned.read_again,
        owned.sent.iter().sum::<usize>(),
        owned.bytes / 1_000_000
    );
    assert!(all.served() - 0.01 <= owned.served(), "{} {}", all.served(), owned.served());
    let sum = |o: &Outcome| o.sent.iter().sum::<usize>();
    assert!(sum(&owned) * 100 < sum(&all), "{} {}", sum(&owned), sum(&all));
    let most = owned.sent.iter().max().copied().unwrap_or_default() as f64 / SPAN;
    assert!(most < 1_000.0, "{most} datagrams a second at the busiest box");
}
