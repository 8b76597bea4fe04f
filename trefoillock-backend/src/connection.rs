//! One HTTP/1.1 connection to a backend server.

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

use crate::{Body, slots::OpenConnection};

/// A connection on which no answer is outstanding when it is idle.
///
/// Dropping it closes the connection, so an abandoned answer can never be taken for another
/// one.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Body>,
    written: Arc<AtomicU64>,
    task: JoinHandle<()>,
    pub(crate) idle_since: Instant,
    _open: OpenConnection,
}

impl Connection {
    /// Opens a connection.
    pub(crate) async fn open(address: SocketAddr, open: OpenConnection) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let written = Arc::new(AtomicU64::new(0));
        let io = TokioIo::new(CountedStream {
            stream,
            written: written.clone(),
        });
        let (sender, conn) = http1::handshake(io).await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            let _ = conn.await;
        });
        Ok(Self {
            sender,
            written,
            task,
            idle_since: Instant::now(),
            _open: open,
        })
    }

    /// The number of bytes that were written to the socket.
    pub(crate) fn written(&self) -> u64 {
        self.written.load(Ordering::Acquire)
    }

    /// Closes the connection and returns the number of bytes that were written to it; none are
    /// written afterwards.
    pub(crate) async fn close(mut self) -> u64 {
        self.task.abort();
        let _ = (&mut self.task).await;
        self.written()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A stream that counts the bytes written to the socket.
struct CountedStream {
    stream: TcpStream,
    written: Arc<AtomicU64>,
}

impl CountedStream {
    fn count(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &result {
            self.written.fetch_add(*bytes as u64, Ordering::Release);
        }
        result
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CountedStream {
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
