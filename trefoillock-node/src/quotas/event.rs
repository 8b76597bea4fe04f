//! What happens to quotas, for the log.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use trefoillock_core::{Timestamp, WorkspaceName};
use trefoillock_policy::QuotaRefusal;

/// The shortest time between two events about the same workspace, and between two events about
/// unreachable guards.
const EVENT_INTERVAL: Duration = Duration::from_secs(10);
/// The largest number of workspaces whose refusals are counted at a time.
const MAX_WORKSPACES: usize = 100;

/// Something that happened to the quotas at this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuotaEvent {
    /// Calls of a workspace were refused because its quota is used up.
    Exceeded {
        /// The workspace.
        workspace: WorkspaceName,
        /// The number of calls refused since the last event about the workspace.
        refused: u64,
    },
    /// Calls were refused because no guard of a quota could be reached.
    Unavailable {
        /// The workspace of the last such call.
        workspace: WorkspaceName,
        /// The number of such calls of all workspaces since the last event.
        refused: u64,
    },
    /// This node began to keep parts of quotas with a lease of a live leader.
    GuardStarted {
        /// The number of workspaces whose quotas it keeps a part of.
        workspaces: usize,
    },
    /// This node stopped to grant tokens because no live leader has confirmed its configuration.
    GuardStopped {
        /// The number of workspaces whose quotas it keeps a part of.
        workspaces: usize,
    },
}

/// Counts what happens until it is logged.
#[derive(Debug, Default)]
pub(super) struct QuotaEvents(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    exceeded: BTreeMap<WorkspaceName, Refusals>,
    unavailable: Option<(WorkspaceName, Refusals)>,
    is_granting: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Refusals {
    count: u64,
    /// When the last event was written.
    written: Option<Timestamp>,
}

impl Refusals {
    /// Removes and returns the count if it may be written now.
    fn take(&mut self, now: Timestamp) -> Option<u64> {
        let is_due = self
            .written
            .is_none_or(|written| now.since(written) >= EVENT_INTERVAL);
        if self.count == 0 || !is_due {
            return None;
        }
        self.written = Some(now);
        Some(std::mem::take(&mut self.count))
    }
}

impl QuotaEvents {
    pub(super) fn record_refusal(&self, workspace: &WorkspaceName, refusal: QuotaRefusal) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match refusal {
            QuotaRefusal::Exceeded(_) => {
                if let Some(refusals) = state.exceeded.get_mut(workspace) {
                    refusals.count += 1;
                } else if state.exceeded.len() < MAX_WORKSPACES {
                    let refusals = Refusals {
                        count: 1,
                        written: None,
                    };
                    state.exceeded.insert(workspace.clone(), refusals);
                }
            }
            QuotaRefusal::Unavailable => {
                let (name, refusals) = state
                    .unavailable
                    .get_or_insert_with(|| (workspace.clone(), Refusals::default()));
                name.clone_from(workspace);
                refusals.count += 1;
            }
        }
    }

    /// Removes and returns the events that may be written now. `kept` is the number of quotas that
    /// this node keeps a part of.
    pub(super) fn take(&self, now: Timestamp, kept: usize, has_lease: bool) -> Vec<QuotaEvent> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut events = Vec::new();
        let is_granting = kept > 0 && has_lease;
        if is_granting != state.is_granting {
            state.is_granting = is_granting;
            if is_granting {
                events.push(QuotaEvent::GuardStarted { workspaces: kept });
            } else if kept > 0 {
                events.push(QuotaEvent::GuardStopped { workspaces: kept });
            }
        }
        for (workspace, refusals) in &mut state.exceeded {
            if let Some(refused) = refusals.take(now) {
                let workspace = workspace.clone();
                events.push(QuotaEvent::Exceeded { workspace, refused });
            }
        }
        let is_recent = |refusals: &Refusals| {
            let written = refusals.written;
            written.is_none_or(|written| now.since(written) < 2 * EVENT_INTERVAL)
        };
        state.exceeded.retain(|_, refusals| is_recent(refusals));
        if let Some((workspace, refusals)) = &mut state.unavailable
            && let Some(refused) = refusals.take(now)
        {
            let workspace = workspace.clone();
            events.push(QuotaEvent::Unavailable { workspace, refused });
        }
        events
    }
}
