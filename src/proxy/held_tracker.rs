//! Tracks what this box holds for callers and upstreams, and makes holders give way.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Buf;
use futures_util::task::AtomicWaker;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use rustc_hash::FxHashMap;
use slog::Logger;
use slog::info;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::clock::Clock;
use crate::proxy::held_bytes::BODY_PAUSE_MAX;
use crate::proxy::held_bytes::GaveWay;
use crate::proxy::held_bytes::HeldBytes;
use crate::proxy::held_bytes::HoldKind;
use crate::proxy::held_bytes::HolderId;
use crate::proxy::proxy_metrics::ProxyMetrics;

/// Pause until a source that isn't read for now is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Tracks all holders of this box.
pub struct HeldTracker {
    inner: Mutex<Inner>,
    clock: Arc<Clock>,
    metrics: ProxyMetrics,
    log: Logger,
}

struct Inner {
    held: HeldBytes,
    flags: FxHashMap<HolderId, Arc<GiveWayFlag>>,
}

/// Set once a holder must give way.
#[derive(Debug, Default)]
struct GiveWayFlag {
    is_set: AtomicBool,
    waker: AtomicWaker,
}

impl HeldTracker {
    /// A tracker without holders, with a bound for the bytes of all.
    pub fn new(
        bound: usize,
        clock: Arc<Clock>,
        metrics: ProxyMetrics,
        log: Logger,
    ) -> Arc<HeldTracker> {
        let inner = Inner { held: HeldBytes::new(bound), flags: FxHashMap::default() };
        Arc::new(HeldTracker { inner: Mutex::new(inner), clock, metrics, log })
    }

    /// The bytes held.
    pub fn total(&self) -> usize {
        self.inner.lock().expect("no panic under lock").held.total()
    }

    /// Adds a holder.
    pub fn hold(self: &Arc<HeldTracker>, kind: HoldKind) -> Hold {
        let flag = Arc::new(GiveWayFlag::default());
        let mut inner = self.inner.lock().expect("no panic under lock");
        let id = inner.held.begin(kind, self.clock.now());
        inner.flags.insert(id, flag.clone());
        Hold { tracker: self.clone(), id, flag }
    }

    /// Makes holders give way that have stalled for too long.
    pub fn check(&self) {
        loop {
            let mut inner = self.inner.lock().expect("no panic under lock");
            let Some(gave_way) = inner.held.take_slowest(self.clock.now()) else { return };
            self.notify(inner, gave_way);
        }
    }

    /// Makes a holder give way that has waited for too long itself.
    fn give_up(&self, id: HolderId) {
        let mut inner = self.inner.lock().expect("no panic under lock");
        if let Some(gave_way) = inner.held.take(id, self.clock.now()) {
            self.notify(inner, gave_way);
        }
    }

    fn notify(&self, mut inner: MutexGuard<'_, Inner>, gave_way: GaveWay) {
        let GaveWay { id, kind, bytes, stalled } = gave_way;
        let flag = inner.flags.remove(&id);
        let (held, bound) = (inner.held.total(), inner.held.bound());
        drop(inner);
        if let Some(flag) = flag {
            flag.is_set.store(true, Ordering::Relaxed);
            flag.waker.wake();
        }
        info!(self.log, "holder of bytes gave way"; "kind" => kind.code(), "bytes" => bytes,
            "stalled_ms" => stalled.as_millis() as u64, "held" => held, "bound" => bound);
        self.metrics.gave_way(kind.code());
    }
}

/// A holder of bytes; dropping it releases them.
pub struct Hold {
    tracker: Arc<HeldTracker>,
    id: HolderId,
    flag: Arc<GiveWayFlag>,
}

impl Hold {
    /// Sets how much is held, and for what.
    pub fn set(&self, kind: HoldKind, bytes: usize) {
        let now = self.tracker.clock.now();
        let mut inner = self.tracker.inner.lock().expect("no panic under lock");
        inner.held.set(self.id, kind, bytes, now);
        let is_over = inner.held.bound() < inner.held.total();
        drop(inner);
        if is_over {
            self.tracker.check();
        }
    }

    /// Whether the holder must give way.
    pub fn gave_way(&self) -> bool {
        self.flag.is_set.load(Ordering::Relaxed)
    }

    /// Resolves once the holder must give way.
    pub fn wait_gave_way(&self) -> impl Future<Output = ()> + use<> {
        let flag = self.flag.clone();
        std::future::poll_fn(move |cx| match flag.poll(cx) {
            true => Poll::Ready(()),
            false => Poll::Pending,
        })
    }

    fn may_read(&self, kind: HoldKind) -> bool {
        self.tracker.inner.lock().expect("no panic under lock").held.may_read_on(self.id, kind)
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut inner = self.tracker.inner.lock().expect("no panic under lock");
        inner.held.end(self.id);
        inner.flags.remove(&self.id);
    }
}

impl GiveWayFlag {
    /// Whether the flag is set; if not, the task is woken when it is.
    fn poll(&self, cx: &Context<'_>) -> bool {
        self.waker.register(cx.waker());
        self.is_set.load(Ordering::Relaxed)
    }
}

/// A body that isn't read while too much is held. It ends with an error if its holder gives way.
pub struct HeldBody<'a, B> {
    body: B,
    kind: HoldKind,
    hold: Option<&'a Hold>,
    received: usize,
    pause: Option<Pin<Box<Sleep>>>,
    /// Since when the body isn't read.
    paused_since: Option<Instant>,
}

impl<'a, B> HeldBody<'a, B> {
    /// Counts what is received of `body`; without `hold`, the body is passed on as it is.
    pub fn new(body: B, kind: HoldKind, hold: Option<&'a Hold>) -> HeldBody<'a, B> {
        HeldBody { body, kind, hold, received: 0, pause: None, paused_since: None }
    }
}

impl<B> Body for HeldBody<'_, B>
where
    B: Body + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    type Data = B::Data;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, Self::Error>>> {
        let this = &mut *self;
        let Some(hold) = this.hold else {
            return Pin::new(&mut this.body).poll_frame(cx).map_err(Into::into);
        };
        if hold.flag.poll(cx) {
            return Poll::Ready(Some(Err(io::Error::from(io::ErrorKind::OutOfMemory).into())));
        }
        while !hold.may_read(this.kind) {
            let paused_since = *this.paused_since.get_or_insert_with(Instant::now);
            let pause = this.pause.get_or_insert_with(|| Box::pin(tokio::time::sleep(RETRY_PAUSE)));
            ready!(pause.as_mut().poll(cx));
            this.pause = None;
            if this.kind == HoldKind::Body && BODY_PAUSE_MAX <= paused_since.elapsed() {
                hold.tracker.give_up(hold.id);
                return Poll::Ready(Some(Err(io::Error::from(io::ErrorKind::OutOfMemory).into())));
            }
        }
        this.paused_since = None;
        let frame = ready!(Pin::new(&mut this.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            this.received += frame.data_ref().map_or(0, Buf::remaining);
            hold.set(this.kind, this.received);
        }
        Poll::Ready(frame.map(|frame| frame.map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A caller's connection. What the caller doesn't take is counted; if its holder gives way, the
/// connection is closed.
pub struct HeldIo<I> {
    io: I,
    tracker: Option<Arc<HeldTracker>>,
    /// Set while the caller doesn't take all.
    hold: Option<Hold>,
}

impl<I> HeldIo<I> {
    /// Wraps a connection; without `tracker`, nothing is counted.
    pub fn new(io: I, tracker: Option<Arc<HeldTracker>>) -> HeldIo<I> {
        HeldIo { io, tracker, hold: None }
    }

    /// The connection.
    pub fn get_ref(&self) -> &I {
        &self.io
    }

    /// Counts the rest of a write of `len` bytes.
    fn record_write(
        &mut self,
        cx: &Context<'_>,
        len: usize,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let written = match &result {
            Poll::Pending => 0,
            Poll::Ready(Ok(written)) => *written,
            Poll::Ready(Err(_)) => len,
        };
        let rest = len - written.min(len);
        // The kernel takes the beginning of a long write at once; that isn't a slow caller yet.
        if rest == 0 || (self.hold.is_none() && written != 0) {
            self.hold = None;
            return result;
        }
        let Some(tracker) = &self.tracker else { return result };
        let hold = self.hold.get_or_insert_with(|| tracker.hold(HoldKind::Unread));
        hold.set(HoldKind::Unread, rest);
        if hold.flag.poll(cx) {
            return Poll::Ready(Err(io::Error::from(io::ErrorKind::ConnectionAborted)));
        }
        result
    }
}

impl<I: AsyncRead + Unpin> AsyncRead for HeldIo<I> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<I: AsyncWrite + Unpin> AsyncWrite for HeldIo<I> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.io).poll_write(cx, buf);
        self.record_write(cx, buf.len(), result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let len = bufs.iter().map(|buf| buf.len()).sum();
        let result = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.record_write(cx, len, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
