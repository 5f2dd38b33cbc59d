//! Several daemons that exchange frames.

use std::net::SocketAddr;

use super::world::*;
use crate::fleet::*;
use crate::poison::{Answer, Fingerprint};
use crate::prelude::*;
use crate::route::{Repeat, Workspace};

/// What happens to a daemon's connections to all servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Nothing arrives, and nothing fails until a timeout.
    Silent,
    /// Connections are reset, and new ones are refused.
    Reset,
    /// New connections are refused, and existing ones live on.
    OnlyNew,
}

/// Time after which a probe without response ends.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Daemons that exchange frames, except those that are down.
pub struct Site {
    pub daemons: Vec<Daemon>,
    pub down: BTreeSet<usize>,
    /// Links (sender, receiver) that lose all frames.
    pub cut_links: BTreeSet<(usize, usize)>,
    pub now: Time,
    /// Start time of each daemon's clock.
    pub started_at: Vec<Time>,
    incarnations: u64,
    /// Commands to traffic, by daemon.
    pub sent_commands: Vec<Vec<(Key, Command)>>,
    /// First part of the prompts that arrive next.
    pub standard: u64,
    /// Subject of the prompts that arrive next.
    pub subject: u64,
    /// Addresses of crashed servers, which refuse connections.
    pub crashed_servers: BTreeSet<SocketAddr>,
    /// Daemons that are partitioned from all servers.
    pub cuts: BTreeMap<usize, Cut>,
    /// Messages that arrive later.
    delayed: Vec<(Time, usize, Message)>,
    /// Writes of blocks to the store: true stores the block, false removes it.
    pub block_writes: Vec<(Fingerprint, bool)>,
}

impl Site {
    /// Returns daemons that have exchanged digests for 4 s.
    pub fn new(count: u8, servers: &[(&str, &str)]) -> Self {
        let routers = routers(count);
        let routers = borrowed(&routers);
        let daemons = (1..=count).map(|last| {
            let mut daemon = Daemon::with_servers(last, servers);
            daemon.deliver_records(ms(0), Topic::Routers, &routers);
            daemon
        });
        let daemons: Vec<Daemon> = daemons.collect();
        let sent_commands = vec![Vec::new(); daemons.len()];
        let started_at = vec![ms(0); daemons.len()];
        let mut site = Self {
            daemons,
            down: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            now: ms(0),
            started_at,
            incarnations: 0,
            sent_commands,
            standard: 7,
            subject: 3,
            crashed_servers: BTreeSet::new(),
            cuts: BTreeMap::new(),
            delayed: Vec::new(),
            block_writes: Vec::new(),
        };
        site.advance(ms(4_000));
        site
    }

    /// Advances the clock by `span`, with a tick every 20 ms.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += ms(20).min(end - self.now);
            self.deliver_delayed();
            for index in 0..self.daemons.len() {
                self.apply(index, Message::Tick);
            }
        }
    }

    fn deliver_delayed(&mut self) {
        let now = self.now;
        for (at, index, message) in std::mem::take(&mut self.delayed) {
            match at <= now {
                true => self.apply(index, message),
                false => self.delayed.push((at, index, message)),
            }
        }
    }

    /// The response to a connect of a daemon to a server.
    fn connect(&self, index: usize, address: SocketAddr) -> Answer {
        match self.cuts.get(&index) {
            Some(Cut::Silent) => Answer::Silent,
            Some(Cut::Reset | Cut::OnlyNew) => Answer::Refused,
            None if self.crashed_servers.contains(&address) => Answer::Refused,
            None => Answer::Accepted,
        }
    }

    pub fn apply(&mut self, index: usize, message: Message) {
        let mut pending = vec![(index, message)];
        while let Some((index, message)) = pending.pop() {
            if self.down.contains(&index) {
                continue;
            }
            let now = self.clock(index);
            let effects = self.daemons[index].node.apply(now, message);
            pending.extend(self.execute_effects(index, effects));
        }
    }

    /// Returns the time on a daemon's own clock.
    pub fn clock(&self, index: usize) -> Time {
        self.now - self.started_at[index]
    }

    /// Replaces a daemon by a new process that has read the store.
    pub fn restart(&mut self, index: usize, servers: &[(&str, &str)]) {
        self.started_at[index] = self.now;
        self.incarnations += 1;
        let last = index as u8 + 1;
        let mut daemon = Daemon::started(last, 1_000 + self.incarnations, &[]);
        let routers = routers(self.daemons.len() as u8);
        let routers = borrowed(&routers);
        daemon.deliver_records(ms(0), Topic::Operator, &[("config", "table 1")]);
        daemon.deliver_records(ms(0), Topic::Servers, servers);
        daemon.deliver_records(ms(0), Topic::Routers, &routers);
        self.daemons[index] = daemon;
        self.sent_commands[index].clear();
    }

    /// Records commands and returns the messages that the effects cause, in reverse order.
    pub fn execute_effects(&mut self, index: usize, effects: Vec<Effect>) -> Vec<(usize, Message)> {
        let mut messages = Vec::new();
        for effect in effects {
            match effect {
                Effect::Command(key, command) => self.sent_commands[index].push((key, command)),
                Effect::Send(to, frame) => {
                    let daemons = (0..self.daemons.len())
                        .filter(|to| !self.cut_links.contains(&(index, *to)));
                    let to = daemons.filter(|i| to.contains(&address(*i as u8 + 1)));
                    messages.extend(to.map(|to| (to, Message::Frame(frame.clone()))));
                }
                Effect::Probe(incarnation, address) => {
                    let answer = self.connect(index, address);
                    let message = Message::Probed(incarnation, answer);
                    match answer {
                        Answer::Silent => {
                            self.delayed.push((self.now + PROBE_TIMEOUT, index, message));
                        }
                        Answer::Refused | Answer::Unverified | Answer::Accepted => {
                            messages.push((index, message));
                        }
                    }
                }
                Effect::ProbePath(server, address) => {
                    let answer = self.connect(index, address);
                    let connect = match answer {
                        Answer::Accepted => Connect::Accepted,
                        Answer::Refused | Answer::Silent | Answer::Unverified => Connect::Failed,
                    };
                    let message = Message::PathProbed(server, connect);
                    match answer {
                        Answer::Silent => {
                            self.delayed.push((self.now + PROBE_TIMEOUT, index, message));
                        }
                        Answer::Refused | Answer::Unverified | Answer::Accepted => {
                            messages.push((index, message));
                        }
                    }
                }
                Effect::WriteBlock(fingerprint, age) => {
                    self.block_writes.push((fingerprint, age.is_some()))
                }
                _ => {}
            }
        }
        messages.reverse();
        messages
    }

    pub fn arrive(&mut self, index: usize, pool: &str, repeat: Repeat) -> Key {
        self.arrive_for(index, pool, repeat, None)
    }

    /// A request of a workspace arrives.
    pub fn arrive_for(
        &mut self,
        index: usize,
        pool: &str,
        repeat: Repeat,
        workspace: Option<Workspace>,
    ) -> Key {
        let prompt = (pool == "engines").then(|| prompt(self.standard, self.subject));
        let (now, route) = (self.clock(index), route(pool, repeat, 2));
        let (key, effects) = self.daemons[index].arrive_for(now, &route, prompt, workspace);
        for (to, message) in self.execute_effects(index, effects).into_iter().rev() {
            self.apply(to, message);
        }
        key
    }

    /// Takes the commands of all daemons since the last call.
    pub fn take_commands(&mut self) -> Vec<(usize, Key, Command)> {
        let commands = self.sent_commands.iter_mut().map(std::mem::take).enumerate();
        let commands = commands.flat_map(|(daemon, commands)| {
            commands.into_iter().map(move |(key, command)| (daemon, key, command))
        });
        commands.collect()
    }

    pub fn report(&mut self, index: usize, request: Key, attempt: u32, report: Report) {
        self.apply(index, Message::Report { request, attempt, report });
    }

    /// Takes the commands of a daemon since the last call and returns those for one request.
    pub fn commands(&mut self, index: usize, key: Key) -> Vec<Command> {
        let commands = std::mem::take(&mut self.sent_commands[index]);
        commands.into_iter().filter(|(of, _)| *of == key).map(|(_, command)| command).collect()
    }

    pub fn only_dispatch(&mut self, index: usize, key: Key) -> Dispatch {
        match self.commands(index, key).as_slice() {
            [Command::Dispatch(dispatch)] => dispatch.clone(),
            other => panic!("expected one dispatch, found {other:?}"),
        }
    }

    /// Returns the only daemon that schedules `pool`: the first in the ranking. A daemon that avoids the scheduler and places
    /// only its own requests is not counted.
    pub fn scheduler(&self, pool: &str) -> usize {
        let position =
            |index: &usize| self.daemons[*index].node.scheduler_position(self.clock(*index), pool);
        let schedules = |index: &usize| !self.down.contains(index) && position(index) == Some(0);
        let found: Vec<usize> = (0..self.daemons.len()).filter(schedules).collect();
        assert_eq!(found.len(), 1, "exactly one daemon schedules {pool}");
        found[0]
    }

    /// Returns a running daemon that schedules no pool.
    pub fn non_scheduler(&self) -> usize {
        let is_non_scheduler = |index: &usize| {
            let is_scheduler = self.daemons[*index].node.is_scheduler(self.clock(*index));
            !self.down.contains(index) && !is_scheduler
        };
        (0..self.daemons.len()).find(is_non_scheduler).expect("a running daemon schedules no pool")
    }

    /// Returns the number of running requests that a daemon counts at all servers.
    pub fn running(&self, index: usize) -> u32 {
        self.daemons[index].node.servers.values().map(|server| server.running).sum()
    }

    pub fn unscheduled(&self, index: usize) -> u64 {
        self.daemons[index].node.counts.unscheduled
    }
}

/// Returns the registrations of `count` daemons.
fn routers(count: u8) -> Vec<(String, String)> {
    (1..=count).map(|last| (format!("router-{last}"), format!("router {last}"))).collect()
}
