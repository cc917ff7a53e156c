//! HTTP connections to upstreams, by `hyper` on the single runtime thread. They are kept between
//! requests, limited per upstream, and closed on any irregularity.

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
use tokio::task::coop;

use crate::clock::Clock;
use crate::fleet::owners::EngineGroup;
use crate::placement::connected;
use crate::placement::connected::CONNECTED_MAX;
use crate::proxy::connection_reuse::CloseCause;
use crate::proxy::connection_reuse::ConnectionCounts;
use crate::proxy::connection_reuse::OpenCause;
use crate::proxy::connection_reuse::ReuseRule;
use crate::proxy::event_stream::EVENT_BYTES_MAX;
use crate::proxy::link_activity::LinkActivity;
use crate::proxy::notices::WithholdReason;
use crate::proxy::response_end::Framing;
use crate::proxy::upstream_io::UpstreamIo;
use crate::proxy::upstream_io::WriteProgress;
use crate::util;

/// Timeout for connecting: several round trips within a region, but less than the retransmission of
/// a lost packet takes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which sent bytes may stay unacknowledged, or keep-alive probes unanswered, before the
/// connection counts as dead.
const PEER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Interval of TCP keep-alive probes on a connection without traffic.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a connection is idle before it is reused. An upstream may send an unsolicited
/// response shortly after a complete one; within this time it is noticed and the connection closed.
const REUSE_DELAY: Duration = Duration::from_millis(6);

/// A connection that is closed within this time after it was accepted doesn't show that its upstream
/// lives: a process that ends may close its listener last, and a proxy in front of the upstream may
/// accept for it.
const ACCEPT_SETTLE_TIME: Duration = Duration::from_millis(10);

/// Connections that are tried to find out whether an upstream has crashed.
const CRASH_CHECKS: usize = 2;

/// Maximum number of idle connections per upstream.
const IDLE_CONNECTIONS_MAX: usize = 32;

/// Fraction of an upstream's connections that is divided among the boxes known to this one. The
/// rest is for boxes that have just started, up to a fifth more: all boxes know of them within some
/// heartbeats.
const KNOWN_BOXES_FRACTION: f64 = 0.83;

/// Largest fraction of an upstream's connections that is reserved for requests placed by its owner,
/// apart from those divided among boxes. Half of it per owner: two boxes may consider themselves
/// owners at the same time.
const OWNER_PLACED_FRACTION: f64 = 0.35;

/// If there are fewer connections to divide than boxes, the number of boxes that draw a connection
/// is expected to stay this many standard deviations below the number of connections. More boxes
/// than connections then draw one at only one in 10,000 upstreams.
const DRAW_MARGIN_DEVIATIONS: f64 = 4.0;

/// Minimum number of boxes that a box assumes: it may be partitioned from the others, or may not
/// know them yet after its start.
const BOXES_MIN: usize = 16;

/// Why a request could not be sent or got no complete response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Connecting failed, so nothing was sent.
    #[error("connecting failed")]
    Connect(#[source] std::io::Error),
    /// Connecting took too long, so nothing was sent.
    #[error("connecting timed out")]
    ConnectTimeout,
    /// This box has no further connections to the upstream; nothing was sent.
    #[error("this box's limit of connections to the upstream is reached")]
    LimitReached,
    /// The connection failed after the request may have been sent.
    #[error("connection failed before the response")]
    NoResponse(#[source] hyper::Error),
    /// The response's body broke off.
    #[error(transparent)]
    Body(hyper::Error),
    /// The response ended with its connection before it was complete.
    #[error("the response ended before it was complete")]
    Incomplete,
    /// An event of a stream is too long.
    #[error("an event is longer than {EVENT_BYTES_MAX} bytes")]
    EventTooLong,
    /// The upstream takes no more of the request.
    #[error("the upstream doesn't take the request")]
    NotTaken,
    /// The upstream has restarted since the request was sent.
    #[error("the upstream has restarted")]
    Restarted,
    /// The upstream gets no further requests.
    #[error("withheld: {}", .0.code())]
    Withheld(WithholdReason),
}

impl Error {
    /// Whether the request certainly did not reach the upstream.
    pub fn is_unsent(&self) -> bool {
        !matches!(
            self,
            Error::NoResponse(_)
                | Error::Body(_)
                | Error::Incomplete
                | Error::EventTooLong
                | Error::NotTaken
                | Error::Restarted
        )
    }

    /// Whether the connection was refused: the upstream's process has ended, but its machine is
    /// reachable.
    pub fn is_refused(&self) -> bool {
        matches!(self, Error::Connect(e) if e.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

/// The number of connections to one upstream that this box may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionQuota {
    /// Open connections up to which another may be opened for a request.
    pub open_max: u32,
    /// Open connections up to which one is kept after a request.
    pub kept_max: u32,
}

/// What a [`ConnectionQuota`] is computed from.
#[derive(Clone, Copy, Debug)]
pub struct QuotaInputs {
    /// Connections that the upstream accepts from all boxes together.
    pub connections: u32,
    /// Maximum number of requests that its owner places there at a time.
    pub admission_limit: u32,
    /// Boxes that are alive or were lately.
    pub boxes: usize,
    /// A uniformly distributed number for this box and upstream, which decides whether the box gets
    /// one of too few connections.
    pub draw: u32,
}

impl ConnectionQuota {
    /// The quota is this box's equal share of the connections. Requests that the upstream's owner
    /// has placed (`is_placed`) have further connections: there are at most as many as its slots
    /// and a few that wait, so a box that has many of them may open a connection for each. The sum
    /// over all boxes always stays below what the upstream accepts.
    pub fn new(inputs: QuotaInputs, is_placed: bool) -> ConnectionQuota {
        let connections = f64::from(inputs.connections);
        let placed = (connections * OWNER_PLACED_FRACTION / 2.0) as u32;
        let placed = placed.min(inputs.admission_limit);
        let shared = (connections * KNOWN_BOXES_FRACTION - 2.0 * f64::from(placed)).max(0.0);
        let boxes = inputs.boxes.max(BOXES_MIN) as f64;
        let kept = if boxes <= shared {
            (shared / boxes) as u32
        } else {
            // Only some boxes get a connection; the others use other upstreams. Each box draws
            // independently, so the number of boxes that get one has a standard deviation of about
            // its square root.
            let expected = (shared - DRAW_MARGIN_DEVIATIONS * shared.sqrt()).max(0.0);
            u32::from(f64::from(inputs.draw) < expected / boxes * f64::from(u32::MAX))
        };
        ConnectionQuota {
            open_max: if is_placed { kept.max(placed) } else { kept },
            kept_max: kept,
        }
    }
}

/// Where and how to send a request.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    pub addr: SocketAddr,
    /// The hash of the upstream's name.
    pub name_hash: u64,
    /// The hash of its zone's name.
    pub zone_hash: u64,
    pub quota: ConnectionQuota,
    /// Which idle connections may be used.
    pub reuse_rule: ReuseRule,
    /// Whether the request is given up if the upstream takes none of it for a while.
    pub gives_up_stalled: bool,
}

/// The connections to all upstreams.
#[derive(Debug)]
pub struct UpstreamConnections {
    clock: Arc<Clock>,
    counts: ConnectionCounts,
    links: LinkActivity,
    by_addr: Mutex<HashMap<SocketAddr, PerUpstream>>,
}

#[derive(Debug, Default)]
struct PerUpstream {
    /// The hash of the name of the upstream that a request was last sent to at this address.
    name_hash: Option<u64>,
    /// The hash of its zone's name.
    zone_hash: u64,
    /// See [`ReuseRule`].
    trusts_announced: bool,
    open: u32,
    /// Open connections up to which one is kept after a request.
    kept_max: u32,
    /// Longest idle first.
    idle: Vec<IdleConnection>,
    /// When each connection in use was opened, in milliseconds since 1970, and its restart flag.
    busy: Vec<(u64, Weak<RestartFlag>)>,
}

/// Set once the upstream at the other end of a connection has restarted, so that nothing more
/// arrives on it.
#[derive(Debug, Default)]
struct RestartFlag {
    is_set: AtomicBool,
    waker: AtomicWaker,
}

impl RestartFlag {
    /// Whether the flag is set; if not, the task is woken when it is.
    fn is_set(&self, cx: &Context<'_>) -> bool {
        self.waker.register(cx.waker());
        self.is_set.load(Ordering::Relaxed)
    }
}

/// The part of a connection that does its I/O; it must be polled for any progress.
type Driver = http1::Connection<TokioIo<UpstreamIo<TcpStream>>, Full<Bytes>>;

/// A connection in use by a request. The task that waits for the response also polls the driver, so
/// that a chunk of a stream wakes one task and not three. Dropping it closes the connection, so
/// that the upstream stops working on the request.
#[derive(Debug)]
struct BusyConnection {
    tx: SendRequest<Full<Bytes>>,
    /// `None` once the connection has ended.
    driver: Option<Driver>,
    progress: Arc<WriteProgress>,
    /// When its last response was complete; before the first one, when it was opened.
    last_used: Duration,
    /// The timeout of idle connections that the upstream last announced on it.
    announced: Option<Duration>,
    open_count: OpenCount,
    opened_at_ms: u64,
    /// Whether the intended upstream has responded on it.
    is_authentic: bool,
    /// What it had done before the current request.
    history: ConnectionHistory,
    restart_flag: Arc<RestartFlag>,
}

/// What a connection had done before a request was sent on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionHistory {
    /// Responses that arrived on it.
    pub responses: u32,
    /// How long it had been idle.
    pub idle_time: Duration,
}

/// A connection without a request. A task watches it for a close by the upstream and for
/// unsolicited bytes.
#[derive(Debug)]
struct IdleConnection {
    tx: SendRequest<Full<Bytes>>,
    driver: Arc<Mutex<Option<Driver>>>,
    progress: Arc<WriteProgress>,
    watcher: AbortHandle,
    idle_since: Duration,
    announced: Option<Duration>,
    open_count: OpenCount,
    opened_at_ms: u64,
    is_authentic: bool,
    /// Responses that arrived on it.
    responses: u32,
}

/// Counts a connection while it is open.
#[derive(Debug)]
struct OpenCount {
    connections: Arc<UpstreamConnections>,
    addr: SocketAddr,
    /// Why it is closed if it is dropped now.
    close_cause: CloseCause,
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.connections.counts.closed(self.close_cause);
        let mut by_addr = self.connections.by_addr.lock().expect("no panic under lock");
        if let Some(upstream) = by_addr.get_mut(&self.addr) {
            upstream.open = upstream.open.saturating_sub(1);
        }
    }
}

impl BusyConnection {
    /// Keeps the connection for the next request, unless it has ended. A request that wasn't sent on
    /// it leaves the time of its last use, from which the upstream's timeout counts.
    fn keep_idle(self) {
        let BusyConnection {
            tx,
            driver,
            progress,
            last_used: idle_since,
            announced,
            mut open_count,
            opened_at_ms,
            is_authentic,
            history,
            ..
        } = self;
        open_count.close_cause = CloseCause::ByUpstream;
        let Some(driver) = driver else { return };
        let driver = Arc::new(Mutex::new(Some(driver)));
        let watched = driver.clone();
        let watcher = tokio::spawn(std::future::poll_fn(move |cx| {
            let mut driver = watched.lock().expect("no panic under lock");
            poll_driver(&mut driver, cx);
            if driver.is_some() { Poll::Pending } else { Poll::Ready(()) }
        }));
        let (connections, addr) = (open_count.connections.clone(), open_count.addr);
        let watcher = watcher.abort_handle();
        connections.put_idle(
            addr,
            IdleConnection {
                tx,
                driver,
                progress,
                watcher,
                idle_since,
                announced,
                open_count,
                opened_at_ms,
                is_authentic,
                responses: history.responses,
            },
        );
    }
}

/// Polls the driver and drops it once the connection has ended. Its error is ignored: the request's
/// own future returns it.
fn poll_driver(driver: &mut Option<Driver>, cx: &mut Context<'_>) {
    if let Some(running) = driver
        && Pin::new(running).poll(cx).is_ready()
    {
        *driver = None;
    }
}

impl IdleConnection {
    fn idle_time(&self, now: Duration) -> Duration {
        now.saturating_sub(self.idle_since)
    }

    fn is_usable(&self) -> bool {
        !self.tx.is_closed() && self.tx.is_ready()
    }

    /// Takes the connection into use. Returns `None` if it has ended.
    fn into_busy(self, now: Duration) -> Option<BusyConnection> {
        let idle_time = self.idle_time(now);
        let is_usable = self.is_usable();
        let IdleConnection {
            tx,
            driver,
            progress,
            watcher,
            idle_since: last_used,
            announced,
            mut open_count,
            opened_at_ms,
            is_authentic,
            responses,
        } = self;
        watcher.abort();
        let driver = driver.lock().expect("no panic under lock").take();
        let restart_flag = Arc::default();
        if is_usable {
            open_count.close_cause = CloseCause::Unfinished;
        }
        is_usable.then(|| BusyConnection {
            tx,
            driver,
            progress,
            last_used,
            announced,
            open_count,
            opened_at_ms,
            is_authentic,
            history: ConnectionHistory { responses, idle_time },
            restart_flag,
        })
    }

    fn close(mut self, cause: CloseCause) {
        self.watcher.abort();
        if !self.tx.is_closed() {
            self.open_count.close_cause = cause;
        }
    }
}

/// The body of an upstream's response, with its connection. Dropping it closes the connection.
#[derive(Debug)]
pub struct UpstreamBody {
    incoming: Incoming,
    framing: Framing,
    zone_hash: u64,
    quota: ConnectionQuota,
    conn: BusyConnection,
}

impl UpstreamBody {
    /// What marks the end of the body.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// What the connection had done before the request.
    pub fn connection_history(&self) -> ConnectionHistory {
        self.conn.history
    }

    /// Records whether this response is from the intended upstream. Returns whether any response on
    /// this connection was.
    pub fn record_authentic(&mut self, is_authentic: bool) -> bool {
        self.conn.is_authentic |= is_authentic;
        self.conn.is_authentic
    }

    /// Returns whether the upstream crashed as it ended a response with its connection: it accepts
    /// no connections now. One that it accepts takes the place of the one that has ended.
    pub async fn has_crashed(self) -> bool {
        let UpstreamBody { quota, zone_hash, mut conn, .. } = self;
        conn.open_count.close_cause = CloseCause::ByUpstream;
        let connections = conn.open_count.connections.clone();
        let addr = conn.open_count.addr;
        connections.links.record(zone_hash, connections.clock.now());
        drop(conn);
        // The upstream has closed one, so another one doesn't exceed what it accepts.
        let quota = ConnectionQuota { open_max: u32::MAX, ..quota };
        connections.accepts_none(addr, quota).await
    }

    /// Keeps the connection of a complete response for other requests, for as long as the upstream
    /// announces in `headers`.
    pub fn keep(self, headers: &HeaderMap) {
        let mut conn = self.conn;
        let connections = &conn.open_count.connections;
        conn.last_used = connections.clock.now();
        conn.history.responses += 1;
        connections.links.record(self.zone_hash, conn.last_used);
        if let Some(timeout) = keep_alive_timeout(headers) {
            conn.announced = Some(timeout);
            conn.open_count.connections.counts.announced(timeout);
        }
        conn.keep_idle();
    }
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if self.conn.restart_flag.is_set(cx) {
            return Poll::Ready(Some(Err(Error::Restarted)));
        }
        // Small chunks take the more turns: a task that always finds one would keep others waiting.
        let frame = std::pin::pin!(coop::cooperative(std::future::poll_fn(|cx| {
            poll_driver(&mut self.conn.driver, cx);
            Pin::new(&mut self.incoming).poll_frame(cx)
        })));
        frame.poll(cx).map_err(Error::Body)
    }
}

impl UpstreamConnections {
    /// A set without connections.
    pub fn new(clock: Arc<Clock>) -> Arc<UpstreamConnections> {
        let (counts, links) = (ConnectionCounts::default(), LinkActivity::default());
        Arc::new(UpstreamConnections { clock, counts, links, by_addr: Mutex::default() })
    }

    /// Connections opened, reused and closed since the start.
    pub fn counts(&self) -> &ConnectionCounts {
        &self.counts
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        let mut by_addr = self.by_addr.lock().expect("no panic under lock");
        let idle: Vec<IdleConnection> =
            by_addr.values_mut().flat_map(|upstream| std::mem::take(&mut upstream.idle)).collect();
        // Dropping an `OpenCount` takes the lock.
        drop(by_addr);
        idle.into_iter().for_each(|idle| idle.close(CloseCause::Expired));
    }

    /// Sends a request, on an idle connection if the reuse rule permits it. `withheld` is called
    /// right before the send, since connecting takes time.
    pub async fn send(
        self: &Arc<UpstreamConnections>,
        target: Target,
        req: Request<Full<Bytes>>,
        withheld: impl FnOnce() -> Option<WithholdReason>,
    ) -> Result<Response<UpstreamBody>, Error> {
        let Target { addr, zone_hash, quota, reuse_rule, gives_up_stalled, .. } = target;
        let mut conn = match self.take_idle(addr, zone_hash, reuse_rule) {
            Ok(conn) => conn,
            Err(cause) => self.connect(addr, quota, cause).await?,
        };
        if let Some(reason) = withheld() {
            conn.keep_idle();
            return Err(Error::Withheld(reason));
        }
        let progress = conn.progress.clone();
        progress.set_awaits_head(true);
        let response = conn.tx.send_request(req);
        tokio::pin!(response);
        let stalled = progress.wait_stalled();
        tokio::pin!(stalled);
        let (driver, restart_flag) = (&mut conn.driver, &conn.restart_flag);
        self.register_busy(target, conn.opened_at_ms, restart_flag);
        let resp = std::future::poll_fn(|cx| {
            if restart_flag.is_set(cx) {
                return Poll::Ready(Err(Error::Restarted));
            }
            poll_driver(driver, cx);
            let polled = response.as_mut().poll(cx).map_err(Error::NoResponse);
            if polled.is_pending() && gives_up_stalled && stalled.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Err(Error::NotTaken));
            }
            polled
        });
        let resp = resp.await?;
        progress.set_awaits_head(false);
        self.links.record(zone_hash, self.clock.now());
        let framing = Framing::new(resp.headers(), resp.body());
        Ok(resp.map(|incoming| UpstreamBody { incoming, framing, zone_hash, quota, conn }))
    }

    /// Opens a connection and keeps it for the next request.
    pub async fn preconnect(
        self: &Arc<UpstreamConnections>,
        addr: SocketAddr,
    ) -> Result<(), Error> {
        let quota = ConnectionQuota { open_max: u32::MAX, kept_max: 1 };
        self.connect(addr, quota, OpenCause::Probe).await?.keep_idle();
        Ok(())
    }

    /// Whether an upstream refuses connections or closes them at once; false if that can't be found
    /// out.
    async fn accepts_none(
        self: &Arc<UpstreamConnections>,
        addr: SocketAddr,
        quota: ConnectionQuota,
    ) -> bool {
        for _ in 0..CRASH_CHECKS {
            let mut conn = match self.connect(addr, quota, OpenCause::Replaced).await {
                Ok(conn) => conn,
                Err(e) if e.is_refused() => return true,
                // For example reset.
                Err(Error::Connect(_)) => continue,
                Err(_) => return false,
            };
            let closed = std::future::poll_fn(|cx| {
                poll_driver(&mut conn.driver, cx);
                if conn.driver.is_some() { Poll::Pending } else { Poll::Ready(()) }
            });
            if tokio::time::timeout(ACCEPT_SETTLE_TIME, closed).await.is_err() {
                conn.keep_idle();
                return false;
            }
        }
        true
    }

    /// Short hashes of the upstreams of a group to which there is an idle connection that a request
    /// under `reuse_rule` may use, at most [`CONNECTED_MAX`].
    pub fn connected(&self, group: Option<EngineGroup>, reuse_rule: ReuseRule) -> Vec<u16> {
        let now = self.clock.now();
        let by_addr = self.by_addr.lock().expect("no panic under lock");
        let in_group = |hash: &u64| group.is_none_or(|group| group.contains(*hash));
        let is_usable = |c: &IdleConnection| {
            !c.tx.is_closed() && reuse_rule.permits(c.idle_time(now), c.announced)
        };
        let is_link_up = |u: &PerUpstream, c: &IdleConnection| {
            !reuse_rule.needs_fresh_link(c.idle_time(now)) || self.links.is_fresh(u.zone_hash, now)
        };
        let in_group = by_addr.values().filter(|u| u.name_hash.as_ref().is_some_and(in_group));
        let upstreams =
            in_group.filter(|u| u.idle.iter().any(|c| is_usable(c) && is_link_up(u, c)));
        let hashes = upstreams.filter_map(|u| u.name_hash);
        hashes.take(CONNECTED_MAX).map(connected::short_hash).collect()
    }

    fn register_busy(&self, target: Target, opened_at_ms: u64, restart_flag: &Arc<RestartFlag>) {
        let mut by_addr = self.by_addr.lock().expect("no panic under lock");
        let upstream = by_addr.entry(target.addr).or_default();
        upstream.name_hash = Some(target.name_hash);
        upstream.zone_hash = target.zone_hash;
        upstream.trusts_announced = target.reuse_rule.trusts_announced;
        let busy = &mut upstream.busy;
        busy.retain(|(_, flag)| flag.strong_count() != 0);
        busy.push((opened_at_ms, Arc::downgrade(restart_flag)));
    }

    /// Closes the connections to an upstream that were opened before it restarted at
    /// `restarted_at_ms`, in milliseconds since 1970, and fails the requests on them, which are
    /// lost. Returns the number of connections.
    pub fn close_before_restart(&self, addr: SocketAddr, restarted_at_ms: u64) -> usize {
        let mut by_addr = self.by_addr.lock().expect("no panic under lock");
        let Some(upstream) = by_addr.get_mut(&addr) else { return 0 };
        let old: Vec<IdleConnection> =
            upstream.idle.extract_if(.., |c| c.opened_at_ms <= restarted_at_ms).collect();
        let busy =
            upstream.busy.iter().filter(|(opened_at_ms, _)| *opened_at_ms <= restarted_at_ms);
        let busy: Vec<Arc<RestartFlag>> = busy.filter_map(|(_, flag)| flag.upgrade()).collect();
        // Dropping an `OpenCount` takes the lock.
        drop(by_addr);
        for flag in &busy {
            flag.is_set.store(true, Ordering::Relaxed);
            flag.waker.wake();
        }
        let count = old.len() + busy.len();
        old.into_iter().for_each(|idle| idle.close(CloseCause::Gone));
        count
    }

    /// Addresses with connections.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.by_addr.lock().expect("no panic under lock").keys().copied().collect()
    }

    /// Closes connections that were idle for too long, and all idle ones to upstreams that are
    /// `gone`.
    pub fn close_expired(&self, gone: &HashSet<SocketAddr>) {
        let mut old = Vec::new();
        let now = self.clock.now();
        let mut by_addr = self.by_addr.lock().expect("no panic under lock");
        for (addr, upstream) in by_addr.iter_mut() {
            let is_gone = gone.contains(addr);
            let trusts_announced = upstream.trusts_announced;
            let reuse_rule = ReuseRule { is_once_only: false, trusts_announced };
            let is_old = |c: &mut IdleConnection| {
                is_gone || c.tx.is_closed() || reuse_rule.idle_max(c.announced) <= c.idle_time(now)
            };
            let cause = if is_gone { CloseCause::Gone } else { CloseCause::Expired };
            old.extend(upstream.idle.extract_if(.., is_old).map(|idle| (idle, cause)));
        }
        by_addr.retain(|_, u| u.open != 0 || !u.idle.is_empty());
        // Dropping an `OpenCount` takes the lock.
        drop(by_addr);
        old.into_iter().for_each(|(idle, cause)| idle.close(cause));
    }

    /// Takes the connection that was idle for the shortest time of at least [`REUSE_DELAY`]: it is
    /// the most likely to be alive. Otherwise returns why one has to be opened.
    fn take_idle(
        &self,
        addr: SocketAddr,
        zone_hash: u64,
        reuse_rule: ReuseRule,
    ) -> Result<BusyConnection, OpenCause> {
        let mut has_closed = false;
        loop {
            let mut by_addr = self.by_addr.lock().expect("no panic under lock");
            let Some(upstream) = by_addr.get_mut(&addr) else { return Err(OpenCause::NoneOpen) };
            let (open, idle) = (upstream.open, &mut upstream.idle);
            let now = self.clock.now();
            let Some(at) = idle.iter().rposition(|c| REUSE_DELAY <= c.idle_time(now)) else {
                return Err(match (has_closed, open, idle.is_empty()) {
                    (true, ..) => OpenCause::Closed,
                    (_, 0, _) => OpenCause::NoneOpen,
                    (.., true) => OpenCause::InUse,
                    (.., false) => OpenCause::JustUsed,
                });
            };
            // The others were idle even longer; they stay for requests that can be retried.
            let idle_time = idle[at].idle_time(now);
            if idle[at].is_usable() && !reuse_rule.permits(idle_time, idle[at].announced) {
                return Err(OpenCause::IdleTooLong);
            }
            if idle[at].is_usable()
                && reuse_rule.needs_fresh_link(idle_time)
                && !self.links.is_fresh(zone_hash, now)
            {
                // The new one takes its place in the quota.
                let stale = idle.remove(at);
                drop(by_addr);
                stale.close(CloseCause::Expired);
                return Err(OpenCause::StaleLink);
            }
            let connection = idle.remove(at);
            // Dropping an `OpenCount` takes the lock.
            drop(by_addr);
            if let Some(conn) = connection.into_busy(now) {
                self.counts.reused();
                return Ok(conn);
            }
            has_closed = true;
        }
    }

    fn put_idle(&self, addr: SocketAddr, connection: IdleConnection) {
        let mut by_addr = self.by_addr.lock().expect("no panic under lock");
        let upstream = by_addr.entry(addr).or_default();
        if upstream.idle.len() < IDLE_CONNECTIONS_MAX && upstream.open <= upstream.kept_max {
            let is_longer_idle = |c: &IdleConnection| c.idle_since <= connection.idle_since;
            let at = upstream.idle.partition_point(is_longer_idle);
            upstream.idle.insert(at, connection);
            return;
        }
        drop(by_addr);
        connection.close(CloseCause::Surplus);
    }

    async fn connect(
        self: &Arc<UpstreamConnections>,
        addr: SocketAddr,
        quota: ConnectionQuota,
        cause: OpenCause,
    ) -> Result<BusyConnection, Error> {
        let mut open_count = self.count_open(addr, quota).ok_or(Error::LimitReached)?;
        self.counts.opened(cause);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
            .await
            .map_err(|_| Error::ConnectTimeout)?
            .map_err(Error::Connect)?;
        set_tcp_options(&stream).map_err(Error::Connect)?;
        let (io, progress) = UpstreamIo::new(stream);
        let (tx, driver) = http1::Builder::new()
            .handshake(TokioIo::new(io))
            .await
            .map_err(|e| Error::Connect(std::io::Error::other(e)))?;
        let (opened_at_ms, restart_flag) = (util::unix_millis(), Arc::default());
        open_count.close_cause = CloseCause::Unfinished;
        Ok(BusyConnection {
            tx,
            driver: Some(driver),
            progress,
            last_used: self.clock.now(),
            announced: None,
            open_count,
            opened_at_ms,
            is_authentic: false,
            history: ConnectionHistory::default(),
            restart_flag,
        })
    }

    fn count_open(
        self: &Arc<UpstreamConnections>,
        addr: SocketAddr,
        quota: ConnectionQuota,
    ) -> Option<OpenCount> {
        let mut by_addr = self.by_addr.lock().expect("no panic under lock");
        let upstream = by_addr.entry(addr).or_default();
        if quota.open_max <= upstream.open {
            return None;
        }
        upstream.kept_max = quota.kept_max;
        upstream.open += 1;
        Some(OpenCount { connections: self.clone(), addr, close_cause: CloseCause::Unconnected })
    }
}

/// Sets the socket options that detect a peer that is gone without having closed the connection.
pub fn set_tcp_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let sock = SockRef::from(stream);
    sock.set_tcp_user_timeout(Some(PEER_TIMEOUT))?;
    let probes = TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL);
    sock.set_tcp_keepalive(&probes.with_retries(2))
}

/// The timeout of idle connections that an upstream announces.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
