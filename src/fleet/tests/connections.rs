//! Choice of servers by the idle connections of the daemon that sends a request.

use super::world::*;
use crate::fleet::*;
use crate::prelude::*;
use crate::route::Repeat;

/// A daemon before two servers that are alike. Its last exchange ended at the second one; returns
/// where its next request goes, `pause` after that.
fn next_server(prefers_open_connections: bool, pause: Duration) -> String {
    let servers = [("s-1", "plain 11 ready"), ("s-2", "plain 12 ready")];
    let policy = Policy { prefers_open_connections, ..POLICY };
    let mut daemon = Daemon::with_policy(1, policy, &servers);
    let route = route("plain", Repeat::AtMostOnce, 1);
    let (first, effects) = daemon.arrive(ms(10), &route, None);
    assert_eq!(dispatch(&effects).server, "s-1");
    let (second, effects) = daemon.arrive(ms(10), &route, None);
    assert_eq!(dispatch(&effects).server, "s-2");
    daemon.report(ms(50), second, 1, Report::Ended);
    // The first exchange ends without an answer, so its connection is closed.
    daemon.report(ms(60), first, 1, Report::Lost(Loss::InvalidAnswer));
    daemon.tick(ms(1_000));
    let (_, effects) = daemon.arrive(ms(50) + pause, &route, None);
    dispatch(&effects).server
}

/// Each of many daemons met a server so seldom that most requests opened a connection.
#[test]
fn placement_prefers_server_with_idle_connection() {
    assert_eq!(next_server(true, ms(1_500)), "s-2");
    assert_eq!(next_server(false, ms(1_500)), "s-1");
}

#[test]
fn placement_ignores_connection_that_is_closed_by_now() {
    assert_eq!(next_server(true, ms(2_500)), "s-1");
}

#[test]
fn placement_prefers_idle_server_to_busy_one_with_connection() {
    let servers = [("s-1", "plain 11 ready"), ("s-2", "plain 12 ready")];
    let policy = Policy { prefers_open_connections: true, ..POLICY };
    let mut daemon = Daemon::with_policy(1, policy, &servers);
    let route = route("plain", Repeat::AtMostOnce, 1);
    let (first, _) = daemon.arrive(ms(10), &route, None);
    daemon.report(ms(50), first, 1, Report::Ended);
    let (_, effects) = daemon.arrive(ms(60), &route, None);
    assert_eq!(dispatch(&effects).server, "s-1");
    let (_, effects) = daemon.arrive(ms(60), &route, None);
    assert_eq!(dispatch(&effects).server, "s-2");
}
