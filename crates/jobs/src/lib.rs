//! Durable job scheduling: accepted jobs survive the failure of any process.
//!
//! [`dispatch`] is the scheduler and does no I/O. [`node`] is the process around it: it follows the store, serves
//! calls and executes the scheduler's commands through the [`ports`], which an adapter implements.

pub mod catalog;
pub mod dispatch;
pub mod ids;
pub mod metrics;
pub mod node;
pub mod ports;
pub mod record;
pub mod spec;
pub mod summary;
pub mod table;

/// Target of log lines that change what is believed about a machine, a worker or a run. They have a rate limit of their own.
pub const DECISIONS: &str = "rattanfall_jobs::decisions";
