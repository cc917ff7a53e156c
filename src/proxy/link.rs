//! Connections to upstreams, by `hyper` on the one runtime thread: kept between requests, bounded
//! per upstream, closed as soon as anything about them is odd.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
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

/// Connections to one upstream that every box may have, however many boxes there are.
const CONNECTIONS_MIN: u32 = 4;

/// Part of an upstream's connections that all boxes use together.
const CONNECTIONS_SHARE: f64 = 0.9;

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

/// How many connections to one upstream this box may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowed {
    /// While requests are on them.
    pub busy: u32,
    /// Between requests.
    pub kept: u32,
}

impl Allowed {
    /// Of an upstream that takes `connections` from all of `boxes` and runs `slots` requests. Requests
    /// of a whole fleet at once are no more than its slots and a few that wait, so a box that has many
    /// of them may have a connection for each; what rests is shared evenly.
    pub fn new(connections: u32, slots: u32, boxes: usize) -> Allowed {
        let part = f64::from(connections) * CONNECTIONS_SHARE / boxes.max(1) as f64;
        let kept = (part as u32).max(CONNECTIONS_MIN);
        Allowed { busy: kept.max(slots), kept }
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
    /// How many of them may rest.
    kept_max: u32,
    /// Those that have rested longest come first.
    idle: Vec<Resting>,
}

/// The part of a connection that moves bytes; it must be polled for anything to happen.
type Driver = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// A connection that a request is on. Whoever waits for the answer drives it, so that a piece of a
/// stream wakes one task and not three. Dropping it closes the connection, so that the upstream
/// stops working on what nobody waits for.
#[derive(Debug)]
struct Conn {
    tx: SendRequest<Full<Bytes>>,
    /// Nothing once the connection has ended.
    driver: Option<Driver>,
    keep: Duration,
    count: Count,
}

/// A connection that no request is on. A task watches it, to see that the upstream closes it or
/// sends what nobody asked for.
#[derive(Debug)]
struct Resting {
    tx: SendRequest<Full<Bytes>>,
    driver: Arc<Mutex<Option<Driver>>>,
    watch: AbortHandle,
    since: Instant,
    keep: Duration,
    count: Count,
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

impl Conn {
    /// Keeps the connection for the next request, unless it has ended.
    fn rest(self) {
        let Conn { tx, driver, keep, count } = self;
        let Some(driver) = driver else { return };
        let driver = Arc::new(Mutex::new(Some(driver)));
        let watched = driver.clone();
        let watch = tokio::spawn(std::future::poll_fn(move |cx| {
            let mut driver = watched.lock().expect("no panic under lock");
            drive(&mut driver, cx);
            if driver.is_some() { Poll::Pending } else { Poll::Ready(()) }
        }));
        let (links, addr) = (count.links.clone(), count.addr);
        let (watch, since) = (watch.abort_handle(), Instant::now());
        links.put(addr, Resting { tx, driver, watch, since, keep, count });
    }
}

/// Moves bytes, until the connection has ended. Whoever waits for an answer hears of its failure.
fn drive(driver: &mut Option<Driver>, cx: &mut Context<'_>) {
    if let Some(running) = driver
        && Pin::new(running).poll(cx).is_ready()
    {
        *driver = None;
    }
}

impl Resting {
    fn is_usable(&self) -> bool {
        !self.tx.is_closed() && self.tx.is_ready()
    }

    /// Nothing when the connection has ended.
    fn wake(self) -> Option<Conn> {
        let is_usable = self.is_usable();
        let Resting { tx, driver, watch, keep, count, .. } = self;
        watch.abort();
        let driver = driver.lock().expect("no panic under lock").take();
        is_usable.then_some(Conn { tx, driver, keep, count })
    }

    fn close(self) {
        drop(self.wake());
    }
}

/// The body of an upstream's answer, with the connection that it comes on. Dropping it closes the
/// connection.
#[derive(Debug)]
pub struct AnswerBody {
    incoming: Incoming,
    conn: Conn,
}

impl AnswerBody {
    /// The answer has ended as it should: keeps the connection for others, for as long as the
    /// upstream says in `headers`.
    pub fn keep(self, headers: &HeaderMap) {
        let mut conn = self.conn;
        if let Some(keep) = keep_alive(headers) {
            conn.keep = keep.mul_f64(KEEP_SHARE);
        }
        conn.rest();
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        drive(&mut self.conn.driver, cx);
        Pin::new(&mut self.incoming).poll_frame(cx)
    }
}

impl Links {
    /// Sends a request; `once` asks for a connection that is sure to be alive.
    pub async fn send(
        self: &Arc<Links>,
        addr: SocketAddr,
        allowed: Allowed,
        once: bool,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<AnswerBody>, Error> {
        let mut conn = match self.take(addr, once) {
            Some(conn) => conn,
            None => self.connect(addr, allowed).await?,
        };
        let answer = conn.tx.send_request(req);
        tokio::pin!(answer);
        let driver = &mut conn.driver;
        let resp = std::future::poll_fn(|cx| {
            drive(driver, cx);
            answer.as_mut().poll(cx)
        });
        let resp = resp.await.map_err(Error::Lost)?;
        Ok(resp.map(|incoming| AnswerBody { incoming, conn }))
    }

    /// Makes a connection and keeps it for the next request.
    pub async fn warm(self: &Arc<Links>, addr: SocketAddr) -> Result<(), Error> {
        self.connect(addr, Allowed { busy: u32::MAX, kept: CONNECTIONS_MIN }).await?.rest();
        Ok(())
    }

    /// Closes what has rested for too long, and all to upstreams that are no more.
    pub fn tick(&self, known: &HashSet<SocketAddr>) {
        let mut old = Vec::new();
        let mut by_addr = self.by_addr.lock().expect("no panic under lock");
        for (addr, upstream) in by_addr.iter_mut() {
            let keep = known.contains(addr);
            let is_old = |c: &mut Resting| !keep || c.tx.is_closed() || c.keep <= c.since.elapsed();
            old.extend(upstream.idle.extract_if(.., is_old));
        }
        by_addr.retain(|_, u| u.open != 0 || !u.idle.is_empty());
        // The counts take the lock.
        drop(by_addr);
        old.into_iter().for_each(Resting::close);
    }

    /// The connection that rested least of those that have settled: it is the surest to be alive.
    fn take(&self, addr: SocketAddr, once: bool) -> Option<Conn> {
        loop {
            let mut by_addr = self.by_addr.lock().expect("no panic under lock");
            let idle = &mut by_addr.get_mut(&addr)?.idle;
            let at = idle.iter().rposition(|c| SETTLE <= c.since.elapsed())?;
            let keep = if once { idle[at].keep.min(KEEP_SURE) } else { idle[at].keep };
            // The others rested longer still; they may do for requests that can be repeated.
            if idle[at].is_usable() && keep <= idle[at].since.elapsed() {
                return None;
            }
            let resting = idle.remove(at);
            // The counts take the lock.
            drop(by_addr);
            if let Some(conn) = resting.wake() {
                return Some(conn);
            }
        }
    }

    fn put(&self, addr: SocketAddr, resting: Resting) {
        let mut by_addr = self.by_addr.lock().expect("no panic under lock");
        let upstream = by_addr.entry(addr).or_default();
        if upstream.idle.len() < IDLE_MAX && upstream.open <= upstream.kept_max {
            upstream.idle.push(resting);
            return;
        }
        drop(by_addr);
        resting.close();
    }

    async fn connect(self: &Arc<Links>, addr: SocketAddr, allowed: Allowed) -> Result<Conn, Error> {
        let count = self.count(addr, allowed).ok_or(Error::NoneFree)?;
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
            .await
            .map_err(|_| Error::ConnectTimeout)?
            .map_err(Error::Connect)?;
        guard(&stream).map_err(Error::Connect)?;
        let (tx, driver) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| Error::Connect(std::io::Error::other(e)))?;
        Ok(Conn { tx, driver: Some(driver), keep: KEEP_DEFAULT, count })
    }

    fn count(self: &Arc<Links>, addr: SocketAddr, allowed: Allowed) -> Option<Count> {
        let mut by_addr = self.by_addr.lock().expect("no panic under lock");
        let upstream = by_addr.entry(addr).or_default();
        if allowed.busy <= upstream.open {
            return None;
        }
        upstream.kept_max = allowed.kept;
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
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
