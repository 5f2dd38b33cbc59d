//! A part of a topic is no topic, and what is handed on is as old as it was.
//!
//! Daemons are told of single records by peers before they have read anything themselves. Whatever such a
//! part says holds; what it does not say is unknown, not absent.

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

/// A peer's word comes.
fn receive_records(daemon: &mut Daemon, now: Time, batch: Batch) -> Vec<Effect> {
    daemon.node.apply(now, Message::Frame(Frame::Records(batch)))
}

/// Everything that the store has of a topic comes.
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

// A daemon that started while servers changed was told of one of them by a peer, took that for the whole
// topic, and said that it was ready: with one server for all callers of the VM.
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
    assert_eq!(dispatches(&mut daemon, ms(30), "plain").len(), 1, "what it says holds");
    assert!(!daemon.node.is_ready());
}

// A peer that had only just started itself was asked, since its digest of before was still fresh, and had
// nothing to answer with: that was taken for a topic without records.
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

// A daemon that started was told of a new configuration, read the servers, and served: which weights had
// been named it did not know yet, and took that for none.
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

// A daemon that is told of one other takes the two of them for all, and half of the retry budget of 195.
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

// A registration that was the last but one record, and whose removal was the last, is not listed: since the
// listed ones all lie before it, it was taken for newer than the list, and stayed for good.
#[test]
fn snapshot_removes_a_key_whose_removal_was_the_last_record() {
    let mut daemon =
        Daemon::with_servers(1, &[("s-1", "plain 11 ready"), ("s-2", "plain 12 ready")]);
    // The store forgot its history, the removal at 2 with it.
    let remaining = [record("s-1", 0, "plain 11 ready")];
    read_snapshot(&mut daemon, ms(10), batch(Topic::Servers, 0, 3, &remaining));
    assert_eq!(registered_ids(&daemon), ["s-1"]);
}

// All registrations were gone when the list was read: an empty list removed nothing.
#[test]
fn empty_snapshot_removes_all_servers() {
    let mut daemon = Daemon::with_servers(1, &[("s-1", "plain 11 ready")]);
    read_snapshot(&mut daemon, ms(10), batch(Topic::Servers, 0, 2, &[]));
    assert!(dispatches(&mut daemon, ms(20), "plain").is_empty());
}

// The pages of a list are no snapshot: a server that registered after the first page was read, and of which
// a peer tells, is not on it, though another that registered later is on the second page.
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

// A daemon that was cut off asks a peer for what it missed. The peer has started again meanwhile and has read
// the list of what is left: it knows of no removals, and yet its answer was taken for all that had happened.
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

// A daemon that had just read the list of what is left was told late, by a peer's frame of two seconds before, of a
// registration that had been removed meanwhile: it knew of no removal, and took it for new.
#[test]
fn late_record_does_not_restore_a_key_missing_from_the_snapshot() {
    let mut daemon = Daemon::new(1);
    let remaining = [record("s-1", 0, "plain 11 ready")];
    read_snapshot(&mut daemon, ms(10), batch(Topic::Servers, 0, 9, &remaining));
    let late = batch(Topic::Servers, 5, 6, &[record("s-2", 5, "plain 12 ready")]);
    receive_records(&mut daemon, ms(20), late);
    assert_eq!(registered_ids(&daemon), ["s-1"]);
}

// An engine that was leaving ended and started again under its id while it was asked whether it had carried
// an order out. Its new life took over that it was leaving, and no registration takes that back.
#[test]
fn next_incarnation_reported_by_an_engine_is_not_draining() {
    let mut daemon = Daemon::with_servers(1, &[("e-1", "engine 21 ready 1 born:5")]);
    daemon.deliver_records(ms(10), Topic::Servers, &[("e-1", "engine 21 draining 1 born:5")]);
    let key = daemon.node.servers.keys().next().expect("it is registered");
    let weights = BTreeMap::from([("m".to_owned(), 1)]);
    let state = State { weights, busy: false, sequence: 0, born: 6 };
    daemon.node.apply(ms(20), Message::Polled(key, Some(state)));
    daemon.deliver_records(ms(30), Topic::Servers, &[("e-1", "engine 21 ready 1 born:6")]);
    assert_eq!(dispatches(&mut daemon, ms(40), "engines").len(), 1);
}

// A block had been taken away by operators. A daemon that had been frozen woke, told in its digest of the block
// as it knew it, and all others blocked the request again, for a day from then on, and had the store keep it. The
// node took a peer's word on blocks as new, however late it came.
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
    // The store's own next word counts.
    daemon.deliver_records(ms(2_000), Topic::Routers, &[("blocked-77", "blocked 77")]);
    assert!(daemon.node.poison.is_blocked(fatal));
}

// All daemons start again at once. Until each has heard of the others it takes itself for a scheduler: nine of them
// took nine sixths of the repeats, "81 of 54 repeats are taken", 71 of them 639; and who had not read of the others
// took a sixteenth of what daemons share that do not schedule.
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

// More removals than are kept came past a gap. What was forgotten of them says nothing of the records in the gap,
// and these were refused as gone when they came.
#[test]
fn removals_trimmed_after_a_gap_reject_no_record_before_them() {
    let mut catalog = Catalog::default();
    for offset in 10_000..15_000 {
        catalog.insert(Topic::Servers, &record(&format!("s-{offset}"), offset, ""));
    }
    catalog.trim();
    assert!(catalog.insert(Topic::Servers, &record("s-1", 5, "plain 11 ready")));
}
