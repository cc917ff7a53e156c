//! Roll-outs of new versions at this box: choosing the version for each request, recording the
//! outcomes of responses, and, if this box evaluates the roll-out, raising its stage.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::info;
use slog::warn;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::revision::Revision;
use crate::fleet::rollout::Outcome;
use crate::fleet::rollout::RolloutEntry;
use crate::fleet::rollout::RolloutReport;
use crate::fleet::rollout::Rollouts;
use crate::fleet::rollout::Stage;
use crate::fleet::rollout::StageInputs;
use crate::fleet::rollout::VersionFilter;
use crate::fleet::rollout::regression::RegressionDetector;
use crate::fleet::rollout::regression::ResponseOutcome;
use crate::fleet::rollout::regression::ResponseReport;
use crate::fleet::rollout::regression::time_bucket;
use crate::names::ServiceName;
use crate::names::VersionName;
use crate::proxy::adapter;
use crate::proxy::aligned_timer;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;
use crate::proxy::plain_placement;

/// Time between evaluations of roll-outs, and between reports of outcomes: a twenty-fifth of the
/// time within which requests to a bad version must have stopped.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(200);

/// Outcomes in one message, so that they fit a datagram.
const OUTCOMES_PER_MESSAGE: usize = 100;

/// Number of boxes of a small fleet that evaluate a roll-out.
const EVALUATING_BOXES: usize = 2;

/// Maximum number of outcomes that wait to be reported.
const UNREPORTED_MAX: usize = 2000;

/// If a request ends before the first chunk of its response has arrived, the time that it waited
/// counts as the time to the first chunk, provided that it is at least this long.
const FIRST_CHUNK_WAIT_MIN: Duration = Duration::from_millis(1000);

/// Seed that makes the hash for the choice of a version independent of other hashes of the same id.
const VERSION_HASH_SEED: u64 = 0x726f_6c6c;

/// The state of roll-outs at this box.
pub struct RolloutState {
    /// Whether any roll-outs are known, which is rare.
    has_rollouts: AtomicBool,
    inner: Mutex<Inner>,
}

struct Inner {
    rollouts: Rollouts,
    outcomes: BTreeMap<ServiceName, ResponseOutcomes>,
}

/// The outcomes of the responses of one roll-out.
#[derive(Default)]
struct ResponseOutcomes {
    target: Option<VersionName>,
    detector: RegressionDetector,
    /// Outcomes recorded by this box and not reported to other boxes yet.
    unreported: Vec<ResponseReport>,
    /// The outcome of the roll-out that this box last wrote to the store; `None` before the first
    /// write.
    reported: Option<Option<Outcome>>,
}

/// A response whose outcome counts for a roll-out.
#[derive(Clone, Debug)]
pub struct JudgedResponse {
    service: ServiceName,
    target: VersionName,
    is_target: bool,
    route: u32,
}

impl RolloutState {
    /// Creates the state without roll-outs. `exposure` is the share of a service's requests that a
    /// new version may get before it has proved good.
    pub fn new(exposure: f64) -> RolloutState {
        let rollouts = Rollouts::new(exposure);
        let inner = Mutex::new(Inner { rollouts, outcomes: BTreeMap::new() });
        RolloutState { has_rollouts: AtomicBool::new(false), inner }
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.inner.lock().expect("no panic under lock"))
    }

    fn has_rollouts(&self) -> bool {
        self.has_rollouts.load(Ordering::Relaxed)
    }

    /// Returns which versions of a service may serve the request with this id.
    pub fn version_filter(&self, service: &str, id: &str, now: Duration) -> VersionFilter {
        if !self.has_rollouts() {
            return VersionFilter::Any;
        }
        let draw = xxh3_64_with_seed(id.as_bytes(), VERSION_HASH_SEED) as f64 / u64::MAX as f64;
        self.with(|inner| inner.rollouts.version_filter(service, draw, now))
    }

    /// Whether a version must get no more requests, because its roll-out was reverted.
    pub fn is_withdrawn(&self, service: &str, version: &VersionName, now: Duration) -> bool {
        self.has_rollouts()
            && self.with(|inner| {
                inner.rollouts.target(service, now) == Some(version)
                    && inner.rollouts.share(service, now) == Some(0.0)
            })
    }

    /// Whether a request for which the new version has no capacity may go to other versions.
    pub fn may_fall_back(&self, service: &str) -> bool {
        self.with(|inner| {
            inner.rollouts.in_progress(service).is_some_and(|(_, stage)| stage < Stage::Moved)
        })
    }

    /// Returns what is needed to record the outcome of a response by an upstream of this version;
    /// `None` if no roll-out of the service is in progress.
    pub fn judged_response(
        &self,
        service: &ServiceName,
        version: &VersionName,
        route: &str,
    ) -> Option<JudgedResponse> {
        if !self.has_rollouts() {
            return None;
        }
        let order =
            self.with(|inner| inner.rollouts.in_progress(service).map(|(order, _)| order.clone()))?;
        Some(JudgedResponse {
            service: service.clone(),
            is_target: order.target == *version,
            target: order.target,
            route: xxh3_64(route.as_bytes()) as u32,
        })
    }

    /// Records the outcome of a response.
    pub fn record_outcome(&self, judged_response: &JudgedResponse, outcome: ResponseOutcome) {
        let JudgedResponse { ref service, ref target, is_target, route } = *judged_response;
        self.with(|inner| {
            let outcomes = inner.outcomes(service, target);
            if outcomes.unreported.len() < UNREPORTED_MAX {
                outcomes.unreported.push(ResponseReport { is_target, route, outcome });
            }
        });
    }

    /// Adds outcomes recorded by other boxes.
    pub fn add_reports(&self, service: &ServiceName, target: &VersionName, all: &[ResponseReport]) {
        self.with(|inner| {
            let is_current = |t: &&VersionName| *t == target;
            let order = inner.rollouts.in_progress(service).map(|(order, _)| &order.target);
            if order.filter(is_current).is_none() {
                return;
            }
            let detector = &mut inner.outcomes(service, target).detector;
            all.iter().for_each(|report| detector.add(*report));
        });
    }
}

impl Inner {
    fn outcomes(&mut self, service: &ServiceName, target: &VersionName) -> &mut ResponseOutcomes {
        let outcomes = self.outcomes.entry(service.clone()).or_default();
        if outcomes.target.as_ref() != Some(target) {
            *outcomes =
                ResponseOutcomes { target: Some(target.clone()), ..ResponseOutcomes::default() };
        }
        outcomes
    }
}

/// Applies the reports in another box's heartbeat.
pub fn merge_reports(hub: &Hub, all: &[RolloutReport]) {
    if all.is_empty() {
        return;
    }
    let now = hub.now();
    update(hub, |rollouts| {
        all.iter().filter(|report| rollouts.merge_report(report, now)).count() != 0
    });
}

/// Applies one roll-out as the store lists it.
pub fn apply_entry(hub: &Hub, entry: &RolloutEntry) {
    let now = hub.now();
    update(hub, |rollouts| rollouts.apply_entry(entry, now));
}

/// Applies the store's complete list of roll-outs.
pub fn apply_list(hub: &Hub, all: &[RolloutEntry], revision: Revision) {
    let now = hub.now();
    update(hub, |rollouts| rollouts.apply_list(all, revision, now));
}

/// Returns the reports for this box's heartbeats.
pub fn own_reports(hub: &Hub) -> Vec<RolloutReport> {
    let state = hub.rollouts();
    if !state.has_rollouts() {
        return Vec::new();
    }
    let now = hub.now();
    hub.read(|view| {
        let running = |service: &str, version: &str| {
            view.registry().outstanding_on_other_versions(service, version)
        };
        state.with(|inner| inner.rollouts.reports(now, running))
    })
}

/// Modifies the state of roll-outs, and applies the result to the choice of upstreams and to
/// heartbeats.
fn update(hub: &Hub, f: impl FnOnce(&mut Rollouts) -> bool) {
    let state = hub.rollouts();
    let now = hub.now();
    let (has_changed, targets) = state.with(|inner| {
        let has_changed = f(&mut inner.rollouts);
        state.has_rollouts.store(!inner.rollouts.is_empty(), Ordering::Relaxed);
        (has_changed, inner.rollouts.targets(now))
    });
    hub.with_registry(|registry| registry.set_rollout_targets(targets));
    if !has_changed {
        return;
    }
    for (service, stage) in stages(hub) {
        info!(hub.log(), "roll-out changed"; "service" => service.as_str(), "stage" => ?stage);
    }
    hub.peers().request_heartbeat();
}

fn stages(hub: &Hub) -> Vec<(ServiceName, Stage)> {
    hub.rollouts().with(|inner| {
        let all = inner.rollouts.open_services().into_iter();
        all.filter_map(|s| Some((s.clone(), inner.rollouts.in_progress(&s)?.1))).collect()
    })
}

/// Reports outcomes and evaluates roll-outs until the process ends.
pub async fn run(hub: Arc<Hub>, adapter: Arc<dyn adapter::RolloutReporter>) {
    loop {
        aligned_timer::wait_for_tick(EVALUATION_INTERVAL).await;
        if !hub.rollouts().has_rollouts() {
            continue;
        }
        let now = hub.now();
        update(&hub, |rollouts| {
            rollouts.expire(now);
            false
        });
        let services = hub.rollouts().with(|inner| inner.rollouts.open_services());
        for service in services {
            send_outcomes(&hub, &service);
            evaluate(&hub, &service);
            if is_evaluator(&hub, &service) {
                report(&hub, &service, &*adapter).await;
            }
        }
    }
}

/// Sends outcomes to the boxes that evaluate the roll-out, this one included.
fn send_outcomes(hub: &Hub, service: &ServiceName) {
    let (target, unreported) = hub.rollouts().with(|inner| {
        let outcomes = inner.outcomes.entry(service.clone()).or_default();
        (outcomes.target.clone(), std::mem::take(&mut outcomes.unreported))
    });
    let Some(target) = target else { return };
    let owners = plain_placement::owners(hub, service);
    if owners.is_none_or(|owners| owners.boxes().any(|ip| ip == hub.peers().own_ip())) {
        hub.rollouts().add_reports(service, &target, &unreported);
    }
    for all in unreported.chunks(OUTCOMES_PER_MESSAGE) {
        let (service, target) = (service.clone(), target.clone());
        plain_placement::notify_owners(
            hub,
            &service.clone(),
            &Message::ResponseReports { service, target, all: all.to_vec() },
        );
    }
}

/// Whether this box evaluates the roll-out and raises its stage. The evaluators are the owner of
/// the service and its standby, or the first two boxes of a small fleet. Both receive the same
/// outcomes, and the stage is the greater of their results, so neither waits for the other.
fn is_evaluator(hub: &Hub, service: &ServiceName) -> bool {
    match plain_placement::owners(hub, service) {
        Some(owners) => owners.boxes().any(|ip| ip == hub.peers().own_ip()),
        None => hub.peers().rank_for(service.as_bytes()) < EVALUATING_BOXES,
    }
}

/// Raises the stage if this box evaluates the roll-out. Any box that has received the outcomes may
/// revert it, so that requests to a bad version stop even if the boxes that evaluate it are gone.
fn evaluate(hub: &Hub, service: &ServiceName) {
    let Some((target, has_regressed, min_responses)) = hub.rollouts().with(|inner| {
        let target = inner.rollouts.in_progress(service)?.0.target.clone();
        let detector = &inner.outcomes(service, &target).detector;
        Some((target, detector.has_regressed(), detector.min_responses()))
    }) else {
        return;
    };
    if !has_regressed && !is_evaluator(hub, service) {
        return;
    }
    let slots = hub.read(|view| view.registry().slots_by_version(service, &target));
    let (inputs, now) = (StageInputs { min_responses, has_regressed, slots }, hub.now());
    update(hub, |rollouts| match rollouts.advance(service, inputs, now) {
        Some(stage) => {
            info!(hub.log(), "roll-out stage decided"; "service" => service.as_str(),
                "version" => target.as_str(), "stage" => ?stage, "answers" => min_responses,
                "is_bad" => has_regressed);
            true
        }
        None => false,
    });
}

/// Writes the roll-out's outcome to the store if it has changed. Completion releases the old
/// engines, so it isn't written while any live box has a request there or hasn't reported that it
/// sends none.
async fn report(hub: &Hub, service: &ServiceName, adapter: &dyn adapter::RolloutReporter) {
    let Some((target, stage, reported)) = hub.rollouts().with(|inner| {
        let (order, stage) = inner.rollouts.in_progress(service)?;
        let target = order.target.clone();
        let reported = inner.outcomes(service, &target).reported;
        Some((target, stage, reported))
    }) else {
        return;
    };
    let outcome = match stage {
        Stage::Canary | Stage::Widened => None,
        Stage::Moved if has_moved(hub, service, &target) => Some(Outcome::Completed),
        Stage::Moved => None,
        Stage::Reverted => Some(Outcome::Reverted),
        Stage::Completed => return,
    };
    if reported == Some(outcome) {
        return;
    }
    match adapter.report(service, &target, outcome).await {
        Ok(held) => {
            info!(hub.log(), "roll-out outcome written"; "service" => service.as_str(),
                "version" => target.as_str(), "outcome" => ?outcome, "held" => ?held);
            hub.rollouts().with(|inner| {
                inner.outcomes(service, &target).reported = Some(held.or(outcome));
            });
            if let Some(held) = held {
                update(hub, |rollouts| {
                    rollouts.record_outcome(service, &target, held);
                    true
                });
            }
        }
        Err(e) => {
            warn!(hub.log(), "roll-out outcome not written"; "service" => service.as_str(),
                "error" => %e);
        }
    }
}

/// Whether no live box has requests at the old engines or sends any there.
fn has_moved(hub: &Hub, service: &ServiceName, target: &VersionName) -> bool {
    let own = own_reports(hub).into_iter().find(|report| report.service == *service);
    let others = hub.peers().reported_rollouts(service);
    others.iter().chain([&own]).all(|report| report.as_ref().is_some_and(|t| t.has_moved(target)))
}

impl JudgedResponse {
    /// The outcome of a response whose first chunk arrived, or had not arrived, after this time.
    pub fn first(took: Duration) -> ResponseOutcome {
        ResponseOutcome::FirstChunk(time_bucket(took.as_secs_f64() * 1e3))
    }

    /// The outcome of a response of which `chunks` chunks arrived in this time.
    pub fn pace(took: Duration, chunks: u32) -> ResponseOutcome {
        ResponseOutcome::ChunkInterval(time_bucket(
            took.as_secs_f64() * 1e3 / f64::from(chunks.max(1)),
        ))
    }

    /// The outcome of a response that never began; `None` if its request hasn't waited long enough
    /// to tell.
    pub fn awaited(took: Duration) -> Option<ResponseOutcome> {
        (FIRST_CHUNK_WAIT_MIN <= took).then(|| JudgedResponse::first(took))
    }
}
