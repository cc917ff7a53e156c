//! What several test files share.
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
pub const LARGEST: f64 = 200.0;

/// So many cases of a property, the same in every run.
pub fn seeded(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() }
}

/// A workspace that keeps `backlog` requests under way at each of these boxes (at all: none named).
pub fn backlogged(boxes: &[usize], backlog: usize) -> Traffic {
    Traffic { boxes: boxes.to_vec(), backlog, ..Traffic::default() }
}

/// Three workspaces: on two boxes of one zone, on all of another, on all boxes.
pub fn uneven() -> Setup {
    let workspaces = vec![backlogged(&[0, 1], 40), backlogged(&[3, 4, 5], 30), backlogged(&[], 15)];
    Setup { workspaces, ..Setup::default() }
}

/// Tokens that the whole fleet produces in a second.
pub fn rate(setup: &Setup) -> f64 {
    let slots = f64::from(setup.slots) * (setup.zones * setup.engines) as f64;
    slots / setup.token.as_secs_f64()
}

/// The bound of docs/DESIGN.md: twice the largest request, and what the fleet serves in one
/// exchange interval.
pub fn bound(setup: &Setup) -> f64 {
    2.0 * LARGEST + rate(setup) * setup.tuning.exchange_interval.as_secs_f64()
}
