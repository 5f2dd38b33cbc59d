//! Judges what servers get that state that they leave, or ask for rest, as the platform's operators do.

use crate::prelude::*;

/// Time after a daemon has passed on that a server leaves from which requests that callers send it must not reach the
/// server.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time after a server has asked for rest from which requests count.
const NOTICE: Duration = Duration::from_millis(500);
/// Number of requests that may reach a server all the same.
const MAX_DURING_REST: usize = 2;

/// A server and a daemon.
type Pair = (String, usize);

/// A time in which a server wants nothing from a daemon.
#[derive(Debug)]
struct Rest {
    from: Time,
    until: Time,
    arrivals: usize,
}

/// What servers have stated to daemons, and what reached them since.
#[derive(Debug, Default)]
pub struct Notices {
    /// When a daemon first passed on that a server leaves.
    leaving: BTreeMap<Pair, Time>,
    rests: BTreeMap<Pair, Vec<Rest>>,
    /// Requests that reached a leaving server too late.
    pub late: usize,
    /// Number of statements that daemons received.
    pub told: usize,
}

impl Notices {
    /// A daemon passes on that a server leaves.
    pub fn note_leaving(&mut self, now: Time, server: &str, daemon: usize) {
        if self.leaving.insert((server.to_owned(), daemon), now).is_none() {
            self.told += 1;
        }
    }

    /// A server turns a daemon away and asks for rest.
    pub fn note_rest(&mut self, now: Time, server: &str, daemon: usize, rest: Duration) {
        self.told += 1;
        let rest = Rest { from: now + NOTICE, until: now + rest, arrivals: 0 };
        self.rests.entry((server.to_owned(), daemon)).or_default().push(rest);
    }

    /// A daemon restarts or is frozen.
    pub fn excuse(&mut self, daemon: usize) {
        self.leaving.retain(|(_, told), _| *told != daemon);
        self.excuse_rest(daemon);
    }

    /// A daemon is cut off.
    pub fn excuse_rest(&mut self, daemon: usize) {
        self.rests.retain(|(_, told), _| *told != daemon);
    }

    /// A request that a caller sent at `sent_at` reaches a server.
    pub fn note_arrival(&mut self, now: Time, server: &str, daemon: usize, sent_at: Time) {
        let pair = (server.to_owned(), daemon);
        self.late +=
            usize::from(self.leaving.get(&pair).is_some_and(|told| sent_at > *told + DRAIN_TIME));
        for rest in self.rests.get_mut(&pair).into_iter().flatten() {
            rest.arrivals += usize::from(now > rest.from && now <= rest.until);
        }
    }

    /// Returns the number of times in which too many requests reached a server that wanted rest.
    pub fn broken_rests(&self) -> usize {
        let rests = self.rests.values().flatten();
        rests.filter(|rest| rest.arrivals > MAX_DURING_REST).count()
    }
}
