//! What tells whether two requests ask for the same.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of what a request asks for and for whom. It is the same where a caller asks again, whatever id
/// the request has by then and whichever daemon it comes to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The fingerprint of a workspace's request.
    ///
    /// ```
    /// use cardamomvalve::poison::Fingerprint;
    /// let asked = Fingerprint::of("lab", "POST", "/verdict/1", b"dissolved gas");
    /// assert_eq!(asked, Fingerprint::of("lab", "POST", "/verdict/1", b"dissolved gas"));
    /// assert_ne!(asked, Fingerprint::of("court", "POST", "/verdict/1", b"dissolved gas"));
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
        number.map(Self).map_err(|error| format!("{text:?} is no fingerprint: {error}"))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
