//! Connection pool. Each address has a bounded number of connections for requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::thread::ThreadId;
use std::time::{Duration, Instant};

use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use rattanfall_core::engine::DELIVERY_TIMEOUT_MS;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::SendBody;
use super::socket::{Socket, WeakSocket, limit_delivery_time};
use crate::config::UpstreamConfig;

/// Connections and request permits by address.
#[derive(Debug)]
pub struct Pool {
    config: UpstreamConfig,
    endpoints: Mutex<HashMap<String, Endpoint>>,
}

#[derive(Debug)]
struct Endpoint {
    permits: Arc<Semaphore>,
    idle: Vec<Idle>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

/// Open connection. Dropping it closes it immediately, even with a request in flight.
#[derive(Debug)]
pub struct Connection {
    pub(super) sender: SendRequest<SendBody>,
    weak_socket: WeakSocket,
    task: AbortHandle,
    thread: ThreadId,
}

impl Connection {
    /// Returns whether the peer has neither closed the connection nor sent unsolicited bytes.
    pub(super) fn is_reusable(&self) -> bool {
        self.weak_socket.is_reusable()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(config: UpstreamConfig) -> Arc<Self> {
        Arc::new(Self { config, endpoints: Mutex::new(HashMap::new()) })
    }

    /// Waits for a permit to send a request to an address. The permits bound the connections in use.
    pub(super) async fn permit(&self, address: &str) -> Option<OwnedSemaphorePermit> {
        let permits = Arc::clone(
            &self.endpoints.lock().entry(address.into()).or_insert_with(|| self.endpoint()).permits,
        );
        permits.acquire_owned().await.ok()
    }

    fn endpoint(&self) -> Endpoint {
        Endpoint { permits: Arc::new(Semaphore::new(self.config.connections)), idle: Vec::new() }
    }

    /// Takes an idle connection. Prefers one opened on this thread, whose task runs without waking another thread.
    pub(super) fn take_idle(&self, address: &str) -> Option<Connection> {
        let mut endpoints = self.endpoints.lock();
        let idle = &mut endpoints.get_mut(address)?.idle;
        idle.retain(|idle| self.usable(idle));
        let thread = std::thread::current().id();
        let same_thread = idle.iter().rposition(|idle| idle.connection.thread == thread);
        let index = same_thread.or_else(|| idle.len().checked_sub(1))?;
        Some(idle.swap_remove(index).connection)
    }

    fn usable(&self, idle: &Idle) -> bool {
        idle.since.elapsed() < self.config.idle && !idle.connection.sender.is_closed()
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Fails if the address does not accept the connection in time. Nothing was sent.
    pub async fn open(&self, address: &str) -> std::io::Result<Connection> {
        let connect = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            limit_delivery_time(&stream, Duration::from_millis(DELIVERY_TIMEOUT_MS))?;
            let socket = Socket::new(stream);
            let weak_socket = socket.downgrade();
            let (sender, connection) =
                handshake(TokioIo::new(socket)).await.map_err(std::io::Error::other)?;
            Ok::<_, std::io::Error>((sender, connection, weak_socket))
        };
        let connected = timeout(self.config.connect, connect).await;
        let (sender, connection, weak_socket) = connected.map_err(|_| std::io::ErrorKind::TimedOut)??;
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Connection { sender, weak_socket, task: task.abort_handle(), thread: std::thread::current().id() })
    }

    /// Returns a connection to the pool after a complete response. Closes it if the address has enough idle ones.
    pub(super) fn put_idle(&self, address: &str, connection: Connection) {
        let mut endpoints = self.endpoints.lock();
        let endpoint = endpoints.entry(address.into()).or_insert_with(|| self.endpoint());
        if endpoint.idle.len() < self.config.connections && !connection.sender.is_closed() {
            endpoint.idle.push(Idle { connection, since: Instant::now() });
        }
    }

    /// Closes the connections to an address that have been idle since before a time.
    pub(super) fn close_idle(&self, address: &str, before: Instant) {
        if let Some(endpoint) = self.endpoints.lock().get_mut(address) {
            endpoint.idle.retain(|idle| idle.since >= before);
        }
    }

    /// Closes connections that were idle for too long and removes addresses without connections.
    pub fn evict_idle(&self) {
        self.endpoints.lock().retain(|_, endpoint| {
            endpoint.idle.retain(|idle| self.usable(idle));
            let unused = endpoint.permits.available_permits() == self.config.connections;
            !endpoint.idle.is_empty() || !unused || Arc::strong_count(&endpoint.permits) > 1
        });
    }

    /// Number of idle connections over all addresses.
    #[must_use]
    pub fn idle(&self) -> usize {
        self.endpoints.lock().values().map(|endpoint| endpoint.idle.len()).sum()
    }
}
