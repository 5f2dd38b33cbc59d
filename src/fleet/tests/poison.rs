//! Requests that crash servers, and requests that only ran beside them.

use super::site::{Cut, Site};
use super::world::*;
use crate::fleet::*;
use crate::poison::{self, Fingerprint};
use crate::prelude::*;
use crate::route::Repeat;

const CRASHING: Fingerprint = Fingerprint(u64::MAX);

fn engines(count: u8) -> Vec<(String, String)> {
    (0..count).map(|n| (format!("e-{n}"), format!("engine {} ready 1", 100 + n))).collect()
}

/// A site of `daemons` daemons and `count` engines.
fn site(daemons: u8, count: u8) -> Site {
    let engines = engines(count);
    let engines: Vec<(&str, &str)> =
        engines.iter().map(|(id, value)| (id.as_str(), value.as_str())).collect();
    Site::new(daemons, &engines)
}

/// Sends a request with this fingerprint to a daemon; returns its key.
fn send_request(site: &mut Site, daemon: usize, fingerprint: Fingerprint) -> Key {
    site.daemons[daemon].fingerprint = fingerprint;
    site.arrive(daemon, "engines", Repeat::AtMostOnce)
}

/// The next dispatch of a request to a running server; dispatches to ended servers fail as unsent.
fn next_live_dispatch(site: &mut Site, daemon: usize, key: Key) -> Option<Dispatch> {
    loop {
        let commands = site.commands(daemon, key);
        let [Command::Dispatch(dispatch)] = commands.as_slice() else { return None };
        if !site.crashed_servers.contains(&dispatch.address) {
            return Some(dispatch.clone());
        }
        site.report(daemon, key, dispatch.attempt, Report::Unsent);
    }
}

/// Sends a request that crashes its server; returns false if it is sent to none.
fn crashes_a_server(site: &mut Site, daemon: usize, fingerprint: Fingerprint) -> bool {
    let key = send_request(site, daemon, fingerprint);
    let Some(dispatch) = next_live_dispatch(site, daemon, key) else { return false };
    site.crashed_servers.insert(dispatch.address);
    site.report(daemon, key, dispatch.attempt, Report::Lost(Loss::Connection));
    site.advance(ms(400));
    true
}

fn refusal(site: &mut Site, daemon: usize, key: Key) -> Option<Code> {
    match site.commands(daemon, key).as_slice() {
        [Command::Refuse(code, after)] if *after > Duration::ZERO => Some(*code),
        _ => None,
    }
}

#[test]
fn request_that_crashed_three_servers_is_refused_by_all() {
    for daemons in [1, 3, 7, 50, 195] {
        let mut site = site(daemons, 8);
        let count = usize::from(daemons);
        let ended = (0..8).filter(|n| crashes_a_server(&mut site, n % count, CRASHING)).count();
        assert_eq!(ended, 3, "crashed servers at {daemons} daemons");
        for daemon in 0..count {
            let key = send_request(&mut site, daemon, CRASHING);
            let code = refusal(&mut site, daemon, key);
            assert_eq!(code, Some(Code::RequestBlocked), "daemon {daemon} of {daemons}");
        }
        let other = send_request(&mut site, 0, Fingerprint(1));
        site.only_dispatch(0, other);
    }
}

/// A crashing server may break its connections a moment before it closes its listening port: a probe 0.87 ms after
/// the break was still accepted. If no further probe follows and the store is down, the crash counts for nothing:
/// one request crashed four servers instead of three. With the port open for 20 ms, no crash counted, and six
/// attempts crashed six servers.
///
/// ```text
/// servers that it ended: {(502, Some("3001")), (503, Some("2010"))}: left: 4, right: 3
/// a first look, with looks written out: Accepted, 868.906µs after the break
/// ```
#[test]
fn crash_of_a_server_that_closes_its_port_last_counts_while_the_store_is_down() {
    let mut site = site(3, 8);
    let mut ended = 0;
    for n in 0..6 {
        let key = send_request(&mut site, n % 3, CRASHING);
        let Some(dispatch) = next_live_dispatch(&mut site, n % 3, key) else { continue };
        ended += 1;
        site.report(n % 3, key, dispatch.attempt, Report::Lost(Loss::Connection));
        site.crashed_servers.insert(dispatch.address);
        site.advance(ms(400));
    }
    assert_eq!(ended, 3, "crashed servers");
}

#[test]
fn lost_answer_of_a_running_server_is_no_crash() {
    let mut site = site(3, 5);
    for n in 0..10 {
        let key = send_request(&mut site, n % 3, CRASHING);
        let attempt = site.only_dispatch(n % 3, key).attempt;
        site.report(n % 3, key, attempt, Report::Lost(Loss::Connection));
        site.advance(ms(5_000));
    }
}

#[test]
fn malformed_answer_is_no_crash() {
    let mut site = site(3, 5);
    for n in 0..5 {
        let key = send_request(&mut site, n % 3, CRASHING);
        let sent = site.only_dispatch(n % 3, key);
        site.crashed_servers.insert(sent.address);
        site.report(n % 3, key, sent.attempt, Report::Lost(Loss::InvalidAnswer));
        site.advance(ms(5_000));
        site.crashed_servers.clear();
    }
}

#[test]
fn planned_stop_of_a_server_is_no_crash() {
    let mut site = site(1, 5);
    for _ in 0..4 {
        let key = send_request(&mut site, 0, CRASHING);
        let sent = site.only_dispatch(0, key);
        let last = sent.address.ip().to_string().rsplit('.').next().map(str::to_owned);
        let value =
            format!("engine {} draining 1", last.expect("an IPv4 address has four numbers"));
        let now = site.now;
        site.daemons[0].deliver_records(now, Topic::Servers, &[(&sent.server, &value)]);
        site.crashed_servers.insert(sent.address);
        site.report(0, key, sent.attempt, Report::Lost(Loss::Connection));
        site.advance(ms(1_000));
    }
    let key = send_request(&mut site, 0, CRASHING);
    site.only_dispatch(0, key);
}

#[test]
fn request_that_was_answered_since_is_not_blocked() {
    let mut site = site(3, 8);
    for n in 0..6 {
        assert!(crashes_a_server(&mut site, n % 3, CRASHING), "crash {n}");
        let key = send_request(&mut site, n % 3, CRASHING);
        let attempt = next_live_dispatch(&mut site, n % 3, key).expect("a server is left").attempt;
        site.report(n % 3, key, attempt, Report::Begun(Some(1)));
        site.report(n % 3, key, attempt, Report::Ended);
        site.advance(ms(100));
    }
}

#[test]
fn repeatable_request_is_not_repeated_after_the_third_crash() {
    let mut site = site(3, 8);
    assert!(crashes_a_server(&mut site, 0, CRASHING) && crashes_a_server(&mut site, 1, CRASHING));
    site.daemons[2].fingerprint = CRASHING;
    let key = site.arrive(2, "engines", Repeat::Resumable);
    let sent = next_live_dispatch(&mut site, 2, key).expect("a server is left");
    site.crashed_servers.insert(sent.address);
    site.report(2, key, sent.attempt, Report::Lost(Loss::Connection));
    assert_eq!(site.commands(2, key), [Command::GiveUp]);
}

#[test]
fn running_copies_end_with_the_block_unless_they_are_answered() {
    let mut site = site(3, 8);
    assert!(crashes_a_server(&mut site, 0, CRASHING));
    // After the second crash no further copy is sent beside these.
    let running = send_request(&mut site, 2, CRASHING);
    next_live_dispatch(&mut site, 2, running).expect("a server is left");
    let answered = send_request(&mut site, 1, CRASHING);
    let attempt = next_live_dispatch(&mut site, 1, answered).expect("a server is left").attempt;
    site.report(1, answered, attempt, Report::Begun(Some(1)));
    assert!(crashes_a_server(&mut site, 1, CRASHING));
    assert!(crashes_a_server(&mut site, 0, CRASHING));
    assert_eq!(site.commands(2, running), [Command::GiveUp], "the request may have run");
    assert_eq!(site.commands(1, answered), []);
}

#[test]
fn crashes_are_remembered_when_schedulers_stop_one_after_the_other() {
    let mut site = site(7, 8);
    let scheduler = site.scheduler("engines");
    assert!(crashes_a_server(&mut site, scheduler, CRASHING));
    for _ in 0..2 {
        let scheduler = site.scheduler("engines");
        site.down.insert(scheduler);
        site.advance(ms(4_000));
    }
    let mut ended = 1;
    for n in (0..7).cycle().take(28) {
        if !site.down.contains(&n) && crashes_a_server(&mut site, n, CRASHING) {
            ended += 1;
        }
    }
    assert_eq!(ended, 3, "crashed servers");
}

#[test]
fn restarted_daemon_learns_of_blocks_from_peers_or_the_store() {
    let mut site = site(3, 8);
    for n in 0..3 {
        assert!(crashes_a_server(&mut site, n, CRASHING));
    }
    let blocked = |daemon: &mut Daemon, now| {
        daemon.fingerprint = CRASHING;
        let (_, effects) = daemon.arrive(now, &route("engines", Repeat::AtMostOnce, 1), None);
        matches!(commands(&effects).as_slice(), [Command::Refuse(Code::RequestBlocked, _)])
    };
    let mut told = Daemon::with_servers(9, &[]);
    let digest = site.daemons[0].node.apply(site.now + ms(600), Message::Tick);
    for effect in digest {
        if let Effect::Send(_, frame @ Frame::Digest(_)) = effect {
            told.node.apply(ms(10), Message::Frame(frame));
        }
    }
    assert!(blocked(&mut told, ms(20)), "a digest carries blocks that are not in the store");
    assert!(
        site.block_writes.contains(&(CRASHING, true)),
        "a scheduler writes the block to the store"
    );
    let mut read = Daemon::with_servers(8, &[]);
    let record = format!("blocked {}", CRASHING.0);
    read.deliver_records(ms(10), Topic::Routers, &[(&format!("blocked-{}", CRASHING.0), &record)]);
    assert!(blocked(&mut read, ms(20)), "the store carries the block");
    read.deliver_records(ms(30), Topic::Routers, &[(&format!("blocked-{}", CRASHING.0), "")]);
    assert!(!blocked(&mut read, ms(40)), "an operator can remove the block from the store");
}

/// Guards against counting the day of a block from the read of its record: daemons that all restarted during that
/// day then kept the block for another day.
#[test]
fn stored_block_expires_a_day_after_it_was_made() {
    let hour = Duration::from_secs(3_600);
    for (hours, is_blocked) in [(22, true), (23, false), (25, false)] {
        let mut read = Daemon::with_servers(8, &[]);
        let record = format!("blocked {} {}", CRASHING.0, hours * 3_600);
        read.deliver_records(
            ms(10),
            Topic::Routers,
            &[(&format!("blocked-{}", CRASHING.0), &record)],
        );
        let effects = read.node.apply(hour + ms(10), Message::Tick);
        assert_eq!(
            read.node.poison.is_blocked(CRASHING),
            is_blocked,
            "{hours} h old when it was read"
        );
        let removed = effects.iter().any(|e| matches!(e, Effect::WriteBlock(CRASHING, None)));
        assert_eq!(removed, !is_blocked, "an expired block is removed from the store");
    }
}

/// Guards against blocks that never expire: if two daemons drop a block at different times, the first one must not
/// adopt it for another day from the other's digest.
#[test]
fn block_exchanged_by_daemons_expires_after_a_day() {
    let hour = Duration::from_secs(3_600);
    let mut site = site(2, 8);
    let start = site.now;
    let block = poison::Blocked { fingerprint: CRASHING, age: hour * 23 };
    let word = Frame::Poison(poison::Message::Blocked(vec![block]));
    site.daemons[0].node.apply(start, Message::Frame(word));
    let mut blocked_at_daemons = Vec::new();
    for at in [ms(600), hour, hour + ms(11_000), hour + ms(22_000)] {
        for (from, to) in [(0, 1), (1, 0)] {
            for effect in site.daemons[from].node.apply(start + at, Message::Tick) {
                if let Effect::Send(_, frame @ Frame::Digest(_)) = effect {
                    site.daemons[to].node.apply(start + at + ms(5), Message::Frame(frame));
                }
            }
        }
        blocked_at_daemons
            .push([0, 1].map(|n: usize| site.daemons[n].node.poison.is_blocked(CRASHING)));
    }
    assert_eq!(blocked_at_daemons.first(), Some(&[true, true]), "a digest carries the block");
    assert_eq!(blocked_at_daemons.last(), Some(&[false, false]), "{blocked_at_daemons:?}");
}

#[test]
fn blocks_are_written_until_the_store_shows_them() {
    let mut site = site(3, 8);
    for n in 0..3 {
        assert!(crashes_a_server(&mut site, n, CRASHING));
    }
    site.advance(ms(9_000));
    let tries = site.block_writes.len();
    assert!((3..=15).contains(&tries), "{tries} writes in an outage of nine seconds");
    let record = format!("blocked {}", CRASHING.0);
    let now = site.now;
    for daemon in &mut site.daemons {
        daemon.deliver_records(
            now,
            Topic::Routers,
            &[(&format!("blocked-{}", CRASHING.0), &record)],
        );
    }
    site.advance(ms(9_000));
    assert_eq!(site.block_writes.len(), tries);
}

#[test]
fn request_that_hangs_servers_is_blocked_once_their_restarts_are_seen() {
    let servers = [1, 2, 3, 4, 5, 6].map(|n| (format!("e-{n}"), 100 + n));
    let first: Vec<(String, String)> =
        servers.iter().map(|(id, n)| (id.clone(), format!("engine {n} ready 1 born:5"))).collect();
    let first: Vec<(&str, &str)> = first.iter().map(|(id, v)| (id.as_str(), v.as_str())).collect();
    let mut site = Site::new(3, &first);
    for round in 0..3 {
        let key = send_request(&mut site, round, CRASHING);
        let sent = site.only_dispatch(round, key);
        site.advance(ms(1_500));
        let n = servers
            .iter()
            .find(|(id, _)| *id == sent.server)
            .expect("the request went to one of the servers")
            .1;
        let value = format!("engine {n} ready 1 born:{}", 6 + round);
        let now = site.now;
        for daemon in 0..3 {
            let effects = site.daemons[daemon].deliver_records(
                now,
                Topic::Servers,
                &[(&sent.server, &value)],
            );
            for (to, message) in site.execute_effects(daemon, effects).into_iter().rev() {
                site.apply(to, message);
            }
        }
        site.apply(round, Message::Cancel(key));
        // The request runs for seconds: only if crashes are rare is its presence at each one no coincidence.
        site.advance(ms(30_000));
    }
    let key = send_request(&mut site, 0, CRASHING);
    assert_eq!(refusal(&mut site, 0, key), Some(Code::RequestBlocked));
}

/// Has requests break at several servers when the path of the daemon that placed them to all servers
/// is cut; returns the number of interruptions by ends of servers that are believed.
fn interruptions_seen_in_a_cut(cut: Cut) -> usize {
    let mut site = site(3, 8);
    let scheduler = site.scheduler("engines");
    let mut sent = Vec::new();
    for n in 0..3 {
        let key = send_request(&mut site, scheduler, Fingerprint(100 + n));
        sent.push((key, site.only_dispatch(scheduler, key).attempt));
    }
    site.cuts.insert(scheduler, cut);
    for (key, attempt) in sent {
        site.report(scheduler, key, attempt, Report::Lost(Loss::Connection));
    }
    site.advance(ms(2_000));
    let believed = |daemon: &Daemon| daemon.node.poison.interruptions(site.now).len();
    site.daemons.iter().map(believed).sum()
}

#[test]
fn refusals_of_a_path_that_is_cut_are_no_ends_of_servers() {
    assert_eq!(interruptions_seen_in_a_cut(Cut::Reset), 0);
    assert_eq!(interruptions_seen_in_a_cut(Cut::OnlyNew), 0);
}
