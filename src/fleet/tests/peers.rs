//! What daemons learn from each other while one of them can't read the store.

use super::world::*;
use crate::fleet::*;
use crate::prelude::*;
use crate::route::Repeat;

/// Exchanges frames between daemons for `span`, with a tick every 50 ms; returns the other effects
/// of each.
fn exchange_frames(daemons: &mut [Daemon], from: Time, span: Duration) -> Vec<Vec<Effect>> {
    let mut seen = vec![Vec::new(); daemons.len()];
    let mut now = from;
    while now < from + span {
        now += ms(50);
        for index in 0..daemons.len() {
            let mut pending: Vec<(usize, Effect)> =
                daemons[index].tick(now).into_iter().map(|effect| (index, effect)).collect();
            while let Some((from, effect)) = pending.pop() {
                let Effect::Send(to, frame) = effect else {
                    seen[from].push(effect);
                    continue;
                };
                for to in to {
                    let Some(to) = (0..daemons.len()).find(|i| address(*i as u8 + 1) == to) else {
                        continue;
                    };
                    let effects = daemons[to].node.apply(now, Message::Frame(frame.clone()));
                    pending.extend(effects.into_iter().map(|effect| (to, effect)));
                }
            }
        }
    }
    seen
}

fn pair() -> [Daemon; 2] {
    let mut one = Daemon::with_servers(1, &[("s-1", "plain 11 ready")]);
    one.deliver_records(ms(0), Topic::Routers, &[("router-2", "router 2")]);
    let mut two = Daemon::with_servers(2, &[("s-1", "plain 11 ready")]);
    two.deliver_records(ms(0), Topic::Routers, &[("router-1", "router 1")]);
    [one, two]
}

#[test]
fn table_reaches_a_daemon_that_the_store_refuses() {
    let mut daemons = pair();
    daemons[0].deliver_records(ms(100), Topic::Operator, &[("config", "table 2")]);
    let seen = exchange_frames(&mut daemons, ms(100), ms(1_000));
    let versions: Vec<u64> = seen[1]
        .iter()
        .filter_map(|effect| match effect {
            Effect::Table(table) => Some(table.version()),
            _ => None,
        })
        .collect();
    assert_eq!(versions, [2]);
}

#[test]
fn draining_server_is_reported_to_peers() {
    let mut daemons = pair();
    daemons[0].deliver_records(ms(100), Topic::Servers, &[("s-1", "plain 11 draining")]);
    exchange_frames(&mut daemons, ms(100), ms(1_000));
    let route = route("plain", Repeat::AtMostOnce, 1);
    assert!(commands(&daemons[1].arrive(ms(1_200), &route, None).1).is_empty());
}

#[test]
fn new_daemon_gets_all_records_from_a_seed_while_the_store_is_down() {
    let one = Daemon::with_servers(1, &[("s-1", "plain 11 ready")]);
    let mut two = Daemon::new(2);
    let identity = Identity {
        id: "router-2".into(),
        incarnation: 2,
        zone: "zone-1".into(),
        address: address(2),
        handover_address: address(2),
        cores: 1.0,
    };
    two.node = Node::new(identity, POLICY, decode, &[address(1), address(2)]);
    for topic in [Topic::Operator, Topic::Servers] {
        let failed = Message::ReadFailed(Dependency::Topic(topic), "refused".into());
        two.node.apply(ms(50), failed);
    }
    let mut daemons = [one, two];
    assert!(!daemons[1].node.is_ready());
    exchange_frames(&mut daemons, ms(100), ms(1_500));
    assert!(daemons[1].node.is_ready());
}

#[test]
fn full_server_is_known_from_peers() {
    let mut daemons = pair();
    let route = route("plain", Repeat::AtMostOnce, 1);
    daemons[0].arrive(ms(100), &route, None);
    daemons[0].arrive(ms(100), &route, None);
    exchange_frames(&mut daemons, ms(100), ms(600));
    assert!(commands(&daemons[1].arrive(ms(750), &route, None).1).is_empty());
    // The load of a silent peer no longer counts.
    daemons[1].tick(ms(3_000));
    daemons[1].node.apply(
        ms(3_000),
        Message::Frame(Frame::Digest(Box::new(Digest {
            daemon: "router-3".into(),
            ..Digest::default()
        }))),
    );
    assert_eq!(commands(&daemons[1].arrive(ms(3_001), &route, None).1).len(), 1);
}

#[test]
fn weights_from_a_peer_are_logged_forwarded_and_used() {
    let mut daemon = Daemon::with_servers(1, &[("e-1", "engine 21 ready 1")]);
    daemon.deliver_records(ms(100), Topic::Operator, &[("version/m", "weights 2")]);
    let route = route("engines", Repeat::Resumable, 2);
    let (_, effects) = daemon.arrive(ms(9_000), &route, Some(prompt(1, 2)));
    assert!(commands(&effects).is_empty());
    let weights = vec![(Incarnation::new("e-1", 0), "m".into(), 2)];
    let digest = Digest {
        daemon: "router-3".into(),
        address: address(3).to_string(),
        weights: weights.clone(),
        ..Digest::default()
    };
    let effects = daemon.node.apply(ms(9_010), Message::Frame(Frame::Digest(Box::new(digest))));
    assert_eq!(dispatch(&effects).weights_version, Some(2));
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Event(Event::WeightsLoaded, _))));
    let reported = daemon.tick(ms(9_300)).into_iter().find_map(|effect| match effect {
        Effect::Send(_, Frame::Digest(digest)) => Some(digest.weights),
        _ => None,
    });
    assert_eq!(reported, Some(weights));
}

/// A daemon that received digests of `count` peers at `now`.
fn daemon_with_peers(count: u8, now: Time) -> Daemon {
    let mut daemon = Daemon::with_servers(1, &[("s-1", "plain 11 ready")]);
    for last in 2..count + 2 {
        let digest = Digest {
            daemon: format!("router-{last:03}"),
            address: address(last).to_string(),
            ..Digest::default()
        };
        daemon.node.apply(now, Message::Frame(Frame::Digest(Box::new(digest))));
    }
    daemon
}

#[test]
fn new_record_is_forwarded_at_once_and_only_once() {
    let mut daemon = daemon_with_peers(10, ms(1_000));
    let forwarded = |effects: &[Effect]| -> usize {
        let counts = effects.iter().map(|effect| match effect {
            Effect::Send(to, Frame::Records(batch)) if batch.records.len() == 1 => to.len(),
            _ => 0,
        });
        counts.sum()
    };
    let effects = daemon.deliver_records(ms(1_010), Topic::Servers, &[("s-2", "plain 12 ready")]);
    assert_eq!(forwarded(&effects), 3);
    let record = Record { key: "s-3".into(), offset: 2, value: Some(b"plain 13 ready".to_vec()) };
    let batch = Batch { topic: Topic::Servers, from: 2, to: 3, records: vec![record] };
    let frame = Frame::Records(batch);
    assert_eq!(forwarded(&daemon.node.apply(ms(1_020), Message::Frame(frame.clone()))), 3);
    assert_eq!(forwarded(&daemon.node.apply(ms(1_030), Message::Frame(frame))), 0);
    assert_eq!(daemon.node.end_offset(Topic::Servers), 3);
}

#[test]
fn record_after_a_gap_is_applied_and_the_gap_is_requested() {
    let mut daemon = daemon_with_peers(1, ms(1_000));
    let record = Record { key: "s-9".into(), offset: 8, value: Some(b"plain 19 ready".to_vec()) };
    let batch = Batch { topic: Topic::Servers, from: 8, to: 9, records: vec![record] };
    daemon.node.apply(ms(1_010), Message::Frame(Frame::Records(batch)));
    assert_eq!(daemon.node.end_offset(Topic::Servers), 1);
    let digest = Digest {
        daemon: "router-002".into(),
        address: address(2).to_string(),
        end_offsets: vec![1, 9, 0],
        ..Digest::default()
    };
    daemon.node.apply(ms(1_100), Message::Frame(Frame::Digest(Box::new(digest))));
    daemon.tick(ms(1_110));
    let requested = daemon.tick(ms(1_400)).into_iter().find_map(|effect| match effect {
        Effect::Send(_, Frame::Fetch(_, Topic::Servers, from)) => Some(from),
        _ => None,
    });
    assert_eq!(requested, Some(1));
}

#[test]
fn daemons_share_the_reading_of_the_store() {
    let servers = Dependency::Topic(Topic::Servers);
    let alone = daemon_with_peers(0, ms(1_000)).node.read_interval(ms(1_010), servers);
    let few = daemon_with_peers(6, ms(1_000)).node.read_interval(ms(1_010), servers);
    let many = daemon_with_peers(60, ms(1_000)).node.read_interval(ms(1_010), servers);
    assert!(alone < few && few < many && many <= ms(1_200), "{alone:?} {few:?} {many:?}");
    // Silent peers no longer share the reads.
    assert_eq!(daemon_with_peers(60, ms(1_000)).node.read_interval(ms(9_000), servers), alone);
    let mut operators = daemon_with_peers(60, ms(1_000));
    assert_eq!(operators.node.read_interval(ms(1_010), Dependency::Topic(Topic::Operator)), ms(0));
    operators.tick(ms(1_010));
}

#[test]
fn lease_is_read_often_by_the_next_candidates() {
    let mut last = Daemon::new(200);
    for number in 2..6 {
        let digest = Digest {
            daemon: format!("router-1{number}"),
            address: address(number).to_string(),
            // Daemons on larger VMs rank first.
            cores: 2.0,
            ..Digest::default()
        };
        last.node.apply(ms(1_000), Message::Frame(Frame::Digest(Box::new(digest))));
    }
    last.tick(ms(1_010));
    assert!(last.node.read_interval(ms(1_010), Dependency::Lease) > ms(2_000));
    // All of them go silent, one after the other.
    for now in (1_100..9_000).step_by(100) {
        last.tick(ms(now));
    }
    assert!(last.node.read_interval(ms(9_000), Dependency::Lease) < ms(1_000));
}

#[test]
fn lost_and_regained_dependencies_are_logged_once_each() {
    let mut daemon = Daemon::with_servers(1, &[]);
    let mut seen = Vec::new();
    for tracked in Dependency::ALL {
        for at in [100, 400, 700] {
            let message = Message::ReadFailed(tracked, "connection refused".into());
            seen.extend(daemon.node.apply(ms(at), message));
        }
    }
    for topic in Topic::ALL {
        let batch = Batch { topic, from: 9, to: 9, records: Vec::new() };
        let read = Read { batch, is_snapshot: false, current_at: ms(1_100) };
        seen.extend(daemon.node.apply(ms(1_100), Message::Read(read)));
    }
    seen.extend(daemon.node.apply(ms(1_100), Message::Lease(0, Vec::new())));
    let lines = |event: Event| {
        let line = |effect: &Effect| match effect {
            Effect::Event(seen, detail) if *seen == event => Some(detail.to_string()),
            _ => None,
        };
        seen.iter().filter_map(line).collect::<Vec<String>>()
    };
    assert_eq!(lines(Event::LogDown).len(), 4);
    let up = lines(Event::LogUp);
    assert_eq!(up.len(), 4);
    assert!(up.iter().all(|line| line.ends_with("down_ms=1000")), "{up:?}");
}

#[test]
fn new_daemon_with_one_server_record_is_not_ready() {
    let mut daemon = Daemon::new(1);
    daemon.deliver_records(ms(0), Topic::Operator, &[("config", "table 1")]);
    let value = Some(b"plain 11 ready".to_vec());
    let records = vec![Record { key: "s-1".into(), offset: 40, value }];
    let batch = Batch { topic: Topic::Servers, from: 40, to: 41, records };
    daemon.node.apply(ms(10), Message::Frame(Frame::Records(batch)));
    assert!(!daemon.node.is_ready());
    daemon.deliver_records(ms(20), Topic::Servers, &[("s-2", "plain 12 ready")]);
    assert!(daemon.node.is_ready());
}

#[test]
fn new_daemon_with_one_peer_record_shares_the_retry_budget_with_many() {
    let mut daemon = Daemon::new(1);
    let value = Some(b"router 2".to_vec());
    let records = vec![Record { key: "router-2".into(), offset: 8, value }];
    let batch = Batch { topic: Topic::Routers, from: 8, to: 9, records };
    daemon.node.apply(ms(10), Message::Frame(Frame::Records(batch)));
    assert!(daemon.node.daemon_count() > 2);
}

#[test]
fn peer_that_has_not_read_a_topic_answers_nothing_for_it() {
    let mut daemon = Daemon::new(1);
    let router = Some(b"router 2".to_vec());
    let records = vec![Record { key: "router-2".into(), offset: 8, value: router }];
    let batch = Batch { topic: Topic::Routers, from: 8, to: 9, records };
    daemon.node.apply(ms(10), Message::Frame(Frame::Records(batch)));
    let ask = Frame::Fetch("router-2".into(), Topic::Operator, 0);
    let effects = daemon.node.apply(ms(20), Message::Frame(ask));
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::Send(_, Frame::Records(_)))));
}
