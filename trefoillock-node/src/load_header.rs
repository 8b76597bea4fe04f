//! The load of a backend server in the headers of answers between nodes.

use http::{HeaderMap, HeaderValue};
use trefoillock_policy::LoadHint;

use crate::headers::{LOAD, header_text};

/// Writes the load into the headers of an answer.
pub(crate) fn write_load(map: &mut HeaderMap, hint: &LoadHint) {
    let text = format!(
        "{},{},{},{}",
        hint.running, hint.queued, hint.slots, hint.queue_delay_us
    );
    if let Ok(value) = HeaderValue::from_str(&text) {
        map.insert(LOAD, value);
    }
}

/// Reads the load from the headers of an answer.
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
