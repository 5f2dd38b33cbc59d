//! How long a request waits for a server, and what becomes of one that cannot be answered in time.
//!
//! Load answered: more work than the servers of a pool can do, for seconds. A request that waits
//! until its answer would be late has delayed others and then gains nothing; one that is refused at
//! once can come back to a shorter queue. So a request waits only while it can still be answered
//! within the target of its route, and is refused as soon as the work ahead of it shows that it
//! cannot.

use crate::prelude::*;

/// Time on the way to the server and back, and until the scheduler looks at its queue again.
const MARGIN: Duration = Duration::from_millis(20);
/// Least wait that is granted: the target divided by this, also where the predicted time at a
/// server leaves less.
const MIN_WAIT_DIVISOR: u32 = 2;

/// The times of one waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Times {
    /// When its caller first asked: earlier than it arrived, if it was refused before.
    pub(super) asked: Time,
    /// Since when it waits; later if it was refused or sent before.
    pub(super) waits_since: Time,
    /// The target of its route.
    pub(super) target: Duration,
    /// When its caller gives up.
    pub(super) deadline: Time,
    /// Predicted time at a server.
    pub(super) service: Duration,
}

/// What becomes of a request that has to wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It waits.
    Wait,
    /// It waits behind all that can still be answered in time.
    WaitBehind,
    /// It is refused.
    Refuse,
}

/// Why a request waits, or is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Shortage {
    /// No server of its pool accepts work.
    NoServer,
    /// All servers of its pool want rest from its daemon.
    Rest,
    /// Its workspace is ahead of its share: others are served first.
    OverShare,
    /// The work of all workspaces takes up the servers.
    NoRoom,
}

impl Shortage {
    /// Its name in log lines.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::NoServer => "no server accepts work",
            Self::Rest => "the servers want rest",
            Self::OverShare => "the workspace is over its share",
            Self::NoRoom => "no room in time",
        }
    }
}

impl Times {
    /// The last time at which it can be sent and answered in time. Slow work is granted a part of
    /// its target.
    pub(super) fn in_time_until(&self) -> Time {
        let in_time = (self.asked + self.target).saturating_sub(self.service + MARGIN);
        let least = self.asked + self.target / MIN_WAIT_DIVISOR;
        in_time.max(least.min(self.last_send()))
    }

    /// The time until which it waits once it is late: a part of its target after it came back, or
    /// was last sent.
    pub(super) fn late_until(&self) -> Time {
        self.last_send().min(self.waits_since + self.target / MIN_WAIT_DIVISOR)
    }

    /// The last time at which it can be sent and answered before its deadline.
    fn last_send(&self) -> Time {
        self.deadline.saturating_sub(self.service + MARGIN)
    }

    /// Decides on a request that is expected to wait for `wait`, from `now`. Of a late one, `wait`
    /// has to include all requests that can still be answered in time.
    pub(super) fn decide(&self, now: Time, wait: Duration) -> Verdict {
        let sent_at = now.saturating_add(wait);
        if sent_at <= self.in_time_until() {
            return Verdict::Wait;
        }
        let is_late = now > self.in_time_until();
        match is_late && sent_at <= self.late_until() {
            true => Verdict::WaitBehind,
            false => Verdict::Refuse,
        }
    }

    /// The order in which a request waits that is not refused at once.
    pub(super) fn order(&self, now: Time) -> Verdict {
        match now <= self.in_time_until() {
            true => Verdict::Wait,
            false => Verdict::WaitBehind,
        }
    }

    /// Maximum milliseconds that it may wait at an engine if it is sent at `now`.
    pub(super) fn max_engine_wait_ms(&self, now: Time, is_late: bool) -> f64 {
        let until = if is_late { self.last_send() } else { self.in_time_until() };
        let left = until.saturating_sub(now).min(self.target);
        left.as_secs_f64() * 1_000.0
    }
}
