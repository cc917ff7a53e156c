//! The I/O of a connection to a server: since when the server takes no bytes, and how much is read
//! before other tasks get a turn.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Instant;

/// Time after which a request is given up whose upstream takes no byte of it. Longer than any pause
/// of a process that is merely busy, and as long as the kernel waits for an acknowledgement.
const STALL_MAX: Duration = Duration::from_secs(1);

/// Longest read, and what is read before other tasks get a turn, in bytes. A server may write faster
/// than its bytes are processed.
const TURN_BYTES: usize = 16 << 10;

/// Longest head of a response, with interim responses before it, in bytes. `hyper` bounds a single
/// head to less.
const HEAD_BYTES_MAX: usize = 512 << 10;

/// The head of a response is too long.
#[derive(Debug, thiserror::Error)]
#[error("the head of the response is longer than {HEAD_BYTES_MAX} bytes")]
struct HeadTooLong;

/// Passes bytes through and records in a [`WriteProgress`] whether the peer takes them.
#[derive(Debug)]
pub struct UpstreamIo<I> {
    io: I,
    progress: Arc<WriteProgress>,
    /// Bytes read since other tasks had a turn.
    turn_bytes: usize,
}

/// Whether the peer takes the bytes that are written.
#[derive(Debug, Default)]
pub struct WriteProgress {
    /// Since when it has taken none; `None` if nothing waits to be written.
    stalled_since: Mutex<Option<Instant>>,
    /// Whether the head of a response is awaited, and the bytes read since.
    awaits_head: AtomicBool,
    head_bytes: AtomicUsize,
}

impl WriteProgress {
    /// Sets whether the head of a response is awaited, which bounds what is read until then.
    pub fn set_awaits_head(&self, awaits_head: bool) {
        self.head_bytes.store(0, Ordering::Relaxed);
        self.awaits_head.store(awaits_head, Ordering::Relaxed);
    }

    /// Resolves once the peer has taken nothing for [`STALL_MAX`]. Must be polled after each poll
    /// of the connection; while nothing is stalled, there is no timer.
    pub async fn wait_stalled(&self) {
        loop {
            let Some(since) = self.stalled_since() else {
                wait_for_next_poll().await;
                continue;
            };
            tokio::time::sleep_until(since + STALL_MAX).await;
            if self.stalled_since() == Some(since) {
                return;
            }
        }
    }

    fn is_head_too_long(&self) -> bool {
        self.awaits_head.load(Ordering::Relaxed)
            && HEAD_BYTES_MAX <= self.head_bytes.load(Ordering::Relaxed)
    }

    fn stalled_since(&self) -> Option<Instant> {
        *self.stalled_since.lock().expect("no panic under lock")
    }

    fn record(&self, result: &Poll<io::Result<usize>>) {
        let mut since = self.stalled_since.lock().expect("no panic under lock");
        match result {
            Poll::Pending => _ = since.get_or_insert_with(Instant::now),
            Poll::Ready(_) => *since = None,
        }
    }
}

/// Pending once, without waking the task.
async fn wait_for_next_poll() {
    let mut is_first = true;
    std::future::poll_fn(|_| match std::mem::take(&mut is_first) {
        true => Poll::Pending,
        false => Poll::Ready(()),
    })
    .await;
}

impl<I> UpstreamIo<I> {
    /// Wraps a connection that has just been opened.
    pub fn new(io: I) -> (UpstreamIo<I>, Arc<WriteProgress>) {
        let progress = Arc::<WriteProgress>::default();
        (UpstreamIo { io, progress: progress.clone(), turn_bytes: 0 }, progress)
    }
}

impl<I: AsyncRead + Unpin> AsyncRead for UpstreamIo<I> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if TURN_BYTES <= self.turn_bytes {
            self.turn_bytes = 0;
            return yield_turn(cx);
        }
        if self.progress.is_head_too_long() {
            return Poll::Ready(Err(io::Error::other(HeadTooLong)));
        }
        let before = buf.filled().len();
        let polled = poll_short_read(Pin::new(&mut self.io), cx, buf);
        match polled {
            Poll::Ready(_) => {
                let len = buf.filled().len() - before;
                self.turn_bytes += len;
                self.progress.head_bytes.fetch_add(len, Ordering::Relaxed);
            }
            Poll::Pending => self.turn_bytes = 0,
        }
        polled
    }
}

/// Pending once; the task is woken after the others that are ready.
fn yield_turn<T>(cx: &mut Context<'_>) -> Poll<T> {
    let turn = std::pin::pin!(tokio::task::yield_now());
    let _ = turn.poll(cx);
    Poll::Pending
}

/// Reads at most [`TURN_BYTES`].
fn poll_short_read(
    io: Pin<&mut impl AsyncRead>,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    if buf.remaining() <= TURN_BYTES {
        return io.poll_read(cx, buf);
    }
    let mut short = ReadBuf::new(buf.initialize_unfilled_to(TURN_BYTES));
    let polled = io.poll_read(cx, &mut short);
    let len = short.filled().len();
    buf.advance(len);
    polled
}

impl<I: AsyncWrite + Unpin> AsyncWrite for UpstreamIo<I> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.io).poll_write(cx, buf);
        self.progress.record(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.progress.record(&result);
        result
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
