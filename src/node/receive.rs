//! Handlers for the messages between boxes.

use std::time::Duration;

use rustc_hash::FxHashSet;

use crate::config::Catalog;
use crate::config::CatalogRevision;
use crate::dispatch::pool::Action;
use crate::dispatch::pool::PoolDispatcher;
use crate::names::BoxName;
use crate::names::PoolName;
use crate::node::Change;
use crate::node::Node;
use crate::node::Output;
use crate::node::RunningRequest;
use crate::peer::message::CompletionReport;
use crate::peer::message::DispatcherReport;
use crate::peer::message::Ending;
use crate::peer::message::Grant;
use crate::peer::message::GrantDigest;
use crate::peer::message::GrantId;
use crate::peer::message::HeartbeatEntry;
use crate::peer::message::Message;
use crate::peer::message::PullRequest;
use crate::peer::message::Ticket;

impl Node {
    pub(super) fn handle(&mut self, from: &BoxName, message: Message, now: Duration) {
        match message {
            Message::Heartbeat { entries, revision } => {
                self.handle_heartbeat(from, &entries, revision, now)
            }
            Message::Probe {} => {
                let (entries, revision) =
                    (vec![self.members.own_heartbeat().clone()], self.cfg.number);
                self.send(from.clone(), Message::Heartbeat { entries, revision });
            }
            Message::Ticket(ticket) => self.handle_ticket(from, ticket, now),
            Message::Cancel { pool, ticket } => {
                if let Some(pool) = self.pools.get_mut(&pool) {
                    pool.cancel(ticket);
                }
            }
            Message::Grant(grant) => self.handle_grant(from, grant, now),
            Message::Progress { pool, grant, cost } => {
                if let Some(pool) = self.pools.get_mut(&pool) {
                    pool.record_progress(grant, cost);
                }
            }
            Message::CompletionReport(report) => self.handle_completion(report, now),
            Message::RunningGrants { pool, router, grants } => {
                let router = if router.is_none() { from } else { &router };
                self.with_pool(&pool, |pool, _| pool.adopt_grants(router, &grants, now));
            }
            Message::GrantCheckRequest { pool, grants, digest } => {
                self.handle_grant_check(from, pool, &grants, digest)
            }
            Message::GrantsInUse { pool, first, last, grants } => {
                self.with_pool(&pool, |pool, actions| {
                    pool.release_except(from, first, last, &grants, now, actions)
                });
            }
            Message::GrantsNotInUse { pool, grants } => {
                self.with_pool(&pool, |pool, actions| {
                    pool.release_unused(from, &grants, now, actions)
                });
            }
            Message::DispatcherReport(report) => self.handle_dispatcher_report(from, *report, now),
            Message::StandbyAck { pool, zone, replica, version } => {
                self.with_pool(&pool, |pool, _| pool.record_standby_ack(&zone, &replica, version));
            }
            Message::PullRequest(request) => self.handle_pull_request(request, now),
            Message::PullResponse(response) => {
                self.with_pool(&response.pool.clone(), |pool, actions| {
                    pool.handle_pull_response(response, now, actions)
                });
            }
            // Claims need the store; the hub handles them outside the node.
            Message::ClaimRequest(_) | Message::ClaimResponse { .. } => {}
            Message::ConfigurationRequest { revision } => {
                self.handle_configuration_request(from, revision)
            }
            Message::Configuration { revision, catalog } => {
                self.handle_configuration(from, revision, *catalog, now)
            }
        }
    }

    fn handle_heartbeat(
        &mut self,
        from: &BoxName,
        entries: &[HeartbeatEntry],
        revision: u64,
        now: Duration,
    ) {
        self.members.receive(entries, now);
        for entry in entries {
            self.update_incarnation(&entry.name, now);
        }
        if self.cfg.number < revision {
            let revision = self.cfg.number;
            self.send(from.clone(), Message::ConfigurationRequest { revision });
        }
        self.refresh_roles(now);
    }

    fn handle_ticket(&mut self, from: &BoxName, mut ticket: Ticket, now: Duration) {
        if ticket.router.is_none() {
            ticket.router = from.clone();
        }
        // Ignored while the service isn't known here: the router registers the ticket again later.
        let Some(service) = self.cfg.service(&ticket.service) else { return };
        ticket.pool = service.pool.clone();
        if self.is_dispatcher(&ticket.pool) {
            let name = ticket.pool.clone();
            self.with_pool(&name, |pool, actions| pool.submit(ticket, now, actions));
            return;
        }
        // The sender considers this box the dispatcher, but this box considers another one the
        // dispatcher. The ticket is forwarded there, once.
        if let Some(dispatcher) = self.dispatcher_boxes.get(&ticket.pool).cloned()
            && !ticket.forwarded
        {
            self.send(dispatcher, Message::Ticket(Ticket { forwarded: true, ..ticket }));
        }
    }

    fn handle_grant(&mut self, from: &BoxName, mut grant: Grant, now: Duration) {
        if grant.dispatcher.is_none() {
            grant.dispatcher = from.clone();
        }
        if let Some(waiting) = self.waiting.remove(&grant.ticket) {
            let ticket = waiting.ticket;
            self.admission.record_grant(&ticket.workspace, &ticket.pool, now);
            let (upstream, charged_cost) = (grant.upstream.clone(), grant.charged_cost);
            let start = Output::Start { ticket: ticket.id, upstream, charged_cost };
            self.running.insert(ticket.id, RunningRequest { ticket, grant });
            self.outputs.push(start);
            return;
        }
        if self.running.get(&grant.ticket).is_some_and(|r| r.grant.id == grant.id) {
            return;
        }
        // A second grant for the same ticket, or one for a request that no longer waits.
        let Some(pool) = self.pool_of(&grant) else { return };
        let report = CompletionReport { pool, grant: grant.id, cost: 0, ending: Ending::Unused };
        self.send(grant.dispatcher, Message::CompletionReport(report));
    }

    fn handle_completion(&mut self, report: CompletionReport, now: Duration) {
        if self.pools.contains_key(&report.pool) {
            self.with_pool(&report.pool.clone(), |pool, actions| {
                pool.handle_completion(&report, now, actions)
            });
            return;
        }
        // The role was handed over and the sender doesn't know it yet.
        if let Some(dispatcher) = self.dispatcher_boxes.get(&report.pool).cloned()
            && dispatcher != self.identity.name
        {
            self.send(dispatcher, Message::CompletionReport(report));
        }
    }

    fn handle_grant_check(
        &mut self,
        from: &BoxName,
        pool: PoolName,
        grants: &[GrantId],
        digest: Option<GrantDigest>,
    ) {
        let in_use: FxHashSet<GrantId> = self.running.values().map(|r| r.grant.id).collect();
        if let Some(sender_digest) = digest {
            let (first, last) = (sender_digest.first, sender_digest.last);
            if sender_digest != GrantDigest::new(first, last, in_use.iter().copied()) {
                let mut grants: Vec<GrantId> =
                    in_use.iter().copied().filter(|g| sender_digest.covers(*g)).collect();
                grants.sort();
                self.send(
                    from.clone(),
                    Message::GrantsInUse { pool: pool.clone(), first, last, grants },
                );
            }
        }
        let grants: Vec<GrantId> =
            grants.iter().copied().filter(|id| !in_use.contains(id)).collect();
        // Sent even when empty: it proves that this router is alive.
        self.send(from.clone(), Message::GrantsNotInUse { pool, grants });
    }

    fn handle_dispatcher_report(
        &mut self,
        from: &BoxName,
        report: DispatcherReport,
        now: Duration,
    ) {
        // A report in this box's own name would make it request work from itself.
        if report.dispatcher == self.identity.name {
            return;
        }
        let is_own_zone = report.zone == self.identity.zone;
        let is_dispatcher = self.is_dispatcher(&report.pool);
        if !is_own_zone && !is_dispatcher {
            if let Some(dispatcher) = self.dispatcher_boxes.get(&report.pool).cloned()
                && !report.forwarded
            {
                let forwarded = DispatcherReport { forwarded: true, ..report };
                self.send(dispatcher, Message::DispatcherReport(Box::new(forwarded)));
            }
            return;
        }
        let name = report.pool.clone();
        let Some(pool) = self.pool_or_insert(&name) else { return };
        let mut actions = Vec::new();
        pool.handle_report(&report, now, &mut actions);
        self.perform(actions);
        if is_own_zone && !is_dispatcher {
            let ack = Message::StandbyAck {
                pool: report.pool,
                zone: report.zone,
                replica: report.replica,
                version: report.version,
            };
            self.send(from.clone(), ack);
        }
    }

    fn handle_pull_request(&mut self, request: PullRequest, now: Duration) {
        if self.is_dispatcher(&request.pool) {
            self.with_pool(&request.pool.clone(), |pool, actions| {
                pool.handle_pull_request(&request, now, actions)
            });
            return;
        }
        if let Some(dispatcher) = self.dispatcher_boxes.get(&request.pool).cloned()
            && !request.forwarded
        {
            self.send(dispatcher, Message::PullRequest(PullRequest { forwarded: true, ..request }));
        }
    }

    fn handle_configuration_request(&mut self, from: &BoxName, revision: u64) {
        if revision < self.cfg.number {
            let catalog = Box::new(self.cfg.catalog.clone());
            self.send(from.clone(), Message::Configuration { revision: self.cfg.number, catalog });
        }
    }

    fn handle_configuration(
        &mut self,
        from: &BoxName,
        revision: u64,
        catalog: Catalog,
        now: Duration,
    ) {
        if revision <= self.cfg.number {
            return;
        }
        match CatalogRevision::new(revision, catalog) {
            Ok(revision) => self.configure(revision, now),
            Err(faults) => {
                let fault = faults.first().map(ToString::to_string).unwrap_or_default();
                let from = from.clone();
                self.outputs.push(Output::LogChange(Change::InvalidConfiguration {
                    revision,
                    from,
                    fault,
                }));
            }
        }
    }

    fn with_pool(
        &mut self,
        name: &PoolName,
        f: impl FnOnce(&mut PoolDispatcher, &mut Vec<Action>),
    ) {
        let mut actions = Vec::new();
        if let Some(pool) = self.pools.get_mut(name) {
            f(pool, &mut actions);
        }
        self.perform(actions);
    }

    /// The pool of a grant's upstream.
    fn pool_of(&self, grant: &Grant) -> Option<PoolName> {
        self.cfg.upstream(&grant.upstream).map(|u| u.pool.clone())
    }
}
