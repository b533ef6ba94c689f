//! HTTP/1.1 server with a thread for each connection, and a client for single calls.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Debug)]
pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn arg<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.query.get(name)?.parse().ok()
    }
}

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(status: u16, body: String) -> Self {
        Self { status, body: body.into_bytes() }
    }
}

/// Server whose connections can be broken, as by a crash of the process behind it.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    down: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves on a free loopback port. A handler that returns none gets the connection closed without an answer.
    pub fn start(handler: impl Fn(Request) -> Option<Response> + Send + Sync + 'static) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Self { address: listener.local_addr()?, down: Arc::default(), open: Arc::default() };
        let shared = server.clone();
        let handler = Arc::new(handler);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.down.load(Ordering::SeqCst) {
                    let _ = stream.shutdown(Shutdown::Both);
                    continue;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    shared.open.lock().unwrap().push(copy);
                }
                let handler = Arc::clone(&handler);
                let down = Arc::clone(&shared.down);
                thread::spawn(move || {
                    let _ = serve(&stream, &*handler, &down);
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        Ok(server)
    }

    /// Breaks all connections, and new ones at once.
    pub fn crash(&self) {
        self.down.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn restart(&self) {
        self.down.store(false, Ordering::SeqCst);
    }
}

fn serve(stream: &TcpStream, handler: &dyn Fn(Request) -> Option<Response>, down: &AtomicBool) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader)? {
        let Some(response) = handler(request) else { return Ok(()) };
        if down.load(Ordering::SeqCst) {
            return Ok(());
        }
        let mut bytes =
            format!("HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n", response.status, response.body.len())
                .into_bytes();
        bytes.extend_from_slice(&response.body);
        writer.write_all(&bytes)?;
    }
    Ok(())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let (Some(_method), Some(target)) = (words.next(), words.next()) else { return Ok(None) };
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (headers, body) = read_rest(reader)?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Ok(Some(Request {
        path: path.to_owned(),
        query: pairs.map(|(name, value)| (name.to_owned(), decode(value))).collect(),
        headers,
        body,
    }))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_rest(reader: &mut impl BufRead) -> io::Result<(HashMap<String, String>, Vec<u8>)> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((headers, body))
}

/// Makes one call on a connection of its own. Returns the status and the body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\ncontent-type: application/json\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split_whitespace().nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let (_, body) = read_rest(&mut reader)?;
    Ok((status, body))
}
