//! Times and limits of a replica.

use std::time::Duration;

/// The times that govern elections and leases.
///
/// The lease is safe while `lease + max_clock_step + lease * rate error <= election_min`. With
/// the defaults the clocks of two replicas may run 10 % apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// The time for which a follower that heard of a leader refuses to vote.
    pub election_min: Duration,
    /// The longest time after which a follower that hears of no leader starts an election.
    pub election_max: Duration,
    /// The time for which a leader relies on the answers of a quorum.
    pub lease: Duration,
    /// The largest advance between two readings of the clock that counts as time passed.
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

/// The bounds of a replica's memory and messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The largest command in bytes.
    pub command_bytes: usize,
    /// The size in bytes of uncommitted entries at which a leader refuses further proposals.
    pub uncommitted_bytes: usize,
    /// The size in bytes of entries in one message, unless one entry alone is larger.
    pub append_bytes: usize,
    /// The number of messages with entries that a follower may leave unanswered.
    pub window: usize,
    /// The size in bytes of one part of a snapshot.
    pub chunk_bytes: usize,
    /// The largest snapshot in bytes that a replica takes in.
    pub snapshot_bytes: u64,
    /// The number of applied entries after which a snapshot is taken.
    pub snapshot_every: u64,
    /// The size in bytes of the log in memory at which a snapshot is taken.
    pub log_bytes: usize,
    /// The size in bytes of entries applied since the last snapshot from which a new one is taken,
    /// if it is also above [`Self::REPLAY_FACTOR`] snapshots: a replica that restarts applies no
    /// more than that before it can lead.
    pub replay_bytes: usize,
    /// The number of entries before a snapshot that are kept for slow followers.
    pub tail_entries: u64,
    /// The largest size in bytes of the entries that are kept for slow followers; fewer are kept
    /// where the snapshot is smaller than they are.
    pub tail_bytes: usize,
    /// The number of entries that a learner may lack when it becomes a voter.
    pub promote_lag: u64,
    /// The number of reads that may wait for confirmation.
    pub pending_reads: usize,
}

impl Limits {
    /// The size of replayed or kept entries, in snapshots, that is worth one more snapshot.
    pub const REPLAY_FACTOR: usize = 2;

    /// The size in bytes of entries that outweighs a snapshot of a size in bytes.
    #[must_use]
    pub fn outweighs(&self, snapshot: usize) -> usize {
        let factor = snapshot.saturating_mul(Self::REPLAY_FACTOR);
        self.replay_bytes.max(factor)
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
