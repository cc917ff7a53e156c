//! Admission for plain services, which run no model: tracks the requests at each upstream, predicts
//! how long a further one would wait, and decides whether to admit it.
//!
//! An upstream's own queue may be longer than callers wait; once it is full, no request is answered
//! in time. The box that counts the requests of all boxes therefore admits only those that can be
//! answered within the target latency.

use std::net::IpAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::fleet::in_progress::CONFIRMED_FOR;
use crate::fleet::in_progress::LEASE;
use crate::fleet::in_progress::OWN_LEASE;
use crate::fleet::in_progress::RequestRecord;
use crate::fleet::rollout::VersionFilter;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::names::ZoneName;
use crate::placement::admit;
use crate::placement::admit::Denial;
use crate::placement::choice::Choice;
use crate::placement::choice::ChoiceError;
use crate::placement::cold::Role;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::registry::in_progress::ReportedState;
use crate::placement::registry::rivals::UNSEEN_FOR;
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

/// Most requests at an upstream per slot, whatever the target latency. More would fill its queue
/// and wait behind slow requests.
pub const PLACED_PER_SLOT_MAX: u32 = 3;

/// What each request is charged against its workspace's share.
pub const REQUEST_CHARGE: u64 = 1;

#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    placed: Duration,
    /// When its sender last confirmed it.
    renewed: Duration,
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
        let queued = QueuedRequest { placed: now, renewed: now, sender, had_slot };
        self.requests.insert(request, queued);
    }

    /// Adds the record of a request that was placed earlier, or renews the one that there is.
    pub fn adopt(
        &mut self,
        request: u64,
        placed: Duration,
        sender: Option<IpAddr>,
        renewed: Duration,
    ) {
        let queued = QueuedRequest { placed, renewed, sender, had_slot: false };
        let known = self.requests.entry(request).or_insert(queued);
        known.renewed = known.renewed.max(renewed);
    }

    /// Updates the record of a sender's request by what the sender reports. Returns what that was;
    /// `None` if there is no such record.
    pub fn reconcile(
        &mut self,
        request: u64,
        sender: Option<IpAddr>,
        state: &mut impl FnMut(u64, Duration) -> ReportedState,
        now: Duration,
    ) -> Option<ReportedState> {
        let queued = self.requests.get_mut(&request).filter(|r| r.sender == sender)?;
        let state = state(request, queued.placed);
        match state {
            ReportedState::Renewed { .. } => queued.renewed = now,
            ReportedState::Ended => _ = self.remove_request(request),
            ReportedState::Unlisted => {}
        }
        Some(state)
    }

    /// Whether there is a record of a request.
    pub fn has_request(&self, request: u64) -> bool {
        self.requests.contains_key(&request)
    }

    /// Requests that their senders have confirmed lately.
    pub fn confirmed(&self, now: Duration) -> usize {
        let confirmed =
            self.requests.values().filter(|queued| now <= queued.renewed + CONFIRMED_FOR);
        confirmed.count()
    }

    /// Requests placed within the last batch intervals, of which other deciders may not know.
    pub fn recent(&self, now: Duration) -> usize {
        self.requests.values().filter(|queued| now < queued.placed + UNSEEN_FOR).count()
    }

    /// All records.
    pub fn records(
        &self,
        upstream: &UpstreamName,
        age_ms: impl Fn(Duration) -> u32,
    ) -> Vec<(Option<IpAddr>, RequestRecord)> {
        let record = |(request, queued): (&u64, &QueuedRequest)| {
            let record = RequestRecord {
                request: *request,
                upstream: upstream.clone(),
                age_ms: age_ms(queued.placed),
                tokens: 0,
                cached_tokens: 0,
                prefill_tokens: 0,
                has_first_token: false,
            };
            (queued.sender, record)
        };
        self.requests.iter().map(record).collect()
    }

    /// Records a response, `took` after the request was sent. Requests that had to wait are
    /// ignored, since their time does not show the processing time.
    pub fn record_response(&mut self, request: u64, took: Duration) {
        if self.requests.get(&request).is_some_and(|queued| queued.had_slot) {
            self.processing_time +=
                (took.as_secs_f64() - self.processing_time) * PROCESSING_TIME_WEIGHT;
        }
    }

    /// Records the end of a request, whatever the reason. Returns whether it was known.
    pub fn remove_request(&mut self, request: u64) -> bool {
        self.requests.remove(&request).is_some()
    }

    /// Removes the requests of a dead box.
    pub fn remove_sender(&mut self, sender: IpAddr) {
        self.requests.retain(|_, queued| queued.sender != Some(sender));
    }

    /// Drops requests that their senders no longer confirm.
    pub fn expire(&mut self, now: Duration) {
        self.requests.retain(|_, queued| {
            let lease = if queued.sender.is_some() { LEASE } else { OWN_LEASE };
            now <= queued.renewed + lease
        });
    }
}

/// A request for a plain service, as the deciding box sees it.
#[derive(Clone, Copy, Debug)]
pub struct PlainQuery<'a> {
    /// Identifies the decision.
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
    /// Whether it may be sent again if it fails.
    pub is_repeatable: bool,
    /// The role in which this box decides.
    pub role: Role,
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
            let has_capacity = registry.has_plain_capacity(&choice.upstream, now);
            if has_capacity && choice.wait <= wait_max {
                return Ok(begin(registry, shares, query, choice, now));
            }
            if let Some(choice) = registry.plain_probe(query, now) {
                return Ok(begin(registry, shares, query, choice, now));
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

/// Records a request at the chosen upstream, and charges its workspace.
fn begin(
    registry: &mut UpstreamRegistry,
    shares: &mut Shares,
    query: PlainQuery<'_>,
    choice: Choice,
    now: Duration,
) -> Choice {
    registry.begin_plain(&choice.upstream, query.request, query.sender, now);
    if let Some(workspace) = query.workspace {
        let counted = shares.begin(workspace, REQUEST_CHARGE, now);
        shares.remember(query.request, counted);
    }
    Choice { is_counted: true, ..choice }
}
