//! Polls the load of the upstreams of this box's dispatchers, on a separate thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde::Deserialize;
use ureq::Agent;
use ureq::http::StatusCode;

use crate::config::Upstream;
use crate::dispatch::upstreams::UpstreamReport;
use crate::names::PoolName;
use crate::names::UpstreamName;
use crate::node::Node;
use crate::router::hub::Hub;

/// Time between polls of each upstream.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Most upstreams polled at once.
const CONCURRENT_POLLS_MAX: usize = 16;

/// The body of an upstream's response.
#[derive(Debug, Deserialize)]
struct LoadResponse {
    running: u32,
    leaving: bool,
    #[serde(default)]
    events: Vec<CacheEvent>,
}

#[derive(Debug, Deserialize)]
struct CacheEvent {
    prefix: u64,
    stored: bool,
}

struct Target {
    pool: PoolName,
    name: UpstreamName,
    addr: SocketAddr,
}

/// Polls until the process ends.
pub fn poll_upstreams(hub: Arc<Hub>) {
    let config = Agent::config_builder().proxy(None).timeout_global(Some(POLL_TIMEOUT)).build();
    let agent = Agent::from(config);
    thread::spawn(move || {
        loop {
            let targets = hub.read(|node, _| targets(node));
            for batch in targets.chunks(CONCURRENT_POLLS_MAX) {
                thread::scope(|scope| {
                    for target in batch {
                        scope.spawn(|| poll(&hub, &agent, target));
                    }
                });
            }
            thread::sleep(POLL_INTERVAL);
        }
    });
}

fn targets(node: &Node) -> Vec<Target> {
    let cfg = node.configuration();
    let zone = &node.identity().zone;
    let pool_targets = |pool: &PoolName| -> Vec<Target> {
        let target =
            |u: &Upstream| Target { pool: u.pool.clone(), name: u.name.clone(), addr: u.address };
        cfg.upstreams(pool, zone).map(target).collect()
    };
    node.pools().flat_map(|p| pool_targets(p.name())).collect()
}

/// Polls one upstream. A failed poll has no effect, since failing upstreams are detected by their
/// failed requests.
fn poll(hub: &Hub, agent: &Agent, target: &Target) {
    let Ok(mut resp) = agent.get(format!("http://{}/load", target.addr)).call() else { return };
    if resp.status() != StatusCode::OK {
        return;
    }
    let Ok(text) = resp.body_mut().read_to_string() else { return };
    let Ok(load) = serde_json::from_str::<LoadResponse>(&text) else { return };
    let report = UpstreamReport { running: load.running, leaving: load.leaving };
    hub.update(|node, now| {
        node.record_upstream_report(&target.pool, &target.name, report, now);
        for event in &load.events {
            node.cache_event(&target.pool, &target.name, event.prefix, event.stored);
        }
    });
}
