//! Roll-outs at this box: which version a request goes to, what became of answers, and where this box is the judge, what
//! follows from that.

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

/// Time between looks at roll-outs, and between what is told of answers: a twenty-fifth of the time in which a bad version
/// must get nothing any more.
const TICK: Duration = Duration::from_millis(200);

/// What became of answers, told at a time, so that it fits a datagram.
const TOLD_MAX: usize = 100;

/// Boxes of a small fleet that judge.
const JUDGES: usize = 2;

/// Most answers that wait to be told.
const UNTOLD_MAX: usize = 2000;

/// An answer whose first piece has not come for this long, when its request ends, counts as that slow.
const AWAITED_MIN: Duration = Duration::from_millis(1000);

/// Sets the draw for versions apart from other draws by the same id.
const DRAW_SEED: u64 = 0x726f_6c6c;

/// What this box knows of roll-outs.
pub struct RolloutState {
    /// Whether there is anything to know, which is rare.
    is_any: AtomicBool,
    inner: Mutex<Inner>,
}

struct Inner {
    rollouts: Rollouts,
    evidence: BTreeMap<ServiceName, Evidence>,
}

/// What is known of the answers of one roll-out.
#[derive(Default)]
struct Evidence {
    target: Option<VersionName>,
    judge: RegressionDetector,
    /// What this box has seen and not told yet.
    untold: Vec<ResponseReport>,
    /// What the store holds by this box's word; nothing before the first.
    reported: Option<Option<Outcome>>,
}

/// An answer that is to be judged.
#[derive(Clone, Debug)]
pub struct JudgedResponse {
    service: ServiceName,
    target: VersionName,
    is_target: bool,
    route: u32,
}

impl RolloutState {
    /// Nothing is known yet; a new version may get so much of a service's requests before it has shown to be good.
    pub fn new(exposure: f64) -> RolloutState {
        let rollouts = Rollouts::new(exposure);
        let inner = Mutex::new(Inner { rollouts, evidence: BTreeMap::new() });
        RolloutState { is_any: AtomicBool::new(false), inner }
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.inner.lock().expect("no panic under lock"))
    }

    fn is_any(&self) -> bool {
        self.is_any.load(Ordering::Relaxed)
    }

    /// Which engines of a service the request of this id goes to.
    pub fn version_filter(&self, service: &str, id: &str, now: Duration) -> VersionFilter {
        if !self.is_any() {
            return VersionFilter::Any;
        }
        let draw = xxh3_64_with_seed(id.as_bytes(), DRAW_SEED) as f64 / u64::MAX as f64;
        self.with(|inner| inner.rollouts.version_filter(service, draw, now))
    }

    /// The engines that may go on with an answer that one of this version has begun.
    pub fn version_filter_for(
        &self,
        service: &str,
        begun: &VersionName,
        now: Duration,
    ) -> VersionFilter {
        if !self.is_any() {
            return VersionFilter::Any;
        }
        self.with(|inner| match inner.rollouts.target(service, now) {
            None => VersionFilter::Any,
            Some(target) if target == begun => VersionFilter::Target,
            Some(_) => VersionFilter::Others,
        })
    }

    /// Whether a request that the new version has no room for may go to the others.
    pub fn may_fall_back(&self, service: &str) -> bool {
        self.with(|inner| {
            inner.rollouts.in_progress(service).is_some_and(|(_, stage)| stage < Stage::Moved)
        })
    }

    /// By what an answer is judged that an upstream of this version gives; nothing where none is.
    pub fn judged_response(
        &self,
        service: &ServiceName,
        version: &VersionName,
        route: &str,
    ) -> Option<JudgedResponse> {
        if !self.is_any() {
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

    /// Notes what became of an answer.
    pub fn record_outcome(&self, judged_response: &JudgedResponse, finding: ResponseOutcome) {
        let JudgedResponse { ref service, ref target, is_target, route } = *judged_response;
        self.with(|inner| {
            let evidence = inner.evidence(service, target);
            if evidence.untold.len() < UNTOLD_MAX {
                evidence.untold.push(ResponseReport { is_target, route, outcome: finding });
            }
        });
    }

    /// Takes in what became of answers at another box.
    pub fn add_reports(&self, service: &ServiceName, target: &VersionName, all: &[ResponseReport]) {
        self.with(|inner| {
            let is_current = |t: &&VersionName| *t == target;
            let order = inner.rollouts.in_progress(service).map(|(order, _)| &order.target);
            if order.filter(is_current).is_none() {
                return;
            }
            let judge = &mut inner.evidence(service, target).judge;
            all.iter().for_each(|observed| judge.add(*observed));
        });
    }
}

impl Inner {
    fn evidence(&mut self, service: &ServiceName, target: &VersionName) -> &mut Evidence {
        let evidence = self.evidence.entry(service.clone()).or_default();
        if evidence.target.as_ref() != Some(target) {
            *evidence = Evidence { target: Some(target.clone()), ..Evidence::default() };
        }
        evidence
    }
}

/// Takes in what another box says with a sign of life.
pub fn merge_reports(hub: &Hub, all: &[RolloutReport]) {
    if all.is_empty() {
        return;
    }
    let now = hub.now();
    change(hub, |rollouts| all.iter().filter(|told| rollouts.merge_report(told, now)).count() != 0);
}

/// Takes in what the store says of one order.
pub fn apply_entry(hub: &Hub, entry: &RolloutEntry) {
    let now = hub.now();
    change(hub, |rollouts| rollouts.apply_entry(entry, now));
}

/// Takes in all orders that the store holds.
pub fn apply_list(hub: &Hub, all: &[RolloutEntry], revision: Revision) {
    let now = hub.now();
    change(hub, |rollouts| rollouts.apply_list(all, revision, now));
}

/// What this box says with its signs of life.
pub fn own_reports(hub: &Hub) -> Vec<RolloutReport> {
    let state = hub.rollouts();
    if !state.is_any() {
        return Vec::new();
    }
    let now = hub.now();
    hub.read(|view| {
        let running = |service: &str, version: &str| {
            view.fleet().outstanding_on_other_versions(service, version)
        };
        state.with(|inner| inner.rollouts.reports(now, running))
    })
}

/// Changes what is known, and has the choices and the other boxes follow.
fn change(hub: &Hub, f: impl FnOnce(&mut Rollouts) -> bool) {
    let state = hub.rollouts();
    let now = hub.now();
    let (has_changed, targets) = state.with(|inner| {
        let has_changed = f(&mut inner.rollouts);
        state.is_any.store(!inner.rollouts.is_empty(), Ordering::Relaxed);
        (has_changed, inner.rollouts.targets(now))
    });
    hub.fleet(|fleet| fleet.set_rollout_targets(targets));
    if !has_changed {
        return;
    }
    for (service, stage) in stages(hub) {
        info!(hub.log(), "roll-out"; "service" => service.as_str(), "stage" => ?stage);
    }
    hub.peers().request_heartbeat();
}

fn stages(hub: &Hub) -> Vec<(ServiceName, Stage)> {
    hub.rollouts().with(|inner| {
        let all = inner.rollouts.open_services().into_iter();
        all.filter_map(|s| Some((s.clone(), inner.rollouts.in_progress(&s)?.1))).collect()
    })
}

/// Tells what became of answers, and judges, until the process ends.
pub async fn run(hub: Arc<Hub>, adapter: Arc<dyn adapter::RolloutReporter>) {
    loop {
        aligned_timer::wait_for_tick(TICK).await;
        if !hub.rollouts().is_any() {
            continue;
        }
        let now = hub.now();
        change(&hub, |rollouts| {
            rollouts.expire(now);
            false
        });
        let services = hub.rollouts().with(|inner| inner.rollouts.open_services());
        for service in services {
            tell(&hub, &service);
            judge(&hub, &service);
            if is_judge(&hub, &service) {
                report(&hub, &service, &*adapter).await;
            }
        }
    }
}

/// Tells what became of answers to those who judge, this box included.
fn tell(hub: &Hub, service: &ServiceName) {
    let (target, untold) = hub.rollouts().with(|inner| {
        let evidence = inner.evidence.entry(service.clone()).or_default();
        (evidence.target.clone(), std::mem::take(&mut evidence.untold))
    });
    let Some(target) = target else { return };
    let keepers = plain_placement::owners(hub, service);
    if keepers.is_none_or(|owned| owned.boxes().any(|ip| ip == hub.peers().own_ip())) {
        hub.rollouts().add_reports(service, &target, &untold);
    }
    for all in untold.chunks(TOLD_MAX) {
        let (service, target) = (service.clone(), target.clone());
        plain_placement::notify_owners(
            hub,
            &service.clone(),
            &Message::ResponseReports { service, target, all: all.to_vec() },
        );
    }
}

/// Whether this box raises the stage: the owner of the service and its standby, or the first two boxes of a small fleet.
/// Both hear the same, and the stage is the greater of what they find, so neither waits for the other.
fn is_judge(hub: &Hub, service: &ServiceName) -> bool {
    match plain_placement::owners(hub, service) {
        Some(owned) => owned.boxes().any(|ip| ip == hub.peers().own_ip()),
        None => hub.peers().rank_for(service.as_bytes()) < JUDGES,
    }
}

/// Raises the stage if this box is a judge. Whoever has heard of the answers may end it: nothing more goes to a bad
/// version though its judges are gone.
fn judge(hub: &Hub, service: &ServiceName) {
    let Some((target, is_bad, answers)) = hub.rollouts().with(|inner| {
        let target = inner.rollouts.in_progress(service)?.0.target.clone();
        let judge = &inner.evidence(service, &target).judge;
        Some((target, judge.has_regressed(), judge.min_responses()))
    }) else {
        return;
    };
    if !is_bad && !is_judge(hub, service) {
        return;
    }
    let slots = hub.read(|view| view.fleet().slots_by_version(service, &target));
    let (situation, now) =
        (StageInputs { min_responses: answers, has_regressed: is_bad, slots }, hub.now());
    change(hub, |rollouts| match rollouts.advance(service, situation, now) {
        Some(stage) => {
            info!(hub.log(), "roll-out judged"; "service" => service.as_str(),
                "version" => target.as_str(), "stage" => ?stage, "answers" => answers,
                "is_bad" => is_bad);
            true
        }
        None => false,
    });
}

/// Writes to the store how the roll-out goes, where that is news. Its end frees the old engines, so it isn't written while
/// any box that lives has a request there or hasn't said that it sends none.
async fn report(hub: &Hub, service: &ServiceName, adapter: &dyn adapter::RolloutReporter) {
    let Some((target, stage, reported)) = hub.rollouts().with(|inner| {
        let (order, stage) = inner.rollouts.in_progress(service)?;
        let target = order.target.clone();
        let reported = inner.evidence(service, &target).reported;
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
            info!(hub.log(), "roll-out reported"; "service" => service.as_str(),
                "version" => target.as_str(), "outcome" => ?outcome, "held" => ?held);
            hub.rollouts().with(|inner| {
                inner.evidence(service, &target).reported = Some(held.or(outcome));
            });
            if let Some(held) = held {
                change(hub, |rollouts| {
                    rollouts.record_outcome(service, &target, held);
                    true
                });
            }
        }
        Err(e) => {
            warn!(hub.log(), "roll-out not reported"; "service" => service.as_str(),
                "error" => %e);
        }
    }
}

/// Whether no box that lives has a request at the old engines, or sends any there.
fn has_moved(hub: &Hub, service: &ServiceName, target: &VersionName) -> bool {
    let own = own_reports(hub).into_iter().find(|told| told.service == *service);
    let others = hub.peers().reported_rollouts(service);
    others.iter().chain([&own]).all(|told| told.as_ref().is_some_and(|t| t.has_moved(target)))
}

impl JudgedResponse {
    /// What became of an answer whose first piece came, or had not come, after this time.
    pub fn first(took: Duration) -> ResponseOutcome {
        ResponseOutcome::FirstChunk(time_bucket(took.as_secs_f64() * 1e3))
    }

    /// What became of an answer of which so many pieces came in this time.
    pub fn pace(took: Duration, pieces: u32) -> ResponseOutcome {
        ResponseOutcome::ChunkInterval(time_bucket(
            took.as_secs_f64() * 1e3 / f64::from(pieces.max(1)),
        ))
    }

    /// What became of an answer that never began, if its request has waited long enough to say anything.
    pub fn awaited(took: Duration) -> Option<ResponseOutcome> {
        (AWAITED_MIN <= took).then(|| JudgedResponse::first(took))
    }
}
