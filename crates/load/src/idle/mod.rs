//! Many open connections, held during the load: idle, or with a small request now and then.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Connections that are opened or probed at the same moment, so that the listener's queue does not overflow.
const AT_ONCE: usize = 200;
/// Longest wait for one connection or answer.
const LIMIT: Duration = Duration::from_secs(10);

/// Held connections.
#[derive(Debug)]
pub struct Idle {
    holders: JoinSet<bool>,
    refused: u32,
    stop: watch::Sender<bool>,
}

/// What became of the held connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct IdleReport {
    /// Connections that were opened.
    pub opened: u32,
    /// Connections that could not be opened.
    pub refused: u32,
    /// Connections that answered every request, and one at the end.
    pub answered: u32,
}

impl Idle {
    /// Opens connections, spread evenly over the addresses.
    pub async fn open(addresses: &[Arc<str>], count: u32, refresh: Option<Duration>) -> Self {
        let permits = Arc::new(Semaphore::new(AT_ONCE));
        let mut idle = Self { holders: JoinSet::new(), refused: 0, stop: watch::Sender::new(false) };
        let targets: Vec<Arc<str>> = addresses.iter().cycle().take(count as usize).cloned().collect();
        for chunk in targets.chunks(AT_ONCE) {
            let connects: JoinSet<_> = chunk.iter().cloned().map(connect).collect();
            for stream in connects.join_all().await {
                match stream {
                    Some(stream) => {
                        let holder = hold(stream, refresh, idle.stop.subscribe(), permits.clone());
                        idle.holders.spawn(holder);
                    }
                    None => idle.refused += 1,
                }
            }
        }
        idle
    }

    /// Sends a last request on each connection and closes all.
    pub async fn close(self) -> IdleReport {
        self.stop.send_replace(true);
        let opened = u32::try_from(self.holders.len()).unwrap_or(u32::MAX);
        let answered = self.holders.join_all().await.into_iter().map(u32::from).sum();
        IdleReport { opened, refused: self.refused, answered }
    }
}

async fn connect(address: Arc<str>) -> Option<TcpStream> {
    timeout(LIMIT, TcpStream::connect(&*address)).await.ok()?.ok()
}

async fn hold(
    mut stream: TcpStream,
    refresh: Option<Duration>,
    mut stop: watch::Receiver<bool>,
    permits: Arc<Semaphore>,
) -> bool {
    if let Some(refresh) = refresh {
        while timeout(refresh, stop.changed()).await.is_err() {
            if !probe(&mut stream).await {
                return false;
            }
        }
    } else {
        // The sender lives until `close`.
        let _ = stop.changed().await;
    }
    let _permit = permits.acquire().await;
    probe(&mut stream).await
}

// Any answer will do: it shows that the instance still serves the connection.
async fn probe(stream: &mut TcpStream) -> bool {
    let exchange = async {
        stream.write_all(b"GET /v1/tasks/none HTTP/1.1\r\nhost: entry\r\n\r\n").await?;
        stream.read(&mut [0; 4096]).await
    };
    matches!(timeout(LIMIT, exchange).await, Ok(Ok(read)) if read > 0)
}
