//! One upstream as this box sees it: the cost of sending a request there, the outcome of earlier
//! requests, and whether it may be unreachable.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::names::UpstreamName;
use crate::names::ZoneName;
use crate::placement::choice::Choice;
use crate::placement::choice::CopySource;
use crate::placement::cold::Role;
use crate::placement::connected;
use crate::placement::engine::Engine;
use crate::placement::plain::PlainQueue;
use crate::placement::probe::Obstacle;
use crate::placement::reconnect::ReconnectPace;
use crate::placement::speed::Speed;
use crate::placement::speed::Work;
use crate::placement::tuning::Tuning;
use crate::proxy::adapter::Prompt;
use crate::proxy::adapter::UpstreamListing;

/// Fewest tokens worth a copy: twice as many as are prefilled while a copy is set up.
pub const COPY_TOKENS_MIN: u32 = 400;

/// Preference for an upstream in the same zone, since bytes between zones are charged for.
const ZONE_BONUS: Duration = Duration::from_millis(4);

/// Cooldown after a first failure; doubled with each further one in a row.
const COOLDOWN_FIRST: Duration = Duration::from_millis(400);

/// Longest cooldown after failures.
const COOLDOWN_MAX: Duration = Duration::from_secs(5);

/// Weight of the newest response time of a plain service in its average.
const RESPONSE_TIME_WEIGHT: f64 = 0.2;

/// How an engine would process a prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillPlan {
    /// Wait until the engine may start: engines need pauses between prompts.
    pub(super) wait: Duration,
    /// Time until earlier prefills are done.
    backlog: Duration,
    prefill_tokens: u32,
    /// In seconds.
    prefill_seconds: f64,
    first_token_overhead: f64,
    copied_tokens: u32,
    copy_time: Duration,
    copy_from: Option<SocketAddr>,
    /// Preference if the prompt's shared parts hash to this engine.
    home_bonus: Duration,
}

impl PrefillPlan {
    /// Whether the engine would compute and copy no more than another, and begin at most
    /// [`connected::EQUAL_WAIT_MAX`] later.
    pub(super) fn serves_as_well(&self, other: &PrefillPlan) -> bool {
        self.prefill_tokens <= other.prefill_tokens
            && self.copied_tokens <= other.copied_tokens
            && self.wait <= other.wait + connected::EQUAL_WAIT_MAX
    }

    /// Expected time to the first token.
    pub(super) fn first_token(&self) -> Duration {
        self.backlog
            + self.copy_time
            + Duration::from_secs_f64(self.prefill_seconds + self.first_token_overhead)
    }
}

/// Inputs of the cost besides the request and the upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Context<'a> {
    /// Estimated speed of the service's engines.
    pub(super) speed: &'a Speed,
    pub(super) tuning: Tuning,
    /// The availability zone of the sending box.
    pub(super) zone: &'a ZoneName,
    pub(super) now: Duration,
}

/// The outcome of a request, as far as it shows the state of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// A regular response, after this time.
    Good(Duration),
    /// Refused or failed, but reachable.
    Failed,
    /// Unreachable, or the connection broke.
    Broken,
}

#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) listed: UpstreamListing,
    pub(super) engine: Option<Engine>,
    /// Requests at an upstream of a plain service.
    pub(super) plain: PlainQueue,
    /// Requests of this box at the upstream.
    outstanding: u32,
    /// When any box last placed a request there or got a first token from it, as far as this one
    /// knows.
    last_active: Duration,
    response_time: f64,
    failures: u32,
    cooldown_until: Duration,
    /// Set while the upstream may be unreachable; it gets no requests until a connection succeeds.
    unverified: Option<Unverified>,
    /// See [`name_hash`].
    pub(super) hash: u64,
}

/// State of an upstream that may be unreachable.
#[derive(Clone, Copy, Debug)]
struct Unverified {
    /// Whether this box noticed it; otherwise another box reported it.
    is_local: bool,
    /// Failed attempts to connect since it was marked.
    failures: u32,
    /// When the last attempt began.
    tried_at: Duration,
    /// When to try next.
    probe_at: Duration,
}

/// The hash of an upstream's name, which determines its owners and the prompt parts assigned to it.
pub fn name_hash(name: &UpstreamName) -> u64 {
    xxh3_64(name.as_bytes())
}

impl Upstream {
    /// An upstream assumed to be healthy and, if it is an engine, idle with an empty cache.
    pub(super) fn new(listed: UpstreamListing, engine: Option<Engine>) -> Upstream {
        Upstream {
            engine,
            plain: PlainQueue::default(),
            outstanding: 0,
            last_active: Duration::ZERO,
            response_time: 0.0,
            failures: 0,
            cooldown_until: Duration::ZERO,
            unverified: None,
            hash: name_hash(&listed.name),
            listed,
        }
    }

    /// Whether it may be chosen while there are others.
    pub(super) fn is_available(&self, now: Duration) -> bool {
        self.cooldown_until <= now && self.unverified.is_none()
    }

    /// Records that a box has placed a request there or got a first token from it.
    pub(super) fn record_activity(&mut self, now: Duration) {
        self.last_active = now;
    }

    /// When any box last placed a request there or got a first token from it.
    pub(super) fn last_active(&self) -> Duration {
        self.last_active
    }

    /// What keeps requests away, apart from its listing, for a request that has been refused.
    pub(super) fn obstacle(&self, speed: &Speed, now: Duration) -> Obstacle {
        if now < self.cooldown_until {
            return Obstacle::Cooldown;
        }
        let is_overdue = self.engine.as_ref().is_some_and(|e| e.is_overdue(speed, now));
        if is_overdue { Obstacle::Overdue } else { Obstacle::Wait }
    }

    /// Whether it may be unreachable.
    pub(super) fn is_unverified(&self) -> bool {
        self.unverified.is_some()
    }

    /// Whether requests placed on it may be unfinished.
    pub(super) fn is_busy(&self) -> bool {
        self.plain.running() != 0 || self.engine.as_ref().is_some_and(Engine::is_busy)
    }

    /// Whether there is a record of a request.
    pub(super) fn has_request(&self, request: u64) -> bool {
        self.engine
            .as_ref()
            .map_or_else(|| self.plain.has_request(request), |e| e.has_request(request))
    }

    /// Requests of this box at the upstream.
    pub(super) fn outstanding(&self) -> u32 {
        self.outstanding
    }

    pub(super) fn request_sent(&mut self) {
        self.outstanding += 1;
    }

    pub(super) fn request_ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Records that the upstream may be unreachable, as noticed by this box or reported by another.
    /// Returns whether this is new.
    pub(super) fn mark_unverified(&mut self, is_local: bool, now: Duration) -> bool {
        if self.unverified.is_some() {
            return false;
        }
        self.unverified = Some(Unverified { is_local, failures: 0, tried_at: now, probe_at: now });
        true
    }

    /// Whether the last attempt to connect failed.
    pub(super) fn last_connect_failed(&self) -> bool {
        self.unverified.is_some_and(|unverified| unverified.failures != 0)
    }

    /// Records a successful connection. Returns whether the upstream was unverified.
    pub(super) fn mark_reachable(&mut self) -> bool {
        self.unverified.take().is_some()
    }

    /// Records a failed connection. Returns whether to notify the other boxes: only at the first
    /// failure, and only if this box noticed the problem.
    pub(super) fn record_connect_failure(&mut self, pace: ReconnectPace, now: Duration) -> bool {
        let Some(unverified) = &mut self.unverified else { return false };
        unverified.failures += 1;
        unverified.probe_at = pace.next_attempt(unverified.failures, unverified.tried_at, now);
        unverified.is_local && unverified.failures == 1
    }

    /// Whether it is time to try to connect. Returns true again only after the pause that
    /// [`Upstream::record_connect_failure`] sets or, without a call of that, after the longest
    /// interval.
    pub(super) fn take_due_probe(&mut self, pace: ReconnectPace, now: Duration) -> bool {
        let Some(unverified) = self.unverified.as_mut().filter(|u| u.probe_at <= now) else {
            return false;
        };
        unverified.tried_at = now;
        unverified.probe_at = now + pace.interval_max();
        true
    }

    /// Whether there are a slot and memory for a prompt.
    pub(super) fn has_room(&self, prompt: &Prompt) -> bool {
        self.engine.as_ref().is_none_or(|engine| engine.has_room(prompt))
    }

    /// Whether a box in this role may send one more request now.
    pub(super) fn accepts(&self, role: Role, cx: Context<'_>) -> bool {
        self.engine.as_ref().is_none_or(|engine| engine.accepts(role, cx.tuning, cx.now))
    }

    /// The listing, with the current state of the cold start.
    pub(super) fn listing(&self, now: Duration) -> UpstreamListing {
        let cold_for = self.engine.as_ref().map(|engine| engine.cold_remaining(now));
        UpstreamListing { cold_for, ..self.listed.clone() }
    }

    /// How this engine, which has `cached` tokens of a prompt cached, would process it; `None` for
    /// plain services.
    pub(super) fn plan(
        &self,
        prompt: &Prompt,
        cached: u32,
        source: Option<CopySource>,
        home_bonus: Duration,
        cx: Context<'_>,
    ) -> Option<PrefillPlan> {
        let Context { speed, tuning, now, .. } = cx;
        let engine = self.engine.as_ref()?;
        let gain = source.map_or(0, |s| s.cached.saturating_sub(cached));
        let copied_tokens = if gain < COPY_TOKENS_MIN { 0 } else { gain };
        let prefill_tokens = prompt.tokens - cached - copied_tokens;
        let backlog = engine.backlog(speed, now);
        Some(PrefillPlan {
            wait: engine.wait_with_backlog(backlog, tuning, now),
            backlog,
            prefill_tokens,
            prefill_seconds: engine.prefill_seconds(
                Work::prefill(cached + copied_tokens, prefill_tokens),
                speed,
                now,
            ),
            first_token_overhead: speed.fixed_seconds(),
            copied_tokens,
            copy_time: if copied_tokens == 0 {
                Duration::ZERO
            } else {
                engine.copy_time(copied_tokens)
            },
            copy_from: source.filter(|_| copied_tokens != 0).map(|s| s.addr),
            home_bonus,
        })
    }

    /// Whether the engine's own speed is estimated.
    pub(super) fn has_own_speed(&self) -> bool {
        self.engine.as_ref().is_some_and(|engine| engine.own_speed().is_some())
    }

    /// The cost of sending a request here, in seconds; lower is better.
    pub(super) fn cost(&self, plan: Option<&PrefillPlan>, cx: Context<'_>) -> f64 {
        let tuning = cx.tuning;
        let mut bonus = if self.listed.zone == *cx.zone { ZONE_BONUS.as_secs_f64() } else { 0.0 };
        let Some(plan) = plan else {
            return self.response_time * f64::from(1 + self.outstanding) - bonus;
        };
        bonus += plan.home_bonus.as_secs_f64();
        let prefilling = plan.prefill_seconds;
        let copying = plan.copy_time.as_secs_f64();
        plan.wait.as_secs_f64() + prefilling * tuning.prefill_weight + copying * tuning.copy_weight
            - bonus
    }

    /// The choice of this upstream for a plain service.
    pub(super) fn choice_plain(&self) -> Choice {
        let wait = self.plain.wait(self.listed.slots);
        let first_token = wait + self.plain.processing_time();
        Choice { wait, first_token, running: self.plain.running(), ..self.choice(None) }
    }

    /// The choice of this upstream with the given plan.
    pub(super) fn choice(&self, plan: Option<PrefillPlan>) -> Choice {
        let first_token = plan.as_ref().map_or(Duration::ZERO, PrefillPlan::first_token);
        Choice {
            upstream: self.listed.name.clone(),
            addr: self.listed.addr,
            first_token,
            wait: plan.as_ref().map_or(Duration::ZERO, |p| p.wait),
            prefill_tokens: plan.as_ref().map_or(0, |p| p.prefill_tokens),
            copied_tokens: plan.as_ref().map_or(0, |p| p.copied_tokens),
            is_counted: false,
            is_probe: false,
            copy_from: plan.and_then(|p| p.copy_from),
            running: self.engine.as_ref().map_or(0, Engine::running),
            running_tokens: self.engine.as_ref().map_or(0, Engine::running_tokens),
        }
    }

    /// Records the outcome of a request of this box.
    pub(super) fn record_health(&mut self, health: Health, now: Duration) {
        match health {
            Health::Good(time) => {
                self.failures = 0;
                self.cooldown_until = Duration::ZERO;
                self.response_time +=
                    (time.as_secs_f64() - self.response_time) * RESPONSE_TIME_WEIGHT;
            }
            Health::Failed => {
                self.response_time += RESPONSE_TIME_WEIGHT * COOLDOWN_FIRST.as_secs_f64()
            }
            Health::Broken => {
                let cooldown = COOLDOWN_FIRST * 2u32.saturating_pow(self.failures.min(8));
                self.failures += 1;
                self.cooldown_until = now + cooldown.min(COOLDOWN_MAX);
            }
        }
    }
}
