//! How far predicted times are from real ones.

use super::Sample;

/// Upper bounds of the real time over the predicted one.
const BOUNDS: [f64; 10] = [0.25, 0.5, 0.67, 0.8, 1.0, 1.25, 1.5, 2.0, 4.0, 8.0];

/// Counts of answers by their real time over the predicted one.
#[derive(Debug, Clone, Default)]
pub struct Deviation {
    counts: [u64; BOUNDS.len() + 1],
}

impl Deviation {
    /// Counts an answer; one without valid times is ignored.
    pub fn record(&mut self, sample: Sample) {
        let Some(factor) = sample.factor() else { return };
        let bucket = BOUNDS.iter().position(|bound| factor <= *bound).unwrap_or(BOUNDS.len());
        self.counts[bucket] += 1;
    }

    /// Answers up to each bound, in percent of the predicted time.
    ///
    /// ```
    /// use cardamomvalve::capacity::{Deviation, Sample};
    /// let mut deviation = Deviation::default();
    /// deviation.record(Sample { predicted_ms: 10.0, took_ms: 11.0 });
    /// assert!(deviation.cumulative().any(|row| row == (Some(125), 1)));
    /// ```
    pub fn cumulative(&self) -> impl Iterator<Item = (Option<u32>, u64)> + '_ {
        let percent = BOUNDS.iter().map(|bound| Some((bound * 100.0).round() as u32));
        let percent = percent.chain(std::iter::once(None));
        let sums = self.counts.iter().scan(0, |sum, count| {
            *sum += count;
            Some(*sum)
        });
        percent.zip(sums)
    }
}
