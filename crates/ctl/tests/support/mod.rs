//! Runs `rattanctl` in process against fake entry instances.

#![allow(dead_code, reason = "each test file uses a different part")]
#![allow(clippy::unwrap_used, reason = "a failed step of a test helper fails the test")]

use std::collections::VecDeque;
use std::convert::Infallible;
use std::io::{Cursor, Error};
use std::net::{SocketAddr, TcpListener as StdListener};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rattanctl::{Console, Exit};
use tokio::net::TcpListener;

pub(crate) const CREDENTIAL: &str = "operator-secret";

/// Output and exit code of a command.
pub(crate) struct CommandOutput {
    pub(crate) exit: Exit,
    pub(crate) out: String,
    pub(crate) err: String,
}

/// Runs a command; `args` excludes the program name, `input` is read as standard input.
pub(crate) fn run(args: &[&str], input: &str) -> CommandOutput {
    let (mut out, mut err, mut input) = (Vec::new(), Vec::new(), Cursor::new(input.to_owned()));
    let mut console = Console { out: &mut out, err: &mut err, input: &mut input, color: false };
    let args = std::iter::once("rattanctl").chain(args.iter().copied()).map(Into::into);
    let exit = rattanctl::run(args, &mut console);
    CommandOutput { exit, out: String::from_utf8(out).unwrap(), err: String::from_utf8(err).unwrap() }
}

/// Runs a command with the connection options for these operator addresses.
pub(crate) fn run_at(addresses: &[&str], args: &[&str], input: &str) -> CommandOutput {
    let operator = addresses.join(",");
    let connection = ["--operator", &operator, "--credential", CREDENTIAL, "--timeout-ms", "1000"];
    run(&[&connection, args].concat(), input)
}

/// Replaces addresses, whose ports vary, by fixed names for snapshots.
pub(crate) fn mask_addresses(text: &str, addresses: &[&str]) -> String {
    let mut text = text.to_owned();
    for (index, address) in addresses.iter().enumerate() {
        text = text.replace(address, &format!("ADDRESS-{index}"));
    }
    text
}

/// Response of a fake instance to one request.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Status and body.
    Answer(u16, String),
    /// The connection closes before the response.
    Close,
    /// The connection closes within the response body.
    Truncated,
    /// The connection stays open without a response.
    NoAnswer,
}

impl Reply {
    pub(crate) fn json(value: &impl serde::Serialize) -> Self {
        Self::Answer(200, serde_json::to_string(value).unwrap())
    }

    pub(crate) fn error(status: u16, error: &str, message: &str) -> Self {
        let body = serde_json::json!({ "error": error, "message": message });
        Self::Answer(status, body.to_string())
    }
}

/// Request that a fake instance received.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    pub(crate) line: String,
    pub(crate) authorization: String,
    pub(crate) body: String,
}

/// Fake of the operator interface of an entry instance.
pub(crate) struct FakeInstance {
    pub(crate) address: String,
    received: Arc<Mutex<Vec<Received>>>,
}

impl FakeInstance {
    /// Starts a fake that sends these replies in order and then closes connections without a response.
    pub(crate) fn start(replies: impl IntoIterator<Item = Reply>) -> Self {
        let listener = StdListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let received = Arc::new(Mutex::new(Vec::new()));
        let replies = Arc::new(Mutex::new(replies.into_iter().collect::<VecDeque<_>>()));
        let log = Arc::clone(&received);
        std::thread::spawn(move || serve(listener, &replies, &log));
        Self { address, received }
    }

    pub(crate) fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }

    /// Methods and paths of the requests, in the order of arrival.
    pub(crate) fn lines(&self) -> Vec<String> {
        self.received().into_iter().map(|call| call.line).collect()
    }
}

/// Address on which nothing listens, so that connections are refused.
pub(crate) fn refusing_address() -> String {
    let listener = StdListener::bind("127.0.0.1:0").unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    address.to_string()
}

type Replies = Arc<Mutex<VecDeque<Reply>>>;
type ReceivedLog = Arc<Mutex<Vec<Received>>>;

fn serve(listener: StdListener, replies: &Replies, log: &ReceivedLog) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let listener = TcpListener::from_std(listener).unwrap();
        while let Ok((stream, _)) = listener.accept().await {
            let (replies, log) = (Arc::clone(replies), Arc::clone(log));
            let service = service_fn(move |request| answer(request, Arc::clone(&replies), Arc::clone(&log)));
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
}

async fn answer(
    request: Request<Incoming>,
    replies: Replies,
    log: ReceivedLog,
) -> Result<Response<ResponseBody>, Error> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(Error::other)?.to_bytes();
    let authorization = head.headers.get("authorization").map_or("", |value| value.to_str().unwrap());
    log.lock().unwrap().push(Received {
        line: format!("{} {}", head.method, head.uri),
        authorization: authorization.to_owned(),
        body: String::from_utf8(body.to_vec()).unwrap(),
    });
    let reply = replies.lock().unwrap().pop_front().unwrap_or(Reply::Close);
    let (status, text, truncated) = match reply {
        Reply::Answer(status, text) => (status, text, false),
        Reply::Truncated => (200, "{\"offset\":".to_owned(), true),
        Reply::Close => return Err(Error::other("closed by the test")),
        Reply::NoAnswer => std::future::pending::<Result<_, Infallible>>().await.map_err(Error::other)?,
    };
    let body = ResponseBody { part: Some(text.into()), truncated };
    Ok(Response::builder().status(status).body(body).unwrap())
}

/// Response body that optionally ends with an error, which closes the connection.
struct ResponseBody {
    part: Option<Bytes>,
    truncated: bool,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match self.part.take() {
            Some(part) => Poll::Ready(Some(Ok(Frame::data(part)))),
            None if self.truncated => Poll::Ready(Some(Err(Error::other("cut by the test")))),
            None => Poll::Ready(None),
        }
    }
}
