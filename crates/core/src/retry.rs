//! The retry budget: retries are at most a tenth of the traffic, to avoid a retry storm on a
//! failing pool.

/// Retries that the budget gains for each first attempt.
pub const RETRY_SHARE: f64 = 0.1;

/// Maximum number of retries that the budget saves up.
pub const RETRY_BURST: f64 = 10.0;

/// Number of attempts of a request after which a failure is not retried. It does not limit
/// escalation.
pub const ATTEMPT_LIMIT: u32 = 3;

/// Retry budget of a box, a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: RETRY_BURST }
    }
}

impl RetryBudget {
    /// Adds the share of one first attempt to the budget.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + RETRY_SHARE).min(RETRY_BURST);
    }

    /// Takes one retry from the budget. Returns false if there is none.
    pub fn spend(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
