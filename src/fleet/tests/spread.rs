//! How records reach many daemons, and what that costs: calls, frames and bytes at two sizes.

use std::net::SocketAddr;

use super::crowd::{Crowd, daemon_address};
use super::store::Access;
use super::world::*;
use crate::fleet::*;
use crate::prelude::*;

/// Maximum time in which daemons that start together become ready.
const MAX_START_TIME: Duration = Duration::from_secs(1);
/// Maximum time from a record's append until it is in force at every daemon.
const MAX_SPREAD_TIME: Duration = Duration::from_secs(1);

fn is_ready(crowd: &Crowd, index: usize) -> bool {
    crowd.node(index).is_some_and(Node::is_ready)
}

/// Number of calls for all topics so far.
fn topic_calls(crowd: &Crowd) -> usize {
    Topic::ALL.into_iter().map(|topic| crowd.store.calls(Dependency::Topic(topic))).sum()
}

/// Starts daemons together; returns the number of calls to the store until all are ready.
fn calls_to_start(daemons: usize, servers: usize) -> usize {
    let mut crowd = Crowd::new(daemons, servers);
    let took = crowd.advance_until(MAX_START_TIME, is_ready);
    assert!(took.is_some(), "{daemons} daemons are not ready");
    topic_calls(&crowd)
}

// Each of 986 daemons read all registrations of 10,000 servers, 50 pages, at the same moment. The store refused calls
// beyond its limits and the daemons began again: 169,000 calls, and configurations came more than five seconds late.
#[test]
fn start_calls_of_a_daemon_do_not_grow_with_records() {
    let (few, many) = (calls_to_start(12, 800), calls_to_start(48, 800));
    // Each daemon reads once what has changed in two topics since its copy.
    assert!(many <= few + 2 * 36 + 2, "{few} calls of 12 daemons, {many} of 48");
}

#[test]
fn start_calls_grow_with_pages_for_seeds_alone() {
    let (few, many) = (calls_to_start(24, 400), calls_to_start(24, 1_600));
    let (seeds, additional_pages) = (3, 6);
    assert!(many <= few + seeds * additional_pages + 2, "{few} and {many} calls");
}

/// Starts daemons whose seeds are down; returns the number of calls for the operators' and the servers' topic.
fn calls_to_start_without_seeds(daemons: usize) -> usize {
    let mut crowd = Crowd::new(daemons, 400);
    for seed in 0..3 {
        crowd.kill(seed);
    }
    let took = crowd.advance_until(ms(3_000), is_ready);
    assert!(took.is_some(), "{daemons} daemons are not ready");
    let routers = crowd.store.calls(Dependency::Topic(Topic::Routers));
    assert!(routers <= daemons, "{routers} reads of the registrations of {daemons} daemons");
    topic_calls(&crowd) - routers
}

#[test]
fn start_without_seeds_finds_peers_in_the_store() {
    let (few, many) = (calls_to_start_without_seeds(24), calls_to_start_without_seeds(48));
    // Each daemon reads once what has changed in two topics since its copy.
    assert!(many <= 2 * few, "{few} calls of 24 daemons, {many} of 48");
}

#[test]
fn start_while_the_store_is_silent_uses_the_copies_of_peers() {
    let mut crowd = Crowd::new(12, 400);
    crowd.advance(ms(4_000));
    for index in 0..12 {
        crowd.set_access(index, Access::Silent);
    }
    crowd.kill(7);
    crowd.advance(ms(200));
    crowd.start(7);
    assert!(crowd.advance_until(ms(3_000), is_ready).is_some());
}

/// A daemon whose copy came from a peer that the store has refused for long is ready once it has read the store.
#[test]
fn copy_of_an_outdated_peer_does_not_make_ready() {
    let mut crowd = Crowd::new(5, 10);
    crowd.advance(ms(4_000));
    for index in 1..5 {
        crowd.kill(index);
    }
    crowd.set_access(0, Access::Refused);
    crowd.advance(ms(3_000));
    let now = crowd.now;
    crowd.store.append(now, Topic::Operator, "config", "table 2");
    crowd.start(4);
    let took = crowd.advance_until(ms(3_000), is_ready);
    assert!(took.is_some(), "the daemon is not ready");
    assert_eq!(crowd.table(4), 2);
}

#[test]
fn table_is_in_force_at_every_daemon_within_a_second() {
    let mut crowd = Crowd::new(48, 100);
    crowd.advance(ms(4_000));
    let now = crowd.now;
    crowd.store.append(now, Topic::Operator, "config", "table 2");
    let took = crowd.advance_until(MAX_SPREAD_TIME, |crowd, index| crowd.table(index) == 2);
    assert!(took.is_some(), "table 2 is not in force everywhere");
}

/// A third of the daemons, with all that read the store for the others, are refused by it.
#[test]
fn table_is_in_force_although_the_store_refuses_all_readers() {
    let mut crowd = Crowd::new(48, 100);
    crowd.advance(ms(4_000));
    let readers: Vec<usize> = (0..48).filter(|index| is_reader(&crowd, *index)).collect();
    for index in &readers {
        crowd.set_access(*index, Access::Refused);
    }
    crowd.advance(ms(2_000));
    let (now, calls) = (crowd.now, crowd.calls());
    crowd.store.append(now, Topic::Operator, "config", "table 2");
    let took = crowd.advance_until(ms(2_000), |crowd, index| crowd.table(index) == 2);
    assert!(took.is_some(), "table 2 is not in force everywhere");
    assert!(readers.len() < 48 && crowd.calls() - calls < 400, "{} calls", crowd.calls() - calls);
}

// A scheduler forwarded at most 64 records at once. While 360 servers registered a second, each read returned more: all
// other daemons fell behind, asked their peers four times a second, and read the store themselves, which then refused
// to answer the readers of configurations, too.
#[test]
fn many_records_at_once_are_forwarded_to_all() {
    let mut crowd = Crowd::new(24, 40);
    crowd.advance(ms(4_000));
    let calls = crowd.store.calls(Dependency::Topic(Topic::Servers));
    let fetches = crowd.fetches;
    for round in 0..16 {
        for server in 0..100 {
            let id = format!("new-{round}-{server}");
            let now = crowd.now;
            crowd.store.append(now, Topic::Servers, &id, "engine 9 ready 1");
        }
        crowd.advance(ms(250));
    }
    let has_all = |crowd: &Crowd, index| {
        crowd.node(index).is_some_and(|node| node.end_offset(Topic::Servers) == 1_640)
    };
    assert!(crowd.advance_until(MAX_SPREAD_TIME, has_all).is_some(), "records are missing");
    // Twelve daemons read for all, at most four times a second.
    let calls = crowd.store.calls(Dependency::Topic(Topic::Servers)) - calls;
    assert!(calls <= 12 * 4 * 5, "{calls} calls");
    assert!(crowd.fetches - fetches <= 24, "{} requests for records", crowd.fetches - fetches);
}

fn is_reader(crowd: &Crowd, index: usize) -> bool {
    crowd.node(index).is_some_and(Node::is_store_reader)
}

/// Returns a daemon that knows `count` peers, and the addresses that it heard from.
fn daemon_with_peers(own: usize, count: usize) -> Daemon {
    let identity = Identity {
        id: format!("router-{}", own + 1),
        incarnation: own as u64,
        zone: "zone-0".into(),
        address: daemon_address(own),
        handover_address: daemon_address(own),
        cores: 1.0,
    };
    let mut daemon = Daemon::with_node(Node::new(identity, POLICY, decode, &[]));
    let records: Vec<(String, String)> = (0..count)
        .map(|peer| (format!("router-{}", peer + 1), format!("router {}", daemon_address(peer))))
        .collect();
    daemon.deliver_records(ms(0), Topic::Operator, &[("config", "table 1")]);
    daemon.deliver_records(ms(0), Topic::Servers, &[("s-1", "plain 11 ready")]);
    daemon.deliver_records(ms(0), Topic::Routers, &borrowed(&records));
    daemon.tick(ms(0));
    daemon
}

/// Multicasts a frame to all peers and carries out the relays; returns how often each address receives the frame, and
/// how often one daemon sends it at most.
fn multicast(count: usize, frame: Frame) -> (BTreeMap<SocketAddr, usize>, usize) {
    let mut sender = daemon_with_peers(0, 2);
    let to = (1..=count).map(|peer| (Some(format!("zone-{}", peer % 5)), daemon_address(peer)));
    sender.node.multicast(to.collect(), frame);
    let mut received = BTreeMap::new();
    let mut most = 0;
    let mut pending = vec![std::mem::take(&mut sender.node.effects)];
    while let Some(effects) = pending.pop() {
        let mut sent = 0;
        for effect in effects {
            let Effect::Send(addresses, frame) = effect else { continue };
            sent += addresses.len();
            for address in addresses {
                *received.entry(address).or_default() += 1;
                if let Frame::Relay(Relay { to, frame }) = &frame {
                    sender.node.relay(to.clone(), (**frame).clone());
                    pending.push(std::mem::take(&mut sender.node.effects));
                }
            }
        }
        most = most.max(sent);
    }
    (received, most)
}

// The scheduler of a topic sent each record to each daemon itself, and announced itself to each twice a second.
#[test]
fn multicast_sends_do_not_grow_with_daemons() {
    for count in [500, 2_000] {
        let (received, most) = multicast(count, Frame::Digest(Box::default()));
        assert_eq!(received.len(), count);
        assert!(received.values().all(|copies| *copies == 1), "{count} daemons");
        assert!(most <= 64, "one daemon sends {most} frames among {count}");
    }
}

#[test]
fn multicast_sends_few_copies_of_a_large_frame() {
    let value = Some(vec![7; 200_000]);
    let record = Record { key: "config".into(), offset: 4, value };
    let batch = Batch { topic: Topic::Operator, from: 4, to: 5, records: vec![record] };
    let (received, most) = multicast(500, Frame::Records(batch));
    assert!(received.len() == 500 && received.values().all(|copies| *copies == 1));
    assert!(most <= 5, "one daemon sends {most} large frames");
}

#[test]
fn multicast_to_few_daemons_is_direct() {
    let mut sender = daemon_with_peers(0, 2);
    let frame = Frame::Digest(Box::default());
    sender.node.multicast((1..=64).map(|peer| (None, daemon_address(peer))).collect(), frame);
    let effects = std::mem::take(&mut sender.node.effects);
    let is_direct =
        |effect: &Effect| matches!(effect, Effect::Send(to, Frame::Digest(_)) if to.len() == 64);
    assert!(effects.len() == 1 && effects.iter().all(is_direct), "{effects:?}");
}

/// Number of daemons of a fleet that begin to read within 200 ms when the last read becomes too old.
fn reads_when_no_reader_answers(daemons: usize) -> usize {
    let topic = Dependency::Topic(Topic::Operator);
    let reads = |index: &usize| {
        let daemon = daemon_with_peers(*index, daemons);
        let began = daemon.node.should_read(ms(1_500), topic);
        assert!(daemon.node.should_read(ms(60_000), topic), "a daemon never reads");
        began && !daemon.node.is_store_reader()
    };
    (0..daemons).filter(reads).count()
}

// While no reader got an answer, each daemon called the store every 1.2 s.
#[test]
fn reads_in_an_outage_do_not_grow_with_daemons() {
    for daemons in [100, 300] {
        let reads = reads_when_no_reader_answers(daemons);
        assert!((1..=80).contains(&reads), "{reads} of {daemons} daemons read within 200 ms");
        let retry_delay = daemon_with_peers(0, daemons).node.retry_delay();
        assert!(retry_delay >= ms(5) * daemons as u32, "{retry_delay:?} among {daemons}");
    }
}
