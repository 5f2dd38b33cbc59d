//! The table of backend servers and of routers.

use std::collections::VecDeque;

use slotmap::SlotMap;

use super::{Key, Report, Role, Standing, Vm};
use crate::prelude::*;

/// Polls in a row that must fail before an engine counts as unreachable.
const UNREACHABLE_POLL_FAILURES: u32 = 2;
/// How long a server that could not be connected to is passed over, at first.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// How long it is passed over at most.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Prompt tokens a second assumed of an engine that has not reported.
const ASSUMED_PREFILL_TOKENS_PER_S: u32 = 8_000;

/// Servers that were leaving, and are not listed, that are remembered at most.
const MAX_UNLISTED_DRAINING: usize = 4_096;

/// What an engine last reported of its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// When the report was read.
    pub read_at: Time,
    /// Requests it generates for.
    pub running: u32,
    /// Requests it has queued.
    pub waiting: u32,
    /// Prompt tokens still to be computed.
    pub queued_tokens: u64,
    /// Prompt tokens computed in a second.
    pub prefill_tokens_per_s: u32,
    /// Milliseconds for the import of one block; `None` where it can't.
    pub import_ms: Option<f64>,
}

/// One backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// What the VM list says.
    pub vm: Vm,
    /// Whether any source said that it is leaving; never taken back for the same VM.
    pub draining: bool,
    /// The incarnation it last reported; `None` before the first report.
    pub incarnation: Option<String>,
    /// Weights versions by model.
    pub weights: BTreeMap<String, BTreeSet<String>>,
    /// Its last reported load.
    pub load: Load,
    /// The sequence number of the next cache event wanted.
    pub next_seq: u64,
    /// When it was asked for what it answered last, or did not answer; `None` before that.
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
            weights: BTreeMap::new(),
            load,
            next_seq: 0,
            last_poll_sent_at: None,
            failed_polls: 0,
            connect_failures: 0,
            backoff_until: Time::ZERO,
        }
    }

    /// Whether it may be given new work.
    pub fn is_usable(&self, now: Time) -> bool {
        self.is_known() && !self.draining && self.is_reachable() && self.backoff_until <= now
    }

    /// Whether it needs no report, or has reported.
    pub fn is_known(&self) -> bool {
        self.vm.role == Role::ServiceServer || self.incarnation.is_some()
    }

    /// Whether its first report has neither come nor failed.
    pub fn awaits_first_report(&self) -> bool {
        !self.is_known() && self.failed_polls == 0
    }

    /// Whether it may have what it did not report: it answers, stays, and was not asked at `since` or later.
    pub fn awaits_poll_since(&self, since: Time) -> bool {
        self.vm.role == Role::ModelServer
            && !self.draining
            && self.is_reachable()
            && self.last_poll_sent_at.is_none_or(|at| at < since)
    }

    /// Whether its polls succeed.
    pub fn is_reachable(&self) -> bool {
        self.failed_polls < UNREACHABLE_POLL_FAILURES
    }

    /// Whether it serves `weights` of `model`.
    pub fn serves(&self, model: &str, weights: &str) -> bool {
        self.weights.get(model).is_some_and(|versions| versions.contains(weights))
    }
}

/// What changed for one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// It was added.
    Added(Key),
    /// It is leaving.
    Draining(Key),
    /// It is gone from the VM list.
    Removed(Key, String),
    /// It came back under a new incarnation.
    Restarted(Key),
    /// So many of its cache events were lost.
    Gap(Key, u64),
    /// It does not answer.
    Unreachable(Key),
    /// It answers again.
    Reachable(Key),
}

/// All backend servers and routers that the VM list has.
#[derive(Debug, Default)]
pub struct State {
    servers: SlotMap<Key, Server>,
    ids: BTreeMap<String, Key>,
    routers: BTreeMap<String, Vm>,
    /// Servers that are leaving and not listed, the last heard of at the end. An id is never used again, so
    /// whoever lists one of them as live is late.
    unlisted_draining: VecDeque<String>,
}

impl State {
    /// The server of this key.
    pub fn get(&self, key: Key) -> Option<&Server> {
        self.servers.get(key)
    }

    /// The key of the server with this id.
    pub fn find(&self, id: &str) -> Option<Key> {
        self.ids.get(id).copied()
    }

    /// All servers, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Server)> {
        self.ids.values().filter_map(|key| Some((*key, self.servers.get(*key)?)))
    }

    /// The servers of `pool`, in the order of their ids.
    pub fn pool<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = (Key, &'a Server)> {
        self.iter().filter(move |(_, server)| server.vm.pool == pool)
    }

    /// All routers, by id.
    pub fn routers(&self) -> &BTreeMap<String, Vm> {
        &self.routers
    }

    /// Takes over a new VM list.
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

    /// Notes that the server with this id is leaving, whether or not it is listed yet.
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

    /// Notes that `key` is leaving, whoever said so.
    pub fn mark_draining(&mut self, key: Key) -> Option<Notice> {
        let server = self.servers.get_mut(key)?;
        if server.draining {
            return None;
        }
        server.draining = true;
        Some(Notice::Draining(key))
    }

    /// Takes over an engine's report. Its cache events are the caller's to fold, after the
    /// notices returned here.
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
            // Asked with the former incarnation's number: read the new one's events from 0.
            server.next_seq = 0;
        } else {
            let missing = count_missing_events(report);
            if missing > 0 {
                notices.push(Notice::Gap(key, missing));
            }
            server.next_seq = report.next_seq;
        }
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

    /// Notes that a poll of `key` failed.
    pub fn record_poll_failure(&mut self, key: Key) -> Option<Notice> {
        let server = self.servers.get_mut(key)?;
        server.failed_polls = server.failed_polls.saturating_add(1);
        (server.failed_polls == UNREACHABLE_POLL_FAILURES).then_some(Notice::Unreachable(key))
    }

    /// Notes that a poll of `key` ended that was sent at `at`.
    pub fn record_poll_end(&mut self, key: Key, sent_at: Time) {
        if let Some(server) = self.servers.get_mut(key) {
            server.last_poll_sent_at = Some(sent_at);
        }
    }

    /// Passes over `key` for a while: an attempt could not reach it.
    pub fn back_off(&mut self, now: Time, key: Key) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let backoff =
            MIN_BACKOFF.saturating_mul(1 << server.connect_failures.min(5)).min(MAX_BACKOFF);
        server.connect_failures = server.connect_failures.saturating_add(1);
        server.backoff_until = now + backoff;
    }

    /// Ends the suspicion of `key`: an attempt succeeded.
    pub fn reset_connect_failures(&mut self, key: Key) {
        if let Some(server) = self.servers.get_mut(key) {
            server.connect_failures = 0;
        }
    }
}

/// How many events between the number asked for and the newest are missing; events that do not
/// belong there count as missing too.
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
