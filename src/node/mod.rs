//! The state machine of one box, without I/O: it takes calls, messages and the time as input, and
//! returns the actions to perform. The router process drives it; tests and benches run many of them
//! over a simulated network.

mod admission;
mod receive;
mod roles;
mod waiting;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustc_hash::FxHashMap;

use crate::config::CatalogRevision;
use crate::dispatch::pool::Action;
use crate::dispatch::pool::Decision;
use crate::dispatch::pool::PoolDispatcher;
use crate::dispatch::pool::Tuning;
use crate::dispatch::upstreams::UpstreamReport;
use crate::names::BoxName;
use crate::names::PoolName;
use crate::names::UpstreamName;
use crate::names::ZoneName;
use crate::node::admission::Admission;
pub use crate::node::admission::Refusal;
use crate::node::waiting::UndeliveredMessage;
use crate::node::waiting::WaitingRequest;
use crate::peer::member::GossipSettings;
use crate::peer::member::ListedBox;
use crate::peer::member::Members;
use crate::peer::message::CompletionReport;
use crate::peer::message::Ending;
use crate::peer::message::Grant;
use crate::peer::message::Message;
use crate::peer::message::Ticket;
use crate::peer::message::TicketId;
use crate::util;

/// A running request whose cost exceeds the charged cost by this factor is reported to its
/// dispatcher again.
const PROGRESS_FACTOR: u64 = 2;

/// The identity of a box.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Unique name of the box.
    pub name: BoxName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Number of this run of the box; later runs have greater numbers.
    pub incarnation: u64,
}

/// An action that a [`Node`] requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to another box.
    Send { to: BoxName, message: Message },
    /// Send a waiting request to this upstream. Part of its cost is charged already.
    Start { ticket: TicketId, upstream: UpstreamName, charged_cost: u64 },
    /// Refuse a waiting request that cannot be served within its deadline.
    Refuse { ticket: TicketId, refusal: Refusal },
    /// Log and record a decision of a dispatcher on this box.
    RecordDecision(Decision),
    /// Log a change of state.
    LogChange(Change),
}

/// A change of state that is logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// This box became the dispatcher of a pool in its zone, or stopped being it.
    Dispatcher { pool: PoolName, dispatcher: BoxName, is_local: bool },
    /// A configuration was applied.
    ConfigurationApplied { revision: u64 },
    /// Another box sent an invalid configuration; the current one stays.
    InvalidConfiguration { revision: u64, from: BoxName, fault: String },
    /// A box became alive or suspected.
    Member { name: BoxName, live: bool },
}

/// The state of one box: its view of the other boxes, the dispatchers it runs and the requests of
/// its router.
#[derive(Debug)]
pub struct Node {
    identity: Identity,
    cfg: Arc<CatalogRevision>,
    members: Members,
    tuning: Tuning,
    /// The dispatchers that run on this box, and the standby copies of others.
    pools: BTreeMap<PoolName, PoolDispatcher>,
    /// The dispatching box of each pool in this zone.
    dispatcher_boxes: BTreeMap<PoolName, BoxName>,
    live_boxes: Vec<BoxName>,
    /// Whether roles must be recomputed even if the set of live boxes is unchanged.
    roles_stale: bool,
    /// Boxes and upstreams that the box list marks as leaving.
    listed_leaving: BTreeSet<BoxName>,
    incarnations: BTreeMap<BoxName, u64>,
    admission: Admission,
    waiting: FxHashMap<TicketId, WaitingRequest>,
    /// Grants and completion reports to resend, the earliest first.
    undelivered: VecDeque<UndeliveredMessage>,
    running: FxHashMap<TicketId, RunningRequest>,
    next_ticket: u64,
    next_replica_incarnation: u64,
    heartbeat_count: u64,
    last_deadline_check: Duration,
    rng: SmallRng,
    outputs: Vec<Output>,
    /// Messages of this box to itself.
    loopback: VecDeque<Message>,
}

#[derive(Debug)]
struct RunningRequest {
    ticket: Ticket,
    grant: Grant,
}

impl Node {
    /// Creates a node without configuration or box list.
    pub fn new(id: Identity, tuning: Tuning, gossip: GossipSettings) -> Node {
        let members = Members::new(&id.name, &id.zone, id.incarnation, gossip);
        Node {
            members,
            tuning,
            cfg: Arc::default(),
            pools: BTreeMap::new(),
            dispatcher_boxes: BTreeMap::new(),
            live_boxes: vec![id.name.clone()],
            roles_stale: true,
            listed_leaving: BTreeSet::new(),
            incarnations: BTreeMap::new(),
            admission: Admission::default(),
            waiting: FxHashMap::default(),
            undelivered: VecDeque::new(),
            running: FxHashMap::default(),
            next_ticket: util::id_base(&id.name, id.incarnation, "ticket"),
            next_replica_incarnation: id.incarnation,
            heartbeat_count: 0,
            last_deadline_check: Duration::ZERO,
            rng: SmallRng::seed_from_u64(util::id_base(&id.name, id.incarnation, "seed")),
            outputs: Vec::new(),
            loopback: VecDeque::new(),
            identity: id,
        }
    }

    /// Takes the requested actions, in order.
    pub fn take_output(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// The applied configuration.
    pub fn configuration(&self) -> &Arc<CatalogRevision> {
        &self.cfg
    }

    /// What this box knows of the other boxes.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The dispatchers that run on this box.
    pub fn pools(&self) -> impl Iterator<Item = &PoolDispatcher> {
        self.pools.iter().filter(|(name, _)| self.is_dispatcher(name)).map(|(_, p)| p)
    }

    /// The dispatcher of a pool, if it runs on this box.
    pub fn pool(&self, name: &str) -> Option<&PoolDispatcher> {
        self.pools.get(name).filter(|_| self.is_dispatcher(name))
    }

    /// The box that dispatches a pool in this zone, as far as this box knows.
    pub fn dispatcher_of(&self, pool: &str) -> Option<&BoxName> {
        self.dispatcher_boxes.get(pool)
    }

    /// The box that usually writes the claims of a shard; `None` if it is this one.
    pub fn claims_writer(&self, shard: u64, now: Duration) -> Option<BoxName> {
        let role = format!("claims/{shard}");
        let other_owners = self.members.owners_in_other_zones(&role);
        let zones = other_owners.iter().map(|(zone, _)| zone).chain([&self.identity.zone]);
        let home_zone = util::rendezvous(&role, zones)?;
        if *home_zone == self.identity.zone {
            let owner = self.members.owner(&role, now);
            return (*owner != self.identity.name).then(|| owner.clone());
        }
        other_owners.iter().find(|(zone, _)| zone == home_zone).map(|(_, name)| name.clone())
    }

    /// Whether requests can be served, which requires a configuration.
    pub fn is_ready(&self) -> bool {
        self.cfg.number != 0
    }

    /// Number of requests waiting at this router.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Number of requests of this router that run at upstreams.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    pub fn new_ticket_id(&mut self) -> TicketId {
        self.next_ticket += 1;
        TicketId(self.next_ticket)
    }

    /// Records the cost of a running request so far, in its pool's unit. Its dispatcher is notified
    /// only when the cost exceeds the charged cost by `PROGRESS_FACTOR`, so the number of
    /// messages grows with the logarithm of the cost. Returns the cost above which this must be
    /// called again.
    pub fn record_progress(&mut self, id: TicketId, cost: u64, now: Duration) -> u64 {
        let Some(running) = self.running.get_mut(&id) else { return cost };
        if cost <= running.grant.charged_cost * PROGRESS_FACTOR {
            return running.grant.charged_cost * PROGRESS_FACTOR;
        }
        running.grant.charged_cost = cost;
        let message = Message::Progress {
            pool: running.ticket.pool.clone(),
            grant: running.grant.id,
            cost: running.grant.charged_cost,
        };
        let (to, charged_cost) = (running.grant.dispatcher.clone(), running.grant.charged_cost);
        self.send(to, message);
        self.deliver_loopback(now);
        charged_cost * PROGRESS_FACTOR
    }

    /// Ends a running request.
    pub fn finish(&mut self, id: TicketId, cost: u64, ending: Ending, now: Duration) {
        let Some(running) = self.running.remove(&id) else { return };
        let report = CompletionReport {
            pool: running.ticket.pool.clone(),
            grant: running.grant.id,
            cost,
            ending,
        };
        self.send(running.grant.dispatcher, Message::CompletionReport(report));
        self.deliver_loopback(now);
    }

    /// Takes a retry from a pool's retry budget; `false` if it is exhausted.
    pub fn try_take_retry(&mut self, pool: &PoolName) -> bool {
        let percent = self.cfg.pool(pool).map_or(0, |p| p.retry_percent);
        self.admission.try_take_retry(pool, percent)
    }

    /// Handles messages from another box.
    pub fn receive(&mut self, from: &BoxName, messages: Vec<Message>, now: Duration) {
        for message in messages {
            self.handle(from, message, now);
        }
        self.deliver_loopback(now);
    }

    /// Applies a newer box list.
    pub fn set_box_list(&mut self, boxes: &[ListedBox], now: Duration) {
        self.members.update_box_list(boxes, now);
        // Upstreams are in the box list, too, under their own names.
        self.listed_leaving = boxes.iter().filter(|b| b.leaving).map(|b| b.name.clone()).collect();
        for pool in self.pools.values_mut() {
            pool.upstreams_mut().set_listed_leaving(&self.listed_leaving);
        }
        self.refresh_roles(now);
        self.deliver_loopback(now);
    }

    /// Applies a configuration if it is newer than the current one.
    pub fn configure(&mut self, revision: CatalogRevision, now: Duration) {
        if revision.number <= self.cfg.number {
            return;
        }
        self.cfg = Arc::new(revision);
        self.roles_stale = true;
        self.outputs
            .push(Output::LogChange(Change::ConfigurationApplied { revision: self.cfg.number }));
        let cfg = self.cfg.clone();
        self.pools.retain(|name, _| cfg.pool(name).is_some());
        let mut actions = Vec::new();
        for pool in self.pools.values_mut() {
            pool.configure(&cfg, now, &mut actions);
        }
        self.perform(actions);
        self.refresh_roles(now);
        self.deliver_loopback(now);
    }

    /// Records the load that an upstream reported.
    pub fn record_upstream_report(
        &mut self,
        pool: &PoolName,
        upstream: &str,
        report: UpstreamReport,
        now: Duration,
    ) {
        let mut actions = Vec::new();
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.upstreams_mut().apply_report(upstream, report, now);
            pool.fill_slots(now, &mut actions);
        }
        self.perform(actions);
        self.deliver_loopback(now);
    }

    /// Records that an upstream stored a prefix in its cache or evicted it.
    pub fn cache_event(
        &mut self,
        pool: &PoolName,
        upstream: &UpstreamName,
        prefix: u64,
        stored: bool,
    ) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.upstreams_mut().record_cache_event(upstream, prefix, stored);
        }
    }

    /// Records that a box refuses connections.
    pub fn mark_unreachable(&mut self, name: &BoxName, now: Duration) {
        self.members.mark_unreachable(name);
        // No process listens there, so none of its requests run.
        self.release_router(name, now);
        self.refresh_roles(now);
        self.deliver_loopback(now);
    }

    /// Announces to the zone that this box is about to stop, and hands over its roles.
    pub fn leave(&mut self, now: Duration) {
        let (entries, boxes) = self.members.leave(now);
        for to in boxes {
            let revision = self.cfg.number;
            self.outputs.push(Output::Send {
                to,
                message: Message::Heartbeat { entries: entries.clone(), revision },
            });
        }
        self.refresh_roles(now);
        self.deliver_loopback(now);
    }

    /// Performs timed work. Must be called every few tens of milliseconds.
    pub fn tick(&mut self, now: Duration) {
        self.send_heartbeats(now);
        self.refresh_roles(now);
        self.resend_due(now);
        self.refuse_short_deadlines(now);
        let mut actions = Vec::new();
        for (name, pool) in &mut self.pools {
            if self.dispatcher_boxes.get(name) != Some(&self.identity.name) {
                continue;
            }
            pool.tick(now, &mut actions);
            let mut receivers = self.members.owners_in_other_zones(name);
            let standby = self.members.standby(name, now);
            receivers.extend(standby.map(|b| (self.identity.zone.clone(), b.clone())));
            pool.send_reports(&receivers, now, &mut actions);
        }
        self.perform(actions);
        self.deliver_loopback(now);
    }

    fn is_dispatcher(&self, pool: &str) -> bool {
        self.dispatcher_boxes.get(pool) == Some(&self.identity.name)
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(to, message),
                Action::Decided(decision) => self.outputs.push(Output::RecordDecision(decision)),
            }
        }
    }

    fn send(&mut self, to: BoxName, message: Message) {
        if to == self.identity.name {
            self.loopback.push_back(message);
        } else {
            self.outputs.push(Output::Send { to, message });
        }
    }

    /// Handles the messages of this box to itself until none are left.
    fn deliver_loopback(&mut self, now: Duration) {
        while let Some(message) = self.loopback.pop_front() {
            let own_name = self.identity.name.clone();
            self.handle(&own_name, message, now);
        }
    }
}
