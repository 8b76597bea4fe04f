//! Events of moves.

use std::collections::BTreeMap;

use trefoillock_core::{Move, MoveId, MoveState};
use trefoillock_process::Event;

use crate::events::EventLog;

/// Writes an event for each change of a move.
#[derive(Debug)]
pub(crate) struct MoveLog {
    events: EventLog,
    held: BTreeMap<MoveId, (u32, MoveState)>,
}

impl MoveLog {
    pub(crate) const fn new(events: EventLog) -> Self {
        Self {
            events,
            held: BTreeMap::new(),
        }
    }

    /// Compares the moves with those seen before and writes what changed.
    pub(crate) fn follow(&mut self, moves: &[Move]) {
        for running in moves {
            let now = (running.step, running.state);
            match self.held.insert(running.id, now) {
                None if running.step == 0 => self.started(running),
                Some(before) if before != now => self.changed(running),
                _ => {}
            }
        }
        self.held
            .retain(|id, _| moves.iter().any(|running| running.id == *id));
    }

    fn started(&self, m: &Move) {
        self.events.write(
            Event::MoveStarted,
            &[
                ("move", &m.id),
                ("route", &m.route),
                ("from", &m.from),
                ("to", &m.to),
                ("deadline", &m.deadline),
            ],
        );
    }

    fn changed(&self, m: &Move) {
        match m.state {
            MoveState::Done => self.events.write(
                Event::MoveDone,
                &[
                    ("move", &m.id),
                    ("route", &m.route),
                    ("evidence", &m.evidence),
                ],
            ),
            MoveState::TakenBack { end } => {
                let reason = format!("{end:?}");
                self.events.write(
                    Event::MoveTakenBack,
                    &[
                        ("move", &m.id),
                        ("route", &m.route),
                        ("reason", &reason),
                        ("evidence", &m.evidence),
                    ],
                );
            }
            MoveState::AtRisk { reason, .. } => {
                let reason = format!("{reason:?}");
                let fields: [(&str, &dyn std::fmt::Display); 3] =
                    [("move", &m.id), ("route", &m.route), ("reason", &reason)];
                self.events.write(Event::MoveAtRisk, &fields);
            }
            MoveState::WaitingForServers
            | MoveState::Canary
            | MoveState::Ramping
            | MoveState::Holding { .. } => self.events.write(
                Event::MoveStepped,
                &[
                    ("move", &m.id),
                    ("step", &m.step),
                    ("state", &m.state),
                    ("share", &m.share),
                    ("evidence", &m.evidence),
                ],
            ),
        }
    }
}
