//! The claim of one call on its idempotency key.

use std::time::Duration;

use trefoillock_core::{Fingerprint, Guard, GuardSet, Outcome, RefusalReason, Timestamp, data};

use super::{
    ClaimAnswer, ClaimId, ClaimRequest, Finish, FinishRequest, KeyEnd, KeyHash, KeyState,
    StoredAnswer, Vote,
};

/// The longest time that a claim waits for votes.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// What a claim has come to.
#[data]
pub enum ClaimState {
    /// Votes are missing.
    Asking,
    /// The guards know a newer set: a newer configuration is needed, then [`Claim::restart`].
    Stale {
        /// The epoch of the newer set.
        epoch: u64,
    },
    /// The key is granted: the call may run until the time that the claim states.
    Won,
    /// The key is not granted and never will be to this claim.
    Lost(ClaimLoss),
}

/// Why a claim was lost.
#[data]
pub enum ClaimLoss {
    /// A call with the same key and request was answered.
    Answered {
        /// The HTTP status of the answer.
        status: u16,
        /// The answer, if it was kept.
        stored: Option<Box<StoredAnswer>>,
    },
    /// A call with the same key and request runs.
    Running,
    /// It cannot be proved that no call with the same key ran.
    Unknown,
    /// The key was used with another request. This request has not run.
    Reused,
    /// The key is new, but the guards have no room for it. This request has not run.
    Full,
}

impl ClaimLoss {
    /// The reason that the caller is told.
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

    /// The outcome that the caller is told. It speaks of all sends with the key, not only of
    /// the one that was refused.
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

/// A guard that was asked, with its vote.
#[derive(Debug, Clone)]
struct Asked {
    guard: Guard,
    vote: Option<Vote>,
}

/// The claim of one call on its idempotency key, on the side of the node that runs it.
///
/// The key is granted by a majority of the guards of one epoch. Send [`Self::requests`], feed
/// the answers to [`Self::answer`], repeat until the state is final, and call [`Self::expire`]
/// when the time is over. After a loss send [`Self::finish`] with [`Finish::Released`]; after a
/// win, when the call has ended, with its end, or with a release if it is proved that the call
/// did not run.
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
    asked: Vec<Asked>,
    former: Vec<Guard>,
    state: ClaimState,
}

impl Claim {
    /// Creates a claim of a key with the guard set of its slot.
    ///
    /// `key_time` is the time embedded in the key, if any. `running_until` is the time by which
    /// the call has ended, at the latest its deadline.
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
            former: Vec::new(),
            state: ClaimState::Asking,
        };
        claim.ask(set);
        claim
    }

    /// The state.
    #[must_use]
    pub const fn state(&self) -> &ClaimState {
        &self.state
    }

    /// The time at which [`Self::expire`] gives the claim up.
    #[must_use]
    pub const fn give_up_at(&self) -> Timestamp {
        self.give_up_at
    }

    /// The requests to guards that have not voted; to be sent at first and again after a while.
    #[must_use]
    pub fn requests(&self) -> Vec<(Guard, ClaimRequest)> {
        if self.state != ClaimState::Asking {
            return Vec::new();
        }
        let open = self.asked.iter().filter(|asked| is_open(asked));
        let request = |guard: &Guard| ClaimRequest {
            to: guard.incarnation,
            epoch: self.epoch,
            key: self.key,
            id: self.id,
            fingerprint: self.fingerprint,
            key_time: self.key_time,
            running_until: self.running_until,
        };
        open.map(|asked| (asked.guard.clone(), request(&asked.guard)))
            .collect()
    }

    /// Takes the answer of a guard. Answers that are late or of another epoch change nothing.
    pub fn answer(&mut self, now: Timestamp, from: &Guard, answer: ClaimAnswer) -> &ClaimState {
        let is_due = self.state == ClaimState::Asking
            && answer.id == self.id
            && answer.epoch == self.epoch
            && now < self.give_up_at;
        if is_due
            && let Some(asked) = self
                .asked
                .iter_mut()
                .find(|a| a.guard == *from && is_open(a))
        {
            asked.vote = Some(answer.vote.or_retry(self.epoch));
            self.decide();
        }
        &self.state
    }

    /// Notes that a guard cannot be reached and is not to be waited for.
    pub fn unreachable(&mut self, from: &Guard) -> &ClaimState {
        if self.state == ClaimState::Asking
            && let Some(asked) = self
                .asked
                .iter_mut()
                .find(|a| a.guard == *from && is_open(a))
        {
            asked.vote = Some(Vote::Gone);
            self.decide();
        }
        &self.state
    }

    /// Asks the guards of a newer set. Votes of the older epoch count no more.
    pub fn restart(&mut self, set: &GuardSet) -> &ClaimState {
        let is_open = matches!(self.state, ClaimState::Asking | ClaimState::Stale { .. });
        if is_open && set.epoch > self.epoch {
            self.state = ClaimState::Asking;
            self.ask(set);
        }
        &self.state
    }

    /// Gives the claim up if its time is over.
    pub fn expire(&mut self, now: Timestamp) -> &ClaimState {
        let is_open = matches!(self.state, ClaimState::Asking | ClaimState::Stale { .. });
        if is_open && now >= self.give_up_at {
            self.state = ClaimState::Lost(self.loss());
        }
        &self.state
    }

    /// The messages that tell how the call ended, to all guards that were asked and to those of
    /// the newest set.
    #[must_use]
    pub fn finish(
        &self,
        newest: Option<&GuardSet>,
        finish: &Finish,
    ) -> Vec<(Guard, FinishRequest)> {
        let mut guards = self.former.clone();
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

    fn ask(&mut self, set: &GuardSet) {
        self.former.extend(self.asked.drain(..).map(|a| a.guard));
        self.epoch = set.epoch;
        self.quorum = set.quorum();
        let ask = |guard: &Guard| Asked {
            guard: guard.clone(),
            vote: None,
        };
        self.asked = set.guards.iter().map(ask).collect();
    }

    fn decide(&mut self) {
        let granted = self.count(|vote| matches!(vote, Vote::Granted));
        if granted >= self.quorum {
            self.state = ClaimState::Won;
            return;
        }
        let open = self.asked.iter().filter(|asked| is_open(asked)).count();
        let can_win = granted + open >= self.quorum;
        if !can_win && let Some(epoch) = self.newer_epoch() {
            self.state = ClaimState::Stale { epoch };
            return;
        }
        let is_proved = self.answered_end().is_some() || (!can_win && self.is_proved_unused());
        if is_proved || open == 0 {
            self.state = ClaimState::Lost(self.loss());
        }
    }

    fn count(&self, is_wanted: impl Fn(&Vote) -> bool) -> usize {
        let votes = self.asked.iter().filter_map(|asked| asked.vote.as_ref());
        votes.filter(|vote| is_wanted(vote)).count()
    }

    /// The newest epoch that a guard named, if it is newer than that of the claim.
    fn newer_epoch(&self) -> Option<u64> {
        let named = self.asked.iter().filter_map(|asked| match asked.vote {
            Some(Vote::Stale { epoch }) if epoch > self.epoch => Some(epoch),
            _ => None,
        });
        named.max()
    }

    fn answered_end(&self) -> Option<ClaimLoss> {
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

    /// The guards at which the key was used with another request.
    fn reused(&self) -> usize {
        self.count(|vote| matches!(vote, Vote::Reused))
    }

    /// The guards at which the key was not used before.
    fn unused(&self) -> usize {
        self.count(|vote| matches!(vote, Vote::Granted | Vote::Full))
    }

    /// Whether a majority shows that no claim with the same key and request was granted.
    fn is_proved_unused(&self) -> bool {
        self.reused() >= self.quorum || self.unused() >= self.quorum
    }

    /// Why the claim is lost. That this request did not run is only said when a majority of the
    /// guards shows that no claim with the same key and request was ever granted.
    fn loss(&self) -> ClaimLoss {
        if let Some(answered) = self.answered_end() {
            return answered;
        }
        let unknown =
            self.count(|vote| matches!(vote, Vote::Held(KeyState::Ended(_)) | Vote::Unprovable));
        let running = self.count(|vote| matches!(vote, Vote::Held(KeyState::Running)));
        if self.reused() >= self.quorum {
            ClaimLoss::Reused
        } else if self.unused() >= self.quorum {
            ClaimLoss::Full
        } else if running > 0 && unknown == 0 {
            ClaimLoss::Running
        } else {
            ClaimLoss::Unknown
        }
    }
}

/// Whether a guard can still vote.
const fn is_open(asked: &Asked) -> bool {
    matches!(asked.vote, None | Some(Vote::Syncing))
}
