//! When a node is ready, and when it has drained.

use super::fixture::{Fixture, find_dispatch, report};
use super::simulation::{Faults, Simulation};
use crate::control::{Message, Read, Stream};
use crate::membership::{CacheEvent, Change};
use crate::poison::{Blocked, Fingerprint, Record};
use crate::prelude::*;

#[test]
fn ready_once_engines_answered_or_failed() {
    let mut simulation = Simulation::new(1, 1, Faults::default());
    assert!(!simulation.nodes[0].is_ready(), "no engine has been polled");
    let servers = ["engine-0", "engine-1"].map(|id| simulation.server_key(0, id));
    simulation.nodes[0]
        .apply(simulation.now, Message::Polled(servers[0], Box::new(report("one", "v1"))));
    assert!(simulation.nodes[0].is_ready());
    let mut simulation = Simulation::new(1, 1, Faults::default());
    for server in servers {
        simulation.nodes[0].apply(simulation.now, Message::PollFailed(server));
    }
    assert!(simulation.nodes[0].is_ready(), "a pool that is down does not delay readiness");
}

/// Guards against sending a blocked request before the stream of blocks has been read. Blocks have a stream of
/// their own, and peers report them only until the stream has them. Manifest and engines are thus not enough
/// for a daemon that just started to be ready.
#[test]
fn ready_once_blocked_requests_are_known() {
    let mut simulation = Simulation::new(1, 1, Faults::default());
    let blocked = [Fingerprint(7), Fingerprint(8)];
    for fingerprint in blocked {
        let blocked = Blocked { fingerprint, age: Duration::ZERO };
        simulation.append_record(Stream::Blocked, Record::new(&[blocked], &[]).encode());
    }
    simulation.log_down = true;
    simulation.restart(0);
    simulation.log_down = false;
    simulation.read(0, Stream::Manifest);
    let servers = ["engine-0", "engine-1"].map(|id| simulation.server_key(0, id));
    for server in servers {
        simulation.deliver(0, Message::Polled(server, Box::new(report("one", "v1"))));
    }
    assert!(simulation.nodes[0].is_ready(), "an unreadable stream does not delay readiness");
    let first = simulation.log[&Stream::Blocked][..1].to_vec();
    let page = Read { first: 0, next: 2, retention_s: 1_000, records: first };
    simulation.deliver(0, Message::Records(Stream::Blocked, page));
    assert!(!simulation.nodes[0].is_ready(), "one of two records has not been read");
    simulation.read(0, Stream::Blocked);
    assert!(simulation.nodes[0].is_ready());
}

#[test]
fn ready_once_blocked_stream_was_read_or_failed() {
    let mut simulation = Simulation::new(1, 1, Faults::default());
    let mut node = simulation.nodes.remove(0);
    node.readings.remove(&Stream::Blocked);
    for id in ["engine-0", "engine-1"] {
        let server = node.membership.find(id).expect("the VM list has the server");
        node.apply(simulation.now, Message::Polled(server, Box::new(report("one", "v1"))));
    }
    assert!(!node.is_ready(), "the first read has neither succeeded nor failed");
    node.apply(simulation.now, Message::LogDown(Stream::Blocked));
    assert!(node.is_ready());
}

#[test]
fn drain_waits_for_requests_and_outcomes() {
    let mut simulation = Simulation::new(1, 1, Faults::default());
    simulation.send_payment(0, Some("k"));
    simulation.deliver(0, Message::Stop);
    assert!(simulation.nodes[0].is_draining() && !simulation.nodes[0].is_ready());
    assert!(!simulation.nodes[0].is_drained());
    simulation.settle();
    assert!(simulation.nodes[0].is_drained());
    assert_eq!(simulation.runs.len(), 1, "the request did not run to its end");
}

/// Requested sequence number, next sequence number, and events as (sequence number, stored, block).
type ReportParts = (u64, u64, Vec<(u64, bool, u8)>);

quickcheck::quickcheck! {
    /// Reports with any events never cause a panic or more residency entries than they name.
    fn report_any_events(reports: Vec<ReportParts>) -> bool {
        let mut fixture = Fixture::new();
        let mut named_count = 0;
        for (from, next_seq, events) in reports {
            named_count += events.len();
            let event = |(seq, stored, block): (u64, bool, u8)| CacheEvent {
                seq,
                change: if stored { Change::Stored } else { Change::Evicted },
                block: block.into(),
            };
            let events = events.into_iter().map(event).collect();
            fixture.deliver_report("engine-0", crate::membership::Report {
                from,
                next_seq,
                events,
                import_ms: Some(f64::NAN),
                ..report("one", "v1")
            });
        }
        let (_, effects) = fixture.send_request("w", "v1");
        fixture.simulation.nodes[0].residency.len() <= named_count + 8 && find_dispatch(&effects).is_some()
    }
}
