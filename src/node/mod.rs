//! One box's part in the fleet, without input or output: it takes in calls, messages and the time,
//! and gives out what is to be done. The router process feeds it; tests and benches drive many of
//! them over a fake network.

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

pub use crate::node::admission::Refusal;
use crate::config::CatalogRevision;
use crate::dispatch::pool::Action;
use crate::dispatch::pool::Decision;
use crate::dispatch::pool::Pool;
use crate::dispatch::pool::Tuning;
use crate::dispatch::upstreams::Report;
use crate::names::BoxName;
use crate::names::PoolName;
use crate::names::UpstreamName;
use crate::names::ZoneName;
use crate::node::admission::Admission;
use crate::node::waiting::Unheard;
use crate::node::waiting::Waiting;
use crate::peer::member::Gossip;
use crate::peer::member::ListedBox;
use crate::peer::member::Members;
use crate::peer::message::Done;
use crate::peer::message::Ending;
use crate::peer::message::Grant;
use crate::peer::message::Message;
use crate::peer::message::Ticket;
use crate::peer::message::TicketId;
use crate::util;

/// A request that has produced this many times what was charged for it is charged anew.
const OUTGROWN: u64 = 2;

/// Who a box is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Unique name of the box.
    pub name: BoxName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Which start of the box this is; later ones are greater.
    pub incarnation: u64,
}

/// What a node wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to another box.
    Send { to: BoxName, message: Message },
    /// Send a waiting request to this upstream now; `cover` of its cost is charged already.
    Start { ticket: TicketId, upstream: UpstreamName, cover: u64 },
    /// A request that waits won't be served in time; tell its caller now.
    Refuse { ticket: TicketId, refusal: Refusal },
    /// Log and remember a decision of a dispatcher on this box.
    RecordDecision(Decision),
    /// Log a change of state.
    LogChange(Change),
}

/// A change of state worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// This box became the dispatcher of a pool in its zone, or ceased to be.
    Role { pool: PoolName, dispatcher: BoxName, mine: bool },
    /// A configuration came into force.
    Configured { revision: u64 },
    /// A peer offered a configuration that isn't valid; the old one stays.
    BadConfiguration { revision: u64, from: BoxName, fault: String },
    /// A box is alive, or suspected.
    Member { name: BoxName, live: bool },
}

/// One box's part in the fleet.
#[derive(Debug)]
pub struct Node {
    id: Identity,
    cfg: Arc<CatalogRevision>,
    members: Members,
    tuning: Tuning,
    pools: BTreeMap<PoolName, Pool>,
    owners: BTreeMap<PoolName, BoxName>,
    live: Vec<BoxName>,
    /// Whether roles must be found anew though nobody came or went.
    roles_stale: bool,
    listed_leaving: BTreeSet<BoxName>,
    incarnations: BTreeMap<BoxName, u64>,
    admission: Admission,
    waiting: FxHashMap<TicketId, Waiting>,
    /// Grants and their ends to be told again, the earliest first.
    unheard: VecDeque<Unheard>,
    running: FxHashMap<TicketId, Running>,
    next_ticket: u64,
    next_cell: u64,
    beats: u64,
    gave_up: Duration,
    rng: SmallRng,
    out: Vec<Output>,
    inbox: VecDeque<Message>,
}

#[derive(Debug)]
struct Running {
    ticket: Ticket,
    grant: Grant,
}

impl Node {
    /// A node that knows nothing of the fleet yet.
    pub fn new(id: Identity, tuning: Tuning, gossip: Gossip) -> Node {
        let members = Members::new(&id.name, &id.zone, id.incarnation, gossip);
        Node {
            members,
            tuning,
            cfg: Arc::default(),
            pools: BTreeMap::new(),
            owners: BTreeMap::new(),
            live: vec![id.name.clone()],
            roles_stale: true,
            listed_leaving: BTreeSet::new(),
            incarnations: BTreeMap::new(),
            admission: Admission::default(),
            waiting: FxHashMap::default(),
            unheard: VecDeque::new(),
            running: FxHashMap::default(),
            next_ticket: util::id_base(&id.name, id.incarnation, "ticket"),
            next_cell: id.incarnation,
            beats: 0,
            gave_up: Duration::ZERO,
            rng: SmallRng::seed_from_u64(util::id_base(&id.name, id.incarnation, "seed")),
            out: Vec::new(),
            inbox: VecDeque::new(),
            id,
        }
    }

    /// What is to be done, in order; empties the list.
    pub fn take_output(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    /// Who this is.
    pub fn identity(&self) -> &Identity {
        &self.id
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &Arc<CatalogRevision> {
        &self.cfg
    }

    /// What is known of the other boxes.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The dispatchers on this box.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.pools.iter().filter(|(name, _)| self.is_owner(name)).map(|(_, p)| p)
    }

    /// A dispatcher on this box, if it has this pool's.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.get(name).filter(|_| self.is_owner(name))
    }

    /// The box believed to dispatch a pool in this zone.
    pub fn dispatcher_of(&self, pool: &str) -> Option<&BoxName> {
        self.owners.get(pool)
    }

    /// The box that usually writes the claims of a shard; nothing when it is this one.
    pub fn claims_writer(&self, shard: u64, now: Duration) -> Option<BoxName> {
        let role = format!("claims/{shard}");
        let elsewhere = self.members.elsewhere(&role);
        let zones = elsewhere.iter().map(|(zone, _)| zone).chain([&self.id.zone]);
        let home = util::rendezvous(&role, zones)?;
        if *home == self.id.zone {
            let owner = self.members.owner(&role, now);
            return (*owner != self.id.name).then(|| owner.clone());
        }
        elsewhere.iter().find(|(zone, _)| zone == home).map(|(_, name)| name.clone())
    }

    /// Whether requests can be served: a configuration is in force.
    pub fn is_ready(&self) -> bool {
        self.cfg.number != 0
    }

    /// How many requests wait at this router.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// How many requests of this router run at upstreams.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// A new ticket name.
    pub fn new_ticket_id(&mut self) -> TicketId {
        self.next_ticket += 1;
        TicketId(self.next_ticket)
    }

    /// Notes how much a running request has produced so far, in its pool's unit. Its dispatcher is
    /// told only when that has outgrown what was charged by a factor, so the messages grow with
    /// the logarithm of the cost. Gives the cost from which on this needs to be called again.
    pub fn record_progress(&mut self, id: TicketId, cost: u64, now: Duration) -> u64 {
        let Some(running) = self.running.get_mut(&id) else { return cost };
        if cost <= running.grant.cover * OUTGROWN {
            return running.grant.cover * OUTGROWN;
        }
        running.grant.cover = cost;
        let message = Message::Progress {
            p: running.ticket.pool.clone(),
            g: running.grant.id,
            e: running.grant.cover,
        };
        let (to, cover) = (running.grant.dispatcher.clone(), running.grant.cover);
        self.send(to, message);
        self.settle(now);
        cover * OUTGROWN
    }

    /// Ends a running request.
    pub fn finish(&mut self, id: TicketId, cost: u64, ending: Ending, now: Duration) {
        let Some(running) = self.running.remove(&id) else { return };
        let done =
            Done { pool: running.ticket.pool.clone(), grant: running.grant.id, cost, ending };
        self.send(running.grant.dispatcher, Message::Done(done));
        self.settle(now);
    }

    /// Whether a failed request may be tried again under its pool's retry budget.
    pub fn may_retry(&mut self, pool: &PoolName) -> bool {
        let percent = self.cfg.pool(pool).map_or(0, |p| p.retry_percent);
        self.admission.may_retry(pool, percent)
    }

    /// Takes in messages from another box.
    pub fn receive(&mut self, from: &BoxName, messages: Vec<Message>, now: Duration) {
        for message in messages {
            self.handle(from, message, now);
        }
        self.settle(now);
    }

    /// Takes over a newer box list.
    pub fn set_box_list(&mut self, boxes: &[ListedBox], now: Duration) {
        self.members.list(boxes, now);
        // Upstreams run on boxes, too; they are listed by their own names.
        self.listed_leaving = boxes.iter().filter(|b| b.leaving).map(|b| b.name.clone()).collect();
        for pool in self.pools.values_mut() {
            pool.upstreams_mut().list_leaving(&self.listed_leaving);
        }
        self.refresh_roles(now);
        self.settle(now);
    }

    /// Takes over a configuration, unless it is older than the one in force.
    pub fn configure(&mut self, revision: CatalogRevision, now: Duration) {
        if revision.number <= self.cfg.number {
            return;
        }
        self.cfg = Arc::new(revision);
        self.roles_stale = true;
        self.out.push(Output::LogChange(Change::Configured { revision: self.cfg.number }));
        let cfg = self.cfg.clone();
        self.pools.retain(|name, _| cfg.pool(name).is_some());
        let mut actions = Vec::new();
        for pool in self.pools.values_mut() {
            pool.configure(&cfg, now, &mut actions);
        }
        self.perform(actions);
        self.refresh_roles(now);
        self.settle(now);
    }

    /// Takes in what an upstream reports of itself.
    pub fn record_upstream_report(
        &mut self,
        pool: &PoolName,
        upstream: &str,
        report: Report,
        now: Duration,
    ) {
        let mut actions = Vec::new();
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.upstreams_mut().report(upstream, report, now);
            pool.fill(now, &mut actions);
        }
        self.perform(actions);
        self.settle(now);
    }

    /// Takes in an upstream's word on its prefix cache.
    pub fn cache_event(
        &mut self,
        pool: &PoolName,
        upstream: &UpstreamName,
        prefix: u64,
        stored: bool,
    ) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.upstreams_mut().cache_event(upstream, prefix, stored);
        }
    }

    /// Notes that a box refuses connections.
    pub fn mark_unreachable(&mut self, name: &BoxName, now: Duration) {
        self.members.failed(name);
        // Nothing listens there, so nothing runs there.
        self.forget_router(name, now);
        self.refresh_roles(now);
        self.settle(now);
    }

    /// Tells the zone that this box is about to stop, and gives its roles to others.
    pub fn leave(&mut self, now: Duration) {
        let (t, boxes) = self.members.leave(now);
        for to in boxes {
            let v = self.cfg.number;
            self.out.push(Output::Send { to, message: Message::Heartbeat { t: t.clone(), v } });
        }
        self.refresh_roles(now);
        self.settle(now);
    }

    /// Does what is due by time. Call it every few tens of milliseconds.
    pub fn tick(&mut self, now: Duration) {
        self.beat(now);
        self.refresh_roles(now);
        self.resend(now);
        self.give_up(now);
        let mut actions = Vec::new();
        for (name, pool) in &mut self.pools {
            if self.owners.get(name) != Some(&self.id.name) {
                continue;
            }
            pool.tick(now, &mut actions);
            let mut others = self.members.elsewhere(name);
            let successor = self.members.successor(name, now);
            others.extend(successor.map(|b| (self.id.zone.clone(), b.clone())));
            pool.exchange(&others, now, &mut actions);
        }
        self.perform(actions);
        self.settle(now);
    }

    fn is_owner(&self, pool: &str) -> bool {
        self.owners.get(pool) == Some(&self.id.name)
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(to, message),
                Action::Decided(decision) => self.out.push(Output::RecordDecision(decision)),
            }
        }
    }

    fn send(&mut self, to: BoxName, message: Message) {
        if to == self.id.name {
            self.inbox.push_back(message);
        } else {
            self.out.push(Output::Send { to, message });
        }
    }

    /// Handles the messages of this box to itself until there are none.
    fn settle(&mut self, now: Duration) {
        while let Some(message) = self.inbox.pop_front() {
            let me = self.id.name.clone();
            self.handle(&me, message, now);
        }
    }
}
