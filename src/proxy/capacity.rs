//! How far this process is behind: a box that gets more than it can carry says so to the balancer
//! and sends its callers elsewhere, until it has caught up.

use std::time::Duration;

/// Average delay of a timer from which on the box counts as overloaded. In calm it is below 2 ms;
/// this is well over what one long request costs, and well under the shortest aim.
const OVERLOADED_FROM: Duration = Duration::from_millis(40);

/// Average delay below which it has caught up.
const CAUGHT_UP_BELOW: Duration = Duration::from_millis(8);

/// Weight of the newest delay in the average: half of it is from the last four ticks.
const WEIGHT: f64 = 0.16;

/// How far this process is behind.
#[derive(Debug, Default)]
pub struct Lag {
    /// Average delay of a timer, in seconds.
    average: f64,
    overloaded: bool,
}

impl Lag {
    /// Notes by how much a timer was late; gives whether the box is overloaded.
    pub fn note(&mut self, late: Duration) -> bool {
        self.average += (late.as_secs_f64() - self.average) * WEIGHT;
        let bound = if self.overloaded { CAUGHT_UP_BELOW } else { OVERLOADED_FROM };
        self.overloaded = bound.as_secs_f64() <= self.average;
        self.overloaded
    }

    /// The average delay.
    pub fn average(&self) -> Duration {
        Duration::from_secs_f64(self.average)
    }
}
