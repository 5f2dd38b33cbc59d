//! The periodic state message of a daemon.

use std::net::SocketAddr;

use super::account::{Account, decode_accounts, decode_speeds};
use super::{Malformed, millis, wire};
use crate::capacity;
use crate::fleet::{Incarnation, LimitStatement, Naming, RejectLimit, Software};
use crate::poison::{self, Blocked, Fingerprint};
use crate::prelude::*;
use crate::quota::Usage;

/// The work of one daemon at one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Workload {
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens of the requests whose answers have not begun.
    pub pending_tokens: u32,
    /// Whether the server was ordered to load weights and has not finished.
    pub loading_weights: bool,
    /// Milliseconds since the server's last answer to this daemon.
    pub last_answer_age_ms: Option<u32>,
    /// Age in milliseconds of the oldest request whose answer has not begun.
    pub unanswered_ms: Option<u32>,
}

/// A daemon's state, sent to its peers several times a second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Digest {
    /// The daemon's id.
    pub daemon: String,
    /// The address on which it listens for peers.
    pub address: String,
    /// The address on which it takes requests over from peers; empty if it takes none over.
    pub handover_address: String,
    /// Whether it reaches no backend server.
    pub is_cut_off: bool,
    /// The cores of its VM; 0 if unknown.
    pub cores: f32,
    /// Its availability zone.
    pub zone: String,
    /// Time until its next digest to the same peer.
    pub interval: Duration,
    /// Age of its last read of each topic in the platform's store, in the order of [`Topic::ALL`](crate::fleet::Topic::ALL);
    /// `None` if it has read nothing.
    pub read_ages: Vec<Option<Duration>>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether it is stopping.
    pub draining: bool,
    /// The offsets up to which it has all records, in the order of [`Topic::ALL`](crate::fleet::Topic::ALL).
    pub end_offsets: Vec<u64>,
    /// Its work by server.
    pub workloads: BTreeMap<Incarnation, Workload>,
    /// Weights observed at servers: server, model, version.
    pub weights: Vec<(Incarnation, String, u64)>,
    /// The prompt parts that cause most of its work, with milliseconds of work per second; empty in
    /// most digests.
    pub hot_parts: Vec<(u64, f32)>,
    /// Fingerprints of recently refused requests.
    pub refused: Vec<Fingerprint>,
    /// Bytes that it has caused on the link of the first KV store since its start.
    pub link_bytes_moved: u64,
    /// The same by store, if all KV stores are used.
    pub link_bytes_by_store: BTreeMap<SocketAddr, u64>,
    /// Blocked requests that the platform's store is not known to hold yet.
    pub blocked: Vec<Blocked>,
    /// Creation time on its daemon's clock.
    pub sent_at: Time,
    /// Recently named weights, with ascending versions for each model.
    pub named: Vec<Naming>,
    /// Time since the daemon last had everything that operators published.
    pub caught_up_age: Option<Duration>,
    /// Time since the daemon last had all registrations of servers.
    pub registrations_age: Option<Duration>,
    /// Software versions at which streams begin.
    pub settled_versions: Vec<Software>,
    /// The daemon that it regards as the quota keeper and lends its share to; empty if it knows none.
    pub quota_keeper: String,
    /// Its recent use of workspaces' quotas.
    pub quota_use: Vec<Usage>,
    /// The reject limits of pools in force.
    pub reject_limits: Vec<RejectLimit>,
    /// The newest statements of servers about their request limits.
    pub limit_statements: Vec<LimitStatement>,
    /// Servers that have stated that they leave.
    pub leaving: Vec<Incarnation>,
    /// The state of the pools that it places requests for; only from schedulers to schedulers.
    pub accounts: Vec<Account>,
    /// The speeds of servers that differ most from the assumed one; only from schedulers to
    /// schedulers.
    pub speeds: Vec<(Incarnation, capacity::Report)>,
}

/// Longest time to a daemon's next digest, in milliseconds: a daemon that has ended counts as running for
/// twice this time.
const MAX_INTERVAL_MS: u32 = 60_000;

fn encode_age(age: Option<Duration>) -> u32 {
    age.map_or(0, |age| millis(age).saturating_add(1))
}

fn decode_age(number: u32) -> Option<Duration> {
    Some(Duration::from_millis(u64::from(number.checked_sub(1)?)))
}

impl From<Naming> for wire::Naming {
    fn from(naming: Naming) -> Self {
        let Naming { model, version, age } = naming;
        Self { model, version, age_ms: encode_age(age) }
    }
}

impl From<wire::Naming> for Naming {
    fn from(naming: wire::Naming) -> Self {
        let wire::Naming { model, version, age_ms } = naming;
        Self { model, version, age: decode_age(age_ms) }
    }
}

impl From<(Incarnation, Workload)> for wire::Workload {
    fn from((incarnation, workload): (Incarnation, Workload)) -> Self {
        Self {
            server: incarnation.id,
            born: incarnation.started_ms,
            running: workload.running,
            pending_tokens: workload.pending_tokens,
            loading_weights: workload.loading_weights,
            last_answer_age_ms: workload.last_answer_age_ms,
            unanswered_ms: workload.unanswered_ms,
        }
    }
}

impl From<wire::Workload> for (Incarnation, Workload) {
    fn from(workload: wire::Workload) -> Self {
        let wire::Workload {
            server,
            running,
            pending_tokens,
            loading_weights,
            last_answer_age_ms,
            unanswered_ms,
            born,
        } = workload;
        let workload = Workload {
            running,
            pending_tokens,
            loading_weights,
            last_answer_age_ms,
            unanswered_ms,
        };
        (Incarnation::new(server, born), workload)
    }
}

impl From<RejectLimit> for wire::RejectLimit {
    fn from(limit: RejectLimit) -> Self {
        Self { pool: limit.pool, rejects: limit.rejects, age_ms: millis(limit.age) }
    }
}

impl From<wire::RejectLimit> for RejectLimit {
    fn from(limit: wire::RejectLimit) -> Self {
        let age = Duration::from_millis(u64::from(limit.age_ms));
        Self { pool: limit.pool, rejects: limit.rejects, age }
    }
}

impl From<LimitStatement> for wire::LimitStatement {
    fn from(statement: LimitStatement) -> Self {
        let LimitStatement { server, per_s, age } = statement;
        Self { server: server.id, born: server.started_ms, per_s, age_ms: millis(age) }
    }
}

impl TryFrom<wire::LimitStatement> for LimitStatement {
    type Error = Malformed;

    fn try_from(statement: wire::LimitStatement) -> Result<Self, Malformed> {
        let wire::LimitStatement { server, born, per_s, age_ms } = statement;
        if per_s.is_some_and(|per_s| !per_s.is_finite() || per_s < 0.0) {
            return Err(Malformed("a request limit is negative or not finite".into()));
        }
        let age = Duration::from_millis(u64::from(age_ms));
        Ok(Self { server: Incarnation::new(server, born), per_s, age })
    }
}

impl From<(SocketAddr, u64)> for wire::StoreTransfer {
    fn from((store, bytes): (SocketAddr, u64)) -> Self {
        Self { store: store.to_string(), bytes }
    }
}

impl TryFrom<wire::StoreTransfer> for (SocketAddr, u64) {
    type Error = Malformed;

    fn try_from(transfer: wire::StoreTransfer) -> Result<Self, Malformed> {
        let store = transfer.store.parse();
        let store = store.map_err(|_| Malformed("a KV store's address is invalid".into()))?;
        Ok((store, transfer.bytes))
    }
}

impl From<Incarnation> for wire::Leaving {
    fn from(incarnation: Incarnation) -> Self {
        Self { server: incarnation.id, born: incarnation.started_ms }
    }
}

impl From<wire::Leaving> for Incarnation {
    fn from(leaving: wire::Leaving) -> Self {
        Self::new(leaving.server, leaving.born)
    }
}

impl From<Digest> for wire::Digest {
    fn from(digest: Digest) -> Self {
        let (blocked, blocked_ages_ms) = poison::blocks_to_wire(&digest.blocked);
        let workloads = digest.workloads.into_iter().map(wire::Workload::from);
        let weights = digest.weights.into_iter().map(|(incarnation, model, version)| {
            wire::Weights { server: incarnation.id, born: incarnation.started_ms, model, version }
        });
        Self {
            daemon: digest.daemon,
            address: digest.address,
            handover_address: digest.handover_address,
            is_cut_off: digest.is_cut_off,
            cores: digest.cores,
            zone: digest.zone,
            interval_ms: millis(digest.interval),
            read_ages_ms: digest.read_ages.into_iter().map(encode_age).collect(),
            incarnation: digest.incarnation,
            draining: digest.draining,
            end_offsets: digest.end_offsets,
            workloads: workloads.collect(),
            weights: weights.collect(),
            hot_parts: digest.hot_parts.iter().map(|(part, _)| *part).collect(),
            hot_work_ms: digest.hot_parts.iter().map(|(_, work_ms)| *work_ms).collect(),
            refused: digest.refused.into_iter().map(|fingerprint| fingerprint.0).collect(),
            link_bytes_moved: digest.link_bytes_moved,
            link_bytes_by_store: digest
                .link_bytes_by_store
                .into_iter()
                .map(wire::StoreTransfer::from)
                .collect(),
            blocked,
            blocked_ages_ms,
            sent_at_ms: u64::try_from(digest.sent_at.as_millis()).unwrap_or(u64::MAX),
            named: digest.named.into_iter().map(wire::Naming::from).collect(),
            caught_up_age_ms: encode_age(digest.caught_up_age),
            registrations_age_ms: encode_age(digest.registrations_age),
            settled_versions: digest.settled_versions.iter().map(|version| version.0).collect(),
            quota_keeper: digest.quota_keeper,
            quota_workspaces: digest.quota_use.iter().map(|used| used.workspace.clone()).collect(),
            quota_units: digest.quota_use.iter().map(|used| used.units).collect(),
            reject_limits: digest.reject_limits.into_iter().map(wire::RejectLimit::from).collect(),
            limit_statements: digest
                .limit_statements
                .into_iter()
                .map(wire::LimitStatement::from)
                .collect(),
            leaving: digest.leaving.into_iter().map(wire::Leaving::from).collect(),
            accounts: digest.accounts.into_iter().map(wire::Account::from).collect(),
            speeds: digest.speeds.into_iter().map(wire::Speed::from).collect(),
        }
    }
}

impl TryFrom<wire::Digest> for Digest {
    type Error = Malformed;

    fn try_from(digest: wire::Digest) -> Result<Self, Malformed> {
        if digest.daemon.is_empty() {
            return Err(Malformed("the digest lacks a daemon id".into()));
        }
        if digest.hot_parts.len() != digest.hot_work_ms.len()
            || !digest.hot_work_ms.iter().all(|work_ms| *work_ms >= 0.0 && work_ms.is_finite())
        {
            return Err(Malformed("the digest's hot parts or their work are invalid".into()));
        }
        if digest.quota_workspaces.len() != digest.quota_units.len() {
            return Err(Malformed(
                "the digest's workspaces and quota units differ in number".into(),
            ));
        }
        if !digest.cores.is_finite() {
            return Err(Malformed("the digest's number of cores is not finite".into()));
        }
        if digest.interval_ms > MAX_INTERVAL_MS {
            return Err(Malformed(format!(
                "the digest's interval of {} ms is longer than {MAX_INTERVAL_MS} ms",
                digest.interval_ms
            )));
        }
        let workloads = digest.workloads.into_iter().map(<(Incarnation, Workload)>::from);
        Ok(Self {
            daemon: digest.daemon,
            address: digest.address,
            handover_address: digest.handover_address,
            is_cut_off: digest.is_cut_off,
            cores: digest.cores,
            zone: digest.zone,
            interval: Duration::from_millis(u64::from(digest.interval_ms)),
            read_ages: digest.read_ages_ms.into_iter().map(decode_age).collect(),
            incarnation: digest.incarnation,
            draining: digest.draining,
            end_offsets: digest.end_offsets,
            workloads: workloads.collect(),
            weights: digest
                .weights
                .into_iter()
                .map(|weights| {
                    (Incarnation::new(weights.server, weights.born), weights.model, weights.version)
                })
                .collect(),
            hot_parts: digest.hot_parts.into_iter().zip(digest.hot_work_ms).collect(),
            refused: digest.refused.into_iter().map(Fingerprint).collect(),
            link_bytes_moved: digest.link_bytes_moved,
            link_bytes_by_store: digest
                .link_bytes_by_store
                .into_iter()
                .map(<(SocketAddr, u64)>::try_from)
                .collect::<Result<_, _>>()?,
            blocked: poison::blocks_from_wire(digest.blocked, digest.blocked_ages_ms),
            sent_at: Duration::from_millis(digest.sent_at_ms),
            named: digest.named.into_iter().map(Naming::from).collect(),
            caught_up_age: decode_age(digest.caught_up_age_ms),
            registrations_age: decode_age(digest.registrations_age_ms),
            settled_versions: digest.settled_versions.into_iter().map(Software).collect(),
            quota_keeper: digest.quota_keeper,
            quota_use: digest
                .quota_workspaces
                .into_iter()
                .zip(digest.quota_units)
                .map(|(workspace, units)| Usage { workspace, units })
                .collect(),
            reject_limits: digest.reject_limits.into_iter().map(RejectLimit::from).collect(),
            limit_statements: digest
                .limit_statements
                .into_iter()
                .map(LimitStatement::try_from)
                .collect::<Result<_, _>>()?,
            leaving: digest.leaving.into_iter().map(Incarnation::from).collect(),
            accounts: decode_accounts(digest.accounts)?,
            speeds: decode_speeds(digest.speeds)?,
        })
    }
}
