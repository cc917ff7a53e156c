//! Which boxes of a fleet are alive, as one box sees it.
//!
//! Inside an availability zone the boxes gossip: each keeps a table with a counter per box, raises
//! its own and sends the table to a few others at every heartbeat. Gossip takes its time: a box whose
//! counter hasn't risen for a while is probed directly, and if that is left unanswered, suspected: it gets no role, but is still told things, until the box list drops
//! it. What costs traffic is the zone's size, not the fleet's; of other zones only the box list is
//! known.

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

/// A box counts as departed after this many times the silence that makes it suspected.
const DEPARTED_FACTOR: u32 = 3;

/// How membership behaves; the benches vary it.
#[derive(Clone, Copy, Debug)]
pub struct GossipSettings {
    /// Time between heartbeats.
    pub interval: Duration,
    /// Boxes told at each heartbeat.
    pub fanout: usize,
    /// Silence after which a box is probed.
    pub probe_after: Duration,
    /// Silence after which a box is suspected.
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
    /// Unique name.
    pub name: BoxName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where its peers reach it.
    pub peer: SocketAddr,
    /// Whether it is about to go.
    #[serde(default)]
    pub leaving: bool,
}

/// What one box knows of the others.
#[derive(Debug)]
pub struct Members {
    me: BoxName,
    zone: ZoneName,
    gossip: GossipSettings,
    listed: BTreeMap<BoxName, ListedBox>,
    heard: BTreeMap<BoxName, Heard>,
    own: HeartbeatEntry,
    next: Duration,
}

#[derive(Debug)]
struct Heard {
    beat: HeartbeatEntry,
    at: Duration,
    /// Whether it was asked for a sign of life since.
    probed: bool,
    failed: bool,
    departed: bool,
}

impl Heard {
    fn new(beat: &HeartbeatEntry, now: Duration) -> Heard {
        let beat = beat.clone();
        Heard { beat, at: now, probed: false, failed: false, departed: false }
    }
}

impl Members {
    /// Knows only the own box.
    pub fn new(me: &BoxName, zone: &ZoneName, incarnation: u64, gossip: GossipSettings) -> Members {
        Members {
            me: me.clone(),
            zone: zone.clone(),
            gossip,
            listed: BTreeMap::new(),
            heard: BTreeMap::new(),
            own: HeartbeatEntry { name: me.clone(), incarnation, counter: 0, leaving: false },
            next: Duration::ZERO,
        }
    }

    /// Takes over a newer box list. Boxes that are gone from it are forgotten unless they still
    /// give signs of life: the list lags.
    pub fn update_box_list(&mut self, boxes: &[ListedBox], now: Duration) {
        let alive: Vec<BoxName> = self.live(now).cloned().collect();
        let fresh: BTreeMap<_, _> = boxes.iter().map(|b| (b.name.clone(), b.clone())).collect();
        // A list that doesn't name this box is older than this box: it only adds.
        if fresh.contains_key(&self.me) {
            self.listed.retain(|name, _| alive.contains(name));
        }
        self.listed.extend(fresh);
        let listed = &self.listed;
        self.heard.retain(|name, _| listed.contains_key(name));
    }

    /// Where a box's peer port is.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.listed.get(name).map(|b| b.peer)
    }

    /// The own box and those of its zone that gave a sign of life lately and stay.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &BoxName> {
        let heard = self.heard.iter().filter(move |(_, h)| self.is_live(h, now));
        let me = (!self.own.leaving).then_some(&self.me);
        me.into_iter().chain(heard.map(|(name, _)| name))
    }

    /// The box of the own zone that has the role `key`. A box that leaves gives its roles up, but
    /// the last one alive keeps them.
    pub fn owner(&self, key: &str, now: Duration) -> &BoxName {
        util::rendezvous(key, self.live(now)).unwrap_or(&self.me)
    }

    /// The box that would have the role `key` if its owner were gone.
    pub fn standby(&self, key: &str, now: Duration) -> Option<&BoxName> {
        let owner = self.owner(key, now);
        util::rendezvous(key, self.live(now).filter(|name| *name != owner))
    }

    /// For each other zone, the box that likely has the role `key` there, by the box list alone.
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

    /// The signs of life to send now, and to whom. Empty between heartbeats.
    pub fn next_heartbeat(
        &mut self,
        now: Duration,
        rng: &mut SmallRng,
    ) -> Option<(Vec<HeartbeatEntry>, Vec<BoxName>)> {
        if now < self.next {
            return None;
        }
        // Some jitter keeps the boxes of a zone from beating in step.
        let jitter = rng.random_range(0..=self.gossip.interval.as_millis() as u64 / 10);
        self.next = now + self.gossip.interval + Duration::from_millis(jitter);
        self.own.counter += 1;
        // The first one goes to all, so that a box that comes back gets its roles at once.
        let fanout = if self.own.counter == 1 { usize::MAX } else { self.gossip.fanout };
        let fanout = fanout.min(self.listed.len());
        let to = self.zone_peers().choose_multiple(rng, fanout);
        Some((self.table(now), to))
    }

    /// Boxes that haven't been heard for so long that they are to be asked now, each once per
    /// silence.
    pub fn take_due_probes(&mut self, now: Duration) -> Vec<BoxName> {
        let mut names = Vec::new();
        for (name, heard) in &mut self.heard {
            let silent = heard.at + self.gossip.probe_after <= now;
            if silent && !heard.probed && !heard.failed && !heard.beat.leaving {
                heard.probed = true;
                names.push(name.clone());
            }
        }
        names
    }

    /// The own sign of life, for whoever asks.
    pub fn own_heartbeat(&self) -> &HeartbeatEntry {
        &self.own
    }

    /// Tells everybody in the zone that this box is about to stop.
    pub fn leave(&mut self, now: Duration) -> (Vec<HeartbeatEntry>, Vec<BoxName>) {
        self.own.leaving = true;
        self.own.counter += 1;
        (self.table(now), self.zone_peers().collect())
    }

    /// Whether this box has said that it is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.own.leaving
    }

    /// Takes in signs of life. Older ones than known change nothing.
    pub fn receive(&mut self, table: &[HeartbeatEntry], now: Duration) {
        for beat in table.iter().filter(|b| b.name != self.me) {
            let fresher = self.heard.get(&beat.name).is_none_or(|known| {
                (known.beat.incarnation, known.beat.counter) < (beat.incarnation, beat.counter)
            });
            if fresher {
                self.heard.insert(beat.name.clone(), Heard::new(beat, now));
            }
        }
    }

    /// Notes that a box refuses connections: it is suspected until its next sign of life.
    pub fn mark_unreachable(&mut self, name: &str) {
        if let Some(heard) = self.heard.get_mut(name) {
            heard.failed = true;
        }
    }

    /// Any box of another zone.
    pub fn random_box_in_other_zone(&self, rng: &mut SmallRng) -> Option<BoxName> {
        let abroad = |b: &&ListedBox| b.zone != self.zone && !b.leaving;
        self.listed.values().filter(abroad).choose(rng).map(|b| b.name.clone())
    }

    /// Boxes that have been silent for so long that what they held counts as lost. Each is told
    /// once per silence.
    pub fn take_dead(&mut self, now: Duration) -> Vec<BoxName> {
        let after = self.gossip.suspect_after * DEPARTED_FACTOR;
        let mut names = Vec::new();
        for (name, heard) in &mut self.heard {
            if !heard.departed && heard.at + after <= now {
                heard.departed = true;
                names.push(name.clone());
            }
        }
        names
    }

    /// Whether a box is of the own zone.
    pub fn is_in_own_zone(&self, name: &str) -> bool {
        self.listed.get(name).is_some_and(|b| b.zone == self.zone)
    }

    /// Which start of a box was heard last.
    pub fn incarnation(&self, name: &str) -> Option<u64> {
        self.heard.get(name).map(|h| h.beat.incarnation)
    }

    fn is_live(&self, heard: &Heard, now: Duration) -> bool {
        now < heard.at + self.gossip.suspect_after && !heard.failed && !heard.beat.leaving
    }

    fn zone_peers(&self) -> impl Iterator<Item = BoxName> {
        let here = |b: &&ListedBox| b.zone == self.zone && b.name != self.me;
        self.listed.values().filter(here).map(|b| b.name.clone())
    }

    /// Only boxes that were heard lately are passed on, lest a dead one's last beat circulates.
    fn table(&self, now: Duration) -> Vec<HeartbeatEntry> {
        let fresh = |h: &&Heard| now < h.at + self.gossip.suspect_after;
        let others = self.heard.values().filter(fresh).map(|h| h.beat.clone());
        std::iter::once(self.own.clone()).chain(others).collect()
    }
}
