//! One upstream as a box knows it: what it would cost to send a request there, how requests there
//! went, and whether it may be reached.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::names::UpstreamName;
use crate::names::ZoneName;
use crate::placement::choice::Choice;
use crate::placement::choice::CopySource;
use crate::placement::cold::Role;
use crate::placement::engine::Engine;
use crate::placement::plain::Plain;
use crate::placement::speed::Speed;
use crate::placement::speed::Work;
use crate::placement::tuning::Tuning;
use crate::proxy::adapter::Prompt;
use crate::proxy::adapter::UpstreamListing;

/// Fewest tokens that are worth a copy: twice those that are read in the time of its setup.
pub const COPY_TOKENS_MIN: u32 = 400;

/// Preference for an upstream in the own zone: bytes between zones are charged for.
const ZONE_LEAD: Duration = Duration::from_millis(4);

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

/// How an engine would come by a prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Plan {
    /// Until it is due: engines need pauses between prompts.
    pub(super) wait: Duration,
    /// Until the engine has read what it was sent before.
    backlog: Duration,
    prefill_tokens: u32,
    /// Seconds to read these, and from then to the first token.
    reading: f64,
    first_step: f64,
    copied_tokens: u32,
    copy_time: Duration,
    copy_from: Option<SocketAddr>,
    /// Preference where the prompt's shared parts belong here by their hash.
    home_lead: Duration,
}

/// What a choice depends on beside the request and the upstreams.
#[derive(Clone, Copy, Debug)]
pub(super) struct Context<'a> {
    /// How fast the service's engines read.
    pub(super) speed: &'a Speed,
    pub(super) tuning: Tuning,
    /// The availability zone of the box that sends the request.
    pub(super) zone: &'a ZoneName,
    pub(super) now: Duration,
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

/// One upstream.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) listed: UpstreamListing,
    pub(super) engine: Option<Engine>,
    /// What runs there, where it is of a plain service.
    pub(super) plain: Plain,
    /// Requests of this box there.
    outstanding: u32,
    answer_time: f64,
    failures: u32,
    rests_until: Duration,
    /// Set while it may not be reachable; it gets no work until a connection can be made.
    doubt: Option<Doubt>,
    /// Of its name; see [`hash`].
    pub(super) hash: u64,
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

/// The hash of an upstream's name, by which parts of prompts and owners are found for it.
pub fn name_hash(name: &UpstreamName) -> u64 {
    xxh3_64(name.as_bytes())
}

impl Upstream {
    /// An upstream that is believed to be well and, if it is an engine, idle and empty.
    pub(super) fn new(listed: UpstreamListing, engine: Option<Engine>) -> Upstream {
        Upstream {
            engine,
            plain: Plain::default(),
            outstanding: 0,
            answer_time: 0.0,
            failures: 0,
            rests_until: Duration::ZERO,
            doubt: None,
            hash: name_hash(&listed.name),
            listed,
        }
    }

    /// Whether it may get work without being the last resort.
    pub(super) fn is_awake(&self, now: Duration) -> bool {
        self.rests_until <= now && self.doubt.is_none()
    }

    /// Whether it may not be reachable.
    pub(super) fn is_unverified(&self) -> bool {
        self.doubt.is_some()
    }

    /// Whether anything has been placed there and may still be there.
    pub(super) fn is_busy(&self) -> bool {
        self.plain.running() != 0 || self.engine.as_ref().is_some_and(Engine::is_busy)
    }

    /// Requests of this box there.
    pub(super) fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Counts a request of this box in.
    pub(super) fn sent(&mut self) {
        self.outstanding += 1;
    }

    /// Counts a request of this box out.
    pub(super) fn ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Notes that it may not be reachable, by what this box saw itself or was told. True when this
    /// is new.
    pub(super) fn doubt(&mut self, is_own: bool, now: Duration) -> bool {
        if self.doubt.is_some() {
            return false;
        }
        self.doubt = Some(Doubt { is_own, failures: 0, look_at: now });
        true
    }

    /// Whether no connection could be made when it was tried last.
    pub(super) fn last_connect_failed(&self) -> bool {
        self.doubt.is_some_and(|doubt| doubt.failures != 0)
    }

    /// Notes that a connection to it could be made. True when that was in doubt.
    pub(super) fn reached(&mut self) -> bool {
        self.doubt.take().is_some()
    }

    /// Notes that no connection could be made. True when the other boxes should hear of it: at the
    /// first failure, and only from who came upon it.
    pub(super) fn record_connect_failure(&mut self, now: Duration) -> bool {
        let Some(doubt) = &mut self.doubt else { return false };
        doubt.failures += 1;
        let pause = LOOK_FIRST * 2u32.saturating_pow(doubt.failures.min(8) - 1);
        doubt.look_at = now + pause.min(LOOK_MAX);
        doubt.is_own && doubt.failures == 1
    }

    /// Whether it is time to connect, to see whether it can be reached. True once until
    /// [`Upstream::not_reached`], or for the longest pause.
    pub(super) fn take_due_probe(&mut self, now: Duration) -> bool {
        let Some(doubt) = self.doubt.as_mut().filter(|d| d.look_at <= now) else { return false };
        doubt.look_at = now + LOOK_MAX;
        true
    }

    /// Whether it has a slot and memory for a prompt.
    pub(super) fn has_room(&self, prompt: &Prompt) -> bool {
        self.engine.as_ref().is_none_or(|engine| engine.has_room(prompt))
    }

    /// Whether it bears one more request now, if a box of this role sends it.
    pub(super) fn bears(&self, role: Role, cx: Context<'_>) -> bool {
        self.engine.as_ref().is_none_or(|engine| engine.bears(role, cx.tuning, cx.now))
    }

    /// How it is listed, with what is known now of its start.
    pub(super) fn told(&self, now: Duration) -> UpstreamListing {
        let cold_for = self.engine.as_ref().map(|engine| engine.cold_for(now));
        UpstreamListing { cold_for, ..self.listed.clone() }
    }

    /// How this engine, which keeps `kept` tokens of a prompt, would come by it; nothing for plain
    /// services.
    pub(super) fn plan(
        &self,
        prompt: &Prompt,
        kept: u32,
        source: Option<CopySource>,
        home_lead: Duration,
        cx: Context<'_>,
    ) -> Option<Plan> {
        let Context { speed, tuning, now, .. } = cx;
        let engine = self.engine.as_ref()?;
        let gain = source.map_or(0, |s| s.kept.saturating_sub(kept));
        let copied_tokens = if gain < COPY_TOKENS_MIN { 0 } else { gain };
        let prefill_tokens = prompt.tokens - kept - copied_tokens;
        Some(Plan {
            wait: engine.wait(speed, tuning, now),
            backlog: engine.backlog(speed, now),
            prefill_tokens,
            reading: engine.reading(Work::reading(kept + copied_tokens, prefill_tokens), speed),
            first_step: speed.fixed(),
            copied_tokens,
            copy_time: if copied_tokens == 0 {
                Duration::ZERO
            } else {
                engine.copy_time(copied_tokens)
            },
            copy_from: source.filter(|_| copied_tokens != 0).map(|s| s.addr),
            home_lead,
        })
    }

    /// What sending a request here costs, in seconds: less is better.
    pub(super) fn cost(&self, plan: Option<&Plan>, cx: Context<'_>) -> f64 {
        let tuning = cx.tuning;
        let mut lead = if self.listed.zone == *cx.zone { ZONE_LEAD.as_secs_f64() } else { 0.0 };
        let Some(plan) = plan else {
            return self.answer_time * f64::from(1 + self.outstanding) - lead;
        };
        lead += plan.home_lead.as_secs_f64();
        let reading = plan.reading;
        let copying = plan.copy_time.as_secs_f64();
        plan.wait.as_secs_f64() + reading * tuning.prefill_weight + copying * tuning.copy_weight
            - lead
    }

    /// The choice of this upstream of a plain service.
    pub(super) fn choice_plain(&self) -> Choice {
        let wait = self.plain.wait(self.listed.slots);
        let first_token = wait + self.plain.work();
        Choice { wait, first_token, running: self.plain.running(), ..self.choice(None) }
    }

    /// The choice of this upstream.
    pub(super) fn choice(&self, plan: Option<Plan>) -> Choice {
        let first_token = plan.as_ref().map_or(Duration::ZERO, |p| {
            p.backlog + p.copy_time + Duration::from_secs_f64(p.reading + p.first_step)
        });
        Choice {
            upstream: self.listed.name.clone(),
            addr: self.listed.addr,
            first_token,
            wait: plan.as_ref().map_or(Duration::ZERO, |p| p.wait),
            prefill_tokens: plan.as_ref().map_or(0, |p| p.prefill_tokens),
            copied_tokens: plan.as_ref().map_or(0, |p| p.copied_tokens),
            is_counted: false,
            copy_from: plan.and_then(|p| p.copy_from),
            running: self.engine.as_ref().map_or(0, Engine::running),
            running_tokens: self.engine.as_ref().map_or(0, Engine::running_tokens),
        }
    }

    /// Notes how a request of this box went.
    pub(super) fn note(&mut self, health: Health, now: Duration) {
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
