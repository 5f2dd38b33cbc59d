//! Servers that crash if they reject too many requests in a second.

mod limit;
mod simulation;

use crate::prelude::*;
use simulation::{Disruption, Outcome, Setup, Simulation};

const ENGINES: Setup = Setup {
    daemons: 12,
    servers: 8,
    pool: "engines",
    limit: 8,
    states_limit: true,
    shrinks: true,
    max_delay_ms: 12,
    callers_per_s: 260,
    disruption: Disruption::None,
    run_time: Duration::from_secs(12),
};
const PLAIN: Setup = Setup { pool: "plain", callers_per_s: 120, ..ENGINES };

/// Seeds of the runs; `REJECTION_SEEDS` gives another range, such as `100..160`.
fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("REJECTION_SEEDS") else { return 0..1 };
    let (from, to) = text.split_once("..").expect("the seeds are a range");
    from.parse().expect("a number")..to.parse().expect("a number")
}

fn outcomes(setup: Setup) -> Vec<(u64, Outcome)> {
    let outcomes = seeds().map(|seed| (seed, Simulation::new(setup, seed).run()));
    let outcomes: Vec<(u64, Outcome)> = outcomes.collect();
    for (seed, outcome) in &outcomes {
        println!("{seed}: {outcome:?}");
    }
    outcomes
}

fn assert_within_limit(setup: Setup) {
    for (seed, outcome) in outcomes(setup) {
        assert_eq!(outcome.crashes, 0, "seed {seed}: {outcome:?}");
        assert!(outcome.max_rejects <= setup.limit as usize, "seed {seed}: {outcome:?}");
        assert!(outcome.answered > 100, "seed {seed}: {outcome:?}");
    }
}

/// Asserts that at most two servers and a tenth of them crash.
fn assert_few_crashes(setup: Setup) {
    let max_crashes = 2 + u32::from(setup.servers) / 10;
    for (seed, outcome) in outcomes(setup) {
        assert!(outcome.crashes <= max_crashes, "seed {seed}: {outcome:?}");
        assert!(outcome.answered > 100, "seed {seed}: {outcome:?}");
    }
}

// The load is one that the same servers do not survive if they do not state their limit.
#[test]
fn servers_without_stated_limit_crash() {
    for setup in [ENGINES, PLAIN] {
        for (seed, outcome) in outcomes(Setup { states_limit: false, ..setup }) {
            assert!(outcome.crashes > 2, "seed {seed}: {outcome:?}");
        }
    }
}

#[test]
fn engines_stay_within_limit() {
    assert_within_limit(ENGINES);
}

#[test]
fn engines_stay_within_limit_with_slow_messages() {
    assert_within_limit(Setup { max_delay_ms: 40, ..ENGINES });
}

#[test]
fn engines_stay_within_lower_and_higher_limits() {
    for limit in [3, 5, 20] {
        assert_within_limit(Setup { limit, ..ENGINES });
    }
}

#[test]
fn plain_servers_stay_within_limit() {
    assert_within_limit(PLAIN);
}

#[test]
fn engines_stay_within_limit_while_schedulers_change() {
    for disruption in [Disruption::SchedulerEnds, Disruption::SchedulersEnd] {
        assert_few_crashes(Setup { disruption, ..ENGINES });
    }
}

#[test]
fn engines_stay_within_limit_in_partitions() {
    for disruption in [Disruption::Partition, Disruption::Isolation] {
        assert_few_crashes(Setup { disruption, ..ENGINES });
    }
}

#[test]
fn plain_servers_stay_within_limit_through_disruptions() {
    let disruptions = [
        Disruption::SchedulerEnds,
        Disruption::SchedulersEnd,
        Disruption::Partition,
        Disruption::Isolation,
    ];
    for disruption in disruptions {
        assert_few_crashes(Setup { disruption, ..PLAIN });
    }
}

#[test]
fn servers_stay_within_limit_as_all_daemons_start() {
    for setup in [ENGINES, PLAIN] {
        assert_few_crashes(Setup { disruption: Disruption::AllEnd, ..setup });
    }
}

#[test]
fn engines_that_reject_nothing_serve_as_much_with_stated_limit() {
    let setup = Setup { shrinks: false, callers_per_s: 130, ..ENGINES };
    let without = outcomes(Setup { states_limit: false, ..setup });
    for ((seed, with), (_, without)) in outcomes(setup).into_iter().zip(without) {
        assert_eq!((with.rejected, without.rejected), (0, 0), "seed {seed}");
        assert!(with.answered * 100 >= without.answered * 99, "seed {seed}: {with:?}, {without:?}");
    }
}

#[test]
fn plain_servers_that_reject_nothing_serve_as_much_with_stated_limit() {
    let setup = Setup { shrinks: false, ..PLAIN };
    let without = outcomes(Setup { states_limit: false, ..setup });
    for ((seed, with), (_, without)) in outcomes(setup).into_iter().zip(without) {
        assert_eq!((with.rejected, without.rejected), (0, 0), "seed {seed}");
        assert!(with.answered * 100 >= without.answered * 99, "seed {seed}: {with:?}, {without:?}");
    }
}
