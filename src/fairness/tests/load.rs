//! A pool of servers that take what waits in the ledger's order.

use super::*;

/// Requests of one workspace at an even pace.
#[derive(Debug, Clone)]
pub struct Load {
    pub workspace: Arc<str>,
    pub weight: f64,
    pub priority: u8,
    pub per_s: u64,
    pub cost_ms: u64,
    /// What a request takes at a server.
    pub takes_ms: u64,
    /// Whether all its callers say that they came back.
    pub returns: bool,
    /// Time after which a waiting request is refused.
    pub patience: Option<Duration>,
    /// Time after which a refused request comes back.
    pub returns_after: Option<Duration>,
}

impl Load {
    pub fn new(workspace: &str, per_s: u64, cost_ms: u64) -> Self {
        Self {
            workspace: workspace.into(),
            weight: 1.0,
            priority: 1,
            per_s,
            cost_ms,
            takes_ms: cost_ms,
            returns: false,
            patience: None,
            returns_after: None,
        }
    }

    pub fn claim(&self) -> Claim {
        Claim {
            workspace: Arc::clone(&self.workspace),
            weight: Weight::new(self.weight).expect("a valid weight"),
            priority: self.priority,
            cost_ms: self.cost_ms as f64,
            returns: self.returns,
        }
    }

    /// Number of its requests that arrive within a millisecond.
    fn arrivals(&self, at_ms: u64) -> u64 {
        (at_ms + 1) * self.per_s / 1_000 - at_ms * self.per_s / 1_000
    }
}

struct Waiting {
    load: Load,
    joined: Time,
}

pub struct Pool {
    pub ledger: Ledger,
    pub now: Time,
    began: Time,
    /// Requests under way, with the time of their end.
    running: Vec<(Time, Load)>,
    servers: usize,
    queue: BTreeMap<(u8, Start, u64), Waiting>,
    /// Refused requests, with the time at which they come back.
    away: Vec<(Time, Load)>,
    next: u64,
    waits: BTreeMap<Arc<str>, Vec<Duration>>,
}

impl Pool {
    pub fn new(servers: usize) -> Self {
        Self {
            ledger: Ledger::default(),
            now: ms(0),
            began: ms(0),
            running: Vec::new(),
            servers,
            queue: BTreeMap::new(),
            away: Vec::new(),
            next: 0,
            waits: BTreeMap::new(),
        }
    }

    /// Serves loads for a while, in steps of a millisecond.
    pub fn run(&mut self, loads: &[Load], span: Duration) {
        for step in 0..span.as_millis() as u64 {
            self.end_requests();
            if loads.iter().any(|load| load.patience.is_some()) {
                self.refuse();
            }
            for load in loads {
                (0..load.arrivals(step)).for_each(|_| self.join(self.now, load));
            }
            let now = self.now;
            let back: Vec<(Time, Load)> = self.away.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, load) in back {
                self.join(self.now, &Load { returns: true, ..load });
            }
            self.begin();
            self.now += ms(1);
        }
    }

    pub fn join(&mut self, now: Time, load: &Load) {
        let start = self.ledger.join(now, &load.claim());
        self.next += 1;
        let waiting = Waiting { load: load.clone(), joined: now };
        self.queue.insert((load.priority, start, self.next), waiting);
    }

    fn end_requests(&mut self) {
        let now = self.now;
        let ended: Vec<(Time, Load)> = self.running.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, load) in ended {
            self.ledger.settle(now, &load.claim(), load.takes_ms as f64);
        }
    }

    fn refuse(&mut self) {
        let now = self.now;
        let is_over = |waiting: &Waiting| {
            waiting.load.patience.is_some_and(|patience| now >= waiting.joined + patience)
        };
        let over = self.queue.iter().filter(|(_, waiting)| is_over(waiting));
        let over: Vec<(u8, Start, u64)> = over.map(|(position, _)| *position).collect();
        for position in over {
            let Some(Waiting { load, .. }) = self.queue.remove(&position) else { continue };
            self.ledger.leave(now, &load.claim(), position.1);
            self.away.extend(load.returns_after.map(|after| (now + after, load)));
        }
    }

    fn begin(&mut self) {
        while self.running.len() < self.servers {
            let Some(((_, start, _), Waiting { load, joined })) = self.queue.pop_first() else {
                break;
            };
            self.ledger.begin(self.now, &load.claim(), start);
            self.waits.entry(Arc::clone(&load.workspace)).or_default().push(self.now - joined);
            self.running.push((self.now + ms(load.takes_ms), load));
        }
    }

    pub fn remove_servers(&mut self, count: usize) {
        self.servers -= count;
    }

    /// Number of requests served.
    pub fn served(&self, workspace: &str) -> usize {
        self.waits.get(workspace).map_or(0, Vec::len)
    }

    pub fn served_per_s(&self, workspace: &str) -> f64 {
        self.served(workspace) as f64 / (self.now - self.began).as_secs_f64()
    }

    pub fn longest_wait(&self, workspace: &str) -> Duration {
        let waits = self.waits.get(workspace).map(Vec::as_slice).unwrap_or_default();
        waits.iter().max().copied().unwrap_or_default()
    }
}
