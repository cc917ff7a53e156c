//! What boxes tell each other, by datagrams: what they send where, and signs of life. All of it
//! may be lost; a model that misses some is less exact, and nothing else depends on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::debug;
use slog::info;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::names::BoxName;
use crate::names::ZoneName;
use crate::proxy::hub::Hub;
use crate::proxy::intake;
use crate::proxy::message::Beat;
use crate::proxy::message::Message;
use crate::proxy::settings::Settings;
use crate::proxy::side;
use crate::util;

/// Time between signs of life.
const BEAT: Duration = Duration::from_millis(400);

/// A box that has not been heard of for this long gets no more than signs of life: five beats and
/// a lost one.
const SILENT_AFTER: Duration = Duration::from_millis(2400);

/// A box that has not been heard of for this long is forgotten, unless it is a seed.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(30);

/// Largest datagram, in bytes: fits an Ethernet frame.
const DATAGRAM_MAX: usize = 1400;

/// What is told waits for more for this long a box that hears it, so that the cost of telling grows
/// with the number of boxes and not with that times the requests.
const DELAY_PER_BOX: Duration = Duration::from_micros(500);

/// Shorter delays are not worth a timer: up to a dozen boxes hear at once.
const DELAY_MIN: Duration = Duration::from_millis(6);

/// The longest delay: what is older than this would mislead.
const DELAY_MAX: Duration = Duration::from_millis(40);

/// What can wait, waits for what can't for this long a box that hears it, and at most for the second:
/// models are told of first tokens and ends for the sake of exactness, not of the next choice.
const LATER_PER_BOX: Duration = Duration::from_millis(2);
const LATER_MAX: Duration = Duration::from_millis(100);

/// Datagrams taken in before others get their turn.
const DATAGRAMS_AT_ONCE: usize = 64;

/// Addresses of other boxes told in a sign of life.
const TOLD_MAX: usize = 48;

/// One sign of life in so many tells addresses, beside those to boxes that are new: a list costs ten
/// times the rest, and only mends what was lost at the start.
const LIST_EVERY: u64 = 10;

/// The store tells each box of a new configuration at about the same time; another box is asked
/// for it only if the store has not told after this.
const ASK_AFTER: Duration = Duration::from_millis(300);

/// What a box says of itself in a sign of life.
#[derive(Clone, Copy, Debug)]
struct State {
    version: u64,
    sees_store: bool,
    is_warm: bool,
}

/// The other boxes.
#[derive(Debug)]
pub struct Peers {
    me: SocketAddr,
    name: BoxName,
    zone: ZoneName,
    incarnation: u64,
    port: u16,
    socket: Arc<UdpSocket>,
    known: Mutex<BTreeMap<SocketAddr, Peer>>,
    pending: Mutex<Pending>,
    told: Notify,
    told_later: Notify,
    /// Signs of life given.
    beats: AtomicU64,
}

/// What a sign of life tells beside what it says.
struct Heard {
    /// The boxes that must hear of this one at once: those that were not known before, and the
    /// sender if it was not known to be alive.
    news: Vec<SocketAddr>,
    /// Whether the sender has ended and started since it was last heard.
    has_restarted: bool,
}

/// What waits to be told.
#[derive(Debug, Default)]
struct Pending {
    /// Messages, one behind the other.
    buf: Vec<u8>,
    /// Whether one of them can't wait.
    is_urgent: bool,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    is_seed: bool,
    added: Instant,
    heard: Option<Instant>,
    /// Whether it has been alive without a word since that it isn't any more.
    counts_as_live: bool,
    incarnation: u64,
    version: u64,
    sees_store: bool,
    is_warm: bool,
}

impl Peer {
    fn unheard() -> Peer {
        Peer {
            is_seed: false,
            added: Instant::now(),
            heard: None,
            counts_as_live: false,
            incarnation: 0,
            version: 0,
            sees_store: false,
            is_warm: false,
        }
    }

    fn is_live(&self) -> bool {
        self.heard.is_some_and(|at| at.elapsed() < SILENT_AFTER)
    }

    fn is_forgotten(&self) -> bool {
        !self.is_seed && FORGOTTEN_AFTER < self.heard.unwrap_or(self.added).elapsed()
    }
}

impl Peers {
    /// Nobody is known yet.
    pub fn new(cfg: &Settings, socket: UdpSocket) -> Peers {
        Peers {
            me: cfg.peers,
            name: cfg.identity.name.clone(),
            zone: cfg.identity.zone.clone(),
            incarnation: util::new_incarnation(),
            port: cfg.datagrams.port(),
            socket: Arc::new(socket),
            known: Mutex::default(),
            pending: Mutex::default(),
            told: Notify::new(),
            told_later: Notify::new(),
            beats: AtomicU64::new(0),
        }
    }

    /// Adds boxes that may be there.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        let mut known = self.known.lock().expect("no panic under lock");
        for seed in seeds.iter().filter(|s| **s != self.me) {
            known.entry(*seed).or_insert_with(Peer::unheard).is_seed = true;
        }
    }

    /// How many others are alive.
    pub fn live(&self) -> usize {
        let known = self.known.lock().expect("no panic under lock");
        known.values().filter(|p| p.is_live()).count()
    }

    /// Tells all boxes that are alive: at once where there are few, else together with what else
    /// is told within a moment, since each datagram costs each box a call.
    pub fn tell(&self, message: &Message) {
        let Ok(mut buf) = postcard::to_stdvec(message) else { return };
        let mut pending = self.pending.lock().expect("no panic under lock");
        if DATAGRAM_MAX < pending.buf.len() + buf.len() {
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

    /// Sends what is pending whenever there is something, until the process ends.
    async fn flush(&self) {
        loop {
            tokio::select! {
                () = self.told.notified() => {}
                () = self.told_later.notified() => {
                    let most = (LATER_PER_BOX * self.live() as u32).min(LATER_MAX);
                    // Whichever comes first.
                    let _ = tokio::time::timeout(most, self.told.notified()).await;
                }
            }
            let delay = DELAY_PER_BOX * self.live() as u32;
            if DELAY_MIN <= delay {
                tokio::time::sleep(delay.min(DELAY_MAX)).await;
            }
            let pending = std::mem::take(&mut *self.pending.lock().expect("no panic under lock"));
            self.send_to_live(&pending.buf);
        }
    }

    fn send_to_live(&self, buf: &[u8]) {
        if buf.is_empty() {
            return;
        }
        let known = self.known.lock().expect("no panic under lock");
        let live = known.iter().filter(|(_, p)| p.is_live()).map(|(addr, _)| *addr);
        self.send(buf, live);
    }

    /// Tells all boxes, or only those in `to`, that this one is alive.
    fn beat(&self, state: State, to: Option<&[SocketAddr]>) {
        let number = self.beats.fetch_add(1, Ordering::Relaxed);
        let tells_others = to.is_some() || number.is_multiple_of(LIST_EVERY);
        let State { version, sees_store, is_warm } = state;
        let mut known = self.known.lock().expect("no panic under lock");
        known.retain(|_, peer| !peer.is_forgotten());
        let live = known.iter().filter(|(_, p)| p.is_live()).map(|(addr, _)| *addr);
        let message = Message::Beat(Beat {
            name: self.name.clone(),
            zone: self.zone.clone(),
            addr: self.me,
            incarnation: self.incarnation,
            version,
            sees_store,
            is_warm,
            known: live.take(if tells_others { TOLD_MAX } else { 0 }).collect(),
        });
        let Ok(buf) = postcard::to_stdvec(&message) else { return };
        match to {
            Some(to) => self.send(&buf, to.iter().copied()),
            None => self.send(&buf, known.keys().copied()),
        }
    }

    fn send(&self, buf: &[u8], to: impl Iterator<Item = SocketAddr>) {
        if DATAGRAM_MAX < buf.len() {
            return;
        }
        for addr in to {
            // What can't be sent now is lost, as any datagram may be.
            let _ = self.socket.try_send_to(buf, SocketAddr::new(addr.ip(), self.port));
        }
    }

    /// Notes a sign of life.
    fn hear(&self, beat: &Beat) -> Heard {
        let mut news = Vec::new();
        if beat.addr == self.me {
            return Heard { news, has_restarted: false };
        }
        let mut known = self.known.lock().expect("no panic under lock");
        for addr in beat.known.iter().filter(|a| **a != self.me) {
            known.entry(*addr).or_insert_with(|| {
                news.push(*addr);
                Peer::unheard()
            });
        }
        let peer = known.entry(beat.addr).or_insert_with(Peer::unheard);
        let was_live = peer.is_live();
        let has_restarted = peer.heard.is_some() && peer.incarnation != beat.incarnation;
        peer.heard = Some(Instant::now());
        peer.counts_as_live = true;
        peer.incarnation = beat.incarnation;
        peer.version = beat.version;
        peer.sees_store = beat.sees_store;
        peer.is_warm = beat.is_warm;
        if !was_live {
            news.push(beat.addr);
        }
        Heard { news, has_restarted }
    }

    /// The boxes that have fallen silent since the last call.
    fn take_silent(&self) -> Vec<SocketAddr> {
        let mut known = self.known.lock().expect("no panic under lock");
        let silent = known.iter_mut().filter(|(_, p)| p.counts_as_live && !p.is_live());
        silent
            .map(|(addr, peer)| {
                peer.counts_as_live = false;
                *addr
            })
            .collect()
    }

    /// A box that has a newer configuration than `version`, preferably one that sees the store.
    fn ahead_of(&self, version: u64) -> Option<SocketAddr> {
        self.pick(|p| (version < p.version).then_some((p.sees_store, p.version)))
    }

    /// A box that knows what engines keep.
    pub fn warm(&self) -> Option<SocketAddr> {
        self.pick(|p| p.is_warm.then_some(()))
    }

    /// A box that sees the store.
    fn with_store(&self) -> Option<SocketAddr> {
        self.pick(|p| p.sees_store.then_some(()))
    }

    /// Of the boxes that are alive and have a rank, one with the highest. Boxes with the same rank
    /// are asked by different ones: when many start at once, one alone could not answer them all.
    fn pick<R: Ord>(&self, rank: impl Fn(&Peer) -> Option<R>) -> Option<SocketAddr> {
        let known = self.known.lock().expect("no panic under lock");
        let live = known.iter().filter(|(_, p)| p.is_live());
        let ranked = live.filter_map(|(addr, p)| Some((rank(p)?, self.draw(addr), *addr)));
        ranked.max().map(|(_, _, addr)| addr)
    }

    /// A number for another box that differs from box to box.
    fn draw(&self, addr: &SocketAddr) -> u64 {
        xxh3_64(format!("{}/{addr}", self.me).as_bytes())
    }

    /// Whether this box comes first among those that are alive.
    pub fn is_first(&self) -> bool {
        let known = self.known.lock().expect("no panic under lock");
        known.iter().filter(|(_, p)| p.is_live()).all(|(addr, _)| self.me < *addr)
    }
}

/// Begins to tell, to listen and to ask.
pub fn start(hub: &Arc<Hub>) {
    tokio::spawn(listen(hub.clone()));
    tokio::spawn(beat(hub.clone()));
    let flushing = hub.clone();
    tokio::spawn(async move { flushing.peers().flush().await });
    tokio::spawn(catch_up(hub.clone()));
}

async fn listen(hub: Arc<Hub>) {
    let socket = hub.peers().socket.clone();
    let mut buf = [0; DATAGRAM_MAX];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                // A box that doesn't listen yet answers with an error.
                debug!(hub.log(), "datagram"; "error" => %e);
                continue;
            }
        };
        take_in(&hub, &buf[..len], from);
        // What has come meanwhile is taken in without waiting for each.
        for _ in 0..DATAGRAMS_AT_ONCE {
            let Ok((len, from)) = socket.try_recv_from(&mut buf) else { break };
            take_in(&hub, &buf[..len], from);
        }
        tokio::task::yield_now().await;
    }
}

/// Takes in the messages of a datagram.
fn take_in(hub: &Hub, mut buf: &[u8], from: SocketAddr) {
    while !buf.is_empty() {
        let Ok((message, rest)) = postcard::take_from_bytes::<Message>(buf) else {
            debug!(hub.log(), "datagram refused"; "from" => %from);
            return;
        };
        buf = rest;
        match message {
            Message::Beat(beat) => hear(hub, &beat),
            message => intake::message(hub, message, from.ip()),
        }
    }
}

/// Takes in a sign of life. Boxes that start learn of each other within some round trips, since
/// each answers at once.
fn hear(hub: &Hub, beat: &Beat) {
    let Heard { news, has_restarted } = hub.peers().hear(beat);
    if has_restarted {
        info!(hub.log(), "box restarted"; "name" => beat.name.as_str());
        hub.fleet(|fleet| fleet.forget_sender(beat.addr.ip()));
    }
    if news.is_empty() {
        return;
    }
    if news.contains(&beat.addr) {
        info!(hub.log(), "box heard"; "name" => beat.name.as_str(),
            "zone" => beat.zone.as_str(), "version" => beat.version);
    }
    hub.peers().beat(state(hub), Some(&news));
}

fn state(hub: &Hub) -> State {
    let (version, sees_store) = hub.read(|view| (view.version(), view.reaches_store()));
    State { version, sees_store, is_warm: hub.is_warm() }
}

async fn beat(hub: Arc<Hub>) {
    loop {
        for addr in hub.peers().take_silent() {
            info!(hub.log(), "box silent"; "addr" => %addr);
            hub.fleet(|fleet| fleet.forget_sender(addr.ip()));
        }
        hub.peers().beat(state(&hub), None);
        tokio::time::sleep(BEAT).await;
    }
}

/// Asks other boxes for what this one misses: a configuration that is newer, and the upstreams
/// while it doesn't see the store.
async fn catch_up(hub: Arc<Hub>) {
    loop {
        tokio::time::sleep(ASK_AFTER).await;
        let (version, sees_store) = hub.read(|view| (view.version(), view.reaches_store()));
        let ahead = hub.peers().ahead_of(version);
        let other = if sees_store { None } else { hub.peers().with_store() };
        let Some(addr) = ahead.or(other) else { continue };
        match side::ask(addr).await {
            Ok(snapshot) => hub.take_over(snapshot),
            Err(e) => debug!(hub.log(), "box not asked"; "addr" => %addr, "error" => %e),
        }
    }
}
