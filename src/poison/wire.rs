//! Protobuf encoding of the messages about suspects and blocks.

use super::{Fingerprint, Incarnation, Interruption};
use crate::prelude::*;

#[derive(Clone, PartialEq, prost::Message)]
struct WireInterruption {
    #[prost(fixed64, tag = "1")]
    fingerprint: u64,
    #[prost(fixed64, tag = "2")]
    server: u64,
    /// 0 if the server's starts can't be told apart.
    #[prost(fixed64, tag = "3")]
    start: u64,
    #[prost(uint32, tag = "4")]
    age_ms: u32,
    #[prost(fixed64, tag = "5")]
    pool: u64,
    #[prost(uint32, tag = "6")]
    servers: u32,
    #[prost(uint32, tag = "7")]
    run_time_ms: u32,
    #[prost(bool, tag = "8")]
    ran_alone: bool,
    #[prost(fixed64, repeated, tag = "9")]
    parts: Vec<u64>,
}

fn millis_u32(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// A message between daemons about suspects and blocks.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    #[prost(message, repeated, tag = "1")]
    interruptions: Vec<WireInterruption>,
    #[prost(fixed64, optional, tag = "2")]
    served: Option<u64>,
    #[prost(fixed64, repeated, tag = "3")]
    blocked: Vec<u64>,
    #[prost(uint32, repeated, tag = "4")]
    blocked_ages_ms: Vec<u32>,
}

/// Splits blocks into a list of fingerprints and a list of ages.
pub(crate) fn blocks_to_wire(blocked: &[super::Blocked]) -> (Vec<u64>, Vec<u32>) {
    blocked.iter().map(|block| (block.fingerprint.0, millis_u32(block.age))).unzip()
}

/// Joins lists of fingerprints and ages into blocks; a missing age counts as 0.
pub(crate) fn blocks_from_wire(fingerprints: Vec<u64>, ages_ms: Vec<u32>) -> Vec<super::Blocked> {
    let ages = ages_ms.into_iter().chain(std::iter::repeat(0));
    let blocked = fingerprints.into_iter().zip(ages);
    let blocked = blocked.map(|(fingerprint, age_ms)| super::Blocked {
        fingerprint: Fingerprint(fingerprint),
        age: Duration::from_millis(u64::from(age_ms)),
    });
    blocked.collect()
}

impl From<super::Message> for Message {
    fn from(message: super::Message) -> Self {
        match message {
            super::Message::Interruptions(interruptions) => Self {
                interruptions: interruptions.into_iter().map(WireInterruption::from).collect(),
                ..Self::default()
            },
            super::Message::Served(fingerprint) => {
                Self { served: Some(fingerprint.0), ..Self::default() }
            }
            super::Message::Blocked(blocked) => {
                let (blocked, blocked_ages_ms) = blocks_to_wire(&blocked);
                Self { blocked, blocked_ages_ms, ..Self::default() }
            }
        }
    }
}

impl From<Message> for super::Message {
    fn from(wire: Message) -> Self {
        if let Some(served) = wire.served {
            return Self::Served(Fingerprint(served));
        }
        if wire.interruptions.is_empty() {
            return Self::Blocked(blocks_from_wire(wire.blocked, wire.blocked_ages_ms));
        }
        Self::Interruptions(wire.interruptions.into_iter().map(Interruption::from).collect())
    }
}

impl From<Interruption> for WireInterruption {
    fn from(interruption: Interruption) -> Self {
        Self {
            fingerprint: interruption.fingerprint.0,
            server: interruption.incarnation.server,
            start: interruption.incarnation.start.unwrap_or(0),
            age_ms: millis_u32(interruption.age),
            pool: interruption.pool,
            servers: interruption.servers,
            run_time_ms: millis_u32(interruption.run_time),
            ran_alone: interruption.ran_alone,
            parts: interruption.parts.into_iter().map(|part| part.0).collect(),
        }
    }
}

impl From<WireInterruption> for Interruption {
    fn from(wire: WireInterruption) -> Self {
        let start = Some(wire.start).filter(|start| *start != 0);
        Self {
            fingerprint: Fingerprint(wire.fingerprint),
            incarnation: Incarnation { server: wire.server, start },
            pool: wire.pool,
            servers: wire.servers,
            run_time: Duration::from_millis(u64::from(wire.run_time_ms)),
            age: Duration::from_millis(u64::from(wire.age_ms)),
            ran_alone: wire.ran_alone,
            parts: wire.parts.into_iter().map(Fingerprint).collect(),
        }
    }
}
