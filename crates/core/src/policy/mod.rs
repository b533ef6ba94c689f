//! Load-management policies without I/O: time and randomness are passed in as arguments.
//!
//! `examples/policies` compares each policy with baselines in virtual time; `docs/decisions.md` has the results.

pub mod outlier;
pub mod placement;
pub mod rebalance;
pub mod retry;
pub mod shed;
