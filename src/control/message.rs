//! What goes into and comes out of a [`Node`](super::Node).

use std::net::SocketAddr;

use crate::attempt;
use crate::manifest;
use crate::membership::{self, Vm};
use crate::order::Order;
use crate::peer::Frame;
use crate::poison::{Answer, Incarnation};
use crate::prelude::*;

/// The streams on the log that the system uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stream {
    /// Manifests.
    Manifest,
    /// Claims and outcomes of keyed requests.
    Ledger,
    /// The lease to order engines.
    Lease,
    /// Requests that are blocked.
    Blocked,
}

impl Stream {
    /// Every stream.
    pub const ALL: [Self; 4] = [Self::Manifest, Self::Ledger, Self::Lease, Self::Blocked];

    /// Its name on the log.
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
    /// When the log took it, in milliseconds of the log's clock.
    pub time_ms: u64,
    /// Its text.
    pub text: String,
}

/// A successful read of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read {
    /// The oldest offset that the log still has.
    pub first: u64,
    /// The offset after the newest record.
    pub next: u64,
    /// Seconds for which the log keeps records.
    pub retention_s: u64,
    /// Records in ascending order of offset.
    pub records: Vec<Record>,
}

/// How an append ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// It landed.
    Written,
    /// It did not and will not land.
    Refused,
    /// It is not known whether it landed or will.
    Unknown,
}

/// What a node is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// A request came.
    Arrive(Box<attempt::Arrival>),
    /// Traffic reports of an attempt.
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
        /// How it ended.
        result: AppendResult,
    },
    /// An order to an engine ended; whether the engine took it.
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
    /// A look was taken at the port of a server that may have ended.
    Probed(Incarnation, Answer),
    /// A frame came from a peer.
    Frame(Frame),
    /// A planned stop was asked for.
    Stop,
    /// Time has passed.
    Tick,
}

/// What a node wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Tell traffic about a request.
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
    /// Give an order to an engine.
    Order {
        /// The engine.
        server: membership::Key,
        /// Where it listens.
        address: SocketAddr,
        /// The order.
        order: Order,
    },
    /// Append a checkpoint to the manifest stream.
    Checkpoint(String),
    /// Append a record to the stream of blocked requests.
    AppendBlocked(String),
    /// Look whether somebody listens where a server did that may have ended.
    Probe(Incarnation, SocketAddr),
    /// Make this manifest the one that traffic uses.
    UseManifest(Arc<manifest::Force>),
    /// Poll an engine.
    Poll {
        /// The engine.
        server: membership::Key,
        /// Where it listens.
        address: SocketAddr,
        /// The sequence number of the first cache event wanted.
        from: u64,
    },
    /// Send a frame to a peer.
    Send(SocketAddr, Frame),
    /// Log an event.
    Event(Event, Detail),
}
