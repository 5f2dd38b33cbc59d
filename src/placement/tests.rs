//! Tests of placement: equal homes on all daemons, choice by cost, copies of hot prefixes, heat.

use quickcheck::quickcheck;
use slotmap::KeyData;

use super::*;
use crate::manifest::Objective;
use crate::membership;
use crate::prefix::{BLOCK_BYTES, Key, Prefix};
use crate::prelude::*;

fn key(number: u64) -> membership::Key {
    membership::Key::from(KeyData::from_ffi((1 << 32) | number))
}

fn candidates(count: u64) -> Vec<Candidate> {
    (0..count)
        .map(|number| Candidate {
            key: key(number),
            id_hash: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            has_free_slot: true,
            wait_ms: 0.0,
            token_ms: 0.1,
            cached_blocks: 0,
            import_ms: None,
            same_zone: true,
        })
        .collect()
}

fn prefix(seed: u64) -> Prefix {
    let prompt = vec![b'x'; 12 * BLOCK_BYTES];
    Prefix::new(Key(seed), &prompt, &[8 * BLOCK_BYTES, 12 * BLOCK_BYTES])
}

fn query(prefix: &Prefix) -> Query<'_> {
    Query {
        prefix,
        prompt_tokens: 3_072,
        objective: Objective::TimeToFirstToken,
        max_copies: 1,
        exportable_blocks: 0,
        free_only: false,
    }
}

#[test]
fn choose_cold_prefix_goes_home() {
    let servers = candidates(20);
    for seed in 0..50 {
        let prefix = prefix(seed);
        let best = choose(query(&prefix), &servers)[0];
        assert_eq!(best.rank, 0);
        // Daemons list the servers in different orders.
        let mut reversed = servers.clone();
        reversed.reverse();
        assert_eq!(choose(query(&prefix), &reversed)[0].key, best.key);
    }
}

#[test]
fn choose_hot_prefix_spreads_over_copies() {
    let servers = candidates(20);
    let prefix = prefix(1);
    let homes: BTreeSet<usize> = (0..40)
        .map(|load| {
            let mut busy = servers.clone();
            for (index, candidate) in busy.iter_mut().enumerate() {
                candidate.wait_ms = f64::from((load * 7 + index as u32 * 13) % 40 * 3);
            }
            choose(Query { max_copies: 4, ..query(&prefix) }, &busy)[0].rank
        })
        .collect();
    assert!(homes.iter().all(|rank| *rank < 4), "{homes:?}");
    assert!(homes.len() > 1, "{homes:?}");
}

#[test]
fn choose_holder_unless_it_waits_longer() {
    let prefix = prefix(1);
    let mut servers = candidates(4);
    let home = choose(query(&prefix), &servers)[0].key;
    let holder = servers
        .iter_mut()
        .find(|candidate| candidate.key != home)
        .expect("one server is not the home");
    holder.cached_blocks = 12;
    let holder = holder.key;
    assert_eq!(choose(query(&prefix), &servers)[0].key, holder);
    let wait = |servers: &mut Vec<Candidate>, ms| {
        let candidate = servers.iter_mut().find(|candidate| candidate.key == holder);
        candidate.expect("the holder is a candidate").wait_ms = ms;
    };
    wait(&mut servers, 1_000.0);
    assert_ne!(choose(query(&prefix), &servers)[0].key, holder);
    let minimise_waste = Query { objective: Objective::WastedRecomputation, ..query(&prefix) };
    wait(&mut servers, 900.0);
    assert_ne!(choose(query(&prefix), &servers)[0].key, holder);
    assert_eq!(choose(minimise_waste, &servers)[0].key, holder, "displacement costs more there");
}

#[test]
fn choose_import_cheaper_than_wait_or_compute() {
    let prefix = prefix(1);
    let mut servers = candidates(4);
    servers[1].cached_blocks = 12;
    servers[1].wait_ms = 500.0;
    for candidate in &mut servers {
        candidate.import_ms = Some(5.0);
    }
    let best = choose(query(&prefix), &servers)[0];
    assert_ne!(best.key, servers[1].key);
    assert_eq!(best.import_blocks, 12);
    assert_eq!(best.work_tokens, 600, "12 imports of 5 ms equal 600 tokens of 0.1 ms");
    // A block whose import takes longer than its computation is not imported.
    for candidate in &mut servers {
        candidate.import_ms = Some(30.0);
    }
    assert!(choose(query(&prefix), &servers).iter().all(|scored| scored.import_blocks == 0));
}

#[test]
fn choose_free_only_omits_full_servers() {
    let prefix = prefix(1);
    let mut servers = candidates(2);
    servers[0].has_free_slot = false;
    servers[1].has_free_slot = false;
    assert!(choose(Query { free_only: true, ..query(&prefix) }, &servers).is_empty());
    assert_eq!(choose(query(&prefix), &servers).len(), 2);
}

#[test]
fn heat_decays_and_is_bounded() {
    let mut heat = Heat::default();
    heat.record(Time::ZERO, Key(1), 100.0);
    let start = heat.rate(Time::ZERO, Key(1));
    let later = heat.rate(Duration::from_secs(10), Key(1));
    assert!((later / start - 0.5).abs() < 1e-9);
    for level in 0..10_000 {
        heat.record(Duration::from_secs(1), Key(level), 0.001);
    }
    assert_eq!(heat.top(Duration::from_secs(1), usize::MAX).len().max(4_096), 4_096);
    assert_eq!(heat.top(Duration::from_secs(1), 1)[0].0, Key(1), "the hottest level is kept");
}

quickcheck! {
    /// Removing a server moves only the prefixes that were placed on it.
    fn choose_server_removed_moves_only_its_prefixes(seed: u64, removed: u64) -> bool {
        let servers = candidates(10);
        let prefix = prefix(seed);
        let before = choose(query(&prefix), &servers)[0].key;
        let removed = key(removed % 10);
        let remaining: Vec<Candidate> = servers.into_iter().filter(|c| c.key != removed).collect();
        before == removed || choose(query(&prefix), &remaining)[0].key == before
    }
}
