//! A fake model engine: slots, tokens streamed one by one, a prefix cache, a delayed load report,
//! and faults on demand.
//!
//! - `POST /v1/generate` with `{"max_tokens": N}` streams N events and a last one with the usage.
//!   A request beyond the slots waits in the engine, the most urgent (`Frostdyke-Class`) first.
//! - `GET /resume/ID?from=K` streams the response of an earlier request again, from token K on.
//! - `GET /load` returns the number of running requests, as it was a while ago, whether the engine
//!   is leaving, and the changes of the prefix cache since the previous report.
//! - `GET /state` and `PUT /orders`: see [`crate::orders`].
//! - `PUT /control` sets [`Faults`].
//! - `GET /ran` returns the number of tokens generated.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
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
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::hold::HoldGate;
use crate::hold::HoldPoint;
use crate::orders::Orders;
use crate::web;
use crate::web::Body;

/// Maximum number of prefixes in the cache.
const CACHE_MAX: usize = 64;

/// How an engine behaves without faults.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Requests that run concurrently.
    pub slots: usize,
    /// Time per token in each slot.
    pub token_interval: Duration,
    /// Time before the first token, if the prefix isn't cached.
    pub prefill_time: Duration,
    /// Age of the data in the load report.
    pub report_lag: Duration,
    /// Time to load a model.
    pub model_load_time: Duration,
    /// Whether an order is rejected if its fence is smaller than an earlier one.
    pub checks_fence: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            slots: 8,
            token_interval: Duration::from_millis(2),
            prefill_time: Duration::from_millis(4),
            report_lag: Duration::from_millis(500),
            model_load_time: Duration::from_millis(50),
            checks_fence: true,
        }
    }
}

/// Faults to simulate, all off by default.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Responses are cut after this many tokens, except resumed ones.
    pub cut_after: Option<u64>,
    /// Resumed responses are cut before their first token.
    pub cut_again: bool,
    /// Responses carry another request's id.
    pub crossed: bool,
    /// Delay of every response, in milliseconds.
    pub late_ms: u64,
    /// Every request is rejected with 503 before it runs.
    pub busy: bool,
    /// Responses stay open after their last token.
    pub endless: bool,
    /// The engine reports that it is leaving.
    pub leaving: bool,
    /// Orders are held at this point until it is unset.
    pub hold_orders: Option<HoldPoint>,
}

/// An engine's report of its load.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Whether the engine is about to stop.
    pub leaving: bool,
    /// Changes of the prefix cache.
    pub events: Vec<CacheEvent>,
}

/// A change of the prefix cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The prefix, as given by the caller.
    pub prefix: u64,
    /// Whether it was added, rather than removed.
    pub stored: bool,
}

/// A running fake engine.
#[derive(Clone)]
pub struct Engine {
    /// The address it listens on.
    pub addr: SocketAddr,
    state: Arc<State>,
}

struct State {
    settings: Settings,
    slots: Mutex<Slots>,
    /// The number of tokens of each request, to resume it.
    requested_tokens: Mutex<HashMap<String, u64>>,
    running: AtomicU32,
    history: Mutex<VecDeque<(Instant, u32)>>,
    cache: Mutex<VecDeque<u64>>,
    events: Mutex<Vec<CacheEvent>>,
    faults: Mutex<Faults>,
    runs: Mutex<HashMap<String, u64>>,
    tokens: AtomicU64,
    cancelled: AtomicU64,
    resumed: AtomicU64,
    orders: Mutex<Orders>,
    hold_gate: HoldGate,
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
            slots: Mutex::new(Slots { free: settings.slots, ..Slots::default() }),
            requested_tokens: Mutex::default(),
            settings,
            running: AtomicU32::new(0),
            history: Mutex::default(),
            cache: Mutex::default(),
            events: Mutex::default(),
            faults: Mutex::default(),
            runs: Mutex::default(),
            tokens: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
            resumed: AtomicU64::new(0),
            orders: Mutex::default(),
            hold_gate: HoldGate::default(),
        });
        let shared = state.clone();
        let addr = web::serve(addr, move |req| handle(shared.clone(), req))?;
        Ok(Engine { addr, state })
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        *self.state.faults.lock().expect("no panic under lock") = faults;
    }

    /// Number of runs by request id.
    pub fn run_counts(&self) -> HashMap<String, u64> {
        self.state.runs.lock().expect("no panic under lock").clone()
    }

    /// Number of running requests.
    pub fn running(&self) -> u32 {
        self.state.running.load(Ordering::SeqCst)
    }

    /// The state that orders change.
    pub fn orders(&self) -> MutexGuard<'_, Orders> {
        self.state.orders.lock().expect("no panic under lock")
    }

    /// Number of orders held by [`Faults::hold_orders`].
    pub fn held_count(&self) -> u64 {
        self.state.hold_gate.count()
    }

    /// Number of resumed responses.
    pub fn resumed_count(&self) -> u64 {
        self.state.resumed.load(Ordering::SeqCst)
    }

    /// Number of requests whose caller disconnected before the end.
    pub fn cancelled_count(&self) -> u64 {
        self.state.cancelled.load(Ordering::SeqCst)
    }
}

impl State {
    fn faults(&self) -> Faults {
        self.faults.lock().expect("no panic under lock").clone()
    }

    /// Records a change of the number of running requests.
    fn record_running(&self, change: i32) {
        let running = self.running.fetch_add(change as u32, Ordering::SeqCst);
        let mut history = self.history.lock().expect("no panic under lock");
        history.push_back((Instant::now(), running.wrapping_add(change as u32)));
        while 1 < history.len() && history[1].0.elapsed() >= self.settings.report_lag {
            history.pop_front();
        }
    }

    fn load_report(&self) -> LoadReport {
        let history = self.history.lock().expect("no panic under lock");
        let lag = self.settings.report_lag;
        let old = history.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let events = std::mem::take(&mut *self.events.lock().expect("no panic under lock"));
        let drained = self.orders.lock().expect("no panic under lock").is_drained();
        let leaving = self.faults().leaving || drained;
        LoadReport { running: old.map_or(0, |(_, n)| *n), leaving, events }
    }

    /// Adds a prefix to the cache. Returns whether it was cached already.
    fn insert_prefix(&self, prefix: u64) -> bool {
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

/// Free slots, and requests that wait for one, in order of class and then arrival.
#[derive(Default)]
struct Slots {
    free: usize,
    arrivals: u64,
    waiting: BTreeMap<(u8, u64), oneshot::Sender<()>>,
}

impl Slots {
    /// Takes a free slot, or returns a receiver to wait for one.
    fn take(&mut self, class: u8) -> Option<oneshot::Receiver<()>> {
        if self.free != 0 {
            self.free -= 1;
            return None;
        }
        let (tx, rx) = oneshot::channel();
        self.arrivals += 1;
        self.waiting.insert((class, self.arrivals), tx);
        Some(rx)
    }

    fn release(&mut self) {
        while let Some((_, tx)) = self.waiting.pop_first() {
            if tx.send(()).is_ok() {
                return;
            }
        }
        self.free += 1;
    }
}

/// A slot in use.
struct SlotGuard(Arc<State>);

impl SlotGuard {
    async fn take(state: &Arc<State>, class: u8) -> SlotGuard {
        let wait = state.slots.lock().expect("no panic under lock").take(class);
        if let Some(rx) = wait {
            // The sender isn't dropped before a slot is free.
            let _ = rx.await;
        }
        SlotGuard(state.clone())
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.slots.lock().expect("no panic under lock").release();
    }
}

/// Counts a request as running until dropped, and then as cancelled unless it has finished.
struct RunningGuard {
    state: Arc<State>,
    finished: bool,
}

impl RunningGuard {
    fn start(state: &Arc<State>) -> RunningGuard {
        state.record_running(1);
        RunningGuard { state: state.clone(), finished: false }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.state.record_running(-1);
        if !self.finished {
            self.state.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

async fn handle(state: Arc<State>, req: Request<Incoming>) -> io::Result<Response<Body>> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/load") => Ok(web::json(StatusCode::OK, &state.load_report())),
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
        (&Method::GET, "/state") => {
            let running = state.running.load(Ordering::SeqCst);
            let leaving = state.faults().leaving;
            let mut orders = state.orders.lock().expect("no panic under lock");
            Ok(web::json(StatusCode::OK, &orders.state(running, leaving)))
        }
        (&Method::PUT, "/orders") => execute_order(&state, req).await,
        (&Method::GET, path) if path.starts_with("/resume/") => Ok(resume(state, &req)),
        (&Method::POST, _) => generate(state, req).await,
        _ => Ok(web::status(StatusCode::NOT_FOUND)),
    }
}

async fn execute_order(state: &State, req: Request<Incoming>) -> io::Result<Response<Body>> {
    let body = req.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    let Ok(order) = serde_json::from_slice(&body) else {
        return Ok(web::status(StatusCode::BAD_REQUEST));
    };
    state.hold_gate.wait(HoldPoint::Before, || state.faults().hold_orders).await;
    let running = state.running.load(Ordering::SeqCst);
    let settings = &state.settings;
    let mut orders = state.orders.lock().expect("no panic under lock");
    let status = orders.apply(order, settings.checks_fence, running, settings.model_load_time);
    Ok(web::status(status))
}

async fn generate(state: Arc<State>, req: Request<Incoming>) -> io::Result<Response<Body>> {
    let faults = state.faults();
    if faults.busy {
        return Ok(web::status(StatusCode::SERVICE_UNAVAILABLE));
    }
    let id = header(&req, "frostdyke-request-id").to_owned();
    let class = match header(&req, "frostdyke-class") {
        "urgent" => 0,
        "background" => 2,
        _ => 1,
    };
    let prefix = header(&req, "frostdyke-prefix").parse().unwrap_or(0);
    let body = req.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    let prompt: Prompt = serde_json::from_slice(&body).unwrap_or_default();
    *state.runs.lock().expect("no panic under lock").entry(id.clone()).or_default() += 1;
    tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
    state
        .requested_tokens
        .lock()
        .expect("no panic under lock")
        .insert(id.clone(), prompt.max_tokens);
    let response_id = if faults.crossed { format!("{id}-crossed") } else { id };
    let generation = Generation { prompt, prefix, class, from: 0, faults };
    Ok(start_response(state, generation, &response_id))
}

/// Streams an earlier response again, from a token on.
fn resume(state: Arc<State>, req: &Request<Incoming>) -> Response<Body> {
    let id = req.uri().path().trim_start_matches("/resume/").to_owned();
    let from = req.uri().query().and_then(|q| q.strip_prefix("from=")?.parse().ok()).unwrap_or(0);
    let requested_tokens =
        state.requested_tokens.lock().expect("no panic under lock").get(&id).copied();
    let Some(max_tokens) = requested_tokens else { return web::status(StatusCode::NOT_FOUND) };
    let prompt = Prompt { max_tokens, ..Prompt::default() };
    let faults = state.faults();
    let cut_after = faults.cut_again.then_some(from);
    let faults = Faults { cut_after, ..faults };
    state.resumed.fetch_add(1, Ordering::SeqCst);
    start_response(state, Generation { prompt, prefix: 0, class: 1, from, faults }, &id)
}

/// Parameters of a streamed response.
struct Generation {
    prompt: Prompt,
    prefix: u64,
    class: u8,
    from: u64,
    faults: Faults,
}

fn start_response(state: Arc<State>, generation: Generation, id: &str) -> Response<Body> {
    let (tx, rx) = mpsc::channel(4);
    tokio::spawn(stream(state, generation, tx));
    Response::builder()
        .header("content-type", "text/event-stream")
        .header("frostdyke-request-id", id)
        .body(web::stream(rx))
        .expect("a valid response")
}

async fn stream(
    state: Arc<State>,
    generation: Generation,
    tx: mpsc::Sender<io::Result<Frame<Bytes>>>,
) {
    let Generation { prompt, prefix, class, from, faults } = generation;
    let _slot = SlotGuard::take(&state, class).await;
    let mut run = RunningGuard::start(&state);
    if !state.insert_prefix(prefix) {
        tokio::time::sleep(state.settings.prefill_time).await;
    }
    let mut due = tokio::time::Instant::now();
    for n in from..prompt.max_tokens {
        if faults.cut_after == Some(n) {
            let _ = tx.send(Err(io::Error::other("cut"))).await;
            return;
        }
        due += state.settings.token_interval;
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
