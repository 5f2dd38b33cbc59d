//! Overload: queue order, refusals and retry-after times.

use super::world::*;
use crate::fleet::*;
use crate::poison::Fingerprint;
use crate::prelude::*;
use crate::route::Repeat;

/// The commands in `effects`, with their requests.
fn by_request(effects: &[Effect]) -> Vec<(Key, Command)> {
    let command = |effect: &Effect| match effect {
        Effect::Command(key, command) => Some((*key, command.clone())),
        _ => None,
    };
    effects.iter().filter_map(command).collect()
}

/// A daemon whose only server is full, and the request that frees a slot when it ends.
fn full_server() -> (Daemon, Key) {
    let mut daemon = Daemon::with_servers(1, &[("s-1", "plain 11 ready")]);
    let route = route("plain", Repeat::AtMostOnce, 1);
    let (first, _) = daemon.arrive(ms(10), &route, None);
    daemon.arrive(ms(10), &route, None);
    (daemon, first)
}

fn retry_after_times(effects: &[Effect]) -> Vec<Duration> {
    let after = |command| match command {
        Command::Refuse(_, after) => Some(after),
        _ => None,
    };
    commands(effects).into_iter().filter_map(after).collect()
}

#[test]
fn retry_goes_before_new_requests() {
    let (mut daemon, first) = full_server();
    let route = route("plain", Repeat::AtMostOnce, 1);
    daemon.fingerprint = Fingerprint(77);
    daemon.arrive(ms(20), &route, None);
    assert_eq!(retry_after_times(&daemon.tick(ms(330))).len(), 1);
    daemon.fingerprint = Fingerprint(78);
    let (_new, _) = daemon.arrive(ms(500), &route, None);
    daemon.fingerprint = Fingerprint(77);
    let (retry, _) = daemon.arrive(ms(600), &route, None);
    let effects = daemon.report(ms(610), first, 1, Report::Ended);
    assert!(matches!(&by_request(&effects)[..], [(key, Command::Dispatch(_))] if *key == retry));
}

#[test]
fn retry_of_request_that_a_peer_refused_goes_before_new_requests() {
    let (mut daemon, first) = full_server();
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
    let (retry, _) = daemon.arrive(ms(600), &route, None);
    let effects = daemon.report(ms(610), first, 1, Report::Ended);
    assert!(matches!(&by_request(&effects)[..], [(key, Command::Dispatch(_))] if *key == retry));
}

#[test]
fn retry_goes_after_requests_of_higher_priority() {
    let (mut daemon, first) = full_server();
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
fn retry_after_follows_queue_length_with_jitter() {
    // 200 requests at once for one server with two slots, one per some 20 ms.
    let (mut daemon, _) = full_server();
    let route = route("plain", Repeat::AtMostOnce, 1);
    for number in 0..200 {
        daemon.fingerprint = Fingerprint(number);
        daemon.arrive(ms(20), &route, None);
    }
    let after = retry_after_times(&daemon.tick(ms(330)));
    assert_eq!(after.len(), 200);
    let (min, max) = (after.iter().min(), after.iter().max());
    assert!(min.is_some_and(|min| *min >= ms(100)), "{min:?}");
    // The maximum is a third of the 5 s that remain for the request.
    assert!(max.is_some_and(|max| *max > ms(1_000) && *max < ms(1_667)), "{max:?}");
    let together = after.iter().filter(|after| (ms(200)..ms(230)).contains(after)).count();
    assert!(together < 60, "{together} of 200 retry within the same 30 ms");
}

#[test]
fn retry_after_stays_within_remaining_time() {
    let (mut daemon, _) = full_server();
    let mut short = (*route("plain", Repeat::AtMostOnce, 1)).clone();
    short.timeout = ms(900);
    daemon.arrive(ms(20), &Arc::new(short), None);
    let after = retry_after_times(&daemon.tick(ms(330)));
    assert!(after.len() == 1 && after[0] <= ms(200), "{after:?}");
}

#[test]
fn burst_is_sent_or_refused_within_max_wait() {
    let (mut daemon, _) = full_server();
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
fn prompt_goes_to_idle_engine_after_waiting_for_home() {
    let engines = [("e-1", "engine 21 ready 1"), ("e-2", "engine 22 ready 1")];
    let mut daemon = Daemon::with_servers(1, &engines);
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
    assert_eq!(homes.len(), 1, "only the home receives requests at first: {homes:?}");
    assert!(commands(&daemon.tick(ms(140))).is_empty());
    let moved = commands(&daemon.tick(ms(165)));
    assert!(!moved.is_empty());
    for command in moved {
        let Command::Dispatch(dispatch) = command else { panic!("{command:?}") };
        assert!(!homes.contains(&dispatch.server) && dispatch.fetch_from.is_some());
    }
}

#[test]
fn small_prompt_is_sent_to_engine_where_large_one_waits() {
    // The engine has 320 ms of prompts to read, which is more than half of the target of 600 ms.
    let mut daemon = Daemon::with_servers(1, &[("e-1", "engine 21 ready 1")]);
    let busy = Workload { running: 3, pending_tokens: 16_000, ..Workload::default() };
    let digest = Digest {
        daemon: "router-2".into(),
        address: address(2).to_string(),
        workloads: BTreeMap::from([(Incarnation::new("e-1", 0), busy)]),
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
fn overload_is_refused_mostly_on_arrival() {
    // Two slots, 100 ms per request, and ten times as many requests as they can serve.
    let mut daemon = Daemon::with_servers(1, &[("s-1", "plain 11 ready")]);
    let route = route("plain", Repeat::AtMostOnce, 1);
    let mut running: Vec<(Time, Key, u32)> = Vec::new();
    let mut arrived: BTreeMap<Key, Time> = BTreeMap::new();
    let (mut sent, mut on_arrival, mut after_wait) = (0, 0, 0);
    for step in 0..400_u64 {
        let now = ms(1_000 + step * 5);
        let mut effects = daemon.tick(now);
        for (_, request, attempt) in running.extract_if(.., |(at, ..)| *at <= now) {
            effects.extend(daemon.report(now, request, attempt, Report::Ended));
        }
        let (key, more) = daemon.arrive(now, &route, None);
        arrived.insert(key, now);
        effects.extend(more);
        for effect in effects {
            match effect {
                Effect::Command(key, Command::Dispatch(dispatch)) => {
                    running.push((now + ms(100), key, dispatch.attempt));
                    sent += 1;
                }
                Effect::Command(key, Command::Refuse(_, after)) => {
                    assert!(after > ms(0));
                    if arrived[&key] == now { on_arrival += 1 } else { after_wait += 1 }
                }
                _ => {}
            }
        }
    }
    assert!(sent >= 36, "{sent} requests sent; there is room for 40");
    assert!(
        on_arrival > after_wait * 3,
        "{on_arrival} were refused on arrival, {after_wait} after a wait"
    );
}

/// While a pool had lost engines, callers whose requests a crash had interrupted were refused on arrival each time
/// that they returned, and used up their tries within a second, before the engines were back.
#[test]
fn returning_caller_waits_although_the_estimate_refuses_new_requests() {
    let (mut daemon, first) = full_server();
    let route = route("plain", Repeat::AtMostOnce, 1);
    daemon.fingerprint = Fingerprint(77);
    daemon.report(ms(20), first, 1, Report::Failed);
    let crash = crate::poison::Interruption {
        fingerprint: Fingerprint(0),
        parts: Vec::new(),
        incarnation: crate::poison::Incarnation::of("s-2", Some("1")),
        pool: xxhash_rust::xxh3::xxh3_64(b"plain"),
        servers: 2,
        run_time: ms(10),
        age: ms(0),
        ran_alone: false,
    };
    let crash = crate::poison::Message::Interruptions(vec![crash]);
    daemon.node.apply(ms(20), Message::Frame(Frame::Poison(crash)));
    daemon.fingerprint = Fingerprint(1);
    daemon.arrive(ms(30), &route, None);
    for at in 0..20 {
        daemon.fingerprint = Fingerprint(100 + at);
        daemon.arrive(ms(40 + at), &route, None);
    }
    for new in 500..512 {
        daemon.fingerprint = Fingerprint(new);
        let (_, effects) = daemon.arrive(ms(300), &route, None);
        let commands = commands(&effects);
        assert!(
            matches!(commands.as_slice(), [Command::Refuse(Code::NoServer, _)]),
            "{commands:?}"
        );
    }
    for returning in (500..512).chain([0]) {
        daemon.fingerprint = Fingerprint(returning);
        let (_, effects) = daemon.arrive(ms(310), &route, None);
        assert!(commands(&effects).is_empty(), "{returning}: {effects:?}");
    }
}
