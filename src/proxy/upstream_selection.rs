//! Selects an upstream for a request: by the box that tracks the service's upstreams or, if none
//! responds, by this box alone.

use std::time::Duration;

use slog::info;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::rollout::VersionFilter;
use crate::names::UpstreamName;
use crate::names::VersionName;
use crate::names::WorkspaceName;
use crate::placement::admit::Denial;
use crate::placement::admit::PlacementQuery;
use crate::placement::admit::Purpose;
use crate::placement::choice::Choice;
use crate::placement::choice::ChoiceError;
use crate::placement::choice::SelectionCriteria;
use crate::placement::cold::Role;
use crate::placement::decision_ids::DecisionIds;
use crate::placement::drain;
use crate::placement::plain::PlainQuery;
use crate::proxy::adapter::Prompt;
use crate::proxy::engine_placement;
use crate::proxy::engine_placement::PlacementDecision;
use crate::proxy::event_id::EventId;
use crate::proxy::placed_request::PlacedRequest;
use crate::proxy::plain_placement;
use crate::proxy::refusal::Refusal;
use crate::proxy::request::RequestContext;
use crate::proxy::routing_table::Repeat;

/// Retry time for callers when no upstream is available; listings reappear within seconds.
pub(super) const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(500);

/// Shortest retry time for callers after an overload.
pub(super) const OVERLOAD_RETRY_MIN: Duration = Duration::from_millis(100);

impl RequestContext {
    /// Selects an upstream and records the request there, or says why it can't be served in time.
    pub async fn place(&mut self) -> Result<(Choice, PlacedRequest), Refusal> {
        let mut ids = DecisionIds::new(&self.head.id, self.tried.len());
        let version_filter = self.version_filter();
        let mut decision = self.decide(&mut ids, version_filter).await;
        let target_denied = version_filter == VersionFilter::Target && decision.result.is_err();
        if target_denied && self.may_fall_back() {
            // A request that is placed after all doesn't count as refused.
            let PlacementDecision { request, decided_by, .. } = decision;
            engine_placement::withdraw(&self.hub, request, [decided_by].into_iter());
            decision = self.decide(&mut ids, VersionFilter::Others).await;
        }
        match &decision.result {
            Ok(choice) => self.log_placed(choice, &decision),
            Err(denial) => self.log_denial(denial, &decision),
        }
        let choice = match decision.result {
            Ok(choice) => choice,
            Err(denial) => return Err(self.refusal(&denial)),
        };
        let placed = PlacedRequest::new(self, &choice, decision.request, &decision.recorded_by);
        Ok((choice, placed))
    }

    async fn decide(
        &self,
        ids: &mut DecisionIds,
        version_filter: VersionFilter,
    ) -> PlacementDecision {
        match &self.head.prompt {
            Some(prompt) => self.place_prompt(prompt, ids, version_filter).await,
            None => self.place_plain(ids, version_filter).await,
        }
    }

    /// The versions that may serve the request. A response that has begun is resumed by the version
    /// that began it.
    fn version_filter(&self) -> VersionFilter {
        match self.required_version_filter() {
            VersionFilter::Any => {
                let now = self.hub.now();
                self.hub.rollouts().version_filter(&self.service, &self.head.id, now)
            }
            required => required,
        }
    }

    fn may_fall_back(&self) -> bool {
        self.hub.rollouts().may_fall_back(&self.service)
    }

    async fn place_prompt(
        &self,
        prompt: &Prompt,
        ids: &mut DecisionIds,
        version_filter: VersionFilter,
    ) -> PlacementDecision {
        let excluded = self.excluded();
        let query = PlacementQuery {
            request: ids.next_id(),
            service: &self.service,
            prompt,
            workspace: self.workspace.as_ref(),
            rank: self.rank,
            excluded: &excluded,
            target_latency: self.route.aim,
            waited: self.hub.now().saturating_sub(self.waiting_since),
            group: None,
            version_filter,
            zone: None,
            sender: None,
            source: None,
            connected: &[],
            purpose: Purpose::PlaceIfCached,
            is_last_group: false,
            role: Role::Unassigned,
            is_repeatable: self.route.repeat != Repeat::Never,
        };
        engine_placement::place(&self.hub, query, ids).await
    }

    async fn place_plain(
        &self,
        ids: &mut DecisionIds,
        version_filter: VersionFilter,
    ) -> PlacementDecision {
        let now = self.hub.now();
        let unavailable = self.hub.read(|view| view.registry().unavailable(&self.service, now));
        let excluded: Vec<UpstreamName> = self.excluded().into_iter().chain(unavailable).collect();
        let query = PlainQuery {
            request: ids.next_id(),
            service: &self.service,
            workspace: self.workspace.as_ref(),
            excluded: &excluded,
            version_filter,
            target_latency: self.route.aim,
            waited: self.hub.now().saturating_sub(self.waiting_since),
            zone: self.hub.peers().zone(),
            sender: None,
            is_repeatable: self.route.repeat != Repeat::Never,
            role: Role::Unassigned,
        };
        let denied = match plain_placement::place(&self.hub, query).await {
            Some(decision) if !decision.has_no_upstream() => return decision,
            denied => denied,
        };
        // Neither owner nor standby responds, or all that are left are unavailable.
        let uncounted = self.choose_uncounted(ids.next_id(), version_filter);
        match denied {
            // The refusal is counted under the id of the owner's decision.
            Some(denied) if uncounted.result.is_err() => {
                PlacementDecision { result: uncounted.result, ..denied }
            }
            _ => uncounted,
        }
    }

    /// Chooses any upstream of a plain service, without counting the request anywhere.
    fn choose_uncounted(&self, request: u64, version_filter: VersionFilter) -> PlacementDecision {
        let excluded = self.excluded();
        let any = SelectionCriteria::any(&self.service, None, &excluded, Duration::MAX);
        let criteria = SelectionCriteria { version_filter, ..any };
        let denial = |cause| Denial {
            cause,
            share_used: 0.0,
            wait_max: Duration::ZERO,
            source: None,
            may_try_other_groups: false,
            alternative: None,
            retry_after: None,
        };
        let result = self.hub.choose(criteria).map_err(denial);
        PlacementDecision {
            result,
            decided_by: self.hub.peers().own_ip(),
            role: Role::Unassigned,
            request,
            recorded_by: Vec::new(),
            queued: Duration::ZERO,
            alternative: None,
        }
    }

    /// Upstreams that must not be chosen: already tried, or this box backs off from them.
    fn excluded(&self) -> Vec<UpstreamName> {
        let now = self.hub.now();
        let backing_off = self.hub.read(|view| view.registry().backing_off(&self.service, now));
        self.tried.iter().cloned().chain(backing_off).collect()
    }

    /// Retry time for the caller if this box backs off from all upstreams.
    pub(super) fn min_backoff_remaining(&self) -> Option<Duration> {
        let now = self.hub.now();
        let remaining =
            self.hub.read(|view| view.registry().min_backoff_remaining(&self.service, now))?;
        Some(remaining.max(OVERLOAD_RETRY_MIN))
    }

    /// The refusal of a request that isn't placed.
    fn refusal(&self, denial: &Denial) -> Refusal {
        if denial.cause == ChoiceError::NoUpstream && !self.has_required_version() {
            return Refusal::VersionGone;
        }
        if let Some(wait) = denial.retry_after {
            let draw = xxh3_64(self.head.id.as_bytes());
            let retry_after = drain::retry_after(wait, draw, self.remaining());
            return Refusal::Overloaded { retry_after };
        }
        match denial.cause {
            ChoiceError::NoUpstream => {
                let retry_after = self.min_backoff_remaining().unwrap_or(NO_UPSTREAM_RETRY);
                Refusal::NoUpstream { retry_after }
            }
            ChoiceError::Full | ChoiceError::NotCached | ChoiceError::LookupOnly => {
                Refusal::Overloaded { retry_after: NO_UPSTREAM_RETRY }
            }
            ChoiceError::Busy { wait } => {
                let excess = wait.saturating_sub(denial.wait_max);
                Refusal::Overloaded { retry_after: excess.max(OVERLOAD_RETRY_MIN) }
            }
        }
    }

    fn log_denial(&self, denial: &Denial, decision: &PlacementDecision) {
        let wait = match denial.cause {
            ChoiceError::Busy { wait } => Some(wait.as_millis() as u64),
            _ => None,
        };
        info!(self.hub.log(), "not placed"; "id" => &self.head.id, "route" => &self.route.name,
            "service" => self.service.as_str(), "cause" => denial.cause.code(),
            "workspace" => self.workspace.as_ref().map(WorkspaceName::as_str),
            "share_used" => (denial.share_used * 100.0).round() / 100.0,
            "wait_ms" => wait, "wait_max_ms" => denial.wait_max.as_millis() as u64,
            "by" => %decision.decided_by, "as" => decision.role.code(),
            "alternative" => decision.alternative.map(|group| group.to_string()),
            "queued_ms" => decision.queued.as_millis() as u64, "tried" => self.tried.len(),
            "version" => self.hub.version());
    }

    fn log_placed(&self, choice: &Choice, decision: &PlacementDecision) {
        if choice.is_probe {
            self.hub.metrics().half_open_probe();
        }
        let upstream_version = self.hub.read(|view| {
            view.registry().get(&choice.upstream).map(|listed| listed.version.clone())
        });
        info!(self.hub.log(), "placed"; "id" => &self.head.id, "route" => &self.route.name,
            "resumes" => self.head.first_attempt.as_deref(),
            "after" => self.head.resume_after.as_ref().map(EventId::to_string),
            "upstream_version" => upstream_version.as_ref().map(VersionName::as_str),
            "workspace" => self.workspace.as_ref().map(WorkspaceName::as_str),
            "upstream" => choice.upstream.as_str(), "prompt" => self.head.prompt.as_ref().map_or(0, |p| p.tokens),
            "own" => self.head.prompt.as_ref().and_then(|p| p.parts.last()).map_or(0, |p| p.tokens),
            "unread" => choice.prefill_tokens,
            "copied" => choice.copied_tokens, "running" => choice.running,
            "running_tokens" => choice.running_tokens, "wait_ms" => choice.wait.as_millis() as u64,
            "expected_ms" => choice.first_token.as_millis() as u64,
            "by" => %decision.decided_by, "as" => decision.role.code(), "probe" => choice.is_probe,
            "alternative" => decision.alternative.map(|group| group.to_string()),
            "queued_ms" => decision.queued.as_millis() as u64,
            "version" => self.hub.version(), "try" => self.tried.len() + 1);
    }
}
