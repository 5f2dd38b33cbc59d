//! State of pools that outlives their scheduler, and what operators see of workspaces.

use super::site::Site;
use super::world::*;
use crate::fairness::{Claim, Ledger, Mode, Weight};
use crate::fleet::*;
use crate::prelude::*;
use crate::quota::{Quota, Unit};
use crate::route::{Limits, Table, Workspace};
use crate::telemetry::metrics::Gauge;

const SERVERS: [(&str, &str); 3] =
    [("s-1", "plain 101 ready"), ("s-2", "plain 102 ready"), ("s-3", "plain 103 ready")];

fn claim(workspace: &str) -> Claim {
    let weight = Weight::ONE;
    Claim { workspace: workspace.into(), weight, priority: 1, cost_ms: 20.0, returns: false }
}

/// Has the ledger of the plain pool at a daemon give requests to a workspace.
fn give(now: Time, node: &mut Node, workspace: &str, requests: usize) {
    let claim = claim(workspace);
    for _ in 0..requests {
        let start = ledger(node).join(now, &claim);
        ledger(node).begin(now, &claim, start);
    }
}

fn ledger(node: &mut Node) -> &mut Ledger {
    node.ledgers.entry("plain".into()).or_default()
}

/// Whether a workspace's next request at a daemon goes behind that of another.
fn is_behind(now: Time, node: &mut Node, workspace: &str, other: &str) -> bool {
    let ledger = ledger(node);
    ledger.join(now, &claim(workspace)) > ledger.join(now, &claim(other))
}

/// Six daemons with fair shares; the scheduler has given most of the pool to one workspace.
fn site_with_hot_workspace(mode: Mode) -> (Site, usize) {
    let mut site = Site::new(6, &SERVERS);
    site.daemons.iter_mut().for_each(|daemon| daemon.node.policy.fair_shares = mode);
    let (scheduler, now) = (site.scheduler("plain"), site.now);
    give(now, &mut site.daemons[scheduler].node, "hot", 60);
    give(now, &mut site.daemons[scheduler].node, "usual", 10);
    site.advance(ms(400));
    (site, scheduler)
}

// The scheduler ends while a workspace is given six times what another is.
#[test]
fn scheduler_ends_next_one_keeps_workspace_behind() {
    let (mut site, scheduler) = site_with_hot_workspace(Mode::Always);
    site.down.insert(scheduler);
    site.advance(ms(2_000));
    let (next, now) = (site.scheduler("plain"), site.now);
    assert_ne!(next, scheduler);
    assert!(is_behind(now, &mut site.daemons[next].node, "hot", "usual"));
}

// Daemons submit to the next scheduler before that one has noticed that the former ended.
#[test]
fn scheduler_ends_next_one_knows_at_once() {
    let (mut site, scheduler) = site_with_hot_workspace(Mode::Always);
    site.down.insert(scheduler);
    let now = site.now;
    let is_scheduler = |index: &usize| site.daemons[*index].node.is_scheduler(now);
    let schedulers: Vec<usize> = (0..6).filter(is_scheduler).collect();
    assert_eq!(schedulers.len(), 3);
    for other in schedulers.into_iter().filter(|index| *index != scheduler) {
        assert!(is_behind(now, &mut site.daemons[other].node, "hot", "usual"), "{other}");
    }
}

#[test]
fn accounts_only_at_schedulers() {
    let (site, _) = site_with_hot_workspace(Mode::Always);
    for daemon in site.daemons.iter().map(|daemon| &daemon.node) {
        assert_eq!(daemon.ledgers.contains_key("plain"), daemon.is_scheduler(site.now));
    }
}

#[test]
fn accounts_ignored_without_fair_shares() {
    // The configuration of these daemons has no quotas.
    for mode in [Mode::Off, Mode::WithQuotas] {
        let (site, scheduler) = site_with_hot_workspace(mode);
        for (index, daemon) in site.daemons.iter().enumerate() {
            assert_eq!(daemon.node.ledgers.is_empty(), index != scheduler, "{mode:?}");
        }
    }
}

// Two daemons take themselves for the scheduler: neither replaces what it counts by the other's word.
#[test]
fn accounts_of_another_scheduler_leave_an_active_ledger() {
    let mut site = Site::new(6, &SERVERS);
    site.daemons.iter_mut().for_each(|daemon| daemon.node.policy.fair_shares = Mode::Always);
    let now = site.now;
    let schedulers: Vec<usize> =
        (0..6).filter(|index| site.daemons[*index].node.is_scheduler(now)).collect();
    give(now, &mut site.daemons[schedulers[0]].node, "hot", 60);
    give(now, &mut site.daemons[schedulers[0]].node, "usual", 10);
    give(now, &mut site.daemons[schedulers[1]].node, "other", 10);
    site.advance(ms(400));
    let given = |site: &Site, index: usize| {
        let top = site.daemons[index].node.ledgers["plain"].top(site.now, 8);
        top.into_iter().map(|usage| usage.workspace.to_string()).collect::<Vec<String>>()
    };
    assert_eq!(given(&site, schedulers[0]), ["hot", "usual"]);
    assert_eq!(given(&site, schedulers[1]), ["other"]);
}

/// The events of a kind among effects.
fn events(effects: &[Effect], wanted: Event) -> Vec<String> {
    let detail = |effect: &Effect| match effect {
        Effect::Event(event, detail) if *event == wanted => Some(detail.to_string()),
        _ => None,
    };
    effects.iter().filter_map(detail).collect()
}

#[test]
fn event_workspace_held_back_once() {
    let mut daemon = Daemon::with_servers(1, &SERVERS);
    daemon.deliver_records(ms(0), Topic::Routers, &[("router-2", "router 2")]);
    let mut found = Vec::new();
    for step in 0..100 {
        let now = ms(4_000 + step * 20);
        give(now, &mut daemon.node, "hot", 6);
        give(now, &mut daemon.node, "usual", 1);
        if step == 0 {
            for workspace in ["hot", "usual"] {
                ledger(&mut daemon.node).join(now, &claim(workspace));
            }
        }
        found.extend(events(&daemon.tick(now), Event::WorkspaceHeldBack));
    }
    assert_eq!(found.len(), 1, "{found:?}");
    for part in ["pool=plain", "workspace=hot", "share_ms_per_s=", "last_sent_ms_ago=0"] {
        assert!(found[0].contains(part), "{part}: {}", found[0]);
    }
}

#[test]
fn metrics_bounded_by_workspaces_shown() {
    let mut daemon = Daemon::with_servers(1, &SERVERS);
    let now = ms(4_000);
    for number in 0..40 {
        give(now, &mut daemon.node, &format!("w-{number:02}"), 40 - number);
    }
    let metrics = daemon.node.metrics(now);
    let shown: Vec<&Gauge> =
        metrics.iter().filter(|gauge| gauge.name == "workspace_percent").collect();
    assert_eq!(shown.len(), 9);
    assert_eq!(shown[0].labels, [("pool", "plain".into()), ("workspace", "w-00".into())]);
    assert_eq!(shown[8].labels[1], ("workspace", "other".into()));
    let percent: u64 = shown.iter().map(|gauge| gauge.value).sum();
    assert!((95..=105).contains(&percent), "{percent}");
}

#[test]
fn table_without_quota_keeps_the_weight() {
    // The second table lacks the quota of a workspace, which is told once; its weight stays.
    let quota = Quota { rate: 300, burst: 0, unit: Unit::Requests };
    let table = |version, quotas: [Option<Quota>; 2]| {
        let workspaces = ["a", "b"].into_iter().zip(quotas).map(|(name, quota)| {
            let name = name.to_owned();
            (Workspace { name, priority: None, isolated: false, quota }, Vec::new())
        });
        let table = Table::new(
            version,
            Vec::new(),
            BTreeMap::new(),
            Some(workspaces.collect()),
            Limits::default(),
        );
        Arc::new(table.expect("the table is valid"))
    };
    let mut daemon = Daemon::new(1);
    let low = Quota { rate: 100, ..quota };
    daemon.node.apply_table(table(1, [Some(quota), Some(low)]), &[]);
    daemon.node.effects.clear();
    for version in [2, 3] {
        daemon.node.apply_table(table(version, [None, Some(low)]), &[]);
    }
    let told = events(&daemon.node.effects, Event::EntryLeftOut);
    assert!(matches!(&told[..], [only] if only.contains("workspace a")), "{told:?}");
    let in_force = daemon.node.table.as_ref().expect("a table is in force");
    assert_eq!((in_force.version(), in_force.quota("a")), (3, None));
    assert_eq!(in_force.weight("a").value(), 1.5);
}
