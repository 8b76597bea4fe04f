//! The policy of automatic membership changes: which replica is added, promoted or removed next,
//! without an operator.

use std::{cmp::Reverse, net::SocketAddr, time::Duration};

use displaydoc::Display;
use trefoillock_core::{ReplicaId, data};

use crate::{DiskId, MemberRole, Membership, MembershipChange};

/// The time without a message after which a member counts as lost.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// A replica that requests to join the membership.
#[data(key)]
pub struct JoinCandidate {
    /// The identity of the replica, chosen when its data folder was created.
    pub id: ReplicaId,
    /// The mesh address of the replica.
    pub address: SocketAddr,
    /// The identity of its disk; `None` if the replica does not state it. Without it a removed
    /// replica cannot return.
    #[serde(default)]
    pub disk: Option<DiskId>,
}

/// What the leader last heard from a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct MemberContact {
    /// The time since the last message of the member.
    pub silence: Duration,
    /// Whether the member has announced that its process stops, and no message came after that.
    pub has_announced_stop: bool,
}

impl MemberContact {
    const fn is_silent(self) -> bool {
        self.silence.as_millis() >= SILENCE_TIMEOUT.as_millis()
    }
}

/// A membership change that is due, with its reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DueChange {
    /// The change.
    pub change: MembershipChange,
    /// Why the change is due.
    pub reason: ChangeReason,
}

/// The reason for an automatic membership change. The texts are part of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ChangeReason {
    /// a new replica runs at its address
    Replaced,
    /// silent since it announced its stop
    Stopped,
    /// silent for {millis} ms
    Silent {
        /// The time since the last message of the replica, in milliseconds.
        millis: u128,
    },
    /// requests to join
    Joins,
    /// was removed, has kept its disk and requests to join again
    Returns,
    /// too few voters answer
    VoterMissing,
}

impl ChangeReason {
    /// The order in which lost replicas are removed, the surest loss last.
    const fn certainty(self) -> u8 {
        match self {
            Self::Replaced => 2,
            Self::Stopped => 1,
            _ => 0,
        }
    }
}

/// Returns the next membership change, if one is due.
///
/// A member counts as lost if it has been silent for two seconds and does not request to join, or
/// if a replica with another identity requests to join from its address, because a machine has only
/// one data folder. A lost voter is removed only after its replacement has caught up and votes, so
/// that entries are never stored on fewer disks than before. Of several lost voters the one that is
/// most surely gone is removed: one whose machine runs another replica, then one that announced its
/// stop, then the one that has been silent for longest.
///
/// Silence alone does not tell a replica that is gone from one that is cut off. Waiting would not
/// help: until the surplus voter is removed, one loss more stops all changes, whichever of the
/// silent voters is gone. A replica that was removed although it was only cut off is added again
/// when it returns with its disk.
///
/// `contact` returns what was last heard from a member; `target_voters` is the number of voters to
/// keep.
#[must_use]
pub fn next_membership_change(
    members: &Membership,
    candidates: &[JoinCandidate],
    contact: impl Fn(ReplicaId) -> MemberContact,
    target_voters: usize,
) -> Option<DueChange> {
    let voters = members.voters().count();
    let why_lost = |id: ReplicaId| loss_of(members, candidates, &contact, id);
    if voters > target_voters {
        let lost = members.voters().filter_map(|id| Some((id, why_lost(id)?)));
        let surest = lost
            .max_by_key(|(id, reason)| (reason.certainty(), contact(*id).silence, Reverse(*id)));
        if let Some((id, reason)) = surest {
            return Some(removal(id, reason));
        }
    }
    let learners = members
        .members()
        .iter()
        .filter(|(_, member)| member.role == MemberRole::Learner);
    let mut lost_learners = learners.filter_map(|(id, _)| Some((*id, why_lost(*id)?)));
    if let Some((id, reason)) = lost_learners.next() {
        return Some(removal(id, reason));
    }
    if let Some(due) = candidates.iter().find_map(|c| admission(members, c)) {
        return Some(due);
    }
    let may_promote = voters < target_voters
        || (voters == target_voters && members.voters().any(|id| why_lost(id).is_some()));
    let is_learner = |candidate: &&JoinCandidate| {
        let member = members.get(candidate.id);
        member.is_some_and(|member| member.role == MemberRole::Learner)
    };
    let next = candidates.iter().find(is_learner).filter(|_| may_promote)?;
    Some(DueChange {
        change: MembershipChange::Promote { id: next.id },
        reason: ChangeReason::VoterMissing,
    })
}

const fn removal(id: ReplicaId, reason: ChangeReason) -> DueChange {
    DueChange {
        change: MembershipChange::Remove { id },
        reason,
    }
}

/// Returns why a member counts as lost, if it does.
fn loss_of(
    members: &Membership,
    candidates: &[JoinCandidate],
    contact: impl Fn(ReplicaId) -> MemberContact,
    id: ReplicaId,
) -> Option<ChangeReason> {
    let address = members.get(id).map(|member| member.address);
    let is_replaced = candidates
        .iter()
        .any(|candidate| candidate.id != id && Some(candidate.address) == address);
    if is_replaced {
        return Some(ChangeReason::Replaced);
    }
    let is_joining = candidates.iter().any(|candidate| candidate.id == id);
    let contact = contact(id);
    if is_joining || !contact.is_silent() {
        return None;
    }
    Some(if contact.has_announced_stop {
        ChangeReason::Stopped
    } else {
        ChangeReason::Silent {
            millis: contact.silence.as_millis(),
        }
    })
}

/// Returns the change that makes a candidate a learner, unless it is a member or cannot become one.
fn admission(members: &Membership, candidate: &JoinCandidate) -> Option<DueChange> {
    let &JoinCandidate { id, address, disk } = candidate;
    if members.get(id).is_some() {
        return None;
    }
    if !members.is_removed(id) {
        return Some(DueChange {
            change: MembershipChange::AddLearner { id, address },
            reason: ChangeReason::Joins,
        });
    }
    let disk = disk.filter(|disk| members.may_readmit(id, *disk))?;
    Some(DueChange {
        change: MembershipChange::Readmit { id, address, disk },
        reason: ChangeReason::Returns,
    })
}
