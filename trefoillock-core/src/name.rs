//! Validated names, each kind as a type of its own, stored as shared immutable strings.

use std::{borrow::Borrow, fmt, sync::Arc};

use displaydoc::Display;

/// The longest name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum NameError {
    /// a name must not be empty
    Empty,
    /// a name has at most 64 bytes, this one has {0}
    TooLong(usize),
    /// the character {0:?} is not allowed in a name
    Character(char),
}

impl std::error::Error for NameError {}

/// Checks that a name consists of 1 to 64 ASCII letters, digits, `.`, `_` and `-`.
fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    match text.chars().find(|c| !allowed(*c)) {
        Some(c) => Err(NameError::Character(c)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::try_from(text.as_str())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }
    };
}

name_type!(
    /// The name of a row of the table of routes.
    RouteName
);
name_type!(
    /// The name of a row of the table of pools.
    PoolName
);
name_type!(
    /// The name of a service. Several versions of it can run at once.
    ServiceName
);
name_type!(
    /// The version of a service that a backend server runs.
    VersionLabel
);
name_type!(
    /// The identity of a node, unique in the system and kept across restarts.
    NodeId
);
name_type!(
    /// The name of a data centre.
    DataCentre
);
name_type!(
    /// The name of a workspace, the unit of callers that share keys and a quota.
    WorkspaceName
);
name_type!(
    /// The name of a region, a group of data centres.
    Region
);
name_type!(
    /// The identity that the process of a backend server chooses for itself when it starts.
    InstanceId
);
name_type!(
    /// The identity of an edit, chosen by the operator's client. A retry carries the same one.
    EditId
);
name_type!(
    /// A host name that a route matches.
    HostName
);

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn invalid_names_are_rejected() {
        assert_eq!(RouteName::try_from(""), Err(NameError::Empty));
        assert_eq!(RouteName::try_from("a b"), Err(NameError::Character(' ')));
        let long = "x".repeat(65);
        assert_eq!(RouteName::try_from(long), Err(NameError::TooLong(65)));
    }
}
