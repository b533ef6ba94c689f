//! Division of a pool among teams.
//!
//! [`allocate`] gives each team its slots of a pool over the whole fleet, [`part`] splits them over the entry
//! instances, and [`next_team`] decides which team gets the next free slot. [`Usage`] remembers what was used and
//! what was owed, so that a slot lost to rounding or to an old digest is compensated later.

mod allocation;
mod fairness;
mod usage;

pub use allocation::{Demand, allocate, entitlement, part, parts};
pub use fairness::{distance, jain};
pub use usage::{Candidate, TIME_CONSTANT_MS, Usage, next_team, quotas};
