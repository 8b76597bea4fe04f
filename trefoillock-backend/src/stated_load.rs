//! The load that a backend server states in a response.

use std::str::FromStr;

use displaydoc::Display;
use trefoillock_policy::WorkPace;

/// The load that a backend server states in a response: `running,waiting,slots` or
/// `running,waiting,slots,pace`, each a decimal number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedLoad {
    /// The calls that run.
    pub running: u32,
    /// The calls that wait within the server.
    pub waiting: u32,
    /// The calls that can run at once.
    pub slots: u32,
    /// How long work currently takes; `None` if the server doesn't state it.
    pub pace: Option<WorkPace>,
}

/// Why a text is not a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StatedLoadError {
    /// it has not three or four numbers
    WrongCount,
    /// one of the numbers is malformed or out of range
    NotANumber,
}

impl std::error::Error for StatedLoadError {}

impl FromStr for StatedLoad {
    type Err = StatedLoadError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split(',').map(|part| part.trim().parse::<u32>());
        let mut next = || {
            parts
                .next()
                .map(|part| part.map_err(|_| Self::Err::NotANumber))
        };
        let load = Self {
            running: next().ok_or(Self::Err::WrongCount)??,
            waiting: next().ok_or(Self::Err::WrongCount)??,
            slots: next().ok_or(Self::Err::WrongCount)??,
            pace: next()
                .transpose()?
                .map(WorkPace::try_from)
                .transpose()
                .map_err(|_| Self::Err::NotANumber)?,
        };
        match next() {
            None => Ok(load),
            Some(_) => Err(Self::Err::WrongCount),
        }
    }
}
