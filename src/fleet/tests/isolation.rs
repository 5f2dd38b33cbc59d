//! Requests that may crash servers run alone.

use super::site::Site;
use super::world::*;
use crate::fleet::*;
use crate::poison::{Fingerprint, Incarnation, Interruption};
use crate::prelude::*;
use crate::route::Repeat;
use xxhash_rust::xxh3::xxh3_64;

const SUSPECT: Fingerprint = Fingerprint(u64::MAX);
const OTHER_SUSPECT: Fingerprint = Fingerprint(u64::MAX - 1);

/// Returns three daemons before `engines` engines.
fn site(engines: u8) -> Site {
    let records: Vec<(String, String)> =
        (0..engines).map(|n| (format!("e-{n}"), format!("engine {} ready 1", 101 + n))).collect();
    Site::new(3, &borrowed(&records))
}

/// Two crashes of former engines interrupt a request.
fn interrupt_twice(site: &mut Site, fingerprint: Fingerprint, run_time: Duration) {
    let interruptions = ["former-1", "former-2"].map(|server| Interruption {
        fingerprint,
        parts: Vec::new(),
        incarnation: Incarnation::of(server, Some("1")),
        pool: xxh3_64(b"engines"),
        servers: 7,
        run_time,
        age: ms(0),
        ran_alone: false,
    });
    let message = crate::poison::Message::Interruptions(interruptions.to_vec());
    for daemon in 0..3 {
        site.apply(daemon, Message::Frame(Frame::Poison(message.clone())));
    }
}

/// Sends a request at a daemon.
fn send(site: &mut Site, daemon: usize, fingerprint: Fingerprint) -> Key {
    site.daemons[daemon].fingerprint = fingerprint;
    site.arrive(daemon, "engines", Repeat::AtMostOnce)
}

/// Returns the dispatches among the commands for a request.
fn dispatches(site: &mut Site, daemon: usize, key: Key) -> Vec<Dispatch> {
    let commands = site.commands(daemon, key).into_iter();
    let dispatches = commands.filter_map(|command| match command {
        Command::Dispatch(dispatch) => Some(dispatch),
        _ => None,
    });
    dispatches.collect()
}

#[test]
fn suspect_is_sent_to_an_engine_without_requests() {
    let mut site = site(3);
    let first = send(&mut site, 0, Fingerprint(1));
    let busy = site.only_dispatch(0, first).address;
    interrupt_twice(&mut site, SUSPECT, ms(60));
    let suspect = send(&mut site, 1, SUSPECT);
    let alone = site.only_dispatch(1, suspect).address;
    assert_ne!(alone, busy);
    for n in 0..20 {
        let key = send(&mut site, 0, Fingerprint(10 + n));
        let others = dispatches(&mut site, 0, key);
        assert!(others.iter().all(|dispatch| dispatch.address != alone), "the suspect runs alone");
    }
}

#[test]
fn copy_of_a_suspect_waits_for_its_isolated_run() {
    let mut site = site(3);
    interrupt_twice(&mut site, SUSPECT, ms(60));
    let first = send(&mut site, 0, SUSPECT);
    let sent = site.only_dispatch(0, first);
    let second = send(&mut site, 1, SUSPECT);
    assert!(dispatches(&mut site, 1, second).is_empty());
    site.report(0, first, sent.attempt, Report::Begun(Some(1)));
    site.report(0, first, sent.attempt, Report::Ended);
    site.advance(ms(40));
    assert_eq!(dispatches(&mut site, 1, second).len(), 1);
}

// Copies of the culprit were refused for five seconds while weaker suspects ran alone one after the other.
#[test]
fn stronger_suspect_does_not_wait_for_the_run_of_a_weaker_one() {
    let mut site = site(3);
    interrupt_twice(&mut site, OTHER_SUSPECT, ms(200));
    interrupt_twice(&mut site, SUSPECT, ms(60));
    let weaker = send(&mut site, 0, OTHER_SUSPECT);
    let first = site.only_dispatch(0, weaker).address;
    let stronger = send(&mut site, 1, SUSPECT);
    assert_ne!(site.only_dispatch(1, stronger).address, first);
}

#[test]
fn suspect_waits_until_an_engine_has_ended_its_requests() {
    let mut site = site(1);
    let running = send(&mut site, 0, Fingerprint(1));
    let sent = site.only_dispatch(0, running);
    interrupt_twice(&mut site, SUSPECT, ms(60));
    let suspect = send(&mut site, 1, SUSPECT);
    assert!(dispatches(&mut site, 1, suspect).is_empty());
    site.report(0, running, sent.attempt, Report::Begun(Some(1)));
    site.report(0, running, sent.attempt, Report::Ended);
    site.advance(ms(40));
    assert_eq!(dispatches(&mut site, 1, suspect).len(), 1);
}

#[test]
fn suspect_that_outlives_its_earlier_runs_shares_its_engine_again() {
    let mut site = site(1);
    interrupt_twice(&mut site, SUSPECT, ms(60));
    let suspect = send(&mut site, 1, SUSPECT);
    site.only_dispatch(1, suspect);
    let next = send(&mut site, 0, Fingerprint(1));
    assert!(dispatches(&mut site, 0, next).is_empty());
    site.advance(ms(300));
    assert_eq!(dispatches(&mut site, 0, next).len(), 1);
}

#[test]
fn request_of_many_crashes_that_chance_explains_is_not_isolated() {
    let mut site = site(1);
    interrupt_twice(&mut site, Fingerprint(5), ms(4_000));
    let first = send(&mut site, 0, Fingerprint(1));
    site.only_dispatch(0, first);
    let second = send(&mut site, 1, Fingerprint(5));
    assert_eq!(dispatches(&mut site, 1, second).len(), 1);
}

// A pool of one engine under steady load is never without requests.
#[test]
fn suspect_that_waited_in_vain_runs_beside_others() {
    let mut site = site(1);
    let running = send(&mut site, 0, Fingerprint(1));
    let sent = site.only_dispatch(0, running);
    site.report(0, running, sent.attempt, Report::Begun(Some(1)));
    interrupt_twice(&mut site, SUSPECT, ms(60));
    let suspect = send(&mut site, 1, SUSPECT);
    site.advance(ms(2_400));
    assert!(dispatches(&mut site, 1, suspect).is_empty());
    site.advance(ms(200));
    assert_eq!(dispatches(&mut site, 1, suspect).len(), 1);
}

#[test]
fn engine_is_not_kept_free_for_a_suspect_that_was_cleared() {
    let mut site = site(1);
    let running = send(&mut site, 0, Fingerprint(1));
    let sent = site.only_dispatch(0, running);
    interrupt_twice(&mut site, SUSPECT, ms(60));
    send(&mut site, 1, SUSPECT);
    for daemon in 0..3 {
        let served = crate::poison::Message::Served(SUSPECT);
        site.apply(daemon, Message::Frame(Frame::Poison(served)));
    }
    site.report(0, running, sent.attempt, Report::Begun(Some(1)));
    site.report(0, running, sent.attempt, Report::Ended);
    let next = send(&mut site, 2, Fingerprint(2));
    assert_eq!(dispatches(&mut site, 2, next).len(), 1);
}
