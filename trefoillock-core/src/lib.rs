//! The types that all packages of trefoillock share: names, versions, tables, moves, members,
//! evidence, outcomes and errors.
//!
//! This is the base package of the workspace. It does no I/O, reads no clock and depends on no
//! other workspace package except the derive macro in `trefoillock-macros`.
//!
//! Names, methods and path prefixes are validated when they are created or deserialized. [`Tables`]
//! are validated when they are built; for deserialized ones, [`Config::validate`] verifies only
//! that every named pool exists.
//!
//! ```
//! use trefoillock_core::{RawTables, Tables};
//!
//! let json = r#"{
//!   "routes": [{ "name": "positions", "match": { "path_prefix": "/positions" },
//!                "class": "lookup", "pool": "desk-v1", "timeout_ms": 800 }],
//!   "pools": [{ "name": "desk-v1", "service": "treaty-desk", "version": "1" }]
//! }"#;
//! let tables = Tables::try_from(RawTables::from_json(json)?)?;
//! assert_eq!(tables.routes().len(), 1);
//! # Ok::<(), trefoillock_core::TableErrors>(())
//! ```

mod call_rate;
mod collections;
mod config;
mod departure;
mod drained_runs;
mod edit;
mod error;
mod evidence;
mod guard;
mod health_path;
mod latency_sketch;
mod member;
mod moves;
mod name;
mod outcome;
mod pool;
mod quota_bound;
mod quoted_value;
mod raw_tables;
mod request_limits;
mod rollout;
mod rollout_allowance;
mod route;
mod share;
mod stable_hash;
mod tables;
mod timestamp;
mod version;
mod workspace;

pub use call_rate::{CallRate, CallRateError};
pub use collections::{Map, SeededMap, SeededSet, Set};
pub use config::{Config, ConfigDelta, ConfigError, Evacuations, MoveShare, WorkspacesDelta};
pub use departure::{DepartedRuns, Departure, ServerProcess};
pub use drained_runs::DrainedRuns;
pub use edit::{Edit, EditAnswer, EditConflict, EditRefusal, TablesDiff};
pub use error::{Error, Peer, Step};
pub use evidence::{Evidence, MoveEvidence, PoolEvidence, ServiceLevelCounts};
pub use guard::{GUARD_SLOTS, GUARDS_PER_SLOT, Guard, GuardSet, GuardSlot, GuardTable};
pub use health_path::HealthPath;
pub use latency_sketch::LatencySketch;
pub use member::{Announcement, CrashReport, Fingerprint, Member, MemberState, Members, ServerId};
pub use moves::{HoldReason, Move, MoveState, MoveStep, RiskReason, TakeBackReason};
pub use name::{
    DataCentre, EditId, HostName, InstanceId, NameError, NodeId, PoolName, Region, RouteName,
    ServiceName, VersionLabel, WorkspaceName,
};
pub use outcome::{Outcome, RefusalReason, headers};
pub use pool::{Pool, PoolPolicy, PoolVersions, WarmUp};
pub use quota_bound::{QuotaBound, QuotaBoundError};
pub use quoted_value::without_quoted_value;
pub use raw_tables::{
    RawApiKey, RawMatch, RawPool, RawPoolPolicy, RawPoolWeight, RawRoute, RawTables, RawTarget,
    RawWorkspace,
};
pub use request_limits::RequestLimits;
pub use rollout::{Rollout, RolloutProgress, RolloutShare, RolloutState, RolloutStep};
pub use rollout_allowance::{AllowancePart, AllowancePurpose, RolloutAllowance, RolloutLimits};
pub use route::{
    DEFAULT_MAX_ATTEMPTS, DEFAULT_PRIORITY, Method, PathPrefix, PoolWeight, Route, RouteClass,
    RouteMatch, ServiceTarget,
};
pub use share::Share;
pub use stable_hash::stable_hash;
pub use tables::{TableError, TableErrors, Tables};
pub use timestamp::Timestamp;
pub use trefoillock_macros::data;
pub use version::{ConfigVersion, Incarnation, LogIndex, MembersVersion, MoveId, ReplicaId, Term};
pub use workspace::{ApiKey, ApiKeyError, Quota, Workspace, Workspaces};
