//! Placement of requests by a scheduler for other daemons, and its failures.

use super::site::Site;
use super::world::*;
use crate::fleet::*;
use crate::prelude::*;
use crate::route::Repeat;

const SERVERS: [(&str, &str); 3] =
    [("s-1", "plain 101 ready"), ("s-2", "plain 102 ready"), ("s-3", "plain 103 ready")];

#[test]
fn submit_burst_at_many_daemons_balanced() {
    // Each of twelve daemons gets a request within a millisecond, before any state exchange; six slots.
    let mut site = Site::new(12, &SERVERS);
    let keys: Vec<Key> =
        (0..12).map(|index| site.arrive(index, "plain", Repeat::AtMostOnce)).collect();
    let mut sent: BTreeMap<String, usize> = BTreeMap::new();
    let mut waiting = Vec::new();
    for (index, key) in keys.iter().enumerate() {
        match site.commands(index, *key).as_slice() {
            [Command::Dispatch(dispatch)] => *sent.entry(dispatch.server.clone()).or_default() += 1,
            [] => waiting.push((index, *key)),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(sent.values().copied().collect::<Vec<usize>>(), [2, 2, 2], "{sent:?}");
    assert_eq!(waiting.len(), 6);
    // Waiting requests are refused at their daemons before their deadline, with a retry-after time.
    site.advance(ms(400));
    for (index, key) in waiting {
        let commands = site.commands(index, key);
        assert!(matches!(commands.as_slice(), [Command::Refuse(_, after)] if *after > ms(0)));
    }
}

#[test]
fn report_updates_scheduler() {
    let mut site = Site::new(6, &SERVERS);
    let (scheduler, other) = (site.scheduler("plain"), site.non_scheduler());
    let key = site.arrive(other, "plain", Repeat::Idempotent);
    let first = site.only_dispatch(other, key);
    assert_eq!((site.running(scheduler), site.running(other)), (1, 0));
    // The server refuses the request and the scheduler assigns another.
    site.report(other, key, first.attempt, Report::Refused(Refusal::Busy));
    let second = site.only_dispatch(other, key);
    assert_ne!(first.server, second.server);
    site.report(other, key, second.attempt, Report::Begun(None));
    site.report(other, key, second.attempt, Report::Ended);
    assert_eq!(site.running(scheduler), 0);
    assert_eq!(
        (site.daemons[scheduler].node.open_requests(), site.daemons[other].node.open_requests()),
        (0, 0)
    );
}

#[test]
fn queue_again_stays_with_scheduler() {
    let mut site = Site::new(6, &[("s-1", "plain 101 ready")]);
    let (scheduler, other) = (site.scheduler("plain"), site.non_scheduler());
    let key = site.arrive(other, "plain", Repeat::Idempotent);
    let first = site.only_dispatch(other, key);
    // The only server refuses and is skipped for a moment, so the request waits at the scheduler.
    site.report(other, key, first.attempt, Report::Refused(Refusal::Busy));
    site.advance(ms(100));
    assert_eq!(site.unscheduled(other), 0, "the scheduler reported the request as queued");
    site.advance(ms(150));
    assert_eq!(site.only_dispatch(other, key).attempt, 2);
    assert_eq!((site.running(scheduler), site.running(other)), (1, 0));
}

#[test]
fn cancel_frees_slot_at_scheduler() {
    let mut site = Site::new(6, &SERVERS);
    let (scheduler, other) = (site.scheduler("plain"), site.non_scheduler());
    let key = site.arrive(other, "plain", Repeat::Idempotent);
    site.apply(other, Message::Cancel(key));
    assert_eq!((site.running(scheduler), site.daemons[scheduler].node.open_requests()), (0, 0));
}

#[test]
fn submit_silent_scheduler_sent_within_100_ms() {
    let mut site = Site::new(6, &SERVERS);
    let (scheduler, other) = (site.scheduler("plain"), site.non_scheduler());
    site.down.insert(scheduler);
    let first = site.arrive(other, "plain", Repeat::AtMostOnce);
    assert!(site.commands(other, first).is_empty());
    site.advance(ms(100));
    site.only_dispatch(other, first);
    assert_eq!(site.unscheduled(other), 1);
    // The next request goes to another scheduler immediately.
    let next = site.arrive(other, "plain", Repeat::AtMostOnce);
    site.only_dispatch(other, next);
    assert_eq!(site.unscheduled(other), 1);
    // After some seconds all daemons agree on the successor.
    site.advance(ms(4_000));
    let successor = site.scheduler("plain");
    assert_ne!(successor, scheduler);
}

#[test]
fn verdict_late_ignored_and_slot_freed() {
    let mut site = Site::new(6, &SERVERS);
    let (scheduler, other) = (site.scheduler("plain"), site.non_scheduler());
    let route = route("plain", Repeat::AtMostOnce, 1);
    let (key, effects) = site.daemons[other].arrive(site.now, &route, None);
    let submitted = site.execute_effects(other, effects);
    site.advance(ms(100));
    site.only_dispatch(other, key);
    for (to, message) in submitted {
        site.apply(to, message);
    }
    assert!(site.commands(other, key).is_empty(), "the request was already sent");
    assert_eq!(site.running(scheduler), 0);
}

#[test]
fn verdict_after_possible_run_ignored() {
    let mut site = Site::new(6, &SERVERS);
    let (scheduler, other) = (site.scheduler("plain"), site.non_scheduler());
    let key = site.arrive(other, "plain", Repeat::AtMostOnce);
    let sent = site.only_dispatch(other, key);
    let daemon = format!("router-{}", scheduler + 1);
    let assignment = Assignment {
        attempt: 2,
        server: Incarnation::new("s-2", 0),
        address: address(102),
        prefill_tokens: 0,
        cache_salt: None,
        weights_version: None,
        fetch_from: None,
        save_to: None,
        has_limit: false,
    };
    let verdict = Verdict { daemon, request: key, decision: Decision::Send(assignment) };
    site.apply(other, Message::Frame(Frame::Verdict(Box::new(verdict.clone()))));
    assert!(site.commands(other, key).is_empty());
    site.report(other, key, sent.attempt, Report::Lost(Loss::Connection));
    assert_eq!(site.commands(other, key), [Command::GiveUp]);
    site.apply(other, Message::Frame(Frame::Verdict(Box::new(verdict))));
    assert!(site.commands(other, key).is_empty());
    assert_eq!(site.running(scheduler), 0);
}

#[test]
fn scheduler_down_request_continues() {
    let mut site = Site::new(6, &SERVERS);
    let (scheduler, other) = (site.scheduler("plain"), site.non_scheduler());
    let key = site.arrive(other, "plain", Repeat::Idempotent);
    let sent = site.only_dispatch(other, key);
    site.down.insert(scheduler);
    site.advance(ms(3_000));
    assert_eq!(
        site.running(other),
        1,
        "the daemon counts the request itself after the scheduler is gone"
    );
    site.report(other, key, sent.attempt, Report::Lost(Loss::Connection));
    let again = site.only_dispatch(other, key);
    assert_eq!(again.attempt, sent.attempt + 1);
    site.report(other, key, again.attempt, Report::Ended);
    assert_eq!((site.running(other), site.daemons[other].node.open_requests()), (0, 0));
}

#[test]
fn stop_scheduler_returns_queued() {
    let mut site = Site::new(6, &[("s-1", "plain 101 ready")]);
    let (scheduler, other) = (site.scheduler("plain"), site.non_scheduler());
    for _ in 0..2 {
        site.arrive(scheduler, "plain", Repeat::AtMostOnce);
    }
    let waiting = site.arrive(other, "plain", Repeat::AtMostOnce);
    assert!(site.commands(other, waiting).is_empty());
    site.apply(scheduler, Message::Stop);
    // The receiving daemon decides: the digest of the stopping daemon shows no free capacity.
    site.advance(ms(400));
    let commands = site.commands(other, waiting);
    assert!(matches!(commands.as_slice(), [Command::Refuse(..)]), "{commands:?}");
    let next = site.scheduler("plain");
    assert_ne!(next, scheduler);
}

#[test]
fn stop_deadline_refuses_queued_at_scheduler() {
    let mut site = Site::new(6, &[("s-1", "plain 101 ready")]);
    let (scheduler, other) = (site.scheduler("plain"), site.non_scheduler());
    for _ in 0..2 {
        site.arrive(scheduler, "plain", Repeat::AtMostOnce);
    }
    let waiting = site.arrive(other, "plain", Repeat::AtMostOnce);
    site.apply(other, Message::Stop);
    assert!(site.commands(other, waiting).is_empty());
    site.apply(other, Message::StopDeadline);
    let commands = site.commands(other, waiting);
    assert!(matches!(commands.as_slice(), [Command::Refuse(Code::Draining, _)]), "{commands:?}");
    assert_eq!(
        site.daemons[scheduler].node.open_requests(),
        2,
        "the scheduler no longer queues the request"
    );
}

#[test]
fn restart_clears_submissions_at_scheduler() {
    let mut site = Site::new(6, &SERVERS);
    let (scheduler, other) = (site.scheduler("plain"), site.non_scheduler());
    site.arrive(other, "plain", Repeat::Idempotent);
    assert_eq!(site.running(scheduler), 1);
    let digest = Digest {
        daemon: format!("router-{}", other + 1),
        address: address(other as u8 + 1).to_string(),
        incarnation: 77,
        ..Digest::default()
    };
    site.apply(scheduler, Message::Frame(Frame::Digest(Box::new(digest))));
    assert_eq!((site.running(scheduler), site.daemons[scheduler].node.open_requests()), (0, 0));
}

#[test]
fn assignment_to_leaving_server_declined() {
    let mut site = Site::new(6, &SERVERS);
    let other = site.non_scheduler();
    // Only this daemon knows that two servers are leaving.
    let leaving = [("s-1", "plain 101 draining"), ("s-2", "plain 102 draining")];
    let at = site.now;
    site.daemons[other].deliver_records(at, Topic::Servers, &leaving);
    for _ in 0..2 {
        let key = site.arrive(other, "plain", Repeat::AtMostOnce);
        assert_eq!(site.only_dispatch(other, key).server, "s-3");
    }
}

#[test]
fn retry_slack_of_all_daemons_within_budget() {
    let site = Site::new(12, &SERVERS);
    let slack = |daemon: &Daemon| daemon.node.retry_terms(site.now).slack;
    let all: f64 = site.daemons.iter().map(slack).sum();
    assert!(all <= POLICY.retry_slack, "total retry slack is {all}");
    let scheduler = site.scheduler("plain");
    assert!(slack(&site.daemons[scheduler]) >= POLICY.retry_slack / 8.0);
}

// A scheduler that did not reply was followed by another, which took each request for a new one: its repeat was not charged,
// and it counted twice.
#[test]
fn submit_again_charges_the_repeat() {
    let servers: Vec<(String, String)> =
        (0..6).map(|n| (format!("s-{n}"), format!("plain {} ready", 101 + n))).collect();
    let mut site = Site::new(6, &borrowed(&servers));
    let (scheduler, other) = (site.scheduler("plain"), site.non_scheduler());
    let keys: Vec<Key> = (0..12).map(|_| site.arrive(other, "plain", Repeat::Idempotent)).collect();
    let sent = std::mem::take(&mut site.sent_commands[other]);
    assert_eq!(sent.len(), keys.len(), "each request is sent");
    site.down.insert(scheduler);
    for key in &keys {
        site.report(other, *key, 1, Report::Failed);
    }
    site.advance(ms(100));
    let is_repeat = |(_, command): &&(Key, Command)| matches!(command, Command::Dispatch(_));
    let repeats = site.sent_commands[other].iter().filter(is_repeat).count();
    // The next scheduler has counted no request, and may use a sixth of the fixed part of the budget.
    assert!(repeats > 0 && repeats as f64 <= POLICY.retry_slack / 6.0, "{repeats} repeats");
}

#[test]
fn frames_per_daemon_nearly_constant() {
    let sent = |count: u8| {
        let mut site = Site::new(count, &SERVERS);
        let mut frame_count = 0;
        for step in 1..=100_u64 {
            let now = site.now + ms(step * 20);
            for index in 0..site.daemons.len() {
                let effects = site.daemons[index].tick(now);
                let to = |effect: &Effect| match effect {
                    Effect::Send(to, _) => to.len(),
                    _ => 0,
                };
                frame_count += effects.iter().map(to).sum::<usize>();
                for (to, message) in site.execute_effects(index, effects) {
                    // Replies are ignored because no records are missing.
                    site.daemons[to].node.apply(now, message);
                }
            }
        }
        frame_count as f64 / f64::from(count) / 2.0
    };
    let (few, many) = (sent(20), sent(80));
    assert!(many < few * 1.5, "{few} frames per second and daemon with 20 daemons, {many} with 80");
    assert!(many < 40.0, "{many} frames per second and daemon");
}

/// Has an attempt of a daemon fail at the server that its scheduler chooses; returns the server.
fn fail_once(site: &mut Site, daemon: usize) -> String {
    let key = site.arrive(daemon, "plain", Repeat::AtMostOnce);
    let sent = site.only_dispatch(daemon, key);
    site.report(daemon, key, sent.attempt, Report::Unsent);
    site.apply(daemon, Message::Cancel(key));
    sent.server
}

fn backoff_ends(site: &Site, scheduler: usize, server: &str) -> bool {
    let servers = &site.daemons[scheduler].node.servers;
    let server = servers.values().find(|known| known.entry.incarnation.id == server);
    !server.expect("a known server").is_backing_off(site.now)
}

#[test]
fn failures_of_one_daemon_hardly_count_against_a_server() {
    let mut site = Site::new(6, &SERVERS[..1]);
    let (scheduler, other) = (site.scheduler("plain"), site.non_scheduler());
    for _ in 0..4 {
        let server = fail_once(&mut site, other);
        site.advance(ms(220));
        assert!(backoff_ends(&site, scheduler, &server));
        site.advance(ms(4_000));
    }
}

#[test]
fn failures_of_two_daemons_count_against_a_server() {
    let mut site = Site::new(6, &SERVERS[..1]);
    let scheduler = site.scheduler("plain");
    let mut others = (0..6).filter(|index| *index != scheduler);
    let (one, two) = (others.next().expect("a daemon"), others.next().expect("a daemon"));
    let server = fail_once(&mut site, one);
    site.advance(ms(220));
    assert_eq!(fail_once(&mut site, two), server);
    site.advance(ms(220));
    assert!(!backoff_ends(&site, scheduler, &server), "it is avoided for longer");
}

#[test]
fn failures_of_a_daemon_at_several_servers_are_no_servers_fault() {
    let mut site = Site::new(6, &SERVERS);
    let (scheduler, other) = (site.scheduler("plain"), site.non_scheduler());
    let failed = [fail_once(&mut site, other), fail_once(&mut site, other)];
    assert_ne!(failed[0], failed[1], "the daemon is not sent to the same server again");
    assert!(failed.iter().all(|server| backoff_ends(&site, scheduler, server)));
}
