//! Encodes the load of a backend server in a header of responses between nodes.

use http::{HeaderMap, HeaderValue};
use trefoillock_policy::LoadHint;

use crate::headers::{LOAD, header_text};

/// Adds the load to the headers of a response, as four numbers separated by commas.
pub(crate) fn write_load(map: &mut HeaderMap, hint: &LoadHint) {
    let text = format!(
        "{},{},{},{}",
        hint.running, hint.queued, hint.slots, hint.queue_delay_us
    );
    if let Ok(value) = HeaderValue::from_str(&text) {
        map.insert(LOAD, value);
    }
}

/// Reads the load from the headers of a response; `None` if it is absent or malformed.
pub(crate) fn read_load(map: &HeaderMap) -> Option<LoadHint> {
    let mut numbers = header_text(map, LOAD)?.split(',').map(str::parse::<u32>);
    let mut next = || numbers.next()?.ok();
    Some(LoadHint {
        running: next()?,
        queued: next()?,
        slots: next()?,
        queue_delay_us: next()?,
    })
}
