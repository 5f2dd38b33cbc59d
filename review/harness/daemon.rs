//! The project's daemon as a process, with the settings of a small deployment.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::{Request, call};

/// The processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started and still run.
pub fn kill_all() {
    let running = std::mem::take(&mut *RUNNING.lock().unwrap_or_else(|lock| lock.into_inner()));
    for id in running {
        Command::new("kill").args(["-KILL", &id.to_string()]).stderr(Stdio::null()).status().ok();
    }
}

/// Bounds of the deployment, as its sheet states them.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub check_fences: bool,
    pub lease_ms: u64,
    pub version_ms: u64,
    pub grace_s: u64,
}

pub struct Daemon {
    pub id: String,
    pub entry: SocketAddr,
    pub ready: SocketAddr,
    program: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The addresses of one daemon: each has an address of its own, with the same ports on all.
fn addresses(index: usize, ports: &[u16]) -> Vec<SocketAddr> {
    ports.iter().map(|port| format!("127.0.1.{}:{port}", index + 1).parse().expect("an address")).collect()
}

/// Ports that are free on all addresses of the daemons.
fn free_ports(daemons: usize) -> Vec<u16> {
    let mut first = 21_000 + (std::process::id() % 4_000) as u16;
    loop {
        let ports: Vec<u16> = (first..first + 5).collect();
        let is_free = (0..daemons)
            .flat_map(|index| addresses(index, &ports))
            .all(|address| TcpListener::bind(address).is_ok());
        if is_free {
            return ports;
        }
        first += 5;
    }
}

/// Prepares daemons; none runs yet.
pub fn prepare(program: &str, folder: &Path, zones: &[&str], store: SocketAddr, bounds: Bounds) -> Vec<Daemon> {
    std::fs::create_dir_all(folder).expect("the temporary folder can be created");
    let ports = free_ports(zones.len());
    let seeds: Vec<String> = (0..zones.len().min(3)).map(|i| format!("\"{}\"", addresses(i, &ports)[2])).collect();
    let prepare = |(index, zone): (usize, &&str)| {
        let at = addresses(index, &ports);
        let id = format!("edge-{zone}-{}", index + 1);
        let settings = format!(
            r#"{{"id":"{id}","region":"region-1","zone":"{zone}","listen":"{}","ready_listen":"{}",
"metrics_listen":"{}","peer_listen":"{}","handover_listen":"{}","peer_seeds":[{}],"store":"{store}",
"vm":{{"cores":0.25}},"stop":{{"grace_ms":{},"notice_ms":2500}},
"retries":{{"ratio":0.2,"window_ms":10000,"slack":54}},
"engines":{{"check_fences":{},"lease_ms":{},"weights_limit_ms":{}}},
"load":{{"all_kv_stores":true}},"telemetry":{{"log_format":"json","log_level":"info"}}}}"#,
            at[0], at[1], at[4], at[2], at[3], seeds.join(","), bounds.grace_s * 1_000,
            bounds.check_fences, bounds.lease_ms, bounds.version_ms,
        );
        let file = folder.join(format!("{id}.json"));
        std::fs::write(&file, settings).expect("the settings can be written");
        let log = folder.join(format!("{id}.log"));
        File::create(&log).expect("the log can be created");
        Daemon { id, entry: at[0], ready: at[1], program: program.to_owned(), settings: file, log, child: None }
    };
    zones.iter().enumerate().map(prepare).collect()
}

impl Daemon {
    pub fn start(&mut self) {
        let log = File::options().append(true).open(&self.log).expect("the log can be opened");
        let errors = log.try_clone().expect("a file can be cloned");
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the daemon starts");
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().expect("the daemon was started").id()
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// Resident memory in KiB.
    pub fn memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse().ok()).unwrap_or(0)
    }

    pub fn is_ready(&self) -> bool {
        let mut request = Request::new("GET", "/ready", "ready", "", 1_000);
        request.fields.retain(|(name, _)| name == "Host");
        call(self.ready, &request, Duration::from_secs(1)).is_some_and(|answer| answer.status == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}
