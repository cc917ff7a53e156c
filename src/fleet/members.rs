//! Membership and failure detection: which boxes are alive, as one box sees it.
//!
//! Each box sends a heartbeat every [`HEARTBEAT_INTERVAL`]. In a small fleet the heartbeat goes to
//! all other boxes, and a box that isn't heard from counts as dead. In a larger fleet it goes to a
//! few boxes, drawn anew each time, one of which has to reply. A box that doesn't reply is
//! suspected. Suspicions and their refutations spread by gossip at once, and a suspicion that isn't
//! refuted in time means that the box is dead (SWIM, Das et al., 2002). Traffic and work of a box
//! thus don't grow with the fleet, and the time to detect a failure grows only with the logarithm of
//! the fleet's size.

mod member;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::evacuated::EvacuatedZones;
use crate::fleet::members::member::LivenessRule;
pub use crate::fleet::members::member::Member;
use crate::fleet::revision::Revision;
use crate::fleet::rollout::RolloutReport;
use crate::names::BoxName;
use crate::names::ZoneName;

/// Time between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// In a small fleet, where each box hears from all others, a box counts as dead after this time
/// without a heartbeat: five intervals, and one more in case a heartbeat is lost.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2400);

/// A box that has received no heartbeat for this long considers itself cut off, and no other box
/// alive.
const ISOLATED_AFTER: Duration = Duration::from_millis(4800);

/// A box that doesn't reply to probes for this long is suspected: three heartbeats, each of which
/// repeats the probe, so that a single lost datagram raises no suspicion.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time between gossip messages while there are updates to spread.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);

/// Gossip messages per interval, each to newly drawn boxes: enough to report the loss of a zone of
/// two hundred boxes.
pub const GOSSIP_ROUNDS: usize = 4;

/// A box counts as dead once a suspicion has not been refuted for this long: twenty times
/// [`GOSSIP_INTERVAL`]. At a fan-out of two, nine intervals spread the suspicion to three to the
/// power of nine boxes, and nine more spread the refutation.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2000);

/// A box that has shown no sign of life for this long is removed, unless it is a seed.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Up to this many other boxes, heartbeats go to all of them. Above, gossip costs less processor
/// time.
const FULL_MESH_MAX: usize = 16;

/// Boxes that get each heartbeat or gossip message in a larger fleet.
const FANOUT: usize = 2;

/// Boxes probed with each heartbeat, and how many more are probed at most while probes are
/// unanswered. A few boxes that are cut off thus detect the loss of all others as fast as a whole
/// fleet detects the loss of one box.
const PROBES_PER_HEARTBEAT: usize = 1;
const EXTRA_PROBES_MAX: usize = 24;

/// Updates per heartbeat, so that it fits into a frame; an update takes seven bytes.
const UPDATES_MAX: usize = 128;

/// Updates per heartbeat about randomly drawn boxes, for receivers that have missed some gossip.
const RANDOM_UPDATES_MAX: usize = 32;

/// Expected number of boxes whose reply to a new box includes updates: enough to cover hundreds of
/// boxes several times over. If all replies did, boxes that start together would send each other
/// the same updates.
const REPLIES_WITH_UPDATES: usize = 16;

/// Live boxes without a report that are asked for one with each heartbeat.
const REPORT_REQUESTS_MAX: usize = 16;

/// Unit of [`LivenessUpdate::age_tenths_s`].
const AGE_UNIT: Duration = Duration::from_millis(100);

/// What a box reports about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BoxReport {
    pub name: BoxName,
    pub zone: ZoneName,
    /// Address at which it serves other boxes.
    pub addr: SocketAddr,
    /// Identifies a run of its process.
    pub incarnation: u64,
    /// CPU limit, in cores.
    pub cores: f64,
    /// Version of its configuration; zero for none.
    pub version: u64,
    /// Whether it reaches the store.
    pub reaches_store: bool,
    /// Whether it knows what engines have cached.
    pub is_warm: bool,
    /// Digest of the upstreams that it lists.
    pub upstreams_digest: u64,
    /// The revision of the store up to which that list is complete.
    pub revision: Revision,
    /// Zones whose engines receive no requests.
    pub evacuated: EvacuatedZones,
    /// Digest of the requests that it holds back; zero for none.
    pub held_digest: u64,
    /// The stage of each roll-out, as far as it knows.
    pub rollouts: Vec<RolloutReport>,
}

/// How long ago a box was last known to be alive, or failed to reply to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessUpdate {
    pub ip: IpAddr,
    pub age_tenths_s: u8,
    /// Whether it failed to reply to a probe at that time.
    pub is_suspicion: bool,
}

/// The heartbeat that boxes send each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    pub report: BoxReport,
    /// Whether the sender asks for a heartbeat in return: as a probe, or because it has no report
    /// of the receiver yet.
    pub requests_reply: bool,
    /// What the sender knows about other boxes.
    pub updates: Vec<LivenessUpdate>,
}

/// What a heartbeat to another box asks for and includes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatOptions {
    /// Whether it asks for a heartbeat in return.
    pub requests_reply: bool,
    /// Whether it includes updates about other boxes.
    pub includes_updates: bool,
}

/// What follows from a received heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatOutcome {
    /// The boxes to which to send a heartbeat at once: boxes that were unknown so far, and the
    /// sender if it asks for one, suspects this box or wasn't known to be alive.
    pub reply_to: BTreeSet<IpAddr>,
    /// Whether the sender wasn't known to be alive.
    pub is_new: bool,
    /// Whether the sender has restarted since its last heartbeat.
    pub has_restarted: bool,
}

/// The other boxes of the fleet.
#[derive(Debug)]
pub struct Members {
    own_ip: IpAddr,
    known: BTreeMap<IpAddr, Member>,
    /// Boxes that have not replied to a probe yet, and when it was first sent.
    probes: BTreeMap<IpAddr, Duration>,
    /// When the last heartbeat from any box was received.
    received_at: Duration,
}

impl Members {
    /// Creates the empty member list of the box at `own_ip`.
    pub fn new(own_ip: IpAddr) -> Members {
        Members {
            own_ip,
            known: BTreeMap::new(),
            probes: BTreeMap::new(),
            received_at: Duration::ZERO,
        }
    }

    /// Adds a configured address at which there may be a box.
    pub fn add_seed(&mut self, ip: IpAddr, now: Duration) {
        if ip != self.own_ip {
            self.known.entry(ip).or_insert_with(|| Member::new(now)).is_seed = true;
        }
    }

    /// Returns the other boxes that are alive.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = (IpAddr, &Member)> {
        let rule = self.liveness_rule(now);
        self.known.iter().filter(move |(_, m)| m.is_live(rule, now)).map(|(ip, m)| (*ip, m))
    }

    /// Returns the number of other boxes, including those that died lately.
    pub fn known_count(&self) -> usize {
        self.known.len()
    }

    /// Returns another box's last report.
    pub fn report(&self, ip: IpAddr) -> Option<&BoxReport> {
        self.known.get(&ip)?.report.as_ref()
    }

    fn liveness_rule(&self, now: Duration) -> LivenessRule {
        if self.known.len() <= FULL_MESH_MAX {
            LivenessRule::Timeout
        } else if self.received_at + ISOLATED_AFTER <= now {
            LivenessRule::Isolated
        } else {
            LivenessRule::Suspicion
        }
    }

    /// Processes a received heartbeat.
    pub fn receive(&mut self, heartbeat: &HeartbeatMessage, now: Duration) -> HeartbeatOutcome {
        let mut outcome = HeartbeatOutcome::default();
        let sender = heartbeat.report.addr.ip();
        if sender == self.own_ip {
            return outcome;
        }
        self.received_at = now;
        self.probes.remove(&sender);
        let rule = self.liveness_rule(now);
        for update in heartbeat.updates.iter().filter(|u| u.ip != sender) {
            if update.ip == self.own_ip {
                // Refutes a suspicion of this box at once.
                outcome.reply_to.extend(update.is_suspicion.then_some(sender));
                continue;
            }
            let member = self.known.entry(update.ip).or_insert_with(|| Member::new(now));
            let Some(at) = now.checked_sub(AGE_UNIT * u32::from(update.age_tenths_s)) else {
                continue;
            };
            if update.is_suspicion {
                member.suspect(at);
                continue;
            }
            if member.was_never_alive() {
                outcome.reply_to.insert(update.ip);
            }
            // Ages are rounded up by the sender, so a box never seems alive later than it was.
            member.mark_alive(at);
            member.was_live |= member.is_live(rule, now);
        }
        let member = self.known.entry(sender).or_insert_with(|| Member::new(now));
        outcome.is_new = !member.is_live(rule, now) || member.report.is_none();
        let previous = member.report.as_ref();
        outcome.has_restarted =
            previous.is_some_and(|r| r.incarnation != heartbeat.report.incarnation);
        member.set_report(&heartbeat.report, now);
        if outcome.is_new || heartbeat.requests_reply {
            outcome.reply_to.insert(sender);
        }
        outcome
    }

    /// Returns the boxes that have died since the last call.
    pub fn take_dead(&mut self, now: Duration) -> Vec<IpAddr> {
        let mut dead = Vec::new();
        let rule = self.liveness_rule(now);
        for (ip, member) in &mut self.known {
            if member.was_live && !member.is_live(rule, now) {
                member.was_live = false;
                dead.push(*ip);
            }
        }
        dead
    }

    /// Returns the receivers of the next heartbeat: all boxes in a small fleet, else a few live
    /// ones, those with unanswered probes, one dead box, some without a report, and all live ones
    /// of `zone`.
    pub fn heartbeat_targets(
        &mut self,
        zone: Option<&ZoneName>,
        now: Duration,
        rng: &mut impl Rng,
    ) -> BTreeMap<IpAddr, HeartbeatOptions> {
        let rule = self.liveness_rule(now);
        self.known.retain(|_, m| m.is_live(rule, now) || !m.can_be_forgotten(now));
        if self.known.len() <= FULL_MESH_MAX {
            self.probes.clear();
            let options = |m: &Member| HeartbeatOptions {
                requests_reply: m.report.is_none(),
                includes_updates: true,
            };
            return self.known.iter().map(|(ip, m)| (*ip, options(m))).collect();
        }
        self.suspect_unanswered(now);
        let (live, dead): (Vec<_>, Vec<_>) =
            self.known.iter().partition(|(_, m)| m.is_live(rule, now));
        let (reported, unreported): (Vec<_>, Vec<_>) =
            live.into_iter().partition(|(_, m)| m.report.is_some());
        let is_local = |m: &Member| zone.is_some_and(|zone| m.is_in(zone));
        let local = reported.iter().filter(|(_, m)| is_local(m)).map(|(ip, _)| **ip);
        let mut targets: BTreeMap<IpAddr, HeartbeatOptions> =
            local.map(|ip| (ip, HeartbeatOptions::default())).collect();
        let asked = unreported.into_iter().choose_multiple(rng, REPORT_REQUESTS_MAX).into_iter();
        let asked = asked.map(|(ip, _)| *ip).chain(self.probes.keys().copied());
        targets
            .extend(asked.map(|ip| {
                (ip, HeartbeatOptions { requests_reply: true, includes_updates: false })
            }));
        let unsuspected: Vec<_> = reported.into_iter().filter(|(_, m)| !m.is_suspected()).collect();
        let probe_count = PROBES_PER_HEARTBEAT + self.probes.len().min(EXTRA_PROBES_MAX);
        let sample = unsuspected.into_iter().choose_multiple(rng, FANOUT.max(probe_count));
        let receivers = sample.iter().take(FANOUT).map(|(ip, _)| {
            (
                **ip,
                HeartbeatOptions {
                    requests_reply: self.probes.contains_key(*ip),
                    includes_updates: true,
                },
            )
        });
        targets.extend(receivers);
        let dead_target = dead.into_iter().choose(rng);
        targets.extend(dead_target.map(|(ip, _)| {
            (*ip, HeartbeatOptions { requests_reply: true, includes_updates: true })
        }));
        let to_probe: Vec<IpAddr> = sample.iter().take(probe_count).map(|(ip, _)| **ip).collect();
        for ip in to_probe {
            targets.entry(ip).or_default().requests_reply = true;
            self.probes.entry(ip).or_insert(now);
        }
        targets
    }

    /// Suspects boxes that have not replied to a probe within [`PROBE_TIMEOUT`].
    fn suspect_unanswered(&mut self, now: Duration) {
        let overdue: Vec<IpAddr> = self
            .probes
            .iter()
            .filter(|(_, at)| **at + PROBE_TIMEOUT <= now)
            .map(|(ip, _)| *ip)
            .collect();
        for ip in overdue {
            self.probes.remove(&ip);
            self.known.get_mut(&ip).into_iter().for_each(|member| member.suspect(now));
        }
    }

    /// Returns the live boxes of a zone.
    pub fn live_in_zone(&self, zone: &ZoneName, now: Duration) -> Vec<IpAddr> {
        self.live(now).filter(|(_, m)| m.is_in(zone)).map(|(ip, _)| ip).collect()
    }

    /// Returns the updates to include in a reply to a new box: all boxes reply, and a few of the
    /// replies include updates.
    pub fn reply_updates(&self, now: Duration, rng: &mut impl Rng) -> Vec<LivenessUpdate> {
        let includes_updates = rng.random_range(0..self.known.len().max(1)) < REPLIES_WITH_UPDATES;
        if includes_updates { self.random_updates(UPDATES_MAX, now, rng) } else { Vec::new() }
    }

    /// Returns the updates to include in a heartbeat: pending gossip, then some randomly drawn
    /// ones, then as many recent suspicions as fit, which a box may have missed while the boxes
    /// that would have passed them on are cut off.
    pub fn heartbeat_updates(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<LivenessUpdate> {
        if self.known.len() <= FULL_MESH_MAX {
            return self.random_updates(UPDATES_MAX, now, rng);
        }
        let mut updates = self.take_gossip(now);
        let left = (UPDATES_MAX - updates.len()).min(RANDOM_UPDATES_MAX);
        updates.extend(self.random_updates(left, now, rng));
        let left = UPDATES_MAX - updates.len();
        let suspicions = self.known.iter().filter(|(_, m)| m.is_suspected());
        let suspicions = suspicions.filter_map(|(ip, m)| m.update(*ip, now));
        updates.extend(suspicions.choose_multiple(rng, left));
        updates
    }

    /// Returns pending gossip and its receivers; `None` in a small fleet, where heartbeats go to
    /// all.
    pub fn gossip(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<(Vec<IpAddr>, Vec<LivenessUpdate>)> {
        if self.known.len() <= FULL_MESH_MAX || self.known.values().all(|m| m.sends_left == 0) {
            return None;
        }
        // A box that hasn't reported since others stopped replying may be cut off with them.
        let live = || self.live(now).filter(|(_, m)| !m.is_suspected());
        let recent = live().filter(|(_, m)| m.has_reported_within(PROBE_TIMEOUT, now));
        let mut to = recent.map(|(ip, _)| ip).choose_multiple(rng, FANOUT);
        if to.len() < FANOUT {
            to = live().map(|(ip, _)| ip).choose_multiple(rng, FANOUT);
        }
        Some((to, self.take_gossip(now)))
    }

    fn take_gossip(&mut self, now: Duration) -> Vec<LivenessUpdate> {
        let mut pending: Vec<(&IpAddr, &mut Member)> =
            self.known.iter_mut().filter(|(_, m)| m.sends_left != 0).collect();
        pending.sort_by_key(|(_, m)| Reverse(m.sends_left));
        pending
            .into_iter()
            .take(UPDATES_MAX)
            .filter_map(|(ip, m)| m.take_update(*ip, now))
            .collect()
    }

    /// Returns updates about at most `max` randomly drawn boxes.
    fn random_updates(&self, max: usize, now: Duration, rng: &mut impl Rng) -> Vec<LivenessUpdate> {
        let known = self.known.iter().filter_map(|(ip, m)| m.update(*ip, now));
        known.choose_multiple(rng, max)
    }
}
