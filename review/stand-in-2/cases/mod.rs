//! The cases.

pub mod cut;
pub mod outage;
pub mod promise;
pub mod replaced;
pub mod wall;
