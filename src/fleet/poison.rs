//! Requests that crash servers: the daemon that placed the requests detects a crash, schedulers count crashes,
//! and every daemon refuses blocked requests.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use super::admission::REFUSAL_LIFETIME;
use super::prompt::shared_parts;
use super::request::{Phase, Request};
use super::{Command, Effect, Frame, Key, Node, Server, server};
use crate::poison::{
    Answer, Blocked, Disconnect, Endpoint, Fingerprint, Incarnation, Interruption, Message, Probe,
    Steps,
};
use crate::prelude::*;

/// Time between two writes of a block to the platform's store until the block is read there.
const BLOCK_REWRITE_INTERVAL: Duration = Duration::from_secs(2);
/// Additional delay per rank before a scheduler writes a block, so that usually only the first writes it.
const BLOCK_WRITE_STAGGER: Duration = Duration::from_millis(700);
/// Maximum number of parts of a prompt that are reported with a crash.
const MAX_REPORTED_PARTS: usize = 32;
/// Maximum number of peers that get crash reports if no scheduler is known.
const MAX_REPORT_PEERS: usize = 8;
/// Time from the first refused connection to a server in which another may prove its end.
const VERIFICATION_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a crash in which no request with a suspect part of it runs: a crash elsewhere is known by then, and fewer
/// servers are down at a time while the evidence is gathered.
const PART_RUN_PAUSE: Duration = Duration::from_millis(300);
/// Time between two removals of expired state.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

impl Server {
    /// Its current incarnation under the id that all daemons use for crashes.
    pub(super) fn poison_incarnation(&self) -> Incarnation {
        let incarnation = &self.entry.incarnation;
        Incarnation::of(&incarnation.id, Some(&incarnation.started_ms.to_string()))
    }
}

/// Returns the fingerprints of the parts of a request's prompt that others may share.
fn part_fingerprints(request: &Request) -> impl Iterator<Item = Fingerprint> {
    let prompt = request.arrival.prompt.as_ref();
    let parts = prompt.map(|prompt| shared_parts(&prompt.parts)).unwrap_or_default();
    parts.iter().map(|part| Fingerprint::of_part(part.id))
}

impl Node {
    /// Handles the loss of a request's connection. A draining server ends by plan, and the loss is ignored.
    pub(super) fn connection_lost(&mut self, now: Time, key: Key, server: server::Key, ran: Time) {
        let Some(fingerprint) = self.fingerprint(key) else { return };
        let server_key = server;
        let Some(server) = self.servers.get(server_key) else { return };
        if server.entry.draining {
            return;
        }
        let pool = server.entry.pool.as_str();
        let ran_alone = self.isolation.is_alone(now, pool, server_key, fingerprint);
        let suspect = Endpoint {
            incarnation: server.poison_incarnation(),
            address: server.entry.address,
            pool: xxh3_64(pool.as_bytes()),
            servers: self.pools.get(pool).map_or(0, |pool| pool.len() as u32),
        };
        let steps = self.detector.record_disconnect(
            now,
            suspect,
            Disconnect { fingerprint, parts: self.unanswered_parts(key), run_time: ran, ran_alone },
        );
        self.apply_steps(now, steps);
    }

    /// Returns the parts of a request's prompt that others may share; none if its answer has begun.
    fn unanswered_parts(&self, key: Key) -> Vec<Fingerprint> {
        let request = self.requests.get(&key).filter(|request| !request.has_begun());
        let parts = request.map(part_fingerprints);
        parts.map_or_else(Vec::new, |parts| parts.take(MAX_REPORTED_PARTS).collect())
    }

    /// Handles the result of a probe of a server's port.
    pub(super) fn probed(&mut self, now: Time, incarnation: Incarnation, answer: Answer) {
        let answer = self.verify_refusal(now, incarnation, answer);
        let steps = self.detector.record_probe(now, incarnation, answer);
        self.log_findings();
        self.apply_steps(now, steps);
    }

    /// Returns what a probe's result is worth. A path to all servers that is cut may refuse
    /// connections too, so after the first refusal other servers are probed, and a later one counts
    /// if any of them has accepted a connection.
    fn verify_refusal(&mut self, now: Time, incarnation: Incarnation, answer: Answer) -> Answer {
        let is_current = |first: &Time| now < *first + VERIFICATION_TIMEOUT;
        let first = self.refused_since.get(&incarnation).copied().filter(is_current);
        match (answer, first) {
            (Answer::Refused, None) => {
                self.refused_since.insert(incarnation, now);
                self.verify_path(incarnation);
                Answer::Refused
            }
            (Answer::Refused, Some(first)) if self.reach.has_accepted_since(first) => {
                Answer::Refused
            }
            (Answer::Refused, Some(_)) if !self.verify_path(incarnation) => Answer::Refused,
            (Answer::Refused, Some(_)) => Answer::Unverified,
            (Answer::Accepted | Answer::Silent | Answer::Unverified, _) => {
                self.refused_since.remove(&incarnation);
                answer
            }
        }
    }

    /// Probes servers other than one that refused a connection; returns false if there is none.
    fn verify_path(&mut self, refused: Incarnation) -> bool {
        let mut known = self.servers.iter();
        let found = known.find(|(_, server)| server.poison_incarnation() == refused);
        let found = found.map(|(key, _)| key);
        self.probe_other_paths(found)
    }

    /// Handles the removal of a server's registration, or a restart of the server.
    pub(super) fn registration_ended(&mut self, now: Time, server: &Server) {
        if !server.entry.draining {
            let steps = self.detector.record_crash(now, server.poison_incarnation());
            self.apply_steps(now, steps);
        }
    }

    /// Handles any answer of a server, as a sign that it runs.
    pub(super) fn server_answered(&mut self, now: Time, server: server::Key) {
        if let Some(server) = self.servers.get(server).filter(|_| !self.detector.is_idle()) {
            self.detector.record_response(now, server.poison_incarnation());
            self.log_findings();
        }
    }

    fn log_findings(&mut self) {
        for finding in self.detector.take_findings() {
            let address = finding.address.map_or_else(String::new, |address| address.to_string());
            let detail = Detail::of("server", self.server_id(finding.incarnation))
                .and("address", address)
                .and("outcome", finding.outcome.name())
                .and("age_ms", finding.age.as_millis() as u64);
            self.event(Event::ServerChecked, detail);
        }
    }

    fn apply_steps(&mut self, now: Time, steps: Steps) {
        for Probe { incarnation, address } in steps.probes {
            self.effects.push(Effect::Probe(incarnation, address));
        }
        if steps.interruptions.is_empty() {
            return;
        }
        let present = steps.interruptions.iter().map(|strike| strike.fingerprint.to_string());
        let parts: BTreeSet<Fingerprint> =
            steps.interruptions.iter().flat_map(|strike| strike.parts.iter().copied()).collect();
        let parts = parts.iter().map(Fingerprint::to_string);
        let detail = Detail::of("server", self.server_id(steps.interruptions[0].incarnation))
            .and("requests", steps.interruptions.len())
            .and("fingerprints", present.collect::<Vec<String>>().join(" "))
            .and("parts", parts.collect::<Vec<String>>().join(" "));
        self.event(Event::ServerEnded, detail);
        let mut addresses = self.successor_addresses(now);
        if addresses.is_empty() {
            addresses = self.fresh_peer_addresses(now);
            self.rng.shuffle(&mut addresses);
            addresses.truncate(MAX_REPORT_PEERS);
        }
        self.send_poison_message(addresses, Message::Interruptions(steps.interruptions.clone()));
        self.record_crashes(now, &steps.interruptions);
        let blocked = self.poison.block_parts(now, &steps.interruptions);
        self.announce_blocks(now, blocked);
    }

    fn server_id(&self, incarnation: Incarnation) -> String {
        let known = self.servers.values().find(|server| server.poison_incarnation() == incarnation);
        known.map_or_else(String::new, |server| server.entry.incarnation.id.clone())
    }

    fn send_poison_message(&mut self, addresses: Vec<SocketAddr>, message: Message) {
        if !addresses.is_empty() {
            self.effects.push(Effect::Send(addresses, Frame::Poison(message)));
        }
    }

    /// Handles a peer's message on crashes and blocks.
    pub(super) fn receive_poison_message(&mut self, now: Time, message: Message) {
        match message {
            Message::Interruptions(strikes) => self.record_crashes(now, &strikes),
            Message::Served(fingerprint) => {
                self.poison.clear_part(fingerprint);
                let blocked = self.poison.clear_suspect(now, fingerprint);
                self.announce_blocks(now, blocked.unwrap_or_default());
            }
            Message::Blocked(blocked) => self.merge_blocks(now, &blocked),
        }
    }

    fn record_crashes(&mut self, now: Time, strikes: &[Interruption]) {
        let blocked = self.poison.record_interruptions(now, strikes);
        self.announce_blocks(now, blocked);
    }

    /// Sends new blocks to all peers and enforces them.
    fn announce_blocks(&mut self, now: Time, blocked: Vec<Fingerprint>) {
        if blocked.is_empty() {
            return;
        }
        let new = blocked.iter();
        let new = new.map(|block| Blocked { fingerprint: *block, age: Duration::ZERO }).collect();
        let peers = self.fresh_peers(now);
        self.multicast(peers, Frame::Poison(Message::Blocked(new)));
        for fingerprint in blocked {
            self.enforce_block(now, fingerprint);
        }
    }

    /// Adopts blocks from peers.
    pub(super) fn merge_blocks(&mut self, now: Time, blocked: &[Blocked]) {
        for block in blocked {
            if self.poison.merge_block(now, *block) {
                self.enforce_block(now, block.fingerprint);
            }
        }
    }

    /// Ends the open requests that a new block matches, except those whose answer has begun.
    fn enforce_block(&mut self, now: Time, fingerprint: Fingerprint) {
        let detail = self.poison.detail(now, fingerprint);
        self.event(Event::RequestBlocked, detail);
        let matches = |request: &Request| {
            request.arrival.fingerprint == fingerprint
                || part_fingerprints(request).any(|part| part == fingerprint)
        };
        let ended =
            self.requests.iter().filter(|(_, request)| !request.has_begun() && matches(request));
        let ended: Vec<Key> = ended.map(|(key, _)| *key).collect();
        for key in ended {
            self.refuse_blocked(now, key);
        }
    }

    /// Refuses a blocked request, or gives it up if it may have run.
    pub(super) fn refuse_blocked(&mut self, now: Time, key: Key) {
        let Some(request) = self.requests.get(&key) else { return };
        let block = self.block_of(key).unwrap_or(request.arrival.fingerprint);
        let after = self.poison.block_remaining(now, block);
        let command = match request.possible_runs {
            0 => Command::Refuse(Code::RequestBlocked, after),
            _ => Command::GiveUp,
        };
        self.log_refused(now, key, Code::RequestBlocked, after);
        self.command(key, command);
        self.remove_request(now, key);
    }

    /// Whether a request is blocked, or a part of its prompt.
    pub(super) fn is_blocked(&self, key: Key) -> bool {
        self.block_of(key).is_some()
    }

    /// Returns the blocked fingerprint of a request: its own, or that of a part of its prompt.
    fn block_of(&self, key: Key) -> Option<Fingerprint> {
        if !self.poison.has_blocks() {
            return None;
        }
        let request = self.requests.get(&key)?;
        let mut fingerprints =
            std::iter::once(request.arrival.fingerprint).chain(part_fingerprints(request));
        fingerprints.find(|fingerprint| self.poison.is_blocked(*fingerprint))
    }

    /// Whether a request that was just lost may be the cause of crashes, including unconfirmed ones,
    /// or a part of its prompt.
    pub(super) fn may_crash_servers(&self, now: Time, key: Key) -> bool {
        let Some(request) = self.requests.get(&key) else { return false };
        let fingerprint = request.arrival.fingerprint;
        let possible = self.detector.possible_crashes(now, fingerprint);
        self.poison.reaches_block_threshold(fingerprint, possible) || self.has_suspect_part(request)
    }

    /// Whether a sent request has a part on which no answer has begun since an earlier crash.
    fn has_suspect_part(&self, request: &Request) -> bool {
        let Phase::Sent { sent_at, .. } = request.phase else { return false };
        self.poison.suspect_part_count() > 0
            && part_fingerprints(request)
                .any(|part| self.poison.is_part_suspected_since(part, sent_at))
    }

    /// Whether a server of a pool has crashed within the time in which interrupted callers return.
    pub(super) fn has_crashed_recently(&self, now: Time, pool: &str) -> bool {
        let from = now.saturating_sub(REFUSAL_LIFETIME);
        self.poison.has_crash_since(from, xxh3_64(pool.as_bytes()))
    }

    fn fingerprint(&self, key: Key) -> Option<Fingerprint> {
        Some(self.requests.get(&key)?.arrival.fingerprint)
    }

    /// Handles the answer to a request, which clears it of suspicion.
    pub(super) fn request_answered(&mut self, now: Time, key: Key) {
        let Some(fingerprint) = self.fingerprint(key) else { return };
        if let Some(blocked) = self.poison.clear_suspect(now, fingerprint) {
            let addresses = self.scheduler_addresses(now);
            self.send_poison_message(addresses, Message::Served(fingerprint));
            self.announce_blocks(now, blocked);
        }
    }

    /// Handles the begin of an answer, which clears the parts of its request's prompt of suspicion.
    pub(super) fn clear_parts(&mut self, now: Time, key: Key) {
        if self.poison.suspect_part_count() == 0 {
            return;
        }
        let Some(request) = self.requests.get(&key) else { return };
        let parts: Vec<Fingerprint> = part_fingerprints(request).collect();
        for part in parts {
            if self.poison.clear_part(part) {
                let addresses = self.successor_addresses(now);
                self.send_poison_message(addresses, Message::Served(part));
            }
        }
    }

    /// Whether a request waits for the outcome of a running copy of it, or of another request with a
    /// part that may crash servers.
    pub(super) fn waits_for_running_copy(&self, now: Time, request: &Request) -> bool {
        let fingerprint = request.arrival.fingerprint;
        self.poison.runs_one_at_a_time(fingerprint)
            && self.running_requests().any(|(other, _)| other == fingerprint)
            || self.waits_for_part(now, request)
    }

    fn waits_for_part(&self, now: Time, request: &Request) -> bool {
        if self.poison.suspect_part_count() == 0 {
            return false;
        }
        let serialized = part_fingerprints(request).filter(|p| self.poison.serializes_part(*p));
        let serialized: Vec<Fingerprint> = serialized.collect();
        if serialized.is_empty() {
            return false;
        }
        let runs = |other: &Request| matches!(other.phase, Phase::Sent { begun: false, .. });
        let mut running = self.requests.values().filter(|other| runs(other));
        let pause_start = now.saturating_sub(PART_RUN_PAUSE);
        serialized.iter().any(|part| self.poison.has_part_crashed_since(*part, pause_start))
            || serialized.iter().any(|part| self.detector.is_checking_part(*part))
            || running.any(|other| part_fingerprints(other).any(|p| serialized.contains(&p)))
    }

    /// Fingerprints of the running requests, with their servers.
    pub(super) fn running_requests(&self) -> impl Iterator<Item = (Fingerprint, server::Key)> {
        self.requests.values().filter_map(|request| match request.phase {
            Phase::Sent { server, .. } => Some((request.arrival.fingerprint, server)),
            Phase::Waiting(_) | Phase::LookingUp(_) | Phase::Submitted(_) | Phase::HandedOver => {
                None
            }
        })
    }

    /// Probes servers that may have crashed, writes blocks to the store, and removes expired state.
    pub(super) fn maintain_blocks(&mut self, now: Time) {
        for Probe { incarnation, address } in self.detector.due_probes(now) {
            self.effects.push(Effect::Probe(incarnation, address));
        }
        self.log_findings();
        if self.is_scheduler(now) {
            let delay = BLOCK_WRITE_STAGGER * self.rank_among_daemons();
            let due = self.poison.due_writes(now.saturating_sub(delay), BLOCK_REWRITE_INTERVAL);
            let due =
                due.into_iter().map(|block| Effect::WriteBlock(block.fingerprint, Some(block.age)));
            self.effects.extend(due);
        }
        if now < self.next_block_expiry {
            return;
        }
        self.next_block_expiry = now + EXPIRY_INTERVAL;
        self.refused_since.retain(|_, first| now < *first + VERIFICATION_TIMEOUT);
        for expired in self.poison.expire(now) {
            self.event(Event::BlockEnded, Detail::of("fingerprint", expired.to_string()));
            if self.is_scheduler(now) {
                self.effects.push(Effect::WriteBlock(expired, None));
            }
        }
    }

    /// Handles a block that was read from the platform's store.
    pub(super) fn block_stored(&mut self, now: Time, block: Blocked) {
        if self.poison.add_stored_block(now, block) {
            self.enforce_block(now, block.fingerprint);
        }
    }

    /// Handles the removal of a block from the platform's store.
    pub(super) fn block_removed(&mut self, now: Time, fingerprint: Fingerprint) {
        if self.poison.lift(now, fingerprint) {
            self.event(Event::BlockEnded, Detail::of("fingerprint", fingerprint.to_string()));
        }
    }

    /// Sends the known crashes to daemons that have become schedulers.
    pub(super) fn send_known_crashes(&mut self, now: Time, newcomers: Vec<SocketAddr>) {
        let strikes = self.poison.interruptions(now);
        if !strikes.is_empty() {
            self.send_poison_message(newcomers, Message::Interruptions(strikes));
        }
    }
}
