//! Policies and scenes that the fleet's benches share.
#![allow(dead_code)]

pub mod judge;

use std::ops::Range;
use std::time::Duration;

pub use judge::Judge;

use crate::rig::Outcome;
use crate::rig::Rig;
use crate::rig::Setup;
use crate::rig::Traffic;

pub const SECOND: Duration = Duration::from_secs(1);

/// Cost of the largest request, in tokens.
pub const LARGEST: u64 = 200;

/// How requests are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Each router serves its own callers first come, first served, on its share of the slots.
    FifoPerRouter,
    /// Each router is fair among its own callers, on its share of the slots.
    FairPerRouter,
    /// The product.
    Fleet,
}

pub const POLICIES: [(Policy, &str); 3] = [
    (Policy::FifoPerRouter, "fifo-per-router"),
    (Policy::FairPerRouter, "fair-per-router"),
    (Policy::Fleet, "fleet"),
];

/// A load on nine boxes and what happens to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scene {
    /// Three backlogged workspaces on all boxes.
    Even,
    /// Three backlogged workspaces: on one box, on three of one zone, on all.
    Uneven,
    /// One workspace floods through all boxes with fifty times the requests of two others.
    Flood,
    /// Uneven, and a zone is cut off from the others for ten seconds.
    Cut,
    /// Uneven, and the dispatcher of a zone is killed and comes back.
    Killed,
}

pub const SCENES: [(Scene, &str); 5] = [
    (Scene::Even, "even"),
    (Scene::Uneven, "uneven"),
    (Scene::Flood, "flood"),
    (Scene::Cut, "cut"),
    (Scene::Killed, "killed"),
];

/// Samples (a tenth of a second each) that count: after the start.
pub const COUNTED: Range<usize> = 80..400;

/// Samples that count in the scene with a cut: once what was paid back is over.
pub const AFTER_CUT: Range<usize> = 280..400;

/// What a run came to.
pub struct Figures {
    /// Largest gap while the scene's fault isn't there (after it is over, for the cut).
    pub gap: f64,
    /// Least share of its fair share that a workspace got in any two seconds after the start.
    pub least_share: f64,
    pub utilisation: f64,
    pub bytes_per_request: f64,
    pub bytes_per_router_second: f64,
    pub outcome: Outcome,
    pub setup: Setup,
}

pub fn traffic(scene: Scene) -> Vec<Traffic> {
    let on =
        |boxes: &[usize], backlog| Traffic { boxes: boxes.to_vec(), backlog, ..Traffic::default() };
    match scene {
        Scene::Even => vec![on(&[], 20), on(&[], 20), on(&[], 20)],
        Scene::Flood => vec![on(&[], 100), on(&[0], 40), on(&[4], 40)],
        Scene::Uneven | Scene::Cut => vec![on(&[0], 120), on(&[3, 4, 5], 40), on(&[], 20)],
        Scene::Killed => vec![on(&[0, 1], 60), on(&[3, 4, 5], 40), on(&[], 20)],
    }
}

/// Runs a scene under a policy.
pub fn run(policy: Policy, scene: Scene, base: &Setup) -> Figures {
    let mut setup = Setup { workspaces: traffic(scene), ..base.clone() };
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
    match scene {
        Scene::Cut if policy == Policy::Fleet => {
            rig.net.cut_zones.insert(1);
            rig.run_for(10 * SECOND);
            rig.net.cut_zones.clear();
        }
        Scene::Killed => {
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
    let (who, counted) = ([0, 1, 2], if scene == Scene::Cut { AFTER_CUT } else { COUNTED });
    Figures {
        gap: outcome.gap(&setup, &who, counted.clone()),
        least_share: outcome.least_share(&who, counted),
        utilisation: outcome.utilisation(COUNTED),
        bytes_per_request: outcome.bytes as f64 / outcome.requests as f64,
        bytes_per_router_second: outcome.bytes as f64 / routers / 40.0,
        outcome,
        setup,
    }
}
