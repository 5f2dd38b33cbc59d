//! Applies records of the platform's store to the daemon's state.

use crate::fleet::life::Known;
use crate::fleet::request::{Phase, Request};
use crate::fleet::{
    Batch, Change, Dependency, Effect, Entry, Key, Location, Node, Read, Record, Server, Topic,
    server,
};
use crate::prelude::*;
use crate::route::Table;

/// Time for registrations that lapsed while the store was down to return, from when reads last
/// failed.
const LAPSED_RETURN_TIME: Duration = Duration::from_millis(2_200);
/// Maximum number of unreadable keys tracked, so that each is logged once.
const MAX_UNREADABLE_KEYS: usize = 1_024;

impl Node {
    pub(in crate::fleet) fn handle_read(&mut self, now: Time, read: Read) {
        let Read { batch, is_snapshot: whole, current_at: asked } = read;
        let (topic, to) = (batch.topic, batch.to);
        self.mark_readable(now, Dependency::Topic(topic));
        self.read_at.insert(topic, now);
        self.note_own_read(topic);
        if whole {
            self.apply_snapshot(now, batch);
        } else {
            self.apply_batch(now, batch, true);
        }
        match topic {
            Topic::Operator if self.has_all_operator_records() => self.note_complete_until(asked),
            Topic::Servers => self.note_registrations_read(asked, to),
            Topic::Operator | Topic::Routers => {}
        }
    }

    /// Whether this daemon has every operator record that it knows to exist.
    pub(in crate::fleet) fn has_all_operator_records(&self) -> bool {
        let topic = Topic::Operator;
        self.known_topics.contains(&topic)
            && self.catalog.is_contiguous(topic)
            && !self.behind.contains_key(&topic)
    }

    /// Applies a snapshot of a topic; keys that are not in it were removed.
    pub(in crate::fleet) fn apply_snapshot(&mut self, now: Time, batch: Batch) {
        let Batch { topic, to, .. } = batch;
        let removals = self.catalog.removals(topic, &batch.records, to);
        self.apply_records(now, topic, &removals);
        self.apply_records(now, topic, &batch.records);
        self.catalog.mark_snapshot(topic, to);
        self.note_known(now, topic);
    }

    /// Records that a topic is known. Whether this daemon reads the store for others depends on the
    /// daemons that it knows.
    fn note_known(&mut self, now: Time, topic: Topic) {
        if !self.known_topics.insert(topic) {
            return;
        }
        match topic {
            Topic::Routers => self.refresh_ranking(now),
            Topic::Servers => {
                self.begin_watch(now);
            }
            Topic::Operator => {}
        }
    }

    /// Applies a batch from the store or from a peer, and optionally forwards it to some peers if
    /// any record was new.
    pub(in crate::fleet) fn apply_batch(&mut self, now: Time, batch: Batch, forward: bool) {
        let any_new = self.apply_records(now, batch.topic, &batch.records);
        // Peers forward new records one by one. After a gap, such a record does not mean the topic
        // is known, and the next read may return older records.
        if self.catalog.advance(batch.topic, batch.from, batch.to) {
            self.note_known(now, batch.topic);
        }
        if forward && any_new {
            self.forward_records(now, batch);
        }
    }

    pub(in crate::fleet) fn mark_unreadable(
        &mut self,
        now: Time,
        tracked: Dependency,
        reason: &str,
    ) {
        if tracked == Dependency::Topic(Topic::Servers) {
            self.servers_down_at = Some(now);
        }
        if self.unread_since.contains_key(&tracked) {
            return;
        }
        self.unread_since.insert(tracked, now);
        let detail = Detail::of("topic", tracked.name()).and("reason", reason);
        self.event(Event::LogDown, detail);
    }

    /// Records that a topic or the lease was read.
    pub(in crate::fleet) fn mark_readable(&mut self, now: Time, tracked: Dependency) {
        if let Some(since) = self.unread_since.remove(&tracked) {
            let detail =
                Detail::of("topic", tracked.name()).and("down_ms", now.saturating_sub(since));
            self.event(Event::LogUp, detail);
        }
    }

    /// Applies records; returns whether any was new.
    fn apply_records(&mut self, now: Time, topic: Topic, records: &[Record]) -> bool {
        let mut any_new = false;
        for record in records {
            if !self.catalog.insert(topic, record) {
                continue;
            }
            any_new = true;
            match (self.decode)(topic, record) {
                Ok(change) => {
                    self.unreadable_records.remove(&(topic, record.key.clone()));
                    self.apply_change(now, change);
                }
                Err(reason) => self.skip_unreadable(now, topic, record, reason),
            }
        }
        self.catalog.trim();
        if any_new {
            self.send_waiting(now);
        }
        any_new
    }

    /// Handles a record that can't be decoded. An unreadable registration removes the server of its
    /// key; an unreadable configuration or weights record leaves the last one in force. Logged once
    /// per key and reason, because another writer may repeat it as often as servers register.
    fn skip_unreadable(&mut self, now: Time, topic: Topic, record: &Record, reason: String) {
        self.counts.unreadable += 1;
        if topic == Topic::Servers
            && let Some(key) = self.incarnations.registered(&record.key)
        {
            self.remove_server(now, key);
        }
        let detail = Detail::of("topic", format!("{topic:?}"))
            .and("key", record.key.as_str())
            .and("offset", record.offset)
            .and("reason", reason.as_str());
        let key = (topic, record.key.clone());
        if self.unreadable_records.get(&key) == Some(&reason) {
            return;
        }
        if self.unreadable_records.len() >= MAX_UNREADABLE_KEYS {
            self.unreadable_records.pop_first();
        }
        self.unreadable_records.insert(key, reason);
        self.event(Event::RecordUnreadable, detail);
    }

    fn apply_change(&mut self, now: Time, change: Change) {
        match change {
            Change::Table { table, left_out } => self.apply_table(table, &left_out),
            Change::Weights { model, version } => self.note_naming(now, &model, version),
            Change::Server(entry) => self.register(now, entry),
            Change::ServerGone(id) => self.unregister(now, &id),
            Change::Router(registration) => self.register_peer(now, registration),
            Change::Blocked(blocked) => self.block_stored(now, blocked),
            Change::Unblocked(fingerprint) => self.block_removed(now, fingerprint),
            Change::Nothing => {}
        }
    }

    pub(in crate::fleet) fn apply_table(&mut self, table: Arc<Table>, left_out: &[String]) {
        let current = self.table.as_ref().map_or(0, |table| table.version());
        if self.table.is_some() && table.version() <= current {
            return;
        }
        for reason in left_out {
            let detail = Detail::of("version", table.version()).and("reason", reason.as_str());
            self.event(Event::EntryLeftOut, detail);
        }
        self.event(Event::ManifestInForce, Detail::of("version", table.version()));
        let table = self.keep_former_quotas(table);
        self.table = Some(Arc::clone(&table));
        self.update_stores();
        self.effects.push(Effect::Table(table));
    }

    /// Completes a table by what the one in force says of quotas that it lacks.
    fn keep_former_quotas(&mut self, table: Arc<Table>) -> Arc<Table> {
        let Some(former) = self.table.clone() else { return table };
        let mut table = Arc::unwrap_or_clone(table);
        for (workspace, weight) in table.keep_from(&former) {
            let detail = Detail::of("version", table.version())
                .and("reason", format!("workspace {workspace}: it has no quota any more"))
                .and("weight", weight.value());
            self.event(Event::EntryLeftOut, detail);
        }
        Arc::new(table)
    }

    /// Applies a registration of a known server, a new one, or one that has restarted. A
    /// registration from an ended incarnation is ignored.
    pub(in crate::fleet) fn register(&mut self, now: Time, entry: Entry) {
        match self.incarnations.find(&entry.incarnation) {
            Known::Ended => {}
            Known::Same(key) => self.update_server(now, key, entry),
            Known::New => self.add_server(now, entry),
            Known::Next(former) => self.replace_restarted(now, former, entry),
        }
    }

    fn update_server(&mut self, now: Time, key: server::Key, entry: Entry) {
        let is_first_copy = !self.known_topics.contains(&Topic::Servers);
        let Some(server) = self.servers.get_mut(key) else { return };
        let was_leaving = server.entry.draining;
        let former = server.software;
        let id = entry.incarnation.id.clone();
        server.update(entry);
        if let Some(pool) = self.pools.get_mut(&server.entry.pool)
            && server.software != former
        {
            pool.versions.remove(now, former, key);
            pool.versions.add(server.software, key, &id, is_first_copy);
        }
        if server.entry.draining && !was_leaving {
            self.event(Event::ServerLeaving, Detail::of("server", id));
        }
        self.refresh_outdated_server(key);
    }

    fn add_server(&mut self, now: Time, entry: Entry) {
        self.event(
            Event::ServerAdded,
            Detail::of("server", entry.incarnation.id.as_str())
                .and("pool", entry.pool.as_str())
                .and("software", entry.software.as_str())
                .and("address", entry.address)
                .and("born", entry.incarnation.started_ms),
        );
        let is_first_copy = !self.known_topics.contains(&Topic::Servers);
        let (incarnation, pool) = (entry.incarnation.clone(), entry.pool.clone());
        let draining = entry.draining || self.departures.contains(&incarnation);
        let server = Server::new(Entry { draining, ..entry });
        let software = server.software;
        let key = self.servers.insert(server);
        self.incarnations.begin(&incarnation, key);
        let pool = self.pools.entry(pool).or_default();
        pool.add(key, &incarnation.id);
        let had_several = pool.versions.count(now) > 1;
        pool.versions.add(software, key, &incarnation.id, is_first_copy);
        if !had_several && pool.versions.count(now) > 1 {
            self.replicate_own_streams(now);
        }
        self.schedule_event_read(Location::Engine(key), Time::ZERO);
        self.refresh_outdated_server(key);
        // What peers reported of this incarnation before it was known counts from now on.
        self.peer_loads_stale = true;
    }

    /// Replaces the state of a restarted server. The requests that it ran ended with the old
    /// incarnation, so those that may be repeated are sent again at once instead of after a
    /// timeout.
    fn replace_restarted(&mut self, now: Time, former: server::Key, entry: Entry) {
        let address = self.servers.get(former).map(|server| server.entry.address);
        let detail = Detail::of("server", entry.incarnation.id.as_str())
            .and("born", entry.incarnation.started_ms);
        self.event(Event::ServerRestarted, detail);
        let attempts = self.requests.iter().filter_map(|(key, request)| match request.phase {
            Phase::Sent { server, sent_at: at, .. } if server == former => Some((*key, at)),
            _ => None,
        });
        let attempts: Vec<(Key, Time)> = attempts.collect();
        for (key, at) in &attempts {
            self.connection_lost(now, *key, former, now.saturating_sub(*at));
        }
        self.remove_server(now, former);
        self.add_server(now, entry);
        self.effects.extend(address.map(Effect::Disconnect));
        let repeatable = |key: &Key| self.requests.get(key).is_some_and(Request::may_repeat);
        let lost: Vec<Key> = attempts.into_iter().map(|(key, _)| key).filter(repeatable).collect();
        for key in lost {
            self.log_failed(key, former, "the server restarted");
            self.retry_or_give_up(now, key);
        }
    }

    /// Removes a server whose registration is gone. If the registration may have lapsed only
    /// because the store was down, the server is kept until it has had time to return.
    pub(in crate::fleet) fn unregister(&mut self, now: Time, id: &str) {
        let Some(key) = self.incarnations.registered(id) else { return };
        if self.servers_down_at.is_some_and(|at| now < at + LAPSED_RETURN_TIME) {
            if let Some(server) = self.servers.get_mut(key) {
                server.unconfirmed_removal_at = Some(now);
            }
            return;
        }
        self.remove_server(now, key);
    }

    pub(in crate::fleet) fn remove_lapsed(&mut self, now: Time) {
        let Some(down_at) = self.servers_down_at else { return };
        if now < down_at + LAPSED_RETURN_TIME {
            return;
        }
        self.servers_down_at = None;
        let lapsed: Vec<server::Key> = self
            .servers
            .iter()
            .filter(|(_, server)| server.unconfirmed_removal_at.is_some())
            .map(|(key, _)| key)
            .collect();
        for key in lapsed {
            self.remove_server(now, key);
        }
    }

    pub(in crate::fleet) fn remove_server(&mut self, now: Time, key: server::Key) {
        let Some(server) = self.servers.remove(key) else { return };
        self.incarnations.end(&server.entry.incarnation);
        self.refresh_outdated_server(key);
        self.registration_ended(now, &server);
        self.peer_loads.remove(&key);
        self.event_reads.remove(&Location::Engine(key));
        if let Some(pool) = self.pools.get_mut(&server.entry.pool) {
            pool.remove(key, &server.entry.incarnation.id);
            pool.versions.remove(now, server.software, key);
        }
        self.event(Event::ServerRemoved, Detail::of("server", server.entry.incarnation.id));
    }
}
