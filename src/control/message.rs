//! Inputs and outputs of a [`Node`](super::Node).

use std::net::SocketAddr;

use crate::attempt;
use crate::manifest;
use crate::membership::{self, Vm};
use crate::order::Order;
use crate::peer::Frame;
use crate::poison::{Answer, Incarnation};
use crate::prelude::*;

/// Streams of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stream {
    /// Manifests.
    Manifest,
    /// Claims and outcomes of requests with an idempotency key.
    Ledger,
    /// Lease for sending orders to engines.
    Lease,
    /// Blocked requests.
    Blocked,
}

impl Stream {
    /// Every stream.
    pub const ALL: [Self; 4] = [Self::Manifest, Self::Ledger, Self::Lease, Self::Blocked];

    /// The stream's name on the log.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Manifest => "manifest",
            Self::Ledger => "ledger",
            Self::Lease => "lease",
            Self::Blocked => "blocked",
        }
    }
}

/// One record read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Its offset.
    pub offset: u64,
    /// When it was written, in milliseconds of the log's clock.
    pub time_ms: u64,
    /// Its text.
    pub text: String,
}

/// A successful read of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read {
    /// Offset of the oldest record that is still on the log.
    pub first: u64,
    /// The offset after the newest record.
    pub next: u64,
    /// Seconds for which the log keeps records.
    pub retention_s: u64,
    /// Records in ascending order of offset.
    pub records: Vec<Record>,
}

/// Result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// The record was written.
    Written,
    /// The record was not written and will not be.
    Refused,
    /// The record may have been written or may still be.
    Unknown,
}

/// Input of a node.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// A request arrived.
    Arrive(Box<attempt::Arrival>),
    /// An attempt's state changed.
    Report {
        /// The request.
        request: attempt::Key,
        /// The attempt's number.
        attempt: u32,
        /// What happened.
        report: attempt::Report,
    },
    /// A stream was read.
    Records(Stream, Read),
    /// A stream could not be read.
    LogDown(Stream),
    /// An append to the ledger ended.
    Appended {
        /// The append's number.
        number: u64,
        /// Its result.
        result: AppendResult,
    },
    /// An order to an engine ended. The flag says whether the engine accepted it.
    Ordered(membership::Key, bool),
    /// An append of a checkpoint ended.
    Checkpointed,
    /// The VM list was read.
    VmList(Vec<Vm>),
    /// The VM list could not be read.
    VmListDown,
    /// An engine reported.
    Polled(membership::Key, Box<membership::Report>),
    /// An engine did not report.
    PollFailed(membership::Key),
    /// A probe of a server that may have crashed ended.
    Probed(Incarnation, Answer),
    /// A frame came from a peer.
    Frame(Frame),
    /// A planned stop was requested.
    Stop,
    /// The time limit of a planned stop is about to expire.
    StopDeadline,
    /// Time has passed.
    Tick,
}

/// Action that a node requests from its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a command about a request to the traffic side.
    Command(attempt::Key, Box<attempt::Command>),
    /// Append to the ledger stream.
    Append {
        /// The append's number.
        number: u64,
        /// The record.
        text: String,
    },
    /// Append a record to the lease stream.
    AppendLease(String),
    /// Send an order to an engine.
    Order {
        /// The engine.
        server: membership::Key,
        /// Its address.
        address: SocketAddr,
        /// The order.
        order: Order,
    },
    /// Append a checkpoint to the manifest stream.
    Checkpoint(String),
    /// Append a record to the stream of blocked requests.
    AppendBlocked(String),
    /// Probe the address of a server that may have crashed.
    Probe(Incarnation, SocketAddr),
    /// Make traffic use this manifest.
    UseManifest(Arc<manifest::Revision>),
    /// Poll an engine.
    Poll {
        /// The engine.
        server: membership::Key,
        /// Its address.
        address: SocketAddr,
        /// Sequence number of the first cache event to return.
        from: u64,
    },
    /// Send a frame to a peer.
    Send(SocketAddr, Frame),
    /// Log an event.
    Event(Event, Detail),
}
