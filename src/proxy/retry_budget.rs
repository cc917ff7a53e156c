//! The retry budget: how many requests this box may send to another upstream after a failure.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::names::ServiceName;

/// Share of the fleet's limit that is used, so that boxes that disagree on the number of boxes stay
/// within the limit.
const LIMIT_SHARE: f64 = 0.4;

/// Limits on the retries of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries per window, over the whole fleet.
    pub slack: f64,
    /// Period over which requests and retries are counted.
    pub window: Duration,
}

/// The retry budget of one box, per service.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    services: HashMap<ServiceName, ServiceCounts>,
}

#[derive(Debug, Default)]
struct ServiceCounts {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl RetryBudget {
    /// An unused budget.
    pub fn new(bounds: RetryBounds) -> RetryBudget {
        RetryBudget { bounds, services: HashMap::new() }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, service: &ServiceName, now: Duration) {
        let window = self.bounds.window;
        let counts = self.services.entry(service.clone()).or_default();
        counts.requests.push_back(now);
        expire(&mut counts.requests, window, now);
    }

    /// Takes a retry from the budget, which `boxes` boxes share; false if it is used up.
    pub fn try_take(&mut self, service: &ServiceName, boxes: usize, now: Duration) -> bool {
        let bounds = self.bounds;
        let counts = self.services.entry(service.clone()).or_default();
        expire(&mut counts.requests, bounds.window, now);
        expire(&mut counts.retries, bounds.window, now);
        let slack = bounds.slack / boxes.max(1) as f64;
        let limit = LIMIT_SHARE * (bounds.ratio * counts.requests.len() as f64 + slack);
        if limit < (counts.retries.len() + 1) as f64 {
            return false;
        }
        counts.retries.push_back(now);
        true
    }
}

fn expire(times: &mut VecDeque<Duration>, window: Duration, now: Duration) {
    while times.front().is_some_and(|t| *t + window < now) {
        times.pop_front();
    }
}
