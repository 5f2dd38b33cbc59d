//! Requests on their way to a server: claim, queue, placement.

use super::{Node, Stream};
use crate::admission::{self, Entry, Full};
use crate::attempt::{self, Arrival, Command, Dispatch, Import, Phase, Refusal, Request, Target};
use crate::ledger::{self, Found, Step};
use crate::membership;
use crate::prelude::*;

/// Waiting requests that are looked at for a free server, at most.
const MAX_SCAN: usize = 32;
/// The part of the time to its deadline that a request is held for a better, full server.
const HOLD_PART: u32 = 4;

/// Where a request goes, and what it costs there.
#[derive(Debug, Clone, Copy)]
struct Choice {
    server: membership::Key,
    /// Prompt tokens that the work until the first token is worth.
    pending_tokens: u32,
    /// Leading blocks to have after an import; 0 for none.
    import_blocks: usize,
}

impl Node {
    pub(super) fn arrive(&mut self, now: Time, arrival: Arrival) {
        self.counts.arrived += 1;
        self.budget.earn();
        let request = arrival.request;
        let claim = arrival.claim.clone();
        if self.manifest.force().is_none() {
            return self.command(request, Command::Refuse(Code::NoManifest.into()));
        }
        let phase = if claim.is_some() { Phase::Claiming } else { Phase::Waiting };
        self.requests.insert(request, Request::new(arrival, now, phase));
        match claim {
            Some(ask) => self.claim(now, request, &ask),
            None => self.admit(now, request),
        }
    }

    fn claim(&mut self, now: Time, request: attempt::Key, ask: &ledger::Ask) {
        if self.ledger.get(&ask.key).is_some() {
            return self.answer_known(now, request);
        }
        let reading = self.readings.get(&Stream::Ledger).copied().unwrap_or_default();
        if !reading.up {
            return self.refuse(now, request, Code::LogUnavailable);
        }
        if reading.tail_at_start.is_none_or(|tail| self.ledger.next() < tail) {
            return self.refuse(now, request, Code::LedgerBehind);
        }
        if reading.retention_s < ask.window_s {
            let detail = format!(
                "the log keeps records for {} s, the window is {} s",
                reading.retention_s, ask.window_s
            );
            return self.refuse(now, request, Error::new(Code::LogUnavailable, detail));
        }
        let id = self.pending.claim(request, ask);
        self.claims.insert(request, id);
    }

    /// Answers a keyed request from what the ledger knows of its key.
    fn answer_known(&mut self, now: Time, request: attempt::Key) {
        let Some(ask) = self.requests.get(&request).and_then(|r| r.arrival.claim.clone()) else {
            return;
        };
        let Some(slot) = self.ledger.get(&ask.key) else {
            return;
        };
        if slot.digest != ask.digest {
            return self.refuse(now, request, Code::KeyReused);
        }
        let found = match self.pending.receipt(&ask.key) {
            Some(receipt) => Found::Done(receipt.clone()),
            None => slot.found.clone(),
        };
        match &found {
            Found::Done(receipt) if receipt.body.is_some() => {
                let receipt = receipt.clone();
                self.counts.finished += 1;
                self.command(request, Command::Replay(receipt));
                self.forget(now, request);
            }
            Found::Done(_) => self.refuse(now, request, Code::ReceiptNotKept),
            Found::Lost => self.refuse(now, request, Code::KeyOutcomeUnknown),
            Found::Claimed => {
                let claimant = slot.claim.clone();
                let running = self.is_running(now, &claimant);
                let code = if running { Code::KeyInProgress } else { Code::KeyOutcomeUnknown };
                self.refuse(now, request, code);
            }
        }
    }

    /// Whether the incarnation that made the claim still runs, as far as is known.
    fn is_running(&self, now: Time, claim: &ledger::ClaimId) -> bool {
        if self.pending.is_own(claim) {
            return true;
        }
        self.fresh_peers(now)
            .any(|digest| digest.daemon == claim.daemon && digest.incarnation == claim.incarnation)
    }

    pub(super) fn ledger_steps(&mut self, now: Time, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Won(request) => self.claimed(now, request),
                Step::Lost(request) => self.answer_known(now, request),
                Step::Unclaimed(request) => self.refuse(now, request, Code::LogUnavailable),
                Step::Released => self.event(Event::ClaimReleased, String::new()),
            }
        }
    }

    fn claimed(&mut self, now: Time, request: attempt::Key) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.phase = Phase::Waiting;
        self.admit(now, request);
    }

    /// Puts a request in its pool's queue, or refuses it at once.
    pub(super) fn admit(&mut self, now: Time, request: attempt::Key) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        let arrival = &state.arrival;
        let pool = arrival.pool.clone();
        let entry = Entry {
            request,
            priority: arrival.priority,
            workspace: arrival.workspace.clone(),
            share: arrival.share,
            cost: arrival.tokens.saturating_add(arrival.max_tokens).max(1),
            deadline: arrival.deadline,
            again: state.attempts > 0,
        };
        if entry.deadline <= now {
            return self.release_and_refuse(now, request, Code::DeadlinePassed.into());
        }
        let Some(limits) = self.pool_limits(&pool) else {
            return self.release_and_refuse(now, request, Code::NoServer.into());
        };
        let servers = self.usable(now, request).count();
        if servers == 0 {
            return self.release_and_refuse(now, request, Code::NoServer.into());
        }
        let hold_ms = self.paces.entry(pool.clone()).or_default().hold_ms;
        let queue = self.queues.entry(pool.clone()).or_default();
        let slots = servers as f64 * f64::from(limits.max_in_flight);
        let wait_ms = queue.ahead(entry.priority) as f64 * hold_ms / slots;
        let left_ms = (entry.deadline - now).as_secs_f64() * 1_000.0;
        if wait_ms > left_ms {
            let mut refusal = Refusal::from(Code::DeadlineUnreachable);
            refusal.retry_after = admission::whole_seconds(wait_ms - left_ms);
            return self.release_and_refuse(now, request, refusal);
        }
        match queue.push(entry, limits.max_waiting as usize) {
            Ok(None) => {}
            Ok(Some(displaced)) => {
                self.release_and_refuse(now, displaced, queue_full(wait_ms));
            }
            Err(Full) => return self.release_and_refuse(now, request, queue_full(wait_ms)),
        }
        self.pump(now, &pool);
    }

    fn pool_limits(&self, pool: &str) -> Option<crate::manifest::Pool> {
        self.manifest.force()?.manifest.pools.get(pool).cloned()
    }

    /// Refuses a request, and releases its claim if no attempt of it may have run.
    pub(super) fn release_and_refuse(
        &mut self,
        now: Time,
        request: attempt::Key,
        refusal: Refusal,
    ) {
        self.settle_claim(request, None);
        self.refuse(now, request, refusal);
    }

    /// Notes on the ledger what came of a claimed request that ends now.
    pub(super) fn settle_claim(&mut self, request: attempt::Key, receipt: Option<ledger::Receipt>) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        if state.phase == Phase::Claiming {
            return;
        }
        let maybe_ran = state.maybe_ran;
        let Some(key) = state.arrival.claim.as_ref().map(|ask| ask.key.clone()) else {
            return;
        };
        let Some(id) = self.claims.remove(&request) else {
            return;
        };
        self.pending.note(match receipt {
            Some(receipt) => ledger::Entry::Outcome { id, key, receipt },
            None if maybe_ran => ledger::Entry::Lost { id, key },
            None => ledger::Entry::Release { id, key },
        });
    }

    /// Sends waiting requests of `pool` to servers with free slots, in the queue's order.
    pub(super) fn pump(&mut self, now: Time, pool: &str) {
        loop {
            let Some(queue) = self.queues.get(pool) else {
                return;
            };
            let waiting: Vec<attempt::Key> =
                queue.iter().take(MAX_SCAN).map(|entry| entry.request).collect();
            let placed = waiting.into_iter().find_map(|request| {
                let choice = self.place(now, request)?;
                Some((request, choice))
            });
            let Some((request, choice)) = placed else { return };
            if let Some(queue) = self.queues.get_mut(pool) {
                queue.take(request);
            }
            self.dispatch(now, request, choice);
        }
    }

    /// The server for a waiting request; `None` while every fitting one is full, or a full one is
    /// worth waiting for.
    fn place(&self, now: Time, request: attempt::Key) -> Option<Choice> {
        let state = self.requests.get(&request)?;
        if let Some((server, _)) = &state.stream
            && self.holds_stream(now, state)
        {
            return Some(Choice { server: *server, pending_tokens: 0, import_blocks: 0 });
        }
        let left = state.arrival.deadline.saturating_sub(state.since);
        let free_only = now >= state.since + left / HOLD_PART;
        let scored = self.score(now, request, free_only);
        let best = scored.first().filter(|scored| scored.free)?;
        Some(Choice {
            server: best.key,
            pending_tokens: best.work_tokens,
            import_blocks: best.import_blocks,
        })
    }

    /// Whether the server that holds the request's broken stream can resume it.
    fn holds_stream(&self, now: Time, state: &Request) -> bool {
        let Some((key, incarnation)) = &state.stream else {
            return false;
        };
        self.membership.get(*key).is_some_and(|server| {
            server.is_reachable() && server.incarnation == *incarnation && server.is_usable(now)
        })
    }

    /// Where `server` is to import the first `blocks` blocks from: the holder that is least busy.
    fn import(
        &self,
        now: Time,
        state: &Request,
        server: membership::Key,
        blocks: usize,
    ) -> Option<Import> {
        if blocks == 0 {
            return None;
        }
        let depth = self.depth(now, &state.arrival.prefix);
        let holders = depth
            .iter()
            .filter(|(key, held)| **held >= blocks && **key != server)
            .filter_map(|(key, _)| Some((*key, self.membership.get(*key)?)))
            .filter(|(_, holder)| holder.is_reachable());
        let (_, holder) = holders.min_by_key(|(key, holder)| {
            let busy = self.fleet_busy(now, *key, &holder.vm.id);
            (busy.pending_tokens, holder.load.queued_tokens, holder.vm.id.clone())
        })?;
        let incarnation = holder.incarnation.clone()?;
        Some(Import { address: holder.vm.address, incarnation, blocks })
    }

    fn dispatch(&mut self, now: Time, request: attempt::Key, choice: Choice) {
        let Choice { server, pending_tokens, import_blocks } = choice;
        let Some(state) = self.requests.get(&request) else { return };
        let import = self.import(now, state, server, import_blocks);
        let resume = self.holds_stream(now, state);
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
        let level = state.arrival.prefix.level(0);
        self.note_work(now, server, pending_tokens, &blocks, level);
        self.command(request, Command::Dispatch(dispatch));
    }

    pub(super) fn expire_requests(&mut self, now: Time) {
        let expired: Vec<attempt::Key> =
            self.queues.values_mut().flat_map(|queue| queue.expire(now)).collect();
        for request in expired {
            let ran = self.requests.get(&request).filter(|state| state.maybe_ran);
            let code = ran.map_or(Code::DeadlinePassed, attempt::lost);
            self.release_and_refuse(now, request, code.into());
        }
        let claim_timeout = self.policy.claim_timeout;
        let stuck: Vec<attempt::Key> = self
            .requests
            .iter()
            .filter(|(_, state)| state.phase == Phase::Claiming)
            .filter(|(_, state)| now >= state.arrival.deadline.min(state.since + claim_timeout))
            .map(|(request, _)| *request)
            .collect();
        for request in stuck {
            self.event(Event::ClaimAbandoned, String::new());
            self.refuse(now, request, Code::LogUnavailable);
        }
    }
}

fn queue_full(wait_ms: f64) -> Refusal {
    Refusal { retry_after: admission::whole_seconds(wait_ms), ..Code::QueueFull.into() }
}
