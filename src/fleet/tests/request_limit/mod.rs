//! Servers that state how many requests per second they take from all daemons together.

use super::day::{Day, Fault, Setup};
use crate::prelude::*;
use crate::route::Repeat;

const ENGINES: Setup = Setup {
    daemons: 12,
    servers: 18,
    pool: "engines",
    repeat: Repeat::Resumable,
    calls_per_s: 120,
};
const PLAIN: Setup = Setup { pool: "plain", repeat: Repeat::Idempotent, ..ENGINES };

/// Seeds of the days with all faults; `LIMIT_SEEDS` gives another range, such as `100..160`.
fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("LIMIT_SEEDS") else { return 0..2 };
    let (from, to) = text.split_once("..").expect("the seeds are a range");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// The number of daemons; `LIMIT_DAEMONS` gives another one.
fn daemons() -> u8 {
    let text = std::env::var("LIMIT_DAEMONS").ok();
    text.map_or(ENGINES.daemons, |text| text.parse().expect("a number"))
}

/// Returns whether no server with a limit got too much, and prints the one that got most for what it takes.
fn is_kept(day: &Day, name: &str) -> bool {
    let excess = day.limits.max_excess();
    println!("{name}: {excess}, {} answered", day.answered());
    excess.arrivals <= excess.allowed
}

#[test]
fn servers_get_no_more_than_they_take_while_others_have_room() {
    for (setup, limit) in [(ENGINES, 1.7), (ENGINES, 0.3), (ENGINES, 6.0), (PLAIN, 1.7)] {
        let name = format!("{limit} at {}", setup.pool);
        let mut day = Day::new(Setup { daemons: daemons(), ..setup }, 1);
        day.play(Duration::from_secs(2), &[]);
        day.set_limit(0..4, Some(limit));
        day.play(Duration::from_secs(14), &[]);
        assert!(is_kept(&day, &name));
        let used = day.limits.use_of_limits(day.now());
        assert!(used > 0.5, "{name}: {used:.2} of the limits are used");
        assert!(day.answered() > 1_800, "{name}: {} answered", day.answered());
    }
}

#[test]
fn servers_get_no_more_than_they_take_through_all_faults() {
    let broken = seeds().filter(|seed| {
        let mut day = Day::new(Setup { daemons: daemons(), ..ENGINES }, *seed);
        day.play(Duration::from_secs(1), &[]);
        day.set_limit(0..6, Some(1.7));
        day.play(Duration::from_secs(10), &Fault::ALL);
        day.set_limit(6..12, Some(0.8));
        day.play(Duration::from_secs(10), &Fault::ALL);
        !is_kept(&day, &format!("seed {seed}"))
    });
    assert_eq!(broken.collect::<Vec<u64>>(), Vec::<u64>::new());
}

#[test]
fn requests_that_no_server_takes_are_refused_at_once() {
    let mut day = Day::new(Setup { daemons: daemons(), ..ENGINES }, 1);
    day.play(Duration::from_secs(2), &[]);
    day.set_limit(0..18, Some(1.7));
    day.play(Duration::from_secs(4), &[]);
    day.take_refusals();
    day.play(Duration::from_secs(8), &[]);
    assert!(is_kept(&day, "all servers"));
    let refused = day.take_refusals();
    let at_once = refused.iter().filter(|after| **after <= Duration::from_millis(40)).count();
    let used = day.limits.use_of_limits(day.now());
    println!("{at_once} of {} refused at once, {used:.2} of the limits used", refused.len());
    assert!(refused.len() > 500 && at_once * 10 >= refused.len() * 8);
    assert!(used > 0.5);
}

#[test]
fn limit_ends_with_an_answer_that_does_not_state_it() {
    let mut day = Day::new(Setup { daemons: daemons(), ..ENGINES }, 1);
    day.play(Duration::from_secs(1), &[]);
    day.set_limit(0..18, Some(0.5));
    day.play(Duration::from_secs(8), &[]);
    day.set_limit(0..18, None);
    day.play(Duration::from_secs(4), &[]);
    let before = day.answered();
    day.play(Duration::from_secs(4), &[]);
    let answered = day.answered() - before;
    assert!(answered > 400, "{answered} of some 480 answered after the limits have ended");
}
