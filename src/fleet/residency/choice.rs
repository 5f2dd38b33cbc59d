//! Chooses the KV store for the shared parts of a prompt, alike on every daemon.
//!
//! Load answered: more shared parts than one store holds, and more transfers than its link carries.
//! A part is usable only together with all parts before it, and an engine fetches from one holder,
//! so the last shared part chooses for the whole chain. The few parts that many prompts begin with
//! then lie in every store.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Location;
use crate::fleet::prompt::{salted_key, shared_parts};
use crate::fleet::{Digest, Node, Prompt};
use crate::prelude::*;
use crate::rendezvous;
use crate::route::{KvStore, Table};

/// The KV stores of a table that are used: all, or the first by name.
fn used_stores(table: &Table, uses_all: bool) -> impl Iterator<Item = (&str, &KvStore)> {
    table.kv_stores().take(if uses_all { usize::MAX } else { 1 })
}

/// Score of a store for a part; the highest is chosen. Stores that state their capacity keep parts in
/// proportion to it.
fn score(name: &str, store: &KvStore, part: u64) -> f64 {
    let hash = xxh3_64_with_seed(name.as_bytes(), part);
    rendezvous::score(hash, store.capacity_tokens.max(1) as f64)
}

impl Node {
    /// Returns the KV store for the shared parts of a prompt under a salt.
    pub(in crate::fleet) fn store_of(&self, prompt: &Prompt, salt: &str) -> Option<&KvStore> {
        let table = self.table.as_ref()?;
        let part = salted_key(salt, shared_parts(&prompt.parts).last()?.id);
        let stores = used_stores(table, self.policy.uses_all_kv_stores);
        let scored = stores.map(|(name, store)| (score(name, store, part), store));
        scored.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, store)| store)
    }

    /// Takes over the KV stores of the table: forgets those that are gone, and reads the events of
    /// new ones.
    pub(in crate::fleet) fn update_stores(&mut self) {
        let Some(table) = &self.table else { return };
        let stores = used_stores(table, self.policy.uses_all_kv_stores);
        let addresses: BTreeSet<SocketAddr> = stores.map(|(_, store)| store.address).collect();
        for address in self.stores.replace(&addresses) {
            self.event_schedule.insert((Time::ZERO, Location::Store(address)));
        }
        self.event_reads.retain(|location, _| match location {
            Location::Store(address) => addresses.contains(address),
            Location::Engine(_) => true,
        });
    }

    /// Refills the allowances of the links of all KV stores.
    pub(in crate::fleet) fn refill_links(&mut self, now: Time) {
        let Some(table) = &self.table else { return };
        for (_, store) in used_stores(table, self.policy.uses_all_kv_stores) {
            if let Some(state) = self.stores.get_mut(store.address) {
                state.link.refill(now, store.link_bytes_per_s);
            }
        }
    }

    /// Bytes that this daemon has moved over the link of the first KV store.
    pub(in crate::fleet) fn first_link_bytes_moved(&self) -> u64 {
        let first = self.table.as_ref().and_then(|table| table.kv_store());
        let state = first.and_then(|store| self.stores.get(store.address));
        state.map_or(0, |state| state.link.moved_bytes())
    }

    /// Bytes that this daemon has moved over the link of each KV store, if it uses all.
    pub(in crate::fleet) fn link_bytes_by_store(&self) -> BTreeMap<SocketAddr, u64> {
        let stores = self.stores.iter().filter(|_| self.policy.uses_all_kv_stores);
        stores.map(|(address, state)| (address, state.link.moved_bytes())).collect()
    }

    /// Deducts the bytes that a peer has moved since its last digest, over the first store's link
    /// or by store.
    pub(in crate::fleet) fn deduct_peer_transfers(&mut self, digest: &Digest) {
        let last = self.peers.get(&digest.daemon).and_then(|peer| peer.digest.as_ref());
        let Some(last) = last.filter(|last| last.incarnation == digest.incarnation) else { return };
        if digest.link_bytes_by_store.is_empty() {
            let first = self.table.as_ref().and_then(|table| table.kv_store());
            let moved = digest.link_bytes_moved.saturating_sub(last.link_bytes_moved);
            if let Some(state) = first.and_then(|store| self.stores.get_mut(store.address)) {
                state.link.deduct(moved);
            }
        }
        for (address, total) in &digest.link_bytes_by_store {
            // A store that the last digest lacks is new to the peer.
            let before = last.link_bytes_by_store.get(address).copied().unwrap_or_default();
            if let Some(state) = self.stores.get_mut(*address) {
                state.link.deduct(total.saturating_sub(before));
            }
        }
    }
}
