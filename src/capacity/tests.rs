//! Tests of learnt speeds.

use super::*;
use crate::prelude::*;

fn ms(milliseconds: u64) -> Time {
    Duration::from_millis(milliseconds)
}

fn sample(factor: f64) -> Sample {
    Sample { predicted_ms: 20.0, took_ms: 20.0 * factor }
}

/// Records `count` answers, 100 ms apart from `from`; returns the time after them.
fn answer(speed: &mut Speed, pool: &mut Pool, from: Time, count: u32, factor: f64) -> Time {
    for n in 0..count {
        speed.record(from + ms(100) * n, sample(factor));
        pool.record(from + ms(100) * n, sample(factor));
    }
    from + ms(100) * count
}

/// Returns a pool whose typical server is as fast as assumed, after many answers.
fn usual_pool() -> Pool {
    let mut pool = Pool::default();
    (0..100).for_each(|_| pool.record(ms(0), sample(1.0)));
    pool
}

fn factor(speed: &Speed, now: Time, pool: &Pool) -> f64 {
    speed.estimate(now, pool).factor
}

#[test]
fn estimate_without_samples_is_the_pools() {
    let mut pool = Pool::default();
    assert_eq!(factor(&Speed::default(), ms(0), &pool), 1.0);
    (0..100).for_each(|_| pool.record(ms(0), sample(0.5)));
    assert_eq!(factor(&Speed::default(), ms(0), &pool), pool.factor());
    assert!((0.4..0.6).contains(&pool.factor()), "{}", pool.factor());
}

#[test]
fn estimate_of_steady_answers_approaches_their_factor() {
    for expected in [1.0 / 1.6, 1.0 / 0.6, 3.0] {
        let mut speed = Speed::default();
        let now = answer(&mut speed, &mut Pool::default(), ms(1_000), 20, expected);
        let estimated = factor(&speed, now, &usual_pool());
        let error = (estimated / expected).ln().abs();
        assert!(error < 0.2, "{estimated} of {expected}");
    }
}

#[test]
fn estimate_moves_little_by_one_outlier() {
    for outlier in [0.01, 8.0] {
        let (mut speed, pool) = (Speed::default(), usual_pool());
        let now = answer(&mut speed, &mut Pool::default(), ms(1_000), 20, 1.0);
        speed.record(now, sample(outlier));
        assert_eq!(factor(&speed, now, &pool), 1.0, "an outlier of {outlier}");
    }
}

#[test]
fn estimate_follows_a_change_within_a_second() {
    let (mut speed, pool) = (Speed::default(), usual_pool());
    let now = answer(&mut speed, &mut Pool::default(), ms(1_000), 50, 1.0);
    let now = answer(&mut speed, &mut Pool::default(), now, 10, 4.0);
    assert!(factor(&speed, now, &pool) > 2.0);
    let now = answer(&mut speed, &mut Pool::default(), now, 15, 1.0);
    assert!(factor(&speed, now, &pool) < 1.25);
}

#[test]
fn estimate_returns_to_the_pools_with_age() {
    let (mut speed, pool) = (Speed::default(), usual_pool());
    let now = answer(&mut speed, &mut Pool::default(), ms(1_000), 20, 4.0);
    let estimates = [0, 2, 4, 8, 16].map(|s| factor(&speed, now + ms(s * 1_000), &pool));
    assert!(estimates.is_sorted_by(|a, b| a > b), "{estimates:?}");
    assert!(estimates[4] < 1.1, "{estimates:?}");
}

#[test]
fn estimate_is_bounded() {
    let mut speed = Speed::default();
    // Each is within the pause that a busy server may make.
    let now = answer(&mut speed, &mut Pool::default(), ms(9_000), 50, 20.0);
    assert!(factor(&speed, now, &usual_pool()) <= 8.0);
    let mut speed = Speed::default();
    let now = answer(&mut speed, &mut Pool::default(), ms(9_000), 50, 0.001);
    assert!(factor(&speed, now, &usual_pool()) >= 0.125);
}

#[test]
fn record_ignores_impossible_times() {
    let (mut speed, mut pool) = (Speed::default(), Pool::default());
    let invalid = [f64::NAN, 0.0, -5.0, f64::INFINITY, f64::NEG_INFINITY];
    for ms_value in invalid {
        let took = Sample { predicted_ms: 20.0, took_ms: ms_value };
        let predicted = Sample { predicted_ms: ms_value, took_ms: 20.0 };
        for invalid in [took, predicted] {
            assert!(!speed.record(ms(10), invalid));
            pool.record(ms(10), invalid);
        }
    }
    assert_eq!(speed.report(ms(10)), None);
    assert_eq!(pool.factor(), 1.0);
}

#[test]
fn record_ignores_what_was_sent_before_the_end_of_a_pause() {
    let (mut speed, pool) = (Speed::default(), usual_pool());
    let now = answer(&mut speed, &mut Pool::default(), ms(1_000), 20, 1.0) + ms(3_000);
    let before = factor(&speed, now, &pool);
    for waited_ms in [3_000.0, 2_900.0, 400.0, 100.0] {
        let late = Sample { predicted_ms: 20.0, took_ms: waited_ms };
        assert!(!speed.record(now, late), "an answer after {waited_ms} ms");
    }
    assert_eq!(factor(&speed, now, &pool), before);
    assert!(speed.record(now + ms(30), sample(1.0)), "sent after the pause");
}

#[test]
fn record_accepts_a_clock_that_stands_still() {
    let mut speed = Speed::default();
    (0..20).for_each(|_| assert!(speed.record(ms(1_000), sample(2.0))));
    // A sample from before the newest one does not make this older.
    speed.record(ms(900), sample(2.0));
    assert_eq!(speed.report(ms(1_000)).map(|report| report.age), Some(ms(0)));
}

#[test]
fn merge_takes_only_better_evidence() {
    let pool = usual_pool();
    let (mut known, mut unknown) = (Speed::default(), Speed::default());
    let now = answer(&mut known, &mut Pool::default(), ms(1_000), 20, 3.0);
    let report = known.report(now).expect("it has samples");
    unknown.merge(now, report);
    assert!((factor(&unknown, now, &pool) - factor(&known, now, &pool)).abs() < 0.01);
    let mut fresh = Speed::default();
    let end = answer(&mut fresh, &mut Pool::default(), now, 20, 1.0);
    fresh.merge(end, Report { age: end - now, samples: 1.0, ..report });
    assert_eq!(factor(&fresh, end, &pool), 1.0, "its own samples are newer");
    fresh.merge(end + ms(20_000), Report { age: ms(0), ..report });
    assert!(factor(&fresh, end + ms(20_000), &pool) > 2.0, "its own samples are old");
}

#[test]
fn merge_ages_and_refuses_invalid_reports() {
    let pool = usual_pool();
    let report = Report { factor: 4.0, samples: 6.0, age: ms(0) };
    let mut merged = Speed::default();
    merged.merge(ms(5_000), report);
    assert!(factor(&merged, ms(25_000), &pool) < 1.1, "it is old by then");
    for factor in [f32::NAN, 0.0, -1.0, f32::INFINITY] {
        let mut speed = Speed::default();
        speed.merge(ms(10), Report { factor, ..report });
        speed.merge(ms(10), Report { samples: factor, ..report });
        assert_eq!(speed.report(ms(10)), None);
    }
    let mut older_than_this_daemon = Speed::default();
    older_than_this_daemon.merge(ms(10), Report { age: ms(1_000), ..report });
    assert_eq!(older_than_this_daemon.report(ms(10)).map(|report| report.age), Some(ms(10)));
}

#[test]
fn pool_factor_needs_a_clear_difference_and_many_samples() {
    let mut pool = Pool::default();
    for n in 0..200 {
        pool.record(ms(0), sample(if n % 2 == 0 { 0.8 } else { 1.3 }));
        assert_eq!(pool.factor(), 1.0, "close to the assumption");
    }
    let mut pool = Pool::default();
    (0..10).for_each(|_| pool.record(ms(0), sample(4.0)));
    assert_eq!(pool.factor(), 1.0, "ten samples");
}

#[test]
fn pool_factor_is_a_median() {
    let mut pool = Pool::default();
    for n in 0..400 {
        pool.record(ms(0), sample(if n % 5 == 0 { 8.0 } else { 0.5 }));
    }
    assert!((0.4..0.65).contains(&pool.factor()), "{}", pool.factor());
}

#[test]
fn pool_factor_stays_at_the_edge() {
    let mut pool = Pool::default();
    (0..400).for_each(|_| pool.record(ms(0), sample(1.7)));
    let mut changes = 0;
    let mut differed = pool.factor() != 1.0;
    assert!(differed);
    for n in 0..400 {
        pool.record(ms(0), sample(if n % 2 == 0 { 1.4 } else { 1.6 }));
        changes += u32::from((pool.factor() != 1.0) != differed);
        differed = pool.factor() != 1.0;
    }
    assert_eq!(changes, 0);
}

#[test]
fn judge_slow_once_and_well_once() {
    let (mut speed, pool) = (Speed::default(), usual_pool());
    let mut changes = Vec::new();
    for n in 0..60_u32 {
        let took = if (15..35).contains(&n) { 3.0 } else { 1.0 };
        let now = ms(1_000) + ms(100) * n;
        speed.record(now, sample(took));
        changes.extend(speed.judge(now, &pool));
    }
    assert_eq!(changes, [Change::Slow, Change::Well]);
}

/// An answer of a plain server, whose assumed time is 40 ms.
fn served(took_ms: f64) -> Sample {
    Sample { predicted_ms: 40.0, took_ms }
}

/// Records answers of a server whose time at `n` requests at once is `took_ms(n)`.
fn measure(concurrency: &mut Concurrency, now: Time, slots: u32, took_ms: impl Fn(u32) -> f64) {
    for _ in 0..20 {
        for running in 1..=slots {
            concurrency.record(now, running, served(took_ms(running)));
        }
    }
}

#[test]
fn concurrency_of_steady_server_is_its_slots() {
    for slots in [1, 2, 6, 16, 48] {
        let mut concurrency = Concurrency::default();
        assert_eq!(concurrency.limit(ms(0), slots), slots, "nothing is known");
        measure(&mut concurrency, ms(0), slots, |_| 30.0);
        assert_eq!(concurrency.limit(ms(0), slots), slots);
    }
}

#[test]
fn concurrency_ends_where_more_answer_no_more() {
    let mut concurrency = Concurrency::default();
    let knee = |running: u32| 30.0 * f64::from(running.max(3)) / 3.0;
    measure(&mut concurrency, ms(0), 6, knee);
    assert_eq!(concurrency.limit(ms(0), 6), 3);
    let mut concurrency = Concurrency::default();
    let collapse = |running: u32| if running > 4 { 150.0 } else { 30.0 };
    measure(&mut concurrency, ms(0), 6, collapse);
    assert_eq!(concurrency.limit(ms(0), 6), 4);
}

#[test]
fn concurrency_of_slightly_slower_server_is_its_slots() {
    let mut concurrency = Concurrency::default();
    measure(&mut concurrency, ms(0), 6, |running| 30.0 + f64::from(running));
    assert_eq!(concurrency.limit(ms(0), 6), 6);
}

#[test]
fn concurrency_of_server_that_is_always_full_is_searched_downwards() {
    let mut concurrency = Concurrency::default();
    let collapse = |running: u32| if running > 4 { 150.0 } else { 30.0 };
    for _ in 0..3 {
        let running = concurrency.limit(ms(0), 6);
        (0..20).for_each(|_| concurrency.record(ms(0), running, served(collapse(running))));
    }
    assert_eq!(concurrency.limit(ms(0), 6), 4);
    let mut steady = Concurrency::default();
    (0..20).for_each(|_| steady.record(ms(0), 6, served(30.0)));
    assert_eq!(steady.limit(ms(0), 6), 6, "it is as fast as assumed");
}

#[test]
fn concurrency_of_slow_server_is_searched_no_lower_than_pays() {
    let mut concurrency = Concurrency::default();
    for _ in 0..12 {
        let running = concurrency.limit(ms(0), 6);
        assert!(running >= 4, "{running} at once");
        (0..20).for_each(|_| concurrency.record(ms(0), running, served(120.0)));
    }
    assert_eq!(concurrency.limit(ms(0), 6), 6);
}

#[test]
fn concurrency_is_tried_again_with_age() {
    let mut concurrency = Concurrency::default();
    measure(&mut concurrency, ms(0), 6, |running| if running > 3 { 150.0 } else { 30.0 });
    assert_eq!(concurrency.limit(ms(1_000), 6), 3);
    assert_eq!(concurrency.limit(ms(30_000), 6), 6);
}

#[test]
fn concurrency_ignores_impossible_times() {
    let mut concurrency = Concurrency::default();
    for took_ms in [f64::NAN, 0.0, -1.0, f64::INFINITY] {
        (0..20).for_each(|_| concurrency.record(ms(0), 2, served(took_ms)));
    }
    (0..20).for_each(|_| concurrency.record(ms(0), 0, served(30.0)));
    assert_eq!(concurrency.limit(ms(0), 6), 6);
}

#[test]
fn deviation_counts_by_ratio() {
    let mut deviation = Deviation::default();
    for factor in [0.1, 0.9, 1.1, 30.0, f64::NAN] {
        deviation.record(sample(factor));
    }
    let rows: Vec<_> = deviation.cumulative().collect();
    assert_eq!(rows.first(), Some(&(Some(25), 1)));
    assert!(rows.contains(&(Some(100), 2)) && rows.contains(&(Some(125), 3)));
    assert_eq!(rows.last(), Some(&(None, 4)));
}
