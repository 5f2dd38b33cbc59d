//! Tests of route lookup by host, longest path prefix and key.

use super::*;

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
    Table::new(1, routes, BTreeMap::new(), workspaces, Limits::default())
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

#[test]
fn new_route_without_pool_refused() {
    let mut no_pool = route("bare", "a.example", "/", true);
    no_pool.splits.clear();
    let result = Table::new(1, vec![no_pool], BTreeMap::new(), Vec::new(), Limits::default());
    assert!(result.is_err());
}
