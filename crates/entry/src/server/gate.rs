//! Listener that can be closed while its server runs on.

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
    pending: Arc<Mutex<Option<TcpListener>>>,
    open: Arc<watch::Sender<Option<Arc<tokio::net::TcpListener>>>>,
}

impl Gate {
    /// Wraps a bound listener.
    pub(super) fn new(listener: TcpListener) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let pending = Arc::new(Mutex::new(Some(listener)));
        Ok(Self { pending, open: Arc::new(watch::channel(None).0) })
    }

    /// Closes the socket, so that new connections are refused at once.
    pub fn close(&self) {
        self.pending.lock().take();
        self.open.send_replace(None);
    }
}

impl IntoListener for Gate {
    type Listener = Self;

    /// Registers the socket with the runtime that accepts.
    fn into_listener(self) -> io::Result<Self> {
        let listener = self.pending.lock().take();
        if let Some(listener) = listener {
            self.open.send_replace(Some(Arc::new(tokio::net::TcpListener::from_std(listener)?)));
        }
        Ok(self)
    }
}

impl Listen for Gate {
    async fn accept(&self) -> io::Result<Stream> {
        let mut changes = self.open.subscribe();
        loop {
            let listener = changes.borrow_and_update().clone();
            let Some(listener) = listener else {
                return std::future::pending().await;
            };
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, address) = accepted?;
                    return Ok(Stream::Tcp(stream.into_std()?, address));
                }
                _ = changes.changed() => {}
            }
        }
    }
}
