//! A fake plain service that counts how often each request ran. It is the judge of "at most once"
//! and of "not run".
//!
//! - `POST` anything runs the request named by `Idempotency-Key`, or else by the request id.
//! - `GET /ran` gives the counts; `GET /load` is the health answer; `PUT /control` sets `Faults`.

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

/// Faults to show, all off by default.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// The request runs, but the connection is cut instead of an answer.
    pub lose_answers: bool,
    /// The connection is cut before the request runs, after it was read.
    pub cut_before: bool,
    /// The answer promises more bytes than come.
    pub short: bool,
    /// Every request takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// The service says that it leaves.
    pub leaving: bool,
    /// Requests stop here until this is lifted.
    pub hold: Option<HoldPoint>,
}

/// A running fake service.
#[derive(Clone)]
pub struct Service {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<State>,
}

struct State {
    delay: Duration,
    ran: Mutex<HashMap<String, u64>>,
    faults: Mutex<Faults>,
    holding: HoldGate,
}

impl State {
    fn hold(&self) -> Option<HoldPoint> {
        self.faults.lock().expect("no panic under lock").hold
    }
}

impl Service {
    /// Starts a fake service that takes `delay` for each request.
    pub fn start(addr: SocketAddr, delay: Duration) -> io::Result<Service> {
        let state = Arc::new(State {
            delay,
            ran: Mutex::default(),
            faults: Mutex::default(),
            holding: HoldGate::default(),
        });
        let shared = state.clone();
        let addr = web::serve(addr, move |req| handle(shared.clone(), req))?;
        Ok(Service { addr, state })
    }

    /// Sets the faults to show from now on.
    pub fn set_faults(&self, faults: Faults) {
        *self.state.faults.lock().expect("no panic under lock") = faults;
    }

    /// How often each request ran.
    pub fn run_counts(&self) -> HashMap<String, u64> {
        self.state.ran.lock().expect("no panic under lock").clone()
    }

    /// Requests that stop where `Faults::hold` says.
    pub fn held_count(&self) -> u64 {
        self.state.holding.count()
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
            let ran = state.ran.lock().expect("no panic under lock").clone();
            Ok(web::json(StatusCode::OK, &ran))
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
        return Err(io::Error::other("cut before it ran"));
    }
    state.holding.wait(HoldPoint::Before, || state.hold()).await;
    let times = {
        let mut ran = state.ran.lock().expect("no panic under lock");
        let times = ran.entry(key).or_default();
        *times += 1;
        *times
    };
    state.holding.wait(HoldPoint::After, || state.hold()).await;
    tokio::time::sleep(state.delay + Duration::from_millis(faults.slow_ms)).await;
    if faults.lose_answers {
        return Err(io::Error::other("the answer is lost"));
    }
    let text = format!("{{\"ran\":{times},\"bytes\":{}}}", body.len());
    if faults.short {
        return Ok(short(&id, text));
    }
    Ok(Response::builder()
        .header("content-type", "application/json")
        .header("frostdyke-request-id", id)
        .body(web::full(text))
        .expect("a valid answer"))
}

/// An answer that ends before the length it promised.
fn short(id: &str, text: String) -> Response<Body> {
    let length = text.len() + 10;
    let (tx, rx) = mpsc::channel(1);
    tokio::spawn(async move {
        let _ = tx.send(Ok(Frame::data(Bytes::from(text)))).await;
        // The beginning is on its way before the end fails to come.
        tokio::time::sleep(Duration::from_millis(50)).await;
    });
    Response::builder()
        .header("content-length", length)
        .header("frostdyke-request-id", id)
        .body(web::stream(rx))
        .expect("a valid answer")
}
