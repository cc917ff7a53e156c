//! Whether a request is placed, and where: by its workspace's share, how long it may wait, and the
//! choice among the engines. Whoever keeps the models of the engines in question decides.

use std::net::IpAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::owners::EngineGroup;
use crate::fleet::rollout::VersionFilter;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::names::ZoneName;
use crate::placement::choice::Choice;
use crate::placement::choice::ChoiceError;
use crate::placement::choice::CopySource;
use crate::placement::choice::SelectionCriteria;
use crate::placement::cold::Role;
use crate::placement::engine::Placement;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::share::Shares;
use crate::placement::tuning::Tuning;
use crate::placement::upstream::COPY_TOKENS_MIN;
use crate::proxy::adapter::Prompt;

/// A workspace that is over its share by this part of it gets only what needs no wait at all.
const SHARE_EXCESS: f64 = 0.5;

/// A workspace that has had less than this part of its share goes to any engine that is free. The
/// others stay with the engines that keep their parts: to copy these or read them again takes from
/// what all can be served.
const SHARE_ANYWHERE: f64 = 0.85;

/// What is wanted of whoever keeps the models.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// To place a request, unless much that others share would have to be read for it. Then an engine
    /// elsewhere may keep that, and can be copied from.
    PlaceIfCached,
    /// To place a request.
    Place,
    /// To say which engine keeps the most of a prompt.
    Lookup,
}

/// A request for an engine, as whoever decides sees it.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Names the send.
    pub request: u64,
    /// The service.
    pub service: &'a str,
    /// What is to be read.
    pub prompt: &'a Prompt,
    /// Whom it is charged to.
    pub workspace: Option<&'a WorkspaceName>,
    /// Engines that are out of the question.
    pub excluded: &'a [UpstreamName],
    /// The route's aim for the first token.
    pub target_latency: Duration,
    /// How much of that has passed.
    pub waited: Duration,
    /// The engines that it may go to; all of the service if nothing is given.
    pub group: Option<EngineGroup>,
    /// The versions that it may go to.
    pub side: VersionFilter,
    /// The availability zone of the box that sends it; this box's if nothing is given.
    pub zone: Option<&'a ZoneName>,
    /// The box that sends it; nothing for this one.
    pub sender: Option<IpAddr>,
    /// An engine that may not be chosen and keeps some of the prompt.
    pub source: Option<CopySource>,
    /// What is wanted.
    pub purpose: Purpose,
    /// Whether no other group of engines will be asked.
    pub is_last_group: bool,
    /// By what right whoever decides does so.
    pub role: Role,
}

/// Why a request isn't placed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Denial {
    /// The cause.
    pub cause: ChoiceError,
    /// How much of its share the workspace would have used with it.
    pub share_used: f64,
    /// How long it could have waited.
    pub wait_max: Duration,
    /// An engine that keeps some of the prompt.
    pub source: Option<CopySource>,
    /// Whether other groups of engines may be asked. Then it isn't counted as refused yet.
    pub may_try_other_groups: bool,
}

/// Places a request and counts it, or counts it as refused.
pub fn admit(
    fleet: &mut UpstreamRegistry,
    shares: &mut Shares,
    query: PlacementQuery<'_>,
    now: Duration,
) -> Result<Choice, Denial> {
    let PlacementQuery { request, prompt, sender, .. } = query;
    let charge = prompt.charge();
    let share_used = query.workspace.map_or(0.0, |w| shares.share_used(w, charge, now));
    let (busy, idle) = wait_limits(fleet.tuning(), query.target_latency, share_used);
    let left = busy.saturating_sub(query.waited);
    let criteria = SelectionCriteria {
        service: query.service,
        prompt: Some(prompt),
        excluded: query.excluded,
        wait_max: left,
        wait_max_idle: idle.saturating_sub(query.waited),
        any_engine: share_used <= SHARE_ANYWHERE,
        group: query.group,
        side: query.side,
        zone: query.zone,
        source: query.source,
        role: query.role,
    };
    if query.purpose == Purpose::Lookup {
        let (cause, source) = (ChoiceError::LookupOnly, fleet.best_cached_source(criteria, now));
        return Err(Denial {
            cause,
            share_used,
            wait_max: left,
            source,
            may_try_other_groups: true,
        });
    }
    let cause = match fleet.choose(criteria, now) {
        Ok(choice)
            if query.purpose == Purpose::PlaceIfCached && is_worth_a_look(prompt, &choice) =>
        {
            let (cause, source) = (ChoiceError::NotCached, None);
            return Err(Denial {
                cause,
                share_used,
                wait_max: left,
                source,
                may_try_other_groups: true,
            });
        }
        Ok(choice) => {
            let choice = Choice { is_counted: query.role != Role::Unassigned, ..choice };
            let Choice { prefill_tokens, copied_tokens, .. } = choice;
            let placement = Placement {
                request,
                prompt,
                prefill_tokens,
                copied_tokens,
                sender,
                decided_by: Some(query.role),
            };
            fleet.place(&choice.upstream, placement, now);
            if let Some(workspace) = query.workspace {
                let counted = shares.begin(workspace, charge, now);
                shares.remember(request, counted);
            }
            return Ok(choice);
        }
        Err(cause) => cause,
    };
    let may_try_other_groups = !query.is_last_group && share_used <= 1.0;
    if let Some(workspace) = query.workspace
        && !may_try_other_groups
    {
        let counted = shares.refuse(workspace, charge, now);
        shares.remember(request, counted);
    }
    let source = if may_try_other_groups { fleet.best_cached_source(criteria, now) } else { None };
    Err(Denial { cause, share_used, wait_max: left, source, may_try_other_groups })
}

/// Whether enough would be read that others share, so that a copy would be worth it.
fn is_worth_a_look(prompt: &Prompt, choice: &Choice) -> bool {
    let own = prompt.parts.last().map_or(prompt.tokens, |own| own.tokens);
    COPY_TOKENS_MIN <= choice.prefill_tokens.saturating_sub(own)
}

/// How long a request may wait for an engine where the engines are busy, and where they are idle. The
/// wait is judged, not the time to the first token, so that long prompts are refused no more often than
/// short ones. A workspace beyond its share gives way to the others as the engines get busy, the further
/// beyond the sooner; while they have room it waits like any other.
pub fn wait_limits(
    tuning: Tuning,
    target_latency: Duration,
    share_used: f64,
) -> (Duration, Duration) {
    let within = target_latency.mul_f64(tuning.wait_share);
    if share_used <= 1.0 {
        return (within, within);
    }
    let left = 1.0 - (share_used - 1.0) / SHARE_EXCESS;
    let busy = target_latency.mul_f64(tuning.wait_share_over * left.max(0.0));
    let idle = within.mul_f64(((1.0 + SHARE_EXCESS) / share_used).min(1.0));
    (busy, idle)
}
