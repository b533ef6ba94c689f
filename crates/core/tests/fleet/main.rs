//! Tests of the replicated state, by kind of record.

mod batches;
mod configuration;
mod holds;
mod membership;
mod random;
mod support;
mod tasks;
mod workers;
