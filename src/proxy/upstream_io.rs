//! The I/O of a connection to an upstream, with the time since when the upstream takes no bytes.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
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

/// Passes bytes through and records in a [`WriteProgress`] whether the peer takes them.
#[derive(Debug)]
pub struct UpstreamIo<I> {
    io: I,
    progress: Arc<WriteProgress>,
}

/// Whether the peer takes the bytes that are written.
#[derive(Debug, Default)]
pub struct WriteProgress {
    /// Since when it has taken none; `None` if nothing waits to be written.
    stalled_since: Mutex<Option<Instant>>,
}

impl WriteProgress {
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
        (UpstreamIo { io, progress: progress.clone() }, progress)
    }
}

impl<I: AsyncRead + Unpin> AsyncRead for UpstreamIo<I> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
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
