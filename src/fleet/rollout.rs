//! Roll-outs: a service's traffic moves from the engines of one version to those of another.
//!
//! The operator orders a roll-out in the platform's store. Heartbeats carry the stage of each
//! roll-out to every box. The stage only ever advances, so messages may be lost, duplicated or
//! late. All boxes send the new version the same share of requests at a stage, which bounds its
//! share in the whole fleet without a global count. Two boxes, the evaluators, compare the versions
//! and advance the stage; the final outcome is written to the store conditionally.

pub mod regression;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::revision::Revision;
use crate::fleet::stream_versions::VersionId;
use crate::names::ServiceName;
use crate::names::VersionName;

/// Share of requests that the new version gets at the first two stages, as multiples of the allowed
/// exposure. If they end at the earliest possible times, both stages together use two thirds of the
/// exposure.
const CANARY_FACTOR: f64 = 0.5;
const WIDENED_FACTOR: f64 = 2.5;

/// Fractions of the time limit after which a canary is widened, and all traffic moves, at the
/// earliest. A version that turns bad late is thus detected while it gets little traffic, and
/// requests at the old engines end before the deadline.
const WIDEN_AFTER_FRACTION: f64 = 0.25;
const MOVE_AFTER_FRACTION: f64 = 0.45;

/// Responses of the new version that are required on each busy route before it is widened, and
/// before all traffic moves. A service whose traffic is too low to reach these by
/// [`LATE_FRACTION`] of the time limit requires fewer, but not none: an evaluator that receives
/// none is cut off.
const RESPONSES_TO_WIDEN: u64 = 5;
const RESPONSES_TO_MOVE: u64 = 24;
const RESPONSES_WHEN_LATE: u64 = 3;
const LATE_FRACTION: f64 = 0.65;

/// All traffic moves only if the new engines have at least this fraction of the slots of the old
/// ones.
const SLOTS_FRACTION_MIN: f64 = 0.7;

/// An order that has ended no longer affects routing this long after its deadline: its engines are
/// gone, and new ones of any version may appear.
const ENDED_RETENTION: Duration = Duration::from_secs(30);

/// The operator's order to roll out a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The version whose engines are to receive the service's traffic.
    pub target: VersionName,
    /// Time from the order to its deadline.
    pub time_limit: Duration,
}

/// Progress of a roll-out; later stages are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// The new version receives a small share of requests.
    Canary,
    /// The new version receives a larger share.
    Widened,
    /// The new version receives all requests, and those running at the old engines finish.
    Moved,
    /// The new version receives no requests.
    Reverted,
    /// The store records that the old engines may stop.
    Completed,
}

/// Outcome of a roll-out, as recorded in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The old engines may stop.
    Completed,
    /// The new engines may stop.
    Reverted,
}

impl Outcome {
    fn stage(self) -> Stage {
        match self {
            Outcome::Completed => Stage::Completed,
            Outcome::Reverted => Stage::Reverted,
        }
    }
}

/// The store's entry of a service's roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutEntry {
    pub service: ServiceName,
    /// The revision of the store at which this was read.
    pub revision: Revision,
    /// The order; `None` if it has been removed.
    pub order: Option<RolloutOrder>,
    /// The outcome, once the roll-out has ended.
    pub outcome: Option<Outcome>,
}

/// Which engines of a service a request may be sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionFilter {
    /// Engines of all versions.
    #[default]
    Any,
    /// Engines of the version that is rolled out.
    Target,
    /// Engines of all other versions.
    Others,
    /// Engines of one version, because it began the stream. Other boxes don't receive this: boxes of
    /// an earlier build can't decode it.
    Only(VersionId),
}

/// Progress of a service's roll-out, as boxes report it to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    pub service: ServiceName,
    /// The revision of the store at which the order was read.
    pub revision: Revision,
    /// The order; `None` if it has been revoked.
    pub order: Option<RolloutOrder>,
    pub stage: Stage,
    /// Time since the order, in milliseconds.
    pub age_ms: u32,
    /// Number of the sender's requests that are running at engines of other versions.
    pub running_on_others: u32,
}

impl RolloutReport {
    /// Whether the sender has moved all traffic to `target` and has no requests left at engines of
    /// other versions.
    pub fn has_moved(&self, target: &str) -> bool {
        let is_same = self.order.as_ref().is_some_and(|order| &*order.target == target);
        is_same && Stage::Moved <= self.stage && self.running_on_others == 0
    }
}

/// One service's roll-out.
#[derive(Clone, Debug, PartialEq)]
struct Rollout {
    revision: Revision,
    order: Option<RolloutOrder>,
    stage: Stage,
    /// When it was ordered: the earliest time that any box reports.
    started_at: Duration,
}

impl Rollout {
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at)
    }

    /// Whether it affects routing.
    fn is_active(&self, now: Duration) -> bool {
        let Some(order) = &self.order else { return false };
        self.stage < Stage::Reverted || self.age(now) < order.time_limit + ENDED_RETENTION
    }
}

/// What an evaluator bases the next stage on, beside the order.
#[derive(Clone, Copy, Debug)]
pub struct StageInputs {
    /// Number of responses of the new version on the busy route where it has given fewest.
    pub min_responses: u64,
    /// Whether the new version has proved worse than the old one.
    pub has_regressed: bool,
    /// Slots of the open engines of the new version, and of the other versions.
    pub slots: (u64, u64),
}

/// All services' roll-outs, as known to one box.
#[derive(Clone, Debug)]
pub struct Rollouts {
    /// Largest share of a service's requests that a new version may receive until it has proved
    /// good.
    exposure: f64,
    known: BTreeMap<ServiceName, Rollout>,
}

impl Rollouts {
    pub fn new(exposure: f64) -> Rollouts {
        Rollouts { exposure, known: BTreeMap::new() }
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Applies an entry of the store. Returns whether anything has changed.
    pub fn apply_entry(&mut self, entry: &RolloutEntry, now: Duration) -> bool {
        let stage = entry.outcome.map_or(Stage::Canary, Outcome::stage);
        let time_limit = entry.order.as_ref().map_or(Duration::ZERO, |order| order.time_limit);
        // The start of a roll-out that had already ended is unknown. After a completion, the old
        // engines stop at once; after a reversion, the new ones may still be listed for a while.
        let age = match entry.outcome {
            None => Duration::ZERO,
            Some(Outcome::Reverted) => time_limit,
            Some(Outcome::Completed) => time_limit + ENDED_RETENTION,
        };
        let (revision, order) = (entry.revision, entry.order.clone());
        self.merge(&entry.service, revision, order, stage, now.checked_sub(age), now)
    }

    /// Applies a complete list of the store's entries: roll-outs that aren't listed have been
    /// removed. Returns whether anything has changed.
    pub fn apply_list(&mut self, all: &[RolloutEntry], revision: Revision, now: Duration) -> bool {
        let removed: Vec<ServiceName> = self
            .known
            .iter()
            .filter(|(service, known)| {
                known.revision < revision && all.iter().all(|e| e.service != **service)
            })
            .map(|(service, _)| service.clone())
            .collect();
        let none = |service| RolloutEntry { service, revision, order: None, outcome: None };
        let removed: Vec<RolloutEntry> = removed.into_iter().map(none).collect();
        let changed = all.iter().chain(&removed).filter(|e| self.apply_entry(e, now)).count();
        changed != 0
    }

    /// Merges another box's report. Returns whether anything has changed.
    pub fn merge_report(&mut self, report: &RolloutReport, now: Duration) -> bool {
        let since = now.checked_sub(Duration::from_millis(report.age_ms.into()));
        self.merge(&report.service, report.revision, report.order.clone(), report.stage, since, now)
    }

    fn merge(
        &mut self,
        service: &ServiceName,
        revision: Revision,
        order: Option<RolloutOrder>,
        stage: Stage,
        since: Option<Duration>,
        now: Duration,
    ) -> bool {
        let since = since.unwrap_or(Duration::ZERO);
        let Some(known) = self.known.get_mut(service) else {
            self.known
                .insert(service.clone(), Rollout { revision, order, stage, started_at: since });
            return true;
        };
        if known.order == order {
            let has_advanced = known.stage < stage;
            known.revision = known.revision.max(revision);
            known.stage = known.stage.max(stage);
            // A final stage arrives later than its order and says nothing about the order's time.
            if stage < Stage::Reverted {
                known.started_at = known.started_at.min(since);
            }
            return has_advanced;
        }
        if revision <= known.revision {
            return false;
        }
        *known = Rollout { revision, order, stage, started_at: since.min(now) };
        true
    }

    /// Removes roll-outs that no longer affect routing and were revoked or ended long ago.
    pub fn expire(&mut self, now: Duration) {
        self.known.retain(|_, r| {
            r.order.is_some() && r.is_active(now) || r.age(now) < 2 * ENDED_RETENTION
        });
    }

    /// Returns reports of all roll-outs for other boxes. `running_on_others` returns the number of
    /// this box's requests at engines of other versions than the given one.
    pub fn reports(
        &self,
        now: Duration,
        running_on_others: impl Fn(&str, &str) -> u32,
    ) -> Vec<RolloutReport> {
        let report = |(service, r): (&ServiceName, &Rollout)| RolloutReport {
            service: service.clone(),
            revision: r.revision,
            order: r.order.clone(),
            stage: r.stage,
            age_ms: u32::try_from(r.age(now).as_millis()).unwrap_or(u32::MAX),
            running_on_others: r
                .order
                .as_ref()
                .map_or(0, |order| running_on_others(service, &order.target)),
        };
        self.known.iter().map(report).collect()
    }

    /// Returns the version that is rolled out for a service, while the roll-out affects routing.
    pub fn target(&self, service: &str, now: Duration) -> Option<&VersionName> {
        let rollout = self.known.get(service).filter(|r| r.is_active(now))?;
        rollout.order.as_ref().map(|order| &order.target)
    }

    /// Returns all versions whose roll-outs affect routing.
    pub fn targets(&self, now: Duration) -> BTreeMap<ServiceName, VersionName> {
        let target = |(service, r): (&ServiceName, &Rollout)| {
            let order = r.order.as_ref().filter(|_| r.is_active(now))?;
            Some((service.clone(), order.target.clone()))
        };
        self.known.iter().filter_map(target).collect()
    }

    /// Returns the order and stage of a service's roll-out, until it is completed.
    pub fn in_progress(&self, service: &str) -> Option<(&RolloutOrder, Stage)> {
        let rollout = self.known.get(service).filter(|r| r.stage < Stage::Completed)?;
        rollout.order.as_ref().map(|order| (order, rollout.stage))
    }

    /// Returns the services with a roll-out that isn't completed, as far as this box knows.
    pub fn open_services(&self) -> Vec<ServiceName> {
        let open = self.known.iter().filter(|(_, r)| r.order.is_some());
        open.filter(|(_, r)| r.stage < Stage::Completed).map(|(s, _)| s.clone()).collect()
    }

    /// Returns the share of a service's requests that the new version receives.
    pub fn share(&self, service: &str, now: Duration) -> Option<f64> {
        let rollout = self.known.get(service).filter(|r| r.is_active(now))?;
        Some(match rollout.stage {
            Stage::Canary => self.exposure * CANARY_FACTOR,
            Stage::Widened => (self.exposure * WIDENED_FACTOR).min(1.0),
            Stage::Moved | Stage::Completed => 1.0,
            Stage::Reverted => 0.0,
        })
    }

    /// Returns the engines that a request may be sent to. `draw` is a number for the request, drawn
    /// uniformly from 0 to 1.
    pub fn version_filter(&self, service: &str, draw: f64, now: Duration) -> VersionFilter {
        match self.share(service, now) {
            None => VersionFilter::Any,
            Some(share) if draw < share => VersionFilter::Target,
            Some(_) => VersionFilter::Others,
        }
    }

    /// Advances a service's roll-out to the stage that an evaluator determines. Returns the stage if
    /// it is new.
    pub fn advance(&mut self, service: &str, inputs: StageInputs, now: Duration) -> Option<Stage> {
        let rollout = self.known.get_mut(service).filter(|r| r.order.is_some())?;
        let next = next_stage(rollout, inputs, now);
        (rollout.stage < next).then(|| {
            rollout.stage = next;
            next
        })
    }

    /// Applies an outcome that the store has recorded for the roll-out of `target`.
    pub fn record_outcome(&mut self, service: &str, target: &str, outcome: Outcome) {
        let Some(rollout) = self.known.get_mut(service) else { return };
        if rollout.order.as_ref().is_some_and(|order| &*order.target == target) {
            rollout.stage = rollout.stage.max(outcome.stage());
        }
    }
}

/// Determines the stage that a roll-out should be in.
fn next_stage(r: &Rollout, inputs: StageInputs, now: Duration) -> Stage {
    let Some(order) = &r.order else { return r.stage };
    if Stage::Reverted <= r.stage {
        return r.stage;
    }
    let elapsed = r.age(now).as_secs_f64() / order.time_limit.as_secs_f64().max(f64::MIN_POSITIVE);
    if inputs.has_regressed || (r.stage < Stage::Moved && 1.0 <= elapsed) {
        return Stage::Reverted;
    }
    let late = if LATE_FRACTION <= elapsed { RESPONSES_WHEN_LATE } else { u64::MAX };
    let has_responses = |responses: u64| responses.min(late) <= inputs.min_responses;
    let (new, old) = inputs.slots;
    let has_capacity = new != 0 && old as f64 * SLOTS_FRACTION_MIN <= new as f64;
    match r.stage {
        Stage::Canary
            if WIDEN_AFTER_FRACTION <= elapsed && new != 0 && has_responses(RESPONSES_TO_WIDEN) =>
        {
            Stage::Widened
        }
        Stage::Widened
            if MOVE_AFTER_FRACTION <= elapsed
                && has_capacity
                && has_responses(RESPONSES_TO_MOVE) =>
        {
            Stage::Moved
        }
        stage => stage,
    }
}
