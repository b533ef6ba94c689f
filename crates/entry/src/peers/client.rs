//! Calls to other entry instances.

use std::collections::BTreeSet;
use std::sync::Arc;

use parking_lot::Mutex;
use rattanfall_core::engine::event::Digest;
use rattanfall_core::fleet::{Fleet, MemberState};
use rattanfall_core::ids::{MemberId, Offset};
use rattanfall_wire::peer::{Hello, PEER_VERSION, PeerClient, PeerError, Tail};
use tarpc::client::Config;
use tarpc::tokio_serde::formats::Bincode;
use tokio::time::timeout;

use super::{DIGEST_TIMEOUT, MAX_FRAME_BYTES, SNAPSHOT_TIMEOUT, TAIL_TIMEOUT};
use crate::platform::EntryInstances;
use crate::rpc::with_timeout;
use crate::shell::Shell;

/// Most concurrent calls of one client.
const MAX_CONCURRENT_CALLS: usize = 4;

/// Client for all peers, which it finds in the state and in the platform's instance list.
#[derive(Debug)]
pub struct Peers {
    shell: Arc<Shell>,
    entry_instances: Arc<EntryInstances>,
    /// Addresses that were logged as incompatible; each is logged once.
    reported: Mutex<BTreeSet<String>>,
}

impl Peers {
    /// Creates a client without open connections.
    #[must_use]
    pub fn new(shell: Arc<Shell>, entry_instances: Arc<EntryInstances>) -> Arc<Self> {
        Arc::new(Self { shell, entry_instances, reported: Mutex::default() })
    }

    /// Ids and addresses of all other live members.
    #[must_use]
    pub fn members(&self) -> Vec<(MemberId, String)> {
        self.shell.read(|engine| {
            let own = engine.options().nonce;
            let members = &engine.fleet().members;
            let others = members.iter().filter(|(_, m)| m.state == MemberState::Live && m.nonce != own);
            others.map(|(id, member)| (*id, member.address.clone())).collect()
        })
    }

    /// Addresses of all other live members and listed entry instances.
    #[must_use]
    pub fn addresses(&self) -> Vec<String> {
        let (nonce, own) =
            self.shell.read(|engine| (engine.options().nonce, engine.options().address.clone()));
        let listed = self.entry_instances.entries().into_iter().filter(|(other, _)| *other != nonce);
        let all =
            self.members().into_iter().map(|(_, address)| address).chain(listed.map(|(_, address)| address));
        let all: BTreeSet<String> = all.filter(|address| *address != own).collect();
        all.into_iter().collect()
    }

    /// Connects and exchanges hellos. `None` if the peer cannot be reached or has another protocol version.
    pub(super) async fn connect(&self, address: &str) -> Option<PeerClient> {
        let mut connect = tarpc::serde_transport::tcp::connect(address, Bincode::default);
        connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = timeout(DIGEST_TIMEOUT, connect).await.ok()?.ok()?;
        let mut config = Config::default();
        config.max_in_flight_requests = MAX_CONCURRENT_CALLS;
        config.pending_request_buffer = MAX_CONCURRENT_CALLS;
        let client = PeerClient::new(config, transport).spawn();
        let name = self.shell.read(|engine| engine.options().name.clone());
        let hello =
            client.hello(with_timeout(DIGEST_TIMEOUT), Hello { version: PEER_VERSION, name }).await.ok()?;
        match hello {
            Ok(hello) if hello.version == PEER_VERSION => Some(client),
            Ok(Hello { version, .. }) | Err(PeerError::Version { ours: version }) => {
                self.log_version_mismatch(address, version);
                None
            }
            Err(PeerError::NotReady) => None,
        }
    }

    fn log_version_mismatch(&self, address: &str, version: u32) {
        if self.reported.lock().insert(address.to_owned()) {
            log::warn!(version = version; "peer at {address} has another protocol version and is ignored");
        }
    }

    /// Fetches log entries from an offset on from a peer.
    pub async fn tail(&self, address: &str, from: Offset) -> Option<Tail> {
        let client = self.connect(address).await?;
        client.tail(with_timeout(TAIL_TIMEOUT), from).await.ok()?.ok()
    }

    /// Fetches the state of a peer.
    pub async fn snapshot(&self, address: &str) -> Option<Fleet> {
        let client = self.connect(address).await?;
        let bytes = client.snapshot(with_timeout(SNAPSHOT_TIMEOUT)).await.ok()?.ok()?;
        Fleet::restore(&bytes).ok()
    }
}

/// Sends a digest and returns the peer's own; `None` if the connection failed and must be replaced.
pub(super) async fn gossip(client: &PeerClient, digest: Digest) -> Option<Result<Digest, PeerError>> {
    client.gossip(with_timeout(DIGEST_TIMEOUT), digest).await.ok()
}
