//! Grants from their beginning to their end, and what becomes of lost ones.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::FxHashSet;

use crate::dispatch::pool::COST_MAX;
use crate::dispatch::pool::Estimate;
use crate::dispatch::pool::Granted;
use crate::dispatch::pool::PoolDispatcher;
use crate::dispatch::pool::decision::Action;
use crate::dispatch::pool::decision::Decision;
use crate::dispatch::pool::decision::SelectionReason;
use crate::dispatch::pool::waited;
use crate::names::BoxName;
use crate::names::ServiceName;
use crate::names::WorkspaceName;
use crate::peer::message::CompletionReport;
use crate::peer::message::Ending;
use crate::peer::message::Grant;
use crate::peer::message::GrantDigest;
use crate::peer::message::GrantId;
use crate::peer::message::Message;
use crate::peer::message::RunningGrant;
use crate::peer::message::TicketId;

/// Weight of the newest grant in the average time between grants.
const PACE_GAIN: f64 = 0.05;

/// How long it is remembered that a router is gone, for the other zones to hear.
const GONE_KEPT: Duration = Duration::from_secs(5);

/// Checks in a row that a router may leave unanswered before its grants count as lost.
const UNANSWERED_MAX: u32 = 2;

/// How often the routers are asked whether they still use their grants.
const CHECK_EVERY: Duration = Duration::from_secs(5);

/// Weight of the newest request in the estimate of a workspace's costs.
const ESTIMATE_GAIN: f64 = 0.1;

/// What one router is asked for.
#[derive(Default)]
struct Asked {
    /// Its grants that were given here.
    own: Vec<GrantId>,
    /// The latest of them that it must know of.
    upto: Option<GrantId>,
    /// Those that were taken over.
    others: Vec<GrantId>,
}

impl PoolDispatcher {
    /// Charges a request that outgrew what was charged for it.
    pub fn record_progress(&mut self, id: GrantId, charged_cost: u64) {
        let Some(granted) = self.grants.get_mut(&id) else { return };
        let charged_cost = charged_cost.min(COST_MAX);
        if charged_cost <= granted.charged_cost {
            return;
        }
        let more = charged_cost - granted.charged_cost;
        granted.charged_cost = charged_cost;
        let (workspace, service) = (granted.workspace.clone(), granted.service.clone());
        self.charge(&workspace, more as i64);
        self.estimate_mut(&workspace, &service).outgrown(charged_cost);
    }

    /// Ends a grant: trues the charge up and gives the slot to the next.
    pub fn handle_completion(
        &mut self,
        done: &CompletionReport,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        if let Some(pull) = self.pulls.get_mut(&done.grant) {
            pull.early = Some(done.clone());
            return;
        }
        let Some(granted) = self.end_grant(done.grant, now) else { return };
        self.upstreams.release(&granted.upstream, done.ending, now);
        let cost = done.cost.min(COST_MAX);
        if matches!(done.ending, Ending::Answered) {
            self.estimate_mut(&granted.workspace, &granted.service).ended(cost);
        }
        self.charge(&granted.workspace, cost as i64 - granted.charged_cost as i64);
        self.fill_slots(now, out);
    }

    /// Takes over grants that an earlier dispatcher gave.
    pub fn adopt_grants(&mut self, router: &BoxName, running: &[RunningGrant], now: Duration) {
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
                charged_cost: r.charged_cost.min(COST_MAX),
                at: now,
            };
            self.start_grant(r.grant, granted);
        }
    }

    /// Frees grants that their router doesn't use.
    pub fn release_unused(
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
                self.charge(&granted.workspace, -(granted.charged_cost as i64));
            }
        }
        self.fill_slots(now, out);
    }

    /// Frees the grants in a range that their router doesn't use, but those of which it may not
    /// know yet.
    pub fn release_except(
        &mut self,
        router: &BoxName,
        from: GrantId,
        upto: GrantId,
        used: &[GrantId],
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let used: FxHashSet<&GrantId> = used.iter().collect();
        let unused = |(id, granted): &(&GrantId, &Granted)| {
            (from..=upto).contains(*id)
                && granted.router == *router
                && granted.at + CHECK_EVERY <= now
                && !used.contains(id)
        };
        let mut grants: Vec<GrantId> =
            self.grants.iter().filter(unused).map(|(&id, _)| id).collect();
        grants.sort();
        self.release_unused(router, &grants, now, out);
    }

    /// Notes that a router of this zone is gone, and tells the other zones.
    pub fn record_lost_router(&mut self, router: &BoxName, now: Duration, out: &mut Vec<Action>) {
        self.gone.retain(|(_, at)| now < *at + GONE_KEPT);
        if self.gone.iter().all(|(known, _)| known != router) {
            self.gone.push((router.clone(), now));
        }
        self.forget_router(router, now, out);
    }

    /// Forgets the tickets and grants of a router that is gone.
    pub fn forget_router(&mut self, router: &BoxName, now: Duration, out: &mut Vec<Action>) {
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
        self.fill_slots(now, out);
    }

    /// What a request of this workspace and service will likely cost, in the pool's unit.
    pub fn estimate(&self, workspace: &str, service: &str) -> u64 {
        let learned = self.estimates.get(workspace).and_then(|s| s.get(service));
        let default = || self.cfg.service(service).map_or(1, |s| u64::from(s.default_cost));
        learned.map_or_else(default, |e| e.cost.round() as u64)
    }

    pub(super) fn grant(
        &mut self,
        workspace: &WorkspaceName,
        why: SelectionReason,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
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
            SelectionReason::Patience => 0,
            _ => self.since_patience.saturating_add(1),
        };
        let virtual_time = self.ledger.virtual_time(workspace);
        self.virtual_time = self.virtual_time.max(self.ledger.known_time(workspace));
        let charged_cost = self.estimate(workspace, &ticket.service);
        self.mean_cover += PACE_GAIN * (charged_cost as f64 - self.mean_cover);
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
            estimate: charged_cost,
            waited_ms: waited(arrival, now),
        }));
        let id = self.new_grant();
        let granted = Granted {
            ticket: Some(ticket.id),
            router: ticket.router,
            workspace: workspace.clone(),
            service: ticket.service,
            upstream,
            charged_cost,
            at: now,
        };
        self.start_grant(id, granted);
        self.charge(workspace, charged_cost as i64);
        self.note_waiting(workspace);
        self.send_grant(id, out);
    }

    pub(super) fn send_grant(&self, id: GrantId, out: &mut Vec<Action>) {
        let granted = &self.grants[&id];
        let Some(ticket) = granted.ticket else { return };
        let grant = Grant {
            id,
            ticket,
            upstream: granted.upstream.clone(),
            dispatcher: BoxName::none(),
            charged_cost: granted.charged_cost,
        };
        out.push(Action::Send { to: granted.router.clone(), message: Message::Grant(grant) });
    }

    pub(super) fn new_grant(&mut self) -> GrantId {
        self.next_grant += 1;
        GrantId(self.next_grant)
    }

    pub(super) fn start_grant(&mut self, id: GrantId, granted: Granted) {
        *self.running.entry(granted.workspace.clone()).or_default() += 1;
        if let Some(ticket) = granted.ticket {
            self.by_ticket.insert(ticket, id);
        }
        let workspace = granted.workspace.clone();
        self.grants.insert(id, granted);
        self.park_if_full(&workspace);
    }

    pub(super) fn end_grant(&mut self, id: GrantId, now: Duration) -> Option<Granted> {
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

    pub(super) fn check_grants(&mut self, now: Duration, out: &mut Vec<Action>) {
        if now < self.checked + CHECK_EVERY {
            return;
        }
        self.checked = now;
        let silent = self.unanswered.iter().filter(|(_, n)| UNANSWERED_MAX <= **n);
        let silent: Vec<BoxName> = silent.map(|(router, _)| router.clone()).collect();
        for router in silent {
            self.unanswered.remove(&router);
            self.forget_router(&router, now, out);
        }
        for (to, message) in self.checks(now) {
            *self.unanswered.entry(to.clone()).or_default() += 1;
            out.push(Action::Send { to, message });
        }
    }

    /// Asks each router for its grants: for those given here, which have ids in one range, by a
    /// digest; for those that were taken over, one by one. Young ones may not have arrived there.
    fn checks(&self, now: Duration) -> Vec<(BoxName, Message)> {
        let first = GrantId(self.first_grant);
        let mut asked: BTreeMap<&BoxName, Asked> = BTreeMap::new();
        for (&id, granted) in &self.grants {
            let asked = asked.entry(&granted.router).or_default();
            let is_own = first < id && id.0 <= self.next_grant;
            let is_old = granted.at + CHECK_EVERY <= now;
            match (is_own, is_old) {
                (true, true) => asked.upto = asked.upto.max(Some(id)),
                (false, true) => asked.others.push(id),
                (_, false) => {}
            }
            if is_own {
                asked.own.push(id);
            }
        }
        let mut checks = Vec::with_capacity(asked.len());
        for (to, mut asked) in asked {
            if asked.upto.is_none() && asked.others.is_empty() {
                continue;
            }
            asked.others.sort();
            let own = asked.own.into_iter();
            let digest = asked.upto.map(|upto| GrantDigest::new(first, upto, own));
            let (pool, grants) = (self.policy.name.clone(), asked.others);
            checks.push((to.clone(), Message::GrantCheckRequest { pool, grants, digest }));
        }
        checks
    }

    fn estimate_mut(&mut self, workspace: &WorkspaceName, service: &ServiceName) -> &mut Estimate {
        let services = self.estimates.entry(workspace.clone()).or_default();
        services.entry(service.clone()).or_default()
    }
}

impl Estimate {
    /// A request turned out to cost at least this. Until the first one has ended, what runs is all
    /// there is to learn from; later it would count long requests twice.
    fn outgrown(&mut self, cost: u64) {
        if !self.learned {
            self.cost = self.cost.max(cost as f64);
        }
    }

    /// A request has cost this.
    fn ended(&mut self, cost: u64) {
        let gain = if self.learned { ESTIMATE_GAIN } else { 1.0 };
        self.cost += gain * (cost as f64 - self.cost);
        self.learned = true;
    }
}
