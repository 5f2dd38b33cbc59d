//! Cells of large pools.

use slotmap::SlotMap;

use super::world::*;
use crate::fleet::pool::Pool;
use crate::fleet::request::Request;
use crate::fleet::*;
use crate::prelude::*;
use crate::route::Repeat;

/// Maximum number of servers that a placement may look at, whatever the size of the pool.
const MAX_CONSIDERED: usize = 3 * 512;

fn pool(servers: usize) -> (Pool, SlotMap<server::Key, usize>) {
    let (mut pool, mut keys) = (Pool::default(), SlotMap::with_key());
    for number in 0..servers {
        pool.add(keys.insert(number), &format!("e-{number}"));
    }
    (pool, keys)
}

fn request(id: u64, subject: u64) -> Request {
    let mut daemon = Daemon::with_servers(1, &[]);
    let route = route("engines", Repeat::Resumable, 2);
    for _ in 0..id {
        daemon.arrive(ms(10), &route, Some(prompt(7, subject)));
    }
    let key = *daemon.node.requests.keys().last().expect("the request is open");
    daemon.node.requests.remove(&key).expect("the request is open")
}

// A placement looked at each engine of its pool.
#[test]
fn cells_of_a_request_do_not_grow_with_the_pool() {
    for servers in [600, 2_000, 20_000] {
        let (pool, _) = pool(servers);
        let request = request(1, 3);
        let cells: Vec<Vec<server::Key>> =
            pool.cells_of(&request).map(|cell| cell.keys().collect()).collect();
        let considered: BTreeSet<server::Key> = cells.iter().flatten().copied().collect();
        assert_eq!(considered.len(), cells.iter().map(Vec::len).sum::<usize>(), "cells overlap");
        assert!(considered.len() <= MAX_CONSIDERED, "{} of {servers}", considered.len());
        assert!(cells.iter().all(|cell| cell.len() >= 64), "a cell of {servers} is small");
    }
}

#[test]
fn cells_of_a_small_pool_are_the_pool() {
    let (pool, keys) = pool(256);
    let cells: Vec<Vec<server::Key>> =
        pool.cells_of(&request(1, 3)).map(|cell| cell.keys().collect()).collect();
    assert_eq!(cells, [keys.keys().collect::<Vec<server::Key>>()]);
}

#[test]
fn cells_of_requests_with_the_same_last_shared_part_are_equal() {
    let (pool, _) = pool(2_000);
    let first = |request: &Request| pool.cells_of(request).next().map(|cell| cell.keys().min());
    assert_eq!(first(&request(1, 3)), first(&request(2, 3)));
    let subjects = (0..40).map(|subject| first(&request(1, subject)));
    let cells: BTreeSet<Option<Option<server::Key>>> = subjects.collect();
    assert!(cells.len() >= 5, "{} cells for 40 subjects", cells.len());
}

#[test]
fn remove_keeps_each_server_in_one_cell() {
    let (mut pool, keys) = pool(1_100);
    for (key, number) in keys.iter().filter(|(_, number)| *number % 2 == 0) {
        pool.remove(key, &format!("e-{number}"));
    }
    let left: BTreeSet<server::Key> = pool.keys().iter().copied().collect();
    let requests = (0..60).map(|subject| request(1, subject));
    let in_cells: BTreeSet<server::Key> = requests
        .flat_map(|request| pool.cells_of(&request).flat_map(|c| c.keys()).collect::<Vec<_>>())
        .collect();
    assert_eq!((pool.len(), in_cells), (550, left));
}

#[test]
fn place_outside_of_a_cell_without_room() {
    let names: Vec<(String, String)> =
        (0..600).map(|n| (format!("e-{n}"), format!("engine {} ready 1", n % 200))).collect();
    let mut daemon = Daemon::with_servers(1, &borrowed(&names));
    let request = request(1, 3);
    let own: Vec<server::Key> =
        daemon.node.pools["engines"].cells_of(&request).next().expect("a cell").keys().collect();
    for key in &own {
        daemon.node.servers[*key].entry.draining = true;
    }
    let route = route("engines", Repeat::Resumable, 2);
    let (_, effects) = daemon.arrive(ms(10), &route, Some(prompt(7, 3)));
    let server = dispatch(&effects).server;
    assert!(own.iter().all(|key| daemon.node.servers[*key].entry.incarnation.id != server));
}
