//! Malformed tables yield the errors of all rows at once, each with its place.

use serde_json::{Value, json};
use trefoillock_core::{RawTables, TableErrors, Tables};

fn valid_tables() -> Value {
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

fn parse_tables(value: &Value) -> Result<Tables, TableErrors> {
    RawTables::from_value(value).and_then(Tables::try_from)
}

/// Replaces one value of the valid tables, or adds one row, and returns the errors.
fn errors_after_change(pointer: &str, value: Value) -> String {
    let mut tables = valid_tables();
    let (parent_pointer, field) = pointer.rsplit_once('/').expect("a pointer");
    let parent = tables.pointer_mut(parent_pointer).expect("a parent");
    match field.parse::<usize>() {
        Ok(index) => parent.as_array_mut().expect("a list").insert(index, value),
        Err(_) => parent[field] = value,
    }
    parse_tables(&tables)
        .expect_err("malformed tables")
        .to_string()
}

#[test]
fn valid_tables_round_trip() {
    let tables = parse_tables(&valid_tables()).expect("valid tables");
    let written = serde_json::to_value(RawTables::from(&tables)).expect("JSON");
    assert_eq!(parse_tables(&written).expect("valid tables"), tables);
}

#[test]
fn malformed_tables_name_place_and_rule() {
    let row = valid_tables()["routes"][0].clone();
    let pool = valid_tables()["pools"][0].clone();
    let mut same_match = row.clone();
    same_match["name"] = json!("other");
    let errors = [
        RawTables::from_json("{").expect_err("no JSON").to_string(),
        RawTables::from_json("[]")
            .expect_err("no object")
            .to_string(),
        RawTables::from_json("{}")
            .expect_err("no tables")
            .to_string(),
        errors_after_change("/extra", json!([])),
        errors_after_change("/routes/0/unknown", json!(1)),
        errors_after_change("/routes/0/name", json!("")),
        errors_after_change("/routes/0/name", json!("a/b")),
        errors_after_change("/routes/0/class", json!("read")),
        errors_after_change("/routes/0/pool", json!("nowhere")),
        errors_after_change("/routes/0/timeout_ms", json!(0)),
        errors_after_change("/routes/0/timeout_ms", json!(-1)),
        errors_after_change("/routes/0/move_deadline", json!("tomorrow")),
        errors_after_change("/routes/0/match/path_prefix", json!("positions")),
        errors_after_change("/routes/0/match/path_prefix", json!("/a?b")),
        errors_after_change("/routes/0/match/method", json!("get")),
        errors_after_change("/routes/0/match/host", json!("a b")),
        errors_after_change("/routes/0/target/good_percent", json!(100)),
        errors_after_change("/routes/0/target/latency_ms", json!(900)),
        errors_after_change("/pools/0/version", json!("")),
        errors_after_change("/pools/0/policy/slots", json!(0)),
        errors_after_change("/pools/0/policy/connections", json!(3)),
        errors_after_change("/pools/0/policy/queue_ms", json!(100_000)),
        errors_after_change("/routes/1", row),
        errors_after_change("/routes/1", same_match),
        errors_after_change("/pools/1", pool),
    ];
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn all_errors_are_reported_at_once() {
    let mut tables = valid_tables();
    tables["routes"][0]["class"] = json!("read");
    tables["routes"][0]["pool"] = json!("nowhere");
    tables["pools"][0]["policy"]["slots"] = json!(0);
    let errors = parse_tables(&tables).expect_err("malformed tables");
    assert_eq!(errors.as_slice().len(), 3, "{errors}");
}
