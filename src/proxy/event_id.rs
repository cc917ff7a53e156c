//! The ids of server-sent events (WHATWG HTML, section 9.2).
//!
//! An id is text that a client returns unchanged to go on after an event. Only the upstream that chose
//! it knows what it means, so it is kept as received.

use std::fmt;

use http::HeaderValue;

/// Bytes of an id in a log line.
const LOGGED_MAX_BYTES: usize = 64;

/// The id of an event, which names a position in a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId(HeaderValue);

impl EventId {
    /// The id in a request's header. `None` if it is empty, as clients that have received no id may
    /// send it.
    pub fn from_header(value: &HeaderValue) -> Option<EventId> {
        (!value.is_empty()).then(|| EventId(value.clone()))
    }

    /// The id in a field of an event. `None` if no request can return it: it is empty or has bytes
    /// that a header can't carry, such as control characters or white space at its ends.
    pub fn from_field(value: &[u8]) -> Option<EventId> {
        if value.is_empty() || value.trim_ascii().len() != value.len() {
            return None;
        }
        HeaderValue::from_bytes(value).ok().map(EventId)
    }

    /// The id as the value of a header.
    pub fn as_header(&self) -> &HeaderValue {
        &self.0
    }
}

/// The id for logs: escaped, and shortened if it is long.
impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bytes = self.0.as_bytes();
        let logged = &bytes[..bytes.len().min(LOGGED_MAX_BYTES)];
        write!(f, "{}", logged.escape_ascii())?;
        if logged.len() < bytes.len() {
            write!(f, "...")?;
        }
        Ok(())
    }
}
