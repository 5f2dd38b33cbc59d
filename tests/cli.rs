//! The two programs from the command line: answers to misuse, checks, tables.

use std::process::{Command, Output};

fn client(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cardamomvalve")).args(args).output().expect("it runs")
}

fn daemon(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cardamomvalved")).args(args).output().expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A file of this test's own, removed when dropped.
struct File(std::path::PathBuf);

impl File {
    fn new(contents: &str) -> Self {
        let name = format!("cardamomvalve-cli-{:x}.json", fastrand::u64(..));
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, contents).expect("it is written");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("the path is text")
    }
}

impl Drop for File {
    fn drop(&mut self) {
        std::fs::remove_file(&self.0).ok();
    }
}

const SETTINGS: &str = r#"{
    "id": "router-0", "region": "r", "zone": "z",
    "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0", "operators_listen": "127.0.0.1:0",
    "log_service": "127.0.0.1:1", "vm_list": "127.0.0.1:1"
}"#;

#[test]
fn misuse_is_one_clear_line() {
    let broken = File::new("{\"format\": 1, \"pools\": 7}");
    let foreign = File::new(&SETTINGS.replace("127.0.0.1:0", "192.0.2.1:1"));
    let manifest = File::new("{\"format\":1,\"pools\":{},\"workspaces\":{}}");
    let cases: Vec<(Output, i32, &str)> = vec![
        (client(&["check", "/nowhere"]), 9, "CV4008"),
        (client(&["check", broken.path()]), 4, "CV4003"),
        (client(&["publish", manifest.path(), "--log-service", "127.0.0.1:1"]), 6, "CV4005"),
        (client(&["status", "--daemon", "127.0.0.1:1"]), 7, "CV4006"),
        (client(&["status"]), 2, "--daemon"),
        (client(&["unknown"]), 2, "unrecognized"),
        (daemon(&["--settings", "/nowhere"]), 9, "CV4008"),
        (daemon(&["--settings", broken.path()]), 3, "CV4002"),
        (daemon(&["--settings", foreign.path()]), 8, "CV4007"),
        (daemon(&[]), 2, "--settings"),
    ];
    for (output, code, expected) in cases {
        let complaint = text(&output.stderr);
        assert_eq!(output.status.code(), Some(code), "{expected}: {complaint}");
        assert!(complaint.contains(expected), "{expected}: {complaint}");
        assert!(!complaint.contains("panicked") && !complaint.contains("RUST_BACKTRACE"));
    }
}

#[test]
fn check_prints_every_fault() {
    let broken = File::new(
        r#"{"format": 2, "pools": {"p": {"max_in_flight": 0, "max_waiting": 1}}, "workspaces": {}, "x": 1}"#,
    );
    let complaint = text(&client(&["check", broken.path()]).stderr);
    for path in ["format", "pools.p.max_in_flight", "x"] {
        assert!(complaint.contains(&format!("\n  {path}: ")), "{path}: {complaint}");
    }
    let json = text(&client(&["check", broken.path(), "--json"]).stderr);
    assert!(json.contains("\"path\":\"pools.p.max_in_flight\""), "{json}");
}

#[test]
fn daemon_check_only_checks() {
    let sound = File::new(SETTINGS);
    let output = daemon(&["--settings", sound.path(), "--check"]);
    assert!(output.status.success());
    assert!(output.stdout.is_empty(), "it did not start");
}

#[test]
fn client_prints_schemas_tables_and_completions() {
    for args in
        [["schema", "settings"], ["schema", "manifest"], ["codes", "--json"], ["events", "--json"]]
    {
        let output = client(&args);
        let value: Result<serde_json::Value, _> = serde_json::from_slice(&output.stdout);
        assert!(output.status.success() && value.is_ok(), "{args:?}");
    }
    let schema = text(&client(&["schema", "settings"]).stdout);
    assert!(schema.contains("\"log_service\"") && schema.contains("Milliseconds"));
    for shell in ["bash", "zsh", "fish"] {
        assert!(text(&client(&["completions", shell]).stdout).contains("cardamomvalve"));
    }
}
