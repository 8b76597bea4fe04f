//! Readers that stall or go.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    time::{Duration, Instant},
};

use super::{MAX_WAITING, QueuedOutput};

const LIMIT: Duration = Duration::from_secs(10);

/// Keeps what is written, and stalls before each write until it is told to go on.
struct Reader {
    go_on: mpsc::Receiver<()>,
    text: Arc<Mutex<String>>,
}

impl Write for Reader {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // Without a sender the reader is free to read on.
        let _ = self.go_on.recv();
        let text = String::from_utf8_lossy(buf);
        self.text.lock().expect("no panic").push_str(&text);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Gone;

impl Write for Gone {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Err(io::ErrorKind::BrokenPipe.into())
    }
}

fn notice(count: u64) -> String {
    format!("left out {count}")
}

#[test]
fn a_reader_that_stalls_holds_nobody_up_and_hears_how_many_lines_it_missed() {
    let (hold, go_on) = mpsc::channel();
    let text = Arc::new(Mutex::new(String::new()));
    let reader = Reader {
        go_on,
        text: text.clone(),
    };
    let (mut output, flush) = QueuedOutput::start(reader, notice).expect("a thread");
    let lines = MAX_WAITING * 3;
    let start = Instant::now();
    for number in 0..lines {
        // The logger writes a line in parts.
        write!(output, "line ").expect("taken");
        writeln!(output, "{number}").expect("taken");
    }
    assert!(start.elapsed() < LIMIT / 2, "the writer waited");
    drop(hold);
    flush.wait(LIMIT);
    writeln!(output, "last").expect("taken");
    flush.wait(LIMIT);
    let text = text.lock().expect("no panic");
    let numbers = text
        .lines()
        .filter_map(|line| line.strip_prefix("line ")?.parse::<usize>().ok());
    let written = numbers.clone().count();
    assert!(numbers.eq(0..written), "the first lines, in order");
    let missed: usize = text
        .lines()
        .filter_map(|line| line.strip_prefix("left out ")?.parse::<usize>().ok())
        .sum();
    assert!(
        (MAX_WAITING..=MAX_WAITING + 1).contains(&written),
        "{written}"
    );
    assert_eq!(written + missed, lines);
    assert!(text.ends_with("last\n"));
}

#[test]
fn a_reader_that_has_gone_costs_nothing() {
    let (mut output, flush) = QueuedOutput::start(Gone, notice).expect("a thread");
    for number in 0..10 {
        writeln!(output, "line {number}").expect("taken");
    }
    let start = Instant::now();
    flush.wait(LIMIT);
    assert!(start.elapsed() < LIMIT, "the lines still wait");
}
