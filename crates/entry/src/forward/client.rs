//! Client: forwards records to other instances over one connection for each.

use std::collections::{BTreeSet, HashMap};
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rattanfall_jobs::ports::Forwarded;
use rattanfall_jobs::record::Entry;
use rattanfall_wire::forward::{FORWARD_VERSION, ForwardError, ForwardingClient, Hello, Record, Welcome};
use socket2::{SockRef, TcpKeepalive};
use tarpc::client::{Config, NewClient, RpcError};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::{MAX_CONNECTION_CALLS, MAX_WAIT, frame_bytes};
use crate::rpc::with_timeout;
use crate::upstreams::socket::{Socket, WeakSocket, limit_delivery_time};

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit of the hello, which a busy receiver answers late.
const HELLO_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which sent bytes must arrive. It outlasts two retransmissions on a lossy link.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a call waits beyond the receiver's time to store the records.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// Time after which an idle connection is not used again. Less than the receiver's, which closes it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(50);
/// Idle time after which a connection is probed, and time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Reason why a call cannot be sent to an instance, or was not answered.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// The connection could not be established.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The instance did not answer in time.
    #[error("the time limit was exceeded")]
    Late(#[from] tokio::time::error::Elapsed),
    /// The connection failed.
    #[error("{}", causes(.0))]
    Connection(#[from] RpcError),
    /// The instance has another protocol version.
    #[error("the instance has protocol version {0}")]
    Version(u32),
    /// The number of outcomes is not that of the records.
    #[error("the instance has answered with {0} outcomes")]
    Outcomes(usize),
}

/// Message of an error and of its causes.
fn causes(error: &(dyn Error + 'static)) -> String {
    let causes = std::iter::successors(Some(error), |error| (*error).source());
    causes.map(ToString::to_string).collect::<Vec<_>>().join(": ")
}

/// Client for all instances.
#[derive(Debug)]
pub struct ForwardClient {
    /// Name of this process.
    name: String,
    /// Maximum size of the records of a call in bytes.
    max_bytes: usize,
    routes: Mutex<HashMap<SocketAddr, Arc<Route>>>,
    /// Addresses that were logged as incompatible; each is logged once.
    reported: Mutex<BTreeSet<SocketAddr>>,
}

/// Way to an instance, over at most one connection for new calls.
#[derive(Debug, Default)]
struct Route {
    link: Mutex<Option<Arc<Link>>>,
    /// Held while a connection is opened. Contains the time of the last failure.
    opening: tokio::sync::Mutex<Option<Instant>>,
}

/// Open connection. Dropping it closes it and discards what it has not sent.
#[derive(Debug)]
struct Link {
    client: ForwardingClient,
    task: JoinHandle<()>,
    socket: WeakSocket,
    /// Maximum size of the records of a call in bytes.
    max_bytes: usize,
    used: Mutex<Instant>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// Returns whether another call may be sent.
    fn usable(self: &Arc<Self>) -> bool {
        // The route holds one of the references, each call another one.
        let busy = Arc::strong_count(self) > 1;
        !self.task.is_finished()
            && (busy || self.used.lock().elapsed() < IDLE_TIMEOUT)
            && self.socket.is_open()
    }
}

impl Route {
    /// Returns the connection if it can be used, otherwise drops it.
    fn usable(&self) -> Option<Arc<Link>> {
        let mut link = self.link.lock();
        if link.as_ref().is_some_and(|link| !link.usable()) {
            *link = None;
        }
        link.clone()
    }

    /// Drops a connection, so that the next call opens another one.
    fn discard(&self, failed: &Arc<Link>) {
        let mut link = self.link.lock();
        if link.as_ref().is_some_and(|link| Arc::ptr_eq(link, failed)) {
            *link = None;
        }
    }
}

/// Call under way. Unless it is answered, its connection takes no further calls, because it may have gone silent.
struct Call<'a> {
    route: &'a Route,
    link: Arc<Link>,
    answered: bool,
}

impl Call<'_> {
    async fn send(mut self, entries: &[Entry], wait: Duration) -> Result<Vec<Forwarded>, CallError> {
        let records = entries.iter().map(Record::from).collect();
        let wait = wait.min(MAX_WAIT);
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let limit = wait + ANSWER_MARGIN;
        let call = self.link.client.forward(with_timeout(limit), records, wait_ms);
        let outcomes = timeout(limit, call).await??;
        let outcomes = outcomes.map_err(|ForwardError::Version { ours }| CallError::Version(ours))?;
        if outcomes.len() != entries.len() {
            return Err(CallError::Outcomes(outcomes.len()));
        }
        *self.link.used.lock() = Instant::now();
        self.answered = true;
        Ok(outcomes.into_iter().map(Forwarded::from).collect())
    }
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.route.discard(&self.link);
        }
    }
}

impl ForwardClient {
    /// Creates a client without open connections. `name` is that of this process; the records of a call may have up to
    /// `max_bytes`.
    #[must_use]
    pub fn new(name: String, max_bytes: usize) -> Self {
        Self { name, max_bytes, routes: Mutex::default(), reported: Mutex::default() }
    }

    /// Number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.routes.lock().values().filter(|route| route.usable().is_some()).count()
    }

    /// Forwards records to an instance, which stores them within `wait`. Returns an outcome for each, in their order.
    pub async fn forward(&self, address: SocketAddr, entries: &[Entry], wait: Duration) -> Vec<Forwarded> {
        let all = |outcome| vec![outcome; entries.len()];
        let route = self.route(address);
        let Some(link) = self.link(&route, address).await else { return all(Forwarded::Unreachable) };
        let bytes: usize = entries.iter().map(Entry::size).sum();
        if bytes > link.max_bytes {
            log::warn!(address:% = address, bytes = bytes, limit = link.max_bytes; "records are too large to be forwarded");
            return all(Forwarded::Unreachable);
        }
        let call = Call { route: &route, link, answered: false };
        call.send(entries, wait).await.unwrap_or_else(|error| {
            log::warn!(address:% = address, records = entries.len(), error:% = error; "forwarded records were not answered");
            all(Forwarded::Unknown)
        })
    }

    fn route(&self, address: SocketAddr) -> Arc<Route> {
        let mut routes = self.routes.lock();
        if let Some(route) = routes.get(&address) {
            return Arc::clone(route);
        }
        routes.retain(|_, route| Arc::strong_count(route) > 1 || route.usable().is_some());
        Arc::clone(routes.entry(address).or_default())
    }

    /// Returns the connection to an instance, opened if there is none. Calls that wait for the same attempt fail with it.
    async fn link(&self, route: &Route, address: SocketAddr) -> Option<Arc<Link>> {
        if let Some(link) = route.usable() {
            return Some(link);
        }
        let asked = Instant::now();
        let mut failed = route.opening.lock().await;
        if let Some(link) = route.usable() {
            return Some(link);
        }
        if failed.is_some_and(|at| at >= asked) {
            return None;
        }
        match self.connect(address).await {
            Ok(link) => {
                let link = Arc::new(link);
                *route.link.lock() = Some(Arc::clone(&link));
                Some(link)
            }
            Err(error) => {
                *failed = Some(Instant::now());
                self.log_failure(address, &error);
                None
            }
        }
    }

    fn log_failure(&self, address: SocketAddr, error: &CallError) {
        if !matches!(error, CallError::Version(_)) || self.reported.lock().insert(address) {
            log::warn!(address:% = address, error:% = error; "records cannot be forwarded to the instance");
        }
    }

    /// Connects and exchanges hellos.
    async fn connect(&self, address: SocketAddr) -> Result<Link, CallError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        limit_delivery_time(&stream, DELIVERY_TIMEOUT)?;
        let probes = TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL);
        SockRef::from(&stream).set_tcp_keepalive(&probes)?;
        let socket = Socket::new(stream);
        let weak_socket = socket.downgrade();
        let frames =
            LengthDelimitedCodec::builder().max_frame_length(frame_bytes(self.max_bytes)).new_framed(socket);
        let transport = tarpc::serde_transport::new(frames, Bincode::default());
        let mut config = Config::default();
        config.max_in_flight_requests = MAX_CONNECTION_CALLS;
        config.pending_request_buffer = MAX_CONNECTION_CALLS;
        let NewClient { client, dispatch } = ForwardingClient::new(config, transport);
        let task = tokio::spawn(async move {
            if let Err(error) = dispatch.await {
                log::info!(address:% = address, error:% = causes(&error); "the connection to another instance failed");
            }
        });
        let mut link = Link {
            client,
            task,
            socket: weak_socket,
            max_bytes: self.max_bytes,
            used: Mutex::new(Instant::now()),
        };
        let hello = Hello { version: FORWARD_VERSION, name: self.name.clone() };
        let welcome = timeout(HELLO_TIMEOUT, link.client.hello(with_timeout(HELLO_TIMEOUT), hello)).await??;
        match welcome {
            Ok(Welcome { version: FORWARD_VERSION, max_bytes }) => {
                link.max_bytes = link.max_bytes.min(usize::try_from(max_bytes).unwrap_or(usize::MAX));
                Ok(link)
            }
            Ok(Welcome { version, .. }) | Err(ForwardError::Version { ours: version }) => {
                Err(CallError::Version(version))
            }
        }
    }
}
