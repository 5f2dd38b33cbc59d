//! Servers that restart under the same id.

use super::world::*;
use crate::fleet::*;
use crate::prelude::*;
use crate::route::Repeat;

const FORMER: (&str, &str) = ("e-1", "engine 21 ready 1 born:1000");
const NEXT: (&str, &str) = ("e-1", "engine 21 ready 1 born:2000");

fn metric_values(daemon: &mut Daemon, now: Time, name: &str) -> Vec<String> {
    let figures = daemon.node.metrics(now);
    let named = figures.iter().filter(|figure| figure.name == name);
    named.map(|figure| figure.value.to_string()).collect()
}

#[test]
fn next_incarnation_inherits_nothing() {
    let mut daemon = Daemon::with_servers(1, &[FORMER]);
    let route = route("engines", Repeat::AtMostOnce, 1);
    let (request, effects) = daemon.arrive(ms(10), &route, Some(prompt(7, 1)));
    assert_eq!(dispatch(&effects).server, "e-1");
    daemon.report(ms(20), request, 1, Report::Lost(Loss::Connection));
    let (_, effects) = daemon.arrive(ms(30), &route, Some(prompt(7, 1)));
    assert!(commands(&effects).is_empty(), "the only server is in backoff");
    let effects = daemon.deliver_records(ms(40), Topic::Servers, &[NEXT]);
    assert!(effects.contains(&Effect::Disconnect(address(21))), "{effects:?}");
    assert_eq!(dispatch(&effects).server, "e-1", "the backoff ends with the former incarnation");
    assert_eq!(metric_values(&mut daemon, ms(41), "running"), ["1"]);
    assert_eq!(metric_values(&mut daemon, ms(41), "failures_in_a_row"), ["0"]);
}

#[test]
fn former_incarnation_changes_nothing() {
    let mut daemon = Daemon::with_servers(1, &[FORMER, NEXT]);
    let route = route("engines", Repeat::AtMostOnce, 1);
    daemon.deliver_records(ms(10), Topic::Servers, &[("e-1", "engine 99 draining 1 born:1000")]);
    let (_, effects) = daemon.arrive(ms(20), &route, Some(prompt(7, 1)));
    assert_eq!(dispatch(&effects).address, address(21));
    // The same holds after its registration is removed.
    daemon.deliver_records(ms(30), Topic::Servers, &[("e-1", "")]);
    daemon.deliver_records(ms(40), Topic::Servers, &[FORMER]);
    let (_, effects) = daemon.arrive(ms(50), &route, Some(prompt(7, 1)));
    assert!(commands(&effects).is_empty());
}

#[test]
fn peer_load_of_the_former_incarnation_does_not_count_for_the_next() {
    let mut daemon = Daemon::with_servers(1, &[FORMER]);
    let busy = Workload { running: 48, pending_tokens: 900_000, ..Workload::default() };
    let digest = Digest {
        daemon: "router-2".into(),
        address: address(2).to_string(),
        workloads: BTreeMap::from([(Incarnation::new("e-1", 1_000), busy)]),
        ..Digest::default()
    };
    daemon.node.apply(ms(10), Message::Frame(Frame::Digest(Box::new(digest.clone()))));
    daemon.tick(ms(11));
    assert_eq!(metric_values(&mut daemon, ms(12), "running"), ["48"]);
    daemon.deliver_records(ms(20), Topic::Servers, &[NEXT]);
    daemon.node.apply(ms(25), Message::Frame(Frame::Digest(Box::new(digest))));
    daemon.tick(ms(30));
    assert_eq!(metric_values(&mut daemon, ms(31), "running"), ["0"]);
}

#[test]
fn repeatable_requests_of_the_former_incarnation_are_resent() {
    let mut daemon = Daemon::with_servers(1, &[FORMER, ("e-2", "engine 22 ready 1 born:1000")]);
    let (mut at_former, mut moved) = (Vec::new(), Vec::new());
    for subject in 0..8 {
        let route = route("engines", Repeat::Resumable, 2);
        let (request, effects) = daemon.arrive(ms(10), &route, Some(prompt(7, subject)));
        if dispatch(&effects).server == "e-1" {
            at_former.push(request);
        }
    }
    assert!(!at_former.is_empty());
    for effect in daemon.deliver_records(ms(50), Topic::Servers, &[NEXT]) {
        if let Effect::Command(key, Command::Dispatch(_)) = effect {
            moved.push(key);
        }
    }
    assert_eq!(moved, at_former);
}

#[test]
fn orders_expect_the_order_count_of_the_target_incarnation() {
    let mut daemon = Daemon::with_servers(1, &[FORMER]);
    daemon.deliver_records(ms(10), Topic::Operator, &[("w", "weights 2")]);
    let mut expected_counts = Vec::new();
    let mut lease = 0;
    let mut key = None;
    for now in (20..8_000).step_by(20) {
        let mut effects = daemon.tick(ms(now));
        while let Some(effect) = effects.pop() {
            let message = match effect {
                Effect::AppendLease(text) => {
                    lease += 1;
                    Message::Lease(0, vec![(lease - 1, text)])
                }
                Effect::Order { server, expected_sequence: expect, .. } => {
                    key = Some(server);
                    expected_counts.push(expect);
                    Message::OrderEnded(server, OrderEnd::Accepted)
                }
                _ => continue,
            };
            effects.extend(daemon.node.apply(ms(now), message));
        }
        if expected_counts.len() == 1 && now % 200 == 0 {
            // It restarts while it loads weights; its status reports that before its registration does.
            let weights = BTreeMap::from([("m".to_owned(), 1)]);
            let state = State { weights, busy: false, sequence: 0, born: 2_000, is_leaving: false };
            let server = key.expect("an order names its server");
            daemon.node.apply(ms(now), Message::Polled(server, Some(state)));
        }
    }
    assert_eq!(expected_counts, [0, 0], "each incarnation has accepted no order before its first");
}

#[test]
fn report_of_the_former_incarnation_changes_nothing() {
    let mut daemon = Daemon::with_servers(1, &[FORMER, NEXT]);
    let key = daemon
        .node
        .incarnations
        .server(&Incarnation::new("e-1", 2_000))
        .expect("the newest incarnation is registered");
    let weights = BTreeMap::from([("m".to_owned(), 9)]);
    let state = State { weights, busy: false, sequence: 4, born: 1_000, is_leaving: false };
    daemon.node.apply(ms(10), Message::Polled(key, Some(state)));
    assert_eq!(metric_values(&mut daemon, ms(20), "weights"), ["1"]);
}
