//! The replicated log of the control replicas.
//!
//! A few control processes with disks agree on one sequence of commands; each applies it to its
//! own copy of a [`StateMachine`]. [`Replica`] is the deciding machine: it takes messages, time
//! and synced writes in and gives effects out, without I/O. [`DataFolder`] keeps what must not
//! be lost. [`ReplicaHandle`] runs both under tokio and talks over `trefoillock-rpc`.
//!
//! The package stands above `trefoillock-core` and `trefoillock-rpc`; `trefoillock-control`
//! replicates the tables with it. The design is described in `docs/REPLICATION.md`.

mod admittance;
mod disk_thread;
mod driver;
mod effect;
mod entry;
mod files;
mod handle;
mod log;
mod membership;
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
mod succession;
mod timing;
mod waiters;

pub use admittance::Admittance;
pub use effect::{Effect, ReadId, Ticket, Write};
pub use entry::{Content, Entry, Position};
pub use files::{DataFolder, FolderError, new_disk_id, record};
pub use handle::ReplicaHandle;
pub use membership::{
    ChangeError, DiskId, MAX_VOTERS, MemberRole, Membership, MembershipChange, ReplicaMember,
};
pub use message::{Append, AppendOutcome, Chunk, Envelope, Message, Refusal, Sender};
pub use payload::Payload;
pub use replica::{ProposeRefusal, Recovered, Replica, RoleKind};
pub use settings::ReplicaSettings;
pub use snapshot::{HardState, Snapshot};
pub use state_machine::{RestoreError, StateMachine};
pub use status::{ProposeError, ReadError, ReplicaStatus};
pub use storage::{Storage, write_patiently};
pub use succession::{Candidate, next_change};
pub use timing::{Limits, Timing};
