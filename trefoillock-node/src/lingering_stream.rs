//! Connections that are closed without losing the last bytes sent to the peer.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

use crate::read_ahead::ReadAheadStream;

/// The longest time to wait after a shutdown until the peer closes its side.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The size of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 4 * 1024;

/// What a connection has received, and whether it is sending.
#[derive(Debug, Default)]
pub(crate) struct StreamActivity {
    is_sending: AtomicBool,
    bytes_read: AtomicU64,
}

impl StreamActivity {
    /// Whether bytes wait to be sent, or the stream waits for the peer after a shutdown.
    pub(crate) fn is_sending(&self) -> bool {
        self.is_sending.load(Ordering::Acquire)
    }

    /// The number of bytes that have been read.
    pub(crate) fn bytes_read(&self) -> u64 {
        self.bytes_read.load(Ordering::Acquire)
    }
}

/// A TCP stream that, after a shutdown, reads and discards what still arrives until the peer closes
/// its side.
///
/// Closing a socket with unread bytes resets the connection, and the peer then loses what it has
/// not read yet, such as the end of a response.
pub(crate) struct LingeringStream {
    stream: ReadAheadStream,
    linger: Option<Pin<Box<Sleep>>>,
    activity: Arc<StreamActivity>,
}

impl LingeringStream {
    /// Wraps a stream, and records what it does in `activity`.
    pub(crate) const fn new(stream: ReadAheadStream, activity: Arc<StreamActivity>) -> Self {
        Self {
            stream,
            linger: None,
            activity,
        }
    }

    fn record_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let is_sending = &self.activity.is_sending;
        is_sending.store(written.is_pending(), Ordering::Release);
        written
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
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len().saturating_sub(before);
        let bytes_read = &self.activity.bytes_read;
        bytes_read.fetch_add(read as u64, Ordering::AcqRel);
        polled
    }
}

impl AsyncWrite for LingeringStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.activity.is_sending.store(true, Ordering::Release);
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
