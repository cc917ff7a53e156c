//! What the dispatcher has to do with those of the same pool elsewhere: counters, pulls, and handing
//! the role over.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::dispatch::ledger::AMOUNT_MAX;
use crate::dispatch::ledger::CounterEntry;
use crate::dispatch::ledger::ReplicaId;
use crate::dispatch::pool::COST_MAX;
use crate::dispatch::pool::Granted;
use crate::dispatch::pool::PendingPull;
use crate::dispatch::pool::PoolDispatcher;
use crate::dispatch::pool::decision::Action;
use crate::dispatch::pool::decision::Decision;
use crate::dispatch::pool::decision::SelectionReason;
use crate::dispatch::pool::waited;
use crate::dispatch::remote_zones::CUT_AFTER;
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

/// How long a slot is kept for the answer to a pull.
const PULL_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a new dispatcher waits for the other zones before it trusts its counters.
const SYNC_WAIT: Duration = Duration::from_secs(2);

/// How long an overdue answer to a pull is still taken in.
const PULL_FORGOTTEN: Duration = Duration::from_secs(30);

/// Pulls of others that are remembered.
const ANSWERED_MAX: usize = 256;

/// Without news, another zone's dispatcher is still told this often that this one lives.
const KEEPALIVE: Duration = Duration::from_secs(2);

/// A zone with idle slots is told of new work this soon.
const IDLE_INTERVAL: Duration = Duration::from_millis(10);

impl PoolDispatcher {
    /// Gives a waiting ticket to another zone that has a free slot for it.
    pub fn handle_pull_request(
        &mut self,
        pull: &PullRequest,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
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
            && pull.any_workspace
            && let Some((_, first)) = self.queue.first()
        {
            workspace = first.clone();
        }
        let floor = self.floor();
        let waiting_workspaces = self.queue.workspace_count();
        let ticket = self.queue.pop(&workspace, self.policy.background_every, now);
        let taken = ticket.map(|ticket| {
            let charged_cost = self.estimate(&ticket.workspace, &ticket.service);
            let arrival = self.left(ticket.id);
            self.note_waiting(&ticket.workspace);
            out.push(Action::Decided(Decision {
                ticket: ticket.id,
                router: ticket.router.clone(),
                pool: self.policy.name.clone(),
                workspace: ticket.workspace.clone(),
                service: ticket.service.clone(),
                upstream: pull.upstream.clone(),
                why: SelectionReason::Pulled,
                virtual_time: self.ledger.virtual_time(&ticket.workspace),
                floor,
                waiting_workspaces,
                candidates: 1,
                estimate: charged_cost,
                waited_ms: waited(arrival, now),
            }));
            out.push(Action::Send {
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
            pool: self.policy.name.clone(),
            grant: pull.grant,
            workspace: pull.workspace.clone(),
            zone: self.zone.clone(),
            ticket: taken,
            still_waiting: self.queue.waiting(&pull.workspace),
        };
        out.push(Action::Send {
            to: pull.dispatcher.clone(),
            message: Message::PullResponse(response),
        });
    }

    /// Takes in the answer to a pull.
    pub fn handle_pull_response(
        &mut self,
        pulled: PullResponse,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let at = self.ledger.virtual_time(&pulled.workspace);
        self.remotes.set_waiting(&pulled.zone, &pulled.workspace, pulled.still_waiting, at);
        let Some(pending) = self.pulls.remove(&pulled.grant) else { return };
        let Some(taken) = pulled.ticket else {
            // Whatever it said of itself before, asking again now would give as little.
            self.remotes.set_waiting(&pending.zone, &pulled.workspace, 0, at);
            if !pending.overdue {
                self.upstreams.release(&pending.upstream, Ending::Unused, now);
            }
            self.fill_slots(now, out);
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
            charged_cost: taken.charged_cost.min(COST_MAX),
            at: now,
        };
        let (workspace, charged_cost) = (granted.workspace.clone(), granted.charged_cost);
        self.start_grant(pulled.grant, granted);
        self.charge(&workspace, charged_cost as i64);
        if let Some(done) = pending.early {
            self.handle_completion(&done, now, out);
        }
    }

    /// Takes in what another dispatcher tells of the pool.
    pub fn handle_report(
        &mut self,
        summary: &DispatcherReport,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        self.remotes.heard(summary, self.ledger.charged(), now);
        self.unheard.remove(&summary.zone);
        for router in &summary.lost_routers {
            self.forget_router(router, now, out);
        }
        for workspace in self.ledger.forget_assumed(&summary.zone) {
            self.moved(&workspace);
        }
        self.virtual_time = self.virtual_time.max(summary.virtual_time.min(AMOUNT_MAX));
        for other in &summary.relayed {
            self.ledger.merge(&other.replica, other.version, &other.entries);
            self.reorder(&other.entries);
        }
        if self.ledger.merge(&summary.replica, summary.version, &summary.entries) {
            self.reorder(&summary.entries);
            if summary.zone != self.zone {
                for CounterEntry(workspace, _, _, waiting) in &summary.entries {
                    let at = self.ledger.virtual_time(workspace);
                    self.remotes.set_waiting(&summary.zone, workspace, *waiting, at);
                }
            }
        }
        if self.may_lift(now) {
            self.cap_debts();
        }
        self.fill_slots(now, out);
    }

    /// Sends what changed to the dispatchers of other zones, and to the box that would follow this
    /// one. `others` names each zone with the box believed to dispatch there.
    pub fn send_reports(
        &mut self,
        others: &[(ZoneName, BoxName)],
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        if !self.tuning.exchange_enabled {
            return;
        }
        self.expect_zones(others);
        let idle = self.idle_slots();
        let version = self.ledger.version();
        for (zone, guess) in others {
            let waits = !self.queue.is_empty();
            let every = self.tuning.exchange_interval;
            let remote = self.remotes.meet(zone, guess);
            let silent = remote.heard + CUT_AFTER <= now;
            let standby = *zone == self.zone;
            if remote.dispatcher != *guess && (silent || standby) {
                remote.dispatcher = guess.clone();
                remote.acknowledged = 0;
                remote.relayed.clear();
            }
            let news = version != remote.told_version || (idle == 0) != (remote.told_idle == 0);
            // Each zone is told once; whoever misses it finds out by its next check.
            let before = remote.told;
            let is_news = |at: &Duration| before.is_none_or(|told| told < *at);
            let gone: Vec<BoxName> =
                self.gone.iter().filter(|(_, at)| is_news(at)).map(|(b, _)| b.clone()).collect();
            let due = match remote.told {
                None => true,
                Some(_) if !gone.is_empty() => true,
                Some(told) if waits && remote.idle_slots != 0 && version != remote.told_version => {
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
                false => remote.replica.as_ref().map_or(0, |c| self.ledger.seen(c)),
            };
            // A receiver that has nothing of this cell likely has nothing at all. The box that
            // would follow this one gets the news of other zones, too.
            let others = match (standby, since) {
                (true, _) => self.ledger.copies(&remote.relayed),
                (false, 0) => self.ledger.copies(&FxHashMap::default()),
                (false, _) => Vec::new(),
            };
            if standby {
                remote.relayed.extend(others.iter().map(|o| (o.replica.clone(), o.version)));
            }
            let summary = DispatcherReport {
                lost_routers: gone,
                ..self.summarise(since, seen, idle, others)
            };
            out.push(Action::Send { to, message: Message::DispatcherReport(Box::new(summary)) });
        }
    }

    /// Notes that the box which would follow this one has a copy of the own cell at `version`.
    pub fn record_standby_ack(&mut self, zone: &ZoneName, replica: &ReplicaId, version: u64) {
        if replica == self.ledger.replica()
            && let Some(remote) = self.remotes.zone(zone)
        {
            remote.acknowledged = version;
        }
    }

    /// All that this dispatcher knows, for the box that takes the role over: counters, waiting
    /// tickets and grants. The routers tell it the latter, too, but only once they know of it.
    pub fn handover_messages(&self, now: Duration) -> Vec<Message> {
        let others = self.ledger.copies(&FxHashMap::default());
        let summary = self.summarise(0, 0, 0, others);
        let mut messages = vec![Message::DispatcherReport(Box::new(summary))];
        let mut tickets: Vec<&Ticket> = self.queue.tickets().collect();
        tickets.sort_by_key(|t| t.id);
        for ticket in tickets {
            let left = self.arrived[&ticket.id].expires.saturating_sub(now);
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
            let pool = self.policy.name.clone();
            messages.push(Message::RunningGrants { pool, router: router.clone(), grants });
        }
        messages
    }

    /// Begins to dispatch, with what the predecessor has left. Until the other zones have told what
    /// they know, or a while has passed, nobody is lifted: with counters missing, a lift would set
    /// a workspace back by what is missing.
    pub fn start_dispatching(&mut self, now: Duration) {
        self.lift_after = now + SYNC_WAIT;
        self.expects = false;
        self.unheard.clear();
    }

    /// Asks another zone for a ticket of `workspace`, and keeps a slot for it meanwhile.
    pub(super) fn ask(&mut self, workspace: &WorkspaceName, now: Duration, out: &mut Vec<Action>) {
        let Some((zone, to)) = self.remotes.pull(workspace) else { return };
        let upstream = self.upstreams.take(0, None, now).expect("a slot was seen to be free");
        let id = self.new_grant();
        let pending =
            PendingPull { zone, upstream: upstream.clone(), at: now, overdue: false, early: None };
        self.pulls.insert(id, pending);
        let pull = PullRequest {
            pool: self.policy.name.clone(),
            workspace: workspace.clone(),
            grant: id,
            upstream,
            dispatcher: self.ledger.replica().name.clone(),
            any_workspace: self.queue.is_empty(),
            forwarded: false,
        };
        out.push(Action::Send { to, message: Message::PullRequest(pull) });
    }

    pub(super) fn expire_pulls(&mut self, now: Duration) {
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

    /// Notes, the first time after taking over, which zones are to be heard.
    pub(super) fn expect_zones(&mut self, others: &[(ZoneName, BoxName)]) {
        if self.expects {
            return;
        }
        self.expects = true;
        let zones = others.iter().map(|(zone, _)| zone);
        self.unheard = zones.filter(|z| **z != self.zone).cloned().collect();
    }

    pub(super) fn summarise(
        &self,
        since: u64,
        seen: u64,
        idle: u32,
        others: Vec<RelayedCounters>,
    ) -> DispatcherReport {
        DispatcherReport {
            pool: self.policy.name.clone(),
            zone: self.zone.clone(),
            dispatcher: self.ledger.replica().name.clone(),
            replica: self.ledger.replica().clone(),
            version: self.ledger.version(),
            merged_version: seen,
            virtual_time: self.virtual_time,
            idle_slots: idle,
            lost_routers: Vec::new(),
            entries: self.ledger.changes(since),
            relayed: others,
            forwarded: false,
        }
    }
}
