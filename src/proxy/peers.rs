//! What boxes tell each other, by datagrams: what they send where, and signs of life. All of it
//! may be lost; a model that misses some is less exact, and nothing else depends on it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Clock;
use crate::fleet::evacuated::EvacuatedZones;
use crate::fleet::members::BoxReport;
use crate::fleet::members::GOSSIP_ROUNDS;
use crate::fleet::members::HeartbeatMessage;
use crate::fleet::members::HeartbeatOptions;
use crate::fleet::members::LivenessUpdate;
use crate::fleet::members::Member;
use crate::fleet::members::Members;
use crate::fleet::owners::Candidate;
use crate::fleet::owners::OwnerTable;
use crate::fleet::revision::Revision;
use crate::fleet::rollout::RolloutReport;
use crate::fleet::store_watch;
use crate::fleet::store_watch::WatchInputs;
use crate::fleet::store_watch::ZoneBox;
use crate::fleet::sync_state;
use crate::fleet::sync_state::SyncState;
use crate::fleet::sync_state::UpstreamListReport;
use crate::names::BoxName;
use crate::names::ZoneName;
use crate::proxy::message::Message;
use crate::proxy::settings::Settings;
use crate::util;

/// Largest datagram, in bytes: fits an Ethernet frame.
pub(super) const DATAGRAM_MAX_BYTES: usize = 1400;

/// What is told to all waits for more for this long a box that hears it, so that the cost of telling
/// grows with the number of boxes and not with that times the requests.
const DELAY_PER_BOX: Duration = Duration::from_micros(500);

/// Shorter delays are not worth a timer: up to a dozen boxes hear at once.
const DELAY_MIN: Duration = Duration::from_millis(6);

/// The longest delay: what is older than this would mislead.
const DELAY_MAX: Duration = Duration::from_millis(40);

/// What can wait, waits for what can't for this long a box that hears it, and at most for the second:
/// models are told of first tokens and ends for the sake of exactness, not of the next choice.
const LATER_PER_BOX: Duration = Duration::from_millis(2);
const LATER_MAX: Duration = Duration::from_millis(100);

/// A word on what a box holds back is of use for this long: a beat, and what boxes take to hear of it from others.
const HELD_FRESH: Duration = Duration::from_millis(1000);

/// What is told to single boxes waits for more for this long: a tenth of the time that a choice can
/// be off by without anybody waiting.
const GATHER: Duration = Duration::from_millis(20);

/// What a box says of itself that changes.
#[derive(Clone, Debug)]
pub(super) struct OwnState {
    pub(super) version: u64,
    pub(super) sees_store: bool,
    pub(super) is_warm: bool,
    pub(super) upstreams: u64,
    pub(super) revision: Revision,
    pub(super) evacuated: EvacuatedZones,
    pub(super) held: u64,
    pub(super) rollouts: Vec<RolloutReport>,
}

/// The other boxes.
#[derive(Debug)]
pub struct Peers {
    me: SocketAddr,
    name: BoxName,
    zone: ZoneName,
    cores: f64,
    incarnation: u64,
    port: u16,
    pub(super) socket: Arc<UdpSocket>,
    clock: Arc<Clock>,
    members: Mutex<Members>,
    seen: Mutex<Seen>,
    to_all: Mutex<Pending>,
    told: Notify,
    told_later: Notify,
    to_some: Mutex<BTreeMap<IpAddr, Vec<u8>>>,
    told_some: Notify,
    pub(super) heartbeat_requested: Notify,
    is_first_start: bool,
    /// Woken when another box is ahead.
    pub(super) newer_configuration: Notify,
}

/// What is worked out of the members now and then, since it is asked for with each request.
#[derive(Debug, Default)]
struct Seen {
    live: usize,
    known: usize,
    /// The boxes and how many engines, by which the owners were worked out.
    boxes: Vec<Candidate>,
    engines: usize,
    owners: Arc<OwnerTable>,
}

/// What waits to be told to all.
#[derive(Debug, Default)]
struct Pending {
    /// Messages, one behind the other.
    buf: Vec<u8>,
    /// Whether one of them can't wait.
    is_urgent: bool,
}

impl Peers {
    /// Nobody is known yet.
    pub fn new(cfg: &Settings, socket: UdpSocket, clock: Arc<Clock>) -> Peers {
        Peers {
            me: cfg.peers,
            name: cfg.identity.name.clone(),
            zone: cfg.identity.zone.clone(),
            cores: cfg.cores,
            incarnation: util::new_incarnation(),
            port: cfg.datagrams.port(),
            socket: Arc::new(socket),
            clock,
            members: Mutex::new(Members::new(cfg.peers.ip())),
            seen: Mutex::default(),
            to_all: Mutex::default(),
            told: Notify::new(),
            told_later: Notify::new(),
            to_some: Mutex::default(),
            told_some: Notify::new(),
            heartbeat_requested: Notify::new(),
            is_first_start: cfg.is_first_start,
            newer_configuration: Notify::new(),
        }
    }

    /// This box's address.
    pub fn own_ip(&self) -> IpAddr {
        self.me.ip()
    }

    /// This box's availability zone.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Adds boxes that may be there.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        let now = self.now();
        self.members(|members| seeds.iter().for_each(|s| members.add_seed(s.ip(), now)));
    }

    /// How many others are alive.
    pub fn live_count(&self) -> usize {
        self.seen.lock().expect("no panic under lock").live
    }

    /// How many boxes have been heard of lately, this one and those that are silent now included.
    pub fn known_count(&self) -> usize {
        self.seen.lock().expect("no panic under lock").known
    }

    /// Who owns the models of which engines.
    pub fn owners(&self) -> Arc<OwnerTable> {
        self.seen.lock().expect("no panic under lock").owners.clone()
    }

    /// Works out anew who is alive and who owns what. True when owners have changed.
    pub fn refresh(&self, engines: usize) -> bool {
        let now = self.now();
        let me = Candidate { ip: self.me.ip(), zone: self.zone.clone(), cores: self.cores };
        let candidate = |(ip, member): (IpAddr, &Member)| {
            let report = member.report.as_ref()?;
            Some(Candidate { ip, zone: report.zone.clone(), cores: report.cores })
        };
        let (live, known, others) = self.members(|members| {
            let others: Vec<Candidate> = members.live(now).filter_map(candidate).collect();
            (members.live(now).count(), members.known_count() + 1, others)
        });
        let boxes: Vec<Candidate> = others.into_iter().chain([me]).collect();
        let mut seen = self.seen.lock().expect("no panic under lock");
        (seen.live, seen.known) = (live, known);
        // Each box is hashed for each group, and mostly nothing has changed.
        if seen.boxes == boxes && seen.engines == engines {
            return false;
        }
        let owners = OwnerTable::new(&boxes, engines);
        (seen.boxes, seen.engines) = (boxes, engines);
        let has_changed = *seen.owners != owners;
        if has_changed {
            seen.owners = Arc::new(owners);
        }
        has_changed
    }

    /// Tells all boxes that are alive: at once where there are few, else together with what else
    /// is told within a moment, since each datagram costs each box a call.
    pub fn broadcast(&self, message: &Message) {
        let Ok(mut buf) = postcard::to_stdvec(message) else { return };
        let mut pending = self.to_all.lock().expect("no panic under lock");
        if DATAGRAM_MAX_BYTES < pending.buf.len() + buf.len() {
            self.send_to_live(&std::mem::take(&mut pending.buf));
        }
        if message.can_wait() {
            if pending.buf.is_empty() {
                self.told_later.notify_one();
            }
        } else if !pending.is_urgent {
            pending.is_urgent = true;
            self.told.notify_one();
        }
        pending.buf.append(&mut buf);
    }

    /// Tells all boxes that are alive, and waits for nothing: for what is rare, and must be known before the next request
    /// comes.
    pub fn broadcast_now(&self, message: &Message) {
        if let Ok(buf) = postcard::to_stdvec(message) {
            self.send_to_live(&buf);
        }
    }

    /// Tells single boxes, together with what else they are told within a moment.
    pub fn send_batched(&self, to: impl Iterator<Item = IpAddr>, message: &Message) {
        let Ok(buf) = postcard::to_stdvec(message) else { return };
        let mut pending = self.to_some.lock().expect("no panic under lock");
        if pending.is_empty() {
            self.told_some.notify_one();
        }
        for ip in to.filter(|ip| *ip != self.me.ip()) {
            let waiting = pending.entry(ip).or_default();
            if DATAGRAM_MAX_BYTES < waiting.len() + buf.len() {
                self.send(&std::mem::take(waiting), ip);
            }
            waiting.extend_from_slice(&buf);
        }
    }

    /// Tells the boxes for which this one watches the store: all in a small fleet, else those of its
    /// zone.
    pub fn send_to_followers(&self, message: &Message) {
        if self.owners().is_empty() {
            self.broadcast(message);
            return;
        }
        let zone = self.members(|members| members.live_in_zone(&self.zone, self.now()));
        self.send_batched(zone.into_iter(), message);
    }

    /// Has a sign of life given at once, since what this box says of itself has changed.
    pub fn request_heartbeat(&self) {
        self.heartbeat_requested.notify_one();
    }

    /// Whether this box is to watch the store.
    pub fn is_store_due(&self) -> bool {
        let now = self.now();
        let colleague = |(ip, member): (IpAddr, &Member)| {
            let (report, age) = member.report_with_age(now)?;
            let store_seen_ago = report.sees_store.then_some(age);
            let is_here = report.zone == self.zone;
            is_here.then_some(ZoneBox { ip, cores: report.cores, store_seen_ago })
        };
        let zone: Vec<ZoneBox> =
            self.members(|members| members.live(now).filter_map(colleague).collect());
        store_watch::should_watch(WatchInputs {
            own_ip: self.me.ip(),
            cores: self.cores,
            zone_boxes: &zone,
            live_boxes: self.live_count() + 1,
            uptime: now,
            is_first_start: self.is_first_start,
        })
    }

    /// Tells one box at once.
    pub fn send_now(&self, to: IpAddr, message: &Message) {
        if let Ok(buf) = postcard::to_stdvec(message) {
            self.send(&buf, to);
        }
    }

    /// Sends what is pending for all whenever there is something, until the process ends.
    pub(super) async fn flush_all(&self) {
        loop {
            tokio::select! {
                () = self.told.notified() => {}
                () = self.told_later.notified() => {
                    let most = (LATER_PER_BOX * self.live_count() as u32).min(LATER_MAX);
                    // Whichever comes first.
                    let _ = tokio::time::timeout(most, self.told.notified()).await;
                }
            }
            let delay = DELAY_PER_BOX * self.live_count() as u32;
            if DELAY_MIN <= delay {
                tokio::time::sleep(delay.min(DELAY_MAX)).await;
            }
            let pending = std::mem::take(&mut *self.to_all.lock().expect("no panic under lock"));
            self.send_to_live(&pending.buf);
        }
    }

    /// The same for what is pending for single boxes.
    pub(super) async fn flush_some(&self) {
        loop {
            self.told_some.notified().await;
            tokio::time::sleep(GATHER).await;
            let pending = std::mem::take(&mut *self.to_some.lock().expect("no panic under lock"));
            pending.iter().for_each(|(ip, buf)| self.send(buf, *ip));
        }
    }

    fn send_to_live(&self, buf: &[u8]) {
        if buf.is_empty() {
            return;
        }
        let now = self.now();
        self.members(|members| members.live(now).for_each(|(ip, _)| self.send(buf, ip)));
    }

    /// Gives the boxes that are due a sign of life.
    pub(super) fn send_heartbeats(&self, state: OwnState) {
        let now = self.now();
        let (to, updates) = self.members(|members| {
            let mut rng = rand::rng();
            // Those for which this box watches the store rely on its word.
            let zone = state.sees_store.then_some(&self.zone);
            (
                members.heartbeat_targets(zone, now, &mut rng),
                members.heartbeat_updates(now, &mut rng),
            )
        });
        self.send_heartbeat(state, updates, &to);
    }

    /// Tells what is news of other boxes, if anything is.
    pub(super) fn send_gossip(&self, state: impl FnOnce() -> OwnState) {
        let now = self.now();
        let news: Vec<(Vec<IpAddr>, Vec<LivenessUpdate>)> = self.members(|members| {
            let take = || members.gossip(now, &mut rand::rng());
            std::iter::from_fn(take).take(GOSSIP_ROUNDS).collect()
        });
        if news.is_empty() {
            return;
        }
        let state = state();
        let call = HeartbeatOptions { requests_reply: false, includes_updates: true };
        for (to, updates) in news {
            let to = to.into_iter().map(|ip| (ip, call)).collect();
            self.send_heartbeat(state.clone(), updates, &to);
        }
    }

    /// Gives some boxes a sign of life at once.
    pub(super) fn send_heartbeat_to(&self, state: OwnState, to: &BTreeSet<IpAddr>) {
        let now = self.now();
        let (to, updates) = self.members(|members| {
            let call = |ip| HeartbeatOptions {
                requests_reply: members.report(ip).is_none(),
                includes_updates: true,
            };
            let to: BTreeMap<IpAddr, HeartbeatOptions> =
                to.iter().map(|ip| (*ip, call(*ip))).collect();
            (to, members.reply_updates(now, &mut rand::rng()))
        });
        self.send_heartbeat(state, updates, &to);
    }

    fn send_heartbeat(
        &self,
        state: OwnState,
        updates: Vec<LivenessUpdate>,
        to: &BTreeMap<IpAddr, HeartbeatOptions>,
    ) {
        let OwnState {
            version,
            sees_store,
            is_warm,
            upstreams,
            revision,
            evacuated,
            held,
            rollouts,
        } = state;
        let report = BoxReport {
            name: self.name.clone(),
            zone: self.zone.clone(),
            addr: self.me,
            incarnation: self.incarnation,
            cores: self.cores,
            version,
            sees_store,
            is_warm,
            upstreams_digest: upstreams,
            revision,
            evacuated,
            held_digest: held,
            rollouts,
        };
        let mut beat = HeartbeatMessage { report, requests_reply: false, updates };
        for includes_updates in [true, false] {
            if !includes_updates {
                beat.updates.clear();
            }
            for requests_reply in [false, true] {
                let call = HeartbeatOptions { requests_reply, includes_updates };
                let mut to = to.iter().filter(|(_, c)| **c == call).map(|(ip, _)| *ip).peekable();
                if to.peek().is_none() {
                    continue;
                }
                beat.requests_reply = requests_reply;
                let Ok(buf) = postcard::to_stdvec(&Message::Heartbeat(beat.clone())) else {
                    continue;
                };
                to.for_each(|ip| self.send(&buf, ip));
            }
        }
    }

    fn send(&self, buf: &[u8], to: IpAddr) {
        if DATAGRAM_MAX_BYTES < buf.len() {
            return;
        }
        // What can't be sent now is lost, as any datagram may be.
        let _ = self.socket.try_send_to(buf, SocketAddr::new(to, self.port));
    }

    /// A box that has a newer configuration than `version`, preferably one that sees the store.
    pub(super) fn box_with_newer_configuration(&self, version: u64) -> Option<SocketAddr> {
        self.pick(|r| (version < r.version).then_some((r.sees_store, r.version)))
    }

    /// A box that knows what engines keep.
    pub fn warm_box(&self) -> Option<SocketAddr> {
        self.pick(|r| r.is_warm.then_some(()))
    }

    /// A box that sees the store.
    pub(super) fn box_with_store(&self) -> Option<SocketAddr> {
        self.pick(|r| r.sees_store.then_some(()))
    }

    /// A box that has just said that it holds other requests back than those of this digest.
    pub(super) fn box_with_other_held(&self, own: u64) -> Option<SocketAddr> {
        let now = self.now();
        let is_other = |r: &BoxReport| r.held_digest != 0 && r.held_digest != own;
        self.members(|members| {
            let words = members.live(now).filter_map(|(_, member)| member.report_with_age(now));
            let others = words.filter(|(r, age)| *age < HELD_FRESH && is_other(r));
            others.choose(&mut rand::rng()).map(|(r, _)| r.addr)
        })
    }

    /// What those others say that are alive of a service's roll-out, each by its last word.
    pub(super) fn reported_rollouts(&self, service: &str) -> Vec<Option<RolloutReport>> {
        let now = self.now();
        let told = |(_, member): (IpAddr, &Member)| {
            let report = member.report.as_ref()?;
            report.rollouts.iter().find(|told| &*told.service == service).cloned()
        };
        self.members(|members| members.live(now).map(told).collect())
    }

    /// How this box stands to those that watch the store for it, while it lists what has this digest and
    /// its list is whole up to this revision.
    pub(super) fn standing(&self, revision: Revision, upstreams: u64) -> SyncState {
        let now = self.now();
        let word = |(_, member): (IpAddr, &Member)| {
            let (r, age) = member.report_with_age(now)?;
            let BoxReport { addr, sees_store, revision, upstreams_digest, .. } = *r;
            Some(UpstreamListReport { addr, sees_store, revision, upstreams_digest, age })
        };
        self.members(|members| {
            sync_state::evaluate(revision, upstreams, members.live(now).filter_map(word))
        })
    }

    /// Where a box answers others, if it is alive.
    pub fn addr_of(&self, ip: IpAddr) -> Option<SocketAddr> {
        let now = self.now();
        self.members(|members| {
            let (_, member) = members.live(now).find(|(live, _)| *live == ip)?;
            member.report.as_ref().map(|r| r.addr)
        })
    }

    /// Of the boxes that are alive and have a rank, one with the highest. Boxes with the same rank
    /// are asked by different ones: when many start at once, one alone could not answer them all.
    fn pick<R: Ord>(&self, rank: impl Fn(&BoxReport) -> Option<R>) -> Option<SocketAddr> {
        let now = self.now();
        self.members(|members| {
            let records = members.live(now).filter_map(|(_, m)| m.report.as_ref());
            let ranked = records.filter_map(|r| Some((rank(r)?, self.draw(&r.addr), r.addr)));
            ranked.max().map(|(_, _, addr)| addr)
        })
    }

    /// A number of this box's own for something that has a name.
    pub fn own_draw(&self, name: &str) -> u32 {
        xxh3_64(format!("{}/{name}", self.me.ip()).as_bytes()) as u32
    }

    /// A number for another box that differs from box to box.
    fn draw(&self, addr: &SocketAddr) -> u64 {
        xxh3_64(format!("{}/{addr}", self.me).as_bytes())
    }

    /// Whether this box comes first among those that are alive, for something that all know by the same bytes.
    pub fn is_first_for(&self, bytes: &[u8]) -> bool {
        self.rank_for(bytes) == 0
    }

    /// How many of those that are alive come before this box, for something that all know by the same bytes.
    pub fn rank_for(&self, bytes: &[u8]) -> usize {
        let now = self.now();
        let rank = |ip: IpAddr| (xxh3_64(&[ip.to_string().as_bytes(), bytes].concat()), ip);
        let mine = rank(self.me.ip());
        self.members(|members| members.live(now).filter(|(ip, _)| rank(*ip) < mine).count())
    }

    /// Whether this box comes first among those that are alive.
    pub fn is_first(&self) -> bool {
        let now = self.now();
        self.members(|members| members.live(now).all(|(ip, _)| self.me.ip() < ip))
    }

    pub(super) fn members<T>(&self, f: impl FnOnce(&mut Members) -> T) -> T {
        f(&mut self.members.lock().expect("no panic under lock"))
    }

    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }
}
