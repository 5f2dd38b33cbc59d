//! Reads that the store never answers, because one of its partitions was silent while they waited. They fail only when
//! their wait is over, and no other read fails meanwhile.

use super::crowd::Crowd;
use crate::fleet::*;
use crate::prelude::*;

/// Sizes of fleets: all daemons read the store, or some leave that to others.
const FLEETS: [usize; 4] = [1, 3, 7, 13];
/// Durations of silences. After a short one, the reads that it swallowed still have most of their wait before them.
const SILENCES: [Duration; 2] = [Duration::from_millis(500), Duration::from_millis(4_500)];
/// Time after which the store counts as stable again.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Maximum time until a record that was acknowledged then is in force everywhere.
const MAX_SPREAD_TIME: Duration = Duration::from_secs(2);
/// Shortest time from the start to the silence.
const MIN_QUIET: Duration = Duration::from_secs(4);
/// Time by which that grows from one run to the next, and the number of runs: reads begin at different moments of the
/// silence.
const QUIET_STEP: Duration = Duration::from_millis(1_300);
const RUNS: u32 = 4;

/// One run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Case {
    daemons: usize,
    quiet: Duration,
    silence: Duration,
}

impl Case {
    fn all() -> impl Iterator<Item = Self> {
        let fleets = FLEETS.into_iter();
        let times = fleets.flat_map(|daemons| (0..RUNS).map(move |run| (daemons, run)));
        times.flat_map(|(daemons, run)| {
            let quiet = MIN_QUIET + QUIET_STEP * run;
            SILENCES.map(|silence| Self { daemons, quiet, silence })
        })
    }
}

/// Daemons some time after the partition of `tracked` was silent.
fn crowd_after_silence(case: Case, tracked: Dependency) -> Crowd {
    let mut crowd = Crowd::new(case.daemons, 20);
    crowd.advance(case.quiet);
    crowd.store.set_silent(Some(tracked));
    crowd.advance(case.silence);
    crowd.store.set_silent(None);
    crowd.advance(STABLE_TIME);
    crowd
}

/// The cases in which `check` fails after the partition of `tracked` was silent.
fn failures(tracked: Dependency, check: impl Fn(&mut Crowd) -> bool) -> Vec<Case> {
    Case::all().filter(|case| !check(&mut crowd_after_silence(*case, tracked))).collect()
}

/// A server that left after the partition of registrations had been silent was given requests for up to 12 s.
#[test]
fn leaving_server_is_known_soon_after_registrations_were_silent() {
    let failures = failures(Dependency::Topic(Topic::Servers), |crowd| {
        crowd.store.append(crowd.now, Topic::Servers, "e-3", "engine 3 draining 1");
        crowd.store.append(crowd.now, Topic::Servers, "e-4", "");
        let is_known =
            |crowd: &Crowd, index| crowd.avoids(index, "e-3") && crowd.avoids(index, "e-4");
        crowd.advance_until(MAX_SPREAD_TIME, is_known).is_some()
    });
    assert_eq!(failures, []);
}

/// In a large fleet the schedulers read often, and the others rely on that.
#[test]
fn leaving_server_is_known_soon_after_registrations_were_silent_and_schedulers_ended() {
    let failures = failures(Dependency::Topic(Topic::Servers), |crowd| {
        let is_scheduler =
            |crowd: &Crowd, index| crowd.node(index).is_some_and(|n| n.is_scheduler(crowd.now));
        let schedulers: Vec<usize> =
            (0..crowd.len()).filter(|index| is_scheduler(crowd, *index)).collect();
        schedulers.into_iter().for_each(|index| crowd.kill(index));
        crowd.store.append(crowd.now, Topic::Servers, "e-3", "engine 3 draining 1");
        let is_known = |crowd: &Crowd, index| crowd.avoids(index, "e-3");
        crowd.advance_until(MAX_SPREAD_TIME, is_known).is_some()
    });
    assert_eq!(failures, []);
}

#[test]
fn configuration_is_in_force_soon_after_its_partition_was_silent() {
    let failures = failures(Dependency::Topic(Topic::Operator), |crowd| {
        crowd.store.append(crowd.now, Topic::Operator, "config", "table 2");
        crowd.advance_until(MAX_SPREAD_TIME, |crowd, index| crowd.table(index) == 2).is_some()
    });
    assert_eq!(failures, []);
}

/// New weights wait until those that may take the lease have read its records.
#[test]
fn lease_is_read_soon_after_its_partition_was_silent() {
    let failures = failures(Dependency::Lease, |crowd| {
        let next = crowd.store.lease.len() as u64;
        crowd.store.lease.push("no record of a lease".into());
        let is_read = |crowd: &Crowd, index| {
            let node = crowd.node(index).expect("no daemon was killed");
            !node.is_lease_candidate() || node.next_lease_offset() > next
        };
        crowd.advance_until(MAX_SPREAD_TIME, is_read).is_some()
    });
    assert_eq!(failures, []);
}
