//! Decisions of rattanfall, free of I/O.
//!
//! The crate holds the replicated state ([`fleet`]), the state of one entry instance ([`engine`]) and the
//! arithmetic they share. Time, randomness and messages are arguments, so the entry process, the scenario
//! scripts and the model checker run the same code.

pub mod declaration;
pub mod engine;
pub mod fleet;
pub mod ids;
pub mod model;
pub mod policy;
pub mod record;
pub mod share;
