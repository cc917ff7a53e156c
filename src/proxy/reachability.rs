//! Upstreams that may be unreachable. They get no requests until a probe has connected to them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::debug;
use slog::info;

use crate::fleet::owners::GroupOwners;
use crate::names::UpstreamName;
use crate::placement::reconnect::ReconnectPace;
use crate::placement::upstream;
use crate::proxy::adapter::UpstreamListing;
use crate::proxy::aligned_timer;
use crate::proxy::engine_placement;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;
use crate::proxy::notices;
use crate::proxy::plain_placement;
use crate::proxy::suspects;
use crate::proxy::upstream_connections::UpstreamBody;
use crate::util;

/// How long before a response's end a stall may have been noticed in which it ended.
const STALL_RECENT: Duration = Duration::from_millis(200);

/// Interval between checks for due probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Marks an upstream as possibly unreachable, so that this box probes it. The other boxes are
/// notified only if the probe fails: a lost response is weak evidence, and each of them would
/// connect to the upstream.
pub fn mark_unreachable(hub: &Hub, upstream: &UpstreamName) {
    let now = hub.now();
    if hub.with_registry(|registry| registry.mark_unverified(upstream, true, now)) {
        info!(hub.log(), "upstream may be unreachable, probing it"; "name" => upstream.as_str());
        hub.request_probe();
    }
}

/// Returns whether the upstream of a response that has ended with its connection crashed as it did,
/// as far as that can be found out `within` this time. An upstream that accepts connections may have
/// restarted while this process did not run.
pub async fn has_crashed(hub: Arc<Hub>, body: UpstreamBody, within: Duration) -> bool {
    let asked_at = hub.now();
    let has_crashed = tokio::time::timeout(within, body.has_crashed()).await;
    has_crashed.unwrap_or_default() || hub.has_stalled_since(asked_at.saturating_sub(STALL_RECENT))
}

/// Probes upstreams that may be unreachable, until the process ends.
pub async fn run(hub: Arc<Hub>) {
    loop {
        tokio::select! {
            () = hub.probe_requested() => {}
            () = aligned_timer::wait_for_tick(PROBE_INTERVAL) => {}
        }
        let now = hub.now();
        let pace = |listed: &UpstreamListing, is_engine| pace(&hub, listed, is_engine);
        for listed in hub.with_registry(|registry| registry.take_due_probes(pace, now)) {
            tokio::spawn(probe(hub.clone(), listed));
        }
    }
}

/// How often this box tries to connect to an upstream.
fn pace(hub: &Hub, listed: &UpstreamListing, is_engine: bool) -> ReconnectPace {
    let deciders = deciders(hub, listed, is_engine);
    ReconnectPace {
        decides: deciders.is_none_or(|owned| owned.boxes().any(|ip| ip == hub.peers().own_ip())),
        boxes: hub.peers().known_count(),
        draw: hub.peers().own_draw(&listed.name),
    }
}

/// The boxes that decide on an upstream; `None` if all do.
fn deciders(hub: &Hub, listed: &UpstreamListing, is_engine: bool) -> Option<GroupOwners> {
    match is_engine {
        true => hub.peers().owners().owners_of_hash(upstream::name_hash(&listed.name)),
        false => plain_placement::owners(hub, &listed.service),
    }
}

async fn probe(hub: Arc<Hub>, listed: UpstreamListing) {
    let is_engine = hub.read(|view| view.registry().is_engine(&listed.name));
    let pace = pace(&hub, &listed, is_engine);
    let deciders = deciders(&hub, &listed, is_engine);
    let UpstreamListing { name, addr, .. } = listed;
    if let Err(e) = hub.upstream_connections().preconnect(addr).await {
        let now = hub.now();
        if e.is_refused() {
            suspects::connection_refused(&hub, &name);
        }
        if hub.with_registry(|registry| registry.record_connect_failure(&name, pace, now)) {
            info!(hub.log(), "upstream unreachable"; "name" => name.as_str(),
                "error" => util::error_chain(&e));
            let message = Message::Unreachable { upstream: name.clone() };
            match deciders {
                Some(deciders) => _ = hub.peers().send_batched(deciders.boxes(), &message),
                None => hub.peers().broadcast(&message),
            }
        }
        return;
    }
    suspects::upstream_answered(&hub, &name);
    let last_connect_failed = hub.read(|view| view.registry().last_connect_failed(&name));
    if last_connect_failed {
        update_cold_time(&hub, &name, addr).await;
    }
    if hub.with_registry(|registry| registry.mark_reachable(&name)) {
        info!(hub.log(), "upstream reachable"; "name" => name.as_str());
    }
}

/// An engine that was unreachable may have restarted. The boxes that track it query how long it
/// stays cold. If it doesn't say, it is treated as one that has just started.
async fn update_cold_time(hub: &Hub, name: &UpstreamName, addr: SocketAddr) {
    if !hub.read(|view| view.registry().has_cold_limits(name))
        || !engine_placement::tracks_engine(hub, name)
    {
        return;
    }
    let Some(path) = hub.read(|view| view.probe_path(name)) else { return };
    let cold_for = match notices::query(hub, name, hub.engine_client().cold_for(addr, &path)).await
    {
        Ok(cold_for) => Some(cold_for),
        Err(e) => {
            debug!(hub.log(), "engine query failed"; "upstream" => name.as_str(), "error" => %e);
            None
        }
    };
    let now = hub.now();
    hub.with_registry(|registry| registry.mark_cold(name, cold_for, now));
    info!(hub.log(), "engine reachable again, cold time updated"; "name" => name.as_str(),
        "cold_ms" => cold_for.map(|d| d.as_millis() as u64));
}
