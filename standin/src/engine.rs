//! A fake model engine: slots, tokens streamed one by one, a prefix cache, a load report that lags,
//! and faults on demand.
//!
//! - `POST /v1/generate` with `{"max_tokens": N}` streams N events and a last one with the usage.
//!   A request beyond the slots waits inside, the most urgent (`Frostdyke-Class`) first.
//! - `GET /load` gives the requests running, as they were a while ago, whether the engine leaves,
//!   and what went into or out of the prefix cache since it was last asked.
//! - `PUT /control` sets `Faults`.
//! - `GET /ran` counts the requests that ran.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
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
use hyper::body::Frame;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;

use crate::web;
use crate::web::Body;

/// Prefixes that the cache holds.
const CACHE_MAX: usize = 64;

/// How an engine behaves when all is well.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Requests that run at once.
    pub slots: usize,
    /// Time per token in each slot.
    pub token: Duration,
    /// Time before the first token, without a cached prefix.
    pub prefill: Duration,
    /// How old the load report is.
    pub report_lag: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            slots: 8,
            token: Duration::from_millis(2),
            prefill: Duration::from_millis(4),
            report_lag: Duration::from_millis(500),
        }
    }
}

/// Faults to show, all off by default.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Answers are cut after this many tokens.
    pub cut_after: Option<u64>,
    /// Answers carry another request's id.
    pub crossed: bool,
    /// Every answer begins this much later, in milliseconds.
    pub late_ms: u64,
    /// Every request is refused with 503 before it runs.
    pub busy: bool,
    /// Answers never end after their tokens.
    pub endless: bool,
    /// The engine says that it leaves.
    pub leaving: bool,
}

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Changes of the prefix cache.
    pub events: Vec<CacheEvent>,
}

/// A change of the prefix cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The prefix, as the caller hinted it.
    pub prefix: u64,
    /// Whether it went in (else out).
    pub stored: bool,
}

/// A running fake engine.
#[derive(Clone)]
pub struct Engine {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<State>,
}

struct State {
    settings: Settings,
    slots: Semaphore,
    running: AtomicU32,
    history: Mutex<VecDeque<(Instant, u32)>>,
    cache: Mutex<VecDeque<u64>>,
    events: Mutex<Vec<CacheEvent>>,
    faults: Mutex<Faults>,
    ran: Mutex<HashMap<String, u64>>,
    tokens: AtomicU64,
    cancelled: AtomicU64,
}

#[derive(Deserialize)]
#[serde(default)]
struct Prompt {
    max_tokens: u64,
    prompt_tokens: u64,
}

impl Default for Prompt {
    fn default() -> Prompt {
        Prompt { max_tokens: 16, prompt_tokens: 0 }
    }
}

impl Engine {
    /// Starts a fake engine.
    pub fn start(addr: SocketAddr, settings: Settings) -> io::Result<Engine> {
        let state = Arc::new(State {
            slots: Semaphore::new(settings.slots),
            settings,
            running: AtomicU32::new(0),
            history: Mutex::default(),
            cache: Mutex::default(),
            events: Mutex::default(),
            faults: Mutex::default(),
            ran: Mutex::default(),
            tokens: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
        });
        let shared = state.clone();
        let addr = web::serve(addr, move |req| handle(shared.clone(), req))?;
        Ok(Engine { addr, state })
    }

    /// Sets the faults to show from now on.
    pub fn set_faults(&self, faults: Faults) {
        *self.state.faults.lock().expect("no panic under lock") = faults;
    }

    /// How often each request id ran.
    pub fn ran(&self) -> HashMap<String, u64> {
        self.state.ran.lock().expect("no panic under lock").clone()
    }

    /// Requests running now.
    pub fn running(&self) -> u32 {
        self.state.running.load(Ordering::SeqCst)
    }

    /// Requests whose caller left before the end.
    pub fn cancelled(&self) -> u64 {
        self.state.cancelled.load(Ordering::SeqCst)
    }
}

impl State {
    fn faults(&self) -> Faults {
        self.faults.lock().expect("no panic under lock").clone()
    }

    /// Notes a change of the number of running requests.
    fn note_running(&self, change: i32) {
        let running = self.running.fetch_add(change as u32, Ordering::SeqCst);
        let mut history = self.history.lock().expect("no panic under lock");
        history.push_back((Instant::now(), running.wrapping_add(change as u32)));
        while 1 < history.len() && history[1].0.elapsed() >= self.settings.report_lag {
            history.pop_front();
        }
    }

    fn load(&self) -> Load {
        let history = self.history.lock().expect("no panic under lock");
        let lag = self.settings.report_lag;
        let old = history.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let events = std::mem::take(&mut *self.events.lock().expect("no panic under lock"));
        Load { running: old.map_or(0, |(_, n)| *n), leaving: self.faults().leaving, events }
    }

    /// Puts a prefix into the cache; true when it was there already.
    fn cached(&self, prefix: u64) -> bool {
        if prefix == 0 {
            return false;
        }
        let mut cache = self.cache.lock().expect("no panic under lock");
        if cache.contains(&prefix) {
            return true;
        }
        cache.push_back(prefix);
        let mut events = self.events.lock().expect("no panic under lock");
        events.push(CacheEvent { prefix, stored: true });
        if CACHE_MAX < cache.len()
            && let Some(old) = cache.pop_front()
        {
            events.push(CacheEvent { prefix: old, stored: false });
        }
        false
    }
}

/// Counts a request as running for as long as it lives, and as cancelled unless it was finished.
struct Run {
    state: Arc<State>,
    finished: bool,
}

impl Run {
    fn start(state: &Arc<State>) -> Run {
        state.note_running(1);
        Run { state: state.clone(), finished: false }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.state.note_running(-1);
        if !self.finished {
            self.state.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

async fn handle(state: Arc<State>, req: Request<Incoming>) -> io::Result<Response<Body>> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/load") => Ok(web::json(StatusCode::OK, &state.load())),
        (&Method::GET, "/ran") => {
            Ok(web::json(StatusCode::OK, &state.tokens.load(Ordering::Relaxed)))
        }
        (&Method::PUT, "/control") => {
            let body = req.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
            let Ok(faults) = serde_json::from_slice(&body) else {
                return Ok(web::status(StatusCode::BAD_REQUEST));
            };
            *state.faults.lock().expect("no panic under lock") = faults;
            Ok(web::status(StatusCode::NO_CONTENT))
        }
        (&Method::POST, _) => generate(state, req).await,
        _ => Ok(web::status(StatusCode::NOT_FOUND)),
    }
}

async fn generate(state: Arc<State>, req: Request<Incoming>) -> io::Result<Response<Body>> {
    let faults = state.faults();
    if faults.busy {
        return Ok(web::status(StatusCode::SERVICE_UNAVAILABLE));
    }
    let id = header(&req, "frostdyke-request-id").to_owned();
    let prefix = header(&req, "frostdyke-prefix").parse().unwrap_or(0);
    let body = req.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    let prompt: Prompt = serde_json::from_slice(&body).unwrap_or_default();
    *state.ran.lock().expect("no panic under lock").entry(id.clone()).or_default() += 1;
    tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
    let (tx, rx) = mpsc::channel(4);
    tokio::spawn(stream(state, prompt, prefix, faults.clone(), tx));
    let echoed = if faults.crossed { format!("{id}-crossed") } else { id };
    Ok(Response::builder()
        .header("content-type", "text/event-stream")
        .header("frostdyke-request-id", echoed)
        .body(web::stream(rx))
        .expect("a valid answer"))
}

async fn stream(
    state: Arc<State>,
    prompt: Prompt,
    prefix: u64,
    faults: Faults,
    tx: mpsc::Sender<io::Result<Frame<Bytes>>>,
) {
    let Ok(_slot) = state.slots.acquire().await else { return };
    let mut run = Run::start(&state);
    if !state.cached(prefix) {
        tokio::time::sleep(state.settings.prefill).await;
    }
    let mut due = tokio::time::Instant::now();
    for n in 0..prompt.max_tokens {
        if faults.cut_after == Some(n) {
            let _ = tx.send(Err(io::Error::other("cut"))).await;
            return;
        }
        due += state.settings.token;
        tokio::time::sleep_until(due).await;
        state.tokens.fetch_add(1, Ordering::Relaxed);
        let event = Bytes::from(format!("data: {{\"token\":{n}}}\n\n"));
        if tx.send(Ok(Frame::data(event))).await.is_err() {
            return;
        }
    }
    if faults.endless {
        return tx.closed().await;
    }
    let total = prompt.prompt_tokens + prompt.max_tokens;
    let end = format!("data: {{\"usage\":{{\"total_tokens\":{total}}}}}\n\ndata: [DONE]\n\n");
    run.finished = tx.send(Ok(Frame::data(Bytes::from(end)))).await.is_ok();
}

fn header<'a>(req: &'a Request<Incoming>, name: &str) -> &'a str {
    req.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
}
