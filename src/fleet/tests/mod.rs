//! Tests of nodes that are driven by messages alone, without sockets or threads.

mod admission;
mod beliefs;
mod beside;
mod catalog;
mod crowd;
mod deadly;
mod frames;
mod isolation;
mod lives;
mod naming;
mod parts;
mod peers;
mod poison;
mod pool;
mod quotas;
mod rejection;
mod requests;
mod residency;
mod review;
mod rollout;
mod scheduling;
mod servers;
mod site;
mod spread;
mod store;
mod world;
