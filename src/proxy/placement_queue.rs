//! Requests that wait for engines: answers of this box as an owner, and the wait for an owner's
//! decision.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::fleet::owners::EngineGroup;
use crate::fleet::owners::GroupOwners;
use crate::names::WorkspaceName;
use crate::placement::admit::Denial;
use crate::placement::admit::PlacementQuery;
use crate::placement::cold::Role;
use crate::placement::waiting::Admission;
use crate::placement::waiting::Answer;
use crate::placement::waiting::Outcome;
use crate::proxy::engine_placement;
use crate::proxy::engine_placement::OwnerRequests;
use crate::proxy::engine_placement::OwnerResponse;
use crate::proxy::engine_placement::PlacementResult;
use crate::proxy::headroom;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;
use crate::proxy::message::PlacementResponse;

/// Waiting requests are examined when an engine is expected to be free, and at least this often.
const DISPATCH_INTERVAL_MAX: Duration = Duration::from_millis(15);

/// They are examined at most this often, however many requests begin and end.
const DISPATCH_INTERVAL_MIN: Duration = Duration::from_millis(4);

/// Longest time for which a box waits for a decision that was announced.
const WITHIN_MAX: Duration = Duration::from_secs(10);

/// The recipient of the decision on a waiting request.
#[derive(Debug)]
pub enum Recipient {
    /// Another box.
    Box(IpAddr),
    /// A task of this box.
    Task(oneshot::Sender<OwnerResponse>),
}

/// Why there is no decision of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoDecision {
    /// It has not answered at all.
    Unresponsive,
    /// It has queued the request, but sent no decision in time.
    Undecided,
    /// It was not asked, since the request exceeds a datagram.
    NotAsked,
}

/// A decision of an owner.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerDecision {
    pub result: PlacementResult,
    /// How long the request was in the owner's queue.
    pub queued: Duration,
    /// The boxes besides the owner that have recorded it.
    pub recorded_by: Vec<IpAddr>,
}

/// Awaits the decision of another box, for which a request is registered in `requests`. If the
/// request is queued there and this future is dropped before the decision, calls `withdraw`.
pub async fn await_decision(
    requests: &OwnerRequests,
    request: u64,
    mut response: oneshot::Receiver<OwnerResponse>,
    timeout: Duration,
    stall_threshold: Duration,
    withdraw: impl FnMut(),
) -> Result<OwnerDecision, NoDecision> {
    let mut pending = PendingGuard { requests, request, withdraw, is_read: false };
    let mut deadline = Instant::now() + timeout;
    let mut stalled = false;
    loop {
        if let Ok(result) = tokio::time::timeout_at(deadline, &mut response).await {
            let queued = requests.queued(request).map_or(Duration::ZERO, |(at, _)| at.elapsed());
            pending.is_read = result.is_ok();
            return match result {
                Ok(OwnerResponse { result, recorded_by }) => {
                    Ok(OwnerDecision { result, queued, recorded_by })
                }
                Err(_) => Err(NoDecision::Unresponsive),
            };
        }
        let queued = requests.queued(request);
        // Notified while this task waited.
        if let Some((at, within)) = queued
            && deadline < at + within + timeout
        {
            deadline = at + within + timeout;
            continue;
        }
        // A timer that is late shows that this process was stalled; the response may have arrived.
        if stalled || deadline.elapsed() < stall_threshold {
            return Err(queued.map_or(NoDecision::Unresponsive, |_| NoDecision::Undecided));
        }
        stalled = true;
        deadline = Instant::now() + timeout;
    }
}

/// Forgets a request when the task that awaits its decision is dropped or gives up.
struct PendingGuard<'a, F: FnMut()> {
    requests: &'a OwnerRequests,
    request: u64,
    withdraw: F,
    /// Whether the task has read the decision.
    is_read: bool,
}

impl<F: FnMut()> Drop for PendingGuard<'_, F> {
    fn drop(&mut self) {
        let is_queued = self.requests.queued(self.request).is_some();
        let is_undecided = self.requests.forget(self.request);
        if !self.is_read && (is_queued || !is_undecided) {
            (self.withdraw)();
        }
    }
}

/// Records that an owner has queued a request of this box.
pub fn handle_queued(hub: &Hub, request: u64, within_ms: u32, from: IpAddr) {
    let within = Duration::from_millis(within_ms.into()).min(WITHIN_MAX);
    // It may arrive after the decision, if datagrams overtake each other.
    let is_running = hub.own_requests(|own| own.upstream(request).is_some());
    if !hub.owner_requests().set_queued(request, within) && !is_running {
        // The task that asked has given up.
        hub.peers().send_now(from, &Message::Withdrawn { request });
    }
}

/// Decides on a request of another box; `None` if it waits. The box is notified of that.
pub fn admit_for_box(
    hub: &Hub,
    query: PlacementQuery<'_>,
    from: IpAddr,
) -> Option<PlacementResult> {
    let request = query.request;
    match headroom::admit(hub, query, Recipient::Box(from)) {
        Admission::Decided(result, _) => Some(result),
        Admission::Queued { within, displaced } => {
            let within_ms = engine_placement::duration_ms(within);
            hub.peers().send_now(from, &Message::Queued { request, within_ms });
            hub.metrics().queued();
            displaced.into_iter().for_each(|answer| deliver(hub, *answer));
            None
        }
    }
}

/// Decides on a request of this box, which may wait. Returns how long it did.
pub async fn admit_here(
    hub: &Arc<Hub>,
    query: PlacementQuery<'_>,
    group_owners: GroupOwners,
) -> (OwnerResponse, Duration) {
    let (tx, rx) = oneshot::channel();
    let within = match headroom::admit(hub, query, Recipient::Task(tx)) {
        Admission::Decided(result, _) => {
            let recorded_by = match &result {
                Ok(choice) => {
                    engine_placement::notify_other_deciders(hub, &query, choice, group_owners)
                }
                Err(_) => Vec::new(),
            };
            return (OwnerResponse { result, recorded_by }, Duration::ZERO);
        }
        Admission::Queued { within, displaced } => {
            hub.metrics().queued();
            displaced.into_iter().for_each(|answer| deliver(hub, *answer));
            within
        }
    };
    let began = hub.now();
    let mut guard = LocalGuard { hub, request: query.request, group_owners, is_decided: false };
    // Requests are answered by their deadline; the timeout only bounds a fault of that.
    let result = tokio::time::timeout(within + DISPATCH_INTERVAL_MAX * 4, rx).await;
    let queued = hub.now().saturating_sub(began);
    match result {
        Ok(Ok(response)) => {
            guard.is_decided = true;
            (response, queued)
        }
        _ => {
            let result = Err(Denial::overloaded());
            (OwnerResponse { result, recorded_by: Vec::new() }, queued)
        }
    }
}

/// Withdraws a request of this box that is no longer awaited.
struct LocalGuard<'a> {
    hub: &'a Arc<Hub>,
    request: u64,
    group_owners: GroupOwners,
    is_decided: bool,
}

impl Drop for LocalGuard<'_> {
    fn drop(&mut self) {
        if !self.is_decided {
            engine_placement::withdraw(self.hub, self.request, self.group_owners.boxes());
        }
    }
}

/// Places or denies waiting requests until the process ends. Does nothing while none wait.
pub async fn run(hub: Arc<Hub>) {
    loop {
        hub.queue_changed().await;
        while hub.waiting_count() != 0 {
            dispatch(&hub);
            let free_in = hub.engine_free_in().unwrap_or_default();
            tokio::time::sleep(DISPATCH_INTERVAL_MIN).await;
            let interval = free_in.clamp(DISPATCH_INTERVAL_MIN, DISPATCH_INTERVAL_MAX);
            let rest = interval - DISPATCH_INTERVAL_MIN;
            let _ = tokio::time::timeout(rest, hub.queue_changed()).await;
        }
    }
}

/// Places the waiting requests that can begin, and denies those that can't in time.
pub fn dispatch(hub: &Hub) {
    let owners = hub.peers().owners();
    let own_ip = hub.peers().own_ip();
    let role = |group: EngineGroup| {
        let group_owners = owners.owners_of(group).filter(|_| owners.has_group(group))?;
        let role = group_owners.role(own_ip);
        (role != Role::Unassigned).then_some(role)
    };
    for answer in hub.dispatch_queued(role) {
        deliver(hub, answer);
    }
}

/// Sends the decision on a request that has waited.
fn deliver(hub: &Hub, answer: Answer<Recipient>) {
    let Answer { query, reply, result, outcome, queued } = answer;
    log_end(hub, query.request, query.workspace.as_ref(), outcome, queued);
    let group_owners = hub.peers().owners().owners_of(query.group);
    let recorded_by = match (&result, group_owners) {
        (Ok(choice), Some(group_owners)) => {
            let query = query.as_query(Role::Unassigned);
            engine_placement::notify_other_deciders(hub, &query, choice, group_owners)
        }
        _ => Vec::new(),
    };
    let request = query.request;
    match reply {
        Recipient::Box(ip) => {
            let response = PlacementResponse { request, result, recorded_by };
            hub.peers().send_now(ip, &Message::PlacementResponse(response));
        }
        Recipient::Task(tx) => {
            let response = OwnerResponse { result, recorded_by };
            if let Err(OwnerResponse { result: Ok(_), recorded_by }) = tx.send(response) {
                let boxes = group_owners.into_iter().flat_map(GroupOwners::boxes);
                engine_placement::withdraw(hub, request, boxes.chain(recorded_by));
            }
        }
    }
}

/// Logs and counts a request that leaves the queue.
pub fn log_end(
    hub: &Hub,
    request: u64,
    workspace: Option<&WorkspaceName>,
    outcome: Outcome,
    queued: Duration,
) {
    info!(hub.log(), "request left the queue"; "request" => request,
        "workspace" => workspace.map(WorkspaceName::as_str), "outcome" => outcome.code(),
        "queued_ms" => queued.as_millis() as u64);
    hub.metrics().left_queue(outcome, queued);
}
