//! Cost of placing a request as the list of engines grows. Load: fleets with 1,000, 10,000 and
//! 20,000 engines, in groups of about ten.
//!
//! Earlier, each request scanned the names of all engines for the home of its prompt, and the owner
//! scanned all again for those of its group: 20,000 comparisons a request with 10,000 engines,
//! which at a thousand boxes took more time than everything else together.

use std::net::SocketAddr;
use std::time::Duration;

use frostdyke::fleet::owners::Candidate;
use frostdyke::fleet::owners::EngineGroup;
use frostdyke::fleet::owners::OwnerTable;
use frostdyke::fleet::rollout::VersionFilter;
use frostdyke::names::ServiceName;
use frostdyke::names::UpstreamName;
use frostdyke::names::VersionName;
use frostdyke::names::ZoneName;
use frostdyke::placement::choice::SelectionCriteria;
use frostdyke::placement::registry::UpstreamRegistry;
use frostdyke::placement::tuning::Tuning;
use frostdyke::proxy::adapter::Prompt;
use frostdyke::proxy::adapter::PromptPart;
use frostdyke::proxy::adapter::UpstreamListing;
use frostdyke::proxy::routing_table::EngineLimits;

const ZONES: usize = 5;

const LIMITS: EngineLimits =
    EngineLimits { cold: None, slots: 16, memory_tokens: 460_000, copied_per_s: 1_000_000 };

fn listed(n: usize) -> UpstreamListing {
    let port = 1000 + (n % 50_000) as u16;
    UpstreamListing {
        name: UpstreamName::from(&*format!("i-{n:08x}")),
        service: ServiceName::from("llm"),
        addr: SocketAddr::from(([10, 0, (n / 50_000) as u8, 1], port)),
        zone: ZoneName::from(&*format!("zone-{}", n % ZONES)),
        version: VersionName::from("v1"),
        slots: 16,
        started_at_ms: None,
        leaving: false,
        cold_for: None,
    }
}

fn registry(engines: usize) -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::new(ZoneName::from("zone-0"), Tuning::default());
    (0..engines).for_each(|n| registry.upsert(listed(n), Some(LIMITS)));
    registry
}

fn prompt(n: u64) -> Prompt {
    let parts = vec![
        PromptPart { id: n * 7 + 1, tokens: 3_000 },
        PromptPart { id: n * 7 + 2, tokens: 500 },
    ];
    Prompt { tokens: 3_500, output_tokens_max: 100, parts }
}

fn boxes(count: usize) -> Vec<Candidate> {
    let candidate = |n: usize| Candidate {
        ip: [10, 0, (n / 256) as u8, (n % 256) as u8].into(),
        zone: ZoneName::from(&*format!("zone-{}", n % ZONES)),
        cores: if n < count / 20 { 1.0 } else { 0.12 },
    };
    (0..count).map(candidate).collect()
}

/// Upstreams examined per request: by its box, and by the owner of the group that it goes to.
fn examined_per_request(engines: usize) -> f64 {
    const REQUESTS: u64 = 200;
    let registry = registry(engines);
    let owners = OwnerTable::new(&boxes(engines / 10), engines);
    let before = registry.examined();
    for n in 0..REQUESTS {
        let prompt = prompt(n);
        let home =
            registry.home("llm", &prompt, VersionFilter::Any, None).expect("there are engines");
        let group = Some(owners.group(home));
        let any = SelectionCriteria::any("llm", Some(&prompt), &[], Duration::from_secs(1));
        let choice = registry.choose(SelectionCriteria { group, ..any }, Duration::ZERO);
        assert!(choice.is_ok());
    }
    (registry.examined() - before) as f64 / REQUESTS as f64
}

/// A scan of all engines per request would dominate the load of a large fleet.
#[test]
fn the_engines_examined_per_request_do_not_grow_with_the_fleet() {
    let [small, middle, large] = [1_000, 10_000, 20_000].map(examined_per_request);
    println!("{small} {middle} {large}");
    assert!(large <= 100.0, "{large} examined per request with 20,000 engines");
    assert!(middle <= small * 1.3 && large <= small * 1.3, "{small}, {middle}, {large}");
}

/// An owner examines all engines of a group, so groups must not grow with the fleet.
#[test]
fn groups_stay_at_about_ten_engines_with_twenty_thousand() {
    for engines in [1_000, 10_000, 20_000] {
        let registry = registry(engines);
        let owners = OwnerTable::new(&boxes(engines / 10), engines);
        let group = |listed: &UpstreamListing| {
            owners.group(frostdyke::placement::upstream::name_hash(&listed.name))
        };
        let most = registry.listed().map(|l| registry.engines_in_group(group(l)).count()).max();
        assert!(most.is_some_and(|most| most <= 40), "{most:?} of {engines} in a group");
    }
}

/// The engine that has cached a prompt's shared parts must stay the same from request to request,
/// also as a few engines are removed, and each engine must get its share of the prompts.
#[test]
fn prompts_spread_evenly_and_keep_their_home() {
    const PROMPTS: u64 = 20_000;
    let mut registry = registry(500);
    let home = |registry: &UpstreamRegistry, n| {
        registry.home("llm", &prompt(n), VersionFilter::Any, None).expect("there are")
    };
    let before: Vec<u64> = (0..PROMPTS).map(|n| home(&registry, n)).collect();
    let mut counts = std::collections::BTreeMap::<u64, usize>::new();
    before.iter().for_each(|hash| *counts.entry(*hash).or_default() += 1);
    let most = counts.values().copied().max().expect("there are");
    // Forty each, with a standard deviation of about six by chance alone.
    assert!(most <= 80 && 450 <= counts.len(), "{most} of {PROMPTS} at one of {}", counts.len());
    (0..5).for_each(|n| registry.remove(&listed(n).name));
    let moved = (0..PROMPTS).filter(|n| home(&registry, *n) != before[*n as usize]).count();
    assert!(moved <= PROMPTS as usize / 50, "{moved} moved as one engine in a hundred went");
}

/// An engine in no group would get no requests; one in two groups would have two owners.
#[test]
fn groups_partition_the_engines_by_hash() {
    let registry = registry(300);
    for bits in [0, 1, 5] {
        let all: usize = (0..1u64 << bits)
            .map(|n| {
                let group =
                    EngineGroup::from_hash(n.checked_shl(u64::BITS - bits).unwrap_or(0), bits);
                registry.engines_in_group(group).count()
            })
            .sum();
        assert_eq!(all, 300);
    }
}

/// Boxes compare these digests to find out whether their lists differ.
#[test]
fn digest_and_counts_follow_changes_of_the_list() {
    let mut one = registry(100);
    let mut other = registry(101);
    assert_ne!(one.digest(), other.digest());
    other.remove(&listed(100).name);
    assert_eq!(one.digest(), other.digest());
    one.mark_leaving(&listed(3).name);
    assert_ne!(one.digest(), other.digest());
    other.upsert(UpstreamListing { leaving: true, ..listed(3) }, Some(LIMITS));
    assert_eq!(one.digest(), other.digest());
    assert_eq!((one.engine_count(), other.engine_count()), (100, 100));
    assert!(one.has_addr(&listed(3).addr));
    one.remove(&listed(3).name);
    assert!(!one.has_addr(&listed(3).addr));
    assert_eq!(one.engine_count(), 99);
}
