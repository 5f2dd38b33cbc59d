//! Arrivals at servers against the retry budget that all daemons share.

mod arrivals;
mod faults;
mod simulation;

use arrivals::Usage;
use faults::Fault;
use simulation::{Day, Setup};

use crate::prelude::*;
use crate::route::Repeat;

const ENGINES: Setup = Setup {
    daemons: 24,
    servers: 24,
    pool: "engines",
    repeat: Repeat::Resumable,
    calls_per_s: 300,
};

/// Seeds of the days with all faults; `BUDGET_SEEDS` gives another range, such as `100..160`.
fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("BUDGET_SEEDS") else { return 0..2 };
    let (from, to) = text.split_once("..").expect("the seeds are a range");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// The number of daemons; `BUDGET_DAEMONS` gives another one.
fn daemons() -> u8 {
    let text = std::env::var("BUDGET_DAEMONS").ok();
    text.map_or(ENGINES.daemons, |text| text.parse().expect("a number"))
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
