//! What is known of engines, for a box that has just started: told by another box, or where none
//! knows, what they keep by the engines themselves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use slog::debug;
use tokio::time::Instant;

use crate::fleet::owners::Group;
use crate::fleet::owners::Owned;
use crate::names::UpstreamName;
use crate::placement::fleet::learned::Kept;
use crate::placement::fleet::learned::Learned;
use crate::proxy::adapter::EngineClient;
use crate::proxy::adapter::UpstreamListing;
use crate::proxy::aligned_timer;
use crate::proxy::hub::Hub;
use crate::proxy::notices;
use crate::proxy::side;
use crate::proxy::view::View;

/// Time between looks at who could tell.
const INTERVAL: Duration = Duration::from_millis(20);

/// Boxes that are there answer the first sign of life; this is some round trips within a region.
const OTHERS_HEARD: Duration = Duration::from_millis(120);

/// Boxes that start together agree within this time on who keeps which models.
const SETTLE: Duration = Duration::from_millis(300);

/// After this the box learns from what it sends.
const GIVE_UP: Duration = Duration::from_secs(5);

/// Learns of the engines, once.
pub async fn run_at_start(hub: Arc<Hub>, engines: Arc<dyn EngineClient>) {
    let began = Instant::now();
    while began.elapsed() < GIVE_UP && hub.peers().owners().is_none() {
        tokio::time::sleep(INTERVAL).await;
        if !hub.read(View::is_ready) {
            continue;
        }
        if let Some(learned) = from_others(&hub).await {
            hub.warm_up(&learned);
            return;
        }
        if OTHERS_HEARD < began.elapsed() && hub.peers().is_first() {
            let kept = from_engines(&hub, &*engines, None).await;
            hub.warm_up(&Learned { kept, ..Learned::default() });
            return;
        }
    }
    hub.warm_up(&Learned::default());
}

async fn from_others(hub: &Hub) -> Option<Learned> {
    let addr = hub.peers().warm()?;
    side::ask_learned(addr, None)
        .await
        .inspect_err(|e| debug!(hub.log(), "box not asked"; "addr" => %addr, "error" => %e))
        .ok()
}

/// Learns of the engines of groups whose models this box comes to keep, until the process ends.
pub async fn run_for_kept_groups(hub: Arc<Hub>, engines: Arc<dyn EngineClient>) {
    let mut known: BTreeSet<Group> = BTreeSet::new();
    loop {
        aligned_timer::wait_for_tick(SETTLE).await;
        let me = hub.peers().me();
        let kept: BTreeMap<Group, Owned> = hub.peers().owners().kept_by(me).collect();
        known.retain(|group| kept.contains_key(group));
        for (group, owned) in kept {
            if known.insert(group) {
                tokio::spawn(learn(hub.clone(), engines.clone(), group, owned));
            }
        }
    }
}

/// Learns of the engines of a group from whoever else keeps their models. Where nobody knows of them,
/// the owner asks the engines.
async fn learn(hub: Arc<Hub>, engines: Arc<dyn EngineClient>, group: Group, owned: Owned) {
    let me = hub.peers().me();
    let other = owned.keepers().find(|ip| *ip != me).and_then(|ip| hub.peers().addr_of(ip));
    if let Some(addr) = other {
        match side::ask_learned(addr, Some(group)).await {
            Ok(learned) if learned.kept.iter().any(|k| !k.parts.is_empty()) => {
                hub.warm_up(&learned);
                return;
            }
            Ok(_) => {}
            Err(e) => debug!(hub.log(), "box not asked"; "addr" => %addr, "error" => %e),
        }
    }
    if owned.owner == me {
        let kept = from_engines(&hub, &*engines, Some(group)).await;
        hub.warm_up(&Learned { kept, ..Learned::default() });
    }
}

async fn from_engines(hub: &Hub, engines: &dyn EngineClient, group: Option<Group>) -> Vec<Kept> {
    let known: Vec<(UpstreamName, _)> = hub.read(|view| {
        let asked = |l: &UpstreamListing| (l.name.clone(), l.addr);
        match group {
            Some(group) => view.fleet().engines_of(group).map(asked).collect(),
            None => view.fleet().engines().map(asked).collect(),
        }
    });
    let asked = known.into_iter().map(|(upstream, addr)| {
        let answer = engines.kept(addr);
        async move {
            match notices::query(hub, &upstream, answer).await {
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
