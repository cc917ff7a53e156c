//! What a router lets wait: limits per workspace, hopeless deadlines, and the retry budget.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::dispatch::retry::RetryBudget;
use crate::names::PoolName;
use crate::names::WorkspaceName;

/// Weight of the newest wait in the average.
const WAIT_GAIN: f64 = 0.1;

/// Shortest time after which a refused caller is told to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// Longest time after which a refused caller is told to come back.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);

/// Only what is this many times out of reach is turned away: the estimate is rough.
const HOPELESS_FACTOR: u32 = 2;

/// Why a request can't wait here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The workspace has as many requests waiting here as it may.
    #[error("the workspace has too many requests waiting")]
    WaitingLimit { retry_after: Duration },
    /// The requests ahead of it will take longer than its deadline allows.
    #[error("the deadline can't be met")]
    DeadlineTooShort { retry_after: Duration },
    /// The service's pool isn't in the configuration.
    #[error("the service has no pool")]
    NoPool,
}

/// The requests that wait at one router, counted.
#[derive(Debug, Default)]
pub struct Admission {
    counts: FxHashMap<WorkspaceName, FxHashMap<PoolName, Lane>>,
    budgets: FxHashMap<PoolName, RetryBudget>,
}

/// The requests of one workspace that wait for one pool.
#[derive(Debug, Default)]
struct Lane {
    waiting: u32,
    /// Average seconds between grants while requests wait; 0 until known.
    pace: f64,
    /// How many times the pace was measured.
    samples: u32,
    granted: Option<Duration>,
}

impl Lane {
    /// Takes in the seconds between two grants. The first ones count for more: an average that
    /// began at nothing would take long to be any good.
    fn measured(&mut self, seconds: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = WAIT_GAIN.max(1.0 / f64::from(self.samples));
        self.pace += gain * (seconds - self.pace);
    }

    /// When a refused caller should come back, for a request with so many of its lane ahead.
    fn retry_after(&self, ahead: u32) -> Duration {
        self.expected_wait(ahead).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    /// Refuses a request with so many of its lane ahead that can't be served in the time that is
    /// `left`.
    fn refuse_hopeless(&self, ahead: u32, left: Duration) -> Option<Refusal> {
        let hopeless = left.saturating_mul(HOPELESS_FACTOR) < self.expected_wait(ahead);
        hopeless.then(|| Refusal::DeadlineTooShort { retry_after: self.retry_after(ahead) })
    }

    fn expected_wait(&self, ahead: u32) -> Duration {
        Duration::from_secs_f64(self.pace * f64::from(ahead))
    }
}

impl Admission {
    /// Counts a request in, or refuses it.
    pub fn admit(
        &mut self,
        workspace: &WorkspaceName,
        pool: &PoolName,
        limit: u32,
        deadline: Duration,
    ) -> Result<(), Refusal> {
        let lanes = self.counts.entry(workspace.clone()).or_default();
        let waiting: u32 = lanes.values().map(|l| l.waiting).sum();
        let lane = lanes.entry(pool.clone()).or_default();
        if limit <= waiting {
            return Err(Refusal::WaitingLimit { retry_after: lane.retry_after(lane.waiting) });
        }
        if let Some(refusal) = lane.refuse_hopeless(lane.waiting, deadline) {
            return Err(refusal);
        }
        lane.waiting += 1;
        self.budget(pool, 0).deposit();
        Ok(())
    }

    /// Refuses a request that waits, with so many of its lane ahead, and can't be served in the time
    /// that is `left`.
    pub fn refuse_hopeless(
        &self,
        workspace: &str,
        pool: &str,
        ahead: u32,
        left: Duration,
    ) -> Option<Refusal> {
        self.counts.get(workspace)?.get(pool)?.refuse_hopeless(ahead, left)
    }

    /// Counts a request out that got no grant.
    pub fn leave(&mut self, workspace: &str, pool: &str) {
        if let Some(lane) = self.counts.get_mut(workspace).and_then(|l| l.get_mut(pool)) {
            lane.waiting -= 1;
        }
    }

    /// Counts a request out that got a grant, and learns the pace of grants.
    pub fn granted(&mut self, workspace: &str, pool: &str, now: Duration) {
        let Some(lane) = self.counts.get_mut(workspace).and_then(|l| l.get_mut(pool)) else {
            return;
        };
        lane.waiting -= 1;
        let since = lane.granted.replace(now).map(|at| (now - at).as_secs_f64());
        match since {
            Some(s) if lane.waiting != 0 => lane.measured(s),
            _ => lane.pace *= 1.0 - WAIT_GAIN,
        }
        if lane.waiting == 0 {
            lane.granted = None;
        }
    }

    /// Takes a retry out of a pool's budget.
    pub fn may_retry(&mut self, pool: &PoolName, percent: u32) -> bool {
        let budget = self.budget(pool, percent);
        budget.set_percent(percent);
        budget.withdraw()
    }

    fn budget(&mut self, pool: &PoolName, percent: u32) -> &mut RetryBudget {
        self.budgets.entry(pool.clone()).or_insert_with(|| RetryBudget::new(percent))
    }
}
