//! The dispatcher of one pool in one availability zone: orders tickets and grants slots.

mod decision;
mod exchange;
mod grants;
mod order;

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;

pub use crate::dispatch::pool::decision::Action;
pub use crate::dispatch::pool::decision::Decision;
pub use crate::dispatch::pool::decision::Waits;
pub use crate::dispatch::pool::decision::Why;

use crate::config;
use crate::config::CatalogRevision;
use crate::dispatch::ledger::CellId;
use crate::dispatch::ledger::Ledger;
use crate::dispatch::ledger::PARTS;
use crate::dispatch::ledger::VirtualTime;
use crate::dispatch::pool::order::Choice;
use crate::dispatch::queue::Queue;
use crate::dispatch::remotes::Remotes;
use crate::dispatch::upstreams::Upstreams;
use crate::names::BoxName;
use crate::names::PoolName;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::names::ZoneName;
use crate::peer::message::Done;
use crate::peer::message::GrantId;
use crate::peer::message::Ticket;
use crate::peer::message::TicketId;
use crate::util;

/// Largest cost of one request that is believed of a router, in the pool's unit.
const COST_MAX: u64 = 1 << 40;

/// How fair pull and the exchange of counters behave; the benches vary it.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// How often dispatchers of different zones tell each other what changed.
    pub exchange_every: Duration,
    /// Whether a dispatcher exchanges anything with other zones at all.
    pub exchange: bool,
    /// Replaces the pool's own pull margin when set, in the pool's unit.
    pub pull_margin: Option<u32>,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning { exchange_every: Duration::from_millis(500), exchange: true, pull_margin: None }
    }
}

/// The dispatcher of one pool in one availability zone.
#[derive(Debug)]
pub struct Pool {
    policy: config::Pool,
    zone: ZoneName,
    cfg: Arc<CatalogRevision>,
    tuning: Tuning,
    ledger: Ledger,
    queue: Queue,
    upstreams: Upstreams,
    remotes: Remotes,
    arrived: FxHashMap<TicketId, Arrival>,
    expiry: BTreeSet<(Duration, TicketId)>,
    grants: FxHashMap<GrantId, Granted>,
    by_ticket: FxHashMap<TicketId, GrantId>,
    pulls: FxHashMap<GrantId, PendingPull>,
    /// The latest pulls of others that were answered.
    answered: VecDeque<GrantId>,
    running: FxHashMap<WorkspaceName, u32>,
    estimates: FxHashMap<WorkspaceName, FxHashMap<ServiceName, Estimate>>,
    virtual_time: VirtualTime,
    /// All grants of its own have greater ids.
    first_grant: u64,
    next_grant: u64,
    since_patience: u32,
    /// When the last grant was given, and the average seconds between grants.
    granted: Duration,
    pace: f64,
    /// The average cost charged at a grant.
    mean_cover: f64,
    /// The average weight of all workspaces.
    mean_weight: f64,
    checked: Duration,
    /// Checks in a row that a router didn't answer.
    unanswered: FxHashMap<BoxName, u32>,
    /// Routers of this zone found to be gone, and when, for the other zones to hear.
    gone: Vec<(BoxName, Duration)>,
    /// Zones not heard since taking over, once it is known which there are.
    unheard: BTreeSet<ZoneName>,
    expects: bool,
    /// When workspaces are lifted even though a zone wasn't heard.
    lift_after: Duration,
}

/// What requests of one workspace and service cost on average.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    cost: f64,
    /// Whether any has ended.
    learned: bool,
}

#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Duration,
    expires: Duration,
}

#[derive(Debug)]
struct Granted {
    ticket: Option<TicketId>,
    router: BoxName,
    workspace: WorkspaceName,
    service: ServiceName,
    upstream: UpstreamName,
    cover: u64,
    at: Duration,
}

#[derive(Debug)]
struct PendingPull {
    zone: ZoneName,
    upstream: UpstreamName,
    at: Duration,
    overdue: bool,
    early: Option<Done>,
}

impl Pool {
    /// An empty dispatcher for the pool `name` in `zone`, run by the box that `cell` names.
    pub fn new(
        name: &PoolName,
        zone: &ZoneName,
        cell: CellId,
        cfg: Arc<CatalogRevision>,
        tuning: Tuning,
    ) -> Option<Pool> {
        let policy = cfg.pool(name)?.clone();
        let next_grant = util::id_base(&cell.name, cell.incarnation, "grant");
        let mut pool = Pool {
            policy,
            zone: zone.clone(),
            cfg: cfg.clone(),
            tuning,
            ledger: Ledger::new(cell),
            queue: Queue::default(),
            upstreams: Upstreams::default(),
            remotes: Remotes::default(),
            arrived: FxHashMap::default(),
            expiry: BTreeSet::new(),
            grants: FxHashMap::default(),
            by_ticket: FxHashMap::default(),
            pulls: FxHashMap::default(),
            answered: VecDeque::new(),
            running: FxHashMap::default(),
            estimates: FxHashMap::default(),
            virtual_time: 0,
            first_grant: next_grant,
            next_grant,
            since_patience: 0,
            granted: Duration::ZERO,
            pace: 0.0,
            mean_cover: 0.0,
            mean_weight: mean_weight(&cfg),
            checked: Duration::ZERO,
            unanswered: FxHashMap::default(),
            gone: Vec::new(),
            unheard: BTreeSet::new(),
            expects: false,
            lift_after: Duration::ZERO,
        };
        pool.upstreams.configure(cfg.upstreams(name, zone));
        Some(pool)
    }

    /// Takes over a new configuration.
    pub fn configure(&mut self, cfg: &Arc<CatalogRevision>, now: Duration, out: &mut Vec<Action>) {
        if let Some(policy) = cfg.pool(&self.policy.name) {
            self.policy = policy.clone();
        }
        self.cfg = cfg.clone();
        self.mean_weight = mean_weight(cfg);
        self.upstreams.configure(cfg.upstreams(&self.policy.name, &self.zone));
        self.fill(now, out);
    }

    /// The pool's name.
    pub fn name(&self) -> &PoolName {
        &self.policy.name
    }

    /// The service counters.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The waiting tickets.
    pub fn queue(&self) -> &Queue {
        &self.queue
    }

    /// The upstreams of this zone.
    pub fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }

    /// What an upstream tells of itself is taken in through here; `fill` afterwards.
    pub fn upstreams_mut(&mut self) -> &mut Upstreams {
        &mut self.upstreams
    }

    /// Registers a ticket. Doing it twice does no harm: a ticket that was granted is granted again.
    pub fn submit(&mut self, ticket: Ticket, now: Duration, out: &mut Vec<Action>) {
        if let Some(&id) = self.by_ticket.get(&ticket.id) {
            self.send_grant(id, out);
            return;
        }
        if self.queue.contains(ticket.id) {
            return;
        }
        let workspace = ticket.workspace.clone();
        // One that waits elsewhere isn't new, and keeps what it is behind.
        if self.queue.waiting(&workspace) == 0 && self.remotes.zones_of(&workspace).next().is_none()
        {
            self.lift_to_floor(&workspace, now);
        }
        let expires = now + Duration::from_millis(ticket.deadline_ms);
        self.arrived.insert(ticket.id, Arrival { at: now, expires });
        self.expiry.insert((expires, ticket.id));
        let at = self.ledger.virtual_time(&workspace);
        self.queue.push(ticket, at, now);
        self.park_if_full(&workspace);
        self.note_waiting(&workspace);
        self.fill(now, out);
    }

    /// Forgets a ticket that nobody waits for any more.
    pub fn cancel(&mut self, id: TicketId) {
        if let Some(ticket) = self.queue.remove(id) {
            self.left(id);
            self.note_waiting(&ticket.workspace);
        }
    }

    /// Does what is due by time.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.upstreams.tick(now);
        self.remotes.tick(now);
        self.expire(now);
        self.expire_pulls(now);
        self.check_grants(now, out);
        self.fill(now, out);
    }

    /// Fills free slots as long as there is work for them.
    pub fn fill(&mut self, now: Duration, out: &mut Vec<Action>) {
        while self.upstreams.has_free() {
            match self.choose(now) {
                None => return,
                Some(Choice::Local(workspace, why)) => self.grant(&workspace, why, now, out),
                Some(Choice::Remote(workspace)) => self.ask(&workspace, now, out),
            }
        }
    }

    /// Free slots for which there is no work here.
    pub fn idle(&self) -> u32 {
        if !self.queue.is_empty() {
            return 0;
        }
        self.upstreams.slots().saturating_sub(self.upstreams.running())
    }

    /// The largest difference of service received, by weight, between two workspaces that wait
    /// here, in the pool's unit.
    pub fn gap(&self) -> f64 {
        let (Some((least, _)), Some((most, _))) = (self.queue.first(), self.queue.last()) else {
            return 0.0;
        };
        (most - least) as f64 / PARTS as f64
    }

    /// Why a workspace that waits here isn't served now.
    pub fn why_waits(&self, workspace: &WorkspaceName) -> Waits {
        if self.is_full(workspace) {
            let running = self.running.get(workspace).copied().unwrap_or(0);
            return Waits::RunningLimit { running };
        }
        let first = self.queue.ahead_of(workspace);
        match self.upstreams.has_free() {
            true => Waits::Turn { first },
            false => Waits::Slot { first },
        }
    }

    fn note_waiting(&mut self, workspace: &WorkspaceName) {
        self.ledger.note_waiting(workspace, self.queue.waiting(workspace));
    }

    fn left(&mut self, id: TicketId) -> Option<Arrival> {
        let arrival = self.arrived.remove(&id)?;
        self.expiry.remove(&(arrival.expires, id));
        Some(arrival)
    }

    fn expire(&mut self, now: Duration) {
        while let Some(&(at, id)) = self.expiry.first()
            && at <= now
        {
            self.cancel(id);
            self.expiry.remove(&(at, id));
        }
    }
}

fn parts(cost: u64) -> VirtualTime {
    cost as i64 * PARTS
}

fn mean_weight(cfg: &CatalogRevision) -> f64 {
    let workspaces = &cfg.catalog.workspaces;
    let sum: f64 = workspaces.iter().map(|w| f64::from(w.weight)).sum();
    sum / workspaces.len().max(1) as f64
}

fn waited(arrival: Option<Arrival>, now: Duration) -> u64 {
    arrival.map_or(0, |a| (now - a.at).as_millis() as u64)
}
