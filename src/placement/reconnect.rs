//! How often a box tries to connect to an upstream that may be unreachable.
//!
//! The boxes that decide on it try often, since it gets no request before one of them has reached
//! it. All others only need to know for requests that nobody else decides on; together they try at
//! most some dozen times a second, however many they are.

use std::time::Duration;

/// Interval after a first failure; doubled with each further one.
const INTERVAL_FIRST: Duration = Duration::from_millis(300);

/// Longest time from one attempt to the next of a box that decides. With the time to notice that an
/// attempt is due and to connect, an upstream that is reachable again gets requests within a second.
const DECIDER_INTERVAL_MAX: Duration = Duration::from_millis(800);

/// Longest interval of other boxes in a small fleet.
const INTERVAL_MAX: Duration = Duration::from_millis(2400);

/// Shortest interval of the other boxes of a fleet together.
const INTERVAL_PER_BOX: Duration = Duration::from_millis(25);

/// What a box's attempts to connect to an upstream depend on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReconnectPace {
    /// Whether the box decides which requests the upstream gets.
    pub decides: bool,
    /// Boxes of the fleet.
    pub boxes: usize,
    /// A pseudo-random number of the box, so that boxes which noticed at once don't all try at once.
    pub draw: u32,
}

impl ReconnectPace {
    /// The pace of a box that decides.
    pub const DECIDER: ReconnectPace = ReconnectPace { decides: true, boxes: 1, draw: 0 };

    /// The longest time from the start of an attempt to the next one.
    pub fn interval_max(self) -> Duration {
        if self.decides { DECIDER_INTERVAL_MAX } else { INTERVAL_MAX.max(self.share()) }
    }

    /// When to try again after several failures in a row, of which the last attempt began at
    /// `tried_at`.
    pub fn next_attempt(self, failures: u32, tried_at: Duration, now: Duration) -> Duration {
        let growing = INTERVAL_FIRST * 2u32.saturating_pow(failures.clamp(1, 8) - 1);
        if self.decides {
            // An attempt without a response takes a while itself.
            return (now + growing).min(tried_at + DECIDER_INTERVAL_MAX).max(now);
        }
        let longest = growing.max(self.share()).min(self.interval_max());
        now + longest.mul_f64(0.5 + 0.5 * f64::from(self.draw) / f64::from(u32::MAX))
    }

    /// Time in which each box of the fleet may try once.
    fn share(self) -> Duration {
        INTERVAL_PER_BOX * u32::try_from(self.boxes).unwrap_or(u32::MAX)
    }
}
