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
use crate::placement::plain::Wish;
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
    pub except: Vec<UpstreamName>,
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
pub async fn place(hub: &Arc<Hub>, wish: Wish<'_>) -> Option<Decided> {
    let (me, request) = (hub.peers().own_ip(), wish.request);
    if hub.peers().owners().is_empty() {
        let role = Role::Peer { boxes: hub.peers().known_count(), draw: hub.peers().own_draw("") };
        return Some(Decided { decision: place_for_all(hub, wish), by: me, role, request });
    }
    let owned = owned(hub, wish.service)?;
    for ip in owned.boxes() {
        let role = owned.role(ip);
        if ip == me {
            return Some(Decided { decision: place_here(hub, wish, owned), by: me, role, request });
        }
        if hub.asking().is_suspect(ip, hub.now()) {
            continue;
        }
        let request = asking::asked_as(wish.request, ip);
        let question = Message::PlainPlacementRequest(question(&Wish { request, ..wish }));
        match asking::ask(hub, ip, request, &question).await {
            Some(Ok(choice)) if asking::is_behind(hub, ip, &choice, wish.side) => {
                notices::resend(hub, &choice.upstream, ip);
            }
            // The backoff began while the owner was asked.
            Some(Ok(choice)) if hub.is_backing_off(&choice.upstream) => {
                asking::withdraw(hub, request, owned.boxes());
                continue;
            }
            Some(decision) => return Some(Decided { decision, by: ip, role, request }),
            None => {
                info!(hub.log(), "no answer of an owner"; "ip" => %ip, "service" => wish.service)
            }
        }
        asking::withdraw(hub, request, owned.boxes());
        hub.asking().suspect(ip, hub.now());
    }
    None
}

/// Places a request that another box asks for.
pub fn answer(hub: &Hub, ask: &PlainPlacementRequest, from: IpAddr) {
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
    let result = match owned(hub, &ask.service) {
        Some(owned) => place_here(hub, wish, owned),
        None => hub.admit_plain(wish),
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
fn place_here(hub: &Hub, wish: Wish<'_>, owned: GroupOwners) -> Decision {
    let placed = hub.admit_plain(wish);
    if let Ok(choice) = &placed {
        let message = told(&Wish { workspace: None, ..wish }, choice);
        hub.peers().send_batched(owned.boxes(), &message);
    }
    placed
}

fn place_for_all(hub: &Hub, wish: Wish<'_>) -> Decision {
    let placed = hub.admit_plain(wish);
    if let Ok(choice) = &placed {
        hub.peers().broadcast(&told(&wish, choice));
    }
    placed
}

fn question(wish: &Wish<'_>) -> PlainPlacementRequest {
    PlainPlacementRequest {
        request: wish.request,
        service: ServiceName::from(wish.service),
        workspace: wish.workspace.cloned(),
        zone: wish.zone.clone(),
        except: wish.except.iter().take(asking::EXCEPT_MAX).cloned().collect(),
        side: wish.side,
        aim_ms: asking::millis(wish.aim),
        waited_ms: asking::millis(wish.waited),
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
