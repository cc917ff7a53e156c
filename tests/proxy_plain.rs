//! Plain services whose upstreams would queue requests for longer than callers can wait.
//!
//! Load: 64 and 295 boxes, a tenth of which have most of the callers, and four and five upstreams
//! of six slots that take 60 ms for a request and queue 24 more. Callers send half to one and a
//! half times what the upstreams can serve, with a target latency of 300 ms; a refused caller
//! retries once. An upstream whose queue is full responds after 240 ms of waiting, so none of its
//! callers is served in time, while each box sees few responses of its own. No network: requests to
//! an owner take 1 ms each way, ends are reported after 20 ms.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use frostdyke::fleet::rollout::VersionFilter;
use frostdyke::names::ServiceName;
use frostdyke::names::UpstreamName;
use frostdyke::names::VersionName;
use frostdyke::names::WorkspaceName;
use frostdyke::names::ZoneName;
use frostdyke::placement::choice::Choice;
use frostdyke::placement::choice::SelectionCriteria;
use frostdyke::placement::cold::Role;
use frostdyke::placement::plain;
use frostdyke::placement::plain::PlainQuery;
use frostdyke::placement::registry::UpstreamRegistry;
use frostdyke::placement::share::Shares;
use frostdyke::placement::tuning::Tuning;
use frostdyke::placement::upstream::Health;
use frostdyke::proxy::adapter::UpstreamListing;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SLOTS: u32 = 6;
const QUEUE_MAX: usize = 24;
const LATENCY_TARGET: Duration = Duration::from_millis(300);
const SERVICE_TIME_S: f64 = 0.060;

/// Simulated seconds; the first ones, `WARM_UP_S`, aren't counted.
const DURATION_S: f64 = 12.0;
const WARM_UP_S: f64 = 2.0;

/// Seconds that a message takes, and for which ends of requests are collected into one report.
const MESSAGE_DELAY_S: f64 = 0.001;
const REPORT_DELAY_S: f64 = 0.020;

/// Seconds after which a refused caller retries.
const RETRY_DELAY_S: f64 = 0.1;

/// Which box chooses the upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ChoosingBox {
    /// One box counts the requests of all boxes at the upstreams.
    Owner,
    /// Each box, by the responses that it has received itself.
    Sender,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// Arrives at box number `sender`; `first_at` is the time of the first attempt.
    Arrive { sender: usize, is_retry: bool, first_at: f64 },
    /// Reaches the upstream.
    Reach { upstream: usize, request: u64 },
    /// The upstream responds.
    Respond { upstream: usize, request: u64 },
    /// The owner receives the report of the end.
    EndReported { upstream: usize, request: u64, took: f64 },
}

struct Request {
    sender: usize,
    first_at: f64,
    sent_at: f64,
}

#[derive(Default)]
struct UpstreamState {
    running: u32,
    queue: VecDeque<u64>,
}

#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    in_time: usize,
    late: usize,
    rejected: usize,
    refused: usize,
    /// Arrivals while an upstream had a free slot and another's queue could fill all its slots.
    idle_while_queued: usize,
}

struct Simulation {
    choosing_box: ChoosingBox,
    rng: SmallRng,
    /// One for each box, or one for all.
    registries: Vec<UpstreamRegistry>,
    shares: Shares,
    upstreams: Vec<UpstreamState>,
    requests: BTreeMap<u64, Request>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: BTreeMap<u64, Event>,
    next: u64,
    outcome: Outcome,
}

fn name(n: usize) -> UpstreamName {
    UpstreamName::from(&*format!("u{n}"))
}

fn registry(upstreams: usize) -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::new(ZoneName::from("a"), Tuning::default());
    for n in 0..upstreams {
        let listed = UpstreamListing {
            name: name(n),
            service: ServiceName::from("ledger"),
            addr: ([127, 0, 0, n as u8 + 1], 80).into(),
            zone: ZoneName::from(["a", "b", "c"][n % 3]),
            version: VersionName::from("v1"),
            slots: SLOTS,
            started_at_ms: None,
            leaving: false,
            cold_for: None,
        };
        registry.upsert(listed, None);
    }
    registry
}

/// A request as its box submits it for admission.
fn query(request: u64, zone: &ZoneName) -> PlainQuery<'_> {
    PlainQuery {
        request,
        service: "ledger",
        workspace: None,
        excluded: &[],
        version_filter: VersionFilter::Any,
        target_latency: LATENCY_TARGET,
        waited: Duration::ZERO,
        zone,
        sender: None,
        is_repeatable: true,
        role: Role::Owner,
    }
}

fn at(now: f64) -> Duration {
    Duration::from_secs_f64(now)
}

impl Simulation {
    fn run(
        choosing_box: ChoosingBox,
        boxes: usize,
        upstreams: usize,
        load: f64,
        seed: u64,
    ) -> Outcome {
        let registries = if choosing_box == ChoosingBox::Owner { 1 } else { boxes };
        let mut simulation = Simulation {
            choosing_box,
            rng: SmallRng::seed_from_u64(seed),
            registries: (0..registries).map(|_| registry(upstreams)).collect(),
            shares: Shares::new(Duration::from_secs(4)),
            upstreams: (0..upstreams).map(|_| UpstreamState::default()).collect(),
            requests: BTreeMap::new(),
            events: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            next: 0,
            outcome: Outcome::default(),
        };
        let rate = load * upstreams as f64 * f64::from(SLOTS) / SERVICE_TIME_S;
        let mut now = 0.0;
        while now < DURATION_S {
            now -= simulation.rng.random_range(f64::MIN_POSITIVE..1.0f64).ln() / rate;
            // Half of the requests come to a tenth of the boxes.
            let few = if simulation.rng.random_bool(0.5) { boxes / 10 } else { boxes };
            let sender = simulation.rng.random_range(0..few);
            simulation.schedule(now, Event::Arrive { sender, is_retry: false, first_at: now });
        }
        while let Some(Reverse((nanos, key))) = simulation.events.pop() {
            if let Some(event) = simulation.scheduled.remove(&key) {
                simulation.handle(nanos as f64 / 1e9, event);
            }
        }
        simulation.outcome
    }

    fn schedule(&mut self, when: f64, event: Event) {
        self.next += 1;
        self.events.push(Reverse(((when * 1e9) as u64, self.next)));
        self.scheduled.insert(self.next, event);
    }

    fn is_counted(first_at: f64) -> bool {
        (WARM_UP_S..DURATION_S - 1.0).contains(&first_at)
    }

    fn handle(&mut self, now: f64, event: Event) {
        match event {
            Event::Arrive { sender, is_retry, first_at } => {
                self.arrive(now, sender, is_retry, first_at)
            }
            Event::Reach { upstream, request } => self.reach(now, upstream, request),
            Event::Respond { upstream, request } => self.respond(now, upstream, request),
            Event::EndReported { upstream, request, took } => {
                let registry = &mut self.registries[0];
                registry.record_first_token(&name(upstream), request, Some(at(took)), at(now));
                registry.remove_request(&name(upstream), request);
            }
        }
    }

    fn arrive(&mut self, now: f64, sender: usize, is_retry: bool, first_at: f64) {
        self.outcome.requests += usize::from(!is_retry && Simulation::is_counted(first_at));
        self.next += 1;
        let request = self.next;
        let Some(choice) = self.choose(now, request, sender) else {
            self.outcome.refused += usize::from(Simulation::is_counted(first_at));
            if !is_retry {
                let jitter = self.rng.random_range(0.0..0.02);
                let event = Event::Arrive { sender, is_retry: true, first_at };
                self.schedule(now + RETRY_DELAY_S + jitter, event);
            }
            return;
        };
        let upstream = (0..).find(|n| name(*n) == choice.upstream).expect("it is one of them");
        let delay =
            if self.choosing_box == ChoosingBox::Owner { 2.0 * MESSAGE_DELAY_S } else { 0.0 };
        self.requests.insert(request, Request { sender, first_at, sent_at: now + delay });
        self.schedule(now + delay + MESSAGE_DELAY_S, Event::Reach { upstream, request });
    }

    fn choose(&mut self, now: f64, request: u64, sender: usize) -> Option<Choice> {
        if self.choosing_box == ChoosingBox::Sender {
            let wanted = SelectionCriteria::any("ledger", None, &[], Duration::MAX);
            let choice = self.registries[sender].choose(wanted, at(now)).ok()?;
            self.registries[sender].request_sent(&choice.upstream);
            return Some(choice);
        }
        let zone = ZoneName::from("a");
        let query = query(request, &zone);
        plain::admit(&mut self.registries[0], &mut self.shares, query, at(now)).ok()
    }

    fn reach(&mut self, now: f64, upstream: usize, request: u64) {
        let state = &mut self.upstreams[upstream];
        if QUEUE_MAX <= state.queue.len() {
            self.outcome.rejected += 1;
            self.report_end(now, upstream, request, Some(Health::Failed));
            return;
        }
        state.queue.push_back(request);
        let is_long = SLOTS as usize <= state.queue.len();
        let has_idle = self.upstreams.iter().any(|u| u.running < SLOTS && u.queue.is_empty());
        self.outcome.idle_while_queued += usize::from(is_long && has_idle);
        self.start_queued(now, upstream);
    }

    fn start_queued(&mut self, now: f64, upstream: usize) {
        while self.upstreams[upstream].running < SLOTS {
            let Some(request) = self.upstreams[upstream].queue.pop_front() else { return };
            self.upstreams[upstream].running += 1;
            let took = SERVICE_TIME_S * self.rng.random_range(0.8..1.2);
            self.schedule(now + took, Event::Respond { upstream, request });
        }
    }

    fn respond(&mut self, now: f64, upstream: usize, request: u64) {
        self.upstreams[upstream].running -= 1;
        let responded_at = now + MESSAGE_DELAY_S;
        let Some(Request { first_at, sent_at, .. }) = self.requests.get(&request) else { return };
        let (first_at, took) = (*first_at, responded_at - sent_at);
        if Simulation::is_counted(first_at) {
            match responded_at - first_at <= LATENCY_TARGET.as_secs_f64() {
                true => self.outcome.in_time += 1,
                false => self.outcome.late += 1,
            }
        }
        self.report_end(now, upstream, request, Some(Health::Good(at(took))));
        self.start_queued(now, upstream);
    }

    fn report_end(&mut self, now: f64, upstream: usize, request: u64, health: Option<Health>) {
        let Some(Request { sender, sent_at, .. }) = self.requests.remove(&request) else { return };
        if self.choosing_box == ChoosingBox::Sender {
            self.registries[sender].request_ended(&name(upstream), health, at(now));
            return;
        }
        let took = now - sent_at;
        self.schedule(
            now + REPORT_DELAY_S + MESSAGE_DELAY_S,
            Event::EndReported { upstream, request, took },
        );
    }
}

/// Requests served within the target latency, as a share of the upstreams' capacity, in the time
/// that is counted.
fn goodput(outcome: &Outcome, upstreams: usize) -> f64 {
    let capacity =
        upstreams as f64 * f64::from(SLOTS) / SERVICE_TIME_S * (DURATION_S - 1.0 - WARM_UP_S);
    outcome.in_time as f64 / capacity
}

/// With one owner counting the requests at each upstream, overload must neither fill the queues nor
/// leave slots idle.
#[test]
fn a_plain_service_serves_its_capacity_at_any_load() {
    for (boxes, upstreams) in [(64, 4), (295, 5)] {
        for load in [0.5, 0.8, 0.9, 1.0, 1.2, 1.5] {
            let outcome = Simulation::run(ChoosingBox::Owner, boxes, upstreams, load, 7);
            let what = format!("{boxes} boxes, load {load}: {outcome:?}");
            assert_eq!(outcome.rejected, 0, "{what}");
            let wanted = f64::min(load * 0.99, 0.95);
            assert!(wanted <= goodput(&outcome, upstreams), "{what}");
            assert!(outcome.late * 100 <= outcome.requests, "{what}");
            assert!(outcome.idle_while_queued * 1000 <= outcome.requests, "{what}");
        }
    }
}

/// The reason for owners: boxes that know only their own responses fill the queues.
#[test]
fn boxes_that_choose_by_themselves_serve_less() {
    for (boxes, upstreams) in [(64, 4), (295, 5)] {
        let alone = Simulation::run(ChoosingBox::Sender, boxes, upstreams, 1.5, 7);
        let owned = Simulation::run(ChoosingBox::Owner, boxes, upstreams, 1.5, 7);
        let [alone, owned] = [&alone, &owned].map(|outcome| goodput(outcome, upstreams));
        assert!(1.2 * alone < owned, "{boxes} boxes: {alone} alone, {owned} by the owner");
    }
}

/// Load: a target latency of about a hundred times the service time, and more requests than any
/// queue holds.
#[test]
fn an_upstreams_queue_is_bounded_whatever_the_target_latency() {
    let (mut registry, mut shares) = (registry(1), Shares::new(Duration::from_secs(4)));
    let zone = ZoneName::from("a");
    let mut admitted = 0;
    for request in 0..100 {
        let query = PlainQuery { target_latency: Duration::from_secs(5), ..query(request, &zone) };
        admitted += u32::from(plain::admit(&mut registry, &mut shares, query, at(1.0)).is_ok());
    }
    assert_eq!(admitted, 3 * SLOTS);
}

/// Load: two workspaces, one of which sends four times as much as the other; together twice the
/// capacity.
#[test]
fn a_workspace_over_its_share_yields_to_others() {
    let (mut registry, mut shares) = (registry(1), Shares::new(Duration::from_secs(4)));
    let zone = ZoneName::from("a");
    let names = ["many", "few"].map(WorkspaceName::from);
    let mut served = [0, 0];
    let mut running = VecDeque::new();
    // The capacity is 100 requests a second: one ends every ten milliseconds.
    for request in 0..1_600 {
        let now = 0.005 * request as f64;
        if request % 2 == 0
            && let Some(ended) = running.pop_front()
        {
            registry.remove_request(&name(0), ended);
        }
        let who = usize::from(request % 5 == 0);
        let query = PlainQuery { workspace: Some(&names[who]), ..query(request, &zone) };
        if plain::admit(&mut registry, &mut shares, query, at(now)).is_ok() {
            served[who] += 1;
            running.push_back(request);
        }
    }
    // The one that sends 40 a second, less than half of the capacity, gets nearly all of them
    // served.
    assert!(320 * 9 / 10 <= served[1], "{served:?}");
    assert!(350 <= served[0], "{served:?}");
}

/// All boxes have been killed and restart. While owners change, one box receives the starts of
/// requests whose ends are reported to others. Eighteen of them blocked all callers for twenty
/// seconds.
#[test]
fn requests_whose_end_is_never_reported_expire() {
    let zone = ZoneName::from("a");
    let admit = |registry: &mut UpstreamRegistry, request, now| {
        let mut shares = Shares::new(Duration::from_secs(4));
        let query = query(request, &zone);
        let placed = plain::admit(registry, &mut shares, query, at(now));
        placed.is_ok_and(|choice| !choice.is_probe)
    };
    let mut registry = registry(1);
    (0..18).for_each(|request| registry.begin_plain(&name(0), request, None, at(1.0)));
    assert!(!admit(&mut registry, 100, 1.5));
    registry.expire(at(3.1));
    assert!(admit(&mut registry, 101, 3.1), "requests without a reported end expire");
}
