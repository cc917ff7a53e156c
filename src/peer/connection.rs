//! Persistent connections to other routers, one per box, with `jsonrpsee` over WebSocket.
//!
//! Messages that arise during a call are batched into the next one. The response to a call carries
//! the messages that the other side has for this one. The response to a call that registers a
//! ticket is held back until there are some, so the grant of a waiting ticket needs no call of its
//! own.

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
use crate::peer::traffic::CountedStream;
use crate::peer::traffic::Traffic;

/// The RPC method that carries messages.
pub const MESSAGES_METHOD: &str = "p";

/// Messages that may wait for one peer; further ones are dropped.
const QUEUE_MAX: usize = 16_384;

/// Messages in one call.
const BATCH_MAX: usize = 256;

/// Concurrent calls on one connection.
const CALLS_MAX: usize = 64;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause of a connection after a failure. Messages that arise meanwhile are dropped, since they
/// would be stale.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Handles the events of connections.
pub trait ConnectionHandler: Send + Sync + 'static {
    /// Messages arrived from a box.
    fn receive(&self, from: &BoxName, messages: Vec<Message>);

    /// A box refused a connection.
    fn unreachable(&self, name: &BoxName);

    /// These messages to a box were probably lost.
    fn messages_lost(&self, name: &BoxName, messages: Vec<Message>);

    /// The address of a box's peer port.
    fn address(&self, name: &BoxName) -> Option<SocketAddr>;
}

/// Why messages couldn't be sent to a peer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Neither the box list nor the settings name the box.
    #[error("no address is known")]
    NoAddress,
    /// The connection was not established.
    #[error("connecting: {0}")]
    Connect(std::io::Error),
    /// Connecting or the call took too long.
    #[error("too slow")]
    Timeout,
    /// The call failed.
    #[error("calling: {0}")]
    Call(#[from] jsonrpsee::core::ClientError),
}

/// The connections of one router to all others.
pub struct PeerConnections {
    own_name: BoxName,
    secret: Secret,
    traffic: Arc<Traffic>,
    runtime: Handle,
    queues: Mutex<HashMap<BoxName, mpsc::Sender<Message>>>,
}

impl PeerConnections {
    /// No connections yet. Any thread may open one by sending a message.
    ///
    /// # Panics
    ///
    /// Panics outside of a Tokio runtime.
    pub fn new(own_name: &BoxName, secret: &Secret, traffic: &Arc<Traffic>) -> PeerConnections {
        PeerConnections {
            own_name: own_name.clone(),
            secret: secret.clone(),
            traffic: traffic.clone(),
            runtime: Handle::current(),
            queues: Mutex::default(),
        }
    }

    /// Queues a message without blocking, or drops it when too many wait. Responses are passed to
    /// `handler`.
    pub fn send(&self, to: &BoxName, message: Message, handler: &Arc<dyn ConnectionHandler>) {
        let mut queues = self.queues.lock().expect("no panic under lock");
        let queue = queues.entry(to.clone()).or_insert_with(|| self.open(to, handler));
        if queue.try_send(message).is_err() {
            self.traffic.messages_lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn open(&self, to: &BoxName, handler: &Arc<dyn ConnectionHandler>) -> mpsc::Sender<Message> {
        let (tx, rx) = mpsc::channel(QUEUE_MAX);
        let connection = PeerConnection {
            own_name: self.own_name.clone(),
            peer: to.clone(),
            secret: self.secret.clone(),
            traffic: self.traffic.clone(),
            handler: handler.clone(),
            client: None,
        };
        self.runtime.spawn(connection.run(rx));
        tx
    }
}

/// Connects to a router's peer port.
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
        .build_with_stream(format!("ws://{addr}"), CountedStream::new(stream, traffic));
    Ok(timeout(CONNECT_TIMEOUT, client).await.map_err(|_| Error::Timeout)??)
}

/// The connection to one peer.
struct PeerConnection {
    own_name: BoxName,
    peer: BoxName,
    secret: Secret,
    traffic: Arc<Traffic>,
    handler: Arc<dyn ConnectionHandler>,
    client: Option<(SocketAddr, Arc<WsClient>)>,
}

impl PeerConnection {
    async fn run(mut self, mut rx: mpsc::Receiver<Message>) {
        let calls = Arc::new(Semaphore::new(CALLS_MAX));
        let (failures_tx, mut failures) = mpsc::channel::<Error>(CALLS_MAX);
        let mut messages = Vec::new();
        loop {
            tokio::select! {
                biased;
                Some(e) = failures.recv() => {
                    self.back_off(&e, &mut rx).await;
                    while failures.try_recv().is_ok() {}
                }
                n = rx.recv_many(&mut messages, BATCH_MAX) => {
                    if n == 0 {
                        return;
                    }
                    let batch = std::mem::take(&mut messages);
                    let permit = calls.clone().acquire_owned().await.expect("never closed");
                    self.send_batch(batch, permit, &failures_tx).await;
                }
            }
        }
    }

    /// Sends a batch and awaits the response in a task of its own.
    async fn send_batch(
        &mut self,
        messages: Vec<Message>,
        permit: OwnedSemaphorePermit,
        failures_tx: &mpsc::Sender<Error>,
    ) {
        let count = messages.len() as u64;
        let client = match self.client().await {
            Ok(client) => client,
            Err(e) => {
                self.traffic.messages_lost.fetch_add(count, Ordering::Relaxed);
                self.handler.messages_lost(&self.peer, messages);
                // The channel has room, because only one failure at a time is reported from here.
                let _ = failures_tx.try_send(e);
                return;
            }
        };
        let envelope = Envelope(self.own_name.clone(), messages);
        let (handler, traffic) = (self.handler.clone(), self.traffic.clone());
        let (peer, failures_tx) = (self.peer.clone(), failures_tx.clone());
        tokio::spawn(async move {
            let response = call(&client, &envelope).await;
            drop(permit);
            match response {
                Ok(response) => {
                    traffic.messages_out.fetch_add(count, Ordering::Relaxed);
                    if !response.is_empty() {
                        handler.receive(&peer, response);
                    }
                }
                Err(e) => {
                    traffic.messages_lost.fetch_add(count, Ordering::Relaxed);
                    handler.messages_lost(&peer, envelope.1);
                    // The connection backs off even if there is no room for this failure.
                    let _ = failures_tx.try_send(e);
                }
            }
        });
    }

    async fn client(&mut self) -> Result<Arc<WsClient>, Error> {
        let addr = self.handler.address(&self.peer).ok_or(Error::NoAddress)?;
        if let Some((connected_addr, client)) = &self.client
            && *connected_addr == addr
            && client.is_connected()
        {
            return Ok(client.clone());
        }
        let client = Arc::new(connect(addr, &self.secret, &self.traffic).await?);
        self.client = Some((addr, client.clone()));
        Ok(client)
    }

    async fn back_off(&mut self, error: &Error, rx: &mut mpsc::Receiver<Message>) {
        self.client = None;
        if matches!(error, Error::Connect(_)) {
            self.handler.unreachable(&self.peer);
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
        let mut stale = Vec::new();
        while let Ok(message) = rx.try_recv() {
            stale.push(message);
        }
        self.traffic.messages_lost.fetch_add(stale.len() as u64, Ordering::Relaxed);
        self.handler.messages_lost(&self.peer, stale);
    }
}

async fn call(client: &WsClient, envelope: &Envelope) -> Result<Vec<Message>, Error> {
    let calling = client.request(MESSAGES_METHOD, rpc_params![envelope]);
    Ok(timeout(CALL_TIMEOUT, calling).await.map_err(|_| Error::Timeout)??)
}
