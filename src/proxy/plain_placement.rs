//! Places requests for plain services. The decision is made by the box that counts the requests of
//! all boxes at the service's upstreams: the owner of the service, or in a small fleet each box,
//! from what all boxes broadcast.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use slog::info;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::owners::GroupOwners;
use crate::fleet::rollout::VersionFilter;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::names::ZoneName;
use crate::placement::choice::Choice;
use crate::placement::cold::Role;
use crate::placement::plain::PlainQuery;
use crate::proxy::adapter::Prompt;
use crate::proxy::engine_placement;
use crate::proxy::engine_placement::OwnerResponse;
use crate::proxy::engine_placement::PlacementDecision;
use crate::proxy::engine_placement::PlacementResult;
use crate::proxy::hub::Hub;
use crate::proxy::in_progress;
use crate::proxy::message::Message;
use crate::proxy::message::PlacementResponse;
use crate::proxy::notices;
use crate::proxy::placement_queue::NoDecision;
use crate::proxy::placement_queue::OwnerDecision;

/// Asks the owner of a plain service to place a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainPlacementRequest {
    /// Identifies the decision.
    pub request: u64,
    /// The service.
    pub service: ServiceName,
    /// The workspace that is charged.
    pub workspace: Option<WorkspaceName>,
    /// The availability zone of the box that asks.
    pub zone: ZoneName,
    /// Upstreams that must not be chosen.
    pub excluded: Vec<UpstreamName>,
    /// The versions that may serve it.
    pub version_filter: VersionFilter,
    /// The route's target latency, in milliseconds.
    pub latency_target_ms: u32,
    /// How long the request has already waited, in milliseconds.
    pub waited_ms: u32,
    /// Whether the request may be sent again if it fails.
    pub is_repeatable: bool,
}

/// The hash by which the owners of a plain service are found.
pub fn owner_hash(service: &str) -> u64 {
    xxh3_64(service.as_bytes())
}

/// The boxes that count the requests of a plain service; `None` if each box does.
pub fn owners(hub: &Hub, service: &str) -> Option<GroupOwners> {
    hub.peers().owners().owners_of_hash(owner_hash(service))
}

/// Places a request, or says why it isn't placed; `None` if neither owner nor standby responds.
pub async fn place(hub: &Arc<Hub>, query: PlainQuery<'_>) -> Option<PlacementDecision> {
    let (me, request) = (hub.peers().own_ip(), query.request);
    if hub.peers().owners().is_empty() {
        let role = Role::Peer { boxes: hub.peers().known_count(), draw: hub.peers().own_draw("") };
        return Some(PlacementDecision {
            result: place_and_broadcast(hub, PlainQuery { role, ..query }),
            decided_by: me,
            role,
            request,
            recorded_by: Vec::new(),
            queued: Duration::ZERO,
            alternative: None,
        });
    }
    let owners = owners(hub, query.service)?;
    for ip in owners.boxes() {
        let role = owners.role(ip);
        if ip == me {
            let OwnerResponse { result, recorded_by } =
                place_here(hub, PlainQuery { role, ..query }, owners);
            return Some(PlacementDecision {
                result,
                decided_by: me,
                role,
                request,
                recorded_by,
                queued: Duration::ZERO,
                alternative: None,
            });
        }
        if hub.owner_requests().is_unresponsive(ip, hub.now()) {
            continue;
        }
        let request = engine_placement::request_id_at(query.request, ip);
        let message = Message::PlainPlacementRequest(placement_request(
            hub,
            &PlainQuery { request, ..query },
        ));
        match engine_placement::request_decision(hub, ip, request, &message).await {
            Ok(OwnerDecision { result: Ok(choice), recorded_by, .. })
                if engine_placement::is_stale_choice(hub, ip, &choice, query.version_filter) =>
            {
                notices::resend(hub, &choice.upstream, ip);
                engine_placement::withdraw(hub, request, recorded_by.into_iter());
            }
            // The backoff began while this box waited for the owner.
            Ok(OwnerDecision { result: Ok(choice), recorded_by, .. })
                if hub.is_backing_off(&choice.upstream) =>
            {
                engine_placement::withdraw(hub, request, owners.boxes().chain(recorded_by));
                continue;
            }
            Ok(OwnerDecision { result, queued, recorded_by }) => {
                let recorded_by = [ip].into_iter().chain(recorded_by).collect();
                return Some(PlacementDecision {
                    result,
                    decided_by: ip,
                    role,
                    request,
                    recorded_by,
                    queued,
                    alternative: None,
                });
            }
            // The same for the next box, unless that is this one.
            Err(NoDecision::NotAsked) => continue,
            Err(NoDecision::Unresponsive | NoDecision::Undecided) => {
                info!(hub.log(), "owner did not respond"; "ip" => %ip, "service" => query.service)
            }
        }
        engine_placement::withdraw(hub, request, owners.boxes());
        hub.owner_requests().mark_unresponsive(ip, hub.now());
    }
    None
}

/// Places a request on behalf of another box, and responds to it.
pub fn handle_request(hub: &Hub, message: &PlainPlacementRequest, from: IpAddr) {
    let group_owners = owners(hub, &message.service);
    let own_ip = hub.peers().own_ip();
    let query = PlainQuery {
        request: message.request,
        service: &message.service,
        workspace: message.workspace.as_ref(),
        excluded: &message.excluded,
        version_filter: message.version_filter,
        target_latency: Duration::from_millis(message.latency_target_ms.into()),
        waited: Duration::from_millis(message.waited_ms.into()),
        zone: &message.zone,
        sender: Some(from),
        is_repeatable: message.is_repeatable,
        role: group_owners.map_or(Role::Unassigned, |owners| owners.role(own_ip)),
    };
    let OwnerResponse { result, recorded_by } = match group_owners {
        Some(owners) => place_here(hub, query, owners),
        None => OwnerResponse { result: hub.admit_plain(query), recorded_by: Vec::new() },
    };
    let response = PlacementResponse { request: message.request, result, recorded_by };
    hub.peers().send_now(from, &Message::PlacementResponse(response));
}

/// Sends a message to the boxes that count the requests of a plain service. In a small fleet, all
/// boxes do.
pub fn notify_owners(hub: &Hub, service: &str, message: &Message) {
    match owners(hub, service) {
        Some(owners) => _ = hub.peers().send_batched(owners.boxes(), message),
        None => hub.peers().broadcast(message),
    }
}

/// Places a request by this box's own counts, and sends the result to the other one of owner and
/// standby, and to boxes that also place requests there.
fn place_here(hub: &Hub, query: PlainQuery<'_>, owners: GroupOwners) -> OwnerResponse {
    let result = hub.admit_plain(query);
    let Ok(choice) = &result else {
        return OwnerResponse { result, recorded_by: Vec::new() };
    };
    let others = in_progress::other_deciders(hub, owner_hash(query.service), owners);
    let message = placed_message(&PlainQuery { workspace: None, ..query }, choice);
    hub.peers().send_batched(others.iter().copied(), &message);
    OwnerResponse { result, recorded_by: others }
}

fn place_and_broadcast(hub: &Hub, query: PlainQuery<'_>) -> PlacementResult {
    let result = hub.admit_plain(query);
    if let Ok(choice) = &result {
        hub.peers().broadcast(&placed_message(&query, choice));
    }
    result
}

fn placement_request(hub: &Hub, query: &PlainQuery<'_>) -> PlainPlacementRequest {
    let (service, version_filter) = (query.service, query.version_filter);
    let others = engine_placement::of_other_versions(hub, service, None, version_filter);
    let excluded = query.excluded.iter().cloned().chain(others);
    PlainPlacementRequest {
        request: query.request,
        service: ServiceName::from(query.service),
        workspace: query.workspace.cloned(),
        zone: query.zone.clone(),
        excluded: excluded.take(engine_placement::EXCLUDED_MAX).collect(),
        version_filter: engine_placement::sent_version_filter(hub, service, version_filter),
        latency_target_ms: engine_placement::duration_ms(query.target_latency),
        waited_ms: engine_placement::duration_ms(query.waited),
        is_repeatable: query.is_repeatable,
    }
}

fn placed_message(query: &PlainQuery<'_>, choice: &Choice) -> Message {
    Message::Placed {
        upstream: choice.upstream.clone(),
        request: query.request,
        prompt: (&Prompt::default()).into(),
        prefill_tokens: 0,
        copied_tokens: 0,
        workspace: query.workspace.cloned(),
        sender: query.sender,
    }
}
