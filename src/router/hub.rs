//! Connects the node to the network: holds it behind a lock and performs its outputs.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::Weak;
use std::time::Duration;

use opentelemetry::KeyValue;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::claims::ClaimOp;
use crate::claims::ClaimRequest;
use crate::claims::ClaimTransport;
use crate::claims::Claims;
use crate::config::CatalogRevision;
use crate::dispatch::pool::Decision;
use crate::dispatch::pool::PoolDispatcher;
use crate::metrics::Metrics;
use crate::names::BoxName;
use crate::names::PoolName;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::node::Change;
use crate::node::Node;
use crate::node::Output;
use crate::node::Refusal;
use crate::peer::connection::ConnectionHandler;
use crate::peer::connection::PeerConnections;
use crate::peer::message::Ending;
use crate::peer::message::Message;
use crate::peer::message::Ticket;
use crate::peer::message::TicketId;
use crate::peer::server::CallHandler;
use crate::peer::server::CallResponse;
use crate::platform::ObjectStore;
use crate::router::request_history::RequestHistory;
use crate::status::Explanation;
use crate::status::PoolStatus;
use crate::status::Status;
use crate::status::UpstreamStatus;
use crate::status::WorkspaceStatus;

/// Most waiting workspaces per pool in a status.
const STATUS_WORKSPACES_MAX: usize = 100;

/// Most calls of one box whose responses are pending at once.
const PENDING_RESPONSES_MAX: usize = 32;

/// Where a granted request is sent.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The upstream that runs the request.
    pub upstream: UpstreamName,
    /// Cost that is charged already, in the pool's unit.
    pub charged_cost: u64,
}

/// The assignment of a waiting request, or why it was refused.
pub type AssignmentResult = Result<Assignment, Refusal>;

/// The node of this process, with what is needed to perform its outputs.
pub struct Hub {
    inner: Mutex<Inner>,
    started_at: Instant,
    connections: PeerConnections,
    history: RequestHistory,
    metrics: Metrics,
    log: Logger,
    claims: OnceLock<Arc<Claims>>,
    weak_self: Weak<Hub>,
}

struct Inner {
    node: Node,
    pending_assignments: HashMap<TicketId, oneshot::Sender<AssignmentResult>>,
    /// Calls of other boxes whose response is held back for the next message to them.
    pending_responses: HashMap<BoxName, VecDeque<oneshot::Sender<Vec<Message>>>>,
}

impl Hub {
    /// Creates a hub for `node`.
    pub fn new(
        node: Node,
        connections: PeerConnections,
        metrics: Metrics,
        log: Logger,
    ) -> Arc<Hub> {
        Arc::new_cyclic(|this| Hub {
            inner: Mutex::new(Inner {
                node,
                pending_assignments: HashMap::new(),
                pending_responses: HashMap::new(),
            }),
            started_at: Instant::now(),
            connections,
            history: RequestHistory::default(),
            metrics,
            log,
            claims: OnceLock::new(),
            weak_self: this.clone(),
        })
    }

    /// The applied configuration.
    pub fn configuration(&self) -> Arc<CatalogRevision> {
        self.read(|node, _| node.configuration().clone())
    }

    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The latest decisions and requests of this process.
    pub fn history(&self) -> &RequestHistory {
        &self.history
    }

    /// Starts the idempotency claims, which are stored in `objects`.
    pub fn start_claims(self: &Arc<Hub>, objects: Arc<dyn ObjectStore>) {
        let claims = Claims::new(objects, Box::new(HubClaimTransport(Arc::downgrade(self))));
        // Called once, at the start.
        let _ = self.claims.set(claims);
    }

    /// The idempotency claims; `None` until they are started.
    pub fn claims(&self) -> Option<&Arc<Claims>> {
        self.claims.get()
    }

    pub fn log(&self) -> &Logger {
        &self.log
    }

    pub fn new_ticket_id(&self) -> TicketId {
        self.update(|node, _| node.new_ticket_id())
    }

    /// Queues a request for a grant. The returned receiver gets the result.
    pub fn submit(&self, ticket: Ticket) -> Result<oneshot::Receiver<AssignmentResult>, Refusal> {
        let (tx, rx) = oneshot::channel();
        let id = ticket.id;
        let mut inner = self.inner.lock().expect("no panic under lock");
        inner.pending_assignments.insert(id, tx);
        let result = inner.node.submit(ticket, self.now());
        if result.is_err() {
            inner.pending_assignments.remove(&id);
        }
        self.perform_outputs(&mut inner, None);
        result.map(|()| rx)
    }

    /// Withdraws a waiting request; `false` if it doesn't wait (any more).
    pub fn withdraw(&self, id: TicketId) -> bool {
        let mut inner = self.inner.lock().expect("no panic under lock");
        inner.pending_assignments.remove(&id);
        let waited = inner.node.withdraw(id, self.now());
        self.perform_outputs(&mut inner, None);
        waited
    }

    /// Records the cost of a running request so far; returns the cost above which this must be
    /// called again.
    pub fn record_progress(&self, id: TicketId, cost: u64) -> u64 {
        self.update(|node, now| node.record_progress(id, cost, now))
    }

    /// Ends a running request.
    pub fn finish(&self, id: TicketId, cost: u64, ending: Ending) {
        self.update(|node, now| node.finish(id, cost, ending, now));
    }

    /// Takes a retry from a pool's budget and counts it; `false` if the budget is exhausted.
    pub fn try_take_retry(&self, pool: &PoolName) -> bool {
        let allowed = self.update(|node, _| node.try_take_retry(pool));
        if allowed {
            self.metrics.retries.add(1, &[KeyValue::new("pool", pool.to_string())]);
        }
        allowed
    }

    /// Updates the node and performs its outputs.
    pub fn update<T>(&self, f: impl FnOnce(&mut Node, Duration) -> T) -> T {
        let mut inner = self.inner.lock().expect("no panic under lock");
        let result = f(&mut inner.node, self.now());
        self.perform_outputs(&mut inner, None);
        result
    }

    /// Reads the node.
    pub fn read<T>(&self, f: impl FnOnce(&Node, Duration) -> T) -> T {
        let inner = self.inner.lock().expect("no panic under lock");
        f(&inner.node, self.now())
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Performs the outputs of the node. Messages for `caller` are returned instead of sent.
    fn perform_outputs(&self, inner: &mut Inner, caller: Option<&BoxName>) -> Vec<Message> {
        let mut replies = Vec::new();
        for output in inner.node.take_output() {
            match output {
                Output::Send { to, message } if Some(&to) == caller => replies.push(message),
                Output::Send { to, message } => self.send(inner, &to, message),
                Output::Start { ticket, upstream, charged_cost } => {
                    deliver_assignment(inner, ticket, Ok(Assignment { upstream, charged_cost }));
                }
                Output::Refuse { ticket, refusal } => {
                    deliver_assignment(inner, ticket, Err(refusal))
                }
                Output::RecordDecision(decision) => self.record_decision(decision),
                Output::LogChange(change) => self.log_change(&change),
            }
        }
        replies
    }

    /// Sends a message in the response to a pending call of that box, or else in a new call.
    fn send(&self, inner: &mut Inner, to: &BoxName, message: Message) {
        let mut messages = vec![message];
        while let Some(tx) = inner.pending_responses.get_mut(to).and_then(VecDeque::pop_front) {
            match tx.send(messages) {
                Ok(()) => return,
                // The call has timed out.
                Err(unsent) => messages = unsent,
            }
        }
        let Some(message) = messages.pop() else { return };
        if let Some(this) = self.weak_self.upgrade() {
            let handler: Arc<dyn ConnectionHandler> = this;
            self.connections.send(to, message, &handler);
        }
    }

    /// Logs a placement decision and records it. Users require a log line for every decision.
    fn record_decision(&self, decision: Decision) {
        info!(self.log, "placed";
            "ticket" => format!("{:016x}", decision.ticket.0),
            "router" => %decision.router,
            "pool" => %decision.pool,
            "workspace" => %decision.workspace,
            "service" => %decision.service,
            "upstream" => %decision.upstream,
            "why" => ?decision.why,
            "virtual_time" => decision.virtual_time,
            "floor" => decision.floor,
            "waiting_workspaces" => decision.waiting_workspaces,
            "candidates" => decision.candidates,
            "estimate" => decision.estimate,
            "waited_ms" => decision.waited_ms,
        );
        let labels = [
            KeyValue::new("pool", decision.pool.to_string()),
            KeyValue::new("why", format!("{:?}", decision.why)),
        ];
        self.metrics.decisions.add(1, &labels);
        self.history.add_decision(decision);
    }

    fn log_change(&self, change: &Change) {
        match change {
            Change::Dispatcher { pool, dispatcher, is_local } => {
                info!(self.log, "dispatcher changed";
                    "pool" => %pool, "is" => %dispatcher, "mine" => is_local);
            }
            Change::ConfigurationApplied { revision } => {
                info!(self.log, "configuration in force"; "revision" => revision);
            }
            Change::InvalidConfiguration { revision, from, fault } => {
                warn!(self.log, "configuration refused";
                    "revision" => revision, "from" => %from, "fault" => fault);
            }
            Change::Member { name, live } => {
                info!(self.log, "box liveness changed"; "name" => %name, "live" => live);
            }
        }
    }
}

/// Sends claims to other boxes over the connections of the hub.
struct HubClaimTransport(Weak<Hub>);

impl ClaimTransport for HubClaimTransport {
    fn writer_of(&self, shard: u64) -> Option<BoxName> {
        self.0.upgrade()?.read(|node, now| node.claims_writer(shard, now))
    }

    fn send(&self, to: &BoxName, claim: ClaimRequest) {
        if let Some(hub) = self.0.upgrade() {
            let mut inner = hub.inner.lock().expect("no panic under lock");
            hub.send(&mut inner, to, Message::ClaimRequest(claim));
        }
    }
}

impl Hub {
    /// Handles the messages about claims and returns the others.
    fn handle_claim_messages(&self, from: &BoxName, messages: Vec<Message>) -> Vec<Message> {
        let Some(claims) = self.claims.get() else { return messages };
        let mut others = Vec::with_capacity(messages.len());
        for message in messages {
            match message {
                Message::ClaimRequest(claim) => self.handle_claim(claims, from, claim),
                Message::ClaimResponse { attempt, outcome } => {
                    claims.handle_response(attempt, outcome)
                }
                other => others.push(other),
            }
        }
        others
    }

    fn handle_claim(&self, claims: &Claims, from: &BoxName, claim: ClaimRequest) {
        let (this, from, attempt) = (self.weak_self.clone(), from.clone(), claim.attempt);
        let expects_response = claim.op == ClaimOp::Acquire;
        claims.handle_request(claim, move |outcome| {
            if let Some(hub) = this.upgrade().filter(|_| expects_response) {
                let mut inner = hub.inner.lock().expect("no panic under lock");
                hub.send(&mut inner, &from, Message::ClaimResponse { attempt, outcome });
            }
        });
    }
}

impl ConnectionHandler for Hub {
    fn receive(&self, from: &BoxName, messages: Vec<Message>) {
        let messages = self.handle_claim_messages(from, messages);
        self.update(|node, now| node.receive(from, messages, now));
    }

    fn unreachable(&self, name: &BoxName) {
        self.update(|node, now| node.mark_unreachable(name, now));
    }

    fn messages_lost(&self, name: &BoxName, messages: Vec<Message>) {
        self.update(|node, now| node.messages_lost(name, messages, now));
    }

    fn address(&self, name: &BoxName) -> Option<SocketAddr> {
        self.read(|node, _| node.members().address(name))
    }
}

impl CallHandler for Hub {
    fn call(&self, from: &BoxName, messages: Vec<Message>) -> CallResponse {
        let messages = self.handle_claim_messages(from, messages);
        let expects_grant = messages.iter().any(|m| matches!(m, Message::Ticket(_)));
        let mut inner = self.inner.lock().expect("no panic under lock");
        inner.node.receive(from, messages, self.now());
        let replies = self.perform_outputs(&mut inner, Some(from));
        if !expects_grant || !replies.is_empty() {
            return CallResponse::Ready(replies);
        }
        let (tx, rx) = oneshot::channel();
        let pending_responses = inner.pending_responses.entry(from.clone()).or_default();
        pending_responses.retain(|tx| !tx.is_closed());
        if PENDING_RESPONSES_MAX <= pending_responses.len() {
            return CallResponse::Ready(replies);
        }
        pending_responses.push_back(tx);
        CallResponse::Pending(rx)
    }

    fn explain(&self, request: &str) -> Explanation {
        self.history.explain(request)
    }

    fn status(&self) -> Status {
        self.read(status)
    }
}

fn deliver_assignment(inner: &mut Inner, ticket: TicketId, result: AssignmentResult) {
    // The receiver is gone if the request was dropped just now. `WaitingGuard` then reports the
    // grant as unused.
    if let Some(tx) = inner.pending_assignments.remove(&ticket) {
        let _ = tx.send(result);
    }
}

fn status(node: &Node, now: Duration) -> Status {
    let id = node.identity();
    Status {
        name: id.name.clone(),
        zone: id.zone.clone(),
        revision: node.configuration().number,
        leaving: node.members().is_leaving(),
        live_boxes: node.members().live(now).cloned().collect(),
        waiting: node.waiting_count(),
        running: node.running_count(),
        pools: node.pools().map(pool_status).collect(),
    }
}

fn pool_status(pool: &PoolDispatcher) -> PoolStatus {
    let status = |w: &WorkspaceName| WorkspaceStatus {
        workspace: w.clone(),
        waiting: pool.queue().waiting(w),
        virtual_time: pool.ledger().virtual_time(w),
        wait_reason: pool.wait_reason(w),
    };
    let mut workspaces: Vec<WorkspaceStatus> = pool.queue().workspaces().map(status).collect();
    workspaces.sort_by_key(|w| w.virtual_time);
    workspaces.truncate(STATUS_WORKSPACES_MAX);
    let upstreams = pool.upstreams().states().map(|(name, reason)| UpstreamStatus {
        upstream: name.clone(),
        unavailable_reason: reason.map(|r| format!("{r:?}").to_lowercase()),
    });
    PoolStatus {
        pool: pool.name().clone(),
        waiting: pool.queue().len(),
        running: pool.upstreams().running(),
        slots: pool.upstreams().slots(),
        workspaces,
        upstreams: upstreams.collect(),
    }
}
