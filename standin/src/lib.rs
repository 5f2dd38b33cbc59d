//! Stand-ins for what surrounds the router: log service, VM list, model engine, plain service,
//! and a load tool. They are for tests and trials on one machine.

pub mod cache;
pub mod call;
pub mod engine;
pub mod load;
pub mod log;
pub mod replay;
pub mod serve;
pub mod service;
pub mod vms;
