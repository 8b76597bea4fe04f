//! Connections that are closed without losing the last bytes sent to the peer.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// The longest time to wait after a shutdown until the peer closes its side.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The size of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 4 * 1024;

/// A TCP stream that, after a shutdown, reads and discards what still arrives until the peer closes
/// its side.
///
/// Closing a socket with unread bytes resets the connection, and the peer then loses what it has
/// not read yet, such as the end of a response.
pub(crate) struct LingeringStream {
    stream: TcpStream,
    linger: Option<Pin<Box<Sleep>>>,
}

impl LingeringStream {
    pub(crate) const fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            linger: None,
        }
    }

    /// Reads and discards bytes until the peer closes its side.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let mut bytes = [0; DISCARD_BUFFER_BYTES];
            let mut buf = ReadBuf::new(&mut bytes);
            match ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf)) {
                Ok(()) if !buf.filled().is_empty() => {}
                // The end of the stream, or a connection that is already broken.
                Ok(()) | Err(_) => return Poll::Ready(()),
            }
        }
    }
}

impl AsyncRead for LingeringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for LingeringStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        let linger = self
            .linger
            .get_or_insert_with(|| Box::pin(sleep(LINGER_TIMEOUT)));
        if linger.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        self.poll_discard(cx).map(Ok)
    }
}
