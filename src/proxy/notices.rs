//! What upstreams say of themselves in the heads of their answers.
//!
//! These notices come before the store lists the same, and are all there is while the store is away. Draining is final and
//! the same for all boxes: the box that reads it sends it to those that place requests there, and the owner among them
//! broadcasts it, so an upstream costs a box one message however many boxes read it. A backoff is asked of one box only.

use std::net::IpAddr;
use std::time::Duration;

use slog::info;

use crate::fleet::draining::Draining;
use crate::fleet::owners::Owned;
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
pub struct Said<'a> {
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
pub enum Withheld {
    /// It drains, is gone, or its zone is evacuated.
    Closed,
    /// This box backs off from it, or starts slowly after that.
    Backoff,
}

impl Withheld {
    /// The reason as a word for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Withheld::Closed => "closed",
            Withheld::Backoff => "backoff",
        }
    }
}

/// Why an upstream doesn't get a request that is placed there; nothing if it does.
pub fn withheld(hub: &Hub, placed: &PlacedRequest) -> Option<Withheld> {
    let (upstream, now) = (placed.upstream(), hub.now());
    hub.read(|view| {
        if view.is_barred(upstream) {
            return Some(Withheld::Closed);
        }
        let may_send = view.fleet().may_send(upstream, placed.trial(), now);
        (!may_send).then_some(Withheld::Backoff)
    })
}

/// Applies what an upstream says of itself.
pub fn apply(hub: &Hub, said: Said<'_>) {
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

fn back_off(hub: &Hub, said: Said<'_>, length: Duration) {
    let now = hub.now();
    let (is_new, was_on) = hub.fleet(|fleet| {
        let was_on = fleet.was_backing_off(said.upstream, said.sent);
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

fn drain(hub: &Hub, said: Said<'_>) {
    let upstream = said.upstream.clone();
    let noted = hub.read(|view| view.draining().noted_at(&upstream));
    if noted.is_some_and(|noted| noted < said.sent) {
        hub.metrics().reached_anyway("draining");
    }
    let draining =
        Draining { upstream, started_at_ms: said.started_at_ms, said_at: util::unix_millis() };
    if !hub.change(|view, now| view.drain(&draining, now)) {
        return;
    }
    info!(hub.log(), "upstream draining"; "name" => said.upstream.as_str(), "born" => said.started_at_ms,
        "id" => said.request);
    announce(hub, draining);
}

/// Applies what another box has read in an answer.
pub fn receive(hub: &Hub, draining: &Draining, from: IpAddr) {
    if !hub.change(|view, now| view.drain(draining, now)) {
        return;
    }
    info!(hub.log(), "upstream draining"; "name" => draining.upstream.as_str(),
        "born" => draining.started_at_ms, "by" => %from);
    let owned = owned(hub, &draining.upstream);
    if owned.is_some_and(|owned| owned.owner == hub.peers().me()) {
        hub.peers().tell(&Message::Draining(draining.clone()));
    }
}

fn announce(hub: &Hub, draining: Draining) {
    let owned = owned(hub, &draining.upstream);
    let message = Message::Draining(draining);
    match owned {
        None => hub.peers().tell_at_once(&message),
        Some(owned) if owned.owner == hub.peers().me() => hub.peers().tell(&message),
        Some(owned) => owned.keepers().for_each(|ip| hub.peers().tell_now(ip, &message)),
    }
}

/// Queries an engine beside requests, unless this box backs off from it.
pub async fn query<T>(
    hub: &Hub,
    upstream: &UpstreamName,
    answer: impl Future<Output = EngineReply<T>>,
) -> Result<T, EngineQueryError> {
    if hub.is_backing_off(upstream) {
        hub.metrics().withheld(Withheld::Backoff.code());
        return Err(EngineQueryError("this box backs off from it".to_owned()));
    }
    let (sent, started_at_ms) =
        (hub.now(), hub.read(|view| view.fleet().get(upstream)?.started_at_ms));
    let EngineReply { name, notice, result } = answer.await;
    if let Some(other) = name.filter(|name| name != upstream) {
        return Err(EngineQueryError(format!("{} answers in its place", other.as_str())));
    }
    apply(hub, Said { upstream, started_at_ms, request: "", sent, notice });
    result
}

/// Sends the draining notice of an upstream to a box that has chosen it all the same.
pub fn resend(hub: &Hub, upstream: &UpstreamName, ip: IpAddr) {
    let said = hub.read(|view| view.draining().get(upstream).cloned());
    if let Some(draining) = said {
        hub.peers().tell_now(ip, &Message::Draining(draining));
    }
}

/// The boxes that place what goes to an upstream; nothing where each box does.
fn owned(hub: &Hub, name: &UpstreamName) -> Option<Owned> {
    let service = hub.read(|view| {
        let fleet = view.fleet();
        let service = fleet.get(name).map(|listed| listed.service.clone());
        service.filter(|_| !fleet.is_engine(name))
    });
    match service {
        Some(service) => plain_placement::owners(hub, &service),
        None => hub.peers().owners().of_hash(upstream::hash(name)),
    }
}
