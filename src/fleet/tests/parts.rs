//! Partial knowledge of a topic, and records from peers that arrive late.
//!
//! Peers send a daemon single records before it has read a topic itself. These records apply, but keys
//! without a record are unknown, not absent.

use super::world::*;
use crate::fleet::*;
use crate::poison::Fingerprint;
use crate::prelude::*;
use crate::route::Repeat;

fn record(key: &str, offset: u64, value: &str) -> Record {
    let value = (!value.is_empty()).then(|| value.as_bytes().to_vec());
    Record { key: key.into(), offset, value }
}

fn batch(topic: Topic, from: u64, to: u64, records: &[Record]) -> Batch {
    Batch { topic, from, to, records: records.to_vec() }
}

/// Delivers records from a peer.
fn receive_records(daemon: &mut Daemon, now: Time, batch: Batch) -> Vec<Effect> {
    daemon.node.apply(now, Message::Frame(Frame::Records(batch)))
}

/// Delivers a snapshot of a topic from the store.
fn read_snapshot(daemon: &mut Daemon, now: Time, batch: Batch) -> Vec<Effect> {
    daemon.node.apply(now, Message::Read(Read { batch, is_snapshot: true, current_at: now }))
}

fn dispatches(daemon: &mut Daemon, now: Time, pool: &str) -> Vec<Dispatch> {
    let prompt = (pool == "engines").then(|| prompt(7, 3));
    let (request, effects) = daemon.arrive(now, &route(pool, Repeat::AtMostOnce, 1), prompt);
    daemon.node.apply(now, Message::Cancel(request));
    let dispatches = commands(&effects).into_iter().filter_map(|command| match command {
        Command::Dispatch(dispatch) => Some(dispatch),
        _ => None,
    });
    dispatches.collect()
}

fn registered_ids(daemon: &Daemon) -> Vec<&str> {
    let ids = daemon.node.servers.values().map(|server| server.entry.incarnation.id.as_str());
    ids.collect::<BTreeSet<&str>>().into_iter().collect()
}

// A starting daemon took one server record from a peer for the whole topic and became ready, with one
// server for all callers of the VM.
#[test]
fn one_server_record_from_a_peer_does_not_make_a_daemon_ready() {
    let mut daemon = Daemon::new(1);
    read_snapshot(
        &mut daemon,
        ms(10),
        batch(Topic::Operator, 0, 1, &[record("config", 0, "table 1")]),
    );
    let records = batch(Topic::Servers, 40, 41, &[record("s-9", 40, "plain 19 ready")]);
    receive_records(&mut daemon, ms(20), records);
    assert_eq!(
        dispatches(&mut daemon, ms(30), "plain").len(),
        1,
        "the record from the peer applies"
    );
    assert!(!daemon.node.is_ready());
}

// A daemon fetched from a peer that had just restarted, as the digest of its former incarnation was still
// live. The empty answer was taken for a topic without records.
#[test]
fn answer_from_a_peer_without_records_does_not_make_a_daemon_ready() {
    let mut daemon = Daemon::new(1);
    read_snapshot(
        &mut daemon,
        ms(10),
        batch(Topic::Operator, 0, 1, &[record("config", 0, "table 1")]),
    );
    let mut peer = Daemon::new(2);
    receive_records(
        &mut peer,
        ms(10),
        batch(Topic::Routers, 8, 9, &[record("router-1", 8, "router 1")]),
    );
    let fetch = Frame::Fetch("router-1".into(), Topic::Servers, 0);
    for effect in peer.node.apply(ms(20), Message::Frame(fetch)) {
        if let Effect::Send(_, frame) = effect {
            daemon.node.apply(ms(30), Message::Frame(frame));
        }
    }
    assert!(!daemon.node.is_ready());
}

// A starting daemon received a configuration from a peer, read the servers and served requests. It did not
// know the named weights yet and assumed that none were named.
#[test]
fn no_request_is_sent_before_the_named_weights_are_known() {
    let mut daemon = Daemon::new(1);
    receive_records(
        &mut daemon,
        ms(10),
        batch(Topic::Operator, 9, 10, &[record("config", 9, "table 2")]),
    );
    let engines = [record("e-1", 0, "engine 21 ready 1")];
    read_snapshot(&mut daemon, ms(20), batch(Topic::Servers, 0, 1, &engines));
    assert!(dispatches(&mut daemon, ms(30), "engines").is_empty());
    assert!(!daemon.node.is_ready());
}

// A daemon that knew one peer assumed two daemons in all, and took half of the retry budget of 195 daemons.
#[test]
fn one_router_record_from_a_peer_does_not_raise_the_retry_budget_share() {
    let mut daemon = Daemon::new(1);
    let initial = daemon.node.daemon_count();
    receive_records(
        &mut daemon,
        ms(20),
        batch(Topic::Routers, 60, 61, &[record("router-9", 60, "router 9")]),
    );
    assert!(daemon.node.daemon_count() >= initial, "{} of {initial}", daemon.node.daemon_count());
}

// The last two records were a registration and its removal, so the snapshot doesn't list the key. All listed
// offsets are lower, so the registration was taken for newer than the snapshot and never removed.
#[test]
fn snapshot_removes_a_key_whose_removal_was_the_last_record() {
    let mut daemon =
        Daemon::with_servers(1, &[("s-1", "plain 11 ready"), ("s-2", "plain 12 ready")]);
    // Compaction dropped the removal at offset 2.
    let remaining = [record("s-1", 0, "plain 11 ready")];
    read_snapshot(&mut daemon, ms(10), batch(Topic::Servers, 0, 3, &remaining));
    assert_eq!(registered_ids(&daemon), ["s-1"]);
}

// All registrations were gone when the snapshot was read, and an empty snapshot removed nothing.
#[test]
fn empty_snapshot_removes_all_servers() {
    let mut daemon = Daemon::with_servers(1, &[("s-1", "plain 11 ready")]);
    read_snapshot(&mut daemon, ms(10), batch(Topic::Servers, 0, 2, &[]));
    assert!(dispatches(&mut daemon, ms(20), "plain").is_empty());
}

// The pages of a snapshot are read at different times. A server that registered after the read of the first
// page is missing from it, though the second page lists one that registered later. A peer sent its record.
#[test]
fn snapshot_keeps_a_server_that_registered_between_two_pages() {
    let mut daemon = Daemon::new(1);
    read_snapshot(
        &mut daemon,
        ms(10),
        batch(Topic::Operator, 0, 1, &[record("config", 0, "table 1")]),
    );
    let peer = [record("a", 10, "plain 11 ready")];
    receive_records(&mut daemon, ms(20), batch(Topic::Servers, 10, 11, &peer));
    let pages = [record("k", 3, "plain 12 draining"), record("z", 11, "plain 13 draining")];
    read_snapshot(&mut daemon, ms(30), batch(Topic::Servers, 0, 10, &pages));
    let read = Read {
        batch: batch(Topic::Servers, 10, 12, &[peer[0].clone()]),
        is_snapshot: false,
        current_at: ms(40),
    };
    daemon.node.apply(ms(40), Message::Read(read));
    let sent = dispatches(&mut daemon, ms(50), "plain");
    assert!(matches!(&sent[..], [dispatch] if dispatch.server == "a"), "{sent:?}");
}

// A daemon that was cut off fetches the missed records from a peer. The peer has restarted and read a snapshot,
// so it knows no removals, yet its answer was taken for the complete history.
#[test]
fn removal_is_learnt_from_a_peer_that_started_after_it() {
    let mut cut_off =
        Daemon::with_servers(1, &[("s-1", "plain 11 ready"), ("s-2", "plain 12 ready")]);
    let mut peer = Daemon::new(2);
    let remaining = [record("s-1", 0, "plain 11 ready"), record("s-3", 3, "plain 13 ready")];
    read_snapshot(&mut peer, ms(10), batch(Topic::Servers, 0, 4, &remaining));
    let from = cut_off.node.end_offset(Topic::Servers);
    let routers = [("router-1", "router 1")];
    peer.deliver_records(ms(10), Topic::Routers, &routers);
    let fetch = Frame::Fetch("router-1".into(), Topic::Servers, from);
    for effect in peer.node.apply(ms(20), Message::Frame(fetch)) {
        if let Effect::Send(_, frame) = effect {
            cut_off.node.apply(ms(30), Message::Frame(frame));
        }
    }
    let end = cut_off.node.end_offset(Topic::Servers);
    assert!(
        end < 4 || registered_ids(&cut_off) == ["s-1", "s-3"],
        "{:?}",
        registered_ids(&cut_off)
    );
}

// After a daemon read a snapshot, a peer's frame that was two seconds old brought a registration which had been
// removed since. The daemon knew of no removal and took the registration for new.
#[test]
fn late_record_does_not_restore_a_key_missing_from_the_snapshot() {
    let mut daemon = Daemon::new(1);
    let remaining = [record("s-1", 0, "plain 11 ready")];
    read_snapshot(&mut daemon, ms(10), batch(Topic::Servers, 0, 9, &remaining));
    let late = batch(Topic::Servers, 5, 6, &[record("s-2", 5, "plain 12 ready")]);
    receive_records(&mut daemon, ms(20), late);
    assert_eq!(registered_ids(&daemon), ["s-1"]);
}

// A draining engine restarted under its id while a daemon polled it for the result of an order. The new
// incarnation inherited the draining state, which no registration resets.
#[test]
fn next_incarnation_reported_by_an_engine_is_not_draining() {
    let mut daemon = Daemon::with_servers(1, &[("e-1", "engine 21 ready 1 born:5")]);
    daemon.deliver_records(ms(10), Topic::Servers, &[("e-1", "engine 21 draining 1 born:5")]);
    let key = daemon.node.servers.keys().next().expect("the engine is registered");
    let weights = BTreeMap::from([("m".to_owned(), 1)]);
    let state = State { weights, busy: false, sequence: 0, born: 6, is_leaving: false };
    daemon.node.apply(ms(20), Message::Polled(key, Some(state)));
    daemon.deliver_records(ms(30), Topic::Servers, &[("e-1", "engine 21 ready 1 born:6")]);
    assert_eq!(dispatches(&mut daemon, ms(40), "engines").len(), 1);
}

// Operators removed a block. A daemon that had been frozen then sent the block in its digest, and all others
// blocked the request again for another day and wrote the block to the store. The node accepted blocks from
// peers as new, however late they came.
#[test]
fn removed_block_is_not_restored_by_a_late_message() {
    let fatal = Fingerprint(77);
    let mut daemon = Daemon::new(1);
    daemon.deliver_records(ms(0), Topic::Routers, &[("blocked-77", "blocked 77")]);
    assert!(daemon.node.poison.is_blocked(fatal));
    daemon.deliver_records(ms(1_000), Topic::Routers, &[("blocked-77", "")]);
    let block = crate::poison::Blocked { fingerprint: fatal, age: Duration::ZERO };
    let late = Digest {
        daemon: "router-3".into(),
        address: address(3).to_string(),
        blocked: vec![block],
        ..Digest::default()
    };
    daemon.node.apply(ms(1_100), Message::Frame(Frame::Digest(Box::new(late))));
    assert!(!daemon.node.poison.is_blocked(fatal));
    let late = crate::poison::Message::Blocked(vec![block]);
    daemon.node.apply(ms(1_200), Message::Frame(Frame::Poison(late)));
    assert!(!daemon.node.poison.is_blocked(fatal));
    // The next record from the store applies.
    daemon.deliver_records(ms(2_000), Topic::Routers, &[("blocked-77", "blocked 77")]);
    assert!(daemon.node.poison.is_blocked(fatal));
}

// All daemons restart at once. Until a daemon knows the others it takes itself for a scheduler: nine daemons took
// nine sixths of the retry budget (81 of 54 retries), 71 daemons took 639. A daemon that had not read the others'
// registrations took a sixteenth of the share of the daemons that don't schedule.
#[test]
fn daemons_that_start_together_share_one_retry_budget() {
    let router = |last: u64| record(&format!("router-{last}"), last - 1, &format!("router {last}"));
    let routers: Vec<Record> = (1..=71).map(router).collect();
    let shares = (1..=71).map(|last| {
        let mut daemon = Daemon::new(last);
        daemon.tick(ms(10));
        let before = daemon.node.retry_terms(ms(15)).slack;
        read_snapshot(&mut daemon, ms(20), batch(Topic::Routers, 0, 71, &routers));
        before.max(daemon.node.retry_terms(ms(30)).slack)
    });
    let taken: f64 = shares.sum();
    assert!(taken <= POLICY.retry_slack, "{taken}");
}

// More removals than the catalog keeps arrived after a gap. The trimmed ones say nothing about the records in the
// gap, but these were rejected as removed when they arrived.
#[test]
fn removals_trimmed_after_a_gap_reject_no_record_before_them() {
    let mut catalog = Catalog::default();
    for offset in 10_000..15_000 {
        catalog.insert(Topic::Servers, &record(&format!("s-{offset}"), offset, ""));
    }
    catalog.trim();
    assert!(catalog.insert(Topic::Servers, &record("s-1", 5, "plain 11 ready")));
}
