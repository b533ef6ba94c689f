//! Listener that can be closed while its server continues to serve open connections, and that accepts no more of them than the
//! process has descriptors for.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::watch;
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

use super::budget::{Clients, RequestBudget};

/// Listener shared by the threads of a server.
#[derive(Clone, Debug)]
pub struct ClosableListener {
    pending: Arc<Mutex<Option<TcpListener>>>,
    socket: Arc<watch::Sender<Option<Arc<tokio::net::TcpListener>>>>,
    /// Closed once the runtime that accepts connections has ended.
    ended: Arc<Mutex<Option<watch::Receiver<()>>>>,
    budget: Arc<RequestBudget>,
    clients: Clients,
}

impl ClosableListener {
    /// Wraps a bound listener. Its connections count against the budget.
    pub(super) fn new(
        listener: TcpListener,
        budget: Arc<RequestBudget>,
        clients: Clients,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let pending = Arc::new(Mutex::new(Some(listener)));
        let socket = Arc::new(watch::channel(None).0);
        Ok(Self { pending, socket, ended: Arc::default(), budget, clients })
    }

    /// Closes the socket, so that new connections are refused immediately.
    pub fn close(&self) {
        self.pending.lock().take();
        self.socket.send_replace(None);
    }

    /// Waits for the end of the accepting runtime. The server's threads end only after their accept loops have.
    async fn wait_for_end(&self) {
        let ended = self.ended.lock().clone();
        if let Some(mut ended) = ended {
            while ended.changed().await.is_ok() {}
        }
    }
}

impl IntoListener for ClosableListener {
    type Listener = Self;

    /// Registers the socket with the current runtime, which accepts the connections.
    fn into_listener(self) -> io::Result<Self> {
        let listener = self.pending.lock().take();
        if let Some(listener) = listener {
            self.socket.send_replace(Some(Arc::new(tokio::net::TcpListener::from_std(listener)?)));
        }
        let (running, ended) = watch::channel(());
        tokio::spawn(async move {
            std::future::pending::<()>().await;
            drop(running);
        });
        *self.ended.lock() = Some(ended);
        Ok(self)
    }
}

impl Listen for ClosableListener {
    /// Accepts a connection. After [`ClosableListener::close`] it waits for the end of the runtime and then fails.
    async fn accept(&self) -> io::Result<Stream> {
        let mut updates = self.socket.subscribe();
        loop {
            let listener = updates.borrow_and_update().clone();
            let Some(listener) = listener else {
                self.wait_for_end().await;
                return Err(io::ErrorKind::BrokenPipe.into());
            };
            let accept = async {
                self.budget.wait_for_descriptor(self.clients).await;
                listener.accept().await
            };
            tokio::select! {
                accepted = accept => {
                    let (stream, address) = accepted?;
                    let stream = stream.into_std()?;
                    self.budget.accept();
                    return Ok(Stream::Tcp(stream, address));
                }
                _ = updates.changed() => {}
            }
        }
    }
}
