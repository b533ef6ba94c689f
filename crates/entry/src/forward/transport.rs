//! Transport of a connection on the receiver's side. It bounds the memory of messages that are being received.

use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures::{Sink, Stream, stream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_serde::{Deserializer, Framed};
use tarpc::tokio_util::bytes::BytesMut;
use tarpc::tokio_util::codec::{FramedWrite, LengthDelimitedCodec};
use tarpc::{ClientMessage, Response};
use tokio::io::{AsyncReadExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;

/// Size of the read buffer of a connection.
const BUFFER_BYTES: usize = 4 << 10;
/// Time within which the rest of a message must arrive.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

type Requests<R> = Pin<Box<dyn Stream<Item = io::Result<ClientMessage<R>>> + Send>>;
type Answers<R, A> = Framed<Writer, ClientMessage<R>, Response<A>, Bincode<ClientMessage<R>, Response<A>>>;
type Writer = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// Reading side of a connection.
struct Reader {
    stream: BufReader<OwnedReadHalf>,
    stop: watch::Receiver<bool>,
    /// Bytes of messages that all connections may receive at once.
    budget: Arc<Semaphore>,
    /// Maximum size of a message in bytes.
    max_bytes: usize,
    /// Time after which an idle connection is closed.
    idle: Duration,
    /// True once a message was read.
    greeted: bool,
}

/// Requests read from a connection, and answers written to it.
pub(crate) struct Transport<R, A> {
    requests: Requests<R>,
    answers: Pin<Box<Answers<R, A>>>,
}

/// Bounds of a connection.
#[derive(Clone)]
pub(crate) struct Bounds {
    /// True once no more messages are to be read.
    pub(crate) stop: watch::Receiver<bool>,
    /// Bytes of messages that all connections may receive at once.
    pub(crate) budget: Arc<Semaphore>,
    /// Maximum size of a message in bytes.
    pub(crate) max_bytes: usize,
    /// Maximum size of an answer in bytes.
    pub(crate) max_answer_bytes: usize,
    /// Time after which an idle connection is closed.
    pub(crate) idle: Duration,
}

impl<R, A> Transport<R, A>
where
    R: DeserializeOwned + Send + 'static,
    A: Serialize,
{
    /// Uses a connection. It ends when it is idle for too long, or when no more messages are to be read.
    pub(crate) fn new(stream: TcpStream, bounds: Bounds, address: SocketAddr) -> Self {
        let (read, write) = stream.into_split();
        let reader = Reader {
            stream: BufReader::with_capacity(BUFFER_BYTES, read),
            stop: bounds.stop,
            budget: bounds.budget,
            max_bytes: bounds.max_bytes,
            idle: bounds.idle,
            greeted: false,
        };
        let requests = stream::try_unfold(reader, move |mut reader| async move {
            let request = reader.next().await.inspect_err(|error| {
                let invalid = error.kind() == io::ErrorKind::InvalidData;
                let level = if invalid { log::Level::Warn } else { log::Level::Info };
                log::log!(level, address:% = address, error:% = error; "the connection of another instance failed");
            });
            Ok(request?.map(|request| (request, reader)))
        });
        let codec = LengthDelimitedCodec::builder().max_frame_length(bounds.max_answer_bytes).new_codec();
        let answers = Framed::new(FramedWrite::new(write, codec), Bincode::default());
        Self { requests: Box::pin(requests), answers: Box::pin(answers) }
    }
}

impl Reader {
    /// Reads a message. None at the end of the connection. Instances send the first one at once.
    async fn next<R: DeserializeOwned>(&mut self) -> io::Result<Option<ClientMessage<R>>> {
        let idle = if self.greeted { self.idle } else { self.idle.min(MESSAGE_TIMEOUT) };
        let head = tokio::select! {
            _ = self.stop.wait_for(|stop| *stop) => return Ok(None),
            head = timeout(idle, self.stream.read_u32()) => head,
        };
        let bytes = match head {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(error)) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
            Ok(Err(error)) => return Err(error),
            Err(_) => return Ok(None),
        };
        if usize::try_from(bytes).is_ok_and(|bytes| bytes <= self.max_bytes) {
            let message = timeout(MESSAGE_TIMEOUT, self.message(bytes)).await??;
            self.greeted = true;
            Ok(Some(message))
        } else {
            Err(io::Error::new(io::ErrorKind::InvalidData, format!("a message of {bytes} bytes")))
        }
    }

    async fn message<R: DeserializeOwned>(&mut self, bytes: u32) -> io::Result<ClientMessage<R>> {
        let _permit = self.budget.acquire_many(bytes).await.map_err(io::Error::other)?;
        let mut message = BytesMut::with_capacity(bytes as usize);
        let mut rest = (&mut self.stream).take(bytes.into());
        while rest.limit() > 0 {
            if rest.read_buf(&mut message).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let format = pin!(Bincode::<ClientMessage<R>, ()>::default());
        format.deserialize(&message)
    }
}

impl<R, A> Stream for Transport<R, A> {
    type Item = io::Result<ClientMessage<R>>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.requests.as_mut().poll_next(cx)
    }
}

impl<R, A: Serialize> Sink<Response<A>> for Transport<R, A> {
    type Error = io::Error;

    fn poll_ready(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.answers.as_mut().poll_ready(cx)
    }

    fn start_send(mut self: Pin<&mut Self>, answer: Response<A>) -> io::Result<()> {
        self.answers.as_mut().start_send(answer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.answers.as_mut().poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.answers.as_mut().poll_close(cx)
    }
}
