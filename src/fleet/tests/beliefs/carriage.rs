//! What carries it: the store, frames, orders and requests.

use super::*;

impl World {
    pub(super) fn run_servers(&mut self) {
        let (now, is_open) = (self.now, self.is_open());
        let newest = self.named.last().map_or(1, |(version, _)| *version);
        for server in &mut self.servers {
            if !server.is_up && now >= server.starts_at {
                (server.is_up, server.starts_at) = (true, Time::MAX);
                server.born = now.as_millis() as u64;
                (server.sequence, server.fence, server.version) = (0, 0, newest);
                (server.register_at, server.lapses_at) = (Some(now), None);
            }
            if let Some((at, version)) = server.loads
                && now >= at
            {
                (server.loads, server.version) = (None, version);
                server.register_at = Some(now + ms(300));
            }
            if !is_open {
                continue;
            }
            if server.lapses_at.is_some_and(|at| now >= at) {
                self.store.append(now, Topic::Servers, &server.id, "");
                (server.lapses_at, server.is_up) = (None, false);
            }
            if server.is_up && server.register_at.is_some_and(|at| now >= at) {
                server.register_at = None;
                self.store.append(now, Topic::Servers, &server.id, &server.value());
            }
        }
    }

    /// Appends reach the store.
    pub(super) fn land(&mut self) {
        let is_open = self.is_open();
        while let Some(first) = self.appends.first_entry().filter(|first| first.key().0 <= self.now)
        {
            let append = first.remove();
            match append {
                _ if !is_open => {}
                Append::Lease(text) => self.store.lease.push(text),
                Append::Record(topic, key, value) => {
                    self.store.append(self.now, topic, &key, &value);
                    if let Some(text) = key.strip_prefix("blocked-") {
                        self.note_written(text, !value.is_empty());
                    }
                }
            }
        }
    }

    /// A daemon's write of a block counts like anybody's.
    pub(super) fn note_written(&mut self, text: &str, kept: bool) {
        let fingerprint: u64 = text.parse().expect("daemons write numbers");
        let Some(block) = self.blocks.get_mut(&fingerprint) else { return };
        match kept {
            true if block.gone_at.is_some() => {
                // It was under way when the block was taken away, or comes from who had not heard of that.
                let of = format!("block {fingerprint} was written again after it was taken away");
                if block.gone_at.is_some_and(|at| self.now > at + OWN_NEWS) {
                    self.wrong.entry(Belief::Block).or_insert(of);
                }
                (block.gone_at, block.kept_at) = (None, Some(self.now));
            }
            true => _ = block.kept_at.get_or_insert(self.now),
            false => block.gone_at = Some(self.now),
        }
    }

    pub(super) fn deliver(&mut self) {
        let mut later = Vec::new();
        while let Some(first) = self.post.first_entry().filter(|first| first.key().0 <= self.now) {
            let (vm, incarnation, post) = first.remove();
            if self.vms[vm].incarnation != incarnation || self.vms[vm].daemon.is_none() {
                continue;
            }
            if self.now < self.vms[vm].frozen_until {
                later.push((vm, incarnation, post));
                continue;
            }
            let message = match post {
                Post::Frame(bytes) => {
                    Message::Frame(Frame::decode(&bytes).expect("it was encoded"))
                }
                Post::Message(message) => *message,
            };
            self.apply(vm, message);
        }
        for (vm, incarnation, post) in later {
            let at = self.vms[vm].frozen_until + ms(self.rng.u64(1..60));
            self.sent += 1;
            self.post.insert((at, self.sent), (vm, incarnation, post));
        }
    }

    pub(super) fn mail(&mut self, vm: usize, delay: Duration, post: Post) {
        self.sent += 1;
        let incarnation = self.vms[vm].incarnation;
        self.post.insert((self.now + delay, self.sent), (vm, incarnation, post));
    }

    /// A process starts, ticks, reads, and registers.
    pub(super) fn run(&mut self, vm: usize) {
        let now = self.now;
        if now < self.vms[vm].frozen_until {
            self.vms[vm].cut_at = now;
            return;
        }
        if self.vms[vm].daemon.is_none() && now >= self.vms[vm].starts_at {
            self.start(vm);
        }
        let access = self.access(vm);
        let (lossy, late) = (self.has(vm, Fault::Lossy), self.has(vm, Fault::Late));
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
            let pressed = self.node(vm).is_some_and(Node::needs_fast_ticks);
            self.vms[vm].next_tick = now + if pressed { STEP } else { QUIET_TICK };
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

    pub(super) fn start(&mut self, vm: usize) {
        let seeds = [address(1), address(2), address(self.vms.len() as u8)];
        let this = &mut self.vms[vm];
        this.incarnation += 1;
        let incarnation = this.incarnation * 1_000 + vm as u64;
        this.daemon = Some(Daemon::started(vm as u8 + 1, incarnation, &seeds));
        this.watches = Dependency::ALL.into_iter().map(Watch::new).collect();
        (this.started, this.next_tick, this.table) = (self.now, self.now, 0);
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
                    self.dispatched(vm, key, &dispatch)
                }
                Effect::Table(table) => {
                    if table.version() <= self.vms[vm].table {
                        self.wrong(
                            vm,
                            Belief::Table,
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
                Effect::Order { server, id, version, fence, expected_sequence: expect, .. } => {
                    let end = self.order(&id, version, fence, expect);
                    self.mail(vm, ms(10), Post::of(Message::OrderEnded(server, end)));
                }
                Effect::Poll(server, id, _) => {
                    let found = self.servers.iter().find(|server| server.id == id && server.is_up);
                    let state = found.map(|server| State {
                        weights: BTreeMap::from([("m".into(), server.version)]),
                        busy: server.loads.is_some(),
                        sequence: server.sequence,
                        born: server.born,
                    });
                    self.mail(vm, ms(10), Post::of(Message::Polled(server, state)));
                }
                Effect::Probe(victim, at) => {
                    let up = self.servers.iter().any(|s| s.is_up && address(s.last) == at);
                    let answer = if up { Answer::Accepted } else { Answer::Refused };
                    self.mail(vm, ms(5), Post::of(Message::Probed(victim, answer)));
                }
                Effect::Command(..)
                | Effect::ReadEvents { .. }
                | Effect::Disconnect(_)
                | Effect::Event(..) => {}
            }
        }
    }

    pub(super) fn append(&mut self, vm: usize, append: Append) {
        let most = match self.access(vm) {
            Access::Open => 20,
            Access::Slow(_) => 1_400,
            // It may land all the same, late.
            Access::Silent if self.rng.u32(0..10) == 0 => 6_000,
            Access::Refused | Access::Silent => return,
        };
        self.sent += 1;
        let at = self.now + ms(self.rng.u64(2..most));
        self.appends.insert((at, self.sent), append);
    }

    pub(super) fn send(&mut self, from: usize, to: &[SocketAddr], frame: &Frame) {
        let bytes = frame.encode();
        for to in to {
            let Some(to) = (0..self.vms.len()).find(|vm| address(*vm as u8 + 1) == *to) else {
                continue;
            };
            let lossy = self.has(from, Fault::Lossy) || self.has(to, Fault::Lossy);
            if self.vms[to].daemon.is_none() || lossy && self.rng.u32(0..10) < 4 {
                continue;
            }
            let late = self.has(to, Fault::Late);
            let times = if late && self.rng.u32(0..4) == 0 { 2 } else { 1 };
            for _ in 0..times {
                let most = if late { 3_000 } else { 10 };
                let delay = ms(self.rng.u64(1..most));
                self.mail(to, delay, Post::Frame(bytes.clone()));
            }
        }
    }

    pub(super) fn order(&mut self, id: &str, version: u64, fence: u64, expect: u64) -> OrderEnd {
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
        if server.loads.is_some() || server.sequence != expect {
            return OrderEnd::Conflict;
        }
        server.sequence += 1;
        server.loads = Some((at, version));
        OrderEnd::Accepted
    }

    /// Callers ask, at any daemon that says that it is ready.
    pub(super) fn ask(&mut self) {
        let vm = self.rng.usize(0..self.vms.len());
        let awake = self.now >= self.vms[vm].frozen_until;
        if self.rng.bool() || !awake || !self.node(vm).is_some_and(Node::is_ready) {
            return;
        }
        let pool = if self.rng.bool() { "engines" } else { "plain" };
        let subject = self.rng.u64(0..20);
        let wanted = (pool == "engines").then(|| prompt(7, subject));
        let now = self.now;
        let Some(daemon) = &mut self.vms[vm].daemon else { return };
        let (_, effects) = daemon.arrive(now, &route(pool, Repeat::Resumable, 2), wanted);
        self.execute_effects(vm, effects);
    }

    /// A daemon sends a request to a server: one that it may still go to, as far as that could be known.
    pub(super) fn dispatched(&mut self, vm: usize, request: Key, dispatch: &Dispatch) {
        self.sends += 1;
        if self.is_steady(vm) {
            if let Some(version) = dispatch.weights_version {
                self.check_begin(vm, version, "is sent to");
            }
            let known = self.store.newest(Topic::Servers);
            let left = known.get(dispatch.server.as_str()).filter(|(at, record)| {
                let value = record.value.as_deref().map(String::from_utf8_lossy);
                self.now > *at + NEWS && value.is_some_and(|value| value.contains("draining"))
            });
            if left.is_some() && !self.is_slowed(vm) {
                self.wrong(
                    vm,
                    Belief::Server,
                    format!("a request is sent to {}, which leaves", dispatch.server),
                );
            }
        }
        let server = self.servers.iter().find(|server| server.id == dispatch.server);
        let mut reports = Vec::new();
        match server.filter(|server| server.is_up) {
            None => reports.push((ms(10), Report::Unsent)),
            Some(server) if server.leaving || server.loads.is_some() => {
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
            self.mail(vm, delay, Post::of(Message::Report { request, attempt, report }));
        }
    }
}
