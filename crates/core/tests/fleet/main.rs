//! Rules of the replicated state, record by record.

mod batches;
mod configuration;
mod holds;
mod membership;
mod random;
mod support;
mod tasks;
mod workers;
