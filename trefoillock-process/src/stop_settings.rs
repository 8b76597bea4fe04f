//! Settings of the graceful stop of a process.

use std::time::Duration;

use trefoillock_core::data;

/// The time limits of the graceful stop.
#[data(key)]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct StopSettings {
    /// The time for which connections are still accepted after the stop began, in milliseconds.
    pub linger_ms: u32,
    /// The time after which calls in flight are aborted, in milliseconds after the stop began;
    /// 0 waits for all of them without a limit.
    pub limit_ms: u32,
}

impl StopSettings {
    /// The time for which connections are still accepted after the stop began.
    #[must_use]
    pub const fn linger(self) -> Duration {
        Duration::from_millis(self.linger_ms as u64)
    }

    /// The time after the stop began at which calls in flight are cut; `None` if there is no limit.
    #[must_use]
    pub fn limit(self) -> Option<Duration> {
        (self.limit_ms > 0)
            .then(|| Duration::from_millis(u64::from(self.limit_ms.max(self.linger_ms))))
    }

    /// The time for which calls in flight may continue after no more connections are accepted;
    /// `None` if there is no limit.
    #[must_use]
    pub fn drain_timeout(self) -> Option<Duration> {
        let remaining = self.limit_ms.saturating_sub(self.linger_ms);
        (self.limit_ms > 0).then(|| Duration::from_millis(u64::from(remaining)))
    }
}
