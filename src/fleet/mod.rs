//! Decisions for requests that are forwarded unchanged: placement, retries, the weights that engines
//! load, and the state that daemons exchange for these decisions.
//!
//! [`Node`] is a deterministic state machine without I/O, like [`crate::control::Node`] for the
//! product's own interface.

mod accounts;
mod admission;
mod blame;
mod claim;
mod departure;
mod drain;
mod explain;
mod figures;
mod frame;
mod gossip;
mod handover;
mod homes;
mod isolation;
mod life;
mod load;
mod loading;
mod message;
mod naming;
mod node;
mod notice;
mod patience;
mod peer;
mod place;
mod poison;
mod pool;
mod prompt;
mod queue;
mod quotas;
mod reach;
mod recall;
mod rejection;
mod replication;
mod reports;
mod request;
mod request_limit;
mod requests;
mod residency;
mod rest;
mod retry;
mod rollout;
mod run;
mod salt;
mod scheduling;
mod server;
mod share;
mod speed;
mod statement;
pub mod streams;
#[cfg(test)]
mod tests;

pub use figures::Counts;
pub use frame::{Account, Digest, Frame, Malformed, Workload};
pub use life::Incarnation;
pub use message::{
    Arrival, Change, Command, Connect, Dependency, Dispatch, Effect, Handover, HandoverEnd, Key,
    Loss, Message, OrderEnd, Read, Refusal, Registration, Report, Start, State,
};
pub use naming::Naming;
pub use node::{Identity, Node, Policy};
pub use notice::Notice;
pub use prompt::{Part, Prompt};
pub use rejection::Limit as RejectLimit;
pub use replication::{Batch, Catalog, Record, Relay, Topic};
pub use request_limit::Statement as LimitStatement;
pub use residency::{CacheEvent, EventBatch, Holder, Location, Update};
pub use retry::Budget;
#[cfg(test)]
pub(crate) use run::Input;
pub use run::{Control, Fleet};
pub use scheduling::{Assignment, Decision, Progress, Step, Submission, Verdict};
pub use server::{Entry, Server};
pub use statement::{RequestLimit, Statement};
pub use streams::{Software, StreamId};
