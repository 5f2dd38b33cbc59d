//! What must hold of each daemon that has no excuse.

use super::*;

impl World {
    pub(super) fn is_slowed(&self, vm: usize) -> bool {
        self.now < self.vms[vm].slowed_at + CALM
    }

    /// Whether a daemon says that it is ready, and nothing kept it from knowing what is true since it has
    /// been calm, or since its start.
    pub(super) fn is_steady(&self, vm: usize) -> bool {
        let ready = self.node(vm).is_some_and(Node::is_ready);
        let this = &self.vms[vm];
        ready && (this.cut_at == Time::ZERO || self.now >= this.cut_at + CALM)
    }

    /// Whether a daemon has run for some time without trouble.
    pub(super) fn is_calm(&self, vm: usize) -> bool {
        let this = &self.vms[vm];
        this.daemon.is_some()
            && self.now >= this.started.max(this.cut_at).max(this.slowed_at) + CALM
    }

    pub(super) fn wrong(&mut self, vm: usize, belief: Belief, what: String) {
        let this = &self.vms[vm];
        let ago = |at: Time| self.now.saturating_sub(at).as_millis();
        let text = format!(
            "{} daemons, seed {}, at {} ms: router-{}, started {} ms ago, cut off {} ms ago: {what}",
            self.vms.len(),
            self.seed,
            self.now.as_millis(),
            vm + 1,
            ago(this.started),
            ago(this.cut_at),
        );
        self.wrong.entry(belief).or_insert(text);
    }

    /// Notes where work may begin, or is sent, on weights that are past the limit.
    pub(super) fn check_begin(&mut self, vm: usize, version: u64, what: &str) {
        let newer = self.named.iter().find(|(named, _)| *named > version);
        let Some((newer, at)) = newer.copied() else { return };
        let age = self.now.saturating_sub(at);
        if age > POLICY.weights_limit {
            let age = age.as_millis();
            self.wrong(
                vm,
                Belief::Weights,
                format!("{what} version {version}, {age} ms after {newer} was named"),
            );
        }
    }

    pub(super) fn check(&mut self) {
        for vm in 0..self.vms.len() {
            if self.now < self.vms[vm].frozen_until {
                continue;
            }
            if self.is_steady(vm) {
                self.check_weights(vm);
            }
            if self.is_calm(vm) || self.is_steady(vm) && !self.is_slowed(vm) {
                self.checked += 1;
                self.check_table(vm);
                self.check_servers(vm);
            }
            if self.is_calm(vm) {
                self.check_blocks(vm);
                if !self.node(vm).is_some_and(Node::is_ready) {
                    self.wrong(vm, Belief::Ready, "it is not ready".into());
                }
            }
        }
        self.check_budget();
        self.check_lease();
    }

    pub(super) fn check_weights(&mut self, vm: usize) {
        let versions: BTreeSet<u64> = self.servers.iter().map(|server| server.version).collect();
        for version in versions {
            let may = |node: &Node| node.is_version_allowed(self.now, "m", version);
            if self.node(vm).is_some_and(may) {
                self.check_begin(vm, version, "may begin on");
            }
        }
    }

    pub(super) fn check_table(&mut self, vm: usize) {
        let due = self.configured.iter().rev().find(|(_, at)| self.now > *at + NEWS);
        let version = due.map_or(0, |(version, _)| *version);
        if self.vms[vm].table < version {
            self.wrong(vm, Belief::Table, format!("table {}, not {version}", self.vms[vm].table));
        }
    }

    pub(super) fn check_servers(&mut self, vm: usize) {
        let Some(node) = self.node(vm) else { return };
        let mut wrong = Vec::new();
        for (id, (at, record)) in self.store.newest(Topic::Servers) {
            let known = node.incarnations.registered(id).and_then(|key| node.servers.get(key));
            let value = record.value.as_deref().map(String::from_utf8_lossy);
            match (value, known) {
                (None, Some(_)) if self.now > at + RETURN + NEWS => {
                    wrong.push(format!("{id} is gone, and is known"));
                }
                (Some(_), None) if self.now > at + NEWS => {
                    wrong.push(format!("{id} is registered, and is not known"));
                }
                (Some(value), Some(known)) if self.now > at + NEWS => {
                    let leaving = value.contains("draining");
                    if leaving != known.entry.draining {
                        wrong.push(format!("{id}: leaving {}", known.entry.draining));
                    }
                }
                _ => {}
            }
        }
        for what in wrong {
            self.wrong(vm, Belief::Server, what);
        }
    }

    pub(super) fn check_blocks(&mut self, vm: usize) {
        let Some(node) = self.node(vm) else { return };
        let mut wrong = Vec::new();
        for (fingerprint, block) in &self.blocks {
            let is_blocked = node.poison.is_blocked(Fingerprint(*fingerprint));
            let long_ago = |at: Time| self.now > at + OWN_NEWS;
            match (block.kept_at, block.gone_at) {
                (_, Some(at)) if long_ago(at) && is_blocked => {
                    wrong.push(format!("{fingerprint} is blocked, which was taken away"));
                }
                (Some(at), None) if long_ago(at) && !is_blocked => {
                    wrong.push(format!("{fingerprint} is not blocked"));
                }
                (None, None) if long_ago(block.made_at) && !is_blocked => {
                    let (by, incarnation) = block.by;
                    if self.vms[by].incarnation == incarnation && self.is_calm(by) {
                        wrong.push(format!("{fingerprint} is not blocked, but at a peer"));
                    }
                }
                _ => {}
            }
        }
        for what in wrong {
            self.wrong(vm, Belief::Block, what);
        }
    }

    /// Daemons that say that they are ready take no more than the whole of the retry budget together.
    pub(super) fn check_budget(&mut self) {
        let steady: Vec<usize> = (0..self.vms.len()).filter(|vm| self.is_steady(*vm)).collect();
        let left = |vm: &usize| {
            Some(Budget::default().remaining(self.now, self.node(*vm)?.retry_terms(self.now)) as f64)
        };
        let taken: f64 = steady.iter().filter_map(left).sum();
        if let Some(first) = steady.first().filter(|_| taken > POLICY.retry_slack) {
            self.wrong(
                *first,
                Belief::Budget,
                format!("{taken} of {} repeats are taken", POLICY.retry_slack),
            );
        }
        for vm in steady {
            let Some(node) = self.node(vm) else { continue };
            let known = node.daemon_count();
            if node.known_topics.contains(&Topic::Routers) && known < self.vms.len() {
                self.wrong(
                    vm,
                    Belief::Budget,
                    format!("{known} daemons are known to share the budget"),
                );
            }
        }
    }

    pub(super) fn check_lease(&mut self) {
        let fence = |vm: &usize| Some((*vm, self.node(*vm)?.lease.fence(self.now)?));
        let holders: Vec<(usize, u64)> = (0..self.vms.len()).filter_map(|vm| fence(&vm)).collect();
        let Some((vm, fence)) = holders.first().copied() else { return };
        if holders.len() > 1 || fence < self.highest_fence {
            self.wrong(
                vm,
                Belief::Lease,
                format!("{holders:?} hold the lease, after {}", self.highest_fence),
            );
        }
        self.highest_fence = self.highest_fence.max(fence);
    }
}
