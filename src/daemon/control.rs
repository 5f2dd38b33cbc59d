//! The control thread: it alone owns the [`Node`], and all else sends it messages.

use std::sync::RwLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_io::{Timer, block_on};
use futures_lite::FutureExt;

use super::runner::Runner;
use crate::attempt::{self, Arrival, Command};
use crate::control::{CandidateStatus, Effect, Message, Node, Status, Stream};
use crate::manifest::Force;
use crate::prelude::*;

/// Time between two ticks of the node.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Messages taken between two looks at the clock's tick.
const MAX_MESSAGES_PER_BATCH: usize = 256;

/// Monotonic time since the daemon's start.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Time since the start.
    pub fn now(&self) -> Time {
        self.0.elapsed()
    }
}

/// What the control thread is sent.
pub(crate) enum Input {
    Message(Message),
    Open(Box<Arrival>, Sender<Command>),
    Status(Sender<Status>),
    Explain(Box<Arrival>, Sender<Vec<CandidateStatus>>),
}

/// What other threads see of the node without asking it.
#[derive(Debug, Default)]
struct View {
    manifest: RwLock<Option<Arc<Force>>>,
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

    /// Sends a message; nothing comes back.
    pub fn tell(&self, message: Message) {
        self.sender.try_send(Input::Message(message)).ok();
    }

    /// Hands a request over; commands for it come on the channel returned.
    pub fn open(&self, arrival: Arrival) -> Receiver<Command> {
        let (sender, receiver) = async_channel::unbounded();
        self.sender.try_send(Input::Open(Box::new(arrival), sender)).ok();
        receiver
    }

    /// A key for a new request.
    pub fn next_request_key(&self) -> attempt::Key {
        attempt::Key(self.view.next_request_key.fetch_add(1, Ordering::Relaxed))
    }

    /// The manifest in force.
    pub fn manifest_in_force(&self) -> Option<Arc<Force>> {
        self.view.manifest.read().ok()?.clone()
    }

    /// Whether the platform's balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.view.ready.load(Ordering::Acquire)
    }

    /// Whether a planned stop is under way.
    pub fn is_draining(&self) -> bool {
        self.view.draining.load(Ordering::Acquire)
    }

    /// Whether a planned stop has nothing left to wait for.
    pub fn is_drained(&self) -> bool {
        self.view.drained.load(Ordering::Acquire)
    }

    /// The offset from which `stream` is to be read next.
    pub fn next_offset(&self, stream: Stream) -> u64 {
        self.view.next_offsets[stream as usize].load(Ordering::Acquire)
    }

    /// The node's state for operators.
    pub async fn status(&self) -> Option<Status> {
        let (sender, receiver) = async_channel::bounded(1);
        self.sender.try_send(Input::Status(sender)).ok()?;
        receiver.recv().await.ok()
    }

    /// Where a request would go now.
    pub async fn explain(&self, arrival: Arrival) -> Option<Vec<CandidateStatus>> {
        let (sender, receiver) = async_channel::bounded(1);
        self.sender.try_send(Input::Explain(Box::new(arrival), sender)).ok()?;
        receiver.recv().await.ok()
    }
}

/// The body of the control thread; ends when every handle is gone.
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
