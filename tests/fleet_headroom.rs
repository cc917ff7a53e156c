//! Uneven demand: groups of engines without free capacity beside groups that have some.
//!
//! Load: 69 boxes of which eight own 112 engines with 16 slots each, in eight groups. No network:
//! announcements and reports of requests arrive 20 ms late. Senders and owners decide by the same
//! code as the proxy.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::time::Duration;

use frostdyke::fleet::headroom;
use frostdyke::fleet::headroom::ANNOUNCEMENT_MAX_AGE;
use frostdyke::fleet::headroom::Announcer;
use frostdyke::fleet::headroom::Capacity;
use frostdyke::fleet::headroom::Draw;
use frostdyke::fleet::headroom::GroupHeadroom;
use frostdyke::fleet::headroom::HeadroomAnnouncement;
use frostdyke::fleet::headroom::HeadroomTable;
use frostdyke::fleet::headroom::InvalidAnnouncement;
use frostdyke::fleet::headroom::Offer;
use frostdyke::fleet::headroom::TypicalRequest;
use frostdyke::fleet::headroom::sequence::Origin;
use frostdyke::fleet::headroom::sequence::SequenceNumber;
use frostdyke::fleet::owners::Candidate;
use frostdyke::fleet::owners::EngineGroup;
use frostdyke::fleet::owners::OwnerTable;
use frostdyke::fleet::rollout::VersionFilter;
use frostdyke::names::ServiceName;
use frostdyke::names::UpstreamName;
use frostdyke::names::VersionName;
use frostdyke::names::WorkspaceName;
use frostdyke::names::ZoneName;
use frostdyke::placement::admit;
use frostdyke::placement::admit::Denial;
use frostdyke::placement::admit::Obstacle;
use frostdyke::placement::admit::PlacementQuery;
use frostdyke::placement::admit::Purpose;
use frostdyke::placement::cache::PrefixCache;
use frostdyke::placement::choice::Choice;
use frostdyke::placement::choice::ChoiceError;
use frostdyke::placement::cold::Role;
use frostdyke::placement::redirect;
use frostdyke::placement::redirect::Alternatives;
use frostdyke::placement::redirect::Asked;
use frostdyke::placement::redirect::Attempts;
use frostdyke::placement::redirect::Further;
use frostdyke::placement::redirect::NextGroup;
use frostdyke::placement::registry::UpstreamRegistry;
use frostdyke::placement::share::Shares;
use frostdyke::placement::speed::Work;
use frostdyke::placement::tuning::SmallBatch;
use frostdyke::placement::tuning::Tuning;
use frostdyke::placement::upstream;
use frostdyke::proxy::adapter::Prompt;
use frostdyke::proxy::adapter::PromptPart;
use frostdyke::proxy::adapter::UpstreamListing;
use frostdyke::proxy::headroom::HeadroomState;
use frostdyke::proxy::message::Message;
use frostdyke::proxy::message::PlacementRequest;
use frostdyke::proxy::message::PlacementResponse;
use frostdyke::proxy::routing_table::EngineLimits;
use frostdyke::proxy::routing_table::Rank;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const LIMITS: EngineLimits =
    EngineLimits { slots: 16, memory_tokens: 545_000, copied_per_s: 400_000, cold: None };

const LATENCY_TARGET: Duration = Duration::from_millis(900);

const ZONES: usize = 4;

/// Delay of announcements and of reports on requests.
const DELAY: Duration = Duration::from_millis(20);

/// Interval at which owners check their groups.
const POLL: Duration = Duration::from_millis(50);

/// Seconds from the first token to the end of a stream.
const STREAM_S: f64 = 0.5;

/// The longest time for which a group may be idle while another one refuses.
const IDLE_MAX: Duration = Duration::from_millis(200);

/// Tokens of the shared part of all prompts.
const SHARED_TOKENS: u32 = 4_000;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ip(n: usize) -> IpAddr {
    [10, 0, (n / 256) as u8, (n % 256) as u8].into()
}

fn name(n: usize) -> UpstreamName {
    UpstreamName::from(&*format!("engine-{n}"))
}

fn zone_name(n: usize) -> ZoneName {
    ZoneName::from(&*format!("zone-{n}"))
}

fn service() -> ServiceName {
    ServiceName::from("assist-llm")
}

fn registry(engines: usize, headroom: bool) -> UpstreamRegistry {
    let small_batch = SmallBatch { slots_max: 16, headroom, ..SmallBatch::default() };
    let tuning = Tuning { small_batch, ..Tuning::default() };
    let mut registry = UpstreamRegistry::new(ZoneName::from("zone-0"), tuning);
    (0..engines).for_each(|n| registry.upsert(listed(n), Some(LIMITS)));
    registry
}

fn listed(n: usize) -> UpstreamListing {
    UpstreamListing {
        name: name(n),
        service: service(),
        addr: ([10, 9, (n / 256) as u8, (n % 256) as u8], 80).into(),
        zone: zone_name(n % ZONES),
        version: VersionName::from("v1"),
        slots: LIMITS.slots,
        started_at_ms: None,
        leaving: false,
        cold_for: None,
    }
}

/// The first `large` boxes may own groups.
fn owners(boxes: usize, large: usize, engines: usize) -> OwnerTable {
    let candidate = |n: usize| Candidate {
        ip: ip(n),
        zone: zone_name(n % ZONES),
        cores: if n < large { 0.5 } else { 0.12 },
    };
    OwnerTable::new(&(0..boxes).map(candidate).collect::<Vec<_>>(), engines)
}

fn prompt(shared: u64, own_id: u64, own: u32) -> Prompt {
    let parts = vec![
        PromptPart { id: shared, tokens: SHARED_TOKENS },
        PromptPart { id: own_id, tokens: own },
    ];
    Prompt { tokens: SHARED_TOKENS + own, output_tokens_max: 120, parts }
}

/// The actual state of an engine.
struct EngineState {
    cache: PrefixCache,
    /// When it has prefilled all that it was sent, in seconds.
    free_at: f64,
    running: usize,
}

enum Event {
    First {
        engine: usize,
        request: u64,
        took: f64,
    },
    /// The stream has ended at the engine.
    End {
        engine: usize,
        request: u64,
    },
    /// The owner receives the report of that.
    Ended {
        engine: usize,
        request: u64,
    },
    Announced {
        from: IpAddr,
        offer: Offer,
        at: Duration,
    },
}

/// What one owner knows.
#[derive(Default)]
struct Owner {
    table: HeadroomTable,
    announcer: Announcer,
    typical: Option<TypicalRequest>,
}

/// Requests named to a group by one of its announcements.
#[derive(Default)]
struct Sent {
    announced: usize,
    named: usize,
}

#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    placed: usize,
    in_time: usize,
    refused: usize,
    /// Requests refused while a fifth of the engines had nothing to prefill and slots left.
    refused_beside_free: usize,
    redirected: usize,
    redirected_placed: usize,
    prefilled_again: u64,
    /// The longest time for which a group was idle while requests were refused.
    idle_longest: Duration,
    /// The most requests that were named to a group by one announcement, beyond what it announced.
    beyond_announced: i64,
    owners: i64,
    bytes: BTreeMap<&'static str, usize>,
}

struct Fleet {
    registry: UpstreamRegistry,
    shares: Shares,
    owners: OwnerTable,
    boxes: usize,
    state: BTreeMap<IpAddr, Owner>,
    engines: Vec<EngineState>,
    index: BTreeMap<UpstreamName, usize>,
    due: BTreeMap<(Duration, u64), Event>,
    event_count: u64,
    /// By group and time of the announcement.
    sent: BTreeMap<(EngineGroup, Duration), Sent>,
    /// The last announcement of each group that each owner has received.
    received: BTreeMap<(IpAddr, EngineGroup), Duration>,
    /// Since when each group is idle while requests are refused.
    idle_since: BTreeMap<EngineGroup, Duration>,
    refused_before: usize,
    outcome: Outcome,
    rng: SmallRng,
    has_headroom: bool,
    closed_zone: Option<usize>,
    /// Announcements that are lost, of each hundred.
    lost: u32,
}

impl Fleet {
    fn new(boxes: usize, large: usize, engines: usize, has_headroom: bool) -> Fleet {
        let owners = owners(boxes, large, engines);
        let state = owners.owner_boxes().into_iter().map(|ip| (ip, Owner::default())).collect();
        let owner_count = owners.owner_boxes().len() as i64;
        let outcome = Outcome { owners: owner_count, ..Outcome::default() };
        let engine = |_| EngineState {
            cache: PrefixCache::new(LIMITS.memory_tokens),
            free_at: 0.0,
            running: 0,
        };
        Fleet {
            registry: registry(engines, has_headroom),
            shares: Shares::new(Duration::from_secs(4)),
            owners,
            boxes,
            state,
            engines: (0..engines).map(engine).collect(),
            index: (0..engines).map(|n| (name(n), n)).collect(),
            due: BTreeMap::new(),
            event_count: 0,
            sent: BTreeMap::new(),
            received: BTreeMap::new(),
            idle_since: BTreeMap::new(),
            refused_before: 0,
            outcome,
            rng: SmallRng::seed_from_u64(7),
            has_headroom,
            closed_zone: None,
            lost: 0,
        }
    }

    /// Sends requests at the rates of `load`, in requests a second, until `until_s`. Each entry of
    /// the load has its own shared parts.
    fn run(&mut self, from_s: f64, until_s: f64, load: &[Load]) {
        let total: f64 = load.iter().map(|l| l.rate).sum();
        let mut t = from_s;
        let mut poll = Duration::from_secs_f64(from_s);
        loop {
            t += -self.rng.random_range(f64::MIN_POSITIVE..1.0f64).ln() / total;
            let now = Duration::from_secs_f64(t);
            while poll <= now {
                self.deliver(poll);
                self.poll(poll);
                poll += POLL;
            }
            if until_s <= t {
                return;
            }
            self.deliver(now);
            let mut draw = self.rng.random_range(0.0..total);
            let chosen = load.iter().find(|l| {
                draw -= l.rate;
                draw < 0.0
            });
            let chosen = chosen.or(load.last()).expect("there is a load");
            let shared = chosen.first_part + self.rng.random_range(0..chosen.parts);
            let own = self.rng.random_range(200..5_000);
            self.outcome.requests += 1;
            let request = self.outcome.requests as u64;
            self.send(request, &prompt(shared, 1_000_000 + request, own), now);
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.due.insert((at, self.event_count), event);
    }

    fn deliver(&mut self, now: Duration) {
        while let Some(entry) = self.due.first_entry() {
            let (at, _) = *entry.key();
            if now < at {
                return;
            }
            match entry.remove() {
                Event::First { engine, request, took } => {
                    let took = Duration::from_secs_f64(took);
                    self.registry.record_first_token(&name(engine), request, Some(took), at);
                    let message =
                        Message::FirstToken { upstream: name(engine), request, took_ms: 1_000 };
                    self.count_bytes("requests", 2, &message);
                }
                Event::End { engine, request } => {
                    self.engines[engine].running -= 1;
                    self.schedule(at + DELAY, Event::Ended { engine, request });
                }
                Event::Ended { engine, request } => {
                    self.registry.remove_request(&name(engine), request);
                    let message = Message::Ended { upstream: name(engine), request };
                    self.count_bytes("requests", 2, &message);
                }
                Event::Announced { from, offer, at: sent_at } => {
                    let Some(owner) = self.state.get_mut(&offer.receiver) else { continue };
                    let origin = origin(from, sent_at);
                    for entry in &offer.entries {
                        owner.table.apply(entry, origin, &self.owners, at).expect("it is valid");
                        self.received.insert((offer.receiver, entry.group), sent_at);
                    }
                }
            }
        }
    }

    /// Has all owners announce what is due, and looks for idle groups.
    fn poll(&mut self, now: Duration) {
        let has_refused = self.refused_before < self.outcome.refused;
        self.refused_before = self.outcome.refused;
        let groups: Vec<(EngineGroup, IpAddr)> = self.all_groups();
        for (group, _) in &groups {
            let is_idle = self.is_idle(*group);
            let since = *self.idle_since.entry(*group).or_insert(now);
            if is_idle && has_refused {
                let idle = now.saturating_sub(since);
                self.outcome.idle_longest = self.outcome.idle_longest.max(idle);
            } else {
                self.idle_since.insert(*group, now);
            }
        }
        if !self.has_headroom {
            return;
        }
        for from in self.owners.owner_boxes() {
            let own = groups.iter().filter(|(_, owner)| *owner == from).map(|(group, _)| *group);
            let own: Vec<EngineGroup> = own.collect();
            let Some(owner) = self.state.get_mut(&from) else { continue };
            let mut capacities = Vec::new();
            for group in own {
                let of_group = self.registry.headroom(group, |_| owner.typical, now);
                capacities.extend(of_group.into_iter().map(|(s, capacity)| (group, s, capacity)));
            }
            owner.table.expire(&self.owners, now);
            let offers = headroom::offers(
                &owner.table,
                &mut owner.announcer,
                &capacities,
                &self.owners,
                now,
            );
            for entry in offers.iter().flat_map(|offer| &offer.entries) {
                let capacity = capacities.iter().find(|(group, ..)| *group == entry.group);
                let (_, _, capacity) = capacity.expect("it is announced");
                let announced = usize::from(capacity.requests);
                self.sent.insert((entry.group, now), Sent { announced, named: 0 });
            }
            let sequence = owner.announcer.sequence();
            for offer in offers {
                if offer.receiver == from {
                    self.schedule(now, Event::Announced { from, offer, at: now });
                    continue;
                }
                let announcement = HeadroomAnnouncement { sequence, groups: offer.entries.clone() };
                self.count_bytes("headroom", 1, &Message::Headroom(announcement));
                if self.lost <= self.rng.random_range(0..100) {
                    self.schedule(now + DELAY, Event::Announced { from, offer, at: now });
                }
            }
        }
    }

    fn all_groups(&self) -> Vec<(EngineGroup, IpAddr)> {
        let of_box = |ip: IpAddr| {
            let groups = self.owners.groups_of(ip).filter(move |(_, o)| o.owner == ip);
            groups.map(|(group, o)| (group, o.owner)).collect::<Vec<_>>()
        };
        self.owners.owner_boxes().into_iter().flat_map(of_box).collect()
    }

    fn is_idle(&self, group: EngineGroup) -> bool {
        let of_group = self.registry.engines_in_group(group).map(|l| self.index[&l.name]);
        let mut open = of_group.filter(|n| self.closed_zone != Some(n % ZONES)).peekable();
        open.peek().is_some() && open.all(|n| self.engines[n].running == 0)
    }

    fn is_fifth_free(&self, now: Duration) -> bool {
        let now = now.as_secs_f64();
        let is_open = |n: &usize| self.closed_zone != Some(n % ZONES);
        let open: Vec<usize> = (0..self.engines.len()).filter(is_open).collect();
        let is_free = |n: &&usize| {
            let engine = &self.engines[**n];
            engine.free_at <= now && engine.running < LIMITS.slots as usize
        };
        open.len() <= 5 * open.iter().filter(is_free).count()
    }

    fn close_zone(&mut self, zone: usize) {
        self.closed_zone = Some(zone);
        self.registry.set_closed_zones(BTreeSet::from([zone_name(zone)]));
    }

    /// Sends a request like the proxy does.
    fn send(&mut self, request: u64, prompt: &Prompt, now: Duration) {
        let mut query = query(request, prompt);
        let (mut asked, mut returns_to_first) = (Vec::new(), false);
        let has_headroom = self.has_headroom;
        let attempts = Attempts {
            count: 0,
            last: None,
            passed: Duration::ZERO,
            target_latency: LATENCY_TARGET,
            has_headroom,
        };
        let mut next = redirect::next_group(attempts);
        while let Some(step) = next {
            let by_hash = || {
                redirect::group_by_hash(
                    &self.registry,
                    &self.owners,
                    &query,
                    &asked,
                    returns_to_first,
                )
            };
            let Some(group) = step.named.or_else(by_hash) else { break };
            (query.group, query.is_last_group) = (Some(group), step.is_last());
            query.purpose = step.purpose(Purpose::Place);
            asked.push(group);
            self.outcome.redirected += usize::from(step.named.is_some());
            let result = self.ask(&query, group, now);
            let denial = match result {
                Ok(choice) => {
                    self.outcome.redirected_placed += usize::from(step.named.is_some());
                    return self.start(request, prompt, &choice, now);
                }
                Err(denial) => denial,
            };
            if denial.may_try_other_groups {
                query.source = denial.source.or(query.source);
            }
            returns_to_first = returns_to_first || redirect::was_acceptable(&denial);
            let last = Some(Asked::Denied(&denial));
            next = redirect::next_group(Attempts { count: asked.len(), last, ..attempts });
        }
        self.outcome.refused += 1;
        self.outcome.refused_beside_free += usize::from(self.is_fifth_free(now));
    }

    /// The decision of a group's owner.
    fn ask(
        &mut self,
        query: &PlacementQuery<'_>,
        group: EngineGroup,
        now: Duration,
    ) -> Result<Choice, Denial> {
        let ip = self.owners.owners_of(group).expect("the group is known").owner;
        let owner = self.state.get_mut(&ip).expect("the box is an owner");
        let (has_headroom, owners, rng) = (self.has_headroom, &self.owners, &mut self.rng);
        let table = &mut owner.table;
        let redirect = |registry: &UpstreamRegistry, obstacle: Obstacle<'_>| {
            let mut alternatives =
                Alternatives { headroom: table, owners, is_unresponsive: &|_| false, rng };
            has_headroom.then(|| alternatives.claim(registry, query, obstacle, now)).flatten()
        };
        let result =
            admit::admit_or_redirect(&mut self.registry, &mut self.shares, *query, now, redirect);
        match &result {
            Ok(choice) => {
                let Choice { prefill_tokens, .. } = *choice;
                let work = Work::prefill(query.prompt.tokens - prefill_tokens, prefill_tokens);
                let seconds = self.registry.speed(query.service).prefill_seconds(work);
                let tokens = u64::from(query.prompt.tokens + query.prompt.output_tokens_max);
                owner.typical = Some(TypicalRequest::add(owner.typical, seconds, tokens));
            }
            Err(denial) => {
                if let Some(named) = denial.alternative {
                    let sent = self.sent.entry((named, self.received[&(ip, named)])).or_default();
                    sent.named += 1;
                    let beyond = sent.named as i64 - sent.announced as i64;
                    self.outcome.beyond_announced = self.outcome.beyond_announced.max(beyond);
                }
            }
        }
        let message = placement_request(query, group);
        // The standby receives about the same as the owner.
        self.count_bytes("requests", if result.is_ok() { 2 } else { 1 }, &message);
        let response = PlacementResponse {
            request: query.request,
            result: result.clone(),
            recorded_by: Vec::new(),
        };
        self.count_bytes("requests", 1, &Message::PlacementResponse(response));
        result
    }

    /// Runs a request on its engine.
    fn start(&mut self, request: u64, prompt: &Prompt, choice: &Choice, now: Duration) {
        let t = now.as_secs_f64();
        let engine = self.index[&choice.upstream];
        let copied = choice.copied_tokens;
        let state = &mut self.engines[engine];
        let cached = state.cache.cached_tokens(&prompt.parts).max(copied);
        let prefill_tokens = prompt.tokens - cached;
        let own = prompt.parts[1].tokens;
        self.outcome.prefilled_again += u64::from(prefill_tokens.saturating_sub(own));
        let begin = state.free_at.max(t + f64::from(copied) / 400_000.0);
        let (tokens, cached) = (f64::from(prefill_tokens), f64::from(cached));
        let pairs = tokens * (cached + tokens / 2.0) / 1e6;
        // Prefill takes seven tenths of the time; the steps between take the rest.
        state.free_at = begin + (tokens / 51_100.0 + pairs * 0.000_323 + 0.006) / 0.7;
        state.cache.insert(&prompt.parts);
        state.running += 1;
        let first = state.free_at + 0.05;
        self.outcome.placed += 1;
        self.outcome.in_time += usize::from(first - t <= LATENCY_TARGET.as_secs_f64());
        let at = Duration::from_secs_f64;
        self.schedule(at(first) + DELAY, Event::First { engine, request, took: first - t });
        self.schedule(at(first + STREAM_S), Event::End { engine, request });
    }

    fn count_bytes(&mut self, kind: &'static str, receivers: usize, message: &Message) {
        let bytes = postcard::to_stdvec(message).expect("it can be encoded").len();
        *self.outcome.bytes.entry(kind).or_default() += receivers * bytes;
    }
}

/// Requests that have some shared parts in common.
#[derive(Clone, Copy)]
struct Load {
    rate: f64,
    first_part: u64,
    parts: u64,
}

fn query(request: u64, prompt: &Prompt) -> PlacementQuery<'_> {
    PlacementQuery {
        connected: &[],
        is_repeatable: true,
        rank: Rank::default(),
        request,
        service: "assist-llm",
        prompt,
        workspace: None,
        excluded: &[],
        version_filter: VersionFilter::Any,
        target_latency: LATENCY_TARGET,
        waited: Duration::ZERO,
        group: None,
        zone: None,
        sender: None,
        source: None,
        purpose: Purpose::Place,
        is_last_group: false,
        role: Role::Owner,
    }
}

fn placement_request(query: &PlacementQuery<'_>, group: EngineGroup) -> Message {
    Message::PlacementRequest(PlacementRequest {
        connected: Vec::new(),
        is_repeatable: true,
        rank: Rank::default(),
        request: query.request,
        group,
        service: service(),
        prompt: query.prompt.into(),
        workspace: None,
        zone: ZoneName::from("zone-0"),
        excluded: Vec::new(),
        version_filter: VersionFilter::Any,
        latency_target_ms: 900,
        waited_ms: 1,
        source: query.source,
        purpose: query.purpose,
        is_last_group: query.is_last_group,
    })
}

/// Runs `phases`, each with its end in seconds, with and without announcements.
fn compare(phases: &[(f64, &[Load])], before: impl Fn(&mut Fleet, usize)) -> [Outcome; 2] {
    [false, true].map(|has_headroom| {
        let mut fleet = Fleet::new(69, 8, 112, has_headroom);
        let mut from = 1.0;
        for (n, (until, load)) in phases.iter().enumerate() {
            before(&mut fleet, n);
            fleet.run(from, *until, load);
            from = *until;
        }
        println!("announcements: {has_headroom}: {:?}", fleet.outcome);
        fleet.outcome
    })
}

fn assert_room_is_used(without: &Outcome, with: &Outcome) {
    // Otherwise the test doesn't have the load that it is for.
    let (before, after) = (without.refused_beside_free, with.refused_beside_free);
    assert!(without.requests < before * 50, "{before} refused beside free engines");
    assert!(after * 5 < before, "{after} {before}");
    // A caller who is refused while there is room has to come back for nothing.
    let share = with.refused_beside_free as f64 / with.requests as f64;
    assert!(share < 0.01, "{share} refused beside free engines");
    assert!(with.idle_longest <= IDLE_MAX, "idle for {:?}", with.idle_longest);
    assert!(with.in_time * 100 >= with.placed * 97, "{} of {}", with.in_time, with.placed);
    assert_no_herd(with);
}

/// Never more requests than announced plus one for each owner.
fn assert_no_herd(outcome: &Outcome) {
    assert!(outcome.beyond_announced <= outcome.owners, "{outcome:?}");
}

const ROUTE_A: Load = Load { rate: 280.0, first_part: 0, parts: 4 };
const ROUTE_B: Load = Load { rate: 280.0, first_part: 100, parts: 200 };

/// The parts of one route hash to few groups, which refuse while others have nothing to do.
#[test]
fn a_burst_of_one_route_at_2_4_times_its_rate_uses_all_groups() {
    let burst = Load { rate: ROUTE_A.rate * 2.4, ..ROUTE_A };
    let phases: &[(f64, &[Load])] =
        &[(3.0, &[ROUTE_A, ROUTE_B]), (6.0, &[burst, ROUTE_B]), (8.0, &[ROUTE_A, ROUTE_B])];
    let [without, with] = compare(phases, |_, _| {});
    assert_room_is_used(&without, &with);
}

/// All requests with one part hash to one group and the next one.
#[test]
fn one_hot_prompt_part_uses_all_groups() {
    let hot = Load { rate: 450.0, first_part: 7, parts: 1 };
    let [without, with] = compare(&[(2.0, &[ROUTE_B]), (6.0, &[hot])], |_, _| {});
    // Otherwise the test doesn't have the load that it is for.
    assert!(IDLE_MAX < without.idle_longest, "{:?}", without.idle_longest);
    assert_room_is_used(&without, &with);
    let [without, with] = compare(&[(2.0, &[ROUTE_B]), (6.0, &[hot, ROUTE_B])], |_, _| {});
    assert_room_is_used(&without, &with);
}

/// Groups lose unequal parts of their engines when a zone is emptied.
#[test]
fn a_zone_that_is_emptied_leaves_no_group_idle() {
    let load = [Load { rate: 330.0, ..ROUTE_B }, Load { rate: 400.0, parts: 6, ..ROUTE_A }];
    let [without, with] = compare(&[(3.0, &load), (7.0, &load)], |fleet, phase| {
        if phase == 1 {
            fleet.close_zone(1);
        }
    });
    assert_room_is_used(&without, &with);
}

/// A tenth of the announcements is lost: fewer requests find room, and no group gets too many.
#[test]
fn lost_announcements_cause_no_herd() {
    let hot = Load { rate: 450.0, first_part: 7, parts: 1 };
    let mut fleet = Fleet::new(69, 8, 112, true);
    fleet.lost = 10;
    fleet.run(1.0, 2.0, &[ROUTE_B]);
    fleet.run(2.0, 6.0, &[hot, ROUTE_B]);
    println!("{:?}", fleet.outcome);
    assert_no_herd(&fleet.outcome);
    let outcome = &fleet.outcome;
    assert!(outcome.refused_beside_free * 50 < outcome.requests, "{outcome:?}");
}

/// Announcements may cost at most a fifth of what the requests' own messages do.
#[test]
fn announcements_cost_few_bytes_at_69_and_300_boxes() {
    let fleets = [
        (69, 8, 112, 850.0, 4.0),
        (300, 15, 320, 2_200.0, 4.0),
        // All boxes are alike, so many of them are owners.
        (300, 300, 2_560, 15_000.0, 1.0),
    ];
    for (boxes, large, engines, rate, seconds) in fleets {
        let load = [
            Load { rate: rate * 0.6, first_part: 0, parts: engines as u64 / 8 },
            Load { rate: rate * 0.4, first_part: 1_000, parts: 2 * engines as u64 },
        ];
        let mut fleet = Fleet::new(boxes, large, engines, true);
        fleet.run(1.0, 1.0 + seconds, &load);
        let outcome = &fleet.outcome;
        println!("{} redirected, {} refused", outcome.redirected, outcome.refused);
        let bytes = |kind| outcome.bytes.get(kind).copied().unwrap_or_default();
        let per_s = |kind| (bytes(kind) as f64 / seconds) as usize;
        let (announced, requests) = (per_s("headroom"), per_s("requests"));
        println!(
            "{} boxes, {large} of them owners, {engines} engines: {announced} bytes a second for announcements, \
             {requests} for requests",
            fleet.boxes
        );
        assert!(announced * 5 < requests, "{announced} {requests}");
    }
}

/// A table with announcements of all groups but the last, which has none: `requests` each.
fn table(owners: &OwnerTable, requests: u16, now: Duration) -> (HeadroomTable, Vec<EngineGroup>) {
    let mut table = HeadroomTable::default();
    let mut groups = Vec::new();
    for ip in owners.owner_boxes() {
        for (group, group_owners) in owners.groups_of(ip) {
            if group_owners.owner == ip {
                let origin = origin(ip, now);
                table.apply(&announced(group, requests), origin, owners, now).expect("it is valid");
                groups.push(group);
            }
        }
    }
    groups.sort();
    (table, groups)
}

fn announced(group: EngineGroup, requests: u16) -> GroupHeadroom {
    GroupHeadroom { group, service: service(), requests, wait_ms: 0 }
}

/// The origin of an announcement that was made at this time.
fn origin(from: IpAddr, at: Duration) -> Origin {
    Origin { from, sequence: SequenceNumber::at_start(at) }
}

fn claim(
    table: &mut HeadroomTable,
    avoided: EngineGroup,
    leaves_half: bool,
    now: Duration,
) -> Option<EngineGroup> {
    let wait_max = Duration::ZERO;
    let draw = Draw { service: "assist-llm", avoided, preferred: None, wait_max, leaves_half };
    let mut rng = SmallRng::seed_from_u64(3);
    // A draw passes over only a few groups that it may not use.
    (0..20).find_map(|_| table.claim(draw, |_, _| true, &mut rng, now))
}

/// A group whose state is unknown would get requests that it can't take.
#[test]
fn a_stale_announcement_is_not_used() {
    let owners = owners(69, 8, 112);
    let (mut table, groups) = table(&owners, 5, millis(1_000));
    let last = millis(1_000) + ANNOUNCEMENT_MAX_AGE;
    assert!(claim(&mut table, groups[0], false, last - millis(1)).is_some());
    assert_eq!(claim(&mut table, groups[0], false, last), None);
    assert!(table.owners_without_room("assist-llm", last).is_empty());
}

/// Requests sent to the groups of a dead box wait for a timeout.
#[test]
fn an_announcement_of_a_dead_box_is_ignored_and_dropped() {
    let before = owners(69, 8, 112);
    let (mut table, groups) = table(&before, 5, millis(1_000));
    let dead = before.owners_of(groups[1]).expect("it is owned").owner;
    let boxes: Vec<Candidate> = (0..69)
        .map(|n| Candidate {
            ip: ip(n),
            zone: zone_name(n % ZONES),
            cores: if n < 8 { 0.5 } else { 0.12 },
        })
        .filter(|b| b.ip != dead)
        .collect();
    let after = OwnerTable::new(&boxes, 112);
    let late =
        table.apply(&announced(groups[1], 5), origin(dead, millis(1_010)), &after, millis(1_010));
    assert_eq!(late, Err(InvalidAnnouncement::NotOwner));
    table.expire(&after, millis(1_010));
    let mut left = 0;
    while let Some(group) = claim(&mut table, groups[0], false, millis(1_010)) {
        assert_ne!(before.owners_of(group).map(|o| o.owner), Some(dead), "{group}");
        left += 1;
    }
    assert_ne!(left, 0);
}

/// Two boxes that both believe to own a group announce its free capacity twice.
#[test]
fn of_two_boxes_that_announce_a_group_only_its_owner_counts() {
    let owners = owners(69, 8, 112);
    let (mut table, groups) = table(&owners, 2, millis(1_000));
    let group_owners = owners.owners_of(groups[1]).expect("it is owned");
    let standby = group_owners.standby.expect("there is a standby");
    let origin = origin(standby, millis(1_000));
    let second = table.apply(&announced(groups[1], 9), origin, &owners, millis(1_000));
    assert_eq!(second, Err(InvalidAnnouncement::NotOwner));
    let mut claimed = 0;
    while let Some(group) = claim(&mut table, groups[0], false, millis(1_001)) {
        claimed += usize::from(group == groups[1]);
    }
    assert_eq!(claimed, 2);
}

/// The named group's owner and standby don't respond: the request goes on to the next group by
/// hash, and isn't refused for it.
#[test]
fn an_owner_that_dies_after_it_was_named_costs_no_request() {
    let owners = owners(69, 8, 112);
    let (_, groups) = table(&owners, 1, millis(1_000));
    let denial = denial(1.0, Some(groups[1]));
    let named = next_group(1, Asked::Denied(&denial), millis(5));
    let named = named.expect("there is a named group");
    assert_eq!(named, NextGroup { named: Some(groups[1]), further: Further::Named });
    let after = next_group(2, Asked::NoResponse(named), millis(90));
    assert_eq!(after, Some(NextGroup { named: None, further: Further::None }));
    let registry = registry(112, true);
    let prompt = prompt(1, 2, 1_000);
    let query = query(1, &prompt);
    let first = redirect::group_by_hash(&registry, &owners, &query, &[], false);
    let first = first.expect("there are engines");
    let dead = groups.iter().find(|g| **g != first).copied().expect("there are more groups");
    let next = redirect::group_by_hash(&registry, &owners, &query, &[first, dead], false);
    assert!(next.is_some_and(|g| g != dead), "{next:?}");
}

fn denial(share_used: f64, alternative: Option<EngineGroup>) -> Denial {
    Denial {
        retry_after: None,
        cause: ChoiceError::Busy { wait: millis(900) },
        share_used,
        wait_max: millis(600),
        source: None,
        may_try_other_groups: true,
        alternative,
    }
}

fn next_group(count: usize, last: Asked<'_>, passed: Duration) -> Option<NextGroup> {
    redirect::next_group(Attempts {
        count,
        last: Some(last),
        passed,
        target_latency: LATENCY_TARGET,
        has_headroom: true,
    })
}

/// Each group that is asked costs owners time, under load most of all.
#[test]
fn a_third_group_is_asked_only_if_one_with_room_is_named_in_time() {
    let group = EngineGroup::from_hash(1 << 63, 3);
    let next = |count, denial: &Denial, passed| next_group(count, Asked::Denied(denial), passed);
    let ask = |named, further| Some(NextGroup { named, further });
    assert_eq!(next(1, &denial(0.5, None), millis(5)), ask(None, Further::Named));
    assert_eq!(next(1, &denial(0.5, Some(group)), millis(500)), ask(Some(group), Further::None));
    assert_eq!(next(1, &denial(1.2, Some(group)), millis(5)), ask(Some(group), Further::None));
    assert_eq!(next(2, &denial(0.5, Some(group)), millis(5)), ask(Some(group), Further::None));
    assert_eq!(next(3, &denial(0.5, Some(group)), millis(5)), None);
    let counted = Denial { may_try_other_groups: false, ..denial(0.5, None) };
    assert_eq!(next(1, &counted, millis(5)), None);
    assert_eq!(next(2, &counted, millis(5)), None);
}

/// A request that its first group would have placed must not be refused because the group that was
/// named instead has filled up.
#[test]
fn a_request_that_could_have_waited_returns_to_its_first_group() {
    let owners = owners(69, 8, 112);
    let registry = registry(112, true);
    let prompt = prompt(1, 2, 1_000);
    let query = query(1, &prompt);
    let first = redirect::group_by_hash(&registry, &owners, &query, &[], false);
    let first = first.expect("there are engines");
    let (_, groups) = table(&owners, 1, millis(1_000));
    let named = groups.iter().find(|g| **g != first).copied();
    let cause = ChoiceError::Busy { wait: millis(300) };
    let waiting = Denial { cause, ..denial(0.5, named) };
    let second = next_group(1, Asked::Denied(&waiting), millis(5));
    assert_eq!(second, Some(NextGroup { named, further: Further::Any }));
    // Also when little time is left for a third group.
    assert_eq!(next_group(1, Asked::Denied(&waiting), millis(500)), second);
    let third = next_group(2, Asked::Denied(&denial(0.5, None)), millis(8));
    assert_eq!(third, Some(NextGroup { named: None, further: Further::None }));
    let asked = [first, named.expect("there are more groups")];
    assert_eq!(redirect::group_by_hash(&registry, &owners, &query, &asked, true), Some(first));
}

/// Without announcements, groups are asked as in other fleets.
#[test]
fn without_announcements_two_groups_are_asked_by_hash() {
    let attempts = Attempts {
        count: 1,
        last: None,
        passed: millis(5),
        target_latency: LATENCY_TARGET,
        has_headroom: false,
    };
    let denial = denial(0.5, None);
    let last = Some(Asked::Denied(&denial));
    let second = redirect::next_group(Attempts { last, ..attempts });
    assert_eq!(second, Some(NextGroup { named: None, further: Further::None }));
}

/// A faulty box must not draw all requests to itself, nor end this one.
#[test]
fn bad_announcements_change_nothing() {
    let owners = owners(69, 8, 112);
    let (mut table, groups) = table(&owners, 0, millis(1_000));
    let owner = owners.owners_of(groups[1]).expect("it is owned").owner;
    let other_table = EngineGroup::from_hash(0, 9);
    let beyond = EngineGroup::from_hash(u64::MAX, 14);
    let now = millis(1_001);
    for group in [other_table, beyond] {
        let result = table.apply(&announced(group, 3), origin(owner, now), &owners, now);
        assert_eq!(result, Err(InvalidAnnouncement::NoSuchGroup));
    }
    let result = table.apply(&announced(groups[1], u16::MAX), origin(owner, now), &owners, now);
    assert_eq!(result, Err(InvalidAnnouncement::TooMany));
    assert_eq!(claim(&mut table, groups[0], false, now), None);
    // Four billion requests don't even fit the field.
    let groups = vec![announced(groups[1], 0x3fff)];
    let message =
        Message::Headroom(HeadroomAnnouncement { sequence: SequenceNumber::default(), groups });
    let mut buf = postcard::to_stdvec(&message).expect("it can be encoded");
    let at = buf.windows(2).position(|w| w == [0xff, 0x7f]).expect("the amount is there");
    buf.splice(at..at + 2, [0xff, 0xff, 0xff, 0xff, 0x0f]);
    assert!(postcard::from_bytes::<Message>(&buf).is_err());
}

/// Idle engines are of no use to any workspace, also not to one beyond its share; but the others
/// find half of the free capacity still there.
#[test]
fn workspaces_beyond_their_share_leave_half_of_each_offer() {
    let owners = owners(69, 8, 112);
    let (mut table, groups) = table(&owners, 6, millis(1_000));
    let count = |table: &mut HeadroomTable, leaves_half| {
        let claims = || claim(table, groups[0], leaves_half, millis(1_001));
        std::iter::from_fn(claims).count()
    };
    let others = groups.len() - 1;
    assert_eq!(count(&mut table, true), 3 * others);
    assert_eq!(count(&mut table, false), 3 * others);
}

/// The denial of a workspace beyond its share names a group only if that one has free capacity.
#[test]
fn a_workspace_beyond_its_share_goes_on_only_to_a_group_with_room() {
    let owners = owners(69, 8, 112);
    let mut registry = registry(112, true);
    let mut shares = Shares::new(Duration::from_secs(4));
    let now = millis(1_000);
    let (over, within) = (WorkspaceName::from("over"), WorkspaceName::from("within"));
    for _ in 0..10 {
        shares.begin(&over, 100_000, now);
        shares.refuse(&within, 1_000_000, now);
    }
    let prompt = prompt(1, 2, 1_000);
    let group = redirect::group_by_hash(&registry, &owners, &query(1, &prompt), &[], false);
    let group = group.expect("there are engines");
    // Fill the group.
    for request in 0..2_000 {
        let query =
            PlacementQuery { group: Some(group), is_last_group: true, ..query(request, &prompt) };
        _ = admit::admit(&mut registry, &mut shares, query, now);
    }
    for (requests, is_named) in [(0, false), (8, true)] {
        let (mut table, _) = table(&owners, requests, now);
        let query = PlacementQuery {
            group: Some(group),
            workspace: Some(&over),
            ..query(10_000 + u64::from(requests), &prompt)
        };
        let mut rng = SmallRng::seed_from_u64(5);
        let redirect = |registry: &UpstreamRegistry, obstacle: Obstacle<'_>| {
            let mut alternatives = Alternatives {
                headroom: &mut table,
                owners: &owners,
                is_unresponsive: &|_| false,
                rng: &mut rng,
            };
            alternatives.claim(registry, &query, obstacle, now)
        };
        let result = admit::admit_or_redirect(&mut registry, &mut shares, query, now, redirect);
        let denial = result.expect_err("the group is full");
        assert!(1.0 < denial.share_used, "{}", denial.share_used);
        assert_eq!(denial.alternative.is_some(), is_named);
        assert_eq!(denial.may_try_other_groups, is_named);
    }
}

/// Offers add up to what is announced, and at most one request more for each receiver.
#[test]
fn offers_do_not_exceed_what_is_announced() {
    for requests in [0u16, 1, 7, 70, 900] {
        for receivers in [1usize, 2, 15, 256] {
            for without_room in 0..=receivers {
                let offer = |has_room| {
                    usize::from(headroom::offer(requests, receivers, without_room, has_room))
                };
                let sum = offer(false) * without_room + offer(true) * (receivers - without_room);
                assert!(sum <= usize::from(requests) + receivers, "{sum} of {requests}");
                assert!(requests == 0 || 0 < offer(true));
            }
        }
    }
}

/// A decision on a full group must cost the same however many engines there are.
#[test]
fn a_redirect_costs_the_same_with_256_groups() {
    let costs = [112, 2_560].map(|engines| {
        let owners = owners(300, 300, engines);
        let mut registry = registry(engines, true);
        let now = millis(1_000);
        let (mut table, groups) = table(&owners, 3, now);
        let mut shares = Shares::new(Duration::from_secs(4));
        let mut rng = SmallRng::seed_from_u64(5);
        let mut drawn = 0;
        let (mut examined, mut count) = (0, 0);
        for request in 0..600 {
            let prompt = prompt(1, 1_000 + request, 5_000);
            let query = query(request, &prompt);
            let group = redirect::group_by_hash(&registry, &owners, &query, &[], false);
            let query = PlacementQuery { group, ..query };
            let before = registry.examined();
            let redirect = |registry: &UpstreamRegistry, obstacle: Obstacle<'_>| {
                let mut alternatives = Alternatives {
                    headroom: &mut table,
                    owners: &owners,
                    is_unresponsive: &|_| false,
                    rng: &mut rng,
                };
                alternatives.claim(registry, &query, obstacle, now)
            };
            let result = admit::admit_or_redirect(&mut registry, &mut shares, query, now, redirect);
            if result.is_err() {
                examined += registry.examined() - before;
                count += 1;
            }
        }
        for group in &groups {
            let draw = Draw {
                service: "assist-llm",
                avoided: *group,
                preferred: None,
                wait_max: Duration::ZERO,
                leaves_half: true,
            };
            let calls = Cell::new(0);
            let is_usable = |_: EngineGroup, _: IpAddr| {
                calls.set(calls.get() + 1);
                false
            };
            assert_eq!(table.claim(draw, is_usable, &mut rng, now), None);
            drawn = drawn.max(calls.get());
        }
        println!("{engines} engines: {count} denials, {examined} examined, at most {drawn} drawn");
        assert!(drawn <= 8, "{drawn}");
        examined as f64 / f64::from(count)
    });
    assert!(costs[1] < 1.5 * costs[0], "{costs:?}");
}

/// The hash of an engine's name decides its group, in this fake as in the proxy.
#[test]
fn every_engine_is_in_a_group_that_announces() {
    let owners = owners(69, 8, 112);
    let registry = registry(112, true);
    let mut total = 0;
    for group in
        (0..112).map(|n| owners.group(upstream::name_hash(&name(n)))).collect::<BTreeSet<_>>()
    {
        let capacity = registry.headroom(group, |_| None, millis(1_000));
        assert_eq!(capacity.len(), 1);
        total += capacity[0].1.requests;
    }
    assert_eq!(total, 112);
    assert!(registry_without_headroom_announces_nothing(&owners));
}

fn registry_without_headroom_announces_nothing(owners: &OwnerTable) -> bool {
    let registry = registry(112, false);
    (0..112).all(|n| {
        let group = owners.group(upstream::name_hash(&name(n)));
        registry.headroom(group, |_| None, millis(1_000)).is_empty()
    })
}

/// Datagrams may be late or doubled: an old offer must not replace a newer one, and one that has
/// been used must not be renewed.
#[test]
fn a_late_or_doubled_announcement_changes_nothing() {
    let owners = owners(69, 8, 112);
    let (mut table, groups) = table(&owners, 0, millis(1_000));
    let owner = owners.owners_of(groups[1]).expect("it is owned").owner;
    let apply = |table: &mut HeadroomTable, requests, sent, ms| {
        let entry = announced(groups[1], requests);
        table.apply(&entry, origin(owner, millis(sent)), &owners, millis(ms))
    };
    assert_eq!(apply(&mut table, 2, 1_050, 1_060), Ok(()));
    assert_eq!(claim(&mut table, groups[0], false, millis(1_070)), Some(groups[1]));
    assert_eq!(claim(&mut table, groups[0], false, millis(1_070)), Some(groups[1]));
    assert_eq!(apply(&mut table, 2, 1_050, 1_080), Err(InvalidAnnouncement::Older));
    assert_eq!(claim(&mut table, groups[0], false, millis(1_090)), None, "it is used up");
    assert_eq!(apply(&mut table, 0, 1_150, 1_160), Ok(()));
    assert_eq!(apply(&mut table, 9, 1_100, 1_170), Err(InvalidAnnouncement::Older));
    // Also once what the newer one said is too old to be used.
    table.expire(&owners, millis(1_900));
    assert_eq!(apply(&mut table, 9, 1_100, 1_900), Err(InvalidAnnouncement::Older));
    assert_eq!(claim(&mut table, groups[0], false, millis(1_910)), None);
}

/// A box that restarts doesn't know how far it had counted.
#[test]
fn announcements_of_an_earlier_start_are_ignored() {
    let owners = owners(69, 8, 112);
    let (mut table, groups) = table(&owners, 0, millis(1_000));
    let owner = owners.owners_of(groups[1]).expect("it is owned").owner;
    let apply = |table: &mut HeadroomTable, sequence, ms| {
        let origin = Origin { from: owner, sequence };
        table.apply(&announced(groups[1], 1), origin, &owners, millis(ms))
    };
    let mut earlier = Announcer::new(millis(1_000));
    for _ in 0..100 {
        headroom::offers(&table, &mut earlier, &[], &owners, millis(1_000));
    }
    // It has counted for five seconds, which the restart takes too.
    let later = Announcer::new(millis(6_100));
    assert_eq!(apply(&mut table, later.sequence(), 6_100), Ok(()));
    let late = apply(&mut table, earlier.sequence(), 6_110);
    assert_eq!(late, Err(InvalidAnnouncement::Older));
    // A clock that was set back must not silence a box for ever.
    table.expire(&owners, millis(9_100));
    assert_eq!(apply(&mut table, earlier.sequence(), 9_110), Ok(()));
}

/// Numbers wrap around after an hour.
#[test]
fn announcements_are_in_order_when_their_numbers_wrap_around() {
    let owners = owners(69, 8, 112);
    let (mut table, groups) = table(&owners, 0, millis(1_000));
    let owner = owners.owners_of(groups[1]).expect("it is owned").owner;
    let mut sequence = SequenceNumber::at_start(millis(1_050));
    for _ in 0..=u16::MAX {
        let origin = Origin { from: owner, sequence };
        let apply = |table: &mut HeadroomTable| {
            table.apply(&announced(groups[1], 1), origin, &owners, millis(1_050))
        };
        assert_eq!(apply(&mut table), Ok(()));
        assert_eq!(apply(&mut table), Err(InvalidAnnouncement::Older));
        sequence = sequence.next();
    }
}

/// A group whose engines of one service are full still has room for another service.
#[test]
fn a_group_that_is_short_of_one_service_announces_the_others() {
    let owners = owners(69, 8, 112);
    let (mut table, groups) = table(&owners, 0, millis(1_000));
    let other = ServiceName::from("other-llm");
    table.mark_short(groups[0], "assist-llm", millis(1_000));
    let capacity = Capacity { requests: 40, wait: Duration::ZERO };
    let capacities = [service(), other.clone()].map(|service| (groups[0], service, capacity));
    let mut announcer = Announcer::default();
    let offers = headroom::offers(&table, &mut announcer, &capacities, &owners, millis(1_010));
    let entries: Vec<&GroupHeadroom> = offers.iter().flat_map(|offer| &offer.entries).collect();
    let has_room = |service: &ServiceName| {
        let of_service = entries.iter().filter(|entry| entry.service == *service);
        of_service.map(|entry| entry.requests != 0).collect::<BTreeSet<bool>>()
    };
    assert_eq!(has_room(&service()), [false].into());
    assert_eq!(has_room(&other), [true].into());
}

/// Most deployments have no engines with small batches: free capacity isn't looked for there.
#[test]
fn without_small_batches_nothing_is_enabled() {
    let small_batch = SmallBatch { slots_max: 16, headroom: true, ..SmallBatch::default() };
    let state = HeadroomState::new(small_batch, Duration::ZERO);
    assert!(!state.is_enabled());
    let tuning = Tuning { small_batch, ..Tuning::default() };
    let mut registry = UpstreamRegistry::new(zone_name(0), tuning);
    let upsert = |registry: &mut UpstreamRegistry, n, slots| {
        let listed = UpstreamListing { slots, ..listed(n) };
        registry.upsert(listed, Some(EngineLimits { slots, ..LIMITS }));
    };
    upsert(&mut registry, 0, 17);
    assert!(!registry.has_headroom());
    upsert(&mut registry, 1, 16);
    upsert(&mut registry, 1, 16);
    assert!(registry.has_headroom() && registry.has_headroom_of("assist-llm"));
    assert!(!registry.has_headroom_of("other-llm"));
    registry.remove(&name(1));
    assert!(!registry.has_headroom());
    state.set_enabled(registry.has_headroom());
    assert!(!state.is_enabled());
}

/// What an owner knows that is asked to place a request, in the tests of a single redirect.
struct Asking {
    registry: UpstreamRegistry,
    owners: OwnerTable,
    prompt: Prompt,
    waited: Duration,
}

impl Asking {
    fn new(waited: Duration) -> Asking {
        let prompt = prompt(1, 2, 1_000);
        Asking { registry: registry(112, true), owners: owners(69, 8, 112), prompt, waited }
    }

    /// Whether a group is named that has announced this wait, if the asked group has a wait of
    /// `wait_ms` or can't take the request.
    fn is_named(&self, wait_ms: Option<u64>, share_used: f64, announced_ms: u16) -> bool {
        let now = millis(1_000);
        let (mut table, _) = table(&self.owners, 0, now);
        let query = PlacementQuery { waited: self.waited, ..query(1, &self.prompt) };
        let group = redirect::group_by_hash(&self.registry, &self.owners, &query, &[], false);
        let query = PlacementQuery { group, ..query };
        for (group, owner) in self.groups() {
            let entry = GroupHeadroom { wait_ms: announced_ms, ..announced(group, 4) };
            let origin = origin(owner, millis(1_050));
            table.apply(&entry, origin, &self.owners, now).expect("it is valid");
        }
        let placed = || {
            let (mut registry, mut shares) =
                (registry(112, true), Shares::new(Duration::from_secs(4)));
            admit::admit(&mut registry, &mut shares, query, now).expect("engines are idle")
        };
        let choice = wait_ms.map(|ms| Choice { wait: millis(ms), ..placed() });
        let mut alternatives = Alternatives {
            headroom: &mut table,
            owners: &self.owners,
            is_unresponsive: &|_| false,
            rng: &mut SmallRng::seed_from_u64(3),
        };
        let obstacle = Obstacle { choice: choice.as_ref(), share_used };
        alternatives.claim(&self.registry, &query, obstacle, now).is_some()
    }

    fn groups(&self) -> Vec<(EngineGroup, IpAddr)> {
        let owned = self.owners.owner_boxes().into_iter().flat_map(|ip| {
            let groups = self.owners.groups_of(ip).filter(move |(_, o)| o.owner == ip);
            groups.map(move |(group, _)| (group, ip))
        });
        owned.collect()
    }
}

/// A request that waits 150 ms here was sent to a group whose first engine is free in 190 ms.
#[test]
fn a_request_is_not_moved_to_a_longer_wait() {
    let asking = Asking::new(Duration::ZERO);
    assert!(asking.is_named(Some(150), 0.5, 0));
    assert!(asking.is_named(Some(150), 0.5, 150));
    assert!(!asking.is_named(Some(150), 0.5, 190));
    // Less than is worth the way.
    assert!(!asking.is_named(Some(90), 0.5, 0));
}

/// Elsewhere the prompt has to be prefilled anew: one that can't return its first token in time is
/// of no use to its caller, and takes an engine's time from others.
#[test]
fn a_request_that_would_be_late_elsewhere_is_not_sent_there() {
    let asking = Asking::new(Duration::ZERO);
    assert!(asking.is_named(None, 0.5, 0));
    assert!(asking.is_named(None, 0.5, 200));
    assert!(!asking.is_named(None, 0.5, 800));
    let asking = Asking::new(LATENCY_TARGET - millis(100));
    assert!(!asking.is_named(None, 0.5, 0));
}

/// Engines that are idle are of no use to anybody; those that will be free soon are for workspaces
/// within their share.
#[test]
fn workspaces_beyond_their_share_go_only_where_engines_are_idle() {
    let asking = Asking::new(Duration::ZERO);
    assert!(asking.is_named(None, 1.2, 0));
    assert!(!asking.is_named(None, 1.2, 20));
    assert!(asking.is_named(None, 0.9, 20));
    assert!(!asking.is_named(Some(300), 1.2, 0));
}
