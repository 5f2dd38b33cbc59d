//! Turns a caller's request into an arrival: grants, priority, deadline and prefix.

use http_types::headers::Headers;
use xxhash_rust::xxh3::xxh3_64;

use super::openai::Completion;
use super::{Call, Entry};
use crate::attempt::{Arrival, Target};
use crate::http::header;
use crate::ledger;
use crate::manifest::{self, Model, Priority, Revision, Workspace};
use crate::poison::Fingerprint;
use crate::prefix::{self, BYTES_PER_TOKEN, Prefix, Scope};
use crate::prelude::*;

const MAX_DEADLINE_MS: u64 = 86_400_000;
const MAX_LEVELS: usize = 16;
const MAX_KEY_BYTES: usize = 255;

/// Options from a request's optional headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Options {
    priority: Option<Priority>,
    deadline: Option<Duration>,
    levels: Vec<usize>,
}

impl Options {
    /// Parses the optional headers; an invalid value is an error.
    pub(super) fn read(headers: &Headers) -> Result<Self> {
        let priority = header::single(headers, header::PRIORITY)?
            .map(|name| {
                Priority::from_name(name)
                    .ok_or_else(|| invalid_header(header::PRIORITY, "urgent, normal or background"))
            })
            .transpose()?;
        let deadline = header::single(headers, header::DEADLINE_MS)?
            .map(|value| {
                value
                    .parse()
                    .ok()
                    .filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms))
                    .map(Duration::from_millis)
                    .ok_or_else(|| invalid_header(header::DEADLINE_MS, "1 to 86400000"))
            })
            .transpose()?;
        let levels = match header::single(headers, header::PREFIX_LEVELS)? {
            None => Vec::new(),
            Some(value) => parse_levels(value).ok_or_else(|| {
                invalid_header(
                    header::PREFIX_LEVELS,
                    "up to 16 ascending byte offsets joined by commas",
                )
            })?,
        };
        Ok(Self { priority, deadline, levels })
    }
}

fn parse_levels(value: &str) -> Option<Vec<usize>> {
    let levels: Vec<usize> =
        value.split(',').map(|part| part.trim().parse().ok()).collect::<Option<_>>()?;
    let ascending = levels.windows(2).all(|pair| pair[0] < pair[1]);
    (levels.len() <= MAX_LEVELS && ascending).then_some(levels)
}

fn invalid_header(name: &str, allowed: &str) -> Error {
    Error::new(Code::HeaderInvalid, format!("{name}: give {allowed}"))
}

fn workspace<'a>(force: &'a Revision, name: &str) -> Result<&'a Workspace> {
    force.manifest.workspaces.get(name).ok_or_else(|| Code::WrongKey.into())
}

fn priority(options: &Options, workspace: &Workspace) -> Priority {
    options.priority.unwrap_or(workspace.default_priority).max(workspace.highest_priority)
}

/// Finds a model by name and checks that the workspace may use it.
pub(super) fn granted_model<'a>(
    force: &'a Revision,
    workspace_name: &str,
    name: &str,
) -> Result<&'a Model> {
    let model = force.manifest.models.get(name);
    let model = model.ok_or_else(|| Error::new(Code::UnknownModel, format!("model {name:?}")))?;
    let granted = workspace(force, workspace_name)?.models.iter().any(|granted| granted == name);
    granted
        .then_some(model)
        .ok_or_else(|| Error::new(Code::ForeignModel, format!("model {name:?}")))
}

impl Entry {
    /// Builds the arrival of a completion.
    pub(super) fn completion_arrival(
        &self,
        force: &Revision,
        workspace_name: &str,
        headers: &Headers,
        arrived_at: Time,
        completion: &Completion,
    ) -> Result<Arrival> {
        let options = Options::read(headers)?;
        let model = granted_model(force, workspace_name, &completion.model)?;
        let workspace = workspace(force, workspace_name)?;
        let salt = prefix::root(Scope {
            workspace: workspace_name,
            model: &completion.model,
            weights: &model.weights,
            adapter: model.adapter.as_deref().unwrap_or_default(),
        });
        let prompt = completion.prompt.as_bytes();
        let deadline = options.deadline.unwrap_or(Duration::from_millis(model.default_deadline_ms));
        Ok(Arrival {
            request: self.control.next_request(),
            workspace: workspace_name.to_owned(),
            share: workspace.share,
            target: Target::Model {
                model: completion.model.clone(),
                weights: model.weights.clone(),
                objective: model.objective,
                salt,
            },
            pool: model.pool.clone(),
            priority: priority(&options, workspace),
            deadline: arrived_at + deadline,
            prefix: Prefix::new(salt, prompt, &options.levels),
            prompt_tokens: (prompt.len() / BYTES_PER_TOKEN) as u32,
            max_tokens: completion.max_tokens,
            idempotent: true,
            fingerprint: Fingerprint::of(
                workspace_name,
                "POST",
                completion.kind.path(),
                completion.body.to_string().as_bytes(),
            ),
            claim: None,
        })
    }

    /// Builds the arrival of a call to service `name`; `path` is relative to the service.
    pub(super) fn service_arrival(&self, call: &Call, name: &str, path: &str) -> Result<Arrival> {
        let headers: &Headers = call.received.request.as_ref();
        let options = Options::read(headers)?;
        let detail = || format!("service {name:?}");
        let service = call.force.manifest.services.get(name);
        let service = service.ok_or_else(|| Error::new(Code::UnknownService, detail()))?;
        let workspace = workspace(&call.force, &call.workspace)?;
        if !workspace.services.iter().any(|granted| granted == name) {
            return Err(Error::new(Code::ForeignService, detail()));
        }
        let method = call.received.request.method().to_string();
        let idempotent = service.idempotent_methods.contains(&method);
        let key = idempotency_key(headers)?;
        let has_key = key.is_some();
        let claim =
            key.filter(|_| !idempotent && !service.deduplicates).map(|key| ledger::Proposal {
                key: ledger::Key {
                    workspace: call.workspace.clone(),
                    service: name.to_owned(),
                    key,
                },
                digest: request_digest(&method, path, &call.received.body),
                window_s: call.force.manifest.idempotency_window_s,
            });
        let deadline =
            options.deadline.unwrap_or(Duration::from_millis(service.default_deadline_ms));
        Ok(Arrival {
            request: self.control.next_request(),
            workspace: call.workspace.clone(),
            share: workspace.share,
            target: Target::Service { service: name.to_owned() },
            pool: service.pool.clone(),
            priority: priority(&options, workspace),
            deadline: call.arrived_at + deadline,
            prefix: Prefix::default(),
            prompt_tokens: 0,
            max_tokens: 1,
            fingerprint: Fingerprint::of(
                &call.workspace,
                &method,
                call.received.request.url().path(),
                &call.received.body,
            ),
            idempotent: idempotent || (has_key && service.deduplicates),
            claim,
        })
    }
}

/// Parses the idempotency key: a quoted string, as in the IETF draft, or a bare one.
fn idempotency_key(headers: &Headers) -> Result<Option<String>> {
    let Some(value) = header::single(headers, header::IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    let value = value.trim();
    let key = value.strip_prefix('"').and_then(|rest| rest.strip_suffix('"')).unwrap_or(value);
    let printable = key.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'"');
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !printable {
        return Err(invalid_header(header::IDEMPOTENCY_KEY, "1 to 255 visible ASCII characters"));
    }
    Ok(Some(key.to_owned()))
}

fn request_digest(method: &str, path: &str, body: &[u8]) -> String {
    let mut bytes = format!("{method} {path}\n").into_bytes();
    bytes.extend_from_slice(body);
    manifest::sha256_hex(&bytes)
}

/// Formats the id under which callers and engines see a request.
pub(super) fn request_id(daemon: &str, incarnation: u64, request: crate::attempt::Key) -> String {
    format!("{:016x}-{:x}", xxh3_64(daemon.as_bytes()) ^ incarnation, request.0)
}

/// An operator's query for the placement of a hypothetical completion.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Query {
    workspace: String,
    model: String,
    prompt: String,
    #[serde(default)]
    levels: Vec<usize>,
    #[serde(default)]
    priority: Option<Priority>,
}

impl Entry {
    /// Builds the arrival that an operator's query describes, without dispatching it.
    pub fn parse_query(&self, body: &[u8]) -> Result<Arrival> {
        let query: Query = serde_json::from_slice(body)
            .map_err(|error| Error::new(Code::MalformedRequest, error.to_string()))?;
        let force = self.control.force().ok_or(Code::NoManifest)?;
        let body = serde_json::json!({ "model": query.model, "prompt": query.prompt });
        let completion = Completion::parse(super::openai::Kind::Text, body.to_string().as_bytes())?;
        let mut request = http_types::Request::new(http_types::Method::Get, "http://localhost/");
        if let Some(priority) = query.priority {
            request.insert_header(header::PRIORITY, priority.as_str());
        }
        if !query.levels.is_empty() {
            let levels: Vec<String> = query.levels.iter().map(usize::to_string).collect();
            request.insert_header(header::PREFIX_LEVELS, levels.join(","));
        }
        let now = self.control.clock.now();
        self.completion_arrival(&force, &query.workspace, request.as_ref(), now, &completion)
    }
}
