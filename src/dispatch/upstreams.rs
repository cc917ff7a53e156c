//! The upstreams of one pool in one availability zone: their free slots, and which of them to take.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::config;
use crate::names::BoxName;
use crate::names::UpstreamName;
use crate::peer::message::Ending;

/// Failures in a row after which an upstream is put aside.
const FAILURES_MAX: u32 = 3;

/// How long an upstream is first put aside; doubled at each failed trial.
const ASIDE_FIRST: Duration = Duration::from_secs(2);

/// Longest time that an upstream is put aside before the next trial.
const ASIDE_MAX: Duration = Duration::from_secs(60);

/// Prefixes whose upstream is remembered, per pool and zone.
const PREFIXES_MAX: usize = 4096;

/// How far an upstream's own load report may lag.
const REPORT_LAG: Duration = Duration::from_secs(2);

/// What an upstream says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Requests that run there, whoever sent them.
    pub running: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// Why an upstream gets no work now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// The configuration drains it.
    Draining,
    /// It says itself, or the box list says, that it leaves.
    Leaving,
    /// It failed too often and waits for its next trial.
    Failing,
    /// It has asked for a backoff.
    Backoff,
    /// All its slots are in use.
    Full,
}

/// The upstreams of one pool in one availability zone.
#[derive(Debug, Default)]
pub struct Upstreams {
    all: Vec<Upstream>,
    index: FxHashMap<UpstreamName, usize>,
    free: BTreeSet<(u32, usize)>,
    prefixes: FxHashMap<u64, UpstreamName>,
    prefix_order: VecDeque<u64>,
}

#[derive(Debug)]
struct Upstream {
    name: UpstreamName,
    slots: u32,
    draining: bool,
    leaving: bool,
    listed_leaving: bool,
    gone: bool,
    running: u32,
    peak: Peak,
    foreign: u32,
    failures: u32,
    aside: Duration,
    retry_at: Option<Duration>,
    /// Until when it wants no requests.
    backoff_until: Option<Duration>,
    trial: bool,
}

/// The largest number of own requests in the last one to two reporting lags.
#[derive(Debug, Default)]
struct Peak {
    since: Duration,
    before: u32,
    now: u32,
}

impl Peak {
    fn note(&mut self, running: u32, now: Duration) {
        if self.since + REPORT_LAG <= now {
            self.before = self.now;
            self.now = running;
            self.since = now;
        }
        self.now = self.now.max(running);
    }

    fn max(&self) -> u32 {
        self.before.max(self.now)
    }
}

impl Upstream {
    fn free(&self) -> u32 {
        if self.why_aside().is_some() {
            return 0;
        }
        let free = self.slots.saturating_sub(self.running + self.foreign);
        // After failures a single request tries whether the upstream is well again.
        if self.failures < FAILURES_MAX { free } else { free.min(1) }
    }

    fn why_aside(&self) -> Option<UnavailableReason> {
        if self.gone || self.draining {
            return Some(UnavailableReason::Draining);
        }
        if self.leaving || self.listed_leaving {
            return Some(UnavailableReason::Leaving);
        }
        if self.backoff_until.is_some() {
            return Some(UnavailableReason::Backoff);
        }
        if self.retry_at.is_some() || self.trial {
            return Some(UnavailableReason::Failing);
        }
        if self.slots <= self.running + self.foreign {
            return Some(UnavailableReason::Full);
        }
        None
    }
}

impl Upstreams {
    /// Takes over the upstreams of a new configuration, keeping what is known of those that stay.
    pub fn configure<'a>(&mut self, upstreams: impl Iterator<Item = &'a config::Upstream>) {
        for known in &mut self.all {
            known.gone = true;
        }
        for cfg in upstreams {
            let i = self.find_or_add(&cfg.name);
            let known = &mut self.all[i];
            known.gone = false;
            known.draining = cfg.draining;
            known.slots = cfg.slots;
        }
        self.free.clear();
        for i in 0..self.all.len() {
            self.place(i, 0);
        }
    }

    /// Whether any upstream could take a request now.
    pub fn has_free(&self) -> bool {
        !self.free.is_empty()
    }

    /// The number of slots of all upstreams that may get work.
    pub fn slots(&self) -> u32 {
        let usable = |u: &&Upstream| {
            !matches!(u.why_aside(), Some(UnavailableReason::Draining | UnavailableReason::Leaving))
        };
        self.all.iter().filter(usable).map(|u| u.slots).sum()
    }

    /// How many requests run, by own grants.
    pub fn running(&self) -> u32 {
        self.all.iter().map(|u| u.running).sum()
    }

    /// How many upstreams could take a request now.
    pub fn candidates(&self) -> usize {
        self.free.len()
    }

    /// Each upstream's name and why it gets nothing now, if it doesn't.
    pub fn states(&self) -> impl Iterator<Item = (&UpstreamName, Option<UnavailableReason>)> {
        self.all.iter().map(|u| (&u.name, u.why_aside()))
    }

    /// Chooses where a request goes: to the upstream that likely holds its prompt's prefix in its
    /// cache, else to the one with the most free slots. Takes the slot.
    pub fn take(
        &mut self,
        prefix: u64,
        avoid: Option<&UpstreamName>,
        now: Duration,
    ) -> Option<UpstreamName> {
        let i = self.cached(prefix).or_else(|| self.roomiest(avoid))?;
        self.occupy(i, now);
        let name = self.all[i].name.clone();
        self.remember(prefix, &name);
        Some(name)
    }

    /// Takes a slot of a known upstream that somebody else decided on.
    pub fn adopt(&mut self, name: &UpstreamName, now: Duration) {
        if let Some(&i) = self.index.get(name) {
            self.occupy(i, now);
        }
    }

    /// Gives a slot back and learns from how the request ended.
    pub fn release(&mut self, name: &UpstreamName, ending: Ending, now: Duration) {
        let Some(&i) = self.index.get(name) else { return };
        let before = self.all[i].free();
        let upstream = &mut self.all[i];
        upstream.running = upstream.running.saturating_sub(1);
        match ending {
            Ending::Answered => {
                upstream.failures = 0;
                upstream.aside = ASIDE_FIRST;
                upstream.retry_at = None;
            }
            Ending::Failed => {
                upstream.failures += 1;
                if FAILURES_MAX <= upstream.failures {
                    upstream.retry_at = Some(now + upstream.aside);
                    upstream.aside = (upstream.aside * 2).min(ASIDE_MAX);
                }
            }
            Ending::Backoff(ms) => {
                let until = now + Duration::from_millis(ms.into());
                upstream.backoff_until = upstream.backoff_until.max(Some(until));
            }
            Ending::Cancelled | Ending::Unused => {}
        }
        upstream.trial = false;
        self.place(i, before);
    }

    /// Takes in what an upstream reports. Its load lags, so only what exceeds the most that this
    /// dispatcher ran there lately counts as somebody else's.
    pub fn apply_report(&mut self, name: &str, report: UpstreamReport, now: Duration) {
        let Some(&i) = self.index.get(name) else { return };
        let before = self.all[i].free();
        let upstream = &mut self.all[i];
        upstream.peak.note(upstream.running, now);
        upstream.foreign = report.running.saturating_sub(upstream.peak.max());
        upstream.leaving = report.leaving;
        self.place(i, before);
    }

    /// Takes in which upstreams the box list shows as leaving.
    pub fn set_listed_leaving(&mut self, leaving: &BTreeSet<BoxName>) {
        for i in 0..self.all.len() {
            let before = self.all[i].free();
            self.all[i].listed_leaving = leaving.contains(self.all[i].name.as_str());
            self.place(i, before);
        }
    }

    /// Lets upstreams whose time aside is over have a trial. Costs O(n): call it on ticks.
    pub fn tick(&mut self, now: Duration) {
        for i in 0..self.all.len() {
            let before = self.all[i].free();
            let upstream = &mut self.all[i];
            let is_over = |until: Option<Duration>| until.is_some_and(|at| at <= now);
            let (backoff, aside) = (upstream.backoff_until, upstream.retry_at);
            if is_over(backoff) {
                upstream.backoff_until = None;
                // One request tries, as after failures.
                upstream.failures = upstream.failures.max(FAILURES_MAX);
            }
            if is_over(aside) {
                upstream.retry_at = None;
            }
            if is_over(backoff) || is_over(aside) {
                self.place(i, before);
            }
        }
    }

    /// Takes in an upstream's word that it has put a prefix into its cache, or out of it. The word
    /// may be late or missing: it only moves a preference.
    pub fn record_cache_event(&mut self, name: &UpstreamName, prefix: u64, stored: bool) {
        if stored {
            self.remember(prefix, name);
        } else if self.prefixes.get(&prefix) == Some(name) {
            self.prefixes.remove(&prefix);
        }
    }

    fn find_or_add(&mut self, name: &UpstreamName) -> usize {
        if let Some(&i) = self.index.get(name) {
            return i;
        }
        let i = self.all.len();
        self.index.insert(name.clone(), i);
        self.all.push(Upstream {
            name: name.clone(),
            slots: 0,
            draining: false,
            leaving: false,
            listed_leaving: false,
            gone: false,
            running: 0,
            peak: Peak::default(),
            foreign: 0,
            failures: 0,
            aside: ASIDE_FIRST,
            retry_at: None,
            backoff_until: None,
            trial: false,
        });
        i
    }

    fn cached(&self, prefix: u64) -> Option<usize> {
        if prefix == 0 {
            return None;
        }
        let i = *self.index.get(self.prefixes.get(&prefix)?)?;
        (self.all[i].free() != 0).then_some(i)
    }

    fn roomiest(&self, avoid: Option<&UpstreamName>) -> Option<usize> {
        let all = &self.all;
        let other = self.free.iter().rev().map(|&(_, i)| i).find(|&i| Some(&all[i].name) != avoid);
        other.or_else(|| self.free.last().map(|&(_, i)| i))
    }

    fn occupy(&mut self, i: usize, now: Duration) {
        let before = self.all[i].free();
        let upstream = &mut self.all[i];
        upstream.running += 1;
        upstream.peak.note(upstream.running, now);
        upstream.trial = FAILURES_MAX <= upstream.failures;
        self.place(i, before);
    }

    fn place(&mut self, i: usize, before: u32) {
        self.free.remove(&(before, i));
        let free = self.all[i].free();
        if free != 0 {
            self.free.insert((free, i));
        }
    }

    fn remember(&mut self, prefix: u64, name: &UpstreamName) {
        if prefix == 0 {
            return;
        }
        if self.prefixes.insert(prefix, name.clone()).is_none() {
            self.prefix_order.push_back(prefix);
        }
        if PREFIXES_MAX < self.prefix_order.len() {
            let oldest = self.prefix_order.pop_front().expect("just seen to be long");
            self.prefixes.remove(&oldest);
        }
    }
}
