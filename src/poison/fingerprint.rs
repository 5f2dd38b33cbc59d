//! Identifies requests by their content.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Seed of the fingerprints of prompt parts, which keeps them apart from those of requests.
const PART_SEED: u64 = 0x7061_7274;

/// Hash of a request's content and workspace, or of a part of prompts. A retry has the same
/// fingerprint, whatever its request id and whichever daemon receives it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a workspace's request.
    ///
    /// ```
    /// use cardamomvalve::poison::Fingerprint;
    /// let first = Fingerprint::of("lab", "POST", "/v1/completions", b"dissolved gas");
    /// assert_eq!(first, Fingerprint::of("lab", "POST", "/v1/completions", b"dissolved gas"));
    /// assert_ne!(first, Fingerprint::of("batch", "POST", "/v1/completions", b"dissolved gas"));
    /// ```
    pub fn of(workspace: &str, method: &str, target: &str, body: &[u8]) -> Self {
        let caller = xxh3_64(workspace.as_bytes());
        let method = xxh3_64_with_seed(method.as_bytes(), caller);
        let target = xxh3_64_with_seed(target.as_bytes(), method);
        Self(xxh3_64_with_seed(body, target))
    }

    /// Returns the fingerprint of the prompt part with this hash, whichever workspaces use it.
    ///
    /// ```
    /// use cardamomvalve::poison::Fingerprint;
    /// assert_eq!(Fingerprint::of_part(7), Fingerprint::of_part(7));
    /// assert_ne!(Fingerprint::of_part(7), Fingerprint::of_part(8));
    /// ```
    pub fn of_part(part: u64) -> Self {
        Self(xxh3_64_with_seed(&part.to_le_bytes(), PART_SEED))
    }
}

impl FromStr for Fingerprint {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let number = u64::from_str_radix(text, 16);
        number.map(Self).map_err(|error| format!("invalid fingerprint {text:?}: {error}"))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
