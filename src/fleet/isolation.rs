//! Runs requests that may crash servers alone at a server.
//!
//! A crash interrupts all requests that run at the server, and each of them may be its cause. A
//! request that was present at several crashes therefore runs next at a server without others: it
//! is answered, or the crash interrupts no other request and has no other possible cause. Only
//! the strongest suspect of a pool runs so, which bounds the servers that crash together and the
//! room that is kept free.
//!
//! The daemon that places the requests of a pool decides on this. A daemon that places a request
//! without a scheduler knows no suspects and isolates none.

use super::request::{Phase, Request};
use super::{Key, Node, Server, server};
use crate::poison::Fingerprint;
use crate::prelude::*;

/// Time for which a server is kept free after its suspect was last tried.
const RESERVATION_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a suspect runs alone beyond its longest run before a crash.
const RUN_MARGIN: Duration = Duration::from_millis(200);
/// Maximum wait for a server without requests: the remaining time of the suspect divided by this.
const MAX_WAIT_DIVISOR: u32 = 2;

/// Progress of the isolated run of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The suspect waits for the next server without requests.
    Waiting(Fingerprint),
    /// The server receives no requests until its running ones have ended.
    Draining(server::Key, Fingerprint),
    /// The suspect runs alone at the server.
    Running(server::Key, Fingerprint),
}

impl Stage {
    fn suspect(self) -> Fingerprint {
        match self {
            Self::Waiting(suspect) | Self::Draining(_, suspect) | Self::Running(_, suspect) => {
                suspect
            }
        }
    }
}

/// The isolated run of a pool.
#[derive(Debug, Clone, Copy)]
struct Run {
    stage: Stage,
    until: Time,
}

/// The isolated runs, by pool.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    runs: BTreeMap<String, Run>,
}

impl Isolation {
    fn stage(&self, now: Time, pool: &str) -> Option<Stage> {
        let run = self.runs.get(pool).filter(|run| now < run.until)?;
        Some(run.stage)
    }

    /// Whether a suspect runs alone at a server.
    pub(super) fn is_alone(
        &self,
        now: Time,
        pool: &str,
        server: server::Key,
        fingerprint: Fingerprint,
    ) -> bool {
        self.stage(now, pool) == Some(Stage::Running(server, fingerprint))
    }

    /// Ends the run of a suspect at a server.
    pub(super) fn end(&mut self, pool: &str, server: server::Key, fingerprint: Fingerprint) {
        if self.runs.get(pool).is_some_and(|run| run.stage == Stage::Running(server, fingerprint)) {
            self.runs.remove(pool);
        }
    }
}

impl Node {
    /// Removes the servers that a request may not use because of an isolated run.
    pub(super) fn retain_for_isolation(
        &self,
        now: Time,
        request: &Request,
        usable: &mut Vec<(server::Key, &Server)>,
    ) {
        let fingerprint = request.arrival.fingerprint;
        let is_empty = |key: server::Key, server: &Server| self.load(key, server).running == 0;
        let runs_alone = self.is_to_isolate(now, request);
        let Some(stage) = self.isolation_stage(now, &request.pool) else {
            if runs_alone {
                usable.retain(|(key, server)| is_empty(*key, server));
            }
            return;
        };
        let first_empty =
            usable.iter().find(|(key, server)| is_empty(*key, server)).map(|(key, _)| *key);
        match stage {
            Stage::Running(_, other) if other == fingerprint => usable.clear(),
            _ if runs_alone => usable.retain(|(key, server)| is_empty(*key, server)),
            Stage::Running(kept, _) => usable.retain(|(key, _)| *key != kept),
            Stage::Waiting(_) => usable.retain(|(key, _)| Some(*key) != first_empty),
            Stage::Draining(kept, _) => {
                let kept = first_empty.unwrap_or(kept);
                usable.retain(|(key, _)| *key != kept);
            }
        }
    }

    /// Returns the stage of a pool's isolated run. No server is kept free for a suspect that was
    /// cleared or blocked since.
    fn isolation_stage(&self, now: Time, pool: &str) -> Option<Stage> {
        let is_current = |stage: &Stage| match stage {
            Stage::Running(..) => true,
            Stage::Waiting(suspect) | Stage::Draining(_, suspect) => {
                self.poison.runs_alone(*suspect)
            }
        };
        self.isolation.stage(now, pool).filter(is_current)
    }

    /// Whether a request must run alone now. While the strongest suspect of its pool does so or
    /// waits for that, weaker ones run as usual. So does a suspect that has waited while no server
    /// became free and none could be emptied.
    fn is_to_isolate(&self, now: Time, request: &Request) -> bool {
        let fingerprint = request.arrival.fingerprint;
        if !self.poison.runs_alone(fingerprint) {
            return false;
        }
        let Some(stage) = self.isolation_stage(now, &request.pool) else { return true };
        let other = stage.suspect();
        let is_strongest =
            other == fingerprint || self.poison.is_stronger_suspect(fingerprint, other);
        let waits_in_vain =
            matches!(stage, Stage::Waiting(_)) && has_waited_for_isolation(now, request);
        is_strongest && !waits_in_vain
    }

    /// Whether an open request must run alone.
    pub(super) fn claims_isolation(&self, now: Time, key: Key) -> bool {
        self.requests.get(&key).is_some_and(|request| self.is_to_isolate(now, request))
    }

    /// Keeps a server free for a request that must run alone and could not be placed.
    pub(super) fn reserve_if_suspect(&mut self, now: Time, key: Key) {
        if !self.claims_isolation(now, key) {
            return;
        }
        let Some(request) = self.requests.get(&key) else { return };
        let (pool, fingerprint) = (request.pool.clone(), request.arrival.fingerprint);
        let is_available = |key: server::Key| {
            self.servers.get(key).is_some_and(|server| self.accepts_work(now, key, server))
        };
        let kept = match self.isolation_stage(now, &pool) {
            Some(Stage::Running(_, other)) if other == fingerprint => return,
            Some(Stage::Draining(kept, _)) if is_available(kept) => Some(kept),
            _ => self.server_to_drain(now, request),
        };
        let stage = match kept {
            Some(kept) => Stage::Draining(kept, fingerprint),
            None => Stage::Waiting(fingerprint),
        };
        self.isolation.runs.insert(pool, Run { stage, until: now + RESERVATION_PERIOD });
    }

    /// Returns the server with the fewest running requests, if the others have room for one more
    /// server to crash.
    fn server_to_drain(&self, now: Time, request: &Request) -> Option<server::Key> {
        let keys = self.pools.get(&request.pool)?.keys();
        let servers = keys.iter().filter_map(|key| Some((*key, self.servers.get(*key)?)));
        let goes_on = |server: &Server| request.software.is_none_or(|s| s == server.software);
        let servers = servers.filter(|(_, server)| goes_on(server));
        let available = servers.filter(|(key, server)| self.accepts_work(now, *key, server));
        let mut available: Vec<(u32, u32, server::Key)> = available
            .map(|(key, server)| (self.load(key, server).running, self.slots(server), key))
            .collect();
        available.sort_unstable();
        let (least, others) = available.split_first()?;
        let free = others.iter().map(|(running, slots, _)| slots.saturating_sub(*running));
        let (_, slots, key) = *least;
        (free.fold(0, u32::saturating_add) >= slots).then_some(key)
    }

    /// Records that a request is sent to a server, where it runs alone if it must.
    pub(super) fn begin_isolated_run(&mut self, now: Time, key: Key, server: server::Key) {
        let Some(request) = self.requests.get(&key) else { return };
        let (pool, fingerprint) = (request.pool.clone(), request.arrival.fingerprint);
        let is_empty = self.servers.get(server).is_some_and(|s| self.load(server, s).running == 0);
        if is_empty && self.is_to_isolate(now, request) {
            let until = now + self.poison.longest_run(fingerprint) + RUN_MARGIN;
            self.isolation
                .runs
                .insert(pool, Run { stage: Stage::Running(server, fingerprint), until });
        }
    }
}

/// Whether a suspect has waited to run alone for as long as it may.
pub(super) fn has_waited_for_isolation(now: Time, request: &Request) -> bool {
    let Phase::Waiting(since) = request.phase else { return false };
    now >= since + request.arrival.deadline.saturating_sub(since) / MAX_WAIT_DIVISOR
}
