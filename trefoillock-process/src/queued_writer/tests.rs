//! Tests that logging does not block if the reader of the log stalls or is gone.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    time::{Duration, Instant},
};

use super::{QUEUE_CAPACITY, QueuedWriter};

const LIMIT: Duration = Duration::from_secs(10);

/// Keeps the written text. Each write reports that it has begun, and blocks until the sender of
/// `resume` sends or is dropped.
struct StalledOutput {
    begun: mpsc::Sender<()>,
    resume: mpsc::Receiver<()>,
    text: Arc<Mutex<String>>,
}

impl Write for StalledOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.begun.send(());
        // After the sender is dropped, `recv` fails at once and writes no longer block.
        let _ = self.resume.recv();
        let text = String::from_utf8_lossy(buf);
        self.text.lock().expect("no panic").push_str(&text);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Fails every write, as a pipe without a reader does.
struct ClosedOutput;

impl Write for ClosedOutput {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Err(io::ErrorKind::BrokenPipe.into())
    }
}

fn format_drop_notice(count: u64) -> String {
    format!("dropped {count}")
}

#[test]
fn stalled_reader_does_not_block_logging_and_dropped_lines_are_reported() {
    let (begun_sender, begun) = mpsc::channel();
    let (resume_sender, resume) = mpsc::channel();
    let text = Arc::new(Mutex::new(String::new()));
    let stalled_output = StalledOutput {
        begun: begun_sender,
        resume,
        text: text.clone(),
    };
    let (mut writer, flusher) =
        QueuedWriter::start(stalled_output, format_drop_notice).expect("a thread");
    let lines = QUEUE_CAPACITY * 3;
    let start = Instant::now();
    for number in 0..lines {
        // The logger writes a line in several parts.
        write!(writer, "line ").expect("accepted");
        writeln!(writer, "{number}").expect("accepted");
        if number == 0 {
            // The thread holds the first line and waits; it takes no other from the queue.
            begun.recv_timeout(LIMIT).expect("the first write begins");
        }
    }
    assert!(start.elapsed() < LIMIT / 2, "logging was blocked");
    drop(resume_sender);
    flusher.wait(LIMIT);
    writeln!(writer, "last").expect("accepted");
    flusher.wait(LIMIT);
    let text = text.lock().expect("no panic");
    let numbers = text
        .lines()
        .filter_map(|line| line.strip_prefix("line ")?.parse::<usize>().ok());
    let written = numbers.clone().count();
    assert!(numbers.eq(0..written), "the first lines, in order");
    let dropped: usize = text
        .lines()
        .filter_map(|line| line.strip_prefix("dropped ")?.parse::<usize>().ok())
        .sum();
    assert_eq!(written, QUEUE_CAPACITY + 1);
    assert_eq!(written + dropped, lines);
    assert!(text.ends_with("last\n"));
}

#[test]
fn closed_output_does_not_block_logging() {
    let (mut writer, flusher) =
        QueuedWriter::start(ClosedOutput, format_drop_notice).expect("a thread");
    for number in 0..10 {
        writeln!(writer, "line {number}").expect("accepted");
    }
    let start = Instant::now();
    flusher.wait(LIMIT);
    assert!(start.elapsed() < LIMIT, "lines are still queued");
}
