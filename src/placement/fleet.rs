//! All upstreams that this box knows, and the choice of one for a request.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::names::UpstreamName;
use crate::names::ZoneName;
use crate::placement::choice::Choice;
use crate::placement::choice::NoChoice;
use crate::placement::choice::Wanted;
use crate::placement::engine::Engine;
use crate::placement::tuning::Tuning;
use crate::proxy::dialect::Listed;
use crate::proxy::dialect::Part;
use crate::proxy::dialect::Prompt;
use crate::proxy::table::EngineLimits;

/// Fewest tokens that are worth a copy: twice those that are read in the time of its setup.
const COPY_MIN: u32 = 400;

/// Preference for an upstream in the own zone: bytes between zones are charged for.
const ZONE_LEAD: Duration = Duration::from_millis(4);

/// Preference for the engine to which a prompt's shared parts belong by their hash, so that boxes
/// that know nothing yet, or not of each other's requests, send them to the same engine.
const HOME_LEAD: Duration = Duration::from_millis(40);

/// How long an upstream that failed is left alone at first; doubled with each failure in a row.
const REST_FIRST: Duration = Duration::from_millis(400);

/// Longest time that an upstream is left alone before it is tried again.
const REST_MAX: Duration = Duration::from_secs(5);

/// Time between tries to connect to an upstream that may not be reachable, at first and at most;
/// doubled with each failure, since each box tries by itself.
const LOOK_FIRST: Duration = Duration::from_millis(300);
const LOOK_MAX: Duration = Duration::from_millis(2400);

/// Weight of the newest answer time of a plain service in its average.
const ANSWER_TIME_WEIGHT: f64 = 0.2;

/// What an engine is believed to keep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    /// The engine.
    pub upstream: UpstreamName,
    /// Parts of prompts, those unused longest first.
    pub parts: Vec<Part>,
}

/// How an engine would come by a prompt.
#[derive(Clone, Copy, Debug)]
struct Plan {
    wait: Duration,
    unread: u32,
    /// Seconds to read these.
    reading: f64,
    copied: u32,
    copy_time: Duration,
    copy_from: Option<std::net::SocketAddr>,
    /// Whether the prompt's shared parts belong here by their hash.
    is_home: bool,
}

/// The engine that keeps the most of a prompt.
#[derive(Clone, Copy, Debug)]
struct Source {
    addr: std::net::SocketAddr,
    kept: u32,
}

/// How a request at an upstream went, as far as it tells about the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It answered as it should, after this time.
    Good(Duration),
    /// It refused or failed, though it can be reached.
    Failed,
    /// It can't be reached, or broke off.
    Broken,
}

#[derive(Clone, Debug)]
struct Upstream {
    listed: Listed,
    engine: Option<Engine>,
    /// Requests of this box there.
    outstanding: u32,
    answer_time: f64,
    failures: u32,
    rests_until: Duration,
    /// Set while it may not be reachable; it gets no work until a connection can be made.
    doubt: Option<Doubt>,
    /// Of its name.
    hash: u64,
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

/// Why an upstream gets no work: it may not be reachable.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    /// Whether this box came upon it, or was told.
    is_own: bool,
    /// Tries to connect that failed since.
    failures: u32,
    /// When to try next.
    look_at: Duration,
}

/// All upstreams that this box knows.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneName,
    tuning: Tuning,
    upstreams: BTreeMap<UpstreamName, Upstream>,
}

impl Fleet {
    /// Nothing is known yet.
    pub fn new(zone: ZoneName, tuning: Tuning) -> Fleet {
        Fleet { zone, tuning, upstreams: BTreeMap::new() }
    }

    /// Takes over an upstream that is new or has changed. `limits` where it is an engine.
    pub fn set(&mut self, listed: Listed, limits: Option<EngineLimits>) {
        if let Some(known) = self.upstreams.get_mut(&listed.name) {
            known.listed = listed;
            if known.engine.is_none() {
                known.engine = limits.map(|l| Engine::new(l, self.tuning));
            }
            return;
        }
        let upstream = Upstream {
            engine: limits.map(|l| Engine::new(l, self.tuning)),
            outstanding: 0,
            answer_time: 0.0,
            failures: 0,
            rests_until: Duration::ZERO,
            doubt: None,
            hash: xxh3_64(listed.name.as_bytes()),
            listed,
        };
        self.upstreams.insert(upstream.listed.name.clone(), upstream);
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
        let best = candidates
            .iter()
            .filter(|c| !wanted.anywhere || c.wait() <= wanted.wait_max)
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
            .filter(|c| c.wait() <= wanted.wait_max);
        if let Some(best) = best {
            return Ok(best.upstream.choice(best.plan, self.tuning));
        }
        let shortest = candidates.iter().map(Candidate::wait).min();
        Err(shortest.map_or(NoChoice::Full, |wait| NoChoice::Busy { wait }))
    }

    /// The upstreams with room, and what sending the request to each would cost.
    fn candidates<'a>(
        &self,
        usable: &[&'a Upstream],
        wanted: Wanted<'_>,
        now: Duration,
    ) -> Vec<Candidate<'a>> {
        let Some(prompt) = wanted.prompt else {
            let cost = |u: &Upstream| u.cost(None, self.tuning, &self.zone);
            return usable
                .iter()
                .map(|u| Candidate { upstream: u, plan: None, cost: cost(u) })
                .collect();
        };
        // Looked up once: what engines keep is spread over memory, and many engines are asked.
        let kept: Vec<u32> =
            usable.iter().map(|u| u.engine.as_ref().map_or(0, |e| e.kept(prompt))).collect();
        let source = self.source(usable, &kept, wanted.service, prompt);
        let home = home(usable, prompt);
        let candidate = |(u, kept): (&&'a Upstream, &u32)| {
            if !u.has_room(prompt) {
                return None;
            }
            let is_home = home.is_some_and(|home| std::ptr::eq(home, *u));
            let plan = u.plan(prompt, *kept, source, is_home, self.tuning, now);
            let cost = u.cost(plan.as_ref(), self.tuning, &self.zone);
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
        service: &str,
        prompt: &Prompt,
    ) -> Option<Source> {
        let source = |u: &Upstream, kept| Source { addr: u.listed.addr, kept };
        let staying = usable.iter().zip(kept).map(|(u, kept)| source(u, *kept));
        let leaving = self
            .upstreams
            .values()
            .filter(|u| u.listed.leaving && u.doubt.is_none() && &*u.listed.service == service)
            .filter_map(|u| Some(source(u, u.engine.as_ref()?.kept(prompt))));
        staying.chain(leaving).max_by_key(|s| s.kept)
    }

    /// Notes a request that this box or another sends to an upstream.
    pub fn place(
        &mut self,
        name: &UpstreamName,
        request: u64,
        prompt: &Prompt,
        unread: u32,
        now: Duration,
    ) {
        let tuning = self.tuning;
        if let Some(engine) = self.engine(name) {
            engine.place(request, prompt, unread, tuning, now);
        }
    }

    /// Notes the first token of a request.
    pub fn first(&mut self, name: &UpstreamName, request: u64, now: Duration) {
        if let Some(engine) = self.engine(name) {
            engine.first(request, now);
        }
    }

    /// Notes the end of a request.
    pub fn end(&mut self, name: &UpstreamName, request: u64) {
        if let Some(engine) = self.engine(name) {
            engine.end(request);
        }
    }

    /// What each engine is believed to keep.
    pub fn kept(&self) -> Vec<Kept> {
        let kept = |u: &Upstream| {
            Some(Kept { upstream: u.listed.name.clone(), parts: u.engine.as_ref()?.parts() })
        };
        self.upstreams.values().filter_map(kept).collect()
    }

    /// Takes over what an engine is said to keep.
    pub fn keep(&mut self, kept: &Kept) {
        if let Some(engine) = self.engine(&kept.upstream) {
            engine.keep(&kept.parts);
        }
    }

    /// Engines that are in use.
    pub fn engines(&self) -> impl Iterator<Item = &Listed> {
        self.upstreams.values().filter(|u| u.engine.is_some()).map(|u| &u.listed)
    }

    /// Counts a request of this box in.
    pub fn sent(&mut self, name: &UpstreamName) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.outstanding += 1;
        }
    }

    /// Counts a request of this box out, and notes how it went.
    pub fn ended(&mut self, name: &UpstreamName, health: Option<Health>, now: Duration) {
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        upstream.outstanding = upstream.outstanding.saturating_sub(1);
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
        let Some(upstream) = self.upstreams.get_mut(name) else { return false };
        if upstream.doubt.is_some() {
            return false;
        }
        upstream.doubt = Some(Doubt { is_own, failures: 0, look_at: now });
        true
    }

    /// Notes that a connection to an upstream could be made. True when that was in doubt.
    pub fn reached(&mut self, name: &UpstreamName) -> bool {
        let Some(upstream) = self.upstreams.get_mut(name) else { return false };
        upstream.doubt.take().is_some()
    }

    /// Notes that no connection to an upstream could be made. True when the other boxes should
    /// hear of it: at the first failure, and only from who came upon it.
    pub fn not_reached(&mut self, name: &UpstreamName, now: Duration) -> bool {
        let doubt = self.upstreams.get_mut(name).and_then(|u| u.doubt.as_mut());
        let Some(doubt) = doubt else { return false };
        doubt.failures += 1;
        let pause = LOOK_FIRST * 2u32.saturating_pow(doubt.failures.min(8) - 1);
        doubt.look_at = now + pause.min(LOOK_MAX);
        doubt.is_own && doubt.failures == 1
    }

    /// How many upstreams get no work since they may not be reachable.
    pub fn in_doubt(&self) -> usize {
        self.upstreams.values().filter(|u| u.doubt.is_some()).count()
    }

    /// Upstreams that it is time to connect to, to see whether they can be reached. Each is given
    /// once until [`Fleet::not_reached`] is called for it, or for the longest pause.
    pub fn take_doubted(&mut self, now: Duration) -> Vec<Listed> {
        let mut due = Vec::new();
        for upstream in self.upstreams.values_mut() {
            if let Some(doubt) = upstream.doubt.as_mut().filter(|d| d.look_at <= now) {
                doubt.look_at = now + LOOK_MAX;
                due.push(upstream.listed.clone());
            }
        }
        due
    }

    /// Forgets what is too old to be true.
    pub fn tick(&mut self, now: Duration) {
        self.upstreams.values_mut().filter_map(|u| u.engine.as_mut()).for_each(|e| e.tick(now));
    }

    fn engine(&mut self, name: &UpstreamName) -> Option<&mut Engine> {
        self.upstreams.get_mut(name)?.engine.as_mut()
    }

    /// Upstreams of a service that may get work; those that rest only if there are no others.
    fn usable(&self, wanted: Wanted<'_>, now: Duration) -> Vec<&Upstream> {
        let open: Vec<&Upstream> = self
            .upstreams
            .values()
            .filter(|u| &*u.listed.service == wanted.service && !u.listed.leaving)
            .filter(|u| !wanted.except.contains(&u.listed.name))
            .collect();
        let awake: Vec<&Upstream> =
            open.iter().copied().filter(|u| u.rests_until <= now && u.doubt.is_none()).collect();
        if awake.is_empty() { open } else { awake }
    }
}

impl Upstream {
    fn has_room(&self, prompt: &Prompt) -> bool {
        self.engine.as_ref().is_none_or(|engine| engine.has_room(prompt))
    }

    /// How this engine, which keeps `kept` tokens of a prompt, would come by it; nothing for plain
    /// services.
    fn plan(
        &self,
        prompt: &Prompt,
        kept: u32,
        source: Option<Source>,
        is_home: bool,
        tuning: Tuning,
        now: Duration,
    ) -> Option<Plan> {
        let engine = self.engine.as_ref()?;
        let gain = source.map_or(0, |s| s.kept.saturating_sub(kept));
        let copied = if gain < COPY_MIN { 0 } else { gain };
        let unread = prompt.tokens - kept - copied;
        Some(Plan {
            wait: engine.wait(tuning, now),
            unread,
            reading: tuning.reading(kept + copied, unread),
            copied,
            copy_time: if copied == 0 { Duration::ZERO } else { engine.copy_time(copied) },
            copy_from: source.filter(|_| copied != 0).map(|s| s.addr),
            is_home,
        })
    }

    /// What sending a request here costs, in seconds: less is better.
    fn cost(&self, plan: Option<&Plan>, tuning: Tuning, zone: &ZoneName) -> f64 {
        let mut lead = if self.listed.zone == *zone { ZONE_LEAD.as_secs_f64() } else { 0.0 };
        let Some(plan) = plan else {
            return self.answer_time * f64::from(1 + self.outstanding) - lead;
        };
        if plan.is_home {
            lead += HOME_LEAD.as_secs_f64();
        }
        let reading = plan.reading;
        let copying = plan.copy_time.as_secs_f64();
        plan.wait.as_secs_f64() + reading * tuning.read_weight + copying * tuning.copy_weight - lead
    }

    fn choice(&self, plan: Option<Plan>, tuning: Tuning) -> Choice {
        let first_token = plan.as_ref().map_or(Duration::ZERO, |p| {
            p.wait + p.copy_time + Duration::from_secs_f64(p.reading) + tuning.first_step
        });
        Choice {
            upstream: self.listed.name.clone(),
            addr: self.listed.addr,
            first_token,
            wait: plan.as_ref().map_or(Duration::ZERO, |p| p.wait),
            unread: plan.as_ref().map_or(0, |p| p.unread),
            copied: plan.as_ref().map_or(0, |p| p.copied),
            copy_from: plan.and_then(|p| p.copy_from),
            running: self.engine.as_ref().map_or(0, Engine::running),
            running_tokens: self.engine.as_ref().map_or(0, Engine::running_tokens),
        }
    }

    fn note(&mut self, health: Health, now: Duration) {
        match health {
            Health::Good(time) => {
                self.failures = 0;
                self.rests_until = Duration::ZERO;
                self.answer_time += (time.as_secs_f64() - self.answer_time) * ANSWER_TIME_WEIGHT;
            }
            Health::Failed => self.answer_time += ANSWER_TIME_WEIGHT * REST_FIRST.as_secs_f64(),
            Health::Broken => {
                let rest = REST_FIRST * 2u32.saturating_pow(self.failures.min(8));
                self.failures += 1;
                self.rests_until = now + rest.min(REST_MAX);
            }
        }
    }
}

/// The engine to which the shared parts of a prompt belong, by rendezvous hashing of the last of
/// them. The very last part is the request's own.
fn home<'a>(upstreams: &[&'a Upstream], prompt: &Prompt) -> Option<&'a Upstream> {
    let [.., shared, _] = &prompt.parts[..] else { return None };
    upstreams.iter().copied().max_by_key(|u| (mix(u.hash ^ shared.id), u.hash))
}

/// Spreads a number over all its bits: the finish of `splitmix64` (Steele et al., 2014).
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
