//! Bound on the memory of unfinished answers and events, over all requests of a daemon.

use std::sync::atomic::{AtomicUsize, Ordering};

use super::Cut;

/// Number of bytes that each answer may hold whatever others hold.
const FREE_BYTES: usize = 64 << 10;
/// Maximum number of bytes that all answers hold beyond that. A buffer that grows may take twice its content.
const MAX_SHARED_BYTES: usize = 12 << 20;

/// Number of bytes that all unfinished answers of a daemon hold beyond their free ones.
#[derive(Debug, Default)]
pub(super) struct HeldBytes(AtomicUsize);

impl HeldBytes {
    /// Begins to count the bytes of one answer.
    pub(super) fn begin(&self) -> Holding<'_> {
        Holding { shared: &self.0, counted: 0 }
    }
}

/// The share of one answer in the bytes that are held, which ends when it is dropped.
#[derive(Debug)]
pub(super) struct Holding<'a> {
    shared: &'a AtomicUsize,
    counted: usize,
}

impl Holding<'_> {
    /// Sets the number of bytes that the answer holds. Fails if all answers together hold too many; then this one has
    /// to end.
    pub(super) fn set(&mut self, bytes: usize) -> Result<(), Cut> {
        let counted = bytes.saturating_sub(FREE_BYTES);
        if counted <= self.counted {
            self.shared.fetch_sub(self.counted - counted, Ordering::AcqRel);
            self.counted = counted;
            return Ok(());
        }
        let added = counted - self.counted;
        let before = self.shared.fetch_add(added, Ordering::AcqRel);
        self.counted = counted;
        if before + added > MAX_SHARED_BYTES { Err(Cut::TooLarge) } else { Ok(()) }
    }
}

impl Drop for Holding<'_> {
    fn drop(&mut self) {
        self.shared.fetch_sub(self.counted, Ordering::AcqRel);
    }
}
