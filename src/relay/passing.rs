//! Answers that are held until they are complete.

use super::delivery::MAX_ANSWER_BYTES;
use super::{Answer, Cut, Response};
use crate::memory::Holding;

/// A complete answer that is held.
pub(super) struct Held {
    pub(super) response: Response,
    pub(super) body: Vec<u8>,
    /// The memory of the body.
    pub(super) _holding: Holding,
}

impl Held {
    /// Reads the body of an answer and counts it.
    pub(super) async fn read(answer: &mut Answer, holding: &Holding) -> Result<Vec<u8>, Cut> {
        let mut body = Vec::new();
        while answer.read(&mut body).await? {
            if body.len() > MAX_ANSWER_BYTES {
                return Err(Cut::TooLarge);
            }
            if holding.set(body.capacity()).is_err() {
                return Err(Cut::Full);
            }
        }
        Ok(body)
    }
}
