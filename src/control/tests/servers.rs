//! Engines that restart, freeze, leave and fail, and what a node does with their requests.

use super::world::{Faults, World, manifest_value, publish_record};
use crate::attempt::{self, Arrival, Command, Dispatch, Outcome, Report, Target};
use crate::control::{Effect, Message, Read, Stream};
use crate::manifest::{Objective, Priority};
use crate::membership::{CacheEvent, Change, Standing};
use crate::peer::{Copy, Digest, Frame};
use crate::poison::{Blocked, Fingerprint, Record};
use crate::prefix::{BLOCK_BYTES, Key, Prefix, Scope, root};
use crate::prelude::*;

fn report(incarnation: &str, weights: &str) -> crate::membership::Report {
    crate::membership::Report {
        incarnation: incarnation.into(),
        weights: BTreeMap::from([("m".into(), BTreeSet::from([weights.to_owned()]))]),
        prefill_tokens_per_s: 1_000,
        ..crate::membership::Report::default()
    }
}

/// One node and two engines that have reported.
struct Bench {
    world: World,
    next: u64,
}

impl Bench {
    fn new() -> Self {
        let mut bench = Self { world: World::new(1, 1, Faults::default()), next: 0 };
        for id in ["engine-0", "engine-1"] {
            bench.polled(id, report("one", "v1"));
        }
        bench
    }

    fn apply(&mut self, message: Message) -> Vec<Effect> {
        self.world.nodes[0].apply(self.world.now, message)
    }

    fn polled(&mut self, id: &str, report: crate::membership::Report) -> Vec<Effect> {
        let server = self.world.server(0, id);
        self.apply(Message::Polled(server, Box::new(report)))
    }

    fn ask(&mut self, workspace: &str, weights: &str) -> (attempt::Key, Vec<Effect>) {
        self.ask_about("p", workspace, weights)
    }

    fn ask_about(
        &mut self,
        text: &str,
        workspace: &str,
        weights: &str,
    ) -> (attempt::Key, Vec<Effect>) {
        let request = attempt::Key(1_000 + self.next);
        self.next += 1;
        let salt = root(Scope { workspace, model: "m", weights, adapter: "" });
        let prompt = text.repeat(8 * BLOCK_BYTES);
        let arrival = Arrival {
            request,
            workspace: workspace.into(),
            share: 1,
            target: Target::Model {
                model: "m".into(),
                weights: weights.into(),
                objective: Objective::TimeToFirstToken,
                salt,
            },
            pool: "model".into(),
            priority: Priority::Normal,
            deadline: self.world.now + Duration::from_secs(1),
            prefix: Prefix::new(salt, prompt.as_bytes(), &[]),
            prompt_tokens: 2_048,
            max_tokens: 1,
            idempotent: true,
            fingerprint: Fingerprint(request.0),
            claim: None,
        };
        let effects = self.apply(Message::Arrive(Box::new(arrival)));
        (request, effects)
    }

    fn ended(&mut self, request: attempt::Key, attempt: u32, outcome: Outcome) -> Vec<Effect> {
        self.apply(Message::Report { request, attempt, report: Report::Ended(outcome) })
    }

    fn begun(&mut self, request: attempt::Key, attempt: u32) {
        let report = Report::Begun { cached_tokens: Some(0) };
        self.apply(Message::Report { request, attempt, report });
    }
}

fn commands(effects: &[Effect]) -> Vec<&Command> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Command(_, command) => Some(&**command),
            _ => None,
        })
        .collect()
}

fn dispatched(effects: &[Effect]) -> Option<&Dispatch> {
    commands(effects).into_iter().find_map(|command| match command {
        Command::Dispatch(dispatch) => Some(dispatch),
        _ => None,
    })
}

fn refused(effects: &[Effect]) -> Option<(Code, Execution)> {
    commands(effects).into_iter().find_map(|command| match command {
        Command::Refuse(refusal) => Some((refusal.error.code, refusal.execution)),
        _ => None,
    })
}

#[test]
fn restart_drops_residency() {
    let mut bench = Bench::new();
    let (request, effects) = bench.ask("w", "v1");
    let first = dispatched(&effects).expect("it is dispatched").clone();
    bench.begun(request, 1);
    bench.ended(request, 1, Outcome::Complete(None));
    assert_eq!(bench.world.nodes[0].residency.len(), 8);
    let mut renewed = report("two", "v1");
    renewed.from = 5;
    bench.polled(&first.id, renewed);
    assert!(bench.world.nodes[0].residency.is_empty(), "entries of a dead engine");
}

#[test]
fn residency_apart_by_workspace_and_weights() {
    let mut bench = Bench::new();
    bench.ask("w", "v1");
    for (workspace, weights) in [("other", "v1"), ("w", "v2")] {
        let salt = root(Scope { workspace, model: "m", weights, adapter: "" });
        let prefix = Prefix::new(salt, "p".repeat(8 * BLOCK_BYTES).as_bytes(), &[]);
        let depth = bench.world.nodes[0].residency.depth(&prefix.blocks);
        assert!(depth.is_empty(), "{workspace} {weights}: {depth:?}");
    }
}

#[test]
fn copy_of_another_incarnation_is_not_relied_on() {
    let mut bench = Bench::new();
    let salt = root(Scope { workspace: "w", model: "m", weights: "v1", adapter: "" });
    let prefix = Prefix::new(salt, "p".repeat(8 * BLOCK_BYTES).as_bytes(), &[]);
    let level = prefix.level(0).expect("a level");
    for (incarnation, holders) in [("one", 1), ("two", 0)] {
        let copy = Copy { level, server: "engine-1".into(), incarnation: incarnation.into() };
        let digest = Digest { daemon: "router-9".into(), copies: vec![copy], ..Digest::default() };
        bench.apply(Message::Frame(Frame::Digest(digest)));
        let depth = bench.world.nodes[0].cached_depth(bench.world.now, &prefix);
        assert_eq!(depth.len(), holders, "{incarnation}");
    }
}

#[test]
fn event_gap_that_touches_much_drops_residency() {
    let mut bench = Bench::new();
    let stored = |seq| CacheEvent { seq, change: Change::Stored, block: seq };
    let events = vec![stored(0), stored(1)];
    bench.polled(
        "engine-0",
        crate::membership::Report { next_seq: 2, events, ..report("one", "v1") },
    );
    assert_eq!(bench.world.nodes[0].residency.len(), 2);
    let events = vec![stored(4)];
    let gap = crate::membership::Report { from: 2, next_seq: 5, events, ..report("one", "v1") };
    bench.polled("engine-0", gap);
    let depth = bench.world.nodes[0].residency.depth(&[Key(4)]);
    assert_eq!(bench.world.nodes[0].residency.len(), 1, "only what came after the gap");
    assert_eq!(depth.len(), 1);
}

#[test]
fn weights_not_served_refused() {
    let mut bench = Bench::new();
    let (_, effects) = bench.ask("w", "v2");
    assert_eq!(refused(&effects), Some((Code::NoServer, Execution::NotRun)));
}

/// Puts `v2` in force, and has a node whose engines last reported `v1` asked for it.
fn ask_after_switch(bench: &mut Bench) -> (attempt::Key, Vec<Effect>) {
    bench.world.now += Duration::from_millis(100);
    bench.world.land(Stream::Manifest, publish_record("second", 1, manifest_value("v2")));
    bench.world.read(0, Stream::Manifest);
    bench.world.now += Duration::from_millis(20);
    bench.ask("w", "v2")
}

fn polled_at_once(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Poll { .. })).count()
}

fn with_both(incarnation: &str) -> crate::membership::Report {
    let both = BTreeSet::from(["v1".to_owned(), "v2".to_owned()]);
    let weights = BTreeMap::from([("m".to_owned(), both)]);
    crate::membership::Report { weights, ..report(incarnation, "v1") }
}

/// Operators saw on one daemon that all engines had the new weights, and put them in force. Another
/// daemon had last asked the engines a part of a second before they had loaded them. It took what it
/// had heard then for what they have now, and refused until its next polls, up to 500 ms later:
/// `left: 503, right: 200`, with 2002, "No live backend server serves this now".
#[test]
fn weights_loaded_since_the_last_report_are_served() {
    let mut bench = Bench::new();
    let (_, effects) = ask_after_switch(&mut bench);
    assert_eq!(refused(&effects), None, "no engine has been asked since v2 came into force");
    assert_eq!(polled_at_once(&effects), 2, "{effects:?}");
    let effects = bench.polled("engine-1", with_both("one"));
    assert_eq!(dispatched(&effects).map(|dispatch| dispatch.id.as_str()), Some("engine-1"));
}

/// A daemon that started had heard one engine of a pool, which had not loaded the new weights yet, and
/// took that one for the pool: it refused what the other, not heard yet, would have served.
#[test]
fn weights_at_an_engine_not_heard_yet_are_served() {
    let mut bench = Bench { world: World::new(1, 1, Faults::default()), next: 0 };
    bench.polled("engine-0", report("one", "v1"));
    assert!(bench.world.nodes[0].is_ready());
    let (_, effects) = ask_after_switch(&mut bench);
    assert_eq!(refused(&effects), None, "engine-1 has not been heard");
    bench.polled("engine-0", report("one", "v1"));
    let effects = bench.polled("engine-1", report("one", "v2"));
    assert_eq!(dispatched(&effects).map(|dispatch| dispatch.id.as_str()), Some("engine-1"));
}

/// Once every engine has been asked since, or in vain, no more is waited for.
#[test]
fn weights_that_no_engine_has_are_refused_once_all_are_asked() {
    let mut bench = Bench::new();
    let (_, effects) = ask_after_switch(&mut bench);
    assert_eq!(refused(&effects), None, "not all have been asked since");
    let effects = bench.polled("engine-0", report("one", "v1"));
    assert_eq!(refused(&effects), None, "one engine is not all");
    let server = bench.world.server(0, "engine-1");
    let effects = bench.apply(Message::PollFailed(server));
    assert_eq!(refused(&effects), Some((Code::NoServer, Execution::NotRun)));
    let (_, effects) = bench.ask("w", "v2");
    assert_eq!(refused(&effects), Some((Code::NoServer, Execution::NotRun)));
}

/// A poll that was on its way when the weights came into force may tell of before.
#[test]
fn report_asked_for_before_the_switch_tells_nothing_of_it() {
    let mut bench = Bench::new();
    bench.world.now += Duration::from_millis(600);
    assert_eq!(polled_at_once(&bench.apply(Message::Tick)), 2, "polls are due");
    let (request, effects) = ask_after_switch(&mut bench);
    assert_eq!((refused(&effects), polled_at_once(&effects)), (None, 0));
    for id in ["engine-0", "engine-1"] {
        let effects = bench.polled(id, report("one", "v1"));
        assert_eq!((refused(&effects), polled_at_once(&effects)), (None, 1), "{id} is asked again");
    }
    let effects = bench.polled("engine-0", with_both("one"));
    assert!(dispatched(&effects).is_some());
    bench.ended(request, 1, Outcome::Complete(None));
}

/// An engine that is frozen holds a request no longer than the request's own time.
#[test]
fn request_that_waits_for_reports_ends_at_its_deadline() {
    let mut bench = Bench::new();
    let (_, effects) = ask_after_switch(&mut bench);
    assert_eq!(refused(&effects), None);
    bench.world.now += Duration::from_millis(1_001);
    let effects = bench.apply(Message::Tick);
    assert_eq!(refused(&effects), Some((Code::DeadlinePassed, Execution::NotRun)));
}

#[test]
fn leaving_server_gets_nothing_new_from_any_source() {
    for source in 0..3 {
        let mut bench = Bench::new();
        match source {
            0 => {
                let mut vms = bench.world.vms();
                for vm in vms.iter_mut().filter(|vm| vm.id == "engine-0") {
                    vm.standing = Standing::Leaving;
                }
                bench.apply(Message::VmList(vms));
            }
            1 => {
                let leaving = crate::membership::Report { leaving: true, ..report("one", "v1") };
                bench.polled("engine-0", leaving);
            }
            _ => {
                let leaving = vec!["engine-0".to_owned()];
                let digest = Digest { daemon: "router-9".into(), leaving, ..Digest::default() };
                bench.apply(Message::Frame(Frame::Digest(digest)));
            }
        }
        // The VM list lags and still calls it live.
        let vms = bench.world.vms();
        bench.apply(Message::VmList(vms));
        for text in ["a", "b", "c", "d", "e", "f"] {
            let (request, effects) = bench.ask_about(text, "w", "v1");
            let dispatch = dispatched(&effects).expect("it is dispatched");
            assert_eq!(dispatch.id, "engine-1", "source {source}");
            bench.ended(request, 1, Outcome::Complete(None));
        }
    }
}

/// A daemon that had just started heard from a peer which servers leave before it had read the VM list, and
/// dropped the word, since it knew none of them yet. The list lagged: until the peer's next digest it gave
/// them new work, and for good where the peer stopped then.
#[test]
fn leaving_server_heard_of_before_the_list_gets_nothing() {
    let mut bench = Bench { world: World::new(1, 1, Faults::default()), next: 0 };
    let vms = bench.world.vms();
    bench.apply(Message::VmList(Vec::new()));
    let leaving = vec!["engine-0".to_owned()];
    let digest = Digest { daemon: "router-9".into(), leaving, ..Digest::default() };
    bench.apply(Message::Frame(Frame::Digest(digest)));
    bench.apply(Message::VmList(vms));
    for id in ["engine-0", "engine-1"] {
        bench.polled(id, report("one", "v1"));
    }
    for text in ["a", "b", "c", "d", "e", "f"] {
        let (request, effects) = bench.ask_about(text, "w", "v1");
        assert_eq!(dispatched(&effects).map(|dispatch| dispatch.id.as_str()), Some("engine-1"));
        bench.ended(request, 1, Outcome::Complete(None));
    }
}

#[test]
fn unreachable_engine_aborts_attempts() {
    let mut bench = Bench::new();
    let (request, effects) = bench.ask("w", "v1");
    let server = dispatched(&effects).expect("it is dispatched").server;
    bench.apply(Message::PollFailed(server));
    let effects = bench.apply(Message::PollFailed(server));
    assert_eq!(commands(&effects), [&Command::Abort(1)]);
    let effects = bench.ended(request, 1, Outcome::Broken("aborted".into()));
    assert_ne!(dispatched(&effects).expect("it is tried elsewhere").server, server);
}

#[test]
fn broken_stream_resumes_then_continues_elsewhere() {
    let mut bench = Bench::new();
    let (request, effects) = bench.ask("w", "v1");
    let server = dispatched(&effects).expect("it is dispatched").server;
    bench.begun(request, 1);
    let effects = bench.ended(request, 1, Outcome::Broken("cut".into()));
    let second = dispatched(&effects).expect("it is resumed").clone();
    assert!(second.resume && second.server == server);
    let effects = bench.ended(request, 2, Outcome::Broken("cut again".into()));
    let third = dispatched(&effects).expect("it is continued").clone();
    assert!(!third.resume && third.server != server);
    bench.ended(request, 3, Outcome::Broken("cut".into()));
    let effects = bench.ended(request, 4, Outcome::Broken("cut".into()));
    assert_eq!(refused(&effects), Some((Code::GenerationFailed, Execution::Unknown)));
}

#[test]
fn failure_says_what_ran() {
    let cases = [
        (Outcome::Late, Code::DeadlinePassed, Execution::NotRun),
        (Outcome::Broken("b".into()), Code::OutcomeUnknown, Execution::Unknown),
        (Outcome::TooLarge, Code::AnswerTooLarge, Execution::Unknown),
    ];
    for (outcome, code, execution) in cases {
        let mut world = World::new(1, 1, Faults::default());
        let request = world.pay(0, None);
        let report = Report::Ended(outcome.clone());
        let effects =
            world.nodes[0].apply(world.now, Message::Report { request, attempt: 1, report });
        assert_eq!(refused(&effects), Some((code, execution)), "{outcome:?}");
    }
    let mut world = World::new(1, 1, Faults::default());
    let request = world.pay(0, None);
    for attempt in 1..=attempt::MAX_ATTEMPTS {
        let report = Report::Ended(Outcome::Unsent("refused".into()));
        let message = Message::Report { request, attempt, report };
        let effects = world.nodes[0].apply(world.now, message);
        match refused(&effects) {
            None => world.now += Duration::from_millis(1),
            Some(answer) => {
                assert_eq!(answer.1, Execution::NotRun, "attempt {attempt}: {answer:?}");
                return;
            }
        }
    }
    panic!("it was never given up");
}

#[test]
fn refusal_after_an_attempt_that_may_have_run_is_unknown() {
    let mut bench = Bench::new();
    let (request, _) = bench.ask("w", "v1");
    for id in ["engine-0", "engine-1"] {
        let server = bench.world.server(0, id);
        bench.apply(Message::PollFailed(server));
        bench.apply(Message::PollFailed(server));
    }
    let effects = bench.ended(request, 1, Outcome::Broken("cut".into()));
    assert_eq!(refused(&effects), Some((Code::NoServer, Execution::Unknown)));
}

#[test]
fn late_report_of_an_ended_attempt_changes_nothing() {
    let mut bench = Bench::new();
    let (request, _) = bench.ask("w", "v1");
    bench.ended(request, 1, Outcome::Broken("cut".into()));
    let effects = bench.ended(request, 1, Outcome::Complete(None));
    assert_eq!(effects, []);
    assert!(bench.world.nodes[0].is_open(request), "the second attempt is still under way");
}

#[test]
fn retries_are_budgeted() {
    let mut bench = Bench::new();
    let mut retried = 0;
    for _ in 0..100 {
        let (request, _) = bench.ask("w", "v1");
        for attempt in 1..=attempt::MAX_ATTEMPTS {
            let effects = bench.ended(request, attempt, Outcome::Broken("cut".into()));
            if dispatched(&effects).is_none() {
                break;
            }
            retried += 1;
        }
    }
    assert!((20..=31).contains(&retried), "{retried} retries for 100 requests");
}

#[test]
fn retries_left_after_many_successes() {
    let mut bench = Bench::new();
    for _ in 0..100 {
        let (request, _) = bench.ask("w", "v1");
        bench.ended(request, 1, Outcome::Complete(None));
    }
    for number in 0..5 {
        let (request, _) = bench.ask("w", "v1");
        let effects = bench.ended(request, 1, Outcome::Broken("cut".into()));
        assert!(dispatched(&effects).is_some(), "retry {number} is not left");
        bench.ended(request, 2, Outcome::Complete(None));
    }
}

#[test]
fn ready_once_engines_have_answered_or_not() {
    let mut world = World::new(1, 1, Faults::default());
    assert!(!world.nodes[0].is_ready(), "nothing could be served yet");
    let servers = ["engine-0", "engine-1"].map(|id| world.server(0, id));
    world.nodes[0].apply(world.now, Message::Polled(servers[0], Box::new(report("one", "v1"))));
    assert!(world.nodes[0].is_ready());
    let mut world = World::new(1, 1, Faults::default());
    for server in servers {
        world.nodes[0].apply(world.now, Message::PollFailed(server));
    }
    assert!(world.nodes[0].is_ready(), "a pool that is down holds nothing else back");
}

/// What is blocked for ending servers is kept on a stream of its own, and peers tell of it only until the
/// stream has it. A daemon that started was ready once it knew manifest and engines, and sent a request that
/// was blocked to the next engine before it had read that stream.
#[test]
fn ready_once_blocked_requests_are_known() {
    let mut world = World::new(1, 1, Faults::default());
    let blocked = [Fingerprint(7), Fingerprint(8)];
    for fingerprint in blocked {
        let blocked = Blocked { fingerprint, age: Duration::ZERO };
        world.land(Stream::Blocked, Record::new(&[blocked], &[]).encode());
    }
    world.log_down = true;
    world.kill(0);
    world.log_down = false;
    world.read(0, Stream::Manifest);
    let servers = ["engine-0", "engine-1"].map(|id| world.server(0, id));
    for server in servers {
        world.tell(0, Message::Polled(server, Box::new(report("one", "v1"))));
    }
    assert!(world.nodes[0].is_ready(), "a stream that can't be read holds nothing back");
    let first = world.log[&Stream::Blocked][..1].to_vec();
    let page = Read { first: 0, next: 2, retention_s: 1_000, records: first };
    world.tell(0, Message::Records(Stream::Blocked, page));
    assert!(!world.nodes[0].is_ready(), "one of two records is not all");
    world.read(0, Stream::Blocked);
    assert!(world.nodes[0].is_ready());
}

#[test]
fn ready_once_the_stream_of_blocked_requests_was_asked() {
    let mut world = World::new(1, 1, Faults::default());
    let mut node = world.nodes.remove(0);
    node.readings.remove(&Stream::Blocked);
    for id in ["engine-0", "engine-1"] {
        let server = node.membership.find(id).expect("it is listed");
        node.apply(world.now, Message::Polled(server, Box::new(report("one", "v1"))));
    }
    assert!(!node.is_ready(), "its first read has neither come nor failed");
    node.apply(world.now, Message::LogDown(Stream::Blocked));
    assert!(node.is_ready());
}

#[test]
fn drain_waits_for_requests_and_outcomes() {
    let mut world = World::new(1, 1, Faults::default());
    world.pay(0, Some("k"));
    world.tell(0, Message::Stop);
    assert!(world.nodes[0].is_draining() && !world.nodes[0].is_ready());
    assert!(!world.nodes[0].is_drained());
    world.quiet();
    assert!(world.nodes[0].is_drained());
    assert_eq!(world.runs.len(), 1, "the request was not cut");
}

/// Number asked for, next number, and events: number, whether stored, block.
type AnyReport = (u64, u64, Vec<(u64, bool, u8)>);

quickcheck::quickcheck! {
    /// Reports with any events, in any order, never panic, and hold no more than they named.
    fn report_any_events(reports: Vec<AnyReport>) -> bool {
        let mut bench = Bench::new();
        let mut named = 0;
        for (from, next_seq, events) in reports {
            named += events.len();
            let event = |(seq, stored, block): (u64, bool, u8)| CacheEvent {
                seq,
                change: if stored { Change::Stored } else { Change::Evicted },
                block: block.into(),
            };
            let events = events.into_iter().map(event).collect();
            bench.polled("engine-0", crate::membership::Report {
                from,
                next_seq,
                events,
                import_ms: Some(f64::NAN),
                ..report("one", "v1")
            });
        }
        let (_, effects) = bench.ask("w", "v1");
        bench.world.nodes[0].residency.len() <= named + 8 && dispatched(&effects).is_some()
    }
}
