//! Index of the upstreams by lookup key, updated with the list, so that a selection examines only
//! eligible upstreams, however many there are in all.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use rustc_hash::FxHashMap;

use crate::fleet::owners::EngineGroup;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::VersionName;
use crate::placement::upstream::Upstream;
use crate::util::mix_bits;

/// Number of ring positions tried for each key; the engine nearest to its position is taken. With
/// this many, each engine gets at most some 5 % more than an even share (multi-probe consistent
/// hashing, Appleton and O'Reilly, 2015).
const HASH_PROBES: u64 = 21;

/// Upstreams by service and name hash, and totals over all of them.
#[derive(Debug, Default)]
pub(super) struct Index {
    by_hash: BTreeMap<ServiceName, BTreeMap<(u64, UpstreamName), IsEngine>>,
    leaving: BTreeSet<(ServiceName, UpstreamName)>,
    /// Number of upstreams by service and version.
    versions: BTreeMap<ServiceName, BTreeMap<VersionName, usize>>,
    addrs: FxHashMap<SocketAddr, u32>,
    engine_count: usize,
    digest: u64,
}

type IsEngine = bool;

impl Index {
    /// Adds an upstream that is not in the index.
    pub(super) fn add(&mut self, u: &Upstream) {
        let (service, name) = (u.listed.service.clone(), u.listed.name.clone());
        self.engine_count += usize::from(u.engine.is_some());
        *self.addrs.entry(u.listed.addr).or_default() += 1;
        if u.listed.leaving {
            self.leaving.insert((service.clone(), name.clone()));
        } else {
            self.digest = self.digest.wrapping_add(mix_bits(u.hash));
        }
        let versions = self.versions.entry(service.clone()).or_default();
        *versions.entry(u.listed.version.clone()).or_default() += 1;
        let entries = self.by_hash.entry(service).or_default();
        entries.insert((u.hash, name), u.engine.is_some());
    }

    /// Removes an upstream, which must be unchanged since it was added.
    pub(super) fn remove(&mut self, u: &Upstream) {
        let listed = &u.listed;
        self.engine_count -= usize::from(u.engine.is_some());
        if let Some(count) = self.addrs.get_mut(&listed.addr) {
            *count -= 1;
            if *count == 0 {
                self.addrs.remove(&listed.addr);
            }
        }
        if let Some(versions) = self.versions.get_mut(&listed.service)
            && let Some(count) = versions.get_mut(&listed.version)
        {
            *count -= 1;
            if *count == 0 {
                versions.remove(&listed.version);
            }
        }
        if listed.leaving {
            self.leaving.remove(&(listed.service.clone(), listed.name.clone()));
        } else {
            self.digest = self.digest.wrapping_sub(mix_bits(u.hash));
        }
        if let Some(entries) = self.by_hash.get_mut(&listed.service) {
            entries.remove(&(u.hash, listed.name.clone()));
        }
    }

    pub(super) fn engine_count(&self) -> usize {
        self.engine_count
    }

    /// Digest of the upstreams that are not leaving.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Whether any upstream has this address.
    pub(super) fn has_addr(&self, addr: &SocketAddr) -> bool {
        self.addrs.contains_key(addr)
    }

    /// The upstreams of a service, or those of them in a group.
    pub(super) fn of_service(
        &self,
        service: &str,
        group: Option<EngineGroup>,
    ) -> impl Iterator<Item = &UpstreamName> {
        let range = group.map_or(0..=u64::MAX, EngineGroup::hash_range);
        let entries = self.by_hash.get(service);
        entries
            .into_iter()
            .flat_map(move |all| entries_in_range(all, range.clone()))
            .map(|((_, name), _)| name)
    }

    /// The versions of a service's upstreams.
    pub(super) fn versions(&self, service: &str) -> impl Iterator<Item = &VersionName> {
        self.versions.get(service).into_iter().flat_map(BTreeMap::keys)
    }

    /// The versions of all services' upstreams.
    pub(super) fn all_versions(&self) -> impl Iterator<Item = (&ServiceName, &VersionName)> {
        let services = self.versions.iter();
        services.flat_map(|(service, versions)| versions.keys().map(move |v| (service, v)))
    }

    /// The upstreams of a group, whatever their service.
    pub(super) fn of_group(&self, group: EngineGroup) -> impl Iterator<Item = &UpstreamName> {
        self.by_hash.keys().flat_map(move |service| self.of_service(service, Some(group)))
    }

    /// The upstreams of a service that are leaving.
    pub(super) fn leaving(&self, service: &str) -> impl Iterator<Item = &UpstreamName> {
        // A string sorts before all strings that it is a prefix of.
        let from = (ServiceName::from(service), UpstreamName::none());
        self.leaving.range(from..).take_while(move |(s, _)| &**s == service).map(|(_, name)| name)
    }

    /// The name hash of the `eligible` engine of a service to which a key is assigned. Most keys
    /// stay with their engines when others are added or removed.
    pub(super) fn home(
        &self,
        service: &str,
        key: u64,
        eligible: impl Fn(&UpstreamName) -> bool,
    ) -> Option<u64> {
        let all = self.by_hash.get(service)?;
        let next = |point: u64| {
            let from = (point, UpstreamName::none());
            let ring = all.range(from..).chain(all.iter());
            let mut ring = ring.take(all.len()).filter(|(_, is_engine)| **is_engine);
            ring.find(|((_, name), _)| eligible(name)).map(|((hash, _), _)| *hash)
        };
        let first = next(mix_bits(key))?;
        let distance = |point: u64| next(point).map(|hash| (hash.wrapping_sub(point), hash));
        let points = (1..HASH_PROBES).map(|n| mix_bits(key ^ n.rotate_left(32)));
        let nearest =
            points.filter_map(distance).chain([(first.wrapping_sub(mix_bits(key)), first)]).min();
        nearest.map(|(_, hash)| hash)
    }
}

fn entries_in_range(
    all: &BTreeMap<(u64, UpstreamName), IsEngine>,
    range: RangeInclusive<u64>,
) -> impl Iterator<Item = (&(u64, UpstreamName), &IsEngine)> {
    let last = *range.end();
    all.range((*range.start(), UpstreamName::none())..)
        .take_while(move |((hash, _), _)| *hash <= last)
}
