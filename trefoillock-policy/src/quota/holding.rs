//! The tokens that an entry node holds for the calls of one workspace.

use std::{collections::VecDeque, time::Duration};

use trefoillock_core::{NodeId, QuotaBound, RefusalReason, Timestamp};

use super::{RoundEnd, demand_meter::DemandMeter};

/// The number of calls expected within the lifetime of a token from which on tokens are asked for
/// ahead of need. Below it, most of them would expire unused.
const AHEAD_FROM: f64 = 0.5;
/// The time over which the rate of calls is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(2);
/// The shortest time between two rounds of requests in a flood. Without it, a flood at 71 entry
/// nodes costs a guard 1,000 requests a second.
const FLOOD_INTERVAL: Duration = Duration::from_millis(300);
/// The time over which refused calls are averaged, and the part of them that makes a flood.
const FLOOD_TIME: Duration = Duration::from_millis(500);
const FLOOD_SHARE: f64 = 0.25;
/// The largest number of tokens asked for ahead of need.
const MAX_AHEAD: f64 = 1_000.0;
/// The time for which no tokens are asked for ahead of need after none were granted.
const AHEAD_PAUSE: Duration = Duration::from_millis(200);
/// The shortest time for which calls are refused after all guards refused a request.
const MIN_EMPTY_MEMORY: Duration = Duration::from_millis(5);
/// The longest time for which calls are refused after all guards refused a request, and for which
/// a guard counts as empty.
pub const MAX_EMPTY_MEMORY: Duration = Duration::from_millis(400);
/// The time for which calls are refused after no guard could be reached.
const UNAVAILABLE_MEMORY: Duration = Duration::from_millis(100);

/// Why a call gets no token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaRefusal {
    /// The quota is used up; the time until there are tokens.
    Exceeded(Duration),
    /// No guard that keeps a part of the quota could be reached.
    Unavailable,
}

impl QuotaRefusal {
    /// The reason that is reported to the caller.
    #[must_use]
    pub const fn reason(self) -> RefusalReason {
        match self {
            Self::Exceeded(_) => RefusalReason::QuotaExceeded,
            Self::Unavailable => RefusalReason::QuotaUnavailable,
        }
    }
}

/// What happens to a call that takes a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Take {
    /// The call has a token until this time.
    Token(Timestamp),
    /// The call waits until the guards were asked.
    Wait,
    /// The call gets no token.
    Refused(QuotaRefusal),
}

/// How many tokens to ask the guards for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenAsk {
    /// The number of calls that wait for a token.
    pub need: u32,
    /// The number of further tokens that are expected to be used.
    pub ahead: u32,
}

/// The result of taking a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakeStep {
    /// What happens to the call.
    pub take: Take,
    /// The tokens to ask the guards for now. The caller must report the end of the asking with
    /// [`TokenHolding::end_round`].
    pub ask: Option<TokenAsk>,
}

#[derive(Debug, Clone, Copy)]
struct HeldTokens {
    expires: Timestamp,
    count: u32,
}

/// The tokens of one workspace at one entry node, and what is known of the guards' buckets.
///
/// At most one round of requests to the guards runs at a time.
#[derive(Debug, Clone)]
pub struct TokenHolding {
    lifetime: Duration,
    /// Ordered by expiry.
    tokens: VecDeque<HeldTokens>,
    demand: DemandMeter,
    /// The calls of late, and those of them that got no token.
    recent: DemandMeter,
    refused_recently: DemandMeter,
    waiting: u32,
    is_asking: bool,
    refused: Option<(Timestamp, QuotaRefusal)>,
    /// Until when no tokens are asked for in a flood.
    flood_until: Timestamp,
    /// From when on tokens are asked for ahead of need while no call waits.
    ahead_from: Timestamp,
    /// Guards whose buckets are empty until a time.
    empty: Vec<(NodeId, Timestamp)>,
}

impl TokenHolding {
    /// Creates an empty holding.
    #[must_use]
    pub fn new(bound: &QuotaBound) -> Self {
        Self {
            lifetime: bound.token_lifetime(),
            tokens: VecDeque::new(),
            demand: DemandMeter::new(DEMAND_TIME),
            recent: DemandMeter::new(FLOOD_TIME),
            refused_recently: DemandMeter::new(FLOOD_TIME),
            waiting: 0,
            is_asking: false,
            refused: None,
            flood_until: Timestamp::EPOCH,
            ahead_from: Timestamp::EPOCH,
            empty: Vec::new(),
        }
    }

    /// Takes a token for a call that has just arrived.
    pub fn take(&mut self, now: Timestamp) -> TakeStep {
        self.demand.record(now);
        self.recent.record(now);
        self.step(now)
    }

    /// Takes a token that is held already, for a call that does not wait for one.
    pub fn take_held(&mut self, now: Timestamp) -> TakeStep {
        self.drop_expired(now);
        if self.tokens.is_empty() {
            let refusal = self.refusal(now);
            let take = refusal.map_or(Take::Wait, Take::Refused);
            return TakeStep { take, ask: None };
        }
        self.step(now)
    }

    /// Takes a token for a call that has waited, after a round has ended.
    pub fn take_again(&mut self, now: Timestamp) -> TakeStep {
        self.stop_waiting();
        self.step(now)
    }

    /// Notes that a call that waited needs no token any more.
    pub const fn stop_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    fn step(&mut self, now: Timestamp) -> TakeStep {
        if let Some(expires) = self.pop(now) {
            let take = Take::Token(expires);
            let ahead = self.ahead(now);
            let is_last = self.tokens.is_empty() && ahead > 0 && self.ahead_from <= now;
            let ask = (is_last && !self.is_asking && self.refusal(now).is_none())
                .then_some(TokenAsk { need: 0, ahead });
            self.is_asking |= ask.is_some();
            return TakeStep { take, ask };
        }
        if let Some(refusal) = self.refusal(now) {
            self.refused_recently.record(now);
            let take = Take::Refused(refusal);
            return TakeStep { take, ask: None };
        }
        self.waiting += 1;
        let ask = (!self.is_asking).then(|| TokenAsk {
            need: self.waiting,
            ahead: self.ahead(now),
        });
        self.is_asking = true;
        TakeStep {
            take: Take::Wait,
            ask,
        }
    }

    /// Adds tokens that a guard granted in answer to a request that was begun at `asked_at`.
    pub fn add(&mut self, now: Timestamp, asked_at: Timestamp, count: u32) {
        if count > 0 {
            self.refused = None;
            self.insert(now, asked_at + self.lifetime, count);
        }
    }

    /// Returns the token of a call that reached no backend server.
    pub fn give_back(&mut self, now: Timestamp, expires: Timestamp) {
        self.insert(now, expires, 1);
    }

    fn insert(&mut self, now: Timestamp, expires: Timestamp, count: u32) {
        self.drop_expired(now);
        if expires <= now {
            return;
        }
        let at = self.tokens.partition_point(|held| held.expires <= expires);
        self.tokens.insert(at, HeldTokens { expires, count });
    }

    /// Ends a round of requests.
    pub fn end_round(&mut self, now: Timestamp, end: RoundEnd) {
        self.is_asking = false;
        let refusal = match end {
            RoundEnd::Granted => {
                self.flood_until = now + FLOOD_INTERVAL;
                return;
            }
            RoundEnd::NothingAhead => {
                self.ahead_from = now + AHEAD_PAUSE;
                return;
            }
            RoundEnd::Refused(refusal) => refusal,
        };
        let memory = match refusal {
            QuotaRefusal::Exceeded(wait) => {
                let least = if self.is_flooded(now) {
                    FLOOD_INTERVAL
                } else {
                    MIN_EMPTY_MEMORY
                };
                wait.clamp(least, MAX_EMPTY_MEMORY)
            }
            QuotaRefusal::Unavailable => UNAVAILABLE_MEMORY,
        };
        self.refused = Some((now + memory, refusal));
    }

    /// Notes that the bucket of a guard is empty for a time.
    pub fn note_empty(&mut self, now: Timestamp, guard: &NodeId, wait: Duration) {
        self.empty.retain(|(node, _)| node != guard);
        let until = now + wait.min(MAX_EMPTY_MEMORY);
        self.empty.push((guard.clone(), until));
    }

    /// The time until the bucket of a guard may have a token; zero if it is not known to be empty.
    #[must_use]
    pub fn empty_for(&self, now: Timestamp, guard: &NodeId) -> Duration {
        let known = self.empty.iter().find(|(node, _)| node == guard);
        known.map_or(Duration::ZERO, |(_, until)| until.since(now))
    }

    /// Whether the holding can be dropped: nothing is held, asked for or remembered, and no calls
    /// have arrived for some seconds.
    #[must_use]
    pub fn is_idle(&self, now: Timestamp) -> bool {
        let has_tokens = self.tokens.iter().any(|held| held.expires > now);
        let is_used = self.is_asking || self.waiting > 0 || has_tokens;
        !is_used && self.demand.expected(now, self.lifetime) < AHEAD_FROM / 100.0
    }

    /// Whether many calls of late got no token.
    pub(super) fn is_flooded(&self, now: Timestamp) -> bool {
        self.refused_recently.ratio_to(&self.recent, now) > FLOOD_SHARE
    }

    fn refusal(&self, now: Timestamp) -> Option<QuotaRefusal> {
        if self.flood_until > now && self.is_flooded(now) {
            return Some(QuotaRefusal::Exceeded(self.flood_until.since(now)));
        }
        let (until, refusal) = self.refused.filter(|(until, _)| *until > now)?;
        Some(match refusal {
            QuotaRefusal::Exceeded(wait) => QuotaRefusal::Exceeded(wait.max(until.since(now))),
            QuotaRefusal::Unavailable => QuotaRefusal::Unavailable,
        })
    }

    /// The number of tokens to ask for ahead of need.
    fn ahead(&self, now: Timestamp) -> u32 {
        let expected = self.demand.expected(now, self.lifetime);
        if expected < AHEAD_FROM {
            return 0;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the number is between 1 and MAX_AHEAD"
        )]
        let ahead = expected.round().clamp(1.0, MAX_AHEAD) as u32;
        ahead
    }

    fn pop(&mut self, now: Timestamp) -> Option<Timestamp> {
        self.drop_expired(now);
        let held = self.tokens.front_mut()?;
        held.count -= 1;
        let expires = held.expires;
        if held.count == 0 {
            self.tokens.pop_front();
        }
        Some(expires)
    }

    fn drop_expired(&mut self, now: Timestamp) {
        let expired = self.tokens.partition_point(|held| held.expires <= now);
        self.tokens.drain(..expired);
    }
}
