//! Many idle open connections, held during the load.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Connections that are opened at the same moment, so that the listener's queue does not overflow.
const OPEN_AT_ONCE: usize = 200;
/// Longest wait for one connection or answer.
const LIMIT: Duration = Duration::from_secs(10);

/// Held connections.
#[derive(Debug, Default)]
pub struct Idle {
    streams: Vec<TcpStream>,
    refused: u32,
}

/// What became of the held connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct IdleReport {
    /// Connections that were opened.
    pub opened: u32,
    /// Connections that could not be opened.
    pub refused: u32,
    /// Connections that still answered a request at the end.
    pub answered: u32,
}

impl Idle {
    /// Opens connections, spread evenly over the addresses.
    pub async fn open(addresses: &[Arc<str>], count: u32) -> Self {
        let mut idle = Self::default();
        let targets: Vec<Arc<str>> = addresses.iter().cycle().take(count as usize).cloned().collect();
        for chunk in targets.chunks(OPEN_AT_ONCE) {
            let connects: JoinSet<_> = chunk.iter().cloned().map(connect).collect();
            for stream in connects.join_all().await {
                match stream {
                    Some(stream) => idle.streams.push(stream),
                    None => idle.refused += 1,
                }
            }
        }
        idle
    }

    /// Sends one request on each connection and closes all.
    pub async fn close(self) -> IdleReport {
        let opened = u32::try_from(self.streams.len()).unwrap_or(u32::MAX);
        let mut answered = 0;
        let mut streams = self.streams.into_iter().peekable();
        while streams.peek().is_some() {
            let probes: JoinSet<_> = streams.by_ref().take(OPEN_AT_ONCE).map(probe).collect();
            answered += probes.join_all().await.into_iter().map(u32::from).sum::<u32>();
        }
        IdleReport { opened, refused: self.refused, answered }
    }
}

async fn connect(address: Arc<str>) -> Option<TcpStream> {
    timeout(LIMIT, TcpStream::connect(&*address)).await.ok()?.ok()
}

// Any answer will do: it shows that the instance still serves the connection.
async fn probe(mut stream: TcpStream) -> bool {
    let exchange = async {
        stream.write_all(b"GET /v1/tasks/none HTTP/1.1\r\nhost: entry\r\n\r\n").await?;
        stream.read(&mut [0; 64]).await
    };
    matches!(timeout(LIMIT, exchange).await, Ok(Ok(read)) if read > 0)
}
