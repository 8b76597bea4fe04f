//! Connections that notice a close by the peer while earlier bytes are unread.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Buf, BytesMut};
use futures::FutureExt;
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf, Ready},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// The largest number of bytes that are read ahead on a connection.
const MAX_AHEAD_BYTES: usize = 16 * 1024;
/// The number of bytes that are read at a time.
const READ_BYTES: usize = 4 * 1024;
/// The pause between two checks for a close while [`MAX_AHEAD_BYTES`] are read ahead. The socket then
/// stays readable, so that its readiness cannot be awaited.
const FULL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A TCP stream that [`poll_departure`](Self::poll_departure) reads ahead of its reader.
///
/// An HTTP/1.1 connection does not read its socket while the next request is buffered, or while the
/// body of the current one is not consumed, and so would not notice that its peer has left.
#[derive(Debug, Clone)]
pub(crate) struct ReadAheadStream(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    stream: TcpStream,
    ahead: BytesMut,
    next_check: Option<Pin<Box<Sleep>>>,
}

impl ReadAheadStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            stream,
            ahead: BytesMut::new(),
            next_check: None,
        })))
    }

    /// Reads ahead, and completes once the peer has closed its side or the connection is broken.
    ///
    /// A peer that closes only its writing side cannot be told from one that has left.
    pub(crate) fn poll_departure(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.lock().poll_departure(cx)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn poll_departure(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.ahead.len() < MAX_AHEAD_BYTES {
            let mut bytes = [0; READ_BYTES];
            let mut buf = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buf) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    self.ahead.extend_from_slice(buf.filled());
                }
                Poll::Ready(Ok(()) | Err(_)) => return Poll::Ready(()),
            }
        }
        loop {
            let ready = self.stream.ready(Interest::READABLE).now_or_never();
            if ready.is_some_and(|ready| ready.map_or(true, Ready::is_read_closed)) {
                return Poll::Ready(());
            }
            let next_check = self
                .next_check
                .get_or_insert_with(|| Box::pin(sleep(FULL_CHECK_INTERVAL)));
            if next_check.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            self.next_check = None;
        }
    }

    /// Moves bytes that were read ahead to `buf`; returns whether there were any.
    fn take_ahead(&mut self, buf: &mut ReadBuf<'_>) -> bool {
        let count = self.ahead.len().min(buf.remaining());
        buf.put_slice(&self.ahead[..count]);
        self.ahead.advance(count);
        if self.ahead.is_empty() {
            // An idle connection keeps no buffer.
            self.ahead = BytesMut::new();
        }
        count > 0
    }
}

impl AsyncRead for ReadAheadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut inner = self.lock();
        if inner.take_ahead(buf) {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut inner.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ReadAheadStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.lock().stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.lock().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.lock().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().stream).poll_shutdown(cx)
    }
}
