//! Invariant: slots don't stay idle while tickets wait.

mod util;

use util::SECOND;
use util::backlogged;
use util::rig::Rig;
use util::rig::Setup;
use util::rig::Traffic;
use util::uneven_load;

fn assert_utilisation(rig: &Rig, from: usize, least: f64) {
    let used = rig.outcome.utilisation(from..rig.outcome.slots.len());
    assert!(least <= used, "the utilisation is {used}");
}

/// Guards against idle engines in other zones when all requests arrive at one box.
#[test]
fn one_router_uses_the_engines_of_all_zones() {
    let workspaces = vec![backlogged(&[0], 200)];
    let mut rig = Rig::new(Setup { workspaces, ..Setup::default() });
    rig.run_for(20 * SECOND);
    assert_utilisation(&rig, 30, 0.98);
}

/// Guards against an idle zone learning of waiting tickets elsewhere only at the next regular
/// exchange; it must learn of them within milliseconds.
#[test]
fn an_idle_zone_pulls_waiting_tickets_at_once() {
    let burst = Traffic { active: (10 * SECOND, 30 * SECOND), ..backlogged(&[0], 60) };
    let mut rig = Rig::new(Setup { workspaces: vec![burst], ..Setup::default() });
    rig.run_for(10 * SECOND + SECOND / 5);
    let (used, slots, _) = *rig.outcome.slots.last().expect("there are samples");
    assert!(slots * 8 / 10 <= used, "only {used} slots of {slots} are used");
}

/// Guards against slots that stay idle, or counted as used, after a dispatcher is replaced.
#[test]
fn slots_are_used_again_soon_after_a_dispatcher_is_killed() {
    let mut rig = Rig::new(uneven_load());
    rig.run_for(10 * SECOND);
    let dispatcher = rig.dispatcher(0);
    rig.kill(dispatcher);
    rig.run_for(20 * SECOND);
    assert_utilisation(&rig, 80, 0.95);
    assert_utilisation(&rig, 200, 0.98);
}

/// Guards against grants that a dead router holds in other zones forever.
#[test]
fn slots_granted_to_a_dead_router_are_freed_in_other_zones() {
    let mut rig = Rig::new(uneven_load());
    rig.run_for(10 * SECOND);
    rig.kill(0);
    rig.run_for(30 * SECOND);
    assert_utilisation(&rig, 250, 0.98);
}

/// Guards against grants of a dead router staying in use until the next check of grants: the other
/// zones learn of its death at once.
#[test]
fn slots_granted_to_a_killed_dispatcher_are_freed_before_the_next_check() {
    let mut rig = Rig::new(uneven_load());
    rig.run_for(12 * SECOND);
    let dispatcher = rig.dispatcher(0);
    rig.kill(dispatcher);
    rig.run_for(8 * SECOND);
    // From one second after the kill until the next grant checks are due.
    assert_utilisation(&rig, 130, 0.98);
}

/// Guards against slots held forever by grants or completions that were lost.
#[test]
fn lost_messages_leak_no_slots() {
    let mut rig = Rig::new(uneven_load());
    // A lost call is noticed after two seconds, four times as long as a request runs.
    rig.network.loss_rate = 0.01;
    rig.run_for(40 * SECOND);
    assert_utilisation(&rig, 30, 0.9);
    rig.network.loss_rate = 0.0;
    rig.run_for(20 * SECOND);
    assert_utilisation(&rig, 520, 0.98);
}

/// Guards against slots held by pulls from a zone that has been isolated.
#[test]
fn an_isolated_zone_leaves_no_slots_idle_in_other_zones() {
    // Zone 1 has few tickets of its own and pulls most of them from other zones.
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
