//! Decides whether and where a request is placed, by its workspace's share, the wait that it may
//! accept, and the selection among engines. Runs on a box that tracks the engines in question.

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
use crate::proxy::routing_table::Rank;

/// While the engines are saturated, a workspace that exceeds its share by this fraction is admitted
/// only where it need not wait at all.
const SHARE_EXCESS_MAX: f64 = 0.5;

/// A workspace that has used less than this fraction of its share may go to any free engine. Other
/// workspaces stay with the engines that have their prompt parts cached, because copying or
/// recomputing those parts reduces the capacity of all.
pub const ANY_ENGINE_SHARE_MAX: f64 = 0.85;

/// The target latency divided by this is the wait that costs a caller nothing.
const FREE_WAIT_DIVISOR: u32 = 8;

/// How far an engine may read ahead of [`Tuning::prefill_share`] for workspaces that have used little
/// of their share, where others wait in a queue meanwhile. No request waits for this: running ones are
/// slowed for as long, and get a token with each chunk.
pub const READING_AHEAD_MAX: Duration = Duration::from_secs(1);

/// First tokens may take longer than expected by this factor and still come in time: engines' steps
/// vary, and requests of other boxes arrive meanwhile.
const FIRST_TOKEN_MARGIN: f64 = 1.25;

/// What the owner of the engines, or their standby, is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// Place the request, unless a large shared part of the prompt would have to be prefilled. An
    /// engine elsewhere may then have that part cached and serve as the copy source.
    PlaceIfCached,
    /// Place the request.
    Place,
    /// Place the request, or name a group with free capacity. No other one will be asked.
    PlaceOrRedirect,
    /// Report which engine has the most of the prompt cached.
    Lookup,
}

/// A request for an engine, as the deciding box sees it.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Identifies the decision.
    pub request: u64,
    pub service: &'a str,
    /// The prompt to prefill.
    pub prompt: &'a Prompt,
    /// The workspace that is charged; `None` for requests without one.
    pub workspace: Option<&'a WorkspaceName>,
    /// Goes before requests of the same workspace with a lower rank.
    pub rank: Rank,
    /// Engines that may not be chosen.
    pub excluded: &'a [UpstreamName],
    /// The route's target for the time to the first token.
    pub target_latency: Duration,
    /// How much of that time has passed.
    pub waited: Duration,
    /// The engines that may be chosen; `None` allows all of the service.
    pub group: Option<EngineGroup>,
    /// The versions that may be chosen.
    pub version_filter: VersionFilter,
    /// The availability zone of the sending box; `None` for this box's.
    pub zone: Option<&'a ZoneName>,
    /// The sending box; `None` for this one.
    pub sender: Option<IpAddr>,
    /// An engine that may not be chosen but has part of the prompt cached.
    pub source: Option<CopySource>,
    /// Short hashes of engines to which the sending box has an idle connection for the request.
    pub connected: &'a [u16],
    pub purpose: Purpose,
    /// Whether no further group of engines will be asked.
    pub is_last_group: bool,
    /// The role in which this box decides.
    pub role: Role,
    /// Whether the request may be sent again if it fails.
    pub is_repeatable: bool,
}

/// Why a request is not placed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Denial {
    pub cause: ChoiceError,
    /// The fraction of its share that the workspace would have used, with this request included.
    pub share_used: f64,
    /// The longest wait that would have been accepted.
    pub wait_max: Duration,
    /// An engine that has part of the prompt cached.
    pub source: Option<CopySource>,
    /// Whether other groups of engines may be asked. If so, the request is not yet counted as
    /// refused.
    pub may_try_other_groups: bool,
    /// A group that has announced free capacity, to be asked next.
    pub alternative: Option<EngineGroup>,
    /// How long it takes until a request like this one would begin, if that is known.
    pub retry_after: Option<Duration>,
}

impl Denial {
    /// The denial of a request on which there is no decision in time.
    pub fn overloaded() -> Denial {
        Denial {
            cause: ChoiceError::Full,
            share_used: 0.0,
            wait_max: Duration::ZERO,
            source: None,
            may_try_other_groups: false,
            alternative: None,
            retry_after: None,
        }
    }
}

/// What stands against placing a request in its group of engines.
#[derive(Clone, Copy, Debug)]
pub struct Obstacle<'a> {
    /// The engine that would be chosen; `None` if there is none.
    pub choice: Option<&'a Choice>,
    /// The fraction of its share that the workspace would have used.
    pub share_used: f64,
}

/// Places a request and charges the workspace's share, or counts the request as refused.
pub fn admit(
    registry: &mut UpstreamRegistry,
    shares: &mut Shares,
    query: PlacementQuery<'_>,
    now: Duration,
) -> Result<Choice, Denial> {
    admit_or_redirect(registry, shares, query, now, |_, _| None)
}

/// Like [`admit`], but a request that would wait or be denied is denied with the group that
/// `redirect` returns, and not counted as refused.
pub fn admit_or_redirect(
    registry: &mut UpstreamRegistry,
    shares: &mut Shares,
    query: PlacementQuery<'_>,
    now: Duration,
    redirect: impl FnOnce(&UpstreamRegistry, Obstacle<'_>) -> Option<EngineGroup>,
) -> Result<Choice, Denial> {
    admit_with_limit(registry, shares, query, None, now, redirect)
}

/// Like [`admit_or_redirect`]. With a `backlog_max`, no request waits at an engine that would return
/// its first token too late, and while the engines are saturated, only workspaces that have used
/// little of their share may wait longer than this at one, and let it read ahead of its share of
/// time. An engine's backlog can't be reordered: one workspace that fills it up makes all others
/// wait.
pub fn admit_with_limit(
    registry: &mut UpstreamRegistry,
    shares: &mut Shares,
    query: PlacementQuery<'_>,
    backlog_max: Option<Duration>,
    now: Duration,
    redirect: impl FnOnce(&UpstreamRegistry, Obstacle<'_>) -> Option<EngineGroup>,
) -> Result<Choice, Denial> {
    let prompt = query.prompt;
    let charge = prompt.charge();
    let share_used = query.workspace.map_or(0.0, |w| shares.share_used(w, charge, now));
    let (busy, idle) = wait_limits(registry.tuning(), query.target_latency, share_used);
    let any_engine = share_used <= ANY_ENGINE_SHARE_MAX;
    let (busy, idle) = match backlog_max {
        Some(_) if any_engine => (READING_AHEAD_MAX, READING_AHEAD_MAX),
        Some(max) => (busy.min(max), idle),
        None => (busy, idle),
    };
    let remaining = busy.saturating_sub(query.waited);
    let criteria = SelectionCriteria {
        service: query.service,
        prompt: Some(prompt),
        excluded: query.excluded,
        wait_max: remaining,
        wait_max_idle: idle.saturating_sub(query.waited),
        first_token_target: Some(query.target_latency.saturating_sub(query.waited)),
        first_token_max: backlog_max.map(|_| first_token_max(query)),
        any_engine,
        group: query.group,
        version_filter: query.version_filter,
        zone: query.zone,
        source: query.source,
        connected: query.connected,
        role: query.role,
        is_repeatable: query.is_repeatable,
    };
    if query.purpose == Purpose::Lookup {
        let (cause, source) = (ChoiceError::LookupOnly, registry.best_cached_source(criteria, now));
        return Err(Denial {
            cause,
            share_used,
            wait_max: remaining,
            source,
            may_try_other_groups: true,
            alternative: None,
            retry_after: None,
        });
    }
    let chosen = registry.choose(criteria, now);
    if let Ok(choice) = &chosen
        && query.purpose == Purpose::PlaceIfCached
        && is_copy_worthwhile(prompt, choice)
    {
        let (cause, source) = (ChoiceError::NotCached, None);
        return Err(Denial {
            cause,
            share_used,
            wait_max: remaining,
            source,
            may_try_other_groups: true,
            alternative: None,
            retry_after: None,
        });
    }
    let obstacle = Obstacle { choice: chosen.as_ref().ok(), share_used };
    let alternative = if query.is_last_group { None } else { redirect(registry, obstacle) };
    let may_try_by_hash =
        !query.is_last_group && query.purpose != Purpose::PlaceOrRedirect && share_used <= 1.0;
    let may_try_other_groups = may_try_by_hash || alternative.is_some();
    let probe = |cause| registry.probe(criteria, may_try_other_groups, now).ok_or(cause);
    let cause = match chosen.or_else(probe) {
        Ok(choice) if alternative.is_some() => ChoiceError::Busy { wait: choice.wait },
        Ok(choice) => return Ok(record(registry, shares, query, choice, now)),
        Err(cause) => cause,
    };
    if !may_try_other_groups {
        count_refused(shares, query, now);
    }
    let source =
        if may_try_other_groups { registry.best_cached_source(criteria, now) } else { None };
    Err(Denial {
        cause,
        share_used,
        wait_max: remaining,
        source,
        may_try_other_groups,
        alternative,
        retry_after: None,
    })
}

/// Places a request that has waited in a queue on any engine with a wait of at most `wait_max` that
/// returns the first token in time. If there is none, nothing is counted: the request keeps waiting.
pub fn place_queued(
    registry: &mut UpstreamRegistry,
    shares: &mut Shares,
    query: PlacementQuery<'_>,
    wait_max: Duration,
    now: Duration,
) -> Result<Choice, ChoiceError> {
    let any = SelectionCriteria::any(query.service, Some(query.prompt), query.excluded, wait_max);
    let criteria = SelectionCriteria {
        group: query.group,
        version_filter: query.version_filter,
        zone: query.zone,
        source: query.source,
        first_token_max: Some(first_token_max(query)),
        role: query.role,
        ..any
    };
    let choice = registry.choose(criteria, now)?;
    Ok(record(registry, shares, query, choice, now))
}

/// Counts the tokens of a request as refused, unless it is placed later on.
pub fn count_refused(shares: &mut Shares, query: PlacementQuery<'_>, now: Duration) {
    if let Some(workspace) = query.workspace {
        let counted = shares.refuse(workspace, query.prompt.charge(), now);
        shares.remember(query.request, counted);
    }
}

/// Records a placement, and charges the workspace's share.
fn record(
    registry: &mut UpstreamRegistry,
    shares: &mut Shares,
    query: PlacementQuery<'_>,
    choice: Choice,
    now: Duration,
) -> Choice {
    let choice = Choice { is_counted: query.role != Role::Unassigned, ..choice };
    let placement = Placement {
        request: query.request,
        prompt: query.prompt,
        prefill_tokens: choice.prefill_tokens,
        copied_tokens: choice.copied_tokens,
        sender: query.sender,
        decided_by: Some(query.role),
    };
    registry.place(&choice.upstream, placement, now);
    if let Some(workspace) = query.workspace {
        let counted = shares.begin(workspace, query.prompt.charge(), now);
        shares.remember(query.request, counted);
    }
    choice
}

/// Whether the choice would prefill enough shared tokens to make a copy worthwhile.
fn is_copy_worthwhile(prompt: &Prompt, choice: &Choice) -> bool {
    let own = prompt.parts.last().map_or(prompt.tokens, |own| own.tokens);
    COPY_TOKENS_MIN <= choice.prefill_tokens.saturating_sub(own)
}

/// Returns how long a request may wait in a queue, if its first token takes this long once an engine
/// begins. A workspace that has used its share may wait only as long as costs its caller nothing: it
/// asks for more than fits, so longer waits would not serve more of its requests, only each of them
/// later. One that has used little of it may wait as long as the answer still comes in time, and one
/// between these the less the more it has used.
pub fn queue_limit(target_latency: Duration, first_token: Duration, share_used: f64) -> Duration {
    let over = target_latency / FREE_WAIT_DIVISOR;
    let latest = first_token.mul_f64(FIRST_TOKEN_MARGIN);
    let within = target_latency.saturating_sub(latest).max(over);
    let part = ((1.0 - share_used) / (1.0 - ANY_ENGINE_SHARE_MAX)).clamp(0.0, 1.0);
    over + (within - over).mul_f64(part)
}

/// The longest expected time to a request's first token with which it still comes in time.
fn first_token_max(query: PlacementQuery<'_>) -> Duration {
    query.target_latency.saturating_sub(query.waited).div_f64(FIRST_TOKEN_MARGIN)
}

/// Returns the longest acceptable wait for an engine where the engines are saturated, and where
/// they are idle. The wait is limited, not the time to the first token, so that long prompts are
/// refused no more often than short ones. As the engines saturate, a workspace beyond its share may
/// wait less, the more so the further it is beyond; while they are idle, it may wait like any other
/// until it exceeds its share by `SHARE_EXCESS_MAX`.
pub fn wait_limits(
    tuning: Tuning,
    target_latency: Duration,
    share_used: f64,
) -> (Duration, Duration) {
    let within = target_latency.mul_f64(tuning.wait_share);
    if share_used <= 1.0 {
        return (within, within);
    }
    let remaining = 1.0 - (share_used - 1.0) / SHARE_EXCESS_MAX;
    let busy = target_latency.mul_f64(tuning.wait_share_over * remaining.max(0.0));
    let idle = within.mul_f64(((1.0 + SHARE_EXCESS_MAX) / share_used).min(1.0));
    (busy, idle)
}
