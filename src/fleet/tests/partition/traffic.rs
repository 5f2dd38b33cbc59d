//! Callers at several daemons, and servers whose connections to some daemons are cut.

use std::net::SocketAddr;

use crate::fleet::tests::site::{Cut, Site};
use crate::fleet::tests::world::*;
use crate::fleet::*;
use crate::poison::Fingerprint;
use crate::prelude::*;
use crate::route::{Cohort, Repeat};

/// Time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(20);
/// Time in which a server answers: until the first byte, and until the last one.
const ANSWER: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(120));
/// Time until a connection is refused or accepted.
const ROUND_TRIP: Duration = Duration::from_millis(1);
/// Time after which a connect without response fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which a connection fails whose bytes are not acknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time for which an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_millis(1_300);

/// How a caller's request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// A server answered it.
    Served,
    /// It was refused as not run, with this code.
    Refused(Code),
    /// It may have run.
    Unknown,
    /// It had no answer at its deadline.
    TimedOut,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct Call {
    /// The daemon that the caller asked.
    pub daemon: usize,
    pub pool: &'static str,
    pub repeat: Repeat,
    pub sent_at: Time,
    /// Number of servers that began to run it.
    pub runs: u32,
    pub end: Option<End>,
    /// Daemons that it was handed over to.
    pub takers: Vec<usize>,
}

/// A request at a daemon: a caller's, or one that another daemon handed over.
#[derive(Debug, Clone)]
struct Hop {
    call: usize,
    /// The handover by which it came: daemon, request and attempt there.
    from: Option<(usize, Key, u32)>,
}

/// An attempt that a server works on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Attempt {
    daemon: usize,
    key: Key,
    number: u32,
    address: SocketAddr,
}

#[derive(Debug, Clone)]
enum Happening {
    Report(Attempt, Report),
    HandoverEnded(usize, Key, u32, HandoverEnd),
    Deadline(usize, Key),
}

/// Daemons with callers and servers.
pub struct Traffic {
    pub site: Site,
    pub calls: Vec<Call>,
    rng: fastrand::Rng,
    hops: BTreeMap<(usize, Key), Hop>,
    due: BTreeMap<(Time, u64), Happening>,
    sequence: u64,
    /// When connections became idle, by daemon and server.
    idle: BTreeMap<(usize, SocketAddr), Vec<Time>>,
    /// Servers that have ended.
    pub ended: BTreeSet<SocketAddr>,
    /// Requests a second at each daemon, by pool.
    pub rates: Vec<(&'static str, f64)>,
}

impl Traffic {
    pub fn new(seed: u64, daemons: u8, servers: &[(&str, &str)]) -> Self {
        Self {
            site: Site::new(daemons, servers),
            calls: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            hops: BTreeMap::new(),
            due: BTreeMap::new(),
            sequence: 0,
            idle: BTreeMap::new(),
            ended: BTreeSet::new(),
            rates: vec![("plain", 4.0), ("engines", 6.0)],
        }
    }

    /// Cuts the connections of some daemons to all servers.
    pub fn cut(&mut self, daemons: &[usize], cut: Cut) {
        for daemon in daemons {
            self.site.cuts.insert(*daemon, cut);
            if cut == Cut::Reset {
                self.idle.retain(|(of, _), _| of != daemon);
            }
        }
        if cut == Cut::OnlyNew {
            return;
        }
        let after = if cut == Cut::Silent { USER_TIMEOUT } else { Duration::ZERO };
        let broken = self.due.iter().filter_map(|(at, happening)| match happening {
            Happening::Report(attempt, _) if daemons.contains(&attempt.daemon) => {
                Some((*at, *attempt))
            }
            _ => None,
        });
        let broken: Vec<((Time, u64), Attempt)> = broken.collect();
        let mut lost: Vec<Attempt> = Vec::new();
        for (at, attempt) in broken {
            self.due.remove(&at);
            if !lost.contains(&attempt) {
                lost.push(attempt);
            }
        }
        for attempt in lost {
            self.schedule(after, Happening::Report(attempt, Report::Lost(Loss::Connection)));
        }
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.site.cuts.clear();
    }

    /// Ends a server; its connections are reset, and new ones are refused.
    pub fn end_server(&mut self, address: SocketAddr) {
        self.ended.insert(address);
        self.site.crashed_servers.insert(address);
        self.idle.retain(|(_, of), _| *of != address);
        let broken = self.due.iter().filter_map(|(at, happening)| match happening {
            Happening::Report(attempt, _) if attempt.address == address => Some((*at, *attempt)),
            _ => None,
        });
        let broken: BTreeMap<(Time, u64), Attempt> = broken.collect();
        let mut lost: Vec<Attempt> = Vec::new();
        for (at, attempt) in broken {
            self.due.remove(&at);
            if !lost.contains(&attempt) {
                lost.push(attempt);
            }
        }
        for attempt in lost {
            let report = Report::Lost(Loss::Connection);
            self.schedule(ROUND_TRIP, Happening::Report(attempt, report));
        }
    }

    /// Lets callers send requests for `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.site.now + span;
        while self.site.now < end {
            self.send_calls();
            self.site.advance(STEP);
            self.settle();
        }
    }

    fn send_calls(&mut self) {
        for daemon in 0..self.site.daemons.len() {
            for (pool, per_s) in self.rates.clone() {
                if self.rng.f64() < per_s * STEP.as_secs_f64() {
                    let repeat = match self.rng.bool() {
                        true => Repeat::AtMostOnce,
                        false => Repeat::Idempotent,
                    };
                    self.send_call(daemon, pool, repeat);
                }
            }
        }
    }

    /// A caller sends a request to a daemon.
    pub fn send_call(&mut self, daemon: usize, pool: &'static str, repeat: Repeat) {
        let call = Call {
            daemon,
            pool,
            repeat,
            sent_at: self.site.now,
            runs: 0,
            end: None,
            takers: Vec::new(),
        };
        self.calls.push(call);
        self.arrive(daemon, Hop { call: self.calls.len() - 1, from: None });
        self.settle();
    }

    fn arrive(&mut self, daemon: usize, hop: Hop) {
        self.sequence += 1;
        let key = Key(1_000_000 + self.sequence);
        let call = self.calls[hop.call].clone();
        let route = route(call.pool, call.repeat, 2);
        let subject = self.rng.u64(1_000..1_012);
        let now = self.site.clock(daemon);
        let arrival = Arrival {
            request: key,
            id: format!("call-{}", hop.call),
            deadline: now + (call.sent_at + route.timeout).saturating_sub(self.site.now),
            route,
            workspace: None,
            cohort: Cohort::default(),
            prompt: (call.pool == "engines").then(|| prompt(7, subject)),
            fingerprint: Fingerprint(hop.call as u64),
            is_handed_over: hop.from.is_some(),
            start: Start::New,
        };
        if hop.from.is_none() {
            self.schedule(arrival.route.timeout, Happening::Deadline(daemon, key));
        }
        self.hops.insert((daemon, key), hop);
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
            Command::Refuse(code, _) => self.end(daemon, key, End::Refused(code)),
            Command::GiveUp => self.end(daemon, key, End::Unknown),
        }
    }

    fn dispatch(&mut self, daemon: usize, key: Key, dispatch: &Dispatch) {
        self.drop_attempts(daemon, key);
        let Some(hop) = self.hops.get(&(daemon, key)) else { return };
        let call = hop.call;
        let (number, address) = (dispatch.attempt, dispatch.address);
        let attempt = Attempt { daemon, key, number, address };
        let now = self.site.now;
        let idle = self.idle.entry((daemon, address)).or_default();
        idle.retain(|since| now < *since + KEEP_ALIVE);
        let is_kept = idle.pop().is_some();
        let lost = Report::Lost(Loss::Connection);
        let failure = match self.site.cuts.get(&daemon) {
            Some(Cut::Silent) if is_kept => Some((USER_TIMEOUT, lost)),
            Some(Cut::Silent) => Some((CONNECT_TIMEOUT, Report::Unsent)),
            Some(Cut::OnlyNew) if is_kept => None,
            Some(Cut::Reset | Cut::OnlyNew) => Some((ROUND_TRIP, Report::Unsent)),
            None => self.ended.contains(&address).then_some((ROUND_TRIP, Report::Unsent)),
        };
        if let Some((after, report)) = failure {
            return self.schedule(after, Happening::Report(attempt, report));
        }
        self.calls[call].runs += 1;
        self.schedule(ANSWER.0, Happening::Report(attempt, Report::Begun(None)));
        self.schedule(ANSWER.1, Happening::Report(attempt, Report::Ended));
    }

    /// Drops the attempt that a new command of the daemon supersedes.
    fn drop_attempts(&mut self, daemon: usize, key: Key) {
        self.due.retain(|_, happening| match happening {
            Happening::Report(attempt, _) => (attempt.daemon, attempt.key) != (daemon, key),
            Happening::HandoverEnded(..) | Happening::Deadline(..) => true,
        });
    }

    fn hand_over(&mut self, daemon: usize, key: Key, handover: &Handover) {
        let taker = (0..self.site.daemons.len())
            .find(|taker| handover_address(*taker as u8 + 1) == handover.address)
            .expect("a request is handed to a daemon");
        assert_eq!(handover.daemon, format!("router-{}", taker + 1));
        assert_ne!(taker, daemon, "a daemon hands nothing to itself");
        let Some(hop) = self.hops.get(&(daemon, key)).cloned() else { return };
        assert!(hop.from.is_none(), "a request is handed over once");
        if self.site.down.contains(&taker) {
            let end =
                Happening::HandoverEnded(daemon, key, handover.attempt, HandoverEnd::NotTaken);
            return self.schedule(ROUND_TRIP, end);
        }
        self.calls[hop.call].takers.push(taker);
        let from = Some((daemon, key, handover.attempt));
        self.arrive(taker, Hop { call: hop.call, from });
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Report(attempt, report) => {
                let Attempt { daemon, key, number, address } = attempt;
                self.site.report(daemon, key, number, report);
                if report == Report::Ended {
                    self.idle.entry((daemon, address)).or_default().push(self.site.now);
                    self.end(daemon, key, End::Served);
                }
            }
            Happening::HandoverEnded(daemon, request, attempt, end) => {
                self.site.apply(daemon, Message::HandoverEnded { request, attempt, end });
            }
            Happening::Deadline(daemon, key) => {
                if self.hops.contains_key(&(daemon, key)) {
                    self.cancel(daemon, key);
                    self.end(daemon, key, End::TimedOut);
                }
            }
        }
    }

    /// Cancels a request at a daemon and at the one that took it over.
    fn cancel(&mut self, daemon: usize, key: Key) {
        self.drop_attempts(daemon, key);
        self.site.apply(daemon, Message::Cancel(key));
        let is_taken = |hop: &&Hop| hop.from.is_some_and(|(of, by, _)| (of, by) == (daemon, key));
        let taken = self.hops.iter().find(|(_, hop)| is_taken(hop));
        if let Some((taker, key)) = taken.map(|(at, _)| *at) {
            self.hops.remove(&(taker, key));
            self.cancel(taker, key);
        }
    }

    fn end(&mut self, daemon: usize, key: Key, end: End) {
        self.drop_attempts(daemon, key);
        let Some(hop) = self.hops.remove(&(daemon, key)) else { return };
        let Some((from, request, attempt)) = hop.from else {
            let call = &mut self.calls[hop.call];
            assert!(
                !matches!(end, End::Refused(_)) || call.runs == 0,
                "a refused request has not run: {call:?}"
            );
            call.end = Some(end);
            return;
        };
        let not_taken = end == End::Refused(Code::HandoverRefused);
        let outcome = if not_taken { HandoverEnd::NotTaken } else { HandoverEnd::Answered };
        self.schedule(ROUND_TRIP, Happening::HandoverEnded(from, request, attempt, outcome));
        if not_taken {
            self.calls[hop.call].takers.pop();
        } else {
            self.end_handed_over(from, request, end);
        }
    }

    /// Ends a request with the answer of the daemon that took it over.
    fn end_handed_over(&mut self, daemon: usize, key: Key, end: End) {
        self.end(daemon, key, end);
    }

    /// Share of the calls of some daemons that were served, of those sent within a time.
    pub fn served(&self, daemons: &[usize], from: Time, to: Time) -> f64 {
        let calls = self.calls.iter().filter(|call| {
            daemons.contains(&call.daemon) && call.sent_at >= from && call.sent_at < to
        });
        let (served, all) = calls.fold((0, 0), |(served, all), call| {
            (served + u32::from(call.end == Some(End::Served)), all + 1)
        });
        f64::from(served) / f64::from(all.max(1))
    }

    /// Number of calls by end, of those sent to some daemons within a time.
    pub fn ends(&self, daemons: &[usize], from: Time, to: Time) -> BTreeMap<Option<End>, usize> {
        let mut ends = BTreeMap::new();
        for call in &self.calls {
            if daemons.contains(&call.daemon) && call.sent_at >= from && call.sent_at < to {
                *ends.entry(call.end).or_default() += 1;
            }
        }
        ends
    }
}
