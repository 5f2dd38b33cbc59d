//! State shown to operators. Reading it changes nothing in a node.

use serde::Serialize;

use super::{Counts, Node, Stream};
use crate::attempt::{self, Arrival, Phase, Request};
use crate::placement::Score;
use crate::prelude::*;
use crate::telemetry::metrics::Gauge;

/// State of one server, for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServerStatus {
    /// Its id.
    pub id: String,
    /// Its pool.
    pub pool: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether it can take new requests.
    pub usable: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it answers polls.
    pub reachable: bool,
    /// Its incarnation, if known.
    pub incarnation: Option<String>,
    /// Versions of weights that it serves, by model.
    pub weights: BTreeMap<String, BTreeSet<String>>,
    /// Requests in flight there that this daemon sent.
    pub in_flight: u32,
    /// Prompt tokens that it has not computed yet, as last reported.
    pub queued_tokens: u64,
}

/// State of one daemon, for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Status {
    /// The daemon's id.
    pub daemon: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: String,
    /// Whether the load balancer may send callers to it.
    pub ready: bool,
    /// Whether a planned stop is under way.
    pub draining: bool,
    /// Generation of the manifest in force; 0 for none.
    pub generation: u64,
    /// Id of the record that put the manifest in force.
    pub published: Option<String>,
    /// Daemon that holds the lease for engine orders, as last read.
    pub lease_holder: Option<String>,
    /// Whether the log answers.
    pub log_up: bool,
    /// Whether the VM list answers.
    pub vm_list_up: bool,
    /// Whether all claims up to the tail found at the start have been read.
    pub ledger_known: bool,
    /// Idempotency keys in the ledger.
    pub ledger_keys: usize,
    /// Entries of the residency table.
    pub residency_entries: usize,
    /// Live peers.
    pub peers: Vec<String>,
    /// Backend servers.
    pub servers: Vec<ServerStatus>,
    /// Waiting requests by pool.
    pub waiting: BTreeMap<String, usize>,
    /// Requests blocked because they crash servers.
    #[serde(default)]
    pub requests_blocked: usize,
    /// Open requests.
    pub open: usize,
    /// Counts since the start.
    #[serde(flatten)]
    pub counts: Counts,
}

/// One candidate of a placement, for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CandidateStatus {
    /// The server's id.
    pub server: String,
    /// Its rank in the rendezvous order of the first level, from 0.
    pub rank: usize,
    /// Prompt tokens believed cached.
    pub cached_tokens: u32,
    /// Confidence in the assumed content of its cache, from 0 to 1.
    pub cache_confidence: f64,
    /// Predicted time to the first token, in milliseconds.
    pub predicted_ms: f64,
    /// The cost that placement minimises.
    pub cost: f64,
    /// Whether it has a free slot.
    pub free: bool,
}

impl Status {
    /// The metrics of this state.
    pub fn figures(&self) -> Vec<Gauge> {
        let usable = self.servers.iter().filter(|server| server.usable).count() as u64;
        let waiting: usize = self.waiting.values().sum();
        let values = [
            ("ready", u64::from(self.ready)),
            ("generation", self.generation),
            ("log_up", u64::from(self.log_up)),
            ("vm_list_up", u64::from(self.vm_list_up)),
            ("servers", self.servers.len() as u64),
            ("servers_usable", usable),
            ("peers", self.peers.len() as u64),
            ("waiting", waiting as u64),
            ("requests_blocked", self.requests_blocked as u64),
            ("open", self.open as u64),
            ("arrived", self.counts.arrived),
            ("finished", self.counts.finished),
            ("refused", self.counts.refused),
            ("retried", self.counts.retried),
            ("prompt_tokens", self.counts.prompt_tokens),
            ("cached_tokens", self.counts.cached_tokens),
            ("ledger_keys", self.ledger_keys as u64),
            ("residency_entries", self.residency_entries as u64),
            ("unreadable_records", self.counts.unreadable_records),
        ];
        values.map(|(name, value)| Gauge::new(name, value)).into()
    }
}

impl Node {
    /// This daemon's state, for operators.
    pub fn status(&self, now: Time) -> Status {
        let servers = self.membership.iter().map(|(key, server)| ServerStatus {
            id: server.vm.id.clone(),
            pool: server.vm.pool.clone(),
            zone: server.vm.zone.clone(),
            usable: server.is_usable(now),
            leaving: server.draining,
            reachable: server.is_reachable(),
            incarnation: server.incarnation.clone(),
            weights: server.weights.clone(),
            in_flight: self.busy.get(&key).map_or(0, |busy| busy.requests),
            queued_tokens: server.load.queued_tokens,
        });
        let reading = self.readings.get(&Stream::Ledger).copied().unwrap_or_default();
        let waiting = self.queues.iter().map(|(pool, queue)| (pool.clone(), queue.len()));
        Status {
            daemon: self.identity.id.clone(),
            incarnation: self.identity.incarnation,
            zone: self.identity.zone.clone(),
            ready: self.is_ready(),
            draining: self.draining,
            generation: self.generation(),
            published: self.manifest_in_force().map(|force| force.record_id.clone()),
            lease_holder: self.lease.holder().map(|held| held.daemon.clone()),
            log_up: reading.up,
            vm_list_up: self.vm_list_up,
            ledger_known: self.is_ledger_known(),
            ledger_keys: self.ledger.len(),
            residency_entries: self.residency.len(),
            peers: self.live_peers(now).map(|digest| digest.daemon.clone()).collect(),
            servers: servers.collect(),
            waiting: waiting.collect(),
            requests_blocked: self.poison.blocks(now).count(),
            open: self.requests.len(),
            counts: self.counts,
        }
    }

    /// The candidates for a request, the best first, without admitting it.
    pub fn explain(&mut self, now: Time, arrival: Arrival) -> Vec<CandidateStatus> {
        let request = arrival.request;
        self.requests.insert(request, Request::new(arrival, now, Phase::Waiting));
        let scores = self.score_candidates(now, request, false);
        self.requests.remove(&request);
        scores.into_iter().map(|score| self.candidate_status(score)).collect()
    }

    fn candidate_status(&self, score: Score) -> CandidateStatus {
        let server = self.membership.get(score.key);
        CandidateStatus {
            server: server.map_or_else(String::new, |server| server.vm.id.clone()),
            rank: score.rank,
            cached_tokens: score.cached_tokens,
            cache_confidence: self.residency.confidence(score.key),
            predicted_ms: score.predicted_ms,
            cost: score.cost,
            free: score.has_free_slot,
        }
    }

    /// Whether `request` is open here.
    pub fn is_open(&self, request: attempt::Key) -> bool {
        self.requests.contains_key(&request)
    }
}
