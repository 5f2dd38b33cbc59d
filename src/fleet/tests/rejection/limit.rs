//! Reject limits: how daemons learn and share them, and the requests that they allow.

use super::super::site::Site;
use super::super::world::*;
use crate::fleet::rejection::rejects;
use crate::fleet::share::Share;
use crate::fleet::*;
use crate::prelude::*;
use crate::route::Repeat;

const ENGINE: [(&str, &str); 1] = [("e-1", "engine 101 ready 1")];

/// Sends a request of `pool` through a daemon; its server states `limit` and answers.
fn state_limit(site: &mut Site, daemon: usize, pool: &str, limit: u32) {
    let key = site.arrive(daemon, pool, Repeat::Idempotent);
    let attempt = site.only_dispatch(daemon, key).attempt;
    let statement = Statement { reject_limit: Some(limit), ..Statement::default() };
    site.apply(daemon, Message::Stated { request: key, attempt, statement });
    site.report(daemon, key, attempt, Report::Begun(None));
    site.report(daemon, key, attempt, Report::Ended);
}

fn knows_limit(site: &Site, daemon: usize, pool: &str) -> Option<u32> {
    let node = &site.daemons[daemon].node;
    node.reject_figures(site.clock(daemon), pool).map(|(limit, _)| limit)
}

/// Requests arrive at a daemon; returns those that were sent, with the number of the attempt.
fn send_burst(site: &mut Site, daemon: usize, pool: &str, count: usize) -> Vec<(Key, u32)> {
    for _ in 0..count {
        site.arrive(daemon, pool, Repeat::Idempotent);
    }
    let sent = site.take_commands().into_iter().filter_map(|(_, key, command)| match command {
        Command::Dispatch(dispatch) => Some((key, dispatch.attempt)),
        _ => None,
    });
    sent.collect()
}

#[test]
fn limit_stated_to_one_daemon_reaches_all() {
    let mut site = Site::new(12, &ENGINE);
    let other = site.non_scheduler();
    state_limit(&mut site, other, "engines", 8);
    // Servers let fewer requests wait from 3 s after the first statement.
    site.advance(ms(1_500));
    let known: Vec<Option<u32>> =
        (0..12).map(|daemon| knows_limit(&site, daemon, "engines")).collect();
    assert_eq!(known, [Some(8); 12]);
}

#[test]
fn limit_not_stated_any_more_ends_at_all_daemons() {
    let mut site = Site::new(12, &ENGINE);
    let other = site.non_scheduler();
    state_limit(&mut site, other, "engines", 8);
    site.advance(ms(4_000));
    assert_eq!(knows_limit(&site, other, "engines"), Some(8));
    // Daemons that repeat it to each other do not prolong it.
    site.advance(ms(2_000));
    assert!((0..12).all(|daemon| knows_limit(&site, daemon, "engines").is_none()));
}

#[test]
fn limit_in_force_and_ended_are_logged_once() {
    let mut daemon = Daemon::with_servers(1, &ENGINE);
    let limit = RejectLimit { pool: "engines".into(), rejects: 8, age: Duration::ZERO };
    let digest = Digest {
        daemon: "router-2".into(),
        address: address(2).to_string(),
        reject_limits: vec![limit],
        ..Digest::default()
    };
    let mut events = Vec::new();
    for step in 0..80 {
        let now = ms(1_000 + step * 100);
        let mut effects = daemon.tick(now);
        if step < 5 {
            let frame = Frame::Digest(Box::new(digest.clone()));
            effects.extend(daemon.node.apply(now, Message::Frame(frame)));
        }
        events.extend(effects.into_iter().filter_map(|effect| match effect {
            Effect::Event(event @ (Event::RejectLimitStated | Event::RejectLimitEnded), _) => {
                Some(event)
            }
            _ => None,
        }));
    }
    assert_eq!(events, [Event::RejectLimitStated, Event::RejectLimitEnded]);
}

#[test]
fn lower_of_two_limits_is_in_force() {
    let mut site = Site::new(3, &ENGINE);
    for limit in [12, 8, 10] {
        state_limit(&mut site, 0, "engines", limit);
    }
    assert_eq!(knows_limit(&site, 0, "engines"), Some(8));
    for _ in 0..6 {
        site.advance(ms(1_000));
        state_limit(&mut site, 0, "engines", 10);
    }
    assert_eq!(knows_limit(&site, 0, "engines"), Some(10));
}

#[test]
fn engine_gets_no_more_at_once_than_it_may_reject() {
    let mut site = Site::new(6, &ENGINE);
    let scheduler = site.scheduler("engines");
    state_limit(&mut site, scheduler, "engines", 8);
    let sent = send_burst(&mut site, scheduler, "engines", 10);
    assert_eq!(sent.len(), 3, "the share of the scheduler");
    for (key, attempt) in sent {
        site.report(scheduler, key, attempt, Report::Refused(Refusal::Busy));
    }
    site.take_commands();
    // Nothing more until these rejects are more than a second old.
    for _ in 0..5 {
        site.advance(ms(200));
        assert!(send_burst(&mut site, scheduler, "engines", 4).is_empty());
    }
    site.advance(ms(260));
    assert!(!send_burst(&mut site, scheduler, "engines", 4).is_empty());
}

#[test]
fn engine_that_answers_gets_more() {
    let mut site = Site::new(6, &ENGINE);
    let scheduler = site.scheduler("engines");
    state_limit(&mut site, scheduler, "engines", 8);
    for _ in 0..5 {
        let sent = send_burst(&mut site, scheduler, "engines", 3);
        assert_eq!(sent.len(), 3);
        for (key, attempt) in sent {
            site.report(scheduler, key, attempt, Report::Begun(None));
        }
    }
}

#[test]
fn rejects_of_requests_whose_callers_left_are_possible() {
    let mut site = Site::new(6, &ENGINE);
    let scheduler = site.scheduler("engines");
    state_limit(&mut site, scheduler, "engines", 8);
    for (key, _) in send_burst(&mut site, scheduler, "engines", 3) {
        site.apply(scheduler, Message::Cancel(key));
    }
    assert!(send_burst(&mut site, scheduler, "engines", 3).is_empty());
}

#[test]
fn plain_server_that_rejects_nothing_runs_as_many_as_it_has_slots() {
    let mut site = Site::new(6, &[("s-1", "plain 101 ready")]);
    let scheduler = site.scheduler("plain");
    state_limit(&mut site, scheduler, "plain", 1);
    assert_eq!(send_burst(&mut site, scheduler, "plain", 4).len(), 2);
}

#[test]
fn shares_of_all_daemons_stay_within_limit() {
    for limit in 3..40 {
        let schedulers: u32 =
            (0..3).map(|position| rejects(Share::Scheduler(position), limit, "s")).sum();
        for daemons in [1, 2, 9, 12, 195, 390] {
            for server in 0..20 {
                let server = format!("s-{server}");
                let others = (0..daemons)
                    .map(|position| rejects(Share::Other { position, daemons }, limit, &server));
                let others: u32 = others.sum();
                assert!(others >= 1, "no other daemon may use {server}");
                assert!(schedulers + others <= limit, "{limit}: {schedulers} and {others}");
            }
        }
    }
}

#[test]
fn shares_of_others_are_spread_over_servers() {
    let daemons = 390;
    let open = (0..daemons).map(|position| {
        let servers = (0..2_000).map(|server| format!("s-{server}"));
        let share = Share::Other { position, daemons };
        servers.filter(|server| rejects(share, 8, server) > 0).count()
    });
    let open: Vec<usize> = open.collect();
    assert_eq!(open.iter().sum::<usize>(), 2 * 2_000);
    assert!(open.iter().all(|count| *count > 0), "{open:?}");
}

#[test]
fn scheduler_without_most_daemons_has_the_share_of_others() {
    let mut site = Site::new(9, &ENGINE);
    let scheduler = site.scheduler("engines");
    state_limit(&mut site, scheduler, "engines", 24);
    let links = (0..9).flat_map(|from| (0..9).map(move |to| (from, to)));
    site.cut_links = links.collect();
    site.advance(ms(2_000));
    let sent = send_burst(&mut site, scheduler, "engines", 8);
    assert!(sent.len() <= 1, "six rejects are divided among nine daemons: {sent:?}");
}
