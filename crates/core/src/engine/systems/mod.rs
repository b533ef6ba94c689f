//! Systems of the engine: functions that update the tables on a tick or for an event.

mod admission;
mod attempts;
mod duty;
mod gossip;
mod holds;
mod log;
mod maintenance;
mod membership;
mod outliers;
mod rebalancing;
mod scheduling;
mod shares;
mod shutdown;
mod snapshots;
mod task_reports;
mod task_runs;
mod view;
mod workers;

pub(super) use duty::Duty;
pub(super) use shares::PoolCapacities;
pub(super) use workers::ListDiff;
