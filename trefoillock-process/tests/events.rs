//! The list of events in `docs/EVENTS.md` matches the code.

use std::{collections::BTreeSet, fmt::Write as _, fs, path::Path};

use trefoillock_process::Event;

/// The table of events that `docs/EVENTS.md` must contain.
fn expected_table() -> String {
    let mut rows = String::from("| number | name | level | meaning |\n|---|---|---|---|\n");
    for event in Event::ALL {
        let (number, name, meaning) = (event.number(), event.name(), event.meaning().trim());
        let level = format!("{:?}", event.level()).to_lowercase();
        let _ = writeln!(rows, "| E{number} | {name} | {level} | {meaning} |");
    }
    rows
}

#[test]
fn numbers_increase_and_names_are_unique() {
    let numbers: Vec<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    assert!(
        numbers.windows(2).all(|pair| pair[0] < pair[1]),
        "{numbers:?}"
    );
    let names: BTreeSet<&str> = Event::ALL.iter().map(|event| event.name()).collect();
    assert_eq!(names.len(), Event::ALL.len());
}

#[test]
fn docs_contain_all_events() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/EVENTS.md");
    let docs = fs::read_to_string(&path).expect("docs/EVENTS.md");
    assert!(
        docs.contains(&expected_table()),
        "docs/EVENTS.md must contain:\n{}",
        expected_table()
    );
}
