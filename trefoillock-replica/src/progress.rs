//! What a leader knows about a follower.

use std::{collections::VecDeque, sync::Arc};

use trefoillock_core::LogIndex;

use crate::{AppendOutcome, DiskId, Position, Snapshot};

/// How a leader sends to a follower.
#[derive(Debug, Clone)]
pub(crate) enum Mode {
    /// One message at a time until the logs match somewhere.
    Probe { sent: bool },
    /// A window of messages in flight, each by its last index.
    Pipeline { in_flight: VecDeque<LogIndex> },
    /// A snapshot, one part at a time.
    Transfer {
        snapshot: Arc<Snapshot>,
        checksum: u32,
        offset: u64,
        sent: bool,
    },
}

/// What a leader knows about a follower.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    pub(crate) matched: LogIndex,
    pub(crate) next: LogIndex,
    pub(crate) mode: Mode,
    /// The latest heartbeat round that was sent.
    pub(crate) sent_round: u64,
    /// The latest heartbeat round that was answered.
    pub(crate) acked_round: u64,
    pub(crate) disk: Option<DiskId>,
}

impl Progress {
    pub(crate) const fn new(next: LogIndex) -> Self {
        Self {
            matched: LogIndex::ZERO,
            next,
            mode: Mode::Probe { sent: false },
            sent_round: 0,
            acked_round: 0,
            disk: None,
        }
    }

    /// Allows the message of a new heartbeat round to be sent.
    pub(crate) const fn begin_round(&mut self) {
        match &mut self.mode {
            Mode::Probe { sent } | Mode::Transfer { sent, .. } => *sent = false,
            Mode::Pipeline { .. } => {}
        }
    }

    /// Takes the answer to a message with entries in.
    pub(crate) fn answered(&mut self, outcome: AppendOutcome) {
        match outcome {
            AppendOutcome::Accepted { matched } => self.accepted(matched),
            AppendOutcome::Rejected { retry_from } => self.rejected(retry_from),
        }
    }

    fn accepted(&mut self, matched: LogIndex) {
        self.matched = self.matched.max(matched);
        let next = self.matched.next();
        match &mut self.mode {
            Mode::Pipeline { in_flight } => {
                in_flight.retain(|&last| last > matched);
                self.next = self.next.max(next);
            }
            Mode::Transfer { snapshot, .. } if self.matched < snapshot.position.index => {}
            Mode::Probe { .. } | Mode::Transfer { .. } => {
                self.next = next;
                self.mode = Mode::Pipeline {
                    in_flight: VecDeque::new(),
                };
            }
        }
    }

    fn rejected(&mut self, retry_from: LogIndex) {
        // A true rejection names an index before the one that was tried; others are late.
        let late = retry_from >= self.next;
        if late || matches!(self.mode, Mode::Transfer { .. }) {
            return;
        }
        self.next = retry_from.max(self.matched.next());
        self.mode = Mode::Probe { sent: false };
    }

    /// Takes the number of received bytes of a snapshot in.
    pub(crate) fn chunk_answered(&mut self, position: Position, received: u64) {
        if let Mode::Transfer {
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
