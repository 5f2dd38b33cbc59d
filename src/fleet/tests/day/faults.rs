//! Faults of daemons, their connections, and servers.

use super::{Day, Health, registration, server_id};
use crate::fleet::tests::site::Cut;
use crate::fleet::tests::world::*;
use crate::fleet::*;
use crate::prelude::*;

/// A fault of the days played.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The scheduler of the pool is killed and starts again.
    KillScheduler,
    /// A tenth of the daemons is killed and starts again.
    Kill,
    /// All daemons are killed at once and start again.
    KillAll,
    /// Some daemons stand still for some seconds.
    Freeze,
    /// The scheduler of the pool stands still for some seconds.
    FreezeScheduler,
    /// A third of the daemons exchanges no frames with the others.
    Partition,
    /// No daemon exchanges frames with another.
    Isolation,
    /// Some daemons reach no server.
    CutServers,
    /// Half to nine tenths of the servers fail, drop or reject requests.
    FailServers,
    /// A fifth of the servers ends; others start at the same addresses.
    ReplaceServers,
    /// All servers are sound again.
    Recover,
}

impl Fault {
    pub const ALL: [Self; 11] = [
        Self::KillScheduler,
        Self::Kill,
        Self::KillAll,
        Self::Freeze,
        Self::FreezeScheduler,
        Self::Partition,
        Self::Isolation,
        Self::CutServers,
        Self::FailServers,
        Self::ReplaceServers,
        Self::Recover,
    ];

    /// The faults of daemons and their connections.
    pub const OF_DAEMONS: [Self; 8] = [
        Self::KillScheduler,
        Self::Kill,
        Self::KillAll,
        Self::Freeze,
        Self::FreezeScheduler,
        Self::Partition,
        Self::Isolation,
        Self::CutServers,
    ];
}

impl Day {
    pub(super) fn strike(&mut self, fault: Fault) {
        let count = self.site.daemons.len();
        let mut daemons: Vec<usize> = (0..count).filter(|daemon| self.is_up(*daemon)).collect();
        self.rng.shuffle(&mut daemons);
        let now = self.site.now;
        let freeze = now + ms(self.rng.u64(1_000..4_000));
        match fault {
            Fault::KillScheduler => self.kill_scheduler(),
            Fault::Kill => self.kill(&daemons[..daemons.len().div_ceil(10).min(daemons.len())]),
            Fault::KillAll => self.kill(&daemons),
            Fault::Freeze => {
                for daemon in daemons.iter().take(count / 10) {
                    self.take_down(*daemon, freeze, true);
                }
            }
            Fault::FreezeScheduler => {
                if let Some(scheduler) = self.scheduler() {
                    self.take_down(scheduler, freeze, true);
                }
            }
            Fault::Partition => self.cut_links(|one, other| (one % 3 == 0) != (other % 3 == 0)),
            Fault::Isolation => self.cut_links(|_, _| true),
            Fault::CutServers => {
                self.heals_at = now + ms(5_000);
                for daemon in daemons.iter().take(count / 6) {
                    self.site.cuts.insert(*daemon, Cut::Reset);
                    self.limits.excuse(*daemon, self.heals_at);
                    self.notices.excuse_rest(*daemon);
                }
            }
            Fault::FailServers => {
                let share = 0.5 + 0.4 * self.rng.f64();
                self.fail_servers(share);
            }
            Fault::ReplaceServers => self.replace_servers(),
            Fault::Recover => {
                for backend in &mut self.backends {
                    backend.health = Health::Sound;
                }
            }
        }
    }

    fn cut_links(&mut self, is_cut: impl Fn(usize, usize) -> bool) {
        let count = self.site.daemons.len();
        let links = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
        self.site.cut_links = links.filter(|(from, to)| is_cut(*from, *to)).collect();
        self.heals_at = self.site.now + ms(self.rng.u64(2_000..6_000));
        let cut: BTreeSet<usize> = self.site.cut_links.iter().map(|(from, _)| *from).collect();
        for daemon in cut {
            self.limits.excuse(daemon, self.heals_at);
            self.notices.excuse_rest(daemon);
        }
    }

    /// A share of the servers fails, drops or rejects requests.
    pub fn fail_servers(&mut self, share: f64) {
        let kinds = [Health::Failing, Health::Dropping, Health::Full];
        for backend in &mut self.backends {
            if self.rng.f64() < share {
                backend.health = kinds[self.rng.usize(..kinds.len())];
            }
        }
    }

    fn replace_servers(&mut self) {
        for number in 0..self.backends.len() {
            if self.rng.f64() >= 0.2 {
                continue;
            }
            let former = server_id(number, self.backends[number].incarnation);
            self.backends[number].incarnation += 1;
            self.backends[number].health = Health::Sound;
            self.backends[number].is_leaving = false;
            self.backends[number].rest = None;
            let (id, value) = registration(&self.setup, number, self.backends[number].incarnation);
            self.register(id, Some(value));
            // Some registrations of ended servers stay for a while.
            if self.rng.bool() {
                self.register(former, None);
            }
        }
    }

    fn register(&mut self, key: String, value: Option<String>) {
        let offset = self.log.len() as u64;
        self.log.push(Record { key, offset, value: value.map(String::into_bytes) });
    }

    /// The daemon that schedules the pool for most others.
    fn scheduler(&self) -> Option<usize> {
        let mut votes: BTreeMap<usize, usize> = BTreeMap::new();
        for (index, daemon) in self.site.daemons.iter().enumerate() {
            let now = self.site.clock(index);
            let scheduler = daemon.node.scheduler_of(now, self.setup.pool);
            let number = scheduler.and_then(|id| id.strip_prefix("router-")?.parse::<usize>().ok());
            if let Some(number) = number {
                *votes.entry(number - 1).or_default() += 1;
            }
        }
        let voted = votes.into_iter().filter(|(daemon, _)| self.is_up(*daemon));
        voted.max_by_key(|(_, count)| *count).map(|(daemon, _)| daemon)
    }

    /// Kills the scheduler of the pool.
    pub fn kill_scheduler(&mut self) {
        if let Some(scheduler) = self.scheduler() {
            self.kill(&[scheduler]);
        }
    }

    fn kill(&mut self, daemons: &[usize]) {
        for daemon in daemons {
            let until = self.site.now + ms(self.rng.u64(300..1_500));
            self.take_down(*daemon, until, false);
        }
    }

    fn take_down(&mut self, daemon: usize, until: Time, is_frozen: bool) {
        self.site.down.insert(daemon);
        self.back_at.insert(daemon, (until, is_frozen));
        self.limits.excuse(daemon, until);
        self.notices.excuse(daemon);
        if !is_frozen {
            self.drop_hops(daemon);
        }
    }

    /// Ends the faults of daemons and links whose time is over.
    pub(super) fn return_daemons(&mut self) {
        let now = self.site.now;
        if now >= self.heals_at {
            self.site.cut_links.clear();
            self.site.cuts.clear();
        }
        let back = self.back_at.iter().filter(|(_, (at, _))| now >= *at);
        let back: Vec<(usize, bool)> =
            back.map(|(daemon, (_, frozen))| (*daemon, *frozen)).collect();
        for (daemon, was_frozen) in back {
            self.back_at.remove(&daemon);
            self.site.down.remove(&daemon);
            if !was_frozen {
                self.restart(daemon);
            }
        }
    }

    fn restart(&mut self, daemon: usize) {
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

    /// Daemons read the store, each some time after a change.
    pub(super) fn read_store(&mut self) {
        let end = self.log.len() as u64;
        for daemon in 0..self.site.daemons.len() {
            if !self.is_up(daemon) || self.rng.f64() > 0.2 {
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
