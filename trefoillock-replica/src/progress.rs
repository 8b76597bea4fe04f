//! Replication progress of one follower, as the leader tracks it.

use std::{collections::VecDeque, sync::Arc};

use trefoillock_core::LogIndex;

use crate::{AppendOutcome, DiskId, Position, Snapshot};

/// How a leader sends to a follower.
#[derive(Debug, Clone)]
pub(crate) enum SendMode {
    /// One message per round until the follower accepts one, which shows where the logs match.
    Probe { sent: bool },
    /// Entries in several messages at once; `in_flight` holds the last index of each.
    Pipeline { in_flight: VecDeque<LogIndex> },
    /// A snapshot, one chunk at a time from `offset` on.
    Transfer {
        snapshot: Arc<Snapshot>,
        checksum: u32,
        offset: u64,
        sent: bool,
    },
}

/// The replication progress of one follower.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// The index up to which the follower is known to have synced the log.
    pub(crate) matched: LogIndex,
    /// The index of the next entry to send.
    pub(crate) next: LogIndex,
    pub(crate) mode: SendMode,
    /// The latest heartbeat round that was sent.
    pub(crate) sent_round: u64,
    /// The latest heartbeat round that was answered.
    pub(crate) acked_round: u64,
    /// The disk that the follower answered with, if it has answered.
    pub(crate) disk: Option<DiskId>,
}

impl Progress {
    pub(crate) const fn new(next: LogIndex) -> Self {
        Self {
            matched: LogIndex::ZERO,
            next,
            mode: SendMode::Probe { sent: false },
            sent_round: 0,
            acked_round: 0,
            disk: None,
        }
    }

    /// Begins a new heartbeat round, in which an unanswered probe or chunk is sent again.
    pub(crate) const fn begin_round(&mut self) {
        match &mut self.mode {
            SendMode::Probe { sent } | SendMode::Transfer { sent, .. } => *sent = false,
            SendMode::Pipeline { .. } => {}
        }
    }

    /// Records the answer to an append or to the last chunk.
    pub(crate) fn record_append_outcome(&mut self, outcome: AppendOutcome) {
        match outcome {
            AppendOutcome::Accepted { matched } => self.record_accepted(matched),
            AppendOutcome::Rejected { retry_from } => self.record_rejected(retry_from),
        }
    }

    fn record_accepted(&mut self, matched: LogIndex) {
        self.matched = self.matched.max(matched);
        let next = self.matched.next();
        match &mut self.mode {
            SendMode::Pipeline { in_flight } => {
                in_flight.retain(|&last| last > matched);
                self.next = self.next.max(next);
            }
            SendMode::Transfer { snapshot, .. } if self.matched < snapshot.position.index => {}
            SendMode::Probe { .. } | SendMode::Transfer { .. } => {
                self.next = next;
                self.mode = SendMode::Pipeline {
                    in_flight: VecDeque::new(),
                };
            }
        }
    }

    fn record_rejected(&mut self, retry_from: LogIndex) {
        // A current rejection names an index before the one that was tried; any other one is stale.
        let is_stale = retry_from >= self.next;
        if is_stale || matches!(self.mode, SendMode::Transfer { .. }) {
            return;
        }
        self.next = retry_from.max(self.matched.next());
        self.mode = SendMode::Probe { sent: false };
    }

    /// Records how many bytes of a snapshot the follower has received.
    pub(crate) fn record_chunk_answer(&mut self, position: Position, received: u64) {
        if let SendMode::Transfer {
            snapshot,
            offset,
            sent,
            ..
        } = &mut self.mode
            && snapshot.position == position
            && received <= snapshot.data.len() as u64
        {
            *offset = received;
            *sent = false;
        }
    }
}
