//! Splits streams of server-sent events (WHATWG HTML, section 9.2) at the ends of events, and finds
//! where a stream that breaks off can be resumed.

use std::iter;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

use crate::proxy::event_id::EventId;

/// Where a stream can be resumed without missing or duplicate events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ResumePoint {
    /// Where it began, since no event has been passed on.
    #[default]
    Start,
    /// After the event with this id.
    After(EventId),
    /// Nowhere: the last event has no id that can be returned to an upstream.
    Nowhere,
}

impl ResumePoint {
    /// The event after which the stream can be resumed.
    pub fn event(&self) -> Option<&EventId> {
        match self {
            ResumePoint::After(id) => Some(id),
            ResumePoint::Start | ResumePoint::Nowhere => None,
        }
    }

    /// The kind of point as a word for logs.
    pub fn code(&self) -> &'static str {
        match self {
            ResumePoint::Start => "start",
            ResumePoint::After(_) => "event",
            ResumePoint::Nowhere => "nowhere",
        }
    }
}

/// Longest event that is held back, in bytes: as long as the longest response that is buffered.
/// What is longer is no event stream.
pub const EVENT_BYTES_MAX: usize = 4 << 20;

/// Holds back an incomplete event, so that a broken stream can be resumed after its last complete
/// one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    resume_point: ResumePoint,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let searched = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.partial, searched) else { return Bytes::new() };
        let events = self.partial.split_to(end).freeze();
        if let Some(point) = point_after(&events) {
            self.resume_point = point;
        }
        events
    }

    /// Where the stream can be resumed after all complete events.
    pub fn resume_point(&self) -> &ResumePoint {
        &self.resume_point
    }

    /// Whether the incomplete event is longer than [`EVENT_BYTES_MAX`].
    pub fn is_too_long(&self) -> bool {
        EVENT_BYTES_MAX < self.partial.len()
    }

    /// Takes the bytes of the event that is still incomplete.
    pub fn take_partial(&mut self) -> Bytes {
        let len = self.partial.remaining();
        self.partial.copy_to_bytes(len)
    }
}

/// The fields of an event that decide where its stream can be resumed.
#[derive(Default)]
struct EventFields<'a> {
    id: Option<&'a [u8]>,
    has_data: bool,
}

impl<'a> EventFields<'a> {
    fn add(&mut self, line: &'a [u8]) {
        let (name, value) = match line.iter().position(|b| *b == b':') {
            Some(at) => (&line[..at], &line[at + 1..]),
            None => (line, &[][..]),
        };
        match name {
            // An id with a NUL is ignored.
            b"id" if !value.contains(&0) => {
                self.id = Some(value.strip_prefix(b" ").unwrap_or(value))
            }
            b"data" => self.has_data = true,
            _ => {}
        }
    }

    /// The point after the event. One without data or a usable id, such as a comment, leaves the
    /// point as it was. One with data but no id of its own has the last id of the stream, after which
    /// it would be sent again.
    fn resume_point(self) -> Option<ResumePoint> {
        let point = self.id.and_then(EventId::from_field).map(ResumePoint::After);
        point.or(self.has_data.then_some(ResumePoint::Nowhere))
    }
}

/// The point after complete events, if they change it.
fn point_after(events: &[u8]) -> Option<ResumePoint> {
    let (mut point, mut event) = (None, EventFields::default());
    for line in lines(events) {
        if line.is_empty() {
            point = std::mem::take(&mut event).resume_point().or(point);
        } else {
            event.add(line);
        }
    }
    point
}

/// The complete lines. A line ends with a line feed, a carriage return or both.
fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes;
    iter::from_fn(move || {
        let at = rest.iter().position(|b| matches!(b, b'\n' | b'\r'))?;
        let line = &rest[..at];
        let end = if rest[at..].starts_with(b"\r\n") { at + 2 } else { at + 1 };
        rest = &rest[end..];
        Some(line)
    })
}

/// The length of the longest of the ends that [`ends_event`] knows.
pub(super) const EVENT_END_MAX_BYTES: usize = 3;

/// Whether these bytes end with an empty line, whatever follows. A carriage return after a line feed
/// isn't one yet, since a line feed may follow.
pub(super) fn ends_event(bytes: &[u8]) -> bool {
    [&b"\n\n"[..], b"\r\r", b"\n\r\n", b"\r\r\n"].iter().any(|end| bytes.ends_with(end))
}

/// The index after the last empty line; the first `searched` bytes have none. A carriage return at
/// their end may be one by what follows.
fn end_of_last_event(buf: &[u8], searched: usize) -> Option<usize> {
    (searched.max(1)..=buf.len()).rev().find(|at| {
        let (before, after) = buf.split_at(*at);
        ends_event(before) || before.ends_with(b"\n\r") && !after.is_empty()
    })
}
