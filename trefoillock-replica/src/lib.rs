//! The replicated log of the control replicas.
//!
//! A few control processes agree on one sequence of commands by the Raft consensus protocol, and
//! each applies it to its own copy of a [`StateMachine`]. [`Replica`] implements the protocol as a
//! state machine without I/O: its inputs are messages, proposals, clock readings and completed
//! syncs, its outputs are [`Effect`]s. [`DataFolder`] stores the persistent state on disk.
//! [`ReplicaHandle`] runs both on tokio and sends messages over `trefoillock-rpc`.
//!
//! The package depends on `trefoillock-core` and `trefoillock-rpc`; `trefoillock-control`
//! replicates the tables with it. The design is described in `docs/REPLICATION.md`.

mod disk_thread;
mod driver;
mod effect;
mod entry;
mod files;
mod handle;
mod log;
mod membership;
mod membership_manager;
mod membership_policy;
mod message;
mod monotonic_clock;
mod payload;
mod peers;
mod progress;
mod replica;
mod settings;
mod snapshot;
mod state_machine;
mod status;
mod steady_clock;
mod storage;
mod timing;
mod waiters;

pub use effect::{BatchId, Effect, ReadId, Write};
pub use entry::{Content, Entry, Position};
pub use files::{DataFolder, FolderError, new_disk_id, record};
pub use handle::ReplicaHandle;
pub use membership::{
    ChangeError, DiskId, MAX_VOTERS, MemberRole, Membership, MembershipChange, ReplicaMember,
};
pub use membership_manager::MembershipManager;
pub use membership_policy::{
    ChangeReason, DueChange, JoinCandidate, MemberContact, next_membership_change,
};
pub use message::{Append, AppendOutcome, Chunk, Envelope, Message, Refusal, ReplicaIdentity};
pub use payload::Payload;
pub use replica::{ProposeRefusal, RecoveredState, Replica, ReplicaRole};
pub use settings::ReplicaSettings;
pub use snapshot::{HardState, Snapshot};
pub use state_machine::{RestoreError, StateMachine};
pub use status::{ProposeError, ReadError, ReplicaStatus};
pub use storage::{Storage, write_retrying_when_full};
pub use timing::{Limits, Timing};
