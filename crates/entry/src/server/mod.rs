//! HTTP server with a closable listener and detection of clients that disconnect.

mod body;
mod budget;
mod connection;
mod limits;
mod listener;

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use xitca_http::HttpServiceBuilder;
use xitca_http::config::HttpServiceConfig;
use xitca_server::ServerHandle;
use xitca_service::ready::ReadyService;
use xitca_service::{Service, ServiceExt};
use xitca_web::body::{Body, RequestBody};
use xitca_web::bytes::Bytes;
use xitca_web::http::{Request, RequestExt, Response};

pub(crate) use body::next_part;
pub use body::{BodyError, read_body};
pub use budget::{Clients, RequestBudget, RequestUse};
pub(crate) use connection::give_back;
pub use connection::{Tracker, mark_handled, wait_for_disconnect};
pub use limits::RequestLimits;
pub use listener::ClosableListener;

use crate::metrics::EdgeCounters;

/// Largest request head, in bytes. The response to a larger one is 431.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Bytes of answers from which no further ones are buffered before they are sent. The default of the library, over 400 KB,
/// lets a client that reads nothing take as much on each connection.
const MAX_WRITE_BYTES: usize = 16 << 10;
/// Most header fields in a request.
const MAX_HEADERS: usize = 64;
/// Time for open connections to finish when the server stops, in seconds.
const SHUTDOWN_TIMEOUT_SECONDS: u64 = 1;

/// HTTP server that runs on its own threads.
#[derive(Debug)]
pub struct Server {
    /// Local address of the listener.
    pub address: SocketAddr,
    listener: ClosableListener,
    handle: Handle,
    thread: std::thread::JoinHandle<std::io::Result<()>>,
}

struct Handle(ServerHandle);

impl std::fmt::Debug for Handle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Handle")
    }
}

/// Application that a server can run. Implemented for every service that builds a handler per thread.
pub trait App: Service<Response = Self::Handler, Error = Self::InitError> + Send + Sync + 'static {
    /// Request handler, built once per thread.
    type Handler: ReadyService
        + Service<Request<RequestExt<RequestBody>>, Response = Response<Self::Body>, Error = Infallible>
        + 'static;
    /// Response body.
    type Body: Body<Data = Bytes, Error: std::fmt::Debug> + 'static;
    /// Error of building a handler.
    type InitError: std::fmt::Debug + 'static;
}

impl<A, H, B, E> App for A
where
    A: Service<Response = H, Error = E> + Send + Sync + 'static,
    H: ReadyService
        + Service<Request<RequestExt<RequestBody>>, Response = Response<B>, Error = Infallible>
        + 'static,
    B: Body<Data = Bytes, Error: std::fmt::Debug> + 'static,
    E: std::fmt::Debug + 'static,
{
    type Handler = H;
    type Body = B;
    type InitError = E;
}

/// Starts a server on a bound listener with its own threads. Clients share the limits of the process.
///
/// # Errors
///
/// Fails if the listener or the threads cannot be set up.
pub fn serve(
    listener: TcpListener,
    threads: usize,
    (edge, clients): (&Arc<EdgeCounters>, Clients),
    app: impl App,
) -> std::io::Result<Server> {
    let address = listener.local_addr()?;
    let listener = ClosableListener::new(listener, Arc::clone(&edge.requests), clients)?;
    let limits = edge.requests.limits();
    let config = HttpServiceConfig::new()
        .keep_alive_timeout(limits.idle)
        .request_head_timeout(limits.head)
        .max_read_buf_size::<MAX_HEAD_BYTES>()
        .max_write_buf_size::<MAX_WRITE_BYTES>()
        .max_request_headers::<MAX_HEADERS>();
    let http = HttpServiceBuilder::h1().config(config).with_tls(Tracker::new(edge, clients));
    let mut server = xitca_server::Builder::new()
        .worker_threads(threads)
        .disable_signal()
        .shutdown_timeout(SHUTDOWN_TIMEOUT_SECONDS)
        .listen("http", listener.clone(), app.enclosed(http))
        .build();
    let handle = Handle(server.handle()?);
    let thread = std::thread::Builder::new().name("server".into()).spawn(move || server.wait())?;
    Ok(Server { address, listener, handle, thread })
}

impl Server {
    /// Closes the listener. Open connections are still served.
    pub fn stop_accepting(&self) {
        self.listener.close();
    }

    /// Stops the server. Blocks until pending responses are written, at most [`SHUTDOWN_TIMEOUT_SECONDS`].
    pub fn close(self) {
        self.listener.close();
        self.handle.0.stop(true);
        let _ = self.thread.join();
    }
}
