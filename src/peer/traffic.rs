//! Counts every byte between routers: control traffic is one of the figures the fleet is judged by.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Bytes and messages to and from other routers, since the start.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes written to peers' connections, all protocol overhead above TCP included.
    pub bytes_out: AtomicU64,
    /// Bytes read from peers' connections.
    pub bytes_in: AtomicU64,
    /// Messages sent.
    pub messages_out: AtomicU64,
    /// Messages received.
    pub messages_in: AtomicU64,
    /// Messages given up because a peer couldn't be told in time.
    pub messages_lost: AtomicU64,
}

/// A stream whose bytes are counted.
#[derive(Debug)]
pub struct Counted<S> {
    inner: S,
    traffic: Arc<Traffic>,
}

impl<S> Counted<S> {
    /// Counts the bytes of `inner` into `traffic`.
    pub fn new(inner: S, traffic: &Arc<Traffic>) -> Counted<S> {
        Counted { inner, traffic: traffic.clone() }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.inner).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        self.traffic.bytes_in.fetch_add(read as u64, Ordering::Relaxed);
        poll
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = poll {
            self.traffic.bytes_out.fetch_add(written as u64, Ordering::Relaxed);
        }
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
