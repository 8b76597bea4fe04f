//! The runs of backend servers that have left.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{DepartedRuns, Departure, Map, Member, NodeId, ServerProcess};

/// The maximum number of departures that are remembered.
const MAX_DEPARTURES: usize = 8_192;

/// Remembers which runs of backend servers were draining, because a run that has begun to drain
/// never accepts new calls again.
///
/// A successor at the same address or under the same identity is not affected. If too many
/// departures are remembered, the one that was recorded first is forgotten.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "Vec<(NodeId, Departure)>", into = "Vec<(NodeId, Departure)>")]
pub struct DrainedRuns {
    runs: Map<(NodeId, ServerProcess), Vec<DepartedRuns>>,
    by_age: VecDeque<(NodeId, Departure)>,
}

impl DrainedRuns {
    /// Creates an empty collection.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the run of a member is draining. Returns whether that was not known.
    pub fn insert(&mut self, member: &Member) -> bool {
        !self.contains(member)
            && self.record(&member.id.node, &Departure::from(&member.announcement))
    }

    /// Records the departure of a backend server beside a node. Returns whether it was not known.
    pub fn record(&mut self, node: &NodeId, departure: &Departure) -> bool {
        let key = (node.clone(), departure.process.clone());
        let runs = self.runs.entry(key).or_default();
        if runs.contains(&departure.runs) {
            return false;
        }
        runs.push(departure.runs);
        self.by_age.push_back((node.clone(), departure.clone()));
        if self.by_age.len() > MAX_DEPARTURES {
            self.forget_oldest();
        }
        true
    }

    /// Whether the run of a member was recorded.
    #[must_use]
    pub fn contains(&self, member: &Member) -> bool {
        if self.runs.is_empty() {
            return false;
        }
        let process = ServerProcess::from(&member.announcement);
        let runs = self.runs.get(&(member.id.node.clone(), process));
        let incarnation = member.announcement.incarnation;
        runs.is_some_and(|runs| runs.iter().any(|runs| runs.contains(incarnation)))
    }

    fn forget_oldest(&mut self) {
        let Some((node, Departure { process, runs })) = self.by_age.pop_front() else {
            return;
        };
        let key = (node, process);
        if let Some(known) = self.runs.get_mut(&key) {
            known.retain(|known| *known != runs);
            if known.is_empty() {
                self.runs.remove(&key);
            }
        }
    }
}

impl From<Vec<(NodeId, Departure)>> for DrainedRuns {
    fn from(departures: Vec<(NodeId, Departure)>) -> Self {
        let mut drained = Self::new();
        for (node, departure) in departures {
            drained.record(&node, &departure);
        }
        drained
    }
}

impl From<DrainedRuns> for Vec<(NodeId, Departure)> {
    fn from(drained: DrainedRuns) -> Self {
        drained.by_age.into()
    }
}
