//! Checkpoints keep the manifest on a log with limited retention, whatever the uptime of daemons.

use super::simulation::{manifest_value, publish_record};
use crate::control::{Effect, Identity, Message, Node, Policy, Read, Record, Stream};
use crate::membership::{Role, Standing, Vm};
use crate::prelude::*;

/// Time for which the log keeps records.
const RETENTION_S: u64 = 7 * 86_400;
/// Time of the log's clock at the start.
const START_TIME_MS: u64 = 1_700_000_000_000;
/// Time between two ticks of a daemon.
const TICK_INTERVAL: Duration = Duration::from_secs(600);

/// A log with its own clock, and daemons that run one after another, each with a clock from 0.
struct RestartSimulation {
    streams: BTreeMap<Stream, Vec<Record>>,
    now_ms: u64,
    incarnation: u64,
    /// Whether appends to the manifest stream are lost.
    loses_checkpoints: bool,
    checkpoints: usize,
}

impl RestartSimulation {
    fn new() -> Self {
        let streams = Stream::ALL.into_iter().map(|stream| (stream, Vec::new())).collect();
        let mut simulation = Self {
            streams,
            now_ms: START_TIME_MS,
            incarnation: 0,
            loses_checkpoints: false,
            checkpoints: 0,
        };
        simulation.append(Stream::Manifest, publish_record("first", 0, manifest_value("v1")));
        simulation
    }

    fn append(&mut self, stream: Stream, text: String) {
        let records = self.streams.entry(stream).or_default();
        let offset = records.len() as u64;
        records.push(Record { offset, time_ms: self.now_ms, text });
    }

    fn read(&self, node: &mut Node, now: Time, stream: Stream) -> Vec<Effect> {
        let records = &self.streams[&stream];
        let since_ms = self.now_ms - RETENTION_S * 1_000;
        let is_kept = |record: &&Record| record.time_ms >= since_ms;
        let next = records.len() as u64;
        let first = records.iter().find(is_kept).map_or(next, |record| record.offset);
        let from = node.next_offset(stream).max(first) as usize;
        let records = records[from..].to_vec();
        let read = Read { first, next, retention_s: RETENTION_S, records };
        node.apply(now, Message::Records(stream, read))
    }

    fn apply_effects(&mut self, node: &mut Node, now: Time, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::AppendLease(text) => self.append(Stream::Lease, text),
                Effect::Checkpoint(text) => {
                    self.checkpoints += 1;
                    if !self.loses_checkpoints {
                        self.append(Stream::Manifest, text);
                    }
                    node.apply(now, Message::Checkpointed);
                }
                _ => {}
            }
        }
    }

    /// Runs one daemon for `uptime`. Returns the generation in force at its start.
    fn run_daemon(&mut self, uptime: Duration) -> u64 {
        self.incarnation += 1;
        let identity =
            Identity { id: "router-0".into(), incarnation: self.incarnation, zone: "z".into() };
        let mut node = Node::new(identity, Policy::default());
        let vm = Vm {
            id: "router-0".into(),
            role: Role::Router,
            pool: String::new(),
            address: super::simulation::address(0),
            region: "r".into(),
            zone: "z".into(),
            standing: Standing::Live,
        };
        node.apply(Time::ZERO, Message::VmList(vec![vm]));
        let mut now = Time::ZERO;
        let mut initial_generation = None;
        while now < uptime {
            for stream in Stream::ALL {
                let effects = self.read(&mut node, now, stream);
                self.apply_effects(&mut node, now, effects);
            }
            initial_generation.get_or_insert(node.status(now).generation);
            let effects = node.apply(now, Message::Tick);
            self.apply_effects(&mut node, now, effects);
            now += TICK_INTERVAL;
            self.now_ms += TICK_INTERVAL.as_millis() as u64;
        }
        initial_generation.unwrap_or(0)
    }
}

const DAY: Duration = Duration::from_secs(86_400);

/// Guards against counting a quarter of the retention of a week from each daemon's start, or from when it read
/// the last checkpoint, however old. Daemons replaced once a day would never write one, and a daemon that
/// starts on the eighth day would find no manifest on the log.
#[test]
fn checkpoint_written_with_daily_restarts() {
    let mut simulation = RestartSimulation::new();
    let generations: Vec<u64> = (0..21).map(|_| simulation.run_daemon(DAY)).collect();
    assert_eq!(generations, vec![1; 21]);
    // One per quarter of a week, with a tolerance of a day.
    assert!((7..=21).contains(&simulation.checkpoints), "{} checkpoints", simulation.checkpoints);
}

/// A daemon that restarts often does not write a checkpoint each time.
#[test]
fn checkpoint_not_written_at_each_start() {
    let mut simulation = RestartSimulation::new();
    for _ in 0..72 {
        simulation.run_daemon(DAY / 72);
    }
    assert_eq!(simulation.checkpoints, 0, "the publication is a day old");
}

/// Guards against counting a lost checkpoint as written for a quarter of the retention.
#[test]
fn checkpoint_lost_is_written_again() {
    let mut simulation = RestartSimulation::new();
    simulation.loses_checkpoints = true;
    simulation.run_daemon(6 * DAY);
    assert!(
        simulation.checkpoints > 3,
        "{} attempts in more than four days",
        simulation.checkpoints
    );
    simulation.loses_checkpoints = false;
    simulation.run_daemon(DAY);
    assert_eq!(simulation.run_daemon(2 * DAY), 1);
}
