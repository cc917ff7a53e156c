//! Whether a new version is worse than the old one, by the answers that both gave at the same time.
//!
//! An answer of the new version is bad if it failed, or took several times as long as three in four of the old version's
//! on the same route. Bad ones are tested against the old version's own part of them by cumulative sums (Page, 1954), for each
//! route and for all together, so that a version that turns bad late, or on one route only, is found as soon. Memory is
//! constant for a version and route.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Times are counted in steps of half an octave, from a millisecond to some 65 seconds.
const STEPS: usize = 32;

/// An answer that is this many steps beyond three in four of the others took several times as long.
const SLOW_STEPS: usize = 3;

/// Answers of the old version by which its times are known.
const TIMES_MIN: f64 = 20.0;

/// How much more of the new version's answers may be bad before it counts as worse, and what is looked for.
const MARGIN: f64 = 0.05;
const EXCESS: f64 = 0.25;

/// Part of the old version's answers that is bad at the least, for what it hasn't shown yet.
const BAD_MIN: f64 = 0.02;

/// The sum of log likelihood ratios at which a version is bad. A good one comes there less than once in `e` to the power
/// of this many answers.
const ALARM: f64 = 6.0;

/// Routes with less than this part of the old version's answers need not be shown before the new one gets more.
const BUSY_PART: f64 = 0.05;

/// What the old version has shown is forgotten by half in so many answers: the two are compared at the same time.
const HALF_LIFE: f64 = 400.0;

/// What became of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseOutcome {
    /// It failed.
    Failed,
    /// Its first piece came; the step of the time that it took.
    FirstChunk(u8),
    /// It came whole; the step of the time between its events.
    ChunkInterval(u8),
}

/// What became of an answer, and whose it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseReport {
    /// Whether the new version gave it.
    pub is_target: bool,
    /// Names the route.
    pub route: u32,
    /// What became of it.
    pub outcome: ResponseOutcome,
}

/// The step of a time in milliseconds.
pub fn time_bucket(ms: f64) -> u8 {
    let step = (ms.max(1.0).log2() * 2.0).round();
    step.min((STEPS - 1) as f64) as u8
}

/// What the old version has shown on a route: times by step, and failures.
#[derive(Clone, Debug, Default)]
struct Usual {
    first: Times,
    pace: Times,
    answers: f64,
    failed: f64,
}

#[derive(Clone, Debug, Default)]
struct Times {
    counts: [f64; STEPS],
    sum: f64,
}

impl Times {
    fn add(&mut self, step: u8) {
        let keep = 0.5f64.powf(1.0 / HALF_LIFE);
        self.counts.iter_mut().for_each(|count| *count *= keep);
        self.sum = self.sum * keep + 1.0;
        self.counts[usize::from(step).min(STEPS - 1)] += 1.0;
    }

    /// The step from which on an answer is slow; nothing while too little is known.
    fn slow_from(&self) -> Option<usize> {
        if self.sum < TIMES_MIN {
            return None;
        }
        let mut below = 0.0;
        let quartile = self.counts.iter().position(|count| {
            below += count;
            self.sum * 0.75 <= below
        });
        quartile.map(|step| step + SLOW_STEPS)
    }

    fn is_slow(&self, step: u8) -> bool {
        self.slow_from().is_some_and(|from| from <= usize::from(step))
    }

    /// The part of them that is slow.
    fn slow_part(&self) -> f64 {
        let Some(from) = self.slow_from() else { return 0.0 };
        let slow: f64 = self.counts.iter().skip(from).sum();
        slow / self.sum
    }
}

impl Usual {
    fn add(&mut self, outcome: ResponseOutcome) {
        let keep = 0.5f64.powf(1.0 / HALF_LIFE);
        match outcome {
            ResponseOutcome::Failed => {
                self.answers = self.answers * keep + 1.0;
                self.failed = self.failed * keep + 1.0;
            }
            ResponseOutcome::FirstChunk(step) => {
                self.answers = self.answers * keep + 1.0;
                self.failed *= keep;
                self.first.add(step);
            }
            ResponseOutcome::ChunkInterval(step) => self.pace.add(step),
        }
    }

    fn is_bad(&self, outcome: ResponseOutcome) -> bool {
        match outcome {
            ResponseOutcome::Failed => true,
            ResponseOutcome::FirstChunk(step) => self.first.is_slow(step),
            ResponseOutcome::ChunkInterval(step) => self.pace.is_slow(step),
        }
    }

    /// The part of its answers that is bad.
    fn bad_part(&self) -> f64 {
        let failed = if self.answers == 0.0 { 0.0 } else { self.failed / self.answers };
        (failed + self.first.slow_part().max(self.pace.slow_part())).max(BAD_MIN)
    }
}

/// What the new version has shown on a route.
#[derive(Clone, Copy, Debug, Default)]
struct Shown {
    answers: u64,
    sum: f64,
}

/// The evidence on one new version.
#[derive(Clone, Debug, Default)]
pub struct RegressionDetector {
    usual: BTreeMap<u32, Usual>,
    shown: BTreeMap<u32, Shown>,
    /// The sum over all routes.
    sum: f64,
    is_bad: bool,
}

impl RegressionDetector {
    /// Takes in what became of an answer.
    pub fn add(&mut self, observed: ResponseReport) {
        let ResponseReport { is_target, route, outcome } = observed;
        let usual = self.usual.entry(route).or_default();
        if !is_target {
            usual.add(outcome);
            return;
        }
        let before = (usual.bad_part() + MARGIN).min(1.0 - EXCESS - MARGIN);
        let after = before + EXCESS;
        let ratio = match usual.is_bad(outcome) {
            true => (after / before).ln(),
            false => ((1.0 - after) / (1.0 - before)).ln(),
        };
        let shown = self.shown.entry(route).or_default();
        shown.answers += u64::from(!matches!(outcome, ResponseOutcome::ChunkInterval(_)));
        shown.sum = (shown.sum + ratio).max(0.0);
        self.sum = (self.sum + ratio).max(0.0);
        self.is_bad |= ALARM <= shown.sum.max(self.sum);
    }

    /// Answers of the new version so far on the route where it has given fewest, of those with a part of the requests.
    pub fn min_responses(&self) -> u64 {
        let all: f64 = self.usual.values().map(|usual| usual.answers).sum();
        let busy = self.usual.iter().filter(|(_, usual)| all * BUSY_PART <= usual.answers);
        let answers = busy.map(|(route, _)| self.shown.get(route).map_or(0, |s| s.answers));
        answers.min().unwrap_or(0)
    }

    /// Whether the new version is worse than the old one.
    pub fn has_regressed(&self) -> bool {
        self.is_bad
    }
}
