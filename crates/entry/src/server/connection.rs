//! Tracking of accepted connections.
//!
//! The server does not read from a connection while a handler runs, so it would not notice that the client has
//! disconnected. Each connection is therefore registered with its thread, and a handler can wait for its end.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use xitca_http::HttpServiceError;
use xitca_io::io::{AsyncBufRead, AsyncBufWrite, BoundedBuf, BoundedBufMut};
use xitca_service::Service;

use crate::metrics::EdgeCounters;

/// Time for which the rest of a request is read after the response.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Most bytes of a request that are read after the response.
const MAX_DRAIN_BYTES: u64 = 1 << 20;

thread_local! {
    static CONNECTIONS: RefCell<HashMap<SocketAddr, Rc<Socket>>> = RefCell::new(HashMap::new());
}

#[derive(Debug)]
struct Socket {
    stream: TcpStream,
    /// True from the end of a handler until the next read. Any other response is the server's own, to a request that
    /// it could not parse.
    handled: Cell<bool>,
}

/// Waits until the client at this address disconnects. Never returns if the client sends more data first, because a
/// pipelined request hides the end of the connection.
pub async fn wait_for_disconnect(address: SocketAddr) {
    let socket = CONNECTIONS.with_borrow(|connections| connections.get(&address).cloned());
    let Some(socket) = socket else {
        return std::future::pending().await;
    };
    let mut byte = [0];
    match socket.stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}

/// Marks that the next response on this connection comes from a handler.
pub(crate) fn mark_handled(address: SocketAddr) {
    CONNECTIONS.with_borrow(|connections| {
        if let Some(socket) = connections.get(&address) {
            socket.handled.set(true);
        }
    });
}

/// Registers each accepted connection. The server calls it in place of a TLS acceptor.
#[derive(Clone, Debug)]
pub struct Tracker {
    edge: Arc<EdgeCounters>,
}

impl Tracker {
    /// Creates a tracker that counts malformed requests.
    #[must_use]
    pub fn new(edge: &Arc<EdgeCounters>) -> Self {
        Self { edge: Arc::clone(edge) }
    }
}

impl Service for Tracker {
    type Response = Self;
    type Error = Infallible;

    async fn call(&self, (): ()) -> Result<Self, Infallible> {
        Ok(self.clone())
    }
}

/// A connection could not be registered, usually because it is already closed.
#[derive(Debug)]
pub struct RegisterError;

impl<S, B> From<RegisterError> for HttpServiceError<S, B> {
    fn from(_: RegisterError) -> Self {
        Self::Ignored
    }
}

impl Service<xitca_io::net::TcpStream> for Tracker {
    type Response = Connection;
    type Error = RegisterError;

    async fn call(&self, stream: xitca_io::net::TcpStream) -> Result<Connection, RegisterError> {
        let register = || -> io::Result<Connection> {
            let stream = TcpStream::from_std(stream.into_std()?)?;
            stream.set_nodelay(true)?;
            let address = stream.peer_addr()?;
            let socket = Rc::new(Socket { stream, handled: Cell::new(false) });
            CONNECTIONS.with_borrow_mut(|connections| connections.insert(address, Rc::clone(&socket)));
            self.edge.connection_opened();
            let registration = Registration { address, edge: Arc::clone(&self.edge) };
            Ok(Connection { socket, registration })
        };
        register().map_err(|_| RegisterError)
    }
}

/// Accepted connection. It is unregistered when it is dropped or shut down.
#[derive(Debug)]
pub struct Connection {
    socket: Rc<Socket>,
    registration: Registration,
}

#[derive(Debug)]
struct Registration {
    address: SocketAddr,
    edge: Arc<EdgeCounters>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        CONNECTIONS.with_borrow_mut(|connections| connections.remove(&self.address));
        self.edge.connection_closed();
    }
}

impl AsyncBufRead for Connection {
    async fn read<B: BoundedBufMut>(&self, buffer: B) -> (io::Result<usize>, B) {
        self.socket.handled.set(false);
        AsyncBufRead::read(&self.socket.stream, buffer).await
    }
}

impl AsyncBufWrite for Connection {
    async fn write<B: BoundedBuf>(&self, buffer: B) -> (io::Result<usize>, B) {
        if !self.socket.handled.get() && buffer.chunk().starts_with(b"HTTP/1.") {
            self.registration.edge.count("malformed");
        }
        AsyncBufWrite::write(&self.socket.stream, buffer).await
    }

    /// Closes the connection. Remaining input is read for a short time first: closing a socket with unread bytes sends
    /// a reset, which can make the client lose the response.
    async fn shutdown(self, _: Shutdown) -> io::Result<()> {
        let Self { socket, registration } = self;
        drop(registration);
        let Some(socket) = Rc::into_inner(socket) else {
            return Ok(());
        };
        let mut stream = socket.stream;
        AsyncWriteExt::shutdown(&mut stream).await?;
        let mut rest = (&mut stream).take(MAX_DRAIN_BYTES);
        let mut sink = tokio::io::sink();
        let drained = tokio::io::copy(&mut rest, &mut sink);
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, drained).await;
        Ok(())
    }
}
