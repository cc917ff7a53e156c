//! Membership: which boxes of the fleet are alive, as one box sees it.
//!
//! The boxes of an availability zone gossip: each keeps a table of heartbeat counters, raises its
//! own and sends the table to a few others at every heartbeat. Since gossip is slow, a box whose
//! counter hasn't risen for a while is probed directly, and suspected if it doesn't answer. A
//! suspected box gets no roles, but is still sent messages until the box list drops it. Traffic
//! grows with the size of the zone, not of the fleet: of other zones only the box list is known.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::names::BoxName;
use crate::names::ZoneName;
use crate::peer::message::HeartbeatEntry;
use crate::util;

/// A box counts as dead after this many times [`GossipSettings::suspect_after`] without a
/// heartbeat.
const DEAD_FACTOR: u32 = 3;

/// Parameters of the membership protocol; the benches vary them.
#[derive(Clone, Copy, Debug)]
pub struct GossipSettings {
    pub interval: Duration,
    /// Boxes that each heartbeat is sent to.
    pub fanout: usize,
    /// Time without a heartbeat after which a box is probed.
    pub probe_after: Duration,
    /// Time without a heartbeat after which a box is suspected.
    pub suspect_after: Duration,
}

impl Default for GossipSettings {
    fn default() -> GossipSettings {
        GossipSettings {
            interval: Duration::from_millis(1000),
            fanout: 2,
            probe_after: Duration::from_millis(4000),
            suspect_after: Duration::from_millis(5000),
        }
    }
}

/// A box as the platform's box list or the settings name it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBox {
    pub name: BoxName,
    pub zone: ZoneName,
    /// Its peer port.
    pub peer: SocketAddr,
    /// Whether it is shutting down.
    #[serde(default)]
    pub leaving: bool,
}

/// What one box knows of the others.
#[derive(Debug)]
pub struct Members {
    own_name: BoxName,
    zone: ZoneName,
    settings: GossipSettings,
    listed: BTreeMap<BoxName, ListedBox>,
    states: BTreeMap<BoxName, MemberState>,
    own_heartbeat: HeartbeatEntry,
    next_heartbeat_at: Duration,
}

#[derive(Debug)]
struct MemberState {
    heartbeat: HeartbeatEntry,
    received_at: Duration,
    /// Whether a probe was sent since the last heartbeat.
    probed: bool,
    unreachable: bool,
    reported_dead: bool,
}

impl MemberState {
    fn new(heartbeat: &HeartbeatEntry, now: Duration) -> MemberState {
        let heartbeat = heartbeat.clone();
        MemberState {
            heartbeat,
            received_at: now,
            probed: false,
            unreachable: false,
            reported_dead: false,
        }
    }
}

impl Members {
    /// A table that contains only this box.
    pub fn new(
        own_name: &BoxName,
        zone: &ZoneName,
        incarnation: u64,
        settings: GossipSettings,
    ) -> Members {
        Members {
            own_name: own_name.clone(),
            zone: zone.clone(),
            settings,
            listed: BTreeMap::new(),
            states: BTreeMap::new(),
            own_heartbeat: HeartbeatEntry {
                name: own_name.clone(),
                incarnation,
                counter: 0,
                leaving: false,
            },
            next_heartbeat_at: Duration::ZERO,
        }
    }

    /// Applies a newer box list. Boxes that it drops are forgotten unless they are alive, because
    /// the list lags.
    pub fn update_box_list(&mut self, boxes: &[ListedBox], now: Duration) {
        let alive: Vec<BoxName> = self.live(now).cloned().collect();
        let fresh: BTreeMap<_, _> = boxes.iter().map(|b| (b.name.clone(), b.clone())).collect();
        // A list without this box is older than this box, so it may only add.
        if fresh.contains_key(&self.own_name) {
            self.listed.retain(|name, _| alive.contains(name));
        }
        self.listed.extend(fresh);
        let listed = &self.listed;
        self.states.retain(|name, _| listed.contains_key(name));
    }

    /// The address of a box's peer port.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.listed.get(name).map(|b| b.peer)
    }

    /// This box and those of its zone with a recent heartbeat, except leaving ones.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &BoxName> {
        let others = self.states.iter().filter(move |(_, state)| self.is_live(state, now));
        let own = (!self.own_heartbeat.leaving).then_some(&self.own_name);
        own.into_iter().chain(others.map(|(name, _)| name))
    }

    /// The box of this zone that has the role `key`. A leaving box gives its roles up, unless it
    /// is the last one alive.
    pub fn owner(&self, key: &str, now: Duration) -> &BoxName {
        util::rendezvous(key, self.live(now)).unwrap_or(&self.own_name)
    }

    /// The box that would take the role `key` over from its owner.
    pub fn standby(&self, key: &str, now: Duration) -> Option<&BoxName> {
        let owner = self.owner(key, now);
        util::rendezvous(key, self.live(now).filter(|name| *name != owner))
    }

    /// For each other zone, the box that probably has the role `key` there, judged by the box list
    /// alone.
    pub fn owners_in_other_zones(&self, key: &str) -> Vec<(ZoneName, BoxName)> {
        let mut zones: BTreeMap<&ZoneName, Vec<&BoxName>> = BTreeMap::new();
        for listed in self.listed.values().filter(|b| b.zone != self.zone && !b.leaving) {
            zones.entry(&listed.zone).or_default().push(&listed.name);
        }
        let guess = |(zone, names): (&ZoneName, Vec<&BoxName>)| {
            let name = util::rendezvous(key, names.into_iter())?;
            Some((zone.clone(), name.clone()))
        };
        zones.into_iter().filter_map(guess).collect()
    }

    /// The heartbeat to send now and its receivers; `None` between heartbeats.
    pub fn next_heartbeat(
        &mut self,
        now: Duration,
        rng: &mut SmallRng,
    ) -> Option<(Vec<HeartbeatEntry>, Vec<BoxName>)> {
        if now < self.next_heartbeat_at {
            return None;
        }
        // Jitter keeps the boxes of a zone from sending in step.
        let jitter = rng.random_range(0..=self.settings.interval.as_millis() as u64 / 10);
        self.next_heartbeat_at = now + self.settings.interval + Duration::from_millis(jitter);
        self.own_heartbeat.counter += 1;
        // The first one goes to all, so that a restarted box gets its roles at once.
        let fanout =
            if self.own_heartbeat.counter == 1 { usize::MAX } else { self.settings.fanout };
        let fanout = fanout.min(self.listed.len());
        let to = self.zone_peers().choose_multiple(rng, fanout);
        Some((self.heartbeat_entries(now), to))
    }

    /// The boxes to probe now: those without a recent heartbeat, each once until its next
    /// heartbeat.
    pub fn take_due_probes(&mut self, now: Duration) -> Vec<BoxName> {
        let mut names = Vec::new();
        for (name, state) in &mut self.states {
            let is_due = state.received_at + self.settings.probe_after <= now;
            if is_due && !state.probed && !state.unreachable && !state.heartbeat.leaving {
                state.probed = true;
                names.push(name.clone());
            }
        }
        names
    }

    pub fn own_heartbeat(&self) -> &HeartbeatEntry {
        &self.own_heartbeat
    }

    /// Marks this box as leaving. Returns the heartbeat that announces it, and its receivers.
    pub fn leave(&mut self, now: Duration) -> (Vec<HeartbeatEntry>, Vec<BoxName>) {
        self.own_heartbeat.leaving = true;
        self.own_heartbeat.counter += 1;
        (self.heartbeat_entries(now), self.zone_peers().collect())
    }

    /// Whether this box has announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.own_heartbeat.leaving
    }

    /// Merges heartbeats. Those older than the known ones change nothing.
    pub fn receive(&mut self, entries: &[HeartbeatEntry], now: Duration) {
        for entry in entries.iter().filter(|e| e.name != self.own_name) {
            let is_newer = self.states.get(&entry.name).is_none_or(|known| {
                (known.heartbeat.incarnation, known.heartbeat.counter)
                    < (entry.incarnation, entry.counter)
            });
            if is_newer {
                self.states.insert(entry.name.clone(), MemberState::new(entry, now));
            }
        }
    }

    /// Marks a box that refuses connections as suspected until its next heartbeat.
    pub fn mark_unreachable(&mut self, name: &str) {
        if let Some(state) = self.states.get_mut(name) {
            state.unreachable = true;
        }
    }

    /// A random box of another zone.
    pub fn random_box_in_other_zone(&self, rng: &mut SmallRng) -> Option<BoxName> {
        let is_elsewhere = |b: &&ListedBox| b.zone != self.zone && !b.leaving;
        self.listed.values().filter(is_elsewhere).choose(rng).map(|b| b.name.clone())
    }

    /// The boxes without a heartbeat for so long that their tickets and grants count as lost; each
    /// is returned once until its next heartbeat.
    pub fn take_dead(&mut self, now: Duration) -> Vec<BoxName> {
        let after = self.settings.suspect_after * DEAD_FACTOR;
        let mut names = Vec::new();
        for (name, state) in &mut self.states {
            if !state.reported_dead && state.received_at + after <= now {
                state.reported_dead = true;
                names.push(name.clone());
            }
        }
        names
    }

    pub fn is_in_own_zone(&self, name: &str) -> bool {
        self.listed.get(name).is_some_and(|b| b.zone == self.zone)
    }

    /// The incarnation in a box's latest heartbeat.
    pub fn incarnation(&self, name: &str) -> Option<u64> {
        self.states.get(name).map(|s| s.heartbeat.incarnation)
    }

    fn is_live(&self, state: &MemberState, now: Duration) -> bool {
        now < state.received_at + self.settings.suspect_after
            && !state.unreachable
            && !state.heartbeat.leaving
    }

    fn zone_peers(&self) -> impl Iterator<Item = BoxName> {
        let is_here = |b: &&ListedBox| b.zone == self.zone && b.name != self.own_name;
        self.listed.values().filter(is_here).map(|b| b.name.clone())
    }

    /// Includes only boxes with a recent heartbeat, so that a dead box's last one doesn't circulate
    /// for ever.
    fn heartbeat_entries(&self, now: Duration) -> Vec<HeartbeatEntry> {
        let is_fresh = |s: &&MemberState| now < s.received_at + self.settings.suspect_after;
        let others = self.states.values().filter(is_fresh).map(|s| s.heartbeat.clone());
        std::iter::once(self.own_heartbeat.clone()).chain(others).collect()
    }
}
