//! Selection of servers: registration states, residency of prompt parts, load, and the KV store.

use super::world::*;
use crate::fleet::*;
use crate::prelude::*;
use crate::route::{Repeat, Workspace};

fn request_commands(daemon: &mut Daemon, now: Time) -> Vec<Command> {
    let (request, effects) = daemon.arrive(now, &route("plain", Repeat::AtMostOnce, 1), None);
    daemon.node.apply(now, Message::Cancel(request));
    commands(&effects)
}

#[test]
fn draining_server_gets_no_requests_and_stays_draining() {
    let mut daemon = Daemon::with_servers(1, &[("s-1", "plain 11 ready")]);
    assert_eq!(request_commands(&mut daemon, ms(10)).len(), 1);
    daemon.deliver_records(ms(20), Topic::Servers, &[("s-1", "plain 11 draining")]);
    assert!(request_commands(&mut daemon, ms(21)).is_empty());
    daemon.deliver_records(ms(30), Topic::Servers, &[("s-1", "plain 11 ready")]);
    assert!(request_commands(&mut daemon, ms(31)).is_empty());
}

#[test]
fn removed_server_gets_no_requests() {
    let mut daemon = Daemon::with_servers(1, &[("s-1", "plain 11 ready")]);
    daemon.deliver_records(ms(20), Topic::Servers, &[("s-1", "")]);
    assert!(request_commands(&mut daemon, ms(21)).is_empty());
}

#[test]
fn registration_lapsed_in_an_outage_is_kept_until_it_could_be_renewed() {
    let mut daemon =
        Daemon::with_servers(1, &[("s-1", "plain 11 ready"), ("s-2", "plain 12 ready")]);
    let down = Message::ReadFailed(Dependency::Topic(Topic::Servers), "down".into());
    daemon.node.apply(ms(1_000), down);
    daemon.deliver_records(ms(1_500), Topic::Servers, &[("s-1", ""), ("s-2", "")]);
    assert_eq!(request_commands(&mut daemon, ms(1_600)).len(), 1);
    daemon.deliver_records(ms(2_000), Topic::Servers, &[("s-2", "plain 12 ready")]);
    daemon.tick(ms(3_300));
    for at in 0..4 {
        let sent_commands = request_commands(&mut daemon, ms(3_400 + at));
        assert!(
            matches!(&sent_commands[..], [Command::Dispatch(d)] if d.server == "s-2"),
            "{sent_commands:?}"
        );
    }
}

#[test]
fn complete_read_without_a_server_removes_it() {
    let mut daemon =
        Daemon::with_servers(1, &[("s-1", "plain 11 ready"), ("s-2", "plain 12 ready")]);
    let record = Record { key: "s-2".into(), offset: 9, value: Some(b"plain 12 ready".to_vec()) };
    let batch = Batch { topic: Topic::Servers, from: 0, to: 100, records: vec![record] };
    let read = Read { batch, is_snapshot: true, current_at: ms(50) };
    daemon.node.apply(ms(50), Message::Read(read));
    for at in 0..4 {
        let sent_commands = request_commands(&mut daemon, ms(60 + at));
        assert!(
            matches!(&sent_commands[..], [Command::Dispatch(d)] if d.server == "s-2"),
            "{sent_commands:?}"
        );
    }
}

const ENGINES: [(&str, &str); 4] = [
    ("e-1", "engine 21 ready 1"),
    ("e-2", "engine 22 ready 1"),
    ("e-3", "engine 23 ready 1"),
    ("e-4", "engine 24 ready 1"),
];

fn send(daemon: &mut Daemon, now: Time, workspace: Option<Workspace>, subject: u64) -> Dispatch {
    let route = route("engines", Repeat::Resumable, 2);
    let (request, effects) = daemon.arrive_for(now, &route, Some(prompt(7, subject)), workspace);
    daemon.node.apply(now, Message::Cancel(request));
    dispatch(&effects)
}

#[test]
fn daemons_agree_on_the_home_of_a_subject() {
    for subject in 0..20 {
        let mut one = Daemon::with_servers(1, &ENGINES);
        let mut two = Daemon::with_servers(2, &ENGINES);
        let sent = send(&mut one, ms(10), None, subject);
        assert_eq!(sent.server, send(&mut two, ms(10), None, subject).server);
    }
}

#[test]
fn salt_parts_weights_and_isolated_workspaces() {
    let mut daemon = Daemon::with_servers(1, &ENGINES);
    let lab = |isolated| Workspace { name: "lab".into(), priority: None, isolated, quota: None };
    let open = send(&mut daemon, ms(10), Some(lab(false)), 3);
    let isolated = send(&mut daemon, ms(11), Some(lab(true)), 3);
    assert_eq!(open.cache_salt, send(&mut daemon, ms(12), None, 3).cache_salt);
    assert_ne!(open.cache_salt, isolated.cache_salt);
    daemon.node.apply(ms(20), Message::OrderEnded(Default::default(), OrderEnd::Held));
    let newer: Vec<(&str, &str)> =
        ENGINES.iter().map(|(id, _)| (*id, "engine 21 ready 2")).collect();
    daemon.deliver_records(ms(20), Topic::Servers, &newer);
    assert_ne!(open.cache_salt, send(&mut daemon, ms(21), None, 3).cache_salt);
    assert_eq!(send(&mut daemon, ms(22), None, 3).weights_version, Some(2));
}

fn store_events(salt: &str, parts: &[u64], epoch: u64) -> Message {
    let change = |part: &u64| CacheEvent { salt: salt.into(), part: *part, tokens: 4_000 };
    let changes = parts.iter().map(change).collect();
    Message::Events(
        Location::Store(address(200)),
        Some(EventBatch { epoch, next: 0, has_gap: false, events: changes }),
    )
}

#[test]
fn kv_store_is_sent_missing_parts_and_read_for_stored_ones() {
    let mut daemon = Daemon::with_servers(1, &ENGINES);
    daemon.node.apply(ms(900), store_events("1", &[], 1));
    let first = send(&mut daemon, ms(2_000), None, 3);
    assert_eq!(first.save_to, Some(address(200)));
    // The parts are being saved, so the next request does not save them again.
    assert_eq!(send(&mut daemon, ms(2_100), None, 3).save_to, None);
    daemon.node.apply(ms(2_500), store_events("1", &[7, 3], 1));
    daemon.node.apply(ms(8_900), store_events("1", &[], 1));
    let kept = send(&mut daemon, ms(9_000), None, 3);
    assert_eq!((kept.fetch_from, kept.save_to), (Some(address(200)), None));
    // A restarted store is empty.
    daemon.node.apply(ms(9_500), store_events("1", &[], 2));
    assert_eq!(send(&mut daemon, ms(10_000), None, 3).save_to, Some(address(200)));
}

// What a workspace had saved before it became isolated was fetched for all others.
#[test]
fn kv_store_is_not_read_for_parts_of_before_an_isolation() {
    let mut daemon = Daemon::with_servers(1, &ENGINES);
    daemon.node.apply(ms(900), store_events("1", &[7, 3], 1));
    let before = send(&mut daemon, ms(2_000), None, 3);
    assert_eq!((before.fetch_from, before.save_to), (Some(address(200)), None));
    daemon.deliver_records(ms(2_100), Topic::Operator, &[("config", "table 2 isolates lab")]);
    let after = send(&mut daemon, ms(2_200), None, 3);
    // Another engine may have the parts under the new salt, but what the store has is under the former one.
    assert_ne!(after.fetch_from, Some(address(200)));
    assert_eq!(after.save_to, Some(address(200)));
    let lab = Workspace { name: "lab".into(), priority: None, isolated: true, quota: None };
    assert_ne!(send(&mut daemon, ms(2_300), Some(lab), 3).fetch_from, Some(address(200)));
    // Once nobody is isolated any more, the parts may be used again.
    daemon.deliver_records(ms(2_400), Topic::Operator, &[("config", "table 3")]);
    let again = send(&mut daemon, ms(2_500), None, 3);
    assert_eq!(again.cache_salt, before.cache_salt);
}

#[test]
fn kv_store_that_is_down_is_not_used() {
    let mut daemon = Daemon::with_servers(1, &ENGINES);
    daemon.node.apply(ms(900), store_events("1", &[7, 3], 1));
    daemon.node.apply(ms(1_000), Message::Events(Location::Store(address(200)), None));
    let sent = send(&mut daemon, ms(2_000), None, 3);
    assert_eq!(sent.save_to, None);
    // Another engine may have the parts.
    let engines: Vec<_> = (21..25).map(address).collect();
    assert!(sent.fetch_from.is_some_and(|from| engines.contains(&from)), "{sent:?}");
}

#[test]
fn kv_store_link_limits_saves() {
    let mut daemon = Daemon::with_servers(1, &ENGINES);
    daemon.node.apply(ms(900), store_events("1", &[], 1));
    daemon.tick(ms(1_000));
    let sent = (0..200)
        .filter(|subject| send(&mut daemon, ms(2_000), None, *subject).save_to.is_some())
        .count();
    // 9,000 tokens of 163,840 bytes each, over a link of 47 GB/s that only this daemon uses; saves may
    // delay a first token by a fifth of a second at most.
    assert!((4..=6).contains(&sent), "{sent} prompts of 1.47 GB were sent at once");
}

#[test]
fn engine_with_a_queue_gets_no_request_that_would_begin_late() {
    let mut daemon = Daemon::with_servers(1, &ENGINES[..1]);
    let route = route("engines", Repeat::Resumable, 2);
    let mut sent = Vec::new();
    for _ in 0..20 {
        let (request, effects) = daemon.arrive(ms(10), &route, Some(prompt(7, 3)));
        if !commands(&effects).is_empty() {
            sent.push(request);
        }
    }
    // Each has 2,700 uncached tokens, about 54 ms of prefill; half of the target is 300 ms.
    assert!((4..=7).contains(&sent.len()), "{} prompts were queued at one engine", sent.len());
    // A begun answer frees room.
    let effects = daemon.report(ms(80), sent[0], 1, Report::Begun(Some(1)));
    assert!(commands(&effects).is_empty());
    assert_eq!(commands(&daemon.tick(ms(100))).len(), 1);
    // Requests without room after half of their target are refused.
    let refused = commands(&daemon.tick(ms(400)));
    assert!(!refused.is_empty());
    assert!(refused.iter().all(|command| matches!(command, Command::Refuse(..))), "{refused:?}");
}

#[test]
fn large_prompt_is_served_by_an_idle_engine() {
    let mut daemon = Daemon::with_servers(1, &ENGINES);
    let mut large = prompt(7, 3);
    large.input = 60_000;
    large.parts[1].tokens = 17_000;
    let route = route("engines", Repeat::Resumable, 2);
    assert_eq!(commands(&daemon.arrive(ms(10), &route, Some(large)).1).len(), 1);
}

#[test]
fn prompt_waits_for_the_engine_that_holds_its_parts() {
    let mut daemon = Daemon::with_servers(1, &ENGINES);
    let route = route("engines", Repeat::Resumable, 2);
    let (first, effects) = daemon.arrive(ms(10), &route, Some(prompt(7, 3)));
    let home = dispatch(&effects).server;
    let mut sent = BTreeSet::new();
    for _ in 0..30 {
        let (_, effects) = daemon.arrive(ms(20), &route, Some(prompt(7, 3)));
        let to = commands(&effects).into_iter().filter_map(|command| match command {
            Command::Dispatch(dispatch) => Some(dispatch.server),
            _ => None,
        });
        sent.extend(to);
    }
    assert!(sent.contains(&home));
    assert!(sent.len() < ENGINES.len(), "every engine computes the same parts: {sent:?}");
    daemon.node.apply(ms(30), Message::Cancel(first));
}

/// Registrations of sixteen engines with weights 1.
fn sixteen_engines() -> Vec<(String, String)> {
    (1..=16).map(|n| (format!("e-{n:02}"), format!("engine {} ready 1", 20 + n))).collect()
}

fn daemon_with_sixteen_engines(last: u8) -> Daemon {
    let engines = sixteen_engines();
    let engines: Vec<(&str, &str)> =
        engines.iter().map(|(id, value)| (id.as_str(), value.as_str())).collect();
    Daemon::with_servers(last, &engines)
}

/// Delivers a digest of the peer `last` with its load and heat.
fn receive_digest(
    daemon: &mut Daemon,
    now: Time,
    last: u8,
    busy: &[(&str, Workload)],
    heat: &[(u64, f32)],
) {
    let digest = Digest {
        daemon: format!("router-{last:03}"),
        address: address(last).to_string(),
        workloads: busy.iter().map(|(id, busy)| (Incarnation::new(*id, 0), *busy)).collect(),
        hot_parts: heat.to_vec(),
        ..Digest::default()
    };
    daemon.node.apply(now, Message::Frame(Frame::Digest(Box::new(digest))));
}

#[test]
fn full_home_stays_the_home_and_others_fetch_from_it() {
    let mut daemon = daemon_with_sixteen_engines(1);
    let home = send(&mut daemon, ms(10), None, 3);
    let full = Workload { running: 48, ..Workload::default() };
    receive_digest(&mut daemon, ms(20), 2, &[(home.server.as_str(), full)], &[]);
    let spilled = send(&mut daemon, ms(30), None, 3);
    assert_ne!(spilled.server, home.server);
    assert_eq!(spilled.fetch_from, Some(home.address));
    // The load of a silent peer no longer counts, so the home has room again.
    daemon.tick(ms(4_990));
    assert_eq!(send(&mut daemon, ms(5_000), None, 3).server, home.server);
}

#[test]
fn home_that_loads_weights_has_one_substitute_for_all_daemons() {
    let mut substitutes = BTreeSet::new();
    for last in [1, 2, 3] {
        let mut daemon = daemon_with_sixteen_engines(last);
        let home = send(&mut daemon, ms(10), None, 3).server;
        let loading = Workload { loading_weights: true, ..Workload::default() };
        receive_digest(&mut daemon, ms(20), 9, &[(home.as_str(), loading)], &[]);
        let sent = send(&mut daemon, ms(30), None, 3).server;
        assert_ne!(sent, home);
        substitutes.insert(sent);
    }
    assert_eq!(substitutes.len(), 1, "{substitutes:?}");
}

#[test]
fn subject_seen_rarely_by_one_of_many_daemons_has_one_home() {
    let mut daemon = daemon_with_sixteen_engines(1);
    for last in 2..60 {
        receive_digest(&mut daemon, ms(10), last, &[], &[]);
    }
    let servers: BTreeSet<String> =
        (0..6).map(|n| send(&mut daemon, ms(20 + 900 * n), None, 3).server).collect();
    assert_eq!(servers.len(), 1, "{servers:?}");
}

#[test]
fn hot_subject_of_all_daemons_gets_more_homes() {
    let mut daemon = daemon_with_sixteen_engines(1);
    let first = send(&mut daemon, ms(10), None, 3);
    let part = daemon.node.heat.top(ms(10), 2);
    assert_eq!(part.len(), 2);
    let heat: Vec<(u64, f32)> = part.iter().map(|(part, _)| (part.0, 100.0)).collect();
    for last in 2..8 {
        receive_digest(&mut daemon, ms(20), last, &[], &heat);
    }
    // 600 ms of work per second need more than two engines.
    let mut homes = BTreeSet::from([first.server]);
    let route = route("engines", Repeat::Resumable, 2);
    for n in 0..12 {
        let (_, effects) = daemon.arrive(ms(30 + n), &route, Some(prompt(7, 3)));
        let sent = commands(&effects);
        homes.extend(sent.iter().filter_map(|command| match command {
            Command::Dispatch(dispatch) => Some(dispatch.server.clone()),
            _ => None,
        }));
    }
    assert_eq!(homes.len(), 4, "{homes:?}");
}

#[test]
fn idle_connections_are_shared_by_all_daemons() {
    // The pool accepts 100 connections from all callers.
    let mut alone = daemon_with_sixteen_engines(1);
    assert_eq!(send(&mut alone, ms(10), None, 3).max_idle, 16);
    let mut many = daemon_with_sixteen_engines(1);
    for last in 2..11 {
        receive_digest(&mut many, ms(10), last, &[], &[]);
    }
    assert_eq!(send(&mut many, ms(20), None, 3).max_idle, 5);
    for last in 11..100 {
        receive_digest(&mut many, ms(20), last, &[], &[]);
    }
    assert_eq!(send(&mut many, ms(30), None, 3).max_idle, 1);
}

/// Delivers events by which the KV store has these parts and the engines have none.
fn receive_events(daemon: &mut Daemon, now: Time, parts: &[u64]) {
    daemon.node.apply(now, store_events("1", parts, 1));
    let nothing = EventBatch { epoch: 1, next: 0, has_gap: false, events: Vec::new() };
    let engines: Vec<server::Key> = daemon.node.servers.keys().collect();
    for engine in engines {
        let message = Message::Events(Location::Engine(engine), Some(nothing.clone()));
        daemon.node.apply(now, message);
    }
}

#[test]
fn fetch_cost_from_the_kv_store_follows_measured_times() {
    let mut daemon = Daemon::with_servers(1, &ENGINES[..1]);
    let route = route("engines", Repeat::Resumable, 2);
    let mut fetched = Vec::new();
    for step in 0..30_u64 {
        // Events report that the store has all parts, and the engine none.
        let now = ms(9_000 + step * 400);
        receive_events(&mut daemon, now, &[7, step]);
        let (request, effects) = daemon.arrive(now, &route, Some(prompt(7, step)));
        let from_store = dispatch(&effects).fetch_from == Some(address(200));
        fetched.push(from_store);
        // A fetch delays the first token by a second; computing the parts does not.
        let took = if from_store { 1_000 } else { 150 };
        daemon.report(now + ms(took), request, 1, Report::Begun(Some(1)));
        daemon.report(now + ms(took), request, 1, Report::Ended);
    }
    assert!(fetched[0], "before the first measurement, parts are fetched");
    let late = fetched[2..].iter().filter(|from_store| **from_store).count();
    assert!(late < 10, "{late} of 28 prompts were fetched over a link with a delay of 1 s");
    // After a pause, the link is tried again.
    receive_events(&mut daemon, ms(90_000), &[7, 99]);
    assert_eq!(send(&mut daemon, ms(90_000), None, 99).fetch_from, Some(address(200)));
}

#[test]
fn kv_store_in_another_zone_charges_its_link_twice() {
    let sent_by = |engine: (&str, &str)| {
        let mut daemon = Daemon::with_servers(1, &[engine]);
        daemon.node.apply(ms(900), store_events("1", &[], 1));
        daemon.tick(ms(1_000));
        let send = |subject: u64| send(&mut daemon, ms(2_000), None, subject).save_to.is_some();
        (0..50).map(send).filter(|saved| *saved).count()
    };
    let near = sent_by(("e-1", "engine 21 ready 1"));
    let far = sent_by(("e-1", "far-engine 21 ready 1"));
    assert!(far > 0 && far <= near.div_ceil(2), "{near} from its zone, {far} from another");
}
