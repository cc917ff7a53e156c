//! Predicted state of one engine: its pending prefills, the prompt parts that it has cached, and
//! when it would produce the first token of another request.

mod records;

use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::placement::cache::PrefixCache;
use crate::placement::cold::ColdStart;
use crate::placement::cold::Role;
use crate::placement::engine_speed::EngineSpeed;
use crate::placement::engine_speed::Measurement;
use crate::placement::speed::SlowdownFactor;
use crate::placement::speed::Speed;
use crate::placement::speed::Work;
use crate::placement::tuning::Tuning;
use crate::proxy::adapter::Prompt;
use crate::proxy::adapter::PromptPart;
use crate::proxy::routing_table::EngineLimits;

/// Time to set up a copy from another engine; the users state 3.3 ms.
const COPY_SETUP: Duration = Duration::from_millis(4);

/// A request sent this long before one that has been prefilled counts as prefilled too. Engines
/// prefill in order, but a short prompt may overtake the chunks of a long one; this exceeds any
/// wait that is accepted.
const IN_ORDER_SLACK: Duration = Duration::from_secs(1);

/// Delay of an engine's next first token beyond the prediction that is not yet held against the
/// engine: a few steps with a full prefill chunk.
const OVERDUE_SLACK: Duration = Duration::from_millis(250);

/// A late first token is expected to be late as long again, up to this. It exceeds any wait that
/// callers accept; a longer one would only keep requests away after the engine has recovered.
const LATENESS_MAX: Duration = Duration::from_millis(2000);

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    placed: Duration,
    /// When its sender last confirmed it.
    renewed: Duration,
    /// The sending box; `None` for this one.
    sender: Option<IpAddr>,
    /// Tokens of memory that the request occupies.
    tokens: u64,
    cached_tokens: u32,
    prefill_tokens: u32,
}

#[derive(Clone, Copy, Debug)]
struct PendingPrefill {
    request: u64,
    placed: Duration,
    /// Work to prefill this prompt.
    work: Work,
    /// The same, plus all work ahead of it when it was placed.
    work_with_backlog: Work,
    /// Time for the copy that precedes the prefill.
    copy_time: Duration,
    /// Whether it could start as soon as the work ahead of it was done.
    had_slot: bool,
}

/// The predicted period in which a prompt is prefilled, in seconds.
#[derive(Clone, Copy, Debug)]
struct PrefillSpan {
    begin: f64,
    end: f64,
    work: Work,
}

/// Predicted state of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    limits: EngineLimits,
    cache: PrefixCache,
    pending: VecDeque<PendingPrefill>,
    requests: FxHashMap<u64, RunningRequest>,
    running_tokens: u64,
    /// When the last completed prefill ended, in seconds.
    last_prefill_end: f64,
    /// Seconds of prefill placed here, less those that [`Tuning::prefill_share`] has allowed since;
    /// as of `load_updated`.
    load: f64,
    load_updated: Duration,
    slowdown: SlowdownFactor,
    /// Replaces `slowdown` where engines of one service differ much.
    own_speed: Option<EngineSpeed>,
    /// Whether first tokens are dated by what their senders measured.
    uses_sender_times: bool,
    cold_start: ColdStart,
}

/// A request being sent to an engine.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Identifies this attempt to send the request.
    pub request: u64,
    /// The prompt to prefill.
    pub prompt: &'a Prompt,
    /// Tokens of the prompt that must be prefilled.
    pub prefill_tokens: u32,
    /// Tokens of the prompt that are copied from another engine.
    pub copied_tokens: u32,
    /// The sending box; `None` for this one.
    pub sender: Option<IpAddr>,
    /// The role in which this box decided; `None` if another box did.
    pub decided_by: Option<Role>,
}

impl Engine {
    /// Creates the state of an idle engine with an empty cache.
    pub fn new(limits: EngineLimits) -> Engine {
        Engine {
            limits,
            // The cache may take all memory: running requests need more only for their output,
            // which is small compared with prompts.
            cache: PrefixCache::new(limits.memory_tokens),
            pending: VecDeque::new(),
            requests: FxHashMap::default(),
            running_tokens: 0,
            last_prefill_end: 0.0,
            load: 0.0,
            load_updated: Duration::ZERO,
            slowdown: SlowdownFactor::default(),
            own_speed: None,
            uses_sender_times: false,
            cold_start: ColdStart::default(),
        }
    }

    pub fn limits(&self) -> EngineLimits {
        self.limits
    }

    /// Starts to date first tokens by what their senders measured, not by when they were reported.
    /// Where requests wait for the end of a prefill, the delay of reports would leave the engine idle
    /// after each.
    pub fn use_sender_times(&mut self) {
        self.uses_sender_times = true;
    }

    /// Starts to estimate the engine's own speed, with no knowledge of it.
    pub fn start_own_speed(&mut self) {
        self.own_speed = Some(EngineSpeed::default());
    }

    /// Forgets what was learned of another instance or version.
    pub fn reset_own_speed(&mut self) {
        self.own_speed = self.own_speed.map(|_| EngineSpeed::default());
    }

    pub fn own_speed(&self) -> Option<&EngineSpeed> {
        self.own_speed.as_ref()
    }

    pub fn own_speed_mut(&mut self) -> Option<&mut EngineSpeed> {
        self.own_speed.as_mut()
    }

    pub fn prefill_seconds(&self, work: Work, speed: &Speed, now: Duration) -> f64 {
        speed.prefill_seconds(work) * self.speed_factor(now)
    }

    /// How many times as long as its service's engines this one takes now.
    pub fn speed_factor(&self, now: Duration) -> f64 {
        self.own_speed.map_or_else(|| self.slowdown.get(), |own| own.factor(now))
    }

    /// Tokens at the head of a prompt that the engine has cached.
    pub fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        self.cache.cached_tokens(&prompt.parts).min(prompt.tokens)
    }

    /// Time to copy this many tokens from another engine.
    pub fn copy_time(&self, tokens: u32) -> Duration {
        let rate = self.limits.copied_per_s.max(1) as f64;
        COPY_SETUP + Duration::from_secs_f64(f64::from(tokens) / rate)
    }

    /// How long a request would wait here: for the prefill backlog, and for the pauses between
    /// prompts in which running requests proceed.
    pub fn wait(&self, speed: &Speed, tuning: Tuning, now: Duration) -> Duration {
        self.wait_with_backlog(self.backlog(speed, now), tuning, now)
    }

    /// The same, with the result of [`Engine::backlog`].
    pub fn wait_with_backlog(&self, backlog: Duration, tuning: Tuning, now: Duration) -> Duration {
        backlog.max(Duration::from_secs_f64(
            self.load(tuning, now) / tuning.prefill_share_of(self.limits.slots),
        ))
    }

    fn load(&self, tuning: Tuning, now: Duration) -> f64 {
        let drained = now.saturating_sub(self.load_updated).as_secs_f64()
            * tuning.prefill_share_of(self.limits.slots);
        (self.load - drained).max(0.0)
    }

    /// Whether there are a slot and memory for another request.
    pub fn has_room(&self, prompt: &Prompt) -> bool {
        self.requests.len() < self.limits.slots as usize
            && self.running_tokens + tokens_needed(prompt) <= self.limits.memory_tokens
    }

    /// Whether the engine has the memory for a request, if it runs nothing else.
    pub fn can_hold(&self, prompt: &Prompt) -> bool {
        tokens_needed(prompt) <= self.limits.memory_tokens
    }

    /// Requests that run or wait here.
    pub fn running(&self) -> usize {
        self.requests.len()
    }

    /// Tokens of memory that these occupy.
    pub fn running_tokens(&self) -> u64 {
        self.running_tokens
    }

    /// Time to finish all prefills sent so far.
    pub fn backlog(&self, speed: &Speed, now: Duration) -> Duration {
        if self.pending.is_empty() {
            return Duration::ZERO;
        }
        let (factor, now) = (self.speed_factor(now), now.as_secs_f64());
        let Some(end) = self.prefill_spans(speed, factor, now).last().map(|span| span.end) else {
            return Duration::ZERO;
        };
        // If the next first token is late, the delay is expected to last as long again.
        let late = self.lateness(speed, factor, now).min(LATENESS_MAX.as_secs_f64());
        Duration::from_secs_f64((end - now).max(late).max(0.0))
    }

    /// Whether the next first token is late.
    pub fn is_overdue(&self, speed: &Speed, now: Duration) -> bool {
        0.0 < self.lateness(speed, self.speed_factor(now), now.as_secs_f64())
    }

    /// Seconds by which the next first token is late; negative if it isn't.
    fn lateness(&self, speed: &Speed, factor: f64, now: f64) -> f64 {
        let due = self
            .prefill_spans(speed, factor, f64::MIN)
            .next()
            .map_or(now, |span| span.end + speed.fixed_seconds());
        now - due - OVERDUE_SLACK.as_secs_f64()
    }

    /// Prefill work that has been sent and is not done yet.
    fn remaining_work(&self, speed: &Speed, now: Duration) -> Work {
        let (factor, now) = (self.speed_factor(now), now.as_secs_f64());
        let remaining =
            self.prefill_spans(speed, factor, now).map(|PrefillSpan { begin, end, work }| {
                let seconds = (end - begin).max(f64::MIN_POSITIVE);
                work.scaled(((end - now) / seconds).clamp(0.0, 1.0))
            });
        remaining.fold(Work::default(), Work::plus)
    }

    /// The predicted prefill periods of all prompts without a first token: one after the other,
    /// starting at the end of the last completed prefill.
    fn prefill_spans(
        &self,
        speed: &Speed,
        factor: f64,
        now: f64,
    ) -> impl Iterator<Item = PrefillSpan> {
        // A prompt without a token by now ended its prefill at this time at the earliest.
        let earliest = now - speed.fixed_seconds() - OVERDUE_SLACK.as_secs_f64();
        let mut end = self.last_prefill_end;
        self.pending.iter().map(move |r| {
            let begin = end.max((r.placed + r.copy_time).as_secs_f64());
            end = (begin + speed.prefill_seconds(r.work) * factor).max(earliest);
            PrefillSpan { begin, end, work: r.work }
        })
    }

    /// Records a request that is sent to the engine.
    pub fn place(
        &mut self,
        placement: Placement<'_>,
        speed: &Speed,
        tuning: Tuning,
        now: Duration,
    ) {
        let Placement { request, prompt, prefill_tokens, copied_tokens, sender, decided_by } =
            placement;
        if let Some(limits) = self.limits.cold {
            self.cold_start.record_request(decided_by, limits, tuning.cold, now);
        }
        let work = Work::prefill(prompt.tokens.saturating_sub(prefill_tokens), prefill_tokens);
        let work_with_backlog = self.remaining_work(speed, now).plus(work);
        self.load = self.load(tuning, now) + self.prefill_seconds(work, speed, now);
        self.load_updated = now;
        let tokens = tokens_needed(prompt);
        self.cache.insert(&prompt.parts);
        let copy_time =
            if copied_tokens == 0 { Duration::ZERO } else { self.copy_time(copied_tokens) };
        let had_slot = self.requests.len() < self.limits.slots as usize;
        self.pending.push_back(PendingPrefill {
            request,
            placed: now,
            work,
            work_with_backlog,
            copy_time,
            had_slot,
        });
        let running = RunningRequest {
            placed: now,
            renewed: now,
            sender,
            tokens,
            cached_tokens: prompt.tokens.saturating_sub(prefill_tokens),
            prefill_tokens,
        };
        if let Some(before) = self.requests.insert(request, running) {
            self.running_tokens -= before.tokens;
        }
        self.running_tokens += tokens;
    }

    /// Records that the engine is cold for this long, or for as long as after a start if `None`.
    /// Returns whether this is a new cold start.
    pub fn mark_cold(&mut self, cold_remaining: Option<Duration>, now: Duration) -> bool {
        let Some(limits) = self.limits.cold else { return false };
        let cold_remaining = cold_remaining.unwrap_or(limits.duration);
        self.cold_start.mark_cold(now.saturating_add(cold_remaining), now)
    }

    /// How long the engine stays cold.
    pub fn cold_remaining(&self, now: Duration) -> Duration {
        self.cold_start.remaining(now)
    }

    /// Withholds requests before `until` if the engine is cold.
    pub fn hold_if_cold(&mut self, until: Duration) {
        self.cold_start.hold_until(until);
    }

    /// Whether a box in this role may send one more request now.
    pub fn accepts(&self, role: Role, tuning: Tuning, now: Duration) -> bool {
        self.limits
            .cold
            .is_none_or(|limits| self.cold_start.accepts(role, limits, tuning.cold, now))
    }

    /// The parts believed to be cached, for a box that has no state of the engine yet.
    pub fn cached_parts(&self) -> Vec<PromptPart> {
        self.cache.parts()
    }

    /// Merges parts reported to be cached, least recently used first. Parts of prompts recorded
    /// here are newer.
    pub fn merge_cached_parts(&mut self, parts: &[PromptPart]) {
        let newer = self.cache.parts();
        self.cache.insert(&reversed(parts));
        self.cache.insert(&reversed(&newer));
    }

    /// Records the first token of a request, `took` after it was sent, and updates the speed
    /// estimates of the engine and its service. Returns whether the engine has become slow, or
    /// normal again.
    pub fn record_first_token(
        &mut self,
        request: u64,
        took: Option<Duration>,
        speed: &mut Speed,
        now: Duration,
    ) -> bool {
        let Some(at) = self.pending.iter().position(|r| r.request == request) else { return false };
        let Some(prefill) = self.pending.remove(at) else { return false };
        let placed = prefill.placed;
        let took = took.unwrap_or(now.saturating_sub(placed));
        let has_changed = self.learn(&prefill, took, speed, now);
        // Engines prefill in order: a request sent well before this one is prefilled too, or was
        // abandoned by a box that could no longer report it.
        self.pending.retain(|r| placed < r.placed + IN_ORDER_SLACK);
        let first_token = if self.uses_sender_times { now.min(placed + took) } else { now };
        let end = first_token.as_secs_f64() - speed.fixed_seconds();
        self.last_prefill_end = self.last_prefill_end.max(end);
        has_changed
    }

    /// Returns whether the engine has become slow, or normal again.
    fn learn(
        &mut self,
        prefill: &PendingPrefill,
        took: Duration,
        speed: &mut Speed,
        now: Duration,
    ) -> bool {
        if !prefill.had_slot {
            return false;
        }
        let took = took.saturating_sub(prefill.copy_time).as_secs_f64();
        let expected = speed.prefill_seconds(prefill.work_with_backlog);
        let factor = self.speed_factor(now);
        let prefill_took = took - speed.fixed_seconds();
        let has_changed = match &mut self.own_speed {
            None => {
                self.slowdown.update(expected, prefill_took, now);
                false
            }
            Some(own) => Measurement::new(expected, prefill_took)
                .is_some_and(|measured| own.update(measured, speed.common_error(), now)),
        };
        speed.update(prefill.work_with_backlog.scaled(factor), took, now);
        has_changed
    }

    /// Records the end of a request, whatever the reason. Returns whether it was known.
    pub fn remove_request(&mut self, request: u64) -> bool {
        self.pending.retain(|r| r.request != request);
        let Some(running) = self.requests.remove(&request) else { return false };
        self.running_tokens -= running.tokens;
        true
    }

    /// Removes a request that is not sent, including its prefill. Returns whether it was known.
    pub fn withdraw(&mut self, request: u64, speed: &Speed, tuning: Tuning, now: Duration) -> bool {
        if let Some(work) = self.pending.iter().find(|r| r.request == request).map(|r| r.work) {
            let seconds = self.prefill_seconds(work, speed, now);
            self.load = (self.load(tuning, now) - seconds).max(0.0);
            self.load_updated = now;
        }
        self.remove_request(request)
    }

    /// Removes the requests of a dead box, which cannot report their ends. The engine has dropped
    /// them with their connections.
    pub fn remove_sender(&mut self, sender: IpAddr) {
        self.remove_matching(|running| running.sender == Some(sender));
    }

    /// Drops requests that their senders no longer confirm.
    pub fn expire(&mut self, now: Duration) {
        self.remove_matching(|running| running.has_expired(now));
        self.pending.retain(|r| self.requests.contains_key(&r.request));
    }

    /// Whether any request runs, waits or is being prefilled.
    pub fn is_busy(&self) -> bool {
        !self.requests.is_empty() || !self.pending.is_empty()
    }

    fn remove_matching(&mut self, matches: impl Fn(&RunningRequest) -> bool) {
        let ended: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, running)| matches(running))
            .map(|(id, _)| *id)
            .collect();
        ended.into_iter().for_each(|id| _ = self.remove_request(id));
    }
}

/// Tokens of memory that a request may come to occupy.
fn tokens_needed(prompt: &Prompt) -> u64 {
    u64::from(prompt.tokens) + u64::from(prompt.output_tokens_max)
}

/// [`PrefixCache::insert`] marks the parts of a prompt from the last to the first.
fn reversed(parts: &[PromptPart]) -> Vec<PromptPart> {
    parts.iter().rev().copied().collect()
}
