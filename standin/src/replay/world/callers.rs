//! Callers: requests that arrive, are refused, or are asked again.

use super::*;

impl World {
    pub(super) fn arrive(&mut self, index: usize) {
        // The platform's balancer sends callers to daemons that are ready.
        let ready: Vec<usize> = (0..DAEMONS).filter(|daemon| self.is_ready(*daemon)).collect();
        if ready.is_empty() {
            return self.after(CALLER, Event::Arrive(index));
        }
        let daemon = ready[self.rng.usize(0..ready.len())];
        if self.setup.policy == Policy::Cardamomvalve {
            let message = Message::Arrive(Box::new(self.arrival(index)));
            self.after(
                CALLER,
                Event::Deliver(daemon, self.incarnations[daemon], Box::new(message)),
            );
            self.open.insert(index, (daemon, 0));
        } else {
            self.place(daemon, index, 1);
        }
    }

    fn is_ready(&self, daemon: usize) -> bool {
        let decides = self.setup.policy == Policy::Cardamomvalve;
        self.daemon_up[daemon] && (!decides || self.nodes[daemon].is_ready())
    }

    /// Asks again on another daemon: the one that had the request is gone.
    pub(super) fn arrive_again(&mut self, index: usize) {
        if !self.seen[index].ended {
            self.after(CALLER, Event::Arrive(index));
        }
    }

    pub(super) fn objective(&self) -> Objective {
        match self.setup.kind {
            Kind::Isolanova => Objective::WastedRecomputation,
            Kind::Mulgrave | Kind::BreakingStory => Objective::TimeToFirstToken,
        }
    }

    pub(super) fn arrival(&self, index: usize) -> Arrival {
        let request = &self.trace[index];
        Arrival {
            request: attempt::Key(index as u64),
            workspace: request.workspace.clone(),
            share: 1,
            target: Target::Model {
                model: "m".into(),
                weights: "v1".into(),
                objective: self.objective(),
                salt: Key(0),
            },
            pool: "model".into(),
            priority: request.priority,
            deadline: self.now + CALLER + Duration::from_millis(request.deadline_ms),
            prefix: self.prefixes[index].clone(),
            prompt_tokens: request.tokens(),
            max_tokens: request.answer_tokens,
            idempotent: true,
            fingerprint: cardamomvalve::poison::Fingerprint(index as u64),
            claim: None,
        }
    }

    pub(super) fn refused(&mut self, index: usize) {
        if std::mem::replace(&mut self.seen[index].ended, true) {
            return;
        }
        let request = &self.trace[index];
        *self.figures.refused.entry(request.priority).or_default() += 1;
        if !self.seen[index].begun {
            *self.figures.missed.entry(request.priority).or_default() += 1;
        }
        let asked_at = Duration::from_secs(2) + Duration::from_millis(request.at_ms);
        let passed_ms = (self.now - asked_at).as_secs_f64() * 1_000.0;
        let left_ms = request.deadline_ms as f64 - passed_ms;
        let best_ms = self.best_possible_ms(index);
        if best_ms.is_none_or(|best| best > left_ms) {
            self.figures.refused_rightly += 1;
        }
    }

    /// Milliseconds in which the best engine could begin the answer, known exactly.
    pub(super) fn best_possible_ms(&self, index: usize) -> Option<f64> {
        let request = &self.trace[index];
        let blocks = &self.prefixes[index].blocks;
        self.engines
            .iter()
            .filter(|engine| engine.up)
            .map(|engine| {
                let cached = engine.cache.cached_prefix_blocks(blocks) as u32 * BLOCK_TOKENS;
                let tokens = request.tokens().saturating_sub(cached);
                engine.wait_ms(request.priority) + f64::from(tokens) * TOKEN_US as f64 / 1_000.0
            })
            .min_by(f64::total_cmp)
    }
}
