//! Cost of placing one request on a group of engines, with and without announced free capacity.
//! `cargo bench --bench headroom`.

use std::net::IpAddr;
use std::time::Duration;

use frostdyke::fleet::headroom::GroupHeadroom;
use frostdyke::fleet::headroom::HeadroomTable;
use frostdyke::fleet::headroom::sequence::Origin;
use frostdyke::fleet::headroom::sequence::SequenceNumber;
use frostdyke::fleet::owners::Candidate;
use frostdyke::fleet::owners::EngineGroup;
use frostdyke::fleet::owners::OwnerTable;
use frostdyke::fleet::rollout::VersionFilter;
use frostdyke::names::ServiceName;
use frostdyke::names::UpstreamName;
use frostdyke::names::VersionName;
use frostdyke::names::ZoneName;
use frostdyke::placement::admit;
use frostdyke::placement::admit::Obstacle;
use frostdyke::placement::admit::PlacementQuery;
use frostdyke::placement::admit::Purpose;
use frostdyke::placement::cold::Role;
use frostdyke::placement::redirect;
use frostdyke::placement::redirect::Alternatives;
use frostdyke::placement::registry::UpstreamRegistry;
use frostdyke::placement::share::Shares;
use frostdyke::placement::tuning::SmallBatch;
use frostdyke::placement::tuning::Tuning;
use frostdyke::proxy::adapter::Prompt;
use frostdyke::proxy::adapter::PromptPart;
use frostdyke::proxy::adapter::UpstreamListing;
use frostdyke::proxy::routing_table::EngineLimits;
use frostdyke::proxy::routing_table::Rank;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const LIMITS: EngineLimits =
    EngineLimits { slots: 16, memory_tokens: 545_000, copied_per_s: 400_000, cold: None };

fn main() {
    divan::main();
}

struct Setup {
    registry: UpstreamRegistry,
    shares: Shares,
    owners: OwnerTable,
    table: HeadroomTable,
    request: u64,
    rng: SmallRng,
}

impl Setup {
    fn new(engines: usize) -> Setup {
        let small_batch = SmallBatch { slots_max: 16, headroom: true, ..SmallBatch::default() };
        let tuning = Tuning { small_batch, ..Tuning::default() };
        let mut registry = UpstreamRegistry::new(ZoneName::from("zone-0"), tuning);
        for n in 0..engines {
            let listed = UpstreamListing {
                name: UpstreamName::from(&*format!("engine-{n}")),
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
        let candidate = |n: usize| Candidate {
            ip: [10, 0, 0, n as u8].into(),
            zone: ZoneName::from("zone-0"),
            cores: 1.0,
        };
        let boxes: Vec<Candidate> = (0..69).map(candidate).collect();
        let owners = OwnerTable::new(&boxes, engines);
        let mut table = HeadroomTable::default();
        for ip in owners.owner_boxes() {
            for (group, _) in owners.groups_of(ip).filter(|(_, o)| o.owner == ip) {
                let service = ServiceName::from("llm");
                let entry = GroupHeadroom { group, service, requests: 9, wait_ms: 0 };
                let origin = Origin { from: ip, sequence: SequenceNumber::default() };
                let applied = table.apply(&entry, origin, &owners, Duration::from_secs(1));
                applied.expect("it is valid");
            }
        }
        let (shares, rng) = (Shares::new(Duration::from_secs(4)), SmallRng::seed_from_u64(1));
        Setup { registry, shares, owners, table, request: 0, rng }
    }

    /// Places a request and withdraws it.
    fn place(&mut self, has_headroom: bool) {
        self.request += 1;
        let (request, now) = (self.request, Duration::from_secs(1));
        let parts = vec![
            PromptPart { id: request % 50, tokens: 4_000 },
            PromptPart { id: 1_000 + request, tokens: 2_000 },
        ];
        let prompt = Prompt { tokens: 6_000, output_tokens_max: 100, parts };
        let query = PlacementQuery {
            connected: &[],
            is_repeatable: true,
            rank: Rank::default(),
            request,
            service: "llm",
            prompt: &prompt,
            workspace: None,
            excluded: &[],
            version_filter: VersionFilter::Any,
            target_latency: Duration::from_millis(900),
            waited: Duration::ZERO,
            group: None,
            zone: None,
            sender: None,
            source: None,
            purpose: Purpose::Place,
            is_last_group: false,
            role: Role::Owner,
        };
        let (registry, owners) = (&mut self.registry, &self.owners);
        let group = redirect::group_by_hash(registry, owners, &query, &[], false);
        let query = PlacementQuery { group, ..query };
        let (table, rng) = (&mut self.table, &mut self.rng);
        let redirect = |registry: &UpstreamRegistry,
                        obstacle: Obstacle<'_>|
         -> Option<EngineGroup> {
            let is_unresponsive = &|_: IpAddr| false;
            let mut alternatives = Alternatives { headroom: table, owners, is_unresponsive, rng };
            has_headroom.then(|| alternatives.claim(registry, &query, obstacle, now))?
        };
        let result = admit::admit_or_redirect(registry, &mut self.shares, query, now, redirect);
        divan::black_box(result.is_ok());
        self.registry.withdraw(request, now);
    }
}

#[divan::bench(args = [140, 10_000])]
fn without(bencher: divan::Bencher, engines: usize) {
    let mut setup = Setup::new(engines);
    bencher.bench_local(|| setup.place(false));
}

#[divan::bench(args = [140, 10_000])]
fn with(bencher: divan::Bencher, engines: usize) {
    let mut setup = Setup::new(engines);
    bencher.bench_local(|| setup.place(true));
}
