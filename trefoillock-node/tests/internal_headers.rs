//! Guards against callers and backend servers that set headers which only nodes may set.

use http::{HeaderMap, HeaderName, HeaderValue};
use trefoillock_node::strip_internal;

/// Where the names of the headers between nodes are defined.
const DEFINITIONS: [&str; 2] = [
    include_str!("../src/headers.rs"),
    include_str!("../../trefoillock-core/src/outcome.rs"),
];

#[test]
fn every_header_between_nodes_is_removed() {
    let literals = DEFINITIONS.iter().flat_map(|text| text.split('"'));
    let names: Vec<&str> = literals
        .filter(|literal| literal.starts_with("trefoillock-") && !literal.contains(' '))
        .collect();
    assert!(names.len() > 20, "{names:?}");
    for name in names {
        let name: HeaderName = name.parse().expect("a valid name");
        let mut map = HeaderMap::new();
        map.insert(&name, HeaderValue::from_static("1"));
        strip_internal(&mut map);
        assert!(map.is_empty(), "{name} is not removed");
    }
}
