//! The salt of cached prompts: engines use a cached part only for requests with the salt under which it was made.
//!
//! A workspace that becomes isolated leaves behind what it made before. So the salt of all others changes, too: it names the
//! isolated workspaces, and what is cached under it was made by none of them. The configuration alone decides on it.

use super::{Arrival, Node};
use crate::route::Cohort;

/// Returns the salt for the weights `version`: that of the isolated workspace `owner`, or of all that share.
pub(super) fn cache_salt(version: u64, owner: Option<&str>, cohort: Cohort) -> String {
    match (owner, cohort.without) {
        (Some(owner), _) => format!("{version}.{owner}"),
        (None, Some(isolated)) => format!("{version}-{isolated:016x}"),
        (None, None) => version.to_string(),
    }
}

impl Node {
    /// Returns the salt of a request for the weights `version`.
    pub(super) fn salt_of(&self, arrival: &Arrival, version: u64) -> String {
        cache_salt(version, self.isolated_owner(arrival), self.cohort(arrival))
    }

    /// Returns the workspace of a request if it shares no cached prompts, by the configuration with which the request came or
    /// by this daemon's.
    pub(super) fn isolated_owner<'a>(&self, arrival: &'a Arrival) -> Option<&'a str> {
        let owner = arrival.workspace.as_ref()?;
        let table = self.table.as_ref();
        let is_isolated =
            owner.isolated || table.is_some_and(|table| table.is_isolated(&owner.name));
        is_isolated.then_some(owner.name.as_str())
    }

    /// Returns the workspaces that share, by the newer of these two configurations. A request may have waited since an older
    /// one, or come from a daemon that knows a newer one.
    pub(super) fn cohort(&self, arrival: &Arrival) -> Cohort {
        let own = self.table.as_ref().map(|table| table.cohort());
        own.filter(|own| own.version >= arrival.cohort.version).unwrap_or(arrival.cohort)
    }
}
