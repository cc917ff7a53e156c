//! Estimates how fast the engines of a service prefill, from the times to their first tokens.
//!
//! The work before a first token consists of tokens, pairs of tokens and prompts. The time per unit
//! of each, and a fixed time, are estimated by recursive least squares (a Kalman filter with a
//! drifting state). A single engine differs from its service by a factor.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::placement::engine_speed::CommonError;
use crate::placement::tuning::Tuning;

/// Number of estimates: seconds per thousand tokens, per million pairs and per prompt, and the
/// fixed time.
const PARAMETERS: usize = 4;

/// Index of the fixed time.
const FIXED_INDEX: usize = 3;

/// Relative standard deviation of the initial estimates.
const PRIOR_SPREAD: f64 = 1.0;

/// Relative drift of an estimate per second: prefill slows within seconds as more requests run
/// beside it.
const DRIFT_PER_S: f64 = 0.05;

/// Noise of the times to first tokens: in seconds, for a step in progress when a prompt arrives,
/// and relative to the expected time, for requests that other boxes have sent meanwhile.
const NOISE_S: f64 = 0.01;
const NOISE_SHARE: f64 = 0.2;

/// Errors are clipped at this many standard deviations: responses delayed in transit or by a hung
/// engine say little about its speed.
const OUTLIER_SPREADS: f64 = 2.5;

/// An estimate stays within this factor of its initial value, above and below.
const BOUND_FACTOR: f64 = 16.0;

/// Half-life of the measurements of a single engine, in seconds. An engine that becomes slow must
/// be avoided within about a second, in which half a dozen first tokens arrive.
const SLOWDOWN_HALF_LIFE_S: f64 = 1.5;

/// Seconds of work at the service's speed that the estimate for a single engine starts with.
const SLOWDOWN_PRIOR_S: f64 = 0.4;

/// Limit on the ratio of measured to expected time in one measurement of a single engine.
const SLOWDOWN_MAX: f64 = 8.0;

/// Tokens of the prompt by which speeds are compared.
const REFERENCE_TOKENS: u32 = 1000;

/// Work of an engine before a first token.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Tokens to prefill, in thousands.
    pub tokens: f64,
    /// Pairs of a token to prefill and a token before it, in millions.
    pub pairs: f64,
    /// Number of prompts.
    pub prompts: f64,
}

impl Work {
    /// Prefill of `uncached` tokens after `cached` ones.
    pub fn prefill(cached: u32, uncached: u32) -> Work {
        let (cached, uncached) = (f64::from(cached), f64::from(uncached));
        Work {
            tokens: uncached / 1e3,
            pairs: uncached * (cached + uncached / 2.0) / 1e6,
            prompts: if uncached == 0.0 { 0.0 } else { 1.0 },
        }
    }

    pub fn plus(self, other: Work) -> Work {
        Work {
            tokens: self.tokens + other.tokens,
            pairs: self.pairs + other.pairs,
            prompts: self.prompts + other.prompts,
        }
    }

    pub fn scaled(self, factor: f64) -> Work {
        Work {
            tokens: self.tokens * factor,
            pairs: self.pairs * factor,
            prompts: self.prompts * factor,
        }
    }

    fn units(self) -> [f64; PARAMETERS] {
        [self.tokens, self.pairs, self.prompts, 1.0]
    }
}

/// Estimated speed of the engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Speed {
    /// Seconds per unit of work; the last one is the fixed time.
    seconds_per_unit: [f64; PARAMETERS],
    /// Covariance of the estimates.
    covariance: [[f64; PARAMETERS]; PARAMETERS],
    initial_seconds: [f64; PARAMETERS],
    /// Number of first tokens measured.
    samples: u64,
    /// When the drift was last applied.
    #[serde(skip)]
    updated: Duration,
    /// See [`CommonError`].
    #[serde(skip)]
    common_error: CommonError,
}

impl Speed {
    /// Starts from the settings.
    pub fn new(tuning: &Tuning) -> Speed {
        let initial_seconds = [
            1.0 / tuning.tokens_per_ms.max(f64::MIN_POSITIVE),
            tuning.per_million_pairs.as_secs_f64(),
            tuning.per_prompt.as_secs_f64(),
            tuning.first_token_overhead.as_secs_f64(),
        ];
        let mut covariance = [[0.0; PARAMETERS]; PARAMETERS];
        for (n, initial) in initial_seconds.iter().enumerate() {
            covariance[n][n] = (initial * PRIOR_SPREAD).powi(2);
        }
        Speed {
            seconds_per_unit: initial_seconds,
            covariance,
            initial_seconds,
            samples: 0,
            updated: Duration::ZERO,
            common_error: CommonError::default(),
        }
    }

    /// The logarithm of the time to prefill a prompt by that of an engine with the configured speed.
    pub fn by_configured_ln(&self) -> f64 {
        let units = Work::prefill(0, REFERENCE_TOKENS).units();
        let [now, initial] =
            [self.seconds_per_unit, self.initial_seconds].map(|s| dot(&s, &units) - s[FIXED_INDEX]);
        (now / initial).ln()
    }

    pub fn common_error(&mut self) -> &mut CommonError {
        &mut self.common_error
    }

    /// Seconds of prefill, without the fixed time.
    pub fn prefill_seconds(&self, work: Work) -> f64 {
        self.expected(work) - self.fixed_seconds()
    }

    /// Seconds from the end of prefill to the first token.
    pub fn fixed_seconds(&self) -> f64 {
        self.seconds_per_unit[FIXED_INDEX]
    }

    /// Number of first tokens measured.
    pub fn samples(&self) -> u64 {
        self.samples
    }

    /// Records a first token that came `took` seconds after it was requested, with this work ahead
    /// of it.
    pub fn update(&mut self, work: Work, took: f64, now: Duration) {
        self.drift(now);
        let units = work.units();
        let gains = self.covariance.map(|row| dot(&row, &units));
        let expected = self.expected(work);
        let noise = NOISE_S + NOISE_SHARE * expected;
        let spread = dot(&gains, &units) + noise * noise;
        let error_max = OUTLIER_SPREADS * spread.sqrt();
        let error = (took - expected).clamp(-error_max, error_max);
        for (n, gain) in gains.iter().enumerate() {
            let initial = self.initial_seconds[n];
            let estimate = self.seconds_per_unit[n] + gain / spread * error;
            self.seconds_per_unit[n] =
                estimate.clamp(initial / BOUND_FACTOR, initial * BOUND_FACTOR);
            for (m, other) in gains.iter().enumerate() {
                self.covariance[n][m] -= gain * other / spread;
            }
        }
        self.samples += 1;
    }

    /// Takes over the estimate of another box if it has more samples and plausible values.
    pub fn adopt(&mut self, other: &Speed) {
        let initial_seconds = self.initial_seconds;
        let is_bounded = |n: usize, x: f64| {
            initial_seconds[n] / BOUND_FACTOR <= x && x <= initial_seconds[n] * BOUND_FACTOR
        };
        let is_sane =
            other.seconds_per_unit.iter().enumerate().all(|(n, seconds)| is_bounded(n, *seconds))
                && other.covariance.iter().flatten().all(|c| c.is_finite());
        if is_sane && self.samples < other.samples {
            let Speed { updated, common_error, .. } = *self;
            *self = Speed { updated, common_error, initial_seconds, ..other.clone() };
        }
    }

    fn expected(&self, work: Work) -> f64 {
        dot(&self.seconds_per_unit, &work.units())
    }

    fn drift(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        for (n, seconds) in self.seconds_per_unit.iter().enumerate() {
            let variance_max = (self.initial_seconds[n] * PRIOR_SPREAD).powi(2);
            let drifted = self.covariance[n][n] + (seconds * DRIFT_PER_S).powi(2) * passed;
            self.covariance[n][n] = drifted.min(variance_max.max(self.covariance[n][n]));
        }
    }
}

/// How much slower than its service one engine is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowdownFactor {
    /// Recent work: seconds that it took, and seconds expected at the service's speed.
    took: f64,
    expected: f64,
    updated: Duration,
}

impl SlowdownFactor {
    /// The factor; one for an engine as fast as its service.
    pub fn get(&self) -> f64 {
        (self.took + SLOWDOWN_PRIOR_S) / (self.expected + SLOWDOWN_PRIOR_S)
    }

    /// Records that work took `took` seconds, where `expected` were expected at the service's
    /// speed.
    pub fn update(&mut self, expected: f64, took: f64, now: Duration) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        let decay = 0.5f64.powf(passed / SLOWDOWN_HALF_LIFE_S);
        self.took = self.took * decay + took.clamp(0.0, expected * SLOWDOWN_MAX);
        self.expected = self.expected * decay + expected;
    }
}

fn dot(a: &[f64; PARAMETERS], b: &[f64; PARAMETERS]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}
