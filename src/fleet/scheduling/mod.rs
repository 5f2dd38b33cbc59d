//! Each pool has one scheduler: a daemon that places the pool's requests for all daemons.
//!
//! Each of many daemons sees a few requests a second, while server queues change within tens of
//! milliseconds. State exchanged between daemons is older than that, and all-to-all traffic grows with
//! the square of their number. Therefore a few daemons, computed alike by every daemon, track the load,
//! the cached parts and the queue of a pool. The other daemons submit their requests and forward the
//! bytes. Traffic between daemons grows with the requests, and the quality of decisions does not depend
//! on the number of daemons.
//!
//! A scheduler is not a hard dependency. The daemon that received a request places it itself if the
//! scheduler does not reply within some milliseconds or has become silent. Correctness does not depend
//! on a scheduler either: the daemon that holds a request's bytes checks whether it may be resent.

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
