//! Free capacity of groups of engines.

use std::time::Duration;

use crate::fleet::headroom::Capacity;
use crate::fleet::headroom::TypicalRequest;
use crate::fleet::owners::EngineGroup;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::placement::cold::Role;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::speed::Speed;
use crate::placement::upstream::Upstream;

impl UpstreamRegistry {
    /// The free capacity of a group, by service, for services whose owners announce it. Services
    /// without engines in the group are left out. `typical` is what a request of a service takes.
    pub fn headroom(
        &self,
        group: EngineGroup,
        typical: impl Fn(&ServiceName) -> Option<TypicalRequest>,
        now: Duration,
    ) -> Vec<(ServiceName, Capacity)> {
        let in_group = |service: &ServiceName| {
            let names = self.index.of_service(service, Some(group));
            let engines = names.filter_map(|name| self.upstreams.get(name));
            let mut engines = engines.filter(|u| self.announces_headroom(u)).peekable();
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
        self.index.services().filter_map(in_group).collect()
    }

    /// Time to copy this many tokens from or to an engine.
    pub fn copy_time(&self, name: &UpstreamName, tokens: u32) -> Option<Duration> {
        Some(self.upstreams.get(name)?.engine.as_ref()?.copy_time(tokens))
    }

    fn announces_headroom(&self, upstream: &Upstream) -> bool {
        let small_batch = self.tuning.small_batch;
        upstream.engine.as_ref().is_some_and(|e| small_batch.announces_headroom(e.limits().slots))
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
