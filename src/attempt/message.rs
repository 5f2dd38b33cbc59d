//! What traffic tells control about a request, and what it is told to do.

use std::net::SocketAddr;

use super::Key;
use crate::ledger;
use crate::manifest::{Objective, Priority};
use crate::membership;
use crate::poison::Fingerprint;
use crate::prefix::{self, Prefix};
use crate::prelude::*;

/// What a request is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// A model's answer.
    Model {
        /// The model's name.
        model: String,
        /// The weights version that the answer must come from.
        weights: String,
        /// What placement minimises first.
        objective: Objective,
        /// The root of the prefix chain.
        salt: prefix::Key,
    },
    /// A call of a plain service.
    Service {
        /// The service's name.
        service: String,
    },
}

/// A request that was read whole and may be served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The request.
    pub request: Key,
    /// Its workspace.
    pub workspace: String,
    /// The workspace's share.
    pub share: u32,
    /// What it is for.
    pub target: Target,
    /// The pool that serves it.
    pub pool: String,
    /// Its class.
    pub priority: Priority,
    /// When its answer must begin, or it must have been sent to a service.
    pub deadline: Time,
    /// The prompt's prefix; empty for services.
    pub prefix: Prefix,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Most answer tokens.
    pub max_tokens: u32,
    /// Whether it may be repeated safely.
    pub idempotent: bool,
    /// What it asks for and for whom: the same where its caller asks again.
    pub fingerprint: Fingerprint,
    /// The claim that it needs before it may be dispatched.
    pub claim: Option<ledger::Proposal>,
}

/// What traffic is told to do for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Send it to a server.
    Dispatch(Dispatch),
    /// End the attempt of this number: its server does not answer, or has restarted.
    Abort(u32),
    /// Answer it; it is given up.
    Refuse(Refusal),
    /// Answer it with the receipt of the run that its key names.
    Replay(ledger::Receipt),
}

/// One attempt at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// Counts the request's attempts from 1.
    pub attempt: u32,
    /// The server.
    pub server: membership::Key,
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The incarnation that the answer must come from; `None` for services.
    pub incarnation: Option<String>,
    /// Whether the server holds the stream of an earlier attempt, to be resumed.
    pub resume: bool,
    /// The blocks that the server is to import rather than compute.
    pub import: Option<Import>,
    /// When it must have been sent.
    pub deadline: Time,
}

/// Leading blocks of the prompt that another engine is believed to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Import {
    /// Where the holder listens.
    pub address: SocketAddr,
    /// The incarnation that held them; another one does not.
    pub incarnation: String,
    /// How many leading blocks.
    pub blocks: usize,
}

/// A final answer that the router makes itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// What happened.
    pub error: Error,
    /// Whether the work ran; may differ from the code's own.
    pub execution: Execution,
    /// Seconds after which to come back; 0 where it does not help.
    pub retry_after: u32,
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Self {
        let row = error.code.row();
        Self { error, execution: row.execution, retry_after: row.retry_after }
    }
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Self {
        Error::from(code).into()
    }
}

/// What traffic reports of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Report {
    /// The server has begun to answer.
    Begun {
        /// Prompt tokens that it found in its cache, where it says so.
        cached_tokens: Option<u32>,
    },
    /// The attempt ended.
    Ended(Outcome),
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived; for keyed requests with what is to be remembered of it.
    Complete(Option<ledger::Receipt>),
    /// No byte left this machine.
    Unsent(String),
    /// The server said that it did not run it.
    Declined(String),
    /// At least one byte left, and no whole answer arrived.
    Broken(String),
    /// The answer named another attempt, incarnation or weights version.
    Mismatch(String),
    /// The answer is larger than may be passed on.
    TooLarge,
    /// The caller left.
    CallerGone,
    /// The deadline came before a byte was sent.
    Late,
}
