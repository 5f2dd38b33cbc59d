//! Inputs and outputs of a [`Node`](super::Node).

use std::net::SocketAddr;

use super::{
    Batch, Entry, EventBatch, Frame, Location, Prompt, Software, Statement, Topic, server,
};
use crate::poison::{Answer, Blocked, Fingerprint, Incarnation};
use crate::prelude::*;
use crate::route::{Cohort, Route, Table, Workspace};

/// Identifies a request at one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(pub u64);

/// A request to be placed on a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The request.
    pub request: Key,
    /// The request id given by the caller.
    pub id: String,
    /// Its route.
    pub route: Arc<Route>,
    /// Its workspace, if any.
    pub workspace: Option<Arc<Workspace>>,
    /// The workspaces that share cached prompts, by the configuration that its route is from.
    pub cohort: Cohort,
    /// Its deadline.
    pub deadline: Time,
    /// Its prompt, if it goes to an engine.
    pub prompt: Option<Prompt>,
    /// The hash of its content and caller; equal when the caller repeats the request.
    pub fingerprint: Fingerprint,
    /// Whether a peer that reaches no server handed the request over. It is not handed over again.
    pub is_handed_over: bool,
    /// Whether it begins a stream or takes one up.
    pub start: Start,
}

/// How a request starts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Start {
    /// With a new answer.
    #[default]
    New,
    /// With the rest of a stream of which its caller has a part. Carries the id of the caller's attempt that brought
    /// the first event, if the caller named it.
    Resumed(Option<String>),
}

/// The reason a server gave for not running a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The server has no capacity, or is leaving or loading.
    Busy,
    /// Another server now has the address.
    Replaced,
    /// The server's weights have this version.
    WrongWeights(Option<u64>),
}

/// The way in which an answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The connection ended or failed.
    Connection,
    /// The response is not a valid answer to the request.
    InvalidAnswer,
}

/// A state change of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Report {
    /// The answer has begun, or the first event of a stream is there, from this version of the weights.
    Begun(Option<u64>),
    /// The answer is complete.
    Ended,
    /// The server refused the request and did not run it.
    Refused(Refusal),
    /// No byte of the request was sent, so it did not run.
    Unsent,
    /// The request was sent, but no complete answer arrived.
    Lost(Loss),
    /// The server answered with a failure.
    Failed,
}

impl Report {
    /// Whether bytes of the server show it.
    pub const fn is_from_server(self) -> bool {
        match self {
            Self::Begun(_) | Self::Ended | Self::Refused(_) | Self::Failed => true,
            Self::Lost(Loss::InvalidAnswer) => true,
            Self::Unsent | Self::Lost(Loss::Connection) => false,
        }
    }
}

/// An instruction to the traffic handler about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Send the request.
    Dispatch(Dispatch),
    /// Have a peer serve the request.
    HandOver(Handover),
    /// Refuse the request, which has not run, with this code and retry-after time.
    Refuse(Code, Duration),
    /// End the request with the outcome of its last attempt.
    GiveUp,
}

/// The destination and parameters of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The number of the request's attempt, from 1.
    pub attempt: u32,
    /// The server's id.
    pub server: String,
    /// The version of its software.
    pub software: Software,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The salt of cached prompts, for an engine.
    pub cache_salt: Option<String>,
    /// The required version of the engine's weights.
    pub weights_version: Option<u64>,
    /// The source from which the engine first fetches cached parts that it lacks.
    pub fetch_from: Option<SocketAddr>,
    /// The destination to which the engine saves the parts that it computes.
    pub save_to: Option<SocketAddr>,
    /// Its priority at the engine; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of idle connections that this daemon keeps to the server.
    pub max_idle: usize,
    /// Whether the server has stated a request limit, so that an answer without one ends it.
    pub has_limit: bool,
}

/// A peer that is to serve a request in place of this daemon, which reaches no server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Handover {
    /// The number of the request's attempt, from 1; attempts at servers count, too.
    pub attempt: u32,
    /// The peer's id.
    pub daemon: String,
    /// The address on which it takes requests over.
    pub address: SocketAddr,
}

/// The outcome of a handover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandoverEnd {
    /// The caller has the peer's answer.
    Answered,
    /// The peer did not take the request over, or could not be reached; the request did not run.
    NotTaken,
    /// No complete answer came; the request may have run.
    Lost,
}

/// What a daemon registers of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Registration {
    /// Its id.
    pub id: String,
    /// The address on which it listens for peers.
    pub address: SocketAddr,
    /// The cores of its VM; 0 if unknown.
    pub cores: f32,
    /// Its availability zone; empty if unknown.
    pub zone: String,
}

/// A decoded record of the platform's store.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A new configuration.
    Table {
        /// The entries that could be read.
        table: Arc<Table>,
        /// The reasons why entries were omitted.
        left_out: Vec<String>,
    },
    /// The weights version that a model should have.
    Weights {
        /// The model.
        model: String,
        /// The version.
        version: u64,
    },
    /// A server registered or changed its registration.
    Server(Entry),
    /// A server's registration was removed.
    ServerGone(String),
    /// Another daemon.
    Router(Registration),
    /// A request that crashes servers and is blocked, with the age of the block if the record has it.
    Blocked(Blocked),
    /// A request that is no longer blocked.
    Unblocked(Fingerprint),
    /// A record that this program ignores.
    Nothing,
}

/// A successful read of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read {
    /// The records.
    pub batch: Batch,
    /// Whether these are the newest records of all keys; a key without a record does not exist.
    pub is_snapshot: bool,
    /// A time up to which the store had no further records: the time of the request, or the end of a
    /// wait without results.
    pub current_at: Time,
}

/// The outcome of an order to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEnd {
    /// The engine carries out the order.
    Accepted,
    /// The engine was already in the ordered state.
    Held,
    /// Another order is in progress, or the engine's sequence number differs.
    Conflict,
    /// The engine has seen a higher fence.
    Fenced,
    /// The engine refused the order for another reason.
    Refused,
    /// The outcome is unknown.
    Unknown,
}

/// An engine's report of its own state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct State {
    /// The versions of its weights, by model.
    pub weights: BTreeMap<String, u64>,
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// The number of orders it has accepted.
    pub sequence: u64,
    /// Its start time in Unix milliseconds; 0 if unknown.
    pub born: u64,
    /// Whether it is about to stop by plan.
    pub is_leaving: bool,
}

/// An external dependency whose availability is tracked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Dependency {
    /// Reads of this topic.
    Topic(Topic),
    /// Reads of the lease.
    Lease,
}

impl Dependency {
    /// All dependencies.
    pub const ALL: [Self; 4] = [
        Self::Topic(Topic::Operator),
        Self::Topic(Topic::Servers),
        Self::Topic(Topic::Routers),
        Self::Lease,
    ];

    /// Its index in [`Dependency::ALL`].
    pub const fn index(self) -> usize {
        match self {
            Self::Topic(topic) => topic as usize,
            Self::Lease => Topic::ALL.len(),
        }
    }

    /// Its name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Topic(Topic::Operator) => "operator",
            Self::Topic(Topic::Servers) => "servers",
            Self::Topic(Topic::Routers) => "routers",
            Self::Lease => "lease",
        }
    }
}

/// Outcome of a connect to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connect {
    /// The connection was accepted and stayed open for a moment.
    Accepted,
    /// The connection was reset, as by a server that has as many as it accepts.
    Reset,
    /// The connection was refused, or there was no response.
    Failed,
}

/// An input to a node.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// A request arrived.
    Arrive(Box<Arrival>),
    /// An attempt's state changed.
    Report {
        /// The request.
        request: Key,
        /// The attempt's number.
        attempt: u32,
        /// The state change.
        report: Report,
    },
    /// A handover of a request ended.
    HandoverEnded {
        /// The request.
        request: Key,
        /// The attempt's number.
        attempt: u32,
        /// The outcome.
        end: HandoverEnd,
    },
    /// The head of the answer to an attempt states something about its server.
    Stated {
        /// The request.
        request: Key,
        /// The attempt's number.
        attempt: u32,
        /// What it states.
        statement: Statement,
    },
    /// The caller disconnected, or the request reached its time limit.
    Cancel(Key),
    /// A topic was read.
    Read(Read),
    /// A dependency could not be read, with the reason.
    ReadFailed(Dependency, String),
    /// Records of the lease were read: the oldest retained offset, and the records with their offsets.
    Lease(u64, Vec<(u64, String)>),
    /// An order to an engine ended.
    OrderEnded(server::Key, OrderEnd),
    /// An engine reported its state, or could not be reached.
    Polled(server::Key, Option<State>),
    /// Events of a holder of cached parts were read, or could not be read.
    Events(Location, Option<EventBatch>),
    /// The port of a server that may have crashed was probed.
    Probed(Incarnation, Answer),
    /// A server was probed to learn whether this daemon reaches it.
    PathProbed(server::Key, Connect),
    /// A frame arrived from a peer.
    Frame(Frame),
    /// A planned stop was requested.
    Stop,
    /// Much of the time of a planned stop has passed: requests that arrive from now on might not be answered within it.
    StopAdmission,
    /// The time limit of a planned stop is about to expire.
    StopDeadline,
    /// Time has passed.
    Tick,
}

/// An action requested by a node.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a command about a request to the traffic handler.
    Command(Key, Command),
    /// Install this route table.
    Table(Arc<Table>),
    /// Append this record to the lease.
    AppendLease(String),
    /// Order an engine to load weights.
    Order {
        /// The engine.
        server: server::Key,
        /// Its id.
        id: String,
        /// The address on which it listens.
        address: SocketAddr,
        /// The model.
        model: String,
        /// The version.
        version: u64,
        /// The fencing token.
        fence: u64,
        /// The number of orders that the engine is expected to have accepted.
        expected_sequence: u64,
    },
    /// Read the events of a holder of cached parts, waiting until there are some.
    ReadEvents {
        /// The holder.
        place: Location,
        /// The address on which it listens.
        address: SocketAddr,
        /// The number of the first event to read.
        since: u64,
    },
    /// Probe whether anything still listens at the address of a server that may have crashed.
    Probe(Incarnation, SocketAddr),
    /// Probe whether this daemon reaches a server.
    ProbePath(server::Key, SocketAddr),
    /// Write to the platform's store for how long a request has been blocked, or that it no longer is.
    WriteBlock(Fingerprint, Option<Duration>),
    /// Close idle connections to this address because the server there has ended or is not reached.
    Disconnect(SocketAddr),
    /// Ask an engine for its state.
    Poll(server::Key, String, SocketAddr),
    /// Send a frame to peers.
    Send(Vec<SocketAddr>, Frame),
    /// Log an event.
    Event(Event, Detail),
}
