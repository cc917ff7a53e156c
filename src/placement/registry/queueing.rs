//! What a queue of requests needs to know about the engines of a group.

use std::time::Duration;

use crate::fleet::owners::EngineGroup;
use crate::placement::engine::Engine;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::speed::Work;
use crate::proxy::adapter::Prompt;

impl UpstreamRegistry {
    /// Whether requests for a group of engines may be queued.
    pub fn queues_requests(&self, service: &str, group: EngineGroup) -> bool {
        let small_batch = self.tuning.small_batch;
        if !small_batch.queue {
            return false;
        }
        let mut upstreams = self.index.of_service(service, Some(group));
        let first = upstreams.find_map(|name| self.upstreams.get(name)?.engine.as_ref());
        first.is_some_and(|engine| small_batch.queues(engine.limits().slots))
    }

    /// The number of available engines of a group for which requests may be queued.
    pub fn queueing_engines(&self, service: &str, group: EngineGroup, now: Duration) -> usize {
        let small_batch = self.tuning.small_batch;
        let engines = self.available_engines(service, group, now);
        engines.filter(|engine| small_batch.queues(engine.limits().slots)).count()
    }

    /// The shortest wait at any available engine of a group that has a free slot; `None` if none
    /// has.
    pub fn shortest_wait(
        &self,
        service: &str,
        group: EngineGroup,
        now: Duration,
    ) -> Option<Duration> {
        let speed = self.speed(service);
        let free = self
            .available_engines(service, group, now)
            .filter(|engine| engine.running() < engine.limits().slots as usize);
        free.map(|engine| engine.wait(speed, self.tuning, now)).min()
    }

    /// Whether any engine of a group has the memory for a request, if it runs nothing else. True if
    /// no engine is known.
    pub fn can_hold(&self, service: &str, group: EngineGroup, prompt: &Prompt) -> bool {
        let upstreams = self.index.of_service(service, Some(group));
        let engines = upstreams.filter_map(|name| self.upstreams.get(name)?.engine.as_ref());
        let mut engines = engines.peekable();
        engines.peek().is_none() || engines.any(|engine| engine.can_hold(prompt))
    }

    /// The shortest time in which any available engine of a group would return a prompt's first
    /// token if it began now; `None` if there is no engine.
    pub fn shortest_first_token(
        &self,
        service: &str,
        group: EngineGroup,
        prompt: &Prompt,
        now: Duration,
    ) -> Option<Duration> {
        let speed = self.speed(service);
        let prefill = |engine: &Engine| {
            let cached = engine.cached_tokens(prompt);
            engine.prefill_seconds(Work::prefill(cached, prompt.tokens - cached), speed, now)
        };
        let shortest =
            self.available_engines(service, group, now).map(prefill).min_by(f64::total_cmp)?;
        Duration::try_from_secs_f64(shortest + speed.fixed_seconds()).ok()
    }

    /// Like the upstreams that a selection considers first: crashed engines have no backlog.
    fn available_engines(
        &self,
        service: &str,
        group: EngineGroup,
        now: Duration,
    ) -> impl Iterator<Item = &Engine> {
        let upstreams = self.index.of_service(service, Some(group));
        let upstreams = upstreams.filter_map(|name| self.upstreams.get(name));
        let accepting = upstreams.filter(|u| self.is_accepting(u));
        accepting.filter(move |u| u.is_available(now)).filter_map(|u| u.engine.as_ref())
    }
}
