//! Arrivals at servers against the retry budget that all daemons share.

mod charges;

use quickcheck::quickcheck;

use super::day::{self, Arrivals, Day, Fault, STEP, Setup, Usage};
use super::world::POLICY;
use crate::fleet::Budget;
use crate::fleet::retry::Terms;
use crate::prelude::*;
use crate::route::Repeat;

const ENGINES: Setup = Setup {
    daemons: 24,
    servers: 24,
    pool: "engines",
    repeat: Repeat::Resumable,
    calls_per_s: 300,
};

/// Seeds of the days with all faults.
fn seeds() -> std::ops::Range<u64> {
    day::seeds("RETRY_SEEDS", 0..2)
}

/// The number of daemons.
fn daemons() -> u8 {
    day::daemons("RETRY_DAEMONS", ENGINES.daemons)
}

/// Returns whether the day kept to the budget, and prints it.
fn is_kept(day: &Day, name: &str) -> bool {
    let usage: Usage = day.usage();
    println!("{name}: {usage}, {} answered", day.answered());
    usage.retries <= usage.allowed && day.answered() > 1_000
}

// A scheduler that spent the budget of a quiet window ended, and its successors spent that of the next one beside it.
#[test]
fn budget_is_kept_when_schedulers_end_one_after_the_other() {
    let mut day = Day::new(Setup { daemons: daemons(), ..ENGINES }, 1);
    day.play(Duration::from_secs(11), &[]);
    day.fail_servers(0.9);
    for _ in 0..3 {
        day.play(Duration::from_millis(2_500), &[]);
        day.kill_scheduler();
    }
    day.play(Duration::from_secs(3), &[]);
    assert!(is_kept(&day, "schedulers end"));
}

#[test]
fn budget_is_kept_through_all_faults() {
    let broken = seeds().filter(|seed| {
        let mut day = Day::new(Setup { daemons: daemons(), ..ENGINES }, *seed);
        day.play(Duration::from_secs(24), &Fault::ALL);
        !is_kept(&day, &format!("seed {seed}"))
    });
    assert_eq!(broken.collect::<Vec<u64>>(), Vec::<u64>::new());
}

// All that a quiet window saved is spent at once, while daemons fail.
#[test]
fn budget_is_kept_through_all_faults_after_a_quiet_window() {
    let broken = seeds().filter(|seed| {
        let mut day = Day::new(Setup { daemons: daemons(), ..ENGINES }, *seed);
        day.play(Duration::from_secs(11), &[]);
        day.fail_servers(0.9);
        day.play(Duration::from_secs(13), &Fault::OF_DAEMONS);
        !is_kept(&day, &format!("seed {seed}, after a quiet window"))
    });
    assert_eq!(broken.collect::<Vec<u64>>(), Vec::<u64>::new());
}

// Daemons spend all tokens at once and restart at random times. Requests arrive in bursts, at one daemon at a time.
quickcheck! {
    fn budgets_of_daemons_that_start_and_end_keep_to_the_ratio(seed: u64) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let terms = Terms { window: POLICY.retry_window, ratio: POLICY.retry_ratio, slack: 0.0 };
        let mut budgets: Vec<Budget> = (0..8).map(|_| Budget::default()).collect();
        let mut arrivals = Arrivals::default();
        let (mut counting, mut failing, mut per_step) = (0, false, 10);
        for step in 0..2_000 {
            let now = STEP * step;
            arrivals.begin_step();
            if rng.u32(..100) == 0 {
                (counting, per_step) = (rng.usize(..budgets.len()), rng.u32(..40));
                failing = rng.bool();
            }
            if rng.u32(..60) == 0 {
                budgets[rng.usize(..8)] = Budget::new(now, terms);
            }
            for _ in 0..per_step {
                arrivals.note_request();
                budgets[counting].note_request(now, terms);
            }
            for budget in &mut budgets {
                while failing && budget.try_spend(now, terms) {
                    arrivals.note_retry();
                }
            }
        }
        let usage = arrivals.max_usage(0.0);
        usage.retries <= usage.allowed
    }
}
