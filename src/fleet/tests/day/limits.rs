//! Judges what servers that state a request limit get, as the platform's operators do.

use std::fmt;

use crate::prelude::*;

/// Time after a server first states a limit from which it counts, and for which a fault excuses a daemon.
const STABLE: Duration = Duration::from_secs(3);
/// Time from an answer that a daemon passes on to the first request that counts.
const NOTICE: Duration = Duration::from_millis(500);
/// The window in which a server's arrivals count.
const WINDOW: Duration = Duration::from_secs(4);

/// A request that a server got.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Time,
    /// Whether its daemon has passed on the limit before, and no fault excuses it.
    counts: bool,
}

/// A time in which a server states one limit.
#[derive(Debug)]
struct Span {
    from: Time,
    to: Option<Time>,
    per_s: f64,
    arrivals: Vec<Arrival>,
}

/// The window of a server that had most for what it takes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Excess {
    pub server: usize,
    pub end: Time,
    pub arrivals: usize,
    pub allowed: usize,
}

impl fmt::Display for Excess {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let Self { server, end, arrivals, allowed } = self;
        write!(out, "server {server} got {arrivals} in 4 s until {end:?}, {allowed} allowed")
    }
}

/// The limits of servers, and what these got.
#[derive(Debug, Default)]
pub struct Limits {
    spans: BTreeMap<usize, Vec<Span>>,
    /// When each daemon first passed on an answer of a server that states its limit.
    told: BTreeMap<(usize, usize), Time>,
    excused_until: BTreeMap<usize, Time>,
}

impl Limits {
    /// A server states a limit from now on, or none.
    pub fn set(&mut self, now: Time, server: usize, limit: Option<f64>) {
        let spans = self.spans.entry(server).or_default();
        if let Some(last) = spans.last_mut().filter(|last| last.to.is_none()) {
            last.to = Some(now);
        }
        self.told.retain(|(of, _), _| *of != server);
        if let Some(per_s) = limit {
            spans.push(Span { from: now, to: None, per_s, arrivals: Vec::new() });
        }
    }

    pub fn note_told(&mut self, now: Time, server: usize, daemon: usize) {
        self.told.entry((server, daemon)).or_insert(now);
    }

    /// A fault affects a daemon until a time.
    pub fn excuse(&mut self, daemon: usize, until: Time) {
        self.excused_until.insert(daemon, until + STABLE);
    }

    pub fn note_arrival(&mut self, now: Time, server: usize, daemon: usize) {
        let is_told = self.told.get(&(server, daemon)).is_some_and(|at| now >= *at + NOTICE);
        let is_excused = self.excused_until.get(&daemon).is_some_and(|until| now < *until);
        let current = self.spans.get_mut(&server).and_then(|spans| spans.last_mut());
        if let Some(span) = current.filter(|span| span.to.is_none()) {
            span.arrivals.push(Arrival { at: now, counts: is_told && !is_excused });
        }
    }

    /// Returns the window with most arrivals for what its server takes.
    pub fn max_excess(&self) -> Excess {
        let spans =
            self.spans.iter().flat_map(|(server, spans)| spans.iter().map(|s| (*server, s)));
        let excesses = spans.flat_map(|(server, span)| {
            let allowed = (span.per_s * 1.5 * WINDOW.as_secs_f64() + 5.0) as usize;
            let counted = span.arrivals.iter().filter(|arrival| arrival.counts);
            let counted: Vec<Time> = counted.map(|arrival| arrival.at).collect();
            let counted: Vec<Time> =
                counted.into_iter().filter(|at| *at >= span.from + STABLE).collect();
            (0..counted.len()).map(move |last| {
                let end = counted[last];
                let first = counted.partition_point(|at| *at + WINDOW <= end);
                Excess { server, end, arrivals: last + 1 - first, allowed }
            })
        });
        let share = |excess: &Excess| excess.arrivals as f64 / excess.allowed as f64;
        excesses.max_by(|a, b| share(a).total_cmp(&share(b))).unwrap_or_default()
    }

    /// Returns what servers with a limit got of what they take, from some time after they state it.
    pub fn use_of_limits(&self, now: Time) -> f64 {
        let spans = self.spans.values().flatten();
        let (got, taken) = spans.fold((0.0, 0.0), |(got, taken), span| {
            let (from, to) = (span.from + STABLE, span.to.unwrap_or(now));
            let arrivals = span.arrivals.iter().filter(|arrival| arrival.at >= from);
            let length = to.saturating_sub(from).as_secs_f64();
            (got + arrivals.count() as f64, taken + length * span.per_s)
        });
        got / f64::max(taken, f64::MIN_POSITIVE)
    }
}
