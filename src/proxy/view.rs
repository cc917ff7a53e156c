//! What this box knows of the configuration and the upstreams, and when it believes the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::fleet::evacuated::Evacuated;
use crate::names::UpstreamName;
use crate::placement::fleet::Fleet;
use crate::proxy::dialect::Listed;
use crate::proxy::digests;
use crate::proxy::digests::Digests;
use crate::proxy::history::History;
use crate::proxy::table::EngineLimits;
use crate::proxy::table::Table;

/// Entries that lapse while the store is away come back by themselves within about two seconds of
/// its return; one that is missing after this is gone.
const LAPSE_GRACE: Duration = Duration::from_millis(2200);

/// An upstream that another box says to be gone gets no work, but is remembered for this long, so that
/// a box that is behind doesn't bring it back.
const SAID_GONE_KEPT: Duration = Duration::from_secs(10);

/// An upstream that is gone is remembered for this long: a box that was cut off from all others doesn't
/// own anything any more after a sixth of it, and may have believed in the upstream until it came back.
const DROPPED_KEPT: Duration = Duration::from_secs(30);

/// What one box can tell another that can't ask the store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration in force; nothing if whoever asks has it.
    pub table: Option<Arc<Table>>,
    /// All upstreams in use or leaving that are in these buckets.
    pub upstreams: Vec<Listed>,
    /// The buckets of upstreams that are told of; all if nothing is given.
    pub buckets: Option<BTreeSet<u8>>,
    /// Others that are gone.
    pub gone: Vec<UpstreamName>,
    /// The revision of the store up to which the sender's list is whole.
    pub revision: u64,
    /// Whether the sender sees the store, so that there are no others.
    pub is_sure: bool,
}

/// A change of what is believed, for the log and for the other boxes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A configuration came into force.
    Configured(u64),
    /// All upstreams are known for the first time, so many. Others have them, or ask for them.
    Listed(usize),
    /// An upstream is new or has changed.
    Upstream(Listed),
    /// An upstream leaves: it gets no new work.
    Leaving(UpstreamName),
    /// Another box says that an upstream leaves or is gone.
    Told(UpstreamName),
    /// An upstream is gone.
    Gone(UpstreamName),
    /// An upstream's entry is missing; it is kept until it is sure to be gone.
    Missing(UpstreamName),
    /// Other zones are evacuated than before.
    Evacuated(Evacuated),
}

/// What this box knows.
#[derive(Debug)]
pub struct View {
    table: Option<Arc<Table>>,
    fleet: Fleet,
    history: History,
    /// Upstreams whose entries may have lapsed while the store was away.
    missing: BTreeSet<UpstreamName>,
    evacuated: Evacuated,
    /// Upstreams that are gone, and when that was known. Names are never given twice.
    dropped: BTreeMap<UpstreamName, Duration>,
    /// Upstreams that another box has said to be gone, and when.
    said_gone: BTreeMap<UpstreamName, Duration>,
    listed_once: bool,
    reached: bool,
    /// Until when after the store's return a missing entry may come back.
    grace_until: Duration,
    changes: Vec<Change>,
}

impl View {
    /// Nothing is known yet.
    pub fn new(fleet: Fleet) -> View {
        View {
            table: None,
            fleet,
            history: History::default(),
            missing: BTreeSet::new(),
            evacuated: Evacuated::default(),
            dropped: BTreeMap::new(),
            said_gone: BTreeMap::new(),
            listed_once: false,
            reached: false,
            grace_until: Duration::ZERO,
            changes: Vec::new(),
        }
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// The version in force; zero before the first.
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |t| t.version)
    }

    /// The upstreams.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The upstreams, to note what is sent there.
    pub fn fleet_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    /// The zones whose engines get nothing.
    pub fn evacuated(&self) -> &Evacuated {
        &self.evacuated
    }

    /// Takes over which zones are evacuated, if that is newer than what is known. Engines of a zone that is
    /// taken back may have turned cold.
    pub fn evacuate(&mut self, evacuated: &Evacuated, now: Duration) {
        let before = self.evacuated.zones.clone();
        if !self.evacuated.merge(evacuated) {
            return;
        }
        let zones = &self.evacuated.zones;
        before.difference(zones).for_each(|zone| self.fleet.chill_zone(zone, now));
        self.fleet.close(zones.clone());
        self.changes.push(Change::Evacuated(self.evacuated.clone()));
    }

    /// Whether requests can be served: there are a configuration and upstreams.
    pub fn is_ready(&self) -> bool {
        self.table.is_some() && self.has_list()
    }

    /// Whether all upstreams were listed once.
    pub fn has_list(&self) -> bool {
        self.listed_once
    }

    /// Whether the store answers.
    pub fn reaches_store(&self) -> bool {
        self.reached
    }

    /// What has changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// What another box may take over.
    pub fn snapshot(&self, now: Duration) -> Snapshot {
        Snapshot {
            table: self.table.clone(),
            upstreams: self.fleet.told(now),
            buckets: None,
            gone: Vec::new(),
            revision: self.revision(),
            is_sure: self.is_sure(),
        }
    }

    /// Whether there are no other upstreams than those that are listed.
    fn is_sure(&self) -> bool {
        // The configuration may come before the list, and an entry that is missing may be gone.
        self.reached && self.listed_once && self.missing.is_empty()
    }

    /// The revision of the store up to which the list of upstreams is whole; zero before there is one.
    pub fn revision(&self) -> u64 {
        self.history.revision()
    }

    /// Notes that the store has told all up to a revision.
    pub fn up_to(&mut self, revision: u64) {
        self.history.up_to(revision);
    }

    /// What another box may take over that has a configuration of this version and all changes of upstreams
    /// up to a revision; nothing if that is too long ago.
    pub fn since(&self, version: u64, revision: u64, now: Duration) -> Option<Snapshot> {
        // Nobody knows of an entry that is missing whether it is gone.
        let changed = self.history.since(revision)?.filter(|name| !self.missing.contains(*name));
        let (kept, gone): (Vec<_>, Vec<_>) =
            changed.partition(|name| self.fleet.get(name).is_some());
        Some(Snapshot {
            table: self.newer_table(version),
            upstreams: kept.iter().filter_map(|name| self.fleet.told_of(name, now)).collect(),
            buckets: Some(BTreeSet::new()),
            gone: gone.into_iter().cloned().collect(),
            revision: self.revision(),
            is_sure: self.is_sure(),
        })
    }

    /// What another box may take over that has a configuration of this version and lists what has these
    /// digests.
    pub fn difference(&self, version: u64, theirs: &Digests, now: Duration) -> Snapshot {
        let mut all = self.snapshot(now);
        let buckets = Digests::of(all.upstreams.iter()).differing(theirs);
        all.upstreams.retain(|l| buckets.contains(&digests::bucket(&l.name)));
        Snapshot { table: self.newer_table(version), buckets: Some(buckets), ..all }
    }

    fn newer_table(&self, version: u64) -> Option<Arc<Table>> {
        self.table.clone().filter(|t| version < t.version)
    }

    /// By what another box finds out what this one misses.
    pub fn digests(&self, now: Duration) -> Digests {
        Digests::of(self.fleet.told(now).iter())
    }

    /// Takes over a configuration, unless it is no newer than the one in force.
    pub fn configure(&mut self, table: Arc<Table>, now: Duration) {
        if table.version <= self.version() {
            return;
        }
        self.changes.push(Change::Configured(table.version));
        self.table = Some(table);
        let known: Vec<Listed> = self.fleet.listed().cloned().collect();
        for listed in known {
            let limits = self.engine_limits(&listed);
            let is_new = limits.is_some() && !self.fleet.is_engine(&listed.name);
            let (name, cold_for) = (listed.name.clone(), listed.cold_for);
            self.fleet.set(listed, limits);
            if is_new {
                self.fleet.chill(&name, cold_for, now);
            }
        }
    }

    /// Takes over the store's whole list of upstreams.
    pub fn list(&mut self, all: Vec<Listed>, now: Duration) {
        let absent: Vec<UpstreamName> = self
            .fleet
            .listed()
            .filter(|known| all.iter().all(|l| l.name != known.name))
            .map(|known| known.name.clone())
            .collect();
        for listed in all {
            self.set(listed, now);
        }
        for name in absent {
            self.gone(&name, now);
        }
        self.has_listed();
    }

    /// Notes that all upstreams are known.
    fn has_listed(&mut self) {
        if self.listed_once {
            return;
        }
        self.listed_once = true;
        self.changes.retain(|change| !matches!(change, Change::Upstream(_)));
        self.changes.push(Change::Listed(self.fleet.listed().count()));
    }

    /// Takes over one upstream.
    pub fn set(&mut self, listed: Listed, now: Duration) {
        self.missing.remove(&listed.name);
        self.dropped.remove(&listed.name);
        let is_known = self.fleet.get(&listed.name).is_some_and(|known| known.is_same(&listed));
        let is_colder = self.fleet.chill(&listed.name, listed.cold_for, now);
        if is_known && !is_colder {
            return;
        }
        let change = if listed.leaving {
            Change::Leaving(listed.name.clone())
        } else {
            Change::Upstream(listed.clone())
        };
        self.changes.push(change);
        self.history.note(&listed.name, now);
        let limits = self.engine_limits(&listed);
        let (name, cold_for) = (listed.name.clone(), listed.cold_for);
        self.fleet.set(listed, limits);
        self.fleet.chill(&name, cold_for, now);
    }

    /// An entry is gone. Near trouble with the store it may only have lapsed.
    pub fn gone(&mut self, name: &UpstreamName, now: Duration) {
        let may_return = !self.reached || now < self.grace_until;
        // One that was leaving is not missed.
        if may_return && self.fleet.is_open(name) {
            if self.missing.insert(name.clone()) {
                self.changes.push(Change::Missing(name.clone()));
            }
            return;
        }
        self.drop_upstream(name, now);
    }

    /// Whether this box knows that an upstream must get no requests: it leaves or is gone, or its zone
    /// is evacuated. Another box that was cut off may still believe in it.
    pub fn is_barred(&self, name: &UpstreamName) -> bool {
        let is_closed = |l: &Listed| l.leaving || self.evacuated.zones.contains(&l.zone);
        self.dropped.contains_key(name) || self.fleet.get(name).is_some_and(is_closed)
    }

    /// Another box, which sees the store, says that an upstream leaves. None ever comes back from
    /// that, so it is believed at once.
    pub fn told_leaving(&mut self, name: &UpstreamName, now: Duration) {
        if self.fleet.is_open(name) {
            self.fleet.leave(name);
            // The store's own word will be no news then.
            self.history.note(name, now);
            self.changes.push(Change::Told(name.clone()));
        }
    }

    /// Another box, which sees the store, says that an upstream's entry is gone. It may only have
    /// lapsed, so that is believed only while this box doesn't see the store itself.
    pub fn told_gone(&mut self, name: &UpstreamName, now: Duration) {
        if !self.reached {
            self.told_leaving(name, now);
            self.said_gone.insert(name.clone(), now);
        }
    }

    /// Another box, which sees the store, says that an upstream is new or has changed.
    pub fn told_listed(&mut self, listed: Listed, now: Duration) {
        let is_leaving = self.fleet.get(&listed.name).is_some_and(|known| known.leaving);
        if !self.reached && !is_leaving && !self.dropped.contains_key(&listed.name) {
            self.set(listed, now);
        }
    }

    /// A digest of the upstreams that are in use: boxes that list the same have the same.
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for listed in self.fleet.listed().filter(|l| !l.leaving) {
            hash.update(listed.name.as_bytes());
        }
        hash.digest()
    }

    /// Takes over what another box knows, while this one doesn't see the store.
    pub fn take_over(&mut self, snapshot: Snapshot, now: Duration) {
        if let Some(table) = snapshot.table {
            self.configure(table, now);
        }
        if self.reached {
            return;
        }
        // Nothing differs from what was told one by one.
        let is_changes = snapshot.buckets.as_ref().is_some_and(BTreeSet::is_empty);
        let is_same = is_changes && self.fleet.listed().next().is_some();
        let is_useful = !snapshot.upstreams.is_empty() || is_same;
        // What it hasn't heard of yet isn't gone.
        if snapshot.revision < self.revision() {
            return;
        }
        if snapshot.is_sure {
            let listed: BTreeSet<&UpstreamName> =
                snapshot.upstreams.iter().map(|l| &l.name).collect();
            let buckets = snapshot.buckets.as_ref();
            let is_told = |name: &UpstreamName| {
                buckets.is_none_or(|buckets| buckets.contains(&digests::bucket(name)))
            };
            let known = self.fleet.listed().map(|l| l.name.clone());
            let known: Vec<UpstreamName> = known.filter(is_told).collect();
            known
                .iter()
                .filter(|name| !listed.contains(name))
                .chain(&snapshot.gone)
                .for_each(|name| self.drop_upstream(name, now));
        }
        // What differs is asked for when all who see the store list it: one that is gone, or was only said to
        // be, had lapsed then.
        let may_return = snapshot.is_sure && !is_changes;
        for listed in snapshot.upstreams {
            let is_gone = self.dropped.contains_key(&listed.name);
            let was_said_gone = self.said_gone.contains_key(&listed.name);
            // An upstream never returns from leaving.
            let is_leaving = self.fleet.get(&listed.name).is_some_and(|known| known.leaving);
            if may_return && was_said_gone || !is_leaving && (may_return || !is_gone) {
                self.said_gone.remove(&listed.name);
                self.set(listed, now);
            }
        }
        if snapshot.is_sure {
            self.history.up_to(snapshot.revision);
        }
        if is_useful {
            self.has_listed();
        }
    }

    /// The store gives no answer, or refuses.
    pub fn store_lost(&mut self) {
        self.reached = false;
    }

    /// Others watch the store and tell what changes.
    pub fn store_left_to_others(&mut self) {
        self.reached = false;
    }

    /// The store answers.
    pub fn store_regained(&mut self, now: Duration) {
        // At the start nothing is known that could be missing.
        if !self.reached && self.listed_once {
            self.grace_until = now + LAPSE_GRACE;
        }
        self.reached = true;
    }

    /// Gives up what has been missing for too long, while the store answers.
    pub fn tick(&mut self, now: Duration) {
        self.fleet.tick(now);
        self.history.tick(now);
        self.dropped.retain(|_, at| now < *at + DROPPED_KEPT);
        let View { fleet, dropped, history, .. } = self;
        self.said_gone.retain(|name, said| {
            let is_kept = now < *said + SAID_GONE_KEPT;
            if !is_kept {
                fleet.remove(name);
                history.note(name, now);
                dropped.insert(name.clone(), now);
            }
            is_kept
        });
        if !self.reached || now < self.grace_until {
            return;
        }
        for name in std::mem::take(&mut self.missing) {
            self.drop_upstream(&name, now);
        }
    }

    fn drop_upstream(&mut self, name: &UpstreamName, now: Duration) {
        self.missing.remove(name);
        self.history.note(name, now);
        self.dropped.insert(name.clone(), now);
        self.fleet.remove(name);
        self.changes.push(Change::Gone(name.clone()));
    }

    /// The path at which an upstream says how it is.
    pub fn probe_path(&self, name: &UpstreamName) -> Option<String> {
        let service = &self.fleet.get(name)?.service;
        Some(self.table.as_ref()?.service(service)?.probe_path.clone())
    }

    fn engine_limits(&self, listed: &Listed) -> Option<EngineLimits> {
        self.table.as_ref()?.service(&listed.service)?.engine
    }
}
