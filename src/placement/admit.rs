//! Whether a request is placed, and where: by its workspace's share, how long it may wait, and the
//! choice among the engines. Whoever keeps the models of the engines in question decides.

use std::net::IpAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::owners::Group;
use crate::fleet::rollout::Side;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::names::ZoneName;
use crate::placement::choice::Choice;
use crate::placement::choice::NoChoice;
use crate::placement::choice::Source;
use crate::placement::choice::Wanted;
use crate::placement::cold::Role;
use crate::placement::engine::Placement;
use crate::placement::fleet::Fleet;
use crate::placement::share::Shares;
use crate::placement::tuning::Tuning;
use crate::placement::upstream::COPY_MIN;
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
    PlaceIfKept,
    /// To place a request.
    Place,
    /// To say which engine keeps the most of a prompt.
    Look,
}

/// A request for an engine, as whoever decides sees it.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// Names the send.
    pub request: u64,
    /// The service.
    pub service: &'a str,
    /// What is to be read.
    pub prompt: &'a Prompt,
    /// Whom it is charged to.
    pub workspace: Option<&'a WorkspaceName>,
    /// Engines that are out of the question.
    pub except: &'a [UpstreamName],
    /// The route's aim for the first token.
    pub aim: Duration,
    /// How much of that has passed.
    pub waited: Duration,
    /// The engines that it may go to; all of the service if nothing is given.
    pub group: Option<Group>,
    /// The versions that it may go to.
    pub side: Side,
    /// The availability zone of the box that sends it; this box's if nothing is given.
    pub zone: Option<&'a ZoneName>,
    /// The box that sends it; nothing for this one.
    pub sender: Option<IpAddr>,
    /// An engine that may not be chosen and keeps some of the prompt.
    pub source: Option<Source>,
    /// What is wanted.
    pub purpose: Purpose,
    /// Whether no other group of engines will be asked.
    pub is_last: bool,
    /// By what right whoever decides does so.
    pub role: Role,
}

/// Why a request isn't placed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Denial {
    /// The cause.
    pub cause: NoChoice,
    /// How much of its share the workspace would have used with it.
    pub share_used: f64,
    /// How long it could have waited.
    pub wait_max: Duration,
    /// An engine that keeps some of the prompt.
    pub source: Option<Source>,
    /// Whether other groups of engines may be asked. Then it isn't counted as refused yet.
    pub may_go_on: bool,
}

/// Places a request and counts it, or counts it as refused.
pub fn admit(
    fleet: &mut Fleet,
    shares: &mut Shares,
    wish: Wish<'_>,
    now: Duration,
) -> Result<Choice, Denial> {
    let Wish { request, prompt, sender, .. } = wish;
    let charge = prompt.charge();
    let share_used = wish.workspace.map_or(0.0, |w| shares.used(w, charge, now));
    let (busy, idle) = waits_max(fleet.tuning(), wish.aim, share_used);
    let left = busy.saturating_sub(wish.waited);
    let wanted = Wanted {
        service: wish.service,
        prompt: Some(prompt),
        except: wish.except,
        wait_max: left,
        wait_max_idle: idle.saturating_sub(wish.waited),
        anywhere: share_used <= SHARE_ANYWHERE,
        group: wish.group,
        side: wish.side,
        zone: wish.zone,
        source: wish.source,
        role: wish.role,
    };
    if wish.purpose == Purpose::Look {
        let (cause, source) = (NoChoice::OnlyLooked, fleet.keeper(wanted, now));
        return Err(Denial { cause, share_used, wait_max: left, source, may_go_on: true });
    }
    let cause = match fleet.choose(wanted, now) {
        Ok(choice) if wish.purpose == Purpose::PlaceIfKept && is_worth_a_look(prompt, &choice) => {
            let (cause, source) = (NoChoice::NotKept, None);
            return Err(Denial { cause, share_used, wait_max: left, source, may_go_on: true });
        }
        Ok(choice) => {
            let choice = Choice { is_counted: wish.role != Role::Stranger, ..choice };
            let Choice { unread, copied, .. } = choice;
            let placement =
                Placement { request, prompt, unread, copied, sender, decided: Some(wish.role) };
            fleet.place(&choice.upstream, placement, now);
            if let Some(workspace) = wish.workspace {
                let counted = shares.begin(workspace, charge, now);
                shares.keep(request, counted);
            }
            return Ok(choice);
        }
        Err(cause) => cause,
    };
    let may_go_on = !wish.is_last && share_used <= 1.0;
    if let Some(workspace) = wish.workspace
        && !may_go_on
    {
        let counted = shares.refuse(workspace, charge, now);
        shares.keep(request, counted);
    }
    let source = if may_go_on { fleet.keeper(wanted, now) } else { None };
    Err(Denial { cause, share_used, wait_max: left, source, may_go_on })
}

/// Whether enough would be read that others share, so that a copy would be worth it.
fn is_worth_a_look(prompt: &Prompt, choice: &Choice) -> bool {
    let own = prompt.parts.last().map_or(prompt.tokens, |own| own.tokens);
    COPY_MIN <= choice.unread.saturating_sub(own)
}

/// How long a request may wait for an engine where the engines are busy, and where they are idle. The
/// wait is judged, not the time to the first token, so that long prompts are refused no more often than
/// short ones. A workspace beyond its share gives way to the others as the engines get busy, the further
/// beyond the sooner; while they have room it waits like any other.
pub fn waits_max(tuning: Tuning, aim: Duration, share_used: f64) -> (Duration, Duration) {
    let within = aim.mul_f64(tuning.wait_share);
    if share_used <= 1.0 {
        return (within, within);
    }
    let left = 1.0 - (share_used - 1.0) / SHARE_EXCESS;
    let busy = aim.mul_f64(tuning.wait_share_over * left.max(0.0));
    let idle = within.mul_f64(((1.0 + SHARE_EXCESS) / share_used).min(1.0));
    (busy, idle)
}
