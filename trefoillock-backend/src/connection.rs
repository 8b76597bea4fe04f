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

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    task::JoinHandle,
    time::Instant,
};

use crate::{Body, slots::ConnectionPermit};

/// A connection that carries one call at a time.
///
/// It is reused only after its response is complete. Dropping it closes the connection, so the rest
/// of an abandoned response is never read as the response to another call.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Body>,
    bytes_written: Arc<AtomicU64>,
    task: JoinHandle<()>,
    pub(crate) idle_since: Instant,
    _permit: ConnectionPermit,
}

impl Connection {
    /// Connects to `address`.
    pub(crate) async fn open(address: SocketAddr, permit: ConnectionPermit) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let bytes_written = Arc::new(AtomicU64::new(0));
        let io = TokioIo::new(CountingStream {
            stream,
            bytes_written: bytes_written.clone(),
        });
        let (sender, conn) = http1::handshake(io).await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            let _ = conn.await;
        });
        Ok(Self {
            sender,
            bytes_written,
            task,
            idle_since: Instant::now(),
            _permit: permit,
        })
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
    }
}

/// A TCP stream that counts the bytes written to its socket.
struct CountingStream {
    stream: TcpStream,
    bytes_written: Arc<AtomicU64>,
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
        Pin::new(&mut self.stream).poll_read(cx, buf)
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
