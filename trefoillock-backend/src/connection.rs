//! An HTTP/1.1 connection to a backend server that counts the bytes written to it.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use http::HeaderValue;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    task::JoinHandle,
    time::Instant,
};

use crate::{
    Body,
    bounded_connection::BoundedConnection,
    call_bounds::CallBounds,
    slots::{ConnectionPermit, Slot},
};

/// The largest number of bytes that are buffered of a response.
const READ_BUFFER_BYTES: usize = 128 * 1024;
/// The number of refusals after which a connection is closed, so that it need not remember more.
const MAX_REFUSALS: usize = 64;

/// A connection that carries one call at a time.
///
/// It is reused only after its response is complete. Dropping it closes the connection, so the rest
/// of an abandoned response is never read as the response to another call. It remembers the calls that
/// were refused on it: if such a call is sent again, a copy of its refusal must not be read as a new one.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Body>,
    bytes_written: Arc<AtomicU64>,
    bounds: Arc<CallBounds>,
    task: JoinHandle<()>,
    pub(crate) idle_since: Instant,
    /// The identities under which callers sent the calls that were refused.
    refused: Vec<HeaderValue>,
    _permit: ConnectionPermit,
}

impl Connection {
    /// Connects to `address`.
    pub(crate) async fn open(address: SocketAddr, permit: ConnectionPermit) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let bytes_written = Arc::new(AtomicU64::new(0));
        let bounds = Arc::new(CallBounds::new());
        let io = TokioIo::new(CountingStream {
            stream,
            bytes_written: bytes_written.clone(),
            bounds: bounds.clone(),
        });
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(io);
        let (sender, conn) = handshake.await.map_err(io::Error::other)?;
        let task = tokio::spawn(BoundedConnection::new(conn, bounds.clone()));
        Ok(Self {
            sender,
            bytes_written,
            bounds,
            task,
            idle_since: Instant::now(),
            refused: Vec::new(),
            _permit: permit,
        })
    }

    /// Starts a call. The connection is closed at `end` if the call has not ended by then.
    pub(crate) fn start_call(&self, end: Instant, slot: Slot) {
        self.bounds.start_call(end, slot);
    }

    /// Notes that the head of the response has arrived.
    pub(crate) fn end_head(&self) {
        self.bounds.end_head();
    }

    /// Whether the backend server has sent more bytes than a head may have.
    pub(crate) fn is_head_too_long(&self) -> bool {
        self.bounds.is_head_too_long()
    }

    /// Ends the call and returns its slot, unless the call was broken off.
    pub(crate) fn end_call(&self) -> Option<Slot> {
        self.bounds.end_call()
    }

    /// Records that a call was refused, with the identity under which its caller sent it. Returns
    /// whether the connection may carry other calls.
    pub(crate) fn record_refusal(&mut self, caller_identity: Option<HeaderValue>) -> bool {
        self.refused.extend(caller_identity);
        self.refused.len() < MAX_REFUSALS
    }

    /// Whether a call with this identity was refused on this connection.
    pub(crate) fn has_refused(&self, caller_identity: &HeaderValue) -> bool {
        self.refused.contains(caller_identity)
    }

    /// The number of bytes written to the socket so far.
    pub(crate) fn bytes_written(&self) -> u64 {
        self.bytes_written.load(Ordering::Acquire)
    }

    /// Closes the connection and returns the final number of bytes written to it. The connection
    /// task has ended by then, so no byte is written later.
    pub(crate) async fn close(mut self) -> u64 {
        self.task.abort();
        let _ = (&mut self.task).await;
        self.bytes_written()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
        drop(self.bounds.end_call());
    }
}

/// A TCP stream that counts the bytes written to its socket, and ends a head that is too long.
struct CountingStream {
    stream: TcpStream,
    bytes_written: Arc<AtomicU64>,
    bounds: Arc<CallBounds>,
}

impl CountingStream {
    fn count(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &result {
            self.bytes_written
                .fetch_add(*bytes as u64, Ordering::Release);
        }
        result
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.bounds.is_head_too_long() {
            let error = io::Error::new(io::ErrorKind::InvalidData, "the head is too long");
            return Poll::Ready(Err(error));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.bounds.count_read(buf.filled().len() - before);
        polled
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
