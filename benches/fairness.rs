//! Fairness gap under three policies, in scenarios with and without failures.
//!
//! `cargo bench --bench fairness` prints `name value bound ok|FAIL` and fails past a bound.
//! `cargo bench --bench fairness -- sweep` prints a table of margins and exchange intervals.

#[path = "../tests/util/catalog.rs"]
mod catalog;
mod fleet;
#[path = "../tests/util/rig.rs"]
mod rig;

use std::time::Duration;

use fleet::BoundCheck;
use fleet::Policy;
use fleet::REQUEST_COST_MAX;
use fleet::SCENARIOS;
use fleet::Scenario;
use frostdyke::peer::message::Class;
use rig::Rig;
use rig::Setup;
use rig::Traffic;

/// Under uneven load the fleet's gap is at most this share of the gap left by routers that are each
/// fair by themselves.
const BASELINE_SHARE_MAX: f64 = 0.1;

/// The smallest part of its fair share that a workspace may get in any two seconds.
const SHARE_MIN: f64 = 0.1;

/// Beside a flood, urgent requests wait at most this share of the duration of the longest request.
const URGENT_WAIT_MAX: f64 = 0.25;

fn main() {
    let base = Setup::default();
    if std::env::args().any(|a| a == "sweep") {
        return sweep(&base);
    }
    let bound = bound(&base);
    let mut check = BoundCheck { failed: false };
    for (scenario, name) in SCENARIOS {
        let fifo = fleet::run(Policy::FifoPerRouter, scenario, &base);
        let fair = fleet::run(Policy::FairPerRouter, scenario, &base);
        let fleet = fleet::run(Policy::Fleet, scenario, &base);
        println!("{name}.gap.fifo-per-router {:.0}", fifo.gap);
        println!("{name}.gap.fair-per-router {:.0}", fair.gap);
        check.at_most(&format!("{name}.gap.fleet"), fleet.gap, bound);
        if scenario != Scenario::Even && scenario != Scenario::Cut {
            let share = fleet.gap / fair.gap;
            check.at_most(&format!("{name}.gap.fleet/fair"), share, BASELINE_SHARE_MAX);
        }
        check.at_least(&format!("{name}.least-share.fleet"), fleet.least_share, SHARE_MIN);
    }
    urgent(&base, &mut check);
    check.exit();
}

/// Measures the waits of a small workspace: of its urgent requests, alone and beside a flood, and
/// of its normal ones beside the flood.
fn urgent(base: &Setup, check: &mut BoundCheck) {
    let small = |class| Traffic {
        rate: 20.0,
        tokens: (10, 30),
        class,
        // The boxes know each other by then.
        active: (4 * fleet::SECOND, Duration::MAX),
        ..Traffic::default()
    };
    let flood = || Traffic { backlog: 100, ..Traffic::default() };
    let p99 = |workspaces: Vec<Traffic>| {
        let mut rig = Rig::new(Setup { workspaces, ..base.clone() });
        rig.run_for(60 * fleet::SECOND);
        let mut waits = rig.outcome.waits_s[0].clone();
        waits.sort_by(f64::total_cmp);
        waits[waits.len() * 99 / 100] * 1e3
    };
    let alone = p99(vec![small(Class::Urgent)]);
    let urgent = p99(vec![small(Class::Urgent), flood(), flood()]);
    let normal = p99(vec![small(Class::Normal), flood(), flood()]);
    println!("urgent.wait-ms.p99.alone {alone:.1}");
    println!("urgent.wait-ms.p99.normal-class-beside-flood {normal:.1}");
    println!("urgent.wait-ms.p99.beside-flood {urgent:.1}");
    // Slots become free at random; without a reserve, the wait for one is what a flood costs.
    let longest_request_ms = base.token_interval.as_secs_f64() * 1e3 * REQUEST_COST_MAX as f64;
    check.at_most("urgent.wait-p99/longest-request", urgent / longest_request_ms, URGENT_WAIT_MAX);
}

/// Twice the largest request, and what the fleet serves in one exchange interval.
fn bound(setup: &Setup) -> f64 {
    let slots = f64::from(setup.slots) * (setup.zones * setup.engines) as f64;
    let rate = slots / setup.token_interval.as_secs_f64();
    2.0 * REQUEST_COST_MAX as f64 + rate * setup.tuning.exchange_interval.as_secs_f64()
}

fn sweep(base: &Setup) {
    println!("margin interval_ms gap utilisation bytes_per_request");
    for margin in [0, 200, 500, 1000, 2000, 4000] {
        for interval in [50, 100, 250, 500, 1000] {
            let mut setup = base.clone();
            setup.tuning.pull_margin = Some(margin);
            setup.tuning.exchange_interval = Duration::from_millis(interval);
            let metrics = fleet::run(Policy::Fleet, Scenario::Uneven, &setup);
            let (gap, util, bytes) = (metrics.gap, metrics.utilisation, metrics.bytes_per_request);
            println!("{margin} {interval} {gap:.0} {util:.4} {bytes:.0}");
        }
    }
}
