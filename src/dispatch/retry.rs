//! A retry budget (a token bucket), so that retries don't overload a pool that already fails.

/// Capacity of the bucket, in retries.
const TOKENS_MAX: f64 = 10.0;

/// Limits retries to a share of the first attempts.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    tokens: f64,
}

impl RetryBudget {
    /// A full budget that earns `percent` retries for each hundred requests.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget { ratio: f64::from(percent) / 100.0, tokens: TOKENS_MAX }
    }

    /// Changes the share; the tokens stay.
    pub fn set_percent(&mut self, percent: u32) {
        self.ratio = f64::from(percent) / 100.0;
    }

    /// Records a first attempt.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(TOKENS_MAX);
    }

    /// Takes one retry from the budget. Returns false when it is exhausted.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
