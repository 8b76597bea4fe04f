//! Rows of the table of workspaces: the keys, the priority and the quota of a group of callers.

use std::{collections::BTreeMap, fmt, sync::Arc};

use displaydoc::Display;
use trefoillock_macros::data;

use crate::{CallRate, WorkspaceName};

/// The longest API key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Why a text is not an API key. The text itself is left out, because it may be a secret.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ApiKeyError {
    /// a key must not be empty
    Empty,
    /// a key has at most 256 bytes
    TooLong,
    /// a key has printable ASCII characters only, without spaces
    Character,
}

impl std::error::Error for ApiKeyError {}

/// A secret by which callers identify their workspace. `Debug` does not show it.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// The key as text. It must not be logged.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl std::borrow::Borrow<str> for ApiKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

impl TryFrom<String> for ApiKey {
    type Error = ApiKeyError;

    fn try_from(text: String) -> Result<Self, ApiKeyError> {
        if text.is_empty() {
            return Err(ApiKeyError::Empty);
        }
        if text.len() > MAX_KEY_BYTES {
            return Err(ApiKeyError::TooLong);
        }
        if !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(ApiKeyError::Character);
        }
        Ok(Self(Arc::from(text)))
    }
}

impl From<ApiKey> for String {
    fn from(key: ApiKey) -> Self {
        key.0.as_ref().to_owned()
    }
}

/// The calls that a workspace may send through all nodes together.
#[data(key)]
pub struct Quota {
    /// The sustained rate.
    pub rate: CallRate,
    /// The number of calls beyond the rate that may be sent at once.
    pub burst: u32,
}

/// A row of the table of workspaces.
#[data]
pub struct Workspace {
    /// The name of the workspace.
    pub name: WorkspaceName,
    /// The keys by which callers identify the workspace; without any, it cannot send calls.
    pub api_keys: Vec<ApiKey>,
    /// The priority of its calls under overload, in place of that of the route; 0 is the highest.
    /// `None` if the priority of the route applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// The quota; `None` if its calls are not limited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
}

/// The table of workspaces by name. While a configuration has one, even an empty one, callers need
/// a key.
pub type Workspaces = BTreeMap<WorkspaceName, Arc<Workspace>>;
