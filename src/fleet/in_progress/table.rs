//! The requests that one box has in progress, and the boxes that have records of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::time::Duration;

use crate::fleet::in_progress::AGE_SLACK;
use crate::fleet::in_progress::IDS_PER_REPORT_MAX;
use crate::fleet::in_progress::InProgressReport;
use crate::fleet::in_progress::MIN_AGE;
use crate::fleet::in_progress::RequestRecord;
use crate::fleet::in_progress::ShortId;
use crate::fleet::in_progress::received::ListedRequests;
use crate::fleet::owners::OwnerTable;
use crate::names::UpstreamName;

/// A request of this box that is being sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnRequest {
    pub upstream: UpstreamName,
    /// The hash by which the upstream's owners are found.
    pub owner_hash: u64,
    /// Tokens of memory that it occupies.
    pub tokens: u32,
    pub cached_tokens: u32,
    pub prefill_tokens: u32,
}

#[derive(Debug)]
struct Entry {
    request: OwnRequest,
    placed: Duration,
    has_first_token: bool,
    /// Other boxes that have a record of it.
    trackers: Vec<IpAddr>,
}

impl Entry {
    fn listed(&self, request: u64) -> (bool, ShortId) {
        (self.has_first_token, ShortId::from(request))
    }

    fn record(&self, request: u64, now: Duration) -> RequestRecord {
        let OwnRequest { ref upstream, tokens, cached_tokens, prefill_tokens, .. } = self.request;
        RequestRecord {
            request,
            upstream: upstream.clone(),
            age_ms: u32::try_from(now.saturating_sub(self.placed).as_millis()).unwrap_or(u32::MAX),
            tokens,
            cached_tokens,
            prefill_tokens,
            has_first_token: self.has_first_token,
        }
    }
}

/// The requests that this box has in progress.
#[derive(Debug)]
pub struct RequestTable {
    own_ip: IpAddr,
    incarnation: u64,
    sequence: u64,
    /// In the order of ids, so that those with a short id are neighbours.
    requests: BTreeMap<u64, Entry>,
    /// Boxes that may have records of requests, and when a request last began or ended there.
    trackers: BTreeMap<IpAddr, Duration>,
    /// When a request of this box last began or ended.
    active_at: Option<Duration>,
}

impl RequestTable {
    /// Creates an empty table for one start of the process.
    pub fn new(own_ip: IpAddr, incarnation: u64) -> RequestTable {
        RequestTable {
            own_ip,
            incarnation,
            sequence: 0,
            requests: BTreeMap::new(),
            trackers: BTreeMap::new(),
            active_at: None,
        }
    }

    /// Adds a request that the boxes `recorded_by` have recorded. Returns the owners, by this box's
    /// table, that haven't.
    pub fn begin(
        &mut self,
        id: u64,
        request: OwnRequest,
        recorded_by: impl IntoIterator<Item = IpAddr>,
        owners: &OwnerTable,
        now: Duration,
    ) -> Vec<IpAddr> {
        let own_ip = self.own_ip;
        let mut trackers: Vec<IpAddr> =
            recorded_by.into_iter().filter(|ip| *ip != own_ip).collect();
        let owned = owners.owners_of_hash(request.owner_hash);
        let missing: Vec<IpAddr> = owned
            .into_iter()
            .flat_map(|owned| owned.boxes())
            .filter(|ip| *ip != own_ip && !trackers.contains(ip))
            .collect();
        trackers.extend_from_slice(&missing);
        self.active_at = Some(now);
        self.trackers.extend(trackers.iter().map(|ip| (*ip, now)));
        let entry = Entry { request, placed: now, has_first_token: false, trackers };
        self.requests.insert(id, entry);
        missing
    }

    /// The upstream of a request in progress.
    pub fn upstream(&self, id: u64) -> Option<&UpstreamName> {
        Some(&self.requests.get(&id)?.request.upstream)
    }

    /// The boxes that have a record of a request.
    pub fn trackers(&self, id: u64) -> &[IpAddr] {
        self.requests.get(&id).map_or(&[], |entry| &entry.trackers)
    }

    /// Records the first token of a request.
    pub fn record_first_token(&mut self, id: u64) {
        if let Some(entry) = self.requests.get_mut(&id) {
            entry.has_first_token = true;
        }
    }

    /// Removes a request that has ended or isn't sent. Returns the boxes that have a record of it.
    pub fn end(&mut self, id: u64, now: Duration) -> Vec<IpAddr> {
        let Some(entry) = self.requests.remove(&id) else { return Vec::new() };
        self.active_at = Some(now);
        self.touch(entry.trackers.iter().copied(), now);
        entry.trackers
    }

    /// Records that boxes may have records of a request that this box doesn't send. They get a
    /// report even if nothing else is in progress there.
    pub fn touch(&mut self, boxes: impl IntoIterator<Item = IpAddr>, now: Duration) {
        let own_ip = self.own_ip;
        self.trackers.extend(boxes.into_iter().filter(|ip| *ip != own_ip).map(|ip| (ip, now)));
    }

    /// The record of a request.
    pub fn record(&self, id: u64, now: Duration) -> Option<RequestRecord> {
        Some(self.requests.get(&id)?.record(id, now))
    }

    /// Records for boxes that have come to own upstreams where requests are in progress.
    pub fn owners_changed(
        &mut self,
        owners: &OwnerTable,
        now: Duration,
    ) -> BTreeMap<IpAddr, Vec<RequestRecord>> {
        let mut records: BTreeMap<IpAddr, Vec<RequestRecord>> = BTreeMap::new();
        for (id, entry) in &mut self.requests {
            let owned = owners.owners_of_hash(entry.request.owner_hash);
            for ip in owned.into_iter().flat_map(|owned| owned.boxes()) {
                if ip != self.own_ip && !entry.trackers.contains(&ip) {
                    entry.trackers.push(ip);
                    self.trackers.insert(ip, now);
                    records.entry(ip).or_default().push(entry.record(*id, now));
                }
            }
        }
        records
    }

    /// Records of the requests that a box has asked for.
    pub fn records_of(&mut self, ids: &[ShortId], by: IpAddr, now: Duration) -> Vec<RequestRecord> {
        let mut records = Vec::new();
        for range in distinct(ids).map(ShortId::requests) {
            for (id, entry) in self.requests.range_mut(range) {
                if !entry.trackers.contains(&by) {
                    entry.trackers.push(by);
                }
                records.push(entry.record(*id, now));
            }
        }
        records
    }

    /// Records of requests at upstreams that this box owns, among those with these ids.
    pub fn owned_records(
        &self,
        ids: &[ShortId],
        owners: &OwnerTable,
        now: Duration,
    ) -> Vec<RequestRecord> {
        let is_owned = |entry: &Entry| {
            let owned = owners.owners_of_hash(entry.request.owner_hash);
            owned.is_none_or(|owned| owned.boxes().any(|ip| ip == self.own_ip))
        };
        let ranges = distinct(ids).map(ShortId::requests);
        let asked = ranges.flat_map(|range| self.requests.range(range));
        asked.filter(|(_, e)| is_owned(e)).map(|(id, e)| e.record(*id, now)).collect()
    }

    /// All requests in progress.
    pub fn listed(&self) -> ListedRequests {
        let ids = || self.requests.keys().map(|id| ShortId::from(*id)).collect();
        let with_first_token = self.requests.iter().filter(|(_, entry)| entry.has_first_token);
        ListedRequests {
            ids: ids(),
            with_first_token: with_first_token.map(|(id, _)| ShortId::from(*id)).collect(),
            complete: Some((ids(), MIN_AGE)),
        }
    }

    /// Reports for the boxes that have records of requests.
    pub fn reports(&mut self, now: Duration) -> Vec<(IpAddr, InProgressReport)> {
        let mut lists: BTreeMap<IpAddr, Vec<(bool, ShortId)>> =
            self.trackers.keys().map(|ip| (*ip, Vec::new())).collect();
        for (id, entry) in &self.requests {
            if now < entry.placed + MIN_AGE {
                continue;
            }
            for ip in &entry.trackers {
                lists.entry(*ip).or_default().push(entry.listed(*id));
            }
        }
        // A box gets one empty report that covers its last request; the next ones would repeat it.
        self.trackers.retain(|ip, active_at| {
            lists.get(ip).is_some_and(|ids| !ids.is_empty()) || !is_settled(*active_at, now)
        });
        if !lists.is_empty() {
            self.sequence += 1;
        }
        let reports = lists
            .into_iter()
            .flat_map(|(ip, ids)| self.parts(ids).into_iter().map(move |report| (ip, report)));
        reports.collect()
    }

    /// A report of all requests for all boxes, for a small fleet.
    pub fn broadcast_report(&mut self, now: Duration) -> Vec<InProgressReport> {
        let old = self.requests.iter().filter(|(_, entry)| entry.placed + MIN_AGE <= now);
        let ids: Vec<(bool, ShortId)> = old.map(|(id, entry)| entry.listed(*id)).collect();
        let Some(active_at) = self.active_at else { return Vec::new() };
        if self.requests.is_empty() && is_settled(active_at, now) {
            self.active_at = None;
        }
        self.sequence += 1;
        self.parts(ids)
    }

    fn parts(&self, mut ids: Vec<(bool, ShortId)>) -> Vec<InProgressReport> {
        ids.sort_unstable_by_key(|(has_first_token, _)| !has_first_token);
        let parts = ids.len().div_ceil(IDS_PER_REPORT_MAX).max(1);
        let part = |n: usize| {
            let first = n * IDS_PER_REPORT_MAX;
            let ids = &ids[first..ids.len().min(first + IDS_PER_REPORT_MAX)];
            InProgressReport {
                incarnation: self.incarnation,
                sequence: self.sequence,
                min_age_ms: MIN_AGE.as_millis() as u32,
                part: n as u16,
                parts: parts as u16,
                with_first_token: ids.iter().filter(|(has_it, _)| *has_it).count() as u16,
                requests: ids.iter().map(|(_, id)| *id).collect(),
            }
        };
        (0..parts).map(part).collect()
    }
}

fn distinct(ids: &[ShortId]) -> impl Iterator<Item = ShortId> {
    ids.iter().copied().collect::<BTreeSet<ShortId>>().into_iter()
}

/// Whether a report sent now concerns all requests that began or ended until `active_at`, because
/// their records are old enough to be dropped.
fn is_settled(active_at: Duration, now: Duration) -> bool {
    active_at + MIN_AGE + AGE_SLACK * 2 <= now
}
