//! The control thread of a [`Node`], and the handle that traffic threads have to it.

use std::sync::RwLock;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread;

use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::{Timer, block_on};
use bytes::Bytes;
use futures_lite::FutureExt;

use super::{Arrival, Command, Dependency, Effect, Key, Message, Node, Topic};
use crate::clock::Clock;
use crate::peer::Links;
use crate::prelude::*;
use crate::route::Table;
use crate::telemetry::emit;
use crate::telemetry::metrics::Figure;

/// Time between two ticks while requests wait or engines load.
const TICK: Duration = Duration::from_millis(20);
/// Time between two ticks while nothing is pressing.
const QUIET_TICK: Duration = Duration::from_millis(100);
/// Messages taken between two looks at the clock.
const MAX_BURST: usize = 256;

/// What the control thread is sent.
#[derive(Debug)]
pub(crate) enum Letter {
    /// A message to the node.
    Message(Box<Message>),
    /// A request, and where its commands go.
    Open(Box<Arrival>, Sender<Command>),
    /// A question for the state, and where it goes.
    Figures(Sender<Vec<Figure>>),
}

/// What other threads see of the node without asking it.
#[derive(Debug, Default)]
struct View {
    table: RwLock<Option<Arc<Table>>>,
    ready: AtomicBool,
    draining: AtomicBool,
    open: AtomicUsize,
    next_request: AtomicU64,
    next_lease: AtomicU64,
    /// The offset before which no record is missing, by topic.
    ends: [AtomicU64; Topic::ALL.len()],
    /// How what is tracked is read, in the order of [`Dependency::ALL`].
    readings: [Reading; Dependency::ALL.len()],
}

/// How one of what is tracked is to be read.
#[derive(Debug, Default)]
struct Reading {
    /// Whether this daemon leaves it to others.
    left_to_others: AtomicBool,
    /// Milliseconds from a read that brought something to the next.
    pace: AtomicU64,
    /// Milliseconds that a read may wait for a record.
    wait: AtomicU64,
    /// Milliseconds from a read that failed to the next.
    pause: AtomicU64,
}

/// A handle to the control thread.
#[derive(Clone)]
pub struct Control {
    mailbox: Sender<Letter>,
    view: Arc<View>,
    /// The clock that all threads share.
    pub clock: Clock,
}

/// A running node, and what it wants of the platform.
pub struct Fleet {
    /// The handle to the node.
    pub control: Control,
    /// Orders, questions to engines and lease records, for the edge to the platform to carry out.
    pub effects: Receiver<Effect>,
}

impl Fleet {
    /// Starts the control thread; frames to peers are sent on `executor`.
    pub fn start(node: Node, executor: &Arc<Executor<'static>>) -> Self {
        let (control, letters) = Control::new();
        let (outward, effects) = async_channel::unbounded();
        let worker = Worker {
            node,
            control: control.clone(),
            outward,
            executor: Arc::clone(executor),
            links: Links::default(),
            open: BTreeMap::new(),
        };
        thread::spawn(move || worker.run(&letters));
        Self { control, effects }
    }
}

impl Control {
    /// A handle, and the letters that are sent with it.
    pub(crate) fn new() -> (Self, Receiver<Letter>) {
        let (mailbox, letters) = async_channel::unbounded();
        (Self { mailbox, view: Arc::default(), clock: Clock::start() }, letters)
    }

    /// Sends a message; nothing comes back.
    pub fn tell(&self, message: Message) {
        self.mailbox.try_send(Letter::Message(Box::new(message))).ok();
    }

    /// Hands a request over; commands for it come on the channel returned.
    pub fn open(&self, arrival: Arrival) -> Receiver<Command> {
        let (sender, receiver) = async_channel::unbounded();
        self.mailbox.try_send(Letter::Open(Box::new(arrival), sender)).ok();
        receiver
    }

    /// The state for metrics; nothing where the control thread has ended.
    pub async fn figures(&self) -> Vec<Figure> {
        let (sender, receiver) = async_channel::bounded(1);
        self.mailbox.try_send(Letter::Figures(sender)).ok();
        receiver.recv().await.unwrap_or_default()
    }

    /// A key for a new request.
    pub fn next_request(&self) -> Key {
        Key(self.view.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// The table in force.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.view.table.read().ok()?.clone()
    }

    /// Makes this the table in force.
    pub(crate) fn show(&self, table: Arc<Table>) {
        if let Ok(mut current) = self.view.table.write() {
            *current = Some(table);
        }
    }

    /// Whether the platform's balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.view.ready.load(Ordering::Acquire)
    }

    /// Whether a planned stop is under way.
    pub fn is_draining(&self) -> bool {
        self.view.draining.load(Ordering::Acquire)
    }

    /// Requests that are waiting or sent.
    pub fn open_requests(&self) -> usize {
        self.view.open.load(Ordering::Acquire)
    }

    /// The offset from which the lease is to be read next.
    pub fn next_lease(&self) -> u64 {
        self.view.next_lease.load(Ordering::Acquire)
    }

    /// The offset of a topic before which no record is missing, whoever told of it.
    pub fn end(&self, topic: Topic) -> u64 {
        self.view.ends[topic as usize].load(Ordering::Acquire)
    }

    /// Time from a read that brought something to the next one.
    pub fn pace(&self, tracked: Dependency) -> Duration {
        Duration::from_millis(self.reading(tracked).pace.load(Ordering::Acquire))
    }

    /// Time that a read may wait for a record.
    pub fn wait(&self, tracked: Dependency) -> Duration {
        Duration::from_millis(self.reading(tracked).wait.load(Ordering::Acquire))
    }

    /// Time from a read that failed to the next one.
    pub fn pause(&self, tracked: Dependency) -> Duration {
        Duration::from_millis(self.reading(tracked).pause.load(Ordering::Acquire))
    }

    /// Whether this daemon is to read what is tracked.
    pub fn reads(&self, tracked: Dependency) -> bool {
        !self.reading(tracked).left_to_others.load(Ordering::Acquire)
    }

    fn reading(&self, tracked: Dependency) -> &Reading {
        &self.view.readings[tracked.index()]
    }
}

/// The control thread's own state.
struct Worker {
    node: Node,
    control: Control,
    outward: Sender<Effect>,
    executor: Arc<Executor<'static>>,
    links: Links,
    open: BTreeMap<Key, Sender<Command>>,
}

impl Worker {
    fn run(mut self, letters: &Receiver<Letter>) {
        let mut next_tick = Time::ZERO;
        loop {
            let now = self.control.clock.now();
            if now >= next_tick {
                let effects = self.node.apply(now, Message::Tick);
                self.carry(effects);
                self.publish_readings(now);
                next_tick = now + if self.node.needs_fast_ticks() { TICK } else { QUIET_TICK };
            }
            self.publish();
            let wait = async {
                Timer::after(next_tick.saturating_sub(self.control.clock.now())).await;
                Ok(None)
            };
            let receive = async { letters.recv().await.map(Some) };
            let Ok(mut letter) = block_on(receive.or(wait)) else { return };
            for _ in 0..MAX_BURST {
                let Some(current) = letter else { break };
                self.take(current);
                letter = letters.try_recv().ok();
            }
            if let Some(last) = letter {
                self.take(last);
            }
            if self.node.needs_fast_ticks() {
                next_tick = next_tick.min(self.control.clock.now() + TICK);
            }
        }
    }

    fn take(&mut self, letter: Letter) {
        let now = self.control.clock.now();
        let message = match letter {
            Letter::Message(message) => *message,
            Letter::Open(arrival, sender) => {
                self.open.insert(arrival.request, sender);
                Message::Arrive(arrival)
            }
            Letter::Figures(sender) => {
                sender.try_send(self.node.figures(now)).ok();
                return;
            }
        };
        let left = match message {
            Message::Cancel(key) => Some(key),
            _ => None,
        };
        let effects = self.node.apply(now, message);
        self.carry(effects);
        if let Some(key) = left {
            self.open.remove(&key);
        }
    }

    fn carry(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Command(key, command) => self.command(key, command),
                Effect::Table(table) => self.control.show(table),
                Effect::Send(addresses, frame) => {
                    let bytes = Bytes::from(frame.encode());
                    for address in addresses {
                        self.links.send(&self.executor, address, bytes.clone());
                    }
                }
                Effect::Event(event, detail) => emit(event, detail),
                outward @ (Effect::AppendLease(_)
                | Effect::Order { .. }
                | Effect::Poll(..)
                | Effect::ReadEvents { .. }
                | Effect::Probe(..)
                | Effect::WriteBlock(..)
                | Effect::Disconnect(_)) => {
                    self.outward.try_send(outward).ok();
                }
            }
        }
    }

    fn command(&mut self, key: Key, command: Command) {
        if let Some(sender) = self.open.get(&key) {
            sender.try_send(command).ok();
        }
    }

    fn publish_readings(&self, now: Time) {
        let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        for tracked in Dependency::ALL {
            let reading = self.control.reading(tracked);
            reading.left_to_others.store(!self.node.should_read(now, tracked), Ordering::Release);
            reading.pace.store(ms(self.node.read_interval(now, tracked)), Ordering::Release);
            reading.wait.store(ms(self.node.max_read_wait(now, tracked)), Ordering::Release);
            reading.pause.store(ms(self.node.retry_delay()), Ordering::Release);
        }
    }

    fn publish(&self) {
        let view = &self.control.view;
        view.ready.store(self.node.is_ready(), Ordering::Release);
        view.draining.store(self.node.is_draining(), Ordering::Release);
        view.open.store(self.node.open_requests(), Ordering::Release);
        view.next_lease.store(self.node.next_lease_offset(), Ordering::Release);
        for topic in Topic::ALL {
            view.ends[topic as usize].store(self.node.end_offset(topic), Ordering::Release);
        }
    }
}
