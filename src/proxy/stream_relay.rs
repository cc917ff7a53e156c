//! Relays streams to callers chunk by chunk. A stream that breaks off is resumed at another
//! upstream if the route allows it, and otherwise aborted in a way that the caller notices.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::Frame;
use slog::info;
use tokio::time::Sleep;

use crate::names::VersionName;
use crate::proxy::event_id::EventId;
use crate::proxy::event_stream::EventSplitter;
use crate::proxy::event_stream::ResumePoint;
use crate::proxy::placed_request::PlacedRequest;
use crate::proxy::reachability;
use crate::proxy::request;
use crate::proxy::request::RequestContext;
use crate::proxy::request::UpstreamResponse;
use crate::proxy::required_version::OtherVersion;
use crate::proxy::response_body::Body;
use crate::proxy::response_end::EventBoundary;
use crate::proxy::response_end::Framing;
use crate::proxy::response_end::ResponseEnd;
use crate::proxy::routing_table::Repeat;
use crate::proxy::upstream_connections;
use crate::proxy::upstream_connections::UpstreamBody;
use crate::util;

/// Why a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It is complete.
    Whole,
    /// The caller disconnected.
    CallerLeft,
    /// Its deadline has passed.
    TimedOut,
    /// It broke off at the upstream and could not be resumed.
    Broken,
    /// The upstream that resumed it turned out not to have the version that began it.
    OtherVersion,
}

impl End {
    fn code(self) -> &'static str {
        match self {
            End::Whole => "whole",
            End::CallerLeft => "caller-left",
            End::TimedOut => "timed-out",
            End::Broken => "broken",
            End::OtherVersion => "other-version",
        }
    }
}

/// An upstream's response that is being relayed.
struct Source {
    body: UpstreamBody,
    headers: HeaderMap,
    placed: PlacedRequest,
    boundary: EventBoundary,
    /// Whether its first event has been passed on.
    has_passed_event: bool,
}

/// Where the next chunk comes from.
enum State {
    /// An upstream's response.
    Relaying(Box<Source>),
    /// The upstream's response has ended, and is complete unless the upstream has crashed.
    Verifying(Box<PlacedRequest>, BoxFuture<'static, bool>),
    /// Another upstream, if one can resume the stream.
    Resuming(BoxFuture<'static, (Box<RequestContext>, Option<Box<UpstreamResponse>>)>),
    /// Nowhere: the response is aborted once everything before has been written.
    Aborting,
    /// Nowhere: the response has ended.
    Ended,
}

/// The body of a response to a caller. It has no task of its own: the caller's connection polls it,
/// and it polls the upstream's connection. It is dropped when the caller disconnects.
struct StreamRelay {
    /// The request; `None` while a resumption holds it.
    ctx: Option<Box<RequestContext>>,
    state: State,
    events: EventSplitter,
    /// Whether the request's first chunk has arrived.
    has_begun: bool,
    /// Chunks of this upstream's response so far.
    chunks: u32,
    timed_out: BoxFuture<'static, ()>,
    /// Set while chunks are coalesced.
    coalescing: Option<Pin<Box<Sleep>>>,
    /// Whether a chunk was passed on since chunks were last coalesced.
    has_passed: bool,
}

/// Responds to the caller with the stream that begins with `upstream_response`.
pub fn start(ctx: RequestContext, upstream_response: UpstreamResponse) -> Response<Body> {
    let status = upstream_response.resp.status();
    let headers = ctx.hub.header_adapter().caller_headers(upstream_response.resp.headers());
    let relay = StreamRelay {
        timed_out: ctx.hub.clock().clone().sleep_until(ctx.deadline).boxed(),
        ctx: Some(Box::new(ctx)),
        state: relaying(upstream_response),
        events: EventSplitter::default(),
        has_begun: false,
        chunks: 0,
        coalescing: None,
        has_passed: false,
    };
    request::respond(status, headers, relay.boxed_unsync())
}

fn relaying(upstream_response: UpstreamResponse) -> State {
    let UpstreamResponse { resp, placed } = upstream_response;
    let (head, body) = resp.into_parts();
    let (headers, boundary, has_passed_event) = (head.headers, EventBoundary::default(), false);
    State::Relaying(Box::new(Source { body, headers, placed, boundary, has_passed_event }))
}

impl hyper::body::Body for StreamRelay {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        loop {
            match &mut self.state {
                State::Relaying(_) => {
                    let Poll::Ready(frame) = self.poll_source(cx) else {
                        ready!(self.timed_out.as_mut().poll(cx));
                        self.abort(End::TimedOut, cx);
                        return Poll::Pending;
                    };
                    let next = match frame {
                        Some(Ok(frame)) => {
                            let chunk = frame.into_data().unwrap_or_default();
                            let Ok(events) = self.receive_chunk(chunk) else {
                                self.abort(End::OtherVersion, cx);
                                return Poll::Pending;
                            };
                            self.check_event_length();
                            events
                        }
                        Some(Err(e)) => {
                            if let Some(source) = self.take_source() {
                                self.handle_break(source.placed, &e);
                            }
                            continue;
                        }
                        None => self.handle_end(),
                    };
                    if let Some(chunk) = next {
                        self.has_passed = true;
                        return Poll::Ready(Some(Ok(Frame::data(chunk))));
                    }
                }
                State::Verifying(_, has_crashed) => {
                    let has_crashed = ready!(has_crashed.as_mut().poll(cx));
                    let state = std::mem::replace(&mut self.state, State::Ended);
                    let State::Verifying(placed, _) = state else { continue };
                    if has_crashed {
                        self.handle_break(*placed, &upstream_connections::Error::Incomplete);
                    } else {
                        self.finish(*placed);
                    }
                }
                State::Resuming(resuming) => {
                    let (ctx, resumed) = ready!(resuming.as_mut().poll(cx));
                    self.ctx = Some(ctx);
                    match resumed {
                        Some(upstream_response) => {
                            self.chunks = 0;
                            self.state = relaying(*upstream_response);
                        }
                        None => {
                            self.abort(End::Broken, cx);
                            return Poll::Pending;
                        }
                    }
                }
                State::Aborting => {
                    self.state = State::Ended;
                    let aborted = io::Error::from(io::ErrorKind::ConnectionAborted);
                    return Poll::Ready(Some(Err(aborted)));
                }
                State::Ended => return Poll::Ready(None),
            }
        }
    }
}

impl StreamRelay {
    /// Polls for the next chunk of the upstream's response. On a busy box, bytes that follow a
    /// chunk stay in the kernel's buffer for a moment, so that several chunks are received and sent
    /// with one call each.
    fn poll_source(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, upstream_connections::Error>>> {
        if let Some(coalescing) = &mut self.coalescing {
            ready!(coalescing.as_mut().poll(cx));
            self.coalescing = None;
        }
        let State::Relaying(source) = &mut self.state else { return Poll::Pending };
        let until = match (&self.ctx, self.has_passed) {
            (Some(ctx), true) => ctx.hub.coalesce_until(),
            _ => None,
        };
        let Some(until) = until else { return Pin::new(&mut source.body).poll_frame(cx) };
        // Polls without a waker, so that bytes that arrive before `until` wake no task. The
        // connection may need a second poll: the first one makes it read.
        let mut no_wake = Context::from_waker(Waker::noop());
        for _ in 0..2 {
            if let Poll::Ready(frame) = Pin::new(&mut source.body).poll_frame(&mut no_wake) {
                return Poll::Ready(frame);
            }
        }
        self.has_passed = false;
        let coalescing = self.coalescing.insert(Box::pin(tokio::time::sleep_until(until)));
        match coalescing.as_mut().poll(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(()) => {
                self.coalescing = None;
                Pin::new(&mut source.body).poll_frame(cx)
            }
        }
    }

    /// Receives a chunk and returns the bytes to pass on now: only complete events if the stream
    /// may have to be resumed. An error means that the upstream's version isn't the one that began
    /// the stream.
    fn receive_chunk(&mut self, chunk: Bytes) -> Result<Option<Bytes>, OtherVersion> {
        let (Some(ctx), State::Relaying(source)) = (&mut self.ctx, &mut self.state) else {
            return Ok(None);
        };
        if chunk.is_empty() {
            return Ok(None);
        }
        self.has_begun = true;
        self.chunks += 1;
        source.boundary.push(&chunk);
        if let Some(first) = source.placed.record_first_token() {
            ctx.first_token.get_or_insert(first);
        }
        if ctx.route.repeat != Repeat::AfterEvent {
            return Ok(Some(chunk));
        }
        let events = self.events.push(&chunk);
        if events.is_empty() {
            return Ok(None);
        }
        if !std::mem::replace(&mut source.has_passed_event, true) {
            ctx.check_version_of(&source.placed)?;
        }
        Ok(Some(events))
    }

    /// Breaks a response off whose incomplete event is too long.
    fn check_event_length(&mut self) {
        if self.events.is_too_long()
            && let Some(source) = self.take_source()
        {
            self.handle_break(source.placed, &upstream_connections::Error::EventTooLong);
        }
    }

    /// Whether events of this response have been passed on. Known of streams that may be resumed.
    fn has_passed_events(&self) -> bool {
        *self.events.resume_point() != ResumePoint::Start
    }

    /// The last event for logs, if it has an id.
    fn last_event(&self) -> Option<String> {
        self.events.resume_point().event().map(EventId::to_string)
    }

    fn take_source(&mut self) -> Option<Source> {
        match std::mem::replace(&mut self.state, State::Ended) {
            State::Relaying(source) => Some(*source),
            _ => None,
        }
    }

    /// Ends, verifies or resumes the stream after an upstream's response has ended without an error;
    /// returns the bytes of a complete response that have not been passed on yet.
    fn handle_end(&mut self) -> Option<Bytes> {
        let source = self.take_source()?;
        self.log_unusual_end(&source);
        let ctx = self.ctx.as_ref()?;
        let resumes = ctx.head.resume_after.is_some() || self.has_passed_events();
        let end = ResponseEnd::of_stream(source.body.framing(), &source.boundary, resumes);
        let Source { body, headers, placed, .. } = source;
        match end {
            ResponseEnd::Complete => {
                body.keep(&headers);
                self.finish(placed);
                Some(self.events.take_partial()).filter(|rest| !rest.is_empty())
            }
            ResponseEnd::Broken => {
                self.handle_break(placed, &upstream_connections::Error::Incomplete);
                None
            }
            ResponseEnd::CompleteUnlessCrashed => {
                let hub = ctx.hub.clone();
                let has_crashed = reachability::has_crashed(hub, body, ctx.remaining());
                self.state = State::Verifying(Box::new(placed), has_crashed.boxed());
                None
            }
        }
    }

    /// Ends a stream that is complete.
    fn finish(&mut self, placed: PlacedRequest) {
        placed.record_pace(self.chunks);
        placed.close(None);
        let has_output = self.chunks != 0;
        self.ctx.iter().for_each(|ctx| ctx.record_success(has_output));
        self.log_end(End::Whole);
    }

    /// Logs and counts the end of a response that its framing or its last event doesn't show to be
    /// complete.
    fn log_unusual_end(&self, source: &Source) {
        let Some(ctx) = &self.ctx else { return };
        let framing = source.body.framing();
        let is_between_events = source.boundary.is_between_events();
        if framing != Framing::Close && is_between_events {
            return;
        }
        info!(ctx.hub.log(), "unusual end of response"; "id" => &ctx.head.id,
            "upstream" => source.placed.upstream().as_str(), "framing" => framing.code(),
            "between_events" => is_between_events, "chunks" => self.chunks,
            "last_event" => self.last_event());
        ctx.hub.metrics().unusual_end(framing, is_between_events);
    }

    /// Tries to resume a broken stream at another upstream; if that fails, the stream is aborted.
    fn handle_break(&mut self, placed: PlacedRequest, e: &upstream_connections::Error) {
        let Some(mut ctx) = self.ctx.take() else { return };
        info!(ctx.hub.log(), "response broke off"; "id" => &ctx.head.id,
            "content" => %ctx.fingerprint(), "parts" => ctx.parts_label(),
            "upstream" => placed.upstream().as_str(),
            "error" => util::error_chain(e),
            "begun" => self.has_begun, "last_event" => self.last_event(),
            "resumable" => (ctx.route.repeat == Repeat::AfterEvent)
                .then(|| self.events.resume_point().code()));
        ctx.record_break(placed, matches!(e, upstream_connections::Error::Restarted));
        // The next upstream sends the incomplete event again.
        let _ = self.events.take_partial();
        let point = self.events.resume_point().clone();
        if self.has_passed_events() {
            ctx.waiting_since = ctx.hub.now();
        }
        self.state = State::Resuming(Box::pin(async move {
            let timed_out = ctx.hub.clock().clone().sleep_until(ctx.deadline);
            let resumed = tokio::select! {
                biased;
                resumed = ctx.resume(&point) => resumed,
                () = timed_out => None,
            };
            if let Some(resumed) = &resumed {
                let (began_at, version) = (ctx.began_at_version(), resumed.placed.version());
                let (after, after_source) = match (point.event(), &ctx.head.resume_after) {
                    (None, Some(id)) => (Some(id), "caller"),
                    (after, _) => (after, point.code()),
                };
                info!(ctx.hub.log(), "stream resumed"; "id" => &ctx.head.id,
                    "after" => after.map(EventId::to_string), "after_source" => after_source,
                    "upstream" => resumed.placed.upstream().as_str(),
                    "began_at_version" => began_at.map(VersionName::as_str),
                    "upstream_version" => version.map(VersionName::as_str));
                ctx.hub.metrics().stream_resumed(began_at, version);
            }
            (ctx, resumed)
        }));
    }

    /// Aborts the response at the next poll, so that it doesn't look complete; the bytes before are
    /// written first.
    fn abort(&mut self, end: End, cx: &mut Context<'_>) {
        self.state = State::Aborting;
        self.log_end(end);
        cx.waker().wake_by_ref();
    }

    fn log_end(&mut self, end: End) {
        // Taking the context makes sure that the end is logged only once, and no longer counts the
        // request.
        if let Some(ctx) = self.ctx.take() {
            ctx.log_end(StatusCode::OK, end.code());
        }
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        let is_late = self.ctx.as_ref().is_some_and(|ctx| ctx.deadline <= ctx.hub.now());
        self.log_end(if is_late { End::TimedOut } else { End::CallerLeft });
    }
}
