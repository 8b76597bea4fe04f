//! Each malformed settings file gives one clear error.

use std::path::Path;

use serde_json::{Value, json};
use trefoillock_process::Settings;

fn valid() -> Value {
    json!({
        "name": "wa-west-a-1",
        "data_centre": "wa-west-a",
        "region": "wa-west",
        "admin": "127.0.0.1:9001",
        "node": {
            "callers": "127.0.0.1:9002", "peers": "127.0.0.1:9003", "mesh": "127.0.0.1:9004",
            "backend": "127.0.0.1:9005", "control": ["127.0.0.1:9006"]
        },
        "control": {
            "id": 1, "mesh": "127.0.0.1:9006", "operators": "127.0.0.1:9007",
            "data_folder": "data", "replicas": [{"id": 1, "address": "127.0.0.1:9006"}]
        }
    })
}

/// The error of the valid settings with one value replaced.
fn error_with(pointer: &str, value: Value) -> String {
    let mut settings = valid();
    let (parent, field) = pointer.rsplit_once('/').expect("a pointer");
    settings.pointer_mut(parent).expect("a place")[field] = value;
    error_of(&settings.to_string())
}

fn error_of(text: &str) -> String {
    let error = Settings::parse(Path::new("node.json"), text).expect_err("malformed settings");
    error.to_string()
}

#[test]
fn valid_settings_are_taken() {
    let settings = Settings::parse(Path::new("/etc/t/node.json"), &valid().to_string())
        .expect("valid settings");
    let control = settings.control.expect("the role control");
    assert_eq!(control.data_folder, Path::new("/etc/t/data"));
}

#[test]
fn malformed_settings_name_file_place_and_rule() {
    let both_roles_missing = json!({
        "name": "a", "data_centre": "b", "region": "c", "admin": "127.0.0.1:1"
    });
    let errors = [
        error_of("{"),
        error_of("[]"),
        error_of("{} trailing"),
        error_of(&both_roles_missing.to_string()),
        error_with("/unknown", json!(1)),
        error_with("/node/unknown", json!(1)),
        error_with("/name", json!("")),
        error_with("/name", json!("two words")),
        error_with("/region", json!("x".repeat(65))),
        error_with("/admin", json!("localhost:80")),
        error_with("/admin", json!("127.0.0.1:0")),
        error_with("/admin", json!("10.0.0.1:80")),
        error_with("/admin", json!(7)),
        error_with("/admin", json!("127.0.0.1:9002")),
        error_with("/log", json!({"level": "loud"})),
        error_with("/log", json!({"format": "xml"})),
        error_with("/node/backend", json!("0.0.0.0:9005")),
        error_with("/node/control", json!([])),
        error_with("/node/control", json!(["nowhere"])),
        error_with("/control/id", json!(0)),
        error_with("/control/id", json!("one")),
        error_with("/control/replicas", json!([])),
        error_with(
            "/control/replicas",
            json!([{"id": 1, "address": "127.0.0.1:1"}]),
        ),
        error_with(
            "/control/replicas",
            json!([{"id": 2, "address": "127.0.0.1:1"}, {"id": 2, "address": "127.0.0.1:2"}]),
        ),
        error_with(
            "/control/replicas",
            json!([{"id": 2, "address": "127.0.0.1:1"}, {"id": 3, "address": "127.0.0.1:1"}]),
        ),
        error_with("/token_file", json!("/nonexistent/token")),
    ];
    insta::assert_snapshot!(errors.join("\n"));
}
