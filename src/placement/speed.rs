//! How fast the engines of a service read prompts, learned from the times to their first tokens.
//!
//! What stands before a request's first token is work: tokens, pairs of tokens, prompts. The time per
//! unit of each, and the time that is spent whatever the work, are estimated by recursive least squares
//! (a Kalman filter whose state drifts). Single engines differ from their service by a factor.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::placement::tuning::Tuning;

/// What is estimated: seconds per thousand tokens, per million pairs, per prompt, and in any case.
const COUNT: usize = 4;

/// The place of the time that is spent whatever the work.
const FIXED: usize = 3;

/// How far off the settings are expected to be, as a part of them: the spread of the first estimate.
const PRIOR_SPREAD: f64 = 1.0;

/// By what part of itself an estimate may drift in a second: reading grows slower within seconds as
/// more requests run beside it.
const DRIFT: f64 = 0.05;

/// Scatter of the times to first tokens: seconds, and part of the expected time. A step under way
/// when a prompt comes is the first; what other boxes sent meanwhile is the second.
const SCATTER: f64 = 0.01;
const SCATTER_SHARE: f64 = 0.2;

/// A time that is further off than this many times its spread counts as if it were so far off:
/// answers that are held up on their way, or by an engine that hangs, tell little of its speed.
const OUTLIER: f64 = 2.5;

/// No estimate falls below this part of its setting or rises above so many times it.
const BOUND: f64 = 16.0;

/// Time in which half of what is known of a single engine is forgotten, in seconds. An engine that
/// turns slow is to be left within about a second, and half a dozen first tokens come in one.
const FACTOR_HALF_LIFE: f64 = 1.5;

/// Seconds of work for which an engine is believed to be like its service.
const FACTOR_PRIOR: f64 = 0.4;

/// How far one answer can be off the expected time, as a factor, for the sake of a single engine.
const FACTOR_MAX: f64 = 8.0;

/// What engines have to do before a first token.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Tokens to read, in thousands.
    pub tokens: f64,
    /// Pairs of a token to read and one before it, in millions.
    pub pairs: f64,
    /// Prompts.
    pub prompts: f64,
}

impl Work {
    /// Reading `unread` tokens behind `kept` ones.
    pub fn reading(kept: u32, unread: u32) -> Work {
        let (kept, unread) = (f64::from(kept), f64::from(unread));
        Work {
            tokens: unread / 1e3,
            pairs: unread * (kept + unread / 2.0) / 1e6,
            prompts: if unread == 0.0 { 0.0 } else { 1.0 },
        }
    }

    /// This work and another.
    pub fn and(self, other: Work) -> Work {
        Work {
            tokens: self.tokens + other.tokens,
            pairs: self.pairs + other.pairs,
            prompts: self.prompts + other.prompts,
        }
    }

    /// A multiple of this work.
    pub fn times(self, x: f64) -> Work {
        Work { tokens: self.tokens * x, pairs: self.pairs * x, prompts: self.prompts * x }
    }

    fn units(self) -> [f64; COUNT] {
        [self.tokens, self.pairs, self.prompts, 1.0]
    }
}

/// How fast the engines of a service are believed to be.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Speed {
    /// Seconds per unit of work.
    seconds: [f64; COUNT],
    /// How sure they are.
    covariance: [[f64; COUNT]; COUNT],
    settings: [f64; COUNT],
    /// First tokens that it was learned from.
    samples: u64,
    /// When it last drifted.
    #[serde(skip)]
    at: Duration,
}

impl Speed {
    /// What the settings say.
    pub fn new(tuning: &Tuning) -> Speed {
        let settings = [
            1.0 / tuning.tokens_per_ms.max(f64::MIN_POSITIVE),
            tuning.per_million_pairs.as_secs_f64(),
            tuning.per_prompt.as_secs_f64(),
            tuning.first_token_overhead.as_secs_f64(),
        ];
        let mut covariance = [[0.0; COUNT]; COUNT];
        for (n, setting) in settings.iter().enumerate() {
            covariance[n][n] = (setting * PRIOR_SPREAD).powi(2);
        }
        Speed { seconds: settings, covariance, settings, samples: 0, at: Duration::ZERO }
    }

    /// Seconds that reading takes.
    pub fn reading(&self, work: Work) -> f64 {
        self.expected(work) - self.fixed()
    }

    /// Seconds from the end of reading to the first token.
    pub fn fixed(&self) -> f64 {
        self.seconds[FIXED]
    }

    /// First tokens that it was learned from.
    pub fn samples(&self) -> u64 {
        self.samples
    }

    /// Takes in that a first token came `took` seconds after it was asked for, with this work before
    /// it.
    pub fn learn(&mut self, work: Work, took: f64, now: Duration) {
        self.drift(now);
        let units = work.units();
        let gains = self.covariance.map(|row| dot(&row, &units));
        let expected = self.expected(work);
        let scatter = SCATTER + SCATTER_SHARE * expected;
        let spread = dot(&gains, &units) + scatter * scatter;
        let far = OUTLIER * spread.sqrt();
        let off = (took - expected).clamp(-far, far);
        for (n, gain) in gains.iter().enumerate() {
            let setting = self.settings[n];
            let moved = self.seconds[n] + gain / spread * off;
            self.seconds[n] = moved.clamp(setting / BOUND, setting * BOUND);
            for (m, other) in gains.iter().enumerate() {
                self.covariance[n][m] -= gain * other / spread;
            }
        }
        self.samples += 1;
    }

    /// Takes over what another box has learned, unless this one has learned more or that can't be
    /// so.
    pub fn adopt(&mut self, other: &Speed) {
        let settings = self.settings;
        let is_bounded = |n: usize, x: f64| settings[n] / BOUND <= x && x <= settings[n] * BOUND;
        let is_sane = other.seconds.iter().enumerate().all(|(n, seconds)| is_bounded(n, *seconds))
            && other.covariance.iter().flatten().all(|c| c.is_finite());
        if is_sane && self.samples < other.samples {
            *self = Speed { at: self.at, settings, ..other.clone() };
        }
    }

    fn expected(&self, work: Work) -> f64 {
        dot(&self.seconds, &work.units())
    }

    fn drift(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        for (n, seconds) in self.seconds.iter().enumerate() {
            let most = (self.settings[n] * PRIOR_SPREAD).powi(2);
            let drifted = self.covariance[n][n] + (seconds * DRIFT).powi(2) * passed;
            self.covariance[n][n] = drifted.min(most.max(self.covariance[n][n]));
        }
    }
}

/// How much slower than its service one engine is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowdownFactor {
    /// Seconds that work took, and was expected to take at the service's speed, lately.
    took: f64,
    expected: f64,
    at: Duration,
}

impl SlowdownFactor {
    /// The factor: one for an engine like the others.
    pub fn get(&self) -> f64 {
        (self.took + FACTOR_PRIOR) / (self.expected + FACTOR_PRIOR)
    }

    /// Takes in that work took so many seconds, where the service's speed would have it take
    /// `expected`.
    pub fn learn(&mut self, expected: f64, took: f64, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        let left = 0.5f64.powf(passed / FACTOR_HALF_LIFE);
        self.took = self.took * left + took.clamp(0.0, expected * FACTOR_MAX);
        self.expected = self.expected * left + expected;
    }
}

fn dot(a: &[f64; COUNT], b: &[f64; COUNT]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}
