//! The fairness gap under three policies, over scenes with and without failures, in one run.
//!
//! `cargo bench --bench fairness` prints `name value bound ok|FAIL` and fails past a bound.
//! `cargo bench --bench fairness -- sweep` prints the table of margins and exchange intervals.

#[path = "../tests/util/catalog.rs"]
mod catalog;
mod fleet;
#[path = "../tests/util/rig.rs"]
mod rig;

use std::time::Duration;

use fleet::Judge;
use fleet::LARGEST;
use fleet::Policy;
use fleet::SCENES;
use fleet::Scene;
use frostdyke::peer::message::Class;
use rig::Rig;
use rig::Setup;
use rig::Traffic;

/// The gap of the fleet is at most this share of what routers that are fair each by itself leave,
/// where the load is uneven.
const SHARE_OF_BASELINE: f64 = 0.1;

/// The least part of its fair share that a workspace gets in any two seconds.
const LEAST_SHARE: f64 = 0.1;

/// Urgent requests wait at most this share of the longest request's time beside a flood.
const URGENT_WAIT: f64 = 0.25;

fn main() {
    let base = Setup::default();
    if std::env::args().any(|a| a == "sweep") {
        return sweep(&base);
    }
    let bound = bound(&base);
    let mut judge = Judge { failed: false };
    for (scene, name) in SCENES {
        let fifo = fleet::run(Policy::FifoPerRouter, scene, &base);
        let fair = fleet::run(Policy::FairPerRouter, scene, &base);
        let fleet = fleet::run(Policy::Fleet, scene, &base);
        println!("{name}.gap.fifo-per-router {:.0}", fifo.gap);
        println!("{name}.gap.fair-per-router {:.0}", fair.gap);
        judge.at_most(&format!("{name}.gap.fleet"), fleet.gap, bound);
        if scene != Scene::Even && scene != Scene::Cut {
            let share = fleet.gap / fair.gap;
            judge.at_most(&format!("{name}.gap.fleet/fair"), share, SHARE_OF_BASELINE);
        }
        judge.at_least(&format!("{name}.least-share.fleet"), fleet.least_share, LEAST_SHARE);
    }
    urgent(&base, &mut judge);
    judge.exit();
}

/// Waits of a small workspace's urgent requests, alone and beside a flood, and of its normal ones
/// beside the flood.
fn urgent(base: &Setup, judge: &mut Judge) {
    let small = |class| Traffic {
        rate: 20.0,
        tokens: (10, 30),
        class,
        // The boxes have found each other by then.
        active: (4 * fleet::SECOND, Duration::MAX),
        ..Traffic::default()
    };
    let flood = || Traffic { backlog: 100, ..Traffic::default() };
    let p99 = |workspaces: Vec<Traffic>| {
        let mut rig = Rig::new(Setup { workspaces, ..base.clone() });
        rig.run_for(60 * fleet::SECOND);
        let mut waits = rig.outcome.waits[0].clone();
        waits.sort_by(f64::total_cmp);
        waits[waits.len() * 99 / 100] * 1e3
    };
    let alone = p99(vec![small(Class::Urgent)]);
    let urgent = p99(vec![small(Class::Urgent), flood(), flood()]);
    let normal = p99(vec![small(Class::Normal), flood(), flood()]);
    println!("urgent.wait-ms.p99.alone {alone:.1}");
    println!("urgent.wait-ms.p99.normal-class-beside-flood {normal:.1}");
    println!("urgent.wait-ms.p99.beside-flood {urgent:.1}");
    // Slots end at random; without a reserve, the wait for one is what a flood costs.
    let turn = base.token.as_secs_f64() * 1e3 * LARGEST as f64;
    judge.at_most("urgent.wait-p99/longest-request", urgent / turn, URGENT_WAIT);
}

/// Twice the largest request, and what the fleet serves in one exchange interval.
fn bound(setup: &Setup) -> f64 {
    let slots = f64::from(setup.slots) * (setup.zones * setup.engines) as f64;
    let rate = slots / setup.token.as_secs_f64();
    2.0 * LARGEST as f64 + rate * setup.tuning.exchange_interval.as_secs_f64()
}

fn sweep(base: &Setup) {
    println!("margin interval_ms gap utilisation bytes_per_request");
    for margin in [0, 200, 500, 1000, 2000, 4000] {
        for interval in [50, 100, 250, 500, 1000] {
            let mut setup = base.clone();
            setup.tuning.pull_margin = Some(margin);
            setup.tuning.exchange_interval = Duration::from_millis(interval);
            let f = fleet::run(Policy::Fleet, Scene::Uneven, &setup);
            let (gap, util, bytes) = (f.gap, f.utilisation, f.bytes_per_request);
            println!("{margin} {interval} {gap:.0} {util:.4} {bytes:.0}");
        }
    }
}
