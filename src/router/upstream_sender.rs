//! Sends requests to upstreams by `ureq`, one thread per RUNNING request. Waiting requests use no
//! thread.
//!
//! Each request has its own connection, which is closed afterwards, so that no part of an earlier
//! response can end up in a later one. `ureq` is configured never to retry, redirect or pool.

use std::collections::HashMap;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel;
use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::TrySendError;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use tokio::sync::mpsc;
use ureq::Agent;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::Buffers;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::NextTimeout;
use ureq::unversioned::transport::TcpConnector;
use ureq::unversioned::transport::Transport;

use crate::names::WorkspaceName;

/// Most bytes read from an upstream at once.
const CHUNK_MAX_BYTES: usize = 16 << 10;

/// Size of each of the two buffers of a connection. Every running request has both, so they are
/// most of a router's memory; a response head must fit.
const CONNECTION_BUFFER_BYTES: usize = 16 << 10;

/// Most chunks of a response buffered for a slow caller; the rest waits at the upstream.
const BUFFERED_CHUNKS_MAX: usize = 8;

/// Timeout of connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an idle thread is kept.
const THREAD_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Stack size of a sending thread.
const THREAD_STACK_BYTES: usize = 256 << 10;

/// A request for an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    pub method: Method,
    /// The upstream's address.
    pub addr: SocketAddr,
    /// The path on the upstream.
    pub path: String,
    /// All headers except those that the HTTP client adds.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Longest time without a byte from the upstream.
    pub idle_timeout: Duration,
}

/// A part of a response. The order is `Failed`, or `Head`, any number of `Chunk`s and `End` or
/// `Failed`.
#[derive(Debug)]
pub enum ResponseEvent {
    /// The head of the response.
    Head { status: StatusCode, headers: HeaderMap },
    /// A part of the body.
    Chunk(Bytes),
    /// The body is complete.
    End,
    /// Sending or receiving failed. `sent` is whether any byte of the request may have been sent.
    Failed { sent: bool, reason: String },
}

/// Receives the response to a request that was sent. Dropping it cancels the request.
pub struct ResponseReceiver {
    events: mpsc::Receiver<ResponseEvent>,
    agent: Option<Agent>,
}

impl ResponseReceiver {
    /// Receives the next event; `None` after the last.
    pub async fn next(&mut self) -> Option<ResponseEvent> {
        self.events.recv().await
    }

    /// Polls for the next event.
    pub fn poll_next(
        &mut self,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<ResponseEvent>> {
        self.events.poll_recv(cx)
    }
}

impl Drop for ResponseReceiver {
    fn drop(&mut self) {
        // Wakes the thread if it waits for the upstream, and closes the connection.
        if let Some(agent) = self.agent.take() {
            agent.shutdown();
        }
    }
}

/// The threads that send requests to upstreams.
pub struct SendingThreads {
    tx: Sender<Job>,
    rx: Receiver<Job>,
    live_count: Arc<AtomicUsize>,
    threads_max: usize,
    per_workspace: Arc<Mutex<HashMap<WorkspaceName, usize>>>,
}

/// All threads are in use, or as many as one workspace may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the sending threads are in use")]
pub struct Busy;

struct Job {
    upstream_request: UpstreamRequest,
    agent: Agent,
    sent: Arc<AtomicBool>,
    events: mpsc::Sender<ResponseEvent>,
    guard: ThreadGuard,
}

/// Counts a thread as used by a workspace until dropped.
struct ThreadGuard {
    per_workspace: Arc<Mutex<HashMap<WorkspaceName, usize>>>,
    workspace: WorkspaceName,
}

impl ThreadGuard {
    fn acquire(
        per_workspace: &Arc<Mutex<HashMap<WorkspaceName, usize>>>,
        workspace: &WorkspaceName,
        max: usize,
    ) -> Result<ThreadGuard, Busy> {
        let mut counts = per_workspace.lock().expect("no panic under lock");
        let count = counts.entry(workspace.clone()).or_default();
        if max <= *count {
            return Err(Busy);
        }
        *count += 1;
        Ok(ThreadGuard { per_workspace: per_workspace.clone(), workspace: workspace.clone() })
    }
}

impl Drop for ThreadGuard {
    fn drop(&mut self) {
        let mut counts = self.per_workspace.lock().expect("no panic under lock");
        let Some(count) = counts.get_mut(&self.workspace) else { return };
        *count -= 1;
        if *count == 0 {
            counts.remove(&self.workspace);
        }
    }
}

impl SendingThreads {
    /// A set of up to `max` threads, each started when it is needed.
    pub fn new(max: usize) -> SendingThreads {
        // A channel of capacity 0 accepts a job only when a thread waits for one.
        let (tx, rx) = channel::bounded(0);
        SendingThreads {
            tx,
            rx,
            live_count: Arc::default(),
            threads_max: max,
            per_workspace: Arc::default(),
        }
    }

    /// Sends a request of a workspace without blocking. A workspace can use at most half of the
    /// threads.
    pub fn send(
        &self,
        workspace: &WorkspaceName,
        upstream_request: UpstreamRequest,
    ) -> Result<ResponseReceiver, Busy> {
        let guard =
            ThreadGuard::acquire(&self.per_workspace, workspace, self.threads_max.div_ceil(2))?;
        let (events, rx) = mpsc::channel(BUFFERED_CHUNKS_MAX);
        let sent = Arc::new(AtomicBool::new(false));
        let agent = new_agent(&upstream_request, &sent);
        let receiver = ResponseReceiver { events: rx, agent: Some(agent.clone()) };
        match self.tx.try_send(Job { upstream_request, agent, sent, events, guard }) {
            Ok(()) => Ok(receiver),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => {
                self.spawn(job)?;
                Ok(receiver)
            }
        }
    }

    /// Number of running threads.
    pub fn live_count(&self) -> usize {
        self.live_count.load(Ordering::Relaxed)
    }

    fn spawn(&self, job: Job) -> Result<(), Busy> {
        if self.threads_max <= self.live_count.fetch_add(1, Ordering::Relaxed) {
            self.live_count.fetch_sub(1, Ordering::Relaxed);
            return Err(Busy);
        }
        let (rx, live_count) = (self.rx.clone(), self.live_count.clone());
        let builder = thread::Builder::new().name("send".to_owned()).stack_size(THREAD_STACK_BYTES);
        let spawned = builder.spawn(move || {
            job.run();
            while let Ok(job) = rx.recv_timeout(THREAD_IDLE_TIMEOUT) {
                job.run();
            }
            live_count.fetch_sub(1, Ordering::Relaxed);
        });
        spawned.map(drop).map_err(|_| {
            self.live_count.fetch_sub(1, Ordering::Relaxed);
            Busy
        })
    }
}

impl Job {
    fn run(self) {
        let Job { upstream_request, agent, sent, events, guard: _guard } = self;
        let failed =
            |reason: String| ResponseEvent::Failed { sent: sent.load(Ordering::SeqCst), reason };
        let uri = format!("http://{}{}", upstream_request.addr, upstream_request.path);
        let mut req = Request::builder().method(&upstream_request.method).uri(uri);
        if let Some(headers) = req.headers_mut() {
            headers.extend(upstream_request.headers);
        }
        let result = match upstream_request.method {
            Method::GET => req.body(()).map_err(ureq::Error::from).and_then(|r| agent.run(r)),
            _ => req
                .body(&*upstream_request.body)
                .map_err(ureq::Error::from)
                .and_then(|r| agent.run(r)),
        };
        let resp = match result {
            Ok(resp) => resp,
            Err(e) => return drop(events.blocking_send(failed(e.to_string()))),
        };
        let (parts, body) = resp.into_parts();
        let head = ResponseEvent::Head { status: parts.status, headers: parts.headers };
        if events.blocking_send(head).is_err() {
            return;
        }
        let last_event =
            forward_body(body.into_reader(), &events).unwrap_or_else(|e| failed(e.to_string()));
        drop(events.blocking_send(last_event));
    }
}

/// Forwards a body chunk by chunk as it is read. Returns the last event.
fn forward_body(
    mut rdr: impl Read,
    events: &mpsc::Sender<ResponseEvent>,
) -> std::io::Result<ResponseEvent> {
    let mut buf = vec![0; CHUNK_MAX_BYTES];
    loop {
        let n = rdr.read(&mut buf)?;
        if n == 0 {
            return Ok(ResponseEvent::End);
        }
        let chunk = ResponseEvent::Chunk(Bytes::copy_from_slice(&buf[..n]));
        if events.blocking_send(chunk).is_err() {
            return Ok(ResponseEvent::End);
        }
    }
}

fn new_agent(upstream_request: &UpstreamRequest, sent: &Arc<AtomicBool>) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .input_buffer_size(CONNECTION_BUFFER_BYTES)
        .output_buffer_size(CONNECTION_BUFFER_BYTES)
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_per_read(Some(upstream_request.idle_timeout))
        .timeout_per_write(Some(upstream_request.idle_timeout))
        .build();
    let connector = TcpConnector::default().chain(SendDetector { sent: sent.clone() });
    Agent::with_parts(config, connector, DefaultResolver::default())
}

/// Records when the first byte of a request is about to be sent.
#[derive(Debug)]
struct SendDetector {
    sent: Arc<AtomicBool>,
}

impl<In: Transport> Connector<In> for SendDetector {
    type Out = DetectingTransport<In>;

    fn connect(
        &self,
        _: &ConnectionDetails,
        chained: Option<In>,
    ) -> Result<Option<DetectingTransport<In>>, ureq::Error> {
        Ok(chained.map(|inner| DetectingTransport { inner, sent: self.sent.clone() }))
    }
}

#[derive(Debug)]
struct DetectingTransport<In> {
    inner: In,
    sent: Arc<AtomicBool>,
}

impl<In: Transport> Transport for DetectingTransport<In> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        if amount != 0 {
            self.sent.store(true, Ordering::SeqCst);
        }
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        self.inner.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }

    fn is_tls(&self) -> bool {
        self.inner.is_tls()
    }
}
