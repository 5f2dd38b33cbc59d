//! Several nodes in seeded message orders, with faults.

mod at_most_once;
mod blocks;
mod checkpoints;
mod manifests;
mod orders;
mod servers;
mod simulation;
