//! Metrics recorded with OpenTelemetry and exported as Prometheus text.

use std::sync::{Mutex, PoisonError};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::prelude::*;

/// Upper bounds of the time-to-first-token buckets, in seconds.
const TTFT_BOUNDS: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.37, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0];

/// One value of the daemon's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gauge {
    /// Value of the label `name`.
    pub name: &'static str,
    /// Names and values of more labels, such as the pool or server.
    pub labels: Vec<(&'static str, String)>,
    /// The current value.
    pub value: u64,
}

impl Gauge {
    /// Creates a gauge of the whole daemon.
    pub fn new(name: &'static str, value: u64) -> Self {
        Self { name, labels: Vec::new(), value }
    }

    /// Creates a gauge of one pool, server, peer or similar.
    ///
    /// ```
    /// use cardamomvalve::telemetry::metrics::Gauge;
    /// let gauge = Gauge::labeled("running", "server", "s-1", 3);
    /// assert_eq!(gauge.labels, [("server", "s-1".to_owned())]);
    /// ```
    pub fn labeled(
        name: &'static str,
        label: &'static str,
        label_value: impl Into<String>,
        value: u64,
    ) -> Self {
        Self { name, labels: vec![(label, label_value.into())], value }
    }

    /// Adds a label.
    #[must_use]
    pub fn and(mut self, label: &'static str, label_value: impl Into<String>) -> Self {
        self.labels.push((label, label_value.into()));
        self
    }

    fn attributes(&self) -> Vec<KeyValue> {
        let name = KeyValue::new("name", self.name);
        let labels = self.labels.iter().map(|(key, value)| KeyValue::new(*key, value.clone()));
        std::iter::once(name).chain(labels).collect()
    }
}

/// The instruments of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    answers: Counter<u64>,
    judgements: Counter<u64>,
    first_token: Histogram<f64>,
    /// Values of the daemon's state for the next export.
    gauges: Arc<Mutex<Vec<Gauge>>>,
}

impl Metrics {
    /// Creates the instruments and their registry.
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
        let judgements = meter
            .u64_counter("cardamomvalve_unusual_answers")
            .with_description("Answers of backend servers other than plain ones, by judgement")
            .build();
        let first_token = meter
            .f64_histogram("cardamomvalve_time_to_first_token_seconds")
            .with_description("Time from a request's arrival to its first token")
            .with_boundaries(TTFT_BOUNDS.to_vec())
            .build();
        let gauges: Arc<Mutex<Vec<Gauge>>> = Arc::default();
        let observed = Arc::clone(&gauges);
        // Observing the values at each export drops those of removed servers, pools and peers.
        meter
            .u64_observable_gauge("cardamomvalve_state")
            .with_description("The daemon's state, by name")
            .with_callback(move |observer| {
                for gauge in observed.lock().unwrap_or_else(PoisonError::into_inner).iter() {
                    observer.observe(gauge.value, &gauge.attributes());
                }
            })
            .build();
        Ok(Self { registry, _provider: provider, answers, judgements, first_token, gauges })
    }

    /// Counts an answer. `code` is 0 for an answer of the backend server itself.
    pub fn count_answer(&self, workspace: &str, target: &str, code: u16) {
        self.answers.add(
            1,
            &[
                KeyValue::new("workspace", workspace.to_owned()),
                KeyValue::new("target", target.to_owned()),
                KeyValue::new("code", i64::from(code)),
            ],
        );
    }

    /// Counts an answer of a backend server that refuses a request, or is no valid answer to it.
    pub fn count_judgement(&self, judgement: &'static str) {
        self.judgements.add(1, &[KeyValue::new("judgement", judgement)]);
    }

    /// Records the time from a request's arrival to its first token; `target` is its model or route.
    pub fn record_first_token(&self, target: &str, priority: impl Into<String>, time: Duration) {
        let labels = [
            KeyValue::new("target", target.to_owned()),
            KeyValue::new("priority", priority.into()),
        ];
        self.first_token.record(time.as_secs_f64(), &labels);
    }

    /// Returns the metrics as Prometheus text, with `gauges` as the daemon's state.
    pub fn render(&self, gauges: Vec<Gauge>) -> String {
        *self.gauges.lock().unwrap_or_else(PoisonError::into_inner) = gauges;
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
