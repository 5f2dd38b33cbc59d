//! What goes into and comes out of a [`Node`](super::Node).

use std::net::SocketAddr;

use super::{Batch, Entry, EventBatch, Frame, Location, Prompt, Topic, server};
use crate::poison::{Answer, Blocked, Fingerprint, Incarnation};
use crate::prelude::*;
use crate::route::{Route, Table, Workspace};

/// A request at one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(pub u64);

/// A request that wants a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The request.
    pub request: Key,
    /// Its id, as the caller gave it.
    pub id: String,
    /// Its route.
    pub route: Arc<Route>,
    /// Its workspace, where it has one.
    pub workspace: Option<Arc<Workspace>>,
    /// When it is no longer wanted.
    pub deadline: Time,
    /// Its prompt, where it goes to an engine.
    pub prompt: Option<Prompt>,
    /// What it asks for and for whom: the same where its caller asks again.
    pub fingerprint: Fingerprint,
}

/// Why a server did not run a request, by its own word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It has no room, or is leaving or loading.
    Busy,
    /// Another server has its address.
    Gone,
    /// Its weights have this version.
    Weights(Option<u64>),
}

/// How an answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// Its connection ended or failed.
    Connection,
    /// What came is no answer to it.
    Answer,
}

/// What became of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Report {
    /// The answer has begun, under this version of the weights.
    Begun(Option<u64>),
    /// The answer ended well.
    Ended,
    /// The server refused and did not run it.
    Refused(Refusal),
    /// No byte of the request left: it provably did not run.
    Unsent,
    /// It was sent, and no whole answer came.
    Lost(Loss),
    /// The server answered with a failure of its own.
    Failed,
}

/// What traffic is told about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Send it.
    Dispatch(Dispatch),
    /// Answer it: it has not run. It may come back after the time given.
    Refuse(Code, Duration),
    /// End it with what is known of its last attempt.
    GiveUp,
}

/// Where and how to send a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// Counts the request's attempts from 1.
    pub attempt: u32,
    /// The server's id.
    pub server: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What cached prompts are kept under, for an engine.
    pub salt: Option<String>,
    /// The version that the engine's weights must have.
    pub weights: Option<u64>,
    /// Where the engine first fetches cached parts that it lacks.
    pub fetch_from: Option<SocketAddr>,
    /// Where the engine sends the parts that it reads.
    pub save_to: Option<SocketAddr>,
    /// Its rank at the engine; 0 is the most urgent.
    pub priority: u8,
    /// Idle connections to the server that this daemon may keep.
    pub most_idle: usize,
}

/// What a record of the platform's store means.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A configuration.
    Table {
        /// What can be read of it.
        table: Arc<Table>,
        /// Why entries of it are left out.
        left_out: Vec<String>,
    },
    /// Weights that a model is to have.
    Weights {
        /// The model.
        model: String,
        /// The version.
        version: u64,
    },
    /// A server registered, or changed its registration.
    Server(Entry),
    /// A server's registration is gone.
    ServerGone(String),
    /// Another daemon.
    Router {
        /// Its id.
        id: String,
        /// Where it listens for peers.
        address: SocketAddr,
        /// Cores that its VM gives it; 0 where it does not say.
        cores: f32,
    },
    /// A request that ends servers, and is refused, as far as the record tells for how long.
    Blocked(Blocked),
    /// A request that is no longer refused.
    Unblocked(Fingerprint),
    /// Nothing that concerns this program.
    Nothing,
}

/// A successful read of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read {
    /// What was read.
    pub batch: Batch,
    /// Whether these are the newest records of all keys, so that a key without one has none.
    pub whole: bool,
    /// A time until which the store had nothing beyond what it gave: when it was asked, or when it had waited in
    /// vain.
    pub asked: Time,
}

/// How an order to an engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEnd {
    /// The engine carries it out.
    Accepted,
    /// It held already.
    Held,
    /// Another order is in progress, or the engine has taken another number of orders.
    Conflict,
    /// A higher fence was used there.
    Fenced,
    /// The engine refused it for another reason.
    Refused,
    /// Nothing is known of it.
    Unknown,
}

/// What an engine reports of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct State {
    /// Versions of its weights by model.
    pub weights: BTreeMap<String, u64>,
    /// Whether it carries an order out.
    pub busy: bool,
    /// How many orders it has taken.
    pub sequence: u64,
    /// When it started, in Unix milliseconds; 0 where it does not say.
    pub born: u64,
}

/// A dependency that is lost and regained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Dependency {
    /// Reads of this topic.
    Topic(Topic),
    /// Reads of the lease.
    Lease,
}

impl Dependency {
    /// All of them.
    pub const ALL: [Self; 4] = [
        Self::Topic(Topic::Operator),
        Self::Topic(Topic::Servers),
        Self::Topic(Topic::Routers),
        Self::Lease,
    ];

    /// Its place in [`Dependency::ALL`].
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

/// What a node is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// A request came.
    Arrive(Box<Arrival>),
    /// An attempt's state changed.
    Report {
        /// The request.
        request: Key,
        /// The attempt's number.
        attempt: u32,
        /// What happened.
        report: Report,
    },
    /// The caller has gone, or the request was ended by its time limit.
    Leave(Key),
    /// A topic was read.
    Read(Read),
    /// What is tracked could not be read, and why.
    Down(Dependency, String),
    /// Records of the lease were read: the oldest offset that is left, and each with its own.
    Lease(u64, Vec<(u64, String)>),
    /// An order to an engine ended.
    Ordered(server::Key, OrderEnd),
    /// An engine reported, or could not be asked.
    Polled(server::Key, Option<State>),
    /// Events of what keeps parts were read, or could not be.
    Events(Location, Option<EventBatch>),
    /// A look was taken at the port of a server that may have ended.
    Probed(Incarnation, Answer),
    /// A frame came from a peer.
    Frame(Frame),
    /// A planned stop was asked for.
    Stop,
    /// The time of a planned stop is nearly over.
    StopEnds,
    /// Time has passed.
    Tick,
}

/// What a node wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Tell traffic about a request.
    Command(Key, Command),
    /// Make this the table that traffic uses.
    Table(Arc<Table>),
    /// Append this record to the lease.
    AppendLease(String),
    /// Order an engine to load weights.
    Order {
        /// The engine.
        server: server::Key,
        /// Its id.
        id: String,
        /// Where it listens.
        address: SocketAddr,
        /// The model.
        model: String,
        /// The version.
        version: u64,
        /// The fencing number.
        fence: u64,
        /// How many orders the engine is expected to have taken.
        expect: u64,
    },
    /// Read the events of what keeps parts, waiting for some.
    ReadEvents {
        /// Whose events.
        place: Location,
        /// Where it listens.
        address: SocketAddr,
        /// The number of the first event wanted.
        since: u64,
    },
    /// Look whether somebody listens where a server did that may have ended.
    Probe(Incarnation, SocketAddr),
    /// Have the platform's store keep that a request has been blocked for so long, or no longer is.
    WriteBlock(Fingerprint, Option<Duration>),
    /// Give up idle connections to this address: who listened there has ended.
    Disconnect(SocketAddr),
    /// Ask an engine for its state.
    Poll(server::Key, String, SocketAddr),
    /// Send a frame to peers.
    Send(Vec<SocketAddr>, Frame),
    /// Log an event.
    Event(Event, Detail),
}
