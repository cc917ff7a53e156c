//! Policies and scenarios that the fleet's benches share.
#![allow(dead_code)]

pub mod bound_check;

use std::ops::Range;
use std::time::Duration;

pub use bound_check::BoundCheck;

use crate::rig::Outcome;
use crate::rig::Rig;
use crate::rig::Setup;
use crate::rig::Traffic;

pub const SECOND: Duration = Duration::from_secs(1);

/// Cost of the largest request, in tokens.
pub const REQUEST_COST_MAX: u64 = 200;

/// How requests are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Each router serves its own callers first come, first served, on its share of the slots.
    FifoPerRouter,
    /// Each router is fair among its own callers, on its share of the slots.
    FairPerRouter,
    /// The routers of this project, fair over the whole fleet.
    Fleet,
}

pub const POLICIES: [(Policy, &str); 3] = [
    (Policy::FifoPerRouter, "fifo-per-router"),
    (Policy::FairPerRouter, "fair-per-router"),
    (Policy::Fleet, "fleet"),
];

/// A load on nine boxes, with a fault or none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Three backlogged workspaces on all boxes.
    Even,
    /// Three backlogged workspaces: on one box, on three of one zone, on all.
    Uneven,
    /// One workspace floods through all boxes with fifty times the requests of two others.
    Flood,
    /// Uneven, and a zone is cut off from the others for ten seconds.
    Cut,
    /// Uneven, and the dispatcher of a zone is killed and restarted.
    Killed,
}

pub const SCENARIOS: [(Scenario, &str); 5] = [
    (Scenario::Even, "even"),
    (Scenario::Uneven, "uneven"),
    (Scenario::Flood, "flood"),
    (Scenario::Cut, "cut"),
    (Scenario::Killed, "killed"),
];

/// Samples (a tenth of a second each) that are evaluated: after the start.
pub const EVALUATED: Range<usize> = 80..400;

/// Samples evaluated in the scenario with a cut: once the workspaces that got less have caught up.
pub const AFTER_CUT: Range<usize> = 280..400;

/// Results of a run.
pub struct Metrics {
    /// Largest gap without the scenario's fault (for the cut, after it is over).
    pub gap: f64,
    /// Smallest part of its fair share that a workspace got in any two seconds after the start.
    pub least_share: f64,
    pub utilisation: f64,
    pub bytes_per_request: f64,
    pub bytes_per_router_second: f64,
    pub outcome: Outcome,
    pub setup: Setup,
}

pub fn traffic(scenario: Scenario) -> Vec<Traffic> {
    let on =
        |boxes: &[usize], backlog| Traffic { boxes: boxes.to_vec(), backlog, ..Traffic::default() };
    match scenario {
        Scenario::Even => vec![on(&[], 20), on(&[], 20), on(&[], 20)],
        Scenario::Flood => vec![on(&[], 100), on(&[0], 40), on(&[4], 40)],
        Scenario::Uneven | Scenario::Cut => vec![on(&[0], 120), on(&[3, 4, 5], 40), on(&[], 20)],
        Scenario::Killed => vec![on(&[0, 1], 60), on(&[3, 4, 5], 40), on(&[], 20)],
    }
}

/// Runs a scenario under a policy.
pub fn run(policy: Policy, scenario: Scenario, base: &Setup) -> Metrics {
    let mut setup = Setup { workspaces: traffic(scenario), ..base.clone() };
    if policy != Policy::Fleet {
        // Each box is a zone of its own, with its share of the engines.
        setup.zones = base.zones * base.boxes;
        setup.boxes = 1;
        setup.engines = base.engines / base.boxes;
        setup.tuning.exchange_enabled = false;
        setup.fifo = policy == Policy::FifoPerRouter;
    }
    let mut rig = Rig::new(setup.clone());
    rig.run_for(12 * SECOND);
    match scenario {
        Scenario::Cut if policy == Policy::Fleet => {
            rig.network.isolated_zones.insert(1);
            rig.run_for(10 * SECOND);
            rig.network.isolated_zones.clear();
        }
        Scenario::Killed => {
            let i = if policy == Policy::Fleet { rig.dispatcher(0) } else { 1 };
            rig.kill(i);
            rig.run_for(5 * SECOND);
            rig.start(i);
            rig.run_for(5 * SECOND);
        }
        _ => rig.run_for(10 * SECOND),
    }
    rig.run_for(18 * SECOND);
    let outcome = std::mem::take(&mut rig.outcome);
    let routers = (setup.zones * setup.boxes) as f64;
    let (workspaces, evaluated) =
        ([0, 1, 2], if scenario == Scenario::Cut { AFTER_CUT } else { EVALUATED });
    Metrics {
        gap: outcome.service_gap_max(&setup, &workspaces, evaluated.clone()),
        least_share: outcome.least_share(&workspaces, evaluated),
        utilisation: outcome.utilisation(EVALUATED),
        bytes_per_request: outcome.bytes as f64 / outcome.requests as f64,
        bytes_per_router_second: outcome.bytes as f64 / routers / 40.0,
        outcome,
        setup,
    }
}
