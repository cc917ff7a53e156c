//! Roll-outs: a service's traffic moves from the engines of one version to those of another.
//!
//! The operator orders one in the platform's store. Every box knows how far each has come: the stage is told with each
//! sign of life and only ever rises, so it may be lost, doubled or late. A stage is the same share for all boxes, so the
//! share of the whole fleet's requests that a new version gets is bounded without counting them anywhere. Two boxes, the
//! judges, compare the versions and raise the stage; what is final is written to the store under a condition.

pub mod regression;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::revision::Revision;
use crate::names::ServiceName;
use crate::names::VersionName;

/// Part of the allowed exposure that the first stage uses, and multiple of it that the second one does. With the times at
/// which they end at the earliest, both together use two thirds of it.
const CANARY_PART: f64 = 0.5;
const WIDENED_PART: f64 = 2.5;

/// Part of the time until the deadline after which a canary is widened, and all traffic moves, at the earliest: what turns
/// bad later is found out while it gets little, and what runs at the old engines ends before the deadline.
const WIDENS_AFTER: f64 = 0.25;
const MOVES_AFTER: f64 = 0.45;

/// Answers of the new version on each busy route before it is widened, and before all traffic moves. A service with so
/// little traffic that these take longer than [`MOVES_LATE`] moves with fewer; a judge that hears of none is cut off.
const ANSWERS_TO_WIDEN: u64 = 5;
const ANSWERS_TO_MOVE: u64 = 24;
const ANSWERS_LATE: u64 = 3;
const MOVES_LATE: f64 = 0.65;

/// All traffic moves to engines that have at least this part of the slots of those that it leaves.
const SLOTS_PART: f64 = 0.7;

/// After this past its deadline an order that has ended says nothing any more of what gets requests: the engines that it
/// was about are gone, and others of any version may come.
const ENDED_FOR: Duration = Duration::from_secs(30);

/// What the operator orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The version whose engines are to get the service's traffic.
    pub target: VersionName,
    /// By when, from the order on.
    pub time_limit: Duration,
}

/// How far a roll-out has come; later ones are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// The new version gets a small share.
    Canary,
    /// It gets a larger one.
    Widened,
    /// It gets all, and what runs at the old engines ends.
    Moved,
    /// It gets nothing.
    Reverted,
    /// The store has it that the old engines may stop.
    Completed,
}

/// An end of a roll-out, as the store holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The old engines stop.
    Completed,
    /// The new ones do.
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

/// What the store says of a service's roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutEntry {
    /// The service.
    pub service: ServiceName,
    /// The revision of the store as of which that is known.
    pub revision: Revision,
    /// The order; nothing if there is none any more.
    pub order: Option<RolloutOrder>,
    /// Its end, if it has ended.
    pub outcome: Option<Outcome>,
}

/// Which engines of a service a request may go to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionFilter {
    /// Any.
    #[default]
    Any,
    /// Those of the version that is rolled out.
    Target,
    /// The others.
    Others,
}

/// How far a service's roll-out has come, as boxes tell it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The service.
    pub service: ServiceName,
    /// The revision as of which the order is known.
    pub revision: Revision,
    /// The order; nothing if it was taken back.
    pub order: Option<RolloutOrder>,
    /// How far it has come.
    pub stage: Stage,
    /// Time since the order, in milliseconds.
    pub age_ms: u32,
    /// Requests of the sender that run at engines of other versions.
    pub running_on_others: u32,
}

impl RolloutReport {
    /// Whether its sender sends nothing more to engines of other versions than this one, and has nothing there.
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
    /// When it was ordered, as far as any box knows.
    since: Duration,
}

impl Rollout {
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.since)
    }

    /// Whether it says anything of what gets requests.
    fn is_in_force(&self, now: Duration) -> bool {
        let Some(order) = &self.order else { return false };
        self.stage < Stage::Reverted || self.age(now) < order.time_limit + ENDED_FOR
    }
}

/// What a judge knows of a roll-out beside its order.
#[derive(Clone, Copy, Debug)]
pub struct StageInputs {
    /// Answers of the new version so far on the busy route where it has given fewest.
    pub min_responses: u64,
    /// Whether these say that it is worse.
    pub has_regressed: bool,
    /// Slots of the open engines of the new version, and of the others.
    pub slots: (u64, u64),
}

/// All services' roll-outs, as one box knows them.
#[derive(Clone, Debug)]
pub struct Rollouts {
    /// The most of a service's requests that a new version may get before it has shown to be good.
    exposure: f64,
    known: BTreeMap<ServiceName, Rollout>,
}

impl Rollouts {
    /// Nothing is ordered yet.
    pub fn new(exposure: f64) -> Rollouts {
        Rollouts { exposure, known: BTreeMap::new() }
    }

    /// Whether none is known of.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Takes in what the store says. True if anything has changed by it.
    pub fn apply_entry(&mut self, entry: &RolloutEntry, now: Duration) -> bool {
        let stage = entry.outcome.map_or(Stage::Canary, Outcome::stage);
        let time_limit = entry.order.as_ref().map_or(Duration::ZERO, |order| order.time_limit);
        // When one was ordered that had ended before it was heard of isn't known. The old engines stop at once; the new ones
        // may still be listed for a while.
        let age = match entry.outcome {
            None => Duration::ZERO,
            Some(Outcome::Reverted) => time_limit,
            Some(Outcome::Completed) => time_limit + ENDED_FOR,
        };
        let (revision, order) = (entry.revision, entry.order.clone());
        self.merge(&entry.service, revision, order, stage, now.checked_sub(age), now)
    }

    /// Takes in that the store holds the orders of these services only.
    pub fn apply_list(&mut self, all: &[RolloutEntry], revision: Revision, now: Duration) -> bool {
        let gone: Vec<ServiceName> = self
            .known
            .iter()
            .filter(|(service, known)| {
                known.revision < revision && all.iter().all(|e| e.service != **service)
            })
            .map(|(service, _)| service.clone())
            .collect();
        let none = |service| RolloutEntry { service, revision, order: None, outcome: None };
        let gone: Vec<RolloutEntry> = gone.into_iter().map(none).collect();
        let changed = all.iter().chain(&gone).filter(|e| self.apply_entry(e, now)).count();
        changed != 0
    }

    /// Takes in what another box tells. True if anything has changed by it.
    pub fn merge_report(&mut self, told: &RolloutReport, now: Duration) -> bool {
        let since = now.checked_sub(Duration::from_millis(told.age_ms.into()));
        self.merge(&told.service, told.revision, told.order.clone(), told.stage, since, now)
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
            self.known.insert(service.clone(), Rollout { revision, order, stage, since });
            return true;
        };
        if known.order == order {
            let has_risen = known.stage < stage;
            known.revision = known.revision.max(revision);
            known.stage = known.stage.max(stage);
            // An end is heard of after its order, so it doesn't say when that was.
            if stage < Stage::Reverted {
                known.since = known.since.min(since);
            }
            return has_risen;
        }
        if revision <= known.revision {
            return false;
        }
        *known = Rollout { revision, order, stage, since: since.min(now) };
        true
    }

    /// Forgets orders that say nothing any more and were taken back or are long over.
    pub fn expire(&mut self, now: Duration) {
        self.known
            .retain(|_, r| r.order.is_some() && r.is_in_force(now) || r.age(now) < 2 * ENDED_FOR);
    }

    /// What is to be told to other boxes; `running_on_others` gives what this box has at engines of other versions.
    pub fn reports(
        &self,
        now: Duration,
        running_on_others: impl Fn(&str, &str) -> u32,
    ) -> Vec<RolloutReport> {
        let told = |(service, r): (&ServiceName, &Rollout)| RolloutReport {
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
        self.known.iter().map(told).collect()
    }

    /// The version that is rolled out for a service, while that says anything of what gets requests.
    pub fn target(&self, service: &str, now: Duration) -> Option<&VersionName> {
        let rollout = self.known.get(service).filter(|r| r.is_in_force(now))?;
        rollout.order.as_ref().map(|order| &order.target)
    }

    /// All versions that are rolled out.
    pub fn targets(&self, now: Duration) -> BTreeMap<ServiceName, VersionName> {
        let target = |(service, r): (&ServiceName, &Rollout)| {
            let order = r.order.as_ref().filter(|_| r.is_in_force(now))?;
            Some((service.clone(), order.target.clone()))
        };
        self.known.iter().filter_map(target).collect()
    }

    /// How far a service's roll-out has come, and its order, while it hasn't ended.
    pub fn in_progress(&self, service: &str) -> Option<(&RolloutOrder, Stage)> {
        let rollout = self.known.get(service).filter(|r| r.stage < Stage::Completed)?;
        rollout.order.as_ref().map(|order| (order, rollout.stage))
    }

    /// The services with an order that has not ended in the store, as far as this box knows.
    pub fn open_services(&self) -> Vec<ServiceName> {
        let open = self.known.iter().filter(|(_, r)| r.order.is_some());
        open.filter(|(_, r)| r.stage < Stage::Completed).map(|(s, _)| s.clone()).collect()
    }

    /// The part of a service's requests that the new version gets.
    pub fn share(&self, service: &str, now: Duration) -> Option<f64> {
        let rollout = self.known.get(service).filter(|r| r.is_in_force(now))?;
        Some(match rollout.stage {
            Stage::Canary => self.exposure * CANARY_PART,
            Stage::Widened => (self.exposure * WIDENED_PART).min(1.0),
            Stage::Moved | Stage::Completed => 1.0,
            Stage::Reverted => 0.0,
        })
    }

    /// Which engines a request goes to; `draw` is drawn evenly from 0 to 1 for it.
    pub fn version_filter(&self, service: &str, draw: f64, now: Duration) -> VersionFilter {
        match self.share(service, now) {
            None => VersionFilter::Any,
            Some(share) if draw < share => VersionFilter::Target,
            Some(_) => VersionFilter::Others,
        }
    }

    /// Raises the stage of a service's roll-out to what its judge finds; gives that if it is news.
    pub fn advance(&mut self, service: &str, s: StageInputs, now: Duration) -> Option<Stage> {
        let rollout = self.known.get_mut(service).filter(|r| r.order.is_some())?;
        let next = next(rollout, s, now);
        (rollout.stage < next).then(|| {
            rollout.stage = next;
            next
        })
    }

    /// Takes in that the store holds an end.
    pub fn record_outcome(&mut self, service: &str, target: &str, outcome: Outcome) {
        let Some(rollout) = self.known.get_mut(service) else { return };
        if rollout.order.as_ref().is_some_and(|order| &*order.target == target) {
            rollout.stage = rollout.stage.max(outcome.stage());
        }
    }
}

/// The stage that a roll-out should have by what its judge knows.
fn next(r: &Rollout, s: StageInputs, now: Duration) -> Stage {
    let Some(order) = &r.order else { return r.stage };
    if Stage::Reverted <= r.stage {
        return r.stage;
    }
    let part = r.age(now).as_secs_f64() / order.time_limit.as_secs_f64().max(f64::MIN_POSITIVE);
    if s.has_regressed || (r.stage < Stage::Moved && 1.0 <= part) {
        return Stage::Reverted;
    }
    let late = if MOVES_LATE <= part { ANSWERS_LATE } else { u64::MAX };
    let has_shown = |answers: u64| answers.min(late) <= s.min_responses;
    let (new, old) = s.slots;
    let has_room = new != 0 && old as f64 * SLOTS_PART <= new as f64;
    match r.stage {
        Stage::Canary if WIDENS_AFTER <= part && new != 0 && has_shown(ANSWERS_TO_WIDEN) => {
            Stage::Widened
        }
        Stage::Widened if MOVES_AFTER <= part && has_room && has_shown(ANSWERS_TO_MOVE) => {
            Stage::Moved
        }
        stage => stage,
    }
}
