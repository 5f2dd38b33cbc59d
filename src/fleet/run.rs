//! The control thread of a [`Node`], and the handle through which traffic threads use it.

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
use crate::telemetry::metrics::Gauge;

/// Time between two ticks while requests wait or engines load.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two ticks otherwise.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Messages handled in a row before the clock is checked for a tick.
const MAX_MESSAGES_PER_BATCH: usize = 256;

/// Input to the control thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// A message to the node.
    Message(Box<Message>),
    /// A new request, and the channel for its commands.
    Open(Box<Arrival>, Sender<Command>),
    /// A query for metrics, and the channel for the result.
    Metrics(Sender<Vec<Gauge>>),
}

/// State of the node that other threads read directly.
#[derive(Debug, Default)]
struct View {
    table: RwLock<Option<Arc<Table>>>,
    ready: AtomicBool,
    draining: AtomicBool,
    open_requests: AtomicUsize,
    next_request_key: AtomicU64,
    next_lease_offset: AtomicU64,
    /// One more than the offset up to which all records are known, by topic; 0 until the topic is
    /// known.
    end_offsets: [AtomicU64; Topic::ALL.len()],
    /// Read schedules of the tracked items, in the order of [`Dependency::ALL`].
    read_schedules: [ReadSchedule; Dependency::ALL.len()],
}

/// Schedule on which a tracked item is read.
#[derive(Debug, Default)]
struct ReadSchedule {
    /// Whether this daemon reads it, and not only others for it.
    is_own: AtomicBool,
    /// Milliseconds from a read that returned records to the next.
    interval_ms: AtomicU64,
    /// Milliseconds for which a read may wait for a record.
    max_wait_ms: AtomicU64,
    /// Milliseconds from a failed read to the next.
    retry_delay_ms: AtomicU64,
}

/// A handle to the control thread.
#[derive(Clone)]
pub struct Control {
    sender: Sender<Input>,
    view: Arc<View>,
    /// The clock that all threads share.
    pub clock: Clock,
}

/// A running node, and its effects on the platform.
pub struct Fleet {
    /// The handle to the node.
    pub control: Control,
    /// Orders, queries to engines and lease records, which the platform adapter executes.
    pub effects: Receiver<Effect>,
}

impl Fleet {
    /// Starts the control thread, which sends frames to peers on `executor`.
    pub fn start(node: Node, executor: &Arc<Executor<'static>>) -> Self {
        let (control, inputs) = Control::new();
        let (platform_effects, effects) = async_channel::unbounded();
        let worker = Worker {
            node,
            control: control.clone(),
            platform_effects,
            executor: Arc::clone(executor),
            links: Links::default(),
            open_requests: BTreeMap::new(),
        };
        thread::spawn(move || worker.run(&inputs));
        Self { control, effects }
    }
}

impl Control {
    /// Creates a handle and the channel of its inputs.
    pub(crate) fn new() -> (Self, Receiver<Input>) {
        let (sender, inputs) = async_channel::unbounded();
        (Self { sender, view: Arc::default(), clock: Clock::start() }, inputs)
    }

    /// Sends a message without a reply.
    pub fn tell(&self, message: Message) {
        self.sender.try_send(Input::Message(Box::new(message))).ok();
    }

    /// Opens a request; its commands arrive on the returned channel.
    pub fn open(&self, arrival: Arrival) -> Receiver<Command> {
        let (sender, receiver) = async_channel::unbounded();
        self.sender.try_send(Input::Open(Box::new(arrival), sender)).ok();
        receiver
    }

    /// The node's metrics; empty if the control thread has ended.
    pub async fn metrics(&self) -> Vec<Gauge> {
        let (sender, receiver) = async_channel::bounded(1);
        self.sender.try_send(Input::Metrics(sender)).ok();
        receiver.recv().await.unwrap_or_default()
    }

    /// Returns a key for a new request.
    pub fn next_request_key(&self) -> Key {
        Key(self.view.next_request_key.fetch_add(1, Ordering::Relaxed))
    }

    /// The table in force.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.view.table.read().ok()?.clone()
    }

    /// Puts `table` in force.
    pub(crate) fn set_table(&self, table: Arc<Table>) {
        if let Ok(mut current) = self.view.table.write() {
            *current = Some(table);
        }
    }

    /// Whether the platform's load balancer may send callers to this daemon.
    pub fn is_ready(&self) -> bool {
        self.view.ready.load(Ordering::Acquire)
    }

    /// Whether a planned stop is under way.
    pub fn is_draining(&self) -> bool {
        self.view.draining.load(Ordering::Acquire)
    }

    /// Number of requests that are waiting or sent.
    pub fn open_requests(&self) -> usize {
        self.view.open_requests.load(Ordering::Acquire)
    }

    /// The offset of the next lease record to read.
    pub fn next_lease_offset(&self) -> u64 {
        self.view.next_lease_offset.load(Ordering::Acquire)
    }

    /// The offset of a topic up to which all records are known, from the store or from peers; `None`
    /// until the topic is known.
    pub fn known_end(&self, topic: Topic) -> Option<u64> {
        self.view.end_offsets[topic as usize].load(Ordering::Acquire).checked_sub(1)
    }

    /// Time from a read that returned records to the next.
    pub fn read_interval(&self, tracked: Dependency) -> Duration {
        Duration::from_millis(self.read_schedule(tracked).interval_ms.load(Ordering::Acquire))
    }

    /// Time for which a read may wait for a record.
    pub fn max_read_wait(&self, tracked: Dependency) -> Duration {
        Duration::from_millis(self.read_schedule(tracked).max_wait_ms.load(Ordering::Acquire))
    }

    /// Time from a failed read to the next.
    pub fn read_retry_delay(&self, tracked: Dependency) -> Duration {
        Duration::from_millis(self.read_schedule(tracked).retry_delay_ms.load(Ordering::Acquire))
    }

    /// Whether this daemon reads the tracked item itself.
    pub fn should_read(&self, tracked: Dependency) -> bool {
        self.read_schedule(tracked).is_own.load(Ordering::Acquire)
    }

    fn read_schedule(&self, tracked: Dependency) -> &ReadSchedule {
        &self.view.read_schedules[tracked.index()]
    }
}

/// The control thread's own state.
struct Worker {
    node: Node,
    control: Control,
    platform_effects: Sender<Effect>,
    executor: Arc<Executor<'static>>,
    links: Links,
    open_requests: BTreeMap<Key, Sender<Command>>,
}

impl Worker {
    fn run(mut self, inputs: &Receiver<Input>) {
        let mut next_tick = Time::ZERO;
        loop {
            let now = self.control.clock.now();
            if now >= next_tick {
                let effects = self.node.apply(now, Message::Tick);
                self.execute(effects);
                self.publish_read_schedules(now);
                next_tick = now
                    + if self.node.needs_fast_ticks() {
                        BUSY_TICK_INTERVAL
                    } else {
                        IDLE_TICK_INTERVAL
                    };
            }
            if !self.node.is_confirmed() {
                // A daemon that starts reads the store as soon as it has a copy.
                self.publish_read_schedules(now);
            }
            self.publish();
            let wait = async {
                Timer::after(next_tick.saturating_sub(self.control.clock.now())).await;
                Ok(None)
            };
            let receive = async { inputs.recv().await.map(Some) };
            let Ok(mut input) = block_on(receive.or(wait)) else { return };
            for _ in 0..MAX_MESSAGES_PER_BATCH {
                let Some(current) = input else { break };
                self.handle(current);
                input = inputs.try_recv().ok();
            }
            if let Some(last) = input {
                self.handle(last);
            }
            if self.node.needs_fast_ticks() {
                next_tick = next_tick.min(self.control.clock.now() + BUSY_TICK_INTERVAL);
            }
        }
    }

    fn handle(&mut self, input: Input) {
        let now = self.control.clock.now();
        let message = match input {
            Input::Message(message) => *message,
            Input::Open(arrival, sender) => {
                self.open_requests.insert(arrival.request, sender);
                Message::Arrive(arrival)
            }
            Input::Metrics(sender) => {
                sender.try_send(self.node.metrics(now)).ok();
                return;
            }
        };
        let closed = match message {
            Message::Cancel(key) => Some(key),
            _ => None,
        };
        let effects = self.node.apply(now, message);
        self.execute(effects);
        if let Some(key) = closed {
            self.open_requests.remove(&key);
        }
    }

    fn execute(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Command(key, command) => self.send_command(key, command),
                Effect::Table(table) => self.control.set_table(table),
                Effect::Send(addresses, frame) => {
                    let bytes = Bytes::from(frame.encode());
                    for address in addresses {
                        self.links.send(&self.executor, address, bytes.clone());
                    }
                }
                Effect::Event(event, detail) => emit(event, detail),
                platform_effect @ (Effect::AppendLease(_)
                | Effect::Order { .. }
                | Effect::Poll(..)
                | Effect::ReadEvents { .. }
                | Effect::Probe(..)
                | Effect::ProbePath(..)
                | Effect::WriteBlock(..)
                | Effect::Disconnect(_)) => {
                    self.platform_effects.try_send(platform_effect).ok();
                }
            }
        }
    }

    fn send_command(&mut self, key: Key, command: Command) {
        if let Some(sender) = self.open_requests.get(&key) {
            sender.try_send(command).ok();
        }
    }

    fn publish_read_schedules(&self, now: Time) {
        let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        for tracked in Dependency::ALL {
            let schedule = self.control.read_schedule(tracked);
            schedule.is_own.store(self.node.should_read(now, tracked), Ordering::Release);
            schedule
                .interval_ms
                .store(ms(self.node.read_interval(now, tracked)), Ordering::Release);
            schedule
                .max_wait_ms
                .store(ms(self.node.max_read_wait(now, tracked)), Ordering::Release);
            schedule.retry_delay_ms.store(ms(self.node.retry_delay()), Ordering::Release);
        }
    }

    fn publish(&self) {
        let view = &self.control.view;
        view.ready.store(self.node.is_ready(), Ordering::Release);
        view.draining.store(self.node.is_draining(), Ordering::Release);
        view.open_requests.store(self.node.open_requests(), Ordering::Release);
        view.next_lease_offset.store(self.node.next_lease_offset(), Ordering::Release);
        for topic in Topic::ALL {
            let end = self.node.known_end(topic).map_or(0, |end| end.saturating_add(1));
            view.end_offsets[topic as usize].store(end, Ordering::Release);
        }
    }
}
