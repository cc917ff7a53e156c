//! A fake of the platform: versioned objects with conditional update and watch, and a box list.
//!
//! - `GET /objects/NAME` returns the value, and its version in the `Version` header.
//! - `GET /objects/NAME?after=V&wait_ms=N` waits up to N ms for a version greater than V (204 if
//!   there is none).
//! - `PUT /objects/NAME` with `If-Version: V` (0: must not exist yet) returns the new version, or
//!   409.
//! - `GET /boxes` returns the box list as it was a while ago.
//! - `PUT /boxes` replaces it; `PUT /control` sets [`Faults`]; `GET /calls` counts the calls.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::hold::HoldGate;
use crate::hold::HoldPoint;
use crate::web;
use crate::web::Body;

/// Largest accepted value; the platform has the same limit.
const VALUE_MAX: usize = 1 << 20;

/// Faults to simulate, all off by default.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every call is rejected with 503.
    pub down: bool,
    /// Additional time of each call, in milliseconds.
    pub slow_ms: u64,
    /// This number of further writes take effect, but get no response.
    pub lose_answers: u64,
    /// Time until the box list shows a change, in milliseconds.
    pub box_list_lag_ms: u64,
    /// Writes are held at this point until it is unset.
    pub hold: Option<HoldPoint>,
}

/// Number of calls so far.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct CallCounts {
    /// Conditional updates.
    pub writes: u64,
    /// Reads of objects and of the box list.
    pub reads: u64,
    /// Reads that wait for a version.
    pub watches: u64,
    /// Bytes of the values in all writes.
    pub written: u64,
}

/// A running fake platform.
#[derive(Clone)]
pub struct Platform {
    /// The address it listens on.
    pub addr: SocketAddr,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    objects: Mutex<HashMap<String, Object>>,
    boxes: Mutex<Vec<(Instant, Bytes)>>,
    faults: Mutex<Faults>,
    hold_gate: HoldGate,
    changed: Notify,
    writes: AtomicU64,
    reads: AtomicU64,
    watches: AtomicU64,
    written: AtomicU64,
}

#[derive(Clone)]
struct Object {
    version: u64,
    value: Bytes,
}

impl Platform {
    /// Starts a fake platform.
    pub fn start(addr: SocketAddr) -> io::Result<Platform> {
        let state = Arc::new(State::default());
        let shared = state.clone();
        let addr = web::serve(addr, move |req| handle(shared.clone(), req))?;
        Ok(Platform { addr, state })
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        *self.state.faults.lock().expect("no panic under lock") = faults;
    }

    /// Replaces the box list.
    pub fn set_boxes(&self, json: impl Into<Bytes>) {
        self.state.boxes.lock().expect("no panic under lock").push((Instant::now(), json.into()));
    }

    /// Writes an object unconditionally. Returns the new version.
    pub fn put(&self, name: &str, value: impl Into<Bytes>) -> u64 {
        self.state.put(name, None, value.into()).expect("no version is expected")
    }

    /// Reads an object with its version.
    pub fn get(&self, name: &str) -> Option<(u64, Bytes)> {
        self.state.get(name).map(|o| (o.version, o.value))
    }

    /// Number of calls so far.
    pub fn calls(&self) -> CallCounts {
        self.state.calls()
    }

    /// Number of writes held by [`Faults::hold`].
    pub fn held_count(&self) -> u64 {
        self.state.hold_gate.count()
    }
}

impl State {
    fn get(&self, name: &str) -> Option<Object> {
        self.objects.lock().expect("no panic under lock").get(name).cloned()
    }

    /// Writes an object. Fails with its current version if that differs from `expected`.
    fn put(&self, name: &str, expected: Option<u64>, value: Bytes) -> Result<u64, u64> {
        let mut objects = self.objects.lock().expect("no panic under lock");
        let current = objects.get(name).map_or(0, |o| o.version);
        if expected.is_some_and(|v| v != current) {
            return Err(current);
        }
        let version = current + 1;
        objects.insert(name.to_owned(), Object { version, value });
        drop(objects);
        self.changed.notify_waiters();
        Ok(version)
    }

    fn boxes(&self) -> Bytes {
        let lag = Duration::from_millis(self.faults().box_list_lag_ms);
        let boxes = self.boxes.lock().expect("no panic under lock");
        let shown = boxes.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        shown.or(boxes.first()).map_or_else(|| Bytes::from_static(b"[]"), |(_, b)| b.clone())
    }

    fn faults(&self) -> Faults {
        self.faults.lock().expect("no panic under lock").clone()
    }

    /// Whether the response to this write is lost. Counts it if so.
    fn loses_response(&self) -> bool {
        let mut faults = self.faults.lock().expect("no panic under lock");
        let lost = faults.lose_answers != 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        lost
    }

    fn calls(&self) -> CallCounts {
        CallCounts {
            writes: self.writes.load(Ordering::Relaxed),
            reads: self.reads.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            written: self.written.load(Ordering::Relaxed),
        }
    }
}

async fn handle(state: Arc<State>, req: Request<Incoming>) -> io::Result<Response<Body>> {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::GET, "/calls") => return Ok(web::json(StatusCode::OK, &state.calls())),
        (&Method::PUT, "/control") => return control(&state, req).await,
        (&Method::PUT, "/boxes") => return set_boxes(&state, req).await,
        _ => {}
    }
    let faults = state.faults();
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    if faults.down {
        return Ok(web::status(StatusCode::SERVICE_UNAVAILABLE));
    }
    match (req.method(), path.strip_prefix("/objects/")) {
        (&Method::GET, Some(name)) => read(&state, name, req.uri().query()).await,
        (&Method::PUT, Some(name)) => write(&state, name, req).await,
        (&Method::GET, None) if path == "/boxes" => {
            state.reads.fetch_add(1, Ordering::Relaxed);
            Ok(Response::new(web::full(state.boxes())))
        }
        _ => Ok(web::status(StatusCode::NOT_FOUND)),
    }
}

async fn control(state: &State, req: Request<Incoming>) -> io::Result<Response<Body>> {
    let body = body(req).await?;
    let Ok(faults) = serde_json::from_slice(&body) else {
        return Ok(web::status(StatusCode::BAD_REQUEST));
    };
    *state.faults.lock().expect("no panic under lock") = faults;
    Ok(web::status(StatusCode::NO_CONTENT))
}

async fn set_boxes(state: &State, req: Request<Incoming>) -> io::Result<Response<Body>> {
    let body = body(req).await?;
    state.boxes.lock().expect("no panic under lock").push((Instant::now(), body));
    Ok(web::status(StatusCode::NO_CONTENT))
}

async fn read(state: &State, name: &str, query: Option<&str>) -> io::Result<Response<Body>> {
    let Some(after) = parameter(query, "after") else {
        state.reads.fetch_add(1, Ordering::Relaxed);
        return Ok(state.get(name).map_or_else(not_found, object_response));
    };
    state.watches.fetch_add(1, Ordering::Relaxed);
    let until = Instant::now() + Duration::from_millis(parameter(query, "wait_ms").unwrap_or(0));
    loop {
        let changed = state.changed.notified();
        if state.faults().down {
            return Ok(web::status(StatusCode::SERVICE_UNAVAILABLE));
        }
        match state.get(name) {
            Some(object) if after < object.version => return Ok(object_response(object)),
            _ => {}
        }
        let remaining = until.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Ok(web::status(StatusCode::NO_CONTENT));
        }
        // Wakes up periodically to notice an outage.
        let _ = tokio::time::timeout(remaining.min(Duration::from_millis(50)), changed).await;
    }
}

async fn write(state: &State, name: &str, req: Request<Incoming>) -> io::Result<Response<Body>> {
    state.writes.fetch_add(1, Ordering::Relaxed);
    let version = req.headers().get("if-version").and_then(|v| v.to_str().ok()?.parse().ok());
    let Some(version) = version else {
        return Ok(web::status(StatusCode::PRECONDITION_REQUIRED));
    };
    let value = body(req).await?;
    state.written.fetch_add(value.len() as u64, Ordering::Relaxed);
    if VALUE_MAX < value.len() {
        return Ok(web::status(StatusCode::PAYLOAD_TOO_LARGE));
    }
    state.hold_gate.wait(HoldPoint::Before, || state.faults().hold).await;
    let result = state.put(name, Some(version), value);
    state.hold_gate.wait(HoldPoint::After, || state.faults().hold).await;
    if state.loses_response() {
        return Err(io::Error::other("response lost"));
    }
    Ok(match result {
        Ok(version) => versioned(StatusCode::OK, version, Bytes::new()),
        Err(current) => versioned(StatusCode::CONFLICT, current, Bytes::new()),
    })
}

fn object_response(object: Object) -> Response<Body> {
    versioned(StatusCode::OK, object.version, object.value)
}

fn not_found() -> Response<Body> {
    web::status(StatusCode::NOT_FOUND)
}

fn versioned(status: StatusCode, version: u64, value: Bytes) -> Response<Body> {
    Response::builder()
        .status(status)
        .header("version", version)
        .body(web::full(value))
        .expect("a valid response")
}

fn parameter(query: Option<&str>, key: &str) -> Option<u64> {
    let pairs = query?.split('&').filter_map(|p| p.split_once('='));
    pairs.into_iter().find(|(k, _)| *k == key).and_then(|(_, v)| v.parse().ok())
}

async fn body(req: Request<Incoming>) -> io::Result<Bytes> {
    let collected = req.into_body().collect().await.map_err(io::Error::other)?;
    Ok(collected.to_bytes())
}
