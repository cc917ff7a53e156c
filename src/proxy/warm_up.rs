//! Loads the state of engines at a box that has just started or has become responsible for a group:
//! from another box or, if none has it, the engines' own lists of cached prompt parts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use slog::debug;
use tokio::time::Instant;

use crate::fleet::owners::EngineGroup;
use crate::fleet::owners::GroupOwners;
use crate::names::UpstreamName;
use crate::placement::registry::learned::CachedParts;
use crate::placement::registry::learned::LearnedReport;
use crate::proxy::adapter::EngineClient;
use crate::proxy::adapter::UpstreamListing;
use crate::proxy::aligned_timer;
use crate::proxy::box_api;
use crate::proxy::hub::Hub;
use crate::proxy::in_progress;
use crate::proxy::notices;
use crate::proxy::own_speeds;
use crate::proxy::view::View;

/// Interval between checks for a box that has the state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Running boxes reply to the first heartbeat within this time: several round trips within a
/// region.
const HEARTBEAT_REPLIES_WITHIN: Duration = Duration::from_millis(120);

/// Interval between checks for new groups. Boxes that start together agree on the owners of groups
/// within this time.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// After this, the box learns only from the requests that it sends.
const LEARN_TIMEOUT: Duration = Duration::from_secs(5);

/// Loads the state of all engines once, after the start of a box in a small fleet.
pub async fn run_at_start(hub: Arc<Hub>, engines: Arc<dyn EngineClient>) {
    let began = Instant::now();
    while began.elapsed() < LEARN_TIMEOUT && hub.peers().owners().is_empty() {
        tokio::time::sleep(POLL_INTERVAL).await;
        if !hub.read(View::is_ready) {
            continue;
        }
        if let Some(learned) = fetch_from_box(&hub).await {
            in_progress::handle_learned(&hub, &learned.requests);
            hub.warm_up(&learned);
            return;
        }
        if HEARTBEAT_REPLIES_WITHIN < began.elapsed() && hub.peers().is_first() {
            let cached = query_engines(&hub, &*engines, None).await;
            hub.warm_up(&LearnedReport { cached, ..LearnedReport::default() });
            return;
        }
    }
    hub.warm_up(&LearnedReport::default());
}

async fn fetch_from_box(hub: &Hub) -> Option<LearnedReport> {
    let addr = hub.peers().warm_box()?;
    box_api::fetch_learned(addr, None)
        .await
        .inspect_err(|e| {
            debug!(hub.log(), "could not fetch engine state from box"; "addr" => %addr,
                "error" => %e);
        })
        .ok()
}

/// Loads the state of the engines of groups that this box comes to own or stand by for, until the
/// process ends.
pub async fn run_for_own_groups(hub: Arc<Hub>, engines: Arc<dyn EngineClient>) {
    let mut known: BTreeSet<EngineGroup> = BTreeSet::new();
    loop {
        aligned_timer::wait_for_tick(OWNER_CHECK_INTERVAL).await;
        let own_ip = hub.peers().own_ip();
        let groups: BTreeMap<EngineGroup, GroupOwners> =
            hub.peers().owners().groups_of(own_ip).collect();
        known.retain(|group| groups.contains_key(group));
        for (group, owners) in groups {
            if known.insert(group) {
                tokio::spawn(learn_group(hub.clone(), engines.clone(), group, owners));
            }
        }
    }
}

/// Loads the state of a group's engines: the owner from the standby, the standby from the owner. If
/// the other box has none, the owner queries the engines.
async fn learn_group(
    hub: Arc<Hub>,
    engines: Arc<dyn EngineClient>,
    group: EngineGroup,
    owners: GroupOwners,
) {
    let own_ip = hub.peers().own_ip();
    let other = owners.boxes().find(|ip| *ip != own_ip).and_then(|ip| hub.peers().addr_of(ip));
    if let Some(addr) = other {
        match box_api::fetch_learned(addr, Some(group)).await {
            Ok(learned) => {
                in_progress::handle_learned(&hub, &learned.requests);
                if learned.cached.iter().any(|k| !k.parts.is_empty()) {
                    hub.warm_up(&learned);
                    return;
                }
                own_speeds::adopt(&hub, &learned.own_speeds);
            }
            Err(e) => {
                debug!(hub.log(), "could not fetch engine state from box"; "addr" => %addr,
                    "error" => %e)
            }
        }
    }
    if owners.owner == own_ip {
        let cached = query_engines(&hub, &*engines, Some(group)).await;
        hub.warm_up(&LearnedReport { cached, ..LearnedReport::default() });
    }
}

async fn query_engines(
    hub: &Hub,
    engines: &dyn EngineClient,
    group: Option<EngineGroup>,
) -> Vec<CachedParts> {
    let known: Vec<(UpstreamName, _)> = hub.read(|view| {
        let address = |l: &UpstreamListing| (l.name.clone(), l.addr);
        match group {
            Some(group) => view.registry().engines_in_group(group).map(address).collect(),
            None => view.registry().engines().map(address).collect(),
        }
    });
    let queries = known.into_iter().map(|(upstream, addr)| {
        let reply = engines.cached_parts(addr);
        async move {
            match notices::query(hub, &upstream, reply).await {
                Ok(parts) => Some(CachedParts { upstream, parts }),
                Err(e) => {
                    debug!(hub.log(), "engine query failed"; "upstream" => upstream.as_str(),
                        "error" => %e);
                    None
                }
            }
        }
    });
    futures_util::future::join_all(queries).await.into_iter().flatten().collect()
}
