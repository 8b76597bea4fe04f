//! The exit codes, which scripts rely on.

/// The result of a command, as reported by the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Success,
    /// The arguments or the input file are malformed.
    Usage,
    /// The control replicas refused the request, the move to cancel has ended, or the move to
    /// cancel or watch is unknown; nothing changed.
    Refused,
    /// The tables changed since the version that the edit is based on; nothing changed.
    Conflict,
    /// No control replica answered as leader.
    Unreachable,
    /// A watched move was taken back.
    TakenBack,
    /// `diff` or a dry run found differences, or `explain` found no line that names the request.
    Different,
}

impl Exit {
    /// Returns the exit code of the process.
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
