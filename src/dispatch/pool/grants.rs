//! The life cycle of grants, and the recovery of those that were lost.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::FxHashSet;

use crate::dispatch::pool::ActiveGrant;
use crate::dispatch::pool::COST_MAX;
use crate::dispatch::pool::Estimate;
use crate::dispatch::pool::PoolDispatcher;
use crate::dispatch::pool::decision::Action;
use crate::dispatch::pool::decision::Decision;
use crate::dispatch::pool::decision::SelectionReason;
use crate::dispatch::pool::waited_ms;
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

/// Weight of the newest grant in the mean interval and the mean cost of grants.
const MEAN_GAIN: f64 = 0.05;

/// How long a dead router is remembered, to be reported to the other zones.
const LOST_ROUTER_RETENTION: Duration = Duration::from_secs(5);

/// Consecutive checks a router may leave unanswered before its grants count as lost.
const UNANSWERED_CHECKS_MAX: u32 = 2;

/// Interval at which routers are asked whether they still use their grants.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Weight of the newest request in a cost estimate.
const ESTIMATE_GAIN: f64 = 0.1;

/// The grants that one router is asked about.
#[derive(Default)]
struct CheckScope {
    /// Grants that this dispatcher gave it.
    own: Vec<GrantId>,
    /// The latest of them that has certainly arrived there.
    last_own: Option<GrantId>,
    /// Grants adopted from an earlier dispatcher.
    adopted: Vec<GrantId>,
}

impl PoolDispatcher {
    /// Charges the difference for a request that has cost more than was charged for it.
    pub fn record_progress(&mut self, id: GrantId, charged_cost: u64) {
        let Some(granted) = self.grants.get_mut(&id) else { return };
        let charged_cost = charged_cost.min(COST_MAX);
        if charged_cost <= granted.charged_cost {
            return;
        }
        let increase = charged_cost - granted.charged_cost;
        granted.charged_cost = charged_cost;
        let (workspace, service) = (granted.workspace.clone(), granted.service.clone());
        self.charge(&workspace, increase as i64);
        self.estimate_mut(&workspace, &service).raise_to(charged_cost);
    }

    /// Ends a grant: corrects the charge to the exact cost and grants the slot anew.
    pub fn handle_completion(
        &mut self,
        report: &CompletionReport,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        if let Some(pending) = self.pending_pulls.get_mut(&report.grant) {
            pending.early_completion = Some(report.clone());
            return;
        }
        let Some(granted) = self.remove_grant(report.grant, now) else { return };
        self.upstreams.release_slot(&granted.upstream, report.ending, now);
        let cost = report.cost.min(COST_MAX);
        if matches!(report.ending, Ending::Answered) {
            self.estimate_mut(&granted.workspace, &granted.service).record(cost);
        }
        self.charge(&granted.workspace, cost as i64 - granted.charged_cost as i64);
        self.fill_slots(now, actions);
    }

    /// Adopts grants that an earlier dispatcher gave.
    pub fn adopt_grants(&mut self, router: &BoxName, grants: &[RunningGrant], now: Duration) {
        for grant in grants {
            if self.grants.contains_key(&grant.grant) {
                continue;
            }
            self.upstreams.occupy_slot(&grant.upstream, now);
            let granted = ActiveGrant {
                ticket: None,
                router: router.clone(),
                workspace: grant.workspace.clone(),
                service: grant.service.clone(),
                upstream: grant.upstream.clone(),
                charged_cost: grant.charged_cost.min(COST_MAX),
                granted_at: now,
            };
            self.insert_grant(grant.grant, granted);
        }
    }

    /// Releases grants that their router doesn't use.
    pub fn release_unused(
        &mut self,
        router: &BoxName,
        grants: &[GrantId],
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        self.unanswered_checks.remove(router);
        for &id in grants {
            if let Some(granted) = self.remove_grant(id, now) {
                self.upstreams.release_slot(&granted.upstream, Ending::Unused, now);
                self.charge(&granted.workspace, -(granted.charged_cost as i64));
            }
        }
        self.fill_slots(now, actions);
    }

    /// Releases those grants in a range that their router doesn't use, except young ones that may
    /// not have arrived there.
    pub fn release_except(
        &mut self,
        router: &BoxName,
        first: GrantId,
        last: GrantId,
        used: &[GrantId],
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let used: FxHashSet<&GrantId> = used.iter().collect();
        let unused = |(id, granted): &(&GrantId, &ActiveGrant)| {
            (first..=last).contains(*id)
                && granted.router == *router
                && granted.granted_at + CHECK_INTERVAL <= now
                && !used.contains(id)
        };
        let mut grants: Vec<GrantId> =
            self.grants.iter().filter(unused).map(|(&id, _)| id).collect();
        grants.sort();
        self.release_unused(router, &grants, now, actions);
    }

    /// Handles the death of a router in this zone, and has it reported to the other zones.
    pub fn record_lost_router(
        &mut self,
        router: &BoxName,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        self.lost_routers.retain(|(_, at)| now < *at + LOST_ROUTER_RETENTION);
        if self.lost_routers.iter().all(|(known, _)| known != router) {
            self.lost_routers.push((router.clone(), now));
        }
        self.forget_router(router, now, actions);
    }

    /// Removes the tickets and grants of a dead router.
    pub fn forget_router(&mut self, router: &BoxName, now: Duration, actions: &mut Vec<Action>) {
        let tickets: Vec<TicketId> =
            self.queue.tickets().filter(|t| t.router == *router).map(|t| t.id).collect();
        for id in tickets {
            self.cancel(id);
        }
        let grants: Vec<GrantId> =
            self.grants.iter().filter(|(_, g)| g.router == *router).map(|(&id, _)| id).collect();
        for id in grants {
            if let Some(granted) = self.remove_grant(id, now) {
                self.upstreams.release_slot(&granted.upstream, Ending::Cancelled, now);
            }
        }
        self.fill_slots(now, actions);
    }

    /// The expected cost of a request of this workspace and service, in the pool's unit.
    pub fn estimate(&self, workspace: &str, service: &str) -> u64 {
        let estimate = self.estimates.get(workspace).and_then(|s| s.get(service));
        let default = || self.cfg.service(service).map_or(1, |s| u64::from(s.default_cost));
        estimate.map_or_else(default, |e| e.cost.round() as u64)
    }

    pub(super) fn grant(
        &mut self,
        workspace: &WorkspaceName,
        why: SelectionReason,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let floor = self.floor();
        let waiting_workspaces = self.queue.workspace_count();
        let candidates = self.upstreams.candidates();
        let Some(ticket) = self.queue.pop(workspace, self.pool_config.background_every, now) else {
            return;
        };
        let arrival = self.remove_arrival(ticket.id);
        let interval_s = now.saturating_sub(self.last_grant_at).as_secs_f64();
        self.mean_grant_interval_s += MEAN_GAIN * (interval_s - self.mean_grant_interval_s);
        self.last_grant_at = now;
        let upstream = self
            .upstreams
            .acquire_slot(ticket.prefix, ticket.avoid.as_ref(), now)
            .expect("a slot was seen to be free");
        self.grants_since_starved = match why {
            SelectionReason::Patience => 0,
            _ => self.grants_since_starved.saturating_add(1),
        };
        let virtual_time = self.ledger.virtual_time(workspace);
        self.virtual_time = self.virtual_time.max(self.ledger.known_virtual_time(workspace));
        let charged_cost = self.estimate(workspace, &ticket.service);
        self.mean_charged_cost += MEAN_GAIN * (charged_cost as f64 - self.mean_charged_cost);
        actions.push(Action::Decided(Decision {
            ticket: ticket.id,
            router: ticket.router.clone(),
            pool: self.pool_config.name.clone(),
            workspace: workspace.clone(),
            service: ticket.service.clone(),
            upstream: upstream.clone(),
            why,
            virtual_time,
            floor,
            waiting_workspaces,
            candidates,
            estimate: charged_cost,
            waited_ms: waited_ms(arrival, now),
        }));
        let id = self.next_grant_id();
        let granted = ActiveGrant {
            ticket: Some(ticket.id),
            router: ticket.router,
            workspace: workspace.clone(),
            service: ticket.service,
            upstream,
            charged_cost,
            granted_at: now,
        };
        self.insert_grant(id, granted);
        self.charge(workspace, charged_cost as i64);
        self.publish_waiting(workspace);
        self.send_grant(id, actions);
    }

    pub(super) fn send_grant(&self, id: GrantId, actions: &mut Vec<Action>) {
        let granted = &self.grants[&id];
        let Some(ticket) = granted.ticket else { return };
        let grant = Grant {
            id,
            ticket,
            upstream: granted.upstream.clone(),
            dispatcher: BoxName::none(),
            charged_cost: granted.charged_cost,
        };
        actions.push(Action::Send { to: granted.router.clone(), message: Message::Grant(grant) });
    }

    pub(super) fn next_grant_id(&mut self) -> GrantId {
        self.next_grant += 1;
        GrantId(self.next_grant)
    }

    pub(super) fn insert_grant(&mut self, id: GrantId, granted: ActiveGrant) {
        *self.running.entry(granted.workspace.clone()).or_default() += 1;
        if let Some(ticket) = granted.ticket {
            self.grants_by_ticket.insert(ticket, id);
        }
        let workspace = granted.workspace.clone();
        self.grants.insert(id, granted);
        self.check_running_limit(&workspace);
    }

    pub(super) fn remove_grant(&mut self, id: GrantId, now: Duration) -> Option<ActiveGrant> {
        let granted = self.grants.remove(&id)?;
        if let Some(ticket) = granted.ticket {
            self.grants_by_ticket.remove(&ticket);
        }
        let was_full = self.is_at_running_limit(&granted.workspace);
        let running = self.running.get_mut(&granted.workspace).expect("counted at its start");
        *running -= 1;
        if *running == 0 {
            self.running.remove(&granted.workspace);
        }
        if was_full {
            // Time spent at its own running limit gives a workspace no claim to later service.
            self.lift_to_floor(&granted.workspace, now);
            self.queue.set_at_running_limit(&granted.workspace, false);
        }
        Some(granted)
    }

    pub(super) fn check_grants(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now < self.last_check_at + CHECK_INTERVAL {
            return;
        }
        self.last_check_at = now;
        let lost = self.unanswered_checks.iter().filter(|(_, n)| UNANSWERED_CHECKS_MAX <= **n);
        let lost: Vec<BoxName> = lost.map(|(router, _)| router.clone()).collect();
        for router in lost {
            self.unanswered_checks.remove(&router);
            self.forget_router(&router, now, actions);
        }
        for (to, message) in self.check_requests(now) {
            *self.unanswered_checks.entry(to.clone()).or_default() += 1;
            actions.push(Action::Send { to, message });
        }
    }

    /// Builds the check for each router: a digest over the grants given here, whose ids lie in one
    /// range, and a list of the adopted ones. Young grants are left out, since they may not have
    /// arrived there.
    fn check_requests(&self, now: Duration) -> Vec<(BoxName, Message)> {
        let first = GrantId(self.first_grant);
        let mut scopes: BTreeMap<&BoxName, CheckScope> = BTreeMap::new();
        for (&id, granted) in &self.grants {
            let scope = scopes.entry(&granted.router).or_default();
            let is_own = first < id && id.0 <= self.next_grant;
            let is_old = granted.granted_at + CHECK_INTERVAL <= now;
            match (is_own, is_old) {
                (true, true) => scope.last_own = scope.last_own.max(Some(id)),
                (false, true) => scope.adopted.push(id),
                (_, false) => {}
            }
            if is_own {
                scope.own.push(id);
            }
        }
        let mut checks = Vec::with_capacity(scopes.len());
        for (to, mut scope) in scopes {
            if scope.last_own.is_none() && scope.adopted.is_empty() {
                continue;
            }
            scope.adopted.sort();
            let own = scope.own.into_iter();
            let digest = scope.last_own.map(|last| GrantDigest::new(first, last, own));
            let (pool, grants) = (self.pool_config.name.clone(), scope.adopted);
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
    /// Raises the estimate for a running request that has cost at least `cost`, as long as none has
    /// been answered and running ones are the only evidence; later this would count long requests
    /// twice.
    fn raise_to(&mut self, cost: u64) {
        if !self.has_completed {
            self.cost = self.cost.max(cost as f64);
        }
    }

    /// Records the cost of a request that has ended.
    fn record(&mut self, cost: u64) {
        let gain = if self.has_completed { ESTIMATE_GAIN } else { 1.0 };
        self.cost += gain * (cost as f64 - self.cost);
        self.has_completed = true;
    }
}
