//! The catalogue of events in the docs equals the code.

use std::{collections::BTreeSet, fmt::Write as _, fs, path::Path};

use trefoillock_process::Event;

/// The catalogue as the docs must hold it.
fn catalogue() -> String {
    let mut rows = String::from("| number | name | level | meaning |\n|---|---|---|---|\n");
    for event in Event::ALL {
        let (number, word, meaning) = (event.number(), event.word(), event.meaning().trim());
        let level = format!("{:?}", event.level()).to_lowercase();
        let _ = writeln!(rows, "| E{number} | {word} | {level} | {meaning} |");
    }
    rows
}

#[test]
fn numbers_and_words_are_unique_and_rise() {
    let numbers: Vec<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    assert!(
        numbers.windows(2).all(|pair| pair[0] < pair[1]),
        "{numbers:?}"
    );
    let words: BTreeSet<&str> = Event::ALL.iter().map(|event| event.word()).collect();
    assert_eq!(words.len(), Event::ALL.len());
}

#[test]
fn the_docs_hold_the_catalogue() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/EVENTS.md");
    let docs = fs::read_to_string(&path).expect("docs/EVENTS.md");
    assert!(
        docs.contains(&catalogue()),
        "docs/EVENTS.md must hold:\n{}",
        catalogue()
    );
}
