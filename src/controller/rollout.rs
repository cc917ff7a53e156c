//! Decides the orders that bring the engines of one availability zone to the configured state. Does
//! no I/O.
//!
//! An engine is changed in three steps: it is drained, which the routers learn from its health
//! response; once no request runs there, it is ordered to load; once it has loaded, it is
//! undrained. Each poll of the engines determines the next step of each from its current status, so
//! a step may be lost, repeated, or done by an earlier holder of the lease.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::config::CatalogRevision;
use crate::config::EngineState;
use crate::config::Upstream;
use crate::names::PoolName;
use crate::names::UpstreamName;
use crate::names::ZoneName;

const MINUTE: Duration = Duration::from_secs(60);

/// The status that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineStatus {
    /// The model that it has loaded.
    pub state: EngineState,
    /// Whether it is loading a model now.
    pub loading: bool,
    /// Whether an order has drained it.
    pub drained: bool,
    /// Whether it takes no new requests, for any reason.
    pub leaving: bool,
    /// Requests that run there, from all senders.
    pub running: u32,
}

/// An order to an engine. Orders may be applied twice or out of sequence: an engine refuses to load
/// unless it is drained and idle, and the next poll corrects the rest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum EngineOrder {
    /// Take no new requests.
    Drain,
    /// Load this model in place of the current one.
    Load { state: EngineState },
    /// Take requests again.
    Undrain,
}

/// The stage of an engine on the way to its configured state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// It is in the configured state.
    Ready,
    /// It isn't drained yet: as many engines of its pool are unavailable as may be.
    WaitsForTurn,
    /// It is drained and completes its running requests.
    Drains,
    /// It is drained and waits until the weight store allows another load.
    WaitsForWeights,
    /// It loads a model.
    Loads,
    /// It does not respond.
    Unreachable,
}

/// The decision for one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The engine.
    pub upstream: UpstreamName,
    /// Its current stage.
    pub stage: Stage,
    /// The order to send now, if any.
    pub order: Option<EngineOrder>,
}

impl Step {
    /// Whether the engine is being changed, so that it should be polled again soon.
    pub fn is_in_progress(&self) -> bool {
        self.order.is_some() || !matches!(self.stage, Stage::Ready | Stage::WaitsForTurn)
    }
}

/// Limits the loads of this zone to what the weight store allows: one at a time, evenly spaced.
#[derive(Debug)]
pub struct LoadRateLimiter {
    last_load_at: Duration,
}

impl LoadRateLimiter {
    /// Delays the first load by a whole interval, since the lease's previous holder may have
    /// started one just now.
    pub fn new(now: Duration) -> LoadRateLimiter {
        LoadRateLimiter { last_load_at: now }
    }

    fn try_acquire(&mut self, interval: Duration, now: Duration) -> bool {
        if now < self.last_load_at + interval {
            return false;
        }
        self.last_load_at = now;
        true
    }
}

/// Engines that this controller or earlier holders of the lease have handled, and may have drained.
pub type ManagedEngines = BTreeSet<UpstreamName>;

/// Returns the next step of each engine of a zone that is to be changed, or whose change may be
/// incomplete.
pub fn next_steps(
    cfg: &CatalogRevision,
    zone: &ZoneName,
    managed: &ManagedEngines,
    observed: &BTreeMap<UpstreamName, EngineStatus>,
    load_limiter: &mut LoadRateLimiter,
    now: Duration,
) -> Vec<Step> {
    let interval = load_interval(cfg);
    let mut unavailable = count_unavailable(cfg, zone, managed, observed);
    let mut steps = Vec::new();
    for upstream in engines_to_manage(cfg, zone, managed) {
        let desired = upstream.engine.as_ref();
        let status = observed.get(&upstream.name);
        let unavailable = unavailable.entry(&upstream.pool).or_default();
        let max = cfg.pool(&upstream.pool).map_or(0, |p| p.unavailable_max);
        let (stage, order) = match status {
            None => (Stage::Unreachable, None),
            Some(status) => next_step(upstream, desired, status, *unavailable < max, || {
                load_limiter.try_acquire(interval, now)
            }),
        };
        if order == Some(EngineOrder::Drain) {
            *unavailable += 1;
        }
        steps.push(Step { upstream: upstream.name.clone(), stage, order });
    }
    steps
}

/// Returns the engines of a zone whose state is configured, and those that were managed before: an
/// engine that is no longer configured must not stay drained.
pub fn engines_to_manage<'a>(
    cfg: &'a CatalogRevision,
    zone: &ZoneName,
    managed: &ManagedEngines,
) -> impl Iterator<Item = &'a Upstream> {
    let in_zone = cfg.catalog.upstreams.iter().filter(move |u| u.zone == *zone);
    in_zone.filter(|u| u.engine.is_some() || managed.contains(&u.name))
}

fn next_step(
    upstream: &Upstream,
    desired: Option<&EngineState>,
    status: &EngineStatus,
    may_drain: bool,
    may_load: impl FnOnce() -> bool,
) -> (Stage, Option<EngineOrder>) {
    if status.loading {
        return (Stage::Loads, None);
    }
    let Some(desired) = desired.filter(|desired| status.state != **desired) else {
        return (Stage::Ready, status.drained.then_some(EngineOrder::Undrain));
    };
    if !status.drained {
        // Draining one that takes no requests anyway doesn't reduce the capacity further.
        return match may_drain || status.leaving || upstream.draining {
            true => (Stage::Drains, Some(EngineOrder::Drain)),
            false => (Stage::WaitsForTurn, None),
        };
    }
    if status.running != 0 {
        return (Stage::Drains, None);
    }
    match may_load() {
        true => (Stage::Loads, Some(EngineOrder::Load { state: desired.clone() })),
        false => (Stage::WaitsForWeights, None),
    }
}

/// Counts the engines of each pool that take no requests, for any reason.
fn count_unavailable<'a>(
    cfg: &'a CatalogRevision,
    zone: &ZoneName,
    managed: &ManagedEngines,
    observed: &BTreeMap<UpstreamName, EngineStatus>,
) -> BTreeMap<&'a PoolName, u32> {
    let mut count = BTreeMap::new();
    for upstream in engines_to_manage(cfg, zone, managed) {
        let status = observed.get(&upstream.name);
        if upstream.draining || status.is_none_or(|o| o.leaving || o.drained || o.loading) {
            *count.entry(&upstream.pool).or_default() += 1;
        }
    }
    count
}

/// Returns the interval between two loads. Each zone gets an equal share of the loads that the
/// weight store allows, so that zones need no coordination.
fn load_interval(cfg: &CatalogRevision) -> Duration {
    let zones = cfg.catalog.zones().len().max(1) as u32;
    MINUTE * zones / cfg.catalog.weights.loads_per_minute
}
