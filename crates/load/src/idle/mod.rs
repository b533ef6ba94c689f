//! Connections that are kept open during the load, either idle or with periodic small requests.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Connections opened or probed at the same time. The limit keeps the listener's accept queue from overflowing.
const MAX_CONCURRENT: usize = 200;
/// Limit for opening one connection or for one probe.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Open connections, each owned by a task that returns whether all its probes succeeded.
#[derive(Debug)]
pub struct IdleConnections {
    tasks: JoinSet<bool>,
    refused: u32,
    stop: watch::Sender<bool>,
}

/// Counts of the kept connections, part of the JSON report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct IdleReport {
    /// Connections that were opened.
    pub opened: u32,
    /// Connections that could not be opened.
    pub refused: u32,
    /// Connections on which every probe was answered, including the last one at the end.
    pub answered: u32,
}

impl IdleConnections {
    /// Opens `count` connections, spread evenly over the addresses.
    pub async fn open(addresses: &[Arc<str>], count: u32, refresh: Option<Duration>) -> Self {
        let permits = Arc::new(Semaphore::new(MAX_CONCURRENT));
        let mut idle = Self { tasks: JoinSet::new(), refused: 0, stop: watch::Sender::new(false) };
        let targets: Vec<Arc<str>> = addresses.iter().cycle().take(count as usize).cloned().collect();
        for chunk in targets.chunks(MAX_CONCURRENT) {
            let connects: JoinSet<_> = chunk.iter().cloned().map(connect).collect();
            for stream in connects.join_all().await {
                match stream {
                    Some(stream) => {
                        let task = keep_open(stream, refresh, idle.stop.subscribe(), permits.clone());
                        idle.tasks.spawn(task);
                    }
                    None => idle.refused += 1,
                }
            }
        }
        idle
    }

    /// Sends a last probe on each connection and closes it.
    pub async fn close(self) -> IdleReport {
        self.stop.send_replace(true);
        let opened = u32::try_from(self.tasks.len()).unwrap_or(u32::MAX);
        let answered = self.tasks.join_all().await.into_iter().map(u32::from).sum();
        IdleReport { opened, refused: self.refused, answered }
    }
}

async fn connect(address: Arc<str>) -> Option<TcpStream> {
    timeout(TIMEOUT, TcpStream::connect(&*address)).await.ok()?.ok()
}

async fn keep_open(
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
        // The sender is dropped only in `close`, so this waits for the stop signal.
        let _ = stop.changed().await;
    }
    let _permit = permits.acquire().await;
    probe(&mut stream).await
}

// Any response shows that the instance still serves the connection, also an error.
async fn probe(stream: &mut TcpStream) -> bool {
    let exchange = async {
        stream.write_all(b"GET /v1/tasks/none HTTP/1.1\r\nhost: entry\r\n\r\n").await?;
        stream.read(&mut [0; 4096]).await
    };
    matches!(timeout(TIMEOUT, exchange).await, Ok(Ok(read)) if read > 0)
}
