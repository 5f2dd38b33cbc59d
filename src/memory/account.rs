//! The account of all holdings of a daemon.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use async_channel::{Receiver, Sender};
use futures_lite::future;

use super::holding::{Full, Holding, SMALL_BYTES};
use super::{Limits, Port};
use crate::prelude::*;
use crate::telemetry::metrics::Gauge;

/// Time without progress after which a connection that waits for bytes may be revoked: many times the latency of a
/// caller's link, so that a request that arrives at an ordinary pace is not.
const STALL_TIME: Duration = Duration::from_millis(250);
/// Maximum number of yields to other tasks, so that revoked holdings end, before the request for more is refused.
const MAX_YIELDS: u32 = 1_000;

/// What the owner of a holding does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// It waits for bytes, and made its last progress at this time. It may be revoked, since its request has not run.
    Waiting(Instant),
    /// It works on a request or an answer.
    Serving,
}

#[derive(Debug)]
struct Holder {
    /// The port of a connection; an answer has none.
    port: Option<Port>,
    bytes: usize,
    phase: Phase,
    /// Dropped to revoke the holding.
    keep: Option<Sender<()>>,
}

impl Holder {
    /// Returns since when the holder has made no progress, if it may be revoked at `now`.
    fn stalled_since(&self, now: Instant) -> Option<Instant> {
        match self.phase {
            Phase::Waiting(since) if self.keep.is_some() => {
                (now.saturating_duration_since(since) >= STALL_TIME).then_some(since)
            }
            Phase::Waiting(_) | Phase::Serving => None,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    next_number: u64,
    /// Sum of the bytes of all holders.
    bytes: usize,
    holders: BTreeMap<u64, Holder>,
    /// Number of open connections by port.
    connections: BTreeMap<Port, usize>,
}

/// Result of a try to get more.
enum Grant {
    Given,
    /// Enough was revoked, and is given back once its owners run.
    Pending,
    Refused,
}

impl State {
    fn add(&mut self, port: Option<Port>, phase: Phase) -> (u64, Receiver<()>) {
        let number = self.next_number;
        self.next_number += 1;
        let (keep, revoked) = async_channel::bounded(1);
        self.holders.insert(number, Holder { port, bytes: 0, phase, keep: Some(keep) });
        if let Some(port) = port {
            *self.connections.entry(port).or_default() += 1;
        }
        (number, revoked)
    }

    fn set(&mut self, number: u64, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&number) {
            self.bytes = self.bytes - holder.bytes + bytes;
            holder.bytes = bytes;
        }
    }

    /// Revokes the holder that has stalled for longest among those that `matches` picks. Walks over all holders, which
    /// the limits of connections bound.
    fn revoke_stalled(&mut self, matches: impl Fn(u64, &Holder) -> bool) -> bool {
        let now = Instant::now();
        let stalled = self.holders.iter_mut().filter(|(number, holder)| matches(**number, holder));
        let since = stalled.filter_map(|(_, holder)| Some((holder.stalled_since(now)?, holder)));
        let Some((_, holder)) = since.min_by_key(|(since, _)| *since) else { return false };
        holder.keep = None;
        true
    }

    fn revoked_bytes(&self) -> usize {
        let revoked = self.holders.values().filter(|holder| holder.keep.is_none());
        revoked.map(|holder| holder.bytes).sum()
    }

    fn revoked_connections(&self, port: Port) -> usize {
        let is_revoked = |holder: &&Holder| holder.keep.is_none() && holder.port == Some(port);
        self.holders.values().filter(is_revoked).count()
    }
}

/// The account of a daemon.
#[derive(Debug, Default)]
pub struct Account {
    limits: Limits,
    state: Mutex<State>,
}

impl Account {
    /// Creates an account with nothing held.
    pub fn new(limits: Limits) -> Self {
        Self { limits, state: Mutex::default() }
    }

    /// Opens a connection at `port`. At the limit, the connection that has stalled for longest is revoked; returns `None` if
    /// none has.
    pub async fn open(self: &Arc<Self>, port: Port) -> Option<Holding> {
        for _ in 0..MAX_YIELDS {
            match self.try_open(port) {
                Ok(holding) => return Some(holding),
                Err(Grant::Refused) => return None,
                Err(_) => future::yield_now().await,
            }
        }
        None
    }

    fn try_open(self: &Arc<Self>, port: Port) -> Result<Holding, Grant> {
        let mut state = self.lock();
        match self.grant_connection(&mut state, port) {
            Grant::Given => {
                let (number, revoked) = state.add(Some(port), Phase::Waiting(Instant::now()));
                Ok(Holding::new(Arc::clone(self), number, revoked))
            }
            other => Err(other),
        }
    }

    /// Begins to count the bytes of an answer.
    pub fn begin(self: &Arc<Self>) -> Holding {
        let (number, revoked) = self.lock().add(None, Phase::Serving);
        Holding::new(Arc::clone(self), number, revoked)
    }

    /// Returns the number of bytes that are held.
    pub fn held_bytes(&self) -> usize {
        self.lock().bytes
    }

    /// Returns the number of open connections at `port`.
    pub fn connections(&self, port: Port) -> usize {
        self.lock().connections.get(&port).copied().unwrap_or(0)
    }

    /// Returns the number of buffered bytes and open connections, for the metrics.
    pub fn gauges(&self) -> Vec<Gauge> {
        let bytes = Gauge::new("held_bytes", self.held_bytes() as u64);
        let max_bytes = Gauge::new("held_bytes_max", self.limits.bytes as u64);
        let connections = Port::ALL.map(|port| {
            let open = self.connections(port) as u64;
            Gauge::labeled("connections", "port", port.name(), open)
        });
        [bytes, max_bytes].into_iter().chain(connections).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn grant_connection(&self, state: &mut State, port: Port) -> Grant {
        let open = state.connections.get(&port).copied().unwrap_or(0);
        if open < self.limits.connections(port) {
            return Grant::Given;
        }
        let is_pending = open - state.revoked_connections(port) < self.limits.connections(port);
        match is_pending || state.revoke_stalled(|_, holder| holder.port == Some(port)) {
            true => Grant::Pending,
            false => Grant::Refused,
        }
    }

    /// The most that all holdings may have together while one of them has `bytes`.
    fn limit_for(&self, bytes: usize) -> usize {
        if bytes > SMALL_BYTES { self.limits.large_bytes() } else { self.limits.bytes }
    }

    /// Lets the holding `number` have `bytes`.
    pub(super) async fn grow(&self, number: u64, bytes: usize) -> Result<(), Full> {
        for _ in 0..MAX_YIELDS {
            match self.grant_bytes(&mut self.lock(), number, bytes) {
                Grant::Given => return Ok(()),
                Grant::Pending => {}
                Grant::Refused => return Err(Full),
            }
            future::yield_now().await;
        }
        Err(Full)
    }

    fn grant_bytes(&self, state: &mut State, number: u64, bytes: usize) -> Grant {
        let before = state.holders.get(&number).map_or(0, |holder| holder.bytes);
        let (limit, wanted) = (self.limit_for(bytes), state.bytes - before + bytes);
        if wanted <= limit || bytes <= before {
            state.set(number, bytes);
            return Grant::Given;
        }
        let is_pending = wanted - state.revoked_bytes() <= limit;
        match is_pending
            || state.revoke_stalled(|other, holder| other != number && holder.bytes > 0)
        {
            true => Grant::Pending,
            false => Grant::Refused,
        }
    }

    /// Counts `bytes` for the holding `number`, whatever the limit. Fails if all together are then beyond it and this one
    /// is not small.
    pub(super) fn set(&self, number: u64, bytes: usize) -> Result<(), Full> {
        let mut state = self.lock();
        state.set(number, bytes);
        let is_within = bytes <= SMALL_BYTES || state.bytes <= self.limit_for(bytes);
        if is_within { Ok(()) } else { Err(Full) }
    }

    /// Sets what the owner of the holding does. Returns whether the holding is not revoked.
    pub(super) fn set_phase(&self, number: u64, phase: Phase) -> bool {
        match self.lock().holders.get_mut(&number) {
            Some(holder) if holder.keep.is_some() => {
                holder.phase = phase;
                true
            }
            _ => false,
        }
    }

    pub(super) fn end(&self, number: u64) {
        let mut state = self.lock();
        let Some(holder) = state.holders.remove(&number) else { return };
        state.bytes -= holder.bytes;
        if let Some(port) = holder.port
            && let Some(open) = state.connections.get_mut(&port)
        {
            *open -= 1;
        }
    }
}
