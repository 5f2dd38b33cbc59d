//! What engines hold: who reads their events, what peers hear of them, and what follows for requests.

use super::world::*;
use crate::fleet::*;
use crate::prelude::*;
use crate::route::{Repeat, Workspace};

const ENGINES: [(&str, &str); 3] =
    [("e-1", "engine 21 ready 1"), ("e-2", "engine 22 ready 1"), ("e-3", "engine 23 ready 1")];

fn daemons() -> Vec<Daemon> {
    let routers = [("router-1", "router 1"), ("router-2", "router 2"), ("router-3", "router 3")];
    let daemons = (1..=3).map(|last| {
        let mut daemon = Daemon::with(last, &ENGINES);
        daemon.put(ms(0), Topic::Routers, &routers);
        daemon
    });
    daemons.collect()
}

/// What keeps parts, as a stand-in for engines and the KV store: the events of each address.
#[derive(Default)]
struct Keepers {
    events: BTreeMap<std::net::SocketAddr, Vec<CacheEvent>>,
    epochs: BTreeMap<std::net::SocketAddr, u64>,
    /// Daemons that read each address, in order.
    readers: BTreeMap<std::net::SocketAddr, Vec<usize>>,
}

impl Keepers {
    fn keep(&mut self, last: u8, salt: &str, part: u64, tokens: u32) {
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
        let from = usize::try_from(since).expect("it is small").min(events.len());
        EventBatch {
            epoch: self.epochs.get(&at).copied().unwrap_or_default(),
            next: events.len() as u64,
            has_gap: false,
            events: events[from..].to_vec(),
        }
    }
}

/// Runs daemons that read `keepers` and hear each other, but for frames that `lost` picks.
fn run(
    daemons: &mut [Daemon],
    keepers: &mut Keepers,
    from: Time,
    span: Duration,
    lost: fn(&Frame) -> bool,
) {
    let mut now = from;
    while now < from + span {
        now += ms(20);
        for index in 0..daemons.len() {
            let effects = daemons[index].tick(now);
            carry(daemons, keepers, now, index, effects, lost);
        }
    }
}

fn carry(
    daemons: &mut [Daemon],
    keepers: &mut Keepers,
    now: Time,
    from: usize,
    effects: Vec<Effect>,
    lost: fn(&Frame) -> bool,
) -> Vec<(usize, Command)> {
    let mut told = Vec::new();
    let mut pending: Vec<(usize, Effect)> = effects.into_iter().map(|e| (from, e)).collect();
    while let Some((from, effect)) = pending.pop() {
        match effect {
            Effect::ReadEvents { place, address, since } => {
                let read = keepers.read(from, address, since);
                let effects = daemons[from].node.apply(now, Message::Events(place, Some(read)));
                pending.extend(effects.into_iter().map(|effect| (from, effect)));
            }
            Effect::Send(to, frame) if !lost(&frame) => {
                for to in (0..daemons.len()).filter(|i| to.contains(&address(*i as u8 + 1))) {
                    let effects = daemons[to].node.apply(now, Message::Frame(frame.clone()));
                    pending.extend(effects.into_iter().map(|effect| (to, effect)));
                }
            }
            Effect::Command(_, command) => told.push((from, command)),
            _ => {}
        }
    }
    told
}

fn none(_: &Frame) -> bool {
    false
}

/// Where a prompt at one of the daemons goes, whichever daemon schedules it; its caller leaves.
fn send(daemons: &mut [Daemon], at: usize, now: Time, subject: u64) -> Dispatch {
    send_for(daemons, at, now, subject, None)
}

fn send_for(
    daemons: &mut [Daemon],
    at: usize,
    now: Time,
    subject: u64,
    owner: Option<Workspace>,
) -> Dispatch {
    let route = route("engines", Repeat::Resumable, 2);
    let (request, effects) = daemons[at].arrive_for(now, &route, Some(prompt(7, subject)), owner);
    let sent = placed(daemons, now, at, effects);
    let effects = daemons[at].node.apply(now, Message::Leave(request));
    carry(daemons, &mut Keepers::default(), now, at, effects, none);
    sent
}

/// The only dispatch that follows from the effects of a daemon, at that daemon.
fn placed(daemons: &mut [Daemon], now: Time, at: usize, effects: Vec<Effect>) -> Dispatch {
    let told = carry(daemons, &mut Keepers::default(), now, at, effects, none);
    match told.as_slice() {
        [(told, Command::Dispatch(sent))] if *told == at => sent.clone(),
        other => panic!("one dispatch was expected: {other:?}"),
    }
}

/// An engine that `subject` does not go to where nothing is known.
fn not_the_home(subject: u64) -> u8 {
    let home = send(&mut [Daemon::with(1, &ENGINES)], 0, ms(1), subject);
    (21..24).find(|last| address(*last) != home.address).expect("there are three")
}

#[test]
fn each_keeper_is_read_by_one_daemon_and_another_takes_over() {
    let (mut daemons, mut keepers) = (daemons(), Keepers::default());
    run(&mut daemons, &mut keepers, ms(0), ms(2_000), none);
    keepers.readers.clear();
    run(&mut daemons, &mut keepers, ms(2_000), ms(3_000), none);
    assert_eq!(keepers.readers.len(), 4, "three engines and the KV store");
    let mut readers = BTreeMap::new();
    for (at, seen) in &keepers.readers {
        assert!(seen.iter().all(|reader| reader == &seen[0]), "{at}: {seen:?}");
        readers.insert(*at, seen[0]);
    }
    // The reader of the first engine's events stops.
    let gone = readers[&address(21)];
    daemons.remove(gone);
    keepers.readers.clear();
    let other = daemons.iter_mut().position(|d| d.node.is_ready()).expect("two are left");
    for now in (5_000..9_000).step_by(20) {
        let effects = daemons[other].tick(ms(now));
        carry(&mut daemons, &mut keepers, ms(now), other, effects, |_| true);
    }
    assert!(keepers.readers.contains_key(&address(21)));
}

#[test]
fn parts_are_fetched_from_what_holds_them_by_every_daemon() {
    for subject in 0..8 {
        let holder = not_the_home(subject);
        let (mut daemons, mut keepers) = (daemons(), Keepers::default());
        run(&mut daemons, &mut keepers, ms(0), ms(1_000), none);
        keepers.keep(holder, "1", 7, 2_500);
        keepers.keep(holder, "1", subject, 3_800);
        run(&mut daemons, &mut keepers, ms(1_000), ms(1_000), none);
        for daemon in 0..3 {
            let sent = send(&mut daemons, daemon, ms(2_010), subject);
            let held_there = sent.address == address(holder);
            assert!(held_there || sent.fetch_from == Some(address(holder)), "{subject}: {sent:?}");
        }
    }
}

#[test]
fn parts_of_other_weights_or_of_an_isolated_workspace_are_not_fetched() {
    let subject = 3;
    let holder = not_the_home(subject);
    let (mut daemons, mut keepers) = (daemons(), Keepers::default());
    run(&mut daemons, &mut keepers, ms(0), ms(1_000), none);
    for salt in ["2", "1.other"] {
        keepers.keep(holder, salt, 7, 2_500);
        keepers.keep(holder, salt, subject, 3_800);
    }
    run(&mut daemons, &mut keepers, ms(1_000), ms(1_000), none);
    assert_eq!(send(&mut daemons, 0, ms(2_010), subject).fetch_from, None);
    let lab = Workspace { name: "lab".into(), priority: None, isolated: true, quota: None };
    assert_eq!(send_for(&mut daemons, 1, ms(2_010), subject, Some(lab)).fetch_from, None);
}

#[test]
fn engine_that_started_again_holds_nothing() {
    let subject = 3;
    let holder = not_the_home(subject);
    let (mut daemons, mut keepers) = (daemons(), Keepers::default());
    keepers.keep(holder, "1", 7, 2_500);
    keepers.keep(holder, "1", subject, 3_800);
    run(&mut daemons, &mut keepers, ms(0), ms(1_500), none);
    keepers.restart(holder);
    // It has told more events by now than it had before, none of which is to be missed.
    for part in 100..110 {
        keepers.keep(holder, "1", part, 600);
    }
    keepers.keep(holder, "1", 7, 2_500);
    run(&mut daemons, &mut keepers, ms(1_500), ms(1_500), none);
    for daemon in &mut daemons {
        let servers = daemon.node.servers.values();
        let restarted = servers.filter(|server| server.entry.address == address(holder));
        let parts: Vec<usize> = restarted.map(|server| server.residency.len()).collect();
        assert_eq!(parts, [11], "what it held before, or missed since, counts");
    }
}

#[test]
fn peer_that_missed_a_word_asks_for_everything() {
    let subject = 3;
    let holder = not_the_home(subject);
    let (mut daemons, mut keepers) = (daemons(), Keepers::default());
    run(&mut daemons, &mut keepers, ms(0), ms(1_000), none);
    keepers.keep(holder, "1", 7, 2_500);
    keepers.keep(holder, "1", subject, 3_800);
    // What is told of it now reaches nobody.
    run(&mut daemons, &mut keepers, ms(1_000), ms(200), |frame| matches!(frame, Frame::Held(_)));
    run(&mut daemons, &mut keepers, ms(1_200), ms(2_500), none);
    for daemon in 0..3 {
        let sent = send(&mut daemons, daemon, ms(3_710), subject);
        assert!(sent.address == address(holder) || sent.fetch_from == Some(address(holder)));
    }
}

#[test]
fn herd_on_a_cold_part_is_read_by_one_engine() {
    let (mut daemons, mut keepers) = (daemons(), Keepers::default());
    run(&mut daemons, &mut keepers, ms(0), ms(1_000), none);
    let route = route("engines", Repeat::Resumable, 2);
    let mut readers = BTreeSet::new();
    for now in [1_010, 1_030, 1_050] {
        for index in 0..daemons.len() {
            let (_, effects) = daemons[index].arrive(ms(now), &route, Some(prompt(7, 3)));
            for (_, command) in carry(&mut daemons, &mut keepers, ms(now), index, effects, none) {
                let Command::Dispatch(sent) = command else { panic!("{command:?}") };
                // An engine that is still reading the part has nothing to be fetched yet.
                assert_eq!(sent.fetch_from, None);
                readers.insert(sent.server);
            }
        }
    }
    assert_eq!(readers.len(), 1, "{readers:?}");
}

#[test]
fn link_of_the_kv_store_is_one_budget_of_all_daemons() {
    let (mut daemons, mut keepers) = (daemons(), Keepers::default());
    run(&mut daemons, &mut keepers, ms(0), ms(2_000), none);
    // 47 GB/s: a fifth of a second of four fifths of it takes five prompts of 9,000 tokens of 164 KB.
    let mut saved = 0;
    for subject in 0..200 {
        saved += usize::from(send(&mut daemons, 0, ms(2_010), subject).save_to.is_some());
    }
    assert!((4..7).contains(&saved), "one daemon may use what is free: {saved}");
    // The others hear that it is used, and use what has become free since.
    run(&mut daemons, &mut keepers, ms(2_010), ms(300), none);
    let mut more = 0;
    for subject in 200..400 {
        more += usize::from(send(&mut daemons, 1, ms(2_320), subject).save_to.is_some());
    }
    assert!(more <= 6, "{more} more after a third of a second");
}

#[test]
fn large_prompt_of_one_daemon_is_known_at_once_to_all() {
    let (mut daemons, mut keepers) = (daemons(), Keepers::default());
    run(&mut daemons, &mut keepers, ms(0), ms(1_000), none);
    let route = route("engines", Repeat::Resumable, 2);
    let (_, effects) = daemons[0].arrive(ms(1_010), &route, Some(prompt(7, 3)));
    let reader = placed(&mut daemons, ms(1_010), 0, effects).server;
    // Small requests of another daemon go elsewhere, before any digest.
    let parts = vec![Part { id: 9, tokens: 100 }, Part { id: 10, tokens: 200 }];
    let small = Prompt { model: "m".into(), input: 300, output: 9, parts };
    for _ in 0..4 {
        let (request, effects) = daemons[1].arrive(ms(1_011), &route, Some(small.clone()));
        assert_ne!(placed(&mut daemons, ms(1_011), 1, effects).server, reader);
        let effects = daemons[1].node.apply(ms(1_012), Message::Leave(request));
        carry(&mut daemons, &mut keepers, ms(1_012), 1, effects, none);
    }
}

#[test]
fn large_prompt_that_no_scheduler_placed_is_told_to_them_at_once() {
    // Four daemons, of which one does not schedule, and the schedulers leave it without a word.
    let routers = (1..=4).map(|last| (format!("router-{last}"), format!("router {last}")));
    let routers: Vec<(String, String)> = routers.collect();
    let routers: Vec<(&str, &str)> =
        routers.iter().map(|(id, value)| (id.as_str(), value.as_str())).collect();
    let daemons = (1..=4).map(|last| {
        let mut daemon = Daemon::with(last, &ENGINES);
        daemon.put(ms(0), Topic::Routers, &routers);
        daemon
    });
    let (mut daemons, mut keepers): (Vec<Daemon>, _) = (daemons.collect(), Keepers::default());
    run(&mut daemons, &mut keepers, ms(0), ms(4_000), none);
    let at = daemons.iter().position(|daemon| !daemon.node.is_scheduler(ms(4_000)));
    let at = at.expect("three schedule");
    let route = route("engines", Repeat::Resumable, 2);
    let (request, _) = daemons[at].arrive(ms(4_010), &route, Some(prompt(7, 3)));
    assert!(commands(&daemons[at].tick(ms(4_100))).is_empty(), "another one is asked");
    let effects = daemons[at].tick(ms(4_200));
    let sent = dispatch(&effects);
    let notice = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::Send(to, Frame::Notice(notice)) => Some((to.len(), notice.clone())),
            _ => None,
        })
    };
    let (told, placed) = notice(&effects).expect("the schedulers are told");
    assert_eq!((told, placed.life.id), (3, sent.server));
    assert!(placed.busy.pending_tokens > 0 && !placed.parts.is_empty());
    let effects = daemons[at].report(ms(4_300), request, 1, Report::Begun(Some(1)));
    assert_eq!(notice(&effects).expect("they are told").1.busy.pending_tokens, 0);
}

#[test]
fn server_that_is_gone_leaves_nothing_behind() {
    let mut daemon = Daemon::with(1, &ENGINES);
    let mut asked = Vec::new();
    for effect in daemon.tick(ms(20)) {
        if let Effect::ReadEvents { place, .. } = effect {
            asked.push(place);
        }
    }
    assert_eq!(asked.len(), 4);
    daemon.put(ms(30), Topic::Servers, &ENGINES.map(|(id, _)| (id, "")));
    for place in asked {
        daemon.node.apply(ms(40), Message::Events(place, None));
    }
    let left: Vec<Location> = daemon.node.event_reads.keys().copied().collect();
    assert_eq!(left, [Location::Store]);
}
