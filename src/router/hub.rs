//! The one place where the node's decisions meet the network: a lock around the node, and what to
//! do with each of its outputs.

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

use crate::claims::Claim;
use crate::claims::Claims;
use crate::claims::Courier;
use crate::claims::Op;
use crate::config::CatalogRevision;
use crate::dispatch::pool::Decision;
use crate::dispatch::pool::Pool;
use crate::metrics::Metrics;
use crate::names::BoxName;
use crate::names::PoolName;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::node::Change;
use crate::node::Node;
use crate::node::Output;
use crate::node::Refusal;
use crate::peer::link::Inbox;
use crate::peer::link::Links;
use crate::peer::message::Ending;
use crate::peer::message::Message;
use crate::peer::message::Ticket;
use crate::peer::message::TicketId;
use crate::peer::server::Answer;
use crate::peer::server::Handler;
use crate::platform::ObjectStore;
use crate::router::request_history::Records;
use crate::status::Explanation;
use crate::status::PoolStatus;
use crate::status::Status;
use crate::status::UpstreamStatus;
use crate::status::WorkspaceStatus;

/// Waiting workspaces shown per pool in a status.
const WORKSPACES_SHOWN: usize = 100;

/// Calls of one peer whose answers may be held back at once.
const HELD_MAX: usize = 32;

/// A grant, as the request that waits for it gets it.
#[derive(Clone, Debug)]
pub struct Start {
    /// Where to send the request.
    pub upstream: UpstreamName,
    /// Cost charged already, in the pool's unit.
    pub cover: u64,
}

/// What becomes of a request that waits.
pub type Placement = Result<Start, Refusal>;

/// The node of this process with what its outputs need.
pub struct Hub {
    inner: Mutex<Inner>,
    epoch: Instant,
    links: Links,
    records: Records,
    metrics: Metrics,
    log: Logger,
    claims: OnceLock<Arc<Claims>>,
    this: Weak<Hub>,
}

struct Inner {
    node: Node,
    starts: HashMap<TicketId, oneshot::Sender<Placement>>,
    /// Calls of peers whose answers are held back.
    held: HashMap<BoxName, VecDeque<oneshot::Sender<Vec<Message>>>>,
}

impl Hub {
    /// A hub around `node`.
    pub fn new(node: Node, links: Links, metrics: Metrics, log: Logger) -> Arc<Hub> {
        Arc::new_cyclic(|this| Hub {
            inner: Mutex::new(Inner { node, starts: HashMap::new(), held: HashMap::new() }),
            epoch: Instant::now(),
            links,
            records: Records::default(),
            metrics,
            log,
            claims: OnceLock::new(),
            this: this.clone(),
        })
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Arc<CatalogRevision> {
        self.read(|node, _| node.configuration().clone())
    }

    /// The figures of this process.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// What this process remembers.
    pub fn records(&self) -> &Records {
        &self.records
    }

    /// Begins to claim keys in `objects`.
    pub fn open_claims(self: &Arc<Hub>, objects: Arc<dyn ObjectStore>) {
        let claims = Claims::new(objects, Box::new(HubCourier(Arc::downgrade(self))));
        // Set once, at the start.
        let _ = self.claims.set(claims);
    }

    /// The claims, once they are open.
    pub fn claims(&self) -> Option<&Arc<Claims>> {
        self.claims.get()
    }

    /// The log.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// A new ticket name.
    pub fn new_ticket_id(&self) -> TicketId {
        self.with(|node, _| node.new_ticket_id())
    }

    /// Lets a request wait; the receiver gets its grant.
    pub fn submit(&self, ticket: Ticket) -> Result<oneshot::Receiver<Placement>, Refusal> {
        let (tx, rx) = oneshot::channel();
        let id = ticket.id;
        let mut inner = self.inner.lock().expect("no panic under lock");
        inner.starts.insert(id, tx);
        let result = inner.node.submit(ticket, self.now());
        if result.is_err() {
            inner.starts.remove(&id);
        }
        self.act(&mut inner, None);
        result.map(|()| rx)
    }

    /// Takes back a request that waits; false when it doesn't wait (any more).
    pub fn withdraw(&self, id: TicketId) -> bool {
        let mut inner = self.inner.lock().expect("no panic under lock");
        inner.starts.remove(&id);
        let waited = inner.node.withdraw(id, self.now());
        self.act(&mut inner, None);
        waited
    }

    /// Notes what a running request has produced; gives what is charged.
    pub fn produced(&self, id: TicketId, cost: u64) -> u64 {
        self.with(|node, now| node.record_progress(id, cost, now))
    }

    /// Ends a running request.
    pub fn finish(&self, id: TicketId, cost: u64, ending: Ending) {
        self.with(|node, now| node.finish(id, cost, ending, now));
    }

    /// Takes a retry out of a pool's budget, and counts it.
    pub fn may_retry(&self, pool: &PoolName) -> bool {
        let allowed = self.with(|node, _| node.may_retry(pool));
        if allowed {
            self.metrics.retries.add(1, &[KeyValue::new("pool", pool.to_string())]);
        }
        allowed
    }

    /// Changes the node and does what comes of it.
    pub fn with<T>(&self, f: impl FnOnce(&mut Node, Duration) -> T) -> T {
        let mut inner = self.inner.lock().expect("no panic under lock");
        let result = f(&mut inner.node, self.now());
        self.act(&mut inner, None);
        result
    }

    /// Looks at the node.
    pub fn read<T>(&self, f: impl FnOnce(&Node, Duration) -> T) -> T {
        let inner = self.inner.lock().expect("no panic under lock");
        f(&inner.node, self.now())
    }

    fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// Does what the node wants done. Messages for `caller` are given back instead of sent.
    fn act(&self, inner: &mut Inner, caller: Option<&BoxName>) -> Vec<Message> {
        let mut answer = Vec::new();
        for output in inner.node.take_output() {
            match output {
                Output::Send { to, message } if Some(&to) == caller => answer.push(message),
                Output::Send { to, message } => self.send(inner, &to, message),
                Output::Start { ticket, upstream, cover } => {
                    place(inner, ticket, Ok(Start { upstream, cover }));
                }
                Output::Refuse { ticket, refusal } => place(inner, ticket, Err(refusal)),
                Output::RecordDecision(decision) => self.decided(decision),
                Output::LogChange(change) => self.changed(&change),
            }
        }
        answer
    }

    /// Sends a message in the answer to a call that is held back, or else in a call.
    fn send(&self, inner: &mut Inner, to: &BoxName, message: Message) {
        let mut messages = vec![message];
        while let Some(tx) = inner.held.get_mut(to).and_then(VecDeque::pop_front) {
            match tx.send(messages) {
                Ok(()) => return,
                // The peer gave that call up.
                Err(unsent) => messages = unsent,
            }
        }
        let Some(message) = messages.pop() else { return };
        if let Some(this) = self.this.upgrade() {
            let inbox: Arc<dyn Inbox> = this;
            self.links.send(to, message, &inbox);
        }
    }

    /// The users ask for a line for each placement decision, so there is one.
    fn decided(&self, decision: Decision) {
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
        self.records.decided(decision);
    }

    fn changed(&self, change: &Change) {
        match change {
            Change::Role { pool, dispatcher, mine } => {
                info!(self.log, "dispatcher"; "pool" => %pool, "is" => %dispatcher, "mine" => mine);
            }
            Change::Configured { revision } => {
                info!(self.log, "configuration in force"; "revision" => revision);
            }
            Change::BadConfiguration { revision, from, fault } => {
                warn!(self.log, "configuration refused";
                    "revision" => revision, "from" => %from, "fault" => fault);
            }
            Change::Member { name, live } => {
                info!(self.log, "member"; "name" => %name, "live" => live);
            }
        }
    }
}

/// Carries claims over the links.
struct HubCourier(Weak<Hub>);

impl Courier for HubCourier {
    fn writer_of(&self, shard: u64) -> Option<BoxName> {
        self.0.upgrade()?.read(|node, now| node.claims_writer(shard, now))
    }

    fn send(&self, to: &BoxName, claim: Claim) {
        if let Some(hub) = self.0.upgrade() {
            let mut inner = hub.inner.lock().expect("no panic under lock");
            hub.send(&mut inner, to, Message::Claim(claim));
        }
    }
}

impl Hub {
    /// Handles the messages about claims, and gives the others back.
    fn sift(&self, from: &BoxName, messages: Vec<Message>) -> Vec<Message> {
        let Some(claims) = self.claims.get() else { return messages };
        let mut others = Vec::with_capacity(messages.len());
        for message in messages {
            match message {
                Message::Claim(claim) => self.claim(claims, from, claim),
                Message::Claimed { a, v } => claims.answered(a, v),
                other => others.push(other),
            }
        }
        others
    }

    fn claim(&self, claims: &Claims, from: &BoxName, claim: Claim) {
        let (this, from, a) = (self.this.clone(), from.clone(), claim.attempt);
        let wants = claim.op == Op::Take;
        claims.asked(claim, move |v| {
            if let Some(hub) = this.upgrade().filter(|_| wants) {
                let mut inner = hub.inner.lock().expect("no panic under lock");
                hub.send(&mut inner, &from, Message::Claimed { a, v });
            }
        });
    }
}

impl Inbox for Hub {
    fn receive(&self, from: &BoxName, messages: Vec<Message>) {
        let messages = self.sift(from, messages);
        self.with(|node, now| node.receive(from, messages, now));
    }

    fn unreachable(&self, name: &BoxName) {
        self.with(|node, now| node.mark_unreachable(name, now));
    }

    fn lost(&self, name: &BoxName, messages: Vec<Message>) {
        self.with(|node, now| node.messages_lost(name, messages, now));
    }

    fn address(&self, name: &BoxName) -> Option<SocketAddr> {
        self.read(|node, _| node.members().address(name))
    }
}

impl Handler for Hub {
    fn call(&self, from: &BoxName, messages: Vec<Message>) -> Answer {
        let messages = self.sift(from, messages);
        let expects = messages.iter().any(|m| matches!(m, Message::Ticket(_)));
        let mut inner = self.inner.lock().expect("no panic under lock");
        inner.node.receive(from, messages, self.now());
        let answer = self.act(&mut inner, Some(from));
        if !expects || !answer.is_empty() {
            return Answer::Now(answer);
        }
        let (tx, rx) = oneshot::channel();
        let held = inner.held.entry(from.clone()).or_default();
        held.retain(|tx| !tx.is_closed());
        if HELD_MAX <= held.len() {
            return Answer::Now(answer);
        }
        held.push_back(tx);
        Answer::Later(rx)
    }

    fn explain(&self, request: &str) -> Explanation {
        self.records.explain(request)
    }

    fn status(&self) -> Status {
        self.read(status)
    }
}

fn place(inner: &mut Inner, ticket: TicketId, placement: Placement) {
    // The request may have left at this very moment; it then finds that it was granted when it
    // takes its ticket back.
    if let Some(tx) = inner.starts.remove(&ticket) {
        let _ = tx.send(placement);
    }
}

fn status(node: &Node, now: Duration) -> Status {
    let id = node.identity();
    Status {
        name: id.name.clone(),
        zone: id.zone.clone(),
        revision: node.configuration().number,
        leaving: node.members().is_leaving(),
        live: node.members().live(now).cloned().collect(),
        waiting: node.waiting_count(),
        running: node.running_count(),
        pools: node.pools().map(pool_status).collect(),
    }
}

fn pool_status(pool: &Pool) -> PoolStatus {
    let status = |w: &WorkspaceName| WorkspaceStatus {
        workspace: w.clone(),
        waiting: pool.queue().waiting(w),
        virtual_time: pool.ledger().virtual_time(w),
        why: pool.why_waits(w),
    };
    let mut workspaces: Vec<WorkspaceStatus> = pool.queue().workspaces().map(status).collect();
    workspaces.sort_by_key(|w| w.virtual_time);
    workspaces.truncate(WORKSPACES_SHOWN);
    let upstreams = pool.upstreams().states().map(|(name, aside)| UpstreamStatus {
        upstream: name.clone(),
        aside: aside.map(|a| format!("{a:?}").to_lowercase()),
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
