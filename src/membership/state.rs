//! State of the table of backend servers and routers.

use std::collections::VecDeque;

use slotmap::SlotMap;

use super::{Key, Report, Role, Standing, Vm};
use crate::prelude::*;

/// Consecutive failed polls after which an engine counts as unreachable.
const UNREACHABLE_POLL_FAILURES: u32 = 2;
/// Time for which a server gets no requests after the first failed connection.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum of this time, which starts at [`MIN_BACKOFF`] and doubles with each failure.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Prefill rate assumed for an engine that has not reported.
const ASSUMED_PREFILL_TOKENS_PER_S: u32 = 8_000;

/// Maximum number of remembered servers that drained and are not in the VM list.
const MAX_UNLISTED_DRAINING: usize = 4_096;

/// Load that an engine last reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Time at which the report was read.
    pub read_at: Time,
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Prompt tokens not computed yet.
    pub queued_tokens: u64,
    /// Prompt tokens computed per second.
    pub prefill_tokens_per_s: u32,
    /// Milliseconds per imported block; `None` for an engine without import.
    pub import_ms: Option<f64>,
}

/// One backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Entry in the VM list.
    pub vm: Vm,
    /// Whether any source reported it as draining; never reset for the same VM.
    pub draining: bool,
    /// Last reported incarnation; `None` before the first report.
    pub incarnation: Option<String>,
    /// Last reported version of its software, if it states one.
    pub software: Option<String>,
    /// Loaded weights versions by model.
    pub weights: BTreeMap<String, BTreeSet<String>>,
    /// Last reported load.
    pub load: Load,
    /// Sequence number of the next cache event to request.
    pub next_seq: u64,
    /// Time at which the last completed or failed poll was sent; `None` before the first.
    last_poll_sent_at: Option<Time>,
    failed_polls: u32,
    connect_failures: u32,
    backoff_until: Time,
}

impl Server {
    fn new(vm: Vm) -> Self {
        let load = Load {
            read_at: Time::ZERO,
            running: 0,
            waiting: 0,
            queued_tokens: 0,
            prefill_tokens_per_s: ASSUMED_PREFILL_TOKENS_PER_S,
            import_ms: None,
        };
        Self {
            vm,
            draining: false,
            incarnation: None,
            software: None,
            weights: BTreeMap::new(),
            load,
            next_seq: 0,
            last_poll_sent_at: None,
            failed_polls: 0,
            connect_failures: 0,
            backoff_until: Time::ZERO,
        }
    }

    /// Whether it may receive new requests.
    pub fn is_usable(&self, now: Time) -> bool {
        self.is_known() && !self.draining && self.is_reachable() && self.backoff_until <= now
    }

    /// Whether it has reported, or is a plain service and sends no reports.
    pub fn is_known(&self) -> bool {
        self.vm.role == Role::ServiceServer || self.incarnation.is_some()
    }

    /// Whether its first report is outstanding and no poll has failed.
    pub fn awaits_first_report(&self) -> bool {
        !self.is_known() && self.failed_polls == 0
    }

    /// Whether it may have unreported weights: a reachable, not draining engine, last polled before `since`.
    pub fn awaits_poll_since(&self, since: Time) -> bool {
        self.vm.role == Role::ModelServer
            && !self.draining
            && self.is_reachable()
            && self.last_poll_sent_at.is_none_or(|at| at < since)
    }

    /// Whether it counts as reachable by its latest polls.
    pub fn is_reachable(&self) -> bool {
        self.failed_polls < UNREACHABLE_POLL_FAILURES
    }

    /// Whether it has loaded `weights` of `model`.
    pub fn serves(&self, model: &str, weights: &str) -> bool {
        self.weights.get(model).is_some_and(|versions| versions.contains(weights))
    }
}

/// A change of one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// It was added to the VM list.
    Added(Key),
    /// It is draining.
    Draining(Key),
    /// It was removed from the VM list.
    Removed(Key, String),
    /// It restarted, with a new incarnation.
    Restarted(Key),
    /// Some of its cache events were lost; holds their number.
    Gap(Key, u64),
    /// It became unreachable.
    Unreachable(Key),
    /// It is reachable again.
    Reachable(Key),
}

/// All backend servers and routers in the VM list.
#[derive(Debug, Default)]
pub struct State {
    servers: SlotMap<Key, Server>,
    ids: BTreeMap<String, Key>,
    routers: BTreeMap<String, Vm>,
    /// Ids of draining servers that are not in the VM list, the newest last. Ids are never reused, therefore
    /// a list with one of them as live is outdated.
    unlisted_draining: VecDeque<String>,
}

impl State {
    /// Returns the server with this key.
    pub fn get(&self, key: Key) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Returns the key of the server with this id.
    pub fn find(&self, id: &str) -> Option<Key> {
        self.ids.get(id).copied()
    }

    /// Iterates over all servers, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Server)> {
        self.ids.values().filter_map(|key| Some((*key, self.servers.get(*key)?)))
    }

    /// Iterates over the servers of `pool`, ordered by id.
    pub fn pool<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = (Key, &'a Server)> {
        self.iter().filter(move |(_, server)| server.vm.pool == pool)
    }

    /// Returns all routers by id.
    pub fn routers(&self) -> &BTreeMap<String, Vm> {
        &self.routers
    }

    /// Applies a new VM list and returns the changes.
    pub fn apply_vm_list(&mut self, vms: Vec<Vm>) -> Vec<Notice> {
        let mut notices = Vec::new();
        let listed: BTreeSet<&str> = vms.iter().map(|vm| vm.id.as_str()).collect();
        let removed: Vec<String> =
            self.ids.keys().filter(|id| !listed.contains(id.as_str())).cloned().collect();
        for id in removed {
            if let Some(key) = self.ids.remove(&id) {
                if self.servers.remove(key).is_some_and(|server| server.draining) {
                    self.remember_draining(&id);
                }
                notices.push(Notice::Removed(key, id));
            }
        }
        self.routers.retain(|id, _| listed.contains(id.as_str()));
        for vm in vms {
            match vm.role {
                Role::Router => {
                    self.routers.insert(vm.id.clone(), vm);
                }
                Role::ModelServer | Role::ServiceServer => self.apply_vm(vm, &mut notices),
            }
        }
        notices
    }

    fn apply_vm(&mut self, vm: Vm, notices: &mut Vec<Notice>) {
        let mut draining = vm.standing == Standing::Leaving;
        let Some(key) = self.ids.get(&vm.id).copied() else {
            let id = vm.id.clone();
            draining |= self.unlisted_draining.contains(&id);
            let key = self.servers.insert(Server::new(vm));
            self.ids.insert(id, key);
            notices.push(Notice::Added(key));
            if draining {
                notices.extend(self.mark_draining(key));
            }
            return;
        };
        if let Some(server) = self.servers.get_mut(key) {
            server.vm = vm;
        }
        if draining {
            notices.extend(self.mark_draining(key));
        }
    }

    /// Marks the server with this id as draining, even if it is not listed yet.
    pub fn mark_draining_by_id(&mut self, id: &str) -> Option<Notice> {
        let key = self.find(id);
        if key.is_none() {
            self.remember_draining(id);
        }
        self.mark_draining(key?)
    }

    fn remember_draining(&mut self, id: &str) {
        if self.unlisted_draining.iter().any(|other| other == id) {
            return;
        }
        self.unlisted_draining.push_back(id.to_owned());
        if self.unlisted_draining.len() > MAX_UNLISTED_DRAINING {
            self.unlisted_draining.pop_front();
        }
    }

    /// Marks a server as draining.
    pub fn mark_draining(&mut self, key: Key) -> Option<Notice> {
        let server = self.servers.get_mut(key)?;
        if server.draining {
            return None;
        }
        server.draining = true;
        Some(Notice::Draining(key))
    }

    /// Applies an engine's report. The caller handles the returned notices first, and then the cache events
    /// of the report.
    pub fn apply_report(&mut self, now: Time, key: Key, report: &Report) -> Vec<Notice> {
        let mut notices = Vec::new();
        let Some(server) = self.servers.get_mut(key) else {
            return notices;
        };
        if !server.is_reachable() {
            notices.push(Notice::Reachable(key));
        }
        server.failed_polls = 0;
        server.connect_failures = 0;
        server.backoff_until = Time::ZERO;
        let is_new_incarnation = server.incarnation.as_ref() != Some(&report.incarnation);
        if is_new_incarnation && server.incarnation.is_some() {
            notices.push(Notice::Restarted(key));
        }
        server.incarnation = Some(report.incarnation.clone());
        if is_new_incarnation && report.from > 0 {
            // The poll used a sequence number of the previous incarnation. The next poll reads from 0.
            server.next_seq = 0;
        } else {
            let missing = count_missing_events(report);
            if missing > 0 {
                notices.push(Notice::Gap(key, missing));
            }
            server.next_seq = report.next_seq;
        }
        server.software.clone_from(&report.software);
        server.weights.clone_from(&report.weights);
        server.load = Load {
            read_at: now,
            running: report.running,
            waiting: report.waiting,
            queued_tokens: report.queued_tokens,
            prefill_tokens_per_s: report.prefill_tokens_per_s.max(1),
            import_ms: report.import_ms.filter(|ms| ms.is_finite() && *ms >= 0.0),
        };
        if report.leaving {
            notices.extend(self.mark_draining(key));
        }
        notices
    }

    /// Records a failed poll.
    pub fn record_poll_failure(&mut self, key: Key) -> Option<Notice> {
        let server = self.servers.get_mut(key)?;
        server.failed_polls = server.failed_polls.saturating_add(1);
        (server.failed_polls == UNREACHABLE_POLL_FAILURES).then_some(Notice::Unreachable(key))
    }

    /// Records the end of a poll that was sent at `sent_at`.
    pub fn record_poll_end(&mut self, key: Key, sent_at: Time) {
        if let Some(server) = self.servers.get_mut(key) {
            server.last_poll_sent_at = Some(sent_at);
        }
    }

    /// Excludes a server from new requests for a while, after a failed connection.
    pub fn back_off(&mut self, now: Time, key: Key) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let backoff =
            MIN_BACKOFF.saturating_mul(1 << server.connect_failures.min(5)).min(MAX_BACKOFF);
        server.connect_failures = server.connect_failures.saturating_add(1);
        server.backoff_until = now + backoff;
    }

    /// Resets the number of failed connections after a successful attempt.
    pub fn reset_connect_failures(&mut self, key: Key) {
        if let Some(server) = self.servers.get_mut(key) {
            server.connect_failures = 0;
        }
    }
}

/// Counts the missing events between the requested sequence number and the newest. Events out of order
/// or range count as missing too.
fn count_missing_events(report: &Report) -> u64 {
    let expected = report.from..report.next_seq;
    let mut next = expected.start;
    let mut missing = 0_u64;
    for event in &report.events {
        if event.seq < next || event.seq >= expected.end {
            missing = missing.saturating_add(1);
            continue;
        }
        missing = missing.saturating_add(event.seq - next);
        next = event.seq + 1;
    }
    missing.saturating_add(expected.end.saturating_sub(next))
}
