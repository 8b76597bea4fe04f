//! Malformed tables give all their errors at once, each with its place.

use serde_json::{Value, json};
use trefoillock_core::{RawTables, TableErrors, Tables};

fn valid() -> Value {
    json!({
        "routes": [{
            "name": "positions",
            "match": {"host": "desk.example", "path_prefix": "/positions", "method": "GET"},
            "class": "lookup", "pool": "desk-v1", "timeout_ms": 800,
            "target": {"good_percent": 99.9, "latency_ms": 250}
        }],
        "pools": [{
            "name": "desk-v1", "service": "treaty-desk", "version": "1",
            "policy": {"slots": 9, "connections": 120}
        }]
    })
}

fn read(value: &Value) -> Result<Tables, TableErrors> {
    RawTables::from_value(value).and_then(Tables::try_from)
}

/// The errors of the valid tables with one value replaced, or one row added.
fn errors_with(pointer: &str, value: Value) -> String {
    let mut tables = valid();
    let (parent, field) = pointer.rsplit_once('/').expect("a pointer");
    let place = tables.pointer_mut(parent).expect("a place");
    match field.parse::<usize>() {
        Ok(at) => place.as_array_mut().expect("a list").insert(at, value),
        Err(_) => place[field] = value,
    }
    read(&tables).expect_err("malformed tables").to_string()
}

#[test]
fn valid_tables_round_trip() {
    let tables = read(&valid()).expect("valid tables");
    let written = serde_json::to_value(RawTables::from(&tables)).expect("JSON");
    assert_eq!(read(&written).expect("valid tables"), tables);
}

#[test]
fn malformed_tables_name_place_and_rule() {
    let row = valid()["routes"][0].clone();
    let pool = valid()["pools"][0].clone();
    let mut other = row.clone();
    other["name"] = json!("other");
    let errors = [
        RawTables::from_json("{").expect_err("no JSON").to_string(),
        RawTables::from_json("[]")
            .expect_err("no object")
            .to_string(),
        RawTables::from_json("{}")
            .expect_err("no tables")
            .to_string(),
        errors_with("/extra", json!([])),
        errors_with("/routes/0/unknown", json!(1)),
        errors_with("/routes/0/name", json!("")),
        errors_with("/routes/0/name", json!("a/b")),
        errors_with("/routes/0/class", json!("read")),
        errors_with("/routes/0/pool", json!("nowhere")),
        errors_with("/routes/0/timeout_ms", json!(0)),
        errors_with("/routes/0/timeout_ms", json!(-1)),
        errors_with("/routes/0/move_deadline", json!("tomorrow")),
        errors_with("/routes/0/match/path_prefix", json!("positions")),
        errors_with("/routes/0/match/path_prefix", json!("/a?b")),
        errors_with("/routes/0/match/method", json!("get")),
        errors_with("/routes/0/match/host", json!("a b")),
        errors_with("/routes/0/target/good_percent", json!(100)),
        errors_with("/routes/0/target/latency_ms", json!(900)),
        errors_with("/pools/0/version", json!("")),
        errors_with("/pools/0/policy/slots", json!(0)),
        errors_with("/pools/0/policy/connections", json!(3)),
        errors_with("/pools/0/policy/queue_ms", json!(100_000)),
        errors_with("/routes/1", row),
        errors_with("/routes/1", other),
        errors_with("/pools/1", pool),
    ];
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn all_errors_are_reported_at_once() {
    let mut tables = valid();
    tables["routes"][0]["class"] = json!("read");
    tables["routes"][0]["pool"] = json!("nowhere");
    tables["pools"][0]["policy"]["slots"] = json!(0);
    let errors = read(&tables).expect_err("malformed tables");
    assert_eq!(errors.as_slice().len(), 3, "{errors}");
}
