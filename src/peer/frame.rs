//! Frames between daemons and their wire format.
//!
//! The wire types are derived with `prost`. The types that the rest of the program uses are
//! converted from them with `TryFrom`, which rejects malformed frames.

use prost::Message as _;

use crate::poison::{self, Blocked};
use crate::prefix;
use crate::prelude::*;

/// Maximum size of a received frame.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Load from one daemon on one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of these requests that the server has not computed yet.
    pub pending_tokens: u32,
}

/// First level of a prefix that a server has cached or is about to compute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Copy {
    /// The level.
    pub level: prefix::Key,
    /// The server's id.
    pub server: String,
    /// The server's incarnation. Other incarnations don't have the copy.
    pub incarnation: String,
}

/// State that a daemon sends to its peers a few times a second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Digest {
    /// The daemon's id.
    pub daemon: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Generation of its manifest in force.
    pub generation: u64,
    /// Its load by server id.
    pub loads: BTreeMap<String, Load>,
    /// Its hottest first levels, with their rates.
    pub heat: Vec<(prefix::Key, f64)>,
    /// First levels that it recently sent to a server to compute.
    pub copies: Vec<Copy>,
    /// Ids of servers that it knows to be draining.
    pub draining_servers: Vec<String>,
    /// Whether the daemon itself is draining.
    pub draining: bool,
    /// Blocked requests that are not known to be on the log yet.
    pub blocked: Vec<Blocked>,
    /// The ledger stream's next offset.
    pub ledger_next: u64,
}

/// State applied from the log, for a daemon that starts or is behind.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The manifest stream's next offset.
    pub manifest_next: u64,
    /// The generation in force. 0 if there is none.
    pub generation: u64,
    /// Id of the record that put it in force.
    pub published: String,
    /// The manifest as JSON text. Empty if there is none.
    pub manifest: String,
    /// The ledger stream's next offset.
    pub ledger_next: u64,
    /// Log time of the newest ledger record.
    pub ledger_time_ms: u64,
    /// Every idempotency key and its state, as JSON text of (key, slot) pairs.
    pub ledger: String,
    /// Blocked requests.
    pub blocked: Vec<Blocked>,
}

/// One frame between daemons.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// A daemon's digest.
    Digest(Digest),
    /// Requests a snapshot for the daemon with this id.
    SnapshotRequest(String),
    /// A snapshot.
    Snapshot(Snapshot),
    /// A message about requests that may crash servers.
    Poison(poison::Message),
}

mod wire {
    //! Wire types.

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Load {
        #[prost(string, tag = "1")]
        pub server: String,
        #[prost(uint32, tag = "2")]
        pub requests: u32,
        #[prost(uint32, tag = "3")]
        pub pending_tokens: u32,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Heat {
        #[prost(fixed64, tag = "1")]
        pub level: u64,
        #[prost(float, tag = "2")]
        pub rate: f32,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Copy {
        #[prost(fixed64, tag = "1")]
        pub level: u64,
        #[prost(string, tag = "2")]
        pub server: String,
        #[prost(string, tag = "3")]
        pub incarnation: String,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Digest {
        #[prost(string, tag = "1")]
        pub daemon: String,
        #[prost(fixed64, tag = "2")]
        pub incarnation: u64,
        #[prost(uint64, tag = "3")]
        pub generation: u64,
        #[prost(message, repeated, tag = "4")]
        pub loads: Vec<Load>,
        #[prost(message, repeated, tag = "5")]
        pub heat: Vec<Heat>,
        #[prost(string, repeated, tag = "6")]
        pub draining_servers: Vec<String>,
        #[prost(bool, tag = "7")]
        pub draining: bool,
        #[prost(message, repeated, tag = "8")]
        pub copies: Vec<Copy>,
        #[prost(fixed64, repeated, tag = "9")]
        pub blocked: Vec<u64>,
        #[prost(uint64, tag = "10")]
        pub ledger_next: u64,
        #[prost(uint32, repeated, tag = "11")]
        pub blocked_ages_ms: Vec<u32>,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Snapshot {
        #[prost(uint64, tag = "1")]
        pub manifest_next: u64,
        #[prost(uint64, tag = "2")]
        pub generation: u64,
        #[prost(string, tag = "3")]
        pub published: String,
        #[prost(string, tag = "4")]
        pub manifest: String,
        #[prost(uint64, tag = "5")]
        pub ledger_next: u64,
        #[prost(uint64, tag = "6")]
        pub ledger_time_ms: u64,
        #[prost(string, tag = "7")]
        pub ledger: String,
        #[prost(fixed64, repeated, tag = "8")]
        pub blocked: Vec<u64>,
        #[prost(uint32, repeated, tag = "9")]
        pub blocked_ages_ms: Vec<u32>,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Frame {
        #[prost(oneof = "Body", tags = "1, 2, 3, 4")]
        pub body: Option<Body>,
    }

    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        #[prost(message, tag = "1")]
        Digest(Digest),
        #[prost(string, tag = "2")]
        SnapshotRequest(String),
        #[prost(message, tag = "3")]
        Snapshot(Snapshot),
        #[prost(message, tag = "4")]
        Poison(crate::poison::WireMessage),
    }
}

/// Error for a malformed frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed(pub String);

impl Frame {
    /// Encodes the frame.
    pub fn encode(self) -> Vec<u8> {
        wire::Frame::from(self).encode_to_vec()
    }

    /// Decodes a frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        let frame = wire::Frame::decode(bytes).map_err(|error| Malformed(error.to_string()))?;
        Self::try_from(frame)
    }
}

impl From<Frame> for wire::Frame {
    fn from(frame: Frame) -> Self {
        let body = match frame {
            Frame::Digest(digest) => wire::Body::Digest(digest.into()),
            Frame::SnapshotRequest(daemon) => wire::Body::SnapshotRequest(daemon),
            Frame::Snapshot(snapshot) => wire::Body::Snapshot(snapshot.into()),
            Frame::Poison(message) => wire::Body::Poison(message.into()),
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<wire::Frame> for Frame {
    type Error = Malformed;

    fn try_from(frame: wire::Frame) -> Result<Self, Malformed> {
        match frame.body.ok_or_else(|| Malformed("the frame is empty".into()))? {
            wire::Body::Digest(digest) => Ok(Self::Digest(digest.try_into()?)),
            wire::Body::SnapshotRequest(daemon) => Ok(Self::SnapshotRequest(daemon)),
            wire::Body::Snapshot(snapshot) => Ok(Self::Snapshot(snapshot.into())),
            wire::Body::Poison(message) => Ok(Self::Poison(message.into())),
        }
    }
}

impl From<Digest> for wire::Digest {
    fn from(digest: Digest) -> Self {
        let (blocked, blocked_ages_ms) = poison::blocks_to_wire(&digest.blocked);
        let loads = digest.loads.into_iter().map(|(server, load)| wire::Load {
            server,
            requests: load.requests,
            pending_tokens: load.pending_tokens,
        });
        let heat = digest
            .heat
            .into_iter()
            .map(|(level, rate)| wire::Heat { level: level.0, rate: rate as f32 });
        Self {
            daemon: digest.daemon,
            incarnation: digest.incarnation,
            generation: digest.generation,
            loads: loads.collect(),
            heat: heat.collect(),
            draining_servers: digest.draining_servers,
            draining: digest.draining,
            copies: digest.copies.into_iter().map(wire::Copy::from).collect(),
            blocked,
            blocked_ages_ms,
            ledger_next: digest.ledger_next,
        }
    }
}

impl TryFrom<wire::Digest> for Digest {
    type Error = Malformed;

    fn try_from(digest: wire::Digest) -> Result<Self, Malformed> {
        if digest.daemon.is_empty() {
            return Err(Malformed("the digest names no daemon".into()));
        }
        let valid = |heat: &wire::Heat| heat.rate.is_finite() && heat.rate >= 0.0;
        if !digest.heat.iter().all(valid) {
            return Err(Malformed("a rate is negative or not finite".into()));
        }
        let loads = digest.loads.into_iter().map(|load| {
            (load.server, Load { requests: load.requests, pending_tokens: load.pending_tokens })
        });
        let heat =
            digest.heat.into_iter().map(|heat| (prefix::Key(heat.level), f64::from(heat.rate)));
        Ok(Self {
            daemon: digest.daemon,
            incarnation: digest.incarnation,
            generation: digest.generation,
            loads: loads.collect(),
            heat: heat.collect(),
            draining_servers: digest.draining_servers,
            draining: digest.draining,
            copies: digest.copies.into_iter().map(Copy::from).collect(),
            blocked: poison::blocks_from_wire(digest.blocked, digest.blocked_ages_ms),
            ledger_next: digest.ledger_next,
        })
    }
}

impl From<Snapshot> for wire::Snapshot {
    fn from(snapshot: Snapshot) -> Self {
        let (blocked, blocked_ages_ms) = poison::blocks_to_wire(&snapshot.blocked);
        Self {
            manifest_next: snapshot.manifest_next,
            generation: snapshot.generation,
            published: snapshot.published,
            manifest: snapshot.manifest,
            ledger_next: snapshot.ledger_next,
            ledger_time_ms: snapshot.ledger_time_ms,
            ledger: snapshot.ledger,
            blocked,
            blocked_ages_ms,
        }
    }
}

impl From<wire::Snapshot> for Snapshot {
    fn from(wire: wire::Snapshot) -> Self {
        Self {
            manifest_next: wire.manifest_next,
            generation: wire.generation,
            published: wire.published,
            manifest: wire.manifest,
            ledger_next: wire.ledger_next,
            ledger_time_ms: wire.ledger_time_ms,
            ledger: wire.ledger,
            blocked: poison::blocks_from_wire(wire.blocked, wire.blocked_ages_ms),
        }
    }
}

impl From<Copy> for wire::Copy {
    fn from(copy: Copy) -> Self {
        Self { level: copy.level.0, server: copy.server, incarnation: copy.incarnation }
    }
}

impl From<wire::Copy> for Copy {
    fn from(copy: wire::Copy) -> Self {
        let level = prefix::Key(copy.level);
        Self { level, server: copy.server, incarnation: copy.incarnation }
    }
}
