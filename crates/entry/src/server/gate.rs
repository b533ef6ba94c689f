//! Listener that can be closed while its server runs on.

use std::future::pending;
use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::watch;
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

/// Listener shared by the threads of a server.
#[derive(Clone, Debug)]
pub struct Gate {
    start: Arc<Mutex<Option<Start>>>,
    open: Arc<watch::Sender<Option<Arc<tokio::net::TcpListener>>>>,
    runs: watch::Receiver<()>,
}

/// What the start of the server takes over.
#[derive(Debug)]
struct Start {
    listener: TcpListener,
    /// Dropped when the server stops its accepting runtime.
    runs: watch::Sender<()>,
}

impl Gate {
    /// Wraps a bound listener.
    pub(super) fn new(listener: TcpListener) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let (sender, runs) = watch::channel(());
        let start = Arc::new(Mutex::new(Some(Start { listener, runs: sender })));
        Ok(Self { start, open: Arc::new(watch::channel(None).0), runs })
    }

    /// Closes the socket, so that new connections are refused at once.
    pub fn close(&self) {
        self.start.lock().take();
        self.open.send_replace(None);
    }
}

impl IntoListener for Gate {
    type Listener = Self;

    /// Registers the socket with the runtime that accepts.
    fn into_listener(self) -> io::Result<Self> {
        let start = self.start.lock().take();
        if let Some(Start { listener, runs }) = start {
            self.open.send_replace(Some(Arc::new(tokio::net::TcpListener::from_std(listener)?)));
            // The runtime drops this task, and with it the sender, when the server stops.
            tokio::spawn(async move { (pending::<()>().await, runs) });
        }
        Ok(self)
    }
}

impl Listen for Gate {
    /// Accepts a connection. A closed listener accepts none and fails only once the server stops: the server joins
    /// its threads, which run until this fails, and an earlier failure would cut their open connections.
    async fn accept(&self) -> io::Result<Stream> {
        let mut changes = self.open.subscribe();
        let mut runs = self.runs.clone();
        loop {
            let listener = changes.borrow_and_update().clone();
            tokio::select! {
                accepted = accept_from(listener) => {
                    let (stream, address) = accepted?;
                    return Ok(Stream::Tcp(stream.into_std()?, address));
                }
                _ = changes.changed() => {}
                // The server ends an accepting task on this kind of error.
                _ = runs.changed() => return Err(io::ErrorKind::BrokenPipe.into()),
            }
        }
    }
}

async fn accept_from(
    listener: Option<Arc<tokio::net::TcpListener>>,
) -> io::Result<(tokio::net::TcpStream, std::net::SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => pending().await,
    }
}
