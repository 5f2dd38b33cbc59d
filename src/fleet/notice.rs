//! Notifies peers at once when a large prompt is sent to an engine or its answer begins, with the
//! shared parts that the engine will hold.
//!
//! An engine that reads a large prompt serves no other request meanwhile, for about the interval
//! between two digests. Without a notice, small requests that other daemons send to that engine
//! wait behind the prompt and begin late.

use super::{Effect, Frame, Incarnation, Node, Workload, server};
use crate::prelude::*;

pub(super) use crate::allowance::Allowance;

/// Minimum prompt tokens of a large request: some 20 ms of an engine.
pub(super) const LARGE_TOKENS: u32 = 1_000;
/// Maximum notices per second that one daemon sends, one counted per receiving peer. It bounds the
/// traffic between many daemons: 12 KB per second.
const MAX_NOTICES_PER_S: f64 = 300.0;

/// The current work of a daemon at one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notice {
    /// The daemon.
    pub daemon: String,
    /// The server.
    pub incarnation: Incarnation,
    /// The daemon's work at it.
    pub busy: Workload,
    /// Parts, by salted key, that the server begins to read or fetch.
    pub parts: Vec<u64>,
}

impl Node {
    /// Reports this daemon's work at a server to peers if the change concerns a large prompt.
    pub(super) fn send_notice(
        &mut self,
        now: Time,
        key: server::Key,
        tokens: u32,
        parts: Vec<u64>,
    ) {
        let Some(server) = self.servers.get(key).filter(|_| tokens >= LARGE_TOKENS) else { return };
        let (incarnation, busy) = (server.entry.incarnation.clone(), server.busy(now));
        if self.is_scheduler(now) {
            // Other daemons learn of this load soon enough, and place nothing on these servers.
            return;
        }
        let peers = self.scheduler_addresses(now);
        if peers.is_empty() {
            return;
        }
        self.notice_allowance.refill(now, MAX_NOTICES_PER_S, MAX_NOTICES_PER_S);
        if self.notice_allowance.try_take(peers.len() as f64) {
            let daemon = self.identity.id.clone();
            let notice = Notice { daemon, incarnation, busy, parts };
            self.effects.push(Effect::Send(peers, Frame::Notice(notice)));
        }
    }
}

impl Node {
    /// Applies the current work of a peer at one server, which its next digest reports too. The
    /// parts that the server begins to read need not be read at another one.
    pub(super) fn apply_notice(&mut self, now: Time, notice: Notice) {
        let Notice { daemon, incarnation, busy, parts } = notice;
        if let Some(server) =
            self.incarnations.server(&incarnation).and_then(|key| self.servers.get_mut(key))
        {
            for part in parts {
                server.residency.note_sent(now, part);
            }
        }
        self.set_peer_load(&daemon, incarnation, busy);
    }
}

impl super::Server {
    /// This daemon's work at the server.
    pub(super) fn busy(&self, now: Time) -> Workload {
        let age_ms =
            |at: Time| u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX);
        Workload {
            running: self.running,
            pending_tokens: self.pending_tokens,
            loading_weights: self.is_loading(now),
            last_answer_age_ms: self.last_answer_at.map(age_ms),
            unanswered_ms: self.unanswered_since.map(age_ms),
        }
    }
}
