//! Parses and authorizes a request: its route, its service and its workspace.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use http::request;
use hyper::body::Incoming;
use slog::info;
use xxhash_rust::xxh3::xxh3_64;

use crate::proxy::adapter::RequestHead;
use crate::proxy::held_bytes::HoldKind;
use crate::proxy::held_tracker::HeldBody;
use crate::proxy::held_tracker::Hold;
use crate::proxy::hub::Hub;
use crate::proxy::refusal::Refusal;
use crate::proxy::request::RequestContext;
use crate::proxy::required_version::RequiredVersion;
use crate::proxy::routing_table::Rank;
use crate::proxy::routing_table::Route;
use crate::proxy::routing_table::RoutingTable;
use crate::proxy::routing_table::Workspace;
use crate::web;
use crate::web::BodyError;

/// Resolves the route, service and workspace of a request from its head. On failure, returns the id
/// of the request too, as far as it could be read.
pub fn admit(
    hub: &Arc<Hub>,
    parts: request::Parts,
    arrived: Duration,
) -> Result<RequestContext, (Refusal, String)> {
    let head = hub.header_adapter().parse_request(&parts).map_err(|e| {
        info!(hub.log(), "malformed request head"; "fault" => e.0);
        (Refusal::BadHead, String::new())
    })?;
    let fail = |cause| (cause, head.id.clone());
    let table = hub.table().ok_or_else(|| fail(Refusal::NotConfigured))?;
    let path = parts.uri.path();
    let route = table.route(&head.host, path).ok_or_else(|| fail(Refusal::NoRoute))?.clone();
    let workspace = workspace(&table, &route, &head).map_err(fail)?;
    let rank = Rank { workspace: workspace.map_or(0, |w| w.rank), route: route.rank };
    let workspace = workspace.map(|w| w.name.clone());
    // A resumed stream goes on at the service that began it.
    let first_attempt = head.first_attempt.as_ref().unwrap_or(&head.id);
    let split_draw = xxh3_64(first_attempt.as_bytes());
    let service = route.target(split_draw).ok_or_else(|| fail(Refusal::NoRoute))?.clone();
    let connections_max = table.service(&service).map_or(u32::MAX, |s| s.max_connections);
    let timeout = head.timeout.map_or(route.timeout, |p| p.min(route.timeout));
    hub.count_request(&service);
    Ok(RequestContext {
        connections_max,
        hub: hub.clone(),
        head,
        parts,
        route,
        service,
        workspace,
        rank,
        body: Bytes::new(),
        fingerprint: OnceLock::new(),
        arrived,
        waiting_since: arrived,
        deadline: arrived + timeout,
        tried: Vec::new(),
        sends: 0,
        is_sent: Arc::default(),
        required_version: RequiredVersion::Any,
        is_version_recorded: false,
        broken_sends: 0,
        is_trial: false,
        in_flight_guard: hub.track_request(),
        unsent_guard: Some(hub.track_unsent()),
        stream_guard: None,
        first_token: None,
        hold: hub.held().map(|held| held.hold(HoldKind::Body)),
    })
}

fn workspace<'a>(
    table: &'a RoutingTable,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<&'a Workspace>, Refusal> {
    if !table.has_keys() {
        return Ok(None);
    }
    let known = head.key.as_deref().and_then(|key| table.workspace(key));
    match known {
        Some(workspace) => Ok(Some(workspace)),
        None if route.anonymous => Ok(None),
        None => Err(Refusal::UnknownKey),
    }
}

/// Reads a request's body, which the caller must send by the request's deadline. What is received
/// is counted by `hold`.
pub async fn read_body(
    hub: &Hub,
    body: Incoming,
    deadline: Duration,
    hold: Option<&Hold>,
) -> Result<Bytes, Refusal> {
    let max = hub.table().map_or(0, |t| t.limits.body_bytes);
    let remaining = deadline.saturating_sub(hub.now());
    let body = HeldBody::new(body, HoldKind::Body, hold);
    web::read_body(body, max, remaining).await.map_err(|fault| match fault {
        BodyError::TooLong => Refusal::BodyTooLong,
        BodyError::Truncated if hold.is_some_and(Hold::gave_way) => Refusal::BoxBusy,
        BodyError::Truncated => Refusal::BodyCut,
    })
}
