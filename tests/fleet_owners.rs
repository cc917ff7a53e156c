//! Who owns the models of which engines, and who watches the store, in fleets of several sizes.

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

/// A fleet in five zones, of each of which one box in twelve has 0.5 of a core and the others have 0.12.
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
        assert!(owned.boxes().all(|ip| cores(ip) == 0.5), "small boxes stand still too often");
    }
}

/// Where a box dies, only its own groups go to others, and mostly to who has heard of them.
#[test]
fn a_death_moves_only_what_the_dead_one_owned() {
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
                assert!(new.boxes().any(|ip| Some(ip) == old.standby), "nobody knows the group");
            }
        }
    }
}

proptest! {
    /// The groups split the hashes among themselves, however many there are.
    #[test]
    fn a_hash_is_of_one_group(hash: u64, bits in 0u32..11) {
        let group = EngineGroup::from_hash(hash, bits);
        prop_assert!(group.contains(hash));
        let groups = (0..1u64 << bits).map(|n| EngineGroup::from_hash(n.checked_shl(64 - bits).unwrap_or(0), bits));
        prop_assert_eq!(groups.filter(|g| g.contains(hash)).count(), 1);
        prop_assert_eq!(group.to_string().parse::<EngineGroup>().ok(), Some(group));
    }
}

/// What a zone's boxes know of each other, and who of them watches.
struct Zone {
    boxes: Vec<(IpAddr, f64)>,
    /// Time since each said that it sees the store.
    saw: BTreeMap<IpAddr, Duration>,
}

impl Zone {
    fn new(count: usize) -> Zone {
        let boxes = (0..count).map(|n| (ip(n), if n < 3 { 0.5 } else { 0.12 })).collect();
        Zone { boxes, saw: BTreeMap::new() }
    }

    /// The first three said so long ago that they see the store.
    fn watchers_saw(&mut self, age: Duration) {
        self.saw.extend((0..3).map(|n| (ip(n), age)));
    }

    fn due(&self, age: Duration, is_first_start: bool) -> BTreeSet<IpAddr> {
        let is_due = |(me, cores): &(IpAddr, f64)| {
            let others = self.boxes.iter().filter(|(ip, _)| ip != me);
            let zone: Vec<ZoneBox> = others
                .map(|(ip, cores)| ZoneBox {
                    ip: *ip,
                    cores: *cores,
                    store_seen_ago: self.saw.get(ip).copied(),
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
        self.boxes.iter().filter(|b| is_due(b)).map(|(ip, _)| *ip).collect()
    }
}

const LONG: Duration = Duration::from_secs(60);

#[test]
fn three_boxes_of_a_zone_watch_the_store() {
    let mut zone = Zone::new(60);
    zone.watchers_saw(Duration::from_millis(200));
    assert_eq!(zone.due(LONG, false), (0..3).map(ip).collect());
}

#[test]
fn in_a_small_fleet_all_watch() {
    let zone = Zone::new(3);
    assert_eq!(zone.due(LONG, false).len(), 3);
}

/// The large boxes of a zone may be turned away by the store, or die together.
#[test]
fn others_step_in_one_by_one_when_nobody_sees_the_store() {
    let mut zone = Zone::new(60);
    let due = |zone: &mut Zone, ms: u64| {
        zone.watchers_saw(Duration::from_millis(ms));
        zone.due(LONG, false).len()
    };
    assert_eq!(due(&mut zone, 900), 3);
    assert_eq!(due(&mut zone, 1_000), 4);
    assert_eq!(due(&mut zone, 1_600), 6);
    assert!(due(&mut zone, 5_500) <= 20, "a store that is away is called by few");
    // One that has stepped in and is served stays and sends the others back.
    zone.saw.insert(ip(40), Duration::from_millis(100));
    assert_eq!(due(&mut zone, 5_500), 4);
    zone.watchers_saw(Duration::from_millis(100));
    assert_eq!(zone.due(LONG, false), (0..3).map(ip).collect());
}

#[test]
fn a_fleet_that_starts_meets_before_it_watches() {
    let zone = Zone::new(60);
    assert_eq!(zone.due(Duration::from_millis(500), true).len(), 0);
    assert_eq!(zone.due(Duration::from_millis(1_000), true).len(), 4);
}

/// Load: 300 boxes have been killed at once. They know each other before any of them has listed the upstreams.
#[test]
fn boxes_that_restart_together_leave_the_store_to_three_of_each_zone() {
    let alone = Zone::new(1);
    assert_eq!(alone.due(Duration::ZERO, false).len(), 1, "who knows nobody waits for nobody");
    let zone = Zone::new(60);
    let due = |ms: u64| zone.due(Duration::from_millis(ms), false);
    assert_eq!(due(100), (0..3).map(ip).collect());
    assert_eq!(due(900).len(), 3);
    assert_eq!(due(1_000).len(), 4, "others step in when none of them is served");
}
