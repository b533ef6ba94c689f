//! Calls to peers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rattanfall_core::engine::event::Digest;
use rattanfall_core::fleet::{Fleet, MemberState};
use rattanfall_core::ids::{MemberId, Offset};
use rattanfall_wire::peer::{Hello, PEER_VERSION, PeerClient, PeerError, Tail};
use tarpc::client::Config;
use tarpc::context::Context;
use tarpc::tokio_serde::formats::Bincode;
use tokio::time::timeout;

use super::{DIGEST, FRAME_BYTES, SNAPSHOT, TAIL};
use crate::platform::Directory;
use crate::shell::Shell;

/// Calls of one client at once.
const CALLS: usize = 4;

/// Where the peers are.
#[derive(Debug)]
pub struct Directions {
    shell: Arc<Shell>,
    directory: Arc<Directory>,
    /// Addresses whose version was reported; each is reported once.
    reported: Mutex<BTreeSet<String>>,
}

impl Directions {
    /// Finds peers in the state and in the platform's list.
    #[must_use]
    pub fn new(shell: Arc<Shell>, directory: Arc<Directory>) -> Arc<Self> {
        Arc::new(Self { shell, directory, reported: Mutex::default() })
    }

    /// Live members but this one.
    #[must_use]
    pub fn members(&self) -> Vec<(MemberId, String)> {
        self.shell.read(|engine| {
            let own = engine.options().nonce;
            let members = &engine.fleet().members;
            let others = members.iter().filter(|(_, m)| m.state == MemberState::Live && m.nonce != own);
            others.map(|(id, member)| (*id, member.address.clone())).collect()
        })
    }

    /// Addresses of live members and of listed entry instances, but this one.
    #[must_use]
    pub fn addresses(&self) -> Vec<String> {
        let (nonce, own) =
            self.shell.read(|engine| (engine.options().nonce, engine.options().address.clone()));
        let listed = self.directory.entries().into_iter().filter(|(other, _)| *other != nonce);
        let all =
            self.members().into_iter().map(|(_, address)| address).chain(listed.map(|(_, address)| address));
        let all: BTreeSet<String> = all.filter(|address| *address != own).collect();
        all.into_iter().collect()
    }

    /// Connects and says hello.
    pub(super) async fn connect(&self, address: &str) -> Option<PeerClient> {
        let mut connect = tarpc::serde_transport::tcp::connect(address, Bincode::default);
        connect.config_mut().max_frame_length(FRAME_BYTES);
        let transport = timeout(DIGEST, connect).await.ok()?.ok()?;
        let mut config = Config::default();
        config.max_in_flight_requests = CALLS;
        config.pending_request_buffer = CALLS;
        let client = PeerClient::new(config, transport).spawn();
        let name = self.shell.read(|engine| engine.options().name.clone());
        let hello = client.hello(until(DIGEST), Hello { version: PEER_VERSION, name }).await.ok()?;
        match hello {
            Ok(hello) if hello.version == PEER_VERSION => Some(client),
            Ok(Hello { version, .. }) | Err(PeerError::Version { ours: version }) => {
                self.report(address, version);
                None
            }
            Err(PeerError::NotReady) => None,
        }
    }

    fn report(&self, address: &str, version: u32) {
        if self.reported.lock().insert(address.to_owned()) {
            log::warn!(version = version; "the peer at {address} has another version and is not used");
        }
    }

    /// Log entries of a peer.
    pub async fn tail(&self, address: &str, from: Offset) -> Option<Tail> {
        let client = self.connect(address).await?;
        client.tail(until(TAIL), from).await.ok()?.ok()
    }

    /// State of a peer.
    pub async fn snapshot(&self, address: &str) -> Option<Fleet> {
        let client = self.connect(address).await?;
        let bytes = client.snapshot(until(SNAPSHOT)).await.ok()?.ok()?;
        Fleet::restore(&bytes).ok()
    }
}

/// Sends a digest and returns the answer; `None` if the connection is to be replaced.
pub(super) async fn gossip(client: &PeerClient, digest: Digest) -> Option<Result<Digest, PeerError>> {
    client.gossip(until(DIGEST), digest).await.ok()
}

fn until(limit: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + limit;
    context
}
