//! The trace format: JSON lines, one request each, in order of arrival.

use std::io::{BufRead, Write};

use cardamomvalve::manifest::Priority;
use cardamomvalve::prefix::{BLOCK_TOKENS, Key, Prefix};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// One level of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Level {
    /// Names the text; the same name is the same text.
    pub id: String,
    /// Its length in tokens.
    pub tokens: u32,
}

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Milliseconds from the trace's start to its arrival.
    pub at_ms: u64,
    /// Its workspace.
    pub workspace: String,
    /// Who asks, within the workspace.
    pub client: String,
    /// Its class.
    pub priority: Priority,
    /// Milliseconds within which the answer must begin.
    pub deadline_ms: u64,
    /// The prompt's levels, from the one shared most.
    pub levels: Vec<Level>,
    /// Answer tokens.
    pub answer_tokens: u32,
}

impl Request {
    /// Prompt tokens.
    pub fn tokens(&self) -> u32 {
        self.levels.iter().map(|level| level.tokens).sum()
    }

    /// The prefix that the prompt stands for. Texts are not recorded, so keys follow from names.
    pub fn prefix(&self) -> Prefix {
        let mut previous = xxh3_64(self.workspace.as_bytes());
        let mut blocks = Vec::new();
        let mut levels = Vec::new();
        for level in &self.levels {
            let seed = xxh3_64(level.id.as_bytes());
            for _ in 0..level.tokens / BLOCK_TOKENS {
                previous = xxh3_64_with_seed(&previous.to_le_bytes(), seed);
                blocks.push(Key(previous));
            }
            if levels.last() != Some(&blocks.len()) && !blocks.is_empty() {
                levels.push(blocks.len());
            }
        }
        Prefix { blocks, level_ends: levels }
    }
}

/// Reads a trace.
pub fn read(reader: impl BufRead) -> eyre::Result<Vec<Request>> {
    let mut trace = Vec::new();
    for (number, line) in reader.lines().enumerate() {
        let request: Request = serde_json::from_str(&line?)
            .map_err(|error| eyre::eyre!("line {}: {error}", number + 1))?;
        trace.push(request);
    }
    eyre::ensure!(
        trace.windows(2).all(|pair| pair[0].at_ms <= pair[1].at_ms),
        "the requests are not in order of arrival"
    );
    Ok(trace)
}

/// Writes a trace.
pub fn write(mut writer: impl Write, trace: &[Request]) -> eyre::Result<()> {
    for request in trace {
        serde_json::to_writer(&mut writer, request)?;
        writer.write_all(b"\n")?;
    }
    Ok(())
}
