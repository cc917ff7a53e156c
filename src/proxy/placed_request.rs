//! Requests while they are under way: their entries in the models and in the count.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::info;

use crate::fleet::rollout::judge::Finding;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::VersionName;
use crate::names::WorkspaceName;
use crate::placement::backoff::Trial;
use crate::placement::choice::Choice;
use crate::placement::upstream::Health;
use crate::proxy::adapter::Prompt;
use crate::proxy::engine_placement;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;
use crate::proxy::plain_placement;
use crate::proxy::request::Run;
use crate::proxy::rollouts::Mark;

/// Counts a request while it is served.
#[derive(Debug)]
pub struct CountGuard(Arc<AtomicUsize>);

impl CountGuard {
    /// Counts one more in `count`.
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

/// Time from a send to the first token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstTokenTiming {
    /// As the models had it.
    pub expected: Duration,
    /// As it was.
    pub took: Duration,
}

/// A request's entry in the models, from before it is sent until it has ended.
pub struct PlacedRequest {
    hub: Arc<Hub>,
    upstream: UpstreamName,
    request: u64,
    /// When it was sent.
    sent: Duration,
    expected: Duration,
    service: ServiceName,
    is_model: bool,
    /// When the upstream was started, as far as it was known then.
    started_at_ms: Option<u64>,
    version: Option<VersionName>,
    /// By what the answer is judged, where a version is rolled out.
    mark: Option<Mark>,
    /// When the first piece came.
    first_at: Mutex<Option<Duration>>,
    /// Whom it is charged to, and how much.
    charged: Option<(WorkspaceName, u64)>,
    begun: AtomicBool,
    health: Option<Health>,
    /// Set if it is one of the upstream's slow start.
    trial: Option<Trial>,
    /// Whether the upstream runs it, or may.
    may_run: bool,
}

impl PlacedRequest {
    /// The entry of a send that `choice` was made for; `request` names it.
    pub fn new(run: &Run, choice: &Choice, request: u64) -> PlacedRequest {
        let Run { hub, service, workspace, .. } = run;
        let now = hub.now();
        let (trial, started_at_ms, version) = hub.fleet(|fleet| {
            fleet.sent(&choice.upstream);
            let listed = fleet.get(&choice.upstream).map(|l| (l.started_at_ms, l.version.clone()));
            let (started_at_ms, version) = listed.unzip();
            (fleet.enter_trial(&choice.upstream, now), started_at_ms, version)
        });
        let mark = version
            .as_ref()
            .and_then(|version| hub.rollouts().mark(service, version, &run.route.name));
        let charge = run.head.prompt.as_ref().map(Prompt::charge);
        PlacedRequest {
            hub: hub.clone(),
            upstream: choice.upstream.clone(),
            request,
            sent: now,
            expected: choice.first_token,
            service: service.clone(),
            is_model: run.head.prompt.is_some(),
            started_at_ms: started_at_ms.flatten(),
            version,
            mark,
            first_at: Mutex::default(),
            charged: workspace.clone().zip(charge),
            begun: AtomicBool::new(false),
            health: None,
            trial,
            may_run: true,
        }
    }

    /// The upstream.
    pub fn upstream(&self) -> &UpstreamName {
        &self.upstream
    }

    /// Whether it is one of the upstream's slow start.
    pub fn trial(&self) -> Option<Trial> {
        self.trial
    }

    /// When it was sent.
    pub fn sent_at(&self) -> Duration {
        self.sent
    }

    /// When the upstream was started, as far as it was known when the request was placed.
    pub fn started_at_ms(&self) -> Option<u64> {
        self.started_at_ms
    }

    /// The version of the upstream, as far as it was known when the request was placed.
    pub fn version(&self) -> Option<&VersionName> {
        self.version.as_ref()
    }

    /// Notes that the answer is a failure of the upstream's.
    pub fn record_failure(&self) {
        self.found(Some(Finding::Failed));
    }

    /// Notes that the answer came whole, in so many pieces.
    pub fn record_pace(&self, pieces: u32) {
        let first_at = *self.first_at.lock().expect("no panic under lock");
        let took = first_at.map(|at| self.hub.now().saturating_sub(at));
        self.found(took.filter(|_| 1 < pieces).map(|took| Mark::pace(took, pieces - 1)));
    }

    fn found(&self, finding: Option<Finding>) {
        if let (Some(mark), Some(finding)) = (&self.mark, finding) {
            self.hub.rollouts().note(mark, finding);
        }
    }

    /// Notes the first token, here and at those who keep the engine's model; nothing if this isn't the first.
    pub fn record_first_token(&self) -> Option<FirstTokenTiming> {
        if self.begun.swap(true, Ordering::Relaxed) {
            return None;
        }
        let now = self.hub.now();
        let took = now.saturating_sub(self.sent);
        *self.first_at.lock().expect("no panic under lock") = Some(now);
        self.found(Some(Mark::first(took)));
        self.hub.fleet(|fleet| fleet.first(&self.upstream, self.request, Some(took), now));
        let (upstream, request) = (self.upstream.clone(), self.request);
        let took_ms = u32::try_from(took.as_millis()).unwrap_or(u32::MAX);
        let message = Message::First { upstream, request, took_ms };
        self.tell(&message);
        if !self.is_model {
            return None;
        }
        if let Some((workspace, tokens)) = &self.charged {
            self.hub.metrics().workspace_begun(workspace, *tokens);
        }
        let first = FirstTokenTiming { expected: self.expected, took };
        self.hub.metrics().first_token(first);
        Some(first)
    }

    /// Tells those who keep the model, or count what runs there.
    fn tell(&self, message: &Message) {
        match self.is_model {
            true => engine_placement::notify_keepers(&self.hub, &self.upstream, message),
            false => plain_placement::notify_keepers(&self.hub, &self.service, message),
        }
    }

    /// Notes how the request went, before it has ended.
    pub fn record_health(&self, health: Health) {
        let now = self.hub.now();
        let is_over = self.hub.fleet(|fleet| {
            fleet.note(&self.upstream, health, now);
            matches!(health, Health::Good(_)) && fleet.trial_accepted(&self.upstream, self.trial)
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

impl Drop for PlacedRequest {
    fn drop(&mut self) {
        let now = self.hub.now();
        self.hub.fleet(|fleet| {
            fleet.ended(&self.upstream, self.health, now);
            fleet.leave_trial(&self.upstream, self.trial);
        });
        if !self.may_run {
            self.hub.withdraw(self.request);
            self.tell(&Message::Withdrawn { request: self.request });
            return;
        }
        if self.health.is_none() && !self.begun.load(Ordering::Relaxed) {
            self.found(Mark::awaited(now.saturating_sub(self.sent)));
        }
        self.hub.fleet(|fleet| fleet.end(&self.upstream, self.request));
        let (upstream, request) = (self.upstream.clone(), self.request);
        self.tell(&Message::Ended { upstream, request });
    }
}
