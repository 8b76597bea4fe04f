//! The exit codes, for scripts.

/// How the client ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command did what it says.
    Success,
    /// The arguments or the input file are malformed.
    Usage,
    /// The control replicas refused the request; nothing changed.
    Refused,
    /// The tables changed since the version that the edit is based on; nothing changed.
    Conflict,
    /// No control replica answered as leader.
    Unreachable,
    /// The move that was watched was taken back.
    TakenBack,
    /// `diff` found differences.
    Different,
}

impl Exit {
    /// The code that the process returns.
    pub(crate) const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Usage => 2,
            Self::Refused => 3,
            Self::Conflict => 4,
            Self::Unreachable => 5,
            Self::TakenBack => 6,
            Self::Different => 7,
        }
    }
}
