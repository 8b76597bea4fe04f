//! Logs what happens to the connection of a node to its parent in the distribution tree.

use std::fmt::Display;

use trefoillock_control::{ParentAddress, ParentEvent};
use trefoillock_process::Event;

use crate::event_log::EventLog;

/// Writes one event of the connection to the parent.
pub(crate) fn write_parent_event(log: EventLog, event: &ParentEvent) {
    match event {
        ParentEvent::Attached { parent, unattached } => {
            let millis = unattached.as_millis();
            let fields = [("unattached-millis", &millis as &dyn Display)];
            write(log, Event::ParentAttached, *parent, &fields);
        }
        ParentEvent::Lost {
            parent,
            reason,
            unconfirmed,
        } => {
            let millis = unconfirmed.as_millis();
            let fields = [
                ("reason", reason as &dyn Display),
                ("unconfirmed-millis", &millis),
            ];
            write(log, Event::ParentLost, *parent, &fields);
        }
        ParentEvent::AttemptFailed { parent, reason } => {
            let fields = [("reason", reason as &dyn Display)];
            write(log, Event::AttachFailed, *parent, &fields);
        }
    }
}

fn write(
    log: EventLog,
    event: Event,
    parent: ParentAddress,
    details: &[(&'static str, &dyn Display)],
) {
    let kind = if parent.is_relay() {
        "relay"
    } else {
        "control"
    };
    let mut fields: Vec<(&str, &dyn Display)> = vec![("parent", &parent.address), ("kind", &kind)];
    fields.extend_from_slice(details);
    log.write(event, &fields);
}
