//! How long work currently takes on the machine of a backend server.

use displaydoc::Display;
use trefoillock_core::data;

/// How long work currently takes on the machine of a backend server, in percent of the usual time:
/// 100 is as usual, 250 is two and a half times as long.
///
/// ```
/// use trefoillock_policy::WorkPace;
///
/// assert_eq!(WorkPace::try_from(250)?.factor(), 2.5);
/// assert!(WorkPace::try_from(0).is_err());
/// # Ok::<(), trefoillock_policy::WorkPaceError>(())
/// ```
#[data(key)]
#[serde(try_from = "u32", into = "u32")]
pub struct WorkPace(u32);

/// Why a number is not a pace of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum WorkPaceError {
    /// it is not between 1 and 10000 percent
    OutOfRange,
}

impl std::error::Error for WorkPaceError {}

impl WorkPace {
    /// Work takes as long as usual.
    pub const USUAL: Self = Self(100);
    /// The slowest pace, at which work takes a hundred times as long as usual.
    pub const MAX: Self = Self(10_000);

    /// The duration of work as a multiple of the usual duration.
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl TryFrom<u32> for WorkPace {
    type Error = WorkPaceError;

    fn try_from(percent: u32) -> Result<Self, Self::Error> {
        if (1..=Self::MAX.0).contains(&percent) {
            Ok(Self(percent))
        } else {
            Err(WorkPaceError::OutOfRange)
        }
    }
}

impl From<WorkPace> for u32 {
    fn from(pace: WorkPace) -> Self {
        pace.0
    }
}
