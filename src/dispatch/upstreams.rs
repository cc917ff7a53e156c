//! The upstreams of one pool in one availability zone: their free slots, and which one a request
//! gets.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::config;
use crate::names::BoxName;
use crate::names::UpstreamName;
use crate::peer::message::Ending;

/// Consecutive failures after which an upstream gets no requests for a cooldown.
const FAILURES_MAX: u32 = 3;

/// First cooldown of an upstream; doubled with each failed probe.
const COOLDOWN_MIN: Duration = Duration::from_secs(2);

/// Longest cooldown before the next probe.
const COOLDOWN_MAX: Duration = Duration::from_secs(60);

/// Prompt prefixes whose upstream is remembered, per pool and zone.
const PREFIXES_MAX: usize = 4096;

/// Longest delay of an upstream's load report.
const REPORT_LAG: Duration = Duration::from_secs(2);

/// The state that an upstream reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Requests running there, from all routers.
    pub running: u32,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// Why an upstream gets no requests now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// It is draining by the configuration.
    Draining,
    /// It reports itself, or is listed in the box list, as leaving.
    Leaving,
    /// It failed too often, and is in its cooldown or being probed.
    Failing,
    /// It asked for a backoff.
    Backoff,
    /// All its slots are in use.
    Full,
}

#[derive(Debug, Default)]
pub struct Upstreams {
    all: Vec<Upstream>,
    index: FxHashMap<UpstreamName, usize>,
    by_free_slots: BTreeSet<(u32, usize)>,
    upstream_by_prefix: FxHashMap<u64, UpstreamName>,
    prefix_order: VecDeque<u64>,
}

#[derive(Debug)]
struct Upstream {
    name: UpstreamName,
    slots: u32,
    draining: bool,
    leaving: bool,
    listed_leaving: bool,
    removed: bool,
    running: u32,
    peak: Peak,
    running_for_others: u32,
    failures: u32,
    cooldown: Duration,
    cooldown_until: Option<Duration>,
    /// End of the backoff that it asked for.
    backoff_until: Option<Duration>,
    probing: bool,
}

/// The greatest number of own requests running at once during the last one to two times
/// [`REPORT_LAG`].
#[derive(Debug, Default)]
struct Peak {
    window_start: Duration,
    previous: u32,
    current: u32,
}

impl Peak {
    fn record(&mut self, running: u32, now: Duration) {
        if self.window_start + REPORT_LAG <= now {
            self.previous = self.current;
            self.current = running;
            self.window_start = now;
        }
        self.current = self.current.max(running);
    }

    fn max(&self) -> u32 {
        self.previous.max(self.current)
    }
}

impl Upstream {
    fn free(&self) -> u32 {
        if self.unavailable_reason().is_some() {
            return 0;
        }
        let free = self.slots.saturating_sub(self.running + self.running_for_others);
        // After failures a single request probes whether the upstream has recovered.
        if self.failures < FAILURES_MAX { free } else { free.min(1) }
    }

    fn unavailable_reason(&self) -> Option<UnavailableReason> {
        if self.removed || self.draining {
            return Some(UnavailableReason::Draining);
        }
        if self.leaving || self.listed_leaving {
            return Some(UnavailableReason::Leaving);
        }
        if self.backoff_until.is_some() {
            return Some(UnavailableReason::Backoff);
        }
        if self.cooldown_until.is_some() || self.probing {
            return Some(UnavailableReason::Failing);
        }
        if self.slots <= self.running + self.running_for_others {
            return Some(UnavailableReason::Full);
        }
        None
    }
}

impl Upstreams {
    /// Applies a new configuration, and keeps the state of upstreams that stay.
    pub fn configure<'a>(&mut self, upstreams: impl Iterator<Item = &'a config::Upstream>) {
        for known in &mut self.all {
            known.removed = true;
        }
        for cfg in upstreams {
            let i = self.find_or_add(&cfg.name);
            let known = &mut self.all[i];
            known.removed = false;
            known.draining = cfg.draining;
            known.slots = cfg.slots;
        }
        self.by_free_slots.clear();
        for i in 0..self.all.len() {
            self.update_free_order(i, 0);
        }
    }

    /// Whether any upstream can take a request now.
    pub fn has_free(&self) -> bool {
        !self.by_free_slots.is_empty()
    }

    /// The slots of all upstreams, except those that are draining or leaving.
    pub fn slots(&self) -> u32 {
        let usable = |u: &&Upstream| {
            !matches!(
                u.unavailable_reason(),
                Some(UnavailableReason::Draining | UnavailableReason::Leaving)
            )
        };
        self.all.iter().filter(usable).map(|u| u.slots).sum()
    }

    /// The number of requests running by grants of this dispatcher.
    pub fn running(&self) -> u32 {
        self.all.iter().map(|u| u.running).sum()
    }

    /// The number of upstreams that can take a request now.
    pub fn candidates(&self) -> usize {
        self.by_free_slots.len()
    }

    /// Each upstream's name and, if it gets no requests now, the reason.
    pub fn states(&self) -> impl Iterator<Item = (&UpstreamName, Option<UnavailableReason>)> {
        self.all.iter().map(|u| (&u.name, u.unavailable_reason()))
    }

    /// Acquires a slot for a request: at the upstream that likely has the prompt's prefix in its
    /// cache, else at the one with the most free slots.
    pub fn acquire_slot(
        &mut self,
        prefix: u64,
        avoid: Option<&UpstreamName>,
        now: Duration,
    ) -> Option<UpstreamName> {
        let i = self.cached_upstream(prefix).or_else(|| self.most_free(avoid))?;
        self.occupy_index(i, now);
        let name = self.all[i].name.clone();
        self.remember_prefix(prefix, &name);
        Some(name)
    }

    /// Occupies a slot of an upstream that another dispatcher chose.
    pub fn occupy_slot(&mut self, name: &UpstreamName, now: Duration) {
        if let Some(&i) = self.index.get(name) {
            self.occupy_index(i, now);
        }
    }

    /// Releases a slot and records how the request ended.
    pub fn release_slot(&mut self, name: &UpstreamName, ending: Ending, now: Duration) {
        let Some(&i) = self.index.get(name) else { return };
        let old_free = self.all[i].free();
        let upstream = &mut self.all[i];
        upstream.running = upstream.running.saturating_sub(1);
        match ending {
            Ending::Answered => {
                upstream.failures = 0;
                upstream.cooldown = COOLDOWN_MIN;
                upstream.cooldown_until = None;
            }
            Ending::Failed => {
                upstream.failures += 1;
                if FAILURES_MAX <= upstream.failures {
                    upstream.cooldown_until = Some(now + upstream.cooldown);
                    upstream.cooldown = (upstream.cooldown * 2).min(COOLDOWN_MAX);
                }
            }
            Ending::Backoff(ms) => {
                let until = now + Duration::from_millis(ms.into());
                upstream.backoff_until = upstream.backoff_until.max(Some(until));
            }
            Ending::Cancelled | Ending::Unused => {}
        }
        upstream.probing = false;
        self.update_free_order(i, old_free);
    }

    /// Applies a load report. Since reports lag, only requests in excess of this dispatcher's
    /// recent peak there count as those of others.
    pub fn apply_report(&mut self, name: &str, report: UpstreamReport, now: Duration) {
        let Some(&i) = self.index.get(name) else { return };
        let old_free = self.all[i].free();
        let upstream = &mut self.all[i];
        upstream.peak.record(upstream.running, now);
        upstream.running_for_others = report.running.saturating_sub(upstream.peak.max());
        upstream.leaving = report.leaving;
        self.update_free_order(i, old_free);
    }

    /// Applies which upstreams the box list shows as leaving.
    pub fn set_listed_leaving(&mut self, leaving: &BTreeSet<BoxName>) {
        for i in 0..self.all.len() {
            let old_free = self.all[i].free();
            self.all[i].listed_leaving = leaving.contains(self.all[i].name.as_str());
            self.update_free_order(i, old_free);
        }
    }

    /// Ends the cooldowns and backoffs that are over, after which one request probes the upstream.
    /// O(n): call it on ticks only.
    pub fn tick(&mut self, now: Duration) {
        for i in 0..self.all.len() {
            let old_free = self.all[i].free();
            let upstream = &mut self.all[i];
            let is_over = |until: Option<Duration>| until.is_some_and(|at| at <= now);
            let (backoff, cooldown) = (upstream.backoff_until, upstream.cooldown_until);
            if is_over(backoff) {
                upstream.backoff_until = None;
                // One request probes the upstream, as after failures.
                upstream.failures = upstream.failures.max(FAILURES_MAX);
            }
            if is_over(cooldown) {
                upstream.cooldown_until = None;
            }
            if is_over(backoff) || is_over(cooldown) {
                self.update_free_order(i, old_free);
            }
        }
    }

    /// Records that an upstream stored a prefix in its cache, or evicted it. Such events may be
    /// late or lost: they only change a preference.
    pub fn record_cache_event(&mut self, name: &UpstreamName, prefix: u64, stored: bool) {
        if stored {
            self.remember_prefix(prefix, name);
        } else if self.upstream_by_prefix.get(&prefix) == Some(name) {
            self.upstream_by_prefix.remove(&prefix);
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
            removed: false,
            running: 0,
            peak: Peak::default(),
            running_for_others: 0,
            failures: 0,
            cooldown: COOLDOWN_MIN,
            cooldown_until: None,
            backoff_until: None,
            probing: false,
        });
        i
    }

    fn cached_upstream(&self, prefix: u64) -> Option<usize> {
        if prefix == 0 {
            return None;
        }
        let i = *self.index.get(self.upstream_by_prefix.get(&prefix)?)?;
        (self.all[i].free() != 0).then_some(i)
    }

    fn most_free(&self, avoid: Option<&UpstreamName>) -> Option<usize> {
        let all = &self.all;
        let other =
            self.by_free_slots.iter().rev().map(|&(_, i)| i).find(|&i| Some(&all[i].name) != avoid);
        other.or_else(|| self.by_free_slots.last().map(|&(_, i)| i))
    }

    fn occupy_index(&mut self, i: usize, now: Duration) {
        let old_free = self.all[i].free();
        let upstream = &mut self.all[i];
        upstream.running += 1;
        upstream.peak.record(upstream.running, now);
        upstream.probing = FAILURES_MAX <= upstream.failures;
        self.update_free_order(i, old_free);
    }

    fn update_free_order(&mut self, i: usize, old_free: u32) {
        self.by_free_slots.remove(&(old_free, i));
        let free = self.all[i].free();
        if free != 0 {
            self.by_free_slots.insert((free, i));
        }
    }

    fn remember_prefix(&mut self, prefix: u64, name: &UpstreamName) {
        if prefix == 0 {
            return;
        }
        if self.upstream_by_prefix.insert(prefix, name.clone()).is_none() {
            self.prefix_order.push_back(prefix);
        }
        if PREFIXES_MAX < self.prefix_order.len() {
            let oldest = self.prefix_order.pop_front().expect("it is longer than PREFIXES_MAX");
            self.upstream_by_prefix.remove(&oldest);
        }
    }
}
