//! HTTP/1.1 client for workers and for the platform, with a connection pool.

mod body;
mod call;
mod exchange;
mod pool;
pub(crate) mod socket;
mod task_calls;

pub use body::{BodySender, SendBody, body_channel};
pub use call::{BodyTimeouts, Call, CallError, Interruption, Reply, call};
pub use exchange::{Failure, PooledResponse, exchange};
pub use pool::{Connection, Pool};
pub use task_calls::{probe, run_task_call};

/// Error type of request bodies.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
