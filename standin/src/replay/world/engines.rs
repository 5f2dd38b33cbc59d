//! Engines: attempts that are pushed, computed, generated for, and lost.

use super::*;

impl World {
    pub(super) fn push(&mut self, engine: usize, job: Job) {
        if !self.engines[engine].up {
            return self.after(APART, Event::Broken(Box::new(job)));
        }
        let chunk = self.engines[engine].push(job);
        self.schedule_chunk(engine, chunk);
    }

    pub(super) fn schedule_chunk(&mut self, engine: usize, chunk: Option<Duration>) {
        if let Some(chunk) = chunk {
            let incarnation = self.engines[engine].incarnation;
            self.after(chunk, Event::ChunkEnds(engine, incarnation));
        }
    }

    pub(super) fn chunk_ends(&mut self, engine: usize, incarnation: u64) {
        let state = &mut self.engines[engine];
        if state.incarnation != incarnation || !state.up {
            return;
        }
        if let Some(computed) = state.end_chunk() {
            let step = state.step();
            self.note_computed(engine, &computed);
            self.first_token(&computed, step);
            let length = step * computed.job.answer_tokens;
            self.after(length, Event::Finish(engine, incarnation, Box::new(computed.job)));
        }
        let chunk = self.engines[engine].next_chunk();
        self.schedule_chunk(engine, chunk);
    }

    pub(super) fn note_computed(&mut self, engine: usize, computed: &Computed) {
        let job = &computed.job;
        let cached = (computed.cached_blocks as u32 * BLOCK_TOKENS).min(job.tokens);
        self.figures.prompt_tokens += u64::from(job.tokens);
        self.figures.cached_tokens += u64::from(cached);
        let held = computed.cached_blocks + computed.imported_blocks;
        let done = job.tokens.saturating_sub(held as u32 * BLOCK_TOKENS);
        self.figures.imported_tokens += u64::from(job.tokens - cached - done);
        self.figures.computed_tokens += u64::from(done);
        self.figures.work[engine] += u64::from(done);
        let second = self.figures.seconds.entry(self.now.as_secs()).or_default();
        second.prompt_tokens += u64::from(job.tokens);
        second.cached_tokens += u64::from(cached);
        let zone = self.engines[engine].zone;
        for block in job.blocks.iter().skip(held) {
            let Some(holders) = self.holders.get(block) else {
                continue;
            };
            let mut others = holders.iter().filter(|holder| **holder != engine).peekable();
            if others.peek().is_none() {
                continue;
            }
            self.figures.wasted_anywhere_tokens += u64::from(BLOCK_TOKENS);
            if others.any(|holder| self.engines[*holder].zone == zone) {
                self.figures.wasted_tokens += u64::from(BLOCK_TOKENS);
            }
        }
        self.fold_events(engine);
    }

    /// Brings the table of who holds what up to an engine's own cache.
    pub(super) fn fold_events(&mut self, engine: usize) {
        let events = self.engines[engine].cache.events(self.event_seqs[engine]);
        self.event_seqs[engine] = self.engines[engine].cache.next_seq();
        for event in events {
            let holders = self.holders.entry(event.key()).or_default();
            match event.change {
                membership::Change::Stored => holders.insert(engine),
                membership::Change::Evicted => holders.remove(&engine),
            };
        }
    }

    pub(super) fn first_token(&mut self, computed: &Computed, step: Duration) {
        let job = &computed.job;
        let cached = computed.cached_blocks as u32 * BLOCK_TOKENS;
        if self.setup.policy == Policy::Cardamomvalve {
            let report = Report::Begun { cached_tokens: Some(cached.min(job.tokens)) };
            if self.is_current(job) {
                self.report(job.from.0, job.request, job.attempt, report);
            }
        }
        if !self.is_current(job) || std::mem::replace(&mut self.seen[job.request].begun, true) {
            return;
        }
        let request = &self.trace[job.request];
        let asked = Duration::from_secs(2) + Duration::from_millis(request.at_ms);
        let answered = self.now + step + APART + CALLER;
        let time = answered.saturating_sub(asked);
        let (priority, at_ms) = (request.priority, request.at_ms);
        if time > Duration::from_millis(request.deadline_ms) {
            *self.figures.missed.entry(priority).or_default() += 1;
        }
        self.figures.first_token(priority, at_ms, time.as_micros() as u64);
    }

    /// Whether the daemon that sent this attempt still waits for it.
    pub(super) fn is_current(&self, job: &Job) -> bool {
        let (daemon, incarnation) = job.from;
        self.daemon_up[daemon]
            && self.incarnations[daemon] == incarnation
            && self.open.get(&job.request) == Some(&(daemon, job.attempt))
    }

    pub(super) fn finished(&mut self, engine: usize, incarnation: u64, job: Job) {
        let state = &mut self.engines[engine];
        if state.incarnation != incarnation || !state.up {
            return self.broken(job);
        }
        state.running -= 1;
        let chunk = state.next_chunk();
        self.schedule_chunk(engine, chunk);
        if !self.is_current(&job) {
            return;
        }
        if self.setup.policy == Policy::Cardamomvalve {
            let ended = Report::Ended(Outcome::Complete(None));
            self.report(job.from.0, job.request, job.attempt, ended);
        }
        self.open.remove(&job.request);
        if !std::mem::replace(&mut self.seen[job.request].ended, true) {
            let request = &self.trace[job.request];
            *self.figures.served.entry(request.workspace.clone()).or_default() += demand(request);
        }
    }

    /// An attempt whose engine is gone.
    pub(super) fn broken(&mut self, job: Job) {
        if !self.is_current(&job) {
            return;
        }
        if self.setup.policy == Policy::Cardamomvalve {
            let ended = Report::Ended(Outcome::Broken("crashed".into()));
            self.report(job.from.0, job.request, job.attempt, ended);
        } else {
            self.place(job.from.0, job.request, job.attempt + 1);
        }
    }
}
