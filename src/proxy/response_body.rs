//! Bodies of answers, and the events of streams.

use std::io;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;

/// The body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A body that is there as a whole.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|e| match e {}).boxed_unsync()
}

/// Cuts a stream of events at the ends of events, so that a broken one can be gone on with.
#[derive(Debug, Default)]
pub struct EventSplitter {
    part: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
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
    pub fn take_partial(&mut self) -> Bytes {
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
