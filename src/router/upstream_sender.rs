//! Sends requests to upstreams, by `ureq` on threads of their own: one thread per RUNNING request.
//! Requests that wait hold no thread.
//!
//! Each request gets a connection of its own, which is closed afterwards: nothing of an earlier
//! answer can come up in a later one. `ureq` is told never to retry, redirect or pool.

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

/// Bytes read from an upstream at once.
const PIECE_MAX: usize = 16 << 10;

/// Buffers of a connection, each way, in bytes. Every running request has both, so they are what a
/// router's memory goes to; a response head has to fit.
const BUFFER: usize = 16 << 10;

/// Pieces of an answer that wait for a slow caller; what comes after waits at the upstream.
const PIECES_MAX: usize = 8;

/// How long connecting to an upstream may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a thread without work lives on.
const THREAD_IDLE: Duration = Duration::from_secs(10);

/// Stack of a sending thread, in bytes.
const STACK: usize = 256 << 10;

/// A request for an upstream.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// How it asks.
    pub method: Method,
    /// Where it goes.
    pub addr: SocketAddr,
    /// The path there.
    pub path: String,
    /// All headers beside those that HTTP itself needs.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// How long the upstream may send nothing.
    pub idle_timeout: Duration,
}

/// What comes back, in this order: `Failed`, or `Head`, any number of `Piece`s and an end.
#[derive(Debug)]
pub enum Event {
    /// The answer begins.
    Head { status: StatusCode, headers: HeaderMap },
    /// A part of its body.
    Piece(Bytes),
    /// The body is whole.
    End,
    /// It went wrong. `sent` tells whether any byte may have left.
    Failed { sent: bool, reason: String },
}

/// The receiving side of a request that was sent. Dropping it cancels the request.
pub struct Incoming {
    events: mpsc::Receiver<Event>,
    agent: Option<Agent>,
}

impl Incoming {
    /// The next event; nothing after the last.
    pub async fn next(&mut self) -> Option<Event> {
        self.events.recv().await
    }

    /// The next event, for a body that is polled.
    pub fn poll_next(&mut self, cx: &mut std::task::Context<'_>) -> std::task::Poll<Option<Event>> {
        self.events.poll_recv(cx)
    }
}

impl Drop for Incoming {
    fn drop(&mut self) {
        // Wakes the thread up if it waits for the upstream, and closes the connection.
        if let Some(agent) = self.agent.take() {
            agent.shutdown();
        }
    }
}

/// Threads that send requests.
pub struct Senders {
    tx: Sender<Job>,
    rx: Receiver<Job>,
    live: Arc<AtomicUsize>,
    max: usize,
    running: Arc<Mutex<HashMap<WorkspaceName, usize>>>,
}

/// All threads are in use, or as many as one workspace may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the sending threads are in use")]
pub struct Busy;

struct Job {
    outgoing: Outgoing,
    agent: Agent,
    sent: Arc<AtomicBool>,
    events: mpsc::Sender<Event>,
    share: Share,
}

/// Counts a thread as a workspace's for as long as it lives.
struct Share {
    running: Arc<Mutex<HashMap<WorkspaceName, usize>>>,
    workspace: WorkspaceName,
}

impl Share {
    fn take(
        running: &Arc<Mutex<HashMap<WorkspaceName, usize>>>,
        workspace: &WorkspaceName,
        most: usize,
    ) -> Result<Share, Busy> {
        let mut counts = running.lock().expect("no panic under lock");
        let count = counts.entry(workspace.clone()).or_default();
        if most <= *count {
            return Err(Busy);
        }
        *count += 1;
        Ok(Share { running: running.clone(), workspace: workspace.clone() })
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut counts = self.running.lock().expect("no panic under lock");
        let Some(count) = counts.get_mut(&self.workspace) else { return };
        *count -= 1;
        if *count == 0 {
            counts.remove(&self.workspace);
        }
    }
}

impl Senders {
    /// Up to `max` threads, started when they are needed.
    pub fn new(max: usize) -> Senders {
        // Without room of its own, the channel takes a job only when a thread waits for one.
        let (tx, rx) = channel::bounded(0);
        Senders { tx, rx, live: Arc::default(), max, running: Arc::default() }
    }

    /// Sends a request of a workspace; doesn't block. No workspace gets all the threads.
    pub fn send(&self, workspace: &WorkspaceName, outgoing: Outgoing) -> Result<Incoming, Busy> {
        let share = Share::take(&self.running, workspace, self.max.div_ceil(2))?;
        let (events, rx) = mpsc::channel(PIECES_MAX);
        let sent = Arc::new(AtomicBool::new(false));
        let agent = agent(&outgoing, &sent);
        let incoming = Incoming { events: rx, agent: Some(agent.clone()) };
        match self.tx.try_send(Job { outgoing, agent, sent, events, share }) {
            Ok(()) => Ok(incoming),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => {
                self.spawn(job)?;
                Ok(incoming)
            }
        }
    }

    /// Threads that live now.
    pub fn live(&self) -> usize {
        self.live.load(Ordering::Relaxed)
    }

    fn spawn(&self, job: Job) -> Result<(), Busy> {
        if self.max <= self.live.fetch_add(1, Ordering::Relaxed) {
            self.live.fetch_sub(1, Ordering::Relaxed);
            return Err(Busy);
        }
        let (rx, live) = (self.rx.clone(), self.live.clone());
        let builder = thread::Builder::new().name("send".to_owned()).stack_size(STACK);
        let spawned = builder.spawn(move || {
            job.run();
            while let Ok(job) = rx.recv_timeout(THREAD_IDLE) {
                job.run();
            }
            live.fetch_sub(1, Ordering::Relaxed);
        });
        spawned.map(drop).map_err(|_| {
            self.live.fetch_sub(1, Ordering::Relaxed);
            Busy
        })
    }
}

impl Job {
    fn run(self) {
        let Job { outgoing, agent, sent, events, share: _share } = self;
        let failed = |reason: String| Event::Failed { sent: sent.load(Ordering::SeqCst), reason };
        let uri = format!("http://{}{}", outgoing.addr, outgoing.path);
        let mut req = Request::builder().method(&outgoing.method).uri(uri);
        if let Some(headers) = req.headers_mut() {
            headers.extend(outgoing.headers);
        }
        let result = match outgoing.method {
            Method::GET => req.body(()).map_err(ureq::Error::from).and_then(|r| agent.run(r)),
            _ => req.body(&*outgoing.body).map_err(ureq::Error::from).and_then(|r| agent.run(r)),
        };
        let resp = match result {
            Ok(resp) => resp,
            Err(e) => return drop(events.blocking_send(failed(e.to_string()))),
        };
        let (parts, body) = resp.into_parts();
        let head = Event::Head { status: parts.status, headers: parts.headers };
        if events.blocking_send(head).is_err() {
            return;
        }
        let last = copy(body.into_reader(), &events).unwrap_or_else(|e| failed(e.to_string()));
        drop(events.blocking_send(last));
    }
}

/// Passes a body on, piece by piece as it comes. Gives the last event.
fn copy(mut rdr: impl Read, events: &mpsc::Sender<Event>) -> std::io::Result<Event> {
    let mut buf = vec![0; PIECE_MAX];
    loop {
        let n = rdr.read(&mut buf)?;
        if n == 0 {
            return Ok(Event::End);
        }
        let piece = Event::Piece(Bytes::copy_from_slice(&buf[..n]));
        if events.blocking_send(piece).is_err() {
            return Ok(Event::End);
        }
    }
}

fn agent(outgoing: &Outgoing, sent: &Arc<AtomicBool>) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .input_buffer_size(BUFFER)
        .output_buffer_size(BUFFER)
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_per_read(Some(outgoing.idle_timeout))
        .timeout_per_write(Some(outgoing.idle_timeout))
        .build();
    let connector = TcpConnector::default().chain(Watch { sent: sent.clone() });
    Agent::with_parts(config, connector, DefaultResolver::default())
}

/// Notes when the first byte is about to leave.
#[derive(Debug)]
struct Watch {
    sent: Arc<AtomicBool>,
}

impl<In: Transport> Connector<In> for Watch {
    type Out = Watched<In>;

    fn connect(
        &self,
        _: &ConnectionDetails,
        chained: Option<In>,
    ) -> Result<Option<Watched<In>>, ureq::Error> {
        Ok(chained.map(|inner| Watched { inner, sent: self.sent.clone() }))
    }
}

#[derive(Debug)]
struct Watched<In> {
    inner: In,
    sent: Arc<AtomicBool>,
}

impl<In: Transport> Transport for Watched<In> {
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
