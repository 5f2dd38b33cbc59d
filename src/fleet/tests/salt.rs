//! The salt of cached prompts while configurations isolate workspaces.

use super::site::Site;
use super::world::*;
use crate::fleet::*;
use crate::prelude::*;
use crate::route::{Cohort, Repeat, Workspace};

const ENGINES: [(&str, &str); 2] = [("e-1", "engine 21 ready 1"), ("e-2", "engine 22 ready 1")];
/// The workspaces of the drawn histories.
const NAMES: [&str; 4] = ["court", "lab", "mill", "port"];
/// Number of drawn histories, and of steps in each.
const HISTORIES: u64 = 60;
const STEPS: usize = 120;

fn workspace(name: &str, isolated: bool) -> Workspace {
    Workspace { name: name.into(), priority: None, isolated, quota: None }
}

fn set_table(daemon: &mut Daemon, now: Time, table: &str) {
    daemon.deliver_records(now, Topic::Operator, &[("config", table)]);
}

/// Returns the cohort of the configuration `version` that isolates these workspaces.
fn cohort(version: u64, isolated: &[&str]) -> Cohort {
    Cohort::of(version, &isolated.iter().map(|name| (*name).to_owned()).collect())
}

/// Sends a request that comes with the daemon's configuration and ends at once; returns its salt.
fn salt(daemon: &mut Daemon, now: Time, owner: Option<Workspace>) -> String {
    let route = route("engines", Repeat::Resumable, 2);
    let (request, effects) = daemon.arrive_for(now, &route, Some(prompt(7, 3)), owner);
    daemon.node.apply(now, Message::Cancel(request));
    dispatch(&effects).cache_salt.expect("requests to engines have a salt")
}

// What the workspace had cached before it became isolated was used by all others until the next version of the weights.
#[test]
fn salt_of_all_others_changes_when_a_workspace_becomes_isolated() {
    let mut daemon = Daemon::with_servers(1, &ENGINES);
    let before = salt(&mut daemon, ms(10), Some(workspace("lab", false)));
    set_table(&mut daemon, ms(20), "table 2 isolates lab");
    let lab = salt(&mut daemon, ms(30), Some(workspace("lab", true)));
    let court = salt(&mut daemon, ms(31), Some(workspace("court", false)));
    let public = salt(&mut daemon, ms(32), None);
    assert_eq!(court, public);
    assert!(court != before && court != lab && lab != before, "{before} {court} {lab}");
}

#[test]
fn salt_is_the_same_at_daemons_that_saw_other_configurations_before() {
    let mut one = Daemon::with_servers(1, &ENGINES);
    let mut two = Daemon::with_servers(2, &ENGINES);
    set_table(&mut one, ms(10), "table 2 isolates lab");
    set_table(&mut one, ms(20), "table 3 isolates mill");
    set_table(&mut one, ms(30), "table 4 isolates lab mill");
    set_table(&mut two, ms(30), "table 4 isolates mill lab");
    for owner in [None, Some(workspace("court", false)), Some(workspace("lab", true))] {
        let salts = [&mut one, &mut two].map(|daemon| salt(daemon, ms(40), owner.clone()));
        assert_eq!(salts[0], salts[1], "{owner:?}");
    }
}

#[test]
fn salt_of_a_request_that_waited_is_that_of_the_newer_configuration() {
    for owner in ["lab", "court"] {
        let mut daemon = Daemon::with_servers(1, &[]);
        let route = route("engines", Repeat::Resumable, 2);
        let arriving = Some(workspace(owner, false));
        let (_, effects) = daemon.arrive_for(ms(10), &route, Some(prompt(7, 3)), arriving);
        assert!(commands(&effects).is_empty(), "no server is there yet");
        set_table(&mut daemon, ms(20), "table 2 isolates lab");
        daemon.cohort = cohort(2, &["lab"]);
        let effects = daemon.deliver_records(ms(30), Topic::Servers, &ENGINES);
        let waited = dispatch(&effects).cache_salt.expect("a salt");
        let is_isolated = owner == "lab";
        assert_eq!(waited, salt(&mut daemon, ms(40), Some(workspace(owner, is_isolated))));
    }
}

// A scheduler that is cut off from the store would send requests to what an isolated workspace had cached before.
#[test]
fn salt_by_a_scheduler_with_an_older_configuration_is_that_of_the_daemon() {
    let mut site = Site::new(6, &ENGINES);
    let (scheduler, other) = (site.scheduler("engines"), site.non_scheduler());
    let owner = || Some(workspace("court", false));
    let key = site.arrive_for(scheduler, "engines", Repeat::Resumable, owner());
    let old = site.only_dispatch(scheduler, key).cache_salt;
    set_table(&mut site.daemons[other], ms(1), "table 2 isolates lab");
    site.daemons[other].cohort = cohort(2, &["lab"]);
    let key = site.arrive_for(other, "engines", Repeat::Resumable, owner());
    let new = site.only_dispatch(other, key).cache_salt;
    assert!(new.is_some() && new != old, "{old:?} {new:?}");
    assert_eq!(site.unscheduled(other), 0, "the scheduler has placed it");
}

#[test]
fn salt_that_a_scheduler_chose_before_the_daemon_learned_of_an_isolation_is_not_used() {
    let mut site = Site::new(6, &ENGINES);
    let (scheduler, other) = (site.scheduler("engines"), site.non_scheduler());
    let route = route("engines", Repeat::Resumable, 2);
    let owner = Some(workspace("court", false));
    let (now, asked) = (site.now, Some(prompt(7, 3)));
    let (key, effects) = site.daemons[other].arrive_for(now, &route, asked, owner);
    let submitted = site.execute_effects(other, effects);
    assert!(!submitted.is_empty() && submitted.iter().all(|(to, _)| *to == scheduler));
    set_table(&mut site.daemons[other], now, "table 2 isolates lab");
    for (to, message) in submitted {
        site.apply(to, message);
    }
    let sent = site.only_dispatch(other, key).cache_salt.expect("a salt");
    let mut alone = Daemon::with_servers(9, &ENGINES);
    set_table(&mut alone, ms(5), "table 2 isolates lab");
    assert_eq!(sent, salt(&mut alone, ms(10), Some(workspace("court", false))));
}

/// The workspaces that have made cached parts, by salt.
type Makers = BTreeMap<String, BTreeSet<&'static str>>;

/// Plays a drawn history of three daemons that learn configurations at different times. Returns the first use of a part by
/// a workspace that may not share it, by the configuration of the daemon.
fn first_breach(seed: u64) -> Option<String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut daemons = [1, 2, 3].map(|last| Daemon::with_servers(last, &ENGINES));
    let mut configurations: Vec<Vec<&str>> = vec![vec![]];
    let mut known = [0; 3];
    let mut makers = Makers::new();
    for step in 0..STEPS {
        let now = ms(10 * step as u64 + 10);
        if rng.u32(..8) == 0 {
            configurations.push(NAMES.into_iter().filter(|_| rng.u32(..3) == 0).collect());
        }
        let index = rng.usize(..daemons.len());
        if rng.u32(..3) == 0 && known[index] + 1 < configurations.len() {
            known[index] = rng.usize(known[index] + 1..configurations.len());
            let version = known[index] as u64 + 1;
            let isolated = configurations[known[index]].join(" ");
            set_table(&mut daemons[index], now, &format!("table {version} isolates {isolated}"));
        }
        let isolated = &configurations[known[index]];
        let owner = NAMES[rng.usize(..NAMES.len())];
        let is_isolated = isolated.contains(&owner);
        daemons[index].cohort = cohort(known[index] as u64 + 1, isolated);
        let salt = salt(&mut daemons[index], now, Some(workspace(owner, is_isolated)));
        let made = makers.entry(salt.clone()).or_default();
        let other =
            made.iter().find(|made| **made != owner && (is_isolated || isolated.contains(*made)));
        if let Some(other) = other {
            return Some(format!("seed {seed}: {owner} uses what {other} made under {salt}"));
        }
        made.insert(owner);
    }
    None
}

#[test]
fn salt_never_lets_an_isolated_workspace_share_in_drawn_histories() {
    let breaches: Vec<String> = (0..HISTORIES).filter_map(first_breach).collect();
    assert!(breaches.is_empty(), "{breaches:#?}");
}
