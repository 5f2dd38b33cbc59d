//! Wire format of the messages about software versions of streams.

use super::software::MAX_STREAM_AGE;
use super::{Binding, Finding, Lookup, Software, StreamId};
use crate::fleet::{Key, Malformed};
use crate::prelude::*;

#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::fleet) struct WireBinding {
    #[prost(fixed64, tag = "1")]
    stream: u64,
    #[prost(fixed64, tag = "2")]
    software: u64,
    #[prost(uint32, tag = "3")]
    time_left_ms: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::fleet) struct WireReplicate {
    #[prost(message, repeated, tag = "1")]
    bindings: Vec<WireBinding>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::fleet) struct WireLookup {
    #[prost(string, tag = "1")]
    daemon: String,
    #[prost(uint64, tag = "2")]
    request: u64,
    #[prost(fixed64, tag = "3")]
    stream: u64,
    #[prost(string, tag = "4")]
    pool: String,
    /// Always the maximum age of a stream. Daemons of an earlier release go by it.
    #[prost(uint32, tag = "5")]
    max_age_ms: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::fleet) struct WireFound {
    #[prost(uint64, tag = "1")]
    request: u64,
    #[prost(fixed64, tag = "2")]
    stream: u64,
    /// The version, if the stream is bound to it or it is proven.
    #[prost(fixed64, optional, tag = "3")]
    software: Option<u64>,
    /// Whether the stream is bound to it. Daemons of an earlier release state neither this nor the next.
    #[prost(bool, tag = "4")]
    is_bound: bool,
    /// Whether several versions have served.
    #[prost(bool, tag = "5")]
    is_ambiguous: bool,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(in crate::fleet) enum Body {
    #[prost(message, tag = "1")]
    Replicate(WireReplicate),
    #[prost(message, tag = "2")]
    Lookup(WireLookup),
    #[prost(message, tag = "3")]
    Found(WireFound),
}

#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::fleet) struct Message {
    #[prost(oneof = "Body", tags = "1, 2, 3")]
    body: Option<Body>,
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

impl WireFound {
    fn new(request: Key, stream: StreamId, finding: Finding) -> Self {
        let software = match finding {
            Finding::Bound(software) | Finding::Proven(software) => Some(software.0),
            Finding::Ambiguous | Finding::Unknown => None,
        };
        Self {
            request: request.0,
            stream: stream.0,
            software,
            is_bound: matches!(finding, Finding::Bound(_)),
            is_ambiguous: finding == Finding::Ambiguous,
        }
    }

    fn finding(&self) -> Finding {
        match self.software.map(Software) {
            Some(software) if self.is_bound => Finding::Bound(software),
            Some(software) => Finding::Proven(software),
            None if self.is_ambiguous => Finding::Ambiguous,
            None => Finding::Unknown,
        }
    }
}

impl From<Binding> for WireBinding {
    fn from(binding: Binding) -> Self {
        let time_left_ms = millis(binding.time_left);
        Self { stream: binding.stream.0, software: binding.software.0, time_left_ms }
    }
}

impl From<WireBinding> for Binding {
    fn from(wire: WireBinding) -> Self {
        Self {
            stream: StreamId(wire.stream),
            software: Software(wire.software),
            time_left: Duration::from_millis(u64::from(wire.time_left_ms)),
        }
    }
}

impl From<super::Message> for Message {
    fn from(message: super::Message) -> Self {
        let body = match message {
            super::Message::Replicate(bindings) => {
                let bindings = bindings.into_iter().map(WireBinding::from).collect();
                Body::Replicate(WireReplicate { bindings })
            }
            super::Message::Lookup(lookup) => Body::Lookup(WireLookup {
                daemon: lookup.daemon,
                request: lookup.request.0,
                stream: lookup.stream.0,
                pool: lookup.pool,
                max_age_ms: millis(MAX_STREAM_AGE),
            }),
            super::Message::Found(request, stream, finding) => {
                Body::Found(WireFound::new(request, stream, finding))
            }
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<Message> for super::Message {
    type Error = Malformed;

    fn try_from(wire: Message) -> Result<Self, Malformed> {
        match wire.body {
            Some(Body::Replicate(replicate)) => {
                Ok(Self::Replicate(replicate.bindings.into_iter().map(Binding::from).collect()))
            }
            Some(Body::Lookup(lookup)) => Ok(Self::Lookup(Lookup {
                daemon: lookup.daemon,
                request: Key(lookup.request),
                stream: StreamId(lookup.stream),
                pool: lookup.pool,
            })),
            Some(Body::Found(found)) => {
                Ok(Self::Found(Key(found.request), StreamId(found.stream), found.finding()))
            }
            None => Err(Malformed("the message about streams is empty".into())),
        }
    }
}
