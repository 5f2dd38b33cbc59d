//! Requests that end servers: ends are noticed where requests are placed, counted by the schedulers, and what
//! is blocked for it is refused by every daemon.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use super::request::{Phase, Request};
use super::{Command, Effect, Frame, Key, Node, Server, server};
use crate::poison::{
    Answer, Blocked, Disconnect, Endpoint, Fingerprint, Incarnation, Interruption, Message, Probe,
    Steps,
};
use crate::prelude::*;

/// Time from a write of a block to the platform's store to the next, where it is not seen there.
const WRITE_AGAIN: Duration = Duration::from_secs(2);
/// Time by which each scheduler waits longer than the one before it until it writes a block.
const WRITE_IN_TURN: Duration = Duration::from_millis(700);
/// Peers that are told of ends where no scheduler is heard of.
const TOLD_PEERS: usize = 8;
/// Time between two looks for what is too old.
const LOOK: Duration = Duration::from_secs(10);

impl Server {
    /// Its present life, as all daemons name it.
    fn victim(&self) -> Incarnation {
        let life = &self.entry.incarnation;
        Incarnation::of(&life.id, Some(&life.started_ms.to_string()))
    }
}

impl Node {
    /// Takes over that the connection broke on which a request ran. A server that leaves ends by plan.
    pub(super) fn connection_lost(&mut self, now: Time, key: Key, server: server::Key, ran: Time) {
        let Some(fingerprint) = self.fingerprint(key) else { return };
        let Some(server) = self.servers.get(server) else { return };
        if server.entry.draining {
            return;
        }
        let pool = server.entry.pool.as_str();
        let suspect = Endpoint {
            incarnation: server.victim(),
            address: server.entry.address,
            pool: xxh3_64(pool.as_bytes()),
            servers: self.pools.get(pool).map_or(0, |keys| keys.len() as u32),
        };
        let steps = self.crash_watch.record_disconnect(
            now,
            suspect,
            Disconnect { fingerprint, run_time: ran },
        );
        self.take_steps(now, steps);
    }

    /// Takes over what a look at a server's port found.
    pub(super) fn probed(&mut self, now: Time, victim: Incarnation, answer: Answer) {
        let steps = self.crash_watch.record_probe(now, victim, answer);
        self.take_steps(now, steps);
    }

    /// Takes over that a server's registration is gone, or that it has started again.
    pub(super) fn registration_ended(&mut self, now: Time, server: &Server) {
        if !server.entry.draining {
            let steps = self.crash_watch.record_crash(now, server.victim());
            self.take_steps(now, steps);
        }
    }

    /// Takes over that a server answered.
    pub(super) fn lives(&mut self, now: Time, server: server::Key) {
        if let Some(server) = self.servers.get(server).filter(|_| !self.crash_watch.is_idle()) {
            self.crash_watch.record_response(now, server.victim());
        }
    }

    fn take_steps(&mut self, now: Time, steps: Steps) {
        for Probe { incarnation: victim, address } in steps.probes {
            self.effects.push(Effect::Probe(victim, address));
        }
        if steps.interruptions.is_empty() {
            return;
        }
        let present = steps.interruptions.iter().map(|strike| strike.fingerprint.to_string());
        let detail = Detail::of("server", self.server_of(steps.interruptions[0].incarnation))
            .and("requests", steps.interruptions.len())
            .and("fingerprints", present.collect::<Vec<String>>().join(" "));
        self.event(Event::ServerEnded, detail);
        let mut addresses = self.scheduler_addresses(now);
        if addresses.is_empty() {
            addresses = self.fresh_peer_addresses(now);
            self.rng.shuffle(&mut addresses);
            addresses.truncate(TOLD_PEERS);
        }
        self.tell_of_poison(addresses, Message::Interruptions(steps.interruptions.clone()));
        self.strike(now, steps.interruptions);
    }

    fn server_of(&self, victim: Incarnation) -> String {
        let known = self.servers.values().find(|server| server.victim() == victim);
        known.map_or_else(String::new, |server| server.entry.incarnation.id.clone())
    }

    fn tell_of_poison(&mut self, addresses: Vec<SocketAddr>, message: Message) {
        if !addresses.is_empty() {
            self.effects.push(Effect::Send(addresses, Frame::Poison(message)));
        }
    }

    /// Takes over a peer's word.
    pub(super) fn poison_came(&mut self, now: Time, message: Message) {
        match message {
            Message::Interruptions(strikes) => self.strike(now, strikes),
            Message::Served(fingerprint) => {
                let blocked = self.poison.clear_suspect(now, fingerprint);
                self.announce(now, blocked.unwrap_or_default());
            }
            Message::Blocked(blocked) => self.hear_blocked(now, &blocked),
        }
    }

    fn strike(&mut self, now: Time, strikes: Vec<Interruption>) {
        let struck = |strike: &Interruption| self.poison.record_interruption(now, *strike);
        let blocked: Vec<Interruption> = strikes.into_iter().filter(struck).collect();
        self.announce(now, blocked.into_iter().map(|strike| strike.fingerprint).collect());
    }

    /// Tells all peers what is blocked from now on, and refuses it.
    fn announce(&mut self, now: Time, blocked: Vec<Fingerprint>) {
        if blocked.is_empty() {
            return;
        }
        let addresses = self.fresh_peer_addresses(now);
        let new = blocked.iter();
        let new = new.map(|block| Blocked { fingerprint: *block, age: Duration::ZERO }).collect();
        self.tell_of_poison(addresses, Message::Blocked(new));
        for fingerprint in blocked {
            self.blocked(now, fingerprint);
        }
    }

    /// Takes over what peers say is blocked.
    pub(super) fn hear_blocked(&mut self, now: Time, blocked: &[Blocked]) {
        for told in blocked {
            if self.poison.merge_block(now, *told) {
                self.blocked(now, told.fingerprint);
            }
        }
    }

    /// Ends the requests that have just been blocked, but for those whose answer has begun.
    fn blocked(&mut self, now: Time, fingerprint: Fingerprint) {
        let detail = self.poison.detail(now, fingerprint);
        self.event(Event::RequestBlocked, detail);
        let ended = self.requests.iter().filter(|(_, request)| {
            request.arrival.fingerprint == fingerprint && !request.has_begun()
        });
        let ended: Vec<Key> = ended.map(|(key, _)| *key).collect();
        for key in ended {
            self.refuse_blocked(now, key);
        }
    }

    /// Refuses a request that is blocked, or gives it up where it may have run.
    pub(super) fn refuse_blocked(&mut self, now: Time, key: Key) {
        let Some(request) = self.requests.get(&key) else { return };
        let after = self.poison.block_remaining(now, request.arrival.fingerprint);
        let command = match request.possible_runs {
            0 => Command::Refuse(Code::RequestBlocked, after),
            _ => Command::GiveUp,
        };
        self.log_refused(now, key, Code::RequestBlocked, after);
        self.command(key, command);
        self.forget(now, key);
    }

    /// Whether a request is blocked.
    pub(super) fn is_blocked(&self, key: Key) -> bool {
        self.fingerprint(key).is_some_and(|fingerprint| self.poison.is_blocked(fingerprint))
    }

    /// Whether a request that has just been lost may be what ends servers, with what is not yet sure.
    pub(super) fn may_end_servers(&self, now: Time, key: Key) -> bool {
        let Some(fingerprint) = self.fingerprint(key) else { return false };
        self.poison.reaches_block_threshold(
            fingerprint,
            self.crash_watch.possible_crashes(now, fingerprint),
        )
    }

    fn fingerprint(&self, key: Key) -> Option<Fingerprint> {
        Some(self.requests.get(&key)?.arrival.fingerprint)
    }

    /// Takes over that a request was answered.
    pub(super) fn was_served(&mut self, now: Time, key: Key) {
        let Some(fingerprint) = self.fingerprint(key) else { return };
        if let Some(blocked) = self.poison.clear_suspect(now, fingerprint) {
            let addresses = self.scheduler_addresses(now);
            self.tell_of_poison(addresses, Message::Served(fingerprint));
            self.announce(now, blocked);
        }
    }

    /// Whether a request waits for what a copy of it that runs shows.
    pub(super) fn waits_for_its_copy(&self, request: &Request) -> bool {
        let fingerprint = request.arrival.fingerprint;
        self.poison.runs_one_at_a_time(fingerprint)
            && self.running().any(|(other, _)| other == fingerprint)
    }

    /// What runs, and where.
    pub(super) fn running(&self) -> impl Iterator<Item = (Fingerprint, server::Key)> {
        self.requests.values().filter_map(|request| match request.phase {
            Phase::Sent { server, .. } => Some((request.arrival.fingerprint, server)),
            Phase::Waiting(_) | Phase::Submitted(_) => None,
        })
    }

    /// Looks at servers in doubt, has blocks written, and forgets what is too old.
    pub(super) fn look_at_poison(&mut self, now: Time) {
        for Probe { incarnation: victim, address } in self.crash_watch.due_probes(now) {
            self.effects.push(Effect::Probe(victim, address));
        }
        if self.is_scheduler(now) {
            let turn = WRITE_IN_TURN * self.rank_among_daemons();
            let due = self.poison.due_writes(now.saturating_sub(turn), WRITE_AGAIN);
            let due =
                due.into_iter().map(|block| Effect::WriteBlock(block.fingerprint, Some(block.age)));
            self.effects.extend(due);
        }
        if now < self.next_block_expiry {
            return;
        }
        self.next_block_expiry = now + LOOK;
        for lapsed in self.poison.expire(now) {
            self.event(Event::BlockEnded, Detail::of("fingerprint", lapsed.to_string()));
            if self.is_scheduler(now) {
                self.effects.push(Effect::WriteBlock(lapsed, None));
            }
        }
    }

    /// Takes over that the platform's store keeps a block.
    pub(super) fn block_kept(&mut self, now: Time, told: Blocked) {
        if self.poison.add_stored_block(now, told) {
            self.blocked(now, told.fingerprint);
        }
    }

    /// Takes over that a block is gone from the platform's store.
    pub(super) fn block_gone(&mut self, now: Time, fingerprint: Fingerprint) {
        if self.poison.lift(now, fingerprint) {
            self.event(Event::BlockEnded, Detail::of("fingerprint", fingerprint.to_string()));
        }
    }

    /// Gives daemons that have come to schedule what is known of ends so far.
    pub(super) fn hand_strikes(&mut self, now: Time, newcomers: Vec<SocketAddr>) {
        let strikes = self.poison.interruptions(now);
        if !strikes.is_empty() {
            self.tell_of_poison(newcomers, Message::Interruptions(strikes));
        }
    }
}
