//! A fleet of real processes on loopback, and calls to it.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use async_io::block_on;
use cardamomvalve::http::client::{self, Limits};
use cardamomvalve::manifest::sha256_hex;
use http_types::Method;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// The bearer key of the workspace `lab`.
pub const LAB: &str = "lab-key";
/// The bearer key of the workspace `court`.
pub const COURT: &str = "court-key";
/// Longest wait for a condition.
const PATIENCE: Duration = Duration::from_secs(60);
const LIMITS: Limits = Limits {
    connect_timeout: Duration::from_secs(5),
    head_timeout: Duration::from_secs(60),
    idle_timeout: Duration::from_secs(60),
    max_body_bytes: 64 << 20,
};
const ZONES: [&str; 3] = ["catania", "palermo", "siracusa"];

/// Waits until `condition` holds.
pub fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < end, "{what} did not come about");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A program that this test started; killed when dropped.
pub struct Process {
    child: Child,
    pub ready: BTreeMap<String, SocketAddr>,
}

impl Process {
    pub fn start(name: &str, args: &[&str]) -> Self {
        let mut child = Command::new(program(name))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let mut line = String::new();
        let stdout = child.stdout.as_mut().expect("standard output is piped");
        BufReader::new(stdout).read_line(&mut line).expect("a ready line is printed");
        assert!(line.contains(" ready "), "{name} printed {line:?}");
        let fields = line.split_whitespace().filter_map(|word| word.split_once('='));
        let ready = fields
            .filter_map(|(name, address)| Some((name.to_owned(), address.parse().ok()?)))
            .collect();
        Self { child, ready }
    }

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn address(&self) -> SocketAddr {
        self.ready["address"]
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process is there");
    }

    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Waits for a planned stop to end; true where it ended well.
    pub fn wait(&mut self) -> bool {
        self.child.wait().is_ok_and(|status| status.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The path of a program of this workspace; all are built before tests run.
pub fn program(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_standin-log")).with_file_name(name)
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// The router's own code, 0 where the answer is a backend server's.
    pub fn code(&self) -> u16 {
        self.header("x-cardamomvalve-code").parse().unwrap_or(0)
    }

    pub fn execution(&self) -> &str {
        self.header("x-cardamomvalve-execution")
    }

    /// The data of each event of a stream.
    pub fn events(&self) -> Vec<&str> {
        self.body.lines().filter_map(|line| line.strip_prefix("data: ")).collect()
    }

    /// The text of a streamed or whole text completion.
    pub fn text(&self) -> String {
        let chunk_text = |chunk: &Value| chunk["choices"][0]["text"].as_str().map(str::to_owned);
        if let Some(text) = chunk_text(&self.json()) {
            return text;
        }
        let chunks = self.events().into_iter().filter_map(|data| serde_json::from_str(data).ok());
        chunks.filter_map(|chunk: Value| chunk_text(&chunk)).collect()
    }
}

/// Sends one request; `Err` where no whole answer came.
pub fn call(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Answer, String> {
    let mut request = client::request(method, address, path).map_err(|error| error.message())?;
    if !body.is_empty() {
        request.set_body(body);
    }
    for (name, value) in headers {
        request.insert_header(*name, *value);
    }
    block_on(async {
        let answer = client::send(address, request, LIMITS).await.map_err(|f| f.reason)?;
        let (head, body) = answer.read_whole(None).await.map_err(|failure| failure.reason)?;
        let headers =
            head.iter().map(|(name, values)| (name.to_string(), values.last().to_string()));
        Ok(Answer {
            status: head.status().into(),
            headers: headers.collect(),
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    })
}

pub fn put(address: SocketAddr, path: &str, body: &Value) {
    let answer = call(Method::Put, address, path, &[], &body.to_string()).expect("it answers");
    assert_eq!(answer.status, 204, "{path}: {}", answer.body);
}

/// What a fleet is made of.
pub struct Plan {
    pub engines: usize,
    pub services: usize,
    pub daemons: usize,
    pub retention_s: u64,
    pub engine_args: Vec<&'static str>,
    pub service_args: Vec<&'static str>,
    pub settings: Value,
    pub telemetry: Value,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            engines: 2,
            services: 1,
            daemons: 2,
            retention_s: 604_800,
            engine_args: Vec::new(),
            service_args: Vec::new(),
            settings: json!({ "drain_notice_ms": 100 }),
            telemetry: json!({}),
        }
    }
}

pub struct Fleet {
    pub log: Process,
    pub vms: Process,
    pub engines: Vec<Process>,
    pub services: Vec<Process>,
    pub daemons: Vec<Process>,
    pub plan: Plan,
    pub list: Vec<Value>,
    dir: PathBuf,
}

impl Fleet {
    /// Starts all processes, publishes the manifest, and waits until every daemon is ready and
    /// sees every server.
    pub fn start(plan: Plan) -> Self {
        let dir = std::env::temp_dir().join(format!("cardamomvalve-test-{:x}", fastrand::u64(..)));
        std::fs::create_dir_all(&dir).expect("a directory for settings");
        let retention = plan.retention_s.to_string();
        let mut fleet = Self {
            log: Process::start("standin-log", &["--retention-s", &retention]),
            vms: Process::start("standin-vms", &[]),
            engines: Vec::new(),
            services: Vec::new(),
            daemons: Vec::new(),
            plan,
            list: Vec::new(),
            dir,
        };
        for index in 0..fleet.plan.engines {
            let engine = fleet.new_engine();
            fleet.list_vm(
                &format!("engine-{index}"),
                "model-server",
                "model",
                engine.address(),
                index,
            );
            fleet.engines.push(engine);
        }
        for index in 0..fleet.plan.services {
            let service = fleet.new_service();
            let address = service.address();
            fleet.list_vm(
                &format!("service-{index}"),
                "service-server",
                "client-service",
                address,
                index,
            );
            fleet.services.push(service);
        }
        for index in 0..fleet.plan.daemons {
            let daemon = fleet.new_daemon(index);
            fleet.list_vm(&format!("router-{index}"), "router", "", daemon.ready["peer"], index);
            fleet.daemons.push(daemon);
        }
        fleet.put_list();
        fleet.publish(&manifest()).expect("the manifest is published");
        fleet.settle();
        fleet
    }

    pub fn new_engine(&self) -> Process {
        let mut args = vec!["--weights", "dga=v1", "--weights", "fees=v1"];
        args.extend(&self.plan.engine_args);
        Process::start("standin-engine", &args)
    }

    pub fn new_service(&self) -> Process {
        Process::start("standin-service", &self.plan.service_args)
    }

    pub fn new_daemon(&self, index: usize) -> Process {
        let path = self.dir.join(format!("router-{index}.json"));
        std::fs::write(&path, self.settings(index).to_string()).expect("the settings are written");
        let path = path.to_str().expect("the path is text").to_owned();
        Process::start("cardamomvalved", &["--settings", &path])
    }

    pub fn settings(&self, index: usize) -> Value {
        json!({
            "id": format!("router-{index}"),
            "region": "sicily",
            "zone": ZONES[index % ZONES.len()],
            "listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "operators_listen": "127.0.0.1:0",
            "log_service": self.log.address().to_string(),
            "vm_list": self.vms.address().to_string(),
            "limits": self.plan.settings,
            "telemetry": self.plan.telemetry,
        })
    }

    pub fn list_vm(&mut self, id: &str, role: &str, pool: &str, address: SocketAddr, index: usize) {
        self.list.retain(|vm| vm["id"] != id);
        self.list.push(json!({
            "id": id,
            "role": role,
            "pool": pool,
            "address": address.to_string(),
            "region": "sicily",
            "zone": ZONES[index % ZONES.len()],
            "standing": "live",
        }));
    }

    pub fn put_list(&self) {
        put(self.vms.address(), "/vms", &json!({ "vms": self.list }));
    }

    /// Starts a daemon again in the place of one that was killed.
    pub fn restart_daemon(&mut self, index: usize) {
        self.daemons[index] = self.new_daemon(index);
        let address = self.daemons[index].ready["peer"];
        self.list_vm(&format!("router-{index}"), "router", "", address, index);
        self.put_list();
    }

    /// Publishes with the operators' client; its output, or its exit code and complaint.
    pub fn publish(&self, manifest: &Value) -> Result<String, (i32, String)> {
        let path = self.dir.join(format!("manifest-{:x}.json", fastrand::u64(..)));
        std::fs::write(&path, manifest.to_string()).expect("the manifest is written");
        let output = Command::new(program("cardamomvalve"))
            .arg("publish")
            .arg(&path)
            .args(["--log-service", &self.log.address().to_string()])
            .output()
            .expect("the client runs");
        if output.status.success() {
            return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
        }
        let complaint = String::from_utf8_lossy(&output.stderr).into_owned();
        Err((output.status.code().unwrap_or(-1), complaint))
    }

    pub fn status(&self, index: usize) -> Value {
        let address = self.daemons[index].ready["operators"];
        let answer = call(Method::Get, address, "/status", &[], "");
        answer.map(|answer| answer.json()).unwrap_or_default()
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let address = self.daemons[index].ready["operators"];
        call(Method::Get, address, "/readyz", &[], "").is_ok_and(|answer| answer.status == 200)
    }

    pub fn sees_all(&self, index: usize) -> bool {
        let status = self.status(index);
        let servers = status["servers"].as_array().cloned().unwrap_or_default();
        let peers = status["peers"].as_array().map_or(0, Vec::len);
        servers.len() == self.engines.len() + self.services.len()
            && servers.iter().all(|server| server["usable"] == true)
            && peers + 1 == self.daemons.len()
            && status["ledger_known"] == true
    }

    pub fn settle(&self) {
        for index in 0..self.daemons.len() {
            until("readiness", || self.is_ready(index));
            until("the view of all servers", || self.sees_all(index));
        }
    }

    pub fn entry(&self, index: usize) -> SocketAddr {
        self.daemons[index].ready["entry"]
    }

    /// Asks a daemon for a text completion.
    pub fn complete(
        &self,
        index: usize,
        prompt: &str,
        tokens: u64,
        stream: bool,
    ) -> Result<Answer, String> {
        let body =
            json!({ "model": "dga", "prompt": prompt, "max_tokens": tokens, "stream": stream });
        let key = format!("Bearer {LAB}");
        let headers = [("authorization", key.as_str())];
        call(Method::Post, self.entry(index), "/v1/completions", &headers, &body.to_string())
    }

    /// Asks a daemon for a payment.
    pub fn pay(&self, index: usize, key: Option<&str>, body: &str) -> Result<Answer, String> {
        let bearer = format!("Bearer {LAB}");
        let mut headers = vec![("authorization", bearer.as_str())];
        headers.extend(key.map(|key| ("idempotency-key", key)));
        call(Method::Post, self.entry(index), "/services/pay/payments", &headers, body)
    }

    /// How often each payment ran, over all services.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        let mut runs = BTreeMap::new();
        for service in &self.services {
            let answer =
                call(Method::Get, service.address(), "/runs", &[], "").expect("it answers");
            let counts: BTreeMap<String, u64> =
                serde_json::from_str(&answer.body).unwrap_or_default();
            for (run, count) in counts {
                *runs.entry(run).or_default() += count;
            }
        }
        runs
    }

    /// How often the payment with this body ran.
    pub fn runs_of(&self, body: &str) -> u64 {
        let suffix = format!(" {body}");
        self.runs().iter().filter(|(run, _)| run.ends_with(&suffix)).map(|(_, n)| n).sum()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.dir).ok();
    }
}

/// The manifest that fleets start with.
pub fn manifest() -> Value {
    json!({
        "format": 1,
        "pools": {
            "model": { "max_in_flight": 16, "max_waiting": 1000 },
            "client-service": { "max_in_flight": 16, "max_waiting": 1000 },
        },
        "models": {
            "dga": {
                "pool": "model", "weights": "v1", "objective": "wasted-recomputation",
                "default_deadline_ms": 30_000,
            },
            "fees": {
                "pool": "model", "weights": "v1", "objective": "time-to-first-token",
                "default_deadline_ms": 30_000,
            },
        },
        "services": {
            "pay": { "pool": "client-service", "default_deadline_ms": 30_000 },
            "samples": {
                "pool": "client-service", "idempotent_methods": ["GET"],
                "default_deadline_ms": 30_000,
            },
            "receipts": {
                "pool": "client-service", "deduplicates": true, "default_deadline_ms": 30_000,
            },
        },
        "workspaces": {
            "lab": {
                "keys_sha256": [sha256_hex(LAB.as_bytes())], "share": 1, "models": ["dga"],
                "services": ["pay", "samples", "receipts"],
                "default_priority": "normal", "highest_priority": "urgent",
            },
            "court": {
                "keys_sha256": [sha256_hex(COURT.as_bytes())], "share": 1, "models": ["fees"],
                "services": [], "default_priority": "normal", "highest_priority": "normal",
            },
        },
    })
}

/// Reads all that a raw connection answers to `bytes`.
pub fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    use std::io::Write;
    let mut stream = std::net::TcpStream::connect(address).expect("it accepts");
    stream.set_read_timeout(Some(PATIENCE)).expect("a read timeout is set");
    stream.write_all(bytes).expect("it reads");
    stream.shutdown(std::net::Shutdown::Write).ok();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok();
    String::from_utf8_lossy(&answer).into_owned()
}
