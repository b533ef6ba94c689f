//! Answers peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use futures::StreamExt;
use rattanfall_core::engine::Event;
use rattanfall_core::engine::event::Digest;
use rattanfall_core::ids::Offset;
use rattanfall_wire::peer::{Hello, PEER_VERSION, Peer, PeerError, Tail};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use super::FRAME_BYTES;
use crate::platform::Log;

/// Connections of peers at once: 8 entry instances with one link and one pull each, and room for restarts.
const CONNECTIONS: usize = 64;
/// Calls that one connection runs at once.
const CALLS: usize = 4;

/// What peers can ask for.
#[derive(Clone, Debug)]
pub struct PeerServer {
    /// Log with its kept tail.
    pub log: Arc<Log>,
    /// Newest own digest.
    pub digest: watch::Receiver<Option<Digest>>,
}

/// One connection. A peer must say hello in our version before anything else.
#[derive(Clone, Debug)]
struct Session {
    server: PeerServer,
    address: SocketAddr,
    greeted: Arc<AtomicBool>,
}

/// Serves peers until the task is aborted.
pub async fn serve_peers(listener: TcpListener, server: PeerServer) {
    let permits = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, address)) => {
                let session = Session { server: server.clone(), address, greeted: Arc::default() };
                tokio::spawn(run(stream, session, permit));
            }
            Err(error) => log::warn!("a peer's connection could not be accepted: {error}"),
        }
    }
}

async fn run(stream: TcpStream, session: Session, permit: OwnedSemaphorePermit) {
    let codec = LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES).new_framed(stream);
    let transport = tarpc::serde_transport::new(codec, Bincode::default());
    let channel = BaseChannel::with_defaults(transport).max_concurrent_requests(CALLS);
    channel.execute(session.serve()).for_each_concurrent(CALLS, |call| call).await;
    drop(permit);
}

impl Session {
    fn check(&self) -> Result<(), PeerError> {
        let greeted = self.greeted.load(Ordering::Acquire);
        if greeted { Ok(()) } else { Err(PeerError::Version { ours: PEER_VERSION }) }
    }

    fn own_name(&self) -> String {
        self.server.log.shell().read(|engine| engine.options().name.clone())
    }
}

impl Peer for Session {
    async fn hello(self, _: Context, hello: Hello) -> Result<Hello, PeerError> {
        if hello.version != PEER_VERSION {
            log::warn!(version = hello.version; "peer {} at {} is refused: other version", hello.name, self.address);
            return Err(PeerError::Version { ours: PEER_VERSION });
        }
        self.greeted.store(true, Ordering::Release);
        Ok(Hello { version: PEER_VERSION, name: self.own_name() })
    }

    async fn tail(self, _: Context, from: Offset) -> Result<Tail, PeerError> {
        self.check()?;
        let batches = self.server.log.tail().from(from);
        Ok(batches.map_or(Tail::NeedSnapshot, Tail::Batches))
    }

    async fn gossip(self, _: Context, digest: Digest) -> Result<Digest, PeerError> {
        self.check()?;
        self.server.log.shell().handle(Event::Digest(digest));
        self.server.digest.borrow().clone().ok_or(PeerError::NotReady)
    }

    async fn snapshot(self, _: Context) -> Result<Vec<u8>, PeerError> {
        self.check()?;
        let shell = self.server.log.shell();
        let fleet = shell.read(|engine| engine.fleet().applied.map(|_| engine.fleet().clone()));
        fleet.map(|fleet| fleet.snapshot()).ok_or(PeerError::NotReady)
    }
}
