//! Starts the daemon, serves its listeners and stops it.

use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::thread;

use async_executor::Executor;
use async_io::{Async, Timer, block_on};
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};

use super::control::{self, Control};
use super::runner::Runner;
use crate::clients;
use crate::control::{Identity, Message, Node, Policy, Stream};
use crate::entry::{Connections, Entry};
use crate::http::accept;
use crate::memory::Account;
use crate::ops::Endpoint;
use crate::peer::{self, Frame, Links};
use crate::prelude::*;
use crate::settings::Settings;
use crate::telemetry::metrics::Metrics;
use crate::telemetry::{emit, flush_logs, init_logs, trace};

/// Time from a failed read of the log service to the next.
const PLATFORM_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time before the end of a planned stop at which what is open is answered as not run, or unknown.
const STOP_DEADLINE_MARGIN: Duration = Duration::from_millis(500);
/// Time between two checks of whether a planned stop has finished.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

struct Listeners {
    entry: Async<TcpListener>,
    peer: Async<TcpListener>,
    operators: Async<TcpListener>,
}

impl Listeners {
    fn bind(settings: &Settings) -> Result<Self> {
        Ok(Self {
            entry: bind("listen", settings.listen)?,
            peer: bind("peer_listen", settings.peer_listen)?,
            operators: bind("operators_listen", settings.operators_listen)?,
        })
    }
}

fn bind(name: &str, address: SocketAddr) -> Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
        .map_err(|error| Error::new(Code::AddressUnusable, format!("{name}: {address}: {error}")))
}

/// Runs a daemon until its planned stop has finished.
pub fn run(settings: Settings) -> Result<()> {
    init_logs(&settings.telemetry, &settings.id);
    let listeners = Listeners::bind(&settings)?;
    let trace_provider = settings
        .telemetry
        .otlp
        .map(|address| trace::init(address, &settings.id))
        .transpose()
        .map_err(|detail| Error::new(Code::SettingsInvalid, format!("telemetry.otlp: {detail}")))?;
    let executor: Arc<Executor<'static>> = Arc::default();
    let control = start_control(&settings, &executor);
    start_traffic_threads(settings.threads, &executor);
    let result = block_on(executor.run(serve(settings, listeners, control, &executor)));
    if let Some(provider) = trace_provider {
        provider.shutdown_with_timeout(Duration::from_secs(1)).ok();
    }
    flush_logs();
    result
}

fn start_control(settings: &Settings, executor: &Arc<Executor<'static>>) -> Control {
    let (control, inputs) = Control::new();
    let identity = Identity {
        id: settings.id.clone(),
        incarnation: fastrand::u64(..),
        zone: settings.zone.clone(),
    };
    let runner = Runner {
        executor: Arc::clone(executor),
        control: control.clone(),
        log_service: settings.log_service,
        links: Links::default(),
    };
    let node = Node::new(identity, Policy::default());
    let handle = control.clone();
    thread::spawn(move || control::run(node, inputs, handle, runner));
    control
}

fn start_traffic_threads(threads: u32, executor: &Arc<Executor<'static>>) {
    for _ in 1..threads {
        let executor = Arc::clone(executor);
        thread::spawn(move || block_on(executor.run(std::future::pending::<()>())));
    }
}

async fn serve(
    settings: Settings,
    listeners: Listeners,
    control: Control,
    executor: &Arc<Executor<'static>>,
) -> Result<()> {
    let metrics =
        Metrics::new().map_err(|detail| Error::new(Code::SettingsInvalid, detail)).map(Arc::new)?;
    let mut signals = Signals::new([Signal::Term, Signal::Int])
        .map_err(|error| Error::new(Code::AddressUnusable, error.to_string()))?;
    announce(&settings, &listeners);
    let connections = Arc::<Connections>::default();
    let account = Arc::new(Account::new(settings.limits.held()));
    let entry = Entry::new(
        &settings,
        control.clone(),
        Arc::clone(&metrics),
        executor,
        Arc::clone(&account),
    );
    let entry = Arc::new(entry);
    watch_log(executor, &control, settings.log_service);
    watch_vms(executor, &control, &settings);
    let operators =
        Endpoint::new(Arc::clone(&entry), control.clone(), metrics, Arc::clone(&account));
    let operators = Arc::new(operators);
    accept_operators(executor, listeners.operators, operators);
    accept_peers(executor, listeners.peer, account, control.clone());
    let accepting = accept_callers(listeners.entry, Arc::clone(&entry), Arc::clone(&connections));
    let accept_task = executor.spawn(accepting);
    signals.next().await;
    stop(&settings, &control, &entry, &connections, accept_task).await;
    Ok(())
}

fn announce(settings: &Settings, listeners: &Listeners) {
    let address = |listener: &Async<TcpListener>| {
        listener.get_ref().local_addr().map_or_else(|_| "?".into(), |address| address.to_string())
    };
    let line = format!(
        "cardamomvalved {} ready entry={} peer={} operators={}\n",
        settings.id,
        address(&listeners.entry),
        address(&listeners.peer),
        address(&listeners.operators)
    );
    let mut stdout = std::io::stdout();
    stdout.write_all(line.as_bytes()).ok();
    stdout.flush().ok();
    emit(Event::Started, Detail::of("addresses", line.trim_end()));
}

fn watch_log(executor: &Executor<'static>, control: &Control, address: SocketAddr) {
    for stream in Stream::ALL {
        let control = control.clone();
        let watch = async move {
            // The first read doesn't wait, so the end of the stream is known at once.
            let mut wait_ms = 0;
            loop {
                let from = control.next_offset(stream);
                match clients::log::read(address, stream, from, wait_ms).await {
                    Ok(read) => {
                        wait_ms = clients::log::MAX_WAIT_MS;
                        let next = read.records.last().map(|record| record.offset + 1);
                        control.tell(Message::Records(stream, read));
                        wait_until_applied(&control, stream, next).await;
                    }
                    Err(_) => {
                        control.tell(Message::LogDown(stream));
                        Timer::after(PLATFORM_RETRY_DELAY).await;
                    }
                }
            }
        };
        executor.spawn(watch).detach();
    }
}

/// Waits, for a bounded time, until the node has applied all records before `next`.
async fn wait_until_applied(control: &Control, stream: Stream, next: Option<u64>) {
    const MAX_CHECKS: u32 = 500;
    let Some(next) = next else { return };
    for _ in 0..MAX_CHECKS {
        if control.next_offset(stream) >= next {
            return;
        }
        Timer::after(Duration::from_millis(1)).await;
    }
}

fn watch_vms(executor: &Executor<'static>, control: &Control, settings: &Settings) {
    let control = control.clone();
    let address = settings.vm_list;
    let interval = Duration::from_millis(settings.limits.vm_list_interval_ms);
    let watch = async move {
        loop {
            let message = match clients::vms::read(address).await {
                Ok(vms) => Message::VmList(vms),
                Err(_) => Message::VmListDown,
            };
            control.tell(message);
            Timer::after(interval).await;
        }
    };
    executor.spawn(watch).detach();
}

async fn accept_callers(
    listener: Async<TcpListener>,
    entry: Arc<Entry>,
    connections: Arc<Connections>,
) {
    loop {
        let stream = accept(&listener).await;
        entry.serve_connection(stream, &connections).await;
    }
}

fn accept_operators(
    executor: &Arc<Executor<'static>>,
    listener: Async<TcpListener>,
    operators: Arc<Endpoint>,
) {
    let spawner = Arc::clone(executor);
    let accepting = async move {
        loop {
            let stream = accept(&listener).await;
            spawner.spawn(operators.clone().serve(stream)).detach();
        }
    };
    executor.spawn(accepting).detach();
}

fn accept_peers(
    executor: &Arc<Executor<'static>>,
    listener: Async<TcpListener>,
    account: Arc<Account>,
    control: Control,
) {
    let handle = move |bytes: &[u8]| {
        let frame = Frame::decode(bytes).map_err(|malformed| malformed.0)?;
        control.tell(Message::Frame(frame));
        Ok(())
    };
    executor.spawn(peer::listen(listener, Arc::clone(executor), account, handle)).detach();
}

/// Stops as planned: first reports not ready, then accepts no more connections, then waits until
/// all requests have ended. Shortly before its time limit it ends them.
async fn stop(
    settings: &Settings,
    control: &Control,
    entry: &Entry,
    connections: &Connections,
    accept_task: async_executor::Task<()>,
) {
    control.tell(Message::Stop);
    Timer::after(Duration::from_millis(settings.limits.drain_notice_ms)).await;
    accept_task.cancel().await;
    let drained = async {
        while !control.is_drained() || connections.is_busy() {
            Timer::after(DRAIN_CHECK_INTERVAL).await;
        }
        emit(Event::Stopped, Detail::none());
    };
    let cut_short = async {
        let limit = Duration::from_millis(settings.limits.drain_ms);
        Timer::after(limit.saturating_sub(STOP_DEADLINE_MARGIN)).await;
        control.tell(Message::StopDeadline);
        entry.end_attempts();
        Timer::after(limit.min(STOP_DEADLINE_MARGIN)).await;
        emit(Event::StopCutShort, Detail::none());
    };
    drained.or(cut_short).await;
}
