//! Streams: each piece is passed on as it comes; one that breaks off is gone on with at another
//! upstream where the route allows it, and else cut where the caller sees it.

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

use crate::proxy::placed_request::PlacedRequest;
use crate::proxy::request;
use crate::proxy::request::RequestContext;
use crate::proxy::request::UpstreamResponse;
use crate::proxy::response_body::Body;
use crate::proxy::response_body::EventSplitter;
use crate::proxy::routing_table::Repeat;
use crate::proxy::upstream_connections;
use crate::proxy::upstream_connections::UpstreamBody;
use crate::util;

/// Why a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It is whole.
    Whole,
    /// The caller left.
    CallerLeft,
    /// Time is up.
    TimedOut,
    /// The upstream broke it off.
    Broken,
}

impl End {
    fn code(self) -> &'static str {
        match self {
            End::Whole => "whole",
            End::CallerLeft => "caller-left",
            End::TimedOut => "timed-out",
            End::Broken => "broken",
        }
    }
}

/// What an upstream still has to send.
struct Source {
    body: UpstreamBody,
    headers: HeaderMap,
    placed: PlacedRequest,
}

/// Where the next piece comes from.
enum State {
    /// An upstream's answer.
    Passing(Box<Source>),
    /// Another upstream, which goes on with the stream if there is one.
    Resuming(BoxFuture<'static, (Box<RequestContext>, Option<Box<UpstreamResponse>>)>),
    /// Nowhere: the answer is cut, once all that came before has been written.
    Cutting,
    /// Nowhere: the answer has ended.
    Ended,
}

/// The body of a caller's answer. Nothing runs beside it: the caller's connection asks it for the
/// next piece, and it asks the upstream's. It is dropped when the caller leaves.
struct StreamRelay {
    /// The request; a resumption has it meanwhile.
    run: Option<Box<RequestContext>>,
    state: State,
    events: EventSplitter,
    /// Whether the request's first piece has come.
    begun: bool,
    /// Pieces of this upstream's answer so far.
    pieces: u32,
    timed_out: BoxFuture<'static, ()>,
    /// Runs while pieces are held.
    held: Option<Pin<Box<Sleep>>>,
    /// Whether a piece was passed on since pieces were held last.
    has_passed: bool,
}

/// Answers with the stream that begins with `reply`.
pub fn start(run: RequestContext, reply: UpstreamResponse) -> Response<Body> {
    let status = reply.resp.status();
    let headers = run.hub.header_adapter().caller_headers(reply.resp.headers());
    let pump = StreamRelay {
        timed_out: run.hub.clock().clone().sleep_until(run.deadline).boxed(),
        run: Some(Box::new(run)),
        state: passing(reply),
        events: EventSplitter::default(),
        begun: false,
        pieces: 0,
        held: None,
        has_passed: false,
    };
    request::respond(status, headers, pump.boxed_unsync())
}

fn passing(reply: UpstreamResponse) -> State {
    let UpstreamResponse { resp, placed } = reply;
    let (head, body) = resp.into_parts();
    State::Passing(Box::new(Source { body, headers: head.headers, placed }))
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
                State::Passing(_) => {
                    let Poll::Ready(frame) = self.poll_source(cx) else {
                        ready!(self.timed_out.as_mut().poll(cx));
                        self.cut(End::TimedOut, cx);
                        return Poll::Pending;
                    };
                    let next = match frame {
                        Some(Ok(frame)) => self.piece(frame.into_data().unwrap_or_default()),
                        Some(Err(e)) => {
                            self.broke_off(&e);
                            continue;
                        }
                        None => Some(self.finish()).filter(|rest| !rest.is_empty()),
                    };
                    if let Some(piece) = next {
                        self.has_passed = true;
                        return Poll::Ready(Some(Ok(Frame::data(piece))));
                    }
                }
                State::Resuming(resuming) => {
                    let (run, reply) = ready!(resuming.as_mut().poll(cx));
                    self.run = Some(run);
                    match reply {
                        Some(reply) => {
                            self.pieces = 0;
                            self.state = passing(*reply);
                        }
                        None => {
                            self.cut(End::Broken, cx);
                            return Poll::Pending;
                        }
                    }
                }
                State::Cutting => {
                    self.state = State::Ended;
                    let cut = io::Error::from(io::ErrorKind::ConnectionAborted);
                    return Poll::Ready(Some(Err(cut)));
                }
                State::Ended => return Poll::Ready(None),
            }
        }
    }
}

impl StreamRelay {
    /// The next piece of the upstream's answer. On a busy box what follows a piece is left with the kernel for a
    /// moment, so that several come with one call and go with one.
    fn poll_source(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, upstream_connections::Error>>> {
        if let Some(held) = &mut self.held {
            ready!(held.as_mut().poll(cx));
            self.held = None;
        }
        let State::Passing(source) = &mut self.state else { return Poll::Pending };
        let until = match (&self.run, self.has_passed) {
            (Some(run), true) => run.hub.coalesce_until(),
            _ => None,
        };
        let Some(until) = until else { return Pin::new(&mut source.body).poll_frame(cx) };
        // Nobody is woken by what comes meanwhile. The connection may need a second look: the first one says
        // that its bytes are wanted.
        let mut asleep = Context::from_waker(Waker::noop());
        for _ in 0..2 {
            if let Poll::Ready(frame) = Pin::new(&mut source.body).poll_frame(&mut asleep) {
                return Poll::Ready(frame);
            }
        }
        self.has_passed = false;
        let held = self.held.insert(Box::pin(tokio::time::sleep_until(until)));
        match held.as_mut().poll(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(()) => {
                self.held = None;
                Pin::new(&mut source.body).poll_frame(cx)
            }
        }
    }

    /// Takes in a piece; gives what may be passed on now: whole events where the stream may have to
    /// be gone on with.
    fn piece(&mut self, piece: Bytes) -> Option<Bytes> {
        let (Some(run), State::Passing(source)) = (&mut self.run, &self.state) else {
            return None;
        };
        if piece.is_empty() {
            return None;
        }
        self.begun = true;
        self.pieces += 1;
        if let Some(first) = source.placed.record_first_token() {
            run.first_token.get_or_insert(first);
        }
        if run.route.repeat != Repeat::AfterEvent {
            return Some(piece);
        }
        Some(self.events.push(&piece)).filter(|events| !events.is_empty())
    }

    /// Ends a stream that came whole; gives what has not been passed on yet.
    fn finish(&mut self) -> Bytes {
        if let State::Passing(source) = std::mem::replace(&mut self.state, State::Ended) {
            let Source { body, headers, placed } = *source;
            body.keep(&headers);
            placed.record_pace(self.pieces);
            placed.close(None);
            self.run.iter().for_each(|run| run.record_success());
        }
        self.log_end(End::Whole);
        self.events.take_partial()
    }

    /// Goes on with the stream elsewhere, or cuts it.
    fn broke_off(&mut self, e: &upstream_connections::Error) {
        let Some(mut run) = self.run.take() else { return };
        if let State::Passing(source) = std::mem::replace(&mut self.state, State::Ended) {
            info!(run.hub.log(), "broke off"; "id" => &run.head.id,
                "content" => %run.fingerprint(), "upstream" => source.placed.upstream().as_str(), "error" => util::with_causes(e),
                "begun" => self.begun, "last_event" => self.events.last_id());
            run.record_break(source.placed, matches!(e, upstream_connections::Error::Restarted));
        }
        // The part of an event that came is sent again by the next upstream.
        let _ = self.events.take_partial();
        let after = self.events.last_id();
        self.state = State::Resuming(Box::pin(async move {
            let timed_out = run.hub.clock().clone().sleep_until(run.deadline);
            let reply = tokio::select! {
                biased;
                reply = run.resume(after) => reply,
                () = timed_out => None,
            };
            if let Some(reply) = &reply {
                info!(run.hub.log(), "resumed"; "id" => &run.head.id, "after" => after,
                    "upstream" => reply.placed.upstream().as_str());
            }
            (run, reply)
        }));
    }

    /// Cuts the answer so that it doesn't look whole, when it is asked for the next piece; what is
    /// before the cut is written first.
    fn cut(&mut self, end: End, cx: &mut Context<'_>) {
        self.state = State::Cutting;
        self.log_end(end);
        cx.waker().wake_by_ref();
    }

    fn log_end(&mut self, end: End) {
        // Only once: the request isn't counted any more.
        if let Some(run) = self.run.take() {
            run.log_end(StatusCode::OK, end.code());
        }
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        let late = self.run.as_ref().is_some_and(|run| run.deadline <= run.hub.now());
        self.log_end(if late { End::TimedOut } else { End::CallerLeft });
    }
}
