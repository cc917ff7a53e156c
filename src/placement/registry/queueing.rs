//! What a queue of requests needs to know about the engines of a group.

use std::time::Duration;

use crate::fleet::owners::EngineGroup;
use crate::placement::engine::Engine;
use crate::placement::registry::UpstreamRegistry;

impl UpstreamRegistry {
    /// The number of engines of a group that accept requests and for which requests may be queued.
    pub fn queueing_engines(&self, service: &str, group: EngineGroup) -> usize {
        let small_batch = self.tuning.small_batch;
        if !small_batch.queue {
            return 0;
        }
        let engines = self.accepting_engines(service, group);
        engines.filter(|engine| small_batch.queues(engine.limits().slots)).count()
    }

    /// The shortest wait at any engine of a group that has a free slot; `None` if none has.
    pub fn shortest_wait(
        &self,
        service: &str,
        group: EngineGroup,
        now: Duration,
    ) -> Option<Duration> {
        let speed = self.speed(service);
        let free = self
            .accepting_engines(service, group)
            .filter(|engine| engine.running() < engine.limits().slots as usize);
        free.map(|engine| engine.wait(speed, self.tuning, now)).min()
    }

    fn accepting_engines(
        &self,
        service: &str,
        group: EngineGroup,
    ) -> impl Iterator<Item = &Engine> {
        let upstreams = self.index.of_service(service, Some(group));
        let upstreams = upstreams.filter_map(|name| self.upstreams.get(name));
        upstreams.filter(|u| self.is_accepting(u)).filter_map(|u| u.engine.as_ref())
    }
}
