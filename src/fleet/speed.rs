//! Predicted times at servers, by their learnt speed where the policy asks for it.

use super::load::Load;
use super::prompt::PREFILL_TOKENS_PER_MS;
use super::{Node, Server};
use crate::prelude::*;

/// Delay of the first token per request that runs on the server: its share of the engine's steps.
const DELAY_MS_PER_RUNNING_REQUEST: f64 = 2.0;
/// Assumed milliseconds for which a request occupies a slot of a plain server.
const PLAIN_REQUEST_MS: f64 = 40.0;

impl Node {
    /// How many times as long as assumed a server takes.
    pub(super) fn slowness(&self, now: Time, server: &Server) -> f64 {
        if !self.policy.learns_capacity {
            return 1.0;
        }
        let pool = self.pool_speeds.get(&server.entry.pool);
        pool.map_or(1.0, |pool| server.speed.estimate(now, pool).factor)
    }

    /// How many times as long as assumed the servers of a pool typically take.
    pub(super) fn pool_slowness(&self, pool: &str) -> f64 {
        let learnt = self.pool_speeds.get(pool).filter(|_| self.policy.learns_capacity);
        learnt.map_or(1.0, |pool| pool.factor())
    }

    /// Milliseconds in which a server reads prompt tokens.
    pub(super) fn read_ms(&self, now: Time, server: &Server, tokens: u32) -> f64 {
        f64::from(tokens) / PREFILL_TOKENS_PER_MS * self.slowness(now, server)
    }

    /// Milliseconds for which the work at an engine delays the first token of a new request.
    pub(super) fn engine_wait_ms(&self, now: Time, server: &Server, load: Load) -> f64 {
        let reading = f64::from(load.pending_tokens) / PREFILL_TOKENS_PER_MS;
        let running = f64::from(load.running) * DELAY_MS_PER_RUNNING_REQUEST;
        (reading + running) * self.slowness(now, server)
    }

    /// Milliseconds for which a request occupies a slot of a plain server.
    pub(super) fn plain_ms(&self, now: Time, server: &Server) -> f64 {
        PLAIN_REQUEST_MS * self.slowness(now, server)
    }

    /// The same, at a typical server of a pool.
    pub(super) fn pool_plain_ms(&self, pool: &str) -> f64 {
        PLAIN_REQUEST_MS * self.pool_slowness(pool)
    }
}
