//! One backend server as this daemon sees it.

use std::net::SocketAddr;

use super::Incarnation;
use super::residency::Residency;
use crate::prelude::*;

slotmap::new_key_type! {
    /// A server in a node's table.
    pub struct Key;
}

/// How long a server that failed is passed over, at first.
const BACKOFF_BASE: Duration = Duration::from_millis(200);
/// How long it is passed over at most.
const BACKOFF_MAX: Duration = Duration::from_secs(4);

/// Time in which an engine answers an order: some ten times the way to another zone and back.
const ORDER_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// A server's registration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Which server, and since when.
    pub incarnation: Incarnation,
    /// The pool that it belongs to.
    pub pool: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Versions of its weights by model; none for a plain server.
    pub weights: BTreeMap<String, u64>,
    /// How many orders it has taken since its start, as far as is known.
    pub sequence: u64,
}

/// An order that an engine was given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// When it was given.
    pub sent_at: Time,
    /// Whether the engine said that it carries it out.
    pub accepted: bool,
    /// When it is asked for its state next.
    pub poll_at: Time,
}

/// One backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its registration.
    pub entry: Entry,
    /// Requests of this daemon at it.
    pub running: u32,
    /// Prompt tokens of those whose answers have not begun.
    pub pending_tokens: u32,
    /// When this daemon last had an answer from it.
    pub last_answer_at: Option<Time>,
    /// When the oldest request of this daemon was sent whose answer has not begun.
    pub unanswered_since: Option<Time>,
    /// The order that it carries out.
    pub order: Option<Order>,
    /// When its registration was last seen to be gone while that may have been the store's doing.
    pub unconfirmed_removal_at: Option<Time>,
    /// The parts of prompts that it keeps.
    pub(super) residency: Residency,
    failures: u32,
    backoff_until: Time,
}

impl Server {
    /// A server that has just registered.
    pub fn new(entry: Entry) -> Self {
        Self {
            entry,
            running: 0,
            pending_tokens: 0,
            last_answer_at: None,
            unanswered_since: None,
            order: None,
            unconfirmed_removal_at: None,
            residency: Residency::default(),
            failures: 0,
            backoff_until: Time::ZERO,
        }
    }

    /// Takes over a changed registration.
    pub fn update(&mut self, entry: Entry) {
        self.unconfirmed_removal_at = None;
        let leaving = self.entry.draining || entry.draining;
        for (model, version) in &entry.weights {
            self.weights_loaded(model, *version);
        }
        let weights = std::mem::take(&mut self.entry.weights);
        let sequence = self.entry.sequence.max(entry.sequence);
        self.entry = Entry { draining: leaving, weights, sequence, ..entry };
    }

    /// Notes that the server has this version, which drops what it had cached.
    pub fn weights_loaded(&mut self, model: &str, version: u64) {
        let known = self.entry.weights.entry(model.to_owned()).or_insert(version);
        if *known < version {
            *known = version;
            self.residency.forget_sent();
        }
        if self.order.as_ref().is_some_and(|o| o.model == model && o.version <= version) {
            self.order = None;
        }
    }

    /// For how long it has been carrying out an order to load this version, where it has such an order.
    pub fn loading_time(&self, now: Time, model: &str, version: u64) -> Option<Duration> {
        let ordered = self.order.as_ref()?;
        let this = ordered.accepted && ordered.model == model && ordered.version == version;
        this.then(|| now.saturating_sub(ordered.sent_at))
    }

    /// The version of `model` that it has.
    pub fn weights_version(&self, model: &str) -> Option<u64> {
        self.entry.weights.get(model).copied()
    }

    /// Whether it may be given new work.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.entry.draining && !self.is_loading(now) && self.backoff_until <= now
    }

    /// Whether it carries an order out, or will as far as is known. One that does not answer an order
    /// serves on; if it has taken the order after all, it declines what it is sent.
    pub fn is_loading(&self, now: Time) -> bool {
        let loads = |order: &Order| order.accepted || now < order.sent_at + ORDER_ANSWER_TIMEOUT;
        self.order.as_ref().is_some_and(loads)
    }

    /// Whether it failed lately.
    pub fn is_backing_off(&self, now: Time) -> bool {
        self.backoff_until > now
    }

    /// Failures since its last good answer.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Passes it over for a while, longer each time in a row.
    pub fn record_failure(&mut self, now: Time) {
        let wait = BACKOFF_BASE.saturating_mul(1 << self.failures.min(8)).min(BACKOFF_MAX);
        self.failures += 1;
        self.backoff_until = self.backoff_until.max(now + wait);
    }

    /// Passes it over briefly, without holding it against it.
    pub fn refused(&mut self, now: Time) {
        self.backoff_until = self.backoff_until.max(now + BACKOFF_BASE);
    }

    /// Notes a good answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.backoff_until = Time::ZERO;
    }
}
