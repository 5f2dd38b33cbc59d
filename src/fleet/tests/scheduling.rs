//! Requests that one daemon places for the others, and what follows where it is gone or wrong.

use super::site::Site;
use super::world::*;
use crate::fleet::*;
use crate::prelude::*;
use crate::route::Repeat;

const SERVERS: [(&str, &str); 3] =
    [("s-1", "plain 101 ready"), ("s-2", "plain 102 ready"), ("s-3", "plain 103 ready")];

#[test]
fn crowd_at_many_daemons_is_placed_as_if_at_one() {
    // Six places, and a request at each of twelve daemons within a millisecond: nothing told before.
    let mut site = Site::new(12, &SERVERS);
    let keys: Vec<Key> =
        (0..12).map(|index| site.arrive(index, "plain", Repeat::AtMostOnce)).collect();
    let mut at: BTreeMap<String, usize> = BTreeMap::new();
    let mut waits = Vec::new();
    for (index, key) in keys.iter().enumerate() {
        match site.commands(index, *key).as_slice() {
            [Command::Dispatch(dispatch)] => *at.entry(dispatch.server.clone()).or_default() += 1,
            [] => waits.push((index, *key)),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(at.values().copied().collect::<Vec<usize>>(), [2, 2, 2], "{at:?}");
    assert_eq!(waits.len(), 6);
    // What waits is refused at its daemon, before it is late, with the time to come back.
    site.pass(ms(400));
    for (index, key) in waits {
        let commands = site.commands(index, key);
        assert!(matches!(commands.as_slice(), [Command::Refuse(_, after)] if *after > ms(0)));
    }
}

#[test]
fn report_reaches_the_scheduler() {
    let mut site = Site::new(6, &SERVERS);
    let (scheduler, other) = (site.scheduler("plain"), site.other());
    let key = site.arrive(other, "plain", Repeat::Idempotent);
    let first = site.sent(other, key);
    assert_eq!((site.running(scheduler), site.running(other)), (1, 0));
    // The server refuses; the scheduler finds another.
    site.report(other, key, first.attempt, Report::Refused(Refusal::Busy));
    let second = site.sent(other, key);
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
fn request_that_waits_once_more_stays_with_its_scheduler() {
    let mut site = Site::new(6, &[("s-1", "plain 101 ready")]);
    let (scheduler, other) = (site.scheduler("plain"), site.other());
    let key = site.arrive(other, "plain", Repeat::Idempotent);
    let first = site.sent(other, key);
    // The only server refuses and is passed over for a moment: the request waits at the scheduler.
    site.report(other, key, first.attempt, Report::Refused(Refusal::Busy));
    site.pass(ms(100));
    assert_eq!(site.unscheduled(other), 0, "the scheduler said that it waits");
    site.pass(ms(150));
    assert_eq!(site.sent(other, key).attempt, 2);
    assert_eq!((site.running(scheduler), site.running(other)), (1, 0));
}

#[test]
fn caller_that_leaves_frees_its_place_at_the_scheduler() {
    let mut site = Site::new(6, &SERVERS);
    let (scheduler, other) = (site.scheduler("plain"), site.other());
    let key = site.arrive(other, "plain", Repeat::Idempotent);
    site.apply(other, Message::Leave(key));
    assert_eq!((site.running(scheduler), site.daemons[scheduler].node.open_requests()), (0, 0));
}

#[test]
fn scheduler_without_a_word_costs_a_request_little() {
    let mut site = Site::new(6, &SERVERS);
    let (scheduler, other) = (site.scheduler("plain"), site.other());
    site.down.insert(scheduler);
    let first = site.arrive(other, "plain", Repeat::AtMostOnce);
    assert!(site.commands(other, first).is_empty());
    site.pass(ms(100));
    site.sent(other, first);
    assert_eq!(site.unscheduled(other), 1);
    // The next one goes to another scheduler at once.
    let next = site.arrive(other, "plain", Repeat::AtMostOnce);
    site.sent(other, next);
    assert_eq!(site.unscheduled(other), 1);
    // Some seconds later all agree on who places instead.
    site.pass(ms(4_000));
    let heir = site.scheduler("plain");
    assert_ne!(heir, scheduler);
}

#[test]
fn late_verdict_is_not_followed_and_its_place_is_free_again() {
    let mut site = Site::new(6, &SERVERS);
    let (scheduler, other) = (site.scheduler("plain"), site.other());
    let route = route("plain", Repeat::AtMostOnce, 1);
    let (key, effects) = site.daemons[other].arrive(site.now, &route, None);
    let submitted = site.carry(other, effects);
    site.pass(ms(100));
    site.sent(other, key);
    for (to, message) in submitted {
        site.apply(to, message);
    }
    assert!(site.commands(other, key).is_empty(), "it was sent already");
    assert_eq!(site.running(scheduler), 0);
}

#[test]
fn request_that_may_have_run_is_not_sent_twice_whatever_a_scheduler_says() {
    let mut site = Site::new(6, &SERVERS);
    let (scheduler, other) = (site.scheduler("plain"), site.other());
    let key = site.arrive(other, "plain", Repeat::AtMostOnce);
    let sent = site.sent(other, key);
    let daemon = format!("router-{}", scheduler + 1);
    let assignment = Assignment {
        attempt: 2,
        life: Incarnation::new("s-2", 0),
        address: address(102),
        tokens: 0,
        salt: None,
        weights: None,
        fetch_from: None,
        save_to: None,
    };
    let verdict = Verdict { daemon, request: key, ruling: Decision::Send(assignment) };
    site.apply(other, Message::Frame(Frame::Verdict(Box::new(verdict.clone()))));
    assert!(site.commands(other, key).is_empty());
    site.report(other, key, sent.attempt, Report::Lost(Loss::Connection));
    assert_eq!(site.commands(other, key), [Command::GiveUp]);
    site.apply(other, Message::Frame(Frame::Verdict(Box::new(verdict))));
    assert!(site.commands(other, key).is_empty());
    assert_eq!(site.running(scheduler), 0);
}

#[test]
fn request_whose_scheduler_ends_goes_on_where_it_is() {
    let mut site = Site::new(6, &SERVERS);
    let (scheduler, other) = (site.scheduler("plain"), site.other());
    let key = site.arrive(other, "plain", Repeat::Idempotent);
    let sent = site.sent(other, key);
    site.down.insert(scheduler);
    site.pass(ms(3_000));
    assert_eq!(site.running(other), 1, "it counts for itself now");
    site.report(other, key, sent.attempt, Report::Lost(Loss::Connection));
    let again = site.sent(other, key);
    assert_eq!(again.attempt, sent.attempt + 1);
    site.report(other, key, again.attempt, Report::Ended);
    assert_eq!((site.running(other), site.daemons[other].node.open_requests()), (0, 0));
}

#[test]
fn scheduler_that_stops_gives_back_what_waits() {
    let mut site = Site::new(6, &[("s-1", "plain 101 ready")]);
    let (scheduler, other) = (site.scheduler("plain"), site.other());
    for _ in 0..2 {
        site.arrive(scheduler, "plain", Repeat::AtMostOnce);
    }
    let waits = site.arrive(other, "plain", Repeat::AtMostOnce);
    assert!(site.commands(other, waits).is_empty());
    site.apply(scheduler, Message::Stop);
    // The daemon that has it decides: the digest of the one that stops shows no room.
    site.pass(ms(400));
    let commands = site.commands(other, waits);
    assert!(matches!(commands.as_slice(), [Command::Refuse(..)]), "{commands:?}");
    let next = site.scheduler("plain");
    assert_ne!(next, scheduler);
}

#[test]
fn stop_that_ends_tells_what_waits_at_a_scheduler_that_it_has_not_run() {
    let mut site = Site::new(6, &[("s-1", "plain 101 ready")]);
    let (scheduler, other) = (site.scheduler("plain"), site.other());
    for _ in 0..2 {
        site.arrive(scheduler, "plain", Repeat::AtMostOnce);
    }
    let waits = site.arrive(other, "plain", Repeat::AtMostOnce);
    site.apply(other, Message::Stop);
    assert!(site.commands(other, waits).is_empty());
    site.apply(other, Message::StopEnds);
    let commands = site.commands(other, waits);
    assert!(matches!(commands.as_slice(), [Command::Refuse(Code::Draining, _)]), "{commands:?}");
    assert_eq!(site.daemons[scheduler].node.open_requests(), 2, "it no longer waits there");
}

#[test]
fn daemon_that_starts_again_leaves_nothing_at_the_scheduler() {
    let mut site = Site::new(6, &SERVERS);
    let (scheduler, other) = (site.scheduler("plain"), site.other());
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
fn server_that_is_known_to_leave_is_not_sent_to() {
    let mut site = Site::new(6, &SERVERS);
    let other = site.other();
    // Only the daemon has heard that two servers leave.
    let leaving = [("s-1", "plain 101 draining"), ("s-2", "plain 102 draining")];
    let at = site.now;
    site.daemons[other].put(at, Topic::Servers, &leaving);
    for _ in 0..2 {
        let key = site.arrive(other, "plain", Repeat::AtMostOnce);
        assert_eq!(site.sent(other, key).server, "s-3");
    }
}

#[test]
fn repeats_of_all_daemons_stay_within_the_budget() {
    let site = Site::new(12, &SERVERS);
    let slack = |daemon: &Daemon| daemon.node.retry_terms(site.now).slack;
    let all: f64 = site.daemons.iter().map(slack).sum();
    assert!(all <= POLICY.retry_slack, "{all}");
    let scheduler = site.scheduler("plain");
    assert!(slack(&site.daemons[scheduler]) >= POLICY.retry_slack / 8.0);
}

#[test]
fn frames_grow_with_daemons_and_not_with_their_square() {
    let sent = |count: u8| {
        let mut site = Site::new(count, &SERVERS);
        let mut sends = 0;
        for step in 1..=100_u64 {
            let now = site.now + ms(step * 20);
            for index in 0..site.daemons.len() {
                let effects = site.daemons[index].tick(now);
                let to = |effect: &Effect| match effect {
                    Effect::Send(to, _) => to.len(),
                    _ => 0,
                };
                sends += effects.iter().map(to).sum::<usize>();
                for (to, message) in site.carry(index, effects) {
                    // Replies are left out: nothing is missing here.
                    site.daemons[to].node.apply(now, message);
                }
            }
        }
        sends as f64 / f64::from(count) / 2.0
    };
    let (few, many) = (sent(20), sent(80));
    assert!(many < few * 1.5, "{few} frames a second of a daemon at 20, {many} at 80");
    assert!(many < 40.0, "{many}");
}
