//! The runs of backend servers that have left.

use std::collections::VecDeque;

use crate::{Incarnation, InstanceId, Map, Member, ServerId};

/// The maximum number of backend servers that are remembered.
const MAX_SERVERS: usize = 8_192;

/// One run of a backend server: a restart begins another one.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Run {
    incarnation: Incarnation,
    instance: Option<InstanceId>,
}

impl From<&Member> for Run {
    fn from(member: &Member) -> Self {
        Self {
            incarnation: member.announcement.incarnation,
            instance: member.announcement.instance.clone(),
        }
    }
}

/// Remembers which runs of backend servers were draining, because a run that has begun to drain
/// never accepts new calls again.
///
/// For each backend server only the last such run is kept, so a successor at the same address is
/// not affected. If too many are remembered, the one that was recorded first is forgotten.
#[derive(Debug, Clone, Default)]
pub struct DrainedRuns {
    runs: Map<ServerId, Run>,
    by_age: VecDeque<ServerId>,
}

impl DrainedRuns {
    /// Creates an empty collection.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the run of a member is draining. Returns whether that was not known.
    pub fn insert(&mut self, member: &Member) -> bool {
        if self.contains(member) {
            return false;
        }
        let id = &member.id;
        if self.runs.insert(id.clone(), Run::from(member)).is_none() {
            self.by_age.push_back(id.clone());
        }
        if self.by_age.len() > MAX_SERVERS
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.runs.remove(&oldest);
        }
        true
    }

    /// Whether the run of a member was recorded.
    #[must_use]
    pub fn contains(&self, member: &Member) -> bool {
        self.runs
            .get(&member.id)
            .is_some_and(|run| *run == Run::from(member))
    }
}
