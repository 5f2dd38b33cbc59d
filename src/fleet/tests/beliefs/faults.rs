//! Faults, and changes by operators and servers.

use super::*;

impl World {
    pub(super) fn random_vms(&mut self) -> Vec<usize> {
        let all = self.vms.len();
        let count = match self.rng.u32(0..10) {
            0 => all,
            1..=4 => 1,
            _ => self.rng.usize(1..=all.div_ceil(3)),
        };
        let mut vms: Vec<usize> = (0..all).collect();
        self.rng.shuffle(&mut vms);
        vms.truncate(count);
        vms
    }

    /// Starts a random fault; several can last at a time.
    pub(super) fn inject_faults(&mut self) {
        if self.now < self.next_change_at[0] {
            return;
        }
        self.next_change_at[0] = self.now + ms(self.rng.u64(300..3_500));
        let until = self.now + ms(self.rng.u64(300..5_000));
        let vms = self.random_vms();
        let fault = match self.rng.u32(0..9) {
            0 => return self.kill_daemons(&vms),
            1 | 2 => {
                for vm in vms {
                    self.vms[vm].frozen_until = until;
                }
                return;
            }
            3 => Fault::Store(Access::Slow(ms(1_400))),
            4 => Fault::Store(Access::Refused),
            5 => Fault::Store(Access::Silent),
            6 => Fault::Lossy,
            7 => Fault::Late,
            _ => {
                for topic in Topic::ALL {
                    self.store.compact(topic);
                }
                return;
            }
        };
        // Half of the store faults affect all VMs.
        let all = matches!(fault, Fault::Store(_)) && self.rng.bool();
        let vms = if all { (0..self.vms.len()).collect() } else { vms };
        self.faults.extend(vms.into_iter().map(|vm| (until, vm, fault)));
    }

    pub(super) fn kill_daemons(&mut self, vms: &[usize]) {
        for vm in vms {
            let restart_at = self.now + ms(self.rng.u64(20..800));
            let vm = &mut self.vms[*vm];
            (vm.daemon, vm.starts_at, vm.frozen_until) = (None, restart_at, Time::ZERO);
        }
    }

    /// Returns whether the store serves any VM; operators and servers write only then.
    pub(super) fn is_store_reachable(&self) -> bool {
        (0..self.vms.len()).any(|vm| !matches!(self.access(vm), Access::Silent | Access::Refused))
    }

    pub(super) fn access(&self, vm: usize) -> Access {
        let severity = |access: &Access| match access {
            Access::Open => 0,
            Access::Slow(_) => 1,
            Access::Refused => 2,
            Access::Silent => 3,
        };
        let accesses = self.faults.iter().filter_map(|(_, faulty, fault)| match fault {
            Fault::Store(access) if *faulty == vm => Some(*access),
            _ => None,
        });
        accesses.max_by_key(severity).unwrap_or(Access::Open)
    }

    pub(super) fn has_fault(&self, vm: usize, fault: Fault) -> bool {
        self.faults.iter().any(|(_, faulty, active)| *faulty == vm && *active == fault)
    }

    /// Makes the due changes by operators and servers; some kill daemons at the same moment.
    pub(super) fn change_state(&mut self) {
        if !self.is_store_reachable() {
            return;
        }
        if self.now >= self.next_change_at[1] {
            self.next_change_at[1] = self.now + ms(self.rng.u64(400..4_000));
            match self.rng.u32(0..3) {
                0 => self.publish_table(),
                1 => self.name_weights(),
                _ => {
                    self.publish_table();
                    self.name_weights();
                }
            }
            self.maybe_kill_daemons();
        }
        if self.now >= self.next_change_at[2] {
            self.next_change_at[2] = self.now + ms(self.rng.u64(500..3_000));
            self.change_server();
            self.maybe_kill_daemons();
        }
        if self.now >= self.next_change_at[3] {
            self.next_change_at[3] = self.now + ms(self.rng.u64(1_000..5_000));
            self.change_block();
            self.maybe_kill_daemons();
        }
    }

    pub(super) fn maybe_kill_daemons(&mut self) {
        if self.rng.u32(0..4) == 0 {
            let vms = self.random_vms();
            self.kill_daemons(&vms);
        }
    }

    pub(super) fn publish_table(&mut self) {
        self.table_version += self.rng.u64(1..4);
        let text = format!("table {}", self.table_version);
        self.store.append(self.now, Topic::Operator, "config", &text);
        self.table_versions.push((self.table_version, self.now));
    }

    pub(super) fn name_weights(&mut self) {
        let version = self.weights_versions.last().map_or(1, |(version, _)| version + 1);
        self.store.append(self.now, Topic::Operator, "version/m", &format!("weights {version}"));
        self.weights_versions.push((version, self.now));
    }

    pub(super) fn change_server(&mut self) {
        let (now, restart_at) = (self.now, self.now + ms(self.rng.u64(300..4_000)));
        let index = self.rng.usize(0..self.servers.len());
        let newest = self.weights_versions.last().map_or(1, |(version, _)| *version);
        let kind = self.rng.u32(0..3);
        let Some(server) =
            self.servers.get_mut(index).filter(|server| server.is_up && !server.draining)
        else {
            return;
        };
        match kind {
            // The server drains and another one replaces it.
            0 => {
                server.draining = true;
                self.store.append(now, Topic::Servers, &server.id, &server.value());
                let id = format!("{}+", server.id);
                let (last_octet, is_engine) = (server.last_octet, server.is_engine);
                (server.expires_at, server.starts_at) = (Some(restart_at), Time::MAX);
                self.servers.push(Backend {
                    id,
                    is_engine,
                    last_octet,
                    started_ms: now.as_millis() as u64,
                    version: newest,
                    draining: false,
                    is_up: false,
                    starts_at: restart_at + ms(100),
                    register_at: None,
                    expires_at: None,
                    loading: None,
                    sequence: 0,
                    fence: 0,
                });
            }
            _ => {
                (server.is_up, server.loading) = (false, None);
                (server.starts_at, server.expires_at) = (restart_at, Some(now + REGISTRATION_TTL));
            }
        }
    }

    pub(super) fn change_block(&mut self) {
        let stored = self
            .blocks
            .iter()
            .find(|(_, block)| block.stored_at.is_some() && block.removed_at.is_none());
        if let Some((block, _)) = stored.filter(|_| self.rng.bool()) {
            let block = *block;
            self.store.append(self.now, Topic::Routers, &format!("blocked-{block}"), "");
            self.blocks.entry(block).and_modify(|block| block.removed_at = Some(self.now));
            return;
        }
        let schedules = |vm: &usize| {
            let node = self.vms[*vm].daemon.as_ref().map(|daemon| &daemon.node);
            node.is_some_and(|node| node.is_scheduler(self.now)) && self.is_recovered(*vm)
        };
        let Some(vm) = (0..self.vms.len()).find(schedules) else { return };
        let fingerprint = Fingerprint(1_000 + self.sequence);
        let interruptions = (1..=3).map(|server| Interruption {
            fingerprint,
            parts: Vec::new(),
            incarnation: Incarnation { server: self.sequence * 10 + server, start: Some(1) },
            pool: 1,
            servers: 100,
            run_time: ms(50),
            age: ms(0),
            ran_alone: false,
        });
        let message = crate::poison::Message::Interruptions(interruptions.collect());
        let detected_by = (vm, self.vms[vm].incarnation);
        let block = Block { created_at: self.now, detected_by, stored_at: None, removed_at: None };
        self.blocks.insert(fingerprint.0, block);
        self.apply(vm, Message::Frame(Frame::Poison(message)));
    }
}
