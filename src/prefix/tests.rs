//! Tests of prefix keys and residency.

use quickcheck::quickcheck;
use slotmap::KeyData;

use super::*;
use crate::membership;
use crate::prelude::*;

fn server(number: u8) -> membership::Key {
    membership::Key::from(KeyData::from_ffi((1 << 32) | u64::from(number)))
}

#[test]
fn root_separates_parts() {
    let scope = |workspace, model| root(Scope { workspace, model, weights: "", adapter: "" });
    assert_ne!(scope("ab", "c"), scope("a", "bc"));
}

#[test]
fn chain_depends_on_previous_blocks() {
    let (one, two) = (
        [b"a".repeat(BLOCK_BYTES), b"z".repeat(BLOCK_BYTES)].concat(),
        b"z".repeat(2 * BLOCK_BYTES),
    );
    let (one, two) = (chain(Key(1), &one), chain(Key(1), &two));
    assert_ne!(one[1], two[1]);
    assert_ne!(chain(Key(2), &b"z".repeat(2 * BLOCK_BYTES))[0], two[0]);
}

#[test]
fn prefix_levels_by_bounds() {
    let prompt = vec![b'x'; 10 * BLOCK_BYTES];
    let levels = |bounds: &[usize]| Prefix::new(Key(1), &prompt, bounds).level_ends;
    assert_eq!(levels(&[]), [DEFAULT_LEVEL_BLOCKS]);
    assert_eq!(levels(&[2 * BLOCK_BYTES, 5 * BLOCK_BYTES + 1]), [2, 5]);
    assert_eq!(levels(&[1, 2]), [DEFAULT_LEVEL_BLOCKS], "bounds in the first block");
    assert_eq!(levels(&[usize::MAX]), [10]);
    assert_eq!(Prefix::new(Key(1), b"short", &[3]).level_key(0), None);
}

/// Compares residency with a model: a set of (server, block) pairs.
fn matches_model(steps: Vec<(u8, u8, u8)>) -> bool {
    let mut residency = Residency::new(100);
    let mut model: BTreeSet<(u8, u64)> = BTreeSet::new();
    for (kind, holder, block) in steps {
        let (holder, block) = (holder % 3, u64::from(block % 8));
        match kind % 5 {
            0..=2 => {
                residency.insert(server(holder), Key(block));
                model.insert((holder, block));
            }
            3 => {
                residency.remove(server(holder), Key(block));
                model.remove(&(holder, block));
            }
            _ => {
                residency.clear(server(holder));
                model.retain(|(other, _)| *other != holder);
            }
        }
        let blocks: Vec<Key> = (0..8).map(Key).collect();
        let depth = residency.depth(&blocks);
        let same = (0..3).all(|holder| {
            let held = (0..8).take_while(|block| model.contains(&(holder, *block))).count();
            depth.get(&server(holder)).copied().unwrap_or(0) == held
        });
        if !same || residency.len() != model.len() {
            return false;
        }
    }
    true
}

#[test]
fn residency_lost_events_clear_at_a_quarter() {
    let mut residency = Residency::new(100);
    for block in 0..40 {
        residency.insert(server(1), Key(block));
        residency.insert(server(2), Key(block));
    }
    for _ in 0..9 {
        residency.record_lost_events(server(1), 1);
    }
    assert_eq!(residency.len(), 80);
    assert!((residency.confidence(server(1)) - 31.0 / 40.0).abs() < 1e-9);
    assert!((residency.confidence(server(2)) - 1.0).abs() < 1e-9);
    residency.record_lost_events(server(1), 1);
    assert_eq!(residency.len(), 40, "the entries of the other server stay");
    residency.record_lost_events(server(2), u64::MAX);
    assert!(residency.is_empty());
}

#[test]
fn residency_is_bounded() {
    let mut residency = Residency::new(10);
    for block in 0..100 {
        residency.insert(server(1), Key(block));
    }
    assert_eq!(residency.len(), 10);
}

quickcheck! {
    fn residency_agrees_with_model(steps: Vec<(u8, u8, u8)>) -> bool {
        matches_model(steps)
    }

    fn chain_of_longer_prompt_extends(prompt: Vec<u8>, more: Vec<u8>) -> bool {
        let prompt = prompt.repeat(64);
        let longer = [prompt.clone(), more].concat();
        chain(Key(3), &longer).starts_with(&chain(Key(3), &prompt))
    }
}
