//! The ports beside the callers': whether this box serves, for the balancer; and for other boxes
//! and the on-call engineer what it knows and its figures.

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
use tokio::sync::watch;

use crate::fleet::owners::EngineGroup;
use crate::fleet::quarantine::SuspectReport;
use crate::placement::registry::learned::LearnedReport;
use crate::proxy::ShutdownPhase;
use crate::proxy::http_client;
use crate::proxy::http_client::HttpClient;
use crate::proxy::hub::Hub;
use crate::proxy::view::Snapshot;
use crate::proxy::view::View;
use crate::web;
use crate::web::Page;

/// Where a box tells what it knows.
const SNAPSHOT_PATH: &str = "/v1/snapshot";

/// Where a box tells another what that one misses, packed: behind it come the version of that one's
/// configuration and the digests of its upstreams.
const DIFFERENCE_PATH: &str = "/v1/difference";

/// Where a box tells another what has changed, packed: behind it come the version of that one's
/// configuration and the revision of the store that it knows of.
const CHANGES_PATH: &str = "/v1/changes";

/// Where a box tells what it has learned of engines.
const LEARNED_PATH: &str = "/v1/learned";

/// Where a box tells which requests it holds back, packed.
const HELD_PATH: &str = "/v1/held";

/// Where the figures are.
const METRICS_PATH: &str = "/metrics";

/// How long asking another box may take.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// Why another box can't be asked.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// It gives no whole answer in time.
    #[error(transparent)]
    NoAnswer(#[from] http_client::Error),
    /// It doesn't tell.
    #[error("status {0}")]
    Status(StatusCode),
    /// Its answer can't be read.
    #[error("the answer: {0}")]
    Postcard(#[from] postcard::Error),
}

/// Tells the balancer whether this box serves, until the process ends.
pub async fn serve_ready(
    listener: TcpListener,
    hub: Arc<Hub>,
    stopping: watch::Receiver<ShutdownPhase>,
) {
    let page = Arc::new(Ready { hub, stopping });
    web::serve(listener, 0, page, std::future::pending()).await;
}

/// Answers other boxes until the process ends.
pub async fn serve_peers(listener: TcpListener, hub: Arc<Hub>) {
    web::serve(listener, 0, Arc::new(Known { hub }), std::future::pending()).await;
}

/// Asks another box what it knows and this one doesn't.
pub async fn fetch_difference(addr: SocketAddr, hub: &Hub) -> Result<Snapshot, FetchError> {
    let (version, digests) = hub.read(|view| (view.version(), view.digests(hub.now())));
    let path = format!("{DIFFERENCE_PATH}/{version}/{digests}");
    Ok(postcard::from_bytes(&fetch(addr, &path).await?)?)
}

/// Asks another box for the changes that this one may have missed; nothing if that one doesn't know them
/// any more.
pub async fn fetch_changes(addr: SocketAddr, hub: &Hub) -> Result<Option<Snapshot>, FetchError> {
    let (version, revision) = hub.read(|view| (view.version(), view.revision()));
    match fetch(addr, &format!("{CHANGES_PATH}/{version}/{revision}")).await {
        Ok(buf) => Ok(Some(postcard::from_bytes(&buf)?)),
        Err(FetchError::Status(StatusCode::GONE)) => Ok(None),
        Err(e) => Err(e),
    }
}

/// Asks another box what it has learned of engines, or of those of one group.
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

/// Asks another box which requests it holds back.
pub async fn fetch_held(addr: SocketAddr) -> Result<Vec<SuspectReport>, FetchError> {
    Ok(postcard::from_bytes(&fetch(addr, HELD_PATH).await?)?)
}

async fn fetch(addr: SocketAddr, path: &str) -> Result<Bytes, FetchError> {
    let (status, body) = HttpClient::new(addr).get(path, ASK_TIMEOUT).await?;
    if status != StatusCode::OK {
        return Err(FetchError::Status(status));
    }
    Ok(body)
}

struct Ready {
    hub: Arc<Hub>,
    stopping: watch::Receiver<ShutdownPhase>,
}

impl Page for Ready {
    fn refuse(&self, _: &http::request::Parts) -> Option<Response<Bytes>> {
        let ready = self.hub.read(View::is_ready)
            && !self.hub.is_full()
            && *self.stopping.borrow() == ShutdownPhase::Running;
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Some(empty(status))
    }

    fn answer(&self, _: Request<Bytes>) -> Response<Bytes> {
        empty(StatusCode::NOT_FOUND)
    }
}

struct Known {
    hub: Arc<Hub>,
}

impl Known {
    /// What is told of a path that names what is wanted.
    fn of(&self, path: &str) -> Option<Response<Bytes>> {
        if let Some(group) = path.strip_prefix(LEARNED_PATH) {
            return Some(self.learned(Some(group.strip_prefix('/')?.parse().ok()?)));
        }
        let now = self.hub.now();
        if let Some(asked) = path.strip_prefix(CHANGES_PATH) {
            let (version, revision) = two(asked)?;
            let changes = self.hub.read(|view| view.changes_since(version, revision, now));
            return Some(changes.map_or_else(|| empty(StatusCode::GONE), |all| packed(&all)));
        }
        let (version, digests) = two(path.strip_prefix(DIFFERENCE_PATH)?)?;
        Some(packed(&self.hub.read(|view| view.difference(version, &digests, now))))
    }

    fn held(&self) -> Response<Bytes> {
        let now = self.hub.now();
        packed(
            &self
                .hub
                .suspects()
                .read(|held| held.held_reports(now).collect::<Vec<SuspectReport>>()),
        )
    }

    fn learned(&self, group: Option<EngineGroup>) -> Response<Bytes> {
        packed(&self.hub.read(|view| view.learned(group)))
    }
}

impl Page for Known {
    fn refuse(&self, head: &http::request::Parts) -> Option<Response<Bytes>> {
        match head.uri.path() {
            SNAPSHOT_PATH => Some(json(&self.hub.read(|view| view.snapshot(self.hub.now())))),
            LEARNED_PATH => Some(self.learned(None)),
            HELD_PATH => Some(self.held()),
            METRICS_PATH => Some(Response::new(Bytes::from(self.hub.metrics().page()))),
            path => Some(self.of(path).unwrap_or_else(|| empty(StatusCode::NOT_FOUND))),
        }
    }

    fn answer(&self, _: Request<Bytes>) -> Response<Bytes> {
        empty(StatusCode::NOT_FOUND)
    }
}

/// What a path names behind its first part.
fn two<A: FromStr, B: FromStr>(path: &str) -> Option<(A, B)> {
    let (a, b) = path.strip_prefix('/')?.split_once('/')?;
    Some((a.parse().ok()?, b.parse().ok()?))
}

fn json<T: Serialize>(known: &T) -> Response<Bytes> {
    let Ok(json) = serde_json::to_vec(known) else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut resp = Response::new(Bytes::from(json));
    resp.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    resp
}

/// For programs only: some thousand parts an engine, which would be four times as long as text.
fn packed<T: Serialize>(known: &T) -> Response<Bytes> {
    match postcard::to_stdvec(known) {
        Ok(buf) => Response::new(Bytes::from(buf)),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn empty(status: StatusCode) -> Response<Bytes> {
    let mut resp = Response::new(Bytes::new());
    *resp.status_mut() = status;
    resp
}
