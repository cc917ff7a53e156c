//! All upstreams known to this box.

mod backoff;
mod cold;
mod headroom;
pub mod in_progress;
mod index;
pub mod learned;
pub mod own_speed;
mod plain;
mod probe;
mod queueing;
mod reachability;
pub mod rivals;
mod selection;
mod senders;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::fleet::in_progress::LEASE;
use crate::fleet::owners::EngineGroup;
use crate::fleet::rollout::VersionFilter;
use crate::fleet::stream_versions::VersionId;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::VersionName;
use crate::names::ZoneName;
use crate::placement::backoff::Backoff;
use crate::placement::choice::SelectionCriteria;
use crate::placement::engine::Engine;
use crate::placement::engine::Placement;
use crate::placement::registry::in_progress::EarlyEvent;
use crate::placement::registry::index::Index;
use crate::placement::registry::rivals::Rival;
use crate::placement::registry::senders::SenderIndex;
use crate::placement::speed::Speed;
use crate::placement::tuning::Tuning;
use crate::placement::upstream::Health;
use crate::placement::upstream::Upstream;
use crate::proxy::adapter::UpstreamListing;
use crate::proxy::routing_table::EngineLimits;

/// Limit on the engines remembered for a log line each.
const SLOW_CHANGES_MAX: usize = 64;

/// Records expire several times a second. A longer pause shows that this box was stalled, and
/// could not receive the reports that renew them.
const STALL_MIN: Duration = Duration::from_millis(1250);

/// All upstreams known to this box.
#[derive(Debug)]
pub struct UpstreamRegistry {
    zone: ZoneName,
    tuning: Tuning,
    /// Estimated engine speed by service, where first tokens have been measured.
    speeds: BTreeMap<ServiceName, Speed>,
    /// The estimate for all other services.
    default_speed: Speed,
    upstreams: BTreeMap<UpstreamName, Upstream>,
    /// The same upstreams by lookup key.
    index: Index,
    /// Upstreams that may have unfinished requests placed on them.
    busy: BTreeSet<UpstreamName>,
    /// Engines whose owners announce free capacity, by service.
    announcing: BTreeMap<ServiceName, usize>,
    /// Requests recorded at upstreams, by the box that sends them.
    senders: SenderIndex,
    /// What is known of requests before their records arrive.
    early: FxHashMap<u64, (Duration, EarlyEvent)>,
    /// Boxes that also place requests on upstreams of this box.
    rivals: Vec<Rival>,
    /// Upstreams that may be unreachable.
    unverified: BTreeSet<UpstreamName>,
    /// Upstreams that have requested a backoff from this box, whether listed or not.
    backoffs: BTreeMap<UpstreamName, Backoff>,
    /// Upstreams examined by selections so far.
    examined: Cell<u64>,
    /// Engines that have become slow, or normal again, since this was last read.
    slow_changes: BTreeSet<UpstreamName>,
    /// When records of requests were last expired, and until when none are because of a stall.
    expired_at: Option<Duration>,
    keep_until: Duration,
    /// Zones whose upstreams get no requests.
    closed_zones: BTreeSet<ZoneName>,
    /// Versions being rolled out, by service.
    rollout_targets: BTreeMap<ServiceName, VersionName>,
}

impl UpstreamRegistry {
    pub fn new(zone: ZoneName, tuning: Tuning) -> UpstreamRegistry {
        UpstreamRegistry {
            zone,
            tuning,
            speeds: BTreeMap::new(),
            default_speed: Speed::new(&tuning),
            upstreams: BTreeMap::new(),
            index: Index::default(),
            busy: BTreeSet::new(),
            announcing: BTreeMap::new(),
            senders: SenderIndex::default(),
            early: FxHashMap::default(),
            rivals: Vec::new(),
            unverified: BTreeSet::new(),
            backoffs: BTreeMap::new(),
            examined: Cell::new(0),
            slow_changes: BTreeSet::new(),
            expired_at: None,
            keep_until: Duration::ZERO,
            closed_zones: BTreeSet::new(),
            rollout_targets: BTreeMap::new(),
        }
    }

    /// Adds or updates an upstream. `limits` is set for engines.
    pub fn upsert(&mut self, listed: UpstreamListing, limits: Option<EngineLimits>) {
        let tuning = self.tuning;
        if let Some(known) = self.upstreams.get_mut(&listed.name) {
            self.index.remove(known);
            headroom::count(&mut self.announcing, known, tuning, false);
            let is_other = known.listed.version != listed.version
                || known.listed.started_at_ms != listed.started_at_ms;
            known.listed = listed;
            if known.engine.is_none() {
                known.engine = limits.map(|limits| new_engine(limits, tuning));
            } else if is_other && let Some(engine) = &mut known.engine {
                engine.reset_own_speed();
            }
            self.index.add(known);
            headroom::count(&mut self.announcing, known, tuning, true);
            return;
        }
        let engine = limits.map(|limits| new_engine(limits, tuning));
        let upstream = Upstream::new(listed, engine);
        self.index.add(&upstream);
        headroom::count(&mut self.announcing, &upstream, tuning, true);
        self.upstreams.insert(upstream.listed.name.clone(), upstream);
    }

    /// Replaces the set of zones whose upstreams get no requests.
    pub fn set_closed_zones(&mut self, zones: BTreeSet<ZoneName>) {
        self.closed_zones = zones;
    }

    /// Replaces the versions being rolled out.
    pub fn set_rollout_targets(&mut self, rollout_targets: BTreeMap<ServiceName, VersionName>) {
        self.rollout_targets = rollout_targets;
    }

    /// The filter that selects upstreams of this version while the service is being rolled out.
    pub fn version_filter_for(&self, service: &str, version: &VersionName) -> VersionFilter {
        match self.rollout_targets.get(service) {
            None => VersionFilter::Any,
            Some(target) if target == version => VersionFilter::Target,
            Some(_) => VersionFilter::Others,
        }
    }

    fn matches_version_filter(&self, version_filter: VersionFilter, upstream: &Upstream) -> bool {
        let listed = &upstream.listed;
        if let VersionFilter::Only(version) = version_filter {
            return VersionId::new(&listed.service, &listed.version) == version;
        }
        // The usual case comes first: nothing is being rolled out.
        version_filter == VersionFilter::Any
            || matches!(
                self.version_filter_for(&listed.service, &listed.version),
                VersionFilter::Any
            )
            || self.version_filter_for(&listed.service, &listed.version) == version_filter
    }

    /// Whether an upstream may get a request with this filter. An upstream that is not listed may,
    /// unless its version matters.
    pub fn allows_version_filter(
        &self,
        name: &UpstreamName,
        version_filter: VersionFilter,
    ) -> bool {
        let Some(upstream) = self.upstreams.get(name) else {
            return !matches!(version_filter, VersionFilter::Only(_));
        };
        self.matches_version_filter(version_filter, upstream)
    }

    /// The versions of a service's upstreams, including those that are leaving.
    pub fn versions(&self, service: &str) -> impl Iterator<Item = &VersionName> {
        self.index.versions(service)
    }

    /// The versions of all services' upstreams, including those that are leaving.
    pub fn all_versions(&self) -> impl Iterator<Item = (&ServiceName, &VersionName)> {
        self.index.all_versions()
    }

    /// The upstreams of a service that have another version than this one.
    pub fn of_other_versions(
        &self,
        service: &str,
        group: Option<EngineGroup>,
        version: VersionId,
    ) -> impl Iterator<Item = &UpstreamName> {
        self.index
            .of_service(service, group)
            .filter(move |name| !self.allows_version_filter(name, VersionFilter::Only(version)))
    }

    /// Whether a service has an upstream of this version that accepts requests.
    pub fn accepts_version(&self, service: &str, version: VersionId) -> bool {
        let of_service = self.index.of_service(service, None);
        of_service.filter_map(|name| self.upstreams.get(name)).any(|u| {
            self.is_accepting(u) && self.matches_version_filter(VersionFilter::Only(version), u)
        })
    }

    /// Slots of a service's upstreams that accept requests: those of this version, and those of all
    /// others.
    pub fn slots_by_version(&self, service: &str, version: &str) -> (u64, u64) {
        let of_service = self.upstreams.values().filter(|u| &*u.listed.service == service);
        of_service.filter(|u| self.is_accepting(u)).fold((0, 0), |(of_version, others), u| {
            let slots = u64::from(u.listed.slots);
            if &*u.listed.version == version {
                (of_version + slots, others)
            } else {
                (of_version, others + slots)
            }
        })
    }

    /// Requests of this box at a service's upstreams of any other version.
    pub fn outstanding_on_other_versions(&self, service: &str, version: &str) -> u32 {
        let of_service = self.upstreams.values().filter(|u| &*u.listed.service == service);
        of_service.filter(|u| &*u.listed.version != version).map(Upstream::outstanding).sum()
    }

    /// All upstreams, in the form sent to other boxes.
    pub fn listings(&self, now: Duration) -> Vec<UpstreamListing> {
        self.upstreams.values().map(|u| u.listing(now)).collect()
    }

    /// An upstream, in the form sent to other boxes.
    pub fn listing(&self, name: &UpstreamName, now: Duration) -> Option<UpstreamListing> {
        self.upstreams.get(name).map(|u| u.listing(now))
    }

    pub fn remove(&mut self, name: &UpstreamName) {
        if let Some(upstream) = self.upstreams.remove(name) {
            self.index.remove(&upstream);
            headroom::count(&mut self.announcing, &upstream, self.tuning, false);
        }
        self.busy.remove(name);
        self.unverified.remove(name);
    }

    /// Marks an upstream as leaving: it gets no new requests.
    pub fn mark_leaving(&mut self, name: &UpstreamName) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            self.index.remove(upstream);
            upstream.listed.leaving = true;
            self.index.add(upstream);
        }
    }

    pub fn listed(&self) -> impl Iterator<Item = &UpstreamListing> {
        self.upstreams.values().map(|u| &u.listed)
    }

    pub fn get(&self, name: &UpstreamName) -> Option<&UpstreamListing> {
        self.upstreams.get(name).map(|u| &u.listed)
    }

    /// Whether an upstream runs a model.
    pub fn is_engine(&self, name: &UpstreamName) -> bool {
        self.upstreams.get(name).is_some_and(|u| u.engine.is_some())
    }

    /// Whether an upstream is known and not leaving.
    pub fn is_open(&self, name: &UpstreamName) -> bool {
        self.get(name).is_some_and(|l| !l.leaving)
    }

    /// Records a request sent to an upstream by another box, or by this one if `sender` is `None`.
    pub fn place(&mut self, name: &UpstreamName, placement: Placement<'_>, now: Duration) {
        let Placement { request, sender, .. } = placement;
        let early = self.early_event(request);
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        upstream.record_activity(now);
        if early == Some(EarlyEvent::Ended) {
            return;
        }
        self.busy.insert(name.clone());
        self.senders.add(sender, request, name);
        let Some(engine) = &mut upstream.engine else {
            upstream.plain.add_request(request, sender, upstream.listed.slots, now);
            return;
        };
        let speed = self.speeds.get(&upstream.listed.service).unwrap_or(&self.default_speed);
        engine.place(placement, speed, self.tuning, now);
        if early == Some(EarlyEvent::FirstToken) {
            engine.skip_prefill(request);
        }
    }

    /// Records the first token of a request. `took` is the time since the request was sent; if it
    /// is `None`, the time since the request was placed on its engine counts.
    pub fn record_first_token(
        &mut self,
        name: &UpstreamName,
        request: u64,
        took: Option<Duration>,
        now: Duration,
    ) {
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        let Some(engine) = &mut upstream.engine else {
            took.into_iter().for_each(|took| upstream.plain.record_response(request, took));
            upstream.record_activity(now);
            return;
        };
        if !self.speeds.contains_key(&upstream.listed.service) {
            self.speeds.insert(upstream.listed.service.clone(), self.default_speed.clone());
        }
        let Some(speed) = self.speeds.get_mut(&upstream.listed.service) else { return };
        if !engine.has_request(request) {
            self.remember_early(request, EarlyEvent::FirstToken, now);
            return;
        }
        let has_changed = engine.record_first_token(request, took, speed, now);
        upstream.record_activity(now);
        if has_changed && self.slow_changes.len() < SLOW_CHANGES_MAX {
            self.slow_changes.insert(name.clone());
        }
    }

    pub fn tuning(&self) -> Tuning {
        self.tuning
    }

    /// Whether upstreams like this one are preferred by boxes with an idle connection to them.
    pub fn prefers_connected(&self, name: &UpstreamName) -> bool {
        let slots = self.upstreams.get(name).map(|u| u.listed.slots);
        slots.is_some_and(|slots| self.tuning.small_batch.prefers_connected(slots))
    }

    /// Estimated speed of a service's engines.
    pub fn speed(&self, service: &str) -> &Speed {
        self.speeds.get(service).unwrap_or(&self.default_speed)
    }

    /// Removes a request that has ended. Returns whether there was a record of it.
    pub fn remove_request(&mut self, name: &UpstreamName, request: u64) -> bool {
        let Some(upstream) = self.upstreams.get_mut(name) else { return false };
        // Requests without a prompt are recorded apart at an engine, too.
        let was_plain = upstream.plain.remove_request(request);
        upstream.engine.as_mut().is_some_and(|engine| engine.remove_request(request)) || was_plain
    }

    /// Removes a request that has ended. If there is no record of it, one that arrives soon is
    /// ignored.
    pub fn end_request(&mut self, name: &UpstreamName, request: u64, now: Duration) {
        if !self.remove_request(name, request) {
            self.remember_early(request, EarlyEvent::Ended, now);
        }
    }

    /// Removes a request that is not sent, wherever it was placed.
    pub fn withdraw(&mut self, request: u64, now: Duration) {
        let mut is_known = false;
        for name in &self.busy {
            let Some(upstream) = self.upstreams.get_mut(name) else { continue };
            is_known |= upstream.plain.remove_request(request);
            if let Some(engine) = &mut upstream.engine {
                let speed = self.speeds.get(&upstream.listed.service);
                let speed = speed.unwrap_or(&self.default_speed);
                is_known |= engine.withdraw(request, speed, self.tuning, now);
            }
        }
        if !is_known {
            self.remember_early(request, EarlyEvent::Ended, now);
        }
    }

    /// Removes the requests of a dead box.
    pub fn remove_sender(&mut self, sender: IpAddr) {
        for name in &self.busy {
            let Some(upstream) = self.upstreams.get_mut(name) else { continue };
            upstream.plain.remove_sender(sender);
            upstream.engine.iter_mut().for_each(|engine| engine.remove_sender(sender));
        }
        self.senders.remove(sender);
    }

    pub fn engines(&self) -> impl Iterator<Item = &UpstreamListing> {
        self.upstreams.values().filter(|u| u.engine.is_some()).map(|u| &u.listed)
    }

    pub fn engines_in_group(&self, group: EngineGroup) -> impl Iterator<Item = &UpstreamListing> {
        let of_group = self.index.of_group(group).filter_map(|name| self.upstreams.get(name));
        of_group.filter(|u| u.engine.is_some()).map(|u| &u.listed)
    }

    /// Counts a request that this box has sent to an upstream.
    pub fn request_sent(&mut self, name: &UpstreamName) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.request_sent();
        }
    }

    /// Ends the count of a request of this box, and records its outcome.
    pub fn request_ended(&mut self, name: &UpstreamName, health: Option<Health>, now: Duration) {
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        upstream.request_ended();
        if let Some(health) = health {
            upstream.record_health(health, now);
        }
    }

    /// Records the outcome of a request of this box.
    pub fn record_health(&mut self, name: &UpstreamName, health: Health, now: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.record_health(health, now);
        }
    }

    /// Drops expired state.
    pub fn expire(&mut self, now: Duration) {
        self.expire_backoffs(now);
        self.expire_early(now);
        // After a stall of this box, senders get time to renew their records.
        let last = self.expired_at.replace(now).unwrap_or(now);
        if STALL_MIN < now.saturating_sub(last) {
            self.keep_until = now + LEASE;
        }
        if now < self.keep_until {
            return;
        }
        let upstreams = &mut self.upstreams;
        self.busy.retain(|name| {
            let Some(upstream) = upstreams.get_mut(name) else { return false };
            upstream.plain.expire(now);
            upstream.engine.iter_mut().for_each(|engine| engine.expire(now));
            upstream.is_busy()
        });
        self.senders.expire(now, |request, name| {
            upstreams.get(name).is_some_and(|upstream| upstream.has_request(request))
        });
    }

    /// Whether neither the upstream itself nor its zone rules out new requests.
    fn is_accepting(&self, upstream: &Upstream) -> bool {
        !upstream.listed.leaving && !self.closed_zones.contains(&upstream.listed.zone)
    }

    /// Upstreams examined by selections so far, a measure of their cost.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    fn examine(&self, name: &UpstreamName) -> Option<&Upstream> {
        self.examined.set(self.examined.get() + 1);
        self.upstreams.get(name)
    }

    pub fn engine_count(&self) -> usize {
        self.index.engine_count()
    }

    /// Digest of the upstreams in use; equal for boxes with the same list.
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

    /// Upstreams of a service that may get requests; those in cooldown only if there are no others.
    fn usable(&self, criteria: SelectionCriteria<'_>, now: Duration) -> Vec<&Upstream> {
        let open: Vec<&Upstream> = self
            .index
            .of_service(criteria.service, criteria.group)
            .filter_map(|name| self.examine(name))
            .filter(|u| self.is_accepting(u))
            .filter(|u| self.matches_version_filter(criteria.version_filter, u))
            .filter(|u| !criteria.excluded.contains(&u.listed.name))
            .collect();
        let available: Vec<&Upstream> =
            open.iter().copied().filter(|u| u.is_available(now)).collect();
        if available.is_empty() { open } else { available }
    }
}

fn new_engine(limits: EngineLimits, tuning: Tuning) -> Engine {
    let mut engine = Engine::new(limits);
    if tuning.small_batch.estimates_own_speed(limits.slots) {
        engine.start_own_speed();
    }
    if tuning.small_batch.queues(limits.slots) {
        engine.use_sender_times();
    }
    engine
}
