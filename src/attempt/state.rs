//! The state of one request, and what follows from a failed attempt.

use super::{Arrival, Outcome};
use crate::membership;
use crate::prelude::*;

/// Attempts made for one request at most.
pub const MAX_ATTEMPTS: u32 = 4;

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Its claim is on its way through the log.
    Claiming,
    /// It waits for a server.
    Waiting,
    /// An attempt is under way.
    Sent {
        /// The server.
        server: membership::Key,
        /// When it was dispatched.
        at: Time,
        /// Prompt tokens to be computed there before the first token.
        pending_tokens: u32,
        /// Whether the server has begun to answer.
        begun: bool,
    },
}

/// One request.
#[derive(Debug, Clone)]
pub struct Request {
    /// What was asked for.
    pub arrival: Arrival,
    /// When it came.
    pub arrived_at: Time,
    /// Where it stands.
    pub phase: Phase,
    /// Attempts made so far.
    pub attempts: u32,
    /// Servers that failed it.
    pub failed_servers: BTreeSet<membership::Key>,
    /// Whether any attempt may have run.
    pub maybe_ran: bool,
    /// Whether the caller has been sent a part of the answer.
    pub begun: bool,
    /// The server and incarnation that hold its broken stream.
    pub stream_holder: Option<(membership::Key, Option<String>)>,
}

impl Request {
    /// A request that has just come.
    pub fn new(arrival: Arrival, now: Time, phase: Phase) -> Self {
        Self {
            arrival,
            arrived_at: now,
            phase,
            attempts: 0,
            failed_servers: BTreeSet::new(),
            maybe_ran: false,
            begun: false,
            stream_holder: None,
        }
    }
}

/// What follows from an attempt's end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The request is done.
    Finish,
    /// Try again, elsewhere or on the server that holds the stream.
    Retry,
    /// Answer with this; the request is given up.
    GiveUp(Code, String),
}

/// Decides what follows. A request that may not be repeated is tried again only where the attempt
/// provably did not run.
pub fn next_action(request: &Request, outcome: &Outcome, may_retry: bool) -> Action {
    let (ran, reason) = match outcome {
        Outcome::Complete(_) | Outcome::CallerGone => return Action::Finish,
        Outcome::TooLarge => return Action::GiveUp(Code::AnswerTooLarge, String::new()),
        Outcome::Late if !request.maybe_ran => {
            return Action::GiveUp(Code::DeadlinePassed, String::new());
        }
        Outcome::Late => return Action::GiveUp(lost_code(request), "the deadline passed".into()),
        Outcome::Unsent(reason) | Outcome::Declined(reason) => (false, reason),
        Outcome::Broken(reason) | Outcome::Mismatch(reason) => (true, reason),
    };
    let repeatable = !ran || request.arrival.idempotent;
    if repeatable && may_retry && request.attempts < MAX_ATTEMPTS {
        return Action::Retry;
    }
    let code = if ran || request.maybe_ran { lost_code(request) } else { Code::RetriesExhausted };
    Action::GiveUp(code, reason.clone())
}

/// The code of a request that may have run and whose answer was lost.
pub fn lost_code(request: &Request) -> Code {
    match request.arrival.target {
        super::Target::Model { .. } => Code::GenerationFailed,
        super::Target::Service { .. } => Code::OutcomeUnknown,
    }
}
