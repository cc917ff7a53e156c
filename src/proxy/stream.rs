//! Bodies of answers: whole ones, and streams that are passed on while they come.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use hyper::body::Frame;
use tokio::sync::mpsc;

/// The body of an answer to a caller.
pub type Body = BoxBody<Bytes, io::Error>;

/// Pieces that may wait for a caller that reads slowly.
const PIECES_WAITING: usize = 2;

/// A body that is there as a whole.
pub fn whole(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|e| match e {}).boxed()
}

/// A body whose pieces are sent through a channel. It is whole once the sender is dropped, and cut
/// where the caller sees it after an error.
pub fn piped() -> (Sender, Body) {
    let (tx, rx) = mpsc::channel(PIECES_WAITING);
    (Sender { tx }, Piped { rx }.boxed())
}

/// Sends the pieces of a body.
#[derive(Debug)]
pub struct Sender {
    tx: mpsc::Sender<Result<Bytes, io::Error>>,
}

impl Sender {
    /// Sends a piece; false when the caller is gone.
    pub async fn send(&self, piece: Bytes) -> bool {
        self.tx.send(Ok(piece)).await.is_ok()
    }

    /// Sends a piece if there is room for it now; gives it back if not.
    pub fn try_send(&self, piece: Bytes) -> Result<(), Bytes> {
        self.tx.try_send(Ok(piece)).map_err(|e| match e.into_inner() {
            Ok(piece) => piece,
            Err(_) => Bytes::new(),
        })
    }

    /// Cuts the body, so that it doesn't look whole.
    pub async fn cut(&self) {
        // A caller that is gone needs no cut.
        let _ = self.tx.send(Err(io::Error::from(io::ErrorKind::ConnectionAborted))).await;
    }

    /// Waits until the caller is gone.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

struct Piped {
    rx: mpsc::Receiver<Result<Bytes, io::Error>>,
}

impl hyper::body::Body for Piped {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.rx.poll_recv(cx).map(|piece| piece.map(|p| p.map(Frame::data)))
    }
}

/// Cuts a stream of events at the ends of events, so that a broken one can be gone on with.
#[derive(Debug, Default)]
pub struct Events {
    part: BytesMut,
    last_id: Option<u64>,
}

impl Events {
    /// Takes in bytes; gives all events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.part.extend_from_slice(bytes);
        let Some(end) = find_end(&self.part) else { return Bytes::new() };
        let whole = self.part.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Takes what is left of an event that has no end.
    pub fn take_part(&mut self) -> Bytes {
        let len = self.part.remaining();
        self.part.copy_to_bytes(len)
    }
}

/// The place behind the last empty line.
fn find_end(buf: &[u8]) -> Option<usize> {
    let lf = buf.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2);
    let crlf = buf.windows(4).rposition(|w| w == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|b| *b == b'\n').rev();
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
