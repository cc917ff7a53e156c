//! The body type of responses to callers, and the splitting of event streams.

use std::io;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;

/// The body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A body whose bytes are all available.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|e| match e {}).boxed_unsync()
}

/// Splits a stream of server-sent events at event boundaries, so that a broken stream can be
/// resumed after its last complete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.partial) else { return Bytes::new() };
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        events
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Takes the bytes of the event that is still incomplete.
    pub fn take_partial(&mut self) -> Bytes {
        let len = self.partial.remaining();
        self.partial.copy_to_bytes(len)
    }
}

/// The index after the last empty line.
fn end_of_last_event(buf: &[u8]) -> Option<usize> {
    let lf = buf.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2);
    let crlf = buf.windows(4).rposition(|w| w == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|b| *b == b'\n').rev();
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
