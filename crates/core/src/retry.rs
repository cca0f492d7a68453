//! The retry budget: retries are a tenth of traffic at most, so a failing pool is not stormed.

/// Share of first attempts that may be retried.
pub const RETRY_SHARE: f64 = 0.1;

/// Retries that a quiet box may make at once.
pub const RETRY_BURST: f64 = 10.0;

/// Attempts that one request may take, escalation not counted.
pub const ATTEMPT_LIMIT: u32 = 3;

/// The budget.
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
    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + RETRY_SHARE).min(RETRY_BURST);
    }

    /// Takes one retry, if the budget has one.
    pub fn spend(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
