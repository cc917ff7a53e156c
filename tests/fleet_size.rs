//! What a request costs to place as the list of engines grows. Load: a fleet before 1,000, 10,000 and 20,000 engines, in groups
//! of about ten.
//!
//! Before, each request walked through the names of all engines for the one to which its prompt belongs, and the owner through
//! all of them once more for those of its group: 20,000 looks a request before 10,000 engines, at a thousand boxes more time
//! than all else together.

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

/// Upstreams looked at for a request: by its box, and by the owner of the group that it goes to.
fn looks(engines: usize) -> f64 {
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

#[test]
fn a_request_looks_at_as_many_engines_whatever_their_number() {
    let [small, middle, large] = [1_000, 10_000, 20_000].map(looks);
    println!("{small} {middle} {large}");
    assert!(large <= 100.0, "{large} looks a request before 20,000 engines");
    assert!(middle <= small * 1.3 && large <= small * 1.3, "{small}, {middle}, {large}");
}

#[test]
fn a_group_has_about_ten_engines_also_before_twenty_thousand() {
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

/// Load: what a prompt's shared parts are kept by is asked for again and again, so it must be the same engine, and each must
/// have its part of them.
#[test]
fn prompts_are_spread_evenly_and_stay_where_they_are() {
    const PROMPTS: u64 = 20_000;
    let mut registry = registry(500);
    let home = |registry: &UpstreamRegistry, n| {
        registry.home("llm", &prompt(n), VersionFilter::Any, None).expect("there are")
    };
    let before: Vec<u64> = (0..PROMPTS).map(|n| home(&registry, n)).collect();
    let mut counts = std::collections::BTreeMap::<u64, usize>::new();
    before.iter().for_each(|hash| *counts.entry(*hash).or_default() += 1);
    let most = counts.values().copied().max().expect("there are");
    // Forty each, with a spread of some six by chance alone.
    assert!(most <= 80 && 450 <= counts.len(), "{most} of {PROMPTS} at one of {}", counts.len());
    (0..5).for_each(|n| registry.remove(&listed(n).name));
    let moved = (0..PROMPTS).filter(|n| home(&registry, *n) != before[*n as usize]).count();
    assert!(moved <= PROMPTS as usize / 50, "{moved} moved as one engine in a hundred went");
}

#[test]
fn the_engines_of_a_group_are_those_whose_hashes_say_so() {
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

#[test]
fn what_is_told_of_a_list_follows_its_changes() {
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
