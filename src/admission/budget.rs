//! A retry budget, so that a failing server does not double the load on the others.

/// Retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Max retries that the budget accumulates.
const MAX_RETRIES: f64 = 20.0;

/// The number of retries still allowed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget(f64);

impl Default for Budget {
    fn default() -> Self {
        Self(MAX_RETRIES)
    }
}

impl Budget {
    /// Adds the part of a retry that a request allows.
    pub fn deposit(&mut self) {
        self.0 = (self.0 + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Withdraws one retry. Returns false if none is available.
    ///
    /// ```
    /// let mut budget = cardamomvalve::admission::Budget::default();
    /// assert!(budget.try_withdraw());
    /// ```
    pub fn try_withdraw(&mut self) -> bool {
        if self.0 < 1.0 {
            return false;
        }
        self.0 -= 1.0;
        true
    }
}
