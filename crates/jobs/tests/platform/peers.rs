//! Calls between the nodes.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rattanfall_jobs::node::calls::Handle;
use rattanfall_jobs::ports::{Forwarded, Peers};
use rattanfall_jobs::record::Entry;
use tokio::time::{sleep, timeout};

use super::store::MemoryPlatform;

/// Latency of a call in one direction.
const LATENCY: Duration = Duration::from_millis(1);

/// Fault of the calls between nodes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum PeerFault {
    #[default]
    None,
    /// Nodes don't reach each other.
    Cut,
    /// Calls are executed without an answer.
    LoseAnswers,
}

/// Process that other nodes call.
#[derive(Clone)]
pub(super) struct Peer {
    pub(super) handle: Handle,
    pub(super) killed: Rc<Cell<bool>>,
}

impl Peers for MemoryPlatform {
    async fn forward(&self, member: &str, entries: &[Entry], wait: Duration) -> Forwarded {
        self.hang_if_killed().await;
        sleep(LATENCY).await;
        let (fault, peer) = {
            let shared = self.shared.borrow();
            (shared.peer_fault, shared.peers.get(member).cloned())
        };
        let Some(peer) = peer.filter(|_| fault != PeerFault::Cut) else { return Forwarded::Unreachable };
        self.shared.borrow_mut().forwards += 1;
        let call = async {
            if peer.killed.get() {
                std::future::pending::<()>().await;
            }
            let outcome = peer.handle.forward(entries.to_vec(), wait).await;
            sleep(LATENCY).await;
            if peer.killed.get() || self.shared.borrow().peer_fault != PeerFault::None {
                std::future::pending::<()>().await;
            }
            outcome
        };
        let outcome = timeout(wait, call).await.unwrap_or(Forwarded::Unknown);
        self.hang_if_killed().await;
        outcome
    }
}
