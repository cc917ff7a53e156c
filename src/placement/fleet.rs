//! All upstreams that this box knows, and the choice of one for a request.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde::Serialize;

use crate::names::ServiceName;
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
use crate::util;

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
    /// Whether no connection to it could be made; it gets no work until one can.
    unreachable: bool,
}

/// All upstreams that this box knows.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneName,
    tuning: Tuning,
    upstreams: BTreeMap<UpstreamName, Upstream>,
    by_service: FxHashMap<ServiceName, Vec<UpstreamName>>,
}

impl Fleet {
    /// Nothing is known yet.
    pub fn new(zone: ZoneName, tuning: Tuning) -> Fleet {
        Fleet { zone, tuning, upstreams: BTreeMap::new(), by_service: FxHashMap::default() }
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
        let of_service = self.by_service.entry(listed.service.clone()).or_default();
        of_service.push(listed.name.clone());
        let upstream = Upstream {
            engine: limits.map(|l| Engine::new(l, self.tuning)),
            outstanding: 0,
            answer_time: 0.0,
            failures: 0,
            rests_until: Duration::ZERO,
            unreachable: false,
            listed,
        };
        self.upstreams.insert(upstream.listed.name.clone(), upstream);
    }

    /// Forgets an upstream.
    pub fn remove(&mut self, name: &UpstreamName) {
        let Some(upstream) = self.upstreams.remove(name) else { return };
        if let Some(names) = self.by_service.get_mut(&upstream.listed.service) {
            names.retain(|n| n != name);
        }
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
        let source = wanted.prompt.and_then(|prompt| source(&usable, prompt));
        let home = wanted.prompt.and_then(|prompt| home(&usable, prompt));
        let with_room = usable.iter().filter(|u| u.has_room(wanted.prompt));
        let planned: Vec<(&Upstream, Option<Plan>)> = with_room
            .map(|u| (*u, u.plan(wanted.prompt, source, home, self.tuning, now)))
            .collect();
        let wait = |plan: &Option<Plan>| plan.as_ref().map_or(Duration::ZERO, |p| p.wait);
        let best = planned
            .iter()
            .filter(|(_, plan)| !wanted.anywhere || wait(plan) <= wanted.wait_max)
            .map(|(u, plan)| (u.cost(plan.as_ref(), self.tuning, &self.zone), u, plan))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .filter(|(_, _, plan)| wait(plan) <= wanted.wait_max);
        if let Some((_, upstream, plan)) = best {
            return Ok(upstream.choice(*plan, self.tuning));
        }
        let shortest = planned.iter().map(|(_, plan)| wait(plan)).min();
        Err(shortest.map_or(NoChoice::Full, |wait| NoChoice::Busy { wait }))
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

    /// Notes that no connection to an upstream can be made, or that one can again. True when this
    /// is new.
    pub fn set_unreachable(&mut self, name: &UpstreamName, unreachable: bool) -> bool {
        let Some(upstream) = self.upstreams.get_mut(name) else { return false };
        std::mem::replace(&mut upstream.unreachable, unreachable) != unreachable
    }

    /// Upstreams to which no connection can be made.
    pub fn unreachable(&self) -> impl Iterator<Item = &Listed> {
        self.upstreams.values().filter(|u| u.unreachable).map(|u| &u.listed)
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
        let names = self.by_service.get(wanted.service).map_or(&[][..], Vec::as_slice);
        let open: Vec<&Upstream> = names
            .iter()
            .filter_map(|n| self.upstreams.get(n))
            .filter(|u| !u.listed.leaving && !wanted.except.contains(&u.listed.name))
            .collect();
        let awake: Vec<&Upstream> =
            open.iter().copied().filter(|u| u.rests_until <= now && !u.unreachable).collect();
        if awake.is_empty() { open } else { awake }
    }
}

impl Upstream {
    fn has_room(&self, prompt: Option<&Prompt>) -> bool {
        match (&self.engine, prompt) {
            (Some(engine), Some(prompt)) => engine.has_room(prompt),
            _ => true,
        }
    }

    /// How this engine would come by a prompt; nothing for plain services.
    fn plan(
        &self,
        prompt: Option<&Prompt>,
        source: Option<Source>,
        home: Option<&UpstreamName>,
        tuning: Tuning,
        now: Duration,
    ) -> Option<Plan> {
        let (engine, prompt) = self.engine.as_ref().zip(prompt)?;
        let kept = engine.kept(prompt);
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
            is_home: home.is_some_and(|home| *home == self.listed.name),
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

/// The engine that keeps the most of a prompt.
fn source(upstreams: &[&Upstream], prompt: &Prompt) -> Option<Source> {
    let kept = |u: &&Upstream| {
        let kept = u.engine.as_ref()?.kept(prompt);
        Some(Source { addr: u.listed.addr, kept })
    };
    upstreams.iter().filter_map(kept).max_by_key(|s| s.kept)
}

/// The engine to which the shared parts of a prompt belong, by rendezvous hashing of the last of
/// them. The very last part is the request's own.
fn home<'a>(upstreams: &[&'a Upstream], prompt: &Prompt) -> Option<&'a UpstreamName> {
    let [.., shared, _] = &prompt.parts[..] else { return None };
    let key = format!("{:x}", shared.id);
    util::rendezvous(&key, upstreams.iter().map(|u| &u.listed.name))
}
