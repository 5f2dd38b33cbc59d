//! Streams that are taken up at daemons which have missed that servers of another version joined.

mod review;

use super::*;

/// Interval between the reads of a daemon that reaches the store.
const READ_INTERVAL: Duration = Duration::from_millis(200);
/// The daemon that is out of step.
const OUT_OF_STEP: usize = 1;

/// How a daemon is out of step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// It reaches neither the store nor its peers.
    CutOff,
    /// It reaches its peers, but not the store.
    WithoutStore,
    /// It stands still.
    Frozen,
}

/// Daemons that read the store, except those that are cut off from it.
struct Stage {
    release: Release,
    log: Vec<(String, String)>,
    /// Number of records that each daemon has read.
    read: Vec<usize>,
    without_store: BTreeSet<usize>,
}

impl Stage {
    /// Returns daemons that have seen servers of v1 alone for as long as a stream can be taken up.
    fn new() -> Self {
        let mut stage = Self {
            release: Release::new(3),
            log: Vec::new(),
            read: vec![0; usize::from(DAEMONS)],
            without_store: BTreeSet::new(),
        };
        stage.advance(MAX_AGE);
        stage
    }

    fn advance(&mut self, span: Duration) {
        let end = self.release.site.now + span;
        while self.release.site.now < end {
            self.read_store();
            self.release.site.advance(READ_INTERVAL.min(end - self.release.site.now));
        }
        self.read_store();
    }

    fn read_store(&mut self) {
        for index in 0..self.read.len() {
            if self.release.site.down.contains(&index) || self.without_store.contains(&index) {
                continue;
            }
            let records = self.log[self.read[index]..].to_vec();
            self.read[index] = self.log.len();
            let now = self.release.site.clock(index);
            let daemon = &mut self.release.site.daemons[index];
            let effects = daemon.deliver_records(now, Topic::Servers, &borrowed(&records));
            for (to, message) in self.release.site.execute_effects(index, effects) {
                self.release.site.apply(to, message);
            }
        }
    }

    /// Servers register or are removed.
    fn write(&mut self, records: &[(String, String)]) {
        self.log.extend_from_slice(records);
        self.read_store();
    }

    /// Cuts off a group of daemons from the store and from all others.
    fn cut_off(&mut self, group: &[usize]) {
        for other in (0..usize::from(DAEMONS)).filter(|other| !group.contains(other)) {
            for daemon in group {
                self.release.site.cut_links.extend([(*daemon, other), (other, *daemon)]);
            }
        }
        self.without_store.extend(group);
    }

    fn begin_trouble(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::CutOff => self.cut_off(&[OUT_OF_STEP]),
            Trouble::WithoutStore => {
                self.without_store.insert(OUT_OF_STEP);
            }
            Trouble::Frozen => {
                self.release.site.down.insert(OUT_OF_STEP);
            }
        }
    }

    fn end_trouble(&mut self) {
        self.release.site.cut_links.clear();
        self.without_store.clear();
        self.release.site.down.clear();
    }

    /// Begins a stream through one daemon and takes it up at another. Returns the versions of both answers; the latter is
    /// `None` if it is refused.
    fn begin_and_take_up(
        &mut self,
        begun_at: usize,
        taken_up_at: usize,
    ) -> (String, Option<String>) {
        let (key, begun) = self.release.begin(begun_at);
        let commands = self.release.take_up(taken_up_at, key, begun_at);
        (version(&begun.server).to_owned(), version_of(&commands).map(str::to_owned))
    }

    /// Checks that streams of the other daemons go on at `daemon` at their own version, or are refused. Returns how many
    /// went on, and how many began at v2.
    fn check_takeups(
        &mut self,
        daemon: usize,
        begun_at: &[usize],
        span: Duration,
    ) -> (usize, usize) {
        let (mut gone_on, mut newer) = (0, 0);
        let end = self.release.site.now + span;
        let mut begun_at = begun_at.iter().copied().cycle();
        while self.release.site.now < end {
            let at = begun_at.next().expect("there are daemons");
            let (begun, taken_up) = self.begin_and_take_up(at, daemon);
            assert!(taken_up.as_ref().is_none_or(|it| *it == begun), "{begun}, then {taken_up:?}");
            gone_on += usize::from(taken_up.is_some());
            newer += usize::from(begun == "v2");
            self.read_store();
        }
        (gone_on, newer)
    }
}

fn others(group: &[usize]) -> Vec<usize> {
    (0..usize::from(DAEMONS)).filter(|daemon| !group.contains(daemon)).collect()
}

/// A daemon that was cut off from all others went on for 1.5 s as if no other version had joined.
#[test]
fn stream_is_not_joined_of_two_versions_by_a_daemon_that_is_cut_off() {
    let mut newer = 0;
    for missed_ms in [0, 200, 600, 1_000, 1_400] {
        let mut stage = Stage::new();
        stage.begin_trouble(Trouble::CutOff);
        stage.advance(ms(missed_ms));
        stage.write(&engines("v2", 9));
        newer += stage.check_takeups(OUT_OF_STEP, &others(&[OUT_OF_STEP]), ms(9_000)).1;
        stage.end_trouble();
        stage.check_takeups(OUT_OF_STEP, &others(&[OUT_OF_STEP]), ms(3_000));
    }
    assert!(newer > 20, "{newer} streams began at v2");
}

/// A group that held half of the daemons took what its members saw for all that there is.
#[test]
fn stream_is_not_joined_of_two_versions_by_a_group_that_is_cut_off() {
    for group in [vec![1, 2, 3, 4], vec![1, 2, 3]] {
        let mut stage = Stage::new();
        stage.cut_off(&group);
        stage.advance(ms(200));
        stage.write(&engines("v2", 9));
        let (_, newer) = stage.check_takeups(OUT_OF_STEP, &others(&group), ms(12_000));
        assert!(newer > 0, "no stream began at v2");
        stage.end_trouble();
        stage.check_takeups(OUT_OF_STEP, &others(&group), ms(3_000));
    }
}

#[test]
fn stream_is_not_joined_of_two_versions_by_a_daemon_that_is_frozen_or_without_the_store() {
    for trouble in [Trouble::Frozen, Trouble::WithoutStore] {
        for frozen_ms in [200, 400, 600, 1_000, 2_000, 5_000] {
            let mut stage = Stage::new();
            stage.begin_trouble(trouble);
            stage.advance(ms(40));
            stage.write(&engines("v2", 9));
            let begun: Vec<(Key, Dispatch)> =
                others(&[OUT_OF_STEP]).into_iter().map(|at| stage.release.begin(at)).collect();
            stage.advance(ms(frozen_ms));
            // It goes on before anything has reached it.
            stage.release.site.down.clear();
            for (at, (key, begun)) in others(&[OUT_OF_STEP]).into_iter().zip(begun) {
                let commands = stage.release.take_up(OUT_OF_STEP, key, at);
                let taken_up = version_of(&commands);
                assert!(taken_up.is_none_or(|it| it == version(&begun.server)), "{trouble:?}");
            }
            stage.end_trouble();
            stage.check_takeups(OUT_OF_STEP, &others(&[OUT_OF_STEP]), ms(2_000));
        }
    }
}

/// The servers of the former version leave as those of the next join, so that there is no choice.
#[test]
fn stream_is_not_joined_of_two_versions_where_all_servers_are_replaced_at_once() {
    let mut stage = Stage::new();
    stage.advance(ms(200));
    stage.without_store.insert(OUT_OF_STEP);
    stage.write(&engines("v2", 9));
    stage.write(&removals(&engines("v1", 3)));
    stage.check_takeups(OUT_OF_STEP, &others(&[OUT_OF_STEP]), ms(4_000));
}

/// While all daemons know a new version, its servers get streams, and these go on anywhere.
#[test]
fn new_version_gets_streams_soon_while_all_daemons_are_in_step() {
    let mut stage = Stage::new();
    stage.write(&engines("v2", 9));
    stage.advance(ms(1_000));
    let streams: Vec<(String, Option<String>)> =
        (0..21).map(|number| stage.begin_and_take_up(number % 7, (number + 3) % 7)).collect();
    assert!(streams.iter().any(|(begun, _)| begun == "v2"), "{streams:?}");
    assert!(
        streams.iter().all(|(begun, taken_up)| taken_up.as_ref() == Some(begun)),
        "{streams:?}"
    );
}

/// A version that only some daemons know gets streams in the end, also while others stay silent.
#[test]
fn new_version_gets_streams_while_a_daemon_stays_silent() {
    let mut stage = Stage::new();
    stage.begin_trouble(Trouble::Frozen);
    stage.write(&engines("v2", 9));
    stage.advance(ms(5_500));
    let begun: Vec<Dispatch> =
        others(&[OUT_OF_STEP]).into_iter().map(|at| stage.release.begin(at).1).collect();
    assert!(begun.iter().any(|dispatch| version(&dispatch.server) == "v2"), "{begun:?}");
}

/// The store is down for all, and a daemon ends: its streams go on.
#[test]
fn stream_goes_on_while_the_store_is_down_and_its_daemon_has_ended() {
    let mut stage = Stage::new();
    stage.without_store.extend(0..usize::from(DAEMONS));
    stage.advance(ms(4_000));
    let before = stage.release.begin(2).0;
    stage.release.site.down.insert(2);
    let commands = stage.release.take_up(1, before, 2);
    assert_eq!(version_of(&commands), Some("v1"));
    stage.advance(ms(4_000));
    let (begun, taken_up) = stage.begin_and_take_up(3, 4);
    assert_eq!(taken_up, Some(begun));
}
