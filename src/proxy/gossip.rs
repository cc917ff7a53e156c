//! The tasks by which boxes know of each other: signs of life, what other boxes tell, and questions to
//! those that are ahead.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use slog::debug;
use slog::info;
use tokio::time::Instant;

use crate::fleet::members::HEARTBEAT_INTERVAL;
use crate::fleet::members::HeartbeatMessage;
use crate::fleet::members::HeartbeatOutcome;
use crate::fleet::sync_state::SyncState;
use crate::proxy::aligned_timer;
use crate::proxy::box_api;
use crate::proxy::engine_placement;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;
use crate::proxy::peers::DATAGRAM_MAX_BYTES;
use crate::proxy::peers::OwnState;
use crate::proxy::plain_placement;
use crate::proxy::rollouts;
use crate::proxy::state_updates;
use crate::proxy::view::View;

/// Datagrams taken in before others get their turn.
const DATAGRAMS_AT_ONCE: usize = 64;

/// Boxes that hear of a new configuration at once ask for it spread over this time.
const ASK_SPREAD: Duration = Duration::from_millis(150);

/// The store tells each box of a new configuration at about the same time; another box is asked
/// for it only if the store has not told after this.
const ASK_AFTER: Duration = Duration::from_millis(300);

/// Time between questions for changes of upstreams, which are told by datagrams, too: only what was lost of
/// these waits for it. A third of the time in which all must know that an upstream leaves.
const BEHIND_EVERY: Duration = Duration::from_millis(1000);

/// A box of a larger fleet that has heard of as much as others, and lists other upstreams, asks for what
/// differs after this time: it may have heard by datagram of a change that they take in with a call a
/// second later, and would give that up.
const APART_FOR: Duration = Duration::from_millis(2000);

/// Begins to tell, to listen and to ask.
pub fn start(hub: &Arc<Hub>) {
    tokio::spawn(listen(hub.clone()));
    tokio::spawn(beat(hub.clone()));
    let flushing = hub.clone();
    tokio::spawn(async move { flushing.peers().flush_all().await });
    let flushing = hub.clone();
    tokio::spawn(async move { flushing.peers().flush_some().await });
    tokio::spawn(catch_up(hub.clone()));
}

async fn listen(hub: Arc<Hub>) {
    let socket = hub.peers().socket.clone();
    let mut buf = [0; DATAGRAM_MAX_BYTES];
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
            Message::Heartbeat(beat) => hear(hub, &beat),
            Message::PlacementRequest(ask) => {
                engine_placement::handle_request(hub, &ask, from.ip())
            }
            Message::PlainPlacementRequest(ask) => {
                plain_placement::handle_request(hub, &ask, from.ip())
            }
            message => state_updates::apply_message(hub, message, from.ip()),
        }
    }
}

/// Takes in a sign of life. Boxes that start learn of each other within some round trips, since
/// each answers at once.
fn hear(hub: &Hub, beat: &HeartbeatMessage) {
    let peers = hub.peers();
    let now = peers.now();
    let HeartbeatOutcome { reply_to, is_new, has_restarted } =
        peers.members(|members| members.receive(beat, now));
    let report = &beat.report;
    if has_restarted {
        info!(hub.log(), "box restarted"; "name" => report.name.as_str());
        hub.fleet(|fleet| fleet.remove_sender(report.addr.ip()));
    }
    if is_new {
        info!(hub.log(), "box heard"; "name" => report.name.as_str(),
            "zone" => report.zone.as_str(), "version" => report.version);
    }
    if hub.read(|view| view.evacuated().revision) < report.evacuated.revision {
        hub.change(|view, now| view.evacuate(&report.evacuated, now));
    }
    rollouts::merge_reports(hub, &report.rollouts);
    if hub.version() < report.version {
        peers.newer_configuration.notify_one();
    }
    if !reply_to.is_empty() {
        peers.send_heartbeat_to(state(hub), &reply_to);
    }
}

/// Tells what is news of other boxes, if anything is; to be called every [`GOSSIP_INTERVAL`].
///
/// [`GOSSIP_INTERVAL`]: crate::fleet::members::GOSSIP_INTERVAL
pub fn send_gossip(hub: &Hub) {
    hub.peers().send_gossip(|| state(hub));
}

fn state(hub: &Hub) -> OwnState {
    let held = hub.suspects().read(|quarantine| quarantine.held_digest(hub.now()));
    let rollouts = rollouts::own_reports(hub);
    hub.read(|view| OwnState {
        version: view.version(),
        sees_store: view.reaches_store(),
        is_warm: hub.is_warm(),
        upstreams: view.digest(),
        revision: view.revision(),
        evacuated: view.evacuated().clone(),
        held,
        rollouts,
    })
}

async fn beat(hub: Arc<Hub>) {
    loop {
        let peers = hub.peers();
        let now = peers.now();
        for ip in peers.members(|members| members.take_dead(now)) {
            info!(hub.log(), "box silent"; "ip" => %ip);
            hub.fleet(|fleet| fleet.remove_sender(ip));
        }
        peers.send_heartbeats(state(&hub));
        // Whichever comes first.
        let _ = tokio::time::timeout_at(
            aligned_timer::next_tick(HEARTBEAT_INTERVAL),
            peers.heartbeat_requested.notified(),
        )
        .await;
    }
}

/// Asks other boxes for what this one misses: a configuration that is newer, and the upstreams
/// while it doesn't see the store.
async fn catch_up(hub: Arc<Hub>) {
    let mut apart_since: Option<Instant> = None;
    let mut asked_at = None;
    loop {
        // Whichever comes first. Many boxes hear of a configuration at once; they don't ask at once.
        let due = aligned_timer::next_tick(ASK_AFTER);
        if tokio::time::timeout_at(due, hub.peers().newer_configuration.notified()).await.is_ok() {
            let part = rand::rng().random_range(0.0..1.0);
            tokio::time::sleep(ASK_SPREAD.mul_f64(part)).await;
        }
        let is_known = hub.read(View::is_ready);
        let is_small = hub.peers().owners().is_empty();
        let (ahead, standing) = missing(&hub, is_small);
        let apart = matches!(standing, SyncState::Diverged(_)).then(Instant::now);
        apart_since = apart.map(|now| apart_since.unwrap_or(now));
        let is_apart = apart_since.is_some_and(|at| APART_FOR <= at.elapsed()) || is_small;
        let was_asked = asked_at.is_some_and(|at: Instant| at.elapsed() < BEHIND_EVERY);
        match (ahead, standing) {
            (Some(addr), _) => ask(&hub, addr).await,
            (None, SyncState::Diverged(addr)) if is_apart || !is_known => ask(&hub, addr).await,
            (None, SyncState::Behind(all)) if !was_asked || !is_known => {
                let Some(addr) = all.into_iter().choose(&mut rand::rng()) else { continue };
                asked_at = Some(Instant::now());
                fetch_changes(&hub, addr).await;
            }
            (None, _) => {}
        }
    }
}

/// A box with a newer configuration, and how this one stands to those that see the store.
fn missing(hub: &Hub, is_small: bool) -> (Option<SocketAddr>, SyncState) {
    let OwnState { version, sees_store, upstreams, revision, .. } = state(hub);
    let peers = hub.peers();
    let standing = if sees_store {
        SyncState::InSync
    } else if is_small {
        peers.box_with_store().map_or(SyncState::InSync, SyncState::Diverged)
    } else {
        peers.standing(revision, upstreams)
    };
    (peers.box_with_newer_configuration(version), standing)
}

/// Asks another box for all that differs.
async fn ask(hub: &Hub, addr: SocketAddr) {
    match box_api::fetch_difference(addr, hub).await {
        Ok(snapshot) => hub.apply_snapshot(snapshot),
        Err(e) => debug!(hub.log(), "box not asked"; "addr" => %addr, "error" => %e),
    }
}

/// Asks another box for what has changed, or for all that differs if it doesn't know that any more.
async fn fetch_changes(hub: &Hub, addr: SocketAddr) {
    match box_api::fetch_changes(addr, hub).await {
        Ok(Some(changes)) => hub.apply_snapshot(changes),
        Ok(None) => ask(hub, addr).await,
        Err(e) => debug!(hub.log(), "box not asked"; "addr" => %addr, "error" => %e),
    }
}
