//! Timing and limits of a replica.

use std::time::Duration;

/// The timing of heartbeats, elections and leases.
///
/// A lease is safe if `lease + max_clock_step + lease * rate error <= election_min`. With the
/// defaults the rates of the clocks of two replicas may differ by 10 %.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The interval between the heartbeats of a leader.
    pub heartbeat: Duration,
    /// The shortest election timeout, and the time after a message from a leader during which a
    /// follower withholds its vote.
    pub election_min: Duration,
    /// The longest election timeout: a follower without messages from a leader campaigns within it.
    /// Also the time for which a leader may wait for its disk while the others could apply entries
    /// without it.
    pub election_max: Duration,
    /// The duration of a lease, from the start of a heartbeat round that a quorum answered.
    pub lease: Duration,
    /// The largest advance between two readings of the clock that is taken for elapsed time. A
    /// larger one counts as a jump of the clock.
    pub max_clock_step: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election_min: Duration::from_millis(500),
            election_max: Duration::from_secs(1),
            lease: Duration::from_millis(270),
            max_clock_step: Duration::from_millis(200),
        }
    }
}

/// The limits of the memory, messages and snapshots of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a command in bytes.
    pub command_bytes: usize,
    /// The maximum size in bytes of uncommitted entries. A leader refuses a proposal that would
    /// exceed it.
    pub uncommitted_bytes: usize,
    /// The maximum size in bytes of the entries in one message, unless one entry alone is larger.
    pub append_bytes: usize,
    /// The maximum number of unanswered messages with entries to one follower.
    pub window: usize,
    /// The maximum size in bytes of one chunk of a snapshot.
    pub chunk_bytes: usize,
    /// The maximum size in bytes of a snapshot that a replica receives.
    pub snapshot_bytes: u64,
    /// The number of applied entries after which a snapshot is taken.
    pub snapshot_every: u64,
    /// The size in bytes of the log in memory above which a snapshot is taken.
    pub log_bytes: usize,
    /// The size in bytes of entries applied since the last snapshot above which a new one is taken,
    /// if it also exceeds the size of the snapshot times [`Self::REPLAY_SNAPSHOT_RATIO`]. This
    /// bounds what a replica replays after a restart before it can lead.
    pub replay_bytes: usize,
    /// The maximum number of entries before a snapshot that are kept for slow followers.
    pub tail_entries: u64,
    /// The maximum size in bytes of the entries that are kept for slow followers. Fewer are kept if
    /// their size exceeds [`Self::replay_threshold`], as a snapshot is then cheaper to send.
    pub tail_bytes: usize,
    /// The maximum number of entries that a learner may lack when it is promoted.
    pub promote_lag: u64,
    /// The maximum number of reads that wait for confirmation.
    pub pending_reads: usize,
}

impl Limits {
    /// The ratio of the size of replayed or kept entries to that of the snapshot from which a new
    /// snapshot is the cheaper choice.
    pub const REPLAY_SNAPSHOT_RATIO: usize = 2;

    /// Returns the size in bytes of entries above which a snapshot is the cheaper choice, for a
    /// snapshot of a given size in bytes.
    #[must_use]
    pub fn replay_threshold(&self, snapshot: usize) -> usize {
        let by_snapshot = snapshot.saturating_mul(Self::REPLAY_SNAPSHOT_RATIO);
        self.replay_bytes.max(by_snapshot)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            command_bytes: 8 * 1024 * 1024,
            uncommitted_bytes: 32 * 1024 * 1024,
            append_bytes: 256 * 1024,
            window: 16,
            chunk_bytes: 512 * 1024,
            snapshot_bytes: 256 * 1024 * 1024,
            snapshot_every: 4_096,
            log_bytes: 64 * 1024 * 1024,
            replay_bytes: 64 * 1024,
            tail_entries: 1_024,
            tail_bytes: 8 * 1024 * 1024,
            promote_lag: 64,
            pending_reads: 4_096,
        }
    }
}
