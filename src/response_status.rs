//! Statuses of HTTP responses.

use http::StatusCode;

/// Whether a response with this status can be the final one to a request (RFC 9110, section 15).
/// Interim responses (1xx) precede it. A 101 replaces it only for requests that ask for another
/// protocol, which are never sent. Over 599, no status is defined.
pub fn is_final(status: StatusCode) -> bool {
    matches!(status.as_u16(), 200..600)
}
