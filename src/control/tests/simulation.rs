//! Simulation of nodes, a log, a service and two engines in virtual time.
//!
//! Most effects of a node become pending actions, performed at a random later step. Faults drop
//! an action or only its answer. The same seed gives the same history.

use std::net::SocketAddr;

use super::super::*;
use crate::attempt::{self, Arrival, Command, Outcome, Report, Target};
use crate::ledger;
use crate::manifest::{self, Body, Priority};
use crate::membership::{self, Role, Standing, Vm};
use crate::order::Order;
use crate::poison::{self, Fingerprint};
use crate::prefix::Prefix;
use crate::prelude::*;

/// Time for which the log keeps records.
pub const RETENTION_S: u64 = 100_000;

/// Answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The service answered. Holds the number of the run.
    Run(u64),
    /// The router replayed a stored receipt.
    Replay(ledger::Receipt),
    /// The router refused the request.
    Refused(Code, Execution),
}

/// Action that a later step performs.
#[derive(Debug, Clone)]
pub enum PendingAction {
    /// Append a record to the log.
    Append(Stream, String),
    /// Deliver a message to a node if this incarnation still runs.
    Deliver(usize, u64, Box<Message>),
    /// Run a dispatched request at the service.
    Run(usize, u64, attempt::Key, Box<attempt::Dispatch>),
}

/// Probabilities of faults.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// An append is refused, lost, late, or written without an answer.
    pub append_percent: u32,
    /// The answer of a run is lost or the request is never sent.
    pub run_percent: u32,
    /// A frame is lost.
    pub frame_percent: u32,
    /// A node is killed and restarted, per step.
    pub restart_per_mille: u32,
    /// A node pauses for up to 3 s, per step.
    pub pause_per_mille: u32,
}

pub struct Simulation {
    pub rng: fastrand::Rng,
    pub now: Time,
    pub nodes: Vec<Node>,
    pub incarnations: Vec<u64>,
    pub paused_until: Vec<Time>,
    pub log: BTreeMap<Stream, Vec<Record>>,
    pub pending: Vec<PendingAction>,
    pub faults: Faults,
    pub log_down: bool,
    /// Idempotency key of each request. Empty if it has none.
    pub keys_by_request: BTreeMap<attempt::Key, String>,
    pub answers: BTreeMap<attempt::Key, Answer>,
    /// Requests that ran, in order, with their idempotency keys.
    pub runs: Vec<(attempt::Key, String)>,
    /// Manifest generations that each node put in force since its start, in order.
    pub generations: Vec<Vec<u64>>,
    pub events: Vec<(usize, Event)>,
    /// Orders sent, with the sending node and the engine.
    pub orders: Vec<(usize, membership::Key, Order)>,
    next_request: u64,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16))
}

pub fn manifest_value(version: &str) -> serde_json::Value {
    serde_json::json!({
        "format": 1,
        "pools": {
            "model": { "max_in_flight": 4, "max_waiting": 100 },
            "service": { "max_in_flight": 100, "max_waiting": 100 },
        },
        "models": {
            "m": {
                "pool": "model", "weights": version, "objective": "time-to-first-token",
                "default_deadline_ms": 1000,
            },
        },
        "services": { "pay": { "pool": "service", "default_deadline_ms": 1000 } },
        "workspaces": {
            "w": {
                "keys_sha256": [], "share": 1, "models": ["m"], "services": ["pay"],
                "default_priority": "normal", "highest_priority": "urgent",
            },
        },
        "idempotency_window_s": 1000,
    })
}

pub fn publish_record(id: &str, replaces: u64, manifest: serde_json::Value) -> String {
    let body = Body::Publish { replaces, manifest };
    manifest::Record { format: manifest::FORMAT, id: id.into(), body }.encode()
}

fn live_vm(id: String, role: Role, pool: &str, address: SocketAddr) -> Vm {
    Vm {
        id,
        role,
        pool: pool.into(),
        address,
        region: "r".into(),
        zone: "z".into(),
        standing: Standing::Live,
    }
}

impl Simulation {
    /// A simulation of `count` nodes that have read the manifest and the VM list.
    pub fn new(seed: u64, count: usize, faults: Faults) -> Self {
        let mut simulation = Self {
            rng: fastrand::Rng::with_seed(seed),
            now: Time::from_secs(1),
            nodes: Vec::new(),
            incarnations: vec![0; count],
            paused_until: vec![Time::ZERO; count],
            log: BTreeMap::from([
                (Stream::Manifest, Vec::new()),
                (Stream::Ledger, Vec::new()),
                (Stream::Lease, Vec::new()),
                (Stream::Blocked, Vec::new()),
            ]),
            pending: Vec::new(),
            faults,
            log_down: false,
            keys_by_request: BTreeMap::new(),
            answers: BTreeMap::new(),
            runs: Vec::new(),
            generations: vec![Vec::new(); count],
            events: Vec::new(),
            orders: Vec::new(),
            next_request: 0,
        };
        simulation
            .append_record(Stream::Manifest, publish_record("first", 0, manifest_value("v1")));
        for index in 0..count {
            let node = simulation.new_node(index);
            simulation.nodes.push(node);
            simulation.boot(index);
        }
        simulation
    }

    fn new_node(&self, index: usize) -> Node {
        let identity = Identity {
            id: format!("router-{index}"),
            incarnation: self.incarnations[index],
            zone: "z".into(),
        };
        Node::new(identity, Policy::default())
    }

    /// Delivers the VM list and a first read of each stream to a node.
    pub fn boot(&mut self, index: usize) {
        self.deliver(index, Message::VmList(self.vms()));
        self.read(index, Stream::Manifest);
        self.read(index, Stream::Ledger);
        self.read(index, Stream::Lease);
        self.read(index, Stream::Blocked);
    }

    pub fn vms(&self) -> Vec<Vm> {
        let routers = (0..self.incarnations.len())
            .map(|index| live_vm(format!("router-{index}"), Role::Router, "", address(index)));
        let service = live_vm("service".into(), Role::ServiceServer, "service", address(100));
        let engines = (0..2).map(|index| {
            live_vm(format!("engine-{index}"), Role::ModelServer, "model", address(200 + index))
        });
        routers.chain([service]).chain(engines).collect()
    }

    pub fn append_record(&mut self, stream: Stream, text: String) {
        let time_ms = self.now.as_millis() as u64;
        let records = self.log.entry(stream).or_default();
        records.push(Record { offset: records.len() as u64, time_ms, text });
    }

    pub fn read(&mut self, index: usize, stream: Stream) {
        if self.log_down {
            return self.deliver(index, Message::LogDown(stream));
        }
        let from = self.nodes[index].next_offset(stream) as usize;
        let records = &self.log[&stream];
        let count = if from < records.len() { self.rng.usize(1..=records.len() - from) } else { 0 };
        let read = Read {
            first: 0,
            next: records.len() as u64,
            retention_s: RETENTION_S,
            records: records.iter().skip(from).take(count).cloned().collect(),
        };
        self.deliver(index, Message::Records(stream, read));
    }

    pub fn deliver(&mut self, index: usize, message: Message) {
        let effects = self.nodes[index].apply(self.now, message);
        for effect in effects {
            self.apply_effect(index, effect);
        }
    }

    /// Ticks all nodes and delivers their pending messages, without reading the log. Drops other
    /// pending actions.
    pub fn exchange_messages(&mut self, rounds: usize) {
        for _ in 0..rounds {
            for index in 0..self.nodes.len() {
                self.deliver(index, Message::Tick);
            }
            for action in std::mem::take(&mut self.pending) {
                if let PendingAction::Deliver(index, _, message) = action {
                    self.deliver(index, *message);
                }
            }
            self.now += Duration::from_millis(100);
        }
    }

    fn draw_fault(&mut self, percent: u32) -> bool {
        self.rng.u32(0..100) < percent
    }

    fn schedule_message(&mut self, index: usize, message: Message) {
        let incarnation = self.incarnations[index];
        self.pending.push(PendingAction::Deliver(index, incarnation, Box::new(message)));
    }

    fn apply_effect(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Command(request, command) => self.apply_command(index, request, *command),
            Effect::Append { number, text } => self.append_to_ledger(index, number, text),
            Effect::AppendLease(text) => self.append_record(Stream::Lease, text),
            Effect::Order { server, order, .. } => self.orders.push((index, server, order)),
            Effect::Checkpoint(text) => {
                self.pending.push(PendingAction::Append(Stream::Manifest, text));
                self.schedule_message(index, Message::Checkpointed);
            }
            Effect::UseManifest(force) => self.generations[index].push(force.generation),
            Effect::Poll { server, .. } => {
                self.schedule_message(index, Message::PollFailed(server))
            }
            Effect::AppendBlocked(text) => self.append_record(Stream::Blocked, text),
            // Servers don't crash in this simulation. Only answers are lost.
            Effect::Probe(incarnation, _) => {
                self.schedule_message(index, Message::Probed(incarnation, poison::Answer::Accepted))
            }
            Effect::Send(to, frame) => {
                let peer = usize::from(to.port()) - 1_000;
                if !self.draw_fault(self.faults.frame_percent) {
                    self.schedule_message(peer, Message::Frame(frame));
                }
            }
            Effect::Event(event, _) => self.events.push((index, event)),
        }
    }

    fn append_to_ledger(&mut self, index: usize, number: u64, text: String) {
        let fails = self.log_down || self.draw_fault(self.faults.append_percent);
        let fault = if fails { self.rng.u32(1..=4) } else { 0 };
        let result = match fault {
            0 => AppendResult::Written,
            1 => AppendResult::Refused,
            _ => AppendResult::Unknown,
        };
        match fault {
            // Written. In case 2 the answer is lost.
            0 | 2 => self.append_record(Stream::Ledger, text),
            // Written at a later time or never.
            3 => self.pending.push(PendingAction::Append(Stream::Ledger, text)),
            _ => {}
        }
        self.schedule_message(index, Message::Appended { number, result });
    }

    fn apply_command(&mut self, index: usize, request: attempt::Key, command: Command) {
        let incarnation = self.incarnations[index];
        match command {
            Command::Dispatch(dispatch) => {
                self.pending.push(PendingAction::Run(
                    index,
                    incarnation,
                    request,
                    Box::new(dispatch),
                ));
            }
            Command::Abort(_) => {}
            Command::Refuse(refusal) => {
                let answer = Answer::Refused(refusal.error.code, refusal.execution);
                self.record_answer(request, answer);
            }
            Command::Replay(receipt) => self.record_answer(request, Answer::Replay(receipt)),
        }
    }

    fn record_answer(&mut self, request: attempt::Key, answer: Answer) {
        let previous = self.answers.insert(request, answer);
        assert_eq!(previous, None, "{request:?} got a second answer");
    }

    /// Sends a payment with this idempotency key to a node.
    pub fn send_payment(&mut self, index: usize, key: Option<&str>) -> attempt::Key {
        let request = attempt::Key(self.next_request);
        self.next_request += 1;
        self.keys_by_request.insert(request, key.unwrap_or_default().to_owned());
        let claim = key.map(|key| ledger::Proposal {
            key: ledger::Key { workspace: "w".into(), service: "pay".into(), key: key.into() },
            digest: "digest".into(),
            window_s: 1_000,
        });
        let arrival = Arrival {
            request,
            workspace: "w".into(),
            share: 1,
            target: Target::Service { service: "pay".into() },
            pool: "service".into(),
            priority: Priority::Normal,
            deadline: self.now + Duration::from_secs(1),
            prefix: Prefix::default(),
            prompt_tokens: 0,
            max_tokens: 1,
            idempotent: false,
            fingerprint: Fingerprint(request.0),
            claim,
        };
        self.deliver(index, Message::Arrive(Box::new(arrival)));
        request
    }

    /// Performs one random event.
    pub fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.u64(0..20));
        let index = self.rng.usize(0..self.nodes.len());
        if self.rng.u32(0..1_000) < self.faults.restart_per_mille {
            return self.restart(index);
        }
        if self.rng.u32(0..1_000) < self.faults.pause_per_mille {
            self.paused_until[index] = self.now + Duration::from_millis(self.rng.u64(0..3_000));
        }
        match self.rng.u32(0..10) {
            0 if !self.is_paused(index) => self.deliver(index, Message::Tick),
            1 | 2 if !self.is_paused(index) => self.read(index, Stream::Ledger),
            3 if !self.is_paused(index) => self.read(index, Stream::Manifest),
            _ => self.perform_pending(),
        }
    }

    fn is_paused(&self, index: usize) -> bool {
        self.now < self.paused_until[index]
    }

    /// Kills a node and restarts it at once with empty state.
    pub fn restart(&mut self, index: usize) {
        self.incarnations[index] += 1;
        self.nodes[index] = self.new_node(index);
        self.generations[index].clear();
        self.boot(index);
    }

    fn perform_pending(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let position = self.rng.usize(0..self.pending.len());
        let action = self.pending.swap_remove(position);
        match action {
            PendingAction::Append(stream, text) => self.append_record(stream, text),
            PendingAction::Deliver(index, incarnation, message) => {
                if self.is_paused(index) {
                    return self.pending.push(PendingAction::Deliver(index, incarnation, message));
                }
                if self.incarnations[index] == incarnation {
                    self.deliver(index, *message);
                }
            }
            PendingAction::Run(index, incarnation, request, dispatch) => {
                if self.is_paused(index) {
                    return self.pending.push(PendingAction::Run(
                        index,
                        incarnation,
                        request,
                        dispatch,
                    ));
                }
                self.run_request(index, incarnation, request, &dispatch);
            }
        }
    }

    /// Simulates the traffic side. It checks the deadline right before sending.
    fn run_request(
        &mut self,
        index: usize,
        incarnation: u64,
        request: attempt::Key,
        dispatch: &attempt::Dispatch,
    ) {
        let is_running = self.incarnations[index] == incarnation;
        // A killed daemon may or may not have sent the request before.
        if !is_running && self.rng.bool() {
            return;
        }
        let fault = if self.draw_fault(self.faults.run_percent) { self.rng.u32(1..=3) } else { 0 };
        let outcome = if is_running && self.now >= dispatch.deadline {
            Outcome::Late
        } else if fault == 1 {
            Outcome::Unsent("fault".into())
        } else {
            self.runs.push((request, self.keys_by_request[&request].clone()));
            match fault {
                0 => Outcome::Complete(Some(self.last_run_receipt())),
                _ => Outcome::Broken("fault".into()),
            }
        };
        if !is_running {
            return;
        }
        if let Outcome::Complete(_) = &outcome {
            let number = self.runs.len() as u64;
            self.record_answer(request, Answer::Run(number));
        }
        let report = Report::Ended(outcome);
        self.deliver(index, Message::Report { request, attempt: dispatch.attempt, report });
    }

    fn last_run_receipt(&self) -> ledger::Receipt {
        let run = self.runs.len();
        ledger::Receipt { status: 200, content_type: String::new(), body: Some(run.to_string()) }
    }

    /// Ends all faults and runs the nodes for 40 rounds, which completes pending work.
    pub fn settle(&mut self) {
        self.faults = Faults::default();
        self.log_down = false;
        self.paused_until.fill(Time::ZERO);
        for _ in 0..40 {
            for index in 0..self.nodes.len() {
                self.deliver(index, Message::Tick);
                self.read(index, Stream::Ledger);
                self.read(index, Stream::Manifest);
                self.read(index, Stream::Lease);
                self.read(index, Stream::Blocked);
            }
            for _ in 0..self.pending.len() {
                self.perform_pending();
            }
            self.now += Duration::from_millis(200);
        }
    }

    /// Returns a node's key for the server with this id.
    pub fn server_key(&self, index: usize, id: &str) -> membership::Key {
        self.nodes[index].membership.find(id).expect("the VM list has the server")
    }
}
