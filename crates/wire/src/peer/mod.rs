//! RPC interface between entry instances: the `tarpc` service and its types.

use rattanfall_core::engine::event::Digest;
use rattanfall_core::ids::Offset;
use serde::{Deserialize, Serialize};

/// Protocol version. Connections to peers of another version are refused.
pub const PEER_VERSION: u32 = 1;

/// First message on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Protocol version of the sender.
    pub version: u32,
    /// Name of the sending instance.
    pub name: String,
}

/// Reason why a peer refuses a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerError {
    /// The protocol versions differ.
    Version {
        /// Protocol version of the responding peer.
        ours: u32,
    },
    /// The responding peer has not loaded any state yet.
    NotReady,
}

/// Response to a request for recent log batches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Tail {
    /// Encoded batches with their offsets, in offset order.
    Batches(Vec<(Offset, Vec<u8>)>),
    /// The peer no longer holds the requested offset; a snapshot is required.
    NeedSnapshot,
}

/// Calls between entry instances.
#[tarpc::service]
pub trait Peer {
    /// Checks that both sides use the same protocol version.
    async fn hello(hello: Hello) -> Result<Hello, PeerError>;
    /// Returns the batches that follow an offset, that offset included.
    async fn tail(from: Offset) -> Result<Tail, PeerError>;
    /// Exchanges digests of the members' local state.
    async fn gossip(digest: Digest) -> Result<Digest, PeerError>;
    /// Returns an encoded snapshot of the replicated state.
    async fn snapshot() -> Result<Vec<u8>, PeerError>;
}
