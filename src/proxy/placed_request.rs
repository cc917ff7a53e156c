//! Requests in progress, as this box's trackers of upstreams and its counters record them.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::info;

use crate::fleet::in_progress::table::OwnRequest;
use crate::fleet::rollout::regression::ResponseOutcome;
use crate::names::UpstreamName;
use crate::names::VersionName;
use crate::names::WorkspaceName;
use crate::placement::backoff::SlowStartSlot;
use crate::placement::choice::Choice;
use crate::placement::upstream;
use crate::placement::upstream::Health;
use crate::proxy::adapter::Prompt;
use crate::proxy::hub::Hub;
use crate::proxy::in_progress;
use crate::proxy::message::Message;
use crate::proxy::plain_placement;
use crate::proxy::request::RequestContext;
use crate::proxy::rollouts::JudgedResponse;

/// Increments a counter, and decrements it when dropped.
#[derive(Debug)]
pub struct CountGuard(Arc<AtomicUsize>);

impl CountGuard {
    /// Increments `count`.
    pub fn new(count: Arc<AtomicUsize>) -> CountGuard {
        count.fetch_add(1, Ordering::Relaxed);
        CountGuard(count)
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Time from sending a request to its first token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstTokenTiming {
    /// As predicted when the request was placed.
    pub expected: Duration,
    /// As measured.
    pub took: Duration,
}

/// A request that is recorded as running at an upstream, from before it is sent until it has ended.
pub struct PlacedRequest {
    hub: Arc<Hub>,
    upstream: UpstreamName,
    request: u64,
    sent_at: Duration,
    expected_first_token: Duration,
    is_engine: bool,
    /// When the upstream was started, if that was known when the request was placed.
    started_at_ms: Option<u64>,
    version: Option<VersionName>,
    /// How the response is judged, if a version is being rolled out.
    judged_response: Option<JudgedResponse>,
    /// When the first chunk of the response arrived.
    first_chunk_at: Mutex<Option<Duration>>,
    /// The workspace that is charged, and the tokens.
    charge: Option<(WorkspaceName, u64)>,
    has_first_token: AtomicBool,
    health: Option<Health>,
    /// Set if the request belongs to the upstream's slow start.
    slow_start_slot: Option<SlowStartSlot>,
    /// Whether the upstream may run it or have run it.
    may_run: bool,
}

impl PlacedRequest {
    /// Records the attempt at the upstream of `choice`, which the boxes `recorded_by` have recorded.
    pub fn new(
        ctx: &RequestContext,
        choice: &Choice,
        request: u64,
        recorded_by: &[IpAddr],
    ) -> PlacedRequest {
        let RequestContext { hub, service, workspace, .. } = ctx;
        let now = hub.now();
        let (slow_start_slot, started_at_ms, version) = hub.with_registry(|registry| {
            registry.request_sent(&choice.upstream);
            let listed =
                registry.get(&choice.upstream).map(|l| (l.started_at_ms, l.version.clone()));
            let (started_at_ms, version) = listed.unzip();
            (registry.acquire_slow_start_slot(&choice.upstream, now), started_at_ms, version)
        });
        let judged_response = version
            .as_ref()
            .and_then(|version| hub.rollouts().judged_response(service, version, &ctx.route.name));
        in_progress::begin(hub, request, own_request(ctx, choice), recorded_by);
        let charge = ctx.head.prompt.as_ref().map(Prompt::charge);
        PlacedRequest {
            hub: hub.clone(),
            upstream: choice.upstream.clone(),
            request,
            sent_at: now,
            expected_first_token: choice.first_token,
            is_engine: ctx.head.prompt.is_some(),
            started_at_ms: started_at_ms.flatten(),
            version,
            judged_response,
            first_chunk_at: Mutex::default(),
            charge: workspace.clone().zip(charge),
            has_first_token: AtomicBool::new(false),
            health: None,
            slow_start_slot,
            may_run: true,
        }
    }

    pub fn upstream(&self) -> &UpstreamName {
        &self.upstream
    }

    /// Set if the request belongs to the upstream's slow start.
    pub fn slow_start_slot(&self) -> Option<SlowStartSlot> {
        self.slow_start_slot
    }

    pub fn sent_at(&self) -> Duration {
        self.sent_at
    }

    /// When the upstream was started, if that was known when the request was placed.
    pub fn started_at_ms(&self) -> Option<u64> {
        self.started_at_ms
    }

    /// The upstream's version, if that was known when the request was placed.
    pub fn version(&self) -> Option<&VersionName> {
        self.version.as_ref()
    }

    /// Records that the response is a failure of the upstream.
    pub fn record_failure(&self) {
        self.record_outcome(Some(ResponseOutcome::Failed));
    }

    /// Records that the response is complete, and the number of its chunks.
    pub fn record_pace(&self, chunks: u32) {
        let first_chunk_at = *self.first_chunk_at.lock().expect("no panic under lock");
        let took = first_chunk_at.map(|at| self.hub.now().saturating_sub(at));
        self.record_outcome(
            took.filter(|_| 1 < chunks).map(|took| JudgedResponse::pace(took, chunks - 1)),
        );
    }

    fn record_outcome(&self, outcome: Option<ResponseOutcome>) {
        if let (Some(judged_response), Some(outcome)) = (&self.judged_response, outcome) {
            self.hub.rollouts().record_outcome(judged_response, outcome);
        }
    }

    /// Records the first token, here and at the boxes that track the upstream; `None` if this isn't
    /// the first one, or the service is a plain one.
    pub fn record_first_token(&self) -> Option<FirstTokenTiming> {
        if self.has_first_token.swap(true, Ordering::Relaxed) {
            return None;
        }
        let now = self.hub.now();
        let took = now.saturating_sub(self.sent_at);
        *self.first_chunk_at.lock().expect("no panic under lock") = Some(now);
        self.record_outcome(Some(JudgedResponse::first(took)));
        self.hub.with_registry(|registry| {
            registry.record_first_token(&self.upstream, self.request, Some(took), now)
        });
        let (upstream, request) = (self.upstream.clone(), self.request);
        let took_ms = u32::try_from(took.as_millis()).unwrap_or(u32::MAX);
        let message = Message::FirstToken { upstream, request, took_ms };
        in_progress::record_first_token(&self.hub, self.request, &message);
        if !self.is_engine {
            return None;
        }
        if let Some((workspace, tokens)) = &self.charge {
            self.hub.metrics().workspace_begun(workspace, *tokens);
        }
        let timing = FirstTokenTiming { expected: self.expected_first_token, took };
        self.hub.metrics().first_token(timing);
        Some(timing)
    }

    /// Records how the upstream handles the request, before the request has ended.
    pub fn record_health(&self, health: Health) {
        let now = self.hub.now();
        let is_complete = self.hub.with_registry(|registry| {
            registry.record_health(&self.upstream, health, now);
            matches!(health, Health::Good(_))
                && registry.slow_start_accepted(&self.upstream, self.slow_start_slot)
        });
        if is_complete {
            info!(self.hub.log(), "slow start complete"; "name" => self.upstream.as_str());
        }
    }

    /// Ends a request that the upstream has not run and never will.
    pub fn withdraw(mut self, health: Option<Health>) {
        self.health = health;
        self.may_run = false;
    }

    /// Ends a request that the upstream may have run.
    pub fn close(mut self, health: Option<Health>) {
        self.health = health;
    }
}

impl Drop for PlacedRequest {
    fn drop(&mut self) {
        let now = self.hub.now();
        self.hub.with_registry(|registry| {
            registry.request_ended(&self.upstream, self.health, now);
            registry.release_slow_start_slot(&self.upstream, self.slow_start_slot);
        });
        if !self.may_run {
            self.hub.withdraw(self.request);
            let message = Message::Withdrawn { request: self.request };
            in_progress::end(&self.hub, self.request, &message);
            return;
        }
        if self.health.is_none() && !self.has_first_token.load(Ordering::Relaxed) {
            self.record_outcome(JudgedResponse::awaited(now.saturating_sub(self.sent_at)));
        }
        self.hub.with_registry(|registry| registry.end_request(&self.upstream, self.request, now));
        let (upstream, request) = (self.upstream.clone(), self.request);
        in_progress::end(&self.hub, request, &Message::Ended { upstream, request });
    }
}

/// The request as other boxes record it.
fn own_request(ctx: &RequestContext, choice: &Choice) -> OwnRequest {
    let upstream = choice.upstream.clone();
    let Some(prompt) = &ctx.head.prompt else {
        let owner_hash = plain_placement::owner_hash(&ctx.service);
        return OwnRequest { upstream, owner_hash, tokens: 0, cached_tokens: 0, prefill_tokens: 0 };
    };
    OwnRequest {
        owner_hash: upstream::name_hash(&upstream),
        upstream,
        tokens: prompt.tokens.saturating_add(prompt.output_tokens_max),
        cached_tokens: prompt.tokens.saturating_sub(choice.prefill_tokens),
        prefill_tokens: choice.prefill_tokens,
    }
}
