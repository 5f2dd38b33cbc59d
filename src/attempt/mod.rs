//! One request's life: waiting, dispatch, retry, resume, outcome.

mod message;
mod state;

pub use message::{Arrival, Command, Dispatch, Import, Outcome, Refusal, Report, Target};
pub use state::{Action, MAX_ATTEMPTS, Phase, Request, lost_code, next_action};

/// A request that this daemon has taken; never used again by the same daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);
