//! Moments on a clock that also counts the time for which the VM is suspended.

use std::{ops::Add, time::Duration};

use rustix::time::{ClockId, clock_gettime};

/// A moment on the clock that has run since the VM was booted.
///
/// Unlike [`std::time::Instant`], it also counts the time for which the VM was suspended, so it is
/// fit for promises to other VMs, such as leases. It is never stepped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Returns the present moment.
    #[must_use]
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        Self(Duration::new(seconds, nanos))
    }

    /// Returns the time since an earlier moment; zero if that is later.
    #[must_use]
    pub const fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time since the VM was booted.
    #[must_use]
    pub const fn since_boot(self) -> Duration {
        self.0
    }

    /// Returns the time since this moment.
    #[must_use]
    pub fn elapsed(self) -> Duration {
        Self::now().saturating_duration_since(self)
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0 + duration)
    }
}
