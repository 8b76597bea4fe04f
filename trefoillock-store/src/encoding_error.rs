//! Error of encoding and decoding stored values.

use displaydoc::Display;

/// the value cannot be encoded or decoded: {0}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct EncodingError(String);

impl EncodingError {
    pub(crate) fn new(cause: impl std::error::Error) -> Self {
        Self(cause.to_string())
    }
}

impl std::error::Error for EncodingError {}
