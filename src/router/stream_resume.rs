//! Going on with an event stream that the upstream cut, where the upstream can stream an answer again
//! from an event on.
//!
//! Only whole events are passed on, so a cut never leaves the caller with half of one, and the count
//! of events tells where to go on.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::StatusCode;

use crate::config::catalog::REQUEST_PLACEHOLDER;
use crate::config::catalog::FROM_PLACEHOLDER;
use crate::names::PoolName;
use crate::names::WorkspaceName;
use crate::router::refusal::REQUEST_ID;
use crate::router::request_handler::Service;
use crate::router::upstream_sender::Incoming;
use crate::router::upstream_sender::Outgoing;

/// Times that one answer is resumed.
const TIMES_MAX: u32 = 3;

/// Longest event that is kept back until it is whole, in bytes. A stream with a longer one is passed
/// on as it comes, and can't be resumed.
const EVENT_MAX: usize = 64 << 10;

/// How to go on with one answer.
pub struct Resume {
    service: Arc<Service>,
    workspace: WorkspaceName,
    pool: PoolName,
    request: String,
    outgoing: Outgoing,
    /// The path, with places for the request and the event.
    path: String,
    times: u32,
    events: EventSplitter,
}

impl Resume {
    /// A way to go on with the answer to `request`, which was asked for by `outgoing`.
    pub fn new(
        service: &Arc<Service>,
        workspace: &WorkspaceName,
        pool: &PoolName,
        request: &str,
        outgoing: Outgoing,
        path: &str,
    ) -> Resume {
        Resume {
            service: service.clone(),
            workspace: workspace.clone(),
            pool: pool.clone(),
            request: request.to_owned(),
            outgoing: Outgoing { method: Method::GET, body: Bytes::new(), ..outgoing },
            path: path.to_owned(),
            times: 0,
            events: EventSplitter::default(),
        }
    }

    /// The pool whose retry budget it draws on.
    pub fn pool(&self) -> &PoolName {
        &self.pool
    }

    /// How often the upstream was asked for the rest.
    pub fn times(&self) -> u32 {
        self.times
    }

    /// Takes in a piece of the stream; gives the events that are whole, if any.
    pub fn piece(&mut self, piece: &[u8]) -> Option<Bytes> {
        self.events.push(piece)
    }

    /// What is left when the stream has ended well.
    pub fn rest(&mut self) -> Option<Bytes> {
        self.events.take_partial()
    }

    /// Asks the upstream for the rest. What was kept back comes again.
    pub fn again(&mut self) -> Option<Incoming> {
        if TIMES_MAX <= self.times {
            return None;
        }
        let from = self.events.discard_partial()?;
        self.times += 1;
        let path = self
            .path
            .replace(REQUEST_PLACEHOLDER, &self.request)
            .replace(FROM_PLACEHOLDER, &from.to_string());
        let outgoing = Outgoing { path, ..self.outgoing.clone() };
        self.service.senders.send(&self.workspace, outgoing).ok()
    }

    /// Whether the upstream does go on with this answer.
    pub fn is_mine(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        let echoed = headers.get(REQUEST_ID).map(|v| v.as_bytes());
        status == StatusCode::OK && echoed.is_none_or(|id| id == self.request.as_bytes())
    }
}

/// Splits a stream into whole events, and counts those with data.
#[derive(Debug, Default)]
pub struct EventSplitter {
    passed: u64,
    kept: Vec<u8>,
    /// An event was too long: all is passed on, and nothing counted.
    given_up: bool,
}

impl EventSplitter {
    /// Takes in a piece; gives the events that are whole, if any.
    pub fn push(&mut self, piece: &[u8]) -> Option<Bytes> {
        if self.given_up {
            return Some(Bytes::copy_from_slice(piece));
        }
        self.kept.extend_from_slice(piece);
        let mut end = 0;
        while let Some(len) = event_len(&self.kept[end..]) {
            let event = &self.kept[end..end + len];
            // Comments, which keep a connection alive, aren't counted.
            self.passed += u64::from(has_data(event));
            end += len;
        }
        if end == 0 && EVENT_MAX < self.kept.len() {
            self.given_up = true;
            end = self.kept.len();
        }
        (end != 0).then(|| self.kept.drain(..end).collect())
    }

    /// What is left at the end of the stream.
    pub fn take_partial(&mut self) -> Option<Bytes> {
        let rest = std::mem::take(&mut self.kept);
        (!rest.is_empty()).then(|| Bytes::from(rest))
    }

    /// Drops what was kept back, since it will come again. Gives the number of events passed on.
    pub fn discard_partial(&mut self) -> Option<u64> {
        if self.given_up {
            return None;
        }
        self.kept.clear();
        Some(self.passed)
    }
}

/// The length of the first event, with the blank line that ends it.
fn event_len(bytes: &[u8]) -> Option<usize> {
    let ends = [&b"\n\n"[..], &b"\r\n\r\n"[..]];
    let end =
        |mark: &[u8]| bytes.windows(mark.len()).position(|w| w == mark).map(|at| at + mark.len());
    ends.into_iter().filter_map(end).min()
}

fn has_data(event: &[u8]) -> bool {
    event.split(|&b| b == b'\n').any(|line| line.starts_with(b"data"))
}
