//! Tests of settings. Each error names the path, the value and the allowed values.

use serde_json::{Value, json};

use super::*;

fn valid() -> Value {
    json!({
        "id": "router-0", "region": "r", "zone": "z",
        "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0", "operators_listen": "127.0.0.1:0",
        "log_service": "127.0.0.1:1", "vm_list": "127.0.0.1:2",
    })
}

#[test]
fn parse_valid() {
    let settings = Settings::parse(valid().to_string().as_bytes()).expect("the settings are valid");
    assert_eq!(settings.limits, Limits::default());
}

#[test]
fn parse_names_path_value_and_allowed() {
    let cases = [
        ("id", json!(""), "id: "),
        ("listen", json!("here"), "listen: "),
        ("threads", json!(0), "threads: 0 is not allowed, give 1 to 64"),
        ("limits", json!({ "idle_ms": 0 }), "limits.idle_ms: 0 is not allowed"),
        ("limits", json!({ "idle": 1 }), "limits.idle: unknown field"),
        ("limits", json!({ "drain_notice_ms": 9, "drain_ms": 8 }), "limits.drain_notice_ms: 9"),
        ("telemetry", json!({ "log_format": "xml" }), "telemetry.log_format: unknown variant"),
        ("extra", json!(1), "extra: unknown field"),
    ];
    for (field, value, expected) in cases {
        let mut settings = valid();
        settings[field] = value;
        let error =
            Settings::parse(settings.to_string().as_bytes()).expect_err("the settings are invalid");
        assert_eq!(error.code, Code::SettingsInvalid);
        assert!(error.detail.starts_with(expected), "{expected}: {}", error.detail);
    }
    assert!(Settings::parse(b"{} {}").is_err());
}

quickcheck::quickcheck! {
    fn parse_any_bytes(bytes: Vec<u8>) -> bool {
        Settings::parse(&bytes).is_err()
    }
}
