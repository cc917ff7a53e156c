//! All upstreams that this box knows.

mod backoff;
mod cold;
mod index;
pub mod learned;
mod plain;
mod reachability;
mod selection;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::owners::EngineGroup;
use crate::fleet::rollout::VersionFilter;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::VersionName;
use crate::names::ZoneName;
use crate::placement::backoff::Backoff;
use crate::placement::choice::SelectionCriteria;
use crate::placement::engine::Engine;
use crate::placement::engine::Placement;
use crate::placement::registry::index::Index;
use crate::placement::speed::Speed;
use crate::placement::tuning::Tuning;
use crate::placement::upstream::Health;
use crate::placement::upstream::Upstream;
use crate::proxy::adapter::UpstreamListing;
use crate::proxy::routing_table::EngineLimits;

/// All upstreams that this box knows.
#[derive(Debug)]
pub struct UpstreamRegistry {
    zone: ZoneName,
    tuning: Tuning,
    /// How fast engines read, where some have told.
    speeds: BTreeMap<ServiceName, Speed>,
    /// The same where none has.
    speed_unknown: Speed,
    upstreams: BTreeMap<UpstreamName, Upstream>,
    /// The same by what is asked for.
    index: Index,
    /// Those where something has been placed and may still be there.
    busy: BTreeSet<UpstreamName>,
    /// Those that may not be reachable.
    unverified: BTreeSet<UpstreamName>,
    /// Those that have asked this box to back off, whether they are listed or not.
    backoffs: BTreeMap<UpstreamName, Backoff>,
    /// Upstreams that choices have looked at so far.
    examined: Cell<u64>,
    /// Zones whose upstreams get nothing.
    closed: BTreeSet<ZoneName>,
    /// Versions that are rolled out.
    targets: BTreeMap<ServiceName, VersionName>,
}

impl UpstreamRegistry {
    /// Nothing is known yet.
    pub fn new(zone: ZoneName, tuning: Tuning) -> UpstreamRegistry {
        UpstreamRegistry {
            zone,
            tuning,
            speeds: BTreeMap::new(),
            speed_unknown: Speed::new(&tuning),
            upstreams: BTreeMap::new(),
            index: Index::default(),
            busy: BTreeSet::new(),
            unverified: BTreeSet::new(),
            backoffs: BTreeMap::new(),
            examined: Cell::new(0),
            closed: BTreeSet::new(),
            targets: BTreeMap::new(),
        }
    }

    /// Takes over an upstream that is new or has changed. `limits` where it is an engine.
    pub fn upsert(&mut self, listed: UpstreamListing, limits: Option<EngineLimits>) {
        if let Some(known) = self.upstreams.get_mut(&listed.name) {
            self.index.remove(known);
            known.listed = listed;
            if known.engine.is_none() {
                known.engine = limits.map(Engine::new);
            }
            self.index.add(known);
            return;
        }
        let engine = limits.map(Engine::new);
        let upstream = Upstream::new(listed, engine);
        self.index.add(&upstream);
        self.upstreams.insert(upstream.listed.name.clone(), upstream);
    }

    /// The upstreams of these zones get nothing from now on, and those of all others may.
    pub fn set_closed_zones(&mut self, zones: BTreeSet<ZoneName>) {
        self.closed = zones;
    }

    /// These versions are rolled out from now on, and no others.
    pub fn set_rollout_targets(&mut self, targets: BTreeMap<ServiceName, VersionName>) {
        self.targets = targets;
    }

    /// On which side of its service's roll-out an upstream of this version is.
    pub fn side_of(&self, service: &str, version: &VersionName) -> VersionFilter {
        match self.targets.get(service) {
            None => VersionFilter::Any,
            Some(target) if target == version => VersionFilter::Target,
            Some(_) => VersionFilter::Others,
        }
    }

    fn is_on(&self, side: VersionFilter, upstream: &Upstream) -> bool {
        let listed = &upstream.listed;
        // Most of the time nothing is rolled out.
        side == VersionFilter::Any
            || matches!(self.side_of(&listed.service, &listed.version), VersionFilter::Any)
            || self.side_of(&listed.service, &listed.version) == side
    }

    /// Whether an upstream may get a request of a side. Of one that isn't listed nothing is known.
    pub fn allows_side(&self, name: &UpstreamName, side: VersionFilter) -> bool {
        self.upstreams.get(name).is_none_or(|u| self.is_on(side, u))
    }

    /// Slots of the open upstreams of a service of a version, and of its others.
    pub fn slots_by_version(&self, service: &str, version: &str) -> (u64, u64) {
        let open = self.upstreams.values().filter(|u| &*u.listed.service == service);
        open.filter(|u| self.takes(u)).fold((0, 0), |(is, other), u| {
            let slots = u64::from(u.listed.slots);
            if &*u.listed.version == version { (is + slots, other) } else { (is, other + slots) }
        })
    }

    /// Requests of this box at a service's upstreams of other versions than this one.
    pub fn outstanding_on_other_versions(&self, service: &str, version: &str) -> u32 {
        let of_service = self.upstreams.values().filter(|u| &*u.listed.service == service);
        of_service.filter(|u| &*u.listed.version != version).map(Upstream::outstanding).sum()
    }

    /// All upstreams, as they are to be told to another box.
    pub fn listings(&self, now: Duration) -> Vec<UpstreamListing> {
        self.upstreams.values().map(|u| u.told(now)).collect()
    }

    /// An upstream, as it is to be told to another box.
    pub fn listing(&self, name: &UpstreamName, now: Duration) -> Option<UpstreamListing> {
        self.upstreams.get(name).map(|u| u.told(now))
    }

    /// Forgets an upstream.
    pub fn remove(&mut self, name: &UpstreamName) {
        if let Some(upstream) = self.upstreams.remove(name) {
            self.index.remove(&upstream);
        }
        self.busy.remove(name);
        self.unverified.remove(name);
    }

    /// Marks an upstream as leaving.
    pub fn mark_leaving(&mut self, name: &UpstreamName) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            self.index.remove(upstream);
            upstream.listed.leaving = true;
            self.index.add(upstream);
        }
    }

    /// All upstreams, as listed.
    pub fn listed(&self) -> impl Iterator<Item = &UpstreamListing> {
        self.upstreams.values().map(|u| &u.listed)
    }

    /// An upstream, as listed.
    pub fn get(&self, name: &UpstreamName) -> Option<&UpstreamListing> {
        self.upstreams.get(name).map(|u| &u.listed)
    }

    /// Whether an upstream is a model's engine.
    pub fn is_engine(&self, name: &UpstreamName) -> bool {
        self.upstreams.get(name).is_some_and(|u| u.engine.is_some())
    }

    /// Whether an upstream is known and not leaving.
    pub fn is_open(&self, name: &UpstreamName) -> bool {
        self.get(name).is_some_and(|l| !l.leaving)
    }

    /// Notes a request that another box sends to an upstream, or this one if no `sender` is given.
    pub fn place(&mut self, name: &UpstreamName, placement: Placement<'_>, now: Duration) {
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        self.busy.insert(name.clone());
        let Some(engine) = &mut upstream.engine else {
            let Placement { request, sender, .. } = placement;
            upstream.plain.begin(request, sender, upstream.listed.slots, now);
            return;
        };
        let speed = self.speeds.get(&upstream.listed.service).unwrap_or(&self.speed_unknown);
        engine.place(placement, speed, self.tuning, now);
    }

    /// Notes the first token of a request, which came `took` after it was sent: nothing where that
    /// was when it was noted.
    pub fn record_first_token(
        &mut self,
        name: &UpstreamName,
        request: u64,
        took: Option<Duration>,
        now: Duration,
    ) {
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        let Some(engine) = &mut upstream.engine else {
            took.into_iter().for_each(|took| upstream.plain.answered(request, took));
            return;
        };
        if !self.speeds.contains_key(&upstream.listed.service) {
            self.speeds.insert(upstream.listed.service.clone(), self.speed_unknown.clone());
        }
        let Some(speed) = self.speeds.get_mut(&upstream.listed.service) else { return };
        engine.first(request, took, speed, now);
    }

    /// How choices are weighed.
    pub fn tuning(&self) -> Tuning {
        self.tuning
    }

    /// How fast the engines of a service read.
    pub fn speed(&self, service: &str) -> &Speed {
        self.speeds.get(service).unwrap_or(&self.speed_unknown)
    }

    /// Notes the end of a request.
    pub fn remove_request(&mut self, name: &UpstreamName, request: u64) {
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        match &mut upstream.engine {
            Some(engine) => engine.end(request),
            None => upstream.plain.end(request),
        }
    }

    /// Forgets a request that isn't sent, wherever it was placed.
    pub fn withdraw(&mut self, request: u64, now: Duration) {
        for name in &self.busy {
            let Some(upstream) = self.upstreams.get_mut(name) else { continue };
            match &mut upstream.engine {
                Some(engine) => {
                    let speed = self.speeds.get(&upstream.listed.service);
                    let speed = speed.unwrap_or(&self.speed_unknown);
                    engine.withdraw(request, speed, self.tuning, now);
                }
                None => upstream.plain.end(request),
            }
        }
    }

    /// Forgets the requests of a box that is gone.
    pub fn remove_sender(&mut self, sender: IpAddr) {
        for name in &self.busy {
            let Some(upstream) = self.upstreams.get_mut(name) else { continue };
            upstream.plain.remove_sender(sender);
            upstream.engine.iter_mut().for_each(|engine| engine.remove_sender(sender));
        }
    }

    /// All engines.
    pub fn engines(&self) -> impl Iterator<Item = &UpstreamListing> {
        self.upstreams.values().filter(|u| u.engine.is_some()).map(|u| &u.listed)
    }

    /// The engines of a group.
    pub fn engines_in_group(&self, group: EngineGroup) -> impl Iterator<Item = &UpstreamListing> {
        let of_group = self.index.of_group(group).filter_map(|name| self.upstreams.get(name));
        of_group.filter(|u| u.engine.is_some()).map(|u| &u.listed)
    }

    /// Counts a request of this box in.
    pub fn request_sent(&mut self, name: &UpstreamName) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.sent();
        }
    }

    /// Counts a request of this box out, and notes how it went.
    pub fn request_ended(&mut self, name: &UpstreamName, health: Option<Health>, now: Duration) {
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        upstream.ended();
        if let Some(health) = health {
            upstream.note(health, now);
        }
    }

    /// Notes how a request of this box goes.
    pub fn record_health(&mut self, name: &UpstreamName, health: Health, now: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.note(health, now);
        }
    }

    /// Forgets what is too old to be true.
    pub fn tick(&mut self, now: Duration) {
        self.tick_backoffs(now);
        let upstreams = &mut self.upstreams;
        self.busy.retain(|name| {
            let Some(upstream) = upstreams.get_mut(name) else { return false };
            upstream.plain.tick(now);
            upstream.engine.iter_mut().for_each(|engine| engine.tick(now));
            upstream.is_busy()
        });
    }

    /// Whether an upstream gets new requests, as far as it and its zone go.
    fn takes(&self, upstream: &Upstream) -> bool {
        !upstream.listed.leaving && !self.closed.contains(&upstream.listed.zone)
    }

    /// Upstreams that choices have looked at so far: what they cost.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    fn look_at(&self, name: &UpstreamName) -> Option<&Upstream> {
        self.examined.set(self.examined.get() + 1);
        self.upstreams.get(name)
    }

    /// How many engines there are.
    pub fn engine_count(&self) -> usize {
        self.index.engines()
    }

    /// A digest of the upstreams that are in use: boxes that list the same have the same.
    pub fn digest(&self) -> u64 {
        self.index.digest()
    }

    /// Whether any upstream listens at an address.
    pub fn has_addr(&self, addr: &SocketAddr) -> bool {
        self.index.has_addr(addr)
    }

    fn engine(&mut self, name: &UpstreamName) -> Option<&mut Engine> {
        self.upstreams.get_mut(name)?.engine.as_mut()
    }

    /// Upstreams of a service that may get work; those that rest only if there are no others.
    fn usable(&self, criteria: SelectionCriteria<'_>, now: Duration) -> Vec<&Upstream> {
        let open: Vec<&Upstream> = self
            .index
            .of(criteria.service, criteria.group)
            .filter_map(|name| self.look_at(name))
            .filter(|u| self.takes(u))
            .filter(|u| self.is_on(criteria.side, u))
            .filter(|u| !criteria.excluded.contains(&u.listed.name))
            .collect();
        let awake: Vec<&Upstream> = open.iter().copied().filter(|u| u.is_awake(now)).collect();
        if awake.is_empty() { open } else { awake }
    }
}
