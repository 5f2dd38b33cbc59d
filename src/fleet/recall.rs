//! Takes requests back from servers that are silent or whose weights are too old.

use super::request::Phase;
use super::retry::Charge;
use super::scheduling::Stage;
use super::{Command, Key, Node};
use crate::prelude::*;

/// Silence of a server towards all daemons after which its unanswered requests are sent elsewhere.
/// Longer than the largest prompts take and than peers need to report an answer.
const SILENCE_LIMIT: Duration = Duration::from_millis(700);

impl Node {
    /// Updates the time since which each server has unanswered requests, recalls requests from outdated
    /// weights, and moves repeatable requests away from silent servers.
    pub(super) fn check_unanswered(&mut self, now: Time) {
        self.take_over_unrecalled(now);
        for key in std::mem::take(&mut self.unanswered) {
            if let Some(server) = self.servers.get_mut(key) {
                server.unanswered_since = None;
            }
        }
        let (mut overdue, mut recalled) = (Vec::new(), Vec::new());
        for (key, request) in &self.requests {
            let Phase::Sent { server, begun: false, sent_at, .. } = request.phase else { continue };
            if let Some(state) = self.servers.get_mut(server) {
                state.unanswered_since =
                    Some(state.unanswered_since.map_or(sent_at, |since| since.min(sent_at)));
                self.unanswered.insert(server);
            }
            if now >= sent_at + SILENCE_LIMIT {
                overdue.push((*key, server));
            }
            if let (Some(prompt), Some(version)) =
                (&request.arrival.prompt, request.weights_version)
                && self.needs_recall(now, &prompt.model, version)
            {
                recalled.push(*key);
            }
        }
        for key in recalled {
            self.recall(now, key);
        }
        for (key, server) in overdue {
            let silent =
                self.servers.get(server).map(|state| self.load(server, state).silence(now));
            if silent.is_some_and(|silent| silent >= SILENCE_LIMIT) {
                self.move_request(now, key);
            }
        }
    }

    /// Takes over requests that their scheduler did not recall from old weights; it may have ended.
    fn take_over_unrecalled(&mut self, now: Time) {
        let overdue = self.requests.iter().filter(|(_, request)| {
            let placed = matches!(request.phase, Phase::Submitted(Stage::Placed(placed)) if !placed.has_begun());
            let weights = request.arrival.prompt.as_ref().zip(request.weights_version);
            placed && weights.is_some_and(|(prompt, v)| self.needs_takeover(now, &prompt.model, v))
        });
        let overdue: Vec<Key> = overdue.map(|(key, _)| *key).collect();
        for key in overdue {
            self.withdraw_from_scheduler(now, key);
        }
    }

    /// Takes back a request that must not begin on the weights to which it was sent.
    pub(super) fn recall(&mut self, now: Time, key: Key) {
        self.move_request(now, key);
        let Some(request) = self.requests.get(&key) else { return };
        let Phase::Sent { sent_at, .. } = request.phase else { return };
        if sent_at == now {
            return;
        }
        self.counts.recalled += 1;
        self.log_withdrawn(Event::RequestRecalled, now, key);
        self.command(key, Command::GiveUp);
        self.remove_request(now, key);
    }

    /// Sends a request to another server, if its route and the retry budget allow it.
    pub(super) fn move_request(&mut self, now: Time, key: Key) {
        let Some(request) = self.requests.get(&key) else { return };
        let Phase::Sent { server, sent_at, .. } = request.phase else { return };
        let pool = request.pool.clone();
        if !request.may_repeat() || self.may_crash_servers(now, key) {
            return;
        }
        let Some(choice) = self.place(now, key) else { return };
        if request.tried.contains(&choice.server) || !self.spend_retry(now, &pool) {
            return;
        }
        self.counts.moved += 1;
        self.log_withdrawn(Event::RequestMoved, now, key);
        // The request may have crashed the server; whether its registration ends will show that.
        self.connection_lost(now, key, server, now.saturating_sub(sent_at));
        self.release_slot(key);
        if let Some(request) = self.requests.get_mut(&key) {
            request.charge = Charge::Charged;
        }
        self.dispatch(now, key, choice);
    }
}
