//! All upstreams that this box knows, and the choice of one for a request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::owners::Group;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::ZoneName;
use crate::placement::choice::Choice;
use crate::placement::choice::NoChoice;
use crate::placement::choice::Source;
use crate::placement::choice::Wanted;
use crate::placement::engine::Engine;
use crate::placement::engine::Placement;
use crate::placement::plain;
use crate::placement::speed::Speed;
use crate::placement::speed::Work;
use crate::placement::tuning::Tuning;
use crate::placement::upstream::Context;
use crate::placement::upstream::Health;
use crate::placement::upstream::Plan;
use crate::placement::upstream::Upstream;
use crate::proxy::dialect::Listed;
use crate::proxy::dialect::Part;
use crate::proxy::dialect::Prompt;
use crate::proxy::table::EngineLimits;

/// Preferences for the engines to which a prompt's shared parts belong by their hash, the first one
/// first. Boxes that know nothing yet, or not of each other's requests, send them to the same engine;
/// and when the first is busy, they are copied to the same few engines, not to all by turns. Never
/// more than the time to read the shared parts.
const HOME_LEADS: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(160), Duration::from_millis(160)];

/// Engines whose mean wait is this part of the longest that is accepted are as busy as can be. At a third
/// workspaces beyond their share took too much from the others: three small fleets served 0.892, 0.908 and
/// 0.898 with a tenth and 0.890, 0.903, 0.896 with a third, 0.873, 0.901, 0.893 with all of it.
const BUSY_FROM: f64 = 0.1;

/// While engines are less busy than this, any of them may be chosen: to copy shared parts then takes from
/// nobody.
const SPARE: f64 = 0.25;

/// Upstreams of a plain service that answer within the same step of time are as good as each other.
const PLAIN_STEP: Duration = Duration::from_millis(10);

/// What a box has learned of engines, for one that has just started.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    /// What engines keep.
    pub kept: Vec<Kept>,
    /// How fast those of a service read.
    pub speeds: Vec<(ServiceName, Speed)>,
}

/// What an engine is believed to keep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    /// The engine.
    pub upstream: UpstreamName,
    /// Parts of prompts, those unused longest first.
    pub parts: Vec<Part>,
}

/// An upstream that a request may go to.
struct Candidate<'a> {
    upstream: &'a Upstream,
    /// Nothing for plain services.
    plan: Option<Plan>,
    /// What sending the request there costs, in seconds.
    cost: f64,
}

impl Candidate<'_> {
    fn wait(&self) -> Duration {
        self.plan.as_ref().map_or(Duration::ZERO, |p| p.wait)
    }
}

/// All upstreams that this box knows.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneName,
    tuning: Tuning,
    /// How fast engines read, where some have told.
    speeds: BTreeMap<ServiceName, Speed>,
    /// The same where none has.
    speed_unknown: Speed,
    upstreams: BTreeMap<UpstreamName, Upstream>,
    /// Zones whose upstreams get nothing.
    closed: BTreeSet<ZoneName>,
}

impl Fleet {
    /// Nothing is known yet.
    pub fn new(zone: ZoneName, tuning: Tuning) -> Fleet {
        Fleet {
            zone,
            tuning,
            speeds: BTreeMap::new(),
            speed_unknown: Speed::new(&tuning),
            upstreams: BTreeMap::new(),
            closed: BTreeSet::new(),
        }
    }

    /// Takes over an upstream that is new or has changed. `limits` where it is an engine.
    pub fn set(&mut self, listed: Listed, limits: Option<EngineLimits>) {
        if let Some(known) = self.upstreams.get_mut(&listed.name) {
            known.listed = listed;
            if known.engine.is_none() {
                known.engine = limits.map(Engine::new);
            }
            return;
        }
        let engine = limits.map(Engine::new);
        let upstream = Upstream::new(listed, engine);
        self.upstreams.insert(upstream.listed.name.clone(), upstream);
    }

    /// Notes that an upstream is cold for so long, or for as long as after a start if nothing is known. True
    /// where that is news.
    pub fn chill(
        &mut self,
        name: &UpstreamName,
        cold_for: Option<Duration>,
        now: Duration,
    ) -> bool {
        self.engine(name).is_some_and(|engine| engine.chill(cold_for, now))
    }

    /// The upstreams of these zones get nothing from now on, and those of all others may.
    pub fn close(&mut self, zones: BTreeSet<ZoneName>) {
        self.closed = zones;
    }

    /// Engines of a zone may just have started, all of them.
    pub fn chill_zone(&mut self, zone: &ZoneName, now: Duration) {
        let of_zone = self.upstreams.values_mut().filter(|u| u.listed.zone == *zone);
        of_zone.filter_map(|u| u.engine.as_mut()).for_each(|engine| {
            engine.chill(None, now);
        });
    }

    /// Whether the upstream is an engine that bears less than usual after a start.
    pub fn may_be_cold(&self, name: &UpstreamName) -> bool {
        let engine = self.upstreams.get(name).and_then(|u| u.engine.as_ref());
        engine.is_some_and(|engine| engine.limits().cold.is_some())
    }

    /// Cold engines of a group get nothing before `until`.
    pub fn hold_cold(&mut self, group: Group, until: Duration) {
        let of_group = self.upstreams.values_mut().filter(|u| group.has(u.hash));
        of_group.filter_map(|u| u.engine.as_mut()).for_each(|e| e.hold_if_cold(until));
    }

    /// All upstreams, as they are to be told to another box.
    pub fn told(&self, now: Duration) -> Vec<Listed> {
        self.upstreams.values().map(|u| u.told(now)).collect()
    }

    /// Forgets an upstream.
    pub fn remove(&mut self, name: &UpstreamName) {
        self.upstreams.remove(name);
    }

    /// Marks an upstream as leaving.
    pub fn leave(&mut self, name: &UpstreamName) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.listed.leaving = true;
        }
    }

    /// All upstreams, as listed.
    pub fn listed(&self) -> impl Iterator<Item = &Listed> {
        self.upstreams.values().map(|u| &u.listed)
    }

    /// An upstream, as listed.
    pub fn get(&self, name: &UpstreamName) -> Option<&Listed> {
        self.upstreams.get(name).map(|u| &u.listed)
    }

    /// Whether an upstream is a model's engine.
    pub fn is_engine(&self, name: &UpstreamName) -> bool {
        self.upstreams.get(name).is_some_and(|u| u.engine.is_some())
    }

    /// Whether an upstream is known and not leaving.
    pub fn is_open(&self, name: &UpstreamName) -> bool {
        self.get(name).is_some_and(|l| !l.leaving)
    }

    /// Chooses the upstream with the least expected time, weighing what it must read.
    pub fn choose(&self, wanted: Wanted<'_>, now: Duration) -> Result<Choice, NoChoice> {
        let usable = self.usable(wanted, now);
        if usable.is_empty() {
            return Err(NoChoice::NoUpstream);
        }
        let candidates = self.candidates(&usable, wanted, now);
        let busy = busy(&candidates, wanted.wait_max_idle);
        let [when_idle, when_busy] =
            [wanted.wait_max_idle, wanted.wait_max].map(|d| d.as_secs_f64());
        let wait_max = when_idle * (1.0 - busy) + when_busy * busy;
        let is_soon = |c: &&Candidate<'_>| c.wait().as_secs_f64() <= wait_max;
        let anywhere = wanted.anywhere || busy < SPARE;
        let best = candidates
            .iter()
            .filter(|c| !anywhere || is_soon(c))
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
            .filter(is_soon);
        if let Some(best) = best {
            return Ok(best.upstream.choice(best.plan));
        }
        let shortest = candidates.iter().map(Candidate::wait).min();
        Err(shortest.map_or(NoChoice::Full, |wait| NoChoice::Busy { wait }))
    }

    /// Of a plain service's upstreams the one that answers soonest, and how long it works on a request; in the
    /// sender's zone where several do.
    pub fn choose_plain(
        &self,
        wish: plain::Wish<'_>,
        now: Duration,
    ) -> Result<(Choice, Duration), NoChoice> {
        let usable = self.usable(Wanted::any(wish.service, None, wish.except, Duration::MAX), now);
        let rank = |u: &&&Upstream| {
            let running = u.plain.running();
            let time = u.plain.wait(u.listed.slots) + u.plain.work();
            // Averages of work differ a little, always.
            let steps = time.as_millis() / PLAIN_STEP.as_millis();
            (steps, running, u.listed.zone != *wish.zone)
        };
        let best = usable.iter().min_by_key(rank).ok_or(NoChoice::NoUpstream)?;
        Ok((best.choice_plain(), best.plain.work()))
    }

    /// Counts a request at an upstream of a plain service.
    pub fn begin_plain(
        &mut self,
        name: &UpstreamName,
        request: u64,
        sender: Option<IpAddr>,
        now: Duration,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.plain.begin(request, sender, upstream.listed.slots, now);
        }
    }

    /// Requests that whoever keeps an upstream's model, or counts what runs there, lets be there at once.
    pub fn placed_max(&self, name: &UpstreamName) -> u32 {
        let Some(upstream) = self.upstreams.get(name) else { return 0 };
        let slots = upstream.listed.slots;
        if upstream.engine.is_some() { slots } else { slots * plain::WAITING_MAX }
    }

    /// Upstreams of a service that this box leaves alone for now.
    pub fn resting(&self, service: &str, now: Duration) -> Vec<UpstreamName> {
        let of_service = self.upstreams.values().filter(|u| &*u.listed.service == service);
        of_service.filter(|u| !u.is_awake(now)).map(|u| u.listed.name.clone()).collect()
    }

    /// The upstreams with room, and what sending the request to each would cost.
    fn candidates<'a>(
        &self,
        usable: &[&'a Upstream],
        wanted: Wanted<'_>,
        now: Duration,
    ) -> Vec<Candidate<'a>> {
        let speed = self.speed(wanted.service);
        let zone = wanted.zone.unwrap_or(&self.zone);
        let cx = Context { speed, tuning: self.tuning, zone, now };
        let Some(prompt) = wanted.prompt else {
            return usable
                .iter()
                .map(|u| Candidate { upstream: u, plan: None, cost: u.cost(None, cx) })
                .collect();
        };
        // Looked up once: what engines keep is spread over memory, and many engines are asked.
        let kept = kept(usable, prompt);
        let source = self.source(usable, &kept, wanted, prompt);
        let homes = homes(usable, prompt);
        let own = prompt.parts.last().map_or(0, |own| own.tokens);
        let shared = prompt.tokens.saturating_sub(own);
        let lead_max = Duration::from_secs_f64(speed.reading(Work::reading(0, shared)));
        let candidate = |(u, kept): (&&'a Upstream, &u32)| {
            if !u.has_room(prompt) || !u.bears(wanted.role, cx) {
                return None;
            }
            let rank = homes.iter().position(|home| home.is_some_and(|h| std::ptr::eq(h, *u)));
            let home_lead = rank.map_or(Duration::ZERO, |n| HOME_LEADS[n].min(lead_max));
            let plan = u.plan(prompt, *kept, source, home_lead, cx);
            let cost = u.cost(plan.as_ref(), cx);
            Some(Candidate { upstream: u, plan, cost })
        };
        usable.iter().zip(&kept).filter_map(candidate).collect()
    }

    /// The engine that keeps the most of a prompt. One that leaves gets no work, but can be copied
    /// from for as long as it is there.
    fn source(
        &self,
        usable: &[&Upstream],
        kept: &[u32],
        wanted: Wanted<'_>,
        prompt: &Prompt,
    ) -> Option<Source> {
        let source = |u: &Upstream, kept| Source { addr: u.listed.addr, kept };
        let staying = usable.iter().zip(kept).map(|(u, kept)| source(u, *kept));
        let leaving = self
            .upstreams
            .values()
            .filter(|u| u.listed.leaving && !self.closed.contains(&u.listed.zone))
            .filter(|u| !u.is_doubted() && &*u.listed.service == wanted.service)
            .filter_map(|u| Some(source(u, u.engine.as_ref()?.kept(prompt))));
        staying.chain(leaving).chain(wanted.source).max_by_key(|s| s.kept)
    }

    /// The hash of the engine to which a prompt belongs, of those that aren't in `avoided`; all boxes
    /// that list the same engines come to the same.
    pub fn home(&self, service: &str, prompt: &Prompt, avoided: Option<Group>) -> Option<u64> {
        let staying = self.engines_for(service).filter(|u| self.takes(u));
        home(staying, prompt, avoided)
    }

    /// The same among the engines that leave, too: one of them may still keep what its successor
    /// doesn't.
    pub fn home_elsewhere(&self, service: &str, prompt: &Prompt, avoided: Group) -> Option<u64> {
        home(self.engines_for(service), prompt, Some(avoided))
    }

    fn engines_for(&self, service: &str) -> impl Iterator<Item = &Upstream> {
        let engines = self.upstreams.values().filter(|u| u.engine.is_some());
        engines.filter(move |u| &*u.listed.service == service)
    }

    /// The engine that keeps the most of a prompt.
    pub fn keeper(&self, wanted: Wanted<'_>, now: Duration) -> Option<Source> {
        let prompt = wanted.prompt?;
        let usable = self.usable(wanted, now);
        self.source(&usable, &kept(&usable, prompt), wanted, prompt).filter(|s| s.kept != 0)
    }

    /// Notes a request that another box sends to an upstream, or this one if no `sender` is given.
    pub fn place(&mut self, name: &UpstreamName, placement: Placement<'_>, now: Duration) {
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        let Some(engine) = &mut upstream.engine else {
            let Placement { request, sender, .. } = placement;
            upstream.plain.begin(request, sender, upstream.listed.slots, now);
            return;
        };
        let speed = self.speeds.get(&upstream.listed.service).unwrap_or(&self.speed_unknown);
        engine.place(placement, speed, self.tuning, now);
    }

    /// Notes the first token of a request, which came `took` after it was sent: nothing where that
    /// was when it was noted.
    pub fn first(
        &mut self,
        name: &UpstreamName,
        request: u64,
        took: Option<Duration>,
        now: Duration,
    ) {
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        let Some(engine) = &mut upstream.engine else {
            took.into_iter().for_each(|took| upstream.plain.answered(request, took));
            return;
        };
        if !self.speeds.contains_key(&upstream.listed.service) {
            self.speeds.insert(upstream.listed.service.clone(), self.speed_unknown.clone());
        }
        let Some(speed) = self.speeds.get_mut(&upstream.listed.service) else { return };
        engine.first(request, took, speed, now);
    }

    /// How choices are weighed.
    pub fn tuning(&self) -> Tuning {
        self.tuning
    }

    /// How fast the engines of a service read.
    pub fn speed(&self, service: &str) -> &Speed {
        self.speeds.get(service).unwrap_or(&self.speed_unknown)
    }

    /// Notes the end of a request.
    pub fn end(&mut self, name: &UpstreamName, request: u64) {
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        match &mut upstream.engine {
            Some(engine) => engine.end(request),
            None => upstream.plain.end(request),
        }
    }

    /// Forgets the requests of a box that is gone.
    pub fn forget_sender(&mut self, sender: IpAddr) {
        for upstream in self.upstreams.values_mut() {
            upstream.plain.forget_sender(sender);
            upstream.engine.iter_mut().for_each(|engine| engine.forget_sender(sender));
        }
    }

    /// What has been learned of the engines, or of those of one group.
    pub fn learned(&self, group: Option<Group>) -> Learned {
        let kept = |u: &Upstream| {
            Some(Kept { upstream: u.listed.name.clone(), parts: u.engine.as_ref()?.parts() })
        };
        let speeds = self.speeds.iter().map(|(service, s)| (service.clone(), s.clone()));
        let of_group = |u: &&Upstream| group.is_none_or(|group| group.has(u.hash));
        Learned {
            kept: self.upstreams.values().filter(of_group).filter_map(kept).collect(),
            speeds: speeds.collect(),
        }
    }

    /// Takes over what another box has learned of the engines.
    pub fn take_over(&mut self, learned: &Learned) {
        for kept in &learned.kept {
            if let Some(engine) = self.engine(&kept.upstream) {
                engine.keep(&kept.parts);
            }
        }
        for (service, speed) in &learned.speeds {
            let unknown = &self.speed_unknown;
            let known = self.speeds.entry(service.clone()).or_insert_with(|| unknown.clone());
            known.adopt(speed);
        }
    }

    /// All engines.
    pub fn engines(&self) -> impl Iterator<Item = &Listed> {
        self.upstreams.values().filter(|u| u.engine.is_some()).map(|u| &u.listed)
    }

    /// The engines of a group.
    pub fn engines_of(&self, group: Group) -> impl Iterator<Item = &Listed> {
        let engines = self.upstreams.values().filter(|u| u.engine.is_some());
        engines.filter(move |u| group.has(u.hash)).map(|u| &u.listed)
    }

    /// Counts a request of this box in.
    pub fn sent(&mut self, name: &UpstreamName) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.sent();
        }
    }

    /// Counts a request of this box out, and notes how it went.
    pub fn ended(&mut self, name: &UpstreamName, health: Option<Health>, now: Duration) {
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        upstream.ended();
        if let Some(health) = health {
            upstream.note(health, now);
        }
    }

    /// Notes how a request of this box goes.
    pub fn note(&mut self, name: &UpstreamName, health: Health, now: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.note(health, now);
        }
    }

    /// Notes that an upstream may not be reachable, by what this box saw itself or was told. True
    /// when this is new.
    pub fn doubt(&mut self, name: &UpstreamName, is_own: bool, now: Duration) -> bool {
        self.upstreams.get_mut(name).is_some_and(|u| u.doubt(is_own, now))
    }

    /// Whether no connection to an upstream could be made when it was tried last.
    pub fn was_away(&self, name: &UpstreamName) -> bool {
        self.upstreams.get(name).is_some_and(Upstream::was_away)
    }

    /// Notes that a connection to an upstream could be made. True when that was in doubt.
    pub fn reached(&mut self, name: &UpstreamName) -> bool {
        self.upstreams.get_mut(name).is_some_and(Upstream::reached)
    }

    /// Notes that no connection to an upstream could be made. True when the other boxes should
    /// hear of it: at the first failure, and only from who came upon it.
    pub fn not_reached(&mut self, name: &UpstreamName, now: Duration) -> bool {
        self.upstreams.get_mut(name).is_some_and(|u| u.not_reached(now))
    }

    /// How many upstreams get no work since they may not be reachable.
    pub fn in_doubt(&self) -> usize {
        self.upstreams.values().filter(|u| u.is_doubted()).count()
    }

    /// Upstreams that it is time to connect to, to see whether they can be reached. Each is given
    /// once until [`Fleet::not_reached`] is called for it, or for the longest pause.
    pub fn take_doubted(&mut self, now: Duration) -> Vec<Listed> {
        let due = self.upstreams.values_mut().filter_map(|u| u.take_look(now).then_some(&u.listed));
        due.cloned().collect()
    }

    /// Forgets what is too old to be true.
    pub fn tick(&mut self, now: Duration) {
        for upstream in self.upstreams.values_mut() {
            upstream.plain.tick(now);
            upstream.engine.iter_mut().for_each(|engine| engine.tick(now));
        }
    }

    /// Whether an upstream gets new requests, as far as it and its zone go.
    fn takes(&self, upstream: &Upstream) -> bool {
        !upstream.listed.leaving && !self.closed.contains(&upstream.listed.zone)
    }

    fn engine(&mut self, name: &UpstreamName) -> Option<&mut Engine> {
        self.upstreams.get_mut(name)?.engine.as_mut()
    }

    /// Upstreams of a service that may get work; those that rest only if there are no others.
    fn usable(&self, wanted: Wanted<'_>, now: Duration) -> Vec<&Upstream> {
        let open: Vec<&Upstream> = self
            .upstreams
            .values()
            .filter(|u| &*u.listed.service == wanted.service && self.takes(u))
            .filter(|u| wanted.group.is_none_or(|group| group.has(u.hash)))
            .filter(|u| !wanted.except.contains(&u.listed.name))
            .collect();
        let awake: Vec<&Upstream> = open.iter().copied().filter(|u| u.is_awake(now)).collect();
        if awake.is_empty() { open } else { awake }
    }
}

/// Tokens at the head of a prompt that each upstream keeps.
fn kept(upstreams: &[&Upstream], prompt: &Prompt) -> Vec<u32> {
    upstreams.iter().map(|u| u.engine.as_ref().map_or(0, |e| e.kept(prompt))).collect()
}

/// How busy engines are, from 0 to 1, by their mean wait.
fn busy(candidates: &[Candidate<'_>], longest: Duration) -> f64 {
    let waits: f64 = candidates.iter().map(|c| c.wait().as_secs_f64()).sum();
    let mean = waits / candidates.len().max(1) as f64;
    (mean / (longest.as_secs_f64() * BUSY_FROM).max(f64::MIN_POSITIVE)).min(1.0)
}

/// The hash of the engine to which a prompt belongs, of those that aren't in `avoided`.
fn home<'a>(
    engines: impl Iterator<Item = &'a Upstream>,
    prompt: &Prompt,
    avoided: Option<Group>,
) -> Option<u64> {
    let part = match &prompt.parts[..] {
        [.., shared, _] => shared.id,
        [own] => own.id,
        [] => u64::from(prompt.tokens),
    };
    engines
        .map(|u| u.hash)
        .filter(|hash| avoided.is_none_or(|group| !group.has(*hash)))
        .max_by_key(|hash| mix(hash ^ part))
}

/// The engines to which the shared parts of a prompt belong, by rendezvous hashing of the last of
/// them. The very last part is the request's own.
fn homes<'a>(
    upstreams: &[&'a Upstream],
    prompt: &Prompt,
) -> [Option<&'a Upstream>; HOME_LEADS.len()] {
    let [.., shared, _] = &prompt.parts[..] else { return Default::default() };
    let mut ranked: [Option<(u64, &Upstream)>; HOME_LEADS.len()] = Default::default();
    for upstream in upstreams {
        let mut next = Some((mix(upstream.hash ^ shared.id), *upstream));
        for place in &mut ranked {
            if place.map(|(draw, _)| draw) < next.map(|(draw, _)| draw) {
                std::mem::swap(place, &mut next);
            }
        }
    }
    ranked.map(|place| place.map(|(_, upstream)| upstream))
}

/// Spreads a number over all its bits: the finish of `splitmix64` (Steele et al., 2014).
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
