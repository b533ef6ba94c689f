//! Fair sharing of a pool among teams.
//!
//! [`allocate`] computes the slots of each team over the whole fleet, [`member_quota`] splits them over the entry
//! instances, and [`next_team`] chooses the team that gets the next free slot. [`Usage`] tracks what was used and what
//! was owed, so that slots lost to rounding or to an out-of-date digest are compensated later.

mod allocation;
mod fairness;
mod usage;

pub use allocation::{Demand, allocate, entitlement, member_quota, split_quota};
pub use fairness::{jain, max_deviation};
pub use usage::{Candidate, TIME_CONSTANT_MS, Usage, next_team, quotas};
