//! The path at which backend servers answer health checks.

use trefoillock_macros::data;

use crate::PathPrefix;

/// The path at which the backend servers of a pool answer health checks. The rules of
/// [`PathPrefix`] apply.
#[data]
#[derive(PartialOrd, Ord, Hash)]
#[serde(try_from = "String", into = "String")]
pub struct HealthPath(PathPrefix);

impl HealthPath {
    /// The path as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        self.0.as_str()
    }
}

impl TryFrom<String> for HealthPath {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        PathPrefix::try_from(text).map(Self)
    }
}

impl From<HealthPath> for String {
    fn from(path: HealthPath) -> Self {
        path.0.into()
    }
}
