//! Finds out which version of a service's software began a stream that a caller resumes at this
//! box, and announces the versions of this box's own streams.
//!
//! While only one version may be in use, records stay at the box that relays the stream. As soon as
//! there may be others, records are sent to the boxes that callers may return to, before the first
//! event is passed on. A box without a record asks these boxes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rustc_hash::FxHashMap;
use slog::debug;
use slog::info;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::fleet::revision::Revision;
use crate::fleet::stream_versions;
use crate::fleet::stream_versions::RecentMax;
use crate::fleet::stream_versions::StreamId;
use crate::fleet::stream_versions::StreamRecord;
use crate::fleet::stream_versions::StreamRecords;
use crate::fleet::stream_versions::StreamVersionsReport;
use crate::fleet::stream_versions::VersionEvidence;
use crate::fleet::stream_versions::VersionHistory;
use crate::fleet::stream_versions::VersionId;
use crate::names::ServiceName;
use crate::names::VersionName;
use crate::proxy::adapter::VersionChanges;
use crate::proxy::adapter::VersionStore;
use crate::proxy::box_api;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;
use crate::proxy::message::StreamQuery;
use crate::proxy::message::StreamReply;
use crate::proxy::store_confirmation;
use crate::proxy::store_confirmation::StoreConfirmation;
use crate::util;

/// How long to wait for replies to a query, and how often it is sent to a box that doesn't reply,
/// since a datagram may be lost. A reply takes several round trips within a region, and the pauses
/// of a healthy box under load.
const REPLY_TIMEOUT: Duration = Duration::from_millis(40);
const QUERY_ATTEMPTS: usize = 2;

/// Records per message, so that it fits a datagram.
const RECORDS_PER_MESSAGE: usize = 40;

/// Time between attempts to load records and versions after the start, and their number.
const LOAD_INTERVAL: Duration = Duration::from_millis(200);
const LOAD_ATTEMPTS_MAX: u32 = 300;

/// A box that has found no other one after this many attempts is the only one.
const LONE_ATTEMPTS: u32 = 50;

/// Time between checks whether the versions in the store have to change.
const SAVE_INTERVAL: Duration = Duration::from_millis(1000);

/// How the version of a stream was found out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This box has a record.
    Recorded,
    /// Other boxes have one.
    Asked,
    /// No other version may have begun the stream.
    OnlyVersion,
    /// It isn't known.
    Unknown,
}

impl Source {
    /// The source as a word for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Source::Recorded => "recorded",
            Source::Asked => "asked",
            Source::OnlyVersion => "only-version",
            Source::Unknown => "unknown",
        }
    }
}

/// Which version began a stream, and what shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finding {
    /// `None` if it isn't known.
    pub version: Option<VersionId>,
    pub source: Source,
    /// Number of other boxes that were asked.
    pub asked: usize,
    /// Number of those that replied.
    pub replied: usize,
    /// Number of boxes, including this one, whose history lacks no version.
    pub complete: usize,
    /// Whether a read of the store that began after the request arrived shows that this box misses
    /// no version.
    pub is_confirmed: bool,
    /// Whether a retry may find the version: the store didn't confirm that there is no other one.
    pub may_be_known_later: bool,
    /// Time since the store last delivered a change of the list of upstreams to this box, if it
    /// ever did.
    pub list_changed_ago: Option<Duration>,
}

/// Which versions began streams, as far as this box knows.
#[derive(Debug, Default)]
pub struct StreamVersions {
    inner: Mutex<Inner>,
    queries: Mutex<Queries>,
    confirmation: StoreConfirmation,
    /// Notified when the history has a gap.
    gap_noted: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    records: StreamRecords,
    history: VersionHistory,
    /// Whether this box has just started and still loads what other boxes and the store have.
    is_loading: bool,
    /// Versions that are in the store because of this box, or were when it loaded them.
    saved: BTreeSet<(ServiceName, VersionName)>,
    /// Those that this box has written since it keeps the versions in the store.
    written: BTreeSet<(ServiceName, VersionName)>,
    /// When the store last delivered a change of the list of upstreams.
    list_changed_at: Option<Duration>,
    /// The revision of the store up to which the versions are noted, while this box watches it.
    noted_up_to: Option<Revision>,
    /// Number of boxes that this one knows of, and knew of lately.
    fleet_size: RecentMax,
}

/// Queries that await replies.
#[derive(Debug, Default)]
struct Queries {
    /// The number of the last query.
    last: u64,
    pending: FxHashMap<u64, mpsc::UnboundedSender<(IpAddr, StreamReply)>>,
}

impl StreamVersions {
    /// The state of a box that knows nothing. `incarnation` distinguishes the starts of its
    /// process.
    pub fn new(own_ip: IpAddr, incarnation: u64) -> StreamVersions {
        let last = util::id_base(&own_ip.to_string(), incarnation, "stream-query");
        let queries = Mutex::new(Queries { last, ..Queries::default() });
        StreamVersions { queries, ..StreamVersions::default() }
    }

    /// Returns the number of the next query. A late reply to a query of an earlier process of this
    /// box has another number.
    pub fn next_query(&self) -> u64 {
        self.queries(|queries| {
            queries.last += 1;
            queries.last
        })
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.inner.lock().expect("no panic under lock"))
    }

    fn queries<T>(&self, f: impl FnOnce(&mut Queries) -> T) -> T {
        f(&mut self.queries.lock().expect("no panic under lock"))
    }

    /// Number of records.
    pub fn record_count(&self) -> usize {
        self.with(|inner| inner.records.len())
    }

    /// Number of records that gave way to others.
    pub fn evicted_count(&self) -> u64 {
        self.with(|inner| inner.records.evicted())
    }

    /// When this box probably has what other boxes and the store have; `None` if it has that, or
    /// doesn't try any longer.
    pub fn loaded_in(&self) -> Option<Duration> {
        self.with(|inner| inner.is_loading).then_some(LOAD_INTERVAL)
    }

    /// Saves the versions in the store again, which may lack some: it was restored from an older copy,
    /// or another box has kept them.
    pub fn save_again(&self) {
        self.with(|inner| inner.written.clear());
    }

    /// Records that the store has delivered a change of the list of upstreams.
    pub fn record_list_change(&self, now: Duration) {
        self.with(|inner| inner.list_changed_at = Some(now));
    }

    /// Notes what a watch has delivered. `known` is the revision up to which this box knew the list
    /// of upstreams before.
    pub fn record_read(&self, changes: &VersionChanges, known: Revision, now: Duration) {
        self.note_changes(changes, known, now);
        self.with(|inner| inner.noted_up_to = inner.noted_up_to.max(Some(changes.up_to)));
    }

    /// Records that other boxes watch the store.
    pub fn record_watch_stopped(&self) {
        self.with(|inner| inner.noted_up_to = None);
    }

    /// The revision of the store up to which the versions are noted; `None` while other boxes watch
    /// it.
    pub(super) fn noted_up_to(&self) -> Option<Revision> {
        self.with(|inner| inner.noted_up_to)
    }

    /// Notes the versions of entries that have changed. If a list doesn't continue from what this box
    /// knew, up to the revision `known` where it doesn't watch the store, the history has a gap, which
    /// other boxes or the store may fill. A store that was restored from an older copy can't;
    /// upstreams that run write their entries again.
    pub(super) fn note_changes(&self, changes: &VersionChanges, known: Revision, now: Duration) {
        let is_gap = self.with(|inner| {
            let versions = changes.versions.iter();
            versions.for_each(|(service, version)| inner.history.note(service, version, now));
            let known = inner.noted_up_to.unwrap_or(known);
            let is_same_store = known.era == changes.up_to.era;
            if let Some(noted) = &mut inner.noted_up_to
                && is_same_store
            {
                *noted = changes.up_to.max(*noted);
            }
            if changes.since.is_some() {
                return false;
            }
            if known.is_none() {
                inner.history.note_first_read(now);
                return false;
            }
            let is_gap = is_same_store && known < changes.up_to;
            if is_gap {
                inner.history.note_gap(now);
            }
            is_gap
        });
        if is_gap {
            self.gap_noted.notify_one();
        }
    }

    pub(super) fn confirmation(&self) -> &StoreConfirmation {
        &self.confirmation
    }

    /// What a box that has just started needs.
    pub fn report(&self, now: Duration) -> StreamVersionsReport {
        self.with(|inner| StreamVersionsReport {
            records: inner.records.all(now),
            history: inner.history.all(now),
            is_complete: inner.history.is_complete(now),
        })
    }
}

/// Records which version began a stream that this box relays, before its first event is passed on.
pub fn record(hub: &Hub, service: &ServiceName, record: StreamRecord) {
    let now = hub.now();
    let due = hub.stream_versions().with(|inner| {
        inner.records.record_own(service, record, now);
        let is_needed = record.version.is_none()
            || !inner.history.is_complete(now)
            || 1 < inner.history.of_service(service, now).len();
        if is_needed { inner.records.take_unannounced(service, now) } else { Vec::new() }
    });
    announce(hub, &due);
}

/// Updates the versions that may be in use, and announces own streams that began while there was
/// only one; to be called several times a second.
pub fn refresh(hub: &Hub) {
    let now = hub.now();
    let listed: Vec<(ServiceName, VersionName)> = hub.read(|view| {
        let versions = view.registry().all_versions();
        versions.map(|(service, version)| (service.clone(), version.clone())).collect()
    });
    let boxes = hub.peers().known_count();
    let due: Vec<StreamRecord> = hub.stream_versions().with(|inner| {
        inner.fleet_size.record(boxes, now);
        listed.iter().for_each(|(service, version)| inner.history.note(service, version, now));
        inner.history.expire(now);
        inner.records.expire(now);
        let ambiguous = inner.history.ambiguous(now);
        ambiguous.keys().flat_map(|s| inner.records.take_unannounced(s, now)).collect()
    });
    announce(hub, &due);
}

/// Sends own records to the boxes that callers may return to. They are sent at once and in
/// datagrams of their own: boxes of an earlier build ignore the rest of a datagram that they can't
/// decode.
fn announce(hub: &Hub, records: &[StreamRecord]) {
    if hub.peers().owners().is_empty() {
        for records in records.chunks(RECORDS_PER_MESSAGE) {
            hub.peers().broadcast_now(&Message::StreamRecords(records.to_vec()));
        }
        return;
    }
    for record in records {
        let message = Message::StreamRecords(vec![*record]);
        for ip in hub.peers().stream_holders(record.stream) {
            hub.peers().send_now(ip, &message);
        }
    }
}

/// Applies another box's records.
pub fn handle_records(hub: &Hub, records: &[StreamRecord]) {
    let now = hub.now();
    hub.stream_versions().with(|inner| {
        records.iter().for_each(|record| inner.records.merge(record, now));
    });
}

/// Replies to another box's query.
pub fn handle_query(hub: &Hub, query: &StreamQuery, from: IpAddr) {
    let reply = StreamReply {
        query: query.query,
        record: query.stream.and_then(|stream| recorded(hub, stream)),
        evidence: own_evidence(hub, &query.service, is_believed_current(hub)),
    };
    hub.peers().send_now(from, &Message::StreamReply(reply));
}

/// Whether this box's list is probably current. It may be behind by as much as a watch pauses.
fn is_believed_current(hub: &Hub) -> bool {
    let (reaches_store, revision) = hub.read(|view| (view.reaches_store(), view.revision()));
    reaches_store || hub.peers().follows_store(revision)
}

/// Delivers a reply to the task that awaits it, if there still is one.
pub fn handle_reply(hub: &Hub, reply: StreamReply, from: IpAddr) {
    hub.stream_versions().queries(|queries| {
        if let Some(tx) = queries.pending.get(&reply.query) {
            // The task may just have ended.
            let _ = tx.send((from, reply));
        }
    });
}

/// Finds out which version began a stream of the service. `stream` is `None` if the caller doesn't
/// name it.
pub async fn find(hub: &Arc<Hub>, stream: Option<StreamId>, service: &ServiceName) -> Finding {
    let now = hub.now();
    let list_changed_at = hub.stream_versions().with(|inner| inner.list_changed_at);
    let unasked = Finding {
        version: None,
        source: Source::Recorded,
        asked: 0,
        replied: 0,
        complete: 0,
        is_confirmed: false,
        may_be_known_later: false,
        list_changed_ago: list_changed_at.map(|at| now.saturating_sub(at)),
    };
    if let Some(record) = stream.and_then(|stream| recorded(hub, stream)) {
        return Finding { version: record.version, ..unasked };
    }
    let boxes = hub.peers().boxes_to_ask(stream);
    let replies = ask(hub, &boxes, stream, service).await;
    let records: Vec<Option<VersionId>> =
        replies.values().filter_map(|reply| Some(reply.record?.version)).collect();
    // A majority of all boxes, of which `known_count` includes those that died lately. Boxes that
    // reach the store may all be behind it, by as much as a watch pauses.
    let is_store_reached =
        is_believed_current(hub) || replies.values().any(|reply| reply.evidence.is_current);
    let boxes_max = hub.stream_versions().with(|inner| inner.fleet_size.max());
    let is_majority =
        !is_store_reached && boxes_max.max(hub.peers().known_count()) < 2 * (replies.len() + 1);
    let replied = replies.len();
    // What other boxes know may be older than the stream.
    let of_others =
        replies.into_values().map(|reply| VersionEvidence { is_current: false, ..reply.evidence });
    let mut evidence: Vec<VersionEvidence> =
        of_others.chain([own_evidence(hub, service, false)]).collect();
    let is_ambiguous = 1 < stream_versions::all_versions(&evidence).len();
    let mut is_confirmed = false;
    if records.is_empty() && !is_ambiguous {
        is_confirmed = store_confirmation::confirm(hub).await;
        // The read may also have shown that the history has a gap.
        evidence.pop();
        evidence.push(own_evidence(hub, service, is_confirmed));
    }
    let version = stream_versions::resolve(&records, &evidence, is_majority);
    let source = match (version, records.is_empty()) {
        (None, _) => Source::Unknown,
        (Some(_), false) => Source::Asked,
        (Some(_), true) => Source::OnlyVersion,
    };
    let complete = evidence.iter().filter(|evidence| evidence.is_complete).count();
    let is_single = stream_versions::all_versions(&evidence).len() <= 1;
    let may_be_known_later = version.is_none() && records.is_empty() && is_single && 0 < complete;
    let asked = boxes.len();
    Finding {
        version,
        source,
        asked,
        replied,
        complete,
        is_confirmed,
        may_be_known_later,
        ..unasked
    }
}

/// Asks boxes which version began a stream.
async fn ask(
    hub: &Hub,
    boxes: &[IpAddr],
    stream: Option<StreamId>,
    service: &ServiceName,
) -> BTreeMap<IpAddr, StreamReply> {
    let id = hub.stream_versions().next_query();
    let (tx, rx) = mpsc::unbounded_channel();
    hub.stream_versions().queries(|queries| _ = queries.pending.insert(id, tx));
    let pending = PendingQuery { hub, id, rx };
    let message = Message::StreamQuery(StreamQuery { query: id, stream, service: service.clone() });
    pending.ask(boxes, &message).await
}

/// A query that awaits replies until it is dropped.
struct PendingQuery<'a> {
    hub: &'a Hub,
    id: u64,
    rx: mpsc::UnboundedReceiver<(IpAddr, StreamReply)>,
}

impl PendingQuery<'_> {
    /// Asks boxes until all have replied, one of them has a record, or the time is up.
    async fn ask(mut self, boxes: &[IpAddr], message: &Message) -> BTreeMap<IpAddr, StreamReply> {
        let mut replies = BTreeMap::new();
        for _ in 0..QUERY_ATTEMPTS {
            let missing = boxes.iter().filter(|ip| !replies.contains_key(*ip));
            missing.for_each(|ip| _ = self.hub.peers().send_now(*ip, message));
            let timeout_at = Instant::now() + REPLY_TIMEOUT;
            while replies.len() < boxes.len() {
                let received = tokio::time::timeout_at(timeout_at, self.rx.recv()).await;
                let Ok(Some((from, reply))) = received else { break };
                let has_record = reply.record.is_some();
                replies.insert(from, reply);
                if has_record {
                    return replies;
                }
            }
        }
        replies
    }
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        self.hub.stream_versions().queries(|queries| _ = queries.pending.remove(&self.id));
    }
}

fn recorded(hub: &Hub, stream: StreamId) -> Option<StreamRecord> {
    let now = hub.now();
    hub.stream_versions().with(|inner| inner.records.get(stream, now))
}

/// What this box knows of a stream without a record. `is_current` if it misses no version that the
/// store listed before the request arrived.
fn own_evidence(hub: &Hub, service: &ServiceName, is_current: bool) -> VersionEvidence {
    let now = hub.now();
    let listed: BTreeSet<VersionName> =
        hub.read(|view| view.registry().versions(service).cloned().collect());
    hub.stream_versions().with(|inner| {
        let versions = inner.history.of_service(service, now);
        let id = |version: &VersionName| VersionId::new(service, version);
        VersionEvidence {
            versions: versions.iter().chain(&listed).map(id).collect(),
            is_complete: inner.history.is_complete(now),
            is_current,
        }
    })
}

/// Loads the records and versions that this box lacks after a restart, and each time that its
/// history has a gap, until the process ends: from another box, and the versions also from the
/// store, since all boxes may have restarted at once.
pub async fn load(hub: Arc<Hub>, store: Arc<dyn VersionStore>, is_first_start: bool) {
    if is_first_start {
        // No stream has begun before.
        hub.stream_versions().with(|inner| inner.history.set_complete());
        hub.stream_versions().gap_noted.notified().await;
    }
    loop {
        hub.stream_versions().with(|inner| inner.is_loading = true);
        load_until_complete(&hub, &*store).await;
        hub.stream_versions().with(|inner| inner.is_loading = false);
        hub.stream_versions().gap_noted.notified().await;
        info!(hub.log(), "versions of services may have been missed");
    }
}

async fn load_until_complete(hub: &Hub, store: &dyn VersionStore) {
    let mut is_loaded = false;
    for attempt in 0..LOAD_ATTEMPTS_MAX {
        let is_fetched = fetch_from_box(hub).await;
        if !is_loaded && hub.peers().is_store_due() {
            is_loaded = load_from_store(hub, store).await;
        }
        let is_complete = hub.stream_versions().with(|inner| inner.history.is_complete(hub.now()));
        if is_complete && (is_fetched || LONE_ATTEMPTS <= attempt) {
            return;
        }
        tokio::time::sleep(LOAD_INTERVAL).await;
    }
}

async fn fetch_from_box(hub: &Hub) -> bool {
    let Some(addr) = hub.peers().any_box() else { return false };
    let report = match box_api::fetch_stream_versions(addr).await {
        Ok(report) => report,
        Err(e) => {
            debug!(hub.log(), "could not fetch versions of streams from box"; "addr" => %addr,
                "error" => %e);
            return false;
        }
    };
    info!(hub.log(), "versions of streams fetched"; "addr" => %addr,
        "records" => report.records.len(), "is_complete" => report.is_complete);
    handle_records(hub, &report.records);
    note_versions(hub, &report.history, report.is_complete);
    true
}

async fn load_from_store(hub: &Hub, store: &dyn VersionStore) -> bool {
    let all = match store.load_all().await {
        Ok(all) => all,
        Err(e) => {
            info!(hub.log(), "versions of services not loaded"; "error" => %e);
            return false;
        }
    };
    let mut history: BTreeMap<ServiceName, BTreeSet<VersionName>> = BTreeMap::new();
    for (service, version) in &all {
        history.entry(service.clone()).or_default().insert(version.clone());
    }
    info!(hub.log(), "versions of services loaded"; "count" => all.len());
    hub.stream_versions().with(|inner| inner.saved.extend(all));
    note_versions(hub, &history, true);
    true
}

/// Notes a version that another box reports as listed.
pub fn note_version(hub: &Hub, service: &ServiceName, version: &VersionName) {
    let now = hub.now();
    hub.stream_versions().with(|inner| inner.history.note(service, version, now));
}

fn note_versions(
    hub: &Hub,
    history: &BTreeMap<ServiceName, BTreeSet<VersionName>>,
    is_complete: bool,
) {
    let now = hub.now();
    hub.stream_versions().with(|inner| {
        for (service, versions) in history {
            versions.iter().for_each(|version| inner.history.note(service, version, now));
        }
        if is_complete {
            inner.history.set_complete();
        }
    });
}

/// Keeps the versions of all services in the store, until the process ends. One box does so for all.
/// Also the only version of a service is kept: it may be replaced and all boxes restart before two
/// versions are written.
pub async fn save(hub: Arc<Hub>, store: Arc<dyn VersionStore>) {
    let mut is_saving = false;
    loop {
        tokio::time::sleep(SAVE_INTERVAL).await;
        if !hub.read(|view| view.reaches_store()) || !hub.peers().is_first_with_store() {
            is_saving = false;
            continue;
        }
        if !std::mem::replace(&mut is_saving, true) {
            // Another box may have deleted versions meanwhile.
            hub.stream_versions().save_again();
        }
        // A box that was suspended may have let its history lapse.
        refresh(&hub);
        let now = hub.now();
        let (due, obsolete) = hub.stream_versions().with(|inner| {
            let versions = inner.history.all(now);
            let wanted: BTreeSet<(ServiceName, VersionName)> = versions
                .into_iter()
                .flat_map(|(s, versions)| versions.into_iter().map(move |v| (s.clone(), v)))
                .collect();
            let due: Vec<_> = wanted.difference(&inner.written).cloned().collect();
            let obsolete: Vec<_> = inner.saved.difference(&wanted).cloned().collect();
            (due, obsolete)
        });
        for entry in due {
            match store.save(&entry.0, &entry.1).await {
                Ok(()) => hub.stream_versions().with(|inner| {
                    inner.saved.insert(entry.clone());
                    inner.written.insert(entry);
                }),
                Err(e) => info!(hub.log(), "version of a service not saved"; "error" => %e),
            }
        }
        for entry in obsolete {
            match store.delete(&entry.0, &entry.1).await {
                Ok(()) => hub.stream_versions().with(|inner| {
                    inner.saved.remove(&entry);
                    inner.written.remove(&entry);
                }),
                Err(e) => debug!(hub.log(), "version of a service not deleted"; "error" => %e),
            }
        }
    }
}
