//! Histories of nodes, driven by messages alone.

mod admission;
mod catalog;
mod frames;
mod lives;
mod peers;
mod requests;
mod residency;
mod rollout;
mod scheduling;
mod servers;
mod world;
