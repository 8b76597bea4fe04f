//! The JSON messages of the operator API.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};
use trefoillock_core::{
    ConfigVersion, DataCentre, EditAnswer, EditId, Evacuations, MemberState, Move, MoveId, NodeId,
    RawTables, ReplicaId, Rollout, RolloutAllowance, RolloutLimits, RolloutState, ServerId,
    ServiceName, Share, TableErrors, TablesDiff, Term, Timestamp, VersionLabel, Workspace,
    WorkspaceName, data,
};
pub use trefoillock_policy::BurnReport;
use trefoillock_store::CancelAnswer;

/// Why a request failed; determines the HTTP status and whether a client may resend.
#[data(key)]
#[serde(rename_all = "kebab-case")]
pub enum ApiErrorKind {
    /// The replica is not the leader. The request had no effect and can be sent to another replica.
    NotLeader,
    /// It is unknown whether the change took effect. It can be sent again with the same identity.
    Unknown,
    /// The request is malformed.
    BadRequest,
    /// The token is missing or wrong.
    Unauthorized,
    /// There is no such resource.
    NotFound,
    /// An internal error of the replica.
    Internal,
}

impl ApiErrorKind {
    /// Returns the HTTP status of a response with this kind of error.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::NotLeader => 421,
            Self::Unknown => 504,
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::Internal => 500,
        }
    }
}

/// The response to a request that failed.
#[data]
pub struct ApiError {
    /// The reason in a form for programs.
    pub kind: ApiErrorKind,
    /// The reason in words.
    pub message: String,
    /// The mesh address of the leader, if the replica does not lead and knows the leader.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<SocketAddr>,
}

impl ApiError {
    /// Creates an error that names no leader.
    #[must_use]
    pub fn new(kind: ApiErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            leader: None,
        }
    }

    /// Sets the mesh address of the leader.
    #[must_use]
    pub const fn with_leader(mut self, leader: Option<SocketAddr>) -> Self {
        self.leader = leader;
        self
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for ApiError {}

/// The tables of routes and pools with their versions.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TablesReport {
    /// The version of the whole configuration. It also changes with each step of a move.
    pub version: ConfigVersion,
    /// The version at which the tables last changed. An edit names it as its base.
    pub tables_version: ConfigVersion,
    /// The tables in the form in which operators write them.
    pub tables: RawTables,
}

/// A request to replace the tables. `Debug` does not show the tables, which may have keys.
#[derive(Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// The identity of the edit, the same for all resends.
    pub id: EditId,
    /// The `tables_version` that the edit is based on. The edit is refused if the tables have
    /// changed since.
    pub base: ConfigVersion,
    /// The new tables, not validated yet.
    pub tables: serde_json::Value,
}

impl fmt::Debug for EditRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EditRequest")
            .field("id", &self.id)
            .field("base", &self.base)
            .finish_non_exhaustive()
    }
}

/// The response to a request to replace the tables.
#[data]
pub struct EditReport {
    /// Whether the edit was accepted, and why not if it was refused.
    pub answer: EditAnswer,
}

/// The response to a request to check tables without changing anything.
#[data]
pub struct CheckReport {
    /// The validation errors of the tables. `None` if they are valid.
    pub errors: Option<TableErrors>,
    /// The difference between the current tables and the checked ones. `None` if those are invalid
    /// or were not compared.
    pub difference: Option<TablesDiff>,
    /// The version of the current tables; zero if `difference` is `None`.
    pub tables_version: ConfigVersion,
}

/// The running moves and the recently ended ones.
#[data]
pub struct MovesReport {
    /// The running moves, followed by the ended ones, most recently ended first.
    pub moves: Vec<Move>,
}

/// The latest rollout of a service, with the calls that its new version got and may get.
#[data]
pub struct RolloutRow {
    /// The service.
    pub service: ServiceName,
    /// The new version.
    pub version: VersionLabel,
    /// The state after the last step.
    pub state: RolloutState,
    /// The share of the calls that the new version gets while its allowance lasts.
    pub share: Share,
    /// The evidence for the last step.
    pub evidence: String,
    /// The calls of the service since the order, as the leader last recorded them.
    pub service_calls: u64,
    /// Those of them that the new version got.
    pub version_calls: u64,
    /// The calls that the new version may have got by now.
    pub allowed_calls: u64,
    /// The calls that the nodes beside its backend servers may let pass, by server.
    pub allowance: RolloutAllowance,
}

impl RolloutRow {
    /// Creates the row of a rollout whose new version must stay within limits.
    #[must_use]
    pub fn new(rollout: &Rollout, limits: &RolloutLimits) -> Self {
        let progress = &rollout.progress;
        let service_calls = progress.old.calls + progress.new.calls;
        Self {
            service: rollout.service.clone(),
            version: rollout.version.clone(),
            state: rollout.state,
            share: rollout.share,
            evidence: rollout.evidence.clone(),
            service_calls,
            version_calls: progress.new.calls,
            allowed_calls: limits.allowed_calls(service_calls),
            allowance: rollout.allowance.clone(),
        }
    }
}

/// The latest rollout of each service that had one.
#[data]
pub struct RolloutsReport {
    /// The rollouts, by service.
    pub rollouts: Vec<RolloutRow>,
}

/// A workspace. Its keys are only counted.
#[data(float)]
pub struct WorkspaceRow {
    /// The name of the workspace.
    pub name: WorkspaceName,
    /// The number of its keys.
    pub keys: usize,
    /// The priority of its calls; `None` if that of the route applies.
    pub priority: Option<u8>,
    /// The calls per second that it may send through all nodes together; `None` if they are not limited.
    pub rate_per_s: Option<f64>,
    /// The number of calls beyond the rate that it may send at once; `None` if its calls are not limited.
    pub burst: Option<u32>,
}

impl From<&Workspace> for WorkspaceRow {
    fn from(workspace: &Workspace) -> Self {
        Self {
            name: workspace.name.clone(),
            keys: workspace.api_keys.len(),
            priority: workspace.priority,
            rate_per_s: workspace.quota.map(|quota| quota.rate.per_s()),
            burst: workspace.quota.map(|quota| quota.burst),
        }
    }
}

/// The table of workspaces without their keys.
#[data(float)]
pub struct WorkspacesReport {
    /// The version at which the tables last changed.
    pub tables_version: ConfigVersion,
    /// Whether callers need a key, which they do while there is a table of workspaces.
    pub needs_keys: bool,
    /// The workspaces, by name.
    pub workspaces: Vec<WorkspaceRow>,
}

/// The response to a request to cancel a move.
#[data(key)]
pub struct CancelReport {
    /// Whether the move was taken back.
    pub answer: CancelAnswer,
}

/// A backend server.
#[data]
pub struct MemberRow {
    /// The node that the backend server runs beside, and its address.
    pub id: ServerId,
    /// The data centre of the node.
    pub data_centre: DataCentre,
    /// The service that the backend server runs.
    pub service: ServiceName,
    /// The version of that service.
    pub version: VersionLabel,
    /// Whether the backend server accepts new calls.
    pub state: MemberState,
}

/// All known backend servers.
#[data]
pub struct MembersReport {
    /// The backend servers, ordered by identity.
    pub members: Vec<MemberRow>,
}

/// An evacuated data centre.
#[data]
pub struct EvacuationRow {
    /// The data centre.
    pub data_centre: DataCentre,
    /// When the evacuation was ordered.
    pub since: Timestamp,
    /// The time since the order on the leader's clock, in whole seconds.
    pub age_s: u64,
}

/// The evacuated data centres.
#[data]
#[derive(Default)]
pub struct EvacuationsReport {
    /// The evacuated data centres, ordered by name.
    pub evacuations: Vec<EvacuationRow>,
}

impl EvacuationsReport {
    /// Creates the report of the evacuations that are in force at `now`.
    #[must_use]
    pub fn new(evacuations: &Evacuations, now: Timestamp) -> Self {
        let rows = evacuations
            .iter()
            .map(|(data_centre, since)| EvacuationRow {
                data_centre: data_centre.clone(),
                since: *since,
                age_s: now.since(*since).as_secs(),
            });
        Self {
            evacuations: rows.collect(),
        }
    }
}

/// The number of nodes that serve a version of the configuration.
#[data(key)]
pub struct VersionCount {
    /// The version of the configuration.
    pub version: ConfigVersion,
    /// The number of nodes that serve this version.
    pub nodes: usize,
}

/// A control replica.
#[data]
pub struct ReplicaRow {
    /// The identity of the replica in the replicated log.
    pub id: ReplicaId,
    /// The address for other replicas and for nodes.
    pub address: SocketAddr,
    /// Whether the replica is a voter; otherwise it is a learner.
    pub voter: bool,
    /// Whether the replica is the leader.
    pub leader: bool,
}

/// The state of the system from the leader's point of view.
#[data]
pub struct StatusReport {
    /// The current term of the replicated log.
    pub term: Term,
    /// The newest version of the configuration.
    pub version: ConfigVersion,
    /// The version at which the tables last changed.
    pub tables_version: ConfigVersion,
    /// The number of known nodes.
    pub nodes: usize,
    /// The number of nodes at each version of the configuration.
    pub versions: Vec<VersionCount>,
    /// Some of the nodes that do not serve the newest version.
    pub lagging: Vec<NodeId>,
    /// The control replicas, voters and learners.
    pub replicas: Vec<ReplicaRow>,
    /// The number of moves that have not ended.
    pub running_moves: usize,
    /// The evacuated data centres, ordered by name.
    #[serde(default)]
    pub evacuations: Vec<EvacuationRow>,
}

impl StatusReport {
    /// Returns the number of nodes that serve the newest version.
    #[must_use]
    pub fn current_nodes(&self) -> usize {
        let current = self
            .versions
            .iter()
            .filter(|count| count.version >= self.version);
        current.map(|count| count.nodes).sum()
    }
}

/// A change of the set of control replicas.
#[data]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum ReplicaChange {
    /// Adds a replica as a learner, which does not vote.
    Add {
        /// The identity of the new replica. It must never have been used in this system.
        id: ReplicaId,
        /// The address of the new replica for other replicas and for nodes.
        address: SocketAddr,
    },
    /// Makes a learner that has caught up with the log a voter.
    Promote {
        /// The identity of the learner.
        id: ReplicaId,
    },
    /// Removes a voter or learner.
    Remove {
        /// The identity of the replica. It cannot be used again.
        id: ReplicaId,
    },
}

/// Parses the move identity in a request path.
pub(crate) fn parse_move_id(text: &str) -> Option<MoveId> {
    text.parse().ok().map(MoveId::new)
}
