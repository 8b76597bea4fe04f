//! The policy of automatic membership changes: which replica is added, promoted or removed next,
//! without an operator.

use std::net::SocketAddr;

use trefoillock_core::{ReplicaId, data};

use crate::{MemberRole, Membership, MembershipChange};

/// A replica that requests to join the membership.
#[data(key)]
pub struct JoinCandidate {
    /// The identity of the replica, chosen when its data folder was created.
    pub id: ReplicaId,
    /// The mesh address of the replica.
    pub address: SocketAddr,
}

/// Returns the next membership change, if one is due.
///
/// A voter counts as lost if it is silent, or if a replica with another identity requests to join
/// from its address, because a machine has only one data folder. A lost voter is removed only after
/// its replacement has caught up and votes, so that entries are never stored on fewer disks than
/// before. `is_silent` returns whether no message of a replica arrived for some time;
/// `target_voters` is the number of voters to keep.
#[must_use]
pub fn next_membership_change(
    members: &Membership,
    candidates: &[JoinCandidate],
    is_silent: impl Fn(ReplicaId) -> bool,
    target_voters: usize,
) -> Option<MembershipChange> {
    let voters = members.voters().count();
    let is_lost = |id: ReplicaId| {
        let address = members.get(id).map(|member| member.address);
        let is_replaced = candidates
            .iter()
            .any(|candidate| candidate.id != id && Some(candidate.address) == address);
        is_replaced || is_silent(id)
    };
    if voters > target_voters
        && let Some(id) = members.voters().find(|id| is_lost(*id))
    {
        return Some(MembershipChange::Remove { id });
    }
    let mut learners = members
        .members()
        .iter()
        .filter(|(_, member)| member.role == MemberRole::Learner);
    if let Some((id, _)) = learners.find(|(id, _)| is_lost(**id)) {
        return Some(MembershipChange::Remove { id: *id });
    }
    let is_new = |candidate: &&JoinCandidate| {
        members.get(candidate.id).is_none() && !members.is_removed(candidate.id)
    };
    if let Some(candidate) = candidates.iter().find(is_new) {
        return Some(MembershipChange::AddLearner {
            id: candidate.id,
            address: candidate.address,
        });
    }
    let may_promote =
        voters < target_voters || (voters == target_voters && members.voters().any(is_lost));
    let is_learner = |candidate: &&JoinCandidate| {
        let member = members.get(candidate.id);
        member.is_some_and(|member| member.role == MemberRole::Learner)
    };
    let next = candidates.iter().find(is_learner).filter(|_| may_promote)?;
    Some(MembershipChange::Promote { id: next.id })
}
