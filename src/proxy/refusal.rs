//! Answers of this product's own: refusals and failures. None carries an upstream's signature.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;

use crate::proxy::stream;
use crate::proxy::stream::Body;

/// Why a request gets an answer of our own. Those that say "not run" are sent only if no upstream
/// runs the request or ever will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The head can't be read.
    #[error("the request's head is wrong")]
    BadHead,
    /// No route leads anywhere.
    #[error("no route")]
    NoRoute,
    /// The key is missing or unknown.
    #[error("the key is missing or unknown")]
    UnknownKey,
    /// The body is longer than the configuration allows.
    #[error("the body is too long")]
    BodyTooLong,
    /// The body didn't come whole, or not in time. Not run.
    #[error("the body did not come whole")]
    BodyCut,
    /// No configuration is known yet. Not run.
    #[error("no configuration yet; not run")]
    NotConfigured,
    /// This box is about to stop. Not run.
    #[error("this box stops; not run")]
    Stopping,
    /// This box passes on as many streams as it can. Not run.
    #[error("this box is busy; not run")]
    BoxBusy,
    /// No upstream can be had. Not run.
    #[error("no upstream; not run")]
    NoUpstream {
        /// When it is worth asking again.
        retry_after: Duration,
    },
    /// The answer could not begin in time. Not run.
    #[error("overloaded; not run")]
    Overloaded {
        /// When it is worth asking again.
        retry_after: Duration,
    },
    /// Upstreams ended by this request each time that it ran, so it isn't sent any more. Not run this time.
    #[error(
        "upstreams end when they run this request; not run this time, nor before the time to come back; change it"
    )]
    EndsUpstreams {
        /// When it is worth asking again.
        retry_after: Duration,
    },
    /// An upstream broke off or answered rubbish; the request may have run.
    #[error("the upstream failed; the request may have run")]
    Broken,
    /// Time is up; the request may have run.
    #[error("time is up; the request may have run")]
    TimedOut,
}

impl Refusal {
    /// The cause as a word for logs and metrics.
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
            Refusal::EndsUpstreams { .. } => "ends-upstreams",
            Refusal::Broken => "broken",
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
            | Refusal::EndsUpstreams { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Broken => StatusCode::BAD_GATEWAY,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Refusal::NotConfigured => Some(NOT_CONFIGURED_RETRY),
            Refusal::Stopping | Refusal::BoxBusy => Some(ELSEWHERE_RETRY),
            Refusal::NoUpstream { retry_after }
            | Refusal::Overloaded { retry_after }
            | Refusal::EndsUpstreams { retry_after } => Some(*retry_after),
            _ => None,
        }
    }
}

/// A box that starts knows the configuration after about this long.
const NOT_CONFIGURED_RETRY: Duration = Duration::from_millis(300);

/// Another box serves at once; the caller's next connection is likely to lead there.
const ELSEWHERE_RETRY: Duration = Duration::from_millis(50);

/// The answer for a refusal, as it is written on a connection.
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

/// The answer for a refusal.
pub fn response(cause: Refusal) -> Response<Body> {
    let mut resp = Response::new(stream::whole(Bytes::from(text(cause))));
    *resp.status_mut() = cause.status();
    let headers = resp.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if cause == Refusal::BoxBusy {
        // Callers who come back do so on a new connection; this one would only be kept for later.
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if let Some(after) = cause.retry_after() {
        let seconds = format!("{:.3}", after.as_secs_f64());
        // Digits and a dot are always a valid value.
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    resp
}
