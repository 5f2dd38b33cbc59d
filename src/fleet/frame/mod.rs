//! Frames that daemons exchange about forwarded requests, with their encoding and decoding.

mod account;
mod compression;
mod digest;
mod wire;

use std::net::{IpAddr, SocketAddr};

use prost::Message as _;

pub use account::Account;
pub(in crate::fleet) use account::{MAX_ACCOUNTS, MAX_NAME_BYTES, MAX_SPEEDS, MAX_USAGES};
use compression::{compress, decompress};
pub use digest::{Digest, Workload};

use super::scheduling::{Progress, Submission, Verdict};
use super::{Batch, Holder, Incarnation, Notice, Record, Relay, Topic, Update, streams};
use crate::poison;
use crate::prelude::*;

/// Size from which frames are compressed.
const MIN_COMPRESSED_BYTES: usize = 4_096;

/// Error of a frame that is not well-formed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed(pub String);

/// A message between daemons.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// The periodic state message of a daemon.
    Digest(Box<Digest>),
    /// Request for the records of a topic: the requesting daemon, the topic, the first offset.
    Fetch(String, Topic, u64),
    /// Records of a topic, either requested or new.
    Records(Batch),
    /// All remaining records of a topic, on request; keys not in it no longer exist.
    Snapshot(Batch),
    /// A daemon's current work at one server.
    Notice(Notice),
    /// The parts held by an engine or the KV store.
    Residency(Update),
    /// Request for all parts held somewhere: the requesting daemon and the holder.
    FetchResidency(String, Holder),
    /// A request submitted for placement.
    Submission(Box<Submission>),
    /// A state change of a submitted request.
    Progress(Progress),
    /// The decision on a submitted request.
    Verdict(Box<Verdict>),
    /// A message about requests that crash servers.
    Poison(poison::Message),
    /// A message about software versions of streams.
    Streams(streams::Message),
    /// A frame to be handled and passed on.
    Relay(Relay),
}

impl Frame {
    /// Encodes the frame.
    ///
    /// ```
    /// use cardamomvalve::fleet::{Frame, Topic};
    /// let frame = Frame::Fetch("router-1".into(), Topic::Servers, 7);
    /// assert_eq!(Frame::decode(&frame.encode()), Ok(frame));
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        let body = match self.clone() {
            Self::Digest(digest) => wire::Body::Digest(Box::new((*digest).into())),
            Self::Fetch(daemon, topic, from) => {
                wire::Body::Fetch(wire::Fetch { daemon, topic: topic as u32, from })
            }
            Self::Records(batch) => wire::Body::Records(batch.into()),
            Self::Snapshot(batch) => {
                wire::Body::Records(wire::Records { is_snapshot: true, ..batch.into() })
            }
            Self::Notice(notice) => {
                let Notice { daemon, incarnation, busy, parts } = notice;
                wire::Body::Notice(wire::Notice {
                    daemon,
                    workload: Some((incarnation, busy).into()),
                    parts,
                })
            }
            Self::Residency(update) => wire::Body::Residency(update.into()),
            Self::FetchResidency(daemon, holder) => {
                wire::Body::FetchResidency(wire::FetchResidency {
                    daemon,
                    holder: Some(holder.into()),
                })
            }
            Self::Submission(submission) => wire::Body::Submission((*submission).into()),
            Self::Progress(progress) => wire::Body::Progress(progress.into()),
            Self::Verdict(verdict) => wire::Body::Verdict((*verdict).into()),
            Self::Poison(message) => wire::Body::Poison(message.into()),
            Self::Streams(message) => wire::Body::Streams(message.into()),
            Self::Relay(Relay { to, frame }) => wire::Body::Relay(wire::Relay {
                to: to.into_iter().map(encode_address).collect(),
                frame: frame.encode(),
            }),
        };
        let bytes = wire::Frame { body: Some(body) }.encode_to_vec();
        let is_relay = matches!(self, Self::Relay(_));
        if is_relay || bytes.len() < MIN_COMPRESSED_BYTES { bytes } else { compress(&bytes) }
    }

    /// Approximate size in bytes before compression.
    pub(super) fn size_hint(&self) -> usize {
        match self {
            Self::Records(batch) | Self::Snapshot(batch) => batch.size(),
            _ => 0,
        }
    }

    /// Decodes a frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        let frame = wire::Frame::decode(bytes).map_err(|error| Malformed(error.to_string()))?;
        match frame.body {
            Some(wire::Body::Compressed(compressed)) => {
                let bytes = decompress(&compressed.bytes)?;
                let frame = wire::Frame::decode(bytes.as_slice());
                let frame = frame.map_err(|error| Malformed(error.to_string()))?;
                Self::from_body(frame.body)
            }
            body => Self::from_body(body),
        }
    }

    fn from_body(body: Option<wire::Body>) -> Result<Self, Malformed> {
        match body {
            Some(wire::Body::Compressed(_)) => {
                Err(Malformed("the frame is compressed twice".into()))
            }
            Some(wire::Body::Relay(relay)) => {
                let to: Result<Vec<SocketAddr>, Malformed> =
                    relay.to.iter().map(|bytes| decode_address(bytes)).collect();
                let frame = Self::decode(&relay.frame)?;
                if matches!(frame, Self::Relay(_)) {
                    return Err(Malformed("a relayed frame is itself a relay".into()));
                }
                Ok(Self::Relay(Relay { to: to?, frame: Box::new(frame) }))
            }
            None => Err(Malformed("the frame is empty".into())),
            Some(wire::Body::Digest(digest)) => Ok(Self::Digest(Box::new((*digest).try_into()?))),
            Some(wire::Body::Fetch(ask)) => {
                Ok(Self::Fetch(ask.daemon, decode_topic(ask.topic)?, ask.from))
            }
            Some(wire::Body::Records(records)) if records.is_snapshot => {
                Ok(Self::Snapshot(records.try_into()?))
            }
            Some(wire::Body::Records(records)) => Ok(Self::Records(records.try_into()?)),
            Some(wire::Body::Notice(notice)) => {
                let busy = notice
                    .workload
                    .ok_or_else(|| Malformed("the notice lacks a workload".into()))?;
                let (incarnation, busy) = busy.into();
                Ok(Self::Notice(Notice {
                    daemon: notice.daemon,
                    incarnation,
                    busy,
                    parts: notice.parts,
                }))
            }
            Some(wire::Body::Residency(held)) => Ok(Self::Residency(held.try_into()?)),
            Some(wire::Body::FetchResidency(ask)) => {
                Ok(Self::FetchResidency(ask.daemon, decode_holder(ask.holder)?))
            }
            Some(wire::Body::Submission(submission)) => {
                Ok(Self::Submission(Box::new(submission.try_into()?)))
            }
            Some(wire::Body::Progress(progress)) => Ok(Self::Progress(progress.try_into()?)),
            Some(wire::Body::Verdict(verdict)) => Ok(Self::Verdict(Box::new(verdict.try_into()?))),
            Some(wire::Body::Poison(message)) => Ok(Self::Poison(message.into())),
            Some(wire::Body::Streams(message)) => Ok(Self::Streams(message.try_into()?)),
        }
    }
}

fn encode_address(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}

fn decode_address(bytes: &[u8]) -> Result<SocketAddr, Malformed> {
    let (ip, port) =
        bytes.split_last_chunk::<2>().ok_or_else(|| Malformed("an address is too short".into()))?;
    let ip = match ip.len() {
        4 => <[u8; 4]>::try_from(ip).ok().map(IpAddr::from),
        _ => <[u8; 16]>::try_from(ip).ok().map(IpAddr::from),
    };
    let ip = ip.ok_or_else(|| Malformed("an address has an invalid length".into()))?;
    Ok(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}

fn decode_topic(number: u32) -> Result<Topic, Malformed> {
    Topic::from_number(number).ok_or_else(|| Malformed(format!("unknown topic {number}")))
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

impl From<Holder> for wire::Holder {
    fn from(holder: Holder) -> Self {
        match holder {
            Holder::Engine(incarnation) => Self {
                server: incarnation.id,
                born: incarnation.started_ms,
                store_address: String::new(),
            },
            Holder::Store(address) => {
                Self { server: String::new(), born: 0, store_address: address.to_string() }
            }
        }
    }
}

fn decode_holder(holder: Option<wire::Holder>) -> Result<Holder, Malformed> {
    let holder = holder.ok_or_else(|| Malformed("the frame lacks a holder of parts".into()))?;
    if !holder.server.is_empty() {
        return Ok(Holder::Engine(Incarnation::new(holder.server, holder.born)));
    }
    let address = holder.store_address.parse();
    address
        .map(Holder::Store)
        .map_err(|_| Malformed(format!("invalid address: {:?}", holder.store_address)))
}

impl From<Update> for wire::Residency {
    fn from(update: Update) -> Self {
        Self {
            daemon: update.daemon,
            holder: Some(update.holder.into()),
            number: update.sequence,
            is_snapshot: update.full,
            parts: update.changes.iter().map(|(part, _)| *part).collect(),
            tokens: update.changes.iter().map(|(_, tokens)| *tokens).collect(),
        }
    }
}

impl TryFrom<wire::Residency> for Update {
    type Error = Malformed;

    fn try_from(held: wire::Residency) -> Result<Self, Malformed> {
        if held.parts.len() != held.tokens.len() {
            return Err(Malformed("the frame's parts and token counts differ in number".into()));
        }
        Ok(Self {
            daemon: held.daemon,
            holder: decode_holder(held.holder)?,
            sequence: held.number,
            full: held.is_snapshot,
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
            is_snapshot: false,
        }
    }
}

impl TryFrom<wire::Records> for Batch {
    type Error = Malformed;

    fn try_from(records: wire::Records) -> Result<Self, Malformed> {
        Ok(Self {
            topic: decode_topic(records.topic)?,
            from: records.from,
            to: records.to,
            records: records.records.into_iter().map(Record::from).collect(),
        })
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
