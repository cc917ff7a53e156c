//! Plain services whose upstreams would queue for longer than callers care. Load: 64 and 295 boxes, of which some
//! have most of the callers, before four and five upstreams of six slots that work 60 ms on a request and queue 24
//! more; half to one and a half times what they can do, asked of an aim of 300 ms; who is refused comes back once.
//! An upstream whose queue is full answers after 240 ms of waiting, so nobody there is served in time, while
//! each box sees few answers of its own. No network: questions take 1 ms each way, ends are told after 20 ms.

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
const QUEUE: usize = 24;
const AIM: Duration = Duration::from_millis(300);
const WORK: f64 = 0.060;

/// Seconds that are played, the first of which isn't counted.
const SPAN: f64 = 12.0;
const WARM_UP: f64 = 2.0;

/// Seconds that a message takes, and that ends wait to be told together.
const MESSAGE: f64 = 0.001;
const GATHER: f64 = 0.020;

/// Seconds after which who is refused comes back.
const COMES_BACK: f64 = 0.1;

/// Who chooses.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// One box counts what all have at the upstreams.
    Owner,
    /// Each box by its own answers.
    Alone,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// Comes to a box, by number; whether for the second time, and since when.
    Come { sender: usize, again: bool, since: f64 },
    /// Reaches an upstream.
    Reach { upstream: usize, request: u64 },
    /// Is answered.
    Done { upstream: usize, request: u64 },
    /// The counts hear of the end.
    Told { upstream: usize, request: u64, took: f64 },
}

struct Request {
    sender: usize,
    since: f64,
    sent: f64,
}

#[derive(Default)]
struct Real {
    working: u32,
    queue: VecDeque<u64>,
}

#[derive(Debug, Default)]
struct Outcome {
    asked: usize,
    in_aim: usize,
    late: usize,
    turned_away: usize,
    refused: usize,
    /// Moments at which an upstream had a free slot while another one's queue held work for its whole slots.
    idle_beside_work: usize,
}

struct Play {
    way: Way,
    rng: SmallRng,
    /// One for each box, or one for all.
    registries: Vec<UpstreamRegistry>,
    shares: Shares,
    upstreams: Vec<Real>,
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

/// A request of this box, for whoever counts.
fn query(request: u64, zone: &ZoneName) -> PlainQuery<'_> {
    PlainQuery {
        request,
        service: "ledger",
        workspace: None,
        excluded: &[],
        version_filter: VersionFilter::Any,
        target_latency: AIM,
        waited: Duration::ZERO,
        zone,
        sender: None,
    }
}

fn at(now: f64) -> Duration {
    Duration::from_secs_f64(now)
}

impl Play {
    fn run(way: Way, boxes: usize, upstreams: usize, load: f64, seed: u64) -> Outcome {
        let registries = if way == Way::Owner { 1 } else { boxes };
        let mut play = Play {
            way,
            rng: SmallRng::seed_from_u64(seed),
            registries: (0..registries).map(|_| registry(upstreams)).collect(),
            shares: Shares::new(Duration::from_secs(4)),
            upstreams: (0..upstreams).map(|_| Real::default()).collect(),
            requests: BTreeMap::new(),
            events: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            next: 0,
            outcome: Outcome::default(),
        };
        let rate = load * upstreams as f64 * f64::from(SLOTS) / WORK;
        let mut now = 0.0;
        while now < SPAN {
            now -= play.rng.random_range(f64::MIN_POSITIVE..1.0f64).ln() / rate;
            // Half of the requests come to a tenth of the boxes.
            let few = if play.rng.random_bool(0.5) { boxes / 10 } else { boxes };
            let sender = play.rng.random_range(0..few);
            play.schedule(now, Event::Come { sender, again: false, since: now });
        }
        while let Some(Reverse((nanos, key))) = play.events.pop() {
            if let Some(event) = play.scheduled.remove(&key) {
                play.take(nanos as f64 / 1e9, event);
            }
        }
        play.outcome
    }

    fn schedule(&mut self, when: f64, event: Event) {
        self.next += 1;
        self.events.push(Reverse(((when * 1e9) as u64, self.next)));
        self.scheduled.insert(self.next, event);
    }

    fn counts(since: f64) -> bool {
        (WARM_UP..SPAN - 1.0).contains(&since)
    }

    fn take(&mut self, now: f64, event: Event) {
        match event {
            Event::Come { sender, again, since } => self.come(now, sender, again, since),
            Event::Reach { upstream, request } => self.reach(now, upstream, request),
            Event::Done { upstream, request } => self.done(now, upstream, request),
            Event::Told { upstream, request, took } => {
                let registry = &mut self.registries[0];
                registry.record_first_token(&name(upstream), request, Some(at(took)), at(now));
                registry.remove_request(&name(upstream), request);
            }
        }
    }

    fn come(&mut self, now: f64, sender: usize, again: bool, since: f64) {
        self.outcome.asked += usize::from(!again && Play::counts(since));
        self.next += 1;
        let request = self.next;
        let Some(choice) = self.choose(now, request, sender) else {
            self.outcome.refused += usize::from(Play::counts(since));
            if !again {
                let jitter = self.rng.random_range(0.0..0.02);
                let event = Event::Come { sender, again: true, since };
                self.schedule(now + COMES_BACK + jitter, event);
            }
            return;
        };
        let upstream = (0..).find(|n| name(*n) == choice.upstream).expect("it is one of them");
        let delay = if self.way == Way::Owner { 2.0 * MESSAGE } else { 0.0 };
        self.requests.insert(request, Request { sender, since, sent: now + delay });
        self.schedule(now + delay + MESSAGE, Event::Reach { upstream, request });
    }

    fn choose(&mut self, now: f64, request: u64, sender: usize) -> Option<Choice> {
        if self.way == Way::Alone {
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
        let real = &mut self.upstreams[upstream];
        if QUEUE <= real.queue.len() {
            self.outcome.turned_away += 1;
            self.ended(now, upstream, request, Some(Health::Failed));
            return;
        }
        real.queue.push_back(request);
        let is_long = SLOTS as usize <= real.queue.len();
        let has_idle = self.upstreams.iter().any(|u| u.working < SLOTS && u.queue.is_empty());
        self.outcome.idle_beside_work += usize::from(is_long && has_idle);
        self.work(now, upstream);
    }

    fn work(&mut self, now: f64, upstream: usize) {
        while self.upstreams[upstream].working < SLOTS {
            let Some(request) = self.upstreams[upstream].queue.pop_front() else { return };
            self.upstreams[upstream].working += 1;
            let took = WORK * self.rng.random_range(0.8..1.2);
            self.schedule(now + took, Event::Done { upstream, request });
        }
    }

    fn done(&mut self, now: f64, upstream: usize, request: u64) {
        self.upstreams[upstream].working -= 1;
        let answered = now + MESSAGE;
        let Some(Request { since, sent, .. }) = self.requests.get(&request) else { return };
        let (since, took) = (*since, answered - sent);
        if Play::counts(since) {
            match answered - since <= AIM.as_secs_f64() {
                true => self.outcome.in_aim += 1,
                false => self.outcome.late += 1,
            }
        }
        self.ended(now, upstream, request, Some(Health::Good(at(took))));
        self.work(now, upstream);
    }

    fn ended(&mut self, now: f64, upstream: usize, request: u64, health: Option<Health>) {
        let Some(Request { sender, sent, .. }) = self.requests.remove(&request) else { return };
        if self.way == Way::Alone {
            self.registries[sender].request_ended(&name(upstream), health, at(now));
            return;
        }
        let took = now - sent;
        self.schedule(now + GATHER + MESSAGE, Event::Told { upstream, request, took });
    }
}

/// What can be answered a second, of what is asked a second: in the time that is counted.
fn goodput(outcome: &Outcome, upstreams: usize) -> f64 {
    let capacity = upstreams as f64 * f64::from(SLOTS) / WORK * (SPAN - 1.0 - WARM_UP);
    outcome.in_aim as f64 / capacity
}

#[test]
fn a_plain_service_serves_what_it_can_however_much_is_asked() {
    for (boxes, upstreams) in [(64, 4), (295, 5)] {
        for load in [0.5, 0.8, 0.9, 1.0, 1.2, 1.5] {
            let outcome = Play::run(Way::Owner, boxes, upstreams, load, 7);
            let what = format!("{boxes} boxes, load {load}: {outcome:?}");
            assert_eq!(outcome.turned_away, 0, "{what}");
            let wanted = f64::min(load * 0.99, 0.95);
            assert!(wanted <= goodput(&outcome, upstreams), "{what}");
            assert!(outcome.late * 100 <= outcome.asked, "{what}");
            assert!(outcome.idle_beside_work * 1000 <= outcome.asked, "{what}");
        }
    }
}

/// What it answers: boxes that choose by their own answers fill the queues.
#[test]
fn boxes_that_choose_alone_serve_less() {
    for (boxes, upstreams) in [(64, 4), (295, 5)] {
        let alone = Play::run(Way::Alone, boxes, upstreams, 1.5, 7);
        let owned = Play::run(Way::Owner, boxes, upstreams, 1.5, 7);
        let [alone, owned] = [&alone, &owned].map(|outcome| goodput(outcome, upstreams));
        assert!(1.2 * alone < owned, "{boxes} boxes: {alone} alone, {owned} by the owner");
    }
}

/// Load: an aim of a hundred times the work, and more requests than any queue holds.
#[test]
fn an_upstreams_queue_isnt_filled_however_long_the_aim() {
    let (mut registry, mut shares) = (registry(1), Shares::new(Duration::from_secs(4)));
    let zone = ZoneName::from("a");
    let mut admitted = 0;
    for request in 0..100 {
        let query = PlainQuery { target_latency: Duration::from_secs(5), ..query(request, &zone) };
        admitted += u32::from(plain::admit(&mut registry, &mut shares, query, at(1.0)).is_ok());
    }
    assert_eq!(admitted, 3 * SLOTS);
}

/// Load: two workspaces, of which one asks for four times as much as the other; together twice what can be done.
#[test]
fn a_workspace_beyond_its_share_gives_way() {
    let (mut registry, mut shares) = (registry(1), Shares::new(Duration::from_secs(4)));
    let zone = ZoneName::from("a");
    let names = ["many", "few"].map(WorkspaceName::from);
    let mut served = [0, 0];
    let mut running = VecDeque::new();
    // 100 requests a second can be worked on: one ends every ten milliseconds.
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
    // The one that asks for 40 a second, less than half of what there is, gets nearly all of it.
    assert!(320 * 9 / 10 <= served[1], "{served:?}");
    assert!(350 <= served[0], "{served:?}");
}

/// Load: all boxes have been killed and start again; while owners change, one hears of beginnings whose ends are told to
/// others. Eighteen of them kept everybody out for twenty seconds.
#[test]
fn what_is_counted_in_vain_keeps_nobody_out() {
    let zone = ZoneName::from("a");
    let admit = |registry: &mut UpstreamRegistry, request, now| {
        let mut shares = Shares::new(Duration::from_secs(4));
        let query = query(request, &zone);
        plain::admit(registry, &mut shares, query, at(now)).is_ok()
    };
    let mut registry = registry(1);
    (0..18).for_each(|request| registry.begin_plain(&name(0), request, None, at(1.0)));
    assert!(!admit(&mut registry, 100, 1.5));
    registry.expire(at(3.1));
    assert!(admit(&mut registry, 101, 3.1), "what has no end for long is forgotten");
}
