//! Server: passes records that other instances forward to the node. Beyond its limits it refuses them at once.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::StreamExt;
use rattanfall_jobs::node::calls::Handle;
use rattanfall_jobs::ports::{BadKey, Forwarded};
use rattanfall_jobs::record::Entry;
use rattanfall_wire::forward::{FORWARD_VERSION, ForwardError, Forwarding, Hello, Outcome, Record, Welcome};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};

use super::transport::{Bounds, Transport};
use super::{MAX_CONNECTION_CALLS, MAX_WAIT, frame_bytes};
use crate::upstreams::socket::limit_delivery_time;

/// Time within which sent answers must arrive.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of an answer. Answers hold no records.
const MAX_ANSWER_BYTES: usize = 64 << 10;
/// Time limit of answering open calls when the server is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a connection could not be accepted, for example because there are too many open files.
const ACCEPT_DELAY: Duration = Duration::from_millis(100);

/// Most open connections: several hundred instances, some of them twice while they restart.
const MAX_CONNECTIONS: usize = 768;
/// Part of the descriptors of a process for connections of other instances.
const DESCRIPTORS_DIVISOR: usize = 5;

/// Limits of the server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of the records of a call, keys and values, in bytes.
    pub call_bytes: usize,
    /// Bytes of records that the node may hold at once.
    pub held_bytes: usize,
    /// Bytes of messages that may be received at once.
    pub received_bytes: usize,
    /// Calls at once.
    pub calls: usize,
    /// Open connections.
    pub connections: usize,
    /// Time after which an idle connection is closed.
    pub idle: Duration,
}

impl Limits {
    /// Limits for several hundred instances and a process with little memory. The records of a call may have up to
    /// `call_bytes`.
    #[must_use]
    pub fn new(call_bytes: usize) -> Self {
        Self {
            call_bytes,
            held_bytes: call_bytes.max(8 << 20),
            received_bytes: frame_bytes(call_bytes).max(4 << 20),
            calls: 512,
            connections: MAX_CONNECTIONS,
            idle: Duration::from_secs(60),
        }
    }

    /// Limits the connections for a process that may open this many descriptors. 0 means unknown.
    #[must_use]
    pub fn with_descriptors(mut self, descriptors: usize) -> Self {
        if descriptors > 0 {
            self.connections = self.connections.min((descriptors / DESCRIPTORS_DIVISOR).max(1));
        }
        self
    }
}

/// Running server.
#[derive(Debug)]
pub struct ForwardServer {
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

/// State that all connections share.
struct Shared {
    handle: Handle,
    limits: Limits,
    bytes: Arc<Semaphore>,
    calls: Arc<Semaphore>,
}

/// One connection. All calls fail until the sender has sent a hello with this protocol version.
#[derive(Clone)]
struct Session {
    shared: Arc<Shared>,
    address: SocketAddr,
    said_hello: Arc<AtomicBool>,
}

impl ForwardServer {
    /// Serves other instances.
    #[must_use]
    pub fn start(listener: TcpListener, handle: Handle, limits: Limits) -> Self {
        let (stop, stopped) = watch::channel(false);
        let shared = Arc::new(Shared {
            handle,
            limits,
            bytes: Arc::new(Semaphore::new(limits.held_bytes)),
            calls: Arc::new(Semaphore::new(limits.calls)),
        });
        let task = tokio::spawn(accept(listener, shared, stopped));
        Self { stop, task }
    }

    /// Stops accepting calls, answers those that were read, and closes all connections.
    pub async fn close(mut self) {
        self.stop.send_replace(true);
        match timeout(CLOSE_TIMEOUT, &mut self.task).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::error!(error:% = error; "the server for other instances failed"),
            Err(_) => {
                log::warn!("forwarded records are not answered, since the instance stops");
                self.task.abort();
            }
        }
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    let permits = Arc::new(Semaphore::new(shared.limits.connections));
    let bounds = Bounds {
        stop: stop.clone(),
        budget: Arc::new(Semaphore::new(shared.limits.received_bytes)),
        max_bytes: frame_bytes(shared.limits.call_bytes),
        max_answer_bytes: MAX_ANSWER_BYTES,
        idle: shared.limits.idle,
    };
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            _ = stop.wait_for(|stop| *stop) => break,
            Some(ended) = connections.join_next(), if !connections.is_empty() => {
                log_end(ended);
                continue;
            }
            accepted = listener.accept() => accepted,
        };
        match (accepted, Arc::clone(&permits).try_acquire_owned()) {
            (Ok((stream, address)), Ok(permit)) => {
                let session = Session { shared: Arc::clone(&shared), address, said_hello: Arc::default() };
                connections.spawn(run(stream, session, bounds.clone(), permit));
            }
            (Ok((_, address)), Err(_)) => {
                log::warn!(address:% = address; "too many connections of other instances; closing a new one");
            }
            (Err(error), _) => {
                log::warn!(error:% = error; "a connection of another instance could not be accepted");
                sleep(ACCEPT_DELAY).await;
            }
        }
    }
    drop(listener);
    while let Some(ended) = connections.join_next().await {
        log_end(ended);
    }
}

fn log_end(ended: Result<(), tokio::task::JoinError>) {
    if let Err(error) = ended {
        log::error!(error:% = error; "the server for other instances failed");
    }
}

async fn run(stream: TcpStream, session: Session, bounds: Bounds, permit: OwnedSemaphorePermit) {
    if let Err(error) = set_options(&stream) {
        log::warn!(address:% = session.address, error:% = error; "a connection of another instance could not be accepted");
        return;
    }
    let channel = BaseChannel::with_defaults(Transport::new(stream, bounds, session.address));
    channel.execute(session.serve()).for_each_concurrent(MAX_CONNECTION_CALLS, |call| call).await;
    drop(permit);
}

impl Session {
    fn require_hello(&self) -> Result<(), ForwardError> {
        let said_hello = self.said_hello.load(Ordering::Acquire);
        if said_hello { Ok(()) } else { Err(ForwardError::Version { ours: FORWARD_VERSION }) }
    }
}

impl Forwarding for Session {
    async fn hello(self, _: Context, hello: Hello) -> Result<Welcome, ForwardError> {
        if hello.version != FORWARD_VERSION {
            log::warn!(address:% = self.address, version = hello.version, name = hello.name.as_str(); "an instance has another protocol version and is refused");
            return Err(ForwardError::Version { ours: FORWARD_VERSION });
        }
        self.said_hello.store(true, Ordering::Release);
        let max_bytes = u64::try_from(self.shared.limits.call_bytes).unwrap_or(u64::MAX);
        Ok(Welcome { version: FORWARD_VERSION, max_bytes })
    }

    async fn forward(
        self,
        _: Context,
        records: Vec<Record>,
        wait_ms: u64,
    ) -> Result<Vec<Outcome>, ForwardError> {
        self.require_hello()?;
        let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
        let outcomes = self.store(records, wait).await;
        self.shared.handle.meters.forward_received(&outcomes);
        Ok(outcomes.into_iter().map(Outcome::from).collect())
    }
}

impl Session {
    async fn store(&self, records: Vec<Record>, wait: Duration) -> Vec<Forwarded> {
        let count = records.len();
        let all = |outcome| vec![outcome; count];
        let entries: Result<Vec<Entry>, BadKey> = records.into_iter().map(Entry::try_from).collect();
        let entries = match entries {
            Ok(entries) => entries,
            Err(error) => {
                log::warn!(address:% = self.address, error:% = error; "invalid forwarded records are refused");
                return all(Forwarded::Refused);
            }
        };
        let shared = &self.shared;
        let bytes: usize = entries.iter().map(Entry::size).sum();
        if entries.is_empty() || bytes > shared.limits.call_bytes {
            log::warn!(address:% = self.address, records = entries.len(), bytes = bytes; "invalid forwarded records are refused");
            return all(Forwarded::Refused);
        }
        let held = u32::try_from(bytes)
            .ok()
            .and_then(|bytes| Arc::clone(&shared.bytes).try_acquire_many_owned(bytes).ok());
        let (Some(held), Ok(call)) = (held, Arc::clone(&shared.calls).try_acquire_owned()) else {
            return all(Forwarded::Refused);
        };
        // A task of its own: the records count until the node is done, even if the sender no longer waits.
        let handle = shared.handle.clone();
        let stored = tokio::spawn(async move {
            let outcomes = handle.forward(entries, wait).await;
            drop((held, call));
            outcomes
        });
        stored.await.unwrap_or_else(|error| {
            log::error!(error:% = error; "the server for other instances failed");
            all(Forwarded::Unknown)
        })
    }
}

/// Sets the options of an accepted connection. Unlike the sender's, it does not discard answers when it is closed.
fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    limit_delivery_time(stream, DELIVERY_TIMEOUT)?;
    socket2::SockRef::from(stream).set_linger(None)
}
