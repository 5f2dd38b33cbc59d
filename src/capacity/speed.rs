//! The speed of one server, and of a pool.

use crate::prelude::*;

/// One answer: what the model predicted, and what it took.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// Milliseconds predicted at the assumed speed.
    pub predicted_ms: f64,
    /// Milliseconds that the server took.
    pub took_ms: f64,
}

/// How many times as long as assumed a server takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// The factor; 1 if nothing is known.
    pub factor: f64,
    /// Samples that it rests on, older ones counting less.
    pub samples: f64,
    /// Time since the newest sample; `None` without any.
    pub age: Option<Duration>,
}

/// What a daemon tells its peers about the speed of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// The factor.
    pub factor: f32,
    /// Samples that it rests on.
    pub samples: f32,
    /// Time since the newest sample.
    pub age: Duration,
}

/// The speed of one server, in one incarnation.
#[derive(Debug, Clone, Default)]
pub struct Speed {}

/// The typical speed of a pool's servers, which holds for a server of which little is known.
#[derive(Debug, Clone, Default)]
pub struct Pool {}

impl Speed {
    /// Records an answer of the server.
    pub fn record(&mut self, _now: Time, _sample: Sample) {}

    /// Merges what a peer reported; newer samples of this daemon's own stay.
    pub fn merge(&mut self, _now: Time, _report: Report) {}

    /// What this daemon tells its peers; `None` without samples.
    pub fn report(&self, _now: Time) -> Option<Report> {
        None
    }

    /// The server's factor, drawn towards that of its pool while samples are few or old.
    pub fn estimate(&self, _now: Time, _pool: &Pool) -> Estimate {
        Estimate { factor: 1.0, samples: 0.0, age: None }
    }
}

impl Pool {
    /// Records an answer of any of its servers.
    pub fn record(&mut self, _now: Time, _sample: Sample) {}

    /// The typical factor; 1 while what was measured does not differ clearly from the assumption.
    pub fn factor(&self) -> f64 {
        1.0
    }
}
