//! Daemons: the real nodes and what they are told, and the platform around them.

use super::*;

impl World {
    pub(super) fn tell(&mut self, index: usize, message: Message) {
        let effects = self.nodes[index].apply(self.now, message);
        for effect in effects {
            self.take(index, effect);
        }
    }

    pub(super) fn take(&mut self, index: usize, effect: Effect) {
        let incarnation = self.incarnations[index];
        match effect {
            Effect::Command(request, command) => {
                self.command(index, request.0 as usize, *command);
            }
            Effect::Poll { server, address, from } => {
                let engine = usize::from(address.port()) - 200;
                self.after(APART, Event::Poll(index, incarnation, server, engine, from));
            }
            Effect::Send(address, frame) => {
                let peer = usize::from(address.port()) - 100;
                self.figures.frames.0 += 1;
                self.figures.frames.1 += frame.clone().encode().len() as u64;
                let cut = self.setup.fault == Fault::DigestsCut && self.in_outage();
                if !cut {
                    let message = Box::new(Message::Frame(frame));
                    self.after(APART * 2, Event::Deliver(peer, self.incarnations[peer], message));
                }
            }
            // A checkpoint is not due within a trace, and nothing is keyed.
            Effect::Append { .. }
            | Effect::AppendLease(_)
            | Effect::Order { .. }
            | Effect::Checkpoint(_)
            | Effect::AppendBlocked(_)
            | Effect::Probe(..)
            | Effect::UseManifest(_)
            | Effect::Event(..) => {}
        }
    }

    pub(super) fn command(&mut self, daemon: usize, index: usize, command: Command) {
        match command {
            Command::Dispatch(dispatch) => self.dispatch(daemon, index, &dispatch),
            Command::Abort(attempt) => {
                let ended = Report::Ended(Outcome::Broken("aborted".into()));
                self.report(daemon, index, attempt, ended);
            }
            Command::Refuse(_) => self.refused(index),
            Command::Replay(_) => {}
        }
    }

    pub(super) fn dispatch(&mut self, daemon: usize, index: usize, dispatch: &Dispatch) {
        let engine = usize::from(dispatch.address.port()) - 200;
        self.open.insert(index, (daemon, dispatch.attempt));
        let mut job = self.job(daemon, index, dispatch.attempt);
        if let Some(import) = &dispatch.import {
            let holder = usize::from(import.address.port()) - 200;
            job.import_blocks = self.export(holder, &import.incarnation, &job, import.blocks);
        }
        self.after(APART, Event::Push(engine, Box::new(job)));
    }

    pub(super) fn job(&self, daemon: usize, index: usize, attempt: u32) -> Job {
        let request = &self.trace[index];
        Job {
            request: index,
            attempt,
            from: (daemon, self.incarnations[daemon]),
            priority: request.priority,
            blocks: self.prefixes[index].blocks.clone(),
            tokens: request.tokens(),
            answer_tokens: request.answer_tokens,
            import_blocks: 0,
        }
    }

    /// Leading blocks that a holder exports, if it is still the one that is meant.
    fn export(&mut self, holder: usize, incarnation: &str, job: &Job, blocks: usize) -> usize {
        let engine = &mut self.engines[holder];
        if !engine.up || engine.incarnation.to_string() != incarnation {
            return 0;
        }
        engine.export(&job.blocks[..blocks.min(job.blocks.len())])
    }

    pub(super) fn report(&mut self, daemon: usize, index: usize, attempt: u32, report: Report) {
        let request = attempt::Key(index as u64);
        let message = Box::new(Message::Report { request, attempt, report });
        self.after(APART, Event::Deliver(daemon, self.incarnations[daemon], message));
    }

    pub(super) fn platform(&mut self) {
        self.after(PLATFORM, Event::Platform);
        for index in 0..DAEMONS {
            self.read_platform(index);
        }
    }

    /// One daemon's reads of the log and the VM list.
    pub(super) fn read_platform(&mut self, index: usize) {
        if self.setup.policy != Policy::Cardamomvalve || !self.daemon_up[index] {
            return;
        }
        let down = self.setup.fault == Fault::PlatformOutage && self.in_outage();
        for stream in [Stream::Manifest, Stream::Ledger, Stream::Blocked] {
            let message = match down {
                true => Message::LogDown(stream),
                false => Message::Records(stream, self.log_read(stream)),
            };
            self.tell(index, message);
        }
        let message = if down { Message::VmListDown } else { Message::VmList(self.vms()) };
        self.tell(index, message);
    }

    pub(super) fn log_read(&self, stream: Stream) -> Read {
        let records = match stream {
            Stream::Manifest => vec![Record { offset: 0, time_ms: 0, text: manifest_record() }],
            Stream::Ledger | Stream::Lease | Stream::Blocked => Vec::new(),
        };
        Read { first: 0, next: records.len() as u64, retention_s: 1_000_000, records }
    }

    pub(super) fn vms(&self) -> Vec<Vm> {
        let zones = self.setup.kind.zones();
        let vm = |id: String, role, pool: &str, number: usize, zone: usize| Vm {
            id,
            role,
            pool: pool.into(),
            address: address(number),
            region: "r".into(),
            zone: format!("zone-{zone}"),
            standing: Standing::Live,
        };
        let routers = (0..DAEMONS).map(|index| {
            vm(format!("router-{index}"), Role::Router, "", 100 + index, index % zones)
        });
        let engines = self.engines.iter().enumerate().map(|(index, engine)| {
            vm(format!("engine-{index:02}"), Role::ModelServer, "model", 200 + index, engine.zone)
        });
        routers.chain(engines).collect()
    }

    pub(super) fn poll(
        &mut self,
        index: usize,
        incarnation: u64,
        key: membership::Key,
        engine: usize,
        from: u64,
    ) {
        let lag = Duration::from_millis(self.rng.u64(0..REPORT_LAG_MS));
        let state = &self.engines[engine];
        let message = if state.up {
            let mut events = state.cache.events(from);
            let gap = self.setup.fault == Fault::EventGaps && self.rng.u32(0..100) < GAPS;
            if gap && !events.is_empty() {
                events.remove(self.rng.usize(0..events.len()));
            }
            let report = membership::Report {
                incarnation: state.incarnation.to_string(),
                from,
                leaving: false,
                software: None,
                weights: BTreeMap::from([("m".into(), BTreeSet::from(["v1".to_owned()]))]),
                running: state.running,
                waiting: state.waiting(),
                queued_tokens: state.queued_tokens(),
                prefill_tokens_per_s: (1_000_000 / TOKEN_US) as u32,
                import_ms: Some(IMPORT_US as f64 / 1_000.0),
                next_seq: state.cache.next_seq(),
                events,
            };
            Message::Polled(key, Box::new(report))
        } else {
            Message::PollFailed(key)
        };
        self.after(APART + lag, Event::Deliver(index, incarnation, Box::new(message)));
    }
}

/// A node that has just started.
pub(super) fn new_node(index: usize, incarnation: u64, zones: usize) -> Node {
    let identity = Identity {
        id: format!("router-{index}"),
        incarnation,
        zone: format!("zone-{}", index % zones),
    };
    Node::new(identity, NodePolicy::default())
}

/// The manifest of the replay, as its record on the log.
fn manifest_record() -> String {
    let manifest = json!({
        "format": 1,
        "pools": { "model": { "max_in_flight": MAX_IN_FLIGHT, "max_waiting": 10_000 } },
        "models": {
            "m": {
                "pool": "model", "weights": "v1", "objective": "time-to-first-token",
                "default_deadline_ms": 10_000,
            },
        },
        "workspaces": {},
    });
    let body = manifest::Body::Publish { replaces: 0, manifest };
    manifest::Record { format: manifest::FORMAT, id: "replay".into(), body }.encode()
}
