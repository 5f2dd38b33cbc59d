//! Messages between daemons: digests, and snapshots for daemons that start or are behind.

use std::net::SocketAddr;

use super::node::Peer;
use super::{Effect, Node, Stream};
use crate::ledger;
use crate::manifest;
use crate::peer::{Copy, Digest, Frame, Load, Snapshot};
use crate::prelude::*;

/// Maximum number of first levels in a digest.
const MAX_DIGEST_LEVELS: usize = 32;
/// Maximum number of copies in a digest.
const MAX_DIGEST_COPIES: usize = 64;
/// Minimum time between two requests for a snapshot.
const SNAPSHOT_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

impl Node {
    pub(super) fn schedule_peers(&mut self, now: Time) {
        let listed: BTreeSet<String> = self.membership.routers().keys().cloned().collect();
        let lifetime = self.policy.digest_lifetime;
        self.copies.retain(|_, at| now.saturating_sub(*at) < lifetime);
        self.peers.retain(|id, peer| {
            listed.contains(id) || now.saturating_sub(peer.received_at) < lifetime
        });
        if now >= self.next_digest {
            self.send_digests(now);
        }
        if now >= self.next_snapshot_request && self.is_behind(now) {
            self.next_snapshot_request = now + SNAPSHOT_REQUEST_INTERVAL;
            self.request_snapshot(now);
        }
    }

    pub(super) fn peer_addresses(&self) -> Vec<(String, SocketAddr)> {
        self.membership
            .routers()
            .iter()
            .filter(|(id, _)| **id != self.identity.id)
            .map(|(id, vm)| (id.clone(), vm.address))
            .collect()
    }

    pub(super) fn send_digests(&mut self, now: Time) {
        self.next_digest = now + self.policy.digest_interval;
        let digest = self.digest(now);
        for (_, address) in self.peer_addresses() {
            self.effects.push(Effect::Send(address, Frame::Digest(digest.clone())));
        }
    }

    fn digest(&self, now: Time) -> Digest {
        let busy: BTreeMap<String, Load> = self
            .busy
            .iter()
            .filter_map(|(key, busy)| Some((self.membership.get(*key)?.vm.id.clone(), *busy)))
            .collect();
        let leaving = self
            .membership
            .iter()
            .filter(|(_, server)| server.draining)
            .map(|(_, server)| server.vm.id.clone())
            .collect();
        Digest {
            daemon: self.identity.id.clone(),
            incarnation: self.identity.incarnation,
            generation: self.generation(),
            loads: busy,
            heat: self.heat.top(now, MAX_DIGEST_LEVELS),
            copies: self.recent_copies(now),
            draining_servers: leaving,
            draining: self.draining,
            blocked: self.poison.unstored_blocks(now),
            ledger_next: self.ledger.next(),
        }
    }

    /// First levels that this daemon sent to a server within the lifetime of a digest.
    fn recent_copies(&self, now: Time) -> Vec<Copy> {
        self.copies
            .iter()
            .filter(|(_, at)| now.saturating_sub(**at) < self.policy.digest_lifetime)
            .filter_map(|((level, key), _)| {
                let server = self.membership.get(*key)?;
                let incarnation = server.incarnation.clone()?;
                Some(Copy { level: *level, server: server.vm.id.clone(), incarnation })
            })
            .take(MAX_DIGEST_COPIES)
            .collect()
    }

    /// Whether this daemon lacks the manifest in force or claims, or a live peer has a newer manifest.
    /// For claims only peers that have read more of the log are of use.
    fn is_behind(&self, now: Time) -> bool {
        let newest = self.live_peers(now).map(|digest| digest.generation).max();
        let needs_manifest = self.manifest_in_force().is_none() || newest > Some(self.generation());
        let max_ledger_next = self.live_peers(now).map(|digest| digest.ledger_next).max();
        let needs_claims = max_ledger_next.is_none_or(|next| next > self.ledger.next());
        needs_manifest || (needs_claims && !self.is_ledger_known())
    }

    pub(super) fn is_ledger_known(&self) -> bool {
        let reading = self.readings.get(&Stream::Ledger).copied().unwrap_or_default();
        reading.tail_at_start.is_some_and(|tail| self.ledger.next() >= tail)
    }

    /// Requests a snapshot from the live peer with the newest manifest that has read the most claims,
    /// or from every peer before the first digest has come.
    fn request_snapshot(&mut self, now: Time) {
        let newest = self
            .live_peers(now)
            .max_by_key(|digest| (digest.generation, digest.ledger_next))
            .map(|digest| digest.daemon.clone());
        for (id, address) in self.peer_addresses() {
            if newest.as_ref().is_none_or(|newest| *newest == id) {
                let frame = Frame::SnapshotRequest(self.identity.id.clone());
                self.effects.push(Effect::Send(address, frame));
            }
        }
    }

    pub(super) fn handle_frame(&mut self, now: Time, frame: Frame) {
        match frame {
            Frame::Digest(digest) => self.handle_digest(now, digest),
            Frame::SnapshotRequest(daemon) => self.send_snapshot(now, &daemon),
            Frame::Snapshot(snapshot) => self.merge_snapshot(now, snapshot),
            Frame::Poison(message) => self.handle_poison_message(now, message),
        }
    }

    fn handle_digest(&mut self, now: Time, digest: Digest) {
        if digest.daemon == self.identity.id {
            return;
        }
        for id in &digest.draining_servers {
            let notices = self.membership.mark_draining_by_id(id).into_iter().collect();
            self.apply_notices(now, notices);
        }
        // Only the first digest with a new generation counts, or repeats would cause a request at every tick.
        let max_peer_generation =
            self.live_peers(now).map(|digest| digest.generation).max().unwrap_or(0);
        if digest.generation > self.generation().max(max_peer_generation) {
            self.next_snapshot_request = now;
        }
        self.merge_blocks(now, &digest.blocked);
        self.peers.insert(digest.daemon.clone(), Peer { digest, received_at: now });
    }

    fn send_snapshot(&mut self, now: Time, daemon: &str) {
        let Some(vm) = self.membership.routers().get(daemon) else {
            return;
        };
        let address = vm.address;
        let snapshot = self.snapshot(now);
        self.effects.push(Effect::Send(address, Frame::Snapshot(snapshot)));
    }

    /// A snapshot of this daemon's folded state.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        let slots: Vec<(&ledger::Key, &ledger::Slot)> = self.ledger.iter().collect();
        let force = self.manifest_in_force();
        let json = |force: &Arc<manifest::Revision>| serde_json::to_string(&force.manifest).ok();
        Snapshot {
            manifest_next: self.manifest.next(),
            generation: self.generation(),
            published: force.map_or_else(String::new, |force| force.record_id.clone()),
            manifest: force.and_then(json).unwrap_or_default(),
            ledger_next: self.ledger.next(),
            ledger_time_ms: self.ledger.time_ms(),
            ledger: serde_json::to_string(&slots).unwrap_or_default(),
            blocked: self.poison.blocks(now).collect(),
        }
    }

    /// Merges the parts of a peer's snapshot that are ahead of this daemon's state.
    fn merge_snapshot(&mut self, now: Time, snapshot: Snapshot) {
        let mut merged = Vec::new();
        self.merge_blocks(now, &snapshot.blocked);
        if let Ok(manifest) = manifest::parse(snapshot.manifest.as_bytes()) {
            let force = manifest::Revision::new(snapshot.generation, snapshot.published, manifest);
            let force = Arc::new(force);
            self.has_peer_manifest |= snapshot.generation >= self.manifest.generation();
            if self.manifest.merge(snapshot.manifest_next, Some(force)) {
                merged.push("manifest");
            }
            self.apply_manifest(now);
        }
        let slots: Result<Vec<(ledger::Key, ledger::Slot)>, _> =
            serde_json::from_str(&snapshot.ledger);
        if let Ok(slots) = slots
            && snapshot.ledger_next > self.ledger.next()
        {
            let slots = slots.into_iter().collect();
            self.ledger =
                ledger::State::rebuild(snapshot.ledger_next, snapshot.ledger_time_ms, slots);
            self.resolve_claims(now);
            merged.push("ledger");
        }
        if !merged.is_empty() {
            self.event(Event::SnapshotTaken, Detail::of("state", merged.join(" and ")));
        }
    }
}
