//! Serves one request: waits for a grant, sends the request and forwards the response.

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

use crate::claims::ClaimOutcome;
use crate::claims::Claims;
use crate::claims::IdempotencyKey;
use crate::config::settings::Limits;
use crate::names::BoxName;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::peer::message::Class;
use crate::peer::message::Ending;
use crate::peer::message::Ticket;
use crate::peer::message::TicketId;
use crate::response_status;
use crate::retry_after;
use crate::router::hub::Hub;
use crate::router::refusal::Body;
use crate::router::refusal::OUTCOME;
use crate::router::refusal::Outcome;
use crate::router::refusal::REQUEST_ID;
use crate::router::refusal::RequestError;
use crate::router::response_body;
use crate::router::response_body::PlacedRequest;
use crate::router::response_body::UpstreamBody;
use crate::router::service_request::PREFIX;
use crate::router::service_request::ServiceRequest;
use crate::router::stream_resume::StreamResume;
use crate::router::upstream_sender::ResponseEvent;
use crate::router::upstream_sender::ResponseReceiver;
use crate::router::upstream_sender::SendingThreads;
use crate::router::upstream_sender::UpstreamRequest;
use crate::status::Attempt;
use crate::status::RequestRecord;

/// Most attempts of one request, independent of the retry budget.
const ATTEMPTS_MAX: usize = 3;

/// Headers of an upstream's response that apply to its connection only.
const HOP_BY_HOP: [header::HeaderName; 4] =
    [header::CONNECTION, header::TRANSFER_ENCODING, header::UPGRADE, header::TRAILER];

/// State shared by all requests of the router.
pub struct RouterContext {
    pub hub: Arc<Hub>,
    /// The threads that send requests to upstreams.
    pub sending_threads: SendingThreads,
    /// Limits of the callers' port.
    pub limits: Limits,
    /// Whether this process is about to stop.
    pub stopping: watch::Receiver<bool>,
}

/// Serves a request that was read and validated.
pub async fn serve(
    context: &Arc<RouterContext>,
    request: ServiceRequest,
    body: Bytes,
    trace: RequestTrace,
) -> Result<Response<Body>, RequestError> {
    let mut handler = RequestHandler {
        context: context.clone(),
        request,
        body,
        trace,
        claim: None,
        last_failure: None,
    };
    // If the last attempt wasn't sent but an earlier one may have been, the earlier error holds.
    let result =
        handler.run().await.map_err(|error| match (error.outcome(), handler.last_failure.take()) {
            (Outcome::NotRun, Some(earlier)) => earlier,
            _ => error,
        });
    if let Err(error) = &result {
        handler.trace.finish(error.outcome());
    }
    result
}

struct RequestHandler {
    context: Arc<RouterContext>,
    request: ServiceRequest,
    body: Bytes,
    trace: RequestTrace,
    claim: Option<ClaimGuard>,
    /// The error of the latest attempt of which a byte may have been sent.
    last_failure: Option<RequestError>,
}

/// The result of sending a request.
enum SendOutcome {
    /// The response has begun.
    Responded(Response<Body>),
    /// It failed in a way that allows another attempt.
    Retry(RequestError),
}

impl RequestHandler {
    async fn run(&mut self) -> Result<Response<Body>, RequestError> {
        let deadline = Instant::now() + self.request.deadline;
        self.acquire_claim().await?;
        let mut id = self.trace.first_ticket;
        let mut avoid = None;
        loop {
            let placed = self.wait_for_grant(id, avoid.take(), deadline).await?;
            avoid = Some(placed.upstream.clone());
            let error = match self.send(placed, deadline).await? {
                SendOutcome::Responded(resp) => return Ok(resp),
                SendOutcome::Retry(error) => error,
            };
            if error.outcome() != Outcome::NotRun {
                self.last_failure = Some(error.clone());
            }
            if ATTEMPTS_MAX <= self.trace.attempts.len()
                || !self.context.hub.try_take_retry(&self.request.pool)
            {
                return Err(error);
            }
            id = self.context.hub.new_ticket_id();
        }
    }

    /// Claims the idempotency key of a request that must not be repeated.
    async fn acquire_claim(&mut self) -> Result<(), RequestError> {
        let Some(key) = self.request.idempotency_key else { return Ok(()) };
        let unavailable =
            RequestError::ClaimUnavailable { is_first_attempt: self.request.is_first_attempt };
        let Some(claims) = self.context.hub.claims() else { return Err(unavailable) };
        // A separate task, so that the claim is released if the caller disconnects meanwhile.
        let (tx, rx) = oneshot::channel();
        let task_claims = claims.clone();
        tokio::spawn(async move {
            let result = task_claims.acquire(key, rand::random::<u64>() >> 1).await;
            if let Err(Ok(attempt)) = tx.send(result) {
                task_claims.resolve(key, attempt, false);
            }
        });
        let result = rx.await.unwrap_or(Err(ClaimOutcome::Unavailable));
        let attempt = result.map_err(|outcome| match outcome {
            ClaimOutcome::Ran => RequestError::DuplicateRan,
            ClaimOutcome::HeldByOther => RequestError::DuplicateElsewhere,
            ClaimOutcome::Acquired | ClaimOutcome::Unavailable | ClaimOutcome::Full => unavailable,
        })?;
        self.claim = Some(ClaimGuard { claims: claims.clone(), key, attempt, sent: false });
        Ok(())
    }

    /// Records whether any byte of the request may have been sent, which decides whether its claim
    /// is released.
    fn set_sent(&mut self, sent: bool) {
        if let Some(claim) = &mut self.claim {
            claim.sent = sent;
        }
    }

    /// Submits a ticket and waits for its grant.
    async fn wait_for_grant(
        &mut self,
        id: TicketId,
        avoid: Option<UpstreamName>,
        deadline: Instant,
    ) -> Result<PlacedRequest, RequestError> {
        let hub = &self.context.hub;
        let arrived = Instant::now();
        let rx = hub.submit(self.ticket(id, avoid, deadline))?;
        let mut guard = WaitingGuard { hub: hub.clone(), id, granted: false };
        self.trace.attempts.push(Attempt {
            ticket: id,
            upstream: None,
            waited_ms: 0,
            outcome: "waiting".to_owned(),
        });
        let mut stopping = self.context.stopping.clone();
        let assignment = tokio::select! {
            biased;
            result = rx => match result {
                Ok(result) => result.map_err(RequestError::from),
                Err(_) => Err(RequestError::NotReady),
            },
            _ = tokio::time::sleep_until(deadline) => Err(RequestError::Expired),
            _ = stopping.wait_for(|&s| s) => Err(RequestError::Stopping),
        };
        let waited = arrived.elapsed();
        let attempt = self.trace.attempts.last_mut().expect("pushed above");
        attempt.waited_ms = waited.as_millis() as u64;
        let assignment =
            assignment.inspect_err(|error| attempt.outcome = error.code().to_owned())?;
        guard.granted = true;
        attempt.upstream = Some(assignment.upstream.clone());
        attempt.outcome = "sent".to_owned();
        let class = KeyValue::new("class", class_label(self.request.class));
        hub.metrics().waits.record(waited.as_secs_f64(), &[class]);
        Ok(PlacedRequest::new(hub, id, assignment, &self.request))
    }

    /// Sends the request to its upstream and waits until the response begins.
    async fn send(
        &mut self,
        mut placed: PlacedRequest,
        deadline: Instant,
    ) -> Result<SendOutcome, RequestError> {
        let cfg = self.context.hub.configuration();
        let upstream = cfg.upstream(&placed.upstream);
        // An upstream that began draining after the grant is detected here, right before sending.
        let Some(upstream) = upstream.filter(|u| !u.draining) else {
            placed.finish(Ending::Unused);
            self.set_attempt_outcome("drained");
            return Ok(SendOutcome::Retry(RequestError::Unreachable));
        };
        info!(self.context.hub.log(), "routed";
            "request" => &self.trace.request_id,
            "ticket" => format!("{:016x}", placed.ticket.0),
            "workspace" => %self.request.workspace,
            "service" => %self.request.service,
            "upstream" => %upstream.name,
            "attempt" => self.trace.attempts.len(),
        );
        let upstream_request = UpstreamRequest {
            method: Method::POST,
            addr: upstream.address,
            path: self.request.upstream_path.clone(),
            headers: self.upstream_headers(),
            body: self.body.clone(),
            idle_timeout: self.context.limits.idle_timeout,
        };
        self.set_sent(true);
        let resume = self.stream_resume(&upstream_request);
        let Ok(mut receiver) =
            self.context.sending_threads.send(&self.request.workspace, upstream_request)
        else {
            self.set_sent(false);
            placed.finish(Ending::Unused);
            self.set_attempt_outcome("busy");
            return Err(RequestError::Busy);
        };
        let first = tokio::select! {
            first = receiver.next() => first,
            _ = tokio::time::sleep_until(deadline) => {
                self.set_attempt_outcome("too-late");
                return Err(RequestError::TooLate);
            }
        };
        match first {
            Some(ResponseEvent::Head { status, headers }) => {
                self.start_response(placed, status, headers, receiver, resume)
            }
            Some(ResponseEvent::Failed { sent, reason }) => {
                placed.finish(Ending::Failed);
                self.handle_failure(sent, reason)
            }
            _ => {
                placed.finish(Ending::Failed);
                self.handle_failure(true, "the sending thread ended".to_owned())
            }
        }
    }

    /// Decides whether the request may be retried after a failure before the response.
    fn handle_failure(&mut self, sent: bool, reason: String) -> Result<SendOutcome, RequestError> {
        self.set_attempt_outcome(&reason);
        self.set_sent(sent);
        match (sent, self.request.repeatable) {
            (false, _) => Ok(SendOutcome::Retry(RequestError::Unreachable)),
            (true, true) => Ok(SendOutcome::Retry(RequestError::UpstreamFailed(reason))),
            (true, false) => Err(RequestError::UpstreamFailed(reason)),
        }
    }

    fn start_response(
        &mut self,
        mut placed: PlacedRequest,
        status: StatusCode,
        headers: HeaderMap,
        receiver: ResponseReceiver,
        resume: Option<StreamResume>,
    ) -> Result<SendOutcome, RequestError> {
        let echoed = headers.get(REQUEST_ID).map(HeaderValue::as_bytes);
        if echoed.is_some_and(|id| id != self.trace.request_id.as_bytes()) {
            placed.finish(Ending::Failed);
            return self.handle_failure(true, "the answer belongs to another request".to_owned());
        }
        if !response_status::is_final(status) {
            placed.finish(Ending::Failed);
            let reason = format!("status {status} isn't that of a final response");
            return self.handle_failure(true, reason);
        }
        if status == StatusCode::SERVICE_UNAVAILABLE
            && let Some(backoff) = retry_after::from_headers(&headers, SystemTime::now())
        {
            placed.set_backoff(backoff);
        }
        if self.request.repeatable
            && is_rejection(status)
            && self.trace.attempts.len() < ATTEMPTS_MAX
        {
            placed.finish(Ending::Failed);
            return self.handle_failure(true, format!("the upstream refused with {status}"));
        }
        if let Some(claim) = self.claim.take() {
            claim.claims.resolve(claim.key, claim.attempt, true);
        }
        let length =
            headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
        let framed = response_body::is_framed(&headers);
        let resume = resume.filter(|_| status == StatusCode::OK && is_event_stream(&headers));
        let request_id = self.trace.request_id.clone();
        let trace = self.trace.take();
        let body = UpstreamBody::new(placed, trace, receiver, length, framed, resume);
        let mut resp = Response::new(body.boxed());
        *resp.status_mut() = status;
        *resp.headers_mut() = headers;
        for name in HOP_BY_HOP {
            resp.headers_mut().remove(name);
        }
        resp.headers_mut().insert(OUTCOME, HeaderValue::from_static(Outcome::Ran.as_str()));
        if let Ok(id) = HeaderValue::from_str(&request_id) {
            resp.headers_mut().insert(REQUEST_ID, id);
        }
        Ok(SendOutcome::Responded(resp))
    }

    /// The state to resume the response if it breaks off; `None` if the upstreams don't support it.
    fn stream_resume(&self, upstream_request: &UpstreamRequest) -> Option<StreamResume> {
        let path = self.request.resume_path.as_deref()?;
        let (workspace, pool) = (&self.request.workspace, &self.request.pool);
        let request_id = &self.trace.request_id;
        Some(StreamResume::new(
            &self.context,
            workspace,
            pool,
            request_id,
            upstream_request.clone(),
            path,
        ))
    }

    fn ticket(&self, id: TicketId, avoid: Option<UpstreamName>, deadline: Instant) -> Ticket {
        let remaining = deadline.saturating_duration_since(Instant::now());
        Ticket {
            id,
            router: self.trace.router_name(),
            workspace: self.request.workspace.clone(),
            service: self.request.service.clone(),
            pool: self.request.pool.clone(),
            class: self.request.class,
            deadline_ms: remaining.as_millis() as u64,
            prefix: self.request.prefix_hash,
            avoid,
            forwarded: false,
        }
    }

    fn upstream_headers(&self) -> HeaderMap {
        let mut headers = self.request.forwarded_headers.clone();
        if let Ok(id) = HeaderValue::from_str(&self.trace.request_id) {
            headers.insert(REQUEST_ID, id);
        }
        if self.request.prefix_hash != 0 {
            headers.insert(PREFIX, HeaderValue::from(self.request.prefix_hash));
        }
        headers
    }

    fn set_attempt_outcome(&mut self, outcome: &str) {
        self.trace.set_attempt_outcome(outcome);
    }
}

/// Collects the record of a request, which is added to the history when the request ends.
pub struct RequestTrace {
    hub: Arc<Hub>,
    /// The id that the caller gets.
    pub request_id: String,
    first_ticket: TicketId,
    workspace: WorkspaceName,
    service: ServiceName,
    attempts: Vec<Attempt>,
    arrived: Instant,
}

impl RequestTrace {
    /// Starts at the request's arrival.
    pub fn new(
        hub: &Arc<Hub>,
        request_id: String,
        first_ticket: TicketId,
        request: &ServiceRequest,
    ) -> RequestTrace {
        RequestTrace {
            hub: hub.clone(),
            request_id,
            first_ticket,
            workspace: request.workspace.clone(),
            service: request.service.clone(),
            attempts: Vec::new(),
            arrived: Instant::now(),
        }
    }

    fn router_name(&self) -> BoxName {
        self.hub.read(|node, _| node.identity().name.clone())
    }

    /// Moves the trace to the response body, which records the end.
    fn take(&mut self) -> RequestTrace {
        RequestTrace {
            hub: self.hub.clone(),
            request_id: self.request_id.clone(),
            first_ticket: self.first_ticket,
            workspace: self.workspace.clone(),
            service: self.service.clone(),
            attempts: std::mem::take(&mut self.attempts),
            arrived: self.arrived,
        }
    }

    /// Sets how the last attempt ended, or its current state.
    pub fn set_attempt_outcome(&mut self, outcome: &str) {
        if let Some(attempt) = self.attempts.last_mut() {
            attempt.outcome = outcome.to_owned();
        }
    }

    /// Counts the request as ended and adds it to the history.
    pub fn finish(&mut self, outcome: Outcome) {
        let labels = [
            KeyValue::new("workspace", self.workspace.to_string()),
            KeyValue::new("outcome", outcome.as_str()),
        ];
        self.hub.metrics().requests.add(1, &labels);
        self.hub.history().add_request(RequestRecord {
            request_id: self.request_id.clone(),
            workspace: self.workspace.clone(),
            service: self.service.clone(),
            attempts: std::mem::take(&mut self.attempts),
            outcome: outcome.as_str().to_owned(),
            total_ms: self.arrived.elapsed().as_millis() as u64,
        });
    }
}

/// An idempotency key that this request has claimed. It is released on drop if no byte of the
/// request can have been sent.
struct ClaimGuard {
    claims: Arc<Claims>,
    key: IdempotencyKey,
    attempt: u64,
    sent: bool,
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if !self.sent {
            self.claims.resolve(self.key, self.attempt, false);
        }
    }
}

/// A waiting request. If dropped before its grant, it withdraws its ticket.
struct WaitingGuard {
    hub: Arc<Hub>,
    id: TicketId,
    granted: bool,
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        if self.granted {
            return;
        }
        if !self.hub.withdraw(self.id) {
            // The grant has arrived in the meantime.
            self.hub.finish(self.id, 0, Ending::Unused);
        }
    }
}

/// Whether an upstream's status means that it didn't accept the request.
fn is_rejection(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(header::CONTENT_TYPE).map(HeaderValue::as_bytes);
    kind.is_some_and(|kind| kind.starts_with(b"text/event-stream"))
}

fn class_label(class: Class) -> &'static str {
    match class {
        Class::Urgent => "urgent",
        Class::Normal => "normal",
        Class::Background => "background",
    }
}
