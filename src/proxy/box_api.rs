//! HTTP endpoints other than the callers': readiness for the load balancer, and this box's state
//! and metrics for other boxes and the on-call engineer. Also the client by which boxes fetch that
//! state.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use serde::Serialize;
use tokio::net::TcpListener;

use crate::fleet::owners::EngineGroup;
use crate::fleet::quarantine::SuspectReport;
use crate::fleet::stream_versions::StreamVersionsReport;
use crate::placement::registry::learned::LearnedReport;
use crate::proxy::http_client;
use crate::proxy::http_client::HttpClient;
use crate::proxy::hub::Hub;
use crate::proxy::shutdown::ShutdownPhase;
use crate::proxy::view::Snapshot;
use crate::proxy::view::View;
use crate::web;
use crate::web::HttpHandler;

/// Path of the full state of a box, as JSON.
const SNAPSHOT_PATH: &str = "/v1/snapshot";

/// Path of the state that the asking box lacks, encoded with postcard. Followed by the version of
/// that box's configuration and the digests of its upstreams.
const DIFFERENCE_PATH: &str = "/v1/difference";

/// Path of the changes that the asking box lacks, encoded with postcard. Followed by the version of
/// that box's configuration and the revision of the store up to which its list of upstreams is
/// complete.
const CHANGES_PATH: &str = "/v1/changes";

/// Path of what a box has learned about engines, encoded with postcard. Optionally followed by a
/// group.
const LEARNED_PATH: &str = "/v1/learned";

/// Path of the requests that a box holds back, encoded with postcard.
const HELD_PATH: &str = "/v1/held";

/// Path of the parts of prompts whose hold a box has confirmed, encoded with postcard.
const HELD_PARTS_PATH: &str = "/v1/held-parts";

/// Path of the versions that began streams, encoded with postcard.
const STREAM_VERSIONS_PATH: &str = "/v1/stream-versions";

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Time limit of a request to another box.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// A failed request to another box.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The box gave no complete response in time.
    #[error(transparent)]
    NoAnswer(#[from] http_client::Error),
    /// The box responded with another status than 200.
    #[error("response status {0}")]
    Status(StatusCode),
    /// The response can't be decoded.
    #[error("decoding the response: {0}")]
    Postcard(#[from] postcard::Error),
}

/// Serves the readiness endpoint for the load balancer until the process ends.
pub async fn serve_ready(listener: TcpListener, hub: Arc<Hub>) {
    let handler = Arc::new(ReadinessHandler { hub });
    web::serve(listener, 0, handler, std::future::pending()).await;
}

/// Serves the endpoints for other boxes until the process ends.
pub async fn serve_peers(listener: TcpListener, hub: Arc<Hub>) {
    web::serve(listener, 0, Arc::new(BoxApiHandler { hub }), std::future::pending()).await;
}

/// Fetches from another box the state that this one lacks.
pub async fn fetch_difference(addr: SocketAddr, hub: &Hub) -> Result<Snapshot, FetchError> {
    let (version, digests) = hub.read(|view| (view.version(), view.digests(hub.now())));
    let path = format!("{DIFFERENCE_PATH}/{version}/{digests}");
    Ok(postcard::from_bytes(&fetch(addr, &path).await?)?)
}

/// Fetches from another box the changes that this one may have missed; `None` if that box no longer
/// knows them.
pub async fn fetch_changes(addr: SocketAddr, hub: &Hub) -> Result<Option<Snapshot>, FetchError> {
    let (version, revision) = hub.read(|view| (view.version(), view.revision()));
    match fetch(addr, &format!("{CHANGES_PATH}/{version}/{revision}")).await {
        Ok(buf) => Ok(Some(postcard::from_bytes(&buf)?)),
        Err(FetchError::Status(StatusCode::GONE)) => Ok(None),
        Err(e) => Err(e),
    }
}

/// Fetches what another box has learned about engines, or about those of one group.
pub async fn fetch_learned(
    addr: SocketAddr,
    group: Option<EngineGroup>,
) -> Result<LearnedReport, FetchError> {
    let path = match group {
        Some(group) => format!("{LEARNED_PATH}/{group}"),
        None => LEARNED_PATH.to_owned(),
    };
    Ok(postcard::from_bytes(&fetch(addr, &path).await?)?)
}

/// Fetches the requests that another box holds back.
pub async fn fetch_held(addr: SocketAddr) -> Result<Vec<SuspectReport>, FetchError> {
    Ok(postcard::from_bytes(&fetch(addr, HELD_PATH).await?)?)
}

/// Fetches the parts of prompts whose hold another box has confirmed.
pub async fn fetch_held_parts(addr: SocketAddr) -> Result<Vec<SuspectReport>, FetchError> {
    Ok(postcard::from_bytes(&fetch(addr, HELD_PARTS_PATH).await?)?)
}

/// Fetches which versions began streams from another box.
pub async fn fetch_stream_versions(addr: SocketAddr) -> Result<StreamVersionsReport, FetchError> {
    Ok(postcard::from_bytes(&fetch(addr, STREAM_VERSIONS_PATH).await?)?)
}

async fn fetch(addr: SocketAddr, path: &str) -> Result<Bytes, FetchError> {
    let (status, body) = HttpClient::new(addr).get(path, REQUEST_TIMEOUT).await?;
    if status != StatusCode::OK {
        return Err(FetchError::Status(status));
    }
    Ok(body)
}

struct ReadinessHandler {
    hub: Arc<Hub>,
}

impl HttpHandler for ReadinessHandler {
    fn check_head(&self, _: &http::request::Parts) -> Option<Response<Bytes>> {
        let ready = self.hub.read(View::is_ready)
            && !self.hub.is_full()
            && self.hub.shutdown().phase() == ShutdownPhase::Running;
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Some(empty_response(status))
    }

    fn handle(&self, _: Request<Bytes>) -> Response<Bytes> {
        empty_response(StatusCode::NOT_FOUND)
    }
}

struct BoxApiHandler {
    hub: Arc<Hub>,
}

impl BoxApiHandler {
    /// Returns the response for a path with parameters; `None` if the path is unknown or malformed.
    fn parameterized(&self, path: &str) -> Option<Response<Bytes>> {
        if let Some(group) = path.strip_prefix(LEARNED_PATH) {
            return Some(self.learned(Some(group.strip_prefix('/')?.parse().ok()?)));
        }
        let now = self.hub.now();
        if let Some(parameters) = path.strip_prefix(CHANGES_PATH) {
            let (version, revision) = parse_pair(parameters)?;
            let changes = self.hub.read(|view| view.changes_since(version, revision, now));
            return Some(
                changes.map_or_else(
                    || empty_response(StatusCode::GONE),
                    |all| postcard_response(&all),
                ),
            );
        }
        let (version, digests) = parse_pair(path.strip_prefix(DIFFERENCE_PATH)?)?;
        Some(postcard_response(&self.hub.read(|view| view.difference(version, &digests, now))))
    }

    fn held(&self) -> Response<Bytes> {
        let now = self.hub.now();
        postcard_response(
            &self
                .hub
                .suspects()
                .read(|held| held.held_reports(now).collect::<Vec<SuspectReport>>()),
        )
    }

    fn held_parts(&self) -> Response<Bytes> {
        let now = self.hub.now();
        let parts = self.hub.part_suspects();
        postcard_response(&parts.read(|held| held.held_reports(now).collect::<Vec<_>>()))
    }

    fn learned(&self, group: Option<EngineGroup>) -> Response<Bytes> {
        let (own_ip, now) = (self.hub.peers().own_ip(), self.hub.now());
        postcard_response(&self.hub.read(|view| LearnedReport {
            own_speeds: view.registry().own_speeds(group, now),
            requests: view.registry().learned_requests(group, own_ip, now),
            ..view.learned(group)
        }))
    }
}

impl HttpHandler for BoxApiHandler {
    fn check_head(&self, head: &http::request::Parts) -> Option<Response<Bytes>> {
        match head.uri.path() {
            SNAPSHOT_PATH => {
                Some(json_response(&self.hub.read(|view| view.snapshot(self.hub.now()))))
            }
            LEARNED_PATH => Some(self.learned(None)),
            HELD_PATH => Some(self.held()),
            HELD_PARTS_PATH => Some(self.held_parts()),
            STREAM_VERSIONS_PATH => {
                Some(postcard_response(&self.hub.stream_versions().report(self.hub.now())))
            }
            METRICS_PATH => Some(Response::new(Bytes::from(self.hub.metrics().render()))),
            path => Some(
                self.parameterized(path).unwrap_or_else(|| empty_response(StatusCode::NOT_FOUND)),
            ),
        }
    }

    fn handle(&self, _: Request<Bytes>) -> Response<Bytes> {
        empty_response(StatusCode::NOT_FOUND)
    }
}

/// Parses two parameters from the rest of a path.
fn parse_pair<A: FromStr, B: FromStr>(path: &str) -> Option<(A, B)> {
    let (a, b) = path.strip_prefix('/')?.split_once('/')?;
    Some((a.parse().ok()?, b.parse().ok()?))
}

fn json_response<T: Serialize>(value: &T) -> Response<Bytes> {
    let Ok(json) = serde_json::to_vec(value) else {
        return empty_response(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut resp = Response::new(Bytes::from(json));
    resp.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    resp
}

/// Encodes with postcard: with some thousand prompt parts for each engine, JSON would be four times
/// as long.
fn postcard_response<T: Serialize>(value: &T) -> Response<Bytes> {
    match postcard::to_stdvec(value) {
        Ok(buf) => Response::new(Bytes::from(buf)),
        Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn empty_response(status: StatusCode) -> Response<Bytes> {
    let mut resp = Response::new(Bytes::new());
    *resp.status_mut() = status;
    resp
}
