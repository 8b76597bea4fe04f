//! What a backend server says about itself in the head of a response.

use displaydoc::Display;
use http::{HeaderMap, HeaderName, HeaderValue};
use trefoillock_core::{CallRate, CallRateError};

use crate::{StatedLoad, StatedLoadError};

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
    /// the value is not a load: {0}
    NotALoad(StatedLoadError),
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
    /// The load of the backend server; `Ok(None)` if it states none.
    pub load: Result<Option<StatedLoad>, InvalidStatement>,
}

impl ServerStatement {
    /// Reads the limit and whether the server leaves from the headers with the given names.
    #[must_use]
    pub fn read(map: &HeaderMap, limit: &HeaderName, leaving: &HeaderName) -> Self {
        Self {
            limit: read_limit(map, limit),
            leaving: read_leaving(map, leaving),
            load: Ok(None),
        }
    }

    /// Reads the load as well, from the header with the given name.
    #[must_use]
    pub fn with_load(mut self, map: &HeaderMap, load: &HeaderName) -> Self {
        self.load = read_load(map, load);
        self
    }
}

/// The text of a header that must not be repeated; `Ok(None)` if it is absent.
fn read_text<'a>(
    map: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, InvalidStatement> {
    let mut values = map.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(InvalidStatement::Repeated);
    }
    let text = value.to_str().map_err(|_| InvalidStatement::NotText)?;
    Ok(Some(text))
}

fn read_limit(map: &HeaderMap, name: &HeaderName) -> Result<Option<CallRate>, InvalidStatement> {
    let rate = read_text(map, name)?.map(str::parse).transpose();
    rate.map_err(InvalidStatement::NotARate)
}

fn read_load(map: &HeaderMap, name: &HeaderName) -> Result<Option<StatedLoad>, InvalidStatement> {
    let load = read_text(map, name)?.map(str::parse).transpose();
    load.map_err(InvalidStatement::NotALoad)
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
