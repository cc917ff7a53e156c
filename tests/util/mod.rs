//! Helpers shared by several test files.
#![allow(dead_code)]

pub mod catalog;
pub mod fleet;
pub mod rig;

use std::time::Duration;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use rig::Setup;
use rig::Traffic;

pub const SECOND: Duration = Duration::from_secs(1);

/// Cost of the largest request.
pub const REQUEST_COST_MAX: f64 = 200.0;

/// Runs this many cases of a property, the same ones in every run.
pub fn seeded_config(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() }
}

/// A workspace that keeps `backlog` requests in flight at each of these boxes; at all boxes if none
/// is given.
pub fn backlogged(boxes: &[usize], backlog: usize) -> Traffic {
    Traffic { boxes: boxes.to_vec(), backlog, ..Traffic::default() }
}

/// Three workspaces that send to two boxes of one zone, to all boxes of another, and to all boxes.
pub fn uneven_load() -> Setup {
    let workspaces = vec![backlogged(&[0, 1], 40), backlogged(&[3, 4, 5], 30), backlogged(&[], 15)];
    Setup { workspaces, ..Setup::default() }
}

/// Tokens that the whole fleet produces per second.
pub fn fleet_service_rate(setup: &Setup) -> f64 {
    let slots = f64::from(setup.slots) * (setup.zones * setup.engines) as f64;
    slots / setup.token_interval.as_secs_f64()
}

/// The bound on service differences of docs/DESIGN.md: twice the cost of the largest request, plus
/// the tokens that the fleet serves in one exchange interval.
pub fn service_gap_bound(setup: &Setup) -> f64 {
    2.0 * REQUEST_COST_MAX
        + fleet_service_rate(setup) * setup.tuning.exchange_interval.as_secs_f64()
}
