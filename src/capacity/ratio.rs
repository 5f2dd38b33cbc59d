//! Ratios of times, averaged and compared by their logarithms: twice and half are equally far from 1.

/// Largest factor of a speed; the smallest is its inverse.
pub(super) const MAX_FACTOR: f64 = 8.0;

/// The natural logarithm of a factor, within the bounds of [`MAX_FACTOR`].
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct Ratio(f64);

impl Ratio {
    /// Difference up to which two speeds count as equal: predictions within a quarter place
    /// requests alike, and measurements scatter by about as much.
    pub(super) const CLOSE: f64 = 0.223;
    /// Difference from which two speeds are clearly apart: half as long again. Between the two, the
    /// difference counts in part, so that a server at the edge does not change its place.
    pub(super) const CLEAR: f64 = 0.405;

    /// The ratio of a positive factor.
    pub(super) fn of(factor: f64) -> Self {
        Self(0.0).moved(factor.ln())
    }

    /// The factor.
    pub(super) fn factor(self) -> f64 {
        self.0.exp()
    }

    /// How far another ratio is above this one.
    pub(super) fn to(self, other: Self) -> f64 {
        other.0 - self.0
    }

    /// The ratio that is `difference` above this one, within the bounds.
    pub(super) fn moved(self, difference: f64) -> Self {
        let limit = MAX_FACTOR.ln();
        Self((self.0 + difference).clamp(-limit, limit))
    }

    /// A difference without what lies within the scatter of measurements: none up to
    /// [`Self::CLOSE`], all from [`Self::CLEAR`].
    pub(super) fn clear_difference(difference: f64) -> f64 {
        let share = (difference.abs() - Self::CLOSE) / (Self::CLEAR - Self::CLOSE);
        difference * share.clamp(0.0, 1.0)
    }
}
