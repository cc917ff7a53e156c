//! Callers whom a crowded box doesn't let in: told so, as cheaply as can be.
//!
//! A caller whose connection is closed unread doesn't know whether its request ran, nor when to come
//! back. One that is told so goes to another box at once. The answer is prepared; a connection is
//! only read, written and closed, and never seen by the runtime.

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

/// Connections that may wait for their requests; what comes beyond them is closed unread. A box of
/// 0.12 cores turns away some 1,000 a second at the most, so these are half a second's.
const WAITING_MAX: usize = 512;

/// Time between looks for requests: a round trip to callers in the same region. On a connection where
/// nothing has come, twice as long each time.
const LOOK_EVERY: Duration = Duration::from_millis(8);

/// A connection on which nothing has come for this long is closed: callers wait no longer for a box
/// to begin, either.
const FIRST_BYTES_WITHIN: Duration = Duration::from_secs(1);

/// Once the answer is sent, the rest of the request is read for so long, since to close a connection
/// with unread bytes takes the answer back: many round trips, for bodies longer than a window.
const REST_WITHIN: Duration = Duration::from_millis(150);

/// Bytes read at a time: most requests whole.
const BUF: usize = 32 << 10;

/// Most headers of a head in which the length of the body is looked for.
const HEADERS_MAX: usize = 64;

/// Takes callers who are turned away.
#[derive(Clone, Debug)]
pub struct ConnectionRejecter(mpsc::Sender<TcpStream>);

impl ConnectionRejecter {
    /// Starts to tell callers so.
    pub fn start(hub: Arc<Hub>) -> ConnectionRejecter {
        let (tx, rx) = mpsc::channel(WAITING_MAX);
        tokio::spawn(run(hub, rx));
        ConnectionRejecter(tx)
    }

    /// Tells the caller on a new connection, as soon as its request comes. Where too many wait for
    /// that, the connection is closed.
    pub fn turn_away(&self, stream: TcpStream) {
        // Dropped if there is no room.
        let _ = self.0.try_send(stream);
    }
}

async fn run(hub: Arc<Hub>, mut rx: mpsc::Receiver<TcpStream>) {
    let prepared = refusal::http1_bytes(Refusal::BoxBusy);
    let mut buf = vec![0; BUF];
    let mut waiting: Vec<RejectedConnection> = Vec::new();
    loop {
        if waiting.is_empty() {
            let Some(stream) = rx.recv().await else { return };
            waiting.extend(RejectedConnection::new(stream));
        }
        while waiting.len() < WAITING_MAX
            && let Ok(stream) = rx.try_recv()
        {
            waiting.extend(RejectedConnection::new(stream));
        }
        waiting.retain_mut(|turned| {
            let goes_on = !turned.is_due() || turned.step(&prepared, &mut buf);
            if !goes_on && turned.is_answered() {
                hub.metrics().refused(Refusal::BoxBusy.code());
            }
            goes_on
        });
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// A connection whose caller is turned away.
#[derive(Debug)]
pub struct RejectedConnection {
    stream: TcpStream,
    stage: Stage,
    until: Instant,
    /// When to look for bytes again, and how long after that.
    look_at: Instant,
    pause: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing has come.
    Silent,
    /// The answer is sent; so many bytes of the request are still to come.
    Told { left: usize },
}

impl RejectedConnection {
    /// Nothing if the caller is gone already.
    pub fn new(stream: TcpStream) -> Option<RejectedConnection> {
        stream.set_nonblocking(true).ok()?;
        let now = Instant::now();
        let until = now + FIRST_BYTES_WITHIN;
        Some(RejectedConnection {
            stream,
            stage: Stage::Silent,
            until,
            look_at: now,
            pause: LOOK_EVERY,
        })
    }

    /// Whether the caller was told.
    pub fn is_answered(&self) -> bool {
        self.stage != Stage::Silent
    }

    /// Whether it is time to look for bytes.
    pub fn is_due(&self) -> bool {
        self.look_at <= Instant::now()
    }

    /// Reads what has come, and sends `answer` if it hasn't been; false when all is done that can be.
    pub fn step(&mut self, answer: &[u8], buf: &mut [u8]) -> bool {
        let now = Instant::now();
        match self.stream.read(buf) {
            Ok(0) => false,
            Ok(n) => self.take(&buf[..n], answer, now),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                self.look_at = (now + self.pause).min(self.until);
                self.pause *= if self.is_answered() { 1 } else { 2 };
                now < self.until
            }
            // The caller is gone.
            Err(_) => false,
        }
    }

    fn take(&mut self, bytes: &[u8], answer: &[u8], now: Instant) -> bool {
        let left = match self.stage {
            Stage::Silent => {
                // Short, and the first on this connection, so it fits.
                if !matches!(self.stream.write(answer), Ok(n) if n == answer.len()) {
                    return false;
                }
                (self.until, self.pause) = (now + REST_WITHIN, LOOK_EVERY);
                unread(bytes)
            }
            Stage::Told { left } => left.saturating_sub(bytes.len()),
        };
        self.stage = Stage::Told { left };
        if left == 0 {
            // It is closed right after.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        // Who sends on without end doesn't keep its place for it.
        left != 0 && now < self.until
    }
}

/// How much of a request is to come after its first bytes; `usize::MAX` if that isn't known.
fn unread(bytes: &[u8]) -> usize {
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
