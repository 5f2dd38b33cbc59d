//! The control thread: it alone owns the [`Node`], and all else sends it messages.

use std::sync::RwLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_io::{Timer, block_on};
use futures_lite::FutureExt;

use super::carrier::Carrier;
use crate::attempt::{self, Arrival, Command};
use crate::control::{CandidateStatus, Effect, Message, Node, Status, Stream};
use crate::manifest::Revision;
use crate::prelude::*;

/// Time between two ticks of the node.
const TICK: Duration = Duration::from_millis(20);
/// Messages taken between two looks at the clock's tick.
const MAX_BURST: usize = 256;

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
pub(crate) enum Letter {
    Message(Message),
    Open(Box<Arrival>, Sender<Command>),
    Status(Sender<Status>),
    Explain(Box<Arrival>, Sender<Vec<CandidateStatus>>),
}

/// What other threads see of the node without asking it.
#[derive(Debug, Default)]
struct View {
    force: RwLock<Option<Arc<Revision>>>,
    ready: AtomicBool,
    draining: AtomicBool,
    drained: AtomicBool,
    next_request: AtomicU64,
    offsets: [AtomicU64; Stream::ALL.len()],
}

/// A handle to the control thread.
#[derive(Debug, Clone)]
pub struct Control {
    mailbox: Sender<Letter>,
    view: Arc<View>,
    /// The clock that all threads share.
    pub clock: Clock,
}

impl Control {
    pub(crate) fn new() -> (Self, Receiver<Letter>) {
        let (mailbox, letters) = async_channel::unbounded();
        (Self { mailbox, view: Arc::default(), clock: Clock::start() }, letters)
    }

    /// Sends a message; nothing comes back.
    pub fn tell(&self, message: Message) {
        self.mailbox.try_send(Letter::Message(message)).ok();
    }

    /// Hands a request over; commands for it come on the channel returned.
    pub fn open(&self, arrival: Arrival) -> Receiver<Command> {
        let (sender, receiver) = async_channel::unbounded();
        self.mailbox.try_send(Letter::Open(Box::new(arrival), sender)).ok();
        receiver
    }

    /// A key for a new request.
    pub fn next_request(&self) -> attempt::Key {
        attempt::Key(self.view.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// The manifest in force.
    pub fn force(&self) -> Option<Arc<Revision>> {
        self.view.force.read().ok()?.clone()
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
        self.view.offsets[stream as usize].load(Ordering::Acquire)
    }

    /// The node's state for operators.
    pub async fn status(&self) -> Option<Status> {
        let (sender, receiver) = async_channel::bounded(1);
        self.mailbox.try_send(Letter::Status(sender)).ok()?;
        receiver.recv().await.ok()
    }

    /// Where a request would go now.
    pub async fn explain(&self, arrival: Arrival) -> Option<Vec<CandidateStatus>> {
        let (sender, receiver) = async_channel::bounded(1);
        self.mailbox.try_send(Letter::Explain(Box::new(arrival), sender)).ok()?;
        receiver.recv().await.ok()
    }
}

/// The body of the control thread; ends when every handle is gone.
pub(super) fn run(
    mut node: Node,
    letters: Receiver<Letter>,
    control: Control,
    mut carrier: Carrier,
) {
    let mut open: BTreeMap<attempt::Key, Sender<Command>> = BTreeMap::new();
    let mut next_tick = TICK;
    loop {
        let now = control.clock.now();
        if now >= next_tick {
            next_tick = now + TICK;
            let effects = node.apply(now, Message::Tick);
            carry(effects, &mut open, &control, &mut carrier);
            open.retain(|request, _| node.is_open(*request));
        }
        publish(&node, &control);
        let wait = async {
            Timer::after(next_tick.saturating_sub(control.clock.now())).await;
            Ok(None)
        };
        let receive = async { letters.recv().await.map(Some) };
        let mut letter = match block_on(receive.or(wait)) {
            Ok(letter) => letter,
            Err(_) => return,
        };
        for _ in 0..MAX_BURST {
            let Some(current) = letter.take() else { break };
            take(&mut node, current, &mut open, &control, &mut carrier);
            letter = letters.try_recv().ok();
        }
        if let Some(last) = letter {
            take(&mut node, last, &mut open, &control, &mut carrier);
        }
    }
}

fn take(
    node: &mut Node,
    letter: Letter,
    open: &mut BTreeMap<attempt::Key, Sender<Command>>,
    control: &Control,
    carrier: &mut Carrier,
) {
    let now = control.clock.now();
    let effects = match letter {
        Letter::Message(message) => node.apply(now, message),
        Letter::Open(arrival, sender) => {
            open.insert(arrival.request, sender);
            node.apply(now, Message::Arrive(arrival))
        }
        Letter::Status(sender) => {
            sender.try_send(node.status(now)).ok();
            Vec::new()
        }
        Letter::Explain(arrival, sender) => {
            sender.try_send(node.explain(now, *arrival)).ok();
            Vec::new()
        }
    };
    carry(effects, open, control, carrier);
}

fn carry(
    effects: Vec<Effect>,
    open: &mut BTreeMap<attempt::Key, Sender<Command>>,
    control: &Control,
    carrier: &mut Carrier,
) {
    for effect in effects {
        match effect {
            Effect::Command(request, command) => {
                if let Some(sender) = open.get(&request) {
                    sender.try_send(*command).ok();
                }
            }
            Effect::UseManifest(force) => {
                if let Ok(mut current) = control.view.force.write() {
                    *current = Some(force);
                }
            }
            effect => carrier.carry(effect),
        }
    }
}

fn publish(node: &Node, control: &Control) {
    let view = &control.view;
    view.ready.store(node.is_ready(), Ordering::Release);
    view.draining.store(node.is_draining(), Ordering::Release);
    view.drained.store(node.is_drained(), Ordering::Release);
    for stream in Stream::ALL {
        view.offsets[stream as usize].store(node.next_offset(stream), Ordering::Release);
    }
}
