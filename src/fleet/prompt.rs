//! The parts of prompts, and the keys of cached parts.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt tokens that an engine reads per millisecond, by the manufacturer's specification; the
/// platform's data sheet gives 51.
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Hash of the part's id.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// The prompt of a request to an engine. Its numbers are what the caller states; sums of them saturate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The model.
    pub model: String,
    /// Tokens of the prompt.
    pub input: u32,
    /// Maximum tokens of the answer.
    pub output: u32,
    /// The parts in order; the last is unique to this request.
    pub parts: Vec<Part>,
}

/// The parts of a prompt that other requests may share: all but the last.
pub(super) fn shared_parts(parts: &[Part]) -> &[Part] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

/// Tokens of a prompt that other requests may share.
pub(super) fn shared_tokens(prompt: &Prompt) -> u32 {
    let tokens = shared_parts(&prompt.parts).iter().map(|part| part.tokens);
    tokens.fold(0, u32::saturating_add).min(prompt.input)
}

/// Key of a part, or of another hash, under a salt.
pub(super) fn salted_key(salt: &str, part: u64) -> u64 {
    xxh3_64_with_seed(salt.as_bytes(), part)
}

/// Tokens of the longest held prefix of a prompt's shared parts. `tokens` returns how many tokens
/// of a part are held, by its key and its length.
pub(super) fn held_tokens(prompt: &Prompt, salt: &str, tokens: impl Fn(u64, u32) -> u32) -> u32 {
    let mut sum = 0_u32;
    for part in shared_parts(&prompt.parts) {
        let tokens = tokens(salted_key(salt, part.id), part.tokens);
        sum = sum.saturating_add(tokens);
        if tokens < part.tokens {
            break;
        }
    }
    sum.min(prompt.input)
}

/// Milliseconds that an engine needs to read the unshared part of a prompt.
pub(super) fn unshared_ms(prompt: &Prompt) -> f64 {
    f64::from(prompt.input.saturating_sub(shared_tokens(prompt))) / PREFILL_TOKENS_PER_MS
}
