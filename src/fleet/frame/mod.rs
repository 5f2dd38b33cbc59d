//! What daemons tell each other about requests that are passed on, and its form on the wire.

mod wire;

use prost::Message as _;

use super::scheduling::{Progress, Submission, Verdict};
use super::{Batch, Holder, Incarnation, Naming, Notice, Record, Topic, Update};
use crate::poison::{self, Blocked, Fingerprint};
use crate::prelude::*;
use crate::quota::Use;

/// A frame that is not well-formed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed(pub String);

/// Work that one daemon has at one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Workload {
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens of those whose answers have not begun.
    pub pending_tokens: u32,
    /// Whether it was ordered to load weights and has not finished.
    pub ordered: bool,
    /// Milliseconds since its last answer to this daemon.
    pub heard_ms: Option<u32>,
    /// Milliseconds for which the oldest request waits whose answer has not begun.
    pub unanswered_ms: Option<u32>,
}

/// What a daemon tells its peers several times a second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Digest {
    /// The daemon's id.
    pub daemon: String,
    /// Where it listens for peers.
    pub address: String,
    /// Cores that its VM gives it; 0 where it does not say.
    pub cores: f32,
    /// Time until its next digest to the same peer.
    pub interval: Duration,
    /// How old what it has read of each topic in the platform's store is, in the order of
    /// [`Topic::ALL`]; `None` where it has read nothing.
    pub read_ages: Vec<Option<Duration>>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether it is stopping.
    pub draining: bool,
    /// The offsets before which it misses no record, in the order of [`Topic::ALL`].
    pub ends: Vec<u64>,
    /// Its work by server.
    pub busy: BTreeMap<Incarnation, Workload>,
    /// Weights that servers were seen to have: server, model, version.
    pub weights: Vec<(Incarnation, String, u64)>,
    /// The parts of prompts that most of its work is for, with milliseconds of work a second; none
    /// in most digests.
    pub heat: Vec<(u64, f32)>,
    /// Fingerprints of the requests that it refused lately.
    pub refused: Vec<Fingerprint>,
    /// Bytes that it has had moved over the KV store's link since its start.
    pub link_moved: u64,
    /// Requests that are blocked and that the platform's store is not known to keep yet.
    pub blocked: Vec<Blocked>,
    /// When it was made, by its daemon's clock.
    pub sent: Time,
    /// Weights that were named lately, in ascending order of versions for each model.
    pub named: Vec<Naming>,
    /// How long ago its daemon last knew that it had missed nothing that operators published.
    pub missed_nothing_for: Option<Duration>,
    /// The daemon that it takes for the keeper of quotas, and so lends its share; empty where it knows of none.
    pub keeper: String,
    /// What it used of workspaces' quotas lately.
    pub used: Vec<Use>,
}

/// What daemons send each other.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// How a daemon is.
    Digest(Box<Digest>),
    /// Wants the records of a topic from an offset: who asks, the topic, the offset.
    Ask(String, Topic, u64),
    /// Records of a topic, asked for or new.
    Records(Batch),
    /// Everything that is left of a topic, asked for: keys that are not in it are gone.
    Snapshot(Batch),
    /// What a daemon has at one server now.
    Notice(Notice),
    /// What an engine or the KV store keeps.
    Held(Update),
    /// Wants to be told everything that is kept there: who asks, and of what.
    AskHeld(String, Holder),
    /// Wants a server for a request.
    Submission(Box<Submission>),
    /// What became of a request that was submitted.
    Progress(Progress),
    /// What was decided for a request that was submitted.
    Verdict(Box<Verdict>),
    /// On requests that end servers.
    Poison(poison::Message),
}

impl Frame {
    /// The frame's bytes.
    ///
    /// ```
    /// use cardamomvalve::fleet::{Frame, Topic};
    /// let frame = Frame::Ask("router-1".into(), Topic::Servers, 7);
    /// assert_eq!(Frame::decode(&frame.encode()), Ok(frame));
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        let body = match self.clone() {
            Self::Digest(digest) => wire::Body::Digest((*digest).into()),
            Self::Ask(daemon, topic, from) => {
                wire::Body::Ask(wire::Ask { daemon, topic: topic as u32, from })
            }
            Self::Records(batch) => wire::Body::Records(batch.into()),
            Self::Snapshot(batch) => {
                wire::Body::Records(wire::Records { whole: true, ..batch.into() })
            }
            Self::Notice(notice) => {
                let Notice { daemon, life, busy, parts } = notice;
                wire::Body::Notice(wire::Notice { daemon, busy: Some((life, busy).into()), parts })
            }
            Self::Held(told) => wire::Body::Held(told.into()),
            Self::AskHeld(daemon, keeper) => {
                wire::Body::AskHeld(wire::AskHeld { daemon, keeper: Some(keeper.into()) })
            }
            Self::Submission(submission) => wire::Body::Submission((*submission).into()),
            Self::Progress(progress) => wire::Body::Progress(progress.into()),
            Self::Verdict(verdict) => wire::Body::Verdict((*verdict).into()),
            Self::Poison(message) => wire::Body::Poison(message.into()),
        };
        wire::Frame { body: Some(body) }.encode_to_vec()
    }

    /// Reads a frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        let frame = wire::Frame::decode(bytes).map_err(|error| Malformed(error.to_string()))?;
        match frame.body {
            None => Err(Malformed("the frame is empty".into())),
            Some(wire::Body::Digest(digest)) => Ok(Self::Digest(Box::new(digest.try_into()?))),
            Some(wire::Body::Ask(ask)) => Ok(Self::Ask(ask.daemon, topic(ask.topic)?, ask.from)),
            Some(wire::Body::Records(records)) if records.whole => {
                Ok(Self::Snapshot(records.try_into()?))
            }
            Some(wire::Body::Records(records)) => Ok(Self::Records(records.try_into()?)),
            Some(wire::Body::Notice(notice)) => {
                let busy = notice.busy.ok_or_else(|| Malformed("a notice tells nothing".into()))?;
                let (life, busy) = busy.into();
                Ok(Self::Notice(Notice { daemon: notice.daemon, life, busy, parts: notice.parts }))
            }
            Some(wire::Body::Held(held)) => Ok(Self::Held(held.try_into()?)),
            Some(wire::Body::AskHeld(ask)) => Ok(Self::AskHeld(ask.daemon, named(ask.keeper)?)),
            Some(wire::Body::Submission(submission)) => {
                Ok(Self::Submission(Box::new(submission.try_into()?)))
            }
            Some(wire::Body::Progress(progress)) => Ok(Self::Progress(progress.try_into()?)),
            Some(wire::Body::Verdict(verdict)) => Ok(Self::Verdict(Box::new(verdict.try_into()?))),
            Some(wire::Body::Poison(message)) => Ok(Self::Poison(message.into())),
        }
    }
}

fn topic(number: u32) -> Result<Topic, Malformed> {
    Topic::from_number(number).ok_or_else(|| Malformed(format!("no topic {number}")))
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn age_number(age: Option<Duration>) -> u32 {
    age.map_or(0, |age| millis(age).saturating_add(1))
}

fn age(number: u32) -> Option<Duration> {
    Some(Duration::from_millis(u64::from(number.checked_sub(1)?)))
}

impl From<Holder> for wire::Keeper {
    fn from(keeper: Holder) -> Self {
        match keeper {
            Holder::Engine(life) => {
                Self { server: life.id, born: life.started_ms, store: String::new() }
            }
            Holder::Store(address) => {
                Self { server: String::new(), born: 0, store: address.to_string() }
            }
        }
    }
}

fn named(keeper: Option<wire::Keeper>) -> Result<Holder, Malformed> {
    let keeper = keeper.ok_or_else(|| Malformed("the frame names no keeper".into()))?;
    if !keeper.server.is_empty() {
        return Ok(Holder::Engine(Incarnation::new(keeper.server, keeper.born)));
    }
    let address = keeper.store.parse();
    address.map(Holder::Store).map_err(|_| Malformed(format!("no address: {:?}", keeper.store)))
}

impl From<Update> for wire::Held {
    fn from(told: Update) -> Self {
        Self {
            daemon: told.daemon,
            keeper: Some(told.holder.into()),
            number: told.sequence,
            whole: told.full,
            parts: told.changes.iter().map(|(part, _)| *part).collect(),
            tokens: told.changes.iter().map(|(_, tokens)| *tokens).collect(),
        }
    }
}

impl TryFrom<wire::Held> for Update {
    type Error = Malformed;

    fn try_from(held: wire::Held) -> Result<Self, Malformed> {
        if held.parts.len() != held.tokens.len() {
            return Err(Malformed("the frame's parts and their tokens do not match".into()));
        }
        Ok(Self {
            daemon: held.daemon,
            holder: named(held.keeper)?,
            sequence: held.number,
            full: held.whole,
            changes: held.parts.into_iter().zip(held.tokens).collect(),
        })
    }
}

impl From<Batch> for wire::Records {
    fn from(batch: Batch) -> Self {
        Self {
            topic: batch.topic as u32,
            records: batch.records.into_iter().map(wire::Record::from).collect(),
            from: batch.from,
            to: batch.to,
            whole: false,
        }
    }
}

impl TryFrom<wire::Records> for Batch {
    type Error = Malformed;

    fn try_from(records: wire::Records) -> Result<Self, Malformed> {
        Ok(Self {
            topic: topic(records.topic)?,
            from: records.from,
            to: records.to,
            records: records.records.into_iter().map(Record::from).collect(),
        })
    }
}

impl From<Naming> for wire::Naming {
    fn from(naming: Naming) -> Self {
        let Naming { model, version, age } = naming;
        Self { model, version, age_ms: age_number(age) }
    }
}

impl From<wire::Naming> for Naming {
    fn from(naming: wire::Naming) -> Self {
        let wire::Naming { model, version, age_ms } = naming;
        Self { model, version, age: age(age_ms) }
    }
}

impl From<Record> for wire::Record {
    fn from(record: Record) -> Self {
        Self { key: record.key, offset: record.offset, value: record.value }
    }
}

impl From<wire::Record> for Record {
    fn from(record: wire::Record) -> Self {
        Self { key: record.key, offset: record.offset, value: record.value }
    }
}

impl From<(Incarnation, Workload)> for wire::Busy {
    fn from((life, busy): (Incarnation, Workload)) -> Self {
        Self {
            server: life.id,
            born: life.started_ms,
            running: busy.running,
            pending_tokens: busy.pending_tokens,
            ordered: busy.ordered,
            heard_ms: busy.heard_ms,
            unanswered_ms: busy.unanswered_ms,
        }
    }
}

impl From<wire::Busy> for (Incarnation, Workload) {
    fn from(busy: wire::Busy) -> Self {
        let wire::Busy { server, running, pending_tokens, ordered, heard_ms, unanswered_ms, born } =
            busy;
        let busy = Workload { running, pending_tokens, ordered, heard_ms, unanswered_ms };
        (Incarnation::new(server, born), busy)
    }
}

impl From<Digest> for wire::Digest {
    fn from(digest: Digest) -> Self {
        let (blocked, blocked_ages_ms) = poison::blocks_to_wire(&digest.blocked);
        let busy = digest.busy.into_iter().map(wire::Busy::from);
        let weights = digest.weights.into_iter().map(|(life, model, version)| wire::Weights {
            server: life.id,
            born: life.started_ms,
            model,
            version,
        });
        Self {
            daemon: digest.daemon,
            address: digest.address,
            cores: digest.cores,
            interval_ms: millis(digest.interval),
            read_ages: digest.read_ages.into_iter().map(age_number).collect(),
            incarnation: digest.incarnation,
            draining: digest.draining,
            ends: digest.ends,
            busy: busy.collect(),
            weights: weights.collect(),
            hot_parts: digest.heat.iter().map(|(part, _)| *part).collect(),
            hot_work_ms: digest.heat.iter().map(|(_, work_ms)| *work_ms).collect(),
            refused: digest.refused.into_iter().map(|fingerprint| fingerprint.0).collect(),
            link_moved: digest.link_moved,
            blocked,
            blocked_ages_ms,
            sent_ms: u64::try_from(digest.sent.as_millis()).unwrap_or(u64::MAX),
            named: digest.named.into_iter().map(wire::Naming::from).collect(),
            missed_nothing_for: age_number(digest.missed_nothing_for),
            keeper: digest.keeper,
            used_by: digest.used.iter().map(|used| used.workspace.clone()).collect(),
            used_units: digest.used.iter().map(|used| used.units).collect(),
        }
    }
}

impl TryFrom<wire::Digest> for Digest {
    type Error = Malformed;

    fn try_from(digest: wire::Digest) -> Result<Self, Malformed> {
        if digest.daemon.is_empty() {
            return Err(Malformed("the digest names no daemon".into()));
        }
        if digest.hot_parts.len() != digest.hot_work_ms.len()
            || !digest.hot_work_ms.iter().all(|work_ms| *work_ms >= 0.0 && work_ms.is_finite())
        {
            return Err(Malformed("the digest's parts and their work do not match".into()));
        }
        if digest.used_by.len() != digest.used_units.len() {
            return Err(Malformed("the digest's workspaces and their use do not match".into()));
        }
        if !digest.cores.is_finite() {
            return Err(Malformed("the digest's VM has no number of cores".into()));
        }
        let busy = digest.busy.into_iter().map(<(Incarnation, Workload)>::from);
        Ok(Self {
            daemon: digest.daemon,
            address: digest.address,
            cores: digest.cores,
            interval: Duration::from_millis(u64::from(digest.interval_ms)),
            read_ages: digest.read_ages.into_iter().map(age).collect(),
            incarnation: digest.incarnation,
            draining: digest.draining,
            ends: digest.ends,
            busy: busy.collect(),
            weights: digest
                .weights
                .into_iter()
                .map(|weights| {
                    (Incarnation::new(weights.server, weights.born), weights.model, weights.version)
                })
                .collect(),
            heat: digest.hot_parts.into_iter().zip(digest.hot_work_ms).collect(),
            refused: digest.refused.into_iter().map(Fingerprint).collect(),
            link_moved: digest.link_moved,
            blocked: poison::blocks_from_wire(digest.blocked, digest.blocked_ages_ms),
            sent: Duration::from_millis(digest.sent_ms),
            named: digest.named.into_iter().map(Naming::from).collect(),
            missed_nothing_for: age(digest.missed_nothing_for),
            keeper: digest.keeper,
            used: digest
                .used_by
                .into_iter()
                .zip(digest.used_units)
                .map(|(workspace, units)| Use { workspace, units })
                .collect(),
        })
    }
}
