//! Numbers that order configurations, terms, replicas, members and moves.

use std::fmt;

use trefoillock_macros::data;

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[data(key)]
        #[derive(Default)]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// The number zero, which comes before all others.
            pub const ZERO: Self = Self(0);

            /// Creates the value from its number.
            #[must_use]
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// The number.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// The value that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number_type!(
    /// The version of a configuration: the position in the replicated log of the entry that
    /// made it. It only rises; zero is the empty configuration before the first edit.
    ConfigVersion
);
number_type!(
    /// A position in the replicated log; the first entry has position one.
    LogIndex
);
number_type!(
    /// A term of the replicated log, with at most one leader.
    Term
);
number_type!(
    /// The identity of a control replica; a replaced disk needs a new one.
    ReplicaId
);
number_type!(
    /// One run of a process. A restart takes a higher one.
    Incarnation
);
number_type!(
    /// The identity of a move; it rises in the order in which moves start.
    MoveId
);

impl From<LogIndex> for ConfigVersion {
    fn from(index: LogIndex) -> Self {
        Self::new(index.get())
    }
}

/// The version of the list of members: ordered by the leader's term, then by its sequence.
#[data(key)]
#[derive(Default)]
pub struct MembersVersion {
    /// The term of the leader that made the list.
    pub term: Term,
    /// The number of the list within the term.
    pub sequence: u64,
}

impl MembersVersion {
    /// Creates a version from a term and a number within it.
    #[must_use]
    pub const fn new(term: Term, sequence: u64) -> Self {
        Self { term, sequence }
    }
}
