//! Which software version began each stream.
//!
//! Upstreams of several versions may serve a service side by side, and a stream goes on only at the
//! version that began it. The box that relays a stream records its version before the first event
//! is passed on, and announces the record to other boxes while more than one version may be in use.
//! Where there is no record, the version follows only if no other one can have begun the stream.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::IpAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::names::ServiceName;
use crate::names::VersionName;
use crate::names::WorkspaceName;
use crate::util::mix_bits;

/// Longest lifetime of a record: no caller waits longer for a response.
pub const RECORD_TTL_MAX: Duration = Duration::from_secs(120);

/// A version that is no longer listed may have begun streams whose callers return within this time.
pub const VERSION_RETENTION: Duration = RECORD_TTL_MAX;

/// Records that a box keeps. The one that expires first gives way, and its stream can't go on.
pub const RECORDS_MAX: usize = 32_768;

/// Identifies a stream by the attempt that returned its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId(u64);

impl StreamId {
    /// The stream begun by an attempt of a workspace's caller. Other workspaces may use the same
    /// ids. `None` for an attempt without an id.
    pub fn new(workspace: Option<&WorkspaceName>, attempt: &str) -> Option<StreamId> {
        let seed = workspace.map_or(0, |workspace| xxh3_64(workspace.as_bytes()));
        (!attempt.is_empty()).then(|| StreamId(xxh3_64_with_seed(attempt.as_bytes(), seed)))
    }

    /// The hash by which boxes are chosen to hold the record.
    pub fn hash(self) -> u64 {
        self.0
    }
}

/// Identifies a version of a service's software.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionId(u32);

impl VersionId {
    pub fn new(service: &str, version: &str) -> VersionId {
        VersionId(xxh3_64_with_seed(version.as_bytes(), xxh3_64(service.as_bytes())) as u32)
    }
}

impl fmt::Display for VersionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// The version that began a stream, as boxes announce it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    pub stream: StreamId,
    /// `None` if it isn't known, so that the stream can't go on.
    pub version: Option<VersionId>,
    /// How long its caller may still return, in milliseconds.
    pub ttl_ms: u32,
}

/// What a box that has just started gets from another one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamVersionsReport {
    pub records: Vec<StreamRecord>,
    pub history: BTreeMap<ServiceName, BTreeSet<VersionName>>,
    /// Whether the history lacks no version.
    pub is_complete: bool,
}

#[derive(Clone, Debug)]
struct Record {
    version: Option<VersionId>,
    expires: Duration,
    /// The stream's service, until an own record has been announced.
    unannounced: Option<ServiceName>,
}

/// The records that a box keeps, of its own streams and of those of other boxes.
#[derive(Debug, Default)]
pub struct StreamRecords {
    records: FxHashMap<StreamId, Record>,
    by_expiry: BTreeSet<(Duration, StreamId)>,
    /// Own records that have not been announced.
    unannounced: BTreeSet<(ServiceName, StreamId)>,
    evicted: u64,
}

impl StreamRecords {
    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of records that gave way to others before they expired.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Records the version of a stream that this box relays. It is not announced yet.
    pub fn record_own(&mut self, service: &ServiceName, record: StreamRecord, now: Duration) {
        self.merge(&record, now);
        if let Some(known) = self.records.get_mut(&record.stream) {
            known.unannounced = Some(service.clone());
            self.unannounced.insert((service.clone(), record.stream));
        }
    }

    /// Adds a record, or extends the lifetime of the known one. A stream with two versions has none
    /// from then on: two attempts use the same id.
    pub fn merge(&mut self, record: &StreamRecord, now: Duration) {
        let StreamRecord { stream, version, ttl_ms } = *record;
        let expires = now + Duration::from_millis(ttl_ms.into()).min(RECORD_TTL_MAX);
        let known = self.records.get(&stream).filter(|known| now < known.expires).cloned();
        let merged = match known {
            Some(known) => Record {
                version: known.version.filter(|known| version == Some(*known)),
                expires: known.expires.max(expires),
                unannounced: known.unannounced,
            },
            None => Record { version, expires, unannounced: None },
        };
        self.by_expiry.insert((merged.expires, stream));
        if let Some(before) = self.records.insert(stream, merged.clone())
            && before.expires != merged.expires
        {
            self.by_expiry.remove(&(before.expires, stream));
        }
        if RECORDS_MAX < self.records.len()
            && let Some((_, first)) = self.by_expiry.pop_first()
        {
            self.remove(first);
            self.evicted += 1;
        }
    }

    /// The record of a stream.
    pub fn get(&self, stream: StreamId, now: Duration) -> Option<StreamRecord> {
        let known = self.records.get(&stream).filter(|known| now < known.expires)?;
        Some(known.to_message(stream, now))
    }

    /// All records, for a box that has just started.
    pub fn all(&self, now: Duration) -> Vec<StreamRecord> {
        let live = self.records.iter().filter(|(_, known)| now < known.expires);
        live.map(|(stream, known)| known.to_message(*stream, now)).collect()
    }

    /// Takes the own records of a service that are to be announced.
    pub fn take_unannounced(&mut self, service: &str, now: Duration) -> Vec<StreamRecord> {
        let mut due = self.unannounced.split_off(&(ServiceName::from(service), StreamId(0)));
        let is_other = |(other, _): &&(ServiceName, StreamId)| &**other != service;
        if let Some(first_other) = due.iter().find(is_other).cloned() {
            self.unannounced.extend(due.split_off(&first_other));
        }
        let taken = due.into_iter().filter_map(|(_, stream)| {
            let known = self.records.get_mut(&stream)?;
            known.unannounced = None;
            (now < known.expires).then(|| known.to_message(stream, now))
        });
        taken.collect()
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Duration) {
        while let Some((expires, stream)) = self.by_expiry.first().copied()
            && expires <= now
        {
            self.by_expiry.remove(&(expires, stream));
            self.remove(stream);
        }
    }

    fn remove(&mut self, stream: StreamId) {
        let service = self.records.remove(&stream).and_then(|known| known.unannounced);
        service.into_iter().for_each(|service| _ = self.unannounced.remove(&(service, stream)));
    }
}

impl Record {
    fn to_message(&self, stream: StreamId, now: Duration) -> StreamRecord {
        let ttl = self.expires.saturating_sub(now).as_millis();
        let ttl_ms = u32::try_from(ttl).unwrap_or(u32::MAX);
        StreamRecord { stream, version: self.version, ttl_ms }
    }
}

/// The versions of each service that may have begun a stream whose caller may still return.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// Until when each version counts.
    versions: BTreeMap<ServiceName, BTreeMap<VersionName, Duration>>,
    is_complete: bool,
    /// Since when no change was missed.
    unbroken_since: Duration,
}

impl VersionHistory {
    /// Records that a version is listed or may have been until now.
    pub fn note(&mut self, service: &ServiceName, version: &VersionName, now: Duration) {
        let until = now + VERSION_RETENTION;
        if let Some(known) = self.versions.get_mut(service).and_then(|all| all.get_mut(version)) {
            *known = (*known).max(until);
            return;
        }
        self.versions.entry(service.clone()).or_default().insert(version.clone(), until);
    }

    /// Records that the history lacks no version, because another box or the store has it, or there
    /// was no stream before this box started.
    pub fn set_complete(&mut self) {
        self.is_complete = true;
    }

    /// Records that the store was read for the first time: whether versions were missed before isn't
    /// known.
    pub fn note_first_read(&mut self, now: Duration) {
        self.unbroken_since = now;
    }

    /// Records that changes until now were missed.
    pub fn note_gap(&mut self, now: Duration) {
        (self.is_complete, self.unbroken_since) = (false, now);
    }

    /// Whether the history lacks no version. `now` is the time since this box started.
    pub fn is_complete(&self, now: Duration) -> bool {
        self.is_complete || self.unbroken_since + VERSION_RETENTION <= now
    }

    /// The versions that may have begun a stream of the service.
    pub fn of_service(&self, service: &str, now: Duration) -> BTreeSet<VersionName> {
        let known = self.versions.get(service).into_iter().flatten();
        known.filter(|(_, until)| now < **until).map(|(version, _)| version.clone()).collect()
    }

    /// All services with their versions.
    pub fn all(&self, now: Duration) -> BTreeMap<ServiceName, BTreeSet<VersionName>> {
        let services = self.versions.keys();
        services.map(|service| (service.clone(), self.of_service(service, now))).collect()
    }

    /// The services of which several versions may have begun a stream.
    pub fn ambiguous(&self, now: Duration) -> BTreeMap<ServiceName, BTreeSet<VersionName>> {
        let mut all = self.all(now);
        all.retain(|_, versions| 1 < versions.len());
        all
    }

    /// Removes versions that no longer count.
    pub fn expire(&mut self, now: Duration) {
        self.versions.retain(|_, versions| {
            versions.retain(|_, until| now < *until);
            !versions.is_empty()
        });
    }
}

/// The largest of the values of the last [`VERSION_RETENTION`] at least, and of twice that at most.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentMax {
    since: Duration,
    current: usize,
    previous: usize,
}

impl RecentMax {
    /// Records a value.
    pub fn record(&mut self, value: usize, now: Duration) {
        if self.since + VERSION_RETENTION <= now {
            (self.since, self.previous, self.current) = (now, self.current, 0);
        }
        self.current = self.current.max(value);
    }

    /// The largest value.
    pub fn max(&self) -> usize {
        self.current.max(self.previous)
    }
}

/// Boxes of the sender's zone, and of the whole fleet, that hold the record of a stream in a large
/// fleet. Callers usually return to a box of the same zone.
const ZONE_HOLDERS: usize = 2;
const FLEET_HOLDERS: usize = 2;

/// Selects the boxes of a large fleet that hold the record of a stream, by rendezvous hashing among
/// `zone`, the boxes of the zone, and `fleet`, all boxes. Boxes that agree on which boxes are alive
/// agree on the holders.
pub fn holders(stream: StreamId, zone: &[IpAddr], fleet: &[IpAddr]) -> BTreeSet<IpAddr> {
    let first = |boxes: &[IpAddr], count: usize| {
        let rank = |ip: &IpAddr| mix_bits(xxh3_64(ip.to_string().as_bytes()) ^ stream.hash());
        let mut ranked: Vec<(u64, IpAddr)> = boxes.iter().map(|ip| (rank(ip), *ip)).collect();
        if count < ranked.len() {
            ranked.select_nth_unstable(count);
            ranked.truncate(count);
        }
        ranked.into_iter().map(|(_, ip)| ip)
    };
    first(zone, ZONE_HOLDERS).chain(first(fleet, FLEET_HOLDERS)).collect()
}

/// What one box knows of a stream without a record, by the versions of its service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionEvidence {
    /// The versions that may have begun it.
    pub versions: BTreeSet<VersionId>,
    /// Whether no other version may have.
    pub is_complete: bool,
    /// Whether it misses no version that the store listed before the request arrived. Boxes of
    /// earlier builds take the replying box's belief that it reaches the store for that.
    pub is_current: bool,
}

/// The versions in the evidence of several boxes.
pub fn all_versions(evidence: &[VersionEvidence]) -> BTreeSet<VersionId> {
    evidence.iter().flat_map(|e| e.versions.iter().copied()).collect()
}

/// The version that began a stream, by the records and the evidence of several boxes; `None` if
/// these don't show it. One box must have noted all versions up to when the request arrived: a
/// complete history of one box and a current list of another may both miss a version that was
/// listed in between. `is_majority` if the evidence comes from most boxes of the fleet: a box that
/// began the stream at a version that these don't list is cut off from them, and none of them has
/// read the store since.
pub fn resolve(
    records: &[Option<VersionId>],
    evidence: &[VersionEvidence],
    is_majority: bool,
) -> Option<VersionId> {
    if let Some((first, others)) = records.split_first() {
        return first.filter(|_| others.iter().all(|other| other == first));
    }
    let versions = all_versions(evidence);
    let misses_none = evidence.iter().any(|e| e.is_complete && (e.is_current || is_majority));
    let is_certain = versions.len() == 1 && misses_none;
    versions.first().copied().filter(|_| is_certain)
}
