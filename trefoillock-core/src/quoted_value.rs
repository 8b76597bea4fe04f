//! Removal of values from the error messages of serde.

/// Removes the value that an error message of serde quotes, because it may be a secret: `invalid type: string
/// "x", expected a sequence` becomes `expected a sequence`.
///
/// What is expected comes last in the message and is written by the program, so everything before it is
/// dropped. Of other messages only those are kept that name nothing but a field of the program.
#[must_use]
pub fn without_quoted_value(message: &str) -> String {
    let names_field =
        message.starts_with("missing field `") || message.starts_with("duplicate field `");
    match message.rsplit_once(", expected ") {
        Some((_, expected)) => format!("expected {expected}"),
        None if names_field => message.to_owned(),
        None => "malformed".to_owned(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a key in an error message, also if the key imitates the end of the message.
    #[test]
    fn values_are_removed() {
        for (message, expected) in [
            (
                r#"invalid type: string "sk, expected sk", expected a sequence"#,
                "expected a sequence",
            ),
            ("missing field `name`", "missing field `name`"),
            ("sk-1 is not a version", "malformed"),
        ] {
            assert_eq!(without_quoted_value(message), expected);
        }
    }
}
