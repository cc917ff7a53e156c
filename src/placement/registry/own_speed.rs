//! The own speeds of engines: handed on to other boxes, and reported where they change.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::owners::EngineGroup;
use crate::names::UpstreamName;
use crate::names::VersionName;
use crate::placement::engine::Engine;
use crate::placement::engine_speed::EngineSpeed;
use crate::placement::engine_speed::LevelReport;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::upstream::Upstream;

/// The level of one engine's own speed, as one box reports it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnSpeedReport {
    pub upstream: UpstreamName,
    /// The instance and version that the level was learned of.
    pub started_at_ms: Option<u64>,
    pub version: VersionName,
    pub level: LevelReport,
}

/// What became of reported levels.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdoptedSpeeds {
    pub adopted: u64,
    /// Known better here.
    pub kept: u64,
    /// Of an engine, an instance or a version that this box doesn't list.
    pub other_instance: u64,
    /// Not finite or out of bounds.
    pub out_of_bounds: u64,
}

/// An engine whose level has become slow, or normal again.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowChange {
    pub upstream: UpstreamName,
    pub is_slow: bool,
    /// The factor by which it is slower than its service.
    pub factor: f64,
    /// Standard deviation of the factor's logarithm.
    pub spread: f64,
}

impl UpstreamRegistry {
    /// Reports the levels of all engines, or of those in a group.
    pub fn own_speeds(&self, group: Option<EngineGroup>, now: Duration) -> Vec<OwnSpeedReport> {
        let report = |u: &Upstream| {
            let own = u.engine.as_ref()?.own_speed()?;
            let service = self.speed(&u.listed.service).by_configured_ln();
            Some(OwnSpeedReport {
                upstream: u.listed.name.clone(),
                started_at_ms: u.listed.started_at_ms,
                version: u.listed.version.clone(),
                level: own.report(service, now),
            })
        };
        match group {
            Some(group) => {
                let names = self.index.of_group(group);
                names.filter_map(|name| self.upstreams.get(name)).filter_map(report).collect()
            }
            None => self.upstreams.values().filter_map(report).collect(),
        }
    }

    /// Adopts levels that another box reports, where it knows them better. Levels of other
    /// instances and impossible ones change nothing.
    pub fn adopt_own_speeds(&mut self, reports: &[OwnSpeedReport], now: Duration) -> AdoptedSpeeds {
        let mut adopted = AdoptedSpeeds::default();
        for OwnSpeedReport { upstream, started_at_ms, version, level } in reports {
            let listed = self.upstreams.get_mut(upstream).filter(|u| {
                u.listed.started_at_ms == *started_at_ms && u.listed.version == *version
            });
            let Some(Upstream { listed, engine: Some(engine), .. }) = listed else {
                adopted.other_instance += 1;
                continue;
            };
            let speed = self.speeds.get(&listed.service).unwrap_or(&self.default_speed);
            let Some(own) = engine.own_speed_mut() else { continue };
            match own.adopt(*level, speed.by_configured_ln(), now) {
                Ok(true) => adopted.adopted += 1,
                Ok(false) => adopted.kept += 1,
                Err(_) => adopted.out_of_bounds += 1,
            }
        }
        adopted
    }

    /// The own speeds of all engines, or of those in a group.
    pub fn engine_speeds(
        &self,
        group: Option<EngineGroup>,
    ) -> impl Iterator<Item = (&UpstreamName, &EngineSpeed)> {
        let names = group.map(|group| self.index.of_group(group));
        let all = names.is_none().then(|| self.upstreams.values());
        let of_group = names.into_iter().flatten().filter_map(|name| self.upstreams.get(name));
        let upstreams = of_group.chain(all.into_iter().flatten());
        upstreams.filter_map(|u| Some((&u.listed.name, u.engine.as_ref()?.own_speed()?)))
    }

    /// Engines that have become slow, or normal again, since the last call.
    pub fn take_slow_changes(&mut self, now: Duration) -> Vec<SlowChange> {
        let changed = std::mem::take(&mut self.slow_changes);
        let change = |upstream: UpstreamName| {
            let engine = self.upstreams.get(&upstream).and_then(|u| u.engine.as_ref());
            let own = engine.and_then(Engine::own_speed)?;
            Some(SlowChange {
                is_slow: own.is_slow(),
                factor: own.level_factor(),
                spread: own.level_spread(now),
                upstream,
            })
        };
        changed.into_iter().filter_map(change).collect()
    }
}
