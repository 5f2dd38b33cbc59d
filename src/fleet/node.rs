//! The node: its state, and the life of a request.

use std::net::SocketAddr;

use slotmap::SlotMap;

use super::admission::{Position, Refusals};
use super::drain::Throughput;
use super::incarnation::Incarnations;
use super::load::Load;
use super::notice::Allowance;
use super::peer::Peer;
use super::quotas::Keeping;
use super::request::Request;
use super::residency::{EventPoll, Link, StoreState};
use super::rollout::Rollout;
use super::scheduling::{Ranking, Submissions};
use super::{
    Budget, Catalog, Change, Command, Counts, Dependency, Effect, Key, Location, Message, Record,
    Server, Topic, server,
};
use crate::lease;
use crate::placement::Heat;
use crate::poison;
use crate::prelude::*;
use crate::quota;
use crate::route::Table;

/// Who this daemon is.
#[derive(Debug, Clone, PartialEq)]
pub struct Identity {
    /// The VM's name.
    pub id: String,
    /// Chosen at random at every start.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: String,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Cores that its VM gives it.
    pub cores: f32,
}

/// Bounds that operators of the platform set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Attempts after the first that all daemons may make, for each request.
    pub retry_ratio: f64,
    /// The window in which they are counted.
    pub retry_window: Duration,
    /// Attempts that all daemons may make besides.
    pub retry_slack: f64,
    /// Time from the naming of weights after which no request begins on older ones.
    pub weights_limit: Duration,
    /// Whether engines refuse an order with an old fencing number.
    pub engines_check_fences: bool,
    /// The times of the lease to order engines.
    pub lease: lease::Terms,
    /// How quotas are held against what ran.
    pub quota: quota::Terms,
}

/// Reads a record of the platform's store.
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
    pub(super) pools: BTreeMap<String, Vec<server::Key>>,
    pub(super) requests: BTreeMap<Key, Request>,
    /// Waiting requests in turn.
    pub(super) waiting: BTreeSet<Position>,
    /// How fast what waits is sent, by pool.
    pub(super) drains: BTreeMap<String, Throughput>,
    /// Refused callers that may come back.
    pub(super) expected: Refusals,
    pub(super) budgets: BTreeMap<String, Budget>,
    pub(super) peers: BTreeMap<String, Peer>,
    pub(super) ranking: Ranking,
    /// Other daemons' requests that this one schedules.
    pub(super) served: Submissions,
    /// Own requests on which a scheduler has yet to say something.
    pub(super) awaiting_scheduler: BTreeSet<Key>,
    /// Peers' work by server.
    pub(super) peer_loads: BTreeMap<server::Key, Load>,
    /// Whether peers told something since that was added up.
    pub(super) peer_loads_stale: bool,
    pub(super) rollout: Rollout,
    /// What workspaces have left of their quotas.
    pub(super) quota: quota::State,
    pub(super) quota_leadership: Keeping,
    /// Requests that end servers.
    pub(super) poison: poison::State,
    /// Servers that may have ended under requests.
    pub(super) crash_watch: poison::Detector,
    pub(super) next_block_expiry: Time,
    /// Work by shared part.
    pub(super) heat: Heat,
    /// What the KV store keeps.
    pub(super) kv_store: StoreState,
    /// When what keeps parts is read.
    pub(super) event_reads: BTreeMap<Location, EventPoll>,
    /// Its link.
    pub(super) kv_link: Link,
    pub(super) lease: lease::State,
    /// Topics that were read at least once, from the store or from a peer.
    pub(super) known_topics: BTreeSet<Topic>,
    /// Keys whose newest record can't be read, and why.
    pub(super) unreadable_records: BTreeMap<(Topic, String), String>,
    /// When the servers' topic could last not be read.
    pub(super) servers_down_at: Option<Time>,
    /// Since when what the store does not give can't be read.
    pub(super) unread_since: BTreeMap<Dependency, Time>,
    /// When each topic was last read from the store.
    pub(super) read_at: BTreeMap<Topic, Time>,
    /// The earliest time for the next look at what waits, and the turn after which it goes on.
    pub(super) next_queue_scan: Time,
    pub(super) queue_cursor: Option<Position>,
    /// Notices that may be sent now.
    pub(super) notice_allowance: Allowance,
    pub(super) next_digest: Time,
    pub(super) next_heat_digest: Time,
    pub(super) behind: BTreeMap<Topic, Time>,
    pub(super) draining: bool,
    pub(super) counts: Counts,
    /// Refusals since the start, by code.
    pub(super) refusals: BTreeMap<Code, u64>,
    pub(super) rng: fastrand::Rng,
    pub(super) effects: Vec<Effect>,
}

impl Node {
    /// A node that knows nothing yet but where some peers may be.
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
            waiting: BTreeSet::new(),
            drains: BTreeMap::new(),
            expected: Refusals::default(),
            budgets: BTreeMap::new(),
            peers: Peer::from_seeds(seeds, identity.address),
            ranking: Ranking::default(),
            served: Submissions::default(),
            awaiting_scheduler: BTreeSet::new(),
            peer_loads: BTreeMap::new(),
            peer_loads_stale: false,
            rollout: Rollout::default(),
            quota: quota::State::new(policy.quota),
            quota_leadership: Keeping::default(),
            poison: poison::State::default(),
            crash_watch: poison::Detector::default(),
            next_block_expiry: Time::ZERO,
            heat: Heat::default(),
            kv_store: StoreState::default(),
            event_reads: BTreeMap::new(),
            kv_link: Link::default(),
            lease,
            known_topics: BTreeSet::new(),
            unreadable_records: BTreeMap::new(),
            servers_down_at: None,
            unread_since: BTreeMap::new(),
            read_at: BTreeMap::new(),
            next_queue_scan: Time::ZERO,
            queue_cursor: None,
            notice_allowance: Allowance::default(),
            next_digest: Time::ZERO,
            next_heat_digest: Time::ZERO,
            behind: BTreeMap::new(),
            draining: false,
            counts: Counts::default(),
            refusals: BTreeMap::new(),
            rng,
            effects: Vec::new(),
            identity,
        }
    }

    /// Takes `message` at time `now`; returns what is to be done, in order.
    pub fn apply(&mut self, now: Time, message: Message) -> Vec<Effect> {
        match message {
            Message::Arrive(arrival) => self.arrive(now, *arrival),
            Message::Report { request, attempt, report } => {
                self.handle_report(now, request, attempt, report);
            }
            Message::Cancel(request) => self.forget(now, request),
            Message::Read(read) => self.handle_read(now, read),
            Message::ReadFailed(tracked, reason) => self.mark_unreadable(now, tracked, &reason),
            Message::Lease(first, records) => self.lease_read(now, first, &records),
            Message::OrderEnded(server, end) => self.order_ended(now, server, end),
            Message::Polled(server, state) => self.polled(now, server, state),
            Message::Events(place, read) => self.handle_cache_events(now, place, read.as_ref()),
            Message::Probed(victim, answer) => self.probed(now, victim, answer),
            Message::Frame(frame) => self.handle_frame(now, frame),
            Message::Stop => self.stop(now),
            Message::StopDeadline => self.finish_stop(now),
            Message::Tick => self.tick(now),
        }
        std::mem::take(&mut self.effects)
    }

    /// Whether the platform's balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        let known = |topic| self.known_topics.contains(&topic);
        let all = known(Topic::Operator) && known(Topic::Servers);
        all && self.table.is_some() && !self.draining
    }

    /// Whether a planned stop was asked for.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Requests that are waiting or sent.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether requests wait or engines carry orders out, so that time matters soon.
    pub fn needs_fast_ticks(&self) -> bool {
        !self.waiting.is_empty()
            || !self.awaiting_scheduler.is_empty()
            || !self.quota_leadership.undecided.is_empty()
            || self.rollout.is_active()
            || self.crash_watch.has_probe_due()
    }

    /// The offset from which the lease is to be read next.
    pub fn next_lease_offset(&self) -> u64 {
        self.lease.next()
    }

    /// The offset of a topic before which no record is missing.
    pub fn end_offset(&self, topic: Topic) -> u64 {
        self.catalog.end(topic)
    }

    fn stop(&mut self, now: Time) {
        if !self.draining {
            self.draining = true;
            self.event(Event::StopRequested, Detail::none());
            self.send_digests(now);
            self.return_queued_requests(now);
        }
    }

    /// Ends what has no answer yet while it can still be told so: what waits has not run, and of what
    /// was sent nothing is known. Answers that have begun go on as long as they can.
    fn finish_stop(&mut self, now: Time) {
        // What waits goes first, or it would be sent to the places that the others leave.
        let waiting = self.waiting.iter().map(|turn| turn.key);
        let at_schedulers =
            self.requests.iter().filter(|(_, request)| request.is_awaiting_scheduler());
        let at_schedulers = at_schedulers.map(|(key, _)| *key);
        let undecided = self.quota_leadership.undecided.iter().copied();
        let waiting: Vec<Key> = waiting.chain(at_schedulers).chain(undecided).collect();
        for key in waiting {
            self.refuse(now, key, Code::Draining);
        }
        // Other daemons go on by themselves with what was sent for them.
        let unanswered = |request: &Request| request.origin.is_none() && request.is_unanswered();
        let sent = self.requests.iter().filter(|(_, request)| unanswered(request));
        let sent: Vec<Key> = sent.map(|(key, _)| *key).collect();
        for key in sent {
            self.command(key, Command::GiveUp);
            self.forget(now, key);
        }
    }

    fn tick(&mut self, now: Time) {
        self.update_ranking(now);
        self.look_at_quotas(now);
        self.gossip(now);
        self.refresh_namings(now);
        self.read_events(now);
        self.sum_peer_load(now);
        self.check_unanswered(now);
        self.look_at_poison(now);
        self.remove_lapsed(now);
        self.check_schedulers(now);
        self.drop_expired_submissions(now);
        self.roll_out(now);
        self.send_waiting(now);
        self.expire(now);
    }

    pub(super) fn event(&mut self, event: Event, detail: Detail) {
        self.effects.push(Effect::Event(event, detail));
    }
}
