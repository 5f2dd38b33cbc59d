//! The servers of a pool, divided into cells.
//!
//! A placement looks at each server that it considers, so its cost must not grow with the pool. The
//! servers of a large pool are therefore divided into cells of bounded size by a hash of their
//! ids, and a request is placed within the cell of its last shared part. All daemons that know the
//! same servers choose the same cell. A small pool is one cell.

use xxhash_rust::xxh3::xxh3_64;

use super::prompt::{salted_key, shared_parts};
use super::request::Request;
use super::server;
use super::streams::History;

/// Mean number of servers in a cell at which cells are divided: enough for the homes of many parts
/// and for an even load.
const MAX_MEAN_CELL_SIZE: usize = 256;
/// Number of cells that a request may be placed in if the servers of its own have no room.
const MAX_CELLS: usize = 3;

/// The servers of one pool.
#[derive(Debug, Default)]
pub(super) struct Pool {
    keys: Vec<server::Key>,
    /// Servers with the hashes of their ids, by cell. The number of cells is a power of two.
    cells: Vec<Vec<(server::Key, u64)>>,
    /// The software versions of its servers, now and recently.
    pub(super) versions: History,
}

/// One cell of a pool.
#[derive(Debug, Clone, Copy)]
pub(super) struct Cell<'a> {
    servers: &'a [(server::Key, u64)],
    /// Number of cells of the pool.
    pub(super) count: usize,
}

impl<'a> Cell<'a> {
    /// Its servers.
    pub(super) fn keys(self) -> impl Iterator<Item = server::Key> + 'a {
        self.servers.iter().map(|(key, _)| *key)
    }
}

impl Pool {
    /// All servers, in the order in which they were added.
    pub(super) fn keys(&self) -> &[server::Key] {
        &self.keys
    }

    /// Number of servers.
    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    pub(super) fn add(&mut self, key: server::Key, id: &str) {
        self.keys.push(key);
        let hash = xxh3_64(id.as_bytes());
        if self.cells.len() == cell_count(self.keys.len()) {
            let cell = cell_index(hash, self.cells.len());
            return self.cells[cell].push((key, hash));
        }
        self.divide(Some((key, hash)));
    }

    pub(super) fn remove(&mut self, key: server::Key, id: &str) {
        self.keys.retain(|other| *other != key);
        let index = cell_index(xxh3_64(id.as_bytes()), self.cells.len());
        if let Some(cell) = self.cells.get_mut(index) {
            cell.retain(|(other, _)| *other != key);
        }
        if self.cells.len() != cell_count(self.keys.len()) {
            self.divide(None);
        }
    }

    /// Divides the servers, and one more, into as many cells as their number requires.
    fn divide(&mut self, added: Option<(server::Key, u64)>) {
        let count = cell_count(self.keys.len());
        let former = std::mem::replace(&mut self.cells, vec![Vec::new(); count]);
        for (key, hash) in former.into_iter().flatten().chain(added) {
            self.cells[cell_index(hash, count)].push((key, hash));
        }
    }

    /// The cells in which a request may be placed, its own first. A stream that must go on at a version with few
    /// servers has those as its only cell, as its own cells may hold none of them.
    pub(super) fn cells_of(&self, request: &Request) -> impl Iterator<Item = Cell<'_>> {
        let servers = request.software.map(|software| self.versions.servers_of(software));
        let few = servers.filter(|servers| servers.len() <= MAX_MEAN_CELL_SIZE);
        let few = few.map(|servers| Cell { servers, count: 1 });
        let cells = self.cells_by_affinity(request).filter(move |_| few.is_none());
        few.into_iter().chain(cells)
    }

    fn cells_by_affinity(&self, request: &Request) -> impl Iterator<Item = Cell<'_>> {
        let count = self.cells.len();
        let hash = affinity(request);
        // With an odd step, the cells differ.
        let step = (hash >> 32) as usize | 1;
        let indices =
            (0..MAX_CELLS.min(count)).map(move |n| (hash as usize).wrapping_add(n * step) % count);
        indices.map(move |index| Cell { servers: &self.cells[index], count })
    }
}

fn cell_count(servers: usize) -> usize {
    servers.div_ceil(MAX_MEAN_CELL_SIZE).max(1).next_power_of_two()
}

/// The cell of a hash: its highest bits, so that a division splits each cell in two.
fn cell_index(hash: u64, count: usize) -> usize {
    ((hash >> 32) as usize * count) >> 32
}

/// Hash that is equal for requests whose prompts end with the same shared part, and differs
/// otherwise.
fn affinity(request: &Request) -> u64 {
    let arrival = &request.arrival;
    let owner = arrival.workspace.as_ref().filter(|owner| owner.isolated);
    let owner = owner.map_or("", |owner| owner.name.as_str());
    let prompt = arrival.prompt.as_ref();
    let last = prompt.and_then(|prompt| shared_parts(&prompt.parts).last());
    match last {
        Some(part) => xxh3_64(&salted_key(owner, part.id).to_le_bytes()),
        None => xxh3_64(arrival.id.as_bytes()),
    }
}
