//! What a node does with each kind of message.

use std::time::Duration;

use rustc_hash::FxHashSet;

use crate::config::Catalog;
use crate::config::Revision;
use crate::dispatch::pool::Action;
use crate::dispatch::pool::PoolDispatcher;
use crate::names::BoxName;
use crate::names::PoolName;
use crate::node::Change;
use crate::node::Node;
use crate::node::Output;
use crate::node::Running;
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
            Message::CompletionReport(done) => self.handle_done(done, now),
            Message::RunningGrants { pool, router, grants } => {
                let router = if router.is_none() { from } else { &router };
                self.with_pool(&pool, |pool, _| pool.adopt_grants(router, &grants, now));
            }
            Message::GrantCheckRequest { pool, grants, digest } => {
                self.handle_check(from, pool, &grants, digest)
            }
            Message::GrantsInUse { pool, first, last, grants } => {
                self.with_pool(&pool, |pool, out| {
                    pool.release_except(from, first, last, &grants, now, out)
                });
            }
            Message::GrantsNotInUse { pool, grants } => {
                self.with_pool(&pool, |pool, out| pool.release_unused(from, &grants, now, out));
            }
            Message::DispatcherReport(summary) => self.handle_summary(from, *summary, now),
            Message::StandbyAck { pool, zone, replica, version } => {
                self.with_pool(&pool, |pool, _| pool.record_standby_ack(&zone, &replica, version));
            }
            Message::PullRequest(pull) => self.handle_pull(pull, now),
            Message::PullResponse(pulled) => {
                self.with_pool(&pulled.pool.clone(), |pool, out| {
                    pool.handle_pull_response(pulled, now, out)
                });
            }
            // Claims need the store; the process handles them.
            Message::ClaimRequest(_) | Message::ClaimResponse { .. } => {}
            Message::ConfigurationRequest { revision } => self.handle_want(from, revision),
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
            self.note_incarnation(&entry.name, now);
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
        // A service that this box doesn't know yet is registered again later.
        let Some(service) = self.cfg.service(&ticket.service) else { return };
        ticket.pool = service.pool.clone();
        if self.is_owner(&ticket.pool) {
            let name = ticket.pool.clone();
            self.with_pool(&name, |pool, out| pool.submit(ticket, now, out));
            return;
        }
        // The sender's view of the zone differs; the box that this one believes in may agree.
        if let Some(owner) = self.owners.get(&ticket.pool).cloned()
            && !ticket.forwarded
        {
            self.send(owner, Message::Ticket(Ticket { forwarded: true, ..ticket }));
        }
    }

    fn handle_grant(&mut self, from: &BoxName, mut grant: Grant, now: Duration) {
        if grant.dispatcher.is_none() {
            grant.dispatcher = from.clone();
        }
        if let Some(waiting) = self.waiting.remove(&grant.ticket) {
            let ticket = waiting.ticket;
            self.admission.granted(&ticket.workspace, &ticket.pool, now);
            let (upstream, charged_cost) = (grant.upstream.clone(), grant.charged_cost);
            let start = Output::Start { ticket: ticket.id, upstream, charged_cost };
            self.running.insert(ticket.id, Running { ticket, grant });
            self.out.push(start);
            return;
        }
        if self.running.get(&grant.ticket).is_some_and(|r| r.grant.id == grant.id) {
            return;
        }
        // A second grant for the same ticket, or one that came too late.
        let Some(pool) = self.pool_of(&grant) else { return };
        let done = CompletionReport { pool, grant: grant.id, cost: 0, ending: Ending::Unused };
        self.send(grant.dispatcher, Message::CompletionReport(done));
    }

    fn handle_done(&mut self, done: CompletionReport, now: Duration) {
        if self.pools.contains_key(&done.pool) {
            self.with_pool(&done.pool.clone(), |pool, out| pool.handle_completion(&done, now, out));
            return;
        }
        // The role was handed over, and the sender doesn't know yet.
        if let Some(owner) = self.owners.get(&done.pool).cloned()
            && owner != self.id.name
        {
            self.send(owner, Message::CompletionReport(done));
        }
    }

    fn handle_check(
        &mut self,
        from: &BoxName,
        pool: PoolName,
        grants: &[GrantId],
        digest: Option<GrantDigest>,
    ) {
        let used: FxHashSet<GrantId> = self.running.values().map(|r| r.grant.id).collect();
        if let Some(theirs) = digest {
            let (first, last) = (theirs.first, theirs.last);
            if theirs != GrantDigest::new(first, last, used.iter().copied()) {
                let mut grants: Vec<GrantId> =
                    used.iter().copied().filter(|g| theirs.covers(*g)).collect();
                grants.sort();
                self.send(
                    from.clone(),
                    Message::GrantsInUse { pool: pool.clone(), first, last, grants },
                );
            }
        }
        let grants: Vec<GrantId> = grants.iter().copied().filter(|id| !used.contains(id)).collect();
        // Sent even when empty: it tells that this router lives.
        self.send(from.clone(), Message::GrantsNotInUse { pool, grants });
    }

    fn handle_summary(&mut self, from: &BoxName, summary: DispatcherReport, now: Duration) {
        // What another box tells in this one's name would have it ask itself for work.
        if summary.dispatcher == self.id.name {
            return;
        }
        let here = summary.zone == self.id.zone;
        let is_owner = self.is_owner(&summary.pool);
        if !here && !is_owner {
            if let Some(owner) = self.owners.get(&summary.pool).cloned()
                && !summary.forwarded
            {
                let forwarded = DispatcherReport { forwarded: true, ..summary };
                self.send(owner, Message::DispatcherReport(Box::new(forwarded)));
            }
            return;
        }
        let name = summary.pool.clone();
        let Some(pool) = self.pool_mut(&name) else { return };
        let mut actions = Vec::new();
        pool.handle_report(&summary, now, &mut actions);
        self.perform(actions);
        if here && !is_owner {
            let ack = Message::StandbyAck {
                pool: summary.pool,
                zone: summary.zone,
                replica: summary.replica,
                version: summary.version,
            };
            self.send(from.clone(), ack);
        }
    }

    fn handle_pull(&mut self, pull: PullRequest, now: Duration) {
        if self.is_owner(&pull.pool) {
            self.with_pool(&pull.pool.clone(), |pool, out| {
                pool.handle_pull_request(&pull, now, out)
            });
            return;
        }
        if let Some(owner) = self.owners.get(&pull.pool).cloned()
            && !pull.forwarded
        {
            self.send(owner, Message::PullRequest(PullRequest { forwarded: true, ..pull }));
        }
    }

    fn handle_want(&mut self, from: &BoxName, revision: u64) {
        if revision < self.cfg.number {
            let catalog = Box::new(self.cfg.catalog.clone());
            self.send(from.clone(), Message::Configuration { revision: self.cfg.number, catalog });
        }
    }

    fn handle_configuration(&mut self, from: &BoxName, v: u64, c: Catalog, now: Duration) {
        if v <= self.cfg.number {
            return;
        }
        match Revision::new(v, c) {
            Ok(revision) => self.configure(revision, now),
            Err(faults) => {
                let fault = faults.first().map(ToString::to_string).unwrap_or_default();
                let from = from.clone();
                self.out.push(Output::Changed(Change::BadConfiguration {
                    revision: v,
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

    /// The pool of an upstream that a grant names.
    fn pool_of(&self, grant: &Grant) -> Option<PoolName> {
        self.cfg.upstream(&grant.upstream).map(|u| u.pool.clone())
    }
}
