//! A daemon's part of a server's reject limit.

use crate::fleet::share::Share;

/// Parts of a limit that the schedulers may use, in the order in which they place a pool's requests. With the others'
/// part, they make up the limit.
const SCHEDULER_PARTS: [f64; 3] = [3.0 / 8.0, 1.0 / 4.0, 1.0 / 8.0];
/// Part that all other daemons may use together, for the requests that they place themselves.
const OTHERS_PART: f64 = 1.0 / 4.0;
/// Minimum limit of which the others have at least one reject.
const MIN_DIVISIBLE_LIMIT: u32 = 3;

/// Rejects per second of a server that a daemon with this share may cause.
pub(in crate::fleet) fn rejects(share: Share, limit: u32, server: &str) -> u32 {
    match share {
        Share::Scheduler(position) => scheduler_rejects(limit, position),
        Share::Other { position, daemons } => {
            let total = part(limit, OTHERS_PART).max(u32::from(limit >= MIN_DIVISIBLE_LIMIT));
            let rejects = Share::units_of_others(position, daemons, total as usize, server);
            u32::try_from(rejects).unwrap_or(u32::MAX)
        }
    }
}

fn scheduler_rejects(limit: u32, position: usize) -> u32 {
    let share = SCHEDULER_PARTS.get(position).copied().unwrap_or_default();
    // A first scheduler that risked no reject would serve nothing.
    part(limit, share).max(u32::from(position == 0))
}

fn part(limit: u32, share: f64) -> u32 {
    (f64::from(limit) * share) as u32
}
