//! A server's process is killed in the middle of an answer that has no length.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::net::{self, Conn, Message};
use crate::record::Record;
use crate::rig::{Rig, end_with_this};
use crate::servers::{self, echo};

const CONFIG: &str = "{\"version\":3,\"routes\":[{\"name\":\"fetch\",\"host\":\"fetch.example\",\
    \"path_prefix\":\"/fetch/\",\"kind\":\"idempotent\",\"timeout_ms\":4000,\
    \"target_latency_ms\":150,\"priority\":2,\"service\":\"desk\",\"attempts\":2,\"public\":true}],\
    \"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":100}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
    \"idle_timeout_ms\":15000}}";

/// Servers that are killed, one in each round.
const ROUNDS: usize = 4;
/// The whole body, of which each half is sent at once.
const HALF: &str = "0123456789abcdef";
const REPEATS: usize = 25;

fn whole() -> String {
    HALF.repeat(2 * REPEATS)
}

/// A server as a process: `server-process cut ADDRESS ID`. It tells on its output which request it works on.
pub fn serve_process(words: &[String]) {
    let address: SocketAddr = words[0].parse().expect("an address");
    let id = words[1].clone();
    let seal_id = id.clone();
    let answer = move |request: &Message, conn: &mut Conn| {
        let request_id = request.field("x-request-id").unwrap_or_default();
        let seal = format!("{seal_id}.{request_id}");
        let mut head = "HTTP/1.1 200 OK\r\nConnection: close\r\n".to_owned();
        for (name, value) in echo(request, &[("X-Response-Seal", &seal)]) {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        head.push_str(&HALF.repeat(REPEATS));
        conn.stream.write_all(head.as_bytes()).ok();
        println!("half {request_id}");
        std::io::stdout().flush().ok();
        thread::sleep(Duration::from_millis(300));
        conn.stream.write_all(HALF.repeat(REPEATS).as_bytes()).ok();
        // The end of the connection is the end of the answer.
        false
    };
    servers::serve(address, &id, Arc::new(answer)).expect("the address is free");
    println!("up");
    std::io::stdout().flush().ok();
    // It ends with the script, at the latest after its time limit.
    thread::sleep(Duration::from_secs(100));
}

fn start_process(address: SocketAddr, id: &str) -> (Child, BufReader<std::process::ChildStdout>) {
    let program = std::env::current_exe().unwrap_or_default();
    let mut command = Command::new(program);
    command.args(["server-process", "cut", &address.to_string(), id]).stdout(Stdio::piped());
    let started = end_with_this(&mut command).spawn();
    let mut process = started.unwrap_or_else(|error| crate::rig::give_up(&error.to_string()));
    let mut output = BufReader::new(process.stdout.take().expect("its output is a pipe"));
    let mut line = String::new();
    output.read_line(&mut line).ok();
    (process, output)
}

pub fn run(record: &Record, trouble: bool) -> Vec<String> {
    let mut rig = Rig::start(record);
    rig.store.put("keyed.op", "config", CONFIG);
    rig.start_daemons(2);
    rig.wait_until_ready();
    thread::sleep(Duration::from_secs(1));
    let mut broken = Vec::new();
    let mut wholes = 0;
    for round in 0..ROUNDS {
        let id = format!("i-d{round}");
        let address = rig.address();
        let (mut process, mut output) = start_process(address, &id);
        rig.register(&id, "desk", address, None);
        thread::sleep(Duration::from_millis(1_500));
        let entry = rig.entry(round % 2);
        let request_id = format!("f{round}");
        let fields: Vec<(String, String)> = [
            ("Host", "fetch.example"),
            ("X-Request-Id", &request_id),
            ("X-Request-Deadline-Ms", "2500"),
            ("Connection", "close"),
        ]
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .into();
        let client = thread::spawn(move || {
            net::ask(entry, "GET /fetch/1", &fields, b"", Duration::from_secs(5))
        });
        let mut line = String::new();
        output.read_line(&mut line).ok();
        record.line(&format!("server {id}: {}", line.trim()));
        if trouble {
            thread::sleep(Duration::from_millis(50));
            process.kill().ok();
            process.wait().ok();
            record.line(&format!("server {id} is killed"));
        }
        let seen = client.join().unwrap_or_else(|_| crate::rig::give_up("a client failed"));
        process.kill().ok();
        process.wait().ok();
        // Its registration ends after three heartbeats.
        thread::sleep(Duration::from_millis(3_600));
        rig.store.put("keyed.servers", &id, "");
        let body = seen.answer.as_ref().map_or(0, |answer| answer.body.len());
        record.line(&format!(
            "client of {request_id}: status {}, {body} of {} bytes, whole by its framing: {}",
            seen.status(),
            whole().len(),
            seen.is_whole()
        ));
        wholes += usize::from(body == whole().len());
        if seen.status() == 200 && seen.is_whole() && body != whole().len() {
            broken.push(format!("{request_id}: 200 with {body} of {} bytes", whole().len()));
        }
    }
    if !trouble && wholes < ROUNDS {
        crate::rig::give_up(&format!("only {wholes} answers of {ROUNDS} were whole"));
    }
    broken
}
