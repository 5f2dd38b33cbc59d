//! A budget of retries, so that a failing server does not double the load on the others.

/// Retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Retries that may be saved up.
const MAX_RETRIES: f64 = 20.0;

/// How many retries may still be made.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget(f64);

impl Default for Budget {
    fn default() -> Self {
        Self(MAX_RETRIES)
    }
}

impl Budget {
    /// Notes a request, which earns a part of a retry.
    pub fn deposit(&mut self) {
        self.0 = (self.0 + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Takes one retry out; false where none is left.
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
