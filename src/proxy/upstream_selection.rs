//! Selects an upstream for a request: by the box that tracks the service's upstreams or, if none
//! responds, by this box alone.

use std::time::Duration;

use slog::info;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::rollout::Side;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::placement::admit::Denial;
use crate::placement::admit::Purpose;
use crate::placement::admit::Wish;
use crate::placement::choice::Choice;
use crate::placement::choice::NoChoice;
use crate::placement::choice::Wanted;
use crate::placement::cold::Role;
use crate::placement::plain::Wish as PlainWish;
use crate::proxy::adapter::Prompt;
use crate::proxy::engine_placement;
use crate::proxy::engine_placement::PlacementDecision;
use crate::proxy::placed_request::PlacedRequest;
use crate::proxy::plain_placement;
use crate::proxy::refusal::Refusal;
use crate::proxy::request::Run;

/// Retry time for callers when no upstream is available; listings reappear within seconds.
pub(super) const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(500);

/// Shortest retry time for callers after an overload.
pub(super) const OVERLOAD_RETRY_MIN: Duration = Duration::from_millis(100);

impl Run {
    /// Selects an upstream and records the request there, or says why it can't be served in time.
    pub async fn place(&mut self) -> Result<(Choice, PlacedRequest), Refusal> {
        let attempt = format!("{}/{}", self.head.id, self.tried.len());
        let request = xxh3_64(attempt.as_bytes());
        let side = self.side();
        let mut decision = self.decide(request, side).await;
        let target_denied = side == Side::Target && decision.result.is_err();
        if target_denied && self.begun_at.is_none() && self.may_fall_back() {
            decision = self.decide(request, Side::Others).await;
        }
        match &decision.result {
            Ok(choice) => self.log_placed(choice, &decision),
            Err(denial) => self.log_denial(denial, &decision),
        }
        let choice = match decision.result {
            Ok(choice) => choice,
            Err(denial) => return Err(self.refusal(denial.cause, denial.wait_max)),
        };
        let placed = PlacedRequest::new(self, &choice, decision.request);
        Ok((choice, placed))
    }

    async fn decide(&self, request: u64, side: Side) -> PlacementDecision {
        match &self.head.prompt {
            Some(prompt) => self.place_prompt(prompt, request, side).await,
            None => self.place_plain(request, side).await,
        }
    }

    /// The versions that may serve the request. A response that has begun is resumed by the version
    /// that began it.
    fn side(&self) -> Side {
        let (rollouts, now) = (self.hub.rollouts(), self.hub.now());
        match &self.begun_at {
            Some(version) => rollouts.side_of(&self.service, version, now),
            None => rollouts.side(&self.service, &self.head.id, now),
        }
    }

    fn may_fall_back(&self) -> bool {
        self.hub.rollouts().may_fall_back(&self.service)
    }

    async fn place_prompt(&self, prompt: &Prompt, request: u64, side: Side) -> PlacementDecision {
        let except = self.except();
        let wish = Wish {
            request,
            service: &self.service,
            prompt,
            workspace: self.workspace.as_ref(),
            except: &except,
            aim: self.route.aim,
            waited: self.hub.now().saturating_sub(self.arrived),
            group: None,
            side,
            zone: None,
            sender: None,
            source: None,
            purpose: Purpose::PlaceIfKept,
            is_last: false,
            role: Role::Stranger,
        };
        engine_placement::place(&self.hub, wish).await
    }

    async fn place_plain(&self, request: u64, side: Side) -> PlacementDecision {
        let now = self.hub.now();
        let resting = self.hub.read(|view| view.fleet().resting(&self.service, now));
        let except: Vec<UpstreamName> = self.except().into_iter().chain(resting).collect();
        let wish = PlainWish {
            request,
            service: &self.service,
            workspace: self.workspace.as_ref(),
            except: &except,
            side,
            aim: self.route.aim,
            waited: self.hub.now().saturating_sub(self.arrived),
            zone: self.hub.peers().zone(),
            sender: None,
        };
        match plain_placement::place(&self.hub, wish).await {
            Some(decision) if !decision.has_no_upstream() => decision,
            // Neither owner nor standby responds, or all that are left are unavailable.
            _ => self.choose_uncounted(request, side),
        }
    }

    /// Chooses any upstream of a plain service, without counting the request anywhere.
    fn choose_uncounted(&self, request: u64, side: Side) -> PlacementDecision {
        let except = self.except();
        let any = Wanted::any(&self.service, None, &except, Duration::MAX);
        let wanted = Wanted { side, ..any };
        let denial = |cause| Denial {
            cause,
            share_used: 0.0,
            wait_max: Duration::ZERO,
            source: None,
            may_go_on: false,
        };
        let result = self.hub.choose(wanted).map_err(denial);
        PlacementDecision {
            result,
            decided_by: self.hub.peers().me(),
            role: Role::Stranger,
            request,
        }
    }

    /// Upstreams that must not be chosen: already tried, or this box backs off from them.
    fn except(&self) -> Vec<UpstreamName> {
        let now = self.hub.now();
        let backing_off = self.hub.read(|view| view.fleet().backing_off(&self.service, now));
        self.tried.iter().cloned().chain(backing_off).collect()
    }

    /// Retry time for the caller if this box backs off from all upstreams.
    pub(super) fn resumes_in(&self) -> Option<Duration> {
        let now = self.hub.now();
        let left = self.hub.read(|view| view.fleet().resumes_in(&self.service, now))?;
        Some(left.max(OVERLOAD_RETRY_MIN))
    }

    /// The refusal of a request that isn't placed and could have waited for up to `wait_max`.
    fn refusal(&self, cause: NoChoice, wait_max: Duration) -> Refusal {
        match cause {
            NoChoice::NoUpstream => {
                let retry_after = self.resumes_in().unwrap_or(NO_UPSTREAM_RETRY);
                Refusal::NoUpstream { retry_after }
            }
            NoChoice::Full | NoChoice::NotKept | NoChoice::OnlyLooked => {
                Refusal::Overloaded { retry_after: NO_UPSTREAM_RETRY }
            }
            NoChoice::Busy { wait } => {
                let excess = wait.saturating_sub(wait_max);
                Refusal::Overloaded { retry_after: excess.max(OVERLOAD_RETRY_MIN) }
            }
        }
    }

    fn log_denial(&self, denial: &Denial, decision: &PlacementDecision) {
        let wait = match denial.cause {
            NoChoice::Busy { wait } => Some(wait.as_millis() as u64),
            _ => None,
        };
        info!(self.hub.log(), "not placed"; "id" => &self.head.id, "route" => &self.route.name,
            "service" => self.service.as_str(), "cause" => denial.cause.code(),
            "workspace" => self.workspace.as_ref().map(WorkspaceName::as_str),
            "share_used" => (denial.share_used * 100.0).round() / 100.0,
            "wait_ms" => wait, "wait_max_ms" => denial.wait_max.as_millis() as u64,
            "by" => %decision.decided_by, "as" => decision.role.code(),
            "tried" => self.tried.len(), "version" => self.hub.version());
    }

    fn log_placed(&self, choice: &Choice, decision: &PlacementDecision) {
        info!(self.hub.log(), "placed"; "id" => &self.head.id, "route" => &self.route.name,
            "workspace" => self.workspace.as_ref().map(WorkspaceName::as_str),
            "upstream" => choice.upstream.as_str(), "prompt" => self.head.prompt.as_ref().map_or(0, |p| p.tokens),
            "own" => self.head.prompt.as_ref().and_then(|p| p.parts.last()).map_or(0, |p| p.tokens),
            "unread" => choice.unread,
            "copied" => choice.copied, "running" => choice.running,
            "running_tokens" => choice.running_tokens, "wait_ms" => choice.wait.as_millis() as u64,
            "expected_ms" => choice.first_token.as_millis() as u64,
            "by" => %decision.decided_by, "as" => decision.role.code(),
            "version" => self.hub.version(), "try" => self.tried.len() + 1);
    }
}
