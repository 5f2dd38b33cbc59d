//! Several KV stores: which one keeps a prompt's shared parts, and what becomes of the others when
//! one fails, leaves or is busy.

use std::net::SocketAddr;

use super::world::*;
use crate::fleet::*;
use crate::prelude::*;
use crate::route::Repeat;

const ENGINES: [(&str, &str); 4] = [
    ("e-1", "engine 21 ready 1"),
    ("e-2", "engine 22 ready 1"),
    ("e-3", "engine 23 ready 1"),
    ("e-4", "engine 24 ready 1"),
];
const THREE_STORES: &str = "table 1 stores 200 201 202";
/// Number of the first part of all prompts here.
const FIRST_PART: u64 = 7;

/// Numbers of the parts that follow the first.
fn subjects() -> std::ops::Range<u64> {
    1_000..1_600
}

/// A daemon that has read a table with three KV stores, all of which are up and empty.
fn daemon(last: u8, uses_all: bool) -> Daemon {
    let identity = Identity {
        id: format!("router-{last}"),
        incarnation: u64::from(last),
        zone: "zone-1".into(),
        address: address(last),
        handover_address: handover_address(last),
        cores: 1.0,
    };
    let policy = Policy { uses_all_kv_stores: uses_all, ..POLICY };
    let mut daemon = Daemon::with_node(Node::new(identity, policy, decode, &[]));
    daemon.deliver_records(ms(0), Topic::Operator, &[("config", THREE_STORES)]);
    daemon.deliver_records(ms(0), Topic::Servers, &ENGINES);
    let router = (format!("router-{last}"), format!("router {last}"));
    daemon.deliver_records(ms(0), Topic::Routers, &borrowed(&[router]));
    for store in 200..203 {
        receive_events(&mut daemon, ms(900), store, 1, &[]);
    }
    daemon.tick(ms(1_000));
    daemon
}

/// Delivers events by which a store in its run `epoch` has gained these parts.
fn receive_events(daemon: &mut Daemon, now: Time, store: u8, epoch: u64, parts: &[u64]) {
    let change = |part: &u64| CacheEvent { salt: "1".into(), part: *part, tokens: 4_000 };
    let events = parts.iter().map(change).collect();
    let batch = EventBatch { epoch, next: 1, has_gap: false, events };
    daemon.node.apply(now, Message::Events(Location::Store(address(store)), Some(batch)));
}

/// Sends a prompt and returns its dispatch; the caller then leaves.
fn send(daemon: &mut Daemon, now: Time, subject: u64) -> Dispatch {
    let route = route("engines", Repeat::Resumable, 2);
    let (request, effects) = daemon.arrive(now, &route, Some(prompt(FIRST_PART, subject)));
    daemon.node.apply(now, Message::Cancel(request));
    dispatch(&effects)
}

/// The store of a subject's prompts.
fn store_of(daemon: &Daemon, subject: u64) -> SocketAddr {
    let store = daemon.node.store_of(&prompt(FIRST_PART, subject), "1");
    store.expect("the table has stores").address
}

/// The first subject whose prompts are kept by this store.
fn subject_of(daemon: &Daemon, store: u8) -> u64 {
    let mut subjects = subjects();
    let subject = subjects.find(|subject| store_of(daemon, *subject) == address(store));
    subject.expect("each store has a share of the subjects")
}

/// Sends a prompt of each subject at once; returns the number of those that are saved, by store.
fn count_saves(daemon: &mut Daemon, now: Time) -> BTreeMap<SocketAddr, usize> {
    let mut saves = BTreeMap::new();
    for subject in subjects() {
        if let Some(store) = send(daemon, now, subject).save_to {
            *saves.entry(store).or_default() += 1;
        }
    }
    saves
}

#[test]
fn store_of_parts_spreads_evenly_and_alike() {
    let daemons = [daemon(1, true), daemon(2, true)];
    let mut counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for subject in subjects() {
        let store = store_of(&daemons[0], subject);
        assert_eq!(store, store_of(&daemons[1], subject));
        *counts.entry(store).or_default() += 1;
    }
    assert_eq!(counts.len(), 3);
    assert!(counts.values().all(|count| (150..=250).contains(count)), "{counts:?}");
}

#[test]
fn store_of_parts_without_the_setting_is_the_first() {
    let daemon = daemon(1, false);
    assert!(subjects().all(|subject| store_of(&daemon, subject) == address(200)));
    let read = daemon.node.event_reads.keys().filter(|place| matches!(place, Location::Store(_)));
    assert_eq!(read.collect::<Vec<_>>(), [&Location::Store(address(200))]);
    assert!(daemon.node.digest(ms(1_300)).link_bytes_by_store.is_empty());
}

// A fifth of a second of a store's link carries five prompts from engines of its zone, or half as
// many from others. With one store for all, that is all that can be saved at once.
#[test]
fn link_budgets_are_by_store() {
    let saves = count_saves(&mut daemon(1, true), ms(2_000));
    assert_eq!(saves.len(), 3, "{saves:?}");
    assert!((4..=6).contains(&saves[&address(200)]), "{saves:?}");
    assert!((2..=3).contains(&saves[&address(201)]), "{saves:?}");
    assert!((2..=3).contains(&saves[&address(202)]), "{saves:?}");
    let saves = count_saves(&mut daemon(1, false), ms(2_000));
    assert!(saves.len() == 1 && saves[&address(200)] <= 6, "{saves:?}");
}

#[test]
fn saved_parts_are_fetched_from_their_store() {
    let mut daemon = daemon(1, true);
    for store in 200..203 {
        let subject = subject_of(&daemon, store);
        let first = send(&mut daemon, ms(2_000), subject);
        assert_eq!(first.save_to, Some(address(store)));
        receive_events(&mut daemon, ms(8_900), store, 1, &[FIRST_PART, subject]);
        let kept = send(&mut daemon, ms(9_000), subject);
        assert_eq!((kept.save_to, kept.fetch_from), (None, Some(address(store))));
    }
}

#[test]
fn store_that_is_down_is_not_used_and_others_are() {
    let mut daemon = daemon(1, true);
    let subjects: Vec<u64> = (200..203).map(|store| subject_of(&daemon, store)).collect();
    for (store, subject) in (200..203).zip(&subjects) {
        receive_events(&mut daemon, ms(1_900), store, 1, &[FIRST_PART, *subject]);
    }
    let down = Message::Events(Location::Store(address(201)), None);
    daemon.node.apply(ms(1_950), down);
    let stores: Vec<SocketAddr> = (200..203).map(address).collect();
    for (store, subject) in (200..203).zip(&subjects) {
        let sent = send(&mut daemon, ms(2_000), *subject);
        let from = sent.fetch_from.filter(|from| stores.contains(from));
        let expected = (store != 201).then(|| address(store));
        assert_eq!((from, sent.save_to), (expected, None), "{store}");
    }
}

#[test]
fn store_that_returns_empty_is_sent_its_parts_again() {
    let mut daemon = daemon(1, true);
    let subjects: Vec<u64> = (200..203).map(|store| subject_of(&daemon, store)).collect();
    for (store, subject) in (200..203).zip(&subjects) {
        receive_events(&mut daemon, ms(1_900), store, 1, &[FIRST_PART, *subject]);
    }
    // The first batch of a new run only shows that earlier events are missing.
    receive_events(&mut daemon, ms(1_910), 201, 2, &[]);
    receive_events(&mut daemon, ms(1_920), 201, 2, &[]);
    for (store, subject) in (200..203).zip(&subjects) {
        let sent = send(&mut daemon, ms(2_000), *subject);
        let stored = (sent.fetch_from, sent.save_to);
        if store == 201 {
            assert_eq!(sent.save_to, Some(address(store)));
        } else {
            assert_eq!(stored, (Some(address(store)), None));
        }
    }
}

#[test]
fn table_that_drops_a_store_moves_only_its_share() {
    let mut daemon = daemon(1, true);
    let before: Vec<SocketAddr> = subjects().map(|subject| store_of(&daemon, subject)).collect();
    let kept = subject_of(&daemon, 200);
    receive_events(&mut daemon, ms(1_900), 200, 1, &[FIRST_PART, kept]);
    let smaller = "table 2 stores 200 202";
    daemon.deliver_records(ms(1_910), Topic::Operator, &[("config", smaller)]);
    daemon.tick(ms(1_920));
    for (subject, before) in subjects().zip(before) {
        let now = store_of(&daemon, subject);
        assert_ne!(now, address(201));
        assert!(now == before || before == address(201), "{subject}: {before} to {now}");
    }
    // What the others hold is still known, and nothing of the dropped store is left.
    assert_eq!(send(&mut daemon, ms(2_000), kept).fetch_from, Some(address(200)));
    let dropped = Location::Store(address(201));
    assert!(daemon.node.residency(dropped).is_none());
    assert!(!daemon.node.event_reads.contains_key(&dropped));
    receive_events(&mut daemon, ms(2_010), 201, 1, &[FIRST_PART]);
    assert!(daemon.node.residency(dropped).is_none());
}

#[test]
fn table_that_adds_a_store_moves_only_its_share() {
    let mut daemon = daemon(1, true);
    let before: Vec<SocketAddr> = subjects().map(|subject| store_of(&daemon, subject)).collect();
    let larger = "table 2 stores 200 201 202 203";
    daemon.deliver_records(ms(1_910), Topic::Operator, &[("config", larger)]);
    let moved = subjects().zip(before).filter(|(subject, before)| {
        let now = store_of(&daemon, *subject);
        assert!(now == *before || now == address(203));
        now != *before
    });
    assert!((100..=200).contains(&moved.count()));
    let reads = daemon.tick(ms(1_920)).into_iter().filter_map(|effect| match effect {
        Effect::ReadEvents { place: Location::Store(at), .. } => Some(at),
        _ => None,
    });
    assert!(reads.collect::<Vec<_>>().contains(&address(203)));
}

#[test]
fn digests_deduct_the_bytes_of_each_store() {
    let (mut busy, mut other) = (daemon(1, true), daemon(2, true));
    let receive = |other: &mut Daemon, now: Time, digest: Digest| {
        other.node.apply(now, Message::Frame(Frame::Digest(Box::new(digest))));
    };
    receive(&mut other, ms(1_990), busy.node.digest(ms(1_990)));
    // The first daemon uses up the link of one store.
    let used = address(201);
    for subject in subjects().filter(|subject| store_of(&other, *subject) == used) {
        send(&mut busy, ms(2_000), subject);
    }
    let digest = busy.node.digest(ms(2_000));
    assert!(digest.link_bytes_by_store[&used] > 0);
    assert_eq!(digest.link_bytes_moved, 0, "no byte went to the first store");
    receive(&mut other, ms(2_000), digest);
    let links = [200, 201, 202].map(|last| &other.node.stores.get(address(last)).unwrap().link);
    // A prompt from an engine of another zone takes up the link twice.
    let prompt_bytes = 9_000.0 * 163_840.0 * 2.0;
    assert_eq!(links.map(|link| link.has_room(prompt_bytes)), [true, false, true]);
}
