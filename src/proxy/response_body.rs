//! The body type of responses to callers.

use std::io;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;

/// The body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A body whose bytes are all available.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|e| match e {}).boxed_unsync()
}
