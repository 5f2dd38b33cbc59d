//! Daemons before servers that crash if they reject too many requests in a second.

use std::collections::VecDeque;
use std::net::SocketAddr;

use super::super::site::Site;
use super::super::world::*;
use crate::fleet::*;
use crate::poison::Fingerprint;
use crate::prelude::*;
use crate::route::Repeat;

const STEP: Duration = Duration::from_millis(5);
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// The window in which a server counts its rejects.
const WINDOW: Duration = Duration::from_secs(1);
/// Time from which servers queue fewer requests.
const SHRINK_TIME: Duration = Duration::from_secs(3);
/// Time from a crash to the server's next start.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Time from a crash to the end of the registration.
const REGISTRATION_TTL: Duration = Duration::from_millis(1_500);
/// Last octet of the first server's address.
const FIRST_SERVER_ADDRESS: u8 = 101;
const MAX_TRIES: u32 = 5;
/// Mean interval at which the room of an engine changes.
const ROOM_INTERVAL_MS: u64 = 700;

/// A disruption at half of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    None,
    /// The scheduler of the pool ends, and starts again after some seconds.
    SchedulerEnds,
    /// All schedulers end at once.
    SchedulersEnd,
    /// All daemons end at once, and start again together.
    AllEnd,
    /// Half of the daemons do not hear the other half for some seconds.
    Partition,
    /// Each daemon hears no other for some seconds.
    Isolation,
}

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    pub daemons: u8,
    pub servers: u8,
    pub pool: &'static str,
    /// The number of rejects per second that a server survives.
    pub limit: u32,
    /// Whether servers state it.
    pub states_limit: bool,
    /// Whether servers have less and less room.
    pub shrinks: bool,
    /// Maximum delay of messages between daemons and servers.
    pub max_delay_ms: u64,
    /// Mean number of new callers per second.
    pub callers_per_s: u32,
    pub disruption: Disruption,
    pub run_time: Duration,
}

/// The outcome of a run.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Outcome {
    pub answered: u64,
    pub rejected: u64,
    pub crashes: u32,
    /// Most rejects of a server within a second.
    pub max_rejects: usize,
}

/// A request at a server.
struct Run {
    daemon: usize,
    key: Key,
    attempt: u32,
    begins_at: Time,
    ends_at: Time,
    begun: bool,
}

struct Backend {
    address: SocketAddr,
    incarnation: u32,
    /// Number of requests that it can hold.
    room: usize,
    runs: Vec<Run>,
    rejects: VecDeque<Time>,
    /// When it crashed, and whether its registration is still there.
    crashed_at: Option<(Time, bool)>,
}

/// A message on its way between a daemon and a server.
enum Message {
    Request { daemon: usize, key: Key, dispatch: Dispatch },
    Report { daemon: usize, key: Key, attempt: u32, report: Report },
}

struct Caller {
    fingerprint: Fingerprint,
    tries: u32,
}

pub struct Simulation {
    site: Site,
    setup: Setup,
    rng: fastrand::Rng,
    backends: Vec<Backend>,
    in_transit: BTreeMap<(Time, u64), Message>,
    callers: BTreeMap<(usize, Key), Caller>,
    retries: Vec<(Time, Caller)>,
    sequence: u64,
    outcome: Outcome,
}

impl Simulation {
    pub fn new(setup: Setup, seed: u64) -> Self {
        let backends = (0..setup.servers).map(|number| Backend {
            address: address(FIRST_SERVER_ADDRESS + number),
            incarnation: 0,
            room: 64,
            runs: Vec::new(),
            rejects: VecDeque::new(),
            crashed_at: None,
        });
        let records: Vec<(String, String)> =
            (0..setup.servers).map(|number| record(setup.pool, number, 0)).collect();
        Self {
            site: Site::new(setup.daemons, &borrowed(&records)),
            setup,
            rng: fastrand::Rng::with_seed(seed),
            backends: backends.collect(),
            in_transit: BTreeMap::new(),
            callers: BTreeMap::new(),
            retries: Vec::new(),
            sequence: 0,
            outcome: Outcome::default(),
        }
    }

    pub fn run(mut self) -> Outcome {
        let start = self.site.now;
        let half = start + self.setup.run_time / 2;
        let end = start + self.setup.run_time;
        let mut is_disrupted = false;
        let mut ended: Vec<usize> = Vec::new();
        while self.site.now < end {
            self.advance();
            let now = self.site.now;
            if now >= half && !is_disrupted {
                is_disrupted = true;
                ended = self.disrupt();
            }
            if now >= half + ms(4_000) {
                self.restore(std::mem::take(&mut ended));
            }
            self.change_room(now, self.setup.shrinks && now >= start + SHRINK_TIME);
            self.send_new(now);
            self.deliver(now);
            self.serve(now);
            self.restart_crashed(now);
            self.execute_commands(now);
        }
        self.outcome
    }

    fn advance(&mut self) {
        self.site.now += STEP;
        if self.site.now.as_millis().is_multiple_of(TICK_INTERVAL.as_millis()) {
            for daemon in 0..self.site.daemons.len() {
                self.site.apply(daemon, crate::fleet::Message::Tick);
            }
        }
    }

    /// Disrupts the daemons; returns those that end.
    fn disrupt(&mut self) -> Vec<usize> {
        let daemons = usize::from(self.setup.daemons);
        let links = (0..daemons).flat_map(|from| (0..daemons).map(move |to| (from, to)));
        let now = self.site.now;
        let schedules = |index: &usize| self.site.daemons[*index].node.is_scheduler(now);
        let ended: Vec<usize> = match self.setup.disruption {
            Disruption::None => return Vec::new(),
            Disruption::SchedulerEnds => vec![self.site.scheduler(self.setup.pool)],
            Disruption::SchedulersEnd => (0..daemons).filter(schedules).collect(),
            Disruption::AllEnd => (0..daemons).collect(),
            Disruption::Partition => {
                let half = daemons / 2;
                self.site.cut_links = links.filter(|(a, b)| (*a < half) != (*b < half)).collect();
                return Vec::new();
            }
            Disruption::Isolation => {
                self.site.cut_links = links.collect();
                return Vec::new();
            }
        };
        for daemon in &ended {
            self.site.down.insert(*daemon);
            self.site.sent_commands[*daemon].clear();
            self.callers.retain(|(of, _), _| of != daemon);
            for backend in &mut self.backends {
                backend.runs.retain(|run| run.daemon != *daemon);
            }
        }
        ended
    }

    fn restore(&mut self, ended: Vec<usize>) {
        self.site.cut_links.clear();
        let records = self.records();
        for daemon in ended {
            self.site.down.remove(&daemon);
            self.site.restart(daemon, &borrowed(&records));
        }
    }

    fn records(&self) -> Vec<(String, String)> {
        let backends = self.backends.iter().enumerate();
        let registered =
            backends.filter(|(_, backend)| backend.crashed_at.is_none_or(|(_, listed)| listed));
        let records = registered
            .map(|(number, backend)| record(self.setup.pool, number as u8, backend.incarnation));
        records.collect()
    }

    /// Engines have room for few requests, depending on their size; plain servers for their slots and
    /// a queue, part of which runs for callers that have left.
    fn change_room(&mut self, now: Time, shrunk: bool) {
        for backend in &mut self.backends {
            let is_due = self.rng.u64(0..ROOM_INTERVAL_MS) < STEP.as_millis() as u64;
            if shrunk && (is_due || backend.room == 64) {
                backend.room = match self.setup.pool {
                    "engines" => self.rng.usize(3..14),
                    _ => self.rng.usize(0..4),
                };
            }
            if backend.rejects.front().is_some_and(|at| *at + WINDOW <= now) {
                backend.rejects.pop_front();
            }
        }
    }

    fn send_new(&mut self, now: Time) {
        // Every third second brings twice as many callers.
        let factor = if now.as_secs().is_multiple_of(3) { 2 } else { 1 };
        let expected =
            f64::from(self.setup.callers_per_s * factor) * STEP.as_secs_f64() + self.rng.f64();
        for _ in 0..expected as u32 {
            let fingerprint = Fingerprint(self.rng.u64(..));
            self.send(Caller { fingerprint, tries: 0 });
        }
        let due = self.retries.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<Caller> = due.map(|(_, caller)| caller).collect();
        for caller in due {
            self.send(caller);
        }
    }

    fn send(&mut self, caller: Caller) {
        let daemon = self.rng.usize(0..usize::from(self.setup.daemons));
        if self.site.down.contains(&daemon) {
            return;
        }
        self.site.daemons[daemon].fingerprint = caller.fingerprint;
        let pool = self.setup.pool;
        let prompt = (pool == "engines").then(|| Prompt {
            model: "m".into(),
            input: 300,
            output: 40,
            parts: vec![Part { id: caller.fingerprint.0, tokens: 300 }],
        });
        let now = self.site.clock(daemon);
        let (key, effects) =
            self.site.daemons[daemon].arrive(now, &route(pool, Repeat::Idempotent, 3), prompt);
        self.callers.insert((daemon, key), caller);
        for (to, message) in self.site.execute_effects(daemon, effects).into_iter().rev() {
            self.site.apply(to, message);
        }
    }

    fn execute_commands(&mut self, now: Time) {
        for (daemon, key, command) in self.site.take_commands() {
            match command {
                Command::Dispatch(dispatch) => {
                    self.transmit(now, Message::Request { daemon, key, dispatch });
                }
                Command::Refuse(_, after) => {
                    let Some(caller) = self.callers.remove(&(daemon, key)) else { continue };
                    // Some callers retry at once.
                    let wait = if self.rng.bool() { after } else { ms(self.rng.u64(1..20)) };
                    if caller.tries < MAX_TRIES {
                        let caller = Caller { tries: caller.tries + 1, ..caller };
                        self.retries.push((now + wait, caller));
                    }
                }
                Command::HandOver(Handover { attempt, .. }) => {
                    let (request, end) = (key, HandoverEnd::NotTaken);
                    let ended = crate::fleet::Message::HandoverEnded { request, attempt, end };
                    self.site.apply(daemon, ended);
                }
                Command::GiveUp => {
                    self.callers.remove(&(daemon, key));
                }
            }
        }
    }

    fn transmit(&mut self, now: Time, message: Message) {
        self.sequence += 1;
        let at = now + ms(self.rng.u64(1..=self.setup.max_delay_ms));
        self.in_transit.insert((at, self.sequence), message);
    }

    fn deliver(&mut self, now: Time) {
        while let Some(first) = self.in_transit.first_entry().filter(|first| first.key().0 <= now) {
            match first.remove() {
                Message::Request { daemon, key, dispatch } => {
                    self.receive(now, daemon, key, &dispatch);
                }
                Message::Report { daemon, key, attempt, report } => {
                    let is_new = matches!(report, Report::Begun(_) | Report::Refused(_));
                    if is_new && self.setup.states_limit {
                        let reject_limit = Some(self.setup.limit);
                        let statement = Statement { reject_limit, ..Statement::default() };
                        let stated =
                            crate::fleet::Message::Stated { request: key, attempt, statement };
                        self.site.apply(daemon, stated);
                    }
                    if report == Report::Ended && self.callers.remove(&(daemon, key)).is_some() {
                        self.outcome.answered += 1;
                    }
                    self.site.report(daemon, key, attempt, report);
                }
            }
        }
    }

    /// A request arrives at its server.
    fn receive(&mut self, now: Time, daemon: usize, key: Key, dispatch: &Dispatch) {
        let attempt = dispatch.attempt;
        let number = self.backends.iter().position(|b| b.address == dispatch.address);
        let number = number.expect("daemons know only these servers");
        let backend = &mut self.backends[number];
        let report = |report| Message::Report { daemon, key, attempt, report };
        if backend.crashed_at.is_some() {
            return self.transmit(now, report(Report::Unsent));
        }
        if dispatch.server != server_id(number as u8, backend.incarnation) {
            return self.transmit(now, report(Report::Refused(Refusal::Replaced)));
        }
        let room = match self.setup.pool {
            "engines" => backend.room,
            _ => backend.room.min(3),
        };
        if backend.runs.len() < room {
            let queue_ms = 10 * backend.runs.len() as u64;
            let begins_at = now + ms(30 + queue_ms);
            let ends_at = begins_at + ms(self.rng.u64(20..400));
            backend.runs.push(Run { daemon, key, attempt, begins_at, ends_at, begun: false });
            return;
        }
        self.outcome.rejected += 1;
        backend.rejects.retain(|at| now < *at + WINDOW);
        backend.rejects.push_back(now);
        let rejects = backend.rejects.len();
        self.outcome.max_rejects = self.outcome.max_rejects.max(rejects);
        if rejects > self.setup.limit as usize {
            return self.crash(now, number, report(Report::Lost(Loss::Connection)));
        }
        self.transmit(now, report(Report::Refused(Refusal::Busy)));
    }

    fn crash(&mut self, now: Time, number: usize, last: Message) {
        self.outcome.crashes += 1;
        let backend = &mut self.backends[number];
        backend.crashed_at = Some((now, true));
        backend.rejects.clear();
        self.site.crashed_servers.insert(backend.address);
        let runs = std::mem::take(&mut backend.runs);
        self.transmit(now, last);
        for Run { daemon, key, attempt, .. } in runs {
            let report = Report::Lost(Loss::Connection);
            self.transmit(now, Message::Report { daemon, key, attempt, report });
        }
    }

    fn serve(&mut self, now: Time) {
        let mut reports = Vec::new();
        for backend in &mut self.backends {
            for run in &mut backend.runs {
                let (daemon, key, attempt) = (run.daemon, run.key, run.attempt);
                if !run.begun && now >= run.begins_at {
                    run.begun = true;
                    let report = Report::Begun(None);
                    reports.push(Message::Report { daemon, key, attempt, report });
                }
                if now >= run.ends_at {
                    let report = Report::Ended;
                    reports.push(Message::Report { daemon, key, attempt, report });
                }
            }
            backend.runs.retain(|run| now < run.ends_at);
        }
        // Reports of one request must stay in order.
        for report in reports {
            self.sequence += 1;
            self.in_transit.insert((now + ms(5), self.sequence), report);
        }
    }

    fn restart_crashed(&mut self, now: Time) {
        for number in 0..self.backends.len() {
            let backend = &mut self.backends[number];
            let Some((at, listed)) = backend.crashed_at else { continue };
            let id = server_id(number as u8, backend.incarnation);
            if listed && now >= at + REGISTRATION_TTL {
                backend.crashed_at = Some((at, false));
                self.publish(&[(&id, "")]);
            } else if now >= at + RESTART_TIME {
                backend.crashed_at = None;
                backend.incarnation += 1;
                self.site.crashed_servers.remove(&backend.address);
                let (id, value) = record(self.setup.pool, number as u8, backend.incarnation);
                self.publish(&[(&id, &value)]);
            }
        }
    }

    fn publish(&mut self, records: &[(&str, &str)]) {
        for index in 0..self.site.daemons.len() {
            let now = self.site.clock(index);
            let effects = self.site.daemons[index].deliver_records(now, Topic::Servers, records);
            for (to, message) in self.site.execute_effects(index, effects).into_iter().rev() {
                self.site.apply(to, message);
            }
        }
    }
}

fn server_id(number: u8, incarnation: u32) -> String {
    format!("s-{number}-{incarnation}")
}

/// The registration of a server.
fn record(pool: &str, number: u8, incarnation: u32) -> (String, String) {
    let last = FIRST_SERVER_ADDRESS + number;
    let value = match pool {
        "engines" => format!("engine {last} ready 1"),
        _ => format!("plain {last} ready"),
    };
    (server_id(number, incarnation), value)
}
