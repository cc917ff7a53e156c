//! Tasks that exchange state with other boxes: sending heartbeats, receiving datagrams, and
//! requesting a newer configuration or missing changes of upstreams from them.

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
use crate::proxy::suspects;
use crate::proxy::view::View;

/// Datagrams handled before the task yields.
const DATAGRAMS_PER_YIELD: usize = 64;

/// Boxes that learn of a new configuration at the same time spread their requests for it over this
/// time. The store delivers it to each box at about the same time; a box that has received it
/// meanwhile doesn't request it.
const REQUEST_SPREAD: Duration = Duration::from_millis(150);

/// Time between checks whether to request a newer configuration or changes of upstreams from
/// another box. A report of a newer configuration causes a check earlier, within
/// [`REQUEST_SPREAD`].
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(300);

/// Time between requests for changes of upstreams. Changes are also sent by datagrams, so only lost
/// ones wait for this. A third of the time within which all boxes must know that an upstream
/// leaves.
const CHANGES_REQUEST_INTERVAL: Duration = Duration::from_millis(1000);

/// A box of a large fleet whose list differs from that of others at the same revision requests the
/// difference after this time. It may have received a change by datagram that the others fetch only
/// up to a second later; an earlier request would undo that change.
const DIVERGED_MIN: Duration = Duration::from_millis(2000);

/// Starts the tasks.
pub fn start(hub: &Arc<Hub>) {
    tokio::spawn(receive_datagrams(hub.clone()));
    tokio::spawn(send_heartbeats(hub.clone()));
    let flushing = hub.clone();
    tokio::spawn(async move { flushing.peers().flush_broadcasts().await });
    let flushing = hub.clone();
    tokio::spawn(async move { flushing.peers().flush_batches().await });
    tokio::spawn(catch_up(hub.clone()));
}

async fn receive_datagrams(hub: Arc<Hub>) {
    let socket = hub.peers().socket.clone();
    let mut buf = [0; DATAGRAM_MAX_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                // Sending to a box that doesn't listen yet causes an error here.
                debug!(hub.log(), "receiving a datagram failed"; "error" => %e);
                continue;
            }
        };
        handle_datagram(&hub, &buf[..len], from);
        // Datagrams that have arrived meanwhile are handled without waiting for each.
        for _ in 0..DATAGRAMS_PER_YIELD {
            let Ok((len, from)) = socket.try_recv_from(&mut buf) else { break };
            handle_datagram(&hub, &buf[..len], from);
        }
        tokio::task::yield_now().await;
    }
}

/// Handles the messages of a datagram.
fn handle_datagram(hub: &Hub, mut buf: &[u8], from: SocketAddr) {
    while !buf.is_empty() {
        let Ok((message, rest)) = postcard::take_from_bytes::<Message>(buf) else {
            debug!(hub.log(), "datagram not decoded"; "from" => %from);
            return;
        };
        buf = rest;
        match message {
            Message::Heartbeat(heartbeat) => handle_heartbeat(hub, &heartbeat),
            Message::PlacementRequest(request) => {
                engine_placement::handle_request(hub, &request, from.ip())
            }
            Message::PlainPlacementRequest(request) => {
                plain_placement::handle_request(hub, &request, from.ip())
            }
            message => state_updates::apply_message(hub, message, from.ip()),
        }
    }
}

/// Handles a heartbeat. Boxes reply to a new box at once, so boxes that start learn of each other
/// within a few round trips.
fn handle_heartbeat(hub: &Hub, heartbeat: &HeartbeatMessage) {
    let peers = hub.peers();
    let now = peers.now();
    let HeartbeatOutcome { reply_to, is_new, has_restarted } =
        peers.members(|members| members.receive(heartbeat, now));
    let report = &heartbeat.report;
    if has_restarted {
        info!(hub.log(), "box restarted"; "name" => report.name.as_str());
        hub.remove_sender(report.addr.ip());
    }
    if is_new {
        info!(hub.log(), "box joined"; "name" => report.name.as_str(),
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
        peers.send_heartbeat_to(own_state(hub), &reply_to);
    }
}

/// Sends recent updates about other boxes, if there are any; to be called every
/// [`GOSSIP_INTERVAL`].
///
/// [`GOSSIP_INTERVAL`]: crate::fleet::members::GOSSIP_INTERVAL
pub fn send_gossip(hub: &Hub) {
    hub.peers().send_gossip(|| own_state(hub));
}

fn own_state(hub: &Hub) -> OwnState {
    let held_digest = suspects::held_digest(hub);
    let rollouts = rollouts::own_reports(hub);
    hub.read(|view| OwnState {
        version: view.version(),
        reaches_store: view.reaches_store(),
        is_warm: hub.is_warm(),
        upstreams_digest: view.digest(),
        revision: view.revision(),
        evacuated: view.evacuated().clone(),
        held_digest,
        rollouts,
    })
}

async fn send_heartbeats(hub: Arc<Hub>) {
    loop {
        let peers = hub.peers();
        let now = peers.now();
        for ip in peers.members(|members| members.take_dead(now)) {
            info!(hub.log(), "box silent"; "ip" => %ip);
            hub.remove_sender(ip);
        }
        peers.send_heartbeats(own_state(&hub));
        // The next tick or a request for a heartbeat, whichever comes first.
        let _ = tokio::time::timeout_at(
            aligned_timer::next_tick(HEARTBEAT_INTERVAL),
            peers.heartbeat_requested.notified(),
        )
        .await;
    }
}

/// Requests a newer configuration from other boxes, and changes of upstreams while this box doesn't
/// reach the store, until the process ends.
async fn catch_up(hub: Arc<Hub>) {
    let mut diverged_since: Option<Instant> = None;
    let mut requested_at = None;
    loop {
        // The next tick or a newer configuration, whichever comes first.
        let due = aligned_timer::next_tick(CATCH_UP_INTERVAL);
        if tokio::time::timeout_at(due, hub.peers().newer_configuration.notified()).await.is_ok() {
            // Many boxes learn of a configuration at the same time; their requests are spread.
            let fraction = rand::rng().random_range(0.0..1.0);
            tokio::time::sleep(REQUEST_SPREAD.mul_f64(fraction)).await;
        }
        let is_ready = hub.read(View::is_ready);
        let is_small_fleet = hub.peers().owners().is_empty();
        let (newer_configuration, sync_state) = sync_status(&hub, is_small_fleet);
        let diverged = matches!(sync_state, SyncState::Diverged(_)).then(Instant::now);
        diverged_since = diverged.map(|now| diverged_since.unwrap_or(now));
        let request_difference =
            diverged_since.is_some_and(|at| DIVERGED_MIN <= at.elapsed()) || is_small_fleet;
        let was_requested =
            requested_at.is_some_and(|at: Instant| at.elapsed() < CHANGES_REQUEST_INTERVAL);
        match (newer_configuration, sync_state) {
            (Some(addr), _) => fetch_difference(&hub, addr).await,
            (None, SyncState::Diverged(addr)) if request_difference || !is_ready => {
                fetch_difference(&hub, addr).await
            }
            (None, SyncState::Behind(addrs)) if !was_requested || !is_ready => {
                let Some(addr) = addrs.into_iter().choose(&mut rand::rng()) else { continue };
                requested_at = Some(Instant::now());
                fetch_changes(&hub, addr).await;
            }
            (None, _) => {}
        }
    }
}

/// Returns a box with a newer configuration, and how this box's list compares with those of the
/// boxes that reach the store. In a small fleet, a list counts as diverged from any such box, so
/// that the difference is requested at each tick.
fn sync_status(hub: &Hub, is_small_fleet: bool) -> (Option<SocketAddr>, SyncState) {
    let OwnState { version, reaches_store, upstreams_digest, revision, .. } = own_state(hub);
    let peers = hub.peers();
    let sync_state = if reaches_store {
        SyncState::InSync
    } else if is_small_fleet {
        peers.box_with_store().map_or(SyncState::InSync, SyncState::Diverged)
    } else {
        peers.sync_state(revision, upstreams_digest)
    };
    (peers.box_with_newer_configuration(version), sync_state)
}

/// Requests the difference of the lists from another box.
async fn fetch_difference(hub: &Hub, addr: SocketAddr) {
    match box_api::fetch_difference(addr, hub).await {
        Ok(snapshot) => hub.apply_snapshot(snapshot),
        Err(e) => {
            debug!(hub.log(), "request to another box failed"; "addr" => %addr, "error" => %e)
        }
    }
}

/// Requests recent changes from another box, or the difference of the lists if that box no longer
/// knows the changes.
async fn fetch_changes(hub: &Hub, addr: SocketAddr) {
    match box_api::fetch_changes(addr, hub).await {
        Ok(Some(changes)) => hub.apply_snapshot(changes),
        Ok(None) => fetch_difference(hub, addr).await,
        Err(e) => {
            debug!(hub.log(), "request to another box failed"; "addr" => %addr, "error" => %e)
        }
    }
}
