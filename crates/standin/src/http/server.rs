//! HTTP server for one listener, on its own threads.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::HeaderValue;
use http::header::CONTENT_LENGTH;
use xitca_web::HttpServer;
use xitca_web::body::{BodyExt, RequestBody, ResponseBody, StreamDataBody};
use xitca_web::http::{WebRequest, WebResponse};
use xitca_web::service::fn_service;

use super::{Answer, Parts, Request};

/// Time after which an idle connection is closed; long, because callers keep idle connections deliberately.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3600);

/// Request handler of a server.
pub trait Service: Send + Sync + 'static {
    /// Handles one request; calls run concurrently.
    fn answer(&self, request: Request) -> impl Future<Output = Answer>;
}

/// Handle of a running server.
pub struct Server {
    address: SocketAddr,
    stop: Box<dyn FnOnce() + Send>,
    thread: JoinHandle<io::Result<()>>,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server").field("address", &self.address).finish_non_exhaustive()
    }
}

impl Server {
    /// Address of the listener, with the actual port if port 0 was requested.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections without waiting for running requests.
    pub fn close(self) {
        (self.stop)();
        let _ = self.thread.join();
    }
}

/// Handler error that makes the server close the connection without an answer.
#[derive(Debug)]
struct CloseConnection;

/// Starts a server with this number of worker threads.
///
/// # Errors
///
/// Fails if the listener or a thread cannot be set up.
pub fn serve<S: Service>(listener: TcpListener, service: Arc<S>, threads: usize) -> io::Result<Server> {
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let handler = fn_service(move |request: WebRequest| {
        let service = service.clone();
        async move { handle(&*service, request).await }
    });
    let server = HttpServer::serve(handler).worker_threads(threads).disable_signal();
    let server = server.keep_alive_timeout(IDLE_TIMEOUT);
    let mut future = server.listen(listener)?.run();
    let handle = future.handle()?;
    let thread = std::thread::Builder::new().name("standin-http".into()).spawn(move || future.wait())?;
    Ok(Server { address, stop: Box::new(move || handle.stop(false)), thread })
}

async fn handle<S: Service>(service: &S, request: WebRequest) -> Result<WebResponse, CloseConnection> {
    let request = collect_request(request).await?;
    match service.answer(request).await {
        Answer::Whole(parts) => Ok(full_response(*parts)),
        Answer::Truncated(parts) => Ok(truncated_response(*parts)),
        Answer::Closed => Err(CloseConnection),
        Answer::Silent => std::future::pending().await,
    }
}

async fn collect_request(request: WebRequest) -> Result<Request, CloseConnection> {
    let (head, ext) = request.into_parts();
    let peer = *ext.socket_addr();
    let (_, body) = ext.replace_body(());
    let body = collect_body(body).await?;
    let path = head.uri.path().to_owned();
    let query = head.uri.query().unwrap_or_default().to_owned();
    Ok(Request { method: head.method, path, query, headers: head.headers, body, peer })
}

async fn collect_body(mut body: RequestBody) -> Result<Bytes, CloseConnection> {
    let mut bytes = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|_| CloseConnection)?;
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes.into())
}

fn full_response(parts: Parts) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(parts.body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers;
    response
}

fn truncated_response(parts: Parts) -> WebResponse {
    let half = parts.body.slice(..parts.body.len() / 2);
    let chunks = [Ok(half), Err(io::Error::other("answer truncated by the fault switch"))];
    let body = ResponseBody::boxed(StreamDataBody::new(stream::iter(chunks)));
    let mut response = WebResponse::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers;
    response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(parts.body.len()));
    response
}
