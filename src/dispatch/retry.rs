//! A budget for retries, so that a sick pool isn't hammered by the fleet's second tries.

/// Retries that may be saved up while all goes well.
const SAVED_MAX: f64 = 10.0;

/// Lets retries through as a share of first tries.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
}

impl RetryBudget {
    /// A budget of `percent` retries for each hundred requests.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget { share: f64::from(percent) / 100.0, saved: SAVED_MAX }
    }

    /// Changes the share, keeping what is saved.
    pub fn set_percent(&mut self, percent: u32) {
        self.share = f64::from(percent) / 100.0;
    }

    /// Notes a first try.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + self.share).min(SAVED_MAX);
    }

    /// Takes one retry out of the budget; false when it is spent.
    pub fn try_take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
