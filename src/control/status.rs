//! What operators may look at; nothing here changes a node.

use serde::Serialize;

use super::{Counts, Node, Stream};
use crate::attempt::{self, Arrival, Phase, Request};
use crate::placement::Scored;
use crate::prelude::*;
use crate::telemetry::metrics::Figure;

/// One server, for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServerStatus {
    /// Its id.
    pub id: String,
    /// Its pool.
    pub pool: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether new work may go there.
    pub usable: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it answers polls.
    pub reachable: bool,
    /// Its incarnation, if known.
    pub incarnation: Option<String>,
    /// Weights versions that it serves, by model.
    pub weights: BTreeMap<String, BTreeSet<String>>,
    /// Requests of this daemon in flight there.
    pub in_flight: u32,
    /// Prompt tokens that it has still to compute, as last reported.
    pub queued_tokens: u64,
}

/// One daemon's state, for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Status {
    /// The daemon's id.
    pub daemon: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: String,
    /// Whether callers may be sent to it.
    pub ready: bool,
    /// Whether it is stopping.
    pub draining: bool,
    /// The manifest's generation; 0 for none.
    pub generation: u64,
    /// The id of the record that brought it into force.
    pub published: Option<String>,
    /// The daemon that holds the lease to order engines, as last read.
    pub lease_holder: Option<String>,
    /// Whether the log answers.
    pub log_up: bool,
    /// Whether the VM list answers.
    pub vm_list_up: bool,
    /// Whether every claim up to the tail found at the start is known.
    pub ledger_known: bool,
    /// Idempotency keys remembered.
    pub ledger_keys: usize,
    /// Entries of the residency table.
    pub residency_entries: usize,
    /// Peers with a fresh digest.
    pub peers: Vec<String>,
    /// Backend servers.
    pub servers: Vec<ServerStatus>,
    /// Waiting requests by pool.
    pub waiting: BTreeMap<String, usize>,
    /// Requests that are refused since servers ended under them.
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
    /// Its place in the rendezvous order of the first level, from 0.
    pub rank: usize,
    /// Prompt tokens believed cached.
    pub cached_tokens: u32,
    /// How far what is believed of its cache can be trusted, from 0 to 1.
    pub cache_confidence: f64,
    /// Predicted milliseconds to the first token.
    pub predicted_ms: f64,
    /// The cost that placement minimises.
    pub cost: f64,
    /// Whether it has a free slot.
    pub free: bool,
}

impl Status {
    /// The state for metrics.
    pub fn figures(&self) -> Vec<Figure> {
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
        values.map(|(name, value)| Figure::new(name, value)).into()
    }
}

impl Node {
    /// The state for operators.
    pub fn status(&self, now: Time) -> Status {
        let servers = self.membership.iter().map(|(key, server)| ServerStatus {
            id: server.vm.id.clone(),
            pool: server.vm.pool.clone(),
            zone: server.vm.zone.clone(),
            usable: server.is_usable(now),
            leaving: server.leaving,
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
            published: self.manifest_in_force().map(|force| force.published.clone()),
            lease_holder: self.lease.held().map(|held| held.daemon.clone()),
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

    /// Where a request would go now, the best candidate first, without taking it.
    pub fn explain(&mut self, now: Time, arrival: Arrival) -> Vec<CandidateStatus> {
        let request = arrival.request;
        self.requests.insert(request, Request::new(arrival, now, Phase::Waiting));
        let scored = self.score_candidates(now, request, false);
        self.requests.remove(&request);
        scored.into_iter().map(|scored| self.candidate_status(scored)).collect()
    }

    fn candidate_status(&self, scored: Scored) -> CandidateStatus {
        let server = self.membership.get(scored.key);
        CandidateStatus {
            server: server.map_or_else(String::new, |server| server.vm.id.clone()),
            rank: scored.rank,
            cached_tokens: scored.cached_tokens,
            cache_confidence: self.residency.confidence(scored.key),
            predicted_ms: scored.predicted_ms,
            cost: scored.cost,
            free: scored.free,
        }
    }

    /// Whether `request` is open here.
    pub fn is_open(&self, request: attempt::Key) -> bool {
        self.requests.contains_key(&request)
    }
}
