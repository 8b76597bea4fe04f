//! A call as classified when it arrives.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;
use trefoillock_backend::CallFailure;
use trefoillock_core::{Fingerprint, Pool, Route, Workspace, WorkspaceName};
use trefoillock_node::{CallEnd, CallRecord, MoveAssignment, NodeContext};
use trefoillock_policy::{RefusedReturn, RolloutClaim};

use crate::server_attempts::{ServerAttempts, SharedServerAttempts};

/// A call with its route, pool and deadline.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) route: Arc<Route>,
    /// The workspace whose key the caller presented; `None` if it presented no known key, or if the tables
    /// have no workspaces.
    pub(crate) workspace: Option<Arc<Workspace>>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) assignment: Option<MoveAssignment>,
    /// The rollout by which the call was assigned to the new version; `None` if it was not.
    pub(crate) rollout: Option<RolloutClaim>,
    /// The old versions of the service, which take the call if the new one may get no more calls; `None` if it
    /// is not assigned to a new version with an allowance.
    pub(crate) old_versions: Option<Arc<Pool>>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    /// The deadline that the caller and the route state. [`Self::deadline`] is earlier if a stop of this node
    /// cuts the call before.
    pub(crate) stated_deadline: Instant,
    /// The time after which the caller no longer waits, in this attempt or a later one.
    pub(crate) caller_deadline: Instant,
    /// The identifier of the request in log lines.
    pub(crate) id: String,
    /// The attempts so far, for log lines.
    pub(crate) server_attempts: Arc<SharedServerAttempts>,
    /// The time by which the response should be complete to meet the route's target latency; `None`
    /// if only the deadline counts.
    pub(crate) objective: Option<Instant>,
}

impl Call {
    /// The attempts so far, for log lines.
    pub(crate) fn server_attempts(&self) -> ServerAttempts {
        self.server_attempts.snapshot()
    }

    /// The name of the workspace that sent the call.
    pub(crate) fn workspace_name(&self) -> Option<&WorkspaceName> {
        self.workspace.as_ref().map(|workspace| &workspace.name)
    }

    /// The priority under overload; 0 is the highest.
    pub(crate) fn priority(&self) -> u8 {
        self.route.priority_for(self.workspace.as_deref())
    }

    /// The field of log lines that names the workspace; `None` if there is none.
    pub(crate) fn workspace_field(&self) -> Option<(&'static str, String)> {
        let name = self.workspace_name();
        name.map(|name| ("workspace", name.to_string()))
    }

    /// The time until the deadline; zero after it.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The same call, assigned to the old versions of its service instead of the new one.
    pub(crate) fn moved_to_old_versions(&self) -> Self {
        Self {
            pool: self.old_versions.as_ref().unwrap_or(&self.pool).clone(),
            old_versions: None,
            assignment: self.assignment.map(|assignment| MoveAssignment {
                to_new_pool: false,
                ..assignment
            }),
            rollout: None,
            ..self.clone()
        }
    }

    /// The time after which the caller should send the call again if it was refused; `None` if the failure says
    /// nothing of it, or the call has no objective.
    pub(crate) fn return_delay(&self, failure: &CallFailure, draw: u32) -> Option<Duration> {
        let (room_in, objective) = (failure.retry_after()?, self.objective?);
        let now = Instant::now();
        let refused = RefusedReturn {
            room_in,
            time_left: self.caller_deadline.saturating_duration_since(now),
            objective_left: Some(objective.saturating_duration_since(now)),
        };
        Some(refused.delay(draw))
    }

    /// Records how the call ended.
    pub(crate) fn record(&self, cx: &NodeContext, end: CallEnd) {
        cx.recorder().record(&CallRecord {
            route: &self.route.name,
            class: self.route.class,
            workspace: self.workspace_name(),
            target: Duration::from_millis(u64::from(self.route.target.latency_ms)),
            assignment: self.assignment,
            end,
        });
    }
}
