//! Whether an upstream's response that ended without an error is complete.
//!
//! A length or chunks show that. A response without them ends with its connection, whether it is
//! complete or has broken off; then only its content and the state of the upstream can show it.

use http::HeaderMap;
use http::header::CONTENT_TYPE;
use http::header::TRANSFER_ENCODING;
use hyper::body::Body;
use serde::de::IgnoredAny;

use crate::proxy::event_stream::EVENT_END_MAX_BYTES;
use crate::proxy::event_stream::ends_event;

/// What marks the end of a response's body (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Its length, which may be zero.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection.
    Close,
}

impl Framing {
    /// The framing of a response with these headers, of whose body nothing has been read yet.
    pub fn new(headers: &HeaderMap, body: &impl Body) -> Framing {
        if body.size_hint().exact().is_some() {
            return Framing::Length;
        }
        let codings = headers.get_all(TRANSFER_ENCODING).iter().next_back();
        let last = codings.and_then(|value| value.to_str().ok()?.rsplit(',').next());
        match last {
            Some(coding) if coding.trim().eq_ignore_ascii_case("chunked") => Framing::Chunks,
            _ => Framing::Close,
        }
    }

    /// The framing as a word for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Close => "close",
        }
    }
}

/// Whether an event stream is between two events.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventBoundary {
    last: [u8; EVENT_END_MAX_BYTES],
    has_begun: bool,
}

impl EventBoundary {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.has_begun |= !bytes.is_empty();
        let new = &bytes[bytes.len().saturating_sub(EVENT_END_MAX_BYTES)..];
        self.last.rotate_left(new.len());
        self.last[EVENT_END_MAX_BYTES - new.len()..].copy_from_slice(new);
    }

    /// Whether the last event is complete, or none has begun.
    pub fn is_between_events(&self) -> bool {
        !self.has_begun || ends_event(&self.last)
    }

    /// Whether the stream has no bytes so far.
    pub fn is_empty(&self) -> bool {
        !self.has_begun
    }
}

/// What the end of a response shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// The response is complete.
    Complete,
    /// It has broken off.
    Broken,
    /// It is complete unless its upstream crashed.
    CompleteUnlessCrashed,
}

impl ResponseEnd {
    /// The end of a stream. One that resumes another is empty if that had all its events.
    pub fn of_stream(framing: Framing, boundary: &EventBoundary, resumes: bool) -> ResponseEnd {
        let is_broken = !boundary.is_between_events() || boundary.is_empty() && !resumes;
        ResponseEnd::new(framing, is_broken)
    }

    /// The end of a response with this whole body.
    pub fn of_body(framing: Framing, headers: &HeaderMap, body: &[u8]) -> ResponseEnd {
        ResponseEnd::new(framing, framing == Framing::Close && is_cut(headers, body))
    }

    fn new(framing: Framing, is_cut: bool) -> ResponseEnd {
        match framing {
            Framing::Length | Framing::Chunks => ResponseEnd::Complete,
            Framing::Close if is_cut => ResponseEnd::Broken,
            Framing::Close => ResponseEnd::CompleteUnlessCrashed,
        }
    }
}

/// Whether a body is incomplete by its own format. Most formats don't mark their end.
fn is_cut(headers: &HeaderMap, body: &[u8]) -> bool {
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let media_type = content_type.unwrap_or_default().split(';').next().unwrap_or_default();
    let media_type = media_type.trim().to_ascii_lowercase();
    if media_type == "text/event-stream" {
        return !body.is_empty() && !ends_event(body);
    }
    let is_json = media_type == "application/json" || media_type.ends_with("+json");
    is_json && serde_json::from_slice::<IgnoredAny>(body).is_err()
}
