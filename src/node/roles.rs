//! Which box dispatches which pool, and the handover when that changes.

use std::time::Duration;

use crate::dispatch::ledger::ReplicaId;
use crate::dispatch::pool::PoolDispatcher;
use crate::names::BoxName;
use crate::names::PoolName;
use crate::node::Change;
use crate::node::Node;
use crate::node::Output;
use crate::peer::message::Message;
use crate::peer::message::RunningGrant;
use crate::peer::message::Ticket;

/// One in this many heartbeats also goes to another zone, so that a configuration spreads there
/// when the platform cannot deliver it.
const HEARTBEATS_PER_OTHER_ZONE: u64 = 4;

impl Node {
    /// Sends the heartbeats and probes that are due.
    pub(super) fn send_heartbeats(&mut self, now: Duration) {
        for name in self.members.take_due_probes(now) {
            self.send(name, Message::Probe {});
        }
        let Some((entries, to)) = self.members.next_heartbeat(now, &mut self.rng) else { return };
        self.heartbeat_count += 1;
        let revision = self.cfg.number;
        for name in to {
            self.send(name, Message::Heartbeat { entries: entries.clone(), revision });
        }
        if self.heartbeat_count.is_multiple_of(HEARTBEATS_PER_OTHER_ZONE)
            && let Some(name) = self.members.random_box_in_other_zone(&mut self.rng)
        {
            self.send(name, Message::Heartbeat { entries: Vec::new(), revision });
        }
    }

    /// Updates the live boxes and the dispatcher of each pool, and acts on changes. Cheap when the
    /// set of live boxes is unchanged.
    pub(super) fn refresh_roles(&mut self, now: Duration) {
        let changed = self.update_live_boxes(now);
        if !changed && !self.roles_stale {
            return;
        }
        self.roles_stale = false;
        let pools: Vec<PoolName> = self.cfg.catalog.pools.iter().map(|p| p.name.clone()).collect();
        for pool in pools {
            let dispatcher = self.members.owner(&pool, now).clone();
            let previous = self.dispatcher_boxes.insert(pool.clone(), dispatcher.clone());
            if previous.as_ref() != Some(&dispatcher) {
                self.dispatcher_changed(&pool, previous, &dispatcher, now);
            }
        }
        let cfg = self.cfg.clone();
        self.dispatcher_boxes.retain(|name, _| cfg.pool(name).is_some());
    }

    /// The dispatcher or standby copy of a pool on this box, created on first use.
    pub(super) fn pool_or_insert(&mut self, name: &PoolName) -> Option<&mut PoolDispatcher> {
        if !self.pools.contains_key(name) {
            let replica = ReplicaId {
                name: self.identity.name.clone(),
                incarnation: self.next_replica_incarnation,
            };
            self.next_replica_incarnation += 1;
            let mut pool = PoolDispatcher::new(
                name,
                &self.identity.zone,
                replica,
                self.cfg.clone(),
                self.tuning,
            )?;
            pool.upstreams_mut().set_listed_leaving(&self.listed_leaving);
            self.pools.insert(name.clone(), pool);
        }
        self.pools.get_mut(name)
    }

    fn dispatcher_changed(
        &mut self,
        pool: &PoolName,
        previous: Option<BoxName>,
        dispatcher: &BoxName,
        now: Duration,
    ) {
        let is_local = *dispatcher == self.identity.name;
        let was_local = previous.as_ref() == Some(&self.identity.name);
        if is_local || was_local {
            let change =
                Change::Dispatcher { pool: pool.clone(), dispatcher: dispatcher.clone(), is_local };
            self.outputs.push(Output::LogChange(change));
        }
        if was_local && let Some(old) = self.pools.remove(pool) {
            for message in old.handover_messages(now) {
                self.send(dispatcher.clone(), message);
            }
        }
        if is_local && let Some(pool) = self.pool_or_insert(pool) {
            pool.start_dispatching(now);
        }
        if let Some(previous) = previous {
            self.transfer_grants(pool, &previous, dispatcher);
        }
        self.reregister_waiting(pool, now);
    }

    /// Reports to a new dispatcher the grants that its predecessor gave to this router.
    fn transfer_grants(&mut self, pool: &PoolName, previous: &BoxName, dispatcher: &BoxName) {
        let mut grants = Vec::new();
        for running in self.running.values_mut() {
            if running.ticket.pool == *pool && running.grant.dispatcher == *previous {
                running.grant.dispatcher = dispatcher.clone();
                grants.push(RunningGrant {
                    grant: running.grant.id,
                    workspace: running.ticket.workspace.clone(),
                    service: running.ticket.service.clone(),
                    upstream: running.grant.upstream.clone(),
                    charged_cost: running.grant.charged_cost,
                });
            }
        }
        grants.sort_by_key(|r| r.grant);
        if !grants.is_empty() {
            self.send(
                dispatcher.clone(),
                Message::RunningGrants { pool: pool.clone(), router: BoxName::none(), grants },
            );
        }
    }

    /// Registers the waiting tickets of a pool with its new dispatcher.
    fn reregister_waiting(&mut self, pool: &PoolName, now: Duration) {
        let mut tickets: Vec<Ticket> = self
            .waiting
            .values()
            .filter(|w| w.ticket.pool == *pool)
            .map(|w| w.with_remaining_deadline(now))
            .collect();
        tickets.sort_by_key(|t| t.id);
        for ticket in tickets {
            self.register(ticket);
        }
    }

    /// Updates the set of live boxes; returns whether it changed.
    fn update_live_boxes(&mut self, now: Duration) -> bool {
        let live: Vec<BoxName> = self.members.live(now).cloned().collect();
        let changed = live != self.live_boxes;
        if changed {
            let removed: Vec<BoxName> =
                self.live_boxes.iter().filter(|n| !live.contains(n)).cloned().collect();
            let added: Vec<BoxName> =
                live.iter().filter(|n| !self.live_boxes.contains(n)).cloned().collect();
            self.live_boxes = live;
            for name in removed {
                self.outputs.push(Output::LogChange(Change::Member { name, live: false }));
            }
            for name in added {
                self.outputs.push(Output::LogChange(Change::Member { name, live: true }));
            }
        }
        for name in self.members.take_dead(now) {
            self.release_router(&name, now);
        }
        changed
    }

    /// Records the incarnation of a box. A new incarnation has lost the requests of the previous
    /// one, so their tickets and grants are removed.
    pub(super) fn update_incarnation(&mut self, name: &BoxName, now: Duration) {
        let Some(incarnation) = self.members.incarnation(name) else { return };
        let previous = self.incarnations.insert(name.clone(), incarnation);
        if previous.is_some_and(|known| known != incarnation) {
            self.release_router(name, now);
        }
    }

    /// Removes the tickets and grants of a router that has stopped.
    pub(super) fn release_router(&mut self, name: &BoxName, now: Duration) {
        let mut actions = Vec::new();
        for pool in self.pools.values_mut() {
            pool.record_lost_router(name, now, &mut actions);
        }
        self.perform(actions);
    }
}
