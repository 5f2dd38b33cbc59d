//! Orders of the lease holder while nodes pause, are replaced or lose the log.

use super::simulation::{Faults, Simulation, manifest_value, publish_record};
use crate::control::{Effect, Message, Stream};
use crate::lease::Terms;
use crate::membership::Report;
use crate::order::{Action, Order};
use crate::peer::{Digest, Frame};
use crate::prelude::*;

/// Returns nodes whose engines have `v1` while the manifest requires `v2`.
fn simulation_before_switch(nodes: usize) -> Simulation {
    let mut simulation = Simulation::new(1, nodes, Faults::default());
    simulation.append_record(Stream::Manifest, publish_record("second", 1, manifest_value("v2")));
    report_version(&mut simulation, "v1");
    simulation
}

fn report_version(simulation: &mut Simulation, version: &str) {
    report_versions(simulation, &[version]);
}

fn report_versions(simulation: &mut Simulation, versions: &[&str]) {
    let versions: BTreeSet<String> = versions.iter().map(|version| version.to_string()).collect();
    for index in 0..simulation.nodes.len() {
        for id in ["engine-0", "engine-1"] {
            let server = simulation.server_key(index, id);
            let report = Report {
                incarnation: "one".into(),
                weights: BTreeMap::from([("m".into(), versions.clone())]),
                ..Report::default()
            };
            simulation.deliver(index, Message::Polled(server, Box::new(report)));
        }
    }
}

/// Runs the nodes in `running` for `time`. They read the log and exchange frames.
fn run_nodes(simulation: &mut Simulation, running: &[usize], time: Duration) {
    run_with_stale(simulation, running, &[], time);
}

/// Runs the nodes in `running`. Those in `stale` cannot read manifests.
fn run_with_stale(simulation: &mut Simulation, running: &[usize], stale: &[usize], time: Duration) {
    let end = simulation.now + time;
    while simulation.now < end {
        for index in running {
            simulation.deliver(*index, Message::Tick);
            if stale.contains(index) {
                simulation.deliver(*index, Message::LogDown(Stream::Manifest));
            } else {
                simulation.read(*index, Stream::Manifest);
            }
            simulation.read(*index, Stream::Lease);
        }
        for action in std::mem::take(&mut simulation.pending) {
            if let super::simulation::PendingAction::Deliver(index, _, message) = action
                && running.contains(&index)
                && matches!(*message, Message::Frame(_))
            {
                simulation.deliver(index, *message);
            }
        }
        simulation.now += Duration::from_millis(50);
    }
}

#[test]
fn one_holder_orders_after_a_second_ttl() {
    let mut simulation = simulation_before_switch(3);
    // These engines do not check fencing tokens. Orders wait until the lease has been free for a TTL
    // and a margin, and held for another TTL.
    run_nodes(
        &mut simulation,
        &[0, 1, 2],
        Terms::DEFAULT.ttl * 2 + Terms::DEFAULT.margin - Duration::from_millis(1_500),
    );
    assert!(simulation.orders.is_empty(), "{:?}", simulation.orders);
    run_nodes(&mut simulation, &[0, 1, 2], Duration::from_secs(3));
    let senders: BTreeSet<usize> = simulation.orders.iter().map(|(index, ..)| *index).collect();
    assert_eq!(senders.len(), 1);
    assert_eq!(simulation.orders.len(), 2, "one order per engine: {:?}", simulation.orders);
}

#[test]
fn paused_holder_orders_nothing_and_is_replaced() {
    let mut simulation = simulation_before_switch(3);
    run_nodes(&mut simulation, &[0, 1, 2], Duration::from_secs(13));
    let (holder, _, order) = simulation.orders[0].clone();
    let others: Vec<usize> = (0..3).filter(|index| *index != holder).collect();
    simulation.orders.clear();
    // The holder freezes. Another node takes the lease with a higher fence.
    run_nodes(&mut simulation, &others, Duration::from_secs(50));
    let (second, _, second_order) = simulation.orders[0].clone();
    assert_ne!(second, holder);
    assert!(second_order.fence > order.fence);
    // The old holder resumes. It must not send orders before it has read the log.
    simulation.orders.clear();
    simulation.deliver(holder, Message::Tick);
    assert!(simulation.orders.is_empty(), "orders were sent under an expired lease");
}

#[test]
fn holder_without_log_stops() {
    let mut simulation = simulation_before_switch(1);
    run_nodes(&mut simulation, &[0], Duration::from_secs(13));
    assert!(!simulation.orders.is_empty());
    simulation.log_down = true;
    run_nodes(&mut simulation, &[0], Terms::DEFAULT.ttl);
    simulation.orders.clear();
    run_nodes(&mut simulation, &[0], Duration::from_secs(60));
    assert!(simulation.orders.is_empty(), "{:?}", simulation.orders);
}

/// Returns a manifest whose engines check fences. Only such engines get unload orders.
fn fencing_manifest(version: &str, preload: &[&str]) -> serde_json::Value {
    let mut value = manifest_value(version);
    value["pools"]["model"]["checks_fencing"] = serde_json::json!(true);
    value["models"]["m"]["preload"] = serde_json::json!(preload);
    value
}

fn count_unloads(simulation: &Simulation) -> usize {
    let is_unload = |order: &Order| matches!(order.action, Action::Unload { .. });
    simulation.orders.iter().filter(|(_, _, order)| is_unload(order)).count()
}

/// Guards against unloading by a stale manifest. A holder that can read the lease but no manifests, and gets no
/// digests, must not unload a version that its manifest doesn't name. Engines may have loaded it for a newer
/// manifest.
#[test]
fn holder_without_manifests_unloads_nothing() {
    let mut simulation = Simulation::new(1, 1, Faults::default());
    simulation
        .append_record(Stream::Manifest, publish_record("second", 1, fencing_manifest("v2", &[])));
    report_versions(&mut simulation, &["v2"]);
    run_nodes(&mut simulation, &[0], Duration::from_secs(70));
    simulation.append_record(
        Stream::Manifest,
        publish_record("third", 2, fencing_manifest("v2", &["v3"])),
    );
    run_with_stale(&mut simulation, &[0], &[0], Duration::from_secs(1));
    report_versions(&mut simulation, &["v2", "v3"]);
    run_with_stale(&mut simulation, &[0], &[0], Duration::from_secs(70));
    assert!(simulation.nodes[0].lease.fence(simulation.now).is_some(), "the node lost the lease");
    assert_eq!(count_unloads(&simulation), 0, "{:?}", simulation.orders);
}

/// Guards against taking a minute in force at the holder for a minute in force everywhere. Versions would be
/// unloaded while a daemon with the previous manifest still sends requests for them.
#[test]
fn version_used_by_stale_peer_is_not_unloaded() {
    let mut simulation = Simulation::new(1, 2, Faults::default());
    simulation.append_record(
        Stream::Manifest,
        publish_record("second", 1, fencing_manifest("v1", &["v2"])),
    );
    report_versions(&mut simulation, &["v1", "v2"]);
    run_nodes(&mut simulation, &[0, 1], Duration::from_secs(20));
    simulation
        .append_record(Stream::Manifest, publish_record("third", 2, fencing_manifest("v2", &[])));
    simulation.faults.frame_percent = 100;
    run_with_stale(&mut simulation, &[0, 1], &[1], Duration::from_secs(58));
    // Digests of the stale node arrive again, but it still has no newer manifest.
    simulation.faults.frame_percent = 0;
    for _ in 0..100 {
        let digest = Digest { daemon: "router-1".into(), generation: 2, ..Digest::default() };
        simulation.deliver(0, Message::Frame(Frame::Digest(digest)));
        run_with_stale(&mut simulation, &[0], &[], Duration::from_millis(250));
    }
    assert_eq!(count_unloads(&simulation), 0, "{:?}", simulation.orders);
    // Versions are unloaded once the stale node has the manifest too or its digests expire.
    run_with_stale(&mut simulation, &[0], &[], Duration::from_secs(10));
    assert!(count_unloads(&simulation) > 0);
}

/// Guards against comparing with a report from before the order was completed. The order would be sent again at
/// the next tick and take one of the slots for concurrent loads.
#[test]
fn order_completed_is_not_repeated_on_old_report() {
    let mut simulation = simulation_before_switch(1);
    simulation
        .append_record(Stream::Manifest, publish_record("third", 2, fencing_manifest("v2", &[])));
    while simulation.orders.is_empty() {
        run_nodes(&mut simulation, &[0], Duration::from_millis(50));
    }
    assert_eq!(simulation.orders.len(), 2);
    let engines = ["engine-0", "engine-1"].map(|id| simulation.server_key(0, id));
    report_version(&mut simulation, "v1");
    for engine in engines {
        let effects = simulation.nodes[0].apply(simulation.now, Message::Ordered(engine, true));
        let has_poll = effects.iter().any(|effect| matches!(effect, Effect::Poll { .. }));
        assert!(has_poll, "the engine is polled at once: {effects:?}");
    }
    run_nodes(&mut simulation, &[0], Duration::from_millis(500));
    assert_eq!(simulation.orders.len(), 2, "{:?}", simulation.orders);
    // Engines whose new report lacks the version get the order again.
    report_versions(&mut simulation, &["v1"]);
    run_nodes(&mut simulation, &[0], Duration::from_millis(500));
    assert_eq!(simulation.orders.len(), 4, "{:?}", simulation.orders);
}

#[test]
fn order_not_sent_when_versions_are_loaded() {
    let mut simulation = simulation_before_switch(2);
    run_nodes(&mut simulation, &[0, 1], Duration::from_secs(1));
    report_version(&mut simulation, "v2");
    run_nodes(&mut simulation, &[0, 1], Duration::from_secs(40));
    assert!(simulation.orders.is_empty(), "{:?}", simulation.orders);
}
