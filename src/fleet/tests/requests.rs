//! Requests: which ones are retried, refused or given up.

use super::world::*;
use crate::fleet::*;
use crate::prelude::*;
use crate::route::Repeat;

const TWO_SERVERS: [(&str, &str); 2] = [("s-1", "plain 11 ready"), ("s-2", "plain 12 ready")];

#[test]
fn lost_at_most_once_is_given_up() {
    let mut daemon = Daemon::with_servers(1, &TWO_SERVERS);
    let route = route("plain", Repeat::AtMostOnce, 3);
    let (request, effects) = daemon.arrive(ms(10), &route, None);
    assert_eq!(dispatch(&effects).attempt, 1);
    let effects = daemon.report(ms(20), request, 1, Report::Lost(Loss::Connection));
    assert_eq!(commands(&effects), [Command::GiveUp]);
}

#[test]
fn failed_at_most_once_is_given_up() {
    let mut daemon = Daemon::with_servers(1, &TWO_SERVERS);
    let (request, _) = daemon.arrive(ms(10), &route("plain", Repeat::AtMostOnce, 3), None);
    let effects = daemon.report(ms(20), request, 1, Report::Failed);
    assert_eq!(commands(&effects), [Command::GiveUp]);
}

#[test]
fn refused_at_most_once_is_sent_elsewhere() {
    let mut daemon = Daemon::with_servers(1, &TWO_SERVERS);
    let (request, effects) = daemon.arrive(ms(10), &route("plain", Repeat::AtMostOnce, 1), None);
    let first = dispatch(&effects);
    let effects = daemon.report(ms(20), request, 1, Report::Refused(Refusal::Busy));
    let second = dispatch(&effects);
    assert_eq!(second.attempt, 2);
    assert_ne!(first.server, second.server);
}

#[test]
fn unsent_attempt_costs_no_budget() {
    let mut daemon = Daemon::with_servers(1, &TWO_SERVERS);
    for at in 0..200 {
        let now = ms(10_000 * (at + 1));
        let (request, _) = daemon.arrive(now, &route("plain", Repeat::AtMostOnce, 1), None);
        let effects = daemon.report(now, request, 1, Report::Unsent);
        assert_eq!(dispatch(&effects).attempt, 2);
        daemon.report(now, request, 2, Report::Ended);
    }
}

#[test]
fn lost_idempotent_is_repeated_up_to_its_attempts() {
    let mut daemon = Daemon::with_servers(1, &TWO_SERVERS);
    let (request, _) = daemon.arrive(ms(10), &route("plain", Repeat::Idempotent, 2), None);
    let effects = daemon.report(ms(20), request, 1, Report::Lost(Loss::Connection));
    assert_eq!(dispatch(&effects).attempt, 2);
    let effects = daemon.report(ms(30), request, 2, Report::Lost(Loss::Connection));
    assert_eq!(commands(&effects), [Command::GiveUp]);
}

#[test]
fn report_of_an_earlier_attempt_is_ignored() {
    let mut daemon = Daemon::with_servers(1, &TWO_SERVERS);
    let (request, _) = daemon.arrive(ms(10), &route("plain", Repeat::Idempotent, 3), None);
    daemon.report(ms(20), request, 1, Report::Lost(Loss::Connection));
    assert!(daemon.report(ms(21), request, 1, Report::Lost(Loss::Connection)).is_empty());
}

#[test]
fn repeats_stay_within_the_budget() {
    let mut daemon = Daemon::with_servers(1, &TWO_SERVERS);
    let route = route("plain", Repeat::Idempotent, 2);
    let (mut requests, mut repeats) = (0, 0);
    for step in 0..500 {
        let now = ms(5_000 + step * 10);
        let (request, effects) = daemon.arrive(now, &route, None);
        if commands(&effects).is_empty() {
            daemon.node.apply(now, Message::Cancel(request));
            continue;
        }
        requests += 1;
        let effects = daemon.report(now, request, 1, Report::Failed);
        repeats += commands(&effects).iter().filter(|c| matches!(c, Command::Dispatch(_))).count();
        daemon.node.apply(now, Message::Cancel(request));
    }
    let allowed = f64::from(requests) * POLICY.retry_ratio + POLICY.retry_slack;
    assert!(repeats > 10 && repeats as f64 <= allowed, "{repeats} repeats of {requests}");
}

#[test]
fn refused_everywhere_is_refused_as_not_run() {
    let mut daemon = Daemon::with_servers(1, &TWO_SERVERS);
    let (request, mut effects) =
        daemon.arrive(ms(10), &route("plain", Repeat::AtMostOnce, 1), None);
    let mut attempts = 0;
    for now in (20..5_000).step_by(50).map(ms) {
        match commands(&effects).as_slice() {
            [Command::Dispatch(dispatch)] => {
                attempts = dispatch.attempt;
                effects = daemon.report(now, request, attempts, Report::Refused(Refusal::Busy));
            }
            [Command::Refuse(_, after)] => {
                assert!(*after > Duration::ZERO);
                assert!((2..=6).contains(&attempts), "the request was sent {attempts} times");
                return;
            }
            [] => effects = daemon.tick(now),
            other => panic!("expected a dispatch or a refusal, not {other:?}"),
        }
    }
    panic!("the request was neither served nor refused within 5 s");
}

#[test]
fn no_server_is_refused_within_half_the_target() {
    let mut daemon = Daemon::with_servers(1, &[]);
    daemon.arrive(ms(10), &route("plain", Repeat::AtMostOnce, 1), None);
    assert!(commands(&daemon.tick(ms(300))).is_empty());
    let effects = daemon.tick(ms(320));
    assert!(matches!(commands(&effects).as_slice(), [Command::Refuse(Code::NoServer, _)]));
}

#[test]
fn waiting_after_it_may_have_run_is_never_refused_as_not_run() {
    let mut daemon = Daemon::with_servers(1, &[("s-1", "plain 11 ready")]);
    let (request, _) = daemon.arrive(ms(10), &route("plain", Repeat::Idempotent, 2), None);
    daemon.report(ms(20), request, 1, Report::Lost(Loss::Connection));
    let effects = daemon.tick(ms(2_000));
    let sent_commands = commands(&effects);
    assert!(!sent_commands.iter().any(|c| matches!(c, Command::Refuse(..))), "{sent_commands:?}");
}

#[test]
fn full_servers_make_requests_wait_in_order_of_priority() {
    let mut daemon = Daemon::with_servers(1, &[("s-1", "plain 11 ready")]);
    let normal = route("plain", Repeat::AtMostOnce, 1);
    let mut urgent = (*normal).clone();
    urgent.priority = 0;
    let urgent = Arc::new(urgent);
    let (first, _) = daemon.arrive(ms(10), &normal, None);
    daemon.arrive(ms(10), &normal, None);
    assert!(commands(&daemon.arrive(ms(11), &normal, None).1).is_empty());
    let (last, effects) = daemon.arrive(ms(12), &urgent, None);
    assert!(commands(&effects).is_empty());
    let effects = daemon.report(ms(20), first, 1, Report::Ended);
    assert!(
        effects
            .iter()
            .any(|e| matches!(e, Effect::Command(key, Command::Dispatch(_)) if *key == last))
    );
}

#[test]
fn silent_server_loses_repeatable_requests() {
    let servers = [("s-1", "plain 11 ready"), ("s-2", "plain 12 ready")];
    let mut daemon = Daemon::with_servers(1, &servers);
    let (_, effects) = daemon.arrive(ms(1_000), &route("plain", Repeat::Idempotent, 2), None);
    let first = dispatch(&effects);
    assert!(commands(&daemon.tick(ms(1_500))).is_empty());
    let second = dispatch(&daemon.tick(ms(1_800)));
    assert_ne!(first.server, second.server);
}

#[test]
fn silent_server_keeps_at_most_once_requests() {
    let mut daemon = Daemon::with_servers(1, &TWO_SERVERS);
    daemon.arrive(ms(1_000), &route("plain", Repeat::AtMostOnce, 2), None);
    assert!(commands(&daemon.tick(ms(4_000))).is_empty());
}

#[test]
fn leave_frees_the_slot() {
    let mut daemon = Daemon::with_servers(1, &[("s-1", "plain 11 ready")]);
    let route = route("plain", Repeat::AtMostOnce, 1);
    let (first, _) = daemon.arrive(ms(10), &route, None);
    daemon.arrive(ms(10), &route, None);
    assert!(commands(&daemon.arrive(ms(11), &route, None).1).is_empty());
    let effects = daemon.node.apply(ms(12), Message::Cancel(first));
    assert_eq!(commands(&effects).len(), 1);
}

#[test]
fn broken_stream_waits_for_the_retry_budget() {
    let mut daemon =
        Daemon::with_servers(1, &[("e-1", "engine 21 ready 1"), ("e-2", "engine 22 ready 1")]);
    let resumable = route("engines", Repeat::Resumable, 2);
    let (stream, _) = daemon.arrive(ms(900), &resumable, Some(prompt(1, 2)));
    daemon.report(ms(910), stream, 1, Report::Begun(Some(1)));
    // Retries that exhaust the budget.
    let mut is_exhausted = false;
    for _ in 0..200 {
        let (request, _) = daemon.arrive(ms(1_000), &resumable, Some(prompt(1, 2)));
        let effects = daemon.report(ms(1_000), request, 1, Report::Failed);
        is_exhausted = commands(&effects).is_empty();
        daemon.node.apply(ms(1_000), Message::Cancel(request));
    }
    assert!(is_exhausted);
    let effects = daemon.report(ms(1_020), stream, 1, Report::Lost(Loss::Connection));
    assert!(commands(&effects).is_empty(), "{:?}", commands(&effects));
    // A daemon alone has a quarter of the fixed number at least, of which most comes again within a window.
    let longest = POLICY.retry_window.div_f64(POLICY.retry_slack / 4.0 / 4.0);
    let mut ticks = (1_040..).step_by(20).map(ms).take_while(|now| *now < ms(1_020) + longest);
    let retried = ticks.find_map(|now| commands(&daemon.tick(now)).pop());
    assert!(matches!(retried, Some(Command::Dispatch(next)) if next.attempt == 2));
}

#[test]
fn finish_stop_refuses_waiting_and_gives_up_unanswered_requests() {
    let mut daemon = Daemon::with_servers(1, &[("s-1", "plain 11 ready")]);
    let route = route("plain", Repeat::AtMostOnce, 1);
    let (begun, _) = daemon.arrive(ms(10), &route, None);
    daemon.report(ms(20), begun, 1, Report::Begun(None));
    let (sent, _) = daemon.arrive(ms(30), &route, None);
    let (waiting, _) = daemon.arrive(ms(40), &route, None);
    daemon.node.apply(ms(50), Message::Stop);
    let effects = daemon.node.apply(ms(60), Message::StopDeadline);
    let sent_commands: Vec<(Key, Command)> = effects
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::Command(key, command) => Some((key, command)),
            _ => None,
        })
        .collect();
    assert_eq!(sent_commands.len(), 2, "{sent_commands:?}");
    assert!(sent_commands.contains(&(sent, Command::GiveUp)));
    let refused = |(key, command): &(Key, Command)| {
        *key == waiting && matches!(command, Command::Refuse(Code::Draining, _))
    };
    assert!(sent_commands.iter().any(refused), "{sent_commands:?}");
}

// What was read whole after the last requests had been ended was sent to a server, and cut when the process ended.
#[test]
fn arrival_late_in_a_planned_stop_is_refused_as_not_run() {
    for message in [Message::StopAdmission, Message::StopDeadline] {
        let mut daemon = Daemon::with_servers(1, &[("s-1", "plain 11 ready")]);
        let route = route("plain", Repeat::AtMostOnce, 1);
        daemon.node.apply(ms(50), Message::Stop);
        let (_, early) = daemon.arrive(ms(55), &route, None);
        assert!(matches!(commands(&early)[..], [Command::Dispatch(_)]), "{early:?}");
        daemon.node.apply(ms(60), message.clone());
        let (_, late) = daemon.arrive(ms(70), &route, None);
        let late = commands(&late);
        assert!(matches!(late[..], [Command::Refuse(Code::Draining, _)]), "{message:?} {late:?}");
    }
}
