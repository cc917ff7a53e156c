//! Forwards a response: measures its cost, and resumes or aborts it when the upstream's stream
//! breaks off.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use hyper::body::Frame;
use opentelemetry::KeyValue;

use crate::names::UpstreamName;
use crate::peer::message::Ending;
use crate::peer::message::TicketId;
use crate::router::cost_meter;
use crate::router::cost_meter::CostMeter;
use crate::router::hub::Assignment;
use crate::router::hub::Hub;
use crate::router::refusal::Outcome;
use crate::router::request_handler::RequestTrace;
use crate::router::service_request::ServiceRequest;
use crate::router::stream_resume::StreamResume;
use crate::router::upstream_sender::ResponseEvent;
use crate::router::upstream_sender::ResponseReceiver;

/// A request that has a grant. If dropped before its end, it is reported as cancelled.
pub struct PlacedRequest {
    hub: Arc<Hub>,
    /// Its ticket.
    pub ticket: TicketId,
    /// The upstream that runs it.
    pub upstream: UpstreamName,
    /// The cost above which it is reported to the node again.
    next_report_cost: u64,
    meter: Box<dyn CostMeter>,
    labels: [KeyValue; 2],
    /// The backoff that the upstream requested.
    backoff: Option<Duration>,
    ended: bool,
}

impl PlacedRequest {
    pub fn new(
        hub: &Arc<Hub>,
        ticket: TicketId,
        assignment: Assignment,
        request: &ServiceRequest,
    ) -> PlacedRequest {
        PlacedRequest {
            hub: hub.clone(),
            ticket,
            upstream: assignment.upstream,
            next_report_cost: assignment.charged_cost,
            meter: cost_meter::for_unit(request.cost_unit),
            labels: [
                KeyValue::new("workspace", request.workspace.to_string()),
                KeyValue::new("pool", request.pool.to_string()),
            ],
            backoff: None,
            ended: false,
        }
    }

    /// Sets the backoff that the upstream requested.
    pub fn set_backoff(&mut self, backoff: Duration) {
        self.backoff = Some(backoff);
    }

    fn add_chunk(&mut self, chunk: &[u8]) {
        let cost = self.meter.add_chunk(chunk);
        if self.next_report_cost < cost {
            self.next_report_cost = self.hub.record_progress(self.ticket, cost);
        }
    }

    /// Reports to the dispatcher how the request ended, once.
    pub fn finish(&mut self, ending: Ending) {
        if self.ended {
            return;
        }
        self.ended = true;
        let cost = if ending == Ending::Unused { 0 } else { self.meter.cost() };
        let backoff_ms = self.backoff.and_then(|d| u32::try_from(d.as_millis()).ok());
        self.hub.finish(self.ticket, cost, backoff_ms.map_or(ending, Ending::Backoff));
        self.hub.metrics().service.add(cost, &self.labels);
    }
}

impl Drop for PlacedRequest {
    fn drop(&mut self) {
        self.finish(Ending::Cancelled);
    }
}

/// The body of a response, forwarded from the upstream.
pub struct UpstreamBody {
    placed: PlacedRequest,
    trace: RequestTrace,
    receiver: ResponseReceiver,
    /// Remaining bytes, if the upstream stated the length.
    remaining_bytes: Option<u64>,
    /// Whether the end of the body can be distinguished from a broken connection.
    framed: bool,
    /// Resumes the response after it broke off, if the upstream can.
    resume: Option<StreamResume>,
    /// The error with which the response is aborted at the next poll.
    pending_error: Option<io::Error>,
}

type FrameResult = Result<Frame<Bytes>, io::Error>;

impl UpstreamBody {
    /// A body whose head was received. It has `length` bytes if that is known. Without a length,
    /// the end can be distinguished from a broken connection only if the body is `framed`.
    pub fn new(
        placed: PlacedRequest,
        trace: RequestTrace,
        receiver: ResponseReceiver,
        length: Option<u64>,
        framed: bool,
        resume: Option<StreamResume>,
    ) -> UpstreamBody {
        let mut body = UpstreamBody {
            placed,
            trace,
            receiver,
            remaining_bytes: length,
            framed,
            resume,
            pending_error: None,
        };
        if length == Some(0) {
            body.finish(Ending::Answered);
        }
        body
    }

    fn finish(&mut self, ending: Ending) {
        if self.placed.ended {
            return;
        }
        self.placed.finish(ending);
        let resume_count = self.resume.as_ref().map_or(0, StreamResume::resume_count);
        let mut text = format!("{ending:?}").to_lowercase();
        if resume_count != 0 {
            text.push_str(&format!(", resumed {resume_count} times"));
        }
        self.trace.set_attempt_outcome(&text);
        self.trace.finish(Outcome::Ran);
    }

    /// Returns the bytes to forward for a chunk; `None` if all of it is buffered.
    fn forward_chunk(&mut self, chunk: Bytes) -> Option<Bytes> {
        let chunk = match &mut self.resume {
            Some(resume) => resume.push(&chunk)?,
            None => chunk,
        };
        self.placed.add_chunk(&chunk);
        if let Some(remaining) = &mut self.remaining_bytes {
            *remaining = remaining.saturating_sub(chunk.len() as u64);
            // The body is not polled again after its last byte.
            if *remaining == 0 {
                self.finish(Ending::Answered);
            }
        }
        Some(chunk)
    }

    /// Requests the rest of a response that broke off; returns whether it was requested.
    fn try_resume(&mut self) -> bool {
        let Some(resume) = &mut self.resume else { return false };
        // A complete response is not resumed.
        if self.placed.ended || !self.placed.hub.try_take_retry(resume.pool()) {
            return false;
        }
        let Some(receiver) = resume.request_rest() else { return false };
        self.receiver = receiver;
        true
    }

    /// Aborts the response at the next poll. An error now would make `hyper` discard what it has
    /// not written yet, even the head. While the body is pending, `hyper` writes that first.
    fn abort(&mut self, reason: &str, cx: &Context<'_>) -> Poll<Option<FrameResult>> {
        if self.placed.ended {
            return Poll::Ready(None);
        }
        self.finish(Ending::Failed);
        self.pending_error = Some(io::Error::other(reason.to_owned()));
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Completes the response after the end of the upstream's body.
    fn complete(&mut self) -> Poll<Option<FrameResult>> {
        let partial = self.resume.as_mut().and_then(StreamResume::take_partial);
        if let Some(partial) = partial {
            self.placed.add_chunk(&partial);
            // The next poll finds the channel closed and the response ended.
            self.finish(Ending::Answered);
            return Poll::Ready(Some(Ok(Frame::data(partial))));
        }
        self.finish(Ending::Answered);
        Poll::Ready(None)
    }
}

impl hyper::body::Body for UpstreamBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<FrameResult>> {
        let this = &mut *self;
        if let Some(e) = this.pending_error.take() {
            return Poll::Ready(Some(Err(e)));
        }
        loop {
            let event = match this.receiver.poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(event) => event,
            };
            match event {
                Some(ResponseEvent::Chunk(chunk)) => match this.forward_chunk(chunk) {
                    Some(chunk) => return Poll::Ready(Some(Ok(Frame::data(chunk)))),
                    None => continue,
                },
                Some(ResponseEvent::End) if this.framed => return this.complete(),
                Some(ResponseEvent::End) => {
                    return this.abort(
                        "the response has neither content-length nor transfer-encoding",
                        cx,
                    );
                }
                Some(ResponseEvent::Failed { .. }) if this.try_resume() => continue,
                Some(ResponseEvent::Failed { reason, .. }) => return this.abort(&reason, cx),
                Some(ResponseEvent::Head { status, headers })
                    if this
                        .resume
                        .as_ref()
                        .is_some_and(|r| r.matches_response(status, &headers)) =>
                {
                    this.framed = is_framed(&headers);
                }
                Some(ResponseEvent::Head { .. }) => {
                    return this.abort("the upstream did not resume the response", cx);
                }
                None => return this.abort("the sending thread ended", cx),
            }
        }
    }
}

/// Whether the end of a body can be distinguished from a broken connection.
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

impl Drop for UpstreamBody {
    fn drop(&mut self) {
        self.finish(Ending::Cancelled);
    }
}
