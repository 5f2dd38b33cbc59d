//! The requests that wait for a server, in the order in which they are sent.

use std::ops::Bound;

use super::Key;
use super::admission::Position;
use super::request::Request;
use crate::prelude::*;

/// The waiting requests of all pools.
#[derive(Debug, Default)]
pub(super) struct Queue {
    positions: BTreeSet<Position>,
    lanes: BTreeMap<String, Lane>,
}

/// The waiting requests of one pool.
#[derive(Debug, Default)]
struct Lane {
    positions: BTreeSet<Position>,
    /// Number of late requests.
    late: usize,
    /// Number of requests by workspace, while the pool's room is divided.
    by_workspace: BTreeMap<Arc<str>, usize>,
    /// The last position of the former batch.
    cursor: Option<Position>,
}

impl Queue {
    /// Adds a request. Its position must not change until it is removed.
    pub(super) fn insert(&mut self, key: Key, request: &Request) {
        let position = Position::of(key, request);
        if !self.positions.insert(position) {
            return;
        }
        let lane = self.lanes.entry(request.pool.clone()).or_default();
        lane.positions.insert(position);
        lane.late += usize::from(request.is_late);
        if let Some(stake) = &request.stake {
            *lane.by_workspace.entry(Arc::clone(&stake.claim.workspace)).or_default() += 1;
        }
    }

    /// Removes a request, if it waits.
    pub(super) fn remove(&mut self, key: Key, request: &Request) {
        let position = Position::of(key, request);
        if !self.positions.remove(&position) {
            return;
        }
        let Some(lane) = self.lanes.get_mut(&request.pool) else { return };
        lane.positions.remove(&position);
        lane.late -= usize::from(request.is_late);
        let Some(stake) = &request.stake else { return };
        let Some(count) = lane.by_workspace.get_mut(&stake.claim.workspace) else { return };
        *count -= 1;
        if *count == 0 {
            lane.by_workspace.remove(&stake.claim.workspace);
        }
    }

    /// Number of requests of all pools.
    pub(super) fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no request of any pool waits.
    pub(super) fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// The positions of all pools, in order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Position> {
        self.positions.iter()
    }

    /// The positions of all pools before `position`.
    pub(super) fn before(&self, position: Position) -> impl Iterator<Item = &Position> {
        self.positions.range(..position)
    }

    /// The positions of all pools after `position`.
    pub(super) fn after(&self, position: Position) -> impl Iterator<Item = &Position> {
        self.positions.range((Bound::Excluded(position), Bound::Unbounded))
    }

    /// The pools for which requests wait.
    pub(super) fn pools(&self) -> Vec<String> {
        let busy = self.lanes.iter().filter(|(_, lane)| !lane.positions.is_empty());
        busy.map(|(pool, _)| pool.clone()).collect()
    }

    /// The positions of one pool, in order.
    pub(super) fn of_pool(&self, pool: &str) -> impl Iterator<Item = &Position> {
        self.lanes.get(pool).into_iter().flat_map(|lane| &lane.positions)
    }

    /// The first position of one pool that is as urgent as `position`, and as late.
    pub(super) fn first_of_class(&self, pool: &str, position: Position) -> Option<Position> {
        let lane = self.lanes.get(pool)?;
        let class = position.start_of_class()..position.end_of_class();
        lane.positions.range(class).next().copied()
    }

    /// Number of requests of one pool.
    pub(super) fn len_of(&self, pool: &str) -> usize {
        self.lanes.get(pool).map_or(0, |lane| lane.positions.len())
    }

    /// Number of late requests of one pool.
    pub(super) fn late_len_of(&self, pool: &str) -> usize {
        self.lanes.get(pool).map_or(0, |lane| lane.late)
    }

    /// Number of requests of one workspace for one pool.
    pub(super) fn len_of_workspace(&self, pool: &str, workspace: &str) -> usize {
        let lane = self.lanes.get(pool);
        lane.and_then(|lane| lane.by_workspace.get(workspace)).copied().unwrap_or_default()
    }

    /// The requests of one pool to try next: the first `size`, and as many of the others,
    /// continuing where the last batch ended. A server with room may hold none of the parts of the
    /// first ones.
    pub(super) fn next_batch_of(&mut self, pool: &str, size: usize) -> Vec<Position> {
        let Some(lane) = self.lanes.get_mut(pool) else { return Vec::new() };
        let mut batch: Vec<Position> = lane.positions.iter().take(size).copied().collect();
        let Some(last) = batch.last().copied() else { return batch };
        let from = lane.cursor.filter(|cursor| *cursor > last).unwrap_or(last);
        let after = (Bound::Excluded(from), Bound::Unbounded);
        batch.extend(lane.positions.range(after).take(size));
        lane.cursor = batch.last().copied().filter(|_| batch.len() == 2 * size);
        batch
    }

    /// The newest request of the workspace of a pool that is furthest ahead of its share: of each
    /// class, the last in order is furthest ahead of the first.
    pub(super) fn furthest_ahead(&self, pool: &str) -> Option<Position> {
        let lane = self.lanes.get(pool)?;
        let mut furthest: Option<(u64, Position)> = None;
        let mut next = lane.positions.first().copied();
        while let Some(first) = next {
            let end = first.end_of_class();
            let last = lane.positions.range(..end).next_back().copied().unwrap_or(first);
            let ahead = last.ahead_of(first);
            if furthest.is_none_or(|(most, _)| ahead >= most) {
                furthest = Some((ahead, last));
            }
            next = lane.positions.range(end..).next().copied();
        }
        furthest.map(|(_, position)| position)
    }
}
