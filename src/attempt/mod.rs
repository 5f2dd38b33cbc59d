//! Lifecycle of a request: waiting, dispatch, retry, resume and outcome.

mod message;
mod state;

pub use message::{Arrival, Command, Dispatch, Import, Outcome, Refusal, Report, Target};
pub use state::{Action, MAX_ATTEMPTS, Phase, Request, lost_code, next_action};

/// Identifies a request accepted by this daemon; a daemon never reuses a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);
