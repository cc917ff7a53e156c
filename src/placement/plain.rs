//! Upstreams of plain services: what runs and waits there, how long another request would wait, and whether
//! one is admitted.
//!
//! An upstream's own queue may be longer than any caller's patience: one that is full serves nobody in time.
//! So whoever counts what all boxes have there admits only what can be answered within the aim.

use std::net::IpAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::fleet::rollout::VersionFilter;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::names::ZoneName;
use crate::placement::admit;
use crate::placement::admit::Denial;
use crate::placement::choice::Choice;
use crate::placement::choice::ChoiceError;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::share::Shares;

/// Time in which a request is worked on, in seconds, until the first answers have told.
const WORK_FIRST: f64 = 0.05;

/// Weight of the newest answer in the average time of work.
const WORK_WEIGHT: f64 = 0.1;

/// Part of the aim within which a request must be answered by what is expected; the rest is for callers who were
/// refused and come back: their aim counts from their first try, and an upstream serves no more by a longer queue.
/// A longer part fills queues with what comes too late; a shorter one refuses what could be served.
const AIM_SHARE: f64 = 0.5;

/// A request whose end isn't heard of is forgotten after this: many times what an answer takes. Ends are told to whoever
/// counts by what the sender believes, and as many that are counted in vain as fit let nothing more in.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(2);

/// Requests at an upstream, in multiples of its slots, that no admission exceeds, however long the aim: more would
/// fill its queue and have to wait for the others' slow ones.
pub const PLACED_PER_SLOT_MAX: u32 = 3;

/// What each request counts among the shares of workspaces.
pub const REQUEST_CHARGE: u64 = 1;

#[derive(Clone, Copy, Debug)]
struct Run {
    placed: Duration,
    /// The box that sent it; nothing for this one.
    sender: Option<IpAddr>,
    /// Whether it could begin at once.
    had_slot: bool,
}

/// What runs and waits at one upstream.
#[derive(Clone, Debug)]
pub struct Plain {
    runs: FxHashMap<u64, Run>,
    /// Average time of work, in seconds.
    work: f64,
}

impl Default for Plain {
    fn default() -> Plain {
        Plain { runs: FxHashMap::default(), work: WORK_FIRST }
    }
}

impl Plain {
    /// How long one more request would wait where `slots` are worked on at once.
    pub fn wait(&self, slots: u32) -> Duration {
        let slots = f64::from(slots.max(1));
        let before = (self.runs.len() as f64 + 1.0 - slots).max(0.0);
        Duration::from_secs_f64(before / slots * self.work)
    }

    /// How long one is worked on.
    pub fn work(&self) -> Duration {
        Duration::from_secs_f64(self.work)
    }

    /// Requests that run or wait there.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Notes that a request is sent there.
    pub fn begin(&mut self, request: u64, sender: Option<IpAddr>, slots: u32, now: Duration) {
        let had_slot = self.runs.len() < slots as usize;
        self.runs.insert(request, Run { placed: now, sender, had_slot });
    }

    /// Notes that a request was answered, `took` after it was sent. What had to wait says nothing of the work.
    pub fn answered(&mut self, request: u64, took: Duration) {
        if self.runs.get(&request).is_some_and(|run| run.had_slot) {
            self.work += (took.as_secs_f64() - self.work) * WORK_WEIGHT;
        }
    }

    /// Notes that a request has ended, for whatever reason.
    pub fn end(&mut self, request: u64) {
        self.runs.remove(&request);
    }

    /// Forgets the requests of a box that is gone.
    pub fn remove_sender(&mut self, sender: IpAddr) {
        self.runs.retain(|_, run| run.sender != Some(sender));
    }

    /// Forgets requests whose ends were never heard of.
    pub fn tick(&mut self, now: Duration) {
        self.runs.retain(|_, run| now <= run.placed + FORGOTTEN_AFTER);
    }
}

/// A request for a plain service, as whoever counts its upstreams sees it.
#[derive(Clone, Copy, Debug)]
pub struct PlainQuery<'a> {
    /// Names the send.
    pub request: u64,
    /// The service.
    pub service: &'a str,
    /// Whom it is charged to.
    pub workspace: Option<&'a WorkspaceName>,
    /// Upstreams that are out of the question.
    pub excluded: &'a [UpstreamName],
    /// The versions that it may go to.
    pub side: VersionFilter,
    /// The route's aim for the answer.
    pub target_latency: Duration,
    /// How much of that has passed.
    pub waited: Duration,
    /// The availability zone of the box that sends it.
    pub zone: &'a ZoneName,
    /// That box; nothing for this one.
    pub sender: Option<IpAddr>,
}

/// Places a request and counts it, or counts it as refused. What would be answered too late is refused at once,
/// unless it needn't wait at all. A workspace beyond its share waits for less.
pub fn admit(
    fleet: &mut UpstreamRegistry,
    shares: &mut Shares,
    query: PlainQuery<'_>,
    now: Duration,
) -> Result<Choice, Denial> {
    let share_used = query.workspace.map_or(0.0, |w| shares.share_used(w, REQUEST_CHARGE, now));
    let (by_share, _) = admit::wait_limits(fleet.tuning(), query.target_latency, share_used);
    let chosen = fleet.choose_plain(query, now);
    let (cause, wait_max) = match chosen {
        Ok((choice, work)) => {
            let left = query.target_latency.mul_f64(AIM_SHARE).saturating_sub(query.waited + work);
            let wait_max = by_share.min(left);
            let has_room = choice.running < fleet.admission_limit(&choice.upstream) as usize;
            if has_room && choice.wait <= wait_max {
                let choice = Choice { is_counted: true, ..choice };
                fleet.begin_plain(&choice.upstream, query.request, query.sender, now);
                if let Some(workspace) = query.workspace {
                    let counted = shares.begin(workspace, REQUEST_CHARGE, now);
                    shares.remember(query.request, counted);
                }
                return Ok(choice);
            }
            (ChoiceError::Busy { wait: choice.wait }, wait_max)
        }
        Err(cause) => (cause, Duration::ZERO),
    };
    if let Some(workspace) = query.workspace {
        let counted = shares.refuse(workspace, REQUEST_CHARGE, now);
        shares.remember(query.request, counted);
    }
    Err(Denial { cause, share_used, wait_max, source: None, may_try_other_groups: false })
}
