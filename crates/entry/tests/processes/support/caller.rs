//! Callers with persistent connections, and load from several callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rattanfall_standin::worker::Payload;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Time limit of a request, longer than every deadline of these tests.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Complete response.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

impl Response {
    /// Value of a header; empty if absent.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Body as JSON; null if it is not JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

/// Caller with one persistent connection.
pub(crate) struct Caller {
    address: String,
    key: String,
    connection: Option<SendRequest<Full<Bytes>>>,
}

impl Caller {
    /// Creates a caller that connects when it sends its first request.
    pub(crate) fn new(address: &str, key: &str) -> Self {
        Self { address: address.to_owned(), key: key.to_owned(), connection: None }
    }

    /// Sends a request and waits for the complete response. After an error, the next request opens a new connection.
    pub(crate) async fn send(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Response, String> {
        let mut request = Request::builder().method(method).uri(path).header("host", &self.address);
        request = request.header("authorization", format!("Bearer {}", self.key));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
        let mut sender = match self.connection.take().filter(|sender| sender.is_ready()) {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        let exchange = async {
            let response = sender.send_request(request).await.map_err(|e| format!("no response: {e:?}"))?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.map_err(|e| format!("the response ended early: {e:?}"))?;
            let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
            Ok::<_, String>(Response { status: head.status.as_u16(), headers: head.headers, body })
        };
        let response = timeout(TIMEOUT, exchange).await.map_err(|_| "no response in time".to_owned())??;
        let _ = sender.ready().await;
        self.connection = Some(sender);
        Ok(response)
    }

    /// Sends a non-idempotent request to pool `orders`.
    pub(crate) async fn work(
        &mut self,
        token: &str,
        work_ms: u64,
        more: &[(&str, &str)],
    ) -> Result<Response, String> {
        let work = work_ms.to_string();
        let own = [("x-caller-token", token), ("x-work-ms", &work), ("x-team", "alder")];
        self.send(Method::POST, "/v1/pools/orders/call/check", &[&own, more].concat(), "").await
    }

    /// Submits a task of team `alder`. The response has its id.
    pub(crate) async fn submit(
        &mut self,
        token: &str,
        work_ms: u64,
        idempotent: bool,
    ) -> Result<Response, String> {
        let payload = Payload { work_ms, token: token.into(), team: "alder".into(), ..Payload::default() };
        let headers =
            [("x-idempotent", if idempotent { "true" } else { "false" }), ("x-submit-token", token)];
        let body = serde_json::to_string(&payload).unwrap();
        self.send(Method::POST, "/v1/pools/orders/tasks", &headers, &body).await
    }

    /// State of a task; empty if there is no response.
    pub(crate) async fn task_state(&mut self, id: &str) -> String {
        let response = self.send(Method::GET, &format!("/v1/tasks/{id}"), &[], "").await;
        response.ok().and_then(|a| Some(a.json()["state"].as_str()?.to_owned())).unwrap_or_default()
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, String> {
        let stream = TcpStream::connect(&self.address).await.map_err(|e| format!("not connected: {e}"))?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|e| format!("not connected: {e}"))?;
        tokio::spawn(connection);
        Ok(sender)
    }
}

/// One request of a load with its result.
#[derive(Debug)]
pub(crate) struct Sample {
    pub(crate) token: String,
    pub(crate) response: Result<Response, String>,
}

impl Sample {
    /// Whether the response is complete and belongs to this request.
    pub(crate) fn is_done(&self) -> bool {
        self.response.as_ref().is_ok_and(|response| {
            response.status == 200
                && response.header("x-outcome") == "done"
                && response.body == format!("{}\n", self.token)
        })
    }
}

/// Load of several callers, each of which sends one request at a time.
pub(crate) struct Load {
    stop: Arc<AtomicBool>,
    tasks: JoinSet<Vec<Sample>>,
}

impl Load {
    /// Starts callers that are spread over the addresses. A caller moves on to the next address after a request fails.
    pub(crate) fn start(name: &str, addresses: &[String], key: &str, callers: usize, work_ms: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        for number in 0..callers {
            let (stop, addresses, key) = (Arc::clone(&stop), addresses.to_vec(), key.to_owned());
            let name = format!("{name}-{number}");
            tasks.spawn(async move { run(&stop, &name, number, &addresses, &key, work_ms).await });
        }
        Self { stop, tasks }
    }

    /// Stops the load and returns all requests.
    pub(crate) async fn finish(self) -> Vec<Sample> {
        self.stop.store(true, Ordering::Relaxed);
        self.tasks.join_all().await.into_iter().flatten().collect()
    }
}

async fn run(
    stop: &AtomicBool,
    name: &str,
    first: usize,
    addresses: &[String],
    key: &str,
    work_ms: u64,
) -> Vec<Sample> {
    let mut samples = Vec::new();
    let mut at = first % addresses.len();
    let mut caller = Caller::new(&addresses[at], key);
    while !stop.load(Ordering::Relaxed) {
        let token = format!("{name}-{}", samples.len());
        let response = caller.work(&token, work_ms, &[]).await;
        let sample = Sample { token, response };
        if !sample.is_done() {
            at = (at + 1) % addresses.len();
            caller = Caller::new(&addresses[at], key);
            // Refusals return immediately and would dominate the samples without a pause.
            sleep(Duration::from_millis(5)).await;
        }
        samples.push(sample);
    }
    samples
}
