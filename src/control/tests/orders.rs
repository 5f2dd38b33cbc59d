//! The lease holder among several nodes: paused, replaced, cut off from the log.

use super::world::{Faults, World, manifest_value, publish_record};
use crate::control::{Effect, Message, Stream};
use crate::lease::Terms;
use crate::membership::Report;
use crate::order::{Action, Order};
use crate::peer::{Digest, Frame};
use crate::prelude::*;

/// Nodes whose engines have `v1` while the manifest asks for `v2`.
fn world(nodes: usize) -> World {
    let mut world = World::new(1, nodes, Faults::default());
    world.land(Stream::Manifest, publish_record("second", 1, manifest_value("v2")));
    engines_report(&mut world, "v1");
    world
}

fn engines_report(world: &mut World, version: &str) {
    engines_have(world, &[version]);
}

fn engines_have(world: &mut World, versions: &[&str]) {
    let versions: BTreeSet<String> = versions.iter().map(|version| version.to_string()).collect();
    for index in 0..world.nodes.len() {
        for id in ["engine-0", "engine-1"] {
            let server = world.server(index, id);
            let report = Report {
                incarnation: "one".into(),
                weights: BTreeMap::from([("m".into(), versions.clone())]),
                ..Report::default()
            };
            world.tell(index, Message::Polled(server, Box::new(report)));
        }
    }
}

/// Runs the nodes in `running` for `time`, with reads of the log and digests among them.
fn run(world: &mut World, running: &[usize], time: Duration) {
    run_behind(world, running, &[], time);
}

/// Runs the nodes in `running`; those in `behind` can read all but manifests.
fn run_behind(world: &mut World, running: &[usize], behind: &[usize], time: Duration) {
    let end = world.now + time;
    while world.now < end {
        for index in running {
            world.tell(*index, Message::Tick);
            if behind.contains(index) {
                world.tell(*index, Message::LogDown(Stream::Manifest));
            } else {
                world.read(*index, Stream::Manifest);
            }
            world.read(*index, Stream::Lease);
        }
        for action in std::mem::take(&mut world.actions) {
            if let super::world::Action::Deliver(index, _, message) = action
                && running.contains(&index)
                && matches!(*message, Message::Frame(_))
            {
                world.tell(index, *message);
            }
        }
        world.now += Duration::from_millis(50);
    }
}

#[test]
fn one_holder_orders_after_a_second_ttl() {
    let mut world = world(3);
    // These engines do not check fencing numbers: nothing is ordered before the lease has been
    // free for a TTL and a margin, and held for another TTL.
    run(
        &mut world,
        &[0, 1, 2],
        Terms::DEFAULT.ttl * 2 + Terms::DEFAULT.margin - Duration::from_millis(1_500),
    );
    assert!(world.orders.is_empty(), "{:?}", world.orders);
    run(&mut world, &[0, 1, 2], Duration::from_secs(3));
    let givers: BTreeSet<usize> = world.orders.iter().map(|(index, ..)| *index).collect();
    assert_eq!(givers.len(), 1);
    assert_eq!(world.orders.len(), 2, "one an engine: {:?}", world.orders);
}

#[test]
fn paused_holder_orders_nothing_and_is_replaced() {
    let mut world = world(3);
    run(&mut world, &[0, 1, 2], Duration::from_secs(13));
    let (holder, _, order) = world.orders[0].clone();
    let others: Vec<usize> = (0..3).filter(|index| *index != holder).collect();
    world.orders.clear();
    // The holder freezes; another takes over, with a higher fence.
    run(&mut world, &others, Duration::from_secs(50));
    let (second, _, second_order) = world.orders[0].clone();
    assert_ne!(second, holder);
    assert!(second_order.fence > order.fence);
    // It wakes up: at its first tick it has read nothing, and must not act.
    world.orders.clear();
    world.tell(holder, Message::Tick);
    assert!(world.orders.is_empty(), "a lease that ran out was acted upon");
}

#[test]
fn holder_cut_off_from_log_stops() {
    let mut world = world(1);
    run(&mut world, &[0], Duration::from_secs(13));
    assert!(!world.orders.is_empty());
    world.log_down = true;
    run(&mut world, &[0], Terms::DEFAULT.ttl);
    world.orders.clear();
    run(&mut world, &[0], Duration::from_secs(60));
    assert!(world.orders.is_empty(), "{:?}", world.orders);
}

/// A manifest whose engines check fences, so that versions are unloaded.
fn fenced(version: &str, preload: &[&str]) -> serde_json::Value {
    let mut value = manifest_value(version);
    value["pools"]["model"]["checks_fencing"] = serde_json::json!(true);
    value["models"]["m"]["preload"] = serde_json::json!(preload);
    value
}

fn unloads(world: &World) -> usize {
    let unload = |order: &Order| matches!(order.action, Action::Unload { .. });
    world.orders.iter().filter(|(_, _, order)| unload(order)).count()
}

/// The holder of the lease could read the lease but no manifests, and heard no peer. What its own manifest
/// did not name it took for named by none, and after a minute it had engines unload the version that the next
/// manifest had them load.
#[test]
fn holder_that_reads_no_manifests_unloads_nothing() {
    let mut world = World::new(1, 1, Faults::default());
    world.land(Stream::Manifest, publish_record("second", 1, fenced("v2", &[])));
    engines_have(&mut world, &["v2"]);
    run(&mut world, &[0], Duration::from_secs(70));
    world.land(Stream::Manifest, publish_record("third", 2, fenced("v2", &["v3"])));
    run_behind(&mut world, &[0], &[0], Duration::from_secs(1));
    engines_have(&mut world, &["v2", "v3"]);
    run_behind(&mut world, &[0], &[0], Duration::from_secs(70));
    assert!(world.nodes[0].lease.fence(world.now).is_some(), "it still holds the lease");
    assert_eq!(unloads(&world), 0, "{:?}", world.orders);
}

/// A minute in force at the holder was taken for a minute in force everywhere: versions were unloaded under
/// a daemon that still sent requests for them, its manifest being the one before.
#[test]
fn version_that_a_peer_still_sends_to_is_not_unloaded() {
    let mut world = World::new(1, 2, Faults::default());
    world.land(Stream::Manifest, publish_record("second", 1, fenced("v1", &["v2"])));
    engines_have(&mut world, &["v1", "v2"]);
    run(&mut world, &[0, 1], Duration::from_secs(20));
    world.land(Stream::Manifest, publish_record("third", 2, fenced("v2", &[])));
    world.faults.frame = 100;
    run_behind(&mut world, &[0, 1], &[1], Duration::from_secs(58));
    // They hear each other again, and only the one that is behind is not told more than digests.
    world.faults.frame = 0;
    for _ in 0..100 {
        let digest = Digest { daemon: "router-1".into(), generation: 2, ..Digest::default() };
        world.tell(0, Message::Frame(Frame::Digest(digest)));
        run_behind(&mut world, &[0], &[], Duration::from_millis(250));
    }
    assert_eq!(unloads(&world), 0, "{:?}", world.orders);
    // Once it has the manifest too, or is not heard any more, they are unloaded.
    run_behind(&mut world, &[0], &[], Duration::from_secs(10));
    assert!(unloads(&world) > 0);
}

/// An engine had carried an order out; what it had reported before that counted as what it has, and the order
/// was given again at the next tick, and took a place among those that load at a time.
#[test]
fn order_that_was_carried_out_is_not_given_again_on_an_old_report() {
    let mut world = world(1);
    world.land(Stream::Manifest, publish_record("third", 2, fenced("v2", &[])));
    while world.orders.is_empty() {
        run(&mut world, &[0], Duration::from_millis(50));
    }
    assert_eq!(world.orders.len(), 2);
    let engines = ["engine-0", "engine-1"].map(|id| world.server(0, id));
    engines_report(&mut world, "v1");
    for engine in engines {
        let effects = world.nodes[0].apply(world.now, Message::Ordered(engine, true));
        let polled = effects.iter().any(|effect| matches!(effect, Effect::Poll { .. }));
        assert!(polled, "it is asked at once: {effects:?}");
    }
    run(&mut world, &[0], Duration::from_millis(500));
    assert_eq!(world.orders.len(), 2, "{:?}", world.orders);
    // One that has lost the version all the same is ordered again.
    engines_have(&mut world, &["v1"]);
    run(&mut world, &[0], Duration::from_millis(500));
    assert_eq!(world.orders.len(), 4, "{:?}", world.orders);
}

#[test]
fn nothing_is_ordered_when_versions_are_there() {
    let mut world = world(2);
    run(&mut world, &[0, 1], Duration::from_secs(1));
    engines_report(&mut world, "v2");
    run(&mut world, &[0, 1], Duration::from_secs(40));
    assert!(world.orders.is_empty(), "{:?}", world.orders);
}
