//! Tests of the rate limits for log lines.

use super::*;
use crate::prelude::*;

const RATE: Rate = Rate { lines_per_s: 10, bytes_per_s: 1_000 };

fn ms(milliseconds: u64) -> Time {
    Duration::from_millis(milliseconds)
}

/// Returns how many of `count` lines at `now` are admitted.
fn count_admitted(budget: &mut Budget, now: Time, event: Event, count: u32) -> u32 {
    (0..count).map(|_| u32::from(budget.admit(now, event))).sum()
}

#[test]
fn admit_flood_of_one_event_leaves_room_for_others() {
    let mut budget = Budget::new(ms(0), RATE);
    assert_eq!(count_admitted(&mut budget, ms(0), Event::AttemptSent, 1_000), 20);
    assert_eq!(count_admitted(&mut budget, ms(0), Event::RequestRefused, 5), 5);
    assert_eq!(count_admitted(&mut budget, ms(500), Event::AttemptSent, 1_000), 5);
    assert_eq!(budget.take_dropped(), BTreeMap::from([("AttemptSent", 1_975)]));
    assert!(budget.take_dropped().is_empty());
}

#[test]
fn admit_warnings_without_byte_allowance() {
    let mut budget = Budget::new(ms(0), RATE);
    assert!(budget.admit(ms(0), Event::AttemptSent));
    budget.record_written(5_000);
    assert!(!budget.admit(ms(1), Event::AttemptSent));
    assert!(budget.admit(ms(1), Event::LogDown));
    assert!(budget.admit(ms(3_500), Event::AttemptSent));
}

#[test]
fn admit_burst_is_bounded() {
    let mut budget = Budget::new(ms(0), RATE);
    assert_eq!(count_admitted(&mut budget, ms(3_600_000), Event::AttemptSent, 1_000), 20);
}

#[test]
fn count_unwritten_is_apart_from_events() {
    let mut budget = Budget::new(ms(0), RATE);
    budget.count_unwritten();
    budget.count_unwritten();
    assert_eq!(budget.take_dropped(), BTreeMap::from([("unwritten", 2)]));
}
