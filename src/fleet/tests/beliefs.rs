//! What daemons believe, against what is true: seeded histories in which daemons are killed, frozen and cut
//! off at the very moment at which something changes, and their frames and reads come late, twice or never.

use std::net::SocketAddr;

use super::store::{Access, Store, Watch};
use super::world::*;
use crate::fleet::*;
use crate::poison::{Answer, Fingerprint, Strike, Victim};
use crate::prelude::*;
use crate::route::Repeat;

const STEP: Duration = Duration::from_millis(20);
const QUIET_TICK: Duration = Duration::from_millis(100);
/// A play: the last part is without new faults.
const PLAY: Duration = Duration::from_secs(36);
const FAULTS_UNTIL: Duration = Duration::from_secs(28);
/// Time without trouble after which a daemon has no excuse.
const CALM: Duration = Duration::from_secs(3);
/// Time from a record's append until all who are calm go by it.
const NEWS: Duration = Duration::from_secs(2);
/// The same for what comes by the daemons' own topic, which is read every two seconds.
const OWN_NEWS: Duration = Duration::from_secs(5);
/// Time for which a server may be kept whose registration is gone.
const RETURN: Duration = Duration::from_millis(2_200);
/// Time without registrations after which the store takes one for gone.
const LAPSE: Duration = Duration::from_millis(1_500);
const ENGINES: u8 = 6;
const PLAIN: u8 = 3;
/// Where the servers' addresses begin, after those of the daemons.
const SERVERS: u8 = 201;

/// A daemon's VM.
struct Vm {
    /// The process, while one runs.
    daemon: Option<Daemon>,
    incarnation: u64,
    started: Time,
    next_tick: Time,
    watches: Vec<Watch>,
    register_at: Option<Time>,
    starts_at: Time,
    frozen_until: Time,
    /// When the store, or peers, last did not reach it as they should.
    cut_at: Time,
    slowed_at: Time,
    /// The version of the table in force.
    table: u64,
}

/// What a fault does to one VM, until when.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// The store does not serve it.
    Store(Access),
    /// A part of the frames from and to it are lost.
    Lossy,
    /// Frames to it come late, some twice.
    Late,
}

/// A server as it is.
struct Backend {
    id: String,
    is_engine: bool,
    last: u8,
    born: u64,
    version: u64,
    leaving: bool,
    is_up: bool,
    starts_at: Time,
    register_at: Option<Time>,
    lapses_at: Option<Time>,
    loads: Option<(Time, u64)>,
    sequence: u64,
    fence: u64,
}

impl Backend {
    fn value(&self) -> String {
        let state = if self.leaving { "draining" } else { "ready" };
        match self.is_engine {
            true => format!("engine {} {state} {} born:{}", self.last, self.version, self.born),
            false => format!("plain {} {state} born:{}", self.last, self.born),
        }
    }
}

/// What operators did to a request that ends servers.
struct Block {
    made_at: Time,
    /// Who counted its strikes, in which incarnation.
    by: (usize, u64),
    kept_at: Option<Time>,
    gone_at: Option<Time>,
}

/// What a daemon goes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Belief {
    Weights,
    Table,
    Server,
    Block,
    Budget,
    Lease,
    Ready,
}

/// What is under way to a daemon.
enum Post {
    Frame(Vec<u8>),
    Message(Box<Message>),
}

impl Post {
    fn of(message: Message) -> Self {
        Self::Message(Box::new(message))
    }
}

struct World {
    rng: fastrand::Rng,
    seed: u64,
    now: Time,
    store: Store,
    vms: Vec<Vm>,
    servers: Vec<Backend>,
    /// By the time at which it comes: the VM, the incarnation that it is for, and what.
    post: BTreeMap<(Time, u64), (usize, u64, Post)>,
    /// Appends under way.
    appends: BTreeMap<(Time, u64), Append>,
    faults: Vec<(Time, usize, Fault)>,
    sent: u64,
    config: u64,
    /// When each version of the weights was named.
    named: Vec<(u64, Time)>,
    configured: Vec<(u64, Time)>,
    blocks: BTreeMap<u64, Block>,
    next: [Time; 4],
    highest_fence: u64,
    checked: u64,
    sends: u64,
    /// The first of each kind.
    wrong: BTreeMap<Belief, String>,
}

enum Append {
    Lease(String),
    Record(Topic, String, String),
}

impl World {
    fn new(count: u8, seed: u64) -> Self {
        let mut world = Self {
            rng: fastrand::Rng::with_seed(seed),
            seed,
            now: ms(10_000),
            store: Store::default(),
            vms: Vec::new(),
            servers: Vec::new(),
            post: BTreeMap::new(),
            appends: BTreeMap::new(),
            faults: Vec::new(),
            sent: 0,
            config: 0,
            named: vec![(1, Time::ZERO)],
            configured: Vec::new(),
            blocks: BTreeMap::new(),
            next: [ms(14_000); 4],
            highest_fence: 0,
            checked: 0,
            sends: 0,
            wrong: BTreeMap::new(),
        };
        world.configure();
        world.store.append(Time::ZERO, Topic::Operator, "version/m", "weights 1");
        for number in 0..ENGINES + PLAIN {
            let server = Backend {
                id: format!("s-{number}"),
                is_engine: number < ENGINES,
                last: SERVERS + number,
                born: 1,
                version: 1,
                leaving: false,
                is_up: true,
                starts_at: Time::ZERO,
                register_at: None,
                lapses_at: None,
                loads: None,
                sequence: 0,
                fence: 0,
            };
            world.store.append(Time::ZERO, Topic::Servers, &server.id, &server.value());
            world.servers.push(server);
        }
        for index in 0..usize::from(count) {
            let last = index as u8 + 1;
            let (key, value) = (format!("router-{last}"), format!("router {last}"));
            world.store.append(Time::ZERO, Topic::Routers, &key, &value);
            world.vms.push(Vm {
                daemon: None,
                incarnation: 0,
                started: world.now,
                next_tick: world.now,
                watches: Vec::new(),
                register_at: None,
                starts_at: world.now,
                frozen_until: Time::ZERO,
                cut_at: Time::ZERO,
                slowed_at: Time::ZERO,
                table: 0,
            });
        }
        world
    }

    fn play(mut self) -> Self {
        let end = self.now + PLAY;
        let quiet = self.now + FAULTS_UNTIL;
        while self.now < end {
            self.now += STEP;
            if self.now < quiet {
                self.trouble();
                self.change();
            }
            self.faults.retain(|(until, ..)| self.now < *until);
            self.run_servers();
            self.land();
            self.deliver();
            for index in 0..self.vms.len() {
                self.run(index);
            }
            self.ask();
            if self.now.as_millis().is_multiple_of(100) {
                self.check();
            }
        }
        self
    }

    fn some(&mut self) -> Vec<usize> {
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

    /// Faults begin, several at a time.
    fn trouble(&mut self) {
        if self.now < self.next[0] {
            return;
        }
        self.next[0] = self.now + ms(self.rng.u64(300..3_500));
        let until = self.now + ms(self.rng.u64(300..5_000));
        let vms = self.some();
        let fault = match self.rng.u32(0..9) {
            0 => return self.kill(&vms),
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
                    self.store.forget(topic);
                }
                return;
            }
        };
        // The store is down for all as often as for some.
        let all = matches!(fault, Fault::Store(_)) && self.rng.bool();
        let vms = if all { (0..self.vms.len()).collect() } else { vms };
        self.faults.extend(vms.into_iter().map(|vm| (until, vm, fault)));
    }

    fn kill(&mut self, vms: &[usize]) {
        for vm in vms {
            let back = self.now + ms(self.rng.u64(20..800));
            let vm = &mut self.vms[*vm];
            (vm.daemon, vm.starts_at, vm.frozen_until) = (None, back, Time::ZERO);
        }
    }

    /// Whether the store serves anybody: only then do operators and servers write.
    fn is_open(&self) -> bool {
        (0..self.vms.len()).any(|vm| !matches!(self.access(vm), Access::Silent | Access::Refused))
    }

    fn access(&self, vm: usize) -> Access {
        let worst = |access: &Access| match access {
            Access::Open => 0,
            Access::Slow(_) => 1,
            Access::Refused => 2,
            Access::Silent => 3,
        };
        let of = self.faults.iter().filter_map(|(_, of, fault)| match fault {
            Fault::Store(access) if *of == vm => Some(*access),
            _ => None,
        });
        of.max_by_key(worst).unwrap_or(Access::Open)
    }

    fn has(&self, vm: usize, fault: Fault) -> bool {
        self.faults.iter().any(|(_, of, is)| *of == vm && *is == fault)
    }

    /// Operators and servers change something, and often daemons end at that very moment.
    fn change(&mut self) {
        if !self.is_open() {
            return;
        }
        if self.now >= self.next[1] {
            self.next[1] = self.now + ms(self.rng.u64(400..4_000));
            match self.rng.u32(0..3) {
                0 => self.configure(),
                1 => self.name(),
                _ => {
                    self.configure();
                    self.name();
                }
            }
            self.end_some_now();
        }
        if self.now >= self.next[2] {
            self.next[2] = self.now + ms(self.rng.u64(500..3_000));
            self.change_server();
            self.end_some_now();
        }
        if self.now >= self.next[3] {
            self.next[3] = self.now + ms(self.rng.u64(1_000..5_000));
            self.change_block();
            self.end_some_now();
        }
    }

    fn end_some_now(&mut self) {
        if self.rng.u32(0..4) == 0 {
            let vms = self.some();
            self.kill(&vms);
        }
    }

    fn configure(&mut self) {
        self.config += self.rng.u64(1..4);
        let text = format!("table {}", self.config);
        self.store.append(self.now, Topic::Operator, "config", &text);
        self.configured.push((self.config, self.now));
    }

    fn name(&mut self) {
        let version = self.named.last().map_or(1, |(version, _)| version + 1);
        self.store.append(self.now, Topic::Operator, "version/m", &format!("weights {version}"));
        self.named.push((version, self.now));
    }

    fn change_server(&mut self) {
        let (now, back) = (self.now, self.now + ms(self.rng.u64(300..4_000)));
        let index = self.rng.usize(0..self.servers.len());
        let newest = self.named.last().map_or(1, |(version, _)| *version);
        let ends = self.rng.u32(0..3);
        let Some(server) =
            self.servers.get_mut(index).filter(|server| server.is_up && !server.leaving)
        else {
            return;
        };
        match ends {
            // It leaves, and another comes in its place.
            0 => {
                server.leaving = true;
                self.store.append(now, Topic::Servers, &server.id, &server.value());
                let id = format!("{}+", server.id);
                let (last, is_engine) = (server.last, server.is_engine);
                (server.lapses_at, server.starts_at) = (Some(back), Time::MAX);
                self.servers.push(Backend {
                    id,
                    is_engine,
                    last,
                    born: now.as_millis() as u64,
                    version: newest,
                    leaving: false,
                    is_up: false,
                    starts_at: back + ms(100),
                    register_at: None,
                    lapses_at: None,
                    loads: None,
                    sequence: 0,
                    fence: 0,
                });
            }
            _ => {
                (server.is_up, server.loads) = (false, None);
                (server.starts_at, server.lapses_at) = (back, Some(now + LAPSE));
            }
        }
    }

    fn change_block(&mut self) {
        let kept = self
            .blocks
            .iter()
            .find(|(_, block)| block.kept_at.is_some() && block.gone_at.is_none());
        if let Some((block, _)) = kept.filter(|_| self.rng.bool()) {
            let block = *block;
            self.store.append(self.now, Topic::Routers, &format!("blocked-{block}"), "");
            self.blocks.entry(block).and_modify(|block| block.gone_at = Some(self.now));
            return;
        }
        let schedules = |vm: &usize| {
            let node = self.vms[*vm].daemon.as_ref().map(|daemon| &daemon.node);
            node.is_some_and(|node| node.is_scheduler(self.now)) && self.is_calm(*vm)
        };
        let Some(vm) = (0..self.vms.len()).find(schedules) else { return };
        let fingerprint = Fingerprint(1_000 + self.sent);
        let strikes = (1..=3).map(|server| Strike {
            fingerprint,
            victim: Victim { server: self.sent * 10 + server, start: Some(1) },
            pool: 1,
            servers: 100,
            ran: ms(50),
            age: ms(0),
        });
        let message = crate::poison::Message::Strikes(strikes.collect());
        let by = (vm, self.vms[vm].incarnation);
        let block = Block { made_at: self.now, by, kept_at: None, gone_at: None };
        self.blocks.insert(fingerprint.0, block);
        self.apply(vm, Message::Frame(Frame::Poison(message)));
    }

    fn run_servers(&mut self) {
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
    fn land(&mut self) {
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
    fn note_written(&mut self, text: &str, kept: bool) {
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

    fn deliver(&mut self) {
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

    fn mail(&mut self, vm: usize, delay: Duration, post: Post) {
        self.sent += 1;
        let incarnation = self.vms[vm].incarnation;
        self.post.insert((self.now + delay, self.sent), (vm, incarnation, post));
    }

    /// A process starts, ticks, reads, and registers.
    fn run(&mut self, vm: usize) {
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
            let pressed = self.node(vm).is_some_and(Node::is_pressed);
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

    fn start(&mut self, vm: usize) {
        let seeds = [address(1), address(2), address(self.vms.len() as u8)];
        let this = &mut self.vms[vm];
        this.incarnation += 1;
        let incarnation = this.incarnation * 1_000 + vm as u64;
        this.daemon = Some(Daemon::started(vm as u8 + 1, incarnation, &seeds));
        this.watches = Tracked::ALL.into_iter().map(Watch::new).collect();
        (this.started, this.next_tick, this.table) = (self.now, self.now, 0);
        (this.register_at, this.cut_at, this.slowed_at) = (Some(self.now), Time::ZERO, Time::ZERO);
    }

    fn node(&self, vm: usize) -> Option<&Node> {
        Some(&self.vms[vm].daemon.as_ref()?.node)
    }

    fn apply(&mut self, vm: usize, message: Message) {
        let now = self.now;
        let Some(daemon) = &mut self.vms[vm].daemon else { return };
        let effects = daemon.node.apply(now, message);
        self.carry(vm, effects);
    }

    fn carry(&mut self, vm: usize, effects: Vec<Effect>) {
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
                Effect::Order { server, id, version, fence, expect, .. } => {
                    let end = self.order(&id, version, fence, expect);
                    self.mail(vm, ms(10), Post::of(Message::Ordered(server, end)));
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

    fn append(&mut self, vm: usize, append: Append) {
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

    fn send(&mut self, from: usize, to: &[SocketAddr], frame: &Frame) {
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

    fn order(&mut self, id: &str, version: u64, fence: u64, expect: u64) -> OrderEnd {
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
    fn ask(&mut self) {
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
        self.carry(vm, effects);
    }

    /// A daemon sends a request to a server: one that it may still go to, as far as that could be known.
    fn dispatched(&mut self, vm: usize, request: Key, dispatch: &Dispatch) {
        self.sends += 1;
        if self.is_steady(vm) {
            if let Some(version) = dispatch.weights {
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
                reports.push((ms(10), Report::Refused(Refused::Busy)));
            }
            Some(server) if dispatch.weights.is_some_and(|weights| weights != server.version) => {
                let weights = Refused::Weights(Some(server.version));
                reports.push((ms(10), Report::Refused(weights)));
            }
            Some(_) => {
                reports.push((ms(40), Report::Begun(dispatch.weights)));
                reports.push((ms(160), Report::Ended));
            }
        }
        for (delay, report) in reports {
            let attempt = dispatch.attempt;
            self.mail(vm, delay, Post::of(Message::Report { request, attempt, report }));
        }
    }

    fn is_slowed(&self, vm: usize) -> bool {
        self.now < self.vms[vm].slowed_at + CALM
    }

    /// Whether a daemon says that it is ready, and nothing kept it from knowing what is true since it has
    /// been calm, or since its start.
    fn is_steady(&self, vm: usize) -> bool {
        let ready = self.node(vm).is_some_and(Node::is_ready);
        let this = &self.vms[vm];
        ready && (this.cut_at == Time::ZERO || self.now >= this.cut_at + CALM)
    }

    /// Whether a daemon has run for some time without trouble.
    fn is_calm(&self, vm: usize) -> bool {
        let this = &self.vms[vm];
        this.daemon.is_some()
            && self.now >= this.started.max(this.cut_at).max(this.slowed_at) + CALM
    }

    fn wrong(&mut self, vm: usize, belief: Belief, what: String) {
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
    fn check_begin(&mut self, vm: usize, version: u64, what: &str) {
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

    fn check(&mut self) {
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

    fn check_weights(&mut self, vm: usize) {
        let versions: BTreeSet<u64> = self.servers.iter().map(|server| server.version).collect();
        for version in versions {
            let may = |node: &Node| node.may_begin(self.now, "m", version);
            if self.node(vm).is_some_and(may) {
                self.check_begin(vm, version, "may begin on");
            }
        }
    }

    fn check_table(&mut self, vm: usize) {
        let due = self.configured.iter().rev().find(|(_, at)| self.now > *at + NEWS);
        let version = due.map_or(0, |(version, _)| *version);
        if self.vms[vm].table < version {
            self.wrong(vm, Belief::Table, format!("table {}, not {version}", self.vms[vm].table));
        }
    }

    fn check_servers(&mut self, vm: usize) {
        let Some(node) = self.node(vm) else { return };
        let mut wrong = Vec::new();
        for (id, (at, record)) in self.store.newest(Topic::Servers) {
            let known = node.lives.registered(id).and_then(|key| node.servers.get(key));
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
                    if leaving != known.entry.leaving {
                        wrong.push(format!("{id}: leaving {}", known.entry.leaving));
                    }
                }
                _ => {}
            }
        }
        for what in wrong {
            self.wrong(vm, Belief::Server, what);
        }
    }

    fn check_blocks(&mut self, vm: usize) {
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
    fn check_budget(&mut self) {
        let steady: Vec<usize> = (0..self.vms.len()).filter(|vm| self.is_steady(*vm)).collect();
        let left = |vm: &usize| {
            Some(Budget::default().left(self.now, self.node(*vm)?.terms(self.now)) as f64)
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
            let known = node.daemons();
            if node.known.contains(&Topic::Routers) && known < self.vms.len() {
                self.wrong(
                    vm,
                    Belief::Budget,
                    format!("{known} daemons are known to share the budget"),
                );
            }
        }
    }

    fn check_lease(&mut self) {
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

/// Seeds that are played here; more by hand with `BELIEFS_SEEDS`, and one alone with `BELIEFS_SEED`.
fn seeds(few: u64) -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|seeds| seeds.parse().ok());
    match number("BELIEFS_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("BELIEFS_SEEDS").unwrap_or(few),
    }
}

fn play(daemons: u8, few: u64) {
    let mut wrong = Vec::new();
    for seed in seeds(few) {
        let world = World::new(daemons, seed).play();
        println!(
            "{daemons} daemons, seed {seed}: {} looks, {} sends, {} versions, {} wrong",
            world.checked,
            world.sends,
            world.named.len(),
            world.wrong.len(),
        );
        wrong.extend(world.wrong.into_values());
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn beliefs_of_3_daemons_hold() {
    play(3, 6);
}

#[test]
fn beliefs_of_9_daemons_hold() {
    play(9, 4);
}

#[test]
fn beliefs_of_71_daemons_hold() {
    play(71, 1);
}

// Half a minute a seed: by hand only.
#[test]
fn beliefs_of_195_daemons_hold() {
    play(195, 0);
}
