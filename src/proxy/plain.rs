//! Requests for plain services, placed by whoever counts what all boxes have at their upstreams: the owner of
//! the service, or in a small fleet each box by what all tell.

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
use crate::proxy::asking;
use crate::proxy::asking::Decided;
use crate::proxy::asking::Decision;
use crate::proxy::dialect::Prompt;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;
use crate::proxy::message::PlacementResponse;
use crate::proxy::notices;

/// A request that the owner of a plain service is to place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainPlacementRequest {
    /// Names the send.
    pub request: u64,
    /// The service.
    pub service: ServiceName,
    /// Whom it is charged to.
    pub workspace: Option<WorkspaceName>,
    /// The availability zone of the box that asks.
    pub zone: ZoneName,
    /// Upstreams that are out of the question.
    pub excluded: Vec<UpstreamName>,
    /// The versions that it may go to.
    pub side: VersionFilter,
    /// The route's aim, in milliseconds.
    pub aim_ms: u32,
    /// Time that the request has waited already, in milliseconds.
    pub waited_ms: u32,
}

/// The boxes that count the upstreams of a plain service; nothing where each box does.
pub fn owned(hub: &Hub, service: &str) -> Option<GroupOwners> {
    hub.peers().owners().owners_of_hash(xxh3_64(service.as_bytes()))
}

/// Places a request, or says why it isn't placed; nothing if nobody who counts answers.
pub async fn place(hub: &Arc<Hub>, query: PlainQuery<'_>) -> Option<Decided> {
    let (me, request) = (hub.peers().own_ip(), query.request);
    if hub.peers().owners().is_empty() {
        let role = Role::Peer { boxes: hub.peers().known_count(), draw: hub.peers().own_draw("") };
        return Some(Decided { decision: place_for_all(hub, query), by: me, role, request });
    }
    let owned = owned(hub, query.service)?;
    for ip in owned.boxes() {
        let role = owned.role(ip);
        if ip == me {
            return Some(Decided {
                decision: place_here(hub, query, owned),
                by: me,
                role,
                request,
            });
        }
        if hub.asking().is_suspect(ip, hub.now()) {
            continue;
        }
        let request = asking::asked_as(query.request, ip);
        let question = Message::PlainPlacementRequest(question(&PlainQuery { request, ..query }));
        match asking::ask(hub, ip, request, &question).await {
            Some(Ok(choice)) if asking::is_behind(hub, ip, &choice, query.side) => {
                notices::resend(hub, &choice.upstream, ip);
            }
            // The backoff began while the owner was asked.
            Some(Ok(choice)) if hub.is_backing_off(&choice.upstream) => {
                asking::withdraw(hub, request, owned.boxes());
                continue;
            }
            Some(decision) => return Some(Decided { decision, by: ip, role, request }),
            None => {
                info!(hub.log(), "no answer of an owner"; "ip" => %ip, "service" => query.service)
            }
        }
        asking::withdraw(hub, request, owned.boxes());
        hub.asking().suspect(ip, hub.now());
    }
    None
}

/// Places a request that another box asks for.
pub fn answer(hub: &Hub, ask: &PlainPlacementRequest, from: IpAddr) {
    let query = PlainQuery {
        request: ask.request,
        service: &ask.service,
        workspace: ask.workspace.as_ref(),
        excluded: &ask.excluded,
        side: ask.side,
        target_latency: Duration::from_millis(ask.aim_ms.into()),
        waited: Duration::from_millis(ask.waited_ms.into()),
        zone: &ask.zone,
        sender: Some(from),
    };
    let result = match owned(hub, &ask.service) {
        Some(owned) => place_here(hub, query, owned),
        None => hub.admit_plain(query),
    };
    hub.peers().send_now(
        from,
        &Message::PlacementResponse(PlacementResponse { request: ask.request, result }),
    );
}

/// Tells those who count the upstreams of a plain service; all boxes in a small fleet.
pub fn tell(hub: &Hub, service: &str, message: &Message) {
    match owned(hub, service) {
        Some(owned) => hub.peers().send_batched(owned.boxes(), message),
        None => hub.peers().broadcast(message),
    }
}

/// Places a request by what this box counts, which tells the other one of owner and standby.
fn place_here(hub: &Hub, query: PlainQuery<'_>, owned: GroupOwners) -> Decision {
    let placed = hub.admit_plain(query);
    if let Ok(choice) = &placed {
        let message = told(&PlainQuery { workspace: None, ..query }, choice);
        hub.peers().send_batched(owned.boxes(), &message);
    }
    placed
}

fn place_for_all(hub: &Hub, query: PlainQuery<'_>) -> Decision {
    let placed = hub.admit_plain(query);
    if let Ok(choice) = &placed {
        hub.peers().broadcast(&told(&query, choice));
    }
    placed
}

fn question(query: &PlainQuery<'_>) -> PlainPlacementRequest {
    PlainPlacementRequest {
        request: query.request,
        service: ServiceName::from(query.service),
        workspace: query.workspace.cloned(),
        zone: query.zone.clone(),
        excluded: query.excluded.iter().take(asking::EXCEPT_MAX).cloned().collect(),
        side: query.side,
        aim_ms: asking::millis(query.target_latency),
        waited_ms: asking::millis(query.waited),
    }
}

fn told(query: &PlainQuery<'_>, choice: &Choice) -> Message {
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
