//! What a destination node reports about a backend server with each response.

use http::{HeaderMap, HeaderValue};
use trefoillock_backend::LocalServer;
use trefoillock_core::{CallRate, headers};
use trefoillock_policy::{LimitHint, LoadHint};

use crate::headers::{LOAD, header_text};

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
    /// commas, and two more if the rate of calls is limited.
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
