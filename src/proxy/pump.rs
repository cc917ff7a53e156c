//! Streams: each piece is passed on as it comes; one that breaks off is gone on with at another
//! upstream where the route allows it, and else cut where the caller sees it.

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use slog::info;

use crate::placement::fleet::Health;
use crate::proxy::link;
use crate::proxy::link::Lease;
use crate::proxy::placed::Placed;
use crate::proxy::request;
use crate::proxy::request::Reply;
use crate::proxy::request::Run;
use crate::proxy::stream;
use crate::proxy::stream::Body;
use crate::proxy::stream::Events;
use crate::proxy::stream::Sender;
use crate::proxy::table::Repeat;
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

struct Pump {
    run: Run,
    tx: Sender,
    events: Events,
    /// Whether the request's first piece has come.
    begun: bool,
}

/// Answers with the stream that begins with `reply`.
pub async fn start(run: Run, reply: Reply) -> Response<Body> {
    let status = reply.resp.status();
    let headers = run.hub.dialect().incoming(reply.resp.headers());
    let (tx, body) = stream::piped();
    let pump = Pump { run, tx, events: Events::default(), begun: false };
    tokio::spawn(pump.go(reply));
    request::respond(status, headers, body)
}

impl Pump {
    async fn go(mut self, reply: Reply) {
        let mut reply = reply;
        loop {
            let Reply { resp, lease, placed } = reply;
            let keep = link::keep_alive(resp.headers());
            let end = self.pass_on(resp.into_body(), &placed).await;
            if end == End::Whole {
                lease.keep(keep);
                placed.close(None);
                self.finish(end).await;
                return;
            }
            if end == End::Broken {
                self.run.hub.unreachable(placed.upstream());
            }
            placed.close((end == End::Broken).then_some(Health::Broken));
            close(lease);
            let next = if end == End::Broken { self.resume().await } else { None };
            let Some(next) = next else {
                self.tx.cut().await;
                self.finish(end).await;
                return;
            };
            reply = next;
        }
    }

    async fn resume(&mut self) -> Option<Reply> {
        // The part of an event that came is sent again by the next upstream.
        let _ = self.events.take_part();
        let after = self.events.last_id();
        let next = tokio::time::timeout_at(self.run.deadline, self.run.resume(after)).await;
        let next = *next.ok()??;
        info!(self.run.hub.log(), "resumed"; "id" => &self.run.head.id, "after" => after,
            "upstream" => next.placed.upstream().as_str());
        Some(next)
    }

    /// Passes pieces on until the stream ends.
    async fn pass_on(&mut self, mut body: Incoming, placed: &Placed) -> End {
        // Made once: a stream has many pieces, and each would register them anew.
        let timed_out = tokio::time::sleep_until(self.run.deadline);
        tokio::pin!(timed_out);
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = self.tx.closed() => return End::CallerLeft,
                () = &mut timed_out => return End::TimedOut,
            };
            let piece = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(e)) => {
                    info!(self.run.hub.log(), "broke off"; "id" => &self.run.head.id,
                        "upstream" => placed.upstream().as_str(), "error" => util::with_causes(&e),
                        "begun" => self.begun, "last_event" => self.events.last_id());
                    return End::Broken;
                }
                None => return self.pass_rest().await,
            };
            if piece.is_empty() {
                continue;
            }
            if !self.begun {
                self.begun = true;
                self.run.hub.metrics().first_token(placed, self.run.arrived.elapsed());
            }
            placed.first();
            let piece = self.whole_events(piece);
            if !piece.is_empty() && !self.send(piece).await {
                return End::CallerLeft;
            }
        }
    }

    /// What may be passed on now: whole events where the stream may have to be gone on with.
    fn whole_events(&mut self, piece: Bytes) -> Bytes {
        if self.run.route.repeat == Repeat::AfterEvent { self.events.push(&piece) } else { piece }
    }

    async fn pass_rest(&mut self) -> End {
        let rest = self.events.take_part();
        if rest.is_empty() || self.send(rest).await { End::Whole } else { End::CallerLeft }
    }

    async fn send(&self, piece: Bytes) -> bool {
        let piece = match self.tx.try_send(piece) {
            Ok(()) => return true,
            Err(piece) => piece,
        };
        tokio::select! {
            sent = self.tx.send(piece) => sent,
            () = tokio::time::sleep_until(self.run.deadline) => false,
        }
    }

    async fn finish(self, end: End) {
        self.run.log_end(StatusCode::OK, end.code());
    }
}

/// Closes a connection, so that its upstream stops working on the request.
fn close(lease: Lease) {
    drop(lease);
}
