//! Messages between daemons and schedulers about requests.

use std::net::SocketAddr;

use crate::fleet::{Incarnation, Key, Prompt, Report, Software, Statement};
use crate::poison::Fingerprint;
use crate::prelude::*;
use crate::route::{Cohort, Repeat, Workspace};

/// A request submitted to a scheduler for placement on a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// The daemon that received the request.
    pub daemon: String,
    /// That daemon's incarnation.
    pub incarnation: u64,
    /// That daemon's key of the request.
    pub request: Key,
    /// The request id given by the caller.
    pub id: String,
    /// The name of its route.
    pub route: String,
    /// The extent to which it may be repeated.
    pub repeat: Repeat,
    /// The target latency of its answer.
    pub target: Duration,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// The number of servers that may run it.
    pub max_attempts: u32,
    /// The pool that serves it.
    pub pool: String,
    /// Its workspace, if any.
    pub workspace: Option<Workspace>,
    /// The workspaces that share cached prompts, by the newest configuration that the daemon knows.
    pub cohort: Cohort,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Its prompt, if it goes to an engine.
    pub prompt: Option<Prompt>,
    /// The hash of its content and caller.
    pub fingerprint: Fingerprint,
    /// Whether another daemon may have counted it as a request for the retry budget.
    pub is_counted: bool,
    /// Whether its next send is charged to the retry budget.
    pub draws_on_retry_budget: bool,
    /// The software version that began its stream, at which alone it may go on.
    pub software: Option<Software>,
}

/// A state change of a request at the daemon that received it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Step {
    /// The attempt's state changed.
    Report(Report),
    /// The server of the attempt has stated this to the daemon.
    Stated(Statement),
    /// The scheduler can drop the request.
    Withdrawn,
}

/// A daemon's message to the scheduler of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Progress {
    /// The daemon that received the request.
    pub daemon: String,
    /// That daemon's key of the request.
    pub request: Key,
    /// The scheduler's number of the attempt; 0 if it assigned none.
    pub attempt: u32,
    /// The state change.
    pub step: Step,
}

/// The server that a scheduler assigned to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The scheduler's number of the attempt, from 1.
    pub attempt: u32,
    /// The server.
    pub server: Incarnation,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Prompt tokens that the server is expected to compute.
    pub prefill_tokens: u32,
    /// The salt of cached prompts, for an engine.
    pub cache_salt: Option<String>,
    /// The required version of the engine's weights.
    pub weights_version: Option<u64>,
    /// The source from which the engine first fetches cached parts that it lacks.
    pub fetch_from: Option<SocketAddr>,
    /// The destination to which the engine saves the parts that it computes.
    pub save_to: Option<SocketAddr>,
    /// Whether the server has stated a request limit.
    pub has_limit: bool,
}

/// A scheduler's decision on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The request waits for a server.
    Queued,
    /// Send the request to the assigned server.
    Send(Assignment),
    /// Refuse the request with this code and retry-after time.
    Refuse(Code, Duration),
    /// End the request with the outcome of its last attempt.
    GiveUp,
    /// The scheduler is stopping and leaves the decision to the daemon.
    Return,
}

/// A scheduler's message to the daemon that received a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The scheduler.
    pub daemon: String,
    /// The receiving daemon's key of the request.
    pub request: Key,
    /// The decision.
    pub decision: Decision,
}
