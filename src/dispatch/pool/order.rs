//! Selection of the next workspace: virtual times, lifts, and protection against starvation.

use std::time::Duration;

use crate::dispatch::ledger::CounterEntry;
use crate::dispatch::ledger::PARTS_PER_UNIT;
use crate::dispatch::ledger::VirtualTime;
use crate::dispatch::pool::PoolDispatcher;
use crate::dispatch::pool::decision::SelectionReason;
use crate::dispatch::pool::to_virtual_time;
use crate::names::WorkspaceName;

/// A workspace is starved if it waited at least this long without being served. It then goes next
/// in spite of its greater virtual time.
const STARVATION_WAIT_MIN: Duration = Duration::from_millis(250);

/// It must also have waited this many times as long as a workspace with its share waits on average.
const STARVATION_WAIT_FACTOR: f64 = 4.0;

/// At most one grant in this many goes to a starved workspace.
const STARVATION_GRANTS_MIN: u32 = 10;

/// What a free slot goes to.
pub(super) enum NextWork {
    Local(WorkspaceName, SelectionReason),
    Remote(WorkspaceName),
}

impl PoolDispatcher {
    pub(super) fn choose_next(&mut self, now: Duration) -> Option<NextWork> {
        let local = self.queue.furthest_behind();
        if let Some(choice) = self.choose_starved(now) {
            return Some(choice);
        }
        if let Some((at, workspace)) = self.queue.furthest_behind_urgent()
            && at < self.floor() + to_virtual_time(u64::from(self.pool_config.urgent_lead))
        {
            return Some(NextWork::Local(workspace.clone(), SelectionReason::Urgent));
        }
        let remote = self.remote_zones.furthest_behind();
        let margin = self.tuning.pull_margin.unwrap_or(self.pool_config.pull_margin);
        match (local, remote) {
            (None, None) => None,
            (None, Some((_, workspace))) => Some(NextWork::Remote(workspace.clone())),
            (Some((local_time, local)), Some((remote_time, workspace))) => {
                let staleness = self.remote_zones.staleness(workspace, self.ledger.total_charged());
                if remote_time + staleness.max(0) + to_virtual_time(u64::from(margin)) < local_time
                {
                    return Some(NextWork::Remote(workspace.clone()));
                }
                Some(NextWork::Local(local.clone(), SelectionReason::FurthestBehind))
            }
            (Some((_, workspace)), None) => {
                Some(NextWork::Local(workspace.clone(), SelectionReason::FurthestBehind))
            }
        }
    }

    /// A workspace that is ahead, for example after a network partition between zones, still gets a
    /// minimum share while the others catch up, unless it is so far ahead that they would hardly
    /// ever catch up.
    pub(super) fn choose_starved(&self, now: Duration) -> Option<NextWork> {
        let (since, workspace) = self.queue.longest_waiting()?;
        if self.grants_since_starved < STARVATION_GRANTS_MIN || now < since + STARVATION_WAIT_MIN {
            return None;
        }
        let weight = self.cfg.workspace(workspace).map_or(1.0, |w| f64::from(w.weight));
        // A workspace with costly requests is served less often.
        let relative_cost = self.mean_estimate(workspace) / self.mean_charged_cost.max(1.0);
        let grants_per_turn =
            self.queue.workspace_count() as f64 * self.mean_weight / weight * relative_cost;
        if (now - since).as_secs_f64()
            < STARVATION_WAIT_FACTOR * grants_per_turn * self.mean_grant_interval_s
        {
            return None;
        }
        let lead = self.ledger.virtual_time(workspace) - self.floor();
        if 2 * to_virtual_time(u64::from(self.pool_config.debt_cap)) < lead {
            return None;
        }
        Some(NextWork::Local(workspace.clone(), SelectionReason::Patience))
    }

    /// Mean cost of a workspace's requests over the services it used.
    pub(super) fn mean_estimate(&self, workspace: &str) -> f64 {
        let Some(services) = self.estimates.get(workspace) else { return self.mean_charged_cost };
        services.values().map(|e| e.cost).sum::<f64>() / services.len().max(1) as f64
    }

    pub(super) fn is_at_running_limit(&self, workspace: &str) -> bool {
        let limit = self.cfg.workspace(workspace).map_or(u32::MAX, |w| w.running_limit);
        limit <= self.running.get(workspace).copied().unwrap_or(0)
    }

    pub(super) fn check_running_limit(&mut self, workspace: &WorkspaceName) {
        if self.is_at_running_limit(workspace) {
            self.queue.set_at_running_limit(workspace, true);
        }
    }

    /// Whether the counters are complete enough to lift workspaces.
    pub(super) fn can_lift(&self, now: Duration) -> bool {
        self.lift_allowed_at <= now || (self.knows_zones_to_sync && self.zones_to_sync.is_empty())
    }

    /// The virtual time to which a workspace is lifted when it starts to wait: the smallest of all
    /// that wait, without assumed charges, because a lift is permanent.
    pub(super) fn known_floor(&self) -> VirtualTime {
        let local = self.queue.furthest_behind().map(|(_, w)| self.ledger.known_virtual_time(w));
        let remote =
            self.remote_zones.furthest_behind().map(|(_, w)| self.ledger.known_virtual_time(w));
        local.into_iter().chain(remote).min().unwrap_or(self.virtual_time)
    }

    /// The smallest virtual time of all that wait, in any zone.
    pub(super) fn floor(&self) -> VirtualTime {
        let local = self.queue.furthest_behind().map(|(at, _)| at);
        let remote = self.remote_zones.furthest_behind().map(|(at, _)| at);
        local.into_iter().chain(remote).min().unwrap_or(self.virtual_time)
    }

    pub(super) fn lift_to_floor(&mut self, workspace: &WorkspaceName, now: Duration) {
        if self.can_lift(now) {
            let floor = self.known_floor();
            self.lift(workspace, floor);
        }
    }

    pub(super) fn lift(&mut self, workspace: &WorkspaceName, floor: VirtualTime) {
        self.ledger.lift(workspace, floor);
        self.update_virtual_time(workspace);
    }

    pub(super) fn charge(&mut self, workspace: &WorkspaceName, cost: i64) {
        let weight = self.cfg.workspace(workspace).map_or(1, |w| i64::from(w.weight));
        let amount = cost * PARTS_PER_UNIT / weight;
        self.ledger.charge(workspace, amount);
        for zone in self.remote_zones.zones_of(workspace) {
            self.ledger.assume_charge(zone, workspace, amount);
        }
        self.update_virtual_time(workspace);
    }

    pub(super) fn update_virtual_time(&mut self, workspace: &WorkspaceName) {
        let virtual_time = self.ledger.virtual_time(workspace);
        self.queue.set_virtual_time(workspace, virtual_time);
        self.remote_zones.set_virtual_time(workspace, virtual_time);
    }

    pub(super) fn update_virtual_times(&mut self, entries: &[CounterEntry]) {
        for CounterEntry(workspace, ..) in entries {
            self.update_virtual_time(workspace);
        }
    }

    /// Lifts workspaces that are behind the one furthest ahead by more than the pool's debt cap.
    pub(super) fn cap_debts(&mut self) {
        let local = self.queue.furthest_ahead().map(|(_, w)| self.ledger.known_virtual_time(w));
        let remote =
            self.remote_zones.furthest_ahead().map(|(_, w)| self.ledger.known_virtual_time(w));
        let Some(ahead) = local.into_iter().chain(remote).max() else { return };
        let lowest = ahead - to_virtual_time(u64::from(self.pool_config.debt_cap));
        while let Some((_, workspace)) = self.queue.furthest_behind() {
            // Charges that are only assumed don't count as debt.
            if lowest <= self.ledger.known_virtual_time(workspace) {
                return;
            }
            let workspace = workspace.clone();
            self.lift(&workspace, lowest);
        }
    }
}
