//! What a backend server says about itself in the head of a response.

use displaydoc::Display;
use http::{HeaderMap, HeaderName, HeaderValue};
use trefoillock_core::{CallRate, CallRateError};

/// Why a header in which a backend server states something is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum InvalidStatement {
    /// the header occurs more than once
    Repeated,
    /// the value is not text
    NotText,
    /// the value is not a rate: {0}
    NotARate(CallRateError),
    /// the value is not `1`
    NotOne,
}

impl std::error::Error for InvalidStatement {}

/// What a backend server says about itself in the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerStatement {
    /// The rate of calls that the backend server takes from all nodes together; `Ok(None)` if it
    /// states none.
    pub limit: Result<Option<CallRate>, InvalidStatement>,
    /// Whether the backend server leaves.
    pub leaving: Result<bool, InvalidStatement>,
}

impl ServerStatement {
    /// Reads the statement from the headers with the given names.
    #[must_use]
    pub fn read(map: &HeaderMap, limit: &HeaderName, leaving: &HeaderName) -> Self {
        Self {
            limit: read_limit(map, limit),
            leaving: read_leaving(map, leaving),
        }
    }
}

fn read_limit(map: &HeaderMap, name: &HeaderName) -> Result<Option<CallRate>, InvalidStatement> {
    let mut values = map.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(InvalidStatement::Repeated);
    }
    let text = value.to_str().map_err(|_| InvalidStatement::NotText)?;
    let rate = text.parse().map_err(InvalidStatement::NotARate)?;
    Ok(Some(rate))
}

/// A server that says twice that it leaves still says so.
fn read_leaving(map: &HeaderMap, name: &HeaderName) -> Result<bool, InvalidStatement> {
    let values: Vec<&HeaderValue> = map.get_all(name).iter().collect();
    if values.iter().all(|value| value.as_bytes() == b"1") {
        Ok(!values.is_empty())
    } else {
        Err(InvalidStatement::NotOne)
    }
}
