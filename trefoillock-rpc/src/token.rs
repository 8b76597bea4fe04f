//! The shared secret that authenticates calls between processes.

use std::{fmt, sync::Arc};

use subtle::ConstantTimeEq;

/// An optional shared secret, which calls carry as a bearer token.
///
/// It is compared in constant time and never printed.
#[derive(Clone, Default)]
pub struct Token(Option<Arc<str>>);

impl Token {
    /// Creates a token from a secret; surrounding white space is removed.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self(Some(Arc::from(secret.trim())))
    }

    /// Creates the empty token: a client sends none and a server requires none.
    #[must_use]
    pub const fn none() -> Self {
        Self(None)
    }

    /// Whether no secret is set, so calls are not authenticated.
    #[must_use]
    pub const fn is_none(&self) -> bool {
        self.0.is_none()
    }

    /// The value of the `authorization` header of a call; `None` if no secret is set.
    #[must_use]
    pub fn bearer(&self) -> Option<String> {
        self.0.as_ref().map(|secret| format!("Bearer {secret}"))
    }

    /// Whether a call with the given `authorization` header is allowed.
    #[must_use]
    pub fn allows(&self, header: Option<&[u8]>) -> bool {
        match (self.bearer(), header) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(expected), Some(actual)) => expected.as_bytes().ct_eq(actual).into(),
        }
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.is_none() {
            "Token(none)"
        } else {
            "Token(set)"
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn token_is_required_and_never_printed() {
        let token = Token::new("secret\n");
        assert!(token.allows(Some(b"Bearer secret")));
        assert!(!token.allows(Some(b"Bearer other")));
        assert!(!token.allows(None));
        assert!(Token::none().allows(None));
        assert!(!format!("{token:?}").contains("secret"));
    }
}
