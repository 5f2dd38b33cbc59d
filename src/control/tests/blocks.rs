//! Blocked requests: for how long, whoever tells of them.

use super::world::{Action, Faults, World, manifest_value, publish_record};
use crate::control::{self, Effect, Identity, Message, Node, Policy, Read, Stream};
use crate::peer::Frame;
use crate::poison::{self, Blocked, Fingerprint, Record};
use crate::prelude::*;

const HOUR: Duration = Duration::from_secs(3_600);
const FATAL: Fingerprint = Fingerprint(7);

/// Lets daemons look and tell each other, all but what reads the log.
fn rounds(world: &mut World, count: usize) {
    for _ in 0..count {
        for index in 0..world.nodes.len() {
            world.tell(index, Message::Tick);
        }
        for action in std::mem::take(&mut world.actions) {
            if let Action::Deliver(index, _, message) = action
                && matches!(*message, Message::Frame(_))
            {
                world.tell(index, *message);
            }
        }
        world.now += Duration::from_millis(250);
    }
}

/// Requests that each daemon has blocked.
fn blocked(world: &World) -> Vec<usize> {
    world.nodes.iter().map(|node| node.status(world.now).requests_blocked).collect()
}

fn blocks(blocked: &[Fingerprint], lifted: &[Fingerprint]) -> String {
    let age = Duration::ZERO;
    let blocked: Vec<Blocked> =
        blocked.iter().map(|fingerprint| Blocked { fingerprint: *fingerprint, age }).collect();
    Record::new(&blocked, lifted).encode()
}

/// Each hearing of a block counted its day anew. With the stream of blocks out, digests tell of it, and of two peers
/// the one that let it lapse heard of it from the other within seconds: both had it a day and over a minute later,
/// and would have had it for ever.
///
/// ```text
/// 24 h and over a minute: left: [1, 1] right: [0, 0]
/// ```
#[test]
fn block_that_peers_tell_each_other_lapses_after_a_day() {
    let mut world = World::new(1, 2, Faults::default());
    world.quiet();
    world.log_down = true;
    for index in 0..2 {
        world.tell(index, Message::LogDown(Stream::Blocked));
    }
    let block = poison::Message::Blocked(vec![Blocked { fingerprint: FATAL, age: Duration::ZERO }]);
    world.tell(0, Message::Frame(Frame::Poison(block)));
    rounds(&mut world, 5);
    world.log.get_mut(&Stream::Blocked).expect("it is there").clear();
    assert_eq!(blocked(&world), [1, 1]);
    world.now += HOUR * 24 - Duration::from_secs(30);
    // Daemons do not look at the same moment.
    world.tell(0, Message::Tick);
    world.now += Duration::from_secs(5);
    rounds(&mut world, 400);
    assert_eq!(blocked(&world), [0, 0], "24 h and over a minute");
}

/// A daemon counted the day of a block from when it read the record, whenever the log had taken that: after a restart
/// at 23 h the block was there at 25 h, and would have been until 47 h.
///
/// ```text
/// the log took it 25 h ago: left: [1] right: [0]
/// ```
#[test]
fn block_of_a_daemon_that_started_again_lapses_a_day_after_the_log_took_it() {
    let mut world = World::new(1, 1, Faults::default());
    world.land(Stream::Blocked, blocks(&[FATAL], &[]));
    world.quiet();
    assert_eq!(blocked(&world), [1]);
    world.now += HOUR * 23;
    world.kill(0);
    assert_eq!(blocked(&world), [1]);
    world.now += HOUR * 2;
    world.tell(0, Message::Tick);
    assert_eq!(blocked(&world), [0], "the log took it 25 h ago");
}

#[test]
fn block_made_anew_after_the_first_has_lapsed_lasts_a_day() {
    let mut world = World::new(1, 1, Faults::default());
    world.land(Stream::Blocked, blocks(&[FATAL], &[]));
    world.now += HOUR * 26;
    world.land(Stream::Blocked, blocks(&[FATAL], &[]));
    world.kill(0);
    for (hours, expected) in [(0, 1), (23, 1), (2, 0)] {
        world.now += HOUR * hours;
        world.read(0, Stream::Blocked);
        world.tell(0, Message::Tick);
        assert_eq!(blocked(&world), [expected], "after another {hours} h");
    }
}

/// Operators lift a block by a record. A peer that had not read it yet told of the block in its snapshot, the daemon
/// that had read it blocked the request again, and as the first daemon wrote that to the log, for all.
///
/// ```text
/// blocked again: left: [1, 1] right: [0, 1]
/// ```
#[test]
fn block_that_was_lifted_is_not_taken_from_a_peer() {
    let mut world = World::new(1, 2, Faults::default());
    world.land(Stream::Blocked, blocks(&[FATAL], &[]));
    world.quiet();
    assert_eq!(blocked(&world), [1, 1]);
    world.land(Stream::Blocked, blocks(&[], &[FATAL]));
    world.read(0, Stream::Blocked);
    assert_eq!(blocked(&world), [0, 1]);
    let records = world.log[&Stream::Blocked].len();
    let snapshot = world.nodes[1].snapshot(world.now);
    world.tell(0, Message::Frame(Frame::Snapshot(snapshot)));
    world.now += Duration::from_secs(1);
    world.tell(0, Message::Tick);
    assert_eq!(blocked(&world), [0, 1], "blocked again");
    assert_eq!(world.log[&Stream::Blocked].len(), records, "written to the log again");
}

/// A log that forgets, with its own clock, and daemons that live one after the other, each with a clock from 0.
struct Days {
    log: BTreeMap<Stream, Vec<control::Record>>,
    now_ms: u64,
}

impl Days {
    /// Seconds for which the log keeps records.
    const RETENTION_S: u64 = 12 * 3_600;
    /// Time between two looks of a daemon.
    const STEP: Duration = Duration::from_secs(60);

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

    /// A daemon lives for as long; whether it had blocked a request soon after its start.
    fn live(&mut self, life: Duration) -> bool {
        let identity =
            Identity { id: "router-0".into(), incarnation: self.now_ms, zone: "z".into() };
        let mut node = Node::new(identity, Policy::default());
        let vms = World::new(1, 1, Faults::default()).vms();
        node.apply(Time::ZERO, Message::VmList(vms));
        let (mut now, mut at_start) = (Time::ZERO, None);
        while now < life {
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
            if now >= Self::STEP * 2 {
                at_start.get_or_insert(node.status(now).requests_blocked > 0);
            }
            now += Self::STEP;
            self.now_ms += Self::STEP.as_millis() as u64;
        }
        at_start.unwrap_or(false)
    }
}

/// Blocks are written again before the log forgets them. The time to that was counted from the start of each process,
/// so daemons that live for less than a quarter of the retention wrote none: where the log keeps records for 12 h, the
/// daemons that started from then on had no block. What is written again says for how long it has been blocked.
#[test]
fn block_lasts_a_day_where_the_log_and_daemons_last_less() {
    let mut days = Days { log: BTreeMap::new(), now_ms: 1_700_000_000_000 };
    days.append(Stream::Manifest, publish_record("first", 0, manifest_value("v1")));
    days.append(Stream::Blocked, blocks(&[FATAL], &[]));
    let blocked: Vec<bool> = (0..18).map(|_| days.live(HOUR * 2)).collect();
    let expected: Vec<bool> = (0..18).map(|life| life < 12).collect();
    assert_eq!(blocked, expected, "whether the request is blocked every two hours");
    let written = days.log[&Stream::Blocked].len();
    assert!((4..=12).contains(&written), "{written} records in a day and a half");
}
