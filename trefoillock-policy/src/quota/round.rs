//! One round of requests for tokens to the guards of a slot.

use std::{collections::VecDeque, time::Duration};

use trefoillock_core::{DataCentre, Guard, GuardSet, Timestamp, WorkspaceName};

use super::{QuotaRefusal, TokenAnswer, TokenAsk, TokenHolding, TokenRequest};

/// How a round of requests ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoundEnd {
    /// Guards have granted as many tokens as calls waited for, or at least one.
    Granted,
    /// No call waited, and no tokens were granted ahead of need.
    NothingAhead,
    /// No guard granted a token.
    Refused(QuotaRefusal),
}

/// Asks the guards of a workspace's slot for tokens, one after the other: first the one in the data
/// centre of the entry node, then the others in an order drawn at random.
#[derive(Debug, Clone)]
pub struct TokenRound {
    workspace: WorkspaceName,
    need: u32,
    ahead: u32,
    is_flooded: bool,
    candidates: VecDeque<Guard>,
    has_asked: bool,
    granted: u32,
    /// The shortest time after which a guard has a token, if one was reached.
    wait: Option<Duration>,
}

impl TokenRound {
    /// Begins a round that asks the guards of a slot. Those whose buckets are known to be empty, and
    /// those that did not answer lately, are left out.
    #[must_use]
    pub fn new(
        now: Timestamp,
        workspace: WorkspaceName,
        ask: TokenAsk,
        guards: Vec<Guard>,
        holding: &TokenHolding,
        is_unreachable: impl Fn(&Guard) -> bool,
    ) -> Self {
        let mut wait: Option<Duration> = None;
        let mut candidates = VecDeque::new();
        for guard in guards {
            let empty_for = holding.empty_for(now, &guard.node);
            if empty_for > Duration::ZERO {
                wait = Some(wait.map_or(empty_for, |wait| wait.min(empty_for)));
            } else if !is_unreachable(&guard) {
                candidates.push_back(guard);
            }
        }
        Self {
            workspace,
            need: ask.need,
            ahead: ask.ahead,
            is_flooded: holding.is_flooded(now),
            candidates,
            has_asked: false,
            granted: 0,
            wait,
        }
    }

    /// The guards of a slot in the order in which an entry node asks them: the ones in its data
    /// centre, then the others, beginning with one that `random` selects.
    #[must_use]
    pub fn order(set: &GuardSet, data_centre: &DataCentre, random: u32) -> Vec<Guard> {
        let guards = set.guards.iter().cloned();
        let (mut order, mut others): (Vec<Guard>, Vec<Guard>) =
            guards.partition(|guard| guard.data_centre == *data_centre);
        if !others.is_empty() {
            let first = random as usize % others.len();
            others.rotate_left(first);
        }
        order.append(&mut others);
        order
    }

    /// The next guard to ask and the request for it; `None` if no guard is left or no more tokens
    /// are needed. Tokens ahead of need are asked of one guard only.
    pub fn next_request(&mut self) -> Option<(Guard, TokenRequest)> {
        if !self.wants_more() {
            return None;
        }
        let missing = self.need.saturating_sub(self.granted);
        let guard = self.candidates.pop_front()?;
        self.has_asked = true;
        let req = TokenRequest {
            to: guard.incarnation,
            workspace: self.workspace.clone(),
            need: missing,
            ahead: self.ahead,
            is_flooded: self.is_flooded,
        };
        Some((guard, req))
    }

    /// Whether there are guards that were not asked and tokens to ask for.
    #[must_use]
    pub fn has_next(&self) -> bool {
        self.wants_more() && !self.candidates.is_empty()
    }

    /// Whether calls wait for more tokens, or only tokens ahead of need are wanted and no guard was
    /// asked yet.
    const fn wants_more(&self) -> bool {
        if self.need == 0 {
            self.ahead > 0 && !self.has_asked
        } else {
            self.granted < self.need
        }
    }

    /// Whether all calls that waited at the start of the round can get a token.
    #[must_use]
    pub const fn is_satisfied(&self) -> bool {
        self.granted >= self.need
    }

    /// Records the answer of a guard.
    pub fn record(&mut self, answer: TokenAnswer) {
        match answer {
            TokenAnswer::Granted(count) => {
                self.granted += count;
                self.ahead = 0;
            }
            TokenAnswer::Empty(millis) => {
                let wait = Duration::from_millis(u64::from(millis));
                self.wait = Some(self.wait.map_or(wait, |known| known.min(wait)));
            }
            TokenAnswer::Inactive => {}
        }
    }

    /// How the round has ended.
    #[must_use]
    pub fn end(&self) -> RoundEnd {
        if self.granted > 0 {
            return RoundEnd::Granted;
        }
        if self.need == 0 {
            return RoundEnd::NothingAhead;
        }
        let exceeded = self.wait.map(QuotaRefusal::Exceeded);
        RoundEnd::Refused(exceeded.unwrap_or(QuotaRefusal::Unavailable))
    }
}
