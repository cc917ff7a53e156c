//! Which boxes are alive, as one box sees it.
//!
//! Each box gives a sign of life every [`HEARTBEAT_INTERVAL`]. In a small fleet it goes to all others, and who isn't heard of falls
//! silent. In a larger one it goes to a few, drawn anew each time, of which one is to answer. Who doesn't is doubted; a
//! doubt is told from box to box at once, and so is that the box has been heard of since. One that stands for a while means
//! that the box is gone (SWIM, Das et al., 2002). So what a box sends, gets and works doesn't grow with the fleet, and the
//! time in which a loss is noticed only by its logarithm.

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
use crate::fleet::members::member::JudgedBy;
pub use crate::fleet::members::member::Member;
use crate::fleet::revision::Revision;
use crate::fleet::rollout::RolloutReport;
use crate::names::BoxName;
use crate::names::ZoneName;

/// Time between signs of life.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// A box that has not been heard of for this long doesn't count as alive where all hear of all: five
/// beats and a lost one.
const SILENT_AFTER: Duration = Duration::from_millis(2400);

/// A box that has heard of nobody for this long takes itself for cut off, and nobody for alive.
const ALONE_AFTER: Duration = Duration::from_millis(4800);

/// A box that is asked and gives no answer for this long is doubted: three beats, at each of which it is asked again, so
/// that a datagram that is lost is no reason.
const DOUBTED_AFTER: Duration = Duration::from_millis(1200);

/// Time between messages of news, where there are some.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);

/// Messages of news at a time, each to others: what a zone that is lost makes known of two hundred boxes.
pub const GOSSIP_ROUNDS: usize = 4;

/// A doubt that nobody has contradicted for this long stands: twenty times [`GOSSIP_INTERVAL`], where nine reach three to the
/// power of nine boxes, and as many bring the answer.
const STANDS_AFTER: Duration = Duration::from_millis(2000);

/// A box that has not been heard of for this long is forgotten, unless it is a seed.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(30);

/// Up to so many others are told each sign of life directly. Above it costs less processor time to
/// be told by a few.
const DIRECT_MAX: usize = 16;

/// Boxes told directly at each beat of a larger fleet.
const FANOUT: usize = 2;

/// Boxes that are to answer at each beat, and how many more of them there are at most while others haven't answered: a few
/// boxes that are cut off find out about all others as soon as a whole fleet does about one.
const PROBED: usize = 1;
const PROBED_MORE: usize = 24;

/// Ages told at a time, so that a sign of life fits a frame; an age takes seven bytes.
const AGES_MAX: usize = 128;

/// Ages told at a time of boxes of which there is no news, for who has missed some.
const KNOWN_AGES: usize = 32;

/// Of those that reply_to a box, so many tell it updates: as many as it takes to know of hundreds of boxes several
/// times over. Where all did, boxes that start together would be told the same by each other.
const GREETED_WITH_AGES: usize = 16;

/// Boxes that are alive, but whose own word hasn't come, asked for it at a time.
const ASKED_MAX: usize = 16;

/// The unit in which updates are told.
const AGE_UNIT: Duration = Duration::from_millis(100);

/// What a box says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BoxReport {
    /// The box.
    pub name: BoxName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it answers other boxes.
    pub addr: SocketAddr,
    /// Which start of it this is.
    pub incarnation: u64,
    /// What it may use of a core.
    pub cores: f64,
    /// The version of its configuration; zero for none.
    pub version: u64,
    /// Whether it sees the store.
    pub sees_store: bool,
    /// Whether it knows what engines keep.
    pub is_warm: bool,
    /// A digest of the upstreams that it lists.
    pub upstreams_digest: u64,
    /// The revision of the store up to which that list is whole.
    pub revision: Revision,
    /// The zones whose engines get nothing.
    pub evacuated: EvacuatedZones,
    /// A digest of the requests that it holds back; zero for none.
    pub held_digest: u64,
    /// How far roll-outs have come, as far as it knows.
    pub rollouts: Vec<RolloutReport>,
}

/// How long ago a box was known to be alive, or was asked in vain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessUpdate {
    /// The box.
    pub ip: IpAddr,
    /// Tenths of a second.
    pub age_tenths_s: u8,
    /// Whether it was asked in vain then.
    pub is_suspicion: bool,
}

/// A sign of life.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    /// What the box says of itself.
    pub report: BoxReport,
    /// Whether it requests_reply for a sign of life, since it doesn't know the other one yet.
    pub requests_reply: bool,
    /// What it knows of others.
    pub updates: Vec<LivenessUpdate>,
}

/// How another box is given a sign of life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatOptions {
    /// Whether it is asked for one.
    pub requests_reply: bool,
    /// Whether it is told of others.
    pub includes_updates: bool,
}

/// What came of a sign of life.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatOutcome {
    /// The boxes that should get a sign of life at once: those never heard of before, and the sender
    /// if it requests_reply or wasn't known to be alive.
    pub reply_to: BTreeSet<IpAddr>,
    /// Whether the sender wasn't known to be alive.
    pub is_new: bool,
    /// Whether the sender has ended and started since it was last heard.
    pub has_restarted: bool,
}

/// The other boxes.
#[derive(Debug)]
pub struct Members {
    me: IpAddr,
    known: BTreeMap<IpAddr, Member>,
    /// Those that were asked and have not answered, and since when.
    asked: BTreeMap<IpAddr, Duration>,
    /// When any of them was heard last.
    heard_at: Duration,
}

impl Members {
    /// Nobody is known yet to the box at `me`.
    pub fn new(me: IpAddr) -> Members {
        Members { me, known: BTreeMap::new(), asked: BTreeMap::new(), heard_at: Duration::ZERO }
    }

    /// Adds a box that may be there.
    pub fn add_seed(&mut self, ip: IpAddr, now: Duration) {
        if ip != self.me {
            self.known.entry(ip).or_insert_with(|| Member::unheard(now)).is_seed = true;
        }
    }

    /// The others that are alive.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = (IpAddr, &Member)> {
        let by = self.judged_by(now);
        self.known.iter().filter(move |(_, m)| m.is_live(by, now)).map(|(ip, m)| (*ip, m))
    }

    /// How many others there are, or were lately.
    pub fn known_count(&self) -> usize {
        self.known.len()
    }

    /// Another box's last word.
    pub fn report(&self, ip: IpAddr) -> Option<&BoxReport> {
        self.known.get(&ip)?.report.as_ref()
    }

    fn judged_by(&self, now: Duration) -> JudgedBy {
        if self.known.len() <= DIRECT_MAX {
            JudgedBy::Silence
        } else if self.heard_at + ALONE_AFTER <= now {
            JudgedBy::Solitude
        } else {
            JudgedBy::Doubts
        }
    }

    /// Takes in a sign of life.
    pub fn receive(&mut self, beat: &HeartbeatMessage, now: Duration) -> HeartbeatOutcome {
        let mut heard = HeartbeatOutcome::default();
        let sender = beat.report.addr.ip();
        if sender == self.me {
            return heard;
        }
        self.heard_at = now;
        self.asked.remove(&sender);
        let by = self.judged_by(now);
        for age in beat.updates.iter().filter(|a| a.ip != sender) {
            if age.ip == self.me {
                // Who doubts this box hears at once that it lives.
                heard.reply_to.extend(age.is_suspicion.then_some(sender));
                continue;
            }
            let member = self.known.entry(age.ip).or_insert_with(|| Member::unheard(now));
            let Some(at) = now.checked_sub(AGE_UNIT * u32::from(age.age_tenths_s)) else {
                continue;
            };
            if age.is_suspicion {
                member.doubt(at);
                continue;
            }
            if member.is_unheard_of() {
                heard.reply_to.insert(age.ip);
            }
            // The age is rounded up when it is told, so what was heard later is never put back.
            member.was_alive(at);
            member.counts_as_live |= member.is_live(by, now);
        }
        let member = self.known.entry(sender).or_insert_with(|| Member::unheard(now));
        heard.is_new = !member.is_live(by, now) || member.report.is_none();
        let known = member.report.as_ref();
        heard.has_restarted = known.is_some_and(|r| r.incarnation != beat.report.incarnation);
        member.said(&beat.report, now);
        if heard.is_new || beat.requests_reply {
            heard.reply_to.insert(sender);
        }
        heard
    }

    /// The boxes that have fallen silent since the last call.
    pub fn take_dead(&mut self, now: Duration) -> Vec<IpAddr> {
        let mut silent = Vec::new();
        let by = self.judged_by(now);
        for (ip, member) in &mut self.known {
            if member.counts_as_live && !member.is_live(by, now) {
                member.counts_as_live = false;
                silent.push(*ip);
            }
        }
        silent
    }

    /// Whom to give the next sign of life, and how: all in a small fleet, else a few that are alive, those that have not
    /// answered yet, one that isn't alive, those whose own word is missing, and all of `zone`.
    pub fn heartbeat_targets(
        &mut self,
        zone: Option<&ZoneName>,
        now: Duration,
        rng: &mut impl Rng,
    ) -> BTreeMap<IpAddr, HeartbeatOptions> {
        let by = self.judged_by(now);
        self.known.retain(|_, m| m.is_live(by, now) || !m.is_forgotten(now));
        if self.known.len() <= DIRECT_MAX {
            self.asked.clear();
            let call = |m: &Member| HeartbeatOptions {
                requests_reply: m.report.is_none(),
                includes_updates: true,
            };
            return self.known.iter().map(|(ip, m)| (*ip, call(m))).collect();
        }
        self.doubt_unanswered(now);
        let (live, away): (Vec<_>, Vec<_>) =
            self.known.iter().partition(|(_, m)| m.is_live(by, now));
        let (said, unsaid): (Vec<_>, Vec<_>) =
            live.into_iter().partition(|(_, m)| m.report.is_some());
        let is_here = |m: &Member| zone.is_some_and(|zone| m.is_of(zone));
        let here = said.iter().filter(|(_, m)| is_here(m)).map(|(ip, _)| **ip);
        let mut calls: BTreeMap<IpAddr, HeartbeatOptions> =
            here.map(|ip| (ip, HeartbeatOptions::default())).collect();
        let asked = unsaid.into_iter().choose_multiple(rng, ASKED_MAX).into_iter();
        let asked = asked.map(|(ip, _)| *ip).chain(self.asked.keys().copied());
        calls
            .extend(asked.map(|ip| {
                (ip, HeartbeatOptions { requests_reply: true, includes_updates: false })
            }));
        let sure: Vec<_> = said.into_iter().filter(|(_, m)| !m.is_doubted()).collect();
        let probed = PROBED + self.asked.len().min(PROBED_MORE);
        let few = sure.into_iter().choose_multiple(rng, FANOUT.max(probed));
        let few_told = few.iter().take(FANOUT).map(|(ip, _)| {
            (
                **ip,
                HeartbeatOptions {
                    requests_reply: self.asked.contains_key(*ip),
                    includes_updates: true,
                },
            )
        });
        calls.extend(few_told);
        let back = away.into_iter().choose(rng);
        calls.extend(back.map(|(ip, _)| {
            (*ip, HeartbeatOptions { requests_reply: true, includes_updates: true })
        }));
        let probed: Vec<IpAddr> = few.iter().take(probed).map(|(ip, _)| **ip).collect();
        for ip in probed {
            calls.entry(ip).or_default().requests_reply = true;
            self.asked.entry(ip).or_insert(now);
        }
        calls
    }

    /// Doubts those that were asked long enough ago.
    fn doubt_unanswered(&mut self, now: Duration) {
        let due: Vec<IpAddr> = self
            .asked
            .iter()
            .filter(|(_, at)| **at + DOUBTED_AFTER <= now)
            .map(|(ip, _)| *ip)
            .collect();
        for ip in due {
            self.asked.remove(&ip);
            self.known.get_mut(&ip).into_iter().for_each(|member| member.doubt(now));
        }
    }

    /// The boxes of a zone that are alive.
    pub fn live_in_zone(&self, zone: &ZoneName, now: Duration) -> Vec<IpAddr> {
        self.live(now).filter(|(_, m)| m.is_of(zone)).map(|(ip, _)| ip).collect()
    }

    /// What is told to a box that has just been heard: all reply_to it, and a few tell of others.
    pub fn reply_updates(&self, now: Duration, rng: &mut impl Rng) -> Vec<LivenessUpdate> {
        let is_told = rng.random_range(0..self.known.len().max(1)) < GREETED_WITH_AGES;
        if is_told { self.known_ages(AGES_MAX, now, rng) } else { Vec::new() }
    }

    /// What a sign of life includes_updates of others: what is news, and how long ago some others were alive.
    pub fn heartbeat_updates(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<LivenessUpdate> {
        if self.known.len() <= DIRECT_MAX {
            return self.known_ages(AGES_MAX, now, rng);
        }
        let mut updates = self.take_news(now);
        let left = (AGES_MAX - updates.len()).min(KNOWN_AGES);
        updates.extend(self.known_ages(left, now, rng));
        updates
    }

    /// What is news, and whom to tell it; nothing in a small fleet, where all hear of all.
    pub fn gossip(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<(Vec<IpAddr>, Vec<LivenessUpdate>)> {
        if self.known.len() <= DIRECT_MAX || self.known.values().all(|m| m.news == 0) {
            return None;
        }
        let live = self.live(now).filter(|(_, m)| !m.is_doubted()).map(|(ip, _)| ip);
        let to = live.choose_multiple(rng, FANOUT);
        Some((to, self.take_news(now)))
    }

    fn take_news(&mut self, now: Duration) -> Vec<LivenessUpdate> {
        let mut news: Vec<(&IpAddr, &mut Member)> =
            self.known.iter_mut().filter(|(_, m)| m.news != 0).collect();
        news.sort_by_key(|(_, m)| Reverse(m.news));
        news.into_iter().take(AGES_MAX).filter_map(|(ip, m)| m.tell(*ip, now)).collect()
    }

    /// What is known of some of the others.
    fn known_ages(&self, most: usize, now: Duration, rng: &mut impl Rng) -> Vec<LivenessUpdate> {
        let known = self.known.iter().filter_map(|(ip, m)| m.known(*ip, now));
        known.choose_multiple(rng, most)
    }
}
