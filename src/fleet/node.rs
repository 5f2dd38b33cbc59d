//! The decision state of a daemon, and the dispatch of its messages.

use std::net::SocketAddr;

use slotmap::SlotMap;

use super::accounts::HeldBack;
use super::admission::{Position, Refusals};
use super::blame::Failures;
use super::departure::Departures;
use super::drain::Throughput;
use super::handover::Handovers;
use super::isolation::Isolation;
use super::life::Incarnations;
use super::load::Load;
use super::notice::Allowance;
use super::peer::Peer;
use super::pool::Pool;
use super::queue::Queue;
use super::quotas::Leadership;
use super::reach::Reach;
use super::replication::Bootstrap;
use super::request::Request;
use super::residency::{EventPoll, Stores};
use super::rest::Rests;
use super::rollout::Rollout;
use super::scheduling::{Ranking, Submissions};
use super::share::Shares;
use super::streams::Streams;
use super::{
    Budget, Catalog, Change, Command, Counts, Dependency, Effect, Key, Location, Message, Record,
    Server, Topic, rejection, request_limit, server,
};
use crate::capacity;
use crate::fairness;
use crate::lease;
use crate::placement::Heat;
use crate::poison;
use crate::prelude::*;
use crate::quota;
use crate::route::Table;

/// The identity of this daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Identity {
    /// The VM's name.
    pub id: String,
    /// Random number, drawn at every start.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: String,
    /// Address on which it listens for peers.
    pub address: SocketAddr,
    /// Address on which it takes requests over from peers.
    pub handover_address: SocketAddr,
    /// Cores of its VM.
    pub cores: f32,
}

/// Limits set by the operators of the platform.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Retries per request that all daemons together may make.
    pub retry_ratio: f64,
    /// The window in which retries are counted.
    pub retry_window: Duration,
    /// Fixed number of retries that all daemons together may make beyond the ratio.
    pub retry_slack: f64,
    /// Time after the naming of new weights from which no request begins on older ones.
    pub weights_limit: Duration,
    /// Whether engines refuse an order with an outdated fencing number.
    pub engines_check_fences: bool,
    /// Durations of the lease to order engines.
    pub lease: lease::Terms,
    /// Parameters of quota accounting.
    pub quota: quota::Policy,
    /// When the room of pools is divided among workspaces.
    pub fair_shares: fairness::Mode,
    /// Whether the speed of servers is learnt from their answers.
    pub learns_capacity: bool,
    /// Whether parts of prompts are spread over all KV stores of the configuration.
    pub uses_all_kv_stores: bool,
}

/// Decodes a record of the platform's store.
pub type Decode = fn(Topic, &Record) -> Result<Change, String>;

/// The decision state of one daemon.
#[derive(Debug)]
pub struct Node {
    pub(super) identity: Identity,
    pub(super) policy: Policy,
    pub(super) decode: Decode,
    pub(super) catalog: Catalog,
    pub(super) table: Option<Arc<Table>>,
    pub(super) servers: SlotMap<server::Key, Server>,
    pub(super) incarnations: Incarnations,
    /// Servers by pool.
    pub(super) pools: BTreeMap<String, Pool>,
    pub(super) requests: BTreeMap<Key, Request>,
    /// Software versions of streams.
    pub(super) streams: Streams,
    /// The queue of waiting requests, in the order in which they are sent.
    pub(super) waiting: Queue,
    /// Rate at which waiting requests are sent, by pool.
    pub(super) drains: BTreeMap<String, Throughput>,
    /// What workspaces were given of pools, while their room is divided.
    pub(super) ledgers: BTreeMap<String, fairness::Ledger>,
    pub(super) held_back: HeldBack,
    /// The typical speed of servers, by pool.
    pub(super) pool_speeds: BTreeMap<String, capacity::Pool>,
    /// Time of the next change of servers' weights as homes.
    pub(super) next_weight_update: Time,
    /// How far predicted times of answers are from real ones.
    pub(super) deviation: capacity::Deviation,
    /// Refused callers that may retry.
    pub(super) expected: Refusals,
    pub(super) budgets: BTreeMap<String, Budget>,
    pub(super) peers: BTreeMap<String, Peer>,
    pub(super) ranking: Ranking,
    /// Whether this daemon reaches any server.
    pub(super) reach: Reach,
    pub(super) handovers: Handovers,
    /// Recent failed attempts, by daemon.
    pub(super) failures: Failures,
    /// Requests of other daemons that this one schedules.
    pub(super) served: Submissions,
    /// Own requests for which a scheduler's answer is outstanding.
    pub(super) awaiting_scheduler: BTreeSet<Key>,
    /// Servers with unanswered requests of this daemon as of the last tick.
    pub(super) unanswered: BTreeSet<server::Key>,
    /// Load of peers' requests, by server.
    pub(super) peer_loads: BTreeMap<server::Key, Load>,
    /// Whether peers reported load since `peer_loads` was computed.
    pub(super) peer_loads_stale: bool,
    pub(super) rollout: Rollout,
    /// Remaining quotas of workspaces.
    pub(super) quota: quota::State,
    pub(super) quota_leadership: Leadership,
    /// Crashes, suspects and blocks.
    pub(super) poison: poison::State,
    /// Servers that may have crashed while they ran requests.
    pub(super) detector: poison::Detector,
    /// When servers that may have crashed first refused a connection.
    pub(super) refused_since: BTreeMap<poison::Incarnation, Time>,
    /// Reject limits of servers.
    pub(super) rejection: rejection::State,
    /// Its shares of the limits of servers.
    pub(super) shares: Shares,
    /// Request limits of servers.
    pub(super) request_limits: request_limit::State,
    /// Servers that have stated that they leave.
    pub(super) departures: Departures,
    /// Servers that want no requests of a daemon for a while.
    pub(super) rests: Rests,
    /// Suspects that run alone at a server.
    pub(super) isolation: Isolation,
    pub(super) next_block_expiry: Time,
    /// Recent work by shared part of prompts.
    pub(super) heat: Heat,
    /// The KV stores: what they hold, and their links.
    pub(super) stores: Stores,
    /// Schedule of reading cache events, by engine or KV store.
    pub(super) event_reads: BTreeMap<Location, EventPoll>,
    /// Holders whose events this daemon may have to read, by the time of the next check.
    pub(super) event_schedule: BTreeSet<(Time, Location)>,
    pub(super) lease: lease::State,
    /// Topics that were read at least once, from the store or a peer.
    pub(super) known_topics: BTreeSet<Topic>,
    /// Keys whose newest record can't be decoded, with the reason.
    pub(super) unreadable_records: BTreeMap<(Topic, String), String>,
    /// Time of the last failed read of the servers' topic.
    pub(super) servers_down_at: Option<Time>,
    /// Start of the current read failure of each tracked item.
    pub(super) unread_since: BTreeMap<Dependency, Time>,
    /// Time of the last read of each topic from the store, by this daemon or by a peer that reported
    /// it.
    pub(super) read_at: BTreeMap<Topic, Time>,
    /// How this daemon obtains its first copy of each topic.
    pub(super) bootstrap: Bootstrap,
    /// Allowance in bytes for copies of whole topics sent to peers.
    pub(super) copy_allowance: Allowance,
    /// The earliest time of the next scan of the queue, and the turn after which it continues.
    pub(super) next_queue_scan: Time,
    pub(super) queue_cursor: Option<Position>,
    /// The earliest time of the next prediction for what waits.
    pub(super) next_prediction: Time,
    /// Allowance for notices to peers.
    pub(super) notice_allowance: Allowance,
    pub(super) next_digest: Time,
    pub(super) next_heat_digest: Time,
    /// The peer that has most records of a topic, where it has more than this daemon.
    pub(super) ahead: BTreeMap<Topic, String>,
    /// Since when this daemon lacks records of a topic, or when it last requested them.
    pub(super) behind: BTreeMap<Topic, Time>,
    pub(super) draining: bool,
    /// Whether a planned stop leaves no time for further requests.
    pub(super) refuses_arrivals: bool,
    pub(super) counts: Counts,
    /// Refusals since the start, by code.
    pub(super) refusals: BTreeMap<Code, u64>,
    pub(super) rng: fastrand::Rng,
    pub(super) effects: Vec<Effect>,
}

impl Node {
    /// Creates a node without any state except the addresses of possible peers.
    pub fn new(identity: Identity, policy: Policy, decode: Decode, seeds: &[SocketAddr]) -> Self {
        let lease = lease::State::new(identity.id.clone(), identity.incarnation, policy.lease);
        let rng = fastrand::Rng::with_seed(identity.incarnation);
        Self {
            policy,
            decode,
            catalog: Catalog::default(),
            table: None,
            servers: SlotMap::with_key(),
            incarnations: Incarnations::default(),
            pools: BTreeMap::new(),
            requests: BTreeMap::new(),
            streams: Streams::default(),
            waiting: Queue::default(),
            drains: BTreeMap::new(),
            ledgers: BTreeMap::new(),
            held_back: HeldBack::default(),
            pool_speeds: BTreeMap::new(),
            next_weight_update: Time::ZERO,
            deviation: capacity::Deviation::default(),
            expected: Refusals::default(),
            budgets: BTreeMap::new(),
            peers: Peer::from_seeds(seeds, identity.address),
            ranking: Ranking::default(),
            reach: Reach::default(),
            handovers: Handovers::default(),
            failures: Failures::default(),
            served: Submissions::default(),
            awaiting_scheduler: BTreeSet::new(),
            unanswered: BTreeSet::new(),
            peer_loads: BTreeMap::new(),
            peer_loads_stale: false,
            rollout: Rollout::default(),
            quota: quota::State::new(policy.quota),
            quota_leadership: Leadership::default(),
            poison: poison::State::isolating(),
            detector: poison::Detector::default(),
            refused_since: BTreeMap::new(),
            rejection: rejection::State::default(),
            shares: Shares::default(),
            request_limits: request_limit::State::default(),
            departures: Departures::default(),
            rests: Rests::default(),
            isolation: Isolation::default(),
            next_block_expiry: Time::ZERO,
            heat: Heat::default(),
            stores: Stores::default(),
            event_reads: BTreeMap::new(),
            event_schedule: BTreeSet::new(),
            lease,
            known_topics: BTreeSet::new(),
            unreadable_records: BTreeMap::new(),
            servers_down_at: None,
            unread_since: BTreeMap::new(),
            read_at: BTreeMap::new(),
            bootstrap: Bootstrap::new(seeds, identity.address),
            copy_allowance: Allowance::default(),
            next_queue_scan: Time::ZERO,
            queue_cursor: None,
            next_prediction: Time::ZERO,
            notice_allowance: Allowance::default(),
            next_digest: Time::ZERO,
            next_heat_digest: Time::ZERO,
            ahead: BTreeMap::new(),
            behind: BTreeMap::new(),
            draining: false,
            refuses_arrivals: false,
            counts: Counts::default(),
            refusals: BTreeMap::new(),
            rng,
            effects: Vec::new(),
            identity,
        }
    }

    /// Handles `message` at time `now`; returns the effects to execute, in order.
    pub fn apply(&mut self, now: Time, message: Message) -> Vec<Effect> {
        match message {
            Message::Arrive(arrival) => self.arrive(now, *arrival),
            Message::Report { request, attempt, report } => {
                self.handle_report(now, request, attempt, report);
            }
            Message::HandoverEnded { request, attempt, end } => {
                self.handover_ended(now, request, attempt, end);
            }
            Message::Cancel(request) => self.remove_request(now, request),
            Message::Stated { request, attempt, statement } => {
                self.note_statement(now, request, attempt, statement);
            }
            Message::Read(read) => self.handle_read(now, read),
            Message::ReadFailed(tracked, reason) => self.mark_unreadable(now, tracked, &reason),
            Message::Lease(first, records) => self.lease_read(now, first, &records),
            Message::OrderEnded(server, end) => self.order_ended(now, server, end),
            Message::Polled(server, state) => self.polled(now, server, state),
            Message::Events(place, read) => self.handle_cache_events(now, place, read.as_ref()),
            Message::Probed(incarnation, answer) => self.probed(now, incarnation, answer),
            Message::PathProbed(server, connect) => self.path_probed(now, server, connect),
            Message::Frame(frame) => self.handle_frame(now, frame),
            Message::Stop => self.stop(now),
            Message::StopAdmission => self.refuses_arrivals = true,
            Message::StopDeadline => self.finish_stop(now),
            Message::Tick => self.tick(now),
        }
        self.confirm_copies(now);
        std::mem::take(&mut self.effects)
    }

    /// Whether the platform's load balancer may send callers to this daemon.
    pub fn is_ready(&self) -> bool {
        self.is_confirmed() && self.table.is_some() && !self.draining
    }

    /// Whether a planned stop was requested.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Number of requests that are waiting or sent.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether requests wait or engines execute orders, so that ticks must be frequent.
    pub fn needs_fast_ticks(&self) -> bool {
        !self.waiting.is_empty()
            || !self.awaiting_scheduler.is_empty()
            || !self.streams.lookups.is_empty()
            || !self.quota_leadership.undecided.is_empty()
            || self.rollout.is_active()
            || self.detector.has_probe_due()
            || self.reach.is_suspicious()
    }

    /// The offset of the next lease record to read.
    pub fn next_lease_offset(&self) -> u64 {
        self.lease.next()
    }

    /// The offset of a topic up to which all records are known.
    pub fn end_offset(&self, topic: Topic) -> u64 {
        self.catalog.end(topic)
    }

    /// The same; `None` until the topic is known.
    pub fn known_end(&self, topic: Topic) -> Option<u64> {
        self.known_topics.contains(&topic).then(|| self.end_offset(topic))
    }

    fn stop(&mut self, now: Time) {
        if !self.draining {
            self.draining = true;
            self.event(Event::StopRequested, Detail::none());
            self.send_digests(now);
            self.replicate_all_streams(now);
            self.return_queued_requests(now);
        }
    }

    /// Ends all requests without an answer while their callers can still be informed: waiting requests
    /// did not run, and the outcome of sent ones is unknown. Answers that have begun continue.
    fn finish_stop(&mut self, now: Time) {
        self.refuses_arrivals = true;
        // Waiting requests end first: else they would be sent to the slots that sent ones free.
        let waiting = self.waiting.iter().map(|turn| turn.key);
        let at_schedulers =
            self.requests.iter().filter(|(_, request)| request.is_awaiting_scheduler());
        let at_schedulers = at_schedulers.map(|(key, _)| *key);
        let undecided = self.quota_leadership.undecided.iter().copied();
        let looking_up = self.requests.iter().filter(|(_, request)| request.is_looking_up());
        let looking_up = looking_up.map(|(key, _)| *key);
        let waiting = waiting.chain(at_schedulers).chain(undecided).chain(looking_up);
        let waiting: Vec<Key> = waiting.collect();
        for key in waiting {
            self.refuse(now, key, Code::Draining);
        }
        // Other daemons continue on their own with requests that were sent for them.
        let unanswered = |request: &Request| request.origin.is_none() && request.is_unanswered();
        let sent = self.requests.iter().filter(|(_, request)| unanswered(request));
        let sent: Vec<Key> = sent.map(|(key, _)| *key).collect();
        for key in sent {
            self.command(key, Command::GiveUp);
            self.remove_request(now, key);
        }
    }

    fn tick(&mut self, now: Time) {
        self.watch_servers(now);
        self.update_ranking(now);
        self.update_quota_role(now);
        self.gossip(now);
        self.request_first_copies(now);
        self.refresh_namings(now);
        self.read_events(now);
        self.sum_peer_load(now);
        self.check_reach(now);
        self.check_unanswered(now);
        self.maintain_blocks(now);
        self.update_home_weights(now);
        self.update_shares(now);
        self.maintain_rejection(now);
        self.maintain_request_limits(now);
        self.remove_lapsed(now);
        self.check_schedulers(now);
        self.check_lookups(now);
        self.drop_expired_submissions(now);
        self.roll_out(now);
        self.send_waiting(now);
        self.expire(now);
    }

    pub(super) fn event(&mut self, event: Event, detail: Detail) {
        self.effects.push(Effect::Event(event, detail));
    }
}
