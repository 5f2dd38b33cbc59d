//! A request whose content ends each server that begins to run it came again and again, and every daemon sent it
//! on: its caller's next try was a request like any other to it, and where a request may be repeated the daemon
//! itself sent it to up to four engines. Nothing that a daemon knew tied one try to the next.
//!
//! What settled it: of ten tries at three daemons each ended its engine or service, and all ten named one
//! fingerprint.

mod common;

use std::time::Duration;

use common::{Answer, Fleet, Plan};
use serde_json::json;

/// The text that ends servers here.
const FATAL: &str = "ends servers";
/// Servers that a request may end before it is known for that.
const KNOWN_AFTER: usize = 3;
/// Time from a try to the start of what replaces the servers that it ended.
const BACK_AFTER: Duration = Duration::from_millis(500);
/// Time between two tries.
const PAUSE: Duration = Duration::from_millis(700);

/// Daemons before servers that are replaced when they end.
struct Scene {
    fleet: Fleet,
    ended: usize,
    asked: usize,
}

impl Scene {
    fn start() -> Self {
        let fleet = Fleet::start(Plan {
            daemons: 3,
            engines: 5,
            services: 3,
            engine_args: vec!["--ends-on", FATAL],
            service_args: vec!["--ends-on", FATAL],
            settings: json!({ "drain_notice_ms": 100, "vm_list_interval_ms": 100 }),
            ..Plan::default()
        });
        Self { fleet, ended: 0, asked: 0 }
    }

    fn next(&mut self) -> usize {
        self.asked += 1;
        self.asked % self.fleet.daemons.len()
    }

    fn complete(&mut self) -> Answer {
        let index = self.next();
        let answer = self.fleet.complete(index, "a prompt that ends servers", 4, false);
        self.replace_ended();
        answer.expect("an answer comes")
    }

    fn pay(&mut self) -> Answer {
        let index = self.next();
        let answer = self.fleet.pay(index, None, "a payment that ends servers");
        self.replace_ended();
        answer.expect("an answer comes")
    }

    /// Puts another server in the place of each that has ended, as the same VM.
    fn replace_ended(&mut self) {
        std::thread::sleep(BACK_AFTER);
        let fleet = &mut self.fleet;
        for index in 0..fleet.engines.len() {
            if fleet.engines[index].has_ended() {
                self.ended += 1;
                fleet.engines[index] = fleet.new_engine();
                let address = fleet.engines[index].address();
                fleet.list_vm(&format!("engine-{index}"), "model-server", "model", address, index);
            }
        }
        for index in 0..fleet.services.len() {
            if fleet.services[index].has_ended() {
                self.ended += 1;
                fleet.services[index] = fleet.new_service();
                let address = fleet.services[index].address();
                let id = format!("service-{index}");
                fleet.list_vm(&id, "service-server", "client-service", address, index);
            }
        }
        fleet.put_list();
        std::thread::sleep(PAUSE);
    }
}

fn assert_refused(answer: &Answer) {
    assert_eq!((answer.status, answer.code(), answer.execution()), (503, 2010, "not-run"));
    assert!(!answer.header("retry-after").is_empty(), "it says when to come back");
}

#[test]
fn completion_that_ended_three_engines_is_refused_by_every_daemon() {
    let mut scene = Scene::start();
    for _ in 0..7 {
        scene.complete();
    }
    assert_eq!(scene.ended, KNOWN_AFTER, "engines that it ended");
    for _ in 0..3 {
        assert_refused(&scene.complete());
    }
    let served = scene.fleet.complete(0, "another prompt", 4, false).expect("an answer comes");
    assert_eq!(served.status, 200);
}

#[test]
fn payment_that_ended_three_services_is_refused_by_every_daemon() {
    let mut scene = Scene::start();
    for _ in 0..7 {
        scene.pay();
    }
    assert_eq!(scene.ended, KNOWN_AFTER, "services that it ended");
    for _ in 0..3 {
        assert_refused(&scene.pay());
    }
    let served = scene.fleet.pay(0, None, "another payment").expect("an answer comes");
    assert_eq!(served.status, 200);
}

#[test]
fn daemons_that_start_again_still_refuse_what_ended_engines() {
    let mut scene = Scene::start();
    for _ in 0..7 {
        scene.complete();
    }
    let ended = scene.ended;
    for index in 0..scene.fleet.daemons.len() {
        scene.fleet.daemons[index].kill();
    }
    for index in 0..scene.fleet.daemons.len() {
        scene.fleet.restart_daemon(index);
    }
    scene.fleet.settle();
    for _ in 0..3 {
        assert_refused(&scene.complete());
    }
    assert_eq!(scene.ended, ended, "engines that it ended after all daemons had been killed");
}
