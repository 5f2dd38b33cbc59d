//! The manifest on a log that forgets: written again in time, however long each daemon lives.

use super::world::{manifest_value, publish_record};
use crate::control::{Effect, Identity, Message, Node, Policy, Read, Record, Stream};
use crate::membership::{Role, Standing, Vm};
use crate::prelude::*;

/// Seconds for which the log keeps records.
const RETENTION_S: u64 = 7 * 86_400;
/// What the log's clock shows at first, in milliseconds.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// Time between two looks of a daemon in these tests.
const STEP: Duration = Duration::from_secs(600);

/// A log with its own clock, and daemons that live one after the other, each with a clock that starts at 0.
struct Days {
    streams: BTreeMap<Stream, Vec<Record>>,
    now_ms: u64,
    incarnation: u64,
    /// Whether appends to the manifest stream are lost.
    loses: bool,
    checkpoints: usize,
}

impl Days {
    fn new() -> Self {
        let streams = Stream::ALL.into_iter().map(|stream| (stream, Vec::new())).collect();
        let mut days =
            Self { streams, now_ms: EPOCH_MS, incarnation: 0, loses: false, checkpoints: 0 };
        days.append(Stream::Manifest, publish_record("first", 0, manifest_value("v1")));
        days
    }

    fn append(&mut self, stream: Stream, text: String) {
        let records = self.streams.entry(stream).or_default();
        let offset = records.len() as u64;
        records.push(Record { offset, time_ms: self.now_ms, text });
    }

    fn read(&self, node: &mut Node, now: Time, stream: Stream) -> Vec<Effect> {
        let records = &self.streams[&stream];
        let since_ms = self.now_ms - RETENTION_S * 1_000;
        let kept = |record: &&Record| record.time_ms >= since_ms;
        let next = records.len() as u64;
        let first = records.iter().find(kept).map_or(next, |record| record.offset);
        let from = node.next_offset(stream).max(first) as usize;
        let records = records[from..].to_vec();
        let read = Read { first, next, retention_s: RETENTION_S, records };
        node.apply(now, Message::Records(stream, read))
    }

    fn take(&mut self, node: &mut Node, now: Time, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::AppendLease(text) => self.append(Stream::Lease, text),
                Effect::Checkpoint(text) => {
                    self.checkpoints += 1;
                    if !self.loses {
                        self.append(Stream::Manifest, text);
                    }
                    node.apply(now, Message::Checkpointed);
                }
                _ => {}
            }
        }
    }

    /// One daemon lives alone for `life`; the generation in force at its start.
    fn live(&mut self, life: Duration) -> u64 {
        self.incarnation += 1;
        let identity =
            Identity { id: "router-0".into(), incarnation: self.incarnation, zone: "z".into() };
        let mut node = Node::new(identity, Policy::default());
        let vm = Vm {
            id: "router-0".into(),
            role: Role::Router,
            pool: String::new(),
            address: super::world::address(0),
            region: "r".into(),
            zone: "z".into(),
            standing: Standing::Live,
        };
        node.apply(Time::ZERO, Message::VmList(vec![vm]));
        let mut now = Time::ZERO;
        let mut at_start = None;
        while now < life {
            for stream in Stream::ALL {
                let effects = self.read(&mut node, now, stream);
                self.take(&mut node, now, effects);
            }
            at_start.get_or_insert(node.status(now).generation);
            let effects = node.apply(now, Message::Tick);
            self.take(&mut node, now, effects);
            now += STEP;
            self.now_ms += STEP.as_millis() as u64;
        }
        at_start.unwrap_or(0)
    }
}

const DAY: Duration = Duration::from_secs(86_400);

/// A quarter of the retention, a week, was counted from each daemon's start, or from when it read the last
/// checkpoint, however old that was. Daemons that are replaced once a day never wrote one: on the eighth day
/// the log had forgotten the manifest, and whoever started then had none.
#[test]
fn checkpoint_is_written_though_daemons_live_a_day() {
    let mut days = Days::new();
    let generations: Vec<u64> = (0..21).map(|_| days.live(DAY)).collect();
    assert_eq!(generations, vec![1; 21]);
    // One in a quarter of a week, give or take a day.
    assert!((7..=21).contains(&days.checkpoints), "{} checkpoints", days.checkpoints);
}

/// A daemon that starts again and again does not write each time.
#[test]
fn checkpoint_is_not_written_at_each_start() {
    let mut days = Days::new();
    for _ in 0..72 {
        days.live(DAY / 72);
    }
    assert_eq!(days.checkpoints, 0, "the publication is a day old");
}

/// What was sent counted as written, for a quarter of the retention, also where it never landed.
#[test]
fn checkpoint_that_does_not_land_is_written_again() {
    let mut days = Days::new();
    days.loses = true;
    days.live(6 * DAY);
    assert!(days.checkpoints > 3, "{} tries in more than four days", days.checkpoints);
    days.loses = false;
    days.live(DAY);
    assert_eq!(days.live(2 * DAY), 1);
}
