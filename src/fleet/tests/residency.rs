//! Which daemon reads each holder's events, what peers learn, and how that affects placement.

use super::world::*;
use crate::fleet::*;
use crate::prelude::*;
use crate::route::{Repeat, Workspace};

const ENGINES: [(&str, &str); 3] =
    [("e-1", "engine 21 ready 1"), ("e-2", "engine 22 ready 1"), ("e-3", "engine 23 ready 1")];

fn daemons() -> Vec<Daemon> {
    let routers = [("router-1", "router 1"), ("router-2", "router 2"), ("router-3", "router 3")];
    let daemons = (1..=3).map(|last| {
        let mut daemon = Daemon::with_servers(last, &ENGINES);
        daemon.deliver_records(ms(0), Topic::Routers, &routers);
        daemon
    });
    daemons.collect()
}

/// A stand-in for engines and the KV store: the cache events published at each address.
#[derive(Default)]
struct Holders {
    events: BTreeMap<std::net::SocketAddr, Vec<CacheEvent>>,
    epochs: BTreeMap<std::net::SocketAddr, u64>,
    /// Daemons that read each address, in order.
    readers: BTreeMap<std::net::SocketAddr, Vec<usize>>,
}

impl Holders {
    fn cache_part(&mut self, last: u8, salt: &str, part: u64, tokens: u32) {
        let stored = CacheEvent { salt: salt.into(), part, tokens };
        self.events.entry(address(last)).or_default().push(stored);
    }

    fn restart(&mut self, last: u8) {
        *self.epochs.entry(address(last)).or_default() += 1;
        self.events.remove(&address(last));
    }

    fn read(&mut self, reader: usize, at: std::net::SocketAddr, since: u64) -> EventBatch {
        self.readers.entry(at).or_default().push(reader);
        let events = self.events.get(&at).map(Vec::as_slice).unwrap_or_default();
        let from = usize::try_from(since).expect("event numbers fit in usize").min(events.len());
        EventBatch {
            epoch: self.epochs.get(&at).copied().unwrap_or_default(),
            next: events.len() as u64,
            has_gap: false,
            events: events[from..].to_vec(),
        }
    }
}

/// Runs daemons that read `holders` and exchange frames, except frames that `is_dropped` selects.
fn run(
    daemons: &mut [Daemon],
    holders: &mut Holders,
    from: Time,
    span: Duration,
    is_dropped: fn(&Frame) -> bool,
) {
    let mut now = from;
    while now < from + span {
        now += ms(20);
        for index in 0..daemons.len() {
            let effects = daemons[index].tick(now);
            deliver(daemons, holders, now, index, effects, is_dropped);
        }
    }
}

fn deliver(
    daemons: &mut [Daemon],
    holders: &mut Holders,
    now: Time,
    from: usize,
    effects: Vec<Effect>,
    is_dropped: fn(&Frame) -> bool,
) -> Vec<(usize, Command)> {
    let mut received = Vec::new();
    let mut pending: Vec<(usize, Effect)> = effects.into_iter().map(|e| (from, e)).collect();
    while let Some((from, effect)) = pending.pop() {
        match effect {
            Effect::ReadEvents { place, address, since } => {
                let read = holders.read(from, address, since);
                let effects = daemons[from].node.apply(now, Message::Events(place, Some(read)));
                pending.extend(effects.into_iter().map(|effect| (from, effect)));
            }
            Effect::Send(to, frame) if !is_dropped(&frame) => {
                for to in (0..daemons.len()).filter(|i| to.contains(&address(*i as u8 + 1))) {
                    let effects = daemons[to].node.apply(now, Message::Frame(frame.clone()));
                    pending.extend(effects.into_iter().map(|effect| (to, effect)));
                }
            }
            Effect::Command(_, command) => received.push((from, command)),
            _ => {}
        }
    }
    received
}

fn drop_none(_: &Frame) -> bool {
    false
}

/// Sends a prompt through one of the daemons and returns its dispatch, whichever daemon schedules
/// it; the caller then leaves.
fn send_prompt(daemons: &mut [Daemon], at: usize, now: Time, subject: u64) -> Dispatch {
    send_prompt_for(daemons, at, now, subject, None)
}

fn send_prompt_for(
    daemons: &mut [Daemon],
    at: usize,
    now: Time,
    subject: u64,
    owner: Option<Workspace>,
) -> Dispatch {
    let route = route("engines", Repeat::Resumable, 2);
    let (request, effects) = daemons[at].arrive_for(now, &route, Some(prompt(7, subject)), owner);
    let sent = placed(daemons, now, at, effects);
    let effects = daemons[at].node.apply(now, Message::Cancel(request));
    deliver(daemons, &mut Holders::default(), now, at, effects, drop_none);
    sent
}

/// Returns the only dispatch that results from the effects of a daemon, at that daemon.
fn placed(daemons: &mut [Daemon], now: Time, at: usize, effects: Vec<Effect>) -> Dispatch {
    let received = deliver(daemons, &mut Holders::default(), now, at, effects, drop_none);
    match received.as_slice() {
        [(daemon, Command::Dispatch(sent))] if *daemon == at => sent.clone(),
        other => panic!("expected one dispatch, at the daemon itself: {other:?}"),
    }
}

/// An engine that is not chosen for `subject` while no events are known.
fn engine_other_than_home(subject: u64) -> u8 {
    let home = send_prompt(&mut [Daemon::with_servers(1, &ENGINES)], 0, ms(1), subject);
    (21..24)
        .find(|last| address(*last) != home.address)
        .expect("only one of three engines is chosen")
}

#[test]
fn each_holder_is_read_by_one_daemon_and_another_takes_over() {
    let (mut daemons, mut holders) = (daemons(), Holders::default());
    run(&mut daemons, &mut holders, ms(0), ms(2_000), drop_none);
    holders.readers.clear();
    run(&mut daemons, &mut holders, ms(2_000), ms(3_000), drop_none);
    assert_eq!(holders.readers.len(), 4, "three engines and the KV store");
    let mut readers = BTreeMap::new();
    for (at, seen) in &holders.readers {
        assert!(seen.iter().all(|reader| reader == &seen[0]), "{at}: {seen:?}");
        readers.insert(*at, seen[0]);
    }
    // The daemon that reads the first engine's events stops.
    let stopped = readers[&address(21)];
    daemons.remove(stopped);
    holders.readers.clear();
    let other =
        daemons.iter_mut().position(|d| d.node.is_ready()).expect("two ready daemons are left");
    for now in (5_000..9_000).step_by(20) {
        let effects = daemons[other].tick(ms(now));
        deliver(&mut daemons, &mut holders, ms(now), other, effects, |_| true);
    }
    assert!(holders.readers.contains_key(&address(21)));
}

#[test]
fn parts_are_fetched_from_their_holder_by_every_daemon() {
    for subject in 0..8 {
        let holder = engine_other_than_home(subject);
        let (mut daemons, mut holders) = (daemons(), Holders::default());
        run(&mut daemons, &mut holders, ms(0), ms(1_000), drop_none);
        holders.cache_part(holder, "1", 7, 2_500);
        holders.cache_part(holder, "1", subject, 3_800);
        run(&mut daemons, &mut holders, ms(1_000), ms(1_000), drop_none);
        for daemon in 0..3 {
            let sent = send_prompt(&mut daemons, daemon, ms(2_010), subject);
            let held_there = sent.address == address(holder);
            assert!(held_there || sent.fetch_from == Some(address(holder)), "{subject}: {sent:?}");
        }
    }
}

#[test]
fn parts_of_other_weights_or_of_an_isolated_workspace_are_not_fetched() {
    let subject = 3;
    let holder = engine_other_than_home(subject);
    let (mut daemons, mut holders) = (daemons(), Holders::default());
    run(&mut daemons, &mut holders, ms(0), ms(1_000), drop_none);
    for salt in ["2", "1.other"] {
        holders.cache_part(holder, salt, 7, 2_500);
        holders.cache_part(holder, salt, subject, 3_800);
    }
    run(&mut daemons, &mut holders, ms(1_000), ms(1_000), drop_none);
    assert_eq!(send_prompt(&mut daemons, 0, ms(2_010), subject).fetch_from, None);
    let lab = Workspace { name: "lab".into(), priority: None, isolated: true, quota: None };
    assert_eq!(send_prompt_for(&mut daemons, 1, ms(2_010), subject, Some(lab)).fetch_from, None);
}

#[test]
fn restarted_engine_holds_nothing() {
    let subject = 3;
    let holder = engine_other_than_home(subject);
    let (mut daemons, mut holders) = (daemons(), Holders::default());
    holders.cache_part(holder, "1", 7, 2_500);
    holders.cache_part(holder, "1", subject, 3_800);
    run(&mut daemons, &mut holders, ms(0), ms(1_500), drop_none);
    holders.restart(holder);
    // By now the engine has published more events than before its restart; none of them may be
    // missed.
    for part in 100..110 {
        holders.cache_part(holder, "1", part, 600);
    }
    holders.cache_part(holder, "1", 7, 2_500);
    run(&mut daemons, &mut holders, ms(1_500), ms(1_500), drop_none);
    for daemon in &mut daemons {
        let servers = daemon.node.servers.values();
        let restarted = servers.filter(|server| server.entry.address == address(holder));
        let parts: Vec<usize> = restarted.map(|server| server.residency.len()).collect();
        assert_eq!(parts, [11], "parts from before the restart count, or parts since are missing");
    }
}

#[test]
fn peer_that_missed_an_update_requests_all_parts() {
    let subject = 3;
    let holder = engine_other_than_home(subject);
    let (mut daemons, mut holders) = (daemons(), Holders::default());
    run(&mut daemons, &mut holders, ms(0), ms(1_000), drop_none);
    holders.cache_part(holder, "1", 7, 2_500);
    holders.cache_part(holder, "1", subject, 3_800);
    // The updates about these parts are dropped.
    run(&mut daemons, &mut holders, ms(1_000), ms(200), |frame| {
        matches!(frame, Frame::Residency(_))
    });
    run(&mut daemons, &mut holders, ms(1_200), ms(2_500), drop_none);
    for daemon in 0..3 {
        let sent = send_prompt(&mut daemons, daemon, ms(3_710), subject);
        assert!(sent.address == address(holder) || sent.fetch_from == Some(address(holder)));
    }
}

#[test]
fn concurrent_requests_for_a_cold_part_go_to_one_engine() {
    let (mut daemons, mut holders) = (daemons(), Holders::default());
    run(&mut daemons, &mut holders, ms(0), ms(1_000), drop_none);
    let route = route("engines", Repeat::Resumable, 2);
    let mut readers = BTreeSet::new();
    for now in [1_010, 1_030, 1_050] {
        for index in 0..daemons.len() {
            let (_, effects) = daemons[index].arrive(ms(now), &route, Some(prompt(7, 3)));
            for (_, command) in
                deliver(&mut daemons, &mut holders, ms(now), index, effects, drop_none)
            {
                let Command::Dispatch(sent) = command else { panic!("{command:?}") };
                // An engine that is still computing the part has nothing to fetch yet.
                assert_eq!(sent.fetch_from, None);
                readers.insert(sent.server);
            }
        }
    }
    assert_eq!(readers.len(), 1, "{readers:?}");
}

#[test]
fn kv_store_link_budget_is_shared_by_all_daemons() {
    let (mut daemons, mut holders) = (daemons(), Holders::default());
    run(&mut daemons, &mut holders, ms(0), ms(2_000), drop_none);
    // 47 GB/s: 0.2 s of 80% of it carries five prompts of 9,000 tokens of 164 KB.
    let mut saved = 0;
    for subject in 0..200 {
        saved += usize::from(send_prompt(&mut daemons, 0, ms(2_010), subject).save_to.is_some());
    }
    assert!(
        (4..7).contains(&saved),
        "saved prompts of one daemon, which may use all free capacity: {saved}"
    );
    // The other daemons learn how much was used, and use only what has become free since.
    run(&mut daemons, &mut holders, ms(2_010), ms(300), drop_none);
    let mut saved_later = 0;
    for subject in 200..400 {
        saved_later +=
            usize::from(send_prompt(&mut daemons, 1, ms(2_320), subject).save_to.is_some());
    }
    assert!(saved_later <= 6, "{saved_later} more prompts saved after a third of a second");
}

#[test]
fn large_prompt_is_announced_to_all_daemons_at_once() {
    let (mut daemons, mut holders) = (daemons(), Holders::default());
    run(&mut daemons, &mut holders, ms(0), ms(1_000), drop_none);
    let route = route("engines", Repeat::Resumable, 2);
    let (_, effects) = daemons[0].arrive(ms(1_010), &route, Some(prompt(7, 3)));
    let reader = placed(&mut daemons, ms(1_010), 0, effects).server;
    // Small requests at another daemon go to other engines, even before the next digest.
    let parts = vec![Part { id: 9, tokens: 100 }, Part { id: 10, tokens: 200 }];
    let small = Prompt { model: "m".into(), input: 300, output: 9, parts };
    for _ in 0..4 {
        let (request, effects) = daemons[1].arrive(ms(1_011), &route, Some(small.clone()));
        assert_ne!(placed(&mut daemons, ms(1_011), 1, effects).server, reader);
        let effects = daemons[1].node.apply(ms(1_012), Message::Cancel(request));
        deliver(&mut daemons, &mut holders, ms(1_012), 1, effects, drop_none);
    }
}

#[test]
fn large_prompt_placed_without_a_scheduler_is_announced_at_once() {
    // Four daemons, one of which does not schedule and gets no answer from the schedulers.
    let routers = (1..=4).map(|last| (format!("router-{last}"), format!("router {last}")));
    let routers: Vec<(String, String)> = routers.collect();
    let routers: Vec<(&str, &str)> =
        routers.iter().map(|(id, value)| (id.as_str(), value.as_str())).collect();
    let daemons = (1..=4).map(|last| {
        let mut daemon = Daemon::with_servers(last, &ENGINES);
        daemon.deliver_records(ms(0), Topic::Routers, &routers);
        daemon
    });
    let (mut daemons, mut holders): (Vec<Daemon>, _) = (daemons.collect(), Holders::default());
    run(&mut daemons, &mut holders, ms(0), ms(4_000), drop_none);
    let at = daemons.iter().position(|daemon| !daemon.node.is_scheduler(ms(4_000)));
    let at = at.expect("three of four daemons schedule");
    let route = route("engines", Repeat::Resumable, 2);
    let (request, _) = daemons[at].arrive(ms(4_010), &route, Some(prompt(7, 3)));
    assert!(commands(&daemons[at].tick(ms(4_100))).is_empty(), "the next scheduler is tried first");
    let effects = daemons[at].tick(ms(4_200));
    let sent = dispatch(&effects);
    let notice = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::Send(to, Frame::Notice(notice)) => Some((to.len(), notice.clone())),
            _ => None,
        })
    };
    let (peer_count, placed) = notice(&effects).expect("a notice goes to the schedulers");
    assert_eq!((peer_count, placed.incarnation.id), (3, sent.server));
    assert!(placed.busy.pending_tokens > 0 && !placed.parts.is_empty());
    let effects = daemons[at].report(ms(4_300), request, 1, Report::Begun(Some(1)));
    assert_eq!(
        notice(&effects).expect("a notice follows when the answer begins").1.busy.pending_tokens,
        0
    );
}

#[test]
fn removed_server_leaves_no_event_poll() {
    let mut daemon = Daemon::with_servers(1, &ENGINES);
    let mut asked = Vec::new();
    for effect in daemon.tick(ms(20)) {
        if let Effect::ReadEvents { place, .. } = effect {
            asked.push(place);
        }
    }
    assert_eq!(asked.len(), 4);
    daemon.deliver_records(ms(30), Topic::Servers, &ENGINES.map(|(id, _)| (id, "")));
    for place in asked {
        daemon.node.apply(ms(40), Message::Events(place, None));
    }
    let left: Vec<Location> = daemon.node.event_reads.keys().copied().collect();
    assert_eq!(left, [Location::Store(address(200))]);
}

/// Number of event reads that a scheduler starts in two seconds.
fn event_reads_in_two_seconds(engines: usize) -> usize {
    let names: Vec<(String, String)> =
        (0..engines).map(|n| (format!("e-{n}"), format!("engine {} ready 1", n % 200))).collect();
    let mut daemon = Daemon::with_servers(1, &borrowed(&names));
    let mut started = 0;
    for time in (0..2_000).step_by(20) {
        let effects = daemon.tick(ms(time));
        let places = effects.into_iter().filter_map(|effect| match effect {
            Effect::ReadEvents { place, .. } => Some(place),
            _ => None,
        });
        let places: Vec<Location> = places.collect();
        started += places.len();
        for place in places {
            let batch = EventBatch { epoch: 1, next: 1, has_gap: false, events: Vec::new() };
            daemon.node.apply(ms(time), Message::Events(place, Some(batch)));
        }
    }
    started
}

// Each tick walked all engines, whether or not a read of their events was due.
#[test]
fn read_events_every_engine_is_read_at_its_interval() {
    // Up to ten times in two seconds for 12 engines, and at most every 800 ms for many.
    assert!((12 * 10..=12 * 21).contains(&event_reads_in_two_seconds(12)));
    assert!((400 * 2..=400 * 4).contains(&event_reads_in_two_seconds(400)));
}
