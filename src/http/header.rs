//! Names of the headers that callers, backend servers and this router exchange.

use http_types::headers::Headers;

use crate::prelude::*;

/// Answer: whether the work ran (`not-run`, `unknown`, `done`).
pub const EXECUTION: &str = "x-cardamomvalve-execution";
/// Answer: the numbered code of an answer that the router itself made.
pub const CODE: &str = "x-cardamomvalve-code";
/// Answer: the daemon that took the request.
pub const DAEMON: &str = "x-cardamomvalve-daemon";
/// Answer: the backend server whose answer this is.
pub const SERVER: &str = "x-cardamomvalve-server";
/// Request: `urgent`, `normal` or `background`.
pub const PRIORITY: &str = "x-priority";
/// Request: milliseconds from arrival within which the answer must begin.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Request: ascending byte offsets at which the prompt's levels end, joined by commas.
pub const PREFIX_LEVELS: &str = "x-prefix-levels";
/// Request: names a non-idempotent request, as in the IETF draft.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Both ways with backend servers: the attempt that an exchange belongs to.
pub const ATTEMPT: &str = "x-attempt-id";
/// Both ways with engines: the incarnation of the engine.
pub const INCARNATION: &str = "x-incarnation";
/// Both ways with engines: the weights version.
pub const WEIGHTS: &str = "x-weights";
/// To engines: root key of the prefix chain, 16 hexadecimal digits.
pub const CACHE_SALT: &str = "x-cache-salt";
/// To engines: the id under which a stream may be resumed.
pub const STREAM: &str = "x-stream-id";
/// To engines: position of the first event wanted.
pub const RESUME_FROM: &str = "x-resume-from";
/// To engines: leading blocks to import, as `ADDRESS;INCARNATION;BLOCKS`.
pub const KV_IMPORT: &str = "x-kv-import";
/// From engines: prompt tokens that were found in the cache.
pub const CACHED_TOKENS: &str = "x-cached-tokens";
/// W3C trace context, taken and passed on.
pub const TRACEPARENT: &str = "traceparent";

/// The single value of header `name`; an error where it is given more than once.
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
