//! Ages of weights versions that were learnt late, and recalls of requests that may no longer begin.

use super::site::Site;
use super::world::*;
use crate::fleet::*;
use crate::prelude::*;
use crate::route::Repeat;

const OLD_ENGINE: &str = "engine 201 ready 1";

fn naming(version: u64, age: Duration) -> Naming {
    Naming { model: "m".into(), version, age: Some(age) }
}

/// Sends a request to the engines; returns its key and the weights version of its dispatch.
fn send(daemon: &mut Daemon, now: Time) -> (Key, Option<u64>) {
    let (request, effects) =
        daemon.arrive(now, &route("engines", Repeat::AtMostOnce, 1), Some(prompt(7, 3)));
    let sent = commands(&effects).into_iter().find_map(|command| match command {
        Command::Dispatch(dispatch) => dispatch.weights_version,
        Command::HandOver(_) | Command::Refuse(..) | Command::GiveUp => None,
    });
    (request, sent)
}

fn gives_up(effects: &[Effect]) -> bool {
    commands(effects).iter().any(|command| matches!(command, Command::GiveUp))
}

fn digests(effects: Vec<Effect>) -> Vec<Frame> {
    let frames = effects.into_iter().filter_map(|effect| match effect {
        Effect::Send(_, frame @ Frame::Digest(_)) => Some(frame),
        _ => None,
    });
    frames.collect()
}

// The store loses the pending reads of all daemons in a short outage, then weights are named. The oldest read times
// out after 3.5 s and the next one returns the version. Its daemon sends it to the others, whose reads still seem to be
// pending, so they take the weights for named just now. The daemon that read the version doesn't know its age and
// adopts theirs, so no daemon corrects it.
#[test]
fn weights_named_in_an_outage_that_lost_all_reads_expire_in_time() {
    let mut site = Site::new(3, &[("e-1", OLD_ENGINE)]);
    let failed = || Message::ReadFailed(Dependency::Topic(Topic::Operator), "no answer".into());
    site.daemons[0].finish_empty_read(site.now);
    site.advance(ms(400));
    for daemon in &mut site.daemons[1..] {
        daemon.finish_empty_read(site.now);
    }
    // The short outage is here.
    site.advance(ms(300));
    let named_at = site.now;
    site.advance(ms(2_800));
    site.apply(0, failed());
    site.advance(ms(300));
    let effects =
        site.daemons[0].deliver_records(site.now, Topic::Operator, &[("version/m", "weights 2")]);
    for (to, message) in site.execute_effects(0, effects) {
        site.apply(to, message);
    }
    site.advance(ms(100));
    for index in 1..3 {
        site.apply(index, failed());
        site.advance(ms(300));
        site.daemons[index].finish_empty_read(site.now);
    }
    let end = named_at + POLICY.weights_limit;
    site.advance(end + ms(100) - site.now);
    let age = site.now - named_at;
    let believed_ages =
        site.daemons.iter().map(|daemon| daemon.node.superseded_for(site.now, "m", 1));
    let believed_ages: Vec<Option<Duration>> = believed_ages.collect();
    for index in 0..3 {
        site.arrive(index, "engines", Repeat::AtMostOnce);
    }
    let sent = site.sent_commands.iter().flatten().filter_map(|(_, command)| match command {
        Command::Dispatch(dispatch) => dispatch.weights_version,
        Command::HandOver(_) | Command::Refuse(..) | Command::GiveUp => None,
    });
    let sent: Vec<u64> = sent.collect();
    assert!(
        sent.is_empty(),
        "sent to versions {sent:?} {age:?} after the naming, believed ages {believed_ages:?}"
    );
}

// The store is down for almost two seconds while weights are named: every daemon's read fails, and the next one
// returns the version. Each daemon takes it for named just now, as it was up to date 1.9 s before. A request that
// waits in an engine's queue is recalled 1.5 s after the limit.
#[test]
fn weights_named_at_a_store_crash_recall_requests_within_the_limit() {
    let mut daemon = Daemon::with_servers(1, &[("e-1", OLD_ENGINE)]);
    for time in (0..=4_000).step_by(50) {
        daemon.tick(ms(time));
    }
    daemon.finish_empty_read(ms(4_000));
    let named_at = ms(4_050);
    let failed = Message::ReadFailed(Dependency::Topic(Topic::Operator), "reset".into());
    daemon.node.apply(ms(4_060), failed);
    for time in (4_060..5_950).step_by(50) {
        daemon.tick(ms(time));
    }
    daemon.deliver_records(ms(5_950), Topic::Operator, &[("version/m", "weights 2")]);
    for time in (5_950..11_400).step_by(50) {
        daemon.tick(ms(time));
    }
    let (_, sent) = send(&mut daemon, ms(11_400));
    let mut recalled = sent.is_none();
    let end = named_at + POLICY.weights_limit;
    let mut now = ms(11_400);
    while now < end {
        now += ms(20);
        recalled |= gives_up(&daemon.tick(now));
    }
    let believed = daemon.node.superseded_for(now, "m", 1);
    assert!(
        recalled,
        "not recalled {:?} after the naming, believed age {believed:?}",
        now - named_at
    );
}

// A starting daemon doesn't know when version 2 was named. Sixteen more versions are named, so version 2 is dropped
// from the list and version 3 takes over its unknown age. A peer's age of version 3 then replaces it, and an engine
// that restarted with version 1 is used, though version 1 was superseded at an unknown time.
#[test]
fn age_of_a_forgotten_version_stays_unknown() {
    let mut daemon = Daemon::new(1);
    daemon.deliver_records(
        ms(20),
        Topic::Operator,
        &[("version/m", "weights 2"), ("config", "table 1")],
    );
    daemon.deliver_records(ms(20), Topic::Servers, &[("e-1", OLD_ENGINE)]);
    assert_eq!(send(&mut daemon, ms(30)).1, None);
    for version in 3..=18 {
        let value = format!("weights {version}");
        daemon.deliver_records(ms(100), Topic::Operator, &[("version/m", &value)]);
    }
    assert_eq!(send(&mut daemon, ms(110)).1, None);
    let digest = Digest {
        daemon: "router-2".into(),
        address: address(2).to_string(),
        named: (3..=18).map(|version| naming(version, ms(120))).collect(),
        ..Digest::default()
    };
    daemon.node.apply(ms(120), Message::Frame(Frame::Digest(Box::new(digest))));
    assert_eq!(send(&mut daemon, ms(130)).1, None);
}

// A scheduler placed a request at an engine with old weights and crashed before it would have recalled it. The
// daemon that holds the request knows the limit too, but recalls no request that a scheduler placed until it counts
// the scheduler as gone, 1.75 s after the scheduler's last message.
#[test]
fn request_placed_by_a_crashed_scheduler_is_recalled_within_the_limit() {
    for scheduler_ends in [false, true] {
        let mut site = Site::new(9, &[("e-1", OLD_ENGINE)]);
        for daemon in &mut site.daemons {
            daemon.finish_empty_read(site.now);
            daemon.deliver_records(site.now, Topic::Operator, &[("version/m", "weights 2")]);
        }
        let named_at = site.now;
        site.advance(ms(5_300));
        let (other, scheduler) = (site.non_scheduler(), site.scheduler("engines"));
        let key = site.arrive(other, "engines", Repeat::AtMostOnce);
        assert_eq!(site.only_dispatch(other, key).weights_version, Some(1));
        site.advance(named_at + ms(7_400) - site.now);
        if scheduler_ends {
            site.down.insert(scheduler);
        }
        site.advance(named_at + POLICY.weights_limit - site.now);
        let commands = site.commands(other, key);
        let given_up = commands.iter().any(|command| matches!(command, Command::GiveUp));
        assert!(given_up, "the scheduler crashes: {scheduler_ends}; {commands:?}");
    }
}

// The store takes 1.5 s to answer. A read that it evaluates at 4.0 s finds nothing, and weights are named at 4.1 s. The
// next read starts with that answer at 5.5 s and returns them at 7.0 s. Every daemon takes them for named then, though
// it only knows that they were not named at 4.0 s.
#[test]
fn weights_named_while_the_store_answers_late_expire_in_time() {
    let mut daemon = Daemon::with_servers(1, &[("e-1", OLD_ENGINE)]);
    let named_at = ms(4_100);
    let end = daemon.node.end_offset(Topic::Operator);
    let read = |asked, to, records| {
        let batch = Batch { topic: Topic::Operator, from: end, to, records };
        Message::Read(Read { batch, is_snapshot: false, current_at: asked })
    };
    let value = Some(b"weights 2".to_vec());
    let second = Record { key: "version/m".into(), offset: end, value };
    for time in (0..12_400).step_by(50) {
        daemon.tick(ms(time));
        match time {
            5_500 => daemon.node.apply(ms(time), read(ms(4_000), end, Vec::new())),
            7_000 => daemon.node.apply(ms(time), read(ms(5_500), end + 1, vec![second.clone()])),
            _ => Vec::new(),
        };
    }
    let sent = send(&mut daemon, ms(12_400)).1;
    let believed = daemon.node.superseded_for(ms(12_400), "m", 1);
    assert_eq!(
        sent,
        None,
        "{:?} after the naming, believed age {believed:?}",
        ms(12_400) - named_at
    );
}

// The store answers slowly. A peer's read starts at 4.0 s, finds nothing new and is answered at 5.5 s; the peer reports
// its records as current at 5.5 s. A daemon that receives this report assumes that it missed nothing until 5.5 s, and
// takes weights received at 7.4 s for named then. They were named at 4.1 s.
#[test]
fn contact_through_a_peer_counts_from_the_start_of_its_read() {
    let mut daemon = Daemon::with_servers(1, &[("e-1", OLD_ENGINE)]);
    daemon.deliver_records(ms(0), Topic::Routers, &[("router-2", "router 2")]);
    let mut peer = Daemon::with_servers(2, &[]);
    peer.deliver_records(ms(0), Topic::Routers, &[("router-1", "router 1")]);
    for time in (0..=5_400).step_by(50) {
        peer.tick(ms(time));
        for frame in digests(daemon.tick(ms(time))) {
            peer.node.apply(ms(time), Message::Frame(frame));
        }
        if time == 4_000 {
            let failed = Message::ReadFailed(Dependency::Topic(Topic::Operator), "refused".into());
            daemon.node.apply(ms(time), failed);
        }
    }
    let named_at = ms(4_100);
    let end = peer.node.end_offset(Topic::Operator);
    let batch = Batch { topic: Topic::Operator, from: end, to: end, records: Vec::new() };
    let read = Read { batch, is_snapshot: false, current_at: ms(4_000) };
    peer.node.apply(ms(5_500), Message::Read(read));
    for time in (5_550..7_400).step_by(50) {
        let frames = digests(peer.tick(ms(time)));
        for frame in frames.into_iter().filter(|_| time < 6_000) {
            daemon.node.apply(ms(time), Message::Frame(frame));
        }
        for frame in digests(daemon.tick(ms(time))) {
            peer.node.apply(ms(time), Message::Frame(frame));
        }
    }
    daemon.deliver_records(ms(7_400), Topic::Operator, &[("version/m", "weights 2")]);
    for time in (7_400..12_800).step_by(50) {
        daemon.tick(ms(time));
    }
    let sent = send(&mut daemon, ms(12_800)).1;
    let believed = daemon.node.superseded_for(ms(12_800), "m", 1);
    assert_eq!(
        sent,
        None,
        "{:?} after the naming, believed age {believed:?}",
        ms(12_800) - named_at
    );
}
