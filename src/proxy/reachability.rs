//! Upstreams that may not be reachable: they get no work until a connection to them can be made.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::debug;
use slog::info;

use crate::names::UpstreamName;
use crate::proxy::adapter::UpstreamListing;
use crate::proxy::aligned_timer;
use crate::proxy::engine_placement;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;
use crate::proxy::notices;
use crate::proxy::suspects;
use crate::util;

/// Time between looks for upstreams that it is time to connect to.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Notes that an upstream may not be reachable. The other boxes hear of it only when a
/// connection fails: an answer that is lost says little of the upstream, and each box would
/// connect to it.
pub fn mark_unreachable(hub: &Hub, upstream: &UpstreamName) {
    let now = hub.now();
    if hub.fleet(|fleet| fleet.doubt(upstream, true, now)) {
        info!(hub.log(), "upstream in doubt"; "name" => upstream.as_str());
        hub.look();
    }
}

/// Tries to connect to upstreams that may not be reachable, until the process ends.
pub async fn run(hub: Arc<Hub>) {
    loop {
        tokio::select! {
            () = hub.looking() => {}
            () = aligned_timer::wait_for_tick(LOOK_INTERVAL) => {}
        }
        let now = hub.now();
        for listed in hub.fleet(|fleet| fleet.take_doubted(now)) {
            tokio::spawn(look_for(hub.clone(), listed));
        }
    }
}

async fn look_for(hub: Arc<Hub>, listed: UpstreamListing) {
    let UpstreamListing { name, addr, .. } = listed;
    if let Err(e) = hub.links().warm(addr).await {
        let now = hub.now();
        if e.is_refused() {
            suspects::refuses(&hub, &name);
        }
        if hub.fleet(|fleet| fleet.not_reached(&name, now)) {
            info!(hub.log(), "upstream unreachable"; "name" => name.as_str(),
                "error" => util::with_causes(&e));
            let message = Message::Unreachable { upstream: name.clone() };
            match hub.read(|view| view.fleet().is_engine(&name)) {
                true => engine_placement::notify_keepers(&hub, &name, &message),
                false => hub.peers().tell(&message),
            }
        }
        return;
    }
    suspects::answers(&hub, &name);
    let was_away = hub.read(|view| view.fleet().was_away(&name));
    if was_away {
        note_start(&hub, &name, addr).await;
    }
    if hub.fleet(|fleet| fleet.reached(&name)) {
        info!(hub.log(), "upstream reachable"; "name" => name.as_str());
    }
}

/// An engine that was away may have started anew. Those who keep its model ask it how long it is cold; if it
/// doesn't say, it is taken for one that has just started.
async fn note_start(hub: &Hub, name: &UpstreamName, addr: SocketAddr) {
    if !hub.read(|view| view.fleet().may_be_cold(name)) || !engine_placement::keeps_model(hub, name)
    {
        return;
    }
    let Some(path) = hub.read(|view| view.probe_path(name)) else { return };
    let cold_for = match notices::query(hub, name, hub.engines().cold_for(addr, &path)).await {
        Ok(cold_for) => Some(cold_for),
        Err(e) => {
            debug!(hub.log(), "engine not asked"; "upstream" => name.as_str(), "error" => %e);
            None
        }
    };
    let now = hub.now();
    hub.fleet(|fleet| fleet.chill(name, cold_for, now));
    info!(hub.log(), "upstream back"; "name" => name.as_str(),
        "cold_ms" => cold_for.map(|d| d.as_millis() as u64));
}
