//! Passing an answer on: counts its cost, cuts it where the upstream does, or has the upstream go on
//! with it.

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
use crate::router::hub::Hub;
use crate::router::hub::Start;
use crate::router::refusal::Outcome;
use crate::router::request_handler::Tale;
use crate::router::service_request::ServiceRequest;
use crate::router::stream_resume::Resume;
use crate::router::upstream_sender::Event;
use crate::router::upstream_sender::Incoming;

/// A request that has its grant. Dropped before its end, it counts as cancelled.
pub struct Placed {
    hub: Arc<Hub>,
    /// Its ticket.
    pub id: TicketId,
    /// Where it goes.
    pub upstream: UpstreamName,
    /// The cost at which the node is told of it next.
    next_report: u64,
    meter: Box<dyn CostMeter>,
    labels: [KeyValue; 2],
    /// The backoff that the upstream asks for.
    backoff: Option<Duration>,
    ended: bool,
}

impl Placed {
    /// A request that was placed just now.
    pub fn new(hub: &Arc<Hub>, id: TicketId, start: Start, ask: &ServiceRequest) -> Placed {
        Placed {
            hub: hub.clone(),
            id,
            upstream: start.upstream,
            next_report: start.cover,
            meter: cost_meter::for_unit(ask.unit),
            labels: [
                KeyValue::new("workspace", ask.workspace.to_string()),
                KeyValue::new("pool", ask.pool.to_string()),
            ],
            backoff: None,
            ended: false,
        }
    }

    /// Notes the backoff that the upstream asks for.
    pub fn back_off(&mut self, length: Duration) {
        self.backoff = Some(length);
    }

    fn piece(&mut self, piece: &[u8]) {
        let cost = self.meter.add_chunk(piece);
        if self.next_report < cost {
            self.next_report = self.hub.produced(self.id, cost);
        }
    }

    /// Tells the dispatcher how it ended, once.
    pub fn end(&mut self, ending: Ending) {
        if self.ended {
            return;
        }
        self.ended = true;
        let cost = if ending == Ending::Unused { 0 } else { self.meter.cost() };
        let backoff_ms = self.backoff.and_then(|d| u32::try_from(d.as_millis()).ok());
        self.hub.finish(self.id, cost, backoff_ms.map_or(ending, Ending::Backoff));
        self.hub.metrics().service.add(cost, &self.labels);
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.end(Ending::Cancelled);
    }
}

/// The body of an answer, as it comes from the upstream.
pub struct Answer {
    placed: Placed,
    tale: Tale,
    incoming: Incoming,
    /// Bytes still to come, where the upstream has told the length.
    left: Option<u64>,
    /// Whether the upstream's end of the body can be told from a cut.
    framed: bool,
    /// How to go on after a cut, where the upstream can.
    resume: Option<Resume>,
    /// Why the answer is about to be cut.
    cutting: Option<io::Error>,
}

type FrameResult = Result<Frame<Bytes>, io::Error>;

impl Answer {
    /// An answer whose head has come. Its body has `length` bytes where that is known; without it,
    /// only a `framed` one has an end that can be told from a cut.
    pub fn new(
        placed: Placed,
        tale: Tale,
        incoming: Incoming,
        length: Option<u64>,
        framed: bool,
        resume: Option<Resume>,
    ) -> Answer {
        let mut answer =
            Answer { placed, tale, incoming, left: length, framed, resume, cutting: None };
        if length == Some(0) {
            answer.end(Ending::Answered);
        }
        answer
    }

    fn end(&mut self, ending: Ending) {
        if self.placed.ended {
            return;
        }
        self.placed.end(ending);
        let resumed = self.resume.as_ref().map_or(0, Resume::times);
        let mut text = format!("{ending:?}").to_lowercase();
        if resumed != 0 {
            text.push_str(&format!(", resumed {resumed} times"));
        }
        self.tale.note_ending(&text);
        self.tale.end(Outcome::Ran);
    }

    /// Passes a piece on; nothing when all of it is kept back for now.
    fn piece(&mut self, piece: Bytes) -> Option<Bytes> {
        let piece = match &mut self.resume {
            Some(resume) => resume.piece(&piece)?,
            None => piece,
        };
        self.placed.piece(&piece);
        if let Some(left) = &mut self.left {
            *left = left.saturating_sub(piece.len() as u64);
            // Nobody asks for more once the last byte is there.
            if *left == 0 {
                self.end(Ending::Answered);
            }
        }
        Some(piece)
    }

    /// Has the upstream go on with an answer that was cut.
    fn go_on(&mut self) -> bool {
        let Some(resume) = &mut self.resume else { return false };
        // A whole answer needs nothing more.
        if self.placed.ended || !self.placed.hub.may_retry(resume.pool()) {
            return false;
        }
        let Some(incoming) = resume.again() else { return false };
        self.incoming = incoming;
        true
    }

    /// Cuts the answer at the next poll. An error now would take along what `hyper` has not yet
    /// passed on: the head, even. While it is told to wait, it does that first.
    fn cut(&mut self, reason: &str, cx: &Context<'_>) -> Poll<Option<FrameResult>> {
        if self.placed.ended {
            return Poll::Ready(None);
        }
        self.end(Ending::Failed);
        self.cutting = Some(io::Error::other(reason.to_owned()));
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// The end of the upstream's body.
    fn whole(&mut self) -> Poll<Option<FrameResult>> {
        let rest = self.resume.as_mut().and_then(Resume::rest);
        if let Some(rest) = rest {
            self.placed.piece(&rest);
            // The next poll finds the channel closed, and the answer ended.
            self.end(Ending::Answered);
            return Poll::Ready(Some(Ok(Frame::data(rest))));
        }
        self.end(Ending::Answered);
        Poll::Ready(None)
    }
}

impl hyper::body::Body for Answer {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<FrameResult>> {
        let this = &mut *self;
        if let Some(e) = this.cutting.take() {
            return Poll::Ready(Some(Err(e)));
        }
        loop {
            let event = match this.incoming.poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(event) => event,
            };
            match event {
                Some(Event::Piece(piece)) => match this.piece(piece) {
                    Some(piece) => return Poll::Ready(Some(Ok(Frame::data(piece)))),
                    None => continue,
                },
                Some(Event::End) if this.framed => return this.whole(),
                Some(Event::End) => {
                    return this.cut("the answer's end can't be told from a cut", cx);
                }
                Some(Event::Failed { .. }) if this.go_on() => continue,
                Some(Event::Failed { reason, .. }) => return this.cut(&reason, cx),
                Some(Event::Head { status, headers })
                    if this.resume.as_ref().is_some_and(|r| r.is_mine(status, &headers)) =>
                {
                    this.framed = is_framed(&headers);
                }
                Some(Event::Head { .. }) => return this.cut("the answer can't be resumed", cx),
                None => return this.cut("the sending thread ended", cx),
            }
        }
    }
}

/// Whether the end of a body can be told from a cut.
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.end(Ending::Cancelled);
    }
}
