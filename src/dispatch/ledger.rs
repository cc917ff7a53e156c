//! How much service each workspace of one pool has received, over the whole fleet.
//!
//! A state-based counter with one *replica* per dispatcher: each dispatcher writes only its own
//! replica, a table of service per workspace, and keeps copies of the others'. A workspace's
//! service is the sum over all replicas. A copy is replaced only by a newer version of the same
//! replica, so merging is idempotent and commutative.
//!
//! A workspace that was idle must not be served first until it has caught up with all that the
//! others received meanwhile. It is therefore *lifted* when it starts to wait: its virtual time is
//! its service plus an offset. Offsets only grow and merge by maximum, so two dispatchers that lift
//! the same workspace at once don't lift it twice.
//!
//! What other dispatchers have charged since their last report isn't known. If every dispatcher
//! ordered by reported service only, all would favour the same workspace at once, until their next
//! reports, and overshoot. So each one assumes that every zone where a workspace also waits serves
//! it as much as it does itself, and drops the assumption when that zone reports.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde::Serialize;

use crate::names::BoxName;
use crate::names::WorkspaceName;
use crate::names::ZoneName;
use crate::peer::message::RelayedCounters;

/// Units of virtual time per cost unit of the pool.
pub const PARTS_PER_UNIT: i64 = 1000;

/// Largest amount, positive or negative, that is accepted from another box. At the rate of the
/// largest pools (134 thousand tokens a second) one replica reaches it in 17 years; a hundred such
/// add up without overflow.
pub const AMOUNT_MAX: VirtualTime = 1 << 56;

/// Service received, divided by the workspace's weight, in thousandths of the pool's cost unit.
pub type VirtualTime = i64;

/// Identifies the counters of one dispatcher, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    #[serde(rename = "b")]
    pub name: BoxName,
    /// Distinguishes the dispatchers that the box has started, in this run and in others.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

/// One workspace's counters as dispatchers exchange them: the workspace, the service charged in
/// this replica, the lift offset as the sender knows it, and how many tickets wait at the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterEntry(pub WorkspaceName, pub VirtualTime, pub VirtualTime, pub u32);

impl CounterEntry {
    /// Whether the amounts are within [`AMOUNT_MAX`].
    fn is_sane(&self) -> bool {
        let sane = |amount: VirtualTime| (-AMOUNT_MAX..=AMOUNT_MAX).contains(&amount);
        sane(self.1) && sane(self.2)
    }
}

/// The service that all workspaces have received from one pool.
#[derive(Debug)]
pub struct Ledger {
    own_replica: ReplicaId,
    version: u64,
    own_entries: FxHashMap<WorkspaceName, OwnEntry>,
    by_version: BTreeMap<u64, WorkspaceName>,
    copies: BTreeMap<ReplicaId, ReplicaCopy>,
    accounts: FxHashMap<WorkspaceName, Account>,
    assumed: FxHashMap<ZoneName, FxHashMap<WorkspaceName, VirtualTime>>,
    total_charged: VirtualTime,
}

#[derive(Debug, Default)]
struct OwnEntry {
    charged: VirtualTime,
    waiting: u32,
    version: u64,
}

#[derive(Debug, Default)]
struct ReplicaCopy {
    version: u64,
    /// Per workspace: the service charged, and the version at which it last changed.
    charged: FxHashMap<WorkspaceName, (VirtualTime, u64)>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    service: VirtualTime,
    offset: VirtualTime,
    assumed: VirtualTime,
}

impl Ledger {
    /// An empty ledger that writes `own_replica`.
    pub fn new(own_replica: ReplicaId) -> Ledger {
        Ledger {
            own_replica,
            version: 0,
            own_entries: FxHashMap::default(),
            by_version: BTreeMap::new(),
            copies: BTreeMap::new(),
            accounts: FxHashMap::default(),
            assumed: FxHashMap::default(),
            total_charged: 0,
        }
    }

    pub fn replica(&self) -> &ReplicaId {
        &self.own_replica
    }

    /// The version of this dispatcher's replica, which grows with every change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The virtual time of a workspace, including what other zones are assumed to have charged; 0
    /// for one that was never served.
    pub fn virtual_time(&self, workspace: &str) -> VirtualTime {
        self.accounts.get(workspace).map_or(0, |a| a.service + a.offset + a.assumed)
    }

    /// The virtual time of a workspace without assumed charges.
    pub fn known_virtual_time(&self, workspace: &str) -> VirtualTime {
        self.accounts.get(workspace).map_or(0, |a| a.service + a.offset)
    }

    /// The sum of all charges ever made to this dispatcher's replica.
    pub fn total_charged(&self) -> VirtualTime {
        self.total_charged
    }

    /// Assumes that a zone has charged a workspace `amount`, as this dispatcher did.
    pub fn assume_charge(
        &mut self,
        zone: &ZoneName,
        workspace: &WorkspaceName,
        amount: VirtualTime,
    ) {
        let zone = self.assumed.entry(zone.clone()).or_default();
        *zone.entry(workspace.clone()).or_default() += amount;
        self.accounts.entry(workspace.clone()).or_default().assumed += amount;
    }

    /// Drops the charges assumed for a zone. Returns the workspaces concerned.
    pub fn drop_assumed(&mut self, zone: &str) -> Vec<WorkspaceName> {
        let assumed = self.assumed.remove(zone).unwrap_or_default();
        for (workspace, amount) in &assumed {
            if let Some(account) = self.accounts.get_mut(workspace) {
                account.assumed -= amount;
            }
        }
        assumed.into_keys().collect()
    }

    /// Charges `amount` to this dispatcher's replica. It is negative where an estimate was too
    /// high.
    pub fn charge(&mut self, workspace: &WorkspaceName, amount: VirtualTime) {
        if amount == 0 {
            return;
        }
        self.total_charged += amount;
        self.update_entry(workspace).charged += amount;
        self.accounts.entry(workspace.clone()).or_default().service += amount;
    }

    /// Raises the virtual time of a workspace that starts to wait to at least `floor`.
    pub fn lift(&mut self, workspace: &WorkspaceName, floor: VirtualTime) {
        let now = self.known_virtual_time(workspace);
        if floor <= now {
            return;
        }
        self.accounts.entry(workspace.clone()).or_default().offset += floor - now;
        self.update_entry(workspace);
    }

    /// Records how many tickets of a workspace wait here, to be reported to the other dispatchers.
    pub fn set_waiting(&mut self, workspace: &WorkspaceName, waiting: u32) {
        let known = self.own_entries.get(workspace).map_or(0, |e| e.waiting);
        let waiting = coarse_count(waiting);
        if known != waiting {
            self.update_entry(workspace).waiting = waiting;
        }
    }

    /// The entries of this dispatcher's replica that changed after version `since`.
    pub fn changes_since(&self, since: u64) -> Vec<CounterEntry> {
        self.by_version.range(since + 1..).map(|(_, w)| self.to_counter_entry(w)).collect()
    }

    /// The entries of all other replicas that changed after the versions in `since`; all entries of
    /// a replica that isn't listed there.
    pub fn copies_since(&self, since: &FxHashMap<ReplicaId, u64>) -> Vec<RelayedCounters> {
        let mut copies = Vec::new();
        for (replica, copy) in &self.copies {
            let known = since.get(replica).copied().unwrap_or(0);
            if copy.version <= known {
                continue;
            }
            let changed = copy.charged.iter().filter(|(_, (_, version))| known < *version);
            let entries = changed.map(|(w, (c, _))| CounterEntry(w.clone(), *c, self.offset(w), 0));
            let entries = entries.collect();
            copies.push(RelayedCounters {
                replica: replica.clone(),
                version: copy.version,
                entries,
            });
        }
        copies
    }

    /// The version up to which another replica is merged; 0 for an unknown one.
    pub fn merged_version(&self, replica: &ReplicaId) -> u64 {
        self.copies.get(replica).map_or(0, |c| c.version)
    }

    /// Merges entries that bring another replica to `version`. Returns false, and changes nothing,
    /// if that version is merged already.
    pub fn merge(&mut self, replica: &ReplicaId, version: u64, entries: &[CounterEntry]) -> bool {
        if *replica == self.own_replica {
            return false;
        }
        let copy = self.copies.entry(replica.clone()).or_default();
        if version <= copy.version {
            return false;
        }
        copy.version = version;
        for CounterEntry(workspace, charged, offset, _) in entries.iter().filter(|e| e.is_sane()) {
            let entry = (*charged, version);
            let before = copy.charged.insert(workspace.clone(), entry).map_or(0, |(c, _)| c);
            let account = self.accounts.entry(workspace.clone()).or_default();
            account.service += charged - before;
            account.offset = account.offset.max(*offset);
        }
        true
    }

    /// This dispatcher's entry of a workspace, moved to a new version.
    fn update_entry(&mut self, workspace: &WorkspaceName) -> &mut OwnEntry {
        self.version += 1;
        let entry = self.own_entries.entry(workspace.clone()).or_default();
        self.by_version.remove(&entry.version);
        entry.version = self.version;
        self.by_version.insert(self.version, workspace.clone());
        entry
    }

    fn to_counter_entry(&self, workspace: &WorkspaceName) -> CounterEntry {
        let entry = &self.own_entries[workspace];
        CounterEntry(workspace.clone(), entry.charged, self.offset(workspace), entry.waiting)
    }

    fn offset(&self, workspace: &str) -> VirtualTime {
        self.accounts.get(workspace).map_or(0, |a| a.offset)
    }
}

/// Rounds a count down to a power of two, so that a long queue isn't reported anew with every
/// ticket.
fn coarse_count(waiting: u32) -> u32 {
    if waiting == 0 {
        return 0;
    }
    1 << waiting.ilog2()
}
