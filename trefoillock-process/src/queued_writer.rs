//! A writer that queues log lines for a thread, so that a stalled reader of the log never blocks
//! the process.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

/// The largest number of lines in the queue, about a third of a megabyte.
const QUEUE_CAPACITY: usize = 1_024;
/// The time between two checks of whether all queued lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Accepts log lines without ever waiting for the reader of the log.
///
/// A thread writes the lines. A line that finds the queue full is dropped and counted; the thread
/// writes the number of dropped lines before the next line.
#[derive(Debug)]
pub(crate) struct QueuedWriter {
    tx: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    state: Arc<QueueState>,
}

#[derive(Debug, Default)]
struct QueueState {
    pending: AtomicUsize,
    dropped: AtomicU64,
}

/// Waits until the queued log lines are written.
#[derive(Debug, Clone)]
pub struct LogFlusher(Arc<QueueState>);

impl LogFlusher {
    /// Waits until all queued lines are written, but at most for `limit`.
    pub fn wait(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while self.0.pending.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

impl QueuedWriter {
    /// Starts the thread that writes to `output`; `format_drop_notice` returns the line that
    /// reports a number of dropped lines.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub(crate) fn start(
        output: impl Write + Send + 'static,
        format_drop_notice: impl Fn(u64) -> String + Send + 'static,
    ) -> io::Result<(Self, LogFlusher)> {
        let (tx, rx) = sync_channel(QUEUE_CAPACITY);
        let state = Arc::new(QueueState::default());
        let shared = state.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&rx, output, &format_drop_notice, &shared))?;
        let flusher = LogFlusher(state.clone());
        let writer = Self {
            tx,
            line: Vec::new(),
            state,
        };
        Ok((writer, flusher))
    }

    /// Adds a complete line to the queue, or counts it as dropped if the queue is full.
    fn enqueue(&self, line: Vec<u8>) {
        self.state.pending.fetch_add(1, Ordering::AcqRel);
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = self.tx.try_send(line) {
            self.state.pending.fetch_sub(1, Ordering::AcqRel);
            self.state.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for QueuedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        for part in buf.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(part);
            if part.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                self.enqueue(line);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines until the sender is dropped. Write errors are ignored: if the reader of the
/// log is gone, the lines are lost but the process continues.
fn write_lines(
    rx: &Receiver<Vec<u8>>,
    mut output: impl Write,
    format_drop_notice: &impl Fn(u64) -> String,
    state: &QueueState,
) {
    for line in rx {
        let dropped = state.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(output, "{}", format_drop_notice(dropped));
        }
        let _ = output.write_all(&line).and_then(|()| output.flush());
        state.pending.fetch_sub(1, Ordering::AcqRel);
    }
}

#[cfg(test)]
mod tests;
