//! A small deployment on loopback addresses: the store, and daemons as processes with the commands of the deploy file.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::net;
use crate::record::Record;
use crate::store::Store;

const ENTRY: u16 = 8782;
const READY: u16 = 8789;
const CONTROL: u16 = 8783;
const STORE: u16 = 8784;

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

/// Has the kernel kill the process that `command` starts once this program has ended, however it ends.
pub fn end_with_this(command: &mut Command) -> &mut Command {
    const SET_PARENT_DEATH_SIGNAL: i32 = 1;
    const KILL: u64 = 9;
    // Sound: a system call between fork and exec that touches no memory.
    unsafe {
        command.pre_exec(|| {
            prctl(SET_PARENT_DEATH_SIGNAL, KILL);
            Ok(())
        })
    }
}

/// Ends a case that can't run.
pub fn give_up(reason: &str) -> ! {
    eprintln!("the case can't run: {reason}");
    std::process::exit(2);
}

/// The deployment. Its processes end with it.
pub struct Rig {
    pub store: Store,
    pub record: Record,
    net: [u8; 2],
    folder: PathBuf,
    daemons: Vec<Daemon>,
    next_host: u8,
    /// Whether the servers check fencing tokens, as the daemons are told.
    pub fenced: bool,
}

struct Daemon {
    name: String,
    ip: Ipv4Addr,
    process: Option<Child>,
}

impl Rig {
    /// Starts the store at a free loopback network.
    pub fn start(record: &Record) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|error| give_up(&error.to_string()));
        let first = (std::process::id() % 200) as u8 + 20;
        for net in (0..100).map(|step| [77_u8, first.wrapping_add(step).max(1)]) {
            let ip = Ipv4Addr::new(127, net[0], net[1], 1);
            if let Ok(store) = Store::start(SocketAddr::new(IpAddr::V4(ip), STORE)) {
                let record = record.clone();
                let (daemons, next_host) = (Vec::new(), 10);
                return Self { store, record, net, folder, daemons, next_host, fenced: true };
            }
        }
        give_up("no loopback address is free")
    }

    fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], host)
    }

    /// A free address for a server.
    pub fn address(&mut self) -> SocketAddr {
        loop {
            self.next_host += 1;
            let address = SocketAddr::new(IpAddr::V4(self.ip(self.next_host)), 8080);
            if TcpListener::bind(address).is_ok() {
                return address;
            }
            if self.next_host > 240 {
                give_up("no address is free for a server");
            }
        }
    }

    /// Starts daemons with the settings of the deploy file's template.
    pub fn start_daemons(&mut self, count: u8) {
        for number in 1..=count {
            let ip = self.ip(1 + number);
            self.daemons.push(Daemon { name: format!("edge-a-{number}"), ip, process: None });
        }
        for index in 0..self.daemons.len() {
            self.start_daemon(index);
        }
    }

    pub fn start_daemon(&mut self, index: usize) {
        let daemon = &self.daemons[index];
        let process = self.spawn(&daemon.name, daemon.ip);
        self.record.line(&format!("daemon {} starts", self.daemons[index].name));
        self.daemons[index].process = Some(process);
    }

    /// Starts daemons on machines of their own, waits until they have registered, and removes them for good.
    pub fn start_and_remove(&mut self, first: usize, count: usize) {
        let machines = (first..first + count).map(|number| {
            let ip = Ipv4Addr::new(127, self.net[0] + 1, (number / 200) as u8, (number % 200) as u8 + 2);
            let name = format!("edge-old-{number}");
            let process = self.spawn(&name, ip);
            (name, process)
        });
        let machines: Vec<(String, Child)> = machines.collect();
        let until = Instant::now() + Duration::from_secs(10);
        while !machines.iter().all(|(name, _)| self.store.has("keyed.routers", name)) {
            if Instant::now() > until {
                give_up("a daemon doesn't register");
            }
            thread::sleep(Duration::from_millis(5));
        }
        for (name, mut process) in machines {
            process.kill().ok();
            process.wait().ok();
            fs::remove_file(self.folder.join(format!("{name}.json"))).ok();
            fs::remove_file(self.folder.join(format!("{name}.log"))).ok();
        }
    }

    fn spawn(&self, name: &str, ip: Ipv4Addr) -> Child {
        let settings = self.settings(name, ip);
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, settings).unwrap_or_else(|error| give_up(&error.to_string()));
        let log = self.folder.join(format!("{name}.log"));
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.unwrap_or_else(|error| give_up(&error.to_string()));
        let run = run_command();
        let mut words = run.split_whitespace();
        let program = words.next().unwrap_or_default();
        let words = words.map(|word| match word.starts_with("/etc/") {
            true => file.to_string_lossy().into_owned(),
            false => word.to_owned(),
        });
        let mut command = Command::new(program);
        command.args(words).env("CARDAMOMVALVE_BOOT", &file).stdin(Stdio::null());
        let started = end_with_this(command.stdout(log).stderr(Stdio::null())).spawn();
        started.unwrap_or_else(|error| give_up(&format!("{program}: {error}")))
    }

    fn settings(&self, name: &str, ip: Ipv4Addr) -> String {
        let template = fs::read_to_string("deploy/settings.json")
            .unwrap_or_else(|error| give_up(&format!("deploy/settings.json: {error}")));
        let ip = ip.to_string();
        let seeds: Vec<String> =
            self.daemons.iter().take(3).map(|seed| format!("\"{}:{CONTROL}\"", seed.ip)).collect();
        let mut text = template;
        text = section(&text, "seeds", Some(&seeds.join(",")));
        text = section(&text, "bounds.quota_window_s", None);
        for (name, value) in [
            ("node_name", name),
            ("region", "r"),
            ("zone", "a"),
            ("listen.front", &format!("{ip}:{ENTRY}")),
            ("listen.ready", &format!("{ip}:{READY}")),
            ("ip", &ip),
            ("internal_port_range.0", "7340"),
            ("internal_port_range.1", "7355"),
            ("platform.address", &format!("{}:{STORE}", self.ip(1))),
            ("limits.cpu_share", "0.25"),
            ("limits.memory_mb", "110"),
            ("limits.max_fds", "4200"),
            ("bounds.grace_s", "8"),
            ("bounds.retry_budget_ratio", "0.2"),
            ("bounds.budget_window_s", "10"),
            ("bounds.retry_budget_slack", "54"),
            ("bounds.fencing_enforced|json", if self.fenced { "true" } else { "false" }),
            ("bounds.lease_ms", "3000"),
            ("bounds.version_ms", "8000"),
        ] {
            text = text.replace(&format!("{{{{{name}}}}}"), value);
        }
        if text.contains("{{") {
            give_up("the template of the settings has a field that this stand-in doesn't know");
        }
        text
    }

    /// The address at which a daemon serves callers.
    pub fn entry(&self, index: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.daemons[index].ip), ENTRY)
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let address = SocketAddr::new(IpAddr::V4(self.daemons[index].ip), READY);
        net::ask(address, "GET /ready", &[("Host".into(), "r".into())], b"", Duration::from_secs(1))
            .status()
            == 200
    }

    /// Waits until all daemons are ready.
    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        while !(0..self.daemons.len()).all(|index| self.is_ready(index)) {
            if Instant::now() > until {
                give_up("the daemons don't become ready");
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line("all daemons are ready");
    }

    /// Sends a signal, by its name, to a daemon.
    #[allow(dead_code)]
    pub fn signal(&mut self, index: usize, signal: &str) {
        let daemon = &mut self.daemons[index];
        if let Some(process) = &daemon.process {
            self.record.line(&format!("daemon {} gets {signal}", daemon.name));
            let pid = process.id().to_string();
            Command::new("kill").args([format!("-{signal}"), pid]).status().ok();
        }
    }

    /// Kills a daemon.
    #[allow(dead_code)]
    pub fn kill(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        if let Some(mut process) = daemon.process.take() {
            self.record.line(&format!("daemon {} is killed", daemon.name));
            process.kill().ok();
            process.wait().ok();
        }
    }

    /// Whether a daemon has ended by itself.
    #[allow(dead_code)]
    pub fn has_ended(&mut self, index: usize) -> bool {
        let process = self.daemons[index].process.as_mut();
        process.is_some_and(|process| matches!(process.try_wait(), Ok(Some(_))))
    }

    /// The path of a daemon's log.
    #[allow(dead_code)]
    pub fn log(&self, index: usize) -> PathBuf {
        self.folder.join(format!("{}.log", self.daemons[index].name))
    }

    /// Registers a server, as it does itself with each heartbeat.
    pub fn register(&self, id: &str, service: &str, address: SocketAddr, model: Option<&str>) {
        let models = model.map_or(String::new(), |model| {
            format!(
                ",\"stage\":\"unified\",\"models\":[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}]"
            )
        });
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0{models},\"sequence\":1}}"
        );
        self.store.put("keyed.servers", id, &entry);
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            if let Some(process) = &mut daemon.process {
                process.kill().ok();
                process.wait().ok();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

/// The command of the deploy file.
fn run_command() -> String {
    let file = fs::read_to_string(Path::new("deploy/system.toml"));
    let file = file.unwrap_or_else(|error| give_up(&format!("deploy/system.toml: {error}")));
    let line = file.lines().find(|line| line.trim_start().starts_with("run"));
    let command = line.and_then(|line| line.split('"').nth(1));
    command.unwrap_or_else(|| give_up("the deploy file has no command")).to_owned()
}

/// Fills a section of the template in, or removes it.
fn section(text: &str, name: &str, content: Option<&str>) -> String {
    let (begin, end) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
    let Some((before, rest)) = text.split_once(&begin) else { return text.to_owned() };
    let Some((_, after)) = rest.split_once(&end) else { return text.to_owned() };
    format!("{before}{}{after}", content.unwrap_or_default())
}
