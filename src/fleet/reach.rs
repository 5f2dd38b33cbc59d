//! Whether this daemon's connections reach the backend servers at all.
//!
//! A daemon may be partitioned from all servers while callers, the store and other daemons reach it.
//! A failed attempt or the silence of several servers makes it suspect that, and it probes a few
//! other servers by a connect. It is cut off once two rounds of probes have failed and no server
//! has answered meanwhile. Existing connections may live on while new ones are refused; then the
//! servers that answered are probed, and their refusal counts.

use std::collections::VecDeque;

use super::{Connect, Effect, Node, server};
use crate::prelude::*;

/// Silence of two or more servers to which requests were sent from which the paths are suspected.
const SILENCE_OF_SEVERAL: Duration = Duration::from_millis(400);
/// The same of a single server.
const SILENCE_OF_ONE: Duration = Duration::from_millis(1_000);
/// Interval between the first rounds of two suspicions.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Time between the two rounds of a suspicion, in which answers that are under way arrive.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(150);
/// Number of servers that are probed in the two rounds.
const FIRST_PROBES: usize = 1;
const CONFIRMING_PROBES: usize = 6;
/// Servers that answered last among them.
const MIN_ANSWERED_PROBED: usize = 2;
/// Number of other servers that are probed to distinguish a server's crash from a cut path.
const VERIFYING_PROBES: usize = 2;
/// Interval between probes while this daemon is cut off, and servers probed each time.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);
const RECOVERY_PROBES: usize = 2;
/// Number of accepted connects after which this daemon is no longer cut off.
const ACCEPTED_TO_RECOVER: usize = 2;
/// Number of servers that answered last that are remembered.
const MAX_ANSWERED: usize = 4;
/// Time between two ticks from which the process counts as having been stopped.
const STALL: Duration = Duration::from_millis(500);

/// Probes in progress.
#[derive(Debug, Default)]
struct Round {
    open: BTreeSet<server::Key>,
    failed: BTreeSet<server::Key>,
    /// Servers that answered between the suspicion and the begin of the round.
    witnesses: Vec<server::Key>,
}

/// State of the paths to servers.
#[derive(Debug, Default)]
enum Belief {
    #[default]
    Sound,
    /// The first round is in progress.
    Suspected {
        since: Time,
    },
    /// The second round follows at this time, or is in progress.
    Doubted {
        since: Time,
        confirm_at: Time,
        is_confirming: bool,
    },
    CutOff {
        since: Time,
        next_probe: Time,
        accepted: usize,
    },
}

/// Evidence on the paths from this daemon to servers.
#[derive(Debug, Default)]
pub(super) struct Reach {
    belief: Belief,
    round: Round,
    /// Servers with the first request sent to them since any server answered; two at most.
    unanswered: Vec<(server::Key, Time)>,
    /// Servers that answered last, with the time.
    answered: VecDeque<(server::Key, Time)>,
    /// Last time at which a connect was accepted.
    accepted_at: Option<Time>,
    next_round: Time,
    last_tick: Time,
}

impl Reach {
    /// Whether no server is reached.
    pub(super) fn is_cut_off(&self) -> bool {
        matches!(self.belief, Belief::CutOff { .. })
    }

    /// Whether probes are due within milliseconds.
    pub(super) fn is_suspicious(&self) -> bool {
        !matches!(self.belief, Belief::Sound)
    }

    /// Whether a connect to a server was accepted since `since`.
    pub(super) fn has_accepted_since(&self, since: Time) -> bool {
        self.accepted_at.is_some_and(|at| at >= since)
    }

    /// Records that a request was sent to a server.
    pub(super) fn note_sent(&mut self, now: Time, server: server::Key) {
        if self.unanswered.len() < 2 && self.unanswered.iter().all(|(key, _)| *key != server) {
            self.unanswered.push((server, now));
        }
    }

    fn note_answer(&mut self, now: Time, server: server::Key) {
        self.unanswered.clear();
        self.answered.retain(|(key, _)| *key != server);
        self.answered.push_front((server, now));
        self.answered.truncate(MAX_ANSWERED);
    }

    fn is_silent(&self, now: Time) -> bool {
        match self.unanswered.as_slice() {
            [(_, first), _] => now >= *first + SILENCE_OF_SEVERAL,
            [(_, first)] => now >= *first + SILENCE_OF_ONE,
            _ => false,
        }
    }

    /// Discards the evidence after the process was paused: answers may be late because of that.
    fn forget(&mut self) {
        self.unanswered.clear();
        self.round = Round::default();
        if !self.is_cut_off() {
            self.belief = Belief::Sound;
        }
    }

    /// Servers that answered since a time.
    fn answered_since(&self, since: Time) -> impl Iterator<Item = server::Key> {
        self.answered.iter().filter(move |(_, at)| *at >= since).map(|(key, _)| *key)
    }

    /// The servers that answered since a time, and at least the last two that answered at all: a
    /// server that answered recently has probably not crashed.
    fn last_answered(&self, since: Time) -> Vec<server::Key> {
        let count = self.answered_since(since).count().max(MIN_ANSWERED_PROBED);
        self.answered.iter().take(count).map(|(key, _)| *key).collect()
    }

    /// Whether the answers since the suspicion arose outweigh the probes: those who answered do not
    /// refuse new connections. A server that resets them may have as many as it accepts.
    fn is_refuted_by_answers(&self, since: Time) -> bool {
        if self.answered_since(since).next().is_none() {
            return false;
        }
        let Round { failed, witnesses, .. } = &self.round;
        let failed = witnesses.iter().filter(|key| failed.contains(*key)).count();
        failed < witnesses.len().clamp(1, 2)
    }
}

impl Node {
    /// Whether this daemon reaches no server.
    pub(super) fn is_cut_off(&self) -> bool {
        self.reach.is_cut_off()
    }

    /// Records bytes of a server.
    pub(super) fn note_server_contact(&mut self, now: Time, server: server::Key) {
        self.reach.note_answer(now, server);
    }

    /// Has the paths probed after a failed connect, a broken connection or silence, unless that was
    /// done recently.
    pub(super) fn suspect_paths(&mut self, now: Time) {
        if !matches!(self.reach.belief, Belief::Sound) || now < self.reach.next_round {
            return;
        }
        self.reach.next_round = now + ROUND_INTERVAL;
        self.reach.belief = Belief::Suspected { since: now };
        let targets = self.draw_servers(FIRST_PROBES, Vec::new());
        self.start_round(targets);
    }

    /// Draws random servers in addition to `chosen`, up to `count` in all.
    fn draw_servers(&mut self, count: usize, mut chosen: Vec<server::Key>) -> Vec<server::Key> {
        chosen.retain(|key| self.servers.contains_key(*key));
        let pools: Vec<&[server::Key]> = self.pools.values().map(|pool| pool.keys()).collect();
        let total: usize = pools.iter().map(|keys| keys.len()).sum();
        // Some draws meet servers that are chosen already.
        for _ in 0..count * 4 {
            if chosen.len() >= count.min(total) {
                break;
            }
            let mut drawn = self.rng.usize(0..total.max(1));
            for keys in &pools {
                if let Some(key) = keys.get(drawn) {
                    if !chosen.contains(key) {
                        chosen.push(*key);
                    }
                    break;
                }
                drawn -= keys.len();
            }
        }
        chosen
    }

    fn start_round(&mut self, targets: Vec<server::Key>) {
        self.reach.round.open.clear();
        for key in targets {
            let Some(server) = self.servers.get(key) else { continue };
            let address = server.entry.address;
            self.reach.round.open.insert(key);
            self.effects.push(Effect::ProbePath(key, address));
        }
        if self.reach.round.open.is_empty() && !self.is_cut_off() {
            // There is no server to probe.
            self.trust_paths();
        }
    }

    /// Probes two servers other than `than`, one of them the last that answered; returns false if
    /// there is none.
    pub(super) fn probe_other_paths(&mut self, than: Option<server::Key>) -> bool {
        let answered = self.reach.answered.iter().map(|(key, _)| *key);
        let last = answered.into_iter().find(|key| Some(*key) != than);
        let mut targets = self.draw_servers(VERIFYING_PROBES + 1, last.into_iter().collect());
        targets.retain(|key| Some(*key) != than);
        targets.truncate(VERIFYING_PROBES);
        for key in &targets {
            if let Some(server) = self.servers.get(*key) {
                self.effects.push(Effect::ProbePath(*key, server.entry.address));
            }
        }
        !targets.is_empty()
    }

    /// Handles the result of a probe of a path.
    pub(super) fn path_probed(&mut self, now: Time, server: server::Key, connect: Connect) {
        if connect == Connect::Accepted {
            return self.note_accepted_connect(now);
        }
        let reach = &mut self.reach;
        if !reach.round.open.remove(&server) {
            return;
        }
        if connect == Connect::Failed {
            reach.round.failed.insert(server);
        }
        if !reach.round.open.is_empty() {
            return;
        }
        match reach.belief {
            Belief::Suspected { since } => {
                let confirm_at = now + CONFIRMATION_DELAY;
                reach.belief = Belief::Doubted { since, confirm_at, is_confirming: false };
            }
            Belief::Doubted { since, is_confirming: true, .. } => {
                if reach.is_refuted_by_answers(since) {
                    self.trust_paths();
                } else {
                    self.begin_cut_off(now);
                }
            }
            Belief::Sound | Belief::Doubted { .. } | Belief::CutOff { .. } => {}
        }
    }

    /// Records that a server accepted a connection.
    fn note_accepted_connect(&mut self, now: Time) {
        self.reach.accepted_at = Some(now);
        match &mut self.reach.belief {
            Belief::Sound => {}
            Belief::Suspected { .. } | Belief::Doubted { .. } => self.trust_paths(),
            Belief::CutOff { since, accepted, .. } => {
                *accepted += 1;
                let (accepted, lasted) = (*accepted, now.saturating_sub(*since));
                if accepted >= ACCEPTED_TO_RECOVER.min(self.servers.len()) {
                    self.end_cut_off(now, lasted);
                }
            }
        }
    }

    fn trust_paths(&mut self) {
        self.reach.belief = Belief::Sound;
        self.reach.round = Round::default();
        self.reach.unanswered.clear();
    }

    fn begin_cut_off(&mut self, now: Time) {
        let failed = self.reach.round.failed.len();
        self.reach.belief = Belief::CutOff { since: now, next_probe: now, accepted: 0 };
        self.reach.round = Round::default();
        self.reach.unanswered.clear();
        self.event(Event::ServersUnreachable, Detail::of("probed", failed));
        // A connection that its server has closed meanwhile would take a request along.
        let used = self.servers.values().filter(|server| server.last_answer_at.is_some());
        let used: Vec<Effect> =
            used.map(|server| Effect::Disconnect(server.entry.address)).collect();
        self.effects.extend(used);
        self.announce_reach(now);
        self.return_queued_requests(now);
        self.leave_servers(now);
    }

    fn end_cut_off(&mut self, now: Time, lasted: Duration) {
        self.trust_paths();
        self.reach.next_round = now;
        self.event(Event::ServersReachable, Detail::of("lasted_ms", lasted));
        self.announce_reach(now);
    }

    /// Informs peers immediately of whether this daemon reaches servers.
    fn announce_reach(&mut self, now: Time) {
        self.refresh_ranking(now);
        self.send_digests(now);
    }

    /// Looks for silence, and sends the probes that are due.
    pub(super) fn check_reach(&mut self, now: Time) {
        let was_stopped = now >= self.reach.last_tick + STALL;
        self.reach.last_tick = now;
        if was_stopped {
            self.reach.forget();
        }
        match &mut self.reach.belief {
            Belief::Sound => {
                if self.reach.is_silent(now) {
                    self.suspect_paths(now);
                }
            }
            Belief::Suspected { .. } => {}
            Belief::Doubted { since, confirm_at, is_confirming } => {
                if !*is_confirming && now >= *confirm_at {
                    *is_confirming = true;
                    let since = *since;
                    let answered = self.reach.last_answered(since);
                    self.reach.round.witnesses = self.reach.answered_since(since).collect();
                    let targets = self.draw_servers(CONFIRMING_PROBES, answered);
                    self.start_round(targets);
                }
            }
            Belief::CutOff { next_probe, .. } => {
                if now >= *next_probe {
                    *next_probe = now + RECOVERY_INTERVAL;
                    let targets = self.draw_servers(RECOVERY_PROBES, Vec::new());
                    self.start_round(targets);
                }
            }
        }
    }
}
