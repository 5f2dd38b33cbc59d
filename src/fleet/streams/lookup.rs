//! Finds the software version of a stream that a caller takes up.

use super::{Lookup, Message, Software, StreamId};
use crate::fleet::request::{Phase, Request};
use crate::fleet::{Effect, Frame, Key, Node, Start};
use crate::prelude::*;

/// Time limit for the replies of other daemons: many round trips within a region, and short relative to the pauses
/// that callers accept.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);

impl Node {
    /// Finds the version of the stream that a request takes up, if it does. Returns whether the request waits for
    /// that or was refused.
    pub(in crate::fleet) fn look_up_stream(&mut self, now: Time, key: Key) -> bool {
        let Some(request) = self.requests.get(&key) else { return true };
        if request.arrival.start == Start::New {
            return false;
        }
        if let Some(software) = self.known_software(now, request) {
            self.log_taken_up(key, "known");
            return self.resume_at(now, key, software);
        }
        let Some(stream) = request.stream() else {
            self.refuse_unknown(now, key);
            return true;
        };
        let pool = request.pool.clone();
        let asked = self.daemons_to_ask(now, stream);
        if asked.is_empty() {
            self.refuse_unknown(now, key);
            return true;
        }
        if let Some(request) = self.requests.get_mut(&key) {
            request.phase = Phase::LookingUp { since: now, unanswered: asked.len() };
        }
        self.streams.lookups.insert(key);
        let daemon = self.identity.id.clone();
        let lookup = Lookup { daemon, request: key, stream, pool };
        let frame = Frame::Streams(Message::Lookup(lookup));
        self.effects.push(Effect::Send(asked.into_iter().collect(), frame));
        true
    }

    /// The version of the stream that a request takes up, from this daemon's own state.
    fn known_software(&self, now: Time, request: &Request) -> Option<Software> {
        let bound = request.stream().and_then(|stream| self.streams.software(now, stream));
        bound.or_else(|| self.proven_software(now, &request.pool))
    }

    /// Handles a message about versions of streams.
    pub(in crate::fleet) fn handle_streams(&mut self, now: Time, message: Message) {
        match message {
            Message::Replicate(streams) => self.store_replicas(now, streams),
            Message::Lookup(lookup) => self.answer_lookup(now, &lookup),
            Message::Found(request, stream, software) => {
                self.handle_found(now, request, stream, software);
            }
        }
    }

    fn answer_lookup(&mut self, now: Time, lookup: &Lookup) {
        let Some(address) = self.peer_address(&lookup.daemon) else { return };
        let bound = self.streams.software(now, lookup.stream);
        let software = bound.or_else(|| self.proven_software(now, &lookup.pool));
        let frame = Frame::Streams(Message::Found(lookup.request, lookup.stream, software));
        self.effects.push(Effect::Send(vec![address], frame));
    }

    fn handle_found(&mut self, now: Time, key: Key, stream: StreamId, software: Option<Software>) {
        let is_asked = |request: &&mut Request| request.stream() == Some(stream);
        let Some(request) = self.requests.get_mut(&key).filter(is_asked) else { return };
        let Phase::LookingUp { unanswered, .. } = &mut request.phase else { return };
        *unanswered = unanswered.saturating_sub(1);
        let is_last = *unanswered == 0;
        match software {
            Some(software) => self.end_lookup(now, key, Some(software)),
            None if is_last => self.end_lookup(now, key, None),
            None => {}
        }
    }

    /// Ends the lookups whose time limit has passed.
    pub(in crate::fleet) fn check_lookups(&mut self, now: Time) {
        let lookups = self.streams.lookups.iter().copied();
        let overdue: Vec<Key> = lookups.filter(|key| self.is_overdue(now, *key)).collect();
        for key in overdue {
            self.end_lookup(now, key, None);
        }
    }

    fn is_overdue(&self, now: Time, key: Key) -> bool {
        let Some(request) = self.requests.get(&key) else { return true };
        let Phase::LookingUp { since, .. } = request.phase else { return true };
        now >= since + LOOKUP_TIMEOUT
    }

    fn end_lookup(&mut self, now: Time, key: Key, software: Option<Software>) {
        self.streams.lookups.remove(&key);
        let request = self.requests.get_mut(&key).filter(|request| request.is_looking_up());
        let Some(request) = request else { return };
        request.phase = Phase::Waiting(now);
        let is_refused = match software {
            Some(software) => {
                self.log_taken_up(key, "from another daemon");
                self.resume_at(now, key, software)
            }
            None => {
                self.refuse_unknown(now, key);
                true
            }
        };
        if !is_refused && !self.leave_if_cut_off(now, key) {
            self.begin_placement(now, key);
        }
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
        self.log_taken_up(key, "unknown");
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
}
