//! One caller's request: found its route, placed, sent, and sent again where that is safe.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_ENCODING;
use http::header::CONTENT_LENGTH;
use http::request;
use http_body_util::Full;
use hyper::body::Incoming;
use slog::info;
use tokio::time::Instant;

use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::fingerprint::RequestContent;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::VersionName;
use crate::names::WorkspaceName;
use crate::placement::choice::Choice;
use crate::placement::upstream::Health;
use crate::proxy::adapter::RequestHead;
use crate::proxy::adapter::UpstreamRequestInfo;
use crate::proxy::adapter::Verdict;
use crate::proxy::admission;
use crate::proxy::hub::Hub;
use crate::proxy::notices;
use crate::proxy::notices::ReceivedNotice;
use crate::proxy::placed_request::CountGuard;
use crate::proxy::placed_request::FirstTokenTiming;
use crate::proxy::placed_request::PlacedRequest;
use crate::proxy::reachability;
use crate::proxy::refusal;
use crate::proxy::refusal::Refusal;
use crate::proxy::response_body;
use crate::proxy::response_body::Body;
use crate::proxy::routing_table::Repeat;
use crate::proxy::routing_table::Route;
use crate::proxy::stream_relay;
use crate::proxy::suspects;
use crate::proxy::suspects::BrokenRequest;
use crate::proxy::upstream_connections;
use crate::proxy::upstream_connections::UpstreamBody;
use crate::proxy::upstream_selection::NO_UPSTREAM_RETRY;
use crate::proxy::upstream_selection::OVERLOAD_RETRY_MIN;
use crate::util;
use crate::web;
use crate::web::BodyFault;

/// Tries that reached no upstream, after which a request is refused.
const UNSENT_MAX: u32 = 4;

/// Sends of one request at most, those that upstreams refused included.
const SENDS_MAX: u32 = 4;

/// Boxes hear within this time that a request broke off with its upstream: a connection that is refused, and a datagram
/// within a region, at boxes that aren't busy.
const TOLD_WITHIN: Duration = Duration::from_millis(10);

/// Longest answer of a plain service that is held until it is whole.
const WHOLE_MAX: usize = 4 << 20;

/// A request with all that is known of it.
pub struct RequestContext {
    /// The process.
    pub hub: Arc<Hub>,
    /// What the caller's head says.
    pub head: RequestHead,
    /// The caller's head itself.
    pub parts: request::Parts,
    /// The route.
    pub route: Route,
    /// The service that the route's split gave it.
    pub service: ServiceName,
    /// Connections that one of the service's upstreams takes from all boxes.
    pub connections_max: u32,
    /// Whom it is charged to.
    pub workspace: Option<WorkspaceName>,
    /// Its body.
    pub body: Bytes,
    /// What it asks for, once somebody wanted to know.
    pub fingerprint: OnceLock<Fingerprint>,
    /// When its head had come, by the hub's clock.
    pub arrived: Duration,
    /// When it must have ended.
    pub deadline: Duration,
    /// Upstreams that it was sent to, or that could not be reached.
    pub tried: Vec<UpstreamName>,
    /// Sends so far.
    pub sends: u32,
    /// The version of the upstream that began the answer, once one has.
    pub response_version: Option<VersionName>,
    /// Sends that broke off.
    pub broken_sends: u32,
    /// When the first token came, once it has.
    pub first_token: Option<FirstTokenTiming>,
    /// Counts it until all of its answer has been passed on.
    pub in_flight_guard: CountGuard,
    /// The same until it has been sent for the first time.
    pub unsent_guard: Option<CountGuard>,
    /// The same among the streams, if it is one.
    pub stream_guard: Option<CountGuard>,
}

/// What became of one send.
enum Sent {
    /// The answer to pass on.
    Answer(Box<UpstreamResponse>),
    /// It did not reach the upstream.
    Unsent(upstream_connections::Error),
    /// The upstream says that it did not run it.
    NotRun,
    /// It may have run. The answer to pass on if it isn't sent again, if there is one.
    Unsure(Option<Box<UpstreamResponse>>),
}

/// What came of earlier sends of a request.
#[derive(Default)]
struct Earlier {
    may_have_run: bool,
    /// The last answer, which is passed on if no better one comes.
    reply: Option<Box<UpstreamResponse>>,
}

impl Earlier {
    /// How the request ends that is not sent any more, for `cause`: whoever may have run it, it is
    /// not called "not run".
    fn give_up(self, cause: Refusal) -> Result<Box<UpstreamResponse>, Refusal> {
        match self.reply {
            Some(reply) => Ok(reply),
            None if self.may_have_run => Err(Refusal::Broken),
            None => Err(cause),
        }
    }
}

/// An upstream's answer whose body is still to come.
pub struct UpstreamResponse {
    /// The answer; its body closes the connection when it is dropped.
    pub resp: Response<UpstreamBody>,
    /// The request's entry in the models.
    pub placed: PlacedRequest,
}

/// Serves one request.
pub async fn serve(hub: Arc<Hub>, req: Request<Incoming>) -> Response<Body> {
    let arrived = hub.now();
    let (parts, body) = req.into_parts();
    let mut run = match admission::admit(&hub, parts, arrived) {
        Ok(run) => run,
        Err((cause, id)) => return refuse(&hub, &id, cause),
    };
    match admission::read_body(&hub, body, run.deadline).await {
        Ok(body) => run.body = body,
        Err(cause) => return run.refuse(cause),
    }
    if run.route.streaming {
        run.stream_guard = hub.try_track_stream();
        if run.stream_guard.is_none() {
            return run.refuse(Refusal::BoxBusy);
        }
    }
    run.go().await
}

/// Refuses a request of which no more than its id is known.
fn refuse(hub: &Hub, id: &str, cause: Refusal) -> Response<Body> {
    info!(hub.log(), "refused"; "id" => id, "cause" => cause.code(), "version" => hub.version());
    hub.metrics().refused(cause.code());
    refusal::response(cause)
}

impl RequestContext {
    async fn go(mut self) -> Response<Body> {
        let timed_out = self.hub.clock().clone().sleep_until(self.deadline);
        let attempted = tokio::select! {
            biased;
            attempted = self.attempt() => attempted,
            () = timed_out => Err(Refusal::TimedOut),
        };
        match attempted {
            Ok(reply) => self.answer(reply).await,
            Err(cause) => self.refuse(cause),
        }
    }

    /// Time until it must have ended.
    fn left(&self) -> Duration {
        self.deadline.saturating_sub(self.hub.now())
    }

    fn refuse(&self, cause: Refusal) -> Response<Body> {
        let hub = &self.hub;
        info!(hub.log(), "refused"; "id" => &self.head.id, "cause" => cause.code(),
            "route" => &self.route.name,
            "workspace" => self.workspace.as_ref().map(WorkspaceName::as_str),
            "content" => self.fingerprint.get().map(Fingerprint::to_string),
            "version" => hub.version());
        hub.metrics().refused(cause.code());
        if let (Some(workspace), Some(prompt)) = (&self.workspace, &self.head.prompt) {
            hub.metrics().workspace_refused(workspace, prompt.charge(), cause.code());
        }
        refusal::response(cause)
    }

    /// Sends the request until there is an answer to pass on.
    async fn attempt(&mut self) -> Result<Box<UpstreamResponse>, Refusal> {
        let mut unsent = 0;
        let mut earlier = Earlier::default();
        loop {
            // A machine that was suspended finds it over before any timer does.
            if self.left().is_zero() {
                return earlier.give_up(Refusal::TimedOut);
            }
            if let Some(cause) = self.holds_back().await {
                return earlier.give_up(cause);
            }
            let (choice, placed) = match self.place().await {
                Ok(placed) => placed,
                Err(cause) => return earlier.give_up(cause),
            };
            match self.send(&choice, placed, None).await {
                Sent::Answer(reply) => {
                    self.response_version = reply.placed.version().cloned();
                    return Ok(reply);
                }
                Sent::Unsent(e) => {
                    info!(self.hub.log(), "not sent"; "id" => &self.head.id,
                        "upstream" => choice.upstream.as_str(), "error" => util::with_causes(&e));
                    unsent += 1;
                    if UNSENT_MAX <= unsent {
                        let retry_after = self.min_backoff_remaining().unwrap_or(NO_UPSTREAM_RETRY);
                        return earlier.give_up(Refusal::NoUpstream { retry_after });
                    }
                }
                Sent::NotRun => {
                    if !self.try_take_retry() {
                        let retry_after =
                            self.min_backoff_remaining().unwrap_or(OVERLOAD_RETRY_MIN);
                        return earlier.give_up(Refusal::Overloaded { retry_after });
                    }
                }
                Sent::Unsure(reply) => {
                    let repeatable =
                        self.route.repeat != Repeat::Never && self.sends < self.route.max_upstreams;
                    earlier.may_have_run = true;
                    earlier.reply = reply.or(earlier.reply);
                    if !repeatable || !self.try_take_retry() {
                        return earlier.give_up(Refusal::Broken);
                    }
                }
            }
        }
    }

    /// What the request asks for.
    fn content(&self) -> RequestContent<'_> {
        let target = self.parts.uri.path_and_query();
        RequestContent {
            method: self.parts.method.as_str(),
            host: &self.head.host,
            target: target.map_or("/", |target| target.as_str()),
            workspace: self.workspace.as_ref().map(WorkspaceName::as_str),
            body: &self.body,
        }
    }

    /// By what the request is known when it comes again.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| self.content().fingerprint())
    }

    /// Why the request must not be sent: upstreams end by it. Its caller comes again with another id and at any box, so
    /// what counts is the content and what the whole fleet has seen, not the sends of this try. One that has just broken
    /// off waits until other boxes have told of the same request, since it may have run at several upstreams at once.
    async fn holds_back(&self) -> Option<Refusal> {
        let suspects = self.hub.suspects();
        if self.broken_sends != 0 {
            tokio::time::sleep(TOLD_WITHIN).await;
        } else if !self.may_be_known() {
            return None;
        }
        let fingerprint = self.fingerprint();
        let retry_after = suspects::hold_time(&self.hub, &fingerprint);
        let is_doubtful = self.broken_sends != 0
            && suspects.would_reach_crash_limit(&fingerprint, self.hub.now());
        let retry_after = retry_after.or(is_doubtful.then_some(NO_UPSTREAM_RETRY));
        retry_after.map(|retry_after| Refusal::CrashesUpstreams { retry_after })
    }

    /// Whether this may be a request that upstreams have ended under; if not, nothing needs to be worked out.
    fn may_be_known(&self) -> bool {
        let suspects = self.hub.suspects();
        suspects.read(|known| !known.is_empty() && known.may_contain(self.content().quick_hash()))
    }

    /// Notes that the answer broke off, and ends the request's entry in the models. `is_sure` if the upstream has ended.
    pub fn record_break(&mut self, placed: PlacedRequest, is_sure: bool) {
        let upstream = placed.upstream().clone();
        // One that has ended, or leaves, says nothing of its version's answers.
        if !is_sure && self.hub.read(|view| view.fleet().is_open(&upstream)) {
            placed.record_failure();
        }
        let instance = suspects::instance_id(&upstream, placed.started_at_ms());
        self.broken_sends += 1;
        reachability::mark_unreachable(&self.hub, &upstream);
        placed.close(Some(Health::Broken));
        // One that leaves ends by itself.
        if is_sure || self.hub.read(|view| view.fleet().is_open(&upstream)) {
            let fingerprint = self.fingerprint();
            suspects::connection_broken(
                &self.hub,
                BrokenRequest { upstream, instance, fingerprint },
                is_sure,
            );
        }
    }

    /// Notes that the request has ended well.
    pub fn record_success(&self) {
        if self.may_be_known() {
            suspects::request_succeeded(&self.hub, &self.fingerprint());
        }
    }

    /// Whether the request may be sent once more, by number and by the budget.
    pub fn try_take_retry(&self) -> bool {
        self.sends < SENDS_MAX && self.hub.try_take_retry(&self.service)
    }

    /// Sends the request to an upstream, from the event after `resume_after` on if that is given.
    async fn send(
        &mut self,
        choice: &Choice,
        placed: PlacedRequest,
        resume_after: Option<u64>,
    ) -> Sent {
        self.unsent_guard = None;
        self.tried.push(choice.upstream.clone());
        let req = self.request_for(choice, resume_after);
        let began = Instant::now();
        let once = self.route.repeat == Repeat::Never;
        let upstream_connections = self.hub.upstream_connections().clone();
        let connection_quota =
            self.hub.connection_quota(&choice.upstream, self.connections_max, choice.is_counted);
        let withheld = || notices::reason_to_withhold(&self.hub, &placed);
        let answer =
            upstream_connections.send(choice.addr, connection_quota, once, req, withheld).await;
        let mut resp = match answer {
            Ok(resp) => resp,
            Err(e) if e.is_unsent() => {
                match e {
                    upstream_connections::Error::Withheld(reason) => {
                        self.hub.metrics().withheld(reason.code())
                    }
                    // Our own limit says nothing about the upstream.
                    upstream_connections::Error::LimitReached => {}
                    _ => reachability::mark_unreachable(&self.hub, &choice.upstream),
                }
                placed.withdraw(None);
                return Sent::Unsent(e);
            }
            Err(e) => {
                self.sends += 1;
                info!(self.hub.log(), "no answer"; "id" => &self.head.id,
                    "content" => %self.fingerprint(), "upstream" => choice.upstream.as_str(),
                    "error" => util::with_causes(&e));
                self.record_break(placed, matches!(e, upstream_connections::Error::Restarted));
                return Sent::Unsure(None);
            }
        };
        self.sends += 1;
        let status = resp.status();
        let verdict =
            self.hub.header_adapter().check_response(&self.head.id, status, resp.headers());
        if resp.body_mut().prove(verdict.is_authentic(status)) && !verdict.misdirected {
            let (upstream, started_at_ms, sent) =
                (placed.upstream(), placed.started_at_ms(), placed.sent_at());
            let (request, notice) = (&self.head.id, verdict.notice);
            notices::apply(
                &self.hub,
                ReceivedNotice { upstream, started_at_ms, request, sent, notice },
            );
        }
        self.judge(resp, placed, verdict, began)
    }

    fn judge(
        &self,
        resp: Response<UpstreamBody>,
        placed: PlacedRequest,
        verdict: Verdict,
        began: Instant,
    ) -> Sent {
        let status = resp.status();
        if verdict.misdirected || verdict.not_run {
            self.log_answer(&resp, &placed, verdict, "not-run");
            let gone = verdict.misdirected.then_some(Health::Broken);
            placed.withdraw(Some(gone.unwrap_or(Health::Failed)));
            return Sent::NotRun;
        }
        let is_odd = !verdict.matches_request
            || (status.is_success() && !verdict.signed)
            || resp.headers().contains_key(CONTENT_ENCODING);
        if is_odd {
            self.log_answer(&resp, &placed, verdict, "odd");
            placed.record_failure();
            placed.close(Some(Health::Failed));
            return Sent::Unsure(None);
        }
        if is_promise(status) {
            self.log_answer(&resp, &placed, verdict, "unclear");
            // It says "not run" to whoever reads the status, but the upstream doesn't say so.
            placed.close(Some(Health::Failed));
            return Sent::Unsure(None);
        }
        let reply = Box::new(UpstreamResponse { resp, placed });
        if status.is_server_error() {
            self.log_answer(&reply.resp, &reply.placed, verdict, "failed");
            reply.placed.record_health(Health::Failed);
            reply.placed.record_failure();
            return Sent::Unsure(Some(reply));
        }
        reply.placed.record_health(Health::Good(began.elapsed()));
        if self.head.prompt.is_none() {
            reply.placed.record_first_token();
        }
        Sent::Answer(reply)
    }

    /// Logs an answer that isn't simply passed on.
    fn log_answer(
        &self,
        resp: &Response<UpstreamBody>,
        placed: &PlacedRequest,
        verdict: Verdict,
        taken_for: &'static str,
    ) {
        info!(self.hub.log(), "answered"; "id" => &self.head.id,
            "upstream" => placed.upstream().as_str(), "status" => resp.status().as_u16(),
            "taken_for" => taken_for, "own" => verdict.matches_request, "signed" => verdict.signed,
            "try" => self.tried.len());
    }

    /// Sends the rest of a broken stream's request to another upstream.
    pub async fn resume(&mut self, after: Option<u64>) -> Option<Box<UpstreamResponse>> {
        let repeatable =
            self.route.repeat == Repeat::AfterEvent && self.sends < self.route.max_upstreams;
        while repeatable
            && !self.left().is_zero()
            && self.holds_back().await.is_none()
            && self.try_take_retry()
        {
            let (choice, placed) = self.place().await.ok()?;
            match self.send(&choice, placed, after.or(self.head.resume_after)).await {
                Sent::Answer(reply) => return Some(reply),
                Sent::Unsent(_) | Sent::NotRun => {}
                Sent::Unsure(_) => return None,
            }
        }
        None
    }

    fn request_for(&self, choice: &Choice, resume_after: Option<u64>) -> Request<Full<Bytes>> {
        let out = UpstreamRequestInfo {
            upstream: &choice.upstream,
            remaining: self.left(),
            workspace: self.workspace.as_ref().map(WorkspaceName::as_str),
            resume_after,
            copy_from: choice.copy_from,
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.parts.method.clone();
        *req.uri_mut() = self.parts.uri.clone();
        *req.headers_mut() = self.hub.header_adapter().upstream_headers(&self.parts.headers, &out);
        if !self.body.is_empty() {
            req.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(self.body.len()));
        }
        req
    }

    /// Passes an answer on.
    async fn answer(self, reply: Box<UpstreamResponse>) -> Response<Body> {
        if self.route.streaming && reply.resp.status().is_success() {
            return stream_relay::start(self, *reply);
        }
        self.answer_whole(*reply).await
    }

    /// Passes an answer on once it has come whole, so that one that breaks off is never begun.
    async fn answer_whole(mut self, reply: UpstreamResponse) -> Response<Body> {
        let UpstreamResponse { resp, placed } = reply;
        let (head, mut body) = resp.into_parts();
        let left = self.left();
        match web::read_body(&mut body, WHOLE_MAX, left).await {
            Ok(bytes) => {
                body.keep(&head.headers);
                placed.close(None);
                self.record_success();
                self.log_end(head.status, "whole");
                let headers = self.hub.header_adapter().caller_headers(&head.headers);
                respond(head.status, headers, response_body::full(bytes))
            }
            Err(fault) => {
                info!(self.hub.log(), "broke off"; "id" => &self.head.id,
                    "content" => %self.fingerprint(), "upstream" => placed.upstream().as_str(),
                    "error" => %fault);
                match fault {
                    BodyFault::Cut if !self.left().is_zero() => {
                        self.record_break(placed, false);
                    }
                    BodyFault::Cut | BodyFault::TooLong => placed.close(Some(Health::Broken)),
                }
                self.refuse(Refusal::Broken)
            }
        }
    }

    /// Logs the end of a request.
    pub fn log_end(&self, status: StatusCode, outcome: &'static str) {
        let took = self.hub.now().saturating_sub(self.arrived);
        info!(self.hub.log(), "ended"; "id" => &self.head.id, "status" => status.as_u16(),
            "outcome" => outcome, "ms" => took.as_millis() as u64, "sends" => self.sends,
            "first_ms" => self.first_token.map(|f| f.took.as_millis() as u64),
            "first_expected_ms" => self.first_token.map(|f| f.expected.as_millis() as u64));
        self.hub.metrics().ended(&self.route.name, outcome, took);
    }
}

/// An answer to a caller.
pub fn respond(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut resp = Response::new(body);
    *resp.status_mut() = status;
    *resp.headers_mut() = headers;
    resp
}

/// Whether callers read a status as "has not run and never will".
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
