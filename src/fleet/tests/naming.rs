//! Bounds on the age of namings at daemons that did not read them at once.
//!
//! Guards against a daemon that starts among running ones and sends requests to weights that were
//! replaced 16 to 20 s before, where the limit is 10 s. Its peers had sent it one record of the
//! operators' topic, a configuration that was acknowledged as it started (`SnapshotTaken records=1`
//! 0.3 ms after `Started`). It took this record for the whole topic, and the version that it read
//! from the store a moment later for named after its start (`AttemptSent weights=1 overtaken_ms=6`,
//! 14.6 s after the naming). Daemons that started without such a record treated the age as unknown
//! and sent nothing there.

use super::site::Site;
use super::world::*;
use crate::fleet::*;
use crate::prelude::*;
use crate::route::Repeat;

const OLD: &str = "engine 201 ready 1";
const NEW: &str = "engine 202 ready 2";

/// The newest records of all keys of the operators' topic; the version was named long before.
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

/// Sends a request on the engines' route and returns the weights of its dispatches.
fn send(daemon: &mut Daemon, now: Time) -> Vec<Option<u64>> {
    let route = route("engines", Repeat::Resumable, 2);
    let (request, effects) = daemon.arrive(now, &route, Some(prompt(7, 3)));
    daemon.node.apply(now, Message::Cancel(request));
    let dispatched = commands(&effects).into_iter().filter_map(|command| match command {
        Command::Dispatch(dispatch) => Some(dispatch.weights_version),
        Command::HandOver(_) | Command::Refuse(..) | Command::GiveUp => None,
    });
    dispatched.collect()
}

#[test]
fn named_before_the_start_after_one_record_of_the_topic() {
    let mut daemon = Daemon::new(1);
    let newest = operator_topic().split_off(1);
    daemon.node.apply(ms(20), records(Topic::Operator, 5, 6, newest));
    daemon.node.apply(ms(40), records(Topic::Operator, 0, 6, operator_topic()));
    daemon.deliver_records(ms(50), Topic::Servers, &[("e-1", OLD)]);
    assert_eq!(send(&mut daemon, ms(60)), []);
}

#[test]
fn restart_during_a_configuration_sends_nothing_to_old_weights() {
    for count in [3, 9, 71, 195] {
        let mut site = Site::new(count, &[("e-1", OLD), ("e-2", NEW)]);
        for daemon in &mut site.daemons {
            daemon.deliver_records(site.now, Topic::Operator, &[("version/m", "weights 2")]);
        }
        site.now += POLICY.weights_limit + ms(2_000);
        site.advance(ms(1_000));
        // The daemon restarts, and the others read a configuration at the same moment.
        let last = usize::from(count) - 1;
        site.daemons[last] = Daemon::new(count);
        for index in 0..last {
            let effects = site.daemons[index].deliver_records(
                site.now,
                Topic::Operator,
                &[("config", "table 2")],
            );
            for (to, message) in site.execute_effects(index, effects) {
                site.apply(to, message);
            }
        }
        site.now += ms(20);
        let now = site.now;
        let daemon = &mut site.daemons[last];
        daemon.deliver_records(
            now,
            Topic::Operator,
            &[("first", "table 1"), ("version/m", "weights 2"), ("config", "table 2")],
        );
        daemon.deliver_records(now, Topic::Servers, &[("e-1", OLD)]);
        assert_eq!(send(daemon, now), [], "{count} daemons");
    }
}

/// Weights may have been named at any time since a daemon last had all records. Guards against a
/// daemon that was frozen for eight seconds and takes a version for named at its resumption.
#[test]
fn named_while_the_daemon_was_frozen() {
    let mut daemon = Daemon::with_servers(1, &[("e-1", OLD)]);
    for time in (0..=1_000).step_by(50) {
        daemon.tick(ms(time));
    }
    daemon.deliver_records(ms(9_000), Topic::Operator, &[("version/m", "weights 2")]);
    assert_eq!(send(&mut daemon, ms(9_050)), []);
}

/// A peer that is asked for missed records returns the newest record of each key: of versions named
/// in succession, only the last. The limit counts from the first.
#[test]
fn named_in_succession_while_the_store_refused_the_daemon() {
    let mut daemon = Daemon::with_servers(1, &[("e-1", OLD)]);
    daemon.tick(ms(1_000));
    daemon.node.apply(
        ms(1_000),
        Message::ReadFailed(Dependency::Topic(Topic::Operator), "refused".into()),
    );
    let value = Some(b"weights 3".to_vec());
    let third = vec![Record { key: "version/m".into(), offset: 3, value }];
    daemon.node.apply(ms(6_000), records(Topic::Operator, 1, 4, third));
    assert_eq!(send(&mut daemon, ms(7_000)), []);
}

fn naming(version: u64, age_ms: Option<u64>) -> Naming {
    Naming { model: "m".into(), version, age: age_ms.map(ms) }
}

/// Receives the digest of a peer, and runs the next tick.
fn receive_digest(daemon: &mut Daemon, now: Time, last: u8, sent: Time, named: Vec<Naming>) {
    let (peer, address) = (format!("router-{last}"), address(last).to_string());
    let digest = Digest { daemon: peer, address, sent_at: sent, named, ..Digest::default() };
    daemon.node.apply(now, Message::Frame(Frame::Digest(Box::new(digest))));
    daemon.tick(now + ms(5));
}

/// Receives two digests without namings, after which the delay of the next ones is known.
fn receive_first_digests(daemon: &mut Daemon, now: Time, last: u8, sent: Time) {
    receive_digest(daemon, now, last, sent, Vec::new());
    receive_digest(daemon, now + ms(5), last, sent + ms(5), Vec::new());
}

/// A daemon that has just started and has read that version 2 was named.
fn started_daemon() -> Daemon {
    let mut daemon = Daemon::new(1);
    let named = [("version/m", "weights 2"), ("config", "table 1")];
    daemon.deliver_records(ms(20), Topic::Operator, &named);
    daemon.deliver_records(ms(20), Topic::Servers, &[("e-1", OLD)]);
    daemon
}

#[test]
fn named_before_the_start_uses_the_bound_of_a_peer() {
    let mut daemon = started_daemon();
    assert_eq!(send(&mut daemon, ms(40)), []);
    receive_first_digests(&mut daemon, ms(42), 2, ms(90_042));
    receive_digest(&mut daemon, ms(50), 2, ms(90_050), vec![naming(2, Some(3_000))]);
    assert_eq!(send(&mut daemon, ms(60)), [Some(1)]);
    for time in (60..3_000).step_by(100) {
        daemon.tick(ms(time));
    }
    assert_eq!(send(&mut daemon, ms(3_000)), []);
}

/// The first digest of a peer came three seconds late. Its delay passed for none, so the naming in it looked three
/// seconds more recent than it was, and requests began on weights past their limit.
#[test]
fn merge_first_digest_that_may_be_late_bounds_nothing() {
    let mut daemon = started_daemon();
    receive_digest(&mut daemon, ms(50), 2, ms(1_000), vec![naming(2, Some(5_400))]);
    assert_eq!(send(&mut daemon, ms(60)), []);
    // The next ones are three seconds faster.
    receive_digest(&mut daemon, ms(70), 2, ms(4_020), vec![naming(2, Some(8_420))]);
    receive_digest(&mut daemon, ms(90), 2, ms(4_040), vec![naming(2, Some(8_440))]);
    assert_eq!(send(&mut daemon, ms(100)), []);
}

#[test]
fn merge_uses_the_smallest_of_the_last_bounds_of_peers() {
    let mut daemon = started_daemon();
    receive_first_digests(&mut daemon, ms(30), 2, ms(980));
    receive_first_digests(&mut daemon, ms(40), 3, ms(3_950));
    receive_digest(&mut daemon, ms(50), 2, ms(1_000), vec![naming(2, Some(1_000))]);
    receive_digest(&mut daemon, ms(70), 2, ms(1_020), vec![naming(2, Some(7_000))]);
    assert_eq!(send(&mut daemon, ms(80)), []);
    receive_digest(&mut daemon, ms(90), 3, ms(4_000), vec![naming(2, Some(4_000))]);
    assert_eq!(send(&mut daemon, ms(100)), [Some(1)]);
}

#[test]
fn merge_earlier_version_that_superseded_first() {
    let mut daemon = started_daemon();
    daemon.deliver_records(ms(30), Topic::Operator, &[("version/m", "weights 3")]);
    receive_first_digests(&mut daemon, ms(40), 2, ms(40));
    receive_digest(&mut daemon, ms(50), 2, ms(50), vec![naming(2, None), naming(3, Some(500))]);
    assert_eq!(send(&mut daemon, ms(60)), [], "no peer knows when version 2 was named");
    receive_digest(
        &mut daemon,
        ms(70),
        2,
        ms(70),
        vec![naming(2, Some(2_000)), naming(3, Some(520))],
    );
    assert_eq!(send(&mut daemon, ms(80)), [Some(1)]);
}

#[test]
fn merge_report_delayed_while_the_daemon_was_frozen() {
    let mut daemon = Daemon::with_servers(1, &[("e-1", OLD)]);
    for time in (0..=1_000).step_by(50) {
        daemon.tick(ms(time));
    }
    receive_digest(&mut daemon, ms(1_000), 2, ms(51_000), Vec::new());
    daemon.deliver_records(ms(9_001), Topic::Operator, &[("version/m", "weights 2")]);
    receive_digest(&mut daemon, ms(9_002), 2, ms(51_200), vec![naming(2, Some(100))]);
    assert_eq!(send(&mut daemon, ms(9_050)), []);
    receive_digest(&mut daemon, ms(9_500), 2, ms(59_495), vec![naming(2, Some(900))]);
    assert_eq!(send(&mut daemon, ms(9_520)), [Some(1)], "version 2 was named recently");
}

#[test]
fn bounds_are_reported_to_daemons_that_start() {
    let engines = [("e-1", OLD), ("e-2", OLD)];
    let mut site = Site::new(3, &engines);
    for daemon in &mut site.daemons {
        daemon.finish_empty_read(site.now);
        daemon.deliver_records(site.now, Topic::Operator, &[("version/m", "weights 2")]);
    }
    let named_at = site.now;
    for index in 0..3 {
        site.advance(ms(800));
        let mut daemon = Daemon::new(index as u8 + 1);
        let now = site.now;
        daemon.deliver_records(
            now,
            Topic::Operator,
            &[("version/m", "weights 2"), ("config", "table 1")],
        );
        daemon.deliver_records(now, Topic::Servers, &engines);
        let routers =
            [("router-1", "router 1"), ("router-2", "router 2"), ("router-3", "router 3")];
        daemon.deliver_records(now, Topic::Routers, &routers);
        site.daemons[index] = daemon;
        site.advance(ms(800));
        let age = site.daemons[index].node.superseded_for(site.now, "m", 1);
        let age = age.expect("version 2 was named");
        let true_age = site.now - named_at;
        let has_peer_that_read_it = index < 2;
        assert_eq!(has_peer_that_read_it, age < true_age + ms(200), "{age:?} {true_age:?}");
        assert!(age >= true_age, "{age:?} {true_age:?}");
    }
}
