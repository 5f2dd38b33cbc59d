//! Traces: a span for each hop of a request, sent as OTLP over HTTP.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use http_types::Method;
use opentelemetry::global;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{TraceContextExt, Tracer};
use opentelemetry::{Context, KeyValue};
use opentelemetry_http::{HttpClient, HttpError, Request, Response};
use opentelemetry_otlp::{SpanExporter, WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::SdkTracerProvider;

use crate::attempt::Dispatch;
use crate::http::{client, header};
use crate::prelude::*;

const SCOPE: &str = "cardamomvalve";
const LIMITS: client::Limits = client::Limits {
    connect_timeout: Duration::from_millis(500),
    head_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(2),
    max_body_bytes: 1 << 20,
};

/// Sends exported spans to a collector.
#[derive(Debug)]
struct Collector {
    address: SocketAddr,
}

#[async_trait]
impl HttpClient for Collector {
    async fn send_bytes(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let path = request.uri().path().to_owned();
        let mut sent = client::request(Method::Post, self.address, &path)?;
        for (name, value) in request.headers() {
            sent.insert_header(name.as_str(), value.to_str()?);
        }
        sent.set_body(request.body().to_vec());
        let answer = client::send(self.address, sent, LIMITS).await.map_err(|f| f.reason)?;
        let (head, body) = answer.read_whole().await.map_err(|failure| failure.reason)?;
        let status = u16::from(head.status());
        Ok(Response::builder().status(status).body(Bytes::from(body))?)
    }
}

/// Sends spans to the collector at `address` from a thread of its own; a collector that is down
/// costs the traffic nothing.
pub fn init(address: SocketAddr, daemon: &str) -> Result<SdkTracerProvider, String> {
    let exporter = SpanExporter::builder()
        .with_http()
        .with_http_client(Collector { address })
        .with_endpoint(format!("http://{address}/v1/traces"))
        .build()
        .map_err(|error| error.to_string())?;
    let resource = Resource::builder_empty()
        .with_attribute(KeyValue::new("service.name", SCOPE))
        .with_attribute(KeyValue::new("service.instance.id", daemon.to_owned()))
        .build();
    let provider =
        SdkTracerProvider::builder().with_batch_exporter(exporter).with_resource(resource).build();
    global::set_tracer_provider(provider.clone());
    Ok(provider)
}

/// One hop of a request; its span ends when it is dropped.
#[derive(Debug, Clone)]
pub struct Hop(Context);

impl Hop {
    /// The first hop; its parent is the caller's span, if `traceparent` names one.
    pub fn first(name: &'static str, traceparent: Option<&str>) -> Self {
        let mut carrier = std::collections::HashMap::new();
        if let Some(value) = traceparent {
            carrier.insert(header::TRACEPARENT.to_owned(), value.to_owned());
        }
        let parent = TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier);
        Self::start(name, &parent)
    }

    /// A hop within this one.
    pub fn child(&self, name: &'static str) -> Self {
        Self::start(name, &self.0)
    }

    fn start(name: &'static str, parent: &Context) -> Self {
        let span = global::tracer(SCOPE).start_with_context(name, parent);
        Self(parent.with_span(span))
    }

    /// A hop for where control sent an attempt.
    pub fn placed(&self, dispatch: &Dispatch) {
        let hop = self.child("placement");
        hop.note("server", dispatch.id.clone());
        hop.note("attempt", i64::from(dispatch.attempt));
        hop.note("resume", dispatch.resume);
        hop.note("import_blocks", dispatch.import.as_ref().map_or(0, |i| i.blocks as i64));
    }

    /// Notes an attribute.
    pub fn note(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        self.0.span().set_attribute(KeyValue::new(key, value.into()));
    }

    /// The header that passes this span on; `None` where nothing is traced.
    pub fn traceparent(&self) -> Option<String> {
        let mut carrier = std::collections::HashMap::new();
        TraceContextPropagator::new().inject_context(&self.0, &mut carrier);
        carrier.remove(header::TRACEPARENT)
    }
}
