//! When weights were named, as daemons believe that did not see it.
//!
//! Requests began on weights that had been replaced 16 to 20 s before, where 10 s is the limit, at a daemon that had
//! just started among daemons that had not. A configuration had been acknowledged as it started, and its peers told
//! it of that one record at once: `SnapshotTaken records=1` 0.3 ms after `Started`. One record of the topic counted as
//! the topic, so the version that it read from the store a moment later counted as named after its start
//! (`WeightsNamed version=2 age=known`, as it was logged then, and `AttemptSent weights=1 overtaken_ms=6`, 14.6 s after the naming). Daemons
//! that started without such a record said `age=unknown` and sent nothing there.

use super::site::Site;
use super::world::*;
use crate::fleet::*;
use crate::prelude::*;
use crate::route::Repeat;

const OLD: &str = "engine 201 ready 1";
const NEW: &str = "engine 202 ready 2";

/// The newest records of all keys of the operators' topic, one of which was named long before.
fn operator_topic() -> Vec<Record> {
    let record = |key: &str, offset, value: &str| Record {
        key: key.into(),
        offset,
        value: Some(value.as_bytes().to_vec()),
    };
    vec![record("version/m", 1, "weights 2"), record("config", 5, "table 6")]
}

fn records(topic: Topic, from: u64, to: u64, records: Vec<Record>) -> Message {
    Message::Frame(Frame::Records(Batch { topic, from, to, records }))
}

/// Sends a request of the engines' route; the weights that it is sent to.
fn send(daemon: &mut Daemon, now: Time) -> Vec<Option<u64>> {
    let route = route("engines", Repeat::Resumable, 2);
    let (request, effects) = daemon.arrive(now, &route, Some(prompt(7, 3)));
    daemon.node.apply(now, Message::Leave(request));
    let dispatched = commands(&effects).into_iter().filter_map(|command| match command {
        Command::Dispatch(dispatch) => Some(dispatch.weights),
        Command::Refuse(..) | Command::GiveUp => None,
    });
    dispatched.collect()
}

#[test]
fn named_before_the_start_after_a_part_of_the_topic() {
    let mut daemon = Daemon::new(1);
    let newest = operator_topic().split_off(1);
    daemon.node.apply(ms(20), records(Topic::Operator, 5, 6, newest));
    daemon.node.apply(ms(40), records(Topic::Operator, 0, 6, operator_topic()));
    daemon.put(ms(50), Topic::Servers, &[("e-1", OLD)]);
    assert_eq!(send(&mut daemon, ms(60)), []);
}

#[test]
fn restart_at_a_configuration_begins_nothing_on_old_weights() {
    for count in [3, 9, 71, 195] {
        let mut site = Site::new(count, &[("e-1", OLD), ("e-2", NEW)]);
        for daemon in &mut site.daemons {
            daemon.put(site.now, Topic::Operator, &[("version/m", "weights 2")]);
        }
        site.now += POLICY.weights_limit + ms(2_000);
        site.pass(ms(1_000));
        // It starts again, and the others read a configuration at the same moment.
        let last = usize::from(count) - 1;
        site.daemons[last] = Daemon::new(count);
        for index in 0..last {
            let effects =
                site.daemons[index].put(site.now, Topic::Operator, &[("config", "table 2")]);
            for (to, message) in site.carry(index, effects) {
                site.apply(to, message);
            }
        }
        site.now += ms(20);
        let now = site.now;
        let daemon = &mut site.daemons[last];
        daemon.put(
            now,
            Topic::Operator,
            &[("first", "table 1"), ("version/m", "weights 2"), ("config", "table 2")],
        );
        daemon.put(now, Topic::Servers, &[("e-1", OLD)]);
        assert_eq!(send(daemon, now), [], "{count} daemons");
    }
}

/// Weights may have been named at any time since a daemon last knew that none were. One that was frozen for eight
/// seconds took them for named when it woke and read of them.
#[test]
fn named_while_the_daemon_was_frozen() {
    let mut daemon = Daemon::with(1, &[("e-1", OLD)]);
    for time in (0..=1_000).step_by(50) {
        daemon.tick(ms(time));
    }
    daemon.put(ms(9_000), Topic::Operator, &[("version/m", "weights 2")]);
    assert_eq!(send(&mut daemon, ms(9_050)), []);
}

/// A peer that is asked for what was missed gives the newest record of each key: of weights that were named one after
/// the other, the last. The limit counts from the first of them.
#[test]
fn named_one_after_the_other_while_the_store_refused_the_daemon() {
    let mut daemon = Daemon::with(1, &[("e-1", OLD)]);
    daemon.tick(ms(1_000));
    daemon
        .node
        .apply(ms(1_000), Message::Down(Dependency::Topic(Topic::Operator), "refused".into()));
    let value = Some(b"weights 3".to_vec());
    let third = vec![Record { key: "version/m".into(), offset: 3, value }];
    daemon.node.apply(ms(6_000), records(Topic::Operator, 1, 4, third));
    assert_eq!(send(&mut daemon, ms(7_000)), []);
}

fn naming(version: u64, age_ms: Option<u64>) -> Naming {
    Naming { model: "m".into(), version, age: age_ms.map(ms) }
}

/// A peer's digest comes, and the daemon looks at it.
fn hear(daemon: &mut Daemon, now: Time, last: u8, sent: Time, named: Vec<Naming>) {
    let (peer, address) = (format!("router-{last}"), address(last).to_string());
    let digest = Digest { daemon: peer, address, sent, named, ..Digest::default() };
    daemon.node.apply(now, Message::Frame(Frame::Digest(Box::new(digest))));
    daemon.tick(now + ms(5));
}

/// A daemon that has just started and read that version 2 was named.
fn newcomer() -> Daemon {
    let mut daemon = Daemon::new(1);
    let named = [("version/m", "weights 2"), ("config", "table 1")];
    daemon.put(ms(20), Topic::Operator, &named);
    daemon.put(ms(20), Topic::Servers, &[("e-1", OLD)]);
    daemon
}

#[test]
fn named_before_the_start_is_used_for_what_is_left_by_a_peers_word() {
    let mut daemon = newcomer();
    assert_eq!(send(&mut daemon, ms(40)), []);
    hear(&mut daemon, ms(50), 2, ms(90_050), vec![naming(2, Some(3_000))]);
    assert_eq!(send(&mut daemon, ms(60)), [Some(1)]);
    for time in (60..3_000).step_by(100) {
        daemon.tick(ms(time));
    }
    assert_eq!(send(&mut daemon, ms(3_000)), []);
}

#[test]
fn hear_counts_the_least_of_what_each_peer_told_last() {
    let mut daemon = newcomer();
    hear(&mut daemon, ms(50), 2, ms(1_000), vec![naming(2, Some(1_000))]);
    hear(&mut daemon, ms(70), 2, ms(1_020), vec![naming(2, Some(7_000))]);
    assert_eq!(send(&mut daemon, ms(80)), []);
    hear(&mut daemon, ms(90), 3, ms(4_000), vec![naming(2, Some(4_000))]);
    assert_eq!(send(&mut daemon, ms(100)), [Some(1)]);
}

#[test]
fn hear_of_an_earlier_version_that_overtook_first() {
    let mut daemon = newcomer();
    daemon.put(ms(30), Topic::Operator, &[("version/m", "weights 3")]);
    hear(&mut daemon, ms(50), 2, ms(50), vec![naming(2, None), naming(3, Some(500))]);
    assert_eq!(send(&mut daemon, ms(60)), [], "nobody says when version 2 overtook");
    hear(&mut daemon, ms(70), 2, ms(70), vec![naming(2, Some(2_000)), naming(3, Some(520))]);
    assert_eq!(send(&mut daemon, ms(80)), [Some(1)]);
}

#[test]
fn hear_what_waited_while_the_daemon_was_frozen() {
    let mut daemon = Daemon::with(1, &[("e-1", OLD)]);
    for time in (0..=1_000).step_by(50) {
        daemon.tick(ms(time));
    }
    hear(&mut daemon, ms(1_000), 2, ms(51_000), Vec::new());
    daemon.put(ms(9_001), Topic::Operator, &[("version/m", "weights 2")]);
    hear(&mut daemon, ms(9_002), 2, ms(51_200), vec![naming(2, Some(100))]);
    assert_eq!(send(&mut daemon, ms(9_050)), []);
    hear(&mut daemon, ms(9_500), 2, ms(59_495), vec![naming(2, Some(900))]);
    assert_eq!(send(&mut daemon, ms(9_520)), [Some(1)], "it was named lately");
}

#[test]
fn told_by_those_who_saw_it_to_daemons_that_start() {
    let engines = [("e-1", OLD), ("e-2", OLD)];
    let mut site = Site::new(3, &engines);
    for daemon in &mut site.daemons {
        daemon.hear_store(site.now);
        daemon.put(site.now, Topic::Operator, &[("version/m", "weights 2")]);
    }
    let named_at = site.now;
    for index in 0..3 {
        site.pass(ms(800));
        let mut daemon = Daemon::new(index as u8 + 1);
        let now = site.now;
        daemon.put(now, Topic::Operator, &[("version/m", "weights 2"), ("config", "table 1")]);
        daemon.put(now, Topic::Servers, &engines);
        let routers =
            [("router-1", "router 1"), ("router-2", "router 2"), ("router-3", "router 3")];
        daemon.put(now, Topic::Routers, &routers);
        site.daemons[index] = daemon;
        site.pass(ms(800));
        let age = site.daemons[index].node.superseded_for(site.now, "m", 1);
        let age = age.expect("version 2 was named");
        let true_age = site.now - named_at;
        let saw = index < 2;
        assert_eq!(saw, age < true_age + ms(200), "{age:?} {true_age:?}");
        assert!(age >= true_age, "{age:?} {true_age:?}");
    }
}
