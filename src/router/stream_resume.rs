//! Resumes an event stream that broke off, where the upstream can stream a response again from a
//! given event on.
//!
//! Only complete events are forwarded, so the caller never has half of one when the stream breaks
//! off, and the number of forwarded events is where to resume.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::StatusCode;

use crate::config::catalog::FROM_PLACEHOLDER;
use crate::config::catalog::REQUEST_PLACEHOLDER;
use crate::names::PoolName;
use crate::names::WorkspaceName;
use crate::router::refusal::REQUEST_ID;
use crate::router::request_handler::RouterContext;
use crate::router::upstream_sender::ResponseReceiver;
use crate::router::upstream_sender::UpstreamRequest;

/// How often one response may be resumed.
const RESUMES_MAX: u32 = 3;

/// Longest event that is buffered until it is complete. A stream with a longer event is forwarded
/// as received and cannot be resumed.
const EVENT_MAX_BYTES: usize = 64 << 10;

/// The state needed to resume one response.
pub struct StreamResume {
    context: Arc<RouterContext>,
    workspace: WorkspaceName,
    pool: PoolName,
    request_id: String,
    upstream_request: UpstreamRequest,
    /// The path, with placeholders for the request and the event.
    path: String,
    resume_count: u32,
    splitter: EventSplitter,
}

impl StreamResume {
    /// Prepares to resume the response to `upstream_request`, which has the id `request_id`.
    pub fn new(
        context: &Arc<RouterContext>,
        workspace: &WorkspaceName,
        pool: &PoolName,
        request_id: &str,
        upstream_request: UpstreamRequest,
        path: &str,
    ) -> StreamResume {
        StreamResume {
            context: context.clone(),
            workspace: workspace.clone(),
            pool: pool.clone(),
            request_id: request_id.to_owned(),
            upstream_request: UpstreamRequest {
                method: Method::GET,
                body: Bytes::new(),
                ..upstream_request
            },
            path: path.to_owned(),
            resume_count: 0,
            splitter: EventSplitter::default(),
        }
    }

    /// The pool whose retry budget resuming uses.
    pub fn pool(&self) -> &PoolName {
        &self.pool
    }

    /// How often the response was resumed.
    pub fn resume_count(&self) -> u32 {
        self.resume_count
    }

    /// Adds a chunk of the stream; returns the events that are complete now, if any.
    pub fn push(&mut self, chunk: &[u8]) -> Option<Bytes> {
        self.splitter.push(chunk)
    }

    /// Takes the incomplete event at the end of a stream that did not break off.
    pub fn take_partial(&mut self) -> Option<Bytes> {
        self.splitter.take_partial()
    }

    /// Requests the rest of the response. The buffered part of an event is sent again.
    pub fn request_rest(&mut self) -> Option<ResponseReceiver> {
        if RESUMES_MAX <= self.resume_count {
            return None;
        }
        let from = self.splitter.discard_partial()?;
        self.resume_count += 1;
        let path = self
            .path
            .replace(REQUEST_PLACEHOLDER, &self.request_id)
            .replace(FROM_PLACEHOLDER, &from.to_string());
        let upstream_request = UpstreamRequest { path, ..self.upstream_request.clone() };
        self.context.sending_threads.send(&self.workspace, upstream_request).ok()
    }

    /// Whether this is the head of the resumed response.
    pub fn matches_response(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        let echoed = headers.get(REQUEST_ID).map(|v| v.as_bytes());
        status == StatusCode::OK && echoed.is_none_or(|id| id == self.request_id.as_bytes())
    }
}

/// Splits a stream into complete events, and counts those with data.
#[derive(Debug, Default)]
pub struct EventSplitter {
    forwarded_events: u64,
    partial: Vec<u8>,
    /// An event was too long: everything is forwarded, and no events are counted.
    is_passthrough: bool,
}

impl EventSplitter {
    /// Adds a chunk; returns the events that are complete now, if any.
    pub fn push(&mut self, chunk: &[u8]) -> Option<Bytes> {
        if self.is_passthrough {
            return Some(Bytes::copy_from_slice(chunk));
        }
        self.partial.extend_from_slice(chunk);
        let mut end = 0;
        while let Some(len) = event_len(&self.partial[end..]) {
            let event = &self.partial[end..end + len];
            // Comments, which are sent as keep-alive, aren't counted.
            self.forwarded_events += u64::from(has_data(event));
            end += len;
        }
        if end == 0 && EVENT_MAX_BYTES < self.partial.len() {
            self.is_passthrough = true;
            end = self.partial.len();
        }
        (end != 0).then(|| self.partial.drain(..end).collect())
    }

    /// Takes the bytes of the event that is still incomplete.
    pub fn take_partial(&mut self) -> Option<Bytes> {
        let partial = std::mem::take(&mut self.partial);
        (!partial.is_empty()).then(|| Bytes::from(partial))
    }

    /// Discards the incomplete event, since it will be sent again. Returns the number of forwarded
    /// events, or `None` if they are not counted.
    pub fn discard_partial(&mut self) -> Option<u64> {
        if self.is_passthrough {
            return None;
        }
        self.partial.clear();
        Some(self.forwarded_events)
    }
}

/// The length of the first event, including the blank line that ends it.
fn event_len(bytes: &[u8]) -> Option<usize> {
    let ends = [&b"\n\n"[..], &b"\r\n\r\n"[..]];
    let end =
        |mark: &[u8]| bytes.windows(mark.len()).position(|w| w == mark).map(|at| at + mark.len());
    ends.into_iter().filter_map(end).min()
}

fn has_data(event: &[u8]) -> bool {
    event.split(|&b| b == b'\n').any(|line| line.starts_with(b"data"))
}
