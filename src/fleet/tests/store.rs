//! The platform's store as daemons see it, and how they follow it: whole reads by pages, reads from an offset
//! that wait for a record, a history that is forgotten, and answers that come late or not at all.

use crate::fleet::*;
use crate::prelude::*;

/// Time for an answer beyond the wait.
const ANSWER: Duration = Duration::from_millis(1_500);
/// Time to the next call after one that the store did not answer, or that found no topic.
const STORE_PAUSE: Duration = Duration::from_millis(300);
/// Time between two looks whether a daemon is to read what it leaves to others.
const LEFT_PAUSE: Duration = Duration::from_millis(200);

/// What is stored of one topic.
#[derive(Debug, Default)]
struct Log {
    /// When each was appended, and what; the offset is the place.
    records: Vec<(Time, Record)>,
    /// The oldest offset that can be read; the newest record of a key stays on the list.
    first: u64,
}

/// Topics and the lease.
#[derive(Debug, Default)]
pub struct Store {
    logs: BTreeMap<Topic, Log>,
    pub lease: Vec<String>,
}

impl Store {
    pub fn append(&mut self, now: Time, topic: Topic, key: &str, value: &str) {
        let log = self.logs.entry(topic).or_default();
        let offset = log.records.len() as u64;
        let value = (!value.is_empty()).then(|| value.as_bytes().to_vec());
        log.records.push((now, Record { key: key.into(), offset, value }));
    }

    /// Forgets all that was appended so far, but for the newest record of each key.
    pub fn forget(&mut self, topic: Topic) {
        let log = self.logs.entry(topic).or_default();
        log.first = log.records.len() as u64;
    }

    /// The newest record of each key, with the time at which it was appended; removals too.
    pub fn newest(&self, topic: Topic) -> BTreeMap<&str, (Time, &Record)> {
        let records = self.logs.get(&topic).into_iter().flat_map(|log| &log.records);
        records.map(|(at, record)| (record.key.as_str(), (*at, record))).collect()
    }

    fn end(&self, topic: Topic) -> u64 {
        self.logs.get(&topic).map_or(0, |log| log.records.len() as u64)
    }

    fn page(&self, topic: Topic, keys: impl Fn(&str) -> bool) -> Vec<Record> {
        let listed = self.newest(topic).into_values().map(|(_, record)| record.clone());
        listed.filter(|record| record.value.is_some() && keys(&record.key)).collect()
    }

    fn from(&self, topic: Topic, from: u64) -> Answer {
        let Some(log) = self.logs.get(&topic) else { return Answer::Records(Vec::new()) };
        if from < log.first {
            return Answer::Forgotten;
        }
        let from = usize::try_from(from).unwrap_or(usize::MAX);
        Answer::Records(log.records.iter().skip(from).map(|(_, record)| record.clone()).collect())
    }
}

/// How the store takes a daemon's calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    Open,
    /// Its answers take up to this long.
    Slow(Duration),
    /// It answers that it does not.
    Refused,
    /// It never answers.
    Silent,
}

#[derive(Debug, Clone)]
enum Answer {
    Whole(Vec<Record>, u64),
    Records(Vec<Record>),
    Lease(Vec<(u64, String)>),
    Forgotten,
    Failed,
}

/// A read under way.
#[derive(Debug)]
struct Ask {
    /// `None` for everything.
    from: Option<u64>,
    asked: Time,
    arrives: Time,
    /// Until when it waits for a record.
    waits_until: Time,
    /// When the daemon gives up.
    limit: Time,
    /// The first page, when the second is read, and the end as of the first.
    page: Option<(Vec<Record>, Time, u64)>,
    answer: Option<(Time, Answer)>,
}

/// How one daemon follows one topic, or the lease.
#[derive(Debug)]
pub struct Watch {
    tracked: Dependency,
    next: Option<u64>,
    wait: Duration,
    rests_until: Time,
    ask: Option<Ask>,
}

impl Watch {
    pub fn new(tracked: Dependency) -> Self {
        let next = (tracked == Dependency::Lease).then_some(0);
        Self { tracked, next, wait: Duration::ZERO, rests_until: Time::ZERO, ask: None }
    }

    /// Asks, waits, or takes an answer in, which is returned for the node.
    pub fn step(
        &mut self,
        now: Time,
        node: &Node,
        store: &Store,
        access: Access,
        rng: &mut fastrand::Rng,
    ) -> Option<Message> {
        let mut delay = || match access {
            Access::Slow(most) => Duration::from_millis(rng.u64(50..most.as_millis() as u64)),
            Access::Open | Access::Refused | Access::Silent => {
                Duration::from_millis(rng.u64(2..20))
            }
        };
        let Some(ask) = &mut self.ask else {
            if now >= self.rests_until {
                self.ask(now, node, delay());
            }
            return None;
        };
        if ask.answer.is_none() && now >= ask.arrives {
            let answer = match access {
                Access::Refused => Some(Answer::Failed),
                Access::Silent => Some(Answer::Failed).filter(|_| now >= ask.limit),
                Access::Open | Access::Slow(_) => ask.look(now, self.tracked, store, &mut delay),
            };
            ask.answer = answer.map(|answer| (now + delay(), answer));
        }
        let due = ask.answer.take_if(|(at, _)| now >= *at && *at < ask.limit);
        let answer = due.map(|(_, answer)| answer);
        let late = (now >= ask.limit).then_some(Answer::Failed);
        let answer = answer.or(late)?;
        let (from, asked) = (ask.from, ask.asked);
        self.ask = None;
        self.take(now, node, from, asked, answer)
    }

    fn ask(&mut self, now: Time, node: &Node, delay: Duration) {
        if self.next.is_some() && !node.should_read(now, self.tracked) {
            self.wait = Duration::ZERO;
            self.rests_until = now + LEFT_PAUSE;
            return;
        }
        let from = match self.tracked {
            // What peers told needs no reading.
            Dependency::Topic(topic) => self.next.map(|next| next.max(node.end_offset(topic))),
            Dependency::Lease => Some(node.next_lease_offset()),
        };
        let limit = now + ANSWER + self.wait;
        let (arrives, waits_until) = (now + delay, now + delay + self.wait);
        self.ask =
            Some(Ask { from, asked: now, arrives, waits_until, limit, page: None, answer: None });
    }

    fn take(
        &mut self,
        now: Time,
        node: &Node,
        from: Option<u64>,
        asked: Time,
        answer: Answer,
    ) -> Option<Message> {
        self.rests_until = now;
        let (records, whole, to) = match answer {
            Answer::Failed => {
                self.wait = Duration::ZERO;
                self.rests_until = now + node.retry_delay();
                return Some(Message::Down(self.tracked, "no answer".into()));
            }
            Answer::Forgotten => {
                self.next = None;
                return None;
            }
            Answer::Lease(records) => {
                let any = records.is_empty() && node.next_lease_offset() == 0;
                self.rests_until =
                    now + if any { STORE_PAUSE } else { node.read_interval(now, self.tracked) };
                self.wait = node.max_read_wait(now, self.tracked);
                return Some(Message::Lease(0, records));
            }
            Answer::Whole(records, to) => (records, true, to),
            Answer::Records(records) => {
                let to = from.unwrap_or_default() + records.len() as u64;
                (records, false, to)
            }
        };
        let Dependency::Topic(topic) = self.tracked else { return None };
        self.rests_until += match (records.is_empty(), to) {
            (false, _) => node.read_interval(now, self.tracked),
            (true, 0) => STORE_PAUSE,
            (true, _) => Duration::ZERO,
        };
        (self.next, self.wait) = (Some(to), node.max_read_wait(now, self.tracked));
        let batch = Batch { topic, from: from.unwrap_or_default(), to, records };
        Some(Message::Read(Read { batch, whole, asked }))
    }
}

impl Ask {
    /// What the store answers now; nothing while it waits, or reads the second page.
    fn look(
        &mut self,
        now: Time,
        tracked: Dependency,
        store: &Store,
        delay: &mut impl FnMut() -> Duration,
    ) -> Option<Answer> {
        let topic = match (tracked, self.from) {
            (Dependency::Topic(topic), _) => topic,
            (Dependency::Lease, from) => {
                let from = usize::try_from(from.unwrap_or_default()).unwrap_or(usize::MAX);
                let texts = store.lease.iter().cloned();
                let records: Vec<_> = (0..).zip(texts).skip(from).collect();
                let answers = !records.is_empty() || now >= self.waits_until;
                return answers.then_some(Answer::Lease(records));
            }
        };
        if let Some(from) = self.from {
            return match store.from(topic, from) {
                Answer::Records(records) if records.is_empty() && now < self.waits_until => None,
                answer => Some(answer),
            };
        }
        let middle = |key: &str| key.as_bytes().last().is_some_and(|last| last % 2 == 0);
        match self.page.take() {
            None => {
                let page = store.page(topic, middle);
                self.page = Some((page, now + delay(), store.end(topic)));
                None
            }
            Some((mut records, due, end)) if now >= due => {
                records.extend(store.page(topic, |key| !middle(key)));
                Some(Answer::Whole(records, end))
            }
            waiting => {
                self.page = waiting;
                None
            }
        }
    }
}
