//! Connections between entry instances: digests, log tails and snapshots.

mod client;
mod gossip;
mod server;

use std::time::Duration;

pub use client::Directions;
pub use gossip::run_gossip;
pub use server::{PeerServer, serve_peers};

/// Largest message, in bytes. A snapshot with 20,000 ended tasks fits.
const FRAME_BYTES: usize = 64 << 20;
/// Time limit of a connect and of a digest.
const DIGEST: Duration = Duration::from_secs(1);
/// Time limit of a tail.
const TAIL: Duration = Duration::from_secs(2);
/// Time limit of a snapshot.
const SNAPSHOT: Duration = Duration::from_secs(10);
