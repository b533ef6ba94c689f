//! Start and shutdown of one entry instance with its servers and background tasks.

mod calls;

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use miette::Diagnostic;
use rattanfall_core::engine::{Event, Options};
use thiserror::Error;
use tokio::net::TcpSocket;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{interval, timeout};

use crate::callers::{self, Callers};
use crate::config::Config;
use crate::metrics::{EdgeCounters, Metrics, MetricsError};
use crate::operators::{self, Operators};
use crate::peers::{PeerServer, Peers, run_gossip, serve_peers};
use crate::platform::{
    EntryInstances, LogCursor, Platform, Reboots, follow, poll_lists, pull_tails, run_appends,
};
use crate::server::{Clients, Server, serve};
use crate::shell::{Inbox, Shell, outbox, run_ticks};
use crate::upstreams::Pool;

/// Connections of one listener that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 4_096;
/// Interval at which expired idle connections to workers are closed.
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit for closing the servers at shutdown.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Failure to start.
#[derive(Debug, Error, Diagnostic)]
pub enum StartError {
    /// A listener could not be bound.
    #[error("cannot listen on {address} for {purpose}")]
    Bind {
        /// Configured address.
        address: SocketAddr,
        /// Clients of the listener, for the message.
        purpose: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A server could not be started.
    #[error("cannot start a server")]
    Server(#[from] std::io::Error),
    /// The metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// Running entry instance.
#[derive(Debug)]
pub struct Instance {
    /// Access to the engine.
    pub shell: Arc<Shell>,
    /// Counters of events outside the engine.
    pub edge: Arc<EdgeCounters>,
    /// Bound address of the peer listener.
    pub peers: SocketAddr,
    callers: Server,
    operators: Server,
    exit: watch::Receiver<bool>,
    stop: Duration,
    tasks: JoinSet<()>,
}

impl Instance {
    /// Binds the listeners and starts all tasks.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be bound.
    pub fn start(config: Config) -> Result<Self, StartError> {
        let callers = bind(config.callers, "callers")?;
        let operators = bind(config.operators, "operators")?;
        let peers = bind(config.peers, "peers")?;
        let peers_address = peers.local_addr()?;
        let address = config.advertise.unwrap_or(peers_address).to_string();
        let (out, inbox) = outbox();
        let shell = Shell::new(Options { address, ..config.engine.clone() }, out);
        let edge = Arc::new(EdgeCounters::new(config.requests));
        let pool = Pool::new(config.upstreams);
        let exit = inbox.exit.clone();
        let peers = tokio::net::TcpListener::from_std(peers)?;
        let tasks = spawn_tasks(&config, &shell, &pool, peers, inbox);
        let app = callers::app(Arc::new(Callers {
            shell: Arc::clone(&shell),
            pool,
            edge: Arc::clone(&edge),
            id_prefix: rand::random(),
            answer_bytes: config.answer_bytes,
        }));
        let callers = serve(callers, config.threads, (&edge, Clients::Callers), app)?;
        let app = operators::app(Arc::new(Operators {
            shell: Arc::clone(&shell),
            edge: Arc::clone(&edge),
            metrics: Metrics::new(&edge)?,
            credential: (&config.credential).into(),
        }));
        let operators = serve(operators, 1, (&edge, Clients::Operators), app)?;
        Ok(Self {
            shell,
            edge,
            peers: peers_address,
            callers,
            operators,
            exit,
            stop: config.stop_timeout,
            tasks,
        })
    }

    /// Bound address for callers.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        self.callers.address
    }

    /// Bound address for operators.
    #[must_use]
    pub const fn operators(&self) -> SocketAddr {
        self.operators.address
    }

    /// Shuts down gracefully: refuses new work, waits for running work, then closes the servers. Returns false if the
    /// time limit passed before the running work had ended.
    pub async fn stop(mut self) -> bool {
        self.shell.handle(Event::Stop);
        self.callers.stop_accepting();
        let done = timeout(self.stop, self.exit.wait_for(|exit| *exit)).await.is_ok();
        if !done {
            log::warn!("graceful shutdown did not finish in time");
        }
        let (callers, operators) = (self.callers, self.operators);
        let close = move || {
            callers.close();
            operators.close();
        };
        if timeout(CLOSE_TIMEOUT, tokio::task::spawn_blocking(close)).await.is_err() {
            log::warn!("servers did not close in time");
        }
        self.tasks.shutdown().await;
        done
    }
}

fn bind(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, StartError> {
    let listen = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)?.into_std()
    };
    listen().map_err(|source| StartError::Bind { address, purpose, source })
}

fn spawn_tasks(
    config: &Config,
    shell: &Arc<Shell>,
    pool: &Arc<Pool>,
    peers: tokio::net::TcpListener,
    inbox: Inbox,
) -> JoinSet<()> {
    let platform = Platform::new(Pool::new(config.upstreams), config.platform.clone());
    let entry_instances = Arc::new(EntryInstances::default());
    let peer_clients = Peers::new(Arc::clone(shell), Arc::clone(&entry_instances));
    let log = LogCursor::new(Arc::clone(shell));
    let reboots = Reboots::new(Arc::clone(shell), Arc::clone(&platform), Arc::clone(pool));
    let server = PeerServer { log: Arc::clone(&log), digest: inbox.digest.clone() };
    let mut tasks = JoinSet::new();
    tasks.spawn(run_ticks(Arc::clone(shell)));
    tasks.spawn(run_appends(Arc::clone(shell), Arc::clone(&platform), inbox.appends));
    tasks.spawn(follow(Arc::clone(&log), Arc::clone(&platform), Arc::clone(&peer_clients)));
    tasks.spawn(pull_tails(log, Arc::clone(&platform), Arc::clone(&peer_clients)));
    tasks.spawn(poll_lists(Arc::clone(shell), platform, entry_instances));
    tasks.spawn(calls::run_worker_calls(Arc::clone(shell), Arc::clone(pool), reboots, inbox.calls));
    tasks.spawn(run_gossip(Arc::clone(shell), peer_clients, inbox.digest));
    tasks.spawn(serve_peers(peers, server));
    tasks.spawn(evict_idle_connections(Arc::clone(pool)));
    tasks
}

async fn evict_idle_connections(pool: Arc<Pool>) {
    let mut ticks = interval(EVICTION_INTERVAL);
    loop {
        ticks.tick().await;
        pool.evict_idle();
    }
}
