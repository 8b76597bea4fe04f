//! What a destination node reports about a backend server with each response.

use http::{HeaderMap, HeaderValue};
use trefoillock_backend::LocalServer;
use trefoillock_core::{CallRate, headers};
use trefoillock_policy::{LimitHint, LoadHint, TimeHint};

use crate::headers::{EXPECTED, LOAD, header_text};

/// What a destination node reports about a backend server with each response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerReport {
    /// The load, and the limit on the rate of calls.
    pub load: LoadHint,
    /// Whether the backend server leaves and takes no new calls.
    pub is_leaving: bool,
}

impl From<&LocalServer> for ServerReport {
    fn from(server: &LocalServer) -> Self {
        Self {
            load: server.load_hint(),
            is_leaving: server.is_leaving(),
        }
    }
}

impl ServerReport {
    /// Writes the report to the headers of a response: the load as four numbers separated by
    /// commas, and two more if the rate of calls is limited. The expected time has a header of its
    /// own, which earlier versions ignore.
    pub(crate) fn write(&self, map: &mut HeaderMap) {
        let load = &self.load;
        let mut text = format!(
            "{},{},{},{}",
            load.running, load.queued, load.slots, load.queue_delay_us
        );
        if let Some(limit) = load.limit {
            let (rate, wait_us) = (limit.rate.micros_per_s(), limit.wait_us);
            text = format!("{text},{rate},{wait_us}");
        }
        if let Ok(value) = HeaderValue::from_str(&text) {
            map.insert(LOAD, value);
        }
        if let Some(time) = load.time {
            let text = format!("{},{},{}", time.wait_us, time.service_us, time.usual_us);
            if let Ok(value) = HeaderValue::from_str(&text) {
                map.insert(EXPECTED, value);
            }
        }
        if self.is_leaving {
            map.insert(headers::LEAVING, HeaderValue::from_static("1"));
        }
    }

    /// Reads the report from the headers of a response; `None` if the load is absent or malformed.
    pub(crate) fn read(map: &HeaderMap) -> Option<Self> {
        let mut numbers = header_text(map, LOAD)?.split(',').map(str::parse::<u64>);
        let mut next = || numbers.next()?.ok();
        let mut next_u32 = || next()?.try_into().ok();
        let mut load = LoadHint {
            running: next_u32()?,
            queued: next_u32()?,
            slots: next_u32()?,
            queue_delay_us: next_u32()?,
            limit: None,
            time: read_time(map),
        };
        let limit = next().and_then(|micros| CallRate::try_from(micros).ok());
        if let Some(rate) = limit {
            let wait_us = next()?.try_into().ok()?;
            load.limit = Some(LimitHint { rate, wait_us });
        }
        Some(Self {
            load,
            is_leaving: header_text(map, headers::LEAVING) == Some("1"),
        })
    }
}

/// Reads the expected time of a call; `None` if it is absent or malformed.
fn read_time(map: &HeaderMap) -> Option<TimeHint> {
    let mut numbers = header_text(map, EXPECTED)?
        .split(',')
        .map(str::parse::<u32>);
    let mut next = || numbers.next()?.ok();
    Some(TimeHint {
        wait_us: next()?,
        service_us: next()?,
        usual_us: next()?,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    const LOAD_HINT: LoadHint = LoadHint {
        running: 17,
        queued: 3,
        slots: 18,
        queue_delay_us: 4_000,
        limit: None,
        time: None,
    };
    const TIME: TimeHint = TimeHint {
        wait_us: 12_000,
        service_us: 600_000,
        usual_us: 290_000,
    };

    fn written(load: LoadHint) -> HeaderMap {
        let mut map = HeaderMap::new();
        let is_leaving = false;
        ServerReport { load, is_leaving }.write(&mut map);
        map
    }

    /// Guards against a report whose fields are read in another order than they are written.
    #[test]
    fn a_report_is_read_as_it_was_written() {
        for time in [None, Some(TIME)] {
            let load = LoadHint { time, ..LOAD_HINT };
            let read = ServerReport::read(&written(load)).expect("a report");
            assert_eq!(read.load, load);
        }
    }

    /// Guards against an expected time that nodes of earlier versions take for a limit.
    #[test]
    fn the_load_itself_is_written_as_by_earlier_versions() {
        let load = LoadHint {
            time: Some(TIME),
            ..LOAD_HINT
        };
        assert_eq!(header_text(&written(load), LOAD), Some("17,3,18,4000"));
    }

    /// Guards against a malformed expected time that hides the load.
    #[test]
    fn a_malformed_expected_time_is_ignored() {
        for text in ["", "1", "1,2", "1,2,-3", "x,2,3", "1,2,99999999999"] {
            let mut map = written(LOAD_HINT);
            map.insert(EXPECTED, HeaderValue::from_static(text));
            let read = ServerReport::read(&map).expect("a report");
            assert_eq!(read.load, LOAD_HINT, "{text}");
        }
    }
}
