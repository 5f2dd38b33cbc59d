//! Tests of route lookup by host, longest path prefix and key.

use super::*;
use crate::fairness::Weight;
use crate::quota::Unit;

fn route(name: &str, host: &str, prefix: &str, is_public: bool) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        repeat: Repeat::Idempotent,
        is_streaming: false,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_millis(100),
        priority: 1,
        splits: vec![Split { pool: "plain".into(), weight: 1 }],
        max_attempts: 2,
        is_public,
    }
}

fn table(routes: Vec<Route>, workspaces: Vec<(Workspace, Vec<String>)>) -> Table {
    Table::new(1, routes, BTreeMap::new(), Some(workspaces), Limits::default())
        .expect("every route has a pool")
}

fn lab() -> (Workspace, Vec<String>) {
    let workspace = Workspace { name: "lab".into(), priority: None, isolated: false, quota: None };
    (workspace, vec!["key-1".into()])
}

fn name(lookup: Lookup) -> Option<String> {
    match lookup {
        Lookup::Route(route, _) => Some(route.name.clone()),
        Lookup::NoRoute | Lookup::NoWorkspace => None,
    }
}

#[test]
fn find_longest_prefix() {
    let routes = vec![
        route("short", "a.example", "/x/", true),
        route("long", "a.example", "/x/y/", true),
        route("other", "b.example", "/x/y/z/", true),
    ];
    let table = table(routes, Vec::new());
    assert_eq!(name(table.find("a.example", "/x/y/z/1", None)).as_deref(), Some("long"));
    assert_eq!(name(table.find("A.example:80", "/x/z", None)).as_deref(), Some("short"));
    assert_eq!(table.find("a.example", "/z/", None), Lookup::NoRoute);
    assert_eq!(table.find("c.example", "/x/", None), Lookup::NoRoute);
}

#[test]
fn find_key_selects_workspace() {
    let table = table(
        vec![route("open", "a.example", "/o/", true), route("kept", "a.example", "/k/", false)],
        vec![lab()],
    );
    assert_eq!(table.find("a.example", "/k/", None), Lookup::NoWorkspace);
    assert_eq!(table.find("a.example", "/k/", Some("key-2")), Lookup::NoWorkspace);
    let Lookup::Route(_, Some(workspace)) = table.find("a.example", "/k/", Some("key-1")) else {
        panic!("the key belongs to a workspace");
    };
    assert_eq!(workspace.name, "lab");
    assert!(matches!(table.find("a.example", "/o/", None), Lookup::Route(_, None)));
}

/// Once no workspace had a key, requests with any key were served.
#[test]
fn find_no_key_left() {
    let routes =
        || vec![route("open", "a.example", "/o/", true), route("kept", "a.example", "/k/", false)];
    let (workspace, _) = lab();
    for workspaces in [vec![(workspace, Vec::new())], Vec::new()] {
        let table = table(routes(), workspaces);
        for key in [None, Some("key-1"), Some("")] {
            assert_eq!(table.find("a.example", "/k/", key), Lookup::NoWorkspace, "{key:?}");
            assert!(matches!(table.find("a.example", "/o/", key), Lookup::Route(_, None)));
        }
    }
    let without_workspaces = Table::new(1, routes(), BTreeMap::new(), None, Limits::default());
    let table = without_workspaces.expect("every route has a pool");
    assert!(matches!(table.find("a.example", "/k/", None), Lookup::Route(_, None)));
}

#[test]
fn new_route_without_pool_refused() {
    let mut no_pool = route("bare", "a.example", "/", true);
    no_pool.splits.clear();
    let result = Table::new(1, vec![no_pool], BTreeMap::new(), None, Limits::default());
    assert!(result.is_err());
}

/// A table of workspaces with quotas of so many requests a second; 0 stands for no quota.
fn with_quotas(rates: &[(&str, u64)]) -> Table {
    let workspaces = rates.iter().map(|(name, rate)| {
        let quota = Quota { rate: *rate, burst: 10, unit: Unit::Requests };
        let quota = (*rate > 0).then_some(quota);
        let name = (*name).to_owned();
        (Workspace { name: name.clone(), priority: None, isolated: false, quota }, vec![name])
    });
    table(Vec::new(), workspaces.collect())
}

fn weights(table: &Table, names: &[&str]) -> Vec<f64> {
    names.iter().map(|name| table.weight(name).value()).collect()
}

#[test]
fn weight_rate_over_mean() {
    let table = with_quotas(&[("a", 100), ("b", 300), ("c", 800), ("free", 0)]);
    assert_eq!(weights(&table, &["a", "b", "c", "free", "unknown"]), [0.25, 0.75, 2.0, 1.0, 1.0]);
    assert!(table.has_quotas() && !with_quotas(&[("free", 0)]).has_quotas());
}

#[test]
fn weight_units_apart() {
    // Two workspaces are limited by tokens, which are many more than requests.
    let quota = |rate, unit| Some(Quota { rate, burst: 0, unit });
    let tokens = Unit::Tokens { default_tokens: 1 };
    let workspaces = [
        ("a", quota(10, Unit::Requests)),
        ("b", quota(30, Unit::Requests)),
        ("c", quota(100_000, tokens)),
        ("d", quota(100_000, tokens)),
    ];
    let workspaces = workspaces.map(|(name, quota)| {
        let workspace = Workspace { name: name.into(), priority: None, isolated: false, quota };
        (workspace, Vec::new())
    });
    let table = table(Vec::new(), workspaces.into());
    assert_eq!(weights(&table, &["a", "b", "c", "d"]), [0.5, 1.5, 1.0, 1.0]);
}

#[test]
fn keep_from_unreadable_quota() {
    let former = with_quotas(&[("a", 100), ("b", 300)]);
    let unreadable = BTreeSet::from(["a".to_owned(), "new".to_owned()]);
    let mut table =
        with_quotas(&[("a", 0), ("b", 900), ("new", 0)]).with_unreadable_quotas(unreadable);
    assert_eq!(table.keep_from(&former), []);
    assert_eq!(table.quota("a"), former.quota("a"));
    assert_eq!((table.quota("b").map(|quota| quota.rate), table.quota("new")), (Some(900), None));
    assert_eq!(weights(&table, &["a", "b", "new"]), [0.2, 1.8, 1.0]);
    // It stays in force while it can't be read.
    let last = table.clone();
    table = with_quotas(&[("a", 0), ("b", 300)]).with_unreadable_quotas(["a".to_owned()].into());
    table.keep_from(&last);
    assert_eq!(weights(&table, &["a", "b"]), [0.5, 1.5]);
}

#[test]
fn keep_from_quota_removed() {
    // Without a quota the workspace is not limited, and keeps its weight.
    let former = with_quotas(&[("a", 100), ("b", 300)]);
    let mut table = with_quotas(&[("a", 0), ("b", 300)]);
    let half = Weight::new(0.5).expect("a valid weight");
    assert_eq!(table.keep_from(&former), [("a".to_owned(), half)]);
    assert_eq!((table.quota("a"), table.weight("a")), (None, half));
    let mut next = with_quotas(&[("a", 0), ("b", 300)]);
    assert_eq!(next.keep_from(&table), [], "it is told once");
    assert_eq!(next.weight("a"), half);
}

#[test]
fn keep_from_workspace_gone() {
    let former = with_quotas(&[("a", 100), ("b", 300)]);
    let mut table = with_quotas(&[("b", 300)]);
    assert_eq!(table.keep_from(&former), []);
    assert_eq!(weights(&table, &["a", "b"]), [1.0, 1.0]);
    assert_eq!(table.quota("a"), None);
}
