//! What a node does with each kind of message.

use std::time::Duration;

use rustc_hash::FxHashSet;

use crate::config::Catalog;
use crate::config::CatalogRevision;
use crate::dispatch::pool::Action;
use crate::dispatch::pool::Pool;
use crate::names::BoxName;
use crate::names::PoolName;
use crate::node::Change;
use crate::node::Node;
use crate::node::Output;
use crate::node::Running;
use crate::peer::message::Beat;
use crate::peer::message::Digest;
use crate::peer::message::Done;
use crate::peer::message::Ending;
use crate::peer::message::Grant;
use crate::peer::message::GrantId;
use crate::peer::message::Message;
use crate::peer::message::Pull;
use crate::peer::message::Summary;
use crate::peer::message::Ticket;

impl Node {
    pub(super) fn handle(&mut self, from: &BoxName, message: Message, now: Duration) {
        match message {
            Message::Heartbeat { t, v } => self.handle_heartbeat(from, &t, v, now),
            Message::Probe {} => {
                let (t, v) = (vec![self.members.own_beat().clone()], self.cfg.number);
                self.send(from.clone(), Message::Heartbeat { t, v });
            }
            Message::Ticket(ticket) => self.handle_ticket(from, ticket, now),
            Message::Cancel { p, i } => {
                if let Some(pool) = self.pools.get_mut(&p) {
                    pool.cancel(i);
                }
            }
            Message::Grant(grant) => self.handle_grant(from, grant, now),
            Message::Progress { p, g, e } => {
                if let Some(pool) = self.pools.get_mut(&p) {
                    pool.progress(g, e);
                }
            }
            Message::Done(done) => self.handle_done(done, now),
            Message::Running { p, b, r } => {
                let router = if b.is_none() { from } else { &b };
                self.with_pool(&p, |pool, _| pool.adopt(router, &r, now));
            }
            Message::Check { p, g, d } => self.handle_check(from, p, &g, d),
            Message::Using { p, f, u, g } => {
                self.with_pool(&p, |pool, out| pool.using(from, f, u, &g, now, out));
            }
            Message::NotRunning { p, g } => {
                self.with_pool(&p, |pool, out| pool.not_running(from, &g, now, out));
            }
            Message::Summary(summary) => self.handle_summary(from, *summary, now),
            Message::Copied { p, z, c, t } => {
                self.with_pool(&p, |pool, _| pool.copied(&z, &c, t));
            }
            Message::Pull(pull) => self.handle_pull(pull, now),
            Message::Pulled(pulled) => {
                self.with_pool(&pulled.pool.clone(), |pool, out| pool.pulled(pulled, now, out));
            }
            // Claims need the store; the process handles them.
            Message::Claim(_) | Message::Claimed { .. } => {}
            Message::WantConfiguration { v } => self.handle_want(from, v),
            Message::Configuration { v, c } => self.handle_configuration(from, v, *c, now),
        }
    }

    fn handle_heartbeat(&mut self, from: &BoxName, table: &[Beat], revision: u64, now: Duration) {
        self.members.hear(table, now);
        for beat in table {
            self.note_incarnation(&beat.name, now);
        }
        if self.cfg.number < revision {
            let v = self.cfg.number;
            self.send(from.clone(), Message::WantConfiguration { v });
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
            let (upstream, cover) = (grant.upstream.clone(), grant.cover);
            let start = Output::Start { ticket: ticket.id, upstream, cover };
            self.running.insert(ticket.id, Running { ticket, grant });
            self.out.push(start);
            return;
        }
        if self.running.get(&grant.ticket).is_some_and(|r| r.grant.id == grant.id) {
            return;
        }
        // A second grant for the same ticket, or one that came too late.
        let Some(pool) = self.pool_of(&grant) else { return };
        let done = Done { pool, grant: grant.id, cost: 0, ending: Ending::Unused };
        self.send(grant.dispatcher, Message::Done(done));
    }

    fn handle_done(&mut self, done: Done, now: Duration) {
        if self.pools.contains_key(&done.pool) {
            self.with_pool(&done.pool.clone(), |pool, out| pool.done(&done, now, out));
            return;
        }
        // The role was handed over, and the sender doesn't know yet.
        if let Some(owner) = self.owners.get(&done.pool).cloned()
            && owner != self.id.name
        {
            self.send(owner, Message::Done(done));
        }
    }

    fn handle_check(
        &mut self,
        from: &BoxName,
        p: PoolName,
        grants: &[GrantId],
        digest: Option<Digest>,
    ) {
        let used: FxHashSet<GrantId> = self.running.values().map(|r| r.grant.id).collect();
        if let Some(theirs) = digest {
            let (f, u) = (theirs.from, theirs.upto);
            if theirs != Digest::new(f, u, used.iter().copied()) {
                let mut g: Vec<GrantId> =
                    used.iter().copied().filter(|g| theirs.covers(*g)).collect();
                g.sort();
                self.send(from.clone(), Message::Using { p: p.clone(), f, u, g });
            }
        }
        let g: Vec<GrantId> = grants.iter().copied().filter(|id| !used.contains(id)).collect();
        // Sent even when empty: it tells that this router lives.
        self.send(from.clone(), Message::NotRunning { p, g });
    }

    fn handle_summary(&mut self, from: &BoxName, summary: Summary, now: Duration) {
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
                let forwarded = Summary { forwarded: true, ..summary };
                self.send(owner, Message::Summary(Box::new(forwarded)));
            }
            return;
        }
        let name = summary.pool.clone();
        let Some(pool) = self.pool_mut(&name) else { return };
        let mut actions = Vec::new();
        pool.summary(&summary, now, &mut actions);
        self.perform(actions);
        if here && !is_owner {
            let copied = Message::Copied {
                p: summary.pool,
                z: summary.zone,
                c: summary.cell,
                t: summary.upto,
            };
            self.send(from.clone(), copied);
        }
    }

    fn handle_pull(&mut self, pull: Pull, now: Duration) {
        if self.is_owner(&pull.pool) {
            self.with_pool(&pull.pool.clone(), |pool, out| pool.pull(&pull, now, out));
            return;
        }
        if let Some(owner) = self.owners.get(&pull.pool).cloned()
            && !pull.forwarded
        {
            self.send(owner, Message::Pull(Pull { forwarded: true, ..pull }));
        }
    }

    fn handle_want(&mut self, from: &BoxName, revision: u64) {
        if revision < self.cfg.number {
            let c = Box::new(self.cfg.catalog.clone());
            self.send(from.clone(), Message::Configuration { v: self.cfg.number, c });
        }
    }

    fn handle_configuration(&mut self, from: &BoxName, v: u64, c: Catalog, now: Duration) {
        if v <= self.cfg.number {
            return;
        }
        match CatalogRevision::new(v, c) {
            Ok(revision) => self.configure(revision, now),
            Err(faults) => {
                let fault = faults.first().map(ToString::to_string).unwrap_or_default();
                let from = from.clone();
                self.out.push(Output::LogChange(Change::BadConfiguration {
                    revision: v,
                    from,
                    fault,
                }));
            }
        }
    }

    fn with_pool(&mut self, name: &PoolName, f: impl FnOnce(&mut Pool, &mut Vec<Action>)) {
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
