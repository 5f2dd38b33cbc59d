//! Names of the headers exchanged between callers, backend servers and this router.

use http_types::headers::Headers;

use crate::prelude::*;

/// Answer: whether the request ran (`not-run`, `unknown`, `done`).
pub const EXECUTION: &str = "x-cardamomvalve-execution";
/// Answer: the numeric code of an answer from the router itself.
pub const CODE: &str = "x-cardamomvalve-code";
/// Answer: the daemon that received the request.
pub const DAEMON: &str = "x-cardamomvalve-daemon";
/// Answer: the backend server that sent the answer.
pub const SERVER: &str = "x-cardamomvalve-server";
/// Request: `urgent`, `normal` or `background`.
pub const PRIORITY: &str = "x-priority";
/// Request: milliseconds from arrival within which the answer must begin.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Request: ascending byte offsets at which the prompt's levels end, joined by commas.
pub const PREFIX_LEVELS: &str = "x-prefix-levels";
/// Request: identifies a non-idempotent request, as in the IETF draft.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// To and from backend servers: the attempt that the exchange belongs to.
pub const ATTEMPT: &str = "x-attempt-id";
/// To and from engines: the incarnation of the engine.
pub const INCARNATION: &str = "x-incarnation";
/// To and from engines: the weights version.
pub const WEIGHTS: &str = "x-weights";
/// To engines: root key of the prefix chain, 16 hexadecimal digits.
pub const CACHE_SALT: &str = "x-cache-salt";
/// To engines: the id for resuming a stream.
pub const STREAM: &str = "x-stream-id";
/// To engines: position of the first requested event.
pub const RESUME_FROM: &str = "x-resume-from";
/// To engines: leading blocks to import, as `ADDRESS;INCARNATION;BLOCKS`.
pub const KV_IMPORT: &str = "x-kv-import";
/// From engines: number of prompt tokens found in the cache.
pub const CACHED_TOKENS: &str = "x-cached-tokens";
/// W3C trace context, accepted and propagated.
pub const TRACEPARENT: &str = "traceparent";

/// Returns the single value of header `name`; a repeated header is an error.
pub fn single<'a>(headers: &'a Headers, name: &str) -> Result<Option<&'a str>> {
    let Some(values) = headers.get(name) else {
        return Ok(None);
    };
    let mut values = values.iter();
    let first = values.next().map(|value| value.as_str());
    match values.next() {
        None => Ok(first),
        Some(_) => Err(Error::new(Code::HeaderInvalid, format!("{name} is given more than once"))),
    }
}
