//! Systems that run over the owner's tables.

mod advice;
mod fleet;
mod jobs;
mod leases;
mod looks;
mod orders;
mod pacing;
mod placing;
mod runs;
mod stragglers;
mod takeover;
mod views;

pub(super) use advice::Advice;
pub(super) use fleet::Fleet;
pub use fleet::WaveProgress;
