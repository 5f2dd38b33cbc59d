//! The lease on the log and the orders that its holder sends.

use super::{Effect, Node, Stream};
use crate::membership;
use crate::order::{Order, Permissions, plan};
use crate::prelude::*;

/// Time after which an order that had no effect is sent again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(30);
/// Time before versions that the manifest no longer names are unloaded, in which streams under them end.
const UNLOAD_DELAY: Duration = Duration::from_secs(60);

impl Node {
    pub(super) fn schedule_lease(&mut self, now: Time) {
        let reading = self.readings.get(&Stream::Lease).copied().unwrap_or_default();
        if !reading.up || self.draining || self.manifest_in_force().is_none() {
            return;
        }
        let candidate = self.is_first_live_daemon(now);
        if let Some(record) = self.lease.due_record(now, candidate) {
            self.effects.push(Effect::AppendLease(record.encode()));
        }
    }

    /// Sends the orders that are due, while this daemon holds the lease.
    pub(super) fn schedule_orders(&mut self, now: Time) {
        self.pending_orders.retain(|_, at| now < *at + ORDER_RETRY_INTERVAL);
        let Some(fence) = self.lease.fence(now) else { return };
        let Some(force) = self.manifest_in_force().cloned() else { return };
        let permissions = Permissions {
            allow_unfenced: self.lease.is_settled(now),
            allow_unload: self.may_unload(now, force.generation),
        };
        let busy = self.pending_orders.keys().chain(self.unreported_orders.keys());
        let busy: BTreeSet<membership::Key> = busy.copied().collect();
        for due in plan(&force.manifest, &self.membership, &busy, permissions) {
            let Some(server) = self.membership.get(due.server) else { continue };
            let (id, address) = (server.vm.id.clone(), server.vm.address);
            self.pending_orders.insert(due.server, now);
            let detail = Detail::of("server", id)
                .and("action", format!("{:?}", due.action))
                .and("fence", fence);
            self.event(Event::OrderGiven, detail);
            let order = Order { fence, action: due.action };
            self.effects.push(Effect::Order { server: due.server, address, order });
        }
    }

    /// Whether versions that the manifest in force doesn't name can be unloaded: it is the newest on the log
    /// and in force at all live peers, and the unload delay has passed.
    fn may_unload(&self, now: Time, generation: u64) -> bool {
        let reading = self.readings.get(&Stream::Manifest).copied().unwrap_or_default();
        let is_newest = reading.up && self.manifest.next() >= reading.tail;
        let in_force_everywhere =
            self.live_peers(now).all(|digest| digest.generation >= generation);
        is_newest && in_force_everywhere && now >= self.in_force_since + UNLOAD_DELAY
    }

    /// Handles the end of an order. A refused order is sent again later. After an accepted one, the engine is
    /// polled at once, since its last report would cause the order to be repeated.
    pub(super) fn order_ended(&mut self, now: Time, server: membership::Key, accepted: bool) {
        if accepted {
            self.pending_orders.remove(&server);
            if self.membership.get(server).is_some() {
                self.unreported_orders.insert(server, now);
                self.poll_now(now, server);
            }
            return;
        }
        let id = self.membership.get(server).map_or_else(String::new, |s| s.vm.id.clone());
        self.event(Event::OrderRefused, Detail::of("server", id));
    }

    pub(super) fn fold_lease(&mut self, now: Time, offset: u64, text: &str) -> Option<()> {
        let former_fence = self.lease.holder().map(|held| held.fence);
        self.lease.fold(now, offset, text)?;
        if let Some(held) = self.lease.holder()
            && former_fence != Some(held.fence)
        {
            let detail = Detail::of("holder", held.daemon.as_str()).and("fence", held.fence);
            self.event(Event::LeaseTaken, detail);
        }
        Some(())
    }
}
