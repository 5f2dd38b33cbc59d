//! Prompts by their parts, and what cached parts are kept under.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt tokens that an engine reads in a millisecond, as its maker states; the platform's sheet
/// gives 51.
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Hash of the part's id.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// The prompt of a request to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The model.
    pub model: String,
    /// Tokens of the prompt.
    pub input: u32,
    /// Tokens of the answer at most.
    pub output: u32,
    /// The prompt's parts in order; the last belongs to this request alone.
    pub parts: Vec<Part>,
}

/// The parts of a prompt that other requests may share: all but the last.
pub(super) fn shared_parts(parts: &[Part]) -> &[Part] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

/// Tokens of a prompt that other requests may share.
pub(super) fn shared_tokens(prompt: &Prompt) -> u32 {
    let sum: u32 = shared_parts(&prompt.parts).iter().map(|part| part.tokens).sum();
    sum.min(prompt.input)
}

/// What an engine keeps cached prompts under: the version of its weights, and the workspace where
/// that shares with no other.
pub(super) fn cache_salt(version: u64, isolated: Option<&str>) -> String {
    match isolated {
        Some(owner) => format!("{version}.{owner}"),
        None => version.to_string(),
    }
}

/// A part, or another hash, under what it is kept.
pub(super) fn salted_key(salt: &str, part: u64) -> u64 {
    xxh3_64_with_seed(salt.as_bytes(), part)
}

/// Tokens of a prompt's shared beginning of which `tokens` tells how many of a part are held, by what
/// the part is kept under and its tokens.
pub(super) fn held_tokens(prompt: &Prompt, salt: &str, tokens: impl Fn(u64, u32) -> u32) -> u32 {
    let mut sum = 0;
    for part in shared_parts(&prompt.parts) {
        let tokens = tokens(salted_key(salt, part.id), part.tokens);
        sum += tokens;
        if tokens < part.tokens {
            break;
        }
    }
    sum.min(prompt.input)
}

/// Milliseconds of an engine for what a prompt shares with no other.
pub(super) fn unshared_ms(prompt: &Prompt) -> f64 {
    f64::from(prompt.input.saturating_sub(shared_tokens(prompt))) / PREFILL_TOKENS_PER_MS
}
