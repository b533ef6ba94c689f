//! Socket shared by a connection's task, which reads and writes, and its user, which checks the socket before reuse.

use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Owner of the socket; used by the connection's task.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: Arc<TcpStream>,
}

/// Reference to the socket that does not keep it open.
#[derive(Debug)]
pub(crate) struct WeakSocket {
    stream: Weak<TcpStream>,
}

impl Socket {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream: Arc::new(stream) }
    }

    pub(crate) fn downgrade(&self) -> WeakSocket {
        WeakSocket { stream: Arc::downgrade(&self.stream) }
    }
}

impl WeakSocket {
    /// Returns whether there is nothing to read: neither an end of stream, which the connection's task may not have
    /// seen yet, nor bytes that belong to no request.
    pub(crate) fn is_reusable(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else { return false };
        let peeked = SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns whether the peer has not closed the connection. There may be bytes to read.
    pub(crate) fn is_open(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else { return false };
        match SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(bytes) => bytes > 0,
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result.map(|_| ())),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(slices) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}

/// Bounds the time until sent bytes arrive or are discarded: a killed process resets its connections, and the kernel
/// closes a connection whose bytes are not acknowledged in time. Otherwise a request could reach its worker after the
/// slot was reclaimed.
pub(crate) fn limit_delivery_time(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(limit))
}
