//! Callers, daemons and servers of a day, with faults of all of them.

mod arrivals;
mod faults;
mod limits;
mod notices;

use std::net::SocketAddr;

pub use arrivals::{Arrivals, Usage};
pub use faults::Fault;
pub use limits::Limits;
use notices::Notices;

use crate::fleet::tests::site::Site;
use crate::fleet::tests::world::*;
use crate::fleet::*;
use crate::poison::Fingerprint;
use crate::prelude::*;
use crate::route::{Cohort, Repeat};

/// Time between two steps.
pub const STEP: Duration = Duration::from_millis(20);
/// Time from a dispatch to the first byte of the answer.
const FIRST_BYTE: Duration = Duration::from_millis(40);
/// Time from a dispatch to the end of the answer.
const ANSWER: Duration = Duration::from_millis(120);
/// Time from a dispatch to a refusal.
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// Last octet of the first server's address.
const FIRST_SERVER_ADDRESS: u8 = 101;
/// Number of requests that a sound server takes.
const SERVER_ROOM: usize = 12;

/// Parameters of a day.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    pub daemons: u8,
    pub servers: u8,
    pub pool: &'static str,
    pub repeat: Repeat,
    pub calls_per_s: u32,
}

/// What a server does with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    Sound,
    /// It answers half of the requests with an error.
    Failing,
    /// It breaks the connection of half of the requests.
    Dropping,
    /// It rejects all requests.
    Full,
    /// It accepts no connections.
    Down,
}

pub struct Backend {
    pub address: SocketAddr,
    pub incarnation: u32,
    pub health: Health,
    /// Requests per second that it states to take.
    pub limit: Option<f64>,
    /// Whether it states that it leaves.
    pub is_leaving: bool,
    /// Time for which it wants no requests of a daemon that it turns away.
    pub rest: Option<Duration>,
    running: usize,
}

impl Backend {
    /// What its answers state.
    fn statement(&self) -> Statement {
        let request_limit = self.limit.map_or(RequestLimit::Unstated, RequestLimit::PerSecond);
        Statement { request_limit, is_leaving: self.is_leaving, ..Statement::default() }
    }
}

/// A request at a daemon: a caller's, or one that another daemon handed over.
struct Hop {
    call: usize,
    arrived_at: Time,
    attempt: u32,
    /// The handover by which it came: daemon, request and attempt there.
    from: Option<(usize, Key, u32)>,
}

/// The head of an answer.
#[derive(Clone, Copy)]
struct Head {
    server: usize,
    incarnation: u32,
    statement: Statement,
}

enum Happening {
    Report { daemon: usize, key: Key, attempt: u32, report: Report, head: Option<Head> },
    HandoverEnded { daemon: usize, key: Key, attempt: u32, end: HandoverEnd },
    Freed(usize),
}

/// One day.
pub struct Day {
    pub(super) site: Site,
    pub(super) setup: Setup,
    pub(super) rng: fastrand::Rng,
    pub(super) backends: Vec<Backend>,
    /// The registrations of servers, and the offset up to which each daemon has read them.
    pub(super) log: Vec<Record>,
    pub(super) read: Vec<u64>,
    /// When daemons that are down start again, or, if frozen, go on.
    pub(super) back_at: BTreeMap<usize, (Time, bool)>,
    /// When a partition of daemons ends, and the cut of daemons from servers.
    pub(super) heals_at: Time,
    hops: BTreeMap<(usize, Key), Hop>,
    due: BTreeMap<(Time, u64), Happening>,
    /// Arrivals at servers, by request of a caller.
    arrived: Vec<u32>,
    /// When callers sent their requests.
    called_at: Vec<Time>,
    arrivals: Arrivals,
    pub limits: Limits,
    pub notices: Notices,
    sequence: u64,
    answered: usize,
    /// Time from the arrival of each request that was refused to its refusal.
    refused_after: Vec<Duration>,
}

impl Day {
    pub fn new(setup: Setup, seed: u64) -> Self {
        let backends = (0..setup.servers).map(|number| Backend {
            address: address(FIRST_SERVER_ADDRESS + number),
            incarnation: 0,
            health: Health::Sound,
            limit: None,
            is_leaving: false,
            rest: None,
            running: 0,
        });
        let backends: Vec<Backend> = backends.collect();
        let records =
            backends.iter().enumerate().map(|(number, _)| registration(&setup, number, 0));
        let records: Vec<(String, String)> = records.collect();
        let log = records.iter().enumerate().map(|(offset, (key, value))| Record {
            key: key.clone(),
            offset: offset as u64,
            value: Some(value.clone().into_bytes()),
        });
        Self {
            site: Site::new(setup.daemons, &borrowed(&records)),
            rng: fastrand::Rng::with_seed(seed),
            log: log.collect(),
            read: vec![records.len() as u64; usize::from(setup.daemons)],
            backends,
            setup,
            back_at: BTreeMap::new(),
            heals_at: Time::ZERO,
            hops: BTreeMap::new(),
            due: BTreeMap::new(),
            arrived: Vec::new(),
            called_at: Vec::new(),
            arrivals: Arrivals::default(),
            limits: Limits::default(),
            notices: Notices::default(),
            sequence: 0,
            answered: 0,
            refused_after: Vec::new(),
        }
    }

    /// Lets callers send requests for `span`, with one of `faults` every few seconds.
    pub fn play(&mut self, span: Duration, faults: &[Fault]) {
        let end = self.site.now + span;
        let mut next_fault = self.site.now + ms(1_000);
        while self.site.now < end {
            if !faults.is_empty() && self.site.now >= next_fault {
                next_fault = self.site.now + ms(self.rng.u64(300..3_000));
                let fault = faults[self.rng.usize(..faults.len())];
                self.strike(fault);
            }
            self.step();
        }
    }

    fn step(&mut self) {
        self.arrivals.begin_step();
        self.return_daemons();
        self.read_store();
        self.send_calls();
        self.site.advance(STEP);
        self.settle();
    }

    pub fn usage(&self) -> Usage {
        self.arrivals.max_usage(POLICY.retry_slack)
    }

    pub fn now(&self) -> Time {
        self.site.now
    }

    pub fn answered(&self) -> usize {
        self.answered
    }

    /// Times from the arrival of each request that was refused to its refusal, since the last call.
    pub fn take_refusals(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.refused_after)
    }

    /// Some servers state a limit from now on, or none.
    pub fn set_limit(&mut self, servers: std::ops::Range<usize>, limit: Option<f64>) {
        let now = self.site.now;
        for number in servers {
            self.backends[number].limit = limit;
            self.limits.set(now, number, limit);
        }
    }

    pub(super) fn is_up(&self, daemon: usize) -> bool {
        !self.site.down.contains(&daemon)
    }

    fn send_calls(&mut self) {
        let expected = f64::from(self.setup.calls_per_s) * STEP.as_secs_f64() + self.rng.f64();
        for _ in 0..expected as u32 {
            self.arrivals.note_request();
            self.arrived.push(0);
            self.called_at.push(self.site.now);
            let daemon = self.rng.usize(..self.site.daemons.len());
            if self.is_up(daemon) {
                self.arrive(daemon, self.arrived.len() - 1, None);
            }
        }
        self.settle();
    }

    fn arrive(&mut self, daemon: usize, call: usize, from: Option<(usize, Key, u32)>) {
        self.sequence += 1;
        let key = Key(1_000_000 + self.sequence);
        let route = route(self.setup.pool, self.setup.repeat, 2);
        let part = Part { id: self.rng.u64(1..60), tokens: 300 };
        let prompt = Prompt { model: "m".into(), input: 300, output: 40, parts: vec![part] };
        let now = self.site.clock(daemon);
        let arrival = Arrival {
            request: key,
            id: format!("call-{call}"),
            deadline: now + route.timeout,
            route,
            workspace: None,
            cohort: Cohort::default(),
            prompt: (self.setup.pool == "engines").then_some(prompt),
            fingerprint: Fingerprint(call as u64),
            is_handed_over: from.is_some(),
            start: Start::New,
        };
        self.hops.insert((daemon, key), Hop { call, arrived_at: self.site.now, attempt: 0, from });
        self.site.apply(daemon, Message::Arrive(Box::new(arrival)));
    }

    fn schedule(&mut self, after: Duration, happening: Happening) {
        self.sequence += 1;
        self.due.insert((self.site.now + after, self.sequence), happening);
    }

    /// Carries out the daemons' commands and what is due by now.
    fn settle(&mut self) {
        loop {
            for (daemon, key, command) in self.site.take_commands() {
                self.execute(daemon, key, command);
            }
            let next = self.due.first_entry().filter(|next| next.key().0 <= self.site.now);
            match next {
                Some(next) => {
                    let happening = next.remove();
                    self.happen(happening);
                }
                None if self.site.sent_commands.iter().all(Vec::is_empty) => return,
                None => {}
            }
        }
    }

    fn execute(&mut self, daemon: usize, key: Key, command: Command) {
        match command {
            Command::Dispatch(dispatch) => self.dispatch(daemon, key, &dispatch),
            Command::HandOver(handover) => self.hand_over(daemon, key, &handover),
            Command::Refuse(code, _) => self.end(daemon, key, Some(code)),
            Command::GiveUp => self.end(daemon, key, None),
        }
    }

    fn dispatch(&mut self, daemon: usize, key: Key, dispatch: &Dispatch) {
        let Some(hop) = self.hops.get_mut(&(daemon, key)) else { return };
        hop.attempt = dispatch.attempt;
        let (call, attempt) = (hop.call, dispatch.attempt);
        let number = self.backends.iter().position(|b| b.address == dispatch.address);
        let number = number.expect("daemons know only these servers");
        let health = self.backends[number].health;
        let incarnation = self.backends[number].incarnation;
        let statement = self.backends[number].statement();
        let has_limit = dispatch.has_limit;
        let report = |report| {
            let is_answer = matches!(report, Report::Begun(_) | Report::Failed);
            let states = is_answer || matches!(report, Report::Refused(Refusal::Busy));
            let mut statement = statement;
            if is_answer && has_limit && statement.request_limit == RequestLimit::Unstated {
                statement.request_limit = RequestLimit::Ended;
            }
            let head = Head { server: number, incarnation, statement };
            let head = Some(head).filter(|_| states);
            Happening::Report { daemon, key, attempt, report, head }
        };
        if self.site.cuts.contains_key(&daemon) || health == Health::Down {
            return self.schedule(ROUND_TRIP, report(Report::Unsent));
        }
        if self.arrived[call] > 0 {
            self.arrivals.note_retry();
        }
        self.arrived[call] += 1;
        self.limits.note_arrival(self.site.now, number, daemon);
        let (now, id) = (self.site.now, server_id(number, incarnation));
        self.notices.note_arrival(now, &id, daemon, self.called_at[call]);
        let backend = &mut self.backends[number];
        if dispatch.server != server_id(number, backend.incarnation) {
            return self.schedule(ROUND_TRIP, report(Report::Refused(Refusal::Replaced)));
        }
        if let Some(rest) = backend.rest {
            let statement = Statement { rest: Some(rest), ..statement };
            let head = Some(Head { server: number, incarnation, statement });
            let report = Report::Refused(Refusal::Busy);
            let turned_away = Happening::Report { daemon, key, attempt, report, head };
            return self.schedule(ROUND_TRIP, turned_away);
        }
        if health == Health::Full || backend.running >= SERVER_ROOM {
            return self.schedule(ROUND_TRIP, report(Report::Refused(Refusal::Busy)));
        }
        backend.running += 1;
        self.schedule(ANSWER, Happening::Freed(number));
        match health {
            Health::Failing if self.rng.bool() => self.schedule(FIRST_BYTE, report(Report::Failed)),
            Health::Dropping if self.rng.bool() => {
                self.schedule(FIRST_BYTE, report(Report::Lost(Loss::Connection)));
            }
            _ => {
                self.schedule(FIRST_BYTE, report(Report::Begun(Some(1))));
                self.schedule(ANSWER, report(Report::Ended));
            }
        }
    }

    fn hand_over(&mut self, daemon: usize, key: Key, handover: &Handover) {
        let Some(hop) = self.hops.get_mut(&(daemon, key)) else { return };
        hop.attempt = handover.attempt;
        let (call, attempt) = (hop.call, handover.attempt);
        let taker = (0..self.site.daemons.len())
            .find(|taker| handover_address(*taker as u8 + 1) == handover.address)
            .expect("a request is handed to a daemon");
        if !self.is_up(taker) {
            let end = HandoverEnd::NotTaken;
            let ended = Happening::HandoverEnded { daemon, key, attempt, end };
            return self.schedule(ROUND_TRIP, ended);
        }
        self.arrive(taker, call, Some((daemon, key, attempt)));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Report { daemon, key, attempt, report, head } => {
                if let Some((at, true)) = self.back_at.get(&daemon) {
                    let wait = at.saturating_sub(self.site.now) + STEP;
                    let late = Happening::Report { daemon, key, attempt, report, head };
                    return self.schedule(wait, late);
                }
                self.state(daemon, key, attempt, head);
                self.site.report(daemon, key, attempt, report);
                let current = self.hops.get(&(daemon, key)).map(|hop| hop.attempt);
                if report == Report::Ended && current == Some(attempt) {
                    self.answered += 1;
                    self.end(daemon, key, None);
                }
            }
            Happening::HandoverEnded { daemon, key: request, attempt, end } => {
                self.site.apply(daemon, Message::HandoverEnded { request, attempt, end });
            }
            Happening::Freed(number) => self.backends[number].running -= 1,
        }
    }

    /// A daemon gets the head of an answer.
    fn state(&mut self, daemon: usize, request: Key, attempt: u32, head: Option<Head>) {
        let Some(Head { server, incarnation, statement }) = head else { return };
        let Some(hop) = self.hops.get(&(daemon, request)) else { return };
        let origin = hop.from;
        if !statement.is_empty() {
            self.site.apply(daemon, Message::Stated { request, attempt, statement });
        }
        let (now, id) = (self.site.now, server_id(server, incarnation));
        if matches!(statement.request_limit, RequestLimit::PerSecond(_)) {
            self.limits.note_told(now, server, daemon);
        }
        if statement.is_leaving {
            self.notices.note_leaving(now, &id, daemon);
            if let Some((origin, ..)) = origin {
                self.notices.note_leaving(now, &id, origin);
            }
        }
        if let Some(rest) = statement.rest {
            self.notices.note_rest(now, &id, daemon, rest);
        }
    }

    /// A request ends at a daemon, as refused with this code or otherwise.
    fn end(&mut self, daemon: usize, key: Key, refused: Option<Code>) {
        let Some(Hop { from, arrived_at, .. }) = self.hops.remove(&(daemon, key)) else { return };
        if refused.is_some() {
            self.refused_after.push(self.site.now.saturating_sub(arrived_at));
        }
        let Some((origin, of, attempt)) = from else { return };
        // As the relay judges the answer of a peer.
        let is_final = !matches!(
            refused,
            Some(Code::HandoverRefused | Code::ServersUnreachable | Code::RetriesExhausted)
        );
        let end = if is_final { HandoverEnd::Answered } else { HandoverEnd::NotTaken };
        let ended = Happening::HandoverEnded { daemon: origin, key: of, attempt, end };
        self.schedule(ROUND_TRIP, ended);
        if is_final {
            self.hops.remove(&(origin, of));
        }
    }

    /// Drops the requests of a daemon that ends.
    pub(super) fn drop_hops(&mut self, daemon: usize) {
        self.hops.retain(|(at, _), _| *at != daemon);
        self.site.sent_commands[daemon].clear();
    }
}

/// Returns the seeds to play: those of an environment variable, such as `100..160`, or `default`.
pub fn seeds(variable: &str, default: std::ops::Range<u64>) -> std::ops::Range<u64> {
    let Ok(text) = std::env::var(variable) else { return default };
    let (from, to) = text.split_once("..").expect("the seeds are a range");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// Returns the number of daemons: that of an environment variable, or `default`.
pub fn daemons(variable: &str, default: u8) -> u8 {
    let text = std::env::var(variable).ok();
    text.map_or(default, |text| text.parse().expect("a number"))
}

pub fn server_id(number: usize, incarnation: u32) -> String {
    format!("s-{number}-{incarnation}")
}

/// The registration of a server.
pub fn registration(setup: &Setup, number: usize, incarnation: u32) -> (String, String) {
    let last = usize::from(FIRST_SERVER_ADDRESS) + number;
    let value = match setup.pool {
        "engines" => format!("engine {last} ready 1"),
        _ => format!("plain {last} ready"),
    };
    (server_id(number, incarnation), value)
}
