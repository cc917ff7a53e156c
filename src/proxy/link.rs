//! Connections to upstreams, by `hyper` on the one runtime thread: kept between requests, bounded
//! per upstream, closed as soon as anything about them is odd.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// How long connecting may take: some round trips within a region, and one lost packet's less.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long sent bytes may stay unacknowledged, and a silent peer unanswering, before the
/// connection counts as dead.
const PEER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time between probes of a silent connection.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// An answer that nobody asked for may come shortly after a whole one; a connection rests for this
/// long before it is used again, so that such an answer is seen and closes it.
const SETTLE: Duration = Duration::from_millis(6);

/// Part of the time that an upstream says it keeps idle connections, within which they are used.
const KEEP_SHARE: f64 = 0.6;

/// How long an idle connection is used where the upstream says nothing.
const KEEP_DEFAULT: Duration = Duration::from_secs(4);

/// For requests that must not run twice: a connection that rested longer is not used, since its
/// close may be on its way, and a request lost to that may have run.
const KEEP_SURE: Duration = Duration::from_millis(1000);

/// Idle connections kept per upstream.
const IDLE_MAX: usize = 32;

/// Why a request could not be sent or got no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// There is no connection, so nothing was sent.
    #[error("connecting")]
    Connect(#[source] std::io::Error),
    /// Connecting took too long, so nothing was sent.
    #[error("connecting took too long")]
    ConnectTimeout,
    /// All connections that this upstream may get are in use; nothing was sent.
    #[error("no connection is free")]
    NoneFree,
    /// The connection failed after the request may have been sent.
    #[error("no answer")]
    Lost(#[source] hyper::Error),
}

impl Error {
    /// Whether the request certainly did not reach the upstream.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, Error::Lost(_))
    }
}

/// Connections to all upstreams.
#[derive(Debug, Default)]
pub struct Links {
    by_addr: Mutex<HashMap<SocketAddr, PerUpstream>>,
}

#[derive(Debug, Default)]
struct PerUpstream {
    open: u32,
    idle: Vec<Conn>,
}

#[derive(Debug)]
struct Conn {
    tx: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    rested_since: Instant,
    keep: Duration,
    _count: Count,
}

/// Counts a connection while it is open.
#[derive(Debug)]
struct Count {
    links: Arc<Links>,
    addr: SocketAddr,
}

impl Drop for Count {
    fn drop(&mut self) {
        let mut by_addr = self.links.by_addr.lock().expect("no panic under lock");
        if let Some(upstream) = by_addr.get_mut(&self.addr) {
            upstream.open = upstream.open.saturating_sub(1);
        }
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A connection that a request is on. Dropping it closes the connection, so that the upstream
/// stops working on what nobody waits for.
#[derive(Debug)]
pub struct Lease {
    conn: Option<Conn>,
    addr: SocketAddr,
    links: Arc<Links>,
}

impl Lease {
    /// The answer has ended as it should: keeps the connection for others.
    pub fn keep(mut self, keep: Option<Duration>) {
        let Some(mut conn) = self.conn.take() else { return };
        if let Some(keep) = keep {
            conn.keep = keep.mul_f64(KEEP_SHARE);
        }
        let (links, addr) = (self.links.clone(), self.addr);
        tokio::spawn(async move {
            tokio::time::sleep(SETTLE).await;
            conn.rested_since = Instant::now();
            if conn.tx.is_closed() {
                return;
            }
            let rejected = links.put(addr, conn);
            drop(rejected);
        });
    }
}

impl Links {
    /// Sends a request. `max` bounds the connections to this upstream; `once` asks for a
    /// connection that is sure to be alive.
    pub async fn send(
        self: &Arc<Links>,
        addr: SocketAddr,
        max: u32,
        once: bool,
        req: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Lease), Error> {
        let conn = match self.take(addr, once) {
            Some(conn) => conn,
            None => self.connect(addr, max).await?,
        };
        let mut lease = Lease { conn: Some(conn), addr, links: self.clone() };
        let Some(conn) = lease.conn.as_mut() else { return Err(Error::NoneFree) };
        let resp = conn.tx.send_request(req).await.map_err(Error::Lost)?;
        Ok((resp, lease))
    }

    /// Makes a connection and keeps it for the next request.
    pub async fn warm(self: &Arc<Links>, addr: SocketAddr) -> Result<(), Error> {
        let conn = self.connect(addr, u32::MAX).await?;
        drop(self.put(addr, conn));
        Ok(())
    }

    /// Closes what has rested for too long, and all to upstreams that are no more.
    pub fn tick(&self, known: &HashSet<SocketAddr>) {
        let mut old = Vec::new();
        let mut by_addr = self.by_addr.lock().expect("no panic under lock");
        for (addr, upstream) in by_addr.iter_mut() {
            let keep = known.contains(addr);
            let (stay, go) = std::mem::take(&mut upstream.idle)
                .into_iter()
                .partition(|c| keep && !c.tx.is_closed() && c.rested_since.elapsed() < c.keep);
            upstream.idle = stay;
            let go: Vec<Conn> = go;
            old.extend(go);
        }
        by_addr.retain(|_, u| u.open != 0 || !u.idle.is_empty());
        // The counts take the lock.
        drop(by_addr);
        drop(old);
    }

    fn take(&self, addr: SocketAddr, once: bool) -> Option<Conn> {
        let mut closed = Vec::new();
        let mut by_addr = self.by_addr.lock().expect("no panic under lock");
        let idle = &mut by_addr.get_mut(&addr)?.idle;
        let mut found = None;
        // The one that rested least is the surest to be alive.
        while let Some(conn) = idle.pop() {
            let keep = if once { conn.keep.min(KEEP_SURE) } else { conn.keep };
            if conn.tx.is_closed() || !conn.tx.is_ready() {
                closed.push(conn);
            } else if conn.rested_since.elapsed() < keep {
                found = Some(conn);
                break;
            } else {
                // The others rested longer still; they may do for requests that can be repeated.
                idle.push(conn);
                break;
            }
        }
        drop(by_addr);
        drop(closed);
        found
    }

    fn put(&self, addr: SocketAddr, conn: Conn) -> Option<Conn> {
        let mut by_addr = self.by_addr.lock().expect("no panic under lock");
        let idle = &mut by_addr.entry(addr).or_default().idle;
        if IDLE_MAX <= idle.len() {
            return Some(conn);
        }
        idle.push(conn);
        None
    }

    async fn connect(self: &Arc<Links>, addr: SocketAddr, max: u32) -> Result<Conn, Error> {
        let count = self.count(addr, max).ok_or(Error::NoneFree)?;
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
            .await
            .map_err(|_| Error::ConnectTimeout)?
            .map_err(Error::Connect)?;
        guard(&stream).map_err(Error::Connect)?;
        let (tx, conn) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| Error::Connect(std::io::Error::other(e)))?;
        let task = tokio::spawn(async move {
            // Whoever waits on the connection hears of its failure.
            let _ = conn.await;
        });
        Ok(Conn {
            tx,
            task: task.abort_handle(),
            rested_since: Instant::now(),
            keep: KEEP_DEFAULT,
            _count: count,
        })
    }

    fn count(self: &Arc<Links>, addr: SocketAddr, max: u32) -> Option<Count> {
        let mut by_addr = self.by_addr.lock().expect("no panic under lock");
        let upstream = by_addr.entry(addr).or_default();
        if max <= upstream.open {
            return None;
        }
        upstream.open += 1;
        Some(Count { links: self.clone(), addr })
    }
}

/// Makes a connection notice a peer that is gone without a word.
pub fn guard(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let sock = SockRef::from(stream);
    sock.set_tcp_user_timeout(Some(PEER_TIMEOUT))?;
    let probes = TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL);
    sock.set_tcp_keepalive(&probes.with_retries(2))
}

/// How long an upstream says that it keeps idle connections.
pub fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
