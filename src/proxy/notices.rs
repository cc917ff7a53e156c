//! Notices that upstreams send about themselves in the headers of their responses: draining and
//! backoff.
//!
//! Notices arrive before the store lists the same, and are the only source while the store is
//! unavailable. Draining is final and concerns all boxes: a box that receives it sends it to the
//! boxes that place the upstream's requests, and the owner among them broadcasts it, so each box
//! receives one message however many boxes received the notice. A backoff concerns only the box
//! that receives it.

use std::net::IpAddr;
use std::time::Duration;

use slog::info;

use crate::fleet::draining::DrainNotice;
use crate::fleet::owners::GroupOwners;
use crate::fleet::rollout::VersionFilter;
use crate::names::UpstreamName;
use crate::placement::upstream;
use crate::proxy::adapter::EngineQueryError;
use crate::proxy::adapter::EngineReply;
use crate::proxy::adapter::Notice;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;
use crate::proxy::placed_request::PlacedRequest;
use crate::proxy::plain_placement;
use crate::util;

/// A notice in a response, with its context.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedNotice<'a> {
    /// The upstream.
    pub upstream: &'a UpstreamName,
    /// When the instance to which the request was sent was started, if known.
    pub started_at_ms: Option<u64>,
    /// The id of the request; empty for a query by this box itself.
    pub request: &'a str,
    /// When the request was sent.
    pub sent: Duration,
    /// The notice itself.
    pub notice: Notice,
}

/// The reason why a request isn't sent to the upstream that was chosen for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithholdReason {
    /// The upstream is draining or gone, or its zone is evacuated.
    Closed,
    /// This box backs off from the upstream, or the upstream's slow start after a backoff admits no
    /// more requests for now.
    Backoff,
    /// The upstream isn't of the version that began the stream: its entry has changed since it was
    /// chosen, or the box that chose it lists another one.
    Version,
    /// A part of the prompt crashes engines.
    Suspect,
    /// The request has given way, so that its caller gets a refusal.
    GaveWay,
}

impl WithholdReason {
    /// The reason as a label for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            WithholdReason::Closed => "closed",
            WithholdReason::Backoff => "backoff",
            WithholdReason::Version => "version",
            WithholdReason::Suspect => "suspect",
            WithholdReason::GaveWay => "gave-way",
        }
    }
}

/// Returns why a request must not be sent to the upstream on which it is placed; `None` if it may
/// be.
pub fn reason_to_withhold(
    hub: &Hub,
    placed: &PlacedRequest,
    version_filter: VersionFilter,
) -> Option<WithholdReason> {
    let (upstream, now) = (placed.upstream(), hub.now());
    hub.read(|view| {
        if !view.registry().allows_version_filter(upstream, version_filter) {
            return Some(WithholdReason::Version);
        }
        if view.is_barred(upstream) {
            return Some(WithholdReason::Closed);
        }
        let may_send = view.registry().may_send(upstream, placed.slow_start_slot(), now);
        (!may_send).then_some(WithholdReason::Backoff)
    })
}

/// Applies a notice that this box received in a response.
pub fn apply(hub: &Hub, received: ReceivedNotice<'_>) {
    if received.notice == Notice::default() {
        return;
    }
    hub.metrics().notice(received.notice);
    if received.notice.draining {
        mark_draining(hub, received);
    }
    if let Some(length) = received.notice.backoff {
        back_off(hub, received, length);
    }
}

fn back_off(hub: &Hub, received: ReceivedNotice<'_>, length: Duration) {
    let now = hub.now();
    let (is_new, was_backing_off) = hub.with_registry(|registry| {
        let was_backing_off = registry.was_sent_during_backoff(received.upstream, received.sent);
        let is_new = registry.back_off(received.upstream, length, util::unix_millis(), now);
        (is_new, was_backing_off)
    });
    if was_backing_off {
        hub.metrics().reached_anyway("backoff");
    }
    if is_new {
        info!(hub.log(), "upstream backing off"; "name" => received.upstream.as_str(),
            "born" => received.started_at_ms, "id" => received.request,
            "ms" => length.as_millis() as u64);
    }
}

fn mark_draining(hub: &Hub, received: ReceivedNotice<'_>) {
    let upstream = received.upstream.clone();
    let noted = hub.read(|view| view.draining().noted_at(&upstream));
    if noted.is_some_and(|noted| noted < received.sent) {
        hub.metrics().reached_anyway("draining");
    }
    let draining = DrainNotice {
        upstream,
        started_at_ms: received.started_at_ms,
        answered_at_ms: util::unix_millis(),
    };
    if !hub.change(|view, now| view.apply_draining(&draining, now)) {
        return;
    }
    info!(hub.log(), "upstream draining"; "name" => received.upstream.as_str(),
        "born" => received.started_at_ms, "id" => received.request);
    publish(hub, draining);
}

/// Applies a draining notice that another box received.
pub fn receive(hub: &Hub, draining: &DrainNotice, from: IpAddr) {
    if !hub.change(|view, now| view.apply_draining(draining, now)) {
        return;
    }
    info!(hub.log(), "upstream draining"; "name" => draining.upstream.as_str(),
        "born" => draining.started_at_ms, "by" => %from);
    let owned = owned(hub, &draining.upstream);
    if owned.is_some_and(|owned| owned.owner == hub.peers().own_ip()) {
        hub.peers().broadcast(&Message::DrainNotice(draining.clone()));
    }
}

fn publish(hub: &Hub, draining: DrainNotice) {
    let owned = owned(hub, &draining.upstream);
    let message = Message::DrainNotice(draining);
    match owned {
        None => hub.peers().broadcast_now(&message),
        Some(owned) if owned.owner == hub.peers().own_ip() => hub.peers().broadcast(&message),
        Some(owned) => owned.boxes().for_each(|ip| _ = hub.peers().send_now(ip, &message)),
    }
}

/// Queries an engine on this box's own behalf, unless this box backs off from it.
pub async fn query<T>(
    hub: &Hub,
    upstream: &UpstreamName,
    reply: impl Future<Output = EngineReply<T>>,
) -> Result<T, EngineQueryError> {
    if hub.is_backing_off(upstream) {
        hub.metrics().withheld(WithholdReason::Backoff.code());
        return Err(EngineQueryError("this box is backing off from the upstream".to_owned()));
    }
    let (sent, started_at_ms) =
        (hub.now(), hub.read(|view| view.registry().get(upstream)?.started_at_ms));
    let EngineReply { name, notice, result } = reply.await;
    if let Some(other) = name.filter(|name| name != upstream) {
        return Err(EngineQueryError(format!(
            "upstream {} answered at its address",
            other.as_str()
        )));
    }
    apply(hub, ReceivedNotice { upstream, started_at_ms, request: "", sent, notice });
    result
}

/// Sends the draining notice of an upstream to a box that has chosen it nevertheless.
pub fn resend(hub: &Hub, upstream: &UpstreamName, ip: IpAddr) {
    let notice = hub.read(|view| view.draining().get(upstream).cloned());
    if let Some(draining) = notice {
        hub.peers().send_now(ip, &Message::DrainNotice(draining));
    }
}

/// Returns the boxes that place the requests of an upstream; `None` if each box places its own.
fn owned(hub: &Hub, name: &UpstreamName) -> Option<GroupOwners> {
    let service = hub.read(|view| {
        let registry = view.registry();
        let service = registry.get(name).map(|listed| listed.service.clone());
        service.filter(|_| !registry.is_engine(name))
    });
    match service {
        Some(service) => plain_placement::owners(hub, &service),
        None => hub.peers().owners().owners_of_hash(upstream::name_hash(name)),
    }
}
