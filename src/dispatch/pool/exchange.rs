//! Exchange with the dispatchers of the same pool in other zones and with the standby: counters,
//! pulls and handover.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::dispatch::ledger::AMOUNT_MAX;
use crate::dispatch::ledger::CounterEntry;
use crate::dispatch::ledger::ReplicaId;
use crate::dispatch::pool::ActiveGrant;
use crate::dispatch::pool::COST_MAX;
use crate::dispatch::pool::PendingPull;
use crate::dispatch::pool::PoolDispatcher;
use crate::dispatch::pool::decision::Action;
use crate::dispatch::pool::decision::Decision;
use crate::dispatch::pool::decision::SelectionReason;
use crate::dispatch::pool::waited_ms;
use crate::dispatch::remote_zones::ZONE_TIMEOUT;
use crate::names::BoxName;
use crate::names::WorkspaceName;
use crate::names::ZoneName;
use crate::peer::message::DispatcherReport;
use crate::peer::message::Ending;
use crate::peer::message::Grant;
use crate::peer::message::Message;
use crate::peer::message::PullRequest;
use crate::peer::message::PullResponse;
use crate::peer::message::PulledTicket;
use crate::peer::message::RelayedCounters;
use crate::peer::message::RunningGrant;
use crate::peer::message::Ticket;

/// How long a slot is reserved for the response to a pull.
const PULL_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a new dispatcher waits for reports of all other zones before it trusts its counters.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the response to a timed-out pull is still accepted.
const LATE_PULL_RETENTION: Duration = Duration::from_secs(30);

/// Pull requests remembered to recognize duplicates.
const ANSWERED_PULLS_MAX: usize = 256;

/// Longest time between reports to another zone, which show that this dispatcher is alive.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Shortest time between reports of new work to a zone with idle slots.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_millis(10);

impl PoolDispatcher {
    /// Gives a waiting ticket to another zone that has a free slot for it.
    pub fn handle_pull_request(
        &mut self,
        pull: &PullRequest,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        // A duplicate request must not take a second ticket for the same slot.
        if self.answered_pulls.contains(&pull.grant) {
            return;
        }
        self.answered_pulls.push_back(pull.grant);
        if ANSWERED_PULLS_MAX < self.answered_pulls.len() {
            self.answered_pulls.pop_front();
        }
        let mut workspace = pull.workspace.clone();
        if self.queue.waiting(&workspace) == 0
            && pull.any_workspace
            && let Some((_, first)) = self.queue.furthest_behind()
        {
            workspace = first.clone();
        }
        let floor = self.floor();
        let waiting_workspaces = self.queue.workspace_count();
        let ticket = self.queue.pop(&workspace, self.pool_config.background_every, now);
        let pulled = ticket.map(|ticket| {
            let charged_cost = self.estimate(&ticket.workspace, &ticket.service);
            let arrival = self.remove_arrival(ticket.id);
            self.publish_waiting(&ticket.workspace);
            actions.push(Action::Decided(Decision {
                ticket: ticket.id,
                router: ticket.router.clone(),
                pool: self.pool_config.name.clone(),
                workspace: ticket.workspace.clone(),
                service: ticket.service.clone(),
                upstream: pull.upstream.clone(),
                why: SelectionReason::Pulled,
                virtual_time: self.ledger.virtual_time(&ticket.workspace),
                floor,
                waiting_workspaces,
                candidates: 1,
                estimate: charged_cost,
                waited_ms: waited_ms(arrival, now),
            }));
            actions.push(Action::Send {
                to: ticket.router.clone(),
                message: Message::Grant(Grant {
                    id: pull.grant,
                    ticket: ticket.id,
                    upstream: pull.upstream.clone(),
                    dispatcher: pull.dispatcher.clone(),
                    charged_cost,
                }),
            });
            PulledTicket {
                ticket: ticket.id,
                router: ticket.router,
                workspace: ticket.workspace,
                service: ticket.service,
                charged_cost,
            }
        });
        let response = PullResponse {
            pool: self.pool_config.name.clone(),
            grant: pull.grant,
            workspace: pull.workspace.clone(),
            zone: self.zone.clone(),
            ticket: pulled,
            still_waiting: self.queue.waiting(&pull.workspace),
        };
        actions.push(Action::Send {
            to: pull.dispatcher.clone(),
            message: Message::PullResponse(response),
        });
    }

    /// Handles the response to a pull.
    pub fn handle_pull_response(
        &mut self,
        response: PullResponse,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let virtual_time = self.ledger.virtual_time(&response.workspace);
        self.remote_zones.set_waiting(
            &response.zone,
            &response.workspace,
            response.still_waiting,
            virtual_time,
        );
        let Some(pending) = self.pending_pulls.remove(&response.grant) else { return };
        let Some(pulled) = response.ticket else {
            // Whatever the zone reported before, another pull would get nothing now either.
            self.remote_zones.set_waiting(&pending.zone, &response.workspace, 0, virtual_time);
            if !pending.timed_out {
                self.upstreams.release_slot(&pending.upstream, Ending::Unused, now);
            }
            self.fill_slots(now, actions);
            return;
        };
        if pending.timed_out {
            self.upstreams.occupy_slot(&pending.upstream, now);
        }
        let granted = ActiveGrant {
            ticket: Some(pulled.ticket),
            router: pulled.router,
            workspace: pulled.workspace,
            service: pulled.service,
            upstream: pending.upstream,
            charged_cost: pulled.charged_cost.min(COST_MAX),
            granted_at: now,
        };
        let (workspace, charged_cost) = (granted.workspace.clone(), granted.charged_cost);
        self.insert_grant(response.grant, granted);
        self.charge(&workspace, charged_cost as i64);
        if let Some(completion) = pending.early_completion {
            self.handle_completion(&completion, now, actions);
        }
    }

    /// Merges a report of another dispatcher of this pool.
    pub fn handle_report(
        &mut self,
        report: &DispatcherReport,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        self.remote_zones.record_report(report, self.ledger.total_charged(), now);
        self.zones_to_sync.remove(&report.zone);
        for router in &report.lost_routers {
            self.forget_router(router, now, actions);
        }
        for workspace in self.ledger.drop_assumed(&report.zone) {
            self.update_virtual_time(&workspace);
        }
        self.virtual_time = self.virtual_time.max(report.virtual_time.min(AMOUNT_MAX));
        for other in &report.relayed {
            self.ledger.merge(&other.replica, other.version, &other.entries);
            self.update_virtual_times(&other.entries);
        }
        if self.ledger.merge(&report.replica, report.version, &report.entries) {
            self.update_virtual_times(&report.entries);
            if report.zone != self.zone {
                for CounterEntry(workspace, _, _, waiting) in &report.entries {
                    let virtual_time = self.ledger.virtual_time(workspace);
                    self.remote_zones.set_waiting(&report.zone, workspace, *waiting, virtual_time);
                }
            }
        }
        if self.can_lift(now) {
            self.cap_debts();
        }
        self.fill_slots(now, actions);
    }

    /// Sends the changes to the dispatchers of other zones and to the standby of this one.
    /// `receivers` names each zone with the box expected to dispatch there.
    pub fn send_reports(
        &mut self,
        receivers: &[(ZoneName, BoxName)],
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        if !self.tuning.exchange_enabled {
            return;
        }
        self.set_zones_to_sync(receivers);
        let idle = self.idle_slots();
        let version = self.ledger.version();
        for (zone, expected_dispatcher) in receivers {
            let has_waiting = !self.queue.is_empty();
            let interval = self.tuning.exchange_interval;
            let remote = self.remote_zones.get_or_add(zone, expected_dispatcher);
            let has_timed_out = remote.last_report_at + ZONE_TIMEOUT <= now;
            let is_standby = *zone == self.zone;
            if remote.dispatcher != *expected_dispatcher && (has_timed_out || is_standby) {
                remote.dispatcher = expected_dispatcher.clone();
                remote.acknowledged_version = 0;
                remote.relayed_versions.clear();
            }
            let has_changes = version != remote.last_sent_version
                || (idle == 0) != (remote.last_sent_idle_slots == 0);
            // A dead router is reported to each zone once; a zone that misses the report finds out
            // by its next check.
            let last_sent_at = remote.last_sent_at;
            let is_new = |at: &Duration| last_sent_at.is_none_or(|sent_at| sent_at < *at);
            let lost_routers: Vec<BoxName> = self
                .lost_routers
                .iter()
                .filter(|(_, at)| is_new(at))
                .map(|(b, _)| b.clone())
                .collect();
            let due = match remote.last_sent_at {
                None => true,
                Some(_) if !lost_routers.is_empty() => true,
                Some(sent_at)
                    if has_waiting
                        && remote.idle_slots != 0
                        && version != remote.last_sent_version =>
                {
                    sent_at + IDLE_REPORT_INTERVAL.min(interval) <= now
                }
                Some(sent_at) if has_changes => sent_at + interval <= now,
                Some(sent_at) => sent_at + KEEPALIVE_INTERVAL <= now,
            };
            if !due {
                continue;
            }
            remote.last_sent_at = Some(now);
            remote.last_sent_version = version;
            remote.last_sent_idle_slots = idle;
            let to = remote.dispatcher.clone();
            let since = remote.acknowledged_version;
            let merged_version = match self.zones_to_sync.contains(zone) {
                true => 0,
                false => remote.replica.as_ref().map_or(0, |c| self.ledger.merged_version(c)),
            };
            // A receiver that has nothing of this replica likely has no replica at all. The standby
            // also gets the changes of the other zones' replicas.
            let others = match (is_standby, since) {
                (true, _) => self.ledger.copies_since(&remote.relayed_versions),
                (false, 0) => self.ledger.copies_since(&FxHashMap::default()),
                (false, _) => Vec::new(),
            };
            if is_standby {
                remote
                    .relayed_versions
                    .extend(others.iter().map(|o| (o.replica.clone(), o.version)));
            }
            let report = DispatcherReport {
                lost_routers,
                ..self.build_report(since, merged_version, idle, others)
            };
            actions.push(Action::Send { to, message: Message::DispatcherReport(Box::new(report)) });
        }
    }

    /// Records that the standby has merged this dispatcher's replica up to `version`.
    pub fn record_standby_ack(&mut self, zone: &ZoneName, replica: &ReplicaId, version: u64) {
        if replica == self.ledger.replica()
            && let Some(remote) = self.remote_zones.get_mut(zone)
        {
            remote.acknowledged_version = version;
        }
    }

    /// Everything this dispatcher knows, as messages for its successor: counters, waiting tickets
    /// and grants. Routers report their tickets and grants as well, but only once they know of the
    /// successor.
    pub fn handover_messages(&self, now: Duration) -> Vec<Message> {
        let others = self.ledger.copies_since(&FxHashMap::default());
        let report = self.build_report(0, 0, 0, others);
        let mut messages = vec![Message::DispatcherReport(Box::new(report))];
        let mut tickets: Vec<&Ticket> = self.queue.tickets().collect();
        tickets.sort_by_key(|t| t.id);
        for ticket in tickets {
            let left = self.arrivals[&ticket.id].expires_at.saturating_sub(now);
            let deadline_ms = left.as_millis() as u64;
            let ticket = Ticket { deadline_ms, forwarded: true, ..ticket.clone() };
            messages.push(Message::Ticket(ticket));
        }
        let mut by_router: BTreeMap<&BoxName, Vec<RunningGrant>> = BTreeMap::new();
        for (&grant, g) in &self.grants {
            by_router.entry(&g.router).or_default().push(RunningGrant {
                grant,
                workspace: g.workspace.clone(),
                service: g.service.clone(),
                upstream: g.upstream.clone(),
                charged_cost: g.charged_cost,
            });
        }
        for (router, mut grants) in by_router {
            grants.sort_by_key(|r| r.grant);
            let pool = self.pool_config.name.clone();
            messages.push(Message::RunningGrants { pool, router: router.clone(), grants });
        }
        messages
    }

    /// Begins to dispatch with the state left by the predecessor. Until the other zones have
    /// reported, or `SYNC_TIMEOUT` has passed, no workspace is lifted: with counters missing, a
    /// lift would set a workspace back by the missing amount.
    pub fn start_dispatching(&mut self, now: Duration) {
        self.lift_allowed_at = now + SYNC_TIMEOUT;
        self.knows_zones_to_sync = false;
        self.zones_to_sync.clear();
    }

    /// Requests a ticket of `workspace` from another zone, and reserves a slot for it.
    pub(super) fn send_pull(
        &mut self,
        workspace: &WorkspaceName,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some((zone, to)) = self.remote_zones.take_pull_target(workspace) else { return };
        let upstream =
            self.upstreams.acquire_slot(0, None, now).expect("a slot was seen to be free");
        let id = self.next_grant_id();
        let pending = PendingPull {
            zone,
            upstream: upstream.clone(),
            sent_at: now,
            timed_out: false,
            early_completion: None,
        };
        self.pending_pulls.insert(id, pending);
        let pull = PullRequest {
            pool: self.pool_config.name.clone(),
            workspace: workspace.clone(),
            grant: id,
            upstream,
            dispatcher: self.ledger.replica().name.clone(),
            any_workspace: self.queue.is_empty(),
            forwarded: false,
        };
        actions.push(Action::Send { to, message: Message::PullRequest(pull) });
    }

    pub(super) fn expire_pulls(&mut self, now: Duration) {
        for pending in self.pending_pulls.values_mut() {
            if !pending.timed_out && pending.sent_at + PULL_TIMEOUT <= now {
                pending.timed_out = true;
                self.remote_zones.record_pull_timeout(&pending.zone);
                self.upstreams.release_slot(&pending.upstream, Ending::Unused, now);
            }
        }
        // The ticket may have been pulled even though the response is late.
        self.pending_pulls.retain(|_, p| now < p.sent_at + LATE_PULL_RETENTION);
    }

    /// On the first call after the start, records which zones have yet to report.
    pub(super) fn set_zones_to_sync(&mut self, receivers: &[(ZoneName, BoxName)]) {
        if self.knows_zones_to_sync {
            return;
        }
        self.knows_zones_to_sync = true;
        let zones = receivers.iter().map(|(zone, _)| zone);
        self.zones_to_sync = zones.filter(|z| **z != self.zone).cloned().collect();
    }

    pub(super) fn build_report(
        &self,
        since: u64,
        merged_version: u64,
        idle: u32,
        others: Vec<RelayedCounters>,
    ) -> DispatcherReport {
        DispatcherReport {
            pool: self.pool_config.name.clone(),
            zone: self.zone.clone(),
            dispatcher: self.ledger.replica().name.clone(),
            replica: self.ledger.replica().clone(),
            version: self.ledger.version(),
            merged_version,
            virtual_time: self.virtual_time,
            idle_slots: idle,
            lost_routers: Vec::new(),
            entries: self.ledger.changes_since(since),
            relayed: others,
            forwarded: false,
        }
    }
}
