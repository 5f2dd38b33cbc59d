//! The control thread, which owns the [`Node`], and the handle through which other threads use it.

use std::sync::RwLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_io::{Timer, block_on};
use futures_lite::FutureExt;

use super::runner::Runner;
use crate::attempt::{self, Arrival, Command};
use crate::control::{CandidateStatus, Effect, Message, Node, Status, Stream};
use crate::manifest::Revision;
use crate::prelude::*;

/// Time between two ticks of the node.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Messages handled in a row before the clock is checked for a tick.
const MAX_MESSAGES_PER_BATCH: usize = 256;

/// Monotonic time since the daemon's start.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Time since the start.
    pub fn now(&self) -> Time {
        self.0.elapsed()
    }
}

/// Input to the control thread.
pub(crate) enum Input {
    /// A message to the node.
    Message(Message),
    /// A new request, and the channel for its commands.
    Open(Box<Arrival>, Sender<Command>),
    /// A query for the node's status, and the channel for the result.
    Status(Sender<Status>),
    /// A query for a request's candidates, and the channel for the result.
    Explain(Box<Arrival>, Sender<Vec<CandidateStatus>>),
}

/// State of the node that other threads read directly.
#[derive(Debug, Default)]
struct View {
    manifest: RwLock<Option<Arc<Revision>>>,
    ready: AtomicBool,
    draining: AtomicBool,
    drained: AtomicBool,
    next_request_key: AtomicU64,
    next_offsets: [AtomicU64; Stream::ALL.len()],
}

/// A handle to the control thread.
#[derive(Debug, Clone)]
pub struct Control {
    sender: Sender<Input>,
    view: Arc<View>,
    /// The clock that all threads share.
    pub clock: Clock,
}

impl Control {
    pub(crate) fn new() -> (Self, Receiver<Input>) {
        let (sender, inputs) = async_channel::unbounded();
        (Self { sender, view: Arc::default(), clock: Clock::start() }, inputs)
    }

    /// Sends a message without a reply.
    pub fn tell(&self, message: Message) {
        self.sender.try_send(Input::Message(message)).ok();
    }

    /// Opens a request; its commands arrive on the returned channel.
    pub fn open(&self, arrival: Arrival) -> Receiver<Command> {
        let (sender, receiver) = async_channel::unbounded();
        self.sender.try_send(Input::Open(Box::new(arrival), sender)).ok();
        receiver
    }

    /// Returns a key for a new request.
    pub fn next_request_key(&self) -> attempt::Key {
        attempt::Key(self.view.next_request_key.fetch_add(1, Ordering::Relaxed))
    }

    /// The manifest in force.
    pub fn manifest_in_force(&self) -> Option<Arc<Revision>> {
        self.view.manifest.read().ok()?.clone()
    }

    /// Whether the platform's load balancer may send callers to this daemon.
    pub fn is_ready(&self) -> bool {
        self.view.ready.load(Ordering::Acquire)
    }

    /// Whether a planned stop is under way.
    pub fn is_draining(&self) -> bool {
        self.view.draining.load(Ordering::Acquire)
    }

    /// Whether a planned stop may end: no request is open and no append is pending.
    pub fn is_drained(&self) -> bool {
        self.view.drained.load(Ordering::Acquire)
    }

    /// The offset of the next record to read from `stream`.
    pub fn next_offset(&self, stream: Stream) -> u64 {
        self.view.next_offsets[stream as usize].load(Ordering::Acquire)
    }

    /// Returns the node's status for operators.
    pub async fn status(&self) -> Option<Status> {
        let (sender, receiver) = async_channel::bounded(1);
        self.sender.try_send(Input::Status(sender)).ok()?;
        receiver.recv().await.ok()
    }

    /// Returns the candidates for a request, the best first.
    pub async fn explain(&self, arrival: Arrival) -> Option<Vec<CandidateStatus>> {
        let (sender, receiver) = async_channel::bounded(1);
        self.sender.try_send(Input::Explain(Box::new(arrival), sender)).ok()?;
        receiver.recv().await.ok()
    }
}

/// Runs the control thread until every handle is dropped.
pub(super) fn run(mut node: Node, inputs: Receiver<Input>, control: Control, mut runner: Runner) {
    let mut open_requests: BTreeMap<attempt::Key, Sender<Command>> = BTreeMap::new();
    let mut next_tick = TICK_INTERVAL;
    loop {
        let now = control.clock.now();
        if now >= next_tick {
            next_tick = now + TICK_INTERVAL;
            let effects = node.apply(now, Message::Tick);
            execute(effects, &mut open_requests, &control, &mut runner);
            open_requests.retain(|request, _| node.is_open(*request));
        }
        publish(&node, &control);
        let wait = async {
            Timer::after(next_tick.saturating_sub(control.clock.now())).await;
            Ok(None)
        };
        let receive = async { inputs.recv().await.map(Some) };
        let mut input = match block_on(receive.or(wait)) {
            Ok(input) => input,
            Err(_) => return,
        };
        for _ in 0..MAX_MESSAGES_PER_BATCH {
            let Some(current) = input.take() else { break };
            handle(&mut node, current, &mut open_requests, &control, &mut runner);
            input = inputs.try_recv().ok();
        }
        if let Some(last) = input {
            handle(&mut node, last, &mut open_requests, &control, &mut runner);
        }
    }
}

fn handle(
    node: &mut Node,
    input: Input,
    open_requests: &mut BTreeMap<attempt::Key, Sender<Command>>,
    control: &Control,
    runner: &mut Runner,
) {
    let now = control.clock.now();
    let effects = match input {
        Input::Message(message) => node.apply(now, message),
        Input::Open(arrival, sender) => {
            open_requests.insert(arrival.request, sender);
            node.apply(now, Message::Arrive(arrival))
        }
        Input::Status(sender) => {
            sender.try_send(node.status(now)).ok();
            Vec::new()
        }
        Input::Explain(arrival, sender) => {
            sender.try_send(node.explain(now, *arrival)).ok();
            Vec::new()
        }
    };
    execute(effects, open_requests, control, runner);
}

fn execute(
    effects: Vec<Effect>,
    open_requests: &mut BTreeMap<attempt::Key, Sender<Command>>,
    control: &Control,
    runner: &mut Runner,
) {
    for effect in effects {
        match effect {
            Effect::Command(request, command) => {
                if let Some(sender) = open_requests.get(&request) {
                    sender.try_send(*command).ok();
                }
            }
            Effect::UseManifest(manifest) => {
                if let Ok(mut current) = control.view.manifest.write() {
                    *current = Some(manifest);
                }
            }
            effect => runner.execute(effect),
        }
    }
}

fn publish(node: &Node, control: &Control) {
    let view = &control.view;
    view.ready.store(node.is_ready(), Ordering::Release);
    view.draining.store(node.is_draining(), Ordering::Release);
    view.drained.store(node.is_drained(), Ordering::Release);
    for stream in Stream::ALL {
        view.next_offsets[stream as usize].store(node.next_offset(stream), Ordering::Release);
    }
}
