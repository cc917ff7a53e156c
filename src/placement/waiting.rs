//! Admission with a queue: requests that can't begin at once but in time wait at the owner of their
//! group of engines.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use crate::fleet::owners::EngineGroup;
use crate::fleet::rollout::VersionFilter;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::names::ZoneName;
use crate::placement::admit;
use crate::placement::admit::ANY_ENGINE_SHARE_MAX;
use crate::placement::admit::Denial;
use crate::placement::admit::Obstacle;
use crate::placement::admit::PlacementQuery;
use crate::placement::admit::Purpose;
use crate::placement::choice::BEGIN_WAIT_MAX;
use crate::placement::choice::Choice;
use crate::placement::choice::ChoiceError;
use crate::placement::choice::CopySource;
use crate::placement::cold::Role;
use crate::placement::queue::PlacementQueue;
use crate::placement::queue::Pushed;
use crate::placement::queue::QueuedRequest;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::share::Shares;
use crate::placement::speed::Work;
use crate::proxy::adapter::Prompt;
use crate::proxy::routing_table::Rank;

/// Requests tried at a time while no engine is free, because some may wait at the engine.
const CANDIDATES_MAX_BUSY: usize = 2;

/// Requests tried at a time while an engine is free. One may not fit its memory.
const CANDIDATES_MAX: usize = 16;

/// When a request should come back whose queue ended.
const OTHER_OWNER_RETRY: Duration = Duration::from_millis(100);

/// A [`PlacementQuery`] that outlives the message in which it came.
#[derive(Clone, Debug)]
pub struct OwnedQuery {
    pub request: u64,
    pub service: ServiceName,
    pub prompt: Prompt,
    pub workspace: Option<WorkspaceName>,
    rank: Rank,
    excluded: Vec<UpstreamName>,
    target_latency: Duration,
    waited: Duration,
    pub group: EngineGroup,
    version_filter: VersionFilter,
    zone: Option<ZoneName>,
    pub sender: Option<IpAddr>,
    source: Option<CopySource>,
    connected: Vec<u16>,
    is_repeatable: bool,
}

/// What was decided about a request.
#[derive(Debug)]
pub enum Admission<T> {
    /// It is placed or denied.
    Decided(Result<Choice, Denial>, T),
    /// It waits, and is decided within this time. This other one had to give way for it.
    Queued { within: Duration, displaced: Option<Box<Answer<T>>> },
}

/// Why a request leaves the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An engine could begin with it.
    Served,
    /// None could in time.
    Expired,
    /// It gave way to another.
    Displaced,
    /// This box no longer owns the engines.
    Disowned,
    /// Its caller or its box no longer waits for it.
    Withdrawn,
}

impl Outcome {
    /// The outcome as a word for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Outcome::Served => "served",
            Outcome::Expired => "expired",
            Outcome::Displaced => "displaced",
            Outcome::Disowned => "disowned",
            Outcome::Withdrawn => "withdrawn",
        }
    }
}

/// The decision on a request that has waited.
#[derive(Debug)]
pub struct Answer<T> {
    pub query: OwnedQuery,
    pub reply: T,
    pub result: Result<Choice, Denial>,
    pub outcome: Outcome,
    /// How long it was in the queue.
    pub queued: Duration,
}

/// The queues of all groups of engines for which this box decides. `T` is the recipient of a
/// decision.
#[derive(Debug)]
pub struct WaitingRequests<T> {
    by_group: BTreeMap<EngineGroup, Vec<ServiceQueue<T>>>,
}

#[derive(Debug)]
struct ServiceQueue<T> {
    service: ServiceName,
    queue: PlacementQueue<Item<T>>,
}

#[derive(Debug)]
struct Item<T> {
    query: OwnedQuery,
    reply: T,
    /// As of when it was queued.
    share_used: f64,
}

impl<T> Default for WaitingRequests<T> {
    fn default() -> WaitingRequests<T> {
        WaitingRequests { by_group: BTreeMap::new() }
    }
}

impl OwnedQuery {
    fn new(query: &PlacementQuery<'_>, group: EngineGroup) -> OwnedQuery {
        OwnedQuery {
            request: query.request,
            service: ServiceName::from(query.service),
            prompt: query.prompt.clone(),
            workspace: query.workspace.cloned(),
            rank: query.rank,
            excluded: query.excluded.to_vec(),
            target_latency: query.target_latency,
            waited: query.waited,
            group,
            version_filter: query.version_filter,
            zone: query.zone.cloned(),
            sender: query.sender,
            source: query.source,
            connected: query.connected.to_vec(),
            is_repeatable: query.is_repeatable,
        }
    }

    /// The query, for a box that decides in this role.
    pub fn as_query(&self, role: Role) -> PlacementQuery<'_> {
        PlacementQuery {
            request: self.request,
            service: &self.service,
            prompt: &self.prompt,
            workspace: self.workspace.as_ref(),
            rank: self.rank,
            excluded: &self.excluded,
            target_latency: self.target_latency,
            waited: self.waited,
            group: Some(self.group),
            version_filter: self.version_filter,
            zone: self.zone.as_ref(),
            sender: self.sender,
            source: self.source,
            connected: &self.connected,
            is_repeatable: self.is_repeatable,
            purpose: Purpose::Place,
            is_last_group: true,
            role,
        }
    }
}

impl<T> WaitingRequests<T> {
    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.by_group.values().flatten().map(|q| q.queue.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.by_group.values().flatten().all(|q| q.queue.is_empty())
    }

    /// Places a request, denies it, or queues it if it can still begin in time. Where requests
    /// aren't queued, this is [`admit::admit`].
    pub fn admit(
        &mut self,
        registry: &mut UpstreamRegistry,
        shares: &mut Shares,
        query: PlacementQuery<'_>,
        reply: T,
        now: Duration,
        redirect: impl FnOnce(&UpstreamRegistry, Obstacle<'_>) -> Option<EngineGroup>,
    ) -> Admission<T> {
        let group = query.group.filter(|group| registry.queues_requests(query.service, *group));
        let may_queue = query.purpose != Purpose::Lookup && query.role != Role::Unassigned;
        // One that no engine can hold would wait for nothing.
        let can_hold = |group: &EngineGroup| registry.can_hold(query.service, *group, query.prompt);
        let Some(group) = group.filter(|_| may_queue).filter(can_hold) else {
            let result = admit::admit_or_redirect(registry, shares, query, now, redirect);
            return Admission::Decided(result, reply);
        };
        let queue = self.queue(query.service, group, now);
        if let Some(queued) = queue.get(query.request) {
            // The same message has arrived twice.
            let within = queued.deadline.saturating_sub(now);
            return Admission::Queued { within, displaced: None };
        }
        let denial = match place_at_once(queue, registry, shares, query, now, redirect) {
            Ok(choice) => return Admission::Decided(Ok(choice), reply),
            Err(denial) if !is_for_lack_of_room(&denial) => {
                return Admission::Decided(Err(denial), reply);
            }
            Err(denial) => denial,
        };
        let engines = registry.queueing_engines(query.service, group, now);
        let tuning = registry.tuning();
        let prefill_share = tuning.prefill_share_of(tuning.small_batch.slots_max);
        queue.set_capacity(engines as f64 * prefill_share, now);
        let item =
            Item { query: OwnedQuery::new(&query, group), reply, share_used: denial.share_used };
        enqueue(queue, registry, shares, query, denial, item, now)
    }

    /// Places the waiting requests that can begin, in their order, and denies those that can't in
    /// time. `role` is this box's role for a group of engines, if it has one.
    pub fn dispatch(
        &mut self,
        registry: &mut UpstreamRegistry,
        shares: &mut Shares,
        role: impl Fn(EngineGroup) -> Option<Role>,
        now: Duration,
    ) -> Vec<Answer<T>> {
        let mut answers = Vec::new();
        let queues = self.by_group.iter_mut().flat_map(|(group, all)| {
            all.iter_mut().map(move |ServiceQueue { service, queue }| (&*service, group, queue))
        });
        for (service, group, queue) in queues.filter(|(_, _, queue)| !queue.is_empty()) {
            let Some(role) = role(*group) else {
                let all = queue.remove_all().into_iter();
                answers.extend(all.map(|q| deny(q, Outcome::Disowned, OTHER_OWNER_RETRY, now)));
                continue;
            };
            place_next(queue, registry, shares, (service, *group), role, &mut answers, now);
            for queued in queue.remove_expired(now) {
                let wait = wait_of(queue, shares, &queued, now);
                answers.push(deny(queued, Outcome::Expired, wait, now));
            }
        }
        answers
    }

    /// The queue of a service and a group of engines. Its capacity is set before anything waits.
    fn queue(
        &mut self,
        service: &str,
        group: EngineGroup,
        now: Duration,
    ) -> &mut PlacementQueue<Item<T>> {
        let of_group = self.by_group.entry(group).or_default();
        let known = of_group.iter().position(|q| q.service.as_str() == service);
        let index = known.unwrap_or_else(|| {
            let service = ServiceName::from(service);
            of_group.push(ServiceQueue { service, queue: PlacementQueue::new(0.0, now) });
            of_group.len() - 1
        });
        &mut of_group[index].queue
    }

    /// Time until an engine is expected to be free for a waiting request; `None` if none waits.
    pub fn free_in(&self, now: Duration) -> Option<Duration> {
        let queues = self.by_group.values().flatten().map(|q| &q.queue);
        queues.filter(|queue| !queue.is_empty()).map(|queue| queue.engine_wait(now)).min()
    }

    /// Removes the requests of a dead box. Returns how many there were.
    pub fn remove_sender(&mut self, sender: IpAddr) -> usize {
        let mut removed = 0;
        for queue in self.by_group.values_mut().flatten().map(|q| &mut q.queue) {
            let is_of_sender = |item: &Item<T>| item.query.sender == Some(sender);
            removed += queue.remove_matching(is_of_sender);
        }
        removed
    }

    /// Removes a request that is no longer to be placed; returns whether it was waiting, and how
    /// long it had waited.
    pub fn withdraw(&mut self, request: u64, now: Duration) -> Option<Duration> {
        let queued = self.by_group.values_mut().flatten().find_map(|q| q.queue.remove(request))?;
        Some(now.saturating_sub(queued.queued_at))
    }
}

/// Whether a request was denied because all engines are busy, and no other group is to be asked. A
/// workspace that has used much of its share waits here rather than go where nothing is cached.
fn is_for_lack_of_room(denial: &Denial) -> bool {
    denial.alternative.is_none()
        && (!denial.may_try_other_groups || ANY_ENGINE_SHARE_MAX < denial.share_used)
        && matches!(denial.cause, ChoiceError::Busy { .. } | ChoiceError::Full)
}

/// Places a request that arrives, unless others go before it.
fn place_at_once<T>(
    queue: &mut PlacementQueue<Item<T>>,
    registry: &mut UpstreamRegistry,
    shares: &mut Shares,
    query: PlacementQuery<'_>,
    now: Duration,
    redirect: impl FnOnce(&UpstreamRegistry, Obstacle<'_>) -> Option<EngineGroup>,
) -> Result<Choice, Denial> {
    if !queue.is_empty()
        && let Some(workspace) = query.workspace
    {
        let share_used = shares.share_used(workspace, query.prompt.charge(), now);
        let granted = shares.recently_admitted(workspace, now);
        if ANY_ENGINE_SHARE_MAX < share_used && !queue.would_be_first(query.rank, granted) {
            let obstacle = Obstacle { choice: None, share_used };
            let alternative = if query.is_last_group { None } else { redirect(registry, obstacle) };
            return Err(Denial {
                cause: ChoiceError::Busy { wait: queue.engine_wait(now) },
                share_used,
                wait_max: Duration::ZERO,
                source: None,
                may_try_other_groups: alternative.is_some(),
                alternative,
                retry_after: None,
            });
        }
    }
    let admitted =
        admit::admit_with_limit(registry, shares, query, Some(BEGIN_WAIT_MAX), now, redirect);
    let denial = match admitted {
        Ok(choice) => return Ok(choice),
        Err(denial) => denial,
    };
    match denial.cause {
        // The engine with the lowest cost is busy, but another is free.
        ChoiceError::Busy { wait } if wait <= BEGIN_WAIT_MAX && is_for_lack_of_room(&denial) => {
            let query = PlacementQuery { purpose: Purpose::Place, ..query };
            admit::place_queued(registry, shares, query, BEGIN_WAIT_MAX, now).map_err(|_| denial)
        }
        _ => Err(denial),
    }
}

/// Queues a request that was denied, or denies it at last.
fn enqueue<T>(
    queue: &mut PlacementQueue<Item<T>>,
    registry: &UpstreamRegistry,
    shares: &mut Shares,
    query: PlacementQuery<'_>,
    denial: Denial,
    item: Item<T>,
    now: Duration,
) -> Admission<T> {
    let work = registry.speed(query.service).prefill_seconds(Work::prefill(0, query.prompt.tokens));
    let group = item.query.group;
    let first_token = registry.shortest_first_token(query.service, group, query.prompt, now);
    let first_token = first_token.unwrap_or_default();
    let engine_wait = match denial.cause {
        ChoiceError::Busy { wait } => wait.saturating_sub(BEGIN_WAIT_MAX),
        _ => queue.time_to_drain(work, now),
    };
    queue.set_engine_wait(engine_wait, now);
    let limit = admit::queue_limit(query.target_latency, first_token, denial.share_used);
    let longest = admit::queue_limit(query.target_latency, first_token, 0.0);
    let workspace = query.workspace.cloned().unwrap_or_else(WorkspaceName::none);
    let granted = shares.recently_admitted(&workspace, now);
    let within = limit.saturating_sub(query.waited);
    let queued = QueuedRequest {
        request: query.request,
        workspace,
        rank: query.rank,
        tokens: query.prompt.charge(),
        work,
        queued_at: now,
        deadline: now + within,
        predicted: Duration::ZERO,
        item,
    };
    // Until it is placed, if it ever is. One that goes to another group is counted there.
    let is_counted = !denial.may_try_other_groups;
    let pushed = queue.push(queued, granted, longest, now);
    if is_counted || matches!(pushed, Pushed::Queued { .. }) {
        admit::count_refused(shares, query, now);
    }
    match pushed {
        Pushed::Refused(queued) => {
            let wait = queue.estimated_wait(&queued, granted, now);
            let denial = Denial { retry_after: Some(wait), ..denial };
            Admission::Decided(Err(denial), queued.item.reply)
        }
        Pushed::Queued { displaced } => {
            let displaced = displaced.map(|queued| {
                let wait = wait_of(queue, shares, &queued, now);
                Box::new(deny(queued, Outcome::Displaced, wait, now))
            });
            Admission::Queued { within, displaced }
        }
    }
}

/// Places the next requests while engines can begin with them.
fn place_next<T>(
    queue: &mut PlacementQueue<Item<T>>,
    registry: &mut UpstreamRegistry,
    shares: &mut Shares,
    (service, group): (&ServiceName, EngineGroup),
    role: Role,
    answers: &mut Vec<Answer<T>>,
    now: Duration,
) {
    loop {
        let Some(wait) = registry.shortest_wait(service, group, now) else { return };
        queue.set_engine_wait(wait.saturating_sub(BEGIN_WAIT_MAX), now);
        let is_free = wait <= BEGIN_WAIT_MAX;
        if !is_free && admit::READING_AHEAD_MAX < wait {
            return;
        }
        let workspaces: Vec<WorkspaceName> = queue.workspaces().cloned().collect();
        for workspace in &workspaces {
            queue.set_granted(workspace, shares.recently_admitted(workspace, now));
        }
        let next = queue.next(if is_free { CANDIDATES_MAX } else { CANDIDATES_MAX_BUSY });
        let placed = next.into_iter().find_map(|request| {
            let queued = queue.get(request)?;
            let wait_max = longest_engine_wait(queued);
            let query = queued.item.query.as_query(role);
            let waited = query.waited + now.saturating_sub(queued.queued_at);
            let query = PlacementQuery { waited, ..query };
            let choice = admit::place_queued(registry, shares, query, wait_max, now).ok()?;
            Some((request, choice))
        });
        let Some((request, choice)) = placed else { return };
        let Some(queued) = queue.remove_placed(request, now) else { return };
        let QueuedRequest { item: Item { query, reply, .. }, queued_at, .. } = queued;
        let queued = now.saturating_sub(queued_at);
        answers.push(Answer { query, reply, result: Ok(choice), outcome: Outcome::Served, queued });
        if queue.is_empty() {
            return;
        }
    }
}

/// The longest believed wait at an engine with which a request may go there, if its first token still
/// comes in time. Workspaces that have used much of their share leave the engines to the others.
fn longest_engine_wait<T>(queued: &QueuedRequest<Item<T>>) -> Duration {
    if ANY_ENGINE_SHARE_MAX < queued.item.share_used {
        BEGIN_WAIT_MAX
    } else {
        admit::READING_AHEAD_MAX
    }
}

/// How long a request that has left the queue would wait if it came back.
fn wait_of<T>(
    queue: &PlacementQueue<Item<T>>,
    shares: &mut Shares,
    queued: &QueuedRequest<Item<T>>,
    now: Duration,
) -> Duration {
    let granted = shares.recently_admitted(&queued.workspace, now);
    queue.estimated_wait(queued, granted, now)
}

fn deny<T>(
    queued: QueuedRequest<Item<T>>,
    outcome: Outcome,
    wait: Duration,
    now: Duration,
) -> Answer<T> {
    let QueuedRequest { item: Item { query, reply, share_used }, queued_at, .. } = queued;
    let denial = Denial {
        cause: ChoiceError::Busy { wait },
        share_used,
        wait_max: Duration::ZERO,
        source: None,
        may_try_other_groups: false,
        alternative: None,
        retry_after: Some(wait),
    };
    let queued = now.saturating_sub(queued_at);
    Answer { query, reply, result: Err(denial), outcome, queued }
}
