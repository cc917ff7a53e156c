//! Cold engines.

use std::time::Duration;

use crate::fleet::owners::EngineGroup;
use crate::names::UpstreamName;
use crate::names::ZoneName;
use crate::placement::registry::UpstreamRegistry;

impl UpstreamRegistry {
    /// Records that an upstream is cold for this long, or for as long as after a start if `None`.
    /// Returns whether this is a new cold start.
    pub fn mark_cold(
        &mut self,
        name: &UpstreamName,
        cold_for: Option<Duration>,
        now: Duration,
    ) -> bool {
        self.engine(name).is_some_and(|engine| engine.mark_cold(cold_for, now))
    }

    /// Records that all engines of a zone may just have started.
    pub fn mark_zone_cold(&mut self, zone: &ZoneName, now: Duration) {
        let of_zone = self.upstreams.values_mut().filter(|u| u.listed.zone == *zone);
        of_zone.filter_map(|u| u.engine.as_mut()).for_each(|engine| {
            engine.mark_cold(None, now);
        });
    }

    /// Whether the upstream is an engine with a limited request rate after a start.
    pub fn has_cold_limits(&self, name: &UpstreamName) -> bool {
        let engine = self.upstreams.get(name).and_then(|u| u.engine.as_ref());
        engine.is_some_and(|engine| engine.limits().cold.is_some())
    }

    /// Withholds requests for a group's cold engines before `until`.
    pub fn hold_cold_engines(&mut self, group: EngineGroup, until: Duration) {
        let of_group: Vec<UpstreamName> = self.index.of_group(group).cloned().collect();
        for name in &of_group {
            self.engine(name).into_iter().for_each(|e| e.hold_if_cold(until));
        }
    }
}
