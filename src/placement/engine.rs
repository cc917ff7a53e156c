//! The model of one engine: the prompts that it still has to read, what it keeps of earlier ones,
//! and when it will give the first token of another request.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::placement::cache::PrefixCache;
use crate::placement::cold::ColdStart;
use crate::placement::cold::Role;
use crate::placement::speed::SlowdownFactor;
use crate::placement::speed::Speed;
use crate::placement::speed::Work;
use crate::placement::tuning::Tuning;
use crate::proxy::adapter::Prompt;
use crate::proxy::adapter::PromptPart;
use crate::proxy::routing_table::EngineLimits;

/// A request whose end isn't heard of is forgotten after this: longer than any is held.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(20);

/// Time to begin a copy from another engine; the users' sheets say 3.3 ms.
const COPY_SETUP: Duration = Duration::from_millis(4);

/// A request that was sent this long before one that has been read is read, too. Engines read in
/// turn, but a short prompt may overtake the pieces of a long one; this is longer than any wait
/// that is accepted.
const IN_TURN_SLACK: Duration = Duration::from_secs(1);

/// How long past its predicted time an engine's next first token may be before the delay counts
/// against the engine: a few steps with a full piece of a prompt.
const OVERDUE_SLACK: Duration = Duration::from_millis(250);

/// One request at an engine.
#[derive(Clone, Copy, Debug)]
struct Run {
    placed: Duration,
    /// The box that sent it; nothing for this one.
    sender: Option<IpAddr>,
    /// Tokens that take memory while it runs.
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    request: u64,
    placed: Duration,
    /// What it takes to read it.
    work: Work,
    /// The same, with all that was before it when it was placed.
    ahead: Work,
    /// Time for the copy that comes before reading.
    copying: Duration,
    /// Whether it could begin as soon as what was before it had been read.
    had_slot: bool,
}

/// The time in which a prompt is read, in seconds.
#[derive(Clone, Copy, Debug)]
struct Turn {
    begin: f64,
    end: f64,
    work: Work,
}

/// The model of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    limits: EngineLimits,
    cache: PrefixCache,
    reading: VecDeque<Reading>,
    runs: FxHashMap<u64, Run>,
    run_tokens: u64,
    /// When it last came to the end of a prompt, in seconds.
    advanced: f64,
    /// Seconds of reading that were placed here lately, less what the engine may do in the time
    /// since, and as of when.
    load: f64,
    load_at: Duration,
    factor: SlowdownFactor,
    cold: ColdStart,
}

/// What is known of a request when it is sent to an engine.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Names the send.
    pub request: u64,
    /// What is to be read.
    pub prompt: &'a Prompt,
    /// Tokens of it that must be read.
    pub prefill_tokens: u32,
    /// Tokens of it that are copied from another engine.
    pub copied_tokens: u32,
    /// The box that sends it; nothing for this one.
    pub sender: Option<IpAddr>,
    /// By what right this box has decided_by that; nothing where another one has.
    pub decided_by: Option<Role>,
}

impl Engine {
    /// An engine that is believed to be idle and empty.
    pub fn new(limits: EngineLimits) -> Engine {
        Engine {
            limits,
            // Running requests take memory for what they write only, which is little beside prompts.
            cache: PrefixCache::new(limits.memory_tokens),
            reading: VecDeque::new(),
            runs: FxHashMap::default(),
            run_tokens: 0,
            advanced: 0.0,
            load: 0.0,
            load_at: Duration::ZERO,
            factor: SlowdownFactor::default(),
            cold: ColdStart::default(),
        }
    }

    /// What it can hold and bear.
    pub fn limits(&self) -> EngineLimits {
        self.limits
    }

    /// Seconds that it takes to read this.
    pub fn reading(&self, work: Work, speed: &Speed) -> f64 {
        speed.reading(work) * self.factor.get()
    }

    /// Tokens at the head of a prompt that it keeps.
    pub fn kept(&self, prompt: &Prompt) -> u32 {
        self.cache.kept(&prompt.parts).min(prompt.tokens)
    }

    /// Time that it takes to copy this many tokens from another engine.
    pub fn copy_time(&self, tokens: u32) -> Duration {
        let rate = self.limits.copied_per_s.max(1) as f64;
        COPY_SETUP + Duration::from_secs_f64(f64::from(tokens) / rate)
    }

    /// How long a request has to wait here: for what is still to be read, and for the pause
    /// between prompts that running requests need to go on.
    pub fn wait(&self, speed: &Speed, tuning: Tuning, now: Duration) -> Duration {
        self.backlog(speed, now)
            .max(Duration::from_secs_f64(self.load(tuning, now) / tuning.prefill_share))
    }

    fn load(&self, tuning: Tuning, now: Duration) -> f64 {
        let drained = now.saturating_sub(self.load_at).as_secs_f64() * tuning.prefill_share;
        (self.load - drained).max(0.0)
    }

    /// Whether it has a slot and memory for another request.
    pub fn has_room(&self, prompt: &Prompt) -> bool {
        let needed = u64::from(prompt.tokens) + u64::from(prompt.output_tokens_max);
        self.runs.len() < self.limits.slots as usize
            && self.run_tokens + needed <= self.limits.memory_tokens
    }

    /// Requests that run or wait there.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Tokens of memory that these take.
    pub fn running_tokens(&self) -> u64 {
        self.run_tokens
    }

    /// How long it will read what it has been sent already.
    pub fn backlog(&self, speed: &Speed, now: Duration) -> Duration {
        let now = now.as_secs_f64();
        let Some(end) = self.turns(speed, now).last().map(|turn| turn.end) else {
            return Duration::ZERO;
        };
        // Where the next first token is late, the delay is expected to go on for as long again.
        let due = self.turns(speed, f64::MIN).next().map_or(now, |turn| turn.end + speed.fixed());
        let late = now - due - OVERDUE_SLACK.as_secs_f64();
        Duration::from_secs_f64((end - now).max(late).max(0.0))
    }

    /// What it has been sent already and not read yet.
    fn left(&self, speed: &Speed, now: Duration) -> Work {
        let now = now.as_secs_f64();
        let left = self.turns(speed, now).map(|Turn { begin, end, work }| {
            let seconds = (end - begin).max(f64::MIN_POSITIVE);
            work.times(((end - now) / seconds).clamp(0.0, 1.0))
        });
        left.fold(Work::default(), Work::and)
    }

    /// When it reads each of the prompts whose first tokens haven't come: one after the other, from
    /// the end of the last one whose token came.
    fn turns(&self, speed: &Speed, now: f64) -> impl Iterator<Item = Turn> {
        // What gave no token by now was read at the earliest so long ago.
        let earliest = now - speed.fixed() - OVERDUE_SLACK.as_secs_f64();
        let mut end = self.advanced;
        self.reading.iter().map(move |r| {
            let begin = end.max((r.placed + r.copying).as_secs_f64());
            end = (begin + self.reading(r.work, speed)).max(earliest);
            Turn { begin, end, work: r.work }
        })
    }

    /// Notes that a request is sent there.
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
            self.cold.begin(decided_by, limits, tuning.cold, now);
        }
        let work = Work::reading(prompt.tokens.saturating_sub(prefill_tokens), prefill_tokens);
        let ahead = self.left(speed, now).and(work);
        self.load = self.load(tuning, now) + self.reading(work, speed);
        self.load_at = now;
        let tokens = u64::from(prompt.tokens) + u64::from(prompt.output_tokens_max);
        self.cache.read(&prompt.parts);
        let copying =
            if copied_tokens == 0 { Duration::ZERO } else { self.copy_time(copied_tokens) };
        let had_slot = self.runs.len() < self.limits.slots as usize;
        self.reading.push_back(Reading { request, placed: now, work, ahead, copying, had_slot });
        if let Some(before) = self.runs.insert(request, Run { placed: now, sender, tokens }) {
            self.run_tokens -= before.tokens;
        }
        self.run_tokens += tokens;
    }

    /// Notes that it is cold for so long, or for as long as after a start if nothing is known. True where
    /// that is news.
    pub fn mark_cold(&mut self, cold_for: Option<Duration>, now: Duration) -> bool {
        let Some(limits) = self.limits.cold else { return false };
        self.cold.note(now + cold_for.unwrap_or(limits.duration), now)
    }

    /// How long it stays cold.
    pub fn cold_for(&self, now: Duration) -> Duration {
        self.cold.left(now)
    }

    /// Nothing goes there before `until`, if it is cold.
    pub fn hold_if_cold(&mut self, until: Duration) {
        self.cold.hold(until);
    }

    /// Whether it bears one more request now, if a box of this role sends it.
    pub fn bears(&self, role: Role, tuning: Tuning, now: Duration) -> bool {
        self.limits.cold.is_none_or(|limits| self.cold.bears(role, limits, tuning.cold, now))
    }

    /// What it is believed to keep, for a box that knows nothing yet.
    pub fn parts(&self) -> Vec<PromptPart> {
        self.cache.parts()
    }

    /// Takes over what it is said to keep, the parts unused longest first. What was read since is
    /// newer.
    pub fn keep(&mut self, parts: &[PromptPart]) {
        let newer = self.cache.parts();
        self.cache.read(&reversed(parts));
        self.cache.read(&reversed(&newer));
    }

    /// Notes that a request has given its first token, `took` after it was sent; learns from that
    /// how fast this engine and its service are.
    pub fn first(
        &mut self,
        request: u64,
        took: Option<Duration>,
        speed: &mut Speed,
        now: Duration,
    ) {
        let Some(at) = self.reading.iter().position(|r| r.request == request) else { return };
        let Some(read) = self.reading.remove(at) else { return };
        let placed = read.placed;
        self.learn(&read, took.unwrap_or(now.saturating_sub(placed)), speed, now);
        // Engines read in turn: what was sent well before is read, too, or was given up by a box
        // that could not tell any more.
        self.reading.retain(|r| placed < r.placed + IN_TURN_SLACK);
        self.advanced = self.advanced.max(now.as_secs_f64() - speed.fixed());
    }

    fn learn(&mut self, read: &Reading, took: Duration, speed: &mut Speed, now: Duration) {
        if !read.had_slot {
            return;
        }
        let took = took.saturating_sub(read.copying).as_secs_f64();
        let expected = speed.reading(read.ahead);
        let factor = self.factor.get();
        self.factor.learn(expected, took - speed.fixed(), now);
        speed.learn(read.ahead.times(factor), took, now);
    }

    /// Notes that a request has ended, for whatever reason.
    pub fn end(&mut self, request: u64) {
        self.reading.retain(|r| r.request != request);
        if let Some(run) = self.runs.remove(&request) {
            self.run_tokens -= run.tokens;
        }
    }

    /// Forgets a request that isn't sent: it needn't be read, either.
    pub fn withdraw(&mut self, request: u64, speed: &Speed, tuning: Tuning, now: Duration) {
        if let Some(work) = self.reading.iter().find(|r| r.request == request).map(|r| r.work) {
            self.load = (self.load(tuning, now) - self.reading(work, speed)).max(0.0);
            self.load_at = now;
        }
        self.end(request);
    }

    /// Forgets the requests of a box that is gone, and will never tell of their ends. The engine
    /// has dropped them with their connections.
    pub fn remove_sender(&mut self, sender: IpAddr) {
        self.end_all(|run| run.sender == Some(sender));
    }

    /// Forgets requests whose ends were never heard of.
    pub fn tick(&mut self, now: Duration) {
        let old = |placed: Duration| placed + FORGOTTEN_AFTER < now;
        self.reading.retain(|r| !old(r.placed));
        self.end_all(|run| old(run.placed));
    }

    /// Whether anything runs, waits or is being read there.
    pub fn is_busy(&self) -> bool {
        !self.runs.is_empty() || !self.reading.is_empty()
    }

    fn end_all(&mut self, is_over: impl Fn(&Run) -> bool) {
        let over: Vec<u64> =
            self.runs.iter().filter(|(_, run)| is_over(run)).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.end(id));
    }
}

/// The cache takes the parts of a prompt, which it marks from the last to the first.
fn reversed(parts: &[PromptPart]) -> Vec<PromptPart> {
    parts.iter().rev().copied().collect()
}
