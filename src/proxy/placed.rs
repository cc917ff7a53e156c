//! Requests while they are under way: their entries in the models and in the count.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::info;

use crate::fleet::rollout::regression::ResponseOutcome;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::VersionName;
use crate::names::WorkspaceName;
use crate::placement::backoff::SlowStartSlot;
use crate::placement::choice::Choice;
use crate::placement::upstream::Health;
use crate::proxy::asking;
use crate::proxy::dialect::Prompt;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;
use crate::proxy::plain;
use crate::proxy::request::RequestContext;
use crate::proxy::rollouts::JudgedResponse;

/// Counts a request while it is served.
#[derive(Debug)]
pub struct InFlight(Arc<AtomicUsize>);

impl InFlight {
    /// Counts one more in `count`.
    pub fn new(count: Arc<AtomicUsize>) -> InFlight {
        count.fetch_add(1, Ordering::Relaxed);
        InFlight(count)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Time from a send to the first token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstToken {
    /// As the models had it.
    pub expected: Duration,
    /// As it was.
    pub took: Duration,
}

/// A request's entry in the models, from before it is sent until it has ended.
pub struct Placed {
    hub: Arc<Hub>,
    upstream: UpstreamName,
    request: u64,
    /// When it was sent.
    sent: Duration,
    expected: Duration,
    service: ServiceName,
    is_model: bool,
    /// When the upstream was started, as far as it was known then.
    born: Option<u64>,
    version: Option<VersionName>,
    /// By what the answer is judged, where a version is rolled out.
    judged_response: Option<JudgedResponse>,
    /// When the first piece came.
    first_at: Mutex<Option<Duration>>,
    /// Whom it is charged to, and how much.
    charged: Option<(WorkspaceName, u64)>,
    begun: AtomicBool,
    health: Option<Health>,
    /// Set if it is one of the upstream's slow start.
    slow_start_slot: Option<SlowStartSlot>,
    /// Whether the upstream runs it, or may.
    may_run: bool,
}

impl Placed {
    /// The entry of a send that `choice` was made for; `request` names it.
    pub fn new(ctx: &RequestContext, choice: &Choice, request: u64) -> Placed {
        let RequestContext { hub, service, workspace, .. } = ctx;
        let now = hub.now();
        let (slow_start_slot, born, version) = hub.fleet(|fleet| {
            fleet.request_sent(&choice.upstream);
            let listed = fleet.get(&choice.upstream).map(|l| (l.born, l.version.clone()));
            let (born, version) = listed.unzip();
            (fleet.acquire_slow_start_slot(&choice.upstream, now), born, version)
        });
        let judged_response = version
            .as_ref()
            .and_then(|version| hub.rollouts().judged_response(service, version, &ctx.route.name));
        let charge = ctx.head.prompt.as_ref().map(Prompt::charge);
        Placed {
            hub: hub.clone(),
            upstream: choice.upstream.clone(),
            request,
            sent: now,
            expected: choice.first_token,
            service: service.clone(),
            is_model: ctx.head.prompt.is_some(),
            born: born.flatten(),
            version,
            judged_response,
            first_at: Mutex::default(),
            charged: workspace.clone().zip(charge),
            begun: AtomicBool::new(false),
            health: None,
            slow_start_slot,
            may_run: true,
        }
    }

    /// The upstream.
    pub fn upstream(&self) -> &UpstreamName {
        &self.upstream
    }

    /// Whether it is one of the upstream's slow start.
    pub fn slow_start_slot(&self) -> Option<SlowStartSlot> {
        self.slow_start_slot
    }

    /// When it was sent.
    pub fn sent(&self) -> Duration {
        self.sent
    }

    /// When the upstream was started, as far as it was known when the request was placed.
    pub fn born(&self) -> Option<u64> {
        self.born
    }

    /// The version of the upstream, as far as it was known when the request was placed.
    pub fn version(&self) -> Option<&VersionName> {
        self.version.as_ref()
    }

    /// Notes that the answer is a failure of the upstream's.
    pub fn failed(&self) {
        self.found(Some(ResponseOutcome::Failed));
    }

    /// Notes that the answer came whole, in so many pieces.
    pub fn paced(&self, pieces: u32) {
        let first_at = *self.first_at.lock().expect("no panic under lock");
        let took = first_at.map(|at| self.hub.now().saturating_sub(at));
        self.found(took.filter(|_| 1 < pieces).map(|took| JudgedResponse::pace(took, pieces - 1)));
    }

    fn found(&self, finding: Option<ResponseOutcome>) {
        if let (Some(judged_response), Some(finding)) = (&self.judged_response, finding) {
            self.hub.rollouts().record_outcome(judged_response, finding);
        }
    }

    /// Notes the first token, here and at those who keep the engine's model; nothing if this isn't the first.
    pub fn first(&self) -> Option<FirstToken> {
        if self.begun.swap(true, Ordering::Relaxed) {
            return None;
        }
        let now = self.hub.now();
        let took = now.saturating_sub(self.sent);
        *self.first_at.lock().expect("no panic under lock") = Some(now);
        self.found(Some(JudgedResponse::first(took)));
        self.hub
            .fleet(|fleet| fleet.record_first_token(&self.upstream, self.request, Some(took), now));
        let (upstream, request) = (self.upstream.clone(), self.request);
        let took_ms = u32::try_from(took.as_millis()).unwrap_or(u32::MAX);
        let message = Message::FirstToken { upstream, request, took_ms };
        self.tell(&message);
        if !self.is_model {
            return None;
        }
        if let Some((workspace, tokens)) = &self.charged {
            self.hub.metrics().workspace_begun(workspace, *tokens);
        }
        let first = FirstToken { expected: self.expected, took };
        self.hub.metrics().first_token(first);
        Some(first)
    }

    /// Tells those who keep the model, or count what runs there.
    fn tell(&self, message: &Message) {
        match self.is_model {
            true => asking::tell_keepers(&self.hub, &self.upstream, message),
            false => plain::tell(&self.hub, &self.service, message),
        }
    }

    /// Notes how the request went, before it has ended.
    pub fn note(&self, health: Health) {
        let now = self.hub.now();
        let is_over = self.hub.fleet(|fleet| {
            fleet.record_health(&self.upstream, health, now);
            matches!(health, Health::Good(_))
                && fleet.slow_start_accepted(&self.upstream, self.slow_start_slot)
        });
        if is_over {
            info!(self.hub.log(), "slow start over"; "name" => self.upstream.as_str());
        }
    }

    /// Ends the entry of a request that the upstream has not run and never will.
    pub fn withdraw(mut self, health: Option<Health>) {
        self.health = health;
        self.may_run = false;
    }

    /// Ends the entry.
    pub fn close(mut self, health: Option<Health>) {
        self.health = health;
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        let now = self.hub.now();
        self.hub.fleet(|fleet| {
            fleet.request_ended(&self.upstream, self.health, now);
            fleet.release_slow_start_slot(&self.upstream, self.slow_start_slot);
        });
        if !self.may_run {
            self.hub.withdraw(self.request);
            self.tell(&Message::Withdrawn { request: self.request });
            return;
        }
        if self.health.is_none() && !self.begun.load(Ordering::Relaxed) {
            self.found(JudgedResponse::awaited(now.saturating_sub(self.sent)));
        }
        self.hub.fleet(|fleet| fleet.remove_request(&self.upstream, self.request));
        let (upstream, request) = (self.upstream.clone(), self.request);
        self.tell(&Message::Ended { upstream, request });
    }
}
