//! Tests of the division of engines: how the share follows loads.

use super::{Division, MIN_ENGINES, Work};
use crate::prelude::*;

/// Engine time of one long prompt.
const READ_MS: f64 = 60.0;
/// Engine time of one stream.
const STREAM_MS: f64 = 30.0;
/// Maximum change of the share at once: the parts of one engine in sixteen move.
const MAX_CHANGE: f64 = 1.0 / 16.0;
/// Minimum time between two changes.
const MIN_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two looks at the share.
const STEP: Duration = Duration::from_millis(10);

/// Requests per second of both kinds.
#[derive(Clone, Copy)]
struct Rates {
    reads: f64,
    streams: f64,
}

const NORMAL: Rates = Rates { reads: 300.0, streams: 400.0 };

/// A division and the changes of its share.
struct Trace {
    division: Division,
    now: Time,
    /// Requests of both kinds that are due, in parts of one.
    due: (f64, f64),
    changes: Vec<(Time, Option<f64>)>,
}

impl Trace {
    fn new() -> Self {
        Self {
            division: Division::default(),
            now: Time::ZERO,
            due: (0.0, 0.0),
            changes: Vec::new(),
        }
    }

    /// Records requests for a time; `rates` gives them by the time since then.
    fn run(&mut self, span: Duration, rates: impl Fn(f64) -> Rates) {
        let begin = self.now;
        while self.now < begin + span {
            self.now += STEP;
            let rates = rates((self.now - begin).as_secs_f64());
            self.due.0 += rates.reads * STEP.as_secs_f64();
            self.due.1 += rates.streams * STEP.as_secs_f64();
            while self.due.0 >= 1.0 {
                self.due.0 -= 1.0;
                self.division.record(self.now, Work::Read, READ_MS);
            }
            while self.due.1 >= 1.0 {
                self.due.1 -= 1.0;
                self.division.record(self.now, Work::Stream, STREAM_MS);
            }
            let share = self.share();
            if self.changes.last().is_none_or(|(_, last)| *last != share) {
                self.changes.push((self.now, share));
            }
        }
    }

    fn share(&self) -> Option<f64> {
        self.division.stream_share(self.now)
    }

    /// The share, while the pool must be divided.
    fn divided(&self) -> f64 {
        self.share().expect("the pool is divided")
    }
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn share_after(rates: Rates) -> Option<f64> {
    let mut trace = Trace::new();
    trace.run(secs(10), |_| rates);
    trace.share()
}

/// Load: long prompts beside streams, steadily.
#[test]
fn stream_share_is_in_proportion_to_work() {
    let share = share_after(NORMAL).expect("the pool is divided");
    let work = NORMAL.streams * STREAM_MS / (NORMAL.streams * STREAM_MS + NORMAL.reads * READ_MS);
    assert!((work..work + 0.1).contains(&share), "{share} of the engines for {work} of the work");
    let more = share_after(Rates { streams: 1_600.0, ..NORMAL }).expect("the pool is divided");
    assert!(more > share + 0.2, "{share}, then {more}");
}

#[test]
fn stream_share_is_none_without_both_kinds() {
    assert_eq!(share_after(Rates { streams: 0.0, ..NORMAL }), None);
    assert_eq!(share_after(Rates { reads: 0.0, ..NORMAL }), None);
    assert_eq!(share_after(Rates { streams: 20.0, ..NORMAL }), None);
}

#[test]
fn stream_share_is_none_for_few_requests() {
    assert_eq!(share_after(Rates { reads: 1.0, streams: 2.0 }), None);
}

/// Load: four times as many streams from one second to the next.
#[test]
fn stream_share_follows_a_crowd_of_streams_in_steps() {
    let mut trace = Trace::new();
    trace.run(secs(20), |_| NORMAL);
    let before = trace.divided();
    trace.changes.clear();
    trace.run(secs(4), |_| Rates { streams: 4.0 * NORMAL.streams, ..NORMAL });
    assert!(trace.divided() > before + 0.15, "{before}, then {}", trace.divided());
    for pair in trace.changes.windows(2) {
        let [(earlier, from), (later, to)] = pair else { continue };
        let (from, to) = (from.expect("divided"), to.expect("divided"));
        assert!((to - from).abs() <= MAX_CHANGE + 1e-9, "{from}, then {to}");
        assert!(*later - *earlier >= MIN_INTERVAL, "{earlier:?}, then {later:?}");
    }
}

/// Load: demand of both kinds halves and returns, as over the hours of a day but in seconds.
#[test]
fn stream_share_stays_when_all_demand_swings() {
    let mut trace = Trace::new();
    trace.run(secs(10), |_| NORMAL);
    trace.changes.clear();
    trace.run(secs(60), |at| {
        let factor = 0.75 + 0.25 * (at / 11.0 * std::f64::consts::TAU).cos();
        Rates { reads: NORMAL.reads * factor, streams: NORMAL.streams * factor }
    });
    assert_eq!(trace.changes.len(), 1, "{:?}", trace.changes);
}

/// Load: streams alone swing by half.
#[test]
fn stream_share_does_not_flap_when_streams_swing() {
    let mut trace = Trace::new();
    trace.run(secs(10), |_| NORMAL);
    trace.changes.clear();
    trace.run(secs(66), |at| {
        let factor = 0.75 + 0.25 * (at / 11.0 * std::f64::consts::TAU).cos();
        Rates { streams: NORMAL.streams * factor, ..NORMAL }
    });
    // It settles once; six swings change it no further.
    assert!(trace.changes.len() <= 3, "{:?}", trace.changes);
}

/// Load: requests of one kind end.
#[test]
fn stream_share_ends_when_one_kind_vanishes() {
    for rates in [Rates { streams: 0.0, ..NORMAL }, Rates { reads: 0.0, ..NORMAL }] {
        let mut trace = Trace::new();
        trace.run(secs(10), |_| NORMAL);
        trace.run(secs(30), |_| rates);
        assert_eq!(trace.share(), None);
        let ended = trace.changes.iter().filter(|(_, share)| share.is_none()).count();
        assert!(ended <= 2, "{:?}", trace.changes);
        trace.run(secs(10), |_| NORMAL);
        trace.divided();
    }
}

/// Load: all requests end; nothing is recorded any more.
#[test]
fn stream_share_ends_without_requests() {
    let mut trace = Trace::new();
    trace.run(secs(10), |_| NORMAL);
    trace.run(secs(10), |_| Rates { reads: 0.0, streams: 0.0 });
    assert_eq!(trace.share(), None);
}

/// Failure: engines are lost. The share is of those that are left, and each kind keeps one.
#[test]
fn each_kind_keeps_engines_when_engines_are_lost() {
    for rates in [NORMAL, Rates { streams: 100.0, ..NORMAL }, Rates { reads: 30.0, ..NORMAL }] {
        let mut trace = Trace::new();
        trace.run(secs(10), |_| rates);
        for engines in [140, 100, 70, MIN_ENGINES] {
            let place = |rank: usize| (rank as f64 + 0.5) / engines as f64;
            let work = |rank: &usize| trace.division.work_of(trace.now, place(*rank));
            let streams = (0..engines).filter(|rank| work(rank) == Some(Work::Stream)).count();
            let expected = trace.divided() * engines as f64;
            assert!((streams as f64 - expected).abs() <= 1.0, "{streams} of {engines}");
            assert!((1..engines).contains(&streams), "{streams} of {engines}");
        }
    }
}

/// Failure: the scheduler is lost, and the next one has recorded nothing yet.
#[test]
fn adopt_continues_a_share() {
    let mut former = Trace::new();
    former.run(secs(10), |_| NORMAL);
    let mut next = Trace::new();
    next.now = former.now;
    next.division.adopt(next.now, former.divided());
    assert_eq!(next.share(), former.share());
    next.run(secs(20), |_| NORMAL);
    assert_eq!(next.changes.len(), 1, "{:?}", next.changes);
}

#[test]
fn adopt_ends_without_demand() {
    let mut division = Division::default();
    division.adopt(secs(1), 0.4);
    assert_eq!(division.stream_share(secs(2)), Some(0.4));
    assert_eq!(division.stream_share(secs(20)), None);
}

#[test]
fn adopt_ignores_what_is_no_share() {
    let mut division = Division::default();
    division.adopt(secs(1), f64::NAN);
    assert_eq!(division.stream_share(secs(1)), None);
    division.adopt(secs(1), 7.0);
    assert!(division.stream_share(secs(1)).is_some_and(|share| share < 1.0));
}
