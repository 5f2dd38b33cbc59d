//! Crowds of requests before engines that end: by the request of one caller, or by themselves.
//!
//! What is measured: who is blocked, how many engines the culprits end, and how many of the others are answered
//! in the end.

use std::net::SocketAddr;

use super::site::Site;
use super::world::*;
use crate::fleet::*;
use crate::poison::Fingerprint;
use crate::prelude::*;
use crate::route::Repeat;

/// Subjects of the prompts: each has its home engines, where those that ask for it meet.
const SUBJECTS: u64 = 12;
/// Time between two looks at the world.
const STEP: Duration = Duration::from_millis(10);
/// Engines of the pool.
pub const ENGINES: u8 = 18;
/// Time from an end to the next start in its place.
const BACK_AFTER: Duration = Duration::from_millis(1_500);
/// Time from the start of a culprit's run to its engine's end.
const FATAL_AFTER: Duration = Duration::from_millis(50);
/// Engines that end by a request before it may be known for that.
const KNOWN_BY: usize = 3;
/// Time in which it is to be known everywhere.
pub const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Tries that may reach engines after that.
pub const MOST_LATE_TRIES: u64 = 3;
/// Tries of a caller whose request broke.
const TRIES: u32 = 6;

/// What ends engines.
#[derive(Clone, Copy)]
struct Trouble {
    /// Requests that end engines, and how often each comes.
    culprits: u64,
    every: Duration,
    /// How often an engine ends by itself.
    by_itself: Duration,
}

/// A caller's request, whichever try it is at.
#[derive(Debug, Clone, Copy)]
pub struct Wish {
    pub fingerprint: Fingerprint,
    pub is_fatal: bool,
    pub tries: u32,
}

/// A request on its way.
#[derive(Debug)]
struct Flight {
    wish: Wish,
    address: Option<SocketAddr>,
    attempt: u32,
    begins: Time,
    ends: Time,
    begun: bool,
}

#[derive(Debug, Default)]
pub struct Tally {
    pub asked: u64,
    pub answered: u64,
    pub blocked: u64,
    pub ended: u64,
    /// Engines that ended under a culprit.
    pub by_culprits: u64,
    /// Tries of the culprit that had most of them, later than [`KNOWN_WITHIN`] after the third such end.
    pub late_tries: u64,
    /// Times that a culprit came as late.
    pub late_asks: u64,
}

pub struct Crowd {
    pub site: Site,
    pub rng: fastrand::Rng,
    engines: u8,
    /// Time from the start of a culprit's run to its engine's end.
    pub fatal_after: Duration,
    flights: BTreeMap<(usize, Key), Flight>,
    /// Callers that come back, and when.
    back: Vec<(Time, Wish)>,
    /// Engines to start, and when.
    starts: Vec<(Time, u8)>,
    /// Names of engines, by the last number of their address.
    names: BTreeMap<u8, String>,
    next: u64,
    /// When engines ended under each culprit, and its later tries.
    fatal: BTreeMap<Fingerprint, (Vec<Time>, u64)>,
    tally: Tally,
}

impl Crowd {
    pub fn new(daemons: u8, engines: u8, seed: u64) -> Self {
        let names: BTreeMap<u8, String> = (0..engines).map(|n| (n, format!("e-{n}"))).collect();
        let records: Vec<(String, String)> = names
            .iter()
            .map(|(n, id)| (id.clone(), format!("engine {} ready 1", 101 + n)))
            .collect();
        let records = borrowed(&records);
        Self {
            site: Site::new(daemons, &records),
            rng: fastrand::Rng::with_seed(seed),
            engines,
            fatal_after: FATAL_AFTER,
            flights: BTreeMap::new(),
            back: Vec::new(),
            starts: Vec::new(),
            names,
            next: 0,
            fatal: BTreeMap::new(),
            tally: Tally::default(),
        }
    }

    fn play(mut self, span: Duration, trouble: Trouble) -> Tally {
        let end = self.site.now + span;
        let mut next_fatal: Vec<Time> =
            (0..trouble.culprits).map(|n| self.site.now + ms(300 * n)).collect();
        while self.site.now < end {
            self.site.advance(STEP);
            let now = self.site.now;
            if self.rng.u32(0..100) < 90 {
                self.ask_of_its_own();
            }
            for (number, at) in next_fatal.iter_mut().enumerate().filter(|(_, at)| now >= **at) {
                *at = now + trouble.every;
                let fingerprint = Fingerprint(u64::MAX - number as u64);
                self.ask(Wish { fingerprint, is_fatal: true, tries: TRIES });
            }
            if trouble.by_itself > Duration::ZERO
                && self.rng.u64(0..trouble.by_itself.as_millis() as u64) < STEP.as_millis() as u64
            {
                let engine = self.rng.u8(0..self.engines);
                self.end(address(101 + engine));
            }
            self.settle();
        }
        self.into_tally()
    }

    /// What is due by now happens.
    pub fn settle(&mut self) {
        self.come_back();
        self.start_engines();
        self.fly();
        self.obey();
    }

    /// The outcome, at the end of a play.
    pub fn into_tally(mut self) -> Tally {
        // What is under way then is no measure of anything.
        self.tally.asked -= self.flights.values().filter(|f| !f.wish.is_fatal).count() as u64;
        self.tally.asked -= self.back.iter().filter(|(_, wish)| !wish.is_fatal).count() as u64;
        self.tally
    }

    /// A request comes that has its content for itself.
    pub fn ask_of_its_own(&mut self) {
        self.next += 1;
        self.tally.asked += 1;
        self.ask(Wish { fingerprint: Fingerprint(self.next), is_fatal: false, tries: 0 });
    }

    pub fn ask(&mut self, wish: Wish) {
        self.tally.late_asks += u64::from(self.is_late(wish.fingerprint));
        let daemon = self.rng.usize(0..self.site.daemons.len());
        self.site.daemons[daemon].fingerprint = wish.fingerprint;
        self.site.subject = wish.fingerprint.0 % SUBJECTS;
        let repeat = match wish.fingerprint.0 % 3 {
            0 => Repeat::Resumable,
            _ => Repeat::AtMostOnce,
        };
        let key = self.site.arrive(daemon, "engines", repeat);
        let flight = Flight {
            wish: Wish { tries: wish.tries + 1, ..wish },
            address: None,
            attempt: 0,
            begins: Time::MAX,
            ends: Time::MAX,
            begun: false,
        };
        self.flights.insert((daemon, key), flight);
        self.obey();
    }

    /// Does what daemons told traffic.
    fn obey(&mut self) {
        loop {
            let told = self.site.take_commands();
            if told.is_empty() {
                return;
            }
            for (daemon, key, command) in told {
                self.obey_one(daemon, key, command);
            }
        }
    }

    fn obey_one(&mut self, daemon: usize, key: Key, command: Command) {
        let now = self.site.now;
        match command {
            Command::Dispatch(dispatch) => {
                if self.site.crashed_servers.contains(&dispatch.address) {
                    return self.site.report(daemon, key, dispatch.attempt, Report::Unsent);
                }
                let begins = now + ms(self.rng.u64(20..60));
                let lasts = ms(self.rng.u64(300..4_000));
                self.note_late_try(daemon, key);
                if let Some(flight) = self.flights.get_mut(&(daemon, key)) {
                    flight.address = Some(dispatch.address);
                    flight.attempt = dispatch.attempt;
                    (flight.begins, flight.begun) = (begins, false);
                    flight.ends =
                        begins + if flight.wish.is_fatal { self.fatal_after } else { lasts };
                }
            }
            Command::Refuse(Code::RequestBlocked, _) => {
                let Some(flight) = self.flights.remove(&(daemon, key)) else { return };
                match flight.wish.is_fatal {
                    true => self.send_back(flight.wish),
                    false => self.tally.blocked += 1,
                }
            }
            Command::Refuse(..) | Command::GiveUp => {
                let Some(flight) = self.flights.remove(&(daemon, key)) else { return };
                self.send_back(flight.wish);
            }
        }
    }

    /// The caller of a request that failed asks again soon, if it has tries left.
    fn send_back(&mut self, wish: Wish) {
        if wish.tries < TRIES {
            let at = self.site.now + ms(self.rng.u64(50..300));
            self.back.push((at, wish));
        }
    }

    fn note_late_try(&mut self, daemon: usize, key: Key) {
        let Some(flight) = self.flights.get(&(daemon, key)) else { return };
        let fingerprint = flight.wish.fingerprint;
        if !self.is_late(fingerprint) {
            return;
        }
        let Some((_, tries)) = self.fatal.get_mut(&fingerprint) else { return };
        *tries += 1;
        self.tally.late_tries = self.tally.late_tries.max(*tries);
    }

    /// A culprit is to be known everywhere by now.
    fn is_late(&self, fingerprint: Fingerprint) -> bool {
        let third = self.fatal.get(&fingerprint).and_then(|(ends, _)| ends.get(KNOWN_BY - 1));
        third.is_some_and(|third| self.site.now > *third + KNOWN_WITHIN)
    }

    fn come_back(&mut self) {
        let now = self.site.now;
        let due: Vec<Wish> =
            self.back.iter().filter(|(at, _)| now >= *at).map(|(_, wish)| *wish).collect();
        self.back.retain(|(at, _)| now < *at);
        for wish in due {
            self.ask(wish);
        }
    }

    fn start_engines(&mut self) {
        let now = self.site.now;
        let due: Vec<u8> =
            self.starts.iter().filter(|(at, _)| now >= *at).map(|(_, n)| *n).collect();
        self.starts.retain(|(at, _)| now < *at);
        for engine in due {
            self.next += 1;
            let former = self.names.insert(engine, format!("e-{engine}-{}", self.next));
            self.site.crashed_servers.remove(&address(101 + engine));
            let value = format!("engine {} ready 1", 101 + engine);
            let name = self.names[&engine].clone();
            for daemon in &mut self.site.daemons {
                let records = [(former.as_deref().unwrap_or_default(), ""), (&name, &value)];
                daemon.deliver_records(now, Topic::Servers, &records);
            }
        }
    }

    /// Requests begin and end.
    fn fly(&mut self) {
        let now = self.site.now;
        let due = self
            .flights
            .iter()
            .filter(|(_, flight)| now >= flight.ends || (now >= flight.begins && !flight.begun));
        let due: Vec<(usize, Key)> = due.map(|(key, _)| *key).collect();
        for (daemon, key) in due {
            let Some(flight) = self.flights.get_mut(&(daemon, key)) else { continue };
            let (attempt, wish) = (flight.attempt, flight.wish);
            if !flight.begun && !wish.is_fatal {
                flight.begun = true;
                self.site.report(daemon, key, attempt, Report::Begun(Some(1)));
                continue;
            }
            if now < flight.ends {
                continue;
            }
            if wish.is_fatal {
                if let Some(address) = flight.address {
                    self.tally.by_culprits += 1;
                    self.fatal.entry(wish.fingerprint).or_default().0.push(now);
                    self.end(address);
                }
                continue;
            }
            self.flights.remove(&(daemon, key));
            self.tally.answered += 1;
            self.site.report(daemon, key, attempt, Report::Ended);
        }
    }

    /// Ends an engine, and with it all that runs there.
    fn end(&mut self, at: SocketAddr) {
        if !self.site.crashed_servers.insert(at) {
            return;
        }
        self.tally.ended += 1;
        let engine = (0..self.engines).find(|n| address(101 + n) == at).expect("it is one of them");
        self.starts.push((self.site.now + BACK_AFTER, engine));
        let there = self.flights.iter().filter(|(_, flight)| flight.address == Some(at));
        let mut there: Vec<(usize, Key)> = there.map(|(key, _)| *key).collect();
        self.rng.shuffle(&mut there);
        for (daemon, key) in there {
            let Some(flight) = self.flights.get_mut(&(daemon, key)) else { continue };
            (flight.address, flight.begins, flight.ends) = (None, Time::MAX, Time::MAX);
            let attempt = flight.attempt;
            self.site.report(daemon, key, attempt, Report::Lost(Loss::Connection));
        }
    }
}

/// Seeds that are played here; more by hand with `BESIDE_SEEDS`.
fn seeds() -> u64 {
    std::env::var("BESIDE_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(6)
}

fn play(daemons: u8, trouble: Trouble) -> Vec<Tally> {
    play_seeds(daemons, trouble, &(0..seeds()).collect::<Vec<u64>>())
}

fn play_seeds(daemons: u8, trouble: Trouble, seeds: &[u64]) -> Vec<Tally> {
    let played = seeds.iter().map(|seed| {
        let tally = Crowd::new(daemons, ENGINES, *seed).play(ms(20_000), trouble);
        println!("{daemons} daemons, {} culprits, seed {seed}: {tally:?}", trouble.culprits);
        tally
    });
    played.collect()
}

#[test]
fn requests_beside_culprits_are_answered_and_never_blocked() {
    for culprits in [1, 3] {
        let trouble = Trouble { culprits, every: ms(700), by_itself: Duration::ZERO };
        for tally in play(7, trouble) {
            assert_eq!(tally.blocked, 0, "{tally:?}");
            assert!(tally.late_tries <= MOST_LATE_TRIES, "{tally:?}");
            assert!(tally.answered * 1_000 >= tally.asked * 999, "{tally:?}");
        }
    }
}

#[test]
fn engines_that_end_by_themselves_block_nobody() {
    let trouble = Trouble { culprits: 0, every: ms(700), by_itself: ms(500) };
    blocks_nobody(play(7, trouble));
}

// One request of each of these crowds was at six of some forty ends by chance.
#[test]
fn engines_that_end_by_themselves_block_nobody_that_meets_six_of_their_ends() {
    let trouble = Trouble { culprits: 0, every: ms(700), by_itself: ms(500) };
    blocks_nobody(play_seeds(7, trouble, &[15, 44, 49, 61, 128]));
}

fn blocks_nobody(tallies: Vec<Tally>) {
    for tally in tallies {
        assert!(tally.ended >= 10, "{tally:?}");
        assert_eq!(tally.blocked, 0, "{tally:?}");
        assert!(tally.answered * 1_000 >= tally.asked * 999, "{tally:?}");
    }
}

#[test]
fn culprit_is_found_while_engines_also_end_by_themselves() {
    let trouble = Trouble { culprits: 1, every: ms(700), by_itself: ms(1_000) };
    for tally in play(7, trouble) {
        assert!(tally.late_tries <= MOST_LATE_TRIES, "{tally:?}");
        assert_eq!(tally.blocked, 0, "{tally:?}");
        assert!(tally.answered * 1_000 >= tally.asked * 999, "{tally:?}");
    }
}
