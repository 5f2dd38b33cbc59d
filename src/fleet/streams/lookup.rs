//! Finds the software version of a stream that a caller takes up.

use std::net::SocketAddr;

use super::{Finding, Lookup, Message, Software, StreamId};
use crate::fleet::request::{Phase, Request};
use crate::fleet::{Effect, Frame, Key, Node, Server, Start};
use crate::prelude::*;
use crate::route::Repeat;

/// Time limit for the replies of other daemons: many round trips within a region, and short relative to the pauses
/// that callers accept.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);
/// The same once a version is proven: some round trips, in which a binding arrives if there is one.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(30);

/// A search for the version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::fleet) struct Search {
    /// When the other daemons were asked.
    pub(in crate::fleet) since: Time,
    /// Number of those that have not replied.
    unanswered: usize,
    /// The version that is proven.
    proven: Option<Software>,
    /// Whether the proofs differ, or a daemon knows of several versions.
    is_disputed: bool,
}

impl Search {
    fn add_proof(&mut self, software: Software) {
        let former = *self.proven.get_or_insert(software);
        self.is_disputed |= former != software;
    }

    /// The version, if a proof holds and no reply speaks against it.
    fn result(&self) -> Option<Software> {
        self.proven.filter(|_| !self.is_disputed)
    }

    fn is_overdue(&self, now: Time) -> bool {
        let limit = if self.result().is_some() { CONFIRM_TIMEOUT } else { LOOKUP_TIMEOUT };
        now >= self.since + limit
    }
}

impl Node {
    /// Finds the version of the stream that a request takes up, if it does. Returns whether the request waits for
    /// that or was refused.
    pub(in crate::fleet) fn look_up_stream(&mut self, now: Time, key: Key) -> bool {
        let Some(request) = self.requests.get(&key) else { return true };
        if request.arrival.start == Start::New {
            return false;
        }
        let pool = request.pool.clone();
        let stream = request.stream();
        if let Some(software) = stream.and_then(|stream| self.streams.software(now, stream)) {
            self.log_taken_up(now, key, "bound here");
            return self.resume_at(now, key, software);
        }
        let proven = self.proven_software(now, &pool);
        let asked = stream.map(|stream| self.daemons_to_ask(now, stream)).unwrap_or_default();
        let search = Search { since: now, unanswered: asked.len(), proven, is_disputed: false };
        if let Some(request) = self.requests.get_mut(&key) {
            request.phase = Phase::LookingUp(search);
        }
        match stream.filter(|_| !asked.is_empty()) {
            Some(stream) => self.ask(key, stream, pool, asked),
            None => return self.conclude(now, key, proven, "proven here"),
        }
        true
    }

    fn ask(&mut self, key: Key, stream: StreamId, pool: String, asked: BTreeSet<SocketAddr>) {
        self.streams.lookups.insert(key);
        let daemon = self.identity.id.clone();
        let lookup = Lookup { daemon, request: key, stream, pool };
        let frame = Frame::Streams(Message::Lookup(lookup));
        self.effects.push(Effect::Send(asked.into_iter().collect(), frame));
    }

    /// Handles a message about versions of streams.
    pub(in crate::fleet) fn handle_streams(&mut self, now: Time, message: Message) {
        match message {
            Message::Replicate(streams) => self.store_replicas(now, streams),
            Message::Lookup(lookup) => self.answer_lookup(now, &lookup),
            Message::Found(request, stream, finding) => {
                self.handle_found(now, request, stream, finding);
            }
        }
    }

    fn answer_lookup(&mut self, now: Time, lookup: &Lookup) {
        let Some(address) = self.peer_address(&lookup.daemon) else { return };
        let finding = self.finding(now, lookup.stream, &lookup.pool);
        let frame = Frame::Streams(Message::Found(lookup.request, lookup.stream, finding));
        self.effects.push(Effect::Send(vec![address], frame));
    }

    fn finding(&self, now: Time, stream: StreamId, pool: &str) -> Finding {
        if let Some(software) = self.streams.software(now, stream) {
            return Finding::Bound(software);
        }
        if let Some(software) = self.proven_software(now, pool) {
            return Finding::Proven(software);
        }
        let count = self.pools.get(pool).map_or(0, |pool| pool.versions.count(now));
        if count > 1 { Finding::Ambiguous } else { Finding::Unknown }
    }

    fn handle_found(&mut self, now: Time, key: Key, stream: StreamId, finding: Finding) {
        let is_asked = |request: &&mut Request| request.stream() == Some(stream);
        let Some(request) = self.requests.get_mut(&key).filter(is_asked) else { return };
        let Phase::LookingUp(search) = &mut request.phase else { return };
        search.unanswered = search.unanswered.saturating_sub(1);
        match finding {
            Finding::Bound(software) => {
                return self.end_lookup(now, key, Some(software), "bound elsewhere");
            }
            Finding::Proven(software) => search.add_proof(software),
            Finding::Ambiguous => search.is_disputed = true,
            Finding::Unknown => {}
        }
        if search.unanswered == 0 {
            let result = search.result();
            self.end_lookup(now, key, result, "proven");
        }
    }

    /// Ends the lookups whose time limit has passed.
    pub(in crate::fleet) fn check_lookups(&mut self, now: Time) {
        let lookups: Vec<Key> = self.streams.lookups.iter().copied().collect();
        for key in lookups {
            match self.requests.get(&key).map(|request| request.phase) {
                Some(Phase::LookingUp(search)) if search.is_overdue(now) => {
                    self.end_lookup(now, key, search.result(), "proven, not all asked replied");
                }
                Some(Phase::LookingUp(_)) => {}
                _ => {
                    self.streams.lookups.remove(&key);
                }
            }
        }
    }

    /// Ends a lookup, and places the request unless it is refused.
    fn end_lookup(&mut self, now: Time, key: Key, software: Option<Software>, how: &'static str) {
        self.streams.lookups.remove(&key);
        if !self.conclude(now, key, software, how) && !self.leave_if_cut_off(now, key) {
            self.begin_placement(now, key);
        }
    }

    /// Binds a request to the version that was found, or refuses it. Returns whether it did the latter.
    fn conclude(
        &mut self,
        now: Time,
        key: Key,
        software: Option<Software>,
        how: &'static str,
    ) -> bool {
        let request = self.requests.get_mut(&key).filter(|request| request.is_looking_up());
        let Some(request) = request else { return true };
        request.phase = Phase::Waiting(now);
        let Some(software) = software else {
            self.refuse_unknown(now, key);
            return true;
        };
        self.log_taken_up(now, key, how);
        self.resume_at(now, key, software)
    }

    /// Binds a request to the version that began its stream. Returns whether the request is refused because no server
    /// of that version is left. A stream of another pool is not bound: operators have moved the route.
    fn resume_at(&mut self, now: Time, key: Key, software: Software) -> bool {
        let Some(request) = self.requests.get_mut(&key) else { return true };
        let mut pools = self.pools.iter().filter(|(_, pool)| pool.versions.includes(software));
        let pool = pools.next().map(|(name, _)| name);
        let splits = &request.arrival.route.splits;
        match pool {
            Some(name) if splits.iter().any(|split| split.pool == *name) => {
                request.pool.clone_from(name);
            }
            Some(_) => return false,
            None => {}
        }
        request.software = Some(software);
        self.refuse_if_version_gone(now, key)
    }

    /// Refuses a request whose stream has an unknown version, also if the pool has no servers: the next one to start may
    /// have another version.
    fn refuse_unknown(&mut self, now: Time, key: Key) {
        self.log_taken_up(now, key, "unknown");
        self.refuse(now, key, Code::StreamVersionUnknown);
    }

    /// Refuses a request, or ends its answer as broken, if no server of the version that began its stream is left.
    /// Returns whether it did.
    pub(in crate::fleet) fn refuse_if_version_gone(&mut self, now: Time, key: Key) -> bool {
        let is_gone = self.requests.get(&key).is_some_and(|request| self.is_version_gone(request));
        if is_gone {
            self.refuse(now, key, Code::StreamVersionGone);
        }
        is_gone
    }

    /// Whether no server of the version that began a request's stream is left. Those that are about to stop count as
    /// gone.
    pub(in crate::fleet) fn is_version_gone(&self, request: &Request) -> bool {
        let Some(software) = request.software else { return false };
        let Some(pool) = self.pools.get(&request.pool) else { return true };
        let mut servers = pool.versions.servers_of(software).iter();
        let stays = |key| self.servers.get(key).is_some_and(|server| !server.entry.draining);
        !servers.any(|(key, _)| stays(*key))
    }

    /// Whether a request may begin no stream at a server yet, since a daemon may lack the version's registration and
    /// take the stream up at a former one.
    pub(in crate::fleet) fn is_held_back(
        &self,
        now: Time,
        request: &Request,
        server: &Server,
    ) -> bool {
        // A scheduler does not know whether the route streams.
        let may_be_taken_up = request.arrival.route.repeat == Repeat::Resumable;
        let begins = may_be_taken_up && request.software.is_none();
        begins && self.is_version_held_back(now, &request.pool, server.software)
    }
}
