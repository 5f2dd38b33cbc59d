//! The replay: the same seed gives the same figures; traces are read as they were written.

use cardamomvalve_standin::replay::faults::Fault;
use cardamomvalve_standin::replay::generate::{Kind, generate};
use cardamomvalve_standin::replay::policy::Policy;
use cardamomvalve_standin::replay::trace;
use cardamomvalve_standin::replay::world::{Setup, replay};

const SECONDS: u64 = 15;

fn figures(kind: Kind, fault: Fault, policy: Policy, seed: u64) -> serde_json::Value {
    let setup = Setup { kind, fault, policy, seed };
    replay(setup, generate(kind, seed, SECONDS)).json(kind, fault, policy)
}

#[test]
fn replay_same_seed_same_figures() {
    for kind in Kind::ALL {
        for fault in [Fault::EngineCrash, Fault::EventGaps] {
            let one = figures(kind, fault, Policy::Cardamomvalve, 1);
            assert_eq!(one, figures(kind, fault, Policy::Cardamomvalve, 1));
            assert_ne!(one, figures(kind, fault, Policy::Cardamomvalve, 2));
        }
    }
}

#[test]
fn replay_answers_all_under_every_fault() {
    for kind in Kind::ALL {
        for fault in Fault::ALL {
            let figures = figures(kind, fault, Policy::Cardamomvalve, 1);
            assert_eq!(figures["unanswered"], 0, "{kind:?} {fault:?}: {figures}");
        }
    }
}

#[test]
fn trace_read_as_written() {
    let written = generate(Kind::Mulgrave, 3, SECONDS);
    let mut file = Vec::new();
    trace::write(&mut file, &written).expect("it is written");
    assert_eq!(trace::read(file.as_slice()).expect("it is read"), written);
    assert!(trace::read(b"{}".as_slice()).is_err());
}
