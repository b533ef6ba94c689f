//! Systems of the engine. Each runs over the tables on a tick or when an event changes them.

mod admission;
mod attempts;
mod duty;
mod gossip;
mod holding;
mod judging;
mod log;
mod maintenance;
mod membership;
mod moving;
mod scheduling;
mod sharing;
mod snapshots;
mod stopping;
mod task_reports;
mod task_runs;
mod viewing;
mod workers;

pub(super) use duty::Duty;
pub(super) use sharing::Capacities;
pub(super) use workers::Comparison;
