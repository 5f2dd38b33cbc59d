//! A change of the daemon that schedules a pool.

use super::*;

/// Use of a workspace of weight 1.
fn usage(workspace: &str, given_ms_per_s: f64) -> Usage {
    Usage { workspace: workspace.into(), weight: Weight::ONE, given_ms_per_s, waiting_ms: 0.0 }
}

#[test]
fn adopt_who_took_most_starts_behind() {
    // The former scheduler gave one workspace six times what it gave others; all ask for all the room.
    let names = ["hot", "a", "b"];
    let mut pool = pool();
    pool.ledger.adopt(ms(0), &[usage("hot", 6_000.0), usage("a", 1_000.0), usage("b", 1_000.0)]);
    let loads = names.map(|name| load(name, 600));
    // Half a second of its share, which is a third of the room, is served to the other two in a third
    // of a second. The eight servers are idle at first and take what comes.
    pool.run(&loads, ms(300));
    assert!(pool.served("hot") <= 8, "{}", pool.served("hot"));
    pool.run(&loads, ms(200));
    let before = pool.served("hot");
    assert!(before > 0);
    pool.run(&loads, ms(3_000));
    let hot_per_s = (pool.served("hot") - before) as f64 / 3.0;
    assert!(is_near(hot_per_s, 400.0 / 3.0), "{hot_per_s}");
}

#[test]
fn adopt_returners_start_behind_too() {
    let mut ledger = Ledger::default();
    ledger.adopt(ms(0), &[usage("hot", 6_000.0), usage("a", 1_000.0)]);
    let back = ledger.join(ms(0), &Claim { returns: true, ..load("hot", 1).claim() });
    assert!(ledger.join(ms(0), &load("a", 1).claim()) < back);
}

#[test]
fn adopt_leaves_no_server_idle() {
    // Who took most is the only one that asks now.
    let mut pool = pool();
    pool.ledger.adopt(ms(0), &[usage("hot", 6_000.0), usage("a", 1_000.0)]);
    pool.run(&[load("hot", 600)], ms(1_000));
    assert!(pool.served("hot") >= 360, "{}", pool.served("hot"));
}

#[test]
fn adopt_again_replaces() {
    // Each digest of the former scheduler is adopted; they don't add up, and an old one is forgotten.
    let once = |reports: &[&[Usage]]| {
        let mut ledger = Ledger::default();
        reports.iter().for_each(|report| ledger.adopt(ms(0), report));
        ledger.join(ms(0), &load("hot", 1).claim())
    };
    let report = [usage("hot", 6_000.0), usage("a", 1_000.0)];
    let first = once(&[&report]);
    assert!(first > Start(0));
    assert_eq!(once(&[&report, &report, &report]), first);
    assert_eq!(once(&[&report, &[usage("hot", 1_000.0), usage("a", 1_000.0)]]), Start(0));
    let mut ledger = Ledger::default();
    ledger.adopt(ms(0), &report);
    assert_eq!(ledger.join(ms(10_000), &load("hot", 1).claim()), Start(0));
}

#[test]
fn adopt_behind_at_most_half_a_second_of_its_share() {
    for given_ms_per_s in [3_000.0, 1e6, 1e300, f64::MAX] {
        let mut ledger = Ledger::default();
        ledger.adopt(ms(0), &[usage("hot", given_ms_per_s), usage("a", 1_000.0)]);
        let Start(behind_us) = ledger.join(ms(0), &load("hot", 1).claim());
        let share_ms = (given_ms_per_s + 1_000.0) / 2.0;
        assert!(behind_us as f64 <= share_ms * 500.0, "{given_ms_per_s}: {behind_us}");
    }
}

#[test]
fn adopt_any_number() {
    let mut ledger = Ledger::default();
    for given in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 0.0, f64::MAX] {
        ledger.adopt(ms(0), &[usage("hot", given), usage("a", given), usage("b", 0.0)]);
        let claim = load("hot", 1).claim();
        let start = ledger.join(ms(0), &claim);
        // Years of such words leave the virtual time in its range.
        assert!(start.0 < u64::MAX >> 20, "{given}: {start:?}");
        ledger.leave(ms(0), &claim, start);
        assert!(ledger.top(ms(0), 8).iter().all(|usage| usage.given_ms_per_s.is_finite()));
    }
}

#[test]
fn two_ledgers_give_at_most_a_share_each() {
    // For two seconds two daemons place requests for half of the servers each, and the requests of
    // each workspace come to both; at one of them only the hot workspace knows that daemon.
    let mut halves = [Pool::new(4), Pool::new(4)];
    let loads = [load("hot", 300), load("a", 100), load("b", 100)];
    halves[0].run(&loads, ms(2_000));
    halves[1].run(&loads[..1], ms(2_000));
    let served = |name: &str| halves.iter().map(|half| half.served(name)).sum::<usize>() as f64;
    // A workspace gets its share at one daemon, and at the other at most all that no one asks for.
    assert!(served("hot") <= (200.0 * 2.0) + (200.0 / 3.0 * 2.0) * 1.1, "{}", served("hot"));
    assert!(is_near(served("a"), 200.0 / 3.0 * 2.0), "{}", served("a"));
    // Where all come to both, each gets its share, as from one daemon.
    let mut halves = [Pool::new(4), Pool::new(4)];
    halves.iter_mut().for_each(|half| half.run(&loads, ms(2_000)));
    for name in ["hot", "a", "b"] {
        let served: usize = halves.iter().map(|half| half.served(name)).sum();
        assert!(is_near(served as f64, 400.0 / 3.0 * 2.0), "{name}: {served}");
    }
}
