//! RPC through which an entry instance forwards records of the intake to another one, which stores them with its own.

mod client;
mod server;
pub(crate) mod transport;

use std::time::Duration;

pub use client::ForwardClient;
pub use server::{ForwardServer, Limits};

/// Maximum number of calls on a connection at once.
const MAX_CONNECTION_CALLS: usize = 32;
/// Maximum time in which records are to be stored; a longer one is reduced to it.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Bytes of a message beyond its records.
const HEAD_BYTES: usize = 1 << 10;

/// Maximum size of a message with records of `bytes`. The lengths of key and value take up to half as much as a short
/// record.
const fn frame_bytes(bytes: usize) -> usize {
    bytes + bytes / 2 + HEAD_BYTES
}
