//! Releases and registrations of servers, and the reads of the store.

use super::{DRAIN, Day, Engine};
use crate::fleet::*;
use crate::prelude::*;

impl Day {
    /// Whether a server has this version and is not about to stop.
    pub(super) fn serves(&self, version: &str) -> bool {
        let mut engines = self.engines.values();
        engines.any(|engine| engine.version == version && engine.stops_at.is_none())
    }

    pub(super) fn versions(&self) -> BTreeSet<&str> {
        self.engines.values().map(|engine| engine.version.as_str()).collect()
    }

    /// Replaces a server of an older version by one of the newest; begins another release if there is none.
    pub(super) fn replace_server(&mut self) -> bool {
        let newest = format!("v{}", self.release);
        let older = self
            .engines
            .iter()
            .find(|(_, engine)| engine.version != newest && engine.stops_at.is_none());
        let older = older.map(|(id, engine)| (id.clone(), engine.version.clone()));
        // Some releases stop halfway.
        let Some((id, version)) = older.filter(|_| self.rng.f64() > 0.05) else {
            self.release += 1;
            return false;
        };
        self.start_engine(&newest);
        let number: u8 = id[1..].parse().expect("the id is a number");
        self.register(engine(number, &version, "draining"));
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.stops_at = Some(self.site.now + DRAIN);
        }
        true
    }

    pub(super) fn start_engine(&mut self, version: &str) {
        let number = self.next_engine;
        self.next_engine = (self.next_engine + 1) % 200;
        let entry = engine(number, version, "ready");
        self.engines.insert(entry.0.clone(), Engine { version: version.into(), stops_at: None });
        self.register(entry);
    }

    pub(super) fn register(&mut self, (key, value): (String, String)) {
        let offset = self.log.len() as u64;
        let value = (!value.is_empty()).then(|| value.into_bytes());
        self.log.push(Record { key, offset, value });
    }

    pub(super) fn stop_servers(&mut self) {
        let now = self.site.now;
        let stopped =
            self.engines.iter().filter(|(_, engine)| engine.stops_at.is_some_and(|at| now >= at));
        let stopped: Vec<String> = stopped.map(|(id, _)| id.clone()).collect();
        for id in stopped {
            self.end_engine(&id);
        }
    }

    /// A server ends; its connections break.
    pub(super) fn end_engine(&mut self, id: &str) {
        self.engines.remove(id);
        self.register((id.to_owned(), String::new()));
        let broken = self.calls.iter().filter_map(|(at, call)| {
            let run = call.run.as_ref().filter(|run| run.server == id)?;
            Some((*at, run.number))
        });
        let broken: Vec<((usize, Key), u32)> = broken.collect();
        for ((daemon, key), number) in broken {
            if let Some(call) = self.calls.get_mut(&(daemon, key)) {
                call.run = None;
            }
            self.site.report(daemon, key, number, Report::Lost(Loss::Connection));
        }
    }

    /// Daemons read the store, each some time after a change.
    pub(super) fn read_store(&mut self) {
        let end = self.log.len() as u64;
        for daemon in 0..self.site.daemons.len() {
            let is_partitioned = self.partitioned.contains(&daemon);
            if !self.is_up(daemon) || is_partitioned || self.rng.f64() > 0.2 {
                continue;
            }
            let from = self.read[daemon];
            let records = self.log[from as usize..].to_vec();
            self.read[daemon] = end;
            let batch = Batch { topic: Topic::Servers, from, to: end, records };
            let current_at = self.site.clock(daemon);
            self.site.apply(daemon, Message::Read(Read { batch, is_snapshot: false, current_at }));
        }
    }
}

/// Returns the registration of a server.
pub(super) fn engine(number: u8, version: &str, state: &str) -> (String, String) {
    (format!("e{number}"), format!("engine {} {state} 1 software:{version}", number + 20))
}
