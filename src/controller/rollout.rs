//! What to order of the engines of one availability zone, so that each comes to be as the
//! configuration wants it. Pure.
//!
//! An engine is changed in three steps: it is ordered to take no new work, which the routers hear
//! from its own health answer; when nothing runs there, it is ordered to load; when it has, it takes
//! work again. Each look at the engines gives the next step of each, so a step that was lost, doubled
//! or done by an earlier holder of the lease is no matter.

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

/// What an engine says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Observed {
    /// What it has loaded.
    pub state: EngineState,
    /// Whether it is loading now.
    pub loading: bool,
    /// Whether an order keeps new work from it.
    pub drained: bool,
    /// Whether it takes no new work, for whatever cause.
    pub leaving: bool,
    /// Requests that run there, whoever sent them.
    pub running: u32,
}

/// An order to an engine. Doing it twice, or after a later one, does no harm that the next look
/// doesn't mend: an engine refuses to load while it takes work or has any.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum Order {
    /// Take no new work.
    Drain,
    /// Load this, in place of what is there.
    Load { state: EngineState },
    /// Take work again.
    Undrain,
}

/// Where an engine stands on its way to what the configuration wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// It is as wanted.
    Ready,
    /// As many of its pool as may are out of work.
    WaitsForTurn,
    /// It ends what runs there.
    Drains,
    /// As many loads as the weight store allows were begun.
    WaitsForWeights,
    /// It loads.
    Loads,
    /// It gives no answer.
    Unreachable,
}

/// What was decided for one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Which engine.
    pub upstream: UpstreamName,
    /// Where it stands.
    pub stage: Stage,
    /// What to order of it now.
    pub order: Option<Order>,
}

impl Step {
    /// Whether the engine is being changed now, so that it is worth another look soon.
    pub fn is_moving(&self) -> bool {
        self.order.is_some() || !matches!(self.stage, Stage::Ready | Stage::WaitsForTurn)
    }
}

/// Loads that the weight store allows this zone: one at a time, evenly spaced.
#[derive(Debug)]
pub struct Weights {
    last: Duration,
}

impl Weights {
    /// Counts from now on, since the lease's earlier holder may just have begun a load.
    pub fn new(now: Duration) -> Weights {
        Weights { last: now }
    }

    fn take(&mut self, every: Duration, now: Duration) -> bool {
        if now < self.last + every {
            return false;
        }
        self.last = now;
        true
    }
}

/// Engines that were ordered something, by this controller or the lease's earlier holders.
pub type Touched = BTreeSet<UpstreamName>;

/// The next step of each engine of a zone that is to be changed, or may be in the middle of it.
pub fn steps(
    cfg: &CatalogRevision,
    zone: &ZoneName,
    touched: &Touched,
    observed: &BTreeMap<UpstreamName, Observed>,
    weights: &mut Weights,
    now: Duration,
) -> Vec<Step> {
    let every = load_every(cfg);
    let mut idle = unavailable(cfg, zone, touched, observed);
    let mut steps = Vec::new();
    for upstream in engines(cfg, zone, touched) {
        let wanted = upstream.engine.as_ref();
        let seen = observed.get(&upstream.name);
        let idle = idle.entry(&upstream.pool).or_default();
        let max = cfg.pool(&upstream.pool).map_or(0, |p| p.unavailable_max);
        let (stage, order) = match seen {
            None => (Stage::Unreachable, None),
            Some(seen) => next(upstream, wanted, seen, *idle < max, || weights.take(every, now)),
        };
        if order == Some(Order::Drain) {
            *idle += 1;
        }
        steps.push(Step { upstream: upstream.name.clone(), stage, order });
    }
    steps
}

/// The engines of a zone that the configuration wants something of, and those that were touched
/// when it did: they must not be left without work.
pub fn engines<'a>(
    cfg: &'a CatalogRevision,
    zone: &ZoneName,
    touched: &Touched,
) -> impl Iterator<Item = &'a Upstream> {
    let here = cfg.catalog.upstreams.iter().filter(move |u| u.zone == *zone);
    here.filter(|u| u.engine.is_some() || touched.contains(&u.name))
}

fn next(
    upstream: &Upstream,
    wanted: Option<&EngineState>,
    seen: &Observed,
    may_drain: bool,
    may_load: impl FnOnce() -> bool,
) -> (Stage, Option<Order>) {
    if seen.loading {
        return (Stage::Loads, None);
    }
    let Some(wanted) = wanted.filter(|wanted| seen.state != **wanted) else {
        return (Stage::Ready, seen.drained.then_some(Order::Undrain));
    };
    if !seen.drained {
        // One that takes no work anyway takes none from the others.
        return match may_drain || seen.leaving || upstream.draining {
            true => (Stage::Drains, Some(Order::Drain)),
            false => (Stage::WaitsForTurn, None),
        };
    }
    if seen.running != 0 {
        return (Stage::Drains, None);
    }
    match may_load() {
        true => (Stage::Loads, Some(Order::Load { state: wanted.clone() })),
        false => (Stage::WaitsForWeights, None),
    }
}

/// How many engines of each pool take no work, for whatever cause.
fn unavailable<'a>(
    cfg: &'a CatalogRevision,
    zone: &ZoneName,
    touched: &Touched,
    observed: &BTreeMap<UpstreamName, Observed>,
) -> BTreeMap<&'a PoolName, u32> {
    let mut count = BTreeMap::new();
    for upstream in engines(cfg, zone, touched) {
        let seen = observed.get(&upstream.name);
        if upstream.draining || seen.is_none_or(|o| o.leaving || o.drained || o.loading) {
            *count.entry(&upstream.pool).or_default() += 1;
        }
    }
    count
}

/// Time between two loads: this zone's even share of what the weight store allows, so that zones
/// don't have to agree on anything.
fn load_every(cfg: &CatalogRevision) -> Duration {
    let zones = cfg.catalog.zones().len().max(1) as u32;
    MINUTE * zones / cfg.catalog.weights.loads_per_minute
}
