//! Metrics through OpenTelemetry, shown as Prometheus text.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::control::Status;
use crate::prelude::*;

/// Upper bounds of the time-to-first-token buckets, in seconds.
const TTFT_BOUNDS: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.37, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0];

/// The instruments of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    answers: Counter<u64>,
    first_token: Histogram<f64>,
    state: Gauge<u64>,
}

impl Metrics {
    /// Makes the instruments.
    pub fn new() -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| error.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("cardamomvalve");
        let answers = meter
            .u64_counter("cardamomvalve_answers")
            .with_description("Answers by workspace, target and code; code 0 is the server's own")
            .build();
        let first_token = meter
            .f64_histogram("cardamomvalve_time_to_first_token_seconds")
            .with_description("Time from a request's arrival to its first token")
            .with_boundaries(TTFT_BOUNDS.to_vec())
            .build();
        let state = meter
            .u64_gauge("cardamomvalve_state")
            .with_description("The daemon's state, by name")
            .build();
        Ok(Self { registry, _provider: provider, answers, first_token, state })
    }

    /// Counts an answer; `code` is 0 where it is the backend server's own.
    pub fn answered(&self, workspace: &str, target: &str, code: u16) {
        self.answers.add(
            1,
            &[
                KeyValue::new("workspace", workspace.to_owned()),
                KeyValue::new("target", target.to_owned()),
                KeyValue::new("code", i64::from(code)),
            ],
        );
    }

    /// Notes the time from a request's arrival to its first token.
    pub fn first_token(&self, model: &str, priority: &'static str, time: Duration) {
        let labels =
            [KeyValue::new("model", model.to_owned()), KeyValue::new("priority", priority)];
        self.first_token.record(time.as_secs_f64(), &labels);
    }

    /// The metrics as Prometheus text.
    pub fn text(&self, status: &Status) -> String {
        let usable = status.servers.iter().filter(|server| server.usable).count() as u64;
        let waiting: usize = status.waiting.values().sum();
        let values = [
            ("ready", u64::from(status.ready)),
            ("generation", status.generation),
            ("log_up", u64::from(status.log_up)),
            ("vm_list_up", u64::from(status.vm_list_up)),
            ("servers", status.servers.len() as u64),
            ("servers_usable", usable),
            ("peers", status.peers.len() as u64),
            ("waiting", waiting as u64),
            ("open", status.open as u64),
            ("arrived", status.counts.arrived),
            ("finished", status.counts.finished),
            ("refused", status.counts.refused),
            ("retried", status.counts.retried),
            ("prompt_tokens", status.counts.prompt_tokens),
            ("cached_tokens", status.counts.cached_tokens),
            ("ledger_keys", status.ledger_keys as u64),
            ("residency_entries", status.residency_entries as u64),
            ("unreadable_records", status.counts.unreadable_records),
        ];
        for (name, value) in values {
            self.state.record(value, &[KeyValue::new("name", name)]);
        }
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
