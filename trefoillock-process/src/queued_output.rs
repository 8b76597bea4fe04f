//! The way of log lines to a reader that may stall.

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

/// The number of lines that wait for the reader, about a third of a megabyte.
const MAX_WAITING: usize = 1_024;
/// The time between two looks at the lines that wait.
const FLUSH_INTERVAL: Duration = Duration::from_millis(5);

/// Takes log lines without ever waiting for their reader.
///
/// A thread writes them. Lines that find the queue full are left out and counted; the thread
/// writes how many there were once there is room again.
#[derive(Debug)]
pub(crate) struct QueuedOutput {
    tx: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    waiting: AtomicUsize,
    left_out: AtomicU64,
}

/// Waits for the lines that were taken.
#[derive(Debug, Clone)]
pub struct LogFlush(Arc<State>);

impl LogFlush {
    /// Waits until all lines are written, or until a time has passed.
    pub fn wait(&self, limit: Duration) {
        let end = Instant::now() + limit;
        while self.0.waiting.load(Ordering::Acquire) > 0 && Instant::now() < end {
            thread::sleep(FLUSH_INTERVAL);
        }
    }
}

impl QueuedOutput {
    /// Starts the thread that writes to `output`; `notice` words a line about left out ones.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub(crate) fn start(
        output: impl Write + Send + 'static,
        notice: impl Fn(u64) -> String + Send + 'static,
    ) -> io::Result<(Self, LogFlush)> {
        let (tx, rx) = sync_channel(MAX_WAITING);
        let state = Arc::new(State::default());
        let shared = state.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&rx, output, &notice, &shared))?;
        let flush = LogFlush(state.clone());
        let queued = Self {
            tx,
            line: Vec::new(),
            state,
        };
        Ok((queued, flush))
    }

    fn send(&self, line: Vec<u8>) {
        self.state.waiting.fetch_add(1, Ordering::AcqRel);
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = self.tx.try_send(line) {
            self.state.waiting.fetch_sub(1, Ordering::AcqRel);
            self.state.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for QueuedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        for part in buf.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(part);
            if part.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                self.send(line);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until nobody sends any more. A reader that has gone costs only its lines.
fn write_lines(
    rx: &Receiver<Vec<u8>>,
    mut output: impl Write,
    notice: &impl Fn(u64) -> String,
    state: &State,
) {
    for line in rx {
        let left_out = state.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            let _ = writeln!(output, "{}", notice(left_out));
        }
        let _ = output.write_all(&line).and_then(|()| output.flush());
        state.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}

#[cfg(test)]
mod tests;
