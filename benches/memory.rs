//! Memory per entry: each benchmark builds a table of a given number of entries. Its `max alloc`
//! divided by that number is the memory of one entry.

use cardamomvalve::ledger::{Batch, ClaimId, Entry, Key as LedgerKey, Receipt, State};
use cardamomvalve::manifest::sha256_hex;
use cardamomvalve::prefix::{Key, Residency};
use divan::{AllocProfiler, Bencher};

#[global_allocator]
static ALLOC: AllocProfiler = AllocProfiler::system();

fn main() {
    divan::main();
}

/// Builds a residency of distinct blocks, each held by one server.
#[divan::bench(args = [10_000, 100_000, 1_000_000], sample_count = 3, sample_size = 1)]
fn hold_residency(bencher: Bencher, entries: u64) {
    bencher.bench_local(|| {
        let mut residency = Residency::new(usize::MAX);
        let holder = |block: u64| slotmap::KeyData::from_ffi((1 << 32) | (1 + block % 20)).into();
        for block in 0..entries {
            residency.insert(holder(block), Key(block.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        }
        residency
    });
}

fn ledger(keys: u64, body_bytes: usize) -> State {
    let mut state = State::default();
    for number in 0..keys {
        let id = ClaimId { daemon: "router-0".into(), incarnation: 1, sequence: number };
        let key = LedgerKey {
            workspace: "workspace-0".into(),
            service: "pay".into(),
            key: format!("key-{number:020}"),
        };
        let receipt = Receipt {
            status: 200,
            content_type: "application/json".into(),
            body: Some("x".repeat(body_bytes)),
        };
        let entries = vec![
            Entry::Claim {
                id: id.clone(),
                key: key.clone(),
                digest: sha256_hex(&number.to_le_bytes()),
                window_s: 86_400,
            },
            Entry::Outcome { id, key, receipt },
        ];
        state.fold(number, 0, &Batch::new(entries).encode());
    }
    state
}

/// Builds a ledger of keys with receipts whose bodies have 200 bytes.
#[divan::bench(args = [1_000, 10_000, 100_000], sample_count = 3, sample_size = 1)]
fn hold_ledger(bencher: Bencher, keys: u64) {
    bencher.bench_local(|| ledger(keys, 200));
}
