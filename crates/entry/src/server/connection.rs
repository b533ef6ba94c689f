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
use tokio::time::timeout;
use xitca_http::HttpServiceError;
use xitca_io::io::{AsyncBufRead, AsyncBufWrite, BoundedBuf, BoundedBufMut};
use xitca_service::Service;

use super::budget::{Clients, Lease, Phase, Taken};
use crate::metrics::EdgeCounters;

/// Time for which the rest of a request is read after the response.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Most bytes of a request that are read after the response.
const MAX_DRAIN_BYTES: u64 = 1 << 20;
/// Interim response, after which the body of the same request is read.
const CONTINUE: &[u8] = b"HTTP/1.1 100";

thread_local! {
    static CONNECTIONS: RefCell<HashMap<SocketAddr, Rc<Socket>>> = RefCell::new(HashMap::new());
}

#[derive(Debug)]
struct Socket {
    stream: TcpStream,
    /// True from the end of a handler until the next read. Any other response is the server's own, to a request that
    /// it could not parse.
    handled: Cell<bool>,
    /// True from the begin of a response until the next read, which belongs to the next request.
    answered: Cell<bool>,
    input: Cell<InputEnd>,
    lease: Lease,
}

/// Why no more input is read from a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum InputEnd {
    /// It is read.
    #[default]
    Open,
    /// The client has ended it.
    Closed,
    /// The budget has no bytes for it.
    Refused,
}

/// Returns why no more input is read from a connection.
pub(super) fn input_end(address: SocketAddr) -> InputEnd {
    CONNECTIONS.with_borrow(|connections| {
        connections.get(&address).map_or(InputEnd::Closed, |socket| socket.input.get())
    })
}

/// Gives bytes of the budget back that were passed on.
pub(crate) fn give_back(address: SocketAddr, bytes: usize) {
    CONNECTIONS.with_borrow(|connections| {
        if let Some(socket) = connections.get(&address) {
            socket.lease.give_back(bytes as u64);
        }
    });
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
pub fn mark_handled(address: SocketAddr) {
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
    clients: Clients,
}

impl Tracker {
    /// Creates a tracker that counts malformed requests.
    #[must_use]
    pub fn new(edge: &Arc<EdgeCounters>, clients: Clients) -> Self {
        Self { edge: Arc::clone(edge), clients }
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
        self.edge.requests.arrive();
        let register = || -> io::Result<Connection> {
            let stream = TcpStream::from_std(stream.into_std()?)?;
            stream.set_nodelay(true)?;
            let address = stream.peer_addr()?;
            let lease = self.edge.requests.connect(self.clients).ok_or(io::ErrorKind::QuotaExceeded)?;
            let socket = Rc::new(Socket {
                stream,
                handled: Cell::new(false),
                answered: Cell::new(false),
                input: Cell::default(),
                lease,
            });
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

impl Socket {
    /// Waits until input is there and the budget has bytes for it.
    async fn wait_for_input(&self, room: usize) -> io::Result<Taken<'_>> {
        let refused = || {
            self.input.set(InputEnd::Refused);
            io::Error::from(io::ErrorKind::QuotaExceeded)
        };
        let _waiting = self.lease.wait(Phase::Reading);
        let mut byte = [0];
        // Not `readable`, which may be outdated: the read after it would wait and not notice that it has to end.
        tokio::select! {
            peeked = self.stream.peek(&mut byte) => peeked?,
            () = self.lease.ended() => return Err(refused()),
        };
        self.lease.take(room).await.map_err(|_| refused())
    }

    /// Writes a part as soon as the client takes it.
    async fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        let _waiting = self.lease.wait(Phase::Writing);
        let delivery = self.lease.budget().limits().delivery;
        loop {
            let writable = tokio::select! {
                writable = timeout(delivery, self.stream.writable()) => writable,
                () = self.lease.ended() => return Err(io::ErrorKind::QuotaExceeded.into()),
            };
            match writable {
                Ok(writable) => writable?,
                Err(_) => {
                    self.lease.budget().refuse("answer-unread");
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
            match self.stream.try_write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return written,
            }
        }
    }
}

impl AsyncBufRead for Connection {
    async fn read<B: BoundedBufMut>(&self, buffer: B) -> (io::Result<usize>, B) {
        self.socket.handled.set(false);
        if self.socket.answered.replace(false) {
            self.socket.lease.restart(buffer.get_buf().bytes_init());
        }
        let taken = match self.socket.wait_for_input(buffer.bytes_total()).await {
            Ok(taken) => taken,
            Err(error) => return (Err(error), buffer),
        };
        let (read, buffer) = AsyncBufRead::read(&self.socket.stream, buffer).await;
        let bytes = read.as_ref().copied().unwrap_or(0);
        if bytes == 0 {
            self.socket.input.set(InputEnd::Closed);
        }
        taken.keep(bytes);
        (read, buffer)
    }
}

impl AsyncBufWrite for Connection {
    async fn write<B: BoundedBuf>(&self, buffer: B) -> (io::Result<usize>, B) {
        let head = buffer.chunk().starts_with(b"HTTP/1.") && !buffer.chunk().starts_with(CONTINUE);
        if head {
            self.socket.answered.set(true);
        }
        if head && !self.socket.handled.get() {
            self.registration.edge.count("malformed");
        }
        let written = self.socket.write(buffer.chunk()).await;
        (written, buffer)
    }

    /// Closes the connection. Remaining input is read for a short time first: closing a socket with unread bytes sends
    /// a reset, which can make the client lose the response.
    async fn shutdown(self, _: Shutdown) -> io::Result<()> {
        let Self { socket, registration } = self;
        drop(registration);
        let Some(socket) = Rc::into_inner(socket) else {
            return Ok(());
        };
        // The connection counts until it is closed, its request does not.
        let Socket { mut stream, lease, .. } = socket;
        lease.restart(0);
        AsyncWriteExt::shutdown(&mut stream).await?;
        let mut rest = (&mut stream).take(MAX_DRAIN_BYTES);
        let mut sink = tokio::io::sink();
        let drained = tokio::io::copy(&mut rest, &mut sink);
        let _draining = lease.wait(Phase::Draining);
        tokio::select! {
            // However it ends, the connection is closed next.
            _ = timeout(DRAIN_TIMEOUT, drained) => {}
            () = lease.ended() => {}
        }
        Ok(())
    }
}
