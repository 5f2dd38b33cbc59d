//! Three servers of ten crash at once, three times, while clients ask for one document; then comes the final fault.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{self, Conn, Message};
use crate::record::Record;
use crate::rig::{Rig, end_with_this};
use crate::servers::{self, echo};

const CONFIG: &str = "{\"version\":3,\"routes\":[{\"name\":\"fetch\",\"host\":\"fetch.example\",\
    \"path_prefix\":\"/fetch/\",\"kind\":\"idempotent\",\"timeout_ms\":4000,\
    \"target_latency_ms\":300,\"priority\":2,\"service\":\"desk\",\"attempts\":2,\"public\":false}],\
    \"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":100}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
    \"idle_timeout_ms\":15000},\
    \"tenants\":[{\"name\":\"first\",\"api_keys\":[\"key-of-first\"],\"isolated\":false}]}";

const SERVERS: usize = 10;
/// Servers that are killed at one moment: 0.3 of them.
const KILLED: usize = 3;
const DAEMONS: u8 = 3;
const CLIENTS: usize = 60;
/// Time between two requests of a client.
const PACE: Duration = Duration::from_millis(60);
/// Time in which a server works on a request.
const WORK: Duration = Duration::from_millis(60);
/// The client's deadline.
const DEADLINE: Duration = Duration::from_millis(4_000);

/// From the start of traffic: when servers crash, and when the daemons are killed.
const CRASHES_AT: [Duration; 3] =
    [Duration::from_millis(6_000), Duration::from_millis(9_500), Duration::from_millis(13_000)];
const FINAL_FAULT_AT: Duration = Duration::from_secs(18);
/// For how long servers are down.
const SERVERS_DOWN: Duration = Duration::from_secs(1);
/// Three heartbeats, after which the store drops the entry of a silent server.
const SILENCE: Duration = Duration::from_millis(3_600);
/// For how long the daemons are down, and `recovery_s`.
const DOWN: Duration = Duration::from_secs(1);
const RECOVERY: Duration = Duration::from_secs(12);
/// For how long requests count after that.
const JUDGED: Duration = Duration::from_secs(10);

/// A server as a process: `server-process outage ADDRESS ID`.
pub fn serve_process(words: &[String]) {
    let address: SocketAddr = words[0].parse().expect("an address");
    let id = words[1].clone();
    let own = id.clone();
    let answer = move |request: &Message, conn: &mut Conn| {
        let Some(request_id) = request.field("x-request-id") else {
            return conn.answer("400 Bad Request", &[("X-Not-Executed", "1")], b"").is_ok();
        };
        thread::sleep(WORK);
        let seal = format!("{own}.{request_id}");
        let fields = echo(request, &[("X-Response-Seal", &seal), ("Keep-Alive", "timeout=5")]);
        conn.answer("200 OK", &fields, b"the document").is_ok()
    };
    servers::serve(address, &id, Arc::new(answer)).expect("the address is free");
    println!("up");
    std::io::stdout().flush().ok();
    // It ends with the script, at the latest after its time limit.
    thread::sleep(Duration::from_secs(110));
}

struct Server {
    process: Child,
    id: String,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.process.kill().ok();
        self.process.wait().ok();
    }
}

fn start_server(rig: &mut Rig, id: &str) -> Server {
    let address = rig.address();
    let program = std::env::current_exe().unwrap_or_default();
    let mut command = Command::new(program);
    command.args(["server-process", "outage", &address.to_string(), id]).stdout(Stdio::piped());
    let started = end_with_this(&mut command).spawn();
    let mut process = started.unwrap_or_else(|error| crate::rig::give_up(&error.to_string()));
    let output = process.stdout.take().expect("its output is a pipe");
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line).ok();
    rig.register(id, "desk", address, None);
    rig.record.line(&format!("server {id} starts"));
    Server { process, id: id.to_owned() }
}

/// One request of a client, with its retry.
#[derive(Clone)]
struct Asked {
    at: Instant,
    is_served: bool,
    statuses: Vec<String>,
}

/// Asks for the document; comes back once, as told, within the deadline.
fn ask(entries: &[SocketAddr], client: usize, number: usize) -> Asked {
    let at = Instant::now();
    let mut statuses = Vec::new();
    for attempt in 0..2 {
        let left = DEADLINE.saturating_sub(at.elapsed());
        let fields: Vec<(String, String)> = [
            ("Host", "fetch.example".to_owned()),
            ("X-Request-Id", format!("f{client}-{number}-{attempt}")),
            ("X-Request-Deadline-Ms", left.as_millis().to_string()),
            ("Authorization", "Bearer key-of-first".to_owned()),
            ("Connection", "close".to_owned()),
        ]
        .map(|(name, value)| (name.to_owned(), value))
        .into();
        let entry = entries[(client + number + attempt) % entries.len()];
        let seen = net::ask(entry, "GET /fetch/document", &fields, b"", left);
        let field = |name| seen.answer.as_ref().and_then(|answer| answer.field(name));
        let code = field("x-cardamomvalve-code").unwrap_or("-");
        statuses.push(format!("{} code {code}", seen.status()));
        if seen.status() == 200 && seen.is_whole() {
            return Asked { at, is_served: true, statuses };
        }
        let after = field("retry-after").and_then(|after| after.parse::<f64>().ok());
        let left = DEADLINE.saturating_sub(at.elapsed());
        let wait = after.unwrap_or(0.1).min(left.as_secs_f64() / 3.0).max(0.0);
        thread::sleep(Duration::from_secs_f64(wait));
    }
    Asked { at, is_served: false, statuses }
}

/// The store drops the entries of servers that have been silent for long.
fn drop_entries(rig: &Rig, silent: Vec<(Instant, String)>) {
    for (_, id) in silent {
        rig.store.put("keyed.servers", &id, "");
        rig.record.line(&format!("the store drops the entry of server {id}"));
    }
}

pub fn run(record: &Record, trouble: bool) -> Vec<String> {
    let mut rig = Rig::start(record);
    rig.store.put("keyed.op", "config", CONFIG);
    let mut servers: Vec<Server> = Vec::new();
    for number in 0..SERVERS {
        servers.push(start_server(&mut rig, &format!("i-d{number}")));
    }
    rig.start_daemons(DAEMONS);
    rig.wait_until_ready();
    thread::sleep(Duration::from_secs(4));

    let entries: Vec<SocketAddr> = (0..usize::from(DAEMONS)).map(|index| rig.entry(index)).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let asked: Arc<Mutex<Vec<Asked>>> = Arc::default();
    let started = Instant::now();
    let clients = (0..CLIENTS).map(|client| {
        let (entries, stop, asked) = (entries.clone(), Arc::clone(&stop), Arc::clone(&asked));
        thread::spawn(move || {
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let request = ask(&entries, client, number);
                let took = request.at.elapsed();
                asked.lock().unwrap().push(request);
                thread::sleep(PACE.saturating_sub(took));
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    let until = |at: Duration| thread::sleep(at.saturating_sub(started.elapsed()));

    let mut silent: Vec<(Instant, String)> = Vec::new();
    let mut number = SERVERS;
    for crash_at in CRASHES_AT.into_iter().filter(|_| trouble) {
        until(crash_at);
        let mut crashed: Vec<Server> = servers.drain(..KILLED).collect();
        for server in &mut crashed {
            server.process.kill().ok();
        }
        let ids: Vec<String> = crashed.iter().map(|server| server.id.clone()).collect();
        record.line(&format!("{KILLED} of {SERVERS} servers are killed: {}", ids.join(", ")));
        silent.extend(ids.into_iter().map(|id| (Instant::now(), id)));
        drop(crashed);
        until(crash_at + SERVERS_DOWN);
        for _ in 0..KILLED {
            servers.push(start_server(&mut rig, &format!("i-d{number}")));
            number += 1;
        }
        let (gone, left) = silent.into_iter().partition(|(at, _)| at.elapsed() >= SILENCE);
        silent = left;
        drop_entries(&rig, gone);
    }
    thread::sleep(SILENCE.saturating_sub(SERVERS_DOWN));
    drop_entries(&rig, silent);
    until(FINAL_FAULT_AT);
    let fault_at = Instant::now();
    for index in 0..usize::from(DAEMONS) {
        rig.kill(index);
    }
    thread::sleep(DOWN);
    for index in 0..usize::from(DAEMONS) {
        rig.start_daemon(index);
    }
    let back_at = Instant::now();
    thread::sleep(RECOVERY + JUDGED);
    for index in 0..usize::from(DAEMONS) {
        record.line(&format!("daemon {} is ready: {}", index + 1, rig.is_ready(index)));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }

    let asked = asked.lock().unwrap();
    let mut sorted = asked.clone();
    sorted.sort_by_key(|request| request.at);
    let mut ends: BTreeMap<(u64, String), usize> = BTreeMap::new();
    for request in &sorted {
        let half_second = request.at.duration_since(started).as_millis() as u64 / 500;
        *ends.entry((half_second, request.statuses.join(", then "))).or_default() += 1;
    }
    for ((half_second, end), count) in ends {
        let at = half_second as f64 / 2.0;
        record.line(&format!("sent from {at:.1} s of traffic on: {count} requests answered {end}"));
    }
    let share = |from: Instant, to: Instant| {
        let of = sorted.iter().filter(|request| request.at >= from && request.at < to);
        let (count, served) = of.fold((0, 0), |(count, served), request| {
            (count + 1, served + usize::from(request.is_served))
        });
        (served, count)
    };
    let before = share(started, fault_at);
    let after = share(back_at + RECOVERY, back_at + RECOVERY + JUDGED);
    record.line(&format!("served before the final fault: {} of {}", before.0, before.1));
    record.line(&format!(
        "served of those sent later than {} s after the daemons are back: {} of {}",
        RECOVERY.as_secs(),
        after.0,
        after.1
    ));
    if before.0 * 4 < before.1 || after.1 < 50 {
        crate::rig::give_up("too few requests were served before the final fault, or sent after it");
    }
    let is_broken = after.0 * 4 < after.1;
    let broken = is_broken.then(|| {
        format!(
            "{} of {} requests are served later than {} s after the daemons are back, and {} of {} before the final fault",
            after.0,
            after.1,
            RECOVERY.as_secs(),
            before.0,
            before.1
        )
    });
    broken.into_iter().collect()
}
