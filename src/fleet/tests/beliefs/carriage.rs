//! Transport in the model: the store, frames, orders and requests.

use super::*;

impl World {
    pub(super) fn run_servers(&mut self) {
        let (now, is_store_reachable) = (self.now, self.is_store_reachable());
        let newest = self.weights_versions.last().map_or(1, |(version, _)| *version);
        for server in &mut self.servers {
            if !server.is_up && now >= server.starts_at {
                (server.is_up, server.starts_at) = (true, Time::MAX);
                server.started_ms = now.as_millis() as u64;
                (server.sequence, server.fence, server.version) = (0, 0, newest);
                (server.register_at, server.expires_at) = (Some(now), None);
            }
            if let Some((at, version)) = server.loading
                && now >= at
            {
                (server.loading, server.version) = (None, version);
                server.register_at = Some(now + ms(300));
            }
            if !is_store_reachable {
                continue;
            }
            if server.expires_at.is_some_and(|at| now >= at) {
                self.store.append(now, Topic::Servers, &server.id, "");
                (server.expires_at, server.is_up) = (None, false);
            }
            if server.is_up && server.register_at.is_some_and(|at| now >= at) {
                server.register_at = None;
                self.store.append(now, Topic::Servers, &server.id, &server.value());
            }
        }
    }

    /// Applies the appends that have reached the store.
    pub(super) fn apply_appends(&mut self) {
        let is_store_reachable = self.is_store_reachable();
        while let Some(first) = self.appends.first_entry().filter(|first| first.key().0 <= self.now)
        {
            let append = first.remove();
            match append {
                _ if !is_store_reachable => {}
                Append::Lease(text) => self.store.lease.push(text),
                Append::Record(topic, key, value) => {
                    self.store.append(self.now, topic, &key, &value);
                    if let Some(text) = key.strip_prefix("blocked-") {
                        self.note_block_write(text, !value.is_empty());
                    }
                }
            }
        }
    }

    /// Records that a daemon's write stored or removed a block.
    pub(super) fn note_block_write(&mut self, text: &str, stored: bool) {
        let fingerprint: u64 = text.parse().expect("the key of a block ends with its fingerprint");
        let Some(block) = self.blocks.get_mut(&fingerprint) else { return };
        match stored {
            true if block.removed_at.is_some() => {
                // Allowed for a write in transit at the removal, or by a daemon that has not learnt of it.
                let violation = format!("block {fingerprint} was written again after its removal");
                if block.removed_at.is_some_and(|at| self.now > at + MAX_OWN_TOPIC_PROPAGATION) {
                    self.violations.entry(Invariant::Block).or_insert(violation);
                }
                (block.removed_at, block.stored_at) = (None, Some(self.now));
            }
            true => _ = block.stored_at.get_or_insert(self.now),
            false => block.removed_at = Some(self.now),
        }
    }

    pub(super) fn deliver_due(&mut self) {
        let mut later = Vec::new();
        while let Some(first) =
            self.in_transit.first_entry().filter(|first| first.key().0 <= self.now)
        {
            let (vm, incarnation, payload) = first.remove();
            if self.vms[vm].incarnation != incarnation || self.vms[vm].daemon.is_none() {
                continue;
            }
            if self.now < self.vms[vm].frozen_until {
                later.push((vm, incarnation, payload));
                continue;
            }
            let message = match payload {
                Payload::Frame(bytes) => {
                    Message::Frame(Frame::decode(&bytes).expect("an encoded frame can be decoded"))
                }
                Payload::Message(message) => *message,
            };
            self.apply(vm, message);
        }
        for (vm, incarnation, payload) in later {
            let at = self.vms[vm].frozen_until + ms(self.rng.u64(1..60));
            self.sequence += 1;
            self.in_transit.insert((at, self.sequence), (vm, incarnation, payload));
        }
    }

    pub(super) fn enqueue(&mut self, vm: usize, delay: Duration, payload: Payload) {
        self.sequence += 1;
        let incarnation = self.vms[vm].incarnation;
        self.in_transit.insert((self.now + delay, self.sequence), (vm, incarnation, payload));
    }

    /// Starts a VM's daemon, runs its ticks and reads, and registers it.
    pub(super) fn run_vm(&mut self, vm: usize) {
        let now = self.now;
        if now < self.vms[vm].frozen_until {
            self.vms[vm].cut_at = now;
            return;
        }
        if self.vms[vm].daemon.is_none() && now >= self.vms[vm].starts_at {
            self.start_daemon(vm);
        }
        let access = self.access(vm);
        let (lossy, late) = (self.has_fault(vm, Fault::Lossy), self.has_fault(vm, Fault::Late));
        let this = &mut self.vms[vm];
        match access {
            Access::Refused | Access::Silent => this.cut_at = now,
            _ if lossy => this.cut_at = now,
            Access::Slow(_) => this.slowed_at = now,
            Access::Open if late => this.slowed_at = now,
            Access::Open => {}
        }
        if this.daemon.is_none() {
            return;
        }
        if now >= this.next_tick {
            self.apply(vm, Message::Tick);
            let needs_fast_ticks = self.node(vm).is_some_and(Node::needs_fast_ticks);
            self.vms[vm].next_tick = now + if needs_fast_ticks { STEP } else { IDLE_TICK_INTERVAL };
        }
        for watch in 0..self.vms[vm].watches.len() {
            let this = &mut self.vms[vm];
            let Some(daemon) = &this.daemon else { return };
            let (node, rng) = (&daemon.node, &mut self.rng);
            if let Some(message) = this.watches[watch].step(now, node, &self.store, access, rng) {
                self.apply(vm, message);
            }
        }
        let open = matches!(access, Access::Open | Access::Slow(_));
        if open && self.vms[vm].register_at.take_if(|at| now >= *at).is_some() {
            let last = vm + 1;
            let (key, value) = (format!("router-{last}"), format!("router {last}"));
            self.store.append(now, Topic::Routers, &key, &value);
        }
    }

    pub(super) fn start_daemon(&mut self, vm: usize) {
        let seeds = [address(1), address(2), address(self.vms.len() as u8)];
        let this = &mut self.vms[vm];
        this.incarnation += 1;
        let incarnation = this.incarnation * 1_000 + vm as u64;
        this.daemon = Some(Daemon::started(vm as u8 + 1, incarnation, &seeds));
        this.watches = Dependency::ALL.into_iter().map(Watch::new).collect();
        (this.started_at, this.next_tick, this.table) = (self.now, self.now, 0);
        (this.register_at, this.cut_at, this.slowed_at) = (Some(self.now), Time::ZERO, Time::ZERO);
    }

    pub(super) fn node(&self, vm: usize) -> Option<&Node> {
        Some(&self.vms[vm].daemon.as_ref()?.node)
    }

    pub(super) fn apply(&mut self, vm: usize, message: Message) {
        let now = self.now;
        let Some(daemon) = &mut self.vms[vm].daemon else { return };
        let effects = daemon.node.apply(now, message);
        self.execute_effects(vm, effects);
    }

    pub(super) fn execute_effects(&mut self, vm: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, frame) => self.send(vm, &to, &frame),
                Effect::Command(key, Command::Dispatch(dispatch)) => {
                    self.handle_dispatch(vm, key, &dispatch)
                }
                Effect::Table(table) => {
                    if table.version() <= self.vms[vm].table {
                        self.report_violation(
                            vm,
                            Invariant::Table,
                            format!("table {} after {}", table.version(), self.vms[vm].table),
                        );
                    }
                    self.vms[vm].table = table.version();
                }
                Effect::AppendLease(text) => self.append(vm, Append::Lease(text)),
                Effect::WriteBlock(block, age) => {
                    let value =
                        if age.is_some() { format!("blocked {}", block.0) } else { String::new() };
                    let key = format!("blocked-{}", block.0);
                    self.append(vm, Append::Record(Topic::Routers, key, value));
                }
                Effect::Order { server, id, version, fence, expected_sequence, .. } => {
                    let end = self.handle_order(&id, version, fence, expected_sequence);
                    self.enqueue(
                        vm,
                        ms(10),
                        Payload::from_message(Message::OrderEnded(server, end)),
                    );
                }
                Effect::Poll(server, id, _) => {
                    let found = self.servers.iter().find(|server| server.id == id && server.is_up);
                    let state = found.map(|server| State {
                        weights: BTreeMap::from([("m".into(), server.version)]),
                        is_leaving: false,
                        busy: server.loading.is_some(),
                        sequence: server.sequence,
                        born: server.started_ms,
                    });
                    self.enqueue(vm, ms(10), Payload::from_message(Message::Polled(server, state)));
                }
                Effect::Probe(incarnation, at) => {
                    let up = self.servers.iter().any(|s| s.is_up && address(s.last_octet) == at);
                    let answer = if up { Answer::Accepted } else { Answer::Refused };
                    self.enqueue(
                        vm,
                        ms(5),
                        Payload::from_message(Message::Probed(incarnation, answer)),
                    );
                }
                Effect::ProbePath(server, at) => {
                    let up = self.servers.iter().any(|s| s.is_up && address(s.last_octet) == at);
                    let connect = if up { Connect::Accepted } else { Connect::Failed };
                    let message = Message::PathProbed(server, connect);
                    self.enqueue(vm, ms(5), Payload::from_message(message));
                }
                Effect::Command(..)
                | Effect::ReadEvents { .. }
                | Effect::Disconnect(_)
                | Effect::Event(..) => {}
            }
        }
    }

    pub(super) fn append(&mut self, vm: usize, append: Append) {
        let max_delay_ms = match self.access(vm) {
            Access::Open => 20,
            Access::Slow(_) => 1_400,
            // Some appends still reach the store, late.
            Access::Silent if self.rng.u32(0..10) == 0 => 6_000,
            Access::Refused | Access::Silent => return,
        };
        self.sequence += 1;
        let at = self.now + ms(self.rng.u64(2..max_delay_ms));
        self.appends.insert((at, self.sequence), append);
    }

    pub(super) fn send(&mut self, from: usize, to: &[SocketAddr], frame: &Frame) {
        let bytes = frame.encode();
        for to in to {
            let Some(to) = (0..self.vms.len()).find(|vm| address(*vm as u8 + 1) == *to) else {
                continue;
            };
            let lossy = self.has_fault(from, Fault::Lossy) || self.has_fault(to, Fault::Lossy);
            if self.vms[to].daemon.is_none() || lossy && self.rng.u32(0..10) < 4 {
                continue;
            }
            let late = self.has_fault(to, Fault::Late);
            let times = if late && self.rng.u32(0..4) == 0 { 2 } else { 1 };
            for _ in 0..times {
                let max_delay_ms = if late { 3_000 } else { 10 };
                let delay = ms(self.rng.u64(1..max_delay_ms));
                self.enqueue(to, delay, Payload::Frame(bytes.clone()));
            }
        }
    }

    pub(super) fn handle_order(
        &mut self,
        id: &str,
        version: u64,
        fence: u64,
        expected_sequence: u64,
    ) -> OrderEnd {
        let at = self.now + ms(self.rng.u64(450..700));
        let found = self.servers.iter_mut().find(|server| server.id == id && server.is_up);
        let Some(server) = found else { return OrderEnd::Unknown };
        if fence < server.fence {
            return OrderEnd::Fenced;
        }
        server.fence = fence;
        if server.version >= version {
            return OrderEnd::Held;
        }
        if server.loading.is_some() || server.sequence != expected_sequence {
            return OrderEnd::Conflict;
        }
        server.sequence += 1;
        server.loading = Some((at, version));
        OrderEnd::Accepted
    }

    /// Sends a request to a random daemon if it is ready.
    pub(super) fn send_request(&mut self) {
        let vm = self.rng.usize(0..self.vms.len());
        let is_awake = self.now >= self.vms[vm].frozen_until;
        if self.rng.bool() || !is_awake || !self.node(vm).is_some_and(Node::is_ready) {
            return;
        }
        let pool = if self.rng.bool() { "engines" } else { "plain" };
        let subject = self.rng.u64(0..20);
        let prompt = (pool == "engines").then(|| prompt(7, subject));
        let now = self.now;
        let Some(daemon) = &mut self.vms[vm].daemon else { return };
        let (_, effects) = daemon.arrive(now, &route(pool, Repeat::Resumable, 2), prompt);
        self.execute_effects(vm, effects);
    }

    /// Checks that the server of a dispatch was allowed as far as known, and schedules its reports.
    pub(super) fn handle_dispatch(&mut self, vm: usize, request: Key, dispatch: &Dispatch) {
        self.dispatch_count += 1;
        if self.is_up_to_date(vm) {
            if let Some(version) = dispatch.weights_version {
                self.check_weights_age(vm, version, "sends a request to weights");
            }
            let known = self.store.newest(Topic::Servers);
            let known_drain = known.get(dispatch.server.as_str()).filter(|(at, record)| {
                let value = record.value.as_deref().map(String::from_utf8_lossy);
                self.now > *at + MAX_PROPAGATION
                    && value.is_some_and(|value| value.contains("draining"))
            });
            if known_drain.is_some() && !self.is_slowed(vm) {
                self.report_violation(
                    vm,
                    Invariant::Server,
                    format!("a request is sent to {}, which is draining", dispatch.server),
                );
            }
        }
        let server = self.servers.iter().find(|server| server.id == dispatch.server);
        let mut reports = Vec::new();
        match server.filter(|server| server.is_up) {
            None => reports.push((ms(10), Report::Unsent)),
            Some(server) if server.draining || server.loading.is_some() => {
                reports.push((ms(10), Report::Refused(Refusal::Busy)));
            }
            Some(server)
                if dispatch.weights_version.is_some_and(|weights| weights != server.version) =>
            {
                let weights = Refusal::WrongWeights(Some(server.version));
                reports.push((ms(10), Report::Refused(weights)));
            }
            Some(_) => {
                reports.push((ms(40), Report::Begun(dispatch.weights_version)));
                reports.push((ms(160), Report::Ended));
            }
        }
        for (delay, report) in reports {
            let attempt = dispatch.attempt;
            self.enqueue(
                vm,
                delay,
                Payload::from_message(Message::Report { request, attempt, report }),
            );
        }
    }
}
