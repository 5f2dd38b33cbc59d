//! Orders of events found in a review: a stream begins at v2, and a daemon that is out of step goes on at v1.

use super::*;
use crate::route::{Route, Split};

/// A daemon that has just started takes all versions of its first copy for settled.
#[test]
fn stream_is_not_joined_of_two_versions_by_a_daemon_that_has_just_started_and_one_that_is_cut_off()
{
    let mut newer = 0;
    for missed_ms in [40, 400, 1_000] {
        let mut stage = Stage::new();
        let starting = stage.release.site.scheduler("engines");
        let cut_off = (starting + 1) % usize::from(DAEMONS);
        stage.cut_off(&[cut_off]);
        stage.advance(ms(40));
        stage.write(&engines("v2", 9));
        stage.advance(ms(missed_ms));
        stage.release.restart(starting);
        stage.read[starting] = stage.log.len();
        stage.advance(ms(100));
        newer += stage.check_takeups(cut_off, &[starting], ms(2_000)).1;
    }
    println!("{newer} streams began at v2");
}

/// The same where as many or more servers of v2 have joined, or those of v1 are about to stop.
#[test]
fn stream_is_not_joined_of_two_versions_by_a_daemon_that_starts_late_in_a_release() {
    let mut joined = Vec::new();
    for (name, count, leaving) in
        [("fewer", 2, 0), ("as many", 3, 0), ("more", 4, 0), ("fewer, v1 leaves", 2, 3)]
    {
        let mut stage = Stage::new();
        let starting = stage.release.site.scheduler("engines");
        let cut_off = (starting + 1) % usize::from(DAEMONS);
        stage.cut_off(&[cut_off]);
        stage.advance(ms(40));
        let mut servers = engines("v1", 3);
        for (_, record) in servers.iter_mut().take(leaving) {
            *record = record.replace("ready", "draining");
        }
        stage.write(&[servers.clone(), engines("v2", count)].concat());
        stage.advance(ms(40));
        let copy = [engines("v1", 3), servers, engines("v2", count)].concat();
        stage.release.site.restart(starting, &borrowed(&copy));
        stage.read[starting] = stage.log.len();
        stage.advance(ms(100));
        for _ in 0..6 {
            let key = stage.release.arrive(starting, Start::New);
            let commands = stage.release.site.commands(starting, key);
            let [Command::Dispatch(begun)] = commands.as_slice() else { continue };
            stage.release.site.report(starting, key, begun.attempt, Report::Begun(Some(1)));
            let taken_up = stage.release.take_up(cut_off, key, starting);
            let went_on = version_of(&taken_up).map(str::to_owned);
            let began = version(&begun.server).to_owned();
            if went_on.as_ref().is_some_and(|it| *it != began) {
                joined.push((name, began, went_on));
            }
        }
    }
    assert!(joined.is_empty(), "{joined:?}");
}

/// A route of streams without a prompt: the scheduler takes it for one without streams.
#[test]
fn stream_without_a_prompt_is_not_begun_at_a_version_that_others_may_not_know() {
    let plain = |version: &str, first: u8, count: u8| -> Vec<(String, String)> {
        let server = |number: u8| {
            let record = format!("plain {} ready software:{version}", first + number);
            (format!("{version}-plain-{number}"), record)
        };
        (0..count).map(server).collect()
    };
    let mut stage = Stage::new();
    stage.write(&plain("v1", 100, 3));
    stage.advance(MAX_AGE);
    let scheduler = stage.release.site.scheduler("plain");
    let others = others(&[scheduler]);
    let (cut_off, begun_at) = (others[0], others[1]);
    stage.cut_off(&[cut_off]);
    stage.advance(ms(40));
    stage.write(&plain("v2", 120, 9));
    let route = (*route("plain", Repeat::Resumable, 2)).clone();
    let streaming = Arc::new(Route { is_streaming: true, ..route });
    let mut begun = Vec::new();
    for number in 0..10 {
        let site = &mut stage.release.site;
        site.daemons[begun_at].start = Start::New;
        site.daemons[begun_at].fingerprint = Fingerprint(50 + number);
        let key = arrive(site, begun_at, &streaming);
        for command in site.commands(begun_at, key) {
            let Command::Dispatch(dispatch) = command else { continue };
            site.report(begun_at, key, dispatch.attempt, Report::Begun(None));
            begun.push((key, version(&dispatch.server).to_owned()));
        }
    }
    assert!(begun.len() >= 6, "{begun:?}");
    let mut taken_up = Vec::new();
    for (key, began) in begun {
        let site = &mut stage.release.site;
        site.apply(begun_at, Message::Cancel(key));
        site.daemons[cut_off].start = Start::Resumed(Some(id_of(key, begun_at)));
        let next = arrive(site, cut_off, &streaming);
        let commands = site.commands(cut_off, next);
        let mut went_on = None;
        if let [Command::Dispatch(dispatch)] = commands.as_slice() {
            went_on = Some(version(&dispatch.server).to_owned());
            stage.release.end(cut_off, next, dispatch);
        }
        stage.release.site.apply(cut_off, Message::Cancel(next));
        taken_up.push((began, went_on));
    }
    let is_one =
        |(began, went_on): &(String, Option<String>)| went_on.as_ref().is_none_or(|it| it == began);
    assert!(taken_up.iter().all(is_one), "{taken_up:?}");
}

/// A request of `route` without a prompt arrives.
fn arrive(site: &mut Site, daemon: usize, route: &Arc<Route>) -> Key {
    let now = site.clock(daemon);
    let (key, effects) = site.daemons[daemon].arrive(now, route, None);
    for (to, message) in site.execute_effects(daemon, effects).into_iter().rev() {
        site.apply(to, message);
    }
    site.advance(ms(100));
    key
}

/// A route that is split between two pools: a takeup draws a pool of its own.
#[test]
fn stream_of_a_split_route_is_not_joined_of_two_versions() {
    let mut joined = Vec::new();
    for subject in 0..12 {
        let mut stage = Stage::new();
        let servers: Vec<(String, String)> = (0..3)
            .map(|n| (format!("v9-{n}"), format!("plain {} ready software:v9", 130 + n)))
            .collect();
        stage.write(&servers);
        stage.advance(MAX_AGE);
        let split = |pool: &str| Split { pool: pool.into(), weight: 1 };
        let route = Arc::new(Route {
            is_streaming: true,
            splits: vec![split("engines"), split("plain")],
            ..(*route("engines", Repeat::Resumable, 2)).clone()
        });
        let site = &mut stage.release.site;
        let (begun_at, taken_up_at) = (2, 4);
        site.daemons[begun_at].fingerprint = Fingerprint(subject);
        let now = site.clock(begun_at);
        for _ in 0..subject {
            site.daemons[taken_up_at].node.rng.u32(..);
            site.daemons[begun_at].node.rng.u32(..);
        }
        let (key, effects) = site.daemons[begun_at].arrive(now, &route, None);
        for (to, message) in site.execute_effects(begun_at, effects).into_iter().rev() {
            site.apply(to, message);
        }
        site.advance(ms(300));
        let all = site.take_commands();
        let Some(dispatch) = all.into_iter().find_map(|(_, of, command)| match command {
            Command::Dispatch(dispatch) if of == key => Some(dispatch),
            _ => None,
        }) else {
            continue;
        };
        site.report(begun_at, key, dispatch.attempt, Report::Begun(Some(1)));
        site.down.insert(begun_at);
        site.daemons[taken_up_at].start = Start::Resumed(Some(id_of(key, begun_at)));
        let now = site.clock(taken_up_at);
        let (taken_up, effects) = site.daemons[taken_up_at].arrive(now, &route, None);
        for (to, message) in site.execute_effects(taken_up_at, effects).into_iter().rev() {
            site.apply(to, message);
        }
        site.advance(ms(300));
        let commands = site.commands(taken_up_at, taken_up);
        let went_on = commands.iter().find_map(|command| match command {
            Command::Dispatch(dispatch) => Some(version(&dispatch.server).to_owned()),
            _ => None,
        });
        joined.push((version(&dispatch.server).to_owned(), went_on));
    }
    assert!(joined.iter().all(|(a, b)| b.as_ref().is_none_or(|b| a == b)), "{joined:?}");
}

/// Daemons whose frames take some time.
struct Slow {
    daemons: Vec<Daemon>,
    now: Time,
    latency: Duration,
    on_the_way: Vec<(Time, usize, Message)>,
    group: Vec<usize>,
    is_cut: bool,
    next_read: Time,
}

impl Slow {
    fn new(count: u8, latency: Duration, group: Vec<usize>) -> Self {
        let routers: Vec<(String, String)> =
            (1..=count).map(|last| (format!("router-{last}"), format!("router {last}"))).collect();
        let daemons = (1..=count).map(|last| {
            let mut daemon = Daemon::with_servers(last, &borrowed(&engines("v1", 3)));
            daemon.deliver_records(ms(0), Topic::Routers, &borrowed(&routers));
            daemon
        });
        let daemons = daemons.collect();
        let (now, on_the_way, next_read) = (ms(0), Vec::new(), ms(0));
        Self { daemons, now, latency, on_the_way, group, is_cut: false, next_read }
    }

    fn send(&mut self, from: usize, effects: Vec<Effect>) {
        for effect in effects {
            let Effect::Send(to, frame) = effect else { continue };
            for index in 0..self.daemons.len() {
                let is_cut =
                    self.is_cut && self.group.contains(&from) != self.group.contains(&index);
                if to.contains(&address(index as u8 + 1)) && !is_cut {
                    let message = Message::Frame(frame.clone());
                    self.on_the_way.push((self.now + self.latency, index, message));
                }
            }
        }
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += ms(1);
            let now = self.now;
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.on_the_way).into_iter().partition(|(at, ..)| *at <= now);
            self.on_the_way = later;
            for (_, index, message) in due {
                let effects = self.daemons[index].node.apply(now, message);
                self.send(index, effects);
            }
            if now >= self.next_read {
                self.next_read = now + ms(200);
                for index in 0..self.daemons.len() {
                    if !(self.is_cut && self.group.contains(&index)) {
                        let effects = self.daemons[index].deliver_records(now, Topic::Servers, &[]);
                        self.send(index, effects);
                    }
                }
            }
            for index in 0..self.daemons.len() {
                // Daemons do not tick in step.
                if (now.as_millis() as usize + 7 * index) % 20 == 0 {
                    let effects = self.daemons[index].node.apply(now, Message::Tick);
                    self.send(index, effects);
                }
            }
        }
    }
}

/// The members of a group that is cut off tell each other ages of the last read, each less its way.
#[test]
fn view_of_a_group_that_is_cut_off_grows_old() {
    let groups = [(7, vec![1, 2, 3]), (7, vec![1, 2, 3, 4, 5]), (16, (1..15).collect())];
    let mut ages = Vec::new();
    for (count, group) in groups {
        for latency in [1, 10, 25, 50, 125] {
            let mut slow = Slow::new(count, ms(latency), group.clone());
            slow.advance(ms(5_000));
            slow.is_cut = true;
            // By then, the others begin streams at a version that joined as the group was cut off.
            slow.advance(ms(4_200));
            let age = slow.daemons[1].node.view_age(slow.now).expect("there is a view");
            ages.push((count, group.len(), latency, age));
        }
    }
    println!("{ages:#?}");
    assert!(ages.iter().all(|(.., age)| *age >= ms(3_000)), "daemons, cut off, latency in ms, age");
}

impl Stage {
    fn fail_reads(&mut self, daemons: &[usize]) {
        for daemon in daemons {
            let topic = Dependency::Topic(Topic::Servers);
            self.release.site.apply(*daemon, Message::ReadFailed(topic, "down".into()));
        }
    }
}

/// Registrations of v2 lapse as the store fails for a moment, and come back. A daemon that gets the newest records from a
/// peer sees the removals alone; the others keep the servers until they are back.
#[test]
fn stream_is_not_joined_of_two_versions_where_registrations_lapse_and_come_back() {
    let mut stage = Stage::new();
    let all = others(&[OUT_OF_STEP]);
    stage.cut_off(&[OUT_OF_STEP]);
    stage.advance(ms(40));
    stage.write(&engines("v2", 9));
    stage.advance(ms(100));
    stage.fail_reads(&all);
    stage.write(&removals(&engines("v2", 9)));
    stage.advance(ms(500));
    // Its peers reach it for a moment, and it asks them for what it has missed.
    stage.release.site.cut_links.clear();
    stage.advance(ms(700));
    stage.cut_off(&[OUT_OF_STEP]);
    stage.fail_reads(&all);
    let (_, newer) = stage.check_takeups(OUT_OF_STEP, &all, ms(1_500));
    println!("{newer} streams began at v2");
}

/// All daemons but one that was added lately are cut off from the store and from that one, which they do not know.
#[test]
fn stream_is_not_joined_of_two_versions_by_daemons_that_do_not_know_one_that_was_added() {
    let mut stage = Stage::new();
    let former: Vec<usize> = (0..usize::from(DAEMONS)).collect();
    let added = usize::from(DAEMONS);
    stage.without_store.extend(&former);
    for daemon in &former {
        stage.release.site.cut_links.extend([(*daemon, added), (added, *daemon)]);
    }
    let mut daemon = Daemon::started(DAEMONS + 1, 77, &[]);
    let routers: Vec<(String, String)> =
        (1..=DAEMONS).map(|last| (format!("router-{last}"), format!("router {last}"))).collect();
    daemon.deliver_records(ms(0), Topic::Operator, &[("config", "table 1")]);
    daemon.deliver_records(ms(0), Topic::Servers, &borrowed(&engines("v1", 3)));
    daemon.deliver_records(ms(0), Topic::Routers, &borrowed(&routers));
    let site = &mut stage.release.site;
    site.daemons.push(daemon);
    site.started_at.push(site.now);
    site.sent_commands.push(Vec::new());
    stage.read.push(0);
    stage.advance(ms(5_000));
    stage.write(&engines("v2", 9));
    let mut newer = 0;
    for _ in 0..40 {
        let (key, begun) = stage.release.begin(added);
        let began = version(&begun.server).to_owned();
        newer += usize::from(began == "v2");
        let commands = stage.release.take_up(OUT_OF_STEP, key, added);
        let went_on = version_of(&commands).map(str::to_owned);
        assert!(went_on.as_ref().is_none_or(|it| *it == began), "{began}, then {went_on:?}");
        stage.read_store();
    }
    println!("{newer} streams began at v2");
}

/// How long no stream begins where the servers of v1 leave as those of v2 have joined.
#[test]
fn streams_begin_soon_where_all_servers_are_replaced() {
    let mut waits = Vec::new();
    for (name, is_down, store_is_down) in [
        ("in step", false, false),
        ("a daemon is down", true, false),
        ("a daemon is down, and the store once v1 has left", true, true),
    ] {
        let mut stage = Stage::new();
        if is_down {
            stage.release.site.down.insert(OUT_OF_STEP);
        }
        stage.advance(ms(2_000));
        stage.write(&engines("v2", 3));
        stage.write(&removals(&engines("v1", 3)));
        let from = stage.release.site.now;
        if store_is_down {
            stage.without_store.extend(0..usize::from(DAEMONS));
        }
        let mut refused = 0;
        while stage.release.site.now < from + ms(60_000) {
            let key = stage.release.arrive(2, Start::New);
            let commands = stage.release.site.commands(2, key);
            stage.release.site.apply(2, Message::Cancel(key));
            if matches!(commands.as_slice(), [Command::Dispatch(..)]) {
                break;
            }
            refused += 1;
            stage.read_store();
        }
        waits.push((name, stage.release.site.now - from, refused));
    }
    println!("{waits:#?}");
    assert!(waits.iter().all(|(_, wait, _)| *wait < ms(2_000)), "{waits:?}");
}

/// The store was down for some seconds. A daemon of a larger fleet that places its own streams ends.
#[test]
fn stream_goes_on_after_an_outage_of_the_store_in_a_larger_fleet() {
    for (count, down_ms) in [(7, 5_000), (16, 0), (16, 5_000)] {
        let mut stage = Stage::new();
        stage.release = Release::with_daemons(count, 3);
        stage.read = vec![0; usize::from(count)];
        stage.advance(MAX_AGE + ms(1_000));
        let without = stage.without_store.clone();
        stage.without_store.extend(0..usize::from(count));
        stage.advance(ms(down_ms));
        stage.without_store = without;
        stage.advance(ms(1_000));
        let scheduler = stage.release.site.scheduler("engines");
        let (key, _) = stage.release.begin(scheduler);
        stage.release.site.down.insert(scheduler);
        let taken_up_at = (scheduler + 2) % usize::from(count);
        let commands = stage.release.take_up(taken_up_at, key, scheduler);
        println!("{count} daemons, down for {down_ms} ms: {commands:?}");
        assert_eq!(version_of(&commands), Some("v1"), "{count} daemons, down for {down_ms} ms");
    }
}
