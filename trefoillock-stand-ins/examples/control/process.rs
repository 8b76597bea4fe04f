//! The memory and processor time of this process.

use std::{
    fs,
    time::{Duration, Instant},
};

/// The unit of the times in `/proc/self/stat`.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// The size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Measures the elapsed time since its start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stopwatch(Instant);

impl Stopwatch {
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    pub(crate) fn elapsed(self) -> Duration {
        self.0.elapsed()
    }
}

/// The resident memory of this process in bytes, or 0 if it cannot be read.
pub(crate) fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// The user and system time that this process has used, or zero if it cannot be read.
pub(crate) fn processor_time() -> Duration {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = [11, 12].map(|at| fields.get(at).and_then(|ticks| ticks.parse::<u32>().ok()));
    CLOCK_TICK * ticks.into_iter().flatten().sum()
}
