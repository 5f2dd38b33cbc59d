//! Pool of idle connections to servers.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use async_io::Timer;

use super::{Conn, Fields};
use crate::prelude::*;

/// Time to keep an idle connection if the server states none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(2);
/// Longest time to keep an idle connection, whatever the server states: it may have left meanwhile.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(50);
/// Interval at which connections that have been idle for too long are closed, also to servers that get no more requests.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of requests that a connection carries, which bounds the ids that it remembers.
pub(super) const MAX_REQUESTS_PER_CONNECTION: usize = 256;
/// Safety margin subtracted from the server's stated timeout: a request must not race with the
/// server's close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

#[derive(Debug)]
struct Idle {
    conn: Conn,
    expires_at: Instant,
}

/// Idle connections, keyed by server address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Takes the most recently used idle connection to `address` that received nothing and has not carried the request
    /// `id`, if it has one: on one that has, a late copy of the earlier attempt's answer could not be distinguished from the next one's.
    pub fn take(&self, address: SocketAddr, id: Option<&str>) -> Option<Conn> {
        let mut idle = self.idle.lock().ok()?;
        let kept = idle.get_mut(&address)?;
        let now = Instant::now();
        kept.retain(|idle| idle.expires_at > now);
        for index in (0..kept.len()).rev() {
            if id.is_some_and(|id| kept[index].conn.has_carried(id)) {
                continue;
            }
            let candidate = kept.remove(index);
            if !candidate.conn.has_unexpected_input() {
                return Some(candidate.conn);
            }
        }
        if kept.is_empty() {
            idle.remove(&address);
        }
        None
    }

    /// Closes the idle connections to `address`, after the server there has ended.
    pub fn close_idle(&self, address: SocketAddr) {
        if let Ok(mut idle) = self.idle.lock() {
            idle.remove(&address);
        }
    }

    /// Closes connections that have been idle for too long, for as long as the future is polled.
    pub async fn sweep(&self) {
        loop {
            Timer::after(SWEEP_INTERVAL).await;
            self.close_expired(Instant::now());
        }
    }

    fn close_expired(&self, now: Instant) {
        let Ok(mut idle) = self.idle.lock() else { return };
        idle.retain(|_, kept| {
            kept.retain(|idle| idle.expires_at > now);
            !kept.is_empty()
        });
    }

    /// Adds a connection whose exchange has ended and closes the oldest ones to its address beyond
    /// `max_idle`; `fields` are those of its last answer.
    pub fn put(&self, address: SocketAddr, conn: Conn, fields: &Fields, max_idle: usize) {
        let keep_alive = stated_keep_alive(fields)
            .map_or(DEFAULT_KEEP_ALIVE, |stated| stated.saturating_sub(KEEP_ALIVE_MARGIN));
        let is_used_up = conn.request_count() >= MAX_REQUESTS_PER_CONNECTION;
        if max_idle == 0 || keep_alive.is_zero() || is_used_up || conn.has_unexpected_input() {
            return;
        }
        let now = Instant::now();
        let Ok(mut idle) = self.idle.lock() else { return };
        let kept = idle.entry(address).or_default();
        kept.retain(|idle| idle.expires_at > now);
        let surplus = (kept.len() + 1).saturating_sub(max_idle);
        kept.drain(..surplus);
        kept.push(Idle { conn, expires_at: now + keep_alive });
    }
}

/// Parses the timeout of a `Keep-Alive` field, of which at most [`MAX_KEEP_ALIVE`] counts.
fn stated_keep_alive(fields: &Fields) -> Option<Duration> {
    let value = fields.get("keep-alive")?;
    let parameters = value.split(',').filter_map(|parameter| parameter.trim().split_once('='));
    let mut timeouts = parameters.filter(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"));
    let seconds = timeouts.next()?.1.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).min(MAX_KEEP_ALIVE))
}
