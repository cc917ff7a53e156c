//! Requests for plain services, placed by whoever counts what all boxes have at their upstreams: the owner of
//! the service, or in a small fleet each box by what all tell.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use slog::info;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::owners::Owned;
use crate::fleet::rollout::Side;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::names::ZoneName;
use crate::placement::choice::Choice;
use crate::placement::cold::Role;
use crate::placement::plain::Wish;
use crate::proxy::adapter::Prompt;
use crate::proxy::engine_placement;
use crate::proxy::engine_placement::PlacementDecision;
use crate::proxy::engine_placement::PlacementResult;
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
    pub except: Vec<UpstreamName>,
    /// The versions that it may go to.
    pub side: Side,
    /// The route's aim, in milliseconds.
    pub aim_ms: u32,
    /// Time that the request has waited already, in milliseconds.
    pub waited_ms: u32,
}

/// The boxes that count the upstreams of a plain service; nothing where each box does.
pub fn keepers(hub: &Hub, service: &str) -> Option<Owned> {
    hub.peers().owners().of_hash(xxh3_64(service.as_bytes()))
}

/// Places a request, or says why it isn't placed; nothing if nobody who counts answers.
pub async fn place(hub: &Arc<Hub>, wish: Wish<'_>) -> Option<PlacementDecision> {
    let (me, request) = (hub.peers().me(), wish.request);
    if hub.peers().owners().is_none() {
        let role = Role::Peer { boxes: hub.peers().known(), draw: hub.peers().own_draw("") };
        return Some(PlacementDecision {
            result: place_for_all(hub, wish),
            decided_by: me,
            role,
            request,
        });
    }
    let owned = keepers(hub, wish.service)?;
    for ip in owned.keepers() {
        let role = owned.role(ip);
        if ip == me {
            return Some(PlacementDecision {
                result: place_here(hub, wish, owned),
                decided_by: me,
                role,
                request,
            });
        }
        if hub.owner_requests().is_unresponsive(ip, hub.now()) {
            continue;
        }
        let request = engine_placement::request_id_at(wish.request, ip);
        let question = Message::PlainPlacementRequest(question(&Wish { request, ..wish }));
        match engine_placement::request_decision(hub, ip, request, &question).await {
            Some(Ok(choice)) if engine_placement::is_behind(hub, ip, &choice, wish.side) => {
                notices::resend(hub, &choice.upstream, ip);
            }
            // The backoff began while the owner was asked.
            Some(Ok(choice)) if hub.is_backing_off(&choice.upstream) => {
                engine_placement::withdraw(hub, request, owned.keepers());
                continue;
            }
            Some(decision) => {
                return Some(PlacementDecision { result: decision, decided_by: ip, role, request });
            }
            None => {
                info!(hub.log(), "no answer of an owner"; "ip" => %ip, "service" => wish.service)
            }
        }
        engine_placement::withdraw(hub, request, owned.keepers());
        hub.owner_requests().mark_unresponsive(ip, hub.now());
    }
    None
}

/// Places a request that another box asks for.
pub fn handle_request(hub: &Hub, ask: &PlainPlacementRequest, from: IpAddr) {
    let wish = Wish {
        request: ask.request,
        service: &ask.service,
        workspace: ask.workspace.as_ref(),
        except: &ask.except,
        side: ask.side,
        aim: Duration::from_millis(ask.aim_ms.into()),
        waited: Duration::from_millis(ask.waited_ms.into()),
        zone: &ask.zone,
        sender: Some(from),
    };
    let result = match keepers(hub, &ask.service) {
        Some(owned) => place_here(hub, wish, owned),
        None => hub.admit_plain(wish),
    };
    hub.peers().tell_now(
        from,
        &Message::PlacementResponse(PlacementResponse { request: ask.request, result }),
    );
}

/// Tells those who count the upstreams of a plain service; all boxes in a small fleet.
pub fn notify_keepers(hub: &Hub, service: &str, message: &Message) {
    match keepers(hub, service) {
        Some(owned) => hub.peers().tell_some(owned.keepers(), message),
        None => hub.peers().tell(message),
    }
}

/// Places a request by what this box counts, which tells the other one of owner and standby.
fn place_here(hub: &Hub, wish: Wish<'_>, owned: Owned) -> PlacementResult {
    let placed = hub.admit_plain(wish);
    if let Ok(choice) = &placed {
        let message = told(&Wish { workspace: None, ..wish }, choice);
        hub.peers().tell_some(owned.keepers(), &message);
    }
    placed
}

fn place_for_all(hub: &Hub, wish: Wish<'_>) -> PlacementResult {
    let placed = hub.admit_plain(wish);
    if let Ok(choice) = &placed {
        hub.peers().tell(&told(&wish, choice));
    }
    placed
}

fn question(wish: &Wish<'_>) -> PlainPlacementRequest {
    PlainPlacementRequest {
        request: wish.request,
        service: ServiceName::from(wish.service),
        workspace: wish.workspace.cloned(),
        zone: wish.zone.clone(),
        except: wish.except.iter().take(engine_placement::EXCEPT_MAX).cloned().collect(),
        side: wish.side,
        aim_ms: engine_placement::millis(wish.aim),
        waited_ms: engine_placement::millis(wish.waited),
    }
}

fn told(wish: &Wish<'_>, choice: &Choice) -> Message {
    Message::Placed {
        upstream: choice.upstream.clone(),
        request: wish.request,
        prompt: (&Prompt::default()).into(),
        unread: 0,
        copied: 0,
        workspace: wish.workspace.cloned(),
        sender: wish.sender,
    }
}
