//! Counts every byte between routers, because control traffic is one of the figures by which the
//! fleet is judged.

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
    /// Bytes written to peers' connections, including all protocol overhead above TCP.
    pub bytes_out: AtomicU64,
    /// Bytes read from peers' connections.
    pub bytes_in: AtomicU64,
    pub messages_out: AtomicU64,
    pub messages_in: AtomicU64,
    /// Messages dropped because a peer couldn't be reached in time.
    pub messages_lost: AtomicU64,
}

/// A stream that counts its bytes.
#[derive(Debug)]
pub struct CountedStream<S> {
    inner: S,
    traffic: Arc<Traffic>,
}

impl<S> CountedStream<S> {
    /// Counts the bytes of `inner` in `traffic`.
    pub fn new(inner: S, traffic: &Arc<Traffic>) -> CountedStream<S> {
        CountedStream { inner, traffic: traffic.clone() }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
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

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
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
