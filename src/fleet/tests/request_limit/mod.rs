//! Servers that state how many requests per second they take from all daemons together.

use super::day::{self, Day, Fault, Setup};
use super::site::Site;
use super::world::*;
use crate::fleet::request_limit::rate;
use crate::fleet::share::Share;
use crate::fleet::*;
use crate::prelude::*;
use crate::route::Repeat;

const ENGINES: Setup = Setup {
    daemons: 12,
    servers: 18,
    pool: "engines",
    repeat: Repeat::Resumable,
    calls_per_s: 120,
};
const PLAIN: Setup = Setup { pool: "plain", repeat: Repeat::Idempotent, ..ENGINES };

/// Seeds of the days with all faults.
fn seeds() -> std::ops::Range<u64> {
    day::seeds("LIMIT_SEEDS", 0..2)
}

/// The number of daemons.
fn daemons() -> u8 {
    day::daemons("LIMIT_DAEMONS", ENGINES.daemons)
}

/// Returns whether no server with a limit got too much, and prints the one that got most for what it takes.
fn is_kept(day: &Day, name: &str) -> bool {
    let excess = day.limits.max_excess();
    println!("{name}: {excess}, {} answered", day.answered());
    excess.arrivals <= excess.allowed
}

#[test]
fn servers_get_no_more_than_they_take_while_others_have_room() {
    for (setup, limit) in [(ENGINES, 1.7), (ENGINES, 0.3), (ENGINES, 6.0), (PLAIN, 1.7)] {
        let name = format!("{limit} at {}", setup.pool);
        let mut day = Day::new(Setup { daemons: daemons(), ..setup }, 1);
        day.play(Duration::from_secs(2), &[]);
        day.set_limit(0..4, Some(limit));
        day.play(Duration::from_secs(14), &[]);
        assert!(is_kept(&day, &name));
        let used = day.limits.use_of_limits(day.now());
        assert!(used > 0.5, "{name}: {used:.2} of the limits are used");
        assert!(day.answered() > 1_800, "{name}: {} answered", day.answered());
    }
}

#[test]
fn servers_get_no_more_than_they_take_through_all_faults() {
    let broken = seeds().filter(|seed| {
        let mut day = Day::new(Setup { daemons: daemons(), ..ENGINES }, *seed);
        day.play(Duration::from_secs(1), &[]);
        day.set_limit(0..6, Some(1.7));
        day.play(Duration::from_secs(10), &Fault::ALL);
        day.set_limit(6..12, Some(0.8));
        day.play(Duration::from_secs(10), &Fault::ALL);
        !is_kept(&day, &format!("seed {seed}"))
    });
    assert_eq!(broken.collect::<Vec<u64>>(), Vec::<u64>::new());
}

#[test]
fn servers_get_no_more_than_they_take_while_all_are_limited_and_daemons_fail() {
    let broken = seeds().filter(|seed| {
        let mut day = Day::new(Setup { daemons: daemons(), ..ENGINES }, *seed);
        day.play(Duration::from_secs(1), &[]);
        day.set_limit(0..18, Some(1.7));
        day.play(Duration::from_secs(20), &Fault::OF_DAEMONS);
        !is_kept(&day, &format!("seed {seed}, all limited"))
    });
    assert_eq!(broken.collect::<Vec<u64>>(), Vec::<u64>::new());
}

#[test]
fn rates_of_986_daemons_stay_within_what_a_server_takes() {
    let daemons = 986;
    for server in 0..200 {
        let server = format!("s-{server}");
        let others = (0..daemons).map(|position| Share::Other { position, daemons });
        let schedulers = (0..3).map(Share::Scheduler);
        let rates: Vec<f64> =
            schedulers.chain(others).map(|share| rate(share, 1.7, &server)).collect();
        // Half more than the limit is allowed at most.
        assert!(rates.iter().sum::<f64>() <= 1.5 * 1.7);
        // Each daemon with a rate may send a request at once; five more than the limit are allowed.
        assert!(rates.iter().filter(|rate| **rate > 0.0).count() <= 5);
    }
}

#[test]
fn limit_that_one_daemon_got_is_known_to_all_and_binds_its_server_alone() {
    let engines = [("e-1", "engine 101 ready 1"), ("e-2", "engine 102 ready 1")];
    let mut site = Site::new(12, &engines);
    let key = site.arrive(3, "engines", Repeat::Idempotent);
    let dispatch = site.only_dispatch(3, key);
    let stated = |request_limit| Message::Stated {
        request: key,
        attempt: dispatch.attempt,
        statement: Statement { request_limit, ..Statement::default() },
    };
    site.apply(3, stated(RequestLimit::PerSecond(1.7)));
    site.report(3, key, dispatch.attempt, Report::Begun(None));
    site.advance(ms(1_000));
    let known = |site: &Site, daemon: usize| -> Vec<Option<f64>> {
        let node = &site.daemons[daemon].node;
        let keys = engines.map(|(id, _)| Incarnation::new(id, 0));
        let limits = keys.iter().filter_map(|id| node.incarnations.server(id));
        limits.map(|server| node.request_limit(server)).collect()
    };
    let expected = match dispatch.server.as_str() {
        "e-1" => [Some(1.7), None],
        _ => [None, Some(1.7)],
    };
    for daemon in 0..12 {
        assert_eq!(known(&site, daemon), expected, "daemon {daemon}");
    }
    site.apply(3, stated(RequestLimit::Ended));
    site.advance(ms(1_000));
    for daemon in 0..12 {
        assert_eq!(known(&site, daemon), [None, None], "daemon {daemon}");
    }
}

#[test]
fn digests_stay_bounded_when_many_servers_state_limits() {
    let servers: Vec<(String, String)> =
        (0..200).map(|n| (format!("e-{n}"), format!("engine {} ready 1", n % 250))).collect();
    let mut site = Site::new(3, &borrowed(&servers));
    let statements = servers.iter().map(|(id, _)| LimitStatement {
        server: Incarnation::new(id, 0),
        per_s: Some(1.7),
        age: ms(0),
    });
    let digest = Digest {
        daemon: "router-3".into(),
        address: address(3).to_string(),
        limit_statements: statements.collect(),
        ..Digest::default()
    };
    for daemon in 0..2 {
        site.apply(daemon, Message::Frame(Frame::Digest(Box::new(digest.clone()))));
        let (now, node) = (site.clock(daemon), &site.daemons[daemon].node);
        let limited = servers.iter().filter_map(|(id, _)| node.incarnations.registered(id));
        assert_eq!(limited.filter(|key| node.request_limit(*key).is_some()).count(), 200);
        assert!(node.digest(now).limit_statements.len() <= 64);
    }
}

#[test]
fn requests_that_no_server_takes_are_refused_at_once() {
    let mut day = Day::new(Setup { daemons: daemons(), ..ENGINES }, 1);
    day.play(Duration::from_secs(2), &[]);
    day.set_limit(0..18, Some(1.7));
    day.play(Duration::from_secs(4), &[]);
    day.take_refusals();
    day.play(Duration::from_secs(8), &[]);
    assert!(is_kept(&day, "all servers"));
    let refused = day.take_refusals();
    let at_once = refused.iter().filter(|after| **after <= Duration::from_millis(40)).count();
    let used = day.limits.use_of_limits(day.now());
    println!("{at_once} of {} refused at once, {used:.2} of the limits used", refused.len());
    assert!(refused.len() > 500 && at_once * 10 >= refused.len() * 8);
    assert!(used > 0.5);
}

#[test]
fn limit_ends_with_an_answer_that_does_not_state_it() {
    let mut day = Day::new(Setup { daemons: daemons(), ..ENGINES }, 1);
    day.play(Duration::from_secs(1), &[]);
    day.set_limit(0..18, Some(0.5));
    day.play(Duration::from_secs(8), &[]);
    day.set_limit(0..18, None);
    day.play(Duration::from_secs(4), &[]);
    let before = day.answered();
    day.play(Duration::from_secs(4), &[]);
    let answered = day.answered() - before;
    assert!(answered > 400, "{answered} of some 480 answered after the limits have ended");
}
