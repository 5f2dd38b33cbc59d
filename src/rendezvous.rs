//! Weighted rendezvous hashing: a key selects the candidate with the highest score, each with a
//! probability in proportion to its weight.
//!
//! A candidate that is added, removed or weighted anew moves only the keys that it gains or loses.

/// Bits of a hash that a fraction represents exactly, with a half added to keep it above zero.
const FRACTION_BITS: u32 = 52;

/// Score of a candidate for a key, from the hash of both. Equal weights rank as the hashes do, but
/// for hashes that differ in their lowest bits alone.
///
/// ```
/// use cardamomvalve::rendezvous::score;
/// assert!(score(7 << 60, 1.0) < score(8 << 60, 1.0));
/// assert!(score(7 << 60, 2.0) > score(8 << 60, 1.0));
/// ```
pub fn score(hash: u64, weight: f64) -> f64 {
    let fraction =
        ((hash >> (u64::BITS - FRACTION_BITS)) as f64 + 0.5) / (1_u64 << FRACTION_BITS) as f64;
    -weight / fraction.ln()
}
