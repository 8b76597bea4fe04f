//! Schedules the response bodies that leave a VM over a link that they fill: which calls with large
//! responses are admitted, and which body sends its next bytes.

use std::time::Duration;

use trefoillock_core::{Map, Timestamp};

use crate::{Demand, Lane, Ticket};

/// The time for which one chunk occupies the link.
const CHUNK_TIME: Duration = Duration::from_millis(12);
/// The bounds of the size of a chunk, in bytes.
const CHUNK_BYTES: (usize, usize) = (4 * 1024, 64 * 1024);
/// The size up to which a response is sent at once, in bytes.
const SMALL_BYTES: u64 = 16 * 1024;
/// The weight of the newest response in the mean size of a kind.
const AVERAGE_WEIGHT: f64 = 0.1;
/// The divisor of the time to a call's deadline that gives the time in which the link must be able
/// to send everything that was admitted.
const ADMISSION_DIVISOR: u32 = 3;
/// The shortest time after which a refused call should be sent again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);

/// A call that was admitted, until its response has been sent.
#[derive(Debug, Clone, Copy)]
struct Response {
    kind: Lane,
    /// The bytes that are still to be sent; an estimate before the head of the response arrives.
    remaining: u64,
    /// The bytes sent so far.
    sent: u64,
    /// The time after which the response is of no use.
    deadline: Timestamp,
    /// Whether a chunk is ready to be sent.
    is_waiting: bool,
}

/// The order of the bodies of one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// The body may miss its deadline, and those with the earliest one go first.
    Deadline(Timestamp),
    /// The body has time, and those with the fewest bytes left go first.
    Size(u64),
}

/// The schedule of the link from one VM to the others.
///
/// It answers the load of responses whose bytes come near to the rate of the link or exceed it while
/// the backend server has free slots. Without it such responses queue in the sockets, and every
/// other answer of the VM waits behind them.
///
/// Responses up to 16 KiB are sent at once, and their bytes are counted. Larger bodies are sent in
/// chunks, so that at most two chunks wait in the sockets. The next chunk is of the body with the
/// highest rank, and within a rank of the one with the fewest bytes left, which lets the most
/// responses be complete early. A body goes before those if the link cannot send everything that it
/// holds by the deadline of that body.
///
/// A call whose response is expected to be large is refused if the link needs more than a third of
/// the time to its deadline, and more than that to its objective, for everything that was admitted.
/// Most responses are complete long before that, and the rest of the time is for those that later
/// ones overtake. A refused call has not run. A response that has begun is always sent to its end.
#[derive(Debug)]
pub struct LinkSchedule {
    bytes_per_s: f64,
    chunk_bytes: usize,
    /// The time at which the link has sent everything that was handed to it.
    free_at: Timestamp,
    responses: Map<Ticket, Response>,
    mean_bytes: Map<Lane, f64>,
}

impl LinkSchedule {
    /// Creates the schedule of an idle link that sends responses at a rate in bytes a second. What is
    /// sent besides must fit into the rest of the link.
    #[must_use]
    pub fn new(bytes_per_s: u64) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "a rate is far below 2^52")]
        let bytes_per_s = (bytes_per_s as f64).max(1.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the result is clamped"
        )]
        let chunk_bytes = (bytes_per_s * CHUNK_TIME.as_secs_f64()) as usize;
        Self {
            bytes_per_s,
            chunk_bytes: chunk_bytes.clamp(CHUNK_BYTES.0, CHUNK_BYTES.1),
            free_at: Timestamp::EPOCH,
            responses: Map::default(),
            mean_bytes: Map::default(),
        }
    }

    /// The largest number of bytes that one chunk may have.
    #[must_use]
    pub const fn chunk_bytes(&self) -> usize {
        self.chunk_bytes
    }

    /// Admits a call, whose ticket must not have been used before. It must be ended by
    /// [`Self::end`].
    ///
    /// # Errors
    ///
    /// Returns the time after which the call should be sent again if its response would be late.
    pub fn admit(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        demand: &Demand,
    ) -> Result<(), Duration> {
        let kind = demand.kind();
        let expected = self.expected_bytes(kind);
        if expected > SMALL_BYTES {
            let done_at = now + self.expected_delay(now, kind.rank(), expected);
            let latest = now + demand.deadline.since(now) / ADMISSION_DIVISOR;
            let limit = demand.objective.map_or(latest, |at| at.max(latest));
            if done_at > limit && !self.is_idle(now) {
                let room_for_one = self.sending_time(expected);
                return Err(done_at.since(limit).max(room_for_one).max(MIN_RETRY_DELAY));
            }
        }
        let response = Response {
            kind,
            remaining: expected,
            sent: 0,
            deadline: demand.deadline,
            is_waiting: false,
        };
        self.responses.insert(ticket, response);
        Ok(())
    }

    /// Records the length of the body of a response, if its head states one.
    pub fn record_length(&mut self, ticket: Ticket, length: Option<u64>) {
        if let (Some(response), Some(length)) = (self.responses.get_mut(&ticket), length) {
            response.remaining = length;
        }
    }

    /// Whether a response has a chunk of `bytes` to send and may send it now. If it may not, it waits
    /// until [`Self::next_chunk`] names it.
    pub fn may_send(&mut self, now: Timestamp, ticket: Ticket, bytes: u64) -> bool {
        let Some(response) = self.responses.get_mut(&ticket) else {
            return true;
        };
        if response.sent + response.remaining.max(bytes) <= SMALL_BYTES {
            return true;
        }
        response.is_waiting = true;
        self.next_chunk(now) == Some(ticket)
    }

    /// Records bytes that were handed to the link.
    pub fn record_sent(&mut self, now: Timestamp, ticket: Ticket, bytes: u64) {
        if let Some(response) = self.responses.get_mut(&ticket) {
            response.is_waiting = false;
            response.sent += bytes;
            response.remaining = response.remaining.saturating_sub(bytes);
        }
        self.free_at = self.free_at.max(now) + self.sending_time(bytes);
    }

    /// Ends a call: its response is complete, has failed or was never begun.
    #[expect(clippy::cast_precision_loss, reason = "a response is far below 2^52")]
    pub fn end(&mut self, ticket: Ticket, is_complete: bool) {
        let Some(response) = self.responses.remove(&ticket) else {
            return;
        };
        if is_complete {
            let bytes = response.sent as f64;
            let mean = self.mean_bytes.entry(response.kind).or_insert(bytes);
            *mean += AVERAGE_WEIGHT * (bytes - *mean);
        }
    }

    /// The response that may send its next chunk now; `None` if none waits or the link is busy.
    #[must_use]
    pub fn next_chunk(&self, now: Timestamp) -> Option<Ticket> {
        if self.free_at > now + CHUNK_TIME {
            return None;
        }
        let waiting = self.responses.iter().filter(|(_, r)| r.is_waiting);
        let held: u64 = self.responses.values().map(|r| r.remaining).sum();
        let all_sent_at = now + self.sending_time(held);
        let order = |ticket: Ticket, response: &Response| {
            let deadline = response.deadline;
            let can_be_complete = now + self.sending_time(response.remaining) <= deadline;
            let is_urgent = can_be_complete && all_sent_at > deadline;
            let urgency = if is_urgent {
                Urgency::Deadline(deadline)
            } else {
                Urgency::Size(response.remaining)
            };
            (response.kind.rank(), urgency, ticket)
        };
        let first = waiting.min_by_key(|(ticket, response)| order(**ticket, response));
        first.map(|(ticket, _)| *ticket)
    }

    /// The time at which [`Self::next_chunk`] names a response; `None` if none waits.
    #[must_use]
    pub fn next_turn(&self) -> Option<Timestamp> {
        let waits = self.responses.values().any(|r| r.is_waiting);
        waits.then(|| self.free_at - CHUNK_TIME)
    }

    /// Whether nothing is sent or expected to be sent.
    fn is_idle(&self, now: Timestamp) -> bool {
        self.responses.is_empty() && self.free_at <= now
    }

    /// The time until a response of a rank with so many bytes would have been sent after everything
    /// of its rank and of higher ones, if no calls arrive after it.
    fn expected_delay(&self, now: Timestamp, rank: u8, bytes: u64) -> Duration {
        let ahead = self.responses.values().filter(|r| r.kind.rank() <= rank);
        let ahead: u64 = ahead.map(|response| response.remaining).sum();
        self.free_at.since(now) + self.sending_time(ahead + bytes)
    }

    #[expect(clippy::cast_precision_loss, reason = "a backlog is far below 2^52")]
    fn sending_time(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_s)
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a mean of sizes"
    )]
    fn expected_bytes(&self, kind: Lane) -> u64 {
        self.mean_bytes.get(&kind).map_or(0, |mean| *mean as u64)
    }
}
