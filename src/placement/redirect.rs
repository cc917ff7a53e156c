//! Decides whether a request that a group of engines can't place at once goes to another one, and
//! which group a sender asks next.

use std::net::IpAddr;
use std::time::Duration;

use rand::Rng;

use crate::fleet::headroom::Draw;
use crate::fleet::headroom::HeadroomTable;
use crate::fleet::owners::EngineGroup;
use crate::fleet::owners::OwnerTable;
use crate::placement::admit::Denial;
use crate::placement::admit::Obstacle;
use crate::placement::admit::PlacementQuery;
use crate::placement::admit::Purpose;
use crate::placement::choice::Choice;
use crate::placement::choice::ChoiceError;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::speed::Work;
use crate::placement::upstream::COPY_TOKENS_MIN;
use crate::proxy::adapter::Prompt;

/// Groups of engines that are asked for one request, if the second one isn't chosen by hash only.
const GROUPS_MAX: usize = 2;

/// The same, if a group with free capacity was named: its capacity may be used up when it is asked.
const GROUPS_MAX_WITH_NAMED: usize = 3;

/// A third group is asked only in this fraction of the target latency.
const THIRD_GROUP_TIME_SHARE: f64 = 0.25;

/// A wait that would be accepted is avoided if that saves this much, beyond the cost of prefilling
/// or copying the shared part.
const WAIT_SAVED_MIN: Duration = Duration::from_millis(100);

/// What an owner knows of other groups.
pub struct Alternatives<'a, R> {
    pub headroom: &'a mut HeadroomTable,
    pub owners: &'a OwnerTable,
    /// Whether a box has not responded lately.
    pub is_unresponsive: &'a dyn Fn(IpAddr) -> bool,
    pub rng: &'a mut R,
}

impl<R: Rng> Alternatives<'_, R> {
    /// Claims one request of another group if the request should go there. Workspaces beyond their
    /// share leave half of each offer to others.
    pub fn claim(
        &mut self,
        registry: &UpstreamRegistry,
        query: &PlacementQuery<'_>,
        obstacle: Obstacle<'_>,
        now: Duration,
    ) -> Option<EngineGroup> {
        let avoided = query.group?;
        // Workspaces beyond their share are denied while there is free capacity.
        let is_within_share = obstacle.share_used <= 1.0;
        if obstacle.choice.is_none() && is_within_share && query.excluded.is_empty() {
            self.headroom.mark_short(avoided, query.service, now);
        }
        if !self.headroom.has_room(query.service, avoided) {
            return None;
        }
        let wait_max = match obstacle.choice {
            Some(choice) if is_within_share => wait_max_if_moved(registry, query, choice)?,
            None if is_within_share => wait_max_elsewhere(registry, query)?,
            Some(_) => return None,
            // They get what is idle, but no part of what others will begin soon.
            None => Duration::ZERO,
        };
        let home = registry.home(query.service, query.prompt, query.version_filter, Some(avoided));
        let draw = Draw {
            service: query.service,
            avoided,
            preferred: home.map(|hash| self.owners.group(hash)),
            wait_max,
            leaves_half: !is_within_share,
        };
        let (owners, is_unresponsive) = (self.owners, self.is_unresponsive);
        let is_usable = |group: EngineGroup, ip: IpAddr| {
            owners.owners_of(group).is_some_and(|o| o.owner == ip)
                && owners.has_group(group)
                && !is_unresponsive(ip)
        };
        self.headroom.claim(draw, is_usable, self.rng, now)
    }
}

/// The longest wait after which an engine that has nothing of the prompt cached would still return
/// the first token in time; `None` if it can't.
fn wait_max_elsewhere(registry: &UpstreamRegistry, query: &PlacementQuery<'_>) -> Option<Duration> {
    let speed = registry.speed(query.service);
    let prefill_s = speed.prefill_seconds(Work::prefill(0, query.prompt.tokens));
    let first_token = Duration::try_from_secs_f64(prefill_s + speed.fixed_seconds()).ok()?;
    query.target_latency.checked_sub(query.waited)?.checked_sub(first_token)
}

/// The longest wait elsewhere with which a request is served no later than at the chosen engine,
/// after what it costs to prefill there what that engine has cached, or to copy it; `None` if too
/// little is saved at best.
fn wait_max_if_moved(
    registry: &UpstreamRegistry,
    query: &PlacementQuery<'_>,
    choice: &Choice,
) -> Option<Duration> {
    if choice.wait < WAIT_SAVED_MIN {
        return None;
    }
    let (speed, tuning) = (registry.speed(query.service), registry.tuning());
    let Prompt { tokens, .. } = *query.prompt;
    let cached = tokens.saturating_sub(choice.prefill_tokens);
    let seconds = |work| speed.prefill_seconds(work);
    let here = seconds(Work::prefill(cached, choice.prefill_tokens));
    let prefilled = (seconds(Work::prefill(0, tokens)) - here) * tuning.prefill_weight;
    let copy_time = registry.copy_time(&choice.upstream, cached);
    let copied = copy_time.filter(|_| COPY_TOKENS_MIN <= cached);
    let copied = copied.map_or(f64::INFINITY, |time| time.as_secs_f64() * tuning.copy_weight);
    let cost = Duration::try_from_secs_f64(prefilled.min(copied).max(0.0)).ok()?;
    choice.wait.checked_sub(cost).filter(|wait| WAIT_SAVED_MIN <= *wait)
}

/// The group that a sender asks next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextGroup {
    /// The group that the last one has named; `None` for the next one by hash.
    pub named: Option<EngineGroup>,
    pub further: Further,
}

/// Which groups may be asked after one that denies a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Further {
    Any,
    /// Only one with free capacity that the owner names.
    Named,
    None,
}

impl NextGroup {
    /// What the group's owner is asked to do, if it would otherwise be asked for `purpose`.
    pub fn purpose(self, purpose: Purpose) -> Purpose {
        if self.further == Further::Named { Purpose::PlaceOrRedirect } else { purpose }
    }

    pub fn is_last(self) -> bool {
        self.further == Further::None
    }
}

/// The result of asking a group.
#[derive(Clone, Copy, Debug)]
pub enum Asked<'a> {
    Denied(&'a Denial),
    /// Neither its owner nor its standby responded.
    NoResponse(NextGroup),
}

/// What a sender goes by when it selects the next group.
#[derive(Clone, Copy, Debug)]
pub struct Attempts<'a> {
    /// Groups asked so far.
    pub count: usize,
    /// The result of the last one; `None` before the first.
    pub last: Option<Asked<'a>>,
    /// The part of `target_latency` that has passed.
    pub passed: Duration,
    pub target_latency: Duration,
    /// Whether owners name groups with free capacity.
    pub has_headroom: bool,
}

/// Returns the group to ask next; `None` to ask no further one. An owner that could queue a request
/// goes by the same rule: it denies the request while it can name a group, and queues it otherwise.
pub fn next_group(attempts: Attempts<'_>) -> Option<NextGroup> {
    let Attempts { count, last, passed, target_latency, has_headroom } = attempts;
    let may_ask_third = has_headroom && passed <= target_latency.mul_f64(THIRD_GROUP_TIME_SHARE);
    let denial = match last {
        None => return Some(NextGroup { named: None, further: Further::Any }),
        // The named group is lost; the one by hash is not.
        Some(Asked::NoResponse(next)) => {
            let is_next = next.named.is_some() && count < GROUPS_MAX_WITH_NAMED;
            return is_next.then_some(NextGroup { named: None, further: Further::None });
        }
        Some(Asked::Denied(denial)) => denial,
    };
    if !denial.may_try_other_groups || GROUPS_MAX_WITH_NAMED <= count {
        return None;
    }
    let named = denial.alternative;
    // Workspaces beyond their share get no third attempt.
    let further = if GROUPS_MAX <= count {
        Further::None
    } else if was_acceptable(denial) {
        Further::Any
    } else if may_ask_third && denial.share_used <= 1.0 {
        Further::Named
    } else {
        Further::None
    };
    Some(NextGroup { named, further })
}

/// Returns the group to which a prompt hashes, after the `asked` ones. If all that it hashes to
/// have been asked, or the first one would have placed the request if it had not named another, the
/// first one is asked again.
pub fn group_by_hash(
    registry: &UpstreamRegistry,
    owners: &OwnerTable,
    query: &PlacementQuery<'_>,
    asked: &[EngineGroup],
    returns_to_first: bool,
) -> Option<EngineGroup> {
    let home = |avoided| {
        let home = registry.home(query.service, query.prompt, query.version_filter, avoided);
        home.map(|hash| owners.group(hash))
    };
    let Some(first) = asked.first().copied() else { return home(None) };
    if returns_to_first && 1 < asked.len() {
        return Some(first);
    }
    let next = home(Some(first))?;
    if asked.contains(&next) { Some(first) } else { Some(next) }
}

/// Whether an owner that has named a group would otherwise have placed the request after a wait.
pub fn was_acceptable(denial: &Denial) -> bool {
    let is_short = matches!(denial.cause, ChoiceError::Busy { wait } if wait <= denial.wait_max);
    is_short && denial.alternative.is_some()
}
