//! Responses to requests that no upstream answered: outcome headers, problem bodies and
//! `retry-after`.

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

use crate::claims::KeyError;
use crate::node::Refusal;
use crate::router::service_request::InvalidRequest;
use crate::web::BodyError;

/// Id of the request, by which its explanation is requested.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("frostdyke-request-id");

/// `ran`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("frostdyke-outcome");

/// `retry-after` where no better estimate is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// `retry-after` while the platform is unreachable.
const RETRY_AFTER_OUTAGE: Duration = Duration::from_secs(5);

/// A response body. An error ends the connection, so that the caller notices it.
pub type Body = BoxBody<Bytes, io::Error>;

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An upstream responded.
    Ran,
    /// No byte of the request can have reached an upstream.
    NotRun,
    /// The request was sent, but whether it ran isn't known.
    Unknown,
}

impl Outcome {
    /// The name of the outcome in headers and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Why a request got no response from an upstream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The request is invalid.
    #[error(transparent)]
    Invalid(#[from] InvalidRequest),
    /// The path is not `/v1/services/NAME`.
    #[error("there is nothing at this path")]
    NoPath,
    /// The method is not POST.
    #[error("only POST is served here")]
    MethodNotAllowed,
    /// The body is longer than the limit, or was incomplete at the time limit.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The request may not wait at this router.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// Another attempt with the same key got a response.
    #[error("another attempt with this key has run")]
    DuplicateRan,
    /// Another attempt with the same key runs, or its outcome is unknown.
    #[error("another attempt with this key runs, or its outcome is not known")]
    DuplicateElsewhere,
    /// The key cannot be claimed now. This attempt did not run; an earlier one may have run, unless
    /// the caller stated that this is the first.
    #[error("the key can't be claimed now")]
    ClaimUnavailable { is_first_attempt: bool },
    /// The deadline passed while the request waited.
    #[error("the deadline passed before an upstream was free")]
    Expired,
    /// This router has no configuration yet.
    #[error("this router is not ready")]
    NotReady,
    /// This router is about to stop.
    #[error("this router is stopping")]
    Stopping,
    /// All sending threads that the workspace may use are busy.
    #[error("this router runs as many requests as it can")]
    Busy,
    /// No upstream could be reached in any attempt.
    #[error("no upstream could be reached")]
    Unreachable,
    /// The request was sent, and the upstream failed before it responded.
    #[error("the upstream failed: {0}")]
    UpstreamFailed(String),
    /// The request was sent, and the deadline passed before the response began.
    #[error("the deadline passed before the upstream answered")]
    TooLate,
}

impl RequestError {
    /// A short name for metrics and for the problem type.
    pub fn code(&self) -> &'static str {
        match self {
            RequestError::Invalid(InvalidRequest::Unauthorized) => "unauthorized",
            RequestError::Invalid(InvalidRequest::NoWorkspace) => "no-workspace",
            RequestError::Invalid(InvalidRequest::NoService) => "no-service",
            RequestError::Invalid(InvalidRequest::NotAllowed) => "not-allowed",
            RequestError::Invalid(InvalidRequest::Header(..)) => "bad-header",
            RequestError::Invalid(InvalidRequest::Key(KeyError::TooOld)) => "key-too-old",
            RequestError::Invalid(InvalidRequest::Key(_)) => "bad-key",
            RequestError::DuplicateRan => "duplicate-ran",
            RequestError::DuplicateElsewhere => "duplicate-elsewhere",
            RequestError::ClaimUnavailable { .. } => "no-claim",
            RequestError::NoPath => "no-path",
            RequestError::MethodNotAllowed => "method",
            RequestError::Body(BodyError::TooLong) => "body-too-long",
            RequestError::Body(BodyError::Truncated) => "body-cut",
            RequestError::Refused(Refusal::WaitingLimit { .. }) => "waiting-limit",
            RequestError::Refused(Refusal::DeadlineTooShort { .. }) => "deadline-hopeless",
            RequestError::Refused(Refusal::NoPool) => "no-pool",
            RequestError::Expired => "expired",
            RequestError::NotReady => "not-ready",
            RequestError::Stopping => "stopping",
            RequestError::Busy => "busy",
            RequestError::Unreachable => "unreachable",
            RequestError::UpstreamFailed(_) => "upstream-failed",
            RequestError::TooLate => "too-late",
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            RequestError::Invalid(InvalidRequest::Unauthorized) => StatusCode::UNAUTHORIZED,
            RequestError::Invalid(InvalidRequest::NoWorkspace | InvalidRequest::NotAllowed) => {
                StatusCode::FORBIDDEN
            }
            RequestError::Invalid(InvalidRequest::NoService) | RequestError::NoPath => {
                StatusCode::NOT_FOUND
            }
            RequestError::Invalid(InvalidRequest::Key(KeyError::TooOld)) => StatusCode::GONE,
            RequestError::Invalid(InvalidRequest::Header(..) | InvalidRequest::Key(_)) => {
                StatusCode::BAD_REQUEST
            }
            RequestError::DuplicateRan | RequestError::DuplicateElsewhere => StatusCode::CONFLICT,
            RequestError::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::Body(BodyError::TooLong) => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::Body(BodyError::Truncated) => StatusCode::REQUEST_TIMEOUT,
            RequestError::Refused(Refusal::WaitingLimit { .. }) => StatusCode::TOO_MANY_REQUESTS,
            RequestError::Refused(Refusal::DeadlineTooShort { .. }) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            RequestError::Refused(Refusal::NoPool)
            | RequestError::ClaimUnavailable { .. }
            | RequestError::NotReady
            | RequestError::Stopping
            | RequestError::Busy
            | RequestError::Unreachable => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::UpstreamFailed(_) => StatusCode::BAD_GATEWAY,
            RequestError::Expired | RequestError::TooLate => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The outcome stated to the caller.
    pub fn outcome(&self) -> Outcome {
        match self {
            RequestError::UpstreamFailed(_)
            | RequestError::TooLate
            | RequestError::DuplicateElsewhere
            | RequestError::ClaimUnavailable { is_first_attempt: false }
            | RequestError::Invalid(InvalidRequest::Key(KeyError::TooOld)) => Outcome::Unknown,
            RequestError::DuplicateRan => Outcome::Ran,
            _ => Outcome::NotRun,
        }
    }

    /// When to retry; `None` where the same request would fail again, or where a retry is at the
    /// caller's own risk.
    fn retry_after(&self) -> Option<Duration> {
        match self {
            RequestError::Refused(Refusal::WaitingLimit { retry_after })
            | RequestError::Refused(Refusal::DeadlineTooShort { retry_after }) => {
                Some(*retry_after)
            }
            RequestError::ClaimUnavailable { .. } => Some(RETRY_AFTER_OUTAGE),
            RequestError::Refused(Refusal::NoPool)
            | RequestError::NotReady
            | RequestError::Stopping
            | RequestError::Busy
            | RequestError::DuplicateElsewhere
            | RequestError::Expired
            | RequestError::Unreachable => Some(RETRY_AFTER),
            _ => None,
        }
    }
}

/// Problem details (RFC 9457).
#[derive(Serialize)]
struct Problem<'a> {
    r#type: String,
    title: String,
    status: u16,
    outcome: Outcome,
    request: &'a str,
}

/// The response for a request that failed with `error`.
pub fn response(error: &RequestError, request_id: &str) -> Response<Body> {
    let status = error.status();
    let problem = Problem {
        r#type: format!("urn:frostdyke:{}", error.code()),
        title: error.to_string(),
        status: status.as_u16(),
        outcome: error.outcome(),
        request: request_id,
    };
    let text = serde_json::to_vec(&problem).expect("plain text serializes");
    let mut resp = Response::new(full(text));
    *resp.status_mut() = status;
    let headers = resp.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    headers.insert(OUTCOME, HeaderValue::from_static(error.outcome().as_str()));
    if let Some(after) = error.retry_after() {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(after.as_secs().max(1)));
    }
    if *error == RequestError::Stopping {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    if let Ok(id) = HeaderValue::from_str(request_id) {
        headers.insert(REQUEST_ID, id);
    }
    resp
}

/// A body whose bytes are all available.
pub fn full(data: impl Into<Bytes>) -> Body {
    Full::new(data.into()).map_err(|never| match never {}).boxed()
}
