//! State of a request, and the action after each attempt.

use super::{Arrival, Outcome};
use crate::membership;
use crate::prelude::*;

/// Maximum attempts per request.
pub const MAX_ATTEMPTS: u32 = 4;

/// Phase of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The claim is being appended to the log.
    Claiming,
    /// The request waits for a server.
    Waiting,
    /// An attempt is running.
    Sent {
        /// Server that runs the attempt.
        server: membership::Key,
        /// Time of dispatch.
        at: Time,
        /// Prompt tokens that the server must compute before the first answer token.
        pending_tokens: u32,
        /// Whether the server began to answer.
        begun: bool,
    },
}

/// A request and its progress.
#[derive(Debug, Clone)]
pub struct Request {
    /// The request as received.
    pub arrival: Arrival,
    /// Time of arrival.
    pub arrived_at: Time,
    /// Current phase.
    pub phase: Phase,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Servers on which an attempt failed.
    pub failed_servers: BTreeSet<membership::Key>,
    /// Whether any attempt may have run.
    pub maybe_ran: bool,
    /// Whether any part of the answer was sent to the caller.
    pub begun: bool,
    /// Version of the software that began the answer, if its engine states one.
    pub software: Option<String>,
    /// Server and incarnation that hold the request's interrupted stream.
    pub stream_holder: Option<(membership::Key, Option<String>)>,
}

impl Request {
    /// Creates the state of a newly arrived request.
    pub fn new(arrival: Arrival, now: Time, phase: Phase) -> Self {
        Self {
            arrival,
            arrived_at: now,
            phase,
            attempts: 0,
            failed_servers: BTreeSet::new(),
            maybe_ran: false,
            begun: false,
            software: None,
            stream_holder: None,
        }
    }
}

/// Action after an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Finish the request.
    Finish,
    /// Retry, on another server or on the one that holds the stream.
    Retry,
    /// Give up, and answer with this code and detail.
    GiveUp(Code, String),
}

/// Decides the action after an attempt. A non-idempotent request is retried only if the attempt
/// provably did not run.
pub fn next_action(request: &Request, outcome: &Outcome, may_retry: bool) -> Action {
    let (ran, reason) = match outcome {
        Outcome::Complete(_) | Outcome::CallerGone => return Action::Finish,
        Outcome::TooLarge => return Action::GiveUp(Code::AnswerTooLarge, String::new()),
        Outcome::Stopped => return Action::GiveUp(lost_code(request), "the router stops".into()),
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

/// Returns the code for a request that may have run and whose answer was lost.
pub fn lost_code(request: &Request) -> Code {
    match request.arrival.target {
        super::Target::Model { .. } => Code::GenerationFailed,
        super::Target::Service { .. } => Code::OutcomeUnknown,
    }
}
