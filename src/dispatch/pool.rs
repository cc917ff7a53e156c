//! The dispatcher of one pool in one availability zone: orders tickets and grants slots.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::config;
use crate::config::Revision;
use crate::dispatch::ledger::CellId;
use crate::dispatch::ledger::Entry;
use crate::dispatch::ledger::Ledger;
use crate::dispatch::ledger::PARTS;
use crate::dispatch::ledger::VirtualTime;
use crate::dispatch::queue::Queue;
use crate::dispatch::remotes::CUT_AFTER;
use crate::dispatch::remotes::Remotes;
use crate::dispatch::upstreams::Upstreams;
use crate::names::BoxName;
use crate::names::PoolName;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::names::ZoneName;
use crate::peer::message::Done;
use crate::peer::message::Ending;
use crate::peer::message::Grant;
use crate::peer::message::GrantId;
use crate::peer::message::Message;
use crate::peer::message::OtherCell;
use crate::peer::message::Pull;
use crate::peer::message::Pulled;
use crate::peer::message::Running;
use crate::peer::message::Summary;
use crate::peer::message::Taken;
use crate::peer::message::Ticket;
use crate::peer::message::TicketId;
use crate::util;

/// A workspace that waited at least this long without being served goes next, though it is ahead.
const PATIENCE: Duration = Duration::from_millis(250);

/// It must also have waited this many times as long as its fair share makes it wait on average.
const PATIENCE_FACTOR: f64 = 4.0;

/// At most one grant in this many goes to a workspace for its patience.
const PATIENCE_EVERY: u32 = 10;

/// Weight of the newest grant in the average time between grants.
const PACE_GAIN: f64 = 0.05;

/// How long a slot is kept for the answer to a pull.
const PULL_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a new dispatcher waits for the other zones before it trusts its counters.
const SYNC_WAIT: Duration = Duration::from_secs(2);

/// Checks in a row that a router may leave unanswered before its grants count as lost.
const UNANSWERED_MAX: u32 = 2;

/// How long an overdue answer to a pull is still taken in.
const PULL_FORGOTTEN: Duration = Duration::from_secs(30);

/// Pulls of others that are remembered.
const ANSWERED_MAX: usize = 256;

/// How often the routers are asked whether they still use their grants.
const CHECK_EVERY: Duration = Duration::from_secs(5);

/// Without news, another zone's dispatcher is still told this often that this one lives.
const KEEPALIVE: Duration = Duration::from_secs(2);

/// A zone with idle slots is told of new work this soon.
const IDLE_INTERVAL: Duration = Duration::from_millis(10);

/// Weight of the newest request in the estimate of a workspace's costs.
const ESTIMATE_GAIN: f64 = 0.1;

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

/// What a dispatcher wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a box, which may be the own one.
    Send { to: BoxName, message: Message },
    /// Log and remember a decision.
    Decided(Decision),
}

/// Why a workspace went next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Why {
    /// It was furthest behind of all that wait here.
    FurthestBehind,
    /// Its urgent work went ahead within the lead that the pool allows.
    Urgent,
    /// It had waited too long without being served.
    Patience,
    /// Another zone had a free slot and asked for it.
    Pulled,
}

/// One placement decision, as it is logged and kept to be asked about.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// The ticket that was placed.
    pub ticket: TicketId,
    /// The router that holds it.
    pub router: BoxName,
    /// The pool it was placed in.
    pub pool: PoolName,
    /// Its workspace.
    pub workspace: WorkspaceName,
    /// Its service.
    pub service: ServiceName,
    /// Where it goes.
    pub upstream: UpstreamName,
    /// Why it went next.
    pub why: Why,
    /// Its workspace's virtual time, before it was charged.
    pub virtual_time: VirtualTime,
    /// The smallest virtual time of all that waited.
    pub floor: VirtualTime,
    /// Workspaces that waited, this one included.
    pub waiting_workspaces: usize,
    /// Upstreams with a free slot, the chosen one included.
    pub candidates: usize,
    /// Cost charged in advance, in the pool's unit.
    pub estimate: u64,
    /// How long the ticket waited here, in milliseconds.
    pub waited_ms: u64,
}

/// The dispatcher of one pool in one availability zone.
#[derive(Debug)]
pub struct Pool {
    policy: config::Pool,
    zone: ZoneName,
    cfg: Arc<Revision>,
    tuning: Tuning,
    ledger: Ledger,
    queue: Queue,
    upstreams: Upstreams,
    remotes: Remotes,
    arrived: HashMap<TicketId, Arrival>,
    expiry: BTreeSet<(Duration, TicketId)>,
    grants: HashMap<GrantId, Granted>,
    by_ticket: HashMap<TicketId, GrantId>,
    pulls: HashMap<GrantId, PendingPull>,
    /// The latest pulls of others that were answered.
    answered: VecDeque<GrantId>,
    running: HashMap<WorkspaceName, u32>,
    estimates: HashMap<WorkspaceName, HashMap<ServiceName, f64>>,
    virtual_time: VirtualTime,
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
    unanswered: HashMap<BoxName, u32>,
    /// Zones not heard since taking over, once it is known which there are.
    unheard: BTreeSet<ZoneName>,
    expects: bool,
    /// When workspaces are lifted even though a zone wasn't heard.
    lift_after: Duration,
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

enum Choice {
    Local(WorkspaceName, Why),
    Remote(WorkspaceName),
}

impl Pool {
    /// An empty dispatcher for the pool `name` in `zone`, run by the box that `cell` names.
    pub fn new(
        name: &PoolName,
        zone: &ZoneName,
        cell: CellId,
        cfg: Arc<Revision>,
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
            arrived: HashMap::new(),
            expiry: BTreeSet::new(),
            grants: HashMap::new(),
            by_ticket: HashMap::new(),
            pulls: HashMap::new(),
            answered: VecDeque::new(),
            running: HashMap::new(),
            estimates: HashMap::new(),
            virtual_time: 0,
            next_grant,
            since_patience: 0,
            granted: Duration::ZERO,
            pace: 0.0,
            mean_cover: 0.0,
            mean_weight: mean_weight(&cfg),
            checked: Duration::ZERO,
            unanswered: HashMap::new(),
            unheard: BTreeSet::new(),
            expects: false,
            lift_after: Duration::ZERO,
        };
        pool.upstreams.configure(cfg.upstreams(name, zone));
        Some(pool)
    }

    /// Takes over a new configuration.
    pub fn configure(&mut self, cfg: &Arc<Revision>, now: Duration, out: &mut Vec<Action>) {
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

    /// Charges a request that outgrew what was charged for it.
    pub fn progress(&mut self, id: GrantId, cover: u64) {
        let Some(granted) = self.grants.get_mut(&id) else { return };
        if cover <= granted.cover {
            return;
        }
        let more = cover - granted.cover;
        granted.cover = cover;
        let workspace = granted.workspace.clone();
        self.charge(&workspace, more as i64);
    }

    /// Ends a grant: trues the charge up and gives the slot to the next.
    pub fn done(&mut self, done: &Done, now: Duration, out: &mut Vec<Action>) {
        if let Some(pull) = self.pulls.get_mut(&done.grant) {
            pull.early = Some(done.clone());
            return;
        }
        let Some(granted) = self.end_grant(done.grant, now) else { return };
        self.upstreams.release(&granted.upstream, done.ending, now);
        if matches!(done.ending, Ending::Answered) {
            self.learn(&granted.workspace, &granted.service, done.cost);
        }
        self.charge(&granted.workspace, done.cost as i64 - granted.cover as i64);
        self.fill(now, out);
    }

    /// Takes over grants that an earlier dispatcher gave.
    pub fn adopt(&mut self, router: &BoxName, running: &[Running], now: Duration) {
        for r in running {
            if self.grants.contains_key(&r.grant) {
                continue;
            }
            self.upstreams.adopt(&r.upstream, now);
            let granted = Granted {
                ticket: None,
                router: router.clone(),
                workspace: r.workspace.clone(),
                service: r.service.clone(),
                upstream: r.upstream.clone(),
                cover: r.cover,
                at: now,
            };
            self.start_grant(r.grant, granted);
        }
    }

    /// Frees grants that their router doesn't use.
    pub fn not_running(
        &mut self,
        router: &BoxName,
        grants: &[GrantId],
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        self.unanswered.remove(router);
        for &id in grants {
            if let Some(granted) = self.end_grant(id, now) {
                self.upstreams.release(&granted.upstream, Ending::Unused, now);
                self.charge(&granted.workspace, -(granted.cover as i64));
            }
        }
        self.fill(now, out);
    }

    /// Forgets the tickets and grants of a router that is gone.
    pub fn router_gone(&mut self, router: &BoxName, now: Duration, out: &mut Vec<Action>) {
        let tickets: Vec<TicketId> =
            self.queue.tickets().filter(|t| t.router == *router).map(|t| t.id).collect();
        for id in tickets {
            self.cancel(id);
        }
        let grants: Vec<GrantId> =
            self.grants.iter().filter(|(_, g)| g.router == *router).map(|(&id, _)| id).collect();
        for id in grants {
            if let Some(granted) = self.end_grant(id, now) {
                self.upstreams.release(&granted.upstream, Ending::Cancelled, now);
            }
        }
        self.fill(now, out);
    }

    /// Gives a waiting ticket to another zone that has a free slot for it.
    pub fn pull(&mut self, pull: &Pull, now: Duration, out: &mut Vec<Action>) {
        // A pull that comes twice must not take two tickets for one slot.
        if self.answered.contains(&pull.grant) {
            return;
        }
        self.answered.push_back(pull.grant);
        if ANSWERED_MAX < self.answered.len() {
            self.answered.pop_front();
        }
        let mut workspace = pull.workspace.clone();
        if self.queue.waiting(&workspace) == 0
            && pull.any
            && let Some((_, first)) = self.queue.first()
        {
            workspace = first.clone();
        }
        let floor = self.floor();
        let waiting_workspaces = self.queue.workspace_count();
        let ticket = self.queue.pop(&workspace, self.policy.background_every, now);
        let taken = ticket.map(|ticket| {
            let cover = self.estimate(&ticket.workspace, &ticket.service);
            let arrival = self.left(ticket.id);
            self.note_waiting(&ticket.workspace);
            out.push(Action::Decided(Decision {
                ticket: ticket.id,
                router: ticket.router.clone(),
                pool: self.policy.name.clone(),
                workspace: ticket.workspace.clone(),
                service: ticket.service.clone(),
                upstream: pull.upstream.clone(),
                why: Why::Pulled,
                virtual_time: self.ledger.virtual_time(&ticket.workspace),
                floor,
                waiting_workspaces,
                candidates: 1,
                estimate: cover,
                waited_ms: waited(arrival, now),
            }));
            out.push(Action::Send {
                to: ticket.router.clone(),
                message: Message::Grant(Grant {
                    id: pull.grant,
                    ticket: ticket.id,
                    upstream: pull.upstream.clone(),
                    dispatcher: pull.dispatcher.clone(),
                    cover,
                }),
            });
            Taken {
                ticket: ticket.id,
                router: ticket.router,
                workspace: ticket.workspace,
                service: ticket.service,
                cover,
            }
        });
        let answer = Pulled {
            pool: self.policy.name.clone(),
            grant: pull.grant,
            workspace: pull.workspace.clone(),
            zone: self.zone.clone(),
            taken,
            left: self.queue.waiting(&pull.workspace),
        };
        out.push(Action::Send { to: pull.dispatcher.clone(), message: Message::Pulled(answer) });
    }

    /// Takes in the answer to a pull.
    pub fn pulled(&mut self, pulled: Pulled, now: Duration, out: &mut Vec<Action>) {
        let at = self.ledger.virtual_time(&pulled.workspace);
        self.remotes.set_waiting(&pulled.zone, &pulled.workspace, pulled.left, at);
        let Some(pending) = self.pulls.remove(&pulled.grant) else { return };
        let Some(taken) = pulled.taken else {
            if !pending.overdue {
                self.upstreams.release(&pending.upstream, Ending::Unused, now);
            }
            self.fill(now, out);
            return;
        };
        if pending.overdue {
            self.upstreams.adopt(&pending.upstream, now);
        }
        let granted = Granted {
            ticket: Some(taken.ticket),
            router: taken.router,
            workspace: taken.workspace,
            service: taken.service,
            upstream: pending.upstream,
            cover: taken.cover,
            at: now,
        };
        let (workspace, cover) = (granted.workspace.clone(), granted.cover);
        self.start_grant(pulled.grant, granted);
        self.charge(&workspace, cover as i64);
        if let Some(done) = pending.early {
            self.done(&done, now, out);
        }
    }

    /// Takes in what another dispatcher tells of the pool.
    pub fn summary(&mut self, summary: &Summary, now: Duration, out: &mut Vec<Action>) {
        self.remotes.heard(summary, self.ledger.charged(), now);
        self.unheard.remove(&summary.zone);
        for workspace in self.ledger.forget_assumed(&summary.zone) {
            self.moved(&workspace);
        }
        self.virtual_time = self.virtual_time.max(summary.virtual_time);
        for other in &summary.others {
            self.ledger.merge(&other.cell, other.upto, &other.entries);
            self.reorder(&other.entries);
        }
        if self.ledger.merge(&summary.cell, summary.upto, &summary.entries) {
            self.reorder(&summary.entries);
            if summary.zone != self.zone {
                for Entry(workspace, _, _, waiting) in &summary.entries {
                    let at = self.ledger.virtual_time(workspace);
                    self.remotes.set_waiting(&summary.zone, workspace, *waiting, at);
                }
            }
        }
        if self.may_lift(now) {
            self.cap_debts();
        }
        self.fill(now, out);
    }

    /// Sends what changed to the dispatchers of other zones, and to the box that would follow this
    /// one. `others` names each zone with the box believed to dispatch there.
    pub fn exchange(
        &mut self,
        others: &[(ZoneName, BoxName)],
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        if !self.tuning.exchange {
            return;
        }
        self.expect_zones(others);
        let idle = self.idle();
        let version = self.ledger.version();
        for (zone, guess) in others {
            let waits = !self.queue.is_empty();
            let every = self.tuning.exchange_every;
            let remote = self.remotes.meet(zone, guess);
            let silent = remote.heard + CUT_AFTER <= now;
            let standby = *zone == self.zone;
            if remote.dispatcher != *guess && (silent || standby) {
                remote.dispatcher = guess.clone();
                remote.acknowledged = 0;
                remote.relayed.clear();
            }
            let news = version != remote.told_version || (idle == 0) != (remote.told_idle == 0);
            let due = match remote.told {
                None => true,
                Some(told) if waits && remote.idle != 0 && version != remote.told_version => {
                    told + IDLE_INTERVAL.min(every) <= now
                }
                Some(told) if news => told + every <= now,
                Some(told) => told + KEEPALIVE <= now,
            };
            if !due {
                continue;
            }
            remote.told = Some(now);
            remote.told_version = version;
            remote.told_idle = idle;
            let to = remote.dispatcher.clone();
            let since = remote.acknowledged;
            let seen = match self.unheard.contains(zone) {
                true => 0,
                false => remote.cell.as_ref().map_or(0, |c| self.ledger.seen(c)),
            };
            // A receiver that has nothing of this cell likely has nothing at all. The box that
            // would follow this one gets the news of other zones, too.
            let others = match (standby, since) {
                (true, _) => self.ledger.copies(&remote.relayed),
                (false, 0) => self.ledger.copies(&HashMap::new()),
                (false, _) => Vec::new(),
            };
            if standby {
                remote.relayed.extend(others.iter().map(|o| (o.cell.clone(), o.upto)));
            }
            let summary = self.summarise(since, seen, idle, others);
            out.push(Action::Send { to, message: Message::Summary(Box::new(summary)) });
        }
    }

    /// Notes that the box which would follow this one has a copy of the own cell at `version`.
    pub fn copied(&mut self, zone: &ZoneName, cell: &CellId, version: u64) {
        if cell == self.ledger.cell()
            && let Some(remote) = self.remotes.zone(zone)
        {
            remote.acknowledged = version;
        }
    }

    /// All that this dispatcher knows, for the box that takes the role over: counters, waiting
    /// tickets and grants. The routers tell it the latter, too, but only once they know of it.
    pub fn hand_over(&self, now: Duration) -> Vec<Message> {
        let others = self.ledger.copies(&HashMap::new());
        let summary = self.summarise(0, 0, 0, others);
        let mut messages = vec![Message::Summary(Box::new(summary))];
        let mut tickets: Vec<&Ticket> = self.queue.tickets().collect();
        tickets.sort_by_key(|t| t.id);
        for ticket in tickets {
            let left = self.arrived[&ticket.id].expires.saturating_sub(now);
            let deadline_ms = left.as_millis() as u64;
            let ticket = Ticket { deadline_ms, forwarded: true, ..ticket.clone() };
            messages.push(Message::Ticket(ticket));
        }
        let mut grants: BTreeMap<&BoxName, Vec<Running>> = BTreeMap::new();
        for (&grant, g) in &self.grants {
            grants.entry(&g.router).or_default().push(Running {
                grant,
                workspace: g.workspace.clone(),
                service: g.service.clone(),
                upstream: g.upstream.clone(),
                cover: g.cover,
            });
        }
        for (router, mut r) in grants {
            r.sort_by_key(|r| r.grant);
            let p = self.policy.name.clone();
            messages.push(Message::Running { p, b: router.clone(), r });
        }
        messages
    }

    /// Begins to dispatch, with what the predecessor has left. Until the other zones have told what
    /// they know, or a while has passed, nobody is lifted: with counters missing, a lift would set
    /// a workspace back by what is missing.
    pub fn take_over(&mut self, now: Duration) {
        self.lift_after = now + SYNC_WAIT;
        self.expects = false;
        self.unheard.clear();
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

    /// What a request of this workspace and service will likely cost, in the pool's unit.
    pub fn estimate(&self, workspace: &str, service: &str) -> u64 {
        let learned = self.estimates.get(workspace).and_then(|s| s.get(service));
        let default = || self.cfg.service(service).map_or(1, |s| u64::from(s.default_cost));
        learned.map_or_else(default, |e| e.round() as u64)
    }

    fn choose(&mut self, now: Duration) -> Option<Choice> {
        let local = self.queue.first();
        if let Some(choice) = self.choose_patience(now) {
            return Some(choice);
        }
        if let Some((at, workspace)) = self.queue.first_urgent()
            && at < self.floor() + parts(u64::from(self.policy.urgent_lead))
        {
            return Some(Choice::Local(workspace.clone(), Why::Urgent));
        }
        let remote = self.remotes.first();
        let margin = self.tuning.pull_margin.unwrap_or(self.policy.pull_margin);
        match (local, remote) {
            (None, None) => None,
            (None, Some((_, workspace))) => Some(Choice::Remote(workspace.clone())),
            (Some((at, local)), Some((there, workspace))) => {
                let stale = self.remotes.staleness(workspace, self.ledger.charged());
                if there + stale.max(0) + parts(u64::from(margin)) < at {
                    return Some(Choice::Remote(workspace.clone()));
                }
                Some(Choice::Local(local.clone(), Why::FurthestBehind))
            }
            (Some((_, workspace)), None) => {
                Some(Choice::Local(workspace.clone(), Why::FurthestBehind))
            }
        }
    }

    /// A workspace that is ahead, say after zones were cut off from each other, still gets a minimum
    /// share while the others catch up; unless it is so far ahead that it would never be done.
    fn choose_patience(&self, now: Duration) -> Option<Choice> {
        let (since, workspace) = self.queue.oldest()?;
        if self.since_patience < PATIENCE_EVERY || now < since + PATIENCE {
            return None;
        }
        let weight = self.cfg.workspace(workspace).map_or(1.0, |w| f64::from(w.weight));
        // Who asks for much at a time goes less often.
        let size = self.mean_estimate(workspace) / self.mean_cover.max(1.0);
        let turns = self.queue.workspace_count() as f64 * self.mean_weight / weight * size;
        if (now - since).as_secs_f64() < PATIENCE_FACTOR * turns * self.pace {
            return None;
        }
        let lead = self.ledger.virtual_time(workspace) - self.floor();
        if 2 * parts(u64::from(self.policy.debt_cap)) < lead {
            return None;
        }
        Some(Choice::Local(workspace.clone(), Why::Patience))
    }

    /// What a request of this workspace costs, on average over the services it used.
    fn mean_estimate(&self, workspace: &str) -> f64 {
        let Some(services) = self.estimates.get(workspace) else { return self.mean_cover };
        services.values().sum::<f64>() / services.len().max(1) as f64
    }

    fn grant(&mut self, workspace: &WorkspaceName, why: Why, now: Duration, out: &mut Vec<Action>) {
        let floor = self.floor();
        let waiting_workspaces = self.queue.workspace_count();
        let candidates = self.upstreams.candidates();
        let Some(ticket) = self.queue.pop(workspace, self.policy.background_every, now) else {
            return;
        };
        let arrival = self.left(ticket.id);
        let gap = now.saturating_sub(self.granted).as_secs_f64();
        self.pace += PACE_GAIN * (gap - self.pace);
        self.granted = now;
        let upstream = self
            .upstreams
            .take(ticket.prefix, ticket.avoid.as_ref(), now)
            .expect("a slot was seen to be free");
        self.since_patience = match why {
            Why::Patience => 0,
            _ => self.since_patience.saturating_add(1),
        };
        let virtual_time = self.ledger.virtual_time(workspace);
        self.virtual_time = self.virtual_time.max(self.ledger.known_time(workspace));
        let cover = self.estimate(workspace, &ticket.service);
        self.mean_cover += PACE_GAIN * (cover as f64 - self.mean_cover);
        out.push(Action::Decided(Decision {
            ticket: ticket.id,
            router: ticket.router.clone(),
            pool: self.policy.name.clone(),
            workspace: workspace.clone(),
            service: ticket.service.clone(),
            upstream: upstream.clone(),
            why,
            virtual_time,
            floor,
            waiting_workspaces,
            candidates,
            estimate: cover,
            waited_ms: waited(arrival, now),
        }));
        let id = self.new_grant();
        let granted = Granted {
            ticket: Some(ticket.id),
            router: ticket.router,
            workspace: workspace.clone(),
            service: ticket.service,
            upstream,
            cover,
            at: now,
        };
        self.start_grant(id, granted);
        self.charge(workspace, cover as i64);
        self.note_waiting(workspace);
        self.send_grant(id, out);
    }

    /// Asks another zone for a ticket of `workspace`, and keeps a slot for it meanwhile.
    fn ask(&mut self, workspace: &WorkspaceName, now: Duration, out: &mut Vec<Action>) {
        let Some((zone, to)) = self.remotes.pull(workspace) else { return };
        let upstream = self.upstreams.take(0, None, now).expect("a slot was seen to be free");
        let id = self.new_grant();
        let pending =
            PendingPull { zone, upstream: upstream.clone(), at: now, overdue: false, early: None };
        self.pulls.insert(id, pending);
        let pull = Pull {
            pool: self.policy.name.clone(),
            workspace: workspace.clone(),
            grant: id,
            upstream,
            dispatcher: self.ledger.cell().name.clone(),
            any: self.queue.is_empty(),
            forwarded: false,
        };
        out.push(Action::Send { to, message: Message::Pull(pull) });
    }

    fn send_grant(&self, id: GrantId, out: &mut Vec<Action>) {
        let granted = &self.grants[&id];
        let Some(ticket) = granted.ticket else { return };
        let grant = Grant {
            id,
            ticket,
            upstream: granted.upstream.clone(),
            dispatcher: BoxName::none(),
            cover: granted.cover,
        };
        out.push(Action::Send { to: granted.router.clone(), message: Message::Grant(grant) });
    }

    fn new_grant(&mut self) -> GrantId {
        self.next_grant += 1;
        GrantId(self.next_grant)
    }

    fn start_grant(&mut self, id: GrantId, granted: Granted) {
        *self.running.entry(granted.workspace.clone()).or_default() += 1;
        if let Some(ticket) = granted.ticket {
            self.by_ticket.insert(ticket, id);
        }
        let workspace = granted.workspace.clone();
        self.grants.insert(id, granted);
        self.park_if_full(&workspace);
    }

    fn end_grant(&mut self, id: GrantId, now: Duration) -> Option<Granted> {
        let granted = self.grants.remove(&id)?;
        if let Some(ticket) = granted.ticket {
            self.by_ticket.remove(&ticket);
        }
        let was_full = self.is_full(&granted.workspace);
        let running = self.running.get_mut(&granted.workspace).expect("counted at its start");
        *running -= 1;
        if *running == 0 {
            self.running.remove(&granted.workspace);
        }
        if was_full {
            // Being held back by its own limit earns a workspace no credit.
            self.lift_to_floor(&granted.workspace, now);
            self.queue.park(&granted.workspace, false);
        }
        Some(granted)
    }

    fn is_full(&self, workspace: &str) -> bool {
        let limit = self.cfg.workspace(workspace).map_or(u32::MAX, |w| w.running_limit);
        limit <= self.running.get(workspace).copied().unwrap_or(0)
    }

    fn park_if_full(&mut self, workspace: &WorkspaceName) {
        if self.is_full(workspace) {
            self.queue.park(workspace, true);
        }
    }

    /// Notes, the first time after taking over, which zones are to be heard.
    fn expect_zones(&mut self, others: &[(ZoneName, BoxName)]) {
        if self.expects {
            return;
        }
        self.expects = true;
        let zones = others.iter().map(|(zone, _)| zone);
        self.unheard = zones.filter(|z| **z != self.zone).cloned().collect();
    }

    /// Whether the counters can be trusted enough to lift somebody.
    fn may_lift(&self, now: Duration) -> bool {
        self.lift_after <= now || (self.expects && self.unheard.is_empty())
    }

    /// The virtual time to which a workspace is lifted that starts to wait: that of the one
    /// furthest behind, without assumptions, which would be lifted for good.
    fn known_floor(&self) -> VirtualTime {
        let local = self.queue.first().map(|(_, w)| self.ledger.known_time(w));
        let remote = self.remotes.first().map(|(_, w)| self.ledger.known_time(w));
        local.into_iter().chain(remote).min().unwrap_or(self.virtual_time)
    }

    /// The smallest virtual time of all that wait, anywhere.
    fn floor(&self) -> VirtualTime {
        let local = self.queue.first().map(|(at, _)| at);
        let remote = self.remotes.first().map(|(at, _)| at);
        local.into_iter().chain(remote).min().unwrap_or(self.virtual_time)
    }

    fn lift_to_floor(&mut self, workspace: &WorkspaceName, now: Duration) {
        if self.may_lift(now) {
            let floor = self.known_floor();
            self.lift(workspace, floor);
        }
    }

    fn lift(&mut self, workspace: &WorkspaceName, floor: VirtualTime) {
        self.ledger.lift(workspace, floor);
        self.moved(workspace);
    }

    fn charge(&mut self, workspace: &WorkspaceName, cost: i64) {
        let weight = self.cfg.workspace(workspace).map_or(1, |w| i64::from(w.weight));
        let amount = cost * PARTS / weight;
        self.ledger.charge(workspace, amount);
        for zone in self.remotes.zones_of(workspace) {
            self.ledger.assume(zone, workspace, amount);
        }
        self.moved(workspace);
    }

    fn moved(&mut self, workspace: &WorkspaceName) {
        let at = self.ledger.virtual_time(workspace);
        self.queue.moved(workspace, at);
        self.remotes.moved(workspace, at);
    }

    fn reorder(&mut self, entries: &[Entry]) {
        for Entry(workspace, ..) in entries {
            self.moved(workspace);
        }
    }

    /// Lifts those that are behind another by more than the cap.
    fn cap_debts(&mut self) {
        let local = self.queue.last().map(|(_, w)| self.ledger.known_time(w));
        let remote = self.remotes.last().map(|(_, w)| self.ledger.known_time(w));
        let Some(ahead) = local.into_iter().chain(remote).max() else { return };
        let least = ahead - parts(u64::from(self.policy.debt_cap));
        while let Some((_, workspace)) = self.queue.first() {
            // What others are assumed to have charged is no debt.
            if least <= self.ledger.known_time(workspace) {
                return;
            }
            let workspace = workspace.clone();
            self.lift(&workspace, least);
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

    fn learn(&mut self, workspace: &WorkspaceName, service: &ServiceName, cost: u64) {
        let services = self.estimates.entry(workspace.clone()).or_default();
        let estimate = services.entry(service.clone()).or_insert(cost as f64);
        *estimate += ESTIMATE_GAIN * (cost as f64 - *estimate);
    }

    fn expire(&mut self, now: Duration) {
        while let Some(&(at, id)) = self.expiry.first()
            && at <= now
        {
            self.cancel(id);
            self.expiry.remove(&(at, id));
        }
    }

    fn expire_pulls(&mut self, now: Duration) {
        for pending in self.pulls.values_mut() {
            if !pending.overdue && pending.at + PULL_TIMEOUT <= now {
                pending.overdue = true;
                self.remotes.unanswered(&pending.zone);
                self.upstreams.release(&pending.upstream, Ending::Unused, now);
            }
        }
        // A ticket may have been taken though the word of it is late.
        self.pulls.retain(|_, p| now < p.at + PULL_FORGOTTEN);
    }

    fn check_grants(&mut self, now: Duration, out: &mut Vec<Action>) {
        if now < self.checked + CHECK_EVERY {
            return;
        }
        self.checked = now;
        let silent = self.unanswered.iter().filter(|(_, n)| UNANSWERED_MAX <= **n);
        let silent: Vec<BoxName> = silent.map(|(router, _)| router.clone()).collect();
        for router in silent {
            self.unanswered.remove(&router);
            self.router_gone(&router, now, out);
        }
        let mut asked: BTreeMap<&BoxName, Vec<GrantId>> = BTreeMap::new();
        for (&id, granted) in self.grants.iter().filter(|(_, g)| g.at + CHECK_EVERY <= now) {
            asked.entry(&granted.router).or_default().push(id);
        }
        for (to, mut g) in asked {
            g.sort();
            *self.unanswered.entry(to.clone()).or_default() += 1;
            let message = Message::Check { p: self.policy.name.clone(), g };
            out.push(Action::Send { to: to.clone(), message });
        }
    }

    fn summarise(&self, since: u64, seen: u64, idle: u32, others: Vec<OtherCell>) -> Summary {
        Summary {
            pool: self.policy.name.clone(),
            zone: self.zone.clone(),
            dispatcher: self.ledger.cell().name.clone(),
            cell: self.ledger.cell().clone(),
            upto: self.ledger.version(),
            seen,
            virtual_time: self.virtual_time,
            idle,
            entries: self.ledger.changes(since),
            others,
            forwarded: false,
        }
    }
}

fn parts(cost: u64) -> VirtualTime {
    cost as i64 * PARTS
}

fn mean_weight(cfg: &Revision) -> f64 {
    let workspaces = &cfg.catalog.workspaces;
    let sum: f64 = workspaces.iter().map(|w| f64::from(w.weight)).sum();
    sum / workspaces.len().max(1) as f64
}

fn waited(arrival: Option<Arrival>, now: Duration) -> u64 {
    arrival.map_or(0, |a| (now - a.at).as_millis() as u64)
}
