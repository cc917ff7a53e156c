//! Connections to upstreams, by `hyper` on the one runtime thread: kept between requests, bounded
//! per upstream, closed as soon as anything about them is odd.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures_util::task::AtomicWaker;
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

use crate::clock::Clock;
use crate::proxy::notices::WithholdReason;
use crate::util;

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

/// Part of an upstream's connections that the boxes use that this one has heard of. The rest is for boxes that
/// start meanwhile: a fifth more are known everywhere within some beats.
const CONNECTIONS_SHARE: f64 = 0.83;

/// Part of an upstream's connections that requests may use which its owner has placed, beside those that are shared
/// out; two boxes may believe to own it.
const PLACED_SHARE: f64 = 0.35;

/// Where fewer connections are shared than there are boxes, so many standard deviations of the number of those that
/// draw one are left unused: more draw one at one in 10,000 upstreams.
const DRAWN_DEVIATIONS: f64 = 4.0;

/// A box counts at least so many boxes: it may be cut off from the others, and may not have heard of them since its
/// start.
const BOXES_MIN: usize = 16;

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
    LimitReached,
    /// The connection failed after the request may have been sent.
    #[error("no answer")]
    Lost(#[source] hyper::Error),
    /// The answer's body broke off.
    #[error(transparent)]
    Body(hyper::Error),
    /// The upstream has started anew since the request was sent.
    #[error("the upstream has started anew")]
    Restarted,
    /// The upstream gets nothing any more.
    #[error("withheld: {}", .0.code())]
    Withheld(WithholdReason),
}

impl Error {
    /// Whether the request certainly did not reach the upstream.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, Error::Lost(_) | Error::Body(_) | Error::Restarted)
    }

    /// Whether nobody listens there: the upstream has ended, and its machine is there.
    pub fn is_refused(&self) -> bool {
        matches!(self, Error::Connect(e) if e.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

/// How many connections to one upstream this box may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionQuota {
    /// While requests are on them.
    pub open_max: u32,
    /// Between requests.
    pub kept_max: u32,
}

/// What the connections to one upstream are shared by.
#[derive(Clone, Copy, Debug)]
pub struct QuotaInputs {
    /// Connections that it takes from all boxes.
    pub connections: u32,
    /// Requests that its owner lets be there at once.
    pub admission_limit: u32,
    /// The boxes that there are, or were lately.
    pub boxes: usize,
    /// A number of this box's own for the upstream, by which it has one of too few connections or none.
    pub draw: u32,
}

impl ConnectionQuota {
    /// The even part of this box. Requests that the upstream's owner has placed, as `is_placed` says, come on
    /// top of all parts: they are no more than its slots and a few that wait, so a box that has many of them may
    /// have a connection for each. The sum over all boxes stays below what the upstream takes, whatever the
    /// numbers.
    pub fn new(sharing: QuotaInputs, is_placed: bool) -> ConnectionQuota {
        let connections = f64::from(sharing.connections);
        let placed = (connections * PLACED_SHARE / 2.0) as u32;
        let placed = placed.min(sharing.admission_limit);
        let shared = (connections * CONNECTIONS_SHARE - 2.0 * f64::from(placed)).max(0.0);
        let boxes = sharing.boxes.max(BOXES_MIN) as f64;
        let kept = if boxes <= shared {
            (shared / boxes) as u32
        } else {
            // Each of a part of the boxes has one; the others go to other upstreams. Which ones is drawn, so the
            // number varies by its root.
            let few = (shared - DRAWN_DEVIATIONS * shared.sqrt()).max(0.0);
            u32::from(f64::from(sharing.draw) < few / boxes * f64::from(u32::MAX))
        };
        ConnectionQuota {
            open_max: if is_placed { kept.max(placed) } else { kept },
            kept_max: kept,
        }
    }
}

/// Connections to all upstreams.
#[derive(Debug)]
pub struct UpstreamConnections {
    clock: Arc<Clock>,
    by_addr: Mutex<HashMap<SocketAddr, PerUpstream>>,
}

#[derive(Debug, Default)]
struct PerUpstream {
    open: u32,
    /// How many of them may rest.
    kept_max: u32,
    /// Those that have rested longest come first.
    idle: Vec<Resting>,
    /// Those that requests are on, and when they were made, in milliseconds since 1970.
    busy: Vec<(u64, Weak<Cut>)>,
}

/// Whether a connection leads to an upstream that has started anew, so that nothing more comes on it.
#[derive(Debug, Default)]
struct Cut {
    is_cut: AtomicBool,
    waker: AtomicWaker,
}

impl Cut {
    fn is_noticed(&self, cx: &Context<'_>) -> bool {
        self.waker.register(cx.waker());
        self.is_cut.load(Ordering::Relaxed)
    }
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
    made: u64,
    /// Whether the upstream that it is meant for has answered on it.
    is_proven: bool,
    cut: Arc<Cut>,
}

/// A connection that no request is on. A task watches it, to see that the upstream closes it or
/// sends what nobody asked for.
#[derive(Debug)]
struct Resting {
    tx: SendRequest<Full<Bytes>>,
    driver: Arc<Mutex<Option<Driver>>>,
    watch: AbortHandle,
    since: Duration,
    keep: Duration,
    count: Count,
    made: u64,
    is_proven: bool,
}

/// Counts a connection while it is open.
#[derive(Debug)]
struct Count {
    upstream_connections: Arc<UpstreamConnections>,
    addr: SocketAddr,
}

impl Drop for Count {
    fn drop(&mut self) {
        let mut by_addr = self.upstream_connections.by_addr.lock().expect("no panic under lock");
        if let Some(upstream) = by_addr.get_mut(&self.addr) {
            upstream.open = upstream.open.saturating_sub(1);
        }
    }
}

impl Conn {
    /// Keeps the connection for the next request, unless it has ended.
    fn rest(self) {
        let Conn { tx, driver, keep, count, made, is_proven, .. } = self;
        let Some(driver) = driver else { return };
        let driver = Arc::new(Mutex::new(Some(driver)));
        let watched = driver.clone();
        let watch = tokio::spawn(std::future::poll_fn(move |cx| {
            let mut driver = watched.lock().expect("no panic under lock");
            drive(&mut driver, cx);
            if driver.is_some() { Poll::Pending } else { Poll::Ready(()) }
        }));
        let (upstream_connections, addr) = (count.upstream_connections.clone(), count.addr);
        let (watch, since) = (watch.abort_handle(), upstream_connections.clock.now());
        upstream_connections
            .put(addr, Resting { tx, driver, watch, since, keep, count, made, is_proven });
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
    /// For how long it has rested.
    fn rested(&self, now: Duration) -> Duration {
        now.saturating_sub(self.since)
    }

    fn is_usable(&self) -> bool {
        !self.tx.is_closed() && self.tx.is_ready()
    }

    /// Nothing when the connection has ended.
    fn wake(self) -> Option<Conn> {
        let is_usable = self.is_usable();
        let Resting { tx, driver, watch, keep, count, made, is_proven, .. } = self;
        watch.abort();
        let driver = driver.lock().expect("no panic under lock").take();
        let cut = Arc::default();
        is_usable.then(|| Conn { tx, driver, keep, count, made, is_proven, cut })
    }

    fn close(self) {
        drop(self.wake());
    }
}

/// The body of an upstream's answer, with the connection that it comes on. Dropping it closes the
/// connection.
#[derive(Debug)]
pub struct UpstreamBody {
    incoming: Incoming,
    conn: Conn,
}

impl UpstreamBody {
    /// Whether the upstream that the connection is meant for has answered on it, if not before then `is_proven`.
    pub fn prove(&mut self, is_proven: bool) -> bool {
        self.conn.is_proven |= is_proven;
        self.conn.is_proven
    }

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

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if self.conn.cut.is_noticed(cx) {
            return Poll::Ready(Some(Err(Error::Restarted)));
        }
        drive(&mut self.conn.driver, cx);
        Pin::new(&mut self.incoming).poll_frame(cx).map_err(Error::Body)
    }
}

impl UpstreamConnections {
    /// No connection yet.
    pub fn new(clock: Arc<Clock>) -> Arc<UpstreamConnections> {
        Arc::new(UpstreamConnections { clock, by_addr: Mutex::default() })
    }

    /// Closes all connections that rest.
    pub fn close_idle(&self) {
        let mut by_addr = self.by_addr.lock().expect("no panic under lock");
        let resting: Vec<Resting> =
            by_addr.values_mut().flat_map(|upstream| std::mem::take(&mut upstream.idle)).collect();
        // The counts take the lock.
        drop(by_addr);
        resting.into_iter().for_each(Resting::close);
    }

    /// Sends a request; `once` asks for a connection that is sure to be alive. `withheld` is asked right before, since
    /// connecting takes time.
    pub async fn send(
        self: &Arc<UpstreamConnections>,
        addr: SocketAddr,
        quota: ConnectionQuota,
        once: bool,
        req: Request<Full<Bytes>>,
        withheld: impl FnOnce() -> Option<WithholdReason>,
    ) -> Result<Response<UpstreamBody>, Error> {
        let mut conn = match self.take(addr, once) {
            Some(conn) => conn,
            None => self.connect(addr, quota).await?,
        };
        if let Some(reason) = withheld() {
            conn.rest();
            return Err(Error::Withheld(reason));
        }
        let answer = conn.tx.send_request(req);
        tokio::pin!(answer);
        let (driver, cut) = (&mut conn.driver, &conn.cut);
        self.note_busy(addr, conn.made, cut);
        let resp = std::future::poll_fn(|cx| {
            if cut.is_noticed(cx) {
                return Poll::Ready(Err(Error::Restarted));
            }
            drive(driver, cx);
            answer.as_mut().poll(cx).map_err(Error::Lost)
        });
        let resp = resp.await?;
        Ok(resp.map(|incoming| UpstreamBody { incoming, conn }))
    }

    /// Makes a connection and keeps it for the next request.
    pub async fn preconnect(
        self: &Arc<UpstreamConnections>,
        addr: SocketAddr,
    ) -> Result<(), Error> {
        self.connect(addr, ConnectionQuota { open_max: u32::MAX, kept_max: 1 }).await?.rest();
        Ok(())
    }

    fn note_busy(&self, addr: SocketAddr, made: u64, cut: &Arc<Cut>) {
        let mut by_addr = self.by_addr.lock().expect("no panic under lock");
        let busy = &mut by_addr.entry(addr).or_default().busy;
        busy.retain(|(_, cut)| cut.strong_count() != 0);
        busy.push((made, Arc::downgrade(cut)));
    }

    /// An upstream has started anew at a time, in milliseconds since 1970: closes what rests there, and ends the
    /// requests on connections that were made before, which are lost. Gives how many connections.
    pub fn close_before_restart(&self, addr: SocketAddr, started_at_ms: u64) -> usize {
        let mut by_addr = self.by_addr.lock().expect("no panic under lock");
        let Some(upstream) = by_addr.get_mut(&addr) else { return 0 };
        let old: Vec<Resting> = upstream.idle.extract_if(.., |c| c.made <= started_at_ms).collect();
        let busy = upstream.busy.iter().filter(|(made, _)| *made <= started_at_ms);
        let busy: Vec<Arc<Cut>> = busy.filter_map(|(_, cut)| cut.upgrade()).collect();
        // The counts take the lock.
        drop(by_addr);
        for cut in &busy {
            cut.is_cut.store(true, Ordering::Relaxed);
            cut.waker.wake();
        }
        let count = old.len() + busy.len();
        old.into_iter().for_each(Resting::close);
        count
    }

    /// Where connections rest or are open.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.by_addr.lock().expect("no panic under lock").keys().copied().collect()
    }

    /// Closes what has rested for too long, and all to upstreams that are no more.
    pub fn close_expired(&self, gone: &HashSet<SocketAddr>) {
        let mut old = Vec::new();
        let now = self.clock.now();
        let mut by_addr = self.by_addr.lock().expect("no panic under lock");
        for (addr, upstream) in by_addr.iter_mut() {
            let is_gone = gone.contains(addr);
            let is_old = |c: &mut Resting| is_gone || c.tx.is_closed() || c.keep <= c.rested(now);
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
            let now = self.clock.now();
            let at = idle.iter().rposition(|c| SETTLE <= c.rested(now))?;
            let keep = if once { idle[at].keep.min(KEEP_SURE) } else { idle[at].keep };
            // The others rested longer still; they may do for requests that can be repeated.
            if idle[at].is_usable() && keep <= idle[at].rested(now) {
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

    async fn connect(
        self: &Arc<UpstreamConnections>,
        addr: SocketAddr,
        quota: ConnectionQuota,
    ) -> Result<Conn, Error> {
        let count = self.count(addr, quota).ok_or(Error::LimitReached)?;
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
            .await
            .map_err(|_| Error::ConnectTimeout)?
            .map_err(Error::Connect)?;
        set_tcp_options(&stream).map_err(Error::Connect)?;
        let (tx, driver) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| Error::Connect(std::io::Error::other(e)))?;
        let (made, cut) = (util::unix_millis(), Arc::default());
        let (driver, keep) = (Some(driver), KEEP_DEFAULT);
        Ok(Conn { tx, driver, keep, count, made, is_proven: false, cut })
    }

    fn count(
        self: &Arc<UpstreamConnections>,
        addr: SocketAddr,
        quota: ConnectionQuota,
    ) -> Option<Count> {
        let mut by_addr = self.by_addr.lock().expect("no panic under lock");
        let upstream = by_addr.entry(addr).or_default();
        if quota.open_max <= upstream.open {
            return None;
        }
        upstream.kept_max = quota.kept_max;
        upstream.open += 1;
        Some(Count { upstream_connections: self.clone(), addr })
    }
}

/// Makes a connection notice a peer that is gone without a word.
pub fn set_tcp_options(stream: &TcpStream) -> std::io::Result<()> {
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
