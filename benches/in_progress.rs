//! Cost of reports of requests in progress: one box that tracks 20,000 requests of 300 senders.
//! `cargo bench --bench in_progress`.

use std::net::IpAddr;
use std::time::Duration;

use frostdyke::fleet::in_progress::InProgressReport;
use frostdyke::fleet::in_progress::ShortId;
use frostdyke::fleet::in_progress::received::ReceivedReports;
use frostdyke::fleet::in_progress::table::OwnRequest;
use frostdyke::fleet::in_progress::table::RequestTable;
use frostdyke::fleet::owners::OwnerTable;
use frostdyke::names::ServiceName;
use frostdyke::names::UpstreamName;
use frostdyke::names::VersionName;
use frostdyke::names::ZoneName;
use frostdyke::placement::engine::Placement;
use frostdyke::placement::registry::UpstreamRegistry;
use frostdyke::placement::tuning::Tuning;
use frostdyke::proxy::adapter::Prompt;
use frostdyke::proxy::adapter::UpstreamListing;
use frostdyke::proxy::routing_table::EngineLimits;
use frostdyke::util;

const SENDERS: usize = 300;
const REQUESTS: usize = 20_000;
const LIMITS: EngineLimits =
    EngineLimits { slots: 1_000, memory_tokens: 50_000_000, copied_per_s: 400_000, cold: None };

/// Requests that a box which has lost their records asks for.
const UNKNOWN: usize = 66;

fn main() {
    divan::main();
}

fn ip(n: usize) -> IpAddr {
    [10, 0, (n / 250) as u8, (n % 250) as u8 + 1].into()
}

fn name(n: usize) -> UpstreamName {
    UpstreamName::from(&*format!("engine-{n}"))
}

fn request_id(n: usize) -> u64 {
    util::mix_bits(n as u64)
}

/// A registry with running requests, spread over all engines.
fn registry(engines: usize) -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::new(ZoneName::from("zone-0"), Tuning::default());
    for n in 0..engines {
        let listed = UpstreamListing {
            name: name(n),
            service: ServiceName::from("llm"),
            addr: ([10, 9, (n / 256) as u8, (n % 256) as u8], 80).into(),
            zone: ZoneName::from("zone-0"),
            version: VersionName::from("v1"),
            slots: LIMITS.slots,
            started_at_ms: None,
            leaving: false,
            cold_for: None,
        };
        registry.upsert(listed, Some(LIMITS));
    }
    let prompt = Prompt { tokens: 1_000, output_tokens_max: 100, parts: Vec::new() };
    for n in 0..REQUESTS {
        let placement = Placement {
            request: request_id(n),
            prompt: &prompt,
            prefill_tokens: 1_000,
            copied_tokens: 0,
            sender: Some(ip(n % SENDERS)),
            decided_by: None,
        };
        let (name, now) = (name(n * 7 % engines), Duration::from_secs(1));
        registry.place(&name, placement, now);
        registry.record_first_token(&name, request_id(n), None, now);
    }
    registry
}

fn report(sender: usize, sequence: u64) -> InProgressReport {
    let requests: Vec<ShortId> =
        (sender..REQUESTS).step_by(SENDERS).map(|n| ShortId::from(request_id(n))).collect();
    InProgressReport {
        incarnation: 1,
        sequence,
        min_age_ms: 250,
        part: 0,
        parts: 1,
        with_first_token: requests.len() as u16,
        requests,
    }
}

/// One report of one of the senders, each in its turn.
#[divan::bench(args = [140, 10_000])]
fn report_of_one_sender(bencher: divan::Bencher, engines: usize) {
    let mut registry = registry(engines);
    let (mut received, mut count) = (ReceivedReports::default(), 0);
    bencher.bench_local(|| {
        count += 1;
        let (sender, now) = (count % SENDERS, Duration::from_secs(2));
        let report = report(sender, count as u64);
        let listed = received.receive(ip(sender), &report, now).expect("it is in order");
        let reconciliation = registry.reconcile(Some(ip(sender)), &listed, now);
        assert_eq!((reconciliation.dropped, reconciliation.unknown.len()), (0, 0));
    });
}

/// A placement and its end, with the records of all others.
#[divan::bench(args = [140, 10_000])]
fn placement_and_end(bencher: divan::Bencher, engines: usize) {
    let mut registry = registry(engines);
    let prompt = Prompt { tokens: 1_000, output_tokens_max: 100, parts: Vec::new() };
    let (names, now): (Vec<_>, _) = ((0..engines).map(name).collect(), Duration::from_secs(2));
    let mut count = REQUESTS;
    bencher.bench_local(|| {
        count += 1;
        let (request, name) = (request_id(count), &names[count % engines]);
        let placement = Placement {
            request,
            prompt: &prompt,
            prefill_tokens: 1_000,
            copied_tokens: 0,
            sender: Some(ip(count % SENDERS)),
            decided_by: None,
        };
        registry.place(name, placement, now);
        registry.end_request(name, request, now);
    });
}

/// A question for the records of one box, at a sender with all requests.
#[divan::bench]
fn unknown_requests(bencher: divan::Bencher) {
    let mut table = RequestTable::new(ip(0), 1);
    let (owners, now) = (OwnerTable::default(), Duration::from_secs(1));
    for n in 0..REQUESTS {
        let request = OwnRequest {
            upstream: name(n % 140),
            owner_hash: 0,
            tokens: 1_100,
            cached_tokens: 0,
            prefill_tokens: 1_000,
        };
        table.begin(request_id(n), request, [ip(1)], &owners, now);
    }
    let ids: Vec<ShortId> = (0..UNKNOWN).map(|n| ShortId::from(request_id(n * 300))).collect();
    bencher.bench_local(|| assert_eq!(table.records_of(&ids, ip(1), now).len(), UNKNOWN));
}
