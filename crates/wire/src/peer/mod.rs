//! Interface between entry instances: the `tarpc` service and its types.

use rattanfall_core::engine::event::Digest;
use rattanfall_core::ids::Offset;
use serde::{Deserialize, Serialize};

/// Version of this interface. Peers of another version are refused.
pub const PEER_VERSION: u32 = 1;

/// First message on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the sender.
    pub version: u32,
    /// Name of the sender's instance.
    pub name: String,
}

/// Reason why a peer refuses a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerError {
    /// The versions differ.
    Version {
        /// Version of the answering peer.
        ours: u32,
    },
    /// The answering peer has no state yet.
    NotReady,
}

/// Part of the log, or the fact that a peer no longer has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Tail {
    /// Encoded batches with their offsets, in offset order.
    Batches(Vec<(Offset, Vec<u8>)>),
    /// The offset is no longer kept; a snapshot is needed.
    NeedSnapshot,
}

/// Calls between entry instances.
#[tarpc::service]
pub trait Peer {
    /// Checks the version.
    async fn hello(hello: Hello) -> Result<Hello, PeerError>;
    /// Returns batches from an offset on.
    async fn tail(from: Offset) -> Result<Tail, PeerError>;
    /// Exchanges digests.
    async fn gossip(digest: Digest) -> Result<Digest, PeerError>;
    /// Returns a snapshot of the state.
    async fn snapshot() -> Result<Vec<u8>, PeerError>;
}
