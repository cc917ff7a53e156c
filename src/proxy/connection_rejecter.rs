//! Answers the connections that an overloaded box doesn't admit, at low cost.
//!
//! A caller whose connection is closed unread doesn't know whether its request ran, nor when to
//! retry. One that gets a refusal goes to another box at once. The response is prepared in advance,
//! and the connections are polled without registering them with the runtime.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::proxy::hub::Hub;
use crate::proxy::refusal;
use crate::proxy::refusal::Refusal;

/// Rejected connections handled at a time; further ones are closed unread. A box of 0.12 cores
/// rejects at most some 1,000 a second, so this is half a second's worth.
const CONNECTIONS_MAX: usize = 512;

/// Time between polls of a connection: a round trip to callers in the same region. It doubles with
/// each poll of a connection on which nothing has arrived.
const POLL_INTERVAL: Duration = Duration::from_millis(8);

/// A connection on which nothing has arrived for this long is closed: callers wait no longer for a
/// response to begin, either.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which the rest of the request is read after the response: closing a connection with
/// unread bytes resets it, and the caller loses the response. Many round trips, for bodies longer
/// than a TCP window.
const READ_REST_TIMEOUT: Duration = Duration::from_millis(150);

/// Size of the read buffer in bytes, which holds most requests whole.
const BUF_LEN: usize = 32 << 10;

/// Maximum number of headers of a request whose body length is parsed.
const HEADERS_MAX: usize = 64;

/// Hands rejected connections to the task that answers them.
#[derive(Clone, Debug)]
pub struct ConnectionRejecter(mpsc::Sender<TcpStream>);

impl ConnectionRejecter {
    /// Starts the task.
    pub fn start(hub: Arc<Hub>) -> ConnectionRejecter {
        let (tx, rx) = mpsc::channel(CONNECTIONS_MAX);
        tokio::spawn(run(hub, rx));
        ConnectionRejecter(tx)
    }

    /// Answers a connection as soon as its request arrives, or closes it at once if too many others
    /// are waiting.
    pub fn reject(&self, stream: TcpStream) {
        // A full queue drops the stream, which closes it.
        let _ = self.0.try_send(stream);
    }
}

async fn run(hub: Arc<Hub>, mut rx: mpsc::Receiver<TcpStream>) {
    let response = refusal::http1_bytes(Refusal::BoxBusy);
    let mut buf = vec![0; BUF_LEN];
    let mut connections: Vec<RejectedConnection> = Vec::new();
    loop {
        if connections.is_empty() {
            let Some(stream) = rx.recv().await else { return };
            connections.extend(RejectedConnection::new(stream));
        }
        while connections.len() < CONNECTIONS_MAX
            && let Ok(stream) = rx.try_recv()
        {
            connections.extend(RejectedConnection::new(stream));
        }
        connections.retain_mut(|connection| {
            let keeps = !connection.is_due() || connection.step(&response, &mut buf);
            if !keeps && connection.is_answered() {
                hub.metrics().refused(Refusal::BoxBusy.code());
            }
            keeps
        });
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// A connection that is answered with a refusal.
#[derive(Debug)]
pub struct RejectedConnection {
    stream: TcpStream,
    stage: Stage,
    /// When the current stage ends at the latest.
    until: Instant,
    next_poll: Instant,
    poll_interval: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing has arrived.
    AwaitingRequest,
    /// The response is sent; `left` bytes of the request are still to be read.
    Responded { left: usize },
}

impl RejectedConnection {
    /// Returns `None` if the caller has closed the connection already.
    pub fn new(stream: TcpStream) -> Option<RejectedConnection> {
        stream.set_nonblocking(true).ok()?;
        let now = Instant::now();
        let until = now + REQUEST_TIMEOUT;
        Some(RejectedConnection {
            stream,
            stage: Stage::AwaitingRequest,
            until,
            next_poll: now,
            poll_interval: POLL_INTERVAL,
        })
    }

    /// Whether the refusal was sent.
    pub fn is_answered(&self) -> bool {
        self.stage != Stage::AwaitingRequest
    }

    /// Whether it is time to poll the connection.
    pub fn is_due(&self) -> bool {
        self.next_poll <= Instant::now()
    }

    /// Reads what has arrived and sends `response` if it hasn't been sent. Returns whether to poll
    /// again.
    pub fn step(&mut self, response: &[u8], buf: &mut [u8]) -> bool {
        let now = Instant::now();
        match self.stream.read(buf) {
            Ok(0) => false,
            Ok(n) => self.receive(&buf[..n], response, now),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                self.next_poll = (now + self.poll_interval).min(self.until);
                self.poll_interval *= if self.is_answered() { 1 } else { 2 };
                now < self.until
            }
            // The caller has reset the connection.
            Err(_) => false,
        }
    }

    fn receive(&mut self, bytes: &[u8], response: &[u8], now: Instant) -> bool {
        let left = match self.stage {
            Stage::AwaitingRequest => {
                // The response is short and the first on this connection, so it fits the send
                // buffer.
                if !matches!(self.stream.write(response), Ok(n) if n == response.len()) {
                    return false;
                }
                (self.until, self.poll_interval) = (now + READ_REST_TIMEOUT, POLL_INTERVAL);
                bytes_left(bytes)
            }
            Stage::Responded { left } => left.saturating_sub(bytes.len()),
        };
        self.stage = Stage::Responded { left };
        if left == 0 {
            // An error doesn't matter: the connection is closed right after.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        // A caller that keeps sending is cut off when its time is up.
        left != 0 && now < self.until
    }
}

/// Returns how many bytes of a request are still to come after `bytes`; `usize::MAX` if unknown.
fn bytes_left(bytes: &[u8]) -> usize {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut req = httparse::Request::new(&mut headers);
    let Ok(httparse::Status::Complete(head)) = req.parse(bytes) else { return usize::MAX };
    let header = |name: &str| req.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
    if header("transfer-encoding").is_some() {
        return usize::MAX;
    }
    let length = header("content-length").and_then(|h| std::str::from_utf8(h.value).ok());
    let length = length.map_or(Some(0), |text| text.parse().ok());
    length.map_or(usize::MAX, |length: usize| (head + length).saturating_sub(bytes.len()))
}
