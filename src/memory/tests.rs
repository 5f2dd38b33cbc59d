//! Tests of the account.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::Poll;
use std::thread;

use futures_lite::{FutureExt, future};

use super::*;
use crate::prelude::*;

const MEBIBYTE: usize = 1 << 20;
/// Time after which a connection without progress counts as stalled, and some.
const STALL: Duration = Duration::from_millis(300);

/// An account for 16 MiB, of which large holdings may have 12, and 200 connections of callers.
fn account() -> Arc<Account> {
    Arc::new(Account::new(Limits::of_vm(64 * MEBIBYTE, 600)))
}

fn open(account: &Arc<Account>) -> Option<Holding> {
    future::block_on(account.open(Port::Entry))
}

fn connect(account: &Arc<Account>) -> Holding {
    open(account).expect("there is room for a connection")
}

/// Owns `holding` until it is revoked, while `other` runs.
fn beside<T>(holding: Holding, other: impl Future<Output = T>) -> T {
    let revocation = holding.revocation();
    let mut holding = Some(holding);
    let mut owner = Box::pin(async move {
        revocation.await;
        holding.take();
        future::pending::<T>().await
    });
    let mut other = pin!(other);
    future::block_on(poll_fn(|context| match other.as_mut().poll(context) {
        Poll::Ready(value) => Poll::Ready(value),
        Poll::Pending => owner.poll(context),
    }))
}

#[test]
fn set_answers_beyond_the_bound_fail_until_others_end() {
    let account = account();
    let first = account.begin();
    let second = account.begin();
    assert!(first.set(8 * MEBIBYTE).is_ok());
    assert!(second.set(3 * MEBIBYTE).is_ok());
    assert!(second.set(5 * MEBIBYTE).is_err());
    drop(first);
    assert!(second.set(8 * MEBIBYTE).is_ok());
}

#[test]
fn set_small_answers_beside_large_ones_succeed() {
    let account = account();
    let large = account.begin();
    assert!(large.set(13 * MEBIBYTE).is_err());
    assert!(account.begin().set(64 << 10).is_ok());
    // A larger one fails as long as the large one is held.
    assert!(account.begin().set((64 << 10) + 1).is_err());
    assert!(large.set(0).is_ok());
    assert!(account.begin().set(MEBIBYTE).is_ok());
}

#[test]
fn set_counts_small_answers() {
    let account = account();
    let answers: Vec<Holding> = (0..300).map(|_| account.begin()).collect();
    for answer in &answers {
        assert!(answer.set(64 << 10).is_ok());
    }
    assert_eq!(account.held_bytes(), 300 * (64 << 10));
    assert!(account.begin().set(MEBIBYTE).is_err());
    drop(answers);
    assert_eq!(account.held_bytes(), 0);
}

#[test]
fn grow_to_more_than_is_left_is_refused_and_changes_nothing() {
    let account = account();
    let (first, second) = (connect(&account), connect(&account));
    assert!(first.begin_serving());
    assert!(future::block_on(first.grow_to(11 * MEBIBYTE)).is_ok());
    assert_eq!(future::block_on(second.grow_to(2 * MEBIBYTE)), Err(Full));
    assert_eq!(account.held_bytes(), 11 * MEBIBYTE);
    // A quarter is for small requests.
    assert!(future::block_on(second.grow_to(64 << 10)).is_ok());
    assert!(future::block_on(first.grow_to(MEBIBYTE)).is_ok());
    assert!(future::block_on(second.grow_to(2 * MEBIBYTE)).is_ok());
}

#[test]
fn grow_to_revokes_the_connection_that_stalled_for_longest() {
    let account = account();
    let stalled = connect(&account);
    let later = connect(&account);
    assert!(future::block_on(stalled.grow_to(6 * MEBIBYTE)).is_ok());
    assert!(future::block_on(later.grow_to(6 * MEBIBYTE)).is_ok());
    thread::sleep(STALL);
    assert!(later.record_progress());
    let newcomer = connect(&account);
    let grown = beside(stalled, async {
        let grown = newcomer.grow_to(6 * MEBIBYTE).await;
        grown.is_ok() && later.record_progress()
    });
    assert!(grown, "the stalled one makes room, the later one stays");
}

#[test]
fn grow_to_spares_what_is_served_and_what_makes_progress() {
    let account = account();
    let (served, arriving) = (connect(&account), connect(&account));
    assert!(future::block_on(served.grow_to(6 * MEBIBYTE)).is_ok());
    assert!(served.begin_serving());
    assert!(future::block_on(arriving.grow_to(6 * MEBIBYTE)).is_ok());
    thread::sleep(STALL);
    assert!(arriving.record_progress());
    assert_eq!(future::block_on(connect(&account).grow_to(MEBIBYTE)), Err(Full));
    assert!(served.begin_serving() && arriving.begin_serving(), "none is revoked");
}

#[test]
fn open_beyond_the_limit_revokes_a_stalled_connection() {
    let account = account();
    let mut open_ones: Vec<Holding> = (0..200).map(|_| connect(&account)).collect();
    assert!(open(&account).is_none(), "none has stalled");
    for connection in &open_ones[1..] {
        assert!(connection.begin_serving());
    }
    thread::sleep(STALL);
    let stalled = open_ones.remove(0);
    let newcomer = beside(stalled, account.open(Port::Entry));
    assert!(newcomer.is_some());
    assert_eq!(account.connections(Port::Entry), 200);
}

#[test]
fn open_at_one_port_does_not_take_the_place_of_another() {
    let account = account();
    let callers: Vec<Holding> = (0..200).map(|_| connect(&account)).collect();
    assert!(future::block_on(account.open(Port::Readiness)).is_some());
    assert_eq!(account.connections(Port::Entry), callers.len());
}
