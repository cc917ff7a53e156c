//! Evacuation of zones. Load: 300 boxes, of which a few watch the store and receive each change at
//! different times. Every tenth datagram is lost, and boxes start meanwhile. No network.

use std::collections::BTreeSet;
use std::time::Duration;

use frostdyke::fleet::evacuated::EvacuatedZones;
use frostdyke::fleet::evacuated::EvacuationOrder;
use frostdyke::fleet::revision::Revision;
use frostdyke::names::ServiceName;
use frostdyke::names::UpstreamName;
use frostdyke::names::VersionName;
use frostdyke::names::ZoneName;
use frostdyke::placement::choice::ChoiceError;
use frostdyke::placement::choice::SelectionCriteria;
use frostdyke::placement::cold::ColdLimits;
use frostdyke::placement::cold::Role;
use frostdyke::placement::registry::UpstreamRegistry;
use frostdyke::placement::tuning::Tuning;
use frostdyke::proxy::adapter::Prompt;
use frostdyke::proxy::adapter::PromptPart;
use frostdyke::proxy::adapter::UpstreamListing;
use frostdyke::proxy::routing_table::EngineLimits;
use frostdyke::proxy::routing_table::Limits;
use frostdyke::proxy::routing_table::RoutingTable;
use frostdyke::proxy::routing_table::Service;
use frostdyke::proxy::view::Change;
use frostdyke::proxy::view::View;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const BOXES: usize = 300;

/// Receivers of each heartbeat, and fraction of datagrams that are lost.
const FANOUT: usize = 3;
const LOST: f64 = 0.1;

/// Heartbeat intervals within which an order must reach all boxes by heartbeats alone: two thirds
/// of the 5 s that users allow. In practice it is faster, since watchers notify their zones at
/// once.
const HEARTBEATS_MAX: usize = 8;

fn zone(name: &str) -> ZoneName {
    ZoneName::from(name)
}

fn evacuated(revision: u64, zones: &[&str]) -> EvacuatedZones {
    EvacuatedZones {
        revision: Revision::new(1, revision),
        zones: zones.iter().map(|name| zone(name)).collect(),
    }
}

/// Returns the number of heartbeat intervals until all boxes know what some watchers know.
fn spread(watchers: usize, update: &EvacuatedZones, seed: u64) -> usize {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut known = vec![evacuated(700, &["b"]); BOXES];
    for n in 0..watchers {
        // Each watcher receives the change at a revision of its own.
        let revision = Revision::new(1, update.revision.number + n as u64);
        known[n * BOXES / watchers].merge(&EvacuatedZones { revision, ..update.clone() });
    }
    for heartbeat in 0.. {
        if known.iter().all(|k| k.zones == update.zones) {
            return heartbeat;
        }
        // One box has just restarted and knows nothing.
        known[rng.random_range(0..BOXES)] = EvacuatedZones::default();
        let before = known.clone();
        for sent in before {
            for _ in 0..FANOUT {
                let to = rng.random_range(0..BOXES);
                if !rng.random_bool(LOST) {
                    known[to].merge(&sent);
                }
            }
        }
    }
    unreachable!("the loop ends by a return")
}

#[test]
fn evacuation_and_revocation_soon_reach_all_boxes() {
    for seed in 0..50 {
        for update in [evacuated(900, &["a", "b"]), evacuated(900, &[])] {
            let heartbeats = spread(9, &update, seed);
            assert!(
                heartbeats <= HEARTBEATS_MAX,
                "{update:?}, seed {seed}: {heartbeats} heartbeats"
            );
        }
    }
}

#[test]
fn the_highest_revision_wins_also_for_a_revocation() {
    let mut known = evacuated(0, &[]);
    assert!(known.merge(&evacuated(10, &["a"])));
    assert!(!known.merge(&evacuated(12, &["a"])), "the same zones");
    assert!(known.merge(&evacuated(20, &[])));
    assert!(!known.merge(&evacuated(15, &["a"])), "older than the revocation");
    assert_eq!(known, evacuated(20, &[]));
}

/// One call to the store returns several orders.
#[test]
fn all_orders_of_one_call_are_applied() {
    let orders = [
        EvacuationOrder::Evacuate(zone("a")),
        EvacuationOrder::Evacuate(zone("c")),
        EvacuationOrder::Revoke(zone("b")),
    ];
    let mut known = evacuated(10, &["b"]);
    let after = known.with_orders(&orders, Revision::new(1, 11));
    assert!(known.merge(&after));
    assert_eq!(known, evacuated(11, &["a", "c"]));
}

/// Creates a view of two engines in two zones, whose load is limited after a start.
fn view() -> View {
    let mut view = View::new(UpstreamRegistry::new(zone("a"), Tuning::default()));
    let cold =
        ColdLimits { duration: Duration::from_secs(3), min_interval: Duration::from_millis(160) };
    let limits =
        EngineLimits { slots: 8, memory_tokens: 100_000, copied_per_s: 400_000, cold: Some(cold) };
    let service = Service { max_connections: 100, probe_path: String::new(), engine: Some(limits) };
    let services = [(ServiceName::from("llm"), service)].into();
    let table = RoutingTable::new(1, Vec::new(), services, None, Limits::default());
    view.configure(table.into(), Duration::ZERO);
    let listed = |n: u8, name: &str| UpstreamListing {
        name: UpstreamName::from(&*format!("e{n}")),
        service: ServiceName::from("llm"),
        addr: ([127, 0, 0, n], 80).into(),
        zone: zone(name),
        version: VersionName::from("v1"),
        slots: 8,
        started_at_ms: None,
        leaving: false,
        cold_for: Some(Duration::ZERO),
    };
    view.set_upstreams(vec![listed(1, "a"), listed(2, "b")], Duration::ZERO);
    view
}

fn choose(view: &View, role: Role, now: Duration) -> Result<String, ChoiceError> {
    let prompt = Prompt {
        tokens: 100,
        output_tokens_max: 10,
        parts: vec![PromptPart { id: 1, tokens: 100 }],
    };
    let wanted = SelectionCriteria {
        role,
        ..SelectionCriteria::any("llm", Some(&prompt), &[], Duration::MAX)
    };
    view.registry().choose(wanted, now).map(|choice| choice.upstream.as_str().to_owned())
}

#[test]
fn engines_of_an_evacuated_zone_receive_no_requests() {
    let (mut view, now) = (view(), Duration::from_secs(1));
    view.evacuate(&evacuated(5, &["a"]), now);
    assert!(view.take_changes().contains(&Change::Evacuated(evacuated(5, &["a"]))));
    assert_eq!(choose(&view, Role::Owner, now), Ok("e2".to_owned()));
    assert!(
        view.is_barred(&UpstreamName::from("e1")),
        "other boxes can't place requests there either"
    );
    assert!(!view.is_barred(&UpstreamName::from("e2")));
    view.evacuate(&evacuated(6, &["a", "b"]), now);
    assert_eq!(choose(&view, Role::Owner, now), Err(ChoiceError::NoUpstream), "refused at once");
}

#[test]
fn engines_are_cold_after_a_revocation() {
    let (mut view, now) = (view(), Duration::from_secs(1));
    view.evacuate(&evacuated(5, &["a", "b"]), now);
    view.evacuate(&evacuated(6, &["b"]), now);
    assert_eq!(choose(&view, Role::Unassigned, now), Err(ChoiceError::Full));
    assert_eq!(choose(&view, Role::Owner, now), Ok("e1".to_owned()));
    let later = now + Duration::from_millis(3_100);
    assert_eq!(choose(&view, Role::Unassigned, later), Ok("e1".to_owned()));
    assert_eq!(view.evacuated().zones, BTreeSet::from([zone("b")]));
}
