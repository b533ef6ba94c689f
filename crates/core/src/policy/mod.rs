//! Decisions under load, as pure state and functions: time and randomness are arguments.
//!
//! Each policy is measured against named baselines in virtual time; `docs/decisions.md` has the figures.

pub mod outlier;
pub mod placement;
pub mod rebalance;
pub mod retry;
pub mod shed;
