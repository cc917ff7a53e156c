//! What upstreams say of themselves in the heads of their answers.
//!
//! These notices come before the store lists the same, and are all there is while the store is away. Draining is final and
//! the same for all boxes: the box that reads it sends it to those that place requests there, and the owner among them
//! broadcasts it, so an upstream costs a box one message however many boxes read it. A backoff is asked of one box only.

use std::net::IpAddr;
use std::time::Duration;

use slog::info;

use crate::fleet::draining::DrainNotice;
use crate::fleet::owners::GroupOwners;
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

/// An answer in which an upstream says something of itself.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedNotice<'a> {
    /// The upstream.
    pub upstream: &'a UpstreamName,
    /// The incarnation that was asked, as far as it was known.
    pub started_at_ms: Option<u64>,
    /// The request that it answers; empty for a question of this box's own.
    pub request: &'a str,
    /// When that was sent.
    pub sent: Duration,
    /// What it says.
    pub notice: Notice,
}

/// Why a request isn't sent to an upstream that was chosen for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithholdReason {
    /// It drains, is gone, or its zone is evacuated.
    Closed,
    /// This box backs off from it, or starts slowly after that.
    Backoff,
}

impl WithholdReason {
    /// The reason as a word for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            WithholdReason::Closed => "closed",
            WithholdReason::Backoff => "backoff",
        }
    }
}

/// Why an upstream doesn't get a request that is placed there; nothing if it does.
pub fn reason_to_withhold(hub: &Hub, placed: &PlacedRequest) -> Option<WithholdReason> {
    let (upstream, now) = (placed.upstream(), hub.now());
    hub.read(|view| {
        if view.is_barred(upstream) {
            return Some(WithholdReason::Closed);
        }
        let may_send = view.fleet().may_send(upstream, placed.slow_start_slot(), now);
        (!may_send).then_some(WithholdReason::Backoff)
    })
}

/// Applies what an upstream says of itself.
pub fn apply(hub: &Hub, said: ReceivedNotice<'_>) {
    if said.notice == Notice::default() {
        return;
    }
    hub.metrics().notice(said.notice);
    if said.notice.draining {
        drain(hub, said);
    }
    if let Some(length) = said.notice.backoff {
        back_off(hub, said, length);
    }
}

fn back_off(hub: &Hub, said: ReceivedNotice<'_>, length: Duration) {
    let now = hub.now();
    let (is_new, was_on) = hub.fleet(|fleet| {
        let was_on = fleet.was_sent_during_backoff(said.upstream, said.sent);
        (fleet.back_off(said.upstream, length, now), was_on)
    });
    if was_on {
        hub.metrics().reached_anyway("backoff");
    }
    if is_new {
        info!(hub.log(), "upstream backing off"; "name" => said.upstream.as_str(),
            "born" => said.started_at_ms, "id" => said.request, "ms" => length.as_millis() as u64);
    }
}

fn drain(hub: &Hub, said: ReceivedNotice<'_>) {
    let upstream = said.upstream.clone();
    let noted = hub.read(|view| view.draining().noted_at(&upstream));
    if noted.is_some_and(|noted| noted < said.sent) {
        hub.metrics().reached_anyway("draining");
    }
    let draining = DrainNotice {
        upstream,
        started_at_ms: said.started_at_ms,
        answered_at_ms: util::unix_millis(),
    };
    if !hub.change(|view, now| view.apply_draining(&draining, now)) {
        return;
    }
    info!(hub.log(), "upstream draining"; "name" => said.upstream.as_str(), "born" => said.started_at_ms,
        "id" => said.request);
    announce(hub, draining);
}

/// Applies what another box has read in an answer.
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

fn announce(hub: &Hub, draining: DrainNotice) {
    let owned = owned(hub, &draining.upstream);
    let message = Message::DrainNotice(draining);
    match owned {
        None => hub.peers().broadcast_now(&message),
        Some(owned) if owned.owner == hub.peers().own_ip() => hub.peers().broadcast(&message),
        Some(owned) => owned.boxes().for_each(|ip| hub.peers().send_now(ip, &message)),
    }
}

/// Queries an engine beside requests, unless this box backs off from it.
pub async fn query<T>(
    hub: &Hub,
    upstream: &UpstreamName,
    answer: impl Future<Output = EngineReply<T>>,
) -> Result<T, EngineQueryError> {
    if hub.is_backing_off(upstream) {
        hub.metrics().withheld(WithholdReason::Backoff.code());
        return Err(EngineQueryError("this box backs off from it".to_owned()));
    }
    let (sent, started_at_ms) =
        (hub.now(), hub.read(|view| view.fleet().get(upstream)?.started_at_ms));
    let EngineReply { name, notice, result } = answer.await;
    if let Some(other) = name.filter(|name| name != upstream) {
        return Err(EngineQueryError(format!("{} answers in its place", other.as_str())));
    }
    apply(hub, ReceivedNotice { upstream, started_at_ms, request: "", sent, notice });
    result
}

/// Sends the draining notice of an upstream to a box that has chosen it all the same.
pub fn resend(hub: &Hub, upstream: &UpstreamName, ip: IpAddr) {
    let said = hub.read(|view| view.draining().get(upstream).cloned());
    if let Some(draining) = said {
        hub.peers().send_now(ip, &Message::DrainNotice(draining));
    }
}

/// The boxes that place what goes to an upstream; nothing where each box does.
fn owned(hub: &Hub, name: &UpstreamName) -> Option<GroupOwners> {
    let service = hub.read(|view| {
        let fleet = view.fleet();
        let service = fleet.get(name).map(|listed| listed.service.clone());
        service.filter(|_| !fleet.is_engine(name))
    });
    match service {
        Some(service) => plain_placement::owners(hub, &service),
        None => hub.peers().owners().owners_of_hash(upstream::name_hash(name)),
    }
}
