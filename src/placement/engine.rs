//! The model of one engine: the prompts that it still has to read, what it keeps of earlier ones,
//! and when it will give the first token of another request.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::placement::cache::PrefixCache;
use crate::proxy::dialect::Prompt;
use crate::proxy::table::EngineLimits;

/// How fast engines read and answer; the same for all engines of a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Prompt tokens read in a millisecond, between the steps of running requests.
    pub tokens_per_ms: f64,
    /// Time from the end of reading to the first token, without any backlog.
    pub first_step: Duration,
}

/// Part of an engine's memory that is believed to be left to cached prompts. Running requests take
/// the rest.
const CACHE_SHARE: f64 = 0.6;

/// A request whose end isn't heard of is forgotten after this: longer than any is held.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(20);

/// How long past its predicted time an engine's next first token may be before the delay counts
/// against the engine: a few steps with a full piece of a prompt.
const OVERDUE_SLACK: Duration = Duration::from_millis(250);

/// One request at an engine.
#[derive(Clone, Copy, Debug)]
struct Run {
    placed: Duration,
    /// Tokens that take memory while it runs.
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    request: u64,
    placed: Duration,
    unread: u32,
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
}

impl Engine {
    /// An engine that is believed to be idle and empty.
    pub fn new(limits: EngineLimits) -> Engine {
        let capacity = (limits.memory_tokens as f64 * CACHE_SHARE) as u64;
        Engine {
            limits,
            cache: PrefixCache::new(capacity),
            reading: VecDeque::new(),
            runs: FxHashMap::default(),
            run_tokens: 0,
            advanced: Duration::ZERO,
        }
    }

    /// Tokens of a prompt that it would have to read.
    pub fn unread(&self, prompt: &Prompt) -> u32 {
        prompt.tokens.saturating_sub(self.cache.kept(&prompt.parts))
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

    /// How long it will read what it has been sent already.
    pub fn backlog(&self, pace: Pace, now: Duration) -> Duration {
        let Some(head) = self.reading.front() else { return Duration::ZERO };
        let tokens: u64 = self.reading.iter().map(|r| u64::from(r.unread)).sum();
        let total = Duration::from_secs_f64(tokens as f64 / pace.tokens_per_ms / 1000.0);
        let elapsed = now.saturating_sub(head.placed.max(self.advanced));
        if elapsed <= total {
            return total - elapsed;
        }
        // It is late: expect the delay to go on for as long again.
        (elapsed - total).saturating_sub(OVERDUE_SLACK)
    }

    /// When the first token of a request sent now would come, from now on.
    pub fn first_token(&self, unread: u32, pace: Pace, now: Duration) -> Duration {
        self.backlog(pace, now)
            + Duration::from_secs_f64(f64::from(unread) / pace.tokens_per_ms / 1000.0)
            + pace.first_step
    }

    /// Notes that a request is sent there.
    pub fn place(&mut self, request: u64, prompt: &Prompt, unread: u32, now: Duration) {
        let tokens = u64::from(prompt.tokens) + u64::from(prompt.written_max);
        self.cache.read(&prompt.parts);
        self.reading.push_back(Reading { request, placed: now, unread });
        if let Some(before) = self.runs.insert(request, Run { placed: now, tokens }) {
            self.run_tokens -= before.tokens;
        }
        self.run_tokens += tokens;
    }

    /// Notes that a request has given its first token.
    pub fn first(&mut self, request: u64, now: Duration) {
        if let Some(at) = self.reading.iter().position(|r| r.request == request) {
            self.reading.remove(at);
            self.advanced = now;
        }
    }

    /// Notes that a request has ended, for whatever reason.
    pub fn end(&mut self, request: u64) {
        self.reading.retain(|r| r.request != request);
        if let Some(run) = self.runs.remove(&request) {
            self.run_tokens -= run.tokens;
        }
    }

    /// Forgets requests whose ends were never heard of.
    pub fn tick(&mut self, now: Duration) {
        let old = |placed: Duration| placed + FORGOTTEN_AFTER < now;
        self.reading.retain(|r| !old(r.placed));
        let lost: Vec<u64> =
            self.runs.iter().filter(|(_, run)| old(run.placed)).map(|(id, _)| *id).collect();
        for id in lost {
            self.end(id);
        }
    }
}
