//! Records the departures of the backend servers beside a node with control, and logs the result.

use std::time::Duration;

use futures::{FutureExt, future::BoxFuture};
use tokio::time::Instant;
use trefoillock_backend::DepartureLog;
use trefoillock_control::DepartureRecorder;
use trefoillock_core::Departure;
use trefoillock_process::Event;

use crate::event_log::EventLog;

/// The longest wait until control has recorded a departure. Backend servers wait a second for the
/// acknowledgement.
const RECORD_TIMEOUT: Duration = Duration::from_millis(850);

/// Records departures with control and writes an event about each.
#[derive(Debug)]
pub(crate) struct LoggedDepartures {
    recorder: DepartureRecorder,
    events: EventLog,
}

impl LoggedDepartures {
    pub(crate) const fn new(recorder: DepartureRecorder, events: EventLog) -> Self {
        Self { recorder, events }
    }
}

impl DepartureLog for LoggedDepartures {
    fn record<'a>(&'a self, departure: &'a Departure) -> BoxFuture<'a, bool> {
        async move {
            let start = Instant::now();
            let result = self.recorder.record(departure, start + RECORD_TIMEOUT);
            let is_recorded = result.await.is_ok();
            let event = if is_recorded {
                Event::DepartureRecorded
            } else {
                Event::DepartureUnrecorded
            };
            let millis = start.elapsed().as_millis();
            let fields: [(&str, &dyn std::fmt::Display); 3] = [
                ("server", &departure.process),
                ("runs", &departure.runs),
                ("millis", &millis),
            ];
            self.events.write(event, &fields);
            is_recorded
        }
        .boxed()
    }
}
