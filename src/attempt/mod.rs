//! One request's life: waiting, dispatch, retry, resume, outcome.

mod message;
mod state;

pub use message::{Arrival, Command, Dispatch, Import, Outcome, Refusal, Report, Target};
pub use state::{MAX_ATTEMPTS, Next, Phase, Request, lost, next};

/// A request that this daemon has taken; never used again by the same daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);
