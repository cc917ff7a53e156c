//! A fake service without a model that counts how often each request ran. Tests use the counts to
//! check the guarantees "at most once" and "not run".
//!
//! - `POST` to any path runs the request, identified by `Idempotency-Key` or else the request id.
//! - `GET /ran` returns the counts; `GET /load` is the health probe; `PUT /control` sets
//!   [`Faults`].

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::engine::LoadReport;
use crate::hold::HoldGate;
use crate::hold::HoldPoint;
use crate::web;
use crate::web::Body;

/// Faults to simulate, all off by default.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// The request runs, but the connection is cut instead of a response.
    pub lose_answers: bool,
    /// The connection is cut after the request is read, before it runs.
    pub cut_before: bool,
    /// The response is shorter than its `Content-Length`.
    pub short: bool,
    /// Additional time of each request, in milliseconds.
    pub slow_ms: u64,
    /// The service reports that it is leaving.
    pub leaving: bool,
    /// Requests are held at this point until it is unset.
    pub hold: Option<HoldPoint>,
}

/// A running fake service.
#[derive(Clone)]
pub struct Service {
    /// The address it listens on.
    pub addr: SocketAddr,
    state: Arc<State>,
}

struct State {
    delay: Duration,
    runs: Mutex<HashMap<String, u64>>,
    faults: Mutex<Faults>,
    hold_gate: HoldGate,
}

impl State {
    fn hold(&self) -> Option<HoldPoint> {
        self.faults.lock().expect("no panic under lock").hold
    }
}

impl Service {
    /// Starts a fake service that takes `delay` per request.
    pub fn start(addr: SocketAddr, delay: Duration) -> io::Result<Service> {
        let state = Arc::new(State {
            delay,
            runs: Mutex::default(),
            faults: Mutex::default(),
            hold_gate: HoldGate::default(),
        });
        let shared = state.clone();
        let addr = web::serve(addr, move |req| handle(shared.clone(), req))?;
        Ok(Service { addr, state })
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        *self.state.faults.lock().expect("no panic under lock") = faults;
    }

    /// Number of runs by idempotency key or request id.
    pub fn run_counts(&self) -> HashMap<String, u64> {
        self.state.runs.lock().expect("no panic under lock").clone()
    }

    /// Number of requests held by [`Faults::hold`].
    pub fn held_count(&self) -> u64 {
        self.state.hold_gate.count()
    }
}

async fn handle(state: Arc<State>, req: Request<Incoming>) -> io::Result<Response<Body>> {
    let faults = state.faults.lock().expect("no panic under lock").clone();
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/load") => {
            let load = LoadReport { leaving: faults.leaving, ..LoadReport::default() };
            Ok(web::json(StatusCode::OK, &load))
        }
        (&Method::GET, "/ran") => {
            let runs = state.runs.lock().expect("no panic under lock").clone();
            Ok(web::json(StatusCode::OK, &runs))
        }
        (&Method::PUT, "/control") => {
            let body = req.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
            let Ok(faults) = serde_json::from_slice(&body) else {
                return Ok(web::status(StatusCode::BAD_REQUEST));
            };
            *state.faults.lock().expect("no panic under lock") = faults;
            Ok(web::status(StatusCode::NO_CONTENT))
        }
        (&Method::POST, _) => run(&state, &faults, req).await,
        _ => Ok(web::status(StatusCode::NOT_FOUND)),
    }
}

async fn run(state: &State, faults: &Faults, req: Request<Incoming>) -> io::Result<Response<Body>> {
    let text =
        |name: &str| req.headers().get(name).and_then(|v| v.to_str().ok().map(str::to_owned));
    let id = text("frostdyke-request-id").unwrap_or_default();
    let key = text("idempotency-key").unwrap_or_else(|| id.clone());
    let body = req.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    if faults.cut_before {
        return Err(io::Error::other("cut before the request ran"));
    }
    state.hold_gate.wait(HoldPoint::Before, || state.hold()).await;
    let run_count = {
        let mut runs = state.runs.lock().expect("no panic under lock");
        let run_count = runs.entry(key).or_default();
        *run_count += 1;
        *run_count
    };
    state.hold_gate.wait(HoldPoint::After, || state.hold()).await;
    tokio::time::sleep(state.delay + Duration::from_millis(faults.slow_ms)).await;
    if faults.lose_answers {
        return Err(io::Error::other("response lost"));
    }
    let text = format!("{{\"ran\":{run_count},\"bytes\":{}}}", body.len());
    if faults.short {
        return Ok(short(&id, text));
    }
    Ok(Response::builder()
        .header("content-type", "application/json")
        .header("frostdyke-request-id", id)
        .body(web::full(text))
        .expect("a valid response"))
}

/// A response whose body is shorter than its `Content-Length`.
fn short(id: &str, text: String) -> Response<Body> {
    let length = text.len() + 10;
    let (tx, rx) = mpsc::channel(1);
    tokio::spawn(async move {
        let _ = tx.send(Ok(Frame::data(Bytes::from(text)))).await;
        // Gives the first part time to be sent before the body ends early.
        tokio::time::sleep(Duration::from_millis(50)).await;
    });
    Response::builder()
        .header("content-length", length)
        .header("frostdyke-request-id", id)
        .body(web::stream(rx))
        .expect("a valid response")
}
