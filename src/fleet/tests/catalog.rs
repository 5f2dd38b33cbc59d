//! Records from the store and from peers, in any order.

use super::world::*;
use crate::fleet::*;
use crate::prelude::*;
use crate::route::Repeat;

fn record(key: &str, offset: u64, value: Option<&str>) -> Record {
    Record { key: key.into(), offset, value: value.map(|value| value.as_bytes().to_vec()) }
}

#[test]
fn insert_older_record_is_ignored() {
    let mut catalog = Catalog::default();
    assert!(catalog.insert(Topic::Operator, &record("config", 7, Some("new"))));
    assert!(!catalog.insert(Topic::Operator, &record("config", 3, Some("old"))));
    assert_eq!(catalog.since(Topic::Operator, 0), [record("config", 7, Some("new"))]);
}

#[test]
fn advance_past_a_gap_changes_nothing() {
    let mut catalog = Catalog::default();
    catalog.advance(Topic::Operator, 0, 4);
    catalog.insert(Topic::Operator, &record("config", 7, Some("new")));
    catalog.advance(Topic::Operator, 6, 8);
    assert_eq!(catalog.end(Topic::Operator), 4);
    catalog.advance(Topic::Operator, 3, 8);
    assert_eq!(catalog.end(Topic::Operator), 8);
    catalog.advance(Topic::Operator, 0, 5);
    assert_eq!(catalog.end(Topic::Operator), 8);
}

#[test]
fn removals_of_keys_missing_from_a_snapshot() {
    let mut catalog = Catalog::default();
    catalog.insert(Topic::Servers, &record("a", 1, Some("x")));
    catalog.insert(Topic::Servers, &record("b", 2, Some("x")));
    catalog.insert(Topic::Servers, &record("c", 9, Some("x")));
    let snapshot = [record("b", 2, Some("x")), record("d", 5, Some("x"))];
    // `c` arrived from a peer after the read began, so it is not a removal.
    assert_eq!(catalog.removals(Topic::Servers, &snapshot, 6), [record("a", 5, None)]);
}

quickcheck::quickcheck! {
    fn insert_any_order_ends_the_same(offsets: Vec<u8>) -> bool {
        let records: Vec<Record> = offsets
            .iter()
            .map(|offset| record(&format!("k{}", offset % 3), u64::from(*offset), Some("v")))
            .collect();
        let fold = |records: &mut dyn Iterator<Item = &Record>| {
            let mut catalog = Catalog::default();
            for record in records {
                catalog.insert(Topic::Servers, record);
            }
            catalog.since(Topic::Servers, 0)
        };
        fold(&mut records.iter()) == fold(&mut records.iter().rev())
    }
}

#[test]
fn table_older_version_is_ignored() {
    let mut daemon = Daemon::with_servers(1, &[]);
    let is_table = |effects: &[Effect]| effects.iter().any(|e| matches!(e, Effect::Table(_)));
    assert!(is_table(&daemon.deliver_records(ms(1), Topic::Operator, &[("config", "table 9")])));
    assert!(!is_table(&daemon.deliver_records(ms(2), Topic::Operator, &[("config", "table 8")])));
}

#[test]
fn unreadable_registration_removes_only_its_server() {
    let mut daemon =
        Daemon::with_servers(1, &[("s-1", "plain 11 ready"), ("s-2", "plain 12 ready")]);
    let logged = |effects: &[Effect]| {
        let unreadable =
            |effect: &&Effect| matches!(effect, Effect::Event(Event::RecordUnreadable, _));
        effects.iter().filter(unreadable).count()
    };
    // Logged once, however often another writer repeats it.
    assert_eq!(logged(&daemon.deliver_records(ms(10), Topic::Servers, &[("s-1", "nonsense")])), 1);
    assert_eq!(logged(&daemon.deliver_records(ms(20), Topic::Servers, &[("s-1", "nonsense")])), 0);
    assert_eq!(
        logged(&daemon.deliver_records(ms(30), Topic::Servers, &[("s-9", "plain x ready")])),
        1
    );
    let route = route("plain", Repeat::AtMostOnce, 1);
    for at in 40..44 {
        let (request, effects) = daemon.arrive(ms(at), &route, None);
        assert_eq!(dispatch(&effects).server, "s-2");
        daemon.node.apply(ms(at), Message::Cancel(request));
    }
    // The server's next valid registration restores it.
    daemon.deliver_records(ms(50), Topic::Servers, &[("s-1", "plain 11 ready"), ("s-2", "")]);
    let (_, effects) = daemon.arrive(ms(60), &route, None);
    assert_eq!(dispatch(&effects).server, "s-1");
    assert_eq!(logged(&daemon.deliver_records(ms(70), Topic::Servers, &[("s-1", "nonsense")])), 1);
}

#[test]
fn unreadable_registration_from_a_peer_keeps_other_servers() {
    let mut daemon = Daemon::with_servers(1, &[]);
    let records =
        vec![record("s-1", 0, Some("nonsense")), record("s-2", 1, Some("plain 12 ready"))];
    let batch = Batch { topic: Topic::Servers, from: 0, to: 2, records };
    daemon.node.apply(ms(10), Message::Frame(Frame::Records(batch)));
    let (_, effects) = daemon.arrive(ms(20), &route("plain", Repeat::AtMostOnce, 1), None);
    assert_eq!(dispatch(&effects).server, "s-2");
}

#[test]
fn unreadable_record_changes_nothing() {
    let mut daemon = Daemon::with_servers(1, &[]);
    let effects = daemon.deliver_records(ms(1), Topic::Operator, &[("config", "nonsense")]);
    assert!(matches!(effects.as_slice(), [Effect::Event(Event::RecordUnreadable, _)]));
    assert!(daemon.node.is_ready());
}
