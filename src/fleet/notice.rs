//! Peers are told at once of a large prompt that goes to an engine, of the shared parts that it will
//! hold by that, and of the begin of its answer.
//!
//! An engine that reads a large prompt answers nobody else meanwhile, which takes about the time between
//! two digests. Without a word of it, small requests that other daemons send to that engine wait behind
//! the prompt, and begin late.

use super::{Effect, Frame, Incarnation, Node, Workload, server};
use crate::prelude::*;

pub(super) use crate::allowance::Allowance;

/// Prompt tokens from which a request is a large one: some 20 ms of an engine.
pub(super) const LARGE_TOKENS: u32 = 1_000;
/// Notices that one daemon sends a second at most, counting one for each peer, so that many daemons
/// cost each other little: 12 KB a second.
const MAX_NOTICES_PER_S: f64 = 300.0;

/// What a daemon has at one server now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notice {
    /// The daemon.
    pub daemon: String,
    /// The server.
    pub life: Incarnation,
    /// The daemon's work at it.
    pub busy: Workload,
    /// Parts, by what they are kept under, that the server begins to read or fetch.
    pub parts: Vec<u64>,
}

impl Node {
    /// Tells peers what this daemon has at a server, where the change is of a large prompt.
    pub(super) fn send_notice(
        &mut self,
        now: Time,
        key: server::Key,
        tokens: u32,
        parts: Vec<u64>,
    ) {
        let Some(server) = self.servers.get(key).filter(|_| tokens >= LARGE_TOKENS) else { return };
        let (life, busy) = (server.entry.incarnation.clone(), server.busy(now));
        if self.is_scheduler(now) {
            // The others are told of its load soon enough, and place nothing at the same servers.
            return;
        }
        let peers = self.scheduler_addresses(now);
        if peers.is_empty() {
            return;
        }
        self.notice_allowance.refill(now, MAX_NOTICES_PER_S, MAX_NOTICES_PER_S);
        if self.notice_allowance.spend(peers.len() as f64) {
            let daemon = self.identity.id.clone();
            let notice = Notice { daemon, life, busy, parts };
            self.effects.push(Effect::Send(peers, Frame::Notice(notice)));
        }
    }
}

impl Node {
    /// Takes over what a peer has at one server now; its next digest tells of the work too. What the
    /// server begins to read for others need not be read at another one.
    pub(super) fn apply_notice(&mut self, now: Time, notice: Notice) {
        let Notice { daemon, life, busy, parts } = notice;
        if let Some(server) =
            self.incarnations.server(&life).and_then(|key| self.servers.get_mut(key))
        {
            for part in parts {
                server.residency.note_sent(now, part);
            }
        }
        self.set_peer_load(&daemon, life, busy);
    }
}

impl super::Server {
    /// What this daemon has at it.
    pub(super) fn busy(&self, now: Time) -> Workload {
        let age_ms =
            |at: Time| u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX);
        Workload {
            running: self.running,
            pending_tokens: self.pending_tokens,
            ordered: self.is_loading(now),
            heard_ms: self.last_answer_at.map(age_ms),
            unanswered_ms: self.unanswered_since.map(age_ms),
        }
    }
}
