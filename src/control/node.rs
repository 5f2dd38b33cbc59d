//! State of a node and dispatch of its messages.

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

/// Maximum size of the residency table. An entry takes about 100 bytes.
const MAX_RESIDENCY_ENTRIES: usize = 1_000_000;

/// Gap between messages above which this daemon was frozen. Ticks come about 50 times a second.
const FREEZE_THRESHOLD: Duration = Duration::from_secs(1);

/// Identity of this daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Id of its VM in the VM list.
    pub id: String,
    /// Random number drawn at each start.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: String,
}

/// Intervals and time limits of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Time between polls of one engine.
    pub poll_interval: Duration,
    /// Time between digests to peers.
    pub digest_interval: Duration,
    /// Age from which a peer's digest is ignored.
    pub digest_lifetime: Duration,
    /// Maximum time for a claim to be written to the log and read back.
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

/// Last digest of a peer.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) digest: peer::Digest,
    pub(super) received_at: Time,
}

/// Read state of one stream of the log.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Reading {
    /// Whether the last read succeeded.
    pub(super) up: bool,
    /// Tail offset that the first read since the start returned.
    pub(super) tail_at_start: Option<u64>,
    /// Tail offset that the last read returned.
    pub(super) tail: u64,
    /// Seconds for which the log keeps records.
    pub(super) retention_s: u64,
}

/// Poll state of one engine.
#[derive(Debug, Clone, Copy)]
pub(super) enum Poll {
    /// The next poll is due at this time.
    Due(Time),
    /// A poll was sent at this time and has not ended.
    Sent(Time),
}

/// Moving averages of one pool.
#[derive(Debug, Clone, Copy)]
pub(super) struct Averages {
    /// Time for which a request holds its slot, in milliseconds.
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
    /// Requests received.
    pub arrived: u64,
    /// Requests finished.
    pub finished: u64,
    /// Requests refused with an error.
    pub refused: u64,
    /// Attempts after the first.
    pub retried: u64,
    /// Prompt tokens of requests whose answer has begun.
    pub prompt_tokens: u64,
    /// Prompt tokens among these that were found in a cache.
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
    /// When this daemon last had a server compute a first level.
    pub(super) copies: BTreeMap<(prefix::Key, membership::Key), Time>,
    pub(super) queues: BTreeMap<String, Queue>,
    pub(super) averages: BTreeMap<String, Averages>,
    pub(super) requests: BTreeMap<attempt::Key, Request>,
    pub(super) busy: BTreeMap<membership::Key, peer::Load>,
    pub(super) budget: Budget,
    pub(super) lease: lease::State,
    /// When the order that an engine is executing was sent.
    pub(super) pending_orders: BTreeMap<membership::Key, Time>,
    /// When an engine executed an order that no report reflects yet.
    pub(super) unreported_orders: BTreeMap<membership::Key, Time>,
    /// When the manifest in force was applied here.
    pub(super) in_force_since: Time,
    /// Generation of the manifest last applied here.
    pub(super) applied_generation: u64,
    /// Whether a peer has sent a manifest no older than the one read from the log.
    pub(super) has_peer_manifest: bool,
    pub(super) ledger: ledger::State,
    pub(super) pending: ledger::Pending,
    pub(super) claims: BTreeMap<attempt::Key, ledger::ClaimId>,
    pub(super) readings: BTreeMap<Stream, Reading>,
    pub(super) peers: BTreeMap<String, Peer>,
    /// Start of uninterrupted receipt of digests: this daemon's start or the end of a freeze.
    pub(super) listening_since: Time,
    applied_at: Time,
    pub(super) polls: BTreeMap<membership::Key, Poll>,
    /// Requests whose weights may be at an engine not polled since the manifest came into force.
    pub(super) awaiting_reports: BTreeSet<attempt::Key>,
    pub(super) next_digest: Time,
    pub(super) next_snapshot_request: Time,
    pub(super) checkpoint: super::platform::Checkpointing,
    /// Requests that crash servers.
    pub(super) poison: poison::State,
    /// Servers that may have crashed while they ran requests.
    pub(super) detector: poison::Detector,
    pub(super) blocks: super::poison::Blocks,
    pub(super) vm_list_up: bool,
    pub(super) vm_list_known: bool,
    pub(super) draining: bool,
    /// Whether a planned stop leaves no time for further attempts.
    pub(super) is_ending: bool,
    pub(super) counts: Counts,
    pub(super) effects: Vec<Effect>,
}

impl Node {
    /// Creates a node with empty state.
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
            is_ending: false,
            counts: Counts::default(),
            effects: Vec::new(),
        }
    }

    /// Handles `message` at time `now`. Returns the effects to carry out, in order.
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
            Message::Probed(incarnation, answer) => self.probed(now, incarnation, answer),
            Message::Frame(frame) => self.handle_frame(now, frame),
            Message::Stop => self.stop(now),
            Message::StopDeadline => self.finish_stop(now),
            Message::Tick => self.tick(now),
        }
        self.flush_ledger(now);
        std::mem::take(&mut self.effects)
    }

    /// The offset at which the next read of `stream` starts.
    pub fn next_offset(&self, stream: Stream) -> u64 {
        match stream {
            Stream::Manifest => self.manifest.next(),
            Stream::Ledger => self.ledger.next(),
            Stream::Lease => self.lease.next(),
            Stream::Blocked => self.blocks.next(),
        }
    }

    /// Whether the platform's load balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        let known =
            self.manifest_in_force().is_some() && self.blocks_known() && self.membership_known();
        known && !self.draining
    }

    /// The manifest in force. `None` until all records that the first read found are folded or a peer has
    /// sent its manifest, since a partial fold may give a long superseded manifest.
    pub(super) fn manifest_in_force(&self) -> Option<&Arc<manifest::Revision>> {
        let reading = self.readings.get(&Stream::Manifest).copied().unwrap_or_default();
        let known = reading.tail_at_start.is_some_and(|tail| self.manifest.next() >= tail);
        self.manifest.current().filter(|_| known || self.has_peer_manifest)
    }

    /// The generation in force; 0 for none.
    pub(super) fn generation(&self) -> u64 {
        self.manifest_in_force().map_or(0, |force| force.generation)
    }

    /// Whether the stream of blocked requests was read to the tail that the first read found, or can't be
    /// read. A blocked request that is not known yet would crash another server.
    fn blocks_known(&self) -> bool {
        let reading = self.readings.get(&Stream::Blocked);
        reading.is_some_and(|reading| {
            !reading.up || reading.tail_at_start.is_some_and(|tail| self.blocks.next() >= tail)
        })
    }

    /// Whether the VM list was read and each pool has a known server or awaits no first report.
    fn membership_known(&self) -> bool {
        let mut pools: BTreeMap<&str, (bool, bool)> = BTreeMap::new();
        for (_, server) in self.membership.iter() {
            let (known, waiting) = pools.entry(&server.vm.pool).or_default();
            *known |= server.is_known();
            *waiting |= server.awaits_first_report();
        }
        self.vm_list_known && pools.values().all(|(known, waiting)| *known || !*waiting)
    }

    /// Whether a planned stop is under way.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether a planned stop may end: no request is open and no append is pending.
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

    /// Refuses the requests that were not sent, while their callers can still be informed. Those that were sent end at the entry.
    fn finish_stop(&mut self, now: Time) {
        self.is_ending = true;
        let is_unsent = |state: &Request| !matches!(state.phase, Phase::Sent { .. });
        let unsent = self.requests.iter().filter(|(_, state)| is_unsent(state));
        let unsent: Vec<attempt::Key> = unsent.map(|(key, _)| *key).collect();
        for request in unsent {
            self.refuse_unsent(now, request, Code::Draining);
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

    /// Ends a request with an error made by this router, which never says "not run" where an attempt
    /// may have run.
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

    /// Removes a request and frees its queue entry, claim or slot.
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
