//! Expiry of blocks, whether learned from the log or from peers.

use super::simulation::{Faults, PendingAction, Simulation, manifest_value, publish_record};
use crate::control::{self, Effect, Identity, Message, Node, Policy, Read, Stream};
use crate::peer::Frame;
use crate::poison::{self, Blocked, Fingerprint, Record};
use crate::prelude::*;

const HOUR: Duration = Duration::from_secs(3_600);
const CRASHING: Fingerprint = Fingerprint(7);

/// Ticks the daemons and delivers their frames, without reading the log.
fn run_rounds(simulation: &mut Simulation, count: usize) {
    for _ in 0..count {
        for index in 0..simulation.nodes.len() {
            simulation.deliver(index, Message::Tick);
        }
        for action in std::mem::take(&mut simulation.pending) {
            if let PendingAction::Deliver(index, _, message) = action
                && matches!(*message, Message::Frame(_))
            {
                simulation.deliver(index, *message);
            }
        }
        simulation.now += Duration::from_millis(250);
    }
}

/// Returns the number of requests that each daemon blocks.
fn count_blocked(simulation: &Simulation) -> Vec<usize> {
    simulation.nodes.iter().map(|node| node.status(simulation.now).requests_blocked).collect()
}

fn encode_blocks(blocked: &[Fingerprint], lifted: &[Fingerprint]) -> String {
    let age = Duration::ZERO;
    let blocked: Vec<Blocked> =
        blocked.iter().map(|fingerprint| Blocked { fingerprint: *fingerprint, age }).collect();
    Record::new(&blocked, lifted).encode()
}

/// Guards against restarting a block's 24 h at each digest that repeats it. While the stream of blocks is down,
/// digests carry blocks. A daemon where the block expired would take it from its peer again, without end.
///
/// ```text
/// 24 h and over a minute: left: [1, 1] right: [0, 0]
/// ```
#[test]
fn block_repeated_by_peers_expires_after_a_day() {
    let mut simulation = Simulation::new(1, 2, Faults::default());
    simulation.settle();
    simulation.log_down = true;
    for index in 0..2 {
        simulation.deliver(index, Message::LogDown(Stream::Blocked));
    }
    let block =
        poison::Message::Blocked(vec![Blocked { fingerprint: CRASHING, age: Duration::ZERO }]);
    simulation.deliver(0, Message::Frame(Frame::Poison(block)));
    run_rounds(&mut simulation, 5);
    simulation.log.get_mut(&Stream::Blocked).expect("the log has a stream of blocks").clear();
    assert_eq!(count_blocked(&simulation), [1, 1]);
    simulation.now += HOUR * 24 - Duration::from_secs(30);
    // The daemons do not tick at the same time.
    simulation.deliver(0, Message::Tick);
    simulation.now += Duration::from_secs(5);
    run_rounds(&mut simulation, 400);
    assert_eq!(count_blocked(&simulation), [0, 0], "24 h and over a minute");
}

/// Guards against counting a block's 24 h from when a daemon read the record instead of when it was written.
/// After a restart at 23 h, such a block would last until 47 h.
///
/// ```text
/// its record was written 25 h ago: left: [1] right: [0]
/// ```
#[test]
fn block_after_restart_expires_a_day_after_its_record() {
    let mut simulation = Simulation::new(1, 1, Faults::default());
    simulation.append_record(Stream::Blocked, encode_blocks(&[CRASHING], &[]));
    simulation.settle();
    assert_eq!(count_blocked(&simulation), [1]);
    simulation.now += HOUR * 23;
    simulation.restart(0);
    assert_eq!(count_blocked(&simulation), [1]);
    simulation.now += HOUR * 2;
    simulation.deliver(0, Message::Tick);
    assert_eq!(count_blocked(&simulation), [0], "its record was written 25 h ago");
}

#[test]
fn block_renewed_after_expiry_lasts_a_day() {
    let mut simulation = Simulation::new(1, 1, Faults::default());
    simulation.append_record(Stream::Blocked, encode_blocks(&[CRASHING], &[]));
    simulation.now += HOUR * 26;
    simulation.append_record(Stream::Blocked, encode_blocks(&[CRASHING], &[]));
    simulation.restart(0);
    for (hours, expected) in [(0, 1), (23, 1), (2, 0)] {
        simulation.now += HOUR * hours;
        simulation.read(0, Stream::Blocked);
        simulation.deliver(0, Message::Tick);
        assert_eq!(count_blocked(&simulation), [expected], "after another {hours} h");
    }
}

/// Guards against restoring a lifted block. Operators lift a block with a record. The snapshot of a peer that has not
/// read the record still has the block. A daemon that took it from there would also write it to the log, for all.
///
/// ```text
/// blocked again: left: [1, 1] right: [0, 1]
/// ```
#[test]
fn block_lifted_is_not_restored_by_a_peer() {
    let mut simulation = Simulation::new(1, 2, Faults::default());
    simulation.append_record(Stream::Blocked, encode_blocks(&[CRASHING], &[]));
    simulation.settle();
    assert_eq!(count_blocked(&simulation), [1, 1]);
    simulation.append_record(Stream::Blocked, encode_blocks(&[], &[CRASHING]));
    simulation.read(0, Stream::Blocked);
    assert_eq!(count_blocked(&simulation), [0, 1]);
    let records = simulation.log[&Stream::Blocked].len();
    let snapshot = simulation.nodes[1].snapshot(simulation.now);
    simulation.deliver(0, Message::Frame(Frame::Snapshot(snapshot)));
    simulation.now += Duration::from_secs(1);
    simulation.deliver(0, Message::Tick);
    assert_eq!(count_blocked(&simulation), [0, 1], "blocked again");
    assert_eq!(simulation.log[&Stream::Blocked].len(), records, "written to the log again");
}

/// A log with limited retention and its own clock, and daemons that run one after another, each with a clock from 0.
struct RestartSimulation {
    log: BTreeMap<Stream, Vec<control::Record>>,
    now_ms: u64,
}

impl RestartSimulation {
    /// Time for which the log keeps records.
    const RETENTION_S: u64 = 12 * 3_600;
    /// Time between two ticks of a daemon.
    const TICK_INTERVAL: Duration = Duration::from_secs(60);

    fn append(&mut self, stream: Stream, text: String) {
        let records = self.log.entry(stream).or_default();
        let (offset, time_ms) = (records.len() as u64, self.now_ms);
        records.push(control::Record { offset, time_ms, text });
    }

    fn read(&mut self, node: &Node, stream: Stream) -> Read {
        let records = self.log.entry(stream).or_default();
        let since_ms = self.now_ms - Self::RETENTION_S * 1_000;
        let next = records.len() as u64;
        let kept = records.iter().find(|record| record.time_ms >= since_ms);
        let first = kept.map_or(next, |record| record.offset);
        let from = node.next_offset(stream).max(first) as usize;
        Read { first, next, retention_s: Self::RETENTION_S, records: records[from..].to_vec() }
    }

    /// Runs a daemon for `uptime`. Returns whether it blocked a request two ticks after its start.
    fn run_daemon(&mut self, uptime: Duration) -> bool {
        let identity =
            Identity { id: "router-0".into(), incarnation: self.now_ms, zone: "z".into() };
        let mut node = Node::new(identity, Policy::default());
        let vms = Simulation::new(1, 1, Faults::default()).vms();
        node.apply(Time::ZERO, Message::VmList(vms));
        let (mut now, mut initially_blocked) = (Time::ZERO, None);
        while now < uptime {
            for stream in Stream::ALL {
                let read = self.read(&node, stream);
                node.apply(now, Message::Records(stream, read));
            }
            for effect in node.apply(now, Message::Tick) {
                match effect {
                    Effect::AppendLease(text) => self.append(Stream::Lease, text),
                    Effect::AppendBlocked(text) => self.append(Stream::Blocked, text),
                    Effect::Checkpoint(text) => {
                        self.append(Stream::Manifest, text);
                        node.apply(now, Message::Checkpointed);
                    }
                    _ => {}
                }
            }
            if now >= Self::TICK_INTERVAL * 2 {
                initially_blocked.get_or_insert(node.status(now).requests_blocked > 0);
            }
            now += Self::TICK_INTERVAL;
            self.now_ms += Self::TICK_INTERVAL.as_millis() as u64;
        }
        initially_blocked.unwrap_or(false)
    }
}

/// Daemons rewrite blocks, with their age, before the log drops them. Guards against counting the time to the rewrite
/// from each process start. Daemons that run for less than a quarter of the retention would never rewrite, and daemons
/// that start after the retention of 12 h would have no block.
#[test]
fn block_lasts_a_day_with_short_retention_and_uptimes() {
    let mut simulation = RestartSimulation { log: BTreeMap::new(), now_ms: 1_700_000_000_000 };
    simulation.append(Stream::Manifest, publish_record("first", 0, manifest_value("v1")));
    simulation.append(Stream::Blocked, encode_blocks(&[CRASHING], &[]));
    let blocked: Vec<bool> = (0..18).map(|_| simulation.run_daemon(HOUR * 2)).collect();
    let expected: Vec<bool> = (0..18).map(|daemon| daemon < 12).collect();
    assert_eq!(blocked, expected, "whether the request is blocked at the start of each daemon");
    let written = simulation.log[&Stream::Blocked].len();
    assert!((4..=12).contains(&written), "{written} records in a day and a half");
}
