//! The API key that a caller presents.

#[cfg(test)]
mod tests;

use std::fmt;

use http::{HeaderMap, header};

/// The authentication schemes whose credentials are an API key, in lower case.
const SCHEMES: [&str; 2] = ["bearer", "token"];

/// What the `Authorization` headers of a request present as an API key. `Debug` does not show the
/// key.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum PresentedKey<'a> {
    /// There is no `Authorization` header.
    Missing,
    /// There is more than one header, or it is not `Bearer KEY` or `Token KEY`.
    Malformed,
    /// The text of the key, which no workspace may have.
    Text(&'a str),
}

impl<'a> PresentedKey<'a> {
    /// Reads the key from the headers of a request. The scheme is case-insensitive.
    pub(crate) fn read(map: &'a HeaderMap) -> Self {
        let mut values = map.get_all(header::AUTHORIZATION).iter();
        let Some(value) = values.next() else {
            return Self::Missing;
        };
        if values.next().is_some() {
            return Self::Malformed;
        }
        let credentials = value.to_str().ok().and_then(|text| text.split_once(' '));
        let Some((scheme, key)) = credentials else {
            return Self::Malformed;
        };
        let is_key_scheme = SCHEMES
            .iter()
            .any(|known| scheme.eq_ignore_ascii_case(known));
        let key = key.trim_matches(' ');
        if !is_key_scheme || key.is_empty() || !key.bytes().all(|b| b.is_ascii_graphic()) {
            return Self::Malformed;
        }
        Self::Text(key)
    }

    /// A word for log lines about refused calls. It never contains the key.
    pub(crate) const fn as_word(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Malformed => "malformed",
            Self::Text(_) => "unknown",
        }
    }
}

impl fmt::Debug for PresentedKey<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Missing => "Missing",
            Self::Malformed => "Malformed",
            Self::Text(_) => "Text(..)",
        })
    }
}
