//! Division of a server's reject limit among the daemons, without communication.

use xxhash_rust::xxh3::xxh3_64;

use crate::prelude::*;

/// Shares of a limit that the schedulers may use, in the order in which they place a pool's requests.
/// Two or all of them place some while one is silent. With the others' share, they make up the limit.
const SCHEDULER_SHARES: [f64; 3] = [3.0 / 8.0, 1.0 / 4.0, 1.0 / 8.0];
/// Time for which a daemon must have had a position among the schedulers until it uses its share. The
/// rejects that the one before it caused no longer count then.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// Share that all other daemons may use together, for the requests that they place themselves.
const OTHERS_SHARE: f64 = 1.0 / 4.0;
/// Minimum limit of which the others have at least one reject.
const MIN_DIVISIBLE_LIMIT: u32 = 3;

/// This daemon's part in the limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::fleet) enum Share {
    /// It may place the requests of all daemons: its position among the schedulers.
    Scheduler(usize),
    /// It may place requests of its own: its position among the daemons by id, and their number.
    Other { position: usize, daemons: usize },
}

/// The position of a daemon among the schedulers of a pool.
#[derive(Debug, Default)]
pub(super) struct Claim {
    /// The position as of the last update, and since when.
    last: Option<(usize, Time)>,
    settled: Option<usize>,
}

impl Claim {
    /// Updates the position. A lower share counts at once, and a higher one after some time: the
    /// daemon that had it may not yet know that it has lost it.
    pub(super) fn update(&mut self, now: Time, position: Option<usize>) {
        let since = self.last.filter(|(last, _)| Some(*last) == position).map(|(_, since)| since);
        self.last = position.map(|position| (position, since.unwrap_or(now)));
        let Some(position) = position else {
            self.settled = None;
            return;
        };
        let is_lower = self.settled.is_some_and(|settled| position >= settled);
        if is_lower || since.is_some_and(|since| now >= since + SETTLE_TIME) {
            self.settled = Some(position);
        }
    }

    /// The position that counts; `None` if the daemon is no scheduler.
    pub(super) fn position(&self) -> Option<usize> {
        self.settled
    }
}

impl Default for Share {
    fn default() -> Self {
        Self::Other { position: 0, daemons: usize::MAX }
    }
}

impl Share {
    /// Rejects per second of a server that this daemon may cause. If the others have fewer than one
    /// each, every server is assigned to as many of them as they have together.
    pub(in crate::fleet) fn rejects(self, limit: u32, server: &str) -> u32 {
        let (position, daemons) = match self {
            Self::Scheduler(position) => return scheduler_part(limit, position),
            Self::Other { position, daemons } => (position, daemons.max(1)),
        };
        let total = part(limit, OTHERS_SHARE).max(u32::from(limit >= MIN_DIVISIBLE_LIMIT)) as usize;
        let first = (xxh3_64(server.as_bytes()) % daemons as u64) as usize;
        let distance = (position + daemons - first % daemons) % daemons;
        let rejects = total / daemons + usize::from(distance < total % daemons);
        u32::try_from(rejects).unwrap_or(u32::MAX)
    }
}

fn scheduler_part(limit: u32, position: usize) -> u32 {
    let share = SCHEDULER_SHARES.get(position).copied().unwrap_or_default();
    // A first scheduler that risked no reject would serve nothing.
    part(limit, share).max(u32::from(position == 0))
}

fn part(limit: u32, share: f64) -> u32 {
    (f64::from(limit) * share) as u32
}
