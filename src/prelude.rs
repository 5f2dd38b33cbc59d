//! Types that most modules use.

pub use std::collections::{BTreeMap, BTreeSet};
pub use std::sync::Arc;
pub use std::time::Duration;

pub use crate::error::{Code, Error, Execution, Result};
pub use crate::telemetry::{Detail, Event};

/// Monotonic time since the daemon started.
pub type Time = Duration;
