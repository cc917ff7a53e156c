//! How fast one engine is relative to its service, where that differs much between engines.
//!
//! The difference is the sum of two parts, in logarithms: a level that lasts, and a recent deviation
//! that fades to nothing within seconds, whether or not further first tokens are measured. A Kalman
//! filter estimates both from the same measurements and attributes each error to them by their
//! uncertainty, so an engine that is slow now and then gets a deviation, and one that is always slow
//! a level.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Standard deviation of the levels of a service's engines, in logarithms: engines of different
/// hardware differ by a factor of two and more.
const LEVEL_SPREAD: f64 = 0.5;

/// Drift of a level, as a variance per second.
const LEVEL_DRIFT_PER_S: f64 = 2e-4;

/// Standard deviation of the recent deviation, and the time in which half of it fades.
const DEVIATION_SPREAD: f64 = 0.35;
const DEVIATION_HALF_LIFE_S: f64 = 1.0;

/// Noise of a single measurement: relative to the expected time, and in seconds, for the step that
/// is in progress when a prompt arrives.
const NOISE_SHARE: f64 = 0.2;
const NOISE_S: f64 = 0.01;

/// Measurements beyond this many standard deviations count for less, the further beyond the less.
const OUTLIER_SPREADS: f64 = 1.0;

/// Limit on the ratio of measured to expected time in one measurement, and on the factor of a level,
/// above and below.
const RATIO_MAX: f64 = 8.0;
const LEVEL_MAX: f64 = 4.0;

/// Weight of one exact measurement in what is common to all engines of a service.
const COMMON_WEIGHT: f64 = 0.02;

/// Fraction of the mean level by which one measurement moves its engine's level, so that the levels
/// of a service keep a mean of zero.
const CENTERING: f64 = 0.05;

/// Additional variance of a level that another box has estimated, whose estimate of the service's
/// speed differs a little.
const ADOPTED_VARIANCE: f64 = 0.0025;

/// An engine is slow once its level exceeds this factor by so many standard deviations, and normal
/// again once it is below the factor.
const SLOW_FACTOR: f64 = 1.25;
const SLOW_SPREADS: f64 = 1.5;

/// Standard deviation of a level from which on the engine counts as slow or normal.
const KNOWN_SPREAD: f64 = 0.25;

/// The logarithm of the ratio of measured to expected time, and its variance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Measurement {
    ratio_ln: f64,
    variance: f64,
}

impl Measurement {
    /// Work took `took` seconds, where `expected` were expected at the service's speed. `None` if
    /// nothing can be learned from it.
    pub fn new(expected: f64, took: f64) -> Option<Measurement> {
        if !(took.is_finite() && expected.is_finite() && 0.0 < expected) {
            return None;
        }
        let ratio = (took / expected).clamp(1.0 / RATIO_MAX, RATIO_MAX);
        let variance = NOISE_SHARE.powi(2) + (NOISE_S / expected).powi(2);
        Some(Measurement { ratio_ln: ratio.ln(), variance })
    }
}

/// What the measurements of all engines of a service have in common. Without it, a lasting error of
/// the service's estimate would be taken for a level of every engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CommonError {
    error: f64,
    mean_level: f64,
}

/// The level and the recent deviation of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpeed {
    /// Logarithms of factors; above zero for an engine slower than its service.
    level: f64,
    deviation: f64,
    level_variance: f64,
    covariance: f64,
    deviation_variance: f64,
    /// The factors of the level, and of both parts when they were last updated.
    level_factor: f64,
    factor: f64,
    is_slow: bool,
    #[serde(skip)]
    updated: Duration,
}

/// A level as one box reports it to another.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LevelReport {
    /// The logarithm of the engine's time by that of an engine with the configured speed. The
    /// service's speed, as each box estimates it, cancels out.
    pub level: f64,
    pub variance: f64,
}

/// A reported level that isn't finite or out of bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("level of an engine's speed out of bounds")]
pub struct LevelOutOfBounds;

impl Default for EngineSpeed {
    fn default() -> EngineSpeed {
        EngineSpeed {
            level: 0.0,
            deviation: 0.0,
            level_variance: LEVEL_SPREAD.powi(2),
            covariance: 0.0,
            deviation_variance: DEVIATION_SPREAD.powi(2),
            level_factor: 1.0,
            factor: 1.0,
            is_slow: false,
            updated: Duration::ZERO,
        }
    }
}

impl EngineSpeed {
    /// How many times as long as its service's engines this one takes now. The recent deviation has
    /// faded since the last measurement.
    pub fn factor(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.level_factor + (self.factor - self.level_factor) * remaining_deviation(passed)
    }

    /// The same, apart from the recent deviation.
    pub fn level_factor(&self) -> f64 {
        self.level_factor
    }

    /// Standard deviation of the level's logarithm.
    pub fn level_spread(&self, now: Duration) -> f64 {
        self.level_variance_at(now).sqrt()
    }

    pub fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Records a measurement. Returns whether the engine has become slow, or normal again.
    pub fn update(
        &mut self,
        measured: Measurement,
        common: &mut CommonError,
        now: Duration,
    ) -> bool {
        self.predict(now);
        let Measurement { ratio_ln, variance } = measured;
        let error = ratio_ln - common.error - self.level - self.deviation;
        let [for_level, for_deviation] =
            [self.level_variance + self.covariance, self.covariance + self.deviation_variance];
        let expected_variance = for_level + for_deviation + variance;
        let excess = error.abs() / (OUTLIER_SPREADS * expected_variance.sqrt());
        let total_variance = expected_variance * excess.max(1.0);
        let [level_gain, deviation_gain] =
            [for_level / total_variance, for_deviation / total_variance];
        self.level += level_gain * error;
        self.deviation += deviation_gain * error;
        self.level_variance -= level_gain * for_level;
        self.covariance -= level_gain * for_deviation;
        self.deviation_variance -= deviation_gain * for_deviation;

        let weight = COMMON_WEIGHT * NOISE_SHARE.powi(2) / variance;
        common.error += weight * error / excess.max(1.0);
        common.mean_level += weight * (self.level - common.mean_level);
        let centering = CENTERING * common.mean_level * weight / COMMON_WEIGHT;
        self.level = (self.level - centering).clamp(-LEVEL_MAX.ln(), LEVEL_MAX.ln());
        self.refresh_factors();
        self.check_slow(now)
    }

    /// The level, for a box that starts to track the engine; `service` is the logarithm of the
    /// service's time by the configured one.
    pub fn report(&self, service: f64, now: Duration) -> LevelReport {
        LevelReport { level: self.level + service, variance: self.level_variance_at(now) }
    }

    /// Adopts the level that another box reports, unless this box knows it better. Returns whether
    /// it was adopted.
    pub fn adopt(
        &mut self,
        reported: LevelReport,
        service: f64,
        now: Duration,
    ) -> Result<bool, LevelOutOfBounds> {
        let LevelReport { level, variance } = reported;
        let level = level - service;
        let is_sane = level.abs() <= LEVEL_MAX.ln() * 2.0
            && 0.0 < variance
            && variance <= LEVEL_SPREAD.powi(2);
        if !is_sane {
            return Err(LevelOutOfBounds);
        }
        let variance = variance + ADOPTED_VARIANCE;
        if self.level_variance_at(now) <= variance {
            return Ok(false);
        }
        self.predict(now);
        self.level = level.clamp(-LEVEL_MAX.ln(), LEVEL_MAX.ln());
        self.level_variance = variance;
        self.covariance = 0.0;
        self.refresh_factors();
        self.check_slow(now);
        Ok(true)
    }

    /// Moves the estimates on to `now`, without a measurement.
    fn predict(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.level_variance = self.level_variance_at(now);
        self.updated = self.updated.max(now);
        let remaining = remaining_deviation(passed);
        self.deviation *= remaining;
        self.covariance *= remaining;
        let lasting = DEVIATION_SPREAD.powi(2);
        self.deviation_variance = lasting + (self.deviation_variance - lasting) * remaining.powi(2);
    }

    fn level_variance_at(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        (self.level_variance + LEVEL_DRIFT_PER_S * passed).min(LEVEL_SPREAD.powi(2))
    }

    fn refresh_factors(&mut self) {
        self.level_factor = self.level.exp();
        self.factor = (self.level + self.deviation).exp();
    }

    /// Updates `is_slow`. Returns whether it has changed.
    fn check_slow(&mut self, now: Duration) -> bool {
        let was_slow = self.is_slow;
        let spread = self.level_spread(now);
        if spread <= KNOWN_SPREAD {
            let margin = if was_slow { 0.0 } else { SLOW_SPREADS * spread };
            self.is_slow = SLOW_FACTOR.ln() + margin < self.level;
        }
        self.is_slow != was_slow
    }
}

/// What is left of a deviation after this many seconds.
fn remaining_deviation(passed_s: f64) -> f64 {
    (-passed_s / DEVIATION_HALF_LIFE_S).exp2()
}
