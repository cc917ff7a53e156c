//! Requests for a group of engines that can't begin at once, in the order in which they go:
//! start-time fair queuing among workspaces by the tokens that each was granted, and by rank and
//! deadline within a workspace.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::dispatch::ledger::VirtualTime;
use crate::dispatch::order::VirtualTimeOrder;
use crate::names::WorkspaceName;
use crate::placement::drain::Correction;
use crate::placement::drain::DrainRate;
use crate::proxy::routing_table::Rank;

/// Requests in a queue, whatever the group can drain: bounds the cost of a request.
pub const LENGTH_MAX: usize = 256;

/// Head start in tokens that a workspace has over one of the next lower rank: a few prompts of
/// usual length. A rank never outweighs fairness for longer than it takes to serve these.
const TOKENS_PER_RANK: VirtualTime = 4096;

/// Requests of a workspace that are tried when engines are free. If the first doesn't fit, the next
/// may be smaller.
const CANDIDATES_PER_WORKSPACE: usize = 2;

/// A request that waits.
#[derive(Debug)]
pub struct QueuedRequest<T> {
    pub request: u64,
    /// The workspace that is charged; the empty name if there is none.
    pub workspace: WorkspaceName,
    pub rank: Rank,
    /// Tokens that are charged.
    pub tokens: u64,
    /// Estimated time of an engine to prefill it, in seconds.
    pub work: f64,
    pub queued_at: Duration,
    /// When it must begin.
    pub deadline: Duration,
    /// The predicted wait as of when it was queued, without correction.
    pub predicted: Duration,
    pub item: T,
}

/// What becomes of a request that is to be queued.
#[derive(Debug)]
pub enum Pushed<T> {
    /// It waits. This other one had to give way.
    Queued { displaced: Option<QueuedRequest<T>> },
    /// It would not begin in time, or has to give way itself.
    Refused(QueuedRequest<T>),
}

/// The order within a workspace.
type Position = (u8, Duration, u64);

/// The waiting requests for one group of engines.
#[derive(Debug)]
pub struct PlacementQueue<T> {
    by_workspace: FxHashMap<WorkspaceName, WorkspaceQueue<T>>,
    /// The position of each request in the queue of its workspace.
    positions: FxHashMap<u64, (WorkspaceName, Position)>,
    order: VirtualTimeOrder,
    /// Sum of [`QueuedRequest::work`].
    work: f64,
    /// The longest time for which any request since the queue was last empty may wait.
    longest: Duration,
    rate: DrainRate,
    /// When an engine is expected to be free.
    free_at: Duration,
    correction: Correction,
}

#[derive(Debug)]
struct WorkspaceQueue<T> {
    requests: BTreeMap<Position, QueuedRequest<T>>,
    tokens: u64,
    work: f64,
}

impl<T> Default for WorkspaceQueue<T> {
    fn default() -> WorkspaceQueue<T> {
        WorkspaceQueue { requests: BTreeMap::new(), tokens: 0, work: 0.0 }
    }
}

impl<T> QueuedRequest<T> {
    fn position(&self) -> Position {
        (self.rank.route, self.deadline, self.request)
    }
}

impl<T> PlacementQueue<T> {
    /// An empty queue for engines that can prefill `capacity` seconds of prompts in a second.
    pub fn new(capacity: f64, now: Duration) -> PlacementQueue<T> {
        PlacementQueue {
            by_workspace: FxHashMap::default(),
            positions: FxHashMap::default(),
            order: VirtualTimeOrder::default(),
            work: 0.0,
            longest: Duration::ZERO,
            rate: DrainRate::new(capacity, now),
            free_at: Duration::ZERO,
            correction: Correction::default(),
        }
    }

    pub fn len(&self) -> usize {
        self.positions.len()
    }

    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    pub fn get(&self, request: u64) -> Option<&QueuedRequest<T>> {
        let (workspace, position) = self.positions.get(&request)?;
        self.by_workspace.get(workspace)?.requests.get(position)
    }

    /// The workspaces with waiting requests.
    pub fn workspaces(&self) -> impl Iterator<Item = &WorkspaceName> {
        self.by_workspace.keys()
    }

    /// Whether a workspace that has been granted this many tokens would go before all that wait.
    pub fn would_be_first(&self, rank: Rank, granted: u64) -> bool {
        let first = self.order.furthest_behind();
        first.is_none_or(|(at, _)| virtual_time(rank, granted) < at)
    }

    /// Updates the tokens that a waiting workspace was granted.
    pub fn set_granted(&mut self, workspace: &WorkspaceName, granted: u64) {
        let Some(queue) = self.by_workspace.get(workspace) else { return };
        let Some(first) = queue.requests.values().next() else { return };
        self.order.set(workspace, virtual_time(first.rank, granted));
    }

    /// Records how long it takes until an engine is free.
    pub fn set_engine_wait(&mut self, wait: Duration, now: Duration) {
        self.free_at = now.saturating_add(wait);
    }

    /// How long it takes until an engine is free.
    pub fn engine_wait(&self, now: Duration) -> Duration {
        self.free_at.saturating_sub(now)
    }

    /// How long the engines take to begin with this much work of the queue.
    pub fn time_to_drain(&self, work: f64, now: Duration) -> Duration {
        Duration::try_from_secs_f64(work / self.rate.per_s(now)).unwrap_or(Duration::MAX)
    }

    /// Records that engines can prefill `capacity` seconds of prompts in a second.
    pub fn set_capacity(&mut self, capacity: f64, now: Duration) {
        self.rate.set_capacity(capacity, self.is_empty(), now);
    }

    /// The longest time for which any of the requests may wait.
    pub fn longest(&self) -> Duration {
        self.longest
    }

    /// Estimated time until a request would begin: the work of those that go before it, at the rate
    /// at which this queue drains, corrected by how long others really waited, since some that
    /// arrive later go before it. `granted` are the tokens that its workspace was granted.
    pub fn estimated_wait(
        &self,
        queued: &QueuedRequest<T>,
        granted: u64,
        now: Duration,
    ) -> Duration {
        self.correction.apply(self.predicted_wait(queued, granted, now))
    }

    /// Time until an engine is free and the work ahead of a request has drained.
    fn predicted_wait(&self, queued: &QueuedRequest<T>, granted: u64, now: Duration) -> Duration {
        let own = self.by_workspace.get(&queued.workspace);
        let ahead = own.into_iter().flat_map(|own| own.requests.range(..queued.position()));
        let (own_tokens, own_work) = ahead
            .map(|(_, q)| (q.tokens, q.work))
            .fold((0, 0.0), |(tokens, work), (t, w)| (tokens + t, work + w));
        let start = virtual_time(queued.rank, granted.saturating_add(own_tokens));
        let others = self.order.iter().take_while(|(at, _)| *at < start);
        let others = others.filter(|(_, workspace)| **workspace != queued.workspace);
        let others_work = others.filter_map(|(at, workspace)| {
            let other = self.by_workspace.get(workspace)?;
            let part = (start - at) as f64 / other.tokens.max(1) as f64;
            Some(other.work * part.min(1.0))
        });
        let ahead = self.time_to_drain(own_work + others_work.sum::<f64>(), now);
        self.engine_wait(now).saturating_add(ahead)
    }

    /// Queues a request if it is likely to begin in time. `longest` is the time for which a request
    /// like it may wait at most. If the queue is full, the last request of the workspace with the
    /// most work gives way.
    pub fn push(
        &mut self,
        mut queued: QueuedRequest<T>,
        granted: u64,
        longest: Duration,
        now: Duration,
    ) -> Pushed<T> {
        let wait = self.estimated_wait(&queued, granted, now);
        if queued.deadline < now.saturating_add(wait) || queued.deadline <= now {
            return Pushed::Refused(queued);
        }
        self.rate.record(0.0, self.is_empty(), now);
        self.longest = if self.is_empty() { longest } else { self.longest.max(longest) };
        queued.predicted = self.predicted_wait(&queued, granted, now);
        let request = queued.request;
        self.insert(queued, granted);
        let last = self.is_over_bound(now).then(|| self.last_of_largest()).flatten();
        let mut displaced = last.and_then(|last| self.remove(last));
        if let Some(own) = displaced.take_if(|displaced| displaced.request == request) {
            return Pushed::Refused(own);
        }
        Pushed::Queued { displaced }
    }

    /// Takes a request out of the queue.
    pub fn remove(&mut self, request: u64) -> Option<QueuedRequest<T>> {
        let (workspace, position) = self.positions.remove(&request)?;
        let queue = self.by_workspace.get_mut(&workspace)?;
        let queued = queue.requests.remove(&position)?;
        queue.tokens -= queued.tokens;
        queue.work -= queued.work;
        self.work -= queued.work;
        if queue.requests.is_empty() {
            self.by_workspace.remove(&workspace);
            self.order.remove(&workspace);
        }
        if self.is_empty() {
            // Sums of fractions may be off by rounding.
            self.work = 0.0;
        }
        Some(queued)
    }

    /// Takes a request out of the queue that begins now.
    pub fn remove_placed(&mut self, request: u64, now: Duration) -> Option<QueuedRequest<T>> {
        let queued = self.remove(request)?;
        self.rate.record(queued.work, false, now);
        self.correction.record(queued.predicted, now.saturating_sub(queued.queued_at), true);
        Some(queued)
    }

    /// Takes out all requests that have not begun in time.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<QueuedRequest<T>> {
        let all = self.by_workspace.values().flat_map(|queue| queue.requests.values());
        let expired: Vec<u64> = all.filter(|q| q.deadline <= now).map(|q| q.request).collect();
        let expired: Vec<QueuedRequest<T>> =
            expired.into_iter().filter_map(|request| self.remove(request)).collect();
        for queued in &expired {
            let waited = now.saturating_sub(queued.queued_at);
            self.correction.record(queued.predicted, waited, false);
        }
        expired
    }

    /// Removes all requests that match. Returns how many there were.
    pub fn remove_matching(&mut self, matches: impl Fn(&T) -> bool) -> usize {
        let all = self.by_workspace.values().flat_map(|queue| queue.requests.values());
        let matching: Vec<u64> = all.filter(|q| matches(&q.item)).map(|q| q.request).collect();
        matching.into_iter().filter_map(|request| self.remove(request)).count()
    }

    /// Takes out all requests.
    pub fn remove_all(&mut self) -> Vec<QueuedRequest<T>> {
        let all: Vec<u64> = self.positions.keys().copied().collect();
        all.into_iter().filter_map(|request| self.remove(request)).collect()
    }

    /// The requests that go next, at most `max`: the first ones of each workspace, in the order of
    /// the workspaces.
    pub fn next(&self, max: usize) -> Vec<u64> {
        let workspaces = self.order.iter().filter_map(|(_, w)| self.by_workspace.get(w));
        let firsts =
            workspaces.flat_map(|queue| queue.requests.values().take(CANDIDATES_PER_WORKSPACE));
        firsts.take(max).map(|q| q.request).collect()
    }

    fn insert(&mut self, queued: QueuedRequest<T>, granted: u64) {
        let (workspace, position) = (queued.workspace.clone(), queued.position());
        self.order.set(&workspace, virtual_time(queued.rank, granted));
        self.positions.insert(queued.request, (workspace.clone(), position));
        self.work += queued.work;
        let queue = self.by_workspace.entry(workspace).or_default();
        queue.tokens += queued.tokens;
        queue.work += queued.work;
        queue.requests.insert(position, queued);
    }

    /// Whether more waits than the engines can drain in the longest time that any of it may wait.
    fn is_over_bound(&self, now: Duration) -> bool {
        let drained = self.rate.per_s(now) * self.longest.as_secs_f64();
        LENGTH_MAX < self.len() || (1 < self.len() && drained < self.work)
    }

    /// The request that goes last, of the workspace with the most work; of workspaces with the same
    /// work, the one that is furthest ahead.
    fn last_of_largest(&self) -> Option<u64> {
        let work = |workspace: &WorkspaceName| self.by_workspace.get(workspace).map(|q| q.work);
        let workspaces = self.order.iter().filter_map(|(at, w)| Some((work(w)?, at, w)));
        let (.., largest) =
            workspaces.max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)))?;
        let (_, last) = self.by_workspace.get(largest)?.requests.last_key_value()?;
        Some(last.request)
    }
}

/// The virtual time of a workspace that was granted this many tokens.
fn virtual_time(rank: Rank, granted: u64) -> VirtualTime {
    let granted = VirtualTime::try_from(granted).unwrap_or(VirtualTime::MAX);
    granted.saturating_add(VirtualTime::from(rank.workspace) * TOKENS_PER_RANK)
}
