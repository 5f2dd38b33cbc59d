//! Predicted times at servers, by their learnt speed where the policy asks for it.

use super::load::Load;
use super::place::Choice;
use super::prompt::PREFILL_TOKENS_PER_MS;
use super::{Key, Node, Server, server};
use crate::capacity::{Change, Sample};
use crate::prelude::*;

/// Delay of the first token per request that runs on the server: its share of the engine's steps.
const DELAY_MS_PER_RUNNING_REQUEST: f64 = 2.0;
/// Assumed milliseconds for which a request occupies a slot of a plain server.
const PLAIN_REQUEST_MS: f64 = 40.0;
/// Milliseconds to a first token that no work at the engine explains: the way there and back, and
/// the step that makes the token.
const FIRST_TOKEN_MS: f64 = 8.0;

/// What a server was predicted to take for an attempt when this was sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Prediction {
    /// The attempt; the prediction says nothing about later ones.
    attempt: u32,
    /// Milliseconds at the assumed speed.
    assumed_ms: f64,
    /// Milliseconds at the learnt speed.
    learnt_ms: f64,
    /// Requests at the server, with this one.
    running: u32,
    /// The version of the engine's weights.
    weights: Option<u64>,
    /// Whether the engine may have fetched cached parts, in a time that shows no speed.
    fetches: bool,
    /// Milliseconds after which a plain server's answer began.
    took_ms: Option<f64>,
}

impl Node {
    /// How many times as long as assumed a server takes, for the choice of a server. Where a whole pool
    /// is faster than assumed, this compares its servers alone: the rest of their speed is left to
    /// the answers that have begun, which each queued prompt delays.
    pub(super) fn slowness(&self, now: Time, server: &Server) -> f64 {
        if !self.policy.learns_capacity {
            return 1.0;
        }
        let pool = self.pool_speeds.get(&server.entry.pool);
        pool.map_or(1.0, |pool| server.speed.estimate(now, pool).factor / pool.factor().min(1.0))
    }

    /// How many times as long as assumed the servers of a pool typically take; at least 1.
    pub(super) fn pool_slowness(&self, pool: &str) -> f64 {
        let learnt = self.pool_speeds.get(pool).filter(|_| self.policy.learns_capacity);
        learnt.map_or(1.0, |pool| pool.factor().max(1.0))
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

    /// Stores with a request what its server is predicted to take.
    pub(super) fn note_prediction(&mut self, now: Time, key: Key, choice: &Choice) {
        if !self.policy.learns_capacity {
            return;
        }
        let Some(server) = self.servers.get(choice.server) else { return };
        let load = self.load(choice.server, server);
        let assumed_ms = match choice.salt {
            Some(_) => {
                let tokens = f64::from(load.pending_tokens.saturating_add(choice.read_tokens));
                let running = f64::from(load.running) * DELAY_MS_PER_RUNNING_REQUEST;
                tokens / PREFILL_TOKENS_PER_MS + running + FIRST_TOKEN_MS
            }
            None => PLAIN_REQUEST_MS,
        };
        let pool = self.pool_speeds.get(&server.entry.pool);
        let factor = pool.map_or(1.0, |pool| server.speed.estimate(now, pool).factor);
        let learnt_ms = assumed_ms * factor;
        let Some(request) = self.requests.get_mut(&key) else { return };
        request.prediction = Some(Prediction {
            attempt: request.sends + 1,
            assumed_ms,
            learnt_ms,
            running: load.running.saturating_add(1),
            weights: choice.weights,
            fetches: choice.fetch_from.is_some(),
            took_ms: None,
        });
    }

    /// Records that an answer has begun. An engine's first token shows its speed; what a plain server
    /// begins may still be an error, and counts when the answer is complete.
    pub(super) fn note_begun_in(&mut self, now: Time, key: Key, sent_at: Time) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        let is_prompt = request.arrival.prompt.is_some();
        let sends = request.sends;
        let Some(prediction) = &mut request.prediction else { return };
        if prediction.attempt != sends || prediction.took_ms.is_some() {
            return;
        }
        prediction.took_ms = Some(now.saturating_sub(sent_at).as_secs_f64() * 1_000.0);
        if is_prompt {
            self.learn_from_answer(now, key);
        }
    }

    /// Records that a server has answered completely.
    pub(super) fn note_answered_in(&mut self, now: Time, key: Key) {
        if self.requests.get(&key).is_some_and(|request| request.arrival.prompt.is_none()) {
            self.learn_from_answer(now, key);
        }
    }

    /// Takes the time of an answer as a sample of its server's speed.
    fn learn_from_answer(&mut self, now: Time, key: Key) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        let Some(&server_key) = request.tried.last() else { return };
        let sends = request.sends;
        let model = request.arrival.prompt.as_ref().map(|prompt| prompt.model.clone());
        let prediction = request.prediction.take().filter(|known| known.attempt == sends);
        let Some((prediction, took_ms)) =
            prediction.and_then(|known| Some((known, known.took_ms?)))
        else {
            return;
        };
        let Some(server) = self.servers.get(server_key) else { return };
        let loaded = model.and_then(|model| server.weights_version(&model));
        let is_disturbed = prediction.fetches
            || loaded != prediction.weights
            || server.is_loading(now)
            || self.load(server_key, server).loading;
        if is_disturbed {
            return;
        }
        self.record_sample(now, server_key, prediction, took_ms);
    }

    fn record_sample(&mut self, now: Time, key: server::Key, prediction: Prediction, took_ms: f64) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let sample = Sample { predicted_ms: prediction.assumed_ms, took_ms };
        if !server.speed.record(now, sample) {
            return;
        }
        if prediction.weights.is_none() {
            server.concurrency.record(now, prediction.running, sample);
        }
        let pool = self.pool_speeds.entry(server.entry.pool.clone()).or_default();
        pool.record(now, sample);
        self.deviation.record(Sample { predicted_ms: prediction.learnt_ms, took_ms });
        let Some(change) = server.speed.judge(now, pool) else { return };
        let estimate = server.speed.estimate(now, pool);
        let event = match change {
            Change::Slow => Event::ServerSlow,
            Change::Well => Event::ServerWell,
        };
        let detail = Detail::of("server", server.entry.incarnation.id.as_str())
            .and("pool", server.entry.pool.as_str())
            .and("slowness_percent", percent(estimate.factor))
            .and("pool_slowness_percent", percent(pool.factor()))
            .and("samples", estimate.samples.round())
            .and("assumed_ms", prediction.assumed_ms.round())
            .and("took_ms", took_ms.round())
            .and("running", prediction.running);
        self.event(event, detail);
    }

    /// Sends a request that would be refused to a server that it slows down; returns whether one has a
    /// slot.
    pub(super) fn fill_server(&mut self, now: Time, key: Key) -> bool {
        let Some(request) = self.requests.get_mut(&key) else { return false };
        if !self.policy.learns_capacity || request.arrival.prompt.is_some() {
            return false;
        }
        request.may_fill_server = true;
        self.try_send(now, key)
    }

    /// Slowness of a server in percent of the assumed time.
    pub(super) fn slowness_percent(&self, now: Time, server: &Server) -> u64 {
        percent(self.slowness(now, server))
    }
}

fn percent(factor: f64) -> u64 {
    (factor * 100.0).round() as u64
}
