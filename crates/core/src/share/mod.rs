//! Division of a pool among teams.
//!
//! [`allocate`] gives each team its slots of a pool over the whole fleet, [`member_quota`] splits them over the entry
//! instances, and [`next_team`] decides which team gets the next free slot. [`Usage`] remembers what was used and
//! what was owed, so that a slot lost to rounding or to an old digest is compensated later.

mod allocation;
mod fairness;
mod usage;

pub use allocation::{Demand, allocate, entitlement, member_quota, split_quota};
pub use fairness::{jain, max_deviation};
pub use usage::{Candidate, TIME_CONSTANT_MS, Usage, next_team, quotas};
