//! Prefix keys, and the residency of blocks on backend servers.
//!
//! A prompt is split into blocks of [`BLOCK_BYTES`]. Each block's key is a hash of its text, seeded
//! with the key of the block before it. The chain starts from a [`root`] made of workspace, model,
//! weights version and adapter. Keys of another workspace or of older weights can never match.

mod residency;
#[cfg(test)]
mod tests;

pub use residency::{Depth, Residency};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Size of a block in bytes of prompt text; about 256 tokens.
pub const BLOCK_BYTES: usize = 1024;
/// Bytes of prompt text per token, for estimates.
pub const BYTES_PER_TOKEN: usize = 4;
/// Estimated number of tokens in a block.
pub const BLOCK_TOKENS: u32 = (BLOCK_BYTES / BYTES_PER_TOKEN) as u32;
/// Number of blocks in the first level if the caller gives no level bounds.
pub const DEFAULT_LEVEL_BLOCKS: usize = 4;

/// Key of a block and all text before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// Scope in which prompts share blocks.
#[derive(Debug, Clone, Copy)]
pub struct Scope<'a> {
    /// Workspace name.
    pub workspace: &'a str,
    /// Model name.
    pub model: &'a str,
    /// Weights version.
    pub weights: &'a str,
    /// Adapter name; empty if there is none.
    pub adapter: &'a str,
}

/// Returns the key that the chain of `scope` starts from.
///
/// ```
/// use cardamomvalve::prefix::{root, Scope};
/// let one = root(Scope { workspace: "a", model: "m", weights: "1", adapter: "" });
/// let two = root(Scope { workspace: "b", model: "m", weights: "1", adapter: "" });
/// assert_ne!(one, two);
/// ```
pub fn root(scope: Scope<'_>) -> Key {
    let mut bytes = Vec::new();
    for part in [scope.workspace, scope.model, scope.weights, scope.adapter] {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part.as_bytes());
    }
    Key(xxh3_64(&bytes))
}

/// Returns the keys of the whole blocks of `prompt`, chained from `root`.
///
/// ```
/// use cardamomvalve::prefix::{chain, Key, BLOCK_BYTES};
/// let prompt = "x".repeat(2 * BLOCK_BYTES + 1);
/// assert_eq!(chain(Key(1), prompt.as_bytes()).len(), 2);
/// ```
pub fn chain(root: Key, prompt: &[u8]) -> Vec<Key> {
    prompt
        .chunks_exact(BLOCK_BYTES)
        .scan(root, |previous, block| {
            *previous = Key(xxh3_64_with_seed(block, previous.0));
            Some(*previous)
        })
        .collect()
}

/// Prefix of one request: the keys of its blocks, and where its levels end.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prefix {
    /// Keys of the whole blocks, in order.
    pub blocks: Vec<Key>,
    /// Number of blocks up to the end of each level, ascending, each at least 1.
    pub level_ends: Vec<usize>,
}

impl Prefix {
    /// Splits `prompt` into levels at `bounds` (byte offsets, ascending), rounded down to whole
    /// blocks. If no level remains, the first [`DEFAULT_LEVEL_BLOCKS`] blocks form one.
    pub fn new(root: Key, prompt: &[u8], bounds: &[usize]) -> Self {
        let blocks = chain(root, prompt);
        let mut level_ends: Vec<usize> = bounds
            .iter()
            .map(|bound| (bound / BLOCK_BYTES).min(blocks.len()))
            .filter(|level| *level > 0)
            .collect();
        level_ends.dedup();
        if level_ends.is_empty() && !blocks.is_empty() {
            level_ends.push(DEFAULT_LEVEL_BLOCKS.min(blocks.len()));
        }
        Self { blocks, level_ends }
    }

    /// Returns the key of level `index`, counted from 0, or `None` if there is no such level.
    pub fn level_key(&self, index: usize) -> Option<Key> {
        let end = *self.level_ends.get(index)?;
        self.blocks.get(end - 1).copied()
    }
}
