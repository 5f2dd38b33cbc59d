//! One part of the prompts crashes each engine that begins an answer on it.
//!
//! No two requests with it are alike, so none was present at more than one or two crashes, and engine after engine
//! crashed: after five crashes such requests were sent to engines 17 times more. These tests check the documented limits:
//! at most three tries later than three seconds after the fifth crash, and no sound request blocked.

use super::culprits::{ENGINE_COUNT, MAX_LATE_TRIES, Simulation, Tally};
use super::world::*;
use crate::prelude::*;

/// Time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(10);
/// Probability that a sound request arrives in a step.
const ARRIVAL_PROBABILITY: f64 = 0.9;
/// Time for which requests are sent.
const SPAN: Duration = Duration::from_secs(20);
/// Minimum sends of requests with such a part, and of sound requests from six seconds after the crash at which it can be
/// detected, for a run to show something.
const MIN_CULPRIT_ASKS: u64 = 12;
const MIN_LATE_SOUND: usize = 200;
/// Time from the send of a request to the begin of its answer where engines are busy, in ms.
const BUSY_BEGIN_MS: std::ops::Range<u64> = 150..600;
/// The parts that crash engines.
const PARTS: [u64; 2] = [900, 901];

/// What happens while requests with parts that crash engines arrive.
#[derive(Debug, Clone, Copy)]
struct Fault {
    /// Number of such parts.
    parts: usize,
    /// Whether they are the first ones of their prompts.
    are_first: bool,
    /// Mean time between two requests with one of them, in ms.
    interval: u64,
    /// Mean time between crashes for no such reason, in ms; 0 for none.
    crash_interval: u64,
    /// Time between two restarts of the daemon that schedules the pool, in ms; 0 for none.
    restart_interval: u64,
    /// Whether engines are busy, so that answers begin late.
    is_busy: bool,
}

const ONE_PART: Fault = Fault {
    parts: 1,
    are_first: false,
    interval: 500,
    crash_interval: 0,
    restart_interval: 0,
    is_busy: false,
};

/// Draws whether an event that happens once in `interval` ms happens in a step.
fn happens(simulation: &mut Simulation, interval: u64) -> bool {
    interval > 0 && simulation.rng.f64() < STEP.as_millis() as f64 / interval as f64
}

fn run(daemons: u8, engines: u8, seed: u64, fault: Fault) -> Tally {
    let mut simulation = Simulation::new(daemons, engines, seed);
    if fault.is_busy {
        simulation.begin_ms = BUSY_BEGIN_MS;
    }
    let start = simulation.site.now;
    let mut restart_at = start + ms(1_500);
    while simulation.site.now < start + SPAN {
        simulation.site.advance(STEP);
        if simulation.rng.f64() < ARRIVAL_PROBABILITY {
            simulation.send_unique_request();
        }
        for part in PARTS.into_iter().take(fault.parts) {
            if happens(&mut simulation, fault.interval) {
                simulation.send_with_crashing_part(part, fault.are_first);
            }
        }
        if happens(&mut simulation, fault.crash_interval) {
            simulation.crash_any_engine();
        }
        if fault.restart_interval > 0 && simulation.site.now >= restart_at {
            restart_at = simulation.site.now + ms(fault.restart_interval);
            let scheduler = simulation.site.scheduler("engines");
            simulation.restart(scheduler);
        }
        simulation.run_due_events();
    }
    let tally = simulation.into_tally();
    println!("{daemons} daemons, {engines} engines, seed {seed}, {fault:?}: {tally:?}");
    tally
}

/// Returns the number of seeds to run; `PART_SEEDS` sets it for longer runs.
fn seeds(default: u64) -> u64 {
    std::env::var("PART_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(default)
}

/// Plays some seeds, and checks each when all are played.
fn keeps_promises(daemons: u8, engines: u8, default: u64, fault: Fault) {
    keeps_promises_at(daemons, engines, 0..seeds(default), fault);
}

fn keeps_promises_at(daemons: u8, engines: u8, seeds: std::ops::Range<u64>, fault: Fault) {
    let tallies = seeds.map(|seed| (seed, run(daemons, engines, seed, fault)));
    for (seed, tally) in tallies.collect::<Vec<(u64, Tally)>>() {
        assert!(tally.culprit_asks >= MIN_CULPRIT_ASKS, "seed {seed}: {tally:?}");
        assert!(tally.late_tries <= MAX_LATE_TRIES, "seed {seed}: {tally:?}");
        assert_eq!(tally.blocked, 0, "seed {seed}: {tally:?}");
        assert!(tally.late_sound >= MIN_LATE_SOUND, "seed {seed}: {tally:?}");
        assert!(2 * tally.late_sound_begun_first >= tally.late_sound, "seed {seed}: {tally:?}");
        assert!(tally.answered * 1_000 >= tally.asked * 999, "seed {seed}: {tally:?}");
    }
}

#[test]
fn part_that_crashes_engines_is_blocked() {
    keeps_promises(3, ENGINE_COUNT, 3, ONE_PART);
    keeps_promises(9, ENGINE_COUNT, 3, ONE_PART);
}

#[test]
fn part_that_crashes_engines_is_blocked_by_71_daemons() {
    keeps_promises(71, 72, 1, ONE_PART);
}

#[test]
fn first_part_that_crashes_engines_is_blocked() {
    keeps_promises(9, ENGINE_COUNT, 3, Fault { are_first: true, ..ONE_PART });
}

#[test]
fn two_parts_that_crash_engines_are_blocked() {
    keeps_promises(9, ENGINE_COUNT, 3, Fault { parts: 2, ..ONE_PART });
}

// Most engines were down before there was evidence, and sound requests were given up.
#[test]
fn two_parts_that_crash_engines_in_quick_succession_cost_no_sound_requests() {
    keeps_promises_at(9, ENGINE_COUNT, 7..8, Fault { parts: 2, ..ONE_PART });
}

#[test]
fn part_that_crashes_engines_is_blocked_among_unrelated_crashes() {
    keeps_promises(9, ENGINE_COUNT, 3, Fault { crash_interval: 1_000, ..ONE_PART });
}

#[test]
fn part_that_crashes_engines_is_blocked_while_schedulers_restart() {
    let fault = Fault { interval: 1_000, restart_interval: 2_500, ..ONE_PART };
    keeps_promises(9, ENGINE_COUNT, 3, fault);
}

#[test]
fn part_that_crashes_busy_engines_is_blocked() {
    let fault = Fault { interval: 250, is_busy: true, ..ONE_PART };
    keeps_promises(7, ENGINE_COUNT, 3, fault);
}

#[test]
fn part_that_crashes_busy_engines_is_blocked_among_unrelated_crashes() {
    let fault = Fault { interval: 250, crash_interval: 2_000, is_busy: true, ..ONE_PART };
    keeps_promises(7, ENGINE_COUNT, 3, fault);
}

/// Returns the tally of a run in which `count` engines crash at once, again and again, for no reason in their requests.
fn run_mass_crashes(count: usize, seed: u64) -> Tally {
    let mut simulation = Simulation::new(9, ENGINE_COUNT, seed);
    let start = simulation.site.now;
    let mut crash_at = start + ms(1_000);
    while simulation.site.now < start + SPAN {
        simulation.site.advance(STEP);
        if simulation.rng.f64() < ARRIVAL_PROBABILITY {
            simulation.send_unique_request();
        }
        if simulation.site.now >= crash_at {
            crash_at = simulation.site.now + ms(2_000);
            (0..count).for_each(|_| simulation.crash_any_engine());
        }
        simulation.run_due_events();
    }
    let tally = simulation.into_tally();
    println!("seed {seed}, {count} crashes at once: {tally:?}");
    tally
}

// Requests with one part ran at all of them, and none of their answers had begun.
#[test]
fn part_present_at_engines_that_crash_at_once_is_not_blocked() {
    for seed in 0..seeds(3) {
        let tally = run_mass_crashes(10, seed);
        assert!(tally.ended >= 40, "seed {seed}: {tally:?}");
        assert_eq!(tally.blocked, 0, "seed {seed}: {tally:?}");
    }
}
