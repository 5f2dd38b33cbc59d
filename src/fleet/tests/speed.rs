//! Placement by learnt speeds: servers that differ, turn slow, hang or slow down when nearly full.

use super::world::*;
use crate::fleet::*;
use crate::prelude::*;
use crate::route::{Repeat, Route};

/// Prompt tokens of a request, which an engine of the assumed speed reads in 20 ms.
const TOKENS: u32 = 1_000;
const READ_MS: f64 = 20.0;
/// Milliseconds of a request at a plain server.
const PLAIN_MS: f64 = 40.0;
/// Milliseconds from the first token to the end of an answer.
const ANSWER_MS: u64 = 20;

const ENGINES: [(&str, &str); 3] =
    [("slow", "engine 21 ready 1"), ("usual", "engine 22 ready 1"), ("fast", "engine 23 ready 1")];
const PLAIN: [(&str, &str); 2] = [("p-1", "plain 11 ready"), ("p-2", "plain 12 ready")];

/// What a server does with the requests that it gets.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behaviour {
    /// It works at this multiple of the assumed speed.
    Speed(f64),
    /// Each plain request beyond this number takes more than twice as long.
    SlowBeyond(u32),
    /// It answers at once with an error.
    Fails,
    /// It does not answer.
    Hangs,
}

/// A request that was sent, and what comes back.
#[derive(Debug, Clone)]
struct Sent {
    key: Key,
    dispatch: Dispatch,
    at: Time,
    due: Vec<(Time, Report)>,
}

/// One daemon before servers whose answers take time. Engines read one prompt after another.
struct World {
    daemon: Daemon,
    route: Arc<Route>,
    servers: BTreeMap<String, Behaviour>,
    free_at: BTreeMap<String, Time>,
    sent: Vec<Sent>,
    /// Server, time of the send and time to the first token of each answer that began.
    begun: Vec<(String, Time, Duration)>,
    refused: u32,
    commands: Vec<Command>,
    now: Time,
}

impl World {
    fn new(learns_capacity: bool, records: &[(&str, &str)], pool: &str) -> Self {
        let identity = Daemon::new(1).node.identity.clone();
        let policy = Policy { learns_capacity, ..POLICY };
        let mut daemon = Daemon::with_node(Node::new(identity, policy, decode, &[]));
        daemon.deliver_records(ms(0), Topic::Operator, &[("config", "table 1")]);
        daemon.deliver_records(ms(0), Topic::Servers, records);
        daemon.deliver_records(ms(0), Topic::Routers, &[("router-1", "router 1")]);
        let servers = records.iter().map(|(id, _)| ((*id).to_owned(), Behaviour::Speed(1.0)));
        Self {
            daemon,
            route: route(pool, Repeat::AtMostOnce, 1),
            servers: servers.collect(),
            free_at: BTreeMap::new(),
            sent: Vec::new(),
            begun: Vec::new(),
            refused: 0,
            commands: Vec::new(),
            now: ms(1_000),
        }
    }

    fn engines(learns_capacity: bool, speeds: [f64; 3]) -> Self {
        let mut world = Self::new(learns_capacity, &ENGINES, "engines");
        for ((id, _), speed) in ENGINES.iter().zip(speeds) {
            world.behave(id, Behaviour::Speed(speed));
        }
        world
    }

    fn behave(&mut self, server: &str, behaviour: Behaviour) {
        self.servers.insert(server.to_owned(), behaviour);
    }

    fn prompt(&self) -> Option<Prompt> {
        let parts = vec![Part { id: u64::MAX, tokens: TOKENS }];
        let prompt = Prompt { model: "m".into(), input: TOKENS, output: 13, parts };
        (self.route.splits[0].pool == "engines").then_some(prompt)
    }

    /// Lets requests arrive for `span`, one each `gap`.
    fn play(&mut self, span: Duration, gap: Duration) {
        self.play_groups(span, gap, 1);
    }

    /// Lets `size` requests arrive together for `span`, each `gap`.
    fn play_groups(&mut self, span: Duration, gap: Duration, size: u32) {
        let end = self.now + span;
        let mut next = self.now;
        while self.now < end {
            self.deliver_answers();
            if self.now >= next {
                next += gap;
                (0..size).for_each(|_| self.arrive());
            }
            if self.now.as_millis().is_multiple_of(20) {
                let effects = self.daemon.tick(self.now);
                self.execute(effects);
            }
            self.now += ms(1);
        }
    }

    fn arrive(&mut self) {
        let (route, prompt) = (Arc::clone(&self.route), self.prompt());
        let (_, effects) = self.daemon.arrive(self.now, &route, prompt);
        self.execute(effects);
    }

    fn deliver_answers(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for sent in &mut self.sent {
            while sent.due.first().is_some_and(|(at, _)| *at <= now) {
                let (_, report) = sent.due.remove(0);
                due.push((sent.key, sent.dispatch.clone(), sent.at, report));
            }
        }
        self.sent.retain(|sent| !sent.due.is_empty());
        for (key, dispatch, at, report) in due {
            if matches!(report, Report::Begun(_)) {
                self.begun.push((dispatch.server.clone(), at, now - at));
            }
            let effects = self.daemon.report(now, key, dispatch.attempt, report);
            self.execute(effects);
        }
    }

    fn execute(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            let Effect::Command(key, command) = effect else { continue };
            self.commands.push(command.clone());
            match command {
                Command::Dispatch(dispatch) => {
                    let due = self.serve(&dispatch);
                    self.sent.push(Sent { key, dispatch, at: self.now, due });
                }
                Command::Refuse(..) | Command::GiveUp => self.refused += 1,
                Command::HandOver(_) => {}
            }
        }
    }

    /// The reports on a request that a server has just received.
    fn serve(&mut self, dispatch: &Dispatch) -> Vec<(Time, Report)> {
        let is_plain = dispatch.weights_version.is_none();
        let here = self.sent.iter().filter(|sent| sent.dispatch.server == dispatch.server).count();
        let (work_ms, speed) = match self.servers[&dispatch.server] {
            Behaviour::Fails => return vec![(self.now + ms(1), Report::Failed)],
            Behaviour::Hangs => return vec![(Time::MAX, Report::Ended)],
            Behaviour::Speed(speed) if is_plain => (PLAIN_MS, speed),
            Behaviour::Speed(speed) => (READ_MS, speed),
            Behaviour::SlowBeyond(most) => (PLAIN_MS, if here as u32 >= most { 0.45 } else { 1.0 }),
        };
        let work = Duration::from_secs_f64(work_ms / speed / 1_000.0);
        let free_at = self.free_at.entry(dispatch.server.clone()).or_default();
        let starts = if is_plain { self.now } else { self.now.max(*free_at) };
        *free_at = starts + work;
        let begins = starts + work;
        let ends = if is_plain { begins } else { begins + ms(ANSWER_MS) };
        vec![(begins, Report::Begun(dispatch.weights_version)), (ends, Report::Ended)]
    }

    /// Answers of a server to requests that were sent since a time.
    fn answers(&self, server: &str, since: Time) -> Vec<Duration> {
        let of = self.begun.iter().filter(|(id, at, _)| id == server && *at >= since);
        of.map(|(_, _, waited)| *waited).collect()
    }

    fn count(&self, server: &str, since: Time) -> usize {
        self.answers(server, since).len()
    }

    /// Mean time to the first token of requests that were sent since a time.
    fn mean(&self, since: Time) -> Duration {
        let of = self.begun.iter().filter(|(_, at, _)| *at >= since);
        let waits: Vec<Duration> = of.map(|(_, _, waited)| *waited).collect();
        waits.iter().sum::<Duration>() / waits.len().max(1) as u32
    }

    fn server(&self, id: &str) -> &Server {
        let mut servers = self.daemon.node.servers.values();
        servers.find(|known| known.entry.incarnation.id == id).expect("a known server")
    }

    fn slowness(&self, server: &str) -> f64 {
        self.daemon.node.slowness(self.now, self.server(server))
    }

    /// The factor that was learnt from a server's answers.
    fn learnt(&self, server: &str) -> Option<f32> {
        self.server(server).speed.report(self.now).map(|report| report.factor)
    }
}

/// Mean time to the first token, and answers by server, of engines of three speeds.
fn uneven_engines(learns_capacity: bool) -> (Duration, [usize; 3], Duration) {
    let mut world = World::engines(learns_capacity, [0.6, 1.0, 1.6]);
    world.play(ms(3_000), ms(7));
    let since = world.now;
    world.play(ms(6_000), ms(7));
    let slowest = world.answers("slow", since).into_iter().max().unwrap_or_default();
    let counts = ENGINES.map(|(id, _)| world.count(id, since));
    (world.mean(since), counts, slowest)
}

#[test]
fn uneven_engines_get_work_by_their_speed() {
    let (mean, [slow, usual, fast], slowest) = uneven_engines(true);
    let (mean_off, _, slowest_off) = uneven_engines(false);
    assert!(slow < usual && usual < fast, "{slow} {usual} {fast}");
    let share = fast as f64 / slow as f64;
    assert!((1.8..6.0).contains(&share), "the fast engine gets {share} times as much");
    assert!(slowest < slowest_off, "{slowest:?} at the slow engine, {slowest_off:?} without");
    assert!(mean < mean_off, "{mean:?}, {mean_off:?} without");
}

/// Answers of an engine within a second after it has turned slow and a second later, and after it
/// was well again for two seconds.
fn turning_slow(learns_capacity: bool) -> (usize, usize, usize) {
    let mut world = World::engines(learns_capacity, [1.0; 3]);
    world.play(ms(3_000), ms(12));
    world.behave("slow", Behaviour::Speed(0.25));
    let turned = world.now;
    world.play(ms(1_000), ms(12));
    let first = world.count("slow", turned);
    let known = world.now;
    world.play(ms(2_000), ms(12));
    let second = world.count("slow", known);
    world.behave("slow", Behaviour::Speed(1.0));
    world.play(ms(4_000), ms(12));
    let well = world.now;
    world.play(ms(2_000), ms(12));
    (first, second, world.count("slow", well))
}

#[test]
fn engine_that_turns_slow_is_left_and_comes_back() {
    let (first, second, back) = turning_slow(true);
    let (first_off, second_off, back_off) = turning_slow(false);
    assert!(first <= first_off, "{first} requests in the first second, {first_off} without");
    assert!(second < second_off, "{second} requests in two seconds, {second_off} without");
    assert!(back as f64 > 0.6 * back_off as f64, "{back} requests when well, {back_off} without");
}

#[test]
fn equal_servers_at_the_assumed_speed_place_as_before() {
    let play = |learns_capacity, pool, records: &[(&str, &str)]| {
        let mut world = World::new(learns_capacity, records, pool);
        world.play(ms(6_000), ms(11));
        (world.commands, world.refused)
    };
    for (pool, records) in [("engines", &ENGINES[..]), ("plain", &PLAIN[..])] {
        let (on, off) = (play(true, pool, records), play(false, pool, records));
        assert!(on.0.len() > 400, "{} commands", on.0.len());
        assert_eq!(on, off, "{pool}");
    }
}

#[test]
fn fast_errors_do_not_attract() {
    let mut world = World::new(true, &PLAIN, "plain");
    world.behave("p-1", Behaviour::Fails);
    world.play(ms(3_000), ms(30));
    assert_eq!(world.slowness("p-1"), world.slowness("p-2"));
}

#[test]
fn hanging_server_does_not_attract() {
    let mut world = World::engines(true, [1.0; 3]);
    world.play(ms(2_000), ms(20));
    world.behave("slow", Behaviour::Hangs);
    world.play(ms(1_000), ms(20));
    let since = world.now;
    let before = world.sent.iter().filter(|sent| sent.dispatch.server == "slow").count();
    world.play(ms(2_000), ms(20));
    let hanging = world.sent.iter().filter(|sent| sent.dispatch.server == "slow").count();
    assert!(hanging - before < 5, "{hanging} requests hang, {before} of them early");
    assert!(world.count("usual", since) > 30 && world.count("fast", since) > 30);
}

#[test]
fn answers_after_a_pause_show_no_speed() {
    let mut world = World::engines(true, [1.0; 3]);
    world.play(ms(2_000), ms(12));
    // The engine stops for two seconds, and then answers what it got.
    world.free_at.insert("slow".into(), world.now + ms(2_000));
    world.play(ms(2_200), ms(12));
    assert!(world.slowness("slow") < 1.3, "{}", world.slowness("slow"));
}

#[test]
fn late_and_repeated_reports_show_no_speed() {
    let mut world = World::engines(true, [1.0; 3]);
    let (route, prompt) = (Arc::clone(&world.route), world.prompt());
    for n in 0..20 {
        let at = ms(1_000 + 100 * n);
        let (key, effects) = world.daemon.arrive(at, &route, prompt.clone());
        let sent = dispatch(&effects);
        world.daemon.report(at + ms(28), key, sent.attempt, Report::Begun(Some(1)));
        // The same report again, of an attempt that never was, and after the end.
        world.daemon.report(at + ms(90), key, sent.attempt, Report::Begun(Some(1)));
        world.daemon.report(at + ms(90), key, sent.attempt + 1, Report::Begun(Some(1)));
        world.daemon.report(at + ms(91), key, sent.attempt, Report::Ended);
        world.daemon.report(at + ms(95), key, sent.attempt, Report::Begun(Some(1)));
    }
    world.now = ms(3_000);
    assert_eq!(ENGINES.map(|(id, _)| world.slowness(id)), [1.0; 3]);
}

#[test]
fn weights_loaded_meanwhile_show_no_speed() {
    let mut world = World::engines(true, [1.0; 3]);
    let (route, prompt) = (Arc::clone(&world.route), world.prompt());
    for n in 0..20 {
        let at = ms(1_000 + 100 * n);
        let (key, effects) = world.daemon.arrive(at, &route, prompt.clone());
        let sent = dispatch(&effects);
        let newer = sent.weights_version.map(|version| version + 1);
        world.daemon.report(at + ms(99), key, sent.attempt, Report::Begun(newer));
        world.daemon.report(at + ms(99), key, sent.attempt, Report::Ended);
    }
    world.now = ms(3_000);
    assert_eq!(ENGINES.map(|(id, _)| world.slowness(id)), [1.0; 3]);
}

#[test]
fn server_back_under_its_id_is_unknown() {
    let mut world = World::engines(true, [0.3, 1.0, 1.0]);
    world.play(ms(3_000), ms(15));
    assert!(world.learnt("slow").is_some_and(|factor| factor > 2.0), "{:?}", world.learnt("slow"));
    let now = world.now;
    world.daemon.deliver_records(now, Topic::Servers, &[("slow", "engine 21 ready 1 born:77")]);
    assert_eq!(world.learnt("slow"), None);
}

#[test]
fn two_schedulers_with_different_estimates_both_place() {
    let mut one = World::engines(true, [0.3, 1.0, 1.0]);
    one.play(ms(3_000), ms(15));
    let mut two = World::engines(true, [1.0; 3]);
    two.now = one.now;
    for world in [&mut one, &mut two] {
        let since = world.now;
        world.play(ms(2_000), ms(15));
        assert!(world.refused == 0 && world.begun.iter().any(|(_, at, _)| *at >= since));
    }
    assert!(one.learnt("slow") > two.learnt("slow"));
}

/// Mean time of answers of plain servers that slow down with their last slot, and the refusals, as
/// three requests arrive together.
fn nearly_full(learns_capacity: bool, gap: Duration) -> (Duration, u32) {
    let mut world = World::new(learns_capacity, &PLAIN, "plain");
    for (id, _) in PLAIN {
        world.behave(id, Behaviour::SlowBeyond(1));
    }
    world.play_groups(ms(6_000), gap, 3);
    let since = world.now;
    let refused = world.refused;
    world.play_groups(ms(6_000), gap, 3);
    (world.mean(since), world.refused - refused)
}

#[test]
fn nearly_full_server_gets_fewer_requests_at_once() {
    let (mean, refused) = nearly_full(true, ms(72));
    let (mean_off, refused_off) = nearly_full(false, ms(72));
    assert!(mean < mean_off, "{mean:?}, {mean_off:?} without");
    assert!(refused <= refused_off, "{refused} refused, {refused_off} without");
}

#[test]
fn overloaded_server_refuses_no_more() {
    let (_, refused) = nearly_full(true, ms(48));
    let (_, refused_off) = nearly_full(false, ms(48));
    assert!(refused_off > 0 && refused <= refused_off, "{refused}, {refused_off} without");
}

#[test]
fn waiting_request_takes_any_slot_before_its_refusal() {
    let mut world = World::new(true, &PLAIN, "plain");
    for (id, _) in PLAIN {
        world.behave(id, Behaviour::SlowBeyond(1));
    }
    world.play_groups(ms(3_000), ms(72), 3);
    world.play(ms(500), ms(1_000));
    for (id, _) in PLAIN {
        world.behave(id, Behaviour::Hangs);
    }
    let refused = world.refused;
    (0..3).for_each(|_| world.arrive());
    assert_eq!(world.sent.len(), 2, "one at each server");
    let waits = world.now;
    while world.sent.len() < 3 && world.now < waits + ms(400) {
        let effects = world.daemon.tick(world.now);
        world.execute(effects);
        world.now += ms(10);
    }
    assert_eq!((world.sent.len(), world.refused), (3, refused));
    assert!(world.now >= waits + ms(100), "it waits first");
}
