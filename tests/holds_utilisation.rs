//! Capacity doesn't sit idle while work waits.

mod util;

use util::SECOND;
use util::backlogged;
use util::rig::Rig;
use util::rig::Setup;
use util::rig::Traffic;
use util::uneven_load;

fn assert_used(rig: &Rig, from: usize, least: f64) {
    let used = rig.outcome.utilisation(from..rig.outcome.slots.len());
    assert!(least <= used, "the utilisation is {used}");
}

/// All work comes in at one box of one zone; the engines of all zones are kept busy.
#[test]
fn all_engines_work_for_one_router() {
    let workspaces = vec![backlogged(&[0], 200)];
    let mut rig = Rig::new(Setup { workspaces, ..Setup::default() });
    rig.run_for(20 * SECOND);
    assert_used(&rig, 30, 0.98);
}

/// A zone without work of its own hears within milliseconds that work waits elsewhere.
#[test]
fn an_idle_zone_is_told_at_once() {
    let burst = Traffic { active: (10 * SECOND, 30 * SECOND), ..backlogged(&[0], 60) };
    let mut rig = Rig::new(Setup { workspaces: vec![burst], ..Setup::default() });
    rig.run_for(10 * SECOND + SECOND / 5);
    let (used, slots, _) = *rig.outcome.slots.last().expect("there are samples");
    assert!(slots * 8 / 10 <= used, "only {used} slots of {slots} are used");
}

#[test]
fn a_killed_dispatcher_leaves_no_slot_idle_for_long() {
    let mut rig = Rig::new(uneven_load());
    rig.run_for(10 * SECOND);
    let dispatcher = rig.dispatcher(0);
    rig.kill(dispatcher);
    rig.run_for(20 * SECOND);
    assert_used(&rig, 80, 0.95);
    assert_used(&rig, 200, 0.98);
}

/// Grants of a router that is gone for good are freed in the other zones, too.
#[test]
fn a_dead_router_holds_no_slots_elsewhere() {
    let mut rig = Rig::new(uneven_load());
    rig.run_for(10 * SECOND);
    rig.kill(0);
    rig.run_for(30 * SECOND);
    assert_used(&rig, 250, 0.98);
}

/// The other zones hear at once that a router is gone, and don't wait for their next check.
#[test]
fn a_killed_routers_slots_elsewhere_are_soon_free() {
    let mut rig = Rig::new(uneven_load());
    rig.run_for(12 * SECOND);
    let dispatcher = rig.dispatcher(0);
    rig.kill(dispatcher);
    rig.run_for(8 * SECOND);
    // From a second after the kill on, until the next checks would be due.
    assert_used(&rig, 130, 0.98);
}

#[test]
fn lost_messages_leak_no_slots() {
    let mut rig = Rig::new(uneven_load());
    // Each lost call takes two seconds to be noticed, four times as long as a request runs.
    rig.network.loss_rate = 0.01;
    rig.run_for(40 * SECOND);
    assert_used(&rig, 30, 0.9);
    rig.network.loss_rate = 0.0;
    rig.run_for(20 * SECOND);
    assert_used(&rig, 520, 0.98);
}

/// Pulls to a zone that is cut off don't hold the slots of the others.
#[test]
fn a_cut_leaves_the_other_zones_busy() {
    // Zone 1 has little work of its own, so it pulls much of it.
    let workspaces = vec![backlogged(&[0, 1], 60), backlogged(&[], 10)];
    let mut rig = Rig::new(Setup { workspaces, ..Setup::default() });
    rig.run_for(10 * SECOND);
    rig.network.isolated_zones.insert(1);
    rig.run_for(10 * SECOND);
    let two_thirds = 48;
    for &(used, _, _) in &rig.outcome.slots[115..200] {
        assert!(two_thirds * 9 / 10 <= used, "only {used} slots are used");
    }
}
