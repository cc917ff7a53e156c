//! Asks the upstreams of this box's dispatchers how they are, on a thread of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde::Deserialize;
use ureq::Agent;

use crate::config::Upstream;
use crate::dispatch::upstreams::Report;
use crate::names::PoolName;
use crate::names::UpstreamName;
use crate::node::Node;
use crate::router::hub::Hub;

/// How often each upstream is asked.
const EVERY: Duration = Duration::from_millis(500);

/// How long an upstream may take to answer.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Upstreams asked at the same time.
const AT_ONCE: usize = 16;

/// What an upstream answers.
#[derive(Debug, Deserialize)]
struct Load {
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

/// Asks until the process ends.
pub fn watch(hub: Arc<Hub>) {
    let config = Agent::config_builder().proxy(None).timeout_global(Some(TIMEOUT)).build();
    let agent = Agent::from(config);
    thread::spawn(move || {
        loop {
            let targets = hub.read(|node, _| targets(node));
            for some in targets.chunks(AT_ONCE) {
                thread::scope(|scope| {
                    for target in some {
                        scope.spawn(|| ask(&hub, &agent, target));
                    }
                });
            }
            thread::sleep(EVERY);
        }
    });
}

fn targets(node: &Node) -> Vec<Target> {
    let cfg = node.configuration();
    let zone = &node.identity().zone;
    let of_pool = |pool: &PoolName| -> Vec<Target> {
        let target =
            |u: &Upstream| Target { pool: u.pool.clone(), name: u.name.clone(), addr: u.address };
        cfg.upstreams(pool, zone).map(target).collect()
    };
    node.pools().flat_map(|p| of_pool(p.name())).collect()
}

/// An upstream that doesn't answer is told by its failed requests; here it is only left as it is.
fn ask(hub: &Hub, agent: &Agent, target: &Target) {
    let Ok(mut resp) = agent.get(format!("http://{}/load", target.addr)).call() else { return };
    let Ok(text) = resp.body_mut().read_to_string() else { return };
    let Ok(load) = serde_json::from_str::<Load>(&text) else { return };
    let report = Report { running: load.running, leaving: load.leaving };
    hub.with(|node, now| {
        node.record_upstream_report(&target.pool, &target.name, report, now);
        for event in &load.events {
            node.cache_event(&target.pool, &target.name, event.prefix, event.stored);
        }
    });
}
