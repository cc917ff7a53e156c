//! The life of one request: wait for a grant, send, and pass the answer on.

use std::sync::Arc;
use std::time::SystemTime;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use opentelemetry::KeyValue;
use slog::info;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::claims::Claims;
use crate::claims::Key;
use crate::claims::Verdict;
use crate::config::settings::Limits;
use crate::names::BoxName;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::peer::message::Class;
use crate::peer::message::Ending;
use crate::peer::message::Ticket;
use crate::peer::message::TicketId;
use crate::retry_after;
use crate::router::hub::Hub;
use crate::router::refusal::Body;
use crate::router::refusal::Cause;
use crate::router::refusal::OUTCOME;
use crate::router::refusal::Outcome;
use crate::router::refusal::REQUEST_ID;
use crate::router::response_body;
use crate::router::response_body::Answer;
use crate::router::response_body::Placed;
use crate::router::service_request::PREFIX;
use crate::router::service_request::ServiceRequest;
use crate::router::stream_resume::Resume;
use crate::router::upstream_sender::Event;
use crate::router::upstream_sender::Incoming;
use crate::router::upstream_sender::Outgoing;
use crate::router::upstream_sender::Senders;
use crate::status::Attempt;
use crate::status::RequestRecord;

/// Tries of one request, however much the retry budget holds.
const TRIES_MAX: usize = 3;

/// Headers of an upstream's answer that concern its own connection only.
const HOP_BY_HOP: [header::HeaderName; 4] =
    [header::CONNECTION, header::TRANSFER_ENCODING, header::UPGRADE, header::TRAILER];

/// What serving a request needs.
pub struct Service {
    /// The node.
    pub hub: Arc<Hub>,
    /// Threads to upstreams.
    pub senders: Senders,
    /// Limits of the callers' port.
    pub limits: Limits,
    /// Whether this process is about to stop.
    pub stopping: watch::Receiver<bool>,
}

/// Serves a request that was read and checked.
pub async fn serve(
    service: &Arc<Service>,
    ask: ServiceRequest,
    body: Bytes,
    tale: Tale,
) -> Result<Response<Body>, Cause> {
    let mut flow = Flow { service: service.clone(), ask, body, tale, claimed: None, failed: None };
    // A request that was sent once doesn't become "not run" because its next try wasn't sent.
    let result = flow.run().await.map_err(|cause| match (cause.outcome(), flow.failed.take()) {
        (Outcome::NotRun, Some(earlier)) => earlier,
        _ => cause,
    });
    if let Err(cause) = &result {
        flow.tale.end(cause.outcome());
    }
    result
}

struct Flow {
    service: Arc<Service>,
    ask: ServiceRequest,
    body: Bytes,
    tale: Tale,
    claimed: Option<Claimed>,
    /// Why the last try failed of which a byte may have left.
    failed: Option<Cause>,
}

/// What sending came to.
enum Sent {
    /// The answer has begun.
    Answered(Response<Body>),
    /// It failed in a way that allows another try.
    Again(Cause),
}

impl Flow {
    async fn run(&mut self) -> Result<Response<Body>, Cause> {
        let deadline = Instant::now() + self.ask.deadline;
        self.claim().await?;
        let mut id = self.tale.first;
        let mut avoid = None;
        loop {
            let placed = self.place(id, avoid.take(), deadline).await?;
            avoid = Some(placed.upstream.clone());
            let cause = match self.send(placed, deadline).await? {
                Sent::Answered(resp) => return Ok(resp),
                Sent::Again(cause) => cause,
            };
            if cause.outcome() != Outcome::NotRun {
                self.failed = Some(cause.clone());
            }
            if TRIES_MAX <= self.tale.attempts.len() || !self.service.hub.may_retry(&self.ask.pool)
            {
                return Err(cause);
            }
            id = self.service.hub.new_ticket_id();
        }
    }

    /// Claims the key of a request that must not be repeated.
    async fn claim(&mut self) -> Result<(), Cause> {
        let Some(key) = self.ask.key else { return Ok(()) };
        let unavailable = Cause::NoClaim { first: self.ask.first };
        let Some(claims) = self.service.hub.claims() else { return Err(unavailable) };
        // Goes on by itself when the caller leaves meanwhile, so that the claim is released.
        let (tx, rx) = oneshot::channel();
        let taker = claims.clone();
        tokio::spawn(async move {
            let result = taker.take(key, rand::random::<u64>() >> 1).await;
            if let Err(Ok(attempt)) = tx.send(result) {
                taker.settle(key, attempt, false);
            }
        });
        let result = rx.await.unwrap_or(Err(Verdict::Unavailable));
        let attempt = result.map_err(|v| match v {
            Verdict::Ran => Cause::DuplicateRan,
            Verdict::Elsewhere => Cause::DuplicateElsewhere,
            Verdict::Taken | Verdict::Unavailable | Verdict::Full => unavailable,
        })?;
        self.claimed = Some(Claimed { claims: claims.clone(), key, attempt, sent: false });
        Ok(())
    }

    /// Notes whether any byte of the request may have left, for the key it holds.
    fn note_sent(&mut self, sent: bool) {
        if let Some(claimed) = &mut self.claimed {
            claimed.sent = sent;
        }
    }

    /// Waits for a grant.
    async fn place(
        &mut self,
        id: TicketId,
        avoid: Option<UpstreamName>,
        deadline: Instant,
    ) -> Result<Placed, Cause> {
        let hub = &self.service.hub;
        let arrived = Instant::now();
        let rx = hub.submit(self.ticket(id, avoid, deadline))?;
        let mut waiting = Waiting { hub: hub.clone(), id, granted: false };
        self.tale.attempts.push(Attempt {
            ticket: id,
            upstream: None,
            waited_ms: 0,
            ending: "waiting".to_owned(),
        });
        let mut stopping = self.service.stopping.clone();
        let start = tokio::select! {
            biased;
            placement = rx => match placement {
                Ok(placement) => placement.map_err(Cause::from),
                Err(_) => Err(Cause::NotReady),
            },
            _ = tokio::time::sleep_until(deadline) => Err(Cause::Expired),
            _ = stopping.wait_for(|&s| s) => Err(Cause::Stopping),
        };
        let waited = arrived.elapsed();
        let attempt = self.tale.attempts.last_mut().expect("pushed above");
        attempt.waited_ms = waited.as_millis() as u64;
        let start = start.inspect_err(|cause| attempt.ending = cause.code().to_owned())?;
        waiting.granted = true;
        attempt.upstream = Some(start.upstream.clone());
        attempt.ending = "sent".to_owned();
        let class = KeyValue::new("class", class_name(self.ask.class));
        hub.metrics().waits.record(waited.as_secs_f64(), &[class]);
        Ok(Placed::new(hub, id, start, &self.ask))
    }

    /// Sends the request where it was placed, and waits until the answer begins.
    async fn send(&mut self, mut placed: Placed, deadline: Instant) -> Result<Sent, Cause> {
        let cfg = self.service.hub.configuration();
        let upstream = cfg.upstream(&placed.upstream);
        // The last word on an upstream that leaves is had here, right before sending.
        let Some(upstream) = upstream.filter(|u| !u.draining) else {
            placed.end(Ending::Unused);
            self.note_ending("drained");
            return Ok(Sent::Again(Cause::Unreachable));
        };
        info!(self.service.hub.log(), "routed";
            "request" => &self.tale.request,
            "ticket" => format!("{:016x}", placed.id.0),
            "workspace" => %self.ask.workspace,
            "service" => %self.ask.service,
            "upstream" => %upstream.name,
            "attempt" => self.tale.attempts.len(),
        );
        let outgoing = Outgoing {
            method: Method::POST,
            addr: upstream.address,
            path: self.ask.path.clone(),
            headers: self.outgoing_headers(),
            body: self.body.clone(),
            idle_timeout: self.service.limits.idle_timeout,
        };
        self.note_sent(true);
        let resume = self.resume(&outgoing);
        let Ok(mut incoming) = self.service.senders.send(&self.ask.workspace, outgoing) else {
            self.note_sent(false);
            placed.end(Ending::Unused);
            self.note_ending("busy");
            return Err(Cause::Busy);
        };
        let first = tokio::select! {
            first = incoming.next() => first,
            _ = tokio::time::sleep_until(deadline) => {
                self.note_ending("too-late");
                return Err(Cause::TooLate);
            }
        };
        match first {
            Some(Event::Head { status, headers }) => {
                self.answer(placed, status, headers, incoming, resume)
            }
            Some(Event::Failed { sent, reason }) => {
                placed.end(Ending::Failed);
                self.failed(sent, reason)
            }
            _ => {
                placed.end(Ending::Failed);
                self.failed(true, "the sending thread ended".to_owned())
            }
        }
    }

    /// Decides what a failure before the answer means.
    fn failed(&mut self, sent: bool, reason: String) -> Result<Sent, Cause> {
        self.note_ending(&reason);
        self.note_sent(sent);
        match (sent, self.ask.repeatable) {
            (false, _) => Ok(Sent::Again(Cause::Unreachable)),
            (true, true) => Ok(Sent::Again(Cause::UpstreamFailed(reason))),
            (true, false) => Err(Cause::UpstreamFailed(reason)),
        }
    }

    fn answer(
        &mut self,
        mut placed: Placed,
        status: StatusCode,
        headers: HeaderMap,
        incoming: Incoming,
        resume: Option<Resume>,
    ) -> Result<Sent, Cause> {
        let echoed = headers.get(REQUEST_ID).map(HeaderValue::as_bytes);
        if echoed.is_some_and(|id| id != self.tale.request.as_bytes()) {
            placed.end(Ending::Failed);
            return self.failed(true, "the answer belongs to another request".to_owned());
        }
        if status == StatusCode::SERVICE_UNAVAILABLE
            && let Some(backoff) = retry_after::read(&headers, SystemTime::now())
        {
            placed.back_off(backoff);
        }
        if self.ask.repeatable && is_refusal(status) && self.tale.attempts.len() < TRIES_MAX {
            placed.end(Ending::Failed);
            return self.failed(true, format!("the upstream refused with {status}"));
        }
        if let Some(claimed) = self.claimed.take() {
            claimed.claims.settle(claimed.key, claimed.attempt, true);
        }
        let length =
            headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
        let framed = response_body::is_framed(&headers);
        let resume = resume.filter(|_| status == StatusCode::OK && is_event_stream(&headers));
        let request = self.tale.request.clone();
        let tale = self.tale.take();
        let answer = Answer::new(placed, tale, incoming, length, framed, resume);
        let mut resp = Response::new(answer.boxed());
        *resp.status_mut() = status;
        *resp.headers_mut() = headers;
        for name in HOP_BY_HOP {
            resp.headers_mut().remove(name);
        }
        resp.headers_mut().insert(OUTCOME, HeaderValue::from_static(Outcome::Ran.as_str()));
        if let Ok(id) = HeaderValue::from_str(&request) {
            resp.headers_mut().insert(REQUEST_ID, id);
        }
        Ok(Sent::Answered(resp))
    }

    /// How to go on with the answer if it is cut, where the service's upstreams can.
    fn resume(&self, outgoing: &Outgoing) -> Option<Resume> {
        let path = self.ask.resume.as_deref()?;
        let (workspace, pool) = (&self.ask.workspace, &self.ask.pool);
        let request = &self.tale.request;
        Some(Resume::new(&self.service, workspace, pool, request, outgoing.clone(), path))
    }

    fn ticket(&self, id: TicketId, avoid: Option<UpstreamName>, deadline: Instant) -> Ticket {
        let left = deadline.saturating_duration_since(Instant::now());
        Ticket {
            id,
            router: self.tale.router(),
            workspace: self.ask.workspace.clone(),
            service: self.ask.service.clone(),
            pool: self.ask.pool.clone(),
            class: self.ask.class,
            deadline_ms: left.as_millis() as u64,
            prefix: self.ask.prefix,
            avoid,
            forwarded: false,
        }
    }

    fn outgoing_headers(&self) -> HeaderMap {
        let mut headers = self.ask.headers.clone();
        if let Ok(id) = HeaderValue::from_str(&self.tale.request) {
            headers.insert(REQUEST_ID, id);
        }
        if self.ask.prefix != 0 {
            headers.insert(PREFIX, HeaderValue::from(self.ask.prefix));
        }
        headers
    }

    fn note_ending(&mut self, ending: &str) {
        self.tale.note_ending(ending);
    }
}

/// What is remembered of a request, to be told when it has ended.
pub struct Tale {
    hub: Arc<Hub>,
    /// The request's id, as the caller is told.
    pub request: String,
    first: TicketId,
    workspace: WorkspaceName,
    service: ServiceName,
    attempts: Vec<Attempt>,
    arrived: Instant,
}

impl Tale {
    /// Begins with the request's arrival.
    pub fn new(hub: &Arc<Hub>, request: String, first: TicketId, ask: &ServiceRequest) -> Tale {
        Tale {
            hub: hub.clone(),
            request,
            first,
            workspace: ask.workspace.clone(),
            service: ask.service.clone(),
            attempts: Vec::new(),
            arrived: Instant::now(),
        }
    }

    fn router(&self) -> BoxName {
        self.hub.read(|node, _| node.identity().name.clone())
    }

    /// Moves the tale on to who tells its end.
    fn take(&mut self) -> Tale {
        Tale {
            hub: self.hub.clone(),
            request: self.request.clone(),
            first: self.first,
            workspace: self.workspace.clone(),
            service: self.service.clone(),
            attempts: std::mem::take(&mut self.attempts),
            arrived: self.arrived,
        }
    }

    /// Notes how the last attempt ended, or goes on.
    pub fn note_ending(&mut self, ending: &str) {
        if let Some(attempt) = self.attempts.last_mut() {
            attempt.ending = ending.to_owned();
        }
    }

    /// Counts the request as ended, and remembers it to be asked about.
    pub fn end(&mut self, outcome: Outcome) {
        let labels = [
            KeyValue::new("workspace", self.workspace.to_string()),
            KeyValue::new("outcome", outcome.as_str()),
        ];
        self.hub.metrics().requests.add(1, &labels);
        self.hub.records().ended(RequestRecord {
            request: self.request.clone(),
            workspace: self.workspace.clone(),
            service: self.service.clone(),
            attempts: std::mem::take(&mut self.attempts),
            outcome: outcome.as_str().to_owned(),
            total_ms: self.arrived.elapsed().as_millis() as u64,
        });
    }
}

/// A key that this request holds. Dropped before any byte of the request has left, it is released.
struct Claimed {
    claims: Arc<Claims>,
    key: Key,
    attempt: u64,
    sent: bool,
}

impl Drop for Claimed {
    fn drop(&mut self) {
        if !self.sent {
            self.claims.settle(self.key, self.attempt, false);
        }
    }
}

/// A request that waits. Dropped before its grant, it takes its ticket back.
struct Waiting {
    hub: Arc<Hub>,
    id: TicketId,
    granted: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.granted {
            return;
        }
        if !self.hub.withdraw(self.id) {
            // The grant came at this very moment.
            self.hub.finish(self.id, 0, Ending::Unused);
        }
    }
}

/// Whether an upstream says that it didn't take the request on.
fn is_refusal(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(header::CONTENT_TYPE).map(HeaderValue::as_bytes);
    kind.is_some_and(|kind| kind.starts_with(b"text/event-stream"))
}

fn class_name(class: Class) -> &'static str {
    match class {
        Class::Urgent => "urgent",
        Class::Normal => "normal",
        Class::Background => "background",
    }
}
