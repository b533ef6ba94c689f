//! HTTP/1.1 over plain sockets: a client that also accepts incomplete responses, and a server with faults.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::TIMEOUT;

/// Headers with lower-case names.
pub(crate) type Headers = BTreeMap<String, String>;

/// Response as a client received it, possibly incomplete.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) headers: Headers,
    pub(crate) body: Vec<u8>,
    /// True if the body has the length that the headers announced.
    pub(crate) complete: bool,
}

impl Response {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Sends one request on a new connection. Headers are given as lines without a line end.
pub(crate) async fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[&str],
    body: &[u8],
) -> Response {
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n");
    for header in headers {
        head.push_str(header);
        head.push_str("\r\n");
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    send_raw(to, &bytes).await.expect("no response")
}

/// Sends bytes and reads one response; `None` if the connection is closed without one.
pub(crate) async fn send_raw(to: SocketAddr, bytes: &[u8]) -> Option<Response> {
    let mut stream = TcpStream::connect(to).await.expect("connect");
    stream.write_all(bytes).await.expect("write");
    timeout(TIMEOUT, read_response(&mut stream, bytes.starts_with(b"HEAD"))).await.expect("response in time")
}

/// Reads one response; `None` if the connection is closed before its headers are complete.
pub(crate) async fn read_response(stream: &mut TcpStream, head_only: bool) -> Option<Response> {
    let (start, headers, mut rest) = read_head(stream).await?;
    let status = start.split(' ').nth(1)?.parse().ok()?;
    let chunked = headers.get("transfer-encoding").is_some_and(|coding| coding == "chunked");
    let length: usize = headers.get("content-length").map_or(0, |text| text.parse().unwrap_or(0));
    if head_only {
        return Some(Response { status, headers, body: rest, complete: true });
    }
    let done = |rest: &[u8]| if chunked { rest.ends_with(b"0\r\n\r\n") } else { rest.len() >= length };
    while !done(&rest) {
        if stream.read_buf(&mut rest).await.unwrap_or(0) == 0 {
            break;
        }
    }
    let complete = done(&rest);
    let body = if chunked { unchunk(&rest) } else { rest };
    Some(Response { status, headers, body, complete })
}

fn unchunk(mut rest: &[u8]) -> Vec<u8> {
    let mut body = Vec::new();
    while let Some(end) = rest.windows(2).position(|pair| pair == b"\r\n") {
        let size = usize::from_str_radix(&String::from_utf8_lossy(&rest[..end]), 16).unwrap_or(0);
        let part = &rest[(end + 2).min(rest.len())..];
        let size = size.min(part.len());
        body.extend_from_slice(&part[..size]);
        rest = part.get(size + 2..).unwrap_or_default();
        if size == 0 {
            break;
        }
    }
    body
}

async fn read_head(stream: &mut TcpStream) -> Option<(String, Headers, Vec<u8>)> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break end;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let start = lines.next()?.to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let headers = fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect();
    Some((start, headers, bytes[end + 4..].to_vec()))
}

/// Complete request that a fake server received.
#[derive(Clone, Debug)]
pub(crate) struct Incoming {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Headers,
    pub(crate) body: Vec<u8>,
}

/// Reaction of a fake server to a request.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Sends a complete response.
    Respond { status: u16, headers: Vec<(String, String)>, body: Vec<u8> },
    /// Announces the full length, writes part of the body and closes.
    Truncate { headers: Vec<(String, String)>, body: Vec<u8>, written: usize },
    /// Writes these bytes as they are and closes.
    Raw(Vec<u8>),
    /// Closes without a response.
    Close,
    /// Never responds and keeps the connection open.
    NeverRespond,
}

impl Action {
    pub(crate) fn json(status: u16, body: &impl serde::Serialize) -> Self {
        Self::Respond { status, headers: Vec::new(), body: serde_json::to_vec(body).expect("json") }
    }
}

/// Serves on a loopback port; `handle` is called once for each complete request.
pub(crate) async fn serve<H, F>(handle: H) -> SocketAddr
where
    H: Fn(Incoming) -> F + Send + Sync + 'static,
    F: Future<Output = Action> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let handle = Arc::new(handle);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(run(stream, Arc::clone(&handle)));
        }
    });
    address
}

async fn run<H, F>(mut stream: TcpStream, handle: Arc<H>)
where
    H: Fn(Incoming) -> F,
    F: Future<Output = Action>,
{
    while let Some(request) = read_request(&mut stream).await {
        match handle(request).await {
            Action::Respond { status, headers, body } => {
                let bytes = response(status, &headers, &body, body.len());
                if stream.write_all(&bytes).await.is_err() {
                    return;
                }
            }
            Action::Truncate { headers, body, written } => {
                let _ = stream.write_all(&response(200, &headers, &body, written)).await;
                return;
            }
            Action::Raw(bytes) => {
                let _ = stream.write_all(&bytes).await;
                return;
            }
            Action::Close => return,
            Action::NeverRespond => std::future::pending().await,
        }
    }
}

fn response(status: u16, headers: &[(String, String)], body: &[u8], written: usize) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&body[..written]);
    bytes
}

async fn read_request(stream: &mut TcpStream) -> Option<Incoming> {
    let (start, headers, mut body) = read_head(stream).await?;
    let length: usize = headers.get("content-length").map_or(0, |text| text.parse().unwrap_or(0));
    while body.len() < length {
        if stream.read_buf(&mut body).await.ok()? == 0 {
            return None;
        }
    }
    let mut parts = start.split(' ');
    let (method, path) = (parts.next()?.to_owned(), parts.next()?.to_owned());
    Some(Incoming { method, path, headers, body })
}
