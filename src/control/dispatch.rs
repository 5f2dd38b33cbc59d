//! Dispatch of waiting requests: choice of the next request, its server and its import.

use super::Node;
use crate::attempt::{self, Command, Dispatch, Import, Phase, Request, Target};
use crate::membership;
use crate::prelude::*;

/// Maximum number of waiting requests that are checked for a free server.
const MAX_SCANNED_REQUESTS: usize = 32;
/// A request waits for a better, full server for at most the time to its deadline divided by this.
const HOLD_DEADLINE_DIVISOR: u32 = 4;

/// Server chosen for a request, with the work it causes there.
#[derive(Debug, Clone, Copy)]
struct Placement {
    server: membership::Key,
    /// Work until the first token, in prompt tokens.
    pending_tokens: u32,
    /// Leading blocks that the server holds after an import; 0 for no import.
    import_blocks: usize,
}

impl Node {
    /// Sends waiting requests of `pool` to servers with free slots, in queue order.
    pub(super) fn dispatch_waiting(&mut self, now: Time, pool: &str) {
        loop {
            let Some(queue) = self.queues.get(pool) else {
                return;
            };
            let waiting: Vec<attempt::Key> =
                queue.iter().take(MAX_SCANNED_REQUESTS).map(|entry| entry.request).collect();
            let chosen = waiting.into_iter().find_map(|request| {
                let placement = self.place(now, request)?;
                Some((request, placement))
            });
            let Some((request, placement)) = chosen else { return };
            if let Some(queue) = self.queues.get_mut(pool) {
                queue.dequeue(request);
            }
            self.dispatch(now, request, placement);
        }
    }

    /// Chooses the server for a waiting request. `None` while all eligible servers are full or a
    /// full one is worth waiting for.
    fn place(&self, now: Time, request: attempt::Key) -> Option<Placement> {
        let state = self.requests.get(&request)?;
        if let Some((server, _)) = &state.stream_holder
            && self.can_resume_stream(now, state)
        {
            return Some(Placement { server: *server, pending_tokens: 0, import_blocks: 0 });
        }
        let time_left = state.arrival.deadline.saturating_sub(state.arrived_at);
        let free_only = now >= state.arrived_at + time_left / HOLD_DEADLINE_DIVISOR;
        let scored = self.score_candidates(now, request, free_only);
        let best = scored.first().filter(|scored| scored.has_free_slot)?;
        Some(Placement {
            server: best.key,
            pending_tokens: best.work_tokens,
            import_blocks: best.import_blocks,
        })
    }

    /// Whether the server that holds the request's broken stream can resume it.
    fn can_resume_stream(&self, now: Time, state: &Request) -> bool {
        let Some((key, incarnation)) = &state.stream_holder else {
            return false;
        };
        self.membership.get(*key).is_some_and(|server| {
            server.is_reachable() && server.incarnation == *incarnation && server.is_usable(now)
        })
    }

    /// Chooses the least loaded holder from which `server` imports the first `blocks` blocks.
    fn choose_import(
        &self,
        now: Time,
        state: &Request,
        server: membership::Key,
        blocks: usize,
    ) -> Option<Import> {
        if blocks == 0 {
            return None;
        }
        let depth = self.cached_depth(now, &state.arrival.prefix);
        let holders = depth
            .iter()
            .filter(|(key, depth)| **depth >= blocks && **key != server)
            .filter_map(|(key, _)| Some((*key, self.membership.get(*key)?)))
            .filter(|(_, holder)| holder.is_reachable());
        let (_, holder) = holders.min_by_key(|(key, holder)| {
            let busy = self.total_load(now, *key, &holder.vm.id);
            (busy.pending_tokens, holder.load.queued_tokens, holder.vm.id.clone())
        })?;
        let incarnation = holder.incarnation.clone()?;
        Some(Import { address: holder.vm.address, incarnation, blocks })
    }

    fn dispatch(&mut self, now: Time, request: attempt::Key, placement: Placement) {
        let Placement { server, pending_tokens, import_blocks } = placement;
        let Some(state) = self.requests.get(&request) else { return };
        let import = self.choose_import(now, state, server, import_blocks);
        let resume = self.can_resume_stream(now, state);
        let Some(target) = self.membership.get(server) else {
            return;
        };
        let (id, address) = (target.vm.id.clone(), target.vm.address);
        let incarnation = target.incarnation.clone();
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.attempts += 1;
        state.phase = Phase::Sent { server, at: now, pending_tokens, begun: false };
        let deadline = match state.begun {
            false => state.arrival.deadline,
            true => Time::MAX,
        };
        let dispatch = Dispatch {
            attempt: state.attempts,
            server,
            id,
            address,
            incarnation,
            resume,
            import,
            deadline,
        };
        let blocks = match (&state.arrival.target, state.begun) {
            (Target::Model { .. }, false) => state.arrival.prefix.blocks.clone(),
            _ => Vec::new(),
        };
        let level = state.arrival.prefix.level_key(0);
        self.record_dispatch(now, server, pending_tokens, &blocks, level);
        self.command(request, Command::Dispatch(dispatch));
    }
}
