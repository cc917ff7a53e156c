//! What a dispatcher knows of the dispatchers of the same pool in other availability zones.

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

/// Silence after which a zone counts as cut off, and nothing is pulled from it.
pub const CUT_AFTER: Duration = Duration::from_secs(5);

/// The other zones of one pool.
#[derive(Debug, Default)]
pub struct Remotes {
    zones: BTreeMap<ZoneName, Remote>,
    order: BTreeSet<(VirtualTime, WorkspaceName)>,
    waiting: FxHashMap<WorkspaceName, Waiting>,
}

/// One other zone.
#[derive(Debug)]
pub struct Remote {
    /// Who dispatches there, as far as known.
    pub dispatcher: BoxName,
    /// Version of the own cell that it has merged.
    pub acknowledged: u64,
    /// When it was last heard.
    pub heard: Duration,
    /// When it was last told something.
    pub told: Option<Duration>,
    /// The version of the own cell it was last told.
    pub told_version: u64,
    /// Free slots there that have no work.
    pub idle_slots: u32,
    /// For the box that would follow this one: the versions of other cells it was told.
    pub relayed: FxHashMap<ReplicaId, u64>,
    /// All that the own cell had charged when it was last heard.
    pub charged_when_heard: VirtualTime,
    /// The idle slots it was last told of.
    pub told_idle: u32,
    /// The dispatcher's own cell, once it was heard.
    pub replica: Option<ReplicaId>,
}

/// Where tickets of one workspace wait.
#[derive(Debug, Default)]
struct Waiting {
    at: VirtualTime,
    zones: BTreeMap<ZoneName, u32>,
}

impl Remotes {
    /// What is known of a zone.
    pub fn zone(&mut self, zone: &ZoneName) -> Option<&mut Remote> {
        self.zones.get_mut(zone)
    }

    /// Notes a zone's dispatcher that was never heard, so that it can be told things.
    pub fn meet(&mut self, zone: &ZoneName, dispatcher: &BoxName) -> &mut Remote {
        self.zones.entry(zone.clone()).or_insert_with(|| Remote {
            dispatcher: dispatcher.clone(),
            acknowledged: 0,
            heard: Duration::ZERO,
            told: None,
            told_version: 0,
            idle_slots: 0,
            relayed: FxHashMap::default(),
            charged_when_heard: 0,
            told_idle: 0,
            replica: None,
        })
    }

    /// Takes in who sent a summary and what it acknowledges.
    pub fn heard(&mut self, summary: &DispatcherReport, charged: VirtualTime, now: Duration) {
        let zone = self.meet(&summary.zone, &summary.dispatcher);
        zone.dispatcher = summary.dispatcher.clone();
        zone.heard = now;
        zone.idle_slots = summary.idle_slots;
        zone.acknowledged = summary.merged_version;
        zone.charged_when_heard = charged;
        if zone.replica.as_ref() != Some(&summary.replica) {
            zone.replica = Some(summary.replica.clone());
            // It is new there, and wants to know everything soon.
            zone.told = None;
            self.forget_waiting(&summary.zone);
        }
    }

    /// Notes how many tickets of a workspace, which stands at `at`, wait in a zone. A zone that
    /// wasn't heard yet is left out: it isn't known whom to ask there.
    pub fn set_waiting(
        &mut self,
        zone: &ZoneName,
        workspace: &WorkspaceName,
        count: u32,
        at: VirtualTime,
    ) {
        if !self.zones.contains_key(zone) {
            return;
        }
        let waiting = self.waiting.entry(workspace.clone()).or_default();
        self.order.remove(&(waiting.at, workspace.clone()));
        if count == 0 {
            waiting.zones.remove(zone);
        } else {
            waiting.zones.insert(zone.clone(), count);
        }
        if waiting.zones.is_empty() {
            self.waiting.remove(workspace);
            return;
        }
        waiting.at = at;
        self.order.insert((at, workspace.clone()));
    }

    /// Tells that a workspace's virtual time is now `at`.
    pub fn moved(&mut self, workspace: &WorkspaceName, at: VirtualTime) {
        if let Some(waiting) = self.waiting.get_mut(workspace) {
            self.order.remove(&(waiting.at, workspace.clone()));
            waiting.at = at;
            self.order.insert((at, workspace.clone()));
        }
    }

    /// The workspace furthest behind of those that wait elsewhere.
    pub fn first(&self) -> Option<(VirtualTime, &WorkspaceName)> {
        self.order.first().map(|(at, w)| (*at, w))
    }

    /// The workspace furthest ahead of those that wait elsewhere.
    pub fn last(&self) -> Option<(VirtualTime, &WorkspaceName)> {
        self.order.last().map(|(at, w)| (*at, w))
    }

    /// The zones where a workspace waits.
    pub fn zones_of(&self, workspace: &str) -> impl Iterator<Item = &ZoneName> {
        self.waiting.get(workspace).into_iter().flat_map(|w| w.zones.keys())
    }

    /// How far the virtual time of a workspace that waits elsewhere may have grown since its zones
    /// were heard: as far as if they had served it alone, as fast as this one serves all.
    pub fn staleness(&self, workspace: &str, charged: VirtualTime) -> VirtualTime {
        let zones = self.zones_of(workspace).filter_map(|z| self.zones.get(z));
        zones.map(|z| charged - z.charged_when_heard).max().unwrap_or(0)
    }

    /// Drops what is known to wait in a zone that doesn't answer.
    pub fn unanswered(&mut self, zone: &ZoneName) {
        self.forget_waiting(zone);
    }

    /// Counts one ticket of a workspace as pulled, from the zone where most of its tickets wait.
    pub fn pull(&mut self, workspace: &WorkspaceName) -> Option<(ZoneName, BoxName)> {
        let waiting = self.waiting.get(workspace)?;
        let (zone, count) = waiting.zones.iter().max_by_key(|(_, n)| **n)?;
        let (zone, left) = (zone.clone(), count - 1);
        let at = waiting.at;
        let dispatcher = self.zones.get(&zone)?.dispatcher.clone();
        self.set_waiting(&zone, workspace, left, at);
        Some((zone, dispatcher))
    }

    /// Drops what waits in zones that are cut off. Gives the zones that were dropped.
    pub fn tick(&mut self, now: Duration) {
        let cut: Vec<ZoneName> = self
            .zones
            .iter()
            .filter(|(_, r)| r.heard + CUT_AFTER <= now)
            .map(|(z, _)| z.clone())
            .collect();
        for zone in &cut {
            self.forget_waiting(zone);
            self.zones.get_mut(zone).expect("just listed").idle_slots = 0;
        }
    }

    fn forget_waiting(&mut self, zone: &ZoneName) {
        let listed: Vec<(WorkspaceName, VirtualTime)> = self
            .waiting
            .iter()
            .filter(|(_, w)| w.zones.contains_key(zone))
            .map(|(name, w)| (name.clone(), w.at))
            .collect();
        for (workspace, at) in listed {
            self.set_waiting(zone, &workspace, 0, at);
        }
    }
}
