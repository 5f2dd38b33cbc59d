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
    let record = |daemon: &str, after, body| Record::new(daemon, 1, 1, after, body).encode();
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
