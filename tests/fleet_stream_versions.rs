//! Which version began a stream, by the records and the versions that boxes know.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use frostdyke::fleet::revision::Revision;
use frostdyke::fleet::rollout::VersionFilter;
use frostdyke::fleet::stream_versions;
use frostdyke::fleet::stream_versions::RECORD_TTL_MAX;
use frostdyke::fleet::stream_versions::RECORDS_MAX;
use frostdyke::fleet::stream_versions::RecentMax;
use frostdyke::fleet::stream_versions::StreamId;
use frostdyke::fleet::stream_versions::StreamRecord;
use frostdyke::fleet::stream_versions::StreamRecords;
use frostdyke::fleet::stream_versions::VERSION_RETENTION;
use frostdyke::fleet::stream_versions::VersionEvidence;
use frostdyke::fleet::stream_versions::VersionHistory;
use frostdyke::fleet::stream_versions::VersionId;
use frostdyke::names::ServiceName;
use frostdyke::names::UpstreamName;
use frostdyke::names::VersionName;
use frostdyke::names::WorkspaceName;
use frostdyke::names::ZoneName;
use frostdyke::placement::registry::UpstreamRegistry;
use frostdyke::placement::tuning::Tuning;
use frostdyke::proxy::adapter::UpstreamListing;
use frostdyke::proxy::adapter::VersionChanges;
use frostdyke::proxy::message::Message;
use frostdyke::proxy::stream_versions::StreamVersions;
use proptest::prelude::*;

const TTL_MS: u32 = 20_000;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn service() -> ServiceName {
    ServiceName::from("llm")
}

fn version(name: &str) -> Option<VersionId> {
    Some(VersionId::new("llm", name))
}

fn stream(attempt: &str) -> StreamId {
    StreamId::new(Some(&WorkspaceName::from("w")), attempt).expect("an id")
}

fn record(attempt: &str, name: &str) -> StreamRecord {
    StreamRecord { stream: stream(attempt), version: version(name), ttl_ms: TTL_MS }
}

fn evidence(versions: &[&str], is_complete: bool, is_current: bool) -> VersionEvidence {
    let versions = versions.iter().filter_map(|name| version(name)).collect();
    VersionEvidence { versions, is_complete, is_current }
}

/// Guards against a caller that takes up, or claims, the stream of another workspace, and against
/// attempts without an id that share one record.
#[test]
fn streams_are_told_apart_by_workspace_and_attempt() {
    let of = |workspace: &str| StreamId::new(Some(&WorkspaceName::from(workspace)), "a");
    assert_ne!(of("w"), of("x"));
    assert_ne!(of("w"), StreamId::new(None, "a"));
    assert_ne!(stream("a"), stream("b"));
    assert_eq!(StreamId::new(Some(&WorkspaceName::from("w")), ""), None);
    let long = "a".repeat(16_000);
    assert_ne!(stream(&long), stream(&long[1..]));
}

/// Guards against a route that was moved: another service's software of the same name is another
/// version.
#[test]
fn versions_are_told_apart_by_service() {
    assert_ne!(VersionId::new("llm", "v1"), VersionId::new("chat", "v1"));
}

/// Guards against a chain of attempts in which the first one's record expires while a later one
/// runs.
#[test]
fn each_attempt_extends_the_record() {
    let mut records = StreamRecords::default();
    records.merge(&record("a", "v1"), at(0));
    records.merge(&record("a", "v1"), at(15_000));
    records.expire(at(30_000));
    assert_eq!(records.get(stream("a"), at(30_000)).and_then(|r| r.version), version("v1"));
    records.expire(at(35_000));
    assert_eq!(records.get(stream("a"), at(35_000)), None);
    assert!(records.is_empty());
}

/// Guards against a guess between two streams whose callers use the same id.
#[test]
fn an_id_that_is_used_for_two_versions_stands_for_none() {
    let mut records = StreamRecords::default();
    records.merge(&record("a", "v1"), at(0));
    records.merge(&record("a", "v2"), at(1));
    records.merge(&record("a", "v1"), at(2));
    assert_eq!(records.get(stream("a"), at(3)).map(|r| r.version), Some(None));
}

/// Guards against records that live as long as a caller says.
#[test]
fn a_record_lives_no_longer_than_any_response() {
    let mut records = StreamRecords::default();
    records.merge(&StreamRecord { ttl_ms: u32::MAX, ..record("a", "v1") }, at(0));
    assert_eq!(records.get(stream("a"), RECORD_TTL_MAX), None);
}

/// Guards against memory that grows with the callers' attempts.
#[test]
fn the_number_of_records_is_bounded() {
    let mut records = StreamRecords::default();
    let count = RECORDS_MAX as u64 + 1000;
    for n in 0..count {
        records.merge(&record(&n.to_string(), "v1"), at(n));
    }
    assert_eq!((records.len(), records.evicted()), (RECORDS_MAX, 1000));
    assert_eq!(records.get(stream("0"), at(count)), None);
    assert!(records.get(stream(&(count - 1).to_string()), at(count)).is_some());
}

/// Guards against streams of the time before the second version appeared, of which only their box
/// has a record.
#[test]
fn own_records_are_announced_once() {
    let mut records = StreamRecords::default();
    records.record_own(&service(), record("a", "v1"), at(0));
    records.record_own(&ServiceName::from("chat"), record("b", "v1"), at(0));
    records.merge(&record("c", "v1"), at(0));
    let announced = records.take_unannounced("llm", at(1));
    assert_eq!(announced.iter().map(|r| r.stream).collect::<Vec<_>>(), [stream("a")]);
    assert_eq!(records.take_unannounced("llm", at(1)), []);
    assert_eq!(records.take_unannounced("chat", at(1)).len(), 1);
    // A later attempt extends the record, so it is announced again.
    records.record_own(&service(), record("a", "v1"), at(2));
    assert_eq!(records.take_unannounced("llm", at(3)).len(), 1);
    // One that has expired isn't.
    records.record_own(&service(), record("d", "v1"), at(4));
    records.expire(at(60_000));
    assert_eq!(records.take_unannounced("llm", at(60_000)), []);
}

/// Guards against a version that is forgotten while callers may return to its streams.
#[test]
fn a_version_counts_for_a_while_after_it_was_listed() {
    let mut history = VersionHistory::default();
    let (v1, v2) = (VersionName::from("v1"), VersionName::from("v2"));
    history.note(&service(), &v1, at(0));
    history.note(&service(), &v2, at(1000));
    history.expire(at(1000));
    assert_eq!(history.of_service("llm", at(1000)).len(), 2);
    assert_eq!(history.ambiguous(at(1000)).len(), 1);
    history.expire(VERSION_RETENTION);
    assert_eq!(history.of_service("llm", VERSION_RETENTION), BTreeSet::from([v2]));
    assert!(history.ambiguous(VERSION_RETENTION).is_empty());
}

/// Guards against a box that has just started and takes the versions that it sees for all.
#[test]
fn a_history_is_complete_only_after_a_while_or_if_it_was_loaded() {
    let mut history = VersionHistory::default();
    assert!(!history.is_complete(at(0)));
    assert!(history.is_complete(VERSION_RETENTION));
    history.set_complete();
    assert!(history.is_complete(at(0)));
}

/// Guards against a history that counts as complete although changes were missed.
#[test]
fn a_history_with_a_gap_is_complete_again_after_a_while_or_if_it_was_loaded() {
    let mut history = VersionHistory::default();
    history.set_complete();
    let gap = VERSION_RETENTION + at(5000);
    history.note_gap(gap);
    assert!(!history.is_complete(gap));
    assert!(!history.is_complete(gap + VERSION_RETENTION - at(1)));
    assert!(history.is_complete(gap + VERSION_RETENTION));
    history.note_gap(gap);
    history.set_complete();
    assert!(history.is_complete(gap));
}

/// Guards against a history that counts as complete by the uptime of a box that could not read the store.
#[test]
fn a_history_counts_from_the_first_read_of_the_store() {
    let versions = StreamVersions::default();
    let read = at(10_000) + VERSION_RETENTION;
    versions.record_read(&listed_up_to(10), Revision::default(), read);
    assert!(!versions.report(read + VERSION_RETENTION - at(1)).is_complete);
    assert!(versions.report(read + VERSION_RETENTION).is_complete);
}

/// Guards against a list that doesn't continue from what a box knew, and is taken for all that there
/// was: the box takes a watch over, or it followed others and the store has forgotten its changes.
#[test]
fn a_list_after_a_while_without_a_watch_is_a_gap() {
    let versions = StreamVersions::default();
    versions.record_read(&listed_up_to(10), Revision::default(), at(0));
    let since = Some(Revision::new(0, 10));
    let changes = VersionChanges { versions: Vec::new(), since, up_to: Revision::new(0, 12) };
    versions.record_read(&changes, Revision::new(0, 10), at(1000));
    versions.record_watch_stopped();
    let now = VERSION_RETENTION + at(5000);
    assert!(versions.report(now).is_complete);
    versions.record_read(&listed_up_to(20), Revision::new(0, 20), now);
    assert!(versions.report(now).is_complete, "the list was known");
    versions.record_watch_stopped();
    versions.record_read(&listed_up_to(30), Revision::new(0, 25), now);
    assert!(!versions.report(now).is_complete);
}

fn listed_up_to(number: u64) -> VersionChanges {
    VersionChanges { versions: Vec::new(), since: None, up_to: Revision::new(0, number) }
}

/// Guards against a part of the fleet that takes itself for most boxes, since it has forgotten those
/// from which it is cut off.
#[test]
fn boxes_that_were_known_lately_count_as_boxes() {
    let mut size = RecentMax::default();
    size.record(9, at(0));
    let mut now = at(0);
    while now < VERSION_RETENTION {
        size.record(3, now);
        assert_eq!(size.max(), 9, "{now:?}");
        now += at(1000);
    }
    size.record(3, 2 * VERSION_RETENTION);
    size.record(3, 3 * VERSION_RETENTION);
    assert_eq!(size.max(), 3);
}

/// Guards against a record that is overruled by what is listed.
#[test]
fn a_record_decides_whatever_versions_are_known() {
    let known = [evidence(&["v2"], true, true)];
    assert_eq!(stream_versions::resolve(&[version("v1")], &known, true), version("v1"));
    assert_eq!(stream_versions::resolve(&[version("v1"); 2], &known, true), version("v1"));
    assert_eq!(stream_versions::resolve(&[version("v1"), version("v2")], &known, true), None);
    assert_eq!(stream_versions::resolve(&[None], &known, true), None);
}

/// Guards against guesses without a record: by a box that has just started, one that is cut off
/// from the store, and one that doesn't list what others do.
#[test]
fn without_a_record_only_a_single_version_decides() {
    let resolve = |known: &[VersionEvidence]| stream_versions::resolve(&[], known, false);
    let sure = evidence(&["v1"], true, true);
    assert_eq!(resolve(std::slice::from_ref(&sure)), version("v1"));
    assert_eq!(resolve(&[evidence(&["v1"], false, true)]), None);
    assert_eq!(resolve(&[evidence(&["v1"], true, false)]), None);
    assert_eq!(resolve(&[evidence(&["v1", "v2"], true, true)]), None);
    assert_eq!(resolve(&[sure.clone(), evidence(&["v2"], false, false)]), None);
    // A box that has just started learns from one that has the whole history.
    assert_eq!(resolve(&[evidence(&["v1"], false, true), sure.clone()]), version("v1"));
    assert_eq!(resolve(&[evidence(&[], true, true)]), None);
    assert_eq!(resolve(&[]), None);
    // No box reaches the store, and most boxes have replied.
    let known = [evidence(&["v1"], true, false)];
    assert_eq!(stream_versions::resolve(&[], &known, true), version("v1"));
}

proptest! {
    /// Guards against streams that go on at a version that didn't begin them, whatever boxes are
    /// asked: any box either has the record, or knows the version that began the stream and another
    /// one, or can't be sure.
    #[test]
    fn no_combination_of_truthful_replies_gives_another_version(
        replies in prop::collection::vec((0..4_u8, any::<bool>()), 0..6),
        is_majority: bool,
    ) {
        let mut records = Vec::new();
        let mut known = Vec::new();
        for (kind, is_current) in replies {
            match kind {
                0 => records.push(version("v1")),
                1 => records.push(None),
                2 => known.push(evidence(&["v1", "v2"], true, is_current)),
                // It has started after v1 was gone.
                _ => known.push(evidence(&["v2"], false, is_current)),
            }
        }
        let found = stream_versions::resolve(&records, &known, is_majority);
        prop_assert!(found.is_none() || found == version("v1"));
    }
}

/// Guards against a version that was listed after the last read of one box and before the start of
/// another: neither has noted it.
#[test]
fn a_complete_history_and_a_current_list_of_two_boxes_are_no_proof() {
    let cut_off = evidence(&["v1"], true, false);
    let just_started = evidence(&["v1"], false, true);
    let known = [cut_off, just_started.clone()];
    assert_eq!(stream_versions::resolve(&[], &known, false), None);
    let sure = evidence(&["v1"], true, true);
    assert_eq!(stream_versions::resolve(&[], &[sure, just_started], false), version("v1"));
}

/// A fleet of which each box has read the store up to some time. Engines of v2 write their entries
/// at zero.
struct Fleet {
    boxes: Vec<IpAddr>,
    /// Whether each box has read the store since then.
    has_read: Vec<bool>,
}

impl Fleet {
    /// What a box replies. It takes its list for current.
    fn reply(&self, ip: &IpAddr) -> VersionEvidence {
        let n = self.boxes.iter().position(|known| known == ip).expect("a box of the fleet");
        let versions: &[&str] = if self.has_read[n] { &["v1", "v2"] } else { &["v1"] };
        evidence(versions, true, false)
    }

    /// The version that the first box finds for a stream without a record, by the replies of the
    /// holders that can be reached and by a read of the store, if that succeeds.
    fn find(&self, stream: StreamId, cut_off: &BTreeSet<IpAddr>, reads: bool) -> Option<VersionId> {
        let zone = &self.boxes[..self.boxes.len() / 3];
        let asked = stream_versions::holders(stream, zone, &self.boxes);
        let replies = asked.iter().filter(|ip| !cut_off.contains(*ip) && **ip != self.boxes[0]);
        let mut known: Vec<VersionEvidence> = replies.map(|ip| self.reply(ip)).collect();
        let is_majority = self.boxes.len() < 2 * (known.len() + 1);
        let versions: &[&str] = if reads || self.has_read[0] { &["v1", "v2"] } else { &["v1"] };
        known.push(evidence(versions, true, reads));
        stream_versions::resolve(&[], &known, is_majority)
    }
}

/// Guards against a box that is out of step in a larger fleet: just the holders of the stream's
/// record are cut off, or they are as far behind as the box.
#[test]
fn a_box_out_of_step_finds_no_version_while_its_holders_are_cut_off() {
    for count in [64, 300, 985] {
        let boxes = boxes(count);
        for n in 0..50 {
            let stream = stream(&n.to_string());
            let holders = stream_versions::holders(stream, &boxes[..boxes.len() / 3], &boxes);
            for has_read in [false, true] {
                // All others have read the store, or none has.
                let mut fleet =
                    Fleet { has_read: vec![has_read; boxes.len()], boxes: boxes.clone() };
                fleet.has_read[0] = false;
                for cut_off in [holders.clone(), BTreeSet::new()] {
                    for reads in [false, true] {
                        let found = fleet.find(stream, &cut_off, reads);
                        assert_eq!(found, None, "{count} boxes, stream {n}, {cut_off:?}, {reads}");
                    }
                }
            }
        }
    }
}

/// Guards against needless refusals in a larger fleet: there is one version, and a read of the store
/// shows that, whether or not the holders reply.
#[test]
fn a_read_of_the_store_is_proof_while_the_holders_are_cut_off() {
    for replies in 0..4 {
        let mut known = vec![evidence(&["v1"], true, false); replies];
        assert_eq!(stream_versions::resolve(&[], &known, false), None);
        known.push(evidence(&["v1"], true, true));
        assert_eq!(stream_versions::resolve(&[], &known, false), version("v1"));
    }
}

fn boxes(count: u32) -> Vec<IpAddr> {
    (0..count).map(|n| IpAddr::V4(Ipv4Addr::from_bits(0x0a00_0000 + n))).collect()
}

/// Guards against records that die with their box in a large fleet: of the boxes that the sender has
/// chosen, all but one are dead.
#[test]
fn holders_are_found_again_after_boxes_died() {
    for count in [69, 300, 985] {
        let all = boxes(count);
        let zone = &all[..all.len() / 3];
        for n in 0..50 {
            let stream = stream(&n.to_string());
            let held_by = stream_versions::holders(stream, zone, &all);
            assert!((2..=4).contains(&held_by.len()), "{held_by:?}");
            for last in &held_by {
                let is_alive = |ip: &&IpAddr| *ip == last || !held_by.contains(*ip);
                let alive: Vec<IpAddr> = all.iter().filter(is_alive).copied().collect();
                let zone: Vec<IpAddr> = zone.iter().filter(is_alive).copied().collect();
                let asked = stream_versions::holders(stream, &zone, &alive);
                assert!(asked.contains(last), "{count} boxes, stream {n}: {last} isn't asked");
            }
        }
    }
}

/// Guards against traffic that grows with the fleet: a record is sent to four boxes at most. A box
/// that begins 35 streams a second sends less than half of the 18 KB/s that it may send in all.
#[test]
fn records_take_a_small_part_of_the_control_traffic() {
    const STREAMS_PER_S: usize = 35;
    const HOLDERS: usize = 4;
    const BUDGET_BYTES_PER_S: usize = 18_000;
    // Of IP and UDP.
    const HEADER_BYTES: usize = 28;
    let message = Message::StreamRecords(vec![record("9c41d07be2a35f68", "v1.2")]);
    let len = postcard::to_stdvec(&message).expect("it can be encoded").len() + HEADER_BYTES;
    assert!(STREAMS_PER_S * HOLDERS * len <= BUDGET_BYTES_PER_S / 2, "{len} bytes");
}

/// Guards against a late reply to a query of a box's earlier process that is taken for one to a
/// query of the next process.
#[test]
fn queries_of_two_processes_of_a_box_have_different_numbers() {
    const QUERIES: usize = 10_000;
    let ip = boxes(1)[0];
    let numbers = |incarnation| -> BTreeSet<u64> {
        let process = StreamVersions::new(ip, incarnation);
        (0..QUERIES).map(|_| process.next_query()).collect()
    };
    let (before, after) = (numbers(1_733_395_200_000), numbers(1_733_395_201_500));
    assert_eq!((before.len(), after.len()), (QUERIES, QUERIES));
    assert_eq!(before.intersection(&after).count(), 0);
}

fn registry(upstreams: &[(&str, &str)]) -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::new(ZoneName::from("a"), Tuning::default());
    upstreams.iter().for_each(|(name, version)| registry.upsert(listing(name, version), None));
    registry
}

fn listing(name: &str, version: &str) -> UpstreamListing {
    UpstreamListing {
        name: UpstreamName::from(name),
        service: service(),
        addr: "127.0.0.1:80".parse().expect("an address"),
        zone: ZoneName::from("a"),
        version: VersionName::from(version),
        slots: 4,
        started_at_ms: None,
        leaving: false,
        cold_for: None,
    }
}

fn only(name: &str) -> VersionFilter {
    VersionFilter::Only(VersionId::new("llm", name))
}

/// Guards against an owner that lists other versions than the sender: the sender checks the choice
/// by its own list, where the upstream may be missing or may have changed since it was chosen.
#[test]
fn a_choice_is_checked_against_the_list_of_the_sender() {
    let mut registry = registry(&[("e1", "v1"), ("e2", "v2")]);
    let allows = |registry: &UpstreamRegistry, name: &str| {
        registry.allows_version_filter(&UpstreamName::from(name), only("v1"))
    };
    assert!(allows(&registry, "e1"));
    assert!(!allows(&registry, "e2"));
    assert!(!allows(&registry, "unlisted"));
    assert!(registry.allows_version_filter(&UpstreamName::from("unlisted"), VersionFilter::Any));
    registry.upsert(listing("e1", "v2"), None);
    assert!(!allows(&registry, "e1"));
}

/// Guards against a version that seems to be there while its last upstream is draining, and against
/// counts that drift as entries change.
#[test]
fn versions_are_counted_as_entries_change() {
    let mut registry = registry(&[("e1", "v1"), ("e2", "v2"), ("e3", "v1")]);
    let versions = |registry: &UpstreamRegistry| -> Vec<String> {
        registry.versions("llm").map(ToString::to_string).collect()
    };
    assert_eq!(versions(&registry), ["v1", "v2"]);
    registry.upsert(listing("e1", "v3"), None);
    registry.mark_leaving(&UpstreamName::from("e3"));
    assert_eq!(versions(&registry), ["v1", "v2", "v3"]);
    assert!(!registry.accepts_version("llm", VersionId::new("llm", "v1")));
    assert!(registry.accepts_version("llm", VersionId::new("llm", "v3")));
    registry.remove(&UpstreamName::from("e3"));
    assert_eq!(versions(&registry), ["v2", "v3"]);
}
