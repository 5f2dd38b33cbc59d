//! Load per first level of prefixes. Hot levels get more copies.

use crate::prefix::Key;
use crate::prelude::*;

/// Time in which a rate halves without new requests.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Maximum number of tracked levels. Beyond it, the colder half is dropped.
const MAX_LEVELS: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Rate {
    per_s: f64,
    updated_at: Time,
}

impl Rate {
    fn decayed(&self, now: Time) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.per_s * (-elapsed / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// Exponentially decaying load by first level, in milliseconds of engine time per second.
#[derive(Debug, Default)]
pub struct Heat {
    rates: BTreeMap<Key, Rate>,
}

impl Heat {
    /// Records a request of `level` that takes `work_ms` of engine time.
    pub fn record(&mut self, now: Time, level: Key, work_ms: f64) {
        let added_per_s = work_ms * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        let rate = self.rates.entry(level).or_insert(Rate { per_s: 0.0, updated_at: now });
        *rate = Rate { per_s: rate.decayed(now) + added_per_s, updated_at: now };
        if self.rates.len() > MAX_LEVELS {
            self.evict_coldest(now);
        }
    }

    /// Returns the rate of `level` on this daemon.
    pub fn rate(&self, now: Time, level: Key) -> f64 {
        self.rates.get(&level).map_or(0.0, |rate| rate.decayed(now))
    }

    /// Returns the `count` hottest levels with their rates, hottest first.
    pub fn top(&self, now: Time, count: usize) -> Vec<(Key, f64)> {
        let mut rates: Vec<(Key, f64)> =
            self.rates.iter().map(|(key, rate)| (*key, rate.decayed(now))).collect();
        rates.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        rates.truncate(count);
        rates
    }

    fn evict_coldest(&mut self, now: Time) {
        let kept = self.top(now, MAX_LEVELS / 2);
        self.rates =
            kept.into_iter().map(|(key, per_s)| (key, Rate { per_s, updated_at: now })).collect();
    }
}
