//! Systems that read and change the dispatcher's tables.

mod backlog;
mod capacity;
mod checkpoints;
mod durations;
mod fleet;
mod forecast;
mod jobs;
mod leases;
mod load;
mod losses;
mod orders;
mod placing;
mod policy;
mod polls;
mod runs;
mod shares;
mod stragglers;
mod takeover;
mod throttling;
mod usage;
mod views;

pub(super) use backlog::{BegunTasks, StaleJobs, Track};
pub(super) use capacity::{Capacity, peak};
pub(super) use checkpoints::GangCheckpoints;
pub(super) use durations::Durations;
pub(super) use fleet::Fleet;
pub use fleet::WaveProgress;
pub(super) use forecast::first_work;
pub use load::{Exclusions, PoolLoad};
pub(super) use losses::Losses;
pub(super) use placing::STEP_OVERHEAD_MS;
pub(super) use policy::PolicyTickets;
pub(super) use shares::{Accounts, Admitted};
pub(super) use stragglers::Stragglers;
pub(super) use usage::Usage;
