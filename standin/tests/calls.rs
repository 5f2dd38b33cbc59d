//! Calls of plain services under failure: at most once, and true about it.

mod common;

use std::time::Duration;

use common::{Fleet, LAB, Plan, call, put, until};
use http_types::Method;
use rustix::process::Signal;
use serde_json::json;

fn fault(fleet: &Fleet, faults: &serde_json::Value) {
    for service in &fleet.services {
        put(service.address(), "/faults", faults);
    }
}

/// Asks until the ledger's answer for this key has settled.
fn settled(fleet: &Fleet, index: usize, key: &str, body: &str) -> common::Answer {
    let mut last = None;
    until("the key's outcome", || {
        let answer = fleet.pay(index, Some(key), body).expect("an answer");
        let done = answer.code() != 3002;
        last = Some(answer);
        done
    });
    last.expect("it was asked")
}

#[test]
fn broken_answer_is_unknown_and_never_repeated() {
    let fleet = Fleet::start(Plan::default());
    let faults =
        [json!({ "cut": true }), json!({ "short": true }), json!({ "filler": 17_000_000 })];
    for (index, faults) in faults.iter().enumerate() {
        fault(&fleet, faults);
        let (keyed, unkeyed) = (format!("keyed {index}"), format!("unkeyed {index}"));
        let answer = fleet.pay(0, None, &unkeyed).expect("an answer");
        assert_eq!(answer.execution(), "unknown", "{faults}: {}", answer.body);
        assert_eq!(fleet.runs_of(&unkeyed), 1, "{faults}");
        let key = format!("key-{index}");
        let answer = fleet.pay(0, Some(&key), &keyed).expect("an answer");
        assert_eq!(answer.execution(), "unknown", "{faults}");
        fault(&fleet, &json!({}));
        for daemon in 0..2 {
            let again = settled(&fleet, daemon, &key, &keyed);
            assert_eq!((again.code(), again.execution()), (3003, "unknown"), "{faults}");
        }
        assert_eq!(fleet.runs_of(&keyed), 1, "{faults}");
    }
}

// The status of a service's own failure may tell callers that the request did not run.
#[test]
fn failure_of_a_service_is_marked_as_run_whatever_its_status() {
    let fleet = Fleet::start(Plan::default());
    for status in [408, 429, 503] {
        fault(&fleet, &json!({ "status": status }));
        let (keyed, unkeyed) = (format!("keyed {status}"), format!("unkeyed {status}"));
        let answer = fleet.pay(0, None, &unkeyed).expect("an answer");
        assert_eq!((answer.status, answer.execution()), (status, "done"));
        let key = format!("key-{status}");
        let answer = fleet.pay(0, Some(&key), &keyed).expect("an answer");
        assert_eq!((answer.status, answer.execution()), (status, "done"));
        fault(&fleet, &json!({}));
        for daemon in 0..2 {
            let again = settled(&fleet, daemon, &key, &keyed);
            assert_eq!((again.status, again.execution()), (status, "done"), "daemon {daemon}");
        }
        assert_eq!((fleet.runs_of(&keyed), fleet.runs_of(&unkeyed)), (1, 1), "{status}");
    }
}

#[test]
fn idempotent_call_is_repeated() {
    let fleet = Fleet::start(Plan { services: 2, ..Plan::default() });
    put(fleet.services[0].address(), "/faults", &json!({ "cut": true }));
    let key = format!("Bearer {LAB}");
    for _ in 0..6 {
        let headers = [("authorization", key.as_str())];
        let answer = call(Method::Get, fleet.entry(0), "/services/samples/log", &headers, "");
        assert_eq!(answer.expect("an answer").status, 200);
    }
}

#[test]
fn deduplicating_service_is_repeated_with_its_key() {
    let fleet = Fleet::start(Plan { services: 2, ..Plan::default() });
    put(fleet.services[0].address(), "/faults", &json!({ "cut": true }));
    let bearer = format!("Bearer {LAB}");
    for number in 0..6 {
        let key = format!("key-{number}");
        let headers = [("authorization", bearer.as_str()), ("idempotency-key", key.as_str())];
        let path = "/services/receipts/x";
        let answer = call(Method::Post, fleet.entry(0), path, &headers, "body");
        assert_eq!(answer.expect("an answer").status, 200);
    }
}

#[test]
fn unreachable_service_is_not_run() {
    let mut fleet = Fleet::start(Plan { daemons: 1, ..Plan::default() });
    fleet.services[0].kill();
    let answer = fleet.pay(0, Some("k"), "b").expect("an answer");
    assert_eq!(answer.execution(), "not-run", "{}", answer.body);
    assert_ne!(answer.header("retry-after"), "");
    // The claim was released: with the service back, the same key runs.
    let service = common::Process::start("standin-service", &[]);
    fleet.list_vm("service-0b", "service-server", "client-service", service.address(), 0);
    fleet.services[0] = service;
    fleet.put_list();
    until("the key runs", || fleet.pay(0, Some("k"), "b").is_ok_and(|answer| answer.status == 200));
    assert_eq!(fleet.runs_of("b"), 1);
}

#[test]
fn same_key_at_all_daemons_at_once_runs_once() {
    let fleet = Fleet::start(Plan { daemons: 3, ..Plan::default() });
    for round in 0..10 {
        let (key, body) = (format!("key-{round}"), format!("body {round}"));
        let answers: Vec<_> = std::thread::scope(|scope| {
            let asking: Vec<_> = (0..6)
                .map(|asker| {
                    let (fleet, key, body) = (&fleet, &key, &body);
                    scope.spawn(move || fleet.pay(asker % 3, Some(key), body))
                })
                .collect();
            asking.into_iter().map(|ask| ask.join().expect("it ends").expect("an answer")).collect()
        });
        let ran = answers.iter().filter(|answer| answer.status == 200).count();
        assert!(ran >= 1, "{answers:?}");
        assert!(answers.iter().all(|answer| answer.status == 200 || answer.code() == 3002));
        let receipts: std::collections::BTreeSet<String> =
            (0..3).map(|daemon| settled(&fleet, daemon, &key, &body).body).collect();
        assert_eq!(receipts.len(), 1, "{receipts:?}");
        assert_eq!(fleet.runs_of(&body), 1);
    }
}

#[test]
fn lost_append_answers_run_once() {
    let fleet = Fleet::start(Plan::default());
    put(fleet.log.address(), "/faults", &json!({ "mode": "lose-answers" }));
    for number in 0..5 {
        let (key, body) = (format!("key-{number}"), format!("body {number}"));
        let answer = fleet.pay(0, Some(&key), &body).expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert_eq!(settled(&fleet, 1, &key, &body).body, answer.body);
        assert_eq!(fleet.runs_of(&body), 1);
    }
}

#[test]
fn log_down_refuses_keyed_at_once_and_serves_all_else() {
    let fleet = Fleet::start(Plan::default());
    let before = fleet.pay(0, Some("before"), "before").expect("an answer");
    until("the outcome on the log", || {
        fleet.pay(1, Some("before"), "before").is_ok_and(|answer| answer.body == before.body)
    });
    put(fleet.log.address(), "/faults", &json!({ "mode": "down" }));
    until("the outage is seen", || (0..2).all(|index| fleet.status(index)["log_up"] == false));
    let keyed = fleet.pay(0, Some("k"), "keyed").expect("an answer");
    assert_eq!((keyed.code(), keyed.execution()), (2007, "not-run"));
    assert_ne!(keyed.header("retry-after"), "");
    assert_eq!(fleet.runs_of("keyed"), 0);
    assert_eq!(fleet.pay(0, None, "unkeyed").expect("an answer").status, 200);
    assert_eq!(fleet.complete(0, "p", 1, false).expect("an answer").status, 200);
    assert_eq!(fleet.pay(1, Some("before"), "before").expect("an answer").body, before.body);
    put(fleet.log.address(), "/faults", &json!({}));
    until("keyed calls run again", || {
        fleet.pay(0, Some("k"), "keyed").is_ok_and(|answer| answer.status == 200)
    });
    assert_eq!(fleet.runs_of("keyed"), 1);
}

#[test]
fn late_landing_append_is_released() {
    let fleet = Fleet::start(Plan::default());
    put(fleet.log.address(), "/faults", &json!({ "mode": "land-late" }));
    let answer = fleet.pay(0, Some("k"), "late").expect("an answer");
    assert_eq!((answer.code(), answer.execution()), (2007, "not-run"));
    put(fleet.log.address(), "/faults", &json!({}));
    until("the claim lands, is released, and the key runs", || {
        fleet.pay(1, Some("k"), "late").is_ok_and(|answer| answer.status == 200)
    });
    for daemon in 0..2 {
        assert_eq!(settled(&fleet, daemon, "k", "late").status, 200);
    }
    assert_eq!(fleet.runs_of("late"), 1);
}

#[test]
fn claimant_killed_after_dispatch_is_unknown() {
    let mut fleet = Fleet::start(Plan::default());
    fault(&fleet, &json!({ "delay_ms": 60_000 }));
    let entry = fleet.entry(0);
    let asking = std::thread::spawn(move || {
        let key = format!("Bearer {LAB}");
        let headers = [("authorization", key.as_str()), ("idempotency-key", "k")];
        call(Method::Post, entry, "/services/pay/payments", &headers, "killed")
    });
    until("it runs", || fleet.runs_of("killed") == 1);
    fleet.daemons[0].kill();
    assert!(asking.join().expect("it ends").is_err(), "the caller's connection broke");
    fault(&fleet, &json!({}));
    let again = settled(&fleet, 1, "k", "killed");
    assert_eq!((again.code(), again.execution()), (3003, "unknown"));
    fleet.restart_daemon(0);
    fleet.settle();
    let again = settled(&fleet, 0, "k", "killed");
    assert_eq!((again.code(), again.execution()), (3003, "unknown"));
    assert_eq!(fleet.runs_of("killed"), 1);
}

#[test]
fn claimant_paused_past_its_deadline_does_not_dispatch() {
    let fleet = Fleet::start(Plan::default());
    // The claim's way through the log is slow, so that the pause begins before the dispatch.
    put(fleet.log.address(), "/faults", &json!({ "delay_ms": 300 }));
    let entry = fleet.entry(0);
    let asking = std::thread::spawn(move || {
        let key = format!("Bearer {LAB}");
        let headers =
            [("authorization", key.as_str()), ("idempotency-key", "k"), ("x-deadline-ms", "1500")];
        call(Method::Post, entry, "/services/pay/payments", &headers, "paused")
    });
    until("the request is taken", || fleet.status(0)["open"] == 1);
    fleet.daemons[0].signal(Signal::STOP);
    std::thread::sleep(Duration::from_secs(2));
    fleet.daemons[0].signal(Signal::CONT);
    let answer = asking.join().expect("it ends").expect("an answer");
    assert_eq!(answer.execution(), "not-run", "{}", answer.body);
    assert_eq!(fleet.runs_of("paused"), 0);
}
