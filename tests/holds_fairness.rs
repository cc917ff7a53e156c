//! Invariant: between any two workspaces that both have requests waiting, the difference in service
//! received stays bounded across the whole fleet.

mod util;

use proptest::prelude::*;
use util::SECOND;
use util::backlogged;
use util::fleet_service_rate;
use util::rig::Rig;
use util::rig::Setup;
use util::rig::Traffic;
use util::service_gap_bound;
use util::uneven_load;

const ALL: [usize; 3] = [0, 1, 2];

/// Samples, ten per second, until a run has reached its steady state.
const STEADY_FROM_SAMPLE: usize = 80;

fn gap_after(rig: &Rig, from: usize) -> f64 {
    let until = rig.outcome.slots.len();
    rig.outcome.service_gap_max(&rig.setup, &ALL, from..until)
}

fn assert_bounded(rig: &Rig, from: usize, allowed: f64) {
    let gap = gap_after(rig, from);
    assert!(gap <= allowed, "the gap is {gap}, allowed are {allowed}");
}

#[test]
fn gap_is_bounded_under_uneven_load() {
    let mut rig = Rig::new(uneven_load());
    rig.run_for(30 * SECOND);
    assert_bounded(&rig, STEADY_FROM_SAMPLE, service_gap_bound(&rig.setup));
}

#[test]
fn gap_is_bounded_when_one_workspace_floods_all_routers() {
    let workspaces = vec![backlogged(&[], 100), backlogged(&[0], 40), backlogged(&[4], 40)];
    let mut rig = Rig::new(Setup { workspaces, ..Setup::default() });
    rig.run_for(30 * SECOND);
    assert_bounded(&rig, STEADY_FROM_SAMPLE, service_gap_bound(&rig.setup));
}

#[test]
fn gap_is_bounded_when_one_workspace_floods_one_router() {
    let workspaces = vec![backlogged(&[0], 900), backlogged(&[0], 40), backlogged(&[4], 40)];
    let mut rig = Rig::new(Setup { workspaces, ..Setup::default() });
    rig.run_for(30 * SECOND);
    assert_bounded(&rig, STEADY_FROM_SAMPLE, service_gap_bound(&rig.setup));
}

/// Guards against a workspace losing its share of service when its short queue runs empty in one
/// zone while it waits in others: at twice the weight it must get twice the service.
#[test]
fn a_workspace_with_a_short_queue_gets_service_by_its_weight() {
    let heavy = Traffic { weight: 2, ..backlogged(&[], 6) };
    let workspaces = vec![heavy, backlogged(&[0, 1], 30), backlogged(&[8], 40)];
    let mut rig = Rig::new(Setup { workspaces, ..Setup::default() });
    rig.run_for(30 * SECOND);
    assert_bounded(&rig, STEADY_FROM_SAMPLE, service_gap_bound(&rig.setup));
}

#[test]
fn gap_is_bounded_when_a_dispatcher_restarts_without_state() {
    let mut rig = Rig::new(uneven_load());
    rig.run_for(12 * SECOND);
    let dispatcher = rig.dispatcher(0);
    rig.kill(dispatcher);
    rig.run_for(6 * SECOND);
    rig.start(dispatcher);
    rig.run_for(12 * SECOND);
    assert_bounded(&rig, STEADY_FROM_SAMPLE, service_gap_bound(&rig.setup));
}

/// While a dispatcher is frozen and not yet suspected, its zone gets no new grants, and other zones
/// can't pull its waiting tickets. The additional gap is bounded by the time to suspect it.
#[test]
fn gap_is_bounded_when_a_dispatcher_is_frozen() {
    let mut rig = Rig::new(uneven_load());
    rig.run_for(12 * SECOND);
    let dispatcher = rig.dispatcher(1);
    rig.freeze(dispatcher, true);
    rig.run_for(8 * SECOND);
    rig.freeze(dispatcher, false);
    rig.run_for(12 * SECOND);
    let suspicion_s = rig.setup.gossip.suspect_after.as_secs_f64() + 1.0;
    let zone_rate = fleet_service_rate(&rig.setup) / 3.0;
    assert_bounded(
        &rig,
        STEADY_FROM_SAMPLE,
        service_gap_bound(&rig.setup) + zone_rate * suspicion_s,
    );
    // Later the usual bound holds again.
    assert_bounded(&rig, 240, service_gap_bound(&rig.setup));
}

/// Service that a workspace missed while a zone was isolated is made up for, up to the debt cap.
#[test]
fn gap_is_bounded_when_an_isolated_zone_rejoins() {
    let mut rig = Rig::new(uneven_load());
    rig.run_for(12 * SECOND);
    rig.network.isolated_zones.insert(1);
    rig.run_for(15 * SECOND);
    rig.network.isolated_zones.clear();
    rig.run_for(13 * SECOND);
    let cap = f64::from(rig.setup.debt_cap);
    assert_bounded(&rig, 270, service_gap_bound(&rig.setup) + cap);
    rig.run_for(10 * SECOND);
    assert_bounded(&rig, 400, service_gap_bound(&rig.setup));
}

#[test]
fn gap_is_bounded_when_a_dispatcher_is_killed_while_a_zone_is_isolated() {
    let mut rig = Rig::new(uneven_load());
    rig.run_for(12 * SECOND);
    rig.network.isolated_zones.insert(1);
    let dispatcher = rig.dispatcher(0);
    rig.kill(dispatcher);
    rig.run_for(8 * SECOND);
    rig.start(dispatcher);
    rig.network.isolated_zones.clear();
    rig.run_for(20 * SECOND);
    assert_bounded(&rig, 300, service_gap_bound(&rig.setup));
}

#[test]
fn gap_is_bounded_when_messages_are_lost_duplicated_and_late() {
    let mut rig = Rig::new(uneven_load());
    rig.network.loss_rate = 0.01;
    rig.network.duplicate_rate = 0.02;
    rig.network.delay_rate = 0.02;
    rig.run_for(40 * SECOND);
    assert_bounded(&rig, STEADY_FROM_SAMPLE, 2.0 * service_gap_bound(&rig.setup));
}

/// A fault of a random schedule.
#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Freeze(usize),
    Cut(usize),
    Lossy,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..9_usize).prop_map(Fault::Kill),
        (0..9_usize).prop_map(Fault::Freeze),
        (0..3_usize).prop_map(Fault::Cut),
        Just(Fault::Lossy),
    ]
}

fn inject(rig: &mut Rig, fault: &Fault) {
    match *fault {
        Fault::Kill(i) => {
            rig.kill(i);
            rig.run_for(SECOND);
            rig.start(i);
        }
        Fault::Freeze(i) => {
            rig.freeze(i, true);
            rig.run_for(3 * SECOND);
            rig.freeze(i, false);
        }
        Fault::Cut(zone) => {
            rig.network.isolated_zones.insert(zone);
            rig.run_for(3 * SECOND);
            rig.network.isolated_zones.clear();
        }
        Fault::Lossy => {
            rig.network.loss_rate = 0.05;
            rig.run_for(2 * SECOND);
            rig.network.loss_rate = 0.0;
        }
    }
}

proptest! {
    #![proptest_config(util::seeded_config(8))]

    /// Guards against faults with a lasting effect: some time after any of them the gap is bounded
    /// again, no workspace starves, and slots don't stay free while tickets wait.
    #[test]
    fn a_fleet_recovers_from_any_faults(
        seed in any::<u64>(),
        faults in prop::collection::vec(fault(), 1..4),
    ) {
        let mut rig = Rig::new(Setup { seed, ..uneven_load() });
        rig.run_for(8 * SECOND);
        for fault in &faults {
            inject(&mut rig, fault);
        }
        rig.run_for(14 * SECOND);
        let from = rig.outcome.slots.len();
        rig.run_for(8 * SECOND);
        let gap = gap_after(&rig, from);
        prop_assert!(gap <= service_gap_bound(&rig.setup), "the gap is {}", gap);
        let until = rig.outcome.slots.len();
        let share = rig.outcome.least_share(&ALL, from..until);
        prop_assert!(0.3 <= share, "the least share is {}", share);
        let used = rig.outcome.utilisation(from..until);
        prop_assert!(0.95 <= used, "the utilisation is {}", used);
    }
}
