//! Which requests and attempts count for the retry budget.

use crate::fleet::tests::site::Site;
use crate::fleet::tests::world::*;
use crate::fleet::*;
use crate::poison::Fingerprint;
use crate::prelude::*;
use crate::route::{Cohort, Repeat};

const SERVERS: [(&str, &str); 3] =
    [("s-1", "plain 101 ready"), ("s-2", "plain 102 ready"), ("s-3", "plain 103 ready")];

/// Requests that all daemons have counted, and retries that they have charged.
fn totals(site: &Site) -> (u64, u64) {
    let budgets = site.daemons.iter().filter_map(|daemon| daemon.node.budgets.get("plain"));
    let totals = budgets.map(|budget| budget.totals());
    totals.fold((0, 0), |(requests, retries), totals| {
        (requests + totals.requests, retries + totals.retries)
    })
}

// A daemon did not charge the retry if its scheduler ended before it could.
#[test]
fn retry_after_a_refusal_is_charged_when_the_scheduler_ends() {
    for refusal in [Refusal::Busy, Refusal::Replaced, Refusal::WrongWeights(None)] {
        let mut site = Site::new(6, &SERVERS);
        let (scheduler, other) = (site.scheduler("plain"), site.non_scheduler());
        let key = site.arrive(other, "plain", Repeat::Idempotent);
        let first = site.only_dispatch(other, key);
        site.down.insert(scheduler);
        site.report(other, key, first.attempt, Report::Refused(refusal));
        site.advance(ms(100));
        assert_eq!(site.only_dispatch(other, key).attempt, 2);
        assert_eq!(totals(&site), (1, 1), "{refusal:?}");
    }
}

/// A peer hands a request over to a daemon.
fn hand_over(site: &mut Site, taker: usize, repeat: Repeat) -> Key {
    let route = route("plain", repeat, 2);
    let key = Key(1_000 + taker as u64);
    let arrival = Arrival {
        request: key,
        id: "handed-over".into(),
        deadline: site.clock(taker) + route.timeout,
        route,
        workspace: None,
        cohort: Cohort::default(),
        prompt: None,
        fingerprint: Fingerprint(1),
        is_handed_over: true,
        start: Start::New,
    };
    site.apply(taker, Message::Arrive(Box::new(arrival)));
    key
}

// A request that its daemon had submitted before it was cut off counted again where it was handed over.
#[test]
fn request_handed_over_is_not_counted_again() {
    let mut site = Site::new(6, &SERVERS);
    for taker in [site.scheduler("plain"), site.non_scheduler()] {
        hand_over(&mut site, taker, Repeat::Idempotent);
        assert_eq!(totals(&site), (0, 0));
    }
}

// The daemon that had handed the request over offered it to another peer, whose first attempt was not charged.
#[test]
fn request_handed_over_that_servers_refused_is_not_handed_back() {
    let mut site = Site::new(6, &SERVERS[..1]);
    for taker in [site.scheduler("plain"), site.non_scheduler()] {
        let key = hand_over(&mut site, taker, Repeat::AtMostOnce);
        let attempt = site.only_dispatch(taker, key).attempt;
        site.report(taker, key, attempt, Report::Refused(Refusal::Busy));
        site.apply(taker, Message::Stop);
        site.apply(taker, Message::StopDeadline);
        let ended = site.commands(taker, key);
        assert!(matches!(ended.as_slice(), [Command::Refuse(Code::NoServer, _)]), "{ended:?}");
        site.advance(ms(2_000));
    }
}
