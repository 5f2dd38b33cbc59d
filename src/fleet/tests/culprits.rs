//! Simulation of many requests on engines that crash, by certain requests or parts of prompts (culprits) or for other
//! reasons.
//!
//! It counts the blocked requests, the engines that culprits crash, and the other requests that are answered
//! in the end.

use std::net::SocketAddr;

use super::site::Site;
use super::world::*;
use crate::fleet::*;
use crate::poison::Fingerprint;
use crate::prelude::*;
use crate::route::Repeat;

/// The first part of most prompts.
const STANDARD: u64 = 7;
/// Number of prompt subjects; requests with the same subject share its home engines.
const SUBJECT_COUNT: u64 = 12;
/// Number of engines in the pool.
pub const ENGINE_COUNT: u8 = 18;
/// Time from the crash of an engine to the start of its replacement.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// Time from the start of a culprit's run to the crash of its engine.
const CRASH_DELAY: Duration = Duration::from_millis(50);
/// Crashes by a request after which it can be detected.
const DETECTION_CRASHES: usize = 3;
/// Crashes by requests with a part of their prompts after which the part can be detected.
const PART_DETECTION_CRASHES: usize = 5;
/// Time from these crashes until all daemons must block the request.
pub const MAX_DETECTION_TIME: Duration = Duration::from_secs(3);
/// Tries of one culprit that may reach engines after that time.
pub const MAX_LATE_TRIES: u64 = 3;
/// Tries of a caller whose request fails.
pub const MAX_TRIES: u32 = 6;

/// What crashes the engines that run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Culprit {
    /// The request, known by its content.
    Request(Fingerprint),
    /// A part of its prompt.
    Part(u64),
}

impl Culprit {
    /// Crashes after which the culprit can be detected.
    const fn detection_crashes(self) -> usize {
        match self {
            Self::Request(_) => DETECTION_CRASHES,
            Self::Part(_) => PART_DETECTION_CRASHES,
        }
    }
}

/// A caller's request across its tries.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    pub fingerprint: Fingerprint,
    pub culprit: Option<Culprit>,
    /// The shared parts of its prompt; drawn by its fingerprint if absent.
    pub parts: Option<(u64, u64)>,
    pub tries: u32,
}

impl Call {
    /// A call with a request that crashes engines, of which `tries` were made before.
    pub const fn crashing(fingerprint: Fingerprint, tries: u32) -> Self {
        let culprit = Some(Culprit::Request(fingerprint));
        Self { fingerprint, culprit, parts: None, tries }
    }

    pub const fn is_culprit(&self) -> bool {
        self.culprit.is_some()
    }
}

/// A try that a daemon has not finished.
#[derive(Debug)]
struct OpenRequest {
    call: Call,
    address: Option<SocketAddr>,
    attempt: u32,
    begins_at: Time,
    ends_at: Time,
    begun: bool,
}

#[derive(Debug, Default)]
pub struct Tally {
    pub asked: u64,
    pub answered: u64,
    pub blocked: u64,
    pub ended: u64,
    /// Engines that crashed while they ran a culprit.
    pub by_culprits: u64,
    /// Tries later than [`MAX_DETECTION_TIME`] after the crash at which a culprit can be detected; the highest count of a
    /// culprit.
    pub late_tries: u64,
    /// Sends of culprits that were as late.
    pub late_asks: u64,
    /// Sends of culprits.
    pub culprit_asks: u64,
    /// Sound requests sent once all culprits should long be detected, and those that began at the first attempt.
    pub late_sound: usize,
    pub late_sound_begun_first: usize,
}

pub struct Simulation {
    pub site: Site,
    pub rng: fastrand::Rng,
    engines: u8,
    /// Time from the start of a culprit's run to the crash of its engine.
    pub crash_delay: Duration,
    /// Time from the send of a request to the begin of its answer, in ms.
    pub begin_ms: std::ops::Range<u64>,
    open_requests: BTreeMap<(usize, Key), OpenRequest>,
    /// Calls to retry, and when.
    retries: Vec<(Time, Call)>,
    /// Engines to restart, and when.
    pending_starts: Vec<(Time, u8)>,
    /// Ids of engines, by their number.
    engine_ids: BTreeMap<u8, String>,
    next_id: u64,
    /// Times of crashes by each culprit, and its number of late tries.
    culprit_crashes: BTreeMap<Culprit, (Vec<Time>, u64)>,
    /// When restarted daemons count as stable again.
    returns_at: BTreeMap<usize, Time>,
    /// When sound requests were first sent, and whether they began at the first attempt.
    sound_requests: BTreeMap<Fingerprint, (Time, bool)>,
    tally: Tally,
}

impl Simulation {
    pub fn new(daemons: u8, engines: u8, seed: u64) -> Self {
        let engine_ids: BTreeMap<u8, String> =
            (0..engines).map(|n| (n, format!("e-{n}"))).collect();
        let records: Vec<(String, String)> = engine_ids
            .iter()
            .map(|(n, id)| (id.clone(), format!("engine {} ready 1", 101 + n)))
            .collect();
        let records = borrowed(&records);
        Self {
            site: Site::new(daemons, &records),
            rng: fastrand::Rng::with_seed(seed),
            engines,
            crash_delay: CRASH_DELAY,
            begin_ms: 20..60,
            open_requests: BTreeMap::new(),
            retries: Vec::new(),
            pending_starts: Vec::new(),
            engine_ids,
            next_id: 0,
            culprit_crashes: BTreeMap::new(),
            returns_at: BTreeMap::new(),
            sound_requests: BTreeMap::new(),
            tally: Tally::default(),
        }
    }

    /// Crashes an engine that is drawn.
    pub fn crash_any_engine(&mut self) {
        let engine = self.rng.u8(0..self.engines);
        self.crash_engine(address(101 + engine));
    }

    /// Runs all events that are due.
    pub fn run_due_events(&mut self) {
        self.send_retries();
        self.start_engines();
        self.update_open_requests();
        self.execute_commands();
    }

    /// Returns the counts at the end of a run.
    pub fn into_tally(mut self) -> Tally {
        (self.tally.late_sound, self.tally.late_sound_begun_first) = self.late_sound_requests();
        // Unfinished requests are neither answered nor unanswered.
        self.tally.asked -=
            self.open_requests.values().filter(|f| !f.call.is_culprit()).count() as u64;
        self.tally.asked -=
            self.retries.iter().filter(|(_, call)| !call.is_culprit()).count() as u64;
        self.tally
    }

    /// Sends a request whose content no other request has.
    pub fn send_unique_request(&mut self) {
        self.next_id += 1;
        self.tally.asked += 1;
        let fingerprint = Fingerprint(self.next_id);
        self.send(Call { fingerprint, culprit: None, parts: None, tries: 0 });
    }

    /// Sends a request whose content no other request has, and whose prompt has a part that crashes engines: the first,
    /// or the one after the first part of sound requests.
    pub fn send_with_crashing_part(&mut self, part: u64, is_first: bool) {
        self.next_id += 1;
        let fingerprint = Fingerprint(self.next_id);
        let parts = match is_first {
            true => (part, fingerprint.0 % SUBJECT_COUNT),
            false => (STANDARD, part),
        };
        let culprit = Some(Culprit::Part(part));
        self.send(Call { fingerprint, culprit, parts: Some(parts), tries: 0 });
    }

    /// Restarts a daemon; its callers retry.
    pub fn restart(&mut self, daemon: usize) {
        let open = self.open_requests.keys().filter(|(at, _)| *at == daemon);
        for key in open.copied().collect::<Vec<(usize, Key)>>() {
            if let Some(request) = self.open_requests.remove(&key) {
                self.schedule_retry(request.call);
            }
        }
        let servers = self.engine_ids.iter().filter(|(n, _)| self.is_running(**n));
        let servers: Vec<(String, String)> =
            servers.map(|(n, id)| (id.clone(), format!("engine {} ready 1", 101 + n))).collect();
        self.site.restart(daemon, &borrowed(&servers));
        self.returns_at.insert(daemon, self.site.now + MAX_DETECTION_TIME);
    }

    fn is_running(&self, engine: u8) -> bool {
        !self.site.crashed_servers.contains(&address(101 + engine))
    }

    pub fn send(&mut self, call: Call) {
        self.tally.late_asks +=
            u64::from(call.culprit.is_some_and(|culprit| self.is_late(culprit)));
        self.tally.culprit_asks += u64::from(call.is_culprit());
        let daemon = self.rng.usize(0..self.site.daemons.len());
        self.site.daemons[daemon].fingerprint = call.fingerprint;
        let drawn = (STANDARD, call.fingerprint.0 % SUBJECT_COUNT);
        (self.site.standard, self.site.subject) = call.parts.unwrap_or(drawn);
        let repeat = match call.fingerprint.0 % 3 {
            0 => Repeat::Resumable,
            _ => Repeat::AtMostOnce,
        };
        let key = self.site.arrive(daemon, "engines", repeat);
        let request = OpenRequest {
            call: Call { tries: call.tries + 1, ..call },
            address: None,
            attempt: 0,
            begins_at: Time::MAX,
            ends_at: Time::MAX,
            begun: false,
        };
        self.open_requests.insert((daemon, key), request);
        if !call.is_culprit() && call.tries == 0 {
            self.sound_requests.insert(call.fingerprint, (self.site.now, false));
        }
        self.execute_commands();
    }

    /// Executes the commands of all daemons until none are left.
    fn execute_commands(&mut self) {
        loop {
            let commands = self.site.take_commands();
            if commands.is_empty() {
                return;
            }
            for (daemon, key, command) in commands {
                self.execute_command(daemon, key, command);
            }
        }
    }

    fn execute_command(&mut self, daemon: usize, key: Key, command: Command) {
        let now = self.site.now;
        match command {
            Command::Dispatch(dispatch) => {
                if self.site.crashed_servers.contains(&dispatch.address) {
                    return self.site.report(daemon, key, dispatch.attempt, Report::Unsent);
                }
                let begins_at = now + ms(self.rng.u64(self.begin_ms.clone()));
                let run_time = ms(self.rng.u64(300..4_000));
                self.count_late_try(daemon, key);
                if let Some(request) = self.open_requests.get_mut(&(daemon, key)) {
                    request.address = Some(dispatch.address);
                    request.attempt = dispatch.attempt;
                    (request.begins_at, request.begun) = (begins_at, false);
                    request.ends_at = begins_at
                        + if request.call.is_culprit() { self.crash_delay } else { run_time };
                }
            }
            Command::HandOver(peer) => panic!("a daemon reaches no server: {peer:?}"),
            Command::Refuse(Code::RequestBlocked, _) => {
                let Some(request) = self.open_requests.remove(&(daemon, key)) else { return };
                match request.call.is_culprit() {
                    true => self.schedule_retry(request.call),
                    false => self.tally.blocked += 1,
                }
            }
            Command::Refuse(..) | Command::GiveUp => {
                let Some(request) = self.open_requests.remove(&(daemon, key)) else { return };
                self.schedule_retry(request.call);
            }
        }
    }

    /// Schedules a retry of a failed call if it has tries left.
    fn schedule_retry(&mut self, call: Call) {
        if call.tries < MAX_TRIES {
            let at = self.site.now + ms(self.rng.u64(50..300));
            self.retries.push((at, call));
        }
    }

    fn count_late_try(&mut self, daemon: usize, key: Key) {
        let Some(request) = self.open_requests.get(&(daemon, key)) else { return };
        if self.returns_at.get(&daemon).is_some_and(|at| self.site.now < *at) {
            return;
        }
        let Some(culprit) = request.call.culprit.filter(|culprit| self.is_late(*culprit)) else {
            return;
        };
        let Some((_, tries)) = self.culprit_crashes.get_mut(&culprit) else { return };
        *tries += 1;
        self.tally.late_tries = self.tally.late_tries.max(*tries);
    }

    /// Returns whether all daemons should block the culprit by now.
    fn is_late(&self, culprit: Culprit) -> bool {
        self.detectable_at(culprit).is_some_and(|at| self.site.now > at + MAX_DETECTION_TIME)
    }

    /// Returns the time of the crash at which a culprit can be detected.
    fn detectable_at(&self, culprit: Culprit) -> Option<Time> {
        let (crashes, _) = self.culprit_crashes.get(&culprit)?;
        crashes.get(culprit.detection_crashes() - 1).copied()
    }

    /// Returns the sound requests that were sent when all culprits should long be detected, and how many of them began at
    /// the first attempt.
    fn late_sound_requests(&self) -> (usize, usize) {
        let detectable = self.culprit_crashes.iter().map(|(culprit, (crashes, _))| {
            let nth = crashes.get(culprit.detection_crashes() - 1);
            nth.or(crashes.last()).copied().unwrap_or(Time::MAX)
        });
        let from = detectable.max().unwrap_or(Time::MAX).saturating_add(2 * MAX_DETECTION_TIME);
        let late = self.sound_requests.values().filter(|(sent_at, _)| *sent_at >= from);
        let begun_first = late.clone().filter(|(_, begun_first)| *begun_first);
        (late.count(), begun_first.count())
    }

    fn send_retries(&mut self) {
        let now = self.site.now;
        let due: Vec<Call> =
            self.retries.iter().filter(|(at, _)| now >= *at).map(|(_, call)| *call).collect();
        self.retries.retain(|(at, _)| now < *at);
        for call in due {
            self.send(call);
        }
    }

    fn start_engines(&mut self) {
        let now = self.site.now;
        let due: Vec<u8> =
            self.pending_starts.iter().filter(|(at, _)| now >= *at).map(|(_, n)| *n).collect();
        self.pending_starts.retain(|(at, _)| now < *at);
        for engine in due {
            self.next_id += 1;
            let former = self.engine_ids.insert(engine, format!("e-{engine}-{}", self.next_id));
            self.site.crashed_servers.remove(&address(101 + engine));
            let value = format!("engine {} ready 1", 101 + engine);
            let name = self.engine_ids[&engine].clone();
            for daemon in &mut self.site.daemons {
                let records = [(former.as_deref().unwrap_or_default(), ""), (&name, &value)];
                daemon.deliver_records(now, Topic::Servers, &records);
            }
        }
    }

    /// Begins and ends the requests whose time has come.
    fn update_open_requests(&mut self) {
        let now = self.site.now;
        let due = self.open_requests.iter().filter(|(_, request)| {
            now >= request.ends_at || (now >= request.begins_at && !request.begun)
        });
        let due: Vec<(usize, Key)> = due.map(|(key, _)| *key).collect();
        for (daemon, key) in due {
            let Some(request) = self.open_requests.get_mut(&(daemon, key)) else { continue };
            let (attempt, call) = (request.attempt, request.call);
            if !request.begun && !call.is_culprit() {
                request.begun = true;
                if call.tries == 1 && attempt == 1 {
                    self.sound_requests
                        .entry(call.fingerprint)
                        .and_modify(|(_, first)| *first = true);
                }
                self.site.report(daemon, key, attempt, Report::Begun(Some(1)));
                continue;
            }
            if now < request.ends_at {
                continue;
            }
            if let Some(culprit) = call.culprit {
                if let Some(address) = request.address {
                    self.tally.by_culprits += 1;
                    self.culprit_crashes.entry(culprit).or_default().0.push(now);
                    self.crash_engine(address);
                }
                continue;
            }
            self.open_requests.remove(&(daemon, key));
            self.tally.answered += 1;
            self.site.report(daemon, key, attempt, Report::Ended);
        }
    }

    /// Crashes an engine and breaks all requests that run on it.
    fn crash_engine(&mut self, at: SocketAddr) {
        if !self.site.crashed_servers.insert(at) {
            return;
        }
        self.tally.ended += 1;
        let engine = (0..self.engines)
            .find(|n| address(101 + n) == at)
            .expect("the address belongs to an engine of the pool");
        self.pending_starts.push((self.site.now + RESTART_DELAY, engine));
        let there = self.open_requests.iter().filter(|(_, request)| request.address == Some(at));
        let mut there: Vec<(usize, Key)> = there.map(|(key, _)| *key).collect();
        self.rng.shuffle(&mut there);
        for (daemon, key) in there {
            let Some(request) = self.open_requests.get_mut(&(daemon, key)) else { continue };
            (request.address, request.begins_at, request.ends_at) = (None, Time::MAX, Time::MAX);
            let attempt = request.attempt;
            self.site.report(daemon, key, attempt, Report::Lost(Loss::Connection));
        }
    }
}
