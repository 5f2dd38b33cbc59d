//! Handovers: peers serve the requests of a daemon that reaches no server.

use std::net::SocketAddr;

use super::request::{Phase, Request};
use super::scheduling::Stage;
use super::{Command, Handover, HandoverEnd, Key, Node};
use crate::prelude::*;

/// Maximum number of peers that a request is offered to.
const MAX_OFFERS: usize = 3;
/// Interval at which the peers that may take requests over are listed again.
const LIST_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a peer that did not take a request over is offered no other.
const REFUSAL_PERIOD: Duration = Duration::from_millis(500);
/// Number of peers that are no schedulers from which schedulers are spared.
const MIN_OTHERS: usize = 4;
/// Maximum number of open requests that a daemon has taken over, and the same for each core.
const BASE_TAKEN_OVER: usize = 16;
const TAKEN_OVER_PER_CORE: f32 = 256.0;

/// State of handovers in both directions.
#[derive(Debug, Default)]
pub(super) struct Handovers {
    /// Peers that may take requests over, with the addresses for that.
    takers: Vec<(String, SocketAddr)>,
    listed_at: Option<Time>,
    /// Open handovers by peer.
    open: BTreeMap<String, u32>,
    /// Peers that did not take a request over, until when they are offered none.
    refused: BTreeMap<String, Time>,
    /// Requests that this daemon has taken over and that may still be open.
    taken_over: BTreeSet<Key>,
}

impl Node {
    /// Whether this daemon takes another request over.
    pub(super) fn may_take_over(&mut self) -> bool {
        let (requests, taken_over) = (&self.requests, &mut self.handovers.taken_over);
        taken_over.retain(|key| requests.contains_key(key));
        let cores = if self.identity.cores > 0.0 { self.identity.cores } else { 1.0 };
        let max = BASE_TAKEN_OVER + (cores * TAKEN_OVER_PER_CORE) as usize;
        self.is_ready() && !self.is_cut_off() && self.handovers.taken_over.len() < max
    }

    /// Records that this daemon takes a request over.
    pub(super) fn note_taken_over(&mut self, key: Key) {
        self.counts.taken_over += 1;
        self.handovers.taken_over.insert(key);
    }

    /// Hands a request over, or ends it, if this daemon received it and reaches no server. Returns
    /// whether it did.
    pub(super) fn leave_if_cut_off(&mut self, now: Time, key: Key) -> bool {
        let is_own = |request: &&Request| request.origin.is_none();
        let Some(request) = self.requests.get(&key).filter(is_own) else { return false };
        if !self.is_cut_off() {
            return false;
        }
        if request.arrival.is_handed_over {
            self.refuse(now, key, Code::HandoverRefused);
        } else if request.possible_runs > 0 || request.draws_on_retry_budget {
            self.refuse(now, key, Code::ServersUnreachable);
        } else {
            self.hand_over(now, key);
        }
        true
    }

    /// Hands over the requests that wait for a server, as this daemon reaches none.
    pub(super) fn leave_servers(&mut self, now: Time) {
        let waits = |request: &Request| match request.phase {
            Phase::Waiting(_) | Phase::LookingUp(_) => true,
            Phase::Submitted(Stage::AwaitingVerdict(_) | Stage::Queued) => true,
            Phase::Submitted(Stage::Placed(_)) | Phase::Sent { .. } | Phase::HandedOver => false,
        };
        let waiting = self.requests.iter().filter(|(_, request)| waits(request));
        let waiting: Vec<Key> = waiting.map(|(key, _)| *key).collect();
        for key in waiting {
            self.leave_if_cut_off(now, key);
        }
    }

    fn hand_over(&mut self, now: Time, key: Key) {
        self.leave_queues(now, key);
        let Some(request) = self.requests.get(&key) else { return };
        let offered = request.offered_to.clone();
        let taker = (offered.len() < MAX_OFFERS).then(|| self.choose_taker(now, &offered));
        let Some((daemon, address)) = taker.flatten() else {
            return self.refuse(now, key, Code::ServersUnreachable);
        };
        let Some(request) = self.requests.get_mut(&key) else { return };
        request.sends += 1;
        request.possible_runs += 1;
        request.phase = Phase::HandedOver;
        request.offered_to.push(daemon.clone());
        *self.handovers.open.entry(daemon.clone()).or_default() += 1;
        self.counts.handed_over += 1;
        let handover = Handover { attempt: request.sends, daemon, address };
        self.log_handed_over(key, &handover);
        self.command(key, Command::HandOver(handover));
    }

    /// Takes a request out of this daemon's queue and its scheduler's, and refunds its quota.
    fn leave_queues(&mut self, now: Time, key: Key) {
        self.withdraw(key);
        self.refund_quota(now, key);
        self.quota_leadership.undecided.remove(&key);
        self.leave_queue(now, key);
        if let Some(request) = self.requests.get_mut(&key) {
            request.charged_runs = request.possible_runs;
            request.scheduler.clear();
            request.phase = Phase::Waiting(now);
        }
    }

    /// Handles the end of a handover.
    pub(super) fn handover_ended(&mut self, now: Time, key: Key, attempt: u32, end: HandoverEnd) {
        let is_current =
            |request: &&mut Request| request.sends == attempt && request.phase == Phase::HandedOver;
        let Some(request) = self.requests.get_mut(&key).filter(is_current) else { return };
        match end {
            HandoverEnd::Answered => self.remove_request(now, key),
            HandoverEnd::Lost => {
                self.command(key, Command::GiveUp);
                self.remove_request(now, key);
            }
            HandoverEnd::NotTaken => {
                request.possible_runs -= 1;
                request.phase = Phase::Waiting(now);
                let peer = request.offered_to.last().cloned().unwrap_or_default();
                self.handovers.close(&peer);
                self.handovers.takers.retain(|(id, _)| *id != peer);
                self.handovers.refused.insert(peer, now + REFUSAL_PERIOD);
                if !self.leave_if_cut_off(now, key)
                    && !self.look_up_stream(now, key)
                    && !self.submit(now, key)
                    && self.charge_quota(now, key)
                {
                    self.send_or_queue(now, key);
                }
            }
        }
    }

    /// Records that a request that may have been handed over ends.
    pub(super) fn end_handover(&mut self, key: Key) {
        let Some(request) = self.requests.get(&key) else { return };
        if let (Phase::HandedOver, Some(peer)) = (request.phase, request.offered_to.last()) {
            self.handovers.close(peer);
        }
    }

    /// Chooses a random peer to serve a request: of two, the one that serves fewer of this daemon's.
    fn choose_taker(&mut self, now: Time, offered: &[String]) -> Option<(String, SocketAddr)> {
        self.list_takers(now);
        let Handovers { takers, open, .. } = &self.handovers;
        let mut candidates: Vec<usize> =
            (0..takers.len()).filter(|index| !offered.contains(&takers[*index].0)).collect();
        let count = candidates.len();
        if count > 2 {
            candidates.swap(0, self.rng.usize(0..count));
            candidates.swap(1, self.rng.usize(1..count));
        }
        let drawn = candidates.into_iter().take(2);
        let load = |index: &usize| open.get(&takers[*index].0).copied().unwrap_or_default();
        drawn.min_by_key(load).map(|index| takers[index].clone())
    }

    /// Lists the peers that may take requests over.
    fn list_takers(&mut self, now: Time) {
        if self.handovers.listed_at.is_some_and(|at| now < at + LIST_INTERVAL) {
            return;
        }
        self.handovers.listed_at = Some(now);
        self.handovers.refused.retain(|_, until| now < *until);
        let refused = &self.handovers.refused;
        let takers = self.peers.iter().filter_map(|(id, peer)| {
            let digest = peer.digest.as_ref()?;
            let may_take = peer.is_fresh(now)
                && !digest.draining
                && !digest.is_cut_off
                && !refused.contains_key(id);
            let address = digest.handover_address.parse().ok()?;
            may_take.then(|| (id.clone(), address))
        });
        let (schedulers, mut others): (Vec<_>, Vec<_>) =
            takers.partition(|(id, _)| self.other_schedulers().any(|(other, _)| other == id));
        if others.len() < MIN_OTHERS {
            others.extend(schedulers);
        }
        self.handovers.takers = others;
    }
}

impl Handovers {
    fn close(&mut self, peer: &str) {
        if let Some(open) = self.open.get_mut(peer) {
            *open = open.saturating_sub(1);
            if *open == 0 {
                self.open.remove(peer);
            }
        }
    }
}
