//! Server for other entry instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::StreamExt;
use rattanfall_core::engine::Event;
use rattanfall_core::engine::event::Digest;
use rattanfall_core::ids::Offset;
use rattanfall_wire::peer::{Hello, PEER_VERSION, Peer, PeerError, Tail};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use super::MAX_FRAME_BYTES;
use crate::forward::transport::{Bounds, Transport};
use crate::platform::LogCursor;

/// Most open connections of peers. Each of 8 entry instances has one for digests and one for log entries; the rest is
/// for restarts.
const MAX_CONNECTIONS: usize = 64;
/// Largest request, in bytes. A digest of 88 teams in 34 pools has about a hundred kilobytes; snapshots are answers.
const MAX_REQUEST_BYTES: usize = 4 << 20;
/// Bytes of requests that may be received at once.
const RECEIVED_BYTES: usize = 8 << 20;
/// Time after which an idle connection is closed. Digests follow each other within a second, and other calls open a
/// connection of their own.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Most concurrent calls of one connection.
const MAX_CONCURRENT_CALLS: usize = 4;

/// State that is served to peers.
#[derive(Clone, Debug)]
pub struct PeerServer {
    /// Log cursor with the newest entries.
    pub log: Arc<LogCursor>,
    /// Newest digest of this instance; `None` before the first.
    pub digest: watch::Receiver<Option<Digest>>,
}

/// One connection. All calls fail until the peer has sent a hello with this protocol version.
#[derive(Clone, Debug)]
struct Session {
    server: PeerServer,
    address: SocketAddr,
    said_hello: Arc<AtomicBool>,
}

/// Serves peers until the task is aborted.
pub async fn serve_peers(listener: TcpListener, server: PeerServer) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    // The task is aborted instead of stopped.
    let (_running, stop) = watch::channel(false);
    let bounds = Bounds {
        stop,
        budget: Arc::new(Semaphore::new(RECEIVED_BYTES)),
        max_bytes: MAX_REQUEST_BYTES,
        max_answer_bytes: MAX_FRAME_BYTES,
        idle: IDLE_TIMEOUT,
    };
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, address)) => {
                let session = Session { server: server.clone(), address, said_hello: Arc::default() };
                tokio::spawn(run(stream, session, bounds.clone(), permit));
            }
            Err(error) => log::warn!("cannot accept a peer's connection: {error}"),
        }
    }
}

async fn run(stream: TcpStream, session: Session, bounds: Bounds, permit: OwnedSemaphorePermit) {
    let transport = Transport::new(stream, bounds, session.address);
    let channel = BaseChannel::with_defaults(transport).max_concurrent_requests(MAX_CONCURRENT_CALLS);
    channel.execute(session.serve()).for_each_concurrent(MAX_CONCURRENT_CALLS, |call| call).await;
    drop(permit);
}

impl Session {
    fn require_hello(&self) -> Result<(), PeerError> {
        let said_hello = self.said_hello.load(Ordering::Acquire);
        if said_hello { Ok(()) } else { Err(PeerError::Version { ours: PEER_VERSION }) }
    }

    fn own_name(&self) -> String {
        self.server.log.shell().read(|engine| engine.options().name.clone())
    }
}

impl Peer for Session {
    async fn hello(self, _: Context, hello: Hello) -> Result<Hello, PeerError> {
        if hello.version != PEER_VERSION {
            log::warn!(version = hello.version; "refused peer {} at {}: other protocol version", hello.name, self.address);
            return Err(PeerError::Version { ours: PEER_VERSION });
        }
        self.said_hello.store(true, Ordering::Release);
        Ok(Hello { version: PEER_VERSION, name: self.own_name() })
    }

    async fn tail(self, _: Context, from: Offset) -> Result<Tail, PeerError> {
        self.require_hello()?;
        let batches = self.server.log.tail().entries_from(from);
        Ok(batches.map_or(Tail::NeedSnapshot, Tail::Batches))
    }

    async fn gossip(self, _: Context, digest: Digest) -> Result<Digest, PeerError> {
        self.require_hello()?;
        self.server.log.shell().handle(Event::Digest(digest));
        self.server.digest.borrow().clone().ok_or(PeerError::NotReady)
    }

    async fn snapshot(self, _: Context) -> Result<Vec<u8>, PeerError> {
        self.require_hello()?;
        let shell = self.server.log.shell();
        let fleet = shell.read(|engine| engine.fleet().applied.map(|_| engine.fleet().clone()));
        fleet.map(|fleet| fleet.snapshot()).ok_or(PeerError::NotReady)
    }
}
