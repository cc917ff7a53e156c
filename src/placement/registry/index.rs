//! Upstreams by what is asked for, kept as the list changes: a choice looks at those that it may be made among, whatever
//! the number of all.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use rustc_hash::FxHashMap;

use crate::fleet::owners::EngineGroup;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::placement::upstream::Upstream;
use crate::util::mix;

/// Points at which the engine that comes next is looked for; the nearest is taken. With so many each engine gets at most
/// some 5 % more than its part (multi-probe consistent hashing, Appleton and O'Reilly, 2015).
const PROBES: u64 = 21;

/// Upstreams by service and the hash of their names, and what is told of all of them.
#[derive(Debug, Default)]
pub(super) struct Index {
    by_hash: BTreeMap<ServiceName, BTreeMap<(u64, UpstreamName), IsEngine>>,
    leaving: BTreeSet<(ServiceName, UpstreamName)>,
    addrs: FxHashMap<SocketAddr, u32>,
    engines: usize,
    digest: u64,
}

type IsEngine = bool;

impl Index {
    /// Adds an upstream, which isn't in it.
    pub(super) fn add(&mut self, u: &Upstream) {
        let (service, name) = (u.listed.service.clone(), u.listed.name.clone());
        self.engines += usize::from(u.engine.is_some());
        *self.addrs.entry(u.listed.addr).or_default() += 1;
        if u.listed.leaving {
            self.leaving.insert((service.clone(), name.clone()));
        } else {
            self.digest = self.digest.wrapping_add(mix(u.hash));
        }
        let of_service = self.by_hash.entry(service).or_default();
        of_service.insert((u.hash, name), u.engine.is_some());
    }

    /// Takes an upstream out as it was added.
    pub(super) fn remove(&mut self, u: &Upstream) {
        let listed = &u.listed;
        self.engines -= usize::from(u.engine.is_some());
        if let Some(count) = self.addrs.get_mut(&listed.addr) {
            *count -= 1;
            if *count == 0 {
                self.addrs.remove(&listed.addr);
            }
        }
        if listed.leaving {
            self.leaving.remove(&(listed.service.clone(), listed.name.clone()));
        } else {
            self.digest = self.digest.wrapping_sub(mix(u.hash));
        }
        if let Some(of_service) = self.by_hash.get_mut(&listed.service) {
            of_service.remove(&(u.hash, listed.name.clone()));
        }
    }

    /// How many engines there are.
    pub(super) fn engines(&self) -> usize {
        self.engines
    }

    /// A digest of the upstreams that don't leave.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Whether any upstream has an address.
    pub(super) fn has_addr(&self, addr: &SocketAddr) -> bool {
        self.addrs.contains_key(addr)
    }

    /// The upstreams of a service, or those of a group of them.
    pub(super) fn of(
        &self,
        service: &str,
        group: Option<EngineGroup>,
    ) -> impl Iterator<Item = &UpstreamName> {
        let range = group.map_or(0..=u64::MAX, EngineGroup::hash_range);
        let of_service = self.by_hash.get(service);
        of_service
            .into_iter()
            .flat_map(move |all| within(all, range.clone()))
            .map(|((_, name), _)| name)
    }

    /// The upstreams of a group, whatever their service.
    pub(super) fn of_group(&self, group: EngineGroup) -> impl Iterator<Item = &UpstreamName> {
        self.by_hash.keys().flat_map(move |service| self.of(service, Some(group)))
    }

    /// The upstreams of a service that leave.
    pub(super) fn leaving(&self, service: &str) -> impl Iterator<Item = &UpstreamName> {
        // A text is ordered before all that it begins.
        let from = (ServiceName::from(service), UpstreamName::none());
        self.leaving.range(from..).take_while(move |(s, _)| &**s == service).map(|(_, name)| name)
    }

    /// The hash of the engine of a service to which something of this hash belongs, of those that are `eligible`. Most stay
    /// where they are when engines come and go.
    pub(super) fn home(
        &self,
        service: &str,
        of: u64,
        eligible: impl Fn(&UpstreamName) -> bool,
    ) -> Option<u64> {
        let all = self.by_hash.get(service)?;
        let next = |point: u64| {
            let from = (point, UpstreamName::none());
            let ring = all.range(from..).chain(all.iter());
            let mut ring = ring.take(all.len()).filter(|(_, is_engine)| **is_engine);
            ring.find(|((_, name), _)| eligible(name)).map(|((hash, _), _)| *hash)
        };
        let first = next(mix(of))?;
        let distance = |point: u64| next(point).map(|hash| (hash.wrapping_sub(point), hash));
        let points = (1..PROBES).map(|n| mix(of ^ n.rotate_left(32)));
        let nearest =
            points.filter_map(distance).chain([(first.wrapping_sub(mix(of)), first)]).min();
        nearest.map(|(_, hash)| hash)
    }
}

fn within(
    all: &BTreeMap<(u64, UpstreamName), IsEngine>,
    range: RangeInclusive<u64>,
) -> impl Iterator<Item = (&(u64, UpstreamName), &IsEngine)> {
    let last = *range.end();
    all.range((*range.start(), UpstreamName::none())..)
        .take_while(move |((hash, _), _)| *hash <= last)
}
