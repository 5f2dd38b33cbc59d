//! One daemon places the requests of all daemons for one pool: its scheduler.
//!
//! Many daemons each see a few requests a second, before servers whose queues change within tens of
//! milliseconds. Whatever they tell each other of their work is older than that, and what all tell
//! all grows with the square of their number. So a few daemons, the same by every daemon's reckoning,
//! keep the load, the cached parts and the queue of a pool; the others submit their requests and carry
//! the bytes. What is exchanged grows with the requests, and decisions do not get worse with the number
//! of daemons.
//!
//! A scheduler is no dependency. A request that gets no word within some milliseconds is placed by the
//! daemon that has it, as are those whose scheduler has fallen silent. Rules do not hang on a scheduler
//! either: whether a request may be sent once more is checked where its bytes are.

mod message;
mod ranking;
mod serving;
mod submitting;
mod wire;

pub use message::{Assignment, Decision, Progress, Step, Submission, Verdict};
pub(super) use ranking::{Rank, Ranking};
pub(super) use serving::{Origin, Submissions};
pub(super) use submitting::Stage;
pub(super) use wire::{
    Progress as WireProgress, Submission as WireSubmission, Verdict as WireVerdict,
};
