//! Suspicions of a partition at one daemon, whose probes the tests answer.

use crate::fleet::tests::world::*;
use crate::fleet::*;
use crate::poison::Answer;
use crate::prelude::*;
use crate::route::Repeat;

const ENGINES: [(&str, &str); 8] = [
    ("e-1", "engine 21 ready 1"),
    ("e-2", "engine 22 ready 1"),
    ("e-3", "engine 23 ready 1"),
    ("e-4", "engine 24 ready 1"),
    ("e-5", "engine 25 ready 1"),
    ("e-6", "engine 26 ready 1"),
    ("e-7", "engine 27 ready 1"),
    ("e-8", "engine 28 ready 1"),
];

/// How probes end.
#[derive(Debug, Clone, Copy)]
struct Probes {
    connect: Connect,
    after_ms: u64,
}

const REFUSED: Probes = Probes { connect: Connect::Failed, after_ms: 10 };
const RESET: Probes = Probes { connect: Connect::Reset, after_ms: 10 };
const HANGING: Probes = Probes { connect: Connect::Failed, after_ms: 400 };

/// Ticks, and ends all probes; `during` runs at each tick.
fn run(
    daemon: &mut Daemon,
    from: u64,
    to: u64,
    probes: Probes,
    mut during: impl FnMut(&mut Daemon, u64) -> Vec<Effect>,
) {
    let mut due: Vec<(u64, server::Key)> = Vec::new();
    for at in (from..to).step_by(10) {
        let mut effects = daemon.tick(ms(at));
        let ready: Vec<_> = due.extract_if(.., |(when, _)| *when <= at).collect();
        for (_, key) in ready {
            effects.extend(daemon.node.apply(ms(at), Message::PathProbed(key, probes.connect)));
        }
        effects.extend(during(daemon, at));
        for effect in effects {
            if let Effect::ProbePath(key, _) = effect {
                due.push((at + probes.after_ms, key));
            }
        }
    }
}

fn arrive(daemon: &mut Daemon, at: u64) -> (Key, Vec<Command>) {
    let (key, effects) =
        daemon.arrive(ms(at), &route("engines", Repeat::AtMostOnce, 1), Some(prompt(7, at)));
    (key, commands(&effects))
}

// A suspicion without a server to probe never ended, and no other could arise.
#[test]
fn suspicion_without_servers_ends() {
    let mut daemon = Daemon::with_servers(1, &[]);
    run(&mut daemon, 0, 1_000, REFUSED, |_, _| Vec::new());
    daemon.node.suspect_paths(ms(1_000));
    run(&mut daemon, 1_000, 20_000, REFUSED, |_, _| Vec::new());
    assert!(!daemon.node.reach.is_suspicious(), "still suspicious after 19 s");
}

// Servers at their connection limit reset new connections, and kept ones went on. The daemon took that for a partition.
#[test]
fn crowd_at_the_connection_limit_is_no_partition() {
    let mut daemon = Daemon::with_servers(1, &ENGINES);
    run(&mut daemon, 0, 6_000, REFUSED, |_, _| Vec::new());
    let mut refused = BTreeMap::new();
    let (mut served, mut n) = (0, 0);
    run(&mut daemon, 6_000, 9_000, RESET, |daemon, at| {
        let mut effects = Vec::new();
        if at % 50 != 0 {
            return effects;
        }
        let (key, commands) = arrive(daemon, at);
        n += 1;
        for command in commands {
            match command {
                Command::Dispatch(dispatch) => {
                    // One in ten needs a new connection, which is reset.
                    let reports = match n % 10 {
                        0 => vec![Report::Lost(Loss::Connection)],
                        _ => vec![Report::Begun(Some(1)), Report::Ended],
                    };
                    for report in reports {
                        effects.extend(daemon.report(ms(at), key, dispatch.attempt, report));
                    }
                    served += 1;
                }
                Command::Refuse(code, _) => *refused.entry(code).or_insert(0) += 1,
                _ => {}
            }
        }
        effects
    });
    assert!(refused.is_empty(), "served {served}, refused {refused:?}");
}

// The probe of a server that may have crashed counts as accepted if it is reset afterwards. Two such ended the state.
#[test]
fn accepted_crash_probes_do_not_end_a_cut() {
    let mut daemon = Daemon::with_servers(1, &ENGINES);
    run(&mut daemon, 0, 6_000, REFUSED, |_, _| Vec::new());
    daemon.node.suspect_paths(ms(6_000));
    run(&mut daemon, 6_000, 7_000, REFUSED, |_, _| Vec::new());
    let known: Vec<_> =
        daemon.node.servers.iter().map(|(_, server)| server.poison_incarnation()).collect();
    assert!(daemon.node.is_cut_off(), "all probes failed");
    for incarnation in known.into_iter().take(2) {
        daemon.node.apply(ms(7_000), Message::Probed(incarnation, Answer::Accepted));
    }
    assert!(daemon.node.is_cut_off(), "the path probes still fail");
}

// New connections hung while many servers answered on kept ones: their answers outweighed the probes of others.
#[test]
fn hanging_connects_of_a_busy_daemon_are_noticed() {
    let engines: Vec<(String, String)> =
        (1..=60).map(|n| (format!("e-{n}"), format!("engine {} ready 1", 20 + n))).collect();
    let mut daemon = Daemon::with_servers(1, &borrowed(&engines));
    run(&mut daemon, 0, 6_000, REFUSED, |_, _| Vec::new());
    let keys: Vec<_> = daemon.node.servers.keys().collect();
    let mut cut = false;
    run(&mut daemon, 6_000, 14_000, HANGING, |daemon, at| {
        daemon.node.note_server_contact(ms(at), keys[(at / 10) as usize % keys.len()]);
        daemon.node.suspect_paths(ms(at));
        cut |= daemon.node.is_cut_off();
        Vec::new()
    });
    assert!(cut, "never cut off in 8 s in which all connects failed");
}
