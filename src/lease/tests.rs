//! Tests of the lease. Seeded histories never have two holders, and fences never decrease.

use super::*;

const TTL: Duration = Terms::DEFAULT.ttl;
const MARGIN: Duration = Terms::DEFAULT.margin;

const DAEMON_COUNT: usize = 3;

/// Runs daemons that pause and whose records may be lost or delayed.
fn run_history(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut states: Vec<State> = (0..DAEMON_COUNT)
        .map(|index| State::new(format!("router-{index}"), seed, Terms::DEFAULT))
        .collect();
    let mut log: Vec<String> = Vec::new();
    let mut delayed: Vec<String> = Vec::new();
    let mut paused = [Time::ZERO; DAEMON_COUNT];
    let mut now = Time::ZERO;
    let mut max_fence = None;
    let mut held_count = 0;
    for _ in 0..3_000 {
        now += Duration::from_millis(rng.u64(0..100));
        let index = rng.usize(0..DAEMON_COUNT);
        if rng.u32(0..200) == 0 {
            paused[index] = now + Duration::from_millis(rng.u64(0..15_000));
        }
        if rng.u32(0..20) == 0 && !delayed.is_empty() {
            let record = delayed.swap_remove(rng.usize(0..delayed.len()));
            log.push(record);
        }
        if now < paused[index] {
            continue;
        }
        // A holder checks its clock before it acts. No other daemon may act at the same time.
        let holders: Vec<u64> = states.iter().filter_map(|state| state.fence(now)).collect();
        assert!(holders.len() <= 1, "seed {seed}: {holders:?} hold the lease at the same time");
        if let Some(fence) = holders.first() {
            held_count += 1;
            assert!(Some(*fence) >= max_fence, "seed {seed}: fence {fence} after {max_fence:?}");
            max_fence = Some(*fence);
        }
        let state = &mut states[index];
        match rng.u32(0..3) {
            0 => {
                if let Some(record) = state.due_record(now, rng.bool()) {
                    match rng.u32(0..10) {
                        0 => {}
                        1 => delayed.push(record.encode()),
                        _ => log.push(record.encode()),
                    }
                }
            }
            _ => {
                let next = state.next() as usize;
                for (offset, text) in log.iter().enumerate().skip(next).take(rng.usize(0..4)) {
                    state.fold(now, offset as u64, text).expect("the record is valid");
                }
            }
        }
    }
    assert!(held_count > 100, "seed {seed}: the lease was held at 100 steps or fewer");
}

#[test]
fn history_has_one_holder_and_growing_fences() {
    for seed in 0..300 {
        run_history(seed);
    }
}

/// Records are kept for this time.
const RETENTION: Duration = Duration::from_secs(20);

/// A log that drops old records, and daemons that pause, start again, and do not always need the lease.
struct Site {
    rng: fastrand::Rng,
    now: Time,
    states: Vec<State>,
    /// Records and when they were appended; the first ones are dropped.
    log: Vec<(Time, String)>,
    dropped: usize,
    /// Records that are appended later.
    delayed: Vec<String>,
    paused_until: Vec<Time>,
    started: u64,
    max_fence: Option<u64>,
    held: usize,
}

impl Site {
    fn new(seed: u64, daemons: usize) -> Self {
        let mut site = Self {
            rng: fastrand::Rng::with_seed(seed),
            now: Time::ZERO,
            states: Vec::new(),
            log: Vec::new(),
            dropped: 0,
            delayed: Vec::new(),
            paused_until: vec![Time::ZERO; daemons],
            started: 0,
            max_fence: None,
            held: 0,
        };
        for index in 0..daemons {
            let state = site.start(index);
            site.states.push(state);
        }
        site
    }

    fn start(&mut self, index: usize) -> State {
        self.started += 1;
        State::new(format!("router-{index}"), self.started, Terms::DEFAULT)
    }

    /// One daemon reads or writes, pauses or starts again.
    fn step(&mut self, is_needed: bool) {
        self.now += Duration::from_millis(self.rng.u64(0..100));
        while self.log.get(self.dropped).is_some_and(|(at, _)| self.now >= *at + RETENTION) {
            self.dropped += 1;
        }
        let index = self.rng.usize(..self.states.len());
        match self.rng.u32(0..400) {
            0 => {
                self.paused_until[index] = self.now + Duration::from_millis(self.rng.u64(..30_000))
            }
            1 => self.states[index] = self.start(index),
            2..20 if !self.delayed.is_empty() => {
                let record = self.delayed.swap_remove(self.rng.usize(..self.delayed.len()));
                self.log.push((self.now, record));
            }
            _ => {}
        }
        if self.now < self.paused_until[index] {
            return;
        }
        self.check_holders();
        if self.rng.u32(0..3) == 0 {
            self.write(index, is_needed);
        } else {
            self.read(index);
        }
    }

    fn check_holders(&mut self) {
        let fences = self.states.iter().filter_map(|state| state.fence(self.now));
        let fences: Vec<u64> = fences.collect();
        assert!(fences.len() <= 1, "{fences:?} hold the lease at the same time");
        if let Some(fence) = fences.first() {
            self.held += 1;
            assert!(Some(*fence) >= self.max_fence, "fence {fence} after {:?}", self.max_fence);
            self.max_fence = Some(*fence);
        }
    }

    fn write(&mut self, index: usize, is_needed: bool) {
        let is_candidate = is_needed && self.rng.bool();
        // A daemon writes nothing before its first read.
        let has_read = self.states[index].next() >= self.dropped as u64;
        if !has_read || !is_needed {
            return;
        }
        let Some(record) = self.states[index].due_record(self.now, is_candidate) else { return };
        match self.rng.u32(0..10) {
            0 => {}
            1 => self.delayed.push(record.encode()),
            _ => self.log.push((self.now, record.encode())),
        }
    }

    fn read(&mut self, index: usize) {
        let state = &mut self.states[index];
        state.skip_to(self.dropped as u64);
        let next = state.next() as usize;
        let count = self.rng.usize(0..8);
        for (offset, (_, text)) in self.log.iter().enumerate().skip(next).take(count) {
            state.fold(self.now, offset as u64, text).expect("the record is valid");
        }
    }
}

/// A daemon that started after all records had been dropped, and one that knew the last of them, accepted different takes
/// from then on.
#[test]
fn history_whose_records_are_dropped_has_one_holder() {
    for daemons in [2, 3, 7] {
        for seed in 0..50 {
            let mut site = Site::new(seed, daemons);
            for step in 0..6_000 {
                // For 60 s at a time nothing is ordered, and all records are dropped.
                site.step(step / 1_200 % 2 == 0);
            }
            assert!(site.held > 100, "{daemons} daemons, seed {seed}: held at {} steps", site.held);
        }
    }
}

/// Two daemons: the last record is dropped, and one of them starts again.
#[test]
fn holder_that_starts_after_its_records_were_dropped_is_the_only_one() {
    let mut states = [
        State::new("router-0".into(), 1, Terms::DEFAULT),
        State::new("router-1".into(), 2, Terms::DEFAULT),
    ];
    let now = Duration::from_secs(10);
    let take = states[0].due_record(now, true).expect("the lease is free").encode();
    for state in &mut states {
        state.fold(now, 0, &take);
    }
    let later = now + RETENTION + Duration::from_secs(10);
    states[0] = State::new("router-0".into(), 3, Terms::DEFAULT);
    let mut log = Vec::new();
    for (index, state) in states.iter_mut().enumerate() {
        state.skip_to(1);
        let take = state.due_record(later, true);
        log.push(take.unwrap_or_else(|| panic!("the lease is free for {index}")).encode());
    }
    for (offset, text) in (1..).zip(&log) {
        for state in &mut states {
            state.fold(later, offset, text);
        }
    }
    let fences = states.iter().filter_map(|state| state.fence(later));
    assert_eq!(fences.collect::<Vec<u64>>(), [1]);
}

#[test]
fn fence_of_paused_holder_expires_by_its_own_clock() {
    let mut state = State::new("router-0".into(), 1, Terms::DEFAULT);
    let start = Duration::from_secs(10);
    let take = state.due_record(start, true).expect("the lease is free");
    state.fold(start, 0, &take.encode());
    assert_eq!(state.fence(start), Some(0));
    let early = start + TTL - MARGIN;
    assert_eq!(state.fence(early - Duration::from_millis(1)), Some(0));
    // The process was frozen until now. By its own clock, its lease has expired.
    assert_eq!(state.fence(early), None);
    assert!(!state.is_settled(early) && state.is_settled(start + TTL));
}

#[test]
fn fold_second_take_is_rejected() {
    let mut states = [
        State::new("router-0".into(), 1, Terms::DEFAULT),
        State::new("router-1".into(), 2, Terms::DEFAULT),
    ];
    let now = Duration::from_secs(10);
    let takes: Vec<Record> =
        states.iter_mut().filter_map(|state| state.due_record(now, true)).collect();
    assert_eq!(takes.len(), 2);
    for state in &mut states {
        for (offset, take) in takes.iter().enumerate() {
            state.fold(now, offset as u64, &take.encode());
        }
    }
    assert_eq!(states[0].fence(now), Some(0));
    assert_eq!(states[1].fence(now), None);
}

#[test]
fn fold_after_retention_recovers_holder() {
    let record = |daemon: &str, after, body| Record::new(daemon, 1, 1, after, None, body).encode();
    let mut state = State::new("router-9".into(), 1, Terms::DEFAULT);
    state.skip_to(10);
    // Daemons that know the dropped records rejected the first remaining record, since it names a
    // record that was no longer the last.
    state.fold(Time::ZERO, 10, &record("loser", Some(3), Body::Take));
    state.fold(Time::ZERO, 11, &record("holder", Some(9), Body::Renew { fence: 5 }));
    state.fold(Time::ZERO, 12, &record("holder", Some(11), Body::Renew { fence: 5 }));
    let holder = state.holder().expect("a daemon holds the lease");
    assert_eq!((holder.daemon.as_str(), holder.fence), ("holder", 5));
    state.fold(Time::ZERO, 13, &record("loser", Some(3), Body::Take));
    assert_eq!(state.holder().map(|holder| holder.fence), Some(5));
}

quickcheck::quickcheck! {
    fn fold_any_text(texts: Vec<String>) -> bool {
        let mut state = State::new("router-0".into(), 1, Terms::DEFAULT);
        for (offset, text) in texts.iter().enumerate() {
            state.fold(Time::ZERO, offset as u64, text);
        }
        state.holder().is_none()
    }
}
