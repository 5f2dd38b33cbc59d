//! Tests of several nodes under seeded message orders and faults.

mod at_most_once;
mod blocks;
mod checkpoints;
mod manifests;
mod orders;
mod servers;
mod simulation;
