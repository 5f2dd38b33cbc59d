//! What daemons and schedulers tell each other about requests.

use std::net::SocketAddr;

use crate::fleet::{Incarnation, Key, Prompt, Report};
use crate::poison::Fingerprint;
use crate::prelude::*;
use crate::route::{Repeat, Workspace};

/// A request for which a scheduler is to find a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// The daemon that has the request.
    pub daemon: String,
    /// That daemon's incarnation.
    pub incarnation: u64,
    /// The request, as that daemon counts.
    pub request: Key,
    /// Its id, as the caller gave it.
    pub id: String,
    /// Its route's name.
    pub route: String,
    /// What may be repeated of it.
    pub repeat: Repeat,
    /// The time within which its answer is on time.
    pub target: Duration,
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// Servers that it may be run on.
    pub attempts: u32,
    /// The pool that is to serve it.
    pub pool: String,
    /// Its workspace, where it has one.
    pub workspace: Option<Workspace>,
    /// Time until it is no longer wanted.
    pub left: Duration,
    /// Its prompt, where it goes to an engine.
    pub prompt: Option<Prompt>,
    /// What it asks for and for whom.
    pub fingerprint: Fingerprint,
}

/// What became of a request at the daemon that has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The attempt's state changed.
    Report(Report),
    /// The scheduler need not care for it any more.
    Left,
}

/// A daemon's word to the scheduler of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Progress {
    /// The daemon that has the request.
    pub daemon: String,
    /// The request, as that daemon counts.
    pub request: Key,
    /// The attempt, as the scheduler counts; 0 where it assigned none.
    pub attempt: u32,
    /// What happened.
    pub step: Step,
}

/// Where a scheduler has a request sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Counts the scheduler's attempts from 1.
    pub attempt: u32,
    /// The server.
    pub life: Incarnation,
    /// Where it listens.
    pub address: SocketAddr,
    /// Prompt tokens that it is expected to read.
    pub tokens: u32,
    /// What cached prompts are kept under, for an engine.
    pub salt: Option<String>,
    /// The version that the engine's weights must have.
    pub weights: Option<u64>,
    /// Where the engine first fetches cached parts that it lacks.
    pub fetch_from: Option<SocketAddr>,
    /// Where the engine sends the parts that it reads.
    pub save_to: Option<SocketAddr>,
}

/// What a scheduler decided for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// It waits for a server.
    Queued,
    /// It is to be sent.
    Send(Assignment),
    /// It is to be refused, and may come back after the time given.
    Refuse(Code, Duration),
    /// It is to be ended with what is known of its last attempt.
    GiveUp,
    /// The scheduler stops: the daemon decides.
    Return,
}

/// A scheduler's word to the daemon that has a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The scheduler.
    pub daemon: String,
    /// The request, as the daemon that has it counts.
    pub request: Key,
    /// What was decided.
    pub ruling: Decision,
}
