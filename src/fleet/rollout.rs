//! Rolls out new weights: the lease holder orders engines to load them, a limited number at a time.

use super::life::Known;
use super::loading::Limiter;
use super::naming::{Bound, Namings};
use super::pool::Pool;
use super::server::Order;
use super::{Dependency, Effect, Entry, Incarnation, Node, OrderEnd, State, server};
use crate::prelude::*;

/// Delay from an order to the first poll of its engine: a load takes about half a second, and
/// reports lag.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(700);
/// Time between two polls: an engine that has finished serves nothing until a poll shows it.
const POLL_INTERVAL: Duration = Duration::from_millis(120);
/// Age of an engine's weights, as a ratio of the weights limit, from which as many engines load at
/// a time as the pool can spare: the remaining time allows few more rounds.
const URGENT_AGE_RATIO: f64 = 0.6;
/// Time after which an order without a visible effect counts as lost.
const ORDER_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Additional delay of each daemon, by rank, before it tries to take the lease.
const CANDIDATE_DELAY_STEP: Duration = Duration::from_millis(250);

/// State of the rollout of weights.
#[derive(Debug, Default)]
pub(super) struct Rollout {
    /// Named versions that this daemon read itself.
    pub(super) own_namings: Namings,
    /// The same, merged with the last report of each peer.
    merged_namings: Namings,
    /// Whether peers have reported since the last merge.
    pub(super) merge_is_stale: bool,
    /// Time until which this daemon is known to have all records of the operators' topic.
    pub(super) complete_until: Option<Time>,
    /// Start of the period in which engines have older weights.
    outdated_since: Option<Time>,
    /// Versions that were recently observed: server, model, version and time.
    pub(super) observed: Vec<(Incarnation, String, u64, Time)>,
    /// Engines with older weights than the newest version that is named, by model, with that version.
    outdated: BTreeMap<(server::Key, String), u64>,
    /// Versions and table for which `outdated` was computed; `None` to compute it again.
    outdated_for: Option<(BTreeMap<String, u64>, u64)>,
    /// Engines that have an open order.
    ordered: BTreeSet<server::Key>,
    /// Limits on concurrent loads, by pool.
    limiters: BTreeMap<String, Limiter>,
}

impl Rollout {
    /// Whether engines lack the newest weights.
    pub(super) fn is_active(&self) -> bool {
        self.outdated_since.is_some()
    }
}

impl Node {
    /// Records that this daemon has all records of the operators' topic written until `at`.
    pub(super) fn note_complete_until(&mut self, at: Time) {
        let known = self.rollout.complete_until.get_or_insert(at);
        *known = at.max(*known);
    }

    /// Records that `version` of `model` was named, after the time until which all records are
    /// known.
    pub(super) fn note_naming(&mut self, now: Time, model: &str, version: u64) {
        let bound = self.rollout.complete_until.map(|since| Bound::since(since, now));
        if !self.rollout.own_namings.record(model, version, bound) {
            return;
        }
        self.merge_namings(now);
        let age = self.superseded_for(now, model, version.saturating_sub(1));
        let detail = Detail::of("model", model)
            .and("version", version)
            .and_some("most_ms", age.filter(|age| *age < Duration::MAX));
        self.event(Event::WeightsNamed, detail);
    }

    /// Merges the namings of this daemon and of its peers if they have changed.
    pub(super) fn refresh_namings(&mut self, now: Time) {
        if std::mem::take(&mut self.rollout.merge_is_stale) {
            self.merge_namings(now);
        }
    }

    fn merge_namings(&mut self, now: Time) {
        let mut merged = self.rollout.own_namings.clone();
        for peer in self.peers.values() {
            let (Some(digest), Some(heard)) = (&peer.digest, peer.heard_at) else { continue };
            merged.merge_peer(now, &digest.named, heard, peer.known_digest_delay());
        }
        self.rollout.merged_namings = merged;
    }

    /// Maximum time since a version after this one was named; `None` if none was.
    pub(super) fn superseded_for(&self, now: Time, model: &str, version: u64) -> Option<Duration> {
        self.rollout.merged_namings.superseded_for(now, model, version)
    }

    /// Records the version that a server was observed to have.
    pub(super) fn note_weights(&mut self, now: Time, key: server::Key, model: &str, version: u64) {
        let Some(server) = self.servers.get_mut(key) else { return };
        if server.weights_version(model).is_some_and(|known| known >= version) {
            return;
        }
        let took = server.loading_time(now, model, version);
        server.weights_loaded(model, version);
        let pool = server.entry.pool.clone();
        if let Some(took) = took {
            let engines = self.pools.get(&pool).map_or(1, Pool::len);
            self.rollout.limiters.entry(pool).or_default().note_load(now, engines, took);
        }
        self.refresh_outdated_server(key);
        let Some(server) = self.servers.get(key) else { return };
        let incarnation = server.entry.incarnation.clone();
        let detail = Detail::of("server", incarnation.id.as_str())
            .and("model", model)
            .and("version", version)
            .and_some("took_ms", took);
        self.event(Event::WeightsLoaded, detail);
        self.rollout.observed.push((incarnation, model.to_owned(), version, now));
        self.send_waiting(now);
    }

    /// Whether the configuration defines this pool as one of engines: a registration with another
    /// pool need not be of a server.
    fn is_engine_pool(&self, pool: &str) -> bool {
        self.table.as_ref().is_some_and(|table| table.engine(pool).is_some())
    }

    /// Updates the list of engines with older weights if other versions are named or another table
    /// is in force. A change of one server updates the list by itself.
    fn refresh_outdated(&mut self) {
        let newest = self.rollout.merged_namings.newest_versions();
        let basis = (newest, self.table.as_ref().map_or(0, |table| table.version()));
        if self.rollout.outdated_for.as_ref() == Some(&basis) {
            return;
        }
        self.rollout.outdated_for = Some(basis);
        self.rollout.outdated.clear();
        let keys: Vec<server::Key> = self.servers.keys().collect();
        for key in keys {
            self.refresh_outdated_server(key);
        }
    }

    /// Updates what the list of engines with older weights says of one server, which may be gone.
    pub(super) fn refresh_outdated_server(&mut self, key: server::Key) {
        let of_server = (key, String::new())..;
        let listed = self.rollout.outdated.range(of_server);
        let listed: Vec<(server::Key, String)> =
            listed.map(|(entry, _)| entry.clone()).take_while(|(of, _)| *of == key).collect();
        for entry in listed {
            self.rollout.outdated.remove(&entry);
        }
        let Some(server) = self.servers.get(key) else { return };
        if server.entry.draining || !self.is_engine_pool(&server.entry.pool) {
            return;
        }
        for (model, version) in &server.entry.weights {
            let newest = self.rollout.merged_namings.newest(model);
            if let Some(newest) = newest.filter(|newest| newest > version) {
                self.rollout.outdated.insert((key, model.clone()), newest);
            }
        }
    }

    /// Takes or renews the lease while engines have older weights, and orders the next engines.
    pub(super) fn roll_out(&mut self, now: Time) {
        self.refresh_outdated();
        if self.rollout.outdated.is_empty() {
            self.rollout.outdated_since = None;
            return;
        }
        let since = *self.rollout.outdated_since.get_or_insert(now);
        // A daemon that does not read the lease would try to take one that is held.
        let candidate = self.should_read(now, Dependency::Lease)
            && now >= since + CANDIDATE_DELAY_STEP * self.rank_among_daemons();
        // A holder that reaches no engine leaves the lease to another daemon.
        let may_order = !self.draining && !self.is_cut_off();
        if may_order && let Some(record) = self.lease.due_record(now, candidate) {
            self.effects.push(Effect::AppendLease(record.encode()));
        }
        self.poll_ordered(now);
        let Some(fence) = self.lease.fence(now) else { return };
        if !may_order || !(self.policy.engines_check_fences || self.lease.is_settled(now)) {
            return;
        }
        self.order_next(now, fence);
    }

    fn order_next(&mut self, now: Time, fence: u64) {
        let outdated = self.rollout.outdated.iter();
        let mut outdated: Vec<(server::Key, String, u64)> =
            outdated.map(|((key, model), version)| (*key, model.clone(), *version)).collect();
        let mut loading: BTreeMap<String, usize> = BTreeMap::new();
        let running = |key: &server::Key| {
            self.servers.get(*key).map_or(0, |server| self.load(*key, server).running)
        };
        outdated.sort_by_key(|(key, model, _)| (!self.is_urgent(now, *key, model), running(key)));
        for (key, model, version) in outdated {
            let Some(server) = self.servers.get(key) else { continue };
            if server.order.is_some() || server.is_backing_off(now) {
                continue;
            }
            let pool = server.entry.pool.clone();
            let urgent = self.is_urgent(now, key, &model);
            let loading =
                loading.entry(pool.clone()).or_insert_with(|| self.count_loading(now, &pool));
            if *loading >= self.max_loading(&pool, urgent) {
                continue;
            }
            *loading += 1;
            self.order_load(now, key, model, version, fence);
        }
    }

    fn count_loading(&self, now: Time, pool: &str) -> usize {
        let ordered = self.rollout.ordered.iter().filter_map(|key| self.servers.get(*key));
        ordered.filter(|server| server.entry.pool == pool && server.is_loading(now)).count()
    }

    /// Whether an engine's weights will soon reach the weights limit. The age counts from the first
    /// version that superseded them: if versions are named in quick succession, some engine always
    /// lacks the newest.
    fn is_urgent(&self, now: Time, key: server::Key, model: &str) -> bool {
        let version = self.servers.get(key).and_then(|server| server.weights_version(model));
        let age = version.and_then(|version| self.superseded_for(now, model, version));
        age.is_some_and(|age| age >= self.policy.weights_limit.mul_f64(URGENT_AGE_RATIO))
    }

    /// Maximum number of engines of a pool that may load at a time.
    fn max_loading(&self, pool: &str, urgent: bool) -> usize {
        let limit = self.policy.weights_limit;
        let engines = self.pools.get(pool).map_or(1, Pool::len);
        let limiter = self.rollout.limiters.get(pool).copied().unwrap_or_default();
        limiter.max_concurrent(engines, limit, urgent)
    }

    fn order_load(&mut self, now: Time, key: server::Key, model: String, version: u64, fence: u64) {
        let Some(server) = self.servers.get_mut(key) else { return };
        self.rollout.ordered.insert(key);
        server.order = Some(Order {
            model: model.clone(),
            version,
            sent_at: now,
            accepted: false,
            poll_at: now + FIRST_POLL_DELAY,
        });
        let entry = &server.entry;
        let effect = Effect::Order {
            server: key,
            id: entry.incarnation.id.clone(),
            address: entry.address,
            model: model.clone(),
            version,
            fence,
            expected_sequence: entry.sequence,
        };
        let detail = Detail::of("server", entry.incarnation.id.as_str())
            .and("model", model)
            .and("version", version)
            .and("fence", fence)
            .and("expect", entry.sequence);
        self.event(Event::OrderGiven, detail);
        self.effects.push(effect);
        self.next_digest = now;
    }

    /// Polls engines that have an open order.
    fn poll_ordered(&mut self, now: Time) {
        for key in self.rollout.ordered.clone() {
            let ordered = self.servers.get_mut(key).filter(|server| server.order.is_some());
            let Some(server) = ordered else {
                self.rollout.ordered.remove(&key);
                continue;
            };
            let Some(ordered) = &mut server.order else { continue };
            if now >= ordered.sent_at + ORDER_TIMEOUT {
                server.order = None;
            } else if now >= ordered.poll_at {
                ordered.poll_at = now + POLL_INTERVAL;
                let (id, address) = (server.entry.incarnation.id.clone(), server.entry.address);
                self.effects.push(Effect::Poll(key, id, address));
            }
        }
    }

    /// Applies the outcome of an order.
    pub(super) fn order_ended(&mut self, now: Time, key: server::Key, end: OrderEnd) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let Some(ordered) = server.order.clone() else { return };
        match end {
            OrderEnd::Accepted => {
                server.entry.sequence += 1;
                if let Some(ordered) = &mut server.order {
                    ordered.accepted = true;
                }
                return;
            }
            OrderEnd::Held => return self.note_weights(now, key, &ordered.model, ordered.version),
            OrderEnd::Conflict | OrderEnd::Unknown => {
                if let Some(ordered) = &mut server.order {
                    ordered.poll_at = now;
                }
            }
            OrderEnd::Fenced | OrderEnd::Refused => {
                server.order = None;
                server.refused(now);
            }
        }
        let detail = Detail::of("server", server.entry.incarnation.id.as_str())
            .and("end", format!("{end:?}"));
        self.event(Event::OrderRefused, detail);
    }

    /// Applies the state that an engine reported.
    pub(super) fn polled(&mut self, now: Time, key: server::Key, state: Option<State>) {
        let Some(state) = state else { return };
        let Some(server) = self.servers.get(key) else { return };
        // An engine that does not report its start is assumed to be the known one.
        let born = if state.born == 0 { server.entry.incarnation.started_ms } else { state.born };
        let incarnation = Incarnation::new(server.entry.incarnation.id.as_str(), born);
        match self.incarnations.find(&incarnation) {
            Known::Same(_) | Known::New => {}
            // The engine has restarted, and its registration does not show it yet.
            Known::Next(_) => {
                let State { sequence, weights, is_leaving, .. } = state;
                // The previous incarnation may have been draining.
                let entry = Entry {
                    incarnation,
                    sequence,
                    weights,
                    draining: is_leaving,
                    ..server.entry.clone()
                };
                return self.register(now, entry);
            }
            // The report is older than what is known.
            Known::Ended => return,
        }
        if state.is_leaving {
            self.note_leaving(now, key);
        }
        for (model, version) in &state.weights {
            self.note_weights(now, key, model, *version);
        }
        let Some(server) = self.servers.get_mut(key) else { return };
        let Some(ordered) = &server.order else { return };
        // A report lags and may not show an order that was just accepted.
        let settled = !ordered.accepted || now >= ordered.sent_at + FIRST_POLL_DELAY * 2;
        if !state.busy && settled {
            server.entry.sequence = state.sequence;
            server.order = None;
        }
    }

    /// Applies records of the lease.
    pub(super) fn lease_read(&mut self, now: Time, first: u64, records: &[(u64, String)]) {
        self.mark_readable(now, Dependency::Lease);
        let before = self.lease.holder().map(|held| held.fence);
        self.lease.skip_to(first);
        for (offset, text) in records {
            if self.lease.fold(now, *offset, text).is_none() {
                self.event(
                    Event::RecordUnreadable,
                    Detail::of("topic", "lease").and("offset", *offset),
                );
            }
        }
        if let Some(held) = self.lease.holder()
            && before != Some(held.fence)
        {
            let detail = Detail::of("holder", held.daemon.as_str()).and("fence", held.fence);
            self.event(Event::LeaseTaken, detail);
        }
        if self.rollout.is_active() {
            self.roll_out(now);
        }
    }
}
