//! Requests are taken back from servers that have fallen silent, or whose weights are too old.

use super::request::Phase;
use super::scheduling::Stage;
use super::{Command, Key, Node};
use crate::prelude::*;

/// Silence of a server, to all daemons, after which requests that wait for it are sent elsewhere:
/// longer than the largest prompts take, and than peers need to tell of an answer.
const SILENT_AFTER: Duration = Duration::from_millis(700);

impl Node {
    /// Notes for each server since when requests wait for its answer, and moves those away that may
    /// be repeated from servers that have fallen silent.
    pub(super) fn check_unanswered(&mut self, now: Time) {
        self.take_over_late(now);
        for server in self.servers.values_mut() {
            server.unanswered_since = None;
        }
        let (mut late, mut recalled) = (Vec::new(), Vec::new());
        for (key, request) in &self.requests {
            let Phase::Sent { server, begun: false, at, .. } = request.phase else { continue };
            if let Some(state) = self.servers.get_mut(server) {
                state.unanswered_since =
                    Some(state.unanswered_since.map_or(at, |since| since.min(at)));
            }
            if now >= at + SILENT_AFTER {
                late.push((*key, server));
            }
            if let (Some(prompt), Some(version)) = (&request.arrival.prompt, request.weights)
                && self.needs_recall(now, &prompt.model, version)
            {
                recalled.push(*key);
            }
        }
        for key in recalled {
            self.recall(now, key);
        }
        for (key, server) in late {
            let silent =
                self.servers.get(server).map(|state| self.load(server, state).silence(now));
            if silent.is_some_and(|silent| silent >= SILENT_AFTER) {
                self.move_request(now, key);
            }
        }
    }

    /// Takes requests over from schedulers that ought to have taken them back from old weights, and may have ended.
    fn take_over_late(&mut self, now: Time) {
        let late = self.requests.iter().filter(|(_, request)| {
            let placed = matches!(request.phase, Phase::Submitted(Stage::Placed(placed)) if !placed.has_begun());
            let weights = request.arrival.prompt.as_ref().zip(request.weights);
            placed && weights.is_some_and(|(prompt, v)| self.needs_takeover(now, &prompt.model, v))
        });
        let late: Vec<Key> = late.map(|(key, _)| *key).collect();
        for key in late {
            self.withdraw_from_scheduler(now, key);
        }
    }

    /// Takes a request back that must not begin on the weights that it was sent to.
    pub(super) fn recall(&mut self, now: Time, key: Key) {
        self.move_request(now, key);
        let Some(request) = self.requests.get(&key) else { return };
        let Phase::Sent { at, .. } = request.phase else { return };
        if at == now {
            return;
        }
        self.counts.recalled += 1;
        self.log_withdrawn(Event::RequestRecalled, now, key);
        self.command(key, Command::GiveUp);
        self.remove_request(now, key);
    }

    /// Sends a request elsewhere whose server has fallen silent, where its route allows it.
    pub(super) fn move_request(&mut self, now: Time, key: Key) {
        let Some(request) = self.requests.get(&key) else { return };
        let Phase::Sent { server, at, .. } = request.phase else { return };
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
        // It may be what silenced the server; whether that has ended its registration will tell.
        self.connection_lost(now, key, server, now.saturating_sub(at));
        self.release_slot(key);
        self.dispatch(now, key, choice);
    }
}
