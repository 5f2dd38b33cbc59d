//! Servers whose connections broke: which of them have ended.
//!
//! A connection also breaks where a server fails a single request, drops it, or is cut off. Only the end of the
//! server is held against the requests that ran there, so it is looked at: a process that has ended refuses
//! connections, and one that lives on answers something that was sent to it later.

use std::net::SocketAddr;

use super::{Fingerprint, Strike, Victim};
use crate::prelude::*;

/// Time between the two looks that must find a server's port closed: one that only refuses what is more than it
/// takes answers others meanwhile.
const LOOK_AGAIN: Duration = Duration::from_millis(60);
/// Time from a break in which a server that ends stops to listen: an open port is looked at again until then. An end
/// would else count for nothing while the store, and so registrations, can't be read.
const CLOSES_WITHIN: Duration = Duration::from_millis(300);
/// Time in which answers arrive that a server gave before its connections broke.
const STRAGGLERS: Duration = Duration::from_millis(50);
/// Time for which a server is doubted: its registration ends within some heartbeats.
const DOUBTED_FOR: Duration = Duration::from_secs(10);

/// What a look at a server's port found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// Nobody listens.
    Refused,
    /// Somebody listens.
    Accepted,
    /// Nothing came back.
    Silent,
}

/// A look at a server's port that is to be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probe {
    /// The server.
    pub victim: Victim,
    /// Where it listened.
    pub address: SocketAddr,
}

/// What follows from news of a server.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Steps {
    /// Looks to take.
    pub probes: Vec<Probe>,
    /// Requests that were running where a server has ended.
    pub strikes: Vec<Strike>,
}

/// How far the doubt in a server goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// A look is under way; whether the one before it found its port closed.
    Looking { found_closed: bool },
    /// The next look is due at this time.
    Due { at: Time, found_closed: bool },
    /// Somebody listens there on and on, or nothing came back: its registration will tell.
    Unsure,
    /// It has ended.
    Ended,
}

/// A request whose connection to a server broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lost {
    /// The request.
    pub fingerprint: Fingerprint,
    /// For how long it had been there.
    pub ran: Duration,
}

/// A server to which connections broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspect {
    /// The server.
    pub victim: Victim,
    /// Where it listened.
    pub address: SocketAddr,
    /// Hash of its pool.
    pub pool: u64,
    /// Servers of that pool.
    pub servers: u32,
}

#[derive(Debug)]
struct Doubt {
    server: Suspect,
    since: Time,
    stage: Stage,
    requests: BTreeMap<Fingerprint, Duration>,
}

impl Doubt {
    fn strike(&self, now: Time, fingerprint: Fingerprint, ran: Duration) -> Strike {
        let Suspect { victim, pool, servers, .. } = self.server;
        let age = now.saturating_sub(self.since);
        Strike { fingerprint, victim, pool, servers, ran, age }
    }
}

/// Servers that may have ended.
#[derive(Debug, Default)]
pub struct Watch {
    doubts: BTreeMap<Victim, Doubt>,
}

impl Watch {
    /// Takes over that the connection broke on which a request ran at a server.
    pub fn lost(&mut self, now: Time, server: Suspect, lost: Lost) -> Steps {
        let Suspect { victim, address, .. } = server;
        let Lost { fingerprint, ran } = lost;
        let same = |doubt: &&mut Doubt| {
            doubt.stage != Stage::Ended || victim.is_same_end(doubt.since, now)
        };
        if let Some(doubt) = self.doubts.get_mut(&victim).filter(same) {
            doubt.requests.insert(fingerprint, ran);
            if doubt.stage != Stage::Ended {
                return Steps::default();
            }
            let strikes = vec![doubt.strike(now, fingerprint, ran)];
            return Steps { strikes, ..Steps::default() };
        }
        let stage = Stage::Looking { found_closed: false };
        let requests = BTreeMap::from([(fingerprint, ran)]);
        self.doubts.insert(victim, Doubt { server, since: now, stage, requests });
        Steps { probes: vec![Probe { victim, address }], ..Steps::default() }
    }

    /// Takes over what a look found.
    pub fn answered(&mut self, now: Time, victim: Victim, answer: Answer) -> Steps {
        let Some(doubt) = self.doubts.get_mut(&victim) else { return Steps::default() };
        let Stage::Looking { found_closed } = doubt.stage else { return Steps::default() };
        match answer {
            Answer::Refused if found_closed => return self.ended(now, victim),
            Answer::Refused | Answer::Accepted => {
                let found_closed = answer == Answer::Refused;
                doubt.stage = Stage::Due { at: now + LOOK_AGAIN, found_closed };
            }
            Answer::Silent => doubt.stage = Stage::Unsure,
        }
        Steps::default()
    }

    /// Takes over that a server has ended, as its registration or its next start tells.
    pub fn ended(&mut self, now: Time, victim: Victim) -> Steps {
        let Some(doubt) = self.doubts.get_mut(&victim) else { return Steps::default() };
        if doubt.stage == Stage::Ended || now >= doubt.since + DOUBTED_FOR {
            return Steps::default();
        }
        doubt.stage = Stage::Ended;
        let requests = doubt.requests.iter();
        let strikes = requests.map(|(fingerprint, ran)| doubt.strike(now, *fingerprint, *ran));
        Steps { strikes: strikes.collect(), ..Steps::default() }
    }

    /// Takes over that a server answered: it lives on, unless the answer had been on its way.
    pub fn heard(&mut self, now: Time, victim: Victim) {
        let lives = |doubt: &Doubt| doubt.stage != Stage::Ended && now > doubt.since + STRAGGLERS;
        if self.doubts.get(&victim).is_some_and(lives) {
            self.doubts.remove(&victim);
        }
    }

    /// The looks that are due. An open port is looked at no more once a server that ends would have closed it.
    pub fn due(&mut self, now: Time) -> Vec<Probe> {
        self.doubts.retain(|_, doubt| now < doubt.since + DOUBTED_FOR);
        let mut probes = Vec::new();
        for (victim, doubt) in &mut self.doubts {
            let Stage::Due { at, found_closed } = doubt.stage else { continue };
            if !found_closed && now >= doubt.since + CLOSES_WITHIN {
                doubt.stage = Stage::Unsure;
            } else if now >= at {
                doubt.stage = Stage::Looking { found_closed };
                probes.push(Probe { victim: *victim, address: doubt.server.address });
            }
        }
        probes
    }

    /// Whether no server was in doubt lately.
    pub fn is_idle(&self) -> bool {
        self.doubts.is_empty()
    }

    /// Whether a look is due soon.
    pub fn is_pressed(&self) -> bool {
        self.doubts.values().any(|doubt| matches!(doubt.stage, Stage::Due { .. }))
    }

    /// Servers in doubt at which a request broke.
    pub fn doubted(&self, now: Time, fingerprint: Fingerprint) -> usize {
        let doubts = self.doubts.values().filter(|doubt| {
            doubt.stage != Stage::Ended
                && now < doubt.since + DOUBTED_FOR
                && doubt.requests.contains_key(&fingerprint)
        });
        doubts.count()
    }
}
