//! Tests of the fold over arbitrary records, and of the limit on abandoned claims.

use quickcheck::quickcheck;

use super::*;

fn key(number: u8) -> Key {
    Key { workspace: "w".into(), service: "s".into(), key: number.to_string() }
}

fn id(number: u8) -> ClaimId {
    ClaimId { daemon: "router-0".into(), incarnation: 1, sequence: number.into() }
}

/// Builds an entry of one of four kinds, for one of three keys and four claims.
fn entry(kind: u8, which: u8, claim: u8) -> Entry {
    let (id, key) = (id(claim % 4), key(which % 3));
    match kind % 4 {
        0 => Entry::Claim { id, key, digest: "d".into(), window_s: 10 },
        1 => {
            let receipt = Receipt { status: 200, content_type: String::new(), body: None };
            Entry::Outcome { id, key, receipt }
        }
        2 => Entry::Lost { id, key },
        _ => Entry::Release { id, key },
    }
}

#[test]
fn abandon_is_bounded() {
    let mut pending = Pending::new("router-0".into(), 1);
    for number in 0..20_000 {
        let request = crate::attempt::Key(number);
        pending.claim(request, &Proposal { key: key(0), digest: "d".into(), window_s: 10 });
        // An append that may have succeeded makes the claim impossible to withdraw.
        let now = std::time::Duration::from_secs(number);
        let (append, _) =
            pending.next_append(now).expect("the queued claim must be due for append");
        pending.append_failed(now, append, true);
        pending.abandon(request);
    }
    assert_eq!(pending.abandoned.len(), super::pending::MAX_ABANDONED_CLAIMS);
}

quickcheck! {
    fn fold_any_text(texts: Vec<String>) -> bool {
        let mut state = State::default();
        let folded: Vec<bool> = texts
            .iter()
            .enumerate()
            .map(|(offset, text)| state.fold(offset as u64, 0, text).is_some())
            .collect();
        state.next() == texts.len() as u64 && state.is_empty() && !folded.contains(&true)
    }

    /// A done key keeps its receipt until its window ends.
    fn fold_done_stays_done(entries: Vec<(u8, u8, u8)>) -> bool {
        let mut state = State::default();
        let mut done: std::collections::BTreeMap<Key, Slot> = std::collections::BTreeMap::new();
        entries.iter().enumerate().all(|(offset, (kind, which, claim))| {
            state.fold(offset as u64, 0, &Batch::new(vec![entry(*kind, *which, *claim)]).encode());
            let kept = done.iter().all(|(key, slot)| state.get(key) == Some(slot));
            for (key, slot) in state.iter().filter(|(_, s)| matches!(s.status, Status::Done(_))) {
                done.insert(key.clone(), slot.clone());
            }
            kept
        })
    }

    /// A state rebuilt from slots folds further records like the original.
    fn rebuild_folds_like_original(before: Vec<(u8, u8, u8)>, after: Vec<(u8, u8, u8)>) -> bool {
        let mut state = State::default();
        let record = |entries: &[(u8, u8, u8)]| {
            Batch::new(entries.iter().map(|(k, w, c)| entry(*k, *w, *c)).collect()).encode()
        };
        state.fold(0, 1_000, &record(&before));
        let slots = state.iter().map(|(key, slot)| (key.clone(), slot.clone())).collect();
        let mut rebuilt = State::rebuild(state.next(), state.time_ms(), slots);
        for state in [&mut state, &mut rebuilt] {
            state.fold(1, 9_000, &record(&after));
            state.fold(2, 30_000, &record(&before));
        }
        state == rebuilt
    }
}
