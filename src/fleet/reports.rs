//! Handles reports on sent requests and what they show about the servers.

use super::request::Phase;
use super::scheduling::Stage;
use super::{Key, Loss, Node, Refusal, Report, server};
use crate::prelude::*;

impl Node {
    pub(super) fn handle_report(&mut self, now: Time, key: Key, attempt: u32, report: Report) {
        match report {
            // An attempt that writes to the caller stays, also if another one was to replace it.
            Report::Begun(_) => self.bind_stream(now, key, attempt),
            Report::Ended => self.unbind_stream(key),
            Report::Refused(_) | Report::Unsent | Report::Lost(_) | Report::Failed => {}
        }
        let Some(request) = self.requests.get_mut(&key) else { return };
        if request.sends != attempt {
            return;
        }
        if let Phase::Submitted(Stage::Placed(placed)) = request.phase {
            return self.report_placed(now, key, placed, report);
        }
        let Phase::Sent { server, prefill_tokens, begun, sent_at } = request.phase else { return };
        let model = request.arrival.prompt.as_ref().map(|prompt| prompt.model.clone());
        let is_own = request.origin.is_none();
        if report.is_from_server() {
            self.record_answered_attempt(key, server);
            if is_own {
                self.note_server_contact(now, server);
            }
        }
        let Some(request) = self.requests.get_mut(&key) else { return };
        match report {
            Report::Begun(weights) => {
                if let (Some(model), Some(version)) = (model, weights) {
                    self.note_weights(now, server, &model, version);
                }
                self.note_response(now, server);
                self.answer_begun(now, key, server, prefill_tokens, begun, sent_at);
            }
            Report::Ended => {
                self.note_response(now, server);
                self.request_answered(now, key);
                self.note_answered_in(now, key);
                if let Some(server) = self.servers.get_mut(server) {
                    server.record_success();
                }
                self.remove_request(now, key);
            }
            Report::Refused(refused) => {
                request.possible_runs -= 1;
                self.counts.declined += 1;
                self.log_declined(key, server, refused);
                self.note_response(now, server);
                self.note_refusal(now, server, model.as_deref(), refused);
                self.retry_unexecuted(now, key, true, Code::QueueFull);
            }
            Report::Unsent => {
                request.possible_runs -= 1;
                self.counts.unsent += 1;
                self.log_failed(key, server, "could not connect to the server");
                self.record_failed_attempt(now, key, server);
                self.suspect_own_paths(now, key);
                self.retry_unexecuted(now, key, false, Code::RetriesExhausted);
            }
            Report::Lost(loss) => {
                self.counts.lost += 1;
                self.log_failed(key, server, loss.reason());
                match loss {
                    Loss::Connection => {
                        self.connection_lost(now, key, server, now.saturating_sub(sent_at));
                        self.record_failed_attempt(now, key, server);
                        self.suspect_own_paths(now, key);
                    }
                    Loss::InvalidAnswer => self.note_failure(now, server),
                }
                self.retry_or_give_up(now, key);
            }
            Report::Failed => {
                self.counts.failed += 1;
                self.log_failed(key, server, "the server answered with an error");
                self.note_response(now, server);
                self.retry_or_give_up(now, key);
            }
        }
    }

    /// Has the paths probed after a failed attempt of a request that this daemon received.
    fn suspect_own_paths(&mut self, now: Time, key: Key) {
        if self.requests.get(&key).is_some_and(|request| request.origin.is_none()) {
            self.suspect_paths(now);
        }
    }

    pub(super) fn note_response(&mut self, now: Time, server: server::Key) {
        self.server_answered(now, server);
        if let Some(server) = self.servers.get_mut(server) {
            server.last_answer_at = Some(now);
        }
    }

    pub(super) fn answer_begun(
        &mut self,
        now: Time,
        key: Key,
        server: server::Key,
        tokens: u32,
        begun: bool,
        at: Time,
    ) {
        if begun {
            return;
        }
        self.settle_possible_reject(key);
        self.clear_parts(now, key);
        self.log_begun(now, key, at);
        self.note_begun_in(now, key, at);
        let fetch = self.requests.get(&key).and_then(|request| request.store_fetch);
        if let Some(fetch) = fetch
            && let Some(store) = self.stores.get_mut(fetch.store)
        {
            let waited_ms = now.saturating_sub(at).as_secs_f64() * 1_000.0;
            store.link.record_delay(now, waited_ms - fetch.cost_ms);
        }
        if let Some(server) = self.servers.get_mut(server) {
            server.pending_tokens = server.pending_tokens.saturating_sub(tokens);
        }
        if let Some(request) = self.requests.get_mut(&key) {
            request.phase =
                Phase::Sent { server, prefill_tokens: tokens, begun: true, sent_at: at };
        }
        self.send_notice(now, server, tokens, Vec::new());
    }

    pub(super) fn note_refusal(
        &mut self,
        now: Time,
        key: server::Key,
        model: Option<&str>,
        refused: Refusal,
    ) {
        if let (Refusal::WrongWeights(Some(version)), Some(model)) = (refused, model) {
            return self.note_weights(now, key, model, version);
        }
        if refused == Refusal::Busy {
            self.note_reject(now, key);
        }
        if let Some(server) = self.servers.get_mut(key) {
            match refused {
                Refusal::Replaced => server.record_failure(now),
                Refusal::Busy | Refusal::WrongWeights(_) => server.refused(now),
            }
        }
    }

    fn note_failure(&mut self, now: Time, key: server::Key) {
        if let Some(server) = self.servers.get_mut(key) {
            server.record_failure(now);
        }
    }
}
