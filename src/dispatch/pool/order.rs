//! Who goes next: virtual times, lifts, and what keeps anybody from starving.

use std::time::Duration;

use crate::dispatch::ledger::CounterEntry;
use crate::dispatch::ledger::PARTS;
use crate::dispatch::ledger::VirtualTime;
use crate::dispatch::pool::PoolDispatcher;
use crate::dispatch::pool::decision::SelectionReason;
use crate::dispatch::pool::parts;
use crate::names::WorkspaceName;

/// A workspace that waited at least this long without being served goes next, though it is ahead.
const PATIENCE: Duration = Duration::from_millis(250);

/// It must also have waited this many times as long as its fair share makes it wait on average.
const PATIENCE_FACTOR: f64 = 4.0;

/// At most one grant in this many goes to a workspace for its patience.
const PATIENCE_EVERY: u32 = 10;

/// What a free slot goes to.
pub(super) enum Choice {
    Local(WorkspaceName, SelectionReason),
    Remote(WorkspaceName),
}

impl PoolDispatcher {
    pub(super) fn choose(&mut self, now: Duration) -> Option<Choice> {
        let local = self.queue.first();
        if let Some(choice) = self.choose_patience(now) {
            return Some(choice);
        }
        if let Some((at, workspace)) = self.queue.first_urgent()
            && at < self.floor() + parts(u64::from(self.policy.urgent_lead))
        {
            return Some(Choice::Local(workspace.clone(), SelectionReason::Urgent));
        }
        let remote = self.remotes.first();
        let margin = self.tuning.pull_margin.unwrap_or(self.policy.pull_margin);
        match (local, remote) {
            (None, None) => None,
            (None, Some((_, workspace))) => Some(Choice::Remote(workspace.clone())),
            (Some((at, local)), Some((there, workspace))) => {
                let stale = self.remotes.staleness(workspace, self.ledger.charged());
                if there + stale.max(0) + parts(u64::from(margin)) < at {
                    return Some(Choice::Remote(workspace.clone()));
                }
                Some(Choice::Local(local.clone(), SelectionReason::FurthestBehind))
            }
            (Some((_, workspace)), None) => {
                Some(Choice::Local(workspace.clone(), SelectionReason::FurthestBehind))
            }
        }
    }

    /// A workspace that is ahead, say after zones were cut off from each other, still gets a minimum
    /// share while the others catch up; unless it is so far ahead that it would never be done.
    pub(super) fn choose_patience(&self, now: Duration) -> Option<Choice> {
        let (since, workspace) = self.queue.oldest()?;
        if self.since_patience < PATIENCE_EVERY || now < since + PATIENCE {
            return None;
        }
        let weight = self.cfg.workspace(workspace).map_or(1.0, |w| f64::from(w.weight));
        // Who asks for much at a time goes less often.
        let size = self.mean_estimate(workspace) / self.mean_cover.max(1.0);
        let turns = self.queue.workspace_count() as f64 * self.mean_weight / weight * size;
        if (now - since).as_secs_f64() < PATIENCE_FACTOR * turns * self.pace {
            return None;
        }
        let lead = self.ledger.virtual_time(workspace) - self.floor();
        if 2 * parts(u64::from(self.policy.debt_cap)) < lead {
            return None;
        }
        Some(Choice::Local(workspace.clone(), SelectionReason::Patience))
    }

    /// What a request of this workspace costs, on average over the services it used.
    pub(super) fn mean_estimate(&self, workspace: &str) -> f64 {
        let Some(services) = self.estimates.get(workspace) else { return self.mean_cover };
        services.values().map(|e| e.cost).sum::<f64>() / services.len().max(1) as f64
    }

    pub(super) fn is_full(&self, workspace: &str) -> bool {
        let limit = self.cfg.workspace(workspace).map_or(u32::MAX, |w| w.running_limit);
        limit <= self.running.get(workspace).copied().unwrap_or(0)
    }

    pub(super) fn park_if_full(&mut self, workspace: &WorkspaceName) {
        if self.is_full(workspace) {
            self.queue.park(workspace, true);
        }
    }

    /// Whether the counters can be trusted enough to lift somebody.
    pub(super) fn may_lift(&self, now: Duration) -> bool {
        self.lift_after <= now || (self.expects && self.unheard.is_empty())
    }

    /// The virtual time to which a workspace is lifted that starts to wait: that of the one
    /// furthest behind, without assumptions, which would be lifted for good.
    pub(super) fn known_floor(&self) -> VirtualTime {
        let local = self.queue.first().map(|(_, w)| self.ledger.known_time(w));
        let remote = self.remotes.first().map(|(_, w)| self.ledger.known_time(w));
        local.into_iter().chain(remote).min().unwrap_or(self.virtual_time)
    }

    /// The smallest virtual time of all that wait, anywhere.
    pub(super) fn floor(&self) -> VirtualTime {
        let local = self.queue.first().map(|(at, _)| at);
        let remote = self.remotes.first().map(|(at, _)| at);
        local.into_iter().chain(remote).min().unwrap_or(self.virtual_time)
    }

    pub(super) fn lift_to_floor(&mut self, workspace: &WorkspaceName, now: Duration) {
        if self.may_lift(now) {
            let floor = self.known_floor();
            self.lift(workspace, floor);
        }
    }

    pub(super) fn lift(&mut self, workspace: &WorkspaceName, floor: VirtualTime) {
        self.ledger.lift(workspace, floor);
        self.moved(workspace);
    }

    pub(super) fn charge(&mut self, workspace: &WorkspaceName, cost: i64) {
        let weight = self.cfg.workspace(workspace).map_or(1, |w| i64::from(w.weight));
        let amount = cost * PARTS / weight;
        self.ledger.charge(workspace, amount);
        for zone in self.remotes.zones_of(workspace) {
            self.ledger.assume(zone, workspace, amount);
        }
        self.moved(workspace);
    }

    pub(super) fn moved(&mut self, workspace: &WorkspaceName) {
        let at = self.ledger.virtual_time(workspace);
        self.queue.moved(workspace, at);
        self.remotes.moved(workspace, at);
    }

    pub(super) fn reorder(&mut self, entries: &[CounterEntry]) {
        for CounterEntry(workspace, ..) in entries {
            self.moved(workspace);
        }
    }

    /// Lifts those that are behind another by more than the cap.
    pub(super) fn cap_debts(&mut self) {
        let local = self.queue.last().map(|(_, w)| self.ledger.known_time(w));
        let remote = self.remotes.last().map(|(_, w)| self.ledger.known_time(w));
        let Some(ahead) = local.into_iter().chain(remote).max() else { return };
        let least = ahead - parts(u64::from(self.policy.debt_cap));
        while let Some((_, workspace)) = self.queue.first() {
            // What others are assumed to have charged is no debt.
            if least <= self.ledger.known_time(workspace) {
                return;
            }
            let workspace = workspace.clone();
            self.lift(&workspace, least);
        }
    }
}
