//! Encoding of commands: large documents are compressed, corrupt bytes are refused.

use std::fmt::Write;

use trefoillock_core::{RawTables, Tables, Timestamp};
use trefoillock_store::{Command, ConfigDocument, TablesReplacement, encoding};

const ROUTES: u64 = 300;

/// A name without a repeating pattern, as in generated routes.
fn name(number: u64) -> String {
    format!("r-{:07x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 36)
}

fn document() -> Command {
    let mut routes = String::new();
    for number in 0..ROUTES {
        let name = name(number);
        let comma = if number == 0 { "" } else { "," };
        write!(
            routes,
            r#"{comma}{{"name":"{name}","match":{{"path_prefix":"/{name}/"}},"class":"lookup","pool":"a","timeout_ms":800}}"#
        )
        .expect("writing to a string does not fail");
    }
    let text =
        format!(r#"{{"routes":[{routes}],"pools":[{{"name":"a","service":"s","version":"1"}}]}}"#);
    let raw = RawTables::from_json(&text).expect("well-formed tables");
    Command::Replace(Box::new(TablesReplacement {
        document: ConfigDocument {
            revision: 3,
            base: 2,
            text,
        },
        tables: Tables::try_from(raw).expect("valid tables"),
        at: Timestamp::from_secs(9),
    }))
}

#[test]
fn a_document_with_tables_encodes_to_less_than_a_third_of_its_text() {
    let command = document();
    let Command::Replace(replacement) = &command else {
        unreachable!("created as a replacement");
    };
    let text = replacement.document.text.len();
    let encoded = command.encode().expect("encodable");
    assert!(encoded.len() * 3 < text, "{} of {text}", encoded.len());
    assert_eq!(
        format!("{:?}", Command::decode(&encoded).expect("decodable")),
        format!("{command:?}")
    );
}

#[test]
fn uncompressed_values_of_an_older_log_are_decoded() {
    let plain = rmp_serde::to_vec_named(&vec!["a long value"; 500]).expect("encodable");
    let read: Vec<String> = encoding::decode(&plain).expect("decodable");
    assert_eq!(read.len(), 500);
    let encoded = encoding::encode(&read).expect("encodable");
    assert!(encoded.len() < plain.len() / 10);
}

#[test]
fn corrupt_bytes_are_rejected() {
    let encoded = document().encode().expect("encodable");
    for cut in [0, 1, 2, encoded.len() / 2, encoded.len() - 1] {
        assert!(Command::decode(&encoded[..cut]).is_err(), "cut at {cut}");
    }
    let mut damaged = encoded;
    damaged[1] ^= 0xff;
    assert!(Command::decode(&damaged).is_err());
}
