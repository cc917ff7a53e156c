//! Admission for plain services, which run no model: tracks the requests at each upstream, predicts
//! how long a further one would wait, and decides whether to admit it.
//!
//! An upstream's own queue may be longer than callers wait; once it is full, no request is answered
//! in time. The box that counts the requests of all boxes therefore admits only those that can be
//! answered within the target latency.

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

/// Processing time assumed until the first responses are measured, in seconds.
const PROCESSING_TIME_INITIAL_S: f64 = 0.05;

/// Weight of the newest response in the average processing time.
const PROCESSING_TIME_WEIGHT: f64 = 0.1;

/// Fraction of the target latency within which the expected response must come. The rest is for
/// callers that were refused and retry: their time counts from the first attempt, and a longer
/// queue does not raise an upstream's throughput. A larger fraction fills queues with responses
/// that come too late; a smaller one refuses requests that could be served.
const TARGET_LATENCY_SHARE: f64 = 0.5;

/// Requests whose end is not reported are dropped at this age, many times a usual response time.
/// Ends are reported to the box that the sender believes to count them, so some get lost; without
/// expiry, enough lost ends would block all admission.
const STALE_REQUEST_AGE: Duration = Duration::from_secs(2);

/// Most requests at an upstream per slot, whatever the target latency. More would fill its queue
/// and wait behind slow requests.
pub const PLACED_PER_SLOT_MAX: u32 = 3;

/// What each request is charged against its workspace's share.
pub const REQUEST_CHARGE: u64 = 1;

#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    placed: Duration,
    /// The sending box; `None` for this one.
    sender: Option<IpAddr>,
    /// Whether it could start at once.
    had_slot: bool,
}

/// Requests that run or wait at one upstream.
#[derive(Clone, Debug)]
pub struct PlainQueue {
    requests: FxHashMap<u64, QueuedRequest>,
    /// Average, in seconds.
    processing_time: f64,
}

impl Default for PlainQueue {
    fn default() -> PlainQueue {
        PlainQueue { requests: FxHashMap::default(), processing_time: PROCESSING_TIME_INITIAL_S }
    }
}

impl PlainQueue {
    /// How long one more request would wait where `slots` are processed at once.
    pub fn wait(&self, slots: u32) -> Duration {
        let slots = f64::from(slots.max(1));
        let ahead = (self.requests.len() as f64 + 1.0 - slots).max(0.0);
        Duration::from_secs_f64(ahead / slots * self.processing_time)
    }

    /// Average time to process a request.
    pub fn processing_time(&self) -> Duration {
        Duration::from_secs_f64(self.processing_time)
    }

    /// Requests that run or wait.
    pub fn running(&self) -> usize {
        self.requests.len()
    }

    /// Records a request that is sent to the upstream.
    pub fn add_request(&mut self, request: u64, sender: Option<IpAddr>, slots: u32, now: Duration) {
        let had_slot = self.requests.len() < slots as usize;
        self.requests.insert(request, QueuedRequest { placed: now, sender, had_slot });
    }

    /// Records a response, `took` after the request was sent. Requests that had to wait are
    /// ignored, since their time does not show the processing time.
    pub fn record_response(&mut self, request: u64, took: Duration) {
        if self.requests.get(&request).is_some_and(|queued| queued.had_slot) {
            self.processing_time +=
                (took.as_secs_f64() - self.processing_time) * PROCESSING_TIME_WEIGHT;
        }
    }

    /// Records the end of a request, whatever the reason.
    pub fn remove_request(&mut self, request: u64) {
        self.requests.remove(&request);
    }

    /// Removes the requests of a dead box.
    pub fn remove_sender(&mut self, sender: IpAddr) {
        self.requests.retain(|_, queued| queued.sender != Some(sender));
    }

    /// Drops requests whose ends were never reported.
    pub fn expire(&mut self, now: Duration) {
        self.requests.retain(|_, queued| now <= queued.placed + STALE_REQUEST_AGE);
    }
}

/// A request for a plain service, as the deciding box sees it.
#[derive(Clone, Copy, Debug)]
pub struct PlainQuery<'a> {
    /// Identifies this attempt to send the request.
    pub request: u64,
    pub service: &'a str,
    /// The workspace that is charged; `None` for requests without one.
    pub workspace: Option<&'a WorkspaceName>,
    /// Upstreams that may not be chosen.
    pub excluded: &'a [UpstreamName],
    /// The versions that may be chosen.
    pub version_filter: VersionFilter,
    /// The route's target for the time to the response.
    pub target_latency: Duration,
    /// How much of that time has passed.
    pub waited: Duration,
    /// The availability zone of the sending box.
    pub zone: &'a ZoneName,
    /// The sending box; `None` for this one.
    pub sender: Option<IpAddr>,
}

/// Places a request and charges the workspace's share, or counts the request as refused. A request
/// that would be answered too late is refused at once, unless it need not wait at all. A workspace
/// beyond its share may wait less.
pub fn admit(
    registry: &mut UpstreamRegistry,
    shares: &mut Shares,
    query: PlainQuery<'_>,
    now: Duration,
) -> Result<Choice, Denial> {
    let share_used = query.workspace.map_or(0.0, |w| shares.share_used(w, REQUEST_CHARGE, now));
    let (wait_max_by_share, _) =
        admit::wait_limits(registry.tuning(), query.target_latency, share_used);
    let chosen = registry.choose_plain(query, now);
    let (cause, wait_max) = match chosen {
        Ok((choice, processing_time)) => {
            let remaining = query
                .target_latency
                .mul_f64(TARGET_LATENCY_SHARE)
                .saturating_sub(query.waited + processing_time);
            let wait_max = wait_max_by_share.min(remaining);
            let has_capacity = choice.running < registry.admission_limit(&choice.upstream) as usize;
            if has_capacity && choice.wait <= wait_max {
                let choice = Choice { is_counted: true, ..choice };
                registry.begin_plain(&choice.upstream, query.request, query.sender, now);
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
    Err(Denial {
        cause,
        share_used,
        wait_max,
        source: None,
        may_try_other_groups: false,
        alternative: None,
        retry_after: None,
    })
}
