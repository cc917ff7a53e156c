//! What callers are told: outcome headers, refusals with their cause, and when to come back.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use serde::Serialize;

use crate::claims::KeyFault;
use crate::node::Refusal;
use crate::router::service_request::InvalidRequest;
use crate::web::BodyFault;

/// Names the request, for whoever asks about it.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("frostdyke-request-id");

/// `ran`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("frostdyke-outcome");

/// When to come back where nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// When to come back while the platform can't be reached.
const RETRY_AFTER_OUTAGE: Duration = Duration::from_secs(5);

/// An answer's body; its error ends the connection where the caller can see it.
pub type Body = BoxBody<Bytes, io::Error>;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An upstream answered.
    Ran,
    /// No byte of it can have reached an upstream.
    NotRun,
    /// It was sent, but what became of it isn't known.
    Unknown,
}

impl Outcome {
    /// The outcome as callers and figures name it.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Why a request wasn't answered by an upstream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Cause {
    /// The caller asked for something that can't be.
    #[error(transparent)]
    Bad(#[from] InvalidRequest),
    /// Not `POST /v1/services/NAME`.
    #[error("there is nothing at this path")]
    NoPath,
    /// Another method than POST.
    #[error("only POST is served here")]
    Method,
    /// The body is longer than the limit, or didn't come whole in time.
    #[error(transparent)]
    Body(#[from] BodyFault),
    /// The router refused to let it wait.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// Another attempt with the same key was answered.
    #[error("another attempt with this key has run")]
    DuplicateRan,
    /// Another attempt with the same key runs, or nobody knows.
    #[error("another attempt with this key runs, or its outcome is not known")]
    DuplicateElsewhere,
    /// The key can't be claimed now. This attempt did not run; an earlier one may have, unless the
    /// caller said that there is none.
    #[error("the key can't be claimed now")]
    NoClaim { first: bool },
    /// Its deadline passed while it waited.
    #[error("the deadline passed before an upstream was free")]
    Expired,
    /// This router has no configuration yet.
    #[error("this router is not ready")]
    NotReady,
    /// This router is about to stop.
    #[error("this router is stopping")]
    Stopping,
    /// All of the router's threads to upstreams are in use.
    #[error("this router runs as many requests as it can")]
    Busy,
    /// No upstream could be reached, on any try.
    #[error("no upstream could be reached")]
    Unreachable,
    /// It was sent, and the upstream failed before it answered.
    #[error("the upstream failed: {0}")]
    UpstreamFailed(String),
    /// It was sent, and the deadline passed before the answer began.
    #[error("the deadline passed before the upstream answered")]
    TooLate,
}

impl Cause {
    /// A short name for figures and for the page of refusals.
    pub fn code(&self) -> &'static str {
        match self {
            Cause::Bad(InvalidRequest::Unauthorized) => "unauthorized",
            Cause::Bad(InvalidRequest::NoWorkspace) => "no-workspace",
            Cause::Bad(InvalidRequest::NoService) => "no-service",
            Cause::Bad(InvalidRequest::NotAllowed) => "not-allowed",
            Cause::Bad(InvalidRequest::Header(..)) => "bad-header",
            Cause::Bad(InvalidRequest::Key(KeyFault::Old)) => "key-too-old",
            Cause::Bad(InvalidRequest::Key(_)) => "bad-key",
            Cause::DuplicateRan => "duplicate-ran",
            Cause::DuplicateElsewhere => "duplicate-elsewhere",
            Cause::NoClaim { .. } => "no-claim",
            Cause::NoPath => "no-path",
            Cause::Method => "method",
            Cause::Body(BodyFault::TooLong) => "body-too-long",
            Cause::Body(BodyFault::Cut) => "body-cut",
            Cause::Refused(Refusal::WaitingLimit { .. }) => "waiting-limit",
            Cause::Refused(Refusal::DeadlineTooShort { .. }) => "deadline-hopeless",
            Cause::Refused(Refusal::NoPool) => "no-pool",
            Cause::Expired => "expired",
            Cause::NotReady => "not-ready",
            Cause::Stopping => "stopping",
            Cause::Busy => "busy",
            Cause::Unreachable => "unreachable",
            Cause::UpstreamFailed(_) => "upstream-failed",
            Cause::TooLate => "too-late",
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            Cause::Bad(InvalidRequest::Unauthorized) => StatusCode::UNAUTHORIZED,
            Cause::Bad(InvalidRequest::NoWorkspace | InvalidRequest::NotAllowed) => {
                StatusCode::FORBIDDEN
            }
            Cause::Bad(InvalidRequest::NoService) | Cause::NoPath => StatusCode::NOT_FOUND,
            Cause::Bad(InvalidRequest::Key(KeyFault::Old)) => StatusCode::GONE,
            Cause::Bad(InvalidRequest::Header(..) | InvalidRequest::Key(_)) => {
                StatusCode::BAD_REQUEST
            }
            Cause::DuplicateRan | Cause::DuplicateElsewhere => StatusCode::CONFLICT,
            Cause::Method => StatusCode::METHOD_NOT_ALLOWED,
            Cause::Body(BodyFault::TooLong) => StatusCode::PAYLOAD_TOO_LARGE,
            Cause::Body(BodyFault::Cut) => StatusCode::REQUEST_TIMEOUT,
            Cause::Refused(Refusal::WaitingLimit { .. }) => StatusCode::TOO_MANY_REQUESTS,
            Cause::Refused(Refusal::DeadlineTooShort { .. }) => StatusCode::SERVICE_UNAVAILABLE,
            Cause::Refused(Refusal::NoPool)
            | Cause::NoClaim { .. }
            | Cause::NotReady
            | Cause::Stopping
            | Cause::Busy
            | Cause::Unreachable => StatusCode::SERVICE_UNAVAILABLE,
            Cause::UpstreamFailed(_) => StatusCode::BAD_GATEWAY,
            Cause::Expired | Cause::TooLate => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// What became of the request.
    pub fn outcome(&self) -> Outcome {
        match self {
            Cause::UpstreamFailed(_)
            | Cause::TooLate
            | Cause::DuplicateElsewhere
            | Cause::NoClaim { first: false }
            | Cause::Bad(InvalidRequest::Key(KeyFault::Old)) => Outcome::Unknown,
            Cause::DuplicateRan => Outcome::Ran,
            _ => Outcome::NotRun,
        }
    }

    /// When to come back; nothing where the same request would fail again, or where sending it
    /// again is the caller's own risk.
    fn retry_after(&self) -> Option<Duration> {
        match self {
            Cause::Refused(Refusal::WaitingLimit { retry_after })
            | Cause::Refused(Refusal::DeadlineTooShort { retry_after }) => Some(*retry_after),
            Cause::NoClaim { .. } => Some(RETRY_AFTER_OUTAGE),
            Cause::Refused(Refusal::NoPool)
            | Cause::NotReady
            | Cause::Stopping
            | Cause::Busy
            | Cause::DuplicateElsewhere
            | Cause::Expired
            | Cause::Unreachable => Some(RETRY_AFTER),
            _ => None,
        }
    }
}

/// The body of a refusal (RFC 9457).
#[derive(Serialize)]
struct Problem<'a> {
    r#type: String,
    title: String,
    status: u16,
    outcome: Outcome,
    request: &'a str,
}

/// The answer that tells a cause.
pub fn response(cause: &Cause, request: &str) -> Response<Body> {
    let status = cause.status();
    let problem = Problem {
        r#type: format!("urn:frostdyke:{}", cause.code()),
        title: cause.to_string(),
        status: status.as_u16(),
        outcome: cause.outcome(),
        request,
    };
    let text = serde_json::to_vec(&problem).expect("plain text serializes");
    let mut resp = Response::new(full(text));
    *resp.status_mut() = status;
    let headers = resp.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    headers.insert(OUTCOME, HeaderValue::from_static(cause.outcome().as_str()));
    if let Some(after) = cause.retry_after() {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(after.as_secs().max(1)));
    }
    if *cause == Cause::Stopping {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    if let Ok(id) = HeaderValue::from_str(request) {
        headers.insert(REQUEST_ID, id);
    }
    resp
}

/// A body that is all there.
pub fn full(data: impl Into<Bytes>) -> Body {
    Full::new(data.into()).map_err(|never| match never {}).boxed()
}
