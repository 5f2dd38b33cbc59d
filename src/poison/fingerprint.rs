//! Identifies requests by their content.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of a request's content and workspace. A retry has the same fingerprint, whatever its
/// request id and whichever daemon receives it.
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
