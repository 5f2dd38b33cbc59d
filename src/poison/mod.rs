//! Requests that end the servers which run them.

mod fingerprint;

pub use fingerprint::Fingerprint;
