//! What a box has learned of engines, as sent to a box that starts to track them.

use std::net::IpAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::draining::DrainNotice;
use crate::fleet::in_progress::RequestRecord;
use crate::fleet::owners::EngineGroup;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::registry::own_speed::OwnSpeedReport;
use crate::placement::speed::Speed;
use crate::placement::upstream;
use crate::placement::upstream::Upstream;
use crate::proxy::adapter::PromptPart;

/// What a box has learned of engines, for a box that has just started.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedReport {
    /// Cache contents by engine.
    pub cached: Vec<CachedParts>,
    /// Estimated engine speed by service.
    pub speeds: Vec<(ServiceName, Speed)>,
    /// Upstreams that have announced that they are draining.
    pub draining: Vec<DrainNotice>,
    /// The speed of single engines.
    pub own_speeds: Vec<OwnSpeedReport>,
    /// Requests in progress at the engines.
    pub requests: Vec<LearnedRequest>,
}

/// A request in progress, and the box that sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LearnedRequest {
    pub sender: IpAddr,
    pub record: RequestRecord,
}

/// The prompt parts that an engine is believed to have cached.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CachedParts {
    pub upstream: UpstreamName,
    /// Least recently used first.
    pub parts: Vec<PromptPart>,
}

impl UpstreamRegistry {
    /// Reports what was learned of all engines, or of those in a group.
    pub fn learned(&self, group: Option<EngineGroup>) -> LearnedReport {
        let cached = |u: &Upstream| {
            Some(CachedParts {
                upstream: u.listed.name.clone(),
                parts: u.engine.as_ref()?.cached_parts(),
            })
        };
        let speeds = self.speeds.iter().map(|(service, s)| (service.clone(), s.clone()));
        let cached = match group {
            Some(group) => {
                let names = self.index.of_group(group);
                names.filter_map(|name| self.upstreams.get(name)).filter_map(cached).collect()
            }
            None => self.upstreams.values().filter_map(cached).collect(),
        };
        let speeds = speeds.collect();
        LearnedReport { cached, speeds, ..LearnedReport::default() }
    }

    /// Reports the requests in progress at all engines, or at those in a group. `own_ip` is this
    /// box, which sends some of them.
    pub fn learned_requests(
        &self,
        group: Option<EngineGroup>,
        own_ip: IpAddr,
        now: Duration,
    ) -> Vec<LearnedRequest> {
        let is_of_group = |name: &&UpstreamName| {
            group.is_none_or(|group| group.contains(upstream::name_hash(name)))
        };
        let records = self.busy.iter().filter(is_of_group).filter(|name| self.is_engine(name));
        records
            .flat_map(|name| self.records(name, now))
            .map(|(sender, record)| LearnedRequest { sender: sender.unwrap_or(own_ip), record })
            .collect()
    }

    /// Merges what another box has learned of the engines.
    pub fn apply_learned(&mut self, learned: &LearnedReport) {
        for cached in &learned.cached {
            if let Some(engine) = self.engine(&cached.upstream) {
                engine.merge_cached_parts(&cached.parts);
            }
        }
        for (service, speed) in &learned.speeds {
            let default = &self.default_speed;
            let known = self.speeds.entry(service.clone()).or_insert_with(|| default.clone());
            known.adopt(speed);
        }
    }
}
