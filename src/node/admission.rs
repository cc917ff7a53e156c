//! Admission of requests to wait at a router: limits per workspace, deadlines that cannot be met,
//! and retry budgets.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::dispatch::retry::RetryBudget;
use crate::names::PoolName;
use crate::names::WorkspaceName;

/// Weight of the newest interval in the moving average of grant intervals.
const GRANT_INTERVAL_GAIN: f64 = 0.1;

/// Shortest `retry-after` of a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// Longest `retry-after` of a refusal.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);

/// A request is refused only if its expected wait exceeds its deadline by this factor, because the
/// estimate is rough.
const DEADLINE_MARGIN: u32 = 2;

/// Why a request cannot wait here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The workspace has reached its limit of requests waiting here.
    #[error("the workspace has too many requests waiting")]
    WaitingLimit { retry_after: Duration },
    /// The requests ahead of it are expected to take longer than its deadline allows.
    #[error("the deadline can't be met")]
    DeadlineTooShort { retry_after: Duration },
    /// The service's pool isn't in the configuration.
    #[error("the service has no pool")]
    NoPool,
}

/// Counts the requests that wait at one router, and holds the retry budgets of the pools.
#[derive(Debug, Default)]
pub struct Admission {
    queues: FxHashMap<WorkspaceName, FxHashMap<PoolName, QueueStats>>,
    retry_budgets: FxHashMap<PoolName, RetryBudget>,
}

/// The requests of one workspace that wait for one pool.
#[derive(Debug, Default)]
struct QueueStats {
    waiting: u32,
    /// Average time between grants while requests wait; 0 until known.
    grant_interval_s: f64,
    /// Number of intervals in the average.
    interval_count: u32,
    last_grant_at: Option<Duration>,
}

impl QueueStats {
    /// Adds the time between two grants to the average. The first intervals weigh more, since an
    /// average that starts at 0 would converge slowly.
    fn record_interval(&mut self, seconds: f64) {
        self.interval_count = self.interval_count.saturating_add(1);
        let gain = GRANT_INTERVAL_GAIN.max(1.0 / f64::from(self.interval_count));
        self.grant_interval_s += gain * (seconds - self.grant_interval_s);
    }

    /// The `retry-after` for a request with this many requests ahead of it.
    fn retry_after(&self, ahead: u32) -> Duration {
        self.expected_wait(ahead).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    /// Returns a refusal if a request with this many requests ahead of it cannot be served within
    /// the remaining time.
    fn check_deadline(&self, ahead: u32, remaining: Duration) -> Option<Refusal> {
        let is_too_short = remaining.saturating_mul(DEADLINE_MARGIN) < self.expected_wait(ahead);
        is_too_short.then(|| Refusal::DeadlineTooShort { retry_after: self.retry_after(ahead) })
    }

    fn expected_wait(&self, ahead: u32) -> Duration {
        Duration::from_secs_f64(self.grant_interval_s * f64::from(ahead))
    }
}

impl Admission {
    /// Adds a request to the waiting ones, or refuses it.
    pub fn admit(
        &mut self,
        workspace: &WorkspaceName,
        pool: &PoolName,
        limit: u32,
        deadline: Duration,
    ) -> Result<(), Refusal> {
        let queues = self.queues.entry(workspace.clone()).or_default();
        let waiting: u32 = queues.values().map(|q| q.waiting).sum();
        let queue = queues.entry(pool.clone()).or_default();
        if limit <= waiting {
            return Err(Refusal::WaitingLimit { retry_after: queue.retry_after(queue.waiting) });
        }
        if let Some(refusal) = queue.check_deadline(queue.waiting, deadline) {
            return Err(refusal);
        }
        queue.waiting += 1;
        self.budget(pool, 0).record_request();
        Ok(())
    }

    /// Returns a refusal if a waiting request, with this many of its workspace and pool ahead of
    /// it, cannot be served within the remaining time.
    pub fn check_deadline(
        &self,
        workspace: &str,
        pool: &str,
        ahead: u32,
        remaining: Duration,
    ) -> Option<Refusal> {
        self.queues.get(workspace)?.get(pool)?.check_deadline(ahead, remaining)
    }

    /// Removes a waiting request that got no grant.
    pub fn remove(&mut self, workspace: &str, pool: &str) {
        if let Some(queue) = self.queues.get_mut(workspace).and_then(|q| q.get_mut(pool)) {
            queue.waiting -= 1;
        }
    }

    /// Removes a waiting request that got a grant, and updates the average grant interval.
    pub fn record_grant(&mut self, workspace: &str, pool: &str, now: Duration) {
        let Some(queue) = self.queues.get_mut(workspace).and_then(|q| q.get_mut(pool)) else {
            return;
        };
        queue.waiting -= 1;
        let interval = queue.last_grant_at.replace(now).map(|at| (now - at).as_secs_f64());
        match interval {
            Some(s) if queue.waiting != 0 => queue.record_interval(s),
            _ => queue.grant_interval_s *= 1.0 - GRANT_INTERVAL_GAIN,
        }
        if queue.waiting == 0 {
            queue.last_grant_at = None;
        }
    }

    /// Takes a retry from a pool's budget; `false` if it is exhausted.
    pub fn try_take_retry(&mut self, pool: &PoolName, percent: u32) -> bool {
        let budget = self.budget(pool, percent);
        budget.set_percent(percent);
        budget.try_take()
    }

    fn budget(&mut self, pool: &PoolName, percent: u32) -> &mut RetryBudget {
        self.retry_budgets.entry(pool.clone()).or_insert_with(|| RetryBudget::new(percent))
    }
}
