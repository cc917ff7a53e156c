//! How much service every workspace of one pool has received, fleet-wide.
//!
//! Each dispatcher writes one *cell* of its own, a table of service per workspace, and keeps copies
//! of the cells of the others. The cells add up to a workspace's service; a copy is replaced by a
//! newer version of the same cell and by nothing else, so merging is idempotent and commutative.
//!
//! A workspace that was idle must not use the credit it seems to have gathered. It is *lifted*: its
//! virtual time is its service plus an offset, and the offset only grows (a register that merges by
//! maximum), so two dispatchers that lift the same workspace at once don't lift it twice.
//!
//! What other dispatchers have charged since they were last heard isn't known. If every dispatcher
//! simply ordered by what it knows, all would favour the same workspace at once until they hear of
//! each other, and overshoot. So each one assumes that the others, where a workspace waits with
//! them too, serve it as it does itself; the assumption is dropped when they are heard.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde::Serialize;

use crate::names::BoxName;
use crate::names::WorkspaceName;
use crate::names::ZoneName;
use crate::peer::message::RelayedCounters;

/// Parts of one cost unit that virtual time is counted in.
pub const PARTS: i64 = 1000;

/// Largest amount that is believed of another, either way. At the rate of the largest pools (134
/// thousand tokens a second) one cell reaches it in 17 years; a hundred such add up without overflow.
pub const AMOUNT_MAX: VirtualTime = 1 << 56;

/// Service received, divided by the workspace's weight, in thousandths of the pool's unit.
pub type VirtualTime = i64;

/// Names the cell of one dispatcher in one start of its box.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// The dispatcher's box.
    #[serde(rename = "b")]
    pub name: BoxName,
    /// Which start of that box.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

/// One workspace's line of a replica, as dispatchers exchange it: the name, the service charged in
/// this replica, the offset as the sender knows it, and how many tickets wait at the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterEntry(pub WorkspaceName, pub VirtualTime, pub VirtualTime, pub u32);

impl CounterEntry {
    /// Whether its amounts can be true.
    fn is_sane(&self) -> bool {
        let sane = |amount: VirtualTime| (-AMOUNT_MAX..=AMOUNT_MAX).contains(&amount);
        sane(self.1) && sane(self.2)
    }
}

/// The service of all workspaces on one pool.
#[derive(Debug)]
pub struct Ledger {
    mine: ReplicaId,
    version: u64,
    own: FxHashMap<WorkspaceName, Line>,
    changed: BTreeMap<u64, WorkspaceName>,
    others: BTreeMap<ReplicaId, Copy>,
    accounts: FxHashMap<WorkspaceName, Account>,
    assumed: FxHashMap<ZoneName, FxHashMap<WorkspaceName, VirtualTime>>,
    charged: VirtualTime,
}

#[derive(Debug, Default)]
struct Line {
    charged: VirtualTime,
    waiting: u32,
    version: u64,
}

#[derive(Debug, Default)]
struct Copy {
    version: u64,
    /// The version at which each entry last changed, beside what is charged.
    charged: FxHashMap<WorkspaceName, (VirtualTime, u64)>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    service: VirtualTime,
    offset: VirtualTime,
    assumed: VirtualTime,
}

impl Ledger {
    /// An empty ledger whose own cell is `mine`.
    pub fn new(mine: ReplicaId) -> Ledger {
        Ledger {
            mine,
            version: 0,
            own: FxHashMap::default(),
            changed: BTreeMap::new(),
            others: BTreeMap::new(),
            accounts: FxHashMap::default(),
            assumed: FxHashMap::default(),
            charged: 0,
        }
    }

    /// The name of the own replica.
    pub fn replica(&self) -> &ReplicaId {
        &self.mine
    }

    /// The version of the own replica.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The virtual time of a workspace, with what others are assumed to have charged; 0 for one
    /// that was never served.
    pub fn virtual_time(&self, workspace: &str) -> VirtualTime {
        self.accounts.get(workspace).map_or(0, |a| a.service + a.offset + a.assumed)
    }

    /// The virtual time of a workspace without any assumption.
    pub fn known_time(&self, workspace: &str) -> VirtualTime {
        self.accounts.get(workspace).map_or(0, |a| a.service + a.offset)
    }

    /// All that was ever charged to the own replica.
    pub fn charged(&self) -> VirtualTime {
        self.charged
    }

    /// Assumes that a zone has charged a workspace `amount` like this dispatcher did.
    pub fn assume(&mut self, zone: &ZoneName, workspace: &WorkspaceName, amount: VirtualTime) {
        let zone = self.assumed.entry(zone.clone()).or_default();
        *zone.entry(workspace.clone()).or_default() += amount;
        self.accounts.entry(workspace.clone()).or_default().assumed += amount;
    }

    /// Drops what was assumed of a zone. Gives the workspaces that it concerned.
    pub fn forget_assumed(&mut self, zone: &str) -> Vec<WorkspaceName> {
        let assumed = self.assumed.remove(zone).unwrap_or_default();
        for (workspace, amount) in &assumed {
            if let Some(account) = self.accounts.get_mut(workspace) {
                account.assumed -= amount;
            }
        }
        assumed.into_keys().collect()
    }

    /// Charges `amount` (which may be negative, when an estimate was too high) to the own replica.
    pub fn charge(&mut self, workspace: &WorkspaceName, amount: VirtualTime) {
        if amount == 0 {
            return;
        }
        self.charged += amount;
        self.line(workspace).charged += amount;
        self.accounts.entry(workspace.clone()).or_default().service += amount;
    }

    /// Raises a workspace that starts to wait to at least `floor`.
    pub fn lift(&mut self, workspace: &WorkspaceName, floor: VirtualTime) {
        let now = self.known_time(workspace);
        if floor <= now {
            return;
        }
        self.accounts.entry(workspace.clone()).or_default().offset += floor - now;
        self.line(workspace);
    }

    /// Notes how many tickets of a workspace wait here, for the other dispatchers to know.
    pub fn note_waiting(&mut self, workspace: &WorkspaceName, waiting: u32) {
        let known = self.own.get(workspace).map_or(0, |l| l.waiting);
        let bucket = bucket(waiting);
        if known != bucket {
            self.line(workspace).waiting = bucket;
        }
    }

    /// The entries of the own cell that changed after version `since`.
    pub fn changes(&self, since: u64) -> Vec<CounterEntry> {
        self.changed.range(since + 1..).map(|(_, w)| self.entry(w)).collect()
    }

    /// The copies of other cells as far as they changed after the versions in `since`; all of a
    /// cell that isn't in there.
    pub fn copies(&self, since: &FxHashMap<ReplicaId, u64>) -> Vec<RelayedCounters> {
        let mut copies = Vec::new();
        for (replica, copy) in &self.others {
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

    /// The version up to which another cell is known; 0 when it isn't.
    pub fn seen(&self, replica: &ReplicaId) -> u64 {
        self.others.get(replica).map_or(0, |c| c.version)
    }

    /// Merges entries that bring another's cell to version `upto`. An older or equal version
    /// changes nothing and gives false.
    pub fn merge(&mut self, replica: &ReplicaId, upto: u64, entries: &[CounterEntry]) -> bool {
        if *replica == self.mine {
            return false;
        }
        let copy = self.others.entry(replica.clone()).or_default();
        if upto <= copy.version {
            return false;
        }
        copy.version = upto;
        for CounterEntry(workspace, charged, offset, _) in entries.iter().filter(|e| e.is_sane()) {
            let line = (*charged, upto);
            let before = copy.charged.insert(workspace.clone(), line).map_or(0, |(c, _)| c);
            let account = self.accounts.entry(workspace.clone()).or_default();
            account.service += charged - before;
            account.offset = account.offset.max(*offset);
        }
        true
    }

    /// The line of a workspace in the own replica, moved to a new version.
    fn line(&mut self, workspace: &WorkspaceName) -> &mut Line {
        self.version += 1;
        let line = self.own.entry(workspace.clone()).or_default();
        self.changed.remove(&line.version);
        line.version = self.version;
        self.changed.insert(self.version, workspace.clone());
        line
    }

    fn entry(&self, workspace: &WorkspaceName) -> CounterEntry {
        let line = &self.own[workspace];
        CounterEntry(workspace.clone(), line.charged, self.offset(workspace), line.waiting)
    }

    fn offset(&self, workspace: &str) -> VirtualTime {
        self.accounts.get(workspace).map_or(0, |a| a.offset)
    }
}

/// Rounds a count down to a power of two, so that a long queue isn't news at every ticket.
fn bucket(waiting: u32) -> u32 {
    if waiting == 0 {
        return 0;
    }
    1 << waiting.ilog2()
}
