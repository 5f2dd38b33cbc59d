//! Stand-ins for the systems around the router (log service, VM list, model engine, plain service)
//! and a load tool, for tests and measurements on one machine.

pub mod cache;
pub mod call;
pub mod engine;
pub mod load;
pub mod log;
pub mod replay;
pub mod serve;
pub mod service;
pub mod vms;
