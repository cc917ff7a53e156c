//! Persistent connections to other routers, one per box, by `jsonrpsee` over WebSocket.
//!
//! What comes up while a call is being made goes together in the next one. The answer to a call
//! carries what the other side has for this one. A call that registers a ticket is answered when
//! there is something to say, so the grant of a ticket that waits needs no call of its own.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jsonrpsee::core::client::ClientT;
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client::HeaderMap;
use jsonrpsee::ws_client::HeaderValue;
use jsonrpsee::ws_client::WsClient;
use jsonrpsee::ws_client::WsClientBuilder;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::config::settings::Secret;
use crate::names::BoxName;
use crate::peer::message::Envelope;
use crate::peer::message::Message;
use crate::peer::traffic::Counted;
use crate::peer::traffic::Traffic;

/// The one method that routers call on each other.
pub const METHOD: &str = "p";

/// Messages that may wait for one peer; more are dropped.
const QUEUE_MAX: usize = 16_384;

/// Messages that go in one call.
const BATCH_MAX: usize = 256;

/// Calls under way at once on one link.
const CALLS_MAX: usize = 64;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a link that failed rests. What comes up meanwhile is dropped: it would be stale.
const REST: Duration = Duration::from_millis(200);

/// What the links tell the rest of the process.
pub trait ConnectionHandler: Send + Sync + 'static {
    /// Messages came from a box.
    fn receive(&self, from: &BoxName, messages: Vec<Message>);

    /// A box refuses connections.
    fn unreachable(&self, name: &BoxName);

    /// These messages to a box were likely lost.
    fn messages_lost(&self, name: &BoxName, messages: Vec<Message>);

    /// Where a box's peer port is.
    fn address(&self, name: &BoxName) -> Option<SocketAddr>;
}

/// Why a peer couldn't be told something.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Neither the box list nor the settings name the box.
    #[error("no address is known")]
    NoAddress,
    /// Nothing listens there.
    #[error("connecting: {0}")]
    Connect(std::io::Error),
    /// It took too long.
    #[error("too slow")]
    Timeout,
    /// The call failed.
    #[error("calling: {0}")]
    Call(#[from] jsonrpsee::core::ClientError),
}

/// The links of one router to all others.
pub struct PeerConnections {
    me: BoxName,
    secret: Secret,
    traffic: Arc<Traffic>,
    runtime: Handle,
    queues: Mutex<HashMap<BoxName, mpsc::Sender<Message>>>,
}

impl PeerConnections {
    /// No links yet; they are made when something is sent, by any thread.
    ///
    /// # Panics
    ///
    /// Outside of a runtime.
    pub fn new(me: &BoxName, secret: &Secret, traffic: &Arc<Traffic>) -> PeerConnections {
        PeerConnections {
            me: me.clone(),
            secret: secret.clone(),
            traffic: traffic.clone(),
            runtime: Handle::current(),
            queues: Mutex::default(),
        }
    }

    /// Sends a message soon, or drops it when too many wait. Doesn't block. `inbox` hears what
    /// comes back.
    pub fn send(&self, to: &BoxName, message: Message, inbox: &Arc<dyn ConnectionHandler>) {
        let mut queues = self.queues.lock().expect("no panic under lock");
        let queue = queues.entry(to.clone()).or_insert_with(|| self.open(to, inbox));
        if queue.try_send(message).is_err() {
            self.traffic.messages_lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn open(&self, to: &BoxName, inbox: &Arc<dyn ConnectionHandler>) -> mpsc::Sender<Message> {
        let (tx, rx) = mpsc::channel(QUEUE_MAX);
        let link = PeerConnection {
            me: self.me.clone(),
            peer: to.clone(),
            secret: self.secret.clone(),
            traffic: self.traffic.clone(),
            inbox: inbox.clone(),
            client: None,
        };
        self.runtime.spawn(link.run(rx));
        tx
    }
}

/// Connects to a router's port for peers.
pub async fn connect(
    addr: SocketAddr,
    secret: &Secret,
    traffic: &Arc<Traffic>,
) -> Result<WsClient, Error> {
    let connecting = TcpStream::connect(addr);
    let stream = timeout(CONNECT_TIMEOUT, connecting).await.map_err(|_| Error::Timeout)?;
    let stream = stream.map_err(Error::Connect)?;
    stream.set_nodelay(true).map_err(Error::Connect)?;
    let mut headers = HeaderMap::new();
    let bearer = format!("Bearer {}", secret.expose());
    if let Ok(value) = HeaderValue::from_str(&bearer) {
        headers.insert("authorization", value);
    }
    let client = WsClientBuilder::default()
        .set_headers(headers)
        .request_timeout(CALL_TIMEOUT)
        .build_with_stream(format!("ws://{addr}"), Counted::new(stream, traffic));
    Ok(timeout(CONNECT_TIMEOUT, client).await.map_err(|_| Error::Timeout)??)
}

/// The link to one peer.
struct PeerConnection {
    me: BoxName,
    peer: BoxName,
    secret: Secret,
    traffic: Arc<Traffic>,
    inbox: Arc<dyn ConnectionHandler>,
    client: Option<(SocketAddr, Arc<WsClient>)>,
}

impl PeerConnection {
    async fn run(mut self, mut rx: mpsc::Receiver<Message>) {
        let calls = Arc::new(Semaphore::new(CALLS_MAX));
        let (failed, mut failures) = mpsc::channel::<Error>(CALLS_MAX);
        let mut messages = Vec::new();
        loop {
            tokio::select! {
                biased;
                Some(e) = failures.recv() => {
                    self.rest(&e, &mut rx).await;
                    while failures.try_recv().is_ok() {}
                }
                n = rx.recv_many(&mut messages, BATCH_MAX) => {
                    if n == 0 {
                        return;
                    }
                    let batch = std::mem::take(&mut messages);
                    let permit = calls.clone().acquire_owned().await.expect("never closed");
                    self.tell(batch, permit, &failed).await;
                }
            }
        }
    }

    /// Sends a batch; its answer is awaited aside.
    async fn tell(
        &mut self,
        messages: Vec<Message>,
        permit: OwnedSemaphorePermit,
        failed: &mpsc::Sender<Error>,
    ) {
        let count = messages.len() as u64;
        let client = match self.client().await {
            Ok(client) => client,
            Err(e) => {
                self.traffic.messages_lost.fetch_add(count, Ordering::Relaxed);
                self.inbox.messages_lost(&self.peer, messages);
                // There is room: one failure at a time is reported from here.
                let _ = failed.try_send(e);
                return;
            }
        };
        let envelope = Envelope(self.me.clone(), messages);
        let (inbox, traffic) = (self.inbox.clone(), self.traffic.clone());
        let (peer, failed) = (self.peer.clone(), failed.clone());
        tokio::spawn(async move {
            let answer = call(&client, &envelope).await;
            drop(permit);
            match answer {
                Ok(answer) => {
                    traffic.messages_out.fetch_add(count, Ordering::Relaxed);
                    if !answer.is_empty() {
                        inbox.receive(&peer, answer);
                    }
                }
                Err(e) => {
                    traffic.messages_lost.fetch_add(count, Ordering::Relaxed);
                    inbox.messages_lost(&peer, envelope.1);
                    // When more fail than fit, the link rests all the same.
                    let _ = failed.try_send(e);
                }
            }
        });
    }

    async fn client(&mut self) -> Result<Arc<WsClient>, Error> {
        let addr = self.inbox.address(&self.peer).ok_or(Error::NoAddress)?;
        if let Some((known, client)) = &self.client
            && *known == addr
            && client.is_connected()
        {
            return Ok(client.clone());
        }
        let client = Arc::new(connect(addr, &self.secret, &self.traffic).await?);
        self.client = Some((addr, client.clone()));
        Ok(client)
    }

    async fn rest(&mut self, error: &Error, rx: &mut mpsc::Receiver<Message>) {
        self.client = None;
        if matches!(error, Error::Connect(_)) {
            self.inbox.unreachable(&self.peer);
        }
        tokio::time::sleep(REST).await;
        let mut stale = Vec::new();
        while let Ok(message) = rx.try_recv() {
            stale.push(message);
        }
        self.traffic.messages_lost.fetch_add(stale.len() as u64, Ordering::Relaxed);
        self.inbox.messages_lost(&self.peer, stale);
    }
}

async fn call(client: &WsClient, envelope: &Envelope) -> Result<Vec<Message>, Error> {
    let calling = client.request(METHOD, rpc_params![envelope]);
    Ok(timeout(CALL_TIMEOUT, calling).await.map_err(|_| Error::Timeout)??)
}
