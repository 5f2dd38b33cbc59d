//! Streams while servers of several software versions serve: each goes on at the version that began it.

mod out_of_step;
mod simulation;

use simulation::{Day, Fault, Outcome};

use super::site::Site;
use super::world::*;
use crate::fleet::*;
use crate::poison::Fingerprint;
use crate::prelude::*;
use crate::route::Repeat;

const DAEMONS: u8 = 7;
/// Maximum time from the first event of a stream to its last takeup.
const MAX_AGE: Duration = Duration::from_secs(30);
/// Twice the timeout of these routes, after which takeups were once taken for those of later streams.
const TWO_TIMEOUTS: Duration = Duration::from_secs(10);
/// Maximum number of streams with events of two versions on a day, as the users state it.
const MAX_MIXED: usize = 2;
/// Number of takeups from which their share that goes on must be at least half of that of new streams.
const MIN_TAKEUPS: usize = 12;

/// Returns engines, `count` of them with the software `version`, whose ids begin with it.
fn engines(version: &str, count: u8) -> Vec<(String, String)> {
    let first = if version == "v1" { 20 } else { 60 };
    let engine = |number: u8| {
        let record = format!("engine {} ready 1 software:{version}", first + number);
        (format!("{version}-{number}"), record)
    };
    (0..count).map(engine).collect()
}

/// Returns the removals of engines.
fn removals(engines: &[(String, String)]) -> Vec<(String, String)> {
    engines.iter().map(|(id, _)| (id.clone(), String::new())).collect()
}

fn id_of(key: Key, daemon: usize) -> String {
    format!("router-{}-request-{}", daemon + 1, key.0)
}

/// Daemons before engines of one or two versions.
struct Release {
    site: Site,
    next_subject: u64,
}

impl Release {
    /// Returns daemons before `first` engines of v1 alone.
    fn new(first: u8) -> Self {
        Self::with_daemons(DAEMONS, first)
    }

    fn with_daemons(daemons: u8, first: u8) -> Self {
        let site = Site::new(daemons, &borrowed(&engines("v1", first)));
        Self { site, next_subject: 0 }
    }

    /// Delivers registrations to all running daemons.
    fn register(&mut self, records: &[(String, String)]) {
        for index in 0..self.site.daemons.len() {
            if !self.site.down.contains(&index) {
                let now = self.site.clock(index);
                let daemon = &mut self.site.daemons[index];
                let effects = daemon.deliver_records(now, Topic::Servers, &borrowed(records));
                for (to, message) in self.site.execute_effects(index, effects) {
                    self.site.apply(to, message);
                }
            }
        }
    }

    /// Replaces a daemon by a new process, which has read the registrations of 3 and 9 engines.
    fn restart(&mut self, daemon: usize) {
        let servers = [engines("v1", 3), engines("v2", 9)].concat();
        self.site.restart(daemon, &borrowed(&servers));
    }

    /// A request arrives that starts as given. Prompts differ, so that they do not all go to one engine.
    fn arrive(&mut self, daemon: usize, start: Start) -> Key {
        self.next_subject += 1;
        self.site.subject = self.next_subject;
        self.site.daemons[daemon].fingerprint = Fingerprint(self.next_subject);
        self.site.daemons[daemon].start = start;
        let key = self.site.arrive(daemon, "engines", Repeat::Resumable);
        self.site.advance(ms(300));
        key
    }

    /// Begins a stream; returns its request, and the dispatch that brought the first event.
    fn begin(&mut self, daemon: usize) -> (Key, Dispatch) {
        let key = self.arrive(daemon, Start::New);
        let dispatch = self.site.only_dispatch(daemon, key);
        self.site.report(daemon, key, dispatch.attempt, Report::Begun(Some(1)));
        (key, dispatch)
    }

    /// A stream ends complete.
    fn end(&mut self, daemon: usize, key: Key, dispatch: &Dispatch) {
        self.site.report(daemon, key, dispatch.attempt, Report::Begun(Some(1)));
        self.site.report(daemon, key, dispatch.attempt, Report::Ended);
    }

    /// A caller takes up a stream that it began at another daemon; returns the commands for that. Both requests end.
    fn take_up(&mut self, daemon: usize, key: Key, begun_at: usize) -> Vec<Command> {
        self.site.apply(begun_at, Message::Cancel(key));
        let first = id_of(key, begun_at);
        let taken_up = self.arrive(daemon, Start::Resumed(Some(first)));
        let commands = self.site.commands(daemon, taken_up);
        if let [Command::Dispatch(dispatch)] = commands.as_slice() {
            self.end(daemon, taken_up, dispatch);
        }
        commands
    }
}

fn version(server: &str) -> &str {
    server.split('-').next().expect("an id begins with the version")
}

/// Returns the version of the server to which the only command sends the request; `None` if it is refused.
fn version_of(commands: &[Command]) -> Option<&str> {
    match commands {
        [Command::Dispatch(dispatch)] => Some(version(&dispatch.server)),
        [Command::Refuse(..)] => None,
        other => panic!("expected a dispatch or a refusal, found {other:?}"),
    }
}

#[test]
fn stream_broken_midway_goes_on_at_the_version_that_began_it() {
    for daemon in 0..usize::from(DAEMONS) {
        let mut release = Release::new(3);
        release.register(&engines("v2", 9));
        // By then, the retry budget is enough for all of them.
        release.site.advance(POLICY.retry_window);
        for _ in 0..6 {
            let (key, begun) = release.begin(daemon);
            release.site.report(daemon, key, begun.attempt, Report::Lost(Loss::Connection));
            release.site.advance(ms(100));
            let next = release.site.only_dispatch(daemon, key);
            assert_eq!(version(&next.server), version(&begun.server), "daemon {daemon}");
            release.end(daemon, key, &next);
        }
    }
}

#[test]
fn stream_of_a_version_that_is_gone_ends_as_broken() {
    for daemon in 0..usize::from(DAEMONS) {
        let mut release = Release::new(3);
        let (key, begun) = release.begin(daemon);
        release.register(&engines("v2", 9));
        release.register(&removals(&engines("v1", 3)));
        release.site.report(daemon, key, begun.attempt, Report::Lost(Loss::Connection));
        release.site.advance(ms(100));
        assert_eq!(release.site.commands(daemon, key), [Command::GiveUp], "daemon {daemon}");
    }
}

#[test]
fn stream_taken_up_elsewhere_goes_on_at_the_version_that_began_it() {
    let mut release = Release::new(3);
    let before = release.begin(0).0;
    release.register(&engines("v2", 9));
    assert_eq!(version_of(&release.take_up(1, before, 0)), Some("v1"), "begun before the release");
    for begun_at in 0..usize::from(DAEMONS) {
        let taken_up_at = (begun_at + 1) % usize::from(DAEMONS);
        for _ in 0..4 {
            let (key, begun) = release.begin(begun_at);
            let commands = release.take_up(taken_up_at, key, begun_at);
            assert_eq!(version_of(&commands), Some(version(&begun.server)), "{begun_at}");
        }
    }
}

#[test]
fn stream_of_a_daemon_that_is_gone_goes_on_at_the_version_that_began_it() {
    for begun_at in 0..usize::from(DAEMONS) {
        let mut release = Release::new(3);
        let before = release.begin(begun_at).0;
        release.register(&engines("v2", 9));
        let after: Vec<(Key, Dispatch)> = (0..6).map(|_| release.begin(begun_at)).collect();
        // Two daemons end, the one that served the streams and another.
        release.site.down.insert(begun_at);
        release.site.down.insert((begun_at + 3) % usize::from(DAEMONS));
        let taken_up_at = (begun_at + 1) % usize::from(DAEMONS);
        assert_eq!(version_of(&release.take_up(taken_up_at, before, begun_at)), Some("v1"));
        for (key, begun) in after {
            let commands = release.take_up(taken_up_at, key, begun_at);
            assert_eq!(version_of(&commands), Some(version(&begun.server)), "{begun_at}");
        }
    }
}

#[test]
fn stream_begun_right_after_the_start_of_its_daemon_is_replicated() {
    for begun_at in 0..usize::from(DAEMONS) {
        let mut release = Release::new(3);
        release.register(&engines("v2", 9));
        release.restart(begun_at);
        let (key, begun) = release.begin(begun_at);
        release.site.down.insert(begun_at);
        let commands = release.take_up((begun_at + 1) % usize::from(DAEMONS), key, begun_at);
        assert_eq!(version_of(&commands), Some(version(&begun.server)), "{begun_at}");
    }
}

#[test]
fn stream_is_replicated_again_to_daemons_that_have_restarted() {
    for begun_at in 0..usize::from(DAEMONS) {
        let mut release = Release::new(3);
        release.register(&engines("v2", 9));
        let (key, begun) = release.begin(begun_at);
        for other in (0..usize::from(DAEMONS)).filter(|other| *other != begun_at) {
            release.restart(other);
            release.site.advance(ms(500));
        }
        release.site.down.insert(begun_at);
        let commands = release.take_up((begun_at + 1) % usize::from(DAEMONS), key, begun_at);
        assert_eq!(version_of(&commands), Some(version(&begun.server)), "{begun_at}");
    }
}

#[test]
fn stream_whose_version_is_looked_up_is_refused_when_its_daemon_stops() {
    let mut release = Release::new(3);
    release.register(&engines("v2", 9));
    // No other daemon answers.
    release.site.down.extend((0..usize::from(DAEMONS)).filter(|daemon| *daemon != 1));
    release.site.daemons[1].start = Start::Resumed(Some("unknown".into()));
    let taken_up = release.site.arrive(1, "engines", Repeat::Resumable);
    release.site.apply(1, Message::Stop);
    assert!(release.site.commands(1, taken_up).is_empty(), "the version is looked up");
    release.site.apply(1, Message::StopDeadline);
    let commands = release.site.commands(1, taken_up);
    assert!(matches!(commands[..], [Command::Refuse(Code::Draining, _)]), "{commands:?}");
}

#[test]
fn few_servers_of_a_version_get_no_more_streams_than_they_have_slots() {
    let mut release = Release::new(1);
    release.register(&engines("v2", 20));
    release.site.advance(ms(1_000));
    let binding = streams::Binding {
        stream: StreamId::of("", "begun"),
        software: Software::of("engines", "v1"),
        time_left: ms(10_000),
    };
    for daemon in 0..usize::from(DAEMONS) {
        let message = Message::Frame(Frame::Streams(streams::Message::Replicate(vec![binding])));
        release.site.apply(daemon, message);
    }
    let mut sent = 0;
    for number in 0..100 {
        let daemon = number % usize::from(DAEMONS);
        release.site.daemons[daemon].start = Start::Resumed(Some("begun".into()));
        release.site.daemons[daemon].fingerprint = Fingerprint(number as u64);
        let key = release.site.arrive(daemon, "engines", Repeat::Resumable);
        for command in release.site.commands(daemon, key) {
            match command {
                Command::Dispatch(dispatch) => {
                    assert_eq!(version(&dispatch.server), "v1");
                    release.site.report(daemon, key, dispatch.attempt, Report::Begun(Some(1)));
                    sent += 1;
                }
                Command::Refuse(..) => {}
                other => panic!("{other:?}"),
            }
        }
    }
    assert!((24..=48).contains(&sent), "{sent} streams at 48 slots");
}

#[test]
fn stream_of_an_unknown_version_is_refused_while_two_serve() {
    let mut release = Release::new(3);
    release.register(&engines("v2", 9));
    for start in [Start::Resumed(None), Start::Resumed(Some("unknown".into()))] {
        for daemon in 0..usize::from(DAEMONS) {
            let key = release.arrive(daemon, start.clone());
            let commands = release.site.commands(daemon, key);
            assert!(matches!(commands[..], [Command::Refuse(..)]), "{commands:?}");
        }
    }
}

#[test]
fn stream_of_an_unknown_version_goes_on_where_one_has_served_alone() {
    let mut release = Release::new(3);
    release.site.advance(MAX_AGE);
    for start in [Start::Resumed(None), Start::Resumed(Some("unknown".into()))] {
        for daemon in 0..usize::from(DAEMONS) {
            let key = release.arrive(daemon, start.clone());
            let dispatch = release.site.only_dispatch(daemon, key);
            assert_eq!(version(&dispatch.server), "v1");
            release.end(daemon, key, &dispatch);
        }
    }
}

#[test]
fn stream_goes_on_at_a_daemon_that_has_just_started_if_others_have_watched() {
    let mut release = Release::new(3);
    release.site.advance(MAX_AGE);
    release.site.restart(1, &borrowed(&engines("v1", 3)));
    release.site.advance(ms(200));
    for start in [Start::Resumed(None), Start::Resumed(Some("unknown".into()))] {
        let key = release.arrive(1, start);
        let dispatch = release.site.only_dispatch(1, key);
        assert_eq!(version(&dispatch.server), "v1");
        release.end(1, key, &dispatch);
    }
}

#[test]
fn stream_is_refused_if_all_daemons_have_started_since_it_can_have_begun() {
    let mut release = Release::new(3);
    let (key, _) = release.begin(0);
    release.register(&engines("v2", 9));
    // All daemons end, and so do the servers of v1, before they start again.
    for daemon in 0..usize::from(DAEMONS) {
        release.site.restart(daemon, &borrowed(&engines("v2", 9)));
    }
    release.site.advance(ms(1_000));
    assert_eq!(version_of(&release.take_up(1, key, 0)), None);
    for _ in 0..2 {
        release.site.advance(TWO_TIMEOUTS);
        assert_eq!(version_of(&release.take_up(1, key, 0)), None);
    }
    // Once they have seen v2 alone for as long as a stream can last, all streams are of v2.
    release.site.advance(MAX_AGE);
    assert_eq!(version_of(&release.take_up(1, key, 0)), Some("v2"));
}

/// Daemons that all start at once knew nothing of a stream that one of them had begun since.
#[test]
fn stream_begun_since_all_daemons_started_is_taken_up() {
    for count in [DAEMONS, 40] {
        let mut release = Release::with_daemons(count, 3);
        let daemons = usize::from(count);
        for begun_at in (0..daemons).step_by(3) {
            let taken_up_at = (begun_at + 1) % daemons;
            let (key, _) = release.begin(begun_at);
            assert_eq!(version_of(&release.take_up(taken_up_at, key, begun_at)), Some("v1"));
        }
    }
}

/// A takeup must not wait for any server: the first to start may have another version.
#[test]
fn stream_of_an_unknown_version_is_refused_while_no_server_is_registered() {
    let mut release = Release::new(3);
    let (key, _) = release.begin(0);
    for daemon in 0..usize::from(DAEMONS) {
        release.site.restart(daemon, &[]);
    }
    release.site.apply(0, Message::Cancel(key));
    let taken_up = release.arrive(1, Start::Resumed(Some(id_of(key, 0))));
    release.register(&engines("v2", 9));
    release.site.advance(ms(1_000));
    let commands = release.site.commands(1, taken_up);
    assert!(matches!(commands[..], [Command::Refuse(..)]), "{commands:?}");
}

#[test]
fn stream_is_refused_by_a_daemon_that_was_frozen_while_a_version_appeared() {
    let mut release = Release::new(3);
    release.site.advance(MAX_AGE);
    release.site.down.insert(1);
    release.site.advance(ms(4_000));
    release.register(&engines("v2", 9));
    release.site.down.remove(&1);
    // Digests of the others arrive, with the ages of their reads, and no record yet.
    release.site.advance(ms(40));
    release.site.down.extend((0..usize::from(DAEMONS)).filter(|daemon| *daemon != 1));
    let taken_up = release.arrive(1, Start::Resumed(Some("begun-at-v2".into())));
    assert_eq!(version_of(&release.site.commands(1, taken_up)), None);
}

#[test]
fn stream_taken_up_is_refused_at_once_if_its_version_is_gone() {
    let mut release = Release::new(3);
    let (key, _) = release.begin(0);
    release.register(&engines("v2", 9));
    release.register(&removals(&engines("v1", 3)));
    assert_eq!(version_of(&release.take_up(1, key, 0)), None);
}

/// Plays one day of faults, and checks that streams of one version are all but a few, and that callers can go on.
fn play(seed: u64, daemons: u8, faults: &[Fault]) {
    let mut day = Day::new(seed, daemons);
    day.play(ms(40_000), faults);
    let Outcome { mixed, takeups, takeups_begun, new, new_begun } = day.outcome;
    println!("seed {seed}, {daemons} daemons, {faults:?}: {:?}, {:?}", day.outcome, day.refusals);
    assert!(mixed <= MAX_MIXED, "seed {seed}: {mixed} streams hold events of two versions");
    let share = |begun: usize, sent: usize| begun as f64 / sent.max(1) as f64;
    let (taken_up, begun) = (share(takeups_begun, takeups), share(new_begun, new));
    let holds = takeups < MIN_TAKEUPS || taken_up >= begun / 2.0;
    assert!(holds, "seed {seed}: {takeups_begun} of {takeups} takeups, {new_begun} of {new} new");
}

#[test]
fn streams_hold_one_version_through_each_fault() {
    let seed = std::env::var("STREAMS_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(0);
    for fault in Fault::ALL {
        play(seed, DAEMONS, &[fault]);
    }
}

#[test]
fn streams_hold_one_version_through_all_faults() {
    let first = std::env::var("STREAMS_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(0);
    for seed in first..first + 3 {
        play(seed, DAEMONS, &Fault::ALL);
        play(seed, 16, &Fault::ALL);
    }
}

/// Daemons are out of step as the first release after a long time begins. Takeups in that moment have a proof of one
/// version; none may hold two.
#[test]
fn streams_hold_one_version_as_a_release_begins_and_daemons_are_out_of_step() {
    let first = std::env::var("STREAMS_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(20);
    let count = std::env::var("STREAMS_DAYS").ok().and_then(|days| days.parse().ok()).unwrap_or(8);
    for seed in first..first + count {
        for (daemons, faults) in [(DAEMONS, Fault::OUT_OF_STEP.as_slice()), (DAEMONS, &Fault::ALL)]
        {
            let mut day = Day::new(seed, daemons);
            day.play_first_release(faults);
            println!("seed {seed}, {daemons} daemons: {:?}, {:?}", day.outcome, day.refusals);
            assert_eq!(day.outcome.mixed, 0, "seed {seed}, {faults:?}");
        }
    }
}
