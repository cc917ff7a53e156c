//! The model of one engine: the prompts that it still has to read, what it keeps of earlier ones,
//! and when it will give the first token of another request.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::placement::cache::PrefixCache;
use crate::placement::tuning::Tuning;
use crate::proxy::dialect::Part;
use crate::proxy::dialect::Prompt;
use crate::proxy::table::EngineLimits;

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
    /// Time to read it.
    seconds: f64,
}

/// The model of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    limits: EngineLimits,
    cache: PrefixCache,
    reading: VecDeque<Reading>,
    runs: FxHashMap<u64, Run>,
    run_tokens: u64,
    /// When it last gave the first token of a request.
    advanced: Duration,
    /// Seconds of reading that were placed here lately, less what the engine may do in the time
    /// since, and as of when.
    load: f64,
    load_at: Duration,
}

impl Engine {
    /// An engine that is believed to be idle and empty.
    pub fn new(limits: EngineLimits, tuning: Tuning) -> Engine {
        let capacity = (limits.memory_tokens as f64 * tuning.cache_share) as u64;
        Engine {
            limits,
            cache: PrefixCache::new(capacity),
            reading: VecDeque::new(),
            runs: FxHashMap::default(),
            run_tokens: 0,
            advanced: Duration::ZERO,
            load: 0.0,
            load_at: Duration::ZERO,
        }
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
    pub fn wait(&self, tuning: Tuning, now: Duration) -> Duration {
        self.backlog(now)
            .max(Duration::from_secs_f64(self.load(tuning, now) / tuning.reading_share))
    }

    fn load(&self, tuning: Tuning, now: Duration) -> f64 {
        let drained = now.saturating_sub(self.load_at).as_secs_f64() * tuning.reading_share;
        (self.load - drained).max(0.0)
    }

    /// Whether it has a slot and memory for another request.
    pub fn has_room(&self, prompt: &Prompt) -> bool {
        let needed = u64::from(prompt.tokens) + u64::from(prompt.written_max);
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
    pub fn backlog(&self, now: Duration) -> Duration {
        let Some(head) = self.reading.front() else { return Duration::ZERO };
        let total = Duration::from_secs_f64(self.reading.iter().map(|r| r.seconds).sum());
        let elapsed = now.saturating_sub(head.placed.max(self.advanced));
        if elapsed <= total {
            return total - elapsed;
        }
        // It is late: expect the delay to go on for as long again.
        (elapsed - total).saturating_sub(OVERDUE_SLACK)
    }

    /// Notes that a request is sent there.
    pub fn place(
        &mut self,
        request: u64,
        prompt: &Prompt,
        unread: u32,
        tuning: Tuning,
        sender: Option<IpAddr>,
        now: Duration,
    ) {
        let seconds = tuning.reading(prompt.tokens.saturating_sub(unread), unread);
        self.load = self.load(tuning, now) + seconds;
        self.load_at = now;
        let tokens = u64::from(prompt.tokens) + u64::from(prompt.written_max);
        self.cache.read(&prompt.parts);
        self.reading.push_back(Reading { request, placed: now, seconds });
        if let Some(before) = self.runs.insert(request, Run { placed: now, sender, tokens }) {
            self.run_tokens -= before.tokens;
        }
        self.run_tokens += tokens;
    }

    /// What it is believed to keep, for a box that knows nothing yet.
    pub fn parts(&self) -> Vec<Part> {
        self.cache.parts()
    }

    /// Takes over what it is said to keep, the parts unused longest first. What was read since is
    /// newer.
    pub fn keep(&mut self, parts: &[Part]) {
        let newer = self.cache.parts();
        self.cache.read(&reversed(parts));
        self.cache.read(&reversed(&newer));
    }

    /// Notes that a request has given its first token.
    pub fn first(&mut self, request: u64, now: Duration) {
        let Some(at) = self.reading.iter().position(|r| r.request == request) else { return };
        let placed = self.reading[at].placed;
        self.reading.remove(at);
        // Engines read in turn: what was sent well before is read, too, or was given up by a box
        // that could not tell any more.
        self.reading.retain(|r| placed < r.placed + IN_TURN_SLACK);
        self.advanced = now;
    }

    /// Notes that a request has ended, for whatever reason.
    pub fn end(&mut self, request: u64) {
        self.reading.retain(|r| r.request != request);
        if let Some(run) = self.runs.remove(&request) {
            self.run_tokens -= run.tokens;
        }
    }

    /// Forgets the requests of a box that is gone, and will never tell of their ends. The engine
    /// has dropped them with their connections.
    pub fn forget_sender(&mut self, sender: IpAddr) {
        self.end_all(|run| run.sender == Some(sender));
    }

    /// Forgets requests whose ends were never heard of.
    pub fn tick(&mut self, now: Duration) {
        let old = |placed: Duration| placed + FORGOTTEN_AFTER < now;
        self.reading.retain(|r| !old(r.placed));
        self.end_all(|run| old(run.placed));
    }

    fn end_all(&mut self, is_over: impl Fn(&Run) -> bool) {
        let over: Vec<u64> =
            self.runs.iter().filter(|(_, run)| is_over(run)).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.end(id));
    }
}

/// The cache takes the parts of a prompt, which it marks from the last to the first.
fn reversed(parts: &[Part]) -> Vec<Part> {
    parts.iter().rev().copied().collect()
}
