//! Requests that this daemon may still send to a server with a request limit.

use crate::fleet::share::Share;
use crate::prelude::*;

/// Parts of a limit that the schedulers may use, in the order in which they place a pool's requests. The second and the
/// third place few requests while the first runs.
const SCHEDULER_PARTS: [f64; 3] = [0.8, 0.3, 0.15];
/// Part for a daemon that schedules no requests and that the server is assigned to.
const OTHERS_PART: f64 = 0.15;
/// Number of such daemons for each server. A fraction of a request for each of many daemons would be none.
const OTHERS_PER_SERVER: usize = 1;
/// Lowest limit that is used. Without any request, the end of a limit would not be noticed.
const MIN_PER_S: f64 = 0.2;
/// Time over which requests may be sent at once, in addition to one.
const BURST: Duration = Duration::from_millis(250);

/// Tokens for requests to one server. They come at this daemon's rate.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    tokens: f64,
    filled_at: Time,
}

impl Bucket {
    /// Returns an empty bucket.
    pub(super) fn new(now: Time) -> Self {
        Self { tokens: 0.0, filled_at: now }
    }

    /// Tokens at a time, at a rate per second.
    pub(super) fn tokens(self, now: Time, per_s: f64) -> f64 {
        let inflow = now.saturating_sub(self.filled_at).as_secs_f64() * per_s;
        (self.tokens + inflow).min(1.0 + per_s * BURST.as_secs_f64())
    }

    /// Takes a token, which a request that was placed before the limit was known may owe.
    pub(super) fn take(&mut self, now: Time, per_s: f64) {
        self.tokens = (self.tokens(now, per_s) - 1.0).max(-1.0);
        self.filled_at = now;
    }
}

/// Requests per second that a daemon with this share may send to a server.
pub(in crate::fleet) fn rate(share: Share, limit_per_s: f64, server: &str) -> f64 {
    let part = match share {
        Share::Scheduler(position) => SCHEDULER_PARTS.get(position).copied().unwrap_or_default(),
        Share::Other { position, daemons } => {
            let units = Share::units_of_others(position, daemons, OTHERS_PER_SERVER, server);
            if units > 0 { OTHERS_PART } else { 0.0 }
        }
    };
    limit_per_s.max(MIN_PER_S) * part
}
