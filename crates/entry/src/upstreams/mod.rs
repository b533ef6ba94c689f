//! HTTP/1.1 client for workers and for the platform.

mod body;
mod exchange;
mod json;
mod orders;
mod pool;
mod socket;

pub use body::{Feed, SendBody, feed};
pub use exchange::{Answer, Failure, exchange};
pub use json::{Call, CallError, Cut, Progress, Reply, call};
pub use orders::{probe, run_order};
pub use pool::{Connection, Pool};

/// Error type of bodies.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
