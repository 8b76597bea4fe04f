//! What this process has used.

use std::{
    fs,
    time::{Duration, Instant},
};

/// The unit of the times in `/proc/self/stat`.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// The size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Measures the time since it was started.
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

/// The memory that this process holds, in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// The processor time that this process has used.
pub(crate) fn processor_time() -> Duration {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = [11, 12].map(|at| fields.get(at).and_then(|ticks| ticks.parse::<u32>().ok()));
    CLOCK_TICK * ticks.into_iter().flatten().sum()
}
