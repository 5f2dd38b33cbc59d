//! A backend server from the point of view of this daemon.

use std::net::SocketAddr;

use super::homes::Weight;
use super::residency::Residency;
use super::{Incarnation, Software};
use crate::capacity;
use crate::prelude::*;

slotmap::new_key_type! {
    /// Key of a server in a node.
    pub struct Key;
}

/// Time for which a server gets no requests after its first failure.
const BACKOFF_BASE: Duration = Duration::from_millis(200);
/// Maximum time for which a server gets no requests after repeated failures.
const BACKOFF_MAX: Duration = Duration::from_secs(4);

/// Time within which an engine answers an order: about ten round trips to another zone.
const ORDER_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// A server's registration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The server's id and start.
    pub incarnation: Incarnation,
    /// The pool that it belongs to.
    pub pool: String,
    /// The version of its software, which is not that of its weights.
    pub software: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is about to stop by plan.
    pub draining: bool,
    /// Versions of its weights by model; none for a plain server.
    pub weights: BTreeMap<String, u64>,
    /// Known number of orders that it has accepted since its start.
    pub sequence: u64,
}

/// An order to an engine to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// When it was sent.
    pub sent_at: Time,
    /// Whether the engine accepted it.
    pub accepted: bool,
    /// When the engine's state is polled next.
    pub poll_at: Time,
}

/// One backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its registration.
    pub entry: Entry,
    /// The version of its software.
    pub software: Software,
    /// Number of this daemon's requests that run there.
    pub running: u32,
    /// Prompt tokens of the running requests whose answers have not begun.
    pub pending_tokens: u32,
    /// When this daemon last received an answer from it.
    pub last_answer_at: Option<Time>,
    /// Send time of this daemon's oldest request whose answer has not begun.
    pub unanswered_since: Option<Time>,
    /// The order that it is executing.
    pub order: Option<Order>,
    /// When its registration was last missing during or after an outage of the store.
    pub unconfirmed_removal_at: Option<Time>,
    /// How fast it works, as learnt from its answers.
    pub speed: capacity::Speed,
    /// How many shared parts it keeps, by that speed.
    pub(super) home_weight: Weight,
    /// How its answers slow down as more requests run there, if it is a plain server.
    pub concurrency: capacity::Concurrency,
    /// The parts of prompts in its cache.
    pub(super) residency: Residency,
    failures: u32,
    /// The daemon that alone has seen the failures since the last success.
    only_witness: Option<String>,
    backoff_until: Time,
}

impl Server {
    /// Creates a newly registered server.
    pub fn new(entry: Entry) -> Self {
        Self {
            software: Software::of(&entry.pool, &entry.software),
            entry,
            running: 0,
            pending_tokens: 0,
            last_answer_at: None,
            unanswered_since: None,
            order: None,
            unconfirmed_removal_at: None,
            speed: capacity::Speed::default(),
            home_weight: Weight::default(),
            concurrency: capacity::Concurrency::default(),
            residency: Residency::default(),
            failures: 0,
            only_witness: None,
            backoff_until: Time::ZERO,
        }
    }

    /// Applies a changed registration.
    pub fn update(&mut self, entry: Entry) {
        self.unconfirmed_removal_at = None;
        let draining = self.entry.draining || entry.draining;
        for (model, version) in &entry.weights {
            self.weights_loaded(model, *version);
        }
        let weights = std::mem::take(&mut self.entry.weights);
        let sequence = self.entry.sequence.max(entry.sequence);
        self.software = Software::of(&entry.pool, &entry.software);
        self.entry = Entry { draining, weights, sequence, ..entry };
    }

    /// Records that the server has loaded this version. Loading a newer version clears its cache.
    pub fn weights_loaded(&mut self, model: &str, version: u64) {
        let loaded = self.entry.weights.entry(model.to_owned()).or_insert(version);
        if *loaded < version {
            *loaded = version;
            self.residency.forget_sent();
        }
        if self.order.as_ref().is_some_and(|o| o.model == model && o.version <= version) {
            self.order = None;
        }
    }

    /// Time since it was ordered to load this version, if it is executing such an order.
    pub fn loading_time(&self, now: Time, model: &str, version: u64) -> Option<Duration> {
        let order = self.order.as_ref()?;
        let is_match = order.accepted && order.model == model && order.version == version;
        is_match.then(|| now.saturating_sub(order.sent_at))
    }

    /// The loaded version of `model`.
    pub fn weights_version(&self, model: &str) -> Option<u64> {
        self.entry.weights.get(model).copied()
    }

    /// Whether it may get new requests.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.entry.draining && !self.is_loading(now) && self.backoff_until <= now
    }

    /// Whether it executes an order, or may have just received one. A server that does not answer an
    /// order stays in use; if it has accepted the order after all, it declines requests.
    pub fn is_loading(&self, now: Time) -> bool {
        let is_pending =
            |order: &Order| order.accepted || now < order.sent_at + ORDER_ANSWER_TIMEOUT;
        self.order.as_ref().is_some_and(is_pending)
    }

    /// Whether it gets no requests because of a recent failure or refusal.
    pub fn is_backing_off(&self, now: Time) -> bool {
        self.backoff_until > now
    }

    /// Consecutive failures since its last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a failure: the server gets no requests for a time that doubles with each one in a row.
    pub fn record_failure(&mut self, now: Time) {
        let wait = BACKOFF_BASE.saturating_mul(1 << self.failures.min(8)).min(BACKOFF_MAX);
        self.failures += 1;
        self.only_witness = None;
        self.backoff_until = self.backoff_until.max(now + wait);
    }

    /// Records a failure that `daemon` saw: the server gets no requests for a short time, and for a
    /// longer one if another daemon has seen a failure, too.
    pub fn record_failure_of(&mut self, now: Time, daemon: &str) {
        match &self.only_witness {
            None if self.failures == 0 => {
                self.record_failure(now);
                self.only_witness = Some(daemon.to_owned());
            }
            Some(witness) if witness == daemon => self.refused(now),
            None | Some(_) => self.record_failure(now),
        }
    }

    /// Forgets failures that `daemon` alone has seen, because its path to the server is doubted.
    pub fn forget_failures_of(&mut self, daemon: &str) {
        if self.only_witness.as_deref() == Some(daemon) {
            self.record_success();
        }
    }

    /// Records a refusal: the server gets no requests for a short time, but this is no failure.
    pub fn refused(&mut self, now: Time) {
        self.backoff_until = self.backoff_until.max(now + BACKOFF_BASE);
    }

    /// Records a success, which ends any backoff.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.only_witness = None;
        self.backoff_until = Time::ZERO;
    }
}
