//! The dispatcher of one pool in one availability zone: orders the waiting tickets and grants
//! slots.

mod decision;
mod exchange;
mod grants;
mod order;

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::config;
use crate::config::CatalogRevision;
use crate::dispatch::ledger::Ledger;
use crate::dispatch::ledger::PARTS_PER_UNIT;
use crate::dispatch::ledger::ReplicaId;
use crate::dispatch::ledger::VirtualTime;
pub use crate::dispatch::pool::decision::Action;
pub use crate::dispatch::pool::decision::Decision;
pub use crate::dispatch::pool::decision::SelectionReason;
pub use crate::dispatch::pool::decision::WaitReason;
use crate::dispatch::pool::order::NextWork;
use crate::dispatch::queue::Queue;
use crate::dispatch::remote_zones::RemoteZones;
use crate::dispatch::upstreams::Upstreams;
use crate::names::BoxName;
use crate::names::PoolName;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::names::ZoneName;
use crate::peer::message::CompletionReport;
use crate::peer::message::GrantId;
use crate::peer::message::Ticket;
use crate::peer::message::TicketId;
use crate::util;

/// Largest cost of one request that is accepted from a router, in the pool's unit.
const COST_MAX: u64 = 1 << 40;

/// Parameters of pulls between zones and of the exchange of counters; the benches vary them.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Time between reports to the dispatchers of other zones.
    pub exchange_interval: Duration,
    /// Whether the dispatcher exchanges reports with other zones at all.
    pub exchange_enabled: bool,
    /// Overrides the pool's configured pull margin, in the pool's unit.
    pub pull_margin: Option<u32>,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            exchange_interval: Duration::from_millis(500),
            exchange_enabled: true,
            pull_margin: None,
        }
    }
}

/// The dispatcher of one pool in one availability zone.
#[derive(Debug)]
pub struct PoolDispatcher {
    pool_config: config::Pool,
    zone: ZoneName,
    cfg: Arc<CatalogRevision>,
    tuning: Tuning,
    ledger: Ledger,
    queue: Queue,
    upstreams: Upstreams,
    remote_zones: RemoteZones,
    arrivals: FxHashMap<TicketId, Arrival>,
    tickets_by_expiry: BTreeSet<(Duration, TicketId)>,
    grants: FxHashMap<GrantId, ActiveGrant>,
    grants_by_ticket: FxHashMap<TicketId, GrantId>,
    /// Pull requests to other zones, by the id of the offered grant.
    pending_pulls: FxHashMap<GrantId, PendingPull>,
    /// The latest pull requests of other zones, to recognize duplicates.
    answered_pulls: VecDeque<GrantId>,
    /// Number of grants of each workspace.
    running: FxHashMap<WorkspaceName, u32>,
    estimates: FxHashMap<WorkspaceName, FxHashMap<ServiceName, Estimate>>,
    /// Greatest virtual time at which this dispatcher, or one that reported to it, made a grant.
    virtual_time: VirtualTime,
    /// The ids of this dispatcher's grants are greater than this.
    first_grant: u64,
    next_grant: u64,
    grants_since_starved: u32,
    last_grant_at: Duration,
    mean_grant_interval_s: f64,
    /// Mean cost charged with a grant.
    mean_charged_cost: f64,
    /// Mean weight of all workspaces.
    mean_weight: f64,
    last_check_at: Duration,
    /// Consecutive checks that each router has left unanswered.
    unanswered_checks: FxHashMap<BoxName, u32>,
    /// Routers of this zone found dead, and when, to be reported to the other zones.
    lost_routers: Vec<(BoxName, Duration)>,
    /// Zones that have not reported since this dispatcher started, once the zones are known.
    zones_to_sync: BTreeSet<ZoneName>,
    knows_zones_to_sync: bool,
    /// Until then, workspaces are lifted to the floor only if all zones have reported.
    lift_allowed_at: Duration,
}

/// The mean cost of requests of one workspace and service.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    cost: f64,
    /// Whether any request was answered in full.
    has_completed: bool,
}

#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Duration,
    expires_at: Duration,
}

#[derive(Debug)]
struct ActiveGrant {
    ticket: Option<TicketId>,
    router: BoxName,
    workspace: WorkspaceName,
    service: ServiceName,
    upstream: UpstreamName,
    charged_cost: u64,
    granted_at: Duration,
}

#[derive(Debug)]
struct PendingPull {
    zone: ZoneName,
    upstream: UpstreamName,
    sent_at: Duration,
    timed_out: bool,
    /// The end of the pulled request, if reported before the response to the pull arrived.
    early_completion: Option<CompletionReport>,
}

impl PoolDispatcher {
    /// An empty dispatcher for the pool `name` in `zone`, which writes its own replica of the
    /// counters; `None` for an unknown pool.
    pub fn new(
        name: &PoolName,
        zone: &ZoneName,
        replica: ReplicaId,
        cfg: Arc<CatalogRevision>,
        tuning: Tuning,
    ) -> Option<PoolDispatcher> {
        let pool_config = cfg.pool(name)?.clone();
        let next_grant = util::id_base(&replica.name, replica.incarnation, "grant");
        let mut pool = PoolDispatcher {
            pool_config,
            zone: zone.clone(),
            cfg: cfg.clone(),
            tuning,
            ledger: Ledger::new(replica),
            queue: Queue::default(),
            upstreams: Upstreams::default(),
            remote_zones: RemoteZones::default(),
            arrivals: FxHashMap::default(),
            tickets_by_expiry: BTreeSet::new(),
            grants: FxHashMap::default(),
            grants_by_ticket: FxHashMap::default(),
            pending_pulls: FxHashMap::default(),
            answered_pulls: VecDeque::new(),
            running: FxHashMap::default(),
            estimates: FxHashMap::default(),
            virtual_time: 0,
            first_grant: next_grant,
            next_grant,
            grants_since_starved: 0,
            last_grant_at: Duration::ZERO,
            mean_grant_interval_s: 0.0,
            mean_charged_cost: 0.0,
            mean_weight: mean_weight(&cfg),
            last_check_at: Duration::ZERO,
            unanswered_checks: FxHashMap::default(),
            lost_routers: Vec::new(),
            zones_to_sync: BTreeSet::new(),
            knows_zones_to_sync: false,
            lift_allowed_at: Duration::ZERO,
        };
        pool.upstreams.configure(cfg.upstreams(name, zone));
        Some(pool)
    }

    /// Applies a new configuration.
    pub fn configure(
        &mut self,
        cfg: &Arc<CatalogRevision>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        if let Some(pool_config) = cfg.pool(&self.pool_config.name) {
            self.pool_config = pool_config.clone();
        }
        self.cfg = cfg.clone();
        self.mean_weight = mean_weight(cfg);
        self.upstreams.configure(cfg.upstreams(&self.pool_config.name, &self.zone));
        self.fill_slots(now, actions);
    }

    pub fn name(&self) -> &PoolName {
        &self.pool_config.name
    }

    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    pub fn queue(&self) -> &Queue {
        &self.queue
    }

    /// The upstreams in this zone.
    pub fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }

    /// The upstreams in this zone, to apply their reports. Call [`fill_slots`](Self::fill_slots)
    /// afterwards.
    pub fn upstreams_mut(&mut self) -> &mut Upstreams {
        &mut self.upstreams
    }

    /// Registers a ticket. Idempotent: a ticket that has a grant gets the same grant again.
    pub fn submit(&mut self, ticket: Ticket, now: Duration, actions: &mut Vec<Action>) {
        if let Some(&id) = self.grants_by_ticket.get(&ticket.id) {
            self.send_grant(id, actions);
            return;
        }
        if self.queue.contains(ticket.id) {
            return;
        }
        let workspace = ticket.workspace.clone();
        // A workspace that waits in another zone isn't newly active, so it isn't lifted.
        if self.queue.waiting(&workspace) == 0
            && self.remote_zones.zones_of(&workspace).next().is_none()
        {
            self.lift_to_floor(&workspace, now);
        }
        let expires_at = now + Duration::from_millis(ticket.deadline_ms);
        self.arrivals.insert(ticket.id, Arrival { at: now, expires_at });
        self.tickets_by_expiry.insert((expires_at, ticket.id));
        let virtual_time = self.ledger.virtual_time(&workspace);
        self.queue.push(ticket, virtual_time, now);
        self.check_running_limit(&workspace);
        self.publish_waiting(&workspace);
        self.fill_slots(now, actions);
    }

    /// Removes a ticket that is no longer wanted.
    pub fn cancel(&mut self, id: TicketId) {
        if let Some(ticket) = self.queue.remove(id) {
            self.remove_arrival(id);
            self.publish_waiting(&ticket.workspace);
        }
    }

    /// Handles everything that is due at `now`.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.upstreams.tick(now);
        self.remote_zones.expire(now);
        self.expire_tickets(now);
        self.expire_pulls(now);
        self.check_grants(now, actions);
        self.fill_slots(now, actions);
    }

    /// Grants free slots as long as there is work.
    pub fn fill_slots(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while self.upstreams.has_free() {
            match self.choose_next(now) {
                None => return,
                Some(NextWork::Local(workspace, why)) => self.grant(&workspace, why, now, actions),
                Some(NextWork::Remote(workspace)) => self.send_pull(&workspace, now, actions),
            }
        }
    }

    /// Free slots for which no work waits here.
    pub fn idle_slots(&self) -> u32 {
        if !self.queue.is_empty() {
            return 0;
        }
        self.upstreams.slots().saturating_sub(self.upstreams.running())
    }

    /// The largest difference of virtual time between two workspaces waiting here, in the pool's
    /// unit.
    pub fn service_gap(&self) -> f64 {
        let (Some((least, _)), Some((most, _))) =
            (self.queue.furthest_behind(), self.queue.furthest_ahead())
        else {
            return 0.0;
        };
        (most - least) as f64 / PARTS_PER_UNIT as f64
    }

    /// Why a workspace that waits here isn't served now.
    pub fn wait_reason(&self, workspace: &WorkspaceName) -> WaitReason {
        if self.is_at_running_limit(workspace) {
            let running = self.running.get(workspace).copied().unwrap_or(0);
            return WaitReason::RunningLimit { running };
        }
        let first = self.queue.count_ahead_of(workspace);
        match self.upstreams.has_free() {
            true => WaitReason::Turn { first },
            false => WaitReason::Slot { first },
        }
    }

    fn publish_waiting(&mut self, workspace: &WorkspaceName) {
        self.ledger.set_waiting(workspace, self.queue.waiting(workspace));
    }

    fn remove_arrival(&mut self, id: TicketId) -> Option<Arrival> {
        let arrival = self.arrivals.remove(&id)?;
        self.tickets_by_expiry.remove(&(arrival.expires_at, id));
        Some(arrival)
    }

    fn expire_tickets(&mut self, now: Duration) {
        while let Some(&(at, id)) = self.tickets_by_expiry.first()
            && at <= now
        {
            self.cancel(id);
            self.tickets_by_expiry.remove(&(at, id));
        }
    }
}

fn to_virtual_time(cost: u64) -> VirtualTime {
    cost as i64 * PARTS_PER_UNIT
}

fn mean_weight(cfg: &CatalogRevision) -> f64 {
    let workspaces = &cfg.catalog.workspaces;
    let sum: f64 = workspaces.iter().map(|w| f64::from(w.weight)).sum();
    sum / workspaces.len().max(1) as f64
}

fn waited_ms(arrival: Option<Arrival>, now: Duration) -> u64 {
    arrival.map_or(0, |a| (now - a.at).as_millis() as u64)
}
