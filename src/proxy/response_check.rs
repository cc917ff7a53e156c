//! Decides what the head of an upstream's response means for the request that awaits it.
//!
//! On a kept connection, a response may be a surplus one in the place of the response that is due.
//! What it says then concerns another request, while the upstream runs this one.

use http::StatusCode;

use crate::proxy::adapter::ResponseId;
use crate::proxy::adapter::Verdict;
use crate::response_status;

/// What a response means for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meaning {
    /// It answers the request.
    Final,
    /// The upstream failed; it answers the request if that isn't retried.
    Failed,
    /// The upstream did not run the request and never will.
    NotRun,
    /// It says "not run", but nothing shows that it concerns this request, which may have run.
    Unattributed,
    /// It is no valid response to the request, which may have run.
    Invalid,
    /// Callers read its status as "not run", but it doesn't state that.
    Unclear,
}

impl Meaning {
    /// The meaning as a word for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Meaning::Final => "final",
            Meaning::Failed => "failed",
            Meaning::NotRun => "not-run",
            Meaning::Unattributed => "unattributed",
            Meaning::Invalid => "odd",
            Meaning::Unclear => "unclear",
        }
    }
}

/// The head of a response, and where it arrived.
#[derive(Clone, Copy, Debug)]
pub struct ResponseHead {
    pub status: StatusCode,
    pub verdict: Verdict,
    /// Whether it is the first response on its connection.
    pub is_first: bool,
    /// Whether its body is encoded.
    pub is_encoded: bool,
}

impl ResponseHead {
    /// What the response means for its request.
    pub fn meaning(&self) -> Meaning {
        let ResponseHead { status, verdict, is_encoded, .. } = *self;
        if !response_status::is_final(status) {
            return Meaning::Invalid;
        }
        if verdict.says_not_run {
            return self.attributed();
        }
        if !verdict.matches_request || (status.is_success() && !verdict.signed) || is_encoded {
            return Meaning::Invalid;
        }
        if is_read_as_not_run(status) {
            return Meaning::Unclear;
        }
        if status.is_server_error() { Meaning::Failed } else { Meaning::Final }
    }

    /// What a response means that says "not run". One without an id concerns this request only if
    /// no other request was sent on the connection.
    fn attributed(&self) -> Meaning {
        match self.verdict.response_id {
            ResponseId::Own => Meaning::NotRun,
            ResponseId::Missing if self.is_first => Meaning::NotRun,
            ResponseId::Other | ResponseId::Missing => Meaning::Unattributed,
        }
    }
}

/// Whether callers read a status as a promise that the request has not run and never will.
fn is_read_as_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
