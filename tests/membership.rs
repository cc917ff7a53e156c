//! Who is believed alive: in a zone of the size to design for, nobody who lives is suspected, and who
//! is silent soon is.

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
fn nobody_who_lives_is_suspected() {
    let mut rig = one_zone();
    rig.run_for(60 * SECOND);
    assert_eq!(rig.outcome.suspicions, 0);
}

/// Calls that are lost now and then cost a probe, not a box.
#[test]
fn a_lost_call_rarely_costs_a_suspicion() {
    let mut rig = one_zone();
    rig.net.lose = 0.01;
    rig.run_for(60 * SECOND);
    // Each pair of boxes probes a few times in a minute; one in a hundred probes is lost.
    assert!(rig.outcome.suspicions <= 10, "{} suspicions", rig.outcome.suspicions);
}

#[test]
fn a_frozen_box_is_soon_suspected_by_all_and_comes_back() {
    let mut rig = one_zone();
    rig.freeze(5, true);
    rig.run_for(12 * SECOND);
    let believed = |rig: &Rig| {
        let now = rig.now;
        let frozen = BoxName::from("box-5");
        let others = (0..BOXES).filter(|&i| i != 5);
        others.filter(|&i| rig.node(i).members().live(now).any(|b| *b == frozen)).count()
    };
    assert_eq!(believed(&rig), 0);
    rig.freeze(5, false);
    rig.run_for(5 * SECOND);
    assert_eq!(believed(&rig), BOXES - 1);
}

/// The last sign of life of a box that is gone must not go round for ever.
#[test]
fn a_box_that_is_gone_stays_suspected() {
    let mut rig = one_zone();
    rig.freeze(5, true);
    rig.run_for(30 * SECOND);
    let before = rig.outcome.suspicions;
    rig.run_for(30 * SECOND);
    assert_eq!(rig.outcome.suspicions, before);
}
