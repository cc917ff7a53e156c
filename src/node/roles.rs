//! Who dispatches which pool, and what happens when that changes.

use std::time::Duration;

use crate::dispatch::ledger::CellId;
use crate::dispatch::pool::Pool;
use crate::names::BoxName;
use crate::names::PoolName;
use crate::node::Change;
use crate::node::Node;
use crate::node::Output;
use crate::peer::message::Message;
use crate::peer::message::Running;
use crate::peer::message::Ticket;

/// Every so many heartbeats one also goes to another zone, so that news of a configuration gets
/// there when the platform can't bring it.
const ABROAD_EVERY: u64 = 4;

impl Node {
    /// Sends the heartbeats and probes that are due.
    pub(super) fn beat(&mut self, now: Duration) {
        for name in self.members.to_probe(now) {
            self.send(name, Message::Probe {});
        }
        let Some((t, to)) = self.members.beat(now, &mut self.rng) else { return };
        self.beats += 1;
        let v = self.cfg.number;
        for name in to {
            self.send(name, Message::Heartbeat { t: t.clone(), v });
        }
        if self.beats.is_multiple_of(ABROAD_EVERY)
            && let Some(name) = self.members.anyone_abroad(&mut self.rng)
        {
            self.send(name, Message::Heartbeat { t: Vec::new(), v });
        }
    }

    /// Finds out who is alive and who dispatches what, and acts on changes. Cheap when nobody came
    /// or went.
    pub(super) fn refresh_roles(&mut self, now: Duration) {
        let changed = self.note_members(now);
        if !changed && !self.roles_stale {
            return;
        }
        self.roles_stale = false;
        let pools: Vec<PoolName> = self.cfg.catalog.pools.iter().map(|p| p.name.clone()).collect();
        for pool in pools {
            let owner = self.members.owner(&pool, now).clone();
            let before = self.owners.insert(pool.clone(), owner.clone());
            if before.as_ref() != Some(&owner) {
                self.owner_changed(&pool, before, &owner, now);
            }
        }
        let cfg = self.cfg.clone();
        self.owners.retain(|name, _| cfg.pool(name).is_some());
    }

    /// The dispatcher or the copy of a pool on this box, made when it is first needed.
    pub(super) fn pool_mut(&mut self, name: &PoolName) -> Option<&mut Pool> {
        if !self.pools.contains_key(name) {
            let cell = CellId { name: self.id.name.clone(), incarnation: self.next_cell };
            self.next_cell += 1;
            let mut pool = Pool::new(name, &self.id.zone, cell, self.cfg.clone(), self.tuning)?;
            pool.upstreams_mut().list_leaving(&self.listed_leaving);
            self.pools.insert(name.clone(), pool);
        }
        self.pools.get_mut(name)
    }

    fn owner_changed(
        &mut self,
        pool: &PoolName,
        before: Option<BoxName>,
        owner: &BoxName,
        now: Duration,
    ) {
        let mine = *owner == self.id.name;
        let was_mine = before.as_ref() == Some(&self.id.name);
        if mine || was_mine {
            let change = Change::Role { pool: pool.clone(), dispatcher: owner.clone(), mine };
            self.out.push(Output::LogChange(change));
        }
        if was_mine && let Some(old) = self.pools.remove(pool) {
            for message in old.hand_over(now) {
                self.send(owner.clone(), message);
            }
        }
        if mine && let Some(pool) = self.pool_mut(pool) {
            pool.take_over(now);
        }
        if let Some(before) = before {
            self.hand_grants_over(pool, &before, owner);
        }
        self.register_again(pool, now);
    }

    /// Tells a new dispatcher of the grants that its predecessor gave to this router.
    fn hand_grants_over(&mut self, pool: &PoolName, before: &BoxName, owner: &BoxName) {
        let mut r = Vec::new();
        for running in self.running.values_mut() {
            if running.ticket.pool == *pool && running.grant.dispatcher == *before {
                running.grant.dispatcher = owner.clone();
                r.push(Running {
                    grant: running.grant.id,
                    workspace: running.ticket.workspace.clone(),
                    service: running.ticket.service.clone(),
                    upstream: running.grant.upstream.clone(),
                    cover: running.grant.cover,
                });
            }
        }
        r.sort_by_key(|r| r.grant);
        if !r.is_empty() {
            self.send(owner.clone(), Message::Running { p: pool.clone(), b: BoxName::none(), r });
        }
    }

    fn register_again(&mut self, pool: &PoolName, now: Duration) {
        let mut tickets: Vec<Ticket> = self
            .waiting
            .values()
            .filter(|w| w.ticket.pool == *pool)
            .map(|w| w.renewed(now))
            .collect();
        tickets.sort_by_key(|t| t.id);
        for ticket in tickets {
            self.register(ticket);
        }
    }

    /// Notes who is alive; tells whether that has changed.
    fn note_members(&mut self, now: Duration) -> bool {
        let live: Vec<BoxName> = self.members.live(now).cloned().collect();
        let changed = live != self.live;
        if changed {
            let gone: Vec<BoxName> =
                self.live.iter().filter(|n| !live.contains(n)).cloned().collect();
            let fresh: Vec<BoxName> =
                live.iter().filter(|n| !self.live.contains(n)).cloned().collect();
            self.live = live;
            for name in gone {
                self.out.push(Output::LogChange(Change::Member { name, live: false }));
            }
            for name in fresh {
                self.out.push(Output::LogChange(Change::Member { name, live: true }));
            }
        }
        for name in self.members.departed(now) {
            self.forget_router(&name, now);
        }
        changed
    }

    /// Notes which start of a box was heard; a new one has forgotten what the old one asked for.
    pub(super) fn note_incarnation(&mut self, name: &BoxName, now: Duration) {
        let Some(incarnation) = self.members.incarnation(name) else { return };
        let before = self.incarnations.insert(name.clone(), incarnation);
        if before.is_some_and(|b| b != incarnation) {
            self.forget_router(name, now);
        }
    }

    /// Frees what a router held that is gone.
    pub(super) fn forget_router(&mut self, name: &BoxName, now: Duration) {
        let mut actions = Vec::new();
        for pool in self.pools.values_mut() {
            pool.lost_router(name, now, &mut actions);
        }
        self.perform(actions);
    }
}
