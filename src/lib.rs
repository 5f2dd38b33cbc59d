//! cardamomvalve: a router for language-model traffic that carries long shared prompts.
//!
//! [`control::Node`], a deterministic state machine without I/O, makes the decisions. The I/O is in
//! [`entry`] (callers), [`clients`] (log service, VM list, engines), [`peer`] (other daemons),
//! [`ops`] (operators) and [`telemetry`].
//!
//! Requests that are forwarded unchanged take a separate path: [`route`] finds their route,
//! [`fleet::Node`] places them, also without I/O, and [`relay`] forwards them. The program for the
//! users' platform, in `platform/`, is built on these.

pub mod admission;
mod allowance;
pub mod attempt;
pub mod capacity;
pub mod cli;
pub mod clients;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod entry;
pub mod error;
pub mod fairness;
pub mod fleet;
pub mod http;
pub mod lease;
pub mod ledger;
pub mod manifest;
pub mod membership;
pub mod memory;
pub mod ops;
pub mod order;
pub mod peer;
pub mod placement;
pub mod poison;
pub mod prefix;
pub mod prelude;
pub mod quota;
pub mod relay;
pub mod rendezvous;
pub mod route;
pub mod settings;
pub mod telemetry;
