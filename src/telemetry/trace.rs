//! Traces with a span per hop of a request, exported as OTLP over HTTP.

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

/// Name of the service and of its instrumentation scope.
const SERVICE_NAME: &str = "cardamomvalve";
/// Limits of an export request.
const EXPORT_LIMITS: client::Limits = client::Limits {
    connect_timeout: Duration::from_millis(500),
    head_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(2),
    max_body_bytes: 1 << 20,
};

/// The HTTP client that sends exported spans to the collector.
#[derive(Debug)]
struct Client {
    address: SocketAddr,
}

#[async_trait]
impl HttpClient for Client {
    async fn send_bytes(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let path = request.uri().path().to_owned();
        let mut outgoing = client::request(Method::Post, self.address, &path)?;
        for (name, value) in request.headers() {
            outgoing.insert_header(name.as_str(), value.to_str()?);
        }
        outgoing.set_body(request.body().to_vec());
        let answer = client::send(self.address, outgoing, EXPORT_LIMITS)
            .await
            .map_err(|failure| failure.reason)?;
        let (head, body) = answer.read_whole(None).await.map_err(|failure| failure.reason)?;
        let status = u16::from(head.status());
        Ok(Response::builder().status(status).body(Bytes::from(body))?)
    }
}

/// Sets up the export of spans to the collector at `address`. A separate thread sends them, hence an
/// unreachable collector doesn't delay requests.
pub fn init(address: SocketAddr, daemon: &str) -> Result<SdkTracerProvider, String> {
    let exporter = SpanExporter::builder()
        .with_http()
        .with_http_client(Client { address })
        .with_endpoint(format!("http://{address}/v1/traces"))
        .build()
        .map_err(|error| error.to_string())?;
    let resource = Resource::builder_empty()
        .with_attribute(KeyValue::new("service.name", SERVICE_NAME))
        .with_attribute(KeyValue::new("service.instance.id", daemon.to_owned()))
        .build();
    let provider =
        SdkTracerProvider::builder().with_batch_exporter(exporter).with_resource(resource).build();
    global::set_tracer_provider(provider.clone());
    Ok(provider)
}

/// The span of one hop of a request. It ends when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct Hop(Context);

impl Hop {
    /// Starts the first hop in this daemon. Its parent is the caller's span if `traceparent` names one.
    pub fn root(name: &'static str, traceparent: Option<&str>) -> Self {
        let mut carrier = std::collections::HashMap::new();
        if let Some(value) = traceparent {
            carrier.insert(header::TRACEPARENT.to_owned(), value.to_owned());
        }
        let parent = TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier);
        Self::start(name, &parent)
    }

    /// Starts a hop whose parent is this one.
    pub fn child(&self, name: &'static str) -> Self {
        Self::start(name, &self.0)
    }

    fn start(name: &'static str, parent: &Context) -> Self {
        let span = global::tracer(SERVICE_NAME).start_with_context(name, parent);
        Self(parent.with_span(span))
    }

    /// Records a child span with the placement of an attempt.
    pub fn record_placement(&self, dispatch: &Dispatch) {
        let hop = self.child("placement");
        hop.set_attribute("server", dispatch.id.clone());
        hop.set_attribute("attempt", i64::from(dispatch.attempt));
        hop.set_attribute("resume", dispatch.resume);
        hop.set_attribute("import_blocks", dispatch.import.as_ref().map_or(0, |i| i.blocks as i64));
    }

    /// Sets an attribute of the span.
    pub fn set_attribute(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        self.0.span().set_attribute(KeyValue::new(key, value.into()));
    }

    /// Returns the `traceparent` header for requests of this hop; `None` if there is no trace.
    pub fn traceparent(&self) -> Option<String> {
        let mut carrier = std::collections::HashMap::new();
        TraceContextPropagator::new().inject_context(&self.0, &mut carrier);
        carrier.remove(header::TRACEPARENT)
    }
}
