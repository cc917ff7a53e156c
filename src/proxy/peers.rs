//! Datagrams between boxes: which requests they send to which upstreams, and heartbeats. Any
//! datagram may be lost; the receiver's state is then less exact, and nothing else depends on it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
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
use crate::fleet::stream_versions;
use crate::fleet::stream_versions::StreamId;
use crate::fleet::sync_state;
use crate::fleet::sync_state::SyncState;
use crate::fleet::sync_state::UpstreamListReport;
use crate::names::BoxName;
use crate::names::ZoneName;
use crate::proxy::message::Message;
use crate::proxy::settings::Settings;
use crate::util;

/// Largest datagram; fits an Ethernet frame.
pub(super) const DATAGRAM_MAX_BYTES: usize = 1400;

/// Broadcast messages are delayed by this for each receiving box and sent together, so that the
/// cost grows with the number of boxes and not with that number times the requests.
const BROADCAST_DELAY_PER_BOX: Duration = Duration::from_micros(500);

/// Shorter delays are not worth a timer; fleets of up to a dozen boxes send without delay.
const BROADCAST_DELAY_MIN: Duration = Duration::from_millis(6);

/// Longest delay; older state would mislead other boxes.
const BROADCAST_DELAY_MAX: Duration = Duration::from_millis(40);

/// Deferrable messages wait for urgent ones for this time for each receiving box, and at most for
/// [`DEFERRED_MAX`]: first tokens and ends of requests make the receivers' state exact, but hardly
/// change the next choice.
const DEFERRED_PER_BOX: Duration = Duration::from_millis(2);
const DEFERRED_MAX: Duration = Duration::from_millis(100);

/// A box's report of the requests that it holds back is used for this long: one heartbeat interval,
/// plus the time until other boxes have received it.
const HELD_REPORT_MAX_AGE: Duration = Duration::from_millis(1000);

/// Messages to single boxes are gathered for this long: a tenth of the time by which a choice can
/// be off without a request having to wait.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);

/// The part of this box's report on itself that changes.
#[derive(Clone, Debug)]
pub(super) struct OwnState {
    pub(super) version: u64,
    pub(super) reaches_store: bool,
    pub(super) is_warm: bool,
    pub(super) upstreams_digest: u64,
    pub(super) revision: Revision,
    pub(super) evacuated: EvacuatedZones,
    pub(super) held_digest: u64,
    pub(super) rollouts: Vec<RolloutReport>,
}

/// The other boxes of the fleet, and the messages to them.
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
    derived: Mutex<Derived>,
    pending_broadcast: Mutex<Pending>,
    urgent_pending: Notify,
    deferred_pending: Notify,
    pending_by_box: Mutex<BTreeMap<IpAddr, Vec<u8>>>,
    batch_pending: Notify,
    /// Messages that were dropped because they exceed a datagram.
    oversized: AtomicU64,
    pub(super) heartbeat_requested: Notify,
    is_first_start: bool,
    /// Notified when another box has a newer configuration.
    pub(super) newer_configuration: Notify,
}

/// Values derived from the membership. They are cached, since each request needs them.
#[derive(Debug, Default)]
struct Derived {
    live_count: usize,
    known_count: usize,
    /// The boxes and the number of engines from which the owners were computed.
    boxes: Vec<Candidate>,
    engines: usize,
    owners: Arc<OwnerTable>,
}

/// Messages waiting to be broadcast.
#[derive(Debug, Default)]
struct Pending {
    /// Encoded messages, one after the other.
    buf: Vec<u8>,
    /// Whether one of them isn't deferrable.
    is_urgent: bool,
}

impl Peers {
    /// Creates the state of a box that knows no others.
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
            derived: Mutex::default(),
            pending_broadcast: Mutex::default(),
            urgent_pending: Notify::new(),
            deferred_pending: Notify::new(),
            pending_by_box: Mutex::default(),
            batch_pending: Notify::new(),
            oversized: AtomicU64::new(0),
            heartbeat_requested: Notify::new(),
            is_first_start: cfg.is_first_start,
            newer_configuration: Notify::new(),
        }
    }

    /// This box's IP address.
    pub fn own_ip(&self) -> IpAddr {
        self.me.ip()
    }

    /// Distinguishes the starts of this process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Adds addresses of boxes to try to contact.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        let now = self.now();
        self.members(|members| seeds.iter().for_each(|s| members.add_seed(s.ip(), now)));
    }

    /// Returns the number of other boxes that are alive.
    pub fn live_count(&self) -> usize {
        self.derived.lock().expect("no panic under lock").live_count
    }

    /// Returns the number of boxes known recently, including this one and those that are dead now.
    pub fn known_count(&self) -> usize {
        self.derived.lock().expect("no panic under lock").known_count
    }

    /// Which boxes own which groups of engines.
    pub fn owners(&self) -> Arc<OwnerTable> {
        self.derived.lock().expect("no panic under lock").owners.clone()
    }

    /// Recomputes which boxes are alive and which own what. True if the owners have changed.
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
        let mut derived = self.derived.lock().expect("no panic under lock");
        (derived.live_count, derived.known_count) = (live, known);
        // Computing the owners hashes each box for each group, and usually nothing has changed.
        if derived.boxes == boxes && derived.engines == engines {
            return false;
        }
        let owners = OwnerTable::new(&boxes, engines);
        (derived.boxes, derived.engines) = (boxes, engines);
        let has_changed = *derived.owners != owners;
        if has_changed {
            derived.owners = Arc::new(owners);
        }
        has_changed
    }

    /// Sends a message to all boxes that are alive: at once in a small fleet, otherwise together
    /// with others after a short delay, since each datagram costs each receiver a system call.
    pub fn broadcast(&self, message: &Message) {
        let Some(mut buf) = self.encode(message) else { return };
        let mut pending = self.pending_broadcast.lock().expect("no panic under lock");
        if DATAGRAM_MAX_BYTES < pending.buf.len() + buf.len() {
            self.send_to_live(&std::mem::take(&mut pending.buf));
        }
        if message.is_deferrable() {
            if pending.buf.is_empty() {
                self.deferred_pending.notify_one();
            }
        } else if !pending.is_urgent {
            pending.is_urgent = true;
            self.urgent_pending.notify_one();
        }
        pending.buf.append(&mut buf);
    }

    /// Sends a message to all boxes that are alive without delay, for rare messages that must
    /// arrive before the next request.
    pub fn broadcast_now(&self, message: &Message) {
        if let Some(buf) = self.encode(message) {
            self.send_to_live(&buf);
        }
    }

    /// Sends a message to some boxes, together with others to the same box after a short delay.
    /// Returns false if it exceeds a datagram and is dropped.
    pub fn send_batched(&self, to: impl Iterator<Item = IpAddr>, message: &Message) -> bool {
        let Some(buf) = self.encode(message) else { return false };
        let mut pending = self.pending_by_box.lock().expect("no panic under lock");
        if pending.is_empty() {
            self.batch_pending.notify_one();
        }
        for ip in to.filter(|ip| *ip != self.me.ip()) {
            let waiting = pending.entry(ip).or_default();
            if DATAGRAM_MAX_BYTES < waiting.len() + buf.len() {
                self.send(&std::mem::take(waiting), ip);
            }
            waiting.extend_from_slice(&buf);
        }
        true
    }

    /// Sends a message to the boxes for which this one watches the store: all in a small fleet,
    /// otherwise those of its zone.
    pub fn send_to_followers(&self, message: &Message) {
        if self.owners().is_empty() {
            self.broadcast(message);
            return;
        }
        let zone = self.members(|members| members.live_in_zone(&self.zone, self.now()));
        self.send_batched(zone.into_iter(), message);
    }

    /// Has a heartbeat sent at once, since this box's report on itself has changed.
    pub fn request_heartbeat(&self) {
        self.heartbeat_requested.notify_one();
    }

    /// Whether this box has to watch the store.
    pub fn is_store_due(&self) -> bool {
        let now = self.now();
        let zone_box = |(ip, member): (IpAddr, &Member)| {
            let (report, age) = member.report_with_age(now)?;
            let store_seen_ago = report.reaches_store.then_some(age);
            let is_here = report.zone == self.zone;
            is_here.then_some(ZoneBox { ip, cores: report.cores, store_seen_ago })
        };
        let zone: Vec<ZoneBox> =
            self.members(|members| members.live(now).filter_map(zone_box).collect());
        store_watch::should_watch(WatchInputs {
            own_ip: self.me.ip(),
            cores: self.cores,
            zone_boxes: &zone,
            live_boxes: self.live_count() + 1,
            uptime: now,
            is_first_start: self.is_first_start,
        })
    }

    /// Sends a message to one box without delay. Returns false if it exceeds a datagram and is
    /// dropped.
    pub fn send_now(&self, to: IpAddr, message: &Message) -> bool {
        let buf = self.encode(message);
        buf.iter().for_each(|buf| self.send(buf, to));
        buf.is_some()
    }

    /// Number of messages that were dropped because they exceed a datagram.
    pub fn oversized_count(&self) -> u64 {
        self.oversized.load(Ordering::Relaxed)
    }

    /// Encodes a message; `None` if it exceeds a datagram.
    fn encode(&self, message: &Message) -> Option<Vec<u8>> {
        let buf = postcard::to_stdvec(message).ok()?;
        if DATAGRAM_MAX_BYTES < buf.len() {
            self.oversized.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(buf)
    }

    /// Sends pending broadcasts until the process ends.
    pub(super) async fn flush_broadcasts(&self) {
        loop {
            tokio::select! {
                () = self.urgent_pending.notified() => {}
                () = self.deferred_pending.notified() => {
                    let most = (DEFERRED_PER_BOX * self.live_count() as u32).min(DEFERRED_MAX);
                    // The timeout or an urgent message, whichever comes first.
                    let _ = tokio::time::timeout(most, self.urgent_pending.notified()).await;
                }
            }
            let delay = BROADCAST_DELAY_PER_BOX * self.live_count() as u32;
            if BROADCAST_DELAY_MIN <= delay {
                tokio::time::sleep(delay.min(BROADCAST_DELAY_MAX)).await;
            }
            let pending =
                std::mem::take(&mut *self.pending_broadcast.lock().expect("no panic under lock"));
            self.send_to_live(&pending.buf);
        }
    }

    /// Sends pending messages to single boxes until the process ends.
    pub(super) async fn flush_batches(&self) {
        loop {
            self.batch_pending.notified().await;
            tokio::time::sleep(BATCH_INTERVAL).await;
            let pending =
                std::mem::take(&mut *self.pending_by_box.lock().expect("no panic under lock"));
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

    /// Sends a heartbeat to the boxes that are due for one.
    pub(super) fn send_heartbeats(&self, state: OwnState) {
        let now = self.now();
        let (to, updates) = self.members(|members| {
            let mut rng = rand::rng();
            // The boxes for which this one watches the store depend on its heartbeats.
            let zone = state.reaches_store.then_some(&self.zone);
            (
                members.heartbeat_targets(zone, now, &mut rng),
                members.heartbeat_updates(now, &mut rng),
            )
        });
        self.send_heartbeat(state, updates, &to);
    }

    /// Sends recent updates on other boxes, if there are any.
    pub(super) fn send_gossip(&self, state: impl FnOnce() -> OwnState) {
        let now = self.now();
        let updates_by_target: Vec<(Vec<IpAddr>, Vec<LivenessUpdate>)> = self.members(|members| {
            let take = || members.gossip(now, &mut rand::rng());
            std::iter::from_fn(take).take(GOSSIP_ROUNDS).collect()
        });
        if updates_by_target.is_empty() {
            return;
        }
        let state = state();
        let options = HeartbeatOptions { requests_reply: false, includes_updates: true };
        for (to, updates) in updates_by_target {
            let to = to.into_iter().map(|ip| (ip, options)).collect();
            self.send_heartbeat(state.clone(), updates, &to);
        }
    }

    /// Sends a heartbeat to some boxes at once.
    pub(super) fn send_heartbeat_to(&self, state: OwnState, to: &BTreeSet<IpAddr>) {
        let now = self.now();
        let (to, updates) = self.members(|members| {
            let options = |ip| HeartbeatOptions {
                requests_reply: members.report(ip).is_none(),
                includes_updates: true,
            };
            let to: BTreeMap<IpAddr, HeartbeatOptions> =
                to.iter().map(|ip| (*ip, options(*ip))).collect();
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
            reaches_store,
            is_warm,
            upstreams_digest,
            revision,
            evacuated,
            held_digest,
            rollouts,
        } = state;
        let report = BoxReport {
            name: self.name.clone(),
            zone: self.zone.clone(),
            addr: self.me,
            incarnation: self.incarnation,
            cores: self.cores,
            version,
            reaches_store,
            is_warm,
            upstreams_digest,
            revision,
            evacuated,
            held_digest,
            rollouts,
        };
        let mut heartbeat = HeartbeatMessage { report, requests_reply: false, updates };
        for includes_updates in [true, false] {
            if !includes_updates {
                heartbeat.updates.clear();
            }
            for requests_reply in [false, true] {
                let options = HeartbeatOptions { requests_reply, includes_updates };
                let mut to =
                    to.iter().filter(|(_, c)| **c == options).map(|(ip, _)| *ip).peekable();
                if to.peek().is_none() {
                    continue;
                }
                heartbeat.requests_reply = requests_reply;
                let Some(buf) = self.encode(&Message::Heartbeat(heartbeat.clone())) else {
                    continue;
                };
                to.for_each(|ip| self.send(&buf, ip));
            }
        }
    }

    fn send(&self, buf: &[u8], to: IpAddr) {
        // A datagram that can't be sent now is dropped, since any datagram may be lost.
        let _ = self.socket.try_send_to(buf, SocketAddr::new(to, self.port));
    }

    /// Returns a box that has a newer configuration than `version`, preferably one that reaches the
    /// store.
    pub(super) fn box_with_newer_configuration(&self, version: u64) -> Option<SocketAddr> {
        self.pick(|r| (version < r.version).then_some((r.reaches_store, r.version)))
    }

    /// Returns a box that knows which prompts the engines have cached.
    pub fn warm_box(&self) -> Option<SocketAddr> {
        self.pick(|r| r.is_warm.then_some(()))
    }

    /// Returns a box that reaches the store.
    pub(super) fn box_with_store(&self) -> Option<SocketAddr> {
        self.pick(|r| r.reaches_store.then_some(()))
    }

    /// Returns a box that recently reported a different digest of the requests that it holds back.
    pub(super) fn box_with_other_held(&self, own: u64) -> Option<SocketAddr> {
        let now = self.now();
        let is_other = |r: &BoxReport| r.held_digest != 0 && r.held_digest != own;
        self.members(|members| {
            let reports = members.live(now).filter_map(|(_, member)| member.report_with_age(now));
            let others = reports.filter(|(r, age)| *age < HELD_REPORT_MAX_AGE && is_other(r));
            others.choose(&mut rand::rng()).map(|(r, _)| r.addr)
        })
    }

    /// Returns the last report of each other box that is alive on a service's roll-out; `None` for
    /// a box that reported none.
    pub(super) fn reported_rollouts(&self, service: &str) -> Vec<Option<RolloutReport>> {
        let now = self.now();
        let rollout_report = |(_, member): (IpAddr, &Member)| {
            let report = member.report.as_ref()?;
            report.rollouts.iter().find(|rollout| &*rollout.service == service).cloned()
        };
        self.members(|members| members.live(now).map(rollout_report).collect())
    }

    /// Compares this box's list of upstreams, given its digest and the revision up to which it is
    /// complete, with those of the boxes that watch the store.
    pub(super) fn sync_state(&self, revision: Revision, upstreams: u64) -> SyncState {
        let now = self.now();
        let list_report = |(_, member): (IpAddr, &Member)| {
            let (r, age) = member.report_with_age(now)?;
            let BoxReport { addr, reaches_store, revision, upstreams_digest, .. } = *r;
            Some(UpstreamListReport { addr, reaches_store, revision, upstreams_digest, age })
        };
        self.members(|members| {
            sync_state::evaluate(revision, upstreams, members.live(now).filter_map(list_report))
        })
    }

    /// Returns the address at which a box answers HTTP requests of other boxes, if it is alive.
    pub fn addr_of(&self, ip: IpAddr) -> Option<SocketAddr> {
        let now = self.now();
        self.members(|members| {
            let (_, member) = members.live(now).find(|(live, _)| *live == ip)?;
            member.report.as_ref().map(|r| r.addr)
        })
    }

    /// Returns a box with the highest rank among those that are alive and have one. Different boxes
    /// choose different ones of the same rank: one alone could not answer all boxes when many start
    /// at once.
    fn pick<R: Ord>(&self, rank: impl Fn(&BoxReport) -> Option<R>) -> Option<SocketAddr> {
        let now = self.now();
        self.members(|members| {
            let records = members.live(now).filter_map(|(_, m)| m.report.as_ref());
            let ranked = records.filter_map(|r| Some((rank(r)?, self.draw(&r.addr), r.addr)));
            ranked.max().map(|(_, _, addr)| addr)
        })
    }

    /// Returns the boxes that hold the record of a stream in a large fleet.
    pub fn stream_holders(&self, stream: StreamId) -> BTreeSet<IpAddr> {
        let now = self.now();
        let (zone, fleet) = self.members(|members| {
            let fleet: Vec<IpAddr> = members.live(now).map(|(ip, _)| ip).collect();
            (members.live_in_zone(&self.zone, now), fleet)
        });
        stream_versions::holders(stream, &zone, &fleet)
    }

    /// Returns the boxes to ask which version began a stream: in a small fleet all, otherwise those
    /// that hold its record.
    pub fn boxes_to_ask(&self, stream: Option<StreamId>) -> Vec<IpAddr> {
        if !self.owners().is_empty() {
            let stream = stream.into_iter();
            return stream.flat_map(|stream| self.stream_holders(stream)).collect();
        }
        let now = self.now();
        self.members(|members| members.live(now).map(|(ip, _)| ip).collect())
    }

    /// Returns the address of a live box, drawn anew each time.
    pub fn any_box(&self) -> Option<SocketAddr> {
        let now = self.now();
        self.members(|members| {
            let reports = members.live(now).filter_map(|(_, member)| member.report.as_ref());
            reports.map(|report| report.addr).choose(&mut rand::rng())
        })
    }

    /// Whether this box's list of upstreams, which is complete up to `revision`, is as recent as
    /// that of a box that reaches the store.
    pub fn follows_store(&self, revision: Revision) -> bool {
        let now = self.now();
        let is_followed = |(report, age): (&BoxReport, Duration)| {
            report.reaches_store && age < sync_state::REPORT_AGE_MAX && report.revision <= revision
        };
        self.members(|members| {
            let mut reports =
                members.live(now).filter_map(|(_, member)| member.report_with_age(now));
            reports.any(is_followed)
        })
    }

    /// Whether this box has the lowest address among the live boxes that reach the store, if it
    /// does.
    pub fn is_first_with_store(&self) -> bool {
        let now = self.now();
        let reaches_store =
            |member: &Member| member.report.as_ref().is_some_and(|report| report.reaches_store);
        self.members(|members| {
            let mut others = members.live(now).filter(|(_, member)| reaches_store(member));
            others.all(|(ip, _)| self.me.ip() < ip)
        })
    }

    /// Returns a hash of a name that differs between boxes.
    pub fn own_draw(&self, name: &str) -> u32 {
        xxh3_64(format!("{}/{name}", self.me.ip()).as_bytes()) as u32
    }

    /// Returns a hash of another box's address that differs between the boxes that compute it.
    fn draw(&self, addr: &SocketAddr) -> u64 {
        xxh3_64(format!("{}/{addr}", self.me).as_bytes())
    }

    /// Whether this box has the lowest rendezvous hash among the boxes that are alive, for the same
    /// key on all boxes.
    pub fn is_first_for(&self, key: &[u8]) -> bool {
        self.rank_for(key) == 0
    }

    /// Returns this box's rank by rendezvous hash among the boxes that are alive, for the same key
    /// on all boxes.
    pub fn rank_for(&self, key: &[u8]) -> usize {
        let now = self.now();
        let rank = |ip: IpAddr| (xxh3_64(&[ip.to_string().as_bytes(), key].concat()), ip);
        let mine = rank(self.me.ip());
        self.members(|members| members.live(now).filter(|(ip, _)| rank(*ip) < mine).count())
    }

    /// Whether this box has the lowest address among the boxes that are alive.
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
