//! What a scheduler tells the other schedulers of the pools that it places requests for.

use super::{Malformed, millis, wire};
use crate::capacity;
use crate::fairness::{Usage, Weight};
use crate::fleet::Incarnation;
use crate::prelude::*;

/// Maximum number of pools, of workspaces of one pool, and of servers' speeds in a digest.
pub(in crate::fleet) const MAX_ACCOUNTS: usize = 8;
pub(in crate::fleet) const MAX_USAGES: usize = 32;
pub(in crate::fleet) const MAX_SPEEDS: usize = 64;
/// Maximum length of the names of workspaces in a digest; others are left out.
pub(in crate::fleet) const MAX_NAME_BYTES: usize = 64;

/// The state of a pool at its scheduler, for the one after it.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// The pool.
    pub pool: String,
    /// The workspaces that were given most of it lately.
    pub usages: Vec<Usage>,
}

/// Converts a number to one that is finite in its encoding.
fn encode_number(number: f64) -> f32 {
    if number.is_nan() { 0.0 } else { number.min(f64::from(f32::MAX)) as f32 }
}

fn decode_number(number: f32) -> Result<f64, Malformed> {
    let is_valid = number.is_finite() && number >= 0.0;
    let number = is_valid.then_some(f64::from(number));
    number.ok_or_else(|| Malformed("a workspace's use is negative or not finite".into()))
}

impl From<Account> for wire::Account {
    fn from(account: Account) -> Self {
        let usages = &account.usages;
        Self {
            pool: account.pool,
            workspaces: usages.iter().map(|usage| usage.workspace.as_ref().to_owned()).collect(),
            weights: usages.iter().map(|usage| encode_number(usage.weight.value())).collect(),
            given_ms_per_s: usages
                .iter()
                .map(|usage| encode_number(usage.given_ms_per_s))
                .collect(),
            waiting_ms: usages.iter().map(|usage| encode_number(usage.waiting_ms)).collect(),
        }
    }
}

impl TryFrom<wire::Account> for Account {
    type Error = Malformed;

    fn try_from(account: wire::Account) -> Result<Self, Malformed> {
        let wire::Account { pool, workspaces, weights, given_ms_per_s, waiting_ms } = account;
        let count = workspaces.len();
        if [weights.len(), given_ms_per_s.len(), waiting_ms.len()] != [count; 3] {
            return Err(Malformed("a pool's workspaces and their use differ in number".into()));
        }
        if count > MAX_USAGES {
            return Err(Malformed("a pool has too many workspaces".into()));
        }
        let numbers = weights.into_iter().zip(given_ms_per_s).zip(waiting_ms);
        let usages = workspaces.into_iter().zip(numbers);
        let usages = usages.map(|(workspace, ((weight, given_ms_per_s), waiting_ms))| {
            let weight = Weight::new(f64::from(weight));
            Ok(Usage {
                workspace: workspace.into(),
                weight: weight.ok_or_else(|| Malformed("a weight is not above 0".into()))?,
                given_ms_per_s: decode_number(given_ms_per_s)?,
                waiting_ms: decode_number(waiting_ms)?,
            })
        });
        Ok(Self { pool, usages: usages.collect::<Result<_, Malformed>>()? })
    }
}

impl From<(Incarnation, capacity::Report)> for wire::Speed {
    fn from((incarnation, report): (Incarnation, capacity::Report)) -> Self {
        let capacity::Report { factor, samples, age } = report;
        Self {
            server: incarnation.id,
            born: incarnation.started_ms,
            factor,
            samples,
            age_ms: millis(age),
        }
    }
}

impl TryFrom<wire::Speed> for (Incarnation, capacity::Report) {
    type Error = Malformed;

    fn try_from(speed: wire::Speed) -> Result<Self, Malformed> {
        let wire::Speed { server, born, factor, samples, age_ms } = speed;
        if !(factor.is_finite() && factor > 0.0 && samples.is_finite() && samples >= 0.0) {
            return Err(Malformed("a server's speed is invalid".into()));
        }
        let age = Duration::from_millis(u64::from(age_ms));
        Ok((Incarnation::new(server, born), capacity::Report { factor, samples, age }))
    }
}

/// Decodes the accounts of a digest.
pub(super) fn decode_accounts(accounts: Vec<wire::Account>) -> Result<Vec<Account>, Malformed> {
    if accounts.len() > MAX_ACCOUNTS {
        return Err(Malformed("the digest has the accounts of too many pools".into()));
    }
    accounts.into_iter().map(Account::try_from).collect()
}

/// Decodes the speeds of a digest.
pub(super) fn decode_speeds(
    speeds: Vec<wire::Speed>,
) -> Result<Vec<(Incarnation, capacity::Report)>, Malformed> {
    if speeds.len() > MAX_SPEEDS {
        return Err(Malformed("the digest has the speeds of too many servers".into()));
    }
    speeds.into_iter().map(<(Incarnation, capacity::Report)>::try_from).collect()
}
