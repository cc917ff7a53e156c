//! What a dispatcher knows of the same pool's dispatchers in other availability zones.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::dispatch::ledger::ReplicaId;
use crate::dispatch::ledger::VirtualTime;
use crate::names::BoxName;
use crate::names::WorkspaceName;
use crate::names::ZoneName;
use crate::peer::message::DispatcherReport;

/// Time without a report after which a zone counts as unreachable, and nothing is pulled from it.
pub const ZONE_TIMEOUT: Duration = Duration::from_secs(5);

/// The other zones of one pool.
#[derive(Debug, Default)]
pub struct RemoteZones {
    zones: BTreeMap<ZoneName, RemoteZone>,
    by_virtual_time: BTreeSet<(VirtualTime, WorkspaceName)>,
    waiting: FxHashMap<WorkspaceName, Waiting>,
}

#[derive(Debug)]
pub struct RemoteZone {
    /// The box believed to be the dispatcher there.
    pub dispatcher: BoxName,
    /// Version of this dispatcher's replica that it has merged.
    pub acknowledged_version: u64,
    pub last_report_at: Duration,
    /// When this dispatcher last sent a report there.
    pub last_sent_at: Option<Duration>,
    /// Version of this dispatcher's replica in that report.
    pub last_sent_version: u64,
    /// Free slots there for which no work waits.
    pub idle_slots: u32,
    /// For the standby of this dispatcher: the versions of other replicas sent to it.
    pub relayed_versions: FxHashMap<ReplicaId, u64>,
    /// Total charge of this dispatcher's replica when the zone last reported.
    pub charged_at_report: VirtualTime,
    /// This dispatcher's idle slots in the report last sent there.
    pub last_sent_idle_slots: u32,
    /// Replica of the dispatcher there, once it has reported.
    pub replica: Option<ReplicaId>,
}

/// The zones where tickets of one workspace wait.
#[derive(Debug, Default)]
struct Waiting {
    virtual_time: VirtualTime,
    zones: BTreeMap<ZoneName, u32>,
}

impl RemoteZones {
    pub fn get_mut(&mut self, zone: &ZoneName) -> Option<&mut RemoteZone> {
        self.zones.get_mut(zone)
    }

    /// The state of a zone; a new one starts with `dispatcher`, so that reports can be sent to it.
    pub fn get_or_add(&mut self, zone: &ZoneName, dispatcher: &BoxName) -> &mut RemoteZone {
        self.zones.entry(zone.clone()).or_insert_with(|| RemoteZone {
            dispatcher: dispatcher.clone(),
            acknowledged_version: 0,
            last_report_at: Duration::ZERO,
            last_sent_at: None,
            last_sent_version: 0,
            idle_slots: 0,
            relayed_versions: FxHashMap::default(),
            charged_at_report: 0,
            last_sent_idle_slots: 0,
            replica: None,
        })
    }

    /// Records the sender of a report and what it acknowledges. `charged` is the total charge of
    /// this dispatcher's replica.
    pub fn record_report(
        &mut self,
        report: &DispatcherReport,
        charged: VirtualTime,
        now: Duration,
    ) {
        let zone = self.get_or_add(&report.zone, &report.dispatcher);
        zone.dispatcher = report.dispatcher.clone();
        zone.last_report_at = now;
        zone.idle_slots = report.idle_slots;
        zone.acknowledged_version = report.merged_version;
        zone.charged_at_report = charged;
        if zone.replica.as_ref() != Some(&report.replica) {
            zone.replica = Some(report.replica.clone());
            // A new dispatcher there needs a full report soon.
            zone.last_sent_at = None;
            self.forget_waiting(&report.zone);
        }
    }

    /// Records how many tickets of a workspace wait in a zone. A zone that isn't known yet is
    /// ignored, since its dispatcher isn't known either.
    pub fn set_waiting(
        &mut self,
        zone: &ZoneName,
        workspace: &WorkspaceName,
        count: u32,
        virtual_time: VirtualTime,
    ) {
        if !self.zones.contains_key(zone) {
            return;
        }
        let waiting = self.waiting.entry(workspace.clone()).or_default();
        self.by_virtual_time.remove(&(waiting.virtual_time, workspace.clone()));
        if count == 0 {
            waiting.zones.remove(zone);
        } else {
            waiting.zones.insert(zone.clone(), count);
        }
        if waiting.zones.is_empty() {
            self.waiting.remove(workspace);
            return;
        }
        waiting.virtual_time = virtual_time;
        self.by_virtual_time.insert((virtual_time, workspace.clone()));
    }

    /// Updates the virtual time of a workspace, if any of its tickets wait elsewhere.
    pub fn set_virtual_time(&mut self, workspace: &WorkspaceName, virtual_time: VirtualTime) {
        if let Some(waiting) = self.waiting.get_mut(workspace) {
            self.by_virtual_time.remove(&(waiting.virtual_time, workspace.clone()));
            waiting.virtual_time = virtual_time;
            self.by_virtual_time.insert((virtual_time, workspace.clone()));
        }
    }

    /// The workspace with the smallest virtual time among those that wait elsewhere.
    pub fn furthest_behind(&self) -> Option<(VirtualTime, &WorkspaceName)> {
        self.by_virtual_time.first().map(|(virtual_time, w)| (*virtual_time, w))
    }

    /// The workspace with the greatest virtual time among those that wait elsewhere.
    pub fn furthest_ahead(&self) -> Option<(VirtualTime, &WorkspaceName)> {
        self.by_virtual_time.last().map(|(virtual_time, w)| (*virtual_time, w))
    }

    /// The zones where tickets of a workspace wait.
    pub fn zones_of(&self, workspace: &str) -> impl Iterator<Item = &ZoneName> {
        self.waiting.get(workspace).into_iter().flat_map(|w| w.zones.keys())
    }

    /// An upper bound on the growth of a workspace's virtual time since the zones where it waits
    /// last reported: as if they had served it alone, at the rate at which this dispatcher serves
    /// all. `charged` is the total charge of this dispatcher's replica.
    pub fn staleness(&self, workspace: &str, charged: VirtualTime) -> VirtualTime {
        let zones = self.zones_of(workspace).filter_map(|z| self.zones.get(z));
        zones.map(|z| charged - z.charged_at_report).max().unwrap_or(0)
    }

    /// Forgets the waiting tickets of a zone that didn't answer a pull.
    pub fn record_pull_timeout(&mut self, zone: &ZoneName) {
        self.forget_waiting(zone);
    }

    /// Counts one ticket of a workspace as pulled. Returns the zone where most of its tickets wait,
    /// and the dispatcher there.
    pub fn take_pull_target(&mut self, workspace: &WorkspaceName) -> Option<(ZoneName, BoxName)> {
        let waiting = self.waiting.get(workspace)?;
        let (zone, count) = waiting.zones.iter().max_by_key(|(_, n)| **n)?;
        let (zone, left) = (zone.clone(), count - 1);
        let virtual_time = waiting.virtual_time;
        let dispatcher = self.zones.get(&zone)?.dispatcher.clone();
        self.set_waiting(&zone, workspace, left, virtual_time);
        Some((zone, dispatcher))
    }

    /// Forgets the waiting tickets and idle slots of zones that have stopped reporting.
    pub fn expire(&mut self, now: Duration) {
        let expired: Vec<ZoneName> = self
            .zones
            .iter()
            .filter(|(_, r)| r.last_report_at + ZONE_TIMEOUT <= now)
            .map(|(z, _)| z.clone())
            .collect();
        for zone in &expired {
            self.forget_waiting(zone);
            self.zones.get_mut(zone).expect("just listed").idle_slots = 0;
        }
    }

    fn forget_waiting(&mut self, zone: &ZoneName) {
        let listed: Vec<(WorkspaceName, VirtualTime)> = self
            .waiting
            .iter()
            .filter(|(_, w)| w.zones.contains_key(zone))
            .map(|(name, w)| (name.clone(), w.virtual_time))
            .collect();
        for (workspace, virtual_time) in listed {
            self.set_waiting(zone, &workspace, 0, virtual_time);
        }
    }
}
