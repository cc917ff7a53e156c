//! Responses that the proxy itself generates: refusals and failures. None carries an upstream's
//! signature.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;

use crate::proxy::response_body;
use crate::proxy::response_body::Body;

/// Why the proxy itself responds to a request. A text with "not run" is sent only if no upstream
/// has run the request or ever will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The request's head is malformed.
    #[error("the request's head is wrong")]
    BadHead,
    /// No route matches the request, or its route has no target.
    #[error("no route")]
    NoRoute,
    /// The API key is missing or unknown.
    #[error("the key is missing or unknown")]
    UnknownKey,
    /// The body exceeds the configured limit.
    #[error("the body is too long")]
    BodyTooLong,
    /// The body was truncated or didn't arrive in time. Not run.
    #[error("the body did not come whole")]
    BodyCut,
    /// This box has no configuration yet. Not run.
    #[error("no configuration yet; not run")]
    NotConfigured,
    /// This box is shutting down. Not run.
    #[error("this box stops; not run")]
    Stopping,
    /// This box relays as many streams as it can. Not run.
    #[error("this box is busy; not run")]
    BoxBusy,
    /// No upstream is available. Not run.
    #[error("no upstream; not run")]
    NoUpstream {
        /// When a retry is worthwhile.
        retry_after: Duration,
    },
    /// The response could not have begun in time. Not run.
    #[error("overloaded; not run")]
    Overloaded {
        /// When a retry is worthwhile.
        retry_after: Duration,
    },
    /// Upstreams crashed each time they ran this request, so it isn't sent again. Not run this
    /// time.
    #[error(
        "upstreams end when they run this request; not run this time, nor before the time to come back; change it"
    )]
    CrashesUpstreams {
        /// When a retry is worthwhile.
        retry_after: Duration,
    },
    /// The caller resumes a stream, and it isn't known which version began it. Not run.
    #[error("it isn't known which version began this stream; not run")]
    VersionUnknown {
        /// When a retry is worthwhile, since this box has just started or the store doesn't confirm
        /// which versions are in use; `None` if never.
        retry_after: Option<Duration>,
    },
    /// The caller resumes a stream, and the service has no upstream of the version that began it.
    /// Not run.
    #[error("no upstream has the version that began this stream; not run")]
    VersionGone,
    /// An upstream's response was truncated or invalid; the request may have run.
    #[error("the upstream failed; the request may have run")]
    Broken,
    /// This box ends before the upstream has responded; the request may have run.
    #[error("this box stops; the request may have run")]
    Interrupted,
    /// The deadline has passed; the request may have run.
    #[error("time is up; the request may have run")]
    TimedOut,
}

impl Refusal {
    /// The cause's name in logs and metrics.
    pub fn code(&self) -> &'static str {
        match self {
            Refusal::BadHead => "bad-head",
            Refusal::NoRoute => "no-route",
            Refusal::UnknownKey => "unknown-key",
            Refusal::BodyTooLong => "body-too-long",
            Refusal::BodyCut => "body-cut",
            Refusal::NotConfigured => "not-configured",
            Refusal::Stopping => "stopping",
            Refusal::BoxBusy => "box-busy",
            Refusal::NoUpstream { .. } => "no-upstream",
            Refusal::Overloaded { .. } => "overloaded",
            Refusal::CrashesUpstreams { .. } => "ends-upstreams",
            Refusal::VersionUnknown { .. } => "version-unknown",
            Refusal::VersionGone => "version-gone",
            Refusal::Broken => "broken",
            Refusal::Interrupted => "interrupted",
            Refusal::TimedOut => "timed-out",
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            Refusal::BadHead => StatusCode::BAD_REQUEST,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
            Refusal::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::BodyCut => StatusCode::REQUEST_TIMEOUT,
            Refusal::NotConfigured
            | Refusal::Stopping
            | Refusal::BoxBusy
            | Refusal::NoUpstream { .. }
            | Refusal::Overloaded { .. }
            | Refusal::CrashesUpstreams { .. }
            | Refusal::VersionUnknown { .. }
            | Refusal::VersionGone => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Broken => StatusCode::BAD_GATEWAY,
            Refusal::Interrupted | Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Refusal::NotConfigured => Some(NOT_CONFIGURED_RETRY),
            Refusal::Stopping | Refusal::BoxBusy => Some(OTHER_BOX_RETRY),
            Refusal::NoUpstream { retry_after }
            | Refusal::Overloaded { retry_after }
            | Refusal::CrashesUpstreams { retry_after } => Some(*retry_after),
            Refusal::VersionUnknown { retry_after } => *retry_after,
            _ => None,
        }
    }
}

/// A box has its configuration about this long after its start.
const NOT_CONFIGURED_RETRY: Duration = Duration::from_millis(300);

/// Other boxes can serve the request at once, and the caller's next connection is likely to reach
/// one.
const OTHER_BOX_RETRY: Duration = Duration::from_millis(50);

/// The response for a refusal in HTTP/1.1 wire format.
pub fn http1_bytes(cause: Refusal) -> Vec<u8> {
    let resp = response(cause);
    let text = text(cause);
    let mut buf = format!("HTTP/1.1 {}\r\n", resp.status()).into_bytes();
    for (name, value) in resp.headers() {
        buf.extend_from_slice(name.as_str().as_bytes());
        buf.extend_from_slice(b": ");
        buf.extend_from_slice(value.as_bytes());
        buf.extend_from_slice(b"\r\n");
    }
    buf.extend_from_slice(format!("content-length: {}\r\n\r\n{text}", text.len()).as_bytes());
    buf
}

fn text(cause: Refusal) -> String {
    format!("{cause}\n")
}

/// The response for a refusal.
pub fn response(cause: Refusal) -> Response<Body> {
    let mut resp = Response::new(response_body::full(Bytes::from(text(cause))));
    *resp.status_mut() = cause.status();
    let headers = resp.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if cause == Refusal::BoxBusy {
        // Callers retry on a new connection, so this one would only stay idle.
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if let Some(after) = cause.retry_after() {
        let seconds = format!("{:.3}", after.as_secs_f64());
        // Digits and a dot always form a valid header value.
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    resp
}
