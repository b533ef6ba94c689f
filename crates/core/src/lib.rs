//! Deterministic core of rattanfall, without I/O.
//!
//! [`fleet`] is the replicated state machine, [`engine`] the state machine of one entry instance, and [`policy`]
//! and [`share`] are the algorithms that they use. Time, randomness and messages are passed in as arguments, so
//! the entry process, the scenario tests and the model checker run the same code.

pub mod declaration;
pub mod engine;
pub mod fleet;
pub mod ids;
pub mod model;
pub mod policy;
pub mod record;
pub mod share;
