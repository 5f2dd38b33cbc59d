//! Histories of nodes, driven by messages alone.

mod admission;
mod beside;
mod catalog;
mod deadly;
mod frames;
mod lives;
mod peers;
mod poison;
mod requests;
mod residency;
mod rollout;
mod scheduling;
mod servers;
mod site;
mod world;
