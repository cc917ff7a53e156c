//! Free capacity of groups of engines.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fleet::headroom::Capacity;
use crate::fleet::headroom::TypicalRequest;
use crate::fleet::owners::EngineGroup;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::placement::cold::Role;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::speed::Speed;
use crate::placement::tuning::Tuning;
use crate::placement::upstream::Upstream;

/// Adds or removes an engine in the number of those whose owners announce free capacity.
pub(super) fn count(
    announcing: &mut BTreeMap<ServiceName, usize>,
    upstream: &Upstream,
    tuning: Tuning,
    is_added: bool,
) {
    if !announces(upstream, tuning) {
        return;
    }
    let service = &upstream.listed.service;
    let others = announcing.remove(service).unwrap_or_default();
    let engines = if is_added { others + 1 } else { others.saturating_sub(1) };
    if engines != 0 {
        announcing.insert(service.clone(), engines);
    }
}

fn announces(upstream: &Upstream, tuning: Tuning) -> bool {
    let small_batch = tuning.small_batch;
    upstream.engine.as_ref().is_some_and(|e| small_batch.announces_headroom(e.limits().slots))
}

impl UpstreamRegistry {
    /// Whether owners announce free capacity of any service.
    pub fn has_headroom(&self) -> bool {
        !self.announcing.is_empty()
    }

    /// Whether owners announce free capacity of a service.
    pub fn has_headroom_of(&self, service: &str) -> bool {
        self.announcing.contains_key(service)
    }

    /// The free capacity of a group, by service, for services whose owners announce it. Services
    /// without engines in the group are left out. `typical` is what a request of a service takes.
    pub fn headroom(
        &self,
        group: EngineGroup,
        typical: impl Fn(&ServiceName) -> Option<TypicalRequest>,
        now: Duration,
    ) -> Vec<(ServiceName, Capacity)> {
        let tuning = self.tuning;
        let in_group = |service: &ServiceName| {
            let names = self.index.of_service(service, Some(group));
            let engines = names.filter_map(|name| self.upstreams.get(name));
            let mut engines = engines.filter(|u| announces(u, tuning)).peekable();
            engines.peek()?;
            let (speed, typical) = (self.speed(service), typical(service));
            let (mut requests, mut wait) = (0.0, Duration::MAX);
            for upstream in engines {
                if let Some(capacity) = self.capacity(upstream, speed, typical, now) {
                    requests += capacity.0;
                    wait = wait.min(capacity.1);
                }
            }
            let total = Capacity { requests: requests as u16, wait };
            Some((service.clone(), total))
        };
        self.announcing.keys().filter_map(in_group).collect()
    }

    /// Time to copy this many tokens from or to an engine.
    pub fn copy_time(&self, name: &UpstreamName, tokens: u32) -> Option<Duration> {
        Some(self.upstreams.get(name)?.engine.as_ref()?.copy_time(tokens))
    }

    /// How many requests an engine could begin within an offer's period, and when the first;
    /// `None` if it can't begin any.
    fn capacity(
        &self,
        upstream: &Upstream,
        speed: &Speed,
        typical: Option<TypicalRequest>,
        now: Duration,
    ) -> Option<(f64, Duration)> {
        let engine = upstream.engine.as_ref()?;
        let can_begin = self.is_accepting(upstream)
            && upstream.is_available(now)
            && engine.accepts(Role::Owner, self.tuning, now);
        let slots = (engine.limits().slots as usize).saturating_sub(engine.running());
        if !can_begin || slots == 0 {
            return None;
        }
        let wait = engine.wait(speed, self.tuning, now);
        let Some(typical) = typical else {
            return Some((if wait.is_zero() { 1.0 } else { 0.0 }, wait));
        };
        let memory = engine.limits().memory_tokens.saturating_sub(engine.running_tokens());
        let prefill_share = self.tuning.prefill_share_of(engine.limits().slots);
        let prefill_share = prefill_share / engine.speed_factor(now);
        let in_interval = typical.count_in_interval(wait, prefill_share);
        Some((in_interval.min(typical.count_in_memory(memory)).min(slots as f64), wait))
    }
}
