//! What is known of engines, for a box that has just started: told by another box, or where none
//! knows, what they keep by the engines themselves.

use std::sync::Arc;
use std::time::Duration;

use slog::debug;
use tokio::time::Instant;

use crate::names::UpstreamName;
use crate::placement::fleet::Kept;
use crate::placement::fleet::Learned;
use crate::proxy::dialect::Engines;
use crate::proxy::hub::Hub;
use crate::proxy::side;
use crate::proxy::view::View;

/// Time between looks at who could tell.
const INTERVAL: Duration = Duration::from_millis(20);

/// Boxes that are there answer the first sign of life; this is some round trips within a region.
const OTHERS_HEARD: Duration = Duration::from_millis(120);

/// After this the box learns from what it sends.
const GIVE_UP: Duration = Duration::from_secs(5);

/// Learns of the engines, once.
pub async fn up(hub: Arc<Hub>, engines: Arc<dyn Engines>) {
    let began = Instant::now();
    while began.elapsed() < GIVE_UP {
        tokio::time::sleep(INTERVAL).await;
        if !hub.read(View::is_ready) {
            continue;
        }
        if let Some(learned) = from_others(&hub).await {
            hub.warm_up(&learned);
            return;
        }
        if OTHERS_HEARD < began.elapsed() && hub.peers().is_first() {
            let kept = from_engines(&hub, &*engines).await;
            hub.warm_up(&Learned { kept, ..Learned::default() });
            return;
        }
    }
    hub.warm_up(&Learned::default());
}

async fn from_others(hub: &Hub) -> Option<Learned> {
    let addr = hub.peers().warm()?;
    side::ask_learned(addr)
        .await
        .inspect_err(|e| debug!(hub.log(), "box not asked"; "addr" => %addr, "error" => %e))
        .ok()
}

async fn from_engines(hub: &Hub, engines: &dyn Engines) -> Vec<Kept> {
    let known: Vec<(UpstreamName, _)> =
        hub.read(|view| view.fleet().engines().map(|l| (l.name.clone(), l.addr)).collect());
    let asked = known.into_iter().map(|(upstream, addr)| {
        let answer = engines.kept(addr);
        async move {
            match answer.await {
                Ok(parts) => Some(Kept { upstream, parts }),
                Err(e) => {
                    debug!(hub.log(), "engine not asked"; "upstream" => upstream.as_str(),
                        "error" => %e);
                    None
                }
            }
        }
    });
    futures_util::future::join_all(asked).await.into_iter().flatten().collect()
}
