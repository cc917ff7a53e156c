//! The budget of repeats: how many requests may be sent to another upstream after a failure.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::names::ServiceName;

/// Part of the fleet's bound that this product uses, so that boxes that disagree on their number
/// stay within it.
const USED: f64 = 0.4;

/// What the fleet may repeat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats allowed on top, by the whole fleet in a window.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// The budget of one box.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    services: HashMap<ServiceName, Counted>,
}

#[derive(Debug, Default)]
struct Counted {
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

impl RetryBudget {
    /// A budget of which nothing is used.
    pub fn new(bounds: RetryBounds) -> RetryBudget {
        RetryBudget { bounds, services: HashMap::new() }
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, service: &ServiceName, now: Duration) {
        let window = self.bounds.window;
        let counted = self.services.entry(service.clone()).or_default();
        counted.requests.push_back(now);
        expire(&mut counted.requests, window, now);
    }

    /// Takes a repeat out of the budget, shared by `boxes` boxes; false when it is used up.
    pub fn try_take(&mut self, service: &ServiceName, boxes: usize, now: Duration) -> bool {
        let bounds = self.bounds;
        let counted = self.services.entry(service.clone()).or_default();
        expire(&mut counted.requests, bounds.window, now);
        expire(&mut counted.repeats, bounds.window, now);
        let slack = bounds.slack / boxes.max(1) as f64;
        let most = USED * (bounds.ratio * counted.requests.len() as f64 + slack);
        if most < (counted.repeats.len() + 1) as f64 {
            return false;
        }
        counted.repeats.push_back(now);
        true
    }
}

fn expire(times: &mut VecDeque<Duration>, window: Duration, now: Duration) {
    while times.front().is_some_and(|t| *t + window < now) {
        times.pop_front();
    }
}
