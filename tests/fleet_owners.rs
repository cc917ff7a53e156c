//! Which boxes own which engines, and which boxes watch the store, in fleets of several sizes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::time::Duration;

use frostdyke::fleet::owners::Candidate;
use frostdyke::fleet::owners::EngineGroup;
use frostdyke::fleet::owners::OwnerTable;
use frostdyke::fleet::store_watch;
use frostdyke::fleet::store_watch::WatchInputs;
use frostdyke::fleet::store_watch::ZoneBox;
use frostdyke::names::ZoneName;
use proptest::prelude::*;

fn ip(n: usize) -> IpAddr {
    IpAddr::from([10, 0, (n / 256) as u8, (n % 256) as u8])
}

/// Creates a fleet in five zones. One box in twelve of each zone may use 0.5 cores, the others
/// 0.12.
fn boxes(count: usize) -> Vec<Candidate> {
    let candidate = |n: usize| Candidate {
        ip: ip(n),
        zone: ZoneName::from(&*format!("zone-{}", n % 5)),
        cores: if (n / 5).is_multiple_of(12) { 0.5 } else { 0.12 },
    };
    (0..count).map(candidate).collect()
}

#[test]
fn a_small_fleet_has_no_owners() {
    assert!(OwnerTable::new(&boxes(9), 9).is_empty());
    assert!(!OwnerTable::new(&boxes(59), 140).is_empty());
}

#[test]
fn each_engine_has_an_owner_and_a_standby_of_another_zone() {
    let fleet = boxes(295);
    let owners = OwnerTable::new(&fleet, 320);
    let zone = |ip: IpAddr| fleet.iter().find(|b| b.ip == ip).map(|b| b.zone.clone());
    let cores = |ip: IpAddr| fleet.iter().find(|b| b.ip == ip).map_or(0.0, |b| b.cores);
    for n in 0..320u64 {
        let owned = owners.owners_of_hash(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)).expect("an owner");
        let standby = owned.standby.expect("a standby");
        assert_ne!(zone(owned.owner), zone(standby));
        assert!(
            owned.boxes().all(|ip| cores(ip) == 0.5),
            "small boxes are throttled too often to own groups"
        );
    }
}

/// When a box dies, only its own groups move, and their former standby remains an owner or standby.
#[test]
fn a_death_moves_only_the_groups_of_the_dead_box() {
    let fleet = boxes(295);
    let before = OwnerTable::new(&fleet, 320);
    for dead in before.all_boxes() {
        let left: Vec<Candidate> = fleet.iter().filter(|b| b.ip != dead).cloned().collect();
        let after = OwnerTable::new(&left, 320);
        for n in 0..32u64 {
            let hash = n << 59;
            let (old, new) = (before.owners_of_hash(hash), after.owners_of_hash(hash));
            let (old, new) = (old.expect("an owner"), new.expect("an owner"));
            if old.owner != dead {
                assert_eq!(old.owner, new.owner);
            }
            if old.owner == dead {
                assert!(
                    new.boxes().any(|ip| Some(ip) == old.standby),
                    "the former standby has no role in the group"
                );
            }
        }
    }
}

proptest! {
    /// Every hash belongs to exactly one group, however many groups there are.
    #[test]
    fn a_hash_belongs_to_one_group(hash: u64, bits in 0u32..11) {
        let group = EngineGroup::from_hash(hash, bits);
        prop_assert!(group.contains(hash));
        let groups = (0..1u64 << bits).map(|n| EngineGroup::from_hash(n.checked_shl(64 - bits).unwrap_or(0), bits));
        prop_assert_eq!(groups.filter(|g| g.contains(hash)).count(), 1);
        prop_assert_eq!(group.to_string().parse::<EngineGroup>().ok(), Some(group));
    }
}

/// The boxes of a zone and what they report about the store.
struct Zone {
    boxes: Vec<(IpAddr, f64)>,
    /// Time since each box last reported that it reaches the store.
    store_seen_ago: BTreeMap<IpAddr, Duration>,
}

impl Zone {
    fn new(count: usize) -> Zone {
        let boxes = (0..count).map(|n| (ip(n), if n < 3 { 0.5 } else { 0.12 })).collect();
        Zone { boxes, store_seen_ago: BTreeMap::new() }
    }

    /// Sets the time since the first three boxes reported that they reach the store.
    fn set_store_seen_ago(&mut self, age: Duration) {
        self.store_seen_ago.extend((0..3).map(|n| (ip(n), age)));
    }

    fn watchers(&self, age: Duration, is_first_start: bool) -> BTreeSet<IpAddr> {
        let watches = |(me, cores): &(IpAddr, f64)| {
            let others = self.boxes.iter().filter(|(ip, _)| ip != me);
            let zone: Vec<ZoneBox> = others
                .map(|(ip, cores)| ZoneBox {
                    ip: *ip,
                    cores: *cores,
                    store_seen_ago: self.store_seen_ago.get(ip).copied(),
                })
                .collect();
            store_watch::should_watch(WatchInputs {
                own_ip: *me,
                cores: *cores,
                zone_boxes: &zone,
                live_boxes: 5 * self.boxes.len(),
                uptime: age,
                is_first_start,
            })
        };
        self.boxes.iter().filter(|b| watches(b)).map(|(ip, _)| *ip).collect()
    }
}

const LONG_UPTIME: Duration = Duration::from_secs(60);

#[test]
fn three_boxes_of_a_zone_watch_the_store() {
    let mut zone = Zone::new(60);
    zone.set_store_seen_ago(Duration::from_millis(200));
    assert_eq!(zone.watchers(LONG_UPTIME, false), (0..3).map(ip).collect());
}

#[test]
fn all_boxes_of_a_small_fleet_watch_the_store() {
    let zone = Zone::new(3);
    assert_eq!(zone.watchers(LONG_UPTIME, false).len(), 3);
}

/// The large boxes of a zone may be rejected by the store, or die together.
#[test]
fn more_boxes_watch_one_by_one_while_none_reaches_the_store() {
    let mut zone = Zone::new(60);
    let watchers = |zone: &mut Zone, ms: u64| {
        zone.set_store_seen_ago(Duration::from_millis(ms));
        zone.watchers(LONG_UPTIME, false).len()
    };
    assert_eq!(watchers(&mut zone, 900), 3);
    assert_eq!(watchers(&mut zone, 1_000), 4);
    assert_eq!(watchers(&mut zone, 1_600), 6);
    assert!(watchers(&mut zone, 5_500) <= 20, "too many boxes call an unavailable store");
    // A box that has taken over and is served keeps watching, and the others stop.
    zone.store_seen_ago.insert(ip(40), Duration::from_millis(100));
    assert_eq!(watchers(&mut zone, 5_500), 4);
    zone.set_store_seen_ago(Duration::from_millis(100));
    assert_eq!(zone.watchers(LONG_UPTIME, false), (0..3).map(ip).collect());
}

#[test]
fn boxes_discover_each_other_before_they_watch_on_first_start() {
    let zone = Zone::new(60);
    assert_eq!(zone.watchers(Duration::from_millis(500), true).len(), 0);
    assert_eq!(zone.watchers(Duration::from_millis(1_000), true).len(), 4);
}

/// Load: 300 boxes have been killed at once. They know each other before any has listed the
/// upstreams.
#[test]
fn after_a_joint_restart_three_boxes_of_each_zone_watch() {
    let alone = Zone::new(1);
    assert_eq!(
        alone.watchers(Duration::ZERO, false).len(),
        1,
        "a box that knows no others does not wait"
    );
    let zone = Zone::new(60);
    let watchers = |ms: u64| zone.watchers(Duration::from_millis(ms), false);
    assert_eq!(watchers(100), (0..3).map(ip).collect());
    assert_eq!(watchers(900).len(), 3);
    assert_eq!(watchers(1_000).len(), 4, "others take over when none of them is served");
}
