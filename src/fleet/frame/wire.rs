//! Wire format of frames.

use crate::fleet::scheduling::{WireProgress, WireSubmission, WireVerdict};
use crate::fleet::streams::WireMessage as WireStreams;
use crate::poison::WireMessage as WirePoison;

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Workload {
    #[prost(string, tag = "1")]
    pub(super) server: String,
    #[prost(uint32, tag = "2")]
    pub(super) running: u32,
    #[prost(uint32, tag = "3")]
    pub(super) pending_tokens: u32,
    #[prost(bool, tag = "4")]
    pub(super) loading_weights: bool,
    #[prost(uint32, optional, tag = "5")]
    pub(super) last_answer_age_ms: Option<u32>,
    #[prost(uint32, optional, tag = "6")]
    pub(super) unanswered_ms: Option<u32>,
    #[prost(uint64, tag = "7")]
    pub(super) born: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Weights {
    #[prost(string, tag = "1")]
    pub(super) server: String,
    #[prost(string, tag = "2")]
    pub(super) model: String,
    #[prost(uint64, tag = "3")]
    pub(super) version: u64,
    #[prost(uint64, tag = "4")]
    pub(super) born: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Digest {
    #[prost(string, tag = "1")]
    pub(super) daemon: String,
    #[prost(fixed64, tag = "2")]
    pub(super) incarnation: u64,
    #[prost(bool, tag = "3")]
    pub(super) draining: bool,
    #[prost(uint64, repeated, tag = "4")]
    pub(super) end_offsets: Vec<u64>,
    #[prost(message, repeated, tag = "5")]
    pub(super) workloads: Vec<Workload>,
    #[prost(message, repeated, tag = "6")]
    pub(super) weights: Vec<Weights>,
    #[prost(string, tag = "7")]
    pub(super) address: String,
    /// Ids of parts, parallel to `hot_work_ms`.
    #[prost(fixed64, repeated, tag = "8")]
    pub(super) hot_parts: Vec<u64>,
    #[prost(float, repeated, tag = "9")]
    pub(super) hot_work_ms: Vec<f32>,
    #[prost(fixed64, repeated, tag = "10")]
    pub(super) refused: Vec<u64>,
    #[prost(uint64, tag = "11")]
    pub(super) link_bytes_moved: u64,
    #[prost(float, tag = "12")]
    pub(super) cores: f32,
    #[prost(uint32, tag = "13")]
    pub(super) interval_ms: u32,
    /// Milliseconds plus one; 0 if nothing was read.
    #[prost(uint32, repeated, tag = "14")]
    pub(super) read_ages_ms: Vec<u32>,
    #[prost(fixed64, repeated, tag = "15")]
    pub(super) blocked: Vec<u64>,
    #[prost(message, repeated, tag = "16")]
    pub(super) named: Vec<Naming>,
    #[prost(uint64, tag = "17")]
    pub(super) sent_at_ms: u64,
    /// Milliseconds plus one; 0 if unknown.
    #[prost(uint32, tag = "18")]
    pub(super) caught_up_age_ms: u32,
    #[prost(uint32, repeated, tag = "19")]
    pub(super) blocked_ages_ms: Vec<u32>,
    #[prost(string, tag = "20")]
    pub(super) quota_keeper: String,
    /// Workspaces, parallel to `quota_units`, the units used of their quotas.
    #[prost(string, repeated, tag = "21")]
    pub(super) quota_workspaces: Vec<String>,
    #[prost(uint64, repeated, tag = "22")]
    pub(super) quota_units: Vec<u64>,
    #[prost(string, tag = "23")]
    pub(super) zone: String,
    #[prost(string, tag = "24")]
    pub(super) handover_address: String,
    #[prost(bool, tag = "25")]
    pub(super) is_cut_off: bool,
    #[prost(message, repeated, tag = "26")]
    pub(super) reject_limits: Vec<RejectLimit>,
    #[prost(message, repeated, tag = "27")]
    pub(super) limit_statements: Vec<LimitStatement>,
    #[prost(message, repeated, tag = "28")]
    pub(super) leaving: Vec<Leaving>,
    #[prost(message, repeated, tag = "29")]
    pub(super) accounts: Vec<Account>,
    #[prost(message, repeated, tag = "30")]
    pub(super) speeds: Vec<Speed>,
    #[prost(message, repeated, tag = "31")]
    pub(super) link_bytes_by_store: Vec<StoreTransfer>,
    /// Milliseconds plus one; 0 if unknown.
    #[prost(uint32, tag = "32")]
    pub(super) registrations_age_ms: u32,
    #[prost(fixed64, repeated, tag = "33")]
    pub(super) settled_versions: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Account {
    #[prost(string, tag = "1")]
    pub(super) pool: String,
    /// Workspaces, parallel to the three lists after it.
    #[prost(string, repeated, tag = "2")]
    pub(super) workspaces: Vec<String>,
    #[prost(float, repeated, tag = "3")]
    pub(super) weights: Vec<f32>,
    #[prost(float, repeated, tag = "4")]
    pub(super) given_ms_per_s: Vec<f32>,
    #[prost(float, repeated, tag = "5")]
    pub(super) waiting_ms: Vec<f32>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Speed {
    #[prost(string, tag = "1")]
    pub(super) server: String,
    #[prost(uint64, tag = "2")]
    pub(super) born: u64,
    #[prost(float, tag = "3")]
    pub(super) factor: f32,
    #[prost(float, tag = "4")]
    pub(super) samples: f32,
    #[prost(uint32, tag = "5")]
    pub(super) age_ms: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct StoreTransfer {
    /// Address of the KV store.
    #[prost(string, tag = "1")]
    pub(super) store: String,
    #[prost(uint64, tag = "2")]
    pub(super) bytes: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Leaving {
    #[prost(string, tag = "1")]
    pub(super) server: String,
    #[prost(uint64, tag = "2")]
    pub(super) born: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct LimitStatement {
    #[prost(string, tag = "1")]
    pub(super) server: String,
    #[prost(uint64, tag = "2")]
    pub(super) born: u64,
    /// Requests per second; absent if the server states no limit.
    #[prost(double, optional, tag = "3")]
    pub(super) per_s: Option<f64>,
    #[prost(uint32, tag = "4")]
    pub(super) age_ms: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct RejectLimit {
    #[prost(string, tag = "1")]
    pub(super) pool: String,
    #[prost(uint32, tag = "2")]
    pub(super) rejects: u32,
    #[prost(uint32, tag = "3")]
    pub(super) age_ms: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Relay {
    /// Addresses as the bytes of the IP address and of the port.
    #[prost(bytes = "vec", repeated, tag = "1")]
    pub(super) to: Vec<Vec<u8>>,
    /// An encoded frame.
    #[prost(bytes = "vec", tag = "2")]
    pub(super) frame: Vec<u8>,
}

/// A frame compressed by DEFLATE.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Compressed {
    #[prost(bytes = "vec", tag = "1")]
    pub(super) bytes: Vec<u8>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Naming {
    #[prost(string, tag = "1")]
    pub(super) model: String,
    #[prost(uint64, tag = "2")]
    pub(super) version: u64,
    /// Milliseconds plus one; 0 if unknown.
    #[prost(uint32, tag = "3")]
    pub(super) age_ms: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Fetch {
    #[prost(string, tag = "1")]
    pub(super) daemon: String,
    #[prost(uint32, tag = "2")]
    pub(super) topic: u32,
    #[prost(uint64, tag = "3")]
    pub(super) from: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Record {
    #[prost(string, tag = "1")]
    pub(super) key: String,
    #[prost(uint64, tag = "2")]
    pub(super) offset: u64,
    #[prost(bytes = "vec", optional, tag = "3")]
    pub(super) value: Option<Vec<u8>>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Records {
    #[prost(uint32, tag = "1")]
    pub(super) topic: u32,
    #[prost(message, repeated, tag = "2")]
    pub(super) records: Vec<Record>,
    #[prost(uint64, tag = "3")]
    pub(super) from: u64,
    #[prost(uint64, tag = "4")]
    pub(super) to: u64,
    /// Whether these are all remaining records of the topic.
    #[prost(bool, tag = "5")]
    pub(super) is_snapshot: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Notice {
    #[prost(string, tag = "1")]
    pub(super) daemon: String,
    #[prost(message, optional, tag = "2")]
    pub(super) workload: Option<Workload>,
    #[prost(fixed64, repeated, tag = "3")]
    pub(super) parts: Vec<u64>,
}

/// An engine, or the KV store, which is identified by its address.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Holder {
    #[prost(string, tag = "1")]
    pub(super) server: String,
    #[prost(uint64, tag = "2")]
    pub(super) born: u64,
    #[prost(string, tag = "3")]
    pub(super) store_address: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Residency {
    #[prost(string, tag = "1")]
    pub(super) daemon: String,
    #[prost(message, optional, tag = "2")]
    pub(super) holder: Option<Holder>,
    #[prost(uint64, tag = "3")]
    pub(super) number: u64,
    #[prost(bool, tag = "4")]
    pub(super) is_snapshot: bool,
    /// Ids of parts, parallel to `tokens`, the number of tokens held of each.
    #[prost(fixed64, repeated, tag = "5")]
    pub(super) parts: Vec<u64>,
    #[prost(uint32, repeated, tag = "6")]
    pub(super) tokens: Vec<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct FetchResidency {
    #[prost(string, tag = "1")]
    pub(super) daemon: String,
    #[prost(message, optional, tag = "2")]
    pub(super) holder: Option<Holder>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(super) enum Body {
    #[prost(message, boxed, tag = "1")]
    Digest(Box<Digest>),
    #[prost(message, tag = "2")]
    Fetch(Fetch),
    #[prost(message, tag = "3")]
    Records(Records),
    #[prost(message, tag = "4")]
    Residency(Residency),
    #[prost(message, tag = "5")]
    FetchResidency(FetchResidency),
    #[prost(message, tag = "6")]
    Notice(Notice),
    #[prost(message, tag = "7")]
    Submission(WireSubmission),
    #[prost(message, tag = "8")]
    Progress(WireProgress),
    #[prost(message, tag = "9")]
    Verdict(WireVerdict),
    #[prost(message, tag = "10")]
    Poison(WirePoison),
    #[prost(message, tag = "11")]
    Relay(Relay),
    #[prost(message, tag = "12")]
    Compressed(Compressed),
    #[prost(message, tag = "13")]
    Streams(WireStreams),
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Frame {
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub(super) body: Option<Body>,
}
