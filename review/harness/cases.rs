//! The cases.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::daemon::{Bounds, Daemon, prepare};
use crate::http::{Request, call};
use crate::record::Record;
use crate::server::{Options, Seen, Server, Work};
use crate::store::Store;

/// What the sheets of the deployments state.
const HISTORY_S: u64 = 20;
const BOUNDS: Bounds = Bounds { check_fences: true, lease_ms: 3_000, version_ms: 8_000, grace_s: 8 };
const ZONES: [&str; 3] = ["brisbane-a", "brisbane-b", "ipswich"];

struct Scene {
    record: Arc<Record>,
    store: Arc<Store>,
    seen: Seen,
    folder: PathBuf,
}

impl Scene {
    fn new(folder: &str) -> Self {
        // Longer only for runs by hand.
        let history = std::env::var("HISTORY_S").ok().and_then(|text| text.parse().ok()).unwrap_or(HISTORY_S);
        let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        let record = Arc::new(Record::create(folder));
        Self { record, store: Store::start(Duration::from_secs(history)), seen: Seen::default(), folder: temporary }
    }

    fn engines(&self, count: usize, checks_fences: bool, work: Work) -> Vec<Arc<Server>> {
        let start = |index: usize| {
            let zone = ZONES[index % ZONES.len()];
            let options = Options { service: "fee-models", zone, slots: 48, is_engine: true, checks_fences, work };
            Server::start(&format!("i-engine-{index:02}"), options, &self.store, &self.record, &self.seen)
        };
        (0..count).map(start).collect()
    }

    fn plain(&self, count: usize, work: Work) -> Vec<Arc<Server>> {
        let start = |index: usize| {
            let zone = ZONES[index % ZONES.len()];
            let options =
                Options { service: "lodge-desk", zone, slots: 6, is_engine: false, checks_fences: true, work };
            Server::start(&format!("i-plain-{index}"), options, &self.store, &self.record, &self.seen)
        };
        (0..count).map(start).collect()
    }

    fn daemons(&self, program: &str, zones: &[&str], bounds: Bounds) -> Vec<Daemon> {
        let mut daemons = prepare(program, &self.folder, zones, self.store.address, bounds);
        for daemon in &mut daemons {
            daemon.start();
            self.record.line(&format!("{} started, front {}", daemon.id, daemon.entry));
        }
        for daemon in &daemons {
            if !daemon.wait_until_ready(Duration::from_secs(15)) {
                self.record.line(&format!("{} is not ready", daemon.id));
                panic!("{} is not ready: {}", daemon.id, daemon.log_text());
            }
        }
        self.record.line("all daemons are ready");
        daemons
    }

    fn configure(&self, version: u64, tenants: &str) {
        let config = config(version, tenants);
        self.store.put("keyed.op", "config", &config);
        self.record.line(&format!("configuration {version} acknowledged, tenants {tenants}"));
    }

    fn name_weights(&self, version: u64) {
        self.store.put("keyed.op", "version/m", &format!(r#"{{"model":"m","version":{version}}}"#));
        self.record.line(&format!("version {version} of the weights named"));
    }

    fn send(&self, daemon: &Daemon, request: &Request) -> Option<u16> {
        let id = request.fields.iter().find(|(name, _)| name == "X-Request-Id").map_or("", |(_, id)| id);
        let key = request.fields.iter().find(|(name, _)| name == "Authorization").map_or("", |(_, key)| key);
        self.record.line(&format!("sent to {}: request {id}, {key}", daemon.id));
        let answer = call(daemon.entry, request, Duration::from_secs(20));
        let status = answer.as_ref().map(|answer| answer.status);
        let seal = answer.as_ref().and_then(|answer| answer.head.field("X-Response-Seal"));
        self.record.line(&format!("answered by {}: request {id}, {status:?}, seal {seal:?}", daemon.id));
        status
    }

    fn end(&self, daemons: &mut [Daemon]) {
        for daemon in daemons {
            daemon.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            std::fs::remove_dir_all(&self.folder).ok();
        }
    }
}

fn config(version: u64, tenants: &str) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u64, target: u64, attempts: u32, resumable: bool| {
        format!(
            r#"{{"name":"{name}","host":"a.example","path_prefix":"/{name}/","kind":"{kind}","timeout_ms":{timeout},"target_latency_ms":{target},"priority":1,"service":"{service}","attempts":{attempts},"public":false,"sticky":false,"resumable":{resumable}}}"#
        )
    };
    let routes = [
        route("fee-code-check", "streaming", "fee-models", 5_000, 600, 2, true),
        route("shortfall-note", "streaming", "fee-models", 15_000, 800, 1, false),
        route("receipt-fetch", "non_idempotent", "lodge-desk", 2_000, 300, 1, false),
        route("lodgement-status", "idempotent", "lodge-desk", 2_000, 300, 2, false),
        route("image-fetch", "idempotent", "lodge-desk", 6_000, 3_000, 2, false),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"fee-models","health_path":"/health","max_connections":300,"protocol":"h1","tls":false,"engine":{{"slots":48,"kv_capacity_tokens":117146,"kv_token_bytes":163840,"link_mbps":130000.0,"max_concurrency":12,"models":[{{"name":"m"}}]}}}},{{"name":"lodge-desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":{tenants}}}"#,
        routes.join(",")
    )
}

const TENANTS: &str = r#"[{"name":"lab","api_keys":["key-of-lab","second-key-of-lab"],"isolated":false},{"name":"court","api_keys":["key-of-court"],"isolated":false}]"#;

fn seconds(count: u64) {
    std::thread::sleep(Duration::from_secs(count));
}

pub fn run(case: &str, program: &str, folder: &str, trouble: bool) -> i32 {
    match case {
        "two-holders" => two_holders(program, folder, trouble, true),
        "two-holders-unfenced" => two_holders(program, folder, trouble, false),
        "no-keys" => no_keys(program, folder, trouble),
        "silent-partition" => silent_partition(program, folder, trouble),
        "stream-end" => stream_end(program, folder, trouble),
        "slow-readers" => slow_readers(program, folder, trouble),
        _ => 2,
    }
}

/// The holder of orders is restarted after the records of the lease have expired; then weights are named.
fn two_holders(program: &str, folder: &str, trouble: bool, check_fences: bool) -> i32 {
    let scene = Scene::new(folder);
    let work = Work { work_ms: 50, events: 3, pause_ms: 5, ..Work::default() };
    let engines = scene.engines(18, check_fences, work);
    scene.configure(1, TENANTS);
    scene.name_weights(1);
    let mut daemons = scene.daemons(program, &ZONES, Bounds { check_fences, ..BOUNDS });
    seconds(5);
    scene.name_weights(2);
    seconds(9);
    let first = scene.seen.orders.lock().unwrap().clone();
    let Some(holder) = first.last().map(|order| order.holder.clone()) else { return 2 };
    scene.record.line(&format!("{} orders by {holder} so far", first.len()));
    // Nothing is written about the lease while all servers have the newest weights.
    loop {
        let (oldest, end) = scene.store.range("lease");
        if oldest == end {
            break;
        }
        seconds(1);
    }
    let (oldest, end) = scene.store.range("lease");
    scene.record.line(&format!("the store has the records of the lease from {oldest} to {end}"));
    if trouble {
        let killed = daemons.iter_mut().find(|daemon| daemon.id == holder).expect("it is a daemon");
        killed.kill();
        scene.record.line(&format!("{holder} killed"));
        seconds(1);
        killed.start();
        let is_ready = killed.wait_until_ready(Duration::from_secs(10));
        scene.record.line(&format!("{holder} started again, ready: {is_ready}"));
    }
    // More than stable_window_ms: all machines are in touch.
    seconds(10);
    let begin_ms = scene.record.ms();
    for version in 3..=6 {
        scene.name_weights(version);
        seconds(3);
    }
    seconds(8);
    for (offset, text) in scene.store.texts("lease") {
        scene.record.line(&format!("lease record {offset}: {text}"));
    }
    scene.end(&mut daemons);
    let orders = scene.seen.orders.lock().unwrap().clone();
    let orders: Vec<_> = orders.into_iter().filter(|order| order.at_ms >= begin_ms).collect();
    scene.record.line(&format!("{} orders after the restart", orders.len()));
    let mut turns = 0;
    let mut stale = 0;
    for engine in &engines {
        let here: Vec<_> = orders.iter().filter(|order| order.server == engine.id).collect();
        for (index, last) in here.iter().enumerate() {
            let former = &here[..index];
            // One holder, another, and the first again, all within lease_ms.
            let recent = former.iter().filter(|order| order.at_ms + BOUNDS.lease_ms >= last.at_ms);
            let recent: Vec<_> = recent.collect();
            let other = recent.iter().rposition(|order| order.holder != last.holder);
            let is_turn = other.is_some_and(|other| recent[..other].iter().any(|order| order.holder == last.holder));
            turns += usize::from(is_turn);
            stale += usize::from(former.iter().any(|order| order.token > last.token));
        }
    }
    let holders: std::collections::BTreeSet<_> = orders.iter().map(|order| (order.holder.clone(), order.token)).collect();
    scene.record.line(&format!("holders and tokens: {holders:?}"));
    scene.record.line(&format!("orders by which two holders took turns at one server within lease_ms: {turns}"));
    scene.record.line(&format!("orders at a server with a lower token after a higher one: {stale}"));
    let is_broken = turns > 0 || !check_fences && stale > 0;
    scene.record.line(if is_broken { "ONE is broken" } else { "ONE held" });
    i32::from(is_broken)
}

/// All keys are revoked.
fn no_keys(program: &str, folder: &str, trouble: bool) -> i32 {
    let scene = Scene::new(folder);
    let _plain = scene.plain(3, Work { work_ms: 60, answer_bytes: 800, ..Work::default() });
    scene.configure(1, TENANTS);
    let mut daemons = scene.daemons(program, &ZONES[..2], BOUNDS);
    seconds(4);
    let send = |name: &str, key: &str| {
        for (index, daemon) in daemons.iter().enumerate() {
            let id = format!("{name}-{index}");
            scene.send(daemon, &Request::new("GET", "/lodgement-status/1", &id, key, 4_000));
        }
    };
    send("before-lab", "key-of-lab");
    send("before-court", "key-of-court");
    send("before-unknown", "never-a-key");
    let revoked = [
        r#"[{"name":"lab","api_keys":["second-key-of-lab"],"isolated":false},{"name":"court","api_keys":["key-of-court"],"isolated":false}]"#,
        r#"[{"name":"lab","api_keys":[],"isolated":false},{"name":"court","api_keys":["key-of-court"],"isolated":false}]"#,
        r#"[{"name":"lab","api_keys":[],"isolated":false},{"name":"court","api_keys":[],"isolated":false}]"#,
    ];
    let count = if trouble { 3 } else { 2 };
    for (version, tenants) in (2..).zip(revoked).take(count) {
        scene.configure(version, tenants);
        std::thread::sleep(Duration::from_millis(400));
    }
    // More than config_apply_ms and revoke_ms together.
    seconds(8);
    send("after-lab", "key-of-lab");
    send("after-second-lab", "second-key-of-lab");
    if trouble {
        send("after-court", "key-of-court");
    }
    send("after-unknown", "never-a-key");
    scene.end(&mut daemons);
    let runs = scene.seen.runs.lock().unwrap().clone();
    let unknown = runs.iter().filter(|run| run.id.contains("unknown")).count();
    let dropped = runs.iter().filter(|run| run.id.starts_with("after-") && !run.id.contains("unknown")).count();
    let served = runs.iter().filter(|run| run.id == "before-lab-0" || run.id == "before-court-1").count();
    scene.record.line(&format!("runs with a key that no configuration ever held: {unknown}"));
    scene.record.line(&format!("runs with a key that was revoked more than 7 s before: {dropped}"));
    if served != 2 {
        return 2;
    }
    i32::from(unknown + dropped > 0)
}

/// The partition of the servers' registrations is silent for some seconds; later a server leaves.
fn silent_partition(program: &str, folder: &str, trouble: bool) -> i32 {
    const OUTAGE: Duration = Duration::from_millis(4_500);
    const DRAIN_MS: u64 = 2_000;
    let scene = Scene::new(folder);
    let plain = scene.plain(4, Work { work_ms: 60, answer_bytes: 800, ..Work::default() });
    scene.configure(1, TENANTS);
    let mut daemons = scene.daemons(program, &ZONES, BOUNDS);
    seconds(6);
    if trouble {
        scene.store.set_silent("keyed.servers", true);
        scene.record.line("the partition of keyed.servers is silent");
    }
    std::thread::sleep(OUTAGE);
    if trouble {
        scene.store.set_silent("keyed.servers", false);
        scene.record.line("the partition of keyed.servers answers again");
    }
    // More than stable_window_ms: the store is stable, and all machines are in touch.
    std::thread::sleep(Duration::from_millis(3_500));
    let acknowledged = scene.record.ms();
    plain[0].drain(&scene.store);
    // It goes on serving for drain_ms and a little longer.
    for round in 0..90 {
        for (index, daemon) in daemons.iter().enumerate() {
            let id = format!("r-{round}-{index}");
            scene.send(daemon, &Request::new("GET", "/lodgement-status/1", &id, "key-of-lab", 4_000));
        }
    }
    scene.record.line("the server has ended its drain");
    scene.end(&mut daemons);
    let runs = scene.seen.runs.lock().unwrap().clone();
    let served = runs.iter().filter(|run| run.server != plain[0].id).count();
    let late = |run: &&crate::server::Run| run.server == plain[0].id && run.at_ms > acknowledged + DRAIN_MS;
    let late: Vec<u64> = runs.iter().filter(late).map(|run| run.at_ms - acknowledged).collect();
    scene.record.line(&format!(
        "requests that reached {} later than drain_ms after the acknowledgement: {}, the last {} ms after it",
        plain[0].id, late.len(), late.last().copied().unwrap_or(0),
    ));
    if served == 0 {
        return 2;
    }
    i32::from(!late.is_empty())
}

/// Clients read their answers slowly.
fn slow_readers(program: &str, folder: &str, trouble: bool) -> i32 {
    // The smallest machines of the sheet: 88 MB.
    const MEMORY_KIB: u64 = 88_000_000 >> 10;
    const ANSWER_BYTES: usize = 7 << 20;
    const CLIENTS: usize = 30;
    const CYCLE: Duration = Duration::from_millis(6_000);
    // A slow client takes about 3 s for an answer: it reads this much, and pauses.
    const READ_BYTES: usize = 64 << 10;
    const PAUSE: Duration = Duration::from_millis(27);
    let scene = Scene::new(folder);
    let _plain = scene.plain(6, Work { work_ms: 60, answer_bytes: ANSWER_BYTES, ..Work::default() });
    scene.configure(1, TENANTS);
    let mut daemons = scene.daemons(program, &ZONES[..2], BOUNDS);
    seconds(3);
    let entries: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.entry).collect();
    let is_over = AtomicBool::new(false);
    let (answered, failed) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let mut ends = vec![0; daemons.len()];
    let mut peaks = vec![0; daemons.len()];
    std::thread::scope(|scope| {
        for (machine, entry) in entries.iter().enumerate() {
            for client in 0..CLIENTS {
                let (scene, is_over, answered, failed) = (&scene, &is_over, &answered, &failed);
                scope.spawn(move || {
                    std::thread::sleep(CYCLE * client as u32 / CLIENTS as u32);
                    let mut number = 0;
                    while !is_over.load(Ordering::Relaxed) {
                        let begun = Instant::now();
                        let id = format!("r-{machine}-{client}-{number}");
                        number += 1;
                        let request = Request::new("GET", "/image-fetch/1", &id, "key-of-lab", 6_000);
                        let pause = if trouble { PAUSE } else { Duration::ZERO };
                        let bytes = read_slowly(*entry, &request, READ_BYTES, pause);
                        let is_whole = bytes > ANSWER_BYTES;
                        let took = begun.elapsed().as_millis();
                        scene.record.line(&format!("request {id}: {bytes} bytes in {took} ms, whole {is_whole}"));
                        let count = if is_whole { answered } else { failed };
                        count.fetch_add(1, Ordering::Relaxed);
                        std::thread::sleep(CYCLE.saturating_sub(begun.elapsed()));
                    }
                });
            }
        }
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(30) {
            for (index, daemon) in daemons.iter_mut().enumerate() {
                let memory = daemon.memory_kib();
                peaks[index] = memory.max(peaks[index]);
                // As the platform does with a process that exceeds its memory.
                if memory > MEMORY_KIB {
                    scene.record.line(&format!("{} has {memory} KiB and is ended, then started again", daemon.id));
                    ends[index] += 1;
                    daemon.kill();
                    std::thread::sleep(Duration::from_millis(500));
                    daemon.start();
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        is_over.store(true, Ordering::Relaxed);
    });
    scene.end(&mut daemons);
    let (answered, failed) = (answered.into_inner(), failed.into_inner());
    scene.record.line(&format!("{answered} requests with a whole answer, {failed} without"));
    scene.record.line(&format!("peaks in KiB: {peaks:?}; ends over {MEMORY_KIB} KiB: {ends:?}"));
    if answered == 0 {
        return 2;
    }
    // On two machines at least, processes ended by themselves three times in the day.
    i32::from(ends.iter().filter(|count| **count >= 3).count() >= 2)
}

/// Sends a request, and reads the answer in pieces with a pause before each. Returns the number of bytes.
fn read_slowly(address: SocketAddr, request: &Request, piece: usize, pause: Duration) -> usize {
    let Ok(mut stream) = TcpStream::connect(address) else { return 0 };
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok();
    // The daemon closes the connection after the answer.
    let request = request.clone().with("Connection", "close");
    if stream.write_all(&request.encode()).is_err() {
        return 0;
    }
    let mut bytes = 0;
    let mut chunk = vec![0; piece];
    loop {
        std::thread::sleep(pause);
        match stream.read(&mut chunk) {
            Ok(count @ 1..) => bytes += count,
            _ => return bytes,
        }
    }
}

/// Servers cut the end of streams off; the stream is then taken up after its last event.
fn stream_end(program: &str, folder: &str, trouble: bool) -> i32 {
    const STREAMS: usize = 100;
    let scene = Scene::new(folder);
    let work = Work { work_ms: 50, events: 6, pause_ms: 10, ..Work::default() };
    let engines = scene.engines(6, true, work);
    scene.configure(1, TENANTS);
    scene.name_weights(1);
    let mut daemons = scene.daemons(program, &ZONES, BOUNDS);
    // The streams' software versions are known after a while.
    seconds(12);
    let mut wrong = 0;
    let mut complete = 0;
    for number in 0..STREAMS {
        // Two of 100 answers are cut.
        if trouble && number % 50 == 10 {
            engines.iter().for_each(|engine| *engine.cuts_end.lock().unwrap() = true);
        }
        let id = format!("s-{number}");
        let mut request = Request::new("POST", "/fee-code-check/1", &id, "key-of-lab", 5_000)
            .with("X-Model", "m")
            .with("X-Token-Usage", "900,20")
            .with("X-Prompt-Prefix", &format!("aa:400,bb:300,{number:x}:200"));
        request.body = b"prompt".to_vec();
        let daemon = &daemons[number % daemons.len()];
        let text = read_raw(daemon.entry, &request);
        engines.iter().for_each(|engine| *engine.cuts_end.lock().unwrap() = false);
        let is_complete = text.ends_with("0\r\n\r\n");
        let is_wrong = text.matches("HTTP/1.1 ").count() > 1;
        scene.record.line(&format!("stream {id} by {}: complete {is_complete}, another head inside {is_wrong}", daemon.id));
        if is_wrong {
            scene.record.line(&format!("its bytes: {text:?}"));
        }
        complete += usize::from(is_complete);
        wrong += usize::from(is_wrong);
    }
    scene.end(&mut daemons);
    scene.record.line(&format!("{complete} of {STREAMS} streams complete, {wrong} with bytes that are no answer"));
    if complete == 0 {
        return 2;
    }
    i32::from(wrong > 0)
}

/// Sends a request and returns all bytes of the answer, until its end or a second of silence.
fn read_raw(address: SocketAddr, request: &Request) -> String {
    let mut bytes = Vec::new();
    let Ok(mut stream) = TcpStream::connect(address) else { return String::new() };
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok();
    if stream.write_all(&request.encode()).is_err() {
        return String::new();
    }
    let mut chunk = [0; 4_096];
    while let Ok(count @ 1..) = stream.read(&mut chunk) {
        bytes.extend_from_slice(&chunk[..count]);
        if bytes.ends_with(b"0\r\n\r\n") {
            break;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
