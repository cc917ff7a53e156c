//! What a box has learned of engines, as it is told to one that comes to keep their models.

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::draining::DrainNotice;
use crate::fleet::owners::EngineGroup;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::speed::Speed;
use crate::placement::upstream::Upstream;
use crate::proxy::adapter::PromptPart;

/// What a box has learned of engines, for one that has just started.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedReport {
    /// What engines keep.
    pub cached: Vec<CachedParts>,
    /// How fast those of a service read.
    pub speeds: Vec<(ServiceName, Speed)>,
    /// Upstreams that have said themselves that they are draining.
    pub draining: Vec<DrainNotice>,
}

/// What an engine is believed to keep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CachedParts {
    /// The engine.
    pub upstream: UpstreamName,
    /// Parts of prompts, those unused longest first.
    pub parts: Vec<PromptPart>,
}

impl UpstreamRegistry {
    /// What has been learned of the engines, or of those of one group.
    pub fn learned(&self, group: Option<EngineGroup>) -> LearnedReport {
        let kept = |u: &Upstream| {
            Some(CachedParts { upstream: u.listed.name.clone(), parts: u.engine.as_ref()?.parts() })
        };
        let speeds = self.speeds.iter().map(|(service, s)| (service.clone(), s.clone()));
        let kept = match group {
            Some(group) => {
                let names = self.index.of_group(group);
                names.filter_map(|name| self.upstreams.get(name)).filter_map(kept).collect()
            }
            None => self.upstreams.values().filter_map(kept).collect(),
        };
        LearnedReport { cached: kept, speeds: speeds.collect(), draining: Vec::new() }
    }

    /// Takes over what another box has learned of the engines.
    pub fn apply_learned(&mut self, learned: &LearnedReport) {
        for kept in &learned.cached {
            if let Some(engine) = self.engine(&kept.upstream) {
                engine.keep(&kept.parts);
            }
        }
        for (service, speed) in &learned.speeds {
            let unknown = &self.speed_unknown;
            let known = self.speeds.entry(service.clone()).or_insert_with(|| unknown.clone());
            known.adopt(speed);
        }
    }
}
