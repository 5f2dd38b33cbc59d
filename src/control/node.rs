//! The node: its state, and where each message goes.

use serde::Serialize;

use super::{Effect, Message, Stream};
use crate::admission::{Budget, Queue};
use crate::attempt::{self, Phase, Request};
use crate::lease;
use crate::ledger;
use crate::manifest;
use crate::membership;
use crate::peer;
use crate::placement::Heat;
use crate::poison;
use crate::prefix::{self, Residency};
use crate::prelude::*;

/// Entries of the residency table at most; about 100 bytes each.
const MAX_RESIDENCY_ENTRIES: usize = 1_000_000;

/// Time without any message after which this daemon was frozen: ticks come some fifty times a second.
const FREEZE_THRESHOLD: Duration = Duration::from_secs(1);

/// Who this daemon is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The VM's id in the VM list.
    pub id: String,
    /// Chosen at random at every start.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: String,
}

/// Intervals and bounds of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Between polls of one engine.
    pub poll_interval: Duration,
    /// Between digests to peers.
    pub digest_interval: Duration,
    /// After which a peer's digest no longer counts.
    pub digest_lifetime: Duration,
    /// Time that a claim may take through the log.
    pub claim_timeout: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_millis(500),
            digest_interval: Duration::from_millis(250),
            digest_lifetime: Duration::from_secs(3),
            claim_timeout: Duration::from_secs(3),
        }
    }
}

/// What is known of a peer.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) digest: peer::Digest,
    pub(super) received_at: Time,
}

/// State of one stream of the log as this daemon reads it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Reading {
    /// Whether the last read succeeded.
    pub(super) up: bool,
    /// The tail that the first read since the start found.
    pub(super) tail_at_start: Option<u64>,
    /// The tail that the last read found.
    pub(super) tail: u64,
    /// Seconds for which the log keeps records.
    pub(super) retention_s: u64,
}

/// Where the polls of one engine stand.
#[derive(Debug, Clone, Copy)]
pub(super) enum Poll {
    /// The next is due then.
    Due(Time),
    /// One was sent then and has not ended.
    Sent(Time),
}

/// Running means of one pool.
#[derive(Debug, Clone, Copy)]
pub(super) struct Averages {
    /// Milliseconds for which a request holds its slot.
    pub(super) hold_ms: f64,
}

impl Default for Averages {
    fn default() -> Self {
        Self { hold_ms: 500.0 }
    }
}

/// Counts since the start, for operators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests taken.
    pub arrived: u64,
    /// Requests finished.
    pub finished: u64,
    /// Requests given up.
    pub refused: u64,
    /// Attempts after the first.
    pub retried: u64,
    /// Prompt tokens of begun answers.
    pub prompt_tokens: u64,
    /// Of these, found in a cache.
    pub cached_tokens: u64,
    /// Log records that could not be read.
    pub unreadable_records: u64,
}

/// The decision state of one daemon.
#[derive(Debug)]
pub struct Node {
    pub(super) identity: Identity,
    pub(super) policy: Policy,
    pub(super) manifest: manifest::State,
    pub(super) membership: membership::State,
    pub(super) residency: Residency,
    pub(super) heat: Heat,
    /// When this daemon last sent a first level somewhere.
    pub(super) copies: BTreeMap<(prefix::Key, membership::Key), Time>,
    pub(super) queues: BTreeMap<String, Queue>,
    pub(super) averages: BTreeMap<String, Averages>,
    pub(super) requests: BTreeMap<attempt::Key, Request>,
    pub(super) busy: BTreeMap<membership::Key, peer::Busy>,
    pub(super) budget: Budget,
    pub(super) lease: lease::State,
    /// When engines were given the orders that they carry out.
    pub(super) pending_orders: BTreeMap<membership::Key, Time>,
    /// When engines had carried out an order that no report shows yet.
    pub(super) unreported_orders: BTreeMap<membership::Key, Time>,
    /// When the manifest in force was taken over.
    pub(super) in_force_since: Time,
    /// The generation that was last put in force here.
    pub(super) applied_generation: u64,
    /// Whether a peer told what it has in force that is no older than what was folded here.
    pub(super) has_peer_manifest: bool,
    pub(super) ledger: ledger::State,
    pub(super) pending: ledger::Pending,
    pub(super) claims: BTreeMap<attempt::Key, ledger::ClaimId>,
    pub(super) readings: BTreeMap<Stream, Reading>,
    pub(super) peers: BTreeMap<String, Peer>,
    /// Since when this daemon has heard peers that speak: its start, or the end of a freeze.
    pub(super) listening_since: Time,
    applied_at: Time,
    pub(super) polls: BTreeMap<membership::Key, Poll>,
    /// Requests for weights that an engine may have which has not been asked since they are in force.
    pub(super) awaiting_reports: BTreeSet<attempt::Key>,
    pub(super) next_digest: Time,
    pub(super) next_snapshot_request: Time,
    pub(super) checkpoint: super::platform::Checkpointing,
    /// Requests that end servers.
    pub(super) poison: poison::State,
    /// Servers that may have ended under requests.
    pub(super) detector: poison::Detector,
    pub(super) blocks: super::poison::Blocks,
    pub(super) vm_list_up: bool,
    pub(super) vm_list_known: bool,
    pub(super) draining: bool,
    pub(super) counts: Counts,
    pub(super) effects: Vec<Effect>,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(identity: Identity, policy: Policy) -> Self {
        let pending = ledger::Pending::new(identity.id.clone(), identity.incarnation);
        let lease =
            lease::State::new(identity.id.clone(), identity.incarnation, lease::Terms::DEFAULT);
        Self {
            identity,
            policy,
            manifest: manifest::State::default(),
            membership: membership::State::default(),
            residency: Residency::new(MAX_RESIDENCY_ENTRIES),
            heat: Heat::default(),
            copies: BTreeMap::new(),
            queues: BTreeMap::new(),
            averages: BTreeMap::new(),
            requests: BTreeMap::new(),
            busy: BTreeMap::new(),
            budget: Budget::default(),
            lease,
            pending_orders: BTreeMap::new(),
            unreported_orders: BTreeMap::new(),
            in_force_since: Time::ZERO,
            applied_generation: 0,
            has_peer_manifest: false,
            ledger: ledger::State::default(),
            pending,
            claims: BTreeMap::new(),
            readings: BTreeMap::new(),
            peers: BTreeMap::new(),
            listening_since: Time::ZERO,
            applied_at: Time::ZERO,
            polls: BTreeMap::new(),
            awaiting_reports: BTreeSet::new(),
            next_digest: Time::ZERO,
            next_snapshot_request: Time::ZERO,
            checkpoint: super::platform::Checkpointing::default(),
            poison: poison::State::default(),
            detector: poison::Detector::default(),
            blocks: super::poison::Blocks::default(),
            vm_list_up: true,
            vm_list_known: false,
            draining: false,
            counts: Counts::default(),
            effects: Vec::new(),
        }
    }

    /// Takes `message` at time `now`; returns what is to be done, in order.
    pub fn apply(&mut self, now: Time, message: Message) -> Vec<Effect> {
        if now > self.applied_at + FREEZE_THRESHOLD {
            self.listening_since = now;
        }
        self.applied_at = now;
        match message {
            Message::Arrive(arrival) => self.arrive(now, *arrival),
            Message::Report { request, attempt, report } => {
                self.handle_report(now, request, attempt, report);
            }
            Message::Records(stream, read) => self.handle_records(now, stream, read),
            Message::LogDown(stream) => self.log_down(stream),
            Message::Appended { number, result } => self.appended(now, number, result),
            Message::Checkpointed => self.checkpoint.finish_append(),
            Message::Ordered(server, accepted) => self.order_ended(now, server, accepted),
            Message::VmList(vms) => self.handle_vm_list(now, vms),
            Message::VmListDown => self.vm_list_down(),
            Message::Polled(server, report) => self.polled(now, server, *report),
            Message::PollFailed(server) => self.poll_failed(now, server),
            Message::Probed(victim, answer) => self.probed(now, victim, answer),
            Message::Frame(frame) => self.handle_frame(now, frame),
            Message::Stop => self.stop(now),
            Message::Tick => self.tick(now),
        }
        self.flush_ledger(now);
        std::mem::take(&mut self.effects)
    }

    /// The offset from which `stream` is to be read next.
    pub fn next_offset(&self, stream: Stream) -> u64 {
        match stream {
            Stream::Manifest => self.manifest.next(),
            Stream::Ledger => self.ledger.next(),
            Stream::Lease => self.lease.next(),
            Stream::Blocked => self.blocks.next(),
        }
    }

    /// Whether the platform's balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        let known =
            self.manifest_in_force().is_some() && self.blocks_known() && self.membership_known();
        known && !self.draining
    }

    /// The manifest in force, once all records that the first read found are folded, or a peer has told its
    /// own: after a part of them, what they say may have been overtaken long ago.
    pub(super) fn manifest_in_force(&self) -> Option<&Arc<manifest::Force>> {
        let reading = self.readings.get(&Stream::Manifest).copied().unwrap_or_default();
        let known = reading.tail_at_start.is_some_and(|tail| self.manifest.next() >= tail);
        self.manifest.force().filter(|_| known || self.has_peer_manifest)
    }

    /// The generation in force; 0 for none.
    pub(super) fn generation(&self) -> u64 {
        self.manifest_in_force().map_or(0, |force| force.generation)
    }

    /// Whether the stream of blocked requests was read to the tail that the first read found, or asked in vain:
    /// what is blocked and not known yet would end another server.
    fn blocks_known(&self) -> bool {
        let reading = self.readings.get(&Stream::Blocked);
        reading.is_some_and(|reading| {
            !reading.up || reading.tail_at_start.is_some_and(|tail| self.blocks.next() >= tail)
        })
    }

    /// Whether the VM list was read and every pool has a server that is known, or whose engines
    /// have all been asked in vain.
    fn membership_known(&self) -> bool {
        let mut pools: BTreeMap<&str, (bool, bool)> = BTreeMap::new();
        for (_, server) in self.membership.iter() {
            let (known, waiting) = pools.entry(&server.vm.pool).or_default();
            *known |= server.is_known();
            *waiting |= server.is_awaited();
        }
        self.vm_list_known && pools.values().all(|(known, waiting)| *known || !*waiting)
    }

    /// Whether a planned stop is under way.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether a planned stop may end: no request is open and nothing waits to be appended.
    pub fn is_drained(&self) -> bool {
        self.draining && self.requests.is_empty() && self.pending.is_idle()
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn stop(&mut self, now: Time) {
        if !self.draining {
            self.draining = true;
            self.event(Event::StopRequested, Detail::none());
            self.send_digests(now);
        }
    }

    fn tick(&mut self, now: Time) {
        self.expire_requests(now);
        self.retry_admission(now);
        self.maintain_poison(now);
        self.schedule_polls(now);
        self.schedule_peers(now);
        self.schedule_checkpoint(now);
        self.schedule_lease(now);
        self.schedule_orders(now);
        let pools: Vec<String> = self.queues.keys().cloned().collect();
        for pool in pools {
            self.dispatch_waiting(now, &pool);
        }
    }

    pub(super) fn event(&mut self, event: Event, detail: Detail) {
        self.effects.push(Effect::Event(event, detail));
    }

    pub(super) fn command(&mut self, request: attempt::Key, command: attempt::Command) {
        self.effects.push(Effect::Command(request, Box::new(command)));
    }

    /// Ends a request with a final answer that this router makes itself; it never says "not run" of
    /// one that may have run.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        request: attempt::Key,
        refusal: impl Into<attempt::Refusal>,
    ) {
        self.counts.refused += 1;
        let mut refusal = refusal.into();
        if self.requests.get(&request).is_some_and(|state| state.maybe_ran) {
            refusal.execution = refusal.execution.max(Execution::Unknown);
        }
        self.command(request, attempt::Command::Refuse(refusal));
        self.forget(now, request);
    }

    /// Removes a request and frees what it holds.
    pub(super) fn forget(&mut self, now: Time, request: attempt::Key) {
        self.claims.remove(&request);
        let Some(state) = self.requests.remove(&request) else {
            return;
        };
        let pool = state.arrival.pool.clone();
        match state.phase {
            Phase::Claiming => self.pending.abandon(request),
            Phase::Waiting => {
                self.awaiting_reports.remove(&request);
                if let Some(queue) = self.queues.get_mut(&pool) {
                    queue.remove(request);
                }
            }
            Phase::Sent { .. } => {
                self.release_slot(now, &state);
                self.dispatch_waiting(now, &pool);
            }
        }
    }
}
