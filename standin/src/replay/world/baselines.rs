//! Baselines: daemons that place each request at once, by a simple rule.

use super::*;

impl World {
    /// What baselines know of load: reported every 200 ms, as late as daemons' own polls.
    pub(super) fn reports(&mut self) {
        self.after(Duration::from_millis(REPORT_LAG_MS), Event::Reports);
        let loads: Vec<u64> = self.engines.iter().map(Engine::queued_tokens).collect();
        for memory in &mut self.memories {
            memory.reported.clone_from(&loads);
        }
    }

    pub(super) fn place(&mut self, daemon: usize, index: usize, attempt: u32) {
        let mut job = self.job(daemon, index, attempt);
        let prefix = &self.prefixes[index];
        let objective = self.objective();
        let policy = self.setup.policy;
        let memory = &mut self.memories[daemon];
        let engine = place(policy, memory, &self.engines, &job, prefix, objective, &mut self.rng);
        let Some(engine) = engine else {
            return self.after(Duration::from_millis(100), Event::Arrive(index));
        };
        if policy == Policy::Oracle {
            job.import_blocks = self.best_export(engine, &job);
        }
        self.memories[daemon].reported[engine] += u64::from(job.tokens);
        self.open.insert(index, (daemon, attempt));
        self.after(CALLER + APART, Event::Push(engine, Box::new(job)));
    }

    /// Leading blocks that the oracle has imported from the engine that holds most.
    fn best_export(&mut self, engine: usize, job: &Job) -> usize {
        let depth = |index: &usize| self.engines[*index].cache.cached_prefix_blocks(&job.blocks);
        let Some(holder) = (0..ENGINES).max_by_key(depth) else { return 0 };
        if depth(&holder) <= depth(&engine) {
            return 0;
        }
        self.engines[holder].export(&job.blocks)
    }
}
