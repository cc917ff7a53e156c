//! Serves one caller's request: admits and places it, sends it, and retries it where that is safe.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::OptionFuture;
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
use crate::fleet::part_quarantine::PartQuarantine;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::placement::choice::Choice;
use crate::placement::upstream::Health;
use crate::placement::upstream::name_hash;
use crate::proxy::adapter::Prompt;
use crate::proxy::adapter::RequestHead;
use crate::proxy::adapter::UpstreamRequestInfo;
use crate::proxy::adapter::Verdict;
use crate::proxy::admission;
use crate::proxy::event_id::EventId;
use crate::proxy::event_stream::ResumePoint;
use crate::proxy::held_bytes::HoldKind;
use crate::proxy::held_tracker::HeldBody;
use crate::proxy::held_tracker::Hold;
use crate::proxy::hub::Hub;
use crate::proxy::notices;
use crate::proxy::notices::ReceivedNotice;
use crate::proxy::notices::WithholdReason;
use crate::proxy::part_suspects;
use crate::proxy::part_suspects::Treatment;
use crate::proxy::placed_request::CountGuard;
use crate::proxy::placed_request::FirstTokenTiming;
use crate::proxy::placed_request::PlacedRequest;
use crate::proxy::reachability;
use crate::proxy::refusal;
use crate::proxy::refusal::Refusal;
use crate::proxy::required_version::RequiredVersion;
use crate::proxy::response_body;
use crate::proxy::response_body::Body;
use crate::proxy::response_check::Meaning;
use crate::proxy::response_check::ResponseHead;
use crate::proxy::response_end::Framing;
use crate::proxy::response_end::ResponseEnd;
use crate::proxy::routing_table::Rank;
use crate::proxy::routing_table::Repeat;
use crate::proxy::routing_table::Route;
use crate::proxy::shutdown::ShutdownPhase;
use crate::proxy::stream_relay;
use crate::proxy::suspects;
use crate::proxy::suspects::BrokenRequest;
use crate::proxy::upstream_connections;
use crate::proxy::upstream_connections::Target;
use crate::proxy::upstream_connections::UpstreamBody;
use crate::proxy::upstream_selection::NO_UPSTREAM_RETRY;
use crate::proxy::upstream_selection::OVERLOAD_RETRY_MIN;
use crate::response_status;
use crate::util;
use crate::web;
use crate::web::BodyError;

/// A request is refused after this many attempts that did not reach an upstream.
const UNSENT_ATTEMPTS_MAX: u32 = 4;

/// Maximum number of sends of one request, including those that upstreams did not run.
const SENDS_MAX: u32 = 4;

/// Time within which boxes that aren't busy learn that a request broke off because its upstream
/// crashed: one box detects it by a refused connection, and notifies the others by a datagram
/// within the region.
const BREAK_REPORT_DELAY: Duration = Duration::from_millis(10);

/// Maximum number of a prompt's parts in a log line.
const LOGGED_PARTS_MAX: usize = 8;

/// Maximum length of a response that is buffered until it is complete.
const BUFFERED_RESPONSE_MAX_BYTES: usize = 4 << 20;

/// A request and everything known about it.
pub struct RequestContext {
    /// The state shared by all requests of the process.
    pub hub: Arc<Hub>,
    /// The parsed head of the request.
    pub head: RequestHead,
    /// The head as received.
    pub parts: request::Parts,
    /// The route.
    pub route: Route,
    /// The service that the route's traffic split selected.
    pub service: ServiceName,
    /// Connections that one of the service's upstreams accepts from all boxes together.
    pub connections_max: u32,
    /// The workspace that it is charged to.
    pub workspace: Option<WorkspaceName>,
    /// Which of several waiting requests goes first.
    pub rank: Rank,
    /// The body.
    pub body: Bytes,
    /// Computed on first use by [`RequestContext::fingerprint`].
    pub fingerprint: OnceLock<Fingerprint>,
    /// When the head arrived, by the hub's clock.
    pub arrived: Duration,
    /// Since when the caller waits for the next event, by the hub's clock: since the request
    /// arrived, or since its stream broke off.
    pub waiting_since: Duration,
    /// When the response must be complete, by the hub's clock.
    pub deadline: Duration,
    /// Upstreams that it was sent to or that could not be reached.
    pub tried: Vec<UpstreamName>,
    /// Sends so far.
    pub sends: u32,
    /// Whether any of it may have been sent to an upstream.
    pub is_sent: Arc<AtomicBool>,
    /// Which version must serve the request.
    pub required_version: RequiredVersion,
    /// Whether the version has been recorded for the boxes that the caller may return to.
    pub is_version_recorded: bool,
    /// Sends that broke off.
    pub broken_sends: u32,
    /// Whether it tries parts of prompts that are withheld.
    pub is_trial: bool,
    /// The expected and the actual time of the first token, once it has arrived.
    pub first_token: Option<FirstTokenTiming>,
    /// Counts the request's body, if such bytes are bounded.
    pub hold: Option<Hold>,
    /// Counts the request until the whole response has been passed on.
    pub in_flight_guard: CountGuard,
    /// Counts the request until it is sent for the first time.
    pub unsent_guard: Option<CountGuard>,
    /// Counts the request as a stream, if it is one.
    pub stream_guard: Option<CountGuard>,
}

/// The outcome of one send.
enum SendOutcome {
    /// The response to pass on.
    Response(Box<UpstreamResponse>),
    /// The request did not reach the upstream.
    NotSent(upstream_connections::Error),
    /// The upstream states that it did not run the request.
    NotRun,
    /// The request may have run. Holds the response to pass on if it isn't retried, if any.
    MayHaveRun(Option<Box<UpstreamResponse>>),
}

/// The outcome of earlier sends of a request.
#[derive(Default)]
struct EarlierSends {
    may_have_run: bool,
    /// The last response, which is passed on if no better one arrives.
    response: Option<Box<UpstreamResponse>>,
}

impl EarlierSends {
    /// The result of a request that is not sent again because of `cause`. A request that may have
    /// run never gets a refusal that says "not run".
    fn give_up(self, cause: Refusal) -> Result<Box<UpstreamResponse>, Refusal> {
        match self.response {
            Some(response) => Ok(response),
            None if self.may_have_run => Err(Refusal::Broken),
            None => Err(cause),
        }
    }
}

/// An upstream's response whose body is still to be read.
pub struct UpstreamResponse {
    /// The response; dropping its body closes the connection.
    pub resp: Response<UpstreamBody>,
    /// The request's entry in the state of upstreams.
    pub placed: PlacedRequest,
}

/// Serves one request.
pub async fn serve(hub: Arc<Hub>, req: Request<Incoming>) -> Response<Body> {
    let arrived = hub.now();
    let (parts, body) = req.into_parts();
    let mut ctx = match admission::admit(&hub, parts, arrived) {
        Ok(ctx) => ctx,
        Err((cause, id)) => return refuse(&hub, &id, cause),
    };
    let body = tokio::select! {
        body = admission::read_body(&hub, body, ctx.deadline, ctx.hold.as_ref()) => body,
        () = hub.shutdown().wait_for(ShutdownPhase::Ending) => Err(Refusal::Stopping),
    };
    match body {
        Ok(body) => ctx.body = body,
        Err(cause) => return ctx.refuse(cause),
    }
    ctx.set_held(HoldKind::Unsent);
    if ctx.route.streaming {
        ctx.stream_guard = hub.try_track_stream();
        if ctx.stream_guard.is_none() {
            return ctx.refuse(Refusal::BoxBusy);
        }
    }
    ctx.respond_to_caller().await
}

/// Refuses a request of which only the id is known.
fn refuse(hub: &Hub, id: &str, cause: Refusal) -> Response<Body> {
    info!(hub.log(), "request refused"; "id" => id, "cause" => cause.code(),
        "version" => hub.version());
    hub.metrics().refused(cause.code());
    refusal::response(cause)
}

impl RequestContext {
    async fn respond_to_caller(mut self) -> Response<Body> {
        let timed_out = self.hub.clock().clone().sleep_until(self.deadline);
        let stopped_unsent = self.stopped_unsent();
        let interrupted = self.hub.shutdown().wait_for(ShutdownPhase::Ending);
        let gave_way = OptionFuture::from(self.hold.as_ref().map(Hold::wait_gave_way));
        let result = tokio::select! {
            biased;
            // Only a request that was never sent gives way.
            Some(()) = gave_way => Err(Refusal::BoxBusy),
            () = stopped_unsent => Err(Refusal::Stopping),
            result = self.send_until_response() => result,
            () = timed_out => Err(Refusal::TimedOut),
            () = interrupted => Err(Refusal::Interrupted),
        };
        match result {
            Ok(response) => self.pass_on(response).await,
            Err(cause) => self.refuse(cause),
        }
    }

    /// Counts the request's body as held for this purpose.
    fn set_held(&self, kind: HoldKind) {
        self.hold.iter().for_each(|hold| hold.set(kind, self.body.len()));
    }

    /// Whether the request gives way before it was sent, so that it must not be sent any more.
    fn has_given_way(&self) -> bool {
        self.hold.as_ref().is_some_and(Hold::gave_way)
    }

    /// Waits until the process stops and the request may not be sent any more. Never returns once it
    /// was sent.
    fn stopped_unsent(&self) -> impl Future<Output = ()> + use<> {
        let (hub, deadline, is_sent) = (self.hub.clone(), self.deadline, self.is_sent.clone());
        async move {
            hub.shutdown().wait_for(ShutdownPhase::Refusing).await;
            if is_sent.load(Ordering::Relaxed) || hub.shutdown().may_send(deadline) {
                std::future::pending().await
            }
        }
    }

    /// Time until the deadline.
    pub(super) fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(self.hub.now())
    }

    fn refuse(&self, cause: Refusal) -> Response<Body> {
        let hub = &self.hub;
        info!(hub.log(), "request refused"; "id" => &self.head.id, "cause" => cause.code(),
            "route" => &self.route.name,
            "workspace" => self.workspace.as_ref().map(WorkspaceName::as_str),
            "content" => self.fingerprint.get().map(Fingerprint::to_string), "sends" => self.sends,
            "version" => hub.version());
        hub.metrics().refused(cause.code());
        if let (Some(workspace), Some(prompt)) = (&self.workspace, &self.head.prompt) {
            hub.metrics().workspace_refused(workspace, prompt.charge(), cause.code());
        }
        refusal::response(cause)
    }

    /// Sends the request, repeatedly if necessary, until there is a response to pass on.
    async fn send_until_response(&mut self) -> Result<Box<UpstreamResponse>, Refusal> {
        if self.route.streaming && self.head.is_resumption() {
            self.find_required_version().await?;
        }
        let mut unsent_attempts = 0;
        let mut earlier = EarlierSends::default();
        loop {
            // After a suspension of the machine, the deadline may have passed before a timer fires.
            if self.remaining().is_zero() {
                return earlier.give_up(Refusal::TimedOut);
            }
            if let Some(cause) = self.check_suspicion().await {
                return earlier.give_up(cause);
            }
            let (choice, placed) = match self.place().await {
                Ok(placed) => placed,
                Err(cause) => return earlier.give_up(cause),
            };
            // It might not end in time.
            if !self.hub.shutdown().may_send(self.deadline) {
                placed.withdraw(None);
                return earlier.give_up(Refusal::Stopping);
            }
            match self.send(&choice, placed, None).await {
                SendOutcome::Response(response) => return Ok(response),
                SendOutcome::NotSent(e) => {
                    info!(self.hub.log(), "request not sent"; "id" => &self.head.id,
                        "upstream" => choice.upstream.as_str(), "error" => util::error_chain(&e));
                    unsent_attempts += 1;
                    if UNSENT_ATTEMPTS_MAX <= unsent_attempts {
                        let retry_after = self.min_backoff_remaining().unwrap_or(NO_UPSTREAM_RETRY);
                        return earlier.give_up(Refusal::NoUpstream { retry_after });
                    }
                }
                SendOutcome::NotRun => {
                    if !self.try_take_retry() {
                        let retry_after =
                            self.min_backoff_remaining().unwrap_or(OVERLOAD_RETRY_MIN);
                        return earlier.give_up(Refusal::Overloaded { retry_after });
                    }
                }
                SendOutcome::MayHaveRun(response) => {
                    let is_repeatable =
                        self.route.repeat != Repeat::Never && self.sends < self.route.max_upstreams;
                    earlier.may_have_run = true;
                    earlier.response = response.or(earlier.response);
                    if !is_repeatable || !self.try_take_retry() {
                        return earlier.give_up(Refusal::Broken);
                    }
                }
            }
        }
    }

    /// The parts of the request that identify it across retries of the caller.
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

    /// Identifies the request when the caller sends it again.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| self.content().fingerprint())
    }

    /// The ids of the prompt's shared parts, for logs.
    pub fn parts_label(&self) -> String {
        let parts = self.head.prompt.iter().flat_map(Prompt::shared_parts);
        let ids: Vec<String> =
            parts.take(LOGGED_PARTS_MAX).map(|part| format!("{:x}", part.id)).collect();
        ids.join(",")
    }

    /// The parts of the prompt that other requests may have, too.
    pub fn shared_parts(&self) -> Vec<Fingerprint> {
        let parts = self.head.prompt.iter().flat_map(Prompt::shared_parts);
        let parts = parts.map(|part| Fingerprint::of_part(&self.service, part.id));
        parts.collect::<BTreeSet<Fingerprint>>().into_iter().collect()
    }

    /// Returns a refusal if the request must not be sent because it or a part of its prompt has
    /// crashed upstreams.
    async fn check_suspicion(&mut self) -> Option<Refusal> {
        if let Some(cause) = self.check_quarantine().await {
            return Some(cause);
        }
        self.check_parts()
    }

    /// Returns a refusal if the request must not be sent because of a part of its prompt.
    fn check_parts(&mut self) -> Option<Refusal> {
        let refuse = |retry_after| Some(Refusal::CrashesUpstreams { retry_after });
        let is_broken = self.broken_sends != 0;
        if self.hub.part_suspects().read(PartQuarantine::is_empty) && !is_broken {
            return None;
        }
        let parts = self.shared_parts();
        if is_broken && part_suspects::would_be_withheld(&self.hub, &parts) {
            return refuse(NO_UPSTREAM_RETRY);
        }
        match part_suspects::treatment(&self.hub, &parts) {
            Treatment::Sent => {}
            // It has not been sent yet.
            Treatment::Withheld(_) if self.is_trial && !is_broken => {}
            Treatment::Withheld(retry_after) => return refuse(retry_after),
            Treatment::Tried => {
                part_suspects::start_trial(&self.hub, &parts, &self.head.id);
                self.is_trial = true;
            }
        }
        None
    }

    /// Whether a part of the prompt has been withheld since the request was admitted.
    fn has_withheld_part(&self) -> bool {
        !self.is_trial
            && !self.hub.part_suspects().read(PartQuarantine::is_empty)
            && part_suspects::treatment(&self.hub, &self.shared_parts()) != Treatment::Sent
    }

    /// Returns a refusal if the request must not be sent because it has crashed upstreams. Its
    /// caller retries with another id and at any box, so the decision is by the request's content
    /// and the reports of the whole fleet, not by this request's own sends. A request that has just
    /// broken off waits for reports of other boxes first, since it may have run at several
    /// upstreams at once.
    async fn check_quarantine(&self) -> Option<Refusal> {
        let suspects = self.hub.suspects();
        if self.broken_sends != 0 {
            tokio::time::sleep(BREAK_REPORT_DELAY).await;
        } else if !self.may_be_suspect() {
            return None;
        }
        let fingerprint = self.fingerprint();
        let retry_after = suspects::hold_time(&self.hub, &fingerprint);
        let may_crash_too_many = self.broken_sends != 0
            && suspects.would_reach_crash_limit(&fingerprint, self.hub.now());
        let retry_after = retry_after.or(may_crash_too_many.then_some(NO_UPSTREAM_RETRY));
        retry_after.map(|retry_after| Refusal::CrashesUpstreams { retry_after })
    }

    /// A cheap check whether this may be a request that upstreams have crashed under; if not, the
    /// fingerprint isn't needed.
    fn may_be_suspect(&self) -> bool {
        let suspects = self.hub.suspects();
        suspects.read(|quarantine| {
            !quarantine.is_empty() && quarantine.may_contain(self.content().quick_hash())
        })
    }

    /// Records that the response broke off, and ends the request's entry in the state of upstreams.
    /// `has_restarted` if the upstream is known to have restarted.
    pub fn record_break(&mut self, placed: PlacedRequest, has_restarted: bool) {
        let upstream = placed.upstream().clone();
        // The end of an upstream, whether it crashed or leaves, is no evidence about the responses
        // of its version.
        if !has_restarted && self.hub.read(|view| view.registry().is_open(&upstream)) {
            placed.record_failure();
        }
        let instance = suspects::instance_id(&upstream, placed.started_at_ms());
        self.broken_sends += 1;
        reachability::mark_unreachable(&self.hub, &upstream);
        placed.close(Some(Health::Broken));
        // An upstream that is leaving stops without having been crashed by a request.
        if has_restarted || self.hub.read(|view| view.registry().is_open(&upstream)) {
            let (fingerprint, parts) = (self.fingerprint(), self.shared_parts());
            let at = self.hub.now();
            suspects::connection_broken(
                &self.hub,
                BrokenRequest { upstream, instance, fingerprint, parts, at },
                has_restarted,
            );
        }
    }

    /// Records that the response was complete. `has_output` if the upstream has written a response
    /// on the whole prompt.
    pub fn record_success(&self, has_output: bool) {
        if self.may_be_suspect() {
            suspects::request_succeeded(&self.hub, &self.fingerprint());
        }
        if has_output && self.head.prompt.is_some() {
            part_suspects::record_completed(&self.hub, &self.shared_parts());
        }
    }

    /// Takes a retry from the budget. Returns whether the request may be sent once more, by the
    /// budget and its number of sends.
    pub fn try_take_retry(&self) -> bool {
        self.sends < SENDS_MAX && self.hub.try_take_retry(&self.service)
    }

    /// Sends the request to an upstream. With `resume_after`, the response is to begin after that
    /// event; without, as the caller's own headers say.
    async fn send(
        &mut self,
        choice: &Choice,
        placed: PlacedRequest,
        resume_after: Option<&EventId>,
    ) -> SendOutcome {
        self.unsent_guard = None;
        self.tried.push(choice.upstream.clone());
        let req = self.request_for(choice, resume_after);
        let began = Instant::now();
        let connections = self.hub.upstream_connections().clone();
        let target = Target {
            addr: choice.addr,
            name_hash: name_hash(&choice.upstream),
            zone_hash: self.hub.zone_hash(&choice.upstream),
            quota: self.hub.connection_quota(
                &choice.upstream,
                self.connections_max,
                choice.is_counted,
            ),
            reuse_rule: self.hub.reuse_rule(&choice.upstream, self.is_once_only()),
            gives_up_stalled: self.hold.is_some(),
        };
        let version_filter = self.required_version_filter();
        let withheld = || {
            let reason = notices::reason_to_withhold(&self.hub, &placed, version_filter)
                .or_else(|| self.has_withheld_part().then_some(WithholdReason::Suspect))
                .or_else(|| self.has_given_way().then_some(WithholdReason::GaveWay));
            if reason.is_none() {
                self.is_sent.store(true, Ordering::Relaxed);
                self.set_held(HoldKind::Sent);
                if self.is_trial {
                    part_suspects::record_trial_sent(&self.hub, &self.shared_parts());
                }
            }
            reason
        };
        let result = connections.send(target, req, withheld).await;
        let mut resp = match result {
            Ok(resp) => resp,
            Err(e) if e.is_unsent() => {
                match e {
                    upstream_connections::Error::Withheld(reason) => {
                        self.hub.metrics().withheld(reason.code())
                    }
                    // This box's own limit says nothing about the upstream.
                    upstream_connections::Error::LimitReached => {}
                    _ => reachability::mark_unreachable(&self.hub, &choice.upstream),
                }
                placed.withdraw(None);
                return SendOutcome::NotSent(e);
            }
            Err(e) => {
                self.sends += 1;
                info!(self.hub.log(), "no response from upstream"; "id" => &self.head.id,
                    "content" => %self.fingerprint(), "parts" => self.parts_label(),
                    "upstream" => choice.upstream.as_str(),
                    "error" => util::error_chain(&e));
                self.record_break(placed, matches!(e, upstream_connections::Error::Restarted));
                return SendOutcome::MayHaveRun(None);
            }
        };
        self.sends += 1;
        let status = resp.status();
        let verdict =
            self.hub.header_adapter().check_response(&self.head.id, status, resp.headers());
        let is_from_upstream = resp.body_mut().record_authentic(verdict.is_authentic(status));
        if is_from_upstream && !verdict.misdirected && response_status::is_final(status) {
            let (upstream, started_at_ms, sent) =
                (placed.upstream(), placed.started_at_ms(), placed.sent_at());
            let (request, notice) = (&self.head.id, verdict.notice);
            notices::apply(
                &self.hub,
                ReceivedNotice { upstream, started_at_ms, request, sent, notice },
            );
        }
        self.classify_response(resp, placed, verdict, began)
    }

    /// Whether the request must not run twice.
    pub fn is_once_only(&self) -> bool {
        self.route.repeat == Repeat::Never
    }

    fn classify_response(
        &self,
        resp: Response<UpstreamBody>,
        placed: PlacedRequest,
        verdict: Verdict,
        began: Instant,
    ) -> SendOutcome {
        let status = resp.status();
        let head = ResponseHead {
            status,
            verdict,
            is_first: resp.body().connection_history().responses == 0,
            is_encoded: resp.headers().contains_key(CONTENT_ENCODING),
        };
        let meaning = head.meaning();
        if meaning != Meaning::Final {
            self.log_unusual_response(&resp, &placed, verdict, meaning.code());
        }
        let failed = if verdict.misdirected { Health::Broken } else { Health::Failed };
        match meaning {
            Meaning::Final => {}
            Meaning::Failed => {
                placed.record_health(failed);
                placed.record_failure();
                let response = UpstreamResponse { resp, placed };
                return SendOutcome::MayHaveRun(Some(Box::new(response)));
            }
            Meaning::NotRun => {
                placed.withdraw(Some(failed));
                return SendOutcome::NotRun;
            }
            Meaning::Invalid => {
                placed.record_failure();
                placed.close(Some(failed));
                return SendOutcome::MayHaveRun(None);
            }
            // Neither says anything about the upstream's version.
            Meaning::Unattributed | Meaning::Unclear => {
                placed.close(Some(failed));
                return SendOutcome::MayHaveRun(None);
            }
        }
        placed.record_health(Health::Good(began.elapsed()));
        if self.head.prompt.is_none() {
            placed.record_first_token();
        }
        SendOutcome::Response(Box::new(UpstreamResponse { resp, placed }))
    }

    /// Logs a response that isn't simply passed on.
    fn log_unusual_response(
        &self,
        resp: &Response<UpstreamBody>,
        placed: &PlacedRequest,
        verdict: Verdict,
        taken_for: &'static str,
    ) {
        let history = resp.body().connection_history();
        info!(self.hub.log(), "unusual response from upstream"; "id" => &self.head.id,
            "upstream" => placed.upstream().as_str(), "status" => resp.status().as_u16(),
            "taken_for" => taken_for, "own" => verdict.matches_request,
            "response_id" => verdict.response_id.code(), "signed" => verdict.signed,
            "responses_before" => history.responses,
            "idle_ms" => history.idle_time.as_millis() as u64, "try" => self.tried.len());
        self.hub.metrics().unusual_response(taken_for, verdict.response_id, history.responses != 0);
    }

    /// Requests the rest of a broken stream from another upstream.
    pub async fn resume(&mut self, point: &ResumePoint) -> Option<Box<UpstreamResponse>> {
        let is_repeatable = self.route.repeat == Repeat::AfterEvent
            && self.sends < self.route.max_upstreams
            && self.required_version != RequiredVersion::Unknown;
        if is_repeatable && *point == ResumePoint::Nowhere {
            // Any upstream would send an event again.
            info!(self.hub.log(), "stream not resumed"; "id" => &self.head.id,
                "cause" => "the last event has no id that can be returned");
            self.hub.metrics().stream_not_resumable();
            return None;
        }
        while is_repeatable
            && !self.remaining().is_zero()
            && self.check_suspicion().await.is_none()
            && self.try_take_retry()
        {
            let (choice, placed) = self.place().await.ok()?;
            match self.send(&choice, placed, point.event()).await {
                SendOutcome::Response(response) if response.resp.status().is_success() => {
                    return Some(response);
                }
                SendOutcome::Response(response) => {
                    // Its body is no part of the stream.
                    info!(self.hub.log(), "stream not resumed"; "id" => &self.head.id,
                        "cause" => "the upstream responded without a stream",
                        "upstream" => choice.upstream.as_str(),
                        "status" => response.resp.status().as_u16());
                    return None;
                }
                SendOutcome::NotSent(_) | SendOutcome::NotRun => {}
                SendOutcome::MayHaveRun(_) => return None,
            }
        }
        None
    }

    fn request_for(&self, choice: &Choice, resume_after: Option<&EventId>) -> Request<Full<Bytes>> {
        let out = UpstreamRequestInfo {
            upstream: &choice.upstream,
            remaining: self.remaining(),
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

    /// Passes a response on to the caller.
    async fn pass_on(self, response: Box<UpstreamResponse>) -> Response<Body> {
        if self.route.streaming && response.resp.status().is_success() {
            return stream_relay::start(self, *response);
        }
        self.pass_on_buffered(*response).await
    }

    /// Passes a response on once it is complete, so that the caller never receives part of one that
    /// breaks off.
    async fn pass_on_buffered(mut self, response: UpstreamResponse) -> Response<Body> {
        let UpstreamResponse { resp, placed } = response;
        let (head, mut body) = resp.into_parts();
        if body.framing() == Framing::Close {
            info!(self.hub.log(), "unusual end of response"; "id" => &self.head.id,
                "upstream" => placed.upstream().as_str(), "framing" => body.framing().code());
            self.hub.metrics().unusual_end(body.framing(), true);
        }
        let remaining = self.remaining();
        let hold = self.hub.held().map(|held| held.hold(HoldKind::Answer));
        let counted = HeldBody::new(&mut body, HoldKind::Answer, hold.as_ref());
        let read = tokio::select! {
            read = web::read_body(counted, BUFFERED_RESPONSE_MAX_BYTES, remaining) => read,
            () = self.hub.shutdown().wait_for(ShutdownPhase::Ending) => {
                return self.refuse(Refusal::Interrupted);
            }
        };
        match read {
            Ok(bytes) => {
                let is_complete = match ResponseEnd::of_body(body.framing(), &head.headers, &bytes)
                {
                    ResponseEnd::Complete => {
                        body.keep(&head.headers);
                        true
                    }
                    ResponseEnd::Broken => false,
                    ResponseEnd::CompleteUnlessCrashed => {
                        let within = self.remaining();
                        !reachability::has_crashed(self.hub.clone(), body, within).await
                    }
                };
                if !is_complete {
                    let e = upstream_connections::Error::Incomplete;
                    info!(self.hub.log(), "response broke off"; "id" => &self.head.id,
                        "content" => %self.fingerprint(), "parts" => self.parts_label(),
                        "upstream" => placed.upstream().as_str(), "error" => %e);
                    self.record_break(placed, false);
                    return self.refuse(Refusal::Broken);
                }
                placed.close(None);
                self.record_success(head.status.is_success());
                self.log_end(head.status, "whole");
                let headers = self.hub.header_adapter().caller_headers(&head.headers);
                respond(head.status, headers, response_body::full(bytes))
            }
            Err(fault) => {
                info!(self.hub.log(), "response broke off"; "id" => &self.head.id,
                    "content" => %self.fingerprint(), "parts" => self.parts_label(),
                    "upstream" => placed.upstream().as_str(),
                    "error" => %fault);
                match fault {
                    BodyError::Truncated if hold.is_some_and(|hold| hold.gave_way()) => {
                        placed.close(None);
                    }
                    BodyError::Truncated if !self.remaining().is_zero() => {
                        self.record_break(placed, false);
                    }
                    BodyError::Truncated | BodyError::TooLong => placed.close(Some(Health::Broken)),
                }
                self.refuse(Refusal::Broken)
            }
        }
    }

    /// Logs and counts the end of the request.
    pub fn log_end(&self, status: StatusCode, outcome: &'static str) {
        let took = self.hub.now().saturating_sub(self.arrived);
        info!(self.hub.log(), "request ended"; "id" => &self.head.id, "status" => status.as_u16(),
            "outcome" => outcome, "ms" => took.as_millis() as u64, "sends" => self.sends,
            "first_ms" => self.first_token.map(|f| f.took.as_millis() as u64),
            "first_expected_ms" => self.first_token.map(|f| f.expected.as_millis() as u64));
        self.hub.metrics().ended(&self.route.name, outcome, took);
    }
}

/// Builds a response to a caller.
pub fn respond(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut resp = Response::new(body);
    *resp.status_mut() = status;
    *resp.headers_mut() = headers;
    resp
}
