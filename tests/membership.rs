//! Failure detection in a zone of the design size: no live box is suspected, and an unresponsive
//! box soon is.

mod util;

use frostdyke::names::BoxName;
use util::SECOND;
use util::rig::Rig;
use util::rig::Setup;

/// Boxes of a zone, as docs/DEVELOPING.md says.
const BOXES: usize = 37;

fn one_zone() -> Rig {
    let mut rig = Rig::new(Setup { zones: 1, boxes: BOXES, ..Setup::default() });
    rig.run_for(10 * SECOND);
    rig.outcome.suspicions = 0;
    rig
}

#[test]
fn no_live_box_is_suspected() {
    let mut rig = one_zone();
    rig.run_for(60 * SECOND);
    assert_eq!(rig.outcome.suspicions, 0);
}

/// An occasional lost call fails a probe, but must not make a box count as dead.
#[test]
fn a_lost_call_rarely_causes_a_suspicion() {
    let mut rig = one_zone();
    rig.network.loss_rate = 0.01;
    rig.run_for(60 * SECOND);
    // Each pair of boxes probes a few times in a minute; one in a hundred probes is lost.
    assert!(rig.outcome.suspicions <= 10, "{} suspicions", rig.outcome.suspicions);
}

#[test]
fn a_frozen_box_is_soon_suspected_by_all_and_comes_back() {
    let mut rig = one_zone();
    rig.freeze(5, true);
    rig.run_for(12 * SECOND);
    let considered_alive_by = |rig: &Rig| {
        let now = rig.now;
        let frozen = BoxName::from("box-5");
        let others = (0..BOXES).filter(|&i| i != 5);
        others.filter(|&i| rig.node(i).members().live(now).any(|b| *b == frozen)).count()
    };
    assert_eq!(considered_alive_by(&rig), 0);
    rig.freeze(5, false);
    rig.run_for(5 * SECOND);
    assert_eq!(considered_alive_by(&rig), BOXES - 1);
}

/// The last heartbeat of a dead box must not be passed on forever.
#[test]
fn a_dead_box_stays_suspected() {
    let mut rig = one_zone();
    rig.freeze(5, true);
    rig.run_for(30 * SECOND);
    let before = rig.outcome.suspicions;
    rig.run_for(30 * SECOND);
    assert_eq!(rig.outcome.suspicions, before);
}
