//! Tests of several nodes under seeded message orders and faults.

mod at_most_once;
mod attempts;
mod blocks;
mod checkpoints;
mod crashing_level;
mod extreme;
mod fixture;
mod manifests;
mod orders;
mod readiness;
mod servers;
mod simulation;
mod weights;
