//! RPC between entry instances: digests, log entries and snapshots.

mod client;
mod gossip;
mod server;

use std::time::Duration;

pub use client::Peers;
pub use gossip::run_gossip;
pub use server::{PeerServer, serve_peers};

/// Largest message, in bytes. A snapshot with 20,000 ended tasks fits.
const MAX_FRAME_BYTES: usize = 64 << 20;
/// Time limit of a connect, a hello and a digest.
const DIGEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for fetching log entries.
const TAIL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for fetching a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(10);
