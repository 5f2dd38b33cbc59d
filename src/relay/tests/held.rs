//! Tests of the bound on the memory of unfinished answers.

use super::super::held::HeldBytes;

const MEBIBYTE: usize = 1 << 20;

#[test]
fn set_answers_beyond_the_bound_fail_until_others_end() {
    let held = HeldBytes::default();
    let mut first = held.begin();
    let mut second = held.begin();
    assert!(first.set(8 * MEBIBYTE).is_ok());
    assert!(second.set(3 * MEBIBYTE).is_ok());
    assert!(second.set(5 * MEBIBYTE).is_err());
    drop(first);
    assert!(second.set(8 * MEBIBYTE).is_ok());
}

#[test]
fn set_small_answers_beside_large_ones_succeed() {
    let held = HeldBytes::default();
    let mut large = held.begin();
    assert!(large.set(13 * MEBIBYTE).is_err());
    assert!(held.begin().set(64 << 10).is_ok());
    // A larger one fails as long as the large one is held.
    assert!(held.begin().set((64 << 10) + 1).is_err());
    assert!(large.set(0).is_ok());
    assert!(held.begin().set(MEBIBYTE).is_ok());
}
