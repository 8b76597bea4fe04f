//! The secret that calls between our processes carry.

use std::{fmt, sync::Arc};

use subtle::ConstantTimeEq;

/// A shared secret. It is compared in constant time and never printed.
#[derive(Clone, Default)]
pub struct Token(Option<Arc<str>>);

impl Token {
    /// Creates a token from the secret's text; surrounding white space is dropped.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self(Some(Arc::from(secret.trim())))
    }

    /// No token: calls carry none and none is asked for.
    #[must_use]
    pub const fn none() -> Self {
        Self(None)
    }

    /// Whether no token is asked for.
    #[must_use]
    pub const fn is_none(&self) -> bool {
        self.0.is_none()
    }

    /// The text that a call carries in its `authorization` header, if a token is set.
    #[must_use]
    pub fn bearer(&self) -> Option<String> {
        self.0.as_ref().map(|secret| format!("Bearer {secret}"))
    }

    /// Whether a call with this `authorization` header is allowed.
    #[must_use]
    pub fn allows(&self, header: Option<&[u8]>) -> bool {
        match (self.bearer(), header) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(wanted), Some(given)) => wanted.as_bytes().ct_eq(given).into(),
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
    fn token_is_asked_for_and_never_printed() {
        let token = Token::new("secret\n");
        assert!(token.allows(Some(b"Bearer secret")));
        assert!(!token.allows(Some(b"Bearer other")));
        assert!(!token.allows(None));
        assert!(Token::none().allows(None));
        assert!(!format!("{token:?}").contains("secret"));
    }
}
