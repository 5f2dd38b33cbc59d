//! Workspaces that compete for too little room: one asks for several times its usual, refused
//! callers come back together or at once, and servers are lost meanwhile.

use super::site::Site;
use super::world::*;
use crate::fairness::Mode;
use crate::fleet::*;
use crate::poison::Fingerprint;
use crate::prelude::*;
use crate::route::{Repeat, Route, Workspace};

/// Time that a request takes at a slot of a server.
const SERVICE: Duration = Duration::from_millis(40);
/// Time between two steps.
const STEP: Duration = Duration::from_millis(2);
/// Servers of two slots: 250 requests a second.
const SERVERS: [(&str, &str); 5] = [
    ("s-1", "plain 11 ready"),
    ("s-2", "plain 12 ready"),
    ("s-3", "plain 13 ready"),
    ("s-4", "plain 14 ready"),
    ("s-5", "plain 15 ready"),
];

/// When refused callers come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Retries {
    /// Once, when they are told to.
    Asked,
    /// Up to ten times, at once.
    AtOnce,
}

/// The requests of one workspace.
#[derive(Debug, Clone, Copy)]
struct Flow {
    workspace: &'static str,
    per_s: u64,
    /// From when, and until when.
    from: Time,
    until: Time,
    retries: Retries,
}

/// What became of the requests of one workspace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Tally {
    asked: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

impl Tally {
    fn percent_in_time(self) -> u32 {
        100 * self.in_time / self.asked.max(1)
    }
}

/// One caller's request, over all its tries.
#[derive(Debug, Clone)]
struct Call {
    flow: Flow,
    first: Time,
    fingerprint: Fingerprint,
    tries: u32,
    /// When the newest try was sent.
    tried_at: Time,
}

/// A daemon, the requests at its servers, and the callers.
struct World {
    daemon: Daemon,
    route: Arc<Route>,
    open: BTreeMap<Key, Call>,
    /// Requests at servers by the time at which they end.
    running: BTreeMap<(Time, Key), (u32, String)>,
    /// Refused callers by the time at which they come back.
    returning: BTreeMap<(Time, Fingerprint), Call>,
    tallies: BTreeMap<&'static str, Tally>,
    dispatched: BTreeMap<Key, u32>,
    calls: u64,
    commands: Vec<(Key, Command)>,
}

impl World {
    fn new(mode: Mode) -> Self {
        let mut daemon = Daemon::with_servers(1, &SERVERS);
        daemon.node.policy.fair_shares = mode;
        Self {
            daemon,
            route: route("plain", Repeat::AtMostOnce, 1),
            open: BTreeMap::new(),
            running: BTreeMap::new(),
            returning: BTreeMap::new(),
            tallies: BTreeMap::new(),
            dispatched: BTreeMap::new(),
            calls: 0,
            commands: Vec::new(),
        }
    }

    /// Plays flows until all of their requests have ended.
    fn play(&mut self, from: Time, flows: &[Flow]) {
        let end = flows.iter().map(|flow| flow.until).max().unwrap_or_default();
        let mut now = from;
        while now < end + self.route.timeout {
            self.step(now, flows);
            now += STEP;
        }
        assert!(self.open.is_empty(), "{} requests without an answer", self.open.len());
    }

    fn step(&mut self, now: Time, flows: &[Flow]) {
        let effects = self.daemon.tick(now);
        self.carry_out(now, effects);
        let later = self.running.split_off(&(now + Duration::from_nanos(1), Key(0)));
        for ((_, key), (attempt, _)) in std::mem::replace(&mut self.running, later) {
            self.answer(now, key);
            let effects = self.daemon.report(now, key, attempt, Report::Ended);
            self.carry_out(now, effects);
        }
        let later = self.returning.split_off(&(now + Duration::from_nanos(1), Fingerprint(0)));
        for call in std::mem::replace(&mut self.returning, later).into_values() {
            self.send(now, call);
        }
        for flow in flows {
            let due = |at: Time| at.as_millis() as u64 * flow.per_s / 1_000;
            let is_on = (flow.from..flow.until).contains(&now);
            for _ in due(now)..due(now + STEP) * u64::from(is_on) {
                self.calls += 1;
                let fingerprint = Fingerprint(self.calls);
                self.tallies.entry(flow.workspace).or_default().asked += 1;
                self.send(
                    now,
                    Call { flow: *flow, first: now, fingerprint, tries: 0, tried_at: now },
                );
            }
        }
    }

    fn send(&mut self, now: Time, call: Call) {
        let name = call.flow.workspace.to_owned();
        let workspace = Workspace { name, priority: None, isolated: false, quota: None };
        self.daemon.fingerprint = call.fingerprint;
        let route = Arc::clone(&self.route);
        let (key, effects) = self.daemon.arrive_for(now, &route, None, Some(workspace));
        self.open.insert(key, Call { tries: call.tries + 1, tried_at: now, ..call });
        self.carry_out(now, effects);
    }

    fn carry_out(&mut self, now: Time, effects: Vec<Effect>) {
        for effect in effects {
            if let Effect::Command(key, command) = &effect {
                self.commands.push((*key, command.clone()));
            }
            match effect {
                Effect::Command(key, Command::Dispatch(dispatch)) => {
                    *self.dispatched.entry(key).or_default() += 1;
                    let sent = (dispatch.attempt, dispatch.server);
                    self.running.insert((now + SERVICE, key), sent);
                }
                Effect::Command(key, Command::Refuse(_, after)) => self.refused(now, key, after),
                Effect::Command(key, Command::GiveUp) => self.lost(key),
                _ => {}
            }
        }
    }

    fn answer(&mut self, now: Time, key: Key) {
        let Some(call) = self.open.remove(&key) else { return };
        let tally = self.tallies.entry(call.flow.workspace).or_default();
        match now <= call.first + self.route.target_latency {
            true => tally.in_time += 1,
            false => tally.late += 1,
        }
    }

    fn refused(&mut self, now: Time, key: Key, after: Duration) {
        assert!(!self.dispatched.contains_key(&key), "a request that was sent is refused");
        let call = self.open.remove(&key).expect("a request is answered once");
        // A refusal leaves the caller at least half of its time for another try.
        assert!(
            now <= call.tried_at + self.route.timeout / 2 + STEP,
            "{call:?} refused at {now:?}"
        );
        let back = match call.flow.retries {
            Retries::Asked => (call.tries < 2).then(|| now + after),
            Retries::AtOnce => (call.tries < 10).then(|| now + STEP),
        };
        match back.filter(|back| *back < call.first + self.route.timeout) {
            Some(back) => {
                self.returning.insert((back, call.fingerprint), call);
            }
            None => self.tallies.entry(call.flow.workspace).or_default().refused += 1,
        }
    }

    fn lost(&mut self, key: Key) {
        if let Some(call) = self.open.remove(&key) {
            self.tallies.entry(call.flow.workspace).or_default().refused += 1;
        }
    }

    /// The servers of these ids end, with all that they run.
    fn lose_servers(&mut self, now: Time, ids: &[&str]) {
        let records: Vec<(&str, &str)> = ids.iter().map(|id| (*id, "")).collect();
        let effects = self.daemon.deliver_records(now, Topic::Servers, &records);
        self.carry_out(now, effects);
        let lost = |server: &String| ids.contains(&server.as_str());
        let ended: Vec<(Time, Key)> = self
            .running
            .iter()
            .filter(|(_, (_, server))| lost(server))
            .map(|(at, _)| *at)
            .collect();
        for at in ended {
            let Some((attempt, _)) = self.running.remove(&at) else { continue };
            let report = Report::Lost(Loss::Connection);
            let effects = self.daemon.report(now, at.1, attempt, report);
            self.carry_out(now, effects);
        }
    }

    fn percent(&self, workspace: &str) -> u32 {
        self.tallies.get(workspace).map_or(0, |tally| tally.percent_in_time())
    }

    /// The least percentage in time of the workspaces that send as ever.
    fn least_of_calm(&self) -> u32 {
        CALM.iter().map(|workspace| self.percent(workspace)).min().unwrap_or_default()
    }
}

/// Workspaces that send as ever.
const CALM: [&str; 4] = ["archive", "court", "museum", "press"];

fn flow(workspace: &'static str, per_s: u64) -> Flow {
    Flow { workspace, per_s, from: ms(1_000), until: ms(4_000), retries: Retries::Asked }
}

fn calm_flows() -> Vec<Flow> {
    CALM.iter().map(|workspace| flow(workspace, 25)).collect()
}

/// Plays flows beside the calm ones.
fn played(mode: Mode, mut flows: Vec<Flow>) -> World {
    flows.extend(calm_flows());
    let mut world = World::new(mode);
    world.play(ms(1_000), &flows);
    world
}

#[test]
fn workspace_at_six_times_its_usual_leaves_others_in_time() {
    let alone = played(Mode::Always, Vec::new()).least_of_calm();
    let beside = played(Mode::Always, vec![flow("heavy", 600)]);
    let off = played(Mode::Off, vec![flow("heavy", 600)]);
    assert!(beside.least_of_calm() * 10 >= alone * 9, "{:?}", beside.tallies);
    // What the others leave is still used: 250 a second less 100.
    let heavy = beside.tallies["heavy"];
    assert!(heavy.in_time + heavy.late >= 450, "{:?}", beside.tallies);
    assert!(off.least_of_calm() * 10 < alone * 9, "{:?}", off.tallies);
}

#[test]
fn callers_that_repeat_at_once_gain_nothing() {
    let rude = Flow { retries: Retries::AtOnce, ..flow("rude", 300) };
    let beside = played(Mode::Always, vec![rude]);
    let off = played(Mode::Off, vec![rude]);
    assert!(beside.least_of_calm() >= 90, "{:?}", beside.tallies);
    assert!(off.least_of_calm() < 90, "{:?}", off.tallies);
}

#[test]
fn crowd_of_returners_is_served_before_new_requests_of_its_workspace_alone() {
    // A burst of half a second is refused in part and comes back while its workspace goes on.
    let crowd = Flow { until: ms(1_500), ..flow("crowd", 900) };
    let rest = Flow { from: ms(1_500), ..flow("crowd", 100) };
    let beside = played(Mode::Always, vec![crowd, rest]);
    let off = played(Mode::Off, vec![crowd, rest]);
    assert!(beside.least_of_calm() >= 90, "{:?}", beside.tallies);
    assert!(off.least_of_calm() < 90, "{:?}", off.tallies);
    let served = |world: &World| world.tallies["crowd"].in_time + world.tallies["crowd"].late;
    assert!(served(&beside) * 10 >= served(&off) * 9, "{:?}, {:?}", beside.tallies, off.tallies);
}

fn played_without_third(mode: Mode) -> World {
    let mut flows = calm_flows();
    flows.push(flow("heavy", 600));
    let mut world = World::new(mode);
    let mut now = ms(1_000);
    while now < ms(2_000) {
        world.step(now, &flows);
        now += STEP;
    }
    world.lose_servers(now, &["s-1", "s-4"]);
    world.play(now, &flows);
    world
}

#[test]
fn loss_of_third_of_servers_is_borne_by_workspace_over_its_share() {
    let beside = played_without_third(Mode::Always);
    let off = played_without_third(Mode::Off);
    assert!(beside.least_of_calm() >= 85, "{:?}", beside.tallies);
    assert!(off.least_of_calm() < 85, "{:?}", off.tallies);
}

#[test]
fn daemon_that_starts_into_full_load_divides_room() {
    let flow = |workspace, per_s| Flow { from: ms(0), ..flow(workspace, per_s) };
    let mut flows: Vec<Flow> = CALM.iter().map(|workspace| flow(workspace, 25)).collect();
    flows.push(flow("heavy", 600));
    let least = |mode| {
        let mut world = World::new(mode);
        world.play(ms(0), &flows);
        (world.least_of_calm(), world.tallies)
    };
    let (beside, off) = (least(Mode::Always), least(Mode::Off));
    assert!(beside.0 >= 90, "{beside:?}");
    assert!(off.0 < 90, "{off:?}");
}

#[test]
fn with_quotas_without_any_changes_nothing() {
    let commands = |mode| {
        let mut world = World::new(mode);
        let mut flows = calm_flows();
        flows.push(flow("heavy", 600));
        world.play(ms(1_000), &flows);
        world.commands
    };
    let off = commands(Mode::Off);
    assert_eq!(off, commands(Mode::WithQuotas));
    assert_ne!(off, commands(Mode::Always));
}

#[test]
fn scheduler_that_ends_beside_refusals_leaves_each_request_one_outcome() {
    let mut site = Site::new(6, &SERVERS[..3]);
    for daemon in &mut site.daemons {
        daemon.node.policy.fair_shares = Mode::Always;
    }
    let workspace =
        |name: &str| Workspace { name: name.into(), priority: None, isolated: false, quota: None };
    let (scheduler, first) = (site.scheduler("plain"), site.non_scheduler());
    let asked = (0..400).map(|number| {
        let name = if number % 8 == 0 { "calm" } else { "heavy" };
        site.arrive_for(first, "plain", Repeat::AtMostOnce, Some(workspace(name)))
    });
    let asked: BTreeSet<Key> = asked.collect();
    site.advance(ms(300));
    let before = site.sent_commands[first].len();
    site.down.insert(scheduler);
    site.advance(ms(5_500));
    let mut outcomes: BTreeMap<Key, usize> = BTreeMap::new();
    for (_, key, _) in site.take_commands() {
        *outcomes.entry(key).or_default() += 1;
    }
    assert!(before > 6 && before < asked.len(), "{before} decided before the scheduler ended");
    assert_eq!(outcomes.keys().copied().collect::<BTreeSet<Key>>(), asked);
    assert!(outcomes.values().all(|count| *count == 1), "{outcomes:?}");
}
