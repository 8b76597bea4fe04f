//! The state machine of a claim: the request of one call for its idempotency key, decided by the
//! votes of the guards.

use std::time::Duration;

use trefoillock_core::{Fingerprint, Guard, GuardSet, Outcome, RefusalReason, Timestamp, data};

use super::{
    ClaimAnswer, ClaimId, ClaimRequest, Finish, FinishRequest, KeyEnd, KeyHash, KeyState,
    StoredAnswer, Vote,
};

/// The maximum time that a claim waits for votes.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// The state of a claim.
#[data]
pub enum ClaimState {
    /// The claim waits for votes of the guards.
    Asking,
    /// The guards know a newer guard set. The claimant must wait for a newer configuration and then
    /// call [`Claim::restart`].
    Stale {
        /// The epoch of the newer set.
        epoch: u64,
    },
    /// The key is granted. The call may run until the time stated in the claim.
    Won,
    /// The key is not granted and never will be granted to this claim.
    Lost(ClaimLoss),
}

/// The reason why a claim was lost.
#[data]
pub enum ClaimLoss {
    /// A call with the same key and request was answered.
    Answered {
        /// The HTTP status of the answer.
        status: u16,
        /// The answer, if it was stored.
        stored: Option<Box<StoredAnswer>>,
    },
    /// A call with the same key and request is running.
    Running,
    /// It cannot be proved that no call with the same key has run.
    Unknown,
    /// The key was used with a different request. This request has not run.
    Reused,
    /// The key is new, but the guards have no memory left to record it. This request has not run.
    Full,
}

impl ClaimLoss {
    /// The refusal reason that is reported to the caller.
    #[must_use]
    pub const fn reason(&self) -> RefusalReason {
        match self {
            Self::Answered { .. } => RefusalReason::AlreadyRun,
            Self::Running => RefusalReason::InProgress,
            Self::Unknown => RefusalReason::KeyUnknown,
            Self::Reused => RefusalReason::KeyReused,
            Self::Full => RefusalReason::Overloaded,
        }
    }

    /// The outcome that is reported to the caller. It covers every request sent with the key, not
    /// only the refused one.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::Answered {
                stored: Some(_), ..
            } => Outcome::Answered,
            Self::Answered { stored: None, .. } | Self::Running | Self::Unknown => {
                Outcome::MayHaveRun
            }
            Self::Reused | Self::Full => Outcome::DidNotRun,
        }
    }
}

/// A guard that the claim asks, and its vote.
#[derive(Debug, Clone)]
struct AskedGuard {
    guard: Guard,
    vote: Option<Vote>,
}

/// The claim of one call for its idempotency key, on the node that runs the call.
///
/// A majority of the guards of one epoch grants the key. Send [`Self::requests`] and pass the
/// answers to [`Self::record_vote`]; repeat until the state is final. Call [`Self::expire`] at
/// [`Self::give_up_at`].
///
/// After a loss, send [`Self::finish_requests`] with [`Finish::Released`]. After a win, send them
/// when the call has ended: with [`Finish::Ended`], or with [`Finish::Released`] if the call
/// provably did not run.
#[derive(Debug, Clone)]
pub struct Claim {
    id: ClaimId,
    key: KeyHash,
    fingerprint: Fingerprint,
    key_time: Option<Timestamp>,
    running_until: Timestamp,
    give_up_at: Timestamp,
    epoch: u64,
    quorum: usize,
    asked: Vec<AskedGuard>,
    /// Guards asked in earlier epochs.
    former_guards: Vec<Guard>,
    state: ClaimState,
}

impl Claim {
    /// Creates a claim of a key, given the guard set of the key's slot.
    ///
    /// `key_time` is the time embedded in the key, if the key is a `UUIDv7`. `running_until` is the
    /// latest time at which the call can still be running, at most its deadline.
    #[must_use]
    pub fn new(
        now: Timestamp,
        id: ClaimId,
        key: KeyHash,
        fingerprint: Fingerprint,
        key_time: Option<Timestamp>,
        running_until: Timestamp,
        set: &GuardSet,
    ) -> Self {
        let mut claim = Self {
            id,
            key,
            fingerprint,
            key_time,
            running_until,
            give_up_at: running_until.min(now + MAX_WAIT),
            epoch: 0,
            quorum: 0,
            asked: Vec::new(),
            former_guards: Vec::new(),
            state: ClaimState::Asking,
        };
        claim.start_asking(set);
        claim
    }

    /// The current state.
    #[must_use]
    pub const fn state(&self) -> &ClaimState {
        &self.state
    }

    /// The time at which [`Self::expire`] abandons the claim.
    #[must_use]
    pub const fn give_up_at(&self) -> Timestamp {
        self.give_up_at
    }

    /// The requests to guards that have not voted, to be sent immediately and repeated at
    /// intervals. Empty unless the state is [`ClaimState::Asking`].
    #[must_use]
    pub fn requests(&self) -> Vec<(Guard, ClaimRequest)> {
        if self.state != ClaimState::Asking {
            return Vec::new();
        }
        let pending = self.asked.iter().filter(|asked| is_pending(asked));
        let request = |guard: &Guard| ClaimRequest {
            to: guard.incarnation,
            epoch: self.epoch,
            key: self.key,
            id: self.id,
            fingerprint: self.fingerprint,
            key_time: self.key_time,
            running_until: self.running_until,
        };
        pending
            .map(|asked| (asked.guard.clone(), request(&asked.guard)))
            .collect()
    }

    /// Applies the answer of a guard. Answers after [`Self::give_up_at`] or for another epoch are
    /// ignored.
    pub fn record_vote(
        &mut self,
        now: Timestamp,
        from: &Guard,
        answer: ClaimAnswer,
    ) -> &ClaimState {
        let is_expected = self.state == ClaimState::Asking
            && answer.id == self.id
            && answer.epoch == self.epoch
            && now < self.give_up_at;
        if is_expected
            && let Some(asked) = self
                .asked
                .iter_mut()
                .find(|asked| asked.guard == *from && is_pending(asked))
        {
            asked.vote = Some(answer.vote.or_syncing(self.epoch));
            self.update_state();
        }
        &self.state
    }

    /// Records that a guard is unreachable, so that the claim does not wait for its vote.
    pub fn mark_unreachable(&mut self, from: &Guard) -> &ClaimState {
        if self.state == ClaimState::Asking
            && let Some(asked) = self
                .asked
                .iter_mut()
                .find(|asked| asked.guard == *from && is_pending(asked))
        {
            asked.vote = Some(Vote::Gone);
            self.update_state();
        }
        &self.state
    }

    /// Restarts the claim with the guards of a newer set. Votes of the older epoch no longer count.
    pub fn restart(&mut self, set: &GuardSet) -> &ClaimState {
        let is_undecided = matches!(self.state, ClaimState::Asking | ClaimState::Stale { .. });
        if is_undecided && set.epoch > self.epoch {
            self.state = ClaimState::Asking;
            self.start_asking(set);
        }
        &self.state
    }

    /// Abandons an undecided claim at [`Self::give_up_at`] or later.
    pub fn expire(&mut self, now: Timestamp) -> &ClaimState {
        let is_undecided = matches!(self.state, ClaimState::Asking | ClaimState::Stale { .. });
        if is_undecided && now >= self.give_up_at {
            self.state = ClaimState::Lost(self.loss_reason());
        }
        &self.state
    }

    /// The messages that report how the call ended, to all guards that the claim has asked and to
    /// the guards of the newest set.
    #[must_use]
    pub fn finish_requests(
        &self,
        newest: Option<&GuardSet>,
        finish: &Finish,
    ) -> Vec<(Guard, FinishRequest)> {
        let mut guards = self.former_guards.clone();
        guards.extend(self.asked.iter().map(|asked| asked.guard.clone()));
        guards.extend(newest.iter().flat_map(|set| set.guards.iter().cloned()));
        guards.sort();
        guards.dedup();
        let request = |guard: &Guard| FinishRequest {
            to: guard.incarnation,
            key: self.key,
            id: self.id,
            fingerprint: self.fingerprint,
            finish: finish.clone(),
        };
        let requests = guards.into_iter().map(|guard| {
            let request = request(&guard);
            (guard, request)
        });
        requests.collect()
    }

    /// Starts asking the guards of a set.
    fn start_asking(&mut self, set: &GuardSet) {
        self.former_guards
            .extend(self.asked.drain(..).map(|asked| asked.guard));
        self.epoch = set.epoch;
        self.quorum = set.quorum();
        let asked_guard = |guard: &Guard| AskedGuard {
            guard: guard.clone(),
            vote: None,
        };
        self.asked = set.guards.iter().map(asked_guard).collect();
    }

    /// Updates the state from the votes received so far.
    fn update_state(&mut self) {
        let granted = self.count_votes(|vote| matches!(vote, Vote::Granted));
        if granted >= self.quorum {
            self.state = ClaimState::Won;
            return;
        }
        let pending = self.asked.iter().filter(|asked| is_pending(asked)).count();
        let can_win = granted + pending >= self.quorum;
        if !can_win && let Some(epoch) = self.newer_epoch() {
            self.state = ClaimState::Stale { epoch };
            return;
        }
        let is_proved = self.answered_loss().is_some() || (!can_win && self.is_proved_unused());
        if is_proved || pending == 0 {
            self.state = ClaimState::Lost(self.loss_reason());
        }
    }

    fn count_votes(&self, predicate: impl Fn(&Vote) -> bool) -> usize {
        let votes = self.asked.iter().filter_map(|asked| asked.vote.as_ref());
        votes.filter(|vote| predicate(vote)).count()
    }

    /// The newest epoch named by a guard, if it is newer than the epoch of the claim.
    fn newer_epoch(&self) -> Option<u64> {
        let named = self.asked.iter().filter_map(|asked| match asked.vote {
            Some(Vote::Stale { epoch }) if epoch > self.epoch => Some(epoch),
            _ => None,
        });
        named.max()
    }

    /// The loss by an answered call, if a guard reports one.
    fn answered_loss(&self) -> Option<ClaimLoss> {
        self.asked.iter().find_map(|asked| match &asked.vote {
            Some(Vote::Held(KeyState::Ended(KeyEnd::Answered { status, stored }))) => {
                Some(ClaimLoss::Answered {
                    status: *status,
                    stored: stored.clone(),
                })
            }
            _ => None,
        })
    }

    /// The number of guards at which the key was used with a different request.
    fn reused_count(&self) -> usize {
        self.count_votes(|vote| matches!(vote, Vote::Reused))
    }

    /// The number of guards at which the key was unused.
    fn unused_count(&self) -> usize {
        self.count_votes(|vote| matches!(vote, Vote::Granted | Vote::Full))
    }

    /// Whether a majority of the guards proves that no claim with the same key and request was ever
    /// granted.
    fn is_proved_unused(&self) -> bool {
        self.reused_count() >= self.quorum || self.unused_count() >= self.quorum
    }

    /// The reason why the claim is lost. The reasons that say that this request has not run are
    /// given only if a majority of the guards proves that no claim with the same key and request
    /// was ever granted.
    fn loss_reason(&self) -> ClaimLoss {
        if let Some(answered) = self.answered_loss() {
            return answered;
        }
        let unknown = self
            .count_votes(|vote| matches!(vote, Vote::Held(KeyState::Ended(_)) | Vote::Unprovable));
        let running = self.count_votes(|vote| matches!(vote, Vote::Held(KeyState::Running)));
        if self.reused_count() >= self.quorum {
            ClaimLoss::Reused
        } else if self.unused_count() >= self.quorum {
            ClaimLoss::Full
        } else if running > 0 && unknown == 0 {
            ClaimLoss::Running
        } else {
            ClaimLoss::Unknown
        }
    }
}

/// Whether the vote of a guard is still missing.
const fn is_pending(asked: &AskedGuard) -> bool {
    matches!(asked.vote, None | Some(Vote::Syncing))
}
