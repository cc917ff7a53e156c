//! The rate at which a queue drains, and when a refused request should come back.

use std::time::Duration;

/// Time in which the measured rate forgets all but a third of what came before.
const RATE_MEMORY: Duration = Duration::from_millis(500);

/// Time in which the rate of an empty queue approaches the capacity of the engines.
const RECOVERY: Duration = Duration::from_secs(1);

/// Lowest rate that is assumed, as a fraction of the engines' capacity.
const RATE_MIN_SHARE: f64 = 0.05;

/// Shortest time after which a refused request should come back.
const RETRY_MIN: Duration = Duration::from_millis(100);

/// Callers wait for at most this fraction of the time that they have left.
const RETRY_MAX_SHARE: f64 = 1.0 / 3.0;

/// Times to come back are spread over this range of factors, so that callers refused together don't
/// come back together.
const RETRY_SPREAD: [f64; 2] = [0.75, 1.25];

/// Weight of the newest request in the correction of predicted waits.
const CORRECTION_WEIGHT: f64 = 1.0 / 16.0;

/// Largest factor by which predicted waits are corrected.
const CORRECTION_MAX: f64 = 8.0;

/// A request that was not served in time would have waited longer than its time, by this factor at
/// least.
const EXPIRED_FACTOR: f64 = 1.5;

/// Difference between predicted and real wait that is of no importance.
const CORRECTION_SLACK: Duration = Duration::from_millis(20);

/// By how much requests wait longer than is predicted.
#[derive(Clone, Copy, Debug)]
pub struct Correction {
    factor: f64,
}

impl Default for Correction {
    fn default() -> Correction {
        Correction { factor: 1.0 }
    }
}

impl Correction {
    pub fn apply(self, predicted: Duration) -> Duration {
        Duration::try_from_secs_f64(predicted.as_secs_f64() * self.factor).unwrap_or(Duration::MAX)
    }

    /// Records how long a request was in the queue until it was served, or given up.
    pub fn record(&mut self, predicted: Duration, waited: Duration, is_served: bool) {
        let slack = CORRECTION_SLACK.as_secs_f64();
        let ratio = (waited.as_secs_f64() + slack) / (predicted.as_secs_f64() + slack);
        let ratio = if is_served { ratio } else { ratio.max(self.factor) * EXPIRED_FACTOR };
        self.factor += (ratio.clamp(1.0, CORRECTION_MAX) - self.factor) * CORRECTION_WEIGHT;
    }
}

/// Seconds of prefill that leave a queue in a second, because engines begin with them.
#[derive(Clone, Copy, Debug)]
pub struct DrainRate {
    per_s: f64,
    updated: Duration,
    capacity: f64,
}

impl DrainRate {
    /// The rate of engines that can prefill this many seconds of prompts in a second.
    pub fn new(capacity: f64, now: Duration) -> DrainRate {
        DrainRate { per_s: capacity, updated: now, capacity }
    }

    /// Records that engines have begun with this much work; `was_idle` if nothing waited before.
    pub fn record(&mut self, work: f64, was_idle: bool, now: Duration) {
        self.per_s = if was_idle { self.recovered(now) } else { self.decayed(now) };
        self.per_s += work / RATE_MEMORY.as_secs_f64();
        self.updated = self.updated.max(now);
    }

    pub fn set_capacity(&mut self, capacity: f64, is_idle: bool, now: Duration) {
        self.record(0.0, is_idle, now);
        if self.capacity == 0.0 {
            // None was known before.
            self.per_s = capacity;
        }
        self.capacity = capacity;
    }

    /// The rate while something waits.
    pub fn per_s(&self, now: Duration) -> f64 {
        self.decayed(now).max(self.capacity * RATE_MIN_SHARE).max(f64::MIN_POSITIVE)
    }

    fn decayed(&self, now: Duration) -> f64 {
        self.per_s * (-self.idle_for(now) / RATE_MEMORY.as_secs_f64()).exp()
    }

    fn recovered(&self, now: Duration) -> f64 {
        let rest = (-self.idle_for(now) / RECOVERY.as_secs_f64()).exp();
        self.capacity + (self.per_s - self.capacity) * rest
    }

    fn idle_for(&self, now: Duration) -> f64 {
        now.saturating_sub(self.updated).as_secs_f64()
    }
}

/// When a caller should come back whose request would begin after `wait`, and which has `remaining`
/// left. `draw` is the same for all attempts at this request.
pub fn retry_after(wait: Duration, draw: u64, remaining: Duration) -> Duration {
    let [from, to] = RETRY_SPREAD;
    let factor = from + (to - from) * (draw as f64 / u64::MAX as f64);
    let spread = wait.max(RETRY_MIN).as_secs_f64() * factor;
    let latest = remaining.mul_f64(RETRY_MAX_SHARE);
    Duration::try_from_secs_f64(spread).unwrap_or(latest).max(RETRY_MIN).min(latest)
}
