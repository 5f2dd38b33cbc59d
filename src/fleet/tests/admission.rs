//! Load at its worst: what waits, in which order, what is refused, and when it may come back.

use super::world::*;
use crate::fleet::*;
use crate::poison::Fingerprint;
use crate::prelude::*;
use crate::route::Repeat;

/// The commands among `effects` by request.
fn by_request(effects: &[Effect]) -> Vec<(Key, Command)> {
    let command = |effect: &Effect| match effect {
        Effect::Command(key, command) => Some((*key, command.clone())),
        _ => None,
    };
    effects.iter().filter_map(command).collect()
}

/// A daemon whose only server is full, and the request whose end makes room.
fn full() -> (Daemon, Key) {
    let mut daemon = Daemon::with(1, &[("s-1", "plain 11 ready")]);
    let route = route("plain", Repeat::AtMostOnce, 1);
    let (first, _) = daemon.arrive(ms(10), &route, None);
    daemon.arrive(ms(10), &route, None);
    (daemon, first)
}

fn refused_after(effects: &[Effect]) -> Vec<Duration> {
    let after = |command| match command {
        Command::Refuse(_, after) => Some(after),
        _ => None,
    };
    commands(effects).into_iter().filter_map(after).collect()
}

#[test]
fn caller_that_comes_back_goes_before_newcomers() {
    let (mut daemon, first) = full();
    let route = route("plain", Repeat::AtMostOnce, 1);
    daemon.fingerprint = Fingerprint(77);
    daemon.arrive(ms(20), &route, None);
    assert_eq!(refused_after(&daemon.tick(ms(330))).len(), 1);
    daemon.fingerprint = Fingerprint(78);
    let (_newcomer, _) = daemon.arrive(ms(500), &route, None);
    daemon.fingerprint = Fingerprint(77);
    let (back, _) = daemon.arrive(ms(600), &route, None);
    let effects = daemon.report(ms(610), first, 1, Report::Ended);
    assert!(matches!(&by_request(&effects)[..], [(key, Command::Dispatch(_))] if *key == back));
}

#[test]
fn caller_that_another_daemon_refused_goes_before_newcomers() {
    let (mut daemon, first) = full();
    let route = route("plain", Repeat::AtMostOnce, 1);
    let digest = Digest {
        daemon: "router-2".into(),
        address: address(2).to_string(),
        refused: vec![Fingerprint(77)],
        ..Digest::default()
    };
    daemon.node.apply(ms(400), Message::Frame(Frame::Digest(Box::new(digest))));
    daemon.fingerprint = Fingerprint(78);
    daemon.arrive(ms(500), &route, None);
    daemon.fingerprint = Fingerprint(77);
    let (back, _) = daemon.arrive(ms(600), &route, None);
    let effects = daemon.report(ms(610), first, 1, Report::Ended);
    assert!(matches!(&by_request(&effects)[..], [(key, Command::Dispatch(_))] if *key == back));
}

#[test]
fn caller_that_comes_back_never_goes_before_a_more_urgent_one() {
    let (mut daemon, first) = full();
    let usual = route("plain", Repeat::AtMostOnce, 1);
    daemon.fingerprint = Fingerprint(77);
    daemon.arrive(ms(20), &usual, None);
    daemon.tick(ms(330));
    daemon.arrive(ms(500), &usual, None);
    let mut urgent = (*usual).clone();
    urgent.priority = 0;
    daemon.fingerprint = Fingerprint(78);
    let (urgent, _) = daemon.arrive(ms(510), &Arc::new(urgent), None);
    let effects = daemon.report(ms(520), first, 1, Report::Ended);
    assert!(matches!(&by_request(&effects)[..], [(key, Command::Dispatch(_))] if *key == urgent));
}

#[test]
fn refused_are_told_to_come_back_by_what_drains_and_not_together() {
    // 200 at once for one server of two slots, some 20 ms each.
    let (mut daemon, _) = full();
    let route = route("plain", Repeat::AtMostOnce, 1);
    for number in 0..200 {
        daemon.fingerprint = Fingerprint(number);
        daemon.arrive(ms(20), &route, None);
    }
    let after = refused_after(&daemon.tick(ms(330)));
    assert_eq!(after.len(), 200);
    let (least, most) = (after.iter().min(), after.iter().max());
    assert!(least.is_some_and(|least| *least >= ms(100)), "{least:?}");
    // Within a third of the 5 s that the caller has.
    assert!(most.is_some_and(|most| *most > ms(1_000) && *most < ms(1_667)), "{most:?}");
    let together = after.iter().filter(|after| (ms(200)..ms(230)).contains(after)).count();
    assert!(together < 60, "{together} of 200 come back within 30 ms of each other");
}

#[test]
fn refused_with_little_time_left_is_told_to_come_back_within_it() {
    let (mut daemon, _) = full();
    let mut short = (*route("plain", Repeat::AtMostOnce, 1)).clone();
    short.timeout = ms(900);
    daemon.arrive(ms(20), &Arc::new(short), None);
    let after = refused_after(&daemon.tick(ms(330)));
    assert!(after.len() == 1 && after[0] <= ms(200), "{after:?}");
}

#[test]
fn burst_is_decided_within_the_time_that_it_may_wait() {
    let (mut daemon, _) = full();
    let route = route("plain", Repeat::AtMostOnce, 1);
    let mut open = BTreeSet::new();
    let mut now = ms(1_000);
    for number in 0..300 {
        now += ms(2);
        daemon.fingerprint = Fingerprint(number);
        let (key, effects) = daemon.arrive(now, &route, None);
        open.insert(key);
        for (key, _) in by_request(&effects) {
            open.remove(&key);
        }
        for (key, _) in by_request(&daemon.tick(now)) {
            open.remove(&key);
        }
    }
    for (key, _) in by_request(&daemon.tick(now + ms(300))) {
        open.remove(&key);
    }
    assert!(open.is_empty(), "{} neither sent nor refused", open.len());
}

#[test]
fn prompt_that_waited_in_vain_for_its_home_goes_to_an_idle_engine() {
    let engines = [("e-1", "engine 21 ready 1"), ("e-2", "engine 22 ready 1")];
    let mut daemon = Daemon::with(1, &engines);
    let route = route("engines", Repeat::Resumable, 2);
    let mut homes = BTreeSet::new();
    for number in 0..8 {
        daemon.fingerprint = Fingerprint(number);
        let (_, effects) = daemon.arrive(ms(10), &route, Some(prompt(7, 3)));
        for command in commands(&effects) {
            let Command::Dispatch(dispatch) = command else { panic!("{command:?}") };
            homes.insert(dispatch.server);
        }
    }
    assert_eq!(homes.len(), 1, "its home takes what it can begin in time: {homes:?}");
    assert!(commands(&daemon.tick(ms(140))).is_empty());
    let spilled = commands(&daemon.tick(ms(165)));
    assert!(!spilled.is_empty());
    for command in spilled {
        let Command::Dispatch(dispatch) = command else { panic!("{command:?}") };
        assert!(!homes.contains(&dispatch.server) && dispatch.fetch_from.is_some());
    }
}

#[test]
fn small_prompt_is_sent_where_a_large_one_would_wait() {
    // An engine has 300 ms of prompts to read; half of the target of 600 ms is less than that.
    let mut daemon = Daemon::with(1, &[("e-1", "engine 21 ready 1")]);
    let busy = Workload { running: 3, pending_tokens: 16_000, ..Workload::default() };
    let digest = Digest {
        daemon: "router-2".into(),
        address: address(2).to_string(),
        busy: BTreeMap::from([(Incarnation::new("e-1", 0), busy)]),
        ..Digest::default()
    };
    daemon.node.apply(ms(10), Message::Frame(Frame::Digest(Box::new(digest))));
    let route = route("engines", Repeat::Resumable, 2);
    let (_, effects) = daemon.arrive(ms(20), &route, Some(prompt(7, 1)));
    assert!(commands(&effects).is_empty(), "{effects:?}");
    let parts = vec![Part { id: 9, tokens: 100 }, Part { id: 10, tokens: 300 }];
    let small = Prompt { model: "m".into(), input: 400, output: 9, parts };
    let (_, effects) = daemon.arrive(ms(30), &route, Some(small));
    assert_eq!(dispatch(&effects).server, "e-1");
}

#[test]
fn crowd_that_cannot_be_served_in_time_is_told_so_at_once() {
    // Two places that take 100 ms each, and ten times as many requests as they serve.
    let mut daemon = Daemon::with(1, &[("s-1", "plain 11 ready")]);
    let route = route("plain", Repeat::AtMostOnce, 1);
    let mut ends: Vec<(Time, Key, u32)> = Vec::new();
    let mut arrived: BTreeMap<Key, Time> = BTreeMap::new();
    let (mut sent, mut at_once, mut late) = (0, 0, 0);
    for step in 0..400_u64 {
        let now = ms(1_000 + step * 5);
        let mut effects = daemon.tick(now);
        for (_, request, attempt) in ends.extract_if(.., |(at, ..)| *at <= now) {
            effects.extend(daemon.report(now, request, attempt, Report::Ended));
        }
        let (key, more) = daemon.arrive(now, &route, None);
        arrived.insert(key, now);
        effects.extend(more);
        for effect in effects {
            match effect {
                Effect::Command(key, Command::Dispatch(dispatch)) => {
                    ends.push((now + ms(100), key, dispatch.attempt));
                    sent += 1;
                }
                Effect::Command(key, Command::Refuse(_, after)) => {
                    assert!(after > ms(0));
                    if arrived[&key] == now { at_once += 1 } else { late += 1 }
                }
                _ => {}
            }
        }
    }
    assert!(sent >= 36, "{sent} of the 40 that there is room for");
    assert!(at_once > late * 3, "{at_once} were told at once, {late} after they had waited");
}
