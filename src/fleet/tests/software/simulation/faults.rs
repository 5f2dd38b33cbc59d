//! Faults of daemons, connections and servers.

use super::{Day, Fault, RESTART, STEP};
use crate::fleet::tests::world::*;
use crate::fleet::*;
use crate::prelude::*;

impl Day {
    pub(super) fn strike(&mut self, fault: Fault) {
        let count = self.site.daemons.len();
        let mut daemons: Vec<usize> = (0..count).filter(|daemon| self.is_up(*daemon)).collect();
        self.rng.shuffle(&mut daemons);
        let now = self.site.now;
        match fault {
            Fault::Kill => self.kill(&daemons[..daemons.len().min(count * 2 / 5)]),
            Fault::KillAll => self.kill(&daemons),
            Fault::Stop => {
                for daemon in daemons.iter().take(count * 2 / 5) {
                    self.site.apply(*daemon, Message::Stop);
                    self.site.advance(STEP);
                    self.kill(&[*daemon]);
                }
            }
            Fault::Freeze => {
                for daemon in daemons.iter().take(2) {
                    self.take_down(*daemon, now + ms(4_000), true);
                }
            }
            Fault::Partition if self.partitioned.is_empty() => {
                self.partition(daemons.iter().copied().take(3).collect(), ms(6_000));
            }
            Fault::BriefPartition if self.partitioned.is_empty() => {
                let size = self.rng.usize(1..count);
                let span = ms(self.rng.u64(200..4_000));
                self.partition(daemons.iter().copied().take(size).collect(), span);
            }
            Fault::Partition | Fault::BriefPartition => {}
            Fault::Pause => {
                for daemon in daemons.iter().take(self.rng.usize(1..3)) {
                    let span = ms(self.rng.u64(100..1_000));
                    self.take_down(*daemon, now + span, true);
                }
            }
            Fault::Reset => {
                let open: Vec<(usize, Key)> = self.calls.keys().copied().collect();
                for (daemon, key) in open {
                    if self.rng.bool() {
                        self.site.apply(daemon, Message::Cancel(key));
                        self.break_call(daemon, key);
                    }
                }
            }
            Fault::Crash => {
                let mut ids: Vec<String> = self.engines.keys().cloned().collect();
                self.rng.shuffle(&mut ids);
                for id in ids.iter().take(self.engines.len() / 4) {
                    let version = self.engines[id].version.clone();
                    self.end_engine(id);
                    self.start_engine(&version);
                }
            }
        }
    }

    /// Cuts a group of daemons off from the others and from the store.
    fn partition(&mut self, group: BTreeSet<usize>, span: Duration) {
        let count = self.site.daemons.len();
        self.heals_at = self.site.now + span;
        for one in 0..count {
            for other in 0..count {
                if group.contains(&one) != group.contains(&other) {
                    self.site.cut_links.insert((one, other));
                }
            }
        }
        self.partitioned = group;
    }

    pub(super) fn kill(&mut self, daemons: &[usize]) {
        let until = self.site.now + RESTART;
        for daemon in daemons {
            self.take_down(*daemon, until, false);
        }
    }

    /// A daemon is down, and its callers' connections break.
    pub(super) fn take_down(&mut self, daemon: usize, until: Time, is_frozen: bool) {
        self.site.down.insert(daemon);
        self.back_at.insert(daemon, (until, is_frozen));
        self.disturbed_at[daemon] = until;
        let open = self.calls.keys().copied().filter(|(at, _)| *at == daemon);
        let open: Vec<(usize, Key)> = open.collect();
        for (daemon, key) in open {
            self.break_call(daemon, key);
        }
    }

    pub(super) fn return_daemons(&mut self) {
        let now = self.site.now;
        for daemon in &self.partitioned {
            self.disturbed_at[*daemon] = now;
        }
        if !self.partitioned.is_empty() && now >= self.heals_at {
            self.partitioned.clear();
            self.site.cut_links.clear();
        }
        let back = self.back_at.iter().filter(|(_, (at, _))| now >= *at);
        let back: Vec<(usize, bool)> =
            back.map(|(daemon, (_, frozen))| (*daemon, *frozen)).collect();
        for (daemon, was_frozen) in back {
            self.back_at.remove(&daemon);
            self.site.down.remove(&daemon);
            self.disturbed_at[daemon] = now;
            if !was_frozen {
                self.restart(daemon);
            }
        }
    }

    /// A daemon starts with what the store has, if it reaches it.
    pub(super) fn restart(&mut self, daemon: usize) {
        self.site.restart(daemon, &[]);
        let mut newest: BTreeMap<&str, &Record> = BTreeMap::new();
        for record in &self.log {
            newest.insert(&record.key, record);
        }
        let records: Vec<Record> =
            newest.into_values().filter(|record| record.value.is_some()).cloned().collect();
        let end = self.log.len() as u64;
        self.read[daemon] = end;
        let batch = Batch { topic: Topic::Servers, from: 0, to: end, records };
        let read = Read { batch, is_snapshot: true, current_at: Time::ZERO };
        self.site.apply(daemon, Message::Read(read));
    }
}
