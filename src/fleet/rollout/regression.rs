//! Detects whether a new version is worse than the old one, by responses of both from the same
//! time.
//!
//! A response of the new version is bad if it failed, or took several times as long as three in
//! four of the old version's responses on the same route. The rate of bad responses is compared
//! with the old version's own rate by a CUSUM test (Page, 1954), for each route and for all routes
//! together. A version that turns bad late, or on one route only, is thus detected as quickly.
//! Memory per version and route is constant.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Buckets of the time histograms: each spans half an octave, from a millisecond to some 65
/// seconds.
const BUCKETS: usize = 32;

/// A response is slow if its time is at least this many buckets above the third quartile of the old
/// version's.
const SLOW_BUCKETS: usize = 3;

/// Responses of the old version that are needed before a response counts as slow.
const SAMPLES_MIN: f64 = 20.0;

/// Tolerated increase of the rate of bad responses, and the further increase that the test detects.
const BAD_RATE_MARGIN: f64 = 0.05;
const BAD_RATE_EXCESS: f64 = 0.25;

/// Lower bound of the old version's rate of bad responses, since few responses may contain no bad
/// one.
const BAD_RATE_MIN: f64 = 0.02;

/// Sum of log likelihood ratios at which a version counts as worse. A good version reaches it less
/// often than once in `exp(CUSUM_THRESHOLD)` responses.
const CUSUM_THRESHOLD: f64 = 6.0;

/// Routes with less than this share of the old version's responses don't delay a roll-out.
const BUSY_SHARE_MIN: f64 = 0.05;

/// Number of responses after which the old version's earlier ones count half, so that both versions
/// are compared over the same time.
const HALF_LIFE_RESPONSES: f64 = 400.0;

/// Outcome of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseOutcome {
    Failed,
    /// The first chunk arrived; the [`time_bucket`] of the time it took.
    FirstChunk(u8),
    /// The response is complete; the [`time_bucket`] of the time between its events.
    ChunkInterval(u8),
}

/// A response's outcome and the version that gave it, as boxes report it to the evaluators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseReport {
    /// Whether the new version gave the response.
    pub is_target: bool,
    /// Hash of the route's name.
    pub route: u32,
    pub outcome: ResponseOutcome,
}

/// Returns the histogram bucket of a time in milliseconds.
pub fn time_bucket(ms: f64) -> u8 {
    let bucket = (ms.max(1.0).log2() * 2.0).round();
    bucket.min((BUCKETS - 1) as f64) as u8
}

/// Times and failures of the old version on a route.
#[derive(Clone, Debug, Default)]
struct Baseline {
    first_chunk: TimeHistogram,
    chunk_interval: TimeHistogram,
    responses: f64,
    failed: f64,
}

#[derive(Clone, Debug, Default)]
struct TimeHistogram {
    counts: [f64; BUCKETS],
    sum: f64,
}

impl TimeHistogram {
    fn add(&mut self, bucket: u8) {
        let decay = 0.5f64.powf(1.0 / HALF_LIFE_RESPONSES);
        self.counts.iter_mut().for_each(|count| *count *= decay);
        self.sum = self.sum * decay + 1.0;
        self.counts[usize::from(bucket).min(BUCKETS - 1)] += 1.0;
    }

    /// Returns the bucket from which on a response is slow; `None` before [`SAMPLES_MIN`] samples.
    fn slow_from(&self) -> Option<usize> {
        if self.sum < SAMPLES_MIN {
            return None;
        }
        let mut below = 0.0;
        let quartile = self.counts.iter().position(|count| {
            below += count;
            self.sum * 0.75 <= below
        });
        quartile.map(|bucket| bucket + SLOW_BUCKETS)
    }

    fn is_slow(&self, bucket: u8) -> bool {
        self.slow_from().is_some_and(|from| from <= usize::from(bucket))
    }

    /// Returns the fraction of slow responses.
    fn slow_rate(&self) -> f64 {
        let Some(from) = self.slow_from() else { return 0.0 };
        let slow: f64 = self.counts.iter().skip(from).sum();
        slow / self.sum
    }
}

impl Baseline {
    fn add(&mut self, outcome: ResponseOutcome) {
        let decay = 0.5f64.powf(1.0 / HALF_LIFE_RESPONSES);
        match outcome {
            ResponseOutcome::Failed => {
                self.responses = self.responses * decay + 1.0;
                self.failed = self.failed * decay + 1.0;
            }
            ResponseOutcome::FirstChunk(bucket) => {
                self.responses = self.responses * decay + 1.0;
                self.failed *= decay;
                self.first_chunk.add(bucket);
            }
            ResponseOutcome::ChunkInterval(bucket) => self.chunk_interval.add(bucket),
        }
    }

    fn is_bad(&self, outcome: ResponseOutcome) -> bool {
        match outcome {
            ResponseOutcome::Failed => true,
            ResponseOutcome::FirstChunk(bucket) => self.first_chunk.is_slow(bucket),
            ResponseOutcome::ChunkInterval(bucket) => self.chunk_interval.is_slow(bucket),
        }
    }

    /// Returns the fraction of bad responses.
    fn bad_rate(&self) -> f64 {
        let failed = if self.responses == 0.0 { 0.0 } else { self.failed / self.responses };
        (failed + self.first_chunk.slow_rate().max(self.chunk_interval.slow_rate()))
            .max(BAD_RATE_MIN)
    }
}

/// The CUSUM test of the new version on a route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteTest {
    responses: u64,
    sum: f64,
}

/// Compares one new version with the old one.
#[derive(Clone, Debug, Default)]
pub struct RegressionDetector {
    baselines: BTreeMap<u32, Baseline>,
    tests: BTreeMap<u32, RouteTest>,
    /// CUSUM over all routes.
    sum: f64,
    has_regressed: bool,
}

impl RegressionDetector {
    pub fn add(&mut self, report: ResponseReport) {
        let ResponseReport { is_target, route, outcome } = report;
        let baseline = self.baselines.entry(route).or_default();
        if !is_target {
            baseline.add(outcome);
            return;
        }
        let tolerated =
            (baseline.bad_rate() + BAD_RATE_MARGIN).min(1.0 - BAD_RATE_EXCESS - BAD_RATE_MARGIN);
        let detected = tolerated + BAD_RATE_EXCESS;
        let ratio = match baseline.is_bad(outcome) {
            true => (detected / tolerated).ln(),
            false => ((1.0 - detected) / (1.0 - tolerated)).ln(),
        };
        let test = self.tests.entry(route).or_default();
        test.responses += u64::from(!matches!(outcome, ResponseOutcome::ChunkInterval(_)));
        test.sum = (test.sum + ratio).max(0.0);
        self.sum = (self.sum + ratio).max(0.0);
        self.has_regressed |= CUSUM_THRESHOLD <= test.sum.max(self.sum);
    }

    /// Returns the number of responses of the new version on the busy route where it has given
    /// fewest.
    pub fn min_responses(&self) -> u64 {
        let all: f64 = self.baselines.values().map(|baseline| baseline.responses).sum();
        let busy = self
            .baselines
            .iter()
            .filter(|(_, baseline)| all * BUSY_SHARE_MIN <= baseline.responses);
        let responses =
            busy.map(|(route, _)| self.tests.get(route).map_or(0, |test| test.responses));
        responses.min().unwrap_or(0)
    }

    /// Whether the new version is worse than the old one.
    pub fn has_regressed(&self) -> bool {
        self.has_regressed
    }
}
