//! What this box knows of the configuration and the upstreams, and when it believes the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashSet;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::draining;
use crate::fleet::draining::DrainNotice;
use crate::fleet::evacuated::EvacuatedZones;
use crate::fleet::owners::EngineGroup;
use crate::fleet::revision::Revision;
use crate::names::UpstreamName;
use crate::names::ZoneName;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::registry::learned::LearnedReport;
use crate::proxy::adapter::UpstreamListing;
use crate::proxy::digests;
use crate::proxy::digests::Digests;
use crate::proxy::history::History;
use crate::proxy::routing_table::EngineLimits;
use crate::proxy::routing_table::RoutingTable;

/// Entries that lapse while the store is away come back by themselves within about two seconds of
/// its return; one that is missing after this is gone.
const LAPSE_GRACE: Duration = Duration::from_millis(2200);

/// An upstream that another box says to be gone gets no work, but is remembered for this long, so that
/// a box that is behind doesn't bring it back.
const SAID_GONE_KEPT: Duration = Duration::from_secs(10);

/// An upstream that is gone is remembered for this long: a box that was cut off from all others doesn't
/// own anything any more after a sixth of it, and may have believed in the upstream until it came back.
const DROPPED_KEPT: Duration = Duration::from_secs(30);

/// A store that has come back from an older copy may list upstreams that are gone. Those that live write their
/// entries again; the others' lapse after three heartbeats of 1.2 s in which they write nothing.
const RETURN_GRACE: Duration = Duration::from_millis(4500);

/// What one box can tell another that can't ask the store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration in force; nothing if whoever asks has it.
    pub table: Option<Arc<RoutingTable>>,
    /// All upstreams in use or leaving that are in these buckets.
    pub upstreams: Vec<UpstreamListing>,
    /// The buckets of upstreams that are told of; all if nothing is given.
    pub buckets: Option<BTreeSet<u8>>,
    /// Others that are gone.
    pub gone: Vec<UpstreamName>,
    /// The revision of the store up to which the sender's list is whole.
    pub revision: Revision,
    /// Whether the sender sees the store, so that there are no others.
    #[serde(rename = "is_sure")]
    pub is_complete: bool,
}

/// A change of what is believed, for the log and for the other boxes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A configuration came into force.
    Configured(u64),
    /// All upstreams are known for the first time, so many. Others have them, or ask for them.
    Listed(usize),
    /// An upstream is new or has changed.
    Upstream(UpstreamListing),
    /// An upstream leaves: it gets no new work.
    Leaving(UpstreamName),
    /// Another box says that an upstream leaves or is gone.
    ReportedLeaving(UpstreamName),
    /// An upstream is gone.
    Gone(UpstreamName),
    /// An upstream's entry is missing; it is kept until it is sure to be gone.
    Missing(UpstreamName),
    /// Other zones are evacuated than before.
    Evacuated(EvacuatedZones),
    /// The store has come back from an older copy, and counts this era.
    StoreRestored(u64),
    /// An upstream of this name and address has started anew, by its own clock at this time in milliseconds since
    /// 1970.
    Restarted(UpstreamName, SocketAddr, u64),
}

/// An upstream that is gone.
#[derive(Clone, Copy, Debug)]
struct Dropped {
    /// When that was known.
    at: Duration,
    /// Which start of it.
    started_at_ms: Option<u64>,
}

/// What this box knows.
#[derive(Debug)]
pub struct View {
    table: Option<Arc<RoutingTable>>,
    fleet: UpstreamRegistry,
    history: History,
    /// Upstreams whose entries may have lapsed while the store was away.
    missing: BTreeSet<UpstreamName>,
    evacuated: EvacuatedZones,
    /// Zones whose evacuation an older copy of the store lacks, until when they are kept so all the same.
    held_zones: BTreeMap<ZoneName, Duration>,
    /// Upstreams that have said themselves that they are draining.
    draining: draining::DrainNotices,
    /// Upstreams that are gone. Another start of one may have its name.
    dropped: BTreeMap<UpstreamName, Dropped>,
    /// Upstreams that are listed though there is reason to believe that they are gone or draining, and when the list is
    /// believed.
    returned: BTreeMap<UpstreamName, (UpstreamListing, Duration)>,
    /// Entries that can't be read, and why.
    unreadable: BTreeMap<UpstreamName, String>,
    /// The store's era, if this box has heard it from the store itself.
    era: u64,
    /// Until when the store may list what is gone.
    returns_until: Duration,
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
    pub fn new(fleet: UpstreamRegistry) -> View {
        View {
            table: None,
            fleet,
            history: History::default(),
            missing: BTreeSet::new(),
            evacuated: EvacuatedZones::default(),
            held_zones: BTreeMap::new(),
            draining: draining::DrainNotices::default(),
            dropped: BTreeMap::new(),
            returned: BTreeMap::new(),
            unreadable: BTreeMap::new(),
            era: 0,
            returns_until: Duration::ZERO,
            said_gone: BTreeMap::new(),
            listed_once: false,
            reached: false,
            grace_until: Duration::ZERO,
            changes: Vec::new(),
        }
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<&Arc<RoutingTable>> {
        self.table.as_ref()
    }

    /// The version in force; zero before the first.
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |t| t.version)
    }

    /// The upstreams.
    pub fn fleet(&self) -> &UpstreamRegistry {
        &self.fleet
    }

    /// The upstreams, to note what is sent there.
    pub fn fleet_mut(&mut self) -> &mut UpstreamRegistry {
        &mut self.fleet
    }

    /// The zones whose engines get nothing.
    pub fn evacuated(&self) -> &EvacuatedZones {
        &self.evacuated
    }

    /// Takes over which zones are evacuated, if that is newer than what is known. Engines of a zone that is
    /// taken back may have turned cold.
    pub fn evacuate(&mut self, evacuated: &EvacuatedZones, now: Duration) {
        let EvacuatedZones { revision, zones: before } = self.evacuated.clone();
        if !self.evacuated.merge(evacuated) {
            return;
        }
        // An older copy of the store lacks orders that will be written again.
        let is_restored = !revision.is_none() && revision.era < evacuated.revision.era;
        for zone in before.difference(&self.evacuated.zones) {
            if is_restored {
                self.held_zones.insert(zone.clone(), now + LAPSE_GRACE);
            } else {
                self.fleet.mark_zone_cold(zone, now);
            }
        }
        self.fleet.set_closed_zones(self.closed());
        self.changes.push(Change::Evacuated(self.evacuated.clone()));
    }

    /// The zones whose engines get nothing.
    fn closed(&self) -> BTreeSet<ZoneName> {
        self.evacuated.zones.iter().chain(self.held_zones.keys()).cloned().collect()
    }

    /// The store counts this era in what it tells from now on. If that is a new one, it has come back from an older
    /// copy: what is missing there isn't gone, and what is there may be.
    pub fn enter_era(&mut self, era: u64, now: Duration) {
        let known = self.era.max(self.revision().era);
        self.era = self.era.max(era);
        if era <= known || !self.listed_once {
            return;
        }
        self.grace_until = self.grace_until.max(now + LAPSE_GRACE);
        self.returns_until = now + RETURN_GRACE;
        self.changes.push(Change::StoreRestored(era));
    }

    /// An upstream's entry can't be read, so it gets nothing. True where that is news.
    pub fn mark_unreadable(&mut self, name: &UpstreamName, fault: &str, now: Duration) -> bool {
        if self.unreadable.get(name).is_some_and(|known| known == fault) {
            return false;
        }
        self.unreadable.insert(name.clone(), fault.to_owned());
        self.returned.remove(name);
        if self.fleet.get(name).is_some() {
            self.remove_upstream(name, now);
        }
        true
    }

    /// Whether requests can be served: there are a configuration and upstreams.
    pub fn is_ready(&self) -> bool {
        self.table.is_some() && self.has_upstream_list()
    }

    /// Whether all upstreams were listed once.
    pub fn has_upstream_list(&self) -> bool {
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
            upstreams: self.fleet.listings(now),
            buckets: None,
            gone: Vec::new(),
            revision: self.revision(),
            is_complete: self.is_complete(),
        }
    }

    /// Whether there are no other upstreams than those that are listed.
    fn is_complete(&self) -> bool {
        // The configuration may come before the list, and an entry that is missing may be gone.
        self.reached && self.listed_once && self.missing.is_empty()
    }

    /// The revision of the store up to which the list of upstreams is whole; the default before there is one.
    pub fn revision(&self) -> Revision {
        self.history.revision()
    }

    /// Notes that the store has told all up to a revision.
    pub fn complete_up_to(&mut self, revision: Revision) {
        self.history.complete_up_to(revision);
    }

    /// What another box may take over that has a configuration of this version and all changes of upstreams
    /// up to a revision; nothing if that is too long ago.
    pub fn changes_since(
        &self,
        version: u64,
        revision: Revision,
        now: Duration,
    ) -> Option<Snapshot> {
        // Nobody knows of an entry that is missing whether it is gone.
        let changed =
            self.history.changes_since(revision)?.filter(|name| !self.missing.contains(*name));
        let (kept, gone): (Vec<_>, Vec<_>) =
            changed.partition(|name| self.fleet.get(name).is_some());
        Some(Snapshot {
            table: self.newer_table(version),
            upstreams: kept.iter().filter_map(|name| self.fleet.listing(name, now)).collect(),
            buckets: Some(BTreeSet::new()),
            gone: gone.into_iter().cloned().collect(),
            revision: self.revision(),
            is_complete: self.is_complete(),
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

    fn newer_table(&self, version: u64) -> Option<Arc<RoutingTable>> {
        self.table.clone().filter(|t| version < t.version)
    }

    /// By what another box finds out what this one misses.
    pub fn digests(&self, now: Duration) -> Digests {
        Digests::of(self.fleet.listings(now).iter())
    }

    /// Takes over a configuration, unless it is no newer than the one in force.
    pub fn configure(&mut self, table: Arc<RoutingTable>, now: Duration) {
        if table.version <= self.version() {
            return;
        }
        self.changes.push(Change::Configured(table.version));
        self.table = Some(table);
        let known: Vec<UpstreamListing> = self.fleet.listed().cloned().collect();
        for listed in known {
            let limits = self.engine_limits(&listed);
            let is_new = limits.is_some() && !self.fleet.is_engine(&listed.name);
            let (name, cold_for) = (listed.name.clone(), listed.cold_for);
            self.fleet.upsert(listed, limits);
            if is_new {
                self.fleet.mark_cold(&name, cold_for, now);
            }
        }
    }

    /// Takes over the store's whole list of upstreams.
    pub fn set_upstreams(&mut self, all: Vec<UpstreamListing>, now: Duration) {
        let names: FxHashSet<&UpstreamName> = all.iter().map(|l| &l.name).collect();
        let absent: Vec<UpstreamName> = self
            .fleet
            .listed()
            .filter(|known| !names.contains(&known.name))
            .map(|known| known.name.clone())
            .collect();
        for listed in all {
            let is_gone = self.dropped.contains_key(&listed.name) && !self.is_newer_start(&listed);
            if is_gone && now < self.returns_until {
                self.returned.insert(listed.name.clone(), (listed, now + RETURN_GRACE));
            } else {
                self.set_upstream(listed, now);
            }
        }
        for name in absent {
            self.entry_removed(&name, now);
        }
        self.mark_listed();
    }

    /// Notes that all upstreams are known.
    fn mark_listed(&mut self) {
        if self.listed_once {
            return;
        }
        self.listed_once = true;
        self.changes.retain(|change| !matches!(change, Change::Upstream(_)));
        self.changes.push(Change::Listed(self.fleet.listed().count()));
    }

    /// Takes over one upstream.
    pub fn set_upstream(&mut self, mut listed: UpstreamListing, now: Duration) {
        if self.is_older_start(&listed) {
            return;
        }
        let is_restarted = self.is_newer_start(&listed);
        self.missing.remove(&listed.name);
        self.dropped.remove(&listed.name);
        self.returned.remove(&listed.name);
        self.unreadable.remove(&listed.name);
        let has_drained = self.draining.get(&listed.name).is_some();
        let drains = self.draining.is_draining(&listed.name, listed.started_at_ms, now);
        let is_other_start = is_restarted || has_drained && !drains;
        if drains {
            if !listed.leaving {
                self.reopen_later(&listed);
            }
            listed.leaving = true;
        }
        let was_said_gone = self.said_gone.remove(&listed.name).is_some();
        if let Some(known) = self.fleet.get(&listed.name) {
            // No start of an upstream returns from leaving; a store that came back from a copy may say so.
            if known.leaving && !listed.leaving && !is_other_start && !was_said_gone {
                return;
            }
            if is_restarted {
                self.restart(&listed);
            }
        }
        let is_known =
            self.fleet.get(&listed.name).is_some_and(|known| known.eq_ignoring_cold_for(&listed));
        let is_colder = self.fleet.mark_cold(&listed.name, listed.cold_for, now);
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
        self.fleet.upsert(listed, limits);
        self.fleet.mark_cold(&name, cold_for, now);
    }

    /// The start of an upstream that this box knows or knew.
    fn started_at_ms(&self, name: &UpstreamName) -> Option<u64> {
        let dropped = || self.dropped.get(name)?.started_at_ms;
        self.fleet.get(name).map_or_else(dropped, |known| known.started_at_ms)
    }

    /// Whether this is an earlier start of an upstream than the one that is known. By the clock of its machine: where
    /// that was set back before it started, it is believed once it says a later time or its entry was gone for as long
    /// as that is remembered.
    fn is_older_start(&self, listed: &UpstreamListing) -> bool {
        self.started_at_ms(&listed.name)
            .zip(listed.started_at_ms)
            .is_some_and(|(known, new)| new < known)
    }

    fn is_newer_start(&self, listed: &UpstreamListing) -> bool {
        self.started_at_ms(&listed.name)
            .zip(listed.started_at_ms)
            .is_some_and(|(known, new)| known < new)
    }

    /// Forgets what was known of the start before: what it kept, what ran there, how it went.
    fn restart(&mut self, listed: &UpstreamListing) {
        let Some(known) = self.fleet.get(&listed.name) else { return };
        let (addr, started_at_ms) = (known.addr, listed.started_at_ms.unwrap_or_default());
        self.changes.push(Change::Restarted(listed.name.clone(), addr, started_at_ms));
        self.fleet.remove(&listed.name);
        self.fleet.remove_backoff(&listed.name);
    }

    /// An entry is gone. Near trouble with the store it may only have lapsed.
    pub fn entry_removed(&mut self, name: &UpstreamName, now: Duration) {
        self.returned.remove(name);
        self.unreadable.remove(name);
        let may_return = !self.reached || now < self.grace_until;
        // One that was leaving is not missed.
        if may_return && self.fleet.is_open(name) {
            if self.missing.insert(name.clone()) {
                self.changes.push(Change::Missing(name.clone()));
            }
            return;
        }
        self.remove_upstream(name, now);
    }

    /// Whether this box knows that an upstream must get no requests: it leaves or is gone, or its zone
    /// is evacuated. Another box that was cut off may still believe in it.
    pub fn is_barred(&self, name: &UpstreamName) -> bool {
        let is_closed = |l: &UpstreamListing| {
            let zone = &l.zone;
            l.leaving || self.evacuated.zones.contains(zone) || self.held_zones.contains_key(zone)
        };
        // One that isn't listed here may be chosen by a box that hasn't received its notice.
        let is_closed =
            self.fleet.get(name).map_or_else(|| self.draining.get(name).is_some(), is_closed);
        is_closed || self.dropped.contains_key(name)
    }

    /// Applies an upstream's notice that it is draining, read by this box or another one. True if other boxes may not have
    /// it: it is new, and the store doesn't list the same.
    pub fn apply_draining(&mut self, draining: &DrainNotice, now: Duration) -> bool {
        let name = &draining.upstream;
        if !self.draining.add(draining, now) {
            return false;
        }
        if let Some(listed) = self.fleet.get(name).cloned() {
            // A newer incarnation may be listed by now.
            if !self.draining.is_draining(name, listed.started_at_ms, now) {
                return false;
            }
            if listed.leaving {
                return false;
            }
            self.reopen_later(&listed);
            self.fleet.mark_leaving(name);
            // The store's listing will be no change then.
            self.history.note(name, now);
        }
        true
    }

    /// Opens an upstream that drains later, if its listing turns out to be of a newer incarnation.
    fn reopen_later(&mut self, listed: &UpstreamListing) {
        if let Some(due) = self.draining.uncertain_until(&listed.name, listed.started_at_ms) {
            self.returned.insert(listed.name.clone(), (listed.clone(), due));
        }
    }

    /// Upstreams that have said themselves that they are draining.
    pub fn draining(&self) -> &draining::DrainNotices {
        &self.draining
    }

    /// What this box has learned of the engines, or of those of one group, for one that has just started.
    pub fn learned(&self, group: Option<EngineGroup>) -> LearnedReport {
        let draining = self.draining.iter().cloned().collect();
        LearnedReport { draining, ..self.fleet.learned(group) }
    }

    /// Another box, which sees the store, says that an upstream leaves. None ever comes back from
    /// that, so it is believed at once.
    pub fn reported_leaving(&mut self, name: &UpstreamName, now: Duration) {
        if self.fleet.is_open(name) {
            self.fleet.mark_leaving(name);
            // The store's own word will be no news then.
            self.history.note(name, now);
            self.changes.push(Change::ReportedLeaving(name.clone()));
        }
    }

    /// Another box, which sees the store, says that an upstream's entry is gone. It may only have
    /// lapsed, so that is believed only while this box doesn't see the store itself.
    pub fn reported_gone(&mut self, name: &UpstreamName, now: Duration) {
        if !self.reached {
            self.reported_leaving(name, now);
            self.said_gone.insert(name.clone(), now);
        }
    }

    /// Another box, which sees the store, says that an upstream is new or has changed.
    pub fn reported_listed(&mut self, listed: UpstreamListing, now: Duration) {
        let is_leaving = self.fleet.get(&listed.name).is_some_and(|known| known.leaving);
        let is_known = is_leaving || self.dropped.contains_key(&listed.name);
        if !self.reached && (!is_known || self.is_newer_start(&listed)) {
            self.set_upstream(listed, now);
        }
    }

    /// A digest of the upstreams that are in use: boxes that list the same have the same.
    pub fn digest(&self) -> u64 {
        self.fleet.digest()
    }

    /// Takes over what another box knows, while this one doesn't see the store.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot, now: Duration) {
        if let Some(table) = snapshot.table {
            self.configure(table, now);
        }
        if self.reached {
            return;
        }
        // Nothing differs from what was told one by one.
        let is_changes = snapshot.buckets.as_ref().is_some_and(BTreeSet::is_empty);
        let eq_ignoring_cold_for = is_changes && self.fleet.listed().next().is_some();
        let is_useful = !snapshot.upstreams.is_empty() || eq_ignoring_cold_for;
        // What it hasn't heard of yet isn't gone.
        if snapshot.revision < self.revision() {
            return;
        }
        if snapshot.is_complete {
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
                .for_each(|name| self.remove_upstream(name, now));
        }
        // What differs is asked for when all who see the store list it: one that is gone, or was only said to
        // be, had lapsed then.
        let may_return = snapshot.is_complete && !is_changes;
        for listed in snapshot.upstreams {
            let is_gone = self.dropped.contains_key(&listed.name);
            let was_said_gone = self.said_gone.contains_key(&listed.name);
            // An upstream never returns from leaving.
            let is_leaving = self.fleet.get(&listed.name).is_some_and(|known| known.leaving);
            let is_other = self.is_newer_start(&listed);
            let is_believed = !is_leaving && (may_return || !is_gone);
            if is_other || may_return && was_said_gone || is_believed {
                self.set_upstream(listed, now);
            }
        }
        if snapshot.is_complete {
            self.history.complete_up_to(snapshot.revision);
        }
        if is_useful {
            self.mark_listed();
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
        self.dropped.retain(|_, dropped| now < dropped.at + DROPPED_KEPT);
        self.draining.expire(now, |name| self.fleet.get(name).is_some());
        self.tick_restored(now);
        let View { fleet, dropped, history, .. } = self;
        self.said_gone.retain(|name, said| {
            let is_kept = now < *said + SAID_GONE_KEPT;
            if !is_kept {
                let started_at_ms = fleet.get(name).and_then(|known| known.started_at_ms);
                fleet.remove(name);
                history.note(name, now);
                dropped.insert(name.clone(), Dropped { at: now, started_at_ms });
            }
            is_kept
        });
        if !self.reached || now < self.grace_until {
            return;
        }
        for name in std::mem::take(&mut self.missing) {
            self.remove_upstream(&name, now);
        }
    }

    /// Believes what a copy of the store said, once what was written since would have been written again.
    fn tick_restored(&mut self, now: Duration) {
        let is_due = |(_, due): &&(UpstreamListing, Duration)| *due <= now;
        let returned: Vec<UpstreamListing> =
            self.returned.values().filter(is_due).map(|(listed, _)| listed.clone()).collect();
        returned.into_iter().for_each(|listed| self.set_upstream(listed, now));
        let held = self.held_zones.iter().filter(|(_, until)| **until <= now);
        let over: Vec<ZoneName> = held.map(|(zone, _)| zone.clone()).collect();
        over.iter().for_each(|zone| _ = self.held_zones.remove(zone));
        if over.is_empty() {
            return;
        }
        over.iter().for_each(|zone| self.fleet.mark_zone_cold(zone, now));
        self.fleet.set_closed_zones(self.closed());
    }

    fn remove_upstream(&mut self, name: &UpstreamName, now: Duration) {
        self.missing.remove(name);
        self.history.note(name, now);
        let started_at_ms = self.fleet.get(name).and_then(|known| known.started_at_ms);
        self.dropped.insert(name.clone(), Dropped { at: now, started_at_ms });
        self.fleet.remove(name);
        self.changes.push(Change::Gone(name.clone()));
    }

    /// The path at which an upstream says how it is.
    pub fn probe_path(&self, name: &UpstreamName) -> Option<String> {
        let service = &self.fleet.get(name)?.service;
        Some(self.table.as_ref()?.service(service)?.probe_path.clone())
    }

    fn engine_limits(&self, listed: &UpstreamListing) -> Option<EngineLimits> {
        self.table.as_ref()?.service(&listed.service)?.engine
    }
}
