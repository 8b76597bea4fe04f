//! Numeric versions and identities, each as a type of its own.

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
            /// Zero, the lowest value.
            pub const ZERO: Self = Self(0);

            /// Creates the value from a number.
            #[must_use]
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// The value as a number.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// The next higher value; the highest value returns itself.
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
    /// created it. It never decreases; zero is the empty configuration before the first edit.
    ConfigVersion
);
number_type!(
    /// A position in the replicated log; the first entry has position one.
    LogIndex
);
number_type!(
    /// A term of the replicated log. A term has at most one leader.
    Term
);
number_type!(
    /// The identity of a control replica. A replica whose disk was replaced needs a new identity.
    ReplicaId
);
number_type!(
    /// Identifies one run of a process. A restart gets a higher incarnation.
    Incarnation
);
number_type!(
    /// The identity of a move or rollout. It increases in the order in which they start.
    MoveId
);

impl From<LogIndex> for ConfigVersion {
    fn from(index: LogIndex) -> Self {
        Self::new(index.get())
    }
}

/// The version of the member list, ordered by term and then by sequence number.
#[data(key)]
#[derive(Default)]
pub struct MembersVersion {
    /// The term of the leader that created the list.
    pub term: Term,
    /// The sequence number of the list within the term.
    pub sequence: u64,
}

impl MembersVersion {
    /// Creates a version from a term and a sequence number within it.
    #[must_use]
    pub const fn new(term: Term, sequence: u64) -> Self {
        Self { term, sequence }
    }
}
