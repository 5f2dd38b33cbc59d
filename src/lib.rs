//! cardamomvalve: a router for language-model traffic that carries long shared prompts.
//!
//! The decisions live in [`control::Node`], a deterministic state machine without I/O. Around it
//! stand the edges of the process: [`entry`] (callers), [`clients`] (log service, VM list),
//! [`peer`] (other daemons), [`ops`] (operators) and [`telemetry`].
//!
//! Requests that are passed on as they are have a way of their own: [`route`] finds where they belong,
//! [`fleet::Node`] decides, without I/O too, and [`relay`] carries them. The program for the users'
//! platform, in `platform/`, is built on these.

pub mod admission;
mod allowance;
pub mod attempt;
pub mod cli;
pub mod clients;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod entry;
pub mod error;
pub mod fleet;
pub mod http;
pub mod lease;
pub mod ledger;
pub mod manifest;
pub mod membership;
pub mod ops;
pub mod order;
pub mod peer;
pub mod placement;
pub mod poison;
pub mod prefix;
pub mod prelude;
pub mod quota;
pub mod relay;
pub mod route;
pub mod settings;
pub mod telemetry;
